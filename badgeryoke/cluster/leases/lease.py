"""Leases on shares of a capacity that is divided between several holders: requests, grants and held leases.

The capacity is a rate (units a second) or a number of connections.  It may have a token bucket, in units.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import astuple, dataclass
from typing import Any

from badgeryoke.cluster.messages import MemberId

EPSILON = 1e-9  # tolerance in comparisons of amounts


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """A request to renew, shrink, grow or return a lease.  A request that keeps and wants nothing returns it.

    The holder reduces its use to the amounts it keeps before it sends the request."""

    holder: MemberId
    lease_number: int  # number of the holder's current lease; 0: no lease
    kept_share: float  # the part of its current share that the holder keeps
    wanted: float  # the share that the holder wants in total
    returned_units: float  # units returned, already removed from the holder's bucket
    kept_depth: float = 0.0  # the part of its bucket's depth that the holder keeps
    wanted_units: float = 0.0  # units to add to the holder's bucket
    takes_spare: bool = False  # whether it also takes capacity that nobody wants, until another holder does
    min_depth: float = 0.0  # bucket depth that the holder's largest request needs
    draws_per_request: bool = False  # whether it draws units for single requests and gets no share

    @property
    def returns_all(self) -> bool:
        """Whether the request returns the lease."""
        return (
            self.wanted <= 0.0 and self.kept_share <= 0.0 and self.kept_depth <= 0.0 and not self.takes_spare
        )

    def is_within(self, share: float, depth: float) -> bool:
        """Whether the amounts are valid for a holder with this share and bucket depth."""
        return (
            0.0 <= self.kept_share <= share + EPSILON
            and 0.0 <= self.wanted < math.inf
            and self.returned_units >= 0.0
            and 0.0 <= self.wanted_units < math.inf
            and self.min_depth >= 0.0
            and self.kept_depth >= 0.0
            and self.kept_depth + self.returned_units <= depth + EPSILON
        )

    @property
    def wanted_share(self) -> float:
        """The wanted rate that is to be granted as a share."""
        return 0.0 if self.draws_per_request else self.wanted

    @property
    def wanted_draws(self) -> float:
        """The wanted rate that is drawn per request, without a share."""
        return self.wanted if self.draws_per_request else 0.0


@dataclass(slots=True)
class LeaseShare:
    """One holder's lease, as the pool records it."""

    number: int
    share: float
    wanted: float
    depth: float = 0.0  # depth of the holder's token bucket, units
    takes_spare: bool = False
    draws_per_request: bool = False
    # When this machine applied the grant, monotonic ms.  It differs between replicas and is not in snapshots.
    seen_ms: float = math.inf


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """A holder's lease after a request.  The holder shrinks to `fair_share` and `fair_depth` before its next
    request."""

    number: int  # number of the new lease; 0: no lease
    share: float
    units: float  # units to add to the holder's bucket
    slack: float  # capacity that is granted to nobody
    holders: int
    depth: float = 0.0  # depth of the holder's token bucket, units
    fair_share: float = 0.0
    fair_depth: float = 0.0
    # The share that the holder may keep: its fair share, plus capacity that nobody wants or that no holder is short of.
    max_share: float = 0.0
    others_deficit: float = 0.0  # how much the other holders are below their fair shares, in total


@dataclass(slots=True)
class LeaseSums:
    """Running sums over all leases, updated with each change.  Snapshots hold them exactly, since all replicas
    have to compute identical values."""

    shares: float = 0.0
    wanted_shares: float = 0.0  # sum over the holders that want a share
    depths: float = 0.0
    spare_takers: float = 0.0  # number of holders that take spare capacity
    wanted_draws: float = 0.0  # sum over the holders that draw per request
    changes: float = 0.0  # number of changes since the sums were last recomputed

    @classmethod
    def of(cls, leases: Iterable[LeaseShare]) -> LeaseSums:
        """The sums, computed from all leases."""
        leases = list(leases)
        return cls(
            sum(lease.share for lease in leases),
            sum(lease.wanted for lease in leases if not lease.draws_per_request),
            sum(lease.depth for lease in leases),
            float(sum(lease.takes_spare for lease in leases)),
            sum(lease.wanted for lease in leases if lease.draws_per_request),
        )

    def add(self, lease: LeaseShare, sign: float = 1.0) -> None:
        """Add a lease to the sums; with a sign of -1, subtract it."""
        self.shares += sign * lease.share
        if lease.draws_per_request:
            self.wanted_draws += sign * lease.wanted
        else:
            self.wanted_shares += sign * lease.wanted
        self.depths += sign * lease.depth
        self.spare_takers += sign * lease.takes_spare
        self.changes += 1.0

    def agrees_with(self, other: LeaseSums, tolerance: float) -> bool:
        """Whether all sums are equal up to rounding; `changes` is not compared."""
        return all(
            abs(left - right) <= tolerance * max(1.0, abs(right))
            for left, right in zip(self.dump()[:-1], other.dump()[:-1], strict=True)
        )

    def dump(self) -> list[Any]:
        """Plain data, in the order of the fields."""
        return list(astuple(self))
