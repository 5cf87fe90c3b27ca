"""Commands of rolling restarts, as operators and gateways call them and the log stores them.

A command is stored under its tag and its fields' wire names (`name=`): neither may change.  Error texts use the
wire names, since callers write those.
"""

from __future__ import annotations

from enum import StrEnum
from typing import ClassVar

import msgspec

from badgeryoke.cluster.rolling_restart.conditions import ClusterConditions
from badgeryoke.cluster.rolling_restart.transitions import GatewayReport
from badgeryoke.cluster.state_machine_part import Command

MAX_GATEWAYS = 1024
MAX_AT_ONCE = 64
MAX_TEXT_CHARACTERS = 256
MAX_DURATION_MS = 24 * 3_600_000.0


class AfterDrain(StrEnum):
    """The step after a gateway is drained."""

    RESTART = "restart"  # its process ends, and its supervisor starts the next one
    HOLD = "hold"  # it stays drained until an operator resumes it


def _check_text_lengths(**texts: str) -> str:
    for name, text in texts.items():
        if len(text) > MAX_TEXT_CHARACTERS:
            return f"{name}: expected at most {MAX_TEXT_CHARACTERS} characters"
    return ""


class StartRollingRestart(Command, frozen=True, tag="RollAsk"):
    """Restart gateways in waves: those listed, those of a zone, or all.

    `deadline_ms` bounds each phase of a gateway: beyond it the restart pauses and waits for an operator.
    `after_drain` is a value of `AfterDrain`.  `may_empty_zone` allows the only gateway of a zone to be drained.
    """

    restart: str = msgspec.field(name="roll")
    gateways: tuple[str, ...] = ()
    zone: str = msgspec.field(default="", name="hall")
    reason: str = ""
    deadline_ms: float = 60_000.0
    at_once: int = 1
    after_drain: str = msgspec.field(default="restart", name="act")
    warm_up_ms: float = msgspec.field(default=3000.0, name="warm_ms")
    may_empty_zone: bool = msgspec.field(default=False, name="hall_may_go")

    def validate(self) -> str:
        """See `Command.validate`."""
        if not self.restart:
            return "roll: expected a name"
        if self.after_drain not in list(AfterDrain):
            return f"act: expected restart or hold, got {self.after_drain[:MAX_TEXT_CHARACTERS]!r}"
        if self.gateways and self.zone:
            return "hall: expected gateways or a hall, got both"
        if len(self.gateways) > MAX_GATEWAYS or len(set(self.gateways)) < len(self.gateways):
            return f"gateways: expected at most {MAX_GATEWAYS}, each once"
        if not 1 <= self.at_once <= MAX_AT_ONCE:
            return f"at_once: expected 1 to {MAX_AT_ONCE}, got {self.at_once}"
        if not (0.0 < self.deadline_ms <= MAX_DURATION_MS and 0.0 <= self.warm_up_ms <= MAX_DURATION_MS):
            return f"deadline_ms, warm_ms: expected above 0 and at most {MAX_DURATION_MS:g}"
        return _check_text_lengths(roll=self.restart, hall=self.zone, reason=self.reason)


class CancelRollingRestart(Command, frozen=True, tag="RollCancel"):
    """Cancel a rolling restart: drained gateways resume, stopped ones return, and no further one is drained."""

    restart: str = msgspec.field(name="roll")


class ResumeGateway(Command, frozen=True, tag="RollResume"):
    """Resume held gateways, all or one by name.

    `force` also treats draining gateways as empty; their open requests and connections are lost.
    """

    restart: str = msgspec.field(name="roll")
    gateway: str = ""
    force: bool = False


class RecordRestartEvent(Command, frozen=True, tag="RollTurn"):
    """The leader records an event of the restart as a whole.

    `restart_version` makes it compare-and-set: it is rejected if the restart has changed since the leader read
    it.  `event` is the name of a `RestartEvent`; `order` and `member_count` belong to PLANNED.
    """

    restart: str = msgspec.field(name="roll")
    restart_version: int = msgspec.field(name="stamp")
    event: str = msgspec.field(name="turn")
    cause: str = msgspec.field(default="", name="why")
    order: tuple[str, ...] = ()
    member_count: int = msgspec.field(default=0, name="members")


class StartWave(Command, frozen=True, tag="RollWave"):
    """The leader begins a wave under the conditions that it observed."""

    restart: str = msgspec.field(name="roll")
    restart_version: int = msgspec.field(name="stamp")
    gateways: tuple[str, ...]
    conditions: ClusterConditions = msgspec.field(name="facts")


class RecordGatewayEvent(Command, frozen=True, tag="RollStep"):
    """The leader records an event of one gateway; `event` is the name of a `GatewayEvent`.

    `restart_version` is the version under which `conditions` were observed, where an event needs them.
    """

    restart: str = msgspec.field(name="roll")
    gateway: str
    gateway_version: int = msgspec.field(name="round")
    event: str = msgspec.field(name="step")
    conditions: ClusterConditions | None = msgspec.field(default=None, name="facts")
    restart_version: int = msgspec.field(default=-1, name="stamp")


class ReportGateway(Command, frozen=True, tag="RollReport"):
    """A gateway reports its progress; `report` is a value of `GatewayReport`.  The answer is that of
    `ReadDesiredState`."""

    restart: str = msgspec.field(name="roll")
    gateway: str
    gateway_version: int = msgspec.field(name="round")
    report: str = msgspec.field(name="what")
    process: str

    def validate(self) -> str:
        """See `Command.validate`."""
        if self.report not in list(GatewayReport):
            return f"what: expected one of {', '.join(GatewayReport)}"
        return _check_text_lengths(process=self.process) or (
            "" if self.process else "process: expected a name"
        )


class ReadDesiredState(Command, frozen=True, tag="RollRead"):
    """Read the assignment of one gateway (`assignment.GatewayAssignment`)."""

    is_read_only: ClassVar[bool] = True
    gateway: str


class ReadRollingRestarts(Command, frozen=True, tag="RollsRead"):
    """Read all stored restarts, for operators: the state, its cause, and each gateway's phase."""

    is_read_only: ClassVar[bool] = True


ROLLING_RESTART_COMMANDS: tuple[type[Command], ...] = (
    StartRollingRestart,
    CancelRollingRestart,
    ResumeGateway,
    ReadDesiredState,
    ReadRollingRestarts,
    RecordRestartEvent,
    StartWave,
    RecordGatewayEvent,
    ReportGateway,
)
