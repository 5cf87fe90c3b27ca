"""One long poll of discovery on an open connection: its request, its time limits, its response."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from tornado.iostream import IOStream, StreamClosedError

from badgeryoke.gateway.address import Address
from badgeryoke.gateway.connecting import READ_CHUNK_BYTES
from badgeryoke.gateway.discovery.http_response import HttpResponse

T = TypeVar("T")

PATH = "/api/targets"
# How long discovery may hold a long poll.  Short, so that a connection that broke silently is detected 2 s before a
# change has to be known.
LONG_POLL_WAIT_MS = 3000
PROBE_WAIT_MS = 100  # the wait after a failure: the first answer proves that discovery is reachable
FULL_LIST_WAIT_MS = 1000  # the longest wait for the complete list, which need not wait for a change
# A connection without a byte for this long beyond the wait, or while connecting, is abandoned as silent.
SILENCE_TIMEOUT_S = 1.0
# The response has to be complete this long after the wait, which on a new connection starts when connecting starts.
RESPONSE_TIMEOUT_S = 1.8


async def within(timeout_s: float, awaitable: Awaitable[T]) -> T:
    """The awaitable's result; raises TimeoutError if there is none in time.

    After a stall of the machine the timeout and the result may be due in the same iteration of the event loop, and
    then the result counts.  asyncio.timeout would discard it, and wait_for would discard a cancellation that
    coincides with an error.
    """
    future = asyncio.ensure_future(awaitable)
    await asyncio.wait((future,), timeout=timeout_s)
    if not future.done():
        raise TimeoutError
    return future.result()


def encode_request(address: Address, after_version: int | None, wait_ms: int) -> bytes:
    """A request for the changes after a version, or for the complete list if the version is None."""
    query = "" if after_version is None else f"?after={after_version}&wait_ms={wait_ms}"
    return f"GET {PATH}{query} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\n\r\n".encode()


async def poll(
    stream: IOStream, request: bytes, now: Callable[[], float], started_at: float, wait_s: float
) -> HttpResponse:
    """Send a request and read its response, which discovery may hold for `wait_s`.

    `started_at`: when connecting started or the last response ended, by the clock `now`.  Raises TimeoutError after
    silence, StreamClosedError if the connection is lost, HttpResponseError if the response is invalid.

    After an early head or a 1xx response the rest may still take the whole wait: after the wait each piece has
    SILENCE_TIMEOUT_S to arrive, within the limit for the complete response.
    """
    silent_at = now() + wait_s + SILENCE_TIMEOUT_S
    overdue_at = started_at + wait_s + RESPONSE_TIMEOUT_S
    response, complete = HttpResponse(), False
    await within(SILENCE_TIMEOUT_S, stream.write(request))
    while not complete:
        deadline = max(silent_at, now() + SILENCE_TIMEOUT_S) if response.started else silent_at
        deadline = min(deadline, overdue_at)
        try:
            complete = response.feed(
                await within(deadline - now(), stream.read_bytes(READ_CHUNK_BYTES, partial=True))
            )
        except StreamClosedError as closed:
            # A response is never completed by a reset.
            if closed.real_error is not None or not response.connection_closed():
                raise
            break
    return response
