"""The types of the decision engine: its settings, the events it handles and the actions it returns.

All are plain data, so that a host with any wire protocol can embed the engine.  Times are milliseconds
on the host's clock; ids are opaque to the engine and are returned unchanged.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Literal


class Idempotency(Enum):
    """Whether a request may be executed twice."""

    IDEMPOTENT = "safe"
    WITH_KEY = "keyed"
    NOT_IDEMPOTENT = "unsafe"


class DeduplicationScope(Enum):
    """Which servers recognize a repeated attempt by its idempotency key: all, the same zone's or cell's."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Verdict(Enum):
    """How an attempt, a health check or a counter call ended."""

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
        """Whether the outcome proves that the attempt was not executed."""
        return self in (Verdict.QUEUE_FULL, Verdict.CONNECT_FAILED, Verdict.NOT_SENT)


class EndpointState(Enum):
    """The state of a server in the endpoint list."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class ListScope(Enum):
    """What an endpoint list covers; LOST: the subscription to its watch events has ended."""

    CHANGES = "changes"
    FULL = "full"
    CACHED = "warm copy"
    LOST = "lost"


def _require_at_least(minimum: float, path: str = "", **values: float) -> None:
    """Raise a ValueError that names the first setting that is too small or not a number."""
    for key, value in values.items():
        if not value >= minimum:
            raise ValueError(f"setting {path}{key}: expected at least {minimum:g}, got {value!r}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: its latency objective, its value and its idempotency."""

    name: str
    latency_objective_ms: float
    deadline_ms: float
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ms: float = 0.0
    priority_weight: float = 1.0
    late_value_fraction: float = 0.0

    def __post_init__(self) -> None:
        _require_at_least(
            0.0,
            f"classes.{self.name}.",
            latency_objective_ms=self.latency_objective_ms,
            deadline_ms=self.deadline_ms,
            deduplication_window_ms=self.deduplication_window_ms,
            priority_weight=self.priority_weight,
            late_value_fraction=self.late_value_fraction,
        )


@dataclass(frozen=True, slots=True)
class Plan:
    """A plan's quota and ceiling; both apply to each customer, over all gateways together."""

    name: str
    rate: float = 0.0  # units per second; 0: no quota
    burst: float = 0.0  # units
    concurrency_limit: int = 0  # requests in flight; 0: no limit
    price: float = 1.0  # value of a unit within the quota
    over_quota_value: float = 0.0  # value of a unit over quota, in parts of the price
    over_quota_cost: float = 0.0  # cost of a unit over quota, in parts of the price
    ceiling_rate: float = 0.0  # units per second that are never exceeded; 0: no ceiling
    ceiling_burst: float = 0.0  # units
    ceiling_slack: float = 0.0  # units by which the ceiling may be exceeded

    def __post_init__(self) -> None:
        _require_at_least(
            0.0,
            f"plans.{self.name}.",
            rate=self.rate,
            burst=self.burst,
            concurrency_limit=self.concurrency_limit,
            price=self.price,
            over_quota_value=self.over_quota_value,
            over_quota_cost=self.over_quota_cost,
            ceiling_rate=self.ceiling_rate,
            ceiling_burst=self.ceiling_burst,
            ceiling_slack=self.ceiling_slack,
        )
        if self.rate > 0 and not self.burst > 0:
            raise ValueError(f"setting plans.{self.name}.burst: expected above 0 where there is a rate")


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one gateway."""

    gateway_index: int  # counted from 0
    gateway_count: int
    zone: str
    tick_ms: float  # the resolution of the host's timers
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    has_counter: bool = False
    counter_timeout_ms: float = 0.0
    max_request_units: float = 1.0
    max_attempts: int = 1  # attempts per request, including the first
    can_cancel: bool = False  # whether attempts in flight can be cancelled
    max_retry_after_ms: float = 0.0
    must_subscribe: bool = False  # whether changes of the endpoint list need a subscription
    poll_within_ms: float = 0.0  # longest time between two polls of discovery, if it is polled
    response_slack_ms: float = 0.0  # part of a deadline that is reserved for the way to a server
    slow_start_fraction: float = 1.0  # fraction of its capacity that a server has when it starts
    slow_start_ms: float = 0.0  # time until a started server has its full capacity
    overload_multiple: float = 1.0  # a server is overloaded by this many times its warm load
    overload_window_ms: float = 0.0  # window within which that load overloads the server
    has_single_zone: bool = False  # whether all servers are known to be in one zone

    def __post_init__(self) -> None:
        _require_at_least(1, gateway_count=self.gateway_count)
        _require_at_least(0, gateway_index=self.gateway_index)
        _require_at_least(1, max_attempts=self.max_attempts)
        _require_at_least(
            0.0,
            tick_ms=self.tick_ms,
            counter_timeout_ms=self.counter_timeout_ms,
            max_request_units=self.max_request_units,
            max_retry_after_ms=self.max_retry_after_ms,
            poll_within_ms=self.poll_within_ms,
            response_slack_ms=self.response_slack_ms,
            slow_start_fraction=self.slow_start_fraction,
            slow_start_ms=self.slow_start_ms,
            overload_multiple=self.overload_multiple,
            overload_window_ms=self.overload_window_ms,
        )

    def all_servers_share_keys(self, request_class: RequestClass) -> bool:
        """Whether every server recognizes a repeat of a class with an idempotency key, wherever the original went."""
        scope = request_class.deduplication_scope
        return scope is DeduplicationScope.ALL or (scope is DeduplicationScope.ZONE and self.has_single_zone)


@dataclass(frozen=True, slots=True)
class Server:
    """One entry of an endpoint list."""

    id: int
    zone: str
    kind: str
    cell: int
    state: EndpointState
    size: float = 1.0  # relative capacity
    started_ms: float = 0.0  # start time; 0: long ago


# Events -----------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class EndpointList:
    """An endpoint list, complete or as changes to the last one."""

    scope: ListScope
    servers: tuple[Server, ...] = ()


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request has arrived; it gets exactly one final answer."""

    id: str
    request_class: str
    plan: str
    customer: int
    remaining_ms: float  # time until the client's deadline
    units: float  # estimated cost
    gateway_set_size: int  # number of gateways that serve the customer
    first_gateway: int = 0  # index of the first of these gateways
    retry: bool = False  # whether the client has sent the request before
    reservation_rank: int = 0  # priority under a capacity reservation, 1 is shed last; 0: not reserved


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """A streamed response has begun; the host forwards the rest of it without further events."""

    id: str


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """How one attempt ended."""

    id: str
    attempt: int
    server: int
    verdict: Verdict
    rtt_ms: float
    ended: bool  # whether the request has its final answer
    true_units: float = 0.0  # measured cost; 0: unknown
    report: tuple[float, ...] = ()  # the server's load report


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client has disconnected; it gets no answer."""

    id: str


@dataclass(frozen=True, slots=True)
class CounterReply:
    """The counter service's reply to one AddToCounter."""

    name: int
    verdict: Verdict
    rtt_ms: float
    total: float = 0.0


@dataclass(frozen=True, slots=True)
class HealthCheckResult:
    """The result of one CheckHealth."""

    server: int
    verdict: Verdict
    rtt_ms: float
    report: tuple[float, ...] = ()  # the server's load report


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The timer of one SetTimer has expired."""

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
    """Start an attempt of a request at a server; the attempts of a request are numbered from 0."""

    id: str
    server: int
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt in flight."""

    id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: rejected, and a retry does no harm."""

    id: str
    retry_after_ms: float = 0.0
    cause: str = ""  # why a reserved request was rejected; empty for other requests


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed; the request may have been executed."""

    id: str


@dataclass(frozen=True, slots=True)
class AddToCounter:
    """Add units to a named total at the counter service and read the total."""

    name: int
    units: float
    expire_ms: float


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Send a health check to a server."""

    server: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a TimerFired event at a time."""

    at_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Subscribe to the watch events of the endpoint list."""


@dataclass(frozen=True, slots=True)
class Log:
    """A log line for the operators."""

    text: str


ServerFilter = Callable[[Server], bool] | None  # whether a server may be used; None: every server may
RetryFilter = ServerFilter | Literal[False]  # False: no server may be used
ServerChoice = tuple[Server, float]  # a server and its expected latency in ms
Action = SendAttempt | CancelAttempt | Reject | Fail | AddToCounter | CheckHealth | SetTimer | Subscribe | Log
Actions = list[Action]
