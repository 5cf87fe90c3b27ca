"""Lifeguard's local health: how far this member trusts its own timers."""

from __future__ import annotations

from dataclasses import dataclass

MAX_SCORE = 8  # Lifeguard's S: timeouts are stretched up to 9 times


@dataclass(slots=True)
class LocalHealth:
    """0 while this member's own pings succeed; it grows with signs that this member itself is slow."""

    score: int = 0

    @property
    def multiplier(self) -> int:
        """The local health multiplier: ping periods and timeouts are stretched by it."""
        return self.score + 1

    def degrade(self, steps: int = 1) -> None:
        """A ping failed, another member suspected this one, or this process was frozen."""
        self.score = min(self.score + steps, MAX_SCORE)

    def improve(self) -> None:
        """A ping was answered."""
        self.score = max(self.score - 1, 0)
