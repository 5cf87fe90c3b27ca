"""A Raft replica of one group, without I/O: its log, and the state machine that the log is applied to.

Sources: Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm (Extended Version)", 2014,
and Ongaro's dissertation, 2014: pre-vote and check-quorum (9.6, 6.2), refusing votes while hearing from a
leader (4.2.3), leadership transfer (3.10), one membership change at a time with learners first (4.1, 4.2.1), read
index (6.4), pipelining and writing to the leader's disk in parallel (10.2).  `docs/design/replication.md`
states the guarantees and the rejected alternatives.

Guarantees: once `OperationCompleted` reports the result of a proposal, its entry is on stable storage at a majority
and stays applied at its index; a completed read sees every write that was acknowledged before the read began.  A
proposal whose outcome cannot be determined ends with `UnknownOutcome`.  After `StorageFailure` this replica sends no
further messages.

This module dispatches events; the other modules of this package implement the parts of the algorithm.
"""

from __future__ import annotations

from badgeryoke.cluster.errors import ClusterError, NotFound, StorageFailed
from badgeryoke.cluster.events import (
    ChangeMembership,
    DiscardGroup,
    Effect,
    HardState,
    MessageReceived,
    PersistRecords,
    ProposeCommand,
    ReadIndexRequest,
    RecordsPersisted,
    ReplicaEvent,
    SendMessage,
    StorageFailure,
    Tick,
    TransferLeadership,
)
from badgeryoke.cluster.messages import (
    AnyMessage,
    AppendEntries,
    AppendEntriesReply,
    InstallSnapshotChunk,
    InstallSnapshotChunkReply,
    MemberId,
    RequestVote,
    RequestVoteReply,
    TimeoutNow,
)
from badgeryoke.cluster.raft.election import Election
from badgeryoke.cluster.raft.follower_log import FollowerLog
from badgeryoke.cluster.raft.leadership_transfer import LeadershipTransfer
from badgeryoke.cluster.raft.log_replication import LogReplication
from badgeryoke.cluster.raft.membership_change import MembershipChange
from badgeryoke.cluster.raft.read_index import ReadIndex
from badgeryoke.cluster.raft.snapshot_transfer import SnapshotTransfer
from badgeryoke.cluster.raft.state_types import Role
from badgeryoke.cluster.raft.status import ReplicaStatus, follower_status


class RaftNode(
    Election,
    LeadershipTransfer,
    LogReplication,
    FollowerLog,
    SnapshotTransfer,
    MembershipChange,
    ReadIndex,
):
    """One replica.  Call `handle` with each event, and with a `Tick` no later than `due_ms`."""

    # Queries

    @property
    def is_up_to_date(self) -> bool:
        """Whether it has applied all entries up to the leader's commit index, as last reported."""
        has_leader = bool(self.leader_id)
        return self.leading or (has_leader and self._leader_commit <= self.commit_index == self.last_applied)

    @property
    def is_removed(self) -> bool:
        """Whether the committed configuration lacks this member, although a committed one that this process has
        known contained it."""
        config = self._log.config_at(self.commit_index)
        return (
            self._was_member
            and config is not None
            and self.member_id not in config.voters
            and self.member_id not in config.learners
        )

    def lagging_learners(self) -> tuple[MemberId, ...]:
        """Learners that have not caught up; empty unless this replica leads."""
        if not self.leading:
            return ()
        return tuple(member for member in self.config.learners if not self._has_caught_up(member))

    def lagging_voters(self) -> tuple[MemberId, ...]:
        """Voters that have not caught up; empty unless this replica leads.  A healthy voter may lag for a moment."""
        if not self.leading:
            return ()
        return tuple(member for member in self._other_voters() if not self._has_caught_up(member))

    def status(self, now_ms: float) -> ReplicaStatus:
        """The replica's state, for operators."""
        return {
            "group": self.group,
            "role": self.role.value,
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
                member: follower_status(now_ms, progress) for member, progress in self._followers.items()
            },
        }

    # Events

    def handle(self, now_ms: float, event: ReplicaEvent) -> list[Effect]:
        """Handle an event; returns the effects to carry out, in order."""
        effects: list[Effect] = []
        self._effects = effects
        if self.stop_reason is not None:
            if isinstance(event, ProposeCommand | ReadIndexRequest | ChangeMembership):
                self._complete(event.token, self.stop_reason)
            return effects
        self._check_quorum(now_ms)
        self._dispatch(now_ms, event)
        self._write_records()
        self._update_due()
        return effects

    def discard(self) -> list[Effect]:
        """Delete this replica's log and stop the replica for good.

        Term and vote are kept, because a member that is added again under the same id must not vote twice in a term.
        """
        effects: list[Effect] = []
        self._effects = effects
        self._stop(NotFound(self.group, "no copy is kept here"))
        self._last_sequence += 1
        records = (DiscardGroup(), HardState(self.current_term, self.voted_for))
        effects.append(PersistRecords(self.group, self._last_sequence, records))
        return effects

    def _check_quorum(self, now_ms: float) -> None:
        """Step down if no majority has replied within `Timings.election_ms`.

        This runs before each event: a process that was frozen must not continue as the leader, nor count
        messages that were queued meanwhile as fresh replies.
        """
        if self.role is not Role.LEADER or now_ms <= self._quorum_until_ms:
            return
        if not self._heard_from_quorum(now_ms):
            self._log_event("warning", "majority-not-heard")
            self._become_follower(now_ms, self.current_term)

    def _dispatch(self, now_ms: float, event: ReplicaEvent) -> None:
        match event:
            case MessageReceived(sender, message):
                self._handle_message(now_ms, sender, message)
            case RecordsPersisted(_, sequence):
                self._handle_records_persisted(now_ms, sequence)
            case ProposeCommand(token, body):
                self._handle_proposal(now_ms, token, body)
            case ReadIndexRequest(token):
                self._handle_read(now_ms, token)
            case Tick():
                self._handle_tick(now_ms)
            case ChangeMembership():
                self._handle_membership_change(now_ms, event)
            case TransferLeadership(target):
                self._handle_transfer_request(now_ms, target)
            case StorageFailure(error):
                self._handle_storage_failure(now_ms, error)

    def _handle_message(self, now_ms: float, sender: MemberId, message: AnyMessage) -> None:
        match message:
            case AppendEntries():
                self._handle_append_entries(now_ms, sender, message)
            case AppendEntriesReply():
                self._handle_append_entries_reply(now_ms, sender, message)
            case RequestVote():
                self._handle_request_vote(now_ms, sender, message)
            case RequestVoteReply():
                self._handle_request_vote_reply(now_ms, sender, message)
            case InstallSnapshotChunk():
                self._handle_install_snapshot(now_ms, sender, message)
            case InstallSnapshotChunkReply():
                self._handle_install_snapshot_reply(now_ms, sender, message)
            case TimeoutNow():
                self._handle_timeout_now(now_ms, sender, message)

    def _handle_tick(self, now_ms: float) -> None:
        if self.role is Role.LEADER:
            self._abort_late_transfer(now_ms)
            self._send_due_heartbeat(now_ms)
        elif now_ms >= self._election_deadline_ms and self.member_id in self.config.voters:
            self._start_pre_vote(now_ms)

    def _handle_records_persisted(self, now_ms: float, sequence: int) -> None:
        self._confirm_writes(sequence)
        own_vote = (self.current_term, self.member_id)
        if self.role is Role.LEADER:
            self._advance_commit_index(now_ms)
            self._continue_transfer()
        elif self.role is Role.CANDIDATE and (self._persisted_term, self._persisted_vote) == own_vote:
            self._count_vote(now_ms, self.member_id)

    def _handle_storage_failure(self, now_ms: float, error: ClusterError) -> None:
        """Stop; a leader whose disk failed first makes its most up-to-date follower start an election, so that the
        group need not wait for an election timeout.

        `error` may also be a broken invariant; it is logged as such, because the disk is not at fault then.
        """
        if self.role is Role.LEADER and isinstance(error, StorageFailed):
            successor = self._most_up_to_date_voter(now_ms)
            if successor:
                self._effects.append(SendMessage(successor, TimeoutNow(self.group, self.current_term)))
        self._stop(error)

    def _stop(self, error: ClusterError) -> None:
        """Stop this replica for good; later operations fail with `error`."""
        if self.stop_reason is not None:
            return
        if self.role is Role.LEADER:
            self._end_leadership()
        self.stop_reason, self.role, self.leader_id, self.leading = error, Role.FOLLOWER, "", False
        self._withheld_messages.clear()
        self._records = []
        self._log_event("error", "copy-stopped", error=str(error))
