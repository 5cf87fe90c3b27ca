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
    """The actor that a connection reports to; the handlers run as messages in its mailbox."""

    def post(self, handler: Callable[..., None], *args: Any) -> None:
        """Leave a message (`Actor.post`, whose handlers take what they will)."""

    def deliver(self, handler: Callable[..., None], *args: Any) -> None:
        """The same from a callback of the event loop (`Actor.deliver`)."""

    def connection_opened(self, connection: CounterConnection) -> None:
        """The connection is established."""

    def data_received(self, connection: CounterConnection, data: bytes) -> None:
        """Bytes of replies have arrived."""

    def connection_closed(self, connection: CounterConnection) -> None:
        """The connection has ended, or was never established."""


class CounterCall:
    """One call, from its making to its only verdict."""

    __slots__ = ("data", "name", "on_reply", "started_at_ms")

    def __init__(
        self, name: int, data: bytes, started_at_ms: float, on_reply: Callable[[CounterReply], None]
    ) -> None:
        self.name, self.data, self.started_at_ms = name, data, started_at_ms
        # None once it has its verdict: after a timeout its reply is still matched, and ignored.
        self.on_reply: Callable[[CounterReply], None] | None = on_reply

    @property
    def ended(self) -> bool:
        """Whether it has its verdict."""
        return self.on_reply is None


class CounterConnection:
    """A connection and the calls written to it, oldest first.  Only its owner uses it."""

    def __init__(self, owner: ConnectionOwner, address: Address) -> None:
        """Start to connect; raises OSError where no socket can be made."""
        self.address = address
        self.in_flight: deque[CounterCall] = deque()  # given to the stream: some of them may be sent
        self.parser = RespParser(max_items=1, max_depth=1, max_line_bytes=MAX_REPLY_LINE_BYTES)
        self.established = self.has_answered = False
        self.last_read_at_ms = self.established_at_ms = 0.0
        self.stream, connected = dial(address, MAX_BUFFERED_BYTES)
        on_close(self.stream, lambda: owner.post(owner.connection_closed, self))
        self._task = asyncio.ensure_future(self._run(owner, connected))

    async def _run(self, owner: ConnectionOwner, connected: asyncio.Future[IOStream]) -> None:
        """Connect and read until the connection ends; its close callback reports every end."""
        try:
            await connected
        except (StreamClosedError, OSError):
            self.stream.close()
            return
        owner.deliver(owner.connection_opened, self)
        await pump(self.stream, lambda data: owner.deliver(owner.data_received, self, data))

    def is_unusable(self) -> bool:
        """Whether the counter has closed it, which the event loop may not have reported yet, or has sent
        something without a call in flight, which would be taken for the next call's reply.

        A counter closes idle connections.  A call written into that close would end as one that may have
        been counted, though it never was, and its units would be reported nowhere.
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
        """Whether a reply has begun, its call has timed out, and no byte has come since for a timeout.

        Such a reply would hold back all replies behind it.
        """
        return bool(
            self.in_flight
            and self.in_flight[0].ended
            and not self.parser.is_idle
            and now_ms - self.last_read_at_ms >= timeout_ms
        )

    def is_silent(self, now_ms: float, silence_timeout_ms: float) -> bool:
        """Whether a call is in flight and nothing has come for the silence timeout."""
        return bool(
            self.in_flight
            and now_ms - max(self.last_read_at_ms, self.in_flight[0].started_at_ms) > silence_timeout_ms
        )
