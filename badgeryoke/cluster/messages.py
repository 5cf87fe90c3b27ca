"""Messages between gateways; each is a msgspec Struct.

On the wire a message is a MessagePack array of its tag and its fields in order.  The tags and the order and types of
fields are therefore fixed, while the names of fields and types may change.

The operators' file lists members by name.  A `MemberId`, "name/incarnation", identifies a member together with its
store: the incarnation is random and is generated anew with each new store.  Votes and acknowledgements belong to a
member id, never to a name.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec

PROTOCOL_VERSION = 1
MemberId = str  # "name/incarnation"


def member_name(member: MemberId) -> str:
    """The member's name in the operators' file."""
    return member.partition("/")[0]


class GroupConfiguration(msgspec.Struct, frozen=True, array_like=True):
    """The members that hold a replica of a group.  Learners receive all entries but have no vote."""

    voters: tuple[MemberId, ...]
    learners: tuple[MemberId, ...] = ()

    def majority(self) -> int:
        """The smallest number of voters that is a quorum."""
        return len(self.voters) // 2 + 1


class EntryKind(IntEnum):
    """What a log entry holds.  The numbers are used on the wire and on disk."""

    NOTHING = 0  # the first entry of a new leader (Raft paper, section 8)
    COMMAND = 1  # for the state machine
    CONFIG = 2  # a `GroupConfiguration` in MessagePack


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of a log.

    `kind` is an `EntryKind`, declared as an int so that an entry of a kind that this version does not know still
    decodes; such an entry is applied without effect.
    """

    index: int
    term: int
    kind: int
    body: bytes


class Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base class of all messages.  Each concrete message states its wire tag explicitly."""


class GroupMessage(Message, frozen=True):
    """A Raft message of one group; `term` is the sender's current term, except in a pre-vote."""

    group: str
    term: int


class RequestVote(GroupMessage, frozen=True, tag="Ask"):
    """A candidate requests a vote (Raft paper, 5.2).

    `pre_vote`: the candidate only polls whether a vote would be granted in the next term, which is then the value of
    `term`; nothing is persisted (Raft dissertation, 9.6).  `leadership_transfer`: the leader is transferring its
    leadership, so members grant the vote even if they have heard from a leader recently (Raft dissertation, 4.2.3).
    """

    last_log_index: int
    last_log_term: int
    pre_vote: bool
    leadership_transfer: bool = False


class RequestVoteReply(GroupMessage, frozen=True, tag="Vote"):
    """The reply to `RequestVote`."""

    vote_granted: bool
    pre_vote: bool


class AppendEntries(GroupMessage, frozen=True, tag="Append"):
    """The leader's entries after `prev_log_index`; without entries it is a heartbeat (Raft paper, 5.3).

    The reply repeats `heartbeat_round`, which confirms reads (Raft dissertation, 6.4).
    """

    prev_log_index: int
    prev_log_term: int
    entries: tuple[LogEntry, ...]
    leader_commit: int
    heartbeat_round: int


class AppendEntriesReply(GroupMessage, frozen=True, tag="Appended"):
    """The reply to `AppendEntries`, and to the last chunk of a snapshot.

    `index`: on success, the last index up to which the follower's persisted log matches; otherwise the next index that
    the leader has to send.
    """

    success: bool
    index: int
    heartbeat_round: int


class InstallSnapshotChunk(GroupMessage, frozen=True, tag="Piece"):
    """Part of a snapshot, from byte `offset_bytes` of `total_bytes` (Raft paper, figure 13)."""

    last_included_index: int
    last_included_term: int
    config: GroupConfiguration
    offset_bytes: int
    total_bytes: int
    data: bytes
    heartbeat_round: int


class InstallSnapshotChunkReply(GroupMessage, frozen=True, tag="PieceTaken"):
    """The reply to a chunk: the number of bytes of the snapshot that the follower has received."""

    last_included_index: int
    received_bytes: int
    heartbeat_round: int


class TimeoutNow(GroupMessage, frozen=True, tag="Lead"):
    """The leader transfers its leadership: the receiver starts an election at once (Raft dissertation, 3.10)."""


class ForwardedCall(Message, frozen=True, tag="Forward"):
    """A call forwarded to the leader of its group.  `hops` is sent but not evaluated."""

    token: str
    group: str
    body: bytes
    hops: int


class ForwardedReply(Message, frozen=True, tag="Reply"):
    """The reply to `ForwardedCall`; `body` is the result in MessagePack."""

    token: str
    body: bytes


class Ping(Message, frozen=True, tag="Ping"):
    """The probe of SWIM (Das, Gupta and Motivala, 2002).

    `target`: the probed member id; a process answers only for its own id.  `wall_clock_ms`: the sender's wall clock
    (Unix ms), 0 if not reported.
    """

    seq: int
    target: MemberId
    gossip: tuple[GossipUpdate, ...]
    wall_clock_ms: float = 0.0


class Ack(Message, frozen=True, tag="Ack"):
    """The reply to `Ping`, directly or through a proxy; `target`: the member that is alive."""

    seq: int
    target: MemberId
    gossip: tuple[GossipUpdate, ...]
    wall_clock_ms: float = 0.0


class PingRequest(Message, frozen=True, tag="PingFor"):
    """Requests a probe of `target` on behalf of the sender (SWIM's indirect probe).

    A proxy that gets no answer replies with `Nack` (Lifeguard; Dadgar, Phillips and Currey, 2017).
    """

    seq: int
    target: MemberId
    gossip: tuple[GossipUpdate, ...]


class Nack(Message, frozen=True, tag="Nack"):
    """The proxy is alive, and the target has not answered it."""

    seq: int
    target: MemberId
    gossip: tuple[GossipUpdate, ...]


class GossipUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Gossip about the member `who`.

    `state`: 0 alive, 1 suspected, 2 dead, 3 left.  `count`: SWIM's incarnation number, which only the member itself
    increments, to refute a suspicion.  `by`: the member that suspects it.
    """

    who: MemberId
    state: int
    count: int
    by: MemberId = ""


class IdentityQuery(Message, frozen=True, tag="WhoAreYou"):
    """A member without a bootstrap record asks another member for it."""

    sender_zone: str


class Announce(Message, frozen=True, tag="IAm"):
    """The reply to `IdentityQuery`; `bootstrap_record` is MessagePack, empty if there is none yet."""

    zone: str
    bootstrap_record: bytes


class ClusterFounded(Message, frozen=True, tag="Found"):
    """The creator distributes the bootstrap record to the founders; a member that has a record ignores it."""

    bootstrap_record: bytes


AnyMessage = (
    RequestVote
    | RequestVoteReply
    | AppendEntries
    | AppendEntriesReply
    | InstallSnapshotChunk
    | InstallSnapshotChunkReply
    | TimeoutNow
    | ForwardedCall
    | ForwardedReply
    | Ping
    | Ack
    | PingRequest
    | Nack
    | IdentityQuery
    | Announce
    | ClusterFounded
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """The content of one frame on a connection.

    `to`: the receiver's member id; "NAME", "NAME/" or empty if its incarnation is not known.
    """

    version: int
    cluster: str  # the name of the cluster
    sender: MemberId
    to: MemberId
    messages: tuple[AnyMessage, ...]
