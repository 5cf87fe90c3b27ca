"""The follower's side of log replication, and applying committed entries on every replica (paper, 5.3)."""

from __future__ import annotations

from typing import Any

from badgeryoke.cluster.events import Entries
from badgeryoke.cluster.invariants import Rule
from badgeryoke.cluster.messages import AppendEntries, AppendEntriesReply, EntryKind, LogEntry, MemberId
from badgeryoke.cluster.raft.persistence import Persistence
from badgeryoke.cluster.raft.state_types import Role


class FollowerLog(Persistence):
    """Accepts entries from the leader, and applies committed entries."""

    # Appends

    def _accept_leader(self, now_ms: float, sender: MemberId, term: int, heartbeat_round: int) -> bool:
        """Whether the sender leads the current term or a later one; if so, this member becomes its follower."""
        if term < self.current_term:
            self._reject_append(sender, self.last_log_index + 1, heartbeat_round)
            return False
        if not self._note_leader(term, sender):
            return False
        self._become_follower(now_ms, term, sender)
        self._leader_heard_ms = now_ms
        return self.stop_reason is None

    def _handle_append_entries(self, now_ms: float, leader: MemberId, append: AppendEntries) -> None:
        if not self._accept_leader(now_ms, leader, append.term, append.heartbeat_round):
            return
        if not entries_are_contiguous(append.prev_log_index, append.entries):
            return  # a correct leader never sends this
        self._leader_commit = append.leader_commit
        retry_index = self._retry_index(append)
        if retry_index is not None:
            self._reject_append(leader, retry_index, append.heartbeat_round)
            return
        match_index = append.prev_log_index + len(append.entries)
        if not self._append_entries(append.entries):
            return
        self._acknowledge(leader, match_index, append.heartbeat_round)
        self._commit_up_to(now_ms, min(append.leader_commit, match_index))

    def _retry_index(self, append: AppendEntries) -> int | None:
        """The index from which the leader has to send instead; None if the append follows on from the log.

        0 means that this member has no configuration yet and needs a snapshot.
        """
        log = self._log
        if log.config is None:
            return 0
        if append.prev_log_index > log.last_index:
            return log.last_index + 1
        compacted = append.prev_log_index < log.base_index
        if not compacted and log.term_at(append.prev_log_index) != append.prev_log_term:
            return log.first_of_term(append.prev_log_index, self.commit_index + 1)
        return None

    def _append_entries(self, entries: tuple[LogEntry, ...]) -> bool:
        """Append the entries that are missing; truncate only from a conflicting entry on, as appends may arrive late."""
        log = self._log
        for position, entry in enumerate(entries):
            if entry.index <= log.base_index or log.term_at(entry.index) == entry.term:
                continue
            if entry.index <= log.last_index and not self._truncate(entry.index):
                return False
            return self._append_new_entries(entries[position:])
        return True

    def _append_new_entries(self, entries: tuple[LogEntry, ...]) -> bool:
        for entry in entries:
            config_before = self.config
            self._log.append(entry)
            if entry.kind == EntryKind.CONFIG and not self._check_single_change(config_before):
                return False
        self._records.append(Entries(entries))
        return True

    def _truncate(self, index: int) -> bool:
        """Remove the entries from an index on; they must not be committed."""
        if not self._check(
            Rule.COMMITTED_STAYS,
            index > self.commit_index,
            lambda: f"{self.member_id} cuts at {index}, committed {self.commit_index}",
        ):
            return False
        self._log.truncate_from(index)
        self._invalidate_persisted(index - 1)
        return True

    # Replies

    def _reject_append(self, leader: MemberId, retry_index: int, heartbeat_round: int) -> None:
        self._send(
            leader, AppendEntriesReply(self.group, self.current_term, False, retry_index, heartbeat_round)
        )

    def _acknowledge(self, leader: MemberId, match_index: int, heartbeat_round: int) -> None:
        """Acknowledge the entries up to `match_index` once they are persisted.

        A new heartbeat round is confirmed at once, as that only states which leader this member follows.
        """
        reply = AppendEntriesReply(self.group, self.current_term, True, match_index, heartbeat_round)
        if match_index <= self._persisted_index and self._persisted_term == self.current_term:
            self._send(leader, reply)
        else:
            if heartbeat_round > self._confirmed_round:
                persisted_match = min(match_index, self._persisted_index)
                self._send(
                    leader,
                    AppendEntriesReply(self.group, self.current_term, True, persisted_match, heartbeat_round),
                )
            self._send_when_persisted(leader, reply)
        self._confirmed_round = max(self._confirmed_round, heartbeat_round)

    # Committed entries

    def _commit_up_to(self, now_ms: float, index: int) -> None:
        """Advance the commit index and apply the entries up to it."""
        if index <= self.commit_index:
            return
        commit_before, self.commit_index = self.commit_index, index
        while self.last_applied < index:
            if not self._apply_next(now_ms):
                return
        self._note_membership()
        if self.role is Role.LEADER:
            if not self.leading and self.commit_index >= self._first_index_of_term:
                self.leading, self.leader_since_ms = True, now_ms
                self._complete_reads(now_ms)
            if commit_before < self._log.config_index <= index:
                self._finish_config_change(now_ms)
        snapshot_index = self._latest_snapshot.last_included_index if self._latest_snapshot else 0
        if self.last_applied - snapshot_index >= self._timings.snapshot_entries:
            self._compact_log()

    def _apply_next(self, now_ms: float) -> bool:
        """Apply the entry after `last_applied`, and complete the operation that proposed it."""
        entry = self._log.entry_at(self.last_applied + 1)
        if not self._check(
            Rule.APPLIED_ONCE,
            entry.index == self.last_applied + 1,
            lambda: f"out of order after {self.last_applied}",
        ):
            return False
        self.last_applied = entry.index
        result: Any = None  # each state machine has its own result type
        match entry.kind:
            case EntryKind.COMMAND:
                result = self._state_machine.apply(now_ms, entry.index, entry.body)
            case EntryKind.CONFIG:
                result = self._log.config_at(entry.index)
        token = self._pending.pop(entry.index, None)
        if token is not None:
            self._complete(token, result)
        return True


def entries_are_contiguous(prev_log_index: int, entries: tuple[LogEntry, ...]) -> bool:
    """Whether the indexes of an append's entries follow on from `prev_log_index` without a gap."""
    if not entries:
        return True
    return entries[0].index == prev_log_index + 1 and entries[-1].index == prev_log_index + len(entries)
