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

MOST_HELD = 1024 * 1024  # of one direction of one connection; reading pauses above it
MOST_PIECE = 64 * 1024  # largest piece forwarded at once, so that connections share a narrow link
CONNECT_S = 2.0


@dataclass
class Way:
    """The faults of the link from one gateway to another."""

    cut: bool = False
    delay_ms: float = 0.0
    resets: float = 0.0  # rate of connection resets a second
    bytes_s: float = 0.0  # bandwidth; 0: unlimited
    free_at: float = 0.0  # time at which a narrow link has sent all bytes queued so far
    lost: int = 0  # bytes dropped by cuts


class Links:
    """All links, listeners and connections between gateways, which are numbered from 0 here."""

    def __init__(self, gateways: int, rng: random.Random) -> None:
        self.gateways, self._rng = gateways, rng
        self.ways = {(i, j): Way() for i in range(gateways) for j in range(gateways) if i != j}
        self.ports: dict[tuple[int, int], int] = {}
        self.targets: dict[int, tuple[str, int]] = {}  # listen address of each gateway
        self.open: dict[_Pair, None] = {}
        self._listeners: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._timers: dict[tuple[int, int], asyncio.TimerHandle] = {}

    async def listen(self) -> None:
        """Open one listener for each ordered pair."""
        loop = asyncio.get_running_loop()
        for pair in self.ways:
            made = await loop.create_server(
                lambda pair=pair: _End(_Pair(self, *pair), 0),  # type: ignore[misc]
                "127.0.0.1",
                0,
                backlog=64,
            )
            self._listeners.append(made)
            self.ports[pair] = int(made.sockets[0].getsockname()[1])

    def connect(self, pair: _Pair) -> None:
        """Connect an accepted connection to the gateway that it is meant for."""
        self.open[pair] = None
        task = asyncio.get_running_loop().create_task(pair.connect(self.targets[pair.called]))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def happen(self, fault: Fault) -> None:
        """Inject a fault of the scenario."""
        if fault.word == "mend":
            self.mend()
            return
        first, second = (tuple(number - 1 for number in group) for group in fault.groups)
        ways = [(i, j) for i in first for j in second]
        if fault.mode != "one-way":
            ways += [(j, i) for i, j in ways]
        for key in ways:
            way = self.ways[key]
            if fault.word == "cut":
                way.cut = True
            elif fault.word == "delay":
                way.delay_ms = fault.amount
            elif fault.word == "narrow":
                way.bytes_s = fault.amount * 1000.0
            else:
                way.resets = fault.amount
                self._time_reset(key)

    def mend(self) -> None:
        """Remove all faults, and abort the connections that lost bytes."""
        for timer in self._timers.values():
            timer.cancel()
        self._timers.clear()
        for way in self.ways.values():
            way.cut, way.delay_ms, way.resets, way.bytes_s = False, 0.0, 0.0, 0.0
        for pair in list(self.open):
            if pair.waits or any(end is not None and end.gap for end in pair.ends):
                pair.end()

    def _time_reset(self, key: tuple[int, int]) -> None:
        if (old := self._timers.pop(key, None)) is not None:
            old.cancel()
        if (rate := self.ways[key].resets) > 0:
            self._timers[key] = asyncio.get_running_loop().call_later(
                self._rng.expovariate(rate), self._reset, key
            )

    def _reset(self, key: tuple[int, int]) -> None:
        for pair in list(self.open):
            if (pair.caller, pair.called) == key:
                pair.end(reset=True)
        self._time_reset(key)

    def joined(self, first: int, second: int) -> bool:
        """Whether neither direction between two gateways is cut."""
        return not (self.ways[first, second].cut or self.ways[second, first].cut)

    def close(self) -> None:
        """Close all listeners and connections."""
        self.mend()
        for made in self._listeners:
            made.close()
        for pair in list(self.open):
            pair.end()
        for task in self._tasks:
            task.cancel()


class _Pair:
    """One proxied connection from `caller` to `called`: the proxy's connections to both."""

    def __init__(self, owner: Links, caller: int, called: int) -> None:
        self.owner, self.caller, self.called = owner, caller, called
        self.ends: list[_End | None] = [None, None]
        self.waits = False  # whether the connection to `called` was delayed by a cut
        self.ended = False

    async def connect(self, address: tuple[str, int]) -> None:
        """Connect to `called` once no direction is cut; until then the caller's connection stays open, as SYNs
        would remain unanswered."""
        while not self.ended and not self.owner.joined(self.caller, self.called):
            self.waits = True
            await asyncio.sleep(0.02)
        if self.ended:
            return
        try:
            await asyncio.wait_for(
                asyncio.get_running_loop().create_connection(lambda: _End(self, 1), *address), CONNECT_S
            )
        except (OSError, TimeoutError):
            self.end()

    def end(self, reset: bool = False) -> None:
        """Abort both connections; with `reset`, both gateways receive RST instead of FIN."""
        self.ended = True
        self.owner.open.pop(self, None)
        for end in self.ends:
            if end is not None and end.transport is not None:
                if reset and (sock := end.transport.get_extra_info("socket")) is not None:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                end.transport.abort()


class _End(asyncio.Protocol):
    """The proxy's connection to one gateway: side 0 is the caller's, side 1 that of the called gateway."""

    def __init__(self, pair: _Pair, side: int) -> None:
        self._pair, self._side = pair, side
        self.transport: asyncio.Transport | None = None
        sender, receiver = (pair.caller, pair.called) if side == 0 else (pair.called, pair.caller)
        self._way = pair.owner.ways[sender, receiver]
        self._held: deque[tuple[float, bytes]] = (
            deque()
        )  # bytes for the other side, and when they are due there
        self._bytes = 0
        self._timer: asyncio.TimerHandle | None = None
        self._finished = self._full = False
        self.gap = False  # bytes were dropped

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._pair.ends[self._side] = self
        if self._pair.ended:
            transport.abort()
        elif self._side == 0:
            self._pair.owner.connect(self._pair)
        elif (other := self._pair.ends[0]) is not None:
            other.forward()

    def data_received(self, data: bytes) -> None:
        way, now = self._way, asyncio.get_running_loop().time()
        if way.cut or self.gap:
            way.lost += len(data)
            self.gap = True
            return
        for at in range(0, len(data), MOST_PIECE):
            piece = data[at : at + MOST_PIECE]
            due = now + way.delay_ms / 1000.0
            if way.bytes_s:
                way.free_at = max(way.free_at, now) + len(piece) / way.bytes_s
                due = max(due, way.free_at)
            self._held.append((max(due, self._held[-1][0] if self._held else 0.0), piece))
            self._bytes += len(piece)
        if self._bytes > MOST_HELD and self.transport is not None:
            self.transport.pause_reading()
        self.forward()

    def forward(self) -> None:
        """Write the bytes that are due to the other side."""
        other, loop = self._pair.ends[1 - self._side], asyncio.get_running_loop()
        if other is None or other.transport is None or other.transport.is_closing():
            return
        while self._held and self._held[0][0] <= loop.time() and not other._full:
            _, piece = self._held.popleft()
            self._bytes -= len(piece)
            if self._way.cut:  # bytes in flight when the cut begins are dropped as well
                self._way.lost += len(piece)
                self.gap = True
            else:
                other.transport.write(piece)
        if self._bytes <= MOST_HELD // 2 and self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._held and not other._full:
            self._timer = loop.call_at(self._held[0][0], self.forward)
        elif self._finished and not self._held:
            if other._finished and not other._held:
                self._pair.end()
            elif other.transport.can_write_eof():
                other.transport.write_eof()

    def pause_writing(self) -> None:
        """Called when the gateway reads slowly or is frozen: bytes for it stay queued."""
        self._full = True

    def resume_writing(self) -> None:
        self._full = False
        if (other := self._pair.ends[1 - self._side]) is not None:
            other.forward()

    def eof_received(self) -> bool:
        """Forward the end of the stream after all queued bytes; a cut drops it."""
        self.gap = self.gap or self._way.cut
        self._finished = not self.gap
        self.forward()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self.transport = None
        # A cut drops a reset as well: the other side's connection stays open and receives nothing more.
        if self._way.cut and not self._pair.ended:
            self.gap = True
        else:
            self._pair.end()
