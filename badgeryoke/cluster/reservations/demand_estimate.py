"""Demand estimate: the rate at which a tenant requests units at one gateway.

Two exponentially weighted moving averages, each divided by the weight that lies behind its first request, so
that they are unbiased from the start.  The slow one is used unless the fast one lies outside of three
standard deviations of the noise of single requests: then demand has changed.  Times are monotonic ms.

Source: exponential smoothing with bias correction (Kingma and Ba, ICLR 2015, section 3, for the correction).
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from badgeryoke.cluster.leases.lease import EPSILON

FAST_AVERAGE_MS, SLOW_AVERAGE_MS = 150.0, 1000.0  # time constants
MIN_AVERAGE_MS = 40.0  # an average is over at least so long
MIN_REQUESTS = 2  # one request alone says nothing about a rate
CHANGE_DEVIATIONS = 3.0  # standard deviations between the averages from which demand has changed
IDLE_MS = 1000.0  # without a request: shares are spread evenly for lending, and the estimate begins anew
RESTART_GAPS = 4.0  # mean gaps between requests after which the estimate begins anew, where that is longer
QUIET_GAPS = 3.0  # mean gaps without a request after which the traffic may have moved
STOPPED_GAPS = 6.0  # mean gaps without a request after which it has stopped
MIN_GAP_MS, MAX_GAP_MS = 25.0, 1000.0  # bounds of the time after which it counts as quiet, or stopped
LARGEST_DECAY = 0.99  # of the largest request of late, with each request


@dataclass(slots=True)
class DemandEstimate:
    """Decaying sums of units and requests; see the module."""

    fast_units: float = 0.0
    slow_units: float = 0.0
    slow_requests: float = 0.0
    decayed_ms: float = 0.0  # up to when the sums have decayed
    started_ms: float = 0.0
    last_ms: float = -math.inf  # of the last request
    requests: int = 0  # since it started
    largest_request: float = 0.0  # units, of late; a bucket has to hold one
    mean_gap_ms: float = 0.0  # between requests, as of the last

    def record(self, now: float, units: float) -> None:
        """Take in one request."""
        if now > self.last_ms + max(IDLE_MS, RESTART_GAPS * self.mean_gap_ms):
            self._restart(now)
        self._decay(now)
        self.fast_units += units
        self.slow_units += units
        self.slow_requests += 1.0
        self.last_ms = now
        self.requests += 1
        self.largest_request = max(units, LARGEST_DECAY * self.largest_request)
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
        """The fraction of an average's weight that lies behind its start."""
        age_ms = max(self.decayed_ms - self.started_ms, MIN_AVERAGE_MS)
        return 1.0 - math.exp(-age_ms / time_constant_ms)

    def is_quiet(self, now: float) -> bool:
        """Whether nothing came for `QUIET_GAPS` mean gaps: the traffic may have moved."""
        return self._silent_for(now, QUIET_GAPS)

    def has_stopped(self, now: float) -> bool:
        """Whether nothing came for `STOPPED_GAPS` mean gaps."""
        return self._silent_for(now, STOPPED_GAPS)

    def _silent_for(self, now: float, gaps: float) -> bool:
        silence_ms = max(gaps * self.mean_gap_ms, MIN_GAP_MS * gaps / QUIET_GAPS)
        return now - self.last_ms > min(silence_ms, MAX_GAP_MS)

    def rate(self, now: float) -> float:
        """Units a second."""
        if self.requests < MIN_REQUESTS:
            return 0.0
        self._decay(now)
        fast = self.fast_units / (FAST_AVERAGE_MS * self._weight(FAST_AVERAGE_MS)) * 1000.0
        slow = self.slow_units / (SLOW_AVERAGE_MS * self._weight(SLOW_AVERAGE_MS)) * 1000.0
        mean_units = self.slow_units / self.slow_requests
        deviation = math.sqrt(max(slow, EPSILON) * mean_units * 1000.0 / (2.0 * FAST_AVERAGE_MS))
        return slow if abs(fast - slow) <= CHANGE_DEVIATIONS * deviation else fast
