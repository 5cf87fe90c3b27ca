"""Simulation of one tenant's contract: five gateways with their own clocks, a network that delays, loses and
repeats calls, gateways that freeze, and two replicas of the tenant's group, one of which leads.

The checks use the rates that the gateways hold, never the group's own state.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from dataclasses import replace
from random import Random

from badgeryoke.cluster.errors import ClusterError, UnknownOutcome
from badgeryoke.cluster.invariants import Invariants, InvariantViolation, Rule
from badgeryoke.cluster.reservations.guaranteed_rates import GuaranteedRates
from badgeryoke.cluster.reservations.lease_client import ReservationClient
from badgeryoke.cluster.state_machine_part import ApplyResult, Command
from badgeryoke.cluster.timings import Timings
from tests.support.contracts import (
    TIMINGS,
    contract_terms,
    leader_view,
    propose,
    registry_with_capacity,
)

GATEWAYS = 5
CONTRACT = "p"
TIMINGS_WITH_DRIFT = Timings(clock_drift=0.05)


class LeaseSimulation:
    """The simulation that the module's docstring describes.

    `faulty`: calls are lost, late and repeated, clocks drift (the leader's is the fastest), gateways freeze and are
    isolated, and the leader changes.
    """

    queue: list[tuple[float, int, Callable[[], None]]]

    def __init__(
        self,
        seed: int,
        rate: float = 60.0,
        burst: float = 30.0,
        length_ms: float = 30_000.0,
        faulty: bool = False,
    ) -> None:
        self.random, self.time_ms, self.queue, self.events = Random(seed), 0.0, [], itertools.count()
        self.faulty, self.rate, self.burst = faulty, rate, burst
        self.start_ms, self.end_ms = 3000.0, 3000.0 + length_ms
        self.rules = Invariants()
        self.registry = registry_with_capacity(300.0)
        self.timings = TIMINGS_WITH_DRIFT if faulty else TIMINGS
        self.replicas = [GuaranteedRates(self.timings, self.rules) for _ in range(2)]
        self.leader = 0
        drift = self.timings.clock_drift if faulty else 0.0
        self.leader_clock_rate = 1.0 + drift
        # Offset (ms) and rate of each gateway's clock.
        self.clocks = [
            (self.random.uniform(0.0, 1e5), self.random.choice([1 - drift, 1.0, 1 + drift]))
            for _ in range(GATEWAYS)
        ]
        self.clients = [ReservationClient(f"g{n}/1", "p", self.timings) for n in range(GATEWAYS)]
        self.frozen_until_ms, self.cut_until_ms = [0.0] * GATEWAYS, [0.0] * GATEWAYS
        self.checked_level, self.checked_ms = 0.0, 0.0  # the bucket of `check_served`: units above the rate
        self.max_held_rate = 0.0
        terms = contract_terms(rate, self.start_ms, self.end_ms, burst=burst)
        assert propose(self.registry, 0.0, CONTRACT, terms).error is None
        for gateway in range(GATEWAYS):
            self.every(5.0, lambda gateway=gateway: self.poll(gateway))  # type: ignore[misc]
        self.every(100.0, self.run_leader_tasks)
        self.every(10.0, self.check_held_rate)
        if faulty:
            self.every(700.0, self.inject_fault)

    # Time
    # ------------------------------------------------------------------------------------

    def at(self, when_ms: float, do: Callable[[], None]) -> None:
        """Call `do` at a time."""
        heapq.heappush(self.queue, (when_ms, next(self.events), do))

    def every(self, period_ms: float, do: Callable[[], object]) -> None:
        """Call `do` periodically, first after a random part of the period."""

        def repeat() -> None:
            do()
            self.at(self.time_ms + period_ms, repeat)

        self.at(self.random.uniform(0.0, period_ms), repeat)

    def run(self, until_ms: float) -> None:
        """Run all events up to a time."""
        while self.queue[0][0] <= until_ms:
            self.time_ms, _, do = heapq.heappop(self.queue)
            do()
        self.time_ms = until_ms

    def now(self, gateway: int) -> float:
        """Return the time of a gateway's monotonic clock."""
        offset_ms, rate = self.clocks[gateway]
        return offset_ms + self.time_ms * rate

    # Calls
    # ------------------------------------------------------------------------------------

    def poll(self, gateway: int) -> None:
        """Make the calls that are due at a gateway."""
        if self.time_ms >= self.frozen_until_ms[gateway]:
            for command in self.clients[gateway].poll(self.now(gateway), self.time_ms):
                self.call(gateway, command)

    def call(self, gateway: int, command: Command) -> None:
        """Send a call over the network, which may lose it or its answer, or repeat the answer."""

        def done(result: ApplyResult | ClusterError) -> None:
            if self.time_ms < self.frozen_until_ms[gateway]:
                self.at(self.frozen_until_ms[gateway], lambda: done(result))
            else:
                self.clients[gateway].answered(self.now(gateway), command, result)

        def time_out() -> None:
            self.at(self.time_ms + TIMINGS.call_ms, lambda: done(UnknownOutcome("g", "lost")))

        def arrive() -> None:
            result = self.apply(command)
            if self.is_lost(gateway):
                time_out()
                return
            self.at(self.time_ms + self.delay_ms(), lambda: done(result))
            if self.faulty and self.random.random() < 0.1:
                self.at(self.time_ms + self.delay_ms(), lambda: done(result))

        if self.is_lost(gateway):
            time_out()
        else:
            self.at(self.time_ms + self.delay_ms(), arrive)

    def is_lost(self, gateway: int) -> bool:
        """Return whether a message to or from a gateway is lost."""
        return self.time_ms < self.cut_until_ms[gateway] or (self.faulty and self.random.random() < 0.1)

    def delay_ms(self) -> float:
        """Return the delay of a message."""
        return self.random.choice([2.0, 5.0, 30.0, 400.0]) if self.faulty else self.random.uniform(1.0, 4.0)

    def apply(self, command: Command) -> ApplyResult:
        """Apply a command in its group; the follower records it later than the leader."""
        if command.key() == "":
            if command.is_read_only:
                return self.registry.query(command)
            return self.registry.apply(self.time_ms, command)
        results = [replica.apply(self.time_ms, command) for replica in self.replicas]
        assert results[0] == results[1]
        self.replicas[self.leader].record_applied(self.time_ms * self.leader_clock_rate)
        follower = self.replicas[1 - self.leader]
        self.at(
            self.time_ms + self.random.uniform(0.0, 150.0),
            lambda: follower.record_applied(self.time_ms * self.leader_clock_rate),
        )
        return results[0]

    def run_leader_tasks(self) -> None:
        """Apply the commands that the leaders of both groups propose."""
        view = replace(leader_view(self.time_ms), now=self.time_ms * self.leader_clock_rate)
        tasks = self.registry.leader_tasks(view) + self.replicas[self.leader].leader_tasks(view)
        for command in tasks:
            self.apply(command)

    def inject_fault(self) -> None:
        """Isolate or freeze a gateway, change the leader, or do nothing."""
        gateway = self.random.randrange(GATEWAYS)
        kind = self.random.choice(["cut", "freeze", "lead", "none"])
        if kind == "cut":  # the gateway that holds the highest rate, where requests still arrive
            gateway = max(range(GATEWAYS), key=lambda index: self.clients[index].held_rate(self.now(index)))
            self.cut_until_ms[gateway] = self.time_ms + self.random.choice([500.0, 4000.0])
        elif kind == "freeze":
            self.frozen_until_ms[gateway] = self.time_ms + self.random.choice([300.0, 1900.0, 4000.0])
        elif kind == "lead":
            self.leader = 1 - self.leader
            self.replicas[self.leader].record_applied(self.time_ms * self.leader_clock_rate)

    # Requests and checks
    # ------------------------------------------------------------------------------------

    def request(self, gateway: int, units: float = 1.0) -> bool:
        """Make one request of the tenant at a gateway; returns whether it was served at once."""
        if self.time_ms < self.frozen_until_ms[gateway]:
            return False
        reserved = self.clients[gateway].draw(self.now(gateway), 1, units)
        if reserved is not None:
            self.check_served(units)
        return reserved is not None

    def check_held_rate(self) -> None:
        """Raise InvariantViolation if the gateways together hold more than the contract's rate."""
        held_rate = sum(
            client.held_rate(self.now(gateway))
            for gateway, client in enumerate(self.clients)
            if self.time_ms >= self.frozen_until_ms[gateway]
        )
        self.max_held_rate = max(self.max_held_rate, held_rate)
        if held_rate > self.rate + 1e-6:
            raise InvariantViolation(
                Rule.LEASE_ONCE, f"{held_rate:g} of {self.rate:g} in use at {self.time_ms:g}"
            )

    def check_served(self, units: float) -> None:
        """Raise InvariantViolation if the gateways serve more than the contract's rate and burst."""
        rate = self.rate * (1.0 + self.timings.clock_drift) / 1000.0
        remaining = max(self.checked_level - (self.time_ms - self.checked_ms) * rate, 0.0)
        self.checked_level, self.checked_ms = remaining + units, self.time_ms
        if self.checked_level > self.burst + 1.0 + 1e-6:
            raise InvariantViolation(
                Rule.PARTS_IN_WHOLE,
                f"{self.checked_level:g} units above the rate, at most {self.burst:g} allowed",
            )
