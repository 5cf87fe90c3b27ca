"""The answer to a gateway that reads its desired state: its phase, and its poll interval."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from badgeryoke.cluster.rolling_restart.plan import RollingRestart
from badgeryoke.cluster.rolling_restart.transitions import (
    IN_PROGRESS_PHASES,
    UNAVAILABLE_PHASES,
    GatewayPhase,
    GatewayReport,
)

IN_PROGRESS_POLL_INTERVAL_MS = 50.0
IDLE_POLL_INTERVAL_MS = 500.0  # without an active restart; delays the first wave by up to this time


@dataclass(frozen=True, slots=True)
class GatewayAssignment:
    """One gateway's part in the active rolling restart; `restart` is empty if the gateway has no part in one."""

    poll_interval_ms: float
    need_multiple: float  # see RollingRestart.need_multiple; 1 for an unavailable gateway
    restart: str = ""
    phase: GatewayPhase | None = None
    version: int = 0
    report: GatewayReport | None = None
    process: str = ""

    def to_answer(self) -> dict[str, Any]:
        """The assignment as plain data, under its wire keys."""
        if self.phase is None:
            return {"roll": "", "read_ms": self.poll_interval_ms, "grow": self.need_multiple}
        return {
            "roll": self.restart,
            "stand": self.phase.name,
            "round": self.version,
            "told": self.report.value if self.report is not None else "",
            "process": self.process,
            "read_ms": self.poll_interval_ms,
            "grow": self.need_multiple,
        }

    @classmethod
    def from_answer(cls, answer: dict[str, Any]) -> GatewayAssignment:
        """Decode `to_answer`.  A report that this build does not know is read as no report."""
        if not answer["roll"]:
            return cls(answer["read_ms"], answer.get("grow", 1.0))
        known_report = answer["told"] in list(GatewayReport)
        return cls(
            answer["read_ms"],
            answer.get("grow", 1.0),
            answer["roll"],
            GatewayPhase[answer["stand"]],
            answer["round"],
            GatewayReport(answer["told"]) if known_report else None,
            answer.get("process", ""),
        )


def assignment_of(restart: RollingRestart | None, name: str) -> GatewayAssignment:
    """The assignment of one gateway; `restart` is the active restart, if there is one."""
    if restart is None:
        return GatewayAssignment(IDLE_POLL_INTERVAL_MS, 1.0)
    gateway = restart.gateways.get(name)
    if gateway is None:
        return GatewayAssignment(restart.poll_interval_ms(), restart.need_multiple())
    in_progress = gateway.phase in IN_PROGRESS_PHASES
    return GatewayAssignment(
        IN_PROGRESS_POLL_INTERVAL_MS if in_progress else restart.poll_interval_ms(),
        1.0 if gateway.phase in UNAVAILABLE_PHASES else restart.need_multiple(),
        restart.name,
        gateway.phase,
        gateway.version,
        gateway.report,
        gateway.process,
    )
