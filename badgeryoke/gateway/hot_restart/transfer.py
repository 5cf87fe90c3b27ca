"""Both ends of a hot restart's state transfer, over a Unix socket.  The old process listens; the new one requests
the state, restores it, and confirms that it serves.

new: TAKE version      old: STATE version checksum length, and the body; or ERR and the reason
new: SERVING           old: stops accepting clients; the connection stays open until the old process ends
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Protocol

from badgeryoke.decisions import state_snapshot

log = logging.getLogger(__name__)

STEP_TIMEOUT_S = 1.5  # timeout of each step of the peer; the new process has 6 s in total
MAX_SOCKET_PATH_BYTES = 100  # below the system's limit for a Unix socket's address
MAX_NAME_CHARACTERS = 32  # characters of a gateway's name in its socket's path
MAX_LINE_BYTES = 256
TAKE_LINE = b"TAKE %d\n" % state_snapshot.VERSION
SERVING_LINE = b"SERVING\n"
# The errors that end a transfer: a timeout, a lost connection, or a malformed answer.
TRANSFER_ERRORS = (TimeoutError, OSError, ValueError, EOFError, asyncio.LimitOverrunError)


class Predecessor(Protocol):
    """The sender's interface to its gateway."""

    def take_snapshot(self) -> state_snapshot.StateSnapshot | str:
        """The state, or why there is none."""

    def successor_ready(self, snapshot: state_snapshot.StateSnapshot) -> None:
        """Called when the successor serves from this snapshot."""


def socket_path(folder: str, name: str) -> Path:
    """The path at which a gateway of this name listens for its successor."""
    safe_name = "".join(character if character.isalnum() else "-" for character in name)[:MAX_NAME_CHARACTERS]
    return Path(folder) / f"badgeryoke-{safe_name}.sock"


@contextlib.contextmanager
def _short_path(path: Path) -> Iterator[str]:
    """The path in a form that fits a socket's address: through its folder's descriptor if it is too long."""
    if len(os.fsencode(path)) <= MAX_SOCKET_PATH_BYTES:
        yield str(path)
        return
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)


class SnapshotSender:
    """Listens for a successor and sends it the state; one successor at a time."""

    def __init__(self, path: Path, gateway: Predecessor) -> None:
        self._path, self._gateway = path, gateway
        self._server: asyncio.AbstractServer | None = None
        self._successor: asyncio.StreamWriter | None = None  # the connection of a successor that serves
        self._busy = False
        self.ready = False  # whether a successor can connect

    async def listen(self) -> None:
        """Listen at the path, atomically replacing an earlier socket there.  A failure is logged; a successor then
        starts without state."""
        temporary_path = self._path.with_suffix(f".{os.getpid()}")
        try:
            with _short_path(temporary_path) as short:
                self._server = await asyncio.start_unix_server(self._accept, short, limit=MAX_LINE_BYTES)
            temporary_path.replace(self._path)
            self.ready = True
        except OSError as error:
            log.warning("cannot listen for a successor, which will start without state: %s", error)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._busy:
            writer.write(b"ERR another successor is asking\n")
            writer.close()
            return
        self._busy = True
        try:
            if await self._transfer(reader, writer):
                self._successor = writer
                return
        except TRANSFER_ERRORS as error:
            log.warning(
                "state transfer to the successor failed, this process keeps serving: %s",
                error or "no answer in time",
            )
        self._busy = False
        writer.close()

    async def _transfer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Send the state; returns whether the successor serves, False if it was sent an error instead."""
        line = await asyncio.wait_for(reader.readuntil(b"\n"), STEP_TIMEOUT_S)
        if line != TAKE_LINE:
            writer.write(b"ERR this process hands over version %d\n" % state_snapshot.VERSION)
            return False
        snapshot = self._gateway.take_snapshot()
        if isinstance(snapshot, str):
            writer.write(b"ERR %b\n" % snapshot.encode())
            return False
        writer.write(state_snapshot.encode(snapshot))
        line = await asyncio.wait_for(reader.readuntil(b"\n"), STEP_TIMEOUT_S)
        if line != SERVING_LINE:
            raise ValueError(f"unexpected line {line[:40]!r}")
        self._gateway.successor_ready(snapshot)
        return True

    def close(self) -> None:
        """Close the sockets when the process ends; the path stays if a successor has taken it over."""
        if self._server is not None:
            self._server.close()
            if self._successor is None:
                self._path.unlink(missing_ok=True)
        if self._successor is not None:
            self._successor.close()


class SnapshotReceiver:
    """Requests the state of the old process."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._writer: asyncio.StreamWriter | None = None

    async def receive(self) -> state_snapshot.StateSnapshot | None:
        """The state, or None if it is unavailable; logs why, unless there is no old process."""
        try:
            with _short_path(self._path) as short:
                connecting = asyncio.open_unix_connection(short)
                reader, writer = await asyncio.wait_for(connecting, STEP_TIMEOUT_S)
            self._reader, self._writer = reader, writer
            writer.write(TAKE_LINE)
            line = await asyncio.wait_for(reader.readuntil(b"\n"), STEP_TIMEOUT_S)
            checksum, length = state_snapshot.read_head(line)
            body = await asyncio.wait_for(reader.readexactly(length), STEP_TIMEOUT_S)
            return state_snapshot.decode(body, checksum)
        except FileNotFoundError:
            pass  # there is no old process
        except TRANSFER_ERRORS as error:
            log.warning("no state from the old process, starting without it: %s", error or "no answer")
        if self._writer is not None:
            self._writer.close()
            self._writer = None
        return None

    async def confirm_serving(self, on_predecessor_ended: Callable[[], None]) -> None:
        """Notify the old process that this one serves, and wait until it has ended."""
        if self._writer is not None:
            self._writer.write(SERVING_LINE)
            with contextlib.suppress(OSError):
                await self._reader.read()
            self._writer.close()
        on_predecessor_ended()
