"""The event queue of a simulated cluster, and the network between its members.

Events are processed in order of their time, and at equal times in the order in which they were scheduled; all random
draws come from one seeded Random.  A link delivers envelopes in order, as a TCP stream does, until it is reset: then
envelopes in flight are lost or arrive after those of the next connection.  A cut drops envelopes, except for a few
(the latest `MAX_BUFFERED` of a link) that a kernel may still buffer and deliver much later.  Times are in ms, sizes
in bytes.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Sequence
from random import Random
from typing import Any

from badgeryoke.cluster.messages import (
    AnyMessage,
    AppendEntries,
    ForwardedCall,
    ForwardedReply,
    InstallSnapshotChunk,
)

Link = tuple[str, str]  # names of sender and receiver
MAX_BUFFERED = 16
MAX_QUEUED_MS = 1000.0  # longest queue of a narrow link; further envelopes are dropped
OVERHEAD_BYTES = 60  # overhead in bytes of an envelope, and of each message


class EventQueue:
    """The queue of scheduled calls, and simulated time in ms."""

    def __init__(self) -> None:
        self.now = 0.0
        self.events_processed = 0  # calls made so far
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._scheduled = 0

    def schedule(self, when: float, callback: Callable[..., None], *args: Any) -> None:
        """Schedule a call at `when`, or now if that is in the past."""
        self._scheduled += 1
        heapq.heappush(self._heap, (when if when > self.now else self.now, self._scheduled, callback, args))

    def run(self, until: float) -> None:
        """Make all calls scheduled up to `until`, and advance the time to it."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            self.now, _, callback, args = heapq.heappop(heap)
            self.events_processed += 1
            callback(*args)
        self.now = max(self.now, until)


def wire_size(message: AnyMessage) -> int:
    """The approximate size of a message on the wire, in bytes."""
    if isinstance(message, AppendEntries):
        return OVERHEAD_BYTES + sum(len(entry.body) + 12 for entry in message.entries)
    if isinstance(message, InstallSnapshotChunk):
        return OVERHEAD_BYTES + len(message.data)
    if isinstance(message, ForwardedCall | ForwardedReply):
        return OVERHEAD_BYTES + len(message.body)
    return OVERHEAD_BYTES


class Network:
    """Links between members by name; `deliver(sender, to, envelope)` is called when an envelope arrives.

    Faults of single links: `cuts`, `delays` (additional ms, one way), `resets` (rate a second) and `narrow` (bytes
    a ms).  `loss` and `twice` are the probabilities that an envelope on any link is lost or delivered twice.
    """

    def __init__(
        self,
        event_queue: EventQueue,
        rng: Random,
        deliver: Callable[[str, str, Any], None],
        latency_ms: tuple[float, float] = (0.2, 1.0),
    ) -> None:
        self._event_queue, self._rng, self._deliver, self.latency_ms = event_queue, rng, deliver, latency_ms
        self.cuts: set[Link] = set()
        self.delays: dict[Link, float] = {}
        self.resets: dict[Link, float] = {}
        self.narrow: dict[Link, float] = {}
        self.loss = self.twice = 0.0
        self._last_arrival_ms: dict[Link, float] = {}  # arrival time of the latest envelope on a link
        self._idle_at_ms: dict[Link, float] = {}  # time at which a narrow link has sent all queued bytes
        self._connection_numbers: dict[Link, int] = {}  # number of a link's current connection
        self._buffered: dict[Link, list[Any]] = {}
        self._mend_count = 0  # counts mends, so that resets scheduled before a mend stop
        self.messages: dict[str, int] = {}  # messages sent by each member
        self.bytes: dict[str, int] = {}

    def send(self, sender: str, to: str, envelope: Any, messages: Sequence[AnyMessage]) -> None:
        """Send an envelope."""
        self.messages[sender] = self.messages.get(sender, 0) + len(messages)
        link, rng, now = (sender, to), self._rng, self._event_queue.now
        if link in self.cuts:
            if rng.random() < 0.1:
                buffered = self._buffered.setdefault(link, [])
                buffered.append(envelope)
                del buffered[:-MAX_BUFFERED]
            return
        if self.loss and rng.random() < self.loss:
            return
        low, high = self.latency_ms
        arrival_ms = now + low + (high - low) * rng.random() + self.delays.get(link, 0.0)
        if link in self.narrow:
            size = OVERHEAD_BYTES + sum(map(wire_size, messages))
            start_ms = max(now, self._idle_at_ms.get(link, 0.0))
            if start_ms - now > MAX_QUEUED_MS:
                return
            self._idle_at_ms[link] = start_ms + size / self.narrow[link]
            arrival_ms += self._idle_at_ms[link] - now
        arrival_ms = max(arrival_ms, self._last_arrival_ms.get(link, 0.0))
        self._last_arrival_ms[link] = arrival_ms
        self._event_queue.schedule(
            arrival_ms, self._arrive, link, self._connection_numbers.get(link, 0), envelope
        )
        if self.twice and rng.random() < self.twice:
            self._event_queue.schedule(
                arrival_ms + rng.uniform(0.0, 50.0),
                self._arrive,
                link,
                self._connection_numbers.get(link, 0),
                envelope,
            )

    def _arrive(self, link: Link, connection_number: int, envelope: Any) -> None:
        if link in self.cuts:
            return
        if connection_number != self._connection_numbers.get(link, 0):
            if self._rng.random() < 0.5:
                return
            if self._rng.random() < 0.5:  # the receiver reads the old connection after the new one
                self._event_queue.schedule(
                    self._event_queue.now + self._rng.uniform(0.0, 20.0), self._deliver, *link, envelope
                )
                return
        self._deliver(*link, envelope)

    def cut(self, links: Sequence[Link]) -> None:
        """Drop envelopes on these links from now on."""
        self.cuts.update(links)

    def reset(self, link: Link) -> None:
        """Reset a link's connection."""
        self._connection_numbers[link] = self._connection_numbers.get(link, 0) + 1
        self._last_arrival_ms.pop(link, None)

    def reset_often(self, links: Sequence[Link], rate: float) -> None:
        """Reset each link at random times, with a rate a second, until the next mend."""
        for link in links:
            self.resets[link] = rate
            self._event_queue.schedule(
                self._event_queue.now + 1000.0 * self._rng.expovariate(rate),
                self._reset_again,
                link,
                rate,
                self._mend_count,
            )

    def _reset_again(self, link: Link, rate: float, mend_count: int) -> None:
        if self._mend_count == mend_count and self.resets.get(link) == rate:
            self.reset(link)
            self._event_queue.schedule(
                self._event_queue.now + 1000.0 * self._rng.expovariate(rate),
                self._reset_again,
                link,
                rate,
                mend_count,
            )

    def mend(self) -> None:
        """Remove all faults; some of the envelopes sent on cut links arrive now."""
        for link in sorted(self.cuts):
            self.reset(link)
            for envelope in self._buffered.pop(link, []):
                self._event_queue.schedule(
                    self._event_queue.now + self._rng.uniform(0.0, 300.0), self._deliver, *link, envelope
                )
        self._buffered.clear()
        for table in (self.cuts, self.delays, self.resets, self.narrow):
            table.clear()
        self.loss = self.twice = 0.0
        self._mend_count += 1
