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
MAX_COMMAND_BYTES = 128 * 1024  # bytes of one proposal; a longer one is refused
MOST_BATCH_BYTES = 256 * 1024  # bytes of one append's entries; a single entry may be as long as it is
MAX_SNAPSHOT_BYTES = 64 * 1024 * 1024  # bytes; a longer one is not taken in
MAX_WITHHELD_MESSAGES = 4096  # messages that wait for the store; the oldest then counts as lost
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
    PRE_CANDIDATE = "asks whether it would be voted for"
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
    match_index: int = 0  # on its stable storage up to here, as in the leader's log
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
        self.group, self.member_id, self._machine, self._timings = group, me, machine, timings
        self._draw, self._rules = draw, rules
        self.current_term, self.voted_for = saved.current_term, saved.voted_for
        self.role, self.leader_id = Role.FOLLOWER, ""
        self.leading, self.leader_since_ms = False, 0.0
        self.stop_reason: ClusterError | None = None  # why this copy promises nothing more
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
        self.commit_index = self.last_applied = self._log.base_index
        self._member = False  # a committed configuration has had this one
        self._note_member()
        # Stable: what the store has said is stored, so far as it is still so in the log here.
        self._persisted_index, self._safe_term, self._safe_vote = (
            self._log.last_index,
            self.current_term,
            self.voted_for,
        )
        self._seq = self._stored = 0
        self._open: deque[_Open] = deque()
        self._withheld_messages: deque[tuple[int, MemberId, Told]] = deque()
        self._effects: list[Effect] = []
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
        self._followers: dict[MemberId, FollowerProgress] = {}
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
        self.due_ms = math.inf
        self._set_due()

    # What others may look at
    # ------------------------------------------------------------------------------------------

    @property
    def config(self) -> GroupConfiguration:
        """The configuration that holds here; empty at a newcomer."""
        return self._log.config or GroupConfiguration(())

    @property
    def is_up_to_date(self) -> bool:
        """Whether this copy has applied all that its leader told to be committed, at its last word."""
        return self.leading or (
            bool(self.leader_id) and self._told_commit <= self.commit_index == self.last_applied
        )

    @property
    def config_index(self) -> int:
        """Where the configuration that holds here stands in the log; committed once `commit` is there."""
        return self._log.config_index

    @property
    def last_log_index(self) -> int:
        """The last index of the log."""
        return self._log.last_index

    @property
    def is_removed(self) -> bool:
        """Whether a committed configuration has let this member go, after one that had it (known since the
        start)."""
        config = self._log.config_at(self.commit_index)
        return (
            self._member
            and config is not None
            and self.member_id not in config.voters
            and self.member_id not in config.learners
        )

    def lagging_learners(self) -> tuple[MemberId, ...]:
        """Learners that have not caught up, by the leader."""
        return tuple(who for who in self.config.learners if not self._caught_up(who)) if self.leading else ()

    def lagging_voters(self) -> tuple[MemberId, ...]:
        """Voters that have not caught up, by the leader; each is that for a moment now and then."""
        return (
            tuple(who for who in self.config.voters if who != self.member_id and not self._caught_up(who))
            if self.leading
            else ()
        )

    def status(self, now: float) -> dict[str, Any]:
        """For operators."""
        return {
            "group": self.group,
            "role": "pre" if self.role is Role.PRE_CANDIDATE else self.role.name.lower(),
            "term": self.current_term,
            "leader": self.leader_id,
            "voters": list(self.config.voters),
            "learners": list(self.config.learners),
            "last": self.last_log_index,
            "commit": self.commit_index,
            "applied": self.last_applied,
            "stored": self._persisted_index,
            "in_flight": len(self._pending),
            "stopped": None if self.stop_reason is None else str(self.stop_reason),
            "members": {
                who: {
                    "match": peer.match_index,
                    "heard_ms": now - peer.heard,
                    "snapshot_bytes": peer.held if peer.snapshot is not None else None,
                }
                for who, peer in self._followers.items()
            },
        }

    # Events
    # -----------------------------------------------------------------------------------------------------------

    def handle(self, now: float, event: ReplicaEvent) -> list[Effect]:
        """Take an event in; gives what has to be done, in order."""
        out: list[Effect] = []
        self._effects = out
        if self.stop_reason is not None:
            if isinstance(event, ProposeCommand | ReadIndexRequest | ChangeMembership):
                out.append(OperationCompleted(event.token, self.stop_reason))
            return out
        # First: a process that stood still must not go on as the leader, nor count what waited for it as just
        # said.
        if self.role is Role.LEADER and now > self._quorum_until and not self._heard_from_quorum(now):
            self._say("warning", "majority-not-heard")
            self._become_follower(now, self.current_term)
        match event:
            case MessageReceived(sender, message):
                self._received(now, sender, message)
            case RecordsPersisted(_, seq):
                self._on_stored(now, seq)
            case ProposeCommand(token, body):
                self._propose(now, token, body)
            case ReadIndexRequest(token):
                self._handle_read(now, token)
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

    def discard(self) -> list[Effect]:
        """This member keeps no copy any more: its log goes, and it answers nothing from here on.

        Term and vote stay: taken in again under the same Id, it must not vote a second time in a term.
        """
        out: list[Effect] = []
        self._effects = out
        self._stop(0.0, NotFound(self.group, "no copy is kept here"))
        self._seq += 1
        out.append(
            PersistRecords(
                self.group, self._seq, (DiscardGroup(), HardState(self.current_term, self.voted_for))
            )
        )
        return out

    def _flush(self) -> None:
        """One store for all that one event changed."""
        if self._records and self.stop_reason is None:
            self._seq += 1
            self._open.append(_Open(self._seq, self._log.last_index, self.current_term, self.voted_for))
            self._effects.insert(0, PersistRecords(self.group, self._seq, tuple(self._records)))
            self._records = []

    def _set_due(self) -> None:
        if self.stop_reason is not None:
            self.due_ms = math.inf
        elif self.role is Role.LEADER:
            self.due_ms = self._beat if self._handing is None else min(self._beat, self._handing[1])
        else:
            self.due_ms = self._deadline if self.member_id in self.config.voters else math.inf

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
        elif now >= self._deadline and self.member_id in self.config.voters:
            self._stand(now)

    # Terms and votes
    # --------------------------------------------------------------------------------------------------

    def _harden(self, term: int, vote: MemberId) -> None:
        """Move to a term and a vote in it."""
        if not self._check(
            Rule.VOTE_ONCE,
            term > self.current_term or (term == self.current_term and self.voted_for in ("", vote)),
            lambda: (
                f"{self.member_id} voted for {self.voted_for} in {self.current_term}, then {vote} in {term}"
            ),
        ):
            return
        self.current_term, self.voted_for = term, vote
        if self._records and isinstance(self._records[-1], HardState):
            self._records.pop()
        self._records.append(HardState(term, vote))

    def _become_follower(self, now: float, term: int, leader: MemberId = "") -> None:
        """Be a follower in a term, of that leader where it is known."""
        if self.role is Role.LEADER:
            self._end_lead()
        if self.role is not Role.FOLLOWER or leader:
            self._deadline = now + self._patience
        if term > self.current_term:
            self._harden(term, "")
            self._taking, self._round_told = None, 0
        if self.role is not Role.FOLLOWER:
            self.role = Role.FOLLOWER
            self._patience = self._timings.election_ms * (1.0 + self._draw.random())
            self._deadline = now + self._patience
        self.leader_id = leader

    def _stand(self, now: float) -> None:
        """Ask whether votes would be given; nothing is stored by it and no term moves.  Asked again soon,
        as one lost message or one voter that has just heard the leader must not cost a whole election
        time."""
        self.role, self.leader_id, self._votes = Role.PRE_CANDIDATE, "", {self.member_id: None}
        self._deadline = now + self._timings.election_ms * (0.25 + 0.25 * self._draw.random())
        if len(self._votes) >= self.config.majority():
            self._elect(now)
            return
        for who in self.config.voters:
            if who != self.member_id:
                self._send(
                    who,
                    RequestVote(
                        self.group,
                        self.current_term + 1,
                        self._log.last_index,
                        self._log.term_at(self._log.last_index),
                        True,
                    ),
                )

    def _elect(self, now: float, lead: bool = False) -> None:
        """Stand in a new term.  The own vote counts, and others are asked, once it is stored."""
        self._harden(self.current_term + 1, self.member_id)
        self.role, self.leader_id, self._votes, self._taking, self._round_told = (
            Role.CANDIDATE,
            "",
            {},
            None,
            0,
        )
        self._deadline = now + self._timings.election_ms * (0.5 + 0.5 * self._draw.random())
        last, last_term = self._log.last_index, self._log.term_at(self._log.last_index)
        for who in self.config.voters:
            if who != self.member_id:
                self._send_when_persisted(
                    who, RequestVote(self.group, self.current_term, last, last_term, False, lead)
                )

    def _knows(self, who: MemberId) -> bool:
        return who in self.config.voters or who in self.config.learners

    def _handle_request_vote(self, now: float, who: MemberId, ask: RequestVote) -> None:
        mine = (self._log.term_at(self._log.last_index), self._log.last_index)
        theirs = (ask.last_log_term, ask.last_log_index)
        if self._log.config is None or (not self._knows(who) and theirs <= mine):
            return
        heard = self.role is Role.LEADER or now - self._heard < self._timings.election_ms
        sticky = heard and not ask.leadership_transfer
        if ask.pre_vote:
            good = ask.term > self.current_term and theirs >= mine and not sticky
            self._send(who, RequestVoteReply(self.group, ask.term if good else self.current_term, good, True))
            return
        if ask.term > self.current_term:
            if sticky:
                return  # its term must not end a leader that is heard
            self._become_follower(now, ask.term)
        good = ask.term == self.current_term and theirs >= mine and self._may_grant_vote(who)
        if not good:
            self._send(who, RequestVoteReply(self.group, self.current_term, False, False))
            return
        if self.voted_for != who:
            self._harden(self.current_term, who)
        self._deadline = now + self._patience
        self._send_when_persisted(who, RequestVoteReply(self.group, self.current_term, True, False))

    def _may_grant_vote(self, who: MemberId) -> bool:
        return self.voted_for in ("", who)

    def _on_vote(self, now: float, who: MemberId, vote: RequestVoteReply) -> None:
        if vote.pre_vote:
            if not vote.vote_granted:
                if vote.term > self.current_term:
                    self._become_follower(now, vote.term)
            elif (
                self.role is Role.PRE_CANDIDATE
                and vote.term == self.current_term + 1
                and self._is_eligible_voter(who)
            ):
                self._votes[who] = None
                if len(self._votes) >= self.config.majority():
                    self._elect(now)
        elif vote.term > self.current_term:
            self._become_follower(now, vote.term)
        elif (
            vote.vote_granted
            and vote.term == self.current_term
            and self.role is Role.CANDIDATE
            and self._is_eligible_voter(who)
        ):
            self._count(now, who)

    def _is_eligible_voter(self, who: MemberId) -> bool:
        return who in self.config.voters

    def _count(self, now: float, who: MemberId) -> None:
        if not self._check(
            Rule.VOTE_ONCE, who in self.config.voters, lambda: f"{who} is no voter of {self.config}"
        ):
            return
        self._votes[who] = None
        if len(self._votes) >= self.config.majority():
            self._become_leader(now)

    # Leading
    # ----------------------------------------------------------------------------------------------------------

    def _become_leader(self, now: float) -> None:
        if not self._see_leader(self.current_term, self.member_id):
            return
        self.role, self.leader_id, self.leading = Role.LEADER, self.member_id, False
        self._followers, self._round, self._round_back = {}, 0, 0
        self._quorum_until, self._handing = -math.inf, None
        self._meet(now)
        self._lead_index = self._log.last_index + 1
        self._add(NOTHING, b"")
        self._heartbeat(now)
        self._say("info", "leads", last=self._log.last_index)

    def _meet(self, now: float) -> None:
        """Know every member of the configuration."""
        for who in self.config.voters + self.config.learners:
            if who != self.member_id and who not in self._followers:
                self._followers[who] = FollowerProgress(self._log.last_index + 1, now)
        self._quorum_until = -math.inf

    def _end_lead(self) -> None:
        """What was proposed may be committed by the next leader, or not; reads changed nothing."""
        for token in self._pending.values():
            self._effects.append(
                OperationCompleted(
                    token, UnknownOutcome(self.group, "the leader changed before it was committed")
                )
            )
        for token in [token for _, token in self._reads] + self._new_reads:
            self._effects.append(OperationCompleted(token, NoLeader(self.group, "the leader changed")))
        self._pending, self._new_reads, self._followers = {}, [], {}
        self._reads.clear()
        self.leading, self._handing, self._beat = False, None, math.inf

    def _heard_from_quorum(self, now: float) -> bool:
        """Whether a majority was heard within an election time."""
        heard = sorted(
            (now if who == self.member_id else self._followers[who].heard for who in self.config.voters),
            reverse=True,
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
            or self.commit_index != self._log.last_index
        ):
            return False
        return all(
            now - peer.heard >= self._timings.election_ms
            or (peer.round == self._round and peer.match_index == peer.goal == self.commit_index)
            for peer in self._followers.values()
        )

    def _heartbeat(self, now: float) -> None:
        """One round to everybody; reads that wait are answered when a majority has answered it."""
        self._round += 1
        self._beat, self._beaten = self._grid(now), now
        if self.leading and self._new_reads:
            self._reads.extend((self._round, token) for token in self._new_reads)
            self._new_reads = []
        for who, peer in self._followers.items():
            peer.goal = self.commit_index
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
                before = max(peer.next - 1, log.base_index)
                self._send(
                    who,
                    AppendEntries(
                        self.group,
                        self.current_term,
                        before,
                        log.term_at(before),
                        (),
                        self.commit_index,
                        self._round,
                    ),
                )
                return
        if peer.next <= log.base_index:
            self._feed_piece(who, peer)
            return
        while True:
            full = len(peer.flight) >= WINDOW
            if not beat and (peer.waiting if peer.probing else full):
                return
            entries = () if full else log.entries_from(peer.next, self._timings.most_batch, MOST_BATCH_BYTES)
            if not entries and not beat:
                return
            before = peer.next - 1
            self._send(
                who,
                AppendEntries(
                    self.group,
                    self.current_term,
                    before,
                    log.term_at(before),
                    entries,
                    self.commit_index,
                    self._round,
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
        self._send(
            who,
            InstallSnapshotChunk(
                self.group,
                self.current_term,
                snapshot.last_included_index,
                snapshot.last_included_term,
                snapshot.config,
                peer.held,
                len(snapshot.body),
                body,
                self._round,
            ),
        )

    def _on_appended(self, now: float, who: MemberId, told: AppendEntriesReply) -> None:
        peer = self._answered(now, who, told.term, told.heartbeat_round)
        if peer is None:
            return
        if told.success and told.index <= self._log.last_index:
            peer.match_index, peer.next, peer.doubted = (
                max(peer.match_index, told.index),
                max(peer.next, told.index + 1),
                None,
            )
            while peer.flight and peer.flight[0] <= peer.match_index:
                peer.flight.popleft()
            if peer.snapshot is not None and told.index >= peer.snapshot.last_included_index:
                peer.snapshot = None
            if peer.snapshot is None:
                peer.probing = peer.waiting = False
            self._advance_commit_index(now)
        elif (
            not told.success
            and told.index < peer.next
            and (told.index > peer.match_index or told.index == 0 == peer.match_index)
        ):
            # 0: a newcomer that knows no configuration takes a snapshot before anything else.
            peer.next, peer.probing, peer.waiting = told.index, True, False
            peer.flight.clear()
        elif not told.success and told.index <= peer.match_index:
            self._doubt(who, peer, told)
        if self.role is Role.LEADER and who in self._followers:
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
            peer.next, peer.probing, peer.waiting, peer.doubted = (
                peer.match_index + 1,
                True,
                False,
                self._round,
            )
            peer.flight.clear()
        elif told.heartbeat_round > peer.doubted:
            peer.doubted = math.inf
            self._say(
                "error", "copy-went-back", who=who, acknowledged=peer.match_index, has=max(told.index - 1, 0)
            )

    def _on_piece_taken(self, now: float, who: MemberId, told: InstallSnapshotChunkReply) -> None:
        peer = self._answered(now, who, told.term, told.heartbeat_round)
        if peer is None:
            return
        snapshot = peer.snapshot
        # The same figure again is an answer come twice: a piece for each would double them for good.
        if (
            snapshot is not None
            and snapshot.last_included_index == told.last_included_index
            and told.received_bytes != peer.held
            and (0 <= told.received_bytes < len(snapshot.body))
        ):
            peer.held, peer.waiting = told.received_bytes, False
            self._feed_piece(who, peer)
        self._rounds_back(now)

    def _answered(self, now: float, who: MemberId, term: int, round_: int) -> FollowerProgress | None:
        """The member that answers this leader in this term."""
        if term > self.current_term:
            self._become_follower(now, term)
            return None
        peer = self._followers.get(who)
        if peer is None or term != self.current_term or self.role is not Role.LEADER or round_ > self._round:
            return None
        peer.heard = now
        peer.round = max(peer.round, round_)
        return peer

    def _is_entry_of_current_term(self, index: int) -> bool:
        return self._log.term_at(index) == self.current_term

    def _advance_commit_index(self, now: float) -> None:
        """Commit what a majority has on stable storage (figure 2; an older term's entries only along with
        one of its own, 5.4.2)."""
        voters = self.config.voters
        at = sorted(
            (
                self._persisted_index if who == self.member_id else self._followers[who].match_index
                for who in voters
            ),
            reverse=True,
        )[self.config.majority() - 1]
        if at <= self.commit_index or not self._is_entry_of_current_term(at):
            return
        if self._check(
            Rule.OWN_TERM,
            self._log.term_at(at) == self.current_term,
            lambda: f"{self.member_id} counts {at} of term {self._log.term_at(at)} in {self.current_term}",
        ):
            self._commit_up_to(now, at)

    # Proposals, reads, changes
    # ----------------------------------------------------------------------------------------

    def _rejection(self, bound: int) -> ClusterError | None:
        if self.role is not Role.LEADER:
            return NoLeader(
                self.group, f"the leader is {self.leader_id}" if self.leader_id else "no leader is known"
            )
        if self._handing is not None:
            return NoLeader(self.group, f"the lead goes to {self._handing[0]}")
        if bound >= self._timings.most_in_flight or len(self._open) >= MOST_STORES:
            return Overloaded(self.group, f"{bound} are under way")
        return None

    def _propose(self, now: float, token: str, body: bytes) -> None:
        error = self._rejection(len(self._pending))
        if error is None and len(body) > MAX_COMMAND_BYTES:
            error = InvalidCall(self.group, f"body: {len(body)} bytes, at most {MAX_COMMAND_BYTES} fit")
        if error is not None:
            self._effects.append(OperationCompleted(token, error))
            return
        self._pending[self._add(COMMAND, body)] = token
        for who, peer in self._followers.items():
            self._feed(now, who, peer)

    def _handle_read(self, now: float, token: str) -> None:
        error = self._rejection(len(self._reads) + len(self._new_reads))
        if error is not None:
            self._effects.append(OperationCompleted(token, error))
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
            (
                self._round if who == self.member_id else self._followers[who].round
                for who in self.config.voters
            ),
            reverse=True,
        )[self.config.majority() - 1]
        while self._reads and self._reads[0][0] <= back:
            self._effects.append(OperationCompleted(self._reads.popleft()[1], None))
        if self.leading and self._new_reads and not self._reads:
            self._heartbeat(now)

    def _caught_up(self, who: MemberId) -> bool:
        peer = self._followers.get(who)
        return peer is not None and peer.match_index >= peer.goal

    def _change_rejection(self, change: ChangeMembership) -> ClusterError | None:
        """Why a change is not taken now."""
        if not self.leading or self._log.config_index > self.commit_index:
            return WrongState(self.group, "another change of members, or of leader, is under way")
        if change.action == "promote" and not self._knows(change.member):
            return NotFound(self.group, f"{change.member} is no learner")
        if (
            change.action == "promote"
            and change.member in self.config.learners
            and not self._caught_up(change.member)
        ):
            return WrongState(self.group, f"{change.member} has not caught up")
        if change.action == "remove" and self.config.voters == (change.member,):
            return WrongState(self.group, f"{change.member} is the last voter")
        return None

    def _change(self, now: float, change: ChangeMembership) -> None:
        error = self._rejection(len(self._pending))
        if error is None and change.action not in ("learn", "promote", "remove"):
            error = InvalidCall(self.group, f"act: expected learn, promote or remove, got {change.action!r}")
        error = error or self._change_rejection(change)
        if error is not None:
            self._effects.append(OperationCompleted(change.token, error))
            return
        who, voters, learners = change.member, self.config.voters, self.config.learners
        if change.action == "learn":
            made = self.config if self._knows(who) else GroupConfiguration(voters, (*learners, who))
        else:
            learners = tuple(one for one in learners if one != who)
            voters = (*(one for one in voters if one != who), *((who,) if change.action == "promote" else ()))
            made = (
                self.config
                if change.action == "promote" and who in self.config.voters
                else GroupConfiguration(voters, learners)
            )
        if made == self.config:
            self._effects.append(OperationCompleted(change.token, made))  # as asked already
            return
        if not self._check(
            Rule.CONFIG_ONE,
            self.leading
            and self._log.config_index <= self.commit_index
            and (change.action != "promote" or self._caught_up(who)),
            lambda: (
                f"{change} at {self.last_log_index}, committed {self.commit_index}, config {self._log.config_index}"
            ),
        ):
            self._effects.append(OperationCompleted(change.token, self.stop_reason))
            return
        self._pending[self._add(CONFIG, encode_config(made))] = change.token
        self._meet(now)
        for one, peer in self._followers.items():
            self._feed(now, one, peer)

    def _hand_over(self, now: float, to: MemberId) -> None:
        """Bring one up to date and let it stand; it gets the votes although this one is still heard."""
        if self.role is not Role.LEADER or self._handing is not None:
            return
        best = self._best(now)
        to = to or best
        if to == self.member_id or to not in self.config.voters or to not in self._followers:
            self._say("warning", "hand-over-failed", to=to)
            return
        self._handing, self._lead_told = (to, now + self._timings.election_ms), False
        self._finish_hand_over()

    def _best(self, now: float) -> MemberId:
        """The voter beside this one that is heard and has most; empty where there is none."""
        heard = [
            (peer.match_index, who)
            for who, peer in self._followers.items()
            if who in self.config.voters and now - peer.heard < self._timings.election_ms
        ]
        return max(heard)[1] if heard else ""

    def _finish_hand_over(self, again: bool = False) -> None:
        if self._handing is None or self.role is not Role.LEADER:
            return
        to = self._handing[0]
        peer = self._followers.get(to)
        if (
            peer is not None
            and peer.match_index == self._log.last_index == self.commit_index
            and (again or not self._lead_told)
        ):
            self._lead_told = True
            self._send(to, TimeoutNow(self.group, self.current_term))

    # Following
    # --------------------------------------------------------------------------------------------------------

    def _received(self, now: float, who: MemberId, message: Any) -> None:
        match message:
            case AppendEntries():
                self._on_append(now, who, message)
            case AppendEntriesReply():
                self._on_appended(now, who, message)
            case RequestVote():
                self._handle_request_vote(now, who, message)
            case RequestVoteReply():
                self._on_vote(now, who, message)
            case InstallSnapshotChunk():
                self._on_piece(now, who, message)
            case InstallSnapshotChunkReply():
                self._on_piece_taken(now, who, message)
            case TimeoutNow():
                if (
                    message.term == self.current_term
                    and self.leader_id == who
                    and self.member_id in self.config.voters
                ):
                    self._elect(now, lead=True)

    def _see_leader(self, term: int, who: MemberId) -> bool:
        """Note who leads a term."""
        holds = self._check(
            Rule.ONE_LEADER,
            self._led[0] != term or self._led[1] == who,
            lambda: f"{self.group}: {self._led[1]} and {who} in {term}, seen by {self.member_id}",
        )
        self._led = (term, who)
        return holds

    def _heed(self, now: float, who: MemberId, term: int, round_: int) -> bool:
        """Whether this comes from the leader of the present term, or of a later one."""
        if term < self.current_term:
            self._send(
                who,
                AppendEntriesReply(self.group, self.current_term, False, self._log.last_index + 1, round_),
            )
            return False
        if not self._see_leader(term, who):
            return False
        self._become_follower(now, term, who)
        self._heard = now
        return self.stop_reason is None

    def _on_append(self, now: float, who: MemberId, said: AppendEntries) -> None:
        if not self._heed(now, who, said.term, said.heartbeat_round):
            return
        log, entries, before = self._log, said.entries, said.prev_log_index
        if entries and (entries[0].index != before + 1 or entries[-1].index != before + len(entries)):
            return  # no leader sends that
        self._told_commit = said.leader_commit
        match = before + len(entries)
        if log.config is None:
            self._refuse(who, 0, said.heartbeat_round)
            return
        if before > log.last_index:
            self._refuse(who, log.last_index + 1, said.heartbeat_round)
            return
        if before >= log.base_index and log.term_at(before) != said.prev_log_term:
            self._refuse(who, log.first_of_term(before, self.commit_index + 1), said.heartbeat_round)
            return
        if not self._append_entries(entries):
            return
        self._acknowledge(who, match, said.heartbeat_round)
        self._commit_up_to(now, min(said.leader_commit, match))

    def _append_entries(self, entries: tuple[LogEntry, ...]) -> bool:
        """Append what is not there yet; only what differs is cut off, as an old append may come late."""
        log = self._log
        for at, entry in enumerate(entries):
            if entry.index <= log.base_index or log.term_at(entry.index) == entry.term:
                continue
            if entry.index <= log.last_index and not self._truncate(entry.index):
                return False
            for one in entries[at:]:
                before = self.config
                log.append(one)
                if one.kind == CONFIG and not self._config_fits(before):
                    return False
            self._records.append(Entries(entries[at:]))
            return True
        return True

    def _config_fits(self, before: GroupConfiguration) -> bool:
        moved = set(before.voters) ^ set(self.config.voters)
        return self._check(Rule.CONFIG_ONE, len(moved) <= 1, lambda: f"{before} to {self.config}")

    def _truncate(self, index: int) -> bool:
        """Take entries back that no majority has."""
        if not self._check(
            Rule.COMMITTED_STAYS,
            index > self.commit_index,
            lambda: f"{self.member_id} cuts at {index}, committed {self.commit_index}",
        ):
            return False
        self._log.truncate_from(index)
        self._unsafe(index - 1)
        return True

    def _unsafe(self, index: int) -> None:
        """What is stable behind an index is no longer what the log says."""
        self._persisted_index = min(self._persisted_index, index)
        for one in self._open:
            one.last = min(one.last, index)

    def _refuse(self, who: MemberId, index: int, round_: int) -> None:
        self._send(who, AppendEntriesReply(self.group, self.current_term, False, index, round_))

    def _acknowledge(self, who: MemberId, match: int, round_: int) -> None:
        """Say what matches, once it is stored; a round is answered at once, as it says only whom this one
        follows."""
        if match <= self._persisted_index and self._safe_term == self.current_term:
            self._send(who, AppendEntriesReply(self.group, self.current_term, True, match, round_))
        else:
            if round_ > self._round_told:
                self._send(
                    who,
                    AppendEntriesReply(
                        self.group, self.current_term, True, min(match, self._persisted_index), round_
                    ),
                )
            self._send_when_persisted(
                who, AppendEntriesReply(self.group, self.current_term, True, match, round_)
            )
        self._round_told = max(self._round_told, round_)

    def _on_piece(self, now: float, who: MemberId, piece: InstallSnapshotChunk) -> None:
        if not self._heed(now, who, piece.term, piece.heartbeat_round):
            return
        if self._log.config is not None and piece.last_included_index <= self.commit_index:
            self._acknowledge(who, piece.last_included_index, piece.heartbeat_round)
            return
        if piece.total_bytes > MAX_SNAPSHOT_BYTES or piece.offset_bytes + len(piece.data) > piece.total_bytes:
            self._say("error", "snapshot-too-long", size=piece.total_bytes)
            return
        key = (who, piece.last_included_index, piece.last_included_term, piece.total_bytes)
        if self._taking is None or self._taking.key != key:
            self._taking = _Taking(key, bytearray())
        body = self._taking.body
        if piece.offset_bytes == len(body):
            body += piece.data
        if len(body) < piece.total_bytes:
            self._send(
                who,
                InstallSnapshotChunkReply(
                    self.group, self.current_term, piece.last_included_index, len(body), piece.heartbeat_round
                ),
            )
            return
        self._taking = None
        self._install(
            now, Snapshot(piece.last_included_index, piece.last_included_term, piece.config, bytes(body))
        )
        self._acknowledge(who, piece.last_included_index, piece.heartbeat_round)

    def _install(self, now: float, snapshot: Snapshot) -> None:
        """In place of the log up to there; what lies behind stays where it goes on from the same entry."""
        log = self._log
        if (
            log.config is not None
            and log.last_index > snapshot.last_included_index
            and log.term_at(snapshot.last_included_index) == snapshot.last_included_term
        ):
            log.compact_up_to(snapshot.last_included_index)
        else:
            self._unsafe(self.commit_index)
            self._withheld_messages.clear()  # they count as lost; what follows acknowledges more
            self._log = RaftLog(snapshot.last_included_index, snapshot.last_included_term, snapshot.config)
        self._machine.restore(now, snapshot.body)
        self._snapshot = snapshot
        self._records.append(snapshot)
        self.commit_index = self.last_applied = snapshot.last_included_index
        self._note_member()
        self._say("info", "snapshot-taken", index=snapshot.last_included_index, bytes=len(snapshot.body))

    # Committing and applying
    # ------------------------------------------------------------------------------------------

    def _add(self, kind: int, body: bytes) -> int:
        """An entry of the leader's own term."""
        entry = LogEntry(self._log.last_index + 1, self.current_term, kind, body)
        before = self.config
        self._log.append(entry)
        self._records.append(Entries((entry,)))
        if kind == CONFIG:
            self._config_fits(before)
        return entry.index

    def _commit_up_to(self, now: float, index: int) -> None:
        if index <= self.commit_index:
            return
        before, self.commit_index = self.commit_index, index
        log = self._log
        while self.last_applied < index:
            entry = log.entry_at(self.last_applied + 1)
            if not self._check(
                Rule.APPLIED_ONCE,
                entry.index == self.last_applied + 1,
                lambda: f"out of order after {self.last_applied}",
            ):
                return
            self.last_applied = entry.index
            result: Any = None
            if entry.kind == COMMAND:
                result = self._machine.apply(now, entry.index, entry.body)
            elif entry.kind == CONFIG:
                result = log.config_at(entry.index)
            token = self._pending.pop(entry.index, None)
            if token is not None:
                self._effects.append(OperationCompleted(token, result))
        self._note_member()
        if self.role is Role.LEADER:
            if not self.leading and self.commit_index >= self._lead_index:
                self.leading, self.leader_since_ms = True, now
                self._rounds_back(now)
            if before < log.config_index <= index:
                self._let_go(now)
        if (
            self.last_applied - (self._snapshot.last_included_index if self._snapshot else 0)
            >= self._timings.snapshot_entries
        ):
            self._compact()

    def _note_member(self) -> None:
        config = None if self._member else self._log.config_at(self.commit_index)
        self._member = self._member or (
            config is not None and self.member_id in config.voters + config.learners
        )

    def _let_go(self, now: float) -> None:
        """A configuration is committed: who is not in it hears of that once, and a leader that is not
        steps down."""
        for who in [who for who in self._followers if not self._knows(who)]:
            self._feed(now, who, self._followers[who], beat=True)
            del self._followers[who]
        if self.member_id not in self.config.voters:
            best = self._best(now)
            if best:
                self._send(best, TimeoutNow(self.group, self.current_term))
            self._become_follower(now, self.current_term)

    def _compact(self) -> None:
        """Put what is applied into a snapshot.  As many entries again stay in memory, so that who is a
        little behind needs no snapshot."""
        config = self._log.config_at(self.last_applied)
        assert config is not None
        self._snapshot = Snapshot(
            self.last_applied, self._log.term_at(self.last_applied), config, self._machine.dump()
        )
        self._records.append(self._snapshot)
        keep = self.last_applied - self._timings.snapshot_entries
        if keep > self._log.base_index:
            self._log.compact_up_to(keep)

    # Stable storage
    # ---------------------------------------------------------------------------------------------------

    def _on_stored(self, now: float, seq: int) -> None:
        while self._open and self._open[0].seq <= seq:
            done = self._open.popleft()
            self._stored = done.seq
            self._persisted_index, self._safe_term, self._safe_vote = done.last, done.term, done.vote
            while self._withheld_messages and self._withheld_messages[0][0] <= done.seq:
                _, to, message = self._withheld_messages.popleft()
                if message.term == self.current_term:  # else it counts as lost
                    self._send(to, message)
        if self.role is Role.LEADER:
            self._advance_commit_index(now)
            if self.role is Role.LEADER:
                self._finish_hand_over()
        elif self.role is Role.CANDIDATE and (self._safe_term, self._safe_vote) == (
            self.current_term,
            self.member_id,
        ):
            self._count(now, self.member_id)

    def _send_when_persisted(self, to: MemberId, message: Told) -> None:
        """Tell when all up to here is stored."""
        seq = self._seq + 1 if self._records else self._seq
        if seq <= self._stored:
            self._send(to, message)
            return
        if len(self._withheld_messages) >= MAX_WITHHELD_MESSAGES:
            self._withheld_messages.popleft()
        self._withheld_messages.append((seq, to, message))

    def _send(self, to: MemberId, message: Told) -> None:
        holds = True
        match message:
            case AppendEntriesReply(success=True):
                holds = message.index <= self._persisted_index
            case RequestVoteReply(vote_granted=True, pre_vote=False):
                holds = (self._safe_term, self._safe_vote) == (message.term, to)
            case RequestVote(pre_vote=False):
                holds = (self._safe_term, self._safe_vote) == (message.term, self.member_id)
        if self._check(Rule.STORED_FIRST, holds, lambda: f"{self.member_id} tells {to} {message}"):
            self._effects.append(SendMessage(to, message))

    # Ends
    # -------------------------------------------------------------------------------------------------------------

    def _check(self, rule: Rule, holds: bool, facts: Any) -> bool:
        """Check an invariant; where it does not hold this copy promises nothing more."""
        if holds or self._rules.check(rule, False, facts):
            return True
        self._stop(0.0, InvariantBroken(self.group, rule.value))
        return False

    def _stop(self, now: float, error: ClusterError) -> None:
        if self.stop_reason is not None:
            return
        if self.role is Role.LEADER:
            best = self._best(now) if isinstance(error, StorageFailed) else ""
            if best:
                self._effects.append(
                    SendMessage(best, TimeoutNow(self.group, self.current_term))
                )  # it need not wait for an election time
            self._end_lead()
        self.stop_reason, self.role, self.leader_id, self.leading = error, Role.FOLLOWER, "", False
        self._withheld_messages.clear()
        self._records = []
        self._say("error", "copy-stopped", error=str(error))

    def _say(self, level: str, event: str, **fields: Any) -> None:
        self._effects.append(
            LogEvent(level, event, {"group": self.group, "term": self.current_term, **fields})
        )
