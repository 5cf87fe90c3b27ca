"""The queue of messages for one peer, bounded in number and bytes."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

import msgspec

from badgeryoke.cluster.messages import MemberId
from badgeryoke.gateway.cluster.transport.frames import MAX_ENVELOPE_OVERHEAD_BYTES
from badgeryoke.gateway.cluster.transport.limits import TransportLimits

_COMPACTION_FACTOR = 2  # removed messages are deleted from a deque beyond this multiple of the bound


@dataclass(slots=True)
class QueuedMessage:
    """An encoded message; `body` is empty after it was sent or dropped."""

    to: MemberId
    body: bytes
    low_priority: bool


@dataclass(slots=True)
class SendQueue:
    """A FIFO queue; beyond a bound the oldest low-priority message is dropped, else the oldest of all.

    A sent or dropped message stays in the deques with an empty body until it reaches their front, so that dropping from
    the middle takes constant time.
    """

    limits: TransportLimits
    messages: deque[QueuedMessage] = field(default_factory=deque)
    low_priority_messages: deque[QueuedMessage] = field(default_factory=deque)  # subset of `messages`
    message_count: int = 0
    size_bytes: int = 0
    dropped_count: int = 0  # messages dropped beyond a bound, or when a connection failed

    def add(self, to: MemberId, body: bytes, low_priority: bool) -> None:
        """Queue an encoded message."""
        message = QueuedMessage(to, body, low_priority)
        self.messages.append(message)
        if low_priority:
            self.low_priority_messages.append(message)
        self.message_count += 1
        self.size_bytes += len(body)
        while (
            self.message_count > self.limits.max_queued_messages
            or self.size_bytes > self.limits.max_queued_bytes
        ):
            self._drop_oldest()
        self._compact()

    def next_batch(self) -> tuple[MemberId, list[msgspec.Raw]]:
        """Remove the next messages to one member, up to one frame; returns the receiver and their bodies."""
        to = ""
        bodies: list[msgspec.Raw] = []
        size_bytes = MAX_ENVELOPE_OVERHEAD_BYTES
        while self.messages and len(bodies) < self.limits.max_batch_messages:
            message = self.messages[0]
            if message.body:
                fits = size_bytes + len(message.body) <= self.limits.max_frame_bytes
                if bodies and (message.to != to or not fits):
                    break
                to = message.to
                size_bytes += len(message.body)
                bodies.append(msgspec.Raw(message.body))
                self._remove(message)
            self.messages.popleft()
        if not self.message_count:
            self.low_priority_messages.clear()
        return to, bodies

    def drop_all(self) -> None:
        """Drop all queued messages."""
        self.dropped_count += self.message_count
        self.message_count = self.size_bytes = 0
        self.messages.clear()
        self.low_priority_messages.clear()

    def _drop_oldest(self) -> None:
        low_priority = self.low_priority_messages
        while low_priority and not low_priority[0].body:
            low_priority.popleft()
        remaining = (message for message in self.messages if message.body)
        self._remove(low_priority.popleft() if low_priority else next(remaining))
        self.dropped_count += 1

    def _remove(self, message: QueuedMessage) -> None:
        self.message_count -= 1
        self.size_bytes -= len(message.body)
        message.body = b""

    def _compact(self) -> None:
        """Delete removed messages, so that they do not fill the deques."""
        while self.messages and not self.messages[0].body:
            self.messages.popleft()
        max_length = _COMPACTION_FACTOR * self.limits.max_queued_messages
        if len(self.messages) > max_length:
            self.messages = deque(message for message in self.messages if message.body)
        if len(self.low_priority_messages) > max_length:
            self.low_priority_messages = deque(
                message for message in self.low_priority_messages if message.body
            )
