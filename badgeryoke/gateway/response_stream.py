"""The buffer of a streamed response between a server's and a client's connection.  No I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

MAX_WINDOW_BYTES = 128 * 1024  # bytes that one stream may buffer
MIN_WINDOW_BYTES = 4 * 1024  # lower bound, so that each stream makes progress, however many are open


class BufferBudget:
    """The gateway's bound on the bytes that response streams buffer, divided among the open streams."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self.open_streams = 0

    @property
    def window_bytes(self) -> int:
        """The number of bytes that one stream may buffer at present."""
        share = self._max_bytes // max(self.open_streams, 1)
        return max(min(share, MAX_WINDOW_BYTES), MIN_WINDOW_BYTES)


class ResponseStream:
    """One streamed value.  The upstream appends to it and finishes or aborts it; the client's connection reads it."""

    def __init__(self, length_bytes: int, budget: BufferBudget) -> None:
        self.length_bytes, self._budget = length_bytes, budget
        self._pieces: deque[bytes] = deque()
        self.buffered_bytes = 0
        self.complete = False  # the last byte and the value's line end have been received
        self.aborted = False  # the value will never be complete
        self.on_change: Callable[[], None] | None = None  # set by the client's connection
        self.on_capacity: Callable[[], None] | None = None  # set by the upstream: more bytes may be appended
        self.on_delivered: Callable[[], None] | None = None  # set by the dispatcher: the value is delivered
        self._closed = False
        budget.open_streams += 1

    @property
    def full(self) -> bool:
        """Whether the upstream has to stop reading from the server for now."""
        return self.buffered_bytes >= self._budget.window_bytes and not self.aborted

    @property
    def window_bytes(self) -> int:
        """The number of bytes that each side may buffer of this value at present."""
        return self._budget.window_bytes

    def append(self, piece: bytes) -> None:
        """Append the next bytes of the value."""
        if not self.aborted:
            self._pieces.append(piece)
            self.buffered_bytes += len(piece)
            self._notify_reader()

    def finish(self) -> None:
        """Mark the value as complete."""
        if not self.aborted:
            self.complete = True
            self._close()
            self._notify_reader()

    def abort(self) -> None:
        """Abort from the server's side: buffered bytes are discarded, and the client must be able to detect it."""
        if not self.complete and not self.aborted:
            self.aborted = True
            self._discard()
            self._notify_reader()

    def cancel(self) -> None:
        """Cancel from the client's side: the value is not read any further."""
        self.aborted = True
        self._discard()
        self.on_change = None
        self._notify_writer()

    def read(self, max_bytes: int) -> bytes:
        """Remove and return up to `max_bytes`, for the client."""
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
        """Report that the client's connection has taken the last byte."""
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
