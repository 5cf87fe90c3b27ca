"""A machine's clocks: a monotonic one whose rate lies within the stated drift, and a wall clock that can be
stepped.

A process reads the wall clock once, when it starts, and derives it from the monotonic clock from then on, as the
gateway does: a step takes effect at the next start.  `true_ms` is simulated time, in ms since the start.
"""

from __future__ import annotations

from dataclasses import dataclass

START_UNIX_MS = 1_800_000_000_000.0  # Unix time at the start of the simulation


@dataclass(slots=True)
class Clock:
    """The clocks of one machine.  `rate`: ms that the monotonic clock advances in one true ms."""

    rate: float = 1.0
    initial_ms: float = 1_000_000.0  # value of the monotonic clock at true time 0
    wall_offset_ms: float = 0.0  # offset of the wall clock in ms, steps included
    _wall_minus_monotonic_ms: float = 0.0

    def now(self, true_ms: float) -> float:
        """The monotonic clock at a true time."""
        return self.initial_ms + true_ms * self.rate

    def true_time(self, now: float) -> float:
        """The true time at which the monotonic clock shows a value."""
        return (now - self.initial_ms) / self.rate

    def step(self, offset_ms: float) -> None:
        """Step the wall clock."""
        self.wall_offset_ms += offset_ms

    def start(self, true_ms: float) -> None:
        """Read the wall clock for a starting process."""
        self._wall_minus_monotonic_ms = START_UNIX_MS + true_ms + self.wall_offset_ms - self.now(true_ms)

    def wall(self, now: float) -> float:
        """Unix time as the process computes it from the monotonic clock."""
        return self._wall_minus_monotonic_ms + now
