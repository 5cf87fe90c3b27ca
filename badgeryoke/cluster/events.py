"""What comes into the decisions of the fleet, and what they ask to be done: values alone."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from badgeryoke.cluster.errors import FleetError
from badgeryoke.cluster.messages import AnyMessage, Config, Entry, Id

# What a store keeps of one group
# -------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class HardState:
    """Term and vote; replaces the one before."""

    term: int
    vote: Id


@dataclass(frozen=True, slots=True)
class Entries:
    """Entries at the end of the log; what lies at or behind the first one's index goes."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All up to an index, in place of the entries up to there."""

    index: int
    term: int
    config: Config
    body: bytes


@dataclass(frozen=True, slots=True)
class Forget:
    """The group is not kept here any more."""


Record = HardState | Entries | Snapshot | Forget


@dataclass(frozen=True, slots=True)
class Saved:
    """What a store gives back of one group at a start."""

    term: int = 0
    vote: Id = ""
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()


# Effects of a replica, and of the node that holds many
# ---------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Send:
    """Tell a member.  Lost, late and out of order are all allowed for; twice as well."""

    to: Id
    message: AnyMessage


@dataclass(frozen=True, slots=True)
class Store:
    """Put records on stable storage, in order, then come back with Stored(group, seq).  Several may be
    out; the shell may put many groups' under one fsync.  They are answered in the order in which they were
    asked."""

    group: str
    seq: int
    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class Done:
    """A proposal, a read or a change of members has come to its end: the machine's result, or why not."""

    token: str
    result: Any


@dataclass(frozen=True, slots=True)
class Say:
    """A line for the operators: a level of logging, an event's name, and its fields."""

    level: str
    event: str
    fields: dict[str, Any]


Effect = Send | Store | Done | Say

# Events of a replica
# --------------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has gone on."""


@dataclass(frozen=True, slots=True)
class Received:
    """A message to this Id from that one."""

    sender: Id
    message: AnyMessage


@dataclass(frozen=True, slots=True)
class Stored:
    """Store(group, seq) is on stable storage."""

    group: str
    seq: int


@dataclass(frozen=True, slots=True)
class StoreBroke:
    """The store takes nothing more: this member promises nothing from here on."""

    error: FleetError


@dataclass(frozen=True, slots=True)
class Propose:
    """Put a command into the log; Done(token, what the machine gave for it) when it is applied here."""

    token: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Read:
    """Done(token, None) once all that was acknowledged before this moment is applied here (read index)."""

    token: str


@dataclass(frozen=True, slots=True)
class Change:
    """Take `who` in as a learner, make a learner a voter, or let one go; refused while another change is
    under way."""

    token: str
    act: str  # "learn", "promote" or "remove"
    who: Id


@dataclass(frozen=True, slots=True)
class HandOver:
    """Let another lead: `to`, or whoever has most where it is empty."""

    to: Id = ""


ReplicaEvent = Tick | Received | Stored | StoreBroke | Propose | Read | Change | HandOver

# Further events of a node
# ---------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Call:
    """The operators' FLEET call, or a part of this gateway: a command for the group that holds its key.
    The node answers with Done(token, ...) exactly once, within `call_ms`."""

    token: str
    command: Any  # a badgeryoke.cluster.state_machine.part.Command


@dataclass(frozen=True, slots=True)
class Leave:
    """This process ends in order: it hands its groups over, then says so with Done(token, None)."""

    token: str


NodeEvent = Tick | Received | Stored | StoreBroke | Call | Leave
