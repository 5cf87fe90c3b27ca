"""All connections of one member."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Mapping, Sequence
from random import Random

from badgeryoke.cluster.errors import BadFrame, ClusterError
from badgeryoke.cluster.messages import (
    Ack,
    AnyMessage,
    AppendEntries,
    MemberId,
    Nack,
    Ping,
    PingRequest,
    RequestVote,
    RequestVoteReply,
    member_name,
)
from badgeryoke.gateway.cluster.transport.context import TransportContext
from badgeryoke.gateway.cluster.transport.error_reporter import ErrorReporter
from badgeryoke.gateway.cluster.transport.frames import MAX_ENVELOPE_OVERHEAD_BYTES, encode_message
from badgeryoke.gateway.cluster.transport.inbound import InboundConnections
from badgeryoke.gateway.cluster.transport.limits import TransportLimits
from badgeryoke.gateway.cluster.transport.outbound import OutboundConnection
from badgeryoke.gateway.cluster.transport.peer import Address, Peer, PeerStatus

# Messages of these types are dropped first when a send queue is full: they are sent again soon, or are useless later.
_LOW_PRIORITY_TYPES = (Ping, Ack, PingRequest, Nack, RequestVote, RequestVoteReply)


class ClusterTransport:
    """Sends to and receives from all peers of one member.

    `on_messages` is called with the sender and the messages of one frame, `on_error` with each error, rate-limited.  A
    message to a member without an address in `addresses` is dropped.
    """

    def __init__(
        self,
        cluster: str,
        member_id: MemberId,
        addresses: Mapping[str, Address],
        on_messages: Callable[[MemberId, tuple[AnyMessage, ...]], None],
        on_error: Callable[[ClusterError], None],
        random: Random,
        limits: TransportLimits | None = None,
    ) -> None:
        self.limits = limits or TransportLimits()
        self._context = TransportContext(cluster, member_id, self.limits, ErrorReporter(on_error), random)
        self.peers = {
            name: Peer(name, address, self.limits)
            for name, address in addresses.items()
            if name != member_name(member_id)
        }
        self._inbound = InboundConnections(self._context, self.peers, on_messages)

    @property
    def inbound_connection_count(self) -> int:
        """The number of open connections that peers have dialled."""
        return self._inbound.connection_count

    def listen(self, sockets: Sequence[socket.socket]) -> None:
        """Accept connections on listening sockets."""
        self._inbound.listen(sockets)
        asyncio.get_running_loop().call_later(self.limits.idle_check_interval_s, self._check_idle)

    def dial_all(self) -> None:
        """Dial every peer: the leader of a group with a replica here may be in a long backoff since this member was
        unreachable, and being dialled ends it."""
        for peer in self.peers.values():
            self._start_sending(peer, always_dial=True)

    def send(self, to: MemberId, message: AnyMessage) -> None:
        """Queue a message; the messages of one event loop iteration are sent together."""
        peer = self.peers.get(member_name(to))
        if peer is None or self._context.closed:
            return
        body = encode_message(message)
        if len(body) + MAX_ENVELOPE_OVERHEAD_BYTES > self.limits.max_frame_bytes:
            tag = type(message).__struct_config__.tag
            self._context.errors.report(
                BadFrame(to, f"a {tag} message of {len(body)} bytes does not fit into a frame")
            )
            return
        peer.enqueue(to, body, _has_low_priority(message))
        self._start_sending(peer)

    def close(self) -> None:
        """Close all connections, drop queued messages and cancel the tasks; they end in the next iterations of the event
        loop."""
        self._context.closed = True
        self._inbound.stop_listening()
        self._context.cancel_tasks()
        self._inbound.close_connections()
        for peer in self.peers.values():
            peer.queue.drop_all()

    def status(self) -> dict[str, PeerStatus]:
        """For operators, by the peers' names."""
        return {peer.name: peer.status() for peer in self.peers.values()}

    def _start_sending(self, peer: Peer, always_dial: bool = False) -> None:
        if peer.send_task is None:
            connection = OutboundConnection(self._context, peer)
            peer.send_task = self._context.start_task(connection.run(always_dial))

    def _check_idle(self) -> None:
        """Have idle connections closed, periodically."""
        loop = asyncio.get_running_loop()
        for peer in self.peers.values():
            peer.check_idle(loop.time())
        if not self._context.closed:
            loop.call_later(self.limits.idle_check_interval_s, self._check_idle)


def _has_low_priority(message: AnyMessage) -> bool:
    is_heartbeat = isinstance(message, AppendEntries) and not message.entries
    return is_heartbeat or isinstance(message, _LOW_PRIORITY_TYPES)
