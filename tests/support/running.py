"""Running asynchronous tests: each in an event loop of its own, with a time limit."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from badgeryoke.gateway.application import GatewayApplication
from tests.support.stand_ins import connect, read_reply

TEST_TIMEOUT_S = 60.0  # only so that a fault does not hang the run


def run_test(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test to its end; raises TimeoutError where it takes too long."""

    async def bounded() -> None:
        await asyncio.wait_for(test(), TEST_TIMEOUT_S)

    asyncio.run(bounded())


async def until(condition: Callable[[], Any]) -> None:
    """Wait until a condition holds, looking at each turn of the event loop."""
    while not condition():
        await asyncio.sleep(0)


async def send_commands(app: GatewayApplication, *commands: bytes) -> list[object]:
    """The replies to RESP commands that are sent at once, on a connection of their own."""
    reader, writer = await connect(app.lifecycle.address)
    writer.write(b"".join(commands))
    answers = [await read_reply(reader) for _ in commands]
    writer.close()
    return answers
