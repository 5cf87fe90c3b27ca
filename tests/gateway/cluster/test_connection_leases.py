"""Server links under leases, on real sockets: the group that grants stands in the test, the pools are the
gateway's."""

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
IDLE_MS, MOST = 200.0, 4
PATIENT_MS, HASTY_MS = 20_000.0, 100.0  # for a connection: where one has to come, and where none may come


class Gate:
    """One gateway's pools before one server; in the gateway's place for a roll."""

    def __init__(self, name: str, port: int, group: Group, diameter: bool = False) -> None:
        self.name, self.group = name, group
        self.loop, self.rules = ActorScheduler(asyncio.get_running_loop()), Invariants()
        self.did: list[str] = []
        self.drained, self.unanswered = False, 0
        fleet = ClusterSettings(servers=Servers(connections=MOST))
        self.pools = ConnectionLeases(fleet, self.loop, boot_time_ms, IDLE_MS, self)
        setup = NodeSetup("f", name, "1", (Member(name, "h"),), timings=TIMINGS)
        self.node = ClusterNode(setup, {}, Random(1), 0.0, 0.0, self.rules)
        self.lease = lease = self.pools.create_lease("s")
        assert lease is not None
        self.link: Any = (
            DiameterUpstream(
                (HOST, port),
                self.loop,
                boot_time_ms,
                me=PeerIdentity("g", "r", HOST, 1),
                services={},
                connect_ms=PATIENT_MS,
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
                connect_ms=PATIENT_MS,
                idle_ms=30_000.0,
                most=16,
                lease=lease,
            )
        )
        lease.upstream = self.link
        self.ends: list[AttemptEnd] = []
        self.asking = 0
        group.gates.append(self)

    def pause(self) -> str:
        self.did.append("pause")
        return ""

    def resume(self) -> str:
        self.did.append("resume")
        return ""

    def end(self) -> None:
        self.did.append("end")

    @property
    def open(self) -> int:
        keeper = self.pools.lease_holder
        return keeper.servers["s"].open if keeper is not None and "s" in keeper.servers else 0

    def ask(self, deadline_ms: float = 2 * PATIENT_MS) -> Attempt:
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

    def haste(self) -> None:
        """From here on attempts without a connection fail soon."""
        self.link._connect_ms = HASTY_MS

    def ended(self, execution: Attempt, end: AttemptEnd) -> None:
        self.ends.append(end)
        if self.asking > 0:  # as many are always under way
            self.loop.call_later(0.002, self.ask)


class Group:
    """Grants, in the place of the group that holds the server's limit; who is in `cut` gets no answer."""

    def __init__(self) -> None:
        self.gates: list[Gate] = []
        self.cut: set[str] = set()
        self.part = ConnectionLimits(Invariants(), TIMINGS)
        self.part.apply(
            0.0, SetConnectionLimit(id="l", server="s", max_connections=MOST, idle_timeout_ms=IDLE_MS)
        )

    async def run(self) -> None:
        while True:
            now = boot_time_ms()
            for gate in self.gates:
                if gate.pools.lease_holder is not None:
                    for command in gate.pools.poll(now, now):
                        gate.pools.answered(
                            boot_time_ms(),
                            command,
                            NoLeader("g0", "cut off")
                            if gate.name in self.cut
                            else self.part.apply(now, command),
                        )
            for command in self.part.leader_tasks(
                LeaderView(now, now, "g", 0.0, TIMINGS, frozenset(), {}, {}, {}, {}, {})
            ):
                self.part.apply(now, command)
            await asyncio.sleep(0.005)


class Counted(Backend):
    """Answers after a while, and counts what is open, by gateway."""

    def __init__(self, deaf: bool = False) -> None:
        super().__init__()
        self.most = 0
        self.by: dict[asyncio.StreamReader, str] = {}
        self.deaf = deaf  # it does not heed the other side's end
        self.release = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.by[reader] = ""
        self.most = max(self.most, len(self.by))
        try:
            while head := await reader.read(4096):
                self.by[reader] = chr(int(head.split(b"\r\n")[4], 16))
                if not self.deaf:
                    await asyncio.sleep(0.004)
                    writer.write(b"*1\r\n$2\r\nok\r\n")
            if self.deaf:
                await self.release.wait()
        finally:
            del self.by[reader]

    def held(self, name: str) -> int:
        return sum(one == name for one in self.by.values())


@contextlib.asynccontextmanager
async def gates(server: Any, *names: str, diameter: bool = False) -> AsyncIterator[Any]:
    group = Group()
    made = [Gate(name, server.port, group, diameter) for name in names]
    for gate in made:
        gate.pools.attach(gate.node, gate.rules)
    task = asyncio.ensure_future(group.run())
    try:
        yield group, *made
    finally:
        task.cancel()
        for gate in made:
            gate.asking = 0
            gate.pools.close()


def busy(gate: Gate, count: int) -> None:
    gate.asking = count
    for _ in range(count):
        gate.ask()


async def soon(true: Callable[[], Any]) -> None:
    while not true():
        await asyncio.sleep(0.002)


def test_two_gateways_never_have_more_open_than_the_server_holds() -> None:
    async def test() -> None:
        async with Counted() as server, gates(server, "a", "b") as (group, a, b):
            a.haste()
            busy(a, 6)
            await soon(lambda: server.held("a") == MOST)  # all of it while nobody else asks
            busy(b, 6)
            await soon(lambda: server.held("a") == server.held("b") == 2)  # half of it has moved
            group.cut.add("a")
            await soon(lambda: a.open == 0)  # its lease has ended: it closed by itself ...
            assert server.held("a") == 0
            lost = len(a.ends)
            await soon(lambda: server.held("b") == MOST)  # ... and later, the other has its part
            await soon(lambda: len(a.ends) > lost + 6)  # without a lease each attempt fails in its time
            assert server.held("a") == 0
            group.cut.clear()
            await soon(lambda: server.held("a") == server.held("b") == 2)
            assert server.most == MOST and not a.rules.count and not b.rules.count

    play(test)


def test_without_a_lease_nothing_is_opened_and_each_query_is_answered_by_its_deadline(tmp_path: Path) -> None:
    async def test() -> None:
        async with Backend() as node, Discovery(entry("s", node.port)) as list_:
            operators = Operators(fleet=cluster_settings(tmp_path, servers=Servers(connections=MOST)))
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


@pytest.mark.parametrize("deaf", [False, True])
def test_an_abandoned_connection_counts_until_the_server_has_let_go(deaf: bool) -> None:
    async def test() -> None:
        async with Counted(deaf) as server, gates(server, "a") as (_, a):
            server.deaf = True  # no answer
            attempt = a.ask()
            await soon(lambda: server.held("a"))
            server.deaf = deaf
            begun = boot_time_ms()
            attempt.abort(Verdict.CANCELLED)
            await soon(lambda: len(a.link._all) == 0)
            if deaf:
                assert (a.open, server.held("a")) == (1, 1)
            await soon(lambda: a.open == 0)
            assert not deaf or boot_time_ms() - begun >= IDLE_MS
            assert len(server.by) == int(deaf)
            server.release.set()

    play(test)


def test_a_connection_that_never_came_up_counts_no_longer_than_its_attempt() -> None:
    async def test() -> None:
        with socket.socket() as full:  # nobody takes what is in its queue, and no more gets in
            full.bind((HOST, 0))
            full.listen(0)
            port = full.getsockname()[1]
            with socket.create_connection((HOST, port)):
                async with gates(SimpleNamespace(port=port), "a") as (_, a):
                    a.pools.idle_ms = 1e7
                    attempt = a.ask()
                    await soon(
                        lambda: a.link._waiting
                    )  # for the lease; what is dialled under it is given up soon
                    a.haste()
                    await soon(lambda: a.open == 1)
                    attempt.abort(Verdict.CANCELLED)
                    await soon(lambda: a.ends and a.open == 0)

    play(test)


def test_a_diameter_server_is_reached_under_a_lease_alone() -> None:
    async def test() -> None:
        async with DiameterServer() as server, gates(server, "a", diameter=True) as (group, a):
            a.ask()
            await soon(lambda: a.ends)
            assert (a.ends[0].verdict.name, a.open, server.connections) == ("OK", 1, 1)
            group.cut.add("a")
            await soon(lambda: a.open == 0)
            a.haste()
            a.ask()
            await soon(lambda: len(a.ends) == 2)
            assert a.ends[1].verdict.name == "CONNECT_FAILED" and server.connections == 1

    play(test)


@pytest.mark.parametrize("diameter", [False, True])
def test_a_process_that_was_frozen_past_its_lease_writes_nothing_on_what_is_open(diameter: bool) -> None:
    async def test() -> None:
        async with (
            DiameterServer() if diameter else Counted() as server,
            gates(server, "a", diameter=diameter) as (_, a),
        ):
            a.ask()
            await soon(lambda: a.ends)
            a.pools.monotonic_ms = lambda: boot_time_ms() + 1e5
            a.haste()
            a.ask()  # before anything else could look
            await soon(lambda: len(a.ends) == 2)
            assert a.ends[1].verdict is Verdict.CONNECT_FAILED

    play(test)


def test_a_roll_pauses_gives_back_resumes_and_ends_the_gateway() -> None:
    async def test() -> None:
        async with Counted() as server, gates(server, "a") as (_, a):
            a.ask()
            await soon(lambda: a.ends)
            rolled = a.pools.restart_agent

            def stands(stand: str, **more: Any) -> None:
                (read,) = [
                    one for one in rolled.poll(boot_time_ms() + 1e6, 0.0) if isinstance(one, ReadDesiredState)
                ]
                rolled.answered(
                    boot_time_ms(),
                    read,
                    ApplyResult(
                        {
                            "roll": "r",
                            "stand": stand,
                            "round": 1,
                            "told": "",
                            "process": rolled.process,
                            "read_ms": 0.0,
                            "grow": 1.0,
                            **more,
                        }
                    ),
                )

            assert a.open == 1  # idle, and kept
            stands("GRANTING", told="ready")
            await soon(lambda: a.open == 0 and a.pools.is_empty)
            assert a.node.lead_nothing and not a.did
            stands("PAUSING", told="paused")
            await soon(lambda: a.did == ["pause"])
            a.drained = True
            a.link.retune((), PATIENT_MS, 30_000.0, 1.0)
            a.ask()  # a client that did not hear: it is served still, and the connection given back
            await soon(lambda: len(a.ends) == 2 and a.pools.is_empty)
            assert a.ends[1].verdict.name == "OK"
            stands("UNDOING", told="resumed")
            await soon(lambda: a.did == ["pause", "resume"] and not a.node.lead_nothing)
            stands("ACTING", told="x")
            await soon(lambda: a.did == ["pause", "resume", "pause", "end"])

    play(test)


def test_a_limit_is_forgotten_when_none_lists_or_uses_its_server_and_stated_again_by_who_does() -> None:
    async def test() -> None:
        group = Group()
        gate = Gate("A", 1, group)
        gate.pools.attach(gate.node, gate.rules)
        gate.pools.close()  # no look but this test's
        gate.node.states["g0"] = SimpleNamespace(parts={"connections": group.part}, index=1)  # type: ignore[assignment]
        gate.node.states[FLEET] = GroupStateMachine(FLEET, TIMINGS, gate.rules)  # it holds no limits
        gate.node.replicas["g0"] = gate.node.replicas[FLEET] = SimpleNamespace(leading=True)  # type: ignore[assignment]
        for server in ("gone", "used"):
            group.part.apply(
                0.0,
                SetConnectionLimit(id=server, server=server, max_connections=MOST, idle_timeout_ms=IDLE_MS),
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
        gate.pools.update_servers(["s"])  # which nobody uses
        while now <= REMOVAL_DELAY_MS:
            assert "gone" in group.part.servers
            for command in gate.pools.poll(now, now):
                group.part.apply(now, command)
            now += REMOVAL_CHECK_INTERVAL_MS
        assert list(group.part.servers) == ["s", "used"]
        del group.part.servers["s"]  # by a leader whose list did not name it
        gate.pools._leases["s"][0].upstream = SimpleNamespace(
            connections_needed=1, capacity_available=lambda: None
        )
        while "s" not in group.part.servers:
            now += 100.0
            assert now < 2 * REMOVAL_DELAY_MS
            for command in gate.pools.poll(now, now):
                gate.pools.answered(now, command, group.part.apply(now, command))

    play(test)
