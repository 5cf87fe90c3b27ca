"""Monitors whether the counter replies at all, and in time."""

from __future__ import annotations

import math

from badgeryoke.decisions.counter_health.presence_register import HEARTBEAT_INTERVAL_MS

# The counter is unreachable after this time without a successful call and this number of failed calls.
UNREACHABLE_MS = 400.0
UNREACHABLE_MIN_FAILURES = 3
UNRESPONSIVE_MS = 1500.0  # without a reply for this long, the counter is dead even if it accepts connections
SLOW_DELAY_FRACTION = 0.25  # fraction of the timeout: the counter is slow where the mean delay exceeds this
RECOVERED_DELAY_FRACTION = 0.12  # fraction of the timeout: a slow counter has recovered at this mean delay
DELAY_GAIN = 0.2  # EWMA weight of one reply in the mean delay


class ReplyMonitor:
    """Counts failures and averages the delay of all calls of this gateway to the counter."""

    def __init__(self, timeout_ms: float) -> None:
        self.timeout_ms = max(timeout_ms, 1.0)
        self.last_success_at = math.nan
        self.is_slow = False
        self._failure_count = 0
        self._refused_count = 0
        self._mean_delay = 0.0  # EWMA of the delay, as a fraction of the timeout

    def record(self, now: float, succeeded: bool, rtt_ms: float, connect_failed: bool) -> None:
        """Process the outcome of one call.  A refused connection does not show the counter's speed."""
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
        """Whether calls fail; after two heartbeat intervals without success one failure fewer is enough."""
        silence_ms = now - self.last_success_at
        min_failures = UNREACHABLE_MIN_FAILURES - (silence_ms > 2 * HEARTBEAT_INTERVAL_MS)
        return self._failure_count >= min_failures and silence_ms >= UNREACHABLE_MS

    def is_dead(self, now: float) -> bool:
        """Whether an unreachable counter is dead: it refuses connections, or has not replied for UNRESPONSIVE_MS."""
        refused = self._refused_count >= UNREACHABLE_MIN_FAILURES
        return refused or now - self.last_success_at >= UNRESPONSIVE_MS
