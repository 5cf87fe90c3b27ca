"""One rolling restart and the progress of its gateways, as replicated."""

from __future__ import annotations

from dataclasses import dataclass, field

from badgeryoke.cluster.rolling_restart.commands import StartRollingRestart
from badgeryoke.cluster.rolling_restart.transitions import (
    IN_PROGRESS_PHASES,
    UNAVAILABLE_PHASES,
    GatewayPhase,
    GatewayReport,
    RestartState,
)

# A gateway that is not in progress reads its assignment every MIN_POLL_INTERVAL_MS, or more slowly in a
# large cluster, so that the leader's load does not grow with the number of gateways.
MIN_POLL_INTERVAL_MS = 100.0
POLL_INTERVAL_PER_MEMBER_MS = 10.0


@dataclass(slots=True)
class GatewayProgress:
    """Progress of one gateway in a rolling restart."""

    phase: GatewayPhase = GatewayPhase.WAITING
    version: int = 0  # transitions so far; a report or a leader's event names the version it is meant for
    since_ms: float = 0.0  # group's time, Unix ms, of the last transition
    report: GatewayReport | None = None  # received in this phase
    process: str = ""  # holder name of the process that runs when the wave begins
    drain_count: int = 0


@dataclass(slots=True)
class RollingRestart:
    """One rolling restart."""

    name: str
    request: StartRollingRestart
    state: RestartState = RestartState.ASKED
    since_ms: float = 0.0  # group's time, Unix ms, of the last change of state
    cause: str = ""  # of the state, for operators
    version: int = 0  # changes of it and its gateways; a leader's command names the version it is based on
    member_count: int = 1  # members of the cluster when it was planned
    gateways: dict[str, GatewayProgress] = field(default_factory=dict)  # in the order of the plan

    def gateways_in_progress(self) -> list[str]:
        """Names of the gateways of the current wave."""
        return [name for name, gateway in self.gateways.items() if gateway.phase in IN_PROGRESS_PHASES]

    def gateways_in(self, *phases: GatewayPhase) -> set[str]:
        """Names of the gateways in one of these phases."""
        return {name for name, gateway in self.gateways.items() if gateway.phase in phases}

    def need_multiple(self) -> float:
        """How many times its usual need each available gateway has to carry."""
        unavailable = sum(gateway.phase in UNAVAILABLE_PHASES for gateway in self.gateways.values())
        return self.member_count / max(self.member_count - unavailable, 1)

    def poll_interval_ms(self) -> float:
        """Between two reads of the assignment by a gateway that is not in progress."""
        return max(MIN_POLL_INTERVAL_MS, POLL_INTERVAL_PER_MEMBER_MS * self.member_count)
