"""Leadership transfer (dissertation, 3.10): the leader brings one voter up to date and lets it stand for
election at once."""

from __future__ import annotations

from badgeryoke.cluster.messages import MemberId, TimeoutNow
from badgeryoke.cluster.raft.persistence import Persistence
from badgeryoke.cluster.raft.state_types import PendingTransfer, Role


class LeadershipTransfer(Persistence):
    """The leader's side of a transfer; the target's is `Election._handle_timeout_now`."""

    def _handle_transfer_request(self, now_ms: float, target: MemberId) -> None:
        """Start a transfer, to the most up-to-date voter where no target is named.

        The target gets the votes although this leader is still heard.
        """
        if self.role is not Role.LEADER or self._transfer is not None:
            return
        target = target or self._most_up_to_date_voter(now_ms)
        is_other_voter = target != self.member_id and target in self.config.voters
        if not is_other_voter or target not in self._followers:
            self._log_event("warning", "hand-over-failed", to=target)
            return
        self._transfer = PendingTransfer(target, now_ms + self._timings.election_ms)
        self._continue_transfer()

    def _continue_transfer(self, resend: bool = False) -> None:
        """Notify the target once it has every entry; `resend`: also where it was notified before."""
        if self._transfer is None or self.role is not Role.LEADER:
            return
        progress = self._followers.get(self._transfer.target)
        if progress is None or not progress.match_index == self.last_log_index == self.commit_index:
            return
        if resend or not self._transfer.notified:
            self._transfer.notified = True
            self._send(self._transfer.target, TimeoutNow(self.group, self.current_term))

    def _abort_late_transfer(self, now_ms: float) -> None:
        """Give up a transfer that has not ended within an election time."""
        if self._transfer is not None and now_ms >= self._transfer.deadline_ms:
            self._log_event("warning", "hand-over-failed", to=self._transfer.target)
            self._transfer = None

    def _most_up_to_date_voter(self, now_ms: float) -> MemberId:
        """Of the other voters heard within an election time, the one that has most entries; empty where
        there is none."""
        heard = [
            (progress.match_index, member)
            for member, progress in self._followers.items()
            if member in self.config.voters and now_ms - progress.last_reply_ms < self._timings.election_ms
        ]
        return max(heard)[1] if heard else ""
