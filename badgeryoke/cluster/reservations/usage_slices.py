"""What a gateway counts of a contract's use until the tenant's group has confirmed it.

Requested and drawn units are counted in slices of the group's time, so that the slices of all gateways add
up (`badgeryoke.cluster.reservations.settlement`).
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from badgeryoke.cluster.reservations.commands import MAX_SLICES_PER_REPORT, UsageSlice
from badgeryoke.cluster.reservations.settlement import MAX_WAIT_MS, SLICE_MS, SLICES_PER_BIN

MAX_SLICES = 2400  # kept until they are confirmed; above, older ones are merged: ten minutes
MAX_SLICES_AFTER_MERGE = MAX_SLICES * 3 // 4  # of the merged ones
MAX_DRAW_DELAY_MS = 100.0  # behind its longest wait a request was served, or never will be
STAMP_FRACTION = 0.25  # of a call's time has passed when the group's leader stamps it


@dataclass(slots=True)
class SliceCount:
    """Units of one slice, counted up while it is open."""

    requested: float = 0.0
    drawn: float = 0.0


@dataclass(slots=True)
class UsageSlices:
    """Unconfirmed slices by number, the oldest first."""

    slices: dict[int, SliceCount] = field(default_factory=dict)
    current: SliceCount = field(default_factory=SliceCount)  # the slice of the last request

    def record(self, group_ms: float, units: float) -> None:
        """Count a request at a moment of the group's time."""
        number = int(group_ms // SLICE_MS)
        if number not in self.slices and len(self.slices) >= MAX_SLICES:
            self._merge_older()
        self.current = self.slices.setdefault(number, SliceCount())
        self.current.requested += units

    def _merge_older(self) -> None:
        """Cut off for long: merge older slices, but for those whose requests may still wait; drop the
        oldest where that is not enough."""
        before, self.slices = self.slices, {}
        last_final = next(reversed(before)) - int((MAX_WAIT_MS + MAX_DRAW_DELAY_MS) // SLICE_MS)
        for number, count in before.items():
            if number <= last_final:
                merged = self.slices.setdefault(number // SLICES_PER_BIN * SLICES_PER_BIN, SliceCount())
                merged.requested += count.requested
                merged.drawn += count.drawn
        while len(self.slices) > MAX_SLICES_AFTER_MERGE:
            del self.slices[next(iter(self.slices))]
        self.slices.update((number, count) for number, count in before.items() if number > last_final)

    def final(self, group_ms: float) -> tuple[UsageSlice, ...]:
        """The oldest slices that can't change any more, as many as fit one report."""
        end = int((group_ms - MAX_WAIT_MS - MAX_DRAW_DELAY_MS) // SLICE_MS)
        final = [
            UsageSlice(number, count.requested, count.drawn)
            for number, count in self.slices.items()
            if number < end
        ]
        return tuple(final[:MAX_SLICES_PER_REPORT])

    def confirm(self, reported: Iterable[UsageSlice]) -> None:
        """The group has recorded these."""
        for reported_slice in reported:
            self.slices.pop(reported_slice.number, None)


@dataclass(slots=True)
class GroupClock:
    """The group's time, as estimated from the answers of its leader: Cristian's algorithm (Distributed
    Computing 3, 1989), with the most exact answer kept.  Arguments are monotonic and Unix ms of this
    machine."""

    offset_ms: float = math.nan  # the group's time less the monotonic one; nan: no answer yet
    error_ms: float = math.inf  # by which that may be wrong, as of `measured_ms`
    measured_ms: float = 0.0

    def time(self, now: float, wall: float) -> float:
        """The group's time, Unix ms; by this machine's wall clock until the group has answered."""
        return wall if math.isnan(self.offset_ms) else now + self.offset_ms

    def observe(self, now: float, requested_ms: float, group_ms: float, clock_drift: float) -> None:
        """Take in an answer that was stamped `group_ms`, to a call that was made at `requested_ms`."""
        call_ms = now - requested_ms
        error_ms = self.error_ms + (now - self.measured_ms) * clock_drift
        if call_ms * STAMP_FRACTION < error_ms:
            self.offset_ms = group_ms - requested_ms - STAMP_FRACTION * call_ms
            self.error_ms, self.measured_ms = STAMP_FRACTION * call_ms, now
