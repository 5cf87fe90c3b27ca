"""A group's log in memory: the entries after its compacted part, and the configurations in force.

Entries up to `base_index` have been replaced by a snapshot (paper, 7).  A configuration is in force as soon as its
entry is appended (dissertation, 4.1), so the log records from which index on each configuration is in force, and
truncating a configuration entry restores the configuration before it.
"""

from __future__ import annotations

import msgspec

from badgeryoke.cluster.events import PersistedGroup
from badgeryoke.cluster.messages import EntryKind, GroupConfiguration, LogEntry

_encoder = msgspec.msgpack.Encoder()
_decode_config = msgspec.msgpack.Decoder(GroupConfiguration).decode


def encode_config(config: GroupConfiguration) -> bytes:
    """The body of an `EntryKind.CONFIG` entry."""
    return _encoder.encode(config)


class RaftLog:
    """Entries `base_index + 1` to `last_index`.

    `config` is None while no configuration is known: at a new member that has no snapshot yet.
    """

    def __init__(
        self,
        base_index: int,
        base_term: int,
        config: GroupConfiguration | None,
        entries: tuple[LogEntry, ...] = (),
    ) -> None:
        self.base_index, self.base_term = base_index, base_term
        self._configs: list[tuple[int, GroupConfiguration | None]] = [(base_index, config)]
        self._entries: list[LogEntry] = []
        for entry in entries:
            self.append(entry)

    @classmethod
    def load(cls, saved: PersistedGroup) -> RaftLog:
        """Restore the log from stable storage.

        Raises ValueError if the entries do not follow on from the snapshot, or have a newer term than the saved one.

        Entries of an older term than the snapshot's are dropped: the snapshot came from a leader that never had
        them, and the next append overwrites them in storage.
        """
        snapshot, entries = saved.snapshot, saved.entries
        if snapshot is None:
            if entries:
                raise ValueError("entries without a snapshot before them")
            return cls(0, 0, None)
        if entries and entries[0].term < snapshot.last_included_term:
            entries = ()
        for index, entry in enumerate(entries, snapshot.last_included_index + 1):
            if entry.index != index or entry.term > saved.current_term:
                found = f"index {entry.index} of term {entry.term}"
                raise ValueError(f"entry {index}: found {found} in term {saved.current_term}")
        return cls(snapshot.last_included_index, snapshot.last_included_term, snapshot.config, entries)

    @property
    def last_index(self) -> int:
        """The index of the last entry, or `base_index` if there is none."""
        return self.base_index + len(self._entries)

    @property
    def config(self) -> GroupConfiguration | None:
        """The configuration in force after the last entry."""
        return self._configs[-1][1]

    @property
    def config_index(self) -> int:
        """The index of the configuration in force."""
        return self._configs[-1][0]

    def config_at(self, index: int) -> GroupConfiguration | None:
        """The configuration in force at an index that is not before `base_index`."""
        return next(config for from_index, config in reversed(self._configs) if from_index <= index)

    def term_at(self, index: int) -> int:
        """The term of the entry at an index; 0 if the log has no entry there."""
        if index == self.base_index:
            return self.base_term
        position = self._position(index)
        return self._entries[position].term if 0 <= position < len(self._entries) else 0

    def entry_at(self, index: int) -> LogEntry:
        """The entry at an index after `base_index`."""
        return self._entries[self._position(index)]

    def entries_from(self, index: int, max_entries: int, max_bytes: int) -> tuple[LogEntry, ...]:
        """Entries from an index on, within both bounds; the first entry is included even if it exceeds `max_bytes`."""
        position = self._position(index)
        entries = self._entries[position : position + max_entries]
        size_bytes = 0
        for count, entry in enumerate(entries):
            size_bytes += len(entry.body)
            if size_bytes > max_bytes and count:
                return tuple(entries[:count])
        return tuple(entries)

    def first_of_term(self, index: int, min_index: int) -> int:
        """The first index with the same term as the entry at `index`, but not before `min_index`."""
        term = self.term_at(index)
        while index > min_index and self.term_at(index - 1) == term:
            index -= 1
        return index

    def append(self, entry: LogEntry) -> None:
        """Add an entry at the end."""
        self._entries.append(entry)
        if entry.kind == EntryKind.CONFIG:
            self._configs.append((entry.index, _decode_config(entry.body)))

    def truncate_from(self, index: int) -> None:
        """Drop the entries from an index on."""
        del self._entries[self._position(index) :]
        while self._configs[-1][0] >= index > self.base_index:
            self._configs.pop()

    def compact_up_to(self, index: int) -> None:
        """Drop the entries up to an index; a snapshot contains their effect."""
        config, term = self.config_at(index), self.term_at(index)
        del self._entries[: index - self.base_index]
        self.base_index, self.base_term = index, term
        later_configs = [(from_index, later) for from_index, later in self._configs if from_index > index]
        self._configs = [(index, config), *later_configs]

    def _position(self, index: int) -> int:
        return index - self.base_index - 1
