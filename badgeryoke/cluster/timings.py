"""Times and bounds of a cluster; the operators' file can change them, and `find_problems` names what does not fit.

The names of the fields are keys of that file and stay.
"""

from __future__ import annotations

import msgspec

MIN_HEARTBEATS_PER_ELECTION = 3
MIN_ELECTIONS_PER_LEASE = 2
MAX_CLOCK_DRIFT = 0.5
MIN_PROBE_TIMEOUTS_PER_PERIOD = 2


class Timings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Defaults for machines of one site (some ms apart).  All times in ms."""

    heartbeat_ms: float = 100.0  # an idle leader leaves out every second one
    election_ms: float = 600.0  # without a message of the leader; drawn from once to twice this
    probe_ms: float = 500.0  # SWIM's protocol period: one member is pinged in each
    probe_timeout_ms: float = 150.0  # before others are asked to ping it
    suspect_periods: float = 4.0  # the minimum suspicion timeout in periods, times the log of the members
    repair_after_ms: float = 3000.0  # a dead member's replicas are replaced after so long
    lease_ms: float = 2000.0  # a lease on a rate or on connections
    clock_drift: float = 0.01  # bound on a clock's rate against any other's, as a fraction
    call_ms: float = 2000.0  # for a call to a leader; then its outcome is unknown
    snapshot_entries: int = 2000  # applied entries after which the log is compacted
    most_in_flight: int = 64  # proposals of one group at its leader; more are rejected
    most_batch: int = 128  # entries of one AppendEntries
    piece_bytes: int = 64 * 1024  # of a snapshot's chunk
    repair_at_once: int = 3  # moves of replicas under way, over the whole cluster

    def outlast(self) -> float:
        """After how long (ms) by any clock within the drift a lease by another's clock has expired."""
        return self.lease_ms * (1.0 + self.clock_drift) / (1.0 - self.clock_drift)


def find_problems(made: Timings) -> list[str]:
    """What does not go together, each line with its key."""
    found = [
        f"{name}: expected above 0, got {getattr(made, name)!r}"
        for name in made.__struct_fields__
        if not getattr(made, name) > 0
    ]
    if made.election_ms < MIN_HEARTBEATS_PER_ELECTION * made.heartbeat_ms:
        found.append("election_ms: expected three heartbeats at the least")
    if made.clock_drift >= MAX_CLOCK_DRIFT:
        found.append("clock_drift: expected below 0.5")
    if made.probe_timeout_ms * MIN_PROBE_TIMEOUTS_PER_PERIOD > made.probe_ms:
        found.append("probe_timeout_ms: expected half of probe_ms at the most")
    if made.lease_ms < MIN_ELECTIONS_PER_LEASE * made.election_ms:
        found.append("lease_ms: expected two election_ms at the least, or each change of leader ends leases")
    return found
