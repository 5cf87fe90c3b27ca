"""The mailbox that every actor has: messages wait in a deque and are handled in one callback."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from tornado.iostream import IOStream, StreamClosedError

READ_CHUNK = 65536
log = logging.getLogger("badgeryoke")


class Loop(Protocol):
    """What the actors use of the event loop; tests put a loop with a clock of their own in its place."""

    def call_soon(self, callback: Callable[..., object], *args: Any) -> asyncio.Handle: ...

    def call_later(
        self, delay: float, callback: Callable[..., object], *args: Any
    ) -> asyncio.TimerHandle: ...

    def time(self) -> float: ...


class Actor:
    """Messages come in with post() and are handled in order; nobody else touches the actor's state."""

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._mail: deque[tuple[Callable[..., None], tuple[Any, ...]]] = deque()
        self._due = False

    def post(self, handler: Callable[..., None], *args: Any) -> None:
        """Leave a message: the handler and what it is to be given."""
        self._mail.append((handler, args))
        if not self._due:
            self._due = True
            self._loop.call_soon(self._drain)

    def _drain(self) -> None:
        """Handle all that has come, also what the handlers post meanwhile, then end the turn."""
        mail = self._mail
        try:
            while mail:
                handler, args = mail.popleft()
                try:
                    handler(*args)
                except Exception:  # one message must not cost those behind it
                    log.exception("message failed: %s", handler.__qualname__)
        finally:
            self._due = False
            self.turn_ended()

    def turn_ended(self) -> None:
        """Called once after each turn: the place to write what the turn has gathered."""


def new_socket(address: tuple[str, int]) -> socket.socket:
    """A TCP socket for an address, that sends small messages at once."""
    made = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return made


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
    latter moves no deadline backwards.
    """

    RESET_S = 5.0

    def __init__(self, monotonic: Callable[[], float], unix: Callable[[], float]) -> None:
        self._monotonic, self._unix = monotonic, unix
        self._offset, self._set_at, self._last = 0.0, -self.RESET_S, 0.0

    def __call__(self) -> float:
        at = self._monotonic()
        if at - self._set_at >= self.RESET_S:
            self._offset, self._set_at = self._unix() - at, at
        self._last = max((at + self._offset) * 1000.0, self._last)
        return self._last
