"""The cost of deciding on one request in a fleet of ten times as many gateways.

It is measured in executed lines and stored objects, which are deterministic, and not in seconds.
"""

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


def measure_cost(gateways: int, monitored: bool, step_ms: float = 5.0) -> dict[str, float]:
    """Return the cost of one gateway for requests of customers that use all gateways.

    Attempts get a response at once; the counter's totals include the use through the other gateways.
    """
    plan = replace(CAPPED, rate=50.0, burst=100.0, ceiling_rate=120.0, ceiling_burst=220.0)
    settings = replace(SETTINGS, gateway_count=gateways, plans=(plan,), counter_timeout_ms=50.0)
    module: Any = (MonitoredEngine if monitored else DecisionEngine)(settings, 1)
    module.handle(START, api.EndpointList(api.ListScope.FULL, tuple(server(n) for n in range(1, 9))))
    if monitored:  # all gateways are visible, as without faults
        module.detector.visibility.update_view(START, False, frozenset(), frozenset(), 0.0)
        module.detector.peers.known_gateways.update(dict.fromkeys(range(gateways), True))
    lines = calls = 0

    def trace(frame: FrameType, event: str, _: object) -> Any:
        nonlocal lines
        lines += event == "line"
        return trace if "badgeryoke/decisions" in frame.f_code.co_filename else None

    totals: dict[int, float] = {}
    for n in range(REQUESTS):
        now = START + n * step_ms
        events: list[api.Event] = [
            api.Request(f"r{n}", "read", "capped", n % CUSTOMERS, 2000.0, 1.0, gateways, 0)
        ]
        while events:
            event = events.pop(0)
            sys.settrace(trace)
            actions = module.handle(now, event)
            sys.settrace(None)
            for action in actions:
                if isinstance(action, api.AddToCounter):
                    calls += 1
                    totals[action.name] = totals.get(action.name, 0.0) + action.units + 0.01 * (gateways - 1)
                    events.append(api.CounterReply(action.name, api.Verdict.OK, 2.0, totals[action.name]))
                elif isinstance(action, api.SendAttempt):
                    events.append(outcome(action, api.Verdict.OK, rtt=20.0))
    engine = module.engine if monitored else module
    objects = len(engine._quota._quotas) + len(engine._pending) + len(engine._quota._calls)
    history = max((len(sent) for sent in module._guard._sent.values()), default=0) if monitored else 0
    return {"lines": lines / REQUESTS, "calls": calls / REQUESTS, "objects": objects, "history": history}


@pytest.mark.parametrize(("gateways", "monitored"), [(4, False), (3, True)])
def test_the_cost_of_a_request_is_about_the_same_with_ten_times_the_gateways(
    gateways: int, monitored: bool
) -> None:
    small, large = measure_cost(gateways, monitored), measure_cost(10 * gateways, monitored)
    assert large["lines"] <= 1.2 * small["lines"] and large["calls"] <= 1.2 * small["calls"], (small, large)
    assert large["objects"] <= small["objects"] == CUSTOMERS


def test_all_visible_until_reads_the_neighbours_only() -> None:
    """All gateways of a customer's set were read for each request of a plan with a ceiling."""
    numbers_read = []

    class RecordingDict(dict[int, bool]):
        def get(self, number: int, default: Any = None) -> Any:
            numbers_read.append(number)
            return default

    detector = CounterHealthDetector(12, 30, 50.0)
    detector.peers.known_gateways = RecordingDict()
    detector.all_visible_until(START, 0, 30)
    assert len(numbers_read) == len(detector.peers.neighbours) == 2 * MAX_NEIGHBOUR_DISTANCE


def test_the_guards_history_of_a_customer_is_bounded_by_time_not_by_requests() -> None:
    """Each send had an entry of its own, at most 4,096, and all of them were read three times for the next."""
    slow, fast = measure_cost(3, True, 5.0), measure_cost(3, True, 0.5)
    assert slow["history"] <= fast["history"] + SEND_HISTORY_MS / HISTORY_STEP_MS
    assert fast["history"] <= 0.5 * REQUESTS / HISTORY_STEP_MS + 1
