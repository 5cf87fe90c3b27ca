"""The admin server: each connection sends one line and gets one answer, even if the gateway is overloaded."""

from __future__ import annotations

import asyncio
import socket

from badgeryoke.gateway.admin.calls import LINE_TOO_LONG, AdminOperations, answer_call

# Beyond this number of open connections, the oldest is closed.  Admin connections do not count against the limit of
# client and upstream connections.
MAX_CONNECTIONS = 16
MAX_CONNECTIONS_IN_CLUSTER = 48  # limit in a cluster member, whose calls may wait 2 s for a leader
MAX_LINE_BYTES = 256
FLEET_PREFIX = b"FLEET "
MAX_FLEET_LINE_BYTES = 64 * 1024
READ_BYTES = 4096
CALL_TIMEOUT_S = 5.0  # time from accepting a connection to writing the answer; callers give up after 1 s
LINGER_S = 0.5  # time for the caller to read the answer and close the connection


class AdminServer:
    """Answers the calls of operators.

    Uses asyncio streams: when a caller shuts down its side after the line, as `nc -N` does, Tornado's IOStream
    closes both directions, and the answer would be lost.
    """

    def __init__(self, gateway: AdminOperations) -> None:
        self._gateway = gateway
        self._server: asyncio.Server | None = None
        self._connections: dict[asyncio.StreamWriter, None] = {}  # oldest first
        self._closed = False

    async def serve(self, listening_sockets: list[socket.socket]) -> None:
        """Accept calls on sockets that are already listening."""
        for listening_socket in listening_sockets:
            self._server = await asyncio.start_server(
                self._serve_connection, sock=listening_socket, limit=MAX_LINE_BYTES
            )
        if self._closed:
            self.close()

    def close(self) -> None:
        """Stop accepting calls and abort the open connections; called when the process exits."""
        self._closed = True
        if self._server is not None:
            self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._close_oldest_connections()
        self._connections[writer] = None
        try:
            writer.write(await asyncio.wait_for(self._answer(reader), CALL_TIMEOUT_S))
            # Close only this side first: closing both with unread bytes resets the connection, and the answer
            # is lost.
            writer.write_eof()
            await asyncio.wait_for(reader.read(), LINGER_S)
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            pass  # the caller disconnected or timed out
        finally:
            self._connections.pop(writer, None)
            writer.close()

    def _close_oldest_connections(self) -> None:
        """Close the oldest connections until a new one is within the limit."""
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
    """Read the line of a call; None if it is too long.  A FLEET call may exceed the stream's limit."""
    try:
        return await reader.readuntil(b"\n")
    except asyncio.LimitOverrunError as overrun:
        line = await reader.readexactly(overrun.consumed)
    while line.startswith(FLEET_PREFIX) and b"\n" not in line and len(line) <= MAX_FLEET_LINE_BYTES:
        if not (data := await reader.read(READ_BYTES)):
            break
        line += data
    line, newline, _ = line.partition(b"\n")
    if not (newline and line.startswith(FLEET_PREFIX) and len(line) <= MAX_FLEET_LINE_BYTES):
        return None
    return line
