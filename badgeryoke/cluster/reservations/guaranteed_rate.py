"""One contract as the group of its tenant applies it: its versions, its leases and its usage."""

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

MAX_PROCESSES_PER_HOLDER = 4  # whose calls are told apart; no call outlives that many restarts
ROUNDING_TOLERANCE = 1e-6  # units a second, of sums over leases


class AnsweredRequest(NamedTuple):
    """The last answered lease request of a holder, to answer a repeat alike.  Stored as an array."""

    command_id: str
    answer: dict[str, Any]  # a LeaseAnswer as plain data, as it is sent and stored


class ShareChange(NamedTuple):
    """When a lease's share changes by itself (Unix ms), and the fraction of it that is left then."""

    at_ms: float
    later_fraction: float


@dataclass(slots=True)
class GuaranteedRate:
    """One contract as its tenant's group applies it."""

    tenant: str
    version: int
    rate: float  # units a second
    intervals: list[Interval]
    pool: LeasePool
    pending: OpenContract | None = None
    last_lease_before: int = 0  # the last lease's number when this version came into force
    answers: dict[MemberId, AnsweredRequest] = field(default_factory=dict)
    # The last sequence number of each process of a holder; the newest process is last.
    sequences: dict[MemberId, dict[str, int]] = field(default_factory=dict)
    tally: UsageTally = field(default_factory=UsageTally)

    def is_stale(self, command: RequestLease) -> bool:
        """Whether a later call of that holder was applied already; if not, this one is noted as the last.
        A holder without a lease may be forgotten and begins anew, and so does a process before the last
        `MAX_PROCESSES_PER_HOLDER`."""
        if not command.sequence:
            return False
        known = self.sequences.pop(command.holder, {})
        stale = command.process in known and (
            command.process != next(reversed(known)) or command.sequence <= known[command.process]
        )
        if not stale:
            known[command.process] = command.sequence
            if len(known) > MAX_PROCESSES_PER_HOLDER:
                del known[next(iter(known))]
        self.sequences[command.holder] = known
        if len(self.sequences) > MAX_HOLDERS:
            leases = self.pool.leases
            forgotten = next((who for who in self.sequences if who not in leases), command.holder)
            del self.sequences[forgotten]
        return stale

    def drained(self) -> bool:
        """Whether no lease of an earlier version is left."""
        within_target = self.pool.granted() <= self.pool.target + ROUNDING_TOLERANCE
        return within_target and all(
            lease.number > self.last_lease_before for lease in self.pool.leases.values()
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
        """The next one within an interval: its end, or the pending version's moment."""
        pending = self.pending
        if pending is None or pending.effective_from_ms >= interval.end_ms:
            return ShareChange(interval.end_ms, 0.0)
        at_ms = pending.effective_from_ms
        holds = any(start_ms <= at_ms < end_ms for start_ms, end_ms in pending.intervals)
        return ShareChange(at_ms, min(pending.rate / self.rate, 1.0) if holds else 0.0)

    def lease_answer(self, at_ms: float, interval: Interval | None, grant: LeaseGrant) -> LeaseAnswer:
        """The answer to a lease request that was granted.  `interval`: the one that it is for."""
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
        """Plain data, as it is stored in a snapshot behind the contract's name."""
        return [
            self.tenant,
            self.version,
            self.rate,
            self.intervals,
            self.pool.dump(),
            msgspec.to_builtins(self.pending),
            self.last_lease_before,
            self.answers,
            self.sequences,
            self.tally.dump(),
        ]

    @classmethod
    def load(cls, record: list[Any]) -> GuaranteedRate:
        """The reverse of `dump`."""
        tenant, version, rate, intervals, pool, pending, last_lease_before, answers, sequences, tally = record
        return cls(
            tenant,
            version,
            rate,
            [Interval(start_ms, end_ms) for start_ms, end_ms in intervals],
            LeasePool.load(pool),
            msgspec.convert(pending, OpenContract | None),
            last_lease_before,
            {holder: AnsweredRequest(*answered) for holder, answered in answers.items()},
            sequences,
            UsageTally.load(tally),
        )
