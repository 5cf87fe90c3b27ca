"""Decides on requests: one event in, its actions out.  The types are in badgeryoke/decisions/interface.py."""

import math
import random

from badgeryoke.decisions import interface as api
from badgeryoke.decisions.policy.load_balancing import LoadBalancer
from badgeryoke.decisions.policy.quota import REPORT_DELAY_FRACTION, CustomerQuota, QuotaManager

# A request waits for the counter only if its client's deadline is at least this many counter timeouts away.
# That is twice the longest wait: one call in flight and the next one.
HOLD_TIMEOUT_MULTIPLE = 4.0
# An attempt starts only if its expected latency is at most this fraction of the objective's remaining time.
MAX_EXPECTED_LATENCY_FRACTION = 0.75
# Retry-After as a fraction of the latency objective if servers or plan have no capacity: about one response.
RETRY_AFTER_FRACTION = 0.1
# Retries earned per first attempt.  The lower value applies while responses are slow and bounds the extra
# load when many attempts fail at once; while responses are fast, the servers have capacity for more.
RETRY_FRACTION = 0.1
HEALTHY_RETRY_FRACTION = 0.4
# Retries that all gateways together may save up for the loss of a server, in addition to one per gateway.
MAX_SAVED_RETRIES = 40.0


class PendingRequest:
    """One request from its arrival to its final answer."""

    def __init__(
        self, request: api.Request, cls: api.RequestClass, quota: CustomerQuota, now: float, max_attempts: int
    ) -> None:
        self.request, self.request_class, self.quota = request, cls, quota
        self.max_attempts, self.arrived_at, self.deadline_at = max_attempts, now, now + request.remaining_ms
        self.attempts: list[int] = []  # server id of each attempt
        self.server: api.Server | None = None  # server of the attempt in flight
        # Server and send time of the first attempt that the server may have executed.
        self.first_possible_run: tuple[api.Server, float] | None = None

    def set_server(self, server: api.Server | None) -> None:
        """Set the server of the attempt in flight; nothing else changes the quota's attempts_in_flight."""
        self.quota.attempts_in_flight += (server is not None) - (self.server is not None)
        self.server = server


class DecisionEngine:
    """Decides on requests, using the quota manager and the load balancer."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        rng = self._rng = random.Random(seed)
        self._quota, self._balancer = QuotaManager(settings, rng), LoadBalancer(settings, rng)
        self.update_settings(settings)
        self._pending: dict[str, PendingRequest] = {}
        # Purpose of each timer: a quota's report, or a silence check (request id, attempt, timeout in ms).
        self._timers: dict[int, CustomerQuota | tuple[str, int, float]] = {}
        self._last_token, self._retry_budget = 0, self._max_retry_budget

    def handle(self, now: float, event: api.Event) -> api.Actions:
        """Handle one event and return the resulting actions."""
        match event:
            case api.Request():
                return self._request_arrived(now, event)
            case api.AttemptOutcome():
                return self._attempt_ended(now, event)
            case api.CounterReply():
                return self._counter_replied(now, event)
            case api.TimerFired():
                return self._timer_fired(now, event.token)
            case api.ClientDisconnected():
                self._remove_request(event.id)
            case api.ResponseStarted(id=request_id) if (
                pending := self._pending.get(request_id)
            ) and pending.server:
                self._balancer.record_response_start(
                    pending.server.id, (request_id, len(pending.attempts) - 1)
                )
            case api.EndpointList(scope=scope):
                self._balancer.update_endpoints(event)
                if scope in (api.ListScope.CACHED, api.ListScope.LOST) and self._settings.must_subscribe:
                    return [api.Subscribe()]
        return []

    def update_settings(self, settings: api.Settings) -> None:
        """Apply new settings; pending requests keep their class and maximum number of attempts."""
        self._settings = settings
        self._classes = {cls.name: cls for cls in settings.classes}
        self._quota.update_settings(settings)
        self._balancer.update_settings(settings)
        self._max_retry_budget = 1 + MAX_SAVED_RETRIES / settings.gateway_count

    def unavailable_server_count(self, now: float) -> int:
        """Number of listed servers that are draining or outliers; outliers get trial attempts only."""
        return self._balancer.unavailable_server_count(now)

    def _remove_request(self, request_id: str) -> None:
        """Remove a request that has its final answer or whose client disconnected."""
        if pending := self._pending.pop(request_id, None):
            pending.set_server(None)

    def _set_timer(self, at: float, purpose: CustomerQuota | tuple[str, int, float]) -> api.Action:
        self._last_token += 1
        self._timers[self._last_token] = purpose
        return api.SetTimer(at, self._last_token)

    def _request_arrived(self, now: float, event: api.Request) -> api.Actions:
        if (cls := self._classes.get(event.request_class)) is None:
            raise ValueError(f"class {event.request_class!r} is not among the settings")
        quota = self._quota.quota_for(now, event)
        attempts = self._settings.max_attempts
        pending = self._pending[event.id] = PendingRequest(event, cls, quota, now, attempts)
        if quota.plan.rate <= 0:
            return self._send_attempt(now, pending)
        wait_ms = (
            quota.bucket.wait(now, event.units) if quota.synchronized or quota.visibility_version else 0.0
        )
        limit = quota.plan.concurrency_limit
        if limit and quota.attempts_in_flight >= max(limit * quota.own_share(), 1.0):
            wait_ms = max(wait_ms, RETRY_AFTER_FRACTION * cls.latency_objective_ms)
        if wait_ms > 0:
            return self._reject(now, pending, wait_ms)
        if self._quota.has_spare_capacity(now, quota, event.units):
            return self._admit_unconfirmed(now, pending, True)
        can_wait = event.remaining_ms > HOLD_TIMEOUT_MULTIPLE * self._settings.counter_timeout_ms
        weight = 1.0 if quota.calls_in_flight else self._quota.call_weight(now, quota, event.units)
        if can_wait and weight:
            quota.requests_waiting[event.id] = event.units
            return self._quota.synchronize(now, quota, event.units * (weight - 1))
        return self._admit_unconfirmed(now, pending)

    def _admit_unconfirmed(self, now: float, pending: PendingRequest, spare: bool = False) -> api.Actions:
        """Decide without the counter, by this gateway's share of the quota and of the ceiling's headroom."""
        quota, units = pending.quota, pending.request.units
        wait_ms = 0.0 if spare else self._quota.unconfirmed_wait(now, quota, units)
        if not spare and not self._balancer.is_healthy(now) and not self._balancer.is_half_open(now):
            # Under overload, unconfirmed requests are shed first: many of them are over quota.
            wait_ms = max(wait_ms, quota.bucket.interval_ms)
        if wait_ms > 0:
            return self._reject(now, pending, wait_ms)
        headroom = quota.headroom_bucket  # not used while a partial share of the quota is granted
        if headroom and not quota.bucket.partial_share and headroom.capacity(now) < units:
            return self._reject(now, pending, quota.bucket.interval_ms)
        actions = self._send_attempt(now, pending)
        if pending.attempts:
            quota.own_bucket.consume(units, now)
            quota.bucket.consume(units, now)
            quota.unreported_units += units if spare else 0.0
            if headroom:
                headroom.consume(units, now)
            if spare and not quota.report_scheduled:
                quota.report_scheduled = True
                actions.append(self._set_timer(now + REPORT_DELAY_FRACTION * quota.period_ms, quota))
        return actions

    def _counter_replied(self, now: float, event: api.CounterReply) -> api.Actions:
        if (result := self._quota.handle_reply(now, event)) is None:
            return []
        quota, is_reliable, actions = result
        if quota.calls_in_flight or actions:
            return actions
        requests, quota.requests_in_call = quota.requests_in_call, {}
        for request_id, units in requests.items():
            pending = self._pending.get(request_id)
            if pending is None or not is_reliable:
                quota.unreported_units -= units  # the counter has them already, if the call reached it
                actions += self._admit_unconfirmed(now, pending) if pending else []
                continue
            wait_ms = quota.bucket.wait(now, units)
            self._quota.record_conformance(quota, wait_ms <= 0)
            actions += (
                self._reject(now, pending, wait_ms) if wait_ms > 0 else self._send_attempt(now, pending)
            )
            if wait_ms <= 0 and pending.attempts:
                quota.bucket.consume(units, now)
            else:
                quota.unreported_units -= units
        surplus = -quota.unreported_units if is_reliable else 0.0
        if quota.requests_waiting or (surplus > 0 and self._quota.call_weight(now, quota, surplus)):
            actions += self._quota.synchronize(now, quota)
        return actions

    def _reject(self, now: float, pending: PendingRequest, wait_ms: float) -> api.Actions:
        self._remove_request(pending.request.id)
        return [api.Reject(pending.request.id, max(wait_ms, 1.0))]

    def _retry_filter(
        self, now: float, pending: PendingRequest, sent_at: float = math.inf
    ) -> api.RetryFilter:
        """Return which servers the request's idempotency allows for a retry.

        `sent_at` is the send time of an attempt in flight that would be cancelled for the retry.
        """
        first, cls = pending.first_possible_run, pending.request_class
        if first is None and sent_at < math.inf and pending.server:
            first = pending.server, sent_at
        if first is None or cls.idempotency is api.Idempotency.IDEMPOTENT:
            return None
        server, first_at = first
        expired = now >= first_at + cls.deduplication_window_ms
        if cls.idempotency is api.Idempotency.NOT_IDEMPOTENT or expired:
            return False
        if cls.deduplication_scope is api.DeduplicationScope.ZONE:
            return lambda other: other.zone == server.zone
        if cls.deduplication_scope is api.DeduplicationScope.CELL:
            return lambda other: other.cell == server.cell
        return None

    def _choose(self, now: float, pending: PendingRequest, allowed: api.ServerFilter) -> api.Server | None:
        """Choose the server of the next attempt; None if no server is expected to respond in time."""
        balancer = self._balancer
        choice = None if balancer.is_saturated() else balancer.choose(now, allowed, pending.attempts)
        if choice is None:
            return None
        server, expected_ms = choice
        remaining_ms = (
            min(pending.arrived_at + pending.request_class.latency_objective_ms, pending.deadline_at) - now
        )
        if expected_ms > MAX_EXPECTED_LATENCY_FRACTION * remaining_ms:
            is_trial = remaining_ms > 0 and not pending.attempts and balancer.is_trial_due(now, server.id)
            return server if is_trial else None
        return server

    def _send_attempt(self, now: float, pending: PendingRequest) -> api.Actions:
        """Start an attempt if its response can still arrive in time; otherwise give the final answer."""
        request_id, attempt, remaining_ms = (
            pending.request.id,
            len(pending.attempts),
            pending.deadline_at - now,
        )
        allowed = self._retry_filter(now, pending)
        is_exhausted = attempt >= pending.max_attempts or remaining_ms <= self._settings.tick_ms
        chosen = None if allowed is False or is_exhausted else self._choose(now, pending, allowed)
        if chosen is None:
            return self._give_up(now, pending)
        if attempt == 0:
            earned = HEALTHY_RETRY_FRACTION if self._balancer.is_healthy(now) else RETRY_FRACTION
            self._retry_budget = min(self._retry_budget + earned, self._max_retry_budget)
        pending.attempts.append(chosen.id)
        pending.set_server(chosen)
        timeout_ms = self._balancer.silence_timeout(
            now, chosen.id, pending.request_class.latency_objective_ms
        )
        self._balancer.record_send(now, chosen.id, (request_id, attempt))
        actions: list[api.Action] = [api.SendAttempt(request_id, chosen.id, remaining_ms)]
        if self._settings.can_cancel and timeout_ms < remaining_ms:
            actions.append(self._set_timer(now + timeout_ms, (request_id, attempt, timeout_ms)))
        return actions

    def _give_up(self, now: float, pending: PendingRequest) -> api.Actions:
        """Give the final answer: a rejection if a retry by the client does no harm, otherwise a failure."""
        cls = pending.request_class
        deduplicated = cls.deduplication_scope is api.DeduplicationScope.ALL
        with_key = cls.idempotency is api.Idempotency.WITH_KEY and deduplicated
        if pending.first_possible_run is None or cls.idempotency is api.Idempotency.IDEMPOTENT or with_key:
            return self._reject(now, pending, RETRY_AFTER_FRACTION * cls.latency_objective_ms)
        self._remove_request(pending.request.id)
        return [api.Fail(pending.request.id)]

    def _attempt_ended(self, now: float, event: api.AttemptOutcome) -> api.Actions:
        pending = self._pending.get(event.id)
        objective_ms = pending.request_class.latency_objective_ms if pending else math.inf
        self._balancer.record_outcome(now, event, objective_ms)
        is_measured = event.verdict is api.Verdict.OK and event.true_units > 0
        if pending and is_measured and pending.quota.plan.rate > 0:
            correction = event.true_units - pending.request.units
            # No refunds while responses are slow: they would admit requests that overloaded servers cannot
            # answer in time.
            if correction > 0 or self._balancer.is_healthy(now):
                self._quota.correct_charge(now, pending.quota, correction)
        if pending is None or event.ended:
            self._remove_request(event.id)
            return []
        if not event.verdict.never_ran and pending.first_possible_run is None and pending.server:
            pending.first_possible_run = pending.server, now - event.rtt_ms
        pending.set_server(None)
        if self._retry_budget < 1:
            return self._give_up(now, pending)
        self._retry_budget -= 1
        return self._send_attempt(now, pending)

    def _timer_fired(self, now: float, token: int) -> api.Actions:
        purpose = self._timers.pop(token, ("", 0, 0.0))
        if isinstance(purpose, CustomerQuota):
            purpose.report_scheduled = False
            return self._quota.synchronize(now, purpose)
        request_id, attempt, timeout_ms = purpose
        pending = self._pending.get(request_id)
        if pending is None or not pending.server or len(pending.attempts) != attempt + 1:
            return []
        # An attempt is cancelled only if a retry can follow, as its work is wasted otherwise, and only now:
        # a later retry would add to the load.
        can_retry = self._retry_budget >= 1 and len(pending.attempts) < pending.max_attempts
        can_retry = can_retry and self._retry_filter(now, pending, now - timeout_ms) is not False
        is_silent = self._balancer.detect_silence(now, pending.server.id, (request_id, attempt), timeout_ms)
        return [api.CancelAttempt(request_id, attempt)] if is_silent and can_retry else []
