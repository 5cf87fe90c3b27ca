"""The dispatcher gives exactly one final response to each request, whatever faults occur."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import pytest

from badgeryoke.decisions import interface as api
from badgeryoke.decisions.policy.engine import DecisionEngine
from badgeryoke.gateway.actor import Actor, ActorScheduler
from badgeryoke.gateway.attempt import Attempt, AttemptStage, Request
from badgeryoke.gateway.lifecycle import Lifecycle
from badgeryoke.gateway.responses import Failed, Rejected, Served
from badgeryoke.gateway.wall_clock import WallClock
from tests.support import samples
from tests.support.dispatcher_bench import (
    IDEMPOTENT_CLASS,
    KEYED_CLASS,
    NOT_IDEMPOTENT_CLASS,
    DispatcherBench,
    FakeLoop,
)
from tests.support.stand_ins import NOW_MS, settings


def test_a_started_response_uses_no_server_capacity() -> None:
    """Regression: streamed responses took up server capacity until they were delivered."""
    engine = samples.gateway(has_counter=False)
    [sent] = samples.only(engine.handle(samples.START, samples.request("a", spread=1)), api.SendAttempt)
    assert engine._balancer._in_flight == 1 and engine._balancer._servers[sent.server].in_flight
    engine.handle(samples.START + 10.0, api.ResponseStarted("a"))
    assert engine._balancer._in_flight == 0 and not engine._balancer._servers[sent.server].in_flight
    engine.handle(samples.START + 900.0, samples.outcome(sent, api.Verdict.OK, rtt=10.0))
    assert engine._balancer._in_flight == 0 and not engine._pending


def test_a_succeeded_attempt_gives_the_final_response_once() -> None:
    bench = DispatcherBench()
    bench.submit()
    bench.last_attempt.written()
    bench.last_attempt.succeeded(b"value", 3.0)
    bench.last_attempt.succeeded(b"again")
    bench.loop.run(3.0)
    assert bench.responses == [Served(b"value", 3.0)] and not bench.dispatcher.unanswered


SILENT_CASES = pytest.mark.parametrize(
    ("class_name", "written", "response_type"),
    [
        pytest.param("balance-check", True, Rejected, id="idempotent"),
        pytest.param("load-send", True, Rejected, id="with a key, deduplicated by all servers"),
        pytest.param("once", True, Failed, id="not idempotent, written completely"),
        pytest.param("once", False, Rejected, id="not idempotent, never written completely"),
    ],
)


@SILENT_CASES
def test_near_sigkill_each_pending_request_gets_its_response_before_its_deadline(
    class_name: str, written: bool, response_type: type
) -> None:
    """A deadline may lie after SIGKILL, and a request without a response at the end is lost."""
    bench = DispatcherBench(can_cancel=False)
    bench.submit(class_name, d=3300.0)
    if written:
        bench.last_attempt.written()
    bench.loop.run(1.0)
    lifecycle = SimpleNamespace(
        _parts=SimpleNamespace(dispatcher=bench.dispatcher, loop=bench.loop),
        done=SimpleNamespace(is_set=lambda: False),
        post=lambda event: None,
    )
    Lifecycle._answer_all_now(lifecycle)  # type: ignore[arg-type]
    bench.loop.run(0.01)
    assert [type(answer) for answer in bench.responses] == [response_type] and not bench.dispatcher.unanswered


@SILENT_CASES
def test_the_deadline_is_kept_when_the_server_is_silent(
    class_name: str, written: bool, response_type: type
) -> None:
    bench = DispatcherBench(can_cancel=False)
    bench.submit(class_name)
    if written:
        bench.last_attempt.written()
    bench.loop.run(1.99)  # before the client gives up at 2 s
    assert [type(answer) for answer in bench.responses] == [response_type]
    assert bench.last_attempt.ended and not bench.dispatcher.unanswered


@pytest.mark.parametrize("event", [api.Request, api.AttemptOutcome, api.ClientDisconnected])
def test_a_decision_module_fault_costs_no_request_its_response(
    event: type, monkeypatch: pytest.MonkeyPatch
) -> None:
    real_handle = DecisionEngine.handle

    def failing_handle(self: DecisionEngine, now: float, received: api.Event) -> list[api.Action]:
        if isinstance(received, event):
            raise ValueError("a fault")
        return real_handle(self, now, received)

    monkeypatch.setattr(DecisionEngine, "handle", failing_handle)
    bench = DispatcherBench()
    bench.submit()
    if bench.upstream.attempts:
        bench.last_attempt.written()
        bench.last_attempt.failed("ERR failed")
    bench.loop.run(3.0)
    assert len(bench.responses) == 1 and (
        bench.dispatcher.decision_faults > 0 or event is api.ClientDisconnected
    )


def test_a_request_without_a_decision_is_rejected_at_its_deadline(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(DecisionEngine, "handle", lambda *_: [])
    bench = DispatcherBench()
    bench.submit()
    bench.loop.run(1.99)
    assert [type(answer) for answer in bench.responses] == [Rejected]


def test_one_attempt_at_a_time_and_none_after_the_response(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        DecisionEngine,
        "handle",
        lambda self, now, event: (
            [api.SendAttempt(event.id, 1, 500.0), api.SendAttempt(event.id, 1, 500.0)]
            if isinstance(event, api.Request)
            else []
        ),
    )
    bench = DispatcherBench()
    bench.submit()
    assert len(bench.upstream.attempts) == 1
    monkeypatch.setattr(
        DecisionEngine,
        "handle",
        lambda self, now, event: (
            [api.Reject(event.id), api.SendAttempt(event.id, 1, 500.0)]
            if isinstance(event, api.Request)
            else []
        ),
    )
    bench.submit()
    assert len(bench.upstream.attempts) == 1 and len(bench.responses) == 1


def test_a_disconnected_client_gets_no_response_and_its_attempt_is_aborted() -> None:
    bench = DispatcherBench()
    disconnect = bench.submit()
    bench.last_attempt.written()
    released: list[bool] = []
    bench.last_attempt.on_abort = lambda: released.append(True)
    disconnect()
    bench.loop.run(3.0)
    assert bench.responses == [] and released == [True] and bench.last_attempt.final


def test_a_rejection_after_an_attempt_that_may_have_run_says_so() -> None:
    bench = DispatcherBench(max_attempts=1)
    bench.submit("load-send", idempotency_key="k")
    bench.last_attempt.written()
    bench.last_attempt.connection_lost("reset")
    bench.loop.run()
    assert isinstance(bench.responses[0], Rejected) and bench.responses[0].may_have_run


def test_no_attempt_is_sent_after_its_send_by_time() -> None:
    bench = DispatcherBench()
    bench.submit("load-send", idempotency_key="k", send_by_ms=NOW_MS)
    assert not bench.upstream.attempts and len(bench.responses) == 1


def test_a_retry_is_not_written_after_the_deduplication_window() -> None:
    """Regression: the window was checked before connecting, which may take as long as the window."""
    bench = DispatcherBench()
    bench.submit("load-send", idempotency_key="k")
    assert bench.last_attempt.may_be_written(
        bench.loop.clock() + 1500.0
    )  # nothing may have run: no window yet
    bench.last_attempt.written()
    bench.last_attempt.connection_lost("reset")
    bench.loop.run(0.1)
    assert len(bench.upstream.attempts) == 2 and bench.last_attempt.may_be_written(NOW_MS + 900.0)
    assert not bench.last_attempt.may_be_written(NOW_MS + 1000.0)


@pytest.mark.parametrize("first_step", ["answer", "cancel", "deadline", "client disconnects"])
def test_a_response_and_a_timeout_in_one_batch_make_one_response_and_one_outcome(
    first_step: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The first of the two counts, and the decision module gets the same outcome."""
    outcomes: list[api.AttemptOutcome] = []
    real_handle = DecisionEngine.handle

    def recording_handle(self: DecisionEngine, now: float, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.AttemptOutcome):
            outcomes.append(event)
        return real_handle(self, now, event)

    monkeypatch.setattr(DecisionEngine, "handle", recording_handle)
    bench = DispatcherBench()
    disconnect = bench.submit("once")
    attempt = bench.last_attempt
    attempt.written()
    steps: dict[str, Callable[[], object]] = {
        "answer": lambda: attempt.succeeded(b"value"),
        "cancel": lambda: bench.dispatcher.post(bench.dispatcher._execute, 0.0, api.CancelAttempt("1", 0)),
        "deadline": lambda: bench.dispatcher.post(
            bench.dispatcher._deadline_expired, bench.dispatcher._pending["1"]
        ),
        "client disconnects": disconnect,
    }
    steps[first_step]()
    if first_step != "answer":
        bench.dispatcher.post(lambda: attempt.succeeded(b"value"))
    else:
        for step in ("cancel", "deadline", "client disconnects"):
            steps[step]()
    bench.loop.run(3.0)
    verdicts = {"answer": api.Verdict.OK, "deadline": api.Verdict.TIMEOUT}
    assert [outcome.verdict for outcome in outcomes] == [verdicts.get(first_step, api.Verdict.CANCELLED)]
    assert [type(response) for response in bench.responses] == {
        "answer": [Served],
        "client disconnects": [],
    }.get(first_step, [Failed])
    assert not bench.dispatcher._pending and len(bench.upstream.attempts) == 1


@pytest.mark.parametrize(
    "reserved_wait",
    [pytest.param(False, id="before the decision"), pytest.param(True, id="while waiting for units")],
)
def test_a_request_overtaken_by_new_settings_is_rejected_and_not_retried(reserved_wait: bool) -> None:
    """Regression: the request was validated and written by the old rule on retries and retried by the new one, so
    that a request that was not idempotent got a second attempt once its class had become idempotent."""
    bench = DispatcherBench()
    waiting: list[Any] = []

    def wait(pending: Any, remaining_ms: float) -> bool:
        waiting.append(pending)
        return True

    if reserved_wait:  # for reserved units
        bench.dispatcher._reserved_admission = SimpleNamespace(reserve=lambda pending: False, enqueue=wait)  # type: ignore[assignment]
        bench.submit("once")
    idempotent = replace(NOT_IDEMPOTENT_CLASS, idempotency=api.Idempotency.IDEMPOTENT)
    bench.dispatcher.update_settings(
        settings(has_counter=False, classes=(IDEMPOTENT_CLASS, KEYED_CLASS, idempotent))
    )
    if reserved_wait:
        bench.dispatcher.post(bench.dispatcher._reservation_wait_ended, waiting[0])
        bench.loop.run()
    else:
        bench.submit("once")
    for attempt in bench.upstream.attempts:
        attempt.written()
        attempt.connection_lost("reset")
    bench.loop.run()
    assert not bench.upstream.attempts and [type(answer) for answer in bench.responses] == [Rejected]


def test_a_full_dispatcher_rejects_without_an_attempt() -> None:
    bench = DispatcherBench()
    bench.dispatcher._pending.update({str(-n): None for n in range(1, 10_001)})  # type: ignore[misc]
    bench.submit()
    assert isinstance(bench.responses[0], Rejected) and not bench.upstream.attempts


def test_the_bodies_of_pending_requests_are_bounded() -> None:
    bench = DispatcherBench()
    for _ in range(600):
        bench.submit(body=b"x" * 65_536)
    assert sum(isinstance(answer, Rejected) for answer in bench.responses) >= 600 - 512


@pytest.mark.parametrize(
    ("stage", "method", "verdict"),
    [
        (AttemptStage.NOT_WRITTEN, "connection_lost", api.Verdict.CONNECT_FAILED),
        (AttemptStage.WRITTEN, "connection_lost", api.Verdict.RESET),
        (AttemptStage.NOT_WRITTEN, "rejected", api.Verdict.QUEUE_FULL),
        (AttemptStage.WRITTEN, "failed", api.Verdict.ERROR),
        (AttemptStage.WRITTEN, "abort", api.Verdict.TIMEOUT),
        (AttemptStage.NOT_WRITTEN, "abort", api.Verdict.CONNECT_FAILED),
        (
            "write started",
            "abort",
            api.Verdict.TIMEOUT,
        ),  # the rest may be sent before the upstream is notified
        ("write started", "connection_lost", api.Verdict.CONNECT_FAILED),
    ],
)
def test_the_verdict_of_an_ended_attempt_depends_on_its_stage(
    stage: Any, method: str, verdict: api.Verdict
) -> None:
    ends: list[Any] = []
    attempt = Attempt(Request("r", "c", "p", 1, 1.0, 1.0, 1), 0, 1, 0.0, 1.0, lambda _, end: ends.append(end))
    if stage is AttemptStage.WRITTEN:
        attempt.written()
    attempt.write_started = stage != AttemptStage.NOT_WRITTEN
    getattr(attempt, method)(api.Verdict.TIMEOUT if method == "abort" else "why")
    attempt.connection_lost("a second end does not count")
    expected_stage = AttemptStage.NOT_WRITTEN if stage == "write started" else stage
    assert [(end.verdict, end.stage) for end in ends] == [(verdict, expected_stage)]


def test_a_failing_message_does_not_affect_later_messages() -> None:
    loop = FakeLoop()
    handled: list[int] = []
    actor = Actor(ActorScheduler(loop))
    actor.post(handled.remove, 7)
    actor.post(handled.append, 1)
    loop.run()
    assert handled == [1]


def test_the_wall_clock_follows_system_time_and_never_runs_back_or_stands_still() -> None:
    """Regression: after a step back by an hour the clock stood still for an hour: no quota was refilled, and all
    requests were rejected."""
    clock_s = {"mono": 0.0, "unix": 1000.0}
    clock = WallClock(lambda: clock_s["mono"], lambda: clock_s["unix"])
    assert clock() == 1_000_000.0
    clock_s.update(mono=6.0, unix=900.0)  # stepped back
    assert clock() == 1_003_000.0
    clock_s.update(mono=10.0, unix=904.0)
    assert clock() == 1_005_000.0
    clock_s.update(mono=12.0, unix=1100.0)
    assert clock() == 1_100_000.0


def test_loop_lag_sheds_load_until_it_is_over() -> None:
    """Regression: while the event loop lagged, all requests were still decided on and answered too late."""
    bench = DispatcherBench()
    bench.dispatcher.record_loop_lag(300.0)  # a single stall is not an overload: the objective is 400 ms
    bench.submit()
    assert len(bench.upstream.attempts) == 1
    for _ in range(30):
        bench.dispatcher.record_loop_lag(300.0)
    for _ in range(100):
        bench.submit()
    rejected = [answer for answer in bench.responses if isinstance(answer, Rejected)]
    assert len(rejected) >= 80 and all(answer.retry_after_ms > 0 for answer in rejected)
    for _ in range(50):
        bench.dispatcher.record_loop_lag(0.0)
    before = len(bench.upstream.attempts)
    bench.last_attempt.succeeded(b"value")
    bench.submit()
    assert len(bench.upstream.attempts) == before + 1
