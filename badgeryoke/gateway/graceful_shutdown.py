"""One graceful shutdown for PAUSE, SIGTERM and a hot restart: a state machine without I/O, its transitions as
data.

`badgeryoke.gateway.lifecycle` posts events and carries out the effects that come back, in their order.
The states' texts are what the operators' STATUS call answers.
"""

from __future__ import annotations

from enum import Enum


class ShutdownState(Enum):
    """How far the gateway is from serving."""

    SERVING = "serving"
    REJECTING = "turning clients away"  # PAUSE: PING fails, and the load balancer is hearing of it
    PAUSED = "drained"  # connections close between requests; new ones get one response each
    TERMINATING = "leaving"  # SIGTERM: as REJECTING, with no way back
    REPLACED = "yielding"  # a successor serves: PING passes for both, new connections are the successor's
    DRAINING = "closing"  # SIGTERM, and the load balancer has heard: no connection is accepted
    REPORTING = "settling"  # all is answered: the last units are reported
    ENDED = "ended"


class ShutdownEvent(Enum):
    """What happens to it; the texts are logged."""

    PAUSE = "pause"
    RESUME = "resume"
    TERMINATE = "sigterm"
    SUCCESSOR_READY = "a successor serves"
    NOTICE_ELAPSED = "the load balancer has had time to notice"
    ALL_ANSWERED = "no connection is open"
    TIME_EXPIRED = "no time is left"
    USAGE_REPORTED = "the last units are reported"


class ShutdownEffect(Enum):
    """What the gateway does about it."""

    FAIL_PING = "PING fails"
    PASS_PING = "PING passes"
    START_NOTICE_TIMER = "post NOTICE_ELAPSED when the load balancer has had time to notice"
    CLOSE_CONNECTIONS = "close each connection between requests, those to come as well"
    KEEP_CONNECTIONS = "connections to come are kept open"
    STOP_ACCEPTING = "accept no connection"
    AWAIT_REQUESTS = "post ALL_ANSWERED when no connection is open, TIME_EXPIRED when no time is left"
    REPORT_USAGE = "report what is unreported, then post USAGE_REPORTED"
    EXIT = "the process ends"


S, E, F = ShutdownState, ShutdownEvent, ShutdownEffect
# What is not listed changes nothing: a repeated PAUSE, a RESUME of what was not drained, a late timer.
TRANSITIONS: dict[tuple[ShutdownState, ShutdownEvent], tuple[ShutdownState, tuple[ShutdownEffect, ...]]] = {
    (S.SERVING, E.PAUSE): (S.REJECTING, (F.FAIL_PING, F.START_NOTICE_TIMER)),
    (S.REJECTING, E.NOTICE_ELAPSED): (S.PAUSED, (F.CLOSE_CONNECTIONS,)),
    (S.REJECTING, E.RESUME): (S.SERVING, (F.PASS_PING,)),
    (S.PAUSED, E.RESUME): (S.SERVING, (F.KEEP_CONNECTIONS, F.PASS_PING)),
    (S.SERVING, E.TERMINATE): (S.TERMINATING, (F.FAIL_PING, F.START_NOTICE_TIMER)),
    (S.REJECTING, E.TERMINATE): (S.TERMINATING, (F.START_NOTICE_TIMER,)),
    (S.PAUSED, E.TERMINATE): (S.TERMINATING, (F.START_NOTICE_TIMER,)),
    (S.TERMINATING, E.NOTICE_ELAPSED): (
        S.DRAINING,
        (F.STOP_ACCEPTING, F.CLOSE_CONNECTIONS, F.AWAIT_REQUESTS),
    ),
    (S.SERVING, E.SUCCESSOR_READY): (S.REPLACED, (F.STOP_ACCEPTING, F.CLOSE_CONNECTIONS)),
    (S.REJECTING, E.SUCCESSOR_READY): (S.REPLACED, (F.STOP_ACCEPTING, F.CLOSE_CONNECTIONS)),
    (S.PAUSED, E.SUCCESSOR_READY): (S.REPLACED, (F.STOP_ACCEPTING,)),
    (S.TERMINATING, E.SUCCESSOR_READY): (
        S.DRAINING,
        (F.STOP_ACCEPTING, F.CLOSE_CONNECTIONS, F.AWAIT_REQUESTS),
    ),
    (S.REPLACED, E.TERMINATE): (S.DRAINING, (F.AWAIT_REQUESTS,)),
    (S.DRAINING, E.ALL_ANSWERED): (S.REPORTING, (F.REPORT_USAGE,)),
    (S.DRAINING, E.TIME_EXPIRED): (S.ENDED, (F.EXIT,)),
    (S.REPORTING, E.USAGE_REPORTED): (S.ENDED, (F.EXIT,)),
    (S.REPORTING, E.TIME_EXPIRED): (S.ENDED, (F.EXIT,)),
}
ENDING_STATES = frozenset({S.TERMINATING, S.REPLACED, S.DRAINING, S.REPORTING, S.ENDED})


class GracefulShutdown:
    """The state, and the one way to change it."""

    def __init__(self) -> None:
        self.state = ShutdownState.SERVING
        self.generation = 0  # counts changes of state: a timer of an earlier generation does nothing

    @property
    def ending(self) -> bool:
        """Whether there is no way back."""
        return self.state in ENDING_STATES

    def post(self, event: ShutdownEvent, generation: int | None = None) -> tuple[ShutdownEffect, ...]:
        """Take in an event; gives the effects, none where it changes nothing or its generation has passed."""
        if generation is not None and generation != self.generation:
            return ()
        transition = TRANSITIONS.get((self.state, event))
        if transition is None:
            return ()
        self.state, effects = transition
        self.generation += 1
        return effects
