"""Times and bounds of a fleet, ms; the operators' file can change them, and `check` names what does not go
together."""

from __future__ import annotations

import msgspec


class Timings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Defaults for machines of one site (some ms apart)."""

    # where a leader has nothing new, one falls out of two (raft/log_replication.py, MIN_HEARTBEATS_PER_ELECTION_TIMEOUT)
    heartbeat_ms: float = 100.0
    election_ms: float = 600.0  # without a leader's word; drawn from once to twice this
    probe_ms: float = 500.0  # one member is probed in so long (SWIM's protocol period)
    probe_timeout_ms: float = 150.0  # before others are asked to probe for it
    suspect_periods: float = 4.0  # a suspect is dead after so many periods, times the log of the members
    repair_after_ms: float = 3000.0  # a dead member's copies are made again after so long
    lease_ms: float = 2000.0  # a lease on a rate or on connections
    clock_drift: float = 0.01  # bound on a clock's rate against any other's, as a part
    call_ms: float = 2000.0  # for a call to a leader; then its outcome is unknown
    snapshot_entries: int = 2000  # applied entries after which the log is cut
    most_in_flight: int = 64  # proposals of one group at its leader; more are refused
    most_batch: int = 128  # entries of one append
    piece_bytes: int = 64 * 1024  # of a snapshot
    repair_at_once: int = 3  # copies made at one time, over the whole fleet

    def outlast(self) -> float:
        """After so long by any clock within the drift, a lease of `lease_ms` by another's clock is over."""
        return self.lease_ms * (1.0 + self.clock_drift) / (1.0 - self.clock_drift)


def faults(made: Timings) -> list[str]:
    """What does not go together, each line with its key."""
    found = [
        f"{name}: expected above 0, got {getattr(made, name)!r}"
        for name in made.__struct_fields__
        if not getattr(made, name) > 0
    ]
    if made.election_ms < 3 * made.heartbeat_ms:
        found.append("election_ms: expected three heartbeats at the least")
    if made.clock_drift >= 0.5:
        found.append("clock_drift: expected below 0.5")
    if made.probe_timeout_ms * 2 > made.probe_ms:
        found.append("probe_timeout_ms: expected half of probe_ms at the most")
    if made.lease_ms < 2 * made.election_ms:
        found.append("lease_ms: expected two election_ms at the least, or each change of leader ends leases")
    return found
