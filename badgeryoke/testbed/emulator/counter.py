"""The counter on sockets: one listener for each gateway, so that faults can separate single gateways from it.

Its contents and faults are those of the simulator's `CounterModel`, run in real time.
"""

from __future__ import annotations

import asyncio

from badgeryoke.testbed.emulator.resp import Peer
from badgeryoke.testbed.scenario.model import Fault
from badgeryoke.testbed.simulation.counter import CounterModel


class CounterStage:
    """The counter's listeners, one for each gateway, and their connections."""

    def __init__(self, model: CounterModel, gateways: int) -> None:
        self.model, self._gateways = model, gateways
        self.ports: list[int] = []
        self._listeners: list[asyncio.Server] = []
        self.links: set[_Link] = set()
        self.begun = 0.0
        self.calls = 0

    async def open(self) -> None:
        """Listen on ports that the system chooses."""
        self.begun = asyncio.get_running_loop().time()
        self.ports = [await self._listen(gateway, 0) for gateway in range(self._gateways)]

    async def _listen(self, gateway: int, port: int) -> int:
        made = await asyncio.get_running_loop().create_server(
            lambda: _Link(self, gateway), "127.0.0.1", port, backlog=64
        )
        self._listeners.append(made)
        return int(made.sockets[0].getsockname()[1])

    def close(self) -> None:
        """Close all listeners and connections."""
        for made in self._listeners:
            made.close()
        self._listeners.clear()
        for link in list(self.links):
            link.end()

    async def happen(self, fault: Fault) -> None:
        """Inject a fault."""
        self.model.happen(self.now, fault)
        if fault.word == "kill" and fault.mode != "part":
            self.close()
        elif fault.word == "start" and fault.mode != "part" and not self._listeners:
            for gateway, port in enumerate(self.ports):
                await self._listen(gateway, port)

    @property
    def now(self) -> float:
        """The model's time: ms since `open`."""
        return (asyncio.get_running_loop().time() - self.begun) * 1000.0


class _Link(Peer):
    """One connection of a gateway; replies keep the order of the calls."""

    def __init__(self, owner: CounterStage, gateway: int) -> None:
        super().__init__()
        self._owner, self._gateway = owner, gateway
        self._last = 0.0

    def begun(self) -> None:
        self._owner.links.add(self)

    def ended(self) -> None:
        self._owner.links.discard(self)

    def got(self, value: object) -> None:
        owner = self._owner
        if not isinstance(value, list) or not value:
            self.end()
            return
        if value[0] != b"INCRTTL" or len(value) != 4:
            self.write(b"+PONG\r\n" if value[0] == b"PING" else b"-ERR no such call\r\n")
            return
        owner.calls += 1
        name, units, life = (part for part in value[1:] if isinstance(part, bytes))
        now = owner.now
        answer = owner.model.call(now, self._gateway, int(name), float(units), float(life))
        if answer.fate == "silent":
            return
        if answer.fate in ("full", "refused"):
            data = b"-BUSY\r\n"
        elif answer.fate == "spoilt":
            data = b"$4\r\nnone\r\n"
        else:
            total = f"{answer.total:.7g}".encode()
            data = b"$%d\r\n%b\r\n" % (len(total), total)
        self._last = max(answer.at_ms, self._last)
        asyncio.get_running_loop().call_at(owner.begun + self._last / 1000.0, self.write, data)
