"""Usage that a gateway has yet to report to the quota counter, in batches that outlive the gateway.

A gateway that cannot reach the counter records what it owes as replicated state, so that any gateway that is
left can report it.  A batch is reported by one gateway at a time: it is claimed through the log before the
counter is called, and confirmed afterwards.

At most once: a batch whose reporter called the counter and got no answer, or died after its claim, is *not*
reported again.  Its units may be missing at the counter, but are never counted twice: a customer may then be
admitted for one batch more, and is never rejected for what it did not use.  The hard ceiling does not depend
on these reports.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, ClassVar

import msgspec

from badgeryoke.cluster.errors import InvalidCall, NotFound, Overloaded, WrongState
from badgeryoke.cluster.messages import MemberId
from badgeryoke.cluster.state_machine_part import ApplyResult, Command, LeaderView

# Of the unreported batches in one group, a part of what a snapshot takes; further ones are rejected, and stay
# with their gateway.
MAX_UNREPORTED_BYTES = 24 * 1024 * 1024
MIN_BATCH_BYTES = 24 * 1024  # that a batch counts for: 1024 batches are kept at most
BATCH_OVERHEAD_BYTES = 512  # for a batch's name and its gateways
LINE_OVERHEAD_BYTES = 24
MAX_LINES = 256
MAX_NAME_CHARACTERS = 64
MAX_UNITS = 1e9
MAX_BATCH_AGE_MS = 60_000.0  # the counter forgets a name after so long: an older batch is of no use


class UsageLine(msgspec.Struct, frozen=True, array_like=True):
    """One call to the counter: a name, an amount, and the time to live of a new name in ms."""

    name: str
    units: float
    expire_ms: float


class RecordUsage(Command, frozen=True, kw_only=True, tag="Owe"):
    """`debtor` owes these; the command's `id` is the name of the batch."""

    tenant: str  # decides the group that keeps it
    debtor: MemberId = msgspec.field(name="by")
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
    """`reporter` is going to report a batch; the answer holds its lines, and is given once."""

    tenant: str
    batch: str
    reporter: MemberId = msgspec.field(name="by")

    def key(self) -> str:
        """See `Command.key`."""
        return f"t:{self.tenant}"


class ConfirmUsageReported(Command, frozen=True, kw_only=True, tag="OwedTold"):
    """The counter has a batch, or `outcome_known` is false: then nobody knows, and it is not reported again."""

    tenant: str
    batch: str
    reporter: MemberId = msgspec.field(name="by")
    outcome_known: bool = msgspec.field(name="known")

    def key(self) -> str:
        """See `Command.key`."""
        return f"t:{self.tenant}"


class ReadUnreportedUsage(Command, frozen=True, kw_only=True, tag="OwedRead"):
    """Names of the batches that nobody has claimed, oldest first."""

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

    since_ms: float  # group's time, Unix ms
    tenant: str
    debtor: MemberId
    lines: tuple[UsageLine, ...]
    reporter: MemberId = ""

    def size_bytes(self) -> int:
        """What the batch counts for."""
        lines = sum(len(line.name.encode()) + LINE_OVERHEAD_BYTES for line in self.lines)
        return max(BATCH_OVERHEAD_BYTES + len(self.tenant.encode()) + lines, MIN_BATCH_BYTES)

    def units(self) -> float:
        """Sum over its lines."""
        return sum(line.units for line in self.lines)

    def dump_lines(self) -> list[list[Any]]:
        """The lines as plain data, for answers and snapshots."""
        return [[line.name, line.units, line.expire_ms] for line in self.lines]


class UnreportedUsage:
    """The unreported batches of a group.  A `StateMachinePart`."""

    def __init__(self) -> None:
        self._batches: dict[str, UsageBatch] = {}  # in the order of their arrival
        self._total_bytes = 0
        self.unknown_units = 0.0  # of which nobody knows whether the counter has them

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
            if at_ms - batch.since_ms <= MAX_BATCH_AGE_MS:
                break  # the later ones are younger
            self._close(name, outcome_known=False)

    def _record(self, at_ms: float, command: RecordUsage) -> ApplyResult:
        if command.id in self._batches:
            # A repeat whose answer was forgotten; a claim of the batch goes on.
            return ApplyResult(True)
        batch = UsageBatch(at_ms, command.tenant, command.debtor, command.lines)
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
        """Close the batches, as unknown, whose reporter is dead for good."""
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
        """See `StateMachinePart.record_applied`; nothing here ends by this machine's clock."""

    def dump(self) -> Any:
        """See `StateMachinePart.dump`; the order of the lists is the stored format."""
        return [
            self.unknown_units,
            [
                [name, batch.since_ms, batch.tenant, batch.debtor, batch.dump_lines(), batch.reporter]
                for name, batch in self._batches.items()
            ],
        ]

    def load(self, raw: Any) -> None:
        """See `StateMachinePart.load`."""
        self.unknown_units, batches = raw
        self._batches = {
            name: UsageBatch(since_ms, tenant, debtor, tuple(UsageLine(*line) for line in lines), reporter)
            for name, since_ms, tenant, debtor, lines, reporter in batches
        }
        self._total_bytes = sum(batch.size_bytes() for batch in self._batches.values())
