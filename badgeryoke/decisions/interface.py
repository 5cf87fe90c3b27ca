"""What the decision module takes in and gives out: settings, events and actions.

Everything is plain data in the field's own words, so a host can embed the module whatever its wire looks
like.  Times are milliseconds on the host's clock; ids are opaque and go back as they came.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """What a repeat of a request may do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """Which servers drop a repeat of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Verdict(Enum):
    """How an attempt, a probe or a counter call ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"

    @property
    def never_ran(self) -> bool:
        """True where the outcome proves that the attempt had no effect."""
        return self in (Verdict.FULL, Verdict.CONNECT_FAILED, Verdict.MOOT)


class State(Enum):
    """What discovery says of a server."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class Scope(Enum):
    """What a member list covers."""

    CHANGES = "changes"
    FULL = "full"
    WARM_COPY = "warm copy"
    LOST = "lost"


def _at_least(key: str, value: float, least: float) -> None:
    if not value >= least:
        raise ValueError(f"setting {key}: expected at least {least:g}, got {value!r}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: when an answer counts, and what a repeat may do."""

    name: str
    aim_ms: float
    deadline_ms: float
    effect: Effect
    group: Group = Group.ALL
    window_ms: float = 0.0
    worth: float = 1.0
    late_share: float = 0.0

    def __post_init__(self) -> None:
        for key in ("aim_ms", "deadline_ms", "window_ms", "worth", "late_share"):
            _at_least(f"classes.{self.name}.{key}", getattr(self, key), 0.0)


@dataclass(frozen=True, slots=True)
class Plan:
    """A plan's quota and ceiling, for each customer over all gateways together."""

    name: str
    rate: float = 0.0
    burst: float = 0.0
    open_limit: int = 0
    price: float = 1.0
    over_worth: float = 0.0
    over_cost: float = 0.0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0

    def __post_init__(self) -> None:
        for key in (
            "rate",
            "burst",
            "open_limit",
            "price",
            "over_worth",
            "over_cost",
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

    me: int
    gateways: int
    zone: str
    tick_ms: float
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    has_counter: bool = False
    counter_timeout_ms: float = 0.0
    max_units: float = 1.0
    max_attempts: int = 1
    can_cancel: bool = False
    max_retry_after_ms: float = 0.0
    must_subscribe: bool = False
    ask_within_ms: float = 0.0
    answer_slack_ms: float = 0.0
    cold_from: float = 1.0
    warm_within_ms: float = 0.0
    fall_multiple: float = 1.0
    fall_window_ms: float = 0.0

    def __post_init__(self) -> None:
        _at_least("gateways", self.gateways, 1)
        _at_least("me", self.me, 0)
        _at_least("max_attempts", self.max_attempts, 1)
        for key in (
            "tick_ms",
            "counter_timeout_ms",
            "max_units",
            "max_retry_after_ms",
            "ask_within_ms",
            "answer_slack_ms",
            "cold_from",
            "warm_within_ms",
            "fall_multiple",
            "fall_window_ms",
        ):
            _at_least(key, getattr(self, key), 0.0)


@dataclass(frozen=True, slots=True)
class Server:
    """One line of a member list; started_ms is 0 where the start lies long ago."""

    id: int
    zone: str
    kind: str
    cell: int
    state: State
    size: float = 1.0
    started_ms: float = 0.0


# Events -----------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Members:
    """A member list, whole or as changes to the last one."""

    scope: Scope
    servers: tuple[Server, ...] = ()


@dataclass(frozen=True, slots=True)
class Request:
    """A client's try has arrived; it is owed exactly one final answer."""

    id: str
    cls: str
    plan: str
    customer: int
    remaining_ms: float
    units: float
    spread: int
    first: int = 0
    retry: bool = False
    # drawn under a lease: the class of importance of its contract, from 1, which goes last; 0: not
    reserved: int = 0


@dataclass(frozen=True, slots=True)
class Started:
    """The answer of a streamed class has begun; the attempt is the client's now."""

    id: str


@dataclass(frozen=True, slots=True)
class Outcome:
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
class Left:
    """The client has gone; nothing more is owed."""

    id: str


@dataclass(frozen=True, slots=True)
class Total:
    """The counter's answer to one Count."""

    name: int
    verdict: Verdict
    rtt_ms: float
    total: float = 0.0


@dataclass(frozen=True, slots=True)
class Probed:
    """The answer to one Probe."""

    server: int
    verdict: Verdict
    rtt_ms: float
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class Due:
    """A Wake has come due."""

    token: int


Event = Members | Request | Started | Outcome | Left | Total | Probed | Due

# Actions ----------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt of a request at a server; attempts are numbered 0, 1, 2 ... as sent."""

    id: str
    server: int
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: turned away, and a retry does no harm."""

    id: str
    retry_after_ms: float = 0.0
    cause: str = ""  # of one that was drawn under a lease


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, with no promise of what happened."""

    id: str


@dataclass(frozen=True, slots=True)
class Count:
    """Add units to a named number of the counter service and learn the total."""

    name: int
    units: float
    expire_ms: float


@dataclass(frozen=True, slots=True)
class Probe:
    """Look at a server."""

    server: int


@dataclass(frozen=True, slots=True)
class Wake:
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


Where = Callable[[Server], bool] | None  # which servers may be used; None: all
Action = Send | Cancel | Refuse | Fail | Count | Probe | Wake | Subscribe | Log
Actions = list[Action]
