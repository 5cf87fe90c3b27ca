"""One copy of a group's log, and the machine that the log is applied to: Raft as published, without any I/O.

Sources: Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm (Extended Version)", 2014,
and Ongaro's dissertation, 2014: pre-vote and check-quorum (9.6, 6.2), stickiness to a leader that is heard
(4.2.3), hand-over (3.10), one change of members at a time with learners first (4.1, 4.2.1), read index (6.4),
pipelining and writing to the leader's disk in parallel (10.2).  `docs/design/replication.md` says what is
promised, and which options lost.

The promise: what `Done` gives for a proposal is on stable storage of a majority and stays applied at that
place; a read that is done has seen all that was acknowledged before it began.  An outcome that is not known
is `UnknownOutcome`.

Stable storage.  `Store` effects go out in order and several may be open.  A vote, a candidate's asking and a
good answer to the leader wait here until the records they rest on are stored; the leader sends entries at
once, and counts itself when they are stored.  After `StoreBroke` this copy answers nothing more, ever.

Who is answered.  Votes are counted only from Ids that are voters in the candidate's own configuration, so an
earlier incarnation's never are.  But a voter answers any asker that is a member here, *and* one it does not
know whose log is strictly newer than its own: that one may be a member by an entry that is missing here, and
a group could otherwise stay without a leader for good.  An unknown asker with no newer log is not answered
and moves no term here.  Removed members disturb nobody, as they get no pre-vote while a leader is heard.
"""

from __future__ import annotations

import math
import random
from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

from badgeryoke.cluster.errors import (
    ClusterError,
    InvalidCall,
    InvariantBroken,
    NoLeader,
    NotFound,
    Overloaded,
    StorageFailed,
    UnknownOutcome,
    WrongState,
)
from badgeryoke.cluster.events import (
    ChangeMembership,
    DiscardGroup,
    Effect,
    Entries,
    HardState,
    LogEvent,
    MessageReceived,
    OperationCompleted,
    PersistedGroup,
    PersistRecords,
    ProposeCommand,
    ReadIndexRequest,
    Record,
    RecordsPersisted,
    ReplicaEvent,
    SendMessage,
    Snapshot,
    StorageFailure,
    Tick,
    TransferLeadership,
)
from badgeryoke.cluster.invariants import Invariants, Rule
from badgeryoke.cluster.messages import (
    COMMAND,
    CONFIG,
    NOTHING,
    AppendEntries,
    AppendEntriesReply,
    GroupConfiguration,
    InstallSnapshotChunk,
    InstallSnapshotChunkReply,
    LogEntry,
    MemberId,
    RequestVote,
    RequestVoteReply,
    TimeoutNow,
)
from badgeryoke.cluster.raft.log import RaftLog, encode_config
from badgeryoke.cluster.timings import Timings

WINDOW = 4  # batches to one member without an answer; what comes meanwhile makes the next batch
MOST_BODY = 128 * 1024  # bytes of one proposal; a longer one is refused
MOST_BATCH_BYTES = 256 * 1024  # bytes of one append's entries; a single entry may be as long as it is
MOST_SNAPSHOT = 64 * 1024 * 1024  # bytes; a longer one is not taken in
MOST_HELD = 4096  # messages that wait for the store; the oldest then counts as lost
MOST_STORES = 1024  # stores open; a leader takes no proposals then
QUIET = 3  # beats of a leader with nothing to say, within `election_ms`

Told = (
    RequestVote
    | RequestVoteReply
    | AppendEntries
    | AppendEntriesReply
    | InstallSnapshotChunk
    | InstallSnapshotChunkReply
    | TimeoutNow
)


class Role(Enum):
    """Where a copy stands in its term."""

    FOLLOWER = "follower"
    PRE = "asks whether it would be voted for"
    CANDIDATE = "candidate"
    LEADER = "leader"


class ReplicatedStateMachine(Protocol):
    """What the log is applied to: the same at every copy, by the entries alone."""

    def apply(self, now: float, index: int, body: bytes) -> Any:
        """Take a command in; `now` may not decide anything that is kept."""

    def dump(self) -> bytes:
        """All of it."""

    def restore(self, now: float, body: bytes) -> None:
        """In place of all there is, from `dump`."""


@dataclass(slots=True)
class FollowerProgress:
    """What a leader knows of another member."""

    next: int  # index to send next
    heard: float  # when it last answered
    match: int = 0  # on its stable storage up to here, as in the leader's log
    round: int = 0  # the last one it answered
    goal: float = math.inf  # the commit index at the last heartbeat: caught up when `match` is there
    probing: bool = True  # one append at a time, until one fits
    waiting: bool = False  # for the answer to it, or to a piece
    flight: deque[int] = field(default_factory=deque)  # last index of each batch without an answer
    snapshot: Snapshot | None = None  # on its way there
    held: int = 0  # bytes of it that are there
    doubted: float | None = None  # round of its first refusal below `match` since a good answer


@dataclass(slots=True)
class _Taking:
    """A snapshot on its way here.  Goes on only from the same leader: another's bytes may differ."""

    key: tuple[MemberId, int, int, int]  # sender, index, its term, size
    body: bytearray


@dataclass(slots=True)
class _Open:
    """A store without its answer: what it makes stable."""

    seq: int
    last: int
    term: int
    vote: MemberId


class RaftNode:
    """One copy.  `due`: when the next Tick has to come at the latest (ms, inf for never)."""

    def __init__(
        self,
        group: str,
        me: MemberId,
        saved: PersistedGroup,
        machine: ReplicatedStateMachine,
        timings: Timings,
        draw: random.Random,
        rules: Invariants,
        now: float,
        config: GroupConfiguration | None = None,
    ) -> None:
        """`config` counts only where `saved` is empty; ValueError where `saved` does not hold together."""
        self.group, self.me, self._machine, self._timings = group, me, machine, timings
        self._draw, self._rules = draw, rules
        self.term, self.vote = saved.term, saved.vote
        self.role, self.leader = Role.FOLLOWER, ""
        self.leading, self.lead_since = False, 0.0
        self.stopped: ClusterError | None = None  # why this copy promises nothing more
        self._records: list[Record] = []  # for the next store
        self._snapshot = saved.snapshot
        if config is not None and saved == PersistedGroup():
            self._log = RaftLog(0, 0, config)
            self._snapshot = Snapshot(0, 0, config, machine.dump())
            self._records.append(self._snapshot)
        else:
            self._log = RaftLog.load(saved)
            if saved.snapshot is not None:
                machine.restore(now, saved.snapshot.body)
        self.commit = self.applied = self._log.base
        self._member = False  # a committed configuration has had this one
        self._note_member()
        # Stable: what the store has said is stored, so far as it is still so in the log here.
        self._safe_index, self._safe_term, self._safe_vote = self._log.last, self.term, self.vote
        self._seq = self._stored = 0
        self._open: deque[_Open] = deque()
        self._held: deque[tuple[int, MemberId, Told]] = deque()
        self._out: list[Effect] = []
        # Of a follower or candidate.
        self._heard = -math.inf  # a leader's word
        self._told_commit = math.inf  # what the leader last told to be committed; nothing yet
        self._patience = self._timings.election_ms * (1.0 + draw.random())
        self._deadline = now + self._patience
        self._votes: dict[MemberId, None] = {}
        self._taking: _Taking | None = None
        self._round_told = 0
        self._led = (0, "")  # the last term in which a leader was seen, and it
        # Of a leader.
        self._peers: dict[MemberId, FollowerProgress] = {}
        self._pending: dict[int, str] = {}  # tokens of proposals and changes by index
        self._reads: deque[tuple[int, str]] = deque()  # round that has to come back, token
        self._new_reads: list[str] = []  # wait for the next round
        self._round = self._round_back = 0
        self._beat = math.inf
        self._beaten = -math.inf  # the last heartbeat
        self._lead_index = 0  # of the term's first entry
        self._quorum_until = -math.inf
        self._handing: tuple[MemberId, float] | None = None  # to whom, and until when
        self._lead_told = False  # to stand; told again at each heartbeat
        self.due = math.inf
        self._set_due()

    # What others may look at
    # ------------------------------------------------------------------------------------------

    @property
    def config(self) -> GroupConfiguration:
        """The configuration that holds here; empty at a newcomer."""
        return self._log.config or GroupConfiguration(())

    @property
    def whole(self) -> bool:
        """Whether this copy has applied all that its leader told to be committed, at its last word."""
        return self.leading or (bool(self.leader) and self._told_commit <= self.commit == self.applied)

    @property
    def config_index(self) -> int:
        """Where the configuration that holds here stands in the log; committed once `commit` is there."""
        return self._log.config_index

    @property
    def last(self) -> int:
        """The last index of the log."""
        return self._log.last

    @property
    def removed(self) -> bool:
        """Whether a committed configuration has let this member go, after one that had it (known since the
        start)."""
        config = self._log.config_at(self.commit)
        return (
            self._member
            and config is not None
            and self.me not in config.voters
            and self.me not in config.learners
        )

    def behind(self) -> tuple[MemberId, ...]:
        """Learners that have not caught up, by the leader."""
        return tuple(who for who in self.config.learners if not self._caught_up(who)) if self.leading else ()

    def lagging(self) -> tuple[MemberId, ...]:
        """Voters that have not caught up, by the leader; each is that for a moment now and then."""
        return (
            tuple(who for who in self.config.voters if who != self.me and not self._caught_up(who))
            if self.leading
            else ()
        )

    def status(self, now: float) -> dict[str, Any]:
        """For operators."""
        return {
            "group": self.group,
            "role": self.role.name.lower(),
            "term": self.term,
            "leader": self.leader,
            "voters": list(self.config.voters),
            "learners": list(self.config.learners),
            "last": self.last,
            "commit": self.commit,
            "applied": self.applied,
            "stored": self._safe_index,
            "in_flight": len(self._pending),
            "stopped": None if self.stopped is None else str(self.stopped),
            "members": {
                who: {
                    "match": peer.match,
                    "heard_ms": now - peer.heard,
                    "snapshot_bytes": peer.held if peer.snapshot is not None else None,
                }
                for who, peer in self._peers.items()
            },
        }

    # Events
    # -----------------------------------------------------------------------------------------------------------

    def handle(self, now: float, event: ReplicaEvent) -> list[Effect]:
        """Take an event in; gives what has to be done, in order."""
        out: list[Effect] = []
        self._out = out
        if self.stopped is not None:
            if isinstance(event, ProposeCommand | ReadIndexRequest | ChangeMembership):
                out.append(OperationCompleted(event.token, self.stopped))
            return out
        # First: a process that stood still must not go on as the leader, nor count what waited for it as just
        # said.
        if self.role is Role.LEADER and now > self._quorum_until and not self._has_quorum(now):
            self._say("warning", "majority-not-heard")
            self._follow(now, self.term)
        match event:
            case MessageReceived(sender, message):
                self._received(now, sender, message)
            case RecordsPersisted(_, seq):
                self._on_stored(now, seq)
            case ProposeCommand(token, body):
                self._propose(now, token, body)
            case ReadIndexRequest(token):
                self._read(now, token)
            case Tick():
                self._tick(now)
            case ChangeMembership():
                self._change(now, event)
            case TransferLeadership(to):
                self._hand_over(now, to)
            case StorageFailure(error):
                self._stop(
                    now, error
                )  # a broken rule as well, and told as one: at the disk there is nothing to see to
        self._flush()
        self._set_due()
        return out

    def forget(self) -> list[Effect]:
        """This member keeps no copy any more: its log goes, and it answers nothing from here on.

        Term and vote stay: taken in again under the same Id, it must not vote a second time in a term.
        """
        out: list[Effect] = []
        self._out = out
        self._stop(0.0, NotFound(self.group, "no copy is kept here"))
        self._seq += 1
        out.append(PersistRecords(self.group, self._seq, (DiscardGroup(), HardState(self.term, self.vote))))
        return out

    def _flush(self) -> None:
        """One store for all that one event changed."""
        if self._records and self.stopped is None:
            self._seq += 1
            self._open.append(_Open(self._seq, self._log.last, self.term, self.vote))
            self._out.insert(0, PersistRecords(self.group, self._seq, tuple(self._records)))
            self._records = []

    def _set_due(self) -> None:
        if self.stopped is not None:
            self.due = math.inf
        elif self.role is Role.LEADER:
            self.due = self._beat if self._handing is None else min(self._beat, self._handing[1])
        else:
            self.due = self._deadline if self.me in self.config.voters else math.inf

    def _tick(self, now: float) -> None:
        if self.role is Role.LEADER:
            if self._handing is not None and now >= self._handing[1]:
                self._say("warning", "hand-over-failed", to=self._handing[0])
                self._handing = None
            if now >= self._beat:
                if self._quiet(now):
                    self._beat = self._grid(now)
                else:
                    self._heartbeat(now)
        elif now >= self._deadline and self.me in self.config.voters:
            self._stand(now)

    # Terms and votes
    # --------------------------------------------------------------------------------------------------

    def _harden(self, term: int, vote: MemberId) -> None:
        """Move to a term and a vote in it."""
        if not self._rule(
            Rule.VOTE_ONCE,
            term > self.term or (term == self.term and self.vote in ("", vote)),
            lambda: f"{self.me} voted for {self.vote} in {self.term}, then {vote} in {term}",
        ):
            return
        self.term, self.vote = term, vote
        if self._records and isinstance(self._records[-1], HardState):
            self._records.pop()
        self._records.append(HardState(term, vote))

    def _follow(self, now: float, term: int, leader: MemberId = "") -> None:
        """Be a follower in a term, of that leader where it is known."""
        if self.role is Role.LEADER:
            self._end_lead()
        if self.role is not Role.FOLLOWER or leader:
            self._deadline = now + self._patience
        if term > self.term:
            self._harden(term, "")
            self._taking, self._round_told = None, 0
        if self.role is not Role.FOLLOWER:
            self.role = Role.FOLLOWER
            self._patience = self._timings.election_ms * (1.0 + self._draw.random())
            self._deadline = now + self._patience
        self.leader = leader

    def _stand(self, now: float) -> None:
        """Ask whether votes would be given; nothing is stored by it and no term moves.  Asked again soon,
        as one lost message or one voter that has just heard the leader must not cost a whole election
        time."""
        self.role, self.leader, self._votes = Role.PRE, "", {self.me: None}
        self._deadline = now + self._timings.election_ms * (0.25 + 0.25 * self._draw.random())
        if len(self._votes) >= self.config.majority():
            self._elect(now)
            return
        for who in self.config.voters:
            if who != self.me:
                self._tell(
                    who,
                    RequestVote(
                        self.group, self.term + 1, self._log.last, self._log.term_at(self._log.last), True
                    ),
                )

    def _elect(self, now: float, lead: bool = False) -> None:
        """Stand in a new term.  The own vote counts, and others are asked, once it is stored."""
        self._harden(self.term + 1, self.me)
        self.role, self.leader, self._votes, self._taking, self._round_told = Role.CANDIDATE, "", {}, None, 0
        self._deadline = now + self._timings.election_ms * (0.5 + 0.5 * self._draw.random())
        last, last_term = self._log.last, self._log.term_at(self._log.last)
        for who in self.config.voters:
            if who != self.me:
                self._tell_stored(who, RequestVote(self.group, self.term, last, last_term, False, lead))

    def _knows(self, who: MemberId) -> bool:
        return who in self.config.voters or who in self.config.learners

    def _on_ask(self, now: float, who: MemberId, ask: RequestVote) -> None:
        mine = (self._log.term_at(self._log.last), self._log.last)
        theirs = (ask.last_term, ask.last_index)
        if self._log.config is None or (not self._knows(who) and theirs <= mine):
            return
        heard = self.role is Role.LEADER or now - self._heard < self._timings.election_ms
        sticky = heard and not ask.lead
        if ask.pre:
            good = ask.term > self.term and theirs >= mine and not sticky
            self._tell(who, RequestVoteReply(self.group, ask.term if good else self.term, good, True))
            return
        if ask.term > self.term:
            if sticky:
                return  # its term must not end a leader that is heard
            self._follow(now, ask.term)
        good = ask.term == self.term and theirs >= mine and self._may_vote(who)
        if not good:
            self._tell(who, RequestVoteReply(self.group, self.term, False, False))
            return
        if self.vote != who:
            self._harden(self.term, who)
        self._deadline = now + self._patience
        self._tell_stored(who, RequestVoteReply(self.group, self.term, True, False))

    def _may_vote(self, who: MemberId) -> bool:
        return self.vote in ("", who)

    def _on_vote(self, now: float, who: MemberId, vote: RequestVoteReply) -> None:
        if vote.pre:
            if not vote.granted:
                if vote.term > self.term:
                    self._follow(now, vote.term)
            elif self.role is Role.PRE and vote.term == self.term + 1 and self._counts(who):
                self._votes[who] = None
                if len(self._votes) >= self.config.majority():
                    self._elect(now)
        elif vote.term > self.term:
            self._follow(now, vote.term)
        elif vote.granted and vote.term == self.term and self.role is Role.CANDIDATE and self._counts(who):
            self._count(now, who)

    def _counts(self, who: MemberId) -> bool:
        return who in self.config.voters

    def _count(self, now: float, who: MemberId) -> None:
        if not self._rule(
            Rule.VOTE_ONCE, who in self.config.voters, lambda: f"{who} is no voter of {self.config}"
        ):
            return
        self._votes[who] = None
        if len(self._votes) >= self.config.majority():
            self._begin_lead(now)

    # Leading
    # ----------------------------------------------------------------------------------------------------------

    def _begin_lead(self, now: float) -> None:
        if not self._see_leader(self.term, self.me):
            return
        self.role, self.leader, self.leading = Role.LEADER, self.me, False
        self._peers, self._round, self._round_back = {}, 0, 0
        self._quorum_until, self._handing = -math.inf, None
        self._meet(now)
        self._lead_index = self._log.last + 1
        self._add(NOTHING, b"")
        self._heartbeat(now)
        self._say("info", "leads", last=self._log.last)

    def _meet(self, now: float) -> None:
        """Know every member of the configuration."""
        for who in self.config.voters + self.config.learners:
            if who != self.me and who not in self._peers:
                self._peers[who] = FollowerProgress(self._log.last + 1, now)
        self._quorum_until = -math.inf

    def _end_lead(self) -> None:
        """What was proposed may be committed by the next leader, or not; reads changed nothing."""
        for token in self._pending.values():
            self._out.append(
                OperationCompleted(
                    token, UnknownOutcome(self.group, "the leader changed before it was committed")
                )
            )
        for token in [token for _, token in self._reads] + self._new_reads:
            self._out.append(OperationCompleted(token, NoLeader(self.group, "the leader changed")))
        self._pending, self._new_reads, self._peers = {}, [], {}
        self._reads.clear()
        self.leading, self._handing, self._beat = False, None, math.inf

    def _has_quorum(self, now: float) -> bool:
        """Whether a majority was heard within an election time."""
        heard = sorted(
            (now if who == self.me else self._peers[who].heard for who in self.config.voters), reverse=True
        )
        self._quorum_until = heard[self.config.majority() - 1] + self._timings.election_ms
        return now <= self._quorum_until

    def _grid(self, now: float) -> float:
        """The next multiple of `heartbeat_ms`: all groups led at one machine beat at one moment, and one
        frame to each peer carries them, as one carries the answers."""
        return (now // self._timings.heartbeat_ms + 1.0) * self._timings.heartbeat_ms

    def _quiet(self, now: float) -> bool:
        """Whether a beat may be left out: all have all, know that it is committed, and have answered the last
        round.

        Who is silent for an election time counts for nothing here; a lost beat, or a lost answer, is one that
        was not answered, and the next goes out after `heartbeat_ms`.  No promise rests on when beats go out:
        check-quorum and stickiness count an election time from what was last heard, a follower's patience at
        least that, and `QUIET` beats fall within it; a read sends a round of its own at once, and what is
        proposed goes out at once.
        """
        if (
            self._grid(now) - self._beaten > self._timings.election_ms / QUIET
            or self._handing is not None
            or self._reads
            or self._new_reads
            or not self.leading
            or self.commit != self._log.last
        ):
            return False
        return all(
            now - peer.heard >= self._timings.election_ms
            or (peer.round == self._round and peer.match == peer.goal == self.commit)
            for peer in self._peers.values()
        )

    def _heartbeat(self, now: float) -> None:
        """One round to everybody; reads that wait are answered when a majority has answered it."""
        self._round += 1
        self._beat, self._beaten = self._grid(now), now
        if self.leading and self._new_reads:
            self._reads.extend((self._round, token) for token in self._new_reads)
            self._new_reads = []
        for who, peer in self._peers.items():
            peer.goal = self.commit
            self._feed(now, who, peer, beat=True)
        self._finish_hand_over(again=True)
        self._rounds_back(now)

    def _feed(self, now: float, who: MemberId, peer: FollowerProgress, beat: bool = False) -> None:
        """Send what there is to send.  `beat`: something in any case, and once more what got no answer."""
        log = self._log
        if beat:
            peer.waiting = False
            if (
                now - peer.heard >= self._timings.election_ms
            ):  # silent: entries or a piece would be for nothing
                before = max(peer.next - 1, log.base)
                self._tell(
                    who,
                    AppendEntries(
                        self.group, self.term, before, log.term_at(before), (), self.commit, self._round
                    ),
                )
                return
        if peer.next <= log.base:
            self._feed_piece(who, peer)
            return
        while True:
            full = len(peer.flight) >= WINDOW
            if not beat and (peer.waiting if peer.probing else full):
                return
            entries = () if full else log.some(peer.next, self._timings.most_batch, MOST_BATCH_BYTES)
            if not entries and not beat:
                return
            before = peer.next - 1
            self._tell(
                who,
                AppendEntries(
                    self.group, self.term, before, log.term_at(before), entries, self.commit, self._round
                ),
            )
            beat = False
            if peer.probing:
                peer.waiting = True
                return
            if entries:
                peer.next += len(entries)
                peer.flight.append(peer.next - 1)

    def _feed_piece(self, who: MemberId, peer: FollowerProgress) -> None:
        if peer.waiting:
            return
        if peer.snapshot is None:
            peer.snapshot, peer.held = self._snapshot, 0
        snapshot = peer.snapshot
        assert snapshot is not None  # a leader has a configuration, and so a snapshot
        peer.waiting = True
        body = snapshot.body[peer.held : peer.held + self._timings.piece_bytes]
        self._tell(
            who,
            InstallSnapshotChunk(
                self.group,
                self.term,
                snapshot.index,
                snapshot.term,
                snapshot.config,
                peer.held,
                len(snapshot.body),
                body,
                self._round,
            ),
        )

    def _on_appended(self, now: float, who: MemberId, told: AppendEntriesReply) -> None:
        peer = self._answered(now, who, told.term, told.round)
        if peer is None:
            return
        if told.good and told.index <= self._log.last:
            peer.match, peer.next, peer.doubted = (
                max(peer.match, told.index),
                max(peer.next, told.index + 1),
                None,
            )
            while peer.flight and peer.flight[0] <= peer.match:
                peer.flight.popleft()
            if peer.snapshot is not None and told.index >= peer.snapshot.index:
                peer.snapshot = None
            if peer.snapshot is None:
                peer.probing = peer.waiting = False
            self._advance(now)
        elif (
            not told.good
            and told.index < peer.next
            and (told.index > peer.match or told.index == 0 == peer.match)
        ):
            # 0: a newcomer that knows no configuration takes a snapshot before anything else.
            peer.next, peer.probing, peer.waiting = told.index, True, False
            peer.flight.clear()
        elif not told.good and told.index <= peer.match:
            self._doubt(who, peer, told)
        if self.role is Role.LEADER and who in self._peers:
            self._feed(now, who, peer)
            self._rounds_back(now)
            self._finish_hand_over()

    def _doubt(self, who: MemberId, peer: FollowerProgress, told: AppendEntriesReply) -> None:
        """It refuses below what it acknowledged.  The answer may be late, or to a batch behind one that
        was lost while it had an old tail: so it goes on behind what it acknowledged.  Who refuses that as
        well, in a later round, lacks it: its folder was put back from a copy.  It cannot be brought up to
        date, and nobody else could say so.
        """
        if peer.doubted is None:
            peer.next, peer.probing, peer.waiting, peer.doubted = peer.match + 1, True, False, self._round
            peer.flight.clear()
        elif told.round > peer.doubted:
            peer.doubted = math.inf
            self._say("error", "copy-went-back", who=who, acknowledged=peer.match, has=max(told.index - 1, 0))

    def _on_piece_taken(self, now: float, who: MemberId, told: InstallSnapshotChunkReply) -> None:
        peer = self._answered(now, who, told.term, told.round)
        if peer is None:
            return
        snapshot = peer.snapshot
        # The same figure again is an answer come twice: a piece for each would double them for good.
        if (
            snapshot is not None
            and snapshot.index == told.index
            and told.held != peer.held
            and (0 <= told.held < len(snapshot.body))
        ):
            peer.held, peer.waiting = told.held, False
            self._feed_piece(who, peer)
        self._rounds_back(now)

    def _answered(self, now: float, who: MemberId, term: int, round_: int) -> FollowerProgress | None:
        """The member that answers this leader in this term."""
        if term > self.term:
            self._follow(now, term)
            return None
        peer = self._peers.get(who)
        if peer is None or term != self.term or self.role is not Role.LEADER or round_ > self._round:
            return None
        peer.heard = now
        peer.round = max(peer.round, round_)
        return peer

    def _may_count(self, index: int) -> bool:
        return self._log.term_at(index) == self.term

    def _advance(self, now: float) -> None:
        """Commit what a majority has on stable storage (figure 2; an older term's entries only along with
        one of its own, 5.4.2)."""
        voters = self.config.voters
        at = sorted(
            (self._safe_index if who == self.me else self._peers[who].match for who in voters), reverse=True
        )[self.config.majority() - 1]
        if at <= self.commit or not self._may_count(at):
            return
        if self._rule(
            Rule.OWN_TERM,
            self._log.term_at(at) == self.term,
            lambda: f"{self.me} counts {at} of term {self._log.term_at(at)} in {self.term}",
        ):
            self._commit_to(now, at)

    # Proposals, reads, changes
    # ----------------------------------------------------------------------------------------

    def _refusal(self, bound: int) -> ClusterError | None:
        if self.role is not Role.LEADER:
            return NoLeader(
                self.group, f"the leader is {self.leader}" if self.leader else "no leader is known"
            )
        if self._handing is not None:
            return NoLeader(self.group, f"the lead goes to {self._handing[0]}")
        if bound >= self._timings.most_in_flight or len(self._open) >= MOST_STORES:
            return Overloaded(self.group, f"{bound} are under way")
        return None

    def _propose(self, now: float, token: str, body: bytes) -> None:
        error = self._refusal(len(self._pending))
        if error is None and len(body) > MOST_BODY:
            error = InvalidCall(self.group, f"body: {len(body)} bytes, at most {MOST_BODY} fit")
        if error is not None:
            self._out.append(OperationCompleted(token, error))
            return
        self._pending[self._add(COMMAND, body)] = token
        for who, peer in self._peers.items():
            self._feed(now, who, peer)

    def _read(self, now: float, token: str) -> None:
        error = self._refusal(len(self._reads) + len(self._new_reads))
        if error is not None:
            self._out.append(OperationCompleted(token, error))
            return
        self._new_reads.append(token)
        if self.leading and not self._reads:
            self._heartbeat(now)

    def _rounds_back(self, now: float) -> None:
        """End the reads whose round a majority has answered: this was the leader after they came in, and
        what was committed then is applied."""
        if not self._reads and not self._new_reads:
            return
        back = sorted(
            (self._round if who == self.me else self._peers[who].round for who in self.config.voters),
            reverse=True,
        )[self.config.majority() - 1]
        while self._reads and self._reads[0][0] <= back:
            self._out.append(OperationCompleted(self._reads.popleft()[1], None))
        if self.leading and self._new_reads and not self._reads:
            self._heartbeat(now)

    def _caught_up(self, who: MemberId) -> bool:
        peer = self._peers.get(who)
        return peer is not None and peer.match >= peer.goal

    def _change_fault(self, change: ChangeMembership) -> ClusterError | None:
        """Why a change is not taken now."""
        if not self.leading or self._log.config_index > self.commit:
            return WrongState(self.group, "another change of members, or of leader, is under way")
        if change.act == "promote" and not self._knows(change.who):
            return NotFound(self.group, f"{change.who} is no learner")
        if change.act == "promote" and change.who in self.config.learners and not self._caught_up(change.who):
            return WrongState(self.group, f"{change.who} has not caught up")
        if change.act == "remove" and self.config.voters == (change.who,):
            return WrongState(self.group, f"{change.who} is the last voter")
        return None

    def _change(self, now: float, change: ChangeMembership) -> None:
        error = self._refusal(len(self._pending))
        if error is None and change.act not in ("learn", "promote", "remove"):
            error = InvalidCall(self.group, f"act: expected learn, promote or remove, got {change.act!r}")
        error = error or self._change_fault(change)
        if error is not None:
            self._out.append(OperationCompleted(change.token, error))
            return
        who, voters, learners = change.who, self.config.voters, self.config.learners
        if change.act == "learn":
            made = self.config if self._knows(who) else GroupConfiguration(voters, (*learners, who))
        else:
            learners = tuple(one for one in learners if one != who)
            voters = (*(one for one in voters if one != who), *((who,) if change.act == "promote" else ()))
            made = (
                self.config
                if change.act == "promote" and who in self.config.voters
                else GroupConfiguration(voters, learners)
            )
        if made == self.config:
            self._out.append(OperationCompleted(change.token, made))  # as asked already
            return
        if not self._rule(
            Rule.CONFIG_ONE,
            self.leading
            and self._log.config_index <= self.commit
            and (change.act != "promote" or self._caught_up(who)),
            lambda: f"{change} at {self.last}, committed {self.commit}, config {self._log.config_index}",
        ):
            self._out.append(OperationCompleted(change.token, self.stopped))
            return
        self._pending[self._add(CONFIG, encode_config(made))] = change.token
        self._meet(now)
        for one, peer in self._peers.items():
            self._feed(now, one, peer)

    def _hand_over(self, now: float, to: MemberId) -> None:
        """Bring one up to date and let it stand; it gets the votes although this one is still heard."""
        if self.role is not Role.LEADER or self._handing is not None:
            return
        best = self._best(now)
        to = to or best
        if to == self.me or to not in self.config.voters or to not in self._peers:
            self._say("warning", "hand-over-failed", to=to)
            return
        self._handing, self._lead_told = (to, now + self._timings.election_ms), False
        self._finish_hand_over()

    def _best(self, now: float) -> MemberId:
        """The voter beside this one that is heard and has most; empty where there is none."""
        heard = [
            (peer.match, who)
            for who, peer in self._peers.items()
            if who in self.config.voters and now - peer.heard < self._timings.election_ms
        ]
        return max(heard)[1] if heard else ""

    def _finish_hand_over(self, again: bool = False) -> None:
        if self._handing is None or self.role is not Role.LEADER:
            return
        to = self._handing[0]
        peer = self._peers.get(to)
        if (
            peer is not None
            and peer.match == self._log.last == self.commit
            and (again or not self._lead_told)
        ):
            self._lead_told = True
            self._tell(to, TimeoutNow(self.group, self.term))

    # Following
    # --------------------------------------------------------------------------------------------------------

    def _received(self, now: float, who: MemberId, message: Any) -> None:
        match message:
            case AppendEntries():
                self._on_append(now, who, message)
            case AppendEntriesReply():
                self._on_appended(now, who, message)
            case RequestVote():
                self._on_ask(now, who, message)
            case RequestVoteReply():
                self._on_vote(now, who, message)
            case InstallSnapshotChunk():
                self._on_piece(now, who, message)
            case InstallSnapshotChunkReply():
                self._on_piece_taken(now, who, message)
            case TimeoutNow():
                if message.term == self.term and self.leader == who and self.me in self.config.voters:
                    self._elect(now, lead=True)

    def _see_leader(self, term: int, who: MemberId) -> bool:
        """Note who leads a term."""
        holds = self._rule(
            Rule.ONE_LEADER,
            self._led[0] != term or self._led[1] == who,
            lambda: f"{self.group}: {self._led[1]} and {who} in {term}, seen by {self.me}",
        )
        self._led = (term, who)
        return holds

    def _heed(self, now: float, who: MemberId, term: int, round_: int) -> bool:
        """Whether this comes from the leader of the present term, or of a later one."""
        if term < self.term:
            self._tell(who, AppendEntriesReply(self.group, self.term, False, self._log.last + 1, round_))
            return False
        if not self._see_leader(term, who):
            return False
        self._follow(now, term, who)
        self._heard = now
        return self.stopped is None

    def _on_append(self, now: float, who: MemberId, said: AppendEntries) -> None:
        if not self._heed(now, who, said.term, said.round):
            return
        log, entries, before = self._log, said.entries, said.previous
        if entries and (entries[0].index != before + 1 or entries[-1].index != before + len(entries)):
            return  # no leader sends that
        self._told_commit = said.commit
        match = before + len(entries)
        if log.config is None:
            self._refuse(who, 0, said.round)
            return
        if before > log.last:
            self._refuse(who, log.last + 1, said.round)
            return
        if before >= log.base and log.term_at(before) != said.previous_term:
            self._refuse(who, log.first_of_term(before, self.commit + 1), said.round)
            return
        if not self._take(entries):
            return
        self._acknowledge(who, match, said.round)
        self._commit_to(now, min(said.commit, match))

    def _take(self, entries: tuple[LogEntry, ...]) -> bool:
        """Append what is not there yet; only what differs is cut off, as an old append may come late."""
        log = self._log
        for at, entry in enumerate(entries):
            if entry.index <= log.base or log.term_at(entry.index) == entry.term:
                continue
            if entry.index <= log.last and not self._cut(entry.index):
                return False
            for one in entries[at:]:
                before = self.config
                log.add(one)
                if one.kind == CONFIG and not self._config_fits(before):
                    return False
            self._records.append(Entries(entries[at:]))
            return True
        return True

    def _config_fits(self, before: GroupConfiguration) -> bool:
        moved = set(before.voters) ^ set(self.config.voters)
        return self._rule(Rule.CONFIG_ONE, len(moved) <= 1, lambda: f"{before} to {self.config}")

    def _cut(self, index: int) -> bool:
        """Take entries back that no majority has."""
        if not self._rule(
            Rule.COMMITTED_STAYS,
            index > self.commit,
            lambda: f"{self.me} cuts at {index}, committed {self.commit}",
        ):
            return False
        self._log.cut(index)
        self._unsafe(index - 1)
        return True

    def _unsafe(self, index: int) -> None:
        """What is stable behind an index is no longer what the log says."""
        self._safe_index = min(self._safe_index, index)
        for one in self._open:
            one.last = min(one.last, index)

    def _refuse(self, who: MemberId, index: int, round_: int) -> None:
        self._tell(who, AppendEntriesReply(self.group, self.term, False, index, round_))

    def _acknowledge(self, who: MemberId, match: int, round_: int) -> None:
        """Say what matches, once it is stored; a round is answered at once, as it says only whom this one
        follows."""
        if match <= self._safe_index and self._safe_term == self.term:
            self._tell(who, AppendEntriesReply(self.group, self.term, True, match, round_))
        else:
            if round_ > self._round_told:
                self._tell(
                    who, AppendEntriesReply(self.group, self.term, True, min(match, self._safe_index), round_)
                )
            self._tell_stored(who, AppendEntriesReply(self.group, self.term, True, match, round_))
        self._round_told = max(self._round_told, round_)

    def _on_piece(self, now: float, who: MemberId, piece: InstallSnapshotChunk) -> None:
        if not self._heed(now, who, piece.term, piece.round):
            return
        if self._log.config is not None and piece.index <= self.commit:
            self._acknowledge(who, piece.index, piece.round)
            return
        if piece.size > MOST_SNAPSHOT or piece.offset + len(piece.body) > piece.size:
            self._say("error", "snapshot-too-long", size=piece.size)
            return
        key = (who, piece.index, piece.index_term, piece.size)
        if self._taking is None or self._taking.key != key:
            self._taking = _Taking(key, bytearray())
        body = self._taking.body
        if piece.offset == len(body):
            body += piece.body
        if len(body) < piece.size:
            self._tell(
                who, InstallSnapshotChunkReply(self.group, self.term, piece.index, len(body), piece.round)
            )
            return
        self._taking = None
        self._install(now, Snapshot(piece.index, piece.index_term, piece.config, bytes(body)))
        self._acknowledge(who, piece.index, piece.round)

    def _install(self, now: float, snapshot: Snapshot) -> None:
        """In place of the log up to there; what lies behind stays where it goes on from the same entry."""
        log = self._log
        if (
            log.config is not None
            and log.last > snapshot.index
            and log.term_at(snapshot.index) == snapshot.term
        ):
            log.compact(snapshot.index)
        else:
            self._unsafe(self.commit)
            self._held.clear()  # they count as lost; what follows acknowledges more
            self._log = RaftLog(snapshot.index, snapshot.term, snapshot.config)
        self._machine.restore(now, snapshot.body)
        self._snapshot = snapshot
        self._records.append(snapshot)
        self.commit = self.applied = snapshot.index
        self._note_member()
        self._say("info", "snapshot-taken", index=snapshot.index, bytes=len(snapshot.body))

    # Committing and applying
    # ------------------------------------------------------------------------------------------

    def _add(self, kind: int, body: bytes) -> int:
        """An entry of the leader's own term."""
        entry = LogEntry(self._log.last + 1, self.term, kind, body)
        before = self.config
        self._log.add(entry)
        self._records.append(Entries((entry,)))
        if kind == CONFIG:
            self._config_fits(before)
        return entry.index

    def _commit_to(self, now: float, index: int) -> None:
        if index <= self.commit:
            return
        before, self.commit = self.commit, index
        log = self._log
        while self.applied < index:
            entry = log.at(self.applied + 1)
            if not self._rule(
                Rule.APPLIED_ONCE,
                entry.index == self.applied + 1,
                lambda: f"out of order after {self.applied}",
            ):
                return
            self.applied = entry.index
            result: Any = None
            if entry.kind == COMMAND:
                result = self._machine.apply(now, entry.index, entry.body)
            elif entry.kind == CONFIG:
                result = log.config_at(entry.index)
            token = self._pending.pop(entry.index, None)
            if token is not None:
                self._out.append(OperationCompleted(token, result))
        self._note_member()
        if self.role is Role.LEADER:
            if not self.leading and self.commit >= self._lead_index:
                self.leading, self.lead_since = True, now
                self._rounds_back(now)
            if before < log.config_index <= index:
                self._let_go(now)
        if self.applied - (self._snapshot.index if self._snapshot else 0) >= self._timings.snapshot_entries:
            self._compact()

    def _note_member(self) -> None:
        config = None if self._member else self._log.config_at(self.commit)
        self._member = self._member or (config is not None and self.me in config.voters + config.learners)

    def _let_go(self, now: float) -> None:
        """A configuration is committed: who is not in it hears of that once, and a leader that is not
        steps down."""
        for who in [who for who in self._peers if not self._knows(who)]:
            self._feed(now, who, self._peers[who], beat=True)
            del self._peers[who]
        if self.me not in self.config.voters:
            best = self._best(now)
            if best:
                self._tell(best, TimeoutNow(self.group, self.term))
            self._follow(now, self.term)

    def _compact(self) -> None:
        """Put what is applied into a snapshot.  As many entries again stay in memory, so that who is a
        little behind needs no snapshot."""
        config = self._log.config_at(self.applied)
        assert config is not None
        self._snapshot = Snapshot(self.applied, self._log.term_at(self.applied), config, self._machine.dump())
        self._records.append(self._snapshot)
        keep = self.applied - self._timings.snapshot_entries
        if keep > self._log.base:
            self._log.compact(keep)

    # Stable storage
    # ---------------------------------------------------------------------------------------------------

    def _on_stored(self, now: float, seq: int) -> None:
        while self._open and self._open[0].seq <= seq:
            done = self._open.popleft()
            self._stored = done.seq
            self._safe_index, self._safe_term, self._safe_vote = done.last, done.term, done.vote
            while self._held and self._held[0][0] <= done.seq:
                _, to, message = self._held.popleft()
                if message.term == self.term:  # else it counts as lost
                    self._tell(to, message)
        if self.role is Role.LEADER:
            self._advance(now)
            if self.role is Role.LEADER:
                self._finish_hand_over()
        elif self.role is Role.CANDIDATE and (self._safe_term, self._safe_vote) == (self.term, self.me):
            self._count(now, self.me)

    def _tell_stored(self, to: MemberId, message: Told) -> None:
        """Tell when all up to here is stored."""
        seq = self._seq + 1 if self._records else self._seq
        if seq <= self._stored:
            self._tell(to, message)
            return
        if len(self._held) >= MOST_HELD:
            self._held.popleft()
        self._held.append((seq, to, message))

    def _tell(self, to: MemberId, message: Told) -> None:
        holds = True
        match message:
            case AppendEntriesReply(good=True):
                holds = message.index <= self._safe_index
            case RequestVoteReply(granted=True, pre=False):
                holds = (self._safe_term, self._safe_vote) == (message.term, to)
            case RequestVote(pre=False):
                holds = (self._safe_term, self._safe_vote) == (message.term, self.me)
        if self._rule(Rule.STORED_FIRST, holds, lambda: f"{self.me} tells {to} {message}"):
            self._out.append(SendMessage(to, message))

    # Ends
    # -------------------------------------------------------------------------------------------------------------

    def _rule(self, rule: Rule, holds: bool, facts: Any) -> bool:
        """Check an invariant; where it does not hold this copy promises nothing more."""
        if holds or self._rules.check(rule, False, facts):
            return True
        self._stop(0.0, InvariantBroken(self.group, rule.value))
        return False

    def _stop(self, now: float, error: ClusterError) -> None:
        if self.stopped is not None:
            return
        if self.role is Role.LEADER:
            best = self._best(now) if isinstance(error, StorageFailed) else ""
            if best:
                self._out.append(
                    SendMessage(best, TimeoutNow(self.group, self.term))
                )  # it need not wait for an election time
            self._end_lead()
        self.stopped, self.role, self.leader, self.leading = error, Role.FOLLOWER, "", False
        self._held.clear()
        self._records = []
        self._say("error", "copy-stopped", error=str(error))

    def _say(self, level: str, event: str, **fields: Any) -> None:
        self._out.append(LogEvent(level, event, {"group": self.group, "term": self.term, **fields}))
