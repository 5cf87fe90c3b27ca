"""Reload at SIGHUP: new settings are rejected as a whole or applied in one step; pending requests keep the old."""

from __future__ import annotations

import copy
import json
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from badgeryoke.decisions import interface as api
from badgeryoke.decisions.plan_schedule.plan_change import apply_plan_change
from badgeryoke.gateway.application import GatewayApplication
from badgeryoke.gateway.config.errors import ConfigError
from badgeryoke.gateway.config.file_shape import first_missing_key, shape_of
from badgeryoke.gateway.config.model import Config
from badgeryoke.gateway.config.platform_file import read_config
from tests.decisions.test_simulator_adapter import PARAMS
from tests.support import samples
from tests.support.running import run_test, send_commands, until
from tests.support.stand_ins import (
    HOST,
    KEYED,
    NOW_MS,
    SAFE,
    Backend,
    Discovery,
    config,
    connect,
    endpoint_snapshot,
    entry,
    query,
)
from tests.support.stand_ins import settings as build_settings

RAW: dict[str, Any] = {
    "name": "n",
    "listen": f"{HOST}:6379",
    "discovery": f"{HOST}:1",
    "counter": f"{HOST}:1",
    "limits": {"cores": 1.0},
    "settings": PARAMS,
}


def changed_file(raw: dict[str, Any], path: str, value: object = None) -> dict[str, Any]:
    """A copy of the file with one value changed, or its key removed."""
    changed = copy.deepcopy(raw)
    *parents, last = path.split(".")
    container: Any = changed
    for part in parents:
        container = container[int(part)] if part.isdigit() else container[part]
    if value is None:
        del container[last]
    else:
        container[last] = value
    return changed


@pytest.mark.parametrize("path", ["settings.classes.0.deadline_ms", "settings.policy_limits.try_limit"])
@pytest.mark.parametrize("value", [0, -5.0, True, "480", [1], "NaN", 1e400])
def test_a_deadline_or_number_of_attempts_is_a_number_above_0(
    path: str, value: object, tmp_path: Path
) -> None:
    file = tmp_path / "config.json"
    file.write_text(json.dumps(changed_file(RAW, path, value)).replace('"NaN"', "NaN"))
    with pytest.raises(ConfigError, match=path.rsplit(".", 1)[1] + "|not JSON"):
        read_config({"LB_CONFIG": str(file)}, tmp_path, is_reload=True)


@pytest.mark.parametrize("text", ["", "{", json.dumps(RAW)[:-40], "[]", "null"])
def test_an_empty_or_truncated_file_is_rejected(text: str, tmp_path: Path) -> None:
    file = tmp_path / "config.json"
    file.write_text(text)
    with pytest.raises(ConfigError, match="LB_CONFIG"):
        read_config({"LB_CONFIG": str(file)}, tmp_path, is_reload=True)


@pytest.mark.parametrize(
    "path",
    [
        "counter",
        "discovery",
        "limits.cores",
        "settings.rules",
        "settings.rules.fall_multiple",
        "settings.policy_limits.try_limit",
        "settings.classes.0.idempotency",
        "settings.contracts",
    ],
)
def test_a_file_that_lacks_a_key_is_rejected_naming_the_key(path: str) -> None:
    missing = first_missing_key(shape_of(RAW), shape_of(changed_file(RAW, path)))
    assert missing == ".".join(part for part in path.split(".") if not part.isdigit())
    assert first_missing_key(shape_of(RAW), shape_of({**RAW, "more": 1})) is None
    assert first_missing_key(shape_of({**RAW, "known": {"version": 1}}), shape_of(RAW)) is None


async def reloading(new_config: Callable[[Config], Config], test: Any, *backends: Backend) -> None:
    async with backends[0] as backend, Discovery(entry("a", backend.port)) as discovery:
        current = config(discovery.port, None, endpoint_snapshot(entry("a", backend.port)))
        app = GatewayApplication(current, lambda: NOW_MS, lambda: new_config(current))
        app.start()
        await until(lambda: app.parts.discovery.ready)
        try:
            await test(app, backend)
        finally:
            app.end()
            await app.done.wait()


def test_classes_come_go_and_change_idempotency_while_pending_requests_keep_theirs() -> None:
    """`load-send` becomes idempotent, `balance-check` is removed, `fresh` is added, and one attempt is allowed."""
    classes = (
        replace(KEYED, idempotency=api.Idempotency.IDEMPOTENT, deadline_ms=70_000.0),
        api.RequestClass("fresh", 30_000.0, 60_000.0, api.Idempotency.IDEMPOTENT),
    )

    def new_config(current: Config) -> Config:
        return replace(current, settings=build_settings(classes=classes, has_counter=False, max_attempts=1))

    async def test(app: GatewayApplication, backend: Backend) -> None:
        reader, writer = await connect(app.lifecycle.address)
        writer.write(query("open", "load-send", key="k"))
        await until(lambda: len(backend.commands) == 1)
        app.reload()
        assert "syntax" in str(await send_commands(app, query("gone")))
        assert "syntax" in str(
            await send_commands(app, query("wrong", "load-send", key="k2"))
        )  # now an SVC.QUERY
        assert await send_commands(app, query("new", "fresh")) == [b"value"]
        assert await send_commands(app, query("changed", "load-send", d=65_000)) == [b"value"]
        backend.writers[0].write(b"-ERR failed\r\n")  # it has a key and may be retried, by the old rules
        assert await reader.readexactly(11) == b"$5\r\nvalue\r\n"
        by_id = [(command[0], command[2]) for command in backend.commands]
        assert by_id.count((b"SVC.SUBMIT", b"open")) == 2 and (b"SVC.QUERY", b"changed") in by_id
        assert (
            app.parts.dispatcher.metrics.finished["balance-check"] == [0, 0, 0]
            and app.parts.dispatcher.metrics.reloads == 1
        )
        writer.close()

    run_test(lambda: reloading(new_config, test, Backend(script=[None])))


def test_a_lower_attempt_limit_applies_to_new_requests_only() -> None:
    def new_config(current: Config) -> Config:
        return replace(current, settings=build_settings(has_counter=False, max_attempts=1))

    async def test(app: GatewayApplication, backend: Backend) -> None:
        app.reload()
        assert "BUSY" in str(await send_commands(app, query("one")))
        assert len(backend.commands) == 1

    run_test(lambda: reloading(new_config, test, Backend(script=[b"-BUSY\r\n"])))


def test_a_rejected_file_changes_nothing_and_two_valid_ones_in_a_row_are_applied() -> None:
    files: list[Config | ConfigError] = []

    def new_config(current: Config) -> Config:
        file = files.pop(0)
        if isinstance(file, ConfigError):
            raise file
        return file

    async def test(app: GatewayApplication, backend: Backend) -> None:
        first_config = replace(app.parts.config, settings=build_settings(classes=(SAFE,), has_counter=False))
        larger_settings = build_settings(classes=(SAFE, KEYED), has_counter=False, gateway_count=40)
        second_config = replace(app.parts.config, settings=larger_settings)
        files[:] = [
            ConfigError("settings: missing"),
            replace(second_config, file_shape={"a": None}),
            first_config,
            second_config,
        ]
        app.parts.config = replace(app.parts.config, file_shape={"a": None, "b": None})
        app.reload()
        app.reload()  # lacks b
        assert await send_commands(app, query("kept", "load-send", key="k")) == [b"value"]
        app.parts.config = replace(app.parts.config, file_shape=None)
        app.reload()
        app.reload()
        assert await send_commands(app, query("back", "load-send", key="k2")) == [b"value"]
        assert (app.parts.dispatcher.metrics.reloads, app.parts.dispatcher.metrics.reload_errors) == (2, 2)
        app.pause()
        files[:] = [first_config]
        # The number of gateways applies to discovery, too.
        assert app.parts.discovery.backoff.longest_pause_s == 2.0
        app.reload()  # during a drain
        app.resume()
        assert "syntax" in str(await send_commands(app, query("gone", "load-send", key="k3")))

    run_test(lambda: reloading(new_config, test, Backend()))


@pytest.mark.parametrize(
    ("rate", "burst", "expected_capacity"),
    [
        (1.0, 4.0, 1.0),  # unchanged
        (1.0, 40.0, 1.0),  # a rise gives no free burst
        (1.0, 2.0, -1.0),  # a cut leaves debt
        (0.1, 1.0, -0.5),  # debt that is paid within five seconds
    ],
)
def test_a_plan_change_gives_no_free_burst_and_keeps_the_debt(
    rate: float, burst: float, expected_capacity: float
) -> None:
    engine = samples.gateway(has_counter=False)
    now = samples.START
    request = samples.request("a", units=3.0, spread=1)
    quota = engine._quota.quota_for(now, request)
    quota.bucket.consume(3.0, now)
    plan = replace(samples.PLAIN, rate=rate, burst=burst)
    engine.update_settings(replace(samples.SETTINGS, plans=(plan, samples.CAPPED)))
    assert engine._quota.quota_for(now, request) is quota and quota.plan is plan
    assert quota.bucket.capacity(now) == pytest.approx(expected_capacity)


def test_a_counter_call_in_flight_is_answered_before_the_new_plan_applies() -> None:
    engine = samples.gateway()
    now = samples.START
    [counter_call] = samples.only(engine.handle(now, samples.request("a")), api.AddToCounter)
    plan = replace(samples.PLAIN, rate=2.0, burst=30.0)
    engine.update_settings(replace(samples.SETTINGS, plans=(plan, samples.CAPPED)))
    quota = engine._quota.quota_for(now, samples.request("b"))
    assert quota.plan is samples.PLAIN  # the counter's reply belongs to the old period
    engine.handle(now, api.CounterReply(counter_call.name, api.Verdict.OK, 1.0, 1.0))
    assert engine._quota.quota_for(now, samples.request("b")).plan is plan
    apply_plan_change(now, quota, replace(plan, ceiling_rate=9.0, ceiling_burst=60.0), samples.SETTINGS)
    assert (
        quota.headroom_bucket is not None and quota.headroom_bucket.capacity(now) == 0.0
    )  # a new ceiling's headroom starts empty
