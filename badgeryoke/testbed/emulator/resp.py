"""RESP2 for the emulator, implemented independently of the gateway, so that the tests find faults in its parser."""

from __future__ import annotations

import asyncio

MOST_HELD = 4 * 1024 * 1024  # of incomplete values on a connection; more than that closes it


class Broken(Exception):
    """The input is not RESP2."""


def words(*parts: bytes) -> bytes:
    """Encode a command as an array of bulk strings."""
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


class Peer(asyncio.Protocol):
    """A connection that reads whole RESP2 values: bytes, None, lists, or an error or status line as str."""

    def __init__(self) -> None:
        self._held = b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport and notify the subclass."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.begun()

    def data_received(self, data: bytes) -> None:
        """Pass each complete value to `value_received`; invalid or oversized input ends the connection."""
        self._held += data
        at = 0
        try:
            while at < len(self._held):
                found = _value(self._held, at)
                if found is None:
                    break
                value, at = found
                self.got(value)
        except (Broken, ValueError, IndexError):
            self.end()
            return
        self._held = self._held[at:]
        if len(self._held) > MOST_HELD:
            self.end()

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the subclass that the connection is closed."""
        self.transport = None
        self.ended()

    def write(self, data: bytes) -> None:
        """Write if the connection is still open."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def end(self) -> None:
        """Abort the connection."""
        if self.transport is not None:
            self.transport.abort()

    def begun(self) -> None:
        """Called when the connection is open."""

    def got(self, value: object) -> None:
        """Called with each complete value."""

    def ended(self) -> None:
        """Called when the connection is closed."""


def _value(data: bytes, at: int) -> tuple[object, int] | None:
    """The value at an offset and the offset after it; None while the value is incomplete."""
    end = data.find(b"\r\n", at)
    if end < 0:
        return None
    kind, rest = data[at : at + 1], data[at + 1 : end]
    at = end + 2
    if kind == b"$":
        size = int(rest)
        if size < 0:
            return None if size < -1 else (None, at)
        if len(data) < at + size + 2:
            return None
        return data[at : at + size], at + size + 2
    if kind == b"*":
        items: list[object] = []
        for _ in range(int(rest)):
            found = _value(data, at) if at < len(data) else None
            if found is None:
                return None
            items.append(found[0])
            at = found[1]
        return items, at
    if kind in (b"-", b"+"):
        return (kind + rest).decode(), at
    raise Broken(kind)
