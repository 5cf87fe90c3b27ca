"""Forced recovery of a group that has lost its majority for good: restarts it from one replica's log.

This is the operators' last resort, as it may lose acknowledged writes.
"""

from __future__ import annotations

import math

import msgspec

from badgeryoke.cluster.events import PersistedGroup
from badgeryoke.cluster.messages import EntryKind, GroupConfiguration, LogEntry, MemberId
from badgeryoke.cluster.raft.log import RaftLog, encode_config

FORCED_TERM_INCREMENT = 1 << 20  # larger than any lead in terms that an abandoned member can have


def force_sole_voter(
    saved: PersistedGroup, group: str, survivor: MemberId, lost: tuple[MemberId, ...], now: float
) -> PersistedGroup:
    """Make the survivor the sole voter of a group, by appending entries to its own log.

    `lost` must name all other voters in this log's configuration.  This makes the call idempotent: if the recovery is
    already done, or the configuration is another one, `saved` is returned unchanged.  `now` (Unix ms) is written into
    the log.  Raises ValueError if the entries of the log do not follow on from each other.

    Writes that the lost members acknowledged without the survivor may be lost.  Entries at the end of this log whose
    outcome was unknown are committed.  The lost members must never start again with their old folders.
    """
    log = RaftLog.load(saved)
    config = log.config
    if config is None or not lost or survivor not in config.voters:
        return saved
    if {survivor, *lost} != set(config.voters):
        return saved
    term, voters = saved.current_term + FORCED_TERM_INCREMENT, config.voters
    entries = [log.entry_at(index) for index in range(log.base_index + 1, log.last_index + 1)]
    for member in lost:  # one at a time, as in every membership change
        voters = tuple(voter for voter in voters if voter != member)
        body = encode_config(GroupConfiguration(voters))
        entries.append(LogEntry(log.base_index + len(entries) + 1, term, EntryKind.CONFIG, body))
    note = msgspec.msgpack.encode(
        {"forced": group, "survivor": survivor, "lost": lost, "at_ms": math.floor(now)}
    )
    entries.append(LogEntry(log.base_index + len(entries) + 1, term, EntryKind.NOTHING, note))
    return PersistedGroup(term, survivor, saved.snapshot, tuple(entries))
