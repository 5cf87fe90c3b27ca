"""Stand-ins for a gateway's peers on loopback, written from the protocol page and the RFCs.

The Diameter stand-ins encode their messages without the gateway's codec, so that tests detect faults of the codec.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import struct
from collections import Counter as Tally
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from badgeryoke.decisions import interface as api
from badgeryoke.gateway.application import GatewayApplication
from badgeryoke.gateway.config.model import Config, DiameterConfig
from badgeryoke.gateway.discovery.endpoint_list import EndpointSnapshot, read_endpoint_snapshot

NOW_MS = 1_790_000_000_000.0  # time of a fixed clock
NTP_EPOCH_OFFSET_S = 2_208_988_800  # from 1900 to 1970
HOST = "127.0.0.1"
Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Standin:
    """A server on its own port that keeps its connections, so that tests can drop or freeze them."""

    def __init__(self) -> None:
        self.writers: list[asyncio.StreamWriter] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.port = 0
        self.connections = 0

    async def __aenter__(self) -> Any:
        self.server = await asyncio.start_server(self._connected, HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_: object) -> None:
        self.server.close()
        self.drop()
        for task in list(self.tasks):
            task.cancel()

    def drop(self) -> None:
        """Reset all connections."""
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.writers.append(writer)
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await self.serve(reader, writer)
        self.tasks.discard(task)
        writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection; subclasses implement this."""
        raise NotImplementedError


# RESP2 ------------------------------------------------------------------------------------------------


async def read_reply(reader: asyncio.StreamReader) -> Any:
    """Read one RESP2 value; an error line is returned as its text."""
    line = (await reader.readuntil(b"\r\n"))[:-2]
    kind, rest = line[:1], line[1:]
    if kind == b"*":
        return [await read_reply(reader) for _ in range(int(rest))]
    if kind == b"$":
        return None if rest == b"-1" else (await reader.readexactly(int(rest) + 2))[:-2]
    return line.decode()


def resp(*words: str | bytes) -> bytes:
    """Encode a RESP2 command."""
    parts = [word.encode() if isinstance(word, str) else word for word in words]
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(p), p) for p in parts)


@dataclass
class RequestLedger:
    """What the servers of a run have received: units by customer, and idempotency keys."""

    units: Tally[int] = field(default_factory=Tally)
    keys: set[str] = field(default_factory=set)
    duplicate_count: int = 0
    arrived: asyncio.Event = field(default_factory=asyncio.Event)

    def record(self, customer: int, units: int, key: str) -> None:
        """Record a request; one with a known idempotency key counts as a duplicate."""
        self.units[customer] += units
        if key and key in self.keys:
            self.duplicate_count += 1
        elif key:
            self.keys.add(key)
        self.arrived.set()


class Backend(Standin):
    """A RESP2 backend; replies come from `script`, then each command is served."""

    def __init__(self, ledger: RequestLedger | None = None, script: list[bytes | None] | None = None) -> None:
        super().__init__()
        self.ledger = ledger or RequestLedger()
        self.script = list(script or [])  # None: no reply
        self.commands: list[list[bytes]] = []
        self.ended = asyncio.Event()  # set when the gateway closes a connection

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Reply to the commands of one connection."""
        try:
            while True:
                command = await read_reply(reader)
                self.commands.append(command)
                listed = dict(part.split("=") for part in command[3].decode().split(","))
                self.ledger.record(int(command[1], 16), int(listed["units"]), listed.get("k", ""))
                answer = (
                    self.script.pop(0)
                    if self.script
                    else (
                        b"*3\r\n$5\r\nvalue\r\n$13\r\nused=1,cost=%b\r\n$23\r\ninflight=1,latency_ms=9\r\n"
                        % listed["units"].encode()
                    )
                )
                if answer == b"RESET":
                    writer.transport.abort()
                    return
                if answer is not None:
                    writer.write(answer)
        except asyncio.IncompleteReadError:
            self.ended.set()


class Counter(Standin):
    """The counter; while `may_answer` is cleared, it counts calls and delays their replies."""

    def __init__(self) -> None:
        super().__init__()
        self.totals: Tally[str] = Tally()
        self.calls = 0
        self.may_answer: asyncio.Event = asyncio.Event()
        self.may_answer.set()
        self.answer: Callable[[bytes], bytes] = lambda total: b"$%d\r\n%b\r\n" % (len(total), total)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Count the calls of one connection and reply to them."""
        while True:
            verb, name, amount, _expire_ms = await read_reply(reader)
            assert verb == b"INCRTTL" and 1 <= len(name) <= 64
            self.calls += 1
            self.totals[name.decode()] += float(amount)  # type: ignore[assignment]
            total = b"%g" % self.totals[name.decode()]
            await self.may_answer.wait()
            writer.write(self.answer(total))

    @property
    def units(self) -> float:
        """The sum of all totals."""
        return sum(self.totals.values())


class Discovery(Standin):
    """A discovery agent: sends the complete list, and answers long polls at a change."""

    def __init__(self, *servers: dict[str, Any]) -> None:
        super().__init__()
        self.version, self.servers = 1, list(servers)
        self.changes: list[dict[str, Any]] = []
        self.changed = asyncio.Event()
        self.calls: list[str] = []
        self.raw: list[bytes] = []  # response bodies to send instead of the list

    def change(self, entry: dict[str, Any]) -> None:
        """Publish a change to the waiting poll."""
        self.version += 1
        self.changes = [entry]
        self.changed.set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the polls of one connection."""
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            path = head.split(" ")[1]
            self.calls.append(path)
            is_long_poll = "after=" in path
            if is_long_poll and not self.raw:
                await self.changed.wait()
                self.changed.clear()
            body = (
                self.raw.pop(0)
                if self.raw
                else json.dumps(
                    {
                        "version": self.version,
                        "full": not is_long_poll,
                        "servers": self.changes if is_long_poll else self.servers,
                    }
                ).encode()
            )
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


def entry(name: str, port: int, state: str = "active", kind: str = "std") -> dict[str, Any]:
    """Return an endpoint as the discovery agent lists it."""
    return {
        "id": name,
        "addr": f"{HOST}:{port}",
        "zone": "a",
        "kind": kind,
        "cell": 0,
        "state": state,
        "weight": 1.0,
        "started_ms": 0,
    }


# Diameter ---------------------------------------------------------------------------------------------


def avp(code: int, data: bytes | str | int, flags: int = 0x40, vendor: int = 0) -> bytes:
    """Encode an AVP (RFC 6733, 4.1); a number is an Unsigned32."""
    if isinstance(data, int):
        data = struct.pack(">I", data)
    raw = data.encode() if isinstance(data, str) else data
    head = 12 if vendor else 8
    word = (flags | (0x80 if vendor else 0)) << 24 | (head + len(raw))
    return (
        struct.pack(">II", code, word)
        + (struct.pack(">I", vendor) if vendor else b"")
        + raw
        + b"\0" * (-len(raw) % 4)
    )


def message(flags: int, command: int, app: int, hop: int, end: int, body: bytes) -> bytes:
    """Encode a message (RFC 6733, 3)."""
    return struct.pack(">IIIII", 1 << 24 | (20 + len(body)), flags << 24 | command, app, hop, end) + body


def avps(body: bytes) -> dict[int, bytes]:
    """Return the data of the AVPs by code; of several with one code, the first."""
    values: dict[int, bytes] = {}
    at = 0
    while at < len(body):
        code, word = struct.unpack_from(">II", body, at)
        head, length = (12 if word >> 31 else 8), word & 0xFFFFFF
        values.setdefault(code, body[at + head : at + length])
        at += length + (-length % 4)
    return values


@dataclass
class ReceivedMessage:
    """A received message."""

    flags: int
    command: int
    hop: int
    end: int
    avps: dict[int, bytes]

    @property
    def result(self) -> int:
        """The Result-Code."""
        return struct.unpack(">I", self.avps[268])[0]  # type: ignore[no-any-return]


async def read_message(reader: asyncio.StreamReader) -> ReceivedMessage:
    """Read one Diameter message."""
    head = await reader.readexactly(20)
    first, second, _app, hop, end = struct.unpack(">IIIII", head)
    body = await reader.readexactly((first & 0xFFFFFF) - 20)
    return ReceivedMessage(second >> 24, second & 0xFFFFFF, hop, end, avps(body))


def cer(host: str = "pos.example", app: int = 4, hop: int = 1) -> bytes:
    """Encode a Capabilities-Exchange-Request."""
    return message(
        0x80,
        257,
        0,
        hop,
        hop,
        avp(264, host)
        + avp(296, "example")
        + avp(257, b"\0\x01\x7f\0\0\1")
        + avp(266, 0)
        + avp(269, "pos", 0)
        + avp(258, app),
    )


def ccr(
    end: int,
    session: str = "",
    number: int = 0,
    action: int = 0,
    units: int = 2,
    customer: int = 5,
    flags: int = 0xC0,
    hop: int | None = None,
    service: int = 1,
    extra: bytes = b"",
    leave_out: int = 0,
    host: str = "pos.example",
    realm: str = "yoke.example",
) -> bytes:
    """Encode an event-based Credit-Control-Request (RFC 8506, 3.1)."""
    parts = {
        263: avp(263, session or f"pos.example;1;{end}"),
        264: avp(264, host),
        296: avp(296, "example"),
        283: avp(283, realm),
        258: avp(258, 4),
        461: avp(461, "load@example"),
        416: avp(416, 4),
        415: avp(415, number),
        436: avp(436, action),
        443: avp(443, avp(450, 4) + avp(444, f"{customer:016x}")),
        439: avp(439, service),
        437: avp(437, avp(417, struct.pack(">Q", units))),
    }
    parts.pop(leave_out, None)
    return message(flags, 272, 4, end if hop is None else hop, end, b"".join(parts.values()) + extra)


def event_time(ms: float) -> bytes:
    """Encode an Event-Timestamp AVP for a Unix time in ms."""
    return avp(55, int(ms / 1000) + NTP_EPOCH_OFFSET_S)


SERVER_IDENTITY = avp(264, "node.example") + avp(296, "yoke.example")


def _units(request: ReceivedMessage) -> int:
    units: int = struct.unpack(">Q", avps(request.avps[437])[417])[0]
    return units


def credit_control_answer(request: ReceivedMessage, result: int = 2001) -> bytes:
    """Encode a server's answer to a Credit-Control-Request."""
    body = (
        avp(263, request.avps[263])
        + avp(268, result)
        + SERVER_IDENTITY
        + avp(258, 4)
        + avp(416, 4)
        + avp(415, request.avps[415])
        + avp(431, avp(417, struct.pack(">Q", _units(request))))
        + avp(440, avp(441, 1) + avp(442, "value"))
    )
    flags = 0x60 if 3000 <= result < 4000 else 0x40
    return message(flags, 272, 4, request.hop, request.end, body)


class DiameterServer(Standin):
    """A credit-control server; its Result-Codes come from `script`, then 2001.  None: no answer."""

    def __init__(self, ledger: RequestLedger | None = None, script: list[int | None] | None = None) -> None:
        super().__init__()
        self.ledger = ledger or RequestLedger()
        self.script = list(script or [])
        self.received: list[ReceivedMessage] = []
        self.disconnect_requested = asyncio.Event()  # set when a DPR arrives

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection."""
        while True:
            request = await read_message(reader)
            if request.command == 272:
                self.received.append(request)
                customer = int(avps(request.avps[443])[444], 16)
                keyed = request.avps[436] == b"\0\0\0\0"
                self.ledger.record(
                    customer, _units(request), request.avps[263].decode().split(";")[-1] if keyed else ""
                )
                result = self.script.pop(0) if self.script else 2001
                if result is not None:
                    writer.write(credit_control_answer(request, result))
                continue
            if request.command == 282:
                self.disconnect_requested.set()
            body = avp(268, 2001) + SERVER_IDENTITY + (avp(258, 4) if request.command == 257 else b"")
            writer.write(message(0, request.command, 0, request.hop, request.end, body))


# A gateway --------------------------------------------------------------------------------------------

SAFE = api.RequestClass("balance-check", 30_000.0, 60_000.0, api.Idempotency.IDEMPOTENT)
KEYED = api.RequestClass(
    "load-send", 30_000.0, 60_000.0, api.Idempotency.WITH_KEY, api.DeduplicationScope.ALL, 1000.0, 2.0
)


def settings(index: int = 0, **changes: Any) -> api.Settings:
    """Return settings under which no decision depends on how busy the machine is."""
    fields: dict[str, Any] = {
        "gateway_index": index,
        "gateway_count": 2,
        "zone": "a",
        "tick_ms": 4.0,
        "classes": (SAFE, KEYED),
        "plans": (
            api.Plan("dealer", rate=0.001, burst=1000.0, over_quota_cost=1.2),
            api.Plan("small", rate=0.001, burst=12.0, over_quota_cost=1.2),
            api.Plan("free"),
        ),
        "has_counter": True,
        "counter_timeout_ms": 10_000.0,
        "max_request_units": 6.0,
        "max_attempts": 3,
        "can_cancel": True,
        "slow_start_ms": 0.0,
    }
    return api.Settings(**{**fields, **changes})


def config(
    discovery: int,
    counter: int | None,
    known: EndpointSnapshot | None = None,
    diameter: bool = False,
    index: int = 0,
    **changes: Any,
) -> Config:
    """Return a gateway configuration for the ports of a discovery agent and a counter."""
    plans = {1: "dealer", 2: "small", 3: "free"}
    diameter_config = DiameterConfig(
        (HOST, 0),
        f"gw{index}.yoke.example",
        "yoke.example",
        plans,
        frozenset({"diameter"}),
        frozenset(),
        0.0,
        30.0,
        240.0,
    )
    return Config(
        name="g",
        listen=(HOST, 0),
        discovery=(HOST, discovery),
        counter=(HOST, counter) if counter else None,
        seed=7,
        sockets=1024,
        memory_mb=192.0,
        known=known,
        settings=settings(index, has_counter=counter is not None, **changes),
        report_names=("latency_ms", "inflight"),
        connect_ms=5000.0,
        idle_ms=30_000.0,
        drain_s=0.0,
        diameter=diameter_config if diameter else None,
    )


def endpoint_snapshot(*servers: dict[str, Any]) -> EndpointSnapshot:
    """Return a snapshot of a complete endpoint list."""
    return read_endpoint_snapshot({"version": 1, "full": True, "servers": list(servers)})


@contextlib.asynccontextmanager
async def gateway(
    gateway_config: Config, clock: Callable[[], float] = lambda: NOW_MS
) -> AsyncIterator[GatewayApplication]:
    """Run a gateway: yields it once it is ready, and shuts it down gracefully at the end."""
    app = GatewayApplication(gateway_config, clock)
    app.start()
    while gateway_config.known is not None and not app.parts.discovery.ready:
        await asyncio.sleep(0)
    try:
        yield app
    finally:
        app.end()
        await app.done.wait()


@contextlib.asynccontextmanager
async def one_gateway(
    *, script: Any = None, kind: str = "std", counter: int | None = None, diameter: bool = False
) -> AsyncIterator[tuple[GatewayApplication, Any, Discovery]]:
    """Run a gateway in front of one server of the kind; yields gateway, server and discovery agent."""
    stand_in = DiameterServer(script=script) if kind == "diameter" else Backend(script=script)
    async with stand_in as server, Discovery(entry("a", server.port, kind=kind)) as agent:
        known = endpoint_snapshot(entry("a", server.port, kind=kind))
        async with gateway(config(agent.port, counter, known, diameter)) as app:
            yield app, server, agent


async def connect(address: tuple[str, int]) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection to an address."""
    return await asyncio.open_connection(*address[:2])


def query(
    rid: str = "r1",
    cls: str = "balance-check",
    units: int = 1,
    customer: int = 5,
    plan: str = "dealer",
    key: str = "",
    d: int = 60_000,
    body: str | None = None,
) -> bytes:
    """Encode a request as a RESP2 command; with a key it is SVC.SUBMIT."""
    listed = f"c={cls},t={plan},d={d}{',k=' + key if key else ''},units={units},spread=2,first=0"
    words = ["SVC.SUBMIT" if key else "SVC.QUERY", f"{customer:016x}", rid, listed]
    return resp(*words, *([body] if body is not None else []))
