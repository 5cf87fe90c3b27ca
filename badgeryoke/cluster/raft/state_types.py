"""The types that the parts of a replica share: its role, its messages, and what it keeps of other members."""

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
    """The role of a replica in its term; the value is its word in `RaftNode.status`."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre"
    CANDIDATE = "candidate"
    LEADER = "leader"


class ReplicatedStateMachine(Protocol):
    """What the log is applied to: the same at every replica, by the entries alone."""

    def apply(self, now: float, index: int, body: bytes) -> Any:  # each state machine has its own result type
        """Apply a committed command.  `now` may not decide anything that is kept."""

    def dump(self) -> bytes:
        """The complete state, as the body of a snapshot."""

    def restore(self, now: float, body: bytes) -> None:
        """Replace the complete state by one from `dump`."""


@dataclass(slots=True)
class FollowerProgress:
    """What a leader knows of another member's log.

    `probing`: one append at a time is sent until one matches; afterwards appends are pipelined (dissertation,
    10.2.1).
    """

    next_index: int  # of the next entry to send
    last_reply_ms: float
    match_index: int = 0  # persisted by the member up to here, the same as in the leader's log
    replied_round: int = 0  # the latest heartbeat round that it replied to
    catch_up_index: float = math.inf  # the commit index at the last heartbeat
    probing: bool = True
    awaiting_reply: bool = False  # to the probe, or to a chunk of a snapshot
    in_flight: deque[int] = field(default_factory=deque)  # last index of each append without a reply
    snapshot: Snapshot | None = None  # being sent
    received_bytes: int = 0  # of the snapshot being sent
    entries_lost_round: float | None = None  # of its first rejection below `match_index`

    def probe_from(self, next_index: int) -> None:
        """Send one append at a time again, from an index on."""
        self.next_index, self.probing, self.awaiting_reply = next_index, True, False

    def has_caught_up(self) -> bool:
        """Whether it has persisted all that was committed at the last heartbeat."""
        return self.match_index >= self.catch_up_index


@dataclass(frozen=True, slots=True)
class SnapshotSource:
    """Which snapshot is being received.  It continues only from the same leader, as the bytes of another
    leader's snapshot may differ."""

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
    """A write to stable storage without its answer, and what is persisted once it is answered."""

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
    """A transfer of leadership under way at the leader (dissertation, 3.10)."""

    target: MemberId
    deadline_ms: float
    notified: bool = False  # whether TimeoutNow was sent; it is sent again at each heartbeat
