"""The placement as a part of the state machine of the cluster's own group: every change is an entry of its log.

The bootstrap record determines the initial placement.  Later changes go through the log: `ReplaceReplica` starts a
move, the group's leader carries it out step by step (`membership_change`) and reports its voters with `ReplicaMoved`;
`CancelMove` cancels a move that cannot complete.  The leader of the cluster's own group proposes moves (`repair`).
"""

from __future__ import annotations

from typing import Any

import msgspec

from badgeryoke.cluster.bootstrap_record import MAX_MEMBERS, BootstrapRecord
from badgeryoke.cluster.errors import InvalidCall, NotFound, Overloaded, StaleIncarnation, WrongState
from badgeryoke.cluster.events import ChangeMembership
from badgeryoke.cluster.invariants import Invariants, Rule
from badgeryoke.cluster.messages import GroupConfiguration, MemberId, member_name
from badgeryoke.cluster.placement import membership_change
from badgeryoke.cluster.placement.commands import (
    SLOW_LEARNER_REASON,
    CancelMove,
    EnrolMember,
    PlacementCommand,
    ReadPlacement,
    ReplaceReplica,
    ReplicaMoved,
)
from badgeryoke.cluster.placement.initial_placement import initial_placement
from badgeryoke.cluster.placement.repair import FirstSeen, RepairPlanner
from badgeryoke.cluster.placement.state import EnrolledMember, GroupPlacement, PlacementState, ReplicaMove
from badgeryoke.cluster.state_machine_part import ApplyResult, LeaderView
from badgeryoke.cluster.timings import Timings

MAX_PAST_IDS = 4  # superseded ids that are kept for each name; none of them can be enrolled again


class _Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The placement in a snapshot, stored as an array of these fields in this order."""

    replication_factor: int
    members: dict[str, tuple[MemberId, str]]
    past_ids: dict[str, list[MemberId]]
    groups: dict[str, GroupPlacement]
    moves: dict[str, ReplicaMove]
    move_count: int
    slow_learners: dict[MemberId, int]


class PlacementDirectory(PlacementState):
    """The placement part of the state machine.  Empty until `initialize` or `load`."""

    def __init__(self, timings: Timings, invariants: Invariants) -> None:
        super().__init__()
        self._invariants = invariants
        self._first_seen = FirstSeen()  # on this machine's own clock, so not part of a snapshot

    def initialize(self, record: BootstrapRecord) -> None:
        """Set the initial placement, before any entry is applied; does nothing if there already is a placement."""
        if self.groups:
            return
        self.replication_factor = record.replication_factor
        self.members = {member_name(member): EnrolledMember(member, zone) for member, zone in record.members}
        self.groups = {group: GroupPlacement(voters) for group, voters in initial_placement(record).items()}

    # Commands

    def apply(self, at_ms: float, command: PlacementCommand) -> ApplyResult:
        """Apply a command; `at_ms` is the group's own time (Unix ms).  A rejected command changes nothing."""
        problem = command.validate()
        if problem:
            return ApplyResult(error=InvalidCall(command.id, problem))
        if isinstance(command, EnrolMember):
            return self._enrol(command)
        placement = self.groups.get(command.group)
        if placement is None:
            return ApplyResult(error=NotFound(command.group, "no such group"))
        match command:
            case ReplaceReplica():
                return self._start_move(at_ms, command, placement)
            case ReplicaMoved():
                return self._record_report(command, placement)
            case CancelMove():
                return self._cancel_move(command)

    def _enrol(self, command: EnrolMember) -> ApplyResult:
        enrolled = self.members.get(command.name)
        if command.who in self.past_ids.get(command.name, ()):
            return ApplyResult(error=StaleIncarnation(command.who, "a later one is enrolled"))
        if enrolled is None and len(self.members) >= MAX_MEMBERS:
            return ApplyResult(error=Overloaded(command.who, f"{MAX_MEMBERS} members are enrolled"))
        if enrolled is not None and enrolled.id != command.who:
            self._supersede(command.name, enrolled.id)
        self.members[command.name] = EnrolledMember(command.who, command.zone)
        return ApplyResult("enrolled")

    def _supersede(self, name: str, past_id: MemberId) -> None:
        """Record an id as lost for good, and drop the moves that were to add it to a group."""
        self.slow_learners.pop(past_id, None)
        self.past_ids[name] = [*self.past_ids.get(name, ()), past_id][-MAX_PAST_IDS:]
        for group in [group for group, move in self.moves.items() if move.new == past_id]:
            if past_id not in self.groups[group].voters:
                del self.moves[group]

    def _start_move(self, at_ms: float, command: ReplaceReplica, placement: GroupPlacement) -> ApplyResult:
        group, lost, new = command.group, command.lost, command.new
        if group in self.moves:
            return ApplyResult(error=WrongState(group, "a move is under way"))
        if len(self.moves) >= command.most:
            return ApplyResult(error=Overloaded(group, f"{len(self.moves)} moves are under way"))
        if lost and lost not in placement.voters:
            return ApplyResult(error=NotFound(lost, f"no voter of {group}"))
        if new and (new in placement.voters or not self.is_current_id(new)):
            return ApplyResult(error=WrongState(new, f"a voter of {group} already, or not enrolled"))
        if not new and len(placement.voters) <= 1:
            return ApplyResult(error=WrongState(group, "its last voter"))
        self.moves[group] = ReplicaMove(lost, new, at_ms)
        self.move_count += 1
        self._invariants.check(Rule.CONFIG_ONE, len(self.moves) <= command.most, lambda: f"{self.moves}")
        return ApplyResult("begun")

    def _record_report(self, command: ReplicaMoved, placement: GroupPlacement) -> ApplyResult:
        if command.number < placement.config_index:
            return ApplyResult(error=WrongState(command.group, "a later report is known"))
        self.groups[command.group] = GroupPlacement(
            command.voters, command.number, command.behind, placement.report_count + 1
        )
        move = self.moves.get(command.group)
        if move is not None and move.is_complete(command.voters):
            del self.moves[command.group]
        return ApplyResult("noted")

    def _cancel_move(self, command: CancelMove) -> ApplyResult:
        move = self.moves.get(command.group)
        if move is None or move.new != command.new:
            return ApplyResult(error=WrongState(command.group, "no such move is under way"))
        del self.moves[command.group]
        # Not for a lost member, which may be chosen again as soon as it is back.
        if command.new and command.why == SLOW_LEARNER_REASON:
            self.slow_learners[command.new] = self.move_count
        return ApplyResult("forgone")

    def query(self, command: ReadPlacement) -> ApplyResult:
        """The groups with their voters, the moves, and the enrolled members, for operators.

        The keys are part of the operators' interface.
        """
        return ApplyResult(
            {
                "members": {
                    name: {"id": member.id, "hall": member.zone} for name, member in self.members.items()
                },
                "groups": {
                    group: {"voters": list(placement.voters), "behind": list(placement.lagging)}
                    for group, placement in self.groups.items()
                },
                "moves": {group: {"lost": move.lost, "new": move.new} for group, move in self.moves.items()},
                "state": self.dump(),
            }
        )

    def record_applied(self, now: float) -> None:
        """Record when the current moves and slow learners were first seen here."""
        self._first_seen.update(self, now)

    # Snapshots

    def dump(self) -> Any:
        """The placement as plain data, for a snapshot."""
        return msgspec.to_builtins(
            _Snapshot(
                self.replication_factor,
                {name: (member.id, member.zone) for name, member in self.members.items()},
                self.past_ids,
                self.groups,
                self.moves,
                self.move_count,
                self.slow_learners,
            )
        )

    def load(self, raw: Any) -> None:
        """Replace the placement by a snapshot; raises msgspec.ValidationError if `raw` is not a valid one."""
        saved = msgspec.convert(raw, _Snapshot)
        self.replication_factor, self.move_count = saved.replication_factor, saved.move_count
        self.members = {name: EnrolledMember(*pair) for name, pair in saved.members.items()}
        self.past_ids, self.slow_learners = saved.past_ids, saved.slow_learners
        self.groups, self.moves = saved.groups, saved.moves
        self._first_seen = FirstSeen()

    # For leaders

    def leader_tasks(self, view: LeaderView) -> list[PlacementCommand]:
        """The commands that the leader of the cluster's own group proposes now."""
        return RepairPlanner(self, self._first_seen, view).plan()

    def next_membership_change(
        self, group: str, config: GroupConfiguration, behind: tuple[MemberId, ...], alive: frozenset[MemberId]
    ) -> ChangeMembership | None:
        """See `membership_change.next_membership_change`."""
        return membership_change.next_membership_change(self, self._invariants, group, config, behind, alive)

    def configuration_report(
        self, group: str, config: GroupConfiguration, config_index: int, behind: tuple[MemberId, ...] = ()
    ) -> ReplicaMoved | None:
        """See `membership_change.configuration_report`."""
        return membership_change.configuration_report(self, group, config, config_index, behind)
