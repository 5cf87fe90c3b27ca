"""Members in simulated time, on a network that loses, delays and reorders messages."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

from badgeryoke.cluster.bootstrap import Bootstrap
from badgeryoke.cluster.events import (
    HardState,
    LogEvent,
    MessageReceived,
    PersistedGroup,
    PersistRecords,
    RecordsPersisted,
    SendMessage,
    Snapshot,
    Tick,
)
from badgeryoke.cluster.membership.protocol import Membership
from badgeryoke.cluster.messages import MemberId, member_name
from badgeryoke.cluster.node_setup import Member, NodeSetup
from badgeryoke.cluster.timings import Timings

TIMES = Timings()


def make_members(count: int) -> tuple[Member, ...]:
    """Return members named m000, m001 and so on, in two zones in turn."""
    return tuple(Member(f"m{index:03}", "ab"[index % 2]) for index in range(count))


class MemberNetwork:
    """Processes of `Membership` or `Bootstrap` (by `kind`) with their disks; frozen ones queue their events.

    `delay` returns the delay (ms) of a message between two member names, or None if the message is lost.
    """

    def __init__(self, count: int, seed: int, kind: str = "membership") -> None:
        self.draw, self.now, self.kind = random.Random(seed), 0.0, kind
        self.members = make_members(count)
        self.nodes: dict[str, Any] = {}
        self.ids: dict[str, MemberId] = {}
        self.disk: dict[str, PersistedGroup] = {}
        self.ticks: dict[str, float] = {}
        self.queue: list[
            tuple[float, int, str, MemberId, Any]
        ] = []  # due time, order, recipient, its id, event
        self.frozen: dict[str, list[tuple[MemberId, Any]]] = {}
        self.sent: Counter[str] = Counter()
        self.log_events: list[tuple[float, str, LogEvent]] = []
        self.order = 0
        self.delay: Callable[[str, str], float | None] = lambda sender, recipient: self.draw.uniform(0.2, 2.0)

    def start(self, name: str, wiped: bool = False) -> None:
        """Start a process with its stored state, or with an empty store and so as a new incarnation."""
        if wiped or name not in self.ids:
            self.disk[name] = PersistedGroup()
            self.ids[name] = f"{name}/{self.draw.getrandbits(32):08x}"
        draw, incarnation = random.Random(self.draw.random()), self.ids[name].partition("/")[2]
        zone = next(member.zone for member in self.members if member.name == name)
        self.nodes[name] = (
            Membership(self.ids[name], zone, self.members, TIMES, draw, self.now)
            if self.kind == "membership"
            else Bootstrap(
                NodeSetup("yard", name, incarnation, self.members), self.disk[name], draw, self.now
            )
        )
        self.tick(name)

    def stop(self, name: str) -> None:
        """End a process."""
        self.nodes.pop(name)
        self.frozen.pop(name, None)

    def tick(self, name: str) -> None:
        """Schedule a tick for the time at which a process is due."""
        due = self.nodes[name].due
        if due != self.ticks.get(name) and due < float("inf"):
            self.ticks[name] = due
            self.schedule(max(due, self.now), name, self.ids[name], Tick())

    def schedule(self, when: float, to: str, who: MemberId, event: Any) -> None:
        """Schedule an event for a process with an id."""
        self.order += 1
        heapq.heappush(self.queue, (when, self.order, to, who, event))

    def deliver(self, name: str, event: Any) -> None:
        """Let a process handle an event."""
        self.carry_out(name, self.nodes[name].handle(self.now, event))

    def carry_out(self, name: str, effects: list[Any]) -> None:
        """Carry out the effects of a process."""
        for effect in effects:
            if isinstance(effect, LogEvent):
                self.log_events.append((self.now, name, effect))
            elif isinstance(effect, PersistRecords):
                self.schedule(self.now + self.draw.uniform(1, 20), name, self.ids[name], effect)
            elif isinstance(effect, SendMessage):
                self.sent[name] += 1
                delay_ms = self.delay(name, member_name(effect.to))
                if delay_ms is not None:
                    self.schedule(
                        self.now + delay_ms,
                        member_name(effect.to),
                        effect.to,
                        MessageReceived(self.ids[name], effect.message),
                    )
        if name in self.nodes:
            self.tick(name)

    def run(self, until: float) -> None:
        """Run all events up to a time."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, name, who, event = heapq.heappop(self.queue)
            if name not in self.nodes or who not in (self.ids[name], name + "/"):
                continue
            if isinstance(event, Tick) and self.ticks.get(name) == self.now:
                self.ticks[name] = -1.0
            if name in self.frozen:
                if not isinstance(event, Tick) or not any(
                    isinstance(queued, Tick) for _, queued in self.frozen[name]
                ):
                    self.frozen[name].append((who, event))
            elif isinstance(event, PersistRecords):
                self.disk[name] = apply_records(self.disk[name], event)
                self.deliver(name, RecordsPersisted(event.group, event.sequence))
            elif not isinstance(event, Tick) or self.now >= self.nodes[name].due:
                self.deliver(name, event)
            else:
                self.tick(name)
        self.now = until

    def thaw(self, name: str) -> None:
        """Continue a frozen process with its queued events."""
        for who, event in self.frozen.pop(name):
            self.schedule(self.now, name, who, event)
        self.schedule(self.now, name, self.ids[name], Tick())

    def state_counts(self, who: str) -> Counter[str]:
        """Return how many other processes see a member in each state."""
        return Counter(node.state_of(who) for name, node in self.nodes.items() if name != member_name(who))

    def names_reported_dead(self, since: float = 0.0) -> set[str]:
        """Return the names of members that any process has reported dead since a time."""
        return {
            member_name(log_event.fields["who"])
            for at, _, log_event in self.log_events
            if at >= since and log_event.event == "fleet_member" and log_event.fields["state"] == "dead"
        }


def apply_records(saved: PersistedGroup, event: PersistRecords) -> PersistedGroup:
    """Return the stored state after a write."""
    for record in event.records:
        if isinstance(record, HardState):
            saved = PersistedGroup(record.current_term, record.voted_for, saved.snapshot, saved.entries)
        elif isinstance(record, Snapshot):
            saved = PersistedGroup(saved.current_term, saved.voted_for, record, ())
    return saved
