"""Connections dialled by peers: accepting, checking handshakes, receiving messages."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import deque
from collections.abc import Callable, Mapping, Sequence

from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError

from badgeryoke.cluster.errors import BadFrame, ClusterError, ClusterMismatch, StaleIncarnation
from badgeryoke.cluster.messages import AnyMessage, Envelope, MemberId, member_name
from badgeryoke.gateway.cluster.transport.context import TransportContext
from badgeryoke.gateway.cluster.transport.frames import quoted, read_envelope
from badgeryoke.gateway.cluster.transport.peer import Peer

log = logging.getLogger(__name__)

MAX_REPLACED_INCARNATIONS = 16  # replaced incarnations recorded for each member
MAX_MEMBER_ID_CHARS = 128
ACCEPT_RETRY_S = 1.0  # delay after the process has run out of file descriptors
# Two for each peer, since one may be dead and not detected yet, and some for connections without a handshake.
MAX_CONNECTIONS_PER_PEER, MAX_UNIDENTIFIED_CONNECTIONS = 2, 8
_UNIDENTIFIED = ""  # name for a connection before its handshake


class InboundConnections:
    """All connections that peers have dialled.

    `on_messages` is called with the sender and the messages of one frame.
    """

    def __init__(
        self,
        context: TransportContext,
        peers: Mapping[str, Peer],
        on_messages: Callable[[MemberId, tuple[AnyMessage, ...]], None],
    ) -> None:
        self._context, self._peers, self._on_messages = context, peers, on_messages
        self._listening_sockets: list[socket.socket] = []
        self._peer_names: dict[IOStream, str] = {}  # by connection, oldest first
        self._current_ids: dict[str, MemberId] = {}  # by member name, from its last handshake
        self._replaced_ids: dict[str, deque[MemberId]] = {}

    @property
    def connection_count(self) -> int:
        """The number of open connections, including those without a handshake."""
        return len(self._peer_names)

    def listen(self, sockets: Sequence[socket.socket]) -> None:
        """Accept connections on listening sockets."""
        for listening in sockets:
            listening.setblocking(False)
            self._listening_sockets.append(listening)
            self._start_accepting(listening)

    def stop_listening(self) -> None:
        """Close the listening sockets."""
        loop = asyncio.get_running_loop()
        for listening in self._listening_sockets:
            loop.remove_reader(listening.fileno())
            listening.close()

    def close_connections(self) -> None:
        """Close all connections."""
        for stream in list(self._peer_names):
            stream.close()

    # Accepting.

    def _start_accepting(self, listening: socket.socket) -> None:
        asyncio.get_running_loop().add_reader(listening.fileno(), self._accept, listening)

    def _resume_accepting(self, listening: socket.socket) -> None:
        if not self._context.closed:
            self._start_accepting(listening)

    def _accept(self, listening: socket.socket) -> None:
        try:
            accepted, address = listening.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return
        except OSError as fault:  # out of file descriptors: the connection stays in the backlog
            log.warning("cannot accept a peer's connection: %s; retrying in %g s", fault, ACCEPT_RETRY_S)
            loop = asyncio.get_running_loop()
            loop.remove_reader(listening.fileno())
            loop.call_later(ACCEPT_RETRY_S, self._resume_accepting, listening)
            return
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = IOStream(accepted, max_buffer_size=self._context.stream_buffer_bytes)
        self._close_oldest_beyond_limit()
        self._peer_names[stream] = _UNIDENTIFIED
        self._context.start_task(self._serve(stream, str(address[0])))

    def _close_oldest_beyond_limit(self) -> None:
        """Make room for one more connection: close the oldest without a handshake, else the oldest of all."""
        max_connections = MAX_CONNECTIONS_PER_PEER * len(self._peers) + MAX_UNIDENTIFIED_CONNECTIONS
        while len(self._peer_names) >= max_connections:
            unidentified = (stream for stream, name in self._peer_names.items() if name == _UNIDENTIFIED)
            oldest = next(unidentified, next(iter(self._peer_names)))
            del self._peer_names[oldest]
            oldest.close()

    # One connection.

    async def _serve(self, stream: IOStream, remote_host: str) -> None:
        """Serve one connection until it is closed."""
        context, limits = self._context, self._context.limits
        try:
            handshake = await asyncio.wait_for(
                read_envelope(stream, limits.max_frame_bytes, context.cluster, remote_host),
                limits.handshake_timeout_s,
            )
            sender = self._admit(stream, handshake, remote_host)
            if isinstance(sender, ClusterError):
                context.errors.report(sender)
            # Answered even if the handshake was rejected, so that the dialler can report the mismatch too.
            await self._answer(stream)
            if isinstance(sender, ClusterError):
                return
            context.errors.report(await self._receive_until_error(stream, sender))
        except (StreamClosedError, StreamBufferFullError, TimeoutError):
            pass  # the peer closed the connection, sent no handshake, or does not read
        finally:
            self._peer_names.pop(stream, None)
            stream.close()

    async def _receive_until_error(self, stream: IOStream, sender: MemberId) -> ClusterError:
        """Receive frames until one is invalid; returns its error.  Raises StreamClosedError when the connection is
        closed."""
        context = self._context
        while True:
            envelope = await read_envelope(stream, context.limits.max_frame_bytes, context.cluster, sender)
            if isinstance(envelope, ClusterError):
                return envelope
            if (error := context.check_addressing(envelope, sender)) is not None:
                return error
            if len(envelope.messages) > context.limits.max_batch_messages:
                return BadFrame(sender, f"{len(envelope.messages)} messages in one frame")
            if envelope.messages:
                self._on_messages(sender, envelope.messages)
            else:  # a heartbeat
                await self._answer(stream)

    async def _answer(self, stream: IOStream) -> None:
        """Answer a handshake or a heartbeat.  Raises TimeoutError if the peer does not read it."""
        written = stream.write(self._context.handshake())
        await asyncio.wait_for(written, self._context.limits.stall_timeout_s)

    # Handshakes.

    def _admit(
        self, stream: IOStream, handshake: Envelope | ClusterError, remote_host: str
    ) -> MemberId | ClusterError:
        """Identify the sender of a handshake, or return why the connection is rejected."""
        if isinstance(handshake, ClusterError):
            return handshake
        if (error := self._check_handshake(handshake, remote_host)) is not None:
            return error
        if (error := self._replace_incarnation(handshake.sender)) is not None:
            return error
        self._replace_connection(stream, member_name(handshake.sender))
        return handshake.sender

    def _check_handshake(self, handshake: Envelope, remote_host: str) -> ClusterError | None:
        sender = handshake.sender
        if member_name(sender) not in self._peers or "/" not in sender or len(sender) > MAX_MEMBER_ID_CHARS:
            return ClusterMismatch(remote_host, f"{quoted(sender)} is not another member of this fleet")
        if handshake.messages:
            return BadFrame(sender, "messages before the handshake was answered")
        return self._context.check_addressing(handshake, sender)

    def _replace_incarnation(self, sender: MemberId) -> StaleIncarnation | None:
        """Record the sender as its member's current incarnation; an error if it has been replaced by another."""
        name = member_name(sender)
        current = self._current_ids.get(name)
        replaced = self._replaced_ids.setdefault(name, deque(maxlen=MAX_REPLACED_INCARNATIONS))
        if sender in replaced:
            return StaleIncarnation(sender, f"it was replaced by {current}")
        if current is not None and current != sender:
            replaced.append(current)
        self._current_ids[name] = sender
        return None

    def _replace_connection(self, stream: IOStream, name: str) -> None:
        """Close a peer's earlier connections: it dials one at a time, so they are dead."""
        for earlier in [known for known, peer_name in self._peer_names.items() if peer_name == name]:
            earlier.close()
        self._peer_names[stream] = name
        self._peers[name].end_backoff()
