"""One upstream's connections under a lease of the cluster.

An upstream asks its lease before it dials and before each use of a connection.  A connection counts from before its
first packet until the server has closed its side as well.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Protocol

from tornado.iostream import IOStream

from badgeryoke.cluster.connection_limits.lease_holder import ConnectionLeaseHolder
from badgeryoke.gateway.connecting import new_socket


class LeasedUpstream(Protocol):
    """An upstream under a lease.  All but `connections_needed` leave a message for its actor."""

    @property
    def connections_needed(self) -> int:
        """Connections in use, and one for each attempt that waits."""

    def close_connections(self, count: int, include_in_use: bool) -> None:
        """Close so many connections: idle ones, and with `include_in_use`, as the lease ends, also others."""

    def capacity_available(self) -> None:
        """More connections may be open than before."""


class LeaseOwner(Protocol):
    """What a lease is part of: `badgeryoke.gateway.cluster.connection_leases.ConnectionLeases`."""

    monotonic_ms: Callable[[], float]

    @property
    def lease_holder(self) -> ConnectionLeaseHolder | None:
        """This gateway's leases; none before the cluster's node runs."""

    def close_socket(self, lease: UpstreamLease, connection: socket.socket) -> None:
        """Close this side; the connection counts until the server has closed its own."""


class LeasedStream(IOStream):
    """A stream that hands its socket over to its lease, from whatever cause it is closed."""

    def __init__(self, connection: socket.socket, max_buffer_bytes: int, lease: UpstreamLease) -> None:
        super().__init__(connection, max_buffer_size=max_buffer_bytes)
        self._lease = lease

    def close_fd(self) -> None:
        """Tornado calls this when the stream is closed."""
        connection, self.socket = self.socket, None  # type: ignore[assignment]  # as Tornado leaves it
        self._lease.close_socket(connection)


class UpstreamLease:
    """The connections of one upstream."""

    def __init__(self, owner: LeaseOwner, server: str) -> None:
        self._owner, self.server = owner, server
        self.upstream: LeasedUpstream | None = None
        self.open_count = 0  # with those that the server has not closed yet
        self.surplus_count = 0  # connections in use that are closed when they become free
        self.retired = False  # the upstream is no more; what it has open still counts

    def is_held(self) -> bool:
        """Whether connections may be used now."""
        holder = self._owner.lease_holder
        return holder is not None and holder.lease_valid(self._owner.monotonic_ms(), self.server)

    def may_open(self) -> bool:
        """Whether one more connection may be dialled."""
        holder = self._owner.lease_holder
        return (
            holder is not None
            and not self.retired
            and holder.may_open(self._owner.monotonic_ms(), self.server)
        )

    def dial(
        self, address: tuple[str, int], max_buffer_bytes: int
    ) -> tuple[IOStream, asyncio.Future[IOStream]]:
        """As `badgeryoke.gateway.connecting.dial`, where `may_open` was true.  Raises OSError."""
        holder = self._owner.lease_holder
        assert holder is not None
        stream: IOStream = LeasedStream(new_socket(address), max_buffer_bytes, self)
        self.open_count += 1
        holder.opened(self._owner.monotonic_ms(), self.server)
        return stream, stream.connect(address)

    def close_socket(self, connection: socket.socket) -> None:
        """Close this side; the connection counts until the server has closed its own."""
        holder = self._owner.lease_holder
        assert holder is not None
        holder.closing(self.server)
        self._owner.close_socket(self, connection)
