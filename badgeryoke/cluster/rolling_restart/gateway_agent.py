"""The gateway's side of a rolling restart: it reads its assignment, acts on it, and reports its progress.

The agent compares the desired state (its assignment) with the observed state of its gateway instead of executing
single commands: a gateway whose phase does not require a drain serves.  So a lost message leaves no gateway half
drained.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from badgeryoke.cluster.errors import ClusterError, DuplicateId, InvalidCall, NotFound, WrongState
from badgeryoke.cluster.messages import MemberId
from badgeryoke.cluster.rolling_restart.assignment import GatewayAssignment
from badgeryoke.cluster.rolling_restart.commands import ReadDesiredState, ReportGateway
from badgeryoke.cluster.rolling_restart.plan import MIN_POLL_INTERVAL_MS, POLL_INTERVAL_PER_MEMBER_MS
from badgeryoke.cluster.rolling_restart.transitions import (
    DRAINED_PHASES,
    GatewayPhase,
    GatewayReport,
)
from badgeryoke.cluster.state_machine_part import ApplyResult, Command

# A gateway does not drain or stop on an older assignment, as its process may have been frozen or cut off.
MAX_ASSIGNMENT_AGE_MS = 1000.0

# the report that a gateway sends once it has done what its phase requires
_REPORT_OF_PHASE: dict[GatewayPhase, GatewayReport] = {
    GatewayPhase.GRANTING: GatewayReport.READY,
    GatewayPhase.PAUSING: GatewayReport.PAUSED,
    GatewayPhase.EMPTYING: GatewayReport.EMPTY,
    GatewayPhase.RETURNING: GatewayReport.WHOLE,
    GatewayPhase.UNDOING: GatewayReport.RESUMED,
}


class DesiredState(Enum):
    """An action that brings a gateway to its desired state."""

    PAUSE = "drain: reject new clients"
    RESUME = "serve again"
    LEAVE = "shut down gracefully; its supervisor starts the next process"


@dataclass(slots=True)
class RollingRestartAgent:
    """The agent of one gateway process.

    The caller reports the state of the gateway (`observe`), carries out `next_actions`, sends what `poll` returns
    and passes the outcome to `answered`; it applies `must_not_lead` and `need_multiple`.
    """

    gateway: str  # the member's name
    process: MemberId  # holder id of this process; each start of the gateway has its own
    member_count: int = 1  # members of the cluster
    # Called after a change, so that the caller acts immediately.
    on_phase_change: Callable[[], None] | None = None
    paused: bool = False  # drained by a rolling restart, not by an operator
    leaving: bool = False
    assignment: GatewayAssignment | None = None  # None: not read yet, or the restart no longer exists
    _observed: dict[GatewayReport, bool] = field(default_factory=dict)
    _pending: ReportGateway | ReadDesiredState | None = None
    _in_flight: bool = False
    _sent_at_ms: float = 0.0
    _assigned_at_ms: float = -MAX_ASSIGNMENT_AGE_MS  # when the call that `assignment` answers was sent
    _next_poll_ms: float = 0.0
    _call_count: int = 0

    @property
    def restart(self) -> str | None:
        """Name of the restart that includes this gateway; empty if none does, None before the first read."""
        return None if self.assignment is None else self.assignment.restart

    @property
    def phase(self) -> GatewayPhase | None:
        """Phase of this gateway in a rolling restart; None outside of one."""
        return None if self.assignment is None else self.assignment.phase

    @property
    def concerns_this_process(self) -> bool:
        """Whether the phase applies to this process: a drain that began with an earlier process does not."""
        return self.assignment is None or self.assignment.process in ("", self.process)

    @property
    def must_not_lead(self) -> bool:
        """Whether to hand over all leadership, also after an election, and to shrink connection leases to the present
        need."""
        return self.concerns_this_process and self.phase in DRAINED_PHASES | {GatewayPhase.GRANTING}

    @property
    def need_multiple(self) -> float:
        """For `ConnectionLeaseHolder.need_multiple`."""
        return 1.0 if self.assignment is None else float(self.assignment.need_multiple)

    def observe(
        self, *, groups_led: int, trimmed: bool, drained: bool, empty: bool, copies_complete: bool
    ) -> None:
        """Report the state of this gateway.  `trimmed`: it holds no more connections than it needs; `drained`: clients
        are rejected and the load balancer is notified; `empty`: nothing is open and no lease is held;
        `copies_complete`: its replicas have caught up."""
        self._observed = {
            GatewayReport.READY: not groups_led and trimmed,
            GatewayReport.PAUSED: drained,
            GatewayReport.EMPTY: drained and empty,
            GatewayReport.WHOLE: not drained and copies_complete,
            GatewayReport.RESUMED: not drained,
            GatewayReport.BACK: True,
        }

    def next_actions(self, now: float) -> list[DesiredState]:
        """The actions to carry out now; each is returned once."""
        drained = self.concerns_this_process and self.phase in DRAINED_PHASES
        actions: list[DesiredState] = []
        if drained and now - self._assigned_at_ms > MAX_ASSIGNMENT_AGE_MS:
            return actions
        if drained is not self.paused and not self.leaving:
            self.paused = drained
            actions.append(DesiredState.PAUSE if drained else DesiredState.RESUME)
        if drained and self.phase is GatewayPhase.ACTING and not self.leaving:
            self.leaving = True
            actions.append(DesiredState.LEAVE)
        return actions

    def _due_report(self) -> GatewayReport | None:
        """The report to send now, if any."""
        assignment, phase = self.assignment, self.phase
        if assignment is None or phase is None or self.leaving:
            return None
        if not self.concerns_this_process and phase in DRAINED_PHASES | {GatewayPhase.UNDOING}:
            return GatewayReport.BACK
        report = _REPORT_OF_PHASE.get(phase)
        if report is None or not self._observed.get(report) or assignment.report is report:
            return None
        return report

    @property
    def due(self) -> float:
        """When `poll` next has something to send, by the clock of `now`; a report is due immediately."""
        if self._in_flight:
            return math.inf
        return -math.inf if self._pending is None and self._due_report() else self._next_poll_ms

    def poll(self, now: float, wall: float) -> list[Command]:
        """The report or the read to send now; a call with an unknown outcome is repeated with its id."""
        if self._in_flight or (
            now < self._next_poll_ms and (self._pending is not None or self._due_report() is None)
        ):
            return []
        if self._pending is None:
            self._pending = self._next_call()
        self._in_flight, self._sent_at_ms = True, now
        return [self._pending]

    def _next_call(self) -> ReportGateway | ReadDesiredState:
        self._call_count += 1
        call_id = f"rolled/{self.process}/{self._call_count}"
        report = self._due_report()
        if report is None or self.assignment is None:
            return ReadDesiredState(id=call_id, gateway=self.gateway)
        return ReportGateway(
            id=call_id,
            restart=self.assignment.restart,
            gateway=self.gateway,
            gateway_version=self.assignment.version,
            report=report.value,
            process=self.process,
        )

    def answered(self, now: float, command: Command, result: ApplyResult | ClusterError) -> None:
        """Handle the outcome of a command from `poll`."""
        if self._pending is None or command.id != self._pending.id:
            return
        self._in_flight = False
        error = result if isinstance(result, ClusterError) else result.error
        if error is None and isinstance(result, ApplyResult):
            self._assign(now, GatewayAssignment.from_answer(result.value))
            return
        if isinstance(self._pending, ReadDesiredState) or isinstance(
            error, InvalidCall | NotFound | DuplicateId | WrongState
        ):
            # A read needs no retry under its old id; a rejected report is not sent again unchanged.
            self._pending = None
            if isinstance(error, NotFound):
                self.assignment = None
        self._next_poll_ms = now + MIN_POLL_INTERVAL_MS

    def _assign(self, now: float, assignment: GatewayAssignment) -> None:
        phase_before, self.assignment = self.phase, assignment
        self._pending, self._assigned_at_ms = None, self._sent_at_ms
        if self.on_phase_change is not None and phase_before is not self.phase:
            self.on_phase_change()
        # Without a restart, gateways of a large cluster poll less often than the answer states.
        min_interval_ms = 0.0 if assignment.restart else POLL_INTERVAL_PER_MEMBER_MS * self.member_count
        self._next_poll_ms = now + max(assignment.poll_interval_ms, min_interval_ms)
