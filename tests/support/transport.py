"""Cluster members on loopback, for tests of the connections between them."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Callable, Coroutine
from random import Random

from badgeryoke.cluster import errors
from badgeryoke.cluster.messages import (
    PROTOCOL_VERSION,
    AnyMessage,
    AppendEntries,
    EntryKind,
    Envelope,
    GossipUpdate,
    LogEntry,
    MemberId,
    Ping,
)
from badgeryoke.gateway.cluster.transport import ClusterTransport, TransportLimits, encode_frame
from tests.support.stand_ins import HOST

SHORT_TIMEOUTS = TransportLimits(
    connect_timeout_s=0.2,
    handshake_timeout_s=0.2,
    stall_timeout_s=0.2,
    heartbeat_interval_s=0.0,
    min_reconnect_backoff_s=0.01,
    max_reconnect_backoff_s=0.05,
)
TEST_TIMEOUT_S = 20
PING = Ping(1, "b/1", (GossipUpdate("c/1", 1, 3, "a/1"),))
HANDSHAKE = Envelope(PROTOCOL_VERSION, "f", "a/1", "b", ())


def append_entries(size: int = 1000, index: int = 1) -> AppendEntries:
    """Return a message with one entry of `size` bytes."""
    return AppendEntries("g", 1, index - 1, 1, (LogEntry(index, 1, EntryKind.COMMAND, b"x" * size),), 0, 0)


class TransportEndpoint:
    """A member's transport, with the messages and errors that it has reported."""

    def __init__(
        self,
        member_id: str,
        cluster: str = "f",
        limits: TransportLimits = SHORT_TIMEOUTS,
        listening: socket.socket | None = None,
        **peer_ports: int,
    ) -> None:
        self.listening = listening or socket.create_server((HOST, 0))
        self.port = self.listening.getsockname()[1]
        self.received: list[tuple[str, AnyMessage]] = []
        self.frame_sizes: list[int] = []  # number of messages in each received frame
        self.errors: list[errors.ClusterError] = []
        self.transport = ClusterTransport(
            cluster,
            member_id,
            {name: (HOST, port) for name, port in peer_ports.items()},
            self._on_messages,
            self.errors.append,
            Random(1),
            limits,
        )
        self.transport.listen([self.listening])

    def _on_messages(self, sender: MemberId, messages: tuple[AnyMessage, ...]) -> None:
        self.frame_sizes.append(len(messages))
        self.received.extend((sender, message) for message in messages)

    def error_codes(self) -> list[str]:
        """Return the codes of the reported errors, in order."""
        return [error.code for error in self.errors]


@contextlib.asynccontextmanager
async def connected_pair(
    limits: TransportLimits = SHORT_TIMEOUTS,
) -> AsyncIterator[tuple[TransportEndpoint, TransportEndpoint]]:
    """Yield the members `a/1`, with `limits`, and `b/1`, each with the other's address."""
    second = TransportEndpoint("b/1", a=1)
    first = TransportEndpoint("a/1", limits=limits, b=second.port)
    second.transport.peers["a"].address = HOST, first.port
    try:
        yield first, second
    finally:
        first.transport.close()
        second.transport.close()


def run_with_timeout(
    test: Callable[[], Coroutine[object, object, None]], timeout_s: float = TEST_TIMEOUT_S
) -> None:
    """Run a test; raises TimeoutError if it does not end in time."""
    asyncio.run(asyncio.wait_for(test(), timeout_s))


class UnresponsivePeer:
    """Accepts connections and answers only the handshake; reads everything or nothing."""

    def __init__(self, reads: bool) -> None:
        self.reads, self.connections = reads, 0
        self.writers: list[asyncio.StreamWriter] = []

    async def __aenter__(self) -> UnresponsivePeer:
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_: object) -> None:
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        writer.write(encode_frame(Envelope(PROTOCOL_VERSION, "f", "c/1", "a", ())))
        self.writers.append(writer)
        if self.reads:
            with contextlib.suppress(asyncio.CancelledError):
                await reader.read()
        else:
            reader._transport.pause_reading()  # type: ignore[attr-defined]
