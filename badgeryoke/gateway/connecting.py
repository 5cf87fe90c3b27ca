"""Sockets and streams: how a connection is opened, watched for its end, and read."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from tornado.iostream import IOStream, StreamClosedError

READ_CHUNK_BYTES = 65536


def new_socket(address: tuple[str, int]) -> socket.socket:
    """A TCP socket for an address, which sends small messages at once (TCP_NODELAY)."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    made = socket.socket(family, socket.SOCK_STREAM)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return made


def dial(address: tuple[str, int], max_buffered_bytes: int) -> tuple[IOStream, asyncio.Future[IOStream]]:
    """A stream that is connecting, and a future that is done once it has, or has failed with StreamClosedError.

    Nothing may watch the socket before: one that has not begun to connect reports a hang-up, which Tornado
    takes for the end of the connecting, and what is written then counts as sent on a connection that never
    came up.  A close callback watches, and so belongs behind this: `on_close`.
    """
    stream = IOStream(new_socket(address), max_buffer_size=max_buffered_bytes)
    return stream, stream.connect(address)


def on_close(stream: IOStream, callback: Callable[[], None]) -> None:
    """Call back at a stream's end, also where it has ended already."""
    if stream.closed():
        callback()
    else:
        stream.set_close_callback(callback)


async def pump(stream: IOStream, receive: Callable[[bytes], None]) -> None:
    """Pass on what a connection brings, piece by piece, until it ends: the one coroutine that it costs."""
    try:
        while True:
            receive(await stream.read_bytes(READ_CHUNK_BYTES, partial=True))
    except StreamClosedError:
        pass
