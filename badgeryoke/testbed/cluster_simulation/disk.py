"""A member's simulated disk: records become durable with the next fsync, and a crash loses all others.

One fsync runs at a time and covers all records queued before it began.  After a crash, a prefix of the records of
the running fsync may be durable.  A wiped or damaged disk starts empty with another incarnation, as the gateway's
storage does; writes to a full disk fail.  The queue is unbounded: it holds what the nodes have not yet had stored.
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
from badgeryoke.testbed.cluster_simulation.network import EventQueue


@dataclass(slots=True)
class StoredGroup:
    """The durable state of one group."""

    term: int = 0
    vote: str = ""
    snapshot: Snapshot | None = None
    entries: list[LogEntry] = field(default_factory=list)
    config: GroupConfiguration | None = None  # latest configuration in the log
    config_index: int = 0

    @property
    def last_index(self) -> int:
        """The index of the last entry."""
        if self.entries:
            return self.entries[-1].index
        return self.snapshot.last_included_index if self.snapshot else 0

    @property
    def last_term(self) -> int:
        """The term of the last entry."""
        if self.entries:
            return self.entries[-1].term
        return self.snapshot.last_included_term if self.snapshot else 0

    def entry_at(self, index: int) -> LogEntry | None:
        """The entry at an index; None if the log does not hold it, or only in its snapshot."""
        if not self.entries or not self.entries[0].index <= index <= self.entries[-1].index:
            return None
        return self.entries[index - self.entries[0].index]

    def apply(self, record: Record) -> None:
        """Make a record of this group durable."""
        if isinstance(record, Entries):
            if record.entries:
                first = record.entries[0].index
                log = self.entries
                truncates = bool(log) and first <= log[-1].index
                if truncates:
                    del log[max(first - log[0].index, 0) :]
                log.extend(record.entries)
                self._update_config(log if truncates and self.config_index >= first else record.entries)
        elif isinstance(record, HardState):
            self.term, self.vote = record.current_term, record.voted_for
        elif isinstance(record, Snapshot):
            local_entry, previous = self.entry_at(record.last_included_index), self.snapshot
            # A log that contains the snapshot's last entry keeps the entries after it; any other is discarded.
            keeps_tail = (local_entry is not None and local_entry.term == record.last_included_term) or (
                previous is not None
                and (previous.last_included_index, previous.last_included_term)
                == (record.last_included_index, record.last_included_term)
            )
            self.snapshot = record
            self.entries = (
                [entry for entry in self.entries if entry.index > record.last_included_index]
                if keeps_tail
                else []
            )
            if not keeps_tail or self.config_index <= record.last_included_index:
                self._update_config(self.entries)

    def _update_config(self, entries: Sequence[LogEntry]) -> None:
        """Update the latest configuration from the entries that may contain it."""
        if (entries is self.entries or self.config is None) and self.snapshot is not None:
            self.config, self.config_index = self.snapshot.config, self.snapshot.last_included_index
        for entry in reversed(entries):
            if entry.kind == EntryKind.CONFIG:
                self.config, self.config_index = (
                    msgspec.msgpack.decode(entry.body, type=GroupConfiguration),
                    entry.index,
                )
                return


class Disk:
    """The disk of one machine.

    `notify(process_number, event)` passes the outcome of `PersistRecords` to the process that requested it.
    """

    def __init__(
        self, event_queue: EventQueue, rng: Random, notify: Callable[[int, NodeEvent], None]
    ) -> None:
        self._event_queue, self._rng, self._notify = event_queue, rng, notify
        self.fsync_ms = (0.5, 3.0)
        self.full = False
        self.groups: dict[str, StoredGroup] = {}
        self.wiped_groups: dict[str, dict[str, StoredGroup]] = {}  # contents before each wipe, by incarnation
        self.incarnation = self._new_incarnation()
        self.syncs = 0
        self._process_number = 0  # the process that writes; -1 after a crash
        self._queued: list[PersistRecords] = []
        self._syncing: list[PersistRecords] = []

    def _new_incarnation(self) -> str:
        return f"{self._rng.getrandbits(32):08x}"

    def start(self, process_number: int) -> dict[str, PersistedGroup]:
        """Open the disk for a process and return the durable groups."""
        self._process_number = process_number
        return {
            name: PersistedGroup(stored.term, stored.vote, stored.snapshot, tuple(stored.entries))
            for name, stored in sorted(self.groups.items())
        }

    def persist(self, request: PersistRecords) -> None:
        """Queue records of the running process for the next fsync; on a full disk, report a failure."""
        if self.full:
            self._event_queue.schedule(
                self._event_queue.now + 0.1,
                self._notify,
                self._process_number,
                StorageFailure(StorageFailed(request.group, "no space left on device")),
            )
            return
        self._queued.append(request)
        if not self._syncing:
            self._sync()

    def _sync(self) -> None:
        self._syncing, self._queued = self._queued, []
        self.syncs += 1
        self._event_queue.schedule(
            self._event_queue.now + self._rng.uniform(*self.fsync_ms), self._synced, self._process_number
        )

    def _synced(self, process_number: int) -> None:
        if process_number != self._process_number:
            return
        written, self._syncing = self._syncing, []
        for request in written:
            self._write(request)
        if self._queued:
            self._sync()
        for request in written:
            self._notify(process_number, RecordsPersisted(request.group, request.sequence))

    def _write(self, request: PersistRecords) -> None:
        for record in request.records:
            if isinstance(record, DiscardGroup):
                self.groups.pop(request.group, None)
            else:
                self.groups.setdefault(request.group, StoredGroup()).apply(record)

    def crash(self) -> None:
        """End the process; a prefix of the records of the running fsync may become durable."""
        for request in self._syncing[: self._rng.randint(0, len(self._syncing))]:
            self._write(request)
        self._queued, self._syncing = [], []
        self._process_number = -1

    def wipe(self) -> None:
        """Replace the contents by an empty store with a new incarnation, as after a lost or damaged disk."""
        self.wiped_groups[self.incarnation] = self.groups
        self.groups, self.full = {}, False
        self.incarnation = self._new_incarnation()
