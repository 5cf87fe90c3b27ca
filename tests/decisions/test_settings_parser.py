"""Settings of any customer: an error names the key of an invalid setting, at the start and at SIGHUP."""

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
from tests.support.running import run_test as run_async
from tests.support.running import send_commands, until
from tests.support.stand_ins import HOST, NOW_MS, Backend, Discovery, config, endpoint_snapshot, entry, query

# Every documented key, with values of another customer; every kind of request class and plan.
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
# Keys that the program does not use are not checked, so that their values cannot prevent a gateway's start.
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
# Keys that may be absent, which disables a feature: a ceiling, a value of late responses.
OPTIONAL = {"classes.late_share", "contracts.hard_rate", "contracts.cap_depth", "contracts.tolerance"}
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


def entry_path(path: str) -> str:
    """Return the path with the index of a list entry that uses the key.

    That is the class with a key and a zone, or the plan with a ceiling.
    """
    section, _, key = path.partition(".")
    return f"{section}.1.{key}" if key and section in ("classes", "contracts") else path


def error_prefix(path: str) -> str:
    """Return the start of an error message about the setting."""
    return "setting " + entry_path(path).replace(".1.", "[1].") + ":"


def read_settings_file(folder: Path, settings: Any, is_reload: bool = False) -> Config:
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
    return read_config({"LB_CONFIG": str(file)}, folder, is_reload)


@pytest.mark.parametrize("path", USED)
def test_the_error_names_a_setting_that_is_missing_or_of_the_wrong_type(path: str, tmp_path: Path) -> None:
    invalid_values: list[Any] = [
        [],
        {},
        [1],
        5 if path in TEXTS else "5",
        math.nan,
        math.inf,
        -1.0,
        -0.001,
        1e308,
    ]
    if path in ("family_info.has_counter", "policy_limits.cancelling"):
        invalid_values += [2, "true"]
    elif path not in ("classes", "contracts"):
        invalid_values += [True]
    for is_reload in (False, True):
        for value in invalid_values:
            if path in ("feedback.fields", "contracts") and value == []:
                read_settings_file(tmp_path, changed_file(FULL, path, value), is_reload)
                continue  # valid: load reports without fields, no plans
            with pytest.raises(ConfigError) as caught:
                read_settings_file(tmp_path, changed_file(FULL, entry_path(path), value), is_reload)
            error_text = str(caught.value)  # for an object or a list, it may name a key inside
            assert (
                error_text.startswith(error_prefix(path)[:-1])
                and error_text[len(error_prefix(path)) - 1] in ":.["
                and len(error_text) < 250
            )
        settings_without_key = changed_file(FULL, entry_path(path))
        if path in OPTIONAL:
            if path != "contracts.cap_depth":
                read_settings_file(tmp_path, settings_without_key, is_reload)
        else:
            with pytest.raises(ConfigError) as caught:
                read_settings_file(tmp_path, settings_without_key, is_reload)
            assert str(caught.value) == f"{error_prefix(path)} missing"


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
def test_the_error_names_a_setting_out_of_its_range(path: str, value: object, tmp_path: Path) -> None:
    with pytest.raises(ConfigError) as caught:
        read_settings_file(tmp_path, changed_file(FULL, entry_path(path), value))
    assert str(caught.value).startswith(error_prefix(path)) and len(str(caught.value)) < 250


def test_settings_of_another_customer_are_parsed(tmp_path: Path) -> None:
    parsed = read_settings_file(tmp_path, FULL)
    assert [
        (c.idempotency.name, c.deduplication_scope.name, c.deduplication_window_ms)
        for c in parsed.settings.classes
    ] == [
        ("IDEMPOTENT", "ALL", 5000.0),
        ("WITH_KEY", "ZONE", 5000.0),
        ("WITH_KEY", "CELL", 600.0),
        ("NOT_IDEMPOTENT", "ALL", 0.0),
    ]
    assert parsed.settings.plans[2] == api.Plan("open-only", concurrency_limit=5, over_quota_cost=0.5)
    assert (
        parsed.settings.must_subscribe,
        parsed.settings.poll_within_ms,
        parsed.settings.gateway_index,
    ) == (
        True,
        8000.0,
        4,
    )
    assert (parsed.connect_ms, parsed.idle_ms, parsed.report_names) == (400.0, 45_000.0, ("q", "busy"))
    changed_settings = changed_file(
        changed_file(changed_file(FULL, "feedback.how", "probe"), "family_info.has_counter", False),
        "zone",
        "",
    )
    parsed = read_settings_file(
        tmp_path, changed_file(changed_settings, "tiers", ["front", "middle", "back"])
    )
    assert (parsed.report_names, parsed.settings.has_counter, parsed.settings.zone) == ((), False, "")
    assert parsed.settings.counter_timeout_ms == 0.0
    assert (
        read_settings_file(
            tmp_path, changed_file(changed_file(changed_settings, "zones", []), "discovery", "automatic")
        ).settings.must_subscribe
        is False
    )
    assert (
        read_settings_file(
            tmp_path, changed_file(changed_file(changed_settings, "zones", []), "zone")
        ).settings.zone
        == ""
    )  # a site without zones


@pytest.mark.parametrize(
    ("zones", "shared"), [(["north", "east"], False), (["north"], True), ([], True), (None, False)]
)
def test_keys_of_one_zone_are_known_everywhere_only_where_it_is_the_only_one(
    zones: list[str] | None, shared: bool
) -> None:
    settings = copy.deepcopy(FULL)
    settings["zones"] = zones
    parsed = parse_settings(settings)
    by_zone, by_cell = (cls for cls in parsed.classes if cls.idempotency is api.Idempotency.WITH_KEY)
    assert parsed.all_servers_share_keys(by_zone) is shared
    assert parsed.all_servers_share_keys(by_cell) is False


def test_an_undocumented_key_is_logged_and_is_not_an_error(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    assert unknown_keys(FULL) == []
    with_unknown_keys = changed_file(
        changed_file(changed_file(FULL, "clases", []), "classes.1.windows_ms", 1), "rules.fall_times", 2
    )
    caplog.set_level(logging.WARNING)
    assert read_settings_file(tmp_path, with_unknown_keys).settings == parse_settings(FULL)
    assert caplog.messages == [
        "settings unknown to this program: clases, classes.windows_ms, rules.fall_times"
    ]
    caplog.clear()
    read_settings_file(tmp_path, {**FULL, **{f"odd-{n}" * 40: n for n in range(10_000)}})
    assert len(caplog.messages) == 1 and len(caplog.messages[0]) < 2000


def test_a_process_with_an_invalid_file_exits_with_one_line(tmp_path: Path) -> None:
    for path, value in (("classes.slo_ms", 0), ("feedback.fields", 5)):
        with pytest.raises(ConfigError):
            read_settings_file(tmp_path, changed_file(FULL, entry_path(path), value))
        completed = subprocess.run(
            [sys.executable, "-m", "badgeryoke"],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=False,
            env={**os.environ, "LB_CONFIG": str(tmp_path / "config.json")},
        )
        assert completed.returncode == 1 and completed.stderr.startswith(
            f"badgeryoke: configuration: {error_prefix(path)} expected"
        )
        assert completed.stderr.count("\n") == 1


def test_no_request_is_lost_by_an_invalid_file_at_sighup(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """One gateway gets several invalid files in a row and keeps serving with its current settings."""
    invalid_files = [copy.deepcopy(FULL) for _ in range(3)]
    invalid_files[0]["feedback"]["fields"] = 7
    invalid_files[1]["classes"][0]["slo_ms"] = 0
    invalid_files[2]["contracts"] = {}

    async def test() -> None:
        async with Backend() as node, Discovery(entry("a", node.port)) as discovery:
            gateway_config = config(discovery.port, None, endpoint_snapshot(entry("a", node.port)))
            app = GatewayApplication(
                gateway_config,
                lambda: NOW_MS,
                lambda: read_settings_file(tmp_path, invalid_files.pop(0), True),
            )
            running = asyncio.ensure_future(app.run())
            await until(lambda: app.parts.discovery.ready)
            while remaining := len(invalid_files):
                os.kill(os.getpid(), signal.SIGHUP)
                await until(
                    lambda: (
                        app.parts.dispatcher.metrics.reload_errors + len(invalid_files) == 3
                        and len(invalid_files) < remaining
                    )
                )
                assert await send_commands(app, query(f"q{remaining}")) == [b"value"]
            app.end()
            await running

    caplog.set_level(logging.ERROR)
    run_async(test)
    assert [message.split(": expected")[0] for message in caplog.messages] == [
        f"reload: configuration: setting {key}"
        for key in ("feedback.fields", "classes[0].slo_ms", "contracts")
    ]
