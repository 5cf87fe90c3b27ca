"""The decision engine's rules for retries, deadlines, endpoint lists and load, one small case each."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from badgeryoke.decisions import interface as api
from badgeryoke.decisions.policy.engine import DecisionEngine
from tests.support.samples import SETTINGS, START, admit, gateway, only, outcome, request, server

UNLIMITED = api.Plan("plain")  # a plan without a quota, for tests that are not about quotas


def gateway_without_quota(**changes: Any) -> DecisionEngine:
    return gateway(plans=(UNLIMITED,), **changes)


def sends(engine: DecisionEngine, now: float, event: api.Event) -> list[api.SendAttempt]:
    return only(engine.handle(now, event), api.SendAttempt)


def test_a_successful_response_ends_a_request_and_nothing_follows() -> None:
    engine = gateway_without_quota()
    [send] = sends(engine, START, request("r0"))
    assert engine.handle(START + 50, outcome(send, api.Verdict.OK)) == []
    assert engine.handle(START + 60, api.ClientDisconnected("r0")) == []
    assert engine.handle(START + 60, outcome(send, api.Verdict.TIMEOUT, ended=True)) == []


def test_the_timeout_of_an_attempt_is_within_the_clients_deadline() -> None:
    [send] = sends(gateway_without_quota(), START, request("r0", remaining=700.0))
    assert send.timeout_ms <= 700.0


def test_a_timeout_at_the_deadline_gets_a_final_answer() -> None:
    engine = gateway_without_quota()
    [send] = sends(engine, START, request("r0", cls="pay", remaining=700.0))
    last = engine.handle(START + 700, outcome(send, api.Verdict.TIMEOUT, rtt=700.0))
    assert last == [api.Fail("r0")]


def test_a_request_whose_client_disconnects_during_the_counter_call_is_not_sent() -> None:
    engine = gateway()
    calls = only(engine.handle(START, request("r0")), api.AddToCounter)
    engine.handle(START + 1, api.ClientDisconnected("r0"))
    for call in calls:
        assert (
            only(
                engine.handle(START + 2, api.CounterReply(call.name, api.Verdict.OK, 2.0, 1.0)),
                api.SendAttempt,
            )
            == []
        )


def test_a_not_idempotent_request_is_retried_only_if_it_was_not_executed() -> None:
    engine = gateway_without_quota()
    [send] = sends(engine, START, request("r0", cls="pay"))
    [retry] = sends(engine, START + 5, outcome(send, api.Verdict.QUEUE_FULL))
    assert retry.server != send.server
    assert engine.handle(START + 9, outcome(retry, api.Verdict.RESET, 1)) == [api.Fail("r0")]


def test_a_request_with_a_key_is_retried_in_its_zone_and_not_rejected_once_it_may_have_run() -> None:
    engine = gateway_without_quota()
    zone = {1: "a", 2: "a", 3: "b", 4: "b"}
    [send] = sends(engine, START, request("r0", cls="write"))
    [retry] = sends(engine, START + 5, outcome(send, api.Verdict.ERROR, rtt=5.0))
    assert zone[retry.server] == zone[send.server]
    [third] = sends(engine, START + 10, outcome(retry, api.Verdict.CONNECT_FAILED, 1, rtt=5.0))
    assert zone[third.server] == zone[send.server]
    assert engine.handle(START + 15, outcome(third, api.Verdict.ERROR, 2, rtt=5.0)) == [api.Fail("r0")]


def test_a_request_with_a_key_is_not_retried_after_its_deduplication_window() -> None:
    engine = gateway_without_quota(
        classes=(replace(SETTINGS.classes[1], latency_objective_ms=9000.0, deadline_ms=9000.0),)
    )
    [send] = sends(engine, START, request("r0", cls="write", remaining=9000.0))
    late = engine.handle(START + 3001, outcome(send, api.Verdict.RESET, rtt=3001.0))
    assert late == [api.Fail("r0")]


@pytest.mark.parametrize(
    ("cls", "is_cancelled"), [("read", True), ("write", True), ("pay", False), ("short", False)]
)
def test_a_silent_attempt_is_cancelled_only_if_its_class_allows_a_retry(cls: str, is_cancelled: bool) -> None:
    # The deduplication window of this class ends before silence can be detected.
    short = replace(SETTINGS.classes[1], name="short", deduplication_window_ms=50.0)
    engine = gateway(has_counter=False, classes=(*SETTINGS.classes, short))
    actions = engine.handle(START, request("a", cls))
    [timer] = only(actions, api.SetTimer)
    assert timer.at_ms < START + 4000.0
    assert (
        bool(only(engine.handle(timer.at_ms, api.TimerFired(timer.token)), api.CancelAttempt)) is is_cancelled
    )


@pytest.mark.parametrize("state", [api.EndpointState.DRAINING, api.EndpointState.GONE])
def test_a_draining_or_removed_server_gets_no_attempt(state: api.EndpointState) -> None:
    engine = gateway_without_quota(servers=[server(1), server(2)])
    engine.handle(START, api.EndpointList(api.ListScope.CHANGES, (server(1, state=state),)))
    for number in range(20):
        assert all(s.server == 2 for s in sends(engine, START + 1, request(f"r{number}")))


def test_a_server_missing_from_a_full_list_is_removed() -> None:
    engine = gateway_without_quota(servers=[server(1), server(2)])
    engine.handle(START, api.EndpointList(api.ListScope.FULL, (server(2),)))
    assert [s.server for s in sends(engine, START, request("r0"))] == [2]


def test_servers_in_slow_start_get_no_burst_when_the_gateways_start() -> None:
    attempts_sent = 0
    for seed in range(200):
        engine = gateway_without_quota(servers=[server(1, started=START - 100)], gateway_count=200, seed=seed)
        attempts_sent += len(sends(engine, START + 1, request("r0")))
    assert attempts_sent <= 2


def test_the_choice_is_spread_if_there_are_few_samples() -> None:
    """Hundreds of gateways with few samples each must not all choose the server that looks best."""
    counts = {number: 0 for number in range(1, 5)}
    for seed in range(400):
        engine = gateway_without_quota(gateway_count=300, seed=seed)
        for number in range(2):
            now = START + number * 900.0
            for send in sends(engine, now, request(f"r{number}")):
                counts[send.server] += number
                engine.handle(now, outcome(send, api.Verdict.OK, rtt=30.0 if send.server == 1 else 60.0))
    assert max(counts.values()) <= 2 * 400 / 4


def test_the_concurrency_limit_applies_to_all_servers_together() -> None:
    """Limits per server would add up to hundreds over all gateways; slow responses lower the gateway's limit."""
    engine = gateway_without_quota(servers=[server(n) for n in range(1, 41)], gateway_count=300)
    now, attempts_sent = START, 0
    for number in range(200):
        now += 100.0
        out = [s for n in range(10) for s in sends(engine, now, request(f"r{number}-{n}"))]
        attempts_sent = len(out)
        for send in out:
            engine.handle(now + 90, outcome(send, api.Verdict.OK, rtt=900.0))
    assert attempts_sent <= 2


def test_a_silent_server_is_avoided_and_retried_with_single_requests() -> None:
    engine = gateway_without_quota(servers=[server(1), server(2)])
    now, lost = START, {1: 0, 2: 0}
    for number in range(400):
        now += 25.0
        actions = engine.handle(now, request(f"r{number}"))
        timers = only(actions, api.SetTimer)
        for send in only(actions, api.SendAttempt):
            lost[send.server] += 1
            if send.server == 2:
                engine.handle(now, outcome(send, api.Verdict.OK, rtt=40.0))
            elif timers:
                for action in engine.handle(now + 1000, api.TimerFired(timers[0].token)):
                    assert isinstance(action, api.CancelAttempt)
                    for retry in only(
                        engine.handle(now + 1000, outcome(send, api.Verdict.CANCELLED, rtt=1000.0)),
                        api.SendAttempt,
                    ):
                        engine.handle(now + 1000, outcome(retry, api.Verdict.OK, 1, rtt=40.0))
    assert lost[1] <= 12 and lost[2] >= 380


def test_a_slow_server_that_responds_is_not_silent() -> None:
    engine = gateway_without_quota(servers=[server(1)])
    actions = engine.handle(START, request("r0"))
    [timer] = only(actions, api.SetTimer)
    [second] = sends(engine, START + 100, request("r1"))
    engine.handle(timer.at_ms - 10, outcome(second, api.Verdict.OK, rtt=300.0))
    assert only(engine.handle(timer.at_ms, api.TimerFired(timer.token)), api.CancelAttempt) == []


def test_a_server_with_a_full_queue_does_not_attract_traffic() -> None:
    """A server with a full queue responds at once; it must not look like the fastest server."""
    engine = gateway_without_quota(servers=[server(1), server(2)])
    now, tried = START, 0
    for number in range(200):
        now += 10.0
        for send in sends(engine, now, request(f"r{number}")):
            if send.server == 1:
                tried += 1
                for retry in sends(engine, now, outcome(send, api.Verdict.QUEUE_FULL, rtt=1.0)):
                    engine.handle(now, outcome(retry, api.Verdict.OK, 1, rtt=100.0))
            else:
                engine.handle(now, outcome(send, api.Verdict.OK, rtt=100.0))
    assert tried <= 20


def test_servers_still_get_attempts_if_all_of_them_fail() -> None:
    engine = gateway_without_quota(max_attempts=1)
    now = START
    for number in range(60):
        now += 20.0
        for send in sends(engine, now, request(f"r{number}")):
            engine.handle(now, outcome(send, api.Verdict.RESET, rtt=5.0))
    assert any(sends(engine, now + step, request(f"x{step}")) for step in range(10))


def test_retries_are_bounded_by_the_retry_budget() -> None:
    engine = gateway_without_quota()
    attempts = requests = 0
    now = START
    for number in range(400):
        now += 20.0
        requests += 1
        waiting = [(s, 0) for s in sends(engine, now, request(f"r{number}"))]
        while waiting:
            send, attempt = waiting.pop()
            attempts += 1
            retries = sends(engine, now, outcome(send, api.Verdict.ERROR, attempt, rtt=5.0))
            waiting += [(s, attempt + 1) for s in retries]
    assert requests * 1.1 < attempts <= requests * 1.4 + 21


def test_attempts_in_flight_at_servers_without_responses_are_bounded() -> None:
    """A surge must not overload the servers before their first responses show their capacity."""
    engine = gateway_without_quota()
    attempts_sent = [s for n in range(500) for s in sends(engine, START, request(f"r{n}"))]
    assert len(attempts_sent) <= 4 * 6


def test_a_request_is_rejected_if_there_is_no_server() -> None:
    engine = gateway_without_quota(servers=[])
    assert only(engine.handle(START, request("r0")), api.Reject)


def test_stale_timers_and_unknown_ids_do_nothing() -> None:
    engine = gateway_without_quota()
    assert engine.handle(START, api.TimerFired(99)) == []
    assert engine.handle(START, api.ClientDisconnected("zz")) == []
    assert engine.handle(START, api.CounterReply(5, api.Verdict.OK, 1.0, 3.0)) == []
    assert engine.handle(START, api.AttemptOutcome("zz", 0, 77, api.Verdict.OK, 1.0, True)) == []


def test_the_error_names_an_unknown_class() -> None:
    with pytest.raises(ValueError, match="video"):
        gateway_without_quota().handle(START, request("r0", cls="video"))


@pytest.mark.parametrize(
    ("key", "value"), [("gateway_count", 0), ("max_attempts", 0), ("slow_start_fraction", -1.0)]
)
def test_the_error_names_an_invalid_setting(key: str, value: float) -> None:
    with pytest.raises(ValueError, match=key):
        replace(SETTINGS, **{key: value})  # type: ignore[arg-type]


def test_the_error_names_a_negative_rate() -> None:
    with pytest.raises(ValueError, match="rate"):
        api.Plan("plain", rate=-1.0, burst=1.0)


def test_the_same_events_give_the_same_actions() -> None:
    def run() -> list[api.Action]:
        engine = gateway(seed=9)
        totals: dict[int, float] = {}
        out: list[api.Action] = []
        for number in range(300):
            now = START + number * 37.0
            actions = admit(engine, now, request(f"r{number}", customer=number % 11), totals)
            out += actions
            for send in only(actions, api.SendAttempt):
                out += engine.handle(now + 20, outcome(send, api.Verdict.OK, rtt=20.0))
        return out

    first = run()
    assert len(only(first, api.SendAttempt)) > 50
    assert first == run()


def test_the_concurrency_limit_stays_low_during_a_long_overload() -> None:
    """A long time of slow responses must not raise the target latency: it does not follow the latencies."""
    engine = gateway_without_quota(servers=[server(1)])
    now = START
    for number in range(600):
        now += 50.0
        for send in sends(engine, now, request(f"r{number}")):
            engine.handle(now + 40, outcome(send, api.Verdict.OK, rtt=600.0))
    attempts_sent = [s for n in range(20) for s in sends(engine, now + n, request(f"x{n}"))]
    assert 1 <= len(attempts_sent) <= 2


@pytest.mark.parametrize("over_quota_value", [0.0, 0.2, 5.0])
def test_a_request_over_quota_is_rejected_whatever_its_value(over_quota_value: float) -> None:
    plan = api.Plan("plain", rate=1.0, burst=2.0, over_quota_value=over_quota_value, over_quota_cost=0.0)
    engine = gateway(plans=(plan,), has_counter=False)
    sent = sum(len(sends(engine, START + n, request(f"r{n}"))) for n in range(20))
    assert 1 <= sent <= 2


def test_full_connection_tables_keep_gateways_to_their_servers() -> None:
    """With hundreds of gateways every server's connection table is full: other servers accept no connection."""
    engine = gateway_without_quota(
        servers=[server(n) for n in range(1, 101)], gateway_count=600, max_attempts=1
    )
    successes, now = 0, START
    for number in range(300):
        now += 200.0
        for send in sends(engine, now, request(f"r{number}")):
            if send.server <= 5:
                successes += number >= 200
                engine.handle(now + 60, outcome(send, api.Verdict.OK))
            else:
                engine.handle(now + 3, outcome(send, api.Verdict.CONNECT_FAILED, rtt=3.0))
    assert successes >= 50


def test_a_limit_lowered_by_slow_responses_recovers_with_fast_ones() -> None:
    """It recovered only by responses at the limit: a stall of one second was followed by minutes of rejections."""
    engine = gateway_without_quota()
    engine._balancer._extra_concurrency = -2.0
    for n in range(200):
        now = START + 20 * n
        for send in sends(engine, now, request(f"q{n}")):
            engine.handle(now + 10, outcome(send, api.Verdict.OK, rtt=10.0))
    assert engine._balancer._extra_concurrency >= 0


def test_the_expected_latency_of_a_server_is_higher_during_slow_start() -> None:
    """Without samples it was assumed to be as fast as the others, and its first responses were late."""
    cold, warm = server(2, started=START - 1.0), server(1)
    engine = gateway_without_quota(servers=[warm, cold])
    latency_ms = {
        n: sum(engine._balancer._expected_latency(START, engine._balancer._servers[n])) for n in (1, 2)
    }
    assert latency_ms[2] == pytest.approx(latency_ms[1] / SETTINGS.slow_start_fraction, rel=0.01)
    assert sum(
        engine._balancer._expected_latency(START + 10_000, engine._balancer._servers[2])
    ) == pytest.approx(latency_ms[1])


def measured_gateway() -> DecisionEngine:
    """Return a gateway with one server, whose responses took 20 ms so far."""
    engine = gateway_without_quota(servers=[server(1)], can_cancel=False)
    for n in range(5):
        for send in sends(engine, START - 100 + n, request(f"m{n}")):
            engine.handle(START - 50 + n, outcome(send, api.Verdict.OK, rtt=20.0))
    return engine


def test_an_estimated_queue_gets_a_trial_and_is_replaced_by_a_measurement() -> None:
    """If all servers were estimated to be congested, all requests were rejected and no response corrected it."""
    engine = measured_gateway()
    [send] = sends(engine, START, request("r0"))
    engine.handle(START + 3000, outcome(send, api.Verdict.TIMEOUT, rtt=3000.0, ended=True))
    now = START + 3001.0
    [trial] = sends(engine, now, request("r1"))  # nothing was sent for longer than a latency objective
    assert sends(engine, now + 1, request("r2")) == []  # one at a time
    engine.handle(now + 20, outcome(trial, api.Verdict.OK, rtt=20.0))
    assert len(sends(engine, now + 21, request("r3"))) == 1


def test_an_attempt_overtaken_by_a_later_one_indicates_no_queue() -> None:
    """One response lost with its connection made its server look congested until the deadline."""
    engine = measured_gateway()
    sends(engine, START, request("lost"))
    [send] = sends(engine, START + 10, request("r1"))
    assert sum(engine._balancer._expected_latency(START + 900, engine._balancer._servers[1])) > 600
    engine.handle(START + 900, outcome(send, api.Verdict.OK, rtt=50.0))
    assert sum(engine._balancer._expected_latency(START + 900, engine._balancer._servers[1])) < 400


def test_a_lost_response_does_not_make_a_server_look_congested() -> None:
    """One attempt that timed out at its deadline excluded a server that had responded to all others."""
    engine = measured_gateway()
    [lost] = sends(engine, START, request("lost"))
    [send] = sends(engine, START + 10, request("r1"))
    engine.handle(START + 30, outcome(send, api.Verdict.OK, rtt=20.0))
    engine.handle(START + 3900, outcome(lost, api.Verdict.TIMEOUT, rtt=3900.0, ended=True))
    assert sum(engine._balancer._expected_latency(START + 3900, engine._balancer._servers[1])) < 200


def test_a_server_with_an_estimated_queue_gets_trials_besides_healthy_servers() -> None:
    """It got trials only if no healthy server was left: few servers took all requests, the others were idle."""
    engine = gateway_without_quota(servers=[server(1), server(2)], can_cancel=False)
    for n in range(40):
        for send in sends(engine, START - 500 + 5 * n, request(f"m{n}")):
            engine.handle(START - 490 + 5 * n, outcome(send, api.Verdict.OK, rtt=20.0))
    congested = engine._balancer._servers[2]
    engine._balancer._record_congestion(START, congested, 3000.0)
    congested.last_sent_at, congested.base_latency = (
        START,
        engine._balancer._servers[1].base_latency,
    )  # as fast as the other, except for the estimated queue
    chosen: dict[int, list[int]] = {100: [], 1200: []}
    for offset_ms, servers in chosen.items():
        for n in range(20):
            for send in sends(engine, START + offset_ms + n, request(f"{offset_ms}-{n}")):
                servers.append(send.server)
                if send.server == 1:
                    engine.handle(START + offset_ms + n, outcome(send, api.Verdict.OK, rtt=20.0))
    assert 2 not in chosen[100] and 2 in chosen[1200]
