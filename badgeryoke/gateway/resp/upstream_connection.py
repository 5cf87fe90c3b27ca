"""An upstream on RESP2: a connection pool, each connection of which carries one attempt at a time.

Attempts are not pipelined: pipelined attempts would be answered in order, so a slow one would block those behind
it, and cancelling one, which means closing its connection, would fail the others.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from tornado.iostream import IOStream, StreamClosedError

from badgeryoke.gateway.actor import Actor, ActorScheduler
from badgeryoke.gateway.attempt import Attempt, Request
from badgeryoke.gateway.connecting import READ_CHUNK_BYTES, dial, on_close
from badgeryoke.gateway.resp.codec import (
    MAX_STREAMED_BYTES,
    ErrorReply,
    RespParser,
    StreamedValue,
    Value,
    command,
    parse_number,
    parse_pairs,
)
from badgeryoke.gateway.response_stream import MAX_WINDOW_BYTES, BufferBudget, ResponseStream

if TYPE_CHECKING:
    from badgeryoke.gateway.cluster.upstream_lease import UpstreamLease

log = logging.getLogger(__name__)

# Fraction of the configured idle timeout after which a connection is no longer reused: the backend may close
# it earlier than configured.
IDLE_TIMEOUT_FRACTION = 0.5
# A connection is not reused for this long after a response: the backend may close it, or send a duplicate response,
# which nothing on the wire distinguishes from the response to the next attempt.
REUSE_DELAY_S = 0.01
# An attempt fails after this long without a byte in the middle of its response: the response states a wrong length
# or is never completed.
RESPONSE_SILENCE_TIMEOUT_MS = 50.0
# The same timeout for a streamed value: servers may pause for seconds, and what is cut off is lost to the client.  A
# client has as long to read a chunk (resp/listener.py).
STREAM_SILENCE_TIMEOUT_MS = 10_000.0
STREAM_READ_BYTES = 16 * 1024  # bytes of a streamed value read at a time
MAX_LOAD_REPORT_BYTES = 256
MAX_REPORTED_VALUE = 1e9  # bound of each value in a load report
MAX_CONNECTING = 8  # concurrent dials of one upstream; further attempts wait for an open connection
MAX_READ_BUFFER_BYTES = 256 * 1024  # bound of the stream's read buffer


def encode_request(request: Request, idempotent: bool, remaining_ms: float) -> bytes:
    """Encode a request as a client does, with the time for which this gateway will wait as its deadline."""
    fields = [f"c={request.request_class}", f"t={request.plan}", f"d={max(math.ceil(remaining_ms), 1)}"]
    if request.idempotency_key:
        fields.append(f"k={request.idempotency_key}")
    if request.retry:
        fields.append("r=1")
    fields.append(
        f"units={request.units:.7g},spread={request.gateway_set_size},first={request.first_gateway}"
    )
    arguments = [
        b"SVC.QUERY" if idempotent else b"SVC.SUBMIT",
        b"%016x" % request.customer,
        request.id.encode(),
        ",".join(fields).encode(),
    ]
    if request.body is not None:
        arguments.append(request.body)
    return command(arguments)


def parse_load_report(text: bytes, names: tuple[str, ...]) -> tuple[float, ...]:
    """Return the load report's values in the order of the configured names; empty if one is missing."""
    figures = parse_pairs(text[:MAX_LOAD_REPORT_BYTES])
    if not all(name in figures for name in names):
        return ()
    return tuple(parse_number(figures[name], MAX_REPORTED_VALUE) for name in names)


@dataclass(frozen=True, slots=True)
class ResponseOutcome:
    """The fault found in a response, if any, and whether its connection can be reused."""

    fault: str = ""
    usable: bool = True


def complete_attempt(
    attempt: Attempt, reply: Value, report_names: tuple[str, ...], max_units: float
) -> ResponseOutcome:
    """End an attempt with the reply received for it."""
    if isinstance(reply, ErrorReply):
        error_text = reply.decode("ascii", "replace")
        if error_text == "BUSY" or error_text.startswith("BUSY "):
            attempt.rejected(error_text)
            return ResponseOutcome()
        attempt.failed(error_text)
        return (
            ResponseOutcome()
            if error_text.startswith("ERR failed")
            else ResponseOutcome(f"error {error_text[:80]!r}", False)
        )
    if (
        not isinstance(reply, list)
        or not 1 <= len(reply) <= 3
        or type(reply[0]) not in (bytes, StreamedValue)
    ):
        attempt.failed("malformed answer")
        return ResponseOutcome("answer is not an array that begins with a value", False)
    value = reply[0] if type(reply[0]) is bytes else b""  # a streamed value has been forwarded already
    usage, load_report = ([*reply[1:], None, None])[:2]
    # Cost and load report are parsed separately: if one cannot be parsed, it is ignored, and the other one and the
    # response are still used.
    cost = 0.0
    report: tuple[float, ...] = ()
    fault = ""
    try:
        if isinstance(usage, bytes):
            cost = parse_number(parse_pairs(usage[:MAX_LOAD_REPORT_BYTES]).get("cost", "0"), max_units)
    except ValueError:
        fault = "figures on use unreadable"
    try:
        if isinstance(load_report, bytes):
            report = parse_load_report(load_report, report_names)
    except ValueError:
        fault = "load report unreadable"
    if not isinstance(usage, bytes | None) or not isinstance(load_report, bytes | None):
        fault = "figures on use or load are no strings"
    attempt.succeeded(value, cost, report)
    return ResponseOutcome(fault)


class _PooledConnection:
    """One connection of a pool, used only by its upstream."""

    def __init__(self, upstream: RespUpstream, address: tuple[str, int]) -> None:
        self.upstream = upstream
        self.attempt: Attempt | None = None
        self.last_used_ms = 0.0
        self.last_response_s = -math.inf  # time of the last response, on the event loop's clock
        self.connected = False
        self.response_started = False  # a part of the response has been received
        self.last_received_ms = 0.0  # when the last byte of the response was received
        self.response_stream: ResponseStream | None = None  # set while a long value is being streamed
        # Backpressure: reading is suspended while the response stream is full, until this event is set.
        self.stream_has_capacity = asyncio.Event()
        self.backpressured = False
        self.parser = RespParser(max_items=8, max_streamed_bytes=MAX_STREAMED_BYTES)
        self.stream, connecting = (dial if upstream.lease is None else upstream.lease.dial)(
            address, MAX_READ_BUFFER_BYTES
        )
        on_close(self.stream, lambda: upstream.post(upstream.connection_closed, self))
        self._task = asyncio.ensure_future(self._run(connecting))

    async def _run(self, connecting: asyncio.Future[IOStream]) -> None:
        try:
            await connecting
        except (StreamClosedError, OSError):
            self.stream.close()
            return
        self.upstream.post(self.upstream.connection_opened, self)
        with contextlib.suppress(StreamClosedError):
            while True:
                chunk = READ_CHUNK_BYTES if self.response_stream is None else STREAM_READ_BYTES
                data = await self.stream.read_bytes(chunk, partial=True)
                self.upstream.deliver(self.upstream.data_received, self, data)
                while (
                    self.response_stream is not None
                    and self.response_stream.full
                    and not self.stream.closed()
                ):
                    self.backpressured = True
                    self.stream_has_capacity.clear()
                    await self.stream_has_capacity.wait()
                    self.backpressured, self.last_received_ms = False, self.upstream.now()


class RespUpstream(Actor):
    """One backend: its connection pool and the attempts that wait for a connection."""

    def __init__(
        self,
        address: tuple[str, int],
        loop: ActorScheduler,
        clock: Callable[[], float],
        *,
        report_names: tuple[str, ...],
        connect_ms: float,
        idle_ms: float,
        max_connections: int,
        max_units: float = MAX_REPORTED_VALUE,
        buffer_budget: BufferBudget | None = None,
        lease: UpstreamLease | None = None,
    ) -> None:
        super().__init__(loop)
        # If the cluster enforces the server's connection limit, connections are opened and used only under a lease.
        self.lease = lease
        self._buffer_budget = buffer_budget or BufferBudget(MAX_WINDOW_BYTES)
        self.address = address
        self._max_units = max_units
        self._clock, self._report_names = clock, report_names
        self._connect_ms, self._idle_ms, self._max_connections = (
            connect_ms,
            idle_ms * IDLE_TIMEOUT_FRACTION,
            max_connections,
        )
        self._idle: list[_PooledConnection] = []
        self._connections: dict[_PooledConnection, None] = {}
        self._connecting_count = 0
        self._pending: deque[Attempt] = deque()
        self._reuse_timer_set = False  # a timer is set for the end of a connection's reuse delay
        self._draining = False
        self._fault_logged = False

    def now(self) -> float:
        """Return the clock's time in ms."""
        return self._clock()

    def update_settings(
        self, report_names: tuple[str, ...], connect_ms: float, idle_ms: float, max_units: float
    ) -> None:
        """Apply new settings from the next attempt on."""
        self._report_names, self._max_units = report_names, max_units
        self._connect_ms, self._idle_ms = connect_ms, idle_ms * IDLE_TIMEOUT_FRACTION

    def start(self, attempt: Attempt) -> None:
        """Send an attempt on an idle connection, or on one opened for it."""
        self.post(self._start, attempt)

    def _start(self, attempt: Attempt) -> None:
        if self._draining:
            attempt.connection_lost("server is gone")
            return
        self._pending.append(attempt)
        self._dispatch_pending()
        if attempt in self._pending:
            attempt.on_abort = lambda: self.post(self._connection_wait_expired, attempt)
            self._loop.call_later(
                self._connect_ms / 1000.0, self.deliver, self._connection_wait_expired, attempt
            )
            self._open_connections()

    def _dispatch_pending(self) -> None:
        """Send pending attempts while there are idle connections whose reuse delay is over."""
        while self._pending:
            attempt = self._pending[0]
            if attempt.may_be_written(now := self._clock()):
                if (connection := self._take_idle_connection()) is None:
                    self._schedule_reuse()
                    return
                self._pending.popleft()
                self._send(connection, attempt, now)
            # The client has disconnected or the deadline has passed: no connection is opened or used for the attempt.
            else:
                self._pending.popleft()
                attempt.on_abort = None
                attempt.not_sent("too late to be sent")

    def _take_idle_connection(self) -> _PooledConnection | None:
        """Take the most recently used idle connection that is clean and past its reuse delay; None if there is none.

        A connection that has been idle for so long that its server may be closing it is closed instead.
        """
        if self.lease is not None and not self.lease.is_held():
            return None
        reusable_before_s = self._loop.time() - REUSE_DELAY_S
        used_since_ms = self._clock() - self._idle_ms
        for index in reversed(range(len(self._idle))):
            if self._idle[index].last_response_s <= reusable_before_s:
                connection = self._idle.pop(index)
                if connection.last_used_ms >= used_since_ms and self._is_clean(connection):
                    return connection
                connection.stream.close()
        return None

    def _is_clean(self, connection: _PooledConnection) -> bool:
        """Whether a connection with no attempt in flight is open and has no unread bytes.

        Unread bytes belong to no attempt: a duplicate of the last response would be matched with the next attempt,
        and at end of stream the next attempt would fail as one that may have run.
        """
        unread = self._unread(connection)
        if unread:
            self._log_fault_once("sent an unsolicited response")
        return unread is None and not connection.stream.closed()

    @staticmethod
    def _unread(connection: _PooledConnection) -> bytes | None:
        """Peek at unread bytes in a connection's socket: None if there are none, empty at end of stream."""
        try:
            return connection.stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return None
        except (OSError, AttributeError):  # failed, or closed while the close event is still in the mailbox
            return b""

    def _schedule_reuse(self) -> None:
        """Set a timer to dispatch pending attempts when the first idle connection's reuse delay is over."""
        if self._idle and not self._reuse_timer_set and (self.lease is None or self.lease.is_held()):
            self._reuse_timer_set = True
            wait_s = (
                min(connection.last_response_s for connection in self._idle)
                + REUSE_DELAY_S
                - self._loop.time()
            )
            self._loop.call_later(max(wait_s, 0.0), self.deliver, self._reuse_delay_ended)

    def _reuse_delay_ended(self) -> None:
        self._reuse_timer_set = False
        self._dispatch_pending()

    def _open_connections(self) -> None:
        """Open connections for the pending attempts that the idle connections will not serve, within the bounds.

        The reuse delay of an idle connection is shorter than dialling a new one.
        """
        lease = self.lease
        while (
            self._connecting_count < min(len(self._pending) - len(self._idle), MAX_CONNECTING)
            and len(self._connections) < self._max_connections
            and (lease is None or lease.may_open())
        ):
            try:
                connection = _PooledConnection(self, self.address)
            except OSError as fault:
                self._log_fault_once(f"cannot be dialled: no socket: {fault}")
                self._fail_pending(f"no socket: {fault}", len(self._idle))
                return
            self._connecting_count += 1
            self._connections[connection] = None
            self._loop.call_later(
                self._connect_ms / 1000.0, self.deliver, self._connect_timed_out, connection
            )

    def _connection_wait_expired(self, attempt: Attempt) -> None:
        """Fail an attempt that got no connection in time."""
        if attempt in self._pending:
            self._pending.remove(attempt)
            attempt.on_abort = None
            attempt.connection_lost("no connection in time")

    def _connect_timed_out(self, connection: _PooledConnection) -> None:
        if not connection.connected:
            connection.stream.close()

    def connection_opened(self, connection: _PooledConnection) -> None:
        """Add a new connection to the pool."""
        if connection not in self._connections or connection.connected:
            return
        if not self._is_clean(connection):
            # Treated like a refused connection: dialling again at once could repeat without end.
            connection.stream.close()
            return
        connection.connected = True
        self._connecting_count -= 1
        self._release(connection)
        self._open_connections()  # MAX_CONNECTING allows another dial now

    def _release(self, connection: _PooledConnection) -> None:
        """Return a connection to the pool and dispatch pending attempts; close it if it is surplus."""
        lease = self.lease
        if self._draining or (lease is not None and lease.surplus_count > 0):
            if lease is not None:
                lease.surplus_count -= 1
            connection.stream.close()
            return
        connection.last_used_ms = self._clock()
        self._idle.append(connection)
        self._dispatch_pending()

    def _send(self, connection: _PooledConnection, attempt: Attempt, now: float) -> None:
        connection.response_started = False
        connection.attempt = attempt
        attempt.on_abort = lambda: self.post(self._attempt_abandoned, connection, attempt)
        request = attempt.request
        data = encode_request(request, bool(request.idempotent), attempt.deadline_ms - now)
        attempt.write_started = True
        future = connection.stream.write(data)
        if not future.done():
            future.add_done_callback(lambda done: None if done.exception() else attempt.written())
            if attempt.write_by_ms < attempt.deadline_ms:
                self._loop.call_later(
                    (attempt.write_by_ms - now) / 1000.0,
                    self.deliver,
                    self._write_timed_out,
                    connection,
                    attempt,
                )
        elif future.exception() is None:  # otherwise the connection ended before the write was complete
            attempt.written()

    def _write_timed_out(self, connection: _PooledConnection, attempt: Attempt) -> None:
        """Close a connection whose write has not finished in time.

        The last byte of the request starts the attempt at the backend, so it must not be sent after `write_by_ms`.
        """
        if connection.attempt is attempt and connection.stream.writing():
            connection.stream.close()

    def data_received(self, connection: _PooledConnection, data: bytes) -> None:
        """Handle bytes of a response.

        The first complete value is the response.  If anything follows it, or the response is malformed, the
        connection is closed: later bytes could not be attributed to an attempt.
        """
        if connection not in self._connections:
            return
        attempt, parser = connection.attempt, connection.parser
        if attempt is None or connection.stream.writing():
            # A response to a request that has not been sent completely is not used.  If the connection were reused,
            # the rest of the request would reach a backend that has rejected it, while another attempt may be in
            # flight.
            self._log_fault_once("sent an unsolicited response")
            connection.stream.close()
            return
        values = parser.feed(data)
        connection.last_received_ms = self._clock()
        if parser.stream_length:
            self._forward_stream(connection, attempt)
        if values:
            connection.attempt = attempt.on_abort = connection.response_stream = None
            connection.response_started, connection.last_response_s = False, self._loop.time()
            parser.reset_stream()
            outcome = complete_attempt(attempt, values[0], self._report_names, self._max_units)
            if outcome.fault:
                self._log_fault_once(outcome.fault)
            if len(values) > 1 or not parser.is_idle or parser.fault:
                self._log_fault_once("sent data after its response")
                connection.stream.close()
            elif outcome.usable:
                self._release(connection)
            else:
                connection.stream.close()
        elif parser.fault:
            self._fail_malformed(connection, attempt, f"violated the protocol: {parser.fault}")
        elif not connection.response_started:
            connection.response_started = True
            self._loop.call_later(
                RESPONSE_SILENCE_TIMEOUT_MS / 1000.0,
                self.deliver,
                self._check_response_silence,
                connection,
                attempt,
            )

    def _forward_stream(self, connection: _PooledConnection, attempt: Attempt) -> None:
        """Forward the received pieces of a long value to the response stream."""
        parser = connection.parser
        pieces, parser.stream_pieces = parser.stream_pieces, []
        if connection.response_stream is None:
            if not attempt.request.accepts_stream:
                # The client's protocol has no streamed values.
                parser.fault = parser.fault or "length out of bounds"
                return
            stream = connection.response_stream = ResponseStream(parser.stream_length, self._buffer_budget)
            stream.on_capacity = connection.stream_has_capacity.set
            attempt.response_started(stream)
        for piece in pieces:
            connection.response_stream.append(piece)
        if parser.stream_complete:
            connection.response_stream.finish()

    def _check_response_silence(self, connection: _PooledConnection, attempt: Attempt) -> None:
        """End an attempt if no byte of its response has been received for too long after the response started."""
        if connection.response_started and connection.attempt is attempt:
            timeout_ms = (
                RESPONSE_SILENCE_TIMEOUT_MS
                if connection.response_stream is None
                else STREAM_SILENCE_TIMEOUT_MS
            )
            remaining_ms = connection.last_received_ms + timeout_ms - self._clock()
            if connection.backpressured or remaining_ms > 0:
                wait_s = (timeout_ms if connection.backpressured else remaining_ms) / 1000.0
                self._loop.call_later(wait_s, self.deliver, self._check_response_silence, connection, attempt)
            else:
                self._loop.call_soon(
                    self.deliver, self._response_timed_out, connection, attempt, connection.last_received_ms
                )

    def _response_timed_out(
        self, connection: _PooledConnection, attempt: Attempt, last_received_ms: float
    ) -> None:
        """End the attempt unless bytes have been received meanwhile.

        A delayed event loop runs the timer before it reads bytes that arrived in time, so this runs one iteration
        later and also peeks at the socket.
        """
        if connection.response_started and connection.attempt is attempt:
            if connection.last_received_ms != last_received_ms or self._unread(connection):
                self._loop.call_later(
                    RESPONSE_SILENCE_TIMEOUT_MS / 1000.0,
                    self.deliver,
                    self._check_response_silence,
                    connection,
                    attempt,
                )
            else:
                self._fail_malformed(connection, attempt, "sent an incomplete response")

    def _fail_malformed(self, connection: _PooledConnection, attempt: Attempt, text: str) -> None:
        """End an attempt whose response cannot be parsed; it may have run.  Closes the connection."""
        self._log_fault_once(text)
        connection.attempt = attempt.on_abort = None
        self._finish_incomplete(connection, attempt, lambda: attempt.failed("malformed answer"))
        connection.stream.close()

    @staticmethod
    def _finish_incomplete(connection: _PooledConnection, attempt: Attempt, end: Callable[[], None]) -> None:
        """End an attempt whose response is incomplete: it succeeds if its streamed value is complete, else `end()`."""
        stream, connection.response_stream = connection.response_stream, None
        if stream is not None and stream.complete:
            attempt.succeeded(b"")
            return
        if stream is not None:
            stream.abort()
        end()

    def _attempt_abandoned(self, connection: _PooledConnection, attempt: Attempt) -> None:
        """Close the connection of an abandoned attempt, which cancels the attempt at the backend."""
        if connection.attempt is attempt:
            connection.attempt = connection.response_stream = None
            connection.stream_has_capacity.set()
            connection.stream.close()

    def connection_closed(self, connection: _PooledConnection) -> None:
        """Remove a closed connection and end its attempt, if one was in flight."""
        if connection not in self._connections:
            return
        del self._connections[connection]
        if connection in self._idle:
            self._idle.remove(connection)
        attempt, connection.attempt = connection.attempt, None
        connection.stream_has_capacity.set()
        if attempt is not None:
            attempt.on_abort = None
            detail = str(connection.stream.error or "connection ended")
            self._finish_incomplete(connection, attempt, lambda: attempt.connection_lost(detail))
        if not connection.connected:
            self._connecting_count -= 1
            # Refused or timed out: pending attempts fail at once unless another connection is being opened.
            if not self._connecting_count:
                self._fail_pending(str(connection.stream.error or "no connection in time"), len(self._idle))
            return  # each new dial could be refused as well, without end, and no attempt would ever fail
        self._open_connections()

    def _fail_pending(self, detail: str, keep: int = 0) -> None:
        """Fail pending attempts except the oldest `keep`, which idle connections will serve."""
        while len(self._pending) > keep:
            attempt = self._pending.pop()
            attempt.on_abort = None
            attempt.connection_lost(detail)

    def _log_fault_once(self, text: str) -> None:
        """Log the first fault of this backend; further ones are not logged."""
        if not self._fault_logged:
            self._fault_logged = True
            log.warning("server %s:%d %s", *self.address, text)

    def sweep(self) -> None:
        """Close connections that have been idle for too long; called periodically."""
        self.post(self._sweep)

    def _sweep(self) -> None:
        used_before_ms = self._clock() - self._idle_ms
        for connection in [idle for idle in self._idle if idle.last_used_ms < used_before_ms]:
            self._idle.remove(connection)
            connection.stream.close()

    @property
    def connections_needed(self) -> int:
        """Connections in use, plus pending attempts, which need one each (see LeasedUpstream)."""
        return len(self._connections) - len(self._idle) - self._connecting_count + len(self._pending)

    def close_connections(self, count: int, include_in_use: bool) -> None:
        """Close up to `count` connections, idle ones first, others only if `include_in_use` (see LeasedUpstream)."""
        self.post(self._close_connections, count, include_in_use)

    def _close_connections(self, count: int, include_in_use: bool) -> None:
        in_use = [used for used in self._connections if used not in self._idle] if include_in_use else []
        for connection in [*self._idle, *in_use][:count]:  # idle connections first, the longest idle foremost
            if connection in self._idle:
                self._idle.remove(connection)
            if self.lease is not None:
                self.lease.surplus_count -= 1
            connection.stream.close()

    def capacity_available(self) -> None:
        """Dispatch pending attempts and open connections: the lease allows more (see LeasedUpstream)."""
        self.post(self._capacity_available)

    def _capacity_available(self) -> None:
        self._dispatch_pending()  # idle connections may be used again
        self._open_connections()

    def drain(self) -> None:
        """Send no further attempts; attempts in flight still get their responses."""
        self.post(self._drain_now)

    def _drain_now(self) -> None:
        self._draining = True
        self._fail_pending("server is draining")
        for connection in list(self._connections):
            if connection.attempt is None:
                connection.stream.close()

    def reopen(self) -> None:
        """Accept attempts again: the backend is back in the endpoint list."""
        self.post(self._reopen)

    def _reopen(self) -> None:
        self._draining = False
