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
A = TypeVar("A", bound=api.Action)


def server(
    number: int, zone: str = "a", state: api.EndpointState = api.EndpointState.UP, started: float = 0.0
) -> api.Server:
    """One entry of an endpoint list."""
    return api.Server(number, zone, "std", 0, state, 1.0, started)


def gateway(servers: Iterable[api.Server] | None = None, seed: int = 1, **changes: Any) -> DecisionEngine:
    """An engine that knows its servers; by default four warm ones in two zones."""
    made = DecisionEngine(replace(SETTINGS, **changes), seed)
    if servers is None:
        servers = [server(1), server(2), server(3, "b"), server(4, "b")]
    made.handle(START, api.EndpointList(api.ListScope.CACHED, tuple(servers)))
    return made


def request(
    rid: str,
    cls: str = "read",
    plan: str = "plain",
    customer: int = 7,
    units: float = 1.0,
    spread: int = 2,
    remaining: float = 4000.0,
) -> api.Request:
    """One client request."""
    return api.Request(rid, cls, plan, customer, remaining, units, spread)


def outcome(
    send: api.SendAttempt,
    verdict: api.Verdict,
    attempt: int = 0,
    rtt: float = 50.0,
    ended: bool | None = None,
) -> api.AttemptOutcome:
    """The end of an attempt; a success ends the request."""
    done = verdict is api.Verdict.OK if ended is None else ended
    return api.AttemptOutcome(send.id, attempt, send.server, verdict, rtt, done)


def only(actions: Iterable[api.Action], kind: type[A]) -> list[A]:
    """The actions of one kind."""
    return [action for action in actions if isinstance(action, kind)]


def answer(
    made: DecisionEngine, now: float, counts: Iterable[api.AddToCounter], totals: dict[int, float]
) -> list[api.Action]:
    """Stand in for the counter: add to the totals and reply to each call, also to those that follow."""
    out: list[api.Action] = []
    todo = list(counts)
    while todo:
        count = todo.pop(0)
        totals[count.name] = totals.get(count.name, 0.0) + count.units
        actions = made.handle(now, api.CounterReply(count.name, api.Verdict.OK, 2.0, totals[count.name]))
        out += [action for action in actions if not isinstance(action, api.AddToCounter)]
        todo += only(actions, api.AddToCounter)
    return out


def admit(made: DecisionEngine, now: float, event: api.Request, totals: dict[int, float]) -> list[api.Action]:
    """Handle a request and reply to the counter calls it causes."""
    actions = made.handle(now, event)
    return [a for a in actions if not isinstance(a, api.AddToCounter)] + answer(
        made, now, only(actions, api.AddToCounter), totals
    )
