"""Carries a customer's token bucket over from one version of a plan to the next.

The rules, for a bucket that holds `units` of its burst (below 0: in debt):

- what was used stays used: a reduction takes its units out of the bucket, whatever is in it, and leaves a
  customer who has used more than the new burst in debt, which is paid back at the new rate;
- an increase grants no free burst: the bucket holds what it held, and fills to its new burst at the new rate.
  What has not been filled since is kept as `ungranted`, and a later reduction takes it first: so an increase
  that is taken back changes nothing;
- a quota's debt never takes longer than MAX_DEBT_MS to be paid back; a ceiling's bucket has no such limit,
  since what has passed a ceiling cannot be undone.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

MAX_DEBT_MS = 5000.0  # a customer is rejected no longer than this because its plan was reduced


@dataclass(frozen=True, slots=True)
class PlanLimits:
    """What a version of a plan grants: units per second, and at once; 0 for no ceiling."""

    rate: float
    burst: float
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0


@dataclass(frozen=True, slots=True)
class BucketLevel:
    """A token bucket: the units in it, and those of its burst not filled yet since an increase."""

    units: float
    ungranted: float = 0.0


def carry_over(
    level: BucketLevel, old_burst: float, new_burst: float, max_debt: float = math.inf
) -> BucketLevel:
    """The bucket after a change of its burst; its debt is no more than `max_debt` units."""
    # What was used is filled first, and what an increase has added last.
    ungranted = min(level.ungranted, max(old_burst - level.units, 0.0))
    if new_burst >= old_burst:
        return BucketLevel(max(level.units, -max_debt), ungranted + new_burst - old_burst)
    cut = old_burst - new_burst
    ungranted_left = max(ungranted - cut, 0.0)
    return BucketLevel(max(level.units - (cut - (ungranted - ungranted_left)), -max_debt), ungranted_left)


def carry_over_quota(level: BucketLevel, old: PlanLimits, new: PlanLimits) -> BucketLevel:
    """A quota's bucket after a change: its debt is paid back within MAX_DEBT_MS."""
    return carry_over(level, old.burst, new.burst, new.rate * MAX_DEBT_MS / 1000.0)


def carry_over_ceiling(level: BucketLevel, old: PlanLimits, new: PlanLimits) -> BucketLevel:
    """A ceiling's bucket after a change; a new one starts full."""
    if old.ceiling_burst <= 0:
        return BucketLevel(new.ceiling_burst)
    return carry_over(level, old.ceiling_burst, new.ceiling_burst)


def units_at(now: float, tat: float, limits: PlanLimits) -> float:
    """Units in a quota's bucket, from its theoretical arrival time, ms."""
    return limits.burst - max(tat - now, 0.0) * limits.rate / 1000.0


def arrival_time(now: float, units: float, limits: PlanLimits) -> float:
    """The theoretical arrival time, ms, of a quota's bucket that holds so many units."""
    return now + (limits.burst - units) * 1000.0 / limits.rate if limits.rate > 0 else now
