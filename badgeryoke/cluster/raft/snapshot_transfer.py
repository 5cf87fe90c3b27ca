"""Snapshots: log compaction, and sending and receiving InstallSnapshot chunks (paper, 7; dissertation, 5)."""

from __future__ import annotations

from badgeryoke.cluster.events import Snapshot
from badgeryoke.cluster.messages import InstallSnapshotChunk, InstallSnapshotChunkReply, MemberId
from badgeryoke.cluster.raft.log import RaftLog
from badgeryoke.cluster.raft.persistence import Persistence
from badgeryoke.cluster.raft.state_types import FollowerProgress, IncomingSnapshot, SnapshotSource

MAX_SNAPSHOT_BYTES = 64 * 1024 * 1024  # a follower rejects a larger snapshot


class SnapshotTransfer(Persistence):
    """Takes snapshots, sends them to members that are too far behind, and installs those of the leader."""

    def _compact_log(self) -> None:
        """Take a snapshot of the applied entries and compact the log.

        The last `snapshot_entries` entries stay in memory, so that a member that lags slightly needs no snapshot.
        """
        config = self._log.config_at(self.last_applied)
        assert config is not None  # an applied entry implies a known configuration
        term = self._log.term_at(self.last_applied)
        self._latest_snapshot = Snapshot(self.last_applied, term, config, self._state_machine.dump())
        self._records.append(self._latest_snapshot)
        compacted_index = self.last_applied - self._timings.snapshot_entries
        if compacted_index > self._log.base_index:
            self._log.compact_up_to(compacted_index)

    # The leader's side

    def _send_snapshot_chunk(self, member: MemberId, progress: FollowerProgress) -> None:
        """Send the next chunk; at most one chunk per member is in flight."""
        if progress.awaiting_reply:
            return
        if progress.snapshot is None:
            progress.snapshot, progress.received_bytes = self._latest_snapshot, 0
        snapshot, offset = progress.snapshot, progress.received_bytes
        assert snapshot is not None  # a leader has a configuration, and therefore a snapshot
        progress.awaiting_reply = True
        chunk = InstallSnapshotChunk(
            self.group,
            self.current_term,
            snapshot.last_included_index,
            snapshot.last_included_term,
            snapshot.config,
            offset,
            len(snapshot.body),
            snapshot.body[offset : offset + self._timings.piece_bytes],
            self._heartbeat_round,
        )
        self._send(member, chunk)

    def _handle_install_snapshot_reply(
        self, now_ms: float, sender: MemberId, reply: InstallSnapshotChunkReply
    ) -> None:
        progress = self._note_reply(now_ms, sender, reply.term, reply.heartbeat_round)
        if progress is None:
            return
        if self._is_chunk_progress(progress, reply):
            progress.received_bytes, progress.awaiting_reply = reply.received_bytes, False
            self._send_snapshot_chunk(sender, progress)
        self._complete_reads(now_ms)

    @staticmethod
    def _is_chunk_progress(progress: FollowerProgress, reply: InstallSnapshotChunkReply) -> bool:
        """Whether a reply requests a chunk other than the one sent last.

        A reply with the same offset is a duplicate.  Sending a chunk for each duplicate would double every later
        chunk as well.
        """
        snapshot = progress.snapshot
        if snapshot is None or snapshot.last_included_index != reply.last_included_index:
            return False
        is_new = reply.received_bytes != progress.received_bytes
        return is_new and 0 <= reply.received_bytes < len(snapshot.body)

    # The follower's side

    def _handle_install_snapshot(self, now_ms: float, leader: MemberId, chunk: InstallSnapshotChunk) -> None:
        if not self._accept_leader(now_ms, leader, chunk.term, chunk.heartbeat_round):
            return
        if self._log.config is not None and chunk.last_included_index <= self.commit_index:
            self._acknowledge(leader, chunk.last_included_index, chunk.heartbeat_round)
            return
        end_bytes = chunk.offset_bytes + len(chunk.data)
        if chunk.total_bytes > MAX_SNAPSHOT_BYTES or end_bytes > chunk.total_bytes:
            self._log_event("error", "snapshot-too-long", size=chunk.total_bytes)
            return
        data = self._store_chunk(leader, chunk)
        if len(data) < chunk.total_bytes:
            reply = InstallSnapshotChunkReply(
                self.group, self.current_term, chunk.last_included_index, len(data), chunk.heartbeat_round
            )
            self._send(leader, reply)
            return
        self._incoming_snapshot = None
        snapshot = Snapshot(chunk.last_included_index, chunk.last_included_term, chunk.config, bytes(data))
        self._install_snapshot(now_ms, snapshot)
        self._acknowledge(leader, chunk.last_included_index, chunk.heartbeat_round)

    def _store_chunk(self, leader: MemberId, chunk: InstallSnapshotChunk) -> bytearray:
        """Append a chunk if it follows on from the received data; returns all data received of its snapshot."""
        source = SnapshotSource(
            leader, chunk.last_included_index, chunk.last_included_term, chunk.total_bytes
        )
        if self._incoming_snapshot is None or self._incoming_snapshot.source != source:
            self._incoming_snapshot = IncomingSnapshot(source)
        data = self._incoming_snapshot.data
        if chunk.offset_bytes == len(data):
            data += chunk.data
        return data

    def _install_snapshot(self, now_ms: float, snapshot: Snapshot) -> None:
        """Replace the log up to the snapshot's last entry.

        Later entries are kept only if the log contains that last entry with the same term.
        """
        log, index = self._log, snapshot.last_included_index
        continues = log.config is not None and log.last_index > index
        if continues and log.term_at(index) == snapshot.last_included_term:
            log.compact_up_to(index)
        else:
            self._invalidate_persisted(self.commit_index)
            self._withheld_messages.clear()  # dropped, as if lost; the next reply acknowledges a higher index
            self._log = RaftLog(index, snapshot.last_included_term, snapshot.config)
        self._state_machine.restore(now_ms, snapshot.body)
        self._latest_snapshot = snapshot
        self._records.append(snapshot)
        self.commit_index = self.last_applied = index
        self._note_membership()
        self._log_event("info", "snapshot-taken", index=index, bytes=len(snapshot.body))
