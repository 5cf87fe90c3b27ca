"""Both ends of a handover.  The old process listens; the new one asks, takes in, and says that it serves.

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

STEP_S = 1.5  # for each step of the other side; the new process has 6 s for all
MOST_PATH = 100  # bytes of a Unix socket's address, less than what the system takes


class Predecessor(Protocol):
    """What the listening side needs of its gateway."""

    def give(self) -> state_snapshot.StateSnapshot | str:
        """The state, or why it is not given."""

    def succeeded(self, handed: state_snapshot.StateSnapshot) -> None:
        """The other process serves."""


def address(folder: str, name: str) -> Path:
    """Where a gateway of this name listens for its successor."""
    word = "".join(c if c.isalnum() else "-" for c in name)[:32]
    return Path(folder) / f"badgeryoke-{word}.sock"


@contextlib.contextmanager
def _short(path: Path) -> Iterator[str]:
    """The path as the system takes it: by its folder's descriptor where it is too long."""
    if len(os.fsencode(path)) <= MOST_PATH:
        yield str(path)
        return
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)


class SnapshotSender:
    """Listens for a successor."""

    def __init__(self, path: Path, gateway: Predecessor) -> None:
        self._path, self._gateway = path, gateway
        self._server: asyncio.AbstractServer | None = None
        self._held: asyncio.StreamWriter | None = None  # the successor's connection
        self._busy = False
        self.ready = False  # a successor can ask

    async def listen(self) -> None:
        """Take the address over from whoever had it, in one step."""
        fresh = self._path.with_suffix(f".{os.getpid()}")
        try:
            with _short(fresh) as short:
                self._server = await asyncio.start_unix_server(self._called, short, limit=256)
            fresh.replace(self._path)
            self.ready = True
        except OSError as fault:
            log.warning("no successor can ask for state: %s", fault)

    async def _called(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._busy:
            writer.write(b"ERR another successor is asking\n")
            writer.close()
            return
        self._busy = True
        try:
            if await self._converse(reader, writer):
                self._held = writer
                return
        except (TimeoutError, OSError, ValueError, EOFError, asyncio.LimitOverrunError) as fault:
            log.warning("successor broke off, this process goes on: %s", fault or "no answer in time")
        self._busy = False
        writer.close()

    async def _converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        line = await asyncio.wait_for(reader.readuntil(b"\n"), STEP_S)
        if line != b"TAKE %d\n" % state_snapshot.VERSION:
            writer.write(b"ERR this process hands over version %d\n" % state_snapshot.VERSION)
            return False
        handed = self._gateway.give()
        if isinstance(handed, str):
            writer.write(b"ERR %b\n" % handed.encode())
            return False
        writer.write(state_snapshot.encode(handed))
        line = await asyncio.wait_for(reader.readuntil(b"\n"), STEP_S)
        if line != b"SERVING\n":
            raise ValueError(f"said {line[:40]!r}")
        self._gateway.succeeded(handed)
        return True

    def close(self) -> None:
        """The process ends.  The address is its successor's, where there is one."""
        if self._server is not None:
            self._server.close()
            if self._held is None:
                self._path.unlink(missing_ok=True)
        if self._held is not None:
            self._held.close()


class SnapshotReceiver:
    """Asks the old process."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._writer: asyncio.StreamWriter | None = None

    async def ask(self) -> state_snapshot.StateSnapshot | None:
        """The state, or None where there is none to be had; logs why, unless nobody was there before."""
        try:
            with _short(self._path) as short:
                reader, writer = await asyncio.wait_for(asyncio.open_unix_connection(short), STEP_S)
            self._reader, self._writer = reader, writer
            writer.write(b"TAKE %d\n" % state_snapshot.VERSION)
            line = await asyncio.wait_for(reader.readuntil(b"\n"), STEP_S)
            checksum, length = state_snapshot.read_head(line)
            return state_snapshot.decode(await asyncio.wait_for(reader.readexactly(length), STEP_S), checksum)
        except FileNotFoundError:
            pass
        except (TimeoutError, OSError, ValueError, EOFError, asyncio.LimitOverrunError) as fault:
            log.warning("no state from an older process, starting as after a crash: %s", fault or "no answer")
        if self._writer is not None:
            self._writer.close()
            self._writer = None
        return None

    async def serving(self, ended: Callable[[], None]) -> None:
        """Say so, and wait for the old process to end."""
        if self._writer is not None:
            self._writer.write(b"SERVING\n")
            with contextlib.suppress(OSError):
                await self._reader.read()
            self._writer.close()
        ended()
