"""Connections to the quota counter that are half open, long idle, or closed at an unfavourable moment.

Each unit is counted once, as the counter's totals show: a call is repeated only if it was certainly not counted.
Each call gets exactly one verdict, and the client keeps no call after that.
"""

from __future__ import annotations

import asyncio
import errno
import os
import socket
from collections import Counter as Tally

import pytest

from badgeryoke.decisions.interface import CounterReply, Verdict
from badgeryoke.gateway import connecting
from badgeryoke.gateway.connecting import new_socket
from badgeryoke.gateway.quota_counter.client import (
    INITIAL_BACKOFF_S,
    MAX_BACKOFF_S,
    MAX_PENDING_CALLS,
    MAX_SILENT_TIMEOUTS,
)
from tests.support.counter import CounterCalls, StuckCounter, close_connections, holds_no_call
from tests.support.running import run_test, until
from tests.support.stand_ins import HOST, NOW_MS, Counter


def test_idle_connections_closed_by_the_counter_are_reopened_without_backoff() -> None:
    """Regression: each idle connection that the counter closed, without any call on it, counted as a failure and
    increased the backoff, up to a second in which calls failed."""

    async def test() -> None:
        async with Counter() as counter:
            calls = CounterCalls(counter.port)
            await calls.connected()
            for n in range(2, 6):
                calls.now_ms += 10_000.0
                await close_connections(counter)
                await until(lambda n=n: counter.connections == n and calls.client._active)  # type: ignore[misc]
            calls.now_ms += 10_000.0
            await close_connections(counter)
            await until(lambda: calls.client._active is None)
            assert (await calls.call(7)).verdict is Verdict.OK
            calls.client.close()

    run_test(test)


def test_a_counter_that_closes_each_new_connection_is_reconnected_with_backoff() -> None:
    async def test() -> None:
        delays_s: list[float] = []
        async with Counter() as counter:
            calls = CounterCalls(counter.port)
            await calls.connected()
            calls.client._schedule_connect = delays_s.append  # type: ignore[assignment, method-assign]
            await close_connections(counter)  # a connection that has answered calls
            await until(lambda: counter.connections == 2 and calls.client._active)
            await close_connections(counter)
            await until(lambda: delays_s)
            assert counter.connections == 2 and delays_s == [INITIAL_BACKOFF_S]
            calls.client.close()

    run_test(test)


@pytest.mark.parametrize("reset", [False, True], ids=["close", "reset"])
def test_a_call_made_after_the_counter_closed_uses_the_next_connection(reset: bool) -> None:
    """Regression: the call was written to a closed connection and ended as one that may have been counted, so that
    its units were never reported."""

    async def test() -> None:
        async with Counter() as counter:
            calls = CounterCalls(counter.port)
            await calls.connected()
            await close_connections(counter, reset)
            calls.client.add(7, 3.0, 1000.0, calls.replies.put_nowait)
            calls.client._loop.run()  # before the event loop has reported the close
            reply = await calls.replies.get()
            assert (reply.verdict, reply.total, counter.totals["7"]) == (Verdict.OK, 3.0, 3.0)
            assert counter.connections == 2 and holds_no_call(calls.client)
            calls.client.close()

    run_test(test)


@pytest.mark.parametrize("was_read", [False, True], ids=["unread", "read"])
@pytest.mark.parametrize("unsolicited", [b"$1\r\n", b"$1\r\n9\r\n"], ids=["half a reply", "a reply"])
def test_unsolicited_bytes_are_not_part_of_the_next_reply(unsolicited: bytes, was_read: bool) -> None:
    """Regression: half a reply on an idle connection was kept until the next call, which was counted but ended as one
    that may have been counted.  A complete reply that was still unread was used as the call's total."""

    async def test() -> None:
        async with Counter() as counter:
            calls = CounterCalls(counter.port)
            await calls.connected()
            os.write(counter.writers[0].get_extra_info("socket").fileno(), unsolicited)
            if was_read:
                await until(lambda: counter.connections == 2 and calls.client._active)
            calls.client.add(7, 3.0, 1000.0, calls.replies.put_nowait)
            calls.client._loop.run()
            reply = await calls.replies.get()
            assert (reply.verdict, reply.total, counter.totals["7"]) == (Verdict.OK, 3.0, 3.0)
            assert counter.connections == 2 and holds_no_call(calls.client)
            calls.client.close()

    run_test(test)


def test_without_a_descriptor_calls_fail_at_once_and_connecting_is_retried_once_a_second(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    delays_s: list[float] = []

    def fail_without_descriptors(address: tuple[str, int]) -> socket.socket:
        raise OSError(errno.EMFILE, "too many open files")

    async def test() -> None:
        async with Counter() as counter:
            calls = CounterCalls(counter.port)
            await calls.connected()
            schedule_connect = calls.client._schedule_connect
            calls.client._schedule_connect = delays_s.append  # type: ignore[assignment, method-assign]
            with monkeypatch.context() as patch:
                patch.setattr(connecting, "new_socket", fail_without_descriptors)
                await close_connections(counter, True)
                await until(lambda: delays_s)
                assert (await calls.call(7)).verdict is Verdict.CONNECT_FAILED
                assert (
                    delays_s == [MAX_BACKOFF_S]
                    and holds_no_call(calls.client)
                    and not calls.client._connections
                )
            schedule_connect(0.0)
            await calls.connected()
            calls.client.close()

    run_test(test)


def test_calls_of_a_partly_written_batch_may_have_been_counted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Regression: a batch written in part was treated as unsent: a reply to its first call ended the connection, and
    units that the counter had counted were reported again."""

    def small_socket(address: tuple[str, int]) -> socket.socket:
        client_socket = new_socket(address)
        client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
        return client_socket

    monkeypatch.setattr(connecting, "new_socket", small_socket)

    async def test() -> None:
        async with StuckCounter() as counter:
            counter.server.sockets[0].setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
            calls = CounterCalls(counter.port)
            await until(lambda: calls.client._active)
            for n in range(MAX_PENDING_CALLS):
                calls.client.add(10**17 + n, 1.0, 1000.0, calls.replies.put_nowait)
            calls.client._loop.run()
            connection = calls.client._active
            assert connection is not None and connection.stream.writing()
            first = await calls.replies.get()
            assert (first.verdict, first.total) == (Verdict.OK, 1.0)
            await close_connections(counter)
            rest = [await calls.replies.get() for _ in range(MAX_PENDING_CALLS - 1)]
            assert {reply.verdict for reply in rest} == {Verdict.TIMEOUT}
            calls.client.close()

    run_test(test)


def test_a_reply_interrupted_by_the_timeout_of_its_call_is_read_to_its_end() -> None:
    """Regression: a timeout between two pieces of a call's reply closed the connection and failed all later calls."""

    async def test() -> None:
        async with Counter() as counter:
            calls = CounterCalls(counter.port)
            await calls.connected()
            counter.may_answer.clear()
            calls.client.add(7, 3.0, 1000.0, calls.replies.put_nowait)
            await until(lambda: counter.totals["7"])
            calls.now_ms += 45.0
            calls.client.add(8, 5.0, 1000.0, calls.replies.put_nowait)
            counter.writers[0].write(b"$1\r\n")  # the first piece
            connection = calls.client._active
            assert connection is not None
            await until(lambda: not connection.parser.is_idle)
            calls.now_ms += 6.0
            assert (await calls.replies.get()).verdict is Verdict.TIMEOUT  # the call for 7
            counter.answer = lambda total: total + b"\r\n" if total == b"3" else b"$1\r\n%b\r\n" % total
            counter.may_answer.set()
            reply = await calls.replies.get()
            assert (reply.name, reply.total, counter.connections) == (8, 5.0, 1)
            calls.client.close()

    run_test(test)


@pytest.mark.parametrize("loss", ["frozen", "replaced", "reset"])
def test_calls_in_flight_on_a_lost_connection_end_once_each_and_are_not_kept(loss: str) -> None:
    """A frozen counter reads calls and sends no replies; a replaced one has a new address, to which the client
    switches; the third case is a reset connection."""

    async def test() -> None:
        async with Counter() as counter, Counter() as new_counter:
            calls = CounterCalls(counter.port)
            await calls.connected()
            counter.may_answer.clear()
            replies_by_name: Tally[int] = Tally()
            verdicts: Tally[Verdict] = Tally()

            def record(reply: CounterReply) -> None:
                replies_by_name[reply.name] += 1
                verdicts[reply.verdict] += 1

            for n in range(MAX_PENDING_CALLS + 40):
                calls.client.add(100 + n, 1.0, 1000.0, record)
            await until(lambda: counter.totals["100"] and verdicts[Verdict.QUEUE_FULL] == 40)
            if loss == "reset":
                await close_connections(counter, True)
            elif loss == "replaced":
                calls.client.switch_address((HOST, new_counter.port))
                await until(lambda: new_counter.connections)
            for _ in range(int(MAX_SILENT_TIMEOUTS) + 3):
                calls.now_ms += 50.0
                await asyncio.sleep(0.002)
            calls.now_ms += 50.0 * MAX_SILENT_TIMEOUTS
            await until(
                lambda: holds_no_call(calls.client) and counter.connections + new_counter.connections == 2
            )
            assert set(replies_by_name.values()) == {1} and len(replies_by_name) == MAX_PENDING_CALLS + 40
            assert verdicts == {Verdict.QUEUE_FULL: 40, Verdict.TIMEOUT: MAX_PENDING_CALLS}
            counter.may_answer.set()
            await calls.connected()
            calls.client.close()

    run_test(test)


def test_a_counter_that_restarts_without_its_totals_gets_no_call_twice() -> None:
    """The counter stops and comes back at the same address; the calls in between fail as never counted."""

    async def test() -> None:
        counter = Counter()
        async with counter:
            calls = CounterCalls(counter.port)
            await calls.connected()
        await until(lambda: calls.client._active is None and calls.client._connecting is None)
        for n in range(20):
            assert (await calls.call(200 + n)).verdict is Verdict.CONNECT_FAILED
        counter.totals.clear()
        async with counter:
            while (await calls.call(7, 2.0)).verdict is not Verdict.OK:
                await asyncio.sleep(0)
            assert counter.totals == {"7": 2.0} and holds_no_call(calls.client)
            calls.client.close()

    run_test(test)


def test_an_idle_client_sends_nothing() -> None:
    """After a long idle time, neither a call nor a second connection is made until the next call."""

    async def test() -> None:
        async with Counter() as counter:
            calls = CounterCalls(counter.port)
            await calls.connected()
            calls_before = counter.calls
            calls.now_ms = NOW_MS + 60_000.0
            for _ in range(50):
                await asyncio.sleep(0)
            assert (counter.calls, counter.connections) == (calls_before, 1) and holds_no_call(calls.client)
            assert (await calls.call(7)).verdict is Verdict.OK
            calls.client.close()

    run_test(test)
