"""RESP2, read piece by piece and written whole."""

from __future__ import annotations

import re
from collections.abc import Iterable

MAX_NUMBER = 20  # digits of a number, with its sign
MAX_BULK = 64 * 1024  # of a value that is held whole; ...
MAX_LONG = 4 * 1024 * 1024  # ... a longer one, up to this, is given on in pieces where that is asked for


class _ProtocolError(Exception):
    """Ends the reading; it does not leave the parser."""


class Status(bytes):
    """A simple string, such as +OK."""


class ErrorReply(bytes):
    """An error line, such as -BUSY 20, without its sign."""


class Passed(bytes):
    """Stands, empty, where a long value stood that was given on in pieces."""


Value = bytes | int | None | list["Value"]


class RespParser:
    """Takes bytes as they come and gives the values that are whole.

    Each byte is looked at once, however small the pieces: what is read of an unfinished array is kept.
    Where the bytes are not RESP2, or pass a bound, fault says so; what was whole before it still counts, and
    nothing after it is read.
    """

    def __init__(
        self,
        max_bulk: int = MAX_BULK,
        max_items: int = 16,
        max_depth: int = 2,
        max_line: int = 1024,
        max_total: int = 2 * MAX_BULK,
        max_long: int = 0,
    ) -> None:
        self._max_bulk, self._max_items = max_bulk, max_items
        self._max_depth, self._max_line, self._max_total = max_depth, max_line, max_total
        self._buffer = bytearray()
        self._bulk: int | None = None  # length of the bulk string that is being read
        self._open: list[tuple[int, list[Value]]] = []  # arrays begun, and how many items each will have
        self._total = 0  # bytes of bulk strings in the array that is being read
        self._scanned = 0  # bytes of the buffer known to hold no line end
        self.fault = ""
        # A long value: the first of an outermost array, longer than max_bulk and up to max_long.
        self._max_long = max_long
        self._left: int | None = None  # bytes of it that are still to come
        self.long = 0  # its length, once its head has come, until forget_long()
        self.long_whole = False  # its own line end has come
        self.pieces: list[bytes] = []  # what has come of it; for the owner to take

    @property
    def idle(self) -> bool:
        """Whether nothing has been begun."""
        return not self._buffer and not self._open and self._bulk is None

    @property
    def held(self) -> int:
        """Bytes held of what has been begun."""
        return len(self._buffer) + (self._total if self._open else 0)

    def forget_long(self) -> None:
        """What was said of a long value has been taken note of."""
        self.long, self.long_whole = 0, False

    def feed(self, data: bytes) -> list[Value]:
        """The values that data completes."""
        whole: list[Value] = []
        if not self.fault:
            try:
                if not self._buffer and not self._open and self._bulk is None:
                    data = data[self._commands(data, whole) :]
                    if not data:
                        return whole
                self._read(data, whole)
            except _ProtocolError as fault:
                self.fault = str(fault)
                self._buffer.clear()
                self._open.clear()
        return whole

    def _commands(self, data: bytes, whole: list[Value]) -> int:
        """The usual case in few steps: arrays of bulk strings that came whole.  Gives how much was taken.

        What is anything else, or passes a bound, is left for the long way to read or to judge.
        """
        taken, size, find = 0, len(data), data.find
        while taken < size:
            end = find(b"\r\n", taken, taken + 6)
            digits = data[taken + 1 : end]
            if end < 0 or data[taken] != 42 or not digits.isdigit() or not 0 < int(digits) <= self._max_items:
                break
            words: list[Value] = []
            at, total = end + 2, 0
            for _ in range(int(digits)):
                end = find(b"\r\n", at, at + 10)
                length = data[at + 1 : end]
                if end < 0 or data[at] != 36 or not length.isdigit():
                    return taken
                at = end + 2 + int(length)
                total += int(length)
                if int(length) > self._max_bulk or total > self._max_total or data[at : at + 2] != b"\r\n":
                    return taken
                words.append(data[end + 2 : at])
                at += 2
            whole.append(words)
            taken = at
        return taken

    def _read(self, data: bytes, whole: list[Value]) -> None:
        buffer = self._buffer
        buffer += data
        at = 0
        while True:
            value: Value
            if self._left is not None:
                if piece := bytes(buffer[at : at + self._left]):
                    self.pieces.append(piece)
                    self._left -= len(piece)
                    at += len(piece)
                if self._left or len(buffer) - at < 2:
                    break
                if buffer[at : at + 2] != b"\r\n":
                    raise _ProtocolError("bulk string without its line end")
                value, self._left, self.long_whole, at = Passed(), None, True, at + 2
            elif self._bulk is not None:
                end = at + self._bulk
                if len(buffer) < end + 2:
                    break
                if buffer[end : end + 2] != b"\r\n":
                    raise _ProtocolError("bulk string without its line end")
                value = bytes(buffer[at:end])
                self._bulk, at = None, end + 2
            else:
                end = buffer.find(b"\r\n", max(at, self._scanned))
                if end - at > self._max_line or (end < 0 and len(buffer) - at > self._max_line):
                    raise _ProtocolError("line too long")
                if end < 0:
                    self._begun(bytes(buffer[at : at + MAX_NUMBER + 2]))
                    self._scanned = max(len(buffer) - 1, at)
                    break
                kind, line, at = buffer[at : at + 1], bytes(buffer[at + 1 : end]), end + 2
                self._scanned = at
                if kind == b"$":
                    first = len(self._open) == 1 and not self._open[0][1]
                    most = self._max_long if first and self._max_long else self._max_bulk
                    length = self._length(line, most)
                    if length > self._max_bulk:
                        self.long = self._left = length
                        continue
                    if length >= 0:
                        # Bounded as a sum too: many at the bound would be held until the last has come.
                        self._total = self._total + length if self._open else length
                        if self._total > self._max_total:
                            raise _ProtocolError("too large as a whole")
                        self._bulk = length
                        continue
                    value = None
                elif kind == b"*":
                    count = self._length(line, self._max_items)
                    if count > 0:
                        if len(self._open) >= self._max_depth:
                            raise _ProtocolError("arrays too deep")
                        self._open.append((count, []))
                        continue
                    value = [] if count == 0 else None
                elif kind == b"+":
                    value = Status(line)
                elif kind == b"-":
                    value = ErrorReply(line)
                elif kind == b":":
                    value = self._integer(line)
                else:
                    raise _ProtocolError("unknown type byte")
            while self._open:
                count, items = self._open[-1]
                items.append(value)
                if len(items) < count:
                    break
                self._open.pop()
                value = items
            else:
                whole.append(value)
                self._total = 0
        del buffer[:at]
        self._scanned = max(self._scanned - at, 0)

    @staticmethod
    def _begun(line: bytes) -> None:
        """Judge a line by what has come of it: noise must not have to end before it is told."""
        kind, rest = line[:1], line[1:].rstrip(b"\r")
        if kind and kind not in b"+-:$*":
            raise _ProtocolError("unknown type byte")
        if (
            kind
            and kind in b":$*"
            and (len(rest) > MAX_NUMBER or rest.strip(b"0123456789") not in (b"", b"-", b"+"))
        ):
            raise _ProtocolError("number expected")

    @staticmethod
    def _integer(line: bytes) -> int:
        digits = line[1:] if line[:1] in (b"-", b"+") else line
        if not digits.isdigit() or len(digits) > 19:
            raise _ProtocolError("number expected")
        return int(line)

    def _length(self, line: bytes, most: int) -> int:
        length = self._integer(line)
        if length < -1 or length > most:
            raise _ProtocolError("length out of bounds")
        return length


def command(words: Iterable[bytes]) -> bytes:
    """A command: an array of bulk strings."""
    parts = [b"$%d\r\n%b\r\n" % (len(word), word) for word in words]
    return b"*%d\r\n%b" % (len(parts), b"".join(parts))


def bulk(value: bytes) -> bytes:
    """One bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def error(words: str) -> bytes:
    """An error line; line ends inside are not let out."""
    return b"-%b\r\n" % " ".join(words.split()).encode("ascii", "replace")


NUMBER = re.compile(r"\d{1,12}(\.\d{1,12})?")


def number(text: str, most: float) -> float:
    """A plain decimal number from 0 to most; raises ValueError.  float() would take nan, inf, signs, blanks
    and underscores besides."""
    if not NUMBER.fullmatch(text) or float(text) > most:
        raise ValueError(f"expected a number up to {most:g}")
    return float(text)


def whole_number(text: str, most: int) -> int:
    """A whole number from 0 to most, in digits alone; raises ValueError."""
    if not text.isascii() or not text.isdigit() or len(text) > 12 or int(text) > most:
        raise ValueError(f"expected a whole number up to {most}")
    return int(text)


def pairs(text: bytes) -> dict[str, str]:
    """A list of names and values, name=value set apart by commas, each name once; raises ValueError."""
    found: dict[str, str] = {}
    for part in text.decode("ascii").split(","):
        name, equals, value = part.partition("=")
        if not equals or not name or name in found:
            raise ValueError("expected name=value, each name once")
        found[name] = value
    return found
