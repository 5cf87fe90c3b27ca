"""Load shedding by event-loop lag: a gateway that is short of CPU time rejects requests without a decision.

A late decision means a late response and delays the requests behind it; a rejection costs the least CPU time.
"""

from __future__ import annotations

import random

# Shedding starts when the smoothed lag exceeds this fraction of the shortest latency objective.  Above it, the
# probability of a rejection rises by the slope per latency objective of further lag, up to the maximum.
LAG_THRESHOLD_FRACTION = 0.15
SHED_PROBABILITY_SLOPE = 3.0
MAX_SHED_PROBABILITY = 0.9
LAG_SMOOTHING_WEIGHT = 0.2  # weight of one sample; low, since a single stall is not an overload


class LoadShedder:
    """Smooths the event loop's lag, and selects at random the requests to reject because of it."""

    def __init__(self, seed: int) -> None:
        self._lag_ms = 0.0
        self._random = random.Random(seed)

    def record_loop_lag(self, late_ms: float) -> None:
        """Record one sample: the event loop ran a timer `late_ms` too late."""
        self._lag_ms += LAG_SMOOTHING_WEIGHT * (max(late_ms, 0.0) - self._lag_ms)

    def should_shed(self, shortest_objective_ms: float) -> bool:
        """Whether to reject a request without a decision; draws a random number only while the lag is too long."""
        excess = self._lag_ms / shortest_objective_ms - LAG_THRESHOLD_FRACTION
        return excess > 0 and self._random.random() < min(
            excess * SHED_PROBABILITY_SLOPE, MAX_SHED_PROBABILITY
        )
