"""Connections on their way up."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterator

import pytest
from tornado.iostream import StreamClosedError

from badgeryoke.decisions.interface import CounterReply, Verdict
from badgeryoke.gateway.actor import ActorScheduler
from badgeryoke.gateway.attempt import Attempt, AttemptEnd, AttemptStage, Request
from badgeryoke.gateway.connecting import dial, on_close
from badgeryoke.gateway.quota_counter.client import QuotaCounterClient
from badgeryoke.gateway.resp.upstream_connection import RespUpstream
from tests.gateway.resp.test_client_connection import play
from tests.support.stand_ins import HOST, NOW_MS


@pytest.fixture
def silent() -> Iterator[int]:
    """The port of a machine whose connections never come up: its listener's queue is full, and it drops what
    comes."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind((HOST, 0))
        listener.listen(0)
        port: int = listener.getsockname()[1]
        stack.enter_context(socket.create_connection((HOST, port)))
        yield port


def test_an_attempt_on_a_connection_that_never_comes_up_was_never_written(silent: int) -> None:
    async def test() -> None:
        ends: asyncio.Queue[AttemptEnd] = asyncio.Queue()
        loop = ActorScheduler(asyncio.get_running_loop())
        link = RespUpstream(
            (HOST, silent), loop, lambda: NOW_MS, report_names=(), connect_ms=60.0, idle_ms=1000.0, most=4
        )
        asked = Request("a1", "read", "plain", 7, 4000.0, 1.0, 2, idempotent=True)
        link.start(Attempt(asked, 0, 1, NOW_MS, NOW_MS + 4000.0, lambda _, end: ends.put_nowait(end)))
        end = await asyncio.wait_for(ends.get(), 5)  # without this a fault would only show as a hang
        assert (end.verdict, end.stage) == (Verdict.CONNECT_FAILED, AttemptStage.NOT_WRITTEN)

    play(test)


def test_a_counter_call_on_a_connection_that_never_comes_up_added_nothing(silent: int) -> None:
    async def test() -> None:
        totals: asyncio.Queue[CounterReply] = asyncio.Queue()
        now = [NOW_MS]
        link = QuotaCounterClient(
            (HOST, silent), 50.0, ActorScheduler(asyncio.get_running_loop()), lambda: now[0]
        )
        link.open()
        link.add(7, 1.0, 1000.0, totals.put_nowait)
        await asyncio.sleep(0.01)
        now[0] += 60.0
        assert (await asyncio.wait_for(totals.get(), 5)).verdict is Verdict.CONNECT_FAILED
        link.close()

    play(test)


def test_the_end_of_a_connection_that_failed_at_once_is_told_too() -> None:
    async def test() -> None:
        told: list[bool] = []
        stream, coming_up = dial((HOST, 1), 1024)
        stream.close()  # as where connecting fails in the call itself
        on_close(stream, lambda: told.append(True))
        assert told == [True]
        with contextlib.suppress(StreamClosedError):
            await coming_up

    play(test)
