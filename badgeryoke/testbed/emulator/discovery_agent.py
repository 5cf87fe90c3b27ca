"""The service discovery agent: an HTTP listener for each gateway, which serves the complete endpoint list and long
polls for changes."""

from __future__ import annotations

import asyncio
import json
import re
from collections.abc import Iterable


class DiscoveryConnection(asyncio.Protocol):
    """One connection; `body` is the endpoint list as this gateway sees it."""

    def __init__(self, body: bytes, version: int) -> None:
        self._body, self._version = body, version
        self._buffer = b""
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport for the responses."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Answer each complete request; a long poll is answered without changes when its wait ends."""
        self._buffer += data
        while b"\r\n\r\n" in self._buffer:
            head, self._buffer = self._buffer.split(b"\r\n\r\n", 1)
            wait_ms = re.search(rb"wait_ms=(\d+)", head)
            if b"after=" not in head:
                self._respond(self._body)
                continue
            empty = json.dumps({"version": self._version, "full": False, "servers": []}).encode()
            self._timer = asyncio.get_running_loop().call_later(
                min(int(wait_ms.group(1)) if wait_ms else 0, 60_000) / 1000.0, self._respond, empty
            )

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the pending long poll."""
        self._transport = None
        if self._timer is not None:
            self._timer.cancel()

    def _respond(self, body: bytes) -> None:
        if self._transport is not None:
            self._transport.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
            )


def endpoint_list_json(addresses: dict[int, str], cold: Iterable[int] = (), started_ms: int = 0) -> bytes:
    """The endpoint list of the servers, given by number and address.

    `cold`: servers that started at `started_ms` (Unix time in ms) and are warming up.
    """
    cold_numbers = set(cold)
    servers = [
        {
            "id": f"s-{number:08x}",
            "addr": address,
            "zone": "hall-a",
            "kind": "std",
            "cell": 0,
            "state": "active",
            "weight": 1.0,
            "started_ms": started_ms if number in cold_numbers else 0,
        }
        for number, address in addresses.items()
    ]
    return json.dumps({"version": 1, "full": True, "servers": servers}).encode()
