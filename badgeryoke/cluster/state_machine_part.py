"""The interface of the parts of a group's state machine, and of the leader tasks of a part.

Applying commands is deterministic at every replica: it uses no clock but `at_ms` (the group's own time, Unix ms, which
never goes back) and no randomness.  Anything that depends on a machine's own clock, such as the expiry of a lease, is
proposed by the leader as a command.
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
    """The parts of the state machines; the values are the names stored in snapshots."""

    KEY_VALUE = "promises"
    PLACEMENT = "placing"
    CONTRACTS = "contracts"
    ROLLING_RESTARTS = "rolls"
    GUARANTEED_RATES = "floors"
    CONNECTION_LIMITS = "connections"
    UNREPORTED_USAGE = "owed"


class Command(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """The content of a log entry.  A repeated `id` gets the answer of the first time and changes nothing."""

    # Whether it changes nothing; it is then answered by `query` once the leader has confirmed that it still leads.
    is_read_only: ClassVar[bool] = False
    # Whether its id and answer are remembered; False for commands with their own sequence number (leases).
    remembers_answer: ClassVar[bool] = True

    id: str

    @classmethod
    def command_name(cls) -> str:
        """The name under which the command is stored and called; it is fixed, while the type may be renamed."""
        return str(cls.__struct_config__.tag)

    def key(self) -> str:
        """The key that determines the group: "" for the cluster's own, else "t:TENANT", "s:SERVER" or "p:NAME"."""
        return ""

    def validate(self) -> str:
        """Describe the invalid field and its problem; empty if the command is valid."""
        return ""


class ApplyResult(msgspec.Struct, frozen=True):
    """The result of a command: `value` (plain data, stored and sent as such) or an error."""

    value: Any = None
    error: AnyError | None = None


@dataclass(frozen=True, slots=True)
class LeaderView:
    """The input of leader tasks in addition to the replicated state."""

    now: float  # this machine's monotonic clock, ms
    wall: float  # the cluster's time, Unix ms
    member_id: MemberId
    leader_since_ms: float  # value of `now` when this leader had applied all earlier entries
    timings: Timings
    alive_ids: frozenset[MemberId]  # as seen by this member's failure detector
    dead_for_ms: dict[MemberId, float]  # how long this member has considered each one dead
    zones: dict[str, str]  # by member name
    load: dict[str, float]  # known to the gateway: "capacity", "demand", ... (units per second)
    voters_by_group: dict[str, tuple[MemberId, ...]]  # voters of each group according to the placement
    lagging_replicas: dict[str, tuple[MemberId, ...]]  # replicas of each group that have not caught up


class StateMachinePart(Protocol):
    """One part of a group's state.

    `command` is `Any` because each part handles its own command types; the registry routes no others to it.
    """

    def apply(self, at_ms: float, command: Any) -> ApplyResult:
        """Apply a command.  Never raises; a rejected command returns an error and changes nothing."""

    def query(self, command: Any) -> ApplyResult:
        """Answer a command that only reads."""

    def leader_tasks(self, view: LeaderView) -> list[Command]:
        """Return the commands that the leader proposes now, for this group or, depending on their key, another.

        Called at every heartbeat; each command has an id that makes repeating it harmless.
        """

    def record_applied(self, now: float) -> None:
        """Record that all entries applied so far were applied by `now` (this machine's clock); expiry counts from it."""

    def dump(self) -> Any:
        """Return the whole state as plain data, for a snapshot."""

    def load(self, raw: Any) -> None:
        """Replace the whole state with what `dump` returned."""
