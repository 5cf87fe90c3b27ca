"""Reload, counter faults, many or faulty clients, and faulty servers, on real sockets."""

from __future__ import annotations

import asyncio
import json
import math
import os
import signal
import socket
import subprocess
import sys
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from badgeryoke.decisions.interface import Verdict
from badgeryoke.gateway import parts
from badgeryoke.gateway.application import GatewayApplication
from badgeryoke.gateway.attempt import Attempt, AttemptEnd, Request
from badgeryoke.gateway.config.errors import ConfigError
from badgeryoke.gateway.config.model import Config
from badgeryoke.gateway.resp import listener as listener_module
from badgeryoke.gateway.resp.client_connection import MAX_MALFORMED_COMMANDS
from badgeryoke.gateway.resp.upstream_connection import RespUpstream, complete_attempt
from tests.decisions.test_simulator_adapter import PARAMS
from tests.support.counter import CounterCalls
from tests.support.paths import ROOT
from tests.support.running import run_test, send_commands, until
from tests.support.stand_ins import (
    HOST,
    NOW_MS,
    Backend,
    Counter,
    Discovery,
    config,
    connect,
    endpoint_snapshot,
    entry,
    one_gateway,
    query,
    read_reply,
    resp,
)

# Reload -----------------------------------------------------------------------------------------------


def test_a_reload_switches_discovery_and_counter_without_losing_a_request_or_a_charge() -> None:
    async def test() -> None:
        async with (
            Backend(script=[None]) as backend,
            Backend() as new_backend,
            Counter() as old_counter,
            Counter() as new_counter,
            Discovery(entry("a", backend.port)) as discovery,
            Discovery(entry("b", new_backend.port)) as new_discovery,
        ):
            gateway_config = config(
                discovery.port, old_counter.port, endpoint_snapshot(entry("a", backend.port))
            )
            app = GatewayApplication(
                gateway_config,
                lambda: NOW_MS,
                lambda: replace(
                    gateway_config, discovery=(HOST, new_discovery.port), counter=(HOST, new_counter.port)
                ),
            )
            app.start()
            await until(lambda: app.parts.discovery.ready)
            reader, writer = await connect(app.lifecycle.address)
            writer.write(query("open"))
            await backend.ledger.arrived.wait()
            old_counter.may_answer.clear()
            waiting_reader, waiting = await connect(app.lifecycle.address)
            waiting.write(query("waits", units=2, customer=6))  # its call is in flight at the old counter
            await until(lambda: old_counter.units == 3)
            app.reload()
            await until(lambda: new_discovery.calls and new_counter.connections)
            while await send_commands(app, query("after", units=3, customer=7)) != [b"value"]:
                await asyncio.sleep(0)
            # No call was repeated, or made at the old counter.
            assert new_counter.units >= 3 and old_counter.units == 3
            old_counter.may_answer.set()
            assert await read_reply(waiting_reader) == b"value"
            backend.writers[0].write(b"*1\r\n$4\r\nlast\r\n")
            assert await read_reply(reader) == b"last"  # on its connection from before the reload
            app.end()
            await app.done.wait()

    run_test(test)


def test_a_faulty_configuration_is_not_applied_on_reload(caplog: pytest.LogCaptureFixture) -> None:
    def faulty() -> Config:
        raise ConfigError("counter: expected IP:PORT, got 'nowhere'")

    async def test() -> None:
        async with Backend() as backend, Discovery(entry("a", backend.port)) as discovery:
            app = GatewayApplication(
                config(discovery.port, None, endpoint_snapshot(entry("a", backend.port))),
                lambda: NOW_MS,
                faulty,
            )
            app.start()
            await until(lambda: app.parts.discovery.ready)
            app.reload()
            assert await send_commands(app, query()) == [b"value"]
            app.end()
            await app.done.wait()

    run_test(test)
    assert "counter: expected IP:PORT" in caplog.text


def test_the_program_applies_a_new_file_on_sighup(tmp_path: Path) -> None:
    """Regression: SIGHUP ended the process, and the environment's address took precedence over the new file's."""
    path = tmp_path / "config.json"
    with socket.socket() as free_port_socket, socket.create_server((HOST, 0)) as discovery:
        free_port_socket.bind((HOST, 0))
        port = free_port_socket.getsockname()[1]
        free_port_socket.close()
        raw = {
            "name": "n1",
            "listen": f"{HOST}:{port}",
            "discovery": f"{HOST}:1",
            "seed": "1f",
            "counter": f"{HOST}:1",
            "settings": PARAMS,
            "known": {"version": 1, "full": True, "servers": [entry("a", 1)]},
        }
        path.write_text(json.dumps(raw))
        root = ROOT
        environment = {**os.environ, "LB_CONFIG": str(path), "LB_DISCOVERY": f"{HOST}:1"}
        with subprocess.Popen(
            [sys.executable, "-m", "badgeryoke"], cwd=root, stderr=subprocess.PIPE, env=environment, text=True
        ) as process:
            assert process.stderr is not None

            def wait_for_line(text: str) -> None:
                assert process.stderr is not None
                while text not in process.stderr.readline():
                    assert process.poll() is None

            wait_for_line("listens on")
            path.write_text(json.dumps({**raw, "counter": "nowhere"}))
            process.send_signal(signal.SIGHUP)
            wait_for_line("reload: configuration: counter: expected IP:PORT")
            path.write_text(json.dumps({**raw, "discovery": f"{HOST}:{discovery.getsockname()[1]}"}))
            process.send_signal(signal.SIGHUP)
            poll_connection, _ = discovery.accept()
            with poll_connection:
                assert poll_connection.recv(100).startswith(b"GET /api/targets HTTP/1.1")
            process.terminate()
            assert process.wait() == 0


# The counter ------------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "malformed",
    [
        b"$3\r\nabc\r\n",
        b"*1\r\n$1\r\n4\r\n",
        b":4\r\n",
        b"-what\r\n",
        b"+OK\r\n",
        b"noise without an end",
        b"$9\r\n4\r\n",
        b"$3\r\n1_0\r\n",
        b"$3000000000\r\n4",
    ],
)
def test_a_malformed_counter_total_was_added_and_ends_its_connection(malformed: bytes) -> None:
    """Regression: after a malformed total the connection stayed in use, and later calls got the wrong replies."""

    async def test() -> None:
        async with Counter() as counter:
            calls = CounterCalls(counter.port)
            await calls.connected()
            normal_answer, counter.answer = counter.answer, lambda _: malformed
            calls.client.add(7, 2.0, 1000.0, calls.replies.put_nowait)
            await until(lambda: counter.totals["7"])
            counter.answer = normal_answer
            if malformed.startswith(b"$9"):  # detected only by the timeout
                for _ in range(200):
                    await asyncio.sleep(0)
                calls.now_ms += 51.0
            assert (await calls.replies.get()).verdict is Verdict.TIMEOUT
            await calls.connected()
            assert (await calls.call(7)).total == 3.0 and counter.connections == 2
            calls.client.close()

    run_test(test)


# Clients ----------------------------------------------------------------------------------------------


def test_an_idle_connection_is_closed_for_a_new_one(monkeypatch: pytest.MonkeyPatch) -> None:
    """Regression: clients that sent one request and stayed connected took up all connections, and later clients were
    rejected."""
    monkeypatch.setattr(parts, "RESP_CLIENTS_FRACTION", 3 / 1024)
    monkeypatch.setattr(listener_module, "MIN_EVICTION_IDLE_S", 0.0)

    async def test() -> None:
        async with one_gateway(script=[None]) as (app, backend, _):
            busy_reader, busy = await connect(app.lifecycle.address)
            busy.write(query("busy"))
            await backend.ledger.arrived.wait()
            idle: list[asyncio.StreamReader] = []
            for n in range(6):
                reader, writer = await connect(app.lifecycle.address)
                idle.append(reader)
                writer.write(query(f"r{n}"))
                assert await read_reply(reader) == b"value"
            assert await idle[0].read() == b""
            backend.writers[0].write(b"*1\r\n$4\r\nkept\r\n")
            # A connection with an open request is never closed.
            assert await read_reply(busy_reader) == b"kept"

    run_test(test)


def test_many_clients_with_one_request_each_are_served(monkeypatch: pytest.MonkeyPatch) -> None:
    """Regression: only connections idle for 2 s were closed for new ones: a hundred new ones a second reached the
    limit."""
    monkeypatch.setattr(parts, "RESP_CLIENTS_FRACTION", 2 / 1024)

    async def test() -> None:
        async with one_gateway() as (app, _, _):
            writers = []
            for n in range(8):
                reader, writer = await connect(app.lifecycle.address)
                writers.append(writer)
                writer.write(query(f"r{n}"))
                assert await read_reply(reader) == b"value"
                now = app.parts.loop.time()
                for connection in app.parts.resp_listener.connections:
                    # As if it had been idle for that time.
                    connection.idle_since_s = now - listener_module.MIN_EVICTION_IDLE_S

    run_test(test)


def test_idle_connections_are_closed_before_clients_reach_their_own_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Regression: clients may hold a third of the descriptors at most, and those that stayed connected kept all others
    from connecting."""
    monkeypatch.setattr(parts, "CROWDED_CLIENTS_FRACTION", 4 / 1024)
    monkeypatch.setattr(listener_module, "MIN_IDLE_WHEN_CROWDED_S", 0.0)

    async def test() -> None:
        async with one_gateway() as (app, _, _):
            writers = []
            for n in range(12):
                reader, writer = await connect(app.lifecycle.address)
                writers.append(writer)
                writer.write(query(f"r{n}"))
                assert await read_reply(reader) == b"value"
            await until(lambda: len(app.parts.resp_listener.connections) <= 4)  # without any new client

    run_test(test)


@pytest.mark.parametrize("sent", [b"", b"*4\r\n$9\r\nSVC.QUERY\r\n", b"*1\r\n$60000\r\nxx"])
def test_a_client_that_sends_nothing_or_a_partial_command_is_closed(
    sent: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(listener_module, "COMMAND_TIMEOUT_S", 0.3)

    async def test() -> None:
        async with one_gateway() as (app, _, _):
            reader, writer = await connect(app.lifecycle.address)
            writer.write(sent)
            assert await reader.read() == b""

    run_test(test)


def test_a_partial_command_does_not_affect_the_request_before_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(listener_module, "COMMAND_TIMEOUT_S", 0.3)

    async def test() -> None:
        async with one_gateway(script=[None]) as (app, backend, _):
            reader, writer = await connect(app.lifecycle.address)
            writer.write(query("whole") + resp("PING")[:6])
            await backend.ledger.arrived.wait()
            [connection] = app.parts.resp_listener.connections
            await until(lambda: connection._closing)
            backend.writers[0].write(b"*1\r\n$4\r\nkept\r\n")
            assert await read_reply(reader) == b"kept"
            assert await reader.read() == b""

    run_test(test)


def test_a_connection_whose_end_is_in_the_mailbox_is_not_swept(monkeypatch: pytest.MonkeyPatch) -> None:
    """Regression: the check for unread bytes raised an error on it, and the new client's connection hung."""
    monkeypatch.setattr(parts, "RESP_CLIENTS_FRACTION", 1 / 1024)
    monkeypatch.setattr(listener_module, "MIN_EVICTION_IDLE_S", 0.0)

    async def test() -> None:
        async with one_gateway() as (app, _, _):
            _, writer = await connect(app.lifecycle.address)
            await until(lambda: app.parts.resp_listener.connections)
            [connection] = app.parts.resp_listener.connections
            connection.abort()
            assert not connection.is_idle
            writer.close()

    run_test(test)


def test_a_connection_in_use_or_recently_opened_is_kept() -> None:
    async def test() -> None:
        async with one_gateway() as (app, _, _):
            reader, writer = await connect(app.lifecycle.address)
            writer.write(query())
            assert await read_reply(reader) == b"value"
            app.parts.resp_listener.sweep()
            writer.write(resp("PING"))
            assert await read_reply(reader) == "+PONG"

    run_test(test)


MALFORMED = {
    "units that are no number": ("units=1", "units=nan"),
    "units with an exponent": ("units=1", "units=1e0"),
    "negative units": ("units=1", "units=-1"),
    "zero units": ("units=1", "units=0"),
    "more units than allowed": ("units=1", "units=7"),
    "an infinite set size": ("spread=2", "spread=inf"),
    "an empty set": ("spread=2", "spread=0"),
    "a set of more gateways than exist": ("spread=2", "spread=3"),
    "a set size with an underscore": ("spread=2", "spread=0_2"),
    "a first gateway that does not exist": ("first=0", "first=2"),
    "a deadline that is no number": ("d=60000", "d=soon"),
    "a deadline of nan": ("d=60000", "d=nan"),
    "a deadline past the class's": ("d=60000", "d=70000"),
    "no time": ("d=60000", "d=0"),
    "a field twice": ("units=1", "units=1,units=1"),
    "a missing field": ("units=1,", ""),
    "a malformed retry flag": ("units=1", "units=1,r=2"),
    "a key with blanks": ("units=1", "units=1,k=a b"),
    "another class's command": ("SVC.QUERY", "SVC.SUBMIT"),
    "no id": ("\r\nr1\r\n", "\r\n\r\n"),
    "an id with a line end": ("\r\nr1\r\n", "\r\nr\r\n\r\n"),
}


def query_with(old: str, new: str) -> bytes:
    """The usual query with a part of it replaced and its lengths adapted."""
    text = "SVC.QUERY|0000000000000005|\r\nr1\r\n|c=balance-check,t=dealer,d=60000,units=1,spread=2,first=0"
    assert old in text
    words = text.replace(old, new).split("|")
    words[2] = words[2][2:-2]
    return resp(*words)


def test_a_field_out_of_bounds_is_an_error_and_reaches_no_server() -> None:
    async def test() -> None:
        async with one_gateway() as (app, backend, _):
            for case, (old, new) in MALFORMED.items():
                [answer] = await send_commands(app, query_with(old, new))
                assert str(answer).startswith("-ERR "), case
            assert await send_commands(app, query_with("r1", "r1")) == [b"value"]
            assert len(backend.commands) == 1

    run_test(test)


def test_a_client_that_sends_one_malformed_command_after_another_is_closed() -> None:
    async def test() -> None:
        async with one_gateway() as (app, backend, _):
            reader, writer = await connect(app.lifecycle.address)
            writer.write(query(cls="lottery") * 500 + query())
            answers = (await reader.read()).split(b"\r\n")
            assert len(answers) - 1 == MAX_MALFORMED_COMMANDS and all(a[:4] == b"-ERR" for a in answers[:-1])
            assert not backend.commands
            writer.close()

    run_test(test)


def test_the_id_of_an_open_request_is_an_error_and_does_not_affect_the_open_one() -> None:
    """The server would have treated it as a copy of the other client's request."""

    async def test() -> None:
        async with one_gateway(script=[None]) as (app, backend, _):
            reader, writer = await connect(app.lifecycle.address)
            writer.write(query("mine"))
            await backend.ledger.arrived.wait()
            [answer] = await send_commands(app, query("mine", customer=6))
            assert str(answer).startswith("-ERR") and len(backend.commands) == 1
            backend.writers[0].write(b"*1\r\n$4\r\nkept\r\n")
            assert await read_reply(reader) == b"kept"
            assert await send_commands(app, query("mine")) == [b"value"]  # it is closed now

    run_test(test)


def test_a_command_is_bounded_as_a_whole() -> None:
    """Otherwise each connection could buffer five strings of the largest size."""

    async def test() -> None:
        async with one_gateway() as (app, _, _):
            reader, writer = await connect(app.lifecycle.address)
            writer.write(b"*5\r\n" + 2 * (b"$60000\r\n" + b"x" * 60_000 + b"\r\n"))
            assert (await reader.read()).startswith(b"-ERR protocol: too large")

    run_test(test)


def test_partial_commands_are_bounded_over_all_connections(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(parts, "PARTIAL_COMMANDS_FRACTION", 0.0)

    async def test() -> None:
        async with one_gateway() as (app, _, _):
            reader, writer = await connect(app.lifecycle.address)
            writer.write(resp("PING", "x" * 1000)[:-10])
            assert await reader.read() == b""

    run_test(test)


def test_a_client_that_does_not_read_its_responses_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(listener_module, "WRITE_STALL_TIMEOUT_S", 0.3)
    value = b"*1\r\n" + resp("v" * 65_000)[4:]

    async def test() -> None:
        async with one_gateway(script=[value]) as (app, _, _):
            with socket.socket() as client:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                # Into the backlog: this call blocks the event loop, so nothing is accepted meanwhile.
                client.connect(app.lifecycle.address)
                await until(lambda: app.parts.resp_listener.connections)
                [connection] = app.parts.resp_listener.connections
                connection._stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
                client.sendall(query())
                await until(lambda: connection.write_stalled_since_s < math.inf)
                await until(lambda: not app.parts.resp_listener.connections)

    run_test(test)


# Servers ----------------------------------------------------------------------------------------------

GOOD = b"*3\r\n$4\r\ngood\r\n$6\r\ncost=2\r\n$23\r\nlatency_ms=9,inflight=1\r\n"


@pytest.mark.parametrize("extra", [GOOD, b"noise", b"noise\r\n", b"*1\r\n$4\r\nhalf", b"\0\xff\r\n$"])
def test_a_valid_response_with_trailing_bytes_counts_and_the_rest_reaches_nobody(extra: bytes) -> None:
    """Regression: such a response was discarded with its connection, and the request ran once more."""

    async def test() -> None:
        async with one_gateway(script=[GOOD + extra]) as (app, backend, _):
            assert await send_commands(app, query("r1", "load-send", key="1" * 16)) == [b"good"]
            assert await send_commands(app, query("r2")) == [b"value"]
            assert len(backend.commands) == 2 and backend.connections == 2

    run_test(test)


def test_bytes_on_an_idle_upstream_connection_are_not_the_next_response() -> None:
    async def test() -> None:
        async with one_gateway(script=[GOOD]) as (app, backend, _):
            reader, writer = await connect(app.lifecycle.address)
            writer.write(query("r1"))
            assert await read_reply(reader) == b"good"
            # A second copy, sent so that the gateway has not read it yet when the next query arrives.
            raw = backend.writers[0].get_extra_info("socket")
            os.write(raw.fileno(), GOOD)
            upstream = next(iter(app.parts.upstreams.by_number.values()))[1]
            assert isinstance(upstream, RespUpstream)
            assert upstream._take_idle_connection() is None
            writer.write(query("r2"))
            assert await read_reply(reader) == b"value"

    run_test(test)


@pytest.mark.parametrize(
    "answer",
    [
        b":5\r\n",
        b"$4\r\ngood\r\n",
        b"*0\r\n",
        b"-SYNTAX\r\n",
        b"+OK\r\n",
        b"*1\r\n:5\r\n",
        b"noise without an end",
        b"*1\r\n$3000000000\r\nvvvv",
        b"*1\r\n$-7\r\n",
        b"*1\r\n$2\r\ngood\r\n",
        b"*1\r\n$40\r\ngood\r\n",
    ],
)
def test_a_malformed_response_may_have_run_and_ends_its_connection(answer: bytes) -> None:
    """Regression: a connection stayed in use after a response that was not an array, and after an unknown error."""

    async def test() -> None:
        async with one_gateway(script=[answer]) as (app, backend, _):
            assert await send_commands(app, query()) == [b"value"]
            assert len(backend.commands) == 2 and backend.connections == 2

    run_test(test)


@pytest.mark.parametrize(
    ("usage", "load_text", "units", "report"),
    [
        (b"used=1,cost=3", b"latency_ms=9,inflight=1", 3.0, (9.0, 1.0)),
        (b"cost=x", b"latency_ms=9,inflight=1", 0.0, (9.0, 1.0)),
        (b"cost=nan", None, 0.0, ()),
        (b"cost=-3", None, 0.0, ()),
        (b"cost=1e300", None, 0.0, ()),
        (b"cost=3", b"latency_ms=inf", 3.0, ()),
        (b"cost=3", b"???", 3.0, ()),
        (b"cost=7", None, 0.0, ()),
        (7, b"latency_ms=9,inflight=-1", 0.0, ()),
    ],
)
def test_an_unreadable_load_report_is_ignored(usage: Any, load_text: Any, units: float, report: Any) -> None:
    """Regression: one unreadable value discarded the others, too; one out of range was charged to the customer."""
    ends: list[AttemptEnd] = []
    request = Request("r", "c", "p", 1, 1.0, 1.0, 1)
    attempt = Attempt(request, 0, 1, 0.0, 1.0, lambda _, end: ends.append(end))
    attempt.written()
    assert complete_attempt(attempt, [b"good", usage, load_text], ("latency_ms", "inflight"), 6.0).usable
    [end] = ends
    assert (end.verdict, end.value, end.true_units, end.load_report) == (Verdict.OK, b"good", units, report)
