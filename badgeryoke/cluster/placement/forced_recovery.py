"""The operators' last resort for a group that lost its majority for good: restart it from one replica's log."""

from __future__ import annotations

import math

import msgspec

from badgeryoke.cluster.events import PersistedGroup
from badgeryoke.cluster.messages import EntryKind, GroupConfiguration, LogEntry, MemberId
from badgeryoke.cluster.raft.log import RaftLog, encode_config

FORCED_TERM_INCREMENT = 1 << 20  # no member that was given up can have reached a term so much later


def force_sole_voter(
    saved: PersistedGroup, group: str, survivor: MemberId, lost: tuple[MemberId, ...], now: float
) -> PersistedGroup:
    """Make the survivor the sole voter of a group, by further entries at the end of its own log.

    `lost` has to name all the other voters that stand in this log, which makes the act idempotent: once it is
    done, or where it is meant for another state, `saved` comes back as it is.  `now` (Unix ms) is written into
    the log with it.  Raises ValueError for a log whose entries do not follow each other.

    Writes that the others acknowledged without this one may be lost.  Calls whose outcome was unknown, at the end of
    this log, are committed.  The members given up must never start again with their old folders.
    """
    log = RaftLog.load(saved)
    config = log.config
    if config is None or not lost or survivor not in config.voters:
        return saved
    if {survivor, *lost} != set(config.voters):
        return saved
    term, voters = saved.current_term + FORCED_TERM_INCREMENT, config.voters
    entries = [log.entry_at(index) for index in range(log.base_index + 1, log.last_index + 1)]
    for member in lost:  # one at a time, as every change of members
        voters = tuple(voter for voter in voters if voter != member)
        body = encode_config(GroupConfiguration(voters))
        entries.append(LogEntry(log.base_index + len(entries) + 1, term, EntryKind.CONFIG, body))
    note = msgspec.msgpack.encode(
        {"forced": group, "survivor": survivor, "lost": lost, "at_ms": math.floor(now)}
    )
    entries.append(LogEntry(log.base_index + len(entries) + 1, term, EntryKind.NOTHING, note))
    return PersistedGroup(term, survivor, saved.snapshot, tuple(entries))
