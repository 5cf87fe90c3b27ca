"""How a client's connection ends, from either side, with bytes at each place where they can lie."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import gc
import json
import math
import os
import resource
import signal
import socket
import subprocess
import sys
import time
import weakref
from collections.abc import AsyncIterator, Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from tornado.ioloop import IOLoop
from tornado.iostream import IOStream

from badgeryoke.gateway import lifecycle, parts
from badgeryoke.gateway.actor import ActorScheduler
from badgeryoke.gateway.application import GatewayApplication
from badgeryoke.gateway.attempt import Request
from badgeryoke.gateway.graceful_shutdown import ShutdownEvent
from badgeryoke.gateway.resp import listener as front_module
from badgeryoke.gateway.resp.client_connection import (
    MAX_PIPELINED_REQUESTS,
    READ_CHUNK_BYTES,
    RespClientConnection,
)
from badgeryoke.gateway.resp.listener import COMMAND_TIMEOUT_S, WRITE_STALL_TIMEOUT_S, RespListener
from badgeryoke.gateway.responses import Response, Served
from badgeryoke.gateway.wall_clock import WallClock
from tests.decisions.test_simulator_adapter import PARAMS
from tests.support.paths import ROOT
from tests.support.running import ask, until
from tests.support.running import run_test as play
from tests.support.stand_ins import (
    HOST,
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

LAST = b"*1\r\n$4\r\nlast\r\n"  # a backend's answer


def client(app: GatewayApplication) -> socket.socket:
    """A connection whose bytes lie in the gateway's socket when a call returns: no turn comes between."""
    made = socket.create_connection(app.lifecycle.address[:2])
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return made


async def answers(made: socket.socket) -> bytes:
    """All that comes up to the gateway's end."""
    made.setblocking(False)
    got = b""
    while more := await asyncio.get_running_loop().sock_recv(made, 65536):
        got += more
    made.close()
    return got


async def linked(app: GatewayApplication) -> tuple[socket.socket, RespClientConnection]:
    """A client that has had its first answer, and the gateway's end of it."""
    made = client(app)
    made.sendall(query("first"))
    made.setblocking(False)
    assert await asyncio.get_running_loop().sock_recv(made, 100) == b"$5\r\nvalue\r\n"
    made.setblocking(True)
    return made, list(app.parts.resp_listener.connections)[-1]


def read(link: RespClientConnection) -> None:
    """The event loop finds the socket readable; whoever waits for the reading goes on one round later."""
    link._stream._handle_events(link._stream.socket, IOLoop.READ)


# Clients that go ---------------------------------------------------------------------------------------


def test_a_client_that_ends_its_sending_has_gone() -> None:
    """A FIN is all that a close shows: read as the end of its sending alone, no close would ever be seen."""

    async def test() -> None:
        async with one_gateway(script=[None]) as (app, node, _):
            reader, writer = await connect(app.lifecycle.address)
            writer.write(query())
            await node.books.arrived.wait()
            writer.write_eof()
            await node.ended.wait()
            assert await reader.read() == b"" and app.parts.dispatcher.unanswered == 0
            writer.close()

    play(test)


def test_a_disconnect_is_noticed_while_backpressure_stops_reading() -> None:
    """More lay unread than one reading takes, and the close behind it."""

    async def test() -> None:
        async with one_gateway(script=[None] * 2 * MAX_PIPELINED_REQUESTS) as (app, _, _):
            made = client(app)
            made.sendall(b"".join(query(f"r{n}") for n in range(MAX_PIPELINED_REQUESTS)))
            await until(
                lambda: (
                    app.parts.resp_listener.connections
                    and len(list(app.parts.resp_listener.connections)[-1]._slots) == MAX_PIPELINED_REQUESTS
                )
            )
            made.sendall(query("behind", "load-send", key="k", body="x" * 30_000))
            await until(lambda: list(app.parts.resp_listener.connections)[-1]._stream._read_buffer_size)
            made.close()
            await asyncio.wait_for(until(lambda: not app.parts.resp_listener.connections), 10.0)
            assert app.parts.dispatcher.unanswered == 0

    play(test)


class Taking:
    """A core that takes what comes and never answers."""

    taken = 0

    def validate(self, query: Request) -> None:
        return None

    def submit(self, query: Request, answer: object) -> Callable[[], None]:
        self.taken += 1
        return lambda: None


def test_no_attempt_starts_for_a_client_that_disconnected_before_its_bytes_were_handled() -> None:
    """A closed stream still gives what lies in its buffer."""

    async def test() -> None:
        ours, theirs = socket.socketpair()
        core = Taking()
        stream = IOStream(ours)
        link = RespClientConnection(
            stream,
            core,  # type: ignore[arg-type]
            ActorScheduler(asyncio.get_running_loop()),
            lambda: True,
            lambda _: None,
        )
        serving = asyncio.ensure_future(link.serve())
        theirs.sendall(b"".join(query(f"r{n}") for n in range(MAX_PIPELINED_REQUESTS)))
        await until(lambda: core.taken == MAX_PIPELINED_REQUESTS)
        theirs.sendall(query("behind") + query("full", "load-send", key="k", body="x" * READ_CHUNK_BYTES))
        await until(lambda: stream._read_buffer_size)
        stream.close()
        await serving
        assert core.taken == MAX_PIPELINED_REQUESTS
        theirs.close()

    play(test)


def test_large_input_is_handled_in_chunks_and_not_for_a_disconnected_client(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """560 queries of one write had their decisions in one turn, though their client was gone."""
    sizes: list[int] = []
    taken: Any = RespClientConnection._data_received

    def take(link: RespClientConnection, data: bytes) -> None:
        if not link._stream.closed():
            sizes.append(len(data))
        taken(link, data)

    monkeypatch.setattr(RespClientConnection, "_data_received", take)

    async def test() -> None:
        async with one_gateway() as (app, _, _):
            made = client(app)
            made.sendall(b"".join(query(f"r{n:06}") for n in range(400)))
            made.close()
            await until(lambda: app.parts.resp_listener.connections)
            await until(lambda: not app.parts.resp_listener.connections)
            assert sizes == [] and app.parts.dispatcher.unanswered == 0
            assert await ask(app, resp("PING") * 2000) == ["+PONG"]  # while it asks on
            assert max(sizes) == READ_CHUNK_BYTES

    play(test)


def test_a_client_that_sends_without_pause_does_not_starve_others(monkeypatch: pytest.MonkeyPatch) -> None:
    """What lies in a socket is read at once, without a round of the event loop: a flood of small writes
    kept it."""
    taken: list[RespClientConnection] = []
    take: Any = RespClientConnection._data_received
    monkeypatch.setattr(front_module, "READ_CHUNK_BYTES", 512)  # as small writes are read

    def counted(link: RespClientConnection, data: bytes) -> None:
        taken.append(link)
        take(link, data)

    monkeypatch.setattr(RespClientConnection, "_data_received", counted)

    async def test() -> None:
        async with one_gateway() as (app, _, _):
            flood, other = client(app), client(app)
            flood.sendall(resp("PING") * 5000)
            other.sendall(resp("PING"))
            other.setblocking(False)
            assert await asyncio.get_running_loop().sock_recv(other, 100) == b"+PONG\r\n"
            assert len(taken) < 20  # of 137
            flood.close()
            other.close()

    play(test)


def test_responses_ready_at_once_are_written_as_the_client_fetches_them(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Three of 60,000 bytes behind a slow first one passed the stream's bound: the connection was closed
    over all."""

    async def test() -> None:
        async with one_gateway() as (app, _, _):
            given: list[Callable[[Response], None]] = []

            def submit(_: Request, answer: Callable[[Response], None]) -> Callable[[], None]:
                given.append(answer)
                return lambda: None

            monkeypatch.setattr(app.parts.dispatcher, "submit", submit)
            made = client(app)
            made.sendall(b"".join(query(f"r{n}") for n in range(12)))
            await until(lambda: len(given) == 12)
            for answer in reversed(given):
                answer(Served(b"x" * 60_000))
            app.end()
            assert len(await answers(made)) == 12 * (60_000 + len(b"$60000\r\n\r\n"))

    play(test)


def test_a_closed_connection_leaves_nothing_to_the_garbage_collector() -> None:
    """The last reading's exception held the frame that it was raised in: 3.6 MB lay there on a day of many
    clients."""

    async def test() -> None:
        async with one_gateway() as (app, _, _):
            gc.collect()
            gc.disable()
            try:
                made, link = await linked(app)
                seen = weakref.ref(link)
                del link
                made.close()
                await until(lambda: not app.parts.resp_listener.connections)
                await until(lambda: seen() is None)
            finally:
                gc.enable()

    play(test)


class Unanswered:
    """A core whose answers are given by hand."""

    def __init__(self) -> None:
        self.given: list[Callable[[Response], None]] = []

    def validate(self, _: Request) -> None:
        return None

    def submit(self, _: Request, answer: Callable[[Response], None]) -> Callable[[], None]:
        self.given.append(answer)
        return lambda: None


class Ready:
    ready = True


@contextlib.asynccontextmanager
async def narrow() -> AsyncIterator[tuple[Unanswered, RespListener, socket.socket]]:
    """A front before such a core, and a client of it; little fits between the two."""
    core: Any = Unanswered()
    hosts: Any = Ready()
    front = RespListener(core, ActorScheduler(asyncio.get_running_loop()), 20, hosts, 10**9, 15)
    with socket.socket() as listening, socket.socket() as made:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8192)
        listening.bind((HOST, 0))
        listening.listen()
        listening.setblocking(False)
        front.add_sockets([listening])
        made.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        made.connect(listening.getsockname())
        yield core, front, made
        front.stop()


def test_a_client_that_stops_fetching_responses_is_disconnected() -> None:
    """That the first of two writes had gone out told that nothing waited to be fetched any more."""

    async def test() -> None:
        async with narrow() as (core, front, made):
            for rid in ("r1", "r2"):  # two writes
                made.sendall(query(rid))
                await until(lambda: core.given)
                core.given.pop()(Served(b"x" * 60_000))
                await asyncio.sleep(0)
            [link] = front.connections
            made.setblocking(False)
            got = 0
            while link._unsent_bytes > 60_100:  # the first is not out
                got += len(await asyncio.get_running_loop().sock_recv(made, 4096))
            assert link._unsent_bytes and link.write_stalled_since_s < math.inf and got < 120_000
            link.write_stalled_since_s -= WRITE_STALL_TIMEOUT_S
            front.sweep()
            await until(lambda: not front.connections)

    play(test)


def test_an_incomplete_command_does_not_keep_a_client_that_fetches_nothing() -> None:
    """Its time for the command was up first, and from then on nobody looked at its answers."""

    async def test() -> None:
        async with narrow() as (core, front, made):
            made.sendall(b"".join(query(f"r{n}") for n in range(10)) + query("half")[:20])
            await until(lambda: len(core.given) == 10)
            for answer in core.given:
                answer(Served(b"x" * 60_000))
            [link] = front.connections
            await until(lambda: link.write_stalled_since_s < math.inf)
            link.command_started_s -= COMMAND_TIMEOUT_S
            front.sweep()
            await asyncio.sleep(0)
            assert front.connections  # it has its time to fetch
            link.write_stalled_since_s -= WRITE_STALL_TIMEOUT_S
            front.sweep()
            await until(lambda: not front.connections)

    play(test)


def test_the_command_timeout_is_suspended_while_backpressure_stops_reading() -> None:
    """65 long queries of one write: the last lies half read until there is room, and its time was up by
    then."""

    async def test() -> None:
        async with narrow() as (core, front, made):
            body = "b" * (READ_CHUNK_BYTES // 32)
            made.setblocking(False)
            asked = b"".join(query(f"r{n:03}", body=body) for n in range(80))
            sending = asyncio.ensure_future(asyncio.get_running_loop().sock_sendall(made, asked))
            await until(lambda: len(core.given) >= MAX_PIPELINED_REQUESTS)
            await asyncio.sleep(0.01)
            [link] = front.connections
            assert link._backpressured and not link._parser.is_idle and link.command_started_s == math.inf
            front.sweep()
            for answer in core.given:
                answer(Served(b"value"))
            await until(lambda: len(core.given) == 80)
            await sending

    play(test)


# Connections that the gateway ends ------------------------------------------------------------------------


@pytest.mark.parametrize("end", ["sweep", "make room", "end"])
def test_data_read_but_not_yet_handled_keeps_its_connection_open(
    end: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A reading is done one round of the event loop before it is taken: the socket was empty, no command
    open, and the connection counted as idle."""

    async def test() -> None:
        async with one_gateway() as (app, _, _):
            made, link = await linked(app)
            monkeypatch.setattr(front_module, "IDLE_TIMEOUT_S", 0.0)
            made.sendall(query("second"))
            read(link)
            match end:
                case "sweep":
                    app.parts.resp_listener.sweep()
                case "make room":
                    assert not app.parts.resp_listener._evict_idle_connection(0.0)
                case "end":
                    link.drain()
                    app.parts.loop.run()
            monkeypatch.setattr(front_module, "IDLE_TIMEOUT_S", 20.0)
            made.setblocking(False)
            assert await asyncio.get_running_loop().sock_recv(made, 100) == b"$5\r\nvalue\r\n"
            made.close()

    play(test)


def test_a_request_read_while_the_last_response_is_sent_is_answered_too() -> None:
    """The end waited for the writing alone, and closed our side under a query that had come meanwhile."""
    value = b"*1\r\n" + resp("v" * 65_000)[4:]

    async def test() -> None:
        async with one_gateway(script=[value, None]) as (app, node, _):
            made = socket.socket()
            made.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            made.connect(app.lifecycle.address)
            await until(lambda: app.parts.resp_listener.connections)
            [link] = app.parts.resp_listener.connections
            link._stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            made.sendall(query("first"))
            await until(lambda: link._stream.writing())
            link.drain()
            await until(lambda: link._closing)
            made.sendall(query("second"))
            await until(lambda: len(node.commands) == 2)
            made.setblocking(False)
            for _ in range(65_000 // 1000):  # the long answer
                await asyncio.get_running_loop().sock_recv(made, 1000)
            await until(lambda: not link._stream.writing())
            for _ in range(20):  # what the end of the writing brings has come
                await asyncio.sleep(0.001)
            node.writers[0].write(LAST)
            assert (await answers(made)).endswith(b"$4\r\nlast\r\n")

    play(test)


def test_requests_that_cross_the_close_are_not_forwarded() -> None:
    """It is read so that no close comes over it and takes the last answer along; its client sends it
    again."""

    async def test() -> None:
        async with one_gateway() as (app, node, _):
            made, link = await linked(app)
            link.drain()
            app.parts.loop.run()
            assert link._output_ended
            made.sendall(query("crossing"))
            assert await answers(made) == b"" and len(node.commands) == 1

    play(test)


def test_the_unread_rest_of_a_command_is_handled_before_its_connection_is_closed() -> None:
    async def test() -> None:
        async with one_gateway() as (app, _, _):
            made, link = await linked(app)
            made.sendall(query("slow")[:40])
            await until(lambda: link.buffered_bytes)
            made.sendall(query("slow")[40:])
            link.close_incomplete()
            made.setblocking(False)
            assert await asyncio.get_running_loop().sock_recv(made, 100) == b"$5\r\nvalue\r\n"
            made.close()

    play(test)


def test_a_client_beyond_the_connection_bound_is_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its connection was closed over the query that it had written."""
    monkeypatch.setattr(parts, "RESP_CLIENTS_FRACTION", 1 / 1024)

    async def test() -> None:
        async with one_gateway(script=[None]) as (app, node, _):
            reader, writer = await connect(app.lifecycle.address)
            writer.write(query("open"))
            await node.books.arrived.wait()
            for n in range(3):
                made = client(app)
                made.sendall(query(f"more{n}"))
                assert await answers(made) == b"-BUSY 1\r\n"
            crowd = [client(app) for _ in range(12)]  # beyond what can be told at a time: they wait
            for n, made in enumerate(crowd):
                made.sendall(query(f"crowd{n}"))
            assert set(await asyncio.gather(*map(answers, crowd))) == {b"-BUSY 1\r\n"}
            node.writers[0].write(LAST)
            assert await read_reply(reader) == b"last"
            writer.close()

    play(test)


# The end of the process ----------------------------------------------------------------------------------


def test_connections_in_the_accept_queue_are_answered_when_the_listener_stops() -> None:
    """The system had accepted it, and reset it with the listening socket; nor did the end wait for one whose
    reading had not begun."""

    async def test() -> None:
        async with one_gateway(script=[None]) as (app, node, _):
            waiting = [client(app) for _ in range(3)]
            for n, made in enumerate(waiting):
                made.sendall(query(f"r{n}"))
            app.lifecycle.post(ShutdownEvent.TERMINATE)
            app.lifecycle.post(ShutdownEvent.NOTICE_ELAPSED)
            await node.books.arrived.wait()
            assert not app.done.is_set()
            await until(lambda: len(node.commands) == 3)
            for writer in node.writers:
                writer.write(LAST)
            got = await asyncio.gather(*map(answers, waiting))
            assert sorted(got) == [b"$4\r\nlast\r\n"] + [b"$5\r\nvalue\r\n"] * 2
            await app.done.wait()

    play(test)


@pytest.mark.parametrize("before", [ShutdownEvent.TERMINATE, ShutdownEvent.SUCCESSOR_READY])
def test_the_grace_period_for_the_last_responses_counts_from_sigterm(
    before: ShutdownEvent, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Where a successor served already nothing had been waited for, and yet it was taken off."""

    async def test() -> None:
        async with one_gateway() as (app, _, _):
            later: list[tuple[float, Any]] = []
            monkeypatch.setattr(
                app.parts.loop, "call_later", lambda wait, call, *_: later.append((wait, call))
            )
            monkeypatch.setattr(app.parts.loop, "time", lambda: 100.0)
            app.parts.config = replace(app.parts.config, drain_s=0.45)
            if before is ShutdownEvent.SUCCESSOR_READY:
                app.lifecycle.post(ShutdownEvent.SUCCESSOR_READY)
            app.end()
            monkeypatch.setattr(app.parts.loop, "time", lambda: 100.25)
            app.end()
            app.lifecycle.post(ShutdownEvent.NOTICE_ELAPSED)
            [wait] = [wait for wait, call in later if call == app.lifecycle._answer_all_now]
            monkeypatch.undo()
            app.lifecycle.post(ShutdownEvent.USAGE_REPORTED)
            waited = 0.25 if before is ShutdownEvent.TERMINATE else 0.0
            assert wait == pytest.approx(lifecycle.MAX_COUNTED_DEADLINE_S + lifecycle.KILL_MARGIN_S - waited)

    play(test)


def test_near_sigkill_new_requests_are_rejected_and_not_forwarded() -> None:
    async def test() -> None:
        async with one_gateway(script=[None, None]) as (app, node, _):
            made = client(app)
            made.sendall(query("held"))
            await node.books.arrived.wait()
            [link] = app.parts.resp_listener.connections
            app.parts.resp_listener.reject_new_requests()
            made.sendall(query("late"))
            await until(lambda: len(link._slots) == 2)
            app.lifecycle._answer_all_now()
            assert await answers(made) == b"-BUSY 100\r\n-BUSY 1\r\n"
            assert len(node.commands) == 1

    play(test)


def test_a_frozen_counter_and_a_second_sigterm_delay_no_end() -> None:
    async def test() -> None:
        async with (
            Backend(script=[None]) as node,
            Counter() as counter,
            Discovery(entry("a", node.port)) as list_,
        ):
            counter.held.clear()
            made = config(list_.port, counter.port, roster(entry("a", node.port)), counter_timeout_ms=50.0)
            async with gateway(made, WallClock(time.monotonic, time.time)) as app:
                reader, writer = await connect(app.lifecycle.address)
                writer.write(query())
                await node.books.arrived.wait()
                app.end()
                app.end()
                node.writers[0].write(LAST)
                assert await reader.read() == b"$4\r\nlast\r\n"
                app.end()
                await app.done.wait()

    play(test)


# Sockets and descriptors ----------------------------------------------------------------------------------


@pytest.mark.parametrize("inherited", [False, True])
def test_no_socket_holds_small_writes_back(
    inherited: bool, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    dialled: list[socket.socket] = []
    connects: Any = IOStream.connect

    def connecting(stream: IOStream, *to: Any) -> Any:
        dialled.append(stream.socket.dup())
        return connects(stream, *to)

    monkeypatch.setattr(IOStream, "connect", connecting)

    async def test() -> None:
        listening = socket.create_server((HOST, 0))
        async with Backend() as node, Counter() as counter, Discovery(entry("a", node.port)) as list_:
            made = config(list_.port, counter.port, roster(entry("a", node.port)))
            if inherited:
                made = replace(made, socket_fd=listening.fileno(), folder=str(tmp_path))
            async with gateway(made) as app:
                await until(lambda: app.lifecycle.listening and list_.calls)
                one, link = await linked(app)
                peers = {used.getpeername()[1] for used in dialled}
                assert peers == {node.port, counter.port, list_.port}
                for used in [link._stream.socket, *dialled]:
                    assert used.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
                    if used in dialled:
                        used.close()
                one.close()
        listening.close()

    play(test)


class Full(socket.socket):
    """A listening socket in a process that has no descriptor left."""

    asked, full = 0, True

    def accept(self) -> Any:
        self.asked += 1
        if self.full:
            raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))
        return super().accept()


def test_without_descriptors_accepting_pauses_and_resumes(monkeypatch: pytest.MonkeyPatch) -> None:
    """The socket stays readable: each round of the event loop tried again and logged a traceback."""
    monkeypatch.setattr(front_module, "ACCEPT_RETRY_INTERVAL_S", 0.2)

    async def test() -> None:
        async with one_gateway() as (app, _, _):
            listening = Full()
            listening.bind((HOST, 0))
            listening.listen(8)
            listening.setblocking(False)
            app.parts.resp_listener.add_sockets([listening])
            made = socket.create_connection(listening.getsockname())
            made.sendall(query())
            await until(lambda: listening.asked)
            for _ in range(200):
                await asyncio.sleep(0)
            assert listening.asked == 1
            listening.full = False
            made.setblocking(False)
            assert await asyncio.get_running_loop().sock_recv(made, 100) == b"$5\r\nvalue\r\n"
            made.close()

    play(test)


def test_idle_clients_leave_discovery_and_servers_their_descriptors(tmp_path: Path) -> None:
    """A real process with few descriptors, and more clients than these while discovery is down."""

    async def test() -> None:
        with socket.socket() as free:
            free.bind((HOST, 0))
            port = free.getsockname()[1]
        async with Backend() as node, Discovery(entry("a", node.port)) as list_:
            served, raw_port = list_, list_.port
            await served.__aexit__()
            raw = {
                "name": "n1",
                "listen": f"{HOST}:{port}",
                "discovery": f"{HOST}:{raw_port}",
                "seed": "1f",
                "counter": f"{HOST}:1",
                "settings": PARAMS,
                "limits": {"sockets": 64},
            }
            (tmp_path / "config.json").write_text(json.dumps(raw))
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "badgeryoke",
                cwd=ROOT,
                env={**os.environ, "LB_CONFIG": str(tmp_path / "config.json")},
                stderr=subprocess.PIPE,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (64, 64)),
            )
            assert process.stderr is not None
            try:
                while b"listens on" not in await process.stderr.readline():
                    assert process.returncode is None
                idle = [await connect((HOST, port)) for _ in range(100)]
                async with served:
                    while True:
                        reader, writer = await connect((HOST, port))
                        writer.write(resp("PING"))
                        answer = await reader.readline()
                        writer.close()
                        if answer == b"+PONG\r\n":
                            break
                        await asyncio.sleep(0.05)
                    assert list_.calls
                    for _, writer in idle:
                        writer.close()
            finally:
                process.send_signal(signal.SIGTERM)
                said = await process.stderr.read()
                await process.wait()
            assert b"Traceback" not in said

    play(test)
