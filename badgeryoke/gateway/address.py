"""Network addresses as configuration files and discovery write them: `IP:PORT`."""

from __future__ import annotations

import ipaddress

# IP address and port, in the form that the socket module takes.
Address = tuple[str, int]

MAX_PORT = 65_535
SHOWN_CHARACTERS = 64  # of a malformed address, in the error's text


def parse_address(text: str) -> Address:
    """Parse `IP:PORT`, with an IPv6 address in brackets; raises ValueError.

    Host names are rejected: resolving one would block the event loop, and the platform has no DNS.
    """
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(host)
        if not port.isascii() or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
            raise ValueError
    except ValueError:
        raise ValueError(f"expected IP:PORT, got {text[:SHOWN_CHARACTERS]!r}") from None
    return host, int(port)
