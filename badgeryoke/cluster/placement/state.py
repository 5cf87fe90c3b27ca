"""The replicated placement: enrolled members, the voters of each group and the moves in progress, with queries."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

import msgspec

from badgeryoke.cluster.messages import GroupConfiguration, MemberId, member_name
from badgeryoke.cluster.placement.initial_placement import replica_count
from badgeryoke.cluster.state_machine_part import LeaderView


class EnrolledMember(NamedTuple):
    """A name's current id and its zone; stored as a pair."""

    id: MemberId
    zone: str


class ReplicaMove(msgspec.Struct, frozen=True, array_like=True):
    """A move of one replica in progress; `started_at_ms` is on the group's own clock (Unix ms)."""

    lost: MemberId
    new: MemberId
    started_at_ms: float = 0.0

    def is_complete(self, voters: tuple[MemberId, ...]) -> bool:
        """Whether the move is complete with these voters."""
        return self.lost not in voters and (not self.new or self.new in voters)


class GroupPlacement(msgspec.Struct, frozen=True, array_like=True):
    """A group, as its leader last reported it."""

    voters: tuple[MemberId, ...]
    config_index: int = 0  # the index of the reported configuration in the group's log
    lagging: tuple[MemberId, ...] = ()  # voters that have not caught up
    report_count: int = 0

    def majority(self) -> int:
        """How many voters the group needs to commit an entry."""
        return GroupConfiguration(self.voters).majority()


class PlacementState:
    """Which member replicates which group; the same at every replica of the cluster's own group."""

    def __init__(self) -> None:
        self.replication_factor = 0  # from the bootstrap record
        self.members: dict[str, EnrolledMember] = {}  # by name
        self.past_ids: dict[str, list[MemberId]] = {}  # by name: superseded ids, which are lost for good
        self.groups: dict[str, GroupPlacement] = {}
        self.moves: dict[str, ReplicaMove] = {}  # by group
        self.move_count = 0  # moves ever started
        self.slow_learners: dict[MemberId, int] = {}  # `move_count` when each failed to catch up in time

    def wanted_replicas(self) -> int:
        """How many replicas each group should have."""
        return replica_count(self.replication_factor, len(self.members))

    def voters(self) -> dict[str, tuple[MemberId, ...]]:
        """The voters of each group, as last reported."""
        return {group: placement.voters for group, placement in self.groups.items()}

    def groups_of(self, member: MemberId) -> list[str]:
        """The groups that an id replicates, or is to replicate after a move."""
        return [
            group
            for group, placement in self.groups.items()
            if member in placement.voters or (group in self.moves and self.moves[group].new == member)
        ]

    def is_current_id(self, member: MemberId) -> bool:
        """Whether this id is its name's current id."""
        enrolled = self.members.get(member_name(member))
        return enrolled is not None and enrolled.id == member

    def zone_of(self, member: MemberId) -> str:
        """The zone of a member; raises KeyError if its name is not enrolled."""
        return self.members[member_name(member)].zone

    def replica_loads(self) -> Counter[MemberId]:
        """How many replicas each member holds, including those that a move is adding."""
        load = Counter(member for placement in self.groups.values() for member in placement.voters)
        for group, move in self.moves.items():
            if move.new and move.new not in self.groups[group].voters:
                load[move.new] += 1
        return load

    def replication_problems(self, view: LeaderView) -> list[str]:
        """Why groups are not fully replicated (`Rule.COPIES_WHOLE`), one line for each problem.

        Empty if every group has all its replicas, with current ids, alive and caught up, and no move is in progress.
        """
        problems = [
            f"{group}: replacing {move.lost or 'none'} by {move.new or 'none'} is in progress"
            for group, move in self.moves.items()
        ]
        for group, placement in self.groups.items():
            problems += self._group_problems(group, placement, view)
        return problems

    def _group_problems(self, group: str, placement: GroupPlacement, view: LeaderView) -> list[str]:
        problems: list[str] = []
        wanted = self.wanted_replicas()
        if len(placement.voters) != wanted:
            problems.append(f"{group}: {len(placement.voters)} replicas instead of {wanted}")
        problems += [
            f"{group}: {member} is lost"
            for member in placement.voters
            if not self.is_current_id(member) or member not in view.alive_ids
        ]
        lagging = dict.fromkeys((*placement.lagging, *view.lagging_replicas.get(group, ())))
        problems += [
            f"{group}: {member} has not caught up" for member in lagging if member in placement.voters
        ]
        return problems
