"""Sample records and stores for tests of a member's stable storage."""

from __future__ import annotations

from pathlib import Path

from badgeryoke.cluster.events import Entries, PersistRecords, Record
from badgeryoke.cluster.messages import EntryKind, LogEntry
from badgeryoke.gateway.cluster.storage import ClusterStorage, open_storage


def entry(index: int, term: int = 1, size: int = 40) -> LogEntry:
    """Return a log entry whose body repeats its index."""
    return LogEntry(index, term, EntryKind.COMMAND, bytes([index % 256]) * size)


def entries(first: int, last: int, term: int = 1, size: int = 40) -> Entries:
    """Return consecutive log entries from `first` to `last`, inclusive."""
    return Entries(tuple(entry(index, term, size) for index in range(first, last + 1)))


def open_existing(
    directory: Path, member: str = "a", cluster: str = "f", incarnation: str = "1"
) -> ClusterStorage:
    """Open a store; a newly created one gets the incarnation."""
    opened = open_storage(directory, cluster, member, new_incarnation=lambda: incarnation)
    assert isinstance(opened, ClusterStorage), opened
    return opened


def write_records(storage: ClusterStorage, group: str, *records: Record) -> None:
    """Write records of one group in one transaction."""
    storage.write([PersistRecords(group, 0, records)])


def reopened(storage: ClusterStorage, incarnation: str = "2") -> ClusterStorage:
    """Close a store and return it opened again."""
    storage.close()
    return open_existing(storage.directory, incarnation=incarnation)
