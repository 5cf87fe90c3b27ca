"""A group's log in memory: entries behind a base, and the configurations that stand in it.

What lies at or before `base` has been put into a snapshot and dropped.  A config entry counts from where it
is appended (dissertation, 4.1), so the log knows at each index which one holds, and a cut takes a config
entry back with it.
"""

from __future__ import annotations

import msgspec

from badgeryoke.cluster.events import PersistedGroup
from badgeryoke.cluster.messages import CONFIG, GroupConfiguration, LogEntry

_decode = msgspec.msgpack.Decoder(GroupConfiguration).decode
encode_config = msgspec.msgpack.Encoder().encode


class RaftLog:
    """Entries `base + 1` to `last`.  `config` is None where nothing has told it yet: a newcomer."""

    def __init__(
        self, base: int, term: int, config: GroupConfiguration | None, entries: tuple[LogEntry, ...] = ()
    ) -> None:
        self.base_index, self.base_term = base, term
        self._configs: list[tuple[int, GroupConfiguration | None]] = [(base, config)]
        self._entries: list[LogEntry] = []
        for entry in entries:
            self.append(entry)

    @classmethod
    def load(cls, saved: PersistedGroup) -> RaftLog:
        """From a store; ValueError where the entries do not go on from the snapshot, or are newer than the
        term.

        Entries of an older term than the snapshot's were overtaken by it (it came from a leader that never
        had them) and are dropped, should a store have kept them; the next append writes over them.
        """
        snapshot, entries = saved.snapshot, saved.entries
        if snapshot is None:
            if entries:
                raise ValueError("entries without a snapshot before them")
            return cls(0, 0, None)
        if entries and entries[0].term < snapshot.last_included_term:
            entries = ()
        for at, entry in enumerate(entries, snapshot.last_included_index + 1):
            if entry.index != at or entry.term > saved.current_term:
                raise ValueError(
                    f"entry {at}: found index {entry.index} of term {entry.term} in term {saved.current_term}"
                )
        return cls(snapshot.last_included_index, snapshot.last_included_term, snapshot.config, entries)

    @property
    def last_index(self) -> int:
        """The last index."""
        return self.base_index + len(self._entries)

    @property
    def config(self) -> GroupConfiguration | None:
        """As of the last index."""
        return self._configs[-1][1]

    @property
    def config_index(self) -> int:
        """Where the last configuration stands."""
        return self._configs[-1][0]

    def config_at(self, index: int) -> GroupConfiguration | None:
        """As of an index, which is `base` or behind it."""
        return next(config for at, config in reversed(self._configs) if at <= index)

    def term_at(self, index: int) -> int:
        """Of the entry there; 0 where there is none."""
        if index == self.base_index:
            return self.base_term
        at = index - self.base_index - 1
        return self._entries[at].term if 0 <= at < len(self._entries) else 0

    def entry_at(self, index: int) -> LogEntry:
        """The entry there."""
        return self._entries[index - self.base_index - 1]

    def entries_from(self, index: int, most: int, most_bytes: int) -> tuple[LogEntry, ...]:
        """Entries from an index on: at most so many and so long in all, but one at the least where there
        is one."""
        at = index - self.base_index - 1
        found = self._entries[at : at + most]
        size = 0
        for count, entry in enumerate(found):
            size += len(entry.body)
            if size > most_bytes and count:
                return tuple(found[:count])
        return tuple(found)

    def first_of_term(self, index: int, least: int) -> int:
        """The first index of the same term as the entry there, not before `least`."""
        term = self.term_at(index)
        while index > least and self.term_at(index - 1) == term:
            index -= 1
        return index

    def append(self, entry: LogEntry) -> None:
        """At the end."""
        self._entries.append(entry)
        if entry.kind == CONFIG:
            self._configs.append((entry.index, _decode(entry.body)))

    def truncate_from(self, index: int) -> None:
        """Drop what lies at or behind an index."""
        del self._entries[index - self.base_index - 1 :]
        while self._configs[-1][0] >= index > self.base_index:
            self._configs.pop()

    def compact_up_to(self, index: int) -> None:
        """Drop what lies at or before an index."""
        config, term = self.config_at(index), self.term_at(index)
        del self._entries[: index - self.base_index]
        self.base_index, self.base_term = index, term
        self._configs = [(index, config)] + [held for held in self._configs if held[0] > index]
