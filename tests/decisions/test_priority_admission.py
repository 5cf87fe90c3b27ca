"""Tests of reserved requests, at the decision engine and on their way through the dispatcher."""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from badgeryoke.cluster.node import ClusterNode
from badgeryoke.cluster.reservations.lease_client import ReservedUnits
from badgeryoke.decisions import interface as api
from badgeryoke.decisions import priority_admission
from badgeryoke.decisions.counter_health.monitored_policy import MonitoredEngine
from badgeryoke.decisions.policy import engine, load_balancing
from badgeryoke.gateway.actor import ActorScheduler
from badgeryoke.gateway.attempt import Request
from badgeryoke.gateway.cluster.service import ClusterService
from badgeryoke.gateway.dispatcher import Dispatcher
from badgeryoke.gateway.responses import Rejected, Served
from tests.support import samples
from tests.support.cluster_service import cluster_settings
from tests.support.dispatcher_bench import IDEMPOTENT_CLASS, DispatcherBench, NoCounter
from tests.support.running import until
from tests.support.samples import START, only


def priority_engine(servers: int = 4, **changes: object) -> priority_admission.PriorityDecisionEngine:
    decision_engine = priority_admission.PriorityDecisionEngine(replace(samples.SETTINGS, **changes), 1)  # type: ignore[arg-type]
    listed = tuple(samples.server(number) for number in range(1, servers + 1))
    decision_engine.handle(START, api.EndpointList(api.ListScope.CACHED, listed))
    return decision_engine


def reserved_request(rid: str, rank: int = 1, **more: object) -> api.Request:
    return replace(samples.request(rid, **more), reservation_rank=rank)  # type: ignore[arg-type]


def test_with_the_quota_used_up_only_reserved_requests_are_sent() -> None:
    decision_engine = priority_engine(has_counter=False, gateway_count=1)
    actions_by_request = [decision_engine.handle(START, samples.request(f"o{n}", spread=1)) for n in range(8)]
    assert sum(len(only(actions, api.SendAttempt)) for actions in actions_by_request) == 4  # the burst
    for n in range(8):
        assert only(decision_engine.handle(START + 1.0, reserved_request(f"r{n}", spread=1)), api.SendAttempt)
    assert only(decision_engine.handle(START + 2.0, samples.request("late", spread=1)), api.Reject)
    # Reserved requests used no units of the quota, which refills as if they had not been sent.
    assert only(decision_engine.handle(START + 1010.0, samples.request("filled", spread=1)), api.SendAttempt)


def test_the_concurrency_limit_neither_counts_nor_limits_reserved_attempts() -> None:
    plan = api.Plan("plain", rate=100.0, burst=100.0, concurrency_limit=1)
    decision_engine = priority_engine(has_counter=False, gateway_count=1, plans=(plan,))
    assert all(
        only(decision_engine.handle(START, reserved_request(f"r{n}", spread=1)), api.SendAttempt)
        for n in range(3)
    )
    assert only(decision_engine.handle(START, samples.request("a", spread=1)), api.SendAttempt)
    assert only(decision_engine.handle(START, samples.request("b", spread=1)), api.Reject)
    assert only(decision_engine.handle(START, reserved_request("r", spread=1)), api.SendAttempt)


def fill_capacity(decision_engine: priority_admission.PriorityDecisionEngine, slow: bool) -> int:
    """Send up to 1000 reserved requests, until one is rejected; returns the number sent."""
    if slow:
        decision_engine._balancer._relative_latency = 1.0
    sent = 0
    while (
        only(
            decision_engine.handle(START + 5.0, reserved_request(f"f{sent}", spread=1, customer=50 + sent)),
            api.SendAttempt,
        )
        and sent < 1000
    ):
        sent += 1
    return sent


def test_scarce_capacity_goes_to_reserved_requests_first() -> None:
    plenty = api.Plan("plain", rate=1000.0, burst=1000.0)
    decision_engine = priority_engine(1, has_counter=False, gateway_count=1, plans=(plenty,))
    sent = [
        only(decision_engine.handle(START, samples.request(f"o{n}", spread=1)), api.SendAttempt)
        for n in range(40)
    ]
    attempt_count = sum(map(len, sent))
    assert 5 <= attempt_count <= 8  # the limit of attempts in flight
    assert all(
        only(decision_engine.handle(START, reserved_request(f"r{n}", spread=1)), api.SendAttempt)
        for n in range(5)
    )
    for n in range(2):  # ordinary requests do not get the capacity that is free again
        decision_engine.handle(START + 1.0, api.AttemptOutcome(f"o{n}", 0, 1, api.Verdict.OK, 1.0, True))
        assert only(decision_engine.handle(START + 1.0, samples.request(f"again{n}", spread=1)), api.Reject)


def test_the_lower_priority_class_is_shed_first_and_all_without_capacity() -> None:
    decision_engine = priority_engine(1, has_counter=False, gateway_count=1)
    sent = fill_capacity(decision_engine, slow=True)
    # The last 4 are the spare concurrency.
    assert (
        sent
        == int(load_balancing.INITIAL_SERVER_CONCURRENCY * (1 + priority_admission.SLOW_OVERCOMMIT_FRACTION))
        + 4
    )
    [rejection] = only(decision_engine.handle(START + 6.0, reserved_request("r", spread=1)), api.Reject)
    assert rejection.cause == priority_admission.LOAD
    for in_flight_factor, is_sent in ((2.6, True), (1.4, True), (3.9, False)):
        decision_engine._balancer._in_flight = int(
            in_flight_factor * (load_balancing.INITIAL_SERVER_CONCURRENCY + load_balancing.SPARE_CONCURRENCY)
        )
        lower_class = decision_engine.handle(
            START + 7.0, reserved_request(f"s{in_flight_factor}", rank=2, spread=1)
        )
        higher_class = decision_engine.handle(
            START + 7.0, reserved_request(f"t{in_flight_factor}", rank=1, spread=1)
        )
        assert only(higher_class, api.SendAttempt) and bool(only(lower_class, api.SendAttempt)) is (
            is_sent and in_flight_factor < 2.5
        )


def test_a_reserved_request_is_retried_without_using_the_common_retry_budget() -> None:
    decision_engine = priority_engine(has_counter=False, gateway_count=1)
    decision_engine._retry_budget = 0.0
    [first] = only(decision_engine.handle(START, reserved_request("r", spread=1)), api.SendAttempt)
    [second] = only(
        decision_engine.handle(START + 1.0, samples.outcome(first, api.Verdict.QUEUE_FULL)), api.SendAttempt
    )
    assert second.server != first.server and decision_engine._retry_budget < 1
    [plain] = only(decision_engine.handle(START, samples.request("o", spread=1)), api.SendAttempt)
    decision_engine._retry_budget = 0.0
    assert only(
        decision_engine.handle(START + 1.0, samples.outcome(plain, api.Verdict.QUEUE_FULL)), api.Reject
    )


SECONDS = 15


def run_three_gateways(
    reserved_rate: float,
    other_rate: float,
    counter_up: bool = True,
    monitored: bool = False,
    spread_evenly: bool = True,
) -> tuple[float, dict[bool, int], dict[bool, int]]:
    """Run three gateways and one customer under a ceiling, with the given rates of reserved and other requests per
    second.  Returns the lowest level of the ceiling's token bucket, and the numbers of requests and of sends, both by
    whether they are reserved."""
    plan, rng, step = samples.CAPPED, random.Random(5), 10.0
    engines: list[MonitoredEngine | priority_admission.PriorityDecisionEngine] = []
    for gateway in range(3):
        settings = replace(samples.SETTINGS, gateway_index=gateway, gateway_count=3)
        decision_engine = (
            MonitoredEngine(settings, gateway, priority_admission.PriorityDecisionEngine)
            if monitored
            else priority_admission.PriorityDecisionEngine(settings, gateway)
        )
        decision_engine.handle(
            START, api.EndpointList(api.ListScope.CACHED, tuple(samples.server(n) for n in range(1, 9)))
        )
        engines.append(decision_engine)
    totals: dict[int, float] = {}
    timers: list[tuple[float, MonitoredEngine | priority_admission.PriorityDecisionEngine, api.Event]] = []
    level, lowest, request_counts, sent_counts = (
        plan.ceiling_burst,
        0.0,
        {True: 0, False: 0},
        {True: 0, False: 0},
    )
    for tick in range(SECONDS * 100):
        now = START + tick * step
        level = min(level + plan.ceiling_rate * step / 1000.0, plan.ceiling_burst)
        events: list[tuple[MonitoredEngine | priority_admission.PriorityDecisionEngine, api.Event]] = [
            (decision_engine, timer_event) for at, decision_engine, timer_event in timers if at <= now
        ]
        timers = [timer for timer in timers if timer[0] > now]
        for is_reserved, rate in ((True, reserved_rate), (False, other_rate)):
            for index in range(3):
                if rng.random() < rate / 3 * step / 1000.0:
                    new_request = samples.request(f"{index}.{tick}.{is_reserved}", plan="capped", spread=3)
                    events.append(
                        (
                            engines[index if spread_evenly else 0],
                            replace(new_request, reservation_rank=int(is_reserved)),
                        )
                    )
                    request_counts[is_reserved] += 1
        while events:
            decision_engine, event = events.pop(0)
            for action in decision_engine.handle(now, event):
                if isinstance(action, api.SendAttempt):
                    level -= 1.0
                    lowest = min(lowest, level)
                    sent_counts[action.id.endswith("True")] += 1
                    events.append((decision_engine, samples.outcome(action, api.Verdict.OK, rtt=5.0)))
                elif isinstance(action, api.AddToCounter) and counter_up:
                    totals[action.name] = totals.get(action.name, 0.0) + action.units
                    events.append(
                        (
                            decision_engine,
                            api.CounterReply(action.name, api.Verdict.OK, 1.0, totals[action.name]),
                        )
                    )
                elif isinstance(action, api.AddToCounter):
                    events.append(
                        (decision_engine, api.CounterReply(action.name, api.Verdict.CONNECT_FAILED, 1.0))
                    )
                elif isinstance(action, api.SetTimer):
                    timers.append((action.at_ms, decision_engine, api.TimerFired(action.token)))
    return lowest, request_counts, sent_counts


@pytest.mark.parametrize("monitored", [False, True])
@pytest.mark.parametrize("counter_up", [True, False], ids=["counter", "counter lost"])
def test_the_ceiling_holds_over_all_gateways(counter_up: bool, monitored: bool) -> None:
    """Requests arrive at about eleven times the ceiling's rate, half of them reserved."""
    plan = samples.CAPPED
    lowest, _, sent_counts = run_three_gateways(60.0, 60.0, counter_up, monitored)
    assert lowest >= -plan.ceiling_slack
    assert sent_counts[True] > 3 * sent_counts[False]  # ordinary requests are rejected first
    # The detector does not find this simulated counter healthy, so that each gateway grants only its share.
    if counter_up and not monitored:
        assert sent_counts[True] + sent_counts[False] > 0.85 * plan.ceiling_rate * SECONDS


def test_the_customers_other_requests_use_nothing_that_its_reservation_needs_under_the_ceiling() -> None:
    _, request_counts, sent_counts = run_three_gateways(8.0, 60.0)  # the quota is 5
    assert sent_counts[True] >= 0.9 * request_counts[True] and sent_counts[False] > 0


def test_a_rejection_by_the_ceiling_names_its_cause() -> None:
    decision_engine = priority_engine(
        plans=(replace(samples.CAPPED, ceiling_rate=5.0, ceiling_burst=5.0, ceiling_slack=0.0),)
    )
    counter_calls = only(
        decision_engine.handle(START, reserved_request("r", plan="capped")), api.AddToCounter
    )
    [rejection] = only(
        samples.answer(decision_engine, START + 2.0, counter_calls, {counter_calls[0].name: 50.0}), api.Reject
    )
    assert rejection.cause == priority_admission.CEILING


def run_random_events(decision_engine: engine.DecisionEngine) -> list[tuple[api.Action, ...]]:
    rng, actions_by_event, now = random.Random(3), [], START
    scheduled_events: list[tuple[float, int, api.Event]] = []
    totals: dict[int, float] = {}
    decision_engine.handle(
        now, api.EndpointList(api.ListScope.CACHED, tuple(samples.server(n) for n in range(1, 5)))
    )
    for number in range(3000):
        now += rng.expovariate(0.2)
        plan = rng.choice(["plain", "capped"])
        customer = rng.randrange(6) + 10 * (plan == "capped")
        scheduled_events.append((now, number, samples.request(f"q{number}", plan=plan, customer=customer)))
        for due_event in sorted(
            (entry for entry in scheduled_events if entry[0] <= now), key=lambda entry: entry[:2]
        ):
            scheduled_events.remove(due_event)
            actions = decision_engine.handle(now, due_event[2])
            actions_by_event.append(tuple(actions))
            for action in actions:
                later = now + rng.uniform(1.0, 400.0)
                if isinstance(action, api.SendAttempt):
                    verdict = rng.choice([api.Verdict.OK] * 8 + [api.Verdict.QUEUE_FULL, api.Verdict.TIMEOUT])
                    scheduled_events.append(
                        (later, number, samples.outcome(action, verdict, rtt=later - now))
                    )
                elif isinstance(action, api.AddToCounter):
                    totals[action.name] = totals.get(action.name, 0.0) + action.units
                    scheduled_events.append(
                        (
                            now + 2.0,
                            number,
                            api.CounterReply(action.name, api.Verdict.OK, 2.0, totals[action.name]),
                        )
                    )
                elif isinstance(action, api.SetTimer):
                    scheduled_events.append((action.at_ms, number, api.TimerFired(action.token)))
    return actions_by_event


def test_without_reserved_requests_every_action_is_unchanged() -> None:
    ordinary, priority = (
        run_random_events(engine.DecisionEngine(samples.SETTINGS, 9)),
        run_random_events(priority_admission.PriorityDecisionEngine(samples.SETTINGS, 9)),
    )
    assert ordinary == priority and {type(action) for actions in ordinary for action in actions} >= {
        api.SendAttempt,
        api.Reject,
        api.AddToCounter,
        api.SetTimer,
    }


class ReservationsStub:
    """Reservations of customer 5 alone, with `available_units`; waits end when `waits_finish` is set."""

    def __init__(self, available_units: float = 0.0) -> None:
        self.available_units, self.waits_finish, self.waiting = (
            available_units,
            False,
            list[tuple[Any, float]](),
        )
        self.shortfalls: list[tuple[str, float]] = []
        self.is_failing, self.leases = False, {"peak": None}

    def draw(self, now: float, customer: int, units: float) -> ReservedUnits | None:
        if self.is_failing:
            raise ValueError("injected failure")
        if customer != 5 or self.available_units < units:
            return None
        self.available_units -= units
        return ReservedUnits("peak", units, 1)

    def wait(self, now: float, customer: int, units: float, token: Any) -> bool:
        if customer == 5 and not self.is_failing:
            self.waiting.append((token, units))
        return customer == 5 and not self.is_failing

    def finished_waits(self, now: float) -> list[tuple[Any, ReservedUnits | None]]:
        if not self.waits_finish:
            return []
        finished, self.waiting = self.waiting, []
        return [(token, self.draw(now, 5, units)) for token, units in finished]

    def record_unserved(self, now: float, reserved: ReservedUnits, cause: str) -> None:
        self.shortfalls.append((cause, reserved.units))


class ReservationBench(DispatcherBench):
    """A dispatcher with reservations, whose plan admits one request and then no more."""

    def __init__(self, available_units: float = 0.0) -> None:
        super().__init__()
        plan = api.Plan("free", rate=0.001, burst=1.0)
        settings = replace(
            samples.SETTINGS, has_counter=False, gateway_count=1, classes=(IDEMPOTENT_CLASS,), plans=(plan,)
        )
        self.dispatcher = Dispatcher(
            settings,
            1,
            ActorScheduler(self.loop),
            self.loop.clock,
            lambda _: self.upstream,
            NoCounter(),
            with_reservations=True,
        )
        self.dispatcher.update_endpoints(api.EndpointList(api.ListScope.FULL, (samples.server(1),)))
        self.reservations = ReservationsStub(available_units)
        self.dispatcher.enable_reservations(self.reservations, lambda: self.loop.time() * 1000.0)
        self.submit()  # uses available reserved units, else the plan's burst
        if not available_units:
            self.reservations.waits_finish = True
            self.loop.run(0.01)
            self.reservations.waits_finish = False
        self.last_attempt.succeeded(b"first")
        self.loop.run()


def test_reserved_requests_are_sent_and_the_others_wait_or_are_ordinary() -> None:
    bench = ReservationBench(available_units=2.0)
    bench.submit()
    bench.last_attempt.succeeded(b"reserved")
    bench.loop.run()
    bench.submit()
    assert bench.responses == [Served(b"first"), Served(b"reserved")] and len(bench.reservations.waiting) == 1
    bench.reservations.waits_finish, bench.reservations.available_units = True, 1.0
    bench.loop.run(0.01)
    bench.last_attempt.succeeded(b"waited")
    bench.loop.run()
    assert bench.responses[2:] == [Served(b"waited")] and bench.reservations.shortfalls == []
    for _ in range(2):  # no units in time: handled as ordinary requests, of which the plan's burst admits one
        bench.submit()
        bench.loop.run(0.01)
    bench.last_attempt.succeeded(b"ordinary")
    bench.loop.run(3.0)
    assert bench.responses[3] != bench.responses[4] and len(bench.responses) == 5
    # Requests without reserved units are counted by the cluster's reservations, not by the dispatcher.
    assert Served(b"ordinary") in bench.responses and bench.reservations.shortfalls == []


def test_a_request_waits_for_units_only_while_enough_time_is_left_to_serve_it() -> None:
    bench = ReservationBench()
    bench.submit(d=400.0)
    assert not bench.reservations.waiting and isinstance(bench.responses[-1], Rejected)


def test_a_reserved_request_not_served_is_counted_by_cause_and_answered_once() -> None:
    bench = ReservationBench(available_units=4.0)
    bench.submit()
    while len(bench.responses) < 2:  # until the attempts are used up
        bench.last_attempt.rejected("full")
        bench.loop.run()
    bench.submit()  # no response until the deadline
    bench.loop.run(3.0)
    bench.submit()()  # its client disconnects
    bench.loop.run(3.0)
    assert [type(response) for response in bench.responses] == [Served, Rejected, Rejected]
    assert bench.reservations.shortfalls == [("load", 1.0), ("server", 1.0)]


def test_a_waiting_client_may_disconnect_and_a_reservation_error_loses_no_request() -> None:
    bench = ReservationBench()
    disconnect = bench.submit()
    disconnect()
    bench.loop.run()
    bench.reservations.waits_finish, bench.reservations.available_units = True, 1.0
    bench.loop.run(1.0)
    assert len(bench.responses) == 1 and bench.dispatcher.unanswered == 0
    assert (
        isinstance(bench.dispatcher._module, priority_admission.PriorityDecisionEngine)
        and not bench.dispatcher._module._pending
    )
    bench.reservations.is_failing = True
    bench.submit()
    assert len(bench.responses) == 2 and isinstance(bench.responses[-1], Rejected)


def test_without_reservations_the_cluster_is_not_called() -> None:
    bench = DispatcherBench()
    assert (
        bench.dispatcher._reserved_admission is None
        and type(bench.dispatcher._module) is engine.DecisionEngine
    )
    bench.dispatcher.submit(Request("x", "balance-check", "free", 5, 2000.0, 1.0, 1), bench.responses.append)
    bench.loop.run()
    assert bench.upstream.attempts


def test_the_cluster_passes_its_reservations_to_the_dispatcher(tmp_path: Path) -> None:
    async def test() -> None:
        service, notifications = ClusterService(cluster_settings(tmp_path), "a"), list[Any]()
        service.on_reservation_client = lambda client, now: notifications.extend((client, now))
        service.start()
        await until(lambda: bool(notifications))
        assert (
            isinstance(service.node, ClusterNode)
            and notifications == [service.reservation_client, service.clock.monotonic_ms]
            and service.reservation_client in service.node.lease_clients
        )
        service.close()

    asyncio.run(asyncio.wait_for(test(), 20))
