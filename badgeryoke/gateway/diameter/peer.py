"""The Diameter base protocol on one connection: capabilities exchange, watchdog, disconnect (RFC 6733)."""

from __future__ import annotations

import logging
import random
from dataclasses import dataclass
from enum import Enum

from tornado.iostream import IOStream, StreamClosedError

from badgeryoke.gateway.actor import Actor, ActorScheduler
from badgeryoke.gateway.connecting import has_unread_data, on_close, pump
from badgeryoke.gateway.diameter import codec
from badgeryoke.gateway.diameter.capabilities import check_capabilities
from badgeryoke.gateway.diameter.codec import Avp, Fault, Message
from badgeryoke.gateway.diameter.dictionary import AvpCode, CommandCode, ResultCode

log = logging.getLogger(__name__)

EXCHANGE_TIMEOUT_S = 5.0  # applies to the capabilities exchange and to the end after a DPR
CLOSE_CHECK_INTERVAL_S = 0.01  # time between checks of whether a connection may be closed
WATCHDOG_JITTER_S = 2.0  # as RFC 3539 specifies
PROTOCOL_ERRORS = range(3000, 4000)  # answers with these result codes have the E bit set


@dataclass(frozen=True, slots=True)
class PeerIdentity:
    """The Diameter identity of this gateway."""

    host: str
    realm: str
    address: str
    origin_state_id: int


class PeerState(Enum):
    """The states of a connection (RFC 6733, 5.6, without election)."""

    WAIT_EXCHANGE = "wait for CER or CEA"
    OPEN = "open"
    CLOSING = "a DPR was sent or received"
    CLOSED = "closed"


class Peer(Actor):
    """One connection; subclasses for clients and for servers add credit control.

    After a disconnect by either side, and after an invalid message, the connection stays open until no request is in
    flight on it.
    """

    expects_cer = True  # the peer opened the connection and so sends the CER; False: it sends the CEA

    def __init__(
        self, stream: IOStream, identity: PeerIdentity, loop: ActorScheduler, watchdog_s: float
    ) -> None:
        super().__init__(loop)
        self.stream, self.identity = stream, identity
        self.state = PeerState.WAIT_EXCHANGE
        self.origin_host = ""  # the peer's Origin-Host; empty until the capabilities exchange
        self.last_received_s = loop.time()
        self._framer = codec.Framer()
        self._outgoing: list[bytes] = []
        self._watchdog_s = watchdog_s
        self._watchdog_pending = False  # a Device-Watchdog-Request is unanswered
        self._input_ended = False  # further messages are ignored
        self._close_requested = False  # close once nothing is in flight, unwritten or unread
        self._close_check_scheduled = False
        self._disconnect_request: Message | None = None  # the peer's DPR, until it is answered
        self._next_id = random.getrandbits(32)
        on_close(stream, lambda: self.post(self._stream_closed))
        loop.call_later(EXCHANGE_TIMEOUT_S, self.deliver, self._exchange_timed_out)

    async def read(self) -> None:
        """Receive messages until the connection closes."""
        await pump(self.stream, lambda data: self.deliver(self._receive, data))

    def next_id(self) -> int:
        """Return a new Hop-by-Hop Identifier; it wraps around at 32 bits."""
        self._next_id = (self._next_id + 1) & 0xFFFFFFFF
        return self._next_id

    # Overridden by subclasses.

    def handle_credit_control(self, message: Message, avps: list[Avp] | Fault) -> None:
        """Handle a CCR or a CCA on an open connection."""
        raise NotImplementedError

    def capabilities_exchanged(self) -> None:
        """Called when the capabilities have been exchanged."""

    def connection_closed(self) -> None:
        """Called when the connection has closed."""

    def disconnect_requested(self) -> None:
        """Called when the peer has sent a Disconnect-Peer-Request."""

    @property
    def has_requests_in_flight(self) -> bool:
        """Whether requests on this connection wait for an answer that can still come."""
        return False

    def accepts_peer(self, host: str) -> bool:
        """Whether a peer with this Origin-Host may connect."""
        return bool(host) and host.isascii() and host.isprintable() and host != self.identity.host

    # Writing.

    def send(self, message: Message) -> None:
        """Queue a message to be written at the end of the batch."""
        self._outgoing.append(message.encode())

    def batch_ended(self) -> None:
        """Write the queued messages with one call, then close the connection if that was requested."""
        if self.stream.closed():
            return
        self._answer_disconnect_request()
        if self._outgoing:
            data, self._outgoing = b"".join(self._outgoing), []
            try:
                self.stream.write(data)
            except StreamClosedError:
                return
            except Exception as fault:  # the stream's write buffer is full
                log.warning("peer %s reads too slowly, connection closed: %s", self.origin_host or "?", fault)
                self.stream.close()
                return
        if self._close_requested and not self.has_requests_in_flight:
            self._close_when_finished()

    def _answer_disconnect_request(self) -> None:
        """Answer the peer's DPR behind the answers to its requests: it may close as soon as it has the DPA."""
        request = self._disconnect_request
        if request is not None and not self.has_requests_in_flight:
            self._disconnect_request = None
            self.send_answer(request, ResultCode.SUCCESS, [])
            self._close_requested = True
            self._loop.call_later(EXCHANGE_TIMEOUT_S, self.deliver, self._disconnect_timed_out)

    def _close_when_finished(self) -> None:
        """Close, unless bytes are unwritten or may hold a request; then the check is repeated."""
        if not self.stream.writing() and (self._input_ended or not self._has_unhandled_input):
            self.stream.close()
        elif not self._close_check_scheduled:
            self._close_check_scheduled = True
            self._loop.call_later(CLOSE_CHECK_INTERVAL_S, self.deliver, self._check_close)

    @property
    def _has_unhandled_input(self) -> bool:
        """Whether received bytes may not have been handled yet: in the socket, or read in this loop iteration."""
        return not self.stream.reading() or has_unread_data(self.stream)

    def _check_close(self) -> None:
        self._close_check_scheduled = False  # `batch_ended` follows and checks again

    def _end_input(self) -> None:
        """Ignore further messages, and close once the requests in flight are answered."""
        self._input_ended = self._close_requested = True

    def origin_avps(self) -> list[Avp]:
        """Origin-Host and Origin-Realm of this gateway."""
        return [
            codec.text_avp(AvpCode.ORIGIN_HOST, self.identity.host),
            codec.text_avp(AvpCode.ORIGIN_REALM, self.identity.realm),
        ]

    def _origin_state_avp(self) -> Avp:
        return codec.unsigned32_avp(AvpCode.ORIGIN_STATE_ID, self.identity.origin_state_id)

    def send_answer(
        self, request: Message, result: int, extra: list[Avp], session: Avp | None = None
    ) -> None:
        """Answer a request; the E bit is set for protocol errors."""
        avps = [session] if session is not None else []
        avps += [codec.unsigned32_avp(AvpCode.RESULT_CODE, result), *self.origin_avps(), *extra]
        self.send(request.answer(avps, result in PROTOCOL_ERRORS))

    def send_fault_answer(
        self, request: Message, fault: Fault, session: Avp | None = None, extra: list[Avp] | None = None
    ) -> None:
        """Answer a request with a fault's Result-Code, Error-Message and Failed-AVP."""
        avps = [codec.text_avp(AvpCode.ERROR_MESSAGE, fault.text, 0)]
        if fault.failed_avp:
            avps.append(Avp(AvpCode.FAILED_AVP, fault.failed_avp + b"\0" * (-len(fault.failed_avp) % 4)))
        self.send_answer(request, fault.result_code, avps + (extra or []), session)

    def capabilities_avps(self) -> list[Avp]:
        """The AVPs that a CER and a CEA share."""
        return [
            *self.origin_avps(),
            codec.address_avp(self.identity.address),
            codec.unsigned32_avp(AvpCode.VENDOR_ID, 0),
            codec.text_avp(AvpCode.PRODUCT_NAME, "badgeryoke", 0),
            self._origin_state_avp(),
            codec.unsigned32_avp(AvpCode.AUTH_APPLICATION_ID, codec.CREDIT_CONTROL_APPLICATION_ID),
        ]

    def send_request(self, command: int, avps: list[Avp]) -> None:
        """Send a request of the base protocol."""
        identifier = self.next_id()  # Hop-by-Hop and End-to-End Identifier
        self.send(Message(codec.FLAG_REQUEST, command, 0, identifier, identifier, codec.encode_avps(avps)))

    # Reading.

    def _receive(self, data: bytes) -> None:
        self.last_received_s = self._loop.time()
        for message in self._framer.feed(data):
            if self._input_ended:
                return
            self._dispatch(message)
        if self._framer.fault is not None and not self._input_ended:
            fault, header = self._framer.fault
            log.warning("peer %s: %s, connection closed", self.origin_host or "?", fault.text)
            if header.is_request and self.state is PeerState.OPEN:
                self.send_fault_answer(header, fault)
            self._end_input()

    def _dispatch(self, message: Message) -> None:
        avps = codec.read_avps(message.body)
        if message.is_request and message.flags & codec.FLAG_ERROR:
            self.send_fault_answer(message, Fault(ResultCode.INVALID_HDR_BITS, "E bit in a request"))
        elif self.state is PeerState.WAIT_EXCHANGE:
            if (message.command_code, message.is_request) != (
                CommandCode.CAPABILITIES_EXCHANGE,
                self.expects_cer,
            ):
                log.warning("peer sent command %d before the capabilities exchange", message.command_code)
                self._end_input()
            else:
                self._exchange_capabilities(message, avps)
        elif message.command_code == CommandCode.CREDIT_CONTROL:
            if message.is_request and message.application_id != codec.CREDIT_CONTROL_APPLICATION_ID:
                self.send_fault_answer(
                    message, Fault(ResultCode.APPLICATION_UNSUPPORTED, "not credit control")
                )
            else:
                self.handle_credit_control(message, avps)
        elif not message.is_request:
            self._handle_base_answer(message)
        elif isinstance(avps, Fault):
            self.send_fault_answer(message, avps)
        else:
            self._answer_base_request(message)

    def _handle_base_answer(self, message: Message) -> None:
        if message.command_code == CommandCode.DEVICE_WATCHDOG:
            self._watchdog_pending = False
        elif message.command_code == CommandCode.DISCONNECT_PEER:
            self._close_requested = True

    def _answer_base_request(self, message: Message) -> None:
        if message.command_code == CommandCode.DEVICE_WATCHDOG:
            self.send_answer(message, ResultCode.SUCCESS, [self._origin_state_avp()])
        elif message.command_code == CommandCode.DISCONNECT_PEER:
            self.state, self._disconnect_request = PeerState.CLOSING, message
            self.disconnect_requested()
        elif message.command_code == CommandCode.CAPABILITIES_EXCHANGE:
            self.send_fault_answer(message, Fault(ResultCode.UNABLE_TO_COMPLY, "capabilities were exchanged"))
        else:
            self.send_fault_answer(message, Fault(ResultCode.COMMAND_UNSUPPORTED, "command not known"))

    def _exchange_capabilities(self, message: Message, avps: list[Avp] | Fault) -> None:
        """Check a CER or a CEA; change to OPEN if it is acceptable, else close the connection."""
        host, fault = check_capabilities(message, avps, self.accepts_peer)
        if fault is not None:
            log.warning("peer %.80r: capabilities exchange failed: %s", host, fault.text)
            if message.is_request:
                self.send_fault_answer(message, fault)
            self._end_input()
            return
        self.origin_host = host
        if message.is_request:
            self.send(
                message.answer(
                    [codec.unsigned32_avp(AvpCode.RESULT_CODE, ResultCode.SUCCESS), *self.capabilities_avps()]
                )
            )
        self.state = PeerState.OPEN
        self._schedule_watchdog()
        self.capabilities_exchanged()

    # Timers.

    def _schedule_watchdog(self) -> None:
        delay_s = self._watchdog_s + random.uniform(-WATCHDOG_JITTER_S, WATCHDOG_JITTER_S)
        self._loop.call_later(max(delay_s, 0.1), self.deliver, self._check_watchdog)

    def _check_watchdog(self) -> None:
        """Send a Device-Watchdog-Request to an idle peer; close the connection if it is not answered (RFC 3539)."""
        if self.state is not PeerState.OPEN:
            return
        if self._loop.time() - self.last_received_s < self._watchdog_s - WATCHDOG_JITTER_S:
            self._watchdog_pending = False
        elif self._watchdog_pending:
            log.warning("peer %s: no answer to the watchdog, connection closed", self.origin_host)
            self.stream.close()
            return
        else:
            self._watchdog_pending = True
            self.send_request(
                CommandCode.DEVICE_WATCHDOG,
                [*self.origin_avps(), self._origin_state_avp()],
            )
        self._schedule_watchdog()

    def _exchange_timed_out(self) -> None:
        if self.state is PeerState.WAIT_EXCHANGE:
            self.stream.close()

    def disconnect(self, cause: int) -> None:
        """Send a Disconnect-Peer-Request; close when it is answered, or after a timeout.

        Requests that the peer sent before it received the DPR arrive before its answer, and are answered as well.
        """
        if self.state is not PeerState.OPEN:
            return
        self.state = PeerState.CLOSING
        self.send_request(
            CommandCode.DISCONNECT_PEER,
            [*self.origin_avps(), codec.unsigned32_avp(AvpCode.DISCONNECT_CAUSE, cause)],
        )
        self._loop.call_later(EXCHANGE_TIMEOUT_S, self.deliver, self._disconnect_timed_out)

    def _disconnect_timed_out(self) -> None:
        """Close whatever the peer does, but not before the requests in flight are answered."""
        if self.has_requests_in_flight:
            self._end_input()
            self._loop.call_later(EXCHANGE_TIMEOUT_S, self.deliver, self._disconnect_timed_out)
        else:
            self.stream.close()

    def _stream_closed(self) -> None:
        if self.state is PeerState.CLOSED:
            return
        if self._framer.has_partial_message:
            log.warning("peer %s: connection ended inside a message", self.origin_host or "?")
        self.state = PeerState.CLOSED
        self.connection_closed()
