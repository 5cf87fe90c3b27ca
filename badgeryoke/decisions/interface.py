"""What the decision module takes in and gives out: settings, events and actions.

Everything is plain data in the field's own words, so a host can embed the module whatever its wire looks
like.  Times are milliseconds on the host's clock; ids are opaque and go back as they came.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Literal


class Idempotency(Enum):
    """What a repeat of a request may do."""

    IDEMPOTENT = "safe"
    WITH_KEY = "keyed"
    NOT_IDEMPOTENT = "unsafe"


class DeduplicationScope(Enum):
    """Which servers drop a repeat of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Verdict(Enum):
    """How an attempt, a probe or a counter call ended."""

    OK = "ok"
    ERROR = "error"
    QUEUE_FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "moot"

    @property
    def never_ran(self) -> bool:
        """True where the outcome proves that the attempt had no effect."""
        return self in (Verdict.QUEUE_FULL, Verdict.CONNECT_FAILED, Verdict.NOT_SENT)


class EndpointState(Enum):
    """What discovery says of a server."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class ListScope(Enum):
    """What a member list covers."""

    CHANGES = "changes"
    FULL = "full"
    CACHED = "warm copy"
    LOST = "lost"


def _at_least(key: str, value: float, least: float) -> None:
    if not value >= least:
        raise ValueError(f"setting {key}: expected at least {least:g}, got {value!r}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: when an answer counts, and what a repeat may do."""

    name: str
    latency_objective_ms: float
    deadline_ms: float
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ms: float = 0.0
    priority_weight: float = 1.0
    late_value_fraction: float = 0.0

    def __post_init__(self) -> None:
        for key in (
            "latency_objective_ms",
            "deadline_ms",
            "deduplication_window_ms",
            "priority_weight",
            "late_value_fraction",
        ):
            _at_least(f"classes.{self.name}.{key}", getattr(self, key), 0.0)


@dataclass(frozen=True, slots=True)
class Plan:
    """A plan's quota and ceiling, for each customer over all gateways together."""

    name: str
    rate: float = 0.0
    burst: float = 0.0
    concurrency_limit: int = 0
    price: float = 1.0
    over_quota_value: float = 0.0
    over_quota_cost: float = 0.0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0

    def __post_init__(self) -> None:
        for key in (
            "rate",
            "burst",
            "concurrency_limit",
            "price",
            "over_quota_value",
            "over_quota_cost",
            "ceiling_rate",
            "ceiling_burst",
            "ceiling_slack",
        ):
            _at_least(f"plans.{self.name}.{key}", getattr(self, key), 0.0)
        if self.rate > 0 and not self.burst > 0:
            raise ValueError(f"setting plans.{self.name}.burst: expected above 0 where there is a rate")


@dataclass(frozen=True, slots=True)
class Settings:
    """What a gateway is told at its start; see the protocol page for the meaning of each figure."""

    gateway_index: int
    gateway_count: int
    zone: str
    tick_ms: float
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    has_counter: bool = False
    counter_timeout_ms: float = 0.0
    max_request_units: float = 1.0
    max_attempts: int = 1
    can_cancel: bool = False
    max_retry_after_ms: float = 0.0
    must_subscribe: bool = False
    poll_within_ms: float = 0.0
    response_slack_ms: float = 0.0
    slow_start_fraction: float = 1.0
    slow_start_ms: float = 0.0
    overload_multiple: float = 1.0
    overload_window_ms: float = 0.0

    def __post_init__(self) -> None:
        _at_least("gateway_count", self.gateway_count, 1)
        _at_least("gateway_index", self.gateway_index, 0)
        _at_least("max_attempts", self.max_attempts, 1)
        for key in (
            "tick_ms",
            "counter_timeout_ms",
            "max_request_units",
            "max_retry_after_ms",
            "poll_within_ms",
            "response_slack_ms",
            "slow_start_fraction",
            "slow_start_ms",
            "overload_multiple",
            "overload_window_ms",
        ):
            _at_least(key, getattr(self, key), 0.0)


@dataclass(frozen=True, slots=True)
class Server:
    """One line of a member list; started_ms is 0 where the start lies long ago."""

    id: int
    zone: str
    kind: str
    cell: int
    state: EndpointState
    size: float = 1.0
    started_ms: float = 0.0


# Events -----------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class EndpointList:
    """A member list, whole or as changes to the last one."""

    scope: ListScope
    servers: tuple[Server, ...] = ()


@dataclass(frozen=True, slots=True)
class Request:
    """A client's try has arrived; it is owed exactly one final answer."""

    id: str
    request_class: str
    plan: str
    customer: int
    remaining_ms: float
    units: float
    gateway_set_size: int
    first_gateway: int = 0
    retry: bool = False
    # drawn under a lease: the class of importance of its contract, from 1, which goes last; 0: not
    reservation_rank: int = 0


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """The answer of a streamed class has begun; the attempt is the client's now."""

    id: str


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """How one attempt ended; ended says that the request has its final answer."""

    id: str
    attempt: int
    server: int
    verdict: Verdict
    rtt_ms: float
    ended: bool
    true_units: float = 0.0
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client has gone; nothing more is owed."""

    id: str


@dataclass(frozen=True, slots=True)
class CounterReply:
    """The counter's answer to one Count."""

    name: int
    verdict: Verdict
    rtt_ms: float
    total: float = 0.0


@dataclass(frozen=True, slots=True)
class HealthCheckResult:
    """The answer to one Probe."""

    server: int
    verdict: Verdict
    rtt_ms: float
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A Wake has come due."""

    token: int


Event = (
    EndpointList
    | Request
    | ResponseStarted
    | AttemptOutcome
    | ClientDisconnected
    | CounterReply
    | HealthCheckResult
    | TimerFired
)

# Actions ----------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Start an attempt of a request at a server; attempts are numbered 0, 1, 2 ... as sent."""

    id: str
    server: int
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for an attempt."""

    id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: turned away, and a retry does no harm."""

    id: str
    retry_after_ms: float = 0.0
    cause: str = ""  # of one that was drawn under a lease


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, with no promise of what happened."""

    id: str


@dataclass(frozen=True, slots=True)
class AddToCounter:
    """Add units to a named number of the counter service and learn the total."""

    name: int
    units: float
    expire_ms: float


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Look at a server."""

    server: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a Due event at a time."""

    at_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask discovery for changes from now on."""


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the operators."""

    text: str


ServerFilter = Callable[[Server], bool] | None  # which servers may be used; None: all
RetryFilter = ServerFilter | Literal[False]  # False: none
ServerChoice = tuple[Server, float]  # and its expected latency, ms
Action = SendAttempt | CancelAttempt | Reject | Fail | AddToCounter | CheckHealth | SetTimer | Subscribe | Log
Actions = list[Action]
