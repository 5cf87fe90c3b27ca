"""The capacity that may be reserved, and the check whether contracts fit.

The available capacity is the stated capacity minus a fraction for the loss of capacity, minus a rate for requests
without a contract.  Each zone has a part of it in proportion to its own capacity.  Rates are units a second,
times Unix ms.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from badgeryoke.cluster.errors import InsufficientCapacity
from badgeryoke.cluster.invariants import Invariants, Rule
from badgeryoke.cluster.reservations.capacity_profile import (
    CapacityLimit,
    CapacityProfile,
    ReservedInterval,
    earliest_fit_ms,
)
from badgeryoke.cluster.reservations.commands import SetCapacity
from badgeryoke.cluster.reservations.contract import Contract
from badgeryoke.cluster.reservations.terms import ContractTerms
from badgeryoke.cluster.timings import Timings

ROUNDING_TOLERANCE = 1e-6  # tolerance in comparisons of sums over contracts, units a second
WHOLE_CLUSTER = ""  # stands in place of a zone's name for the whole cluster


class ReservedCapacity:
    """The stated capacity; the contracts that reserve it are passed to each method."""

    def __init__(self, timings: Timings, invariants: Invariants) -> None:
        self._timings, self._invariants = timings, invariants
        self.capacity = 0.0
        self.reserve_fraction = 0.0
        self.unreserved_rate = 0.0
        self.zones: dict[str, float] = {}  # the capacity of each zone
        self.revision = 0  # how often a capacity was stated
        # The peak rate, by zone, that was already reserved when the capacity was stated; 0 once it fits.
        self.overcommitted: dict[str, float] = {}

    @property
    def lease_tail_ms(self) -> float:
        """How long after the end of a window a lease may still be in use."""
        return self._timings.lease_expiry_ms()

    def available(self, zone: str = WHOLE_CLUSTER) -> float:
        """The rate that may be reserved in the cluster or a zone."""
        if not zone:
            return max(self.capacity * (1.0 - self.reserve_fraction) - self.unreserved_rate, 0.0)
        fraction = self.zones.get(zone, self.capacity) / self.capacity if self.capacity else 0.0
        return self.available() * min(fraction, 1.0)

    def profile(
        self, contracts: Iterable[Contract], zone: str = WHOLE_CLUSTER, without: str = ""
    ) -> CapacityProfile:
        """The rate that contracts reserve over time in the cluster or a zone; `without`: a contract to leave out."""
        return CapacityProfile(
            interval
            for contract in contracts
            if contract.name != without
            and contract.is_live
            and (not zone or any(version.terms.zone == zone for version in contract.versions))
            for interval in contract.reserved_intervals(self.lease_tail_ms)
        )

    def check_fit(
        self,
        contracts: Iterable[Contract],
        at_ms: float,
        name: str,
        reserved: list[ReservedInterval],
        terms: ContractTerms,
    ) -> InsufficientCapacity | None:
        """Why a contract does not fit with all others, or None.  `reserved`: the intervals that it would reserve."""
        contracts = list(contracts)
        limits = [
            CapacityLimit(self.profile(contracts, zone, without=name), self.available(zone))
            for zone in ((WHOLE_CLUSTER, terms.zone) if terms.zone else (WHOLE_CLUSTER,))
        ]
        ahead = [
            ReservedInterval(max(start_ms, at_ms), end_ms, rate)
            for start_ms, end_ms, rate in reserved
            if end_ms > at_ms
        ]
        exceeded = [limit for limit in limits if not limit.fits(ahead)]
        if not exceeded:
            return None
        return InsufficientCapacity(
            name,
            f"rate: {terms.rate:g} units a second are asked for",
            fits=min(limit.free_rate(ahead) for limit in exceeded),
            fits_from_ms=earliest_fit_ms(limits, reserved),
        )

    def set_capacity(self, contracts: Iterable[Contract], at_ms: float, command: SetCapacity) -> float:
        """Set the capacity; returns by how much the reserved rate exceeds it.

        Existing contracts stay admitted.  Until they fit again no other is admitted, and
        `badgeryoke.cluster.reservations.priority_shedding` decides which requests are shed first."""
        contracts = list(contracts)
        self.capacity = command.capacity
        self.reserve_fraction = command.reserve_fraction
        self.unreserved_rate = command.unreserved_rate
        self.zones = dict(sorted(command.zones.items()))
        self.revision += 1
        self.overcommitted = {
            zone: self.profile(contracts, zone).peak(at_ms, math.inf) for zone in (WHOLE_CLUSTER, *self.zones)
        }
        return max(self.overcommitted[WHOLE_CLUSTER] - self.available(), 0.0)

    def verify(self, contracts: Iterable[Contract], at_ms: float) -> None:
        """Check the invariant that the reserved rate fits from `at_ms` on, except for contracts that already
        exceeded the capacity when it was stated."""
        contracts = list(contracts)
        for zone in (WHOLE_CLUSTER, *self.zones):
            self._verify_zone(contracts, zone, at_ms)

    def _verify_zone(self, contracts: list[Contract], zone: str, at_ms: float) -> None:
        peak, available = self.profile(contracts, zone).peak(at_ms, math.inf), self.available(zone)
        overcommitted = self.overcommitted.get(zone, 0.0)
        self._invariants.check(
            Rule.CONTRACTS_FIT,
            peak <= max(available, overcommitted) + ROUNDING_TOLERANCE,
            lambda: f"{peak:g} units a second reserved, {available:g} available",
        )
        self.overcommitted[zone] = min(overcommitted, peak) if peak > available else 0.0
