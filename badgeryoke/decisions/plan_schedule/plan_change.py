"""Applies a plan's new limits to a customer's quota, by the rules in `carry_over`."""

from __future__ import annotations

import math
from copy import copy

from badgeryoke.decisions.interface import Plan, Settings
from badgeryoke.decisions.plan_schedule.carry_over import MAX_DEBT_MS, BucketLevel, carry_over
from badgeryoke.decisions.quota_protocols import BucketT, CustomerQuota, GcraBucket


def reconfigure_bucket(now: float, bucket: GcraBucket, rate: float, burst: float) -> None:
    """Set a bucket's rate and burst: used units stay used, no free burst, and debt is limited."""
    old_burst, units = bucket.tolerance / bucket.interval_ms, bucket.capacity(now)
    bucket.configure(rate, burst)
    if rate <= 0:
        bucket.tat = now
        return
    units_left = carry_over(BucketLevel(units), old_burst, burst, rate * MAX_DEBT_MS / 1000.0).units
    bucket.tat = now + (burst - units_left) * bucket.interval_ms


def apply_plan_change(now: float, quota: CustomerQuota[BucketT], plan: Plan, settings: Settings) -> None:
    """Apply new limits; no counter call may be in flight.  A period of another length has other counter names,
    under which nothing has been reported yet; unreported units are reported there."""
    # Version 0 makes `Visibility.apply` adjust the partial share to the new quota, where health checks are on.
    quota.plan, quota.visibility_version = plan, min(quota.visibility_version, 0)
    reconfigure_bucket(now, quota.bucket, plan.rate, plan.burst)
    reconfigure_bucket(now, quota.own_bucket, plan.rate, plan.burst)
    if plan.ceiling_rate <= 0:
        quota.headroom_bucket = None
    else:
        if quota.headroom_bucket is None:
            quota.headroom_bucket = copy(quota.own_bucket)
            quota.headroom_bucket.tat = now
            quota.headroom_bucket.configure(0.0, 0.0)
        reconfigure_bucket(now, quota.headroom_bucket, *quota.headroom_share(settings))
    if quota.period_ms != quota.compute_period_ms():
        quota.period_ms, quota.previous_total, quota.previous_period_open = (
            quota.compute_period_ms(),
            0.0,
            False,
        )
        quota.last_total, quota.reported_units, quota.uncertain_units = 0.0, 0.0, 0.0
        quota.period = math.floor(now / quota.period_ms + quota.period_phase)
