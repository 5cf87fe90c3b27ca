"""Reading a store back when it is opened, with all checksums verified."""

from __future__ import annotations

import sqlite3
from dataclasses import dataclass
from pathlib import Path

import msgspec

from badgeryoke.cluster.events import PersistedGroup, Snapshot
from badgeryoke.cluster.messages import GroupConfiguration, LogEntry
from badgeryoke.gateway.cluster.storage.acknowledged_counter import AcknowledgedCounter
from badgeryoke.gateway.cluster.storage.format import (
    DamagedRecord,
    GroupRow,
    StoreRow,
    entry_checksum,
    snapshot_checksum,
)
from badgeryoke.gateway.cluster.storage.wal_inspection import check_write_ahead_log


@dataclass(frozen=True, slots=True)
class StoredState:
    """The contents of a store."""

    row: StoreRow
    group_rows: dict[str, GroupRow]
    persisted_groups: dict[str, PersistedGroup]


@dataclass(slots=True)
class _GroupLog:
    """The entries of a group, and the checksum of the last one."""

    entries: list[LogEntry]
    chain_checksum: int


def read_stored_state(
    database: sqlite3.Connection, acknowledged: AcknowledgedCounter, directory: Path
) -> StoredState:
    """Read a whole store.

    Raises DamagedRecord, sqlite3.Error, msgspec.DecodeError, UnicodeDecodeError or TypeError if it is damaged, and
    OSError if it cannot be read.
    """
    database.execute("BEGIN")
    _check_pages(database)
    row = _read_store_row(database)
    group_rows = _read_group_rows(database, row)
    snapshots = _read_snapshots(database, group_rows)
    logs = _read_logs(database, group_rows)
    persisted_groups = {
        group: _persisted_group(group, group_row, snapshots.get(group), logs.get(group))
        for group, group_row in group_rows.items()
    }
    if (acknowledged_number := acknowledged.read()) > row.transaction_number:
        raise DamagedRecord(
            f"{acknowledged_number} transactions were acknowledged, only {row.transaction_number} are stored"
        )
    check_write_ahead_log(directory)
    database.execute("COMMIT")
    return StoredState(row, group_rows, persisted_groups)


def _check_pages(database: sqlite3.Connection) -> None:
    verdict = database.execute("PRAGMA integrity_check(1)").fetchone()[0]
    if verdict != "ok":
        raise DamagedRecord(verdict.splitlines()[0])


def _read_store_row(database: sqlite3.Connection) -> StoreRow:
    rows = database.execute("SELECT fleet, member, incarnation, step, whole, sum FROM store").fetchall()
    if len(rows) == 1:
        row = StoreRow(*rows[0][:-1])
        if row.columns() == rows[0]:
            return row
    raise DamagedRecord("the store's own row is corrupt")


def _read_group_rows(database: sqlite3.Connection, store_row: StoreRow) -> dict[str, GroupRow]:
    group_rows: dict[str, GroupRow] = {}
    groups_checksum = 0
    for group, *columns in database.execute("SELECT * FROM part ORDER BY grp"):
        row = group_rows[group] = GroupRow(*columns)
        if row.expected_checksum(group) != row.row_checksum:
            raise DamagedRecord(f"group {group!r}: its row is corrupt")
        groups_checksum ^= row.row_checksum
    if groups_checksum != store_row.groups_checksum:
        raise DamagedRecord("a group's row is missing")
    return group_rows


def _read_snapshots(database: sqlite3.Connection, group_rows: dict[str, GroupRow]) -> dict[str, Snapshot]:
    snapshots: dict[str, Snapshot] = {}
    for group, index, term, configuration, body in database.execute("SELECT * FROM shot ORDER BY grp"):
        row = group_rows.get(group)
        if (
            row is None
            or row.snapshot_checksum != snapshot_checksum(index, term, configuration, body)
            or row.snapshot_index != index
        ):
            raise DamagedRecord(f"group {group!r}: its snapshot is corrupt")
        decoded = msgspec.msgpack.decode(configuration, type=GroupConfiguration)
        snapshots[group] = Snapshot(index, term, decoded, body)
    return snapshots


def _read_logs(database: sqlite3.Connection, group_rows: dict[str, GroupRow]) -> dict[str, _GroupLog]:
    logs: dict[str, _GroupLog] = {}
    for group, index, term, kind, body, stored_checksum in database.execute(
        "SELECT * FROM entry ORDER BY grp, idx"
    ):
        row = group_rows.get(group)
        if row is None:
            raise DamagedRecord(f"group {group!r}: it has entries but no row")
        log = logs.get(group)
        if log is None:
            log = logs[group] = _GroupLog([], row.chain_start_checksum)
        entry = LogEntry(index, term, kind, body)
        log.chain_checksum = entry_checksum(entry, log.chain_checksum)
        expected_index = row.snapshot_index + len(log.entries) + 1
        if log.chain_checksum != stored_checksum or index != expected_index:
            raise DamagedRecord(f"group {group!r}: entry {index} is corrupt")
        log.entries.append(entry)
    return logs


def _persisted_group(
    group: str, row: GroupRow, snapshot: Snapshot | None, log: _GroupLog | None
) -> PersistedGroup:
    if log is None:
        log = _GroupLog([], row.chain_start_checksum)
    last_index = row.snapshot_index + len(log.entries)
    if (last_index, log.chain_checksum) != (row.last_index, row.last_checksum):
        raise DamagedRecord(f"group {group!r}: its log ends at entry {last_index}, not at {row.last_index}")
    if row.snapshot_index > 0 and snapshot is None:
        raise DamagedRecord(f"group {group!r}: its snapshot is missing")
    return PersistedGroup(row.term, row.vote, snapshot, tuple(log.entries))
