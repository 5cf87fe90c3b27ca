"""Emulated servers: cores, a bounded queue, slow start, BUSY rejections, and outdated load reports."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from badgeryoke.testbed.emulator.resp import Peer

REPORT_MS = (120.0, 740.0)  # between two updates of the load that a server reports
CORES = 2
COLD_PART, WARM_MS = 0.25, 10_000.0

# Called for each command with the customer, the request id, the fields, and the gateway whose address it came to.
Arrived = Callable[[int, str, dict[str, str], int], None]


class LoadServer:
    """One server.  Each gateway has its own address for it, so that the quota checker can attribute requests."""

    def __init__(
        self,
        number: int,
        work_ms: tuple[float, float],
        slots: int,
        cores: int,
        seed: int,
        arrived: Arrived,
        cold: bool = False,
    ) -> None:
        self.number, self._work, self._slots, self._cores = number, work_ms, slots, cores
        self._rng = random.Random(f"server/{seed}/{number}")
        self._arrived = arrived
        self._free = [0.0] * cores
        self._held = 0
        self._latency = sum(work_ms) / 2
        self._said, self._say_at = (self._latency, 0), 0.0
        self._started = 0.0
        self._cold = cold
        self.ports: dict[int, int] = {}  # by gateway
        self.open_links: dict[int, int] = {}  # connections, by gateway
        self.most_open = 0  # connections at one time, over all gateways
        self._listeners: list[asyncio.Server] = []

    async def open(self, gateways: int) -> None:
        """Open one listener for each gateway."""
        loop = asyncio.get_running_loop()
        self._started = loop.time()
        for gateway in range(gateways):
            made = await loop.create_server(
                lambda number=gateway: _Link(self, number),  # type: ignore[misc]
                "127.0.0.1",
                0,
                backlog=256,
            )
            self._listeners.append(made)
            self.ports[gateway] = made.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Close all listeners."""
        for made in self._listeners:
            made.close()

    def take(self, link: _Link, gateway: int, command: list[object]) -> None:
        """Queue a command on the core that becomes free first, or reject it with BUSY if the queue is full."""
        if len(command) < 4 or command[0] not in (b"SVC.QUERY", b"SVC.SUBMIT"):
            link.write(b"+OK\r\n" if command and command[0] in (b"CLIENT", b"SELECT") else b"-SYNTAX\r\n")
            return
        customer, rid, listed = (part.decode() for part in command[1:4] if isinstance(part, bytes))
        fields = dict(part.split("=", 1) for part in listed.split(","))
        self._arrived(int(customer, 16), rid, fields, gateway)
        if self._held >= self._slots:
            link.write(b"-BUSY\r\n")
            return
        loop = asyncio.get_running_loop()
        now, core = loop.time(), min(range(self._cores), key=self._free.__getitem__)
        work = self._rng.uniform(*self._work) / 1000.0
        if self._cold:
            part = min(COLD_PART + (1 - COLD_PART) * (now - self._started) * 1000.0 / WARM_MS, 1.0)
            work /= part
        begin = max(now, self._free[core])
        self._free[core] = begin + work
        self._held += 1
        self._latency += 0.2 * (work * 1000.0 - self._latency)
        loop.call_at(begin + work, self._done, link, fields)

    def _done(self, link: _Link, fields: dict[str, str]) -> None:
        self._held -= 1
        now = asyncio.get_running_loop().time()
        if now >= self._say_at:
            self._said = self._latency, self._held
            self._say_at = now + self._rng.uniform(*REPORT_MS) / 1000.0
        use = f"used=0,cost={fields.get('units', '1')}".encode()
        report = f"lat_ms={self._said[0]:.1f},rif={self._said[1]}".encode()
        link.write(b"*3\r\n$5\r\nvalue\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n" % (len(use), use, len(report), report))


class _Link(Peer):
    """One connection of a gateway."""

    def __init__(self, owner: LoadServer, gateway: int) -> None:
        super().__init__()
        self._owner, self._gateway = owner, gateway

    def begun(self) -> None:
        held = self._owner.open_links
        held[self._gateway] = held.get(self._gateway, 0) + 1
        self._owner.most_open = max(self._owner.most_open, sum(held.values()))

    def ended(self) -> None:
        self._owner.open_links[self._gateway] -= 1

    def got(self, value: object) -> None:
        if isinstance(value, list):
            self._owner.take(self, self._gateway, value)
        else:
            self.end()
