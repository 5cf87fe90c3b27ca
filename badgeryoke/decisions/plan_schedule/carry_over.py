"""Carries a customer's token bucket over from one version of a plan to the next.

The rules, for a bucket that holds `units` of its burst (below 0: in debt):

- used units stay used: a reduction of the burst removes as many units from the bucket, and leaves a customer who
  has used more than the new burst in debt, which is paid back at the new rate;
- an increase grants no free burst: the bucket keeps its units, and fills to its new burst at the new rate.  The
  part of the increase that has not been filled yet is kept as `ungranted`, and a later reduction takes it first,
  so that an increase that is reverted changes nothing;
- a quota's debt never takes longer than MAX_DEBT_MS to be paid back; a ceiling's bucket has no such limit, since
  units that were sent under a ceiling cannot be undone.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

MAX_DEBT_MS = 5000.0  # the longest time for which a reduced plan alone may reject a customer


@dataclass(frozen=True, slots=True)
class PlanLimits:
    """The limits of a plan version: rates in units per second, bursts in units; 0 for no ceiling."""

    rate: float
    burst: float
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0


@dataclass(frozen=True, slots=True)
class BucketLevel:
    """A token bucket's units, and the units by which its burst was increased that are not filled yet."""

    units: float
    ungranted: float = 0.0


def carry_over(
    level: BucketLevel, old_burst: float, new_burst: float, max_debt: float = math.inf
) -> BucketLevel:
    """The bucket after a change of its burst, with a debt of no more than `max_debt` units."""
    # Used units are refilled first, and those that an increase has added last.
    ungranted = min(level.ungranted, max(old_burst - level.units, 0.0))
    if new_burst >= old_burst:
        return BucketLevel(max(level.units, -max_debt), ungranted + new_burst - old_burst)
    reduction = old_burst - new_burst
    ungranted_left = max(ungranted - reduction, 0.0)
    return BucketLevel(
        max(level.units - (reduction - (ungranted - ungranted_left)), -max_debt), ungranted_left
    )


def carry_over_quota(level: BucketLevel, old: PlanLimits, new: PlanLimits) -> BucketLevel:
    """A quota's bucket after a plan change; its debt is paid back within MAX_DEBT_MS."""
    return carry_over(level, old.burst, new.burst, new.rate * MAX_DEBT_MS / 1000.0)


def carry_over_ceiling(level: BucketLevel, old: PlanLimits, new: PlanLimits) -> BucketLevel:
    """A ceiling's bucket after a plan change; a new ceiling's bucket starts full."""
    if old.ceiling_burst <= 0:
        return BucketLevel(new.ceiling_burst)
    return carry_over(level, old.ceiling_burst, new.ceiling_burst)


def units_at(now: float, tat: float, limits: PlanLimits) -> float:
    """The units in a quota's bucket with this theoretical arrival time, ms."""
    return limits.burst - max(tat - now, 0.0) * limits.rate / 1000.0


def arrival_time(now: float, units: float, limits: PlanLimits) -> float:
    """The theoretical arrival time, ms, of a quota's bucket with this number of units."""
    return now + (limits.burst - units) * 1000.0 / limits.rate if limits.rate > 0 else now
