"""RESP listener: accepts clients, bounds their connections, and closes idle or stalled ones."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket

from tornado.iostream import IOStream

from badgeryoke.gateway.actor import ActorScheduler
from badgeryoke.gateway.discovery.client import DiscoveryClient
from badgeryoke.gateway.dispatcher import Dispatcher
from badgeryoke.gateway.resp.client_connection import (
    MAX_COMMAND_BYTES,
    READ_CHUNK_BYTES,
    RespClientConnection,
)
from badgeryoke.gateway.resp.request_budget import RequestBudget
from badgeryoke.gateway.resp.response_budget import ResponseBudget

log = logging.getLogger(__name__)

# How long a client may take to send a command, counted from the connect for the first one, and how long it may
# keep an idle connection, which occupies a descriptor and memory.
COMMAND_TIMEOUT_S, IDLE_TIMEOUT_S = 2.6, 20.0
# At the bound on connections, the connection idle longest is evicted if it has been idle for at least
# MIN_EVICTION_IDLE_S.  The idle time of a connection without any command counts SILENT_IDLE_BONUS_S longer, since
# clients with a request send it at once.
MIN_EVICTION_IDLE_S, SILENT_IDLE_BONUS_S = 0.1, 2.0
# Above a fraction of the descriptors (parts.py), connections idle for this long are closed, the longest idle first,
# so that many idle clients cannot use up the whole bound and lock others out.
MIN_IDLE_WHEN_CROWDED_S = 0.3
MAX_READ_BUFFER_BYTES = 128 * 1024  # bound of data read from a client and not yet handled
# The system's buffer holds a whole command, so that one that waits for room can be told from one that was not finished.
SYSTEM_READ_BUFFER_BYTES = 2 * MAX_COMMAND_BYTES
WRITE_STALL_TIMEOUT_S = 2.5  # time for a client to read its responses
STREAM_STALL_TIMEOUT_S = 10.0  # time for a client to read a chunk of a streamed value
BACKLOG = 512  # length of the kernel's accept queue
MAX_ACCEPTS_PER_TURN = 64  # connections accepted before other work runs
# Beyond the bound on connections, further ones are accepted only to be rejected: this fraction of the bound, but at
# least the minimum.  The rest wait in the kernel's accept queue, and accepting is retried after the interval.
REJECTED_CONNECTIONS_FRACTION, MIN_REJECTED_CONNECTIONS, ACCEPT_RETRY_INTERVAL_S = 1 / 16, 4, 0.05


class RespListener:
    """Accepts RESP clients and owns their connections."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        loop: ActorScheduler,
        max_connections: int,
        discovery: DiscoveryClient,
        max_buffered_bytes: int,
        crowded_count: int,
        response_budget: ResponseBudget,
        request_budget: RequestBudget,
    ) -> None:
        self._response_budget, self._request_budget = response_budget, request_budget
        self._crowded_count = crowded_count
        self._max_buffered_bytes = max_buffered_bytes
        self._dispatcher, self._loop, self._max_connections, self._discovery = (
            dispatcher,
            loop,
            max_connections,
            discovery,
        )
        self._configured_max_connections, self._max_rejected_connections = (
            max_connections,
            max(int(max_connections * REJECTED_CONNECTIONS_FRACTION), MIN_REJECTED_CONNECTIONS),
        )
        # The open connections, each with its serve() task.
        self.connections: dict[RespClientConnection, asyncio.Future[None] | None] = {}
        self._listening_sockets: list[socket.socket] = []
        self._paused = False
        self.reports_not_ready = False  # PING is answered "not ready", so that clients use another gateway
        self._draining = False  # connections close between requests, new ones after their first request
        self._saturation_logged = False

    def ready(self) -> bool:
        """Whether PING is answered with PONG: this gateway accepts requests."""
        return self._discovery.ready and not self.reports_not_ready

    def add_sockets(self, sockets: list[socket.socket]) -> None:
        """Accept connections on these sockets."""
        self._listening_sockets += sockets
        self._resume_accepting()

    def stop(self) -> None:
        """Stop accepting, after accepting the kernel's backlog, which would be reset with the listening socket."""
        listening_sockets, self._listening_sockets = self._listening_sockets, []
        for listening_socket in listening_sockets:
            asyncio.get_running_loop().remove_reader(listening_socket)
            self._accept(listening_socket, last=True)
            listening_socket.close()

    def _resume_accepting(self) -> None:
        self._paused = False
        for listening_socket in self._listening_sockets:
            asyncio.get_running_loop().add_reader(listening_socket, self._accept, listening_socket)

    def _pause_accepting(self) -> None:
        """Leave connections in the kernel's backlog for ACCEPT_RETRY_INTERVAL_S: an immediate retry would fail too."""
        if not self._paused and self._listening_sockets:
            self._paused = True
            for listening_socket in self._listening_sockets:
                asyncio.get_running_loop().remove_reader(listening_socket)
            self._loop.call_later(ACCEPT_RETRY_INTERVAL_S, self._resume_accepting)

    def _accept(self, listening_socket: socket.socket, last: bool = False) -> None:
        """Accept connections from the backlog within the bound, or all of them when the listener stops."""
        for _ in range(2 * BACKLOG if last else MAX_ACCEPTS_PER_TURN):
            if (
                len(self.connections) >= self._max_connections + self._max_rejected_connections
                and not last
                and not self._evict_idle_connection(MIN_EVICTION_IDLE_S)
            ):
                self._pause_accepting()
                return
            try:
                client_socket, _ = listening_socket.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                continue
            except OSError as fault:  # out of descriptors or memory
                self._log_saturation_once(f"accept failed: {fault}")
                if self._evict_idle_connection(MIN_EVICTION_IDLE_S):
                    continue
                self._pause_accepting()
                return
            self._open_connection(client_socket)

    def _open_connection(self, client_socket: socket.socket) -> None:
        stream = IOStream(
            client_socket, max_buffer_size=MAX_READ_BUFFER_BYTES, read_chunk_size=READ_CHUNK_BYTES
        )
        stream.set_nodelay(True)
        with contextlib.suppress(OSError):
            client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SYSTEM_READ_BUFFER_BYTES)
        full = len(self.connections) >= self._max_connections and not self._evict_idle_connection(
            MIN_EVICTION_IDLE_S
        )
        connection = RespClientConnection(
            stream,
            self._dispatcher,
            self._loop,
            self.ready,
            self._connection_closed,
            self._response_budget,
            self._request_budget,
        )
        self.connections[connection] = None  # registered first, so that shutdown waits for it
        if full:
            self._log_saturation_once(f"{len(self.connections)} connections are open and in use")
            connection.reject()
        elif self._draining:
            connection.drain()
        self.connections[connection] = asyncio.ensure_future(connection.serve())

    def _log_saturation_once(self, reason: str) -> None:
        if not self._saturation_logged:
            self._saturation_logged = True
            log.warning("clients are rejected: %s", reason)

    def limit_connections(self, fraction: float) -> None:
        """Use a fraction of the configured bound on connections."""
        self._max_connections = int(self._configured_max_connections * fraction)

    def drain_connections(self) -> None:
        """Drain: from now on connections close between requests."""
        self._draining = True
        for connection in list(self.connections):
            connection.drain()

    def reject_new_requests(self) -> None:
        """Reject requests from now on: they could not be answered before the process ends."""
        for connection in list(self.connections):
            connection.drain_now()

    def keep_connections(self) -> None:
        """Stop draining: new connections stay open again; those already draining still close."""
        self._draining = False

    def _evict_idle_connection(self, min_idle_s: float) -> bool:
        """Close the connection that has been idle longest; False if none has been idle for `min_idle_s`."""
        now = self._loop.time()
        longest_idle: tuple[float, RespClientConnection] | None = None
        for connection in self.connections:
            idle_s = now - connection.idle_since_s
            if idle_s < min_idle_s:
                continue
            idle_s += 0.0 if connection.has_sent_command else SILENT_IDLE_BONUS_S
            if (longest_idle is None or idle_s > longest_idle[0]) and connection.is_idle:
                longest_idle = idle_s, connection
        if longest_idle is None:
            return False
        longest_idle[1].abort()  # is_idle was checked in this turn: the connection has no unread data
        # Not counted any more, although its close event is still in the mailbox.
        self._connection_closed(longest_idle[1])
        return True

    def sweep(self) -> None:
        """Close connections that are idle, stalled, or in the middle of a command for too long."""
        now = self._loop.time()
        buffered_bytes = 0
        for connection in list(self.connections):
            buffered_bytes += connection.buffered_bytes
            connection.record_progress()
            if now - connection.write_stalled_since_s >= (
                STREAM_STALL_TIMEOUT_S if connection.is_streaming else WRITE_STALL_TIMEOUT_S
            ):
                log.info("client given up, it reads nothing: %s", connection.undelivered_text)
                connection.abort()
            elif (
                now - connection.idle_since_s >= IDLE_TIMEOUT_S and connection.is_at_rest
            ) or now - connection.command_started_s >= COMMAND_TIMEOUT_S:
                connection.close_incomplete()
        if buffered_bytes > self._max_buffered_bytes:
            for connection in sorted(
                self.connections, key=lambda connection: connection.buffered_bytes, reverse=True
            ):
                buffered_bytes -= connection.buffered_bytes
                if connection.unsent_response_bytes > connection.buffered_bytes // 2:
                    connection.abort()  # mostly unsent responses: only closing frees them
                else:
                    connection.close_incomplete()
                if buffered_bytes <= self._max_buffered_bytes:
                    break
        while len(self.connections) > self._crowded_count and self._evict_idle_connection(
            MIN_IDLE_WHEN_CROWDED_S
        ):
            pass
        if (
            self._saturation_logged
            and not self._paused
            and len(self.connections) < self._max_connections * 3 // 4
        ):
            self._saturation_logged = False
            log.info("clients are accepted again: %d connections are open", len(self.connections))

    def _connection_closed(self, connection: RespClientConnection) -> None:
        self.connections.pop(connection, None)
