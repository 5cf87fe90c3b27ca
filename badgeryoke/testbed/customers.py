"""Customers and the generation of their requests, the same in simulated time and on sockets."""

from __future__ import annotations

import random
from dataclasses import dataclass

from badgeryoke.testbed.scenario.model import CustomerGroup, Scenario


@dataclass
class Customer:
    """A customer and how its requests are distributed over the gateways."""

    number: int
    customer_group: CustomerGroup
    rate: float  # requests a ms
    spread: int  # number of gateways that it uses
    first: int  # the first of these gateways
    phase: float  # offset of its shifts in ms

    def choose_gateway(self, now: float, rng: random.Random, gateways: int) -> int:
        """Choose the gateway of a request sent at `now`, in ms from the start.

        One gateway gets a larger fraction of the requests, and each shift it is another one.
        """
        shift = int((now + self.phase) // self.customer_group.shifts_ms)
        use_busiest = rng.random() < self.customer_group.busiest
        index = (self.number + shift) % self.spread if use_busiest else rng.randrange(self.spread)
        return (self.first + index) % gateways


def draw_customers(scenario: Scenario, rng: random.Random) -> list[Customer]:
    """Generate all customers of a scenario."""
    customers = []
    for customer_group in scenario.customer_groups:
        plan = next(plan for plan in scenario.plans if plan.name == customer_group.plan)
        for _ in range(customer_group.count):
            rate = rng.uniform(*customer_group.demand) * plan.rate / (sum(customer_group.units) / 2) / 1000.0
            spread = min(rng.randint(*customer_group.spread), scenario.gateways)
            customers.append(
                Customer(
                    rng.getrandbits(32),
                    customer_group,
                    rate,
                    spread,
                    rng.randrange(scenario.gateways),
                    rng.uniform(0, customer_group.shifts_ms),
                )
            )
    return customers
