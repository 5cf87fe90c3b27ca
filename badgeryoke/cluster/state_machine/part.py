"""A part of what a group's log is applied to, and the work that the group's leader does for it.

Applying is the same at every copy: it knows no clock but `at_ms` (the group's own, Unix ms, which never goes
back) and no chance.  What depends on a machine's own clock (that a lease is over) is proposed as a command by
the leader.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, ClassVar, Protocol

import msgspec

from badgeryoke.cluster.errors import AnyError
from badgeryoke.cluster.messages import MemberId
from badgeryoke.cluster.timings import Timings

FLEET = "fleet"  # the one group for the whole fleet: admission, who copies what, rolls


class Command(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """One entry's content.  The same `id` again is answered as the first time and changes nothing."""

    # changes nothing: answered by `Part.look` once the leader knows that it leads
    reads: ClassVar[bool] = False
    # its id and answer are kept; not for those that state their own order (leases)
    once: ClassVar[bool] = True

    id: str

    @classmethod
    def command_name(cls) -> str:
        """The name under which it is stored and called; the name of the type may change, this one may not."""
        return str(cls.__struct_config__.tag)

    def key(self) -> str:
        """What decides the group: "" for the fleet's own, else "t:TENANT", "s:SERVER" or "p:PROMISE"."""
        return ""

    def validate(self) -> str:
        """The key at fault and what is wrong with it; empty where all is within bounds."""
        return ""


class ApplyResult(msgspec.Struct, frozen=True):
    """What a command came to: `value` (plain data) or an error."""

    value: Any = None
    error: AnyError | None = None


@dataclass(frozen=True, slots=True)
class LeaderView:
    """What the leader's work may look at, beside the state.  `lead_since`: `now` when this one began to
    lead and had applied all before."""

    now: float  # monotonic here, ms
    wall: float  # Unix ms
    me: MemberId
    lead_since: float
    timings: Timings
    alive: frozenset[MemberId]  # by membership, as an opinion
    dead_for_ms: dict[MemberId, float]  # ms since this member believes it dead
    zones: dict[str, str]  # hall of each member's name
    load: dict[str, float]  # figures that the gateway knows: "capacity", "demand", ... (units a second)
    groups: dict[str, tuple[MemberId, ...]]  # voters of each group, as the fleet's group has placed them
    behind: dict[str, tuple[MemberId, ...]]  # learners of the groups led here that have not caught up yet


class StateMachinePart(Protocol):
    """One part of a group's state."""

    def apply(self, at_ms: float, command: Any) -> ApplyResult:
        """Take a command in.  Never raises; a faulty one comes back as an error and changes nothing."""

    def leader_tasks(self, view: LeaderView) -> list[Command]:
        """Commands that the leader proposes now (for this group or, by their key, another); asked for every
        heartbeat, so each has an id that makes a repeat harmless."""

    def seen(self, now: float) -> None:
        """Applied entries up to here were seen at `now` by this machine's clock (for what ends by time)."""

    def dump(self) -> Any:
        """All of it as plain data, for a snapshot."""

    def load(self, raw: Any) -> None:
        """In place of all there is."""
