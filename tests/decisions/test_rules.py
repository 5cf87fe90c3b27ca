"""The rules and the failures found, one small case each."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from badgeryoke.decisions import interface as api
from badgeryoke.decisions.policy.engine import DecisionEngine
from tests.support.samples import SETTINGS, START, admit, gateway, only, outcome, request, server

FREE = api.Plan("plain")  # a plan without a quota, for tests that are not about quotas


def free(**changes: Any) -> DecisionEngine:
    return gateway(plans=(FREE,), **changes)


def sends(made: DecisionEngine, now: float, event: api.Event) -> list[api.SendAttempt]:
    return only(made.handle(now, event), api.SendAttempt)


def test_a_good_answer_ends_a_request_and_nothing_follows() -> None:
    made = free()
    [send] = sends(made, START, request("r0"))
    assert made.handle(START + 50, outcome(send, api.Verdict.OK)) == []
    assert made.handle(START + 60, api.ClientDisconnected("r0")) == []
    assert made.handle(START + 60, outcome(send, api.Verdict.TIMEOUT, ended=True)) == []


def test_no_send_may_outlast_the_client() -> None:
    [send] = sends(free(), START, request("r0", remaining=700.0))
    assert send.timeout_ms <= 700.0


def test_the_time_out_at_the_deadline_gets_its_final_answer() -> None:
    made = free()
    [send] = sends(made, START, request("r0", cls="pay", remaining=700.0))
    last = made.handle(START + 700, outcome(send, api.Verdict.TIMEOUT, rtt=700.0))
    assert last == [api.Fail("r0")]


def test_a_client_that_left_while_held_for_the_counter_is_not_sent() -> None:
    made = gateway()
    counts = only(made.handle(START, request("r0")), api.AddToCounter)
    made.handle(START + 1, api.ClientDisconnected("r0"))
    for count in counts:
        assert (
            only(
                made.handle(START + 2, api.CounterReply(count.name, api.Verdict.OK, 2.0, 1.0)),
                api.SendAttempt,
            )
            == []
        )


def test_unsafe_goes_again_only_when_it_never_ran() -> None:
    made = free()
    [send] = sends(made, START, request("r0", cls="pay"))
    [again] = sends(made, START + 5, outcome(send, api.Verdict.QUEUE_FULL))
    assert again.server != send.server
    assert made.handle(START + 9, outcome(again, api.Verdict.RESET, 1)) == [api.Fail("r0")]


def test_keyed_stays_in_its_group_and_is_never_refused_once_it_may_have_run() -> None:
    made = free()
    zone = {1: "a", 2: "a", 3: "b", 4: "b"}
    [send] = sends(made, START, request("r0", cls="write"))
    [again] = sends(made, START + 5, outcome(send, api.Verdict.ERROR, rtt=5.0))
    assert zone[again.server] == zone[send.server]
    [third] = sends(made, START + 10, outcome(again, api.Verdict.CONNECT_FAILED, 1, rtt=5.0))
    assert zone[third.server] == zone[send.server]
    assert made.handle(START + 15, outcome(third, api.Verdict.ERROR, 2, rtt=5.0)) == [api.Fail("r0")]


def test_keyed_is_not_sent_again_after_its_window() -> None:
    made = free(classes=(replace(SETTINGS.classes[1], latency_objective_ms=9000.0, deadline_ms=9000.0),))
    [send] = sends(made, START, request("r0", cls="write", remaining=9000.0))
    late = made.handle(START + 3001, outcome(send, api.Verdict.RESET, rtt=3001.0))
    assert late == [api.Fail("r0")]


@pytest.mark.parametrize(
    ("cls", "given_up"), [("read", True), ("write", True), ("pay", False), ("short", False)]
)
def test_a_silent_attempt_is_called_off_only_where_its_class_may_be_sent_again(
    cls: str, given_up: bool
) -> None:
    short = replace(
        SETTINGS.classes[1], name="short", deduplication_window_ms=50.0
    )  # it is over before silence can be told
    made = gateway(has_counter=False, classes=(*SETTINGS.classes, short))
    actions = made.handle(START, request("a", cls))
    [wake] = only(actions, api.SetTimer)
    assert wake.at_ms < START + 4000.0
    assert bool(only(made.handle(wake.at_ms, api.TimerFired(wake.token)), api.CancelAttempt)) is given_up


@pytest.mark.parametrize("state", [api.EndpointState.DRAINING, api.EndpointState.GONE])
def test_no_send_after_word_of_a_drain(state: api.EndpointState) -> None:
    made = free(servers=[server(1), server(2)])
    made.handle(START, api.EndpointList(api.ListScope.CHANGES, (server(1, state=state),)))
    for number in range(20):
        assert all(s.server == 2 for s in sends(made, START + 1, request(f"r{number}")))


def test_a_server_missing_from_a_full_list_has_gone() -> None:
    made = free(servers=[server(1), server(2)])
    made.handle(START, api.EndpointList(api.ListScope.FULL, (server(2),)))
    assert [s.server for s in sends(made, START, request("r0"))] == [2]


def test_cold_servers_get_no_burst_at_the_gateways_own_start() -> None:
    got = 0
    for seed in range(200):
        made = free(servers=[server(1, started=START - 100)], gateway_count=200, seed=seed)
        got += len(sends(made, START + 1, request("r0")))
    assert got <= 2


def test_the_choice_is_spread_where_little_is_known() -> None:
    """Hundreds of gateways that each know a little must not all choose the server that looks best."""
    counts = {number: 0 for number in range(1, 5)}
    for seed in range(400):
        made = free(gateway_count=300, seed=seed)
        for number in range(2):
            now = START + number * 900.0
            for send in sends(made, now, request(f"r{number}")):
                counts[send.server] += number
                made.handle(now, outcome(send, api.Verdict.OK, rtt=30.0 if send.server == 1 else 60.0))
    assert max(counts.values()) <= 2 * 400 / 4


def test_the_brake_holds_over_all_servers() -> None:
    """A limit for each server comes to hundreds over all gateways: slow answers close the gateway's own."""
    made = free(servers=[server(n) for n in range(1, 41)], gateway_count=300)
    now, got = START, 0
    for number in range(200):
        now += 100.0
        out = [s for n in range(10) for s in sends(made, now, request(f"r{number}-{n}"))]
        got = len(out)
        for send in out:
            made.handle(now + 90, outcome(send, api.Verdict.OK, rtt=900.0))
    assert got <= 2


def test_a_silent_server_is_left_and_tried_again_with_one_request() -> None:
    made = free(servers=[server(1), server(2)])
    now, lost = START, {1: 0, 2: 0}
    for number in range(400):
        now += 25.0
        actions = made.handle(now, request(f"r{number}"))
        wakes = only(actions, api.SetTimer)
        for send in only(actions, api.SendAttempt):
            lost[send.server] += 1
            if send.server == 2:
                made.handle(now, outcome(send, api.Verdict.OK, rtt=40.0))
            elif wakes:
                for action in made.handle(now + 1000, api.TimerFired(wakes[0].token)):
                    assert isinstance(action, api.CancelAttempt)
                    for more in only(
                        made.handle(now + 1000, outcome(send, api.Verdict.CANCELLED, rtt=1000.0)),
                        api.SendAttempt,
                    ):
                        made.handle(now + 1000, outcome(more, api.Verdict.OK, 1, rtt=40.0))
    assert lost[1] <= 12 and lost[2] >= 380


def test_a_slow_server_that_answers_is_not_taken_for_silent() -> None:
    made = free(servers=[server(1)])
    actions = made.handle(START, request("r0"))
    [wake] = only(actions, api.SetTimer)
    [other] = sends(made, START + 100, request("r1"))
    made.handle(wake.at_ms - 10, outcome(other, api.Verdict.OK, rtt=300.0))
    assert only(made.handle(wake.at_ms, api.TimerFired(wake.token)), api.CancelAttempt) == []


def test_a_full_server_is_no_magnet() -> None:
    """A full queue answers at once; it must not look like the quickest server there is."""
    made = free(servers=[server(1), server(2)])
    now, tried = START, 0
    for number in range(200):
        now += 10.0
        for send in sends(made, now, request(f"r{number}")):
            if send.server == 1:
                tried += 1
                for more in sends(made, now, outcome(send, api.Verdict.QUEUE_FULL, rtt=1.0)):
                    made.handle(now, outcome(more, api.Verdict.OK, 1, rtt=100.0))
            else:
                made.handle(now, outcome(send, api.Verdict.OK, rtt=100.0))
    assert tried <= 20


def test_all_servers_failing_are_not_all_left() -> None:
    made = free(max_attempts=1)
    now = START
    for number in range(60):
        now += 20.0
        for send in sends(made, now, request(f"r{number}")):
            made.handle(now, outcome(send, api.Verdict.RESET, rtt=5.0))
    assert any(sends(made, now + step, request(f"x{step}")) for step in range(10))


def test_further_attempts_are_bounded_by_the_retry_budget() -> None:
    made = free()
    attempts = requests = 0
    now = START
    for number in range(400):
        now += 20.0
        requests += 1
        waiting = [(s, 0) for s in sends(made, now, request(f"r{number}"))]
        while waiting:
            send, attempt = waiting.pop()
            attempts += 1
            more = sends(made, now, outcome(send, api.Verdict.ERROR, attempt, rtt=5.0))
            waiting += [(s, attempt + 1) for s in more]
    assert requests * 1.1 < attempts <= requests * 1.4 + 21


def test_what_is_out_at_a_silent_fleet_is_bounded() -> None:
    """A surge must not overdrive servers before their first answers tell what they bear."""
    made = free()
    got = [s for n in range(500) for s in sends(made, START, request(f"r{n}"))]
    assert len(got) <= 4 * 6


def test_no_known_server_means_a_refusal() -> None:
    made = free(servers=[])
    assert only(made.handle(START, request("r0")), api.Reject)


def test_stale_timers_and_unknown_ids_do_nothing() -> None:
    made = free()
    assert made.handle(START, api.TimerFired(99)) == []
    assert made.handle(START, api.ClientDisconnected("zz")) == []
    assert made.handle(START, api.CounterReply(5, api.Verdict.OK, 1.0, 3.0)) == []
    assert made.handle(START, api.AttemptOutcome("zz", 0, 77, api.Verdict.OK, 1.0, True)) == []


def test_an_unknown_class_is_named() -> None:
    with pytest.raises(ValueError, match="video"):
        free().handle(START, request("r0", cls="video"))


@pytest.mark.parametrize(
    ("key", "value"), [("gateway_count", 0), ("max_attempts", 0), ("slow_start_fraction", -1.0)]
)
def test_impossible_settings_are_named(key: str, value: float) -> None:
    with pytest.raises(ValueError, match=key):
        replace(SETTINGS, **{key: value})  # type: ignore[arg-type]


def test_a_negative_rate_is_named() -> None:
    with pytest.raises(ValueError, match="rate"):
        api.Plan("plain", rate=-1.0, burst=1.0)


def test_same_events_same_actions() -> None:
    def run() -> list[api.Action]:
        made = gateway(seed=9)
        totals: dict[int, float] = {}
        out: list[api.Action] = []
        for number in range(300):
            now = START + number * 37.0
            actions = admit(made, now, request(f"r{number}", customer=number % 11), totals)
            out += actions
            for send in only(actions, api.SendAttempt):
                out += made.handle(now + 20, outcome(send, api.Verdict.OK, rtt=20.0))
        return out

    first = run()
    assert len(only(first, api.SendAttempt)) > 50
    assert first == run()


def test_a_long_overload_keeps_the_brake_on() -> None:
    """Slow answers for long must not raise what counts as slow: the target does not follow the latencies."""
    made = free(servers=[server(1)])
    now = START
    for number in range(600):
        now += 50.0
        for send in sends(made, now, request(f"r{number}")):
            made.handle(now + 40, outcome(send, api.Verdict.OK, rtt=600.0))
    got = [s for n in range(20) for s in sends(made, now + n, request(f"x{n}"))]
    assert 1 <= len(got) <= 2


@pytest.mark.parametrize("over_worth", [0.0, 0.2, 5.0])
def test_what_is_beyond_the_quota_is_refused_whatever_it_would_earn(over_worth: float) -> None:
    plan = api.Plan("plain", rate=1.0, burst=2.0, over_quota_value=over_worth, over_quota_cost=0.0)
    made = gateway(plans=(plan,), has_counter=False)
    sent = sum(len(sends(made, START + n, request(f"r{n}"))) for n in range(20))
    assert 1 <= sent <= 2


def test_full_connection_tables_keep_gateways_to_their_servers() -> None:
    """With hundreds of gateways every server's table fills: going round all servers gets no connection."""
    made = free(servers=[server(n) for n in range(1, 101)], gateway_count=600, max_attempts=1)
    good, now = 0, START
    for number in range(300):
        now += 200.0
        for send in sends(made, now, request(f"r{number}")):
            if send.server <= 5:
                good += number >= 200
                made.handle(now + 60, outcome(send, api.Verdict.OK))
            else:
                made.handle(now + 3, outcome(send, api.Verdict.CONNECT_FAILED, rtt=3.0))
    assert good >= 50


def test_a_limit_that_slow_answers_took_off_comes_back_with_quick_ones() -> None:
    """It came back only through answers that met it: minutes of refusals followed a stall of a second."""
    made = free()
    made._balancer._extra_concurrency = -2.0
    for n in range(200):
        now = START + 20 * n
        for send in sends(made, now, request(f"q{n}")):
            made.handle(now + 10, outcome(send, api.Verdict.OK, rtt=10.0))
    assert made._balancer._extra_concurrency >= 0


def test_a_cold_server_is_expected_to_be_slow_until_it_is_warm() -> None:
    """Unseen, it was taken to be as quick as the others, and its first requests came late."""
    cold, warm = server(2, started=START - 1.0), server(1)
    made = free(servers=[warm, cold])
    at = {n: sum(made._balancer._expected_latency(START, made._balancer._servers[n])) for n in (1, 2)}
    assert at[2] == pytest.approx(at[1] / SETTINGS.slow_start_fraction, rel=0.01)
    assert sum(made._balancer._expected_latency(START + 10_000, made._balancer._servers[2])) == pytest.approx(
        at[1]
    )


def measured() -> DecisionEngine:
    """One server, whose answers took 20 ms so far."""
    made = free(servers=[server(1)], can_cancel=False)
    for n in range(5):
        for send in sends(made, START - 100 + n, request(f"m{n}")):
            made.handle(START - 50 + n, outcome(send, api.Verdict.OK, rtt=20.0))
    return made


def test_a_jam_that_is_only_guessed_is_tried_again_and_gives_way_to_a_measure() -> None:
    """Where all servers were held to be jammed all tries were refused, and nothing told that none was."""
    made = measured()
    [send] = sends(made, START, request("r0"))
    made.handle(START + 3000, outcome(send, api.Verdict.TIMEOUT, rtt=3000.0, ended=True))
    now = START + 3001.0
    [trial] = sends(made, now, request("r1"))  # nothing was sent there for longer than an aim
    assert sends(made, now + 1, request("r2")) == []  # one at a time
    made.handle(now + 20, outcome(trial, api.Verdict.OK, rtt=20.0))
    assert len(sends(made, now + 21, request("r3"))) == 1


def test_an_attempt_that_a_later_one_overtook_tells_of_no_queue() -> None:
    """One answer lost on a connection that fell silent made its server look jammed until the deadline."""
    made = measured()
    sends(made, START, request("lost"))
    [send] = sends(made, START + 10, request("r1"))
    assert sum(made._balancer._expected_latency(START + 900, made._balancer._servers[1])) > 600
    made.handle(START + 900, outcome(send, api.Verdict.OK, rtt=50.0))
    assert sum(made._balancer._expected_latency(START + 900, made._balancer._servers[1])) < 400


def test_an_answer_lost_on_its_way_jams_no_server() -> None:
    """One attempt that timed out at its deadline kept its server out, though it had answered all others."""
    made = measured()
    [lost] = sends(made, START, request("lost"))
    [send] = sends(made, START + 10, request("r1"))
    made.handle(START + 30, outcome(send, api.Verdict.OK, rtt=20.0))
    made.handle(START + 3900, outcome(lost, api.Verdict.TIMEOUT, rtt=3900.0, ended=True))
    assert sum(made._balancer._expected_latency(START + 3900, made._balancer._servers[1])) < 200


def test_a_server_that_is_only_guessed_to_be_jammed_is_tried_beside_sound_ones() -> None:
    """It was tried only where no sound one was left: few servers bore all while the others stood idle."""
    made = free(servers=[server(1), server(2)], can_cancel=False)
    for n in range(40):
        for send in sends(made, START - 500 + 5 * n, request(f"m{n}")):
            made.handle(START - 490 + 5 * n, outcome(send, api.Verdict.OK, rtt=20.0))
    jammed = made._balancer._servers[2]
    made._balancer._record_congestion(START, jammed, 3000.0)
    jammed.last_sent_at, jammed.base_latency = (
        START,
        made._balancer._servers[1].base_latency,
    )  # as quick as the other, but for the guess
    chosen: dict[int, list[int]] = {100: [], 1200: []}
    for at, servers in chosen.items():
        for n in range(20):
            for send in sends(made, START + at + n, request(f"{at}-{n}")):
                servers.append(send.server)
                if send.server == 1:
                    made.handle(START + at + n, outcome(send, api.Verdict.OK, rtt=20.0))
    assert 2 not in chosen[100] and 2 in chosen[1200]
