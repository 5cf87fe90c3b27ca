"""One gateway of hundreds: it has few samples of each server and of each customer."""

from __future__ import annotations

from itertools import pairwise
from typing import Any

import pytest

from badgeryoke.decisions import interface as api
from badgeryoke.decisions.policy.engine import DecisionEngine
from tests.support.samples import START, answer, gateway, only, outcome, request, server

UNLIMITED = api.Plan("plain")
SERVER_COUNT = 40


def gateway_of_large_fleet(**changes: Any) -> DecisionEngine:
    """Return one of 200 gateways with 40 servers and a plan without quota."""
    settings: dict[str, Any] = {"plans": (UNLIMITED,), "gateway_count": 200, "has_counter": False, **changes}
    return gateway([server(n) for n in range(SERVER_COUNT)], **settings)


def send_requests(
    engine: DecisionEngine, failing_servers: frozenset[int], request_count: int, interval_ms: float = 500.0
) -> list[int]:
    """Send one request per interval; failing servers report a full queue.  Returns the attempts' servers."""
    server_ids: list[int] = []
    for n in range(request_count):
        now = START + n * interval_ms
        pending_sends = only(engine.handle(now, request(f"r{n}")), api.SendAttempt)
        attempt = 0
        while pending_sends:
            send = pending_sends.pop()
            server_ids.append(send.server)
            verdict = api.Verdict.QUEUE_FULL if send.server in failing_servers else api.Verdict.OK
            pending_sends = only(engine.handle(now + 50, outcome(send, verdict, attempt)), api.SendAttempt)
            attempt += 1
    return server_ids


def test_a_gateway_with_a_low_send_rate_uses_few_servers() -> None:
    """Each of 249 gateways used each of 48 servers once in 20 s: too few samples of any."""
    server_ids = send_requests(gateway_of_large_fleet(), frozenset(), 40)
    assert len(set(server_ids)) <= 10


def test_gateways_use_different_servers() -> None:
    firsts = {
        tuple(sorted(set(send_requests(gateway_of_large_fleet(seed=n), frozenset(), 3)))) for n in range(20)
    }
    assert len(set(sum(firsts, ()))) > SERVER_COUNT / 3


def test_a_failing_server_gets_no_second_attempt_at_once() -> None:
    """The congested half of the servers got two thirds as many requests as the rest for 25 s."""
    failing_servers = frozenset(range(0, SERVER_COUNT, 2))
    server_ids = send_requests(gateway_of_large_fleet(), failing_servers, 60)
    failed_attempts = [s for s in server_ids if s in failing_servers]
    assert failed_attempts and all(a != b for a, b in pairwise(failed_attempts))
    assert len(failed_attempts) < len(server_ids) / 2


def test_a_gateway_with_a_high_send_rate_uses_all_servers() -> None:
    assert (
        len(set(send_requests(gateway_of_large_fleet(gateway_count=3), frozenset(), 400, 10.0)))
        == SERVER_COUNT
    )


@pytest.mark.parametrize("verdict", [v for v in api.Verdict if v is not api.Verdict.OK])
def test_a_failed_attempt_is_followed_at_once_by_a_retry_or_the_final_answer(verdict: api.Verdict) -> None:
    """The call that handles the outcome of an attempt returns a further attempt or the final answer."""
    engine, attempt, now = gateway_of_large_fleet(), 0, START
    pending_sends = only(engine.handle(now, request("r0")), api.SendAttempt)
    while pending_sends:
        now += 20
        actions = engine.handle(now, outcome(pending_sends.pop(), verdict, attempt))
        attempt += 1
        pending_sends = only(actions, api.SendAttempt)
        assert any(isinstance(a, api.SendAttempt | api.Reject | api.Fail) for a in actions)
    assert engine.handle(now + 9000, api.ClientDisconnected("r0")) == []


def test_a_rejection_is_returned_by_the_call_that_decides_it() -> None:
    """By quota, concurrency limits of plan and gateway, a missing server, and after the counter's reply."""
    by_quota = gateway(has_counter=False)
    kinds = [type(by_quota.handle(START, request(f"q{n}"))[0]) for n in range(9)]
    assert api.Reject in kinds and len(kinds) == 9
    by_concurrency_limit = gateway(
        plans=(api.Plan("plain", rate=50.0, burst=50.0, concurrency_limit=1),), has_counter=False
    )
    assert only(by_concurrency_limit.handle(START, request("o0")), api.SendAttempt)
    assert only(by_concurrency_limit.handle(START, request("o1")), api.Reject)
    limited = gateway_of_large_fleet()
    endings = [limited.handle(START, request(f"b{n}")) for n in range(60)]
    assert all(any(isinstance(a, api.SendAttempt | api.Reject) for a in e) for e in endings)
    assert only(endings[-1], api.Reject)
    assert only(gateway([], plans=(UNLIMITED,)).handle(START, request("n0")), api.Reject)
    by_counter = gateway()
    [count] = only(by_counter.handle(START, request("c0")), api.AddToCounter)
    assert only(answer(by_counter, START + 3, [count], {count.name: 99.0}), api.Reject)


def test_a_rejection_has_a_retry_after_time() -> None:
    for plans in ((UNLIMITED,), (api.Plan("plain", rate=1.0, burst=1.0),)):
        engine = gateway([server(1)], plans=plans, has_counter=False, gateway_count=200)
        actions = [a for n in range(30) for a in engine.handle(START, request(f"r{n}"))]
        rejections = only(actions, api.Reject)
        assert rejections and all(r.retry_after_ms > 0 for r in rejections)


def after_responses(
    engine: DecisionEngine, rtt_ms: float, response_count: int = 20, interval_ms: float = 400.0
) -> DecisionEngine:
    """Return the gateway after a number of responses with this latency; no attempt is in flight."""
    for n in range(response_count):
        for send in only(
            engine.handle(START + n * interval_ms, request(f"s{n}", customer=1000 + n)), api.SendAttempt
        ):
            engine.handle(START + n * interval_ms + rtt_ms, outcome(send, api.Verdict.OK, rtt=rtt_ms))
    return engine


def test_unconfirmed_requests_are_shed_first_under_overload() -> None:
    """A quarter of the unconfirmed sends was over quota and overloaded the slower servers."""
    plans = (api.Plan("plain", rate=5.0, burst=20.0, over_quota_cost=0.5),)
    now = START + 20 * 400
    for rtt_ms, sent in ((100.0, True), (500.0, False)):
        engine = after_responses(gateway(plans=plans, has_counter=False), rtt_ms)
        assert bool(only(engine.handle(now, request("new", customer=9)), api.SendAttempt)) is sent


def test_the_healthy_latency_is_lower_if_servers_are_chosen_at_random() -> None:
    """A mean latency that is healthy with known queues hid congested servers."""
    for interval_ms, is_healthy in ((100.0, True), (4000.0, False)):
        assert (
            after_responses(gateway_of_large_fleet(), 350.0, 60, interval_ms)._balancer.is_healthy(
                START + 60 * interval_ms
            )
            is is_healthy
        )


def test_a_gateway_that_sheds_all_load_sends_a_trial() -> None:
    """Unconfirmed requests were not sent, so no response showed the recovery: 91% were rejected."""
    plans = (api.Plan("plain", rate=5.0, burst=20.0, over_quota_cost=0.5),)
    engine = after_responses(gateway(plans=plans, has_counter=False), 500.0)
    last = START + 20 * 400
    assert only(engine.handle(last, request("soon", customer=8)), api.Reject)
    assert only(engine.handle(last + 5000, request("later", customer=9)), api.SendAttempt)


def test_a_failing_server_is_tried_again_before_all_others_have_failed() -> None:
    """All gateways left the slow half of the servers at once and overloaded the other half."""
    runs = [
        send_requests(
            gateway_of_large_fleet(seed=n),
            frozenset({send_requests(gateway_of_large_fleet(seed=n), frozenset(), 1)[0]}),
            400,
            800.0,
        )
        for n in range(40)
    ]
    assert any(server_ids.count(server_ids[0]) > 1 for server_ids in runs)


def test_a_restarted_gateway_of_a_small_fleet_uses_all_servers_at_once() -> None:
    """Its send rate was measured too low for seconds, and it used few servers like one of hundreds."""
    engine = gateway_of_large_fleet(gateway_count=3)
    server_ids = [
        only(engine.handle(START + n * 10.0, request(f"r{n}")), api.SendAttempt)[0].server for n in range(40)
    ]
    assert len(set(server_ids)) > SERVER_COUNT / 2


def test_a_conformance_estimated_from_few_replies_does_not_block_sends_of_little_loss() -> None:
    for cost, sent in ((1.2, True), (1.6, False)):
        plans = (api.Plan("plain", rate=5.0, burst=20.0, over_quota_cost=cost),)
        engine = gateway(plans=plans, has_counter=False)
        assert bool(only(engine.handle(START, request("r0")), api.SendAttempt)) is sent
