"""The RESP2 path on real sockets: one test for each rule."""

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
from badgeryoke.gateway.wall_clock import WallClock
from tests.decisions.test_simulator_adapter import PARAMS
from tests.support.paths import ROOT
from tests.support.running import ask
from tests.support.running import run_test as play
from tests.support.stand_ins import (
    Backend,
    Counter,
    Discovery,
    config,
    connect,
    entry,
    gateway,
    one_gateway,
    query,
    read_reply,
    resp,
    roster,
)


def test_a_request_is_forwarded_unchanged_and_its_value_is_returned() -> None:
    async def test() -> None:
        async with Counter() as counter, one_gateway(counter=counter.port) as (app, node, _):
            answers = await ask(app, query("id1", "load-send", 3, key="5c0f6e1a2b3d4c59", body="BODY"))
            assert answers == [b"value"]
            name, customer, rid, listed, body = node.commands[0]
            assert (name, customer, rid, body) == (b"SVC.SUBMIT", b"%016x" % 5, b"id1", b"BODY")
            given = dict(part.split("=") for part in listed.decode().split(","))
            assert 0 < int(given.pop("d")) <= 60_000
            assert given == {
                "c": "load-send",
                "t": "dealer",
                "k": "5c0f6e1a2b3d4c59",
                "units": "3",
                "spread": "2",
                "first": "0",
            }
            assert counter.units == 3

    play(test)


FAILURES = [
    pytest.param([b"-ERR failed used=3 inflight=1\r\n"], 2, id="an error of a safe class goes elsewhere"),
    pytest.param([b"-BUSY\r\n"], 2, id="turned away never ran"),
    pytest.param([b"RESET"], 2, id="a reset of a safe class goes elsewhere"),
    pytest.param([b"!garbage\r\n"], 2, id="bytes that are no RESP2"),
    pytest.param([b"*1\r\n$-1\r\n"], 2, id="an array without a value"),
    pytest.param([b"*3\r\n$5\r\nvalue\r\n$3\r\nxyz\r\n$2\r\n==\r\n"], 1, id="broken figures"),
]


@pytest.mark.parametrize(("script", "attempts"), FAILURES)
def test_each_backend_reply_maps_to_an_attempt_outcome(script: list[bytes | None], attempts: int) -> None:
    async def test() -> None:
        async with one_gateway(script=script) as (app, node, _):
            assert await ask(app, query()) == [b"value"]
            assert len(node.commands) == attempts

    play(test)


def test_a_non_idempotent_attempt_that_may_have_run_is_not_retried() -> None:
    unsafe = api.RequestClass("load-send", 30_000.0, 60_000.0, api.Idempotency.NOT_IDEMPOTENT)

    async def test() -> None:
        async with Backend(script=[b"RESET"]) as node, Discovery(entry("a", node.port)) as list_:
            made = config(list_.port, None, roster(entry("a", node.port)), classes=(unsafe,))
            async with gateway(made) as app:
                [answer] = await ask(app, query(cls="load-send", key="1" * 16))
                assert str(answer).startswith("-ERR failed") and len(node.commands) == 1

    play(test)


def test_without_servers_a_request_is_rejected_with_retry_after() -> None:
    async def test() -> None:
        async with gateway(config(1, None, roster(entry("a", 1, "leaving")))) as app:
            [answer] = await ask(app, query())
            assert str(answer).startswith("-BUSY ") and int(str(answer)[6:]) > 0

    play(test)


def test_pipelined_requests_are_answered_in_order() -> None:
    async def test() -> None:
        async with one_gateway(script=[None, None]) as (app, node, _):
            reader, writer = await connect(app.lifecycle.address)
            writer.write(query("held") + query("quick") + resp("PING"))
            while len(node.commands) < 2:
                await asyncio.sleep(0)
            held = next(n for n, c in enumerate(node.commands) if c[2] == b"held")
            node.writers[1 - held].write(b"*1\r\n$5\r\nquick\r\n")
            node.writers[held].write(b"*1\r\n$4\r\nheld\r\n")
            assert [await read_reply(reader) for _ in range(3)] == [b"held", b"quick", "+PONG"]
            writer.close()

    play(test)


def test_a_silent_backend_costs_no_request_its_response() -> None:
    async def test() -> None:
        quick = api.RequestClass("balance-check", 1000.0, 1000.0, api.Idempotency.IDEMPOTENT)
        async with Backend(script=[None] * 3) as node, Discovery(entry("a", node.port)) as list_:
            made = config(list_.port, None, roster(entry("a", node.port)), classes=(quick,))
            async with gateway(made, WallClock(time.monotonic, time.time)) as app:
                [answer] = await ask(app, query(d=1000))
                assert str(answer).startswith("-BUSY ") and node.commands
                await node.ended.wait()  # the attempt is really over

    play(test)


def test_a_client_disconnect_cancels_its_attempt() -> None:
    async def test() -> None:
        async with one_gateway(script=[None]) as (app, node, _):
            _, writer = await connect(app.lifecycle.address)
            writer.write(query())
            await node.books.arrived.wait()
            writer.close()
            await node.ended.wait()
            assert app.parts.dispatcher.unanswered == 0

    play(test)


MALFORMED = [
    pytest.param(resp("SVC.QUERY", "0" * 16), True, id="too few words"),
    pytest.param(resp("SVC.QUERY", "z" * 16, "r", "c=balance-check"), True, id="customer is no number"),
    pytest.param(resp("SVC.QUERY", "0x" + "1" * 14, "r", "c=balance-check"), True, id="customer with a sign"),
    pytest.param(query(cls="load-send"), True, id="a keyed class without its key"),
    pytest.param(resp("SVC.QUERY", "f" * 16, "r", "c=balance-check"), True, id="customer too large"),
    pytest.param(query(cls="lottery"), True, id="unknown class"),
    pytest.param(query(plan="gold"), True, id="unknown plan"),
    pytest.param(query(d=-1), True, id="negative time"),
    pytest.param(resp("FLUSHALL"), True, id="unknown command"),
    pytest.param(b"PING\r\n", False, id="no array"),
    pytest.param(b"*1\r\n$70000\r\n", False, id="too large a value"),
    pytest.param(b"*99\r\n", False, id="too many words"),
]


@pytest.mark.parametrize(("sent", "stays"), MALFORMED)
def test_malformed_input_gets_an_error_and_costs_at_most_its_connection(sent: bytes, stays: bool) -> None:
    async def test() -> None:
        async with one_gateway() as (app, _, _):
            other_reader, other = await connect(app.lifecycle.address)
            reader, writer = await connect(app.lifecycle.address)
            writer.write(sent)
            assert str(await read_reply(reader)).startswith("-ERR")
            if stays:
                writer.write(query())
                assert await read_reply(reader) == b"value"
            else:
                assert await reader.read() == b""
            other.write(query("r2"))
            assert await read_reply(other_reader) == b"value"
            other.close()
            writer.close()

    play(test)


def test_a_request_before_a_protocol_fault_in_the_same_chunk_is_served() -> None:
    """The parser gave nothing of a piece with a fault in it: what was taken before it had no answer."""

    async def test() -> None:
        async with one_gateway() as (app, _, _):
            first, second = await ask(app, query(), b"PING\r\n")
            assert first == b"value" and str(second).startswith("-ERR protocol")

    play(test)


def test_ping_is_answered_with_pong_only_once_an_endpoint_list_is_known() -> None:
    async def test() -> None:
        list_ = Discovery()
        async with list_:
            port = list_.port
        made = config(port, None)  # discovery is absent at the start
        async with gateway(made) as app:
            assert await ask(app, resp("PING")) == ["-ERR not ready"]
            list_ = Discovery(entry("a", 1))
            list_.port = port
            async with list_:
                while await ask(app, resp("PING")) != ["+PONG"]:
                    await asyncio.sleep(0.01)

    play(test)


def test_no_new_attempt_is_sent_to_a_draining_server() -> None:
    async def test() -> None:
        async with one_gateway(script=[None]) as (app, node, list_):
            reader, writer = await connect(app.lifecycle.address)
            writer.write(query("before"))
            await node.books.arrived.wait()
            while not any("after" in call for call in list_.calls):
                await asyncio.sleep(0)
            list_.change(entry("a", node.port, "leaving"))
            while len(list_.calls) < 3:  # the change was taken in: the next watch has begun
                await asyncio.sleep(0)
            assert str((await ask(app, query("after")))[0]).startswith("-BUSY")
            node.writers[0].write(b"*1\r\n$4\r\nlast\r\n")  # what it holds is waited for
            assert await read_reply(reader) == b"last"
            assert [c[2] for c in node.commands] == [b"before"]
            writer.close()

    play(test)


def test_a_connection_is_reused_for_consecutive_requests() -> None:
    async def test() -> None:
        async with one_gateway() as (app, node, _):
            for n in range(20):
                assert await ask(app, query(f"r{n}")) == [b"value"]
            assert node.connections == 1

    play(test)


def test_an_attempt_on_an_unreachable_server_never_ran() -> None:
    async def test() -> None:
        async with Backend() as gone:
            port = gone.port
        async with Backend() as node, Discovery(entry("a", port), entry("b", node.port)) as list_:
            known = roster(entry("a", port), entry("b", node.port))
            async with gateway(config(list_.port, None, known)) as app:
                for n in range(8):  # a keyed class may go elsewhere only because nothing ran
                    assert await ask(app, query(f"r{n}", "load-send", key=f"{n:016x}")) == [b"value"]

    play(test)


def test_after_sigterm_accepted_requests_are_answered_before_the_close() -> None:
    async def test() -> None:
        async with one_gateway(script=[None]) as (app, node, _):
            reader, writer = await connect(app.lifecycle.address)
            writer.write(query())
            await node.books.arrived.wait()
            app.end()
            assert await ask(app, resp("PING")) == ["-ERR not ready"]  # taken, though no longer ready
            assert not app.done.is_set()
            node.writers[0].write(b"*1\r\n$4\r\nlast\r\n")
            assert await read_reply(reader) == b"last"
            assert await reader.read() == b""
            await app.done.wait()

    play(test)


def test_quotas_hold_over_gateways_by_the_counter_alone() -> None:
    async def test() -> None:
        async with Backend() as node, Discovery(entry("a", node.port)) as list_, Counter() as counter:
            known = roster(entry("a", node.port))
            async with (
                gateway(config(list_.port, counter.port, known)) as one,
                gateway(config(list_.port, counter.port, known, me=1)) as two,
            ):
                answers = [
                    (await ask(app, query(f"r{n}", units=3, plan="small")))[0]
                    for n, app in enumerate([one, two] * 4)
                ]
                served = [n for n, answer in enumerate(answers) if answer == b"value"]
                assert len(served) == 4 and node.books.units[5] == 12
                assert all(str(a).startswith("-BUSY ") for a in answers if a != b"value")

    play(test)


def test_backpressure_stops_reading_at_the_bound_of_pipelined_requests() -> None:
    """The bound was looked at before what had been read was taken: it held back nothing."""

    class Core:
        taken = 0

        def validate(self, query: Request) -> None:
            return None

        def submit(self, query: Request, answer: object) -> Callable[[], None]:
            self.taken += 1
            return lambda: None

    async def test() -> None:
        ours, theirs = socket.socketpair()
        core = Core()
        stream = IOStream(ours)
        link = RespClientConnection(
            stream,
            core,  # type: ignore[arg-type]
            ActorScheduler(asyncio.get_running_loop()),
            lambda: True,
            lambda _: None,
        )
        serving = asyncio.ensure_future(link.serve())
        _, writer = await asyncio.open_connection(sock=theirs)
        # A reading brings two or three.
        writer.write(query(cls="load-send", key="k", body="x" * 30_000) * 2 * MAX_PIPELINED_REQUESTS)
        while core.taken < MAX_PIPELINED_REQUESTS:
            await asyncio.sleep(0)
        for _ in range(1000):
            await asyncio.sleep(0)
        assert core.taken < MAX_PIPELINED_REQUESTS + 4
        writer.transport.abort()
        stream.close()
        await serving

    play(test)


def test_the_program_starts_serves_and_ends_on_sigterm(tmp_path: Path) -> None:
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        port = free.getsockname()[1]
    raw = {
        "name": "n1",
        "listen": f"127.0.0.1:{port}",
        "discovery": "127.0.0.1:1",
        "seed": "1f",
        "counter": "127.0.0.1:1",
        "settings": PARAMS,
        "known": {"version": 1, "full": True, "servers": [entry("a", 1)]},
    }
    (tmp_path / "config.json").write_text(json.dumps(raw))
    root = ROOT
    told = {**os.environ, "LB_CONFIG": str(tmp_path / "config.json")}
    with subprocess.Popen(
        [sys.executable, "-m", "badgeryoke"], cwd=root, stderr=subprocess.PIPE, env=told, text=True
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
    done = subprocess.run(
        [sys.executable, "-m", "badgeryoke"],
        capture_output=True,
        text=True,
        check=False,
        env={k: v for k, v in os.environ.items() if k != "LB_CONFIG"},
    )
    assert done.returncode == 1 and "LB_CONFIG: not set" in done.stderr
