"""One peer: its send queue, and the state of the connection to it.  All times are on the event loop's clock."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TypedDict

from badgeryoke.cluster.messages import MemberId
from badgeryoke.gateway.cluster.transport.limits import TransportLimits
from badgeryoke.gateway.cluster.transport.send_queue import SendQueue

Address = tuple[str, int]  # host and port, in the form of the socket module


class PeerStatus(TypedDict):
    """One peer in the operators' `status`."""

    up: bool
    waiting: int
    sent: int
    lost: int


@dataclass(slots=True)
class Peer:
    """Another member of the cluster."""

    name: str
    address: Address
    limits: TransportLimits
    queue: SendQueue = field(init=False)
    sent_count: int = 0
    member_id: MemberId = ""  # the peer's id with its incarnation, from its last handshake
    connected: bool = False  # whether this member's connection to it is open
    idle: bool = False  # whether the connection has to be closed as idle
    heartbeat_sent_at_s: float | None = None  # None if none is unanswered
    next_heartbeat_at_s: float = 0.0
    last_sent_at_s: float = 0.0
    reconnect_backoff_s: float = 0.0
    reconnect_at_s: float = 0.0
    work_available: asyncio.Event = field(default_factory=asyncio.Event)
    reconnect_now: asyncio.Event = field(default_factory=asyncio.Event)  # set when the peer has dialled
    send_task: asyncio.Task[None] | None = None

    def __post_init__(self) -> None:
        self.queue = SendQueue(self.limits)

    def enqueue(self, to: MemberId, body: bytes, low_priority: bool) -> None:
        """Queue an encoded message, and wake the send task."""
        self.queue.add(to, body, low_priority)
        self.work_available.set()

    def connection_opened(self, member_id: MemberId, now_s: float) -> None:
        """Record a new connection, once its handshake was answered."""
        self.connected, self.member_id = True, member_id
        self.heartbeat_sent_at_s, self.next_heartbeat_at_s = None, 0.0
        self.last_sent_at_s, self.idle = now_s, False

    def check_idle(self, now_s: float) -> None:
        """Have the connection closed if nothing was sent over it for `idle_timeout_s`."""
        if (
            self.connected
            and not self.queue.message_count
            and now_s - self.last_sent_at_s > self.limits.idle_timeout_s
        ):
            self.idle = True
            self.work_available.set()

    def end_backoff(self) -> None:
        """Dial at once: the peer has dialled, so it is reachable and waits for answers."""
        if not self.connected:
            self.reconnect_backoff_s = self.reconnect_at_s = 0.0
            self.reconnect_now.set()

    def back_off(self, now_s: float, jitter: float) -> None:
        """Handle a failed connection: drop queued messages, and double the backoff before the next attempt."""
        self.queue.drop_all()
        self.reconnect_backoff_s = min(
            max(self.reconnect_backoff_s * 2, self.limits.min_reconnect_backoff_s),
            self.limits.max_reconnect_backoff_s,
        )
        self.reconnect_at_s = now_s + self.reconnect_backoff_s * jitter

    def status(self) -> PeerStatus:
        """For operators."""
        return {
            "up": self.connected,
            "waiting": self.queue.message_count,
            "sent": self.sent_count,
            "lost": self.queue.dropped_count,
        }
