"""Whether the counter replies at all, and in time."""

from __future__ import annotations

import math

from badgeryoke.decisions.counter_health.presence_register import HEARTBEAT_INTERVAL_MS

UNREACHABLE_MS = 400.0  # without a successful call for so long ...
UNREACHABLE_MIN_FAILURES = 3  # ... and after so many failed ones the counter is unreachable
UNRESPONSIVE_MS = 1500.0  # without a reply for so long it is dead even though connections are accepted
SLOW_DELAY_FRACTION = 0.25  # of the timeout: the counter is slow from this mean delay on, ...
RECOVERED_DELAY_FRACTION = 0.12  # ... until the mean is down to this
DELAY_GAIN = 0.2  # EWMA weight of one reply in the mean delay


class ReplyMonitor:
    """Counts failures and averages the delay of all calls of this gateway to the counter."""

    def __init__(self, timeout_ms: float) -> None:
        self.timeout_ms = max(timeout_ms, 1.0)
        self.last_success_at = math.nan
        self.is_slow = False
        self._failure_count = 0
        self._refused_count = 0
        self._mean_delay = 0.0  # in parts of the timeout

    def record(self, now: float, succeeded: bool, rtt_ms: float, connect_failed: bool) -> None:
        """Take in the outcome of one call.  A refused connection says nothing of the counter's speed."""
        if succeeded:
            self.last_success_at = now
            self._failure_count = self._refused_count = 0
        else:
            self._failure_count += 1
            self._refused_count += connect_failed
        if not connect_failed:
            delay = min(rtt_ms / self.timeout_ms, 1.0) if succeeded else 1.0
            self._mean_delay += DELAY_GAIN * (delay - self._mean_delay)
        limit = RECOVERED_DELAY_FRACTION if self.is_slow else SLOW_DELAY_FRACTION
        self.is_slow = self._mean_delay > limit

    def is_unreachable(self, now: float) -> bool:
        """Whether calls fail; one failure fewer is enough when a whole heartbeat went by without success."""
        silence_ms = now - self.last_success_at
        min_failures = UNREACHABLE_MIN_FAILURES - (silence_ms > 2 * HEARTBEAT_INTERVAL_MS)
        return self._failure_count >= min_failures and silence_ms >= UNREACHABLE_MS

    def is_dead(self, now: float) -> bool:
        """Whether an unreachable counter is dead: it refuses connections, or has not replied for long."""
        refused = self._refused_count >= UNREACHABLE_MIN_FAILURES
        return refused or now - self.last_success_at >= UNRESPONSIVE_MS
