"""The mailbox that every actor has: messages wait in a deque and are handled in one callback."""

from __future__ import annotations

import asyncio
import logging
import math
import socket
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from tornado.iostream import IOStream, StreamClosedError

READ_CHUNK = 65536
log = logging.getLogger(__name__)


class Loop(Protocol):
    """What the actors use of the event loop; tests put a loop with a clock of their own in its place."""

    def call_soon(self, callback: Callable[..., object], *args: Any) -> asyncio.Handle: ...

    def call_later(
        self, delay: float, callback: Callable[..., object], *args: Any
    ) -> asyncio.TimerHandle: ...

    def time(self) -> float: ...


class ActorScheduler:
    """The event loop, and the actors that have mail.

    One callback goes round all of them until none has any: what one actor posts to the next is handled in the
    same round of the event loop, since a round of its own for each would cost more than the handling.
    """

    MOST = 10_000  # turns in one callback, so that connections and timers are not kept waiting

    def __init__(self, loop: Loop) -> None:
        self.call_soon, self.call_later, self.time = loop.call_soon, loop.call_later, loop.time
        self._due: deque[Actor] = deque()
        self._planned = self._running = False

    def due(self, actor: Actor) -> None:
        """An actor has mail."""
        self._due.append(actor)
        if not self._planned and not self._running:
            self._planned = True
            self.call_soon(self._planned_run)

    def _planned_run(self) -> None:
        self._planned = False
        self.run()

    def run(self) -> None:
        """Give each actor that has mail its turn."""
        if self._running:
            return
        self._running = True
        try:
            for _ in range(self.MOST):
                if not self._due:
                    return
                self._due.popleft().turn()
        finally:
            self._running = False
            if self._due and not self._planned:
                self._planned = True
                self.call_soon(self._planned_run)


class Actor:
    """Messages come in with post() and are handled in order; nobody else touches the actor's state."""

    def __init__(self, loop: ActorScheduler) -> None:
        self._loop = loop
        self._mail: deque[tuple[Callable[..., None], tuple[Any, ...]]] = deque()

    def post(self, handler: Callable[..., None], *args: Any) -> None:
        """Leave a message: the handler and what it is to be given."""
        if not self._mail:
            self._loop.due(self)
        self._mail.append((handler, args))

    def deliver(self, handler: Callable[..., None], *args: Any) -> None:
        """The same from a callback of the event loop: the turns begin at once."""
        self.post(handler, *args)
        self._loop.run()

    def turn(self) -> None:
        """Handle all that has come, then end the turn."""
        mail = self._mail
        for _ in range(len(mail)):
            handler, args = mail[0]
            try:
                handler(*args)
            except Exception:  # one message must not cost those behind it
                log.exception("message failed: %s", handler.__qualname__)
            mail.popleft()
        try:
            self.turn_ended()
        except Exception:
            log.exception("end of turn failed: %s", type(self).__name__)
        if mail:
            self._loop.due(self)

    def turn_ended(self) -> None:
        """Called once after each turn: the place to write what the turn has gathered."""


def new_socket(address: tuple[str, int]) -> socket.socket:
    """A TCP socket for an address, that sends small messages at once."""
    made = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return made


def dial(address: tuple[str, int], most_buffered: int) -> tuple[IOStream, asyncio.Future[IOStream]]:
    """A connection on its way up, and what tells that it is.

    Nothing may watch the socket before: one that has not begun to connect reports a hang-up, which Tornado
    takes for the end of the connecting, and what is written then counts as sent on a connection that never
    came up.  A close callback watches, and so belongs behind this: on_close.
    """
    stream = IOStream(new_socket(address), max_buffer_size=most_buffered)
    return stream, stream.connect(address)


def on_close(stream: IOStream, tell: Callable[[], None]) -> None:
    """Tell of a connection's end, also where it has ended already."""
    if stream.closed():
        tell()
    else:
        stream.set_close_callback(tell)


async def pump(stream: IOStream, take: Callable[[bytes], None]) -> None:
    """Hand over what a connection brings, piece by piece, until it ends: the one coroutine that it costs."""
    try:
        while True:
            take(await stream.read_bytes(READ_CHUNK, partial=True))
    except StreamClosedError:
        pass


class WallClock:
    """Unix time in milliseconds that never runs backwards: gateways agree on it for the counter's periods.

    It runs on the monotonic clock and is set by the system's time every few seconds, so that a step of the
    latter moves no deadline backwards.  After a step back it runs slow until it has been overtaken: standing
    still it would refill no quota and end no call for as long as the step was.
    """

    RESET_S = 5.0
    SLOW = 0.5  # of its pace, while it is ahead

    def __init__(self, monotonic: Callable[[], float], unix: Callable[[], float]) -> None:
        self._monotonic, self._unix = monotonic, unix
        self._offset, self._set_at, self._last, self._read_at = 0.0, -math.inf, 0.0, math.inf

    def __call__(self) -> float:
        at = self._monotonic()
        if at - self._set_at >= self.RESET_S:
            self._offset, self._set_at = self._unix() - at, at
        least = self._last + max(at - self._read_at, 0.0) * 1000.0 * self.SLOW
        self._last, self._read_at = max((at + self._offset) * 1000.0, least), at
        return self._last
