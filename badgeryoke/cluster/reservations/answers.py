"""Types of the answers to commands on contracts.

Answers are sent as plain data and converted to these types on receipt.  The field names that `name=` states are
part of the wire format.
"""

from __future__ import annotations

import msgspec

from badgeryoke.cluster.reservations.terms import Interval


class LeaseAnswer(msgspec.Struct, frozen=True):
    """The answer to a `RequestLease`: the holder's new lease, and figures about the other holders (see
    `badgeryoke.cluster.leases.lease.LeaseGrant`)."""

    lease_number: int = msgspec.field(name="number")  # 0: no lease
    share: float = msgspec.field(name="part")  # units a second
    units: float = msgspec.field(name="room")  # units to add to the holder's bucket
    depth: float = msgspec.field(name="cap")  # depth of the holder's token bucket, units
    fair_share: float = msgspec.field(name="fair")
    max_share: float = msgspec.field(name="most")
    others_deficit: float = msgspec.field(name="lack")
    fair_depth: float = msgspec.field(name="fair_cap")
    slack: float = msgspec.field(name="spare")
    holders: int
    version: int
    from_ms: float  # Unix ms: start of the window that the lease is for; 0: none
    until_ms: float  # Unix ms: when the share changes without another request
    # Fraction of the share that remains from `until_ms` on.
    later_fraction: float = msgspec.field(name="then")
    at_ms: float  # the group's time, Unix ms
    free_units: float = msgspec.field(name="free")  # units in no holder's bucket


class VersionFacts(msgspec.Struct, frozen=True, kw_only=True):
    """One version of a contract, as sent to gateways."""

    version: int = 0
    customers: tuple[int, ...]
    rate: float  # units a second
    burst: float  # units
    intervals: tuple[Interval, ...] = msgspec.field(name="times")
    effective_from_ms: float = msgspec.field(name="holds_from_ms")


class ContractFacts(msgspec.Struct, frozen=True, kw_only=True):
    """One contract in the answer to a `PollContracts`."""

    contract: str
    tenant: str
    rank: int
    zone: str = msgspec.field(name="hall")
    surplus: bool = True
    confirmed_version: int = msgspec.field(default=0, name="told")
    versions: tuple[VersionFacts, ...]


class ContractsAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to a `PollContracts`.  `contracts`: absent if the gateway already has that revision."""

    revision: int = msgspec.field(name="known")
    contracts: tuple[ContractFacts, ...] | None = None
