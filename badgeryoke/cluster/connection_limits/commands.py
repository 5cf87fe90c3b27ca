"""Commands of connection limits, as called and as stored in the log, and the answer to lease requests.

A command is stored under its tag and its fields' wire names (`name=`): neither may change.  Structs marked
`array_like` are stored in the order of their fields.  Error texts name fields by their wire names.
"""

from __future__ import annotations

from enum import IntEnum, StrEnum
from typing import NamedTuple

import msgspec

from badgeryoke.cluster.connection_limits.holders import machine_of, server_bucket
from badgeryoke.cluster.messages import MemberId
from badgeryoke.cluster.state_machine_part import Command

MAX_REQUESTS_PER_CALL = 256  # servers in one call; further ones are requested in the next call
MAX_LIMIT = 1_000_000  # connections
MAX_IDLE_TIMEOUT_MS = 3_600_000.0


class LeaseRefusal(IntEnum):
    """Reason why no lease is granted, in place of the lease number in an answer."""

    LEASE_EXPIRED = -1  # the request names a lease that has expired or was released
    LIMIT_UNKNOWN = -2  # the server has no limit set


class ReleaseProof(StrEnum):
    """Reason why a lease can be released without its holder returning it; see the package docstring."""

    IDLE = "idle"
    RESET = "reset"


class SetConnectionLimit(Command, frozen=True, tag="Limit"):
    """Set a server's limit, from the operators' file or from discovery.

    `idle_timeout_ms`: time after a connection's last use at which the server has certainly closed it, including the
    time of its longest request.
    """

    server: str
    max_connections: int = msgspec.field(name="most")
    idle_timeout_ms: float = msgspec.field(name="idle_ms")

    def key(self) -> str:
        """See `Command.key`."""
        return server_bucket(self.server)

    def validate(self) -> str:
        """See `Command.validate`."""
        if not 0 < len(self.server) <= 255:
            return "server: expected 1 to 255 characters"
        if not 1 <= self.max_connections <= MAX_LIMIT:
            return f"most: expected 1 to {MAX_LIMIT}, got {self.max_connections}"
        if not 0.0 < self.idle_timeout_ms <= MAX_IDLE_TIMEOUT_MS:
            return (
                f"idle_ms: expected above 0 and at most {MAX_IDLE_TIMEOUT_MS:g}, got {self.idle_timeout_ms!r}"
            )
        return ""


class RemoveConnectionLimit(Command, frozen=True, tag="Unlimit"):
    """Remove a server's limit: nothing more is granted, and the entry is deleted with its last lease."""

    server: str

    def key(self) -> str:
        """See `Command.key`."""
        return server_bucket(self.server)


class ConnectionLeaseRequest(msgspec.Struct, frozen=True, array_like=True):
    """For one server: the present lease (0: none), the connections kept of it, and the total wanted."""

    server: str
    lease_number: int
    keep: int
    wanted: int


class RequestConnectionLeases(Command, frozen=True, tag="ConnLeases"):
    """Renew, shrink, grow or return leases, for many servers of a bucket in one call.

    The answer is a `ConnectionLeases`.  `first_request` marks the holder's first call for the bucket; the answer then
    lists the leases of earlier processes on its machine.
    """

    holder: MemberId
    bucket: str
    requests: tuple[ConnectionLeaseRequest, ...] = msgspec.field(name="asks")
    first_request: bool = msgspec.field(default=False, name="fresh")

    def key(self) -> str:
        """See `Command.key`."""
        return self.bucket

    def validate(self) -> str:
        """See `Command.validate`."""
        if not 1 <= len(self.requests) <= MAX_REQUESTS_PER_CALL:
            return f"asks: expected 1 to {MAX_REQUESTS_PER_CALL}, got {len(self.requests)}"
        if len({request.server for request in self.requests}) < len(self.requests):
            return "asks: a server is named twice"
        for request in self.requests:
            if server_bucket(request.server) != self.bucket:
                return f"asks: {request.server} does not lie in {self.bucket}"
            if not (
                request.lease_number >= 0
                and 0 <= request.keep <= MAX_LIMIT
                and 0 <= request.wanted <= MAX_LIMIT
            ):
                return f"asks: {request.server}: out of bounds"
        return ""


class LeaseReference(NamedTuple):
    """One lease of a known holder.  A NamedTuple, so that only an array of exactly this length is decoded."""

    server: str
    lease_number: int


class ReleaseConnectionLeases(Command, frozen=True, tag="ConnEnd"):
    """Release leases whose holder cannot return them; `proof` is a value of `ReleaseProof`.

    The leader proposes it with IDLE, a later process on the same machine (`reported_by`) with RESET.
    """

    holder: MemberId
    bucket: str
    leases: tuple[LeaseReference, ...] = msgspec.field(name="ends")
    proof: str
    reported_by: MemberId = msgspec.field(default="", name="by")

    def key(self) -> str:
        """See `Command.key`."""
        return self.bucket

    def validate(self) -> str:
        """See `Command.validate`."""
        if self.proof not in list(ReleaseProof):
            return f"proof: expected idle or reset, got {self.proof!r}"
        if self.proof == ReleaseProof.RESET and not self._same_machine():
            return f"by: {self.reported_by!r} cannot vouch for the end of {self.holder!r}"
        return ""

    def _same_machine(self) -> bool:
        machine = machine_of(self.reported_by)
        return self.reported_by != self.holder and machine is not None and machine == machine_of(self.holder)


CONNECTION_LIMIT_COMMANDS: tuple[type[Command], ...] = (
    SetConnectionLimit,
    RemoveConnectionLimit,
    RequestConnectionLeases,
    ReleaseConnectionLeases,
)


class ConnectionLease(msgspec.Struct, frozen=True, array_like=True):
    """The answer to one request.  A `lease_number` of 0 means that no lease is held, a negative one is a
    `LeaseRefusal`."""

    server: str
    lease_number: int
    granted: int = 0
    target: int = 0  # the holder should close connections above this number and return them
    spare: int = 0  # connections within the limit that are not granted


class StaleLease(msgspec.Struct, frozen=True, array_like=True):
    """A lease of an earlier process on the same machine."""

    holder: MemberId
    server: str
    lease_number: int


class ConnectionLeases(msgspec.Struct, frozen=True):
    """The answer to `RequestConnectionLeases`; its keys as plain data are part of the wire format."""

    leases: list[ConnectionLease] = msgspec.field(name="parts")
    stale: list[StaleLease] = msgspec.field(name="old")
