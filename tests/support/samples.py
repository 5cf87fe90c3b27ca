"""Hand-made settings and events for the tests."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import Any, TypeVar

from badgeryoke.decisions import interface as api
from badgeryoke.decisions.policy.engine import Gateway

SAFE = api.RequestClass("read", 1000.0, 4000.0, api.Effect.SAFE)
KEYED = api.RequestClass("write", 1000.0, 4000.0, api.Effect.KEYED, api.Group.ZONE, 3000.0)
UNSAFE = api.RequestClass("pay", 1000.0, 4000.0, api.Effect.UNSAFE)
PLAIN = api.Plan("plain", rate=1.0, burst=4.0)
CAPPED = api.Plan("capped", rate=5.0, burst=5.0, ceiling_rate=11.0, ceiling_burst=11.0, ceiling_slack=2.0)
SETTINGS = api.Settings(
    me=0,
    gateways=2,
    zone="a",
    tick_ms=2.0,
    classes=(SAFE, KEYED, UNSAFE),
    plans=(PLAIN, CAPPED),
    has_counter=True,
    counter_timeout_ms=50.0,
    max_attempts=3,
    can_cancel=True,
    cold_from=0.25,
    warm_within_ms=10_000.0,
    fall_multiple=2.0,
    fall_window_ms=1000.0,
    answer_slack_ms=8.0,
)
START = 50_000.0
A = TypeVar("A", bound=api.Action)


def server(number: int, zone: str = "a", state: api.State = api.State.UP, started: float = 0.0) -> api.Server:
    """One member."""
    return api.Server(number, zone, "std", 0, state, 1.0, started)


def gateway(servers: Iterable[api.Server] | None = None, seed: int = 1, **changes: Any) -> Gateway:
    """A gateway that knows its servers; four warm ones in two zones unless told otherwise."""
    made = Gateway(replace(SETTINGS, **changes), seed)
    if servers is None:
        servers = [server(1), server(2), server(3, "b"), server(4, "b")]
    made.handle(START, api.Members(api.Scope.WARM_COPY, tuple(servers)))
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
    """One client try."""
    return api.Request(rid, cls, plan, customer, remaining, units, spread)


def outcome(
    send: api.Send, verdict: api.Verdict, attempt: int = 0, rtt: float = 50.0, ended: bool | None = None
) -> api.Outcome:
    """The end of an attempt; a good one ends the request."""
    done = verdict is api.Verdict.OK if ended is None else ended
    return api.Outcome(send.id, attempt, send.server, verdict, rtt, done)


def only(actions: Iterable[api.Action], kind: type[A]) -> list[A]:
    """The actions of one kind."""
    return [action for action in actions if isinstance(action, kind)]


def answer(
    made: Gateway, now: float, counts: Iterable[api.Count], totals: dict[int, float]
) -> list[api.Action]:
    """Play the counter: add to the totals and give each answer back, to the calls that follow as well."""
    out: list[api.Action] = []
    todo = list(counts)
    while todo:
        count = todo.pop(0)
        totals[count.name] = totals.get(count.name, 0.0) + count.units
        actions = made.handle(now, api.Total(count.name, api.Verdict.OK, 2.0, totals[count.name]))
        out += [action for action in actions if not isinstance(action, api.Count)]
        todo += only(actions, api.Count)
    return out


def admit(made: Gateway, now: float, event: api.Request, totals: dict[int, float]) -> list[api.Action]:
    """Bring a request and answer the calls it causes."""
    actions = made.handle(now, event)
    return [a for a in actions if not isinstance(a, api.Count)] + answer(
        made, now, only(actions, api.Count), totals
    )
