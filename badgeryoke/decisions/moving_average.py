"""Averages and counts that decay with time; the policy chooses their gains and time constants."""

from __future__ import annotations

import math


class DecayingAverage:
    """An exponential moving average that also decays to 0 with time."""

    __slots__ = ("gain", "tau_ms", "updated_at", "value")

    def __init__(self, gain: float, tau_ms: float) -> None:
        self.gain, self.tau_ms = gain, tau_ms
        self.value, self.updated_at = 0.0, -math.inf  # value at the last sample, and the time of that sample

    def at(self, now: float) -> float:
        """Return the average, decayed since the last sample."""
        return self.value * math.exp((self.updated_at - now) / self.tau_ms)

    def add(self, now: float, sample: float) -> None:
        """Add a sample, weighted by the gain."""
        self.value = (1 - self.gain) * self.at(now) + self.gain * sample
        self.updated_at = now


class DecayingCount:
    """The number of events, each weighted by exp(-age/tau)."""

    __slots__ = ("first_at", "tau_ms", "updated_at", "value")

    def __init__(self, tau_ms: float) -> None:
        self.tau_ms = tau_ms
        self.value, self.updated_at = 0.0, 0.0  # value at the last event, and the time of that event
        self.first_at = math.inf  # time of the first event

    def at(self, now: float) -> float:
        """Return the count, decayed since the last event."""
        return self.value * math.exp(-(now - self.updated_at) / self.tau_ms)

    def add(self, now: float) -> None:
        """Count one event."""
        self.value = self.at(now) + 1
        self.updated_at, self.first_at = now, min(self.first_at, now)
