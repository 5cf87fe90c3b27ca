"""Who may send when capacity falls short: unreserved use goes first, then contracts by class, evenly within a
class.

`split` divides a capacity; `Share` keeps to it over time at one gateway.  Evenly means: each contract of the
class that no longer fits gets the same part of what it needs, so a small one is not eaten up by a large one,
nor the reverse.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

DEPTH_MS = 250.0  # of what `Share` lets go on at once, at the rate that is left


@dataclass(frozen=True, slots=True)
class CapacityClaim:
    """One contract: what is asked for within it now, and what it holds here, units a second."""

    contract: str
    rank: int
    demand: float
    share: float

    @property
    def need(self) -> float:
        """What has to be carried."""
        return min(self.demand, self.share)


@dataclass(frozen=True, slots=True)
class CapacitySplit:
    """Units a second: for each contract, what each is short, and what is left for all others."""

    granted: dict[str, float]
    shortfalls: dict[str, float]
    unreserved: float


def split_capacity(capacity: float, claims: Iterable[CapacityClaim]) -> CapacitySplit:
    """Divide a capacity.  Needs of the same class shrink by the same factor."""
    left = max(capacity, 0.0)
    made: dict[str, float] = {}
    short: dict[str, float] = {}
    classes: dict[int, list[CapacityClaim]] = {}
    for one in claims:
        classes.setdefault(one.rank, []).append(one)
    for rank in sorted(classes):
        need = sum(one.need for one in classes[rank])
        part = min(left / need, 1.0) if need > 0.0 else 1.0
        for one in classes[rank]:
            made[one.contract] = one.need * part
            short[one.contract] = one.need * (1.0 - part)
        left -= need * part
    return CapacitySplit(made, short, max(left, 0.0))


@dataclass(slots=True)
class _Flow:
    rate: float = 0.0
    level: float = 0.0
    at: float = 0.0

    def fill(self, now: float) -> None:
        self.level = min(
            self.level + self.rate * (now - self.at) / 1000.0, max(self.rate * DEPTH_MS / 1000.0, 1.0)
        )
        self.at = now


@dataclass(slots=True)
class CapacityShares:
    """One gateway's flows.  `set` them as capacity and demand change; `may` asks for one request."""

    flows: dict[str, _Flow] = field(default_factory=dict)  # "" are all others
    last_split: CapacitySplit = field(default_factory=lambda: CapacitySplit({}, {}, 0.0))

    def update(self, now: float, capacity: float, claims: Iterable[CapacityClaim]) -> CapacitySplit:
        """Divide anew; what is not named any more is forgotten."""
        self.last_split = split_capacity(capacity, claims)
        rates = {"": self.last_split.unreserved, **self.last_split.granted}
        for name in [name for name in self.flows if name not in rates]:
            del self.flows[name]
        for name, rate in rates.items():
            flow = self.flows.setdefault(name, _Flow(at=now))
            flow.fill(now)
            flow.rate = rate
        return self.last_split

    def admit(self, now: float, contract: str, units: float) -> bool:
        """Whether a request under a contract, or under none (""), may be sent now.  A flow may go below
        nothing by one request, so that one larger than its depth still goes when it is its turn."""
        flow = self.flows.get(contract)
        if flow is None:
            return False
        flow.fill(now)
        if flow.level <= 0.0 or flow.rate <= 0.0:
            return False
        flow.level -= units
        return True
