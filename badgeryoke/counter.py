"""The link to the counter: calls one behind another on one connection, answers matched in order."""

from __future__ import annotations

import asyncio
import logging
import math
from collections import deque
from collections.abc import Callable

from tornado.iostream import IOStream, StreamClosedError

from badgeryoke.actor import Actor, Turns, new_socket, pump
from badgeryoke.resp.parser import ErrorReply, Parser, Value, command
from martenstep.interface import Total, Verdict

log = logging.getLogger("badgeryoke.counter")

FROZEN_TIMES = 20.0  # time-outs without any answer after which the connection is taken for dead
MOST_CALLS = 512  # calls without an answer; more are turned away here
BACK_OFF_S = (0.05, 1.0)  # before the next connection: at first and at most
CONNECT_S = 0.5
LIFE_MS = (1.0, 60_000.0)


class _Call:
    __slots__ = ("at", "data", "done", "name", "written")

    def __init__(self, name: int, data: bytes, at: float, done: Callable[[Total], None]) -> None:
        self.name, self.data, self.at = name, data, at
        self.done: Callable[[Total], None] | None = done  # None: its time is up, its answer is only matched
        self.written = False


def encode(name: int, units: float, life_ms: float) -> bytes:
    """One call."""
    amount = f"{units:.6f}".rstrip("0").rstrip(".")
    life = min(max(life_ms, LIFE_MS[0]), LIFE_MS[1])
    return command((b"INCRTTL", b"%d" % name, amount.encode(), b"%d" % round(life)))


def read_total(reply: Value) -> float | None:
    """The total in an answer; None where it is no total."""
    if type(reply) is not bytes:
        return None
    try:
        total = float(reply)
    except ValueError:
        return None
    return total if math.isfinite(total) else None


class CounterLink(Actor):
    """Owns the connection; a call made while there is none fails at once, and nothing was added."""

    def __init__(self, address: tuple[str, int], timeout_ms: float, loop: Turns,
                 clock: Callable[[], float]) -> None:
        super().__init__(loop)
        self._address, self._timeout_ms, self._clock = address, max(timeout_ms, 1.0), clock
        self._stream: IOStream | None = None
        self._up = False
        self._parser = Parser()
        self._calls: deque[_Call] = deque()  # in the order written; behind them those not written yet
        self._unwritten: list[_Call] = []
        self._heard = 0.0
        self._back_off = BACK_OFF_S[0]
        self._closing = False
        self._timer = False
        self._down_logged = self._fault_logged = False

    def open(self) -> None:
        """Connect, and stay connected."""
        self.post(self._connect)

    def close(self) -> None:
        self.post(self._close)

    def add(self, name: int, units: float, life_ms: float, done: Callable[[Total], None]) -> None:
        """Make one call; done is called once, no later than the time-out."""
        self.post(self._add, _Call(name, encode(name, units, life_ms), self._clock(), done))

    def _add(self, call: _Call) -> None:
        if self._stream is None:
            self._finish(call, Verdict.CONNECT_FAILED)
        elif len(self._calls) >= MOST_CALLS:
            self._finish(call, Verdict.FULL)
        else:
            self._calls.append(call)
            self._unwritten.append(call)
            self._watch()

    def turn_ended(self) -> None:
        """Write what the turn has gathered."""
        if not self._unwritten or self._stream is None or not self._up or self._stream.closed():
            return
        calls, self._unwritten = self._unwritten, []
        stream = self._stream
        future = stream.write(b"".join(call.data for call in calls))

        def written() -> None:
            for call in calls:
                call.written = True

        if not stream.writing():
            written()
        else:
            future.add_done_callback(lambda done: None if done.exception() else written())

    def _finish(self, call: _Call, verdict: Verdict, total: float = 0.0) -> None:
        if call.done is not None:
            done, call.done = call.done, None
            done(Total(call.name, verdict, self._clock() - call.at, total))

    def _watch(self) -> None:
        """One timer for all: the time-out is the same for each, so the oldest is due first."""
        if self._timer:
            return
        oldest = next((call for call in self._calls if call.done is not None), None)
        wait = self._timeout_ms
        if oldest is not None:
            wait = max(oldest.at + self._timeout_ms - self._clock(), 0.0)
        elif not self._calls:
            return
        self._timer = True
        self._loop.call_later(wait / 1000.0, self.deliver, self._times_up)

    def _times_up(self) -> None:
        self._timer = False
        now = self._clock()
        for call in self._calls:
            if call.at + self._timeout_ms > now + 0.5:
                break
            if call.done is None:
                continue
            if call in self._unwritten:  # never to be written now: nothing was added
                self._finish(call, Verdict.CONNECT_FAILED)
            else:
                self._finish(call, Verdict.TIMEOUT)
        if any(call.done is None for call in self._unwritten):
            dead = [call for call in self._unwritten if call.done is None]
            self._unwritten = [call for call in self._unwritten if call.done is not None]
            self._calls = deque(call for call in self._calls if call not in dead)
        oldest = self._calls[0] if self._calls else None
        if (oldest is not None and self._stream is not None
                and now - max(self._heard, oldest.at) > FROZEN_TIMES * self._timeout_ms):
            self._fault("silent, connection given up")
            self._stream.close()
        self._watch()

    def _connect(self) -> None:
        if self._closing or self._stream is not None:
            return
        try:
            sock = new_socket(self._address)
        except OSError as fault:  # no descriptor is free: a later try may find one
            self._fault(f"no socket: {fault}")
            self._loop.call_later(BACK_OFF_S[1], self.deliver, self._connect)
            return
        stream = self._stream = IOStream(sock, max_buffer_size=256 * 1024)
        self._up, self._parser = False, Parser()
        stream.set_close_callback(lambda: self.post(self._closed, stream))
        self._task = asyncio.ensure_future(self._live(stream))
        self._loop.call_later(CONNECT_S, self.deliver, self._too_late, stream)

    def _too_late(self, stream: IOStream) -> None:
        if stream is self._stream and not self._up:
            stream.close()

    def _opened(self, stream: IOStream) -> None:
        if stream is not self._stream:
            return
        self._up, self._heard, self._back_off = True, self._clock(), BACK_OFF_S[0]
        if self._down_logged:
            self._down_logged = False
            log.info("counter connected again")

    async def _live(self, stream: IOStream) -> None:
        try:
            await stream.connect(self._address)
        except (StreamClosedError, OSError):
            stream.close()
            return
        self.post(self._opened, stream)
        await pump(stream, lambda data: self.deliver(self._arrived, stream, data))

    def _arrived(self, stream: IOStream, data: bytes) -> None:
        if stream is not self._stream:
            return
        self._heard = self._clock()
        for value in self._parser.feed(data):
            if not self._calls or not self._calls[0].written:
                self._fault("answered what nobody asked")
                stream.close()
                return
            call = self._calls.popleft()
            total = read_total(value)
            if total is not None:
                self._finish(call, Verdict.OK, total)
            elif isinstance(value, ErrorReply):  # turned away, or no such call: nothing was added
                if not value.startswith(b"BUSY"):
                    self._fault(f"error {bytes(value[:80])!r}")
                self._finish(call, Verdict.FULL)
            else:
                self._fault("answer is no total")
                self._finish(call, Verdict.TIMEOUT)
        if self._parser.fault:
            self._fault(f"broke the protocol: {self._parser.fault}")
            stream.close()

    def _closed(self, stream: IOStream) -> None:
        """What was written may have been added, the rest was not."""
        if stream is not self._stream:
            return
        if not self._up and not self._down_logged:
            self._down_logged = True
            log.warning("counter cannot be reached: %s", stream.error or "no answer")
        self._stream, self._up = None, False
        calls, self._calls, self._unwritten = self._calls, deque(), []
        for call in calls:
            self._finish(call, Verdict.TIMEOUT if call.written else Verdict.CONNECT_FAILED)
        if not self._closing:
            self._loop.call_later(self._back_off, self.deliver, self._connect)
            self._back_off = min(self._back_off * 2, BACK_OFF_S[1])

    def _close(self) -> None:
        self._closing = True
        if self._stream is not None:
            self._stream.close()

    def _fault(self, text: str) -> None:
        """Log the counter's fault once."""
        if not self._fault_logged:
            self._fault_logged = True
            log.warning("counter %s:%d %s", *self._address, text)
