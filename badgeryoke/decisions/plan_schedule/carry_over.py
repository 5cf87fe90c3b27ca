"""Carrying a customer's store from one version of a plan to the next.

The rule, in units, for a store that holds `room` of its depth (below 0: in debt):

- what was used stays used: a cut takes its units out of the store, whatever is in it, and leaves a customer
  who is above the new figure in debt, which drains at the new rate;
- a rise gives no free burst: the store holds what it held, and fills to its new depth at the new rate.  The
  part of the depth that was never filled since is kept apart as `ungranted`, and a later cut takes it first:
  so a rise that is taken back changes nothing;
- a quota's debt is never so large that it takes longer than DEBT_MOST_MS to be paid; a ceiling's store
  follows the same rule without that mercy, since what went through a ceiling went through.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

DEBT_MOST_MS = 5000.0  # a customer is refused no longer than this because its plan was cut


@dataclass(frozen=True, slots=True)
class PlanFigures:
    """What a version of a plan grants: units a second and at once; 0 for no ceiling."""

    rate: float
    burst: float
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0


@dataclass(frozen=True, slots=True)
class BucketLevel:
    """A store: units in it, and the units of its depth that it has not been filled with since a rise."""

    room: float
    ungranted: float = 0.0


def carry(store: BucketLevel, old_depth: float, new_depth: float, most_debt: float = math.inf) -> BucketLevel:
    """The store after a change of its depth; its debt is no more than `most_debt` units."""
    # It fills what was used first, and what a rise has added last.
    ungranted = min(store.ungranted, max(old_depth - store.room, 0.0))
    if new_depth >= old_depth:
        return BucketLevel(max(store.room, -most_debt), ungranted + new_depth - old_depth)
    cut = old_depth - new_depth
    left = max(ungranted - cut, 0.0)
    return BucketLevel(max(store.room - (cut - (ungranted - left)), -most_debt), left)


def carry_quota(store: BucketLevel, old: PlanFigures, new: PlanFigures) -> BucketLevel:
    """A quota's store after a change: its debt is paid within DEBT_MOST_MS."""
    return carry(store, old.burst, new.burst, new.rate * DEBT_MOST_MS / 1000.0)


def carry_ceiling(store: BucketLevel, old: PlanFigures, new: PlanFigures) -> BucketLevel:
    """A ceiling's store after a change; one that is new begins full."""
    if old.ceiling_burst <= 0:
        return BucketLevel(new.ceiling_burst)
    return carry(store, old.ceiling_burst, new.ceiling_burst)


def room_of(now: float, tat: float, figures: PlanFigures) -> float:
    """Units in the store of a quota's meter, from its theoretical arrival time, ms."""
    return figures.burst - max(tat - now, 0.0) * figures.rate / 1000.0


def arrival_of(now: float, room: float, figures: PlanFigures) -> float:
    """The theoretical arrival time, ms, of a quota's meter whose store holds so many units."""
    return now + (figures.burst - room) * 1000.0 / figures.rate if figures.rate > 0 else now
