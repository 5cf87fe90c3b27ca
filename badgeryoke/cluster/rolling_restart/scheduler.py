"""Proposals of the leader for the active rolling restart: the next event, or a pause with its cause.

The leader changes nothing itself.  Each proposal states the version of the restart on which it is based, so that
one from a replaced leader, or one that arrives late or twice, is rejected.
"""

from __future__ import annotations

from dataclasses import dataclass

from badgeryoke.cluster.messages import member_name
from badgeryoke.cluster.rolling_restart.commands import (
    MAX_TEXT_CHARACTERS,
    AfterDrain,
    RecordGatewayEvent,
    RecordRestartEvent,
    StartWave,
)
from badgeryoke.cluster.rolling_restart.conditions import ClusterConditions
from badgeryoke.cluster.rolling_restart.observation import observe_conditions
from badgeryoke.cluster.rolling_restart.plan import GatewayProgress, RollingRestart
from badgeryoke.cluster.rolling_restart.transitions import (
    GATEWAY_TRANSITIONS,
    IN_PROGRESS_PHASES,
    REQUIRED_REPORTS,
    GatewayEvent,
    GatewayPhase,
    RestartEvent,
    RestartState,
)
from badgeryoke.cluster.state_machine_part import Command, LeaderView

PAUSE_AFTER_BLOCKED_MS = 1500.0  # how long an obstacle lasts before the restart is paused
# On top of the poll interval, the time in which the other gateways open the connections that they need to take over
# the wave's traffic.
GROWTH_MARGIN_MS = 50.0


@dataclass(frozen=True, slots=True)
class Obstacle:
    """A condition that blocks a restart; `kind` is the cause up to its colon."""

    restart: str
    kind: str
    since_ms: float  # when it appeared, by the leader's monotonic clock


def _obstacle_kind(cause: str) -> str:
    return cause.partition(":")[0]


class RestartScheduler:
    """The leader's part of rolling restarts.  Its only state is the present obstacle and when it appeared."""

    def __init__(self) -> None:
        self._obstacle: Obstacle | None = None

    def proposals(self, view: LeaderView, restart: RollingRestart) -> list[Command]:
        """The events to record now for the active restart."""
        match restart.state:
            case RestartState.ASKED:
                return [_restart_event(restart, RestartEvent.SEEN)]
            case RestartState.PLANNING:
                return [_plan(view, restart)]
            case RestartState.CANCELLING:
                return _warmed_up_gateways(view, restart) + _lost_gateways(view, restart)
        proposals = _warmed_up_gateways(view, restart)
        if failure := _failure(view, restart):
            return proposals + self._pause_or_continue(view, restart, failure, [], immediately=True)
        obstacle, next_commands = _next_event(view, restart)
        return proposals + self._pause_or_continue(view, restart, obstacle, next_commands, immediately=False)

    def _pause_or_continue(
        self,
        view: LeaderView,
        restart: RollingRestart,
        cause: str,
        next_commands: list[Command],
        *,
        immediately: bool,
    ) -> list[Command]:
        """Pause the restart for `cause`, unpause it without one, or propose `next_commands`.

        `immediately`: the cause is a failed gateway, which does not recover by itself, so that the pause is not
        delayed."""
        if restart.state is RestartState.PAUSED:
            if not cause:
                return [_restart_event(restart, RestartEvent.MENDED)]
            if _obstacle_kind(cause) == _obstacle_kind(restart.cause):
                return []
            return [_restart_event(restart, RestartEvent.BLOCKED, cause)]
        if not cause:
            self._obstacle = None
            return next_commands
        obstacle = self._obstacle
        if obstacle is None or (obstacle.restart, obstacle.kind) != (restart.name, _obstacle_kind(cause)):
            obstacle = self._obstacle = Obstacle(restart.name, _obstacle_kind(cause), view.now)
        if immediately or view.now - obstacle.since_ms >= PAUSE_AFTER_BLOCKED_MS:
            return [_restart_event(restart, RestartEvent.BLOCKED, cause)]
        return next_commands


def _restart_event(
    restart: RollingRestart,
    event: RestartEvent,
    cause: str = "",
    order: tuple[str, ...] = (),
    member_count: int = 0,
) -> RecordRestartEvent:
    return RecordRestartEvent(
        id=f"roll/{restart.name}/{restart.version}/{event.name}",
        restart=restart.name,
        restart_version=restart.version,
        event=event.name,
        cause=cause,
        order=order,
        member_count=member_count,
    )


def _gateway_event(
    restart: RollingRestart, name: str, event: GatewayEvent, conditions: ClusterConditions | None = None
) -> RecordGatewayEvent:
    gateway_version = restart.gateways[name].version
    # The id contains the restart's version, so that a rejected event can be proposed again after a change.
    return RecordGatewayEvent(
        id=f"roll/{restart.name}/{restart.version}/{name}/{gateway_version}/{event.name}",
        restart=restart.name,
        gateway=name,
        gateway_version=gateway_version,
        event=event.name,
        conditions=conditions,
        restart_version=restart.version,
    )


def _plan(view: LeaderView, restart: RollingRestart) -> RecordRestartEvent:
    """Plan the order of the gateways: as requested, with this leader last, so that leadership moves once."""
    request = restart.request
    names = list(request.gateways) or [
        name for name in sorted(view.zones) if request.zone in ("", view.zones[name])
    ]
    unknown = [name for name in names if name not in view.zones]
    if unknown or not names:
        missing = ", ".join(unknown)[:MAX_TEXT_CHARACTERS] or request.zone
        return _restart_event(restart, RestartEvent.IMPOSSIBLE, f"no such gateway: {missing}")
    names.sort(key=lambda name: name == member_name(view.member_id))
    return _restart_event(restart, RestartEvent.PLANNED, order=tuple(names), member_count=len(view.zones))


def _warmed_up_gateways(view: LeaderView, restart: RollingRestart) -> list[Command]:
    return [
        _gateway_event(restart, name, GatewayEvent.WARM)
        for name, gateway in restart.gateways.items()
        if gateway.phase is GatewayPhase.WARMING
        and view.wall - gateway.since_ms >= restart.request.warm_up_ms
    ]


def _lost_gateways(view: LeaderView, restart: RollingRestart) -> list[Command]:
    """Gateways dead for so long that a cancelled restart does not wait for them."""
    dead_ms = {member_name(member): ms for member, ms in view.dead_for_ms.items()}
    return [
        _gateway_event(restart, name, GatewayEvent.LOST)
        for name, gateway in restart.gateways.items()
        if dead_ms.get(name, 0.0) >= view.timings.repair_after_ms
        and (gateway.phase, GatewayEvent.LOST) in GATEWAY_TRANSITIONS
    ]


def _failure(view: LeaderView, restart: RollingRestart) -> str:
    """The failure of a gateway in progress; empty if there is none.

    A gateway that ended as planned is not dead, although its old process may briefly count as dead after the new
    one is back."""
    dead = {member_name(member) for member in view.dead_for_ms} - {
        member_name(member) for member in view.alive_ids
    }
    for name, gateway in restart.gateways.items():
        if gateway.phase not in IN_PROGRESS_PHASES:
            continue
        if name in dead and gateway.phase not in (
            GatewayPhase.ACTING,
            GatewayPhase.HELD,
            GatewayPhase.RETURNING,
        ):
            return f"{name} is dead while {gateway.phase.value}"
        if _is_late(view, restart, gateway):
            return f"{name} is late {gateway.phase.value}"
    return ""


def _is_late(view: LeaderView, restart: RollingRestart, gateway: GatewayProgress) -> bool:
    return (
        gateway.phase not in (GatewayPhase.HELD, GatewayPhase.WARMING)
        and gateway.report is None
        and view.wall - gateway.since_ms >= restart.request.deadline_ms
    )


def _next_event(view: LeaderView, restart: RollingRestart) -> tuple[str, list[Command]]:
    """The event that can be recorded now, or the obstacle to it.

    Only one event at a time, since each changes the conditions for the next."""
    obstacle = ""
    for name, gateway in restart.gateways.items():
        event = _event_after(restart, gateway)
        if event is None or gateway.report is not REQUIRED_REPORTS[event]:
            continue
        if event is GatewayEvent.ROOMY and not _others_have_grown(view, restart, gateway):
            continue
        ending = "" if event is GatewayEvent.ROOMY else name
        conditions = observe_conditions(view, restart, (), ending)
        problem = conditions.validate()
        if problem is None:
            return "", [_gateway_event(restart, name, event, conditions)]
        obstacle = obstacle or problem[1]
    if obstacle or restart.gateways_in_progress():
        return obstacle, []
    return _next_wave(view, restart)


def _event_after(restart: RollingRestart, gateway: GatewayProgress) -> GatewayEvent | None:
    match gateway.phase:
        case GatewayPhase.GRANTING:
            return GatewayEvent.ROOMY
        case GatewayPhase.EMPTYING:
            hold_after_drain = restart.request.after_drain == AfterDrain.HOLD
            return GatewayEvent.HOLD if hold_after_drain else GatewayEvent.ACT
    return None


def _others_have_grown(view: LeaderView, restart: RollingRestart, gateway: GatewayProgress) -> bool:
    return view.wall - gateway.since_ms >= GROWTH_MARGIN_MS + restart.poll_interval_ms()


def _next_wave(view: LeaderView, restart: RollingRestart) -> tuple[str, list[Command]]:
    """The next wave, or the obstacle to it: gateways in the order of the plan, each if the conditions hold without
    it and those already chosen."""
    alive = {member_name(member) for member in view.alive_ids}
    wave: list[str] = []
    obstacle = ""
    for name, gateway in restart.gateways.items():
        if gateway.phase is not GatewayPhase.WAITING or len(wave) >= restart.request.at_once:
            continue
        if name not in alive:
            obstacle = obstacle or f"{name} is dead while waiting"
            continue
        problem = observe_conditions(view, restart, [*wave, name]).validate()
        if problem is None:
            wave.append(name)
        else:
            obstacle = obstacle or problem[1]
    if not wave:
        return obstacle, []
    return "", [
        StartWave(
            id=f"roll/{restart.name}/{restart.version}/wave",
            restart=restart.name,
            restart_version=restart.version,
            gateways=tuple(wave),
            conditions=observe_conditions(view, restart, wave),
        )
    ]
