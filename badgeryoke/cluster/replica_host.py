"""The replicas of groups at this member: makes them, hands them events and carries their results on."""

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

# Called with the time and what became of a proposal, a read or a change of members: a result of its kind, or an error.
CompletionHandler = Callable[[float, Any], list[Effect]]


def _ignore(now: float, result: Any) -> list[Effect]:
    return []


class ReplicaHost:
    """All replicas here, by group, each with its state machine.  Empty until `open`."""

    def __init__(
        self,
        setup: NodeSetup,
        saved: dict[str, PersistedGroup],
        draw: Random,
        rules: Invariants,
        timers: NodeTimers,
    ) -> None:
        self._member_id, self._timings = setup.member_id, setup.timings
        self._saved, self._draw, self._rules, self._timers = saved, draw, rules, timers
        self.record: BootstrapRecord | None = None
        self.replicas: dict[str, RaftNode] = {}
        self.state_machines: dict[str, GroupStateMachine] = {}
        self.voters_by_group: dict[str, tuple[MemberId, ...]] = {}  # as last heard
        self._initial_voters: dict[str, tuple[MemberId, ...]] = {}
        self.is_leaving = False  # this process ends on purpose
        self._handlers: dict[str, CompletionHandler] = {}  # by token
        self._rolling_restart = "", 0  # the one under way, and its changes when last looked at

    def open(self, now: float, record: BootstrapRecord) -> None:
        """The cluster is bootstrapped: make the replicas that were stored, or that are placed here."""
        self.record = record
        self.voters_by_group = self._initial_voters = initial_placement(record)
        for group, voters in self.voters_by_group.items():
            if group in self._saved or self._member_id in voters:
                self.replica(now, group)
        for group in list(self._saved):
            self.replica(now, group)

    def replica(self, now: float, group: str) -> RaftNode | None:
        """The replica of a group; an empty one, which waits for its leader, where there was none.

        None for a group that is not known.
        """
        found = self.replicas.get(group)
        if found is None and group in self.voters_by_group:
            found = self.replicas[group] = self._make_replica(now, group)
        return found

    def _make_replica(self, now: float, group: str) -> RaftNode:
        state_machine = self.state_machines[group] = GroupStateMachine(group, self._timings, self._rules)
        if group == FLEET:
            assert self.record is not None
            state_machine.parts["placing"].initialize(self.record)
        saved = self._saved.pop(group, PersistedGroup())
        # Only a founder starts from the initial placement: who comes in later waits for its leader.
        voters = self._initial_voters.get(group, ())
        config = GroupConfiguration(voters) if self._member_id in voters else None
        return RaftNode(
            group,
            self._member_id,
            saved,
            state_machine,
            self._timings,
            self._draw,
            self._rules,
            now,
            config,
        )

    def leading_replica(self, group: str) -> RaftNode | None:
        """The replica here, where it leads its group."""
        replica = self.replicas.get(group)
        return replica if replica is not None and replica.leading else None

    def on_completion(self, token: str, handler: CompletionHandler) -> None:
        """Have `handler` called when the operation with this token completes."""
        self._handlers[token] = handler

    def feed(self, now: float, group: str, event: ReplicaEvent) -> list[Effect]:
        """Hand a replica an event; completed operations go to their handlers, other effects are given back."""
        replica = self.replicas[group]
        broken_before = self._rules.count
        effects: list[Effect] = []
        for effect in replica.handle(now, event):
            if isinstance(effect, OperationCompleted):
                effects += self._handlers.pop(effect.token, _ignore)(now, effect.result)
            else:
                effects.append(effect)
        self._timers.bring_forward(replica.due_ms)  # one that has become later costs an idle Tick
        if group == FLEET and replica.leading:
            self._hasten_rolling_restart(now)
        if self._rules.count != broken_before and not isinstance(event, StorageFailure):
            effects += self._stop_replica(now, group)
        return effects

    def _stop_replica(self, now: float, group: str) -> list[Effect]:
        """A broken invariant: the replica promises nothing from here on."""
        rule, facts = self._rules.broken[-1]
        error = InvariantBroken(group, f"{rule.name}: {facts}")
        event = LogEvent("error", "invariant broken", {"group": group, "error": str(error)})
        return [event, *self.feed(now, group, StorageFailure(error))]

    def _hasten_rolling_restart(self, now: float) -> None:
        """A rolling restart made progress: its leader looks at it at once, not at the next heartbeat."""
        active = self.state_machines[FLEET].parts["rolls"].active
        if active is not None and (active.name, active.version) != self._rolling_restart:
            self._rolling_restart = active.name, active.version
            self._timers.leader_tasks_at = self._timers.due_at = now

    def transfer_all_leadership(self, now: float) -> list[Effect]:
        """Hand every group that is led here to another voter."""
        effects: list[Effect] = []
        for group, replica in self.replicas.items():
            if replica.leading:
                effects += self.feed(now, group, TransferLeadership())
        return effects
