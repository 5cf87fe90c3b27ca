"""One drain for PAUSE, SIGTERM and a successor: a state machine without I/O, its transitions as data.

The gateway posts events and carries out the effects that come back, in their order.
"""

from __future__ import annotations

from enum import Enum


class ShutdownState(Enum):
    """How far the gateway is from serving."""

    SERVING = "serving"
    TURNING = "turning clients away"  # PAUSE: PING says no, the front is hearing of it
    PAUSED = "drained"  # connections close between requests; new ones get one answer each
    LEAVING = "leaving"  # SIGTERM: as TURNING, with no way back
    YIELDING = "yielding"  # a successor serves: PING says yes for both, new connections are the successor's
    CLOSING = "closing"  # SIGTERM, and the front has heard: no connection is taken
    SETTLING = "settling"  # all is answered: the last units are reported
    ENDED = "ended"


class ShutdownEvent(Enum):
    """What happens to it."""

    PAUSE = "pause"
    RESUME = "resume"
    TERM = "sigterm"
    SUCCEEDED = "a successor serves"
    TURNED = "the front has had time to turn away"
    EMPTY = "nothing is open"
    LATE = "no time is left"
    SETTLED = "the last units are reported"


class ShutdownEffect(Enum):
    """What the gateway does about it."""

    SAY_NO = "PING says no"
    SAY_YES = "PING says yes"
    TIME_TURN = "post TURNED when the front has had time"
    CLOSE_LINKS = "close each connection between requests, those to come as well"
    KEEP_LINKS = "connections to come are kept open"
    STOP_ACCEPTING = "take no connection"
    TIME_END = "post EMPTY when nothing is open, LATE when no time is left"
    REPORT = "report what is owed, then post SETTLED"
    LEAVE = "the process ends"


S, E, F = ShutdownState, ShutdownEvent, ShutdownEffect
# What is not listed changes nothing: a repeated PAUSE, a RESUME of what was not drained, a late timer.
TRANSITIONS: dict[tuple[ShutdownState, ShutdownEvent], tuple[ShutdownState, tuple[ShutdownEffect, ...]]] = {
    (S.SERVING, E.PAUSE): (S.TURNING, (F.SAY_NO, F.TIME_TURN)),
    (S.TURNING, E.TURNED): (S.PAUSED, (F.CLOSE_LINKS,)),
    (S.TURNING, E.RESUME): (S.SERVING, (F.SAY_YES,)),
    (S.PAUSED, E.RESUME): (S.SERVING, (F.KEEP_LINKS, F.SAY_YES)),
    (S.SERVING, E.TERM): (S.LEAVING, (F.SAY_NO, F.TIME_TURN)),
    (S.TURNING, E.TERM): (S.LEAVING, (F.TIME_TURN,)),
    (S.PAUSED, E.TERM): (S.LEAVING, (F.TIME_TURN,)),
    (S.LEAVING, E.TURNED): (S.CLOSING, (F.STOP_ACCEPTING, F.CLOSE_LINKS, F.TIME_END)),
    (S.SERVING, E.SUCCEEDED): (S.YIELDING, (F.STOP_ACCEPTING, F.CLOSE_LINKS)),
    (S.TURNING, E.SUCCEEDED): (S.YIELDING, (F.STOP_ACCEPTING, F.CLOSE_LINKS)),
    (S.PAUSED, E.SUCCEEDED): (S.YIELDING, (F.STOP_ACCEPTING,)),
    (S.LEAVING, E.SUCCEEDED): (S.CLOSING, (F.STOP_ACCEPTING, F.CLOSE_LINKS, F.TIME_END)),
    (S.YIELDING, E.TERM): (S.CLOSING, (F.TIME_END,)),
    (S.CLOSING, E.EMPTY): (S.SETTLING, (F.REPORT,)),
    (S.CLOSING, E.LATE): (S.ENDED, (F.LEAVE,)),
    (S.SETTLING, E.SETTLED): (S.ENDED, (F.LEAVE,)),
    (S.SETTLING, E.LATE): (S.ENDED, (F.LEAVE,)),
}
ENDING = frozenset({S.LEAVING, S.YIELDING, S.CLOSING, S.SETTLING, S.ENDED})


class GracefulShutdown:
    """Where the gateway stands."""

    def __init__(self) -> None:
        self.state = ShutdownState.SERVING
        self.round = 0  # moves with each change of state: a timer of an earlier round does nothing

    @property
    def drained(self) -> bool:
        """Whether clients are sent away, by whatever cause."""
        return self.state is not ShutdownState.SERVING

    @property
    def ending(self) -> bool:
        """Whether there is no way back."""
        return self.state in ENDING

    def post(self, event: ShutdownEvent, round_: int | None = None) -> tuple[ShutdownEffect, ...]:
        """Take in an event; gives the effects, none where it changes nothing or its round is over."""
        if round_ is not None and round_ != self.round:
            return ()
        found = TRANSITIONS.get((self.state, event))
        if found is None:
            return ()
        self.state, effects = found
        self.round += 1
        return effects
