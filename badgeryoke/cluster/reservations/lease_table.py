"""The leases of one gateway by contract and by customer, updated with each poll for contracts."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from badgeryoke.cluster.reservations.answers import ContractFacts
from badgeryoke.cluster.reservations.contract_lease import ContractLease, CustomersFrom

# How long a settled contract is kept for its last reports after its lease has expired.
SETTLED_RETENTION_MS = 60_000.0


class LeaseTable:
    """All leases of a gateway.  `zone`: this gateway's zone; contracts of other zones are ignored."""

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self.by_contract: dict[str, ContractLease] = {}
        self._by_customer: dict[int, list[ContractLease]] = {}

    def update(self, now: float, contracts: Iterable[ContractFacts]) -> None:
        """Replace the known contracts by those of a poll (`now`: monotonic ms)."""
        leases: dict[str, ContractLease] = {}
        for facts in contracts:
            if facts.zone and facts.zone != self._zone:
                continue
            name = facts.contract
            lease = self.by_contract.get(name)
            if lease is None:
                lease = ContractLease(name, facts.tenant, facts.rank, facts, [], filled_ms=now)
            leases[name] = lease
            lease.facts, lease.rank = facts, facts.rank
            lease.customers = [
                CustomersFrom(version.effective_from_ms, frozenset(version.customers))
                for version in facts.versions
            ]
        for name, lease in self.by_contract.items():
            # A settled contract is kept for a time while it has unreported usage or shortfalls.
            unreported = lease.usage.slices or lease.shortfalls != lease.confirmed_shortfalls
            if name not in leases and unreported and now < lease.expires_ms + SETTLED_RETENTION_MS:
                leases[name] = lease
        self.by_contract = leases
        self._by_customer = _by_customer(leases.values())

    def open_for(self, customer: int, now: float, wall: float) -> Iterator[ContractLease]:
        """The leases on a customer's contracts that are in force now, filled up to now, in order of the
        contracts' importance."""
        for lease in self._by_customer.get(customer, ()):
            interval = lease.interval_at(wall)
            if interval is not None and wall >= interval.start_ms and lease.has_customer(customer, wall):
                lease.fill(now, wall)
                yield lease


def _by_customer(leases: Iterable[ContractLease]) -> dict[int, list[ContractLease]]:
    """The leases of each customer, in order of the contracts' importance."""
    leases_by_customer: dict[int, list[ContractLease]] = {}
    for lease in sorted(leases, key=lambda lease: (lease.rank, lease.contract)):
        customers = {customer for customers_from in lease.customers for customer in customers_from.customers}
        for customer in sorted(customers):
            leases_by_customer.setdefault(customer, []).append(lease)
    return leases_by_customer
