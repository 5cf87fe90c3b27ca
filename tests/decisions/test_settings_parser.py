"""Settings of any customer: what cannot be gone by names its key, at the start and at SIGHUP; the rest is
taken."""

from __future__ import annotations

import asyncio
import copy
import json
import logging
import math
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from badgeryoke.decisions import interface as api
from badgeryoke.decisions.settings_parser import KNOWN_KEYS, parse_settings, unknown_keys
from badgeryoke.gateway.application import GatewayApplication
from badgeryoke.gateway.config.errors import ConfigError
from badgeryoke.gateway.config.model import Config
from badgeryoke.gateway.config.platform_file import read_config
from tests.gateway.test_reload import changed_file
from tests.support.paths import ROOT
from tests.support.running import ask, until
from tests.support.running import run_test as play
from tests.support.stand_ins import HOST, NOW_MS, Backend, Discovery, config, entry, query, roster

# Every key of the page, with another customer's figures; each kind of class and plan that there can be.
FULL: dict[str, Any] = {
    "charges": {key: 0.01 for key in KNOWN_KEYS["charges"].split()},
    "classes": [
        {
            "name": "tile-read",
            "slo_ms": 2600.0,
            "deadline_ms": 8000.0,
            "idempotency": "idempotent",
            "group": "all",
            "window_ms": 5000.0,
            "worth": 1.0,
            "late_share": 0.3,
            "stream": False,
            "aim_stretch": 2.0,
        },
        {
            "name": "tile-draw",
            "slo_ms": 4200.0,
            "deadline_ms": 12_000.0,
            "idempotency": "deduplicated",
            "group": "zone",
            "window_ms": 5000.0,
            "worth": 4.0,
            "late_share": 0.0,
            "stream": False,
        },
        {
            "name": "mark-set",
            "slo_ms": 900.0,
            "deadline_ms": 3000.0,
            "idempotency": "deduplicated",
            "group": "cell",
            "window_ms": 600.0,
            "worth": 2.5,
            "late_share": 0.0,
            "stream": False,
        },
        {
            "name": "pass-issue",
            "slo_ms": 1200.0,
            "deadline_ms": 3500.0,
            "idempotency": "at_most_once",
            "group": "all",
            "window_ms": 0.0,
            "worth": 5.0,
            "late_share": 0.1,
            "stream": False,
        },
    ],
    "clients": {"marks_retry": False},
    "contracts": [
        {
            "name": "field",
            "units_per_s": 0.6,
            "most_at_once": 3.0,
            "open": 0,
            "worth_factor": 0.9,
            "over_worth": 0.1,
            "beyond_costs": 0.3,
            "hard_rate": 0.0,
            "cap_depth": 0.0,
            "tolerance": 0.0,
        },
        {
            "name": "archive",
            "units_per_s": 4.8,
            "most_at_once": 19.0,
            "open": 7,
            "worth_factor": 1.7,
            "over_worth": 0.0,
            "beyond_costs": 1.1,
            "hard_rate": 9.2,
            "cap_depth": 36.0,
            "tolerance": 4.0,
        },
        {
            "name": "open-only",
            "units_per_s": 0.0,
            "most_at_once": 0.0,
            "open": 5,
            "worth_factor": 1.0,
            "over_worth": 0.0,
            "beyond_costs": 0.5,
        },
    ],
    "discovery": "subscribe",
    "family_info": {
        "counter_price": 0.01,
        "counter_timeout_ms": 120.0,
        "has_counter": True,
        "max_units": 2.5,
        "meter_period_ms": 0.0,
        "peer_intake": 60.0,
        "trued_up": False,
    },
    "feedback": {"fields": ["q", "busy"], "how": "answers"},
    "goal": {"whole": 0.0, "worst_class": 0.0, "worst_tenant": 0.0, "worst_window": 0.0},
    "instances": 5,
    "kind_of_service": "gate",
    "kinds": ["wide-8core", "slim"],
    "me": 4,
    "policy_limits": {
        "cancelling": True,
        "conn_idle_ms": 45_000.0,
        "cpu_us_per_request": 0.0,
        "cpu_us_per_s": 350_000,
        "dial_timeout_ms": 400.0,
        "max_open": 20_000,
        "max_retry_after_ms": 3000.0,
        "max_streams": 16,
        "parallel_tries": True,
        "peers": False,
        "probes": True,
        "retry_after": True,
        "try_limit": 5,
    },
    "rules": {
        "answer_slack_ms": 32.0,
        "ask_every_ms": 8000.0,
        "cold_from": 0.18,
        "drain_grace_ms": 1500.0,
        "fall_multiple": 2.2,
        "overload_for_ms": 2500.0,
        "warm_within_ms": 16_000.0,
    },
    "tick_ms": 8.0,
    "tier": 0,
    "tiers": ["tile-makers"],
    "weight_kind": "nominal",
    "zone": "south",
    "zones": ["north", "east", "south", "west"],
}
# What the program has no use for is not looked at, and so cannot keep a gateway from its work.
UNUSED = {
    f"{section}.{key}".lstrip(".")
    for section, keys in {
        **{name: KNOWN_KEYS[name] for name in ("charges", "clients", "goal")},
        "": "charges clients goal kind_of_service kinds tier tiers weight_kind zones",
        "classes": "aim_stretch stream",
        "family_info": "counter_price meter_period_ms peer_intake trued_up",
        "policy_limits": "cpu_us_per_request cpu_us_per_s max_open max_streams parallel_tries peers probes retry_after",
        "rules": "drain_grace_ms",
    }.items()
    for key in keys.split()
}
# Absent, they say that there is no such thing: a ceiling, worth after the aim.
MAY_LACK = {"classes.late_share", "contracts.hard_rate", "contracts.cap_depth", "contracts.tolerance"}
USED = sorted(
    {f"{section}.{key}".lstrip(".") for section, keys in KNOWN_KEYS.items() for key in keys.split()} - UNUSED
)
TEXTS = {
    "classes.name",
    "contracts.name",
    "zone",
    "discovery",
    "classes.idempotency",
    "classes.group",
    "feedback.how",
}


def placed(path: str) -> str:
    """The path with the entry of a list that uses the key: the keyed class with a zone, the plan with a
    ceiling."""
    section, _, key = path.partition(".")
    return f"{section}.1.{key}" if key and section in ("classes", "contracts") else path


def told(path: str) -> str:
    """As a message names it."""
    return "setting " + placed(path).replace(".1.", "[1].") + ":"


def read(folder: Path, settings: Any, again: bool = False) -> Config:
    file = folder / "config.json"
    file.write_text(
        json.dumps(
            {
                "name": "n",
                "listen": f"{HOST}:6379",
                "discovery": f"{HOST}:1",
                "counter": f"{HOST}:1",
                "settings": settings,
            }
        )
    )
    return read_config({"LB_CONFIG": str(file)}, folder, again)


@pytest.mark.parametrize("path", USED)
def test_a_setting_that_is_missing_or_of_the_wrong_form_is_named(path: str, tmp_path: Path) -> None:
    wrong: list[Any] = [[], {}, [1], 5 if path in TEXTS else "5", math.nan, math.inf, -1.0, -0.001, 1e308]
    if path in ("family_info.has_counter", "policy_limits.cancelling"):
        wrong += [2, "true"]
    elif path not in ("classes", "contracts"):
        wrong += [True]
    for again in (False, True):
        for value in wrong:
            if path in ("feedback.fields", "contracts") and value == []:
                read(tmp_path, changed_file(FULL, path, value), again)
                continue  # reports that name nothing; nobody has a plan
            with pytest.raises(ConfigError) as caught:
                read(tmp_path, changed_file(FULL, placed(path), value), again)
            fault = str(caught.value)  # of an object or a list it may be a key inside
            assert (
                fault.startswith(told(path)[:-1]) and fault[len(told(path)) - 1] in ":.[" and len(fault) < 250
            )
        without = changed_file(FULL, placed(path))
        if path in MAY_LACK:
            if path != "contracts.cap_depth":
                read(tmp_path, without, again)
        else:
            with pytest.raises(ConfigError) as caught:
                read(tmp_path, without, again)
            assert str(caught.value) == f"{told(path)} missing"


@pytest.mark.parametrize(
    ("path", "value"),
    [
        *(
            (path, 0)
            for path in (
                "classes.slo_ms",
                "classes.deadline_ms",
                "contracts.most_at_once",
                "contracts.cap_depth",
                "instances",
                "family_info.counter_timeout_ms",
                "family_info.max_units",
                "policy_limits.try_limit",
                "tick_ms",
                "policy_limits.dial_timeout_ms",
                "policy_limits.conn_idle_ms",
                "rules.fall_multiple",
                "rules.overload_for_ms",
            )
        ),
        ("me", 5),
        ("me", 0.5),
        ("instances", 4.5),
        ("instances", 10**7),
        ("policy_limits.try_limit", 1.5),
        ("policy_limits.try_limit", 10**6),
        ("contracts.open", 10**9),
        ("family_info.max_units", 1e7),
        ("classes.deadline_ms", 1e8),
        ("classes.window_ms", 1e13),
        ("rules.cold_from", 1.01),
        ("contracts.open", 1.5),
        ("classes.idempotency", "safe"),
        ("classes.group", "rack"),
        ("discovery", "pull"),
        ("feedback.how", "peers"),
        ("feedback.fields", [1]),
        ("classes.name", ""),
        ("classes.name", "tile-read"),
        ("contracts.name", "field"),
        ("classes.name", "x" * 300),
    ],
)
def test_a_setting_out_of_its_range_is_named(path: str, value: object, tmp_path: Path) -> None:
    with pytest.raises(ConfigError) as caught:
        read(tmp_path, changed_file(FULL, placed(path), value))
    assert str(caught.value).startswith(told(path)) and len(str(caught.value)) < 250


def test_settings_of_another_customer_are_taken_as_they_are(tmp_path: Path) -> None:
    made = read(tmp_path, FULL)
    assert [
        (c.idempotency.name, c.deduplication_scope.name, c.deduplication_window_ms)
        for c in made.settings.classes
    ] == [
        ("IDEMPOTENT", "ALL", 5000.0),
        ("WITH_KEY", "ZONE", 5000.0),
        ("WITH_KEY", "CELL", 600.0),
        ("NOT_IDEMPOTENT", "ALL", 0.0),
    ]
    assert made.settings.plans[2] == api.Plan("open-only", concurrency_limit=5, over_quota_cost=0.5)
    assert (made.settings.must_subscribe, made.settings.poll_within_ms, made.settings.gateway_index) == (
        True,
        8000.0,
        4,
    )
    assert (made.connect_ms, made.idle_ms, made.report_names) == (400.0, 45_000.0, ("q", "busy"))
    other = changed_file(
        changed_file(changed_file(FULL, "feedback.how", "probe"), "family_info.has_counter", False),
        "zone",
        "",
    )
    made = read(tmp_path, changed_file(other, "tiers", ["front", "middle", "back"]))
    assert (made.report_names, made.settings.has_counter, made.settings.zone) == ((), False, "")
    assert made.settings.counter_timeout_ms == 0.0
    assert (
        read(
            tmp_path, changed_file(changed_file(other, "zones", []), "discovery", "automatic")
        ).settings.must_subscribe
        is False
    )
    assert (
        read(tmp_path, changed_file(changed_file(other, "zones", []), "zone")).settings.zone == ""
    )  # a site without zones


def test_a_key_that_no_page_names_is_told_and_no_fault(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    assert unknown_keys(FULL) == []
    strange = changed_file(
        changed_file(changed_file(FULL, "clases", []), "classes.1.windows_ms", 1), "rules.fall_times", 2
    )
    caplog.set_level(logging.WARNING)
    assert read(tmp_path, strange).settings == parse_settings(FULL)
    assert caplog.messages == [
        "settings unknown to this program: clases, classes.windows_ms, rules.fall_times"
    ]
    caplog.clear()
    read(tmp_path, {**FULL, **{f"odd-{n}" * 40: n for n in range(10_000)}})
    assert len(caplog.messages) == 1 and len(caplog.messages[0]) < 2000


def test_a_process_with_a_faulty_file_ends_with_one_line(tmp_path: Path) -> None:
    for path, value in (("classes.slo_ms", 0), ("feedback.fields", 5)):
        with pytest.raises(ConfigError):
            read(tmp_path, changed_file(FULL, placed(path), value))
        ended = subprocess.run(
            [sys.executable, "-m", "badgeryoke"],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=False,
            env={**os.environ, "LB_CONFIG": str(tmp_path / "config.json")},
        )
        assert ended.returncode == 1 and ended.stderr.startswith(
            f"badgeryoke: configuration: {told(path)} expected"
        )
        assert ended.stderr.count("\n") == 1


def test_a_faulty_file_at_sighup_costs_nobody_an_answer(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """The files come in a row over one gateway, which serves on by the settings it has."""
    faulty = [copy.deepcopy(FULL) for _ in range(3)]
    faulty[0]["feedback"]["fields"] = 7
    faulty[1]["classes"][0]["slo_ms"] = 0
    faulty[2]["contracts"] = {}

    async def test() -> None:
        async with Backend() as node, Discovery(entry("a", node.port)) as list_:
            made = config(list_.port, None, roster(entry("a", node.port)))
            app = GatewayApplication(made, lambda: NOW_MS, lambda: read(tmp_path, faulty.pop(0), True))
            running = asyncio.ensure_future(app.run())
            await until(lambda: app.parts.discovery.ready)
            while left := len(faulty):
                os.kill(os.getpid(), signal.SIGHUP)
                await until(
                    lambda: (
                        app.parts.dispatcher.metrics.reload_errors + len(faulty) == 3 and len(faulty) < left
                    )
                )
                assert await ask(app, query(f"q{left}")) == [b"value"]
            app.end()
            await running

    caplog.set_level(logging.ERROR)
    play(test)
    assert [message.split(": expected")[0] for message in caplog.messages] == [
        f"reload: configuration: setting {key}"
        for key in ("feedback.fields", "classes[0].slo_ms", "contracts")
    ]
