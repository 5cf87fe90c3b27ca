"""A backend on RESP2: a pool of connections, each of which carries one attempt at a time.

Written one behind another, attempts would be answered in order: a slow one would hold up the rest, and to
abandon one, which takes closing its connection, would cost the others.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections import deque
from collections.abc import Callable

from tornado.iostream import IOStream, StreamClosedError

from badgeryoke.actor import Actor, Turns, new_socket, pump
from badgeryoke.execution import Execution, Query
from badgeryoke.resp.parser import ErrorReply, Parser, Value, command, pairs

log = logging.getLogger("badgeryoke.resp.server")

IDLE_PART = 0.5  # of the settings' idle time a connection is kept: the backend may close it sooner
MOST_OPENING = 8  # connections of one backend on their way up; further attempts wait for these or for others


def encode(query: Query, safe: bool, left_ms: float) -> bytes:
    """A query as a client would write it, with the time that this gateway will wait."""
    fields = [f"c={query.cls}", f"t={query.plan}", f"d={max(math.ceil(left_ms), 1)}"]
    if query.key:
        fields.append(f"k={query.key}")
    if query.retry:
        fields.append("r=1")
    fields.append(f"units={query.units:.7g},spread={query.spread},first={query.first}")
    words = [b"SVC.QUERY" if safe else b"SVC.SUBMIT", b"%016x" % query.customer, query.id.encode(),
             ",".join(fields).encode()]
    if query.body is not None:
        words.append(query.body)
    return command(words)


def read_report(text: bytes, names: tuple[str, ...]) -> tuple[float, ...]:
    """The load report in the order of the settings' fields; empty where a field is missing."""
    given = pairs(text)
    return tuple(float(given[name]) for name in names) if all(name in given for name in names) else ()


def settle(execution: Execution, reply: Value, names: tuple[str, ...]) -> str | None:
    """End an attempt by what came back for it; the result says what was malformed."""
    if isinstance(reply, ErrorReply):
        words = reply.decode("ascii", "replace")
        if words == "BUSY" or words.startswith("BUSY "):
            execution.turned_away(words)
            return None
        execution.error(words)
        return None if words.startswith("ERR failed") else f"error {words[:80]!r}"
    if not isinstance(reply, list) or not 1 <= len(reply) <= 3 or type(reply[0]) is not bytes:
        execution.error("malformed answer")
        return "answer is not an array that begins with a value"
    use, load = ([*reply[1:], None, None])[:2]
    cost = 0.0
    report: tuple[float, ...] = ()
    fault: str | None = None
    try:
        if isinstance(use, bytes):
            cost = float(pairs(use).get("cost", "0"))
        if isinstance(load, bytes):
            report = read_report(load, names)
    except (ValueError, OverflowError):
        fault = "figures on use or load unreadable"
    if not (math.isfinite(cost) and cost >= 0 and all(map(math.isfinite, report))):
        cost, report, fault = 0.0, (), "figures on use or load out of range"
    execution.served(reply[0], cost, report)
    return fault


class _Connection:
    """One connection of a pool.  Only its server link touches it."""

    def __init__(self, owner: RespServerLink, address: tuple[str, int]) -> None:
        self.owner = owner
        self.execution: Execution | None = None
        self.used_at = 0.0
        self.up = False
        self.parser = Parser(max_items=8)
        self.stream = IOStream(new_socket(address), max_buffer_size=256 * 1024)
        self.stream.set_close_callback(lambda: owner.post(owner.closed, self))
        self._task = asyncio.ensure_future(self._live(address))

    async def _live(self, address: tuple[str, int]) -> None:
        try:
            await self.stream.connect(address)
        except (StreamClosedError, OSError):
            self.stream.close()
            return
        self.owner.post(self.owner.opened, self)
        await pump(self.stream, lambda data: self.owner.deliver(self.owner.arrived, self, data))


class RespServerLink(Actor):
    """One backend."""

    def __init__(self, address: tuple[str, int], loop: Turns, clock: Callable[[], float], *,
                 safe: frozenset[str], report_names: tuple[str, ...], connect_ms: float, idle_ms: float,
                 most: int) -> None:
        super().__init__(loop)
        self.address = address
        self._clock, self._safe, self._names = clock, safe, report_names
        self._connect_ms, self._idle_ms, self._most = connect_ms, idle_ms * IDLE_PART, most
        self._idle: list[_Connection] = []
        self._all: dict[_Connection, None] = {}
        self._opening = 0
        self._waiting: deque[Execution] = deque()
        self._closed = False
        self._complained = False

    def start(self, execution: Execution) -> None:
        """Carry out an attempt on an idle connection, or on one opened for it."""
        self.post(self._start, execution)

    def _start(self, execution: Execution) -> None:
        if self._closed:
            execution.lost("server is gone")
            return
        if self._idle:
            self._write(self._idle.pop(), execution)
            return
        self._waiting.append(execution)
        execution.on_abandon = lambda: self.post(self._unmet, execution)
        self._loop.call_later(self._connect_ms / 1000.0, self.deliver, self._unmet, execution)
        self._open()

    def _open(self) -> None:
        """As many connections as there are attempts waiting, within the bounds."""
        while self._opening < min(len(self._waiting), MOST_OPENING) and len(self._all) < self._most:
            try:
                connection = _Connection(self, self.address)
            except OSError as fault:
                self._complain(f"no socket: {fault}")
                self._fail_waiting(f"no socket: {fault}")
                return
            self._opening += 1
            self._all[connection] = None
            self._loop.call_later(self._connect_ms / 1000.0, self.deliver, self._too_late, connection)

    def _unmet(self, execution: Execution) -> None:
        """No connection in time."""
        if execution in self._waiting:
            self._waiting.remove(execution)
            execution.on_abandon = None
            execution.lost("no connection in time")

    def _too_late(self, connection: _Connection) -> None:
        if not connection.up:
            connection.stream.close()

    def opened(self, connection: _Connection) -> None:
        if connection not in self._all or connection.up:
            return
        connection.up = True
        self._opening -= 1
        self._free(connection)

    def _free(self, connection: _Connection) -> None:
        """Put a connection to the next use: an attempt that waits, or the pool."""
        if self._closed:
            connection.stream.close()
            return
        while self._waiting:
            execution = self._waiting.popleft()
            if not execution.ended:
                self._write(connection, execution)
                return
        connection.used_at = self._clock()
        self._idle.append(connection)

    def _write(self, connection: _Connection, execution: Execution) -> None:
        now = self._clock()
        if connection.stream.closed():
            self._start(execution)  # its end is in the mailbox
            return
        if not execution.may_be_written(now):
            execution.moot("too late to be sent")
            self._free(connection)
            return
        connection.execution = execution
        execution.on_abandon = lambda: self.post(self._abandoned, connection, execution)
        query = execution.query
        data = encode(query, query.cls in self._safe, execution.deadline_ms - now)
        execution.begun = True
        future = connection.stream.write(data)
        if not connection.stream.writing():
            execution.written()
        else:
            future.add_done_callback(lambda done: None if done.exception() else execution.written())

    def arrived(self, connection: _Connection, data: bytes) -> None:
        """Bytes of an answer."""
        execution = connection.execution
        values = connection.parser.feed(data)
        if connection.parser.fault:
            self._complain(f"broke the protocol: {connection.parser.fault}")
            if execution is not None:
                execution.error("malformed answer")
            connection.stream.close()
            return
        if not values:
            return
        if execution is None or len(values) > 1 or not connection.parser.idle:
            self._complain("answered what nobody asked")
            connection.stream.close()
            return
        connection.execution = execution.on_abandon = None
        if fault_text := settle(execution, values[0], self._names):
            self._complain(fault_text)
        self._free(connection)

    def _abandoned(self, connection: _Connection, execution: Execution) -> None:
        """Nobody waits any more: closing the connection ends the attempt at the backend."""
        if connection.execution is execution:
            connection.execution = None
            connection.stream.close()

    def closed(self, connection: _Connection) -> None:
        if connection not in self._all:
            return
        del self._all[connection]
        if connection in self._idle:
            self._idle.remove(connection)
        execution, connection.execution = connection.execution, None
        if execution is not None:
            execution.on_abandon = None
            execution.lost(str(connection.stream.error or "connection ended"))
        if not connection.up:
            self._opening -= 1
            # Refused or never up: whoever waits is told at once, unless another connection is on its way.
            if not self._opening:
                self._fail_waiting(str(connection.stream.error or "no connection in time"))
                return
        self._open()

    def _fail_waiting(self, detail: str) -> None:
        waiting, self._waiting = self._waiting, deque()
        for execution in waiting:
            execution.on_abandon = None
            execution.lost(detail)

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
