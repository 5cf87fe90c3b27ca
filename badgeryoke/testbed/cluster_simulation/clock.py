"""A member's clocks: a monotonic one whose rate lies within the stated drift, and a wall clock that can be
stepped.

A process anchors the wall clock to the monotonic one when it starts, as the product does: a step shows at the
next start alone.  `true` is the referee's time, ms since the world began.
"""

from __future__ import annotations

from dataclasses import dataclass

UNIX_MS = 1_800_000_000_000.0  # the world's beginning


@dataclass(slots=True)
class Clock:
    """Of one machine.  `rate`: ms that it counts in one true ms."""

    rate: float = 1.0
    first: float = 1_000_000.0  # what the monotonic clock showed at true 0
    off: float = 0.0  # of the wall clock, steps included
    _anchor: float = 0.0

    def now(self, true: float) -> float:
        """The monotonic clock."""
        return self.first + true * self.rate

    def true(self, now: float) -> float:
        """When the monotonic clock shows that."""
        return (now - self.first) / self.rate

    def step(self, by: float) -> None:
        """Set the wall clock by so much."""
        self.off += by

    def start(self, true: float) -> None:
        """A process starts: it reads the wall clock once."""
        self._anchor = UNIX_MS + true + self.off - self.now(true)

    def wall(self, now: float) -> float:
        """What the process takes for Unix time."""
        return self._anchor + now
