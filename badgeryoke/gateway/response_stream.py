"""A long value on its way from a server to a client: what is buffered between the two connections.  No I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

MAX_WINDOW_BYTES = 128 * 1024  # that one stream buffers
MIN_WINDOW_BYTES = 4 * 1024  # however many streams are open, each must move


class BufferBudget:
    """The gateway's bound on buffered bytes of long values, shared out over the streams that are open."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self.open_streams = 0

    @property
    def window_bytes(self) -> int:
        """What one stream may buffer now."""
        share = self._max_bytes // max(self.open_streams, 1)
        return max(min(share, MAX_WINDOW_BYTES), MIN_WINDOW_BYTES)


class ResponseStream:
    """One value.  The upstream appends to it and finishes or aborts it; the client's connection reads it."""

    def __init__(self, length_bytes: int, budget: BufferBudget) -> None:
        self.length_bytes, self._budget = length_bytes, budget
        self._pieces: deque[bytes] = deque()
        self.buffered_bytes = 0
        self.complete = False  # the last byte and the value's own line end have come
        self.aborted = False  # it will never be complete
        self.on_change: Callable[[], None] | None = None  # set by the client's connection
        self.on_capacity: Callable[[], None] | None = None  # set by the upstream: more may come
        self.on_delivered: Callable[[], None] | None = None  # set by the dispatcher: the client has it all
        self._closed = False
        budget.open_streams += 1

    @property
    def full(self) -> bool:
        """Whether the server's connection is to be left unread for now."""
        return self.buffered_bytes >= self._budget.window_bytes and not self.aborted

    def append(self, piece: bytes) -> None:
        """The next bytes of the value."""
        if not self.aborted:
            self._pieces.append(piece)
            self.buffered_bytes += len(piece)
            self._notify_reader()

    def finish(self) -> None:
        """All of it has come."""
        if not self.aborted:
            self.complete = True
            self._close()
            self._notify_reader()

    def abort(self) -> None:
        """The server's side breaks off: what is buffered is of no use, and the client must be able to tell."""
        if not self.complete and not self.aborted:
            self.aborted = True
            self._discard()
            self._notify_reader()

    def cancel(self) -> None:
        """The client's side has gone: nobody reads any more."""
        self.aborted = True
        self._discard()
        self.on_change = None
        self._notify_writer()

    def read(self, max_bytes: int) -> bytes:
        """Up to so many bytes, for the client."""
        pieces: list[bytes] = []
        size = 0
        while self._pieces and size < max_bytes:
            piece = self._pieces.popleft()
            if len(piece) > max_bytes - size:
                self._pieces.appendleft(piece[max_bytes - size :])
                piece = piece[: max_bytes - size]
            pieces.append(piece)
            size += len(piece)
        self.buffered_bytes -= size
        if size and not self.full:
            self._notify_writer()
        return b"".join(pieces)

    def delivered(self) -> None:
        """The client's connection has taken the last byte."""
        if self.on_delivered is not None:
            on_delivered, self.on_delivered = self.on_delivered, None
            on_delivered()

    def _discard(self) -> None:
        self._pieces.clear()
        self.buffered_bytes = 0
        self._close()

    def _close(self) -> None:
        if not self._closed:
            self._closed = True
            self._budget.open_streams -= 1

    def _notify_reader(self) -> None:
        if self.on_change is not None:
            self.on_change()

    def _notify_writer(self) -> None:
        if self.on_capacity is not None:
            self.on_capacity()
