"""Retries and changed settings under random events, checked by events and actions only."""

from __future__ import annotations

import heapq
import math
import random
from dataclasses import dataclass, field, replace

import pytest

from badgeryoke.decisions import interface as api
from badgeryoke.decisions.policy.engine import DecisionEngine
from tests.support.samples import SAFE, START, admit, answer, gateway, only, outcome, request

SERVERS = [api.Server(n, "ab"[n % 2], "std", n % 3, api.EndpointState.UP) for n in range(1, 10)]
BAD = [v for v in api.Verdict if v not in (api.Verdict.OK, api.Verdict.TIMEOUT, api.Verdict.CANCELLED)]


def random_settings(rng: random.Random) -> api.Settings:
    """Return random settings with any mix of idempotency, deduplication scope and window, quota and ceiling."""
    classes = []
    for n in range(rng.randrange(1, 4)):
        deadline = rng.choice([80.0, 600.0, 3000.0])
        window = rng.choice([0.0, 1.0, 0.2 * deadline, 0.9 * deadline, 5 * deadline])
        classes.append(
            api.RequestClass(
                f"c{n}",
                rng.choice([0.2, 0.7, 1.0]) * deadline,
                deadline,
                rng.choice(list(api.Idempotency)),
                rng.choice(list(api.DeduplicationScope)),
                window,
            )
        )
    plans = []
    for n in range(3):
        rate = rng.choice([0.0, 0.5, 20.0])
        ceiling = rng.choice([0.0, 2.0]) * rate
        plans.append(
            api.Plan(
                f"p{n}",
                rate,
                rng.choice([1.0, 2.0]) * max(rate, 1.0),
                rng.choice([0, 3]),
                ceiling_rate=ceiling,
                ceiling_burst=2.5 * ceiling,
                over_quota_cost=rng.random(),
            )
        )
    return api.Settings(
        gateway_index=rng.randrange(3),
        gateway_count=rng.choice([1, 3, 200]),
        zone="a",
        tick_ms=2.0,
        classes=tuple(classes),
        plans=tuple(plans),
        has_counter=rng.random() < 0.8,
        counter_timeout_ms=rng.choice([5.0, 50.0]),
        max_request_units=4.0,
        max_attempts=rng.randrange(2, 6),
        can_cancel=rng.random() < 0.8,
        response_slack_ms=8.0,
        slow_start_fraction=rng.choice([0.0, 0.2, 1.0]),
        slow_start_ms=rng.choice([0.0, 9000.0]),
        overload_multiple=rng.choice([0.0, 1.0, 3.0]),
        overload_window_ms=rng.choice([0.0, 1500.0]),
    )


@dataclass
class RequestState:
    """One request and its attempts: server, send time and verdict, None while in flight."""

    cls: api.RequestClass
    max_attempts: int
    deadline_at: float
    attempts: list[tuple[api.Server, float, api.Verdict | None]] = field(default_factory=list)
    is_ended: bool = False

    def possible_executions(self) -> list[tuple[api.Server, float]]:
        """Return the attempts that the server may have executed."""
        return [
            (server, sent_at)
            for server, sent_at, ending in self.attempts
            if ending is None or not ending.never_ran
        ]


class Simulation:
    """A gateway with its clients, servers and counter."""

    def __init__(self, seed: int, settings_change: bool) -> None:
        self.rng, self.now = random.Random(seed), START
        self.settings = random_settings(self.rng)
        self.engine = DecisionEngine(self.settings, seed)
        self.events: list[tuple[float, int, api.Event | str]] = []
        self.requests: dict[str, RequestState] = {}
        self.count = self.retry_count = self.late_rejections = 0
        self.endpoints = {server.id: server for server in SERVERS}
        self.engine.handle(START, api.EndpointList(api.ListScope.FULL, tuple(SERVERS)))
        for n in range(700):
            self.schedule(START + self.rng.uniform(0, 12_000), f"r{n}")
        for kind in ["settings"] * (12 * settings_change) + ["list"] * 40:
            self.schedule(START + self.rng.uniform(0, 12_000), kind)

    def schedule(self, at: float, item: api.Event | str) -> None:
        """Schedule an event, a change or the arrival of a request."""
        self.count += 1
        heapq.heappush(self.events, (at, self.count, item))

    def run(self) -> None:
        """Handle everything that is scheduled, and what follows from it."""
        while self.events:
            self.now, _, item = heapq.heappop(self.events)
            if item == "settings":
                self.settings = random_settings(self.rng)
                self.engine.update_settings(self.settings)
            elif item == "list":
                self.change_endpoint()
            elif isinstance(item, str):
                self.handle_arrival(item)
            else:
                self.handle_event(item)
        assert all(state.is_ended for state in self.requests.values())

    def change_endpoint(self) -> None:
        """Let a server drain, come back or restart; its start time may lie in the future, by its own clock."""
        endpoint = self.rng.choice(SERVERS)
        state = self.rng.choice([api.EndpointState.UP, api.EndpointState.UP, api.EndpointState.DRAINING])
        start = self.now + self.rng.choice([-3000.0, 0.0, 500.0])
        self.endpoints[endpoint.id] = api.Server(
            endpoint.id, endpoint.zone, endpoint.kind, endpoint.cell, state, 1.0, start
        )
        self.handle_event(api.EndpointList(api.ListScope.CHANGES, (self.endpoints[endpoint.id],)))

    def handle_arrival(self, request_id: str) -> None:
        """Send a request of a client; some clients disconnect before the final answer."""
        cls, rng = self.rng.choice(self.settings.classes), self.rng
        remaining_ms = cls.deadline_ms * rng.uniform(0.3, 1.0)
        self.requests[request_id] = RequestState(cls, self.settings.max_attempts, self.now + remaining_ms)
        if rng.random() < 0.1:
            self.schedule(self.now + remaining_ms * rng.random(), api.ClientDisconnected(request_id))
        self.handle_event(
            api.Request(
                request_id,
                cls.name,
                rng.choice(self.settings.plans).name,
                rng.randrange(6),
                remaining_ms,
                rng.choice([1.0, 4.0]),
                rng.choice([1, 3, 200]),
            )
        )

    def handle_event(self, event: api.Event) -> None:
        """Pass an event to the gateway and execute its actions."""
        if isinstance(event, api.ClientDisconnected):
            self.requests[event.id].is_ended = True
        if isinstance(event, api.AttemptOutcome):
            state = self.requests[event.id]
            to, at, ending = state.attempts[event.attempt]
            if ending is not None:
                return  # the attempt has been cancelled
            state.attempts[event.attempt] = to, at, event.verdict
            state.is_ended |= event.ended
        for action in self.engine.handle(self.now, event):
            self.execute(action)

    def execute(self, action: api.Action) -> None:
        """Check an action and execute it."""
        rng = self.rng
        match action:
            case api.SendAttempt(id=request_id, server=to, timeout_ms=remaining_ms):
                state, server = self.requests[request_id], self.endpoints[to]
                self.check_send(state, server, remaining_ms)
                self.retry_count += bool(state.attempts)
                state.attempts.append((server, self.now, None))
                verdict = rng.choice([api.Verdict.OK, api.Verdict.TIMEOUT, *BAD])
                rtt_ms = (
                    remaining_ms
                    if verdict is api.Verdict.TIMEOUT
                    else remaining_ms * rng.choice([0.0, 0.01, 0.1, rng.random()])
                )
                succeeded = verdict is api.Verdict.OK
                self.schedule(
                    self.now + rtt_ms,
                    api.AttemptOutcome(
                        request_id,
                        len(state.attempts) - 1,
                        to,
                        verdict,
                        rtt_ms,
                        succeeded,
                        rng.choice([0.0, 1.0, 9.0]),
                    ),
                )
            case api.CancelAttempt(id=request_id, attempt=attempt):
                server_tried, sent_at, ending = self.requests[request_id].attempts[attempt]
                assert ending is None
                self.schedule(
                    self.now,
                    api.AttemptOutcome(
                        request_id, attempt, server_tried.id, api.Verdict.CANCELLED, self.now - sent_at, False
                    ),
                )
            case api.Reject(id=request_id) | api.Fail(id=request_id):
                state = self.requests[request_id]
                assert not state.is_ended and self.now <= state.deadline_at + 1e-6
                assert all(ending is not None for _, _, ending in state.attempts)
                if isinstance(action, api.Reject) and state.possible_executions():
                    self.late_rejections += 1
                    assert state.cls.idempotency is api.Idempotency.IDEMPOTENT or (
                        state.cls.idempotency is api.Idempotency.WITH_KEY
                        and state.cls.deduplication_scope is api.DeduplicationScope.ALL
                    )
                state.is_ended = True
            case api.SetTimer(at_ms=at, token=token):
                self.schedule(max(at, self.now), api.TimerFired(token))
            case api.AddToCounter(name=name):
                verdict = rng.choice([api.Verdict.OK] * 3 + [api.Verdict.TIMEOUT, api.Verdict.QUEUE_FULL])
                rtt_ms = rng.uniform(0, 5)  # up to the shortest timeout of a call
                self.schedule(
                    self.now + rtt_ms, api.CounterReply(name, verdict, rtt_ms, rng.choice([0.0, 3.0, 60.0]))
                )

    def check_send(self, state: RequestState, server: api.Server, remaining_ms: float) -> None:
        """Check the rules for any attempt, and those for a retry."""
        assert (
            not state.is_ended
            and len(state.attempts) < state.max_attempts
            and self.now + remaining_ms <= state.deadline_at + 1e-6
        )
        assert server.state is api.EndpointState.UP
        assert all(ending is not None for _, _, ending in state.attempts)  # at most one in flight
        if state.cls.idempotency is api.Idempotency.IDEMPOTENT or not (
            possible_executions := state.possible_executions()
        ):
            return
        assert state.cls.idempotency is api.Idempotency.WITH_KEY
        for first, at in possible_executions:
            assert self.now < at + state.cls.deduplication_window_ms
            assert (
                state.cls.deduplication_scope is not api.DeduplicationScope.ZONE or server.zone == first.zone
            )
            assert (
                state.cls.deduplication_scope is not api.DeduplicationScope.CELL or server.cell == first.cell
            )


@pytest.mark.parametrize("seed", range(8))
def test_retries_respect_idempotency_with_any_settings(seed: int) -> None:
    simulation = Simulation(seed, False)
    simulation.run()
    assert simulation.retry_count


@pytest.mark.parametrize("seed", [*range(6), 117, 143])
def test_new_settings_raise_no_error_and_keep_pending_requests_and_quotas_valid(seed: int) -> None:
    """A quota that was removed with unreported units and restored later conformed always: its TAT was 0 * inf."""
    simulation = Simulation(seed, True)
    simulation.run()
    assert simulation.retry_count
    for customer_quota in simulation.engine._quota._quotas.values():
        assert all(
            math.isfinite(bucket.tat)
            for bucket in (customer_quota.bucket, customer_quota.own_bucket, customer_quota.headroom_bucket)
            if bucket
        )


def test_a_quota_removed_with_unreported_units_holds_again_when_it_is_restored() -> None:
    """At the counter's reply, the units of other gateways became 0 * inf, and every later request conformed."""
    plan, free = api.Plan("plain", rate=1.0, burst=8.0), api.Plan("plain")
    engine, totals = gateway(plans=(plan,)), dict[int, float]()
    admit(engine, START, request("r0"), totals)
    # The counter is congested: requests with spare capacity are sent unconfirmed and reported later.
    engine._quota._call_probability = 0.3
    [report_timer] = [
        timer
        for timer in only(engine.handle(START + 1, request("r1")), api.SetTimer)
        if timer.at_ms > START + 3000
    ]
    engine.update_settings(replace(engine._settings, plans=(free,)))
    admit(engine, START + 2, request("r2"), totals)
    answer(
        engine,
        report_timer.at_ms,
        only(engine.handle(report_timer.at_ms, api.TimerFired(report_timer.token)), api.AddToCounter),
        totals,
    )
    engine.update_settings(replace(engine._settings, plans=(plan,)))
    sent = 0
    for n in range(60):
        now = report_timer.at_ms + 1 + n
        for send in only(admit(engine, now, request(f"x{n}"), totals), api.SendAttempt):
            sent += 1
            engine.handle(now, outcome(send, api.Verdict.OK, rtt=1.0))
    assert sent <= plan.burst + 1


def test_the_retry_budget_shrinks_when_the_fleet_grows() -> None:
    """200 gateways, 3 at their start, kept the retry budget of one of 3: 2,867 retries instead of 240."""

    def retries(gateways: int, new_gateways: int) -> int:
        engine = gateway(gateway_count=gateways, plans=(api.Plan("plain"),), classes=(SAFE,))
        engine.update_settings(replace(engine._settings, gateway_count=new_gateways))
        total = 0
        for n in range(60):
            [send] = only(engine.handle(START + 50 * n, request(f"r{n}")), api.SendAttempt)
            engine.handle(START + 50 * n + 20, outcome(send, api.Verdict.OK, rtt=20.0))
        for n in range(40):
            now = START + 3000 + 50 * n
            attempt, sends = 0, only(engine.handle(now, request(f"x{n}")), api.SendAttempt)
            while sends:
                sends = only(
                    engine.handle(now, outcome(sends[0], api.Verdict.CONNECT_FAILED, attempt)),
                    api.SendAttempt,
                )
                attempt += 1
            total += max(attempt - 1, 0)
        return total

    assert retries(3, 200) == retries(200, 200) < retries(3, 3)


def test_unconfirmed_sends_of_a_known_customer_follow_the_new_share_when_the_fleet_grows() -> None:
    """Each of 150 gateways kept a third of the quota, as one of three, while the counter did not reply."""
    plan = api.Plan("plain", rate=10.0, burst=60.0)

    def sent(gateways: int, new_gateways: int) -> int:
        engine, total = gateway(gateway_count=gateways, plans=(plan,), has_counter=False), 0
        engine.handle(START, request("r0", spread=gateways))
        engine.update_settings(replace(engine._settings, gateway_count=new_gateways, plans=(replace(plan),)))
        for n in range(100):
            for send in only(
                engine.handle(START + 10 + n, request(f"x{n}", spread=new_gateways)), api.SendAttempt
            ):
                total += 1
                engine.handle(START + 10 + n, outcome(send, api.Verdict.OK, rtt=1.0))
        return total

    assert sent(3, 150) <= sent(150, 150) + 1 < sent(3, 3)


@pytest.mark.parametrize("objective_ms", [200.0, 3000.0])
def test_retry_after_at_the_concurrency_limit_follows_the_latency_objective(objective_ms: float) -> None:
    """It was 100 ms for all settings."""
    engine = gateway(
        plans=(api.Plan("plain", 100.0, 100.0, concurrency_limit=1),),
        has_counter=False,
        classes=(replace(SAFE, latency_objective_ms=objective_ms),),
    )
    assert len(only(engine.handle(START, request("r0")), api.SendAttempt)) == 1
    assert engine.handle(START + 1, request("r1")) == [api.Reject("r1", 0.1 * objective_ms)]
