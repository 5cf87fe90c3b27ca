"""What the leader of the cluster's own group proposes: enrolment, cancelled moves, repair and rebalancing.

Opinions of membership only decide what is proposed here; what holds is what the log accepts.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import NamedTuple

from badgeryoke.cluster.messages import MemberId, member_name
from badgeryoke.cluster.placement.commands import (
    SLOW_LEARNER,
    CancelMove,
    EnrolMember,
    PlacementCommand,
    ReplaceReplica,
)
from badgeryoke.cluster.placement.rendezvous import rendezvous_score
from badgeryoke.cluster.placement.state import EnrolledMember, GroupPlacement, PlacementState, ReplicaMove
from badgeryoke.cluster.state_machine_part import FLEET, LeaderView

MAX_MOVE_DURATION_MS = 60_000.0  # for a learner to catch up; it is not chosen again for as long
MIN_REBALANCE_GAIN = 2  # replicas of difference below which a move would only turn the difference around


class FirstSeen:
    """When this machine's own clock first saw moves and slow learners: a stepped wall clock must not time them."""

    def __init__(self) -> None:
        self._moves: dict[tuple[str, MemberId], float] = {}  # by group and new member
        self._slow_learners: dict[tuple[MemberId, int], float] = {}

    def update(self, placement: PlacementState, now: float) -> None:
        """Note what is new at `now` (monotonic, ms), and forget what is over."""
        moves = ((group, move.new) for group, move in placement.moves.items())
        self._moves = {key: self._moves.get(key, now) for key in moves}
        self._slow_learners = {
            key: self._slow_learners.get(key, now) for key in placement.slow_learners.items()
        }

    def move_is_overdue(self, view: LeaderView, group: str, move: ReplicaMove) -> bool:
        """Whether a move has lasted for too long."""
        return is_overdue(view, self._moves.get((group, move.new)))

    def slow_learner_may_return(self, view: LeaderView, member: MemberId, move_count: int) -> bool:
        """Whether a member that did not catch up may be chosen again."""
        return is_overdue(view, self._slow_learners.get((member, move_count)))


def is_overdue(view: LeaderView, since: float | None) -> bool:
    """Whether `MAX_MOVE_DURATION_MS` have passed since then, of which this leader saw all."""
    return since is not None and view.now - max(since, view.leader_since_ms) > MAX_MOVE_DURATION_MS


class _BrokenGroup(NamedTuple):
    """A group with a replica too few or too many; sorts by urgency, the cluster's own group first in a tie."""

    living: int
    is_not_cluster_group: bool
    group: str
    lost: MemberId  # the replica to remove, or empty
    needs_new: bool


class _RebalanceGain(NamedTuple):
    """What a move would gain; a zone counts more than the load."""

    zones: int
    load: int

    def is_worth_a_move(self) -> bool:
        """Whether it serves one zone more, or evens the load without turning the difference around."""
        return self.zones > 0 or (self.zones == 0 and self.load >= MIN_REBALANCE_GAIN)


class _Rebalance(NamedTuple):
    """One move that evens the placement out."""

    gain: _RebalanceGain
    group: str
    lost: MemberId
    new: MemberId


@dataclass(frozen=True, slots=True)
class RepairPlanner:
    """One look of the leader at the placement."""

    placement: PlacementState
    first_seen: FirstSeen
    view: LeaderView

    def plan(self) -> list[PlacementCommand]:
        """Enrol new ids, cancel what cannot end, then repair; rebalance only when nothing else is wrong."""
        if not self.placement.groups:
            return []
        made: list[PlacementCommand] = [*self._enrolments(), *self._cancellations()]
        if made:
            return made  # what follows looks at the state after these
        capacity = self.view.timings.repair_at_once - len(self.placement.moves)
        if capacity > 0:
            made += self._repairs(capacity)
        if made or self.placement.moves or self.placement.replication_problems(self.view):
            return made
        rebalance = self._best_rebalance()
        if rebalance is not None:
            made.append(self._replace(0, rebalance.group, rebalance.lost, rebalance.new))
        return made

    def _enrolments(self) -> list[PlacementCommand]:
        made: list[PlacementCommand] = []
        for member in sorted(self.view.alive_ids):
            name = member_name(member)
            is_listed = name in self.view.zones
            is_past = member in self.placement.past_ids.get(name, ())
            if not self.placement.is_present(member) and is_listed and not is_past:
                zone = self.view.zones[name]
                made.append(EnrolMember(id=f"enrol:{member}", name=name, who=member, zone=zone))
        return made

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
        """Why a move cannot end; empty where it may."""
        placement = self.placement.groups[group]
        is_joining = bool(move.new) and move.new not in placement.voters
        if is_joining and self._is_lost(move.new):
            return "the newcomer is lost"
        if is_joining and self.first_seen.move_is_overdue(self.view, group, move):
            return SLOW_LEARNER
        lost = sum(self._is_lost(voter) for voter in placement.voters)
        if not self._has_majority(placement) and lost > len(placement.voters) - placement.majority():
            return "the group has lost its majority"
        return ""

    def _repairs(self, capacity: int) -> list[PlacementCommand]:
        """Moves for groups with a replica too few or too many, at most `capacity`."""
        load = self.placement.replica_loads()
        made: list[PlacementCommand] = []
        for broken in sorted(self._broken_groups(load)):
            new = ""
            if broken.needs_new:
                chosen = self._choose_replacement(broken.group, load)
                if chosen is None:
                    continue  # until a member comes that can take it
                new = chosen.id
                load[new] += 1
            made.append(self._replace(len(made), broken.group, broken.lost, new))
            if len(made) == capacity:
                break
        return made

    def _broken_groups(self, load: Counter[MemberId]) -> list[_BrokenGroup]:
        wanted = self.placement.wanted_replicas()
        found: list[_BrokenGroup] = []
        for group, placement in self.placement.groups.items():
            if group in self.placement.moves or not self._has_majority(placement):
                continue
            voters = placement.voters
            lost = [voter for voter in voters if self._is_lost(voter)]
            living = len(voters) - len(lost)
            if len(voters) > wanted:
                surplus = lost[0] if lost else max(voters, key=lambda voter: (load[voter], voter))
                found.append(_BrokenGroup(living, group != FLEET, group, surplus, False))
            elif lost or len(voters) < wanted:
                replaced = lost[0] if len(voters) == wanted else ""
                found.append(_BrokenGroup(living, group != FLEET, group, replaced, True))
        return found

    def _choose_replacement(self, group: str, load: Counter[MemberId]) -> EnrolledMember | None:
        """A member in a zone without a living replica first, then the one with the fewest replicas."""
        placement = self.placement.groups[group]
        zones = {self.placement.zone_of(voter) for voter in placement.voters if not self._is_lost(voter)}
        return min(
            self._candidates(placement),
            default=None,
            key=lambda one: (one.zone in zones, load[one.id], -rendezvous_score(group, one.id)),
        )

    def _best_rebalance(self) -> _Rebalance | None:
        """The move that adds most zones or evens the load most.

        Each lowers a bounded sum, so that rebalancing comes to an end.
        """
        load = self.placement.replica_loads()
        best: _Rebalance | None = None
        for group in sorted(self.placement.groups):
            for option in self._rebalances(group, load):
                if option.gain.is_worth_a_move() and (best is None or option.gain > best.gain):
                    best = option
        return best

    def _rebalances(self, group: str, load: Counter[MemberId]) -> list[_Rebalance]:
        """Each voter of a group, replaced by the least loaded candidate of each zone."""
        placement = self.placement.groups[group]
        zone_of = {voter: self.placement.zone_of(voter) for voter in placement.voters}
        least_loaded: dict[str, MemberId] = {}  # by zone
        for one in sorted(self._candidates(placement), key=lambda one: (load[one.id], one.id)):
            least_loaded.setdefault(one.zone, one.id)
        zones_now = len(set(zone_of.values()))
        found: list[_Rebalance] = []
        for lost in placement.voters:
            other_zones = {zone for voter, zone in zone_of.items() if voter != lost}
            for zone, new in least_loaded.items():
                zones_gained = len(other_zones | {zone}) - zones_now
                gain = _RebalanceGain(zones_gained, load[lost] - load[new])
                found.append(_Rebalance(gain, group, lost, new))
        return found

    def _replace(self, offset: int, group: str, lost: MemberId, new: MemberId) -> ReplaceReplica:
        return ReplaceReplica(
            id=f"replace:{group}:{lost}:{new}:{self.placement.move_count + offset}",
            group=group,
            lost=lost,
            new=new,
            most=self.view.timings.repair_at_once,
        )

    def _candidates(self, placement: GroupPlacement) -> list[EnrolledMember]:
        """Living members that could take a replica of a group."""
        return [
            one
            for one in self.placement.members.values()
            if one.id in self.view.alive_ids and one.id not in placement.voters and self._may_learn(one.id)
        ]

    def _may_learn(self, member: MemberId) -> bool:
        slow = self.placement.slow_learners
        return member not in slow or self.first_seen.slow_learner_may_return(self.view, member, slow[member])

    def _is_lost(self, member: MemberId) -> bool:
        """For good, or dead for longer than its replicas are waited for."""
        if not self.placement.is_present(member):
            return True
        dead_for_ms = self.view.dead_for_ms
        # A member whose incarnation was never heard of stands under its name alone.
        duration_ms = dead_for_ms.get(member, dead_for_ms.get(member_name(member) + "/", 0.0))
        return member not in self.view.alive_ids and duration_ms >= self.view.timings.repair_after_ms

    def _has_majority(self, placement: GroupPlacement) -> bool:
        """Whether a majority lives: otherwise the group can add no replica, and must not block others."""
        living = sum(
            self.placement.is_present(voter) and voter in self.view.alive_ids for voter in placement.voters
        )
        return living >= placement.majority()
