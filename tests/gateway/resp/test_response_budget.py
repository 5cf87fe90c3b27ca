"""Pipelined requests whose responses wait for an earlier one: the client is held back, and nothing is thrown away."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace

from badgeryoke.gateway.application import GatewayApplication
from badgeryoke.gateway.attempt import Request
from badgeryoke.gateway.resp.client_connection import DISCONNECT_CHECK_INTERVAL_S, MAX_PIPELINED_REQUESTS
from badgeryoke.gateway.resp.codec import MAX_BULK_BYTES
from badgeryoke.gateway.resp.response_budget import MIN_EXPECTED_BYTES, BudgetShare, ResponseBudget
from badgeryoke.gateway.responses import Response, Served
from tests.support.running import run_test, until
from tests.support.stand_ins import (
    Backend,
    Discovery,
    config,
    connect,
    endpoint_snapshot,
    entry,
    gateway,
    one_gateway,
    query,
    read_reply,
)

LONG = b"x" * 60 * 1024
PIPELINED = MAX_PIPELINED_REQUESTS
SMALL_MEMORY_MB = 32.0


def held_bytes(app: GatewayApplication) -> int:
    return app.parts.resp_listener._response_budget.held_bytes


def test_a_connection_may_hold_as_much_as_it_leaves_free() -> None:
    budget = ResponseBudget(10 * MAX_BULK_BYTES)
    greedy, other = BudgetShare(budget), BudgetShare(budget)
    while greedy.may_start():
        greedy.expect_response()
    assert budget.held_bytes == 5 * MAX_BULK_BYTES and other.may_start()
    greedy.close()
    greedy.release(MAX_BULK_BYTES)  # a write that ends after the close
    assert budget.held_bytes == 0


def test_the_expected_size_follows_the_responses() -> None:
    budget = ResponseBudget(10 * MAX_BULK_BYTES)
    for _ in range(100):
        budget.record_size(1)
    assert budget.expected_bytes == MIN_EXPECTED_BYTES
    budget.record_size(50_000)
    assert budget.expected_bytes == 50_000


def answer_started(started: dict[str, Callable[[Response], None]]) -> None:
    """Serve the requests that the dispatcher was given, but for the slow one."""
    for request_id in [request_id for request_id in started if request_id != "slow"]:
        started.pop(request_id)(Served(LONG))


def test_responses_behind_a_slow_one_are_not_thrown_away() -> None:
    """Regression: where whole responses waited behind a slow request, their connection was closed to free memory."""

    async def test() -> None:
        started: dict[str, Callable[[Response], None]] = {}

        def submit(request: Request, respond: Callable[[Response], None]) -> Callable[[], None]:
            started[request.id] = respond
            return lambda: None

        async with Discovery(entry("a", 1)) as agent:
            small = config(agent.port, None, endpoint_snapshot(entry("a", 1)))
            async with gateway(replace(small, memory_mb=SMALL_MEMORY_MB)) as app:
                app.parts.dispatcher.submit = submit  # type: ignore[method-assign]
                reader, writer = await connect(app.lifecycle.address)
                writer.write(query("slow") + b"".join(query(f"r{n}") for n in range(PIPELINED - 1)))
                await until(lambda: "slow" in started)
                while len(started) > 1:
                    answer_started(started)
                    await asyncio.sleep(2 * DISCONNECT_CHECK_INTERVAL_S)
                app.parts.resp_listener.sweep()
                await asyncio.sleep(0)
                assert app.parts.resp_listener.connections
                started.pop("slow")(Served(b"slow"))
                for number in range(PIPELINED):
                    answer_started(started)
                    assert await read_reply(reader) == (LONG if number else b"slow")
                writer.close()
                await until(lambda: not app.parts.resp_listener.connections)
                assert held_bytes(app) == 0

    run_test(test)


def test_a_client_that_is_held_back_leaves_others_alone_and_starts_nothing_once_it_has_gone() -> None:
    async def test() -> None:
        async with Backend(script=[None]) as backend, Discovery(entry("a", backend.port)) as agent:
            small = replace(
                config(agent.port, None, endpoint_snapshot(entry("a", backend.port))),
                memory_mb=SMALL_MEMORY_MB,
            )
            async with gateway(small) as app:
                app.parts.resp_listener._response_budget.hold(10**9)  # as by other connections
                _, writer = await connect(app.lifecycle.address)
                writer.write(query("head") + query("held back"))
                await until(lambda: app.parts.resp_listener.connections)
                await until(lambda: backend.commands)
                reader, other = await connect(app.lifecycle.address)
                other.write(query("other"))
                assert await read_reply(reader) == b"value"
                writer.close()
                await until(lambda: len(app.parts.resp_listener.connections) == 1)
                app.parts.resp_listener._response_budget.hold(-(10**9))
                other.write(query("last"))
                assert await read_reply(reader) == b"value"
                other.close()
                assert [command[2] for command in backend.commands] == [b"head", b"other", b"last"]
                assert held_bytes(app) == 0

    run_test(test)


def test_a_shutdown_answers_the_requests_that_are_held_back() -> None:
    async def test() -> None:
        async with one_gateway(script=[None]) as (app, backend, _):
            app.parts.resp_listener._response_budget.hold(10**9)
            reader, writer = await connect(app.lifecycle.address)
            writer.write(query("head") + query("behind"))
            await until(lambda: backend.commands)
            app.end()
            await asyncio.wait_for(until(lambda: app.parts.resp_listener._draining), 10.0)
            connection = next(iter(app.parts.resp_listener.connections))
            connection.drain_now()
            backend.writers[0].write(b"*1\r\n$4\r\nhead\r\n")
            assert await read_reply(reader) == b"head"
            assert str(await read_reply(reader)).startswith("-BUSY") and await reader.read() == b""
            assert len(backend.commands) == 1
            writer.close()

    run_test(test)
