"""A group of Raft replicas in a simulated network with loss, delay, partitions, crashes and pauses, and a check of
the complete history."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any, NamedTuple

import msgspec

from badgeryoke.cluster.errors import (
    ClusterError,
)
from badgeryoke.cluster.events import (
    ChangeMembership,
    Effect,
    Entries,
    HardState,
    MessageReceived,
    OperationCompleted,
    PersistedGroup,
    PersistRecords,
    ProposeCommand,
    ReadIndexRequest,
    RecordsPersisted,
    ReplicaEvent,
    SendMessage,
    Snapshot,
    Tick,
)
from badgeryoke.cluster.invariants import Invariants
from badgeryoke.cluster.messages import (
    GroupConfiguration,
    MemberId,
)
from badgeryoke.cluster.raft.node import RaftNode
from badgeryoke.cluster.raft.state_types import Role
from badgeryoke.cluster.timings import Timings

TIMINGS = Timings(snapshot_entries=15, piece_bytes=96, most_batch=4, most_in_flight=16)
CALL_KINDS = {ProposeCommand: "propose", ReadIndexRequest: "read", ChangeMembership: "change"}
THREE_VOTERS = GroupConfiguration(("a/1", "b/1", "c/1"))


class HistoryViolation(AssertionError):
    """The history of a group violates a guarantee."""


@dataclass
class RecordingStateMachine:
    """A state machine that records all commands with their indexes."""

    group: SimulatedGroup
    rows: list[tuple[int, bytes]] = field(default_factory=list)

    def apply(self, now: float, index: int, body: bytes) -> int:
        """Record a command; raises HistoryViolation if another one has its index."""
        if self.group.committed_commands.setdefault(index, body) != body:
            raise HistoryViolation(
                f"two commands: {body!r} and {self.group.committed_commands[index]!r} at {index}"
            )
        if self.rows and self.rows[-1][0] >= index:
            raise HistoryViolation(f"applied twice: {index}")
        self.rows.append((index, body))
        return index

    def dump(self) -> bytes:
        """Return a snapshot."""
        return msgspec.msgpack.encode(self.rows)

    def restore(self, now: float, body: bytes) -> None:
        """Load a snapshot."""
        self.rows = msgspec.msgpack.decode(body, type=list[tuple[int, bytes]])


@dataclass
class SimulatedProcess:
    """A process and its disk."""

    member_id: MemberId
    config: GroupConfiguration | None
    saved: PersistedGroup = field(default_factory=PersistedGroup)
    replica: RaftNode | None = None
    state_machine: RecordingStateMachine | None = None
    start_count: int = 0
    clock_rate: float = 1.0
    frozen: bool = False
    frozen_events: list[ReplicaEvent] = field(default_factory=list)
    open_writes: list[PersistRecords] = field(default_factory=list)  # not yet on the disk
    hold_writes: bool = False


def apply_write(saved: PersistedGroup, write: PersistRecords) -> PersistedGroup:
    """Return the stored state after a write."""
    for record in write.records:
        if isinstance(record, HardState):
            saved = replace(saved, current_term=record.current_term, voted_for=record.voted_for)
        elif isinstance(record, Entries):
            kept = tuple(entry for entry in saved.entries if entry.index < record.entries[0].index)
            saved = replace(saved, entries=kept + record.entries)
        elif isinstance(record, Snapshot):
            saved = replace(
                saved,
                snapshot=record,
                entries=tuple(entry for entry in saved.entries if entry.index > record.last_included_index),
            )
    return saved


class OpenCall(NamedTuple):
    """An operation without its result."""

    kind: str  # one of the values of `CALL_KINDS`
    member_id: MemberId
    acknowledged_index: int  # the highest index acknowledged before the call


class SimulatedGroup:
    """The members of one group, a network and a clock."""

    def __init__(
        self, seed: int, voters: int, replica_type: type[RaftNode] = RaftNode, unreliable: bool = False
    ) -> None:
        self.rng, self.replica_type, self.unreliable = random.Random(seed), replica_type, unreliable
        self.now_ms, self.scheduled_count = 0.0, 0
        self.scheduled_events: list[tuple[float, int, Callable[[], None]]] = []
        self.committed_commands: dict[int, bytes] = {}
        self.leader_of_term: dict[int, MemberId] = {}
        self.blocked_links: set[tuple[MemberId, MemberId]] = set()
        self.open_calls: dict[str, OpenCall] = {}
        self.answers: dict[str, Any] = {}
        self.acknowledged: dict[str, int] = {}
        self.is_lost: Callable[[MemberId, MemberId, Any], bool] = lambda sender, to, message: False
        config = GroupConfiguration(tuple(f"{name}/1" for name in "abcde"[:voters]))
        self.processes: dict[MemberId, SimulatedProcess] = {}
        for who in config.voters:
            self.add_process(who, config)

    def add_process(self, who: MemberId, config: GroupConfiguration | None) -> SimulatedProcess:
        """Add and start a process with an empty disk."""
        process = self.processes[who] = SimulatedProcess(who, config)
        if self.unreliable:
            process.clock_rate = self.rng.uniform(0.99, 1.01)
        self.start_process(process)
        return process

    def start_process(self, process: SimulatedProcess) -> None:
        """Start a process with the state on its disk."""
        process.start_count += 1
        process.state_machine, process.open_writes, process.frozen_events, process.frozen = (
            RecordingStateMachine(self),
            [],
            [],
            False,
        )
        process.replica = self.replica_type(
            "g",
            process.member_id,
            process.saved,
            process.state_machine,
            TIMINGS,
            random.Random(self.rng.random()),
            Invariants(),
            self.now_ms * process.clock_rate,
            process.config,
        )
        self.schedule_tick(process)

    def schedule(self, ms: float, act: Callable[[], None]) -> None:
        """Call `act` after a delay."""
        self.scheduled_count += 1
        heapq.heappush(self.scheduled_events, (self.now_ms + ms, self.scheduled_count, act))

    def run(self, ms: float, until: Callable[[], bool] | None = None) -> bool:
        """Run for `ms`, or until a condition holds; returns whether it held."""
        end = self.now_ms + ms
        while self.scheduled_events and self.scheduled_events[0][0] <= end:
            if until is not None and until():
                return True
            self.now_ms, _, act = heapq.heappop(self.scheduled_events)
            act()
        self.now_ms = end
        return until is not None and until()

    def deliver(self, process: SimulatedProcess, event: ReplicaEvent) -> None:
        """Let a process handle an event, or queue it while the process is frozen."""
        if process.replica is None:
            return
        if process.frozen:
            process.frozen_events.append(event)
            return
        self.carry_out(process, process.replica.handle(self.now_ms * process.clock_rate, event))
        replica = process.replica
        if (
            replica.role is Role.LEADER
            and self.leader_of_term.setdefault(replica.current_term, process.member_id) != process.member_id
        ):
            raise HistoryViolation(
                f"two leaders: {process.member_id} and {self.leader_of_term[replica.current_term]} "
                f"in {replica.current_term}"
            )
        self.schedule_tick(process)

    def schedule_tick(self, process: SimulatedProcess) -> None:
        """Schedule a tick for the time at which a process is due."""
        replica, start_count = process.replica, process.start_count
        if replica is None or replica.due_ms == float("inf"):
            return
        due = replica.due_ms

        def act() -> None:
            if process.start_count == start_count and replica.due_ms == due:
                self.deliver(process, Tick())

        self.schedule(max(due / process.clock_rate - self.now_ms, 0.0) + 0.01, act)

    def carry_out(self, process: SimulatedProcess, effects: list[Effect]) -> None:
        """Carry out the effects of a process."""
        start_count = process.start_count
        for effect in effects:
            if isinstance(effect, SendMessage):
                self.send(process.member_id, effect.to, effect.message)
            elif isinstance(effect, PersistRecords):
                process.open_writes.append(effect)
                if not process.hold_writes:
                    delay = (
                        self.rng.uniform(0.5, 12.0 if self.rng.random() < 0.9 else 300.0)
                        if self.unreliable
                        else 1.0
                    )
                    self.schedule(delay, lambda: self.complete_write(process, start_count))
            elif isinstance(effect, OperationCompleted):
                self.record_answer(process, effect.token, effect.result)

    def complete_write(self, process: SimulatedProcess, start_count: int) -> None:
        """Complete the oldest open write of a process."""
        if process.start_count == start_count and process.open_writes and not process.hold_writes:
            write = process.open_writes.pop(0)
            process.saved = apply_write(process.saved, write)
            self.deliver(process, RecordsPersisted("g", write.sequence))

    def send(self, sender: MemberId, to: MemberId, message: Any) -> None:
        """Send a message over the network, which may lose, delay or duplicate it."""
        if (sender, to) in self.blocked_links or self.is_lost(sender, to, message):
            return
        copies = 1
        if self.unreliable:
            copies = self.rng.choices((0, 1, 2), (3, 95, 2))[0]
        for _ in range(copies):
            delay = 1.0
            if self.unreliable:
                delay = (
                    self.rng.uniform(0.5, 8.0) if self.rng.random() < 0.97 else self.rng.uniform(8.0, 900.0)
                )
            self.schedule(delay, lambda: self.receive(sender, to, message))

    def receive(self, sender: MemberId, to: MemberId, message: Any) -> None:
        """Deliver a message, if its recipient exists."""
        process = self.processes.get(to)
        if process is not None:
            self.deliver(process, MessageReceived(sender, message))

    def call(
        self,
        kind: str,
        event: ProposeCommand | ReadIndexRequest | ChangeMembership,
        process: SimulatedProcess,
    ) -> str:
        """Start an operation at a process and return its token."""
        acknowledged_index = max(self.acknowledged.values(), default=0)
        self.open_calls[event.token] = OpenCall(kind, process.member_id, acknowledged_index)
        self.deliver(process, event)
        return event.token

    def record_answer(self, process: SimulatedProcess, token: str, result: Any) -> None:
        """Record the result of an operation, and check it against the history."""
        if token in self.answers:
            raise HistoryViolation(f"answered twice: {token}")
        self.answers[token] = result
        call = self.open_calls.pop(token)
        if isinstance(result, ClusterError):
            return
        assert process.state_machine is not None
        if call.kind == "propose":
            assert self.committed_commands[result] == token.encode()
            self.acknowledged[token] = result
        elif call.kind == "read" and call.acknowledged_index:
            has_seen = any(index >= call.acknowledged_index for index, _ in process.state_machine.rows)
            if not has_seen:
                reader = process.member_id
                raise HistoryViolation(f"stale read: {reader} has not seen {call.acknowledged_index}")

    def crash(self, process: SimulatedProcess) -> None:
        """Crash a process: writes not yet on the disk are lost, except perhaps the first."""
        if process.open_writes and self.rng.random() < 0.5:
            process.saved = apply_write(process.saved, process.open_writes[0])
        process.replica, process.start_count = None, process.start_count + 1
        for token in [
            token for token, call in self.open_calls.items() if call.member_id == process.member_id
        ]:
            self.open_calls.pop(token)

    def unfreeze(self, process: SimulatedProcess) -> None:
        """Continue a frozen process with its queued events."""
        process.frozen, queued_events = False, process.frozen_events
        process.frozen_events = []
        for event in queued_events:
            self.deliver(process, event)
        self.deliver(process, Tick())

    def leader(self) -> SimulatedProcess | None:
        """Return the leader of the latest term, or None."""
        leaders = [
            process
            for process in self.processes.values()
            if process.replica is not None and process.replica.leading
        ]
        return max(
            leaders, key=lambda process: process.replica.current_term if process.replica else 0, default=None
        )

    def wait_for_leader(self, other_than: SimulatedProcess | None = None) -> SimulatedProcess:
        """Run until a process other than `other_than` leads, and return it."""
        assert self.run(10_000.0, lambda: self.leader() not in (None, other_than))
        leader = self.leader()
        assert leader is not None
        return leader

    def call_and_wait(
        self,
        event: ProposeCommand | ReadIndexRequest | ChangeMembership,
        process: SimulatedProcess | None = None,
        ms: float = 3000.0,
    ) -> Any:
        """Start an operation, run until it is completed, and return its result."""
        token = self.call(
            CALL_KINDS[type(event)],
            event,
            process or self.wait_for_leader(),
        )
        assert self.run(ms, lambda: token in self.answers)
        return self.answers[token]

    def heal(self) -> None:
        """Undo all faults."""
        self.blocked_links, self.unreliable = set(), False
        for process in self.processes.values():
            if process.frozen:
                self.unfreeze(process)
            if process.replica is None:
                self.start_process(process)

    def check_history(self) -> None:
        """Check that no acknowledged command is missing and that the state machines of all voters are equal."""
        leader = self.wait_for_leader()
        assert leader.replica is not None and leader.state_machine is not None
        commands = dict(leader.state_machine.rows)
        for token, index in self.acknowledged.items():
            if commands.get(index) != token.encode():
                raise HistoryViolation(f"lost: {token} at {index}")
        for who in leader.replica.config.voters:
            machine = self.processes[who].state_machine
            assert machine is not None and machine.rows == leader.state_machine.rows, who


def replica_of(group: SimulatedGroup, who: MemberId) -> RaftNode:
    """Return the running replica of a member."""
    replica = group.processes[who].replica
    assert replica is not None
    return replica


def partition(group: SimulatedGroup, *parts: tuple[MemberId, ...]) -> None:
    """Block all messages between members that are not in the same part."""
    group.blocked_links = {
        (member, other) for part in parts for member in part for other in group.processes if other not in part
    }
    group.blocked_links |= {(other, member) for member, other in group.blocked_links}


def single_replica(
    saved: PersistedGroup, config: GroupConfiguration | None = None
) -> tuple[RaftNode, RecordingStateMachine]:
    """Return the replica a/1 without a network, with its first records stored, and its state machine."""
    machine = RecordingStateMachine(SimulatedGroup(0, 0))
    replica = RaftNode("g", "a/1", saved, machine, TIMINGS, random.Random(1), Invariants(), 0.0, config)
    persist_writes(replica, 0.0, replica.handle(0.0, Tick()))
    return replica, machine


def persist_writes(replica: RaftNode, now: float, effects: list[Effect]) -> list[Effect]:
    """Confirm the writes among the effects, and return the effects that this causes."""
    return [
        next_effect
        for effect in effects
        if isinstance(effect, PersistRecords)
        for next_effect in replica.handle(now, RecordsPersisted("g", effect.sequence))
    ]


def sent_messages(effects: list[Effect], kind: type[Any]) -> list[Any]:
    """Return the sent messages of one type."""
    return [
        effect.message
        for effect in effects
        if isinstance(effect, SendMessage) and isinstance(effect.message, kind)
    ]
