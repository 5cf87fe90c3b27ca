"""Commands of connection limits, as they are called and stored in the log, and the answer to lease requests.

A command is stored under its tag and its fields' wire names (`name=`): neither may change.  Structs marked
`array_like` are stored by the order of their fields.  Error texts name fields by their wire names.
"""

from __future__ import annotations

from enum import IntEnum, StrEnum
from typing import NamedTuple

import msgspec

from badgeryoke.cluster.connection_limits.holders import machine_of, server_bucket
from badgeryoke.cluster.messages import MemberId
from badgeryoke.cluster.state_machine_part import Command

MAX_REQUESTS_PER_CALL = 256  # servers in one call; the others go with the next
MAX_LIMIT = 1_000_000  # connections
MAX_IDLE_TIMEOUT_MS = 3_600_000.0


class LeaseRefusal(IntEnum):
    """In place of a lease's number in an answer: why there is no lease."""

    LEASE_EXPIRED = -1  # the request names a lease that has expired or was released
    LIMIT_UNKNOWN = -2  # no limit of that server is known


class ReleaseProof(StrEnum):
    """Why a lease can be released although its holder has not returned it; see the package."""

    IDLE = "idle"
    RESET = "reset"


class SetConnectionLimit(Command, frozen=True, tag="Limit"):
    """A server's limit, from the operators' file or from discovery.

    `idle_timeout_ms`: so long after a connection's last use the server has closed it for certain, its longest
    request included.
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
    """The server is gone: nothing is granted any more, and it is forgotten when the last share is returned."""

    server: str

    def key(self) -> str:
        """See `Command.key`."""
        return server_bucket(self.server)


class ConnectionLeaseRequest(msgspec.Struct, frozen=True, array_like=True):
    """For one server: the lease held (0: none), what is kept of it from now on, and what is wanted in all."""

    server: str
    lease_number: int
    keep: int
    wanted: int


class RequestConnectionLeases(Command, frozen=True, tag="ConnLeases"):
    """Renew, shrink, grow or return leases, for many servers of a bucket at once.

    Answered by a `ConnectionLeases`.  `first_request`: of this holder in the bucket; the answer then names the
    leases of earlier processes on its machine.
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
    """One lease of a known holder.  A NamedTuple, since it is decoded from an array of just this length."""

    server: str
    lease_number: int


class ReleaseConnectionLeases(Command, frozen=True, tag="ConnEnd"):
    """Release leases that their holder cannot return any more; `proof` is a value of `ReleaseProof`.

    The leader proposes it with IDLE, a later process of the same machine (`reported_by`) with RESET.
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
    """The answer to one request.  A `lease_number` of 0 says that nothing is held, a negative one is a
    `LeaseRefusal`."""

    server: str
    lease_number: int
    granted: int = 0
    target: int = 0  # above it the holder should close connections and return them
    spare: int = 0  # connections of the limit that are granted to nobody


class StaleLease(msgspec.Struct, frozen=True, array_like=True):
    """A lease of an earlier process of the same machine."""

    holder: MemberId
    server: str
    lease_number: int


class ConnectionLeases(msgspec.Struct, frozen=True):
    """The answer to `RequestConnectionLeases`; as plain data its keys are the interface."""

    leases: list[ConnectionLease] = msgspec.field(name="parts")
    stale: list[StaleLease] = msgspec.field(name="old")
