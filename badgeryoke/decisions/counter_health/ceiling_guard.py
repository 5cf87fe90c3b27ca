"""Enforces a hard ceiling while a loss of the counter has not been detected yet.

Until the gateways detect that others are hidden, every side of a partition grants the customer's whole quota.  The
ceiling is enforced by the capacity that it has above the quota, and by a history of this gateway's sends since the
last time at which all gateways were known to be visible.  Where the quota's token bucket of B units held r units
at that time, and the ceiling's token bucket holds up to K units and fills at rate C, the ceiling's bucket held at least
K - B + r, as long as sends conform to the quota.  Each gateway of a set of g may send an even share of that, which
fills at C / g up to K / g; together they stay within the ceiling, whichever gateways each of them sees.  In normal
operation heartbeats move that time, and with it the remaining share, forward nearly twice a second, and the bound
is above what even the busiest gateway sends: it matters only where a burst coincides with a loss.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from badgeryoke.decisions.policy.quota import CustomerQuota

SEND_HISTORY_MS = 6000.0  # must exceed the longest detection time of a loss
HISTORY_STEP_MS = 25.0  # sends within one step are merged into one entry with the time of the last send
SWEEP_INTERVAL_MS = 1000.0  # time between two removals of old entries
MIN_UNITS_IN_FLIGHT = 1e-9  # anything less is a rounding error
CEILING_USED_FRACTION = 0.95  # used fraction of the ceiling: totals may lack the others' latest sends


class CeilingGuard:
    """Tracks this gateway's sends for customers with a ceiling, and delays those that might exceed it.

    `all_visible_until(now, first_gateway, gateway_set_size)` returns the last time, ms, at which all gateways of the
    set were known to be visible.
    """

    def __init__(self, all_visible_until: Callable[[float, int, int], float]) -> None:
        self._all_visible_until = all_visible_until
        self._sent: dict[int, deque[tuple[float, float]]] = {}  # by customer: time and units
        # By id of a request that is not sent yet: customer and units.
        self._in_flight: dict[str, tuple[int, float]] = {}
        self._units_in_flight: dict[int, float] = {}  # by customer
        self._swept_at = -math.inf

    def units_since(self, customer: int, since: float) -> float:
        """Units sent since a time, plus the units in flight."""
        sent = self._sent.get(customer, ())
        return self._units_in_flight.get(customer, 0.0) + sum(units for at, units in sent if at >= since)

    def wait(self, now: float, quota: CustomerQuota, units: float) -> float:
        """How long a request must wait, ms; 0 where it may be passed to the decision engine."""
        plan, gateway_set_size = quota.plan, quota.gateway_set_size
        if quota.bucket.partial_share is not None:  # the share of the quota is the stricter bound
            return 0.0
        visible_until = max(
            self._all_visible_until(now, quota.first_gateway, gateway_set_size), now - SEND_HISTORY_MS
        )
        sent = self._sent.get(quota.customer, deque())
        in_flight = self._units_in_flight.get(quota.customer, 0.0)
        used = in_flight + sum(sent_units for at, sent_units in sent if at >= visible_until)
        quota_level = quota.bucket.capacity(now) - plan.rate * (now - visible_until) / 1000.0 + used
        # Replays this gateway's share of the ceiling's token bucket since then.
        share = CEILING_USED_FRACTION / gateway_set_size
        max_level, rate = plan.ceiling_burst * share, plan.ceiling_rate * share / 1000.0
        level = max_level - (plan.burst - min(max(quota_level, 0.0), plan.burst)) * share
        updated_at = visible_until
        for at, sent_units in sent:
            if at >= visible_until:
                level, updated_at = min(level + (at - updated_at) * rate, max_level) - sent_units, at
        level = min(level + (now - updated_at) * rate, max_level) - in_flight
        # Not before the quota admits the request: an earlier retry would be rejected again.
        refill_ms = max(min(units, max_level) - level, 0.0) / rate
        return max(refill_ms, quota.bucket.wait(now, units)) if refill_ms else 0.0

    def reserve(self, request_id: str, customer: int, units: float) -> None:
        """Count a request that is passed to the decision engine as in flight."""
        self._in_flight[request_id] = customer, units
        self._units_in_flight[customer] = self._units_in_flight.get(customer, 0.0) + units

    def release(self, now: float, request_id: str, sent: bool) -> None:
        """End a request's reservation when its first attempt is sent, or when it ends without one."""
        reservation = self._in_flight.pop(request_id, None)
        if reservation is None:
            return
        customer, units = reservation
        remaining = self._units_in_flight[customer] - units
        if remaining > MIN_UNITS_IN_FLIGHT:
            self._units_in_flight[customer] = remaining
        else:
            del self._units_in_flight[customer]
        if sent:
            history = self._sent.setdefault(customer, deque())
            if history and history[-1][0] // HISTORY_STEP_MS == now // HISTORY_STEP_MS:
                units += history.pop()[1]  # a later time of sending makes the bound stricter
            history.append((now, units))
            while history[0][0] < now - SEND_HISTORY_MS:
                history.popleft()
        if now - self._swept_at >= SWEEP_INTERVAL_MS:
            self._swept_at = now
            self._expire_history(now - SEND_HISTORY_MS)

    def _expire_history(self, before: float) -> None:
        for customer in list(self._sent):
            sent = self._sent[customer]
            while sent and sent[0][0] < before:
                sent.popleft()
            if not sent:
                del self._sent[customer]
