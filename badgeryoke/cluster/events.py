"""Events that the cluster's code takes in, and effects that it asks its caller to carry out: values only."""

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
    """Term and vote (paper, figure 2); replaces the record before."""

    current_term: int
    voted_for: MemberId


@dataclass(frozen=True, slots=True)
class Entries:
    """Entries at the end of the log; they replace all from the first one's index on."""

    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The state up to `last_included_index`, in place of the entries up to there; `body` is the state machine's."""

    last_included_index: int
    last_included_term: int
    config: GroupConfiguration
    body: bytes


@dataclass(frozen=True, slots=True)
class DiscardGroup:
    """The member keeps no replica of the group any more."""


Record = HardState | Entries | Snapshot | DiscardGroup


@dataclass(frozen=True, slots=True)
class PersistedGroup:
    """What stable storage returns of one group when the process starts."""

    current_term: int = 0
    voted_for: MemberId = ""
    snapshot: Snapshot | None = None
    entries: tuple[LogEntry, ...] = ()


# Effects of a replica, and of the node that holds many


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to a member.  It may be lost, late, out of order or duplicated."""

    to: MemberId
    message: AnyMessage


@dataclass(frozen=True, slots=True)
class PersistRecords:
    """Put records on stable storage, in order, then report `RecordsPersisted(group, sequence)`.

    Several may be open, and many groups' may share one fsync; they are reported in the order of the effects.
    """

    group: str
    sequence: int
    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class OperationCompleted:
    """A proposal, a read or a membership change has ended: the state machine's result, or a `ClusterError`."""

    token: str
    result: Any  # each state machine has its own result type


@dataclass(frozen=True, slots=True)
class LogEvent:
    """A line in the operators' log: its level, the event's name, and its fields."""

    level: str
    event: str
    fields: dict[str, Any]  # any value that the log format renders


Effect = SendMessage | PersistRecords | OperationCompleted | LogEvent

# Events of a replica


@dataclass(frozen=True, slots=True)
class Tick:
    """The time that was asked for by `due_ms` has come."""


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
    """Stable storage has failed: this member answers nothing from here on."""

    error: ClusterError


@dataclass(frozen=True, slots=True)
class ProposeCommand:
    """Append a command to the log; `OperationCompleted` bears the state machine's result once it is applied."""

    token: str
    body: bytes


@dataclass(frozen=True, slots=True)
class ReadIndexRequest:
    """`OperationCompleted(token, None)` once all that was acknowledged before is applied here (read index)."""

    token: str


class MembershipAction(StrEnum):
    """What a membership change does with the member."""

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

# Further events of a node


@dataclass(frozen=True, slots=True)
class ClusterCall:
    """A command for the group that holds its key, from the operators' FLEET call or from this gateway.

    The node answers with `OperationCompleted` exactly once, within `Timings.call_ms`.
    """

    token: str
    command: Command


@dataclass(frozen=True, slots=True)
class LeaveCluster:
    """Graceful shutdown: leadership of all groups is transferred, then `OperationCompleted(token, None)`."""

    token: str


NodeEvent = Tick | MessageReceived | RecordsPersisted | StorageFailure | ClusterCall | LeaveCluster
