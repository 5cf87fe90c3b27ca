"""Load shedding by priority: which requests may be sent when capacity is short.

Requests without a contract are shed first, then contracts by their class of importance (`rank`), evenly within
a class: each contract of the class that does not fit entirely gets the same fraction of the rate it needs, so
that neither small nor large contracts starve.

`split_capacity` divides a capacity; `CapacityShares` enforces the result over time at one gateway, by a token
bucket per contract.  Rates are units a second, times monotonic ms.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

MAX_BURST_MS = 250.0  # largest burst of a contract, as time at its rate
MIN_BURST = 1.0  # units
UNRESERVED = ""  # the key, in place of a contract's name, of all requests without a contract


@dataclass(frozen=True, slots=True)
class CapacityClaim:
    """One contract at a gateway: the requested rate (`demand`) and the leased rate (`share`)."""

    contract: str
    rank: int
    demand: float
    share: float

    @property
    def need(self) -> float:
        """The rate that has to be served."""
        return min(self.demand, self.share)


@dataclass(frozen=True, slots=True)
class CapacitySplit:
    """The granted and missing rates of each contract, and the rate left for requests without a contract."""

    granted: dict[str, float]
    shortfalls: dict[str, float]
    unreserved: float


def split_capacity(capacity: float, claims: Iterable[CapacityClaim]) -> CapacitySplit:
    """Divide a capacity.  All needs of a class are reduced by the same fraction."""
    remaining = max(capacity, 0.0)
    granted: dict[str, float] = {}
    shortfalls: dict[str, float] = {}
    claims_by_rank: dict[int, list[CapacityClaim]] = {}
    for claim in claims:
        claims_by_rank.setdefault(claim.rank, []).append(claim)
    for _, class_claims in sorted(claims_by_rank.items()):
        need = sum(claim.need for claim in class_claims)
        fraction = min(remaining / need, 1.0) if need > 0.0 else 1.0
        for claim in class_claims:
            granted[claim.contract] = claim.need * fraction
            shortfalls[claim.contract] = claim.need * (1.0 - fraction)
        remaining -= need * fraction
    return CapacitySplit(granted, shortfalls, max(remaining, 0.0))


@dataclass(slots=True)
class _TokenBucket:
    rate: float = 0.0
    level: float = 0.0  # units
    filled_ms: float = 0.0  # when `level` was last updated

    def fill(self, now: float) -> None:
        """Fill the bucket up to now."""
        gained = self.rate * (now - self.filled_ms) / 1000.0
        self.level = min(self.level + gained, max(self.rate * MAX_BURST_MS / 1000.0, MIN_BURST))
        self.filled_ms = now


@dataclass(slots=True)
class CapacityShares:
    """One gateway's token buckets.  Call `update` when capacity or demand changes, and `admit` for each request."""

    buckets: dict[str, _TokenBucket] = field(default_factory=dict)  # by contract, or UNRESERVED
    last_split: CapacitySplit = field(default_factory=lambda: CapacitySplit({}, {}, 0.0))

    def update(self, now: float, capacity: float, claims: Iterable[CapacityClaim]) -> CapacitySplit:
        """Divide the capacity again and drop the buckets of contracts without a claim."""
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
        """Whether a request under a contract, or UNRESERVED, may be sent now; takes its units if so.  One request
        may take a bucket below zero, so that requests larger than its depth are sent as well."""
        bucket = self.buckets.get(contract)
        if bucket is None:
            return False
        bucket.fill(now)
        if bucket.level <= 0.0 or bucket.rate <= 0.0:
            return False
        bucket.level -= units
        return True
