"""Stable storage of a replica: open and confirmed writes, and the messages that are withheld until a write is done.

`PersistRecords` effects are returned in order and several may be open, so that one fsync can serve many groups.  A
vote, a candidate's request for votes and a success reply to the leader are withheld until the records that they
depend on are persisted (paper, figure 2: "updated on stable storage before responding to RPCs").  The leader sends
entries at once, and counts its own copy once they are persisted (dissertation, 10.2.1).
"""

from __future__ import annotations

from badgeryoke.cluster.events import HardState, PersistRecords, SendMessage
from badgeryoke.cluster.invariants import Rule
from badgeryoke.cluster.messages import AppendEntriesReply, MemberId, RequestVote, RequestVoteReply
from badgeryoke.cluster.raft.state import RaftState
from badgeryoke.cluster.raft.state_types import OpenWrite, RaftMessage, WithheldMessage

MAX_WITHHELD_MESSAGES = 4096  # messages that wait for storage; above it the oldest is dropped, as if lost


class Persistence(RaftState):
    """Writes to stable storage, and sends the messages that depend on these writes."""

    def _set_term_and_vote(self, term: int, vote: MemberId) -> None:
        """Set the current term and the vote in it."""
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

    def _write_records(self) -> None:
        """Emit one write with all records of one event, ahead of the event's other effects."""
        if not self._records or self.stop_reason is not None:
            return
        self._last_sequence += 1
        self._open_writes.append(
            OpenWrite(self._last_sequence, self._log.last_index, self.current_term, self.voted_for)
        )
        self._effects.insert(0, PersistRecords(self.group, self._last_sequence, tuple(self._records)))
        self._records = []

    def _confirm_writes(self, sequence: int) -> None:
        """Mark all writes up to a sequence number as persisted, and send the messages that waited for them."""
        while self._open_writes and self._open_writes[0].sequence <= sequence:
            write = self._open_writes.popleft()
            self._persisted_sequence = write.sequence
            self._persisted_index = write.last_index
            self._persisted_term, self._persisted_vote = write.current_term, write.voted_for
            self._release_messages()

    def _release_messages(self) -> None:
        while self._withheld_messages and self._withheld_messages[0].sequence <= self._persisted_sequence:
            withheld = self._withheld_messages.popleft()
            # A message of an older term is dropped, as if it was lost.
            if withheld.message.term == self.current_term:
                self._send(withheld.to, withheld.message)

    def _invalidate_persisted(self, last_index: int) -> None:
        """Record that storage no longer matches the log after an index."""
        self._persisted_index = min(self._persisted_index, last_index)
        for write in self._open_writes:
            write.last_index = min(write.last_index, last_index)

    def _send_when_persisted(self, to: MemberId, message: RaftMessage) -> None:
        """Send a message once all records up to now are persisted."""
        sequence = self._last_sequence + 1 if self._records else self._last_sequence
        if sequence <= self._persisted_sequence:
            self._send(to, message)
            return
        if len(self._withheld_messages) >= MAX_WITHHELD_MESSAGES:
            self._withheld_messages.popleft()
        self._withheld_messages.append(WithheldMessage(sequence, to, message))

    def _send(self, to: MemberId, message: RaftMessage) -> None:
        """Send a message now; the state that it acknowledges must already be persisted."""
        is_persisted = True
        persisted_vote = (self._persisted_term, self._persisted_vote)
        match message:
            case AppendEntriesReply(success=True):
                is_persisted = message.index <= self._persisted_index
            case RequestVoteReply(vote_granted=True, pre_vote=False):
                is_persisted = persisted_vote == (message.term, to)
            case RequestVote(pre_vote=False):
                is_persisted = persisted_vote == (message.term, self.member_id)
        if self._check(Rule.STORED_FIRST, is_persisted, lambda: f"{self.member_id} tells {to} {message}"):
            self._effects.append(SendMessage(to, message))
