"""RESP2 codec: an incremental parser, and encoders for complete values."""

from __future__ import annotations

import re
from collections.abc import Iterable

MAX_NUMBER_DIGITS = 20  # including the sign
MAX_BULK_BYTES = 64 * 1024  # bound of a bulk string that is buffered completely
# Bound of a longer bulk string, which is streamed if the parser's owner allows it.
MAX_STREAMED_BYTES = 4 * 1024 * 1024


class _ProtocolError(Exception):
    """Stops parsing; never leaves the parser."""


class Status(bytes):
    """A simple string, such as `+OK`, without its type byte."""


class ErrorReply(bytes):
    """An error, such as `-BUSY 20`, without its type byte."""


class StreamedValue(bytes):
    """Empty placeholder for a long value that was streamed."""


Value = bytes | int | None | list["Value"]


class RespParser:
    """Incremental parser: accepts bytes as they arrive and returns the values that are complete.

    Each byte is scanned once, however small the pieces: items of an incomplete array are kept.  If the input is
    not RESP2 or exceeds a bound, `fault` is set to the reason; values completed before the fault are still
    returned, and nothing after it is parsed.
    """

    def __init__(
        self,
        max_bulk_bytes: int = MAX_BULK_BYTES,
        max_items: int = 16,
        max_depth: int = 2,
        max_line_bytes: int = 1024,
        max_array_bytes: int = 2 * MAX_BULK_BYTES,
        max_streamed_bytes: int = 0,
    ) -> None:
        self._max_bulk_bytes, self._max_items = max_bulk_bytes, max_items
        self._max_depth, self._max_line_bytes, self._max_array_bytes = (
            max_depth,
            max_line_bytes,
            max_array_bytes,
        )
        self._buffer = bytearray()
        self._bulk_length: int | None = None  # length of the bulk string being parsed
        self._open_arrays: list[tuple[int, list[Value]]] = []  # incomplete arrays: item count, items so far
        self._array_bytes = 0  # bytes of bulk strings in the array being parsed
        self._scanned = 0  # bytes of the buffer known to contain no line end
        self.fault = ""
        # Streamed value: the first item of an outermost array, if longer than max_bulk_bytes.
        self._max_streamed_bytes = max_streamed_bytes
        self._stream_remaining: int | None = None  # bytes of the streamed value not yet received
        self.stream_length = 0  # its length, from its header until reset_stream()
        self.stream_complete = False  # its line end has been received
        self.stream_pieces: list[bytes] = []  # its received pieces; the owner removes them

    @property
    def is_idle(self) -> bool:
        """Whether no value is partly parsed."""
        return not self._buffer and not self._open_arrays and self._bulk_length is None

    @property
    def buffered_bytes(self) -> int:
        """Bytes buffered of incomplete values."""
        complete_items_bytes = self._array_bytes - (self._bulk_length or 0) if self._open_arrays else 0
        return len(self._buffer) + complete_items_bytes

    @property
    def announced_bytes(self) -> int:
        """The size of the value being parsed, as far as its lengths have been received."""
        return 0 if self.is_idle else self._array_bytes

    def reset_stream(self) -> None:
        """Clear the state of a streamed value once its owner has handled it."""
        self.stream_length, self.stream_complete = 0, False

    def feed(self, data: bytes) -> list[Value]:
        """Parse data and return the values that it completes."""
        values: list[Value] = []
        if not self.fault:
            try:
                if not self._buffer and not self._open_arrays and self._bulk_length is None:
                    data = data[self._read_complete_commands(data, values) :]
                    if not data:
                        return values
                self._read(data, values)
            except _ProtocolError as fault:
                self.fault = str(fault)
                self._buffer.clear()
                self._open_arrays.clear()
        return values

    def _read_complete_commands(self, data: bytes, values: list[Value]) -> int:
        """Fast path for complete arrays of bulk strings; returns the number of bytes consumed.

        Anything else, or anything that exceeds a bound, is left to the general parser.  In the byte comparisons,
        42 is "*" and 36 is "$".
        """
        consumed, size, find = 0, len(data), data.find
        while consumed < size:
            end = find(b"\r\n", consumed, consumed + 6)
            digits = data[consumed + 1 : end]
            if (
                end < 0
                or data[consumed] != 42
                or not digits.isdigit()
                or not 0 < int(digits) <= self._max_items
            ):
                break
            items: list[Value] = []
            offset, total = end + 2, 0
            for _ in range(int(digits)):
                end = find(b"\r\n", offset, offset + 10)
                length = data[offset + 1 : end]
                if end < 0 or data[offset] != 36 or not length.isdigit():
                    return consumed
                offset = end + 2 + int(length)
                total += int(length)
                if (
                    int(length) > self._max_bulk_bytes
                    or total > self._max_array_bytes
                    or data[offset : offset + 2] != b"\r\n"
                ):
                    return consumed
                items.append(data[end + 2 : offset])
                offset += 2
            values.append(items)
            consumed = offset
        return consumed

    def _read(self, data: bytes, values: list[Value]) -> None:
        buffer = self._buffer
        buffer += data
        offset = 0
        while True:
            value: Value
            if self._stream_remaining is not None:
                if piece := bytes(buffer[offset : offset + self._stream_remaining]):
                    self.stream_pieces.append(piece)
                    self._stream_remaining -= len(piece)
                    offset += len(piece)
                if self._stream_remaining or len(buffer) - offset < 2:
                    break
                if buffer[offset : offset + 2] != b"\r\n":
                    raise _ProtocolError("bulk string without its line end")
                value, self._stream_remaining, self.stream_complete, offset = (
                    StreamedValue(),
                    None,
                    True,
                    offset + 2,
                )
            elif self._bulk_length is not None:
                end = offset + self._bulk_length
                if len(buffer) < end + 2:
                    break
                if buffer[end : end + 2] != b"\r\n":
                    raise _ProtocolError("bulk string without its line end")
                value = bytes(buffer[offset:end])
                self._bulk_length, offset = None, end + 2
            else:
                end = buffer.find(b"\r\n", max(offset, self._scanned))
                if end - offset > self._max_line_bytes or (
                    end < 0 and len(buffer) - offset > self._max_line_bytes
                ):
                    raise _ProtocolError("line too long")
                if end < 0:
                    self._check_partial_line(bytes(buffer[offset : offset + MAX_NUMBER_DIGITS + 2]))
                    self._scanned = max(len(buffer) - 1, offset)
                    break
                kind, line, offset = buffer[offset : offset + 1], bytes(buffer[offset + 1 : end]), end + 2
                self._scanned = offset
                if kind == b"$":
                    first = len(self._open_arrays) == 1 and not self._open_arrays[0][1]
                    maximum = (
                        self._max_streamed_bytes
                        if first and self._max_streamed_bytes
                        else self._max_bulk_bytes
                    )
                    length = self._parse_length(line, maximum)
                    if length > self._max_bulk_bytes:
                        self.stream_length = self._stream_remaining = length
                        continue
                    if length >= 0:
                        # The sum is bounded too: many strings at their bound would be buffered until the last
                        # one is complete.
                        self._array_bytes = self._array_bytes + length if self._open_arrays else length
                        if self._array_bytes > self._max_array_bytes:
                            raise _ProtocolError("too large as a whole")
                        self._bulk_length = length
                        continue
                    value = None
                elif kind == b"*":
                    count = self._parse_length(line, self._max_items)
                    if count > 0:
                        if len(self._open_arrays) >= self._max_depth:
                            raise _ProtocolError("arrays too deep")
                        self._open_arrays.append((count, []))
                        continue
                    value = [] if count == 0 else None
                elif kind == b"+":
                    value = Status(line)
                elif kind == b"-":
                    value = ErrorReply(line)
                elif kind == b":":
                    value = self._parse_integer(line)
                else:
                    raise _ProtocolError("unknown type byte")
            while self._open_arrays:
                count, items = self._open_arrays[-1]
                items.append(value)
                if len(items) < count:
                    break
                self._open_arrays.pop()
                value = items
            else:
                values.append(value)
                self._array_bytes = 0
        del buffer[:offset]
        self._scanned = max(self._scanned - offset, 0)

    @staticmethod
    def _check_partial_line(line: bytes) -> None:
        """Check an incomplete line, so that malformed input is detected before its line end arrives."""
        kind, rest = line[:1], line[1:].rstrip(b"\r")
        if kind and kind not in b"+-:$*":
            raise _ProtocolError("unknown type byte")
        if (
            kind
            and kind in b":$*"
            and (len(rest) > MAX_NUMBER_DIGITS or rest.strip(b"0123456789") not in (b"", b"-", b"+"))
        ):
            raise _ProtocolError("number expected")

    @staticmethod
    def _parse_integer(line: bytes) -> int:
        digits = line[1:] if line[:1] in (b"-", b"+") else line
        if not digits.isdigit() or len(digits) > 19:
            raise _ProtocolError("number expected")
        return int(line)

    def _parse_length(self, line: bytes, maximum: int) -> int:
        length = self._parse_integer(line)
        if length < -1 or length > maximum:
            raise _ProtocolError("length out of bounds")
        return length


def command(arguments: Iterable[bytes]) -> bytes:
    """Encode a command: an array of bulk strings."""
    parts = [b"$%d\r\n%b\r\n" % (len(argument), argument) for argument in arguments]
    return b"*%d\r\n%b" % (len(parts), b"".join(parts))


def bulk(value: bytes) -> bytes:
    """Encode a bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def error(text: str) -> bytes:
    """Encode an error; line ends in the text become spaces."""
    return b"-%b\r\n" % " ".join(text.split()).encode("ascii", "replace")


NUMBER_PATTERN = re.compile(r"\d{1,12}(\.\d{1,12})?")


def parse_number(text: str, maximum: float) -> float:
    """Parse a plain decimal number from 0 to `maximum`; raises ValueError.

    float() alone would also accept nan, inf, signs, blanks and underscores.
    """
    if not NUMBER_PATTERN.fullmatch(text) or float(text) > maximum:
        raise ValueError(f"expected a number up to {maximum:g}")
    return float(text)


def parse_integer(text: str, maximum: int) -> int:
    """Parse an integer from 0 to `maximum`, digits only; raises ValueError."""
    if not text.isascii() or not text.isdigit() or len(text) > 12 or int(text) > maximum:
        raise ValueError(f"expected a whole number up to {maximum}")
    return int(text)


def parse_pairs(text: bytes) -> dict[str, str]:
    """Parse comma-separated name=value pairs; raises ValueError, also for a repeated name."""
    pairs: dict[str, str] = {}
    for part in text.decode("ascii").split(","):
        name, equals, value = part.partition("=")
        if not equals or not name or name in pairs:
            raise ValueError("expected name=value, each name once")
        pairs[name] = value
    return pairs
