"""Upstream connections under leases, on real sockets; the group that grants the leases stands in the test."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import replace
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import Any

import pytest

from badgeryoke.cluster.connection_limits.commands import (
    ConnectionLeaseRequest,
    RequestConnectionLeases,
    SetConnectionLimit,
)
from badgeryoke.cluster.connection_limits.holders import holder_id, server_bucket
from badgeryoke.cluster.connection_limits.limits import ConnectionLimits
from badgeryoke.cluster.errors import NoLeader
from badgeryoke.cluster.invariants import Invariants
from badgeryoke.cluster.node import ClusterNode, Member, NodeSetup
from badgeryoke.cluster.rolling_restart.commands import ReadDesiredState
from badgeryoke.cluster.state_machine.machine import GroupStateMachine
from badgeryoke.cluster.state_machine.part import FLEET, ApplyResult, LeaderView
from badgeryoke.cluster.timings import Timings
from badgeryoke.decisions.interface import Verdict
from badgeryoke.gateway.actor import ActorScheduler
from badgeryoke.gateway.attempt import Attempt, AttemptEnd, Request
from badgeryoke.gateway.cluster.clock import boot_time_ms
from badgeryoke.gateway.cluster.connection_leases import ConnectionLeases
from badgeryoke.gateway.cluster.server_limits import REMOVAL_CHECK_INTERVAL_MS, REMOVAL_DELAY_MS
from badgeryoke.gateway.cluster.settings import ClusterSettings, Servers
from badgeryoke.gateway.config.operators_file import Operators
from badgeryoke.gateway.diameter.peer import PeerIdentity
from badgeryoke.gateway.diameter.upstream_connection import DiameterUpstream
from badgeryoke.gateway.resp.upstream_connection import RespUpstream
from tests.gateway.resp.test_client_connection import play
from tests.support.cluster_service import cluster_settings
from tests.support.stand_ins import (
    HOST,
    Backend,
    DiameterServer,
    Discovery,
    config,
    connect,
    entry,
    gateway,
    query,
    roster,
)

TIMINGS = Timings(lease_ms=120.0, heartbeat_ms=10.0, election_ms=50.0)  # 600 ms for connections
IDLE_MS, CONNECTION_LIMIT = 200.0, 4
LONG_CONNECT_TIMEOUT_MS = 20_000.0  # where a connection has to come
SHORT_CONNECT_TIMEOUT_MS = 100.0  # where none may come


class LeasedGateway:
    """One gateway's pools before one server; in the gateway's place for a roll."""

    def __init__(self, name: str, port: int, group: LimitGroup, diameter: bool = False) -> None:
        self.name, self.group = name, group
        self.loop, self.rules = ActorScheduler(asyncio.get_running_loop()), Invariants()
        self.actions: list[str] = []
        self.drained, self.unanswered = False, 0
        fleet = ClusterSettings(servers=Servers(connections=CONNECTION_LIMIT))
        self.leases = ConnectionLeases(fleet, self.loop, boot_time_ms, IDLE_MS, self)
        setup = NodeSetup("f", name, "1", (Member(name, "h"),), timings=TIMINGS)
        self.node = ClusterNode(setup, {}, Random(1), 0.0, 0.0, self.rules)
        self.lease = lease = self.leases.create_lease("s")
        assert lease is not None
        self.link: Any = (
            DiameterUpstream(
                (HOST, port),
                self.loop,
                boot_time_ms,
                me=PeerIdentity("g", "r", HOST, 1),
                services={},
                connect_ms=LONG_CONNECT_TIMEOUT_MS,
                idle_ms=30_000.0,
                watchdog_s=30.0,
                lease=lease,
            )
            if diameter
            else RespUpstream(
                (HOST, port),
                self.loop,
                boot_time_ms,
                report_names=(),
                connect_ms=LONG_CONNECT_TIMEOUT_MS,
                idle_ms=30_000.0,
                most=16,
                lease=lease,
            )
        )
        lease.upstream = self.link
        self.ends: list[AttemptEnd] = []
        self.asking = 0
        group.gateways.append(self)

    def pause(self) -> str:
        self.actions.append("pause")
        return ""

    def resume(self) -> str:
        self.actions.append("resume")
        return ""

    def end(self) -> None:
        self.actions.append("end")

    @property
    def open(self) -> int:
        holder = self.leases.lease_holder
        return holder.servers["s"].open if holder is not None and "s" in holder.servers else 0

    def ask(self, deadline_ms: float = 2 * LONG_CONNECT_TIMEOUT_MS) -> Attempt:
        """One attempt."""
        now = boot_time_ms()
        made = Attempt(
            Request(f"{len(self.ends):016x}", "c", "p", ord(self.name), deadline_ms, 1.0, 1, idempotent=True),
            0,
            1,
            now,
            now + deadline_ms,
            self.ended,
        )
        self.link.start(made)
        return made

    def use_short_connect_timeout(self) -> None:
        """From here on attempts without a connection fail soon."""
        self.link._connect_ms = SHORT_CONNECT_TIMEOUT_MS

    def ended(self, execution: Attempt, end: AttemptEnd) -> None:
        self.ends.append(end)
        if self.asking > 0:  # as many are always under way
            self.loop.call_later(0.002, self.ask)


class LimitGroup:
    """Grants, in the place of the group that holds the server's limit; who is in `unreachable` gets no answer."""

    def __init__(self) -> None:
        self.gateways: list[LeasedGateway] = []
        self.unreachable: set[str] = set()
        self.part = ConnectionLimits(Invariants(), TIMINGS)
        self.part.apply(
            0.0,
            SetConnectionLimit(id="l", server="s", max_connections=CONNECTION_LIMIT, idle_timeout_ms=IDLE_MS),
        )

    async def run(self) -> None:
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
                            else self.part.apply(now, command),
                        )
            for command in self.part.leader_tasks(
                LeaderView(now, now, "g", 0.0, TIMINGS, frozenset(), {}, {}, {}, {}, {})
            ):
                self.part.apply(now, command)
            await asyncio.sleep(0.005)


class CountingServer(Backend):
    """Answers after a while, and counts what is open, by gateway."""

    def __init__(self, ignores_close: bool = False) -> None:
        super().__init__()
        self.most = 0
        self.by: dict[asyncio.StreamReader, str] = {}
        self.ignores_close = ignores_close  # it does not heed the other side's end
        self.release = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.by[reader] = ""
        self.most = max(self.most, len(self.by))
        try:
            while head := await reader.read(4096):
                self.by[reader] = chr(int(head.split(b"\r\n")[4], 16))
                if not self.ignores_close:
                    await asyncio.sleep(0.004)
                    writer.write(b"*1\r\n$2\r\nok\r\n")
            if self.ignores_close:
                await self.release.wait()
        finally:
            del self.by[reader]

    def held(self, name: str) -> int:
        return sum(one == name for one in self.by.values())


@contextlib.asynccontextmanager
async def leased_gateways(server: Any, *names: str, diameter: bool = False) -> AsyncIterator[Any]:
    group = LimitGroup()
    made = [LeasedGateway(name, server.port, group, diameter) for name in names]
    for leased_gateway in made:
        leased_gateway.leases.attach(leased_gateway.node, leased_gateway.rules)
    task = asyncio.ensure_future(group.run())
    try:
        yield group, *made
    finally:
        task.cancel()
        for leased_gateway in made:
            leased_gateway.asking = 0
            leased_gateway.leases.close()


def keep_busy(leased_gateway: LeasedGateway, count: int) -> None:
    leased_gateway.asking = count
    for _ in range(count):
        leased_gateway.ask()


async def wait_until(true: Callable[[], Any]) -> None:
    while not true():
        await asyncio.sleep(0.002)


def test_two_gateways_together_never_exceed_the_connection_limit() -> None:
    async def test() -> None:
        async with CountingServer() as server, leased_gateways(server, "a", "b") as (group, a, b):
            a.use_short_connect_timeout()
            keep_busy(a, 6)
            await wait_until(lambda: server.held("a") == CONNECTION_LIMIT)  # all of it while nobody else asks
            keep_busy(b, 6)
            await wait_until(lambda: server.held("a") == server.held("b") == 2)  # half of it has moved
            group.unreachable.add("a")
            await wait_until(lambda: a.open == 0)  # its lease has ended: it closed by itself ...
            assert server.held("a") == 0
            lost = len(a.ends)
            await wait_until(
                lambda: server.held("b") == CONNECTION_LIMIT
            )  # ... and later, the other has its part
            await wait_until(lambda: len(a.ends) > lost + 6)  # without a lease each attempt fails in its time
            assert server.held("a") == 0
            group.unreachable.clear()
            await wait_until(lambda: server.held("a") == server.held("b") == 2)
            assert server.most == CONNECTION_LIMIT and not a.rules.count and not b.rules.count

    play(test)


def test_without_a_lease_no_connection_is_opened_and_each_request_is_answered_by_its_deadline(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        async with Backend() as node, Discovery(entry("s", node.port)) as list_:
            operators = Operators(
                fleet=cluster_settings(tmp_path, servers=Servers(connections=CONNECTION_LIMIT))
            )
            made = replace(
                config(list_.port, None, roster(entry("s", node.port))), name="a", operators=operators
            )
            async with gateway(made, lambda: time.time() * 1000.0) as app:
                reader, writer = await connect(app.lifecycle.address)
                writer.write(query("r1", d=300, plan="free"))
                assert (await reader.readline())[:1] == b"-"  # the fleet has no majority here
                assert node.connections == 0
                writer.close()

    play(test)


@pytest.mark.parametrize(
    "ignores_close",
    [False, True],
    ids=["server closes at once", "server ignores the close"],
)
def test_an_abandoned_connection_counts_until_the_server_has_closed_it(ignores_close: bool) -> None:
    async def test() -> None:
        async with CountingServer(ignores_close) as server, leased_gateways(server, "a") as (_, a):
            server.ignores_close = True  # no answer
            attempt = a.ask()
            await wait_until(lambda: server.held("a"))
            server.ignores_close = ignores_close
            begun = boot_time_ms()
            attempt.abort(Verdict.CANCELLED)
            await wait_until(lambda: len(a.link._all) == 0)
            if ignores_close:
                assert (a.open, server.held("a")) == (1, 1)
            await wait_until(lambda: a.open == 0)
            assert not ignores_close or boot_time_ms() - begun >= IDLE_MS
            assert len(server.by) == int(ignores_close)
            server.release.set()

    play(test)


def test_a_connection_that_is_never_established_counts_no_longer_than_its_attempt() -> None:
    async def test() -> None:
        with socket.socket() as full:  # nobody takes what is in its queue, and no more gets in
            full.bind((HOST, 0))
            full.listen(0)
            port = full.getsockname()[1]
            with socket.create_connection((HOST, port)):
                async with leased_gateways(SimpleNamespace(port=port), "a") as (_, a):
                    a.leases.idle_ms = 1e7
                    attempt = a.ask()
                    await wait_until(
                        lambda: a.link._waiting
                    )  # for the lease; what is dialled under it is given up soon
                    a.use_short_connect_timeout()
                    await wait_until(lambda: a.open == 1)
                    attempt.abort(Verdict.CANCELLED)
                    await wait_until(lambda: a.ends and a.open == 0)

    play(test)


def test_a_diameter_server_is_dialled_only_under_a_lease() -> None:
    async def test() -> None:
        async with DiameterServer() as server, leased_gateways(server, "a", diameter=True) as (group, a):
            a.ask()
            await wait_until(lambda: a.ends)
            assert (a.ends[0].verdict.name, a.open, server.connections) == ("OK", 1, 1)
            group.unreachable.add("a")
            await wait_until(lambda: a.open == 0)
            a.use_short_connect_timeout()
            a.ask()
            await wait_until(lambda: len(a.ends) == 2)
            assert a.ends[1].verdict.name == "CONNECT_FAILED" and server.connections == 1

    play(test)


@pytest.mark.parametrize(
    "diameter",
    [False, True],
    ids=["resp", "diameter"],
)
def test_a_process_suspended_past_its_lease_sends_nothing_on_open_connections(diameter: bool) -> None:
    async def test() -> None:
        async with (
            DiameterServer() if diameter else CountingServer() as server,
            leased_gateways(server, "a", diameter=diameter) as (_, a),
        ):
            a.ask()
            await wait_until(lambda: a.ends)
            a.leases.monotonic_ms = lambda: boot_time_ms() + 1e5
            a.use_short_connect_timeout()
            a.ask()  # before anything else could look
            await wait_until(lambda: len(a.ends) == 2)
            assert a.ends[1].verdict is Verdict.CONNECT_FAILED

    play(test)


def test_a_rolling_restart_pauses_drains_resumes_and_ends_the_gateway() -> None:
    async def test() -> None:
        async with CountingServer() as server, leased_gateways(server, "a") as (_, a):
            a.ask()
            await wait_until(lambda: a.ends)
            agent = a.leases.restart_agent

            def report_phase(stand: str, **more: Any) -> None:
                (read,) = [
                    one for one in agent.poll(boot_time_ms() + 1e6, 0.0) if isinstance(one, ReadDesiredState)
                ]
                agent.answered(
                    boot_time_ms(),
                    read,
                    ApplyResult(
                        {
                            "roll": "r",
                            "stand": stand,
                            "round": 1,
                            "told": "",
                            "process": agent.process,
                            "read_ms": 0.0,
                            "grow": 1.0,
                            **more,
                        }
                    ),
                )

            assert a.open == 1  # idle, and kept
            report_phase("GRANTING", told="ready")
            await wait_until(lambda: a.open == 0 and a.leases.is_empty)
            assert a.node.lead_nothing and not a.actions
            report_phase("PAUSING", told="paused")
            await wait_until(lambda: a.actions == ["pause"])
            a.drained = True
            a.link.retune((), LONG_CONNECT_TIMEOUT_MS, 30_000.0, 1.0)
            a.ask()  # a client that did not hear: it is served still, and the connection given back
            await wait_until(lambda: len(a.ends) == 2 and a.leases.is_empty)
            assert a.ends[1].verdict.name == "OK"
            report_phase("UNDOING", told="resumed")
            await wait_until(lambda: a.actions == ["pause", "resume"] and not a.node.lead_nothing)
            report_phase("ACTING", told="x")
            await wait_until(lambda: a.actions == ["pause", "resume", "pause", "end"])

    play(test)


def test_an_unlisted_unused_limit_is_removed_and_set_again_on_demand() -> None:
    async def test() -> None:
        group = LimitGroup()
        leased_gateway = LeasedGateway("A", 1, group)
        leased_gateway.leases.attach(leased_gateway.node, leased_gateway.rules)
        leased_gateway.leases.close()  # no checks but this test's
        leased_gateway.node.states["g0"] = SimpleNamespace(parts={"connections": group.part}, index=1)  # type: ignore[assignment]
        no_limits = GroupStateMachine(FLEET, TIMINGS, leased_gateway.rules)
        leased_gateway.node.states[FLEET] = no_limits
        leader: Any = SimpleNamespace(leading=True)
        leased_gateway.node.replicas["g0"] = leased_gateway.node.replicas[FLEET] = leader
        for server in ("gone", "used"):
            group.part.apply(
                0.0,
                SetConnectionLimit(
                    id=server, server=server, max_connections=CONNECTION_LIMIT, idle_timeout_ms=IDLE_MS
                ),
            )
        other = holder_id("B/1", "b", "1")
        group.part.apply(
            0.0,
            RequestConnectionLeases(
                id="x",
                holder=other,
                bucket=server_bucket("used"),
                requests=(ConnectionLeaseRequest("used", 0, 0, 1),),
            ),
        )
        now = 0.0
        leased_gateway.leases.update_servers(["s"])  # which nobody uses
        while now <= REMOVAL_DELAY_MS:
            assert "gone" in group.part.servers
            for command in leased_gateway.leases.poll(now, now):
                group.part.apply(now, command)
            now += REMOVAL_CHECK_INTERVAL_MS
        assert list(group.part.servers) == ["s", "used"]
        del group.part.servers["s"]  # by a leader whose list did not name it
        leased_gateway.leases._leases["s"][0].upstream = SimpleNamespace(
            connections_needed=1, capacity_available=lambda: None
        )
        while "s" not in group.part.servers:
            now += 100.0
            assert now < 2 * REMOVAL_DELAY_MS
            for command in leased_gateway.leases.poll(now, now):
                leased_gateway.leases.answered(now, command, group.part.apply(now, command))

    play(test)
