"""When an attempt may be sent again: its connection ends, its window does, or its answer comes, at the worst
moment.

The servers are plain sockets, read and written by the test itself, so that each order happens every time.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
import struct
import time
from collections.abc import AsyncIterator, Callable
from types import SimpleNamespace
from typing import Any

import pytest

from badgeryoke.decisions import interface as api
from badgeryoke.decisions.interface import Verdict
from badgeryoke.decisions.policy.engine import DecisionEngine
from badgeryoke.gateway import connecting
from badgeryoke.gateway.actor import ActorScheduler
from badgeryoke.gateway.attempt import Attempt, AttemptEnd, Request
from badgeryoke.gateway.connecting import new_socket
from badgeryoke.gateway.dispatcher import Dispatcher
from badgeryoke.gateway.resp import upstream_connection
from badgeryoke.gateway.resp.upstream_connection import RESPONSE_SILENCE_TIMEOUT_MS, RespUpstream
from badgeryoke.gateway.responses import Response
from tests.support.dispatcher_bench import KEYED_CLASS, NOT_IDEMPOTENT_CLASS, NoCounter
from tests.support.running import ask, until
from tests.support.running import run_test as play
from tests.support.stand_ins import HOST, NOW_MS, Counter, connect, one_gateway, query, settings

LINGER_0 = struct.pack("ii", 1, 0)
GOOD = b"*1\r\n$4\r\ngood\r\n"
LONG = b"x" * 60_000


class Node:
    """A server of one link: what it accepts, reads and writes is done by hand."""

    def __init__(self) -> None:
        self.listener = socket.create_server((HOST, 0))
        self.listener.setblocking(False)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        self.now = NOW_MS
        self.ends: list[tuple[str, Verdict, bytes]] = []
        self.loop = ActorScheduler(asyncio.get_running_loop())
        self.link = RespUpstream(
            (HOST, self.listener.getsockname()[1]),
            self.loop,
            lambda: self.now,
            report_names=(),
            connect_ms=5000.0,
            idle_ms=60_000.0,
            max_connections=8,
        )
        self.taken: list[socket.socket] = []

    def start(self, rid: str, body: bytes | None = None, write_by_ms: float = float("inf")) -> Attempt:
        asked = Request(rid, "once", "plain", 7, 60_000.0, 1.0, 2, idempotent=False, body=body)
        one = Attempt(asked, 0, 1, self.now, self.now + 60_000.0, self._ended, write_by_ms=write_by_ms)
        self.link.start(one)
        self.loop.run()
        return one

    def _ended(self, execution: Attempt, end: AttemptEnd) -> None:
        self.ends.append((execution.request.id, end.verdict, end.value))

    async def accept(self) -> socket.socket:
        made, _ = await asyncio.get_running_loop().sock_accept(self.listener)
        made.setblocking(False)
        self.taken.append(made)
        return made

    async def accepts_none(self) -> bool:
        """Whether no connection came, also after some rounds of the event loop."""
        for _ in range(20):
            await asyncio.sleep(0)
        try:
            self.taken.append(self.listener.accept()[0])
        except BlockingIOError:
            return True
        return False

    async def idle(self) -> socket.socket:
        """A connection that has rested."""
        self.start("first")
        made = await self.accept()
        await read(made, b"first")
        made.send(GOOD)
        await until(lambda: self.link._idle)
        self.link._idle[0].last_response_s = 0.0
        self.ends.clear()
        return made

    async def stuck(self, **more: Any) -> tuple[Attempt, socket.socket]:
        """An attempt that is out in part."""
        one = self.start("long", LONG, **more)
        made = await self.accept()
        await until(lambda: one.write_started)
        assert next(iter(self.link._connections)).stream.writing()
        return one, made


@contextlib.asynccontextmanager
async def node() -> AsyncIterator[Node]:
    made = Node()
    try:
        yield made
    finally:
        for one in (made.listener, *made.taken):
            one.close()
        for connection in list(made.link._connections):
            connection.stream.close()


@pytest.fixture
def small(monkeypatch: pytest.MonkeyPatch) -> None:
    """Little room in the sockets: a long request sticks half way."""

    def make(address: tuple[str, int]) -> socket.socket:
        made = new_socket(address)
        made.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
        return made

    monkeypatch.setattr(connecting, "new_socket", make)


async def read(made: socket.socket, until_: bytes) -> bytes:
    """What comes on a connection, up to some bytes or its end."""
    got = b""
    while until_ not in got:
        try:
            piece = made.recv(65_536)
        except BlockingIOError:
            await asyncio.sleep(0)
            continue
        except ConnectionError:
            break
        if not piece:
            break
        got += piece
    return got


def reset(made: socket.socket) -> None:
    made.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_0)
    made.close()


# The write of the last byte ---------------------------------------------------------------------------


def test_a_reset_before_the_first_byte_is_written_proves_that_it_never_ran(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It came between the look at the connection and the write, which failed, and counted as written
    whole: an unsafe request failed that could have been sent elsewhere."""

    async def test() -> None:
        async with node() as at:
            made = await at.idle()
            real = upstream_connection.encode_request

            def crossed(*args: Any) -> bytes:
                reset(made)
                return real(*args)

            monkeypatch.setattr(upstream_connection, "encode_request", crossed)
            at.start("r1")
            await until(lambda: at.ends)
            assert at.ends == [("r1", Verdict.CONNECT_FAILED, b"")]

    play(test)


@pytest.mark.usefixtures("small")
def test_a_reset_in_the_middle_proves_that_it_never_ran_and_one_after_the_last_byte_does_not() -> None:
    async def test() -> None:
        async with node() as at:
            _, made = await at.stuck()
            reset(made)
            await until(lambda: at.ends)
            _, made = await at.stuck()
            await read(made, LONG[-1000:] + b"\r\n")
            reset(made)
            await until(lambda: len(at.ends) == 2)
            assert [end[1] for end in at.ends] == [Verdict.CONNECT_FAILED, Verdict.RESET]

    play(test)


@pytest.mark.usefixtures("small")
@pytest.mark.parametrize("answer", [b"-BUSY too many connections\r\n", b"-ERR failed\r\n", GOOD])
def test_a_request_answered_before_it_is_sent_completely_never_arrives_completely(answer: bytes) -> None:
    """A server that turned it away early got the rest all the same, since its connection was used on: the
    request ran there while another attempt was out."""

    async def test() -> None:
        async with node() as at:
            _, made = await at.stuck()
            made.send(answer)
            await until(lambda: at.ends)
            at.start("next")
            got = await read(made, LONG[-1000:] + b"\r\n")
            assert len(got) < len(LONG) and [end[1] for end in at.ends] == [Verdict.CONNECT_FAILED]

    play(test)


@pytest.mark.usefixtures("small")
def test_a_repeat_that_sticks_is_not_out_whole_after_its_window() -> None:
    """The window was looked at before the first byte; the last went out whenever the server read on."""

    async def test() -> None:
        async with node() as at:
            _, made = await at.stuck(write_by_ms=NOW_MS + 20.0)
            await until(lambda: at.ends)
            got = await read(made, LONG[-1000:] + b"\r\n")
            assert len(got) < len(LONG) and [end[1] for end in at.ends] == [Verdict.CONNECT_FAILED]

    play(test)


@pytest.mark.usefixtures("small")
def test_a_client_that_leaves_takes_the_rest_of_a_write_with_it() -> None:
    async def test() -> None:
        async with node() as at:
            one, made = await at.stuck()
            one.abort(Verdict.CANCELLED, final=True)
            at.loop.run()
            assert len(await read(made, LONG[-1000:] + b"\r\n")) < len(LONG)

    play(test)


@pytest.mark.parametrize("where", ["mailbox", "connection on its way up", "counter"])
def test_a_pending_request_is_not_forwarded_once_its_client_has_disconnected(where: str) -> None:
    async def counted() -> None:
        async with Counter() as counter, one_gateway(counter=counter.port) as (app, backend, _):
            _, writer = await connect(app.lifecycle.address)
            counter.held.clear()
            writer.write(query("r1"))
            await until(lambda: counter.units)
            writer.transport.abort()
            await until(
                lambda: not app.parts.dispatcher.unanswered and not app.parts.resp_listener.connections
            )
            counter.held.set()
            assert await ask(app, query("r2")) == [b"value"]
            assert [command[2] for command in backend.commands] == [b"r2"]

    async def dialled() -> None:
        async with node() as at:
            real, up = at.link.connection_opened, asyncio.Event()

            def opened(connection: Any) -> None:
                asyncio.ensure_future(up.wait()).add_done_callback(
                    lambda _: at.link.deliver(real, connection)
                )

            at.link.connection_opened = opened  # type: ignore[method-assign]
            one = at.start("r1")
            made = await at.accept()
            one.abort(Verdict.CANCELLED, final=True)
            up.set()
            await until(lambda: at.link._idle)
            at.start("r2")
            assert b"r1" not in await read(made, b"r2")

    async def mailbox() -> None:
        async with node() as at:
            made = await at.idle()
            asked = Request("r1", "once", "plain", 7, 60_000.0, 1.0, 2, idempotent=False)
            one = Attempt(asked, 0, 1, at.now, at.now + 60_000.0, at._ended)
            at.link.start(one)
            one.abort(Verdict.CANCELLED, final=True)
            at.start("r2")
            assert b"r1" not in await read(made, b"r2")

    play({"mailbox": mailbox, "connection on its way up": dialled, "counter": counted}[where])


def test_a_connection_is_not_used_when_its_server_may_be_closing_it() -> None:
    """Only the sweep looked at how long it had been idle, once a second: with a short idle time, or a late
    event loop, a request was written into the close, and ended as a reset that may have run."""

    async def test() -> None:
        async with node() as at:
            old = await at.idle()
            at.now += 30_001.0  # over half of the time after which the server closes it
            at.start("r2")
            new = await at.accept()
            assert b"r2" in await read(new, b"r2") and await read(old, b"r2") == b""

    play(test)


def test_no_connection_is_opened_for_a_disconnected_client() -> None:
    """It left between the decision and the link's turn: a connection was dialled for nobody, or one at
    rest counted as just used, and was kept beyond the time after which servers close it."""

    async def test() -> None:
        async with node() as at:
            one = Attempt(
                Request("r1", "once", "plain", 7, 60_000.0, 1.0, 2, idempotent=False),
                0,
                1,
                at.now,
                at.now + 60_000.0,
                at._ended,
            )
            at.link.start(one)
            one.abort(Verdict.CANCELLED, final=True)
            at.loop.run()
            assert not at.link._connections and not at.link._pending
            await at.idle()
            used_at = at.link._idle[0].last_used_ms
            at.now += 1000.0
            one = Attempt(one.request, 1, 1, at.now, at.now + 60_000.0, at._ended)
            at.link.start(one)
            one.abort(Verdict.CANCELLED, final=True)
            at.loop.run()
            assert at.link._idle[0].last_used_ms == used_at

    play(test)


def test_a_thousand_attempts_that_wait_too_long_end_once_each() -> None:
    """Each was ended inside the one before: some hundreds deep the rest was left to wait."""

    async def test() -> None:
        async with node() as at:
            at.link._max_connections = 1
            for n in range(1500):
                at.start(f"r{n}")
            at.now += 60_000.0
            await until(lambda: len(at.ends) == 1500)
            assert {end[1] for end in at.ends} == {Verdict.NOT_SENT} and not at.link._pending

    play(test)


# Answers ----------------------------------------------------------------------------------------------


def test_a_late_duplicate_response_is_not_taken_for_another_attempt(monkeypatch: pytest.MonkeyPatch) -> None:
    """Where no other connection was idle, one was used at once after its answer: a second copy that came some
    milliseconds later was taken for the next request's."""
    monkeypatch.setattr(upstream_connection, "REUSE_DELAY_S", 60.0, raising=False)

    async def test() -> None:
        async with node() as at:
            at.start("r1")
            made = await at.accept()
            await read(made, b"r1")
            made.send(GOOD)
            await until(lambda: at.ends)
            at.start("r2")  # it waits, and nothing is opened for it yet
            assert await at.accepts_none()
            made.send(GOOD)
            other = await at.accept()
            assert b"r2" in await read(other, b"r2")
            other.send(b"*1\r\n$2\r\nr2\r\n")
            await until(lambda: len(at.ends) == 2)
            assert at.ends == [("r1", Verdict.OK, b"good"), ("r2", Verdict.OK, b"r2")]

    play(test)


def test_an_attempt_waits_for_a_resting_connection_and_opens_none() -> None:
    async def test() -> None:
        async with node() as at:
            made = await at.idle()
            at.link._idle[0].last_response_s = at.loop.time()
            at.start("r2")
            assert b"r2" in await read(made, b"r2") and await at.accepts_none()

    play(test)


@pytest.mark.parametrize("greeting", [b"", b"-BUSY too many connections\r\n"])
def test_a_server_that_ends_each_connection_at_once_gets_no_burst_of_them(greeting: bytes) -> None:
    """Its end had come before the connection was looked at: another was dialled at once, and so on, for as
    long as an attempt may wait for one."""

    async def test() -> None:
        async with node() as at:
            real = at.link.connection_opened

            def late(connection: Any) -> None:  # the event loop is late: the end is there before
                while True:
                    try:
                        made = at.listener.accept()[0]
                        break
                    except BlockingIOError:
                        time.sleep(0.001)
                at.taken.append(made)
                if greeting:
                    made.send(greeting)
                else:
                    made.close()
                real(connection)

            at.link.connection_opened = late  # type: ignore[method-assign]
            at.start("r1")
            await until(lambda: at.ends or len(at.taken) > 20)
            assert [end[1] for end in at.ends] == [Verdict.CONNECT_FAILED] and len(at.taken) == 1

    play(test)


def test_an_idle_connection_is_used_when_its_lease_is_back() -> None:
    """Attempts that waited while no lease was held counted on it, and nobody looked again."""

    async def test() -> None:
        async with node() as at:
            made = await at.idle()
            lease = at.link.lease = SimpleNamespace(
                is_held=lambda: False, may_open=lambda: False, surplus_count=0
            )  # type: ignore
            at.start("r2")
            lease.is_held = lambda: True
            at.link.capacity_available()
            assert b"r2" in await read(made, b"r2") and await at.accepts_none()

    play(test)


def test_without_descriptors_pending_attempts_fail_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    def none(address: tuple[str, int]) -> socket.socket:
        raise OSError(errno.EMFILE, "too many open files")

    async def test() -> None:
        async with node() as at:
            with monkeypatch.context() as full:
                full.setattr(connecting, "new_socket", none)
                at.start("r1")
                assert [end[1] for end in at.ends] == [Verdict.CONNECT_FAILED] and not at.link._connections
            at.start("r2")
            assert b"r2" in await read(await at.accept(), b"r2")

    play(test)


def test_an_answer_that_was_there_in_time_counts_though_the_event_loop_is_late() -> None:
    """Its first bytes had come; with the rest in the socket the timer came first, and threw it away."""

    async def test() -> None:
        async with node() as at:
            at.start("r1")
            made = await at.accept()
            await read(made, b"r1")
            made.send(GOOD[:6])
            await until(lambda: any(one.response_started for one in at.link._connections))
            made.send(GOOD[6:])
            at.now += RESPONSE_SILENCE_TIMEOUT_MS
            time.sleep(RESPONSE_SILENCE_TIMEOUT_MS / 1000.0)
            await until(lambda: at.ends)
            assert at.ends == [("r1", Verdict.OK, b"good")]

    play(test)


@pytest.mark.parametrize("flood", [b"+OK\r\n", b"*1\r\n", b"$65536\r\n", b"-", b"*1\r\n$4000000\r\n"])
def test_a_flood_in_place_of_an_answer_is_an_error_and_costs_its_server_the_connection(flood: bytes) -> None:
    """Bounded: the connection ends long before all that is sent has come."""

    async def test() -> None:
        async with node() as at, node() as sound:
            at.start("r1")
            made = await at.accept()
            await read(made, b"r1")
            sent, data = 0, memoryview(flood * (1_000_000 // len(flood)))
            while not at.ends or sent < 64:
                with contextlib.suppress(BlockingIOError):
                    try:
                        sent += made.send(data[:65_536])
                    except ConnectionError:
                        break
                await asyncio.sleep(0)
            sound.start("r2")
            other = await sound.accept()
            await read(other, b"r2")
            other.send(GOOD)
            await until(lambda: sound.ends and at.ends)
            assert [end[1] for end in at.ends] == [Verdict.ERROR] and sound.ends[0][2] == b"good"
            await until(lambda: not at.link._connections)
            assert sent < 2_000_000

    play(test)


# One attempt at a time --------------------------------------------------------------------------------


@contextlib.asynccontextmanager
async def core(
    monkeypatch: pytest.MonkeyPatch, decide: Callable[[api.Event], list[api.Action]]
) -> AsyncIterator[tuple[Dispatcher, Node, Node, list[Response]]]:
    """A core before two servers, whose module is the test's."""
    monkeypatch.setattr(DecisionEngine, "handle", lambda self, now, event: decide(event))
    async with node() as first, node() as second:
        second.loop = second.link._loop = first.loop
        made = Dispatcher(
            settings(has_counter=False, classes=(KEYED_CLASS, NOT_IDEMPOTENT_CLASS)),
            1,
            first.loop,
            lambda: NOW_MS,
            lambda number: {1: first, 2: second}[number].link,
            NoCounter(),
        )
        answers: list[Response] = []
        made.submit(
            Request("r1", "load-send", "free", 5, 2000.0, 1.0, 1, idempotency_key="k"), answers.append
        )
        first.loop.run()
        yield made, first, second, answers


def test_the_attempt_given_up_has_ended_before_the_next_is_written(monkeypatch: pytest.MonkeyPatch) -> None:
    """A time-out of its own ended an attempt outside the core's turn: where the next server's link had
    mail already, the next attempt was written before the first one's connection was closed."""
    sends = {1: api.SendAttempt("1", 1, 500.0), 2: api.SendAttempt("1", 2, 500.0)}

    def decide(event: api.Event) -> list[api.Action]:
        match event:
            case api.Request():
                return [sends[1]]
            case api.AttemptOutcome(verdict=Verdict.TIMEOUT, attempt=0):
                return [sends[2]]
        return []

    async def test() -> None:
        async with core(monkeypatch, decide) as (made, first, second, _):
            await read(await first.accept(), b"r1")
            await second.idle()
            ended: list[bool] = []
            write = second.link._send

            def written(*args: Any) -> None:
                ended.append(
                    not first.link._connections or all(one.stream.closed() for one in first.link._connections)
                )
                write(*args)

            second.link._send = written  # type: ignore[method-assign, assignment]
            scheduled = asyncio.get_running_loop()._scheduled  # type: ignore[attr-defined]
            [timer] = [one for one in scheduled if Verdict.TIMEOUT in (one._args or ())]
            made.post(lambda: None)  # both have mail, and the event loop comes to the timer first
            second.link.post(lambda: None)
            timer._callback(*timer._args)
            await until(lambda: ended)
            assert ended == [True]

    play(test)


@pytest.mark.parametrize("many", [2, 20])
def test_a_refusing_server_is_not_dialled_again_and_all_pending_attempts_fail(many: int) -> None:
    """Each connection that was refused while another was on its way was dialled anew: 1,200 dials in 250
    ms."""

    async def test() -> None:
        async with node() as made:
            made.listener.close()
            dials: list[object] = []
            dial = connecting.dial

            def counted(*args: Any) -> Any:
                dials.append(args)
                return dial(*args)

            with pytest.MonkeyPatch.context() as patch:
                patch.setattr(upstream_connection, "dial", counted)
                for n in range(many):
                    made.start(f"r{n}")
                await until(lambda: len(made.ends) == many)
            assert {end[1] for end in made.ends} == {Verdict.CONNECT_FAILED}
            assert len(dials) <= upstream_connection.MAX_CONNECTING and not made.link._connecting_count

    play(test)


def test_the_next_connection_is_opened_when_one_is_established() -> None:
    """Only eight may be on their way at once; behind these none was, and the ninth attempt waited for a
    first answer."""

    async def test() -> None:
        async with node() as made:
            made.link._max_connections = 20
            for n in range(20):
                made.start(f"r{n}")
            for _ in range(20):
                await made.accept()
            await until(lambda: not made.link._pending)
            assert len(made.link._connections) == 20 and not made.ends

    play(test)
