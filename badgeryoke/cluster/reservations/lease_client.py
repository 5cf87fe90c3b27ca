"""A gateway's client for contracts: it keeps a lease on each contract, from which requests draw units.

`ReservationClient` polls for contracts, renews the lease on each, reports usage and shortfalls, and draws units
for the requests of customers with a contract.  All its calls may be repeated: their ids are unique to the
process, and reports are totals.

A share that the tenant does not use is lent to other customers of this gateway.  The tenant gets it back with
its first request here, or, if its requests arrive at another gateway, within `SHARED_RENEWAL_MS` plus one call.

Times are ms: `now` by this machine's monotonic clock, `wall` Unix time.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

import msgspec

from badgeryoke.cluster.errors import ClusterError, InvalidCall, LeaseExpired, NotFound
from badgeryoke.cluster.leases.lease import EPSILON
from badgeryoke.cluster.messages import MemberId
from badgeryoke.cluster.reservations.answers import ContractsAnswer, LeaseAnswer
from badgeryoke.cluster.reservations.commands import (
    MAX_SLICES_PER_REPORT,
    PollContracts,
    ReportShortfall,
    ReportUsage,
    RequestLease,
)
from badgeryoke.cluster.reservations.contract_lease import ContractLease
from badgeryoke.cluster.reservations.lease_renewal import Renewal, apply_renewal, plan_renewal
from badgeryoke.cluster.reservations.lease_table import LeaseTable
from badgeryoke.cluster.state_machine_part import ApplyResult, Command
from badgeryoke.cluster.timings import Timings

POLL_MS = 1000.0  # interval between two polls for contracts
POLL_MS_PER_GATEWAY = 10.0  # minimum poll period per gateway, which matters in large clusters
# Time without an answer after which the same call is sent again; calls are idempotent.
RESEND_AFTER_MS = 300.0
FIRST_RETRY_MS = 50.0  # pause after a call without a known outcome; doubled up to MAX_RETRY_MS
MAX_RETRY_MS = 400.0
MAX_RETRY_DOUBLINGS = 8
SHORTFALL_REPORT_MS = 1000.0  # interval between two reports of a contract's shortfalls
USAGE_REPORT_MS = 500.0  # interval between two reports of a contract's usage
FLEET_KEY = ""  # the key of commands to the cluster's own group


@dataclass(frozen=True, slots=True)
class ReservedUnits:
    """Units drawn under a lease.  The request has priority over all others and is not rejected by quotas or load
    shedding."""

    contract: str
    units: float
    rank: int


def _no_wake() -> None:
    """The default of `ReservationClient.wake`: does nothing."""


class ReservationClient:
    """All leases of one gateway; a `badgeryoke.cluster.node_setup.LeaseClient`.

    `member_id`: this member; `process`: chosen at each start, so that the ids and totals of two processes differ.
    """

    def __init__(
        self, member_id: MemberId, process: str, timings: Timings, zone: str = "", gateways: int = 1
    ) -> None:
        self._member_id, self._process, self._timings = member_id, process, timings
        self._reporter = f"{member_id}#{process}"
        self.poll_ms = max(POLL_MS, POLL_MS_PER_GATEWAY * gateways)
        self._table = LeaseTable(zone)
        self._revision, self._polled_ms = -1, -math.inf
        self._in_flight: dict[str, Command] = {}  # the call in flight in each lane (see `_lane`)
        self._calls_made = 0
        self._wall_offset_ms = 0.0  # wall clock minus monotonic clock
        self.due = math.inf  # when the next call is due, if that is before the next regular `poll`
        self.wake: Callable[[], None] = _no_wake  # called when `due` becomes earlier

    @property
    def leases(self) -> dict[str, ContractLease]:
        """The leases by contract."""
        return self._table.by_contract

    # Calls
    # ------------------------------------------------------------------------------------

    def poll(self, now: float, wall: float) -> list[Command]:
        """See badgeryoke.cluster.node_setup.LeaseClient."""
        self._wall_offset_ms, self.due = wall - now, math.inf
        lanes = set(self._in_flight)
        calls = [
            *self._lease_calls(now, wall, lanes),
            *self._usage_calls(now, wall, lanes),
            *self._fleet_calls(now, lanes),
        ]
        for call in calls:
            self._in_flight[self._lane(call)] = call
        return calls

    @staticmethod
    def _lane(command: Command) -> str:
        """The lane of a command: calls in one lane are made one after the other.  Usage reports have a lane of
        their own, so that they and lease requests do not wait for each other."""
        return _usage_lane(command.key()) if isinstance(command, ReportUsage) else command.key()

    def _lease_calls(self, now: float, wall: float, lanes: set[str]) -> Iterator[Command]:
        """`lanes`: the lanes in use; lanes of the calls made here are added to it."""
        for lease in sorted(self.leases.values(), key=lambda lease: lease.sent_ms):
            # Resending the call in flight does not wait for its own lane.
            resends = lease.pending is not None and now >= lease.retry_ms
            if not resends and f"t:{lease.tenant}" in lanes:
                continue
            call = self._lease_call(now, wall, lease)
            if call is not None:
                lanes.add(call.key())
                yield call

    def _lease_call(self, now: float, wall: float, lease: ContractLease) -> RequestLease | None:
        if lease.pending is not None:
            if now < lease.retry_ms:
                return None
            lease.retry_ms = now + RESEND_AFTER_MS
            return lease.pending
        lease.fill(now, wall)
        renewal = plan_renewal(now, wall, lease, self._timings.lease_ms)
        if renewal is None:
            return None
        if now < renewal.due_ms:
            self.due = min(self.due, renewal.due_ms)
            return None
        return self._request_lease(now, lease, renewal)

    def _request_lease(self, now: float, lease: ContractLease, renewal: Renewal) -> RequestLease:
        """Reduce use to what the request keeps, then make the request."""
        change = apply_renewal(now, lease, renewal)
        lease.retry_ms = now + RESEND_AFTER_MS
        call_id = self._next_id()
        lease.pending = RequestLease(
            id=call_id,
            tenant=lease.tenant,
            contract=lease.contract,
            holder=self._member_id,
            lease_number=lease.lease_number,
            kept_rate=renewal.kept_rate,
            wanted_rate=renewal.wanted_rate,
            returned_units=change.returned_units,
            kept_depth=change.kept_depth,
            wanted_units=change.wanted_units,
            takes_spare=renewal.takes_spare,
            min_depth=change.min_depth,
            draws_per_request=lease.draws_per_request,
            process=self._process,
            sequence=self._calls_made,
        )
        return lease.pending

    def _usage_calls(self, now: float, wall: float, lanes: set[str]) -> Iterator[Command]:
        """Reports of slices that are final.  `lanes`: see `_lease_calls`."""
        for lease in self.leases.values():
            lane = _usage_lane(f"t:{lease.tenant}")
            if lane in lanes or now < lease.next_usage_report_ms:
                continue
            slices = lease.usage.final(lease.clock.time(now, wall))
            if not slices:
                continue
            complete = len(slices) < MAX_SLICES_PER_REPORT
            lease.next_usage_report_ms = now + (USAGE_REPORT_MS if complete else 0.0)
            lanes.add(lane)
            yield ReportUsage(
                id=self._next_id(),
                tenant=lease.tenant,
                contract=lease.contract,
                reporter=self._reporter,
                slices=slices,
            )

    def _fleet_calls(self, now: float, lanes: set[str]) -> Iterator[Command]:
        """At most one call; shortfall reports come before the poll for contracts."""
        if FLEET_KEY in lanes:
            return
        for lease in self.leases.values():
            cause = lease.unconfirmed_cause()
            if cause is not None and now >= lease.next_shortfall_report_ms:
                lease.next_shortfall_report_ms = now + SHORTFALL_REPORT_MS
                yield ReportShortfall(
                    id=self._next_id(),
                    contract=lease.contract,
                    reporter=self._reporter,
                    cause=cause,
                    units=lease.shortfalls[cause],
                    since_ms=lease.shortfalls_since[cause],
                )
                return
        if now >= self._polled_ms + self.poll_ms:
            self._polled_ms = now
            yield PollContracts(id=self._next_id(), known_revision=self._revision)

    def _next_id(self) -> str:
        self._calls_made += 1
        return f"{self._reporter}/{self._calls_made}"

    # Answers
    # ------------------------------------------------------------------------------------

    def answered(self, now: float, command: Command, result: ApplyResult | ClusterError) -> None:
        """See badgeryoke.cluster.node_setup.LeaseClient."""
        lane = self._lane(command)
        if self._in_flight.get(lane) is command:
            del self._in_flight[lane]
        error = result if isinstance(result, ClusterError) else result.error
        value = result.value if isinstance(result, ApplyResult) else None
        match command:
            case RequestLease():
                lease = self.leases.get(command.contract)
                if lease is not None and lease.pending is not None and lease.pending.id == command.id:
                    self._lease_answered(now, lease, error, value)
                    self._renew_soon(now, lease)
            case PollContracts() if error is None:
                answer = msgspec.convert(value, ContractsAnswer)
                if answer.contracts is not None:
                    self._revision = answer.revision
                    self._table.update(now, answer.contracts)
            case ReportUsage() if error is None and command.contract in self.leases:
                self.leases[command.contract].usage.confirm(command.slices)
            case ReportShortfall() if error is None and command.contract in self.leases:
                confirmed = self.leases[command.contract].confirmed_shortfalls
                confirmed[command.cause] = max(confirmed.get(command.cause, 0.0), command.units)

    def _lease_answered(
        self, now: float, lease: ContractLease, error: ClusterError | None, value: Any
    ) -> None:
        """`value`: a LeaseAnswer as plain data."""
        wall = now + self._wall_offset_ms
        lease.fill(now, wall)
        match error:
            case None:
                answer = msgspec.convert(value, LeaseAnswer)
                lease.apply_grant(now, wall, answer, self._timings.lease_ms)
                lease.clock.observe(now, lease.requested_ms, answer.at_ms, self._timings.clock_drift)
            case LeaseExpired() | InvalidCall():
                doublings = min(lease.rejections + 1, MAX_RETRY_DOUBLINGS)
                lease.mark_expired(now, min(FIRST_RETRY_MS * 2.0**doublings, MAX_RETRY_MS))
            case NotFound():  # the group has not opened the contract yet, or no longer has it
                lease.pending, lease.retry_ms = None, math.inf
                lease.sent_ms, lease.pause_ms = now, MAX_RETRY_MS
            case _:  # the call may have been applied: only repeating it shows the outcome
                lease.pause_ms = min(max(2.0 * lease.pause_ms, FIRST_RETRY_MS), MAX_RETRY_MS)
                lease.retry_ms = now + lease.pause_ms

    def _renew_soon(self, now: float, lease: ContractLease) -> None:
        """Schedule the next request as early as the pause allows, if the lease has too little."""
        if lease.pending is not None:
            return
        if lease.waiting or lease.share <= 0.0 or lease.lacks_share(lease.wanted_rate):
            due_ms = max(lease.sent_ms + lease.pause_ms, now)
            if due_ms < self.due - EPSILON:
                self.due = due_ms
                self.wake()

    # Requests of customers
    # ------------------------------------------------------------------------------------

    def draw(self, now: float, customer: int, units: float) -> ReservedUnits | None:
        """Draw units from the customer's first contract with enough of them in this gateway's bucket.  Returns
        None if there is none: the caller may `wait`, or serve it as an ordinary request."""
        wall = now + self._wall_offset_ms
        for lease in self._table.open_for(customer, now, wall):
            lease.record(now, wall, units)
            if not lease.waiting and lease.draw(now, wall, units, lease.usage.current):
                if lease.share <= 0.0:
                    self._renew_soon(now, lease)
                return ReservedUnits(lease.contract, units, lease.rank)
        return None

    def wait(self, now: float, customer: int, units: float, token: Any) -> bool:
        """Queue a request for which `draw` had no units, for at most `MAX_WAIT_MS`; `finished_waits` returns its
        token.  Returns False if the queue is too long for it to be served in that time: it is then an ordinary
        request."""
        wall = now + self._wall_offset_ms
        for lease in self._table.open_for(customer, now, wall):
            is_queued = lease.wait(now, wall, units, token)
            self._renew_soon(now, lease)
            if is_queued:
                return True
        return False

    def finished_waits(self, now: float) -> list[tuple[Any, ReservedUnits | None]]:
        """Remove the requests whose wait is over; returns their tokens, each with the units drawn for it, or None
        if there were none in time."""
        finished: list[tuple[Any, ReservedUnits | None]] = []
        wall = now + self._wall_offset_ms
        for lease in self.leases.values():
            for request, was_drawn in lease.finished_waits(now, wall):
                reserved = ReservedUnits(lease.contract, request.units, lease.rank) if was_drawn else None
                finished.append((request.token, reserved))
        return finished

    def record_unserved(self, now: float, reserved: ReservedUnits, cause: str) -> None:
        """Count drawn units that no server served as a shortfall, by cause ("load", "server lost", ...)."""
        if (lease := self.leases.get(reserved.contract)) is not None:
            lease.record_shortfall(cause, reserved.units, now + self._wall_offset_ms)

    # Rates and status
    # ------------------------------------------------------------------------------------

    def idle_rate(self, now: float) -> float:
        """Units a second of this gateway's shares that the tenants do not use now; they are lent."""
        wall = now + self._wall_offset_ms
        idle = 0.0
        for lease in self.leases.values():
            if wall >= lease.window_start_ms:
                lease.fill(now, wall)
                idle += lease.idle_share(now)
        return idle

    def held_rate(self, now: float) -> float:
        """Units a second of this gateway's shares of all contracts."""
        wall = now + self._wall_offset_ms
        for lease in self.leases.values():
            lease.fill(now, wall)
        return sum(lease.share for lease in self.leases.values() if wall >= lease.window_start_ms)

    def status(self, now: float) -> dict[str, Any]:
        """The status of all leases for operators, with the keys of the management interface."""
        return {name: lease.status(now) for name, lease in self.leases.items()}


def _usage_lane(key: str) -> str:
    return f"{key}#"
