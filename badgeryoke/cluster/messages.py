"""What gateways tell each other, as values: one message is one msgspec Struct, tagged by its name.

A member is named in the operators' file; a member *as it is now* is its `Id`, "name/incarnation": the
incarnation is drawn anew whenever its store is.  Votes and acknowledgements belong to an Id, never to a name.
"""

from __future__ import annotations

import msgspec

PROTOCOL_VERSION = 1
MemberId = str  # "name/incarnation"


def member_name(who: MemberId) -> str:
    """The member's name in the operators' file."""
    return who.partition("/")[0]


class GroupConfiguration(msgspec.Struct, frozen=True, array_like=True):
    """Who holds copies of a group.  Learners are sent everything and counted for nothing."""

    voters: tuple[MemberId, ...]
    learners: tuple[MemberId, ...] = ()

    def majority(self) -> int:
        """So many voters are one."""
        return len(self.voters) // 2 + 1


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of a log.  `kind`: 0 nothing (a new leader's first), 1 a command, 2 a Config."""

    index: int
    term: int
    kind: int
    body: bytes


NOTHING, COMMAND, CONFIG = range(3)


class Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Any message.  Each states its tag, which is on the wire: the name of the type may change, the tag
    may not."""


class GroupMessage(Message, frozen=True):
    """Of one group's replication."""

    group: str
    term: int


class RequestVote(GroupMessage, frozen=True, tag="Ask"):
    """For a vote; `pre`: only whether one would be given (pre-vote, nothing is stored by it).  `lead`: the
    leader has handed over, so that who has heard a leader lately votes all the same."""

    last_log_index: int
    last_log_term: int
    pre_vote: bool
    leadership_transfer: bool = False


class RequestVoteReply(GroupMessage, frozen=True, tag="Vote"):
    """The answer to Ask."""

    vote_granted: bool
    pre_vote: bool


class AppendEntries(GroupMessage, frozen=True, tag="Append"):
    """Entries behind `previous`; none: a heartbeat.  `round` comes back, for reads."""

    prev_log_index: int
    prev_log_term: int
    entries: tuple[LogEntry, ...]
    leader_commit: int
    heartbeat_round: int


class AppendEntriesReply(GroupMessage, frozen=True, tag="Appended"):
    """The answer: what is on stable storage here.  Refused: `index` is where to try next."""

    success: bool
    index: int
    heartbeat_round: int


class InstallSnapshotChunk(GroupMessage, frozen=True, tag="Piece"):
    """A piece of a snapshot up to (`index`, `index_term`), from byte `offset` of `size`."""

    last_included_index: int
    last_included_term: int
    config: GroupConfiguration
    offset_bytes: int
    total_bytes: int
    data: bytes
    heartbeat_round: int


class InstallSnapshotChunkReply(GroupMessage, frozen=True, tag="PieceTaken"):
    """The bytes held of the snapshot up to `index`."""

    last_included_index: int
    received_bytes: int
    heartbeat_round: int


class TimeoutNow(GroupMessage, frozen=True, tag="Lead"):
    """The leader hands over: stand for election at once."""


class ForwardedCall(Message, frozen=True, tag="Forward"):
    """A call on its way to the leader of the group that holds `key`."""

    token: str
    group: str
    body: bytes
    hops: int


class ForwardedReply(Message, frozen=True, tag="Reply"):
    """What became of a Forward: `body` is a `Result` in MessagePack."""

    token: str
    body: bytes


class Ping(Message, frozen=True, tag="Ping"):
    """SWIM's probe.  `target`: who is meant (a restarted process answers for nobody else).  `wall`: the
    sender's clock, Unix ms, 0 where it does not say."""

    seq: int
    target: MemberId
    gossip: tuple[GossipUpdate, ...]
    wall: float = 0.0


class Ack(Message, frozen=True, tag="Ack"):
    """Its answer; `target`: who was alive."""

    seq: int
    target: MemberId
    gossip: tuple[GossipUpdate, ...]
    wall: float = 0.0


class PingRequest(Message, frozen=True, tag="PingFor"):
    """Probe `target` for me (SWIM's indirect probe).  A proxy that hears nothing says so with Nack
    (Lifeguard)."""

    seq: int
    target: MemberId
    gossip: tuple[GossipUpdate, ...]


class Nack(Message, frozen=True, tag="Nack"):
    """The proxy lives, and has heard nothing of the target."""

    seq: int
    target: MemberId
    gossip: tuple[GossipUpdate, ...]


class GossipUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What is told of a member: `state` 0 alive, 1 suspected, 2 dead, 3 left; `count` is its own, and
    grows when it refutes a suspicion; `by` is who suspects it."""

    who: MemberId
    state: int
    count: int
    by: MemberId = ""


class IdentityQuery(Message, frozen=True, tag="WhoAreYou"):
    """A member without a founding asks."""

    sender_hall: str


class Announce(Message, frozen=True, tag="IAm"):
    """The answer; `founding`: the record (MessagePack), empty where there is none yet."""

    hall: str
    founding: bytes


class ClusterFounded(Message, frozen=True, tag="Found"):
    """The founder tells the record; taken only by one that has none and is named in it."""

    founding: bytes


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
    """What one frame on a link holds.  `to`: the Id that is meant, empty where only the name is known."""

    version: int
    fleet: str  # its name
    sender: MemberId
    to: MemberId
    messages: tuple[AnyMessage, ...]
