"""A TCP proxy between the gateways, which injects network faults: each ordered pair of gateways has a port on
loopback and its own faults.

Gateway i connects to j through the port (i, j).  Bytes from i to j are subject to the faults of i -> j, bytes
sent back on the same connection to those of j -> i, so that a one-way cut has one direction whichever gateway
connected.  A cut drops bytes silently: both ends keep their connections, as on a real network, until the link is
mended.  A connection that lost bytes is then aborted, since TCP would not continue after the gap either.
"""

from __future__ import annotations

import asyncio
import random
import socket
import struct
from collections import deque
from dataclasses import dataclass

from badgeryoke.testbed.scenario.model import Fault

MAX_QUEUED_BYTES = 1024 * 1024  # of one direction of one connection; reading pauses above it
MAX_PIECE_BYTES = 64 * 1024  # largest piece forwarded at once, so that connections share a narrow link
CONNECT_S = 2.0


@dataclass
class LinkDirection:
    """The faults of the link from one gateway to another."""

    cut: bool = False
    delay_ms: float = 0.0
    resets_per_s: float = 0.0  # rate of connection resets a second
    bytes_per_s: float = 0.0  # bandwidth; 0: unlimited
    idle_at: float = 0.0  # time at which a narrow link has sent all bytes queued so far
    dropped_bytes: int = 0  # bytes dropped by cuts


class FaultyLinks:
    """All links, listeners and connections between gateways, which are numbered from 0 here."""

    def __init__(self, gateways: int, rng: random.Random) -> None:
        self.gateways, self._rng = gateways, rng
        self.directions = {
            (i, j): LinkDirection() for i in range(gateways) for j in range(gateways) if i != j
        }
        self.ports: dict[tuple[int, int], int] = {}
        self.targets: dict[int, tuple[str, int]] = {}  # listen address of each gateway
        self.connections: dict[_ProxiedConnection, None] = {}
        self._listeners: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._timers: dict[tuple[int, int], asyncio.TimerHandle] = {}

    async def listen(self) -> None:
        """Open one listener for each ordered pair."""
        loop = asyncio.get_running_loop()
        for pair in self.directions:
            listener = await loop.create_server(
                lambda pair=pair: _ProxySide(_ProxiedConnection(self, *pair), 0),  # type: ignore[misc]
                "127.0.0.1",
                0,
                backlog=64,
            )
            self._listeners.append(listener)
            self.ports[pair] = int(listener.sockets[0].getsockname()[1])

    def connect(self, connection: _ProxiedConnection) -> None:
        """Connect an accepted connection to the gateway that it is meant for."""
        self.connections[connection] = None
        task = asyncio.get_running_loop().create_task(connection.connect(self.targets[connection.called]))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def inject_fault(self, fault: Fault) -> None:
        """Inject a fault of the scenario."""
        if fault.word == "mend":
            self.mend()
            return
        first, second = (tuple(number - 1 for number in group) for group in fault.groups)
        directions = [(i, j) for i in first for j in second]
        if fault.mode != "one-way":
            directions += [(j, i) for i, j in directions]
        for key in directions:
            direction = self.directions[key]
            if fault.word == "cut":
                direction.cut = True
            elif fault.word == "delay":
                direction.delay_ms = fault.amount
            elif fault.word == "narrow":
                direction.bytes_per_s = fault.amount * 1000.0
            else:
                direction.resets_per_s = fault.amount
                self._schedule_reset(key)

    def mend(self) -> None:
        """Remove all faults, and abort the connections that lost bytes."""
        for timer in self._timers.values():
            timer.cancel()
        self._timers.clear()
        for direction in self.directions.values():
            direction.cut, direction.delay_ms, direction.resets_per_s, direction.bytes_per_s = (
                False,
                0.0,
                0.0,
                0.0,
            )
        for connection in list(self.connections):
            if connection.delayed_by_cut or any(
                side is not None and side.has_gap for side in connection.sides
            ):
                connection.abort()

    def _schedule_reset(self, key: tuple[int, int]) -> None:
        if (previous_timer := self._timers.pop(key, None)) is not None:
            previous_timer.cancel()
        if (rate := self.directions[key].resets_per_s) > 0:
            self._timers[key] = asyncio.get_running_loop().call_later(
                self._rng.expovariate(rate), self._reset, key
            )

    def _reset(self, key: tuple[int, int]) -> None:
        for connection in list(self.connections):
            if (connection.caller, connection.called) == key:
                connection.abort(reset=True)
        self._schedule_reset(key)

    def is_connected(self, first: int, second: int) -> bool:
        """Whether neither direction between two gateways is cut."""
        return not (self.directions[first, second].cut or self.directions[second, first].cut)

    def close(self) -> None:
        """Close all listeners and connections."""
        self.mend()
        for listener in self._listeners:
            listener.close()
        for connection in list(self.connections):
            connection.abort()
        for task in self._tasks:
            task.cancel()


class _ProxiedConnection:
    """One proxied connection from `caller` to `called`: the proxy's connections to both."""

    def __init__(self, links: FaultyLinks, caller: int, called: int) -> None:
        self.links, self.caller, self.called = links, caller, called
        self.sides: list[_ProxySide | None] = [None, None]
        self.delayed_by_cut = False  # whether the connection to `called` was delayed by a cut
        self.aborted = False

    async def connect(self, address: tuple[str, int]) -> None:
        """Connect to `called` once no direction is cut; until then the caller's connection stays open, as SYNs
        would remain unanswered."""
        while not self.aborted and not self.links.is_connected(self.caller, self.called):
            self.delayed_by_cut = True
            await asyncio.sleep(0.02)
        if self.aborted:
            return
        try:
            await asyncio.wait_for(
                asyncio.get_running_loop().create_connection(lambda: _ProxySide(self, 1), *address), CONNECT_S
            )
        except (OSError, TimeoutError):
            self.abort()

    def abort(self, reset: bool = False) -> None:
        """Abort both connections; with `reset`, both gateways receive RST instead of FIN."""
        self.aborted = True
        self.links.connections.pop(self, None)
        for side in self.sides:
            if side is not None and side.transport is not None:
                if reset and (sock := side.transport.get_extra_info("socket")) is not None:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                side.transport.abort()


class _ProxySide(asyncio.Protocol):
    """The proxy's connection to one gateway: side 0 is the caller's, side 1 that of the called gateway."""

    def __init__(self, connection: _ProxiedConnection, side: int) -> None:
        self._connection, self._side = connection, side
        self.transport: asyncio.Transport | None = None
        sender, receiver = (
            (connection.caller, connection.called) if side == 0 else (connection.called, connection.caller)
        )
        self._direction = connection.links.directions[sender, receiver]
        # When bytes are due at the other side, and the bytes.
        self._queue: deque[tuple[float, bytes]] = deque()
        self._queued_bytes = 0
        self._timer: asyncio.TimerHandle | None = None
        self._eof_seen = self._write_paused = False
        self.has_gap = False  # bytes were dropped

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._connection.sides[self._side] = self
        if self._connection.aborted:
            transport.abort()
        elif self._side == 0:
            self._connection.links.connect(self._connection)
        elif (other_side := self._connection.sides[0]) is not None:
            other_side.forward()

    def data_received(self, data: bytes) -> None:
        direction, now = self._direction, asyncio.get_running_loop().time()
        if direction.cut or self.has_gap:
            direction.dropped_bytes += len(data)
            self.has_gap = True
            return
        for start in range(0, len(data), MAX_PIECE_BYTES):
            piece = data[start : start + MAX_PIECE_BYTES]
            due = now + direction.delay_ms / 1000.0
            if direction.bytes_per_s:
                direction.idle_at = max(direction.idle_at, now) + len(piece) / direction.bytes_per_s
                due = max(due, direction.idle_at)
            self._queue.append((max(due, self._queue[-1][0] if self._queue else 0.0), piece))
            self._queued_bytes += len(piece)
        if self._queued_bytes > MAX_QUEUED_BYTES and self.transport is not None:
            self.transport.pause_reading()
        self.forward()

    def forward(self) -> None:
        """Write the bytes that are due to the other side."""
        other_side, loop = self._connection.sides[1 - self._side], asyncio.get_running_loop()
        if other_side is None or other_side.transport is None or other_side.transport.is_closing():
            return
        while self._queue and self._queue[0][0] <= loop.time() and not other_side._write_paused:
            _, piece = self._queue.popleft()
            self._queued_bytes -= len(piece)
            if self._direction.cut:  # bytes in flight when the cut begins are dropped as well
                self._direction.dropped_bytes += len(piece)
                self.has_gap = True
            else:
                other_side.transport.write(piece)
        if (
            self._queued_bytes <= MAX_QUEUED_BYTES // 2
            and self.transport is not None
            and not self.transport.is_closing()
        ):
            self.transport.resume_reading()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._queue and not other_side._write_paused:
            self._timer = loop.call_at(self._queue[0][0], self.forward)
        elif self._eof_seen and not self._queue:
            if other_side._eof_seen and not other_side._queue:
                self._connection.abort()
            elif other_side.transport.can_write_eof():
                other_side.transport.write_eof()

    def pause_writing(self) -> None:
        """Called when the gateway reads slowly or is frozen: bytes for it stay queued."""
        self._write_paused = True

    def resume_writing(self) -> None:
        self._write_paused = False
        if (other_side := self._connection.sides[1 - self._side]) is not None:
            other_side.forward()

    def eof_received(self) -> bool:
        """Forward the end of the stream after all queued bytes; a cut drops it."""
        self.has_gap = self.has_gap or self._direction.cut
        self._eof_seen = not self.has_gap
        self.forward()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self.transport = None
        # A cut drops a reset as well: the other side's connection stays open and receives nothing more.
        if self._direction.cut and not self._connection.aborted:
            self.has_gap = True
        else:
            self._connection.abort()
