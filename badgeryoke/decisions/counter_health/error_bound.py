"""Upper bound of the units that may be sent beyond the quotas during a loss of the counter.

The proof is in docs/design/losing-the-counter.md.  In short, for a customer with rate R and a set of g gateways,
and a loss that lasts T seconds and that every side of the partition detects within D seconds: until it is
detected, each of at most g sides may grant the whole quota, so that up to (g - 1) * (R * D + b) units are sent
beyond it, where b is what is left of the burst when the loss begins.  From then on the sides' shares sum to the
quota.  Customers who use all that they are granted have b = 0.
"""

from __future__ import annotations

from badgeryoke.decisions.counter_health import presence_register
from badgeryoke.decisions.counter_health.peer_heartbeats import SUSPECT_HEARTBEATS
from badgeryoke.decisions.interface import Plan

CEILING_ERROR_FRACTION = 0.05  # fraction of a ceiling's burst: units sent by others but not reported yet


def detection_time_ms(gateway_count: int) -> float:
    """The time, ms, within which every side has detected a loss and grants only its own share.

    A digit that grew just before the loss still counts as grown at the first reading after it, and only the
    next reading shows no growth; a period's first heartbeat may come one interval later.
    """
    heartbeats = 1.0 if gateway_count <= presence_register.GATEWAYS_PER_REGISTER else 2.0
    return (2.0 + SUSPECT_HEARTBEATS) * presence_register.HEARTBEAT_INTERVAL_MS * heartbeats


def max_excess_units(
    plan: Plan, gateway_set_size: int, gateway_count: int, burst_unused: bool = False
) -> float:
    """Maximum of units beyond one customer's quota in one loss; `burst_unused`: the bucket was full before it."""
    if plan.rate <= 0:
        return 0.0
    burst_left = plan.burst if burst_unused else 0.0
    return (gateway_set_size - 1) * (plan.rate * detection_time_ms(gateway_count) / 1000.0 + burst_left)


def max_excess_share(
    plans: list[tuple[Plan, int]], gateway_count: int, seconds: float, burst_unused: bool = False
) -> float:
    """The maximum share of the units sent during a loss of so many seconds that is beyond the quotas.

    It is the maximum over the plans, each with the size of its customers' gateway sets, for customers who use
    all that they are granted.
    """
    max_share = 0.0
    for plan, gateway_set_size in plans:
        if plan.rate > 0:
            excess = max_excess_units(plan, gateway_set_size, gateway_count, burst_unused)
            max_share = max(max_share, excess / (excess + plan.rate * max(seconds, 0.001)))
    return max_share
