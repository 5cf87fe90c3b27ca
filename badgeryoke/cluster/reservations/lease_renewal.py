"""When a gateway renews its lease on a contract, and which amounts it keeps and wants.

A tenant's traffic moves between gateways every few seconds, and its rate has to follow within about 100 ms:

- a gateway that the traffic has left returns its share after a few mean gaps without a request;
- a gateway that the traffic has moved to requests a share immediately, and again until it has its fair share;
- until then it serves requests from its bucket: every gateway keeps an even share of the contract's burst even
  without a share of the rate, and the gateway that the traffic left fills its bucket and keeps it in case the
  traffic returns.

The order is that of `badgeryoke.cluster.leases.lease_pool`: use less, return, be granted, use more.
Rates are units a second, times monotonic ms.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

from badgeryoke.cluster.leases.fair_shares import STANDBY_FRACTION
from badgeryoke.cluster.leases.lease import EPSILON
from badgeryoke.cluster.reservations.contract_lease import (
    FIRST_PAUSE_MS,
    TOLERANCE_FRACTION,
    ContractLease,
)
from badgeryoke.cluster.reservations.demand_estimate import IDLE_MS

# Interval between renewals of a share in use, or lent, while there are other holders.
SHARED_RENEWAL_MS = 120.0
UNSHARED_RENEWALS_PER_LEASE = 3.0  # renewals by a sole holder, or of a lease that is not in use
MAX_DEFICIT_PAUSE_MS = 20.0  # longest pause between two requests while the share is below the fair share
MAX_WAITING_PAUSE_MS = 40.0  # longest pause between two requests while customers' requests wait
PAUSE_GROWTH_FACTOR = 1.5
MAX_DRAW_CALL_MS = 100.0  # with slower calls, units for a waiting request would arrive too late
MIN_DRAW_GAP_MS = 50.0  # mean gap between requests above which units are drawn per request
MIN_SHARE_REQUESTS = 3  # with fewer requests so far, units are drawn per request
# A request is urgent if the last requested rate is below this fraction of the wanted one.
INCREASE_FRACTION = 0.7
STEADY_FACTOR = 2.0  # a larger change of the wanted rate resets the pause to the shortest one
# How long renewals stay urgent after the last request, while the traffic may have moved to another gateway, and
# after a change of the fair share.
MOVE_WATCH_MS = 250.0
BUSY_BUCKET_FRACTION = 0.3  # fraction of the depth of a bucket in use above which units are returned


@dataclass(frozen=True, slots=True)
class Renewal:
    """A planned request for a lease, before the bucket is shrunk for it."""

    kept_rate: float
    wanted_rate: float
    takes_spare: bool
    keeps_bucket: bool  # False: the window has ended and everything is returned
    urgent: bool
    due_ms: float


@dataclass(frozen=True, slots=True)
class BucketChange:
    """The amounts of the bucket that a lease request states, in units."""

    kept_depth: float
    returned_units: float
    wanted_units: float
    min_depth: float


class KeptBucket(NamedTuple):
    """The depth that a holder keeps of its bucket, and the units that it returns."""

    depth: float
    returned_units: float


def plan_renewal(now: float, wall: float, lease: ContractLease, lease_ms: float) -> Renewal | None:
    """The next request and when it is due; None if there is nothing to request.  The lease must have been
    filled up to now.  Also sets `lease.draws_per_request`, which affects customers' requests as well."""
    if lease.interval_at(wall) is None:
        return _plan_return(now, lease, lease_ms)
    rate, silence_ms = lease.contract_rate(wall), now - lease.demand.last_ms
    wanted_rate = _wanted_rate(now, silence_ms, rate, lease)
    lease.draws_per_request = lease.last_call_ms <= MAX_DRAW_CALL_MS and (
        lease.demand.requests < MIN_SHARE_REQUESTS or lease.demand.mean_gap_ms > MIN_DRAW_GAP_MS
    )
    excess = lease.share - lease.max_share
    urgent = _is_urgent(now, silence_ms, wanted_rate, lease) or excess > TOLERANCE_FRACTION * rate
    shared = lease.holders > 1 or lease.lease_number == 0
    in_use = max(lease.share, wanted_rate, lease.fair_share) > EPSILON
    period_ms = SHARED_RENEWAL_MS if shared and in_use else lease_ms / UNSHARED_RENEWALS_PER_LEASE
    idle = silence_ms >= IDLE_MS
    # Surplus rate stays with the holder that last used it, and is spread evenly once the tenant is idle.
    increase = max(wanted_rate - lease.wanted_rate, 0.0)
    kept_rate = lease.fair_share if idle else lease.share - max(excess, 0.0) + increase
    return Renewal(
        kept_rate=min(lease.share, max(kept_rate, 0.0)),
        wanted_rate=wanted_rate,
        takes_spare=idle or wanted_rate > 0.0,
        keeps_bucket=True,
        urgent=urgent,
        due_ms=lease.sent_ms + (min(lease.pause_ms, period_ms) if urgent else period_ms),
    )


def _plan_return(now: float, lease: ContractLease, lease_ms: float) -> Renewal | None:
    """The request that returns the lease after the end of its window."""
    renewed_ms = lease.sent_ms + lease_ms / UNSHARED_RENEWALS_PER_LEASE
    if lease.lease_number == 0 or (lease.share <= 0.0 and now < renewed_ms):
        return None
    return Renewal(0.0, 0.0, takes_spare=False, keeps_bucket=False, urgent=False, due_ms=now)


def _wanted_rate(now: float, silence_ms: float, rate: float, lease: ContractLease) -> float:
    """The rate to request: the demand estimate or the waiting units, whichever is higher, or the waiting units
    alone once the traffic has stopped; at most the contract's rate.  A stop takes effect immediately if other
    holders are below their fair shares, otherwise when the tenant is idle."""
    waiting_units = lease.waiting_units()
    stopped = silence_ms >= IDLE_MS or (
        lease.demand.has_stopped(now) and (lease.others_deficit > EPSILON or lease.wanted_rate <= 0.0)
    )
    return min(waiting_units if stopped else max(lease.demand.rate(now), waiting_units), rate)


def _is_urgent(now: float, silence_ms: float, wanted_rate: float, lease: ContractLease) -> bool:
    """Whether the next request is sent before the regular period ends."""
    moving = (
        now < lease.fair_share_moved_ms + MOVE_WATCH_MS
        and wanted_rate * (1.0 - TOLERANCE_FRACTION) > lease.share
    )
    changed = lease.share_change_ms == math.inf and lease.lease_number != 0  # the version or window changed
    became_idle = lease.sent_ms < lease.demand.last_ms + IDLE_MS <= now
    return (
        bool(lease.waiting)
        or lease.lacks_share(wanted_rate)
        or moving
        or lease.wanted_rate < INCREASE_FRACTION * wanted_rate
        or changed
        or became_idle
        or (lease.demand.is_quiet(now) and silence_ms < MOVE_WATCH_MS and lease.share > EPSILON)
    )


def apply_renewal(now: float, lease: ContractLease, renewal: Renewal) -> BucketChange:
    """Shrink the share and the bucket to what the request states, before it is sent."""
    standby_depth = lease.contract_burst * STANDBY_FRACTION / (lease.holders + 1)
    draws_per_request = lease.draws_per_request and renewal.wanted_rate > 0.0 and lease.holders > 1
    min_depth = lease.demand.largest_request if renewal.keeps_bucket and not draws_per_request else 0.0
    kept_depth, returned_units = _kept_bucket(
        lease, renewal, standby_depth, 0.0 if draws_per_request else BUSY_BUCKET_FRACTION, min_depth
    )
    lease.share, lease.depth = renewal.kept_rate, kept_depth
    lease.level -= returned_units  # the rest is kept
    lease.pause_ms = _next_pause_ms(lease, renewal)
    lease.wanted_rate = renewal.wanted_rate
    lease.sent_ms = lease.requested_ms = now
    wanted_units = _wanted_units(lease, renewal, standby_depth, kept_depth)
    return BucketChange(kept_depth, returned_units, max(wanted_units, 0.0), min_depth)


def _kept_bucket(
    lease: ContractLease,
    renewal: Renewal,
    standby_depth: float,
    busy_fraction: float,
    min_depth: float,
) -> KeptBucket:
    """The depth to keep and the units to return."""
    kept_depth = 0.0
    if renewal.keeps_bucket:
        used_depth = max(lease.fair_depth, min(lease.level, lease.waiting_units()))
        kept_depth = min(lease.depth, used_depth)
    returned_units = max(lease.level - kept_depth, 0.0)
    if renewal.wanted_rate > 0.0 and lease.holders > 1 and not lease.waiting:
        # The bucket refills faster than this gateway uses it, and another gateway may be short of units.
        retained_units = max(busy_fraction * kept_depth, min_depth)
        returned_units = max(returned_units, lease.level - retained_units, 0.0)
        kept_depth = min(kept_depth, lease.depth - returned_units)
    elif renewal.wanted_rate <= 0.0 and lease.holders > 1 and lease.last_call_ms <= MAX_DRAW_CALL_MS:
        # There is no traffic here: return units so that any gateway can get them soon, and keep the standby
        # depth for the first requests.
        kept_depth = min(kept_depth, standby_depth)
        returned_units = max(lease.level - kept_depth, 0.0)
    return KeptBucket(kept_depth, returned_units)


def _next_pause_ms(lease: ContractLease, renewal: Renewal) -> float:
    """The pause before the next urgent request; it grows while demand is steady."""
    previous_rate, wanted_rate = lease.wanted_rate, renewal.wanted_rate
    steady = previous_rate <= STEADY_FACTOR * wanted_rate <= STEADY_FACTOR * STEADY_FACTOR * previous_rate
    if not steady or not renewal.urgent:
        return FIRST_PAUSE_MS
    max_pause_ms = MAX_WAITING_PAUSE_MS if lease.waiting else MAX_DEFICIT_PAUSE_MS
    return min(PAUSE_GROWTH_FACTOR * lease.pause_ms, max_pause_ms)


def _wanted_units(lease: ContractLease, renewal: Renewal, standby_depth: float, kept_depth: float) -> float:
    """Units to request: for waiting requests, for the standby depth of an idle gateway, or, for a sole holder,
    to fill its bucket."""
    idle = renewal.wanted_rate <= 0.0 and renewal.keeps_bucket
    wanted_units = (standby_depth if idle else lease.waiting_units()) - lease.level
    if renewal.keeps_bucket and (lease.holders == 1 or lease.lease_number == 0):
        wanted_units = max(wanted_units, min(kept_depth, lease.fair_depth) - lease.level)
    return wanted_units
