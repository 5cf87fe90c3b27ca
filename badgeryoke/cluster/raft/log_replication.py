"""The leader's side of log replication: heartbeats, AppendEntries, and the commit index (paper, 5.3 and 5.4;
dissertation, 6.2 for check-quorum and 10.2 for pipelining)."""

from __future__ import annotations

import math

from badgeryoke.cluster.errors import InvalidCall, NoLeader, UnknownOutcome
from badgeryoke.cluster.events import Entries
from badgeryoke.cluster.invariants import Rule
from badgeryoke.cluster.messages import AppendEntries, AppendEntriesReply, EntryKind, LogEntry, MemberId
from badgeryoke.cluster.raft.persistence import Persistence
from badgeryoke.cluster.raft.state_types import FollowerProgress, PendingRead, Role

# Appends in flight to one member; entries proposed meanwhile are batched into the next append.
MAX_APPENDS_IN_FLIGHT = 4
MAX_COMMAND_BYTES = 128 * 1024  # size of one proposal; a larger one is rejected
MAX_APPEND_BYTES = 256 * 1024  # total size of the entries of one append; a single entry may be larger
MIN_HEARTBEATS_PER_ELECTION_TIMEOUT = 3  # heartbeats that even an idle leader sends


class LogReplication(Persistence):
    """Replicates the leader's log to the other members."""

    # Start and end of leadership

    def _become_leader(self, now_ms: float) -> None:
        if not self._note_leader(self.current_term, self.member_id):
            return
        self.role, self.leader_id, self.leading = Role.LEADER, self.member_id, False
        self._followers, self._heartbeat_round = {}, 0
        self._quorum_until_ms, self._transfer = -math.inf, None
        self._track_followers(now_ms)
        self._first_index_of_term = self.last_log_index + 1
        self._append_as_leader(EntryKind.NOTHING, b"")
        self._send_heartbeat_round(now_ms)
        self._log_event("info", "leads", last=self.last_log_index)

    def _end_leadership(self) -> None:
        """Fail the operations in flight.

        The outcome of proposals is unknown, as the next leader may commit them; reads have changed nothing.
        """
        for token in self._pending.values():
            reason = "the leader changed before it was committed"
            self._complete(token, UnknownOutcome(self.group, reason))
        for token in [read.token for read in self._round_reads] + self._waiting_reads:
            self._complete(token, NoLeader(self.group, "the leader changed"))
        self._pending, self._waiting_reads, self._followers = {}, [], {}
        self._round_reads.clear()
        self.leading, self._transfer, self._next_heartbeat_ms = False, None, math.inf

    def _heard_from_quorum(self, now_ms: float) -> bool:
        """Check-quorum: whether a majority replied within `Timings.election_ms`."""
        quorum_reply_ms = self._reached_by_quorum(now_ms, lambda progress: progress.last_reply_ms)
        self._quorum_until_ms = quorum_reply_ms + self._timings.election_ms
        return now_ms <= self._quorum_until_ms

    # Proposals

    def _handle_proposal(self, now_ms: float, token: str, body: bytes) -> None:
        error = self._rejection(len(self._pending))
        if error is None and len(body) > MAX_COMMAND_BYTES:
            error = InvalidCall(self.group, f"body: {len(body)} bytes, at most {MAX_COMMAND_BYTES} fit")
        if error is not None:
            self._complete(token, error)
            return
        self._pending[self._append_as_leader(EntryKind.COMMAND, body)] = token
        self._replicate_to_all(now_ms)

    def _append_as_leader(self, kind: EntryKind, body: bytes) -> int:
        """Append an entry of the current term; returns its index."""
        entry = LogEntry(self.last_log_index + 1, self.current_term, kind, body)
        config_before = self.config
        self._log.append(entry)
        self._records.append(Entries((entry,)))
        if kind == EntryKind.CONFIG:
            self._check_single_change(config_before)
        return entry.index

    # Heartbeats

    def _next_heartbeat_slot_ms(self, now_ms: float) -> float:
        """The next multiple of `heartbeat_ms`.

        All groups that one gateway leads thus send their heartbeats at the same time, so that one frame carries all
        heartbeats to a peer and one frame carries all its replies.
        """
        heartbeat_ms = self._timings.heartbeat_ms
        return (now_ms // heartbeat_ms + 1.0) * heartbeat_ms

    def _send_due_heartbeat(self, now_ms: float) -> None:
        if now_ms < self._next_heartbeat_ms:
            return
        if self._may_skip_heartbeat(now_ms):
            self._next_heartbeat_ms = self._next_heartbeat_slot_ms(now_ms)
        else:
            self._send_heartbeat_round(now_ms)

    def _may_skip_heartbeat(self, now_ms: float) -> bool:
        """Whether this heartbeat may be skipped: every member has all entries, has received the commit index, and has
        replied to the last round.

        Members that have not replied for `Timings.election_ms` are ignored.  After a lost heartbeat or a lost reply
        the round has no reply, so the next heartbeat is sent after `heartbeat_ms`.  Skipping affects no guarantee:
        check-quorum and the refusal of votes count `election_ms` from the last contact, a follower's election timeout
        is at least that long, and `MIN_HEARTBEATS_PER_ELECTION_TIMEOUT` heartbeats fall within it.  Reads start a
        round at once, and proposals are sent at once.
        """
        silence_ms = self._next_heartbeat_slot_ms(now_ms) - self._last_heartbeat_ms
        if silence_ms > self._timings.election_ms / MIN_HEARTBEATS_PER_ELECTION_TIMEOUT:
            return False
        if self._transfer is not None or self._round_reads or self._waiting_reads:
            return False
        if not self.leading or self.commit_index != self.last_log_index:
            return False
        return all(
            self._is_silent(now_ms, progress) or self._is_idle(progress)
            for progress in self._followers.values()
        )

    def _is_silent(self, now_ms: float, progress: FollowerProgress) -> bool:
        return now_ms - progress.last_reply_ms >= self._timings.election_ms

    def _is_idle(self, progress: FollowerProgress) -> bool:
        """Whether a member has replied to the last round, and has every committed entry and the commit index."""
        knows_commit_index = progress.match_index == progress.catch_up_index == self.commit_index
        return progress.replied_round == self._heartbeat_round and knows_commit_index

    def _send_heartbeat_round(self, now_ms: float) -> None:
        """Start a heartbeat round; the waiting reads are completed once a majority has replied to it."""
        self._heartbeat_round += 1
        self._next_heartbeat_ms = self._next_heartbeat_slot_ms(now_ms)
        self._last_heartbeat_ms = now_ms
        if self.leading and self._waiting_reads:
            self._round_reads.extend(
                PendingRead(self._heartbeat_round, token) for token in self._waiting_reads
            )
            self._waiting_reads = []
        for member, progress in self._followers.items():
            progress.catch_up_index = self.commit_index
            self._replicate_to(now_ms, member, progress, heartbeat=True)
        self._continue_transfer(resend=True)
        self._complete_reads(now_ms)

    # Sending entries

    def _replicate_to_all(self, now_ms: float) -> None:
        for member, progress in self._followers.items():
            self._replicate_to(now_ms, member, progress)

    def _replicate_to(
        self, now_ms: float, member: MemberId, progress: FollowerProgress, heartbeat: bool = False
    ) -> None:
        """Send a member the entries or the snapshot chunk that it lacks.

        `heartbeat`: send an append even without entries, and resend a probe or a chunk that got no reply.
        """
        if heartbeat:
            progress.awaiting_reply = False
            # A member that may be down gets a heartbeat without entries.
            if self._is_silent(now_ms, progress):
                self._send_append(member, max(progress.next_index - 1, self._log.base_index), ())
                return
        if progress.next_index <= self._log.base_index:
            self._send_snapshot_chunk(member, progress)
        else:
            self._send_entries(member, progress, heartbeat)

    def _send_entries(self, member: MemberId, progress: FollowerProgress, heartbeat: bool) -> None:
        while True:
            window_is_full = len(progress.in_flight) >= MAX_APPENDS_IN_FLIGHT
            must_wait = progress.awaiting_reply if progress.probing else window_is_full
            if must_wait and not heartbeat:
                return
            entries = () if window_is_full else self._next_entries(progress)
            if not entries and not heartbeat:
                return
            self._send_append(member, progress.next_index - 1, entries)
            heartbeat = False
            if progress.probing:
                progress.awaiting_reply = True
                return
            if entries:
                progress.next_index += len(entries)
                progress.in_flight.append(progress.next_index - 1)

    def _next_entries(self, progress: FollowerProgress) -> tuple[LogEntry, ...]:
        return self._log.entries_from(progress.next_index, self._timings.most_batch, MAX_APPEND_BYTES)

    def _send_append(self, member: MemberId, prev_log_index: int, entries: tuple[LogEntry, ...]) -> None:
        append = AppendEntries(
            self.group,
            self.current_term,
            prev_log_index,
            self._log.term_at(prev_log_index),
            entries,
            self.commit_index,
            self._heartbeat_round,
        )
        self._send(member, append)

    # Replies

    def _note_reply(
        self, now_ms: float, sender: MemberId, term: int, heartbeat_round: int
    ) -> FollowerProgress | None:
        """Record a reply and return the progress of its sender; None if the reply is stale or unexpected."""
        if term > self.current_term:
            self._become_follower(now_ms, term)
            return None
        progress = self._followers.get(sender)
        if progress is None or term != self.current_term or self.role is not Role.LEADER:
            return None
        if heartbeat_round > self._heartbeat_round:
            return None
        progress.last_reply_ms = now_ms
        progress.replied_round = max(progress.replied_round, heartbeat_round)
        return progress

    def _handle_append_entries_reply(
        self, now_ms: float, sender: MemberId, reply: AppendEntriesReply
    ) -> None:
        progress = self._note_reply(now_ms, sender, reply.term, reply.heartbeat_round)
        if progress is None:
            return
        if reply.success:
            if reply.index <= self.last_log_index:
                self._note_match(progress, reply.index)
                self._advance_commit_index(now_ms)
        else:
            self._handle_append_rejection(sender, progress, reply)
        if self.role is Role.LEADER and sender in self._followers:
            self._replicate_to(now_ms, sender, progress)
            self._complete_reads(now_ms)
            self._continue_transfer()

    def _note_match(self, progress: FollowerProgress, match_index: int) -> None:
        progress.match_index = max(progress.match_index, match_index)
        progress.next_index = max(progress.next_index, match_index + 1)
        progress.entries_lost_round = None
        while progress.in_flight and progress.in_flight[0] <= progress.match_index:
            progress.in_flight.popleft()
        if progress.snapshot is not None and match_index >= progress.snapshot.last_included_index:
            progress.snapshot = None
        if progress.snapshot is None:
            progress.probing = progress.awaiting_reply = False

    def _handle_append_rejection(
        self, sender: MemberId, progress: FollowerProgress, reply: AppendEntriesReply
    ) -> None:
        """Probe again from the index that the member requests.

        A new member that has no configuration requests index 0, and receives a snapshot first.
        """
        is_new_member = reply.index == 0 == progress.match_index
        if reply.index < progress.next_index and (reply.index > progress.match_index or is_new_member):
            progress.probe_from(reply.index)
            progress.in_flight.clear()
        elif reply.index <= progress.match_index:
            self._handle_lost_entries(sender, progress, reply)

    def _handle_lost_entries(
        self, sender: MemberId, progress: FollowerProgress, reply: AppendEntriesReply
    ) -> None:
        """Handle a member that rejects an append at or below the index that it has acknowledged.

        The reply may be late, or it may answer an append that followed a lost one while the member's log ended in
        conflicting entries.  So the leader first probes again after the acknowledged index.  A member that rejects
        this too, in a later round, has lost entries that it acknowledged: its data directory was restored from a
        backup.  It cannot be brought up to date, and only the leader can detect this, so the leader logs it.
        """
        if progress.entries_lost_round is None:
            progress.probe_from(progress.match_index + 1)
            progress.entries_lost_round = self._heartbeat_round
            progress.in_flight.clear()
        elif reply.heartbeat_round > progress.entries_lost_round:
            progress.entries_lost_round = math.inf  # log the loss only once
            self._log_event(
                "error",
                "copy-went-back",
                who=sender,
                acknowledged=progress.match_index,
                has=max(reply.index - 1, 0),
            )

    # Commit index

    def _is_entry_of_current_term(self, index: int) -> bool:
        return self._log.term_at(index) == self.current_term

    def _advance_commit_index(self, now_ms: float) -> None:
        """Commit the entries that a majority has persisted (paper, figure 2); entries of an older term only together
        with an entry of the current term (5.4.2)."""
        index = self._reached_by_quorum(self._persisted_index, lambda progress: progress.match_index)
        if index <= self.commit_index or not self._is_entry_of_current_term(index):
            return
        term = self._log.term_at(index)
        if self._check(
            Rule.OWN_TERM,
            term == self.current_term,
            lambda: f"{self.member_id} counts {index} of term {term} in {self.current_term}",
        ):
            self._commit_up_to(now_ms, index)
