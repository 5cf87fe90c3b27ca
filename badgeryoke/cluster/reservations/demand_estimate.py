"""Demand estimate: the rate at which a tenant requests units at one gateway.

The estimate uses two exponentially weighted moving averages, each divided by the total weight since its start,
so that they are unbiased from the first request on.  The result is the slow average, unless the fast one differs
from it by more than three standard deviations of the noise of single requests: then demand has changed, and the
result is the fast average.  Times are monotonic ms.

Source: exponential smoothing with bias correction (Kingma and Ba, ICLR 2015, section 3, for the correction).
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from badgeryoke.cluster.leases.lease import EPSILON

FAST_AVERAGE_MS, SLOW_AVERAGE_MS = 150.0, 1000.0  # time constants of the two averages
MIN_AVERAGE_MS = 40.0  # the shortest time that an average covers
MIN_REQUESTS = 2  # a rate cannot be estimated from a single request
CHANGE_DEVIATIONS = 3.0  # a larger difference of the averages, in standard deviations, is a change of demand
# Time without a request after which shares are spread evenly for lending and the estimate restarts.
IDLE_MS = 1000.0
# Mean gaps without a request after which the estimate restarts, if that is longer than IDLE_MS.
RESTART_GAPS = 4.0
QUIET_GAPS = 3.0  # mean gaps without a request after which the traffic may have moved
STOPPED_GAPS = 6.0  # mean gaps without a request after which the traffic has stopped
# Bounds of the time without a request after which traffic counts as quiet or stopped.  The lower one is for
# `is_quiet` and twice as long for `has_stopped`.
MIN_GAP_MS, MAX_GAP_MS = 25.0, 1000.0
LARGEST_REQUEST_DECAY = 0.99  # factor per request for the recent largest request


@dataclass(slots=True)
class DemandEstimate:
    """A demand estimate, kept as decaying sums of units and requests."""

    fast_units: float = 0.0
    slow_units: float = 0.0
    slow_requests: float = 0.0
    decayed_ms: float = 0.0  # when the sums were last decayed
    started_ms: float = 0.0  # when the estimate last restarted
    last_ms: float = -math.inf  # time of the last request
    requests: int = 0  # number of requests since `started_ms`
    largest_request: float = 0.0  # units of the recent largest request, which a bucket has to hold
    mean_gap_ms: float = 0.0  # mean time between requests, as of the last request

    def record(self, now: float, units: float) -> None:
        """Count one request."""
        if now > self.last_ms + max(IDLE_MS, RESTART_GAPS * self.mean_gap_ms):
            self._restart(now)
        self._decay(now)
        self.fast_units += units
        self.slow_units += units
        self.slow_requests += 1.0
        self.last_ms = now
        self.requests += 1
        self.largest_request = max(units, LARGEST_REQUEST_DECAY * self.largest_request)
        self.mean_gap_ms = SLOW_AVERAGE_MS * self._weight(SLOW_AVERAGE_MS) / self.slow_requests

    def _restart(self, now: float) -> None:
        self.fast_units = self.slow_units = self.slow_requests = 0.0
        self.started_ms = self.decayed_ms = now
        self.requests = 0

    def _decay(self, now: float) -> None:
        elapsed_ms, self.decayed_ms = now - self.decayed_ms, now
        self.fast_units *= math.exp(-elapsed_ms / FAST_AVERAGE_MS)
        self.slow_units *= math.exp(-elapsed_ms / SLOW_AVERAGE_MS)
        self.slow_requests *= math.exp(-elapsed_ms / SLOW_AVERAGE_MS)

    def _weight(self, time_constant_ms: float) -> float:
        """The fraction of an average's total weight that falls in the time since its start."""
        age_ms = max(self.decayed_ms - self.started_ms, MIN_AVERAGE_MS)
        return 1.0 - math.exp(-age_ms / time_constant_ms)

    def is_quiet(self, now: float) -> bool:
        """Whether there was no request for `QUIET_GAPS` mean gaps: the traffic may have moved."""
        return self._silent_for(now, QUIET_GAPS)

    def has_stopped(self, now: float) -> bool:
        """Whether there was no request for `STOPPED_GAPS` mean gaps."""
        return self._silent_for(now, STOPPED_GAPS)

    def _silent_for(self, now: float, gaps: float) -> bool:
        silence_ms = max(gaps * self.mean_gap_ms, MIN_GAP_MS * gaps / QUIET_GAPS)
        return now - self.last_ms > min(silence_ms, MAX_GAP_MS)

    def rate(self, now: float) -> float:
        """The estimated rate, units a second."""
        if self.requests < MIN_REQUESTS:
            return 0.0
        self._decay(now)
        fast = self.fast_units / (FAST_AVERAGE_MS * self._weight(FAST_AVERAGE_MS)) * 1000.0
        slow = self.slow_units / (SLOW_AVERAGE_MS * self._weight(SLOW_AVERAGE_MS)) * 1000.0
        mean_units = self.slow_units / self.slow_requests
        deviation = math.sqrt(max(slow, EPSILON) * mean_units * 1000.0 / (2.0 * FAST_AVERAGE_MS))
        return slow if abs(fast - slow) <= CHANGE_DEVIATIONS * deviation else fast
