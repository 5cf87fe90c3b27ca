"""The core under a clock that is moved by hand: one final answer for each query, whatever happens."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import pytest

from badgeryoke.decisions import interface as api
from badgeryoke.decisions.policy.engine import Gateway
from badgeryoke.gateway.actor import Actor, Turns, WallClock
from badgeryoke.gateway.application import App
from badgeryoke.gateway.attempt import Execution, Query, Stage
from badgeryoke.gateway.dispatcher import Answer, Core, Failed, Refused, Served
from tests.support import samples
from tests.support.stand_ins import NOW_MS, settings

AIM = api.RequestClass("balance-check", 400.0, 2000.0, api.Effect.SAFE)
KEYED = api.RequestClass("load-send", 750.0, 2000.0, api.Effect.KEYED, api.Group.ALL, 1000.0)
UNSAFE = api.RequestClass("once", 750.0, 2000.0, api.Effect.UNSAFE)


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
        self.executions: list[Execution] = []

    def start(self, execution: Execution) -> None:
        self.executions.append(execution)


class NoCounter:
    def add(self, *_: object) -> None:
        raise AssertionError("no counter here")


class Bench:
    """A core with one server and no counter."""

    def __init__(self, **changes: Any) -> None:
        self.loop, self.link = FakeLoop(), Link()
        made = settings(has_counter=False, classes=(AIM, KEYED, UNSAFE), **changes)
        self.core = Core(made, 1, Turns(self.loop), self.loop.clock, lambda _: self.link, NoCounter())
        self.core.members(api.Members(api.Scope.FULL, (api.Server(1, "a", "std", 0, api.State.UP),)))
        self.answers: list[Answer] = []
        self.asked = 0

    def ask(self, cls: str = "balance-check", d: float = 2000.0, **more: Any) -> Callable[[], None]:
        self.asked += 1
        asked = Query(f"r{self.asked}", cls, "free", 5, d, 1.0, 1, **more)
        left = self.core.submit(asked, self.answers.append)
        self.loop.run()
        return left

    @property
    def last(self) -> Execution:
        return self.link.executions[-1]


def test_an_answer_that_has_begun_takes_none_of_what_servers_bear() -> None:
    """Long values held the places of queries that servers had room for."""
    made = samples.gateway(has_counter=False)
    [sent] = samples.only(made.handle(samples.START, samples.request("a", spread=1)), api.Send)
    assert made._fleet._out == 1 and made._fleet._peers[sent.server].out
    made.handle(samples.START + 10.0, api.Started("a"))
    assert made._fleet._out == 0 and not made._fleet._peers[sent.server].out
    made.handle(samples.START + 900.0, samples.outcome(sent, api.Verdict.OK, rtt=10.0))
    assert made._fleet._out == 0 and not made._jobs


def test_a_served_attempt_is_the_answer() -> None:
    bench = Bench()
    bench.ask()
    bench.last.written()
    bench.last.served(b"value", 3.0)
    bench.last.served(b"again")
    bench.loop.run(3.0)
    assert bench.answers == [Served(b"value", 3.0)] and not bench.core.unanswered


SILENT_CASES = pytest.mark.parametrize(
    ("cls", "written", "kind"),
    [
        pytest.param("balance-check", True, Refused, id="safe"),
        pytest.param("load-send", True, Refused, id="keyed at all servers"),
        pytest.param("once", True, Failed, id="unsafe, written whole"),
        pytest.param("once", False, Refused, id="unsafe, never written whole"),
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
    gateway = SimpleNamespace(
        core=bench.core,
        done=SimpleNamespace(is_set=lambda: False),
        _loop=bench.loop,
        _drained=lambda event: None,
    )
    App._wait_no_longer(gateway)  # type: ignore[arg-type]
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


@pytest.mark.parametrize("event", [api.Request, api.Outcome, api.Left])
def test_a_module_fault_costs_no_query_its_answer(event: type, monkeypatch: pytest.MonkeyPatch) -> None:
    real = Gateway.handle

    def faulty(self: Gateway, now: float, got: api.Event) -> list[api.Action]:
        if isinstance(got, event):
            raise ValueError("a fault")
        return real(self, now, got)

    monkeypatch.setattr(Gateway, "handle", faulty)
    bench = Bench()
    bench.ask()
    if bench.link.executions:
        bench.last.written()
        bench.last.error("ERR failed")
    bench.loop.run(3.0)
    assert len(bench.answers) == 1 and (bench.core.faults > 0 or event is api.Left)


def test_a_module_that_decides_nothing_is_answered_for(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Gateway, "handle", lambda *_: [])
    bench = Bench()
    bench.ask()
    bench.loop.run(1.99)
    assert [type(answer) for answer in bench.answers] == [Refused]


def test_one_attempt_at_a_time_and_none_after_the_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        Gateway,
        "handle",
        lambda self, now, got: (
            [api.Send(got.id, 1, 500.0), api.Send(got.id, 1, 500.0)] if isinstance(got, api.Request) else []
        ),
    )
    bench = Bench()
    bench.ask()
    assert len(bench.link.executions) == 1
    monkeypatch.setattr(
        Gateway,
        "handle",
        lambda self, now, got: (
            [api.Refuse(got.id), api.Send(got.id, 1, 500.0)] if isinstance(got, api.Request) else []
        ),
    )
    bench.ask()
    assert len(bench.link.executions) == 1 and len(bench.answers) == 1


def test_a_client_that_left_is_owed_nothing_and_its_attempt_is_given_up() -> None:
    bench = Bench()
    left = bench.ask()
    bench.last.written()
    released: list[bool] = []
    bench.last.on_abandon = lambda: released.append(True)
    left()
    bench.loop.run(3.0)
    assert bench.answers == [] and released == [True] and bench.last.final


def test_a_refusal_after_an_attempt_that_may_have_run_says_so() -> None:
    bench = Bench(max_attempts=1)
    bench.ask("load-send", key="k")
    bench.last.written()
    bench.last.lost("reset")
    bench.loop.run()
    assert isinstance(bench.answers[0], Refused) and bench.answers[0].may_have_run


def test_a_repeat_is_not_sent_after_its_window() -> None:
    bench = Bench()
    bench.ask("load-send", key="k", send_by_ms=NOW_MS)
    assert not bench.link.executions and len(bench.answers) == 1


def test_a_repeat_whose_connection_comes_up_after_the_window_is_not_written() -> None:
    """The window was looked at before the connection was made, which may take as long as it."""
    bench = Bench()
    bench.ask("load-send", key="k")
    assert bench.last.may_be_written(bench.loop.clock() + 1500.0)  # nothing may have run: no window yet
    bench.last.written()
    bench.last.lost("reset")
    bench.loop.run(0.1)
    assert len(bench.link.executions) == 2 and bench.last.may_be_written(NOW_MS + 900.0)
    assert not bench.last.may_be_written(NOW_MS + 1000.0)


@pytest.mark.parametrize("first", ["answer", "cancel", "deadline", "client leaves"])
def test_an_answer_and_its_time_out_in_one_turn_make_one_answer_and_one_outcome(
    first: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Whichever comes first counts, and the module hears of the same."""
    outcomes: list[api.Outcome] = []
    real = Gateway.handle

    def heard(self: Gateway, now: float, got: api.Event) -> list[api.Action]:
        if isinstance(got, api.Outcome):
            outcomes.append(got)
        return real(self, now, got)

    monkeypatch.setattr(Gateway, "handle", heard)
    bench = Bench()
    left = bench.ask("once")
    one = bench.last
    one.written()
    steps: dict[str, Callable[[], object]] = {
        "answer": lambda: one.served(b"value"),
        "cancel": lambda: bench.core.post(bench.core._act, 0.0, api.Cancel("1", 0)),
        "deadline": lambda: bench.core.post(bench.core._overdue, bench.core._running["1"]),
        "client leaves": left,
    }
    steps[first]()
    if first != "answer":
        bench.core.post(lambda: one.served(b"value"))
    else:
        for other in ("cancel", "deadline", "client leaves"):
            steps[other]()
    bench.loop.run(3.0)
    verdicts = {"answer": api.Verdict.OK, "deadline": api.Verdict.TIMEOUT}
    assert [got.verdict for got in outcomes] == [verdicts.get(first, api.Verdict.CANCELLED)]
    assert [type(got) for got in bench.answers] == {"answer": [Served], "client leaves": []}.get(
        first, [Failed]
    )
    assert not bench.core._running and len(bench.link.executions) == 1


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
        bench.core._guarantee = SimpleNamespace(draw=lambda run: False, waits=wait)  # type: ignore[assignment]
        bench.ask("once")
    safe = replace(UNSAFE, effect=api.Effect.SAFE)
    bench.core.retune(settings(has_counter=False, classes=(AIM, KEYED, safe)))
    if waits:
        bench.core.post(bench.core._turn, turn[0])
        bench.loop.run()
    else:
        bench.ask("once")
    for execution in bench.link.executions:
        execution.written()
        execution.lost("reset")
    bench.loop.run()
    assert not bench.link.executions and [type(answer) for answer in bench.answers] == [Refused]


def test_the_last_word_on_a_full_core() -> None:
    bench = Bench()
    bench.core._running.update({str(-n): None for n in range(1, 10_001)})  # type: ignore[misc]
    bench.ask()
    assert isinstance(bench.answers[0], Refused) and not bench.link.executions


def test_bodies_are_bounded() -> None:
    bench = Bench()
    for _ in range(600):
        bench.ask(body=b"x" * 65_536)
    assert sum(isinstance(answer, Refused) for answer in bench.answers) >= 600 - 512


@pytest.mark.parametrize(
    ("stage", "method", "verdict"),
    [
        (Stage.NOT_WRITTEN, "lost", api.Verdict.CONNECT_FAILED),
        (Stage.WRITTEN, "lost", api.Verdict.RESET),
        (Stage.NOT_WRITTEN, "turned_away", api.Verdict.FULL),
        (Stage.WRITTEN, "error", api.Verdict.ERROR),
        (Stage.WRITTEN, "abandon", api.Verdict.TIMEOUT),
        (Stage.NOT_WRITTEN, "abandon", api.Verdict.CONNECT_FAILED),
        ("begun", "abandon", api.Verdict.TIMEOUT),  # the rest may go out before the link hears of it
        ("begun", "lost", api.Verdict.CONNECT_FAILED),
    ],
)
def test_an_end_carries_how_far_the_attempt_had_come(stage: Any, method: str, verdict: api.Verdict) -> None:
    ends: list[Any] = []
    one = Execution(Query("r", "c", "p", 1, 1.0, 1.0, 1), 0, 1, 0.0, 1.0, lambda _, end: ends.append(end))
    if stage is Stage.WRITTEN:
        one.written()
    one.begun = stage != Stage.NOT_WRITTEN
    getattr(one, method)(api.Verdict.TIMEOUT if method == "abandon" else "why")
    one.lost("a second end does not count")
    reached = Stage.NOT_WRITTEN if stage == "begun" else stage
    assert [(end.verdict, end.reached) for end in ends] == [(verdict, reached)]


def test_a_message_that_fails_costs_none_behind_it() -> None:
    loop = FakeLoop()
    done: list[int] = []
    actor = Actor(Turns(loop))
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
    bench.core.lagged(300.0)  # one stall is no overload: an aim is 400 ms
    bench.ask()
    assert len(bench.link.executions) == 1
    for _ in range(30):
        bench.core.lagged(300.0)
    for _ in range(100):
        bench.ask()
    refused = [answer for answer in bench.answers if isinstance(answer, Refused)]
    assert len(refused) >= 80 and all(answer.retry_after_ms > 0 for answer in refused)
    for _ in range(50):
        bench.core.lagged(0.0)
    before = len(bench.link.executions)
    bench.last.served(b"value")
    bench.ask()
    assert len(bench.link.executions) == before + 1
