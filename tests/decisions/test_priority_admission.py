"""Requests drawn under a lease: at the module, and on their way through the core."""

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
    made = priority_admission.PriorityDecisionEngine(replace(samples.SETTINGS, **changes), 1)  # type: ignore[arg-type]
    listed = tuple(samples.server(number) for number in range(1, servers + 1))
    made.handle(START, api.EndpointList(api.ListScope.CACHED, listed))
    return made


def reserved_request(rid: str, rank: int = 1, **more: object) -> api.Request:
    return replace(samples.request(rid, **more), reservation_rank=rank)  # type: ignore[arg-type]


def test_with_the_quota_used_up_only_reserved_requests_are_sent() -> None:
    made = priority_engine(has_counter=False, gateway_count=1)
    asked = [made.handle(START, samples.request(f"o{n}", spread=1)) for n in range(8)]
    assert sum(len(only(one, api.SendAttempt)) for one in asked) == 4  # the burst
    for n in range(8):
        assert only(made.handle(START + 1.0, reserved_request(f"r{n}", spread=1)), api.SendAttempt)
    assert only(made.handle(START + 2.0, samples.request("late", spread=1)), api.Reject)
    # It took nothing of the quota: that fills as if nothing had been sent beside it.
    assert only(made.handle(START + 1010.0, samples.request("filled", spread=1)), api.SendAttempt)


def test_the_limit_of_open_requests_neither_counts_nor_limits_reserved_attempts() -> None:
    plan = api.Plan("plain", rate=100.0, burst=100.0, concurrency_limit=1)
    made = priority_engine(has_counter=False, gateway_count=1, plans=(plan,))
    assert all(
        only(made.handle(START, reserved_request(f"r{n}", spread=1)), api.SendAttempt) for n in range(3)
    )
    assert only(made.handle(START, samples.request("a", spread=1)), api.SendAttempt)
    assert only(made.handle(START, samples.request("b", spread=1)), api.Reject)
    assert only(made.handle(START, reserved_request("r", spread=1)), api.SendAttempt)


def full(made: priority_admission.PriorityDecisionEngine, slow: bool) -> int:
    """Fill all places with reserved requests; gives how many went."""
    if slow:
        made._balancer._relative_latency = 1.0
    sent = 0
    while (
        only(
            made.handle(START + 5.0, reserved_request(f"f{sent}", spread=1, customer=50 + sent)),
            api.SendAttempt,
        )
        and sent < 1000
    ):
        sent += 1
    return sent


def test_scarce_capacity_goes_to_reserved_requests_first() -> None:
    plenty = api.Plan("plain", rate=1000.0, burst=1000.0)
    made = priority_engine(1, has_counter=False, gateway_count=1, plans=(plenty,))
    sent = [only(made.handle(START, samples.request(f"o{n}", spread=1)), api.SendAttempt) for n in range(40)]
    out = sum(map(len, sent))
    assert 5 <= out <= 8  # the limit of attempts out
    assert all(
        only(made.handle(START, reserved_request(f"r{n}", spread=1)), api.SendAttempt) for n in range(5)
    )
    for n in range(2):  # two places are free again, and not for these
        made.handle(START + 1.0, api.AttemptOutcome(f"o{n}", 0, 1, api.Verdict.OK, 1.0, True))
        assert only(made.handle(START + 1.0, samples.request(f"again{n}", spread=1)), api.Reject)


def test_the_lower_priority_class_is_shed_first_and_all_without_capacity() -> None:
    made = priority_engine(1, has_counter=False, gateway_count=1)
    sent = full(made, slow=True)
    assert (
        sent
        == int(load_balancing.INITIAL_SERVER_CONCURRENCY * (1 + priority_admission.SLOW_OVERCOMMIT_FRACTION))
        + 4
    )  # and the spare
    [refused] = only(made.handle(START + 6.0, reserved_request("r", spread=1)), api.Reject)
    assert refused.cause == priority_admission.LOAD
    for out, goes in ((2.6, True), (1.4, True), (3.9, False)):
        made._balancer._in_flight = int(
            out * (load_balancing.INITIAL_SERVER_CONCURRENCY + load_balancing.SPARE_CONCURRENCY)
        )
        second = made.handle(START + 7.0, reserved_request(f"s{out}", rank=2, spread=1))
        first = made.handle(START + 7.0, reserved_request(f"t{out}", rank=1, spread=1))
        assert only(first, api.SendAttempt) and bool(only(second, api.SendAttempt)) is (goes and out < 2.5)


def test_a_reserved_request_is_retried_without_using_the_common_retry_budget() -> None:
    made = priority_engine(has_counter=False, gateway_count=1)
    made._retry_budget = 0.0
    [first] = only(made.handle(START, reserved_request("r", spread=1)), api.SendAttempt)
    [second] = only(made.handle(START + 1.0, samples.outcome(first, api.Verdict.QUEUE_FULL)), api.SendAttempt)
    assert second.server != first.server and made._retry_budget < 1
    [plain] = only(made.handle(START, samples.request("o", spread=1)), api.SendAttempt)
    made._retry_budget = 0.0
    assert only(made.handle(START + 1.0, samples.outcome(plain, api.Verdict.QUEUE_FULL)), api.Reject)


SECONDS = 15


def three(
    first: float, others: float, counted: bool = True, watched: bool = False, even: bool = True
) -> tuple[float, dict[bool, int], dict[bool, int]]:
    """Three gateways and one customer under a ceiling, with so many reserved requests and others a second:
    the lowest level of the ceiling's store, and what was asked and sent of each."""
    plan, rng, step = samples.CAPPED, random.Random(5), 10.0
    made: list[MonitoredEngine | priority_admission.PriorityDecisionEngine] = []
    for me in range(3):
        settings = replace(samples.SETTINGS, gateway_index=me, gateway_count=3)
        one = (
            MonitoredEngine(settings, me, priority_admission.PriorityDecisionEngine)
            if watched
            else priority_admission.PriorityDecisionEngine(settings, me)
        )
        one.handle(
            START, api.EndpointList(api.ListScope.CACHED, tuple(samples.server(n) for n in range(1, 9)))
        )
        made.append(one)
    totals: dict[int, float] = {}
    wakes: list[tuple[float, MonitoredEngine | priority_admission.PriorityDecisionEngine, api.Event]] = []
    level, lowest, asked, sent = plan.ceiling_burst, 0.0, {True: 0, False: 0}, {True: 0, False: 0}
    for tick in range(SECONDS * 100):
        now = START + tick * step
        level = min(level + plan.ceiling_rate * step / 1000.0, plan.ceiling_burst)
        todo: list[tuple[MonitoredEngine | priority_admission.PriorityDecisionEngine, api.Event]] = [
            (one, due) for at, one, due in wakes if at <= now
        ]
        wakes = [wake for wake in wakes if wake[0] > now]
        for kind, rate in ((True, first), (False, others)):
            for index in range(3):
                if rng.random() < rate / 3 * step / 1000.0:
                    made_up = samples.request(f"{index}.{tick}.{kind}", plan="capped", spread=3)
                    todo.append((made[index if even else 0], replace(made_up, reservation_rank=int(kind))))
                    asked[kind] += 1
        while todo:
            one, event = todo.pop(0)
            for action in one.handle(now, event):
                if isinstance(action, api.SendAttempt):
                    level -= 1.0
                    lowest = min(lowest, level)
                    sent[action.id.endswith("True")] += 1
                    todo.append((one, samples.outcome(action, api.Verdict.OK, rtt=5.0)))
                elif isinstance(action, api.AddToCounter) and counted:
                    totals[action.name] = totals.get(action.name, 0.0) + action.units
                    todo.append(
                        (one, api.CounterReply(action.name, api.Verdict.OK, 1.0, totals[action.name]))
                    )
                elif isinstance(action, api.AddToCounter):
                    todo.append((one, api.CounterReply(action.name, api.Verdict.CONNECT_FAILED, 1.0)))
                elif isinstance(action, api.SetTimer):
                    wakes.append((action.at_ms, one, api.TimerFired(action.token)))
    return lowest, asked, sent


@pytest.mark.parametrize("watched", [False, True])
@pytest.mark.parametrize("counted", [True, False], ids=["counter", "counter gone"])
def test_the_ceiling_holds_over_all_gateways(counted: bool, watched: bool) -> None:
    """Asked for five times of it, half of that reserved."""
    plan = samples.CAPPED
    lowest, _, sent = three(60.0, 60.0, counted, watched)
    assert lowest >= -plan.ceiling_slack
    assert sent[True] > 3 * sent[False]  # what is not reserved goes first
    if counted and not watched:  # this world is no sound counter to a watch, and each has a part of its own
        assert sent[True] + sent[False] > 0.85 * plan.ceiling_rate * SECONDS


def test_the_customers_other_requests_use_nothing_that_its_reservation_needs_under_the_ceiling() -> None:
    _, asked, sent = three(8.0, 60.0)  # the quota is 5
    assert sent[True] >= 0.9 * asked[True] and sent[False] > 0


def test_a_rejection_by_the_ceiling_names_its_cause() -> None:
    made = priority_engine(
        plans=(replace(samples.CAPPED, ceiling_rate=5.0, ceiling_burst=5.0, ceiling_slack=0.0),)
    )
    counts = only(made.handle(START, reserved_request("r", plan="capped")), api.AddToCounter)
    [refused] = only(samples.answer(made, START + 2.0, counts, {counts[0].name: 50.0}), api.Reject)
    assert refused.cause == priority_admission.CEILING


def play(made: engine.DecisionEngine) -> list[tuple[api.Action, ...]]:
    rng, out, now = random.Random(3), [], START
    waiting: list[tuple[float, int, api.Event]] = []
    totals: dict[int, float] = {}
    made.handle(now, api.EndpointList(api.ListScope.CACHED, tuple(samples.server(n) for n in range(1, 5))))
    for number in range(3000):
        now += rng.expovariate(0.2)
        plan = rng.choice(["plain", "capped"])
        customer = rng.randrange(6) + 10 * (plan == "capped")
        waiting.append((now, number, samples.request(f"q{number}", plan=plan, customer=customer)))
        for due in sorted((one for one in waiting if one[0] <= now), key=lambda one: one[:2]):
            waiting.remove(due)
            actions = made.handle(now, due[2])
            out.append(tuple(actions))
            for action in actions:
                later = now + rng.uniform(1.0, 400.0)
                if isinstance(action, api.SendAttempt):
                    verdict = rng.choice([api.Verdict.OK] * 8 + [api.Verdict.QUEUE_FULL, api.Verdict.TIMEOUT])
                    waiting.append((later, number, samples.outcome(action, verdict, rtt=later - now)))
                elif isinstance(action, api.AddToCounter):
                    totals[action.name] = totals.get(action.name, 0.0) + action.units
                    waiting.append(
                        (
                            now + 2.0,
                            number,
                            api.CounterReply(action.name, api.Verdict.OK, 2.0, totals[action.name]),
                        )
                    )
                elif isinstance(action, api.SetTimer):
                    waiting.append((action.at_ms, number, api.TimerFired(action.token)))
    return out


def test_without_reserved_requests_every_action_is_unchanged() -> None:
    plain, other = (
        play(engine.DecisionEngine(samples.SETTINGS, 9)),
        play(priority_admission.PriorityDecisionEngine(samples.SETTINGS, 9)),
    )
    assert plain == other and {type(action) for one in plain for action in one} >= {
        api.SendAttempt,
        api.Reject,
        api.AddToCounter,
        api.SetTimer,
    }


class ReservationsStub:
    """Stakes of one customer, 5: as many units as `room` says, and who waits gets his turn when `due` says
    so."""

    def __init__(self, room: float = 0.0) -> None:
        self.room, self.due, self.waiting = room, False, list[tuple[Any, float]]()
        self.short: list[tuple[str, float]] = []
        self.broken, self.leases = False, {"peak": None}

    def draw(self, now: float, customer: int, units: float) -> ReservedUnits | None:
        if self.broken:
            raise ValueError("planted")
        if customer != 5 or self.room < units:
            return None
        self.room -= units
        return ReservedUnits("peak", units, 1)

    def wait(self, now: float, customer: int, units: float, token: Any) -> bool:
        if customer == 5 and not self.broken:
            self.waiting.append((token, units))
        return customer == 5 and not self.broken

    def finished_waits(self, now: float) -> list[tuple[Any, ReservedUnits | None]]:
        if not self.due:
            return []
        held, self.waiting = self.waiting, []
        return [(token, self.draw(now, 5, units)) for token, units in held]

    def record_unserved(self, now: float, one: ReservedUnits, cause: str) -> None:
        self.short.append((cause, one.units))


class Guaranteed(DispatcherBench):
    """A core whose plan lets nothing more through, with contracts."""

    def __init__(self, room: float = 0.0) -> None:
        super().__init__()
        plan = api.Plan("free", rate=0.001, burst=1.0)
        made = replace(
            samples.SETTINGS, has_counter=False, gateway_count=1, classes=(IDEMPOTENT_CLASS,), plans=(plan,)
        )
        self.dispatcher = Dispatcher(
            made,
            1,
            ActorScheduler(self.loop),
            self.loop.clock,
            lambda _: self.upstream,
            NoCounter(),
            with_reservations=True,
        )
        self.dispatcher.update_endpoints(api.EndpointList(api.ListScope.FULL, (samples.server(1),)))
        self.stakes = ReservationsStub(room)
        self.dispatcher.enable_reservations(self.stakes, lambda: self.loop.time() * 1000.0)
        self.submit()  # the burst; drawn, if there is room
        if not room:
            self.stakes.due = True
            self.loop.run(0.01)
            self.stakes.due = False
        self.last_attempt.succeeded(b"first")
        self.loop.run()


def test_reserved_requests_are_sent_and_the_others_wait_or_are_ordinary() -> None:
    bench = Guaranteed(room=2.0)
    bench.submit()
    bench.last_attempt.succeeded(b"drawn")
    bench.loop.run()
    bench.submit()
    assert bench.responses == [Served(b"first"), Served(b"drawn")] and len(bench.stakes.waiting) == 1
    bench.stakes.due, bench.stakes.room = True, 1.0
    bench.loop.run(0.01)
    bench.last_attempt.succeeded(b"waited")
    bench.loop.run()
    assert bench.responses[2:] == [Served(b"waited")] and bench.stakes.short == []
    for _ in range(2):  # none in time: ordinary, of which the plan's burst bears one
        bench.submit()
        bench.loop.run(0.01)
    bench.last_attempt.succeeded(b"ordinary")
    bench.loop.run(3.0)
    assert bench.responses[3] != bench.responses[4] and len(bench.responses) == 5
    assert (
        Served(b"ordinary") in bench.responses and bench.stakes.short == []
    )  # it is the stakes that count these


def test_a_query_waits_only_while_it_leaves_the_time_to_serve_it() -> None:
    bench = Guaranteed()
    bench.submit(d=400.0)
    assert not bench.stakes.waiting and isinstance(bench.responses[-1], Rejected)


def test_a_reserved_request_not_served_is_counted_by_cause_and_answered_once() -> None:
    bench = Guaranteed(room=4.0)
    bench.submit()
    while len(bench.responses) < 2:  # as often as attempts are allowed
        bench.last_attempt.rejected("full")
        bench.loop.run()
    bench.submit()  # silence, to the deadline
    bench.loop.run(3.0)
    bench.submit()()  # its client leaves
    bench.loop.run(3.0)
    assert [type(one) for one in bench.responses] == [Served, Rejected, Rejected]
    assert bench.stakes.short == [("load", 1.0), ("server", 1.0)]


def test_a_waiting_client_may_disconnect_and_a_reservation_fault_loses_no_query() -> None:
    bench = Guaranteed()
    left = bench.submit()
    left()
    bench.loop.run()
    bench.stakes.due, bench.stakes.room = True, 1.0
    bench.loop.run(1.0)
    assert len(bench.responses) == 1 and bench.dispatcher.unanswered == 0
    assert (
        isinstance(bench.dispatcher._module, priority_admission.PriorityDecisionEngine)
        and not bench.dispatcher._module._pending
    )
    bench.stakes.broken = True
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
        made, told = ClusterService(cluster_settings(tmp_path), "a"), list[Any]()
        made.on_reservation_client = lambda floor, now: told.extend((floor, now))
        made.start()
        await until(lambda: bool(told))
        assert (
            isinstance(made.node, ClusterNode)
            and told == [made.reservation_client, made.clock.monotonic_ms]
            and made.reservation_client in made.node.lease_clients
        )
        made.close()

    asyncio.run(asyncio.wait_for(test(), 20))
