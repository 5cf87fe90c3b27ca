"""Decisions on requests that were admitted under a reservation: they have priority over all others.

A host whose gateways guarantee capacity uses this in place of `policy.engine.DecisionEngine`, and marks such
requests with `Request.reservation_rank`, their priority class (1 is the first).  Without marked requests
nothing changes.  For one that is marked:

- **Quota.**  None is checked: the reservation is its quota.  Its units and its attempts in flight count against
  no quota of the customer's, so that beyond the reservation the customer is treated as any other.
- **Load.**  The limit of attempts in flight does not apply to it, but its attempts count against that limit: what
  is not reserved is shed first when capacity is short.  It is rejected where no server is expected to reply by
  its deadline, or where servers are slow and so much is in flight that its class has no share of what is left;
  lower classes are shed first.
- **Ceiling.**  It holds over all gateways as without reservations, by either of two proofs: the gateway's own share
  of the headroom above the quota, or else the quota's name at the counter, where its units are added before it is
  sent.  So it uses the quota only where the headroom is used up, that is where quota and reservation do not both
  fit under the ceiling; the customer's other requests are rejected first, since they leave the buckets partly full
  (`RESERVED_BUCKET_FRACTION`).

Known limit: the headroom is split evenly, since no gateway can prove what another one sends that was not notified
of the reservation.  A customer whose requests all come to one gateway of many has its quota and one share of the
headroom there.
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

# While servers are slow, the first class may exceed their estimated concurrency by this fraction of it, ...
SLOW_OVERCOMMIT_FRACTION = 3.0
# ... and class n by 1/n of it.  Requests without reservation are shed long before.
# Of the buckets under a ceiling, this fraction is left to a customer's reserved requests ...
RESERVED_BUCKET_FRACTION = 0.75
RESERVED_BUCKET_MS = 2000.0  # ... for so long after one of them: its others keep the rate, but not the burst
MAX_PRIORITY_CUSTOMERS = 10_000  # with recent reserved requests; beyond, all are dropped
CEILING, LOAD, SERVER = "ceiling", "load", "server"  # causes of a rejection, which are logged


class PriorityDecisionEngine(engine.DecisionEngine):
    """The decision engine where some requests are reserved."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self._reserved_quota: CustomerQuota | None = None  # of all reserved requests: it limits nothing
        self._verdict: Verdict | None = None  # of the attempt whose end is being handled
        # Customers under a ceiling, and when their last reserved request came.
        self._priority_customers: dict[int, float] = {}

    def _has_recent_priority(self, now: float, customer: int) -> bool:
        return (
            bool(self._priority_customers)
            and now - self._priority_customers.get(customer, -RESERVED_BUCKET_MS) < RESERVED_BUCKET_MS
        )

    def _counter_replied(self, now: float, event: CounterReply) -> list[Action]:
        quota = self._quota._calls.get(event.name) if self._priority_customers else None
        # Requests are decided in this order: reserved ones first.
        if quota is not None and self._has_recent_priority(now, quota.customer):
            quota.requests_in_call = dict(
                sorted(quota.requests_in_call.items(), key=lambda held: not self._is_reserved(held[0]))
            )
        return super()._counter_replied(now, event)

    def _is_reserved(self, request_id: str) -> bool:
        job = self._pending.get(request_id)
        return job is not None and job.request.reservation_rank > 0

    def _request_arrived(self, now: float, event: Request) -> list[Action]:
        if event.reservation_rank:
            return self._admit_reserved(now, event)
        if self._has_recent_priority(now, event.customer):  # asked in vain, it would look used to the others
            quota = self._quota.quota_for(now, event)
            if (missing_units := self._missing_units(now, quota, event.units)) > 0:
                return [Reject(event.id, max(missing_units * quota.bucket.interval_ms, 1.0))]
        return super()._request_arrived(now, event)

    @staticmethod
    def _missing_units(now: float, quota: CustomerQuota, units: float) -> float:
        """By how many units a request that is not reserved would use what is left to reserved ones."""
        if not quota.synchronized or quota.headroom_bucket is None:
            return 0.0
        return min(
            units + RESERVED_BUCKET_FRACTION * quota.plan.burst, quota.plan.burst
        ) - quota.bucket.capacity(now)

    def _admit_reserved(self, now: float, event: Request) -> list[Action]:
        """Send a reserved request, unless a ceiling may not allow it."""
        cls = self._classes.get(event.request_class)
        if cls is None:
            raise ValueError(f"class {event.request_class!r} is not among the settings")
        quota = self._quota.quota_for(now, event)
        if self._reserved_quota is None:
            self._reserved_quota = CustomerQuota(Plan("reserved"), event, self._settings, now, now)
        job = self._pending[event.id] = engine.PendingRequest(
            event, cls, self._reserved_quota, now, self._settings.max_attempts
        )
        if quota.plan.rate <= 0 or quota.headroom_bucket is None:
            return self._send_attempt(now, job)
        if len(self._priority_customers) >= MAX_PRIORITY_CUSTOMERS:
            self._priority_customers.clear()
        self._priority_customers[event.customer] = now
        if quota.headroom_bucket.capacity(now) >= event.units:
            return self._send_charged(now, job, quota.headroom_bucket)
        if (
            quota.synchronized and (wait := quota.bucket.wait(now, event.units)) > 0
        ):  # asked in vain, it would look used to others
            return self._reject(now, job, wait)
        visibility, timeout = self._quota.visibility, self._settings.counter_timeout_ms
        if (
            self._settings.has_counter
            and event.remaining_ms > engine.HOLD_TIMEOUT_MULTIPLE * timeout
            and not (visibility and visibility.suppresses_calls(now, quota))
        ):
            quota.requests_waiting[event.id] = event.units
            return self._quota.synchronize(now, quota)
        return self._admit_unconfirmed(now, job)

    def _send_charged(self, now: float, job: engine.PendingRequest, bucket: GcraBucket) -> list[Action]:
        """Send, and charge the bucket that proves that the ceiling holds."""
        actions = self._send_attempt(now, job)
        if job.attempts:
            bucket.consume(job.request.units, now)
        return actions

    def _admit_unconfirmed(self, now: float, job: engine.PendingRequest, spare: bool = False) -> list[Action]:
        request = job.request
        if not request.reservation_rank:
            quota = job.quota
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
                return self._reject(now, job, job.quota.bucket.interval_ms)
            return super()._admit_unconfirmed(now, job, spare)
        quota, units = self._quota.quota_for(now, request), request.units
        if quota.headroom_bucket and quota.headroom_bucket.capacity(now) >= units:
            return self._send_charged(now, job, quota.headroom_bucket)
        partial_bucket = quota.bucket.partial_share  # the share of this side of a partition
        if partial_bucket and quota.bucket.wait(now, units) <= 0:
            quota.own_bucket.interval_ms = partial_bucket.interval_ms / quota.own_share()
            if (
                self._quota.visibility and self._quota.visibility.is_isolated(quota)
            ) or quota.own_bucket.wait(now, units) <= 0:
                quota.own_bucket.consume(units, now)
                return self._send_charged(now, job, quota.bucket)
        return self._reject(now, job, quota.bucket.interval_ms)

    def _reject(self, now: float, job: engine.PendingRequest, wait: float) -> list[Action]:
        if not job.request.reservation_rank:
            return super()._reject(now, job, wait)
        self._remove_request(job.request.id)
        return [Reject(job.request.id, max(wait, 1.0), CEILING)]

    def _give_up(self, now: float, job: engine.PendingRequest) -> list[Action]:
        actions = super()._give_up(now, job)
        if job.request.reservation_rank:
            cause = LOAD if self._verdict in (None, Verdict.QUEUE_FULL) else SERVER
            return [
                Reject(one.id, one.retry_after_ms, cause) if isinstance(one, Reject) else one
                for one in actions
            ]
        return actions

    def _choose(self, now: float, job: engine.PendingRequest, allowed: ServerFilter) -> Server | None:
        rank, balancer = job.request.reservation_rank, self._balancer
        if not rank:
            is_limited = not job.attempts and self._has_recent_priority(now, job.request.customer)
            if is_limited and self._missing_units(now, job.quota, job.request.units) > 0:
                return None
            return super()._choose(now, job, allowed)
        concurrency_limit = balancer._concurrency_share() + max(balancer._extra_concurrency, 0.0)
        if not balancer.is_healthy(now) and balancer._in_flight >= max(
            concurrency_limit * (1.0 + SLOW_OVERCOMMIT_FRACTION / rank), 1.0
        ):
            return None
        choice = balancer.choose(now, allowed, job.attempts)
        if choice is None or (
            choice[1] >= job.deadline_at - now and not balancer.is_trial_due(now, choice[0].id)
        ):
            return None
        return choice[0]

    def _attempt_ended(self, now: float, event: AttemptOutcome) -> list[Action]:
        if self._reserved_quota is None or not self._is_reserved(event.id):
            return super()._attempt_ended(now, event)
        self._retry_budget += not event.ended  # its retries take nothing of the other requests' budget
        self._verdict = event.verdict
        actions = super()._attempt_ended(now, event)
        self._verdict = None
        return actions
