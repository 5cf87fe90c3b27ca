"""Replicated state of one rolling restart and of its gateways."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import msgspec

from badgeryoke.cluster.invariants import Invariants, Rule
from badgeryoke.cluster.rolling_restart.commands import StartRollingRestart
from badgeryoke.cluster.rolling_restart.transitions import (
    FINAL_PHASES,
    GATEWAY_TRANSITIONS,
    IN_PROGRESS_PHASES,
    PHASE_RANK,
    RESTART_TRANSITIONS,
    UNAVAILABLE_PHASES,
    GatewayEvent,
    GatewayPhase,
    GatewayReport,
    RestartEvent,
    RestartState,
)

# A gateway that is not in progress reads its assignment every MIN_POLL_INTERVAL_MS, or less often in a large
# cluster, so that the leader's load does not grow with the number of gateways.
MIN_POLL_INTERVAL_MS = 100.0
POLL_INTERVAL_PER_MEMBER_MS = 10.0


@dataclass(slots=True)
class GatewayProgress:
    """Progress of one gateway in a rolling restart."""

    phase: GatewayPhase = GatewayPhase.WAITING
    version: int = 0  # number of transitions; reports and the leader's events state the version they refer to
    since_ms: float = 0.0  # group's time, Unix ms, of the last transition
    report: GatewayReport | None = None  # the report received in this phase
    process: str = ""  # holder id of the process that ran when the wave began
    drain_count: int = 0

    def dump(self, name: str) -> list[Any]:
        """The progress as plain data, for a snapshot; the order is the stored format."""
        return [
            name,
            self.phase.name,
            self.version,
            self.since_ms,
            self.report.value if self.report is not None else "",
            self.process,
            self.drain_count,
        ]

    @classmethod
    def load(cls, raw: list[Any]) -> tuple[str, GatewayProgress]:
        """Decode `dump`: the gateway's name and its progress."""
        name, phase, version, since_ms, report, process, drain_count = raw
        return name, cls(
            GatewayPhase[phase],
            version,
            since_ms,
            GatewayReport(report) if report else None,
            process,
            drain_count,
        )


@dataclass(slots=True)
class RollingRestart:
    """One rolling restart: the request, its state, and the progress of each gateway."""

    name: str
    request: StartRollingRestart
    state: RestartState = RestartState.ASKED
    since_ms: float = 0.0  # group's time, Unix ms, of the last change of state
    cause: str = ""  # why it is in its present state, for operators
    version: int = 0  # counts changes, also of the gateways; a leader's command states the one it is based on
    member_count: int = 1  # members of the cluster when it was planned
    gateways: dict[str, GatewayProgress] = field(default_factory=dict)  # in the order of the plan

    def gateways_in_progress(self) -> list[str]:
        """Names of the gateways of the current wave."""
        return [name for name, gateway in self.gateways.items() if gateway.phase in IN_PROGRESS_PHASES]

    def gateways_in(self, *phases: GatewayPhase) -> set[str]:
        """Names of the gateways in one of these phases."""
        return {name for name, gateway in self.gateways.items() if gateway.phase in phases}

    def need_multiple(self) -> float:
        """Factor on the usual connection need of each available gateway while others are unavailable."""
        unavailable = sum(gateway.phase in UNAVAILABLE_PHASES for gateway in self.gateways.values())
        return self.member_count / max(self.member_count - unavailable, 1)

    def poll_interval_ms(self) -> float:
        """Interval between two reads of the assignment by a gateway that is not in progress."""
        return max(MIN_POLL_INTERVAL_MS, POLL_INTERVAL_PER_MEMBER_MS * self.member_count)

    def transition(self, at_ms: float, event: RestartEvent, cause: str = "") -> bool:
        """Move the restart to its next state; False if its state has no transition for the event."""
        state = RESTART_TRANSITIONS.get((self.state, event))
        if state is None:
            return False
        self.state, self.since_ms, self.cause = state, at_ms, cause
        self.version += 1
        return True

    def advance(self, at_ms: float, name: str, event: GatewayEvent, invariants: Invariants) -> bool:
        """Move one gateway to its next phase, and finish the restart if it was the last; False if its phase has no
        transition for the event."""
        gateway = self.gateways[name]
        phase = GATEWAY_TRANSITIONS.get((gateway.phase, event))
        if phase is None:
            return False
        gateway.drain_count += phase is GatewayPhase.PAUSING
        invariants.check(
            Rule.ROLL_FORWARD,
            PHASE_RANK[phase] > PHASE_RANK[gateway.phase] and gateway.drain_count <= 1,
            lambda: (
                f"{self.name}: {name} from {gateway.phase.value} to {phase.value}, "
                f"{gateway.drain_count} drains"
            ),
        )
        gateway.phase, gateway.since_ms, gateway.report = phase, at_ms, None
        gateway.version += 1
        self.version += 1
        if all(other.phase in FINAL_PHASES for other in self.gateways.values()):
            self.transition(at_ms, RestartEvent.FINISHED, self.cause)
        return True

    def summary(self) -> dict[str, Any]:
        """The state for operators, under its wire keys."""
        return {
            "roll": self.name,
            "state": self.state.value,
            "why": self.cause,
            "act": self.request.after_drain,
            "reason": self.request.reason,
            "since_ms": self.since_ms,
            "gateways": {name: gateway.phase.value for name, gateway in self.gateways.items()},
        }

    def dump(self) -> list[Any]:
        """The restart as plain data, for a snapshot; the order is the stored format."""
        return [
            msgspec.to_builtins(self.request),
            self.state.name,
            self.since_ms,
            self.cause,
            self.version,
            self.member_count,
            [gateway.dump(name) for name, gateway in self.gateways.items()],
        ]

    @classmethod
    def load(cls, raw: list[Any]) -> RollingRestart:
        """Decode `dump`."""
        raw_request, state, since_ms, cause, version, member_count, gateways = raw
        request = msgspec.convert(raw_request, StartRollingRestart)
        return cls(
            request.restart,
            request,
            RestartState[state],
            since_ms,
            cause,
            version,
            member_count,
            dict(map(GatewayProgress.load, gateways)),
        )
