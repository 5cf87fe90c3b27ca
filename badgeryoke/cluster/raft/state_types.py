"""The types that the parts of a replica share: its role, its messages, and the progress of other members."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

from badgeryoke.cluster.events import Snapshot
from badgeryoke.cluster.messages import (
    AppendEntries,
    AppendEntriesReply,
    InstallSnapshotChunk,
    InstallSnapshotChunkReply,
    MemberId,
    RequestVote,
    RequestVoteReply,
    TimeoutNow,
)

RaftMessage = (
    RequestVote
    | RequestVoteReply
    | AppendEntries
    | AppendEntriesReply
    | InstallSnapshotChunk
    | InstallSnapshotChunkReply
    | TimeoutNow
)


class Role(Enum):
    """The role of a replica in its term; `RaftNode.status` reports the value."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre"
    CANDIDATE = "candidate"
    LEADER = "leader"


class ReplicatedStateMachine(Protocol):
    """The state machine that the log is applied to; its state depends on the entries alone."""

    def apply(self, now: float, index: int, body: bytes) -> Any:  # each state machine has its own result type
        """Apply a committed command.  The state must not depend on `now`, which is this replica's own clock (ms)."""

    def dump(self) -> bytes:
        """The complete state, as the body of a snapshot."""

    def restore(self, now: float, body: bytes) -> None:
        """Replace the complete state by one that `dump` returned."""


@dataclass(slots=True)
class FollowerProgress:
    """What a leader knows about another member's log.

    `probing`: the leader sends one append at a time until one matches, and pipelines appends afterwards
    (dissertation, 10.2.1).
    """

    next_index: int  # index of the next entry to send
    last_reply_ms: float
    match_index: int = 0  # up to here the member has persisted the leader's entries
    replied_round: int = 0  # the latest heartbeat round that the member replied to
    catch_up_index: float = math.inf  # the leader's commit index at the last heartbeat
    probing: bool = True
    awaiting_reply: bool = False  # whether a probe or a snapshot chunk is unanswered
    in_flight: deque[int] = field(default_factory=deque)  # the last index of each unanswered append
    snapshot: Snapshot | None = None  # the snapshot that is being sent
    received_bytes: int = 0  # how much of that snapshot the member has received
    # Heartbeat round of the first rejection at or below `match_index`.
    entries_lost_round: float | None = None

    def probe_from(self, next_index: int) -> None:
        """Start probing again, from an index on."""
        self.next_index, self.probing, self.awaiting_reply = next_index, True, False

    def has_caught_up(self) -> bool:
        """Whether the member has persisted all entries that were committed at the last heartbeat."""
        return self.match_index >= self.catch_up_index


@dataclass(frozen=True, slots=True)
class SnapshotSource:
    """Identifies the snapshot that is being received.

    A transfer continues only from the same leader, as the bytes of another leader's snapshot may differ.
    """

    leader: MemberId
    last_included_index: int
    last_included_term: int
    total_bytes: int


@dataclass(slots=True)
class IncomingSnapshot:
    """A snapshot that is being received."""

    source: SnapshotSource
    data: bytearray = field(default_factory=bytearray)


@dataclass(slots=True)
class OpenWrite:
    """An unconfirmed write to stable storage, and what is persisted once it is confirmed."""

    sequence: int
    last_index: int
    current_term: int
    voted_for: MemberId


@dataclass(frozen=True, slots=True)
class WithheldMessage:
    """A message that is sent once the write with this sequence number is persisted."""

    sequence: int
    to: MemberId
    message: RaftMessage


@dataclass(frozen=True, slots=True)
class PendingRead:
    """A read that is completed once a majority has replied to its heartbeat round."""

    heartbeat_round: int
    token: str


@dataclass(slots=True)
class PendingTransfer:
    """A leadership transfer in progress at the leader (dissertation, 3.10)."""

    target: MemberId
    deadline_ms: float
    notified: bool = False  # whether TimeoutNow was sent; it is resent at each heartbeat
