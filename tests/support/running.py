"""Helpers that run each asynchronous test in its own event loop, with a time limit."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from badgeryoke.gateway.application import GatewayApplication
from tests.support.stand_ins import connect, read_reply

TEST_TIMEOUT_S = 60.0  # only keeps a faulty test from hanging the run


def run_test(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test; raises TimeoutError if it takes longer than TEST_TIMEOUT_S."""

    async def bounded() -> None:
        await asyncio.wait_for(test(), TEST_TIMEOUT_S)

    asyncio.run(bounded())


async def until(condition: Callable[[], Any]) -> None:
    """Wait until a condition holds, checking it at each turn of the event loop."""
    while not condition():
        await asyncio.sleep(0)


async def send_commands(app: GatewayApplication, *commands: bytes) -> list[object]:
    """Send RESP commands together on a new connection, and return their replies."""
    reader, writer = await connect(app.lifecycle.address)
    writer.write(b"".join(commands))
    answers = [await read_reply(reader) for _ in commands]
    writer.close()
    return answers
