"""Settlement: the units due to a tenant, the units it drew, and the resulting shortfall.

All gateways report requested and drawn units in slices of the group's time.  The tally compares their sums with
a token bucket of the contract's whole rate and burst, which serves parts of requests as well.  The shortfall is
determined by busy periods: within one, due units may be drawn later, from units left in other gateways' buckets,
up to the burst and the units that may wait.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from badgeryoke.cluster.leases.lease import EPSILON
from badgeryoke.cluster.reservations.commands import UsageSlice

SLICE_MS = 5.0  # length of a slice, for which a gateway counts usage in one sum
SLICES_PER_BIN = 50  # slices that are merged where they are kept for long
MAX_OPEN_SLICES = 20_000  # slices reported and not settled; above that the older half is settled early
SETTLEMENT_DELAY_SLICES = 400  # slices are settled 2 s late, to wait for reports in flight
MAX_SLICES_AHEAD = 400  # slices up to 2 s ahead are accepted, for gateways whose clock is ahead
RETAINED_SLICES = 120_000  # 10 min; late reports of a partitioned gateway are counted up to this age
BUSY_PERIOD_GAP_MS = 500.0  # time without a request that ends a busy period; units undrawn by then are lost
MAX_WAIT_MS = 300.0  # how long a request may wait for units at a gateway
NO_LEASE = "no lease"  # the cause of shortfalls because the gateway with the requests had too small a lease


class SliceUsage(NamedTuple):
    """Units in one slice at one gateway.  Stored as an array."""

    requested_units: float
    drawn_units: float


@dataclass(slots=True)
class UsageTally:
    """The due and drawn units of one contract over all gateways.  Slices are numbered by the group's time;
    all amounts are units."""

    # Reported and not settled yet: slice -> reporter -> usage.
    open_slices: dict[int, dict[str, SliceUsage]] = field(default_factory=dict)
    due_by_bin: dict[int, float] = field(default_factory=dict)  # due units of settled slices, by bin
    bucket_level: float = -1.0  # below 0: nothing is settled yet, and the bucket is full
    last_slice: int = 0  # the last settled slice with usage
    undrawn: float = 0.0  # due minus drawn units of this busy period
    written_off: float = 0.0  # the part of `undrawn` already counted in `shortfall`
    shortfall: float = 0.0
    busy_since_slice: int = 0  # the first slice of this busy period

    def record(self, reporter: str, slices: Iterable[UsageSlice], rate: float, newest: int) -> None:
        """Record a report.  `rate`: the contract's rate, units a second; `newest`: the current slice."""
        late_undrawn = 0.0
        for number, requested_units, drawn_units in slices:
            if number > self.last_slice:
                if number <= newest + MAX_SLICES_AHEAD:
                    self.open_slices.setdefault(number, {})[reporter] = SliceUsage(
                        requested_units, drawn_units
                    )
            elif number > newest - RETAINED_SLICES:
                undrawn = self._late_due(number, requested_units, rate) - drawn_units
                # Within the current busy period, units drawn here were not available to the gateways for
                # whose requests they were counted as due.
                if number >= self.busy_since_slice:
                    self.undrawn += undrawn
                else:
                    late_undrawn += undrawn
        self.shortfall += max(late_undrawn, 0.0)

    def _late_due(self, number: int, requested_units: float, rate: float) -> float:
        """The units due in a slice that was settled before this report: the part of the rate in that bin that
        is not due to other reports."""
        bin_number = number // SLICES_PER_BIN
        due_before = self.due_by_bin.get(bin_number, 0.0)
        due = min(requested_units, max(rate * SLICES_PER_BIN * SLICE_MS / 1000.0 - due_before, 0.0))
        self.due_by_bin[bin_number] = due_before + due
        return due

    def settle(self, until: int, rate: float, burst: float) -> None:
        """Settle all slices up to `until`.  `rate`: units a second; `burst`: units."""
        if len(self.open_slices) > MAX_OPEN_SLICES:
            until = max(until, sorted(self.open_slices)[MAX_OPEN_SLICES // 2])
        for number in sorted(number for number in self.open_slices if number <= until):
            self._settle_slice(number, rate, burst)
        if (until - self.last_slice) * SLICE_MS > BUSY_PERIOD_GAP_MS:
            self._end_busy_period()
        oldest_bin = (until - RETAINED_SLICES) // SLICES_PER_BIN
        for bin_number in [bin_number for bin_number in self.due_by_bin if bin_number < oldest_bin]:
            del self.due_by_bin[bin_number]

    def _settle_slice(self, number: int, rate: float, burst: float) -> None:
        if (number - self.last_slice) * SLICE_MS > BUSY_PERIOD_GAP_MS:
            self._end_busy_period()
            self.busy_since_slice = number
        refill = rate * SLICE_MS * (number - self.last_slice) / 1000.0
        self.bucket_level = burst if self.bucket_level < 0.0 else min(self.bucket_level + refill, burst)
        self.last_slice = number
        for usage in self.open_slices.pop(number).values():
            self._settle_usage(number // SLICES_PER_BIN, usage)
        # Undrawn units above the burst and the units that may wait can no longer be drawn.
        lost_units = self.undrawn - burst - rate * MAX_WAIT_MS / 1000.0
        if lost_units > self.written_off:
            self.shortfall, self.written_off = self.shortfall + lost_units - self.written_off, lost_units

    def _settle_usage(self, bin_number: int, usage: SliceUsage) -> None:
        due = min(usage.requested_units, self.bucket_level)
        self.bucket_level = max(self.bucket_level - due, 0.0)
        self.undrawn += due - usage.drawn_units
        self.due_by_bin[bin_number] = self.due_by_bin.get(bin_number, 0.0) + due

    def _end_busy_period(self) -> None:
        """End the busy period: undrawn units count as shortfall."""
        self.shortfall += max(self.undrawn - self.written_off, 0.0)
        self.undrawn = self.written_off = 0.0
        self.busy_since_slice = self.last_slice + 1

    def needs_settling(self, until: int) -> bool:
        """Whether settling up to a slice would change anything."""
        return (self.undrawn > EPSILON and until > self.last_slice) or bool(
            self.open_slices and until > min(self.open_slices)
        )

    def dump(self) -> list[Any]:
        """The tally as plain data, for a snapshot."""
        return [
            [[number, by_reporter] for number, by_reporter in self.open_slices.items()],
            list(self.due_by_bin.items()),
            self.bucket_level,
            self.last_slice,
            self.undrawn,
            self.written_off,
            self.shortfall,
            self.busy_since_slice,
        ]

    @classmethod
    def load(cls, record: list[Any]) -> UsageTally:
        """Load the result of `dump`."""
        open_slices, due_by_bin, *figures = record
        return cls(
            {
                number: {reporter: SliceUsage(*usage) for reporter, usage in by_reporter.items()}
                for number, by_reporter in open_slices
            },
            dict(due_by_bin),
            *figures,
        )
