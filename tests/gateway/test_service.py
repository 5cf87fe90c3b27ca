"""What service asks beyond a calm day: reload, long days, bad clients and bad backends, on real sockets."""

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
from badgeryoke.gateway.resp import listener as front_module
from badgeryoke.gateway.resp.client_connection import MAX_MALFORMED_COMMANDS
from badgeryoke.gateway.resp.upstream_connection import RespUpstream, complete_attempt
from tests.decisions.test_simulator_adapter import PARAMS
from tests.support.counter import CounterCalls
from tests.support.paths import ROOT
from tests.support.running import ask, until
from tests.support.running import run_test as play
from tests.support.stand_ins import (
    HOST,
    NOW_MS,
    Backend,
    Counter,
    Discovery,
    config,
    connect,
    entry,
    one_gateway,
    query,
    read_reply,
    resp,
    roster,
)

# Reload -----------------------------------------------------------------------------------------------


def test_a_reload_moves_discovery_and_counter_and_costs_no_query_nor_charge() -> None:
    async def test() -> None:
        async with (
            Backend(script=[None]) as node,
            Backend() as other,
            Counter() as old,
            Counter() as new,
            Discovery(entry("a", node.port)) as list_,
            Discovery(entry("b", other.port)) as moved,
        ):
            made = config(list_.port, old.port, roster(entry("a", node.port)))
            app = GatewayApplication(
                made,
                lambda: NOW_MS,
                lambda: replace(made, discovery=(HOST, moved.port), counter=(HOST, new.port)),
            )
            app.start()
            await until(lambda: app.parts.discovery.ready)
            reader, writer = await connect(app.lifecycle.address)
            writer.write(query("open"))
            await node.books.arrived.wait()
            old.held.clear()
            waits_reader, waits = await connect(app.lifecycle.address)
            waits.write(query("waits", units=2, customer=6))  # its call is out at the old counter
            await until(lambda: old.units == 3)
            app.reload()
            await until(lambda: moved.calls and new.connections)
            while await ask(app, query("after", units=3, customer=7)) != [b"value"]:
                await asyncio.sleep(0)
            assert new.units >= 3 and old.units == 3  # no call was made twice, or at the one left
            old.held.set()
            assert await read_reply(waits_reader) == b"value"
            node.writers[0].write(b"*1\r\n$4\r\nlast\r\n")
            assert await read_reply(reader) == b"last"  # on the connection it had
            app.end()
            await app.done.wait()

    play(test)


def test_a_faulty_configuration_is_not_applied_on_reload(caplog: pytest.LogCaptureFixture) -> None:
    def faulty() -> Config:
        raise ConfigError("counter: expected IP:PORT, got 'nowhere'")

    async def test() -> None:
        async with Backend() as node, Discovery(entry("a", node.port)) as list_:
            app = GatewayApplication(
                config(list_.port, None, roster(entry("a", node.port))), lambda: NOW_MS, faulty
            )
            app.start()
            await until(lambda: app.parts.discovery.ready)
            app.reload()
            assert await ask(app, query()) == [b"value"]
            app.end()
            await app.done.wait()

    play(test)
    assert "counter: expected IP:PORT" in caplog.text


def test_the_program_applies_a_new_file_on_sighup(tmp_path: Path) -> None:
    """SIGHUP ended the process; and the environment's old address went before the new file's."""
    path = tmp_path / "config.json"
    with socket.socket() as free, socket.create_server((HOST, 0)) as discovery:
        free.bind((HOST, 0))
        port = free.getsockname()[1]
        free.close()
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
        told = {**os.environ, "LB_CONFIG": str(path), "LB_DISCOVERY": f"{HOST}:1"}
        with subprocess.Popen(
            [sys.executable, "-m", "badgeryoke"], cwd=root, stderr=subprocess.PIPE, env=told, text=True
        ) as process:
            assert process.stderr is not None

            def heard(words: str) -> None:
                assert process.stderr is not None
                while words not in process.stderr.readline():
                    assert process.poll() is None

            heard("listens on")
            path.write_text(json.dumps({**raw, "counter": "nowhere"}))
            process.send_signal(signal.SIGHUP)
            heard("reload: configuration: counter: expected IP:PORT")
            path.write_text(json.dumps({**raw, "discovery": f"{HOST}:{discovery.getsockname()[1]}"}))
            process.send_signal(signal.SIGHUP)
            called, _ = discovery.accept()
            with called:
                assert called.recv(100).startswith(b"GET /api/targets HTTP/1.1")
            process.terminate()
            assert process.wait() == 0


# The counter ------------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "spoilt",
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
def test_a_malformed_counter_total_was_added_and_ends_its_connection(spoilt: bytes) -> None:
    """After an answer that was no total the connection was used on, and later calls got the wrong answers."""

    async def test() -> None:
        async with Counter() as counter:
            calls = CounterCalls(counter.port)
            await calls.connected()
            good, counter.answer = counter.answer, lambda _: spoilt
            calls.client.add(7, 2.0, 1000.0, calls.replies.put_nowait)
            await until(lambda: counter.totals["7"])
            counter.answer = good
            if spoilt.startswith(b"$9"):  # only its time-out tells
                for _ in range(200):
                    await asyncio.sleep(0)
                calls.now_ms += 51.0
            assert (await calls.replies.get()).verdict is Verdict.TIMEOUT
            await calls.connected()
            assert (await calls.call(7)).total == 3.0 and counter.connections == 2
            calls.client.close()

    play(test)


# Clients ----------------------------------------------------------------------------------------------


def test_an_idle_connection_is_closed_for_a_new_one(monkeypatch: pytest.MonkeyPatch) -> None:
    """Clients that asked once and stayed held every place, and all that came after were turned away."""
    monkeypatch.setattr(parts, "RESP_CLIENTS_FRACTION", 3 / 1024)
    monkeypatch.setattr(front_module, "MIN_EVICTION_IDLE_S", 0.0)

    async def test() -> None:
        async with one_gateway(script=[None]) as (app, node, _):
            busy_reader, busy = await connect(app.lifecycle.address)
            busy.write(query("busy"))
            await node.books.arrived.wait()
            idle: list[asyncio.StreamReader] = []
            for n in range(6):
                reader, writer = await connect(app.lifecycle.address)
                idle.append(reader)
                writer.write(query(f"r{n}"))
                assert await read_reply(reader) == b"value"
            assert await idle[0].read() == b""
            node.writers[0].write(b"*1\r\n$4\r\nkept\r\n")
            assert await read_reply(busy_reader) == b"kept"  # never one with an open request

    play(test)


def test_many_clients_with_one_request_each_are_served(monkeypatch: pytest.MonkeyPatch) -> None:
    """A connection had to be idle for 2 s to give way: a hundred new ones a second filled all places."""
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
                for link in app.parts.resp_listener.connections:
                    link.idle_since_s = now - front_module.MIN_EVICTION_IDLE_S  # so much later

    play(test)


def test_idle_connections_are_closed_before_clients_reach_their_own_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Clients hold a third of the descriptors at most: a crowd that stayed kept all others from coming."""
    monkeypatch.setattr(parts, "CROWDED_CLIENTS_FRACTION", 4 / 1024)
    monkeypatch.setattr(front_module, "MIN_IDLE_WHEN_CROWDED_S", 0.0)

    async def test() -> None:
        async with one_gateway() as (app, _, _):
            writers = []
            for n in range(12):
                reader, writer = await connect(app.lifecycle.address)
                writers.append(writer)
                writer.write(query(f"r{n}"))
                assert await read_reply(reader) == b"value"
            await until(lambda: len(app.parts.resp_listener.connections) <= 4)  # though nobody new comes

    play(test)


@pytest.mark.parametrize("sent", [b"", b"*4\r\n$9\r\nSVC.QUERY\r\n", b"*1\r\n$60000\r\nxx"])
def test_a_client_that_sends_nothing_or_a_partial_command_is_closed(
    sent: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(front_module, "COMMAND_TIMEOUT_S", 0.3)

    async def test() -> None:
        async with one_gateway() as (app, _, _):
            reader, writer = await connect(app.lifecycle.address)
            writer.write(sent)
            assert await reader.read() == b""

    play(test)


def test_a_partial_command_does_not_affect_the_request_before_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(front_module, "COMMAND_TIMEOUT_S", 0.3)

    async def test() -> None:
        async with one_gateway(script=[None]) as (app, node, _):
            reader, writer = await connect(app.lifecycle.address)
            writer.write(query("whole") + resp("PING")[:6])
            await node.books.arrived.wait()
            [link] = app.parts.resp_listener.connections
            await until(lambda: link._closing)
            node.writers[0].write(b"*1\r\n$4\r\nkept\r\n")
            assert await read_reply(reader) == b"kept"
            assert await reader.read() == b""

    play(test)


def test_a_connection_whose_end_is_in_the_mailbox_is_not_swept(monkeypatch: pytest.MonkeyPatch) -> None:
    """Looking for unread bytes in it raised, and the newcomer's connection was left hanging."""
    monkeypatch.setattr(parts, "RESP_CLIENTS_FRACTION", 1 / 1024)
    monkeypatch.setattr(front_module, "MIN_EVICTION_IDLE_S", 0.0)

    async def test() -> None:
        async with one_gateway() as (app, _, _):
            _, writer = await connect(app.lifecycle.address)
            await until(lambda: app.parts.resp_listener.connections)
            [link] = app.parts.resp_listener.connections
            link.abort()
            assert not link.is_idle
            writer.close()

    play(test)


def test_a_connection_in_use_or_recently_opened_is_kept() -> None:
    async def test() -> None:
        async with one_gateway() as (app, _, _):
            reader, writer = await connect(app.lifecycle.address)
            writer.write(query())
            assert await read_reply(reader) == b"value"
            app.parts.resp_listener.sweep()
            writer.write(resp("PING"))
            assert await read_reply(reader) == "+PONG"

    play(test)


MALFORMED = {
    "units that are no number": ("units=1", "units=nan"),
    "units with an exponent": ("units=1", "units=1e0"),
    "negative units": ("units=1", "units=-1"),
    "no units": ("units=1", "units=0"),
    "more units than counted": ("units=1", "units=7"),
    "an endless set": ("spread=2", "spread=inf"),
    "a set of none": ("spread=2", "spread=0"),
    "a set of more than there are": ("spread=2", "spread=3"),
    "a set with an underscore": ("spread=2", "spread=0_2"),
    "a set from nowhere": ("first=0", "first=2"),
    "a deadline that is no number": ("d=60000", "d=soon"),
    "a deadline of nan": ("d=60000", "d=nan"),
    "a deadline past the class's": ("d=60000", "d=70000"),
    "no time": ("d=60000", "d=0"),
    "a name twice": ("units=1", "units=1,units=1"),
    "a name left out": ("units=1,", ""),
    "a retry mark of another form": ("units=1", "units=1,r=2"),
    "a key with blanks": ("units=1", "units=1,k=a b"),
    "another class's command": ("SVC.QUERY", "SVC.SUBMIT"),
    "no id": ("\r\nr1\r\n", "\r\n\r\n"),
    "an id with a line end": ("\r\nr1\r\n", "\r\nr\r\n\r\n"),
}


def reworded(old: str, new: str) -> bytes:
    """The usual query with a part of it replaced, and its lengths put right."""
    text = "SVC.QUERY|0000000000000005|\r\nr1\r\n|c=balance-check,t=dealer,d=60000,units=1,spread=2,first=0"
    assert old in text
    words = text.replace(old, new).split("|")
    words[2] = words[2][2:-2]
    return resp(*words)


def test_a_field_out_of_bounds_is_an_error_and_reaches_no_server() -> None:
    async def test() -> None:
        async with one_gateway() as (app, node, _):
            for case, (old, new) in MALFORMED.items():
                [answer] = await ask(app, reworded(old, new))
                assert str(answer).startswith("-ERR "), case
            assert await ask(app, reworded("r1", "r1")) == [b"value"]
            assert len(node.commands) == 1

    play(test)


def test_a_client_that_sends_one_malformed_command_after_another_is_closed() -> None:
    async def test() -> None:
        async with one_gateway() as (app, node, _):
            reader, writer = await connect(app.lifecycle.address)
            writer.write(query(cls="lottery") * 500 + query())
            answers = (await reader.read()).split(b"\r\n")
            assert len(answers) - 1 == MAX_MALFORMED_COMMANDS and all(a[:4] == b"-ERR" for a in answers[:-1])
            assert not node.commands
            writer.close()

    play(test)


def test_the_id_of_an_open_request_is_an_error_and_costs_the_open_one_nothing() -> None:
    """Sent on, it would have been taken by the server for a copy of the other client's request."""

    async def test() -> None:
        async with one_gateway(script=[None]) as (app, node, _):
            reader, writer = await connect(app.lifecycle.address)
            writer.write(query("mine"))
            await node.books.arrived.wait()
            [answer] = await ask(app, query("mine", customer=6))
            assert str(answer).startswith("-ERR") and len(node.commands) == 1
            node.writers[0].write(b"*1\r\n$4\r\nkept\r\n")
            assert await read_reply(reader) == b"kept"
            assert await ask(app, query("mine")) == [b"value"]  # it is closed now

    play(test)


def test_a_command_is_bounded_as_a_whole() -> None:
    """Five strings at the bound of one would be held for each connection."""

    async def test() -> None:
        async with one_gateway() as (app, _, _):
            reader, writer = await connect(app.lifecycle.address)
            writer.write(b"*5\r\n" + 2 * (b"$60000\r\n" + b"x" * 60_000 + b"\r\n"))
            assert (await reader.read()).startswith(b"-ERR protocol: too large")

    play(test)


def test_partial_commands_are_bounded_over_all_connections(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(parts, "PARTIAL_COMMANDS_FRACTION", 0.0)

    async def test() -> None:
        async with one_gateway() as (app, _, _):
            reader, writer = await connect(app.lifecycle.address)
            writer.write(resp("PING", "x" * 1000)[:-10])
            assert await reader.read() == b""

    play(test)


def test_a_client_that_does_not_read_its_responses_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(front_module, "WRITE_STALL_TIMEOUT_S", 0.3)
    value = b"*1\r\n" + resp("v" * 65_000)[4:]

    async def test() -> None:
        async with one_gateway(script=[value]) as (app, _, _):
            with socket.socket() as client:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                client.connect(
                    app.lifecycle.address
                )  # into the backlog: nothing is accepted while this waits
                await until(lambda: app.parts.resp_listener.connections)
                [link] = app.parts.resp_listener.connections
                link._stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
                client.sendall(query())
                await until(lambda: link.write_stalled_since_s < math.inf)
                await until(lambda: not app.parts.resp_listener.connections)

    play(test)


# Servers ----------------------------------------------------------------------------------------------

GOOD = b"*3\r\n$4\r\ngood\r\n$6\r\ncost=2\r\n$23\r\nlatency_ms=9,inflight=1\r\n"


@pytest.mark.parametrize("extra", [GOOD, b"noise", b"noise\r\n", b"*1\r\n$4\r\nhalf", b"\0\xff\r\n$"])
def test_a_valid_response_with_trailing_bytes_counts_and_the_rest_reaches_nobody(extra: bytes) -> None:
    """Such an answer was thrown away with its connection, and the request run once more."""

    async def test() -> None:
        async with one_gateway(script=[GOOD + extra]) as (app, node, _):
            assert await ask(app, query("r1", "load-send", key="1" * 16)) == [b"good"]
            assert await ask(app, query("r2")) == [b"value"]
            assert len(node.commands) == 2 and node.connections == 2

    play(test)


def test_bytes_on_an_idle_upstream_connection_are_not_the_next_response() -> None:
    async def test() -> None:
        async with one_gateway(script=[GOOD]) as (app, node, _):
            reader, writer = await connect(app.lifecycle.address)
            writer.write(query("r1"))
            assert await read_reply(reader) == b"good"
            # A second copy, sent so that the gateway has not read it when the next query comes.
            raw = node.writers[0].get_extra_info("socket")
            os.write(raw.fileno(), GOOD)
            link = next(iter(app.parts.upstreams.by_number.values()))[1]
            assert isinstance(link, RespUpstream)
            assert link._take_idle_connection() is None
            writer.write(query("r2"))
            assert await read_reply(reader) == b"value"

    play(test)


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
    """A connection was used on after an answer that was no array, and after an unknown error."""

    async def test() -> None:
        async with one_gateway(script=[answer]) as (app, node, _):
            assert await ask(app, query()) == [b"value"]
            assert len(node.commands) == 2 and node.connections == 2

    play(test)


@pytest.mark.parametrize(
    ("use", "load", "units", "report"),
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
def test_an_unreadable_load_report_is_ignored(use: Any, load: Any, units: float, report: Any) -> None:
    """One unreadable figure cost the other too; one out of range was booked on the customer."""
    ends: list[AttemptEnd] = []
    asked = Request("r", "c", "p", 1, 1.0, 1.0, 1)
    execution = Attempt(asked, 0, 1, 0.0, 1.0, lambda _, end: ends.append(end))
    execution.written()
    assert complete_attempt(execution, [b"good", use, load], ("latency_ms", "inflight"), 6.0).usable
    [end] = ends
    assert (end.verdict, end.value, end.true_units, end.load_report) == (Verdict.OK, b"good", units, report)
