"""Usage not yet reported to the quota counter, in batches that survive the gateway that recorded them.

A gateway that cannot reach the counter records its unreported usage as replicated state, so that any other gateway
can report it.  A batch is reported by one gateway at a time: that gateway claims it through the log before it calls
the counter, and confirms it afterwards.

Delivery is at most once: a batch whose reporter got no answer from the counter, or died after its claim, is *not*
reported again.  Its units may be missing at the counter, but are never counted twice: a customer may be admitted for
one batch more, and is never rejected for usage that it did not have.  The hard ceiling does not depend on these
reports.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, ClassVar

import msgspec

from badgeryoke.cluster.errors import InvalidCall, NotFound, Overloaded, WrongState
from badgeryoke.cluster.messages import MemberId
from badgeryoke.cluster.state_machine_part import ApplyResult, Command, LeaderView

# Limit for all batches of one group, which are part of its snapshot; further batches are rejected, and stay with
# their gateway.
MAX_UNREPORTED_BYTES = 24 * 1024 * 1024
MIN_BATCH_BYTES = 24 * 1024  # minimum size charged for a batch, which limits a group to 1024 batches
BATCH_OVERHEAD_BYTES = 512  # charged for the name of a batch and the ids of its gateways
LINE_OVERHEAD_BYTES = 24  # charged for each line in addition to its name
MAX_LINES = 256
MAX_NAME_CHARACTERS = 64
MAX_UNITS = 1e9
MAX_BATCH_AGE_MS = 60_000.0  # the counter deletes a name after this time, so older batches are useless


class UsageLine(msgspec.Struct, frozen=True, array_like=True):
    """One call to the counter: a name, an amount, and the time to live of a new name in ms."""

    name: str
    units: float
    expire_ms: float


class RecordUsage(Command, frozen=True, kw_only=True, tag="Owe"):
    """Record usage that `recorded_by` has not reported; the command's `id` is the name of the batch."""

    tenant: str  # determines the group that stores the batch
    recorded_by: MemberId = msgspec.field(name="by")
    lines: tuple[UsageLine, ...]

    def key(self) -> str:
        """See `Command.key`."""
        return f"t:{self.tenant}"

    def validate(self) -> str:
        """See `Command.validate`."""
        if not 0 < len(self.lines) <= MAX_LINES:
            return f"lines: expected 1 to {MAX_LINES}"
        for line in self.lines:
            if not (
                0 < len(line.name) <= MAX_NAME_CHARACTERS
                and abs(line.units) <= MAX_UNITS
                and line.expire_ms >= 1
            ):
                return f"lines: {line.name!r}: amount or life is out of bounds"
        return ""


class ClaimUsage(Command, frozen=True, kw_only=True, tag="Claim"):
    """Claim a batch for reporting by `reporter`; the answer has its lines.  A batch can be claimed once."""

    tenant: str
    batch: str
    reporter: MemberId = msgspec.field(name="by")

    def key(self) -> str:
        """See `Command.key`."""
        return f"t:{self.tenant}"


class ConfirmUsageReported(Command, frozen=True, kw_only=True, tag="OwedTold"):
    """Close a batch: the counter has it or, with `outcome_known` false, may have it; it is not reported again."""

    tenant: str
    batch: str
    reporter: MemberId = msgspec.field(name="by")
    outcome_known: bool = msgspec.field(name="known")

    def key(self) -> str:
        """See `Command.key`."""
        return f"t:{self.tenant}"


class ReadUnreportedUsage(Command, frozen=True, kw_only=True, tag="OwedRead"):
    """Read the names of the unclaimed batches, oldest first."""

    is_read_only: ClassVar[bool] = True
    tenant: str

    def key(self) -> str:
        """See `Command.key`."""
        return f"t:{self.tenant}"


UNREPORTED_USAGE_COMMANDS: tuple[type[Command], ...] = (
    RecordUsage,
    ClaimUsage,
    ConfirmUsageReported,
    ReadUnreportedUsage,
)


@dataclass(slots=True)
class UsageBatch:
    """One unreported batch; `reporter` is empty until it is claimed."""

    recorded_at_ms: float  # group's time, Unix ms
    tenant: str
    recorded_by: MemberId
    lines: tuple[UsageLine, ...]
    reporter: MemberId = ""

    def size_bytes(self) -> int:
        """Size that is charged for the batch."""
        line_bytes = sum(len(line.name.encode()) + LINE_OVERHEAD_BYTES for line in self.lines)
        return max(BATCH_OVERHEAD_BYTES + len(self.tenant.encode()) + line_bytes, MIN_BATCH_BYTES)

    def units(self) -> float:
        """Sum of the units of its lines."""
        return sum(line.units for line in self.lines)

    def dump_lines(self) -> list[list[Any]]:
        """The lines as plain data, for answers and snapshots."""
        return [[line.name, line.units, line.expire_ms] for line in self.lines]


class UnreportedUsage:
    """The unreported batches of a group.  A `StateMachinePart`."""

    def __init__(self) -> None:
        self._batches: dict[str, UsageBatch] = {}  # in the order in which they were recorded
        self._total_bytes = 0
        self.unknown_units = 0.0  # units that the counter may or may not have

    def apply(self, at_ms: float, command: Command) -> ApplyResult:
        """See `StateMachinePart.apply`."""
        self._drop_expired(at_ms)
        match command:
            case RecordUsage():
                return self._record(at_ms, command)
            case ClaimUsage():
                return self._claim(command)
            case ConfirmUsageReported():
                return self._confirm(command)
        return ApplyResult(error=InvalidCall(command.id, "not a call for what is owed"))

    def _drop_expired(self, at_ms: float) -> None:
        for name, batch in list(self._batches.items()):
            if at_ms - batch.recorded_at_ms <= MAX_BATCH_AGE_MS:
                break  # the following batches are newer
            self._close(name, outcome_known=False)

    def _record(self, at_ms: float, command: RecordUsage) -> ApplyResult:
        if command.id in self._batches:
            # A repeated call whose remembered answer was dropped; the batch keeps its claim.
            return ApplyResult(True)
        batch = UsageBatch(at_ms, command.tenant, command.recorded_by, command.lines)
        size_bytes = batch.size_bytes()
        if self._total_bytes + size_bytes > MAX_UNREPORTED_BYTES:
            return ApplyResult(
                error=Overloaded(command.id, f"{MAX_UNREPORTED_BYTES} bytes of batches wait at the most")
            )
        self._total_bytes += size_bytes
        self._batches[command.id] = batch
        return ApplyResult(True)

    def _claim(self, command: ClaimUsage) -> ApplyResult:
        batch = self._batches.get(command.batch)
        if batch is None:
            return ApplyResult(error=NotFound(command.batch, "no such batch waits"))
        if batch.reporter:
            return ApplyResult(error=WrongState(command.batch, f"{batch.reporter} reports it"))
        batch.reporter = command.reporter
        return ApplyResult(batch.dump_lines())

    def _confirm(self, command: ConfirmUsageReported) -> ApplyResult:
        batch = self._batches.get(command.batch)
        if batch is None or batch.reporter != command.reporter:
            return ApplyResult(error=NotFound(command.batch, f"{command.reporter} does not report it"))
        self._close(command.batch, command.outcome_known)
        return ApplyResult(True)

    def _close(self, name: str, outcome_known: bool) -> None:
        batch = self._batches.pop(name)
        self._total_bytes -= batch.size_bytes()
        if not outcome_known:
            self.unknown_units += batch.units()

    def query(self, command: ReadUnreportedUsage) -> ApplyResult:
        """Answer a command that only reads."""
        return ApplyResult(
            [
                name
                for name, batch in self._batches.items()
                if not batch.reporter and batch.tenant == command.tenant
            ]
        )

    def leader_tasks(self, view: LeaderView) -> list[Command]:
        """Close the batches whose reporter has been dead for `repair_after_ms`, with an unknown outcome."""
        return [
            ConfirmUsageReported(
                id=f"owed/{name}/lost",
                tenant=batch.tenant,
                batch=name,
                reporter=batch.reporter,
                outcome_known=False,
            )
            for name, batch in self._batches.items()
            if batch.reporter and view.dead_for_ms.get(batch.reporter, 0.0) >= view.timings.repair_after_ms
        ]

    def record_applied(self, now: float) -> None:
        """See `StateMachinePart.record_applied`; nothing here expires by this machine's clock."""

    def dump(self) -> Any:
        """See `StateMachinePart.dump`; the order of the lists is the stored format."""
        return [
            self.unknown_units,
            [
                [
                    name,
                    batch.recorded_at_ms,
                    batch.tenant,
                    batch.recorded_by,
                    batch.dump_lines(),
                    batch.reporter,
                ]
                for name, batch in self._batches.items()
            ],
        ]

    def load(self, raw: Any) -> None:
        """See `StateMachinePart.load`."""
        self.unknown_units, batches = raw
        self._batches = {
            name: UsageBatch(
                recorded_at_ms, tenant, recorded_by, tuple(UsageLine(*line) for line in lines), reporter
            )
            for name, recorded_at_ms, tenant, recorded_by, lines, reporter in batches
        }
        self._total_bytes = sum(batch.size_bytes() for batch in self._batches.values())
