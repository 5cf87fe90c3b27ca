"""Settings, events and helpers for the tests of the decision engine."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import Any, TypeVar

from badgeryoke.decisions import interface as api
from badgeryoke.decisions.policy.engine import DecisionEngine

SAFE = api.RequestClass("read", 1000.0, 4000.0, api.Idempotency.IDEMPOTENT)
KEYED = api.RequestClass(
    "write", 1000.0, 4000.0, api.Idempotency.WITH_KEY, api.DeduplicationScope.ZONE, 3000.0
)
UNSAFE = api.RequestClass("pay", 1000.0, 4000.0, api.Idempotency.NOT_IDEMPOTENT)
PLAIN = api.Plan("plain", rate=1.0, burst=4.0)
CAPPED = api.Plan("capped", rate=5.0, burst=5.0, ceiling_rate=11.0, ceiling_burst=11.0, ceiling_slack=2.0)
SETTINGS = api.Settings(
    gateway_index=0,
    gateway_count=2,
    zone="a",
    tick_ms=2.0,
    classes=(SAFE, KEYED, UNSAFE),
    plans=(PLAIN, CAPPED),
    has_counter=True,
    counter_timeout_ms=50.0,
    max_attempts=3,
    can_cancel=True,
    slow_start_fraction=0.25,
    slow_start_ms=10_000.0,
    overload_multiple=2.0,
    overload_window_ms=1000.0,
    response_slack_ms=8.0,
)
START = 50_000.0
ActionType = TypeVar("ActionType", bound=api.Action)


def server(
    number: int, zone: str = "a", state: api.EndpointState = api.EndpointState.UP, started: float = 0.0
) -> api.Server:
    """Return an entry of an endpoint list."""
    return api.Server(number, zone, "std", 0, state, 1.0, started)


def gateway(servers: Iterable[api.Server] | None = None, seed: int = 1, **changes: Any) -> DecisionEngine:
    """Return an engine with an endpoint list; by default four warm servers in two zones."""
    engine = DecisionEngine(replace(SETTINGS, **changes), seed)
    if servers is None:
        servers = [server(1), server(2), server(3, "b"), server(4, "b")]
    engine.handle(START, api.EndpointList(api.ListScope.CACHED, tuple(servers)))
    return engine


def request(
    rid: str,
    cls: str = "read",
    plan: str = "plain",
    customer: int = 7,
    units: float = 1.0,
    spread: int = 2,
    remaining: float = 4000.0,
) -> api.Request:
    """Return a client request."""
    return api.Request(rid, cls, plan, customer, remaining, units, spread)


def outcome(
    send: api.SendAttempt,
    verdict: api.Verdict,
    attempt: int = 0,
    rtt: float = 50.0,
    ended: bool | None = None,
) -> api.AttemptOutcome:
    """Return the outcome of an attempt; unless `ended` says otherwise, a success ends the request."""
    ends_request = verdict is api.Verdict.OK if ended is None else ended
    return api.AttemptOutcome(send.id, attempt, send.server, verdict, rtt, ends_request)


def only(actions: Iterable[api.Action], kind: type[ActionType]) -> list[ActionType]:
    """Return the actions of one type."""
    return [action for action in actions if isinstance(action, kind)]


def answer(
    engine: DecisionEngine, now: float, counts: Iterable[api.AddToCounter], totals: dict[int, float]
) -> list[api.Action]:
    """Reply to counter calls from `totals`, also to the calls that follow from the replies."""
    other_actions: list[api.Action] = []
    pending = list(counts)
    while pending:
        count = pending.pop(0)
        totals[count.name] = totals.get(count.name, 0.0) + count.units
        actions = engine.handle(now, api.CounterReply(count.name, api.Verdict.OK, 2.0, totals[count.name]))
        other_actions += [action for action in actions if not isinstance(action, api.AddToCounter)]
        pending += only(actions, api.AddToCounter)
    return other_actions


def admit(
    engine: DecisionEngine, now: float, event: api.Request, totals: dict[int, float]
) -> list[api.Action]:
    """Handle a request and reply to the counter calls it causes."""
    actions = engine.handle(now, event)
    return [action for action in actions if not isinstance(action, api.AddToCounter)] + answer(
        engine, now, only(actions, api.AddToCounter), totals
    )
