"""The second address: each connection carries one line and gets one answer, however busy the gateway is."""

from __future__ import annotations

import asyncio
import socket
from typing import Protocol

# Callers at once; at the bound the oldest gives way.  Their descriptors lie beside those that links may have.
MOST_CALLERS = 16
FLEET_CALLERS = 48  # instead, where the fleet is on: its calls may wait 2 s for a leader
MOST_LINE = 256  # bytes of a call
FLEET, MOST_FLEET_LINE = b"FLEET ", 64 * 1024
CALL_S = 5.0  # for a caller to finish its line: they wait 1 s for the answer themselves
LINGER_S = 0.5  # for a caller to fetch its answer and close


class AdminOperations(Protocol):
    """What the operators may ask of a gateway."""

    def status(self) -> tuple[bool, str]:
        """Whether this process can serve, and a word on where it stands."""

    def pause(self) -> str:
        """Send clients away; gives why not, or nothing."""

    def resume(self) -> str:
        """Back to work; gives why not, or nothing."""

    def metrics(self) -> str:
        """The figures, one a line."""

    @property
    def fleet_on(self) -> bool:
        """Whether this gateway has a share in a fleet."""

    async def fleet_call(self, call: bytes) -> bytes:
        """The line that answers a FLEET call, given the rest of its own."""


def answer(gateway: AdminOperations, line: bytes) -> bytes:
    """What a line gets."""
    word = line.strip()
    if word == b"STATUS":
        good, said = gateway.status()
        return b"%b %b\n" % (b"+OK" if good else b"-ERR", said.encode())
    if word == b"METRICS":
        return b"+OK\n" + gateway.metrics().encode() + b".\n"
    if word in (b"PAUSE", b"RESUME"):
        why_not = gateway.pause() if word == b"PAUSE" else gateway.resume()
        return b"-ERR %b\n" % why_not.encode() if why_not else b"+OK\n"
    if not word:
        return b"-ERR empty line\n"
    return b"-ERR unknown call; known are STATUS, METRICS, PAUSE, RESUME, FLEET\n"


class AdminServer:
    """Listens for the operators.

    By asyncio's own streams: Tornado's IOStream closes both ways where a caller closes its side behind the
    line, as `nc -N` does, and the answer is lost with it.
    """

    def __init__(self, gateway: AdminOperations) -> None:
        self._gateway = gateway
        self._server: asyncio.Server | None = None
        self._callers: dict[asyncio.StreamWriter, None] = {}  # oldest first
        self._ended = False

    async def serve(self, listening: list[socket.socket]) -> None:
        """Take calls on sockets that listen already."""
        for one in listening:
            self._server = await asyncio.start_server(self._called, sock=one, limit=MOST_LINE)
        if self._ended:
            self.end()

    async def _called(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while len(self._callers) >= (FLEET_CALLERS if self._gateway.fleet_on else MOST_CALLERS):
            oldest = next(iter(self._callers))
            del self._callers[oldest]
            oldest.transport.abort()
        self._callers[writer] = None
        try:
            writer.write(await asyncio.wait_for(self._answer(reader), CALL_S))
            # Our side first: closed whole with bytes unread, the connection would be reset with the answer.
            writer.write_eof()
            await asyncio.wait_for(reader.read(), LINGER_S)
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            pass  # it has gone, or had its time
        finally:
            self._callers.pop(writer, None)
            writer.close()

    async def _answer(self, reader: asyncio.StreamReader) -> bytes:
        try:
            line = await reader.readuntil(b"\n")
        except asyncio.LimitOverrunError as fault:
            line = await reader.readexactly(fault.consumed)
            while line.startswith(FLEET) and b"\n" not in line and len(line) <= MOST_FLEET_LINE:
                if not (more := await reader.read(4096)):
                    break
                line += more
            line, end, _ = line.partition(b"\n")
            if not (end and line.startswith(FLEET) and len(line) <= MOST_FLEET_LINE):
                return b"-ERR line too long\n"
        if line.startswith(FLEET) or line.strip() == FLEET.strip():
            return await self._gateway.fleet_call(line[len(FLEET) :].strip())
        return answer(self._gateway, line)

    def end(self) -> None:
        """The process ends."""
        self._ended = True
        if self._server is not None:
            self._server.close()
        for writer in list(self._callers):
            writer.transport.abort()
