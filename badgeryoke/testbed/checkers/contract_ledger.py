"""The expected ledger of one reservation contract, used in simulated time and with real processes alike.

The ledger states what a single token bucket of the contract's rate and burst, seeing every request, would
serve.  Two measures are taken from it:

* The guaranteed rate, by second.  A second counts if at least the contract's rate was requested in it.  The
  expectation is then what the bucket serves in that second with each request complete or not at all, the rate
  at most; a contract promises no more, and a bucket serves less when requests arrive in bursts.  Units count
  in the second in which they are served.  Requests at a gateway that is partitioned from the majority of the
  cluster do not count, since nothing is guaranteed to it for longer than a lease; they count as short.
* Units short, by busy period: from a request until `BUSY_PERIOD_GAP_MS` without one, the units that were due
  and not served.  Here requests may be served in part.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from badgeryoke.cluster.reservations.settlement import BUSY_PERIOD_GAP_MS

UNITS_TOLERANCE = 1e-6
EXCLUDED_AFTER_LOSS_MS = 2000.0  # seconds that the guaranteed rate excludes after a gateway is lost
MIN_ERROR_BASE_FRACTION = 0.05  # of the units due: the smallest base for a report's relative error


@dataclass(slots=True)
class ExpectedLedger:
    """Requests, expected and actual service of one contract.

    Times are in ms.  `level` is the fill of the bucket that serves complete requests only, `units` that of
    the bucket that also serves part of a request.
    """

    rate: float
    burst: float
    level: float = 0.0
    units: float = 0.0
    at: float = 0.0  # time up to which the buckets are filled
    last: float = 0.0  # time of the latest request
    asked: dict[int, float] = field(default_factory=dict)  # units requested, by second
    due: dict[int, float] = field(default_factory=dict)  # units expected to be served, by second
    served: dict[int, float] = field(default_factory=dict)  # units served, by second
    busy_periods: list[list[float]] = field(default_factory=list)  # of each: units due, units served

    def record_request(self, now: float, units: float, partitioned: bool = False) -> tuple[int, bool]:
        """Record a request; `partitioned` marks one at a partitioned gateway, where no rate is guaranteed.

        Returns the busy period and whether the request counts, as `record_served` needs them.
        """
        if not self.busy_periods or now > self.last + BUSY_PERIOD_GAP_MS:
            self.busy_periods.append([0.0, 0.0])
        self.last = now
        filled = (
            self.rate * (now - self.at) / 1000.0
            if len(self.busy_periods) > 1 or self.busy_periods[0][0]
            else self.burst
        )
        self.level = min(self.level + filled, self.burst)
        self.units = min(self.units + filled, self.burst)
        self.at = now
        due = min(units, self.units)
        self.units -= due
        self.busy_periods[-1][0] += due
        if partitioned:
            return len(self.busy_periods) - 1, False
        second = int(now // 1000.0)
        self.asked[second] = self.asked.get(second, 0.0) + units
        if self.level >= units - UNITS_TOLERANCE:
            self.level = max(self.level - units, 0.0)
            self.due[second] = self.due.get(second, 0.0) + units
        return len(self.busy_periods) - 1, True

    def record_served(self, now: float, units: float, request: tuple[int, bool]) -> None:
        """Record units served of a request; `request` is what `record_request` returned for it."""
        period, counts = request
        self.busy_periods[period][1] += units
        if counts:
            second = int(now // 1000.0)
            self.served[second] = self.served.get(second, 0.0) + units

    def served_fraction_by_second(self, begin: float, end: float, losses: list[float]) -> dict[int, float]:
        """The served fraction of the expected units, for each second that counts."""
        fractions: dict[int, float] = {}
        for second, requested in sorted(self.asked.items()):
            at = second * 1000.0
            expected = min(self.rate, self.due.get(second, 0.0))
            if (
                requested >= self.rate
                and expected > UNITS_TOLERANCE
                and begin <= at
                and at + 1000.0 <= end
                and not any(at - EXCLUDED_AFTER_LOSS_MS < loss < at + 1000.0 for loss in losses)
            ):
                fractions[second] = min(self.served.get(second, 0.0) / expected, 1.0)
        return fractions

    def units_short(self) -> float:
        """Units due and not served, over all busy periods."""
        return sum(max(due - served, 0.0) for due, served in self.busy_periods)

    def report_error(self, reported: float) -> float:
        """The relative error of a reported number of short units.

        The base is at least a twentieth of the units due, so that few short units do not inflate it.
        """
        return abs(reported - self.units_short()) / max(
            self.units_short(), MIN_ERROR_BASE_FRACTION * sum(due for due, _ in self.busy_periods), 1.0
        )


def worst_second(contracts: list[dict[int, float]]) -> float | None:
    """The smallest served fraction of any second of any contract; None where no second counts."""
    return min((fraction for fractions in contracts for fraction in fractions.values()), default=None)
