"""Opening a member's store: locks its directory, creates a missing store, and sets a damaged one aside."""

from __future__ import annotations

import contextlib
import fcntl
import os
import secrets
import sqlite3
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from badgeryoke.cluster.errors import ClusterError, ClusterMismatch, StorageDamaged, StorageFailed
from badgeryoke.gateway.cluster.storage.acknowledged_counter import AcknowledgedCounter
from badgeryoke.gateway.cluster.storage.format import (
    ACKNOWLEDGED_FILE,
    DATABASE_FILE,
    DATABASE_PATTERN,
    LOCK_FILE,
    NEW_DATABASE_FILE,
    SCHEMA,
    WAL_FILE,
    WAL_INDEX_FILE,
    DamagedRecord,
    StoreRow,
)
from badgeryoke.gateway.cluster.storage.store import ClusterStorage
from badgeryoke.gateway.cluster.storage.verification import read_stored_state

MAX_DAMAGED_STORES = 4  # damaged stores that are kept; beyond this number the oldest is removed
OPEN_ATTEMPTS = 2  # the second opens the new store that replaces a damaged one
SQLITE_CACHE_KIB = 1024
INCARNATION_BYTES = 4
_DIRECTORY_MODE, _LOCK_MODE = 0o700, 0o600
_PRIMARY_ERROR_MASK = 0xFF  # selects the primary code of an extended SQLite error code
_DISK_ERRORS = (
    sqlite3.SQLITE_FULL,
    sqlite3.SQLITE_IOERR,
    sqlite3.SQLITE_CANTOPEN,
    sqlite3.SQLITE_BUSY,
)


@dataclass(frozen=True, slots=True)
class StorageLocked:
    """Another process holds the lock on the directory; retrying may succeed."""

    error: StorageFailed


def _new_incarnation() -> str:
    return secrets.token_hex(INCARNATION_BYTES)


def open_storage(
    directory: Path,
    cluster: str,
    member: str,
    fsync: bool = True,
    new_incarnation: Callable[[], str] = _new_incarnation,
) -> ClusterStorage | StorageLocked | ClusterError:
    """Open the member's store.  A missing store is created; a damaged one is set aside and replaced by a new one
    (`ClusterStorage.faults` lists the damage).

    Returns StorageFailed if the directory cannot be used, StorageLocked if another process holds it, and
    ClusterMismatch if it belongs to another member or cluster.
    """
    try:
        directory.mkdir(_DIRECTORY_MODE, parents=True, exist_ok=True)
        lock_descriptor = os.open(directory / LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, _LOCK_MODE)
    except OSError as fault:
        return StorageFailed(member, f"{directory}: {fault.strerror}")
    opened: ClusterStorage | StorageLocked | ClusterError | None = None
    try:
        opened = _open_locked(_Opening(directory, cluster, member, fsync, new_incarnation, lock_descriptor))
    finally:
        if not isinstance(opened, ClusterStorage):
            os.close(lock_descriptor)
    return opened


def _open_locked(opening: _Opening) -> ClusterStorage | StorageLocked | ClusterError:
    """Lock the directory, and open the store in it."""
    directory, member = opening.directory, opening.member
    try:
        fcntl.flock(opening.lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        return StorageLocked(StorageFailed(member, f"{directory}: another process holds its lock"))
    try:
        for _ in range(OPEN_ATTEMPTS):
            opened = opening.attempt()
            if opened is not None:
                return opened
    except (OSError, sqlite3.Error) as fault:
        return StorageFailed(member, f"{directory}: {fault}")
    return StorageFailed(member, f"{directory}: a new store is corrupt")


@dataclass(frozen=True, slots=True)
class _Opening:
    """One call of `open_storage`, while the directory is locked."""

    directory: Path
    cluster: str
    member: str
    fsync: bool
    new_incarnation: Callable[[], str]
    lock_descriptor: int
    faults: list[ClusterError] = field(default_factory=list)

    def attempt(self) -> ClusterStorage | ClusterError | None:
        """Open the store; None if it was damaged and has been set aside.  Raises OSError or sqlite3.Error."""
        if other := self._store_of_another_format():
            return StorageFailed(
                self.member, f"{self.directory}: contains {other}, this version supports {DATABASE_FILE}"
            )
        if not (self.directory / DATABASE_FILE).exists():
            self._note_missing_store()
            _create_store(self.directory, StoreRow(self.cluster, self.member, self.new_incarnation()))
        with contextlib.ExitStack() as resources:
            storage = self._read_or_set_aside(resources)
            if storage is None:
                return None
            if (storage.cluster, storage.member) != (self.cluster, self.member):
                return ClusterMismatch(
                    self.member,
                    f"{self.directory} belongs to member {storage.member!r} of fleet {storage.cluster!r}",
                )
            resources.pop_all()  # owned by the storage from now on
            return storage

    def _read_or_set_aside(self, resources: contextlib.ExitStack) -> ClusterStorage | None:
        acknowledged = resources.enter_context(AcknowledgedCounter.open(self.directory))
        try:
            return self._read(acknowledged, resources)
        except (
            DamagedRecord,
            sqlite3.DatabaseError,
            msgspec.DecodeError,
            UnicodeDecodeError,
            TypeError,  # a column has another type than was written
        ) as fault:
            if isinstance(fault, sqlite3.OperationalError) and _is_disk_error(fault):
                raise
            # Done before the database is closed, since closing would checkpoint and remove the write-ahead log.
            set_aside = _set_damaged_store_aside(self.directory)
            self.faults.append(StorageDamaged(self.member, f"{fault}; kept in {set_aside}"))
            return None

    def _read(self, acknowledged: AcknowledgedCounter, resources: contextlib.ExitStack) -> ClusterStorage:
        database = _connect(self.directory / DATABASE_FILE, self.fsync, resources)
        state = read_stored_state(database, acknowledged, self.directory)
        return ClusterStorage(
            self.directory,
            state.persisted_groups,
            self.faults,
            state.row,
            state.group_rows,
            database,
            acknowledged,
            self.lock_descriptor,
        )

    def _store_of_another_format(self) -> str | None:
        names = (path.name for path in self.directory.glob(DATABASE_PATTERN))
        return min((name for name in names if name != DATABASE_FILE), default=None)

    def _note_missing_store(self) -> None:
        """Report a missing database whose counter file shows that it had acknowledged transactions."""
        path = self.directory / DATABASE_FILE
        with (
            contextlib.suppress(FileNotFoundError, DamagedRecord),
            AcknowledgedCounter.open_existing(self.directory) as counter,
        ):
            if (acknowledged := counter.read()) > 0:
                self.faults.append(
                    StorageDamaged(
                        self.member,
                        f"{path} is missing, but {acknowledged} transactions were acknowledged in it",
                    )
                )


def _connect(path: Path, fsync: bool, resources: contextlib.ExitStack) -> sqlite3.Connection:
    database = sqlite3.connect(path, isolation_level=None, check_same_thread=False)
    resources.callback(_close_quietly, database)
    database.execute(f"PRAGMA cache_size = -{SQLITE_CACHE_KIB}")
    database.execute("PRAGMA journal_mode = WAL")
    database.execute(f"PRAGMA synchronous = {'FULL' if fsync else 'OFF'}")
    return database


def _close_quietly(database: sqlite3.Connection) -> None:
    with contextlib.suppress(sqlite3.Error):  # closing a damaged database may fail as well
        database.close()


def _is_disk_error(fault: sqlite3.OperationalError) -> bool:
    """Whether the disk has failed, rather than the data on it being damaged."""
    return getattr(fault, "sqlite_errorcode", 0) & _PRIMARY_ERROR_MASK in _DISK_ERRORS


def _create_store(directory: Path, row: StoreRow) -> None:
    """Create a store under a temporary name, and rename it once it is complete.  Raises OSError or
    sqlite3.Error."""
    new_database = directory / NEW_DATABASE_FILE
    leftovers = (
        NEW_DATABASE_FILE,
        f"{NEW_DATABASE_FILE}-wal",
        f"{NEW_DATABASE_FILE}-shm",
        WAL_FILE,
        WAL_INDEX_FILE,
    )
    for name in leftovers:
        (directory / name).unlink(missing_ok=True)
    with contextlib.closing(sqlite3.connect(new_database, isolation_level=None)) as database:
        database.execute("PRAGMA synchronous = FULL")
        database.executescript(SCHEMA)
        database.execute("INSERT INTO store VALUES (1, ?, ?, ?, ?, ?, ?)", row.columns())
    AcknowledgedCounter.create(directory)
    new_database.rename(directory / DATABASE_FILE)
    _sync_directory(directory)


def _set_damaged_store_aside(directory: Path) -> Path:
    """Move the files of a damaged store into a directory of their own; returns its path.  Raises OSError."""
    damaged_stores = sorted(directory.glob("damaged-*"))
    for oldest in damaged_stores[: max(len(damaged_stores) - MAX_DAMAGED_STORES + 1, 0)]:
        for file in oldest.iterdir():
            file.unlink()
        oldest.rmdir()
    set_aside = directory / f"damaged-{time.time_ns()}"
    set_aside.mkdir()
    for name in (DATABASE_FILE, WAL_FILE, ACKNOWLEDGED_FILE):
        with contextlib.suppress(FileNotFoundError):
            (directory / name).rename(set_aside / name)
    (directory / WAL_INDEX_FILE).unlink(missing_ok=True)
    _sync_directory(directory)
    return set_aside


def _sync_directory(directory: Path) -> None:
    """Make renames in a directory durable."""
    descriptor = os.open(directory, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
