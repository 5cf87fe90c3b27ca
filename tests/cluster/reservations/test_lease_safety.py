"""Safety: gateways together never use more than is reserved, despite lost or late messages and frozen gateways.

Planted faults break each rule, to show that these runs detect it.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

import pytest

from badgeryoke.cluster.errors import ClusterError
from badgeryoke.cluster.invariants import Invariants, InvariantViolation, Rule
from badgeryoke.cluster.leases.lease import LeaseRequest
from badgeryoke.cluster.leases.lease_pool import LeasePool
from badgeryoke.cluster.reservations.admission import ContractRegistry
from badgeryoke.cluster.reservations.commands import (
    CancelContract,
    ChangeContract,
    RequestLease,
)
from badgeryoke.cluster.reservations.contract_lease import ContractLease
from badgeryoke.cluster.reservations.guaranteed_rates import GuaranteedRates
from badgeryoke.cluster.reservations.lease_client import ReservationClient
from badgeryoke.cluster.reservations.lease_renewal import Renewal
from badgeryoke.cluster.state_machine_part import ApplyResult, Command
from badgeryoke.cluster.timings import Timings
from tests.support.contracts import (
    LEASE_TAIL_MS,
    TIMINGS,
    contract_terms,
    leader_view,
    propose,
    registry_with_capacity,
    reloaded,
    with_rate,
)
from tests.support.lease_holders import LeaseHolders
from tests.support.lease_simulation import LeaseSimulation


def run_faulty_gateways(seeds: range) -> None:
    """Traffic at twice the rate that moves between gateways, with faults of network, clocks and gateways."""
    for seed in seeds:
        simulation = LeaseSimulation(seed, length_ms=22_000.0, faulty=True)

        def request(simulation: LeaseSimulation = simulation) -> None:
            busy = [int(simulation.time_ms // 2500) % 5, int(simulation.time_ms // 4000) % 5]
            simulation.request(simulation.random.choice(busy), simulation.random.choice([0.5, 1.0, 2.0]))

        simulation.every(9.0, request)
        simulation.run(25_000.0)
        assert simulation.max_held_rate > 50.0  # a share was held at some time


def run_random_holders(seeds: range) -> None:
    """Holders of one pool that renew their leases at random."""
    for seed in seeds:
        random, holders = Random(seed), LeaseHolders()
        holders.begin(capacity=60.0, depth=30.0, step=0.0)
        for _ in range(300):
            holders.request(
                holder=random.choice("abcd"),
                kept=random.random(),
                wanted=random.uniform(0.0, 80.0),
                kept_depth=random.random(),
                unused=random.random(),
                takes_spare=random.random() < 0.5,
                stale=False,
            )
            holders.shares_and_units_are_bounded()


@dataclass
class HeldShare:
    """The rate a holder uses: its share until `until_ms`, and a fraction of it from then on."""

    number: int = 0
    share: float = 0.0
    expires_ms: float = 0.0
    until_ms: float = 0.0
    later_fraction: float = 0.0

    def used(self, at_ms: float) -> float:
        """The rate in use, units a second."""
        if at_ms >= self.expires_ms:
            return 0.0
        return self.share if at_ms < self.until_ms else self.share * self.later_fraction


class ChangingContracts:
    """Contracts that are proposed, changed and cancelled at random, with late commands between the groups and
    holders that use their whole leases."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.registry, self.rates = registry_with_capacity(100.0), GuaranteedRates(TIMINGS, Invariants())
        self.held: dict[tuple[str, str], HeldShare] = {}  # by contract and holder
        self.in_flight: list[tuple[float, Command]] = []

    def step(self, at_ms: int) -> None:
        """Simulate a tenth of a second."""
        self.propose_or_change(at_ms)
        self.deliver(at_ms)
        self.rates.record_applied(at_ms)
        for contract in list(self.rates.contracts):
            for holder in ("g", "h"):
                held = self.held.setdefault((contract, holder), HeldShare())
                if self.random.random() < 0.2:
                    self.held[contract, holder] = self.renew(at_ms, contract, holder, held)
        total = sum(held.used(at_ms) for held in self.held.values())
        if total > 100.0 + 1e-6:
            raise InvariantViolation(Rule.CONTRACTS_FIT, f"{total:g} of 100 in use at {at_ms}")
        if self.random.random() < 0.01:
            self.registry, self.rates = reloaded(self.registry), reloaded(self.rates)

    def propose_or_change(self, at_ms: int) -> None:
        """Propose, change or cancel a contract, or do nothing."""
        action, name = self.random.random(), f"c{self.random.randrange(4)}"
        if action < 0.05:
            start_ms = at_ms + self.random.choice([0, 3000, 9000])
            rate = self.random.choice([30.0, 50.0, 100.0])
            end_ms = start_ms + self.random.choice([5000, 20_000])
            propose(self.registry, at_ms, name, contract_terms(rate, start_ms, end_ms))
        elif action < 0.08 and name in self.registry.contracts:
            terms = self.registry.contracts[name].newest.terms
            effective_from_ms = at_ms + 2 * LEASE_TAIL_MS + self.random.choice([1, 3000])
            changed = with_rate(terms, self.random.choice([20.0, 40.0, 80.0]))
            self.registry.apply(
                at_ms,
                ChangeContract(
                    id=f"h{at_ms}", contract=name, terms=changed, effective_from_ms=effective_from_ms
                ),
            )
        elif action < 0.1 and name in self.registry.contracts:
            self.registry.apply(at_ms, CancelContract(id=f"x{at_ms}", contract=name))

    def deliver(self, at_ms: int) -> None:
        """Send the commands of the leaders, and apply those that have arrived."""
        view = leader_view(at_ms)
        self.in_flight += [
            (at_ms + self.random.choice([0, 100, 1000]), command)
            for command in self.registry.leader_tasks(view) + self.rates.leader_tasks(view)
        ]
        for command in [command for arrives_ms, command in self.in_flight if arrives_ms <= at_ms]:
            (self.registry if command.key() == "" else self.rates).apply(at_ms, command)
        self.in_flight = [sent for sent in self.in_flight if sent[0] > at_ms]

    def renew(self, at_ms: int, contract: str, holder: str, held: HeldShare) -> HeldShare:
        """Renew a lease: the holder keeps its whole share and wants more."""
        result = self.rates.apply(
            at_ms,
            RequestLease(
                id=f"{at_ms}{holder}",
                tenant="dealer",
                contract=contract,
                holder=holder,
                lease_number=held.number,
                kept_rate=held.used(at_ms),
                wanted_rate=100.0,
                returned_units=0.0,
            ),
        )
        if result.error is not None:
            return HeldShare()
        answer = result.value
        expires_ms = at_ms + TIMINGS.lease_ms
        return HeldShare(answer["number"], answer["part"], expires_ms, answer["until_ms"], answer["then"])


def run_changing_contracts(seeds: range) -> None:
    """Contracts that change in a cluster with a capacity of 100 units a second, one minute per seed."""
    for seed in seeds:
        contracts = ChangingContracts(seed)
        for at_ms in range(0, 60_000, 100):
            contracts.step(at_ms)


def test_leased_shares_never_exceed_the_contract_whatever_is_lost_frozen_or_late() -> None:
    run_faulty_gateways(range(4))


def test_any_order_of_contract_changes_keeps_use_within_the_capacity() -> None:
    run_changing_contracts(range(8))


# Planted faults
# ------------------------------------------------------------------------------------


def no_margin_for_clock_drift(patch: pytest.MonkeyPatch) -> None:
    """A lease is released after its nominal time, without a margin for clock drift."""
    patch.setattr(Timings, "lease_expiry_ms", lambda self: self.lease_ms)


def lease_counted_from_the_answer(patch: pytest.MonkeyPatch) -> None:
    """A holder measures the lease time from the answer, not from its request."""
    original = ReservationClient._lease_answered

    def answered(
        self: ReservationClient, now: float, lease: ContractLease, error: ClusterError | None, value: Any
    ) -> None:
        lease.requested_ms = now
        original(self, now, lease, error, value)

    patch.setattr(ReservationClient, "_lease_answered", answered)


def share_kept_until_the_answer(patch: pytest.MonkeyPatch) -> None:
    """A holder does not shrink its share before it sends the request."""
    original = ReservationClient._request_lease

    def request(self: ReservationClient, now: float, lease: ContractLease, renewal: Renewal) -> RequestLease:
        share = lease.share
        made = original(self, now, lease, renewal)
        lease.share = share
        return made

    patch.setattr(ReservationClient, "_request_lease", request)


def returned_units_counted_twice(patch: pytest.MonkeyPatch) -> None:
    """Units that a holder returns are added to the free units twice."""
    original = LeasePool.request

    def request(self: LeasePool, lease_request: LeaseRequest, rules: Invariants) -> Any:
        number = getattr(self.leases.get(lease_request.holder), "number", 0)
        if lease_request.returned_units > 0.0 and lease_request.lease_number == number:
            self.free_units += lease_request.returned_units
        return original(self, lease_request, rules)

    patch.setattr(LeasePool, "request", request)


def unseen_lease_counted_as_expired(patch: pytest.MonkeyPatch) -> None:
    """A lease that the leader has not marked as seen yet is released."""

    def expired(
        self: LeasePool, now: float, expiry_ms: float, leader_since_ms: float
    ) -> list[tuple[str, int]]:
        return [
            (holder, lease.number)
            for holder, lease in self.leases.items()
            if lease.seen_ms == math.inf or now - lease.seen_ms >= expiry_ms
        ]

    patch.setattr(LeasePool, "expired", expired)
    patch.setattr(GuaranteedRates, "record_applied", lambda self, now: None)


def capacity_freed_before_the_change(patch: pytest.MonkeyPatch) -> None:
    """The version in force reserves no capacity once another is pending."""
    original = ContractRegistry._change

    def change(self: ContractRegistry, at_ms: float, name: str, *more: Any) -> ApplyResult:
        result = original(self, at_ms, name, *more)
        if result.error is None:
            del self.contracts[name].versions[0]
        return result

    patch.setattr(ContractRegistry, "_change", change)


@pytest.mark.parametrize(
    ("plant", "run", "rule"),
    [
        pytest.param(fault, run, rule, id=fault.__name__.replace("_", "-"))
        for fault, run, rule in (
            (no_margin_for_clock_drift, run_faulty_gateways, Rule.LEASE_ONCE),
            (lease_counted_from_the_answer, run_faulty_gateways, Rule.LEASE_ONCE),
            (share_kept_until_the_answer, run_faulty_gateways, Rule.LEASE_ONCE),
            (unseen_lease_counted_as_expired, run_faulty_gateways, Rule.LEASE_ONCE),
            (returned_units_counted_twice, run_random_holders, Rule.PARTS_IN_WHOLE),
            (capacity_freed_before_the_change, run_changing_contracts, Rule.CONTRACTS_FIT),
        )
    ],
)
def test_a_planted_fault_is_found_by_the_rule_it_breaks(
    monkeypatch: pytest.MonkeyPatch,
    plant: Callable[[pytest.MonkeyPatch], None],
    run: Callable[[range], None],
    rule: Rule,
) -> None:
    plant(monkeypatch)
    with pytest.raises(InvariantViolation) as raised:
        run(range(12))
    assert raised.value.rule is rule
