"""An open store, which writes the records of many Raft groups in one transaction with one fsync."""

from __future__ import annotations

import contextlib
import os
import sqlite3
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import msgspec

from badgeryoke.cluster.errors import ClusterError
from badgeryoke.cluster.events import (
    DiscardGroup,
    Entries,
    HardState,
    PersistedGroup,
    PersistRecords,
    Record,
    Snapshot,
)
from badgeryoke.cluster.messages import LogEntry
from badgeryoke.gateway.cluster.storage.acknowledged_counter import AcknowledgedCounter
from badgeryoke.gateway.cluster.storage.format import (
    DamagedRecord,
    GroupRow,
    StoreRow,
    checksum,
    entry_checksum,
    snapshot_checksum,
)

_CLOSED = -1  # value of `_lock_descriptor` after `close`


@dataclass(slots=True)
class ClusterStorage:
    """An open store, made by `open_storage`; `write` and `close` block on the disk."""

    directory: Path
    persisted_groups: dict[str, PersistedGroup]  # as read when the store was opened
    faults: list[ClusterError]  # found when the store was opened, to be reported to operators
    _row: StoreRow
    _group_rows: dict[str, GroupRow]
    _database: sqlite3.Connection
    _acknowledged: AcknowledgedCounter
    _lock_descriptor: int

    @property
    def group_count(self) -> int:
        """The number of Raft groups in the store."""
        return len(self._group_rows)

    @property
    def cluster(self) -> str:
        """The cluster's name."""
        return self._row.cluster

    @property
    def member(self) -> str:
        """The member's name, without its incarnation."""
        return self._row.member

    @property
    def incarnation(self) -> str:
        """The member's incarnation; each new store has a new one."""
        return self._row.incarnation

    def write(self, requests: Sequence[PersistRecords]) -> None:
        """Write all records in one transaction, which is on stable storage when this returns.

        Raises sqlite3.Error, OSError or DamagedRecord; the store must not be written to after an error.
        """
        touched_groups = dict[str, None]()  # in the order of their first record
        self._database.execute("BEGIN IMMEDIATE")
        for request in requests:
            for record in request.records:
                self._write_record(request.group, record)
            touched_groups[request.group] = None
        for group in touched_groups:
            self._write_group_row(group)
        self._row.transaction_number += 1
        self._database.execute("REPLACE INTO store VALUES (1, ?, ?, ?, ?, ?, ?)", self._row.columns())
        self._database.execute("COMMIT")
        self._acknowledged.write(self._row.transaction_number)

    def _write_group_row(self, group: str) -> None:
        row = self._group_rows.get(group)
        if row is None:
            self._database.execute("DELETE FROM part WHERE grp = ?", (group,))
            return
        self._row.groups_checksum ^= row.row_checksum
        row.row_checksum = row.expected_checksum(group)
        self._row.groups_checksum ^= row.row_checksum
        self._database.execute(
            "REPLACE INTO part VALUES (?, ?, ?, ?, ?, ?, ?, ?, ?)", (group, *row.columns(), row.row_checksum)
        )

    def _write_record(self, group: str, record: Record) -> None:
        match record:
            case DiscardGroup():
                self._discard_group(group)
            case HardState(term, vote):
                row = self._group_rows.setdefault(group, GroupRow())
                row.term, row.vote = term, vote
            case Snapshot():
                self._write_snapshot(group, self._group_rows.setdefault(group, GroupRow()), record)
            case Entries(entries):
                row = self._group_rows.setdefault(group, GroupRow())
                if entries:
                    self._append_entries(group, row, entries)

    def _discard_group(self, group: str) -> None:
        discarded = self._group_rows.pop(group, None)
        if discarded is not None:
            self._row.groups_checksum ^= discarded.row_checksum
        self._database.execute("DELETE FROM entry WHERE grp = ?", (group,))
        self._database.execute("DELETE FROM shot WHERE grp = ?", (group,))

    def _write_snapshot(self, group: str, row: GroupRow, snapshot: Snapshot) -> None:
        self._truncate_log_before(group, row, snapshot)
        row.snapshot_index = snapshot.last_included_index
        configuration = msgspec.msgpack.encode(snapshot.config)
        row.snapshot_checksum = snapshot_checksum(
            snapshot.last_included_index, snapshot.last_included_term, configuration, snapshot.body
        )
        self._database.execute(
            "REPLACE INTO shot VALUES (?, ?, ?, ?, ?)",
            (group, snapshot.last_included_index, snapshot.last_included_term, configuration, snapshot.body),
        )

    def _truncate_log_before(self, group: str, row: GroupRow, snapshot: Snapshot) -> None:
        """Delete the entries up to a snapshot, and later ones too unless the log contains the snapshot's last entry."""
        key = group, snapshot.last_included_index
        entry = self._database.execute(
            "SELECT term, sum FROM entry WHERE grp = ? AND idx = ?", key
        ).fetchone()
        if snapshot.last_included_index < row.snapshot_index:
            raise DamagedRecord(
                f"group {group}: a snapshot up to entry {snapshot.last_included_index} "
                f"is older than the stored one up to {row.snapshot_index}"
            )
        if entry is not None and entry[0] == snapshot.last_included_term:
            self._database.execute("DELETE FROM entry WHERE grp = ? AND idx <= ?", key)
            row.chain_start_checksum = entry[1]
        elif not self._has_equal_snapshot(group, snapshot):
            self._database.execute("DELETE FROM entry WHERE grp = ?", (group,))
            row.last_index = snapshot.last_included_index
            row.last_checksum = checksum(snapshot.last_included_index, snapshot.last_included_term)
            row.chain_start_checksum = row.last_checksum

    def _has_equal_snapshot(self, group: str, snapshot: Snapshot) -> bool:
        """Whether the stored snapshot ends with the same entry as `snapshot`."""
        query = "SELECT term FROM shot WHERE grp = ? AND idx = ?"
        found: object = self._database.execute(query, (group, snapshot.last_included_index)).fetchone()
        return found == (snapshot.last_included_term,)

    def _append_entries(self, group: str, row: GroupRow, entries: tuple[LogEntry, ...]) -> None:
        first_index = entries[0].index
        if not row.snapshot_index < first_index <= row.last_index + 1:
            raise DamagedRecord(
                f"group {group}: entry {first_index} does not continue a log"
                f" from {row.snapshot_index} to {row.last_index}"
            )
        chain_checksum = self._checksum_before(group, row, first_index)
        if first_index <= row.last_index:
            self._database.execute("DELETE FROM entry WHERE grp = ? AND idx >= ?", (group, first_index))
        rows = []
        for index, entry in enumerate(entries, first_index):
            if entry.index != index:
                raise DamagedRecord(f"group {group}: entry {entry.index} instead of {index}")
            chain_checksum = entry_checksum(entry, chain_checksum)
            rows.append((group, index, entry.term, entry.kind, entry.body, chain_checksum))
        self._database.executemany("INSERT INTO entry VALUES (?, ?, ?, ?, ?, ?)", rows)
        row.last_index, row.last_checksum = entries[-1].index, chain_checksum

    def _checksum_before(self, group: str, row: GroupRow, index: int) -> int:
        """The checksum of the entry before `index`, from which the chain continues."""
        if index == row.last_index + 1:
            return row.last_checksum
        if index == row.snapshot_index + 1:
            return row.chain_start_checksum
        found = self._database.execute(
            "SELECT sum FROM entry WHERE grp = ? AND idx = ?", (group, index - 1)
        ).fetchone()
        return int(found[0])

    def close(self) -> None:
        """Close the database and release the directory's lock; further calls do nothing."""
        if self._lock_descriptor == _CLOSED:
            return
        with contextlib.suppress(sqlite3.Error):  # what was acknowledged is on disk already
            self._database.close()
        self._acknowledged.close()
        os.close(self._lock_descriptor)
        self._lock_descriptor = _CLOSED
