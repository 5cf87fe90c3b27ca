"""What may be granted, by who of a customer's gateways is in sight.

While all are, a customer's quota is one, held together through the counter's totals.  A gateway that is
out of sight may be spending on the other side of a split, so its even part is left to it: k gateways in
sight of a set of g hold k/g of rate and burst among them, and the parts of all sides sum to no more than
the whole.  A gateway that cannot reach the counter is alone: 1/g.

The part is a meter of its own behind the quota's (`GcraBucket.partial_share`), which is charged with the same units.  It
starts from the same theoretical arrival time, which means: as full, in parts of its burst.  When all are
in sight again it is given up, and the quota's meter goes on from the emptier of the two: what the others
were left counts as used, whatever they made of it.  So what comes to light of them in the first total
after that is not charged a second time.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from copy import copy

from badgeryoke.decisions.quota_protocols import BucketT, CustomerQuota

PROBE_MS = 1000.0  # between two calls for a customer whose part of the counter is gone
LOST_MS, LOST_CALLS = 400.0, 2  # a customer's calls fail for so long, and so many: its name's part is gone
MOST_UNHEARD = 20_000  # customers whose calls failed last
USED = 0.95  # of a ceiling is gone up to where a gateway is taken for dead
BLANK_MS = 20_000.0  # a gateway this young may have had the customer before: in a loss it grants no new burst


class Visibility:
    """The part of the quotas that this gateway goes by; `version` moves with every change of it."""

    def __init__(self, me: int, gateways: int) -> None:
        self.me, self.gateways = me, gateways
        self.version = 0  # 0: never any trouble
        self.epoch = 0  # part of the customers' names: moves when the counter has forgotten
        self.deaf = False  # the counter does not answer
        self.hidden: frozenset[int] = frozenset()  # gateways out of sight
        self.absent: frozenset[int] = frozenset()  # of these, held to be dead rather than behind a split
        self.started = -math.inf  # of this gateway
        # Own units of a customer since all were surely in sight.
        self.spent: Callable[[int], float] = lambda customer: 0.0
        self.changed = 0.0  # when the present version began
        self.unseen_ms = 0.0  # how long before it those now hidden were last seen
        self._unheard: dict[int, tuple[int, float]] = {}  # customers' calls failed since a good one, ...
        self._lost: set[int] = set()  # ... and those who are taken to have no counter: one part of it is gone
        self._rejoined: set[int] = set()  # customers whose first total after a rejoin is still to come

    def change(
        self, now: float, deaf: bool, hidden: frozenset[int], absent: frozenset[int], unseen_ms: float
    ) -> None:
        """Go by another view from now on."""
        if (deaf, hidden, absent) == (self.deaf, self.hidden, self.absent):
            return
        self.deaf, self.hidden, self.absent = deaf, hidden, absent
        self.unseen_ms, self.changed = unseen_ms, now
        self.version += 1
        self._rejoined.clear()
        self._lost.clear()  # what is true of the whole counter is not of a part of it
        self._unheard.clear()

    def renew(self, epoch: int) -> None:
        """Customers' names belong to another epoch from now on."""
        self.epoch = epoch
        self.version = max(self.version, 1)

    def part(self, first: int, spread: int, room: float = math.inf) -> float:
        """The part of a set's quota, above 0, up to 1, that the gateways in sight hold together.

        `room`: how many times the quota the plan's ceiling holds.  Where a gateway is taken for dead its part
        is used by those that are left, but under a ceiling only so far that it holds even if the guess is
        wrong.
        """
        if self.deaf:
            return 1.0 / spread
        if not self.hidden:
            return 1.0
        members = [(first + index) % self.gateways for index in range(spread)]
        seen = max(sum(number not in self.hidden for number in members), 1) / spread
        if self.absent and not any(number in self.hidden - self.absent for number in members):
            return min(seen * room, 1.0)
        return seen

    def apply(self, now: float, led: CustomerQuota[BucketT]) -> None:
        """Bring a customer's meters in line with this version."""
        plan, quota, old = led.plan, led.bucket, led.bucket.partial_share
        if plan.rate <= 0:
            return
        first_seen = led.synchronized_at == now and not led.synchronized
        led.visibility_version = self.version
        room = math.inf
        if plan.ceiling_rate > 0:
            room = max(USED * min(plan.ceiling_rate / plan.rate, plan.ceiling_burst / plan.burst), 1.0)
        part = (
            1.0 / led.gateway_set_size
            if led.customer in self._lost
            else self.part(led.first_gateway, led.gateway_set_size, room)
        )
        if part >= 1.0:
            if old is not None:
                quota.partial_share = None
                quota.tat = max(quota.tat, old.tat)
                self._rejoined.add(led.customer)
            return
        if first_seen and now - self.started < BLANK_MS:
            quota.tat = max(quota.tat, now + quota.tolerance)
        tat = quota.tat
        if old is not None:
            tat = max(tat, old.tat)
        elif tat > self.changed:
            # It was being used while the others were out of sight already: by about the whole rate, of which
            # the part was due.  Each side pays back its own excess.
            excess = self.spent(led.customer) * quota.interval_ms
            if not self.alone(led):  # unheard, little was sent; with a half's answers, up to the whole
                excess = max(excess, self.unseen_ms)
            excess *= 1.0 / part - 1.0
            tat += min(excess, quota.tolerance)
        half = copy(quota)
        half.partial_share, half.tat = None, tat
        half.configure(plan.rate * part, plan.burst * part)
        quota.partial_share = half

    def alone(self, led: CustomerQuota[BucketT]) -> bool:
        """Whether nothing is heard of this customer's use elsewhere."""
        return self.deaf or led.customer in self._lost

    def hushed(self, now: float, led: CustomerQuota[BucketT]) -> bool:
        """Whether no call is made for a customer: none would be answered.

        One goes now and then where only its part of the counter is gone, to see it come back; for the whole
        counter the beats do that.
        """
        if self.deaf:
            return True
        if led.customer not in self._lost:
            return False
        due = now - self._unheard.get(led.customer, (0, now))[1] >= PROBE_MS
        if due:
            self._unheard[led.customer] = LOST_CALLS, now
        return not due

    def told(self, now: float, led: CustomerQuota[BucketT], good: bool) -> None:
        """A customer's call has its answer.  Where all fail for a while though others are answered, the
        part of the counter that has the customer's name is gone."""
        customer = led.customer
        if good:
            self._unheard.pop(customer, None)
            if customer in self._lost:
                self._lost.discard(customer)
                self.apply(now, led)
            return
        failed, since = self._unheard.get(customer, (0, now))
        self._unheard[customer] = failed + 1, since
        if failed + 1 >= LOST_CALLS and now - since >= LOST_MS and customer not in self._lost:
            self._lost.add(customer)
            self.apply(now, led)
        if len(self._unheard) > MOST_UNHEARD:  # the oldest are taken for heard, until their next failures
            gone = next(iter(self._unheard))
            del self._unheard[gone]
            self._lost.discard(gone)

    def heard(self, led: CustomerQuota[BucketT], others: float) -> float:
        """What to charge of the others' units in a total: nothing in the first after a rejoin."""
        if led.customer in self._rejoined:
            self._rejoined.discard(led.customer)
            return 0.0
        return others if math.isfinite(others) else 0.0
