"""One connection to the quota counter, and the pipelined calls that are in flight on it."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from tornado.iostream import IOStream, StreamClosedError

from badgeryoke.decisions.interface import CounterReply
from badgeryoke.gateway.address import Address
from badgeryoke.gateway.connecting import dial, on_close, pump
from badgeryoke.gateway.resp.codec import RespParser

MAX_BUFFERED_BYTES = 256 * 1024
MAX_REPLY_LINE_BYTES = 256


class ConnectionOwner(Protocol):
    """The actor to which a connection reports; the handlers run as messages in its mailbox."""

    def post(self, handler: Callable[..., None], *args: Any) -> None:
        """Post a message to the actor's mailbox (see `Actor.post`)."""

    def deliver(self, handler: Callable[..., None], *args: Any) -> None:
        """Post a message from a callback of the event loop (see `Actor.deliver`)."""

    def connection_opened(self, connection: CounterConnection) -> None:
        """Handle a connection that has been established."""

    def data_received(self, connection: CounterConnection, data: bytes) -> None:
        """Handle received bytes of replies."""

    def connection_closed(self, connection: CounterConnection) -> None:
        """Handle a connection that has ended or could not be established."""


class CounterCall:
    """One call to the counter; it ends with exactly one verdict."""

    __slots__ = ("data", "name", "on_reply", "started_at_ms")

    def __init__(
        self, name: int, data: bytes, started_at_ms: float, on_reply: Callable[[CounterReply], None]
    ) -> None:
        self.name, self.data, self.started_at_ms = name, data, started_at_ms
        # None once the call has its verdict: after a timeout its reply is still matched, but ignored.
        self.on_reply: Callable[[CounterReply], None] | None = on_reply

    @property
    def ended(self) -> bool:
        """Whether the call has its verdict."""
        return self.on_reply is None


class CounterConnection:
    """A connection and the calls in flight on it, used only by its owner."""

    def __init__(self, owner: ConnectionOwner, address: Address) -> None:
        """Start to connect; raises OSError if no socket can be created."""
        self.address = address
        self.in_flight: deque[CounterCall] = deque()  # written to the stream and possibly sent; oldest first
        self.parser = RespParser(max_items=1, max_depth=1, max_line_bytes=MAX_REPLY_LINE_BYTES)
        self.established = self.has_answered = False
        self.last_read_at_ms = self.established_at_ms = 0.0
        self.stream, connected = dial(address, MAX_BUFFERED_BYTES)
        on_close(self.stream, lambda: owner.post(owner.connection_closed, self))
        self._task = asyncio.ensure_future(self._run(owner, connected))

    async def _run(self, owner: ConnectionOwner, connected: asyncio.Future[IOStream]) -> None:
        """Connect, and read until the connection ends; the close callback reports its end to the owner."""
        try:
            await connected
        except (StreamClosedError, OSError):
            self.stream.close()
            return
        owner.deliver(owner.connection_opened, self)
        await pump(self.stream, lambda data: owner.deliver(owner.data_received, self, data))

    def is_unusable(self) -> bool:
        """Whether the counter has closed the connection or has sent unsolicited bytes.

        The event loop may not have reported the close yet.  A counter closes idle connections; a call written to
        such a connection would end as one that may have been counted, though it was not, and its units would never
        be reported.  Unsolicited bytes would be read as the reply to the next call.
        """
        if self.stream.closed():
            return True
        try:
            closed = not self.stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
            return closed or not self.in_flight
        except BlockingIOError:
            return False
        except OSError:
            return True

    def is_stuck_in_reply(self, now_ms: float, timeout_ms: float) -> bool:
        """Whether a reply is incomplete, its call has timed out, and no byte has been received for `timeout_ms`.

        Such a reply would delay all replies behind it.
        """
        return bool(
            self.in_flight
            and self.in_flight[0].ended
            and not self.parser.is_idle
            and now_ms - self.last_read_at_ms >= timeout_ms
        )

    def is_silent(self, now_ms: float, silence_timeout_ms: float) -> bool:
        """Whether a call is in flight and nothing has been received for `silence_timeout_ms`."""
        return bool(
            self.in_flight
            and now_ms - max(self.last_read_at_ms, self.in_flight[0].started_at_ms) > silence_timeout_ms
        )
