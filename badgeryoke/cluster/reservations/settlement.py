"""Settlement: what was due to a tenant, what it drew, and so what units it is short of.

All gateways report what was requested and drawn in slices of the group's time.  The tally compares the sum
with a token bucket of the contract's whole rate and burst that serves any units requested.  It is settled by
busy periods: within one, what was due may be drawn later, from buckets that other gateways had not used up,
by at most the burst and what may wait.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from badgeryoke.cluster.leases.lease import EPSILON
from badgeryoke.cluster.reservations.commands import UsageSlice

SLICE_MS = 5.0  # in which a gateway counts what was requested and drawn together
SLICES_PER_BIN = 50  # slices that are taken together where they are kept for long
MAX_OPEN_SLICES = 20_000  # reported and not settled yet; above, the older half is settled early
SETTLEMENT_DELAY_SLICES = 400  # behind the newest time, 2 s, for reports that are on their way
MAX_SLICES_AHEAD = 400  # of a gateway's clock that is ahead
RETAINED_SLICES = 120_000  # 10 min; a report of a gateway that was cut off is counted until then
BUSY_PERIOD_GAP_MS = 500.0  # without a request: what was due until then and not drawn never will be
MAX_WAIT_MS = 300.0  # of a request at a gateway, for units
NO_LEASE = "no lease"  # the cause of units that no gateway had a lease for where the tenant requested them


class SliceUsage(NamedTuple):
    """Units in one slice at one gateway.  Stored as an array."""

    requested: float
    drawn: float


@dataclass(slots=True)
class UsageTally:
    """What was due and what was drawn of one contract, over all gateways.  Slices are numbered by the
    group's time, all amounts are units."""

    # Reported and not settled: slice -> reporter -> usage.
    open_slices: dict[int, dict[str, SliceUsage]] = field(default_factory=dict)
    due_by_bin: dict[int, float] = field(default_factory=dict)  # of settled slices
    bucket_level: float = -1.0  # below 0: full, nothing was settled yet
    last_slice: int = 0  # the last one settled with usage
    undrawn: float = 0.0  # due and not drawn, in this busy period
    written_off: float = 0.0  # of `undrawn`, counted as shortfall already
    shortfall: float = 0.0
    busy_since_slice: int = 0  # the first slice of this busy period

    def record(self, reporter: str, slices: Iterable[UsageSlice], rate: float, newest: int) -> None:
        """Take in a report.  `rate`: the contract's, units a second; `newest`: the slice of the group's
        time now."""
        late_undrawn = 0.0
        for number, requested, drawn in slices:
            if number > self.last_slice:
                if number <= newest + MAX_SLICES_AHEAD:
                    self.open_slices.setdefault(number, {})[reporter] = SliceUsage(requested, drawn)
            elif number > newest - RETAINED_SLICES:
                undrawn = self._late_due(number, requested, rate) - drawn
                # In a busy period that is not over, what was drawn was not there for others, to whom it
                # was due in its place.
                if number >= self.busy_since_slice:
                    self.undrawn += undrawn
                else:
                    late_undrawn += undrawn
        self.shortfall += max(late_undrawn, 0.0)

    def _late_due(self, number: int, requested: float, rate: float) -> float:
        """What is due in a slice that was settled before it was reported: as far as the rate of that time
        was not requested elsewhere."""
        bin_number = number // SLICES_PER_BIN
        before = self.due_by_bin.get(bin_number, 0.0)
        due = min(requested, max(rate * SLICES_PER_BIN * SLICE_MS / 1000.0 - before, 0.0))
        self.due_by_bin[bin_number] = before + due
        return due

    def settle(self, until: int, rate: float, burst: float) -> None:
        """Settle all slices up to a number.  `rate`: units a second; `burst`: units."""
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
        # More than the burst and what may wait can't be drawn any more.
        lost = self.undrawn - burst - rate * MAX_WAIT_MS / 1000.0
        if lost > self.written_off:
            self.shortfall, self.written_off = self.shortfall + lost - self.written_off, lost

    def _settle_usage(self, bin_number: int, usage: SliceUsage) -> None:
        due = min(usage.requested, self.bucket_level)
        self.bucket_level = max(self.bucket_level - due, 0.0)
        self.undrawn += due - usage.drawn
        self.due_by_bin[bin_number] = self.due_by_bin.get(bin_number, 0.0) + due

    def _end_busy_period(self) -> None:
        """Nothing was requested for a while: what is undrawn now never will be drawn."""
        self.shortfall += max(self.undrawn - self.written_off, 0.0)
        self.undrawn = self.written_off = 0.0
        self.busy_since_slice = self.last_slice + 1

    def needs_settling(self, until: int) -> bool:
        """Whether settling up to a slice would change anything."""
        return (self.undrawn > EPSILON and until > self.last_slice) or bool(
            self.open_slices and until > min(self.open_slices)
        )

    def dump(self) -> list[Any]:
        """Plain data, as it is stored in a snapshot."""
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
        """The reverse of `dump`."""
        open_slices, due_by_bin, *figures = record
        return cls(
            {
                number: {reporter: SliceUsage(*usage) for reporter, usage in by_reporter.items()}
                for number, by_reporter in open_slices
            },
            dict(due_by_bin),
            *figures,
        )
