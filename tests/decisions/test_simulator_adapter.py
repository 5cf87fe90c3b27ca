"""The simulator adapter, tested with hand-written lines of its protocol."""

from __future__ import annotations

import io
import json
import re
import subprocess
import sys
from typing import Any

import pytest

from badgeryoke.decisions.simulator_adapter import WireError, serve
from tests.support.paths import ROOT

PARAMS: dict[str, Any] = {
    "instances": 2,
    "me": 0,
    "zone": "a",
    "tick_ms": 2.0,
    "some_new_key": [1],
    "discovery": "automatic",
    "classes": [
        {"name": "read", "slo_ms": 1000.0, "deadline_ms": 4000.0, "idempotency": "idempotent", "worth": 1.0}
    ],
    "contracts": [
        {
            "name": "plain",
            "units_per_s": 1.0,
            "most_at_once": 4.0,
            "open": 0,
            "worth_factor": 1.0,
            "over_worth": 0.0,
            "beyond_costs": 0.0,
        }
    ],
    "family_info": {"has_counter": True, "counter_timeout_ms": 50.0, "max_units": 1},
    "feedback": {"fields": [], "how": "none"},
    "policy_limits": {
        "try_limit": 3,
        "cancelling": False,
        "max_retry_after_ms": 0.0,
        "dial_timeout_ms": 250.0,
        "conn_idle_ms": 30000.0,
    },
    "rules": {
        "answer_slack_ms": 8.0,
        "cold_from": 1.0,
        "warm_within_ms": 0.0,
        "fall_multiple": 1.0,
        "overload_for_ms": 1000.0,
    },
}


def up(door: str, seed: int = 1) -> list[str]:
    return [
        f"UP door={door} init_seed={seed} params={json.dumps(PARAMS)}",
        "TABLE roster_id=0 entries=2",
        "BACKEND backend=11 zone=a kind=std cohort=0 condition=U size=1",
        "BACKEND backend=22 zone=b kind=std cohort=0 condition=U size=1.5 born_ms=10.0 novelty=5",
        f"UPDATE door={door} scope=warm_copy index=4 roster_id=0",
    ]


def request_line(door: str, request_id: str, customer: int = 5) -> str:
    return (
        f"QUERY caller={customer} door={door} rid={request_id} cls=read grade_of_service=plain "
        "remaining_ms=900.0 cost_units=1 spread=2 from_no=0"
    )


def run_batches(*batches: list[str]) -> list[list[str]]:
    text = "".join(
        "\n".join([f"BATCH t_ms={9000 + 5 * n}", *lines, "YOUR_TURN", ""]) + "\n"
        for n, lines in enumerate(batches)
    )
    sink = io.StringIO()
    serve(io.StringIO(text), sink)
    return [part.strip().splitlines() for part in sink.getvalue().split("READY\n")[:-1]]


def test_an_empty_batch_gets_an_empty_reply() -> None:
    sink = io.StringIO()
    serve(io.StringIO("BATCH t_ms=8412.25\nYOUR_TURN\n"), sink)
    assert sink.getvalue() == "READY\n"


def test_a_request_is_reported_to_the_counter_and_then_sent() -> None:
    first_reply = run_batches([*up("door/0"), request_line("door/0", "00ff00ff00ff00ff")])[0]
    counter_names = [re.search(r"cname=(\d+)", line) for line in first_reply]
    assert [line.split()[0] for line in first_reply] == ["POST_AMOUNT"]
    totals = [
        f"TOTAL door=door/0 cname={m.group(1)} result_value={n} rtt_ms=2.15 verdict=Ok"
        for n, m in enumerate(counter_names)
        if m
    ]
    second_reply = run_batches([*up("door/0"), request_line("door/0", "00ff00ff00ff00ff")], totals)[1]
    assert second_reply[0].startswith("HAND_OFF door=door/0 rid=00ff00ff00ff00ff timeout_ms=")
    assert second_reply[0].endswith(("backend=11", "backend=22"))


@pytest.mark.parametrize(
    ("line", "expected_text"),
    [
        ("QUERY door=door/0 rid=aa cls=read", "grade_of_service"),
        ("TICK_DUE door=door/0 name=x1", "whole number"),
        ("NONSENSE door=door/0", "NONSENSE"),
        ("COMPLETED door=door/0 rid=aa hop=0 backend=1 verdict=Odd rtt_ms=1", "one of Ok"),
        ("LAPSED", "door"),
        ("UPDATE door=door/0 scope=total index=1 roster_id=9", "roster_id"),
    ],
)
def test_the_error_names_a_malformed_line(line: str, expected_text: str) -> None:
    with pytest.raises(WireError, match="line 7: ") as raised:
        run_batches([*up("door/0"), line])
    assert expected_text in str(raised.value)


def test_an_exception_in_the_engine_is_reported_with_die() -> None:
    invalid = request_line("door/0", "aa").replace("cls=read", "cls=video")
    [reply] = run_batches([*up("door/0"), invalid])
    assert len(reply) == 1 and reply[0].startswith("DIE door=door/0 text=ValueError: class 'video'")


def test_the_error_names_a_missing_setting() -> None:
    line = 'UP door=door/0 init_seed=1 params={"me": 0}'
    [reply] = run_batches([line])
    assert reply == ["DIE door=door/0 text=ValueError: setting policy_limits: missing"]


def test_a_detached_gateway_is_removed() -> None:
    assert run_batches([*up("door/0"), "DETACH door=door/0", request_line("door/0", "aa")]) == [[]]


def test_the_process_exits_with_0_at_the_end_and_with_an_error_on_a_malformed_line() -> None:
    valid = subprocess.run(
        [sys.executable, "-m", "badgeryoke.decisions.simulator_adapter"],
        input="BATCH t_ms=1\nYOUR_TURN\n",
        capture_output=True,
        text=True,
        cwd=ROOT,
        check=False,
    )
    assert (valid.returncode, valid.stdout, valid.stderr) == (0, "READY\n", "")
    invalid = subprocess.run(
        [sys.executable, "-m", "badgeryoke.decisions.simulator_adapter"],
        input="BATCH t_ms=soon\n",
        capture_output=True,
        text=True,
        cwd=ROOT,
        check=False,
    )
    assert invalid.returncode != 0
    assert invalid.stderr.strip() == "badgeryoke: line 1: field t_ms: expected a number, got 'soon'"


def test_one_process_with_three_gateways_replies_like_three_processes() -> None:
    doors = [f"door/{n}" for n in range(3)]
    setup = [line for n, door in enumerate(doors) for line in up(door, seed=n)]
    batches = [setup] + [
        [request_line(door, f"{n:016x}", customer=n % 4) for door in doors] for n in range(40)
    ]
    combined = run_batches(*batches)
    for door in doors:
        single = run_batches(
            *[
                [line for line in batch if "door=" not in line or f"door={door} " in f"{line} "]
                for batch in batches
            ]
        )
        assert single == [[line for line in reply if f"door={door} " in line] for reply in combined]
    assert sum(map(len, combined)) > 10
