"""Commands on contracts.

The first half is for the cluster's own group, which admits contracts; the second half is for a tenant's group,
which divides each contract into leases.  Commands are stored and sent with their `tag` and the field names that
`name=` states; these names are a stable format.
"""

from __future__ import annotations

import math
from typing import ClassVar, NamedTuple

import msgspec

from badgeryoke.cluster.messages import MemberId
from badgeryoke.cluster.reservations.terms import (
    MAX_COUNTER,
    MAX_INTERVALS_PER_CONTRACT,
    MAX_RATE,
    ContractTerms,
    Interval,
    validate_contract_name,
    validate_counter,
)
from badgeryoke.cluster.state_machine_part import Command

MAX_SLICES_PER_REPORT = 256
MAX_ZONES = 64
MAX_NAME_LENGTH = 200  # characters in the name of a member or a reporter (a member and its process)
MAX_CAUSE_LENGTH = 40
MAX_PROCESS_LENGTH = 64
MAX_SLICE_NUMBER = 1e12


# Commands of the cluster's own group
# ---------------------------------------------------------------------------------------


class SetCapacity(Command, frozen=True, kw_only=True, tag="Capacity"):
    """Set the cluster's capacity, units a second.  `reserve_fraction`: kept free for the loss of capacity;
    `unreserved_rate`: kept for requests without a contract; `zones`: the capacity of each zone, if known."""

    capacity: float = msgspec.field(name="units")
    reserve_fraction: float = msgspec.field(name="reserve")
    unreserved_rate: float = msgspec.field(name="floor")
    zones: dict[str, float] = msgspec.field(default_factory=dict, name="halls")

    def validate(self) -> str:
        """See badgeryoke.cluster.state_machine_part."""
        if not 0.0 <= self.capacity <= MAX_RATE or not 0.0 <= self.unreserved_rate <= MAX_RATE:
            return "units: expected 0 to 1e9, and floor as well"
        if len(self.zones) > MAX_ZONES or not all(0.0 <= zone <= MAX_RATE for zone in self.zones.values()):
            return "halls: expected 64 at the most, each 0 to 1e9"
        if not 0.0 <= self.reserve_fraction < 1.0:
            return f"reserve: expected 0 to below 1, got {self.reserve_fraction!r}"
        return ""


class ContractCommand(Command, frozen=True, kw_only=True):
    """A command on one contract, for the cluster's own group."""

    contract: str


class ProposeContract(ContractCommand, frozen=True, kw_only=True, tag="Propose"):
    """Propose a contract under a new name.  Answered by its status, or by InsufficientCapacity, which states
    the rate and the time that would fit."""

    terms: ContractTerms

    def validate(self) -> str:
        """See badgeryoke.cluster.state_machine_part."""
        return validate_contract_name(self.contract) or self.terms.validate()


class ChangeContract(ContractCommand, frozen=True, kw_only=True, tag="Change"):
    """Replace a contract's terms at one moment, at all gateways.  Tenant and zone cannot be changed."""

    terms: ContractTerms
    effective_from_ms: float = msgspec.field(name="holds_from_ms")  # Unix ms

    def validate(self) -> str:
        """See badgeryoke.cluster.state_machine_part."""
        if not 0.0 < self.effective_from_ms < math.inf:
            return "holds_from_ms: expected a moment, Unix ms"
        return validate_contract_name(self.contract) or self.terms.validate()


class CancelContract(ContractCommand, frozen=True, kw_only=True, tag="CancelContract"):
    """End a contract early.  It stays in force for two more lease times, then its capacity is freed."""


class VersionDrained(ContractCommand, frozen=True, kw_only=True, tag="Told"):
    """Report that the tenant's group has applied a version and no lease of an earlier version remains."""

    version: int

    def validate(self) -> str:
        """See badgeryoke.cluster.state_machine_part."""
        return validate_counter("version", self.version)


class ReportShortfall(ContractCommand, frozen=True, kw_only=True, tag="Short"):
    """Report reserved units that were not served at one gateway, by cause.  `units` is a running total since
    `since_ms` (Unix ms), so that a repeated report adds nothing."""

    remembers_answer: ClassVar[bool] = False

    reporter: str = msgspec.field(name="by")
    cause: str
    units: float
    since_ms: float

    def validate(self) -> str:
        """See badgeryoke.cluster.state_machine_part."""
        if not 0 < len(self.reporter) <= MAX_NAME_LENGTH or not 0 < len(self.cause) <= MAX_CAUSE_LENGTH:
            return "by: expected a name, and a cause"
        if not (0.0 < self.units < math.inf and 0.0 <= self.since_ms < math.inf):
            return "units: expected above 0"
        return ""


class AdvanceContracts(Command, frozen=True, kw_only=True, tag="Pass"):
    """Apply time-based state changes of contracts."""

    remembers_answer: ClassVar[bool] = False


class ReadContracts(Command, frozen=True, kw_only=True, tag="ContractsRead"):
    """Read all contracts, for operators: state, terms and shortfalls, and the stated capacity."""

    is_read_only: ClassVar[bool] = True


class PollContracts(Command, frozen=True, kw_only=True, tag="ContractsKnown"):
    """Read the contracts for a gateway; the answer has only the revision if the gateway already knows it."""

    is_read_only: ClassVar[bool] = True

    known_revision: int = msgspec.field(default=-1, name="have")

    def validate(self) -> str:
        """See badgeryoke.cluster.state_machine_part."""
        return validate_counter("have", self.known_revision + 1)


# Commands of a tenant's group
# ----------------------------------------------------------------------------------------


class TenantCommand(Command, frozen=True, kw_only=True):
    """A command on one contract, for the group of its tenant."""

    tenant: str
    contract: str

    def key(self) -> str:
        """See badgeryoke.cluster.state_machine_part."""
        return f"t:{self.tenant}"


class OpenContract(TenantCommand, frozen=True, kw_only=True, tag="Open"):
    """Apply a version of a contract at `effective_from_ms`; the first version immediately."""

    version: int
    rate: float
    burst: float
    intervals: tuple[Interval, ...] = msgspec.field(name="times")
    effective_from_ms: float = msgspec.field(name="holds_from_ms")

    def validate(self) -> str:
        """See badgeryoke.cluster.state_machine_part."""
        valid = (
            1 <= self.version < MAX_COUNTER and 0.0 < self.rate <= MAX_RATE and 0.0 <= self.burst <= MAX_RATE
        )
        return "" if valid and len(self.intervals) <= MAX_INTERVALS_PER_CONTRACT else "version: out of bounds"


class RequestLease(TenantCommand, frozen=True, kw_only=True, tag="Lease"):
    """Renew, shrink, grow or return a lease on a contract's rate and burst; answered by a `LeaseAnswer`.
    See `badgeryoke.cluster.leases.lease.LeaseRequest` for the amounts."""

    # Ordered by the lease number; the last answer is kept for a repeated request.
    remembers_answer: ClassVar[bool] = False

    holder: MemberId
    lease_number: int = msgspec.field(name="number")  # 0: no lease
    kept_rate: float = msgspec.field(name="keep")
    wanted_rate: float = msgspec.field(name="wish")
    returned_units: float = msgspec.field(name="room")
    kept_depth: float = msgspec.field(default=0.0, name="hold")
    wanted_units: float = msgspec.field(default=0.0, name="need")
    takes_spare: bool = msgspec.field(default=False, name="soft")
    min_depth: float = msgspec.field(default=0.0, name="least")
    draws_per_request: bool = msgspec.field(default=False, name="pulls")
    process: str = ""  # the holder's process
    # Sequence number of the call within that process, from 1: a call that arrives after a later one is stale.
    # 0: not ordered.
    sequence: int = msgspec.field(default=0, name="order")

    def validate(self) -> str:
        """See badgeryoke.cluster.state_machine_part."""
        amounts = (
            self.kept_rate,
            self.wanted_rate,
            self.returned_units,
            self.kept_depth,
            self.wanted_units,
            self.min_depth,
        )
        if not all(0.0 <= amount <= MAX_RATE for amount in amounts):
            return "keep: expected 0 to 1e9, and the other figures as well"
        if problem := validate_counter("number", self.lease_number):
            return problem
        if problem := validate_counter("order", self.sequence):
            return problem
        if not 0 < len(self.holder) <= MAX_NAME_LENGTH or len(self.process) > MAX_PROCESS_LENGTH:
            return "holder: expected a name"
        return ""


class SwitchVersion(TenantCommand, frozen=True, kw_only=True, tag="TurnFloor"):
    """Apply a pending version that is due, and settle usage that is due, without a call from a gateway."""

    remembers_answer: ClassVar[bool] = False


class UsageSlice(NamedTuple):
    """Units requested and drawn at one gateway in one slice of the group's time.  Sent as an array."""

    number: int  # the group's time divided by SLICE_MS
    requested_units: float
    drawn_units: float


class ReportUsage(TenantCommand, frozen=True, kw_only=True, tag="Used"):
    """Report the units that were requested and drawn under a contract at one gateway.  Reporting a slice again
    replaces the earlier report."""

    remembers_answer: ClassVar[bool] = False

    reporter: str = msgspec.field(name="by")
    slices: tuple[UsageSlice, ...]

    def validate(self) -> str:
        """See badgeryoke.cluster.state_machine_part."""
        valid = all(
            0 <= number <= MAX_SLICE_NUMBER
            and 0.0 <= requested_units <= MAX_RATE
            and 0.0 <= drawn_units <= MAX_RATE
            for number, requested_units, drawn_units in self.slices
        )
        if not valid or len(self.slices) > MAX_SLICES_PER_REPORT:
            return "slices: out of bounds"
        return "" if 0 < len(self.reporter) <= MAX_NAME_LENGTH else "slices: out of bounds"


class ReleaseLease(TenantCommand, frozen=True, kw_only=True, tag="EndLease"):
    """Release a lease that has expired by the leader's clock, and therefore by its holder's."""

    remembers_answer: ClassVar[bool] = False  # lease numbers are unique

    holder: MemberId
    lease_number: int = msgspec.field(name="number")

    def validate(self) -> str:
        """See badgeryoke.cluster.state_machine_part."""
        return validate_counter("number", self.lease_number)


FLEET_COMMANDS: tuple[type[Command], ...] = (
    SetCapacity,
    ProposeContract,
    ChangeContract,
    CancelContract,
    VersionDrained,
    ReportShortfall,
    AdvanceContracts,
    ReadContracts,
    PollContracts,
)
TENANT_COMMANDS: tuple[type[Command], ...] = (
    OpenContract,
    RequestLease,
    ReportUsage,
    ReleaseLease,
    SwitchVersion,
)


def contract_of(command: Command) -> str:
    """The contract that a command names; empty if it names none."""
    match command:
        case ContractCommand() | TenantCommand():
            return command.contract
    return ""
