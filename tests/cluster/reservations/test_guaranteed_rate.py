"""The guaranteed rate: it follows the tenant's traffic, idle rate is lent, and shortfalls are counted."""

from __future__ import annotations

import pytest

from badgeryoke.cluster.reservations.commands import AdvanceContracts
from badgeryoke.cluster.reservations.settlement import NO_LEASE
from tests.support.contracts import TIMINGS
from tests.support.lease_simulation import CONTRACT, GATEWAYS, LeaseSimulation

SLOT_MS = 100
IDLE_FROM_MS, IDLE_TO_MS = 19_000.0, 27_000.0
CAPACITY, CONTRACT_RATE = 300.0, 60.0
UNRESERVED_RATE = CAPACITY - CONTRACT_RATE


class MovingTraffic:
    """The tenant requests twice its rate at one of five gateways, changes the gateway every 8 s, and is idle
    from 19 to 27 s.  Requests without a contract arrive at each gateway at five times the unreserved rate.  All
    counts are by slots of 100 ms."""

    def __init__(self) -> None:
        self.simulation = LeaseSimulation(3, length_ms=40_000.0)
        self.requested, self.served = [0] * 600, [0] * 600
        self.unreserved, self.lent = [0.0] * 600, [0.0] * 600  # units sent without a contract; units lent
        self.levels = [0.0] * GATEWAYS  # of the buckets for requests without a contract
        self.simulation.every(1000.0 / 120.0, self.request)
        self.simulation.every(2.0, self.serve_waiting)
        self.simulation.every(5.0, self.send_unreserved)

    @property
    def slot(self) -> int:
        """The current slot."""
        return int(self.simulation.time_ms // SLOT_MS)

    def request(self) -> None:
        """Make one request of the tenant, which waits if it is not served immediately."""
        simulation, time_ms = self.simulation, self.simulation.time_ms
        idle = IDLE_FROM_MS <= time_ms < IDLE_TO_MS
        if not simulation.start_ms <= time_ms < simulation.end_ms or idle:
            return
        gateway = int(time_ms // 8000) % GATEWAYS
        self.requested[self.slot] += 1
        if simulation.request(gateway):
            self.served[self.slot] += 1
        else:
            simulation.clients[gateway].wait(simulation.now(gateway), 1, 1.0, None)

    def serve_waiting(self) -> None:
        """Serve requests whose wait has ended with units."""
        for gateway, client in enumerate(self.simulation.clients):
            finished = client.finished_waits(self.simulation.now(gateway))
            served = [reserved for _, reserved in finished if reserved is not None]
            for reserved in served:
                self.simulation.check_served(reserved.units)
            self.served[self.slot] += len(served)

    def send_unreserved(self) -> None:
        """Send requests without a contract, up to the unreserved rate plus the lent rate."""
        for gateway, client in enumerate(self.simulation.clients):
            idle_rate = client.idle_rate(self.simulation.now(gateway))
            self.lent[self.slot] += idle_rate / 20.0
            gained = (UNRESERVED_RATE / 5 + idle_rate) * 0.005
            self.levels[gateway] = min(self.levels[gateway] + gained, 5.0)
            sent = min(self.levels[gateway], 5 * UNRESERVED_RATE / 5 * 0.005)
            self.levels[gateway] -= sent
            self.unreserved[self.slot] += sent

    def busy_seconds(self) -> list[int]:
        """The first slots of all seconds in which the tenant requested at least its rate in every slot, except
        around the start of traffic after the idle time."""
        back = int(IDLE_TO_MS // SLOT_MS)
        return [
            first
            for first in range(30, 420)
            if all(self.requested[first : first + 10])
            and sum(self.requested[first : first + 10]) >= 60
            and not back - 10 < first < back + 3
        ]


def test_the_guaranteed_rate_follows_the_traffic_and_idle_capacity_is_lent() -> None:
    traffic = MovingTraffic()
    simulation = traffic.simulation
    simulation.run(simulation.end_ms)
    seconds = traffic.busy_seconds()
    guaranteed = min(sum(traffic.served[first : first + 10]) for first in seconds) / CONTRACT_RATE
    assert len(seconds) > 200 and guaranteed >= 0.98
    assert simulation.max_held_rate <= CONTRACT_RATE + 1e-6  # the contract is never exceeded
    idle = range(int(IDLE_FROM_MS // SLOT_MS) + 1, int(IDLE_TO_MS // SLOT_MS))
    # Requests without a contract use the unreserved rate and the lent rate.
    assert sum(traffic.unreserved[slot] for slot in idle) >= 0.95 * 30.0 * len(idle)
    still_lent = [
        slot
        for slot in range(int(IDLE_TO_MS // SLOT_MS) + 1, 300)
        if traffic.lent[slot] > 0.05 * CONTRACT_RATE
    ]
    assert max(still_lent, default=0) <= int((IDLE_TO_MS + 250.0) // SLOT_MS)
    simulation.run(simulation.end_ms + 15_000.0)
    shortfall = simulation.registry.contracts[CONTRACT].shortfalls.get(NO_LEASE, {}).get("-", 0.0)
    due = 2 * 30.0 + CONTRACT_RATE * 32.0  # a burst at the start and one after the idle time, plus the rate
    assert shortfall == pytest.approx(due - sum(traffic.served), abs=0.01 * due)


def test_a_gateway_that_cannot_renew_its_lease_stops_and_its_shortfall_is_counted() -> None:
    simulation = LeaseSimulation(5, length_ms=20_000.0)
    client = simulation.clients[2]
    simulation.every(
        1000.0 / 60.0, lambda: simulation.request(2) or client.wait(simulation.now(2), 1, 1.0, None)
    )
    simulation.every(20.0, lambda: client.finished_waits(simulation.now(2)))
    simulation.run(6000.0)
    simulation.cut_until_ms[2] = 15_000.0
    assert client.held_rate(simulation.now(2)) > 50.0
    simulation.run(6000.0 + TIMINGS.lease_ms + 1.0)
    assert client.held_rate(simulation.now(2)) == 0.0 and not simulation.request(2)
    simulation.run(10_000.0)
    drawn = client.leases[CONTRACT].drawn_units
    simulation.run(45_000.0)
    shortfall = simulation.registry.contracts[CONTRACT].shortfalls[NO_LEASE]["-"]
    missed = 7.0 * CONTRACT_RATE  # from the expiry of its lease until it is connected again
    assert drawn > 0.0 and missed <= shortfall <= 1.15 * missed


def test_units_that_were_drawn_and_not_served_are_reported_once() -> None:
    simulation = LeaseSimulation(7, length_ms=20_000.0)
    client = simulation.clients[1]
    simulation.run(5000.0)
    assert client.draw(simulation.now(1), 3, 1.0) is None  # not a customer of the tenant
    assert client.draw(simulation.now(1), 2, 2.0) is None and client.wait(simulation.now(1), 2, 2.0, "it")
    simulation.run(5100.0)
    ((token, reserved),) = client.finished_waits(simulation.now(1))
    assert token == "it" and reserved is not None
    client.record_unserved(simulation.now(1), reserved, "load")
    simulation.run(9000.0)
    assert simulation.registry.contracts[CONTRACT].shortfalls == {"load": {"g1/1#p": 2.0}}
    assert simulation.registry.apply(simulation.time_ms, AdvanceContracts(id="p")).error is None
