"""Holding a hard ceiling while a loss of the counter is not yet noticed.

Until a gateway notices that others are out of its sight, every side of a split takes the customer's quota
for its own.  What saves the ceiling is the room that it has above the quota, and a store that each gateway
keeps of its own sends from the last moment at which all were surely in sight.  With a quota's store of B
that held r units at that moment, and a ceiling's of K that fills at C, the ceiling's held K - B + r at
least, while sends conform to the quota.  An even part of that, which fills at C / g and holds no more than
K / g, is what each of a set of g gateways may send on; together they stay within the ceiling's, whatever
each believes.  In sound times beats renew the moment, and with it the split of what there is, nearly twice
a second, and the bound is above what even the busiest gateway sends: it binds where a burst meets a loss.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from badgeryoke.decisions.policy.quota import CustomerQuota

KEPT_MS = 6000.0  # own sends are remembered for this long: longer than the slowest noticing
STEP_MS = 25.0  # sends within one are kept as one, at the time of its last: KEPT_MS / STEP_MS + 1 at most
USED = 0.95  # of the bound: the others' last sends may not have come to the counter yet


class CeilingGuard:
    """Own sends of customers with a ceiling, counted from the last common moment.

    `common_since(now, first, spread)` tells that moment, in ms.
    """

    def __init__(self, common_since: Callable[[float, int, int], float]) -> None:
        self._common_since = common_since
        self._sent: dict[int, deque[tuple[float, float]]] = {}
        self._held: dict[str, tuple[int, float]] = {}  # tries in the module's hands, not yet sent
        self._held_of: dict[int, float] = {}
        self._swept = -math.inf

    def since(self, customer: int, moment: float) -> float:
        """Own units sent since a moment, with those in hand."""
        sent = self._sent.get(customer, ())
        return self._held_of.get(customer, 0.0) + sum(units for at, units in sent if at >= moment)

    def wait(self, now: float, led: CustomerQuota, units: float) -> float:
        """How long a try must wait for the bound, ms; 0 where it may go to the module."""
        plan, spread = led.plan, led.gateway_set_size
        if led.bucket.partial_share is not None:  # the part of the quota is the narrower bound
            return 0.0
        moment = max(self._common_since(now, led.first_gateway, spread), now - KEPT_MS)
        sent = self._sent.get(led.customer, deque())
        held = self._held_of.get(led.customer, 0.0)
        spent = held + sum(part for at, part in sent if at >= moment)
        left = led.bucket.capacity(now) - plan.rate * (now - moment) / 1000.0 + spent
        # The own part of the ceiling's store, from the common moment on: it fills, but never beyond its
        # depth.
        part_of = USED / spread
        most, rate = plan.ceiling_burst * part_of, plan.ceiling_rate * part_of / 1000.0
        level = most - (plan.burst - min(max(left, 0.0), plan.burst)) * part_of
        last = moment
        for at, part in sent:
            if at >= moment:
                level, last = min(level + (at - last) * rate, most) - part, at
        level = min(level + (now - last) * rate, most) - held
        # No sooner than the arrival time lets it through: else it would come back to be refused again.
        short = max(min(units, most) - level, 0.0) / rate
        return max(short, led.bucket.wait(now, units)) if short else 0.0

    def hold(self, rid: str, customer: int, units: float) -> None:
        """A try goes to the module."""
        self._held[rid] = customer, units
        self._held_of[customer] = self._held_of.get(customer, 0.0) + units

    def release(self, now: float, rid: str, sent: bool) -> None:
        """It was sent for the first time, or has its answer unsent."""
        found = self._held.pop(rid, None)
        if found is None:
            return
        customer, units = found
        left = self._held_of[customer] - units
        if left > 1e-9:
            self._held_of[customer] = left
        else:
            del self._held_of[customer]
        if sent:
            kept = self._sent.setdefault(customer, deque())
            if kept and kept[-1][0] // STEP_MS == now // STEP_MS:
                units += kept.pop()[1]  # as if sent later: the bound is no wider for it
            kept.append((now, units))
            while kept[0][0] < now - KEPT_MS:
                kept.popleft()
        if now - self._swept >= 1000.0:
            self._swept = now
            self._forget(now - KEPT_MS)

    def _forget(self, before: float) -> None:
        for customer in list(self._sent):
            sent = self._sent[customer]
            while sent and sent[0][0] < before:
                sent.popleft()
            if not sent:
                del self._sent[customer]
