"""Leadership transfer (dissertation, 3.10): the leader brings one voter up to date, which then starts an
election at once."""

from __future__ import annotations

from badgeryoke.cluster.messages import MemberId, TimeoutNow
from badgeryoke.cluster.raft.persistence import Persistence
from badgeryoke.cluster.raft.state_types import PendingTransfer, Role


class LeadershipTransfer(Persistence):
    """The leader's side of a transfer; the target's is `Election._handle_timeout_now`."""

    def _handle_transfer_request(self, now_ms: float, target: MemberId) -> None:
        """Start a transfer to `target`, or to the most up-to-date voter if it is empty.

        The other voters grant the target their votes although they still hear from this leader.
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
        """Notify the target once it has every entry; with `resend`, also if it was notified before."""
        if self._transfer is None or self.role is not Role.LEADER:
            return
        progress = self._followers.get(self._transfer.target)
        if progress is None or not progress.match_index == self.last_log_index == self.commit_index:
            return
        if resend or not self._transfer.notified:
            self._transfer.notified = True
            self._send(self._transfer.target, TimeoutNow(self.group, self.current_term))

    def _abort_late_transfer(self, now_ms: float) -> None:
        """Abort a transfer that has not ended within `Timings.election_ms`."""
        if self._transfer is not None and now_ms >= self._transfer.deadline_ms:
            self._log_event("warning", "hand-over-failed", to=self._transfer.target)
            self._transfer = None

    def _most_up_to_date_voter(self, now_ms: float) -> MemberId:
        """The voter with the most entries among those that replied within `Timings.election_ms`; empty if none
        did."""
        responsive_voters = [
            (progress.match_index, member)
            for member, progress in self._followers.items()
            if member in self.config.voters and now_ms - progress.last_reply_ms < self._timings.election_ms
        ]
        return max(responsive_voters)[1] if responsive_voters else ""
