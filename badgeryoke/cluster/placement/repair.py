"""What the leader of the cluster's own group proposes: enrolment, cancellation of moves, repair and rebalancing.

The leader's view of membership, which may be wrong, only affects what it proposes; the state machine validates every
proposal when it is applied.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import NamedTuple

from badgeryoke.cluster.messages import MemberId, member_name
from badgeryoke.cluster.placement.commands import (
    SLOW_LEARNER_REASON,
    CancelMove,
    EnrolMember,
    PlacementCommand,
    ReplaceReplica,
)
from badgeryoke.cluster.placement.rendezvous import rendezvous_score
from badgeryoke.cluster.placement.state import EnrolledMember, GroupPlacement, PlacementState, ReplicaMove
from badgeryoke.cluster.state_machine_part import FLEET, LeaderView

# Time for a learner to catch up; a slow learner is not chosen again for as long.
MAX_MOVE_DURATION_MS = 60_000.0
MIN_REBALANCE_GAIN = 2  # difference in replicas; with a smaller one, a move would only reverse the difference


class FirstSeen:
    """When moves and slow learners were first seen, on this machine's monotonic clock: wall clocks may be stepped."""

    def __init__(self) -> None:
        self._moves: dict[tuple[str, MemberId], float] = {}  # by group and new member
        self._slow_learners: dict[tuple[MemberId, int], float] = {}

    def update(self, placement: PlacementState, now: float) -> None:
        """Record new moves and slow learners at `now` (monotonic, ms), and drop those that have ended."""
        moves = ((group, move.new) for group, move in placement.moves.items())
        self._moves = {key: self._moves.get(key, now) for key in moves}
        self._slow_learners = {
            key: self._slow_learners.get(key, now) for key in placement.slow_learners.items()
        }

    def move_is_overdue(self, view: LeaderView, group: str, move: ReplicaMove) -> bool:
        """Whether a move has lasted longer than `MAX_MOVE_DURATION_MS`."""
        return is_overdue(view, self._moves.get((group, move.new)))

    def slow_learner_may_return(self, view: LeaderView, member: MemberId, move_count: int) -> bool:
        """Whether a member that did not catch up in time may be chosen again."""
        return is_overdue(view, self._slow_learners.get((member, move_count)))


def is_overdue(view: LeaderView, since: float | None) -> bool:
    """Whether `MAX_MOVE_DURATION_MS` have passed since then, counted from this leader's start at the earliest."""
    return since is not None and view.now - max(since, view.leader_since_ms) > MAX_MOVE_DURATION_MS


class _BrokenGroup(NamedTuple):
    """A group with a missing, lost or surplus replica; sorts by urgency, with the cluster's own group first in ties."""

    living: int
    is_not_cluster_group: bool
    group: str
    lost: MemberId  # the replica to remove; empty if there is none
    needs_new: bool


class _RebalanceGain(NamedTuple):
    """What a move would gain; zones count before load."""

    zones: int
    load: int

    def is_worth_a_move(self) -> bool:
        """Whether the move covers another zone, or balances the load without only reversing the difference."""
        return self.zones > 0 or (self.zones == 0 and self.load >= MIN_REBALANCE_GAIN)


class _Rebalance(NamedTuple):
    """A move that improves the balance of the placement."""

    gain: _RebalanceGain
    group: str
    lost: MemberId
    new: MemberId


@dataclass(frozen=True, slots=True)
class RepairPlanner:
    """Plans the leader's proposals for one state of the placement."""

    placement: PlacementState
    first_seen: FirstSeen
    view: LeaderView

    def plan(self) -> list[PlacementCommand]:
        """Enrol new ids and cancel moves that cannot complete, then repair; rebalance only if no problem is left."""
        if not self.placement.groups:
            return []
        commands: list[PlacementCommand] = [*self._enrolments(), *self._cancellations()]
        if commands:
            return commands  # repairs are planned once these have been applied
        max_moves = self.view.timings.repair_at_once - len(self.placement.moves)
        if max_moves > 0:
            commands += self._repairs(max_moves)
        if commands or self.placement.moves or self.placement.replication_problems(self.view):
            return commands
        rebalance = self._best_rebalance()
        if rebalance is not None:
            commands.append(self._replace(0, rebalance.group, rebalance.lost, rebalance.new))
        return commands

    def _enrolments(self) -> list[PlacementCommand]:
        commands: list[PlacementCommand] = []
        for member in sorted(self.view.alive_ids):
            name = member_name(member)
            is_listed = name in self.view.zones
            is_past = member in self.placement.past_ids.get(name, ())
            if not self.placement.is_current_id(member) and is_listed and not is_past:
                zone = self.view.zones[name]
                commands.append(EnrolMember(id=f"enrol:{member}", name=name, who=member, zone=zone))
        return commands

    def _cancellations(self) -> list[PlacementCommand]:
        return [
            CancelMove(
                id=f"forgo:{group}:{move.new}:{self.placement.move_count}",
                group=group,
                new=move.new,
                why=reason,
            )
            for group, move in self.placement.moves.items()
            if (reason := self._why_cancel(group, move))
        ]

    def _why_cancel(self, group: str, move: ReplicaMove) -> str:
        """The reason to cancel a move; empty if the move can still complete."""
        placement = self.placement.groups[group]
        is_joining = bool(move.new) and move.new not in placement.voters
        if is_joining and self._is_lost(move.new):
            return "the newcomer is lost"
        if is_joining and self.first_seen.move_is_overdue(self.view, group, move):
            return SLOW_LEARNER_REASON
        lost_count = sum(self._is_lost(voter) for voter in placement.voters)
        if not self._has_majority(placement) and lost_count > len(placement.voters) - placement.majority():
            return "the group has lost its majority"
        return ""

    def _repairs(self, max_moves: int) -> list[PlacementCommand]:
        """Moves for groups with a missing, lost or surplus replica, at most `max_moves` of them."""
        load = self.placement.replica_loads()
        commands: list[PlacementCommand] = []
        for broken in sorted(self._broken_groups(load)):
            new = ""
            if broken.needs_new:
                chosen = self._choose_replacement(broken.group, load)
                if chosen is None:
                    continue  # no member can take the replica now
                new = chosen.id
                load[new] += 1
            commands.append(self._replace(len(commands), broken.group, broken.lost, new))
            if len(commands) == max_moves:
                break
        return commands

    def _broken_groups(self, load: Counter[MemberId]) -> list[_BrokenGroup]:
        wanted = self.placement.wanted_replicas()
        broken_groups: list[_BrokenGroup] = []
        for group, placement in self.placement.groups.items():
            if group in self.placement.moves or not self._has_majority(placement):
                continue
            voters = placement.voters
            lost = [voter for voter in voters if self._is_lost(voter)]
            living = len(voters) - len(lost)
            if len(voters) > wanted:
                surplus = lost[0] if lost else max(voters, key=lambda voter: (load[voter], voter))
                broken_groups.append(_BrokenGroup(living, group != FLEET, group, surplus, False))
            elif lost or len(voters) < wanted:
                replaced = lost[0] if len(voters) == wanted else ""
                broken_groups.append(_BrokenGroup(living, group != FLEET, group, replaced, True))
        return broken_groups

    def _choose_replacement(self, group: str, load: Counter[MemberId]) -> EnrolledMember | None:
        """The replacement: preferably in a zone without a living replica, then with the fewest replicas."""
        placement = self.placement.groups[group]
        zones = {self.placement.zone_of(voter) for voter in placement.voters if not self._is_lost(voter)}
        return min(
            self._candidates(placement),
            default=None,
            key=lambda member: (member.zone in zones, load[member.id], -rendezvous_score(group, member.id)),
        )

    def _best_rebalance(self) -> _Rebalance | None:
        """The move that gains the most zones, or else balances the load the most.

        Each move lowers a bounded sum, so rebalancing terminates.
        """
        load = self.placement.replica_loads()
        best: _Rebalance | None = None
        for group in sorted(self.placement.groups):
            for option in self._rebalances(group, load):
                if option.gain.is_worth_a_move() and (best is None or option.gain > best.gain):
                    best = option
        return best

    def _rebalances(self, group: str, load: Counter[MemberId]) -> list[_Rebalance]:
        """All moves that replace one voter of a group by the least loaded candidate of one zone."""
        placement = self.placement.groups[group]
        zone_of = {voter: self.placement.zone_of(voter) for voter in placement.voters}
        least_loaded: dict[str, MemberId] = {}  # by zone
        for member in sorted(self._candidates(placement), key=lambda member: (load[member.id], member.id)):
            least_loaded.setdefault(member.zone, member.id)
        zones_now = len(set(zone_of.values()))
        rebalances: list[_Rebalance] = []
        for lost in placement.voters:
            other_zones = {zone for voter, zone in zone_of.items() if voter != lost}
            for zone, new in least_loaded.items():
                zones_gained = len(other_zones | {zone}) - zones_now
                gain = _RebalanceGain(zones_gained, load[lost] - load[new])
                rebalances.append(_Rebalance(gain, group, lost, new))
        return rebalances

    def _replace(self, offset: int, group: str, lost: MemberId, new: MemberId) -> ReplaceReplica:
        return ReplaceReplica(
            id=f"replace:{group}:{lost}:{new}:{self.placement.move_count + offset}",
            group=group,
            lost=lost,
            new=new,
            most=self.view.timings.repair_at_once,
        )

    def _candidates(self, placement: GroupPlacement) -> list[EnrolledMember]:
        """Living members that can take a replica of a group."""
        return [
            member
            for member in self.placement.members.values()
            if member.id in self.view.alive_ids
            and member.id not in placement.voters
            and self._may_learn(member.id)
        ]

    def _may_learn(self, member: MemberId) -> bool:
        slow = self.placement.slow_learners
        return member not in slow or self.first_seen.slow_learner_may_return(self.view, member, slow[member])

    def _is_lost(self, member: MemberId) -> bool:
        """Whether a member is superseded, or has been dead for at least `Timings.repair_after_ms`."""
        if not self.placement.is_current_id(member):
            return True
        dead_for_ms = self.view.dead_for_ms
        # A member whose incarnation is unknown to membership is listed as "name/".
        duration_ms = dead_for_ms.get(member, dead_for_ms.get(member_name(member) + "/", 0.0))
        return member not in self.view.alive_ids and duration_ms >= self.view.timings.repair_after_ms

    def _has_majority(self, placement: GroupPlacement) -> bool:
        """Whether a majority is alive: otherwise the group cannot add a replica, and must not block other groups."""
        living = sum(
            self.placement.is_current_id(voter) and voter in self.view.alive_ids for voter in placement.voters
        )
        return living >= placement.majority()
