"""The error that is stated beforehand: how much may be sent beyond the quotas over a loss of the counter.

The statement and its proof are in docs/design/losing-the-counter.md.  In short, for a customer with rate
R, burst B and a set of g gateways, a loss that lasts T seconds and is seen by every side within D: until
it is seen, each of at most g sides may take the quota for its own, so that up to (g - 1) * (R * D + b)
units go beyond it, where b is what is left of the burst when it begins; from then on the sides' parts sum
to the quota.  Customers in want, who use all that they get, have b = 0.
"""

from __future__ import annotations

from badgeryoke.decisions.counter_health import presence_register
from badgeryoke.decisions.counter_health.detector import STALE_BEATS
from badgeryoke.decisions.interface import Plan

CEILING_ERROR = 0.05  # of a ceiling's depth: what other gateways have sent and not yet told


def noticed_ms(gateways: int) -> float:
    """Within how long every side has seen a loss and grants by its part, ms.

    A digit that moved just before it is read as grown once more, and the next reading shows it standing
    still; an era's first beat may come one later.
    """
    pace = 1.0 if gateways <= presence_register.GROUP else 2.0
    return (2.0 + STALE_BEATS) * presence_register.BEAT_MS * pace


def beyond_units(plan: Plan, spread: int, gateways: int, full: bool = False) -> float:
    """Units beyond one customer's quota that a single loss may cost at most; `full`: its burst was unused."""
    if plan.rate <= 0:
        return 0.0
    left = plan.burst if full else 0.0
    return (spread - 1) * (plan.rate * noticed_ms(gateways) / 1000.0 + left)


def stated(plans: list[tuple[Plan, int]], gateways: int, seconds: float, full: bool = False) -> float:
    """The share of the units sent over a loss of so many seconds that may lie beyond the quotas.

    It is the most over the plans, each with the width of its customers' sets, for customers who use all that
    they get.
    """
    worst = 0.0
    for plan, spread in plans:
        if plan.rate > 0:
            beyond = beyond_units(plan, spread, gateways, full)
            worst = max(worst, beyond / (beyond + plan.rate * max(seconds, 0.001)))
    return worst
