"""Connections to the counter that are half open, long idle, or closed at the worst moment.

What counts is read at the stand-in: each unit is told once, told again only where it was surely not added,
every call has one verdict, and nothing is left behind in the link.
"""

from __future__ import annotations

import asyncio
import errno
import os
import socket
import struct
from collections import Counter as Tally

import pytest

from badgeryoke.decisions.interface import CounterReply, Verdict
from badgeryoke.gateway import actor
from badgeryoke.gateway.actor import new_socket
from badgeryoke.gateway.quota_counter.client import (
    INITIAL_BACKOFF_S,
    MAX_BACKOFF_S,
    MAX_PENDING_CALLS,
    MAX_SILENT_TIMEOUTS,
    QuotaCounterClient,
)
from tests.gateway.resp.test_client_connection import play
from tests.gateway.test_counter_and_discovery import Calls
from tests.gateway.test_service import until
from tests.support.stand_ins import HOST, NOW_MS, Counter, Standin, read_reply

LINGER_0 = struct.pack("ii", 1, 0)


def empty(link: QuotaCounterClient) -> bool:
    """Whether the link holds nothing but its connection."""
    pending = [call for call in link._pending if not call.ended]
    return (
        not (link._unsent or pending or any(one.in_flight for one in link._connections))
        and len(link._connections) <= 1
    )


async def close(counter: Standin, reset: bool = False) -> None:
    """The counter ends its connections; the link's side has it in the kernel, and has not looked yet."""
    for writer in counter.writers:
        if reset:
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_0)
        writer.transport.abort()
    counter.writers.clear()
    await asyncio.sleep(0)


def test_a_quiet_link_whose_idle_connections_are_closed_is_up_when_it_is_needed() -> None:
    """A connection closed for being idle, with no call ever on it, counted as one of no use: each made the
    wait for the next longer, up to a second of calls that failed."""

    async def test() -> None:
        async with Counter() as counter:
            calls = Calls(counter.port)
            await calls.up()
            for n in range(2, 6):
                calls.now += 10_000.0
                await close(counter)
                await until(lambda n=n: counter.connections == n and calls.link._active)  # type: ignore[misc]
            calls.now += 10_000.0
            await close(counter)
            await until(lambda: calls.link._active is None)
            assert (await calls.call(7)).verdict is Verdict.OK
            calls.link.close()

    play(test)


def test_a_counter_that_takes_connections_and_closes_them_gets_no_burst_of_them() -> None:
    async def test() -> None:
        waits: list[float] = []
        async with Counter() as counter:
            calls = Calls(counter.port)
            await calls.up()
            calls.link._schedule_connect = waits.append  # type: ignore[assignment, method-assign]
            await close(counter)  # it had been of use
            await until(lambda: counter.connections == 2 and calls.link._active)
            await close(counter)
            await until(lambda: waits)
            assert counter.connections == 2 and waits == [INITIAL_BACKOFF_S]
            calls.link.close()

    play(test)


@pytest.mark.parametrize("reset", [False, True])
def test_a_report_written_into_the_close_goes_over_the_next_connection(reset: bool) -> None:
    """It was written to a connection that had ended, and taken for one that may have been added: its units
    were told to nobody."""

    async def test() -> None:
        async with Counter() as counter:
            calls = Calls(counter.port)
            await calls.up()
            await close(counter, reset)
            calls.link.add(7, 3.0, 1000.0, calls.got.put_nowait)
            calls.link._loop.run()  # before the event loop has told of the end
            total = await calls.got.get()
            assert (total.verdict, total.total, counter.totals["7"]) == (Verdict.OK, 3.0, 3.0)
            assert counter.connections == 2 and empty(calls.link)
            calls.link.close()

    play(test)


@pytest.mark.parametrize("seen", [False, True])
@pytest.mark.parametrize("unasked", [b"$1\r\n", b"$1\r\n9\r\n"])
def test_what_nobody_asked_for_is_no_part_of_the_next_answer(unasked: bytes, seen: bool) -> None:
    """Half an answer on a resting connection lay there until the next call: its units had been added, and
    counted as such that may have been.  A whole one that was not read yet was taken for the total."""

    async def test() -> None:
        async with Counter() as counter:
            calls = Calls(counter.port)
            await calls.up()
            os.write(counter.writers[0].get_extra_info("socket").fileno(), unasked)
            if seen:
                await until(lambda: counter.connections == 2 and calls.link._active)
            calls.link.add(7, 3.0, 1000.0, calls.got.put_nowait)
            calls.link._loop.run()
            total = await calls.got.get()
            assert (total.verdict, total.total, counter.totals["7"]) == (Verdict.OK, 3.0, 3.0)
            assert counter.connections == 2 and empty(calls.link)
            calls.link.close()

    play(test)


def test_without_a_descriptor_calls_fail_at_once_and_the_counter_is_tried_once_a_second(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    waits: list[float] = []

    def none(address: tuple[str, int]) -> socket.socket:
        raise OSError(errno.EMFILE, "too many open files")

    async def test() -> None:
        async with Counter() as counter:
            calls = Calls(counter.port)
            await calls.up()
            real = calls.link._schedule_connect
            calls.link._schedule_connect = waits.append  # type: ignore[assignment, method-assign]
            with monkeypatch.context() as full:
                full.setattr(actor, "new_socket", none)
                await close(counter, True)
                await until(lambda: waits)
                assert (await calls.call(7)).verdict is Verdict.CONNECT_FAILED
                assert waits == [MAX_BACKOFF_S] and empty(calls.link) and not calls.link._connections
            real(0.0)
            await calls.up()
            calls.link.close()

    play(test)


class Stuck(Standin):
    """Reads one call, answers it, and reads no further."""

    def __init__(self) -> None:
        super().__init__()
        self.calls = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        reader._limit = 64  # type: ignore[attr-defined]  # else the stream reads ahead
        await read_reply(reader)
        self.calls += 1
        writer.write(b"$1\r\n1\r\n")
        await asyncio.Event().wait()


def test_what_of_a_batch_is_out_may_have_been_added_though_the_rest_is_not(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A batch that stuck half way counted as unwritten whole: an answer to its first call ended the
    connection, and what the counter had added was told again."""

    def small(address: tuple[str, int]) -> socket.socket:
        made = new_socket(address)
        made.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
        return made

    monkeypatch.setattr(actor, "new_socket", small)

    async def test() -> None:
        async with Stuck() as counter:
            counter.server.sockets[0].setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
            calls = Calls(counter.port)
            await until(lambda: calls.link._active)
            for n in range(MAX_PENDING_CALLS):
                calls.link.add(10**17 + n, 1.0, 1000.0, calls.got.put_nowait)
            calls.link._loop.run()
            used = calls.link._active
            assert used is not None and used.stream.writing()
            first = await calls.got.get()
            assert (first.verdict, first.total) == (Verdict.OK, 1.0)
            await close(counter)
            rest = [await calls.got.get() for _ in range(MAX_PENDING_CALLS - 1)]
            assert {total.verdict for total in rest} == {Verdict.TIMEOUT}
            calls.link.close()

    play(test)


def test_an_answer_cut_in_the_middle_by_the_time_out_is_read_to_its_end() -> None:
    """The time-out of its call, coming between two pieces of an answer, cost the connection and all calls
    behind."""

    async def test() -> None:
        async with Counter() as counter:
            calls = Calls(counter.port)
            await calls.up()
            counter.held.clear()
            calls.link.add(7, 3.0, 1000.0, calls.got.put_nowait)
            await until(lambda: counter.totals["7"])
            calls.now += 45.0
            calls.link.add(8, 5.0, 1000.0, calls.got.put_nowait)
            counter.writers[0].write(b"$1\r\n")  # the first piece
            used = calls.link._active
            assert used is not None
            await until(lambda: not used.parser.is_idle)
            calls.now += 6.0
            assert (await calls.got.get()).verdict is Verdict.TIMEOUT  # of 7
            counter.answer = lambda total: total + b"\r\n" if total == b"3" else b"$1\r\n%b\r\n" % total
            counter.held.set()
            total = await calls.got.get()
            assert (total.name, total.total, counter.connections) == (8, 5.0, 1)
            calls.link.close()

    play(test)


@pytest.mark.parametrize("silent", ["frozen", "left behind", "reset"])
def test_many_calls_out_on_a_lost_connection_end_once_each_and_leave_nothing(silent: str) -> None:
    """Frozen: the counter takes calls and says nothing; left behind: it moved meanwhile; or it resets."""

    async def test() -> None:
        async with Counter() as counter, Counter() as moved:
            calls = Calls(counter.port)
            await calls.up()
            counter.held.clear()
            ends: Tally[int] = Tally()
            verdicts: Tally[Verdict] = Tally()

            def done(total: CounterReply) -> None:
                ends[total.name] += 1
                verdicts[total.verdict] += 1

            for n in range(MAX_PENDING_CALLS + 40):
                calls.link.add(100 + n, 1.0, 1000.0, done)
            await until(lambda: counter.totals["100"] and verdicts[Verdict.QUEUE_FULL] == 40)
            if silent == "reset":
                await close(counter, True)
            elif silent == "left behind":
                calls.link.switch_address((HOST, moved.port))
                await until(lambda: moved.connections)
            for _ in range(int(MAX_SILENT_TIMEOUTS) + 3):
                calls.now += 50.0
                await asyncio.sleep(0.002)
            calls.now += 50.0 * MAX_SILENT_TIMEOUTS
            await until(lambda: empty(calls.link) and counter.connections + moved.connections == 2)
            assert set(ends.values()) == {1} and len(ends) == MAX_PENDING_CALLS + 40
            assert verdicts == {Verdict.QUEUE_FULL: 40, Verdict.TIMEOUT: MAX_PENDING_CALLS}
            counter.held.set()
            await calls.up()
            calls.link.close()

    play(test)


def test_a_counter_that_is_late_or_comes_back_empty_gets_no_call_twice() -> None:
    """Down, then back at the same place without its numbers: calls meanwhile fail as never added."""

    async def test() -> None:
        counter = Counter()
        async with counter:
            calls = Calls(counter.port)
            await calls.up()
        await until(lambda: calls.link._active is None and calls.link._connecting is None)
        for n in range(20):
            assert (await calls.call(200 + n)).verdict is Verdict.CONNECT_FAILED
        counter.totals.clear()
        async with counter:
            while (await calls.call(7, 2.0)).verdict is not Verdict.OK:
                await asyncio.sleep(0)
            assert counter.totals == {"7": 2.0} and empty(calls.link)
            calls.link.close()

    play(test)


def test_the_link_says_nothing_while_nothing_is_asked() -> None:
    """A connection long idle costs no call and no second connection."""

    async def test() -> None:
        async with Counter() as counter:
            calls = Calls(counter.port)
            await calls.up()
            made = counter.calls
            calls.now = NOW_MS + 60_000.0
            for _ in range(50):
                await asyncio.sleep(0)
            assert (counter.calls, counter.connections) == (made, 1) and empty(calls.link)
            assert (await calls.call(7)).verdict is Verdict.OK
            calls.link.close()

    play(test)
