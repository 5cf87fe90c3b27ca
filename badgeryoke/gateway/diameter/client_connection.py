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
from badgeryoke.gateway.diameter.codec import Avp, Code, Fault, Message, Result
from badgeryoke.gateway.diameter.duplicate_requests import DuplicateRequests, Entry
from badgeryoke.gateway.diameter.duplicate_requests import RequestIdentity as RequestIdentity
from badgeryoke.gateway.diameter.peer import Peer, PeerIdentity
from badgeryoke.gateway.dispatcher import Dispatcher
from badgeryoke.gateway.responses import Failed, Rejected, Response, Served

log = logging.getLogger(__name__)

FULL_RETRY_MS = 1000.0  # advice where no further request can be remembered, or taken on a connection
MOST_OUT = 1024  # requests of one connection that wait for their answers
# What a CCR may hold with the M bit set; anything else so marked is not understood, and is refused.
KNOWN = frozenset(
    {
        Code.SESSION_ID,
        Code.ORIGIN_HOST,
        Code.ORIGIN_REALM,
        Code.DESTINATION_REALM,
        Code.AUTH_APPLICATION_ID,
        Code.SERVICE_CONTEXT_ID,
        Code.CC_REQUEST_TYPE,
        Code.CC_REQUEST_NUMBER,
        Code.DESTINATION_HOST,
        Code.USER_NAME,
        Code.ACCT_MULTI_SESSION_ID,
        Code.ORIGIN_STATE_ID,
        Code.EVENT_TIMESTAMP,
        Code.SUBSCRIPTION_ID,
        Code.SERVICE_IDENTIFIER,
        Code.REQUESTED_SERVICE_UNIT,
        Code.REQUESTED_ACTION,
        Code.SERVICE_PARAMETER_INFO,
        Code.CC_CORRELATION_ID,
        Code.USER_EQUIPMENT_INFO,
        Code.PROXY_INFO,
        Code.ROUTE_RECORD,
    }
)
MANY = frozenset({Code.SUBSCRIPTION_ID, Code.SERVICE_PARAMETER_INFO, Code.PROXY_INFO, Code.ROUTE_RECORD})
REQUIRED = (
    Code.SESSION_ID,
    Code.ORIGIN_HOST,
    Code.ORIGIN_REALM,
    Code.DESTINATION_REALM,
    Code.AUTH_APPLICATION_ID,
    Code.SERVICE_CONTEXT_ID,
    Code.CC_REQUEST_TYPE,
    Code.CC_REQUEST_NUMBER,
    Code.REQUESTED_ACTION,
    Code.SUBSCRIPTION_ID,
    Code.SERVICE_IDENTIFIER,
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
    return Fault(Result.MISSING_AVP, f"AVP {code} is missing", Avp(code, b"").encode())


def _invalid(avp: Avp, words: str, result: int = Result.INVALID_AVP_VALUE) -> Fault:
    return Fault(result, words, avp.encode())


def read_customer(avp: Avp) -> int | Fault:
    """A reseller's number in a Subscription-Id: 16 hex digits (END_USER_PRIVATE) or E.164 digits."""
    inner = codec.read_avps(avp.data)
    if isinstance(inner, Fault):
        return inner
    kind, data = codec.only(inner, Code.SUBSCRIPTION_ID_TYPE), codec.only(inner, Code.SUBSCRIPTION_ID_DATA)
    if kind is None or data is None:
        return _missing(Code.SUBSCRIPTION_ID_TYPE if kind is None else Code.SUBSCRIPTION_ID_DATA)
    number = codec.read_u32(kind)
    if isinstance(number, Fault):
        return number
    try:
        if number == codec.END_USER_PRIVATE:
            return parse_customer(data.data)
        if number == codec.END_USER_E164 and data.data.isdigit():
            return parse_customer(b"%016x" % int(data.data[:16]))
    except ValueError:
        pass
    return _invalid(avp, "unknown subscriber", Result.USER_UNKNOWN)


def read_request(message: Message, avps: list[Avp]) -> CreditControlRequest | Fault:
    """Check a CCR and read it."""
    seen: dict[int, Avp] = {}
    for avp in avps:
        if avp.vendor or avp.code not in KNOWN:
            if avp.flags & codec.MANDATORY:
                return Fault(Result.AVP_UNSUPPORTED, f"AVP {avp.code} is not understood", avp.encode())
        elif avp.code not in seen:
            seen[avp.code] = avp
        elif avp.code not in MANY:
            return Fault(Result.AVP_OCCURS_TOO_MANY_TIMES, f"AVP {avp.code} came twice", avp.encode())
    for code in REQUIRED:
        if code not in seen:
            return _missing(code)
    numbers: dict[int, int] = {}
    for code in (
        Code.AUTH_APPLICATION_ID,
        Code.CC_REQUEST_TYPE,
        Code.CC_REQUEST_NUMBER,
        Code.REQUESTED_ACTION,
        Code.SERVICE_IDENTIFIER,
        Code.EVENT_TIMESTAMP,
    ):
        if code in seen:
            number = codec.read_u32(seen[code])
            if isinstance(number, Fault):
                return number
            numbers[code] = number
    texts: list[str] = []
    for code in (Code.SESSION_ID, Code.ORIGIN_HOST):
        word = codec.read_text(seen[code])
        if isinstance(word, Fault):
            return word
        if not 0 < len(word) <= 512:
            return _invalid(seen[code], "empty or too long")
        texts.append(word)
    if numbers[Code.AUTH_APPLICATION_ID] != codec.CREDIT_CONTROL:
        return _invalid(seen[Code.AUTH_APPLICATION_ID], "not credit control")
    if numbers[Code.CC_REQUEST_TYPE] != codec.EVENT_REQUEST:
        return _invalid(seen[Code.CC_REQUEST_TYPE], "only EVENT_REQUEST is served")
    if numbers[Code.REQUESTED_ACTION] not in (codec.DIRECT_DEBITING, codec.CHECK_BALANCE):
        return _invalid(seen[Code.REQUESTED_ACTION], "only DIRECT_DEBITING and CHECK_BALANCE are served")
    customer = read_customer(seen[Code.SUBSCRIPTION_ID])
    if isinstance(customer, Fault):
        return customer
    units: int | None = None
    if Code.REQUESTED_SERVICE_UNIT in seen:
        asked = codec.units_of(seen[Code.REQUESTED_SERVICE_UNIT])
        if isinstance(asked, Fault):
            return asked
        if asked == 0:
            return _invalid(seen[Code.REQUESTED_SERVICE_UNIT], "no units asked for")
        units = asked
    if units is None and numbers[Code.REQUESTED_ACTION] == codec.DIRECT_DEBITING:
        return _missing(Code.REQUESTED_SERVICE_UNIT)
    body = codec.value_of(avps)
    if isinstance(body, Fault):
        return body
    event = numbers.get(Code.EVENT_TIMESTAMP)
    return CreditControlRequest(
        RequestIdentity(texts[1], message.end_to_end, texts[0], numbers[Code.CC_REQUEST_NUMBER]),
        numbers[Code.REQUESTED_ACTION],
        customer,
        numbers[Code.SERVICE_IDENTIFIER],
        units,
        None if event is None else event - codec.NTP_EPOCH,
        body,
    )


class Register(Actor):
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
        self._repeats = DuplicateRequests(config.answers_kept_s, loop.time)
        self.retune(settings)

    def retune(self, settings: Settings) -> None:
        """The classes and the fleet's size, by new settings."""
        self._gateways = settings.gateway_count
        self._safe, self._keyed = (
            next((c for c in settings.classes if c.idempotency is effect and name in (None, c.name)), None)
            for effect, name in (
                (Idempotency.IDEMPOTENT, self._config.check_class),
                (Idempotency.WITH_KEY, self._config.debit_class),
            )
        )

    def ask(
        self, request: CreditControlRequest, repeated: bool, give: Callable[[Response | Fault], None]
    ) -> None:
        """Give the answer of a request, asked now, running already, or known; or what is wrong with it."""
        self.post(self._ask, request, repeated, give)

    def _ask(
        self, request: CreditControlRequest, repeated: bool, give: Callable[[Response | Fault], None]
    ) -> None:
        found = self._repeats.find(request.identity)
        if found is DuplicateRequests.MIXED:
            give(Fault(Result.UNABLE_TO_COMPLY, "identifiers of two requests: nothing was sent"))
        elif isinstance(found, Entry):
            if found.answer is not None:
                give(found.answer)
            else:
                found.waiting.append(give)
        elif isinstance(query := self._query(request, repeated), Fault):
            give(query)
        elif (entry := self._repeats.begin(request.identity)) is None:
            give(Rejected(FULL_RETRY_MS))
        else:
            entry.waiting.append(give)
            # The client's connection may end before the answer: it will ask again over another, so the core
            # is never told that it left.
            self._core.submit(query, lambda answer: self.post(self._answered, entry, query, answer))

    def _answered(self, entry: Entry, query: Request, answer: Response) -> None:
        """Store an answer, unless nothing ran: then a repeat is as good as new.

        A refusal behind an attempt that may have run is harmless only while servers know its key.  A Diameter
        client would take TOO_BUSY for never begun, and may come back at any time: it is told that it failed.
        """
        if isinstance(answer, Rejected) and answer.may_have_run and query.idempotency_key:
            answer = Failed("may have run")
        if isinstance(answer, Rejected) and query.send_by_ms is not None:
            answer = Failed("the first try may have run")
        self._repeats.end(
            entry, answer, keep=bool(query.idempotency_key) and not isinstance(answer, Rejected)
        )

    def _query(self, request: CreditControlRequest, repeated: bool) -> Request | Fault:
        """The core's query; a fault for what may not be sent."""
        debit = request.action == codec.DIRECT_DEBITING
        cls = self._keyed if debit else self._safe
        plan = self._config.plans.get(request.service)
        if cls is None or plan is None:
            return Fault(
                Result.RATING_FAILED,
                "no such service here",
                codec.u32(Code.SERVICE_IDENTIFIER, request.service).encode(),
            )
        send_by: float | None = None
        if debit and repeated:
            # Only a server that still knows the key can drop it.  An event's time is in whole seconds, cut
            # off, so the first try is at least as young as it says.
            began = None if request.event_time_s is None else request.event_time_s * 1000.0
            send_by = None if began is None else began + cls.deduplication_window_ms
            if began is None or send_by is None or not began <= self._clock() < send_by:
                return Fault(
                    Result.UNABLE_TO_COMPLY,
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
            return Fault(Result.INVALID_AVP_VALUE, problem)
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
        super().__init__(max_buffer_size=4 * codec.MAX_MESSAGE)
        self.config, self.me, self.loop = config, me, loop
        self.register = Register(config, settings, core, loop, clock)
        self.links: dict[DiameterClientConnection, None] = {}
        self._most = most
        self.turning = False  # peers are sent away

    async def handle_stream(self, stream: IOStream, address: object) -> None:
        if self.turning:
            stream.close()
            return
        if len(self.links) >= self._most:
            log.warning("peer turned away: %d connections are open", len(self.links))
            stream.close()
            return
        stream.set_nodelay(True)
        stream.max_write_buffer_size = 8 * codec.MAX_MESSAGE
        link = DiameterClientConnection(stream, self)
        self.links[link] = None
        await link.read()

    def closed(self, link: DiameterClientConnection) -> None:
        self.links.pop(link, None)


class DiameterClientConnection(Peer):
    """One connection of a Diameter client."""

    def __init__(self, stream: IOStream, front: DiameterListener) -> None:
        super().__init__(stream, front.me, front.loop, front.config.watchdog_s)
        self._front = front
        self._out_count = 0
        self._leaving = False

    def accepts(self, host: str) -> bool:
        clients = self._front.config.clients
        return super().accepts(host) and (not clients or host in clients)

    def credit_control(self, message: Message, avps: list[Avp] | Fault) -> None:
        if not message.is_request:
            return  # nothing was asked of a client
        if isinstance(avps, Fault):
            self.reply_fault(message, avps)
            return
        session = codec.only(avps, Code.SESSION_ID)
        extra = [avp for avp in avps if avp.code == Code.PROXY_INFO and not avp.vendor]
        fault = self._elsewhere(avps)
        request = read_request(message, avps) if fault is None else fault
        if isinstance(request, Fault):
            self.reply_fault(message, request, session, extra)
        elif self._out_count >= MOST_OUT:
            self._out_count += 1  # given back with the answer
            self._answered(message, request, session, extra, Rejected(FULL_RETRY_MS))
        else:
            asked = request
            self._out_count += 1
            self._front.register.ask(
                asked,
                bool(message.flags & codec.RETRANSMIT),
                lambda answer: self.post(self._answered, message, asked, session, extra, answer),
            )

    def _elsewhere(self, avps: list[Avp]) -> Fault | None:
        """A request for another realm or host: this gateway is no relay."""
        realm, host = codec.only(avps, Code.DESTINATION_REALM), codec.only(avps, Code.DESTINATION_HOST)
        if realm is not None and realm.data.decode("ascii", "replace") != self.me.realm:
            return Fault(Result.REALM_NOT_SERVED, "another realm")
        if host is not None and host.data.decode("ascii", "replace") != self.me.host:
            return Fault(Result.UNABLE_TO_DELIVER, "another host")
        return None

    def _answered(
        self,
        message: Message,
        request: CreditControlRequest,
        session: Avp | None,
        extra: list[Avp],
        answer: Response | Fault,
    ) -> None:
        self._out_count -= 1
        if self.stream.closed():
            return
        match answer:
            case Fault():
                self.reply_fault(message, answer, session, extra)
            case Served(value=value, true_units=units):
                avps = [
                    codec.u32(Code.AUTH_APPLICATION_ID, codec.CREDIT_CONTROL),
                    codec.u32(Code.CC_REQUEST_TYPE, codec.EVENT_REQUEST),
                    codec.u32(Code.CC_REQUEST_NUMBER, request.identity.number),
                ]
                if request.action == codec.CHECK_BALANCE:
                    avps.append(codec.u32(Code.CHECK_BALANCE_RESULT, 0))  # ENOUGH_CREDIT
                else:
                    granted = units or float(request.units or 1)
                    avps.append(codec.units_avp(Code.GRANTED_SERVICE_UNIT, granted))
                if value:
                    avps.append(codec.value_avp(value))
                self.reply(message, Result.SUCCESS, [*avps, *extra], session)
            case Rejected(retry_after_ms=wait):
                self.reply_fault(
                    message, Fault(Result.TOO_BUSY, f"retry after {max(round(wait), 1)} ms"), session, extra
                )
            case Failed(detail=detail):
                self.reply_fault(message, Fault(Result.UNABLE_TO_COMPLY, detail), session, extra)
        if self._leaving and not self._out_count:
            self.disconnect(codec.REBOOTING)

    def end(self) -> None:
        """Part from the client as soon as everything taken has its answer."""
        self.post(self._end)

    def _end(self) -> None:
        self._leaving = True
        if not self._out_count:
            self.disconnect(codec.REBOOTING)

    def gone(self) -> None:
        self._front.closed(self)
