"""The core under a clock that is moved by hand: one final answer for each query, whatever happens."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import pytest

from badgeryoke.decisions import interface as api
from badgeryoke.decisions.policy.engine import DecisionEngine
from badgeryoke.gateway.actor import Actor, ActorScheduler
from badgeryoke.gateway.attempt import Attempt, AttemptStage, Request
from badgeryoke.gateway.dispatcher import Dispatcher
from badgeryoke.gateway.lifecycle import Lifecycle
from badgeryoke.gateway.responses import Failed, Rejected, Response, Served
from badgeryoke.gateway.wall_clock import WallClock
from tests.support import samples
from tests.support.stand_ins import NOW_MS, settings

AIM = api.RequestClass("balance-check", 400.0, 2000.0, api.Idempotency.IDEMPOTENT)
KEYED = api.RequestClass(
    "load-send", 750.0, 2000.0, api.Idempotency.WITH_KEY, api.DeduplicationScope.ALL, 1000.0
)
UNSAFE = api.RequestClass("once", 750.0, 2000.0, api.Idempotency.NOT_IDEMPOTENT)


class Handle:
    def __init__(self) -> None:
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


class FakeLoop:
    """A loop whose time passes only in run()."""

    def __init__(self) -> None:
        self._now, self._count = 0.0, 0
        self._due: list[tuple[float, int, Handle, Callable[..., object], tuple[Any, ...]]] = []

    def time(self) -> float:
        return self._now

    def clock(self) -> float:
        return NOW_MS + self._now * 1000.0

    def call_soon(self, callback: Callable[..., object], *args: Any) -> Any:
        return self.call_later(0.0, callback, *args)

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> Any:
        handle = Handle()
        self._count += 1
        heapq.heappush(self._due, (self._now + delay, self._count, handle, callback, args))
        return handle

    def run(self, seconds: float = 0.0) -> None:
        until = self._now + seconds
        while self._due and self._due[0][0] <= until:
            at, _, handle, callback, args = heapq.heappop(self._due)
            self._now = max(at, self._now)
            if not handle.cancelled:
                callback(*args)
        self._now = until


class Link:
    """A server link that keeps what it was given."""

    def __init__(self) -> None:
        self.executions: list[Attempt] = []

    def start(self, execution: Attempt) -> None:
        self.executions.append(execution)


class NoCounter:
    def add(self, *_: object) -> None:
        raise AssertionError("no counter here")


class Bench:
    """A core with one server and no counter."""

    def __init__(self, **changes: Any) -> None:
        self.loop, self.link = FakeLoop(), Link()
        made = settings(has_counter=False, classes=(AIM, KEYED, UNSAFE), **changes)
        self.core = Dispatcher(
            made, 1, ActorScheduler(self.loop), self.loop.clock, lambda _: self.link, NoCounter()
        )
        self.core.update_endpoints(
            api.EndpointList(api.ListScope.FULL, (api.Server(1, "a", "std", 0, api.EndpointState.UP),))
        )
        self.answers: list[Response] = []
        self.asked = 0

    def ask(self, cls: str = "balance-check", d: float = 2000.0, **more: Any) -> Callable[[], None]:
        self.asked += 1
        asked = Request(f"r{self.asked}", cls, "free", 5, d, 1.0, 1, **more)
        left = self.core.submit(asked, self.answers.append)
        self.loop.run()
        return left

    @property
    def last(self) -> Attempt:
        return self.link.executions[-1]


def test_an_answer_that_has_begun_takes_none_of_what_servers_bear() -> None:
    """Long values held the places of queries that servers had room for."""
    made = samples.gateway(has_counter=False)
    [sent] = samples.only(made.handle(samples.START, samples.request("a", spread=1)), api.SendAttempt)
    assert made._fleet._out == 1 and made._fleet._peers[sent.server].out
    made.handle(samples.START + 10.0, api.ResponseStarted("a"))
    assert made._fleet._out == 0 and not made._fleet._peers[sent.server].out
    made.handle(samples.START + 900.0, samples.outcome(sent, api.Verdict.OK, rtt=10.0))
    assert made._fleet._out == 0 and not made._jobs


def test_a_served_attempt_is_the_answer() -> None:
    bench = Bench()
    bench.ask()
    bench.last.written()
    bench.last.succeeded(b"value", 3.0)
    bench.last.succeeded(b"again")
    bench.loop.run(3.0)
    assert bench.answers == [Served(b"value", 3.0)] and not bench.core.unanswered


SILENT_CASES = pytest.mark.parametrize(
    ("cls", "written", "kind"),
    [
        pytest.param("balance-check", True, Rejected, id="safe"),
        pytest.param("load-send", True, Rejected, id="keyed at all servers"),
        pytest.param("once", True, Failed, id="unsafe, written whole"),
        pytest.param("once", False, Rejected, id="unsafe, never written whole"),
    ],
)


@SILENT_CASES
def test_near_sigkill_each_open_query_gets_its_answer_before_its_deadline(
    cls: str, written: bool, kind: type
) -> None:
    """A deadline may be longer than what SIGKILL counts with, and an end without an answer is a loss."""
    bench = Bench(can_cancel=False)
    bench.ask(cls, d=3300.0)
    if written:
        bench.last.written()
    bench.loop.run(1.0)
    lifecycle = SimpleNamespace(
        _parts=SimpleNamespace(dispatcher=bench.core, loop=bench.loop),
        done=SimpleNamespace(is_set=lambda: False),
        post=lambda event: None,
    )
    Lifecycle._answer_all_now(lifecycle)  # type: ignore[arg-type]
    bench.loop.run(0.01)
    assert [type(answer) for answer in bench.answers] == [kind] and not bench.core.unanswered


@SILENT_CASES
def test_the_deadline_is_kept_though_the_server_is_silent(cls: str, written: bool, kind: type) -> None:
    bench = Bench(can_cancel=False)
    bench.ask(cls)
    if written:
        bench.last.written()
    bench.loop.run(1.99)  # before the client gives up at 2 s
    assert [type(answer) for answer in bench.answers] == [kind]
    assert bench.last.ended and not bench.core.unanswered


@pytest.mark.parametrize("event", [api.Request, api.AttemptOutcome, api.ClientDisconnected])
def test_a_module_fault_costs_no_query_its_answer(event: type, monkeypatch: pytest.MonkeyPatch) -> None:
    real = DecisionEngine.handle

    def faulty(self: DecisionEngine, now: float, got: api.Event) -> list[api.Action]:
        if isinstance(got, event):
            raise ValueError("a fault")
        return real(self, now, got)

    monkeypatch.setattr(DecisionEngine, "handle", faulty)
    bench = Bench()
    bench.ask()
    if bench.link.executions:
        bench.last.written()
        bench.last.failed("ERR failed")
    bench.loop.run(3.0)
    assert len(bench.answers) == 1 and (bench.core.decision_faults > 0 or event is api.ClientDisconnected)


def test_a_module_that_decides_nothing_is_answered_for(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(DecisionEngine, "handle", lambda *_: [])
    bench = Bench()
    bench.ask()
    bench.loop.run(1.99)
    assert [type(answer) for answer in bench.answers] == [Rejected]


def test_one_attempt_at_a_time_and_none_after_the_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        DecisionEngine,
        "handle",
        lambda self, now, got: (
            [api.SendAttempt(got.id, 1, 500.0), api.SendAttempt(got.id, 1, 500.0)]
            if isinstance(got, api.Request)
            else []
        ),
    )
    bench = Bench()
    bench.ask()
    assert len(bench.link.executions) == 1
    monkeypatch.setattr(
        DecisionEngine,
        "handle",
        lambda self, now, got: (
            [api.Reject(got.id), api.SendAttempt(got.id, 1, 500.0)] if isinstance(got, api.Request) else []
        ),
    )
    bench.ask()
    assert len(bench.link.executions) == 1 and len(bench.answers) == 1


def test_a_client_that_left_is_owed_nothing_and_its_attempt_is_given_up() -> None:
    bench = Bench()
    left = bench.ask()
    bench.last.written()
    released: list[bool] = []
    bench.last.on_abort = lambda: released.append(True)
    left()
    bench.loop.run(3.0)
    assert bench.answers == [] and released == [True] and bench.last.final


def test_a_refusal_after_an_attempt_that_may_have_run_says_so() -> None:
    bench = Bench(max_attempts=1)
    bench.ask("load-send", idempotency_key="k")
    bench.last.written()
    bench.last.connection_lost("reset")
    bench.loop.run()
    assert isinstance(bench.answers[0], Rejected) and bench.answers[0].may_have_run


def test_a_repeat_is_not_sent_after_its_window() -> None:
    bench = Bench()
    bench.ask("load-send", idempotency_key="k", send_by_ms=NOW_MS)
    assert not bench.link.executions and len(bench.answers) == 1


def test_a_repeat_whose_connection_comes_up_after_the_window_is_not_written() -> None:
    """The window was looked at before the connection was made, which may take as long as it."""
    bench = Bench()
    bench.ask("load-send", idempotency_key="k")
    assert bench.last.may_be_written(bench.loop.clock() + 1500.0)  # nothing may have run: no window yet
    bench.last.written()
    bench.last.connection_lost("reset")
    bench.loop.run(0.1)
    assert len(bench.link.executions) == 2 and bench.last.may_be_written(NOW_MS + 900.0)
    assert not bench.last.may_be_written(NOW_MS + 1000.0)


@pytest.mark.parametrize("first", ["answer", "cancel", "deadline", "client leaves"])
def test_an_answer_and_its_time_out_in_one_turn_make_one_answer_and_one_outcome(
    first: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Whichever comes first counts, and the module hears of the same."""
    outcomes: list[api.AttemptOutcome] = []
    real = DecisionEngine.handle

    def heard(self: DecisionEngine, now: float, got: api.Event) -> list[api.Action]:
        if isinstance(got, api.AttemptOutcome):
            outcomes.append(got)
        return real(self, now, got)

    monkeypatch.setattr(DecisionEngine, "handle", heard)
    bench = Bench()
    left = bench.ask("once")
    one = bench.last
    one.written()
    steps: dict[str, Callable[[], object]] = {
        "answer": lambda: one.succeeded(b"value"),
        "cancel": lambda: bench.core.post(bench.core._execute, 0.0, api.CancelAttempt("1", 0)),
        "deadline": lambda: bench.core.post(bench.core._deadline_expired, bench.core._pending["1"]),
        "client leaves": left,
    }
    steps[first]()
    if first != "answer":
        bench.core.post(lambda: one.succeeded(b"value"))
    else:
        for other in ("cancel", "deadline", "client leaves"):
            steps[other]()
    bench.loop.run(3.0)
    verdicts = {"answer": api.Verdict.OK, "deadline": api.Verdict.TIMEOUT}
    assert [got.verdict for got in outcomes] == [verdicts.get(first, api.Verdict.CANCELLED)]
    assert [type(got) for got in bench.answers] == {"answer": [Served], "client leaves": []}.get(
        first, [Failed]
    )
    assert not bench.core._pending and len(bench.link.executions) == 1


@pytest.mark.parametrize("waits", [False, True])
def test_a_query_that_new_settings_overtook_is_refused_and_not_repeated_by_them(waits: bool) -> None:
    """It was checked and written by the old rule on repeats, and repeated by the new one: a class that had
    become safe to repeat got a second attempt of a request that was not."""
    bench = Bench()
    turn: list[Any] = []

    def wait(run: Any, left: float) -> bool:
        turn.append(run)
        return True

    if waits:  # for its contract's turn
        bench.core._reserved_admission = SimpleNamespace(reserve=lambda run: False, enqueue=wait)  # type: ignore[assignment]
        bench.ask("once")
    safe = replace(UNSAFE, idempotency=api.Idempotency.IDEMPOTENT)
    bench.core.update_settings(settings(has_counter=False, classes=(AIM, KEYED, safe)))
    if waits:
        bench.core.post(bench.core._reservation_wait_ended, turn[0])
        bench.loop.run()
    else:
        bench.ask("once")
    for execution in bench.link.executions:
        execution.written()
        execution.connection_lost("reset")
    bench.loop.run()
    assert not bench.link.executions and [type(answer) for answer in bench.answers] == [Rejected]


def test_the_last_word_on_a_full_core() -> None:
    bench = Bench()
    bench.core._pending.update({str(-n): None for n in range(1, 10_001)})  # type: ignore[misc]
    bench.ask()
    assert isinstance(bench.answers[0], Rejected) and not bench.link.executions


def test_bodies_are_bounded() -> None:
    bench = Bench()
    for _ in range(600):
        bench.ask(body=b"x" * 65_536)
    assert sum(isinstance(answer, Rejected) for answer in bench.answers) >= 600 - 512


@pytest.mark.parametrize(
    ("stage", "method", "verdict"),
    [
        (AttemptStage.NOT_WRITTEN, "connection_lost", api.Verdict.CONNECT_FAILED),
        (AttemptStage.WRITTEN, "connection_lost", api.Verdict.RESET),
        (AttemptStage.NOT_WRITTEN, "rejected", api.Verdict.QUEUE_FULL),
        (AttemptStage.WRITTEN, "failed", api.Verdict.ERROR),
        (AttemptStage.WRITTEN, "abort", api.Verdict.TIMEOUT),
        (AttemptStage.NOT_WRITTEN, "abort", api.Verdict.CONNECT_FAILED),
        ("begun", "abort", api.Verdict.TIMEOUT),  # the rest may go out before the link hears of it
        ("begun", "connection_lost", api.Verdict.CONNECT_FAILED),
    ],
)
def test_an_end_carries_how_far_the_attempt_had_come(stage: Any, method: str, verdict: api.Verdict) -> None:
    ends: list[Any] = []
    one = Attempt(Request("r", "c", "p", 1, 1.0, 1.0, 1), 0, 1, 0.0, 1.0, lambda _, end: ends.append(end))
    if stage is AttemptStage.WRITTEN:
        one.written()
    one.write_started = stage != AttemptStage.NOT_WRITTEN
    getattr(one, method)(api.Verdict.TIMEOUT if method == "abort" else "why")
    one.connection_lost("a second end does not count")
    reached = AttemptStage.NOT_WRITTEN if stage == "begun" else stage
    assert [(end.verdict, end.stage) for end in ends] == [(verdict, reached)]


def test_a_message_that_fails_costs_none_behind_it() -> None:
    loop = FakeLoop()
    done: list[int] = []
    actor = Actor(ActorScheduler(loop))
    actor.post(done.remove, 7)
    actor.post(done.append, 1)
    loop.run()
    assert done == [1]


def test_the_clock_follows_the_system_and_never_runs_back_nor_stands_still() -> None:
    """Set back by an hour it stood still for an hour: no quota was refilled, and all were refused."""
    at = {"mono": 0.0, "unix": 1000.0}
    clock = WallClock(lambda: at["mono"], lambda: at["unix"])
    assert clock() == 1_000_000.0
    at.update(mono=6.0, unix=900.0)  # stepped back
    assert clock() == 1_003_000.0
    at.update(mono=10.0, unix=904.0)
    assert clock() == 1_005_000.0
    at.update(mono=12.0, unix=1100.0)
    assert clock() == 1_100_000.0


def test_a_gateway_without_time_refuses_unseen_and_takes_up_again() -> None:
    """Where the event loop ran late all was decided on, and answered too late."""
    bench = Bench()
    bench.core.record_loop_lag(300.0)  # one stall is no overload: an aim is 400 ms
    bench.ask()
    assert len(bench.link.executions) == 1
    for _ in range(30):
        bench.core.record_loop_lag(300.0)
    for _ in range(100):
        bench.ask()
    refused = [answer for answer in bench.answers if isinstance(answer, Rejected)]
    assert len(refused) >= 80 and all(answer.retry_after_ms > 0 for answer in refused)
    for _ in range(50):
        bench.core.record_loop_lag(0.0)
    before = len(bench.link.executions)
    bench.last.succeeded(b"value")
    bench.ask()
    assert len(bench.link.executions) == before + 1
