"""A member's simulated store: what is asked for becomes durable with the next fsync, and a crash loses the
rest.

One fsync is under way at a time and takes all that was asked before it began.  At a crash a prefix of what
was under way may have come through.  A wiped or damaged store begins anew with another incarnation, as the
product's does; a full one breaks.  Bounds: none of its own; what is asked is what the nodes ask.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random

import msgspec

from badgeryoke.cluster.errors import StorageFailed
from badgeryoke.cluster.events import (
    DiscardGroup,
    Entries,
    HardState,
    NodeEvent,
    PersistedGroup,
    PersistRecords,
    Record,
    RecordsPersisted,
    Snapshot,
    StorageFailure,
)
from badgeryoke.cluster.messages import EntryKind, GroupConfiguration, LogEntry
from badgeryoke.testbed.cluster_simulation.network import Calendar


@dataclass(slots=True)
class Kept:
    """What is durable of one group."""

    term: int = 0
    vote: str = ""
    snapshot: Snapshot | None = None
    entries: list[LogEntry] = field(default_factory=list)
    config: GroupConfiguration | None = None  # the members that the log names last
    config_at: int = 0

    @property
    def last(self) -> int:
        """The last index."""
        if self.entries:
            return self.entries[-1].index
        return self.snapshot.last_included_index if self.snapshot else 0

    @property
    def last_term(self) -> int:
        """Its term."""
        if self.entries:
            return self.entries[-1].term
        return self.snapshot.last_included_term if self.snapshot else 0

    def at(self, index: int) -> LogEntry | None:
        """The entry there, where it has not gone into the snapshot."""
        if not self.entries or not self.entries[0].index <= index <= self.entries[-1].index:
            return None
        return self.entries[index - self.entries[0].index]

    def take(self, record: Record) -> None:
        """Make a record of this group durable."""
        if isinstance(record, Entries):
            if record.entries:
                first = record.entries[0].index
                held = self.entries
                cut = bool(held) and first <= held[-1].index
                if cut:
                    del held[max(first - held[0].index, 0) :]
                held.extend(record.entries)
                self._name(held if cut and self.config_at >= first else record.entries)
        elif isinstance(record, HardState):
            self.term, self.vote = record.current_term, record.voted_for
        elif isinstance(record, Snapshot):
            matches, before = self.at(record.last_included_index), self.snapshot
            # A log that goes on from the snapshot keeps its tail; another's tail goes with what lay before.
            keep = (matches is not None and matches.term == record.last_included_term) or (
                before is not None
                and (before.last_included_index, before.last_included_term)
                == (record.last_included_index, record.last_included_term)
            )
            self.snapshot = record
            self.entries = (
                [entry for entry in self.entries if entry.index > record.last_included_index] if keep else []
            )
            if not keep or self.config_at <= record.last_included_index:
                self._name(self.entries)

    def _name(self, entries: Sequence[LogEntry]) -> None:
        """Look for the members that the log names last, among the entries that may do so."""
        if (entries is self.entries or self.config is None) and self.snapshot is not None:
            self.config, self.config_at = self.snapshot.config, self.snapshot.last_included_index
        for entry in reversed(entries):
            if entry.kind == EntryKind.CONFIG:
                self.config, self.config_at = (
                    msgspec.msgpack.decode(entry.body, type=GroupConfiguration),
                    entry.index,
                )
                return


class Disk:
    """One machine's.  `tell(life, event)` gives the process of that life what came of a Store."""

    def __init__(self, calendar: Calendar, draw: Random, tell: Callable[[int, NodeEvent], None]) -> None:
        self._calendar, self._draw, self._tell = calendar, draw, tell
        self.fsync_ms = (0.5, 3.0)
        self.full = False
        self.groups: dict[str, Kept] = {}
        self.lost: dict[str, dict[str, Kept]] = {}  # what stood on it before it was wiped, by incarnation
        self.incarnation = self._drawn()
        self.syncs = 0
        self._life = 0  # of the process that writes
        self._asked: list[PersistRecords] = []
        self._under_way: list[PersistRecords] = []

    def _drawn(self) -> str:
        return f"{self._draw.getrandbits(32):08x}"

    def start(self, life: int) -> dict[str, PersistedGroup]:
        """A process opens it."""
        self._life = life
        return {
            name: PersistedGroup(kept.term, kept.vote, kept.snapshot, tuple(kept.entries))
            for name, kept in sorted(self.groups.items())
        }

    def put(self, store: PersistRecords) -> None:
        """The running process wants this on stable storage."""
        if self.full:
            self._calendar.at(
                self._calendar.now + 0.1,
                self._tell,
                self._life,
                StorageFailure(StorageFailed(store.group, "no space left on device")),
            )
            return
        self._asked.append(store)
        if not self._under_way:
            self._sync()

    def _sync(self) -> None:
        self._under_way, self._asked = self._asked, []
        self.syncs += 1
        self._calendar.at(self._calendar.now + self._draw.uniform(*self.fsync_ms), self._synced, self._life)

    def _synced(self, life: int) -> None:
        if life != self._life:
            return
        done, self._under_way = self._under_way, []
        for store in done:
            self._write(store)
        if self._asked:
            self._sync()
        for store in done:
            self._tell(life, RecordsPersisted(store.group, store.sequence))

    def _write(self, store: PersistRecords) -> None:
        for record in store.records:
            if isinstance(record, DiscardGroup):
                self.groups.pop(store.group, None)
            else:
                self.groups.setdefault(store.group, Kept()).take(record)

    def crash(self) -> None:
        """The process is gone; a prefix of what was under way may be durable."""
        for store in self._under_way[: self._draw.randint(0, len(self._under_way))]:
            self._write(store)
        self._asked, self._under_way = [], []
        self._life = -1

    def wipe(self) -> None:
        """The machine is lost with its disk, or the store reads as damaged: another store, another
        incarnation."""
        self.lost[self.incarnation] = self.groups
        self.groups, self.full = {}, False
        self.incarnation = self._drawn()
