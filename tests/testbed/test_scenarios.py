"""The testbed: scenario parsing and its errors, the quota checker, the counter model, the emulator and reports."""

from __future__ import annotations

import asyncio
import json
import random
from dataclasses import replace
from pathlib import Path

import pytest

from badgeryoke.testbed.checkers.quota_checker import QuotaChecker
from badgeryoke.testbed.commands import resize, summary
from badgeryoke.testbed.emulator.clients import ClientPool
from badgeryoke.testbed.emulator.resp import _parse_value
from badgeryoke.testbed.emulator.run import EmulatedRun
from badgeryoke.testbed.report.result import within_error_bounds
from badgeryoke.testbed.report.write import compare_folders, write_folder
from badgeryoke.testbed.scenario.model import Fault, PlanText, Scenario
from badgeryoke.testbed.scenario.parser import load, parse, shipped
from badgeryoke.testbed.scenario.sexpr import TextError
from badgeryoke.testbed.simulation.counter import CounterModel
from badgeryoke.testbed.simulation.world import play

PLAN = "(plan p (rate 5/s) (burst 10u))"
CUSTOMERS = "(customers 2 (plan p))"


@pytest.mark.parametrize(
    ("text", "where", "words"),
    [
        ("(scenario a (gatewys 3))", (1, 14), ("gatewys", "gateways")),
        (f"(scenario a {PLAN} {CUSTOMERS}\n (at 10 (kill counter)))", (2, 6), ("time", "'10'")),
        (f"(scenario a {PLAN} {CUSTOMERS}\n (at 10s (kil counter)))", (2, 11), ("kil", "kill")),
        (f"(scenario a {PLAN}\n (customers 2 (plan q)))", (2, 21), ("'q'",)),
        (
            f"(scenario a {PLAN} {CUSTOMERS}\n (at 1s (split counter (1) (2))))",
            (2, 9),
            ("each gateway from 1 to 3",),
        ),
        (f"(scenario a {PLAN} {CUSTOMERS}\n (length 40s) (length 40s))", (2, 15), ("twice",)),
        ("(scenario a (plan p (rate 5u) (burst 10u)))", (1, 27), ("rate", "'5u'")),
        ("(scenario a (length 7..4s))", (1, 21), ("downwards",)),
        ("(scenario a\n (length 40s)", (2, 14), (") is missing",)),
        ("(scenario a ))", (1, 14), ("unexpected",)),
        ("(scene a)", (1, 1), ("scenario",)),
    ],
)
def test_a_parse_error_states_line_column_and_word(
    text: str, where: tuple[int, int], words: tuple[str, ...]
) -> None:
    with pytest.raises(TextError) as caught:
        parse(text)
    assert (caught.value.line, caught.value.column) == where
    assert all(word in str(caught.value) for word in words)


def test_units_and_ranges_are_converted() -> None:
    scenario = parse(
        "(scenario a (length 2min) (servers 4 (work 0.5s..900ms))"
        f"{PLAN} (customers 3 (plan p) (demand 4..7x) (skew 73% every 8s))"
        "(at 1s (slow counter 7x)))"
    )
    assert scenario.length_ms == 120_000 and scenario.work_ms == (500.0, 900.0)
    assert scenario.customer_groups[0].demand == (4.0, 7.0) and scenario.customer_groups[
        0
    ].busiest == pytest.approx(0.73)
    assert scenario.faults == (Fault(1000.0, "slow", "counter", amount=7.0, line=1),)


def test_all_shipped_scenarios_are_valid_and_have_a_description() -> None:
    assert len(shipped()) >= 17 and all(load(name)[0].about for name in shipped())


def test_the_quota_checker_computes_its_figures() -> None:
    """The expected figures are computed by hand for burst 4, rate 1/s, ceiling burst 5 and ceiling rate 2/s."""
    checker = QuotaChecker((PlanText("p", 1.0, 4.0, 2.0, 5.0),), (0.0, 10_000.0))
    for number, (at, units) in enumerate([(0.0, 3), (0.0, 2), (1000.0, 2), (1000.0, 3)]):
        checker.request_sent(at, str(number), 1, "p", units, 0)
        checker.attempt_arrived(at, str(number), 1, "p", units, 0)
        checker.attempt_arrived(
            at, str(number), 1, "p", units, 1
        )  # a further attempt of the request uses no units
        checker.response_received(at, str(number), "served")
    checker.response_received(1000.0, "0", "served")
    checker.request_sent(1000.0, "x", 1, "p", 1.0, 0)
    verdict = checker.verdict()
    assert verdict.beyond_share == 0.5 and verdict.sent_of_allowed == 2.0
    assert verdict.ceiling_excess == pytest.approx(3 / 5) and verdict.ceiling_broken
    assert (verdict.unanswered, verdict.twice_answered) == (1, 1)


def make_counter(**changes: object) -> CounterModel:
    return CounterModel(replace(Scenario("c"), **changes), random.Random(1))  # type: ignore[arg-type]


def test_a_healed_split_counts_each_unit_once() -> None:
    counter = make_counter()
    counter.call(0.0, 0, 7, 5.0, 9000.0)
    counter.inject_fault(1.0, Fault(1.0, "split", "counter", ((1,), (2, 3))))
    assert counter.call(2.0, 0, 7, 1.0, 9000.0).total == 6.0
    assert counter.call(2.0, 1, 7, 2.0, 9000.0).total == 7.0
    counter.inject_fault(3.0, Fault(3.0, "heal", "counter"))
    assert counter.call(4.0, 2, 7, 0.0, 9000.0).total == 8.0


def test_a_swap_discards_all_or_the_latest_additions_and_can_be_restored() -> None:
    counter = make_counter()
    counter.call(0.0, 0, 7, 5.0, 9000.0)
    counter.call(1500.0, 0, 7, 2.0, 9000.0)
    counter.inject_fault(2000.0, Fault(2000.0, "swap", "counter", mode="forget", amount=1000.0))
    assert counter.call(2000.0, 0, 7, 0.0, 9000.0).total == 5.0
    counter.inject_fault(2100.0, Fault(2100.0, "swap", "counter"))
    assert counter.call(2100.0, 0, 7, 1.0, 9000.0).total == 1.0
    counter.inject_fault(2200.0, Fault(2200.0, "restore", "counter"))
    assert counter.call(2200.0, 0, 7, 0.0, 9000.0).total == 5.0


def test_an_overloaded_part_rejects_calls() -> None:
    counter = make_counter(counter_calls=10.0)
    call_outcomes = [counter.call(0.0, 0, 7, 1.0, 9000.0).outcome for _ in range(6)]
    assert call_outcomes == ["ok"] * 3 + ["full"] * 3


@pytest.mark.parametrize(
    ("data", "value"),
    [
        (b"$3\r\nabc\r\n", b"abc"),
        (b"*2\r\n$1\r\na\r\n-ERR x\r\n", [b"a", "-ERR x"]),
        (b"$-1\r\n", None),
        (b"+PONG\r\n", "+PONG"),
    ],
)
def test_the_emulators_resp_parser(data: bytes, value: object) -> None:
    assert _parse_value(data, 0) == (value, len(data))
    assert all(_parse_value(data[:cut], 0) is None for cut in range(len(data)))


def test_a_split_includes_all_gateways_after_a_resize() -> None:
    scenario = resize(load("counter-split")[0], 10)
    split = next(fault for fault in scenario.faults if fault.word == "split")
    assert sorted(number for group in split.groups for number in group) == list(range(1, 11))


def test_a_result_folder_has_figures_events_and_a_page(tmp_path: Path) -> None:
    text, source = load("counter-swap")
    short = replace(text, length_ms=3000.0, faults=(Fault(1000.0, "swap", "counter"),))
    result = play(short, 1)
    figures = summary(short, [result])
    for name in ("one", "two"):
        event = {"at_ms": 1001.0, "event": "belief", "gateway": 1, "belief": "swapped", "sign": "gone"}
        write_folder(tmp_path / name, short, source, [result], figures, [event])
    page = (tmp_path / "one" / "report.html").read_text()
    assert page.count("<svg") == 3 and "swapped" in page and "stated error" in page.lower()
    figures_read = json.loads((tmp_path / "one" / "figures.json").read_text())
    assert figures_read["within_stated"] is within_error_bounds(result)
    rows = compare_folders(tmp_path / "one", tmp_path / "two", tmp_path / "both.html")
    assert rows and all(row["first"] == row["second"] for row in rows)
    assert (tmp_path / "both.html").read_text().count("<svg") == 6


def test_a_gateway_process_serves_emulated_clients_and_servers(tmp_path: Path) -> None:
    """One gateway process with counter health checks on: each request gets one response, and the gateway logs the
    detected state of the counter."""
    text = replace(load("demo")[0], length_ms=1500.0, gateways=1, started=1)
    stage = EmulatedRun(text, 1, tmp_path)
    result = asyncio.run(stage.play())
    assert result.verdict.tries > 10 and stage.counts["served"] > 10
    assert result.verdict.unanswered == result.verdict.twice_answered == 0
    assert "counter believed sound" in (tmp_path / "gateway-1" / "log").read_text()
    assert stage.extra_figures()["latency_ms"]["served"]["p50"] > 0


def test_a_request_to_a_closed_port_is_lost() -> None:
    async def send_request() -> list[str]:
        outcomes: list[str] = []
        door = ClientPool(("127.0.0.1", 1))
        door.up = True
        assert door.submit(b"x", lambda kind, wait: outcomes.append(kind))
        for _ in range(50):
            await asyncio.sleep(0.01)
            if outcomes:
                break
        assert not await door.ping(0.05)
        return outcomes

    assert asyncio.run(send_request()) == ["lost"]
