"""The dispatcher: starts attempts for requests and gives each request exactly one final response.

It is independent of wire protocols.  The clock, the event loop, the upstreams and the counter are passed in.

The path of a request: `validate`, `submit`, `_accept` (or an immediate rejection), `_request_decision`; then, as
the decision module directs, `_start_attempt` and `_attempt_ended`, until `_respond` gives the final response.  The
request is removed once its last attempt has ended, too.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from badgeryoke.decisions import interface as api
from badgeryoke.decisions.policy.engine import DecisionEngine
from badgeryoke.gateway.actor import Actor, ActorScheduler
from badgeryoke.gateway.attempt import Attempt, AttemptEnd, AttemptStage, Request, Upstream
from badgeryoke.gateway.decision_module import (
    Counter,
    DecisionModule,
    decision_engine_type,
    monitored_engine,
)
from badgeryoke.gateway.load_shedding import LoadShedder
from badgeryoke.gateway.metrics import Metrics, RequestResult
from badgeryoke.gateway.pending_request import PendingRequest, UnservedCause
from badgeryoke.gateway.request_validation import RequestValidator
from badgeryoke.gateway.response_stream import ResponseStream
from badgeryoke.gateway.responses import RESULT_OF, Failed, Rejected, Response, Served, Streaming

if TYPE_CHECKING:
    from badgeryoke.decisions.counter_health.monitored_policy import MonitoredEngine
    from badgeryoke.decisions.state_snapshot import StateSnapshot
    from badgeryoke.gateway.reserved_admission import ReservationLeases, ReservedAdmission

log = logging.getLogger(__name__)

# The final response is given this long before the client's deadline: it has to reach the client, and the event loop
# may be busy.  For a short deadline the margin is at most this fraction of it.
MAX_RESPONSE_GUARD_MS = 15.0
MAX_RESPONSE_GUARD_FRACTION = 0.1
# No attempt may begin later than 0.1 s after its client has left; within this time the client may come back for it.
ABANDON_DELAY_S = 0.03
FALLBACK_RETRY_AFTER_MS = 100.0  # Retry-After of rejections that the decision module did not make
MAX_PENDING_REQUESTS = 10_000
MAX_BODIES_BYTES = 32 * 1024 * 1024  # default bound on the bodies of all pending requests together
DEFAULT_OBJECTIVE_MS = 1000.0  # the latency objective if the settings have no class
DEADLINE_TOLERANCE_MS = 1.0  # an attempt's deadline this close to the request's gets no timer of its own
FAULT_LOG_INTERVAL = 1000  # the first fault of the decision module is logged, then one in this many


class Dispatcher(Actor):
    """Passes events to one decision module and executes its actions.

    find_upstream: returns the upstream of a server number, None if the server is no longer listed.
    max_bodies_bytes: bound on the bodies of all pending requests; requests that would exceed it are rejected.
    monitor_counter: add a counter-health monitor to the decision module.
    with_reservations: decide with priority ranks, for customers with a reservation.
    """

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        loop: ActorScheduler,
        clock: Callable[[], float],
        find_upstream: Callable[[int], Upstream | None],
        counter: Counter,
        max_bodies_bytes: int = MAX_BODIES_BYTES,
        monitor_counter: bool = False,
        with_reservations: bool = False,
    ) -> None:
        super().__init__(loop)
        engine_type = decision_engine_type(with_reservations)
        self._module: DecisionModule = engine_type(settings, seed)
        self._monitored_engine: MonitoredEngine | None = None
        if monitor_counter:
            self._module = self._monitored_engine = monitored_engine(settings, seed, engine_type)
        self._reserved_admission: ReservedAdmission | None = None
        self._clock, self._find_upstream, self._counter = clock, find_upstream, counter
        self._max_bodies_bytes = max_bodies_bytes
        self._validator = RequestValidator(settings)
        self.validate = self._validator.validate  # bound directly: a wrapper would cost a call per request
        self._shedder = LoadShedder(seed)
        self.record_loop_lag = self._shedder.record_loop_lag
        self._apply_settings(settings)
        self._open_ids: set[str] = set()  # client-assigned ids of requests without a final response
        self._pending: dict[str, PendingRequest] = {}  # by the id that the dispatcher assigns
        self._timers: dict[int, asyncio.TimerHandle] = {}  # by the decision module's token
        self._last_id = self._bodies_bytes = 0
        self.decision_faults = 0  # exceptions of the decision module
        self.metrics = Metrics(self._validator.classes)

    # Settings and state.

    def enable_reservations(self, leases: ReservationLeases, now: Callable[[], float]) -> None:
        """Draw requests' units from this gateway's leases before the decision; `now` is the leases' clock, ms."""
        from badgeryoke.gateway.reserved_admission import ReservedAdmission

        self._reserved_admission = ReservedAdmission(
            leases, now, self._loop, lambda pending: self.post(self._reservation_wait_ended, pending)
        )

    def _apply_settings(self, settings: api.Settings) -> None:
        self._response_slack_ms = settings.response_slack_ms  # allowance for the transit to a server
        self._shortest_objective_ms = min(
            (request_class.latency_objective_ms for request_class in settings.classes),
            default=DEFAULT_OBJECTIVE_MS,
        )

    def update_settings(self, settings: api.Settings) -> None:
        """Apply new settings, after the messages that are in the mailbox already."""
        self.post(self._update_settings, settings)

    def _update_settings(self, settings: api.Settings) -> None:
        self._module.update_settings(settings)
        self._validator.update_settings(settings)
        self._apply_settings(settings)
        self.metrics.add_classes(self._validator.classes)

    @property
    def unanswered(self) -> int:
        """The number of requests without a final response."""
        return sum(1 for pending in self._pending.values() if pending.respond is not None)

    @property
    def unavailable_server_count(self) -> int:
        """The number of listed servers that get no requests at present."""
        return self._module.unavailable_server_count(self._clock())

    def update_endpoints(self, endpoints: api.EndpointList) -> None:
        """Pass a new endpoint list to the decision module."""
        self.post(self._handle_event, endpoints)

    def take_snapshot(self, names: dict[int, str]) -> StateSnapshot | str:
        """The state for a successor, with servers by their names in discovery; or why there is none."""
        from badgeryoke.decisions import state_snapshot  # loaded only for a hot restart

        if not isinstance(self._module, DecisionEngine):
            return "the counter is watched, and what the watch knows is not handed over"
        return state_snapshot.take_snapshot(self._module, names)

    def mark_transferred(self, snapshot: StateSnapshot) -> None:
        """Stop using the quota in this snapshot, from which the successor serves now."""
        from badgeryoke.decisions import state_snapshot

        if isinstance(self._module, DecisionEngine):
            state_snapshot.mark_transferred(self._module, snapshot)

    def restore_snapshot(self, snapshot: StateSnapshot, numbers: dict[str, int]) -> None:
        """Restore a predecessor's state, after the endpoint list received before; `numbers`: servers by name."""
        self.post(self._restore_snapshot, snapshot, numbers)

    def _restore_snapshot(self, snapshot: StateSnapshot, numbers: dict[str, int]) -> None:
        from badgeryoke.decisions import state_snapshot

        now = self._clock()
        if isinstance(self._module, DecisionEngine):
            for action in state_snapshot.restore_snapshot(self._module, now, snapshot, numbers):
                self._execute(now, action)

    # From a client's request to the decision module.

    def submit(self, request: Request, respond: Callable[[Response], None]) -> Callable[[], None]:
        """Accept a validated request: `respond` is called once, with its final response.

        Returns a function that reports that the client has disconnected; after it `respond` is not called.
        """
        pending = self._submit(request, respond)
        return lambda: self.post(self._client_disconnected, pending)

    def submit_resumable(self, request: Request, respond: Callable[[Response], None]) -> PendingRequest:
        """Accept a validated request whose client may come back for the response over another connection.

        Returns the argument for `client_left` and `client_returned`; `respond` is called once, whatever happens.
        """
        return self._submit(request, respond)

    def client_left(self, pending: PendingRequest) -> None:
        """Begin no attempt from shortly after this on, unless the client returns; one in flight may still succeed."""
        self.post(self._client_left, pending)

    def client_returned(self, pending: PendingRequest) -> None:
        """Begin attempts again: the client waits for the response over another connection."""
        self.post(self._client_returned, pending)

    def _submit(self, request: Request, respond: Callable[[Response], None]) -> PendingRequest:
        self._last_id += 1
        # Not the client's id: a repeated id must not leave another request without a response.
        request_id = str(self._last_id)
        guard_ms = min(MAX_RESPONSE_GUARD_MS, MAX_RESPONSE_GUARD_FRACTION * request.remaining_ms)
        request_class = self._validator.classes[request.request_class]
        # Stored with the request, since new settings may change its class.
        request.idempotent = request_class.idempotency is api.Idempotency.IDEMPOTENT
        deadline_ms = self._clock() + request.remaining_ms - guard_ms
        pending = PendingRequest(request_id, request, respond, deadline_ms, request_class)
        self.post(self._accept, pending)
        return pending

    def _accept(self, pending: PendingRequest) -> None:
        request = pending.request
        remaining_ms = pending.deadline_ms - self._clock()
        body_bytes = len(request.body or b"")
        rejection = self._immediate_response(pending, remaining_ms, body_bytes)
        if rejection is not None:
            self._respond_undecided(pending, rejection)
            return
        self._open_ids.add(request.id)
        self._pending[pending.id] = pending
        self._bodies_bytes += body_bytes
        # The deadline has a timer of the dispatcher, so that no fault of the decision module loses a request.
        pending.deadline_timer = self._loop.call_later(
            remaining_ms / 1000.0, self.deliver, self._deadline_expired, pending
        )
        if (
            self._reserved_admission is None
            or pending.reserved_units is not None
            or not self._reserved_admission.enqueue(pending, remaining_ms)
        ):
            self._request_decision(pending, remaining_ms)

    def _immediate_response(
        self, pending: PendingRequest, remaining_ms: float, body_bytes: int
    ) -> Response | None:
        """The response to a request that is not accepted; None if it is accepted."""
        if pending.request.id in self._open_ids:
            # Servers identify a request by its id: they would treat the second one as a copy of the first.
            return Failed("id of a request that is open")
        if self._settings_changed_for(pending):
            return Rejected(FALLBACK_RETRY_AFTER_MS)
        reserved = self._reserved_admission is not None and self._reserved_admission.reserve(pending)
        if (
            remaining_ms <= 0
            or len(self._pending) >= MAX_PENDING_REQUESTS
            or self._bodies_bytes + body_bytes > self._max_bodies_bytes
        ):
            return Rejected(FALLBACK_RETRY_AFTER_MS)
        if not reserved and self._shedder.should_shed(self._shortest_objective_ms):
            return Rejected(self._shortest_objective_ms)
        return None

    def _respond_undecided(self, pending: PendingRequest, response: Response) -> None:
        """Give the final response to a request that was not accepted."""
        respond, pending.respond = pending.respond, None
        if pending.reserved_units is not None:
            pending.unserved_cause = UnservedCause.GATEWAY
        if respond is not None:
            self._record_result(pending, response)
            respond(response)

    def _reservation_wait_ended(self, pending: PendingRequest) -> None:
        """Decide on a request that has waited for reserved units, unless it is answered or its client has
        disconnected."""
        if pending.respond is not None and self._settings_changed_for(pending):
            pending.unserved_cause = UnservedCause.GATEWAY
            self._respond(pending, Rejected(FALLBACK_RETRY_AFTER_MS))
        elif pending.respond is not None:
            self._request_decision(pending, pending.deadline_ms - self._clock())

    def _settings_changed_for(self, pending: PendingRequest) -> bool:
        """Whether new settings changed a request's class or removed its plan since its validation.

        The decision module would decide on retries by another rule than that by which the request was validated
        and is encoded.  Nothing has run yet, so a rejection does no harm.
        """
        request_class = self._validator.classes.get(pending.request.request_class)
        return (
            request_class is not pending.request_class and request_class != pending.request_class
        ) or pending.request.plan not in self._validator.plans

    def _request_decision(self, pending: PendingRequest, remaining_ms: float) -> None:
        """Pass a request to the decision module."""
        request = pending.request
        self._handle_event(
            api.Request(
                pending.id,
                request.request_class,
                request.plan,
                request.customer,
                remaining_ms,
                request.units,
                request.gateway_set_size,
                request.first_gateway,
                request.retry,
                0 if pending.reserved_units is None else pending.reserved_units.rank,
            ),
            pending,
        )

    def _client_disconnected(self, pending: PendingRequest) -> None:
        if pending.respond is not None:
            pending.respond = None
            self._open_ids.discard(pending.request.id)
            if pending.response_stream is not None:
                pending.response_stream.cancel()
            self._release(pending)
            self._handle_event(api.ClientDisconnected(pending.id))

    def _client_left(self, pending: PendingRequest) -> None:
        pending.client_left = True
        self._loop.call_later(ABANDON_DELAY_S, self.deliver, self._abandon, pending)

    def _client_returned(self, pending: PendingRequest) -> None:
        pending.client_left = pending.request.abandoned = False

    def _abandon(self, pending: PendingRequest) -> None:
        if not pending.client_left or pending.respond is None:
            return
        pending.request.abandoned = True
        attempt = pending.attempt
        if attempt is not None and attempt.stage is AttemptStage.NOT_WRITTEN:
            attempt.abort(api.Verdict.CANCELLED, final=True)

    # Deadlines.

    def answer_all_now(self) -> None:
        """Give every pending request its final response now, since the time for the shutdown is over."""
        for pending in list(self._pending.values()):
            self.post(self._deadline_expired, pending)

    def _deadline_expired(self, pending: PendingRequest) -> None:
        if pending.respond is None or pending.response_stream is not None:
            return
        if pending.attempt is not None:
            pending.attempt.abort(api.Verdict.TIMEOUT, final=True)
        # Posted after the attempt's outcome, to which the decision module may respond.
        self.post(self._answer_expired, pending)

    def _answer_expired(self, pending: PendingRequest) -> None:
        if pending.respond is None or pending.response_stream is not None:
            return
        log.warning(
            "request overdue: no decision by the deadline or the shutdown, answered by the dispatcher"
        )
        self._answer_without_decision(pending)

    def _answer_without_decision(self, pending: PendingRequest) -> None:
        """Give the final response to a request that has none from the decision module."""
        self._respond(pending, _undecided_response(pending))
        self._handle_event(api.ClientDisconnected(pending.id))

    # The decision module's events and actions.

    def _handle_event(self, event: api.Event, pending: PendingRequest | None = None) -> None:
        """Pass an event to the decision module and execute its actions."""
        now = self._clock()
        try:
            actions = self._module.handle(now, event)
        except Exception:  # a fault of the decision module must not leave a request without a response
            self._record_decision_fault(event)
            if pending is not None and pending.respond is not None and pending.attempt is None:
                self._answer_without_decision(pending)
            return
        for action in actions:
            self._execute(now, action)
        if self._monitored_engine is not None and self._monitored_engine.detector.changes:
            # Loaded only with the monitor.
            from badgeryoke.gateway.counter_state_log import log_counter_changes

            log_counter_changes(self._monitored_engine)

    def _record_decision_fault(self, event: api.Event) -> None:
        """Count an exception of the decision module; called while it is handled."""
        self.decision_faults += 1
        if self.decision_faults == 1 or self.decision_faults % FAULT_LOG_INTERVAL == 0:
            log.exception("decision module fault %d on %s", self.decision_faults, type(event).__name__)

    def _execute(self, now: float, action: api.Action) -> None:
        match action:
            case api.SendAttempt():
                self._start_attempt(now, action)
            case api.Reject(id=request_id, retry_after_ms=retry_after_ms):
                if (pending := self._pending.get(request_id)) is not None:
                    if pending.reserved_units is not None:
                        pending.unserved_cause = action.cause or UnservedCause.LOAD
                    self._respond(pending, Rejected(retry_after_ms, pending.may_have_run))
            case api.Fail(id=request_id):
                if (pending := self._pending.get(request_id)) is not None:
                    if pending.reserved_units is not None:
                        pending.unserved_cause = UnservedCause.SERVER
                    self._respond(pending, Failed("may have run" if pending.may_have_run else "not served"))
            case api.AddToCounter(name=name, units=units, expire_ms=expire_ms):
                self._counter.add(name, units, expire_ms, self._counter_replied)
            case api.SetTimer(at_ms=at_ms, token=token):
                self._timers[token] = self._loop.call_later(
                    max(at_ms - now, 0.0) / 1000.0, self.deliver, self._timer_fired, token
                )
            case api.CancelAttempt(id=request_id, attempt=number):
                # An attempt whose response stream has begun ignores it.
                pending = self._pending.get(request_id)
                attempt = None if pending is None else pending.attempt
                if attempt is not None and attempt.number == number:
                    attempt.abort(api.Verdict.CANCELLED)
            case api.Log(text=text):
                log.info("decision module: %s", text)
            case api.Subscribe() | api.CheckHealth():
                pass  # discovery is always watched, and servers get no health checks

    def _timer_fired(self, token: int) -> None:
        if self._timers.pop(token, None) is not None:
            self._handle_event(api.TimerFired(token))

    def flush_timers(self) -> None:
        """Fire the decision module's timers now, when all requests are answered and the gateway ends.  Otherwise
        the units that the module has not reported yet would never be counted for the other gateways."""
        for token, timer in list(self._timers.items()):
            timer.cancel()
            self.post(self._timer_fired, token)

    def _counter_replied(self, reply: api.CounterReply) -> None:
        self.post(self._handle_event, reply)

    # Attempts.

    def _start_attempt(self, now: float, action: api.SendAttempt) -> None:
        pending = self._pending.get(action.id)
        if pending is None:
            log.warning("decision module started an attempt of a request that has ended")
            return
        number, pending.attempt_count = pending.attempt_count, pending.attempt_count + 1
        deadline_ms = pending.deadline_ms
        if action.timeout_ms > 0:
            deadline_ms = min(deadline_ms, now + action.timeout_ms)
        attempt = Attempt(
            pending.request,
            number,
            action.server,
            now,
            deadline_ms,
            lambda ended, end: self.post(self._attempt_ended, pending, ended, end),
            pending.may_have_run,
            self.metrics.attempt_sent,
            pending.first_possible_run_ms + pending.deduplication_window_ms - self._response_slack_ms,
        )
        upstream = self._find_upstream(action.server)
        if pending.attempt is not None or pending.respond is None:
            attempt.not_sent("another attempt is in flight, or the request is answered")
        elif not attempt.may_be_written(now):
            attempt.not_sent("too late to be sent")
        elif upstream is None:
            attempt.connection_lost("server is not listed")
        else:
            self._hand_to_upstream(pending, attempt, upstream)

    def _hand_to_upstream(self, pending: PendingRequest, attempt: Attempt, upstream: Upstream) -> None:
        pending.attempt = attempt
        attempt.on_response_started = lambda stream: self.post(
            self._response_started, pending, attempt, stream
        )
        if attempt.deadline_ms < pending.deadline_ms - DEADLINE_TOLERANCE_MS:
            # Sent through the dispatcher's mailbox, so that the connection is closed before the next attempt is
            # written to any server.
            self._loop.call_later(
                (attempt.deadline_ms - attempt.started_ms) / 1000.0,
                self.deliver,
                attempt.abort,
                api.Verdict.TIMEOUT,
            )
        upstream.start(attempt)

    def _attempt_ended(self, pending: PendingRequest, attempt: Attempt, end: AttemptEnd) -> None:
        """Record an attempt's outcome; if it succeeded, answer the request."""
        if pending.attempt is attempt:
            pending.attempt = None
        if not end.verdict.never_ran:
            pending.may_have_run = True
            pending.first_possible_run_ms = min(pending.first_possible_run_ms, attempt.started_ms)
        stream = pending.response_stream
        latency_ms = pending.first_byte_ms if stream is not None else self._clock() - attempt.started_ms
        if stream is not None:
            if end.verdict is not api.Verdict.OK and pending.respond is not None:
                stream.abort()
                self._stream_finished(pending, Failed("broke off"))
        elif end.verdict is api.Verdict.OK and pending.respond is not None:
            self._respond(pending, Served(end.value, end.true_units))
        elif pending.request.abandoned:
            self._respond(pending, _undecided_response(pending))
        answered = pending.respond is None or stream is not None
        if pending.respond is None and pending.attempt is None:
            self._remove(pending)
        self._handle_event(
            api.AttemptOutcome(
                pending.id,
                attempt.number,
                attempt.server,
                end.verdict,
                latency_ms,
                answered,
                end.true_units,
                end.load_report,
            ),
            pending,
        )

    # Responses.

    def _response_started(self, pending: PendingRequest, attempt: Attempt, stream: ResponseStream) -> None:
        """Forward a streamed response, which is the final response even if it is aborted later."""
        if pending.respond is None or pending.attempt is not attempt:
            stream.cancel()
            attempt.abort(api.Verdict.CANCELLED, final=True)
            return
        pending.response_stream, pending.may_have_run = stream, True
        pending.first_byte_ms = self._clock() - attempt.started_ms
        if pending.deadline_timer is not None:
            pending.deadline_timer.cancel()
        stream.on_delivered = lambda: self.post(self._stream_finished, pending, Served(b""))
        self._handle_event(api.ResponseStarted(pending.id))
        pending.respond(Streaming(stream))

    def _stream_finished(self, pending: PendingRequest, response: Response) -> None:
        """Record that a streamed response has ended, delivered or aborted."""
        if pending.respond is not None:
            pending.respond = None
            self._open_ids.discard(pending.request.id)
            self._record_result(pending, response)
            if pending.attempt is None:
                self._remove(pending)

    def _respond(self, pending: PendingRequest, response: Response) -> None:
        """Give an accepted request its final response, unless it has one or its client has disconnected."""
        if pending.respond is None:
            return
        self._open_ids.discard(pending.request.id)
        respond, pending.respond = pending.respond, None
        self._release(pending)
        self._record_result(pending, response)
        respond(response)

    def _record_result(self, pending: PendingRequest, response: Response) -> None:
        """Count a request under its result."""
        result = RESULT_OF[type(response)]
        self.metrics.finished[pending.request.request_class][result] += 1
        if (
            pending.reserved_units is not None
            and result is not RequestResult.COMPLETED
            and self._reserved_admission is not None
        ):
            self._reserved_admission.record_unserved(pending.reserved_units, pending.unserved_cause)

    def _release(self, pending: PendingRequest) -> None:
        """Release an answered request; an attempt in flight is aborted, and its outcome still reported."""
        if pending.deadline_timer is not None:
            pending.deadline_timer.cancel()
        if pending.attempt is None:
            self._remove(pending)
        else:
            pending.attempt.abort(api.Verdict.CANCELLED, final=True)

    def _remove(self, pending: PendingRequest) -> None:
        if self._pending.pop(pending.id, None) is not None:
            self._bodies_bytes -= len(pending.request.body or b"")


def _undecided_response(pending: PendingRequest) -> Response:
    """The final response to a request without a decision, by whether it may have run."""
    if pending.repeat_is_harmless or not pending.may_have_run:
        return Rejected(FALLBACK_RETRY_AFTER_MS, pending.may_have_run)
    return Failed("may have run")
