"""One gateway's lease on one contract: a token bucket that its requests draw from.

The lease is a share of the contract's rate, which fills the bucket, and of its burst, which bounds it.  It
expires by this machine's monotonic clock, counted from before it was requested.  A window's start and end and
the moment of another version go by the wall clock.  Rates are units a second, times monotonic ms where not
stated otherwise.

Source: leases as in Gray and Cheriton, SOSP 1989; the bucket is GCRA's (ITU-T I.371) with its level kept.
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

TOLERANCE_FRACTION = 0.1  # differences of a rate below this fraction of it are not acted on
FIRST_PAUSE_MS = 10.0  # the shortest pause between two requests for a lease
PACING_ALLOWANCE_MS = 30.0  # of units at the contract's rate that may be drawn at once while paced
MAX_QUEUE_MS = 200.0  # of the contract's rate: requests that may wait while nothing is lacking
MAX_WAITING = 1024  # requests of one contract


class CustomersFrom(NamedTuple):
    """The customers of a contract from a moment (Unix ms) on."""

    from_ms: float
    customers: frozenset[int]


class WaitingRequest(NamedTuple):
    """A request that waits for units."""

    deadline_ms: float
    units: float
    token: Any  # the caller's own; it is given back and never looked at
    usage: SliceCount  # the slice in which it was requested


@dataclass(slots=True)
class ContractLease:
    """What this gateway holds of one contract, and what it knows of the other holders."""

    contract: str
    tenant: str
    rank: int
    facts: ContractFacts
    customers: list[CustomersFrom]
    # The lease and its bucket
    lease_number: int = 0  # 0: none
    share: float = 0.0
    depth: float = 0.0  # of the bucket, units
    level: float = 0.0  # units in the bucket
    filled_ms: float = 0.0  # up to when it was filled
    expires_ms: float = -math.inf
    from_ms: float = 0.0  # Unix ms
    until_ms: float = 0.0  # Unix ms: when the share changes by itself; inf: it has changed
    later_fraction: float = 0.0  # of the share, from `until_ms` on
    # What the group answered last
    fair_share: float = 0.0
    fair_share_moved_ms: float = -math.inf  # when it last changed: the traffic moves here, or away
    max_share: float = 0.0
    others_deficit: float = 0.0
    fair_depth: float = 0.0
    holders: int = 0
    # Requests for the lease
    wanted_rate: float = 0.0  # as last requested
    draws_per_request: bool = True  # requests are so few that units are drawn for each, without any share
    pending: RequestLease | None = None
    requested_ms: float = 0.0  # when `pending` was made first
    retry_ms: float = math.inf  # when to send it again
    sent_ms: float = -math.inf
    rejections: int = 0  # times in a row that its lease had expired
    pause_ms: float = FIRST_PAUSE_MS
    call_ms: float = 0.0  # of the last answered call
    # Requests of customers
    waiting: deque[WaitingRequest] = field(default_factory=deque)
    demand: DemandEstimate = field(default_factory=DemandEstimate)
    paced_until_ms: float = -math.inf
    drawn: float = 0.0  # units, in all
    # Reports
    usage: UsageSlices = field(default_factory=UsageSlices)
    clock: GroupClock = field(default_factory=GroupClock)
    shortfalls: dict[str, float] = field(default_factory=dict)  # units by cause, in all
    confirmed_shortfalls: dict[str, float] = field(default_factory=dict)
    shortfalls_since: dict[str, float] = field(default_factory=dict)  # Unix ms, by cause
    next_usage_report_ms: float = 0.0
    next_shortfall_report_ms: float = 0.0

    # The contract
    # ------------------------------------------------------------------------------------

    def interval_at(self, wall: float) -> Interval | None:
        """The interval that holds at a moment (Unix ms), or is about to."""
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
        """Whether a customer is the tenant's at a moment (Unix ms)."""
        return any(customer in known.customers for known in self.customers if wall >= known.from_ms)

    # The bucket
    # ------------------------------------------------------------------------------------

    def fill(self, now: float, wall: float) -> None:
        """Bring the bucket up to now; a share ends by itself with its lease, its window or its version."""
        if now <= self.filled_ms:
            return
        end_ms = min(now, self.expires_ms)
        start_ms = min(max(self.filled_ms, now + self.from_ms - wall), end_ms)
        change_ms = min(max(now + self.until_ms - wall, start_ms), end_ms)
        share_before = self.share
        if wall >= self.until_ms and self.until_ms < math.inf:
            self.share, self.depth = self.share * self.later_fraction, self.depth * self.later_fraction
            self.until_ms = math.inf  # it has changed; what holds from here on is requested at once
        gained = (share_before * (change_ms - start_ms) + self.share * (end_ms - change_ms)) / 1000.0
        self.level = min(self.level + max(gained, 0.0), self.depth)
        self.filled_ms = now
        if now >= self.expires_ms:
            self.empty()

    def empty(self) -> None:
        """Nothing is held any more."""
        self.share = self.depth = self.level = 0.0

    def draw(self, now: float, wall: float, units: float, usage: SliceCount) -> bool:
        """Take units from the bucket, if they are there.  `usage`: the slice in which they were requested.

        Without its fair share yet, the bucket has to last until that comes: it is drawn from no faster
        than the contract's rate."""
        paced = self.share <= 0.0 or self.lacks_share(self.wanted_rate)
        if self.level < units - EPSILON or (paced and now < self.paced_until_ms):
            return False
        paced_from_ms = max(self.paced_until_ms, now - PACING_ALLOWANCE_MS)
        self.paced_until_ms = paced_from_ms + units / self.contract_rate(wall) * 1000.0
        self.level -= units
        self.drawn += units
        usage.drawn += units
        return True

    def fits(self, units: float) -> bool:
        """Whether a request can be served from this bucket, or from the whole burst."""
        return units <= max(self.depth, self.contract_burst) + EPSILON

    def lacks_share(self, wanted_rate: float) -> bool:
        """Whether it has less than its fair share of what it wants."""
        due = min(self.fair_share, wanted_rate) * (1.0 - TOLERANCE_FRACTION) - EPSILON
        return not self.draws_per_request and self.share < due

    # Requests of customers
    # ------------------------------------------------------------------------------------

    def record(self, now: float, wall: float, units: float) -> None:
        """Count a request; what is drawn for it is counted in the same slice of time."""
        self.demand.record(now, units)
        self.usage.record(self.clock.time(now, wall), units)

    def record_shortfall(self, cause: str, units: float, wall: float) -> None:
        """Count units that were drawn and not served."""
        self.shortfalls[cause] = self.shortfalls.get(cause, 0.0) + units
        self.shortfalls_since.setdefault(cause, wall)

    def waiting_units(self) -> float:
        """Units of all requests that wait."""
        return float(sum(request.units for request in self.waiting))

    def wait(self, now: float, wall: float, units: float, token: Any) -> bool:
        """Let the last request wait for units, in order; False where it would not be served in time."""
        unserved = self.draws_per_request or self.lacks_share(self.wanted_rate)
        max_units = self.contract_rate(wall) * (MAX_WAIT_MS if unserved else MAX_QUEUE_MS) / 1000.0
        fits_queue = self.waiting_units() + units <= max(max_units, units)
        if not fits_queue or len(self.waiting) >= MAX_WAITING or not self.fits(units):
            return False
        self.waiting.append(WaitingRequest(now + MAX_WAIT_MS, units, token, self.usage.current))
        return True

    def finished_waits(self, now: float, wall: float) -> Iterator[tuple[WaitingRequest, bool]]:
        """The requests whose wait is over, each with whether its units were drawn."""
        while self.waiting:
            request = self.waiting[0]
            self.fill(now, wall)
            in_time = now <= request.deadline_ms
            drawn = in_time and self.draw(now, wall, request.units, request.usage)
            if not drawn and in_time and self.fits(request.units):
                return
            self.waiting.popleft()
            yield request, drawn

    def unconfirmed_cause(self) -> str | None:
        """The first cause of a shortfall that was not reported in full."""
        for cause, units in self.shortfalls.items():
            if units > self.confirmed_shortfalls.get(cause, 0.0):
                return cause
        return None

    # Figures
    # ------------------------------------------------------------------------------------

    def idle_share(self, now: float) -> float:
        """What of the share the tenant does not use now."""
        if self.waiting:
            return 0.0
        used = 0.0 if self.demand.has_stopped(now) else self.demand.rate(now)
        return max(self.share - used, 0.0)

    def status(self, now: float) -> dict[str, Any]:
        """What operators are shown: plain data, by the keys of the management interface."""
        return {
            "part": self.share,
            "level": self.level,
            "fair": self.fair_share,
            "asked": self.demand.rate(now),
            "call_ms": self.call_ms,
            "waiting": self.waiting_units(),
            "holders": self.holders,
            "ends_in_ms": max(self.expires_ms - now, 0.0),
            "drawn": self.drawn,
            "short": dict(self.shortfalls),
        }

    # Answers
    # ------------------------------------------------------------------------------------

    def renewed(self, now: float, wall: float, answer: LeaseAnswer, lease_ms: float) -> None:
        """Take in an answer to the pending request."""
        self.pending, self.retry_ms = None, math.inf
        self.lease_number, self.rejections = answer.lease_number, 0
        moved = abs(answer.fair_share - self.fair_share)
        if moved > TOLERANCE_FRACTION * self.contract_rate(wall):
            self.fair_share_moved_ms = now
        self.fair_share, self.max_share = answer.fair_share, answer.max_share
        self.fair_depth, self.others_deficit = answer.fair_depth, answer.others_deficit
        self.holders = answer.holders
        self.from_ms, self.until_ms = answer.from_ms, answer.until_ms
        self.later_fraction = answer.later_fraction
        self.expires_ms = self.requested_ms + lease_ms
        self.call_ms = now - self.requested_ms
        if now < self.expires_ms:
            self.share, self.depth = answer.share, answer.depth
            self.level = min(self.level + answer.units, self.depth)

    def expired(self, now: float, pause_ms: float) -> None:
        """The lease has expired at the group, and so here; its units are lost."""
        self.pending, self.retry_ms, self.lease_number = None, math.inf, 0
        self.empty()
        self.rejections += 1
        self.pause_ms, self.sent_ms = pause_ms, now
