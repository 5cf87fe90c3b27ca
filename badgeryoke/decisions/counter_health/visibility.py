"""What may be granted, by which of a customer's gateways are visible.

While all are visible, a customer's quota is one, synchronized through the counter's totals.  A hidden gateway
may be granting on the other side of a partition, so its even share is left to it: k visible gateways of a set
of g hold k/g of rate and burst among them, and the shares of all sides sum to no more than the quota.  A
gateway that cannot reach the counter is isolated: 1/g.

The share is a token bucket of its own behind the quota's (`GcraBucket.partial_share`), which is charged with
the same units.  It starts from the same theoretical arrival time, and so equally full, as a fraction of its
burst.  When all are visible again it is dropped, and the quota's bucket goes on from the emptier of the two:
what the others were left counts as used, whether they used it or not.  So what the first total after that
shows of their use is not charged a second time.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from copy import copy

from badgeryoke.decisions.quota_protocols import BucketT, CustomerQuota

PROBE_INTERVAL_MS = 1000.0  # between two calls for a customer whose partition of the counter is unreachable
PARTITION_TIMEOUT_MS, PARTITION_MIN_FAILURES = (
    400.0,
    2,
)  # a customer's calls fail for so long, and so many: its name's part is gone
MAX_FAILING_CUSTOMERS = 20_000  # whose failed calls are remembered
CEILING_USED_FRACTION = 0.95  # of a ceiling that is granted where a gateway is presumed dead
NEW_GATEWAY_MS = 20_000.0  # so soon after a restart it may have served the customer before: no new burst


class Visibility:
    """Which gateways are visible to this one; `version` grows with every change of it."""

    def __init__(self, gateway_index: int, gateway_count: int) -> None:
        self.gateway_index, self.gateway_count = gateway_index, gateway_count
        self.version = 0  # 0: there was never any fault
        self.epoch = 0  # part of customers' counter names: grows when the counter has lost data
        self.counter_unreachable = False  # no calls to the counter succeed
        self.hidden: frozenset[int] = frozenset()  # gateways whose heartbeats are missing
        self.presumed_dead: frozenset[int] = (
            frozenset()
        )  # those of them that are dead rather than partitioned
        self.started_at = -math.inf  # of this gateway
        # Units that this gateway sent for a customer since all gateways were surely visible.
        self.units_since_visible: Callable[[int], float] = lambda customer: 0.0
        self.changed_at = 0.0  # when the present version began
        self.unseen_ms = 0.0  # how long before that the hidden gateways' last heartbeats came
        self._failed_calls: dict[int, tuple[int, float]] = {}  # customers' calls failed since a good one, ...
        self._unreachable_customers: set[int] = (
            set()
        )  # ... and those who are taken to have no counter: one part of it is gone
        self._rejoined_customers: set[int] = (
            set()
        )  # customers whose first total after a rejoin is still to come

    def update_view(
        self,
        now: float,
        counter_unreachable: bool,
        hidden: frozenset[int],
        presumed_dead: frozenset[int],
        unseen_ms: float,
    ) -> None:
        """Take up another view of the counter and the gateways."""
        if (counter_unreachable, hidden, presumed_dead) == (
            self.counter_unreachable,
            self.hidden,
            self.presumed_dead,
        ):
            return
        self.counter_unreachable, self.hidden, self.presumed_dead = counter_unreachable, hidden, presumed_dead
        self.unseen_ms, self.changed_at = unseen_ms, now
        self.version += 1
        self._rejoined_customers.clear()
        self._unreachable_customers.clear()  # these were about single partitions of the counter
        self._failed_calls.clear()

    def start_epoch(self, epoch: int) -> None:
        """Let customers' counter names belong to another epoch from now on."""
        self.epoch = epoch
        self.version = max(self.version, 1)

    def visible_share(
        self, first_gateway: int, gateway_set_size: int, ceiling_ratio: float = math.inf
    ) -> float:
        """The share of a set's quota, above 0, up to 1, that the visible gateways hold together.

        `ceiling_ratio`: the plan's ceiling, in quotas.  The share of a gateway that is presumed dead is used
        by those that are left, but under a ceiling only so far that it holds even if the presumption is wrong.
        """
        if self.counter_unreachable:
            return 1.0 / gateway_set_size
        if not self.hidden:
            return 1.0
        members = [(first_gateway + index) % self.gateway_count for index in range(gateway_set_size)]
        visible = max(sum(number not in self.hidden for number in members), 1) / gateway_set_size
        if self.presumed_dead and not any(number in self.hidden - self.presumed_dead for number in members):
            return min(visible * ceiling_ratio, 1.0)
        return visible

    def apply(self, now: float, quota: CustomerQuota[BucketT]) -> None:
        """Bring a customer's buckets in line with this version."""
        plan, bucket, old_partial = quota.plan, quota.bucket, quota.bucket.partial_share
        if plan.rate <= 0:
            return
        is_new_quota = quota.synchronized_at == now and not quota.synchronized
        quota.visibility_version = self.version
        ceiling_ratio = math.inf
        if plan.ceiling_rate > 0:
            ceiling_ratio = max(
                CEILING_USED_FRACTION * min(plan.ceiling_rate / plan.rate, plan.ceiling_burst / plan.burst),
                1.0,
            )
        share = (
            1.0 / quota.gateway_set_size
            if quota.customer in self._unreachable_customers
            else self.visible_share(quota.first_gateway, quota.gateway_set_size, ceiling_ratio)
        )
        if share >= 1.0:
            if old_partial is not None:
                bucket.partial_share = None
                bucket.tat = max(bucket.tat, old_partial.tat)
                self._rejoined_customers.add(quota.customer)
            return
        if is_new_quota and now - self.started_at < NEW_GATEWAY_MS:
            bucket.tat = max(bucket.tat, now + bucket.tolerance)
        tat = bucket.tat
        if old_partial is not None:
            tat = max(tat, old_partial.tat)
        elif tat > self.changed_at:
            # It was in use while the others were hidden already, at about the whole rate instead of the
            # share's.  Each side pays back its own excess.
            excess = self.units_since_visible(quota.customer) * bucket.interval_ms
            if not self.is_isolated(
                quota
            ):  # unheard, little was sent; with a half's answers, up to the whole
                excess = max(excess, self.unseen_ms)
            excess *= 1.0 / share - 1.0
            tat += min(excess, bucket.tolerance)
        partial_bucket = copy(bucket)
        partial_bucket.partial_share, partial_bucket.tat = None, tat
        partial_bucket.configure(plan.rate * share, plan.burst * share)
        bucket.partial_share = partial_bucket

    def is_isolated(self, quota: CustomerQuota[BucketT]) -> bool:
        """Whether no total can be read for this customer."""
        return self.counter_unreachable or quota.customer in self._unreachable_customers

    def suppresses_calls(self, now: float, quota: CustomerQuota[BucketT]) -> bool:
        """Whether no call is made for a customer, since it would fail.

        Where only its partition of the counter is unreachable, a probe is made from time to time; where the
        whole counter is, heartbeats are the probes.
        """
        if self.counter_unreachable:
            return True
        if quota.customer not in self._unreachable_customers:
            return False
        probe_due = now - self._failed_calls.get(quota.customer, (0, now))[1] >= PROBE_INTERVAL_MS
        if probe_due:
            self._failed_calls[quota.customer] = PARTITION_MIN_FAILURES, now
        return not probe_due

    def record_reply(self, now: float, quota: CustomerQuota[BucketT], succeeded: bool) -> None:
        """Process the outcome of a customer's call.  Where all fail for a while though other calls succeed,
        the partition of the counter that has the customer's name is unreachable."""
        customer = quota.customer
        if succeeded:
            self._failed_calls.pop(customer, None)
            if customer in self._unreachable_customers:
                self._unreachable_customers.discard(customer)
                self.apply(now, quota)
            return
        failure_count, first_failure_at = self._failed_calls.get(customer, (0, now))
        self._failed_calls[customer] = failure_count + 1, first_failure_at
        if (
            failure_count + 1 >= PARTITION_MIN_FAILURES
            and now - first_failure_at >= PARTITION_TIMEOUT_MS
            and customer not in self._unreachable_customers
        ):
            self._unreachable_customers.add(customer)
            self.apply(now, quota)
        if (
            len(self._failed_calls) > MAX_FAILING_CUSTOMERS
        ):  # the oldest is taken for reachable until its next failure
            oldest = next(iter(self._failed_calls))
            del self._failed_calls[oldest]
            self._unreachable_customers.discard(oldest)

    def others_units(self, quota: CustomerQuota[BucketT], others: float) -> float:
        """What to charge of the others' units in a total: nothing in the first after all are visible again."""
        if quota.customer in self._rejoined_customers:
            self._rejoined_customers.discard(quota.customer)
            return 0.0
        return others if math.isfinite(others) else 0.0
