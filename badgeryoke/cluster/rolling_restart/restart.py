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

MOST_ROLLS = 16  # kept, the ended ones among them; the oldest ended goes first
MOST_GATEWAYS = 1024
MOST_AT_ONCE = 64
MOST_TEXT = 256
MOST_MS = 24 * 3_600_000.0
BLOCK_MS = 1500.0  # a wave may wait so long for its conditions before the roll says that it is paused
NEAR_MS = 50.0  # between two readings of a gateway that is under way
READ_MS, PER_MEMBER_MS = 100.0, 10.0  # of another during a roll: the first, and more by the size of the fleet
IDLE_MS = 500.0  # without a roll, and longer in large fleets; the first wave waits for it
# a reading older than this makes nobody turn clients away or leave: it was frozen, or cut off
FRESH_MS = 1000.0
GRANT_MS = 50.0  # beside a reading's time: others grow before the wave's gateways turn clients away


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
TURNS: dict[tuple[RestartState, RestartEvent], RestartState] = {
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
ENDED = frozenset({S.CANCELLED, S.DONE, S.FAILED})


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
STEPS: dict[tuple[GatewayPhase, GatewayEvent], GatewayPhase] = {
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
RANK = {stand: place for place, stand in enumerate(GatewayPhase)}
OVER = frozenset({G.DONE, G.UNDONE})
AWAY = frozenset({G.GRANTING, G.PAUSING, G.EMPTYING, G.ACTING, G.HELD, G.RETURNING, G.UNDOING})
UNDER_WAY = AWAY | {G.WARMING}
DRAINED = frozenset({G.PAUSING, G.EMPTYING, G.ACTING, G.HELD})
# what a gateway says, and the step it makes; none: the leader makes it
REPORTS: dict[str, GatewayEvent | None] = {
    "ready": None,
    "paused": E.PAUSED,
    "empty": None,
    "back": E.BACK,
    "whole": E.WHOLE,
    "resumed": E.RESUMED,
}
LEADERS = frozenset({E.ROOMY, E.ACT, E.HOLD, E.WARM, E.LOST})
NEEDS = {E.ROOMY: "ready", E.ACT: "empty", E.HOLD: "empty"}  # what the gateway must have said before


class ClusterConditions(msgspec.Struct, frozen=True, array_like=True):
    """On what a leader decided that gateways may go: counted by `count`, beside the choice of them."""

    missing: int  # copies that are dead or behind, but for those of gateways that a wave has ended
    spare: int  # voters beyond the majority in the group that has fewest, without the wave; 1 at the most
    halls: int  # halls that would be left without a gateway
    have: float  # units a second that what stays carries; below 0: not known
    need: float

    def validate(self) -> tuple[Rule, str] | None:
        """The first condition that does not hold."""
        if self.missing:
            return Rule.COPIES_WHOLE, f"copies not whole: {self.missing} missing"
        if self.spare < 0:
            return Rule.WAVE_KEEPS_QUORUM, "no majority: a group would be left without"
        if self.halls:
            return Rule.WAVE_KEEPS_QUORUM, "no hall: one would be left without a gateway"
        if 0.0 <= self.have < self.need:
            return Rule.WAVE_KEEPS_ROOM, f"no room: what stays carries {self.have:g} of {self.need:g} needed"
        return None


def _texts(**given: str) -> str:
    return next(
        (
            f"{key}: expected at most {MOST_TEXT} characters"
            for key, text in given.items()
            if len(text) > MOST_TEXT
        ),
        "",
    )


class StartRollingRestart(Command, frozen=True, tag="RollAsk"):
    """Drain gateways: by name, or of a hall, or all.  `deadline_ms`: for one to become empty, and to come
    back."""

    roll: str
    gateways: tuple[str, ...] = ()
    hall: str = ""
    reason: str = ""
    deadline_ms: float = 60_000.0
    at_once: int = 1
    act: str = "restart"  # or "hold"
    warm_ms: float = 3000.0
    hall_may_go: bool = False  # the only gateway of a hall may be drained

    def validate(self) -> str:
        if not self.roll:
            return "roll: expected a name"
        if self.act not in ("restart", "hold"):
            return f"act: expected restart or hold, got {self.act[:MOST_TEXT]!r}"
        if self.gateways and self.hall:
            return "hall: expected gateways or a hall, got both"
        if len(self.gateways) > MOST_GATEWAYS or len(set(self.gateways)) < len(self.gateways):
            return f"gateways: expected at most {MOST_GATEWAYS}, each once"
        if not 1 <= self.at_once <= MOST_AT_ONCE:
            return f"at_once: expected 1 to {MOST_AT_ONCE}, got {self.at_once}"
        if not (0.0 < self.deadline_ms <= MOST_MS and 0.0 <= self.warm_ms <= MOST_MS):
            return f"deadline_ms, warm_ms: expected above 0 and at most {MOST_MS:g}"
        return _texts(roll=self.roll, hall=self.hall, reason=self.reason)


class CancelRollingRestart(Command, frozen=True, tag="RollCancel"):
    """Take a roll back: whoever is drained serves again, whoever has left comes back, nobody else is
    drained."""

    roll: str


class ResumeGateway(Command, frozen=True, tag="RollResume"):
    """Let go who is held, all or one by name; `force`: act on those that do not become empty, at their
    loss."""

    roll: str
    gateway: str = ""
    force: bool = False


class RecordRestartEvent(Command, frozen=True, tag="RollTurn"):
    """A turn of the roll, by the leader."""

    roll: str
    stamp: int
    turn: str  # a Turn's name
    why: str = ""
    order: tuple[str, ...] = ()
    members: int = 0


class StartWave(Command, frozen=True, tag="RollWave"):
    """A wave begins, by the leader."""

    roll: str
    stamp: int
    gateways: tuple[str, ...]
    facts: ClusterConditions


class RecordGatewayEvent(Command, frozen=True, tag="RollStep"):
    """A step of one gateway, by the leader."""

    roll: str
    gateway: str
    round: int
    step: str  # a Step's name
    facts: ClusterConditions | None = None
    stamp: int = -1  # the roll's count of changes on which the facts were counted, where there are any


class ReportGateway(Command, frozen=True, tag="RollReport"):
    """What a gateway has done.  Answered as RollRead."""

    roll: str
    gateway: str
    round: int
    what: str
    process: str

    def validate(self) -> str:
        if self.what not in REPORTS:
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
OPERATORS: tuple[type[Command], ...] = (
    StartRollingRestart,
    CancelRollingRestart,
    ResumeGateway,
    ReadDesiredState,
    ReadRollingRestarts,
)
COMMANDS: tuple[type[Command], ...] = (
    *OPERATORS,
    RecordRestartEvent,
    StartWave,
    RecordGatewayEvent,
    ReportGateway,
)


@dataclass(slots=True)
class GatewayProgress:
    """One gateway in a roll."""

    stand: GatewayPhase = G.WAITING
    round: int = 0
    since: float = 0.0  # group's time of its last step
    told: str = ""  # what it has said in this round
    process: str = ""  # that was there when its wave began
    drains: int = 0


@dataclass(slots=True)
class RollingRestart:
    """One roll."""

    name: str
    ask: StartRollingRestart
    state: RestartState = S.ASKED
    since: float = 0.0
    why: str = ""
    changes: int = 0  # of it and its gateways; a leader's command names the count it saw
    members: int = 1
    gateways: dict[str, GatewayProgress] = field(default_factory=dict)

    def under_way(self) -> list[str]:
        """Who is in a wave."""
        return [name for name, one in self.gateways.items() if one.stand in UNDER_WAY]

    def reading_ms(self) -> float:
        """Between two readings of a gateway that is not under way."""
        return max(READ_MS, PER_MEMBER_MS * self.members)


class RollingRestarts:
    """The part of the fleet's group that holds its rolls; one at a time is under way."""

    def __init__(self, rules: Invariants) -> None:
        self._rules = rules
        self.rolls: dict[str, RollingRestart] = {}
        self._blocked: tuple[str, str, float] = (
            "",
            "",
            0.0,
        )  # roll, kind of obstacle, since when: the leader's own

    @property
    def active(self) -> RollingRestart | None:
        """The one under way."""
        return next((roll for roll in self.rolls.values() if roll.state not in ENDED), None)

    # What is applied.

    def apply(self, at_ms: float, command: Any) -> ApplyResult:
        """See badgeryoke.cluster.state_machine.part."""
        if said := command.validate():
            return ApplyResult(error=InvalidCall("roll", said))
        if isinstance(command, ReadDesiredState):
            return ApplyResult(self.where(command.gateway))
        if isinstance(command, StartRollingRestart):
            return self._ask(at_ms, command)
        roll = self.rolls.get(command.roll) if hasattr(command, "roll") else None
        if roll is None:
            return ApplyResult(
                error=NotFound(str(getattr(command, "roll", "roll")), "no roll of that name is known")
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
            self.told() if isinstance(command, ReadRollingRestarts) else self.where(command.gateway)
        )

    def _ask(self, at_ms: float, command: StartRollingRestart) -> ApplyResult:
        if command.roll in self.rolls:
            return ApplyResult(error=WrongState(command.roll, "a roll of that name is known already"))
        if (other := self.active) is not None:
            return ApplyResult(
                error=WrongState(command.roll, f"{other.name} is {other.state.value}: one roll at a time")
            )
        while len(self.rolls) >= MOST_ROLLS:
            del self.rolls[next(iter(self.rolls))]  # all have ended, the first longest ago
        self.rolls[command.roll] = RollingRestart(command.roll, command, since=at_ms)
        return ApplyResult({"roll": command.roll, "state": S.ASKED.value})

    def _move(self, at_ms: float, roll: RollingRestart, turn: RestartEvent, why: str = "") -> bool:
        after = TURNS.get((roll.state, turn))
        if after is None:
            return False
        roll.state, roll.since, roll.why = after, at_ms, why
        roll.changes += 1
        return True

    def _go(self, at_ms: float, roll: RollingRestart, name: str, step: GatewayEvent) -> bool:
        """One gateway's step, and the roll's end where it was the last."""
        one = roll.gateways[name]
        after = STEPS.get((one.stand, step))
        if after is None:
            return False
        one.drains += after is G.PAUSING
        self._rules.check(
            Rule.ROLL_FORWARD,
            RANK[after] > RANK[one.stand] and one.drains <= 1,
            lambda: f"{roll.name}: {name} from {one.stand.value} to {after.value}, {one.drains} drains",
        )
        one.stand, one.since, one.told = after, at_ms, ""
        one.round += 1
        roll.changes += 1
        if all(other.stand in OVER for other in roll.gateways.values()):
            self._move(at_ms, roll, T.FINISHED, roll.why)
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
            if one.stand is G.HELD:
                moved += self._go(at_ms, roll, name, E.RELEASE)
            elif command.force and one.stand is G.EMPTYING and one.told != "empty":
                one.told = "empty"
                roll.changes += 1
                moved += 1
        if not moved:
            return ApplyResult(
                error=WrongState(roll.name, "nobody there is held, or, with force, waits to become empty")
            )
        return ApplyResult(self._tell(roll))

    def _turn(self, at_ms: float, roll: RollingRestart, command: RecordRestartEvent) -> ApplyResult:
        turn = RestartEvent.__members__.get(command.turn)
        if command.stamp != roll.changes or turn in (None, T.CANCEL, T.FINISHED):
            return ApplyResult(error=WrongState(roll.name, "it has moved on"))
        assert turn is not None
        if turn is T.PLANNED and (not command.order or len(set(command.order)) < len(command.order)):
            return ApplyResult(error=InvalidCall(roll.name, "order: expected gateways, each once"))
        if not self._move(at_ms, roll, turn, command.why):
            return ApplyResult(error=WrongState(roll.name, f"it is {roll.state.value}"))
        if turn is T.PLANNED:
            roll.gateways = {name: GatewayProgress(since=at_ms) for name in command.order}
            roll.members = max(command.members, 1)
        return ApplyResult(self._tell(roll))

    def _allowed(self, roll: RollingRestart, facts: ClusterConditions | None) -> str:
        """Why gateways may not go; a leader that proposes it all the same has broken a rule."""
        found = facts.validate() if facts is not None else (Rule.WAVE_KEEPS_ROOM, "no facts")
        if found is None:
            return ""
        self._rules.check(found[0], False, lambda: f"{roll.name}: {found[1]}")
        return found[1]

    def _wave(self, at_ms: float, roll: RollingRestart, command: StartWave) -> ApplyResult:
        if command.stamp != roll.changes or roll.state is not S.RUNNING:
            return ApplyResult(error=WrongState(roll.name, "it has moved on"))
        if not 1 <= len(command.gateways) <= roll.ask.at_once or roll.under_way():
            return ApplyResult(
                error=WrongState(roll.name, "the wave before is under way, or this one is too large")
            )
        if any(
            name not in roll.gateways or roll.gateways[name].stand is not G.WAITING
            for name in command.gateways
        ):
            return ApplyResult(error=WrongState(roll.name, "not all of them wait"))
        if said := self._allowed(roll, command.facts):
            return ApplyResult(error=WrongState(roll.name, said))
        for name in command.gateways:
            self._go(at_ms, roll, name, E.BEGIN)
        return ApplyResult(self._tell(roll))

    def _current(self, one: GatewayProgress, round_: int) -> bool:
        """Whether a step or a report was meant for where the gateway stands now."""
        return one.round == round_

    def _step(self, at_ms: float, roll: RollingRestart, command: RecordGatewayEvent) -> ApplyResult:
        one, step = roll.gateways.get(command.gateway), GatewayEvent.__members__.get(command.step)
        if one is None or step not in LEADERS or not self._current(one, command.round):
            return ApplyResult(error=WrongState(roll.name, f"{command.gateway} has moved on"))
        if step in NEEDS:
            other = E.ACT if roll.ask.act == "hold" else E.HOLD
            if command.stamp != roll.changes:
                # another may have left since
                return ApplyResult(error=WrongState(roll.name, "it has moved on"))
            if roll.state is not S.RUNNING or one.told != NEEDS[step] or step is other:
                return ApplyResult(error=WrongState(roll.name, f"{command.gateway} is not ready for that"))
            if said := self._allowed(roll, command.facts):
                return ApplyResult(error=WrongState(roll.name, said))
        if step is E.LOST and roll.state is not S.CANCELLING:
            return ApplyResult(error=WrongState(roll.name, "it waits for who is lost"))
        if not self._go(at_ms, roll, command.gateway, step):
            return ApplyResult(error=WrongState(roll.name, f"{command.gateway} is {one.stand.value}"))
        return ApplyResult(self._tell(roll))

    def _report(self, at_ms: float, roll: RollingRestart, command: ReportGateway) -> ApplyResult:
        one = roll.gateways.get(command.gateway)
        if one is None or not self._current(one, command.round):
            return ApplyResult(self.where(command.gateway))  # it learns where it stands
        step = REPORTS[command.what]
        if step is not None:
            # "back" is another process than the one whose wave began.
            if step is not E.BACK or one.process != command.process:
                self._go(at_ms, roll, command.gateway, step)
        elif command.what == {G.GRANTING: "ready", G.EMPTYING: "empty"}.get(one.stand):
            if command.what == "ready":
                one.process = command.process
            if one.told != command.what:
                one.told = command.what
                roll.changes += 1
        return ApplyResult(self.where(command.gateway))

    # What is read.

    def where(self, name: str) -> dict[str, Any]:
        """Where one gateway stands: an empty `roll` where it is in none that is under way."""
        roll = self.active
        if roll is None:
            return {"roll": "", "read_ms": IDLE_MS, "grow": 1.0}
        away = sum(one.stand in AWAY for one in roll.gateways.values())
        grow = roll.members / max(roll.members - away, 1)
        one = roll.gateways.get(name)
        if one is None:
            return {"roll": "", "read_ms": roll.reading_ms(), "grow": grow}
        under_way = one.stand in UNDER_WAY
        return {
            "roll": roll.name,
            "stand": one.stand.name,
            "round": one.round,
            "told": one.told,
            "process": one.process,
            "read_ms": NEAR_MS if under_way else roll.reading_ms(),
            "grow": 1.0 if one.stand in AWAY else grow,
        }

    def _tell(self, roll: RollingRestart) -> dict[str, Any]:
        return {
            "roll": roll.name,
            "state": roll.state.value,
            "why": roll.why,
            "act": roll.ask.act,
            "reason": roll.ask.reason,
            "since_ms": roll.since,
            "gateways": {name: one.stand.value for name, one in roll.gateways.items()},
        }

    def told(self) -> list[dict[str, Any]]:
        """For operators: every roll that is kept."""
        return [self._tell(roll) for roll in self.rolls.values()]

    def horizon_ms(self) -> float:
        """So far ahead contracts' windows count as `promised` for the next wave."""
        roll = self.active
        return 2 * roll.ask.deadline_ms + roll.ask.warm_ms if roll is not None else 0.0

    # What the leader proposes.

    def count(
        self, view: LeaderView, roll: RollingRestart, wave: Iterable[str], leaving: str = ""
    ) -> ClusterConditions:
        """What would be left without the wave and those away already.  `leaving`: who of them would leave
        now; majorities are judged without that one and those that have left: the others' copies are there
        until they do.

        `view.load`: "capacity", units a second that all live gateways carry; "demand", what is asked for
        outside of contracts; "promised", the contracts' rates up to `horizon_ms` ahead.  Without a capacity
        room is not judged.
        """
        gone = {name for name, one in roll.gateways.items() if one.stand in AWAY}
        # Before it has left a gateway of the wave has its copies, or has lost them meanwhile.
        left = {name for name, one in roll.gateways.items() if one.stand in (G.ACTING, G.RETURNING)}
        away = gone | set(wave)
        held = {name for name, one in roll.gateways.items() if one.stand is G.HELD}
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
        halls = {view.zones[name] for name in alive if name in view.zones}
        left = {view.zones[name] for name in alive - away if name in view.zones}
        short = 0 if roll.ask.hall_may_go and left else len(halls - left)
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
            if one.stand is G.WARMING and view.wall - one.since >= roll.ask.warm_ms
        ]
        if roll.state is S.CANCELLING:
            lost = {member_name(who): ms for who, ms in view.dead_for_ms.items()}
            made += [
                self._stepped(roll, name, E.LOST)
                for name, one in roll.gateways.items()
                if lost.get(name, 0.0) >= view.timings.repair_after_ms and (one.stand, E.LOST) in STEPS
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
            return [self._turned(roll, T.BLOCKED, why)] if kind != roll.why.partition(":")[0] else []
        if not why:
            self._blocked = ("", "", 0.0)
            return further
        if self._blocked[:2] != (roll.name, kind):
            self._blocked = (roll.name, kind, view.now)
        if hard or view.now - self._blocked[2] >= BLOCK_MS:
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
            id=f"roll/{roll.name}/{roll.changes}/{turn.name}",
            roll=roll.name,
            stamp=roll.changes,
            turn=turn.name,
            why=why,
            order=order,
            members=members,
        )

    def _stepped(
        self, roll: RollingRestart, name: str, step: GatewayEvent, facts: ClusterConditions | None = None
    ) -> RecordGatewayEvent:
        round_ = roll.gateways[name].round
        # The roll's count is in the id: a step refused where the roll stood then may be made where it stands
        # now.
        return RecordGatewayEvent(
            id=f"roll/{roll.name}/{roll.changes}/{name}/{round_}/{step.name}",
            roll=roll.name,
            gateway=name,
            round=round_,
            step=step.name,
            facts=facts,
            stamp=roll.changes,
        )

    def _plan(self, view: LeaderView, roll: RollingRestart) -> RecordRestartEvent:
        """Who comes when: as asked for, and this leader last, so that it hands over once."""
        ask = roll.ask
        names = list(ask.gateways) or [
            name for name in sorted(view.zones) if ask.hall in ("", view.zones[name])
        ]
        unknown = [name for name in names if name not in view.zones]
        if unknown or not names:
            return self._turned(
                roll, T.IMPOSSIBLE, f"no such gateway: {', '.join(unknown)[:MOST_TEXT] or ask.hall}"
            )
        names.sort(key=lambda name: name == member_name(view.me))
        return self._turned(roll, T.PLANNED, order=tuple(names), members=len(view.zones))

    def _failed(self, view: LeaderView, roll: RollingRestart) -> str:
        """What has gone wrong with those under way.  Who left in order is not dead: a restart is seen as
        that for a moment when its process is back."""
        dead = {member_name(who) for who in view.dead_for_ms} - {member_name(who) for who in view.alive}
        for name, one in roll.gateways.items():
            if one.stand not in UNDER_WAY:
                continue
            if name in dead and one.stand not in (G.ACTING, G.HELD, G.RETURNING):
                return f"{name} is dead while {one.stand.value}"
            if (
                one.stand not in (G.HELD, G.WARMING)
                and not one.told
                and view.wall - one.since >= roll.ask.deadline_ms
            ):
                return f"{name} is late {one.stand.value}"
        return ""

    def _further(self, view: LeaderView, roll: RollingRestart) -> tuple[str, list[Command]]:
        """The step that could be made now, one since it changes the facts of the next, or what is in the
        way."""
        said = ""
        for name, one in roll.gateways.items():
            step = {G.GRANTING: E.ROOMY, G.EMPTYING: E.HOLD if roll.ask.act == "hold" else E.ACT}.get(
                one.stand
            )
            if step is None or one.told != NEEDS[step]:
                continue
            if step is E.ROOMY and view.wall - one.since < GRANT_MS + roll.reading_ms():
                continue  # the others are growing
            facts = self.count(view, roll, (), "" if step is E.ROOMY else name)
            if (found := facts.validate()) is None:
                return "", [self._stepped(roll, name, step, facts)]
            said = said or found[1]
        if said or roll.under_way():
            return said, []
        return self._next(view, roll)

    def _next(self, view: LeaderView, roll: RollingRestart) -> tuple[str, list[Command]]:
        """The next wave: in order, whoever fits beside those before."""
        alive = {member_name(who) for who in view.alive}
        wave: list[str] = []
        said = ""
        for name, one in roll.gateways.items():
            if one.stand is not G.WAITING or len(wave) >= roll.ask.at_once:
                continue
            if name not in alive:
                said = said or f"{name} is dead while waiting"
                continue
            found = self.count(view, roll, [*wave, name]).validate()
            if found is None:
                wave.append(name)
            else:
                said = said or found[1]
        if not wave:
            return said, []
        return "", [
            StartWave(
                id=f"roll/{roll.name}/{roll.changes}/wave",
                roll=roll.name,
                stamp=roll.changes,
                gateways=tuple(wave),
                facts=self.count(view, roll, wave),
            )
        ]

    def seen(self, now: float) -> None:
        """See badgeryoke.cluster.state_machine.part; nothing here ends by the monotonic clock."""

    def dump(self) -> Any:
        """See badgeryoke.cluster.state_machine.part."""
        return [
            [
                msgspec.to_builtins(roll.ask),
                roll.state.name,
                roll.since,
                roll.why,
                roll.changes,
                roll.members,
                [
                    [name, one.stand.name, one.round, one.since, one.told, one.process, one.drains]
                    for name, one in roll.gateways.items()
                ],
            ]
            for roll in self.rolls.values()
        ]

    def load(self, raw: Any) -> None:
        """See badgeryoke.cluster.state_machine.part."""
        self.rolls = {}
        for ask, state, since, why, changes, members, gateways in raw:
            asked = msgspec.convert(ask, StartRollingRestart)
            self.rolls[asked.roll] = RollingRestart(
                asked.roll,
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

    me: str  # its name
    process: MemberId  # this process: another one is another start
    members: int = 1  # of the fleet
    moved: Callable[[], None] | None = None  # told that the stand is another, so that the shell looks at once
    paused: bool = False  # by a roll; what an operator paused is left alone
    left: bool = False
    record: dict[str, Any] = field(default_factory=dict)
    _ready: dict[str, bool] = field(default_factory=dict)
    _out: ReportGateway | ReadDesiredState | None = None
    _under_way: bool = False
    _asked: float = 0.0
    _read: float = -FRESH_MS  # when the reading that `record` is of was asked for
    _next: float = 0.0
    _count: int = 0

    @property
    def stand(self) -> GatewayPhase | None:
        """Where this gateway stands in a roll; none where it is in none."""
        return GatewayPhase[self.record["stand"]] if self.record.get("roll") else None

    @property
    def mine(self) -> bool:
        """Whether the stand is this process's: a drain that was begun with the one before is not."""
        return self.record.get("process", "") in ("", self.process)

    @property
    def lead_nothing(self) -> bool:
        """Hand over whatever is led, again if elected.  The same holds for `Keeper.leaving`."""
        return self.mine and self.stand in (G.GRANTING, G.PAUSING, G.EMPTYING, G.ACTING, G.HELD)

    @property
    def grow(self) -> float:
        """For `Keeper.grow`."""
        return float(self.record.get("grow", 1.0))

    def tell(self, *, leads: int, trimmed: bool, drained: bool, empty: bool, whole: bool) -> None:
        """How this gateway stands: groups led; whether its connections are down to its need; whether
        clients are turned away and the front knows; whether nothing is open and no lease held; whether its
        copies have caught up."""
        self._ready = {
            "ready": not leads and trimmed,
            "paused": drained,
            "empty": drained and empty,
            "whole": not drained and whole,
            "resumed": not drained,
            "back": True,
        }

    def duties(self, now: float) -> list[DesiredState]:
        """What has to be done now, each told once."""
        drained = self.mine and self.stand in DRAINED
        found: list[DesiredState] = []
        if drained and now - self._read > FRESH_MS:
            return found
        if drained is not self.paused and not self.left:
            self.paused = drained
            found.append(DesiredState.PAUSE if drained else DesiredState.RESUME)
        if drained and self.stand is G.ACTING and not self.left:
            self.left = True
            found.append(DesiredState.LEAVE)
        return found

    def _report(self) -> str:
        """What there is to say."""
        stand = self.stand
        if stand is None or self.left:
            return ""
        if not self.mine and stand in DRAINED | {G.UNDOING}:
            return "back"
        what = {
            G.GRANTING: "ready",
            G.PAUSING: "paused",
            G.EMPTYING: "empty",
            G.RETURNING: "whole",
            G.UNDOING: "resumed",
        }.get(stand, "")
        return what if what and self._ready.get(what) and self.record["told"] != what else ""

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
                    roll=self.record["roll"],
                    gateway=self.me,
                    round=self.record["round"],
                    what=what,
                    process=self.process,
                )
                if what
                else ReadDesiredState(id=id_, gateway=self.me)
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
            before, self.record = self.record, result.value
            self._out, self._read = None, self._asked
            if self.moved is not None and before.get("stand") != self.record.get("stand"):
                self.moved()
            self._next = now + max(
                self.record["read_ms"], 0.0 if self.record["roll"] else PER_MEMBER_MS * self.members
            )
            return
        if isinstance(self._out, ReadDesiredState) or isinstance(
            error, InvalidCall | NotFound | DuplicateId | WrongState
        ):
            # a reading may as well be a new one; what was refused is not said again as it was
            self._out = None
            if isinstance(error, NotFound):
                self.record = {}
        self._next = now + READ_MS


def least_ms(
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
