"""The share of a customer's quota that a gateway may grant, by which of the customer's gateways are visible.

While all gateways are visible, they share the whole quota, synchronized through the counter's totals.  A hidden
gateway may be granting on the other side of a partition, so its even share is left to it: k visible gateways of
a set of g share k/g of rate and burst, and the shares of all sides sum to no more than the quota.  A gateway that
cannot reach the counter is isolated and has a share of 1/g.

The share is a second token bucket behind the quota's (`GcraBucket.partial_share`), which is charged with the
same units.  It starts from the same theoretical arrival time, so that both are filled to the same fraction of
their bursts.  When all gateways are visible again it is dropped, and the quota's bucket continues from the
emptier of the two: the share that was left to the others counts as used, whether they used it or not.  The
others' use in the first total after that is therefore not charged again.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from copy import copy

from badgeryoke.decisions.quota_protocols import BucketT, CustomerQuota

PROBE_INTERVAL_MS = 1000.0  # time between two calls for a customer whose counter partition is unreachable
# After calls failed for this long and this often, the customer's partition of the counter is unreachable.
PARTITION_TIMEOUT_MS, PARTITION_MIN_FAILURES = 400.0, 2
MAX_FAILING_CUSTOMERS = 20_000  # customers whose failed calls are counted
CEILING_USED_FRACTION = 0.95  # the part of a ceiling that is granted where a gateway is presumed dead
# For this long after a start, a new quota gets no burst: the gateway may have granted it before a restart.
NEW_GATEWAY_MS = 20_000.0


class Visibility:
    """Which gateways are visible to this one; each change increments `version`."""

    def __init__(self, gateway_index: int, gateway_count: int) -> None:
        self.gateway_index, self.gateway_count = gateway_index, gateway_count
        self.version = 0  # 0: no fault has occurred yet
        self.epoch = 0  # part of customers' counter names; grows when the counter has lost data
        self.counter_unreachable = False  # no call to the counter succeeds
        self.hidden: frozenset[int] = frozenset()  # gateways whose heartbeats are missing
        # Hidden gateways that are presumed dead rather than partitioned.
        self.presumed_dead: frozenset[int] = frozenset()
        self.started_at = -math.inf  # when this gateway started
        # Units that this gateway has sent for a customer since all gateways were last known to be visible.
        self.units_since_visible: Callable[[int], float] = lambda customer: 0.0
        self.changed_at = 0.0  # when the present version began
        self.undetected_ms = 0.0  # time from the hidden gateways' last heartbeats until `changed_at`
        # By customer: failed calls since the last success, and the time of the first of them or of the last probe.
        self._failed_calls: dict[int, tuple[int, float]] = {}
        # Customers whose partition of the counter is presumed unreachable.
        self._unreachable_customers: set[int] = set()
        # Customers without a total since all gateways became visible again.
        self._rejoined_customers: set[int] = set()

    def update_view(
        self,
        now: float,
        counter_unreachable: bool,
        hidden: frozenset[int],
        presumed_dead: frozenset[int],
        undetected_ms: float,
    ) -> None:
        """Replace the view of the counter and the gateways."""
        if (counter_unreachable, hidden, presumed_dead) == (
            self.counter_unreachable,
            self.hidden,
            self.presumed_dead,
        ):
            return
        self.counter_unreachable, self.hidden, self.presumed_dead = counter_unreachable, hidden, presumed_dead
        self.undetected_ms, self.changed_at = undetected_ms, now
        self.version += 1
        self._rejoined_customers.clear()
        self._unreachable_customers.clear()  # both apply only while the rest of the counter is reachable
        self._failed_calls.clear()

    def start_epoch(self, epoch: int) -> None:
        """Use another epoch in customers' counter names from now on."""
        self.epoch = epoch
        self.version = max(self.version, 1)

    def visible_share(
        self, first_gateway: int, gateway_set_size: int, ceiling_ratio: float = math.inf
    ) -> float:
        """The share of a gateway set's quota, above 0 and up to 1, that the visible gateways hold together.

        `ceiling_ratio`: the plan's ceiling as a multiple of its quota.  The remaining gateways use the share of
        a gateway that is presumed dead, but only so far that the ceiling holds even if the presumption is wrong.
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
        """Adjust a customer's buckets to the present view."""
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
            # Before the others were detected as hidden, the quota was granted at about its whole rate instead
            # of the share's.  Each side pays back its own excess.
            excess = self.units_since_visible(quota.customer) * bucket.interval_ms
            # An isolated gateway sent little without replies; a side with replies may have sent the whole quota.
            if not self.is_isolated(quota):
                excess = max(excess, self.undetected_ms)
            excess *= 1.0 / share - 1.0
            tat += min(excess, bucket.tolerance)
        partial_bucket = copy(bucket)
        partial_bucket.partial_share, partial_bucket.tat = None, tat
        partial_bucket.configure(plan.rate * share, plan.burst * share)
        bucket.partial_share = partial_bucket

    def is_isolated(self, quota: CustomerQuota[BucketT]) -> bool:
        """Whether this customer's totals cannot be read."""
        return self.counter_unreachable or quota.customer in self._unreachable_customers

    def suppresses_calls(self, now: float, quota: CustomerQuota[BucketT]) -> bool:
        """Whether calls for a customer are suppressed, since they would fail.

        Where only the customer's partition of the counter is unreachable, one call in PROBE_INTERVAL_MS is let
        through as a probe; where the whole counter is, heartbeats are the probes.
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
        """Process the outcome of a customer's call.  Where a customer's calls keep failing while others succeed,
        the partition of the counter that holds the customer's name is presumed unreachable."""
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
        # The oldest entry is dropped, and its customer counts as reachable until its next failure.
        if len(self._failed_calls) > MAX_FAILING_CUSTOMERS:
            oldest = next(iter(self._failed_calls))
            del self._failed_calls[oldest]
            self._unreachable_customers.discard(oldest)

    def others_units(self, quota: CustomerQuota[BucketT], others: float) -> float:
        """The others' units to charge from a total: 0 for the first total after all are visible again."""
        if quota.customer in self._rejoined_customers:
            self._rejoined_customers.discard(quota.customer)
            return 0.0
        return others if math.isfinite(others) else 0.0
