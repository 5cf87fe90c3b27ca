"""Opens connections, reads from them and reports their end."""

from __future__ import annotations

import asyncio
import fcntl
import socket
import struct
import termios
from collections.abc import Callable

from tornado.iostream import IOStream, StreamClosedError

READ_CHUNK_BYTES = 65536
SOCKET_READ_BYTES = (
    16 * 1024
)  # read from a socket at once; a stream that is not read on buffers up to this much
COUNT_FORMAT = struct.Struct("i")  # of the ioctl that counts bytes


def new_socket(address: tuple[str, int]) -> socket.socket:
    """A TCP socket for an address, with TCP_NODELAY so that small messages are sent at once."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def dial(address: tuple[str, int], max_buffered_bytes: int) -> tuple[IOStream, asyncio.Future[IOStream]]:
    """Start to connect; returns the stream, and a future that is done when it is connected or that raises
    StreamClosedError.

    Nothing may watch the socket before it starts to connect: until then it reports a hang-up, which Tornado takes
    for the end of connecting, so that data would count as sent on a connection that was never established.  A
    close callback watches the socket, so it has to be set after this call, with `on_close`.
    """
    stream = IOStream(
        new_socket(address), max_buffer_size=max_buffered_bytes, read_chunk_size=SOCKET_READ_BYTES
    )
    return stream, stream.connect(address)


def on_close(stream: IOStream, callback: Callable[[], None]) -> None:
    """Call back when a stream closes, or at once if it is closed already."""
    if stream.closed():
        callback()
    else:
        stream.set_close_callback(callback)


def has_unread_data(stream: IOStream) -> bool:
    """Whether the socket has unread bytes, which may be a request that the peer has sent."""
    try:
        return bool(stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        return False


def unacknowledged_bytes(stream: IOStream) -> int:
    """Bytes that the system still holds for the peer: written to the socket, and not acknowledged (SIOCOUTQ)."""
    return _count(stream, termios.TIOCOUTQ)


def unread_bytes(stream: IOStream) -> int:
    """Bytes that the system has received from the peer and that were not read yet (SIOCINQ)."""
    return _count(stream, termios.FIONREAD)


def _count(stream: IOStream, call: int) -> int:
    if stream.closed():
        return 0
    try:
        counted = fcntl.ioctl(stream.socket, call, bytes(COUNT_FORMAT.size))
    except OSError:  # this kind of socket has no such count
        return 0
    return int(COUNT_FORMAT.unpack(counted)[0])


async def pump(stream: IOStream, receive: Callable[[bytes], None]) -> None:
    """Pass received bytes to `receive` until the connection ends; the only coroutine that a connection needs."""
    try:
        while True:
            receive(await stream.read_bytes(READ_CHUNK_BYTES, partial=True))
    except StreamClosedError:
        pass
