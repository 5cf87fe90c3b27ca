"""A backend on RESP2: a pool of connections, each of which carries one attempt at a time.

Written one behind another, attempts would be answered in order: a slow one would hold up the rest, and to
abandon one, which takes closing its connection, would cost the others.
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
    MAX_LONG,
    ErrorReply,
    Passed,
    RespParser,
    Value,
    command,
    number,
    pairs,
)
from badgeryoke.gateway.response_stream import MAX_WINDOW_BYTES, BufferBudget, ResponseStream

if TYPE_CHECKING:
    from badgeryoke.gateway.cluster.upstream_lease import UpstreamLease

log = logging.getLogger(__name__)

IDLE_PART = 0.5  # of the settings' idle time a connection is kept: the backend may close it sooner
# A connection is left alone for so long after an answer: its end may follow, or a second answer, which
# nothing on the wire tells from the next attempt's.
REST_S = 0.01
BEGUN_MS = 50.0  # without a byte more of an answer that has begun: a length that does not fit, or no end
STALLED_MS = 3000.0  # the same of a long value, whose length fits until it is shown that it does not
RELAY_CHUNK = 16 * 1024  # read at once of a long value
MOST_REPORT, MOST_FIGURE = 256, 1e9  # of a report: its length, and each of its figures
MOST_OPENING = 8  # connections of one backend on their way up; further attempts wait for these or for others


def encode(query: Request, safe: bool, left_ms: float) -> bytes:
    """A query as a client would write it, with the time that this gateway will wait."""
    fields = [f"c={query.request_class}", f"t={query.plan}", f"d={max(math.ceil(left_ms), 1)}"]
    if query.idempotency_key:
        fields.append(f"k={query.idempotency_key}")
    if query.retry:
        fields.append("r=1")
    fields.append(f"units={query.units:.7g},spread={query.gateway_set_size},first={query.first_gateway}")
    words = [
        b"SVC.QUERY" if safe else b"SVC.SUBMIT",
        b"%016x" % query.customer,
        query.id.encode(),
        ",".join(fields).encode(),
    ]
    if query.body is not None:
        words.append(query.body)
    return command(words)


def read_report(text: bytes, names: tuple[str, ...]) -> tuple[float, ...]:
    """The load report in the order of the settings' fields; empty where a field is missing."""
    given = pairs(text[:MOST_REPORT])
    if not all(name in given for name in names):
        return ()
    return tuple(number(given[name], MOST_FIGURE) for name in names)


@dataclass(frozen=True, slots=True)
class Settled:
    """What an answer leaves behind: a complaint, and whether its connection can be used any further."""

    complaint: str = ""
    usable: bool = True


def settle(execution: Attempt, reply: Value, names: tuple[str, ...], most_units: float) -> Settled:
    """End an attempt by what came back for it."""
    if isinstance(reply, ErrorReply):
        words = reply.decode("ascii", "replace")
        if words == "BUSY" or words.startswith("BUSY "):
            execution.rejected(words)
            return Settled()
        execution.failed(words)
        return Settled() if words.startswith("ERR failed") else Settled(f"error {words[:80]!r}", False)
    if not isinstance(reply, list) or not 1 <= len(reply) <= 3 or type(reply[0]) not in (bytes, Passed):
        execution.failed("malformed answer")
        return Settled("answer is not an array that begins with a value", False)
    value = reply[0] if type(reply[0]) is bytes else b""  # a long one has been passed on
    use, load = ([*reply[1:], None, None])[:2]
    # Each figure by itself: one that cannot be read is none, and costs neither the other nor the answer.
    cost = 0.0
    report: tuple[float, ...] = ()
    complaint = ""
    try:
        if isinstance(use, bytes):
            cost = number(pairs(use[:MOST_REPORT]).get("cost", "0"), most_units)
    except ValueError:
        complaint = "figures on use unreadable"
    try:
        if isinstance(load, bytes):
            report = read_report(load, names)
    except ValueError:
        complaint = "load report unreadable"
    if not isinstance(use, bytes | None) or not isinstance(load, bytes | None):
        complaint = "figures on use or load are no strings"
    execution.succeeded(value, cost, report)
    return Settled(complaint)


class _Connection:
    """One connection of a pool.  Only its server link touches it."""

    def __init__(self, owner: RespUpstream, address: tuple[str, int]) -> None:
        self.owner = owner
        self.execution: Attempt | None = None
        self.used_at = 0.0
        self.answered_at = -math.inf  # on the loop's clock, s
        self.up = False
        self.begun = False  # an answer has come in part
        self.heard_at = 0.0  # when a byte of it came last
        self.relay: ResponseStream | None = None  # a long value is on its way
        self.room = asyncio.Event()  # the relay takes more; while it does not, nothing is read
        self.paused = False
        self.parser = RespParser(max_items=8, max_long=MAX_LONG)
        self.stream, coming_up = (dial if owner.lease is None else owner.lease.dial)(address, 256 * 1024)
        on_close(self.stream, lambda: owner.post(owner.closed, self))
        self._task = asyncio.ensure_future(self._live(coming_up))

    async def _live(self, coming_up: asyncio.Future[IOStream]) -> None:
        try:
            await coming_up
        except (StreamClosedError, OSError):
            self.stream.close()
            return
        self.owner.post(self.owner.opened, self)
        with contextlib.suppress(StreamClosedError):
            while True:
                chunk = READ_CHUNK_BYTES if self.relay is None else RELAY_CHUNK
                data = await self.stream.read_bytes(chunk, partial=True)
                self.owner.deliver(self.owner.arrived, self, data)
                while self.relay is not None and self.relay.full and not self.stream.closed():
                    self.paused = True
                    self.room.clear()
                    await self.room.wait()
                    self.paused, self.heard_at = False, self.owner.now()


class RespUpstream(Actor):
    """One backend."""

    def __init__(
        self,
        address: tuple[str, int],
        loop: ActorScheduler,
        clock: Callable[[], float],
        *,
        report_names: tuple[str, ...],
        connect_ms: float,
        idle_ms: float,
        most: int,
        most_units: float = MOST_FIGURE,
        room: BufferBudget | None = None,
        lease: UpstreamLease | None = None,
    ) -> None:
        super().__init__(loop)
        # where the fleet keeps the server's limit: connections are opened and used under it alone
        self.lease = lease
        self._room = room or BufferBudget(MAX_WINDOW_BYTES)
        self.address = address
        self._most_units = most_units
        self._clock, self._names = clock, report_names
        self._connect_ms, self._idle_ms, self._most = connect_ms, idle_ms * IDLE_PART, most
        self._idle: list[_Connection] = []
        self._all: dict[_Connection, None] = {}
        self._opening = 0
        self._waiting: deque[Attempt] = deque()
        self._resting = False  # a timer is set for the end of a connection's rest
        self._closed = False
        self._complained = False

    def now(self) -> float:
        """The clock, ms."""
        return self._clock()

    def retune(
        self, report_names: tuple[str, ...], connect_ms: float, idle_ms: float, most_units: float
    ) -> None:
        """Go by new settings from the next attempt on."""
        self._names, self._most_units = report_names, most_units
        self._connect_ms, self._idle_ms = connect_ms, idle_ms * IDLE_PART

    def start(self, execution: Attempt) -> None:
        """Carry out an attempt on an idle connection, or on one opened for it."""
        self.post(self._start, execution)

    def _start(self, execution: Attempt) -> None:
        if self._closed:
            execution.connection_lost("server is gone")
            return
        self._waiting.append(execution)
        self._serve()
        if execution in self._waiting:
            execution.on_abort = lambda: self.post(self._unmet, execution)
            self._loop.call_later(self._connect_ms / 1000.0, self.deliver, self._unmet, execution)
            self._open()

    def _serve(self) -> None:
        """Write the attempts that wait, as far as connections are at rest."""
        while self._waiting:
            execution = self._waiting[0]
            if execution.may_be_written(now := self._clock()):
                if (connection := self._rested()) is None:
                    self._await_rest()
                    return
                self._waiting.popleft()
                self._write(connection, execution, now)
            # its client has left, or its time is up: nothing is opened for it, and no connection is used
            else:
                self._waiting.popleft()
                execution.on_abort = None
                execution.not_sent("too late to be sent")

    def _rested(self) -> _Connection | None:
        """An idle connection that is sound and has rested: the last used of them, unless its server may be
        closing even that."""
        if self.lease is not None and not self.lease.is_held():
            return None
        before, since = self._loop.time() - REST_S, self._clock() - self._idle_ms
        for place in reversed(range(len(self._idle))):
            if self._idle[place].answered_at <= before:
                connection = self._idle.pop(place)
                if connection.used_at >= since and self._sound(connection):
                    return connection
                connection.stream.close()
        return None

    def _sound(self, connection: _Connection) -> bool:
        """Whether a connection that nothing is out on is open, with nothing unread.

        What lies unread in one belongs to no attempt: a second copy of the last answer would be taken for the
        next one, and at its end the attempt would be lost though it may have run.
        """
        unread = self._unread(connection)
        if unread:
            self._complain("answered what nobody asked")
        return unread is None and not connection.stream.closed()

    @staticmethod
    def _unread(connection: _Connection) -> bytes | None:
        """What lies unread in a connection's socket; None where nothing does, empty at its end."""
        try:
            return connection.stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return None
        except (OSError, AttributeError):  # broken, or closed with its end in the mailbox
            return b""

    def _await_rest(self) -> None:
        """Attempts wait: look again when the first of the idle connections has rested."""
        if self._idle and not self._resting and (self.lease is None or self.lease.is_held()):
            self._resting = True
            wait_s = min(one.answered_at for one in self._idle) + REST_S - self._loop.time()
            self._loop.call_later(max(wait_s, 0.0), self.deliver, self._has_rested)

    def _has_rested(self) -> None:
        self._resting = False
        self._serve()

    def _open(self) -> None:
        """As many connections as there are attempts waiting beyond those that will soon have rested,
        within the bounds: a new one costs more time than the rest of an old one."""
        lease = self.lease
        while (
            self._opening < min(len(self._waiting) - len(self._idle), MOST_OPENING)
            and len(self._all) < self._most
            and (lease is None or lease.may_open())
        ):
            try:
                connection = _Connection(self, self.address)
            except OSError as fault:
                self._complain(f"no socket: {fault}")
                self._fail_waiting(f"no socket: {fault}", len(self._idle))
                return
            self._opening += 1
            self._all[connection] = None
            self._loop.call_later(self._connect_ms / 1000.0, self.deliver, self._too_late, connection)

    def _unmet(self, execution: Attempt) -> None:
        """No connection in time."""
        if execution in self._waiting:
            self._waiting.remove(execution)
            execution.on_abort = None
            execution.connection_lost("no connection in time")

    def _too_late(self, connection: _Connection) -> None:
        if not connection.up:
            connection.stream.close()

    def opened(self, connection: _Connection) -> None:
        if connection not in self._all or connection.up:
            return
        if not self._sound(connection):
            # as one that was refused: dialled again at once, it would go round and round
            connection.stream.close()
            return
        connection.up = True
        self._opening -= 1
        self._free(connection)
        self._open()  # one more of those that may be on their way at once

    def _free(self, connection: _Connection) -> None:
        """Put a connection to the next use: an attempt that waits, or the pool."""
        lease = self.lease
        if self._closed or (lease is not None and lease.surplus_count > 0):
            if lease is not None:
                lease.surplus_count -= 1
            connection.stream.close()
            return
        connection.used_at = self._clock()
        self._idle.append(connection)
        self._serve()

    def _write(self, connection: _Connection, execution: Attempt, now: float) -> None:
        connection.begun = False
        connection.execution = execution
        execution.on_abort = lambda: self.post(self._abandoned, connection, execution)
        query = execution.request
        data = encode(query, bool(query.idempotent), execution.deadline_ms - now)
        execution.write_started = True
        future = connection.stream.write(data)
        if not future.done():
            future.add_done_callback(lambda done: None if done.exception() else execution.written())
            if execution.write_by_ms < execution.deadline_ms:
                self._loop.call_later(
                    (execution.write_by_ms - now) / 1000.0, self.deliver, self._stuck, connection, execution
                )
        elif future.exception() is None:  # else its connection had ended, and nothing is out whole
            execution.written()

    def _stuck(self, connection: _Connection, execution: Attempt) -> None:
        """The last byte must not go out from now on: it is what begins the attempt at the backend."""
        if connection.execution is execution and connection.stream.writing():
            connection.stream.close()

    def arrived(self, connection: _Connection, data: bytes) -> None:
        """Bytes of an answer.  The first whole value is the attempt's; with anything behind it, and where the
        answer is spoilt, the connection is of no more use: what comes on it belongs to nobody knows what."""
        if connection not in self._all:
            return
        execution, parser = connection.execution, connection.parser
        if execution is None or connection.stream.writing():
            # What is not out whole has no answer.  Used on, the connection would take the rest of it to a
            # backend that has turned it away, and another attempt may be out then.
            self._complain("answered what nobody asked")
            connection.stream.close()
            return
        values = parser.feed(data)
        connection.heard_at = self._clock()
        if parser.long:
            self._pass_on(connection, execution)
        if values:
            connection.execution = execution.on_abort = connection.relay = None
            connection.begun, connection.answered_at = False, self._loop.time()
            parser.forget_long()
            settled = settle(execution, values[0], self._names, self._most_units)
            if settled.complaint:
                self._complain(settled.complaint)
            if len(values) > 1 or not parser.idle or parser.fault:
                self._complain("brought more than its answer")
                connection.stream.close()
            elif settled.usable:
                self._free(connection)
            else:
                connection.stream.close()
        elif parser.fault:
            self._spoilt(connection, execution, f"broke the protocol: {parser.fault}")
        elif not connection.begun:
            connection.begun = True
            self._loop.call_later(BEGUN_MS / 1000.0, self.deliver, self._unended, connection, execution)

    def _pass_on(self, connection: _Connection, execution: Attempt) -> None:
        """What has come of a long value."""
        parser = connection.parser
        pieces, parser.pieces = parser.pieces, []
        if connection.relay is None:
            if not execution.request.accepts_stream:
                parser.fault = parser.fault or "length out of bounds"  # nobody there can take it in pieces
                return
            relay = connection.relay = ResponseStream(parser.long, self._room)
            relay.on_capacity = connection.room.set
            execution.response_started(relay)
        for piece in pieces:
            connection.relay.append(piece)
        if parser.long_whole:
            connection.relay.finish()

    def _unended(self, connection: _Connection, execution: Attempt) -> None:
        """The rest of an answer has not come: a length that does not fit, or a value that has no end."""
        if connection.begun and connection.execution is execution:
            patience = BEGUN_MS if connection.relay is None else STALLED_MS
            left = connection.heard_at + patience - self._clock()
            if connection.paused or left > 0:
                wait_s = (patience if connection.paused else left) / 1000.0
                self._loop.call_later(wait_s, self.deliver, self._unended, connection, execution)
            else:
                self._loop.call_soon(
                    self.deliver, self._never_ended, connection, execution, connection.heard_at
                )

    def _never_ended(self, connection: _Connection, execution: Attempt, heard_at: float) -> None:
        """A late event loop comes to the timer first, and only then to what was there in time."""
        if connection.begun and connection.execution is execution:
            if connection.heard_at != heard_at or self._unread(connection):
                self._loop.call_later(BEGUN_MS / 1000.0, self.deliver, self._unended, connection, execution)
            else:
                self._spoilt(connection, execution, "began an answer and did not end it")

    def _spoilt(self, connection: _Connection, execution: Attempt, text: str) -> None:
        """An answer that cannot be read: it may have run, and the connection is done with."""
        self._complain(text)
        connection.execution = execution.on_abort = None
        self._broken_off(connection, execution, lambda: execution.failed("malformed answer"))
        connection.stream.close()

    @staticmethod
    def _broken_off(connection: _Connection, execution: Attempt, end: Callable[[], None]) -> None:
        """An attempt ends without the end of its answer; one whose long value came whole is served."""
        relay, connection.relay = connection.relay, None
        if relay is not None and relay.complete:
            execution.succeeded(b"")
            return
        if relay is not None:
            relay.abort()
        end()

    def _abandoned(self, connection: _Connection, execution: Attempt) -> None:
        """Nobody waits any more: closing the connection ends the attempt at the backend."""
        if connection.execution is execution:
            connection.execution = connection.relay = None
            connection.room.set()
            connection.stream.close()

    def closed(self, connection: _Connection) -> None:
        if connection not in self._all:
            return
        del self._all[connection]
        if connection in self._idle:
            self._idle.remove(connection)
        execution, connection.execution = connection.execution, None
        connection.room.set()
        if execution is not None:
            execution.on_abort = None
            detail = str(connection.stream.error or "connection ended")
            self._broken_off(connection, execution, lambda: execution.connection_lost(detail))
        if not connection.up:
            self._opening -= 1
            # Refused or never up: whoever waits is told at once, unless another connection is on its way.
            if not self._opening:
                self._fail_waiting(str(connection.stream.error or "no connection in time"), len(self._idle))
            return  # dialled anew for each, they would be refused without end, and nobody be told
        self._open()

    def _fail_waiting(self, detail: str, but: int = 0) -> None:
        """No connection will come for the attempts that wait, but for as many as there are resting ones."""
        while len(self._waiting) > but:
            execution = self._waiting.pop()
            execution.on_abort = None
            execution.connection_lost(detail)

    def _complain(self, text: str) -> None:
        """Log a backend's fault once."""
        if not self._complained:
            self._complained = True
            log.warning("server %s:%d %s", *self.address, text)

    def sweep(self) -> None:
        """Close what has been idle for long; called now and then."""
        self.post(self._sweep)

    def _sweep(self) -> None:
        before = self._clock() - self._idle_ms
        for connection in [c for c in self._idle if c.used_at < before]:
            self._idle.remove(connection)
            connection.stream.close()

    @property
    def connections_needed(self) -> int:
        """See badgeryoke.gateway.cluster.upstream_lease.LeasedUpstream."""
        return len(self._all) - len(self._idle) - self._opening + len(self._waiting)

    def close_connections(self, count: int, include_in_use: bool) -> None:
        """See badgeryoke.gateway.cluster.upstream_lease.LeasedUpstream."""
        self.post(self._shrink, count, include_in_use)

    def _shrink(self, many: int, all_: bool) -> None:
        busy = [one for one in self._all if one not in self._idle] if all_ else []
        for connection in [*self._idle, *busy][:many]:  # the longest idle first
            if connection in self._idle:
                self._idle.remove(connection)
            if self.lease is not None:
                self.lease.surplus_count -= 1
            connection.stream.close()

    def capacity_available(self) -> None:
        """See badgeryoke.gateway.cluster.upstream_lease.LeasedUpstream."""
        self.post(self._grown)

    def _grown(self) -> None:
        self._serve()  # idle connections may be used again
        self._open()

    def drain(self) -> None:
        """The backend wants nothing new: what is written is waited for, nothing more is written."""
        self.post(self._drain_now)

    def _drain_now(self) -> None:
        self._closed = True
        self._fail_waiting("server is draining")
        for connection in list(self._all):
            if connection.execution is None:
                connection.stream.close()

    def reopen(self) -> None:
        """The backend is back in the list."""
        self.post(self._reopen)

    def _reopen(self) -> None:
        self._closed = False
