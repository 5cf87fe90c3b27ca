"""Rule 2 and changed settings under random events: a checker that sees events and actions alone."""

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


def drawn(draw: random.Random) -> api.Settings:
    """Some customer's settings: every effect, group and window may come, in any mix."""
    classes = []
    for n in range(draw.randrange(1, 4)):
        deadline = draw.choice([80.0, 600.0, 3000.0])
        window = draw.choice([0.0, 1.0, 0.2 * deadline, 0.9 * deadline, 5 * deadline])
        classes.append(
            api.RequestClass(
                f"c{n}",
                draw.choice([0.2, 0.7, 1.0]) * deadline,
                deadline,
                draw.choice(list(api.Idempotency)),
                draw.choice(list(api.DeduplicationScope)),
                window,
            )
        )
    plans = []
    for n in range(3):
        rate = draw.choice([0.0, 0.5, 20.0])
        ceiling = draw.choice([0.0, 2.0]) * rate
        plans.append(
            api.Plan(
                f"p{n}",
                rate,
                draw.choice([1.0, 2.0]) * max(rate, 1.0),
                draw.choice([0, 3]),
                ceiling_rate=ceiling,
                ceiling_burst=2.5 * ceiling,
                over_quota_cost=draw.random(),
            )
        )
    return api.Settings(
        gateway_index=draw.randrange(3),
        gateway_count=draw.choice([1, 3, 200]),
        zone="a",
        tick_ms=2.0,
        classes=tuple(classes),
        plans=tuple(plans),
        has_counter=draw.random() < 0.8,
        counter_timeout_ms=draw.choice([5.0, 50.0]),
        max_request_units=4.0,
        max_attempts=draw.randrange(2, 6),
        can_cancel=draw.random() < 0.8,
        response_slack_ms=8.0,
        slow_start_fraction=draw.choice([0.0, 0.2, 1.0]),
        slow_start_ms=draw.choice([0.0, 9000.0]),
        overload_multiple=draw.choice([0.0, 1.0, 3.0]),
        overload_window_ms=draw.choice([0.0, 1500.0]),
    )


@dataclass
class Tried:
    """One request, and where its attempts went: when, and how they ended."""

    cls: api.RequestClass
    most: int
    until: float
    attempts: list[tuple[api.Server, float, api.Verdict | None]] = field(default_factory=list)
    over: bool = False

    def risks(self) -> list[tuple[api.Server, float]]:
        """Attempts that may have run."""
        return [(to, at) for to, at, how in self.attempts if how is None or not how.never_ran]


class Play:
    """A gateway, and the world around it."""

    def __init__(self, seed: int, retunes: bool) -> None:
        self.draw, self.now = random.Random(seed), START
        self.settings = drawn(self.draw)
        self.made = DecisionEngine(self.settings, seed)
        self.due: list[tuple[float, int, api.Event | str]] = []
        self.seen: dict[str, Tried] = {}
        self.count = self.repeats = self.refused_late = 0
        self.listed = {one.id: one for one in SERVERS}
        self.made.handle(START, api.EndpointList(api.ListScope.FULL, tuple(SERVERS)))
        for n in range(700):
            self.later(START + self.draw.uniform(0, 12_000), f"r{n}")
        for kind in ["retune"] * (12 * retunes) + ["list"] * 40:
            self.later(START + self.draw.uniform(0, 12_000), kind)

    def later(self, at: float, what: api.Event | str) -> None:
        """Something is due."""
        self.count += 1
        heapq.heappush(self.due, (at, self.count, what))

    def run(self) -> None:
        """All that is due, and what follows from it."""
        while self.due:
            self.now, _, what = heapq.heappop(self.due)
            if what == "retune":
                self.settings = drawn(self.draw)
                self.made.update_settings(self.settings)
            elif what == "list":
                self.change()
            elif isinstance(what, str):
                self.arrive(what)
            else:
                self.give(what)
        assert all(one.over for one in self.seen.values())

    def change(self) -> None:
        """A server drains, comes back, or has started: by its own clock, which may go ahead."""
        old = self.draw.choice(SERVERS)
        state = self.draw.choice([api.EndpointState.UP, api.EndpointState.UP, api.EndpointState.DRAINING])
        start = self.now + self.draw.choice([-3000.0, 0.0, 500.0])
        self.listed[old.id] = api.Server(old.id, old.zone, old.kind, old.cell, state, 1.0, start)
        self.give(api.EndpointList(api.ListScope.CHANGES, (self.listed[old.id],)))

    def arrive(self, rid: str) -> None:
        """A client's try; some leave before their answer."""
        cls, draw = self.draw.choice(self.settings.classes), self.draw
        left = cls.deadline_ms * draw.uniform(0.3, 1.0)
        self.seen[rid] = Tried(cls, self.settings.max_attempts, self.now + left)
        if draw.random() < 0.1:
            self.later(self.now + left * draw.random(), api.ClientDisconnected(rid))
        self.give(
            api.Request(
                rid,
                cls.name,
                draw.choice(self.settings.plans).name,
                draw.randrange(6),
                left,
                draw.choice([1.0, 4.0]),
                draw.choice([1, 3, 200]),
            )
        )

    def give(self, event: api.Event) -> None:
        """One event, and what the gateway does about it."""
        if isinstance(event, api.ClientDisconnected):
            self.seen[event.id].over = True
        if isinstance(event, api.AttemptOutcome):
            tried = self.seen[event.id]
            to, at, how = tried.attempts[event.attempt]
            if how is not None:
                return  # cancelled before
            tried.attempts[event.attempt] = to, at, event.verdict
            tried.over |= event.ended
        for action in self.made.handle(self.now, event):
            self.act(action)

    def act(self, action: api.Action) -> None:
        """Check an action and carry it out."""
        draw = self.draw
        match action:
            case api.SendAttempt(id=rid, server=to, timeout_ms=left):
                tried, server = self.seen[rid], self.listed[to]
                self.may_send(tried, server, left)
                self.repeats += bool(tried.attempts)
                tried.attempts.append((server, self.now, None))
                verdict = draw.choice([api.Verdict.OK, api.Verdict.TIMEOUT, *BAD])
                took = (
                    left
                    if verdict is api.Verdict.TIMEOUT
                    else left * draw.choice([0.0, 0.01, 0.1, draw.random()])
                )
                done = verdict is api.Verdict.OK
                self.later(
                    self.now + took,
                    api.AttemptOutcome(
                        rid, len(tried.attempts) - 1, to, verdict, took, done, draw.choice([0.0, 1.0, 9.0])
                    ),
                )
            case api.CancelAttempt(id=rid, attempt=attempt):
                where, since, how = self.seen[rid].attempts[attempt]
                assert how is None
                self.later(
                    self.now,
                    api.AttemptOutcome(
                        rid, attempt, where.id, api.Verdict.CANCELLED, self.now - since, False
                    ),
                )
            case api.Reject(id=rid) | api.Fail(id=rid):
                tried = self.seen[rid]
                assert not tried.over and self.now <= tried.until + 1e-6
                assert all(how is not None for _, _, how in tried.attempts)
                if isinstance(action, api.Reject) and tried.risks():
                    self.refused_late += 1
                    assert tried.cls.idempotency is api.Idempotency.IDEMPOTENT or (
                        tried.cls.idempotency is api.Idempotency.WITH_KEY
                        and tried.cls.deduplication_scope is api.DeduplicationScope.ALL
                    )
                tried.over = True
            case api.SetTimer(at_ms=at, token=token):
                self.later(max(at, self.now), api.TimerFired(token))
            case api.AddToCounter(name=name):
                verdict = draw.choice([api.Verdict.OK] * 3 + [api.Verdict.TIMEOUT, api.Verdict.QUEUE_FULL])
                took = draw.uniform(0, 5)  # the shortest time-out of a call
                self.later(
                    self.now + took, api.CounterReply(name, verdict, took, draw.choice([0.0, 3.0, 60.0]))
                )

    def may_send(self, tried: Tried, server: api.Server, left: float) -> None:
        """The rule's words on a further send, and what holds for any."""
        assert not tried.over and len(tried.attempts) < tried.most and self.now + left <= tried.until + 1e-6
        assert server.state is api.EndpointState.UP
        assert all(how is not None for _, _, how in tried.attempts)  # never two out
        if tried.cls.idempotency is api.Idempotency.IDEMPOTENT or not (risks := tried.risks()):
            return
        assert tried.cls.idempotency is api.Idempotency.WITH_KEY
        for first, at in risks:
            assert self.now < at + tried.cls.deduplication_window_ms
            assert (
                tried.cls.deduplication_scope is not api.DeduplicationScope.ZONE or server.zone == first.zone
            )
            assert (
                tried.cls.deduplication_scope is not api.DeduplicationScope.CELL or server.cell == first.cell
            )


@pytest.mark.parametrize("seed", range(8))
def test_rule_2_holds_for_any_mix_of_settings(seed: int) -> None:
    play = Play(seed, False)
    play.run()
    assert play.repeats


@pytest.mark.parametrize("seed", [*range(6), 117, 143])
def test_new_settings_raise_nothing_and_harm_no_open_request_or_quota(seed: int) -> None:
    """A quota that was lifted while units were to be told came back as one that let all through: 0 x inf."""
    play = Play(seed, True)
    play.run()
    assert play.repeats
    for customer_quota in play.made._quota._quotas.values():
        assert all(
            math.isfinite(one.tat)
            for one in (customer_quota.bucket, customer_quota.own_bucket, customer_quota.headroom_bucket)
            if one
        )


def test_a_quota_that_was_lifted_while_units_are_to_be_told_holds_again_when_it_is_back() -> None:
    """The others' units came to 0 x inf at the answer, and all passed from then on."""
    plan, free = api.Plan("plain", rate=1.0, burst=8.0), api.Plan("plain")
    made, totals = gateway(plans=(plan,)), dict[int, float]()
    admit(made, START, request("r0"), totals)
    made._quota._call_probability = (
        0.3  # the counter is crowded: what has room goes unheard, and is told later
    )
    [flush] = [
        one for one in only(made.handle(START + 1, request("r1")), api.SetTimer) if one.at_ms > START + 3000
    ]
    made.update_settings(replace(made._settings, plans=(free,)))
    admit(made, START + 2, request("r2"), totals)
    answer(
        made,
        flush.at_ms,
        only(made.handle(flush.at_ms, api.TimerFired(flush.token)), api.AddToCounter),
        totals,
    )
    made.update_settings(replace(made._settings, plans=(plan,)))
    sent = 0
    for n in range(60):
        now = flush.at_ms + 1 + n
        for send in only(admit(made, now, request(f"x{n}"), totals), api.SendAttempt):
            sent += 1
            made.handle(now, outcome(send, api.Verdict.OK, rtt=1.0))
    assert sent <= plan.burst + 1


def test_a_fleet_that_grows_saves_up_no_more_retries() -> None:
    """200 gateways that were 3 at their start kept what 3 may save: 2,867 retries in place of 240."""

    def retries(gateways: int, then: int) -> int:
        made = gateway(gateway_count=gateways, plans=(api.Plan("plain"),), classes=(SAFE,))
        made.update_settings(replace(made._settings, gateway_count=then))
        got = 0
        for n in range(60):
            [send] = only(made.handle(START + 50 * n, request(f"r{n}")), api.SendAttempt)
            made.handle(START + 50 * n + 20, outcome(send, api.Verdict.OK, rtt=20.0))
        for n in range(40):
            now = START + 3000 + 50 * n
            attempt, sends = 0, only(made.handle(now, request(f"x{n}")), api.SendAttempt)
            while sends:
                sends = only(
                    made.handle(now, outcome(sends[0], api.Verdict.CONNECT_FAILED, attempt)), api.SendAttempt
                )
                attempt += 1
            got += max(attempt - 1, 0)
        return got

    assert retries(3, 200) == retries(200, 200) < retries(3, 3)


def test_a_known_customer_of_a_fleet_that_grows_is_sent_on_unheard_by_the_new_part() -> None:
    """Each of 150 gateways kept a third of the quota, as one of three, while the counter was silent."""
    plan = api.Plan("plain", rate=10.0, burst=60.0)

    def sent(gateways: int, then: int) -> int:
        made, got = gateway(gateway_count=gateways, plans=(plan,), has_counter=False), 0
        made.handle(START, request("r0", spread=gateways))
        made.update_settings(replace(made._settings, gateway_count=then, plans=(replace(plan),)))
        for n in range(100):
            for send in only(made.handle(START + 10 + n, request(f"x{n}", spread=then)), api.SendAttempt):
                got += 1
                made.handle(START + 10 + n, outcome(send, api.Verdict.OK, rtt=1.0))
        return got

    assert sent(3, 150) <= sent(150, 150) + 1 < sent(3, 3)


@pytest.mark.parametrize("aim", [200.0, 3000.0])
def test_who_meets_the_limit_of_attempts_out_is_told_to_wait_by_the_aim(aim: float) -> None:
    """It was 100 ms at every customer's."""
    made = gateway(
        plans=(api.Plan("plain", 100.0, 100.0, concurrency_limit=1),),
        has_counter=False,
        classes=(replace(SAFE, latency_objective_ms=aim),),
    )
    assert len(only(made.handle(START, request("r0")), api.SendAttempt)) == 1
    assert made.handle(START + 1, request("r1")) == [api.Reject("r1", 0.1 * aim)]
