"""Long commands are received only while there is room for them: a slow writer waits, and is not cut off."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from dataclasses import replace

from badgeryoke.gateway.application import GatewayApplication
from badgeryoke.gateway.connecting import has_unread_data
from badgeryoke.gateway.resp.client_connection import RespClientConnection
from badgeryoke.gateway.resp.listener import COMMAND_TIMEOUT_S
from badgeryoke.gateway.resp.request_budget import RequestBudget, RequestReservation
from tests.support.running import run_test, until
from tests.support.stand_ins import (
    Backend,
    Discovery,
    config,
    connect,
    endpoint_snapshot,
    entry,
    gateway,
    query,
    read_reply,
)

SMALL_MEMORY_MB = 32.0
CLIENTS = 60
BODY = "b" * 60_000


def run_with_small_memory(play: Callable[[GatewayApplication], object]) -> None:
    async def test() -> None:
        async with Backend() as backend, Discovery(entry("a", backend.port)) as agent:
            known = endpoint_snapshot(entry("a", backend.port))
            async with gateway(replace(config(agent.port, None, known), memory_mb=SMALL_MEMORY_MB)) as app:
                await play(app)  # type: ignore[misc]

    run_test(test)


def is_received(connection: RespClientConnection) -> bool:
    """Whether a connection has read what its client has sent, or is held back."""
    is_begun = bool(connection._parser.buffered_bytes)
    is_read = connection._stream.reading() and not has_unread_data(connection._stream)
    return is_begun and (is_read or connection._backpressured)


def waiting(app: GatewayApplication) -> list[RespClientConnection]:
    return [
        connection for connection in app.parts.resp_listener.connections if connection._awaits_reservation
    ]


def test_reservations_are_granted_in_order_and_released_once() -> None:
    budget, granted = RequestBudget(100), list[int]()
    reservations = [RequestReservation(60, lambda n=n: granted.append(n)) for n in range(4)]  # type: ignore[misc]
    for reservation in reservations:
        budget.reserve(reservation)
    assert granted == [0]
    budget.release(reservations[1])  # its client has left while it waited
    for reservation in (reservations[0], reservations[0], reservations[2], reservations[3]):
        budget.release(reservation)
    assert granted == [0, 2, 3] and budget.held_bytes == 0


def test_many_clients_that_write_slowly_are_all_served() -> None:
    """Regression: where half commands passed their bound, the connections of slow writers were closed."""

    async def write_slowly(app: GatewayApplication, number: int, half_written: asyncio.Barrier) -> object:
        reader, writer = await connect(app.lifecycle.address)
        command = query(f"r{number}", "load-send", key=f"k{number}", body=BODY)
        writer.write(command[:40_000])
        await half_written.wait()
        writer.write(command[40_000:])
        answer = await read_reply(reader)
        writer.close()
        return answer

    async def play(app: GatewayApplication) -> None:
        half_written = asyncio.Barrier(CLIENTS + 1)
        writing = [
            asyncio.ensure_future(write_slowly(app, number, half_written)) for number in range(CLIENTS)
        ]
        await until(lambda: len(app.parts.resp_listener.connections) == CLIENTS)
        await until(lambda: all(is_received(c) for c in app.parts.resp_listener.connections))
        app.parts.resp_listener.sweep()
        await half_written.wait()
        answers = await asyncio.gather(*writing)
        assert all(answer == b"value" or str(answer).startswith("-BUSY") for answer in answers)
        assert app.parts.resp_listener._request_budget.held_bytes == 0

    run_with_small_memory(play)


def test_a_client_that_stops_while_it_waits_for_room_is_given_up_but_not_one_that_has_sent_all() -> None:
    async def play(app: GatewayApplication) -> None:
        listener = app.parts.resp_listener
        blocker = RequestReservation(10**9, lambda: None)
        listener._request_budget.reserve(blocker)
        clients = [socket.create_connection(app.lifecycle.address[:2]) for _ in range(2)]
        command = query("r1", "load-send", key="k1", body=BODY)
        clients[0].sendall(command)
        clients[1].sendall(command[:40_000])
        await until(lambda: len(waiting(app)) == 2)
        for _ in range(2):  # the first sweep sees what came since the start
            listener.sweep()
            for connection in waiting(app):
                connection.command_started_s -= COMMAND_TIMEOUT_S
        listener.sweep()
        await until(lambda: len(listener.connections) == 1)
        listener._request_budget.release(blocker)
        clients[0].setblocking(False)
        assert await asyncio.get_running_loop().sock_recv(clients[0], 100) == b"$5\r\nvalue\r\n"
        for client_socket in clients:
            client_socket.close()

    run_with_small_memory(play)


def test_a_drain_answers_a_command_that_waits_for_room() -> None:
    """Regression: 1 s after the grace period the connection closed over a command that was in the socket."""

    async def play(app: GatewayApplication) -> None:
        listener = app.parts.resp_listener
        blocker = RequestReservation(10**9, lambda: None)
        listener._request_budget.reserve(blocker)
        client_socket = socket.create_connection(app.lifecycle.address[:2])
        client_socket.sendall(query("r1", "load-send", key="k1", body=BODY))
        await until(lambda: waiting(app))
        [connection] = waiting(app)
        connection.drain_now()
        await until(lambda: connection._grace_expired)
        connection._reads_until_s = 0.0
        connection.deliver(connection._wake_up)
        connection.close_incomplete()  # as by the sweep, where memory is short
        assert not connection._output_ended and not connection._stream.closed()
        listener._request_budget.release(blocker)
        client_socket.setblocking(False)
        assert (await asyncio.get_running_loop().sock_recv(client_socket, 100)).startswith(b"-BUSY ")
        client_socket.close()

    run_with_small_memory(play)


def test_a_short_command_needs_no_room() -> None:
    async def play(app: GatewayApplication) -> None:
        app.parts.resp_listener._request_budget.reserve(RequestReservation(10**9, lambda: None))
        reader, writer = await connect(app.lifecycle.address)
        writer.write(query())
        assert await read_reply(reader) == b"value"
        writer.close()

    run_with_small_memory(play)
