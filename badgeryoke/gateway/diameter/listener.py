"""Accepts the connections of Diameter clients (RFC 6733)."""

from __future__ import annotations

import logging
from collections.abc import Callable

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
        self.draining = False  # while True, new connections are closed at once (graceful shutdown)

    async def handle_stream(self, stream: IOStream, address: object) -> None:
        """Serve one accepted connection until it closes."""
        if self.draining:
            stream.close()
            return
        if len(self.connections) >= self._max_connections:
            log.warning("peer rejected: %d connections are open", len(self.connections))
            stream.close()
            return
        stream.set_nodelay(True)
        stream.max_write_buffer_size = 8 * codec.MAX_MESSAGE_BYTES
        connection = DiameterClientConnection(stream, self)
        self.connections[connection] = None
        await connection.read()

    def connection_closed(self, connection: DiameterClientConnection) -> None:
        """Stop counting a closed connection."""
        self.connections.pop(connection, None)
