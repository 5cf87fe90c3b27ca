"""Connections that are not established yet, or cannot be established."""

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
from tests.support.running import run_test
from tests.support.stand_ins import HOST, NOW_MS


@pytest.fixture
def unreachable_port() -> Iterator[int]:
    """A port on which no connection is established: the listener's backlog is full, so the SYNs are dropped."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind((HOST, 0))
        listener.listen(0)
        port: int = listener.getsockname()[1]
        stack.enter_context(socket.create_connection((HOST, port)))
        yield port


def test_an_attempt_on_a_connection_never_established_was_never_written(unreachable_port: int) -> None:
    async def test() -> None:
        ends: asyncio.Queue[AttemptEnd] = asyncio.Queue()
        loop = ActorScheduler(asyncio.get_running_loop())
        upstream = RespUpstream(
            (HOST, unreachable_port),
            loop,
            lambda: NOW_MS,
            report_names=(),
            connect_ms=60.0,
            idle_ms=1000.0,
            max_connections=4,
        )
        request = Request("a1", "read", "plain", 7, 4000.0, 1.0, 2, idempotent=True)
        upstream.start(Attempt(request, 0, 1, NOW_MS, NOW_MS + 4000.0, lambda _, end: ends.put_nowait(end)))
        end = await asyncio.wait_for(ends.get(), 5)  # with a timeout, so that a fault does not show as a hang
        assert (end.verdict, end.stage) == (Verdict.CONNECT_FAILED, AttemptStage.NOT_WRITTEN)

    run_test(test)


def test_a_counter_call_on_a_connection_never_established_added_nothing(unreachable_port: int) -> None:
    async def test() -> None:
        replies: asyncio.Queue[CounterReply] = asyncio.Queue()
        now_ms = [NOW_MS]
        client = QuotaCounterClient(
            (HOST, unreachable_port), 50.0, ActorScheduler(asyncio.get_running_loop()), lambda: now_ms[0]
        )
        client.open()
        client.add(7, 1.0, 1000.0, replies.put_nowait)
        await asyncio.sleep(0.01)
        now_ms[0] += 60.0
        assert (await asyncio.wait_for(replies.get(), 5)).verdict is Verdict.CONNECT_FAILED
        client.close()

    run_test(test)


def test_the_close_of_a_connection_that_failed_at_once_is_reported() -> None:
    async def test() -> None:
        reported: list[bool] = []
        stream, connected = dial((HOST, 1), 1024)
        stream.close()  # as if connecting failed within the call
        on_close(stream, lambda: reported.append(True))
        assert reported == [True]
        with contextlib.suppress(StreamClosedError):
            await connected

    run_test(test)
