"""The base protocol's side of one Diameter connection: capabilities, watchdog, disconnection (RFC 6733)."""

from __future__ import annotations

import logging
import random
from dataclasses import dataclass
from enum import Enum

from tornado.iostream import IOStream, StreamClosedError

from badgeryoke.gateway.actor import Actor, ActorScheduler
from badgeryoke.gateway.connecting import on_close, pump
from badgeryoke.gateway.diameter import codec
from badgeryoke.gateway.diameter.codec import Avp, Code, Command, Fault, Message, Result

log = logging.getLogger(__name__)

EXCHANGE_S = 5.0  # for the capabilities exchange, and for the answer to a DPR
WATCHDOG_JITTER_S = 2.0  # RFC 3539
FAILED_PROTOCOL = range(3000, 4000)  # result codes that go with the E bit


@dataclass(frozen=True, slots=True)
class PeerIdentity:
    """Who this gateway is."""

    host: str
    realm: str
    address: str
    state_id: int


class PeerState(Enum):
    WAIT_EXCHANGE = "wait for CER or CEA"
    OPEN = "open"
    CLOSING = "wait for DPA"
    CLOSED = "closed"


class Peer(Actor):
    """One connection.  A client link or a server link adds what it does with credit control."""

    expects_request = True  # the other side opened the connection, and sends the CER

    def __init__(self, stream: IOStream, me: PeerIdentity, loop: ActorScheduler, watchdog_s: float) -> None:
        super().__init__(loop)
        self.stream, self.me = stream, me
        self.state = PeerState.WAIT_EXCHANGE
        self.host = ""  # the other side's Origin-Host
        self.heard_at = loop.time()
        self._framer = codec.Framer()
        self._out: list[bytes] = []
        self._watchdog_s = watchdog_s
        self._asked = False  # a DWR is out
        self._ending = False  # close once what is gathered has been written
        self._next_id = random.getrandbits(32)
        on_close(stream, lambda: self.post(self._gone))
        loop.call_later(EXCHANGE_S, self.deliver, self._exchange_late)

    async def read(self) -> None:
        """Take in what comes until the connection ends."""
        await pump(self.stream, lambda data: self.deliver(self._arrived, data))

    def next_id(self) -> int:
        self._next_id = (self._next_id + 1) & 0xFFFFFFFF
        return self._next_id

    # What a link adds.

    def credit_control(self, message: Message, avps: list[Avp] | Fault) -> None:
        """A CCR or a CCA, on an open connection."""
        raise NotImplementedError

    def opened(self) -> None:
        """The capabilities have been exchanged."""

    def gone(self) -> None:
        """The connection has ended."""

    def accepts(self, host: str) -> bool:
        """Whether this peer is let in."""
        return bool(host) and host.isascii() and host.isprintable() and host != self.me.host

    # Writing.

    def send(self, message: Message) -> None:
        self._out.append(message.encode())

    def batch_ended(self) -> None:
        if self.stream.closed():
            return
        if self._out:
            out, self._out = b"".join(self._out), []
            try:
                self.stream.write(out)
            except StreamClosedError:
                return
            except Exception as fault:  # the write buffer's bound
                log.warning("peer %s reads too slowly, connection closed: %s", self.host or "?", fault)
                self.stream.close()
                return
        if self._ending:
            self._finish()

    def _finish(self) -> None:
        if self.stream.writing():
            self._loop.call_later(0.01, self.deliver, self._finish)
        else:
            self.stream.close()

    def base(self) -> list[Avp]:
        return [codec.text(Code.ORIGIN_HOST, self.me.host), codec.text(Code.ORIGIN_REALM, self.me.realm)]

    def reply(self, request: Message, result: int, extra: list[Avp], session: Avp | None = None) -> None:
        """Answer a request; protocol errors carry the E bit."""
        avps = [session] if session is not None else []
        avps += [codec.u32(Code.RESULT_CODE, result), *self.base(), *extra]
        self.send(request.answer(avps, result in FAILED_PROTOCOL))

    def reply_fault(
        self, request: Message, fault: Fault, session: Avp | None = None, extra: list[Avp] | None = None
    ) -> None:
        avps = [codec.text(Code.ERROR_MESSAGE, fault.text, 0)]
        if fault.failed:
            avps.append(Avp(Code.FAILED_AVP, fault.failed + b"\0" * (-len(fault.failed) % 4)))
        self.reply(request, fault.result, avps + (extra or []), session)

    def capabilities(self) -> list[Avp]:
        return [
            *self.base(),
            codec.address_avp(self.me.address),
            codec.u32(Code.VENDOR_ID, 0),
            codec.text(Code.PRODUCT_NAME, "badgeryoke", 0),
            codec.u32(Code.ORIGIN_STATE_ID, self.me.state_id),
            codec.u32(Code.AUTH_APPLICATION_ID, codec.CREDIT_CONTROL),
        ]

    def request(self, command: int, avps: list[Avp]) -> None:
        """A request of the base protocol."""
        number = self.next_id()
        self.send(Message(codec.REQUEST, command, 0, number, number, codec.encode(avps)))

    # Reading.

    def _arrived(self, data: bytes) -> None:
        self.heard_at = self._loop.time()
        for message in self._framer.feed(data):
            if self._ending:
                return
            self._message(message)
        if self._framer.fault is not None and not self._ending:
            fault, head = self._framer.fault
            log.warning("peer %s: %s, connection closed", self.host or "?", fault.text)
            if head.is_request and self.state is PeerState.OPEN:
                self.reply_fault(head, fault)
            self._ending = True

    def _message(self, message: Message) -> None:
        avps = codec.read_avps(message.body)
        if message.is_request and message.flags & codec.ERROR:
            self.reply_fault(message, Fault(Result.INVALID_HDR_BITS, "E bit in a request"))
        elif self.state is PeerState.WAIT_EXCHANGE:
            if (message.command, message.is_request) != (Command.CAPABILITIES_EXCHANGE, self.expects_request):
                log.warning("peer sent command %d before the capabilities exchange", message.command)
                self._ending = True
            else:
                self._exchange(message, avps)
        elif message.command == Command.CREDIT_CONTROL:
            if message.is_request and message.application != codec.CREDIT_CONTROL:
                self.reply_fault(message, Fault(Result.APPLICATION_UNSUPPORTED, "not credit control"))
            else:
                self.credit_control(message, avps)
        elif not message.is_request:
            if message.command == Command.DEVICE_WATCHDOG:
                self._asked = False
            elif message.command == Command.DISCONNECT_PEER:
                self._ending = True
        elif isinstance(avps, Fault):
            self.reply_fault(message, avps)
        elif message.command == Command.DEVICE_WATCHDOG:
            self.reply(message, Result.SUCCESS, [codec.u32(Code.ORIGIN_STATE_ID, self.me.state_id)])
        elif message.command == Command.DISCONNECT_PEER:
            self.reply(message, Result.SUCCESS, [])
            self.state, self._ending = PeerState.CLOSING, True
        elif message.command == Command.CAPABILITIES_EXCHANGE:
            self.reply_fault(message, Fault(Result.UNABLE_TO_COMPLY, "capabilities were exchanged"))
        else:
            self.reply_fault(message, Fault(Result.COMMAND_UNSUPPORTED, "command not known"))

    def _exchange(self, message: Message, avps: list[Avp] | Fault) -> None:
        """CER or CEA: who is it, and is credit control common."""
        fault: Fault | None = avps if isinstance(avps, Fault) else None
        host = ""
        if not isinstance(avps, Fault):
            origin = codec.only(avps, Code.ORIGIN_HOST)
            if origin is None:
                fault = Fault(Result.MISSING_AVP, "no Origin-Host", Avp(Code.ORIGIN_HOST, b"").encode())
            else:
                host = origin.data.decode("ascii", "replace")
                if not self.accepts(host):
                    fault = Fault(Result.UNKNOWN_PEER, "this peer is not let in")
                elif not _common_application(avps):
                    fault = Fault(Result.NO_COMMON_APPLICATION, "no credit control")
            if not message.is_request and fault is None:
                code = codec.only(avps, Code.RESULT_CODE)
                result = None if code is None else codec.read_u32(code)
                if result != Result.SUCCESS:
                    fault = Fault(Result.UNKNOWN_PEER, f"exchange refused with {result}")
        if fault is not None:
            log.warning("peer %.80r: capabilities exchange failed: %s", host, fault.text)
            if message.is_request:
                self.reply_fault(message, fault)
            self._ending = True
            return
        self.host = host
        if message.is_request:
            self.send(message.answer([codec.u32(Code.RESULT_CODE, Result.SUCCESS), *self.capabilities()]))
        self.state = PeerState.OPEN
        self._arm()
        self.opened()

    # Time.

    def _arm(self) -> None:
        wait = self._watchdog_s + random.uniform(-WATCHDOG_JITTER_S, WATCHDOG_JITTER_S)
        self._loop.call_later(max(wait, 0.1), self.deliver, self._watch)

    def _watch(self) -> None:
        """Nothing heard for the watchdog's time: ask; nothing after that either: the peer is gone."""
        if self.state is not PeerState.OPEN:
            return
        if self._loop.time() - self.heard_at < self._watchdog_s - WATCHDOG_JITTER_S:
            self._asked = False
        elif self._asked:
            log.warning("peer %s: no answer to the watchdog, connection closed", self.host)
            self.stream.close()
            return
        else:
            self._asked = True
            self.request(
                Command.DEVICE_WATCHDOG, [*self.base(), codec.u32(Code.ORIGIN_STATE_ID, self.me.state_id)]
            )
        self._arm()

    def _exchange_late(self) -> None:
        if self.state is PeerState.WAIT_EXCHANGE:
            self.stream.close()

    def disconnect(self, cause: int) -> None:
        """DPR: close when the other side has agreed, or after a while."""
        if self.state is not PeerState.OPEN:
            self._ending = True
            return
        self.state = PeerState.CLOSING
        self.request(Command.DISCONNECT_PEER, [*self.base(), codec.u32(Code.DISCONNECT_CAUSE, cause)])
        self._loop.call_later(EXCHANGE_S, self.stream.close)

    def _gone(self) -> None:
        if self.state is PeerState.CLOSED:
            return
        if self._framer.cut:
            log.warning("peer %s: connection ended inside a message", self.host or "?")
        self.state = PeerState.CLOSED
        self.gone()


def _common_application(avps: list[Avp]) -> bool:
    for avp in avps:
        inner = [avp]
        if avp.code == Code.VENDOR_SPECIFIC_APPLICATION_ID and not avp.vendor:
            read = codec.read_avps(avp.data)
            inner = [] if isinstance(read, Fault) else read
        for part in inner:
            ours = part.code == Code.AUTH_APPLICATION_ID and not part.vendor
            if ours and codec.read_u32(part) in (codec.CREDIT_CONTROL, codec.RELAY):
                return True
    return False
