"""Golden error messages for invalid values in the platform's file, its settings and the operators' files."""

from __future__ import annotations

import copy
import json
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from badgeryoke.decisions import interface as api
from badgeryoke.decisions.settings_parser import parse_settings, unknown_keys
from badgeryoke.gateway.config.diameter_file import read_diameter
from badgeryoke.gateway.config.errors import ConfigError
from badgeryoke.gateway.config.operators_file import OperatorsError, read_operators
from badgeryoke.gateway.config.platform_file import read_config
from badgeryoke.gateway.discovery.endpoint_list import read_endpoint_snapshot
from tests.decisions.test_settings_parser import FULL, USED, entry_path
from tests.gateway.test_reload import changed_file
from tests.support.golden_files import assert_golden, text_lines
from tests.support.stand_ins import entry

SETTINGS, CONFIG = "faults-settings.txt", "faults-config.txt"
OPERATORS, ENDPOINT_LIST = "faults-operators.txt", "faults-roster.txt"
GOOD = "good"
VALUES: tuple[Any, ...] = ("5", 5, -1, 0, 0.5, 1e308, True, False, "", "x" * 300, [], [1], {}, "no such word")
PLATFORM: dict[str, Any] = {
    "name": "g0",
    "listen": "127.0.0.1:6379",
    "discovery": "127.0.0.1:1",
    "counter": "127.0.0.1:2",
    "seed": "ff",
    "mgmt": "127.0.0.1:3",
    "limits": {"sockets": 1024, "memory_mb": 192},
    "settings": FULL,
    "known": {"version": 1, "full": True, "servers": [entry("a", 1)]},
}
PLATFORM_KEYS = (
    "listen",
    "discovery",
    "counter",
    "seed",
    "mgmt",
    "limits",
    "limits.sockets",
    "limits.memory_mb",
    "settings",
    "settings.policy_limits.dial_timeout_ms",
    "settings.policy_limits.conn_idle_ms",
    "settings.feedback",
    "settings.feedback.fields",
    "settings.feedback.how",
    "known",
    "known.servers",
)
ADDRESSES = ("127.0.0.1:0", "localhost:5", ":5", "127.0.0.1", "[::1]:5", "127.0.0.1:99999")
ENTRY_KEYS = ("id", "addr", "zone", "kind", "cell", "state", "weight", "started_ms")


def outcome(read: Callable[[], object]) -> str:
    """The error message of a reader, or GOOD."""
    try:
        read()
    except OperatorsError as fault:
        return " | ".join(fault.faults)
    except (ConfigError, ValueError) as fault:
        return str(fault)
    return GOOD


def abbreviated(value: object) -> str:
    """A value as JSON, cut to 24 characters."""
    return json.dumps(value)[:24]


def messages_for_key(
    path: str, raw: dict[str, Any], values: Iterable[Any], read: Callable[[dict[str, Any]], object]
) -> list[str]:
    """The messages for a missing key, and for each of the values under it."""
    lines = [f"{path} missing: {outcome(lambda: read(changed_file(raw, path)))}"]
    for value in values:
        changed = changed_file(raw, path, value)
        lines.append(f"{path} = {abbreviated(value)}: {outcome(lambda: read(changed))}")  # noqa: B023
    return lines


def settings_messages() -> list[str]:
    """The messages for each key of the settings that is used, and for unknown keys."""
    lines = [
        line for path in USED for line in messages_for_key(entry_path(path), FULL, VALUES, parse_settings)
    ]
    duplicated = copy.deepcopy(FULL)
    duplicated["classes"][1]["name"] = duplicated["classes"][0]["name"]
    lines.append(f"classes, a name twice: {outcome(lambda: parse_settings(duplicated))}")
    with_unknown_keys = changed_file(
        changed_file(changed_file(FULL, "zzz", 1), "rules.cold_form", 1), "classes.1.slo", 1
    )
    return [*lines, f"unknown: {', '.join(unknown_keys(with_unknown_keys))}"]


def config_messages(folder: Path) -> list[str]:
    """The messages for the platform's file and for environment variables."""
    file = folder / "config.json"

    def read(raw: object, **environ: str) -> object:
        file.write_text(json.dumps(raw))
        return read_config({"LB_CONFIG": str(file), **environ}, folder)

    lines = [
        line
        for path in PLATFORM_KEYS
        for line in messages_for_key(path, PLATFORM, (*VALUES, *ADDRESSES), read)
    ]
    lines += [
        f"LB_LISTEN = {text}: {outcome(lambda: read(PLATFORM, LB_LISTEN=text))}"  # noqa: B023
        for text in ADDRESSES
    ]
    lines += [
        f"LB_MGMT = {text}: {outcome(lambda: read(PLATFORM, LB_MGMT=text))}"  # noqa: B023
        for text in (*ADDRESSES, "127.0.0.1:6379")
    ]
    lines += [
        f"LB_SOCKET_FD = {text}: {outcome(lambda: read(PLATFORM, LB_SOCKET_FD=text))}"  # noqa: B023
        for text in ("x", "-1", "1e9")
    ]
    lines.append(f"mgmt as listen: {outcome(lambda: read({**PLATFORM, 'mgmt': PLATFORM['listen']}))}")
    lines.append(f"a list: {outcome(lambda: read([]))}")
    operators = folder / "deploy" / "badgeryoke.toml"
    operators.parent.mkdir()
    operators.write_text("[counter_watch]\nenabled = true\n")
    without_counter = changed_file(PLATFORM, "settings.family_info.has_counter", False)
    lines.append(f"a watch without a counter: {outcome(lambda: read(without_counter))}")
    operators.write_text("[log]\nlevel = 3\n")
    lines.append(f"operators' file: {outcome(lambda: read(PLATFORM))}")
    operators.unlink()
    lines.append(f"no LB_CONFIG: {outcome(lambda: read_config({}, folder))}")
    file.write_text("{")
    lines.append(f"no JSON: {outcome(lambda: read_config({'LB_CONFIG': str(file)}, folder))}")
    file.unlink()
    lines.append(f"no file: {outcome(lambda: read_config({'LB_CONFIG': str(file)}, folder))}")
    return lines


MEMBERS = "".join(
    f"[[fleet.members]]\nname = 'm{n}'\nhall = 'h{n}'\naddress = '127.0.0.1:{n}'\n" for n in (1, 2, 3)
)
FLEET = "[fleet]\nenabled = true\nname = 'f'\nfolder = 'd'\n"
OPERATORS_TEXTS = (
    "",
    "[log]",
    "log = 1",
    "fleet = 1",
    "zzz = 1",
    "[counter_watch]\nenable = true",
    "[counter_watch]\nenabled = 1",
    "[log]\nformat = 'xml'",
    "[log]\nlevel = 3",
    "[log]\nlevels = 'info'",
    "[fleet]\nenabled = true",
    FLEET,
    FLEET + MEMBERS,
    FLEET + "copies = 2\n" + MEMBERS,
    FLEET + "copies = 5\n" + MEMBERS,
    FLEET + "groups = 0\n" + MEMBERS,
    FLEET + "groups = 257\n" + MEMBERS,
    FLEET + "capacity = -1.0\n" + MEMBERS,
    FLEET + "me = 'm9'\n" + MEMBERS,
    FLEET + "fsink = true\n" + MEMBERS,
    FLEET + "fsync = 1\n" + MEMBERS,
    FLEET.replace("'f'", "'f f'") + MEMBERS,
    FLEET.replace("folder = 'd'\n", "") + MEMBERS,
    FLEET + MEMBERS.replace("m2", "m1"),
    FLEET + MEMBERS.replace("h2", "!"),
    FLEET + MEMBERS.replace("127.0.0.1:2", "127.0.0.1:1"),
    FLEET + MEMBERS.replace("127.0.0.1:2", "here"),
    FLEET + MEMBERS.replace("hall = 'h2'\n", ""),
    FLEET + MEMBERS.replace("hall = 'h2'", "hal = 'h2'"),
    FLEET + MEMBERS + "[fleet.servers]\nconnections = -1",
    FLEET + MEMBERS + "[fleet.servers.limits]\ns1 = 0",
    FLEET + MEMBERS + "[fleet.servers]\nconnection = 1",
    FLEET + MEMBERS + "[fleet.forced]\ng0 = []",
    FLEET + MEMBERS + "[fleet.forced]\nx0 = ['m1/1']",
    FLEET + MEMBERS + "[fleet.forced]\ng0 = ['m1']",
    FLEET + MEMBERS + "[fleet.timings]\nzzz = 1",
    "[fleet]\nmembers = 1",
)
DIAMETER = "enabled = true\norigin_host = 'g.example'\norigin_realm = 'example'\n"
DIAMETER_TEXTS = (
    "",
    "enabled = 1",
    "enabled = true",
    DIAMETER,
    DIAMETER.replace("'example'", "''"),
    DIAMETER + "listen = '::1'",
    DIAMETER + "listen = '10.0.0.1:3868'",
    DIAMETER + "listen = '10.0.0.1:3868'\nbeyond_loopback = true",
    DIAMETER + "plans = 1",
    DIAMETER + "[plans]\n1 = 'none'",
    DIAMETER + "[plans]\nx = 'field'",
    DIAMETER + "[plans]\n1 = 2",
    DIAMETER + "[plans]\n1 = 'field'",
    DIAMETER + "classes = 1",
    DIAMETER + "[classes]\ncheck = 'tile-draw'",
    DIAMETER + "[classes]\ndebit = 'tile-read'",
    DIAMETER + "[classes]\nother = 'tile-read'",
    DIAMETER + "[classes]\ncheck = 'tile-read'\ndebit = 'mark-set'",
    DIAMETER + "server_kinds = 'x'",
    DIAMETER + "clients = [1]",
    DIAMETER + "deadline_ms = -1",
    DIAMETER + "deadline_ms = true",
    DIAMETER + "watchdog_s = 5",
    DIAMETER + "answers_kept_s = 0",
)


def operators_messages(folder: Path) -> list[str]:
    """The messages for the two files of the operators."""
    lines = []
    operators, diameter = folder / "operators.toml", folder / "diameter.toml"
    settings: api.Settings = parse_settings(FULL)
    for text in OPERATORS_TEXTS:
        operators.write_text(text)
        lines.append(f"{text!r}: {outcome(lambda: read_operators(operators, all_sections=True))}")
    for text in DIAMETER_TEXTS:
        diameter.write_text(text)
        lines.append(f"{text!r}: {outcome(lambda: read_diameter(diameter, settings))}")
    return lines


def endpoint_list_messages() -> list[str]:
    """The messages for an endpoint list from discovery or from the platform's file."""
    raw = {"version": 1, "full": True, "servers": [entry("a", 1)]}
    paths = ["version", "full", "servers", *(f"servers.0.{key}" for key in ENTRY_KEYS)]
    return [line for path in paths for line in messages_for_key(path, raw, VALUES, read_endpoint_snapshot)]


def test_messages_for_the_settings() -> None:
    assert_golden(SETTINGS, text_lines(settings_messages()))


def test_messages_for_the_platforms_file(tmp_path: Path) -> None:
    assert_golden(CONFIG, text_lines(config_messages(tmp_path)))


def test_messages_for_the_operators_files(tmp_path: Path) -> None:
    assert_golden(OPERATORS, text_lines(operators_messages(tmp_path)))


def test_messages_for_an_endpoint_list() -> None:
    assert_golden(ENDPOINT_LIST, text_lines(endpoint_list_messages()))
