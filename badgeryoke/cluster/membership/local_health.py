"""Lifeguard's local health: the extent to which this member's own slowness distorts its timers."""

from __future__ import annotations

from dataclasses import dataclass

MAX_SCORE = 8  # Lifeguard's S: timeouts grow up to 9 times


@dataclass(slots=True)
class LocalHealth:
    """A score that is 0 while this member's pings succeed, and grows with signs that this member itself is slow."""

    score: int = 0

    @property
    def multiplier(self) -> int:
        """Lifeguard's local health multiplier, by which protocol periods and ping timeouts are multiplied."""
        return self.score + 1

    def degrade(self, steps: int = 1) -> None:
        """Raise the score: a ping failed, another member suspected this one, or this process was frozen."""
        self.score = min(self.score + steps, MAX_SCORE)

    def improve(self) -> None:
        """Lower the score: a ping was answered."""
        self.score = max(self.score - 1, 0)
