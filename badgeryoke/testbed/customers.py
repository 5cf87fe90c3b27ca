"""Customers and how their tries come: the same draw in simulated time and on sockets."""

from __future__ import annotations

import random
from dataclasses import dataclass

from badgeryoke.testbed.scenario.model import CustomerGroup, Scenario


@dataclass
class Customer:
    """A customer and how its tries are spread."""

    number: int
    customer_group: CustomerGroup
    rate: float  # tries a ms
    spread: int
    first: int
    phase: float  # of its shifts, ms

    def choose_gateway(self, now: float, rng: random.Random, gateways: int) -> int:
        """The gateway that a try comes to at a time, ms from the start: the busiest one more often, and
        another is the busiest after each shift."""
        turn = int((now + self.phase) // self.customer_group.shifts_ms)
        busy = rng.random() < self.customer_group.busiest
        index = (self.number + turn) % self.spread if busy else rng.randrange(self.spread)
        return (self.first + index) % gateways


def draw_customers(scenario: Scenario, rng: random.Random) -> list[Customer]:
    """All customers of a scenario."""
    made = []
    for customer_group in scenario.customer_groups:
        plan = next(plan for plan in scenario.plans if plan.name == customer_group.plan)
        for _ in range(customer_group.count):
            rate = rng.uniform(*customer_group.demand) * plan.rate / (sum(customer_group.units) / 2) / 1000.0
            spread = min(rng.randint(*customer_group.spread), scenario.gateways)
            made.append(
                Customer(
                    rng.getrandbits(32),
                    customer_group,
                    rate,
                    spread,
                    rng.randrange(scenario.gateways),
                    rng.uniform(0, customer_group.shifts_ms),
                )
            )
    return made
