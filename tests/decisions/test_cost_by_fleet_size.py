"""What judging one request costs a gateway where ten times as many gateways report: in lines run and things
held, which are the same every time, and not in seconds."""

from __future__ import annotations

import sys
from dataclasses import replace
from types import FrameType
from typing import Any

import pytest

from badgeryoke.decisions import interface as api
from badgeryoke.decisions.counter_health.ceiling_guard import HISTORY_STEP_MS, SEND_HISTORY_MS
from badgeryoke.decisions.counter_health.detector import CounterHealthDetector
from badgeryoke.decisions.counter_health.monitored_policy import MonitoredEngine
from badgeryoke.decisions.counter_health.peer_heartbeats import MAX_NEIGHBOUR_DISTANCE
from badgeryoke.decisions.policy.engine import DecisionEngine
from tests.support.samples import CAPPED, SETTINGS, START, outcome, server

CUSTOMERS, REQUESTS = 20, 400


def measure_cost(gateways: int, watch: bool, step_ms: float = 5.0) -> dict[str, float]:
    """Requests of customers that come through all gateways, each of which reports; what one gateway spends.

    Sends are answered at once; the totals hold the others' use."""
    plan = replace(CAPPED, rate=50.0, burst=100.0, ceiling_rate=120.0, ceiling_burst=220.0)
    settings = replace(SETTINGS, gateway_count=gateways, plans=(plan,), counter_timeout_ms=50.0)
    made: Any = (MonitoredEngine if watch else DecisionEngine)(settings, 1)
    made.handle(START, api.EndpointList(api.ListScope.FULL, tuple(server(n) for n in range(1, 9))))
    if watch:  # all are in sight, as in sound times
        made.detector.visibility.update_view(START, False, frozenset(), frozenset(), 0.0)
        made.detector.peers.known_gateways.update(dict.fromkeys(range(gateways), True))
    lines = calls = 0

    def trace(frame: FrameType, event: str, _: object) -> Any:
        nonlocal lines
        lines += event == "line"
        return trace if "badgeryoke/decisions" in frame.f_code.co_filename else None

    totals: dict[int, float] = {}
    for n in range(REQUESTS):
        now = START + n * step_ms
        todo: list[api.Event] = [
            api.Request(f"r{n}", "read", "capped", n % CUSTOMERS, 2000.0, 1.0, gateways, 0)
        ]
        while todo:
            event = todo.pop(0)
            sys.settrace(trace)
            actions = made.handle(now, event)
            sys.settrace(None)
            for action in actions:
                if isinstance(action, api.AddToCounter):
                    calls += 1
                    totals[action.name] = totals.get(action.name, 0.0) + action.units + 0.01 * (gateways - 1)
                    todo.append(api.CounterReply(action.name, api.Verdict.OK, 2.0, totals[action.name]))
                elif isinstance(action, api.SendAttempt):
                    todo.append(outcome(action, api.Verdict.OK, rtt=20.0))
    module = made.engine if watch else made
    held = len(module._quota._quotas) + len(module._pending) + len(module._quota._calls)
    kept = max((len(sent) for sent in made._guard._sent.values()), default=0) if watch else 0
    return {"lines": lines / REQUESTS, "calls": calls / REQUESTS, "held": held, "kept": kept}


@pytest.mark.parametrize(("few", "watch"), [(4, False), (3, True)])
def test_ten_times_the_gateways_cost_a_request_about_the_same(few: int, watch: bool) -> None:
    one, ten = measure_cost(few, watch), measure_cost(10 * few, watch)
    assert ten["lines"] <= 1.2 * one["lines"] and ten["calls"] <= 1.2 * one["calls"], (one, ten)
    assert ten["held"] <= one["held"] == CUSTOMERS


def test_all_visible_until_reads_the_neighbours_only() -> None:
    """All of a customer's set were gone through, for each request of a plan with a ceiling."""
    seen = []

    class Known(dict[int, bool]):
        def get(self, number: int, default: Any = None) -> Any:
            seen.append(number)
            return default

    watch = CounterHealthDetector(12, 30, 50.0)
    watch.peers.known_gateways = Known()
    watch.all_visible_until(START, 0, 30)
    assert len(seen) == len(watch.peers.neighbours) == 2 * MAX_NEIGHBOUR_DISTANCE


def test_the_guards_history_of_a_customer_is_bounded_by_time_not_by_requests() -> None:
    """Each send was kept by itself, and all of them were gone through thrice for the next: 4,096 at most."""
    slow, fast = measure_cost(3, True, 5.0), measure_cost(3, True, 0.5)
    assert slow["kept"] <= fast["kept"] + SEND_HISTORY_MS / HISTORY_STEP_MS
    assert fast["kept"] <= 0.5 * REQUESTS / HISTORY_STEP_MS + 1
