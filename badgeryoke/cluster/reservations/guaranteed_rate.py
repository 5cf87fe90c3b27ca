"""One contract in the state of its tenant's group: its versions, its leases and its usage."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

import msgspec

from badgeryoke.cluster.leases.lease import LeaseGrant
from badgeryoke.cluster.leases.lease_pool import MAX_HOLDERS, LeasePool
from badgeryoke.cluster.messages import MemberId
from badgeryoke.cluster.reservations.answers import LeaseAnswer
from badgeryoke.cluster.reservations.commands import OpenContract, RequestLease
from badgeryoke.cluster.reservations.contract import GRANT_AHEAD_MS
from badgeryoke.cluster.reservations.settlement import UsageTally
from badgeryoke.cluster.reservations.terms import Interval

# Processes of a holder whose sequence numbers are kept; no call stays in flight over that many restarts.
MAX_PROCESSES_PER_HOLDER = 4
ROUNDING_TOLERANCE = 1e-6  # tolerance in comparisons of sums over leases, units a second


class AnsweredRequest(NamedTuple):
    """A holder's last answered lease request, so that a repeat gets the same answer.  Stored as an array."""

    command_id: str
    answer: dict[str, Any]  # a LeaseAnswer as plain data, as it is sent and stored


class ShareChange(NamedTuple):
    """When a lease's share changes without another request (Unix ms), and the fraction that remains then."""

    at_ms: float
    later_fraction: float


@dataclass(slots=True)
class GuaranteedRate:
    """One contract in the state of its tenant's group."""

    tenant: str
    version: int
    rate: float  # units a second
    intervals: list[Interval]
    pool: LeasePool
    pending: OpenContract | None = None
    last_older_lease_number: int = 0  # the highest lease number granted before this version
    answers: dict[MemberId, AnsweredRequest] = field(default_factory=dict)
    # The last sequence number of each process of a holder; the newest process is last.
    sequences: dict[MemberId, dict[str, int]] = field(default_factory=dict)
    tally: UsageTally = field(default_factory=UsageTally)

    def is_stale(self, command: RequestLease) -> bool:
        """Whether a later call of that holder was already applied; if not, record this one as the last.
        Sequence numbers of holders without a lease may be dropped, and so are those of all but the last
        `MAX_PROCESSES_PER_HOLDER` processes of a holder."""
        if not command.sequence:
            return False
        sequences_by_process = self.sequences.pop(command.holder, {})
        stale = command.process in sequences_by_process and (
            command.process != next(reversed(sequences_by_process))
            or command.sequence <= sequences_by_process[command.process]
        )
        if not stale:
            sequences_by_process[command.process] = command.sequence
            if len(sequences_by_process) > MAX_PROCESSES_PER_HOLDER:
                del sequences_by_process[next(iter(sequences_by_process))]
        self.sequences[command.holder] = sequences_by_process
        if len(self.sequences) > MAX_HOLDERS:
            leases = self.pool.leases
            evicted = next((holder for holder in self.sequences if holder not in leases), command.holder)
            del self.sequences[evicted]
        return stale

    def drained(self) -> bool:
        """Whether no lease of an earlier version remains."""
        within_target = self.pool.granted() <= self.pool.target + ROUNDING_TOLERANCE
        return within_target and all(
            lease.number > self.last_older_lease_number for lease in self.pool.leases.values()
        )

    def interval_at(self, at_ms: float) -> Interval | None:
        """The interval for which leases are granted at a moment."""
        return next(
            (
                interval
                for interval in self.intervals
                if interval.start_ms - GRANT_AHEAD_MS <= at_ms < interval.end_ms
            ),
            None,
        )

    def next_change(self, interval: Interval) -> ShareChange:
        """The next change within an interval: its end, or the start of the pending version."""
        pending = self.pending
        if pending is None or pending.effective_from_ms >= interval.end_ms:
            return ShareChange(interval.end_ms, 0.0)
        at_ms = pending.effective_from_ms
        in_force = any(start_ms <= at_ms < end_ms for start_ms, end_ms in pending.intervals)
        return ShareChange(at_ms, min(pending.rate / self.rate, 1.0) if in_force else 0.0)

    def lease_answer(self, at_ms: float, interval: Interval | None, grant: LeaseGrant) -> LeaseAnswer:
        """The answer to a granted lease request.  `interval`: the interval that the lease is for."""
        change = self.next_change(interval) if interval is not None else ShareChange(0.0, 0.0)
        return LeaseAnswer(
            lease_number=grant.number,
            share=grant.share,
            units=grant.units,
            depth=grant.depth,
            fair_share=grant.fair_share,
            max_share=grant.max_share,
            others_deficit=grant.others_deficit,
            fair_depth=grant.fair_depth,
            slack=grant.slack,
            holders=grant.holders,
            version=self.version,
            from_ms=interval.start_ms if interval is not None else 0.0,
            until_ms=change.at_ms,
            later_fraction=change.later_fraction,
            at_ms=at_ms,
            free_units=self.pool.free_units,
        )

    def dump(self) -> list[Any]:
        """The contract as plain data, stored in a snapshot after its name."""
        return [
            self.tenant,
            self.version,
            self.rate,
            self.intervals,
            self.pool.dump(),
            msgspec.to_builtins(self.pending),
            self.last_older_lease_number,
            self.answers,
            self.sequences,
            self.tally.dump(),
        ]

    @classmethod
    def load(cls, record: list[Any]) -> GuaranteedRate:
        """Load the result of `dump`."""
        (
            tenant,
            version,
            rate,
            intervals,
            pool,
            pending,
            last_older_lease_number,
            answers,
            sequences,
            tally,
        ) = record
        return cls(
            tenant,
            version,
            rate,
            [Interval(start_ms, end_ms) for start_ms, end_ms in intervals],
            LeasePool.load(pool),
            msgspec.convert(pending, OpenContract | None),
            last_older_lease_number,
            {holder: AnsweredRequest(*answered) for holder, answered in answers.items()},
            sequences,
            UsageTally.load(tally),
        )
