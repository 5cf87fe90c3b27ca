"""A customer's ledger taking up a plan's new figures, by the rule in `carry`."""

from __future__ import annotations

import math
from copy import copy

from badgeryoke.decisions.interface import Plan, Settings
from badgeryoke.decisions.plan_schedule.carry_over import DEBT_MOST_MS, BucketLevel, carry
from badgeryoke.decisions.quota_protocols import BucketT, CustomerQuota, GcraBucket


def carry_meter(now: float, meter: GcraBucket, rate: float, burst: float) -> None:
    """Used stays used, a rise gives no free burst, and a debt is paid within its bound."""
    had, room = meter.tolerance / meter.interval_ms, meter.capacity(now)
    meter.configure(rate, burst)
    if rate <= 0:
        meter.tat = now
        return
    left = carry(BucketLevel(room), had, burst, rate * DEBT_MOST_MS / 1000.0).room
    meter.tat = now + (burst - left) * meter.interval_ms


def replan(now: float, led: CustomerQuota[BucketT], plan: Plan, settings: Settings) -> None:
    """Take up new figures, with no call out.  A period of another length has counter names of its own, under
    which nothing has been told yet; what is owed goes there."""
    led.plan, led.visibility_version = (
        plan,
        min(led.visibility_version, 0),
    )  # a watch brings its part of the new quota in line
    carry_meter(now, led.bucket, plan.rate, plan.burst)
    carry_meter(now, led.own_bucket, plan.rate, plan.burst)
    if plan.ceiling_rate <= 0:
        led.headroom_bucket = None
    else:
        if led.headroom_bucket is None:
            led.headroom_bucket = copy(led.own_bucket)
            led.headroom_bucket.tat = now
            led.headroom_bucket.configure(0.0, 0.0)
        carry_meter(now, led.headroom_bucket, *led.headroom_share(settings))
    if led.period_ms != led.compute_period_ms():
        led.period_ms, led.previous_total, led.previous_period_open = led.compute_period_ms(), 0.0, False
        led.last_total, led.reported_units, led.uncertain_units = 0.0, 0.0, 0.0
        led.period = math.floor(now / led.period_ms + led.period_phase)
