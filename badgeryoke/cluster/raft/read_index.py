"""Linearizable reads without log entries: read index (dissertation, 6.4).

A read waits for a heartbeat round that begins after it came in.  Once a majority has replied to that round,
this member was the leader when the read came in, and what was committed then has been applied.  Reads that
come while a round is out share the next one.
"""

from __future__ import annotations

from badgeryoke.cluster.raft.persistence import Persistence


class ReadIndex(Persistence):
    """The leader's reads."""

    def _handle_read(self, now_ms: float, token: str) -> None:
        error = self._rejection(len(self._round_reads) + len(self._waiting_reads))
        if error is not None:
            self._complete(token, error)
            return
        self._waiting_reads.append(token)
        if self.leading and not self._round_reads:
            self._send_heartbeat_round(now_ms)

    def _complete_reads(self, now_ms: float) -> None:
        """End the reads whose round a majority has confirmed, and start a round for those that wait."""
        if not self._round_reads and not self._waiting_reads:
            return
        confirmed_round = self._reached_by_quorum(
            self._heartbeat_round, lambda progress: progress.replied_round
        )
        while self._round_reads and self._round_reads[0].heartbeat_round <= confirmed_round:
            self._complete(self._round_reads.popleft().token, None)
        if self.leading and self._waiting_reads and not self._round_reads:
            self._send_heartbeat_round(now_ms)
