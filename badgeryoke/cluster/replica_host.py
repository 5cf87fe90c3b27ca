"""Hosts the replicas of this member: creates them, passes them events and dispatches their results."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from badgeryoke.cluster.bootstrap_record import BootstrapRecord
from badgeryoke.cluster.errors import InvariantBroken
from badgeryoke.cluster.events import (
    Effect,
    LogEvent,
    OperationCompleted,
    PersistedGroup,
    ReplicaEvent,
    StorageFailure,
    TransferLeadership,
)
from badgeryoke.cluster.invariants import Invariants
from badgeryoke.cluster.messages import GroupConfiguration, MemberId
from badgeryoke.cluster.node_setup import NodeSetup
from badgeryoke.cluster.node_timers import NodeTimers
from badgeryoke.cluster.placement.initial_placement import initial_placement
from badgeryoke.cluster.raft.node import RaftNode
from badgeryoke.cluster.state_machine.machine import GroupStateMachine
from badgeryoke.cluster.state_machine_part import FLEET

# Called with the time (ms) and the result of a proposal, a read or a membership change, which may be an error.
CompletionHandler = Callable[[float, Any], list[Effect]]


def _ignore(now: float, result: Any) -> list[Effect]:
    return []


class ReplicaHost:
    """The replicas of this member and their state machines, by group.  Empty until `open`."""

    def __init__(
        self,
        setup: NodeSetup,
        saved: dict[str, PersistedGroup],
        rng: Random,
        invariants: Invariants,
        timers: NodeTimers,
    ) -> None:
        self._member_id, self._timings = setup.member_id, setup.timings
        self._saved, self._rng, self._invariants, self._timers = saved, rng, invariants, timers
        self.record: BootstrapRecord | None = None
        self.replicas: dict[str, RaftNode] = {}
        self.state_machines: dict[str, GroupStateMachine] = {}
        self.voters_by_group: dict[str, tuple[MemberId, ...]] = {}  # as last read from the placement
        self._initial_voters: dict[str, tuple[MemberId, ...]] = {}
        self.is_leaving = False  # a graceful shutdown is in progress
        self._handlers: dict[str, CompletionHandler] = {}  # by token
        self._rolling_restart = "", 0  # name and version of the active rolling restart when last checked

    def open(self, now: float, record: BootstrapRecord) -> None:
        """Create the replicas that are stored, or initially placed, on this member, once the cluster is bootstrapped."""
        self.record = record
        self.voters_by_group = self._initial_voters = initial_placement(record)
        for group, voters in self.voters_by_group.items():
            if group in self._saved or self._member_id in voters:
                self.replica(now, group)
        for group in list(self._saved):
            self.replica(now, group)

    def replica(self, now: float, group: str) -> RaftNode | None:
        """The replica of a group, created if there is none; a created one waits to hear from its leader.

        None for an unknown group.
        """
        replica = self.replicas.get(group)
        if replica is None and group in self.voters_by_group:
            replica = self.replicas[group] = self._make_replica(now, group)
        return replica

    def _make_replica(self, now: float, group: str) -> RaftNode:
        state_machine = self.state_machines[group] = GroupStateMachine(group, self._timings, self._invariants)
        if group == FLEET:
            assert self.record is not None
            state_machine.parts["placing"].initialize(self.record)
        saved = self._saved.pop(group, PersistedGroup())
        # Only a founder starts from the initial placement; a member that is added later waits for the leader.
        voters = self._initial_voters.get(group, ())
        config = GroupConfiguration(voters) if self._member_id in voters else None
        return RaftNode(
            group,
            self._member_id,
            saved,
            state_machine,
            self._timings,
            self._rng,
            self._invariants,
            now,
            config,
        )

    def leading_replica(self, group: str) -> RaftNode | None:
        """The local replica of a group if it leads the group, else None."""
        replica = self.replicas.get(group)
        return replica if replica is not None and replica.leading else None

    def on_completion(self, token: str, handler: CompletionHandler) -> None:
        """Register `handler` for the completion of the operation with this token."""
        self._handlers[token] = handler

    def feed(self, now: float, group: str, event: ReplicaEvent) -> list[Effect]:
        """Pass an event to a replica; completed operations go to their handlers, other effects are returned."""
        replica = self.replicas[group]
        broken_before = self._invariants.count
        effects: list[Effect] = []
        for effect in replica.handle(now, event):
            if isinstance(effect, OperationCompleted):
                effects += self._handlers.pop(effect.token, _ignore)(now, effect.result)
            else:
                effects.append(effect)
        self._timers.bring_forward(replica.due_ms)  # if it has moved later instead, the earlier Tick is idle
        if group == FLEET and replica.leading:
            self._check_rolling_restart(now)
        if self._invariants.count != broken_before and not isinstance(event, StorageFailure):
            effects += self._stop_replica(now, group)
        return effects

    def _stop_replica(self, now: float, group: str) -> list[Effect]:
        """Stop a replica that violated an invariant: it acknowledges nothing any more."""
        rule, facts = self._invariants.broken[-1]
        error = InvariantBroken(group, f"{rule.name}: {facts}")
        event = LogEvent("error", "invariant broken", {"group": group, "error": str(error)})
        return [event, *self.feed(now, group, StorageFailure(error))]

    def _check_rolling_restart(self, now: float) -> None:
        """Run the leader tasks at once after progress of a rolling restart, not at the next heartbeat."""
        active = self.state_machines[FLEET].parts["rolls"].active
        if active is not None and (active.name, active.version) != self._rolling_restart:
            self._rolling_restart = active.name, active.version
            self._timers.leader_tasks_at = self._timers.due_at = now

    def transfer_all_leadership(self, now: float) -> list[Effect]:
        """Transfer the leadership of every group led here to another voter."""
        effects: list[Effect] = []
        for group, replica in self.replicas.items():
            if replica.leading:
                effects += self.feed(now, group, TransferLeadership())
        return effects
