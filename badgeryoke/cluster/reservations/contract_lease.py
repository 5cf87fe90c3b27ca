"""One gateway's lease on one contract: a token bucket from which requests draw units.

The lease is a share of the contract's rate, which fills the bucket, and of its burst, which bounds the bucket.
It expires by this machine's monotonic clock, measured from before the request for it.  The start and end of a
window and the start of a new version go by the wall clock.  Rates are units a second, times monotonic ms unless
stated otherwise.

Source: leases as in Gray and Cheriton, SOSP 1989; the bucket is that of GCRA (ITU-T I.371), stored as its level.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from badgeryoke.cluster.leases.lease import EPSILON
from badgeryoke.cluster.reservations.answers import ContractFacts, LeaseAnswer
from badgeryoke.cluster.reservations.commands import RequestLease
from badgeryoke.cluster.reservations.contract import GRANT_AHEAD_MS
from badgeryoke.cluster.reservations.demand_estimate import DemandEstimate
from badgeryoke.cluster.reservations.settlement import MAX_WAIT_MS
from badgeryoke.cluster.reservations.terms import Interval
from badgeryoke.cluster.reservations.usage_slices import GroupClock, SliceCount, UsageSlices

TOLERANCE_FRACTION = 0.1  # differences below this fraction of a rate are ignored
FIRST_PAUSE_MS = 10.0  # the shortest pause between two requests for a lease
# Units that may be drawn at once while draws are paced, as time at the contract's rate.
PACING_ALLOWANCE_MS = 30.0
MAX_QUEUE_MS = 200.0  # units that may wait while the lease has its fair share, as time at the contract's rate
MAX_WAITING = 1024  # waiting requests per contract


class CustomersFrom(NamedTuple):
    """The customers of a contract from `from_ms` (Unix ms) on."""

    from_ms: float
    customers: frozenset[int]


class WaitingRequest(NamedTuple):
    """A request that waits for units."""

    deadline_ms: float
    units: float
    token: Any  # opaque; returned to the caller
    usage: SliceCount  # counts of the slice in which the request arrived


@dataclass(slots=True)
class ContractLease:
    """This gateway's lease on one contract, and the last figures about the other holders."""

    contract: str
    tenant: str
    rank: int
    facts: ContractFacts
    customers: list[CustomersFrom]
    # The lease and its bucket
    lease_number: int = 0  # 0: no lease
    share: float = 0.0
    depth: float = 0.0  # depth of the bucket, units
    level: float = 0.0  # units in the bucket
    filled_ms: float = 0.0  # when `level` was last updated
    expires_ms: float = -math.inf
    window_start_ms: float = 0.0  # Unix ms; the share fills the bucket from then on
    share_change_ms: float = 0.0  # Unix ms: when the share changes without a request; inf: already changed
    later_fraction: float = 0.0  # fraction of the share that remains from `share_change_ms` on
    # The group's last answer
    fair_share: float = 0.0
    fair_share_moved_ms: float = -math.inf  # when it last changed, because traffic moves here or away
    max_share: float = 0.0
    others_deficit: float = 0.0
    fair_depth: float = 0.0
    holders: int = 0
    # Requests for the lease
    wanted_rate: float = 0.0  # rate that the last lease request wanted
    draws_per_request: bool = True  # requests are so rare that units are drawn for each, without a share
    pending: RequestLease | None = None
    requested_ms: float = 0.0  # when `pending` was made first
    retry_ms: float = math.inf  # when to send `pending` again
    sent_ms: float = -math.inf
    rejections: int = 0  # consecutive requests that were rejected because the lease had expired
    pause_ms: float = FIRST_PAUSE_MS
    last_call_ms: float = 0.0  # duration of the last answered call
    # Requests of customers
    waiting: deque[WaitingRequest] = field(default_factory=deque)
    demand: DemandEstimate = field(default_factory=DemandEstimate)
    paced_until_ms: float = -math.inf
    drawn_units: float = 0.0  # total units drawn
    # Reports
    usage: UsageSlices = field(default_factory=UsageSlices)
    clock: GroupClock = field(default_factory=GroupClock)
    shortfalls: dict[str, float] = field(default_factory=dict)  # total units by cause
    confirmed_shortfalls: dict[str, float] = field(default_factory=dict)
    shortfalls_since: dict[str, float] = field(default_factory=dict)  # Unix ms, by cause
    next_usage_report_ms: float = 0.0
    next_shortfall_report_ms: float = 0.0

    # The contract
    # ------------------------------------------------------------------------------------

    def interval_at(self, wall: float) -> Interval | None:
        """The interval that is in force at a moment (Unix ms), or starts within GRANT_AHEAD_MS."""
        for version in reversed(self.facts.versions):
            if wall >= version.effective_from_ms:
                for interval in version.intervals:
                    if interval.start_ms - GRANT_AHEAD_MS <= wall < interval.end_ms:
                        return interval
                return None
        return None

    def contract_rate(self, wall: float) -> float:
        """The contract's rate at a moment (Unix ms)."""
        for version in reversed(self.facts.versions):
            if wall >= version.effective_from_ms:
                return version.rate
        return EPSILON

    @property
    def contract_burst(self) -> float:
        """The contract's burst, units."""
        return self.facts.versions[-1].burst

    def has_customer(self, customer: int, wall: float) -> bool:
        """Whether a customer belongs to the contract at a moment (Unix ms)."""
        return any(customer in version.customers for version in self.customers if wall >= version.from_ms)

    # The bucket
    # ------------------------------------------------------------------------------------

    def fill(self, now: float, wall: float) -> None:
        """Fill the bucket up to now; the share ends with its lease, its window or its version."""
        if now <= self.filled_ms:
            return
        end_ms = min(now, self.expires_ms)
        start_ms = min(max(self.filled_ms, now + self.window_start_ms - wall), end_ms)
        change_ms = min(max(now + self.share_change_ms - wall, start_ms), end_ms)
        share_before = self.share
        if wall >= self.share_change_ms and self.share_change_ms < math.inf:
            self.share, self.depth = self.share * self.later_fraction, self.depth * self.later_fraction
            self.share_change_ms = math.inf  # the share has changed; the next one is requested immediately
        gained = (share_before * (change_ms - start_ms) + self.share * (end_ms - change_ms)) / 1000.0
        self.level = min(self.level + max(gained, 0.0), self.depth)
        self.filled_ms = now
        if now >= self.expires_ms:
            self.empty()

    def empty(self) -> None:
        """Drop the share and the bucket."""
        self.share = self.depth = self.level = 0.0

    def draw(self, now: float, wall: float, units: float, usage: SliceCount) -> bool:
        """Draw units from the bucket, if it has them.  `usage`: the slice in which the request arrived.

        While the lease is below its fair share, the bucket has to last until the share is granted: draws are
        paced to the contract's rate."""
        paced = self.share <= 0.0 or self.lacks_share(self.wanted_rate)
        if self.level < units - EPSILON or (paced and now < self.paced_until_ms):
            return False
        paced_from_ms = max(self.paced_until_ms, now - PACING_ALLOWANCE_MS)
        self.paced_until_ms = paced_from_ms + units / self.contract_rate(wall) * 1000.0
        self.level -= units
        self.drawn_units += units
        usage.drawn_units += units
        return True

    def fits(self, units: float) -> bool:
        """Whether a request of this size can ever be served, by this bucket or the contract's whole burst."""
        return units <= max(self.depth, self.contract_burst) + EPSILON

    def lacks_share(self, wanted_rate: float) -> bool:
        """Whether the share is below both the fair share and the wanted rate."""
        min_share = min(self.fair_share, wanted_rate) * (1.0 - TOLERANCE_FRACTION) - EPSILON
        return not self.draws_per_request and self.share < min_share

    # Requests of customers
    # ------------------------------------------------------------------------------------

    def record(self, now: float, wall: float, units: float) -> None:
        """Count a request; the units drawn for it are counted in the same slice."""
        self.demand.record(now, units)
        self.usage.record(self.clock.time(now, wall), units)

    def record_shortfall(self, cause: str, units: float, wall: float) -> None:
        """Count units that were drawn and not served."""
        self.shortfalls[cause] = self.shortfalls.get(cause, 0.0) + units
        self.shortfalls_since.setdefault(cause, wall)

    def waiting_units(self) -> float:
        """Units of all waiting requests."""
        return float(sum(request.units for request in self.waiting))

    def wait(self, now: float, wall: float, units: float, token: Any) -> bool:
        """Queue the last recorded request; returns False if it would not be served in time."""
        unserved = self.draws_per_request or self.lacks_share(self.wanted_rate)
        max_units = self.contract_rate(wall) * (MAX_WAIT_MS if unserved else MAX_QUEUE_MS) / 1000.0
        fits_queue = self.waiting_units() + units <= max(max_units, units)
        if not fits_queue or len(self.waiting) >= MAX_WAITING or not self.fits(units):
            return False
        self.waiting.append(WaitingRequest(now + MAX_WAIT_MS, units, token, self.usage.current))
        return True

    def finished_waits(self, now: float, wall: float) -> Iterator[tuple[WaitingRequest, bool]]:
        """Remove the requests whose wait is over; yields each with whether its units were drawn."""
        while self.waiting:
            request = self.waiting[0]
            self.fill(now, wall)
            in_time = now <= request.deadline_ms
            was_drawn = in_time and self.draw(now, wall, request.units, request.usage)
            if not was_drawn and in_time and self.fits(request.units):
                return
            self.waiting.popleft()
            yield request, was_drawn

    def unconfirmed_cause(self) -> str | None:
        """The first cause whose shortfall has not been confirmed in full."""
        for cause, units in self.shortfalls.items():
            if units > self.confirmed_shortfalls.get(cause, 0.0):
                return cause
        return None

    # Rates and status
    # ------------------------------------------------------------------------------------

    def idle_share(self, now: float) -> float:
        """The part of the share that the tenant does not use now."""
        if self.waiting:
            return 0.0
        used = 0.0 if self.demand.has_stopped(now) else self.demand.rate(now)
        return max(self.share - used, 0.0)

    def status(self, now: float) -> dict[str, Any]:
        """The status of this lease for operators, with the keys of the management interface."""
        return {
            "part": self.share,
            "level": self.level,
            "fair": self.fair_share,
            "asked": self.demand.rate(now),
            "call_ms": self.last_call_ms,
            "waiting": self.waiting_units(),
            "holders": self.holders,
            "ends_in_ms": max(self.expires_ms - now, 0.0),
            "drawn": self.drawn_units,
            "short": dict(self.shortfalls),
        }

    # Answers
    # ------------------------------------------------------------------------------------

    def apply_grant(self, now: float, wall: float, answer: LeaseAnswer, lease_ms: float) -> None:
        """Apply the answer to the pending request."""
        self.pending, self.retry_ms = None, math.inf
        self.lease_number, self.rejections = answer.lease_number, 0
        fair_share_change = abs(answer.fair_share - self.fair_share)
        if fair_share_change > TOLERANCE_FRACTION * self.contract_rate(wall):
            self.fair_share_moved_ms = now
        self.fair_share, self.max_share = answer.fair_share, answer.max_share
        self.fair_depth, self.others_deficit = answer.fair_depth, answer.others_deficit
        self.holders = answer.holders
        self.window_start_ms, self.share_change_ms = answer.from_ms, answer.until_ms
        self.later_fraction = answer.later_fraction
        self.expires_ms = self.requested_ms + lease_ms
        self.last_call_ms = now - self.requested_ms
        if now < self.expires_ms:
            self.share, self.depth = answer.share, answer.depth
            self.level = min(self.level + answer.units, self.depth)

    def mark_expired(self, now: float, pause_ms: float) -> None:
        """Record that the group has released the lease, so that it has expired here as well; its units are lost."""
        self.pending, self.retry_ms, self.lease_number = None, math.inf, 0
        self.empty()
        self.rejections += 1
        self.pause_ms, self.sent_ms = pause_ms, now
