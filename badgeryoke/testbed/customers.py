"""Customers and how their tries come: the same draw in simulated time and on sockets."""

from __future__ import annotations

import random
from dataclasses import dataclass

from badgeryoke.testbed.scenario.model import Crowd, Scenario


@dataclass
class Customer:
    """A customer and how its tries are spread."""

    number: int
    crowd: Crowd
    rate: float  # tries a ms
    spread: int
    first: int
    phase: float  # of its shifts, ms

    def door(self, now: float, rng: random.Random, gateways: int) -> int:
        """The gateway that a try comes to at a time, ms from the start: the busiest one more often, and
        another is the busiest after each shift."""
        turn = int((now + self.phase) // self.crowd.shifts_ms)
        busy = rng.random() < self.crowd.busiest
        index = (self.number + turn) % self.spread if busy else rng.randrange(self.spread)
        return (self.first + index) % gateways


def draw_customers(scenario: Scenario, rng: random.Random) -> list[Customer]:
    """All customers of a scenario."""
    made = []
    for crowd in scenario.crowds:
        plan = next(plan for plan in scenario.plans if plan.name == crowd.plan)
        for _ in range(crowd.count):
            rate = rng.uniform(*crowd.demand) * plan.rate / (sum(crowd.units) / 2) / 1000.0
            spread = min(rng.randint(*crowd.spread), scenario.gateways)
            made.append(
                Customer(
                    rng.getrandbits(32),
                    crowd,
                    rate,
                    spread,
                    rng.randrange(scenario.gateways),
                    rng.uniform(0, crowd.shifts_ms),
                )
            )
    return made
