"""The link to the counter: calls one behind another on one connection, answers matched in order."""

from __future__ import annotations

import asyncio
import logging
import math
import re
import socket
from collections import deque
from collections.abc import Callable

from tornado.iostream import IOStream, StreamClosedError

from badgeryoke.decisions.interface import CounterReply, Verdict
from badgeryoke.gateway.actor import Actor, ActorScheduler
from badgeryoke.gateway.connecting import dial, on_close, pump
from badgeryoke.gateway.resp.codec import ErrorReply, RespParser, Value, command

log = logging.getLogger(__name__)

FROZEN_TIMES = 20.0  # time-outs without any answer after which the connection is taken for dead
MOST_CALLS = 512  # calls without an answer; more are turned away here
BACK_OFF_S = (0.05, 1.0)  # before the next connection, once one was of no use: at first and at most
CONNECT_S = 0.5
LIFE_MS = (1.0, 60_000.0)
TOTAL = re.compile(rb"[+-]?(\d+\.?\d*|\.\d+)([eE][+-]?\d{1,3})?")
PROVES_NOTHING_ADDED = re.compile(rb"(BUSY|ERR)( |$)")


class _Call:
    __slots__ = ("at", "data", "done", "name")

    def __init__(self, name: int, data: bytes, at: float, done: Callable[[CounterReply], None]) -> None:
        self.name, self.data, self.at = name, data, at
        # None: its time is up, its answer is only matched
        self.done: Callable[[CounterReply], None] | None = done


def encode(name: int, units: float, life_ms: float) -> bytes:
    """One call."""
    amount = f"{units:.6f}".rstrip("0").rstrip(".")
    life = min(max(life_ms, LIFE_MS[0]), LIFE_MS[1])
    return command((b"INCRTTL", b"%d" % name, amount.encode(), b"%d" % round(life)))


def read_total(reply: Value) -> float | None:
    """The total in an answer; None where it is no total."""
    if type(reply) is not bytes or len(reply) > 64 or not TOTAL.fullmatch(reply):
        return None
    total = float(reply)
    return total if math.isfinite(total) else None


class _Connection:
    """One connection and the calls given to it, oldest first.  Only its link touches it."""

    def __init__(self, owner: QuotaCounterClient, address: tuple[str, int]) -> None:
        self.address = address
        self.calls: deque[_Call] = deque()  # given to the stream: some of them may be out
        self.parser = RespParser(max_items=1, max_depth=1, max_line=256)
        self.up = self.of_use = False  # connected; has brought an answer
        self.heard = self.opened_at = 0.0
        self.stream, coming_up = dial(address, 256 * 1024)
        on_close(self.stream, lambda: owner.post(owner.closed, self))
        self._task = asyncio.ensure_future(self._live(owner, coming_up))

    async def _live(self, owner: QuotaCounterClient, coming_up: asyncio.Future[IOStream]) -> None:
        try:
            await coming_up
        except (StreamClosedError, OSError):
            self.stream.close()
            return
        owner.deliver(owner.opened, self)
        await pump(self.stream, lambda data: owner.deliver(owner.arrived, self, data))

    def ended(self) -> bool:
        """Whether the counter has closed it, also where the event loop has not told of that yet; or has
        written what nobody asked for, which would be taken for an answer.

        A counter closes what was idle, and a call written into that close would count as one that may have
        been added, though it never was: its units would be told to nobody.
        """
        if self.stream.closed():
            return True
        try:
            return not self.stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) or not self.calls
        except BlockingIOError:
            return False
        except OSError:
            return True


class QuotaCounterClient(Actor):
    """Owns the connections: the one that calls are written to, and one on its way up where that is lost or
    the counter has moved.  A call made while there is neither fails at once, and nothing was added."""

    def __init__(
        self, address: tuple[str, int], timeout_ms: float, loop: ActorScheduler, clock: Callable[[], float]
    ) -> None:
        super().__init__(loop)
        self._address, self._timeout_ms, self._clock = address, max(timeout_ms, 1.0), clock
        self._used: _Connection | None = None
        self._coming: _Connection | None = None
        self._all: dict[_Connection, None] = {}  # with those left for another, until their calls are answered
        self._unwritten: list[_Call] = []
        self._timed: deque[_Call] = deque()  # calls whose time is not up, or not seen to be; oldest first
        self._back_off = BACK_OFF_S[0]
        self._closing = False
        self._retrying = self._timer = False
        self._down_logged = self._fault_logged = False

    @property
    def busy(self) -> bool:
        """Whether a call waits for its answer, and its time is not up."""
        return any(call.done is not None for call in self._timed)

    def open(self) -> None:
        """Connect, and stay connected."""
        self.post(self._connect)

    def close(self) -> None:
        self.post(self._close)

    def move(self, address: tuple[str, int]) -> None:
        """The counter is at another address: go there, and leave the old connection once its calls are
        answered.  Until the new one is up, calls are written to the old."""
        self.post(self._move, address)

    def retune(self, timeout_ms: float) -> None:
        """A new time-out, for calls that are out as well: their answers come in the same order."""
        self._timeout_ms = max(timeout_ms, 1.0)

    def add(self, name: int, units: float, life_ms: float, done: Callable[[CounterReply], None]) -> None:
        """Make one call; done is called once, no later than the time-out."""
        self.post(self._add, _Call(name, encode(name, units, life_ms), self._clock(), done))

    def _add(self, call: _Call) -> None:
        if self._used is None and self._coming is None:
            self._finish(call, Verdict.CONNECT_FAILED)
        elif len(self._unwritten) + sum(len(one.calls) for one in self._all) >= MOST_CALLS:
            self._finish(call, Verdict.QUEUE_FULL)
        else:
            self._unwritten.append(call)
            self._timed.append(call)
            self._watch()

    def batch_ended(self) -> None:
        """Write what the turn has gathered."""
        used = self._used
        if not self._unwritten or used is None:
            return
        if used.ended():
            used.stream.close()
            self.closed(used)  # now: what was gathered goes over the next connection
            return
        calls, self._unwritten = self._unwritten, []
        # From here on each may have been added.  Of a batch that sticks half way some are out, and no figure
        # tells which.
        used.calls.extend(calls)
        used.stream.write(b"".join(call.data for call in calls))  # what its end cuts short closed() tells

    def _finish(self, call: _Call, verdict: Verdict, total: float = 0.0) -> None:
        if call.done is not None:
            done, call.done = call.done, None
            done(CounterReply(call.name, verdict, self._clock() - call.at, total))

    def _watch(self) -> None:
        """One timer for all: the time-out is the same for each, so the oldest is due first."""
        while self._timed and self._timed[0].done is None:
            self._timed.popleft()
        if self._timer:
            return
        if self._timed:
            wait = max(self._timed[0].at + self._timeout_ms - self._clock(), 0.0)
        elif any(one.calls for one in self._all):
            wait = self._timeout_ms
        else:
            return
        self._timer = True
        self._loop.call_later(wait / 1000.0, self.deliver, self._times_up)

    def _times_up(self) -> None:
        self._timer = False
        now = self._clock()
        while self._timed and self._timed[0].at + self._timeout_ms <= now + 0.5:
            call = self._timed.popleft()
            if call in self._unwritten:  # never to be written now: nothing was added
                self._unwritten.remove(call)
                self._finish(call, Verdict.CONNECT_FAILED)
            else:
                self._finish(call, Verdict.TIMEOUT)
        for one in self._all:
            # An answer that was begun and does not end would hold back all answers behind it.
            # One of which a piece has come since is on its way.
            if (
                one.calls
                and one.calls[0].done is None
                and not one.parser.idle
                and now - one.heard >= self._timeout_ms
            ):
                self._fault("answer without an end, connection given up")
                one.stream.close()
            elif one.calls and now - max(one.heard, one.calls[0].at) > FROZEN_TIMES * self._timeout_ms:
                self._fault("silent, connection given up")
                one.stream.close()
        self._watch()

    def _move(self, address: tuple[str, int]) -> None:
        if address == self._address:
            return
        self._address, self._back_off = address, BACK_OFF_S[0]
        coming, self._coming = self._coming, None
        if coming is not None:
            coming.stream.close()
        self._connect()

    def _connect(self) -> None:
        """Bring up a connection to the present address."""
        self._retrying = False
        there = self._used is not None and self._used.address == self._address
        if self._closing or there or self._coming is not None:
            return
        try:
            self._coming = _Connection(self, self._address)
        except OSError as fault:  # no descriptor is free: a later try may find one
            self._fault(f"no socket: {fault}")
            self._retry(BACK_OFF_S[1])
            return
        self._all[self._coming] = None
        self._loop.call_later(CONNECT_S, self.deliver, self._too_late, self._coming)

    def _retry(self, wait_s: float) -> None:
        if not self._retrying:
            self._retrying = True
            self._loop.call_later(wait_s, self.deliver, self._connect)

    def _too_late(self, connection: _Connection) -> None:
        if not connection.up:
            connection.stream.close()

    def opened(self, connection: _Connection) -> None:
        if connection is not self._coming:
            return
        connection.up = True
        connection.heard = connection.opened_at = self._clock()
        left, self._used, self._coming = self._used, connection, None
        if left is not None and not left.calls:
            left.stream.close()
        if self._down_logged:
            self._down_logged = False
            log.info("counter connected again")

    def arrived(self, connection: _Connection, data: bytes) -> None:
        """Bytes of answers.  One that cannot be read is an amount added all the same, and the end of its
        connection: what comes behind it belongs to nobody knows which call."""
        if connection not in self._all:
            return
        connection.heard = self._clock()
        calls = connection.calls
        for value in connection.parser.feed(data):
            if not calls:
                self._spoilt(connection, "answered what nobody asked")
                return
            call = calls.popleft()
            total = read_total(value)
            if total is not None:
                connection.of_use, self._back_off = True, BACK_OFF_S[0]
                self._finish(call, Verdict.OK, total)
            elif isinstance(value, ErrorReply) and PROVES_NOTHING_ADDED.match(value):
                connection.of_use, self._back_off = True, BACK_OFF_S[0]
                if not value.startswith(b"BUSY"):
                    self._fault(f"error {bytes(value[:80])!r}")
                self._finish(call, Verdict.QUEUE_FULL)
            else:
                self._finish(call, Verdict.TIMEOUT)
                self._spoilt(connection, "answer is no total")
                return
        if connection.parser.fault:
            self._spoilt(connection, f"broke the protocol: {connection.parser.fault}")
        elif not calls and not connection.parser.idle:
            self._spoilt(connection, "began an answer that nobody asked for")
        elif connection is not self._used and not calls:
            connection.stream.close()  # the counter has moved, and this connection owes nothing more

    def _spoilt(self, connection: _Connection, text: str) -> None:
        self._fault(text)
        connection.stream.close()
        self.closed(connection)  # now: what this turn writes must not go there

    def closed(self, connection: _Connection) -> None:
        """What was given to the connection may have been added, the rest was not."""
        if connection not in self._all:
            return
        del self._all[connection]
        for call in connection.calls:
            self._finish(call, Verdict.TIMEOUT)
        connection.calls.clear()
        if connection is self._coming:
            self._coming = None
            if not self._down_logged and not self._closing:
                self._down_logged = True
                log.warning("counter cannot be reached: %s", connection.stream.error or "no answer")
            if self._used is None:
                self._fail_unwritten()
            self._again()
        elif connection is self._used:
            self._used = None
            if self._coming is None:
                # It worked until now, or stood idle until the counter closed it: come back at once.
                stood = self._clock() - connection.opened_at >= BACK_OFF_S[1] * 1000.0
                if (connection.of_use or stood) and not self._retrying:
                    self._connect()
                else:
                    self._again()
                if self._coming is None:
                    self._fail_unwritten()

    def _again(self) -> None:
        if not self._closing:
            self._retry(self._back_off)
            self._back_off = min(self._back_off * 2, BACK_OFF_S[1])

    def _fail_unwritten(self) -> None:
        calls, self._unwritten = self._unwritten, []
        for call in calls:
            self._finish(call, Verdict.CONNECT_FAILED)

    def _close(self) -> None:
        self._closing = True
        for one in list(self._all):
            one.stream.close()

    def _fault(self, text: str) -> None:
        """Log the counter's fault once."""
        if not self._fault_logged:
            self._fault_logged = True
            log.warning("counter %s:%d %s", *self._address, text)
