"""A long value on its way from a server to a client: what is held between the two links.  No I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

WINDOW = 128 * 1024  # bytes that one relay holds at most, ...
WINDOW_LEAST = 4 * 1024  # ... and however many are open, one must move


class BufferBudget:
    """The gateway's bound on bytes of long values, shared out over the relays that are open."""

    def __init__(self, most: int) -> None:
        self._most = most
        self.open = 0

    @property
    def window(self) -> int:
        """What one relay may hold now."""
        return max(min(self._most // max(self.open, 1), WINDOW), WINDOW_LEAST)


class ResponseStream:
    """One value.  The server link puts in and ends it; the client link takes out."""

    def __init__(self, length: int, room: BufferBudget) -> None:
        self.length, self._room = length, room
        self._pieces: deque[bytes] = deque()
        self.held = 0
        self.whole = False  # the last byte and the value's own line end have come
        self.broken = False  # it will never be whole
        self.on_piece: Callable[[], None] | None = None  # set by the client link: something changed
        self.on_room: Callable[[], None] | None = None  # set by the server link: more may come
        self.on_drained: Callable[[], None] | None = None  # set by the core: the client has it all
        self._closed = False
        room.open += 1

    @property
    def full(self) -> bool:
        """Whether the server's connection is to be left unread for now."""
        return self.held >= self._room.window and not self.broken

    def put(self, piece: bytes) -> None:
        """The next bytes of the value."""
        if not self.broken:
            self._pieces.append(piece)
            self.held += len(piece)
            self._tell()

    def end(self) -> None:
        """All of it has come."""
        if not self.broken:
            self.whole = True
            self._close()
            self._tell()

    def fail(self) -> None:
        """It breaks off here: what is held is of no use, and the client must be able to tell."""
        if not self.whole and not self.broken:
            self.broken = True
            self._drop()
            self._tell()

    def leave(self) -> None:
        """Nobody takes any more."""
        self.broken = True
        self._drop()
        self.on_piece = None
        self._more()

    def take(self, most: int) -> bytes:
        """Up to so many bytes, for the client."""
        out: list[bytes] = []
        size = 0
        while self._pieces and size < most:
            piece = self._pieces.popleft()
            if len(piece) > most - size:
                self._pieces.appendleft(piece[most - size :])
                piece = piece[: most - size]
            out.append(piece)
            size += len(piece)
        self.held -= size
        if size and not self.full:
            self._more()
        return b"".join(out)

    def drained(self) -> None:
        """The client's connection has taken the last byte."""
        if self.on_drained is not None:
            done, self.on_drained = self.on_drained, None
            done()

    def _drop(self) -> None:
        self._pieces.clear()
        self.held = 0
        self._close()

    def _close(self) -> None:
        if not self._closed:
            self._closed = True
            self._room.open -= 1

    def _tell(self) -> None:
        if self.on_piece is not None:
            self.on_piece()

    def _more(self) -> None:
        if self.on_room is not None:
            self.on_room()
