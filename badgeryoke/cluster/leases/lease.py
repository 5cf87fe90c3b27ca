"""Leases on shares of a capacity that several holders divide: what is requested, granted and held.

The capacity is a rate (units a second) or a number of connections; a bucket of units may go with it.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import astuple, dataclass
from typing import Any

from badgeryoke.cluster.messages import MemberId

EPSILON = 1e-9  # of amounts that are compared


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """Renew, shrink, grow or give back a lease.  To give it back is to keep and to want nothing.

    The holder has shrunk to what it keeps before it sends this."""

    holder: MemberId
    lease_number: int  # of the lease it holds; 0: none
    kept: float  # of its share
    wanted: float  # the share it would like
    returned_units: float  # that it has taken out of its bucket
    kept_depth: float = 0.0  # of its bucket
    wanted_units: float = 0.0  # for its bucket
    takes_spare: bool = False  # it takes what nobody wants as well, until another wants it
    min_depth: float = 0.0  # that its largest request needs
    draws_per_request: bool = False  # it draws units as it needs them, and gets no share for what it wants

    @property
    def returns_all(self) -> bool:
        """Whether the lease is given back."""
        return self.wanted <= 0.0 and self.kept <= 0.0 and self.kept_depth <= 0.0 and not self.takes_spare

    def is_within(self, share: float, depth: float) -> bool:
        """Whether its amounts are valid for a holder that has a share and a bucket of a depth."""
        return (
            0.0 <= self.kept <= share + EPSILON
            and 0.0 <= self.wanted < math.inf
            and self.returned_units >= 0.0
            and 0.0 <= self.wanted_units < math.inf
            and self.min_depth >= 0.0
            and self.kept_depth >= 0.0
            and self.kept_depth + self.returned_units <= depth + EPSILON
        )

    @property
    def wanted_share(self) -> float:
        """What it wants a share for."""
        return 0.0 if self.draws_per_request else self.wanted

    @property
    def wanted_draws(self) -> float:
        """What it wants to draw without a share."""
        return self.wanted if self.draws_per_request else 0.0


@dataclass(slots=True)
class LeaseShare:
    """One holder's lease."""

    number: int
    share: float
    wanted: float
    depth: float = 0.0  # of its bucket
    takes_spare: bool = False
    draws_per_request: bool = False
    # When this machine saw it applied, monotonic ms; it differs between replicas and is never dumped.
    seen_ms: float = math.inf


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """What a holder has from here on.  It shrinks to `fair_share` and `fair_depth` before its next request."""

    number: int  # of the lease; 0: none
    share: float
    units: float  # for its bucket, beside those it has
    slack: float  # not granted to anybody
    holders: int
    depth: float = 0.0  # of its bucket
    fair_share: float = 0.0
    fair_depth: float = 0.0
    # What it may hold on to: its fair share, all that nobody wants, all that nobody lacks.
    max_share: float = 0.0
    others_deficit: float = 0.0  # what others have less than they would if this one wanted nothing


@dataclass(slots=True)
class LeaseSums:
    """Sums over all leases, kept up to date with each change.  They are dumped to the last bit, as every
    replica has to come to the same ones."""

    shares: float = 0.0
    wanted_shares: float = 0.0  # of those that want a share
    depths: float = 0.0
    spare_takers: float = 0.0  # a count
    wanted_draws: float = 0.0  # of those that draw per request
    changes: float = 0.0  # since all of it was summed afresh

    @classmethod
    def of(cls, leases: Iterable[LeaseShare]) -> LeaseSums:
        """The sums, added up afresh."""
        leases = list(leases)
        return cls(
            sum(lease.share for lease in leases),
            sum(lease.wanted for lease in leases if not lease.draws_per_request),
            sum(lease.depth for lease in leases),
            float(sum(lease.takes_spare for lease in leases)),
            sum(lease.wanted for lease in leases if lease.draws_per_request),
        )

    def add(self, lease: LeaseShare, sign: float = 1.0) -> None:
        """Take a lease in; with a sign of -1, out."""
        self.shares += sign * lease.share
        if lease.draws_per_request:
            self.wanted_draws += sign * lease.wanted
        else:
            self.wanted_shares += sign * lease.wanted
        self.depths += sign * lease.depth
        self.spare_takers += sign * lease.takes_spare
        self.changes += 1.0

    def agrees_with(self, other: LeaseSums, tolerance: float) -> bool:
        """Whether all sums are equal but for rounding; `changes` does not count."""
        return all(
            abs(mine - theirs) <= tolerance * max(1.0, abs(theirs))
            for mine, theirs in zip(self.dump()[:-1], other.dump()[:-1], strict=True)
        )

    def dump(self) -> list[Any]:
        """Plain data, in the order of the fields."""
        return list(astuple(self))
