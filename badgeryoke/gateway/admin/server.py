"""The admin server: each connection carries one line and gets one answer, however busy the gateway is."""

from __future__ import annotations

import asyncio
import socket

from badgeryoke.gateway.admin.calls import LINE_TOO_LONG, AdminOperations, answer_call

# Open connections; beyond, the oldest is closed.  Their descriptors are not among those that client and
# upstream connections may use.
MAX_CONNECTIONS = 16
MAX_CONNECTIONS_IN_CLUSTER = 48  # instead, for a cluster's member: its calls may wait 2 s for a leader
MAX_LINE_BYTES = 256
FLEET_PREFIX = b"FLEET "
MAX_FLEET_LINE_BYTES = 64 * 1024
READ_BYTES = 4096
CALL_TIMEOUT_S = 5.0  # for a caller to finish its line and get its answer: callers wait 1 s themselves
LINGER_S = 0.5  # for a caller to read its answer and close


class AdminServer:
    """Answers operators' calls.

    It uses asyncio's streams: Tornado's IOStream closes both directions where a caller shuts down its side
    after the line, as `nc -N` does, and the answer would be lost.
    """

    def __init__(self, gateway: AdminOperations) -> None:
        self._gateway = gateway
        self._server: asyncio.Server | None = None
        self._connections: dict[asyncio.StreamWriter, None] = {}  # oldest first
        self._closed = False

    async def serve(self, listening: list[socket.socket]) -> None:
        """Accept calls on sockets that are listening already."""
        for one in listening:
            self._server = await asyncio.start_server(self._serve_connection, sock=one, limit=MAX_LINE_BYTES)
        if self._closed:
            self.close()

    def close(self) -> None:
        """Stop to accept calls, and abort the open ones: the process ends."""
        self._closed = True
        if self._server is not None:
            self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._make_room()
        self._connections[writer] = None
        try:
            writer.write(await asyncio.wait_for(self._answer(reader), CALL_TIMEOUT_S))
            # First our side only: closed in both directions with bytes unread, the connection would be reset
            # and the answer lost.
            writer.write_eof()
            await asyncio.wait_for(reader.read(), LINGER_S)
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            pass  # the caller has gone, or its time is up
        finally:
            self._connections.pop(writer, None)
            writer.close()

    def _make_room(self) -> None:
        """Close the oldest connections, where there are as many as may be open."""
        while len(self._connections) >= (
            MAX_CONNECTIONS_IN_CLUSTER if self._gateway.is_cluster_member else MAX_CONNECTIONS
        ):
            oldest = next(iter(self._connections))
            del self._connections[oldest]
            oldest.transport.abort()

    async def _answer(self, reader: asyncio.StreamReader) -> bytes:
        line = await _read_line(reader)
        if line is None:
            return LINE_TOO_LONG
        if line.startswith(FLEET_PREFIX) or line.strip() == FLEET_PREFIX.strip():
            return await self._gateway.fleet_call(line[len(FLEET_PREFIX) :].strip())
        return answer_call(self._gateway, line)


async def _read_line(reader: asyncio.StreamReader) -> bytes | None:
    """A call's line; None where it is too long.  A FLEET call may be longer than the stream's limit."""
    try:
        return await reader.readuntil(b"\n")
    except asyncio.LimitOverrunError as overrun:
        line = await reader.readexactly(overrun.consumed)
    while line.startswith(FLEET_PREFIX) and b"\n" not in line and len(line) <= MAX_FLEET_LINE_BYTES:
        if not (more := await reader.read(READ_BYTES)):
            break
        line += more
    line, end, _ = line.partition(b"\n")
    if not (end and line.startswith(FLEET_PREFIX) and len(line) <= MAX_FLEET_LINE_BYTES):
        return None
    return line
