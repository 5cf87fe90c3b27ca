"""What comes into the decisions of the fleet, and what they ask to be done: values alone."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from badgeryoke.cluster.errors import ClusterError
from badgeryoke.cluster.messages import AnyMessage, GroupConfiguration, LogEntry, MemberId

# What a store keeps of one group
# -------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class HardState:
    """Term and vote; replaces the one before."""

    current_term: int
    voted_for: MemberId


@dataclass(frozen=True, slots=True)
class Entries:
    """Entries at the end of the log; what lies at or behind the first one's index goes."""

    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All up to an index, in place of the entries up to there."""

    last_included_index: int
    last_included_term: int
    config: GroupConfiguration
    body: bytes


@dataclass(frozen=True, slots=True)
class DiscardGroup:
    """The group is not kept here any more."""


Record = HardState | Entries | Snapshot | DiscardGroup


@dataclass(frozen=True, slots=True)
class PersistedGroup:
    """What a store gives back of one group at a start."""

    current_term: int = 0
    voted_for: MemberId = ""
    snapshot: Snapshot | None = None
    entries: tuple[LogEntry, ...] = ()


# Effects of a replica, and of the node that holds many
# ---------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Tell a member.  Lost, late and out of order are all allowed for; twice as well."""

    to: MemberId
    message: AnyMessage


@dataclass(frozen=True, slots=True)
class PersistRecords:
    """Put records on stable storage, in order, then come back with Stored(group, seq).  Several may be
    out; the shell may put many groups' under one fsync.  They are answered in the order in which they were
    asked."""

    group: str
    sequence: int
    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class OperationCompleted:
    """A proposal, a read or a change of members has come to its end: the machine's result, or why not."""

    token: str
    result: Any


@dataclass(frozen=True, slots=True)
class LogEvent:
    """A line for the operators: a level of logging, an event's name, and its fields."""

    level: str
    event: str
    fields: dict[str, Any]


Effect = SendMessage | PersistRecords | OperationCompleted | LogEvent

# Events of a replica
# --------------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has gone on."""


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message to this Id from that one."""

    sender: MemberId
    message: AnyMessage


@dataclass(frozen=True, slots=True)
class RecordsPersisted:
    """Store(group, seq) is on stable storage."""

    group: str
    sequence: int


@dataclass(frozen=True, slots=True)
class StorageFailure:
    """The store takes nothing more: this member promises nothing from here on."""

    error: ClusterError


@dataclass(frozen=True, slots=True)
class ProposeCommand:
    """Put a command into the log; Done(token, what the machine gave for it) when it is applied here."""

    token: str
    body: bytes


@dataclass(frozen=True, slots=True)
class ReadIndexRequest:
    """Done(token, None) once all that was acknowledged before this moment is applied here (read index)."""

    token: str


@dataclass(frozen=True, slots=True)
class ChangeMembership:
    """Take `who` in as a learner, make a learner a voter, or let one go; refused while another change is
    under way."""

    token: str
    action: str  # "learn", "promote" or "remove"
    member: MemberId


@dataclass(frozen=True, slots=True)
class TransferLeadership:
    """Let another lead: `to`, or whoever has most where it is empty."""

    target: MemberId = ""


ReplicaEvent = (
    Tick
    | MessageReceived
    | RecordsPersisted
    | StorageFailure
    | ProposeCommand
    | ReadIndexRequest
    | ChangeMembership
    | TransferLeadership
)

# Further events of a node
# ---------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class ClusterCall:
    """The operators' FLEET call, or a part of this gateway: a command for the group that holds its key.
    The node answers with Done(token, ...) exactly once, within `call_ms`."""

    token: str
    command: Any  # a badgeryoke.cluster.state_machine.part.Command


@dataclass(frozen=True, slots=True)
class LeaveCluster:
    """This process ends in order: it hands its groups over, then says so with Done(token, None)."""

    token: str


NodeEvent = Tick | MessageReceived | RecordsPersisted | StorageFailure | ClusterCall | LeaveCluster
