"""New settings at SIGHUP: turned down whole or taken in one step; open queries keep what they began with."""

from __future__ import annotations

import copy
import json
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from badgeryoke.decisions import interface as api
from badgeryoke.decisions.plan_schedule.plan_change import replan
from badgeryoke.gateway.application import GatewayApplication
from badgeryoke.gateway.config.errors import ConfigError
from badgeryoke.gateway.config.file_shape import first_missing_key, shape_of
from badgeryoke.gateway.config.model import Config
from badgeryoke.gateway.config.platform_file import read_config
from tests.decisions.test_simulator_adapter import PARAMS
from tests.support import samples
from tests.support.running import ask, until
from tests.support.running import run_test as play
from tests.support.stand_ins import (
    HOST,
    KEYED,
    NOW_MS,
    SAFE,
    Backend,
    Discovery,
    config,
    connect,
    entry,
    query,
    roster,
)
from tests.support.stand_ins import settings as made_settings

RAW: dict[str, Any] = {
    "name": "n",
    "listen": f"{HOST}:6379",
    "discovery": f"{HOST}:1",
    "counter": f"{HOST}:1",
    "limits": {"cores": 1.0},
    "settings": PARAMS,
}


def at(raw: dict[str, Any], path: str, value: object = None) -> dict[str, Any]:
    """The file with one value changed, or its key taken out."""
    made = copy.deepcopy(raw)
    *way, last = path.split(".")
    there: Any = made
    for part in way:
        there = there[int(part)] if part.isdigit() else there[part]
    if value is None:
        del there[last]
    else:
        there[last] = value
    return made


@pytest.mark.parametrize("path", ["settings.classes.0.deadline_ms", "settings.policy_limits.try_limit"])
@pytest.mark.parametrize("value", [0, -5.0, True, "480", [1], "NaN", 1e400])
def test_a_deadline_or_number_of_attempts_is_a_number_above_0(
    path: str, value: object, tmp_path: Path
) -> None:
    file = tmp_path / "config.json"
    file.write_text(json.dumps(at(RAW, path, value)).replace('"NaN"', "NaN"))
    with pytest.raises(ConfigError, match=path.rsplit(".", 1)[1] + "|not JSON"):
        read_config({"LB_CONFIG": str(file)}, tmp_path, again=True)


@pytest.mark.parametrize("text", ["", "{", json.dumps(RAW)[:-40], "[]", "null"])
def test_an_empty_or_truncated_file_is_rejected(text: str, tmp_path: Path) -> None:
    file = tmp_path / "config.json"
    file.write_text(text)
    with pytest.raises(ConfigError, match="LB_CONFIG"):
        read_config({"LB_CONFIG": str(file)}, tmp_path, again=True)


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
def test_a_file_that_lacks_a_key_is_turned_down_by_its_name(path: str) -> None:
    missing = first_missing_key(shape_of(RAW), shape_of(at(RAW, path)))
    assert missing == ".".join(part for part in path.split(".") if not part.isdigit())
    assert first_missing_key(shape_of(RAW), shape_of({**RAW, "more": 1})) is None
    assert first_missing_key(shape_of({**RAW, "known": {"version": 1}}), shape_of(RAW)) is None


async def reloading(new: Callable[[Config], Config], test: Any, *nodes: Backend) -> None:
    async with nodes[0] as node, Discovery(entry("a", node.port)) as list_:
        made = config(list_.port, None, roster(entry("a", node.port)))
        app = GatewayApplication(made, lambda: NOW_MS, lambda: new(made))
        app.start()
        await until(lambda: app.parts.discovery.ready)
        try:
            await test(app, node)
        finally:
            app.end()
            await app.done.wait()


def test_classes_come_go_and_change_idempotency_while_pending_requests_keep_theirs() -> None:
    """`load-send` becomes safe to repeat, `balance-check` goes, `fresh` comes, one attempt is left."""
    classes = (
        replace(KEYED, idempotency=api.Idempotency.IDEMPOTENT, deadline_ms=70_000.0),
        api.RequestClass("fresh", 30_000.0, 60_000.0, api.Idempotency.IDEMPOTENT),
    )

    def new(made: Config) -> Config:
        return replace(made, settings=made_settings(classes=classes, has_counter=False, max_attempts=1))

    async def test(app: GatewayApplication, node: Backend) -> None:
        reader, writer = await connect(app.lifecycle.address)
        writer.write(query("open", "load-send", key="k"))
        await until(lambda: len(node.commands) == 1)
        app.reload()
        assert "syntax" in str(await ask(app, query("gone")))
        assert "syntax" in str(await ask(app, query("wrong", "load-send", key="k2")))  # now an SVC.QUERY
        assert await ask(app, query("new", "fresh")) == [b"value"]
        assert await ask(app, query("changed", "load-send", d=65_000)) == [b"value"]
        node.writers[0].write(b"-ERR failed\r\n")  # it carries a key, and may be sent again: by the old rules
        assert await reader.readexactly(11) == b"$5\r\nvalue\r\n"
        by_id = [(command[0], command[2]) for command in node.commands]
        assert by_id.count((b"SVC.SUBMIT", b"open")) == 2 and (b"SVC.QUERY", b"changed") in by_id
        assert (
            app.parts.dispatcher.metrics.finished["balance-check"] == [0, 0, 0]
            and app.parts.dispatcher.metrics.reloads == 1
        )
        writer.close()

    play(lambda: reloading(new, test, Backend(script=[None])))


def test_a_lower_attempt_limit_applies_to_new_requests_only() -> None:
    def new(made: Config) -> Config:
        return replace(made, settings=made_settings(has_counter=False, max_attempts=1))

    async def test(app: GatewayApplication, node: Backend) -> None:
        app.reload()
        assert "BUSY" in str(await ask(app, query("one")))
        assert len(node.commands) == 1

    play(lambda: reloading(new, test, Backend(script=[b"-BUSY\r\n"])))


def test_a_rejected_file_changes_nothing_and_two_valid_ones_in_a_row_are_applied() -> None:
    files: list[Config | ConfigError] = []

    def new(made: Config) -> Config:
        file = files.pop(0)
        if isinstance(file, ConfigError):
            raise file
        return file

    async def test(app: GatewayApplication, node: Backend) -> None:
        one = replace(app.parts.config, settings=made_settings(classes=(SAFE,), has_counter=False))
        grown = made_settings(classes=(SAFE, KEYED), has_counter=False, gateway_count=40)
        two = replace(app.parts.config, settings=grown)
        files[:] = [ConfigError("settings: missing"), replace(two, file_shape={"a": None}), one, two]
        app.parts.config = replace(app.parts.config, file_shape={"a": None, "b": None})
        app.reload()
        app.reload()  # lacks b
        assert await ask(app, query("kept", "load-send", key="k")) == [b"value"]
        app.parts.config = replace(app.parts.config, file_shape=None)
        app.reload()
        app.reload()
        assert await ask(app, query("back", "load-send", key="k2")) == [b"value"]
        assert (app.parts.dispatcher.metrics.reloads, app.parts.dispatcher.metrics.reload_errors) == (2, 2)
        app.pause()
        files[:] = [one]
        assert (
            app.parts.discovery.backoff.longest_pause_s == 2.0
        )  # the fleet has grown, for discovery as well
        app.reload()  # during a drain
        app.resume()
        assert "syntax" in str(await ask(app, query("gone", "load-send", key="k3")))

    play(lambda: reloading(new, test, Backend()))


@pytest.mark.parametrize(
    ("rate", "burst", "room"),
    [
        (1.0, 4.0, 1.0),  # as it was
        (1.0, 40.0, 1.0),  # a rise gives no free burst
        (1.0, 2.0, -1.0),  # a cut leaves debt, ...
        (0.1, 1.0, -0.5),  # ... which is paid within five seconds
    ],
)
def test_a_plan_changes_without_a_free_burst_and_without_forgetting(
    rate: float, burst: float, room: float
) -> None:
    made = samples.gateway(has_counter=False)
    now = samples.START
    asked = samples.request("a", units=3.0, spread=1)
    led = made._quota.quota_for(now, asked)
    led.bucket.consume(3.0, now)
    plan = replace(samples.PLAIN, rate=rate, burst=burst)
    made.update_settings(replace(samples.SETTINGS, plans=(plan, samples.CAPPED)))
    assert made._quota.quota_for(now, asked) is led and led.plan is plan
    assert led.bucket.capacity(now) == pytest.approx(room)


def test_a_counter_call_in_flight_is_answered_before_the_new_plan_applies() -> None:
    made = samples.gateway()
    now = samples.START
    [count] = samples.only(made.handle(now, samples.request("a")), api.AddToCounter)
    plan = replace(samples.PLAIN, rate=2.0, burst=30.0)
    made.update_settings(replace(samples.SETTINGS, plans=(plan, samples.CAPPED)))
    led = made._quota.quota_for(now, samples.request("b"))
    assert led.plan is samples.PLAIN  # its answer belongs to the old period
    made.handle(now, api.CounterReply(count.name, api.Verdict.OK, 1.0, 1.0))
    assert made._quota.quota_for(now, samples.request("b")).plan is plan
    replan(now, led, replace(plan, ceiling_rate=9.0, ceiling_burst=60.0), samples.SETTINGS)
    assert (
        led.headroom_bucket is not None and led.headroom_bucket.capacity(now) == 0.0
    )  # a new ceiling's headroom starts empty
