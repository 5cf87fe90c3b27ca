"""Load shedding by event-loop lag: a gateway that has no CPU time left rejects requests undecided.

A request that is decided late is answered late, and delays all behind it: rejecting costs the least of all.
"""

from __future__ import annotations

import random

# Shedding starts where the smoothed lag passes this fraction of the shortest latency objective.  Above it, the
# probability of a rejection rises by the slope for each further objective of lag, up to the maximum.
LAG_THRESHOLD_FRACTION = 0.15
SHED_PROBABILITY_SLOPE = 3.0
MAX_SHED_PROBABILITY = 0.9
LAG_SMOOTHING_WEIGHT = 0.2  # of one sample: a single stall is no overload


class LoadShedder:
    """Smooths the event loop's lag, and draws which requests are rejected because of it."""

    def __init__(self, seed: int) -> None:
        self._lag_ms = 0.0
        self._random = random.Random(seed)

    def record_loop_lag(self, late_ms: float) -> None:
        """Take in one sample: the event loop ran a timer this much too late."""
        self._lag_ms += LAG_SMOOTHING_WEIGHT * (max(late_ms, 0.0) - self._lag_ms)

    def should_shed(self, shortest_objective_ms: float) -> bool:
        """Whether to reject one request undecided; draws a random number only while the lag is too long."""
        excess = self._lag_ms / shortest_objective_ms - LAG_THRESHOLD_FRACTION
        return excess > 0 and self._random.random() < min(
            excess * SHED_PROBABILITY_SLOPE, MAX_SHED_PROBABILITY
        )
