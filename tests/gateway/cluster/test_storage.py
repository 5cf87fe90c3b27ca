"""What a member's store gives back: all that was acknowledged as it was written, or word that it is
damaged."""

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
from badgeryoke.cluster.messages import COMMAND, GroupConfiguration, LogEntry
from badgeryoke.gateway.cluster.storage import MOST_KEPT, NAME, TOLD, ClusterStorage, StoreWriter, open_store

CONFIG = GroupConfiguration(("a/1", "b/1", "c/1"))


def entry(index: int, term: int = 1, size: int = 40) -> LogEntry:
    return LogEntry(index, term, COMMAND, bytes([index % 256]) * size)


def entries(first: int, last: int, term: int = 1, size: int = 40) -> Entries:
    return Entries(tuple(entry(n, term, size) for n in range(first, last + 1)))


def opened(folder: Path, member: str = "a", fleet: str = "f", word: str = "1") -> ClusterStorage:
    made = open_store(folder, fleet, member, fresh=lambda: word)
    assert isinstance(made, ClusterStorage), made
    return made


def put(disk: ClusterStorage, group: str, *records: Record) -> None:
    disk.write([PersistRecords(group, 0, records)])


@pytest.fixture
def disk(tmp_path: Path) -> Iterator[ClusterStorage]:
    made = opened(tmp_path / "s")
    yield made
    made.close()


def again(disk: ClusterStorage, word: str = "2") -> ClusterStorage:
    disk.close()
    return opened(disk.folder, word=word)


# What it gives back
# ---------------------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("records", "saved"),
    [
        ([HardState(3, "b/1")], PersistedGroup(3, "b/1")),
        ([entries(1, 5)], PersistedGroup(entries=entries(1, 5).entries)),
        ([entries(1, 5), entries(3, 3, 2)], PersistedGroup(entries=(*entries(1, 2).entries, entry(3, 2)))),
        ([entries(1, 5), entries(1, 1, 2)], PersistedGroup(entries=(entry(1, 2),))),
        (
            [entries(1, 5), Snapshot(3, 1, CONFIG, b"x")],
            PersistedGroup(snapshot=Snapshot(3, 1, CONFIG, b"x"), entries=entries(4, 5).entries),
        ),
        # The log holds another entry where the snapshot ends: nothing behind it can stand.
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
)
def test_what_was_written_comes_back(
    disk: ClusterStorage, records: list[Record], saved: PersistedGroup
) -> None:
    """One transaction a record, and all records in one."""
    for record in records:
        put(disk, "g", record)
    put(disk, "h", *records)
    put(disk, "gone", *records)
    put(disk, "gone", DiscardGroup())
    back = again(disk)
    assert back.saved == {"g": saved, "h": saved} and back.incarnation == "1" and not back.faults
    put(back, "g", HardState(9, "z/1"))  # the chain goes on from what was read
    last = (
        back.saved["g"].entries[-1].index
        if back.saved["g"].entries
        else (back.saved["g"].snapshot.index if back.saved["g"].snapshot else 0)
    )
    put(back, "g", entries(last + 1, last + 2, 7))
    third = again(back)
    assert (
        third.saved["g"].term == 9 and third.saved["g"].entries[-2:] == entries(last + 1, last + 2, 7).entries
    )
    third.close()


@pytest.mark.parametrize(
    "record", [entries(7, 7), entries(0, 1), Entries((entry(6), entry(8))), Snapshot(1, 1, CONFIG, b"")]
)
def test_a_hole_in_a_log_is_never_written(disk: ClusterStorage, record: Record) -> None:
    put(disk, "g", entries(1, 5), Snapshot(2, 1, CONFIG, b"x"))
    with pytest.raises(Exception, match="group g"):
        put(disk, "g", record)
    back = again(disk)
    assert back.saved["g"].entries == entries(3, 5).entries
    back.close()


# Damage
# ---------------------------------------------------------------------------------------------------------------


def filled(folder: Path, count: int = 60) -> dict[str, PersistedGroup]:
    """A store as a killed process leaves it: a part brought in, a part in the write-ahead log."""
    disk = opened(folder / "live")
    for n in range(1, count + 1):
        disk.write(
            [PersistRecords(group, n, (HardState(n, "b/1"), entries(n, n, size=900))) for group in ("g", "h")]
        )
        if n == count - 4:
            put(disk, "g", Snapshot(5, 1, CONFIG, b"body" * 50))
            disk._db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    shutil.copytree(folder / "live", folder / "dead", ignore=shutil.ignore_patterns("*-shm", "lock"))
    disk.close()
    back = opened(folder / "live")
    back.close()
    return back.saved


@pytest.mark.parametrize("name", [NAME, f"{NAME}-wal", TOLD])
def test_a_flipped_bit_makes_a_newcomer_or_changes_nothing(tmp_path: Path, name: str) -> None:
    """Never anything between: no entry, vote or snapshot that is not as it was written, none missing."""
    saved = filled(tmp_path)
    raw = (tmp_path / "dead" / name).read_bytes()
    draw, newcomers = random.Random(7), 0
    for round_ in range(70 if name != TOLD else 12):
        folder = tmp_path / str(round_)
        shutil.copytree(tmp_path / "dead", folder)
        spoilt, bit = bytearray(raw), draw.randrange(len(raw) * 8)
        spoilt[bit // 8] ^= 1 << bit % 8
        (folder / name).write_bytes(spoilt)
        back = opened(folder, word="2")
        if back.incarnation == "1":
            assert back.saved == saved and not back.faults, bit
        else:
            newcomers += 1
            assert not back.saved and [type(one) for one in back.faults] == [errors.StorageDamaged], bit
            [kept] = folder.glob("damaged-*")
            assert (kept / NAME).exists()
            put(back, "g", entries(1, 2))
        back.close()
        shutil.rmtree(folder)
    assert newcomers > 5


def cut_at(folder: Path, keep: int) -> None:
    wal = folder / f"{NAME}-wal"
    wal.write_bytes(wal.read_bytes()[:keep])


def test_a_torn_tail_is_cut_where_it_was_not_acknowledged(tmp_path: Path) -> None:
    disk = opened(tmp_path / "live")
    put(disk, "g", entries(1, 4))
    told = (tmp_path / "live" / TOLD).read_bytes()
    before = (tmp_path / "live" / f"{NAME}-wal").stat().st_size
    put(disk, "g", entries(5, 6))
    for name, keep in (("torn", before + 900), ("flipped", 0)):
        shutil.copytree(tmp_path / "live", tmp_path / name, ignore=shutil.ignore_patterns("*-shm", "lock"))
        if keep:
            cut_at(tmp_path / name, keep)
    disk.close()
    (tmp_path / "torn" / TOLD).write_bytes(told)  # the power went between the tear and the answer
    torn = opened(tmp_path / "torn", word="2")
    assert torn.incarnation == "1" and torn.saved["g"].entries == entries(1, 4).entries and not torn.faults
    torn.close()
    cut_at(tmp_path / "flipped", before + 900)  # acknowledged, and gone
    gone = opened(tmp_path / "flipped", word="2")
    assert gone.incarnation == "2" and "acknowledged" in gone.faults[0].detail
    gone.close()


def test_more_than_a_tail_is_seen_without_the_count(tmp_path: Path) -> None:
    """After the machine's death the count may be old: two commits behind a break are no tear."""
    disk = opened(tmp_path / "live")
    told = (tmp_path / "live" / TOLD).read_bytes()
    sizes = []
    for n in range(1, 6):
        put(disk, "g", entries(n, n))
        sizes.append((tmp_path / "live" / f"{NAME}-wal").stat().st_size)
    shutil.copytree(tmp_path / "live", tmp_path / "dead", ignore=shutil.ignore_patterns("*-shm", "lock"))
    disk.close()
    wal = tmp_path / "dead" / f"{NAME}-wal"
    raw = bytearray(wal.read_bytes())
    raw[sizes[1] + 1000] ^= 1
    wal.write_bytes(raw)
    (tmp_path / "dead" / TOLD).write_bytes(told)
    back = opened(tmp_path / "dead", word="2")
    assert back.incarnation == "2" and "transactions lie behind" in back.faults[0].detail
    back.close()


def test_a_store_that_is_gone_is_told_and_damaged_ones_are_kept_within_a_bound(disk: ClusterStorage) -> None:
    put(disk, "g", entries(1, 2))
    disk.close()
    (disk.folder / NAME).unlink()
    for n in range(MOST_KEPT + 3):
        back = opened(disk.folder, word=f"w{n}")
        assert back.incarnation == f"w{n}" and isinstance(back.faults[0], errors.StorageDamaged)
        back.close()
        (disk.folder / NAME).write_bytes(b"not a store" * 500)
    assert len(list(disk.folder.glob("damaged-*"))) == MOST_KEPT


# Whose it is
# ----------------------------------------------------------------------------------------------------------


def test_one_folder_one_process_one_member_one_fleet(disk: ClusterStorage) -> None:
    held = open_store(disk.folder, "f", "a")
    assert isinstance(held, errors.StorageFailed) and "another process" in held.detail
    disk.close()
    for fleet, member in (("other", "a"), ("f", "b")):
        assert isinstance(open_store(disk.folder, fleet, member), errors.ClusterMismatch)
    back = opened(disk.folder)
    assert back.incarnation == "1"
    back.close()
    (disk.folder / NAME).rename(disk.folder / "store-99.db")
    later = open_store(disk.folder, "f", "a")
    assert isinstance(later, errors.StorageFailed) and "store-99.db" in later.detail


def test_a_folder_that_cannot_be_made_is_an_error(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("")
    assert isinstance(open_store(tmp_path / "file" / "s", "f", "a"), errors.StorageFailed)


# Off the loop
# ---------------------------------------------------------------------------------------------------------


class Told:
    """Collects what a writer tells."""

    def __init__(self, disk: ClusterStorage) -> None:
        self.stored: list[RecordsPersisted] = []
        self.broke: list[errors.ClusterError] = []
        self.news = asyncio.Event()
        self.writer = StoreWriter(
            disk, asyncio.get_running_loop().call_soon_threadsafe, self._stored, self._broke
        )

    def _stored(self, those: list[RecordsPersisted]) -> None:
        self.stored += those
        self.news.set()

    def _broke(self, error: errors.ClusterError) -> None:
        self.broke.append(error)
        self.news.set()

    async def until(self, count: int) -> None:
        while len(self.stored) < count and not self.broke:
            self.news.clear()
            await asyncio.wait_for(self.news.wait(), 10)


def test_what_waits_goes_into_one_transaction_and_is_answered_in_order(
    disk: ClusterStorage, monkeypatch: pytest.MonkeyPatch
) -> None:
    gate, write = threading.Event(), ClusterStorage.write
    monkeypatch.setattr(ClusterStorage, "write", lambda self, batch: (gate.wait(10), write(self, batch))[1])

    async def test() -> None:
        told = Told(disk)
        stores = [PersistRecords(f"g{n % 3}", n, (HardState(n, ""),)) for n in range(40)]
        for one in stores:
            told.writer.put([one])
        await asyncio.sleep(0)
        assert not told.stored  # the disk hangs, the loop does not
        gate.set()
        await told.until(40)
        assert (
            told.stored == [RecordsPersisted(one.group, one.seq) for one in stores]
            and told.writer.transactions == 2
        )
        told.writer.put([PersistRecords("last", 1, (HardState(1, "a/1"),))])
        told.writer.end(10)

    asyncio.run(test())
    back = opened(disk.folder)
    assert back.saved["last"] == PersistedGroup(1, "a/1") and back.saved["g0"].term == 39
    back.close()


def test_a_full_disk_breaks_the_store_once_and_keeps_what_was_acknowledged(disk: ClusterStorage) -> None:
    async def test() -> None:
        disk._db.execute("PRAGMA max_page_count = 40")
        told = Told(disk)
        for n in range(1, 100):
            told.writer.put([PersistRecords("g", n, (entries(n, n, size=4000),))])
            await told.until(n)
        assert [type(one) for one in told.broke] == [errors.StorageFailed] and "full" in told.broke[0].detail
        told.writer.put([PersistRecords("g", 100, (HardState(1, ""),))])
        told.writer.end(10)
        assert len(told.broke) == 1
        back = opened(disk.folder)
        assert len(back.saved["g"].entries) == len(told.stored) > 3 and not back.faults
        back.close()

    asyncio.run(test())


def test_a_disk_that_does_not_keep_up_is_given_up_at_the_bound(
    disk: ClusterStorage, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("badgeryoke.gateway.cluster.storage.MOST_WAITING", 10_000)
    gate = threading.Event()
    monkeypatch.setattr(ClusterStorage, "write", lambda self, batch: gate.wait(10))

    async def test() -> None:
        told = Told(disk)
        for n in range(30):
            told.writer.put([PersistRecords("g", n, (entries(n, n, size=1000),))])
        assert len(told.broke) == 1 and not told.stored
        gate.set()
        told.writer.end(10)

    asyncio.run(test())
