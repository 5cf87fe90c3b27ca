"""Running a test's coroutine, waiting in it, and asking a gateway in it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from badgeryoke.gateway.application import GatewayApplication
from tests.support.stand_ins import connect, read_reply

MAX_TEST_S = 60  # only so that a fault does not hang the run


def play(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test's coroutine to its end."""

    async def bounded() -> None:
        await asyncio.wait_for(test(), MAX_TEST_S)

    asyncio.run(bounded())


async def until(condition: Callable[[], Any]) -> None:
    """Let the event loop run until the condition holds."""
    while not condition():
        await asyncio.sleep(0)


async def ask(app: GatewayApplication, *commands: bytes) -> list[object]:
    """The replies to commands that are sent at once on a connection of their own."""
    reader, writer = await connect(app.lifecycle.address)
    writer.write(b"".join(commands))
    answers = [await read_reply(reader) for _ in commands]
    writer.close()
    return answers
