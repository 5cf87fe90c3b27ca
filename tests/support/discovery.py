"""Discovery agents with configurable behaviour, and the discovery clients of many gateways."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import socket
import struct
from collections.abc import Awaitable, Callable
from enum import Enum
from typing import Any

from badgeryoke.decisions.interface import EndpointList, EndpointState
from badgeryoke.gateway.actor import ActorScheduler
from badgeryoke.gateway.discovery.client import DiscoveryClient
from badgeryoke.gateway.discovery.endpoint_list import EndpointSnapshot
from tests.support.stand_ins import HOST, Standin, entry

OK = b"HTTP/1.1 200 OK\r\n"
OVERLOADED = b"HTTP/1.1 503 No room\r\nContent-Length: 0\r\n\r\n"
GONE_ENTRY = {"id": "a", "state": "left"}


class AgentBehaviour(Enum):
    """How an agent answers polls."""

    ANSWERING = "answering"
    SILENT = "silent"
    SILENT_AFTER_FIRST = "silent after the first poll of a connection"
    OVERLOADED = "overloaded"


class VersionedAgent(Standin):
    """Answers with the complete endpoint list, then with changes by version."""

    def __init__(self) -> None:
        super().__init__()
        # Version n of the list is the result of the first n entries.
        self.history: list[dict[str, Any]] = [entry("a", 1), entry("b", 2)]
        self.changed = asyncio.Event()
        self.behaviour = AgentBehaviour.ANSWERING
        self.polled_at: list[float] = []
        self.abandoned_at: list[float] = []  # when clients closed connections with an unanswered poll
        self.indent: int | None = None

    async def __aenter__(self) -> VersionedAgent:
        # The backlog is large because all gateways connect at once.
        self.server = await asyncio.start_server(self._connected, HOST, 0, backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def publish(self, change: dict[str, Any]) -> None:
        """Add a change to the list, and answer the waiting polls."""
        self.history.append(change)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the polls of one connection."""
        first = True
        while True:
            path = (await reader.readuntil(b"\r\n\r\n")).decode().split(" ")[1]
            self.polled_at.append(asyncio.get_running_loop().time())
            if self.behaviour is AgentBehaviour.SILENT or (
                self.behaviour is AgentBehaviour.SILENT_AFTER_FIRST and not first
            ):
                await reader.read()
                self.abandoned_at.append(asyncio.get_running_loop().time())
                return
            first = False
            parameters = dict(part.split("=") for part in path.partition("?")[2].split("&") if part)
            version = int(parameters.get("after", 0))
            if self.behaviour is AgentBehaviour.OVERLOADED:
                writer.write(OVERLOADED)
                continue
            if version >= len(self.history):
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), int(parameters["wait_ms"]) / 1000)
                if self.behaviour is not AgentBehaviour.ANSWERING:
                    await reader.read()
                    return
            body = json.dumps(
                {"version": len(self.history), "full": not version, "servers": self.history[version:]},
                indent=self.indent,
            ).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


class WatchingFleet:
    """The discovery clients of many gateways, and their notifications with times."""

    def __init__(
        self,
        port: int,
        clients: int,
        gateway_count: int = 0,
        cached: EndpointSnapshot | None = None,
        draw: Callable[[], float] | None = None,
    ) -> None:
        """`gateway_count`: the fleet's size in the clients' settings; 0 stands for `clients`."""
        loop = asyncio.get_running_loop()
        self.notifications: list[list[tuple[float, EndpointList]]] = [[] for _ in range(clients)]

        def record(own: list[tuple[float, EndpointList]]) -> Callable[[EndpointList, object], None]:
            return lambda change, _: own.append((loop.time(), change))

        self.clients = [
            DiscoveryClient(
                (HOST, port),
                cached,
                ActorScheduler(loop),
                record(own),
                gateway_count or clients,
                draw or random.Random(n).random,
            )
            for n, own in enumerate(self.notifications)
        ]
        for client in self.clients:
            client.start()

    def all_notified_of_gone_at(self) -> float:
        """Return when the last client was notified of a gone endpoint.

        Raises StopIteration if a client was not notified of one.
        """
        return max(
            next(
                at
                for at, change in own
                if any(server.state is EndpointState.GONE for server in change.servers)
            )
            for own in self.notifications
        )

    def __enter__(self) -> WatchingFleet:
        return self

    def __exit__(self, *_: object) -> None:
        for client in self.clients:
            client.stop()


# Agents that follow a script -------------------------------------------------------------------------------

Act = Callable[[asyncio.StreamWriter], Awaitable[bool]]  # answers one poll; False closes the connection


class ScriptedAgent(Standin):
    """Answers each poll with the next act, and leaves polls unanswered when no act is left."""

    def __init__(self, *acts: Act) -> None:
        super().__init__()
        self.acts = list(acts)
        self.polls: list[tuple[float, int, str]] = []  # time, number of the connection, path
        self.answered_at: list[float] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the polls of one connection by the script."""
        loop, number, more = asyncio.get_running_loop(), self.connections, True
        while more:
            path = (await reader.readuntil(b"\r\n\r\n")).decode().split(" ")[1]
            self.polls.append((loop.time(), number, path))
            if not self.acts:
                await reader.read()
                return
            more = await self.acts.pop(0)(writer)
            self.answered_at.append(loop.time())


def sends(*pieces: bytes, interval_s: float | None = None, keep_open: bool = False) -> Act:
    """Send the pieces, then close the connection unless `keep_open`."""

    async def act(writer: asyncio.StreamWriter) -> bool:
        for piece in pieces:
            writer.write(piece)
            if interval_s is not None:
                await asyncio.sleep(interval_s)
        return keep_open

    return act


def sends_then_resets(data: bytes, delay_s: float) -> Act:
    """Send data, then reset the connection."""

    async def act(writer: asyncio.StreamWriter) -> bool:
        writer.write(data)
        await asyncio.sleep(delay_s)
        connection = writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()
        return False

    return act


def responds(body: bytes, keep_open: bool = True) -> Act:
    """Send a valid response."""
    close = b"" if keep_open else b"Connection: close\r\n"
    return sends(
        OK + close + b"Content-Length: %d\r\n\r\n" % len(body) + body,
        keep_open=keep_open,
    )


def responds_slowly(body: bytes, seconds: float, delay_s: float = 0.0, early: bytes = b"") -> Act:
    """Send `early`, then after the delay a response whose body is sent in ten pieces over `seconds`.

    If `early` begins with the status line, only the body follows.
    """

    async def act(writer: asyncio.StreamWriter) -> bool:
        writer.write(early)
        await asyncio.sleep(delay_s)
        writer.write(b"" if early.startswith(OK) else OK + b"Content-Length: %d\r\n\r\n" % len(body))
        for n in range(10):
            await asyncio.sleep(seconds / 10)
            writer.write(body[n * len(body) // 10 : (n + 1) * len(body) // 10])
        return True

    return act


def responds_before_a_stall(body: bytes, seconds: float) -> Act:
    """Send a response, then advance the clock, so that one turn of the loop sees both the response and the timeout."""

    async def act(writer: asyncio.StreamWriter) -> bool:
        await responds(body)(writer)
        loop: Any = asyncio.get_running_loop()
        loop.passed_s += seconds
        return True

    return act


def chunked(body: bytes) -> bytes:
    """Return a response whose body is one chunk."""
    return OK + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
