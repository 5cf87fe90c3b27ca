"""RESP2 for the emulator, implemented independently of the gateway, so that the tests find faults in its parser."""

from __future__ import annotations

import asyncio

MAX_BUFFERED_BYTES = 4 * 1024 * 1024  # of incomplete values on a connection; more than that closes it


class RespError(Exception):
    """The input is not RESP2."""


def encode_command(*parts: bytes) -> bytes:
    """Encode a command as an array of bulk strings."""
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


class RespConnection(asyncio.Protocol):
    """A connection that reads whole RESP2 values: bytes, None, lists, or an error or status line as str."""

    def __init__(self) -> None:
        self._buffer = b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport and notify the subclass."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.connected()

    def data_received(self, data: bytes) -> None:
        """Pass each complete value to `value_received`; invalid or oversized input ends the connection."""
        self._buffer += data
        offset = 0
        try:
            while offset < len(self._buffer):
                parsed = _parse_value(self._buffer, offset)
                if parsed is None:
                    break
                value, offset = parsed
                self.value_received(value)
        except (RespError, ValueError, IndexError):
            self.abort()
            return
        self._buffer = self._buffer[offset:]
        if len(self._buffer) > MAX_BUFFERED_BYTES:
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the subclass that the connection is closed."""
        self.transport = None
        self.disconnected()

    def write(self, data: bytes) -> None:
        """Write if the connection is still open."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def abort(self) -> None:
        """Abort the connection."""
        if self.transport is not None:
            self.transport.abort()

    def connected(self) -> None:
        """Called when the connection is open."""

    def value_received(self, value: object) -> None:
        """Called with each complete value."""

    def disconnected(self) -> None:
        """Called when the connection is closed."""


def _parse_value(data: bytes, offset: int) -> tuple[object, int] | None:
    """The value at an offset and the offset after it; None while the value is incomplete."""
    end = data.find(b"\r\n", offset)
    if end < 0:
        return None
    kind, rest = data[offset : offset + 1], data[offset + 1 : end]
    offset = end + 2
    if kind == b"$":
        length = int(rest)
        if length < 0:
            return None if length < -1 else (None, offset)
        if len(data) < offset + length + 2:
            return None
        return data[offset : offset + length], offset + length + 2
    if kind == b"*":
        items: list[object] = []
        for _ in range(int(rest)):
            parsed = _parse_value(data, offset) if offset < len(data) else None
            if parsed is None:
                return None
            items.append(parsed[0])
            offset = parsed[1]
        return items, offset
    if kind in (b"-", b"+"):
        return (kind + rest).decode(), offset
    raise RespError(kind)
