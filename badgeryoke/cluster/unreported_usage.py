"""Units that a gateway owes the quota counter, in batches that outlive it.

A gateway that cannot reach the counter hands what it owes to the group, so that whoever is left can report
it.  A batch is reported by one at a time: it is claimed through the log before the counter is called, and
marked as told after.

Which way an unknown answer errs: a batch whose reporter called the counter and heard nothing, or died behind
its claim, is *not* told again.  Its units may be missing at the counter, never there twice: a customer may
then be let through for one batch more, and is never refused for what it did not use.  The hard ceiling does
not go by these reports.
"""

from __future__ import annotations

from typing import Any, ClassVar

import msgspec

from badgeryoke.cluster.errors import InvalidCall, NotFound, Overloaded, WrongState
from badgeryoke.cluster.messages import MemberId
from badgeryoke.cluster.state_machine.part import ApplyResult, Command, LeaderView

MOST_BYTES = (
    24 * 1024 * 1024
)  # of the batches in one group that are not told yet, a part of what a snapshot takes; more
LEAST_BYTES = (
    24 * 1024
)  # are refused, and stay with their gateway.  A batch counts for so much: 1024 at the most
MOST_LINES = 256
LATE_MS = 60_000.0  # the counter forgets a name after so long: a batch older than this is of no use


class UsageLine(msgspec.Struct, frozen=True, array_like=True):
    """One call at the counter: a name, an amount, the life of a new name in ms."""

    name: str
    units: float
    expire_ms: float


class RecordUsage(Command, frozen=True, kw_only=True, tag="Owe"):
    """`by` owes these; `id` names the batch."""

    tenant: str  # by which group it is kept
    by: MemberId
    lines: tuple[UsageLine, ...]

    def key(self) -> str:
        return f"t:{self.tenant}"

    def validate(self) -> str:
        if not 0 < len(self.lines) <= MOST_LINES:
            return f"lines: expected 1 to {MOST_LINES}"
        return next(
            (
                f"lines: {line.name!r}: amount or life is out of bounds"
                for line in self.lines
                if not (0 < len(line.name) <= 64 and abs(line.units) <= 1e9 and line.expire_ms >= 1)
            ),
            "",
        )


class ClaimUsage(Command, frozen=True, kw_only=True, tag="Claim"):
    """`by` is going to report a batch; the answer holds its lines, once."""

    tenant: str
    batch: str
    by: MemberId

    def key(self) -> str:
        return f"t:{self.tenant}"


class ConfirmUsageReported(Command, frozen=True, kw_only=True, tag="OwedTold"):
    """The counter has a batch, or `known` is false: nobody knows, and it is not told again."""

    tenant: str
    batch: str
    by: MemberId
    known: bool

    def key(self) -> str:
        return f"t:{self.tenant}"


class ReadUnreportedUsage(Command, frozen=True, kw_only=True, tag="OwedRead"):
    """Batches that nobody has claimed, oldest first."""

    reads: ClassVar[bool] = True
    tenant: str

    def key(self) -> str:
        return f"t:{self.tenant}"


COMMANDS: tuple[type[Command], ...] = (RecordUsage, ClaimUsage, ConfirmUsageReported, ReadUnreportedUsage)


def _bytes(tenant: str, lines: tuple[UsageLine, ...]) -> int:
    """What a batch counts for; 512: its name and gateways."""
    return max(512 + len(tenant.encode()) + sum(len(line.name.encode()) + 24 for line in lines), LEAST_BYTES)


class UnreportedUsage:
    """The part of a group's state that holds the batches."""

    def __init__(self) -> None:
        self._batches: dict[
            str, tuple[float, str, MemberId, tuple[UsageLine, ...], MemberId]
        ] = {}  # since, tenant, by, lines, claimer
        self._held = 0  # bytes
        self.unknown = 0.0  # units of which nobody knows whether the counter has them

    def apply(self, at_ms: float, command: Command) -> ApplyResult:
        """Take a batch in, give one out, or close one."""
        for name, batch in list(self._batches.items()):
            if at_ms - batch[0] <= LATE_MS:
                break  # they lie in the order of their coming
            self._close(name, False)
        match command:
            case RecordUsage():
                if command.id in self._batches:
                    # its answer was forgotten, the batch was not: a claim of it goes on
                    return ApplyResult(True)
                more = _bytes(command.tenant, command.lines)
                if self._held + more > MOST_BYTES:
                    return ApplyResult(
                        error=Overloaded(command.id, f"{MOST_BYTES} bytes of batches wait at the most")
                    )
                self._held += more
                self._batches[command.id] = at_ms, command.tenant, command.by, command.lines, ""
                return ApplyResult(True)
            case ClaimUsage():
                found = self._batches.get(command.batch)
                if found is None:
                    return ApplyResult(error=NotFound(command.batch, "no such batch waits"))
                if found[4]:
                    return ApplyResult(error=WrongState(command.batch, f"{found[4]} reports it"))
                self._batches[command.batch] = (*found[:4], command.by)
                return ApplyResult([[line.name, line.units, line.expire_ms] for line in found[3]])
            case ConfirmUsageReported():
                found = self._batches.get(command.batch)
                if found is None or found[4] != command.by:
                    return ApplyResult(error=NotFound(command.batch, f"{command.by} does not report it"))
                self._close(command.batch, command.known)
                return ApplyResult(True)
        return ApplyResult(error=InvalidCall(command.id, "not a call for what is owed"))

    def _close(self, name: str, known: bool) -> None:
        batch = self._batches.pop(name)
        self._held -= _bytes(batch[1], batch[3])
        if not known:
            self.unknown += sum(line.units for line in batch[3])

    def query(self, command: ReadUnreportedUsage) -> ApplyResult:
        """Read what waits."""
        return ApplyResult(
            [name for name, batch in self._batches.items() if not batch[4] and batch[1] == command.tenant]
        )

    def leader_tasks(self, view: LeaderView) -> list[Command]:
        """A claimer that is dead for good: its batch is closed as unknown."""
        return [
            ConfirmUsageReported(
                id=f"owed/{name}/lost", tenant=batch[1], batch=name, by=batch[4], known=False
            )
            for name, batch in self._batches.items()
            if batch[4] and view.dead_for_ms.get(batch[4], 0.0) >= view.timings.repair_after_ms
        ]

    def seen(self, now: float) -> None:
        """Nothing in here ends by this machine's clock."""

    def dump(self) -> Any:
        """Plain data."""
        return [
            self.unknown,
            [
                [
                    name,
                    since,
                    tenant,
                    by,
                    [[line.name, line.units, line.expire_ms] for line in lines],
                    claimer,
                ]
                for name, (since, tenant, by, lines, claimer) in self._batches.items()
            ],
        ]

    def load(self, raw: Any) -> None:
        """From `dump`."""
        self.unknown, batches = raw
        self._batches = {
            name: (since, tenant, by, tuple(UsageLine(*line) for line in lines), claimer)
            for name, since, tenant, by, lines, claimer in batches
        }
        self._held = sum(_bytes(tenant, lines) for _, tenant, _, lines, _ in self._batches.values())
