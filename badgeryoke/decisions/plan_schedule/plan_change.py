"""A customer's ledger taking up a plan's new figures, by the rule in `carry`."""

from __future__ import annotations

import math
from copy import copy

from badgeryoke.decisions.interface import Plan, Settings
from badgeryoke.decisions.plan_schedule.carry_over import DEBT_MOST_MS, BucketLevel, carry
from badgeryoke.decisions.quota_protocols import CustomerQuota, GcraBucket, M


def carry_meter(now: float, meter: GcraBucket, rate: float, burst: float) -> None:
    """Used stays used, a rise gives no free burst, and a debt is paid within its bound."""
    had, room = meter.tolerance / meter.per_unit, meter.room(now)
    meter.set(rate, burst)
    if rate <= 0:
        meter.tat = now
        return
    left = carry(BucketLevel(room), had, burst, rate * DEBT_MOST_MS / 1000.0).room
    meter.tat = now + (burst - left) * meter.per_unit


def replan(now: float, led: CustomerQuota[M], plan: Plan, settings: Settings) -> None:
    """Take up new figures, with no call out.  A period of another length has counter names of its own, under
    which nothing has been told yet; what is owed goes there."""
    led.plan, led.version = plan, min(led.version, 0)  # a watch brings its part of the new quota in line
    carry_meter(now, led.quota, plan.rate, plan.burst)
    carry_meter(now, led.own, plan.rate, plan.burst)
    if plan.ceiling_rate <= 0:
        led.head = None
    else:
        if led.head is None:
            led.head = copy(led.own)
            led.head.tat = now
            led.head.set(0.0, 0.0)
        carry_meter(now, led.head, *led.headroom(settings))
    if led.period_ms != led.length():
        led.period_ms, led.last_base, led.unclosed = led.length(), 0.0, False
        led.base, led.sum, led.maybe = 0.0, 0.0, 0.0
        led.period = math.floor(now / led.period_ms + led.phase)
