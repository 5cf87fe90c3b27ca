"""RESP2 requests from the client to the backend and back, over real sockets: one test for each rule."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

import pytest
from tornado.iostream import IOStream

from badgeryoke.decisions import interface as api
from badgeryoke.gateway.actor import ActorScheduler
from badgeryoke.gateway.attempt import Request
from badgeryoke.gateway.resp.client_connection import MAX_PIPELINED_REQUESTS, RespClientConnection
from badgeryoke.gateway.resp.request_budget import RequestBudget
from badgeryoke.gateway.resp.response_budget import ResponseBudget
from badgeryoke.gateway.wall_clock import WallClock
from tests.decisions.test_simulator_adapter import PARAMS
from tests.support.paths import ROOT
from tests.support.running import run_test, send_commands
from tests.support.stand_ins import (
    Backend,
    Counter,
    Discovery,
    config,
    connect,
    endpoint_snapshot,
    entry,
    gateway,
    one_gateway,
    query,
    read_reply,
    resp,
)


def test_a_request_is_forwarded_unchanged_and_its_value_is_returned() -> None:
    async def test() -> None:
        async with Counter() as counter, one_gateway(counter=counter.port) as (app, backend, _):
            answers = await send_commands(
                app, query("id1", "load-send", 3, key="5c0f6e1a2b3d4c59", body="BODY")
            )
            assert answers == [b"value"]
            name, customer, request_id, field_list, body = backend.commands[0]
            assert (name, customer, request_id, body) == (b"SVC.SUBMIT", b"%016x" % 5, b"id1", b"BODY")
            fields = dict(part.split("=") for part in field_list.decode().split(","))
            assert 0 < int(fields.pop("d")) <= 60_000
            assert fields == {
                "c": "load-send",
                "t": "dealer",
                "k": "5c0f6e1a2b3d4c59",
                "units": "3",
                "spread": "2",
                "first": "0",
            }
            assert counter.units == 3

    run_test(test)


FAILURES = [
    pytest.param([b"-ERR failed used=3 inflight=1\r\n"], 2, id="an error in an idempotent class is retried"),
    pytest.param([b"-BUSY\r\n"], 2, id="a rejected attempt never ran"),
    pytest.param([b"RESET"], 2, id="a reset in an idempotent class is retried"),
    pytest.param([b"!garbage\r\n"], 2, id="bytes that are not RESP2"),
    pytest.param([b"*1\r\n$-1\r\n"], 2, id="an array without a value"),
    pytest.param([b"*3\r\n$5\r\nvalue\r\n$3\r\nxyz\r\n$2\r\n==\r\n"], 1, id="malformed cost and load report"),
]


@pytest.mark.parametrize(("script", "attempts"), FAILURES)
def test_each_backend_reply_maps_to_an_attempt_outcome(script: list[bytes | None], attempts: int) -> None:
    async def test() -> None:
        async with one_gateway(script=script) as (app, backend, _):
            assert await send_commands(app, query()) == [b"value"]
            assert len(backend.commands) == attempts

    run_test(test)


def test_a_non_idempotent_attempt_that_may_have_run_is_not_retried() -> None:
    not_idempotent = api.RequestClass("load-send", 30_000.0, 60_000.0, api.Idempotency.NOT_IDEMPOTENT)

    async def test() -> None:
        async with Backend(script=[b"RESET"]) as backend, Discovery(entry("a", backend.port)) as discovery:
            gateway_config = config(
                discovery.port, None, endpoint_snapshot(entry("a", backend.port)), classes=(not_idempotent,)
            )
            async with gateway(gateway_config) as app:
                [answer] = await send_commands(app, query(cls="load-send", key="1" * 16))
                assert str(answer).startswith("-ERR failed") and len(backend.commands) == 1

    run_test(test)


def test_without_servers_a_request_is_rejected_with_retry_after() -> None:
    async def test() -> None:
        async with gateway(config(1, None, endpoint_snapshot(entry("a", 1, "leaving")))) as app:
            [answer] = await send_commands(app, query())
            assert str(answer).startswith("-BUSY ") and int(str(answer)[6:]) > 0

    run_test(test)


def test_pipelined_requests_are_answered_in_order() -> None:
    async def test() -> None:
        async with one_gateway(script=[None, None]) as (app, backend, _):
            reader, writer = await connect(app.lifecycle.address)
            writer.write(query("held") + query("quick") + resp("PING"))
            while len(backend.commands) < 2:
                await asyncio.sleep(0)
            held_index = next(
                index for index, command in enumerate(backend.commands) if command[2] == b"held"
            )
            backend.writers[1 - held_index].write(b"*1\r\n$5\r\nquick\r\n")
            backend.writers[held_index].write(b"*1\r\n$4\r\nheld\r\n")
            assert [await read_reply(reader) for _ in range(3)] == [b"held", b"quick", "+PONG"]
            writer.close()

    run_test(test)


def test_a_request_to_a_silent_backend_still_gets_a_response() -> None:
    async def test() -> None:
        short_deadline = api.RequestClass("balance-check", 1000.0, 1000.0, api.Idempotency.IDEMPOTENT)
        async with Backend(script=[None] * 3) as backend, Discovery(entry("a", backend.port)) as discovery:
            gateway_config = config(
                discovery.port, None, endpoint_snapshot(entry("a", backend.port)), classes=(short_deadline,)
            )
            async with gateway(gateway_config, WallClock(time.monotonic, time.time)) as app:
                [answer] = await send_commands(app, query(d=1000))
                assert str(answer).startswith("-BUSY ") and backend.commands
                await backend.ended.wait()  # the gateway has closed the attempt's connection

    run_test(test)


def test_a_client_disconnect_cancels_its_attempt() -> None:
    async def test() -> None:
        async with one_gateway(script=[None]) as (app, backend, _):
            _, writer = await connect(app.lifecycle.address)
            writer.write(query())
            await backend.ledger.arrived.wait()
            writer.close()
            await backend.ended.wait()
            assert app.parts.dispatcher.unanswered == 0

    run_test(test)


MALFORMED = [
    pytest.param(resp("SVC.QUERY", "0" * 16), True, id="too few arguments"),
    pytest.param(resp("SVC.QUERY", "z" * 16, "r", "c=balance-check"), True, id="customer is not a number"),
    pytest.param(
        resp("SVC.QUERY", "0x" + "1" * 14, "r", "c=balance-check"), True, id="customer with a 0x prefix"
    ),
    pytest.param(query(cls="load-send"), True, id="no idempotency key in a class that requires one"),
    pytest.param(resp("SVC.QUERY", "f" * 16, "r", "c=balance-check"), True, id="customer too large"),
    pytest.param(query(cls="lottery"), True, id="unknown class"),
    pytest.param(query(plan="gold"), True, id="unknown plan"),
    pytest.param(query(d=-1), True, id="negative deadline"),
    pytest.param(resp("FLUSHALL"), True, id="unknown command"),
    pytest.param(b"PING\r\n", False, id="not an array"),
    pytest.param(b"*1\r\n$70000\r\n", False, id="bulk string too long"),
    pytest.param(b"*99\r\n", False, id="too many array items"),
]


@pytest.mark.parametrize(("data", "stays_open"), MALFORMED)
def test_malformed_input_gets_an_error_and_closes_at_most_its_own_connection(
    data: bytes, stays_open: bool
) -> None:
    async def test() -> None:
        async with one_gateway() as (app, _, _):
            other_reader, other_writer = await connect(app.lifecycle.address)
            reader, writer = await connect(app.lifecycle.address)
            writer.write(data)
            assert str(await read_reply(reader)).startswith("-ERR")
            if stays_open:
                writer.write(query())
                assert await read_reply(reader) == b"value"
            else:
                assert await reader.read() == b""
            other_writer.write(query("r2"))
            assert await read_reply(other_reader) == b"value"
            other_writer.close()
            writer.close()

    run_test(test)


def test_a_request_before_a_protocol_fault_in_the_same_chunk_is_served() -> None:
    """Regression: the parser returned no values of a chunk with a fault in it, so that requests before the fault got
    no response."""

    async def test() -> None:
        async with one_gateway() as (app, _, _):
            first, second = await send_commands(app, query(), b"PING\r\n")
            assert first == b"value" and str(second).startswith("-ERR protocol")

    run_test(test)


def test_ping_is_answered_with_pong_only_once_an_endpoint_list_is_known() -> None:
    async def test() -> None:
        discovery = Discovery()
        async with discovery:
            port = discovery.port
        gateway_config = config(port, None)  # discovery is absent at the start
        async with gateway(gateway_config) as app:
            assert await send_commands(app, resp("PING")) == ["-ERR not ready"]
            discovery = Discovery(entry("a", 1))
            discovery.port = port
            async with discovery:
                while await send_commands(app, resp("PING")) != ["+PONG"]:
                    await asyncio.sleep(0.01)

    run_test(test)


def test_no_new_attempt_is_sent_to_a_draining_server() -> None:
    async def test() -> None:
        async with one_gateway(script=[None]) as (app, backend, discovery):
            reader, writer = await connect(app.lifecycle.address)
            writer.write(query("before"))
            await backend.ledger.arrived.wait()
            while not any("after" in call for call in discovery.calls):
                await asyncio.sleep(0)
            discovery.change(entry("a", backend.port, "leaving"))
            while len(discovery.calls) < 3:  # the change has been applied: the next watch has begun
                await asyncio.sleep(0)
            assert str((await send_commands(app, query("after")))[0]).startswith("-BUSY")
            backend.writers[0].write(b"*1\r\n$4\r\nlast\r\n")  # the request in flight still gets its response
            assert await read_reply(reader) == b"last"
            assert [command[2] for command in backend.commands] == [b"before"]
            writer.close()

    run_test(test)


def test_a_connection_is_reused_for_consecutive_requests() -> None:
    async def test() -> None:
        async with one_gateway() as (app, backend, _):
            for n in range(20):
                assert await send_commands(app, query(f"r{n}")) == [b"value"]
            assert backend.connections == 1

    run_test(test)


def test_an_attempt_on_an_unreachable_server_never_ran() -> None:
    async def test() -> None:
        async with Backend() as stopped:
            port = stopped.port
        async with Backend() as backend, Discovery(entry("a", port), entry("b", backend.port)) as discovery:
            endpoints = endpoint_snapshot(entry("a", port), entry("b", backend.port))
            async with gateway(config(discovery.port, None, endpoints)) as app:
                for n in range(8):  # requests with a key are retried only if the attempt never ran
                    assert await send_commands(app, query(f"r{n}", "load-send", key=f"{n:016x}")) == [
                        b"value"
                    ]

    run_test(test)


def test_after_sigterm_accepted_requests_are_answered_before_the_close() -> None:
    async def test() -> None:
        async with one_gateway(script=[None]) as (app, backend, _):
            reader, writer = await connect(app.lifecycle.address)
            writer.write(query())
            await backend.ledger.arrived.wait()
            app.end()
            # A new connection is still accepted.
            assert await send_commands(app, resp("PING")) == ["-ERR not ready"]
            assert not app.done.is_set()
            backend.writers[0].write(b"*1\r\n$4\r\nlast\r\n")
            assert await read_reply(reader) == b"last"
            assert await reader.read() == b""
            await app.done.wait()

    run_test(test)


def test_the_counter_alone_enforces_quotas_over_gateways() -> None:
    async def test() -> None:
        async with (
            Backend() as backend,
            Discovery(entry("a", backend.port)) as discovery,
            Counter() as counter,
        ):
            endpoints = endpoint_snapshot(entry("a", backend.port))
            async with (
                gateway(config(discovery.port, counter.port, endpoints)) as first,
                gateway(config(discovery.port, counter.port, endpoints, index=1)) as second,
            ):
                answers = [
                    (await send_commands(app, query(f"r{n}", units=3, plan="small")))[0]
                    for n, app in enumerate([first, second] * 4)
                ]
                served = [n for n, answer in enumerate(answers) if answer == b"value"]
                assert len(served) == 4 and backend.ledger.units[5] == 12
                assert all(str(other).startswith("-BUSY ") for other in answers if other != b"value")

    run_test(test)


def test_backpressure_stops_reading_at_the_bound_of_pipelined_requests() -> None:
    """Regression: the bound was checked before the data that had been read was handled, so it had no effect."""

    class CountingDispatcher:
        submitted = 0

        def validate(self, request: Request) -> None:
            return None

        def submit(self, request: Request, on_response: object) -> Callable[[], None]:
            self.submitted += 1
            return lambda: None

    async def test() -> None:
        gateway_socket, client_socket = socket.socketpair()
        dispatcher = CountingDispatcher()
        stream = IOStream(gateway_socket)
        connection = RespClientConnection(
            stream,
            dispatcher,  # type: ignore[arg-type]
            ActorScheduler(asyncio.get_running_loop()),
            lambda: True,
            lambda _: None,
            ResponseBudget(10**9),
            RequestBudget(10**9),
        )
        serving = asyncio.ensure_future(connection.serve())
        _, writer = await asyncio.open_connection(sock=client_socket)
        # Each read returns two or three requests.
        writer.write(query(cls="load-send", key="k", body="x" * 30_000) * 2 * MAX_PIPELINED_REQUESTS)
        while dispatcher.submitted < MAX_PIPELINED_REQUESTS:
            await asyncio.sleep(0)
        for _ in range(1000):
            await asyncio.sleep(0)
        assert dispatcher.submitted < MAX_PIPELINED_REQUESTS + 4
        writer.transport.abort()
        stream.close()
        await serving

    run_test(test)


def test_the_program_starts_serves_and_ends_on_sigterm(tmp_path: Path) -> None:
    with socket.socket() as port_holder:
        port_holder.bind(("127.0.0.1", 0))
        port = port_holder.getsockname()[1]
    raw_config = {
        "name": "n1",
        "listen": f"127.0.0.1:{port}",
        "discovery": "127.0.0.1:1",
        "seed": "1f",
        "counter": "127.0.0.1:1",
        "settings": PARAMS,
        "known": {"version": 1, "full": True, "servers": [entry("a", 1)]},
    }
    (tmp_path / "config.json").write_text(json.dumps(raw_config))
    root = ROOT
    environment = {**os.environ, "LB_CONFIG": str(tmp_path / "config.json")}
    with subprocess.Popen(
        [sys.executable, "-m", "badgeryoke"], cwd=root, stderr=subprocess.PIPE, env=environment, text=True
    ) as process:
        assert process.stderr is not None
        while "listens on" not in process.stderr.readline():
            assert process.poll() is None
        with socket.create_connection(("127.0.0.1", port)) as client:
            answer = b""
            while answer != b"+PONG\r\n":
                client.sendall(resp("PING"))
                answer = client.recv(100)
        process.terminate()
        assert "all requests are answered" in process.stderr.read()
        assert process.wait() == 0


def test_faulty_configuration_ends_the_program_with_its_key() -> None:
    completed = subprocess.run(
        [sys.executable, "-m", "badgeryoke"],
        capture_output=True,
        text=True,
        check=False,
        env={k: v for k, v in os.environ.items() if k != "LB_CONFIG"},
    )
    assert completed.returncode == 1 and "LB_CONFIG: not set" in completed.stderr
