"""Half-closed connections that wait for the server's end, so that closing holds up nobody.

A socket is closed when the server has closed its side, at a reset, or when the server's idle timeout has passed.
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
    """`on_closed` is called with the lease of each connection that is closed on both sides."""

    def __init__(self, on_closed: Callable[[UpstreamLease], None]) -> None:
        self._on_closed = on_closed
        self._loop = asyncio.get_running_loop()
        self._closing: dict[socket.socket, _ClosingSocket] = {}

    def close(self, lease: UpstreamLease, connection: socket.socket, timeout_ms: float) -> None:
        """Send the end, and wait for the server's."""
        try:
            # One call: a connection that is not established yet is aborted, an established one half-closed.
            connection.shutdown(socket.SHUT_WR)
            connection.getpeername()  # raises where nothing is open any more
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
        """Discard what still comes."""
        try:
            if connection.recv(READ_CHUNK_BYTES):
                return
        except BlockingIOError:
            return
        except OSError:
            pass  # a reset is an end as well
        self._closed(self._closing[connection].lease, connection)

    def _closed(self, lease: UpstreamLease, connection: socket.socket) -> None:
        if (closing := self._closing.pop(connection, None)) is not None:
            closing.timeout.cancel()
            self._loop.remove_reader(connection)
        connection.close()
        self._on_closed(lease)
