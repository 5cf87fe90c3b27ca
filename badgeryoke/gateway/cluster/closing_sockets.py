"""Half-closed connections that wait in the background for the server to close its side.

A socket is closed when the server has closed its side, at a reset, or after the server's idle timeout.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass

from badgeryoke.gateway.cluster.upstream_lease import UpstreamLease
from badgeryoke.gateway.connecting import READ_CHUNK_BYTES


@dataclass(frozen=True, slots=True)
class _ClosingSocket:
    lease: UpstreamLease
    timeout: asyncio.TimerHandle


class ClosingSockets:
    """Closes sockets; `on_closed` is called with the lease of each connection once it is closed on both sides."""

    def __init__(self, on_closed: Callable[[UpstreamLease], None]) -> None:
        self._on_closed = on_closed
        self._loop = asyncio.get_running_loop()
        self._closing: dict[socket.socket, _ClosingSocket] = {}

    def close(self, lease: UpstreamLease, connection: socket.socket, timeout_ms: float) -> None:
        """Half-close a connection, and wait for the server to close its side, at most for the timeout."""
        try:
            # Aborts a connection that is not established yet, and half-closes an established one.
            connection.shutdown(socket.SHUT_WR)
            connection.getpeername()  # raises if the connection is not open any more
        except OSError:
            self._closed(lease, connection)
            return
        timeout = self._loop.call_later(timeout_ms / 1000.0, self._closed, lease, connection)
        self._closing[connection] = _ClosingSocket(lease, timeout)
        self._loop.add_reader(connection, self._read_to_end, connection)
        self._read_to_end(connection)

    def close_all(self) -> None:
        """Close all without waiting for the servers."""
        for connection in list(self._closing):
            self._closed(self._closing[connection].lease, connection)

    def _read_to_end(self, connection: socket.socket) -> None:
        """Discard received data until the server closes its side."""
        try:
            if connection.recv(READ_CHUNK_BYTES):
                return
        except BlockingIOError:
            return
        except OSError:
            pass  # a reset closes the connection as well
        self._closed(self._closing[connection].lease, connection)

    def _closed(self, lease: UpstreamLease, connection: socket.socket) -> None:
        if (closing := self._closing.pop(connection, None)) is not None:
            closing.timeout.cancel()
            self._loop.remove_reader(connection)
        connection.close()
        self._on_closed(lease)
