"""A Diameter client's connection: receives Credit-Control-Requests and sends their answers (RFC 8506)."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tornado.iostream import IOStream

from badgeryoke.gateway.diameter import codec
from badgeryoke.gateway.diameter.codec import Avp, Fault, Message
from badgeryoke.gateway.diameter.credit_control_request import CreditControlRequest, read_request
from badgeryoke.gateway.diameter.dictionary import AvpCode, ResultCode
from badgeryoke.gateway.diameter.peer import Peer, PeerState
from badgeryoke.gateway.diameter.request_register import CAPACITY_RETRY_AFTER_MS
from badgeryoke.gateway.responses import Failed, Rejected, Response, Served

if TYPE_CHECKING:
    from badgeryoke.gateway.diameter.listener import DiameterListener

ENOUGH_CREDIT = 0  # a value of Check-Balance-Result
MAX_REQUESTS_IN_FLIGHT = 1024  # maximum per connection
# While a connection drains, requests are accepted for DRAIN_GRACE_S; later ones are refused at once, so that a client
# that never stops sending is disconnected too.  A new connection has EXCHANGE_GRACE_S for the capabilities exchange.
DRAIN_GRACE_S, EXCHANGE_GRACE_S = 1.0, 0.5
DRAIN_RETRY_AFTER_MS = 1.0  # another gateway may be asked at once


class DiameterClientConnection(Peer):
    """The connection of one Diameter client."""

    def __init__(self, stream: IOStream, listener: DiameterListener) -> None:
        super().__init__(stream, listener.identity, listener.loop, listener.config.watchdog_s)
        self._listener = listener
        self._in_flight_count = 0
        self._draining = False  # disconnects as soon as no request is in flight
        self._refusing = False  # new requests are not submitted

    @property
    def has_requests_in_flight(self) -> bool:
        """Whether requests of the client are unanswered."""
        return self._in_flight_count > 0

    def accepts_peer(self, host: str) -> bool:
        """Whether the Origin-Host may connect; any host may if the configuration lists no clients."""
        clients = self._listener.config.clients
        return super().accepts_peer(host) and (not clients or host in clients)

    def handle_credit_control(self, message: Message, avps: list[Avp] | Fault) -> None:
        """Check a Credit-Control-Request and submit it; the answer may be sent later."""
        if not message.is_request:
            return  # the gateway sends no Credit-Control-Request to a client
        if self.stream.closed():
            return  # buffered bytes of a client that has left
        if isinstance(avps, Fault):
            self.send_fault_answer(message, avps)
            return
        session = codec.find_avp(avps, AvpCode.SESSION_ID)
        proxy_avps = [avp for avp in avps if avp.code == AvpCode.PROXY_INFO and not avp.vendor_id]
        fault = self._check_destination(avps)
        request = read_request(message, avps) if fault is None else fault
        if isinstance(request, Fault):
            self.send_fault_answer(message, request, session, proxy_avps)
        else:
            self._submit(message, request, session, proxy_avps)

    def _submit(
        self, message: Message, request: CreditControlRequest, session: Avp | None, proxy_avps: list[Avp]
    ) -> None:
        """Pass a request to the register; at the limit on requests in flight, or at the end, it is refused."""
        register = self._listener.register
        retransmitted = bool(message.flags & codec.FLAG_RETRANSMITTED)
        full = self._in_flight_count >= MAX_REQUESTS_IN_FLIGHT
        self._in_flight_count += 1  # decremented with the answer

        def reply(answer: Response | Fault) -> None:
            self.post(self._send_response, message, request, session, proxy_avps, answer)

        if self._refusing or self._close_requested:
            register.refuse(request, retransmitted, DRAIN_RETRY_AFTER_MS, reply)
        elif full:
            register.refuse(request, retransmitted, CAPACITY_RETRY_AFTER_MS, reply)
        else:
            register.submit(request, retransmitted, self, reply)

    def _check_destination(self, avps: list[Avp]) -> Fault | None:
        """Return a fault for a request to another realm or host: this gateway is not a relay agent."""
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
        proxy_avps: list[Avp],
        answer: Response | Fault,
    ) -> None:
        self._in_flight_count -= 1
        if self.stream.closed():
            return
        match answer:
            case Fault():
                self.send_fault_answer(message, answer, session, proxy_avps)
            case Served():
                avps = _served_avps(request, answer)
                self.send_answer(message, ResultCode.SUCCESS, [*avps, *proxy_avps], session)
            case Rejected(retry_after_ms=retry_after_ms):
                self.send_fault_answer(
                    message,
                    Fault(ResultCode.TOO_BUSY, f"retry after {max(round(retry_after_ms), 1)} ms"),
                    session,
                    proxy_avps,
                )
            case Failed(detail=detail):
                self.send_fault_answer(
                    message, Fault(ResultCode.UNABLE_TO_COMPLY, detail), session, proxy_avps
                )
        self._disconnect_if_drained()

    def drain(self) -> None:
        """Disconnect as soon as no request is in flight; what the client sent until then is answered."""
        self.post(self._drain)

    def _drain(self) -> None:
        if self._draining:
            return
        self._draining = True
        self._loop.call_later(DRAIN_GRACE_S, self.deliver, self._refuse_new_requests)
        if self.state is PeerState.WAIT_EXCHANGE:
            self._loop.call_later(EXCHANGE_GRACE_S, self.deliver, self._exchange_grace_expired)
        self._disconnect_if_drained()

    def _disconnect_if_drained(self) -> None:
        if self._draining and not self.has_requests_in_flight:
            self.disconnect(codec.REBOOTING)

    def capabilities_exchanged(self) -> None:
        """Disconnect from a client that connected while the gateway drains."""
        self._disconnect_if_drained()

    def _exchange_grace_expired(self) -> None:
        if self.state is PeerState.WAIT_EXCHANGE:
            self._close_requested = True

    def refuse_new_requests(self) -> None:
        """Answer further requests at once, without submitting them."""
        self.post(self._refuse_new_requests)

    def _refuse_new_requests(self) -> None:
        self._refusing = True

    def connection_closed(self) -> None:
        """Report that the client has left, and remove this connection from the listener."""
        self._listener.register.client_left(self)
        self._listener.connection_closed(self)


def _served_avps(request: CreditControlRequest, answer: Served) -> list[Avp]:
    avps = [
        codec.unsigned32_avp(AvpCode.AUTH_APPLICATION_ID, codec.CREDIT_CONTROL_APPLICATION_ID),
        codec.unsigned32_avp(AvpCode.CC_REQUEST_TYPE, codec.EVENT_REQUEST),
        codec.unsigned32_avp(AvpCode.CC_REQUEST_NUMBER, request.identity.request_number),
    ]
    if request.action == codec.CHECK_BALANCE:
        avps.append(codec.unsigned32_avp(AvpCode.CHECK_BALANCE_RESULT, ENOUGH_CREDIT))
    else:
        granted = answer.true_units or float(request.units or 1)
        avps.append(codec.units_avp(AvpCode.GRANTED_SERVICE_UNIT, granted))
    if answer.value:
        avps.append(codec.value_avp(answer.value))
    return avps
