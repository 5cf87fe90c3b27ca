"""Rolling restarts as replicated state: how each command changes it.

Gateways are drained and restarted, or held, in waves.  A wave begins only if the remaining gateways can carry the
present traffic and contracts, each zone stays served, each group keeps its majority, and all copies have caught up.
The next wave begins when all gateways of the last one serve again and are warm.

Each change is compare-and-set: a gateway's event or report on the gateway's version, a wave or an event of the whole
restart on the restart's version.  So any leader can continue the work of another, and a command that was proposed
twice takes effect once.  The leader decides only where conditions must hold (`scheduler`); the other events are
reports of the gateways (`gateway_agent`).
"""

from __future__ import annotations

from typing import Any

from badgeryoke.cluster.errors import AnyError, InvalidCall, NotFound, WrongState
from badgeryoke.cluster.invariants import Invariants, Rule
from badgeryoke.cluster.rolling_restart.assignment import assignment_of
from badgeryoke.cluster.rolling_restart.commands import (
    AfterDrain,
    CancelRollingRestart,
    ReadDesiredState,
    ReadRollingRestarts,
    RecordGatewayEvent,
    RecordRestartEvent,
    ReportGateway,
    ResumeGateway,
    StartRollingRestart,
    StartWave,
)
from badgeryoke.cluster.rolling_restart.conditions import ClusterConditions
from badgeryoke.cluster.rolling_restart.plan import GatewayProgress, RollingRestart
from badgeryoke.cluster.rolling_restart.scheduler import RestartScheduler
from badgeryoke.cluster.rolling_restart.transitions import (
    AWAITED_REPORTS,
    ENDED_STATES,
    LEADER_EVENTS,
    REPORTED_EVENTS,
    REQUIRED_REPORTS,
    GatewayEvent,
    GatewayPhase,
    GatewayReport,
    RestartEvent,
    RestartState,
)
from badgeryoke.cluster.state_machine_part import ApplyResult, Command, LeaderView

MAX_RESTARTS = 16  # stored, including ended ones; the oldest ended one is removed first

RestartCommand = (
    CancelRollingRestart | ResumeGateway | RecordRestartEvent | StartWave | RecordGatewayEvent | ReportGateway
)


def _rejected(error: AnyError) -> ApplyResult:
    return ApplyResult(error=error)


class RollingRestarts:
    """The rolling restarts of a cluster, at most one of them active.  A `StateMachinePart`."""

    def __init__(self, invariants: Invariants) -> None:
        self._invariants = invariants
        self._scheduler = RestartScheduler()
        self.restarts: dict[str, RollingRestart] = {}

    @property
    def active(self) -> RollingRestart | None:
        """The restart that has not ended, if there is one."""
        return next(
            (restart for restart in self.restarts.values() if restart.state not in ENDED_STATES), None
        )

    def apply(self, at_ms: float, command: Command) -> ApplyResult:
        """See `StateMachinePart.apply`."""
        if problem := command.validate():
            return _rejected(InvalidCall("roll", problem))
        match command:
            case ReadDesiredState():
                return self._assignment(command.gateway)
            case StartRollingRestart():
                return self._start(at_ms, command)
            case (
                CancelRollingRestart()
                | ResumeGateway()
                | RecordRestartEvent()
                | StartWave()
                | RecordGatewayEvent()
                | ReportGateway()
            ):
                restart = self.restarts.get(command.restart)
                if restart is None:
                    return _rejected(NotFound(command.restart, "no roll of that name is known"))
                return self._apply_to(at_ms, restart, command)
        return _rejected(NotFound("roll", "no roll of that name is known"))

    def _apply_to(self, at_ms: float, restart: RollingRestart, command: RestartCommand) -> ApplyResult:
        match command:
            case CancelRollingRestart():
                return self._cancel(at_ms, restart)
            case ResumeGateway():
                return self._resume(at_ms, restart, command)
            case RecordRestartEvent():
                return self._record_restart_event(at_ms, restart, command)
            case StartWave():
                return self._start_wave(at_ms, restart, command)
            case RecordGatewayEvent():
                return self._record_gateway_event(at_ms, restart, command)
            case ReportGateway():
                return self._report(at_ms, restart, command)

    def query(self, command: ReadDesiredState | ReadRollingRestarts) -> ApplyResult:
        """Answer a command that only reads."""
        match command:
            case ReadDesiredState():
                return self._assignment(command.gateway)
            case ReadRollingRestarts():
                return ApplyResult(self.summaries())

    def leader_tasks(self, view: LeaderView) -> list[Command]:
        """See `StateMachinePart.leader_tasks`."""
        restart = self.active
        return [] if restart is None else self._scheduler.proposals(view, restart)

    # Commands of operators.

    def _start(self, at_ms: float, command: StartRollingRestart) -> ApplyResult:
        name = command.restart
        if name in self.restarts:
            return _rejected(WrongState(name, "a roll of that name is known already"))
        if (active_restart := self.active) is not None:
            return _rejected(
                WrongState(name, f"{active_restart.name} is {active_restart.state.value}: one roll at a time")
            )
        while len(self.restarts) >= MAX_RESTARTS:
            del self.restarts[next(iter(self.restarts))]  # all have ended; the first is the oldest
        self.restarts[name] = RollingRestart(name, command, since_ms=at_ms)
        return ApplyResult({"roll": name, "state": RestartState.ASKED.value})

    def _cancel(self, at_ms: float, restart: RollingRestart) -> ApplyResult:
        if not restart.transition(at_ms, RestartEvent.CANCEL, "cancelled"):
            return _rejected(WrongState(restart.name, f"it is {restart.state.value}"))
        for name in restart.gateways:
            restart.advance(at_ms, name, GatewayEvent.CANCEL, self._invariants)
        return ApplyResult(restart.summary())

    def _resume(self, at_ms: float, restart: RollingRestart, command: ResumeGateway) -> ApplyResult:
        if command.gateway and command.gateway not in restart.gateways:
            return _rejected(NotFound(command.gateway, f"not in {restart.name}"))
        resumed = 0
        for name in [command.gateway] if command.gateway else list(restart.gateways):
            gateway = restart.gateways[name]
            if gateway.phase is GatewayPhase.HELD:
                resumed += restart.advance(at_ms, name, GatewayEvent.RELEASE, self._invariants)
            elif (
                command.force
                and gateway.phase is GatewayPhase.EMPTYING
                and gateway.report is not GatewayReport.EMPTY
            ):
                gateway.report = GatewayReport.EMPTY
                restart.version += 1
                resumed += 1
        if not resumed:
            problem = "nobody there is held, or, with force, waits to become empty"
            return _rejected(WrongState(restart.name, problem))
        return ApplyResult(restart.summary())

    # Commands of the leader.

    def _record_restart_event(
        self, at_ms: float, restart: RollingRestart, command: RecordRestartEvent
    ) -> ApplyResult:
        event = RestartEvent.__members__.get(command.event)
        if (
            command.restart_version != restart.version
            or event is None
            or event in (RestartEvent.CANCEL, RestartEvent.FINISHED)
        ):
            return _rejected(WrongState(restart.name, "it has moved on"))
        planned = event is RestartEvent.PLANNED
        if planned and (not command.order or len(set(command.order)) < len(command.order)):
            return _rejected(InvalidCall(restart.name, "order: expected gateways, each once"))
        if not restart.transition(at_ms, event, command.cause):
            return _rejected(WrongState(restart.name, f"it is {restart.state.value}"))
        if planned:
            restart.gateways = {name: GatewayProgress(since_ms=at_ms) for name in command.order}
            restart.member_count = max(command.member_count, 1)
        return ApplyResult(restart.summary())

    def _check_conditions(self, restart: RollingRestart, conditions: ClusterConditions | None) -> str:
        """Why gateways may not be drained; empty if they may.  It is an invariant that no leader proposes a drain that
        may not be made."""
        problem = conditions.validate() if conditions is not None else (Rule.WAVE_KEEPS_ROOM, "no facts")
        if problem is None:
            return ""
        rule, cause = problem
        self._invariants.check(rule, False, lambda: f"{restart.name}: {cause}")
        return cause

    def _start_wave(self, at_ms: float, restart: RollingRestart, command: StartWave) -> ApplyResult:
        if problem := self._wave_problem(restart, command):
            return _rejected(WrongState(restart.name, problem))
        for name in command.gateways:
            restart.advance(at_ms, name, GatewayEvent.BEGIN, self._invariants)
        return ApplyResult(restart.summary())

    def _wave_problem(self, restart: RollingRestart, command: StartWave) -> str:
        if command.restart_version != restart.version or restart.state is not RestartState.RUNNING:
            return "it has moved on"
        valid_size = 1 <= len(command.gateways) <= restart.request.at_once
        if not valid_size or restart.gateways_in_progress():
            return "the wave before is under way, or this one is too large"
        waiting = restart.gateways_in(GatewayPhase.WAITING)
        if not waiting.issuperset(command.gateways):
            return "not all of them wait"
        return self._check_conditions(restart, command.conditions)

    def _is_current(self, gateway: GatewayProgress, version: int) -> bool:
        """Whether an event or a report refers to the present phase of the gateway."""
        return gateway.version == version

    def _record_gateway_event(
        self, at_ms: float, restart: RollingRestart, command: RecordGatewayEvent
    ) -> ApplyResult:
        gateway = restart.gateways.get(command.gateway)
        event = GatewayEvent.__members__.get(command.event)
        if (
            gateway is None
            or event not in LEADER_EVENTS
            or not self._is_current(gateway, command.gateway_version)
        ):
            return _rejected(WrongState(restart.name, f"{command.gateway} has moved on"))
        assert event is not None  # LEADER_EVENTS holds no None
        if problem := self._event_problem(restart, gateway, event, command):
            return _rejected(WrongState(restart.name, problem))
        if not restart.advance(at_ms, command.gateway, event, self._invariants):
            return _rejected(WrongState(restart.name, f"{command.gateway} is {gateway.phase.value}"))
        return ApplyResult(restart.summary())

    def _event_problem(
        self,
        restart: RollingRestart,
        gateway: GatewayProgress,
        event: GatewayEvent,
        command: RecordGatewayEvent,
    ) -> str:
        if event is GatewayEvent.LOST and restart.state is not RestartState.CANCELLING:
            return "it waits for who is lost"
        if event not in REQUIRED_REPORTS:
            return ""
        if command.restart_version != restart.version:
            return "it has moved on"  # another gateway's process may have ended in the meantime
        hold_after_drain = restart.request.after_drain == AfterDrain.HOLD
        wrong_event = GatewayEvent.ACT if hold_after_drain else GatewayEvent.HOLD
        if (
            restart.state is not RestartState.RUNNING
            or gateway.report is not REQUIRED_REPORTS[event]
            or event is wrong_event
        ):
            return f"{command.gateway} is not ready for that"
        return self._check_conditions(restart, command.conditions)

    # Reports of gateways.

    def _report(self, at_ms: float, restart: RollingRestart, command: ReportGateway) -> ApplyResult:
        """Apply a report.  A stale report changes nothing; the answer is the present assignment either way."""
        gateway = restart.gateways.get(command.gateway)
        if gateway is None or not self._is_current(gateway, command.gateway_version):
            return self._assignment(command.gateway)
        report = GatewayReport(command.report)
        event = REPORTED_EVENTS[report]
        if event is not None:
            # BACK is valid only from another process than the one that ran when the wave began.
            if event is not GatewayEvent.BACK or gateway.process != command.process:
                restart.advance(at_ms, command.gateway, event, self._invariants)
        elif report is AWAITED_REPORTS.get(gateway.phase):
            if report is GatewayReport.READY:
                gateway.process = command.process
            if gateway.report is not report:
                gateway.report = report
                restart.version += 1
        return self._assignment(command.gateway)

    # Answers.

    def _assignment(self, name: str) -> ApplyResult:
        return ApplyResult(assignment_of(self.active, name).to_answer())

    def summaries(self) -> list[dict[str, Any]]:
        """All stored restarts, for operators."""
        return [restart.summary() for restart in self.restarts.values()]

    def planning_horizon_ms(self) -> float:
        """How far ahead contracts count as load for the next wave: it may take the deadline twice, to drain and to
        return, and then warms up."""
        restart = self.active
        if restart is None:
            return 0.0
        return 2 * restart.request.deadline_ms + restart.request.warm_up_ms

    # Snapshots.

    def record_applied(self, now: float) -> None:
        """See `StateMachinePart.record_applied`; nothing here expires by the monotonic clock."""

    def dump(self) -> Any:
        """See `StateMachinePart.dump`."""
        return [restart.dump() for restart in self.restarts.values()]

    def load(self, raw: Any) -> None:
        """See `StateMachinePart.load`."""
        self.restarts = {restart.name: restart for restart in map(RollingRestart.load, raw)}
