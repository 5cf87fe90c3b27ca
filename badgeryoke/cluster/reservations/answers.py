"""Answers to commands on contracts, as types.

They are sent as plain data by the names that `name=` states, which are interfaces, and are converted where
they arrive.
"""

from __future__ import annotations

import msgspec

from badgeryoke.cluster.reservations.terms import Interval


class LeaseAnswer(msgspec.Struct, frozen=True):
    """The answer to a `RequestLease`: the lease that the holder has from here on, and what it needs to know
    of the other holders (see `badgeryoke.cluster.leases.lease_pool.LeaseGrant`)."""

    lease_number: int = msgspec.field(name="number")  # 0: it holds none
    share: float = msgspec.field(name="part")  # units a second
    units: float = msgspec.field(name="room")  # for its bucket, beside those it has
    depth: float = msgspec.field(name="cap")  # of its bucket, units
    fair_share: float = msgspec.field(name="fair")
    max_share: float = msgspec.field(name="most")
    others_deficit: float = msgspec.field(name="lack")
    fair_depth: float = msgspec.field(name="fair_cap")
    slack: float = msgspec.field(name="spare")
    holders: int
    version: int
    from_ms: float  # Unix ms: the window that it is for; 0: none
    until_ms: float  # Unix ms: when the share changes by itself
    later_fraction: float = msgspec.field(name="then")  # of the share that is left from `until_ms` on
    at_ms: float  # the group's time
    free_units: float = msgspec.field(name="free")  # units in no holder's bucket


class VersionFacts(msgspec.Struct, frozen=True, kw_only=True):
    """One version of a contract, as a gateway needs to know it."""

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
    """The answer to a `PollContracts`.  `contracts`: absent where the gateway has that revision."""

    revision: int = msgspec.field(name="known")
    contracts: tuple[ContractFacts, ...] | None = None
