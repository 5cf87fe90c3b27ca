"""Guaranteed rates: the part of a tenant's group that divides the tenant's contracts among the gateways.

Each contract's rate and burst are leased to gateways by a `badgeryoke.cluster.leases.lease_pool.LeasePool`.
A pending version takes effect at its `effective_from_ms`; once no lease of an earlier version remains, the
cluster's own group is notified (`VersionDrained`).  Usage is settled here, and shortfalls are reported.
"""

from __future__ import annotations

from typing import Any

import msgspec

from badgeryoke.cluster.errors import InvalidCall, LeaseExpired, NotFound, Overloaded
from badgeryoke.cluster.invariants import Invariants, Rule
from badgeryoke.cluster.leases.lease import EPSILON, LeaseGrant, LeaseRequest
from badgeryoke.cluster.leases.lease_pool import LeasePool
from badgeryoke.cluster.reservations.commands import (
    OpenContract,
    ReleaseLease,
    ReportShortfall,
    ReportUsage,
    RequestLease,
    SwitchVersion,
    TenantCommand,
    VersionDrained,
)
from badgeryoke.cluster.reservations.guaranteed_rate import AnsweredRequest, GuaranteedRate
from badgeryoke.cluster.reservations.retry_schedule import RetrySchedule
from badgeryoke.cluster.reservations.settlement import (
    BUSY_PERIOD_GAP_MS,
    NO_LEASE,
    SETTLEMENT_DELAY_SLICES,
    SLICE_MS,
)
from badgeryoke.cluster.state_machine_part import ApplyResult, Command, LeaderView
from badgeryoke.cluster.timings import Timings

MAX_CONTRACTS_PER_GROUP = 1000
RETENTION_LEASE_TIMES = 10  # lease times after its last window until a contract is dropped here


class GuaranteedRates:
    """Open contracts by name; a `StateMachinePart`."""

    def __init__(self, timings: Timings, invariants: Invariants) -> None:
        self._timings, self._invariants = timings, invariants
        self.contracts: dict[str, GuaranteedRate] = {}
        # The last number over all contracts, so that the numbers of a reopened contract do not start at 1 again.
        self.last_lease_number = 0
        self._drained_retries = RetrySchedule()
        self._shortfall_retries = RetrySchedule()
        self._unseen: set[str] = set()  # contracts with leases that `record_applied` has not marked as seen

    # Commands
    # ------------------------------------------------------------------------------------

    def apply(self, at_ms: float, command: Command) -> ApplyResult:
        """See badgeryoke.cluster.state_machine_part."""
        if not isinstance(command, TenantCommand):
            return _unknown_command(command)
        if problem := command.validate():
            return ApplyResult(error=InvalidCall(command.contract, problem))
        if isinstance(command, OpenContract):
            return self._open(at_ms, command)
        contract = self.contracts.get(command.contract)
        if contract is None:
            return ApplyResult(error=NotFound(command.contract, "no such contract is open here"))
        self._apply_pending(at_ms, contract)
        contract.pool.accrue(at_ms)
        match command:
            case RequestLease():
                return self._request_lease(at_ms, contract, command)
            case ReleaseLease():
                return self._release_lease(contract, command)
            case ReportUsage():
                return self._record_usage(at_ms, contract, command)
            case SwitchVersion():
                return self._switch_version(at_ms, contract)
        return _unknown_command(command)

    def _open(self, at_ms: float, command: OpenContract) -> ApplyResult:
        for name in [name for name, candidate in self.contracts.items() if self._is_over(at_ms, candidate)]:
            del self.contracts[name]
        contract = self.contracts.get(command.contract)
        if contract is None:
            if len(self.contracts) >= MAX_CONTRACTS_PER_GROUP:
                return ApplyResult(
                    error=Overloaded(
                        command.contract, f"{MAX_CONTRACTS_PER_GROUP} contracts are open in this group"
                    )
                )
            pool = LeasePool(0.0, 0.0, even_split=False)
            contract = GuaranteedRate(command.tenant, 0, 0.0, [], pool)
            self.contracts[command.contract] = contract
        self._apply_pending(at_ms, contract)
        if command.version > contract.version:
            if at_ms >= command.effective_from_ms:
                self._switch_to(contract, command)
            elif contract.pending is None or command.version > contract.pending.version:
                contract.pending = command
        return ApplyResult(contract.version)

    def _is_over(self, at_ms: float, contract: GuaranteedRate) -> bool:
        """Whether the last window ended long enough ago and no lease remains."""
        last_end_ms = contract.intervals[-1].end_ms if contract.intervals else 0.0
        retained_ms = RETENTION_LEASE_TIMES * self._timings.lease_expiry_ms()
        return contract.pending is None and not contract.pool.leases and at_ms > last_end_ms + retained_ms

    def _apply_pending(self, at_ms: float, contract: GuaranteedRate) -> None:
        """Apply the pending version if it is due."""
        if contract.pending is not None and at_ms >= contract.pending.effective_from_ms:
            self._switch_to(contract, contract.pending)

    def _switch_to(self, contract: GuaranteedRate, command: OpenContract) -> None:
        is_first_version = contract.version == 0
        contract.version, contract.rate = command.version, command.rate
        contract.intervals, contract.tenant = list(command.intervals), command.tenant
        contract.pool.resize(command.rate if command.intervals else 0.0, command.burst)
        if is_first_version:
            contract.pool.free_units = command.burst
        if contract.pending is not None and contract.pending.version <= command.version:
            contract.pending = None
        contract.last_older_lease_number = self.last_lease_number

    def _request_lease(self, at_ms: float, contract: GuaranteedRate, command: RequestLease) -> ApplyResult:
        answered = contract.answers.get(command.holder)
        if answered is not None and answered.command_id == command.id:
            return ApplyResult(answered.answer)
        if contract.is_stale(command):
            return ApplyResult(
                error=LeaseExpired(command.holder, "a later call of this holder was taken already")
            )
        interval = contract.interval_at(at_ms)
        grant = self._grant(contract, command, within_window=interval is not None)
        if not isinstance(grant, LeaseGrant):
            return ApplyResult(error=grant)
        if grant.number:
            self._check_number(command.contract, grant.number)
            self.last_lease_number = grant.number
            self._unseen.add(command.contract)
        answer: dict[str, Any] = msgspec.to_builtins(contract.lease_answer(at_ms, interval, grant))
        if grant.number:
            contract.answers[command.holder] = AnsweredRequest(command.id, answer)
        else:
            contract.answers.pop(command.holder, None)
        return ApplyResult(answer)

    def _grant(
        self, contract: GuaranteedRate, command: RequestLease, within_window: bool
    ) -> LeaseGrant | InvalidCall | LeaseExpired:
        """Request a lease from the pool.  Outside a window nothing is granted, but a holder's kept share counts
        until it is returned."""
        pool = contract.pool
        pool.last_number = self.last_lease_number
        request = LeaseRequest(
            command.holder,
            command.lease_number,
            kept_share=command.kept_rate,
            wanted=min(command.wanted_rate, pool.target) if within_window else 0.0,
            returned_units=command.returned_units,
            kept_depth=command.kept_depth,
            wanted_units=command.wanted_units,
            takes_spare=command.takes_spare and within_window,
            min_depth=command.min_depth,
            draws_per_request=command.draws_per_request,
        )
        return pool.request(request, self._invariants)

    def _check_number(self, contract: str, number: int) -> None:
        self._invariants.check(
            Rule.LEASE_ONCE,
            number > self.last_lease_number,
            lambda: f"{contract}: lease number {number} was already granted",
        )

    @staticmethod
    def _release_lease(contract: GuaranteedRate, command: ReleaseLease) -> ApplyResult:
        released = contract.pool.release(command.holder, command.lease_number)
        if released:
            contract.answers.pop(command.holder, None)
        return ApplyResult(released)

    @staticmethod
    def _record_usage(at_ms: float, contract: GuaranteedRate, command: ReportUsage) -> ApplyResult:
        newest = int(at_ms // SLICE_MS)
        contract.tally.record(command.reporter, command.slices, contract.rate, newest)
        contract.tally.settle(newest - SETTLEMENT_DELAY_SLICES, contract.rate, contract.pool.depth)
        return ApplyResult()

    @staticmethod
    def _switch_version(at_ms: float, contract: GuaranteedRate) -> ApplyResult:
        """Settle usage that is due, as there may be no more reports; `apply` has switched the version already."""
        tally = contract.tally
        if tally.open_slices or tally.undrawn:
            until = int(at_ms // SLICE_MS) - SETTLEMENT_DELAY_SLICES
            tally.settle(until, contract.rate, contract.pool.depth)
        return ApplyResult(contract.version)

    # Leader tasks
    # ------------------------------------------------------------------------------------

    def leader_tasks(self, view: LeaderView) -> list[Command]:
        """See badgeryoke.cluster.state_machine_part.  Releases leases that have expired by this machine's
        clock, reports drained versions and shortfalls, and proposes version switches and settlements that are
        due."""
        self.record_applied(view.now)
        return [
            *self._release_expired(view),
            *self._notify_drained(view.now),
            *self._switch_pending(view.wall),
            *self._settle_idle(view.wall),
            *self._report_shortfalls(view.now),
        ]

    def _release_expired(self, view: LeaderView) -> list[Command]:
        return [
            ReleaseLease(
                id=f"end/{name}/{number}",
                tenant=contract.tenant,
                contract=name,
                holder=holder,
                lease_number=number,
            )
            for name, contract in self.contracts.items()
            for holder, number in contract.pool.expired(
                view.now, self._timings.lease_expiry_ms(), view.leader_since_ms
            )
        ]

    def _notify_drained(self, now: float) -> list[Command]:
        drained = {
            f"told/{name}/{contract.version}": (name, contract.version)
            for name, contract in self.contracts.items()
            if contract.version and contract.drained()
        }
        tasks: list[Command] = []
        for request_id in self._drained_retries.due(drained, now):
            name, version = drained[request_id]
            tasks.append(VersionDrained(id=request_id, contract=name, version=version))
        return tasks

    def _switch_pending(self, wall: float) -> list[Command]:
        """Switches to pending versions that are due, in case no gateway calls."""
        return [
            SwitchVersion(id="turn", tenant=contract.tenant, contract=contract.pending.contract)
            for contract in self.contracts.values()
            if contract.pending is not None and wall >= contract.pending.effective_from_ms
        ]

    def _settle_idle(self, wall: float) -> list[Command]:
        """Settlements of usage that are due, in case no gateway reports."""
        until = int((wall - BUSY_PERIOD_GAP_MS) // SLICE_MS) - SETTLEMENT_DELAY_SLICES
        return [
            SwitchVersion(id="tally", tenant=contract.tenant, contract=name)
            for name, contract in self.contracts.items()
            if contract.tally.needs_settling(until)
        ]

    def _report_shortfalls(self, now: float) -> list[Command]:
        shortfalls = {
            f"short/{name}/{contract.tally.shortfall:.3f}": (name, contract.tally)
            for name, contract in self.contracts.items()
            if contract.tally.shortfall > EPSILON
        }
        tasks: list[Command] = []
        for request_id in self._shortfall_retries.due(shortfalls, now):
            name, tally = shortfalls[request_id]
            tasks.append(
                ReportShortfall(
                    id=request_id,
                    contract=name,
                    reporter="-",
                    cause=NO_LEASE,
                    units=tally.shortfall,
                    since_ms=tally.last_slice * SLICE_MS,
                )
            )
        return tasks

    def record_applied(self, now: float) -> None:
        """See badgeryoke.cluster.state_machine_part."""
        for name in self._unseen:
            if name in self.contracts:
                self.contracts[name].pool.mark_seen(now)
        self._unseen.clear()

    # Snapshots
    # ------------------------------------------------------------------------------------

    def dump(self) -> Any:
        """See badgeryoke.cluster.state_machine_part."""
        return [
            self.last_lease_number,
            [[name, *contract.dump()] for name, contract in self.contracts.items()],
        ]

    def load(self, raw: Any) -> None:
        """See badgeryoke.cluster.state_machine_part."""
        self.last_lease_number, records = raw
        self._drained_retries.clear()
        self._shortfall_retries.clear()
        self.contracts = {name: GuaranteedRate.load(record) for name, *record in records}
        self._unseen = set(self.contracts)


def _unknown_command(command: Command) -> ApplyResult:
    return ApplyResult(error=InvalidCall("floors", f"unknown command {command.command_name()}"))
