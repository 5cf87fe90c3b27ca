"""Decisions on requests that were admitted under a reservation: they have priority over all others.

A host whose gateways guarantee capacity uses this in place of `policy.engine.DecisionEngine`, and marks such
requests with `Request.reservation_rank`, their priority class (1 is the highest).  Without marked requests the
decisions are the same.  For a marked request:

- **Quota.**  The customer's quota is not checked: the reservation takes its place.  The request's units and attempts
  in flight do not count against the quota, so that beyond the reservation the customer is treated as any other.
- **Load.**  The limit of attempts in flight does not apply to it, but its attempts count against that limit, so that
  requests without reservation are shed first when capacity is short.  It is rejected where no server is expected to
  reply by its deadline, or where servers are slow and the attempts in flight exceed the limit of its class; lower
  classes are shed first.
- **Ceiling.**  The ceiling holds over all gateways as without reservations: either this gateway's share of the
  headroom above the quota covers the request, or its units are added to the quota's name at the counter before it is
  sent.  So it uses the quota only where the headroom is used up, that is where quota and reservation do not both fit
  under the ceiling; the customer's other requests are rejected before that, since they must leave part of the buckets
  (`RESERVED_BUCKET_FRACTION`).

Known limitation: the headroom is split evenly, since a gateway has no data on gateways that were not notified
of the reservation.  A customer whose requests all arrive at one gateway of many has only its quota and one share of
the headroom there.
"""

from __future__ import annotations

from badgeryoke.decisions.interface import (
    Action,
    AttemptOutcome,
    CounterReply,
    Plan,
    Reject,
    Request,
    Server,
    ServerFilter,
    Settings,
    Verdict,
)
from badgeryoke.decisions.policy import engine
from badgeryoke.decisions.policy.quota import CustomerQuota, GcraBucket

# While servers are slow, priority class n may exceed their estimated concurrency by this fraction, divided by n.
# Requests without reservation are shed long before.
SLOW_OVERCOMMIT_FRACTION = 3.0
# The fraction of the buckets under a ceiling that is kept for a customer's reserved requests, for RESERVED_BUCKET_MS
# after the last of them.  The customer's other requests keep the rate, but not the burst.
RESERVED_BUCKET_FRACTION = 0.75
RESERVED_BUCKET_MS = 2000.0
MAX_PRIORITY_CUSTOMERS = 10_000  # customers with recent reserved requests; all are dropped at this number
CEILING, LOAD, SERVER = "ceiling", "load", "server"  # causes of a rejection, for the log


class PriorityDecisionEngine(engine.DecisionEngine):
    """The decision engine with priority for reserved requests."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self._reserved_quota: CustomerQuota | None = None  # shared by all reserved requests; unlimited
        self._verdict: Verdict | None = None  # verdict of the attempt whose outcome is being handled
        # By customer under a ceiling: when its last reserved request arrived.
        self._priority_customers: dict[int, float] = {}

    def _has_recent_priority(self, now: float, customer: int) -> bool:
        return (
            bool(self._priority_customers)
            and now - self._priority_customers.get(customer, -RESERVED_BUCKET_MS) < RESERVED_BUCKET_MS
        )

    def _counter_replied(self, now: float, event: CounterReply) -> list[Action]:
        quota = self._quota._calls.get(event.name) if self._priority_customers else None
        # Requests are decided in the order of this dict, so reserved ones are put first.
        if quota is not None and self._has_recent_priority(now, quota.customer):
            quota.requests_in_call = dict(
                sorted(quota.requests_in_call.items(), key=lambda item: not self._is_reserved(item[0]))
            )
        return super()._counter_replied(now, event)

    def _is_reserved(self, request_id: str) -> bool:
        pending = self._pending.get(request_id)
        return pending is not None and pending.request.reservation_rank > 0

    def _request_arrived(self, now: float, event: Request) -> list[Action]:
        if event.reservation_rank:
            return self._admit_reserved(now, event)
        # A call to the counter for a request that is rejected would count as use at the other gateways.
        if self._has_recent_priority(now, event.customer):
            quota = self._quota.quota_for(now, event)
            if (missing_units := self._missing_units(now, quota, event.units)) > 0:
                return [Reject(event.id, max(missing_units * quota.bucket.interval_ms, 1.0))]
        return super()._request_arrived(now, event)

    @staticmethod
    def _missing_units(now: float, quota: CustomerQuota, units: float) -> float:
        """How many of the units kept for reserved requests an ordinary request would use; 0 or less: none."""
        if not quota.synchronized or quota.headroom_bucket is None:
            return 0.0
        return min(
            units + RESERVED_BUCKET_FRACTION * quota.plan.burst, quota.plan.burst
        ) - quota.bucket.capacity(now)

    def _admit_reserved(self, now: float, event: Request) -> list[Action]:
        """Send a reserved request, unless it may exceed the ceiling."""
        request_class = self._classes.get(event.request_class)
        if request_class is None:
            raise ValueError(f"class {event.request_class!r} is not among the settings")
        quota = self._quota.quota_for(now, event)
        if self._reserved_quota is None:
            self._reserved_quota = CustomerQuota(Plan("reserved"), event, self._settings, now, now)
        pending = self._pending[event.id] = engine.PendingRequest(
            event, request_class, self._reserved_quota, now, self._settings.max_attempts
        )
        if quota.plan.rate <= 0 or quota.headroom_bucket is None:
            return self._send_attempt(now, pending)
        if len(self._priority_customers) >= MAX_PRIORITY_CUSTOMERS:
            self._priority_customers.clear()
        self._priority_customers[event.customer] = now
        if quota.headroom_bucket.capacity(now) >= event.units:
            return self._send_charged(now, pending, quota.headroom_bucket)
        # Rejected without a call to the counter, which would count as use at the other gateways.
        if quota.synchronized and (wait := quota.bucket.wait(now, event.units)) > 0:
            return self._reject(now, pending, wait)
        visibility, timeout = self._quota.visibility, self._settings.counter_timeout_ms
        if (
            self._settings.has_counter
            and event.remaining_ms > engine.HOLD_TIMEOUT_MULTIPLE * timeout
            and not (visibility and visibility.suppresses_calls(now, quota))
        ):
            quota.requests_waiting[event.id] = event.units
            return self._quota.synchronize(now, quota)
        return self._admit_unconfirmed(now, pending)

    def _send_charged(self, now: float, pending: engine.PendingRequest, bucket: GcraBucket) -> list[Action]:
        """Send a request, and charge the bucket that ensures that the ceiling holds."""
        actions = self._send_attempt(now, pending)
        if pending.attempts:
            bucket.consume(pending.request.units, now)
        return actions

    def _admit_unconfirmed(
        self, now: float, pending: engine.PendingRequest, spare: bool = False
    ) -> list[Action]:
        request = pending.request
        if not request.reservation_rank:
            quota = pending.quota
            if (
                quota.headroom_bucket
                and self._has_recent_priority(now, request.customer)
                and (
                    quota.headroom_bucket.capacity(now) - request.units
                    < RESERVED_BUCKET_FRACTION
                    * quota.headroom_bucket.tolerance
                    / quota.headroom_bucket.interval_ms
                )
            ):
                return self._reject(now, pending, pending.quota.bucket.interval_ms)
            return super()._admit_unconfirmed(now, pending, spare)
        quota, units = self._quota.quota_for(now, request), request.units
        if quota.headroom_bucket and quota.headroom_bucket.capacity(now) >= units:
            return self._send_charged(now, pending, quota.headroom_bucket)
        partial_bucket = quota.bucket.partial_share  # this side's share in a partition
        if partial_bucket and quota.bucket.wait(now, units) <= 0:
            quota.own_bucket.interval_ms = partial_bucket.interval_ms / quota.own_share()
            if (
                self._quota.visibility and self._quota.visibility.is_isolated(quota)
            ) or quota.own_bucket.wait(now, units) <= 0:
                quota.own_bucket.consume(units, now)
                return self._send_charged(now, pending, quota.bucket)
        return self._reject(now, pending, quota.bucket.interval_ms)

    def _reject(self, now: float, pending: engine.PendingRequest, wait: float) -> list[Action]:
        if not pending.request.reservation_rank:
            return super()._reject(now, pending, wait)
        self._remove_request(pending.request.id)
        return [Reject(pending.request.id, max(wait, 1.0), CEILING)]

    def _give_up(self, now: float, pending: engine.PendingRequest) -> list[Action]:
        actions = super()._give_up(now, pending)
        if pending.request.reservation_rank:
            cause = LOAD if self._verdict in (None, Verdict.QUEUE_FULL) else SERVER
            return [
                Reject(action.id, action.retry_after_ms, cause) if isinstance(action, Reject) else action
                for action in actions
            ]
        return actions

    def _choose(self, now: float, pending: engine.PendingRequest, allowed: ServerFilter) -> Server | None:
        rank, balancer = pending.request.reservation_rank, self._balancer
        if not rank:
            is_limited = not pending.attempts and self._has_recent_priority(now, pending.request.customer)
            if is_limited and self._missing_units(now, pending.quota, pending.request.units) > 0:
                return None
            return super()._choose(now, pending, allowed)
        concurrency_limit = balancer._concurrency_share() + max(balancer._extra_concurrency, 0.0)
        if not balancer.is_healthy(now) and balancer._in_flight >= max(
            concurrency_limit * (1.0 + SLOW_OVERCOMMIT_FRACTION / rank), 1.0
        ):
            return None
        choice = balancer.choose(now, allowed, pending.attempts)
        if choice is None or (
            choice[1] >= pending.deadline_at - now and not balancer.is_trial_due(now, choice[0].id)
        ):
            return None
        return choice[0]

    def _attempt_ended(self, now: float, event: AttemptOutcome) -> list[Action]:
        if self._reserved_quota is None or not self._is_reserved(event.id):
            return super()._attempt_ended(now, event)
        self._retry_budget += not event.ended  # retries of reserved requests do not use the retry budget
        self._verdict = event.verdict
        actions = super()._attempt_ended(now, event)
        self._verdict = None
        return actions
