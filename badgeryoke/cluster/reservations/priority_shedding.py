"""Load shedding by priority: who may send when capacity falls short.

Requests without a contract are shed first, then contracts by their class of importance (`rank`), evenly
within a class: each contract of the class that no longer fits gets the same fraction of what it needs, so
that neither a small one nor a large one is starved by the other.

`split_capacity` divides a capacity; `CapacityShares` keeps to that over time at one gateway, by a token
bucket for each contract.  Rates are units a second, times monotonic ms.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

MAX_BURST_MS = 250.0  # of a contract's rate: what may be sent at once
MIN_BURST = 1.0  # units
UNRESERVED = ""  # in place of a contract: all requests without one


@dataclass(frozen=True, slots=True)
class CapacityClaim:
    """One contract: what is requested within it now, and what is leased here."""

    contract: str
    rank: int
    demand: float
    share: float

    @property
    def need(self) -> float:
        """The rate that has to be carried."""
        return min(self.demand, self.share)


@dataclass(frozen=True, slots=True)
class CapacitySplit:
    """The rates that each contract gets and lacks, and what is left for requests without a contract."""

    granted: dict[str, float]
    shortfalls: dict[str, float]
    unreserved: float


def split_capacity(capacity: float, claims: Iterable[CapacityClaim]) -> CapacitySplit:
    """Divide a capacity.  The needs of one class are cut by the same fraction."""
    left = max(capacity, 0.0)
    granted: dict[str, float] = {}
    shortfalls: dict[str, float] = {}
    claims_by_rank: dict[int, list[CapacityClaim]] = {}
    for claim in claims:
        claims_by_rank.setdefault(claim.rank, []).append(claim)
    for _, of_class in sorted(claims_by_rank.items()):
        need = sum(claim.need for claim in of_class)
        fraction = min(left / need, 1.0) if need > 0.0 else 1.0
        for claim in of_class:
            granted[claim.contract] = claim.need * fraction
            shortfalls[claim.contract] = claim.need * (1.0 - fraction)
        left -= need * fraction
    return CapacitySplit(granted, shortfalls, max(left, 0.0))


@dataclass(slots=True)
class _TokenBucket:
    rate: float = 0.0
    level: float = 0.0  # units
    filled_ms: float = 0.0  # up to when it was filled

    def fill(self, now: float) -> None:
        """Bring the level up to now."""
        gained = self.rate * (now - self.filled_ms) / 1000.0
        self.level = min(self.level + gained, max(self.rate * MAX_BURST_MS / 1000.0, MIN_BURST))
        self.filled_ms = now


@dataclass(slots=True)
class CapacityShares:
    """One gateway's token buckets.  `update` them as capacity and demand change; `admit` each request."""

    buckets: dict[str, _TokenBucket] = field(default_factory=dict)  # by contract, or UNRESERVED
    last_split: CapacitySplit = field(default_factory=lambda: CapacitySplit({}, {}, 0.0))

    def update(self, now: float, capacity: float, claims: Iterable[CapacityClaim]) -> CapacitySplit:
        """Divide anew; contracts that are not claimed any more are forgotten."""
        self.last_split = split_capacity(capacity, claims)
        rates = {UNRESERVED: self.last_split.unreserved, **self.last_split.granted}
        for name in [name for name in self.buckets if name not in rates]:
            del self.buckets[name]
        for name, rate in rates.items():
            bucket = self.buckets.setdefault(name, _TokenBucket(filled_ms=now))
            bucket.fill(now)
            bucket.rate = rate
        return self.last_split

    def admit(self, now: float, contract: str, units: float) -> bool:
        """Whether a request under a contract, or UNRESERVED, may be sent now.  A bucket may go below zero by
        one request, so that one larger than its depth is still sent when it is its turn."""
        bucket = self.buckets.get(contract)
        if bucket is None:
            return False
        bucket.fill(now)
        if bucket.level <= 0.0 or bucket.rate <= 0.0:
            return False
        bucket.level -= units
        return True
