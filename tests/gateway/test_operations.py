"""Operations on real sockets: the admin address, metrics and graceful shutdown."""

from __future__ import annotations

import asyncio
import json
import re
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path

import pytest

from badgeryoke.gateway.admin import server as admin_server
from badgeryoke.gateway.admin.rendering import Gauges, render_metrics
from badgeryoke.gateway.application import GatewayApplication
from badgeryoke.gateway.config.errors import ConfigError
from badgeryoke.gateway.config.platform_file import read_config
from badgeryoke.gateway.graceful_shutdown import (
    TRANSITIONS,
    GracefulShutdown,
    ShutdownEffect,
    ShutdownEvent,
    ShutdownState,
)
from badgeryoke.gateway.metrics import Metrics
from badgeryoke.gateway.resp import client_connection as client_connection_module
from tests.decisions.test_simulator_adapter import PARAMS
from tests.support.running import TEST_TIMEOUT_S, run_test, send_commands, until
from tests.support.stand_ins import (
    HOST,
    Backend,
    Counter,
    Discovery,
    config,
    connect,
    endpoint_snapshot,
    entry,
    gateway,
    query,
)


@asynccontextmanager
async def operated_gateway(
    script: list[bytes | None] | None = None, drain_s: float = 0.0, with_counter: bool = False
) -> AsyncIterator[tuple[GatewayApplication, Backend]]:
    """A gateway with an admin address and one backend."""
    async with (
        Backend(script=script) as backend,
        Discovery(entry("a", backend.port)) as discovery,
        Counter() as counter,
    ):
        gateway_config = config(
            discovery.port,
            counter.port if with_counter else None,
            endpoint_snapshot(entry("a", backend.port)),
        )
        async with gateway(replace(gateway_config, mgmt=(HOST, 0), drain_s=drain_s)) as app:
            yield app, backend


async def call(app: GatewayApplication, line: bytes = b"STATUS\n", half_close: bool = False) -> list[str]:
    """Send one admin call; returns all lines of the answer, up to the connection's end."""
    reader, writer = await connect(app.lifecycle.admin_address)
    writer.write(line)
    if half_close:
        writer.write_eof()
    lines = (await reader.read()).decode().splitlines()
    writer.close()
    return lines


async def read_metrics(app: GatewayApplication) -> dict[str, int]:
    first, *lines, last = await call(app, b"METRICS\n")
    assert (first, last) == ("+OK", ".")
    return {name: int(count) for name, count in (line.rsplit(" ", 1) for line in lines)}


# The admin address ------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("line", "prefix"),
    [
        (b"STATUS\n", "+OK"),
        (b"STATUS\r\n", "+OK"),
        (b" STATUS \n", "+OK"),
        (b"METRICS\n", "+OK"),
        (b"RESUME\n", "+OK"),
        (b"\n", "-ERR empty"),
        (b"status\n", "-ERR unknown"),
        (b"\xff\x00\n", "-ERR unknown"),
        (b"x" * 300, "-ERR line too long"),
        (b"*1\r\n$4\r\nPING\r\n", "-ERR unknown"),
    ],
)
def test_each_admin_line_gets_one_response(line: bytes, prefix: str) -> None:
    async def test() -> None:
        async with operated_gateway() as (app, _):
            assert (await call(app, line))[0].startswith(prefix)
            if line.endswith(b"\n"):  # also for a caller that closes its side after the line
                assert (await call(app, line, half_close=True))[0].startswith(prefix)

    run_test(test)


def test_callers_with_unfinished_calls_do_not_block_others(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(admin_server, "MAX_CONNECTIONS", 4)

    async def test() -> None:
        async with operated_gateway() as (app, _):
            idle = [await connect(app.lifecycle.admin_address) for _ in range(4)]
            idle[3][1].write(b"STAT")
            assert (await call(app))[0] == "+OK serving"
            assert await idle[0][0].read() == b""  # the oldest was closed
            idle[3][1].write(b"US\n")
            assert (await idle[3][0].read()).startswith(b"+OK")
            for _, writer in idle:
                writer.close()

    run_test(test)


def test_status_is_an_error_until_an_endpoint_list_is_known_and_while_ending() -> None:
    async def test() -> None:
        async with Discovery() as discovery:
            discovery.raw = [b"no list"]
            # The notice period outlasts the test, which ends it itself: the gateway stays in the state under test.
            made = replace(config(discovery.port, None), mgmt=(HOST, 0), drain_s=TEST_TIMEOUT_S)
            async with gateway(made) as app:
                try:
                    assert await call(app) == ["-ERR no list of servers yet"]
                    app.end()
                    assert await call(app) == ["-ERR leaving"]
                    assert (await call(app, b"RESUME\n"))[0].startswith("-ERR")
                finally:
                    app.end()
                    app.lifecycle.post(ShutdownEvent.NOTICE_ELAPSED)

    run_test(test)


@pytest.mark.parametrize(
    ("mgmt", "message"),
    [("nowhere", "mgmt: expected IP:PORT"), (f"{HOST}:6379", "mgmt: the same address as listen")],
)
def test_a_faulty_admin_address_names_its_key(mgmt: str, message: str, tmp_path: Path) -> None:
    raw = {"listen": f"{HOST}:6379", "discovery": f"{HOST}:1", "counter": f"{HOST}:1", "settings": PARAMS}
    path = tmp_path / "config.json"
    path.write_text(json.dumps({**raw, "mgmt": mgmt}))
    with pytest.raises(ConfigError, match=message):
        read_config({"LB_CONFIG": str(path)}, tmp_path)
    with pytest.raises(ConfigError, match=message.replace("mgmt", "LB_MGMT")):
        read_config({"LB_CONFIG": str(path), "LB_MGMT": mgmt}, tmp_path)
    path.write_text(json.dumps(raw))
    assert read_config({"LB_CONFIG": str(path)}, tmp_path).mgmt is None
    with pytest.raises(ConfigError, match="LB_SOCKET_FD"):
        read_config({"LB_CONFIG": str(path), "LB_SOCKET_FD": "999"}, tmp_path)
    with socket.socket() as not_listening, pytest.raises(ConfigError, match="LB_SOCKET_FD"):
        read_config({"LB_CONFIG": str(path), "LB_SOCKET_FD": str(not_listening.fileno())}, tmp_path)


# Metrics ----------------------------------------------------------------------------------------------


def test_labels_are_escaped_and_a_dropped_class_keeps_its_counts() -> None:
    metrics = Metrics(['a"\n\\'])
    metrics.add_classes(["b"])
    text = render_metrics(metrics, Gauges(1, 2, 3))
    assert 'lb_downstream_requests{lane="a\\"\\n\\\\",result="completed"} 0\n' in text
    assert 'lane="b"' in text and "\nlb_pending 1\nlb_members 2\nlb_members_unavailable 3\n" in text


def test_each_result_of_a_request_is_counted_once() -> None:
    """Served, rejected by the quota, failed after an error and after a reset: the metrics equal the counts of the
    stand-in servers and clients."""

    async def test() -> None:
        script = [None, b"-ERR failed\r\n", b"RESET"]
        async with operated_gateway(script=script) as (app, backend):
            reader, writer = await connect(app.lifecycle.address)
            writer.write(query("open", "load-send", key="k0"))
            await until(lambda: len(backend.commands) == 1)
            assert (await read_metrics(app))["lb_pending"] == 1
            answers = [await send_commands(app, query(f"f{n}", "load-send", key=f"k{n}")) for n in (1, 2)]
            answers += [await send_commands(app, query(f"s{n}")) for n in range(3)]
            answers.append(await send_commands(app, query("big", units=6, plan="small", customer=9)))
            answers.append(await send_commands(app, query("over", units=6, plan="small", customer=9)))
            answers.append(await send_commands(app, query("over2", units=6, plan="small", customer=9)))
            backend.writers[0].write(b"*1\r\n$1\r\nv\r\n")
            assert await reader.readexactly(7) == b"$1\r\nv\r\n"
            writer.close()
            metrics = await read_metrics(app)
            flat_responses = [str(item) for answer in answers for item in answer]
            served = sum("value" in item for item in flat_responses) + 1
            rejected = sum("BUSY" in item for item in flat_responses)
            counts_by_result = {
                result: sum(
                    metrics[f'lb_downstream_requests{{lane="{lane}",result="{result}"}}']
                    for lane in ("balance-check", "load-send")
                )
                for result in ("completed", "rejected", "failed")
            }
            assert counts_by_result == {
                "completed": served,
                "rejected": rejected,
                "failed": len(flat_responses) + 1 - served - rejected,
            }
            assert counts_by_result["rejected"] >= 1
            assert metrics["lb_upstream_requests"] == len(backend.commands)
            assert (metrics["lb_pending"], metrics["lb_members"]) == (0, 1)

    run_test(test)


# Shutdown ---------------------------------------------------------------------------------------------


def test_graceful_shutdown_ends_once_from_every_state() -> None:
    """From every state SIGTERM and its timers lead to the end, from which no event leads back."""
    for start in ShutdownState:
        shutdown = GracefulShutdown()
        shutdown.state = start
        for event in (
            ShutdownEvent.PAUSE,
            ShutdownEvent.TERMINATE,
            ShutdownEvent.RESUME,
            ShutdownEvent.NOTICE_ELAPSED,
            ShutdownEvent.PAUSE,
            ShutdownEvent.ALL_ANSWERED,
            ShutdownEvent.RESUME,
            ShutdownEvent.USAGE_REPORTED,
        ):
            shutdown.post(event)
        assert shutdown.state is ShutdownState.ENDED and shutdown.ending
    final_states = {
        state for state, event in TRANSITIONS if ShutdownEffect.EXIT in TRANSITIONS[state, event][1]
    }
    assert final_states == {ShutdownState.DRAINING, ShutdownState.REPORTING}


def test_a_timer_of_an_earlier_generation_does_nothing() -> None:
    shutdown = GracefulShutdown()
    shutdown.post(ShutdownEvent.PAUSE)
    old = shutdown.generation
    shutdown.post(ShutdownEvent.RESUME)
    shutdown.post(ShutdownEvent.PAUSE)
    assert shutdown.post(ShutdownEvent.NOTICE_ELAPSED, old) == ()
    assert shutdown.post(ShutdownEvent.NOTICE_ELAPSED, shutdown.generation) == (
        ShutdownEffect.CLOSE_CONNECTIONS,
    )
    assert shutdown.post(ShutdownEvent.PAUSE) == () and shutdown.state.value == "drained"


def test_pause_closes_connections_between_requests_and_resume_accepts_again() -> None:
    async def test() -> None:
        async with operated_gateway(script=[None], drain_s=0.05) as (app, backend):
            busy_reader, busy = await connect(app.lifecycle.address)
            busy.write(query("open"))
            idle_reader, idle = await connect(app.lifecycle.address)
            idle.write(b"*1\r\n$4\r\nPING\r\n")
            assert await idle_reader.readline() == b"+PONG\r\n"
            await until(lambda: backend.commands)
            assert await call(app, b"PAUSE\n") == ["+OK"]
            assert await call(app, b"PAUSE\n") == ["+OK"]  # harmless
            idle.write(b"*1\r\n$4\r\nPING\r\n")
            assert (await idle_reader.readline()).startswith(b"-ERR")
            idle.write(query("still"))
            assert await idle_reader.readexactly(11) == b"$5\r\nvalue\r\n"  # clients may continue for a while
            assert await idle_reader.read() == b""
            assert await call(app) == ["+OK drained"]
            backend.writers[0].write(b"*1\r\n$4\r\nlast\r\n")
            assert await busy_reader.read() == b"$4\r\nlast\r\n"  # its response, then the connection's end
            assert await send_commands(app, query("late")) == [b"value"]  # a late client gets one response
            assert await call(app, b"RESUME\n") == ["+OK"]
            back_reader, back = await connect(app.lifecycle.address)
            for n in range(2):
                back.write(b"*1\r\n$4\r\nPING\r\n" + query(f"back{n}"))
                assert await back_reader.readexactly(18) == b"+PONG\r\n$5\r\nvalue\r\n"
            for writer in (busy, idle, back):
                writer.close()

    run_test(test)


def test_a_client_that_never_stops_sending_is_closed_after_a_response(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(client_connection_module, "DRAIN_GRACE_S", 0.1)

    async def test() -> None:
        async with operated_gateway() as (app, _):
            reader, writer = await connect(app.lifecycle.address)

            async def send_requests() -> int:
                sent = 0
                while not reader.at_eof():
                    writer.write(query(f"q{sent}") + query(f"q{sent + 1}"))
                    sent += 2
                    await asyncio.sleep(0)
                return sent

            sending = asyncio.ensure_future(send_requests())
            await until(lambda: app.parts.dispatcher.metrics.finished["balance-check"][0] > 3)
            await call(app, b"PAUSE\n")
            read = await reader.read()
            sending.cancel()
            writer.close()
            assert re.fullmatch(rb"(\$5\r\nvalue\r\n|-BUSY \d+\r\n)+", read)  # whole answers alone
            assert app.parts.dispatcher.unanswered == 0

    run_test(test)


def test_sigterm_while_paused_and_pause_while_ending() -> None:
    async def test() -> None:
        async with operated_gateway(drain_s=0.05) as (app, _):
            await call(app, b"PAUSE\n")
            app.end()
            assert await call(app, b"PAUSE\n") == ["+OK"]
            assert (await call(app, b"RESUME\n"))[0].startswith("-ERR it is leaving")
            await app.done.wait()

    run_test(test)


def test_a_request_behind_a_long_one_gets_its_response_while_the_gateway_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Regression: such a request was read and dropped if the connection stayed open after the drain grace period."""
    monkeypatch.setattr(client_connection_module, "DRAIN_GRACE_S", 0.05)

    async def test() -> None:
        async with operated_gateway(script=[None], drain_s=0.05) as (app, backend):
            reader, writer = await connect(app.lifecycle.address)
            writer.write(query("long"))
            await until(lambda: backend.commands)
            [connection] = app.parts.resp_listener.connections
            app.end()
            await until(lambda: connection._closing)
            writer.write(query("behind"))
            await until(lambda: len(connection._slots) == 2)
            backend.writers[0].write(b"*1\r\n$4\r\nlast\r\n")
            assert await reader.read() == b"$4\r\nlast\r\n-BUSY 1\r\n"

    run_test(test)


def test_a_long_idle_connection_is_closed_completely_so_that_nothing_is_read_and_dropped() -> None:
    async def test() -> None:
        async with operated_gateway(drain_s=0.05) as (app, _):
            reader, writer = await connect(app.lifecycle.address)
            writer.write(query())
            assert await reader.readexactly(11) == b"$5\r\nvalue\r\n"
            [connection] = app.parts.resp_listener.connections
            connection._last_write_s -= client_connection_module.LINGER_S
            app.end()
            assert await reader.read() == b"" and connection._stream.closed()
            writer.close()

    run_test(test)
