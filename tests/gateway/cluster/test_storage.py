"""Tests of a member's stable storage: acknowledged writes are read back unchanged, or damage is reported."""

from __future__ import annotations

import asyncio
import random
import shutil
import threading
from collections.abc import Iterator
from pathlib import Path

import pytest

from badgeryoke.cluster import errors
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
from badgeryoke.cluster.messages import GroupConfiguration
from badgeryoke.gateway.cluster.storage import ClusterStorage, StorageLocked, StorageWriter, open_storage
from badgeryoke.gateway.cluster.storage.format import ACKNOWLEDGED_FILE, DATABASE_FILE, WAL_FILE
from badgeryoke.gateway.cluster.storage.opening import MAX_DAMAGED_STORES
from tests.support.storage import entries, entry, open_existing, reopened, write_records

CONFIG = GroupConfiguration(("a/1", "b/1", "c/1"))


@pytest.fixture
def storage(tmp_path: Path) -> Iterator[ClusterStorage]:
    opened = open_existing(tmp_path / "s")
    yield opened
    opened.close()


# Reading back


@pytest.mark.parametrize(
    ("records", "expected"),
    [
        ([HardState(3, "b/1")], PersistedGroup(3, "b/1")),
        ([entries(1, 5)], PersistedGroup(entries=entries(1, 5).entries)),
        ([entries(1, 5), entries(3, 3, 2)], PersistedGroup(entries=(*entries(1, 2).entries, entry(3, 2)))),
        ([entries(1, 5), entries(1, 1, 2)], PersistedGroup(entries=(entry(1, 2),))),
        (
            [entries(1, 5), Snapshot(3, 1, CONFIG, b"x")],
            PersistedGroup(snapshot=Snapshot(3, 1, CONFIG, b"x"), entries=entries(4, 5).entries),
        ),
        # The log has a different entry at the snapshot's index, so no later entry is valid.
        (
            [entries(1, 5), Snapshot(3, 2, CONFIG, b"x")],
            PersistedGroup(snapshot=Snapshot(3, 2, CONFIG, b"x")),
        ),
        (
            [entries(1, 5), Snapshot(9, 2, CONFIG, b"x"), entries(10, 11, 3)],
            PersistedGroup(snapshot=Snapshot(9, 2, CONFIG, b"x"), entries=entries(10, 11, 3).entries),
        ),
        (
            [entries(1, 5), Snapshot(3, 1, CONFIG, b"x"), Snapshot(3, 1, CONFIG, b"y"), entries(6, 6)],
            PersistedGroup(snapshot=Snapshot(3, 1, CONFIG, b"y"), entries=entries(4, 6).entries),
        ),
        (
            [entries(1, 5), Snapshot(3, 1, CONFIG, b"x"), entries(4, 4, 2), entries(5, 5, 2)],
            PersistedGroup(snapshot=Snapshot(3, 1, CONFIG, b"x"), entries=entries(4, 5, 2).entries),
        ),
        (
            [Snapshot(0, 0, GroupConfiguration(()), b"founding")],
            PersistedGroup(snapshot=Snapshot(0, 0, GroupConfiguration(()), b"founding")),
        ),
        ([entries(1, 2), DiscardGroup(), HardState(1, "")], PersistedGroup(1)),
    ],
    ids=[
        "hard state",
        "entries",
        "one entry overwritten",
        "all entries overwritten",
        "snapshot in the log",
        "snapshot that contradicts the log",
        "snapshot ahead of the log",
        "same snapshot again",
        "entries behind a snapshot overwritten",
        "snapshot at index 0",
        "group discarded and begun again",
    ],
)
def test_records_are_read_back_as_written(
    storage: ClusterStorage, records: list[Record], expected: PersistedGroup
) -> None:
    """Written with one transaction for each record, and in one transaction for all."""
    for record in records:
        write_records(storage, "g", record)
    write_records(storage, "h", *records)
    write_records(storage, "gone", *records)
    write_records(storage, "gone", DiscardGroup())
    reopened_storage = reopened(storage)
    assert (
        reopened_storage.persisted_groups == {"g": expected, "h": expected}
        and reopened_storage.incarnation == "1"
        and not reopened_storage.faults
    )
    write_records(reopened_storage, "g", HardState(9, "z/1"))  # the chain continues from the stored checksum
    last = (
        reopened_storage.persisted_groups["g"].entries[-1].index
        if reopened_storage.persisted_groups["g"].entries
        else (
            reopened_storage.persisted_groups["g"].snapshot.last_included_index
            if reopened_storage.persisted_groups["g"].snapshot
            else 0
        )
    )
    write_records(reopened_storage, "g", entries(last + 1, last + 2, 7))
    opened_again = reopened(reopened_storage)
    assert (
        opened_again.persisted_groups["g"].current_term == 9
        and opened_again.persisted_groups["g"].entries[-2:] == entries(last + 1, last + 2, 7).entries
    )
    opened_again.close()


@pytest.mark.parametrize(
    "record",
    [entries(7, 7), entries(0, 1), Entries((entry(6), entry(8))), Snapshot(1, 1, CONFIG, b"")],
    ids=["beyond the end", "before the snapshot", "gap within", "older snapshot"],
)
def test_a_record_that_leaves_a_gap_in_the_log_is_rejected(storage: ClusterStorage, record: Record) -> None:
    write_records(storage, "g", entries(1, 5), Snapshot(2, 1, CONFIG, b"x"))
    with pytest.raises(Exception, match="group g"):
        write_records(storage, "g", record)
    reopened_storage = reopened(storage)
    assert reopened_storage.persisted_groups["g"].entries == entries(3, 5).entries
    reopened_storage.close()


# Damage


def make_filled_store(folder: Path, count: int = 60) -> dict[str, PersistedGroup]:
    """Make a store in `dead` as a killed process leaves it, partly checkpointed and partly in the write-ahead log;
    returns its groups."""
    storage = open_existing(folder / "live")
    for n in range(1, count + 1):
        storage.write(
            [PersistRecords(group, n, (HardState(n, "b/1"), entries(n, n, size=900))) for group in ("g", "h")]
        )
        if n == count - 4:
            write_records(storage, "g", Snapshot(5, 1, CONFIG, b"body" * 50))
            storage._database.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    shutil.copytree(folder / "live", folder / "dead", ignore=shutil.ignore_patterns("*-shm", "lock"))
    storage.close()
    reopened_storage = open_existing(folder / "live")
    reopened_storage.close()
    return reopened_storage.persisted_groups


@pytest.mark.parametrize(
    "name",
    [DATABASE_FILE, WAL_FILE, ACKNOWLEDGED_FILE],
    ids=["database", "write-ahead log", "acknowledged counter"],
)
def test_a_flipped_bit_is_reported_as_damage_or_changes_nothing(tmp_path: Path, name: str) -> None:
    """No entry, vote or snapshot is ever read back with a difference, or left out without a report."""
    expected = make_filled_store(tmp_path)
    raw = (tmp_path / "dead" / name).read_bytes()
    rng, damaged_stores = random.Random(7), 0
    for attempt in range(70 if name != ACKNOWLEDGED_FILE else 12):
        folder = tmp_path / str(attempt)
        shutil.copytree(tmp_path / "dead", folder)
        damaged, bit = bytearray(raw), rng.randrange(len(raw) * 8)
        damaged[bit // 8] ^= 1 << bit % 8
        (folder / name).write_bytes(damaged)
        reopened_storage = open_existing(folder, incarnation="2")
        if reopened_storage.incarnation == "1":
            assert reopened_storage.persisted_groups == expected and not reopened_storage.faults, bit
        else:
            damaged_stores += 1
            assert not reopened_storage.persisted_groups and [
                type(fault) for fault in reopened_storage.faults
            ] == [errors.StorageDamaged], bit
            [damaged_directory] = folder.glob("damaged-*")
            assert (damaged_directory / DATABASE_FILE).exists()
            write_records(reopened_storage, "g", entries(1, 2))
        reopened_storage.close()
        shutil.rmtree(folder)
    assert damaged_stores > 5


def truncate_wal(folder: Path, size: int) -> None:
    wal = folder / WAL_FILE
    wal.write_bytes(wal.read_bytes()[:size])


def test_a_torn_wal_tail_is_cut_unless_it_was_acknowledged(tmp_path: Path) -> None:
    storage = open_existing(tmp_path / "live")
    write_records(storage, "g", entries(1, 4))
    acknowledged = (tmp_path / "live" / ACKNOWLEDGED_FILE).read_bytes()
    size_before = (tmp_path / "live" / WAL_FILE).stat().st_size
    write_records(storage, "g", entries(5, 6))
    for name, size in (("torn", size_before + 900), ("flipped", 0)):
        shutil.copytree(tmp_path / "live", tmp_path / name, ignore=shutil.ignore_patterns("*-shm", "lock"))
        if size:
            truncate_wal(tmp_path / name, size)
    storage.close()
    # The machine crashed before the torn write was acknowledged.
    (tmp_path / "torn" / ACKNOWLEDGED_FILE).write_bytes(acknowledged)
    torn = open_existing(tmp_path / "torn", incarnation="2")
    assert (
        torn.incarnation == "1"
        and torn.persisted_groups["g"].entries == entries(1, 4).entries
        and not torn.faults
    )
    torn.close()
    truncate_wal(tmp_path / "flipped", size_before + 900)  # the acknowledged transaction is lost
    damaged = open_existing(tmp_path / "flipped", incarnation="2")
    assert damaged.incarnation == "2" and "acknowledged" in damaged.faults[0].detail
    damaged.close()


def test_two_commits_behind_a_broken_wal_frame_are_damage_without_the_acknowledged_counter(
    tmp_path: Path,
) -> None:
    """After a crash of the machine the counter may be old, but two commits after an invalid frame are no torn tail."""
    storage = open_existing(tmp_path / "live")
    acknowledged = (tmp_path / "live" / ACKNOWLEDGED_FILE).read_bytes()
    sizes = []
    for n in range(1, 6):
        write_records(storage, "g", entries(n, n))
        sizes.append((tmp_path / "live" / WAL_FILE).stat().st_size)
    shutil.copytree(tmp_path / "live", tmp_path / "dead", ignore=shutil.ignore_patterns("*-shm", "lock"))
    storage.close()
    wal = tmp_path / "dead" / WAL_FILE
    raw = bytearray(wal.read_bytes())
    raw[sizes[1] + 1000] ^= 1
    wal.write_bytes(raw)
    (tmp_path / "dead" / ACKNOWLEDGED_FILE).write_bytes(acknowledged)
    reopened_storage = open_existing(tmp_path / "dead", incarnation="2")
    assert reopened_storage.incarnation == "2" and "transactions follow" in reopened_storage.faults[0].detail
    reopened_storage.close()


def test_a_missing_store_is_reported_and_at_most_four_damaged_ones_are_kept(
    storage: ClusterStorage,
) -> None:
    write_records(storage, "g", entries(1, 2))
    storage.close()
    (storage.directory / DATABASE_FILE).unlink()
    for n in range(MAX_DAMAGED_STORES + 3):
        reopened_storage = open_existing(storage.directory, incarnation=f"w{n}")
        assert reopened_storage.incarnation == f"w{n}" and isinstance(
            reopened_storage.faults[0], errors.StorageDamaged
        )
        reopened_storage.close()
        (storage.directory / DATABASE_FILE).write_bytes(b"not a store" * 500)
    assert len(list(storage.directory.glob("damaged-*"))) == MAX_DAMAGED_STORES


# Ownership


def test_a_directory_is_opened_by_one_process_of_its_own_member_and_cluster(storage: ClusterStorage) -> None:
    locked = open_storage(storage.directory, "f", "a")
    assert isinstance(locked, StorageLocked) and isinstance(locked.error, errors.StorageFailed)
    assert "another process" in locked.error.detail
    storage.close()
    for cluster, member in (("other", "a"), ("f", "b")):
        assert isinstance(open_storage(storage.directory, cluster, member), errors.ClusterMismatch)
    reopened_storage = open_existing(storage.directory)
    assert reopened_storage.incarnation == "1"
    reopened_storage.close()
    (storage.directory / DATABASE_FILE).rename(storage.directory / "store-99.db")
    newer = open_storage(storage.directory, "f", "a")
    assert isinstance(newer, errors.StorageFailed) and "store-99.db" in newer.detail


def test_a_directory_that_cannot_be_created_is_an_error(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("")
    assert isinstance(open_storage(tmp_path / "file" / "s", "f", "a"), errors.StorageFailed)


# Writer thread


class WriterObserver:
    """Collects what a writer reports."""

    def __init__(self, storage: ClusterStorage) -> None:
        self.persisted: list[RecordsPersisted] = []
        self.failures: list[errors.ClusterError] = []
        self.notified = asyncio.Event()
        self.writer = StorageWriter(
            storage, asyncio.get_running_loop().call_soon_threadsafe, self._on_persisted, self._on_failure
        )

    def _on_persisted(self, persisted: list[RecordsPersisted]) -> None:
        self.persisted += persisted
        self.notified.set()

    def _on_failure(self, error: errors.ClusterError) -> None:
        self.failures.append(error)
        self.notified.set()

    async def until(self, count: int) -> None:
        while len(self.persisted) < count and not self.failures:
            self.notified.clear()
            await asyncio.wait_for(self.notified.wait(), 10)


def test_pending_requests_share_one_transaction_and_are_acknowledged_in_order(
    storage: ClusterStorage, monkeypatch: pytest.MonkeyPatch
) -> None:
    write_allowed, write = threading.Event(), ClusterStorage.write
    monkeypatch.setattr(
        ClusterStorage, "write", lambda self, batch: (write_allowed.wait(10), write(self, batch))[1]
    )

    async def test() -> None:
        observer = WriterObserver(storage)
        requests = [PersistRecords(f"g{n % 3}", n, (HardState(n, ""),)) for n in range(40)]
        for request in requests:
            observer.writer.submit([request])
        await asyncio.sleep(0)
        assert not observer.persisted  # the disk hangs, and does not block the event loop
        write_allowed.set()
        await observer.until(40)
        assert (
            observer.persisted == [RecordsPersisted(request.group, request.sequence) for request in requests]
            and observer.writer.transactions == 2
        )
        observer.writer.submit([PersistRecords("last", 1, (HardState(1, "a/1"),))])
        observer.writer.close(10)

    asyncio.run(test())
    reopened_storage = open_existing(storage.directory)
    assert (
        reopened_storage.persisted_groups["last"] == PersistedGroup(1, "a/1")
        and reopened_storage.persisted_groups["g0"].current_term == 39
    )
    reopened_storage.close()


def test_a_full_disk_fails_the_storage_once_and_keeps_what_was_acknowledged(storage: ClusterStorage) -> None:
    async def test() -> None:
        storage._database.execute("PRAGMA max_page_count = 40")
        observer = WriterObserver(storage)
        for n in range(1, 100):
            observer.writer.submit([PersistRecords("g", n, (entries(n, n, size=4000),))])
            await observer.until(n)
        assert [type(error) for error in observer.failures] == [
            errors.StorageFailed
        ] and "full" in observer.failures[0].detail
        observer.writer.submit([PersistRecords("g", 100, (HardState(1, ""),))])
        observer.writer.close(10)
        assert len(observer.failures) == 1
        reopened_storage = open_existing(storage.directory)
        assert (
            len(reopened_storage.persisted_groups["g"].entries) == len(observer.persisted) > 3
            and not reopened_storage.faults
        )
        reopened_storage.close()

    asyncio.run(test())


def test_the_storage_fails_when_pending_bytes_exceed_the_bound(
    storage: ClusterStorage, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("badgeryoke.gateway.cluster.storage.writer.MAX_PENDING_BYTES", 10_000)
    write_allowed = threading.Event()
    monkeypatch.setattr(ClusterStorage, "write", lambda self, batch: write_allowed.wait(10))

    async def test() -> None:
        observer = WriterObserver(storage)
        for n in range(30):
            observer.writer.submit([PersistRecords("g", n, (entries(n, n, size=1000),))])
        assert len(observer.failures) == 1 and not observer.persisted
        write_allowed.set()
        observer.writer.close(10)

    asyncio.run(test())
