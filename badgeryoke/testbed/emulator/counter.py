"""The counter on sockets: one listener for each gateway, so that faults can separate single gateways from it.

Its contents and faults are those of the simulator's `CounterModel`, run in real time.
"""

from __future__ import annotations

import asyncio

from badgeryoke.testbed.emulator.resp import RespConnection
from badgeryoke.testbed.scenario.model import Fault
from badgeryoke.testbed.simulation.counter import CounterModel


class CounterServer:
    """The counter's listeners, one for each gateway, and their connections."""

    def __init__(self, model: CounterModel, gateways: int) -> None:
        self.model, self._gateways = model, gateways
        self.ports: list[int] = []
        self._listeners: list[asyncio.Server] = []
        self.connections: set[_GatewayConnection] = set()
        self.started_s = 0.0
        self.calls = 0

    async def open(self) -> None:
        """Listen on ports that the system chooses."""
        self.started_s = asyncio.get_running_loop().time()
        self.ports = [await self._listen(gateway, 0) for gateway in range(self._gateways)]

    async def _listen(self, gateway: int, port: int) -> int:
        listener = await asyncio.get_running_loop().create_server(
            lambda: _GatewayConnection(self, gateway), "127.0.0.1", port, backlog=64
        )
        self._listeners.append(listener)
        return int(listener.sockets[0].getsockname()[1])

    def close(self) -> None:
        """Close all listeners and connections."""
        for listener in self._listeners:
            listener.close()
        self._listeners.clear()
        for connection in list(self.connections):
            connection.abort()

    async def inject_fault(self, fault: Fault) -> None:
        """Inject a fault."""
        self.model.inject_fault(self.now, fault)
        if fault.word == "kill" and fault.mode != "part":
            self.close()
        elif fault.word == "start" and fault.mode != "part" and not self._listeners:
            for gateway, port in enumerate(self.ports):
                await self._listen(gateway, port)

    @property
    def now(self) -> float:
        """The model's time: ms since `open`."""
        return (asyncio.get_running_loop().time() - self.started_s) * 1000.0


class _GatewayConnection(RespConnection):
    """One connection of a gateway; replies keep the order of the calls."""

    def __init__(self, server: CounterServer, gateway: int) -> None:
        super().__init__()
        self._server, self._gateway = server, gateway
        self._last_reply_ms = 0.0

    def connected(self) -> None:
        self._server.connections.add(self)

    def disconnected(self) -> None:
        self._server.connections.discard(self)

    def value_received(self, value: object) -> None:
        server = self._server
        if not isinstance(value, list) or not value:
            self.abort()
            return
        if value[0] != b"INCRTTL" or len(value) != 4:
            self.write(b"+PONG\r\n" if value[0] == b"PING" else b"-ERR no such call\r\n")
            return
        server.calls += 1
        key, units, lifetime_ms = (part for part in value[1:] if isinstance(part, bytes))
        now = server.now
        answer = server.model.call(now, self._gateway, int(key), float(units), float(lifetime_ms))
        if answer.outcome == "silent":
            return
        if answer.outcome in ("full", "refused"):
            data = b"-BUSY\r\n"
        elif answer.outcome == "spoilt":
            data = b"$4\r\nnone\r\n"
        else:
            total = f"{answer.total:.7g}".encode()
            data = b"$%d\r\n%b\r\n" % (len(total), total)
        self._last_reply_ms = max(answer.at_ms, self._last_reply_ms)
        asyncio.get_running_loop().call_at(server.started_s + self._last_reply_ms / 1000.0, self.write, data)
