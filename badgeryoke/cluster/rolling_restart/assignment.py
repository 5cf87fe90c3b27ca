"""The answer to a gateway that reads its desired state: its phase, and how soon to read again."""

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
IDLE_POLL_INTERVAL_MS = 500.0  # while there is no restart; the first wave waits for it


@dataclass(frozen=True, slots=True)
class GatewayAssignment:
    """What one gateway is told of the active rolling restart; `restart` is empty where it is in none."""

    poll_interval_ms: float
    need_multiple: float  # see RollingRestart.need_multiple; 1 for a gateway that is unavailable itself
    restart: str = ""
    phase: GatewayPhase | None = None
    version: int = 0
    report: GatewayReport | None = None
    process: str = ""

    def to_answer(self) -> dict[str, Any]:
        """As plain data, by the keys of the interface."""
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
        """The reverse.  A report that this build does not know counts as none."""
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
    """The assignment of one gateway in the active restart, if there is one."""
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
