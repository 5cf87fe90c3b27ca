"""What one gateway of hundreds must do: it sees little of each server and of each customer."""

from __future__ import annotations

from itertools import pairwise
from typing import Any

import pytest

from badgeryoke.decisions import interface as api
from badgeryoke.decisions.policy.engine import DecisionEngine
from tests.support.samples import START, answer, gateway, only, outcome, request, server

FREE = api.Plan("plain")
FLEET = 40


def one_of_many(**changes: Any) -> DecisionEngine:
    """One of 200 gateways before forty servers, on a plan without quotas."""
    settings: dict[str, Any] = {"plans": (FREE,), "gateway_count": 200, "has_counter": False, **changes}
    return gateway([server(n) for n in range(FLEET)], **settings)


def play(made: DecisionEngine, bad: frozenset[int], tries: int, gap: float = 500.0) -> list[int]:
    """One request each gap; bad servers answer with an error.  Gives the servers of the attempts."""
    seen: list[int] = []
    for n in range(tries):
        now = START + n * gap
        todo = only(made.handle(now, request(f"r{n}")), api.SendAttempt)
        hop = 0
        while todo:
            send = todo.pop()
            seen.append(send.server)
            verdict = api.Verdict.QUEUE_FULL if send.server in bad else api.Verdict.OK
            todo = only(made.handle(now + 50, outcome(send, verdict, hop)), api.SendAttempt)
            hop += 1
    return seen


def test_a_gateway_that_sends_little_keeps_to_few_servers() -> None:
    """L725790: each of 249 gateways met each of 48 servers once in 20 s and knew none of them."""
    seen = play(one_of_many(), frozenset(), 40)
    assert len(set(seen)) <= 10


def test_gateways_keep_to_different_servers() -> None:
    firsts = {tuple(sorted(set(play(one_of_many(seed=n), frozenset(), 3)))) for n in range(20)}
    assert len(set(sum(firsts, ()))) > FLEET / 3


def test_a_server_that_fails_is_not_met_again_at_once() -> None:
    """L725790: half of the servers, jammed, were sent two thirds of what the sound ones got for 25 s."""
    bad = frozenset(range(0, FLEET, 2))
    seen = play(one_of_many(), bad, 60)
    wrong = [s for s in seen if s in bad]
    assert wrong and all(a != b for a, b in pairwise(wrong))
    assert len(wrong) < len(seen) / 2


def test_a_gateway_that_sends_much_meets_all_servers() -> None:
    assert len(set(play(one_of_many(gateway_count=3), frozenset(), 400, 10.0))) == FLEET


@pytest.mark.parametrize("verdict", [v for v in api.Verdict if v is not api.Verdict.OK])
def test_what_is_given_up_gets_its_answer_at_once(verdict: api.Verdict) -> None:
    """Every end of an attempt is followed in the same call by a further attempt or the final answer."""
    made, hop, now = one_of_many(), 0, START
    todo = only(made.handle(now, request("r0")), api.SendAttempt)
    while todo:
        now += 20
        actions = made.handle(now, outcome(todo.pop(), verdict, hop))
        hop += 1
        todo = only(actions, api.SendAttempt)
        assert any(isinstance(a, api.SendAttempt | api.Reject | api.Fail) for a in actions)
    assert made.handle(now + 9000, api.ClientDisconnected("r0")) == []


def test_a_refusal_is_given_in_the_call_that_decides_it() -> None:
    """The quota's, the open cap's, the brake's, that of no server, and that after the counter's answer."""
    by_quota = gateway(has_counter=False)
    kinds = [type(by_quota.handle(START, request(f"q{n}"))[0]) for n in range(9)]
    assert api.Reject in kinds and len(kinds) == 9
    open_cap = gateway(
        plans=(api.Plan("plain", rate=50.0, burst=50.0, concurrency_limit=1),), has_counter=False
    )
    assert only(open_cap.handle(START, request("o0")), api.SendAttempt)
    assert only(open_cap.handle(START, request("o1")), api.Reject)
    braked = one_of_many()
    endings = [braked.handle(START, request(f"b{n}")) for n in range(60)]
    assert all(any(isinstance(a, api.SendAttempt | api.Reject) for a in e) for e in endings)
    assert only(endings[-1], api.Reject)
    assert only(gateway([], plans=(FREE,)).handle(START, request("n0")), api.Reject)
    asked = gateway()
    [count] = only(asked.handle(START, request("c0")), api.AddToCounter)
    assert only(answer(asked, START + 3, [count], {count.name: 99.0}), api.Reject)


def test_a_refusal_says_when_to_come_back() -> None:
    for plans in ((FREE,), (api.Plan("plain", rate=1.0, burst=1.0),)):
        made = gateway([server(1)], plans=plans, has_counter=False, gateway_count=200)
        answers = [a for n in range(30) for a in made.handle(START, request(f"r{n}"))]
        refused = only(answers, api.Reject)
        assert refused and all(r.retry_after_ms > 0 for r in refused)


def slowed(made: DecisionEngine, rtt: float, answers: int = 20, gap: float = 400.0) -> DecisionEngine:
    """The gateway after so many answers that took this long; its own sends have ended."""
    for n in range(answers):
        for send in only(made.handle(START + n * gap, request(f"s{n}", customer=1000 + n)), api.SendAttempt):
            made.handle(START + n * gap + rtt, outcome(send, api.Verdict.OK, rtt=rtt))
    return made


def test_what_nobody_confirmed_gives_way_first_when_room_gets_short() -> None:
    """L725790: a quarter of what was sent unheard lay beyond quotas, and filled the slower half."""
    plans = (api.Plan("plain", rate=5.0, burst=20.0, over_quota_cost=0.5),)
    later = START + 20 * 400
    for rtt, sent in ((100.0, True), (500.0, False)):
        made = slowed(gateway(plans=plans, has_counter=False), rtt)
        assert bool(only(made.handle(later, request("new", customer=9)), api.SendAttempt)) is sent


def test_the_brake_acts_sooner_where_servers_are_chosen_by_chance() -> None:
    """L725790: a mean latency that a fleet with known queues bears hides jammed ones where none is known."""
    for gap, calm in ((100.0, True), (4000.0, False)):
        assert slowed(one_of_many(), 350.0, 60, gap)._balancer.is_healthy(START + 60 * gap) is calm


def test_a_gateway_shut_by_slow_answers_tries_again() -> None:
    """ied37d6: nothing confirmed, so nothing sent, so nothing learnt: 91% refused before idle servers."""
    plans = (api.Plan("plain", rate=5.0, burst=20.0, over_quota_cost=0.5),)
    made = slowed(gateway(plans=plans, has_counter=False), 500.0)
    last = START + 20 * 400
    assert only(made.handle(last, request("soon", customer=8)), api.Reject)
    assert only(made.handle(last + 5000, request("later", customer=9)), api.SendAttempt)


def test_a_failing_server_comes_back_before_all_others_have_failed() -> None:
    """L725790: all gateways left the slow half at once, and the sound half jammed in its turn."""
    seen = [
        play(one_of_many(seed=n), frozenset({play(one_of_many(seed=n), frozenset(), 1)[0]}), 400, 800.0)
        for n in range(40)
    ]
    assert any(tries.count(tries[0]) > 1 for tries in seen)


def test_a_restarted_gateway_of_few_meets_all_its_servers_at_once() -> None:
    """Its rate of sends was read too low for seconds, and it acted as one of hundreds."""
    made = one_of_many(gateway_count=3)
    seen = [
        only(made.handle(START + n * 10.0, request(f"r{n}")), api.SendAttempt)[0].server for n in range(40)
    ]
    assert len(set(seen)) > FLEET / 2


def test_a_share_read_from_few_shuts_nobody_out_that_loses_little() -> None:
    for cost, sent in ((1.2, True), (1.6, False)):
        plans = (api.Plan("plain", rate=5.0, burst=20.0, over_quota_cost=cost),)
        made = gateway(plans=plans, has_counter=False)
        assert bool(only(made.handle(START, request("r0")), api.SendAttempt)) is sent
