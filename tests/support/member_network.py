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
    return tuple(Member(f"m{at:03}", "ab"[at % 2]) for at in range(count))


class MemberNetwork:
    """Processes of `Membership` or `Bootstrap` (by `kind`), with their disks; frozen ones keep what comes for them.

    `delay` gives the time (ms) that a message takes between two names, or None where it is lost.
    """

    def __init__(self, count: int, seed: int, kind: str = "membership") -> None:
        self.draw, self.now, self.kind = random.Random(seed), 0.0, kind
        self.members = make_members(count)
        self.nodes: dict[str, Any] = {}
        self.ids: dict[str, MemberId] = {}
        self.disk: dict[str, PersistedGroup] = {}
        self.ticks: dict[str, float] = {}
        self.queue: list[tuple[float, int, str, MemberId, Any]] = []  # when, order, to, as whom, event
        self.frozen: dict[str, list[tuple[MemberId, Any]]] = {}
        self.sent: Counter[str] = Counter()
        self.log_events: list[tuple[float, str, LogEvent]] = []
        self.order = 0
        self.delay: Callable[[str, str], float | None] = lambda a, b: self.draw.uniform(0.2, 2.0)

    def start(self, name: str, wiped: bool = False) -> None:
        """A process starts: as it was, or with a new store and so as a new incarnation."""
        if wiped or name not in self.ids:
            self.disk[name] = PersistedGroup()
            self.ids[name] = f"{name}/{self.draw.getrandbits(32):08x}"
        draw, incarnation = random.Random(self.draw.random()), self.ids[name].partition("/")[2]
        hall = next(one.zone for one in self.members if one.name == name)
        self.nodes[name] = (
            Membership(self.ids[name], hall, self.members, TIMES, draw, self.now)
            if self.kind == "membership"
            else Bootstrap(
                NodeSetup("yard", name, incarnation, self.members), self.disk[name], draw, self.now
            )
        )
        self.tick(name)

    def stop(self, name: str) -> None:
        self.nodes.pop(name)
        self.frozen.pop(name, None)

    def tick(self, name: str) -> None:
        due = self.nodes[name].due
        if due != self.ticks.get(name) and due < float("inf"):
            self.ticks[name] = due
            self.put(max(due, self.now), name, self.ids[name], Tick())

    def put(self, when: float, to: str, who: MemberId, event: Any) -> None:
        self.order += 1
        heapq.heappush(self.queue, (when, self.order, to, who, event))

    def deliver(self, name: str, event: Any) -> None:
        self.carry_out(name, self.nodes[name].handle(self.now, event))

    def carry_out(self, name: str, effects: list[Any]) -> None:
        for one in effects:
            if isinstance(one, LogEvent):
                self.log_events.append((self.now, name, one))
            elif isinstance(one, PersistRecords):
                self.put(self.now + self.draw.uniform(1, 20), name, self.ids[name], one)
            elif isinstance(one, SendMessage):
                self.sent[name] += 1
                took = self.delay(name, member_name(one.to))
                if took is not None:
                    self.put(
                        self.now + took,
                        member_name(one.to),
                        one.to,
                        MessageReceived(self.ids[name], one.message),
                    )
        if name in self.nodes:
            self.tick(name)

    def run(self, until: float) -> None:
        while self.queue and self.queue[0][0] <= until:
            self.now, _, name, who, event = heapq.heappop(self.queue)
            if name not in self.nodes or who not in (self.ids[name], name + "/"):
                continue
            if isinstance(event, Tick) and self.ticks.get(name) == self.now:
                self.ticks[name] = -1.0
            if name in self.frozen:
                if not isinstance(event, Tick) or not any(
                    isinstance(one, Tick) for _, one in self.frozen[name]
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
        for who, event in self.frozen.pop(name):
            self.put(self.now, name, who, event)
        self.put(self.now, name, self.ids[name], Tick())

    def state_counts(self, who: str) -> Counter[str]:
        return Counter(one.state_of(who) for name, one in self.nodes.items() if name != member_name(who))

    def names_reported_dead(self, since: float = 0.0) -> set[str]:
        """Names that anybody has called dead."""
        return {
            member_name(say.fields["who"])
            for at, _, say in self.log_events
            if at >= since and say.event == "fleet_member" and say.fields["state"] == "dead"
        }


def apply_records(saved: PersistedGroup, event: PersistRecords) -> PersistedGroup:
    for record in event.records:
        if isinstance(record, HardState):
            saved = PersistedGroup(record.current_term, record.voted_for, saved.snapshot, saved.entries)
        elif isinstance(record, Snapshot):
            saved = PersistedGroup(saved.current_term, saved.voted_for, record, ())
    return saved
