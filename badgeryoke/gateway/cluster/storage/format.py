"""The stored format: file names, SQLite schema, and the checksums that detect every change of one bit.

Each record has a CRC-32.  The entries of a group are chained by index: the checksum of an entry continues that of
the entry before.  Each group's row holds where its log ends and the checksum it ends on, and the store's own row
holds the combined checksum of all groups' rows, so that a missing row shows as well.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass

import msgspec

from badgeryoke.cluster.messages import LogEntry

FORMAT_VERSION = 1
DATABASE_FILE = f"store-{FORMAT_VERSION}.db"
DATABASE_PATTERN = "store-*.db"  # of every format version
WAL_FILE = f"{DATABASE_FILE}-wal"
WAL_INDEX_FILE = f"{DATABASE_FILE}-shm"
ACKNOWLEDGED_FILE = "told"
LOCK_FILE = "lock"
NEW_DATABASE_FILE = "new.db"  # a store that is not complete yet

# `part` has a row for each group, `shot` holds its snapshot and `entry` its log.
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
    """The storage does not read as it was written, or a record does not fit what is stored."""


def checksum(*fields: object, previous: int = 0) -> int:
    """CRC-32 of the fields, continued from `previous`."""
    return zlib.crc32(msgspec.msgpack.encode(fields), previous)


def entry_checksum(entry: LogEntry, previous: int) -> int:
    """CRC-32 of an entry, continued from that of the entry before it in the log."""
    return zlib.crc32(entry.body, checksum(entry.index, entry.term, entry.kind, previous=previous))


def snapshot_checksum(index: int, term: int, encoded_configuration: bytes, body: bytes) -> int:
    """CRC-32 of a snapshot."""
    return zlib.crc32(body, checksum(index, term, encoded_configuration))


@dataclass(slots=True)
class GroupRow:
    """The row of one Raft group, in the order of the table's columns."""

    term: int = 0
    vote: str = ""
    snapshot_index: int = 0  # 0 without a snapshot
    chain_start_checksum: int = 0  # on which the chain of entries behind the snapshot begins
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
        """CRC-32 of the row as it stands."""
        return checksum(group, *self.columns())


@dataclass(slots=True)
class StoreRow:
    """The store's own row: whose it is, and what all groups' rows come to."""

    cluster: str
    member: str
    incarnation: str
    transaction_number: int = 0
    groups_checksum: int = 0  # exclusive or of all groups' row checksums

    def columns(self) -> tuple[str, str, str, int, int, int]:
        """All columns, the checksum of the others last."""
        fields = (
            self.cluster,
            self.member,
            self.incarnation,
            self.transaction_number,
            self.groups_checksum,
        )
        return *fields, checksum(*fields)
