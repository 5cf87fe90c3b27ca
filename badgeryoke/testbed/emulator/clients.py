"""A pool of client connections to one gateway: one attempt at a time on each, and more connections while all are
busy."""

from __future__ import annotations

import asyncio
import select
from collections import deque
from collections.abc import Callable

from badgeryoke.testbed.emulator.resp import RespConnection, encode_command

MAX_CONNECTIONS = 250  # to one gateway; further attempts are queued
MAX_QUEUED = 5000
# Called with an attempt's outcome (served, refused, failed, or lost with the connection) and, for a rejected one, the
# Retry-After in ms.
AttemptCallback = Callable[[str, float], None]


class ClientPool:
    """The connections from all clients to one gateway.

    `up`: whether the load balancer in front of the gateways sends clients to this one.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self._idle: list[_ClientConnection] = []
        self._open_connections = 0
        self._queued: deque[tuple[bytes, AttemptCallback]] = deque()
        self.up = False

    def submit(self, data: bytes, done: AttemptCallback) -> bool:
        """Send or queue an attempt and return True; `done` is called once.  Returns False if the gateway is down
        or the queue is full."""
        if not self.up or len(self._queued) >= MAX_QUEUED:
            return False
        while self._idle:
            client = self._idle.pop()
            if client.is_usable():
                client.send(data, done)
                return True
        self._queued.append((data, done))
        if self._open_connections < MAX_CONNECTIONS:
            self._open_connections += 1
            asyncio.get_running_loop().create_task(self._connect())
        return True

    async def _connect(self) -> None:
        try:
            await asyncio.get_running_loop().create_connection(lambda: _ClientConnection(self), *self.address)
        except OSError:
            self._open_connections -= 1
            if not self._open_connections:
                self.fail_queued()

    def connection_idle(self, client: _ClientConnection) -> None:
        """Give an idle connection the first queued attempt, or keep it for later."""
        if self._queued:
            data, done = self._queued.popleft()
            client.send(data, done)
        else:
            self._idle.append(client)

    def connection_closed(self) -> None:
        """Account for a closed connection; reconnect if it was the last one and attempts are queued."""
        self._open_connections -= 1
        if not self._open_connections and self._queued:
            self._open_connections += 1
            asyncio.get_running_loop().create_task(self._connect())

    def fail_queued(self) -> None:
        """End all queued attempts as lost, since the gateway does not listen."""
        while self._queued:
            self._queued.popleft()[1]("lost", 0.0)

    async def ping(self, timeout_s: float) -> bool:
        """Whether the gateway answers PING with PONG within `timeout_s`; PING is sent at least once."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while True:
            reply: asyncio.Future[object] = loop.create_future()
            try:
                transport, _ = await loop.create_connection(
                    lambda reply=reply: _PingConnection(reply),  # type: ignore[misc]
                    *self.address,
                )
                answer = await asyncio.wait_for(reply, 1.0)
                transport.close()
                if answer == "+PONG":
                    return True
            except (OSError, TimeoutError):
                pass
            if loop.time() >= deadline:
                return False
            await asyncio.sleep(0.05)


class _PingConnection(RespConnection):
    def __init__(self, reply: asyncio.Future[object]) -> None:
        super().__init__()
        self._reply = reply

    def connected(self) -> None:
        self.write(encode_command(b"PING"))

    def value_received(self, value: object) -> None:
        if not self._reply.done():
            self._reply.set_result(value)


class _ClientConnection(RespConnection):
    """One connection, with one attempt at a time."""

    def __init__(self, pool: ClientPool) -> None:
        super().__init__()
        self._pool = pool
        self._on_done: AttemptCallback | None = None

    def is_usable(self) -> bool:
        """Whether the gateway has kept the connection open.

        Unread input on an idle connection is its end, which this process may be late to read; a client with its
        own process would have read it already.
        """
        if self.transport is None or self.transport.is_closing():
            return False
        poller = select.poll()
        poller.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        return not poller.poll(0)

    def send(self, data: bytes, done: AttemptCallback) -> None:
        """Send one attempt."""
        self._on_done = done
        self.write(data)

    def connected(self) -> None:
        self._pool.connection_idle(self)

    def value_received(self, value: object) -> None:
        done, self._on_done = self._on_done, None
        if done is None:
            self.abort()
            return
        served = isinstance(value, bytes) or (
            isinstance(value, list) and bool(value) and isinstance(value[0], bytes)
        )
        rejected = isinstance(value, str) and value.startswith("-BUSY")
        retry_after = value.split(" ")[1:2] if rejected and isinstance(value, str) else []
        done(
            "served" if served else "refused" if rejected else "failed",
            float(retry_after[0]) if retry_after and retry_after[0].isdigit() else 0.0,
        )
        self._pool.connection_idle(self)

    def disconnected(self) -> None:
        done, self._on_done = self._on_done, None
        if done is not None:
            done("lost", 0.0)
        self._pool.connection_closed()
