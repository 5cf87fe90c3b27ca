"""What a member keeps on stable storage, in SQLite's write-ahead log: one transaction and one fsync for
whatever many groups ask for at once.

What was acknowledged is either given back as it was written, or the member is told that its store is damaged
and begins anew under a new incarnation.  Nothing is repaired by guessing:

- each record has a CRC-32, entries chained by index within their group; each group's row says where its log ends and on
  what checksum, one row for all says what the groups' rows come to;
- SQLite cuts its log at the first frame that does not read, which is right for a torn tail alone.  A tear is of one
  transaction, since each is synced before the next begins: more than one commit behind the cut is damage.  And a small
  file beside it, `told`, holds the number of the last transaction that was acknowledged.  It is not synced, so it is
  exact after a process's death and may be older after the machine's;
- what cannot be told from within: a whole folder put back from a copy.  Never restore one.
"""

from __future__ import annotations

import contextlib
import fcntl
import logging
import os
import queue
import secrets
import sqlite3
import struct
import threading
import time
import zlib
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from badgeryoke.cluster.errors import ClusterError, ClusterMismatch, StorageDamaged, StorageFailed
from badgeryoke.cluster.events import (
    DiscardGroup,
    Entries,
    HardState,
    PersistedGroup,
    PersistRecords,
    Record,
    RecordsPersisted,
    Snapshot,
)
from badgeryoke.cluster.messages import GroupConfiguration, LogEntry

log = logging.getLogger(__name__)

FORMAT = 1
NAME, TOLD, LOCK, NEW = f"store-{FORMAT}.db", "told", "lock", "new.db"
MOST_KEPT = 4  # damaged stores; beyond it the oldest goes
MOST_WAITING = (
    64 * 1024 * 1024
)  # bytes asked for and not yet written; at the bound the store counts as failed
CACHE_KB = 1024
HELD = "another process holds it"
_TOLD = struct.Struct(">QI")
_WAL_HEAD, _FRAME_HEAD = struct.Struct(">8I"), struct.Struct(">6I")
_MAGIC = 0x377F0682
_SCHEMA = """
CREATE TABLE store (one INTEGER PRIMARY KEY, fleet TEXT, member TEXT, incarnation TEXT, step INTEGER, whole INTEGER,
                    sum INTEGER);
CREATE TABLE part (grp TEXT PRIMARY KEY, term INTEGER, vote TEXT, base INTEGER, base_sum INTEGER, last INTEGER,
                   last_sum INTEGER, shot_sum INTEGER, sum INTEGER) WITHOUT ROWID;
CREATE TABLE shot (grp TEXT PRIMARY KEY, idx INTEGER, term INTEGER, config BLOB, body BLOB) WITHOUT ROWID;
CREATE TABLE entry (grp TEXT, idx INTEGER, term INTEGER, kind INTEGER, body BLOB, sum INTEGER,
                    PRIMARY KEY (grp, idx)) WITHOUT ROWID;
"""


class DamagedRecord(Exception):
    """The store does not read as it was written."""


def _sum(*fields: object, before: int = 0) -> int:
    return zlib.crc32(msgspec.msgpack.encode(fields), before)


def _entry_sum(entry: LogEntry, before: int) -> int:
    return zlib.crc32(entry.body, _sum(entry.index, entry.term, entry.kind, before=before))


@dataclass(slots=True)
class _Group:
    """What the row of a group says."""

    term: int = 0
    vote: str = ""
    base: int = 0  # of the snapshot, 0 without one
    base_sum: int = 0  # on which the chain of entries begins
    last: int = 0
    last_sum: int = 0
    shot_sum: int = 0
    sum: int = 0

    def row(self) -> tuple[object, ...]:
        return self.term, self.vote, self.base, self.base_sum, self.last, self.last_sum, self.shot_sum


@dataclass(slots=True)
class ClusterStorage:
    """An open store; every call waits for the disk.  Made by `open_store`."""

    folder: Path
    fleet: str
    member: str
    incarnation: str
    saved: dict[str, PersistedGroup]
    faults: list[ClusterError]  # found at the opening, for the operators
    _db: sqlite3.Connection
    _lock: int
    _told: int
    _step: int = 0
    _whole: int = 0
    _groups: dict[str, _Group] = field(default_factory=dict)

    def write(self, stores: Sequence[PersistRecords]) -> None:
        """All of it in one transaction, on stable storage when this comes back.  Raises sqlite3.Error,
        OSError or Damage; nothing may be written behind that."""
        db, touched = self._db, dict[str, None]()
        db.execute("BEGIN IMMEDIATE")
        for one in stores:
            for record in one.records:
                self._take(one.group, record)
            touched[one.group] = None
        for name in touched:
            group = self._groups.get(name)
            if group is None:
                db.execute("DELETE FROM part WHERE grp = ?", (name,))
                continue
            self._whole ^= group.sum
            group.sum = _sum(name, *group.row())
            self._whole ^= group.sum
            db.execute(
                "REPLACE INTO part VALUES (?, ?, ?, ?, ?, ?, ?, ?, ?)", (name, *group.row(), group.sum)
            )
        self._step += 1
        db.execute("REPLACE INTO store VALUES (1, ?, ?, ?, ?, ?, ?)", self._row())
        db.execute("COMMIT")
        os.pwrite(self._told, _told(self._step), 0)

    def _row(self) -> tuple[object, ...]:
        row = self.fleet, self.member, self.incarnation, self._step, self._whole
        return *row, _sum(*row)

    def _take(self, name: str, record: Record) -> None:
        db = self._db
        if isinstance(record, DiscardGroup):
            gone = self._groups.pop(name, None)
            self._whole ^= gone.sum if gone is not None else 0
            for table in ("entry", "shot"):
                db.execute(f"DELETE FROM {table} WHERE grp = ?", (name,))
            return
        group = self._groups.setdefault(name, _Group())
        if isinstance(record, HardState):
            group.term, group.vote = record.current_term, record.voted_for
        elif isinstance(record, Snapshot):
            # The log behind a snapshot stays only where it holds the entry that the snapshot ends with.
            at = name, record.last_included_index
            found = db.execute("SELECT term, sum FROM entry WHERE grp = ? AND idx = ?", at).fetchone()
            if record.last_included_index < group.base:
                raise DamagedRecord(
                    f"group {name}: a snapshot to {record.last_included_index} behind one to {group.base}"
                )
            if found is not None and found[0] == record.last_included_term:
                db.execute("DELETE FROM entry WHERE grp = ? AND idx <= ?", at)
                group.base_sum = found[1]
            elif db.execute("SELECT term FROM shot WHERE grp = ? AND idx = ?", at).fetchone() != (
                record.last_included_term,
            ):
                db.execute("DELETE FROM entry WHERE grp = ?", (name,))
                group.last, group.last_sum = (
                    record.last_included_index,
                    _sum(record.last_included_index, record.last_included_term),
                )
                group.base_sum = group.last_sum
            group.base = record.last_included_index
            config = msgspec.msgpack.encode(record.config)
            group.shot_sum = _shot_sum(
                record.last_included_index, record.last_included_term, config, record.body
            )
            db.execute(
                "REPLACE INTO shot VALUES (?, ?, ?, ?, ?)",
                (name, record.last_included_index, record.last_included_term, config, record.body),
            )
        elif record.entries:
            self._append(name, group, record.entries)

    def _append(self, name: str, group: _Group, entries: tuple[LogEntry, ...]) -> None:
        first = entries[0].index
        if not group.base < first <= group.last + 1:
            raise DamagedRecord(
                f"group {name}: entry {first} does not join a log from {group.base} to {group.last}"
            )
        if first == group.last + 1:
            chain = group.last_sum
        else:
            chain = (
                group.base_sum
                if first == group.base + 1
                else self._db.execute(
                    "SELECT sum FROM entry WHERE grp = ? AND idx = ?", (name, first - 1)
                ).fetchone()[0]
            )
            self._db.execute("DELETE FROM entry WHERE grp = ? AND idx >= ?", (name, first))
        rows = []
        for at, entry in enumerate(entries, first):
            if entry.index != at:
                raise DamagedRecord(f"group {name}: entry {entry.index} where {at} follows")
            chain = _entry_sum(entry, chain)
            rows.append((name, at, entry.term, entry.kind, entry.body, chain))
        self._db.executemany("INSERT INTO entry VALUES (?, ?, ?, ?, ?, ?)", rows)
        group.last, group.last_sum = entries[-1].index, chain

    def close(self) -> None:
        """Let go of the folder."""
        if self._lock < 0:
            return
        with contextlib.suppress(sqlite3.Error):
            self._db.close()
        os.close(self._told)
        os.close(self._lock)
        self._lock = -1

    def _load(self) -> None:
        """Read all of it; raises Damage or sqlite3.Error."""
        db = self._db
        db.execute("BEGIN")
        if (said := db.execute("PRAGMA integrity_check(1)").fetchone()[0]) != "ok":
            raise DamagedRecord(said.splitlines()[0])
        rows = db.execute("SELECT fleet, member, incarnation, step, whole, sum FROM store").fetchall()
        if len(rows) != 1 or _sum(*rows[0][:5]) != rows[0][5]:
            raise DamagedRecord("the store's own row does not read as written")
        self.fleet, self.member, self.incarnation, self._step, self._whole = rows[0][:5]
        whole = 0
        for name, *row in db.execute("SELECT * FROM part ORDER BY grp"):
            group = self._groups[name] = _Group(*row)
            if _sum(name, *group.row()) != group.sum:
                raise DamagedRecord(f"group {name!r}: its row does not read as written")
            whole ^= group.sum
        if whole != self._whole:
            raise DamagedRecord("a group's row is missing")
        shots = {}
        for name, index, term, config, body in db.execute("SELECT * FROM shot ORDER BY grp"):
            owner = self._groups.get(name)
            if owner is None or owner.shot_sum != _shot_sum(index, term, config, body) or owner.base != index:
                raise DamagedRecord(f"group {name!r}: its snapshot does not read as written")
            shots[name] = Snapshot(index, term, msgspec.msgpack.decode(config, type=GroupConfiguration), body)
        logs: dict[str, list[LogEntry]] = {}
        chains: dict[str, int] = {}
        for name, index, term, kind, body, said_sum in db.execute("SELECT * FROM entry ORDER BY grp, idx"):
            owner = self._groups.get(name)
            if owner is None:
                raise DamagedRecord(f"group {name!r}: entries without its row")
            kept = logs.setdefault(name, [])
            entry = LogEntry(index, term, kind, body)
            chains[name] = _entry_sum(entry, chains.get(name, owner.base_sum))
            if chains[name] != said_sum or index != owner.base + len(kept) + 1:
                raise DamagedRecord(f"group {name!r}: entry {index} does not read as written")
            kept.append(entry)
        for name, group in self._groups.items():
            kept = logs.get(name, [])
            if (group.base + len(kept), chains.get(name, group.base_sum)) != (group.last, group.last_sum):
                raise DamagedRecord(
                    f"group {name!r}: its log ends at {group.base + len(kept)}, written to {group.last}"
                )
            if (group.base > 0) > (name in shots):
                raise DamagedRecord(f"group {name!r}: its snapshot is missing")
            self.saved[name] = PersistedGroup(group.term, group.vote, shots.get(name), tuple(kept))
        if (told := _read_told(self._told)) > self._step:
            raise DamagedRecord(f"{told} transactions were acknowledged, {self._step} are there")
        self._look_behind()
        db.execute("COMMIT")

    def _look_behind(self) -> None:
        """Whether the write-ahead log was cut where it is more than torn."""
        try:
            wal = (self.folder / f"{NAME}-wal").read_bytes()
            with (self.folder / f"{NAME}-shm").open("rb") as shared:
                good = struct.unpack("=I", shared.read(20)[16:])[0]  # frames that SQLite holds for whole
        except (FileNotFoundError, struct.error):
            return
        if len(wal) < _WAL_HEAD.size or not any(wal[: _WAL_HEAD.size]):
            return
        magic, _, page, _, *salts, sum_0, sum_1 = _WAL_HEAD.unpack_from(wal)
        one = two = 0
        words = struct.unpack((">" if magic & 1 else "<") + "6I", wal[:24])
        for n in range(0, 6, 2):
            one = one + words[n] + two & 0xFFFFFFFF
            two = two + words[n + 1] + one & 0xFFFFFFFF
        if magic & ~1 != _MAGIC or (one, two) != (sum_0, sum_1):
            raise DamagedRecord("the head of the write-ahead log does not read as written")
        commits, at = 0, _WAL_HEAD.size + good * (page + _FRAME_HEAD.size)
        while at + _FRAME_HEAD.size <= len(wal):
            _, pages, *salt, _, _ = _FRAME_HEAD.unpack_from(wal, at)
            commits += pages > 0 and salt == salts
            at += page + _FRAME_HEAD.size
        if commits > 1:
            raise DamagedRecord(
                f"{commits} transactions lie behind a part of the write-ahead log that does not read"
            )


def _shot_sum(index: int, term: int, config: bytes, body: bytes) -> int:
    return zlib.crc32(body, _sum(index, term, config))


def _told(step: int) -> bytes:
    raw = step.to_bytes(8, "big")
    return raw + zlib.crc32(raw).to_bytes(4, "big")


def _read_told(held: int) -> int:
    raw = os.pread(held, _TOLD.size, 0)
    if len(raw) != _TOLD.size or zlib.crc32(raw[:8]) != _TOLD.unpack(raw)[1]:
        raise DamagedRecord("the count of acknowledged transactions does not read as written")
    return int(_TOLD.unpack(raw)[0])


def _connect(path: Path, fsync: bool) -> sqlite3.Connection:
    db = sqlite3.connect(path, isolation_level=None, check_same_thread=False)
    db.execute(f"PRAGMA cache_size = -{CACHE_KB}")
    db.execute("PRAGMA journal_mode = WAL")
    db.execute(f"PRAGMA synchronous = {'FULL' if fsync else 'OFF'}")
    return db


def _sync_folder(folder: Path) -> None:
    held = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(held)
    finally:
        os.close(held)


def _create(folder: Path, fleet: str, member: str, incarnation: str) -> None:
    """A new store in place, whole or not at all."""
    fresh = folder / NEW
    for name in (NEW, f"{NEW}-wal", f"{NEW}-shm", f"{NAME}-wal", f"{NAME}-shm"):
        (folder / name).unlink(missing_ok=True)
    db = sqlite3.connect(fresh, isolation_level=None)
    try:
        db.execute("PRAGMA synchronous = FULL")
        db.executescript(_SCHEMA)
        row = fleet, member, incarnation, 0, 0
        db.execute("INSERT INTO store VALUES (1, ?, ?, ?, ?, ?, ?)", (*row, _sum(*row)))
    finally:
        db.close()
    held = os.open(folder / TOLD, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        os.pwrite(held, _told(0), 0)
        os.fsync(held)
    finally:
        os.close(held)
    fresh.rename(folder / NAME)
    _sync_folder(folder)


def _put_aside(folder: Path) -> Path:
    """Keep what is damaged, under a name of its own."""
    kept = sorted(folder.glob("damaged-*"))
    for old in kept[: max(len(kept) - MOST_KEPT + 1, 0)]:
        for one in old.iterdir():
            one.unlink()
        old.rmdir()
    aside = folder / f"damaged-{time.time_ns()}"
    aside.mkdir()
    for name in (NAME, f"{NAME}-wal", TOLD):
        with contextlib.suppress(FileNotFoundError):
            (folder / name).rename(aside / name)
    (folder / f"{NAME}-shm").unlink(missing_ok=True)
    _sync_folder(folder)
    return aside


def open_store(
    folder: Path,
    fleet: str,
    member: str,
    fsync: bool = True,
    fresh: Callable[[], str] = lambda: secrets.token_hex(4),
) -> ClusterStorage | ClusterError:
    """The member's store, made where there is none, and made anew beside a damaged one (`Disk.faults` says
    so).

    StoreFailed: the folder cannot be used, or another process holds it.  AnotherFleet: it is another's.
    """
    try:
        folder.mkdir(0o700, parents=True, exist_ok=True)
        lock = os.open(folder / LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    except OSError as fault:
        return StorageFailed(member, f"{folder}: {fault.strerror}")
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(lock)
        return StorageFailed(member, f"{folder}: {HELD}")
    faults: list[ClusterError] = []
    try:
        for _ in range(2):
            made = _open(folder, fleet, member, fsync, fresh, lock, faults)
            if made is not None:
                break
    except (OSError, sqlite3.Error) as fault:
        os.close(lock)
        return StorageFailed(member, f"{folder}: {fault}")
    if isinstance(made, ClusterError):
        os.close(lock)
    return (
        made if made is not None else StorageFailed(member, f"{folder}: a new store does not read as written")
    )


def _open(
    folder: Path,
    fleet: str,
    member: str,
    fsync: bool,
    fresh: Callable[[], str],
    lock: int,
    faults: list[ClusterError],
) -> ClusterStorage | ClusterError | None:
    """None: it was damaged and lies aside now."""
    path = folder / NAME
    if others := sorted(one.name for one in folder.glob("store-*.db") if one.name != NAME):
        return StorageFailed(member, f"{folder}: holds {others[0]}, this program knows {NAME}")
    if not path.exists():
        with contextlib.suppress(FileNotFoundError, DamagedRecord), (folder / TOLD).open("rb") as left:
            if (told := _read_told(left.fileno())) > 0:
                faults.append(
                    StorageDamaged(member, f"{path} is gone, {told} transactions were acknowledged in it")
                )
        _create(folder, fleet, member, fresh())
    held = os.open(folder / TOLD, os.O_RDWR | os.O_CREAT, 0o600)
    db: sqlite3.Connection | None = None
    try:
        db = _connect(path, fsync)
        disk = ClusterStorage(folder, fleet, member, "", {}, faults, db, lock, held)
        disk._load()
    except (
        DamagedRecord,
        sqlite3.DatabaseError,
        msgspec.DecodeError,
        UnicodeDecodeError,
        TypeError,
    ) as fault:
        if isinstance(fault, sqlite3.OperationalError) and _of_the_disk(fault):
            if db is not None:
                db.close()
            os.close(held)
            raise
        aside = _put_aside(folder)  # before the closing, which would bring the log in and drop it
        if db is not None:
            with contextlib.suppress(sqlite3.Error):
                db.close()
        os.close(held)
        faults.append(StorageDamaged(member, f"{fault}; kept in {aside}"))
        return None
    if (disk.fleet, disk.member) != (fleet, member):
        db.close()
        os.close(held)
        return ClusterMismatch(member, f"{folder} belongs to member {disk.member!r} of fleet {disk.fleet!r}")
    return disk


def _of_the_disk(fault: sqlite3.OperationalError) -> bool:
    """Whether it is the disk that fails, and not what lies on it."""
    code = getattr(fault, "sqlite_errorcode", 0) & 0xFF
    return code in (sqlite3.SQLITE_FULL, sqlite3.SQLITE_IOERR, sqlite3.SQLITE_CANTOPEN, sqlite3.SQLITE_BUSY)


class StoreWriter:
    """Writes off the event loop: what is asked for while a transaction is under way goes into the next one.

    `stored` is told on the loop, in the order asked; `broke` once, when nothing more is written.  The thread
    is a daemon: a disk that hangs does not hold up the process's end.  The folder is held until `end`, also
    by a store that broke.
    """

    def __init__(
        self,
        disk: ClusterStorage,
        call_soon_threadsafe: Callable[..., object],
        stored: Callable[[list[RecordsPersisted]], None],
        broke: Callable[[ClusterError], None],
    ) -> None:
        self._disk, self._post, self._stored, self._broke = disk, call_soon_threadsafe, stored, broke
        self._waiting: deque[PersistRecords] = deque()
        self._bytes = 0
        self._busy = self._ended = False
        self.failed: ClusterError | None = None
        self.transactions = self.records = 0
        self._batches: queue.SimpleQueue[list[PersistRecords] | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._work, name="fleet-store", daemon=True)
        self._thread.start()

    def put(self, stores: Sequence[PersistRecords]) -> None:
        """Ask; Stored follows for each, unless the store breaks."""
        if self.failed is not None or self._ended or not stores:
            return
        self._waiting.extend(stores)
        self._bytes += sum(map(_weight, stores))
        if self._bytes > MOST_WAITING:
            self._fail(
                StorageFailed(self._disk.member, f"{self._bytes} bytes wait for a disk that does not keep up")
            )
        else:
            self._next()

    def _next(self) -> None:
        if not self._busy and self._waiting and self.failed is None:
            self._busy = True
            batch = list(self._waiting)
            self._waiting.clear()
            self._batches.put(batch)

    def _work(self) -> None:
        """The thread."""
        while (batch := self._batches.get()) is not None:
            fault: Exception | None = None
            try:
                self._disk.write(batch)
            except Exception as raised:
                fault = raised
            with contextlib.suppress(RuntimeError):  # the loop has ended
                self._post(self._written, batch, fault)
            if fault is not None:
                break

    def _written(self, batch: list[PersistRecords], fault: Exception | None) -> None:
        self._busy = False
        if fault is not None:
            self._fail(StorageFailed(self._disk.member, f"{self._disk.folder}: {fault}"))
        if self.failed is not None:
            return
        self._bytes -= sum(map(_weight, batch))
        self.transactions += 1
        self.records += sum(len(one.records) for one in batch)
        self._next()  # the disk works on while the answers are handled
        self._stored([RecordsPersisted(one.group, one.sequence) for one in batch])

    def _fail(self, error: ClusterError) -> None:
        if self.failed is None:
            self.failed = error
            self._waiting.clear()
            self._batches.put(None)
            self._broke(error)

    def end(self, wait_s: float = 1.0) -> None:
        """Write what was asked for, let go of the folder; waits no longer than told."""
        if not self._ended:
            self._ended = True
            if self._waiting and self.failed is None:
                self._batches.put(list(self._waiting))
                self._waiting.clear()
            self._batches.put(None)
        self._thread.join(wait_s)
        if not self._thread.is_alive():  # else the folder stays locked until the process is gone
            self._disk.close()


def _weight(one: PersistRecords) -> int:
    """Bytes, about."""
    return 64 + sum(map(_bodies, one.records))


def _bodies(record: Record) -> int:
    if isinstance(record, Entries):
        return sum(64 + len(entry.body) for entry in record.entries)
    return 64 + (len(record.body) if isinstance(record, Snapshot) else 0)
