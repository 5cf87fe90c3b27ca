"""The leases of one gateway, by contract and by customer, as the last poll for contracts left them."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from badgeryoke.cluster.reservations.answers import ContractFacts
from badgeryoke.cluster.reservations.contract_lease import ContractLease, CustomersFrom

SETTLED_RETENTION_MS = 60_000.0  # behind its last lease a settled contract is kept for its last reports


class LeaseTable:
    """See the module.  `zone`: of this gateway; contracts of other zones are left out."""

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self.by_contract: dict[str, ContractLease] = {}
        self._by_customer: dict[int, list[ContractLease]] = {}

    def update(self, now: float, contracts: Iterable[ContractFacts]) -> None:
        """Take in all contracts that there are (`now`: monotonic ms)."""
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
            # Settled: the lease expires by itself, and what is unreported is reported first.
            unreported = lease.usage.slices or lease.shortfalls != lease.confirmed_shortfalls
            if name not in leases and unreported and now < lease.expires_ms + SETTLED_RETENTION_MS:
                leases[name] = lease
        self.by_contract = leases
        self._by_customer = _by_customer(leases.values())

    def open_for(self, customer: int, now: float, wall: float) -> Iterator[ContractLease]:
        """Leases on the contracts of a customer whose window holds now, filled up to now; those of the most
        important contracts first."""
        for lease in self._by_customer.get(customer, ()):
            interval = lease.interval_at(wall)
            if interval is not None and wall >= interval.start_ms and lease.has_customer(customer, wall):
                lease.fill(now, wall)
                yield lease


def _by_customer(leases: Iterable[ContractLease]) -> dict[int, list[ContractLease]]:
    """The leases of each customer, those of the most important contracts first."""
    found: dict[int, list[ContractLease]] = {}
    for lease in sorted(leases, key=lambda lease: (lease.rank, lease.contract)):
        customers = {customer for known in lease.customers for customer in known.customers}
        for customer in sorted(customers):
            found.setdefault(customer, []).append(lease)
    return found
