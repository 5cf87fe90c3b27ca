"""RESP listener: accepts clients, bounds their connections, and closes idle or stalled ones."""

from __future__ import annotations

import asyncio
import logging
import socket

from tornado.iostream import IOStream

from badgeryoke.gateway.actor import ActorScheduler
from badgeryoke.gateway.discovery.client import DiscoveryClient
from badgeryoke.gateway.dispatcher import Dispatcher
from badgeryoke.gateway.resp.client_connection import READ_CHUNK_BYTES, RespClientConnection

log = logging.getLogger(__name__)

# How long a client may take to send a command, the first one counted from the connect, and how long it may keep
# an idle connection, which occupies a descriptor and memory.
COMMAND_TIMEOUT_S, IDLE_TIMEOUT_S = 2.6, 20.0
# At the bound on connections, the one idle longest is evicted, if idle for at least this long.  One that has not
# sent a command yet counts as idle for longer, since clients with a request send it at once.
MIN_EVICTION_IDLE_S, SILENT_IDLE_BONUS_S = 0.1, 2.0
# Above a fraction of the descriptors (application.py), connections idle for this long are closed, the longest
# idle first, so that many idle clients cannot use up the whole bound and lock others out.
MIN_IDLE_WHEN_CROWDED_S = 0.3
MAX_READ_BUFFER_BYTES = 128 * 1024  # bound of data read from a client and not yet handled
WRITE_STALL_TIMEOUT_S = 2.5  # for a client to fetch its responses, ...
STREAM_STALL_TIMEOUT_S = 10.0  # ... and each chunk of a streamed value
BACKLOG = 512  # length of the kernel's accept queue
MAX_ACCEPTS_PER_TURN = 64  # before other work has its turn
# Beyond the bound, this fraction of it more is accepted only to be rejected; further connections wait in the
# kernel's accept queue, and accepting is retried after the interval.
REJECTED_CONNECTIONS_FRACTION, MIN_REJECTED_CONNECTIONS, ACCEPT_RETRY_INTERVAL_S = 1 / 16, 4, 0.05


class RespListener:
    """Accepts RESP clients and owns their connections."""

    def __init__(
        self,
        core: Dispatcher,
        loop: ActorScheduler,
        most: int,
        host_group: DiscoveryClient,
        most_held: int,
        crowd: int,
    ) -> None:
        self._crowded_count = crowd
        self._max_buffered_bytes = most_held
        self._dispatcher, self._loop, self._max_connections, self._discovery = core, loop, most, host_group
        self._configured_max_connections, self._max_rejected_connections = (
            most,
            max(int(most * REJECTED_CONNECTIONS_FRACTION), MIN_REJECTED_CONNECTIONS),
        )
        self.connections: dict[
            RespClientConnection, asyncio.Future[None] | None
        ] = {}  # each with its reading task
        self._listening_sockets: list[socket.socket] = []
        self._paused = False
        self.reports_not_ready = False  # PING answers "not ready", so that clients go elsewhere
        self._draining = False  # connections close between requests, new ones after their first
        self._saturation_logged = False

    def ready(self) -> bool:
        """Whether PING answers that this gateway takes requests."""
        return self._discovery.ready and not self.reports_not_ready

    def add_sockets(self, sockets: list[socket.socket]) -> None:
        """Accept connections on these sockets."""
        self._listening_sockets += sockets
        self._resume_accepting()

    def stop(self) -> None:
        """Stop accepting, after taking the kernel's backlog: it would be reset with the listening socket."""
        listening_sockets, self._listening_sockets = self._listening_sockets, []
        for one in listening_sockets:
            asyncio.get_running_loop().remove_reader(one)
            self._accept(one, last=True)
            one.close()

    def _resume_accepting(self) -> None:
        self._paused = False
        for one in self._listening_sockets:
            asyncio.get_running_loop().add_reader(one, self._accept, one)

    def _pause_accepting(self) -> None:
        """Leave waiting connections in the kernel's backlog for a while: an immediate retry would fail too."""
        if not self._paused and self._listening_sockets:
            self._paused = True
            for one in self._listening_sockets:
                asyncio.get_running_loop().remove_reader(one)
            self._loop.call_later(ACCEPT_RETRY_INTERVAL_S, self._resume_accepting)

    def _accept(self, listening_socket: socket.socket, last: bool = False) -> None:
        """Accept waiting connections within the bound, or all of them when the listener stops."""
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
                self._log_saturation_once(f"none is accepted: {fault}")
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
        full = len(self.connections) >= self._max_connections and not self._evict_idle_connection(
            MIN_EVICTION_IDLE_S
        )
        connection = RespClientConnection(
            stream, self._dispatcher, self._loop, self.ready, self._connection_closed
        )
        self.connections[connection] = None  # registered first, so that shutdown waits for it
        if full:
            self._log_saturation_once(f"{len(self.connections)} connections are open and in use")
            connection.reject()
        elif self._draining:
            connection.drain()
        self.connections[connection] = asyncio.ensure_future(connection.serve())

    def _log_saturation_once(self, why: str) -> None:
        if not self._saturation_logged:
            self._saturation_logged = True
            log.warning("clients are rejected: %s", why)

    def limit_connections(self, fraction: float) -> None:
        """Use a fraction of the configured bound on connections."""
        self._max_connections = int(self._configured_max_connections * fraction)

    def drain_connections(self) -> None:
        """Drain: from now on connections close between requests."""
        self._draining = True
        for connection in list(self.connections):
            connection.drain()

    def reject_new_requests(self) -> None:
        """Reject requests that still arrive: they could not be answered before the process ends."""
        for connection in list(self.connections):
            connection.drain_now()

    def keep_connections(self) -> None:
        """Keep new connections again; those that are draining still close."""
        self._draining = False

    def _evict_idle_connection(self, min_idle_s: float) -> bool:
        """Close the connection that has been idle longest; False if none has been idle for min_idle_s."""
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
        longest_idle[1].abort()  # checked in this turn: it has no unread data
        self._connection_closed(
            longest_idle[1]
        )  # no longer counted, though its close event is still in the mailbox
        return True

    def sweep(self) -> None:
        """Close connections that are idle, stalled, or in the middle of a command for too long."""
        now = self._loop.time()
        buffered_bytes = 0
        for connection in list(self.connections):
            buffered_bytes += connection.buffered_bytes
            if now - connection.write_stalled_since_s >= (
                STREAM_STALL_TIMEOUT_S if connection.is_streaming else WRITE_STALL_TIMEOUT_S
            ):
                connection.abort()
            elif (
                now - connection.idle_since_s >= IDLE_TIMEOUT_S and connection.is_idle
            ) or now - connection.command_started_s >= COMMAND_TIMEOUT_S:
                connection.close_incomplete()
        if buffered_bytes > self._max_buffered_bytes:
            for connection in sorted(
                self.connections, key=lambda connection: connection.buffered_bytes, reverse=True
            ):
                buffered_bytes -= connection.buffered_bytes
                if connection.unsent_response_bytes > connection.buffered_bytes // 2:
                    connection.abort()  # mostly unfetched responses: only closing frees them
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
