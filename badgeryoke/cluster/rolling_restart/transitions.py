"""States and events of a rolling restart and of each gateway in it, with their transition tables.

Member names are stored in the log and in snapshots, and values of `RestartState`, `GatewayPhase` and
`GatewayReport` are part of answers to operators: neither may change, even where the code uses another term.
The values of event types only explain the events.
"""

from __future__ import annotations

from enum import Enum, StrEnum


class RestartState(Enum):
    """State of a rolling restart as a whole."""

    ASKED = "asked"
    PLANNING = "planning"
    RUNNING = "running"
    PAUSED = "paused"
    CANCELLING = "cancelling"
    CANCELLED = "cancelled"
    DONE = "done"
    FAILED = "failed"


class RestartEvent(Enum):
    """An event that moves a rolling restart to another state."""

    SEEN = "a leader has picked it up"
    PLANNED = "the order of its gateways is settled"
    IMPOSSIBLE = "it cannot be carried out at all"
    BLOCKED = "a condition for going on does not hold"
    MENDED = "all conditions hold again"
    CANCEL = "an operator cancels it"
    FINISHED = "each of its gateways is in a final phase"


RESTART_TRANSITIONS: dict[tuple[RestartState, RestartEvent], RestartState] = {
    (RestartState.ASKED, RestartEvent.SEEN): RestartState.PLANNING,
    (RestartState.ASKED, RestartEvent.CANCEL): RestartState.CANCELLED,
    (RestartState.PLANNING, RestartEvent.PLANNED): RestartState.RUNNING,
    (RestartState.PLANNING, RestartEvent.IMPOSSIBLE): RestartState.FAILED,
    (RestartState.PLANNING, RestartEvent.CANCEL): RestartState.CANCELLED,
    (RestartState.RUNNING, RestartEvent.BLOCKED): RestartState.PAUSED,
    (RestartState.RUNNING, RestartEvent.CANCEL): RestartState.CANCELLING,
    (RestartState.RUNNING, RestartEvent.FINISHED): RestartState.DONE,
    (RestartState.PAUSED, RestartEvent.BLOCKED): RestartState.PAUSED,  # paused for another cause
    (RestartState.PAUSED, RestartEvent.MENDED): RestartState.RUNNING,
    (RestartState.PAUSED, RestartEvent.CANCEL): RestartState.CANCELLING,
    (RestartState.PAUSED, RestartEvent.FINISHED): RestartState.DONE,
    (RestartState.CANCELLING, RestartEvent.FINISHED): RestartState.CANCELLED,
}
ENDED_STATES = frozenset({RestartState.CANCELLED, RestartState.DONE, RestartState.FAILED})


class GatewayPhase(Enum):
    """Phase of one gateway in a rolling restart, in the order in which phases may follow one another."""

    WAITING = "waiting"
    GRANTING = "granting"  # hands over leadership and returns unused leases; the other gateways open more connections
    PAUSING = "pausing"  # begins to drain; the load balancer is being notified
    EMPTYING = "emptying"  # drained; requests and connections are still open
    ACTING = "acting"  # its process ends, and the next one starts
    HELD = "held"  # drained until an operator resumes it or its next process starts
    RETURNING = "returning"  # serves again; its replicas have not caught up
    WARMING = "warming"
    UNDOING = "undoing"  # cancelled while drained; it has to resume
    DONE = "done"
    UNDONE = "undone"


class GatewayEvent(Enum):
    """An event that moves one gateway to another phase."""

    BEGIN = "its wave begins"
    ROOMY = "the other gateways have taken over its capacity"
    PAUSED = "it rejects new clients"
    ACT = "it is empty, and its process ends"
    HOLD = "it is empty, and stays drained"
    BACK = "a later process of the gateway runs"
    RELEASE = "an operator resumes it"
    WHOLE = "it serves, and its copies have caught up"
    WARM = "its warm-up time is over"
    CANCEL = "the rolling restart is cancelled"
    RESUMED = "it serves again"
    LOST = "it is dead, and will serve when it comes back"


GATEWAY_TRANSITIONS: dict[tuple[GatewayPhase, GatewayEvent], GatewayPhase] = {
    (GatewayPhase.WAITING, GatewayEvent.BEGIN): GatewayPhase.GRANTING,
    (GatewayPhase.WAITING, GatewayEvent.CANCEL): GatewayPhase.UNDONE,
    (GatewayPhase.GRANTING, GatewayEvent.ROOMY): GatewayPhase.PAUSING,
    (GatewayPhase.GRANTING, GatewayEvent.CANCEL): GatewayPhase.UNDONE,
    (GatewayPhase.PAUSING, GatewayEvent.PAUSED): GatewayPhase.EMPTYING,
    # The gateway crashed and was started again.
    (GatewayPhase.PAUSING, GatewayEvent.BACK): GatewayPhase.RETURNING,
    (GatewayPhase.PAUSING, GatewayEvent.CANCEL): GatewayPhase.UNDOING,
    (GatewayPhase.EMPTYING, GatewayEvent.ACT): GatewayPhase.ACTING,
    (GatewayPhase.EMPTYING, GatewayEvent.HOLD): GatewayPhase.HELD,
    (GatewayPhase.EMPTYING, GatewayEvent.BACK): GatewayPhase.RETURNING,
    (GatewayPhase.EMPTYING, GatewayEvent.CANCEL): GatewayPhase.UNDOING,
    # ACTING has no CANCEL: a cancelled restart waits for the gateway, whose process may have ended already.
    (GatewayPhase.ACTING, GatewayEvent.BACK): GatewayPhase.RETURNING,
    (GatewayPhase.ACTING, GatewayEvent.LOST): GatewayPhase.UNDONE,
    (GatewayPhase.HELD, GatewayEvent.RELEASE): GatewayPhase.RETURNING,
    (GatewayPhase.HELD, GatewayEvent.BACK): GatewayPhase.RETURNING,
    (GatewayPhase.HELD, GatewayEvent.CANCEL): GatewayPhase.UNDOING,
    (GatewayPhase.RETURNING, GatewayEvent.WHOLE): GatewayPhase.WARMING,
    (GatewayPhase.RETURNING, GatewayEvent.LOST): GatewayPhase.UNDONE,
    (GatewayPhase.WARMING, GatewayEvent.WARM): GatewayPhase.DONE,
    (GatewayPhase.WARMING, GatewayEvent.LOST): GatewayPhase.UNDONE,
    (GatewayPhase.UNDOING, GatewayEvent.RESUMED): GatewayPhase.UNDONE,
    (GatewayPhase.UNDOING, GatewayEvent.BACK): GatewayPhase.UNDONE,
    (GatewayPhase.UNDOING, GatewayEvent.LOST): GatewayPhase.UNDONE,
}
PHASE_RANK = {phase: rank for rank, phase in enumerate(GatewayPhase)}
FINAL_PHASES = frozenset({GatewayPhase.DONE, GatewayPhase.UNDONE})
# phases in which the other gateways carry the gateway's traffic
UNAVAILABLE_PHASES = frozenset(
    {
        GatewayPhase.GRANTING,
        GatewayPhase.PAUSING,
        GatewayPhase.EMPTYING,
        GatewayPhase.ACTING,
        GatewayPhase.HELD,
        GatewayPhase.RETURNING,
        GatewayPhase.UNDOING,
    }
)
IN_PROGRESS_PHASES = UNAVAILABLE_PHASES | {GatewayPhase.WARMING}
DRAINED_PHASES = frozenset(
    {GatewayPhase.PAUSING, GatewayPhase.EMPTYING, GatewayPhase.ACTING, GatewayPhase.HELD}
)


class GatewayReport(StrEnum):
    """Progress that a gateway reports."""

    READY = "ready"  # it leads no group and has returned its unused connections
    PAUSED = "paused"
    EMPTY = "empty"
    BACK = "back"
    WHOLE = "whole"
    RESUMED = "resumed"


# the event that a report triggers; None: the leader checks the conditions and proposes the event
REPORTED_EVENTS: dict[GatewayReport, GatewayEvent | None] = {
    GatewayReport.READY: None,
    GatewayReport.PAUSED: GatewayEvent.PAUSED,
    GatewayReport.EMPTY: None,
    GatewayReport.BACK: GatewayEvent.BACK,
    GatewayReport.WHOLE: GatewayEvent.WHOLE,
    GatewayReport.RESUMED: GatewayEvent.RESUMED,
}
# the report after which the leader may propose the event that ends a phase
AWAITED_REPORTS: dict[GatewayPhase, GatewayReport] = {
    GatewayPhase.GRANTING: GatewayReport.READY,
    GatewayPhase.EMPTYING: GatewayReport.EMPTY,
}
LEADER_EVENTS = frozenset(
    {GatewayEvent.ROOMY, GatewayEvent.ACT, GatewayEvent.HOLD, GatewayEvent.WARM, GatewayEvent.LOST}
)
# the report that must be present when the leader's event is applied
REQUIRED_REPORTS: dict[GatewayEvent, GatewayReport] = {
    GatewayEvent.ROOMY: GatewayReport.READY,
    GatewayEvent.ACT: GatewayReport.EMPTY,
    GatewayEvent.HOLD: GatewayReport.EMPTY,
}
