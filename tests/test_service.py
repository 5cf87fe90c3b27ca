"""What service asks beyond a calm day: reload, long days, bad clients and bad backends, on real sockets."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from badgeryoke import gateway as gateway_module
from badgeryoke.config import Config, ConfigError
from badgeryoke.gateway import App
from martenstep.interface import Verdict
from tests.standins import (
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
from tests.test_front import ask, play
from tests.test_links import Calls
from tests.test_wire import PARAMS

# Reload -----------------------------------------------------------------------------------------------


async def until(true: Callable[[], Any]) -> None:
    while not true():
        await asyncio.sleep(0)


def test_a_reload_moves_discovery_and_counter_and_costs_no_query_nor_charge() -> None:
    async def test() -> None:
        async with (Backend(script=[None]) as node, Backend() as other, Counter() as old, Counter() as new,
                    Discovery(entry("a", node.port)) as list_, Discovery(entry("b", other.port)) as moved):
            made = config(list_.port, old.port, roster(entry("a", node.port)))
            app = App(made, lambda: NOW_MS, lambda: replace(
                made, discovery=(HOST, moved.port), counter=(HOST, new.port)))
            app.start()
            reader, writer = await connect(app.address)
            writer.write(query("open"))
            await node.books.arrived.wait()
            old.held.clear()
            waits_reader, waits = await connect(app.address)
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


def test_a_faulty_configuration_is_not_taken_on_reload(caplog: pytest.LogCaptureFixture) -> None:
    def faulty() -> Config:
        raise ConfigError("counter: expected HOST:PORT, got 'nowhere'")

    async def test() -> None:
        async with Backend() as node, Discovery(entry("a", node.port)) as list_:
            app = App(config(list_.port, None, roster(entry("a", node.port))), lambda: NOW_MS, faulty)
            app.start()
            app.reload()
            assert await ask(app, query()) == [b"value"]
            app.end()
            await app.done.wait()

    play(test)
    assert "counter: expected HOST:PORT" in caplog.text


def test_the_program_takes_up_a_new_file_on_sighup(tmp_path: Path) -> None:
    """SIGHUP ended the process; and the environment's old address went before the new file's."""
    path = tmp_path / "config.json"
    with socket.socket() as free, socket.create_server((HOST, 0)) as discovery:
        free.bind((HOST, 0))
        port = free.getsockname()[1]
        free.close()
        raw = {"name": "n1", "listen": f"{HOST}:{port}", "discovery": f"{HOST}:1", "seed": "1f",
               "counter": f"{HOST}:1", "settings": PARAMS,
               "known": {"version": 1, "full": True, "servers": [entry("a", 1)]}}
        path.write_text(json.dumps(raw))
        root = Path(__file__).resolve().parent.parent
        told = {**os.environ, "LB_CONFIG": str(path), "LB_DISCOVERY": f"{HOST}:1"}
        with subprocess.Popen([sys.executable, "-m", "badgeryoke"], cwd=root, stderr=subprocess.PIPE,
                              env=told, text=True) as process:
            assert process.stderr is not None

            def heard(words: str) -> None:
                assert process.stderr is not None
                while words not in process.stderr.readline():
                    assert process.poll() is None

            heard("listens on")
            path.write_text(json.dumps({**raw, "counter": "nowhere"}))
            process.send_signal(signal.SIGHUP)
            heard("reload: configuration: counter: expected HOST:PORT")
            path.write_text(json.dumps({**raw, "discovery": f"{HOST}:{discovery.getsockname()[1]}"}))
            process.send_signal(signal.SIGHUP)
            called, _ = discovery.accept()
            with called:
                assert called.recv(100).startswith(b"GET /api/targets HTTP/1.1")
            process.terminate()
            assert process.wait() == 0


# The counter ------------------------------------------------------------------------------------------


@pytest.mark.parametrize("spoilt", [
    b"$3\r\nabc\r\n", b"*1\r\n$1\r\n4\r\n", b":4\r\n", b"-what\r\n", b"+OK\r\n", b"noise without an end",
    b"$9\r\n4\r\n", b"$3\r\n1_0\r\n", b"$3000000000\r\n4",
])
def test_a_spoilt_total_was_added_and_ends_its_connection(spoilt: bytes) -> None:
    """After an answer that was no total the connection was used on, and later calls got the wrong answers."""

    async def test() -> None:
        async with Counter() as counter:
            calls = Calls(counter.port)
            await calls.up()
            good, counter.answer = counter.answer, lambda _: spoilt
            calls.link.add(7, 2.0, 1000.0, calls.got.put_nowait)
            await until(lambda: counter.totals["7"])
            counter.answer = good
            if spoilt.startswith(b"$9"):  # only its time-out tells
                for _ in range(200):
                    await asyncio.sleep(0)
                calls.now += 51.0
            assert (await calls.got.get()).verdict is Verdict.TIMEOUT
            await calls.up()
            assert (await calls.call(7)).total == 3.0 and counter.connections == 2
            calls.link.close()

    play(test)


# Clients ----------------------------------------------------------------------------------------------


def test_an_idle_connection_gives_way_to_a_new_one(monkeypatch: pytest.MonkeyPatch) -> None:
    """Clients that asked once and stayed held every place, and all that came after were turned away."""
    monkeypatch.setattr(gateway_module, "CLIENT_PART", 3 / 1024)
    monkeypatch.setattr(gateway_module, "IDLE_FULL_S", 0.0)

    async def test() -> None:
        async with one_gateway(script=[None]) as (app, node, _):
            busy_reader, busy = await connect(app.address)
            busy.write(query("busy"))
            await node.books.arrived.wait()
            idle: list[asyncio.StreamReader] = []
            for n in range(6):
                reader, writer = await connect(app.address)
                idle.append(reader)
                writer.write(query(f"r{n}"))
                assert await read_reply(reader) == b"value"
            assert await idle[0].read() == b""
            node.writers[0].write(b"*1\r\n$4\r\nkept\r\n")
            assert await read_reply(busy_reader) == b"kept"  # never one with an open request

    play(test)


@pytest.mark.parametrize("sent", [b"", b"*4\r\n$9\r\nSVC.QUERY\r\n", b"*1\r\n$60000\r\nxx"])
def test_a_client_that_says_nothing_or_half_a_command_is_closed(
        sent: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(gateway_module, "COMMAND_S", 0.3)

    async def test() -> None:
        async with one_gateway() as (app, _, _):
            reader, writer = await connect(app.address)
            writer.write(sent)
            assert await reader.read() == b""

    play(test)


def test_half_a_command_behind_an_open_one_costs_the_open_one_nothing(
        monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(gateway_module, "COMMAND_S", 0.3)

    async def test() -> None:
        async with one_gateway(script=[None]) as (app, node, _):
            reader, writer = await connect(app.address)
            writer.write(query("whole") + resp("PING")[:6])
            await node.books.arrived.wait()
            [link] = app._front.links
            await until(lambda: link._ending)
            node.writers[0].write(b"*1\r\n$4\r\nkept\r\n")
            assert await read_reply(reader) == b"kept"
            assert await reader.read() == b""

    play(test)


def test_a_connection_that_is_used_or_young_is_kept() -> None:
    async def test() -> None:
        async with one_gateway() as (app, _, _):
            reader, writer = await connect(app.address)
            writer.write(query())
            assert await read_reply(reader) == b"value"
            app._front.sweep()
            writer.write(resp("PING"))
            assert await read_reply(reader) == "+PONG"

    play(test)



