"""Closes of a client's connection, from either side, with unhandled bytes in the socket or in a buffer."""

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
from badgeryoke.gateway.resp import listener as listener_module
from badgeryoke.gateway.resp.client_connection import (
    MAX_PIPELINED_REQUESTS,
    READ_CHUNK_BYTES,
    RespClientConnection,
)
from badgeryoke.gateway.resp.listener import COMMAND_TIMEOUT_S, WRITE_STALL_TIMEOUT_S, RespListener
from badgeryoke.gateway.resp.request_budget import RequestBudget
from badgeryoke.gateway.resp.response_budget import ResponseBudget
from badgeryoke.gateway.responses import Response, Served
from badgeryoke.gateway.wall_clock import WallClock
from tests.decisions.test_simulator_adapter import PARAMS
from tests.support.paths import ROOT
from tests.support.running import run_test, send_commands, until
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
    one_gateway,
    query,
    read_reply,
    resp,
)

LAST_RESPONSE = b"*1\r\n$4\r\nlast\r\n"  # as a backend sends it


def connect_client(app: GatewayApplication) -> socket.socket:
    """Connect a client whose bytes are in the gateway's socket once a send returns, before the event loop runs."""
    client_socket = socket.create_connection(app.lifecycle.address[:2])
    client_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return client_socket


async def read_to_end(client_socket: socket.socket) -> bytes:
    """Return all bytes received until the gateway closes the connection."""
    client_socket.setblocking(False)
    received = b""
    while data := await asyncio.get_running_loop().sock_recv(client_socket, 65536):
        received += data
    client_socket.close()
    return received


async def connect_served_client(app: GatewayApplication) -> tuple[socket.socket, RespClientConnection]:
    """Return a client that has received its first response, and the gateway's connection to it."""
    client_socket = connect_client(app)
    client_socket.sendall(query("first"))
    client_socket.setblocking(False)
    assert await asyncio.get_running_loop().sock_recv(client_socket, 100) == b"$5\r\nvalue\r\n"
    client_socket.setblocking(True)
    return client_socket, list(app.parts.resp_listener.connections)[-1]


def signal_readable(connection: RespClientConnection) -> None:
    """Let the stream read from its socket; the coroutine that awaits the read continues one iteration later."""
    connection._stream._handle_events(connection._stream.socket, IOLoop.READ)


# Clients that disconnect --------------------------------------------------------------------------------


def test_a_half_closed_connection_counts_as_a_disconnect() -> None:
    """A close and a half close both show as a FIN: treated as a half close, no close would ever be noticed."""

    async def test() -> None:
        async with one_gateway(script=[None]) as (app, backend, _):
            reader, writer = await connect(app.lifecycle.address)
            writer.write(query())
            await backend.ledger.arrived.wait()
            writer.write_eof()
            await backend.ended.wait()
            assert await reader.read() == b"" and app.parts.dispatcher.unanswered == 0
            writer.close()

    run_test(test)


def test_a_disconnect_is_noticed_while_backpressure_stops_reading() -> None:
    """More bytes than one read returns are unread, with the FIN behind them."""

    async def test() -> None:
        async with one_gateway(script=[None] * 2 * MAX_PIPELINED_REQUESTS) as (app, _, _):
            client_socket = connect_client(app)
            client_socket.sendall(b"".join(query(f"r{n}") for n in range(MAX_PIPELINED_REQUESTS)))
            await until(
                lambda: (
                    app.parts.resp_listener.connections
                    and len(list(app.parts.resp_listener.connections)[-1]._slots) == MAX_PIPELINED_REQUESTS
                )
            )
            client_socket.sendall(query("behind", "load-send", key="k", body="x" * 30_000))
            await until(lambda: list(app.parts.resp_listener.connections)[-1]._stream._read_buffer_size)
            client_socket.close()
            await asyncio.wait_for(until(lambda: not app.parts.resp_listener.connections), 10.0)
            assert app.parts.dispatcher.unanswered == 0

    run_test(test)


class CountingDispatcher:
    """A dispatcher that accepts each request and never responds."""

    submitted = 0

    def validate(self, request: Request) -> None:
        return None

    def submit(self, request: Request, on_response: object) -> Callable[[], None]:
        self.submitted += 1
        return lambda: None


def test_no_attempt_starts_for_a_client_that_disconnected_before_its_bytes_were_handled() -> None:
    """A closed stream still returns its buffered bytes."""

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
        client_socket.sendall(b"".join(query(f"r{n}") for n in range(MAX_PIPELINED_REQUESTS)))
        await until(lambda: dispatcher.submitted == MAX_PIPELINED_REQUESTS)
        client_socket.sendall(
            query("behind") + query("full", "load-send", key="k", body="x" * READ_CHUNK_BYTES)
        )
        await until(lambda: stream._read_buffer_size)
        stream.close()
        await serving
        assert dispatcher.submitted == MAX_PIPELINED_REQUESTS
        client_socket.close()

    run_test(test)


def test_large_input_is_handled_in_chunks_and_not_for_a_disconnected_client(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Regression: 560 queries of one write were all decided in one turn, although their client had disconnected."""
    sizes: list[int] = []
    handle_data: Any = RespClientConnection._data_received

    def record_size(connection: RespClientConnection, data: bytes) -> None:
        if not connection._stream.closed():
            sizes.append(len(data))
        handle_data(connection, data)

    monkeypatch.setattr(RespClientConnection, "_data_received", record_size)

    async def test() -> None:
        async with one_gateway() as (app, _, _):
            client_socket = connect_client(app)
            client_socket.sendall(b"".join(query(f"r{n:06}") for n in range(400)))
            client_socket.close()
            await until(lambda: app.parts.resp_listener.connections)
            await until(lambda: not app.parts.resp_listener.connections)
            assert sizes == [] and app.parts.dispatcher.unanswered == 0
            assert await send_commands(app, resp("PING") * 2000) == [
                "+PONG"
            ]  # while the client goes on sending
            assert max(sizes) == READ_CHUNK_BYTES

    run_test(test)


def test_a_client_that_sends_without_pause_does_not_starve_others(monkeypatch: pytest.MonkeyPatch) -> None:
    """Regression: bytes that are already in a socket are read without an event loop iteration, so a flood of small
    writes blocked the event loop."""
    handled_by: list[RespClientConnection] = []
    handle_data: Any = RespClientConnection._data_received
    monkeypatch.setattr(listener_module, "READ_CHUNK_BYTES", 512)  # small reads, as of small writes

    def record_connection(connection: RespClientConnection, data: bytes) -> None:
        handled_by.append(connection)
        handle_data(connection, data)

    monkeypatch.setattr(RespClientConnection, "_data_received", record_connection)

    async def test() -> None:
        async with one_gateway() as (app, _, _):
            flooding_client, other_client = connect_client(app), connect_client(app)
            flooding_client.sendall(resp("PING") * 5000)
            other_client.sendall(resp("PING"))
            other_client.setblocking(False)
            assert await asyncio.get_running_loop().sock_recv(other_client, 100) == b"+PONG\r\n"
            assert len(handled_by) < 20  # of 137 chunks
            flooding_client.close()
            other_client.close()

    run_test(test)


def test_responses_ready_at_the_same_time_are_written_as_the_client_reads_them(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Regression: three responses of 60,000 bytes behind a slow first one exceeded the stream's bound, and the
    connection was closed with all of them unsent."""

    async def test() -> None:
        async with one_gateway() as (app, _, _):
            callbacks: list[Callable[[Response], None]] = []

            def submit(_: Request, on_response: Callable[[Response], None]) -> Callable[[], None]:
                callbacks.append(on_response)
                return lambda: None

            monkeypatch.setattr(app.parts.dispatcher, "submit", submit)
            client_socket = connect_client(app)
            client_socket.sendall(b"".join(query(f"r{n}") for n in range(12)))
            await until(lambda: len(callbacks) == 12)
            for on_response in reversed(callbacks):
                on_response(Served(b"x" * 60_000))
            app.end()
            assert len(await read_to_end(client_socket)) == 12 * (60_000 + len(b"$60000\r\n\r\n"))

    run_test(test)


def test_a_closed_connection_is_freed_without_the_garbage_collector() -> None:
    """Regression: the exception of the last read referred to the frame in which it was raised, and 3.6 MB of closed
    connections were kept on a day with many clients."""

    async def test() -> None:
        async with one_gateway() as (app, _, _):
            gc.collect()
            gc.disable()
            try:
                client_socket, connection = await connect_served_client(app)
                reference = weakref.ref(connection)
                del connection
                client_socket.close()
                await until(lambda: not app.parts.resp_listener.connections)
                await until(lambda: reference() is None)
            finally:
                gc.enable()

    run_test(test)


class ManualDispatcher:
    """A dispatcher whose responses the test sends itself."""

    def __init__(self) -> None:
        self.callbacks: list[Callable[[Response], None]] = []

    def validate(self, _: Request) -> None:
        return None

    def submit(self, _: Request, on_response: Callable[[Response], None]) -> Callable[[], None]:
        self.callbacks.append(on_response)
        return lambda: None


class ReadyDiscovery:
    ready = True


@contextlib.asynccontextmanager
async def listener_with_small_buffers() -> AsyncIterator[
    tuple[ManualDispatcher, RespListener, socket.socket]
]:
    """A listener on a ManualDispatcher, and a client; the sockets between them have small buffers."""
    dispatcher: Any = ManualDispatcher()
    discovery: Any = ReadyDiscovery()
    listener = RespListener(
        dispatcher,
        ActorScheduler(asyncio.get_running_loop()),
        20,
        discovery,
        10**9,
        15,
        ResponseBudget(10**9),
        RequestBudget(10**9),
    )
    with socket.socket() as listening_socket, socket.socket() as client_socket:
        listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8192)
        listening_socket.bind((HOST, 0))
        listening_socket.listen()
        listening_socket.setblocking(False)
        listener.add_sockets([listening_socket])
        client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        client_socket.connect(listening_socket.getsockname())
        yield dispatcher, listener, client_socket
        listener.stop()


async def stall(listener: RespListener, connection: RespClientConnection, timeout_s: float) -> None:
    """Let time pass in which the client reads nothing, until its connection is closed.

    The system may send on for some time behind the client's last read, which counts as progress.
    """
    while listener.connections:
        connection.write_stalled_since_s -= timeout_s
        listener.sweep()
        await asyncio.sleep(0)


def test_a_client_that_stops_reading_responses_is_disconnected() -> None:
    """Regression: once the first of two writes had been sent, the connection no longer counted as stalled."""

    async def test() -> None:
        async with listener_with_small_buffers() as (dispatcher, listener, client_socket):
            for request_id in ("r1", "r2"):  # two writes
                client_socket.sendall(query(request_id))
                await until(lambda: dispatcher.callbacks)
                dispatcher.callbacks.pop()(Served(b"x" * 60_000))
                await asyncio.sleep(0)
            [connection] = listener.connections
            client_socket.setblocking(False)
            received = 0
            while connection._unsent_bytes > 60_100:  # the first write is not finished
                received += len(await asyncio.get_running_loop().sock_recv(client_socket, 4096))
            assert (
                connection._unsent_bytes
                and connection.write_stalled_since_s < math.inf
                and received < 120_000
            )
            await stall(listener, connection, WRITE_STALL_TIMEOUT_S)

    run_test(test)


def test_an_incomplete_command_does_not_keep_a_client_that_reads_nothing() -> None:
    """Regression: once the command timeout had expired, the write stall timeout was no longer checked."""

    async def test() -> None:
        async with listener_with_small_buffers() as (dispatcher, listener, client_socket):
            client_socket.sendall(b"".join(query(f"r{n}") for n in range(10)) + query("half")[:20])
            await until(lambda: len(dispatcher.callbacks) == 10)
            for on_response in dispatcher.callbacks:
                on_response(Served(b"x" * 60_000))
            [connection] = listener.connections
            await until(lambda: connection.write_stalled_since_s < math.inf)
            connection.command_started_s -= COMMAND_TIMEOUT_S
            listener.sweep()
            await asyncio.sleep(0)
            assert listener.connections  # the write stall timeout has not expired
            await stall(listener, connection, WRITE_STALL_TIMEOUT_S)

    run_test(test)


def test_the_command_timeout_is_suspended_while_backpressure_stops_reading() -> None:
    """Regression: of 65 long queries in one write, the last stays half read while backpressure suspends reading, and
    the command timeout expired meanwhile."""

    async def test() -> None:
        async with listener_with_small_buffers() as (dispatcher, listener, client_socket):
            body = "b" * (READ_CHUNK_BYTES // 32)
            client_socket.setblocking(False)
            requests = b"".join(query(f"r{n:03}", body=body) for n in range(80))
            sending = asyncio.ensure_future(asyncio.get_running_loop().sock_sendall(client_socket, requests))
            await until(lambda: len(dispatcher.callbacks) >= MAX_PIPELINED_REQUESTS)
            await asyncio.sleep(0.01)
            [connection] = listener.connections
            assert (
                connection._backpressured
                and not connection._parser.is_idle
                and connection.command_started_s == math.inf
            )
            listener.sweep()
            for on_response in dispatcher.callbacks:
                on_response(Served(b"value"))
            await until(lambda: len(dispatcher.callbacks) == 80)
            await sending

    run_test(test)


# Connections that the gateway closes --------------------------------------------------------------------


@pytest.mark.parametrize("closed_by", ["sweep", "eviction", "drain"])
def test_data_read_but_not_yet_handled_keeps_its_connection_open(
    closed_by: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Regression: a read completes one event loop iteration before its data is handled.  In between, the socket was
    empty and no command incomplete, so the connection counted as idle."""

    async def test() -> None:
        async with one_gateway() as (app, _, _):
            client_socket, connection = await connect_served_client(app)
            monkeypatch.setattr(listener_module, "IDLE_TIMEOUT_S", 0.0)
            client_socket.sendall(query("second"))
            signal_readable(connection)
            match closed_by:
                case "sweep":
                    app.parts.resp_listener.sweep()
                case "eviction":
                    assert not app.parts.resp_listener._evict_idle_connection(0.0)
                case "drain":
                    connection.drain()
                    app.parts.loop.run()
            monkeypatch.setattr(listener_module, "IDLE_TIMEOUT_S", 20.0)
            client_socket.setblocking(False)
            assert await asyncio.get_running_loop().sock_recv(client_socket, 100) == b"$5\r\nvalue\r\n"
            client_socket.close()

    run_test(test)


def test_a_request_read_while_the_last_response_is_sent_is_answered_too() -> None:
    """Regression: the close waited only for the write, and shut down the sending side although a query had arrived
    meanwhile."""
    value = b"*1\r\n" + resp("v" * 65_000)[4:]

    async def test() -> None:
        async with one_gateway(script=[value, None]) as (app, backend, _):
            client_socket = socket.socket()
            client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            client_socket.connect(app.lifecycle.address)
            await until(lambda: app.parts.resp_listener.connections)
            [connection] = app.parts.resp_listener.connections
            connection._stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            client_socket.sendall(query("first"))
            await until(lambda: connection._stream.writing())
            connection.drain()
            await until(lambda: connection._closing)
            client_socket.sendall(query("second"))
            await until(lambda: len(backend.commands) == 2)
            client_socket.setblocking(False)
            for _ in range(65_000 // 1000):  # the long response
                await asyncio.get_running_loop().sock_recv(client_socket, 1000)
            await until(lambda: not connection._stream.writing())
            for _ in range(20):  # let the turn after the finished write run
                await asyncio.sleep(0.001)
            backend.writers[0].write(LAST_RESPONSE)
            assert (await read_to_end(client_socket)).endswith(b"$4\r\nlast\r\n")

    run_test(test)


def test_requests_that_cross_the_close_are_not_forwarded() -> None:
    """Requests that arrive during the close are read, so that no reset discards the last response, and ignored; the
    client retries them."""

    async def test() -> None:
        async with one_gateway() as (app, backend, _):
            client_socket, connection = await connect_served_client(app)
            connection.drain()
            app.parts.loop.run()
            assert connection._output_ended
            client_socket.sendall(query("crossing"))
            assert await read_to_end(client_socket) == b"" and len(backend.commands) == 1

    run_test(test)


def test_the_unread_rest_of_a_command_is_handled_before_its_connection_is_closed() -> None:
    async def test() -> None:
        async with one_gateway() as (app, _, _):
            client_socket, connection = await connect_served_client(app)
            client_socket.sendall(query("slow")[:40])
            await until(lambda: connection.buffered_bytes)
            client_socket.sendall(query("slow")[40:])
            connection.close_incomplete()
            client_socket.setblocking(False)
            assert await asyncio.get_running_loop().sock_recv(client_socket, 100) == b"$5\r\nvalue\r\n"
            client_socket.close()

    run_test(test)


def test_a_client_beyond_the_connection_bound_is_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    """Regression: the connection was closed with the client's query unanswered."""
    monkeypatch.setattr(parts, "RESP_CLIENTS_FRACTION", 1 / 1024)

    async def test() -> None:
        async with one_gateway(script=[None]) as (app, backend, _):
            reader, writer = await connect(app.lifecycle.address)
            writer.write(query("open"))
            await backend.ledger.arrived.wait()
            for n in range(3):
                client_socket = connect_client(app)
                client_socket.sendall(query(f"more{n}"))
                assert await read_to_end(client_socket) == b"-BUSY 1\r\n"
            # More clients than are rejected at a time: the others wait in the backlog.
            waiting_clients = [connect_client(app) for _ in range(12)]
            for n, client_socket in enumerate(waiting_clients):
                client_socket.sendall(query(f"crowd{n}"))
            assert set(await asyncio.gather(*map(read_to_end, waiting_clients))) == {b"-BUSY 1\r\n"}
            backend.writers[0].write(LAST_RESPONSE)
            assert await read_reply(reader) == b"last"
            writer.close()

    run_test(test)


# The end of the process ---------------------------------------------------------------------------------


def test_connections_in_the_accept_queue_are_answered_when_the_listener_stops() -> None:
    """Regression: the kernel had accepted the connections and reset them with the listening socket; nor did the
    shutdown wait for a connection that was not being read yet."""

    async def test() -> None:
        async with one_gateway(script=[None]) as (app, backend, _):
            clients = [connect_client(app) for _ in range(3)]
            for n, client_socket in enumerate(clients):
                client_socket.sendall(query(f"r{n}"))
            app.lifecycle.post(ShutdownEvent.TERMINATE)
            app.lifecycle.post(ShutdownEvent.NOTICE_ELAPSED)
            await backend.ledger.arrived.wait()
            assert not app.done.is_set()
            await until(lambda: len(backend.commands) == 3)
            for writer in backend.writers:
                writer.write(LAST_RESPONSE)
            responses = await asyncio.gather(*map(read_to_end, clients))
            assert sorted(responses) == [b"$4\r\nlast\r\n"] + [b"$5\r\nvalue\r\n"] * 2
            await app.done.wait()

    run_test(test)


@pytest.mark.parametrize("first_event", [ShutdownEvent.TERMINATE, ShutdownEvent.SUCCESSOR_READY])
def test_the_grace_period_for_the_last_responses_counts_from_sigterm(
    first_event: ShutdownEvent, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Regression: when a successor was already serving, no time had been spent waiting, yet it was subtracted."""

    async def test() -> None:
        async with one_gateway() as (app, _, _):
            timers: list[tuple[float, Any]] = []
            monkeypatch.setattr(
                app.parts.loop, "call_later", lambda delay_s, callback, *_: timers.append((delay_s, callback))
            )
            monkeypatch.setattr(app.parts.loop, "time", lambda: 100.0)
            app.parts.config = replace(app.parts.config, drain_s=0.45)
            if first_event is ShutdownEvent.SUCCESSOR_READY:
                app.lifecycle.post(ShutdownEvent.SUCCESSOR_READY)
            app.end()
            monkeypatch.setattr(app.parts.loop, "time", lambda: 100.25)
            app.end()
            app.lifecycle.post(ShutdownEvent.NOTICE_ELAPSED)
            [delay_s] = [delay_s for delay_s, callback in timers if callback == app.lifecycle._answer_all_now]
            monkeypatch.undo()
            app.lifecycle.post(ShutdownEvent.USAGE_REPORTED)
            elapsed_s = 0.25 if first_event is ShutdownEvent.TERMINATE else 0.0
            assert delay_s == pytest.approx(
                lifecycle.MAX_COUNTED_DEADLINE_S + lifecycle.KILL_MARGIN_S - elapsed_s
            )

    run_test(test)


def test_near_sigkill_new_requests_are_rejected_and_not_forwarded() -> None:
    async def test() -> None:
        async with one_gateway(script=[None, None]) as (app, backend, _):
            client_socket = connect_client(app)
            client_socket.sendall(query("held"))
            await backend.ledger.arrived.wait()
            [connection] = app.parts.resp_listener.connections
            app.parts.resp_listener.reject_new_requests()
            client_socket.sendall(query("late"))
            await until(lambda: len(connection._slots) == 2)
            app.lifecycle._answer_all_now()
            assert await read_to_end(client_socket) == b"-BUSY 100\r\n-BUSY 1\r\n"
            assert len(backend.commands) == 1

    run_test(test)


def test_a_frozen_counter_and_a_repeated_sigterm_do_not_delay_the_shutdown() -> None:
    async def test() -> None:
        async with (
            Backend(script=[None]) as backend,
            Counter() as counter,
            Discovery(entry("a", backend.port)) as discovery,
        ):
            counter.may_answer.clear()
            gateway_config = config(
                discovery.port,
                counter.port,
                endpoint_snapshot(entry("a", backend.port)),
                counter_timeout_ms=50.0,
            )
            async with gateway(gateway_config, WallClock(time.monotonic, time.time)) as app:
                reader, writer = await connect(app.lifecycle.address)
                writer.write(query())
                await backend.ledger.arrived.wait()
                app.end()
                app.end()
                backend.writers[0].write(LAST_RESPONSE)
                assert await reader.read() == b"$4\r\nlast\r\n"
                app.end()
                await app.done.wait()

    run_test(test)


# Socket options and descriptors -------------------------------------------------------------------------


@pytest.mark.parametrize("inherited", [False, True])
def test_no_socket_delays_small_writes(
    inherited: bool, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    upstream_sockets: list[socket.socket] = []
    connect_stream: Any = IOStream.connect

    def record_connect(stream: IOStream, *arguments: Any) -> Any:
        upstream_sockets.append(stream.socket.dup())
        return connect_stream(stream, *arguments)

    monkeypatch.setattr(IOStream, "connect", record_connect)

    async def test() -> None:
        listening_socket = socket.create_server((HOST, 0))
        async with (
            Backend() as backend,
            Counter() as counter,
            Discovery(entry("a", backend.port)) as discovery,
        ):
            gateway_config = config(discovery.port, counter.port, endpoint_snapshot(entry("a", backend.port)))
            if inherited:
                gateway_config = replace(
                    gateway_config, socket_fd=listening_socket.fileno(), folder=str(tmp_path)
                )
            async with gateway(gateway_config) as app:
                await until(lambda: app.lifecycle.listening and discovery.calls)
                client_socket, connection = await connect_served_client(app)
                peers = {checked.getpeername()[1] for checked in upstream_sockets}
                assert peers == {backend.port, counter.port, discovery.port}
                for checked in [connection._stream.socket, *upstream_sockets]:
                    assert checked.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
                    if checked in upstream_sockets:
                        checked.close()
                client_socket.close()
        listening_socket.close()

    run_test(test)


class SocketWithoutDescriptors(socket.socket):
    """A listening socket whose accept() fails while the process has no free descriptor."""

    accept_calls, exhausted = 0, True

    def accept(self) -> Any:
        self.accept_calls += 1
        if self.exhausted:
            raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))
        return super().accept()


def test_without_descriptors_accepting_pauses_and_resumes(monkeypatch: pytest.MonkeyPatch) -> None:
    """Regression: the listening socket stays readable, so each event loop iteration tried again and logged a
    traceback."""
    monkeypatch.setattr(listener_module, "ACCEPT_RETRY_INTERVAL_S", 0.2)

    async def test() -> None:
        async with one_gateway() as (app, _, _):
            listening_socket = SocketWithoutDescriptors()
            listening_socket.bind((HOST, 0))
            listening_socket.listen(8)
            listening_socket.setblocking(False)
            app.parts.resp_listener.add_sockets([listening_socket])
            client_socket = socket.create_connection(listening_socket.getsockname())
            client_socket.sendall(query())
            await until(lambda: listening_socket.accept_calls)
            for _ in range(200):
                await asyncio.sleep(0)
            assert listening_socket.accept_calls == 1
            listening_socket.exhausted = False
            client_socket.setblocking(False)
            assert await asyncio.get_running_loop().sock_recv(client_socket, 100) == b"$5\r\nvalue\r\n"
            client_socket.close()

    run_test(test)


def test_idle_clients_leave_descriptors_for_discovery_and_servers(tmp_path: Path) -> None:
    """A real process with few descriptors, and more clients than descriptors while discovery is down."""

    async def test() -> None:
        with socket.socket() as port_holder:
            port_holder.bind((HOST, 0))
            port = port_holder.getsockname()[1]
        async with Backend() as backend, Discovery(entry("a", backend.port)) as discovery:
            stopped_discovery, discovery_port = discovery, discovery.port
            await stopped_discovery.__aexit__()
            raw_config = {
                "name": "n1",
                "listen": f"{HOST}:{port}",
                "discovery": f"{HOST}:{discovery_port}",
                "seed": "1f",
                "counter": f"{HOST}:1",
                "settings": PARAMS,
                "limits": {"sockets": 64},
            }
            (tmp_path / "config.json").write_text(json.dumps(raw_config))
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
                idle_clients = [await connect((HOST, port)) for _ in range(100)]
                async with stopped_discovery:
                    while True:
                        reader, writer = await connect((HOST, port))
                        writer.write(resp("PING"))
                        answer = await reader.readline()
                        writer.close()
                        if answer == b"+PONG\r\n":
                            break
                        await asyncio.sleep(0.05)
                    assert discovery.calls
                    for _, writer in idle_clients:
                        writer.close()
            finally:
                process.send_signal(signal.SIGTERM)
                log_output = await process.stderr.read()
                await process.wait()
            assert b"Traceback" not in log_output

    run_test(test)
