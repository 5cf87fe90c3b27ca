"""Reserved rates over time: their sum, its peak, and the earliest time at which a set of intervals fits.

Admission compares rates over intervals, so that a rejection can state which rate would fit, and from when on.
Times are Unix milliseconds, rates units a second.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Iterable
from itertools import pairwise
from typing import NamedTuple

from badgeryoke.cluster.leases.lease import EPSILON

MAX_START_TIMES_TRIED = 200  # start times tried in the search for the earliest one at which a proposal fits


class ReservedInterval(NamedTuple):
    """A rate that is reserved over [start_ms, end_ms)."""

    start_ms: float
    end_ms: float
    rate: float


def higher_of(first: list[ReservedInterval], second: list[ReservedInterval]) -> list[ReservedInterval]:
    """The maximum of two sets of intervals at every moment; an interval in both counts once."""
    times_ms = sorted({time_ms for start_ms, end_ms, _ in first + second for time_ms in (start_ms, end_ms)})
    rates = [max(rate_at(first, time_ms), rate_at(second, time_ms)) for time_ms in times_ms]
    return [
        ReservedInterval(start_ms, end_ms, rate)
        for (start_ms, end_ms), rate in zip(pairwise(times_ms), rates, strict=False)
        if rate > 0.0
    ]


def rate_at(intervals: list[ReservedInterval], at_ms: float) -> float:
    """The rate at a moment.  The intervals are in order of their start, and only neighbours overlap."""
    started_count = bisect_right(intervals, at_ms, key=lambda interval: interval.start_ms)
    neighbours = intervals[max(started_count - 2, 0) : started_count]
    return max((interval.rate for interval in neighbours if interval.end_ms > at_ms), default=0.0)


class CapacityProfile:
    """The sum of reserved rates as a step function of time."""

    def __init__(self, intervals: Iterable[ReservedInterval]) -> None:
        steps = sorted(
            step for start_ms, end_ms, rate in intervals for step in ((start_ms, rate), (end_ms, -rate))
        )
        self.times_ms: list[float] = []
        self.rates: list[float] = []  # the rate from the time with the same index on
        total = 0.0
        for time_ms, change in steps:
            total += change
            if self.times_ms and self.times_ms[-1] == time_ms:
                self.rates[-1] = total
            else:
                self.times_ms.append(time_ms)
                self.rates.append(total)

    def peak(self, start_ms: float, end_ms: float) -> float:
        """The highest rate at any moment of [start_ms, end_ms)."""
        first = bisect_right(self.times_ms, start_ms)
        last = max(bisect_right(self.times_ms, math.nextafter(end_ms, -math.inf)), first)
        return max([self.rates[first - 1] if first else 0.0, *self.rates[first:last]], default=0.0)

    def drops_after(self, after_ms: float) -> list[float]:
        """The times after `after_ms` at which the sum decreases."""
        return [
            time_ms
            for time_ms, before, after in zip(self.times_ms, [0.0, *self.rates], self.rates, strict=False)
            if after < before and time_ms > after_ms
        ]


class CapacityLimit(NamedTuple):
    """The rates that others have reserved, and the total that may be reserved, in the cluster or one zone."""

    others: CapacityProfile
    available: float

    def free_rate(self, intervals: list[ReservedInterval]) -> float:
        """The rate that is free over all intervals."""
        peak = max(self.others.peak(start_ms, end_ms) for start_ms, end_ms, _ in intervals)
        return max(self.available - peak, 0.0)

    def fits(self, intervals: list[ReservedInterval], shift_ms: float = 0.0) -> bool:
        """Whether all intervals, moved by `shift_ms`, fit with the reserved rates of others."""
        return all(
            self.others.peak(start_ms + shift_ms, end_ms + shift_ms) + rate <= self.available + EPSILON
            for start_ms, end_ms, rate in intervals
        )


def earliest_fit_ms(limits: list[CapacityLimit], intervals: list[ReservedInterval]) -> float:
    """The earliest start at which all intervals, moved together, fit; 0 if none was found.  Only times at which
    the rate of others decreases are tried, because nothing else can make intervals fit."""
    start_ms = intervals[0].start_ms
    ends_ms = sorted({time_ms for limit in limits for time_ms in limit.others.drops_after(start_ms)})
    for end_ms in ends_ms[:MAX_START_TIMES_TRIED]:
        if all(limit.fits(intervals, end_ms - start_ms) for limit in limits):
            return end_ms
    return 0.0
