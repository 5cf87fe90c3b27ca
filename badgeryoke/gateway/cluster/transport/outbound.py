"""The connection to one peer: dialling, handshake, sending, heartbeats."""

from __future__ import annotations

import asyncio
import contextlib
import socket

from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError

from badgeryoke.cluster.errors import ClusterError, ClusterMismatch, StaleIncarnation
from badgeryoke.cluster.messages import member_name
from badgeryoke.gateway.cluster.transport.context import TransportContext
from badgeryoke.gateway.cluster.transport.frames import (
    MAX_ENVELOPE_OVERHEAD_BYTES,
    encode_batch,
    quoted,
    read_envelope,
)
from badgeryoke.gateway.cluster.transport.peer import Peer
from badgeryoke.gateway.connecting import dial

MIN_JITTER, MAX_JITTER = 0.5, 1.5  # factors of a backoff


class OutboundConnection:
    """Dials one peer while messages are queued for it."""

    def __init__(self, context: TransportContext, peer: Peer) -> None:
        self._context, self._peer = context, peer

    async def run(self, always_dial: bool = False) -> None:
        """Dial while messages are queued, and at least once with `always_dial`.

        Messages that were queued when an attempt failed are dropped: they are stale by the time the peer is back,
        and the layer above sends them again.
        """
        context, peer, limits = self._context, self._peer, self._context.limits
        loop = asyncio.get_running_loop()
        try:
            while (peer.queue.message_count or always_dial) and not context.closed:
                always_dial = False
                await self._wait_for_backoff()
                started_at_s = loop.time()
                finished = await self._connect_and_send()
                if loop.time() - started_at_s > limits.max_reconnect_backoff_s:
                    peer.reconnect_backoff_s = limits.min_reconnect_backoff_s
                if not finished:
                    peer.back_off(loop.time(), context.random.uniform(MIN_JITTER, MAX_JITTER))
        finally:
            peer.send_task = None

    async def _wait_for_backoff(self) -> None:
        peer = self._peer
        backoff_s = peer.reconnect_at_s - asyncio.get_running_loop().time()
        if backoff_s > 0.0:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(peer.reconnect_now.wait(), backoff_s)
        peer.reconnect_now.clear()

    async def _connect_and_send(self) -> bool:
        """Run one connection until it is closed; returns whether it was closed because it was idle."""
        context, peer = self._context, self._peer
        stream, connecting = dial(peer.address, context.stream_buffer_bytes)
        reading: asyncio.Task[None] | None = None
        try:
            self._set_user_timeout(stream)
            await asyncio.wait_for(connecting, context.limits.connect_timeout_s)
            if not await self._perform_handshake(stream):
                return False
            reading = context.start_task(self._read_answers(stream))
            return await self._send_until_idle(stream)
        except (OSError, StreamClosedError, TimeoutError):
            return False
        finally:
            peer.connected = False
            if reading is not None:
                reading.cancel()
            stream.close()

    def _set_user_timeout(self, stream: IOStream) -> None:
        """Make the kernel close a connection whose packets are not acknowledged."""
        timeout_ms = int(self._context.limits.stall_timeout_s * 1000)
        with contextlib.suppress(OSError):  # the heartbeat detects it as well, but later
            stream.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)

    async def _perform_handshake(self, stream: IOStream) -> bool:
        """Send the handshake and check the answer; returns whether the expected peer has answered."""
        context, peer, limits = self._context, self._peer, self._context.limits
        await asyncio.wait_for(stream.write(context.handshake(peer.name)), limits.handshake_timeout_s)
        answer = await asyncio.wait_for(
            read_envelope(stream, limits.max_frame_bytes, context.cluster, peer.name),
            limits.handshake_timeout_s,
        )
        if not isinstance(answer, ClusterError) and member_name(answer.sender) != peer.name:
            answer = ClusterMismatch(peer.name, f"{quoted(answer.sender)} answered at its address")
        if isinstance(answer, ClusterError):
            context.errors.report(answer)
            return False
        peer.connection_opened(answer.sender, asyncio.get_running_loop().time())
        return True

    async def _send_until_idle(self, stream: IOStream) -> bool:
        """Send queued messages; returns True once the connection is idle, False if it has failed."""
        context, peer = self._context, self._peer
        while not stream.closed():
            to, bodies = peer.queue.next_batch()
            if not bodies:
                peer.work_available.clear()
                if peer.idle:
                    return True
                await peer.work_available.wait()
                await asyncio.sleep(0)  # lets other messages of this event loop iteration join the frame
                continue
            if to not in (peer.member_id, peer.name, f"{peer.name}/"):
                peer.queue.dropped_count += len(bodies)
                context.errors.report(StaleIncarnation(to, f"it was replaced by {peer.member_id}"))
                continue
            frame = encode_batch(context.cluster, context.member_id, to, bodies)
            if self._heartbeat_timed_out():
                return False
            await self._write(stream, frame + self._heartbeat_if_due())
            peer.sent_count += len(bodies)
            peer.last_sent_at_s = asyncio.get_running_loop().time()
        return False

    async def _write(self, stream: IOStream, data: bytes) -> None:
        """Write to the stream.  Raises TimeoutError if the peer does not read."""
        written = stream.write(data)
        if not written.done():
            await asyncio.wait_for(written, self._context.limits.stall_timeout_s)

    # Writes to a half-open connection succeed although the peer is gone; an unanswered heartbeat detects that.

    def _heartbeat_if_due(self) -> bytes:
        """The frame of a heartbeat; empty if one is unanswered or none is due."""
        peer, now_s = self._peer, asyncio.get_running_loop().time()
        if peer.heartbeat_sent_at_s is not None or now_s < peer.next_heartbeat_at_s:
            return b""
        peer.heartbeat_sent_at_s = now_s
        peer.next_heartbeat_at_s = now_s + self._context.limits.heartbeat_interval_s
        return self._context.handshake(peer.name)

    def _heartbeat_timed_out(self) -> bool:
        sent_at_s = self._peer.heartbeat_sent_at_s
        if sent_at_s is None:
            return False
        return asyncio.get_running_loop().time() - sent_at_s > self._context.limits.stall_timeout_s

    async def _read_answers(self, stream: IOStream) -> None:
        """Read the peer's answers to heartbeats until the connection is closed."""
        context, peer = self._context, self._peer
        with contextlib.suppress(StreamClosedError, StreamBufferFullError):
            while not isinstance(
                answer := await read_envelope(
                    stream, MAX_ENVELOPE_OVERHEAD_BYTES, context.cluster, peer.name
                ),
                ClusterError,
            ):
                peer.heartbeat_sent_at_s = None
            context.errors.report(answer)
        stream.close()
        peer.work_available.set()
