"""Clients that take long to read a response: they get all of it, also from a gateway that drains."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator

import pytest

from badgeryoke.gateway.application import GatewayApplication
from badgeryoke.gateway.connecting import unacknowledged_bytes
from badgeryoke.gateway.graceful_shutdown import ShutdownEvent
from badgeryoke.gateway.resp.client_connection import MAX_PIPELINED_REQUESTS, RespClientConnection
from badgeryoke.gateway.resp.listener import IDLE_TIMEOUT_S, STREAM_STALL_TIMEOUT_S, WRITE_STALL_TIMEOUT_S
from badgeryoke.gateway.response_stream import MIN_WINDOW_BYTES
from tests.support.running import run_test, until
from tests.support.stand_ins import one_gateway, query

VALUE = b"v" * 300_000  # streamed, and short enough for the system's buffers
RESPONSE = b"$%d\r\n%b\r\n" % (len(VALUE), VALUE)
SMALL_BUFFER_BYTES = 8192


@contextlib.asynccontextmanager
async def slow_client(
    small_buffers: bool = False,
    script: list[bytes] | None = None,
) -> AsyncIterator[tuple[GatewayApplication, socket.socket, RespClientConnection]]:
    """A client that has asked for a long value, and the gateway's connection to it."""
    async with one_gateway(script=script or [b"*1\r\n" + RESPONSE]) as (app, _, _):
        with socket.socket() as client_socket:
            if small_buffers:
                client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
            client_socket.connect(app.lifecycle.address[:2])
            client_socket.setblocking(False)
            await until(lambda: app.parts.resp_listener.connections)
            [connection] = app.parts.resp_listener.connections
            if small_buffers:
                connection._stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
            await asyncio.get_running_loop().sock_sendall(client_socket, query())
            yield app, client_socket, connection


async def receive(client_socket: socket.socket, size: int = 65536) -> bytes:
    return await asyncio.get_running_loop().sock_recv(client_socket, size)


async def receive_all(client_socket: socket.socket, received: bytes = b"") -> bytes:
    """Read to the end of the connection."""
    while data := await receive(client_socket):
        received += data
    return received


def has_received(connection: RespClientConnection) -> bool:
    """Whether the gateway's side shows that the client has received bytes since the last sweep."""
    return unacknowledged_bytes(connection._stream) != connection._undelivered_bytes


async def until_handed_over(connection: RespClientConnection) -> None:
    """Wait until the gateway has given the whole value to the system, and nothing is read yet."""
    await until(lambda: connection.has_sent_command)
    await until(lambda: not connection._slots and not connection._stream.writing())
    assert unacknowledged_bytes(connection._stream)


@pytest.mark.parametrize(
    "event", [ShutdownEvent.PAUSE, ShutdownEvent.TERMINATE, ShutdownEvent.SUCCESSOR_READY]
)
def test_a_drain_does_not_cut_off_a_value_that_is_still_read(event: ShutdownEvent) -> None:
    """Regression: the connection was closed over what the client had not received; its next request reset it."""

    async def test() -> None:
        async with slow_client() as (app, client_socket, connection):
            await until_handed_over(connection)
            app.lifecycle.post(event)
            await until(lambda: connection._draining)
            connection.drain_now()  # the grace period is over
            await until(lambda: connection._awaits_delivery or not app.parts.resp_listener.connections)
            await asyncio.get_running_loop().sock_sendall(client_socket, query("next"))
            received = await receive_all(client_socket)
            assert received.startswith(RESPONSE) and received[len(RESPONSE) :].startswith(b"-BUSY ")

    run_test(test)


def test_a_client_that_reads_nothing_does_not_hold_a_drain() -> None:
    async def test() -> None:
        async with slow_client() as (app, _, connection):
            await until_handed_over(connection)
            connection.drain_now()
            await until(lambda: connection._awaits_delivery)
            while app.parts.resp_listener.connections:
                connection.write_stalled_since_s -= STREAM_STALL_TIMEOUT_S
                app.parts.resp_listener.sweep()
                await asyncio.sleep(0)

    run_test(test)


def test_a_client_that_reads_nothing_does_not_keep_an_idle_connection() -> None:
    """Regression: a connection whose client was behind never counted as idle, and was never closed."""

    async def test() -> None:
        async with slow_client() as (app, _, connection):
            await until_handed_over(connection)
            connection.idle_since_s -= IDLE_TIMEOUT_S
            app.parts.resp_listener.sweep()
            await until(lambda: connection._awaits_delivery)
            while app.parts.resp_listener.connections:
                connection.write_stalled_since_s -= STREAM_STALL_TIMEOUT_S
                app.parts.resp_listener.sweep()
                await asyncio.sleep(0)

    run_test(test)


def test_requests_in_the_socket_are_answered_when_the_grace_period_ends() -> None:
    """Regression: behind the first requests that were answered at once, the rest were dropped in the close."""
    count = 4 * MAX_PIPELINED_REQUESTS

    async def test() -> None:
        async with one_gateway(script=[None]) as (app, backend, _):
            with socket.create_connection(app.lifecycle.address[:2]) as client_socket:
                client_socket.sendall(query("head"))
                await until(lambda: backend.commands)
                client_socket.sendall(b"".join(query(f"r{n}") for n in range(count)))
                client_socket.setblocking(False)
                [connection] = app.parts.resp_listener.connections
                connection.drain_now()
                backend.writers[0].write(b"*1\r\n$4\r\nhead\r\n")
                received = await receive_all(client_socket)
                assert received.startswith(b"$4\r\nhead\r\n") and received.count(b"-BUSY ") == count

    run_test(test)


def test_a_client_that_still_reads_is_not_evicted_as_idle() -> None:
    """Regression: its connection counted as idle once the system had taken the value."""

    async def test() -> None:
        async with slow_client() as (app, client_socket, connection):
            await until_handed_over(connection)
            assert not app.parts.resp_listener._evict_idle_connection(0.0)
            received = b""
            while len(received) < len(RESPONSE):
                received += await receive(client_socket)
            await until(lambda: app.parts.resp_listener._evict_idle_connection(0.0))

    run_test(test)


def test_a_slow_but_steady_reader_of_short_values_is_not_given_up() -> None:
    """Regression: only the stream's own writes counted as progress, and a slow reader lets them rest for seconds."""
    count = 3
    short = b"*1\r\n$60000\r\n" + b"s" * 60_000 + b"\r\n"

    async def test() -> None:
        async with slow_client(small_buffers=True, script=[short] * count) as (
            app,
            client_socket,
            connection,
        ):
            await asyncio.get_running_loop().sock_sendall(
                client_socket, b"".join(query(f"more{n}") for n in range(count - 1))
            )
            await until(lambda: connection._stream.writing())
            received = b""
            while len(received) < count * len(short[4:]):
                received += await receive(client_socket, 4096)
                if has_received(connection):
                    connection.write_stalled_since_s -= 2 * WRITE_STALL_TIMEOUT_S
                    app.parts.resp_listener.sweep()
                    assert not connection._stream.closed()
            assert received == short[4:] * count

    run_test(test)


def test_where_many_values_are_streamed_each_client_is_handed_a_smaller_piece() -> None:
    """Regression: each client's stream held 32 KiB; with hundreds their sum passed its bound, and values were cut."""

    async def test() -> None:
        async with slow_client(small_buffers=True) as (app, client_socket, connection):
            app.parts.stream_budget.open_streams += 10_000
            received = b""
            while len(received) < len(RESPONSE):
                received += await receive(client_socket, 4096)
                assert len(connection._stream._write_buffer) <= MIN_WINDOW_BYTES + len(b"$300000\r\n\r\n")
            assert received == RESPONSE

    run_test(test)


def test_the_end_of_a_streamed_value_is_not_cut_off() -> None:
    """Regression: with its last bytes in the stream, a value no longer counted as one, nor the client as reading."""

    async def test() -> None:
        async with slow_client(small_buffers=True) as (app, client_socket, connection):
            received = b""
            while not received or connection._slots:
                received += await receive(client_socket, 4096)
            assert connection._stream.writing()
            connection.write_stalled_since_s -= 2 * WRITE_STALL_TIMEOUT_S
            app.parts.resp_listener.sweep()
            assert not connection._stream.closed()
            while len(received) < len(RESPONSE):
                received += await receive(client_socket, 4096)
                if has_received(connection):
                    connection.write_stalled_since_s -= 2 * STREAM_STALL_TIMEOUT_S
                    app.parts.resp_listener.sweep()
            assert received == RESPONSE

    run_test(test)
