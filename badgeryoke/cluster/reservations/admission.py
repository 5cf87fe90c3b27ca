"""Admission control: the part of the cluster's own group that admits contracts and tracks their states.

All proposals go through one log, so two proposals at two gateways cannot both get the last capacity.  The
available capacity is the stated capacity minus a fraction for the loss of capacity, minus a rate for requests
without a contract.  A contract reserves capacity from the start of its window until its last lease must have
expired (`Timings.lease_expiry_ms` after the end).

A change, or a cancellation, is a version with a number and the time at which it takes effect, at least two lease
times ahead.  This group opens each version at the tenant's group
(`badgeryoke.cluster.reservations.guaranteed_rates`), which applies it at that time and answers `VersionDrained`
once no lease of an earlier version remains.  Until then the higher rate of the two versions stays reserved.

Admission by rates over windows follows `badgeryoke/decisions/plan_schedule`.
"""

from __future__ import annotations

import math
from typing import Any

import msgspec

from badgeryoke.cluster.errors import (
    AnyError,
    InsufficientCapacity,
    InvalidCall,
    NotFound,
    Overloaded,
    WrongState,
)
from badgeryoke.cluster.invariants import Invariants
from badgeryoke.cluster.reservations.answers import ContractsAnswer
from badgeryoke.cluster.reservations.capacity_profile import (
    ReservedInterval,
)
from badgeryoke.cluster.reservations.commands import (
    AdvanceContracts,
    CancelContract,
    ChangeContract,
    OpenContract,
    PollContracts,
    ProposeContract,
    ReportShortfall,
    SetCapacity,
    VersionDrained,
    contract_of,
)
from badgeryoke.cluster.reservations.contract import (
    Contract,
    ContractEvent,
    ContractState,
    ContractVersion,
)
from badgeryoke.cluster.reservations.contract_changes import (
    NOTICE_LEASE_TIMES,
    added_intervals,
    check_changeable,
    check_new_terms,
)
from badgeryoke.cluster.reservations.contract_records import (
    contract_facts,
    contract_status,
    dump_contract,
    load_contract,
)
from badgeryoke.cluster.reservations.reserved_capacity import ReservedCapacity
from badgeryoke.cluster.reservations.retry_schedule import RetrySchedule
from badgeryoke.cluster.reservations.terms import ContractTerms, expand_windows
from badgeryoke.cluster.state_machine_part import ApplyResult, Command, LeaderView
from badgeryoke.cluster.timings import Timings

MAX_CONTRACTS = 1000  # contracts in the cluster that are not settled; more are rejected
MAX_CONTRACTS_PER_TENANT = 16
MAX_SETTLED_CONTRACTS = 200  # settled contracts kept for operators to read; the oldest is dropped first
MAX_INTERVALS = 20_000  # intervals of all contracts together
MAX_SHORTFALL_REPORTS = 1024  # pairs of reporter and cause, per contract
CAPACITY_CHANGE_FRACTION = 0.02  # smaller changes of the measured capacity are not proposed
DEFAULT_UNRESERVED_FRACTION = 0.1  # fraction of the capacity that is left unreserved if no rate is stated
MIN_ZONES = 2  # least number of zones in the default reserve, which covers the loss of one zone


class ContractRegistry:
    """Contracts by name, in the order of their admission; a `StateMachinePart`."""

    def __init__(self, timings: Timings, invariants: Invariants) -> None:
        self.contracts: dict[str, Contract] = {}
        self.reserved_capacity = ReservedCapacity(timings, invariants)
        self.last_version = 0  # version numbers are unique over all contracts
        self.revision = 0  # counts the changes that gateways have to receive
        self._open_retries = RetrySchedule()

    @property
    def lease_tail_ms(self) -> float:
        """How long after the end of a window a lease may still be in use."""
        return self.reserved_capacity.lease_tail_ms

    # Commands
    # ------------------------------------------------------------------------------------

    def apply(self, at_ms: float, command: Command) -> ApplyResult:
        """See badgeryoke.cluster.state_machine_part."""
        if problem := command.validate():
            return ApplyResult(error=InvalidCall(contract_of(command) or "capacity", problem))
        for contract in self.contracts.values():
            contract.advance_to(at_ms, self.lease_tail_ms)
        match command:
            case ProposeContract():
                result = self._propose(at_ms, command)
            case ChangeContract():
                result = self._change(at_ms, command.contract, command.terms, command.effective_from_ms)
            case CancelContract():
                result = self._change(
                    at_ms, command.contract, None, at_ms + NOTICE_LEASE_TIMES * self.lease_tail_ms
                )
            case VersionDrained():
                result = self._version_drained(at_ms, command)
            case ReportShortfall():
                return self._record_shortfall(at_ms, command)  # reserves nothing: no invariant to check
            case SetCapacity():
                result = self._set_capacity(at_ms, command)
            case AdvanceContracts():
                self._drop_oldest_settled()
                return ApplyResult()
            case _:
                return ApplyResult(
                    error=InvalidCall("contracts", f"unknown command {command.command_name()}")
                )
        if result.error is None:
            self.reserved_capacity.verify(self.contracts.values(), at_ms)
        return result

    def _propose(self, at_ms: float, command: ProposeContract) -> ApplyResult:
        name, terms = command.contract, command.terms
        existing = self.contracts.get(name)
        if existing is not None:
            same = existing.versions[0].terms == terms
            return ApplyResult(
                contract_status(existing), None if same else WrongState(name, "another has that name")
            )
        intervals = expand_windows(terms.windows)
        start_ms = intervals[0].start_ms
        if start_ms < at_ms:
            return ApplyResult(
                error=InvalidCall(name, f"windows: from_ms: {at_ms - start_ms:.0f} ms in the past")
            )
        if (overload := self._check_bounds(terms, len(intervals))) is not None:
            return ApplyResult(error=overload)
        contract = Contract(name, [ContractVersion(self.last_version + 1, terms, intervals, 0.0)])
        reserved = contract.reserved_intervals(self.lease_tail_ms)
        if (rejection := self._check_fit(at_ms, name, reserved, terms)) is not None:
            contract.advance(ContractEvent.REFUSE)
            return ApplyResult(error=rejection)
        contract.advance(ContractEvent.ADMIT)
        self.contracts[name] = contract
        self.last_version += 1
        self.revision += 1
        contract.advance_to(at_ms, self.lease_tail_ms)
        return ApplyResult(contract_status(contract))

    def _change(
        self, at_ms: float, name: str, terms: ContractTerms | None, effective_from_ms: float
    ) -> ApplyResult:
        """Add a version to a contract; without `terms` it is a cancellation."""
        contract = self.contracts.get(name)
        if contract is None:
            return ApplyResult(error=NotFound(name, "no such contract is known"))
        error = check_changeable(contract, at_ms, effective_from_ms, self.lease_tail_ms)
        if error is None and terms is not None:
            error = check_new_terms(contract, terms, effective_from_ms)
        if error is not None:
            return ApplyResult(error=error)
        old = contract.newest
        intervals = expand_windows(terms.windows) if terms is not None else []
        pending = ContractVersion(self.last_version + 1, terms or old.terms, intervals, effective_from_ms)
        if terms is not None:
            added = added_intervals(contract, pending, self.lease_tail_ms)
            if added and (rejection := self._check_fit(at_ms, name, added, terms)) is not None:
                return ApplyResult(error=rejection)
        contract.versions.append(pending)
        self.last_version += 1
        self.revision += 1
        if terms is None:
            contract.cancelled = True
            contract.advance(ContractEvent.CANCEL)
        return ApplyResult(contract_status(contract))

    def _version_drained(self, at_ms: float, command: VersionDrained) -> ApplyResult:
        contract = self.contracts.get(command.contract)
        if contract is None:
            return ApplyResult(error=NotFound(command.contract, "no such contract is known"))
        if command.version > contract.newest.number:
            return ApplyResult(
                error=WrongState(command.contract, f"version {command.version} is not known here")
            )
        if command.version > contract.confirmed_version:
            contract.confirmed_version = command.version
            if len(contract.versions) > 1 and command.version == contract.newest.number:
                del contract.versions[0]
            self.revision += 1
            contract.advance_to(at_ms, self.lease_tail_ms)
        return ApplyResult()

    def _record_shortfall(self, at_ms: float, command: ReportShortfall) -> ApplyResult:
        contract = self.contracts.get(command.contract)
        if contract is None:
            return ApplyResult(error=NotFound(command.contract, "no such contract is known"))
        totals = contract.shortfalls.setdefault(command.cause, {})
        added = command.units - totals.get(command.reporter, 0.0)
        reports = sum(map(len, contract.shortfalls.values()))
        if command.reporter not in totals and reports >= MAX_SHORTFALL_REPORTS:
            return ApplyResult(
                error=Overloaded(command.contract, f"{MAX_SHORTFALL_REPORTS} reports are counted already")
            )
        if added <= 0.0:
            return ApplyResult()
        totals[command.reporter] = command.units
        contract.shortfall_since_ms = min(contract.shortfall_since_ms or math.inf, command.since_ms)
        contract.last_shortfall_ms = at_ms
        contract.advance(ContractEvent.SHORTFALL)
        return ApplyResult()

    def _set_capacity(self, at_ms: float, command: SetCapacity) -> ApplyResult:
        excess = self.reserved_capacity.set_capacity(self.contracts.values(), at_ms, command)
        return ApplyResult({"available": self.reserved_capacity.available(), "over": excess})

    # Capacity
    # ------------------------------------------------------------------------------------

    def available(self) -> float:
        """The rate that may be reserved, units a second."""
        return self.reserved_capacity.available()

    def peak_reserved_rate(self, start_ms: float, end_ms: float) -> float:
        """The highest rate that contracts reserve at any moment of an interval (Unix ms), units a second."""
        return self.reserved_capacity.profile(self.contracts.values()).peak(start_ms, end_ms)

    def _check_fit(
        self, at_ms: float, name: str, reserved: list[ReservedInterval], terms: ContractTerms
    ) -> InsufficientCapacity | None:
        return self.reserved_capacity.check_fit(self.contracts.values(), at_ms, name, reserved, terms)

    def _check_bounds(self, terms: ContractTerms, new_intervals: int) -> AnyError | None:
        """Why another contract would exceed the bounds, or None."""
        self._drop_oldest_settled()
        live = [
            candidate for candidate in self.contracts.values() if candidate.state is not ContractState.SETTLED
        ]
        tenant_contracts = sum(contract.newest.terms.tenant == terms.tenant for contract in live)
        if len(live) >= MAX_CONTRACTS or tenant_contracts >= MAX_CONTRACTS_PER_TENANT:
            return Overloaded(
                terms.tenant,
                f"{MAX_CONTRACTS} in all, or {MAX_CONTRACTS_PER_TENANT} of a tenant, are held already",
            )
        known_intervals = sum(len(version.intervals) for contract in live for version in contract.versions)
        if known_intervals + new_intervals > MAX_INTERVALS:
            return Overloaded(terms.tenant, f"windows: all contracts' come to more than {MAX_INTERVALS}")
        return None

    def _drop_oldest_settled(self) -> None:
        settled = [
            name for name, contract in self.contracts.items() if contract.state is ContractState.SETTLED
        ]
        for name in settled[: max(len(settled) - MAX_SETTLED_CONTRACTS, 0)]:
            del self.contracts[name]

    # Leader tasks
    # ------------------------------------------------------------------------------------

    def leader_tasks(self, view: LeaderView) -> list[Command]:
        """See badgeryoke.cluster.state_machine_part.  Proposes the measured capacity and time-based state
        changes, and opens versions at the tenants' groups."""
        tasks: list[Command] = [*self._update_capacity(view)]
        tail_ms = self.lease_tail_ms
        if any(contract.due_event(view.wall, tail_ms) is not None for contract in self.contracts.values()):
            tasks.append(AdvanceContracts(id="pass"))
        return tasks + self._open_versions(view.now)

    def _update_capacity(self, view: LeaderView) -> list[Command]:
        capacity, stated = view.load.get("capacity", 0.0), self.reserved_capacity.capacity
        if capacity <= 0.0 or abs(capacity - stated) <= CAPACITY_CHANGE_FRACTION * stated:
            return []
        return [
            SetCapacity(
                id=f"capacity/{self.reserved_capacity.revision}",
                capacity=capacity,
                reserve_fraction=view.load.get("reserve", 1.0 / max(len(view.zones), MIN_ZONES)),
                unreserved_rate=view.load.get("floor", DEFAULT_UNRESERVED_FRACTION * capacity),
            )
        ]

    def _open_versions(self, now: float) -> list[Command]:
        """Opens the versions that the tenants' groups have not confirmed yet."""
        unconfirmed = {
            f"open/{contract.name}/{version.number}": (contract.name, version)
            for contract in self.contracts.values()
            if contract.is_live
            for version in contract.versions
            if version.number > contract.confirmed_version
        }
        tasks: list[Command] = []
        for request_id in self._open_retries.due(unconfirmed, now):
            name, version = unconfirmed[request_id]
            tasks.append(
                OpenContract(
                    id=request_id,
                    tenant=version.terms.tenant,
                    contract=name,
                    version=version.number,
                    rate=version.terms.rate,
                    burst=version.terms.burst,
                    intervals=tuple(version.intervals),
                    effective_from_ms=version.effective_from_ms,
                )
            )
        return tasks

    def record_applied(self, now: float) -> None:
        """See badgeryoke.cluster.state_machine_part.  Nothing here depends on this machine's clock."""

    # Answers and snapshots
    # ------------------------------------------------------------------------------------

    def query(self, command: Command) -> ApplyResult:
        """See badgeryoke.cluster.state_machine_part."""
        match command:
            case PollContracts():
                return ApplyResult(self._contracts_answer(command.known_revision))
            case _:
                return ApplyResult(
                    {
                        "capacity": self.reserved_capacity.capacity,
                        "reserve": self.reserved_capacity.reserve_fraction,
                        "floor": self.reserved_capacity.unreserved_rate,
                        "contracts": {
                            contract.name: contract_status(contract) for contract in self.contracts.values()
                        },
                    }
                )

    def _contracts_answer(self, known_revision: int) -> dict[str, Any]:
        """A `ContractsAnswer` as plain data."""
        if known_revision == self.revision:
            return {"known": self.revision}
        live = tuple(contract_facts(contract) for contract in self.contracts.values() if contract.is_live)
        answer: dict[str, Any] = msgspec.to_builtins(ContractsAnswer(revision=self.revision, contracts=live))
        return answer

    def dump(self) -> Any:
        """See badgeryoke.cluster.state_machine_part."""
        reserved = self.reserved_capacity
        return [
            [reserved.capacity, reserved.reserve_fraction, reserved.unreserved_rate],
            reserved.zones,
            [self.last_version, reserved.revision, self.revision],
            reserved.overcommitted,
            [dump_contract(contract) for contract in self.contracts.values()],
        ]

    def load(self, raw: Any) -> None:
        """See badgeryoke.cluster.state_machine_part."""
        reserved = self.reserved_capacity
        figures, reserved.zones, counters, reserved.overcommitted, records = raw
        reserved.capacity, reserved.reserve_fraction, reserved.unreserved_rate = figures
        self.last_version, reserved.revision, self.revision = counters
        self._open_retries.clear()
        contracts = [load_contract(record) for record in records]
        self.contracts = {contract.name: contract for contract in contracts}
