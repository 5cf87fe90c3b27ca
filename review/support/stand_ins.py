"""Stand-ins of a gateway's peers on loopback, and the start of real gateway processes.

Written from the protocol and deployment pages (RESP2, discovery, counter) and from RFC 6733 and RFC 8506 (Diameter),
with the standard library only.  Nothing of the project is imported: gateways run as processes of their own.
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import json
import os
import signal
import socket
import struct
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

HOST = "127.0.0.1"
REPOSITORY = Path(__file__).resolve().parents[2]
NTP_EPOCH_OFFSET_S = 2_208_988_800
PR_SET_PDEATHSIG = 1  # of Linux's prctl


def now_ms() -> float:
    """Unix time, ms."""
    return time.time() * 1000.0


def free_port() -> int:
    """A port on loopback that nothing listens on."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


def end_with_parent(number: signal.Signals) -> None:
    """Have the system send this process a signal when its parent has ended, however that comes about."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, int(number))


class Record:
    """The record of a run: lines with the time since its start, written to a file."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_s = time.time()

    def write(self, text: str) -> None:
        """Add a line to the file."""
        self._file.write(f"{(time.time() - self._started_s) * 1000.0:9.1f} ms  {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Add a line to the file and print it."""
        self.write(text)
        print(text, flush=True)


# RESP2 ------------------------------------------------------------------------------------------------


async def read_reply(reader: asyncio.StreamReader) -> Any:
    """Read one RESP2 value; an error or a status line is returned as its text with its type byte."""
    line = (await reader.readuntil(b"\r\n"))[:-2]
    kind, rest = line[:1], line[1:]
    if kind == b"*":
        return [await read_reply(reader) for _ in range(int(rest))]
    if kind == b"$":
        return None if rest == b"-1" else (await reader.readexactly(int(rest) + 2))[:-2]
    return line.decode()


def command(*words: str | bytes) -> bytes:
    """Encode a RESP2 command."""
    parts = [word.encode() if isinstance(word, str) else word for word in words]
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class StandIn:
    """A server on a free port of loopback."""

    def __init__(self) -> None:
        self.port = 0
        self.tasks: set[asyncio.Task[None]] = set()  # a task without a reference could be collected
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._connected, HOST, 0, limit=8 * 1024 * 1024)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await self.serve(reader, writer)
        writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        raise NotImplementedError

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()


@dataclass
class Execution:
    """One request that a load server began to run, or dropped as a repeat."""

    at_ms: float
    server: str
    request_id: str
    key: str
    body: bytes
    ran: bool


@dataclass
class Ledger:
    """What all load servers of a run have received; those of one group share which keys they have seen."""

    window_ms: float
    executions: list[Execution] = field(default_factory=list)
    _seen_ms: dict[tuple[str, str], float] = field(default_factory=dict)

    def begin(self, server: str, group: str, request_id: str, key: str, body: bytes) -> Execution:
        """Record a request whose last byte has arrived; a repeat within its group and window is dropped."""
        at_ms = now_ms()
        first_ms = self._seen_ms.get((group, key)) if key else None
        ran = first_ms is None or at_ms - first_ms >= self.window_ms
        if key and ran:
            self._seen_ms[group, key] = at_ms
        execution = Execution(at_ms, server, request_id, key, body, ran)
        self.executions.append(execution)
        return execution

    def runs_of(self, body: bytes) -> list[Execution]:
        """The executions of the request with this body that were not dropped as repeats."""
        return [execution for execution in self.executions if execution.body == body and execution.ran]


class LoadServer(StandIn):
    """A load server on RESP2: serves each request after `work_s`, in the order of its connection.

    `group`: the servers that drop repeats of what one of them has received.
    """

    def __init__(
        self, name: str, ledger: Ledger, record: Record, work_s: float = 0.02, group: str = "all"
    ) -> None:
        super().__init__()
        self.name, self.ledger, self.record = name, ledger, record
        self.work_s, self.group = work_s, group

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the commands of one connection."""
        while True:
            words = await read_reply(reader)
            if words[0].upper() not in (b"SVC.QUERY", b"SVC.SUBMIT"):
                writer.write(b"+PONG\r\n" if words[0].upper() == b"PING" else b"-ERR unknown\r\n")
                continue
            fields = dict(part.split("=", 1) for part in words[3].decode().split(","))
            body = words[4] if len(words) > 4 else b""
            execution = self.ledger.begin(self.name, self.group, words[2].decode(), fields.get("k", ""), body)
            self.record.write(
                f"server {self.name} received id {execution.request_id} key {execution.key or '-'} "
                f"body {body.decode(errors='replace') or '-'}: "
                f"{'runs' if execution.ran else 'dropped as a repeat'}"
            )
            await self.answer(writer, execution, fields)

    async def answer(
        self, writer: asyncio.StreamWriter, execution: Execution, fields: dict[str, str]
    ) -> None:
        """Write the answer to one request."""
        await asyncio.sleep(self.work_s)
        writer.write(served(f"value-{execution.request_id}".encode(), fields["units"]))
        await writer.drain()


def served(value: bytes, units: str) -> bytes:
    """A good answer: the value, the figures on use, the load report."""
    usage, report = f"used=1,cost={units}".encode(), b"inflight=1,latency_ms=20"
    return b"*3\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in (value, usage, report))


class Counter(StandIn):
    """The quota counter: INCRTTL, answered with the total."""

    def __init__(self) -> None:
        super().__init__()
        self.totals: dict[bytes, float] = {}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls of one connection."""
        while True:
            words = await read_reply(reader)
            if words[0].upper() == b"INCRTTL":
                total = self.totals[words[1]] = self.totals.get(words[1], 0.0) + float(words[2])
                text = f"{total:.7g}".encode()
                writer.write(b"$%d\r\n%b\r\n" % (len(text), text))
            else:
                writer.write(b"+PONG\r\n" if words[0].upper() == b"PING" else b"+OK\r\n")


class Discovery(StandIn):
    """Discovery's agent: the whole list, and watches that wait for a newer version."""

    def __init__(self, servers: list[dict[str, Any]]) -> None:
        super().__init__()
        self.servers, self.version = servers, 41

    def document(self, full: bool) -> dict[str, Any]:
        """The list in discovery's form; without `full`, an answer with no changes."""
        return {"version": self.version, "full": full, "servers": self.servers if full else []}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls of one connection."""
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            target = head.split(" ", 2)[1]
            full = "after=" not in target
            if not full:
                query = dict(part.split("=") for part in target.partition("?")[2].split("&"))
                full = int(query["after"]) != self.version
                if not full:
                    await asyncio.sleep(int(query["wait_ms"]) / 1000.0)
            body = json.dumps(self.document(full)).encode()
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body)
                + body
            )


def listed(name: str, port: int, zone: str = "hall-a") -> dict[str, Any]:
    """An entry of discovery's list: a server that has been up for long."""
    return {
        "id": name,
        "addr": f"{HOST}:{port}",
        "zone": zone,
        "kind": "std-2core",
        "cell": 0,
        "state": "active",
        "weight": 1.0,
        "started_ms": 0,
    }


# Settings and gateways --------------------------------------------------------------------------------


def settings(index: int, gateways: int) -> dict[str, Any]:
    """The settings of a small deployment: those of the wire page's example, with wide quotas and no ceiling."""
    plan = {
        "beyond_costs": 0.5,
        "cap_depth": 0.0,
        "hard_rate": 0.0,
        "most_at_once": 4000.0,
        "name": "dealer",
        "open": 0,
        "over_worth": 0.0,
        "tolerance": 0.0,
        "units_per_s": 2000.0,
        "worth_factor": 1.0,
    }
    check = {
        "deadline_ms": 2000.0,
        "group": "all",
        "idempotency": "idempotent",
        "late_share": 0.0,
        "name": "balance-check",
        "slo_ms": 400.0,
        "stream": False,
        "window_ms": 5000.0,
        "worth": 1.0,
    }
    load = check | {
        "idempotency": "deduplicated",
        "name": "load-send",
        "slo_ms": 750.0,
        "window_ms": 1000.0,
        "worth": 2.0,
    }
    return {
        "charges": {},
        "classes": [check, load],
        "clients": {"marks_retry": True},
        "contracts": [plan],
        "discovery": "automatic",
        "family_info": {
            "counter_price": 0.01,
            "counter_timeout_ms": 50.0,
            "has_counter": True,
            "max_units": 6,
            "meter_period_ms": 0.0,
            "peer_intake": 0.0,
            "trued_up": True,
        },
        "feedback": {"fields": ["latency_ms", "inflight"], "how": "answers"},
        "goal": {"whole": 0.4, "worst_class": 0.1, "worst_tenant": 0.15, "worst_window": 0.35},
        "instances": gateways,
        "kind_of_service": "gate",
        "kinds": ["std-2core"],
        "me": index,
        "policy_limits": {
            "cancelling": True,
            "conn_idle_ms": 30000.0,
            "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 500000,
            "dial_timeout_ms": 250.0,
            "max_open": 20000,
            "max_retry_after_ms": 1000.0,
            "max_streams": 32,
            "parallel_tries": False,
            "peers": False,
            "probes": False,
            "retry_after": True,
            "try_limit": 3,
        },
        "rules": {
            "answer_slack_ms": 16.0,
            "ask_every_ms": 10000.0,
            "cold_from": 0.16,
            "drain_grace_ms": 250.0,
            "fall_multiple": 3.0,
            "overload_for_ms": 1500.0,
            "warm_within_ms": 14000.0,
        },
        "tick_ms": 4.0,
        "tier": 0,
        "tiers": ["load-servers"],
        "weight_kind": "rough",
        "zone": "hall-a",
        "zones": ["hall-a", "hall-b"],
    }


class Gateway:
    """One real gateway process, started with the line `run` of the deploy file.

    It runs in a folder of its own with the project's program and `deploy/`, of which `diameter.toml` may be its own.
    """

    def __init__(
        self,
        name: str,
        folder: Path,
        discovery: Discovery,
        counter: Counter,
        values: dict[str, Any],
        diameter_port: int | None = None,
        listen_port: int | None = None,
    ) -> None:
        self.name, self.folder = name, folder
        self.listen_port = listen_port or free_port()
        self.diameter_port = diameter_port
        self.mgmt_port = free_port()
        self.process: asyncio.subprocess.Process | None = None
        self._discovery, self._counter, self._values = discovery, counter, values
        self._log_path = folder / "log.txt"

    def _prepare(self) -> None:
        (self.folder / "deploy").mkdir(parents=True, exist_ok=True)
        (self.folder / "tmp").mkdir(exist_ok=True)
        for part in (".venv", "badgeryoke"):
            link = self.folder / part
            if not link.exists():
                link.symlink_to(REPOSITORY / part)
        operators = (REPOSITORY / "deploy" / "badgeryoke.toml").read_text(encoding="utf-8")
        (self.folder / "deploy" / "badgeryoke.toml").write_text(operators, encoding="utf-8")
        if self.diameter_port is not None:
            (self.folder / "deploy" / "diameter.toml").write_text(
                "enabled = true\n"
                f'listen = "{HOST}:{self.diameter_port}"\n'
                f'origin_host = "{self.name}.gateway.example"\n'
                'origin_realm = "gateway.example"\n'
                '[plans]\n1 = "dealer"\n',
                encoding="utf-8",
            )
        config = {
            "name": self.name,
            "listen": f"{HOST}:{self.listen_port}",
            "discovery": f"{HOST}:{self._discovery.port}",
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "counter": f"{HOST}:{self._counter.port}",
            "known": self._discovery.document(True),
            "settings": self._values,
        }
        (self.folder / "config.json").write_text(json.dumps(config), encoding="utf-8")

    async def start(self, socket_fd: int | None = None, tmpdir: Path | None = None) -> None:
        """Start the process; `socket_fd`: an inherited listening socket."""
        self._prepare()
        deploy = tomllib.loads((REPOSITORY / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "TMPDIR": str(tmpdir or self.folder / "tmp"),
            "LB_NAME": self.name,
            "LB_LISTEN": f"{HOST}:{self.listen_port}",
            "LB_DISCOVERY": f"{HOST}:{self._discovery.port}",
            "LB_CONFIG": str(self.folder / "config.json"),
            "LB_MGMT": f"{HOST}:{self.mgmt_port}",
        }
        inherited: tuple[int, ...] = ()
        if socket_fd is not None:
            environment["LB_SOCKET_FD"] = str(socket_fd)
            inherited = (socket_fd,)
        with self._log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                deploy["run"],
                cwd=self.folder,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                pass_fds=inherited,
                preexec_fn=lambda: end_with_parent(signal.SIGKILL),
            )

    async def status(self) -> str:
        """The answer to STATUS at the second address; empty if there is none."""
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(HOST, self.mgmt_port)
                writer.write(b"STATUS\n")
                line = await reader.readline()
                writer.close()
                return line.decode().strip()
        return ""

    async def ready(self, timeout_s: float = 30.0) -> bool:
        """Wait until STATUS says yes; False if the process ends before, or the time is over."""
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s and self.running:
            if (await self.status()).startswith("+OK"):
                return True
            await asyncio.sleep(0.05)
        return False

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.returncode is None

    @property
    def exit_code(self) -> int | None:
        """The exit code of a process that has ended."""
        return None if self.process is None else self.process.returncode

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.running and self.process is not None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """End the process, whatever its state."""
        if self.running and self.process is not None:
            self.process.kill()
            await self.process.wait()

    def log(self) -> str:
        """What the process has written to standard output and error."""
        return self._log_path.read_text(encoding="utf-8", errors="replace") if self._log_path.exists() else ""


# Diameter ---------------------------------------------------------------------------------------------

CAPABILITIES, CREDIT_CONTROL, WATCHDOG, DISCONNECT = 257, 272, 280, 282
REQUEST_FLAG, PROXIABLE_FLAG, RETRANSMITTED_FLAG = 0x80, 0x40, 0x10
REALM = "gateway.example"
SUCCESS = 2001


def avp(code: int, data: bytes, mandatory: bool = True) -> bytes:
    """Encode an AVP."""
    length = 8 + len(data)
    return struct.pack(">II", code, (0x40 if mandatory else 0) << 24 | length) + data + b"\0" * (-length % 4)


def avp32(code: int, value: int) -> bytes:
    """Encode an AVP of type Unsigned32, Enumerated or Time."""
    return avp(code, struct.pack(">I", value))


def message(flags: int, code: int, application: int, hop_by_hop: int, end_to_end: int, body: bytes) -> bytes:
    """Encode a Diameter message."""
    return (
        struct.pack(
            ">IIIII", 1 << 24 | 20 + len(body), flags << 24 | code, application, hop_by_hop, end_to_end
        )
        + body
    )


@dataclass
class Received:
    """A received Diameter message."""

    flags: int
    code: int
    hop_by_hop: int
    end_to_end: int
    body: bytes

    @property
    def is_request(self) -> bool:
        """Whether the R bit is set."""
        return bool(self.flags & REQUEST_FLAG)

    def avps(self) -> dict[int, bytes]:
        """The first AVP of each code."""
        found: dict[int, bytes] = {}
        offset = 0
        while offset + 8 <= len(self.body):
            code, flags_and_length = struct.unpack_from(">II", self.body, offset)
            length = flags_and_length & 0xFFFFFF
            start = offset + (12 if flags_and_length >> 24 & 0x80 else 8)
            found.setdefault(code, self.body[start : offset + length])
            offset += length + (-length % 4)
        return found

    def result_code(self) -> int:
        """The Result-Code of an answer; 0 if there is none."""
        return int.from_bytes(self.avps().get(268, b"\0"), "big")


async def read_message(reader: asyncio.StreamReader) -> Received:
    """Read one Diameter message."""
    head = await reader.readexactly(20)
    length, code, _, hop_by_hop, end_to_end = struct.unpack(">IIIII", head)
    body = await reader.readexactly((length & 0xFFFFFF) - 20)
    return Received(code >> 24, code & 0xFFFFFF, hop_by_hop, end_to_end, body)


@dataclass
class Debit:
    """One DIRECT_DEBITING event and what became of it at the client."""

    session_id: str
    end_to_end: int
    sent_ms: float = 0.0
    event_time_s: int = 0
    answered_ms: float = 0.0
    result: int = 0

    def encode(self, origin_host: str, hop_by_hop: int, retransmitted: bool = False) -> bytes:
        """Encode its Credit-Control-Request."""
        subscription = avp32(450, 4) + avp(444, b"%016x" % (self.end_to_end % 50 + 1))
        body = b"".join(
            (
                avp(263, self.session_id.encode()),
                avp(264, origin_host.encode()),
                avp(296, b"clients.example"),
                avp(283, REALM.encode()),
                avp32(258, 4),
                avp(461, b"load@clients.example"),
                avp32(416, 4),
                avp32(415, 0),
                avp32(436, 0),
                avp32(55, self.event_time_s + NTP_EPOCH_OFFSET_S),
                avp(443, subscription),
                avp32(439, 1),
                avp(437, avp(417, struct.pack(">Q", 1))),
                avp(440, avp32(441, 1) + avp(442, self.session_id.encode())),
            )
        )
        flags = REQUEST_FLAG | PROXIABLE_FLAG | (RETRANSMITTED_FLAG if retransmitted else 0)
        return message(flags, CREDIT_CONTROL, 4, hop_by_hop, self.end_to_end, body)


def capabilities(origin_host: str) -> bytes:
    """Encode a Capabilities-Exchange-Request."""
    body = b"".join(
        (
            avp(264, origin_host.encode()),
            avp(296, b"clients.example"),
            avp(257, b"\0\1" + socket.inet_aton(HOST)),
            avp32(266, 0),
            avp(269, b"stand-in", mandatory=False),
            avp32(258, 4),
        )
    )
    return message(REQUEST_FLAG, CAPABILITIES, 0, 1, 1, body)


def base_answer(request: Received, origin_host: str) -> bytes:
    """Encode the answer to a request of the base protocol: success."""
    body = avp32(268, SUCCESS) + avp(264, origin_host.encode()) + avp(296, b"clients.example")
    return message(0, request.code, 0, request.hop_by_hop, request.end_to_end, body)


class DelayProxy(StandIn):
    """Forwards bytes in both directions, each after a fixed delay: a link between two halls."""

    def __init__(self, port: int, delay_s: float) -> None:
        super().__init__()
        self._target, self._delay_s = port, delay_s

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward one connection until both directions have ended."""
        upstream_reader, upstream_writer = await asyncio.open_connection(HOST, self._target)
        await asyncio.gather(
            self._pump(reader, upstream_writer), self._pump(upstream_reader, writer), return_exceptions=True
        )

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()

        async def deliver() -> None:
            while True:
                due_s, data = await queue.get()
                await asyncio.sleep(max(due_s - loop.time(), 0.0))
                if not data:
                    writer.close()
                    return
                writer.write(data)

        delivery = asyncio.ensure_future(deliver())
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                queue.put_nowait((loop.time() + self._delay_s, data))
        queue.put_nowait((loop.time() + self._delay_s, b""))
        with contextlib.suppress(OSError):
            await delivery
