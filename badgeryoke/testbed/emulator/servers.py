"""Emulated servers: cores, a bounded queue, slow start, BUSY rejections, and outdated load reports."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from badgeryoke.testbed.emulator.resp import RespConnection

REPORT_MS = (120.0, 740.0)  # between two updates of the load that a server reports
CORES = 2
COLD_SPEED_FRACTION, WARM_UP_MS = 0.25, 10_000.0

# Called for each command with the customer, the request id, the fields, and the gateway whose address it came to.
CommandCallback = Callable[[int, str, dict[str, str], int], None]


class LoadServer:
    """One server.  Each gateway has its own address for it, so that the quota checker can attribute requests."""

    def __init__(
        self,
        number: int,
        work_ms: tuple[float, float],
        slots: int,
        cores: int,
        seed: int,
        on_command: CommandCallback,
        cold: bool = False,
    ) -> None:
        self.number, self._work_ms, self._slots, self._cores = number, work_ms, slots, cores
        self._rng = random.Random(f"server/{seed}/{number}")
        self._on_command = on_command
        self._core_free_s = [0.0] * cores
        self._in_service = 0
        self._mean_latency_ms = sum(work_ms) / 2
        self._reported_load, self._next_report_s = (self._mean_latency_ms, 0), 0.0
        self._started_s = 0.0
        self._cold = cold
        self.ports: dict[int, int] = {}  # by gateway
        self.open_connections: dict[int, int] = {}  # connections, by gateway
        self.max_open_connections = 0  # connections at one time, over all gateways
        self._listeners: list[asyncio.Server] = []

    async def open(self, gateways: int) -> None:
        """Open one listener for each gateway."""
        loop = asyncio.get_running_loop()
        self._started_s = loop.time()
        for gateway in range(gateways):
            listener = await loop.create_server(
                lambda number=gateway: _GatewayConnection(self, number),  # type: ignore[misc]
                "127.0.0.1",
                0,
                backlog=256,
            )
            self._listeners.append(listener)
            self.ports[gateway] = listener.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Close all listeners."""
        for listener in self._listeners:
            listener.close()

    def handle_command(self, connection: _GatewayConnection, gateway: int, command: list[object]) -> None:
        """Queue a command on the core that becomes free first, or reject it with BUSY if the queue is full."""
        if len(command) < 4 or command[0] not in (b"SVC.QUERY", b"SVC.SUBMIT"):
            connection.write(
                b"+OK\r\n" if command and command[0] in (b"CLIENT", b"SELECT") else b"-SYNTAX\r\n"
            )
            return
        customer, request_id, field_list = (part.decode() for part in command[1:4] if isinstance(part, bytes))
        fields = dict(pair.split("=", 1) for pair in field_list.split(","))
        self._on_command(int(customer, 16), request_id, fields, gateway)
        if self._in_service >= self._slots:
            connection.write(b"-BUSY\r\n")
            return
        loop = asyncio.get_running_loop()
        now, core = loop.time(), min(range(self._cores), key=self._core_free_s.__getitem__)
        work_s = self._rng.uniform(*self._work_ms) / 1000.0
        if self._cold:
            speed = min(
                COLD_SPEED_FRACTION
                + (1 - COLD_SPEED_FRACTION) * (now - self._started_s) * 1000.0 / WARM_UP_MS,
                1.0,
            )
            work_s /= speed
        start_s = max(now, self._core_free_s[core])
        self._core_free_s[core] = start_s + work_s
        self._in_service += 1
        self._mean_latency_ms += 0.2 * (work_s * 1000.0 - self._mean_latency_ms)
        loop.call_at(start_s + work_s, self._finish, connection, fields)

    def _finish(self, connection: _GatewayConnection, fields: dict[str, str]) -> None:
        self._in_service -= 1
        now = asyncio.get_running_loop().time()
        if now >= self._next_report_s:
            self._reported_load = self._mean_latency_ms, self._in_service
            self._next_report_s = now + self._rng.uniform(*REPORT_MS) / 1000.0
        usage = f"used=0,cost={fields.get('units', '1')}".encode()
        report = f"lat_ms={self._reported_load[0]:.1f},rif={self._reported_load[1]}".encode()
        connection.write(
            b"*3\r\n$5\r\nvalue\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n" % (len(usage), usage, len(report), report)
        )


class _GatewayConnection(RespConnection):
    """One connection of a gateway."""

    def __init__(self, server: LoadServer, gateway: int) -> None:
        super().__init__()
        self._server, self._gateway = server, gateway

    def connected(self) -> None:
        open_by_gateway = self._server.open_connections
        open_by_gateway[self._gateway] = open_by_gateway.get(self._gateway, 0) + 1
        self._server.max_open_connections = max(
            self._server.max_open_connections, sum(open_by_gateway.values())
        )

    def disconnected(self) -> None:
        self._server.open_connections[self._gateway] -= 1

    def value_received(self, value: object) -> None:
        if isinstance(value, list):
            self._server.handle_command(self, self._gateway, value)
        else:
            self.abort()
