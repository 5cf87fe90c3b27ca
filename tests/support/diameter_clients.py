"""Diameter clients of a gateway on real sockets, and the gateway that they connect to."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from badgeryoke.gateway.application import GatewayApplication
from tests.support.running import run_test
from tests.support.stand_ins import ReceivedMessage, cer, connect, one_gateway, read_message

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


def with_gateway(
    test: Callable[[GatewayApplication, Any], Awaitable[None]], kind: str = "std", script: Any = None
) -> None:
    """Run a test against one gateway and one server of a kind: `std` (RESP2) or `diameter`."""

    async def run() -> None:
        async with one_gateway(script=script, kind=kind, diameter=True) as (app, server, _):
            await test(app, server)

    run_test(run)


async def open_peer(app: GatewayApplication, host: str = "pos.example") -> Streams:
    """Connect to a gateway and exchange capabilities."""
    reader, writer = await connect(app.lifecycle.diameter_address)
    writer.write(cer(host))
    cea = await read_message(reader)
    assert app.parts.config.diameter is not None
    gateway_host = app.parts.config.diameter.origin_host.encode()
    assert (cea.command, cea.flags, cea.result, cea.avps[264]) == (257, 0, 2001, gateway_host)
    return reader, writer


async def send(peer: Streams, *sent: bytes) -> list[ReceivedMessage]:
    """Send messages together, and return as many answers."""
    peer[1].write(b"".join(sent))
    return [await read_message(peer[0]) for _ in sent]
