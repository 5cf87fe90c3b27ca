"""Events that the cluster's code handles, and effects that its caller has to carry out."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from badgeryoke.cluster.errors import ClusterError
from badgeryoke.cluster.messages import AnyMessage, GroupConfiguration, LogEntry, MemberId
from badgeryoke.cluster.state_machine_part import Command

# Records of one group on stable storage


@dataclass(frozen=True, slots=True)
class HardState:
    """Term and vote (Raft paper, figure 2); replaces the previous record."""

    current_term: int
    voted_for: MemberId


@dataclass(frozen=True, slots=True)
class Entries:
    """Entries at the end of the log; they replace all stored entries from the index of the first one on."""

    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The state up to `last_included_index`, which replaces the entries up to there.

    `body` is the encoded state of the state machine.
    """

    last_included_index: int
    last_included_term: int
    config: GroupConfiguration
    body: bytes


@dataclass(frozen=True, slots=True)
class DiscardGroup:
    """Delete everything stored for the group: the member no longer holds a replica of it."""


Record = HardState | Entries | Snapshot | DiscardGroup


@dataclass(frozen=True, slots=True)
class PersistedGroup:
    """What stable storage holds for one group when the process starts."""

    current_term: int = 0
    voted_for: MemberId = ""
    snapshot: Snapshot | None = None
    entries: tuple[LogEntry, ...] = ()


# Effects of a replica, and of a node, which holds many replicas


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to a member.  Delivery may fail, be delayed or reordered, or happen twice."""

    to: MemberId
    message: AnyMessage


@dataclass(frozen=True, slots=True)
class PersistRecords:
    """Write records to stable storage, in order, then report `RecordsPersisted(group, sequence)`.

    Several writes may be in flight, and writes of many groups may share one fsync; they are reported in the order of
    the effects.
    """

    group: str
    sequence: int
    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class OperationCompleted:
    """A proposal, a read or a membership change has completed with a result or a `ClusterError`."""

    token: str
    result: Any  # each kind of operation has its own result type


@dataclass(frozen=True, slots=True)
class LogEvent:
    """A line for the operators' log: its level, the name of the event, and its fields."""

    level: str
    event: str
    fields: dict[str, Any]  # any value that the log format renders


Effect = SendMessage | PersistRecords | OperationCompleted | LogEvent

# Events of a replica


@dataclass(frozen=True, slots=True)
class Tick:
    """The time at which a Tick was due has come."""


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message from another member has arrived."""

    sender: MemberId
    message: AnyMessage


@dataclass(frozen=True, slots=True)
class RecordsPersisted:
    """The records of `PersistRecords(group, sequence)` are on stable storage."""

    group: str
    sequence: int


@dataclass(frozen=True, slots=True)
class StorageFailure:
    """Stable storage has failed: this member acknowledges nothing any more."""

    error: ClusterError


@dataclass(frozen=True, slots=True)
class ProposeCommand:
    """Append a command to the log; `OperationCompleted` carries the state machine's result once it is applied."""

    token: str
    body: bytes


@dataclass(frozen=True, slots=True)
class ReadIndexRequest:
    """Request `OperationCompleted(token, None)` once every write acknowledged so far is applied here (read index)."""

    token: str


class MembershipAction(StrEnum):
    """The action of a membership change."""

    LEARN = "learn"  # add it as a learner
    PROMOTE = "promote"  # make the learner a voter
    REMOVE = "remove"


@dataclass(frozen=True, slots=True)
class ChangeMembership:
    """Change the group's configuration by one member; rejected while another change is in flight."""

    token: str
    action: MembershipAction
    member: MemberId


@dataclass(frozen=True, slots=True)
class TransferLeadership:
    """Transfer leadership to `target`, or to the most up-to-date voter where it is empty."""

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

# Events of a node


@dataclass(frozen=True, slots=True)
class ClusterCall:
    """A command for the group that holds its key, from an operator's FLEET call or from this gateway.

    The node answers with `OperationCompleted` exactly once, within `Timings.call_ms`.
    """

    token: str
    command: Command


@dataclass(frozen=True, slots=True)
class LeaveCluster:
    """Graceful shutdown: transfer the leadership of all groups, then report `OperationCompleted(token, None)`."""

    token: str


NodeEvent = Tick | MessageReceived | RecordsPersisted | StorageFailure | ClusterCall | LeaveCluster
