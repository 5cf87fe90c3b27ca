"""Retries: whether an attempt may have run when its connection ends, its write deadline expires, or its response
arrives at an unfavourable moment.

The backends are plain sockets that the test itself reads and writes, so that the order of events is the same in
each run.
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
from tests.support.running import run_test, send_commands, until
from tests.support.stand_ins import HOST, NOW_MS, Counter, connect, one_gateway, query, settings

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
GOOD_RESPONSE = b"*1\r\n$4\r\ngood\r\n"
LONG_BODY = b"x" * 60_000


class ManualBackend:
    """A backend and the upstream that connects to it; the test accepts, reads and writes itself."""

    def __init__(self) -> None:
        self.listener = socket.create_server((HOST, 0))
        self.listener.setblocking(False)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        self.now_ms = NOW_MS
        self.ends: list[tuple[str, Verdict, bytes]] = []
        self.loop = ActorScheduler(asyncio.get_running_loop())
        self.upstream = RespUpstream(
            (HOST, self.listener.getsockname()[1]),
            self.loop,
            lambda: self.now_ms,
            report_names=(),
            connect_ms=5000.0,
            idle_ms=60_000.0,
            max_connections=8,
        )
        self.accepted: list[socket.socket] = []

    def start(self, request_id: str, body: bytes | None = None, write_by_ms: float = float("inf")) -> Attempt:
        request = Request(request_id, "once", "plain", 7, 60_000.0, 1.0, 2, idempotent=False, body=body)
        attempt = Attempt(
            request, 0, 1, self.now_ms, self.now_ms + 60_000.0, self._ended, write_by_ms=write_by_ms
        )
        self.upstream.start(attempt)
        self.loop.run()
        return attempt

    def _ended(self, attempt: Attempt, end: AttemptEnd) -> None:
        self.ends.append((attempt.request.id, end.verdict, end.value))

    async def accept(self) -> socket.socket:
        connection_socket, _ = await asyncio.get_running_loop().sock_accept(self.listener)
        connection_socket.setblocking(False)
        self.accepted.append(connection_socket)
        return connection_socket

    async def accepts_no_connection(self) -> bool:
        """Whether no connection has been opened after 20 event loop iterations."""
        for _ in range(20):
            await asyncio.sleep(0)
        try:
            self.accepted.append(self.listener.accept()[0])
        except BlockingIOError:
            return True
        return False

    async def open_idle_connection(self) -> socket.socket:
        """Open a connection that is idle and past its reuse delay."""
        self.start("first")
        connection_socket = await self.accept()
        await read_until(connection_socket, b"first")
        connection_socket.send(GOOD_RESPONSE)
        await until(lambda: self.upstream._idle)
        self.upstream._idle[0].last_response_s = 0.0
        self.ends.clear()
        return connection_socket

    async def start_partly_sent(self, **options: Any) -> tuple[Attempt, socket.socket]:
        """Start an attempt whose request has been sent only in part."""
        attempt = self.start("long", LONG_BODY, **options)
        connection_socket = await self.accept()
        await until(lambda: attempt.write_started)
        assert next(iter(self.upstream._connections)).stream.writing()
        return attempt, connection_socket


@contextlib.asynccontextmanager
async def manual_backend() -> AsyncIterator[ManualBackend]:
    backend = ManualBackend()
    try:
        yield backend
    finally:
        for open_socket in (backend.listener, *backend.accepted):
            open_socket.close()
        for connection in list(backend.upstream._connections):
            connection.stream.close()


@pytest.fixture
def small_send_buffers(monkeypatch: pytest.MonkeyPatch) -> None:
    """Give upstream sockets small send buffers, so that a long request is sent only in part."""

    def small_socket(address: tuple[str, int]) -> socket.socket:
        upstream_socket = new_socket(address)
        upstream_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
        return upstream_socket

    monkeypatch.setattr(connecting, "new_socket", small_socket)


async def read_until(connection_socket: socket.socket, marker: bytes) -> bytes:
    """Return the bytes received on a connection until they contain the marker, or until its end."""
    received = b""
    while marker not in received:
        try:
            data = connection_socket.recv(65_536)
        except BlockingIOError:
            await asyncio.sleep(0)
            continue
        except ConnectionError:
            break
        if not data:
            break
        received += data
    return received


def reset_connection(connection_socket: socket.socket) -> None:
    connection_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    connection_socket.close()


# Writing the request ----------------------------------------------------------------------------------


def test_a_reset_before_the_first_byte_is_written_proves_that_it_never_ran(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Regression: a reset between the check of the connection and the write made the write fail, but the request
    counted as written completely: a non-idempotent request failed that could have been retried."""

    async def test() -> None:
        async with manual_backend() as backend:
            connection_socket = await backend.open_idle_connection()
            encode = upstream_connection.encode_request

            def reset_and_encode(*args: Any) -> bytes:
                reset_connection(connection_socket)
                return encode(*args)

            monkeypatch.setattr(upstream_connection, "encode_request", reset_and_encode)
            backend.start("r1")
            await until(lambda: backend.ends)
            assert backend.ends == [("r1", Verdict.CONNECT_FAILED, b"")]

    run_test(test)


@pytest.mark.usefixtures("small_send_buffers")
def test_a_reset_before_the_last_byte_is_sent_proves_that_it_never_ran_and_a_later_one_does_not() -> None:
    async def test() -> None:
        async with manual_backend() as backend:
            _, connection_socket = await backend.start_partly_sent()
            reset_connection(connection_socket)
            await until(lambda: backend.ends)
            _, connection_socket = await backend.start_partly_sent()
            await read_until(connection_socket, LONG_BODY[-1000:] + b"\r\n")
            reset_connection(connection_socket)
            await until(lambda: len(backend.ends) == 2)
            assert [end[1] for end in backend.ends] == [Verdict.CONNECT_FAILED, Verdict.RESET]

    run_test(test)


@pytest.mark.usefixtures("small_send_buffers")
@pytest.mark.parametrize("answer", [b"-BUSY too many connections\r\n", b"-ERR failed\r\n", GOOD_RESPONSE])
def test_a_request_answered_before_it_is_sent_completely_never_arrives_completely(answer: bytes) -> None:
    """Regression: a backend that rejected a request early still received the rest of it, since the connection was
    reused: the request ran there while another attempt was in flight."""

    async def test() -> None:
        async with manual_backend() as backend:
            _, connection_socket = await backend.start_partly_sent()
            connection_socket.send(answer)
            await until(lambda: backend.ends)
            backend.start("next")
            received = await read_until(connection_socket, LONG_BODY[-1000:] + b"\r\n")
            assert len(received) < len(LONG_BODY) and [end[1] for end in backend.ends] == [
                Verdict.CONNECT_FAILED
            ]

    run_test(test)


@pytest.mark.usefixtures("small_send_buffers")
def test_a_stalled_request_is_not_sent_completely_after_its_write_deadline() -> None:
    """Regression: the write deadline was checked only before the first byte; the last one was sent whenever the
    backend went on reading."""

    async def test() -> None:
        async with manual_backend() as backend:
            _, connection_socket = await backend.start_partly_sent(write_by_ms=NOW_MS + 20.0)
            await until(lambda: backend.ends)
            received = await read_until(connection_socket, LONG_BODY[-1000:] + b"\r\n")
            assert len(received) < len(LONG_BODY) and [end[1] for end in backend.ends] == [
                Verdict.CONNECT_FAILED
            ]

    run_test(test)


@pytest.mark.usefixtures("small_send_buffers")
def test_a_cancelled_request_is_not_sent_completely() -> None:
    async def test() -> None:
        async with manual_backend() as backend:
            attempt, connection_socket = await backend.start_partly_sent()
            attempt.abort(Verdict.CANCELLED, final=True)
            backend.loop.run()
            assert len(await read_until(connection_socket, LONG_BODY[-1000:] + b"\r\n")) < len(LONG_BODY)

    run_test(test)


@pytest.mark.parametrize("pending_in", ["mailbox", "connecting", "counter"])
def test_a_pending_request_is_not_forwarded_once_its_client_has_disconnected(pending_in: str) -> None:
    async def during_counter_call() -> None:
        async with Counter() as counter, one_gateway(counter=counter.port) as (app, backend, _):
            _, writer = await connect(app.lifecycle.address)
            counter.may_answer.clear()
            writer.write(query("r1"))
            await until(lambda: counter.units)
            writer.transport.abort()
            await until(
                lambda: not app.parts.dispatcher.unanswered and not app.parts.resp_listener.connections
            )
            counter.may_answer.set()
            assert await send_commands(app, query("r2")) == [b"value"]
            assert [command[2] for command in backend.commands] == [b"r2"]

    async def while_connecting() -> None:
        async with manual_backend() as backend:
            connection_opened, connected = backend.upstream.connection_opened, asyncio.Event()

            def delayed_connection_opened(connection: Any) -> None:
                asyncio.ensure_future(connected.wait()).add_done_callback(
                    lambda _: backend.upstream.deliver(connection_opened, connection)
                )

            backend.upstream.connection_opened = delayed_connection_opened  # type: ignore[method-assign]
            attempt = backend.start("r1")
            connection_socket = await backend.accept()
            attempt.abort(Verdict.CANCELLED, final=True)
            connected.set()
            await until(lambda: backend.upstream._idle)
            backend.start("r2")
            assert b"r1" not in await read_until(connection_socket, b"r2")

    async def in_mailbox() -> None:
        async with manual_backend() as backend:
            connection_socket = await backend.open_idle_connection()
            request = Request("r1", "once", "plain", 7, 60_000.0, 1.0, 2, idempotent=False)
            attempt = Attempt(request, 0, 1, backend.now_ms, backend.now_ms + 60_000.0, backend._ended)
            backend.upstream.start(attempt)
            attempt.abort(Verdict.CANCELLED, final=True)
            backend.start("r2")
            assert b"r1" not in await read_until(connection_socket, b"r2")

    run_test(
        {"mailbox": in_mailbox, "connecting": while_connecting, "counter": during_counter_call}[pending_in]
    )


def test_a_connection_is_not_used_when_its_server_may_be_closing_it() -> None:
    """Regression: only the sweep checked the idle time, once a second: with a short idle timeout or a delayed event
    loop, a request was written to a connection that was being closed, and failed as one that may have run."""

    async def test() -> None:
        async with manual_backend() as backend:
            old_socket = await backend.open_idle_connection()
            backend.now_ms += 30_001.0  # more than half of the idle timeout
            backend.start("r2")
            fresh_socket = await backend.accept()
            assert (
                b"r2" in await read_until(fresh_socket, b"r2") and await read_until(old_socket, b"r2") == b""
            )

    run_test(test)


def test_no_connection_is_opened_for_a_disconnected_client() -> None:
    """Regression: a client disconnected between the decision and the upstream's turn.  A connection was dialled
    needlessly, or an idle one counted as just used and was kept beyond the servers' idle timeout."""

    async def test() -> None:
        async with manual_backend() as backend:
            attempt = Attempt(
                Request("r1", "once", "plain", 7, 60_000.0, 1.0, 2, idempotent=False),
                0,
                1,
                backend.now_ms,
                backend.now_ms + 60_000.0,
                backend._ended,
            )
            backend.upstream.start(attempt)
            attempt.abort(Verdict.CANCELLED, final=True)
            backend.loop.run()
            assert not backend.upstream._connections and not backend.upstream._pending
            await backend.open_idle_connection()
            used_at = backend.upstream._idle[0].last_used_ms
            backend.now_ms += 1000.0
            attempt = Attempt(
                attempt.request, 1, 1, backend.now_ms, backend.now_ms + 60_000.0, backend._ended
            )
            backend.upstream.start(attempt)
            attempt.abort(Verdict.CANCELLED, final=True)
            backend.loop.run()
            assert backend.upstream._idle[0].last_used_ms == used_at

    run_test(test)


def test_1500_attempts_that_wait_too_long_for_a_connection_end_once_each() -> None:
    """Regression: each attempt was ended by a nested call of the one before; some hundreds of calls deep, the rest
    stayed pending."""

    async def test() -> None:
        async with manual_backend() as backend:
            backend.upstream._max_connections = 1
            for n in range(1500):
                backend.start(f"r{n}")
            backend.now_ms += 60_000.0
            await until(lambda: len(backend.ends) == 1500)
            assert {end[1] for end in backend.ends} == {Verdict.NOT_SENT} and not backend.upstream._pending

    run_test(test)


# Responses --------------------------------------------------------------------------------------------


def test_a_late_duplicate_response_is_not_taken_for_another_attempt(monkeypatch: pytest.MonkeyPatch) -> None:
    """Regression: if no other connection was idle, one was reused immediately after its response, and a duplicate
    response some milliseconds later was matched with the next request."""
    monkeypatch.setattr(upstream_connection, "REUSE_DELAY_S", 60.0, raising=False)

    async def test() -> None:
        async with manual_backend() as backend:
            backend.start("r1")
            connection_socket = await backend.accept()
            await read_until(connection_socket, b"r1")
            connection_socket.send(GOOD_RESPONSE)
            await until(lambda: backend.ends)
            backend.start("r2")  # waits for the reuse delay; no connection is opened for it yet
            assert await backend.accepts_no_connection()
            connection_socket.send(GOOD_RESPONSE)
            other_socket = await backend.accept()
            assert b"r2" in await read_until(other_socket, b"r2")
            other_socket.send(b"*1\r\n$2\r\nr2\r\n")
            await until(lambda: len(backend.ends) == 2)
            assert backend.ends == [("r1", Verdict.OK, b"good"), ("r2", Verdict.OK, b"r2")]

    run_test(test)


def test_an_attempt_waits_for_the_reuse_delay_of_an_idle_connection_and_opens_none() -> None:
    async def test() -> None:
        async with manual_backend() as backend:
            connection_socket = await backend.open_idle_connection()
            backend.upstream._idle[0].last_response_s = backend.loop.time()
            backend.start("r2")
            assert (
                b"r2" in await read_until(connection_socket, b"r2") and await backend.accepts_no_connection()
            )

    run_test(test)


@pytest.mark.parametrize("greeting", [b"", b"-BUSY too many connections\r\n"])
def test_a_server_that_closes_each_connection_at_once_is_not_dialled_repeatedly(greeting: bytes) -> None:
    """Regression: if the connection had ended before its first use, another was dialled at once, and so on, for as
    long as the attempt waited for one."""

    async def test() -> None:
        async with manual_backend() as backend:
            connection_opened = backend.upstream.connection_opened

            def delayed_connection_opened(connection: Any) -> None:  # as on a delayed event loop
                while True:
                    try:
                        connection_socket = backend.listener.accept()[0]
                        break
                    except BlockingIOError:
                        time.sleep(0.001)
                backend.accepted.append(connection_socket)
                if greeting:
                    connection_socket.send(greeting)
                else:
                    connection_socket.close()
                connection_opened(connection)

            backend.upstream.connection_opened = delayed_connection_opened  # type: ignore[method-assign]
            backend.start("r1")
            await until(lambda: backend.ends or len(backend.accepted) > 20)
            assert [end[1] for end in backend.ends] == [Verdict.CONNECT_FAILED] and len(backend.accepted) == 1

    run_test(test)


def test_an_idle_connection_is_used_when_the_lease_is_held_again() -> None:
    """Regression: attempts that waited for an idle connection while no lease was held were not dispatched when the
    lease was granted again."""

    async def test() -> None:
        async with manual_backend() as backend:
            connection_socket = await backend.open_idle_connection()
            lease = backend.upstream.lease = SimpleNamespace(
                is_held=lambda: False, may_open=lambda: False, surplus_count=0
            )  # type: ignore
            backend.start("r2")
            lease.is_held = lambda: True
            backend.upstream.capacity_available()
            assert (
                b"r2" in await read_until(connection_socket, b"r2") and await backend.accepts_no_connection()
            )

    run_test(test)


def test_without_descriptors_pending_attempts_fail_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    def fail_without_descriptors(address: tuple[str, int]) -> socket.socket:
        raise OSError(errno.EMFILE, "too many open files")

    async def test() -> None:
        async with manual_backend() as backend:
            with monkeypatch.context() as patch:
                patch.setattr(connecting, "new_socket", fail_without_descriptors)
                backend.start("r1")
                assert [end[1] for end in backend.ends] == [
                    Verdict.CONNECT_FAILED
                ] and not backend.upstream._connections
            backend.start("r2")
            assert b"r2" in await read_until(await backend.accept(), b"r2")

    run_test(test)


def test_a_response_that_arrived_in_time_counts_on_a_delayed_event_loop() -> None:
    """Regression: the silence timer ran before the rest of the response was read from the socket, and the response
    was discarded."""

    async def test() -> None:
        async with manual_backend() as backend:
            backend.start("r1")
            connection_socket = await backend.accept()
            await read_until(connection_socket, b"r1")
            connection_socket.send(GOOD_RESPONSE[:6])
            await until(
                lambda: any(connection.response_started for connection in backend.upstream._connections)
            )
            connection_socket.send(GOOD_RESPONSE[6:])
            backend.now_ms += RESPONSE_SILENCE_TIMEOUT_MS
            time.sleep(RESPONSE_SILENCE_TIMEOUT_MS / 1000.0)
            await until(lambda: backend.ends)
            assert backend.ends == [("r1", Verdict.OK, b"good")]

    run_test(test)


@pytest.mark.parametrize("flood", [b"+OK\r\n", b"*1\r\n", b"$65536\r\n", b"-", b"*1\r\n$4000000\r\n"])
def test_a_flood_instead_of_a_response_is_an_error_and_closes_the_connection(flood: bytes) -> None:
    """What is read is bounded: the connection is closed long before the whole flood has been received."""

    async def test() -> None:
        async with manual_backend() as backend, manual_backend() as healthy_backend:
            backend.start("r1")
            connection_socket = await backend.accept()
            await read_until(connection_socket, b"r1")
            sent, data = 0, memoryview(flood * (1_000_000 // len(flood)))
            while not backend.ends or sent < 64:
                with contextlib.suppress(BlockingIOError):
                    try:
                        sent += connection_socket.send(data[:65_536])
                    except ConnectionError:
                        break
                await asyncio.sleep(0)
            healthy_backend.start("r2")
            healthy_socket = await healthy_backend.accept()
            await read_until(healthy_socket, b"r2")
            healthy_socket.send(GOOD_RESPONSE)
            await until(lambda: healthy_backend.ends and backend.ends)
            assert [end[1] for end in backend.ends] == [Verdict.ERROR] and healthy_backend.ends[0][
                2
            ] == b"good"
            await until(lambda: not backend.upstream._connections)
            assert sent < 2_000_000

    run_test(test)


# One attempt at a time --------------------------------------------------------------------------------


@contextlib.asynccontextmanager
async def dispatcher_with_two_backends(
    monkeypatch: pytest.MonkeyPatch, decide: Callable[[api.Event], list[api.Action]]
) -> AsyncIterator[tuple[Dispatcher, ManualBackend, ManualBackend, list[Response]]]:
    """Yield a dispatcher with two backends, whose decision engine is replaced by `decide`."""
    monkeypatch.setattr(DecisionEngine, "handle", lambda self, now, event: decide(event))
    async with manual_backend() as first, manual_backend() as second:
        second.loop = second.upstream._loop = first.loop
        dispatcher = Dispatcher(
            settings(has_counter=False, classes=(KEYED_CLASS, NOT_IDEMPOTENT_CLASS)),
            1,
            first.loop,
            lambda: NOW_MS,
            lambda number: {1: first, 2: second}[number].upstream,
            NoCounter(),
        )
        answers: list[Response] = []
        dispatcher.submit(
            Request("r1", "load-send", "free", 5, 2000.0, 1.0, 1, idempotency_key="k"), answers.append
        )
        first.loop.run()
        yield dispatcher, first, second, answers


def test_an_abandoned_attempt_has_ended_before_the_next_is_written(monkeypatch: pytest.MonkeyPatch) -> None:
    """Regression: a timer ended an attempt outside the dispatcher's turn.  If the next upstream already had messages
    in its mailbox, the next attempt was written before the first one's connection was closed."""
    sends = {1: api.SendAttempt("1", 1, 500.0), 2: api.SendAttempt("1", 2, 500.0)}

    def decide(event: api.Event) -> list[api.Action]:
        match event:
            case api.Request():
                return [sends[1]]
            case api.AttemptOutcome(verdict=Verdict.TIMEOUT, attempt=0):
                return [sends[2]]
        return []

    async def test() -> None:
        async with dispatcher_with_two_backends(monkeypatch, decide) as (dispatcher, first, second, _):
            await read_until(await first.accept(), b"r1")
            await second.open_idle_connection()
            first_closed: list[bool] = []
            send = second.upstream._send

            def record_and_send(*args: Any) -> None:
                first_closed.append(
                    not first.upstream._connections
                    or all(connection.stream.closed() for connection in first.upstream._connections)
                )
                send(*args)

            second.upstream._send = record_and_send  # type: ignore[method-assign, assignment]
            scheduled = asyncio.get_running_loop()._scheduled  # type: ignore[attr-defined]
            [timer] = [handle for handle in scheduled if Verdict.TIMEOUT in (handle._args or ())]
            dispatcher.post(lambda: None)  # both mailboxes have a message, and the timer runs first
            second.upstream.post(lambda: None)
            timer._callback(*timer._args)
            await until(lambda: first_closed)
            assert first_closed == [True]

    run_test(test)


@pytest.mark.parametrize("attempt_count", [2, 20])
def test_a_refusing_server_is_not_dialled_again_and_all_pending_attempts_fail(attempt_count: int) -> None:
    """Regression: each connection refused while another was being opened was dialled again: 1,200 dials in
    250 ms."""

    async def test() -> None:
        async with manual_backend() as backend:
            backend.listener.close()
            dials: list[object] = []
            dial = connecting.dial

            def counted_dial(*args: Any) -> Any:
                dials.append(args)
                return dial(*args)

            with pytest.MonkeyPatch.context() as patch:
                patch.setattr(upstream_connection, "dial", counted_dial)
                for n in range(attempt_count):
                    backend.start(f"r{n}")
                await until(lambda: len(backend.ends) == attempt_count)
            assert {end[1] for end in backend.ends} == {Verdict.CONNECT_FAILED}
            assert len(dials) <= upstream_connection.MAX_CONNECTING and not backend.upstream._connecting_count

    run_test(test)


def test_the_next_connection_is_opened_when_one_is_established() -> None:
    """Regression: only eight connections may be opened concurrently, and none was opened after them, so that the
    ninth attempt waited for the first response."""

    async def test() -> None:
        async with manual_backend() as backend:
            backend.upstream._max_connections = 20
            for n in range(20):
                backend.start(f"r{n}")
            for _ in range(20):
                await backend.accept()
            await until(lambda: not backend.upstream._pending)
            assert len(backend.upstream._connections) == 20 and not backend.ends

    run_test(test)
