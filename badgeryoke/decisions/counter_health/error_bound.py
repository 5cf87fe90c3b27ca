"""The error that is stated beforehand: how much may be sent beyond the quotas during a loss of the counter.

The statement and its proof are in docs/design/losing-the-counter.md.  In short, for a customer with rate
R, burst B and a set of g gateways, and a loss that lasts T seconds and is detected by every side within D:
until it is detected, each of at most g sides may take the quota for its own, so that up to
(g - 1) * (R * D + b) units are sent beyond it, where b is what is left of the burst when it begins; from then
on the sides' shares sum to the quota.  Customers who use all that they get have b = 0.
"""

from __future__ import annotations

from badgeryoke.decisions.counter_health import presence_register
from badgeryoke.decisions.counter_health.peer_heartbeats import SUSPECT_HEARTBEATS
from badgeryoke.decisions.interface import Plan

CEILING_ERROR_FRACTION = 0.05  # of a ceiling's burst: what other gateways have sent and not reported yet


def detection_time_ms(gateway_count: int) -> float:
    """Within how long every side has detected a loss and grants its own share only, ms.

    A digit that grew just before the loss is read as grown once more, and the next reading shows it standing
    still; a period's first heartbeat may come one interval later.
    """
    heartbeats = 1.0 if gateway_count <= presence_register.GATEWAYS_PER_REGISTER else 2.0
    return (2.0 + SUSPECT_HEARTBEATS) * presence_register.HEARTBEAT_INTERVAL_MS * heartbeats


def max_excess_units(
    plan: Plan, gateway_set_size: int, gateway_count: int, burst_unused: bool = False
) -> float:
    """Units beyond one customer's quota that a single loss may cost at most; `full`: its burst was unused."""
    if plan.rate <= 0:
        return 0.0
    burst_left = plan.burst if burst_unused else 0.0
    return (gateway_set_size - 1) * (plan.rate * detection_time_ms(gateway_count) / 1000.0 + burst_left)


def max_excess_share(
    plans: list[tuple[Plan, int]], gateway_count: int, seconds: float, burst_unused: bool = False
) -> float:
    """The share of the units sent over a loss of so many seconds that may lie beyond the quotas.

    It is the maximum over the plans, each with the size of its customers' gateway sets, for customers who use
    all that they get.
    """
    worst = 0.0
    for plan, gateway_set_size in plans:
        if plan.rate > 0:
            excess = max_excess_units(plan, gateway_set_size, gateway_count, burst_unused)
            worst = max(worst, excess / (excess + plan.rate * max(seconds, 0.001)))
    return worst
