"""A Diameter server as a backend: one connection, requests matched by Hop-by-Hop Id (RFC 6733, RFC 8506)."""

from __future__ import annotations

import asyncio
import logging
import zlib
from collections.abc import Callable
from typing import TYPE_CHECKING

from tornado.iostream import IOStream, StreamClosedError

from badgeryoke.gateway.actor import Actor, ActorScheduler
from badgeryoke.gateway.attempt import Attempt, Request
from badgeryoke.gateway.connecting import dial
from badgeryoke.gateway.diameter import codec
from badgeryoke.gateway.diameter.codec import Avp, Code, Command, Fault, Message, Result
from badgeryoke.gateway.diameter.peer import Peer, PeerIdentity, PeerState

if TYPE_CHECKING:
    from badgeryoke.gateway.cluster.upstream_lease import UpstreamLease

log = logging.getLogger(__name__)

SERVICE_CONTEXT = "load@badgeryoke"
IDLE_PART = 0.5  # of the settings' idle time a connection is kept
MOST_OUT = 1024  # attempts of one connection


def session_of(query: Request, realm: str) -> tuple[str, int]:
    """Session-Id and End-to-End Id.  Of a keyed query they derive from its key alone, so that a server knows
    the repeat that another gateway sends."""
    mark = query.idempotency_key or query.id
    low = zlib.crc32(mark.encode())
    return f"{realm};{len(mark)};{low};{mark}", low


def encode(
    query: Request, me: PeerIdentity, safe: bool, service: int | None, hop_by_hop: int, repeat: bool
) -> bytes:
    """The CCR of an event."""
    session, end_to_end = session_of(query, me.realm)
    avps = [
        codec.text(Code.SESSION_ID, session),
        codec.text(Code.ORIGIN_HOST, me.host),
        codec.text(Code.ORIGIN_REALM, me.realm),
        codec.text(Code.DESTINATION_REALM, me.realm),
        codec.u32(Code.AUTH_APPLICATION_ID, codec.CREDIT_CONTROL),
        codec.text(Code.SERVICE_CONTEXT_ID, SERVICE_CONTEXT),
        codec.u32(Code.CC_REQUEST_TYPE, codec.EVENT_REQUEST),
        codec.u32(Code.CC_REQUEST_NUMBER, 0),
        codec.u32(Code.REQUESTED_ACTION, codec.CHECK_BALANCE if safe else codec.DIRECT_DEBITING),
        codec.group(
            Code.SUBSCRIPTION_ID,
            [
                codec.u32(Code.SUBSCRIPTION_ID_TYPE, codec.END_USER_PRIVATE),
                codec.text(Code.SUBSCRIPTION_ID_DATA, f"{query.customer:016x}"),
            ],
        ),
        codec.units_avp(Code.REQUESTED_SERVICE_UNIT, query.units),
    ]
    if service is not None:
        avps.append(codec.u32(Code.SERVICE_IDENTIFIER, service))
    if query.body is not None:
        avps.append(codec.value_avp(query.body))
    flags = codec.REQUEST | codec.PROXIABLE | (codec.RETRANSMIT if repeat else 0)
    return Message(
        flags, Command.CREDIT_CONTROL, codec.CREDIT_CONTROL, hop_by_hop, end_to_end, codec.encode(avps)
    ).encode()


def settle(execution: Attempt, avps: list[Avp] | Fault) -> str | None:
    """End an attempt by its CCA; the result says what was malformed.

    A server that is too busy never began, so the query may go elsewhere; any other failure may have run.
    """
    if isinstance(avps, Fault):
        execution.failed("malformed answer")
        return avps.text
    code = codec.only(avps, Code.RESULT_CODE)
    result = None if code is None else codec.read_u32(code)
    if result is None or isinstance(result, Fault):
        execution.failed("malformed answer")
        return "answer without a Result-Code"
    if result == Result.TOO_BUSY:
        execution.rejected("DIAMETER_TOO_BUSY")
    elif 2000 <= result < 3000:
        value = codec.value_of(avps)
        granted = codec.only(avps, Code.GRANTED_SERVICE_UNIT)
        units = None if granted is None else codec.units_of(granted)
        if isinstance(value, Fault) or isinstance(units, Fault):
            execution.succeeded(b"", 0.0)
            return "answer with unreadable units or value"
        execution.succeeded(value or b"", float(units or 0))
    else:
        execution.failed(f"Result-Code {result}")
    return None


class _Connection(Peer):
    """The connection, and the attempts that are out on it."""

    expects_request = False

    def __init__(
        self, stream: IOStream, owner: DiameterUpstream, loop: ActorScheduler, watchdog_s: float
    ) -> None:
        super().__init__(stream, owner.me, loop, watchdog_s)
        self._owner = owner
        self.out: dict[int, Attempt] = {}
        self._unwritten: list[Attempt] = []  # gathered in this turn
        self.used_at = loop.time()

    def opened(self) -> None:
        self._owner.post(self._owner.opened, self)

    def gone(self) -> None:
        """What was written may have run; execution.lost() tells which was."""
        out, self.out = self.out, {}
        for execution in out.values():
            execution.on_abort = None
            execution.connection_lost(str(self.stream.error or "connection ended"))
        self._owner.post(self._owner.closed, self)

    def write(self, execution: Attempt) -> None:
        now = self._owner.clock()
        if self.state is not PeerState.OPEN or self.stream.closed():
            execution.connection_lost("connection ended")
            return
        if not execution.may_be_written(now):
            execution.not_sent("too late to be sent")
            return
        if len(self.out) >= MOST_OUT:
            execution.not_sent("too many attempts out")
            return
        query, owner = execution.request, self._owner
        number = self.next_id()
        repeat = execution.potential_duplicate or (query.retry and bool(query.idempotency_key))
        self.out[number] = execution
        execution.write_started = True
        execution.on_abort = lambda: self.post(self._abandoned, number, execution)
        service = owner.services.get(query.plan)
        self._out.append(encode(query, self.me, bool(query.idempotent), service, number, repeat))
        self._unwritten.append(execution)

    def batch_ended(self) -> None:
        batch, self._unwritten = self._unwritten, []
        super().batch_ended()
        if not batch or self.stream.closed():
            return
        stuck = self.stream.writing()
        # Of a batch that sticks half way all but the last may be out whole, and may run.
        for execution in batch[:-1] if stuck else batch:
            execution.written()
        if stuck:
            self._loop.call_later(0.0, self.deliver, self._look, batch[-1])

    def _look(self, last: Attempt) -> None:
        """Written whole once nothing waits in the stream; a break before that proves that it never ran."""
        if self.stream.closed():
            return
        if self.stream.writing():
            self._loop.call_later(0.001, self.deliver, self._look, last)
        else:
            last.written()

    def _abandoned(self, number: int, execution: Attempt) -> None:
        """Credit control has no way to take a request back.  Where the query has its final answer, a late CCA
        is ignored; where another attempt may follow, only closing the connection ends this one."""
        if self.out.get(number) is not execution:
            return
        del self.out[number]
        if not execution.final:
            self.stream.close()

    def credit_control(self, message: Message, avps: list[Avp] | Fault) -> None:
        if message.is_request:
            self.reply_fault(message, Fault(Result.UNABLE_TO_COMPLY, "this side serves no credit control"))
            return
        execution = self.out.pop(message.hop_by_hop, None)
        self.used_at = self._loop.time()
        if execution is None:
            return  # the answer to an attempt that was abandoned
        execution.on_abort = None
        if fault := settle(execution, avps):
            self._owner.complain(fault)
        self.part()

    def part(self) -> None:
        """Leave a server that drains or is gone, once it owes nothing: the watchdog would hold the connection
        for good."""
        if self._owner.draining and not self.out and self.state is PeerState.OPEN:
            self.disconnect(codec.DO_NOT_WANT_TO_TALK_TO_YOU)


class DiameterUpstream(Actor):
    """One Diameter server: connected when first needed, and again when needed after a loss."""

    def __init__(
        self,
        address: tuple[str, int],
        loop: ActorScheduler,
        clock: Callable[[], float],
        *,
        me: PeerIdentity,
        services: dict[str, int],
        connect_ms: float,
        idle_ms: float,
        watchdog_s: float,
        lease: UpstreamLease | None = None,
    ) -> None:
        super().__init__(loop)
        self.lease = lease  # where the fleet keeps the server's limit
        self.address, self.clock, self.me = address, clock, me
        self.services = services
        self._connect_ms, self._watchdog_s = connect_ms, watchdog_s
        self._idle_s = idle_ms * IDLE_PART / 1000.0
        self._connection: _Connection | None = None
        self._waiting: list[Attempt] = []
        self.draining = False
        self._complained = False

    def start(self, execution: Attempt) -> None:
        self.post(self._start, execution)

    def _start(self, execution: Attempt) -> None:
        if self.draining:
            execution.connection_lost("server is gone")
        elif (
            self._connection is not None
            and self._connection.state is PeerState.OPEN
            and (self.lease is None or self.lease.is_held())
        ):
            self._connection.post(self._connection.write, execution)
        elif len(self._waiting) >= MOST_OUT:
            execution.not_sent("too many attempts wait for the connection")
        else:
            self._waiting.append(execution)
            self._loop.call_later(self._connect_ms / 1000.0, self.deliver, self._unmet, execution)
            if self._connection is None:
                self._connect()

    def _connect(self) -> None:
        if self.lease is not None and not self.lease.may_open():
            return  # whoever waits has its time
        try:
            stream, coming_up = (dial if self.lease is None else self.lease.dial)(
                self.address, 4 * codec.MAX_MESSAGE
            )
        except OSError as fault:
            self.complain(f"no socket: {fault}")
            waiting, self._waiting = self._waiting, []
            for execution in waiting:
                execution.connection_lost(f"no socket: {fault}")
            return
        connection = self._connection = _Connection(stream, self, self._loop, self._watchdog_s)
        self._task = asyncio.ensure_future(self._live(connection, coming_up))

    async def _live(self, connection: _Connection, coming_up: asyncio.Future[IOStream]) -> None:
        try:
            await coming_up
        except (StreamClosedError, OSError):
            connection.stream.close()
            return
        connection.post(connection.request, Command.CAPABILITIES_EXCHANGE, connection.capabilities())
        await connection.read()

    def opened(self, connection: _Connection) -> None:
        waiting, self._waiting = self._waiting, []
        for execution in waiting:
            if not execution.ended:
                connection.post(connection.write, execution)

    def closed(self, connection: _Connection) -> None:
        if connection is not self._connection:
            return
        self._connection = None
        if connection.host and self._waiting and not self.draining:
            self._connect()  # it had been open, and was closed while these came
            return
        waiting, self._waiting = self._waiting, []
        for execution in waiting:
            execution.connection_lost(str(connection.stream.error or "no connection"))

    def _unmet(self, execution: Attempt) -> None:
        if execution in self._waiting:
            self._waiting.remove(execution)
            execution.connection_lost("no connection in time")

    @property
    def connections_needed(self) -> int:
        """See badgeryoke.gateway.cluster.upstream_lease.LeasedUpstream."""
        return int(bool(self._waiting) or (self._connection is not None and bool(self._connection.out)))

    def close_connections(self, count: int, include_in_use: bool) -> None:
        """See badgeryoke.gateway.cluster.upstream_lease.LeasedUpstream."""
        self.post(self._shrink, include_in_use)

    def _shrink(self, all_: bool) -> None:
        connection = self._connection
        if connection is not None and (all_ or not connection.out):
            connection.stream.close()

    def capacity_available(self) -> None:
        """See badgeryoke.gateway.cluster.upstream_lease.LeasedUpstream."""
        self.post(self._grown)

    def _grown(self) -> None:
        if self._waiting and self._connection is None and not self.draining:
            self._connect()

    def complain(self, words: str) -> None:
        """Log a server's fault once."""
        if not self._complained:
            self._complained = True
            log.warning("server %s:%d %s", *self.address, words)

    def sweep(self) -> None:
        """Part from a server that has not been needed for long; called now and then."""
        connection = self._connection
        if (
            connection is not None
            and connection.state is PeerState.OPEN
            and not connection.out
            and self._loop.time() - connection.used_at > self._idle_s
        ):
            connection.post(connection.disconnect, codec.DO_NOT_WANT_TO_TALK_TO_YOU)

    def drain(self) -> None:
        self.post(self._drain_now)

    def _drain_now(self) -> None:
        self.draining = True
        waiting, self._waiting = self._waiting, []
        for execution in waiting:
            execution.connection_lost("server is draining")
        if self._connection is not None:
            self._connection.post(self._connection.part)

    def reopen(self) -> None:
        self.post(self._reopen)

    def _reopen(self) -> None:
        self.draining = False
