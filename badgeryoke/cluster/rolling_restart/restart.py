"""Rolling drains: gateways restarted or held in waves, each step an entry of the fleet's group.

A wave begins only where what stays carries the traffic and the contracts of that time, each hall stays
served, each group keeps its majority and all copies are whole; no gateway is taken into the next wave before
those of this one serve again and are warm.  Each step is compare-and-set on the gateway's round (a wave and a
turn of the roll on the roll's count of changes), so that whoever leads goes on where another stopped, and a
step proposed twice is taken once. The leader's word is needed only where conditions must hold (`work`); the
rest are reports of the gateway itself.

The gateway's side (`Rolled`) goes by where it stands, not by what it was told when: whoever is not to be
drained now serves.  So nothing stays half drained, whatever was lost on the way.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, ClassVar

import msgspec

from badgeryoke.cluster.errors import ClusterError, DuplicateId, InvalidCall, NotFound, WrongState
from badgeryoke.cluster.invariants import Invariants, Rule
from badgeryoke.cluster.messages import MemberId, member_name
from badgeryoke.cluster.state_machine.part import ApplyResult, Command, LeaderView

MAX_RESTARTS = 16  # kept, the ended ones among them; the oldest ended goes first
MAX_GATEWAYS = 1024
MAX_AT_ONCE = 64
MAX_TEXT_CHARACTERS = 256
MAX_DURATION_MS = 24 * 3_600_000.0
PAUSE_AFTER_BLOCKED_MS = (
    1500.0  # a wave may wait so long for its conditions before the roll says that it is paused
)
IN_PROGRESS_POLL_INTERVAL_MS = 50.0  # between two readings of a gateway that is under way
MIN_POLL_INTERVAL_MS, POLL_INTERVAL_PER_MEMBER_MS = (
    100.0,
    10.0,
)  # of another during a roll: the first, and more by the size of the fleet
IDLE_POLL_INTERVAL_MS = 500.0  # without a roll, and longer in large fleets; the first wave waits for it
# a reading older than this makes nobody turn clients away or leave: it was frozen, or cut off
MAX_ASSIGNMENT_AGE_MS = 1000.0
GROWTH_MARGIN_MS = 50.0  # beside a reading's time: others grow before the wave's gateways turn clients away


class RestartState(Enum):
    """Of a roll."""

    ASKED = "asked"
    PLANNING = "planning"
    RUNNING = "running"
    PAUSED = "paused"
    CANCELLING = "cancelling"
    CANCELLED = "cancelled"
    DONE = "done"
    FAILED = "failed"


class RestartEvent(Enum):
    """What happens to a roll."""

    SEEN = "a leader has taken it up"
    PLANNED = "its gateways have an order"
    IMPOSSIBLE = "it cannot be carried out at all"
    BLOCKED = "something is in its way"
    MENDED = "nothing is in its way any more"
    CANCEL = "it is taken back"
    FINISHED = "none of its gateways is under way or waits"


S, T = RestartState, RestartEvent
RESTART_TRANSITIONS: dict[tuple[RestartState, RestartEvent], RestartState] = {
    (S.ASKED, T.SEEN): S.PLANNING,
    (S.ASKED, T.CANCEL): S.CANCELLED,
    (S.PLANNING, T.PLANNED): S.RUNNING,
    (S.PLANNING, T.IMPOSSIBLE): S.FAILED,
    (S.PLANNING, T.CANCEL): S.CANCELLED,
    (S.RUNNING, T.BLOCKED): S.PAUSED,
    (S.RUNNING, T.CANCEL): S.CANCELLING,
    (S.RUNNING, T.FINISHED): S.DONE,
    (S.PAUSED, T.BLOCKED): S.PAUSED,  # by something else
    (S.PAUSED, T.MENDED): S.RUNNING,
    (S.PAUSED, T.CANCEL): S.CANCELLING,
    (S.PAUSED, T.FINISHED): S.DONE,
    (S.CANCELLING, T.FINISHED): S.CANCELLED,
}
ENDED_STATES = frozenset({S.CANCELLED, S.DONE, S.FAILED})


class GatewayPhase(Enum):
    """Of one gateway in a roll, in the order in which it goes."""

    WAITING = "waiting"
    GRANTING = "granting"  # it leads nothing more and gives back what it does not use; the others grow
    PAUSING = "pausing"  # PAUSE: the front is hearing of it
    EMPTYING = "emptying"  # drained, until nothing is open
    ACTING = "acting"  # it leaves, and a later process of its name comes back
    HELD = "held"  # drained until an operator lets it go, or another process comes back in its place
    RETURNING = "returning"  # serving again, its copies not yet whole
    WARMING = "warming"
    UNDOING = "undoing"  # cancelled while drained: RESUME
    DONE = "done"
    UNDONE = "undone"


class GatewayEvent(Enum):
    """What happens to one gateway."""

    BEGIN = "its wave begins"
    ROOMY = "the others have their room"
    PAUSED = "it turns clients away"
    ACT = "it is empty, and leaves"
    HOLD = "it is empty, and stays so"
    BACK = "a later process of its name runs"
    RELEASE = "an operator lets it go"
    WHOLE = "it serves, and its copies are whole"
    WARM = "it has served for long enough"
    CANCEL = "the roll is taken back"
    RESUMED = "it serves again"
    LOST = "it is dead, and will serve when it comes back"


G, E = GatewayPhase, GatewayEvent
GATEWAY_TRANSITIONS: dict[tuple[GatewayPhase, GatewayEvent], GatewayPhase] = {
    (G.WAITING, E.BEGIN): G.GRANTING,
    (G.WAITING, E.CANCEL): G.UNDONE,
    (G.GRANTING, E.ROOMY): G.PAUSING,
    (G.GRANTING, E.CANCEL): G.UNDONE,
    (G.PAUSING, E.PAUSED): G.EMPTYING,
    (G.PAUSING, E.BACK): G.RETURNING,  # it crashed meanwhile, and was started again
    (G.PAUSING, E.CANCEL): G.UNDOING,
    (G.EMPTYING, E.ACT): G.ACTING,
    (G.EMPTYING, E.HOLD): G.HELD,
    (G.EMPTYING, E.BACK): G.RETURNING,
    (G.EMPTYING, E.CANCEL): G.UNDOING,
    (G.ACTING, E.BACK): G.RETURNING,  # a cancelled roll waits for it: whether it has left is not known
    (G.ACTING, E.LOST): G.UNDONE,
    (G.HELD, E.RELEASE): G.RETURNING,
    (G.HELD, E.BACK): G.RETURNING,
    (G.HELD, E.CANCEL): G.UNDOING,
    (G.RETURNING, E.WHOLE): G.WARMING,
    (G.RETURNING, E.LOST): G.UNDONE,
    (G.WARMING, E.WARM): G.DONE,
    (G.WARMING, E.LOST): G.UNDONE,
    (G.UNDOING, E.RESUMED): G.UNDONE,
    (G.UNDOING, E.BACK): G.UNDONE,
    (G.UNDOING, E.LOST): G.UNDONE,
}
PHASE_RANK = {stand: place for place, stand in enumerate(GatewayPhase)}
FINAL_PHASES = frozenset({G.DONE, G.UNDONE})
UNAVAILABLE_PHASES = frozenset({G.GRANTING, G.PAUSING, G.EMPTYING, G.ACTING, G.HELD, G.RETURNING, G.UNDOING})
IN_PROGRESS_PHASES = UNAVAILABLE_PHASES | {G.WARMING}
DRAINED_PHASES = frozenset({G.PAUSING, G.EMPTYING, G.ACTING, G.HELD})
# what a gateway says, and the step it makes; none: the leader makes it
REPORTS: dict[str, GatewayEvent | None] = {
    "ready": None,
    "paused": E.PAUSED,
    "empty": None,
    "back": E.BACK,
    "whole": E.WHOLE,
    "resumed": E.RESUMED,
}
LEADER_EVENTS = frozenset({E.ROOMY, E.ACT, E.HOLD, E.WARM, E.LOST})
REQUIRED_REPORTS = {
    E.ROOMY: "ready",
    E.ACT: "empty",
    E.HOLD: "empty",
}  # what the gateway must have said before


class ClusterConditions(msgspec.Struct, frozen=True, array_like=True):
    """On what a leader decided that gateways may go: counted by `count`, beside the choice of them."""

    missing_copies: int  # copies that are dead or behind, but for those of gateways that a wave has ended
    spare_voters: (
        int  # voters beyond the majority in the group that has fewest, without the wave; 1 at the most
    )
    emptied_zones: int  # halls that would be left without a gateway
    remaining_units_per_s: float  # units a second that what stays carries; below 0: not known
    required_units_per_s: float

    def validate(self) -> tuple[Rule, str] | None:
        """The first condition that does not hold."""
        if self.missing_copies:
            return Rule.COPIES_WHOLE, f"copies not whole: {self.missing_copies} missing"
        if self.spare_voters < 0:
            return Rule.WAVE_KEEPS_QUORUM, "no majority: a group would be left without"
        if self.emptied_zones:
            return Rule.WAVE_KEEPS_QUORUM, "no hall: one would be left without a gateway"
        if 0.0 <= self.remaining_units_per_s < self.required_units_per_s:
            return (
                Rule.WAVE_KEEPS_ROOM,
                f"no room: what stays carries {self.remaining_units_per_s:g} of {self.required_units_per_s:g} needed",
            )
        return None


def _texts(**given: str) -> str:
    return next(
        (
            f"{key}: expected at most {MAX_TEXT_CHARACTERS} characters"
            for key, text in given.items()
            if len(text) > MAX_TEXT_CHARACTERS
        ),
        "",
    )


class StartRollingRestart(Command, frozen=True, tag="RollAsk"):
    """Drain gateways: by name, or of a hall, or all.  `deadline_ms`: for one to become empty, and to come
    back."""

    restart: str = msgspec.field(name="roll")
    gateways: tuple[str, ...] = ()
    zone: str = msgspec.field(default="", name="hall")
    reason: str = ""
    deadline_ms: float = 60_000.0
    at_once: int = 1
    after_drain: str = msgspec.field(default="restart", name="act")  # or "hold"
    warm_up_ms: float = msgspec.field(default=3000.0, name="warm_ms")
    may_empty_zone: bool = msgspec.field(
        default=False, name="hall_may_go"
    )  # the only gateway of a hall may be drained

    def validate(self) -> str:
        if not self.restart:
            return "roll: expected a name"
        if self.after_drain not in ("restart", "hold"):
            return f"act: expected restart or hold, got {self.after_drain[:MAX_TEXT_CHARACTERS]!r}"
        if self.gateways and self.zone:
            return "hall: expected gateways or a hall, got both"
        if len(self.gateways) > MAX_GATEWAYS or len(set(self.gateways)) < len(self.gateways):
            return f"gateways: expected at most {MAX_GATEWAYS}, each once"
        if not 1 <= self.at_once <= MAX_AT_ONCE:
            return f"at_once: expected 1 to {MAX_AT_ONCE}, got {self.at_once}"
        if not (0.0 < self.deadline_ms <= MAX_DURATION_MS and 0.0 <= self.warm_up_ms <= MAX_DURATION_MS):
            return f"deadline_ms, warm_ms: expected above 0 and at most {MAX_DURATION_MS:g}"
        return _texts(roll=self.restart, hall=self.zone, reason=self.reason)


class CancelRollingRestart(Command, frozen=True, tag="RollCancel"):
    """Take a roll back: whoever is drained serves again, whoever has left comes back, nobody else is
    drained."""

    restart: str = msgspec.field(name="roll")


class ResumeGateway(Command, frozen=True, tag="RollResume"):
    """Let go who is held, all or one by name; `force`: act on those that do not become empty, at their
    loss."""

    restart: str = msgspec.field(name="roll")
    gateway: str = ""
    force: bool = False


class RecordRestartEvent(Command, frozen=True, tag="RollTurn"):
    """A turn of the roll, by the leader."""

    restart: str = msgspec.field(name="roll")
    restart_version: int = msgspec.field(name="stamp")
    event: str = msgspec.field(name="turn")  # a Turn's name
    cause: str = msgspec.field(default="", name="why")
    order: tuple[str, ...] = ()
    member_count: int = msgspec.field(default=0, name="members")


class StartWave(Command, frozen=True, tag="RollWave"):
    """A wave begins, by the leader."""

    restart: str = msgspec.field(name="roll")
    restart_version: int = msgspec.field(name="stamp")
    gateways: tuple[str, ...]
    conditions: ClusterConditions = msgspec.field(name="facts")


class RecordGatewayEvent(Command, frozen=True, tag="RollStep"):
    """A step of one gateway, by the leader."""

    restart: str = msgspec.field(name="roll")
    gateway: str
    gateway_version: int = msgspec.field(name="round")
    event: str = msgspec.field(name="step")  # a Step's name
    conditions: ClusterConditions | None = msgspec.field(default=None, name="facts")
    restart_version: int = msgspec.field(
        default=-1, name="stamp"
    )  # the roll's count of changes on which the facts were counted, where there are any


class ReportGateway(Command, frozen=True, tag="RollReport"):
    """What a gateway has done.  Answered as RollRead."""

    restart: str = msgspec.field(name="roll")
    gateway: str
    gateway_version: int = msgspec.field(name="round")
    report: str = msgspec.field(name="what")
    process: str

    def validate(self) -> str:
        if self.report not in REPORTS:
            return f"what: expected one of {', '.join(REPORTS)}"
        return _texts(process=self.process) or ("" if self.process else "process: expected a name")


class ReadDesiredState(Command, frozen=True, tag="RollRead"):
    """Where a gateway stands."""

    reads: ClassVar[bool] = True
    gateway: str


class ReadRollingRestarts(Command, frozen=True, tag="RollsRead"):
    """Every roll that is kept, for operators: its state, why, and where each gateway stands."""

    reads: ClassVar[bool] = True


# The others are the fleet's own.
OPERATOR_COMMANDS: tuple[type[Command], ...] = (
    StartRollingRestart,
    CancelRollingRestart,
    ResumeGateway,
    ReadDesiredState,
    ReadRollingRestarts,
)
COMMANDS: tuple[type[Command], ...] = (
    *OPERATOR_COMMANDS,
    RecordRestartEvent,
    StartWave,
    RecordGatewayEvent,
    ReportGateway,
)


@dataclass(slots=True)
class GatewayProgress:
    """One gateway in a roll."""

    phase: GatewayPhase = G.WAITING
    version: int = 0
    since_ms: float = 0.0  # group's time of its last step
    report: str = ""  # what it has said in this round
    process: str = ""  # that was there when its wave began
    drain_count: int = 0


@dataclass(slots=True)
class RollingRestart:
    """One roll."""

    name: str
    request: StartRollingRestart
    state: RestartState = S.ASKED
    since_ms: float = 0.0
    cause: str = ""
    version: int = 0  # of it and its gateways; a leader's command names the count it saw
    member_count: int = 1
    gateways: dict[str, GatewayProgress] = field(default_factory=dict)

    def gateways_in_progress(self) -> list[str]:
        """Who is in a wave."""
        return [name for name, one in self.gateways.items() if one.phase in IN_PROGRESS_PHASES]

    def poll_interval_ms(self) -> float:
        """Between two readings of a gateway that is not under way."""
        return max(MIN_POLL_INTERVAL_MS, POLL_INTERVAL_PER_MEMBER_MS * self.member_count)


class RollingRestarts:
    """The part of the fleet's group that holds its rolls; one at a time is under way."""

    def __init__(self, rules: Invariants) -> None:
        self._rules = rules
        self.restarts: dict[str, RollingRestart] = {}
        self._blocked: tuple[str, str, float] = (
            "",
            "",
            0.0,
        )  # roll, kind of obstacle, since when: the leader's own

    @property
    def active(self) -> RollingRestart | None:
        """The one under way."""
        return next((roll for roll in self.restarts.values() if roll.state not in ENDED_STATES), None)

    # What is applied.

    def apply(self, at_ms: float, command: Any) -> ApplyResult:
        """See badgeryoke.cluster.state_machine.part."""
        if said := command.validate():
            return ApplyResult(error=InvalidCall("roll", said))
        if isinstance(command, ReadDesiredState):
            return ApplyResult(self.assignment(command.gateway))
        if isinstance(command, StartRollingRestart):
            return self._ask(at_ms, command)
        roll = self.restarts.get(command.restart) if hasattr(command, "restart") else None
        if roll is None:
            return ApplyResult(
                error=NotFound(str(getattr(command, "restart", "roll")), "no roll of that name is known")
            )
        if isinstance(command, CancelRollingRestart):
            return self._cancel(at_ms, roll)
        if isinstance(command, ResumeGateway):
            return self._resume(at_ms, roll, command)
        if isinstance(command, RecordRestartEvent):
            return self._turn(at_ms, roll, command)
        if isinstance(command, StartWave):
            return self._wave(at_ms, roll, command)
        if isinstance(command, RecordGatewayEvent):
            return self._step(at_ms, roll, command)
        if isinstance(command, ReportGateway):
            return self._report(at_ms, roll, command)
        return ApplyResult(error=InvalidCall("roll", f"unknown command {command.command_name()}"))

    def query(self, command: ReadDesiredState | ReadRollingRestarts) -> ApplyResult:
        """Read where one gateway stands, or every roll."""
        return ApplyResult(
            self.summaries() if isinstance(command, ReadRollingRestarts) else self.assignment(command.gateway)
        )

    def _ask(self, at_ms: float, command: StartRollingRestart) -> ApplyResult:
        if command.restart in self.restarts:
            return ApplyResult(error=WrongState(command.restart, "a roll of that name is known already"))
        if (other := self.active) is not None:
            return ApplyResult(
                error=WrongState(command.restart, f"{other.name} is {other.state.value}: one roll at a time")
            )
        while len(self.restarts) >= MAX_RESTARTS:
            del self.restarts[next(iter(self.restarts))]  # all have ended, the first longest ago
        self.restarts[command.restart] = RollingRestart(command.restart, command, since_ms=at_ms)
        return ApplyResult({"roll": command.restart, "state": S.ASKED.value})

    def _move(self, at_ms: float, roll: RollingRestart, turn: RestartEvent, why: str = "") -> bool:
        after = RESTART_TRANSITIONS.get((roll.state, turn))
        if after is None:
            return False
        roll.state, roll.since_ms, roll.cause = after, at_ms, why
        roll.version += 1
        return True

    def _go(self, at_ms: float, roll: RollingRestart, name: str, step: GatewayEvent) -> bool:
        """One gateway's step, and the roll's end where it was the last."""
        one = roll.gateways[name]
        after = GATEWAY_TRANSITIONS.get((one.phase, step))
        if after is None:
            return False
        one.drain_count += after is G.PAUSING
        self._rules.check(
            Rule.ROLL_FORWARD,
            PHASE_RANK[after] > PHASE_RANK[one.phase] and one.drain_count <= 1,
            lambda: f"{roll.name}: {name} from {one.phase.value} to {after.value}, {one.drain_count} drains",
        )
        one.phase, one.since_ms, one.report = after, at_ms, ""
        one.version += 1
        roll.version += 1
        if all(other.phase in FINAL_PHASES for other in roll.gateways.values()):
            self._move(at_ms, roll, T.FINISHED, roll.cause)
        return True

    def _cancel(self, at_ms: float, roll: RollingRestart) -> ApplyResult:
        if not self._move(at_ms, roll, T.CANCEL, "cancelled"):
            return ApplyResult(error=WrongState(roll.name, f"it is {roll.state.value}"))
        for name in roll.gateways:
            self._go(at_ms, roll, name, E.CANCEL)
        return ApplyResult(self._tell(roll))

    def _resume(self, at_ms: float, roll: RollingRestart, command: ResumeGateway) -> ApplyResult:
        if command.gateway and command.gateway not in roll.gateways:
            return ApplyResult(error=NotFound(command.gateway, f"not in {roll.name}"))
        moved = 0
        for name in [command.gateway] if command.gateway else list(roll.gateways):
            one = roll.gateways[name]
            if one.phase is G.HELD:
                moved += self._go(at_ms, roll, name, E.RELEASE)
            elif command.force and one.phase is G.EMPTYING and one.report != "empty":
                one.report = "empty"
                roll.version += 1
                moved += 1
        if not moved:
            return ApplyResult(
                error=WrongState(roll.name, "nobody there is held, or, with force, waits to become empty")
            )
        return ApplyResult(self._tell(roll))

    def _turn(self, at_ms: float, roll: RollingRestart, command: RecordRestartEvent) -> ApplyResult:
        turn = RestartEvent.__members__.get(command.event)
        if command.restart_version != roll.version or turn in (None, T.CANCEL, T.FINISHED):
            return ApplyResult(error=WrongState(roll.name, "it has moved on"))
        assert turn is not None
        if turn is T.PLANNED and (not command.order or len(set(command.order)) < len(command.order)):
            return ApplyResult(error=InvalidCall(roll.name, "order: expected gateways, each once"))
        if not self._move(at_ms, roll, turn, command.cause):
            return ApplyResult(error=WrongState(roll.name, f"it is {roll.state.value}"))
        if turn is T.PLANNED:
            roll.gateways = {name: GatewayProgress(since_ms=at_ms) for name in command.order}
            roll.member_count = max(command.member_count, 1)
        return ApplyResult(self._tell(roll))

    def _check_conditions(self, roll: RollingRestart, facts: ClusterConditions | None) -> str:
        """Why gateways may not go; a leader that proposes it all the same has broken a rule."""
        found = facts.validate() if facts is not None else (Rule.WAVE_KEEPS_ROOM, "no facts")
        if found is None:
            return ""
        self._rules.check(found[0], False, lambda: f"{roll.name}: {found[1]}")
        return found[1]

    def _wave(self, at_ms: float, roll: RollingRestart, command: StartWave) -> ApplyResult:
        if command.restart_version != roll.version or roll.state is not S.RUNNING:
            return ApplyResult(error=WrongState(roll.name, "it has moved on"))
        if not 1 <= len(command.gateways) <= roll.request.at_once or roll.gateways_in_progress():
            return ApplyResult(
                error=WrongState(roll.name, "the wave before is under way, or this one is too large")
            )
        if any(
            name not in roll.gateways or roll.gateways[name].phase is not G.WAITING
            for name in command.gateways
        ):
            return ApplyResult(error=WrongState(roll.name, "not all of them wait"))
        if said := self._check_conditions(roll, command.conditions):
            return ApplyResult(error=WrongState(roll.name, said))
        for name in command.gateways:
            self._go(at_ms, roll, name, E.BEGIN)
        return ApplyResult(self._tell(roll))

    def _is_current(self, one: GatewayProgress, round_: int) -> bool:
        """Whether a step or a report was meant for where the gateway stands now."""
        return one.version == round_

    def _step(self, at_ms: float, roll: RollingRestart, command: RecordGatewayEvent) -> ApplyResult:
        one, step = roll.gateways.get(command.gateway), GatewayEvent.__members__.get(command.event)
        if one is None or step not in LEADER_EVENTS or not self._is_current(one, command.gateway_version):
            return ApplyResult(error=WrongState(roll.name, f"{command.gateway} has moved on"))
        if step in REQUIRED_REPORTS:
            other = E.ACT if roll.request.after_drain == "hold" else E.HOLD
            if command.restart_version != roll.version:
                # another may have left since
                return ApplyResult(error=WrongState(roll.name, "it has moved on"))
            if roll.state is not S.RUNNING or one.report != REQUIRED_REPORTS[step] or step is other:
                return ApplyResult(error=WrongState(roll.name, f"{command.gateway} is not ready for that"))
            if said := self._check_conditions(roll, command.conditions):
                return ApplyResult(error=WrongState(roll.name, said))
        if step is E.LOST and roll.state is not S.CANCELLING:
            return ApplyResult(error=WrongState(roll.name, "it waits for who is lost"))
        if not self._go(at_ms, roll, command.gateway, step):
            return ApplyResult(error=WrongState(roll.name, f"{command.gateway} is {one.phase.value}"))
        return ApplyResult(self._tell(roll))

    def _report(self, at_ms: float, roll: RollingRestart, command: ReportGateway) -> ApplyResult:
        one = roll.gateways.get(command.gateway)
        if one is None or not self._is_current(one, command.gateway_version):
            return ApplyResult(self.assignment(command.gateway))  # it learns where it stands
        step = REPORTS[command.report]
        if step is not None:
            # "back" is another process than the one whose wave began.
            if step is not E.BACK or one.process != command.process:
                self._go(at_ms, roll, command.gateway, step)
        elif command.report == {G.GRANTING: "ready", G.EMPTYING: "empty"}.get(one.phase):
            if command.report == "ready":
                one.process = command.process
            if one.report != command.report:
                one.report = command.report
                roll.version += 1
        return ApplyResult(self.assignment(command.gateway))

    # What is read.

    def assignment(self, name: str) -> dict[str, Any]:
        """Where one gateway stands: an empty `roll` where it is in none that is under way."""
        roll = self.active
        if roll is None:
            return {"roll": "", "read_ms": IDLE_POLL_INTERVAL_MS, "grow": 1.0}
        away = sum(one.phase in UNAVAILABLE_PHASES for one in roll.gateways.values())
        grow = roll.member_count / max(roll.member_count - away, 1)
        one = roll.gateways.get(name)
        if one is None:
            return {"roll": "", "read_ms": roll.poll_interval_ms(), "grow": grow}
        under_way = one.phase in IN_PROGRESS_PHASES
        return {
            "roll": roll.name,
            "stand": one.phase.name,
            "round": one.version,
            "told": one.report,
            "process": one.process,
            "read_ms": IN_PROGRESS_POLL_INTERVAL_MS if under_way else roll.poll_interval_ms(),
            "grow": 1.0 if one.phase in UNAVAILABLE_PHASES else grow,
        }

    def _tell(self, roll: RollingRestart) -> dict[str, Any]:
        return {
            "roll": roll.name,
            "state": roll.state.value,
            "why": roll.cause,
            "act": roll.request.after_drain,
            "reason": roll.request.reason,
            "since_ms": roll.since_ms,
            "gateways": {name: one.phase.value for name, one in roll.gateways.items()},
        }

    def summaries(self) -> list[dict[str, Any]]:
        """For operators: every roll that is kept."""
        return [self._tell(roll) for roll in self.restarts.values()]

    def planning_horizon_ms(self) -> float:
        """So far ahead contracts' windows count as `promised` for the next wave."""
        roll = self.active
        return 2 * roll.request.deadline_ms + roll.request.warm_up_ms if roll is not None else 0.0

    # What the leader proposes.

    def observe_conditions(
        self, view: LeaderView, roll: RollingRestart, wave: Iterable[str], leaving: str = ""
    ) -> ClusterConditions:
        """What would be left without the wave and those away already.  `leaving`: who of them would leave
        now; majorities are judged without that one and those that have left: the others' copies are there
        until they do.

        `view.load`: "capacity", units a second that all live gateways carry; "demand", what is asked for
        outside of contracts; "promised", the contracts' rates up to `horizon_ms` ahead.  Without a capacity
        room is not judged.
        """
        gone = {name for name, one in roll.gateways.items() if one.phase in UNAVAILABLE_PHASES}
        # Before it has left a gateway of the wave has its copies, or has lost them meanwhile.
        left = {name for name, one in roll.gateways.items() if one.phase in (G.ACTING, G.RETURNING)}
        away = gone | set(wave)
        held = {name for name, one in roll.gateways.items() if one.phase is G.HELD}
        off = left | held | {leaving} if leaving else away
        alive = {member_name(who) for who in view.alive}
        missing, spare = 0, 1
        for (
            voters
        ) in view.groups.values():  # by their Ids: one that came back with another store is no copy yet
            missing += sum(member_name(who) not in left and who not in view.alive for who in voters)
            spare = min(
                spare,
                sum(who in view.alive and member_name(who) not in off for who in voters)
                - (len(voters) // 2 + 1),
            )
        missing += sum(member_name(who) not in left for found in view.behind.values() for who in found)
        halls = {view.halls[name] for name in alive if name in view.halls}
        left = {view.halls[name] for name in alive - away if name in view.halls}
        short = 0 if roll.request.may_empty_zone and left else len(halls - left)
        have = -1.0
        if "capacity" in view.load:
            have = view.load["capacity"] * len(alive - away) / max(len(alive), 1)
        return ClusterConditions(
            missing, spare, short, have, view.load.get("demand", 0.0) + view.load.get("promised", 0.0)
        )

    def leader_tasks(self, view: LeaderView) -> list[Command]:
        """The next steps whose conditions hold; or why there is none."""
        roll = self.active
        if roll is None:
            return []
        if roll.state is S.ASKED:
            return [self._turned(roll, T.SEEN)]
        if roll.state is S.PLANNING:
            return [self._plan(view, roll)]
        made: list[Command] = [
            self._stepped(roll, name, E.WARM)
            for name, one in roll.gateways.items()
            if one.phase is G.WARMING and view.wall - one.since_ms >= roll.request.warm_up_ms
        ]
        if roll.state is S.CANCELLING:
            lost = {member_name(who): ms for who, ms in view.dead_for.items()}
            made += [
                self._stepped(roll, name, E.LOST)
                for name, one in roll.gateways.items()
                if lost.get(name, 0.0) >= view.timings.repair_after_ms
                and (one.phase, E.LOST) in GATEWAY_TRANSITIONS
            ]
            return made
        hard = self._failed(view, roll)
        soft = ""
        further: list[Command] = []
        if not hard:
            soft, further = self._further(view, roll)
        return made + self._judged(view, roll, hard, soft, further)

    def _judged(
        self, view: LeaderView, roll: RollingRestart, hard: str, soft: str, further: list[Command]
    ) -> list[Command]:
        """Pause, go on, or do what comes next."""
        why = hard or soft
        kind = why.partition(":")[0]
        if roll.state is S.PAUSED:
            if not why:
                return [self._turned(roll, T.MENDED)]
            return [self._turned(roll, T.BLOCKED, why)] if kind != roll.cause.partition(":")[0] else []
        if not why:
            self._blocked = ("", "", 0.0)
            return further
        if self._blocked[:2] != (roll.name, kind):
            self._blocked = (roll.name, kind, view.now)
        if hard or view.now - self._blocked[2] >= PAUSE_AFTER_BLOCKED_MS:
            return [self._turned(roll, T.BLOCKED, why)]
        return further

    def _turned(
        self,
        roll: RollingRestart,
        turn: RestartEvent,
        why: str = "",
        order: tuple[str, ...] = (),
        members: int = 0,
    ) -> RecordRestartEvent:
        return RecordRestartEvent(
            id=f"roll/{roll.name}/{roll.version}/{turn.name}",
            restart=roll.name,
            restart_version=roll.version,
            event=turn.name,
            cause=why,
            order=order,
            member_count=members,
        )

    def _stepped(
        self, roll: RollingRestart, name: str, step: GatewayEvent, facts: ClusterConditions | None = None
    ) -> RecordGatewayEvent:
        round_ = roll.gateways[name].version
        # The roll's count is in the id: a step refused where the roll stood then may be made where it stands
        # now.
        return RecordGatewayEvent(
            id=f"roll/{roll.name}/{roll.version}/{name}/{round_}/{step.name}",
            restart=roll.name,
            gateway=name,
            gateway_version=round_,
            event=step.name,
            conditions=facts,
            restart_version=roll.version,
        )

    def _plan(self, view: LeaderView, roll: RollingRestart) -> RecordRestartEvent:
        """Who comes when: as asked for, and this leader last, so that it hands over once."""
        ask = roll.request
        names = list(ask.gateways) or [
            name for name in sorted(view.halls) if ask.zone in ("", view.halls[name])
        ]
        unknown = [name for name in names if name not in view.halls]
        if unknown or not names:
            return self._turned(
                roll, T.IMPOSSIBLE, f"no such gateway: {', '.join(unknown)[:MAX_TEXT_CHARACTERS] or ask.zone}"
            )
        names.sort(key=lambda name: name == member_name(view.me))
        return self._turned(roll, T.PLANNED, order=tuple(names), members=len(view.halls))

    def _failed(self, view: LeaderView, roll: RollingRestart) -> str:
        """What has gone wrong with those under way.  Who left in order is not dead: a restart is seen as
        that for a moment when its process is back."""
        dead = {member_name(who) for who in view.dead_for} - {member_name(who) for who in view.alive}
        for name, one in roll.gateways.items():
            if one.phase not in IN_PROGRESS_PHASES:
                continue
            if name in dead and one.phase not in (G.ACTING, G.HELD, G.RETURNING):
                return f"{name} is dead while {one.phase.value}"
            if (
                one.phase not in (G.HELD, G.WARMING)
                and not one.report
                and view.wall - one.since_ms >= roll.request.deadline_ms
            ):
                return f"{name} is late {one.phase.value}"
        return ""

    def _further(self, view: LeaderView, roll: RollingRestart) -> tuple[str, list[Command]]:
        """The step that could be made now, one since it changes the facts of the next, or what is in the
        way."""
        said = ""
        for name, one in roll.gateways.items():
            step = {
                G.GRANTING: E.ROOMY,
                G.EMPTYING: E.HOLD if roll.request.after_drain == "hold" else E.ACT,
            }.get(one.phase)
            if step is None or one.report != REQUIRED_REPORTS[step]:
                continue
            if step is E.ROOMY and view.wall - one.since_ms < GROWTH_MARGIN_MS + roll.poll_interval_ms():
                continue  # the others are growing
            facts = self.observe_conditions(view, roll, (), "" if step is E.ROOMY else name)
            if (found := facts.validate()) is None:
                return "", [self._stepped(roll, name, step, facts)]
            said = said or found[1]
        if said or roll.gateways_in_progress():
            return said, []
        return self._next(view, roll)

    def _next(self, view: LeaderView, roll: RollingRestart) -> tuple[str, list[Command]]:
        """The next wave: in order, whoever fits beside those before."""
        alive = {member_name(who) for who in view.alive}
        wave: list[str] = []
        said = ""
        for name, one in roll.gateways.items():
            if one.phase is not G.WAITING or len(wave) >= roll.request.at_once:
                continue
            if name not in alive:
                said = said or f"{name} is dead while waiting"
                continue
            found = self.observe_conditions(view, roll, [*wave, name]).validate()
            if found is None:
                wave.append(name)
            else:
                said = said or found[1]
        if not wave:
            return said, []
        return "", [
            StartWave(
                id=f"roll/{roll.name}/{roll.version}/wave",
                restart=roll.name,
                restart_version=roll.version,
                gateways=tuple(wave),
                conditions=self.observe_conditions(view, roll, wave),
            )
        ]

    def seen(self, now: float) -> None:
        """See badgeryoke.cluster.state_machine.part; nothing here ends by the monotonic clock."""

    def dump(self) -> Any:
        """See badgeryoke.cluster.state_machine.part."""
        return [
            [
                msgspec.to_builtins(roll.request),
                roll.state.name,
                roll.since_ms,
                roll.cause,
                roll.version,
                roll.member_count,
                [
                    [
                        name,
                        one.phase.name,
                        one.version,
                        one.since_ms,
                        one.report,
                        one.process,
                        one.drain_count,
                    ]
                    for name, one in roll.gateways.items()
                ],
            ]
            for roll in self.restarts.values()
        ]

    def load(self, raw: Any) -> None:
        """See badgeryoke.cluster.state_machine.part."""
        self.restarts = {}
        for ask, state, since, why, changes, members, gateways in raw:
            asked = msgspec.convert(ask, StartRollingRestart)
            self.restarts[asked.restart] = RollingRestart(
                asked.restart,
                asked,
                RestartState[state],
                since,
                why,
                changes,
                members,
                {name: GatewayProgress(GatewayPhase[stand], *rest) for name, stand, *rest in gateways},
            )


class DesiredState(Enum):
    """What a gateway has to do."""

    PAUSE = "the gateway's own drain"
    RESUME = "and back"
    LEAVE = "hand over, give back, end; to be started again"


@dataclass(slots=True)
class RollingRestartAgent:
    """A gateway's side.  The shell tells how it stands (`tell`), takes `duties`, and goes by the three
    flags."""

    gateway: str  # its name
    process: MemberId  # this process: another one is another start
    member_count: int = 1  # of the fleet
    on_phase_change: Callable[[], None] | None = (
        None  # told that the stand is another, so that the shell looks at once
    )
    paused: bool = False  # by a roll; what an operator paused is left alone
    leaving: bool = False
    assignment: dict[str, Any] = field(default_factory=dict)
    _ready: dict[str, bool] = field(default_factory=dict)
    _out: ReportGateway | ReadDesiredState | None = None
    _under_way: bool = False
    _asked: float = 0.0
    _read: float = -MAX_ASSIGNMENT_AGE_MS  # when the reading that `record` is of was asked for
    _next: float = 0.0
    _count: int = 0

    @property
    def phase(self) -> GatewayPhase | None:
        """Where this gateway stands in a roll; none where it is in none."""
        return GatewayPhase[self.assignment["stand"]] if self.assignment.get("roll") else None

    @property
    def concerns_this_process(self) -> bool:
        """Whether the stand is this process's: a drain that was begun with the one before is not."""
        return self.assignment.get("process", "") in ("", self.process)

    @property
    def must_not_lead(self) -> bool:
        """Hand over whatever is led, again if elected.  The same holds for `Keeper.leaving`."""
        return self.concerns_this_process and self.phase in (
            G.GRANTING,
            G.PAUSING,
            G.EMPTYING,
            G.ACTING,
            G.HELD,
        )

    @property
    def need_multiple(self) -> float:
        """For `Keeper.grow`."""
        return float(self.assignment.get("grow", 1.0))

    def observe(
        self, *, groups_led: int, trimmed: bool, drained: bool, empty: bool, copies_complete: bool
    ) -> None:
        """How this gateway stands: groups led; whether its connections are down to its need; whether
        clients are turned away and the front knows; whether nothing is open and no lease held; whether its
        copies have caught up."""
        self._ready = {
            "ready": not groups_led and trimmed,
            "paused": drained,
            "empty": drained and empty,
            "whole": not drained and copies_complete,
            "resumed": not drained,
            "back": True,
        }

    def next_actions(self, now: float) -> list[DesiredState]:
        """What has to be done now, each told once."""
        drained = self.concerns_this_process and self.phase in DRAINED_PHASES
        found: list[DesiredState] = []
        if drained and now - self._read > MAX_ASSIGNMENT_AGE_MS:
            return found
        if drained is not self.paused and not self.leaving:
            self.paused = drained
            found.append(DesiredState.PAUSE if drained else DesiredState.RESUME)
        if drained and self.phase is G.ACTING and not self.leaving:
            self.leaving = True
            found.append(DesiredState.LEAVE)
        return found

    def _report(self) -> str:
        """What there is to say."""
        stand = self.phase
        if stand is None or self.leaving:
            return ""
        if not self.concerns_this_process and stand in DRAINED_PHASES | {G.UNDOING}:
            return "back"
        what = {
            G.GRANTING: "ready",
            G.PAUSING: "paused",
            G.EMPTYING: "empty",
            G.RETURNING: "whole",
            G.UNDOING: "resumed",
        }.get(stand, "")
        return what if what and self._ready.get(what) and self.assignment["told"] != what else ""

    @property
    def due(self) -> float:
        """When it has something to ask or to say: a step of the roll waits for it."""
        if self._under_way:
            return math.inf
        return -math.inf if self._out is None and self._report() else self._next

    def poll(self, now: float, wall: float) -> list[Command]:
        """See fleet.node.Holder."""
        if self._under_way or (now < self._next and (self._out is not None or not self._report())):
            return []
        if self._out is None:
            self._count += 1
            id_, what = f"rolled/{self.process}/{self._count}", self._report()
            self._out = (
                ReportGateway(
                    id=id_,
                    restart=self.assignment["roll"],
                    gateway=self.gateway,
                    gateway_version=self.assignment["round"],
                    report=what,
                    process=self.process,
                )
                if what
                else ReadDesiredState(id=id_, gateway=self.gateway)
            )
        self._under_way, self._asked = True, now
        return [self._out]

    def answered(self, now: float, command: Command, result: ApplyResult | ClusterError) -> None:
        """See fleet.node.Holder."""
        if self._out is None or command.id != self._out.id:
            return
        self._under_way = False
        error = result if isinstance(result, ClusterError) else result.error
        if error is None and isinstance(result, ApplyResult):
            before, self.assignment = self.assignment, result.value
            self._out, self._read = None, self._asked
            if self.on_phase_change is not None and before.get("stand") != self.assignment.get("stand"):
                self.on_phase_change()
            self._next = now + max(
                self.assignment["read_ms"],
                0.0 if self.assignment["roll"] else POLL_INTERVAL_PER_MEMBER_MS * self.member_count,
            )
            return
        if isinstance(self._out, ReadDesiredState) or isinstance(
            error, InvalidCall | NotFound | DuplicateId | WrongState
        ):
            # a reading may as well be a new one; what was refused is not said again as it was
            self._out = None
            if isinstance(error, NotFound):
                self.assignment = {}
        self._next = now + MIN_POLL_INTERVAL_MS


def minimum_duration_ms(
    gateways: Iterable[str],
    groups: dict[str, tuple[str, ...]],
    halls: dict[str, str],
    at_once: int,
    carried: float,
    wave_ms: float,
) -> float:
    """The least time that the limits allow: so many waves at the least, each of `wave_ms` (turning away,
    emptying, acting, warming as they take without any schedule).  `carried`: the part of the fleet that must
    stay for its load.

    A bound from below, found without the schedule's own choice: by the most at once, by the load, by each
    hall (its last gateway stays), by each group, and by gateways each two of which share a group that spares
    one only.
    """
    names = sorted(set(gateways))
    members = len(halls)
    most = max(min(at_once, int(members * (1.0 - carried) + 1e-9)), 1)
    waves = -(-len(names) // most)
    for hall in sorted(set(halls.values())):
        there = sum(found == hall for found in halls.values())
        here = sum(halls.get(name) == hall for name in names)
        waves = max(waves, -(-here // max(there - 1, 1)))
    apart: dict[str, set[str]] = {name: set() for name in names}
    for voters in groups.values():
        inside = [name for name in voters if name in apart]
        spared = max(len(voters) - len(voters) // 2 - 1, 1)
        waves = max(waves, -(-len(inside) // spared))
        if spared == 1:
            for name in inside:
                apart[name].update(other for other in inside if other != name)
    for first in names:  # a set of which no two can go together, grown from each
        clique = [first]
        for other in sorted(apart[first], key=lambda name: (-len(apart[name]), name)):
            if all(other in apart[one] for one in clique):
                clique.append(other)
        waves = max(waves, len(clique))
    return waves * wave_ms
