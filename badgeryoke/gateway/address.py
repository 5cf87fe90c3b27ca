"""Network addresses in the form of configuration files and discovery: `IP:PORT`."""

from __future__ import annotations

import ipaddress

# IP address and port, as the socket module takes them.
Address = tuple[str, int]

MAX_PORT = 65_535
MAX_QUOTED_CHARACTERS = 64  # length to which an error text cuts a malformed address


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
        raise ValueError(f"expected IP:PORT, got {text[:MAX_QUOTED_CHARACTERS]!r}") from None
    return host, int(port)
