"""This member's view of every listed name: its current id, its state and its past ids.

The table only stores; `update_rules` decides which updates change it, and `failure_detector` reads it.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import IntEnum, StrEnum

from badgeryoke.cluster.messages import GossipUpdate, MemberId, member_name
from badgeryoke.cluster.node_setup import Member

LEFT_GRACE_MULTIPLE = 10.0  # multiple of `repair_after_ms` after which a member that left counts as dead


class MemberState(IntEnum):
    """SWIM's member states, with their numbers in `GossipUpdate.state`."""

    ALIVE = 0
    SUSPECTED = 1
    DEAD = 2
    LEFT = 3

    @property
    def is_running(self) -> bool:
        """Whether a member in this state counts as running: a suspected one does until it is dead."""
        return self < MemberState.DEAD

    @property
    def label(self) -> str:
        """The state's name in log events and in answers to operators."""
        return self.name.lower()


class MemberStatus(StrEnum):
    """The status of a name or an id: a state, superseded (no longer its name's current id), or unknown."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    DEAD = "dead"
    LEFT = "left"
    SUPERSEDED = "superseded"
    UNKNOWN = "unknown"


def id_is_known(member_id: MemberId) -> bool:
    """Whether this is a complete id; "name/" stands for a name whose incarnation is unknown."""
    return not member_id.endswith("/")


@dataclass(slots=True)
class MemberRecord:
    """This member's view of one name."""

    name: str
    zone: str
    id: MemberId  # "name/" while the incarnation is unknown
    state: MemberState = MemberState.ALIVE
    incarnation_number: int = 0  # SWIM's number, which only the member itself raises, to refute a suspicion
    state_since_ms: float = 0.0
    suspected_by: dict[MemberId, None] = field(default_factory=dict)  # ids, in the order of their suspicions
    round_trip_ms: float = 0.0  # recent maximum, decaying with each Ack
    past_ids: dict[MemberId, float] = field(default_factory=dict)  # when each superseded id was superseded

    @property
    def is_known(self) -> bool:
        """Whether its incarnation is known."""
        return id_is_known(self.id)

    def gossip_update(self, reporter: MemberId) -> GossipUpdate:
        """This view as an update, attributed to the member that suspected it first, or else to `reporter`."""
        return GossipUpdate(
            self.id, self.state, self.incarnation_number, next(iter(self.suspected_by), reporter)
        )


@dataclass(slots=True)
class LocalMember:
    """This member itself."""

    id: MemberId
    zone: str
    incarnation_number: int = 0
    has_left: bool = False

    @property
    def name(self) -> str:
        """Its name in the operators' list."""
        return member_name(self.id)


class MemberTable:
    """The records of all other members, in the order of the operators' list, and the local member."""

    def __init__(self, local: LocalMember, members: Iterable[Member], now: float) -> None:
        self.local = local
        self._records = {
            member.name: MemberRecord(member.name, member.zone, member.name + "/", state_since_ms=now)
            for member in members
            if member.name != local.name
        }
        self.suspected_names: dict[str, None] = {}  # in the order in which they became suspected

    def __contains__(self, name: str) -> bool:
        return name in self._records

    def __getitem__(self, name: str) -> MemberRecord:
        return self._records[name]

    def __iter__(self) -> Iterator[MemberRecord]:
        return iter(self._records.values())

    def __len__(self) -> int:
        return len(self._records)

    def get(self, name: str) -> MemberRecord | None:
        """The record of another member's name; None if the name is not listed."""
        return self._records.get(name)

    def names(self) -> list[str]:
        """The other members' names."""
        return list(self._records)

    def running_count(self) -> int:
        """How many members count as running, this one included."""
        return 1 + sum(record.state.is_running for record in self)

    def alive_ids(self) -> frozenset[MemberId]:
        """Ids that are alive or suspected, with this member's own id unless it has left."""
        running_ids = [record.id for record in self if record.is_known and record.state.is_running]
        return frozenset(running_ids if self.local.has_left else [*running_ids, self.local.id])

    def dead_for_ms(self, now: float, left_grace_ms: float) -> dict[MemberId, float]:
        """For how long (ms) each id has been considered dead; "name/" stands for a name with unknown incarnation.

        A member that left on purpose counts as dead only `left_grace_ms` later, so that a restart is not a loss.
        """
        dead_for: dict[MemberId, float] = {}
        for record in self:
            for past_id, since in record.past_ids.items():
                dead_for[past_id] = now - since
            if record.state == MemberState.DEAD:
                dead_for[record.id] = now - record.state_since_ms
            elif record.state == MemberState.LEFT and now - record.state_since_ms >= left_grace_ms:
                dead_for[record.id] = now - record.state_since_ms - left_grace_ms
        return dead_for

    def status_of(self, name_or_id: str) -> MemberStatus:
        """The status of a name, or of one id."""
        name = member_name(name_or_id)
        if name == self.local.name:
            if name_or_id not in (self.local.id, name):
                return MemberStatus.SUPERSEDED
            return MemberStatus.LEFT if self.local.has_left else MemberStatus.ALIVE
        record = self.get(name)
        if record is None or (not record.is_known and record.state == MemberState.ALIVE):
            return MemberStatus.UNKNOWN
        if "/" in name_or_id and name_or_id != record.id:
            return MemberStatus.SUPERSEDED if name_or_id in record.past_ids else MemberStatus.UNKNOWN
        return MemberStatus(record.state.label)

    def ids(self) -> dict[str, MemberId]:
        """The last known id of each name; "name/" if its incarnation is unknown."""
        return {self.local.name: self.local.id, **{record.name: record.id for record in self}}

    def zones(self) -> dict[str, str]:
        """The zone of each name."""
        return {self.local.name: self.local.zone, **{record.name: record.zone for record in self}}

    def learn_ids(self, ids: Iterable[MemberId]) -> None:
        """Set the ids of names whose incarnation is still unknown."""
        for member_id in ids:
            record = self.get(member_name(member_id))
            if record is not None and not record.is_known:
                record.id = member_id

    def restart_clocks(self, now: float, missed_ms: float) -> None:
        """Restart suspicions after this process was frozen, and shift the times of past events by `missed_ms`."""
        for record in self:
            if record.state == MemberState.SUSPECTED:
                record.state_since_ms = now
            elif record.state != MemberState.ALIVE:
                record.state_since_ms += missed_ms
            for past_id in record.past_ids:
                record.past_ids[past_id] += missed_ms
