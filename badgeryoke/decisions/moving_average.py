"""Averages that forget: pure arithmetic for the policy, which chooses their gains and time constants."""

from __future__ import annotations

import math


class DecayingAverage:
    """An exponential moving average that also decays to 0 with time."""

    __slots__ = ("gain", "tau_ms", "updated_at", "value")

    def __init__(self, gain: float, tau_ms: float) -> None:
        self.gain, self.tau_ms = gain, tau_ms
        self.value, self.updated_at = 0.0, -math.inf  # as of the last sample

    def at(self, now: float) -> float:
        """The average as far as it is not forgotten."""
        return self.value * math.exp((self.updated_at - now) / self.tau_ms)

    def add(self, now: float, sample: float) -> None:
        """Add a sample."""
        self.value = (1 - self.gain) * self.at(now) + self.gain * sample
        self.updated_at = now


class DecayingCount:
    """The number of events, each weighted by exp(-age/tau)."""

    __slots__ = ("first_at", "tau_ms", "updated_at", "value")

    def __init__(self, tau_ms: float) -> None:
        self.tau_ms = tau_ms
        self.value, self.updated_at = 0.0, 0.0  # as of the last event
        self.first_at = math.inf  # the first event

    def at(self, now: float) -> float:
        """The count as far as it is not forgotten."""
        return self.value * math.exp(-(now - self.updated_at) / self.tau_ms)

    def add(self, now: float) -> None:
        """Count one event."""
        self.value = self.at(now) + 1
        self.updated_at, self.first_at = now, min(self.first_at, now)
