"""The stored format: file names, SQLite schema, and the checksums that detect any flipped bit.

Each record has a CRC-32.  The entries of a group are chained by index: the checksum of an entry continues that of the
previous entry.  The row of a group has the index and the checksum of its last entry.  The row of the store has the
combined checksum of all group rows, so that a missing row is detected as well.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass

import msgspec

from badgeryoke.cluster.messages import LogEntry

FORMAT_VERSION = 1
DATABASE_FILE = f"store-{FORMAT_VERSION}.db"
DATABASE_PATTERN = "store-*.db"  # matches every format version
WAL_FILE = f"{DATABASE_FILE}-wal"
WAL_INDEX_FILE = f"{DATABASE_FILE}-shm"
ACKNOWLEDGED_FILE = "told"
LOCK_FILE = "lock"
NEW_DATABASE_FILE = "new.db"  # a new store before it is complete

# `part` has a row for each group, `shot` its snapshot, and `entry` the entries of its log.
SCHEMA = """
CREATE TABLE store (one INTEGER PRIMARY KEY, fleet TEXT, member TEXT, incarnation TEXT, step INTEGER, whole INTEGER,
                    sum INTEGER);
CREATE TABLE part (grp TEXT PRIMARY KEY, term INTEGER, vote TEXT, base INTEGER, base_sum INTEGER, last INTEGER,
                   last_sum INTEGER, shot_sum INTEGER, sum INTEGER) WITHOUT ROWID;
CREATE TABLE shot (grp TEXT PRIMARY KEY, idx INTEGER, term INTEGER, config BLOB, body BLOB) WITHOUT ROWID;
CREATE TABLE entry (grp TEXT, idx INTEGER, term INTEGER, kind INTEGER, body BLOB, sum INTEGER,
                    PRIMARY KEY (grp, idx)) WITHOUT ROWID;
"""


class DamagedRecord(Exception):
    """Stored data does not match its checksums, or a new record does not fit the stored ones."""


def checksum(*fields: object, previous: int = 0) -> int:
    """CRC-32 of the fields, continued from `previous`."""
    return zlib.crc32(msgspec.msgpack.encode(fields), previous)


def entry_checksum(entry: LogEntry, previous: int) -> int:
    """CRC-32 of an entry, continued from that of the previous entry in the log."""
    return zlib.crc32(entry.body, checksum(entry.index, entry.term, entry.kind, previous=previous))


def snapshot_checksum(index: int, term: int, encoded_configuration: bytes, body: bytes) -> int:
    """CRC-32 of a snapshot."""
    return zlib.crc32(body, checksum(index, term, encoded_configuration))


@dataclass(slots=True)
class GroupRow:
    """The row of one Raft group; the fields are in the order of the columns."""

    term: int = 0
    vote: str = ""
    snapshot_index: int = 0  # 0 if there is no snapshot
    chain_start_checksum: int = 0  # the first entry after the snapshot continues from this checksum
    last_index: int = 0
    last_checksum: int = 0
    snapshot_checksum: int = 0
    row_checksum: int = 0

    def columns(self) -> tuple[int, str, int, int, int, int, int]:
        """All columns that `row_checksum` covers."""
        return (
            self.term,
            self.vote,
            self.snapshot_index,
            self.chain_start_checksum,
            self.last_index,
            self.last_checksum,
            self.snapshot_checksum,
        )

    def expected_checksum(self, group: str) -> int:
        """CRC-32 of the row's current values."""
        return checksum(group, *self.columns())


@dataclass(slots=True)
class StoreRow:
    """The row of the store: its owner, its last transaction, and the combined checksum of all group rows."""

    cluster: str
    member: str
    incarnation: str
    transaction_number: int = 0
    groups_checksum: int = 0  # exclusive or of the checksums of all group rows

    def columns(self) -> tuple[str, str, str, int, int, int]:
        """All columns; the last is the checksum of the others."""
        fields = (
            self.cluster,
            self.member,
            self.incarnation,
            self.transaction_number,
            self.groups_checksum,
        )
        return *fields, checksum(*fields)
