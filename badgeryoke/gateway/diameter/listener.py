"""Accepts the connections of Diameter clients (RFC 6733)."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Awaitable, Callable, Iterable

from tornado.iostream import IOStream
from tornado.tcpserver import TCPServer

from badgeryoke.decisions.interface import Settings
from badgeryoke.gateway.actor import ActorScheduler
from badgeryoke.gateway.config.model import DiameterConfig
from badgeryoke.gateway.diameter import codec
from badgeryoke.gateway.diameter.client_connection import DiameterClientConnection
from badgeryoke.gateway.diameter.peer import PeerIdentity
from badgeryoke.gateway.diameter.request_register import RequestRegister
from badgeryoke.gateway.dispatcher import Dispatcher

log = logging.getLogger(__name__)

BACKLOG = 128  # length of the kernel's accept queue


class DiameterListener(TCPServer):
    """Accepts Diameter clients and owns their connections."""

    def __init__(
        self,
        config: DiameterConfig,
        settings: Settings,
        identity: PeerIdentity,
        dispatcher: Dispatcher,
        loop: ActorScheduler,
        clock: Callable[[], float],
        max_connections: int,
    ) -> None:
        super().__init__(max_buffer_size=4 * codec.MAX_MESSAGE_BYTES)
        self.config, self.identity, self.loop = config, identity, loop
        self.register = RequestRegister(config, settings, dispatcher, loop, clock)
        self.connections: dict[DiameterClientConnection, None] = {}
        self._max_connections = max_connections
        self.draining = False  # while True, new connections are drained at once (graceful shutdown)
        self._listening_sockets: list[socket.socket] = []
        self._tasks: set[asyncio.Task[None]] = set()  # a task without a reference could be garbage-collected

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        """Accept connections on these sockets."""
        added = list(sockets)
        self._listening_sockets += added
        super().add_sockets(added)

    def stop(self) -> None:
        """Stop accepting, after accepting the kernel's backlog, which would be reset with the listening sockets."""
        for listening_socket in self._listening_sockets:
            self._accept_backlog(listening_socket)
        self._listening_sockets.clear()
        super().stop()

    def _accept_backlog(self, listening_socket: socket.socket) -> None:
        for _ in range(2 * BACKLOG):
            try:
                client_socket, _ = listening_socket.accept()
            except OSError:  # the backlog is empty, or no descriptor is left
                return
            stream = IOStream(client_socket, max_buffer_size=self.max_buffer_size)
            if (connection := self._open_connection(stream)) is not None:
                task = asyncio.ensure_future(connection.read())
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    def handle_stream(self, stream: IOStream, address: object) -> Awaitable[None] | None:
        """Serve one accepted connection until it closes; it is counted before this returns."""
        connection = self._open_connection(stream)
        return None if connection is None else connection.read()

    def _open_connection(self, stream: IOStream) -> DiameterClientConnection | None:
        if len(self.connections) >= self._max_connections:
            log.warning("peer rejected: %d connections are open", len(self.connections))
            stream.close()
            return None
        stream.set_nodelay(True)
        stream.max_write_buffer_size = 8 * codec.MAX_MESSAGE_BYTES
        connection = DiameterClientConnection(stream, self)
        self.connections[connection] = None
        if self.draining:
            connection.drain()
        return connection

    def connection_closed(self, connection: DiameterClientConnection) -> None:
        """Stop counting a closed connection."""
        self.connections.pop(connection, None)
