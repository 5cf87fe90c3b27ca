"""The connections of one upstream under a cluster lease.

An upstream checks its lease before it dials and before each use of a connection.  A connection counts from before its
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
    """An upstream under a lease.  All methods but `connections_needed` post a message to its mailbox."""

    @property
    def connections_needed(self) -> int:
        """Connections in use, plus one for each waiting attempt."""

    def close_connections(self, count: int, include_in_use: bool) -> None:
        """Close `count` connections: idle ones, and also others with `include_in_use`, when the lease expires."""

    def capacity_available(self) -> None:
        """Called when more connections may be opened than before."""


class LeaseOwner(Protocol):
    """The owner of a lease: `badgeryoke.gateway.cluster.connection_leases.ConnectionLeases`."""

    monotonic_ms: Callable[[], float]

    @property
    def lease_holder(self) -> ConnectionLeaseHolder | None:
        """This gateway's leases; None before the cluster's node runs."""

    def close_socket(self, lease: UpstreamLease, connection: socket.socket) -> None:
        """Close this side; the connection counts until the server has closed its side."""


class LeasedStream(IOStream):
    """A stream that passes its socket to its lease when it is closed for any reason."""

    def __init__(self, connection: socket.socket, max_buffer_bytes: int, lease: UpstreamLease) -> None:
        super().__init__(connection, max_buffer_size=max_buffer_bytes)
        self._lease = lease

    def close_fd(self) -> None:
        """Tornado calls this when the stream is closed."""
        connection, self.socket = self.socket, None  # type: ignore[assignment]  # as Tornado leaves it
        self._lease.close_socket(connection)


class UpstreamLease:
    """The lease for the connections of one upstream."""

    def __init__(self, owner: LeaseOwner, server: str) -> None:
        self._owner, self.server = owner, server
        self.upstream: LeasedUpstream | None = None
        self.open_count = 0  # connections, including those that the server has not closed yet
        self.surplus_count = 0  # connections in use that have to be closed once they are free
        self.retired = False  # the upstream is removed; its open connections still count

    def is_held(self) -> bool:
        """Whether the lease is valid, so that connections may be used now."""
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
        """Like `badgeryoke.gateway.connecting.dial`; `may_open` must be true.  Raises OSError."""
        holder = self._owner.lease_holder
        assert holder is not None
        stream: IOStream = LeasedStream(new_socket(address), max_buffer_bytes, self)
        self.open_count += 1
        holder.opened(self._owner.monotonic_ms(), self.server)
        return stream, stream.connect(address)

    def close_socket(self, connection: socket.socket) -> None:
        """Close this side; the connection counts until the server has closed its side."""
        holder = self._owner.lease_holder
        assert holder is not None
        holder.closing(self.server)
        self._owner.close_socket(self, connection)
