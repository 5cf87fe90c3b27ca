"""Linearizable reads without log entries: read index (dissertation, 6.4).

A read waits for a heartbeat round that starts after the read arrived.  A majority of replies to that round proves
that this member was the leader when the read arrived, and every entry committed by then has been applied.  Reads that
arrive while a round is in progress share the next round.
"""

from __future__ import annotations

from badgeryoke.cluster.raft.persistence import Persistence


class ReadIndex(Persistence):
    """Linearizable reads at the leader."""

    def _handle_read(self, now_ms: float, token: str) -> None:
        error = self._rejection(len(self._round_reads) + len(self._waiting_reads))
        if error is not None:
            self._complete(token, error)
            return
        self._waiting_reads.append(token)
        if self.leading and not self._round_reads:
            self._send_heartbeat_round(now_ms)

    def _complete_reads(self, now_ms: float) -> None:
        """Complete the reads whose round a majority has confirmed, and start a round for the waiting ones."""
        if not self._round_reads and not self._waiting_reads:
            return
        confirmed_round = self._reached_by_quorum(
            self._heartbeat_round, lambda progress: progress.replied_round
        )
        while self._round_reads and self._round_reads[0].heartbeat_round <= confirmed_round:
            self._complete(self._round_reads.popleft().token, None)
        if self.leading and self._waiting_reads and not self._round_reads:
            self._send_heartbeat_round(now_ms)
