"""The GCRA, the counter reports and the ceiling, by the module alone."""

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


def test_conforms_exactly_when_the_wait_is_over() -> None:
    meter = GcraBucket(1.0, 4.0, 0.0)
    for _ in range(4):
        assert meter.wait(0.0, 1.0) <= 0
        meter.consume(1.0, 0.0)
    assert meter.wait(0.0, 1.0) == pytest.approx(1000.0)
    assert meter.wait(999.0, 1.0) > 0
    assert meter.wait(1000.0, 1.0) <= 0


def test_several_units_wait_until_the_burst_holds_them() -> None:
    meter = GcraBucket(2.0, 4.0, 0.0)
    meter.consume(2.0, 0.0)
    assert meter.wait(0.0, 2.0) <= 0
    assert meter.wait(0.0, 3.0) == pytest.approx(500.0)


def test_a_request_larger_than_the_burst_goes_when_all_is_paid() -> None:
    meter = GcraBucket(1.0, 2.0, 0.0)
    assert meter.wait(0.0, 5.0) <= 0
    meter.consume(5.0, 0.0)
    assert meter.wait(0.0, 5.0) == pytest.approx(5000.0)


def test_long_idle_saves_no_more_than_the_burst() -> None:
    meter = GcraBucket(1.0, 4.0, 0.0)
    assert meter.capacity(1e9) == pytest.approx(4.0)
    meter.consume(1.0, 1e9)
    assert meter.tat == pytest.approx(1e9 + 1000.0)


def test_beyond_the_burst_is_refused_at_once_with_the_wait() -> None:
    made = gateway()
    totals: dict[int, float] = {}
    for number in range(4):
        assert only(admit(made, START, request(f"r{number}"), totals), api.SendAttempt)
    [refused] = made.handle(START, request("r4"))
    assert isinstance(refused, api.Reject)
    assert refused.retry_after_ms == pytest.approx(1000.0)


def test_units_of_other_gateways_push_the_tat() -> None:
    made = gateway()
    totals: dict[int, float] = {}
    assert only(admit(made, START, request("r0"), totals), api.SendAttempt)
    for name in totals:
        totals[name] += 10.0
    refused = admit(made, START + 10, request("r1"), totals)
    assert only(refused, api.Reject) and not only(refused, api.SendAttempt)


def names(customer: int, period_ms: float = 4000.0) -> tuple[int, int]:
    """The counter names of the period at START and of the one before."""
    period = math.floor(START / period_ms + counter_name(customer, -1) / MAX_COUNTER_NAME)
    return counter_name(customer, period), counter_name(customer, period - 1)


def test_one_call_is_enough_while_there_is_ample_room() -> None:
    """Two calls for each rare request are more than the counter takes from hundreds of gateways."""
    made = gateway()
    [count] = only(made.handle(START, request("r0")), api.AddToCounter)
    assert (count.name, count.units) == (names(7)[0], 1.0) and 0 <= count.name < 2**63
    actions = made.handle(START + 2, api.CounterReply(count.name, api.Verdict.OK, 2.0, 1.0))
    assert only(actions, api.SendAttempt) and not only(actions, api.AddToCounter)


def test_the_old_period_is_read_where_the_customer_uses_much() -> None:
    made = gateway()
    [count] = only(made.handle(START, request("r0")), api.AddToCounter)
    [old] = made.handle(START + 2, api.CounterReply(count.name, api.Verdict.OK, 2.0, 9.0))
    assert isinstance(old, api.AddToCounter) and (old.name, old.units) == (names(7)[1], 0.0)


def test_a_new_period_reads_the_old_name_once_more() -> None:
    """Units that another gateway added near the old period's end must not be lost."""
    made = gateway()
    totals: dict[int, float] = {}
    admit(made, START, request("r0"), totals)
    totals[names(7)[0]] += 30.0
    later = START + 4000.0
    sent = sum(
        bool(only(admit(made, later + n, request(f"n{n}"), totals), api.SendAttempt)) for n in range(9)
    )
    assert sent <= PLAIN.burst - 1  # less what was used itself, until the rest is found in the old name
    assert only(admit(made, later + 9, request("r1"), totals), api.Reject)


def test_one_call_out_a_name_and_later_requests_share_the_next() -> None:
    made = gateway()
    counts = only(made.handle(START, request("r0")), api.AddToCounter)
    assert only(made.handle(START, request("r1")), api.AddToCounter) == []
    assert only(made.handle(START, request("r2")), api.AddToCounter) == []
    totals: dict[int, float] = {}
    for count in counts:
        follow = made.handle(START + 2, api.CounterReply(count.name, api.Verdict.OK, 2.0, 1.0))
    assert [c.units for c in only(follow, api.AddToCounter)] == [2.0]
    assert only(answer(made, START + 4, only(follow, api.AddToCounter), totals), api.SendAttempt)


def test_a_silent_counter_leaves_the_own_part() -> None:
    """Nobody may pass the whole quota for long while the counter says nothing."""
    made = gateway()
    sent = 0
    for step in range(200):
        now = START + step * 50.0
        actions = made.handle(now, request(f"r{step}", units=1.0))
        for count in only(actions, api.AddToCounter):
            actions = actions + made.handle(
                now + 50.0, api.CounterReply(count.name, api.Verdict.TIMEOUT, 50.0)
            )
        for send in only(actions, api.SendAttempt):
            sent += 1
            made.handle(now + 50.0, outcome(send, api.Verdict.OK))
    assert 2 <= sent <= 1 + (PLAIN.burst + PLAIN.rate * 10.0) / 2


def test_a_counter_that_forgot_never_pulls_the_tat_back() -> None:
    made = gateway()
    totals: dict[int, float] = {}
    for number in range(3):
        admit(made, START, request(f"r{number}"), totals)
    totals.clear()
    admit(made, START + 1, request("r3"), totals)
    assert only(admit(made, START + 2, request("r4"), totals), api.Reject)


def test_a_crowded_counter_is_called_less() -> None:
    """All gateways together must stay below what the counter takes; none may stay away for good."""
    made = gateway(gateway_count=300)
    calls = []
    for number in range(2000):
        now = START + number * 500.0
        for count in only(
            made.handle(now, request(f"r{number}", customer=number, spread=100)), api.AddToCounter
        ):
            calls.append(number)
            made.handle(now + 50, api.CounterReply(count.name, api.Verdict.TIMEOUT, 50.0))
    assert 20 < len(calls) < 300 and calls[-1] > 1800


def test_an_asked_try_stands_for_the_unheard_ones() -> None:
    """With only a part of the tries counted every customer looked far below its quota, and 94% conformed."""
    made = gateway(gateway_count=300)
    units = []
    for number in range(400):
        now = START + number * 500.0
        for count in only(
            made.handle(now, request(f"r{number}", customer=number, spread=100)), api.AddToCounter
        ):
            units.append(count.units)
            verdict = api.Verdict.TIMEOUT if number % 3 else api.Verdict.OK
            told = api.CounterReply(count.name, verdict, 9.0, count.units)
            for more in only(made.handle(now + 9, told), api.AddToCounter):
                made.handle(now + 9, api.CounterReply(more.name, api.Verdict.OK, 9.0, 0.0))
    assert units[0] == 1.0 and max(units) > 2.0


def test_a_refused_try_is_taken_off_the_counter() -> None:
    """A gateway that will not meet the customer again must not leave units there that nobody sent."""
    made = gateway(gateway_count=300)
    totals = {names(7)[0]: 20.0}
    actions = admit(made, START, request("r0", spread=100), totals)
    assert only(actions, api.Reject) and totals[names(7)[0]] == pytest.approx(20.0)


def test_an_unheard_customer_gets_its_first_call() -> None:
    """With a part of 1/g of the burst, under one request, nobody would pass anywhere."""
    made = gateway(gateway_count=300)
    totals: dict[int, float] = {}
    assert only(admit(made, START, request("r0", spread=200), totals), api.SendAttempt)


def test_a_headroom_below_one_request_each_goes_whole_to_some() -> None:
    """Together the gateways of a set stay under the ceiling with no word from the counter."""
    sent = 0
    for me in range(20):
        made = gateway(gateway_count=20, has_counter=False, gateway_index=me)
        for number in range(30):
            now, rid = START + number * 200.0, f"r{number}"
            actions = made.handle(now, request(rid, plan="capped", customer=9, spread=20))
            sent += len(only(actions, api.SendAttempt))
    headroom = CAPPED.ceiling_burst + CAPPED.ceiling_slack - CAPPED.burst
    assert 4 <= sent <= headroom + (CAPPED.ceiling_rate - CAPPED.rate) * 6.0


def test_after_any_ending_the_books_are_as_before() -> None:
    """The place under the open cap is given back exactly once, however a request ends."""
    plan = api.Plan("plain", rate=100.0, burst=100.0, concurrency_limit=2)
    for ending in ("ok", "left", "fail", "held"):
        made = gateway(plans=(plan,), max_attempts=1)
        totals: dict[int, float] = {}
        for number in range(12):
            now = START + number * 100.0
            if ending == "held":
                counts = only(made.handle(now, request(f"h{number}", spread=1)), api.AddToCounter)
                made.handle(now + 1, api.ClientDisconnected(f"h{number}"))
                assert not only(answer(made, now + 2, counts, totals), api.SendAttempt)
                continue
            [send] = only(admit(made, now, request(f"r{number}", spread=1), totals), api.SendAttempt)
            if ending == "left":
                made.handle(now + 5, api.ClientDisconnected(send.id))
                made.handle(now + 9, outcome(send, api.Verdict.TIMEOUT, ended=True))
            else:
                made.handle(now + 5, outcome(send, api.Verdict.OK if ending == "ok" else api.Verdict.ERROR))
        assert only(admit(made, START + 5000, request("last", spread=1), totals), api.SendAttempt)


def test_the_ceiling_is_kept_without_the_counter() -> None:
    """A restart refills nothing: unconfirmed sends fill from the instance's own start."""
    made = gateway(has_counter=False)
    sent, seconds = 0, 10
    for step in range(seconds * 100):
        now = START + step * 10.0
        for send in only(made.handle(now, request(f"r{step}", plan="capped", customer=9)), api.SendAttempt):
            sent += 1
            made.handle(now, outcome(send, api.Verdict.OK, rtt=5.0))
    part = (CAPPED.ceiling_rate - CAPPED.rate) / 2
    assert 0 < sent <= part * seconds + 1


def test_an_unknown_plan_is_named() -> None:
    with pytest.raises(ValueError, match="gold"):
        gateway().handle(START, request("r0", plan="gold"))


def test_a_report_to_come_keeps_its_entry() -> None:
    """A dropped entry's late report took the new entry's answer; who waited was lost."""
    made = gateway()
    wakes: list[api.SetTimer] = []
    for count in only(made.handle(START, request("r0")), api.AddToCounter):
        for action in made.handle(START + 1, api.CounterReply(count.name, api.Verdict.QUEUE_FULL, 1.0)):
            if isinstance(action, api.SendAttempt):
                made.handle(START + 50, outcome(action, api.Verdict.OK))
            elif isinstance(action, api.SetTimer):
                wakes.append(action)
    now = START + 60_000.0  # idle for long: the sweep runs with the next request
    actions = made.handle(now, request("late"))
    for wake in wakes:
        actions = actions + made.handle(now, api.TimerFired(wake.token))
    done: list[str] = []
    for count in only(actions, api.AddToCounter):
        answers = made.handle(now + 2, api.CounterReply(count.name, api.Verdict.OK, 2.0, count.units))
        done += [a.id for a in answers if isinstance(a, api.SendAttempt | api.Reject)]
    assert done == ["late"]


def test_a_client_with_little_time_is_not_held() -> None:
    made = gateway()
    actions = made.handle(START, request("r0", remaining=190.0))
    assert only(actions, api.SendAttempt) and not only(actions, api.AddToCounter)


def settled(made: DecisionEngine, send: api.SendAttempt, units: float) -> None:
    done = replace(outcome(send, api.Verdict.OK), true_units=units)
    made.handle(START + 50, done)


def test_a_guessed_charge_is_corrected_by_the_answer() -> None:
    """Guesses err by half and were never corrected: use beyond quotas cost 3% of the worth."""
    for true, more in ((1.0, 3), (4.0, 0)):
        made = gateway(gateway_count=1, has_counter=True)
        totals: dict[int, float] = {}
        [send] = only(admit(made, START, request("a", units=2.0, spread=1), totals), api.SendAttempt)
        settled(made, send, true)
        sent = [
            only(admit(made, START + 60, request(f"b{n}", spread=1), totals), api.SendAttempt)
            for n in range(4)
        ]
        assert sum(map(bool, sent)) == more
        if more:
            assert sum(totals.values()) == true + more


def test_what_is_given_back_under_a_ceiling_comes_out_of_its_headroom() -> None:
    """A ceiling goes by the guesses: refunds must not let more through than quota and headroom together."""
    plan = api.Plan("capped", rate=0.01, burst=10.0, ceiling_rate=0.02, ceiling_burst=14.0)
    made, totals, units = gateway(plans=(plan,), gateway_count=1), dict[int, float](), 0.0
    admit(made, START, request("r", plan="capped", units=1.0, spread=1), totals)
    for n in range(60):
        now = START + 2_000_000.0 + n * 10  # the headroom and the burst have filled
        event = request(f"r{n}", plan="capped", units=2.0, spread=1)
        for send in only(admit(made, now, event, totals), api.SendAttempt):
            units += 2.0
            made.handle(now + 5, replace(outcome(send, api.Verdict.OK), true_units=0.5))
    assert 10.0 < units <= 14.0


def test_nothing_is_given_back_while_answers_are_slow(monkeypatch: pytest.MonkeyPatch) -> None:
    """The standard overload day lost service to refunds that only lengthened its queues."""
    for calm, true, more in ((True, 1.0, 3), (False, 1.0, 2), (False, 4.0, 0)):
        made = gateway(gateway_count=1)
        totals: dict[int, float] = {}
        [send] = only(admit(made, START, request("a", units=2.0, spread=1), totals), api.SendAttempt)
        monkeypatch.setattr(made._balancer, "is_healthy", lambda now, calm=calm: calm)
        settled(made, send, true)
        sent = [
            only(admit(made, START + 60, request(f"b{n}", spread=1), totals), api.SendAttempt)
            for n in range(4)
        ]
        assert sum(map(bool, sent)) == more


def test_a_gateway_without_headroom_gives_nothing_back() -> None:
    """Its meter has no rate: a correction of nothing made its time no number, and every test passed it by."""
    plan = api.Plan("capped", rate=0.01, burst=10.0, ceiling_rate=0.02, ceiling_burst=11.0)
    made, totals = gateway(plans=(plan,), gateway_count=2, max_request_units=6.0), dict[int, float]()
    [send] = only(admit(made, START, request("a", plan="capped", units=2.0), totals), api.SendAttempt)
    settled(made, send, 0.5)
    more = [request(f"b{n}", plan="capped") for n in range(20)]
    sent = [only(admit(made, START + 60, event, totals), api.SendAttempt) for event in more]
    assert 0 < sum(map(bool, sent)) <= 8
    [customer_quota] = made._quota._quotas.values()
    assert (
        customer_quota.headroom_bucket is not None
        and customer_quota.headroom_bucket.capacity(START + 60) == 0.0
    )


def lose(made: DecisionEngine, now: float, event: api.Request) -> tuple[api.AddToCounter, list[api.Action]]:
    """Bring a request whose call to the counter gets no answer in time."""
    made._quota._call_probability = 1.0
    [call] = only(made.handle(now, event), api.AddToCounter)
    return call, made.handle(now + 50.0, api.CounterReply(call.name, api.Verdict.TIMEOUT, 50.0))


def test_units_that_may_be_under_an_old_name_hide_nobodys_under_the_new_one() -> None:
    """Carried over into the next period, they were taken off what the others had told under its name."""
    made = gateway()
    totals: dict[int, float] = {}
    admit(made, START, request("a", units=1.0), totals)
    lose(made, START + 60.0, request("b", units=2.0))
    later = START + 1.2 * made._quota._quotas[7].period_ms
    made._quota._call_probability = 1.0
    [call] = only(made.handle(later, request("c", units=1.0)), api.AddToCounter)
    customer_quota = made._quota._quotas[7]
    used, seen = customer_quota.bucket.tat, customer_quota.synchronized_at
    made.handle(later, api.CounterReply(call.name, api.Verdict.OK, 2.0, call.units + 3.0))  # three by others
    assert customer_quota.bucket.tat >= max(used, seen) + 3.0 * customer_quota.bucket.interval_ms


def test_the_closing_read_does_not_charge_own_units_that_timed_out_a_second_time() -> None:
    made = gateway()
    totals: dict[int, float] = {}
    admit(made, START, request("a", units=1.0), totals)
    lost, _ = lose(made, START + 60.0, request("b", units=2.0))
    customer_quota = made._quota._quotas[7]
    later = START + 1.2 * customer_quota.period_ms
    made._quota._call_probability = 1.0
    [call] = only(made.handle(later, request("c", units=1.0)), api.AddToCounter)
    made.handle(later, api.CounterReply(call.name, api.Verdict.OK, 2.0, call.units))
    assert customer_quota.previous_total == totals[lost.name] + lost.units


def test_what_was_sent_unheard_counts_when_the_counter_is_first_heard() -> None:
    """The first total set the arrival time by the others' units alone."""
    made = gateway()
    _, actions = lose(made, START, request("a", units=2.0))
    assert only(actions, api.SendAttempt)
    made._quota._call_probability = 1.0
    [call] = only(made.handle(START + 60.0, request("b", units=1.0)), api.AddToCounter)
    made.handle(START + 60.0, api.CounterReply(call.name, api.Verdict.OK, 2.0, call.units + 2.0))
    customer_quota = made._quota._quotas[7]
    start = (customer_quota.period - customer_quota.period_phase) * customer_quota.period_ms
    assert customer_quota.bucket.tat == pytest.approx(
        start + 2.0 * customer_quota.bucket.interval_ms, abs=100.0
    )  # some came back since


@pytest.mark.parametrize("answered", [0.0, 0.3, 1.0])
def test_the_ceiling_holds_over_all_gateways_however_many_calls_are_answered(answered: float) -> None:
    """Seven times the quota through four gateways whose calls mostly end without an answer: what each
    sends unconfirmed comes out of its part of the ceiling's headroom; without that the store is overdrawn."""
    plan = replace(CAPPED, rate=20.0, burst=28.0, ceiling_rate=32.0, ceiling_burst=45.0, ceiling_slack=6.0)
    fleet = [
        gateway(seed=me, gateway_index=me, gateway_count=4, plans=(plan,), max_request_units=6.0)
        for me in range(4)
    ]
    draw = random.Random(1)
    due: list[tuple[float, int, int, api.Event]] = []  # time, order, gateway, event
    units: dict[str, float] = {}
    totals: dict[int, float] = {}
    store = lowest = plan.ceiling_burst
    last = START
    for n in range(600):
        units[f"r{n}"] = float(draw.randint(1, 6))
        at = START + 25.0 * n
        heapq.heappush(
            due,
            (
                at,
                -n,
                draw.randrange(4),
                request(f"r{n}", plan="capped", units=units[f"r{n}"], spread=4, remaining=2000.0),
            ),
        )
    order = 0
    while due:
        now, _, me, event = heapq.heappop(due)
        for action in fleet[me].handle(now, event):
            order += 1
            match action:
                case api.SendAttempt(id=rid):
                    store += (now - last) * plan.ceiling_rate / 1000.0
                    store = min(store, plan.ceiling_burst) - units[rid]
                    lowest, last = min(lowest, store), now
                    heapq.heappush(due, (now + 30.0, order, me, outcome(action, api.Verdict.OK, rtt=30.0)))
                case api.AddToCounter(name=name, units=amount):
                    good = draw.random() < answered
                    totals[name] = totals.get(name, 0.0) + amount * good
                    total = (
                        api.CounterReply(name, api.Verdict.OK, 2.0, totals[name])
                        if good
                        else api.CounterReply(name, api.Verdict.TIMEOUT, 50.0)
                    )
                    heapq.heappush(due, (now + total.rtt_ms, order, me, total))
    assert -plan.ceiling_slack <= lowest < plan.ceiling_burst


@pytest.mark.parametrize(("takes_ms", "grows"), [(15.0, True), (40.0, False)])
def test_a_counter_that_is_slow_for_all_is_no_crowd_and_one_that_becomes_slow_is(
    takes_ms: float, grows: bool
) -> None:
    """One that never took less than 15 of 50 ms was hardly asked any more."""
    made = gateway()
    quota = made._quota
    quota._call_probability = 0.5
    for n in range(20):
        customer_quota = quota.quota_for(START, request(f"r{n}", customer=n))
        customer_quota.unreported_units = 1.0
        [call] = only(quota.synchronize(START, customer_quota), api.AddToCounter)
        quota.handle_reply(
            START, api.CounterReply(call.name, api.Verdict.OK, 15.0 if n < 5 else takes_ms, 1.0)
        )
    assert (quota._call_probability > 1.0) is grows and (quota._call_probability < 0.1) is not grows
