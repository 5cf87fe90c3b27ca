"""Gateways in front of one server whose connections are leased, for tests of the leases."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from random import Random
from typing import Any

from badgeryoke.cluster.connection_limits.commands import (
    SetConnectionLimit,
)
from badgeryoke.cluster.connection_limits.limits import ConnectionLimits
from badgeryoke.cluster.errors import NoLeader
from badgeryoke.cluster.invariants import Invariants
from badgeryoke.cluster.node import ClusterNode, Member, NodeSetup
from badgeryoke.cluster.state_machine_part import LeaderView
from badgeryoke.cluster.timings import Timings
from badgeryoke.gateway.actor import ActorScheduler
from badgeryoke.gateway.attempt import Attempt, AttemptEnd, Request
from badgeryoke.gateway.cluster.clock import boot_time_ms
from badgeryoke.gateway.cluster.connection_leases import ConnectionLeases
from badgeryoke.gateway.cluster.settings import ClusterSettings, Servers
from badgeryoke.gateway.diameter.end_to_end_ids import EndToEndIds
from badgeryoke.gateway.diameter.peer import PeerIdentity
from badgeryoke.gateway.diameter.upstream_connection import DiameterUpstream
from badgeryoke.gateway.resp.upstream_connection import RespUpstream
from tests.support.stand_ins import (
    HOST,
    Backend,
)

TIMINGS = Timings(lease_ms=120.0, heartbeat_ms=10.0, election_ms=50.0)  # connection leases last 600 ms
IDLE_MS, CONNECTION_LIMIT = 200.0, 4
LONG_CONNECT_TIMEOUT_MS = 20_000.0  # for tests that expect a connection
SHORT_CONNECT_TIMEOUT_MS = 100.0  # for tests that expect no connection


class LeasedGateway:
    """One gateway's leases for one server; also stands in for the gateway in a rolling restart."""

    def __init__(self, name: str, port: int, group: LimitGroup, diameter: bool = False) -> None:
        self.name, self.group = name, group
        self.scheduler, self.invariants = ActorScheduler(asyncio.get_running_loop()), Invariants()
        self.actions: list[str] = []
        self.drained, self.unanswered = False, 0
        fleet = ClusterSettings(servers=Servers(connections=CONNECTION_LIMIT))
        self.leases = ConnectionLeases(fleet, self.scheduler, boot_time_ms, IDLE_MS, self)
        setup = NodeSetup("f", name, "1", (Member(name, "h"),), timings=TIMINGS)
        self.node = ClusterNode(setup, {}, Random(1), 0.0, 0.0, self.invariants)
        self.lease = lease = self.leases.create_lease("s")
        assert lease is not None
        self.upstream: Any = (
            DiameterUpstream(
                (HOST, port),
                self.scheduler,
                boot_time_ms,
                identity=PeerIdentity("g", "r", HOST, 1),
                services={},
                connect_ms=LONG_CONNECT_TIMEOUT_MS,
                idle_ms=30_000.0,
                watchdog_s=30.0,
                end_to_end_ids=EndToEndIds(self.scheduler.time, 0),
                lease=lease,
            )
            if diameter
            else RespUpstream(
                (HOST, port),
                self.scheduler,
                boot_time_ms,
                report_names=(),
                connect_ms=LONG_CONNECT_TIMEOUT_MS,
                idle_ms=30_000.0,
                max_connections=16,
                lease=lease,
            )
        )
        lease.upstream = self.upstream
        self.attempt_ends: list[AttemptEnd] = []
        self.concurrent_attempts = 0
        group.gateways.append(self)

    def pause(self) -> str:
        """Record the call."""
        self.actions.append("pause")
        return ""

    def resume(self) -> str:
        """Record the call."""
        self.actions.append("resume")
        return ""

    def end(self) -> None:
        """Record the call."""
        self.actions.append("end")

    @property
    def open_connections(self) -> int:
        """The number of open connections that count against the lease."""
        holder = self.leases.lease_holder
        return holder.servers["s"].open if holder is not None and "s" in holder.servers else 0

    def start_attempt(self, deadline_ms: float = 2 * LONG_CONNECT_TIMEOUT_MS) -> Attempt:
        """Start an attempt; it waits for a connection if none is free."""
        now = boot_time_ms()
        attempt = Attempt(
            Request(
                f"{len(self.attempt_ends):016x}",
                "c",
                "p",
                ord(self.name),
                deadline_ms,
                1.0,
                1,
                idempotent=True,
            ),
            0,
            1,
            now,
            now + deadline_ms,
            self._attempt_ended,
        )
        self.upstream.start(attempt)
        return attempt

    def use_short_connect_timeout(self) -> None:
        """Make attempts that get no connection fail after the short timeout from now on."""
        self.upstream._connect_ms = SHORT_CONNECT_TIMEOUT_MS

    def _attempt_ended(self, execution: Attempt, end: AttemptEnd) -> None:
        self.attempt_ends.append(end)
        if self.concurrent_attempts > 0:  # keep the same number of attempts in flight
            self.scheduler.call_later(0.002, self.start_attempt)


class LimitGroup:
    """Grants leases in place of the group that holds the server's limit.

    Calls of the gateways in `unreachable` fail with NoLeader.
    """

    def __init__(self) -> None:
        self.gateways: list[LeasedGateway] = []
        self.unreachable: set[str] = set()
        self.limits = ConnectionLimits(Invariants(), TIMINGS)
        self.limits.apply(
            0.0,
            SetConnectionLimit(id="l", server="s", max_connections=CONNECTION_LIMIT, idle_timeout_ms=IDLE_MS),
        )

    async def run(self) -> None:
        """Answer all gateways' commands every 5 ms until cancelled."""
        while True:
            now = boot_time_ms()
            for leased_gateway in self.gateways:
                if leased_gateway.leases.lease_holder is not None:
                    for command in leased_gateway.leases.poll(now, now):
                        leased_gateway.leases.answered(
                            boot_time_ms(),
                            command,
                            NoLeader("g0", "cut off")
                            if leased_gateway.name in self.unreachable
                            else self.limits.apply(now, command),
                        )
            for command in self.limits.leader_tasks(
                LeaderView(now, now, "g", 0.0, TIMINGS, frozenset(), {}, {}, {}, {}, {})
            ):
                self.limits.apply(now, command)
            await asyncio.sleep(0.005)


class CountingServer(Backend):
    """Answers each request after 4 ms, and counts the open connections by gateway."""

    def __init__(self, ignores_close: bool = False) -> None:
        super().__init__()
        self.max_open = 0
        self.gateway_of_connection: dict[asyncio.StreamReader, str] = {}
        self.ignores_close = ignores_close  # keeps its side open after the client has closed
        self.release = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer each request on a connection until it is closed."""
        self.gateway_of_connection[reader] = ""
        self.max_open = max(self.max_open, len(self.gateway_of_connection))
        try:
            while head := await reader.read(4096):
                self.gateway_of_connection[reader] = chr(int(head.split(b"\r\n")[4], 16))
                if not self.ignores_close:
                    await asyncio.sleep(0.004)
                    writer.write(b"*1\r\n$2\r\nok\r\n")
            if self.ignores_close:
                await self.release.wait()
        finally:
            del self.gateway_of_connection[reader]

    def open_from(self, name: str) -> int:
        """Return the number of connections that a gateway has open to this server."""
        return sum(gateway == name for gateway in self.gateway_of_connection.values())


@contextlib.asynccontextmanager
async def leased_gateways(server: Any, *names: str, diameter: bool = False) -> AsyncIterator[Any]:
    """Yield the group that grants leases, then one gateway for each name, in front of a server."""
    group = LimitGroup()
    gateways = [LeasedGateway(name, server.port, group, diameter) for name in names]
    for leased_gateway in gateways:
        leased_gateway.leases.attach(leased_gateway.node, leased_gateway.invariants)
    task = asyncio.ensure_future(group.run())
    try:
        yield group, *gateways
    finally:
        task.cancel()
        for leased_gateway in gateways:
            leased_gateway.concurrent_attempts = 0
            leased_gateway.leases.close()


def keep_busy(leased_gateway: LeasedGateway, count: int) -> None:
    """Keep `count` attempts in flight at all times."""
    leased_gateway.concurrent_attempts = count
    for _ in range(count):
        leased_gateway.start_attempt()


async def wait_until(condition: Callable[[], object]) -> None:
    """Poll until the condition holds."""
    while not condition():
        await asyncio.sleep(0.002)
