"""A gateway's usage counts of a contract, kept until the tenant's group has confirmed them.

Requested and drawn units are counted in slices of the group's time, so that the slices of all gateways can be
added up (`badgeryoke.cluster.reservations.settlement`).
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from badgeryoke.cluster.reservations.commands import MAX_SLICES_PER_REPORT, UsageSlice
from badgeryoke.cluster.reservations.settlement import MAX_WAIT_MS, SLICE_MS, SLICES_PER_BIN

MAX_SLICES = 2400  # unconfirmed slices; above that older ones are merged, so that ten minutes fit
MAX_SLICES_AFTER_MERGE = MAX_SLICES * 3 // 4  # merged slices that are kept; older ones are dropped
MAX_DRAW_DELAY_MS = 100.0  # delay of a draw after MAX_WAIT_MS; a slice older than both cannot change any more
STAMP_FRACTION = 0.25  # fraction of a call's duration that has passed when the leader stamps the answer


@dataclass(slots=True)
class SliceCount:
    """Running counts of units in one slice."""

    requested_units: float = 0.0
    drawn_units: float = 0.0


@dataclass(slots=True)
class UsageSlices:
    """Unconfirmed slices by number, oldest first."""

    slices: dict[int, SliceCount] = field(default_factory=dict)
    current: SliceCount = field(default_factory=SliceCount)  # the slice of the last request

    def record(self, group_ms: float, units: float) -> None:
        """Count a request at a moment of the group's time."""
        number = int(group_ms // SLICE_MS)
        if number not in self.slices and len(self.slices) >= MAX_SLICES:
            self._merge_older()
        self.current = self.slices.setdefault(number, SliceCount())
        self.current.requested_units += units

    def _merge_older(self) -> None:
        """Merge older slices, as after a long partition, except those whose requests may still wait; drop the
        oldest if that is not enough."""
        previous, self.slices = self.slices, {}
        last_final = next(reversed(previous)) - int((MAX_WAIT_MS + MAX_DRAW_DELAY_MS) // SLICE_MS)
        for number, count in previous.items():
            if number <= last_final:
                merged = self.slices.setdefault(number // SLICES_PER_BIN * SLICES_PER_BIN, SliceCount())
                merged.requested_units += count.requested_units
                merged.drawn_units += count.drawn_units
        while len(self.slices) > MAX_SLICES_AFTER_MERGE:
            del self.slices[next(iter(self.slices))]
        self.slices.update((number, count) for number, count in previous.items() if number > last_final)

    def final(self, group_ms: float) -> tuple[UsageSlice, ...]:
        """The oldest slices that cannot change any more, at most as many as fit in a report."""
        end = int((group_ms - MAX_WAIT_MS - MAX_DRAW_DELAY_MS) // SLICE_MS)
        final = [
            UsageSlice(number, count.requested_units, count.drawn_units)
            for number, count in self.slices.items()
            if number < end
        ]
        return tuple(final[:MAX_SLICES_PER_REPORT])

    def confirm(self, reported: Iterable[UsageSlice]) -> None:
        """Drop slices that the group has recorded."""
        for reported_slice in reported:
            self.slices.pop(reported_slice.number, None)


@dataclass(slots=True)
class GroupClock:
    """The group's time, estimated from the answers of its leader by Cristian's algorithm (Distributed Computing
    3, 1989); the estimate with the smallest error is kept.  `now` and `wall` are this machine's monotonic and
    Unix ms."""

    offset_ms: float = math.nan  # the group's time minus monotonic time; nan: no answer yet
    error_ms: float = math.inf  # maximum error of `offset_ms`, as of `measured_ms`
    measured_ms: float = 0.0

    def time(self, now: float, wall: float) -> float:
        """The group's time, Unix ms; this machine's wall clock until the group has answered."""
        return wall if math.isnan(self.offset_ms) else now + self.offset_ms

    def observe(self, now: float, requested_ms: float, group_ms: float, clock_drift: float) -> None:
        """Use an answer with the time stamp `group_ms` to a call that was made at `requested_ms`."""
        call_ms = now - requested_ms
        error_ms = self.error_ms + (now - self.measured_ms) * clock_drift
        if call_ms * STAMP_FRACTION < error_ms:
            self.offset_ms = group_ms - requested_ms - STAMP_FRACTION * call_ms
            self.error_ms, self.measured_ms = STAMP_FRACTION * call_ms, now
