"""GCRA buckets, reports to the counter and ceilings, tested with the decision engine alone."""

from __future__ import annotations

import heapq
import math
import random
from dataclasses import replace

import pytest

from badgeryoke.decisions import interface as api
from badgeryoke.decisions.counter_name import MAX_COUNTER_NAME, counter_name
from badgeryoke.decisions.policy.engine import DecisionEngine
from badgeryoke.decisions.policy.quota import GcraBucket
from tests.support.samples import CAPPED, PLAIN, START, admit, answer, gateway, only, outcome, request


def test_a_request_conforms_exactly_when_the_wait_is_over() -> None:
    bucket = GcraBucket(1.0, 4.0, 0.0)
    for _ in range(4):
        assert bucket.wait(0.0, 1.0) <= 0
        bucket.consume(1.0, 0.0)
    assert bucket.wait(0.0, 1.0) == pytest.approx(1000.0)
    assert bucket.wait(999.0, 1.0) > 0
    assert bucket.wait(1000.0, 1.0) <= 0


def test_several_units_wait_until_the_burst_covers_them() -> None:
    bucket = GcraBucket(2.0, 4.0, 0.0)
    bucket.consume(2.0, 0.0)
    assert bucket.wait(0.0, 2.0) <= 0
    assert bucket.wait(0.0, 3.0) == pytest.approx(500.0)


def test_a_request_larger_than_the_burst_conforms_when_the_bucket_is_full() -> None:
    bucket = GcraBucket(1.0, 2.0, 0.0)
    assert bucket.wait(0.0, 5.0) <= 0
    bucket.consume(5.0, 0.0)
    assert bucket.wait(0.0, 5.0) == pytest.approx(5000.0)


def test_a_long_idle_time_accumulates_no_more_than_the_burst() -> None:
    bucket = GcraBucket(1.0, 4.0, 0.0)
    assert bucket.capacity(1e9) == pytest.approx(4.0)
    bucket.consume(1.0, 1e9)
    assert bucket.tat == pytest.approx(1e9 + 1000.0)


def test_a_request_beyond_the_burst_is_rejected_at_once_with_the_wait_as_retry_after() -> None:
    engine = gateway()
    totals: dict[int, float] = {}
    for number in range(4):
        assert only(admit(engine, START, request(f"r{number}"), totals), api.SendAttempt)
    [rejection] = engine.handle(START, request("r4"))
    assert isinstance(rejection, api.Reject)
    assert rejection.retry_after_ms == pytest.approx(1000.0)


def test_units_of_other_gateways_advance_the_tat() -> None:
    engine = gateway()
    totals: dict[int, float] = {}
    assert only(admit(engine, START, request("r0"), totals), api.SendAttempt)
    for name in totals:
        totals[name] += 10.0
    actions = admit(engine, START + 10, request("r1"), totals)
    assert only(actions, api.Reject) and not only(actions, api.SendAttempt)


def counter_names_at_start(customer: int, period_ms: float = 4000.0) -> tuple[int, int]:
    """The counter names of the period at START and of the one before."""
    period = math.floor(START / period_ms + counter_name(customer, -1) / MAX_COUNTER_NAME)
    return counter_name(customer, period), counter_name(customer, period - 1)


def test_one_call_is_enough_while_ample_capacity_is_left() -> None:
    """Two calls for each rare request would overload the counter with hundreds of gateways."""
    engine = gateway()
    [call] = only(engine.handle(START, request("r0")), api.AddToCounter)
    assert (call.name, call.units) == (counter_names_at_start(7)[0], 1.0) and 0 <= call.name < 2**63
    actions = engine.handle(START + 2, api.CounterReply(call.name, api.Verdict.OK, 2.0, 1.0))
    assert only(actions, api.SendAttempt) and not only(actions, api.AddToCounter)


def test_the_previous_period_is_read_if_the_customer_uses_much_of_its_quota() -> None:
    engine = gateway()
    [call] = only(engine.handle(START, request("r0")), api.AddToCounter)
    [closing_read] = engine.handle(START + 2, api.CounterReply(call.name, api.Verdict.OK, 2.0, 9.0))
    assert isinstance(closing_read, api.AddToCounter) and (closing_read.name, closing_read.units) == (
        counter_names_at_start(7)[1],
        0.0,
    )


def test_a_new_period_reads_the_previous_name_once_more() -> None:
    """Units that another gateway added near the end of the previous period must not be lost."""
    engine = gateway()
    totals: dict[int, float] = {}
    admit(engine, START, request("r0"), totals)
    totals[counter_names_at_start(7)[0]] += 30.0
    later = START + 4000.0
    sent = sum(
        bool(only(admit(engine, later + n, request(f"n{n}"), totals), api.SendAttempt)) for n in range(9)
    )
    assert sent <= PLAIN.burst - 1  # minus its own unit, until the closing read finds the others' units
    assert only(admit(engine, later + 9, request("r1"), totals), api.Reject)


def test_a_name_has_one_call_in_flight_and_later_requests_share_the_next() -> None:
    engine = gateway()
    calls = only(engine.handle(START, request("r0")), api.AddToCounter)
    assert only(engine.handle(START, request("r1")), api.AddToCounter) == []
    assert only(engine.handle(START, request("r2")), api.AddToCounter) == []
    totals: dict[int, float] = {}
    for call in calls:
        next_actions = engine.handle(START + 2, api.CounterReply(call.name, api.Verdict.OK, 2.0, 1.0))
    assert [c.units for c in only(next_actions, api.AddToCounter)] == [2.0]
    assert only(answer(engine, START + 4, only(next_actions, api.AddToCounter), totals), api.SendAttempt)


def test_without_replies_of_the_counter_a_gateway_sends_its_own_share() -> None:
    """A gateway must not send the whole quota for long while the counter does not reply."""
    engine = gateway()
    sent = 0
    for step in range(200):
        now = START + step * 50.0
        actions = engine.handle(now, request(f"r{step}", units=1.0))
        for call in only(actions, api.AddToCounter):
            actions = actions + engine.handle(
                now + 50.0, api.CounterReply(call.name, api.Verdict.TIMEOUT, 50.0)
            )
        for send in only(actions, api.SendAttempt):
            sent += 1
            engine.handle(now + 50.0, outcome(send, api.Verdict.OK))
    assert 2 <= sent <= 1 + (PLAIN.burst + PLAIN.rate * 10.0) / 2


def test_a_counter_that_lost_its_totals_never_moves_the_tat_back() -> None:
    engine = gateway()
    totals: dict[int, float] = {}
    for number in range(3):
        admit(engine, START, request(f"r{number}"), totals)
    totals.clear()
    admit(engine, START + 1, request("r3"), totals)
    assert only(admit(engine, START + 2, request("r4"), totals), api.Reject)


def test_an_overloaded_counter_is_called_less() -> None:
    """All gateways together must stay below the counter's capacity, but each one keeps calling it sometimes."""
    engine = gateway(gateway_count=300)
    calls = []
    for number in range(2000):
        now = START + number * 500.0
        for call in only(
            engine.handle(now, request(f"r{number}", customer=number, spread=100)), api.AddToCounter
        ):
            calls.append(number)
            engine.handle(now + 50, api.CounterReply(call.name, api.Verdict.TIMEOUT, 50.0))
    assert 20 < len(calls) < 300 and calls[-1] > 1800


def test_a_sampled_request_reports_units_for_the_unconfirmed_ones() -> None:
    """With only the sampled requests counted, each customer seemed far below its quota and 94% conformed."""
    engine = gateway(gateway_count=300)
    units = []
    for number in range(400):
        now = START + number * 500.0
        for call in only(
            engine.handle(now, request(f"r{number}", customer=number, spread=100)), api.AddToCounter
        ):
            units.append(call.units)
            verdict = api.Verdict.TIMEOUT if number % 3 else api.Verdict.OK
            reply = api.CounterReply(call.name, verdict, 9.0, call.units)
            for further_call in only(engine.handle(now + 9, reply), api.AddToCounter):
                engine.handle(now + 9, api.CounterReply(further_call.name, api.Verdict.OK, 9.0, 0.0))
    assert units[0] == 1.0 and max(units) > 2.0


def test_the_units_of_a_rejected_request_are_subtracted_at_the_counter() -> None:
    """A gateway that gets no further request of the customer must not leave units there that were not sent."""
    engine = gateway(gateway_count=300)
    totals = {counter_names_at_start(7)[0]: 20.0}
    actions = admit(engine, START, request("r0", spread=100), totals)
    assert only(actions, api.Reject) and totals[counter_names_at_start(7)[0]] == pytest.approx(20.0)


def test_the_first_request_of_a_customer_is_sent() -> None:
    """With a share of 1/gateways of the burst, less than a request, no gateway would send any."""
    engine = gateway(gateway_count=300)
    totals: dict[int, float] = {}
    assert only(admit(engine, START, request("r0", spread=200), totals), api.SendAttempt)


def test_headroom_shares_below_one_request_are_given_to_a_few_gateways() -> None:
    """Without a counter, the gateways of a set together stay under the ceiling."""
    sent = 0
    for index in range(20):
        engine = gateway(gateway_count=20, has_counter=False, gateway_index=index)
        for number in range(30):
            now, rid = START + number * 200.0, f"r{number}"
            actions = engine.handle(now, request(rid, plan="capped", customer=9, spread=20))
            sent += len(only(actions, api.SendAttempt))
    headroom = CAPPED.ceiling_burst + CAPPED.ceiling_slack - CAPPED.burst
    assert 4 <= sent <= headroom + (CAPPED.ceiling_rate - CAPPED.rate) * 6.0


def test_each_outcome_releases_the_concurrency_limit_once() -> None:
    """However a request ends, it is subtracted exactly once from the attempts in flight."""
    plan = api.Plan("plain", rate=100.0, burst=100.0, concurrency_limit=2)
    for ending in ("ok", "disconnected", "fail", "waiting"):
        engine = gateway(plans=(plan,), max_attempts=1)
        totals: dict[int, float] = {}
        for number in range(12):
            now = START + number * 100.0
            if ending == "waiting":
                calls = only(engine.handle(now, request(f"h{number}", spread=1)), api.AddToCounter)
                engine.handle(now + 1, api.ClientDisconnected(f"h{number}"))
                assert not only(answer(engine, now + 2, calls, totals), api.SendAttempt)
                continue
            [send] = only(admit(engine, now, request(f"r{number}", spread=1), totals), api.SendAttempt)
            if ending == "disconnected":
                engine.handle(now + 5, api.ClientDisconnected(send.id))
                engine.handle(now + 9, outcome(send, api.Verdict.TIMEOUT, ended=True))
            else:
                engine.handle(now + 5, outcome(send, api.Verdict.OK if ending == "ok" else api.Verdict.ERROR))
        assert only(admit(engine, START + 5000, request("last", spread=1), totals), api.SendAttempt)


def test_the_ceiling_holds_without_the_counter() -> None:
    """A restart grants no extra burst: the headroom for unconfirmed sends fills from the gateway's start."""
    engine = gateway(has_counter=False)
    sent, seconds = 0, 10
    for step in range(seconds * 100):
        now = START + step * 10.0
        for send in only(engine.handle(now, request(f"r{step}", plan="capped", customer=9)), api.SendAttempt):
            sent += 1
            engine.handle(now, outcome(send, api.Verdict.OK, rtt=5.0))
    part = (CAPPED.ceiling_rate - CAPPED.rate) / 2
    assert 0 < sent <= part * seconds + 1


def test_the_error_names_an_unknown_plan() -> None:
    with pytest.raises(ValueError, match="gold"):
        gateway().handle(START, request("r0", plan="gold"))


def test_a_quota_with_a_scheduled_report_is_not_removed() -> None:
    """The late report of a removed quota took the reply to the new quota's call: its request was lost."""
    engine = gateway()
    timers: list[api.SetTimer] = []
    for call in only(engine.handle(START, request("r0")), api.AddToCounter):
        for action in engine.handle(START + 1, api.CounterReply(call.name, api.Verdict.QUEUE_FULL, 1.0)):
            if isinstance(action, api.SendAttempt):
                engine.handle(START + 50, outcome(action, api.Verdict.OK))
            elif isinstance(action, api.SetTimer):
                timers.append(action)
    now = START + 60_000.0  # after a long idle time, the next request removes stale quotas
    actions = engine.handle(now, request("late"))
    for timer in timers:
        actions = actions + engine.handle(now, api.TimerFired(timer.token))
    done: list[str] = []
    for call in only(actions, api.AddToCounter):
        actions_on_reply = engine.handle(
            now + 2, api.CounterReply(call.name, api.Verdict.OK, 2.0, call.units)
        )
        done += [a.id for a in actions_on_reply if isinstance(a, api.SendAttempt | api.Reject)]
    assert done == ["late"]


def test_a_request_with_a_near_deadline_does_not_wait_for_the_counter() -> None:
    engine = gateway()
    actions = engine.handle(START, request("r0", remaining=190.0))
    assert only(actions, api.SendAttempt) and not only(actions, api.AddToCounter)


def complete_attempt(engine: DecisionEngine, send: api.SendAttempt, units: float) -> None:
    done = replace(outcome(send, api.Verdict.OK), true_units=units)
    engine.handle(START + 50, done)


def test_an_estimated_charge_is_corrected_by_the_measured_units() -> None:
    """Estimates are off by half and were never corrected: use over quota cost 3% of the total value."""
    for measured_units, expected_sends in ((1.0, 3), (4.0, 0)):
        engine = gateway(gateway_count=1, has_counter=True)
        totals: dict[int, float] = {}
        [send] = only(admit(engine, START, request("a", units=2.0, spread=1), totals), api.SendAttempt)
        complete_attempt(engine, send, measured_units)
        sent = [
            only(admit(engine, START + 60, request(f"b{n}", spread=1), totals), api.SendAttempt)
            for n in range(4)
        ]
        assert sum(map(bool, sent)) == expected_sends
        if expected_sends:
            assert sum(totals.values()) == measured_units + expected_sends


def test_a_refund_under_a_ceiling_is_taken_out_of_its_headroom() -> None:
    """A ceiling is checked against estimates: refunds must not admit more than quota and headroom together."""
    plan = api.Plan("capped", rate=0.01, burst=10.0, ceiling_rate=0.02, ceiling_burst=14.0)
    engine, totals, units = gateway(plans=(plan,), gateway_count=1), dict[int, float](), 0.0
    admit(engine, START, request("r", plan="capped", units=1.0, spread=1), totals)
    for n in range(60):
        now = START + 2_000_000.0 + n * 10  # headroom and burst are full again
        event = request(f"r{n}", plan="capped", units=2.0, spread=1)
        for send in only(admit(engine, now, event, totals), api.SendAttempt):
            units += 2.0
            engine.handle(now + 5, replace(outcome(send, api.Verdict.OK), true_units=0.5))
    assert 10.0 < units <= 14.0


def test_there_are_no_refunds_while_responses_are_slow(monkeypatch: pytest.MonkeyPatch) -> None:
    """Under overload, refunds only lengthened the servers' queues, and requests were lost."""
    for is_healthy, measured_units, expected_sends in ((True, 1.0, 3), (False, 1.0, 2), (False, 4.0, 0)):
        engine = gateway(gateway_count=1)
        totals: dict[int, float] = {}
        [send] = only(admit(engine, START, request("a", units=2.0, spread=1), totals), api.SendAttempt)
        monkeypatch.setattr(engine._balancer, "is_healthy", lambda now, is_healthy=is_healthy: is_healthy)
        complete_attempt(engine, send, measured_units)
        sent = [
            only(admit(engine, START + 60, request(f"b{n}", spread=1), totals), api.SendAttempt)
            for n in range(4)
        ]
        assert sum(map(bool, sent)) == expected_sends


def test_a_gateway_without_headroom_refunds_nothing() -> None:
    """Its headroom bucket has rate 0: a correction of 0 units set the TAT to NaN, and every request conformed."""
    plan = api.Plan("capped", rate=0.01, burst=10.0, ceiling_rate=0.02, ceiling_burst=11.0)
    engine, totals = gateway(plans=(plan,), gateway_count=2, max_request_units=6.0), dict[int, float]()
    [send] = only(admit(engine, START, request("a", plan="capped", units=2.0), totals), api.SendAttempt)
    complete_attempt(engine, send, 0.5)
    events = [request(f"b{n}", plan="capped") for n in range(20)]
    sent = [only(admit(engine, START + 60, event, totals), api.SendAttempt) for event in events]
    assert 0 < sum(map(bool, sent)) <= 8
    [customer_quota] = engine._quota._quotas.values()
    assert (
        customer_quota.headroom_bucket is not None
        and customer_quota.headroom_bucket.capacity(START + 60) == 0.0
    )


def handle_with_lost_call(
    engine: DecisionEngine, now: float, event: api.Request
) -> tuple[api.AddToCounter, list[api.Action]]:
    """Handle a request whose call to the counter times out."""
    engine._quota._call_probability = 1.0
    [call] = only(engine.handle(now, event), api.AddToCounter)
    return call, engine.handle(now + 50.0, api.CounterReply(call.name, api.Verdict.TIMEOUT, 50.0))


def test_uncertain_units_of_the_previous_period_are_not_subtracted_in_the_next() -> None:
    """Carried over into the next period, they were subtracted from the others' units under its name."""
    engine = gateway()
    totals: dict[int, float] = {}
    admit(engine, START, request("a", units=1.0), totals)
    handle_with_lost_call(engine, START + 60.0, request("b", units=2.0))
    later = START + 1.2 * engine._quota._quotas[7].period_ms
    engine._quota._call_probability = 1.0
    [call] = only(engine.handle(later, request("c", units=1.0)), api.AddToCounter)
    customer_quota = engine._quota._quotas[7]
    used, seen = customer_quota.bucket.tat, customer_quota.synchronized_at
    # The total includes 3 units through other gateways.
    engine.handle(later, api.CounterReply(call.name, api.Verdict.OK, 2.0, call.units + 3.0))
    assert customer_quota.bucket.tat >= max(used, seen) + 3.0 * customer_quota.bucket.interval_ms


def test_the_closing_read_does_not_charge_units_of_timed_out_calls_twice() -> None:
    engine = gateway()
    totals: dict[int, float] = {}
    admit(engine, START, request("a", units=1.0), totals)
    lost, _ = handle_with_lost_call(engine, START + 60.0, request("b", units=2.0))
    customer_quota = engine._quota._quotas[7]
    later = START + 1.2 * customer_quota.period_ms
    engine._quota._call_probability = 1.0
    [call] = only(engine.handle(later, request("c", units=1.0)), api.AddToCounter)
    engine.handle(later, api.CounterReply(call.name, api.Verdict.OK, 2.0, call.units))
    assert customer_quota.previous_total == totals[lost.name] + lost.units


def test_unconfirmed_sends_count_when_the_first_total_is_read() -> None:
    """The first total set the TAT by the units of other gateways only."""
    engine = gateway()
    _, actions = handle_with_lost_call(engine, START, request("a", units=2.0))
    assert only(actions, api.SendAttempt)
    engine._quota._call_probability = 1.0
    [call] = only(engine.handle(START + 60.0, request("b", units=1.0)), api.AddToCounter)
    engine.handle(START + 60.0, api.CounterReply(call.name, api.Verdict.OK, 2.0, call.units + 2.0))
    customer_quota = engine._quota._quotas[7]
    start = (customer_quota.period - customer_quota.period_phase) * customer_quota.period_ms
    # The tolerance covers the units earned back since then.
    assert customer_quota.bucket.tat == pytest.approx(
        start + 2.0 * customer_quota.bucket.interval_ms, abs=100.0
    )


@pytest.mark.parametrize("answered", [0.0, 0.3, 1.0])
def test_the_ceiling_holds_over_all_gateways_however_many_calls_are_answered(answered: float) -> None:
    """Seven times the quota goes through four gateways whose calls mostly time out.  Each gateway's
    unconfirmed sends are limited by its share of the ceiling's headroom; without that the ceiling is exceeded."""
    plan = replace(CAPPED, rate=20.0, burst=28.0, ceiling_rate=32.0, ceiling_burst=45.0, ceiling_slack=6.0)
    fleet = [
        gateway(seed=index, gateway_index=index, gateway_count=4, plans=(plan,), max_request_units=6.0)
        for index in range(4)
    ]
    rng = random.Random(1)
    due: list[tuple[float, int, int, api.Event]] = []  # time, order, gateway, event
    units: dict[str, float] = {}
    totals: dict[int, float] = {}
    ceiling_units = lowest_ceiling_units = plan.ceiling_burst
    last = START
    for n in range(600):
        units[f"r{n}"] = float(rng.randint(1, 6))
        at = START + 25.0 * n
        heapq.heappush(
            due,
            (
                at,
                -n,
                rng.randrange(4),
                request(f"r{n}", plan="capped", units=units[f"r{n}"], spread=4, remaining=2000.0),
            ),
        )
    order = 0
    while due:
        now, _, index, event = heapq.heappop(due)
        for action in fleet[index].handle(now, event):
            order += 1
            match action:
                case api.SendAttempt(id=rid):
                    ceiling_units += (now - last) * plan.ceiling_rate / 1000.0
                    ceiling_units = min(ceiling_units, plan.ceiling_burst) - units[rid]
                    lowest_ceiling_units, last = min(lowest_ceiling_units, ceiling_units), now
                    heapq.heappush(due, (now + 30.0, order, index, outcome(action, api.Verdict.OK, rtt=30.0)))
                case api.AddToCounter(name=name, units=amount):
                    replied = rng.random() < answered
                    totals[name] = totals.get(name, 0.0) + amount * replied
                    total = (
                        api.CounterReply(name, api.Verdict.OK, 2.0, totals[name])
                        if replied
                        else api.CounterReply(name, api.Verdict.TIMEOUT, 50.0)
                    )
                    heapq.heappush(due, (now + total.rtt_ms, order, index, total))
    assert -plan.ceiling_slack <= lowest_ceiling_units < plan.ceiling_burst


@pytest.mark.parametrize(("rtt_ms", "grows"), [(15.0, True), (40.0, False)])
def test_a_counter_that_is_always_slow_is_not_overloaded_but_one_that_becomes_slow_is(
    rtt_ms: float, grows: bool
) -> None:
    """A counter that never replied within 15 ms of its 50 ms timeout was hardly called any more."""
    engine = gateway()
    manager = engine._quota
    manager._call_probability = 0.5
    for n in range(20):
        customer_quota = manager.quota_for(START, request(f"r{n}", customer=n))
        customer_quota.unreported_units = 1.0
        [call] = only(manager.synchronize(START, customer_quota), api.AddToCounter)
        manager.handle_reply(
            START, api.CounterReply(call.name, api.Verdict.OK, 15.0 if n < 5 else rtt_ms, 1.0)
        )
    assert (manager._call_probability > 1.0) is grows and (manager._call_probability < 0.1) is not grows
