"""Both ends of a hot restart's state transfer, over a Unix socket.  The old process listens; the new one asks for
the state, restores it, and says that it serves.

new: TAKE 1            old: STATE version checksum length, and the body; or ERR and why not
new: SERVING           old: stops accepting; the connection stays until it ends
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

STEP_TIMEOUT_S = 1.5  # for each step of the other side; the new process has 6 s for all
MAX_SOCKET_PATH_BYTES = 100  # less than what the system takes as a Unix socket's address
MAX_SOCKET_NAME = 32  # characters of a gateway's name in its socket's path
MAX_LINE_BYTES = 256
TAKE_LINE = b"TAKE %d\n" % state_snapshot.VERSION
SERVING_LINE = b"SERVING\n"
# What ends a conversation: a timeout, a broken connection, or an answer that cannot be read.
TRANSFER_ERRORS = (TimeoutError, OSError, ValueError, EOFError, asyncio.LimitOverrunError)


class Predecessor(Protocol):
    """What the listening side needs of its gateway."""

    def take_snapshot(self) -> state_snapshot.StateSnapshot | str:
        """The state, or why it is not given."""

    def successor_ready(self, snapshot: state_snapshot.StateSnapshot) -> None:
        """The successor serves by this snapshot."""


def socket_path(folder: str, name: str) -> Path:
    """Where a gateway of this name listens for its successor."""
    safe_name = "".join(character if character.isalnum() else "-" for character in name)[:MAX_SOCKET_NAME]
    return Path(folder) / f"badgeryoke-{safe_name}.sock"


@contextlib.contextmanager
def _short_path(path: Path) -> Iterator[str]:
    """The path as the system takes it: by its folder's descriptor where it is too long."""
    if len(os.fsencode(path)) <= MAX_SOCKET_PATH_BYTES:
        yield str(path)
        return
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)


class SnapshotSender:
    """Listens for a successor, and sends it the state.  One successor at a time."""

    def __init__(self, path: Path, gateway: Predecessor) -> None:
        self._path, self._gateway = path, gateway
        self._server: asyncio.AbstractServer | None = None
        self._successor: asyncio.StreamWriter | None = None  # the connection of one that serves
        self._busy = False
        self.ready = False  # a successor can ask

    async def listen(self) -> None:
        """Take the path over from whoever had it, in one step.  Where that fails it is logged, and a successor
        starts without state."""
        fresh = self._path.with_suffix(f".{os.getpid()}")
        try:
            with _short_path(fresh) as short:
                self._server = await asyncio.start_unix_server(self._accept, short, limit=MAX_LINE_BYTES)
            fresh.replace(self._path)
            self.ready = True
        except OSError as error:
            log.warning("no successor can ask for state: %s", error)

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
            log.warning("successor broke off, this process goes on: %s", error or "no answer in time")
        self._busy = False
        writer.close()

    async def _transfer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Whether the successor serves; False where it was told why it gets no state."""
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
            raise ValueError(f"said {line[:40]!r}")
        self._gateway.successor_ready(snapshot)
        return True

    def close(self) -> None:
        """The process ends.  The path is its successor's, where there is one."""
        if self._server is not None:
            self._server.close()
            if self._successor is None:
                self._path.unlink(missing_ok=True)
        if self._successor is not None:
            self._successor.close()


class SnapshotReceiver:
    """Asks the old process for its state."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._writer: asyncio.StreamWriter | None = None

    async def receive(self) -> state_snapshot.StateSnapshot | None:
        """The state, or None where there is none to be had; logs why, unless no process was there."""
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
            pass  # no process was there
        except TRANSFER_ERRORS as error:
            log.warning("no state from an older process, starting as after a crash: %s", error or "no answer")
        if self._writer is not None:
            self._writer.close()
            self._writer = None
        return None

    async def confirm_serving(self, on_predecessor_ended: Callable[[], None]) -> None:
        """Tell the old process that this one serves, and wait for it to end."""
        if self._writer is not None:
            self._writer.write(SERVING_LINE)
            with contextlib.suppress(OSError):
                await self._reader.read()
            self._writer.close()
        on_predecessor_ended()
