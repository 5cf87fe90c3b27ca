"""When a gateway requests its lease on a contract anew, and what it keeps and wants then.

A tenant's traffic moves between gateways every few seconds, and its rate has to follow within about 100 ms:

- a gateway that the traffic left gives its share back after a few empty gaps between requests;
- a gateway that it came to requests a share at once, and goes on until it has its fair share;
- meanwhile it serves from its bucket: every gateway keeps an even share of the contract's burst without any
  rate, and the one that was left fills its bucket and keeps that for the way back.

The order is that of `badgeryoke.cluster.leases.lease_pool`: use less, give back, be granted, use more.
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

SHARED_PERIOD_MS = 120.0  # between two renewals of a share in use, or lent, while others hold one
UNSHARED_PERIODS = 3.0  # renewals within a lease time of one that is alone, or unused
MAX_LACKING_PAUSE_MS = 20.0  # between two requests while a fair share is lacking
MAX_WAITING_PAUSE_MS = 40.0  # between two requests while requests of customers wait
PAUSE_GROWTH = 1.5
MAX_DRAW_CALL_MS = 100.0  # of a call; above, units for a request that waits would come too late
MIN_DRAW_GAP_MS = 50.0  # mean gap between requests above which units are drawn for each
MIN_SHARE_REQUESTS = 3  # requests before which units are drawn for each
DECREASE_FRACTION = 0.7  # a wanted rate below this fraction of the last one is reported at once
CHANGE_MULTIPLE = 2.0  # a wanted rate that changed by more begins with the shortest pause again
WATCH_MS = 250.0  # without a request, while the traffic may have moved elsewhere; or after its share moved
BUSY_BUCKET_FRACTION = 0.3  # of a bucket in use; units above go to others


@dataclass(frozen=True, slots=True)
class Renewal:
    """A request for a lease, before the bucket is shrunk for it."""

    kept_rate: float
    wanted_rate: float
    takes_spare: bool
    keeps_bucket: bool  # False: the window is over and all is given back
    urgent: bool
    due_ms: float


@dataclass(frozen=True, slots=True)
class BucketChange:
    """What becomes of the bucket with a request for a lease, units."""

    kept_depth: float
    returned_units: float
    wanted_units: float
    min_depth: float


class KeptBucket(NamedTuple):
    """What a holder keeps of its bucket's depth, and the units that it gives back."""

    depth: float
    returned_units: float


def plan_renewal(now: float, wall: float, lease: ContractLease, lease_ms: float) -> Renewal | None:
    """What to request next, and when; None where nothing is to be requested.  The lease has been filled up to
    now.  Whether it draws per request from here on is noted in the lease, as requests of customers go by
    that as well."""
    if lease.interval_at(wall) is None:
        return _plan_return(now, lease, lease_ms)
    rate, silence_ms = lease.contract_rate(wall), now - lease.demand.last_ms
    wanted_rate = _wanted_rate(now, silence_ms, rate, lease)
    lease.draws_per_request = lease.call_ms <= MAX_DRAW_CALL_MS and (
        lease.demand.requests < MIN_SHARE_REQUESTS or lease.demand.mean_gap_ms > MIN_DRAW_GAP_MS
    )
    excess = lease.share - lease.max_share
    urgent = _is_urgent(now, silence_ms, wanted_rate, lease) or excess > TOLERANCE_FRACTION * rate
    shared = lease.holders > 1 or lease.lease_number == 0
    in_use = max(lease.share, wanted_rate, lease.fair_share) > EPSILON
    period_ms = SHARED_PERIOD_MS if shared and in_use else lease_ms / UNSHARED_PERIODS
    idle = silence_ms >= IDLE_MS
    # What nobody lacks stays where it was last used, and is spread evenly only once the tenant is idle.
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
    """The window is over: give the lease back."""
    renewed_ms = lease.sent_ms + lease_ms / UNSHARED_PERIODS
    if lease.lease_number == 0 or (lease.share <= 0.0 and now < renewed_ms):
        return None
    return Renewal(0.0, 0.0, takes_spare=False, keeps_bucket=False, urgent=False, due_ms=now)


def _wanted_rate(now: float, silence_ms: float, rate: float, lease: ContractLease) -> float:
    """What is waiting counts as a rate, and so does the estimate until the traffic has stopped.  That is
    noticed at once where others have less than their fair share, else once the tenant is idle."""
    waiting_units = lease.waiting_units()
    stopped = silence_ms >= IDLE_MS or (
        lease.demand.has_stopped(now) and (lease.others_deficit > EPSILON or lease.wanted_rate <= 0.0)
    )
    return min(waiting_units if stopped else max(lease.demand.rate(now), waiting_units), rate)


def _is_urgent(now: float, silence_ms: float, wanted_rate: float, lease: ContractLease) -> bool:
    """Whether the next request can't wait for the regular period."""
    moving = (
        now < lease.fair_share_moved_ms + WATCH_MS and wanted_rate * (1.0 - TOLERANCE_FRACTION) > lease.share
    )
    changed = lease.until_ms == math.inf and lease.lease_number != 0  # its version or window has changed
    became_idle = lease.sent_ms < lease.demand.last_ms + IDLE_MS <= now
    return (
        bool(lease.waiting)
        or lease.lacks_share(wanted_rate)
        or moving
        or lease.wanted_rate < DECREASE_FRACTION * wanted_rate
        or changed
        or became_idle
        or (lease.demand.is_quiet(now) and silence_ms < WATCH_MS and lease.share > EPSILON)
    )


def apply_renewal(now: float, lease: ContractLease, renewal: Renewal) -> BucketChange:
    """Use less from here on, as the request will state: the share and the bucket are shrunk before it is
    sent."""
    standby_depth = lease.contract_burst * STANDBY_FRACTION / (lease.holders + 1)
    draws_per_request = lease.draws_per_request and renewal.wanted_rate > 0.0 and lease.holders > 1
    min_depth = lease.demand.largest_request if renewal.keeps_bucket and not draws_per_request else 0.0
    kept_depth, returned_units = _kept_bucket(
        lease, renewal, standby_depth, 0.0 if draws_per_request else BUSY_BUCKET_FRACTION, min_depth
    )
    lease.share, lease.depth = renewal.kept_rate, kept_depth
    lease.level -= returned_units  # from here on it is what is kept
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
    """The depth that is kept and the units that are given back."""
    kept_depth = 0.0
    if renewal.keeps_bucket:
        used_depth = max(lease.fair_depth, min(lease.level, lease.waiting_units()))
        kept_depth = min(lease.depth, used_depth)
    returned_units = max(lease.level - kept_depth, 0.0)
    if renewal.wanted_rate > 0.0 and lease.holders > 1 and not lease.waiting:
        # More comes in than is requested here, and another gateway may be short.
        spared = max(busy_fraction * kept_depth, min_depth)
        returned_units = max(returned_units, lease.level - spared, 0.0)
        kept_depth = min(kept_depth, lease.depth - returned_units)
    elif renewal.wanted_rate <= 0.0 and lease.holders > 1 and lease.call_ms <= MAX_DRAW_CALL_MS:
        # The traffic is elsewhere, or nowhere: units are where anybody gets them soon, but for some to
        # begin with.
        kept_depth = min(kept_depth, standby_depth)
        returned_units = max(lease.level - kept_depth, 0.0)
    return KeptBucket(kept_depth, returned_units)


def _next_pause_ms(lease: ContractLease, renewal: Renewal) -> float:
    """The pause until the next request, if that is urgent: it grows while demand stays as it is."""
    before, wanted_rate = lease.wanted_rate, renewal.wanted_rate
    steady = before <= CHANGE_MULTIPLE * wanted_rate <= CHANGE_MULTIPLE * CHANGE_MULTIPLE * before
    if not steady or not renewal.urgent:
        return FIRST_PAUSE_MS
    max_pause_ms = MAX_WAITING_PAUSE_MS if lease.waiting else MAX_LACKING_PAUSE_MS
    return min(PAUSE_GROWTH * lease.pause_ms, max_pause_ms)


def _wanted_units(lease: ContractLease, renewal: Renewal, standby_depth: float, kept_depth: float) -> float:
    """Units that no gateway holds are for those with waiting requests, or for one that is alone."""
    idle = renewal.wanted_rate <= 0.0 and renewal.keeps_bucket
    wanted_units = (standby_depth if idle else lease.waiting_units()) - lease.level
    if renewal.keeps_bucket and (lease.holders == 1 or lease.lease_number == 0):
        wanted_units = max(wanted_units, min(kept_depth, lease.fair_depth) - lease.level)
    return wanted_units
