"""Graceful shutdown for PAUSE, SIGTERM and hot restart: a state machine without I/O, with a table of transitions.

`badgeryoke.gateway.lifecycle` posts events and executes the returned effects in order.  The operators' STATUS call
returns the texts of the states.
"""

from __future__ import annotations

from enum import Enum


class ShutdownState(Enum):
    """The states of a gateway from serving to its end."""

    SERVING = "serving"
    REJECTING = "turning clients away"  # PAUSE: PING fails, until the load balancer has had time to notice
    PAUSED = "drained"  # connections close between requests; new ones get one response each
    TERMINATING = "leaving"  # SIGTERM: as REJECTING, but cannot be resumed
    REPLACED = "yielding"  # a successor serves and accepts connections; PING passes in both processes
    DRAINING = "closing"  # SIGTERM, and the load balancer has had time to notice: no connection is accepted
    REPORTING = "settling"  # all requests are answered: the last units are being reported
    ENDED = "ended"


class ShutdownEvent(Enum):
    """The events of the state machine; their texts are logged."""

    PAUSE = "pause"
    RESUME = "resume"
    TERMINATE = "sigterm"
    SUCCESSOR_READY = "a successor serves"
    NOTICE_ELAPSED = "the load balancer has had time to notice"
    ALL_ANSWERED = "no connection is open"
    TIME_EXPIRED = "the shutdown time is over"
    USAGE_REPORTED = "the last units are reported"


class ShutdownEffect(Enum):
    """The effects that the lifecycle executes after a transition."""

    FAIL_PING = "PING fails"
    PASS_PING = "PING passes"
    START_NOTICE_TIMER = "post NOTICE_ELAPSED when the load balancer has had time to notice"
    CLOSE_CONNECTIONS = "close each connection between requests, new ones as well"
    KEEP_CONNECTIONS = "keep new connections open"
    STOP_ACCEPTING = "accept no connection"
    AWAIT_REQUESTS = "post ALL_ANSWERED when no connection is open, TIME_EXPIRED when the time is over"
    REPORT_USAGE = "report what is unreported, then post USAGE_REPORTED"
    EXIT = "the process ends"


S, E, F = ShutdownState, ShutdownEvent, ShutdownEffect
# Pairs that are not listed change nothing: a repeated PAUSE, a RESUME without a PAUSE, a late timer.
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
    """The current state, changed by events only."""

    def __init__(self) -> None:
        self.state = ShutdownState.SERVING
        self.generation = 0  # counts state changes: a timer of an earlier generation is ignored

    @property
    def ending(self) -> bool:
        """Whether the gateway ends and cannot be resumed."""
        return self.state in ENDING_STATES

    def post(self, event: ShutdownEvent, generation: int | None = None) -> tuple[ShutdownEffect, ...]:
        """Apply an event; returns the effects, none if it changes nothing or is of an earlier generation."""
        if generation is not None and generation != self.generation:
            return ()
        transition = TRANSITIONS.get((self.state, event))
        if transition is None:
            return ()
        self.state, effects = transition
        self.generation += 1
        return effects
