"""A part of the state that a group's log is applied to, and the tasks of the group's leader for it.

Applying is the same at every replica: it knows no clock but `at_ms` (the group's own time, Unix ms, which never goes
back) and no randomness.  What depends on a machine's own clock (that a lease has expired) is proposed as a command by
the leader.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any, ClassVar, Protocol

import msgspec

from badgeryoke.cluster.errors import AnyError
from badgeryoke.cluster.messages import MemberId
from badgeryoke.cluster.timings import Timings

FLEET = "fleet"  # the name of the cluster's own group: contracts, placement, rolling restarts


class PartName(StrEnum):
    """The parts, by the names that snapshots hold."""

    KEY_VALUE = "promises"
    PLACEMENT = "placing"
    CONTRACTS = "contracts"
    ROLLING_RESTARTS = "rolls"
    GUARANTEED_RATES = "floors"
    CONNECTION_LIMITS = "connections"
    UNREPORTED_USAGE = "owed"


class Command(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """One entry's content.  The same `id` again is answered as the first time and changes nothing."""

    # Changes nothing: answered by `query` once the leader has confirmed that it still leads.
    reads: ClassVar[bool] = False
    # Its id and answer are remembered; not for commands that state their own order (leases).
    once: ClassVar[bool] = True

    id: str

    @classmethod
    def command_name(cls) -> str:
        """The name under which it is stored and called; the name of the type may change, this one may not."""
        return str(cls.__struct_config__.tag)

    def key(self) -> str:
        """What decides the group: "" for the cluster's own, else "t:TENANT", "s:SERVER" or "p:NAME"."""
        return ""

    def validate(self) -> str:
        """The field at fault and what is wrong with it; empty where all is within bounds."""
        return ""


class ApplyResult(msgspec.Struct, frozen=True):
    """What a command came to: `value` (plain data, stored and sent as such) or an error."""

    value: Any = None
    error: AnyError | None = None


@dataclass(frozen=True, slots=True)
class LeaderView:
    """What a leader's tasks may look at, beside the state."""

    now: float  # monotonic here, ms
    wall: float  # the cluster's time, Unix ms
    me: MemberId
    lead_since: float  # `now` when this leader began, and had applied all before
    timings: Timings
    alive: frozenset[MemberId]  # by membership, as an opinion
    dead_for_ms: dict[MemberId, float]  # since this member believes it dead
    zones: dict[str, str]  # the zone of each member's name
    load: dict[str, float]  # figures that the gateway knows: "capacity", "demand", ... (units a second)
    groups: dict[str, tuple[MemberId, ...]]  # voters of each group, as placed
    behind: dict[str, tuple[MemberId, ...]]  # replicas of each group that have not caught up yet


class StateMachinePart(Protocol):
    """One part of a group's state.

    `command` is `Any` here because each part takes its own commands; the registry sees to it that it gets no other.
    """

    def apply(self, at_ms: float, command: Any) -> ApplyResult:
        """Apply a command.  Never raises; a rejected one comes back as an error and changes nothing."""

    def query(self, command: Any) -> ApplyResult:
        """Answer a command that only reads."""

    def leader_tasks(self, view: LeaderView) -> list[Command]:
        """Commands that the leader proposes now, for this group or, by their key, another.

        Asked for at every heartbeat, so each has an id that makes a repeat harmless.
        """

    def seen(self, now: float) -> None:
        """Note that applied entries up to here were seen at `now` by this machine's clock, for what expires."""

    def dump(self) -> Any:
        """All of it as plain data, for a snapshot."""

    def load(self, raw: Any) -> None:
        """Replace all by what `dump` gave."""
