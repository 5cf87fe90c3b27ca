"""A quota counter client with a manual clock, and faults of its counter."""

from __future__ import annotations

import asyncio
import socket
import struct

from badgeryoke.decisions.interface import CounterReply, Verdict
from badgeryoke.gateway.actor import ActorScheduler
from badgeryoke.gateway.quota_counter.client import QuotaCounterClient
from tests.support.stand_ins import HOST, NOW_MS, Standin, read_reply

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, 0 s


class CounterCalls:
    """A counter client and the replies to its calls."""

    def __init__(self, port: int, timeout_ms: float = 50.0) -> None:
        self.now_ms = NOW_MS
        self.replies: asyncio.Queue[CounterReply] = asyncio.Queue()
        self.client = QuotaCounterClient(
            (HOST, port), timeout_ms, ActorScheduler(asyncio.get_running_loop()), lambda: self.now_ms
        )
        self.client.open()

    async def call(self, name: int, units: float = 1.0) -> CounterReply:
        """Make one call and wait for its reply."""
        self.client.add(name, units, 1000.0, self.replies.put_nowait)
        return await self.replies.get()

    async def connected(self) -> None:
        """Call until the counter answers."""
        while (await self.call(1, 0.0)).verdict is not Verdict.OK:
            await asyncio.sleep(0)


def holds_no_call(client: QuotaCounterClient) -> bool:
    """Return whether the client holds no calls and at most one connection."""
    pending = [call for call in client._pending if not call.ended]
    in_flight = any(connection.in_flight for connection in client._connections)
    return not (client._unsent or pending or in_flight) and len(client._connections) <= 1


async def close_connections(counter: Standin, reset: bool = False) -> None:
    """Close the counter's connections; the client's kernel has seen this, the client's event loop not yet."""
    for writer in counter.writers:
        if reset:
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        writer.transport.abort()
    counter.writers.clear()
    await asyncio.sleep(0)


class StuckCounter(Standin):
    """Answers one call of each connection, and reads no further."""

    def __init__(self) -> None:
        super().__init__()
        self.calls = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one call, then read no further."""
        reader._limit = 64  # type: ignore[attr-defined]  # otherwise the stream reads ahead
        await read_reply(reader)
        self.calls += 1
        writer.write(b"$1\r\n1\r\n")
        await asyncio.Event().wait()
