"""The second front: Diameter clients, whose event-based credit control becomes queries of the core."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass

from tornado.iostream import IOStream
from tornado.tcpserver import TCPServer

from badgeryoke.decisions.interface import Idempotency, Settings
from badgeryoke.gateway.actor import Actor, ActorScheduler
from badgeryoke.gateway.attempt import Request, parse_customer
from badgeryoke.gateway.config.model import DiameterConfig
from badgeryoke.gateway.diameter import codec
from badgeryoke.gateway.diameter.codec import Avp, AvpCode, Fault, Message, ResultCode
from badgeryoke.gateway.diameter.duplicate_requests import DuplicateRequests, Entry
from badgeryoke.gateway.diameter.duplicate_requests import RequestIdentity as RequestIdentity
from badgeryoke.gateway.diameter.peer import Peer, PeerIdentity
from badgeryoke.gateway.dispatcher import Dispatcher
from badgeryoke.gateway.responses import Failed, Rejected, Response, Served

log = logging.getLogger(__name__)

CAPACITY_RETRY_AFTER_MS = (
    1000.0  # advice where no further request can be remembered, or taken on a connection
)
MAX_REQUESTS_IN_FLIGHT = 1024  # requests of one connection that wait for their answers
# What a CCR may hold with the M bit set; anything else so marked is not understood, and is refused.
KNOWN_AVPS = frozenset(
    {
        AvpCode.SESSION_ID,
        AvpCode.ORIGIN_HOST,
        AvpCode.ORIGIN_REALM,
        AvpCode.DESTINATION_REALM,
        AvpCode.AUTH_APPLICATION_ID,
        AvpCode.SERVICE_CONTEXT_ID,
        AvpCode.CC_REQUEST_TYPE,
        AvpCode.CC_REQUEST_NUMBER,
        AvpCode.DESTINATION_HOST,
        AvpCode.USER_NAME,
        AvpCode.ACCT_MULTI_SESSION_ID,
        AvpCode.ORIGIN_STATE_ID,
        AvpCode.EVENT_TIMESTAMP,
        AvpCode.SUBSCRIPTION_ID,
        AvpCode.SERVICE_IDENTIFIER,
        AvpCode.REQUESTED_SERVICE_UNIT,
        AvpCode.REQUESTED_ACTION,
        AvpCode.SERVICE_PARAMETER_INFO,
        AvpCode.CC_CORRELATION_ID,
        AvpCode.USER_EQUIPMENT_INFO,
        AvpCode.PROXY_INFO,
        AvpCode.ROUTE_RECORD,
    }
)
REPEATABLE_AVPS = frozenset(
    {AvpCode.SUBSCRIPTION_ID, AvpCode.SERVICE_PARAMETER_INFO, AvpCode.PROXY_INFO, AvpCode.ROUTE_RECORD}
)
REQUIRED_AVPS = (
    AvpCode.SESSION_ID,
    AvpCode.ORIGIN_HOST,
    AvpCode.ORIGIN_REALM,
    AvpCode.DESTINATION_REALM,
    AvpCode.AUTH_APPLICATION_ID,
    AvpCode.SERVICE_CONTEXT_ID,
    AvpCode.CC_REQUEST_TYPE,
    AvpCode.CC_REQUEST_NUMBER,
    AvpCode.REQUESTED_ACTION,
    AvpCode.SUBSCRIPTION_ID,
    AvpCode.SERVICE_IDENTIFIER,
)


@dataclass(frozen=True, slots=True)
class CreditControlRequest:
    """A CCR in the values used."""

    identity: RequestIdentity
    action: int
    customer: int
    service: int
    units: int | None
    event_time_s: int | None
    body: bytes | None


def _missing(code: int) -> Fault:
    return Fault(ResultCode.MISSING_AVP, f"AVP {code} is missing", Avp(code, b"").encode())


def _invalid(avp: Avp, words: str, result: int = ResultCode.INVALID_AVP_VALUE) -> Fault:
    return Fault(result, words, avp.encode())


def read_customer(avp: Avp) -> int | Fault:
    """A reseller's number in a Subscription-Id: 16 hex digits (END_USER_PRIVATE) or E.164 digits."""
    inner = codec.read_avps(avp.data)
    if isinstance(inner, Fault):
        return inner
    kind, data = (
        codec.find_avp(inner, AvpCode.SUBSCRIPTION_ID_TYPE),
        codec.find_avp(inner, AvpCode.SUBSCRIPTION_ID_DATA),
    )
    if kind is None or data is None:
        return _missing(AvpCode.SUBSCRIPTION_ID_TYPE if kind is None else AvpCode.SUBSCRIPTION_ID_DATA)
    number = codec.read_unsigned32(kind)
    if isinstance(number, Fault):
        return number
    try:
        if number == codec.END_USER_PRIVATE:
            return parse_customer(data.data)
        if number == codec.END_USER_E164 and data.data.isdigit():
            return parse_customer(b"%016x" % int(data.data[:16]))
    except ValueError:
        pass
    return _invalid(avp, "unknown subscriber", ResultCode.USER_UNKNOWN)


def read_request(message: Message, avps: list[Avp]) -> CreditControlRequest | Fault:
    """Check a CCR and read it."""
    seen: dict[int, Avp] = {}
    for avp in avps:
        if avp.vendor_id or avp.code not in KNOWN_AVPS:
            if avp.flags & codec.AVP_FLAG_MANDATORY:
                return Fault(ResultCode.AVP_UNSUPPORTED, f"AVP {avp.code} is not understood", avp.encode())
        elif avp.code not in seen:
            seen[avp.code] = avp
        elif avp.code not in REPEATABLE_AVPS:
            return Fault(ResultCode.AVP_OCCURS_TOO_MANY_TIMES, f"AVP {avp.code} came twice", avp.encode())
    for code in REQUIRED_AVPS:
        if code not in seen:
            return _missing(code)
    numbers: dict[int, int] = {}
    for code in (
        AvpCode.AUTH_APPLICATION_ID,
        AvpCode.CC_REQUEST_TYPE,
        AvpCode.CC_REQUEST_NUMBER,
        AvpCode.REQUESTED_ACTION,
        AvpCode.SERVICE_IDENTIFIER,
        AvpCode.EVENT_TIMESTAMP,
    ):
        if code in seen:
            number = codec.read_unsigned32(seen[code])
            if isinstance(number, Fault):
                return number
            numbers[code] = number
    texts: list[str] = []
    for code in (AvpCode.SESSION_ID, AvpCode.ORIGIN_HOST):
        word = codec.read_text(seen[code])
        if isinstance(word, Fault):
            return word
        if not 0 < len(word) <= 512:
            return _invalid(seen[code], "empty or too long")
        texts.append(word)
    if numbers[AvpCode.AUTH_APPLICATION_ID] != codec.CREDIT_CONTROL_APPLICATION_ID:
        return _invalid(seen[AvpCode.AUTH_APPLICATION_ID], "not credit control")
    if numbers[AvpCode.CC_REQUEST_TYPE] != codec.EVENT_REQUEST:
        return _invalid(seen[AvpCode.CC_REQUEST_TYPE], "only EVENT_REQUEST is served")
    if numbers[AvpCode.REQUESTED_ACTION] not in (codec.DIRECT_DEBITING, codec.CHECK_BALANCE):
        return _invalid(seen[AvpCode.REQUESTED_ACTION], "only DIRECT_DEBITING and CHECK_BALANCE are served")
    customer = read_customer(seen[AvpCode.SUBSCRIPTION_ID])
    if isinstance(customer, Fault):
        return customer
    units: int | None = None
    if AvpCode.REQUESTED_SERVICE_UNIT in seen:
        asked = codec.read_units(seen[AvpCode.REQUESTED_SERVICE_UNIT])
        if isinstance(asked, Fault):
            return asked
        if asked == 0:
            return _invalid(seen[AvpCode.REQUESTED_SERVICE_UNIT], "no units asked for")
        units = asked
    if units is None and numbers[AvpCode.REQUESTED_ACTION] == codec.DIRECT_DEBITING:
        return _missing(AvpCode.REQUESTED_SERVICE_UNIT)
    body = codec.read_value(avps)
    if isinstance(body, Fault):
        return body
    event = numbers.get(AvpCode.EVENT_TIMESTAMP)
    return CreditControlRequest(
        RequestIdentity(texts[1], message.end_to_end_id, texts[0], numbers[AvpCode.CC_REQUEST_NUMBER]),
        numbers[AvpCode.REQUESTED_ACTION],
        customer,
        numbers[AvpCode.SERVICE_IDENTIFIER],
        units,
        None if event is None else event - codec.NTP_EPOCH_OFFSET_S,
        body,
    )


class RequestRegister(Actor):
    """Remembers across all connections what was asked, and puts it to the core once."""

    def __init__(
        self,
        config: DiameterConfig,
        settings: Settings,
        core: Dispatcher,
        loop: ActorScheduler,
        clock: Callable[[], float],
    ) -> None:
        super().__init__(loop)
        self._config, self._core, self._clock = config, core, clock
        self._duplicates = DuplicateRequests(config.answers_kept_s, loop.time)
        self.retune(settings)

    def retune(self, settings: Settings) -> None:
        """The classes and the fleet's size, by new settings."""
        self._gateways = settings.gateway_count
        self._check_class, self._debit_class = (
            next((c for c in settings.classes if c.idempotency is effect and name in (None, c.name)), None)
            for effect, name in (
                (Idempotency.IDEMPOTENT, self._config.check_class),
                (Idempotency.WITH_KEY, self._config.debit_class),
            )
        )

    def submit(
        self, request: CreditControlRequest, repeated: bool, give: Callable[[Response | Fault], None]
    ) -> None:
        """Give the answer of a request, asked now, running already, or known; or what is wrong with it."""
        self.post(self._submit, request, repeated, give)

    def _submit(
        self, request: CreditControlRequest, repeated: bool, give: Callable[[Response | Fault], None]
    ) -> None:
        found = self._duplicates.find(request.identity)
        if found is DuplicateRequests.CONFLICTING:
            give(Fault(ResultCode.UNABLE_TO_COMPLY, "identifiers of two requests: nothing was sent"))
        elif isinstance(found, Entry):
            if found.answer is not None:
                give(found.answer)
            else:
                found.waiting.append(give)
        elif isinstance(query := self._core_request(request, repeated), Fault):
            give(query)
        elif (entry := self._duplicates.begin(request.identity)) is None:
            give(Rejected(CAPACITY_RETRY_AFTER_MS))
        else:
            entry.waiting.append(give)
            # The client's connection may end before the answer: it will ask again over another, so the core
            # is never told that it left.
            self._core.submit(query, lambda answer: self.post(self._record_answer, entry, query, answer))

    def _record_answer(self, entry: Entry, query: Request, answer: Response) -> None:
        """Store an answer, unless nothing ran: then a repeat is as good as new.

        A refusal behind an attempt that may have run is harmless only while servers know its key.  A Diameter
        client would take TOO_BUSY for never begun, and may come back at any time: it is told that it failed.
        """
        if isinstance(answer, Rejected) and answer.may_have_run and query.idempotency_key:
            answer = Failed("may have run")
        if isinstance(answer, Rejected) and query.send_by_ms is not None:
            answer = Failed("the first try may have run")
        self._duplicates.end(
            entry, answer, keep=bool(query.idempotency_key) and not isinstance(answer, Rejected)
        )

    def _core_request(self, request: CreditControlRequest, repeated: bool) -> Request | Fault:
        """The core's query; a fault for what may not be sent."""
        debit = request.action == codec.DIRECT_DEBITING
        cls = self._debit_class if debit else self._check_class
        plan = self._config.plans.get(request.service)
        if cls is None or plan is None:
            return Fault(
                ResultCode.RATING_FAILED,
                "no such service here",
                codec.unsigned32_avp(AvpCode.SERVICE_IDENTIFIER, request.service).encode(),
            )
        send_by: float | None = None
        if debit and repeated:
            # Only a server that still knows the key can drop it.  An event's time is in whole seconds, cut
            # off, so the first try is at least as young as it says.
            began = None if request.event_time_s is None else request.event_time_s * 1000.0
            send_by = None if began is None else began + cls.deduplication_window_ms
            if began is None or send_by is None or not began <= self._clock() < send_by:
                return Fault(
                    ResultCode.UNABLE_TO_COMPLY,
                    "the first try may have run, and is not known here: nothing was sent on",
                )
        query = Request(
            id=f"{random.getrandbits(64):016x}",
            request_class=cls.name,
            plan=plan,
            customer=request.customer,
            remaining_ms=self._config.deadline_ms or cls.deadline_ms,
            units=float(request.units or 1),
            gateway_set_size=self._gateways,
            retry=repeated,
            idempotency_key=request.identity.key() if debit else "",
            body=request.body,
            send_by_ms=send_by,
        )
        if problem := self._core.validate(query):
            return Fault(ResultCode.INVALID_AVP_VALUE, problem)
        return query


class DiameterListener(TCPServer):
    """Accepts Diameter clients."""

    def __init__(
        self,
        config: DiameterConfig,
        settings: Settings,
        me: PeerIdentity,
        core: Dispatcher,
        loop: ActorScheduler,
        clock: Callable[[], float],
        most: int,
    ) -> None:
        super().__init__(max_buffer_size=4 * codec.MAX_MESSAGE_BYTES)
        self.config, self.me, self.loop = config, me, loop
        self.register = RequestRegister(config, settings, core, loop, clock)
        self.connections: dict[DiameterClientConnection, None] = {}
        self._max_connections = most
        self.draining = False  # peers are sent away

    async def handle_stream(self, stream: IOStream, address: object) -> None:
        if self.draining:
            stream.close()
            return
        if len(self.connections) >= self._max_connections:
            log.warning("peer turned away: %d connections are open", len(self.connections))
            stream.close()
            return
        stream.set_nodelay(True)
        stream.max_write_buffer_size = 8 * codec.MAX_MESSAGE_BYTES
        link = DiameterClientConnection(stream, self)
        self.connections[link] = None
        await link.read()

    def connection_closed(self, link: DiameterClientConnection) -> None:
        self.connections.pop(link, None)


class DiameterClientConnection(Peer):
    """One connection of a Diameter client."""

    def __init__(self, stream: IOStream, front: DiameterListener) -> None:
        super().__init__(stream, front.me, front.loop, front.config.watchdog_s)
        self._listener = front
        self._in_flight_count = 0
        self._draining = False

    def accepts(self, host: str) -> bool:
        clients = self._listener.config.clients
        return super().accepts(host) and (not clients or host in clients)

    def credit_control(self, message: Message, avps: list[Avp] | Fault) -> None:
        if not message.is_request:
            return  # nothing was asked of a client
        if isinstance(avps, Fault):
            self.send_fault_answer(message, avps)
            return
        session = codec.find_avp(avps, AvpCode.SESSION_ID)
        extra = [avp for avp in avps if avp.code == AvpCode.PROXY_INFO and not avp.vendor_id]
        fault = self._check_destination(avps)
        request = read_request(message, avps) if fault is None else fault
        if isinstance(request, Fault):
            self.send_fault_answer(message, request, session, extra)
        elif self._in_flight_count >= MAX_REQUESTS_IN_FLIGHT:
            self._in_flight_count += 1  # given back with the answer
            self._send_response(message, request, session, extra, Rejected(CAPACITY_RETRY_AFTER_MS))
        else:
            asked = request
            self._in_flight_count += 1
            self._listener.register.submit(
                asked,
                bool(message.flags & codec.FLAG_RETRANSMITTED),
                lambda answer: self.post(self._send_response, message, asked, session, extra, answer),
            )

    def _check_destination(self, avps: list[Avp]) -> Fault | None:
        """A request for another realm or host: this gateway is no relay."""
        realm, host = (
            codec.find_avp(avps, AvpCode.DESTINATION_REALM),
            codec.find_avp(avps, AvpCode.DESTINATION_HOST),
        )
        if realm is not None and realm.data.decode("ascii", "replace") != self.identity.realm:
            return Fault(ResultCode.REALM_NOT_SERVED, "another realm")
        if host is not None and host.data.decode("ascii", "replace") != self.identity.host:
            return Fault(ResultCode.UNABLE_TO_DELIVER, "another host")
        return None

    def _send_response(
        self,
        message: Message,
        request: CreditControlRequest,
        session: Avp | None,
        extra: list[Avp],
        answer: Response | Fault,
    ) -> None:
        self._in_flight_count -= 1
        if self.stream.closed():
            return
        match answer:
            case Fault():
                self.send_fault_answer(message, answer, session, extra)
            case Served(value=value, true_units=units):
                avps = [
                    codec.unsigned32_avp(AvpCode.AUTH_APPLICATION_ID, codec.CREDIT_CONTROL_APPLICATION_ID),
                    codec.unsigned32_avp(AvpCode.CC_REQUEST_TYPE, codec.EVENT_REQUEST),
                    codec.unsigned32_avp(AvpCode.CC_REQUEST_NUMBER, request.identity.request_number),
                ]
                if request.action == codec.CHECK_BALANCE:
                    avps.append(codec.unsigned32_avp(AvpCode.CHECK_BALANCE_RESULT, 0))  # ENOUGH_CREDIT
                else:
                    granted = units or float(request.units or 1)
                    avps.append(codec.units_avp(AvpCode.GRANTED_SERVICE_UNIT, granted))
                if value:
                    avps.append(codec.value_avp(value))
                self.send_answer(message, ResultCode.SUCCESS, [*avps, *extra], session)
            case Rejected(retry_after_ms=wait):
                self.send_fault_answer(
                    message,
                    Fault(ResultCode.TOO_BUSY, f"retry after {max(round(wait), 1)} ms"),
                    session,
                    extra,
                )
            case Failed(detail=detail):
                self.send_fault_answer(message, Fault(ResultCode.UNABLE_TO_COMPLY, detail), session, extra)
        if self._draining and not self._in_flight_count:
            self.disconnect(codec.REBOOTING)

    def drain(self) -> None:
        """Part from the client as soon as everything taken has its answer."""
        self.post(self._drain)

    def _drain(self) -> None:
        self._draining = True
        if not self._in_flight_count:
            self.disconnect(codec.REBOOTING)

    def connection_closed(self) -> None:
        self._listener.connection_closed(self)
