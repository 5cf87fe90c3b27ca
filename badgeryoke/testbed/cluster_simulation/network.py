"""The calendar of a simulated fleet, and the links between its members.

Events lie on a heap in order of time and of their making; all chance comes from one seeded Random.  A link
carries envelopes in order, as a TCP stream does, until it is reset: then what was under way is lost, or comes
after what the next connection brings.  A cut loses what is sent meanwhile, but for a few envelopes
(`MOST_KEPT` a link, the oldest go) that a kernel may still hold and bring long after.  Times in ms, sizes in
bytes.
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

Pair = tuple[str, str]  # names: from, to
MOST_KEPT = 16
MOST_QUEUED_MS = 1000.0  # of a narrow link's queue; what comes beyond is lost
FRAME = 60  # bytes of an envelope, or of a message beside its content


class Calendar:
    """What happens when."""

    def __init__(self) -> None:
        self.now = 0.0
        self.done = 0  # events so far
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._made = 0

    def at(self, when: float, what: Callable[..., None], *args: Any) -> None:
        """Call `what` then, never before now."""
        self._made += 1
        heapq.heappush(self._heap, (when if when > self.now else self.now, self._made, what, args))

    def run(self, until: float) -> None:
        """Let all up to that time happen."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            self.now, _, what, args = heapq.heappop(heap)
            self.done += 1
            what(*args)
        self.now = max(self.now, until)


def size_of(message: AnyMessage) -> int:
    """About how many bytes it takes on the wire."""
    if isinstance(message, AppendEntries):
        return FRAME + sum(len(entry.body) + 12 for entry in message.entries)
    if isinstance(message, InstallSnapshotChunk):
        return FRAME + len(message.data)
    if isinstance(message, ForwardedCall | ForwardedReply):
        return FRAME + len(message.body)
    return FRAME


class Network:
    """Links between members by name; `deliver(sender, to, envelope)` is called when one arrives.

    What is wrong with a link stands in the tables: `cuts`, `delays` (ms more, one way), `resets` (a second),
    `narrow` (bytes a ms); `loss` and `twice` are chances of an envelope on any link."""

    def __init__(
        self,
        calendar: Calendar,
        draw: Random,
        deliver: Callable[[str, str, Any], None],
        hop_ms: tuple[float, float] = (0.2, 1.0),
    ) -> None:
        self._calendar, self._draw, self._deliver, self.hop_ms = calendar, draw, deliver, hop_ms
        self.cuts: set[Pair] = set()
        self.delays: dict[Pair, float] = {}
        self.resets: dict[Pair, float] = {}
        self.narrow: dict[Pair, float] = {}
        self.loss = self.twice = 0.0
        self._last: dict[Pair, float] = {}  # when the last envelope on a link arrives
        self._free: dict[Pair, float] = {}  # when a narrow link has sent what it has
        self._life: dict[Pair, int] = {}  # of its connection
        self._kept: dict[Pair, list[Any]] = {}
        self._since = 0  # of the reset clocks: counts mends, so that old ones end
        self.messages: dict[str, int] = {}  # sent by each member
        self.bytes: dict[str, int] = {}

    def send(self, sender: str, to: str, what: Any, messages: Sequence[AnyMessage]) -> None:
        """One envelope on its way."""
        self.messages[sender] = self.messages.get(sender, 0) + len(messages)
        pair, draw, now = (sender, to), self._draw, self._calendar.now
        if pair in self.cuts:
            if draw.random() < 0.1:
                kept = self._kept.setdefault(pair, [])
                kept.append(what)
                del kept[:-MOST_KEPT]
            return
        if self.loss and draw.random() < self.loss:
            return
        low, high = self.hop_ms
        there = now + low + (high - low) * draw.random() + self.delays.get(pair, 0.0)
        if pair in self.narrow:
            size = FRAME + sum(map(size_of, messages))
            begin = max(now, self._free.get(pair, 0.0))
            if begin - now > MOST_QUEUED_MS:
                return
            self._free[pair] = begin + size / self.narrow[pair]
            there += self._free[pair] - now
        there = max(there, self._last.get(pair, 0.0))
        self._last[pair] = there
        self._calendar.at(there, self._arrive, pair, self._life.get(pair, 0), what)
        if self.twice and draw.random() < self.twice:
            self._calendar.at(
                there + draw.uniform(0.0, 50.0), self._arrive, pair, self._life.get(pair, 0), what
            )

    def _arrive(self, pair: Pair, life: int, what: Any) -> None:
        if pair in self.cuts:
            return
        if life != self._life.get(pair, 0):
            if self._draw.random() < 0.5:
                return
            if self._draw.random() < 0.5:  # the old connection is read after the new one
                self._calendar.at(
                    self._calendar.now + self._draw.uniform(0.0, 20.0), self._deliver, *pair, what
                )
                return
        self._deliver(*pair, what)

    def cut(self, pairs: Sequence[Pair]) -> None:
        """Lose what goes this way from now on."""
        self.cuts.update(pairs)

    def reset(self, pair: Pair) -> None:
        """End the connection that carries this way."""
        self._life[pair] = self._life.get(pair, 0) + 1
        self._last.pop(pair, None)

    def reset_often(self, pairs: Sequence[Pair], rate: float) -> None:
        """End them so many times a second, each at its own moments, until the next mend."""
        for pair in pairs:
            self.resets[pair] = rate
            self._calendar.at(
                self._calendar.now + 1000.0 * self._draw.expovariate(rate),
                self._reset_again,
                pair,
                rate,
                self._since,
            )

    def _reset_again(self, pair: Pair, rate: float, since: int) -> None:
        if self._since == since and self.resets.get(pair) == rate:
            self.reset(pair)
            self._calendar.at(
                self._calendar.now + 1000.0 * self._draw.expovariate(rate),
                self._reset_again,
                pair,
                rate,
                since,
            )

    def mend(self) -> None:
        """All links are whole again; some of what the cut ones were given comes now."""
        for pair in sorted(self.cuts):
            self.reset(pair)
            for what in self._kept.pop(pair, []):
                self._calendar.at(
                    self._calendar.now + self._draw.uniform(0.0, 300.0), self._deliver, *pair, what
                )
        self._kept.clear()
        for table in (self.cuts, self.delays, self.resets, self.narrow):
            table.clear()
        self.loss = self.twice = 0.0
        self._since += 1
