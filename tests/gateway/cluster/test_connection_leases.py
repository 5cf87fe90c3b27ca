"""Tests of leased upstream connections on real sockets; the test grants the leases in place of the cluster."""

from __future__ import annotations

import socket
import time
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from badgeryoke.cluster.connection_limits.commands import (
    ConnectionLeaseRequest,
    RequestConnectionLeases,
    SetConnectionLimit,
)
from badgeryoke.cluster.connection_limits.holders import holder_id, server_bucket
from badgeryoke.cluster.rolling_restart.commands import ReadDesiredState
from badgeryoke.cluster.state_machine.machine import GroupStateMachine
from badgeryoke.cluster.state_machine_part import FLEET, ApplyResult
from badgeryoke.decisions.interface import Verdict
from badgeryoke.gateway.cluster.clock import boot_time_ms
from badgeryoke.gateway.cluster.server_limits import REMOVAL_CHECK_INTERVAL_MS, REMOVAL_DELAY_MS
from badgeryoke.gateway.cluster.settings import Servers
from badgeryoke.gateway.config.operators_file import Operators
from tests.support.cluster_service import cluster_settings
from tests.support.connection_leases import (
    CONNECTION_LIMIT,
    IDLE_MS,
    LONG_CONNECT_TIMEOUT_MS,
    TIMINGS,
    CountingServer,
    LeasedGateway,
    LimitGroup,
    keep_busy,
    leased_gateways,
    wait_until,
)
from tests.support.stand_ins import (
    HOST,
    Backend,
    DiameterServer,
    Discovery,
    config,
    connect,
    endpoint_snapshot,
    entry,
    gateway,
    query,
)
from tests.support.transport import run_with_timeout

TEST_TIMEOUT_S = 60.0  # some tests wait for leases to expire and move


def test_two_gateways_together_never_exceed_the_connection_limit() -> None:
    async def test() -> None:
        async with CountingServer() as server, leased_gateways(server, "a", "b") as (group, a, b):
            a.use_short_connect_timeout()
            keep_busy(a, 6)
            # The whole limit while no other gateway requests a lease.
            await wait_until(lambda: server.open_from("a") == CONNECTION_LIMIT)
            keep_busy(b, 6)
            # Half of the limit has moved.
            await wait_until(lambda: server.open_from("a") == server.open_from("b") == 2)
            group.unreachable.add("a")
            await wait_until(lambda: a.open_connections == 0)  # closed by itself when its lease expired
            assert server.open_from("a") == 0
            failed_attempts = len(a.attempt_ends)
            # The other gateway later gets the whole limit.
            await wait_until(lambda: server.open_from("b") == CONNECTION_LIMIT)
            # Without a lease each attempt fails at its connect timeout.
            await wait_until(lambda: len(a.attempt_ends) > failed_attempts + 6)
            assert server.open_from("a") == 0
            group.unreachable.clear()
            await wait_until(lambda: server.open_from("a") == server.open_from("b") == 2)
            assert server.max_open == CONNECTION_LIMIT and not a.invariants.count and not b.invariants.count

    run_with_timeout(test, TEST_TIMEOUT_S)


def test_without_a_lease_no_connection_is_opened_and_each_request_is_answered_by_its_deadline(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        async with Backend() as backend, Discovery(entry("s", backend.port)) as discovery:
            operators = Operators(
                fleet=cluster_settings(tmp_path, servers=Servers(connections=CONNECTION_LIMIT))
            )
            gateway_config = replace(
                config(discovery.port, None, endpoint_snapshot(entry("s", backend.port))),
                name="a",
                operators=operators,
            )
            async with gateway(gateway_config, lambda: time.time() * 1000.0) as app:
                reader, writer = await connect(app.lifecycle.address)
                writer.write(query("r1", d=300, plan="free"))
                assert (await reader.readline())[:1] == b"-"  # no lease without a majority of the cluster
                assert backend.connections == 0
                writer.close()

    run_with_timeout(test, TEST_TIMEOUT_S)


@pytest.mark.parametrize(
    "ignores_close",
    [False, True],
    ids=["server closes at once", "server ignores the close"],
)
def test_an_abandoned_connection_counts_until_the_server_has_closed_it(ignores_close: bool) -> None:
    async def test() -> None:
        async with CountingServer(ignores_close) as server, leased_gateways(server, "a") as (_, a):
            server.ignores_close = True  # it does not answer
            attempt = a.start_attempt()
            await wait_until(lambda: server.open_from("a"))
            server.ignores_close = ignores_close
            aborted_at_ms = boot_time_ms()
            attempt.abort(Verdict.CANCELLED)
            await wait_until(lambda: len(a.upstream._connections) == 0)
            if ignores_close:
                assert (a.open_connections, server.open_from("a")) == (1, 1)
            await wait_until(lambda: a.open_connections == 0)
            assert not ignores_close or boot_time_ms() - aborted_at_ms >= IDLE_MS
            assert len(server.gateway_of_connection) == int(ignores_close)
            server.release.set()

    run_with_timeout(test, TEST_TIMEOUT_S)


def test_a_connection_that_is_never_established_counts_no_longer_than_its_attempt() -> None:
    async def test() -> None:
        with socket.socket() as full_backlog:  # the first connection fills it, and is never accepted
            full_backlog.bind((HOST, 0))
            full_backlog.listen(0)
            port = full_backlog.getsockname()[1]
            with socket.create_connection((HOST, port)):
                async with leased_gateways(SimpleNamespace(port=port), "a") as (_, a):
                    a.leases.idle_ms = 1e7
                    attempt = a.start_attempt()
                    # Waits for the lease; later dials time out soon.
                    await wait_until(lambda: a.upstream._pending)
                    a.use_short_connect_timeout()
                    await wait_until(lambda: a.open_connections == 1)
                    attempt.abort(Verdict.CANCELLED)
                    await wait_until(lambda: a.attempt_ends and a.open_connections == 0)

    run_with_timeout(test, TEST_TIMEOUT_S)


def test_a_diameter_server_is_dialled_only_under_a_lease() -> None:
    async def test() -> None:
        async with DiameterServer() as server, leased_gateways(server, "a", diameter=True) as (group, a):
            a.start_attempt()
            await wait_until(lambda: a.attempt_ends)
            assert (a.attempt_ends[0].verdict.name, a.open_connections, server.connections) == ("OK", 1, 1)
            group.unreachable.add("a")
            await wait_until(lambda: a.open_connections == 0)
            a.use_short_connect_timeout()
            a.start_attempt()
            await wait_until(lambda: len(a.attempt_ends) == 2)
            assert a.attempt_ends[1].verdict.name == "CONNECT_FAILED" and server.connections == 1

    run_with_timeout(test, TEST_TIMEOUT_S)


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
            a.start_attempt()
            await wait_until(lambda: a.attempt_ends)
            a.leases.monotonic_ms = lambda: boot_time_ms() + 1e5
            a.use_short_connect_timeout()
            a.start_attempt()  # before any other check of the lease
            await wait_until(lambda: len(a.attempt_ends) == 2)
            assert a.attempt_ends[1].verdict is Verdict.CONNECT_FAILED

    run_with_timeout(test, TEST_TIMEOUT_S)


def test_a_rolling_restart_pauses_drains_resumes_and_ends_the_gateway() -> None:
    async def test() -> None:
        async with CountingServer() as server, leased_gateways(server, "a") as (_, a):
            a.start_attempt()
            await wait_until(lambda: a.attempt_ends)
            agent = a.leases.restart_agent

            def report_phase(phase: str, **fields: Any) -> None:
                (read_command,) = [
                    command
                    for command in agent.poll(boot_time_ms() + 1e6, 0.0)
                    if isinstance(command, ReadDesiredState)
                ]
                agent.answered(
                    boot_time_ms(),
                    read_command,
                    ApplyResult(
                        {
                            "roll": "r",
                            "stand": phase,
                            "round": 1,
                            "told": "",
                            "process": agent.process,
                            "read_ms": 0.0,
                            "grow": 1.0,
                            **fields,
                        }
                    ),
                )

            assert a.open_connections == 1  # idle, and kept open
            report_phase("GRANTING", told="ready")
            await wait_until(lambda: a.open_connections == 0 and a.leases.is_empty)
            assert a.node.avoid_leadership and not a.actions
            report_phase("PAUSING", told="paused")
            await wait_until(lambda: a.actions == ["pause"])
            a.drained = True
            a.upstream.update_settings((), LONG_CONNECT_TIMEOUT_MS, 30_000.0, 1.0)
            a.start_attempt()  # a late client is still served, and the connection is then closed
            await wait_until(lambda: len(a.attempt_ends) == 2 and a.leases.is_empty)
            assert a.attempt_ends[1].verdict.name == "OK"
            report_phase("UNDOING", told="resumed")
            await wait_until(lambda: a.actions == ["pause", "resume"] and not a.node.avoid_leadership)
            report_phase("ACTING", told="x")
            await wait_until(lambda: a.actions == ["pause", "resume", "pause", "end"])

    run_with_timeout(test, TEST_TIMEOUT_S)


def test_an_unlisted_unused_limit_is_removed_and_set_again_on_demand() -> None:
    async def test() -> None:
        group = LimitGroup()
        leased_gateway = LeasedGateway("A", 1, group)
        leased_gateway.leases.attach(leased_gateway.node, leased_gateway.invariants)
        leased_gateway.leases.close()  # no checks but those of this test
        leased_gateway.node.state_machines["g0"] = SimpleNamespace(
            parts={"connections": group.limits}, index=1
        )  # type: ignore[assignment]
        fleet_state = GroupStateMachine(FLEET, TIMINGS, leased_gateway.invariants)
        leased_gateway.node.state_machines[FLEET] = fleet_state
        leader: Any = SimpleNamespace(leading=True)
        leased_gateway.node.replicas["g0"] = leased_gateway.node.replicas[FLEET] = leader
        for server in ("gone", "used"):
            group.limits.apply(
                0.0,
                SetConnectionLimit(
                    id=server, server=server, max_connections=CONNECTION_LIMIT, idle_timeout_ms=IDLE_MS
                ),
            )
        other_holder = holder_id("B/1", "b", "1")
        group.limits.apply(
            0.0,
            RequestConnectionLeases(
                id="x",
                holder=other_holder,
                bucket=server_bucket("used"),
                requests=(ConnectionLeaseRequest("used", 0, 0, 1),),
            ),
        )
        now_ms = 0.0
        leased_gateway.leases.update_servers(["s"])  # which no upstream uses
        while now_ms <= REMOVAL_DELAY_MS:
            assert "gone" in group.limits.servers
            for command in leased_gateway.leases.poll(now_ms, now_ms):
                group.limits.apply(now_ms, command)
            now_ms += REMOVAL_CHECK_INTERVAL_MS
        assert list(group.limits.servers) == ["s", "used"]
        del group.limits.servers["s"]  # as by a leader whose list does not have it
        leased_gateway.leases._leases["s"][0].upstream = SimpleNamespace(
            connections_needed=1, capacity_available=lambda: None
        )
        while "s" not in group.limits.servers:
            now_ms += 100.0
            assert now_ms < 2 * REMOVAL_DELAY_MS
            for command in leased_gateway.leases.poll(now_ms, now_ms):
                leased_gateway.leases.answered(now_ms, command, group.limits.apply(now_ms, command))

    run_with_timeout(test, TEST_TIMEOUT_S)
