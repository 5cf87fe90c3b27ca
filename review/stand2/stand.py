"""Stand-ins for a gateway's peers, and gateways started with the deploy file's line; standard library only.

Written from the operators' pages: clients, backends, discovery agent and counter on loopback addresses.
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
PR_SET_PDEATHSIG = 1


class CouldNotRun(Exception):
    """The case could not be played; says nothing about the rule."""


def free_port() -> int:
    """A port that is free now."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


class Record:
    """A case's record: what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self.start = time.time()
        self._file = path.open("w", encoding="utf-8")

    def __call__(self, text: str) -> None:
        """Add one line with the seconds since the start."""
        self._file.write(f"{time.time() - self.start:9.4f} {text}\n")

    def say(self, text: str) -> None:
        """Add one line and print it."""
        self(text)
        with contextlib.suppress(OSError):  # nobody reads what is printed
            print(text, flush=True)

    def close(self) -> None:
        """Write what is left."""
        self._file.close()


# RESP2 ------------------------------------------------------------------------------------------------


def command(*words: str | bytes) -> bytes:
    """Encode a command."""
    parts = [word.encode() if isinstance(word, str) else word for word in words]
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


async def read_value(reader: asyncio.StreamReader) -> Any:
    """Read one RESP2 value; a status or an error is its line as text."""
    line = (await reader.readuntil(b"\r\n"))[:-2]
    kind, rest = line[:1], line[1:]
    if kind == b"*":
        return [await read_value(reader) for _ in range(int(rest))]
    if kind == b"$":
        return None if rest == b"-1" else (await reader.readexactly(int(rest) + 2))[:-2]
    return line.decode("ascii", "replace")


def served(value: bytes, units: str, latency_ms: float = 40.0, inflight: int = 1) -> bytes:
    """A backend's good answer: the value, the figures on use and the load report."""
    use = f"used=10,cost={units}".encode()
    load = f"latency_ms={latency_ms:.1f},inflight={inflight}".encode()
    return b"*3\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n" % (
        len(value),
        value,
        len(use),
        use,
        len(load),
        load,
    )


class Peer:
    """A listening stand-in; it counts and can drop its connections."""

    def __init__(self) -> None:
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def open(self, port: int = 0) -> None:
        """Listen; with `port`, at an address used before."""
        self._server = await asyncio.start_server(
            self._connected, HOST, port or self.port, limit=8 * 1024 * 1024, backlog=512
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self, reset: bool = True) -> None:
        """Stop listening, and reset the open connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        if reset:
            self.drop()
        for task in list(self._tasks):
            task.cancel()

    def drop(self) -> None:
        """Reset all connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.writers.add(writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            self._tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        raise NotImplementedError


class Ask:
    """One command as a backend has received it."""

    def __init__(self, words: list[bytes]) -> None:
        self.words = words
        self.name, self.customer, self.id = words[0].decode(), words[1].decode(), words[2].decode()
        self.fields = dict(pair.split("=", 1) for pair in words[3].decode().split(","))
        self.body = words[4] if len(words) > 4 else None
        self.at = time.time()


Play = Callable[["Backend", Ask, asyncio.StreamWriter, asyncio.StreamReader], Awaitable[None]]


class Backend(Peer):
    """A load server; `play` answers each command.  Commands of one connection are answered in order."""

    def __init__(self, name: str, play: Play, zone: str = "hall-a") -> None:
        super().__init__()
        self.name, self.play, self.zone = name, play, zone
        self.started_ms = 0.0
        self.asked: list[Ask] = []
        self.inflight = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Take commands one after the other."""
        while True:
            words = await read_value(reader)
            if not isinstance(words, list):
                writer.write(b"-SYNTAX\r\n")
                return
            if words[0] in (b"CLIENT", b"SELECT"):
                writer.write(b"+OK\r\n")
                continue
            if words[0] == b"PING":
                writer.write(b"+PONG\r\n")
                continue
            if words[0] not in (b"SVC.QUERY", b"SVC.SUBMIT"):
                writer.write(b"-ERR unknown\r\n")
                continue
            ask = Ask(words)
            self.asked.append(ask)
            self.inflight += 1
            try:
                await self.play(self, ask, writer, reader)
                await writer.drain()
            finally:
                self.inflight -= 1

    def entry(self, state: str = "active") -> dict[str, Any]:
        """This server as discovery lists it."""
        return {
            "id": self.name,
            "addr": f"{HOST}:{self.port}",
            "zone": self.zone,
            "kind": "std-2core",
            "cell": 0,
            "state": state,
            "weight": 1.0,
            "started_ms": self.started_ms,
        }


class Discovery(Peer):
    """The discovery agent: the whole list, and long polls that answer at a change."""

    def __init__(self) -> None:
        super().__init__()
        self.version = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self._changed: dict[str, int] = {}
        self._wake = asyncio.Event()

    def put(self, entry: dict[str, Any]) -> None:
        """List a server, or change its entry."""
        self.version += 1
        self._changed[entry["id"]] = self.version
        self.entries[entry["id"]] = entry
        self._wake.set()
        self._wake = asyncio.Event()

    def _body(self, after: int | None) -> bytes:
        if after is None:
            listed = [entry for entry in self.entries.values() if entry["state"] != "left"]
        else:
            listed = [entry for name, entry in self.entries.items() if self._changed[name] > after]
        full = after is None
        return json.dumps({"version": self.version, "full": full, "servers": listed}).encode()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer calls of one connection."""
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            path, _, query = head.split(" ")[1].partition("?")
            values = dict(pair.split("=", 1) for pair in query.split("&") if pair)
            after = int(values["after"]) if "after" in values else None
            until = time.time() + min(float(values.get("wait_ms", 0)), 60_000.0) / 1000.0
            while after is not None and self.version <= after and (left := until - time.time()) > 0:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._wake.wait(), left)
            body = self._body(after) if path == "/api/targets" else b"{}"
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%b"
                % (len(body), body)
            )
            await writer.drain()


class Counter(Peer):
    """The quota counter: adds to named counts, which live as long as their first call said."""

    def __init__(self) -> None:
        super().__init__()
        self.totals: dict[bytes, tuple[float, float]] = {}
        self.calls = 0
        self.delay_s = 0.001

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls of one connection in order."""
        while True:
            words = await read_value(reader)
            if words[0] == b"PING":
                writer.write(b"+PONG\r\n")
                continue
            if words[0] != b"INCRTTL":
                writer.write(b"+OK\r\n")
                continue
            _, name, amount, life = words
            self.calls += 1
            await asyncio.sleep(self.delay_s)
            now = time.time()
            total, ends = self.totals.get(name, (0.0, 0.0))
            if ends <= now:
                total, ends = 0.0, now + min(max(float(life), 1.0), 60_000.0) / 1000.0
            total += float(amount)
            self.totals[name] = (total, ends)
            text = b"%.7g" % total
            writer.write(b"$%d\r\n%b\r\n" % (len(text), text))


# Gateways ---------------------------------------------------------------------------------------------


def settings(me: int, instances: int, zone: str = "hall-a", **changes: Any) -> dict[str, Any]:
    """Settings of a small deployment with the figures of the operators' site."""
    table: dict[str, Any] = {
        "charges": {"cross_zone": 0.02, "waste": 0.08, "late_fail": 0.03},
        "classes": [
            {
                "name": "balance-check",
                "deadline_ms": 2000.0,
                "slo_ms": 400.0,
                "idempotency": "idempotent",
                "group": "all",
                "window_ms": 5000.0,
                "late_share": 0.0,
                "stream": False,
                "worth": 1.0,
            },
            {
                "name": "load-send",
                "deadline_ms": 2000.0,
                "slo_ms": 750.0,
                "idempotency": "deduplicated",
                "group": "all",
                "window_ms": 1000.0,
                "late_share": 0.0,
                "stream": False,
                "worth": 2.0,
            },
        ],
        "clients": {"marks_retry": True},
        "contracts": [
            plan("sari-sari", 1.4, 6.0, 0.8),
            plan("dealer", 6.5, 30.0, 1.2),
            plan("distributor", 25.0, 50.0, 1.6, cap_depth=90.0, hard_rate=50.0, tolerance=9.0),
        ],
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
        "instances": instances,
        "kind_of_service": "gate",
        "kinds": ["std-2core"],
        "me": me,
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
        "zone": zone,
        "zones": ["hall-a", "hall-b"],
    }
    table.update(changes)
    return table


def plan(
    name: str,
    rate: float,
    burst: float,
    worth: float,
    cap_depth: float = 0.0,
    hard_rate: float = 0.0,
    tolerance: float = 0.0,
) -> dict[str, Any]:
    """One plan of the settings."""
    return {
        "name": name,
        "units_per_s": rate,
        "most_at_once": burst,
        "worth_factor": worth,
        "beyond_costs": 1.2,
        "over_worth": 0.0,
        "open": 0,
        "cap_depth": cap_depth,
        "hard_rate": hard_rate,
        "tolerance": tolerance,
    }


def root_with(folder: Path, diameter: str) -> Path:
    """A root like the project's, but with an operators' deploy/diameter.toml of its own."""
    root = folder / "root"
    (root / "deploy").mkdir(parents=True)
    for name in ("badgeryoke", ".venv"):
        (root / name).symlink_to(ROOT / name)
    for name in ("balancer.toml", "badgeryoke.toml"):
        (root / "deploy" / name).write_text((ROOT / "deploy" / name).read_text(encoding="utf-8"))
    (root / "deploy" / "diameter.toml").write_text(diameter, encoding="utf-8")
    return root


def _end_with_parent() -> None:
    """Let the system end this process if the script is killed."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Gateway:
    """One gateway, started with the deploy file's line `run`."""

    def __init__(
        self,
        index: int,
        table: dict[str, Any],
        folder: Path,
        discovery: int,
        counter: int,
        memory_mb: int = 192,
        sockets: int = 1024,
        root: Path = ROOT,
    ) -> None:
        self.name, self.root = f"n{index + 1}", root
        self.port = free_port()
        self.mgmt = free_port()
        self.folder = folder / self.name
        self.folder.mkdir(exist_ok=True)
        self.config = {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{discovery}",
            "seed": f"{time.time_ns() & 0xFFFFFFFFFFFF:016x}",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "counter": f"{HOST}:{counter}",
            "mgmt": f"{HOST}:{self.mgmt}",
            "settings": table,
        }
        self.process: asyncio.subprocess.Process | None = None
        self.log_path = self.folder / "log.txt"

    def write_config(self) -> Path:
        """Write the configuration file."""
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.config), encoding="utf-8")
        return path

    async def start(self, wait_s: float = 30.0) -> None:
        """Start the process and wait until it answers PING with yes."""
        path = self.write_config()
        temporary = self.folder / "tmp"
        temporary.mkdir(exist_ok=True)
        deploy = tomllib.loads((self.root / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        environ = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "HOME": str(temporary),
            "TMPDIR": str(temporary),
            "LB_NAME": self.name,
            "LB_LISTEN": self.config["listen"],
            "LB_DISCOVERY": self.config["discovery"],
            "LB_CONFIG": str(path),
            "LB_MGMT": self.config["mgmt"],
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                deploy["run"],
                cwd=self.root,
                env=environ,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
                preexec_fn=_end_with_parent,
            )
        until = time.time() + wait_s
        while time.time() < until:
            if self.process.returncode is not None:
                raise CouldNotRun(f"gateway {self.name} ended at its start: {self.log()[-2000:]}")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(command("PING"))
                answer = await asyncio.wait_for(read_value(reader), 1.0)
                writer.close()
                if answer == "+PONG":
                    return
            await asyncio.sleep(0.05)
        raise CouldNotRun(f"gateway {self.name} is not ready after {wait_s} s: {self.log()[-2000:]}")

    def log(self) -> str:
        """What the gateway has written."""
        return self.log_path.read_text(encoding="utf-8", errors="replace") if self.log_path.exists() else ""

    def send_signal(self, number: signal.Signals) -> None:
        """Signal this gateway's process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    @property
    def ended(self) -> bool:
        """Whether the process has ended."""
        return self.process is None or self.process.returncode is not None

    async def stop(self) -> None:
        """End the process and whatever it started."""
        if self.process is None:
            return
        with contextlib.suppress(ProcessLookupError):
            os.killpg(self.process.pid, signal.SIGKILL)
        await self.process.wait()


def verdict_of_end(gateway: Gateway, record: Record) -> int:
    """The verdict where a gateway has ended in a play: a crash, unless somebody's signal ended it."""
    code = None if gateway.process is None else gateway.process.returncode
    record.say(f"the gateway has ended with {code}")
    return COULD_NOT_RUN if code in (-signal.SIGKILL, -signal.SIGTERM, -signal.SIGINT) else BROKEN


def fields(
    request_class: str, units: int = 1, deadline_ms: int = 2000, key: str = "", tenant: str = "dealer"
) -> str:
    """The list of names and values of a request."""
    keyed = f",k={key}" if key else ""
    return f"c={request_class},t={tenant},d={deadline_ms}{keyed},units={units},spread=1,first=0"


async def play(
    record_path: Path, body: Callable[[Record, Path], Awaitable[int]], limit_s: float = 110.0
) -> None:
    """Run a case's body within its time, write its record, and end with its verdict."""
    record = Record(record_path)
    verdict = COULD_NOT_RUN
    with tempfile.TemporaryDirectory(prefix="case-") as temporary:
        playing = asyncio.ensure_future(asyncio.wait_for(body(record, Path(temporary)), limit_s))
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, playing.cancel)
        try:
            verdict = await playing
        except asyncio.CancelledError:
            record.say("could not run: ended by a signal")
        except TimeoutError:
            record.say(f"could not run: not done within {limit_s:.0f} s")
        except Exception as reason:  # any fault of the case itself says nothing about the rule
            record.say(f"could not run: {type(reason).__name__}: {reason}")
    record.say({BROKEN: "BROKEN", HELD: "held", COULD_NOT_RUN: "could not run"}[verdict])
    record.close()
    with contextlib.suppress(OSError):
        sys.stdout.flush()
    os._exit(verdict)
