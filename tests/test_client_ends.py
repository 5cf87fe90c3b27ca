"""How a client's connection ends, from either side, with bytes at each place where they can lie."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

import pytest
from tornado.ioloop import IOLoop
from tornado.iostream import IOStream

from badgeryoke.actor import Turns
from badgeryoke.execution import Query
from badgeryoke.gateway import App
from badgeryoke.resp import client_link as client_link_module
from badgeryoke.resp import front as front_module
from badgeryoke.resp.client_link import MOST_WAITING, READ_AT_ONCE, ClientLink
from tests.standins import (
    connect,
    one_gateway,
    query,
    resp,
)
from tests.test_front import ask, play
from tests.test_service import until

LAST = b"*1\r\n$4\r\nlast\r\n"  # a backend's answer


def client(app: App) -> socket.socket:
    """A connection whose bytes lie in the gateway's socket when a call returns: no turn comes between."""
    made = socket.create_connection(app.address[:2])
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


async def linked(app: App) -> tuple[socket.socket, ClientLink]:
    """A client that has had its first answer, and the gateway's end of it."""
    made = client(app)
    made.sendall(query("first"))
    made.setblocking(False)
    assert await asyncio.get_running_loop().sock_recv(made, 100) == b"$5\r\nvalue\r\n"
    made.setblocking(True)
    return made, list(app._front.links)[-1]


def read(link: ClientLink) -> None:
    """The event loop finds the socket readable; whoever waits for the reading goes on one round later."""
    link._stream._handle_events(link._stream.socket, IOLoop.READ)


# Clients that go ---------------------------------------------------------------------------------------


def test_a_client_that_ends_its_sending_has_gone() -> None:
    """A FIN is all that a close shows: read as the end of its sending alone, no close would ever be seen."""
    async def test() -> None:
        async with one_gateway(script=[None]) as (app, node, _):
            reader, writer = await connect(app.address)
            writer.write(query())
            await node.books.arrived.wait()
            writer.write_eof()
            await node.ended.wait()
            assert await reader.read() == b"" and app.core.unanswered == 0
            writer.close()

    play(test)


def test_a_client_that_goes_while_no_more_is_read_of_it_is_seen() -> None:
    """More lay unread than one reading takes, and the close behind it."""
    async def test() -> None:
        async with one_gateway(script=[None] * 2 * MOST_WAITING) as (app, _, _):
            made = client(app)
            made.sendall(b"".join(query(f"r{n}") for n in range(MOST_WAITING)))
            await until(lambda: app._front.links and len(list(app._front.links)[-1]._slots) == MOST_WAITING)
            made.sendall(query("behind", "load-send", key="k", body="x" * 30_000) * 4)
            await until(lambda: client_link_module._unread(list(app._front.links)[-1]._stream))
            made.close()
            await asyncio.wait_for(until(lambda: not app._front.links), 10.0)
            assert app.core.unanswered == 0

    play(test)


class Taking:
    """A core that takes what comes and never answers."""

    taken = 0

    def problem(self, query: Query) -> None:
        return None

    def submit(self, query: Query, answer: object) -> Callable[[], None]:
        self.taken += 1
        return lambda: None


def test_nothing_begins_for_a_client_that_was_gone_when_its_bytes_had_their_turn() -> None:
    """A closed stream still gives what lies in its buffer."""
    async def test() -> None:
        ours, theirs = socket.socketpair()
        core = Taking()
        stream = IOStream(ours)
        link = ClientLink(stream, core, Turns(asyncio.get_running_loop()),  # type: ignore[arg-type]
                          lambda: True, lambda _: None)
        serving = asyncio.ensure_future(link.serve())
        theirs.sendall(b"".join(query(f"r{n}") for n in range(MOST_WAITING)))
        await until(lambda: core.taken == MOST_WAITING)
        theirs.sendall(query("behind"))
        await until(lambda: stream._read_buffer_size)
        stream.close()
        await serving
        assert core.taken == MOST_WAITING
        theirs.close()

    play(test)


def test_much_at_once_is_taken_piece_by_piece_and_not_for_a_client_that_has_gone(
        monkeypatch: pytest.MonkeyPatch) -> None:
    """560 queries of one write had their decisions in one turn, though their client was gone."""
    sizes: list[int] = []
    taken: Any = ClientLink._take

    def take(link: ClientLink, data: bytes) -> None:
        if not link._stream.closed():
            sizes.append(len(data))
        taken(link, data)

    monkeypatch.setattr(ClientLink, "_take", take)

    async def test() -> None:
        async with one_gateway() as (app, _, _):
            made = client(app)
            made.sendall(b"".join(query(f"r{n:06}") for n in range(800)))
            made.close()
            await until(lambda: app._front.links)
            await until(lambda: not app._front.links)
            assert sizes == [READ_AT_ONCE] and app.core.unanswered == 0
            assert await ask(app, resp("PING") * 2000) == ["+PONG"]  # while it asks on
            assert max(sizes) == READ_AT_ONCE

    play(test)


# Connections that the gateway ends ------------------------------------------------------------------------


@pytest.mark.parametrize("end", ["sweep", "make room", "end"])
def test_what_was_read_and_had_no_turn_yet_keeps_its_connection(
        end: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """A reading is done one round of the event loop before it is taken: the socket was empty, no command open,
    and the connection counted as idle."""
    async def test() -> None:
        async with one_gateway() as (app, _, _):
            made, link = await linked(app)
            monkeypatch.setattr(front_module, "IDLE_S", 0.0)
            made.sendall(query("second"))
            read(link)
            match end:
                case "sweep":
                    app._front.sweep()
                case "make room":
                    assert not app._front._make_room(0.0)
                case "end":
                    link.end()
                    app._loop.run()
            monkeypatch.setattr(front_module, "IDLE_S", 20.0)
            made.setblocking(False)
            assert await asyncio.get_running_loop().sock_recv(made, 100) == b"$5\r\nvalue\r\n"
            made.close()

    play(test)


def test_a_query_taken_while_the_last_answer_goes_out_has_its_answer_too() -> None:
    """The end waited for the writing alone, and closed our side under a query that had come meanwhile."""
    value = b"*1\r\n" + resp("v" * 65_000)[4:]

    async def test() -> None:
        async with one_gateway(script=[value, None]) as (app, node, _):
            made = socket.socket()
            made.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            made.connect(app.address)
            await until(lambda: app._front.links)
            [link] = app._front.links
            link._stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            made.sendall(query("first"))
            await until(lambda: link._stream.writing())
            link.end()
            await until(lambda: link._ending)
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


def test_the_rest_of_a_command_that_lies_unread_is_taken_before_its_connection_is_dropped() -> None:
    async def test() -> None:
        async with one_gateway() as (app, _, _):
            made, link = await linked(app)
            made.sendall(query("slow")[:40])
            await until(lambda: link.held)
            made.sendall(query("slow")[40:])
            link.drop()
            made.setblocking(False)
            assert await asyncio.get_running_loop().sock_recv(made, 100) == b"$5\r\nvalue\r\n"
            made.close()

    play(test)
