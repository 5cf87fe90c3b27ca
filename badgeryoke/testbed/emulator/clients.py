"""A pool of client connections to one gateway: one attempt at a time on each, and more connections while all are
busy."""

from __future__ import annotations

import asyncio
import select
from collections import deque
from collections.abc import Callable

from badgeryoke.testbed.emulator.resp import Peer, words

MOST_CONNECTIONS = 250  # to one gateway; further attempts are queued
MOST_WAITING = 5000
# Called with an attempt's outcome (served, refused, failed, or lost with the connection) and, for a rejected one, the
# Retry-After in ms.
Done = Callable[[str, float], None]


class Door:
    """The connections from all clients to one gateway.

    `up`: whether the load balancer in front of the gateways sends clients to this one.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self._idle: list[_Client] = []
        self._open = 0
        self._waiting: deque[tuple[bytes, Done]] = deque()
        self.up = False

    def ask(self, data: bytes, done: Done) -> bool:
        """Send or queue an attempt and return True; `done` is called once.  Returns False if the gateway is down
        or the queue is full."""
        if not self.up or len(self._waiting) >= MOST_WAITING:
            return False
        while self._idle:
            client = self._idle.pop()
            if client.usable():
                client.send(data, done)
                return True
        self._waiting.append((data, done))
        if self._open < MOST_CONNECTIONS:
            self._open += 1
            asyncio.get_running_loop().create_task(self._connect())
        return True

    async def _connect(self) -> None:
        try:
            await asyncio.get_running_loop().create_connection(lambda: _Client(self), *self.address)
        except OSError:
            self._open -= 1
            if not self._open:
                self.drop()

    def free(self, client: _Client) -> None:
        """Give an idle connection the first queued attempt, or keep it for later."""
        if self._waiting:
            data, done = self._waiting.popleft()
            client.send(data, done)
        else:
            self._idle.append(client)

    def gone(self) -> None:
        """Account for a closed connection; reconnect if it was the last one and attempts are queued."""
        self._open -= 1
        if not self._open and self._waiting:
            self._open += 1
            asyncio.get_running_loop().create_task(self._connect())

    def drop(self) -> None:
        """End all queued attempts as lost, since the gateway does not listen."""
        while self._waiting:
            self._waiting.popleft()[1]("lost", 0.0)

    async def ping(self, within_s: float) -> bool:
        """Whether the gateway answers PING with PONG within `within_s`; PING is sent at least once."""
        loop = asyncio.get_running_loop()
        until = loop.time() + within_s
        while True:
            said: asyncio.Future[object] = loop.create_future()
            try:
                transport, _ = await loop.create_connection(
                    lambda said=said: _Ping(said),  # type: ignore[misc]
                    *self.address,
                )
                got = await asyncio.wait_for(said, 1.0)
                transport.close()
                if got == "+PONG":
                    return True
            except (OSError, TimeoutError):
                pass
            if loop.time() >= until:
                return False
            await asyncio.sleep(0.05)


class _Ping(Peer):
    def __init__(self, said: asyncio.Future[object]) -> None:
        super().__init__()
        self._said = said

    def begun(self) -> None:
        self.write(words(b"PING"))

    def got(self, value: object) -> None:
        if not self._said.done():
            self._said.set_result(value)


class _Client(Peer):
    """One connection, with one attempt at a time."""

    def __init__(self, door: Door) -> None:
        super().__init__()
        self._door = door
        self._done: Done | None = None

    def usable(self) -> bool:
        """Whether the gateway has kept the connection open.

        Unread input on an idle connection is its end, which this process may be late to read; a client with its
        own process would have read it already.
        """
        if self.transport is None or self.transport.is_closing():
            return False
        look = select.poll()
        look.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        return not look.poll(0)

    def send(self, data: bytes, done: Done) -> None:
        """Send one attempt."""
        self._done = done
        self.write(data)

    def begun(self) -> None:
        self._door.free(self)

    def got(self, value: object) -> None:
        done, self._done = self._done, None
        if done is None:
            self.end()
            return
        served = isinstance(value, bytes) or (
            isinstance(value, list) and bool(value) and isinstance(value[0], bytes)
        )
        refused = isinstance(value, str) and value.startswith("-BUSY")
        wait = value.split(" ")[1:2] if refused and isinstance(value, str) else []
        done(
            "served" if served else "refused" if refused else "failed",
            float(wait[0]) if wait and wait[0].isdigit() else 0.0,
        )
        self._door.free(self)

    def ended(self) -> None:
        done, self._done = self._done, None
        if done is not None:
            done("lost", 0.0)
        self._door.gone()
