"""Times and limits of a cluster, which the operators' file can override; `find_problems` validates them.

The field names are keys of that file and stay.
"""

from __future__ import annotations

import msgspec

MIN_HEARTBEATS_PER_ELECTION = 3
MIN_ELECTIONS_PER_LEASE = 2
MAX_CLOCK_DRIFT = 0.5
MIN_PROBE_TIMEOUTS_PER_PERIOD = 2


class Timings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The defaults suit machines of one site, with a few ms of latency.  All times are in ms."""

    heartbeat_ms: float = 100.0  # heartbeat interval; an idle leader skips every second heartbeat
    election_ms: float = 600.0  # election timeout, randomized between this and twice this
    probe_ms: float = 500.0  # SWIM protocol period: one member is pinged per period
    probe_timeout_ms: float = 150.0  # time without an Ack until other members are asked to probe
    suspect_periods: float = 4.0  # minimum suspicion timeout in periods, times max(1, log10(members))
    repair_after_ms: float = 3000.0  # how long a member is dead before its replicas are replaced
    lease_ms: float = 2000.0  # duration of a lease on a rate or on connections
    clock_drift: float = 0.01  # bound on the relative rate difference between any two clocks
    call_ms: float = 2000.0  # deadline of a call to a leader; after it the outcome may be unknown
    snapshot_entries: int = 2000  # number of applied entries after which the log is compacted
    most_in_flight: int = 64  # open proposals of one group at its leader; further ones are rejected
    most_batch: int = 128  # maximum number of entries in one AppendEntries
    piece_bytes: int = 64 * 1024  # size of a snapshot chunk
    repair_at_once: int = 3  # concurrent replica moves in the whole cluster

    def lease_expiry_ms(self) -> float:
        """How long (ms) to wait on one clock until a lease has expired on any other clock within the drift."""
        return self.lease_ms * (1.0 + self.clock_drift) / (1.0 - self.clock_drift)


def find_problems(timings: Timings) -> list[str]:
    """Describe invalid values and combinations, one line per problem, each beginning with its key."""
    problems = [
        f"{name}: expected above 0, got {getattr(timings, name)!r}"
        for name in timings.__struct_fields__
        if not getattr(timings, name) > 0
    ]
    if timings.election_ms < MIN_HEARTBEATS_PER_ELECTION * timings.heartbeat_ms:
        problems.append("election_ms: expected three heartbeats at the least")
    if timings.clock_drift >= MAX_CLOCK_DRIFT:
        problems.append("clock_drift: expected below 0.5")
    if timings.probe_timeout_ms * MIN_PROBE_TIMEOUTS_PER_PERIOD > timings.probe_ms:
        problems.append("probe_timeout_ms: expected half of probe_ms at the most")
    if timings.lease_ms < MIN_ELECTIONS_PER_LEASE * timings.election_ms:
        problems.append(
            "lease_ms: expected two election_ms at the least, or each change of leader ends leases"
        )
    return problems
