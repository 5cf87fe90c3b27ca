"""Deduplicates credit-control requests across connections and submits each to the dispatcher once."""

from __future__ import annotations

import random
from collections.abc import Callable

from badgeryoke.decisions.interface import Idempotency, RequestClass, Settings
from badgeryoke.gateway.actor import Actor, ActorScheduler
from badgeryoke.gateway.attempt import Request
from badgeryoke.gateway.config.model import DiameterConfig
from badgeryoke.gateway.diameter import codec
from badgeryoke.gateway.diameter.codec import Fault
from badgeryoke.gateway.diameter.credit_control_request import CreditControlRequest
from badgeryoke.gateway.diameter.dictionary import AvpCode, ResultCode
from badgeryoke.gateway.diameter.duplicate_requests import (
    DuplicateRequests,
    Entry,
    RequestIdentity,
    Waiter,
)
from badgeryoke.gateway.dispatcher import Dispatcher
from badgeryoke.gateway.responses import Failed, Rejected, Response

# The Retry-After of a request that is rejected because the register or the connection is at its limit.
CAPACITY_RETRY_AFTER_MS = 1000.0


class RequestRegister(Actor):
    """Deduplicates the requests of all connections and submits each to the dispatcher once."""

    def __init__(
        self,
        config: DiameterConfig,
        settings: Settings,
        dispatcher: Dispatcher,
        loop: ActorScheduler,
        clock: Callable[[], float],
    ) -> None:
        super().__init__(loop)
        self._config, self._dispatcher, self._clock = config, dispatcher, clock
        self._duplicates = DuplicateRequests(config.answers_kept_s, loop.time)
        # The entries in flight for which each client's connection waits.
        self._awaited: dict[object, dict[RequestIdentity, Entry]] = {}
        self.update_settings(settings)

    def update_settings(self, settings: Settings) -> None:
        """Read the request classes and the number of gateways from the settings."""
        self._settings = settings
        self._check_class, self._debit_class = (
            next(
                (c for c in settings.classes if c.idempotency is idempotency and name in (None, c.name)), None
            )
            for idempotency, name in (
                (Idempotency.IDEMPOTENT, self._config.check_class),
                (Idempotency.WITH_KEY, self._config.debit_class),
            )
        )

    def submit(
        self,
        request: CreditControlRequest,
        retransmitted: bool,
        client: object,
        reply: Callable[[Response | Fault], None],
    ) -> None:
        """Call `reply` with the answer, or with a fault; a duplicate gets the answer of the first request.

        client: the connection that waits for the answer, for `client_left`.
        """
        self.post(self._submit, request, retransmitted, Waiter(client, reply))

    def client_left(self, client: object) -> None:
        """Report that a client's connection has closed; the client may send its requests again over another one."""
        self.post(self._client_left, client)

    def _client_left(self, client: object) -> None:
        for entry in self._awaited.pop(client, {}).values():
            entry.waiting = [waiter for waiter in entry.waiting if waiter.client is not client]
            if not entry.waiting and entry.pending is not None:
                self._dispatcher.client_left(entry.pending)

    def _wait(self, entry: Entry, waiter: Waiter) -> None:
        """Let a client's connection wait for the answer to a request in flight."""
        if not entry.waiting and entry.pending is not None:
            self._dispatcher.client_returned(entry.pending)
        entry.waiting.append(waiter)
        self._awaited.setdefault(waiter.client, {})[entry.identity] = entry

    def refuse(
        self,
        request: CreditControlRequest,
        retransmitted: bool,
        retry_after_ms: float,
        reply: Callable[[Response | Fault], None],
    ) -> None:
        """Call `reply` with the stored answer if there is one, else with a refusal; nothing is submitted."""
        self.post(self._refuse, request, retransmitted, retry_after_ms, reply)

    def _refuse(
        self,
        request: CreditControlRequest,
        retransmitted: bool,
        retry_after_ms: float,
        reply: Callable[[Response | Fault], None],
    ) -> None:
        earlier = self._duplicates.find(request.identity)
        if isinstance(earlier, Entry) and earlier.answer is not None:
            reply(earlier.answer)
        elif earlier is not None:
            reply(_first_try_may_have_run())
        else:
            reply(_refusal(request, retransmitted, retry_after_ms))

    def _submit(self, request: CreditControlRequest, retransmitted: bool, waiter: Waiter) -> None:
        reply = waiter.reply
        earlier = self._duplicates.find(request.identity)
        if earlier is DuplicateRequests.CONFLICTING:
            reply(Fault(ResultCode.UNABLE_TO_COMPLY, "identifiers of two requests: nothing was sent"))
        elif isinstance(earlier, Entry):
            if earlier.answer is not None:
                reply(earlier.answer)
            else:
                self._wait(earlier, waiter)
        elif isinstance(dispatcher_request := self._build_dispatcher_request(request, retransmitted), Fault):
            reply(dispatcher_request)
        elif (entry := self._duplicates.begin(request.identity)) is None:
            reply(_refusal(request, retransmitted, CAPACITY_RETRY_AFTER_MS))
        else:
            self._wait(entry, waiter)
            entry.pending = self._dispatcher.submit_resumable(
                dispatcher_request,
                lambda answer: self.post(self._record_answer, entry, dispatcher_request, answer),
            )

    def _record_answer(self, entry: Entry, dispatcher_request: Request, answer: Response) -> None:
        """Cache the answer of a debit, unless it is a rejection: a retransmission is then handled as a new request.

        A Diameter client takes TOO_BUSY to mean that the request did not run, and may retry at any time. If an
        attempt may have run, a retry is safe only while servers recognize the idempotency key, so the client gets a
        failure instead of TOO_BUSY.
        """
        if isinstance(answer, Rejected) and answer.may_have_run and dispatcher_request.idempotency_key:
            answer = Failed("may have run")
        if isinstance(answer, Rejected) and dispatcher_request.send_by_ms is not None:
            answer = Failed("the first try may have run")
        self._forget_waiters(entry)
        self._duplicates.end(
            entry, answer, keep=bool(dispatcher_request.idempotency_key) and not isinstance(answer, Rejected)
        )

    def _forget_waiters(self, entry: Entry) -> None:
        for waiter in entry.waiting:
            awaited = self._awaited.get(waiter.client, {})
            awaited.pop(entry.identity, None)
            if not awaited:
                self._awaited.pop(waiter.client, None)

    def _build_dispatcher_request(
        self, request: CreditControlRequest, retransmitted: bool
    ) -> Request | Fault:
        """Build the dispatcher's request; return a fault if it must not be forwarded."""
        is_debit = _is_debit(request)
        request_class = self._debit_class if is_debit else self._check_class
        plan = self._config.plans.get(request.service)
        if request_class is None or plan is None:
            return Fault(
                ResultCode.RATING_FAILED,
                "no such service here",
                codec.unsigned32_avp(AvpCode.SERVICE_IDENTIFIER, request.service).encode(),
            )
        send_by_ms: float | None = None
        if is_debit and retransmitted:
            deadline_ms = self._retransmission_deadline_ms(request, request_class)
            if isinstance(deadline_ms, Fault):
                return deadline_ms
            send_by_ms = deadline_ms
        dispatcher_request = Request(
            id=f"{random.getrandbits(64):016x}",
            request_class=request_class.name,
            plan=plan,
            customer=request.customer,
            remaining_ms=self._config.deadline_ms or request_class.deadline_ms,
            units=float(request.units or 1),
            gateway_set_size=self._settings.gateway_count,
            retry=retransmitted,
            idempotency_key=request.identity.idempotency_key() if is_debit else "",
            body=request.body,
            send_by_ms=send_by_ms,
        )
        if problem := self._dispatcher.validate(dispatcher_request):
            return Fault(ResultCode.INVALID_AVP_VALUE, problem)
        return dispatcher_request

    def _retransmission_deadline_ms(
        self, request: CreditControlRequest, request_class: RequestClass
    ) -> float | Fault:
        """The time until which a retransmitted debit may be forwarded, if the original request is not in the register.

        Another gateway may have sent the original to any server. A server that recognizes the key drops the
        duplicate, so it may be forwarded only if all servers share the keys, and only within the deduplication
        window. The window is counted from the Event-Timestamp, which is truncated to whole seconds, so it never ends
        too late.
        """
        event_time_ms = None if request.event_time_s is None else request.event_time_s * 1000.0
        if event_time_ms is not None and self._settings.all_servers_share_keys(request_class):
            send_by_ms = event_time_ms + request_class.deduplication_window_ms
            if event_time_ms <= self._clock() < send_by_ms:
                return send_by_ms
        return _first_try_may_have_run()


def _is_debit(request: CreditControlRequest) -> bool:
    return request.action == codec.DIRECT_DEBITING


def _refusal(request: CreditControlRequest, retransmitted: bool, retry_after_ms: float) -> Rejected | Fault:
    """The answer to a request that is not submitted for lack of room.

    A client takes TOO_BUSY to mean that nothing ran, which is unknown for a retransmitted debit.
    """
    if retransmitted and _is_debit(request):
        return _first_try_may_have_run()
    return Rejected(retry_after_ms)


def _first_try_may_have_run() -> Fault:
    return Fault(
        ResultCode.UNABLE_TO_COMPLY,
        "the first try may have run, and is not known here: nothing was sent on",
    )
