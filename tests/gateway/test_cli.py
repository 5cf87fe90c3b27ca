"""The command line and the operators' file: which input is rejected, with which message and exit code."""

from __future__ import annotations

import json
import logging
import subprocess
import sys
from io import StringIO
from pathlib import Path

import pytest
from click.testing import CliRunner

from badgeryoke.cli import main
from badgeryoke.gateway.config.operators_file import Operators, OperatorsError, read_operators
from badgeryoke.gateway.log_format import configure_logging
from tests.support.paths import ROOT

main._add_lab_commands()


def run_command(*arguments: str) -> tuple[int, str]:
    """Run a command; return its exit code and output."""
    result = CliRunner().invoke(main.cli, list(arguments))
    return result.exit_code, result.output


@pytest.mark.parametrize(
    ("text", "faults"),
    [
        ("", []),
        ("[counter_watch]\nenabled = true\n", []),
        ("[counter_wach]\n", ["counter_wach: unknown; did you mean counter_watch?"]),
        (
            "[counter_watch]\nenable = true\n",
            ["counter_watch.enable: unknown; did you mean counter_watch.enabled?"],
        ),
        ("[log]\nformat = 'xml'\nlevel = 3\n", ["log.format: ", "log.level: "]),
        ("[zzz]\n[counter_watch]\nenabled = 'yes'\n", ["zzz: unknown; known are", "counter_watch.enabled: "]),
        ("[log\n", ["badgeryoke.toml: "]),
    ],
)
def test_check_reports_every_fault_of_the_file_with_its_key(
    tmp_path: Path, text: str, faults: list[str]
) -> None:
    path = tmp_path / "badgeryoke.toml"
    path.write_text(text)
    code, output = run_command("check", str(path), "--json")
    reported = json.loads(output)["faults"]
    assert code == (2 if faults else 0) and len(reported) == len(faults)
    assert all(part in line for part, line in zip(faults, reported, strict=True))
    if faults:
        with pytest.raises(OperatorsError):
            read_operators(path)


def test_without_the_file_everything_is_off(tmp_path: Path) -> None:
    operators = read_operators(tmp_path / "badgeryoke.toml")
    assert operators == Operators() == read_operators(ROOT / "deploy" / "badgeryoke.toml")
    assert not operators.counter_watch.enabled


def test_check_validates_the_platforms_json_file(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text('{"settings": {}}')
    code, output = run_command("check", str(path))
    assert code == 2 and "policy_limits: missing" in output
    assert run_command("check", str(tmp_path / "none.toml"))[0] == 2


@pytest.mark.parametrize(
    "command",
    ["", "serve", "check", "demo", "lab", "lab list", "lab run", "lab sim", "lab compare", "lab report"],
)
def test_every_command_has_an_example(command: str) -> None:
    code, output = run_command(*command.split(), "--help")
    assert code == 0 and "Example" in output and "badgeryoke " in output


def test_an_unknown_scenario_and_a_faulty_one_exit_with_2(tmp_path: Path) -> None:
    assert run_command("lab", "sim", "no-such")[0] == 2
    path = tmp_path / "bad.scm"
    path.write_text("(scenario x\n  (gateways three))")
    code, output = run_command("lab", "sim", str(path))
    assert code == 2 and "line 2, column 13" in output and "three" in output


def test_lab_list_names_the_shipped_scenarios() -> None:
    code, output = run_command("lab", "list", "--json")
    assert code == 0 and {"counter-dead", "counter-split", "counter-swap"} <= {
        row["name"] for row in json.loads(output)
    }


def test_a_bad_figure_exits_with_1_and_a_good_one_with_0() -> None:
    """A split counter exceeds the stated error without counter-health monitoring, but not with it."""
    code, output = run_command("lab", "sim", "counter-split", "--no-watch", "--json", "--jobs", "1")
    assert code == 1 and json.loads(output)["spread"]["beyond_share"]["worst"] > 0.3
    code, output = run_command("lab", "sim", "counter-split", "--json", "--jobs", "1")
    assert code == 0 and json.loads(output)["spread"]["beyond_share"]["worst"] < 0.05


def test_a_json_log_line_contains_the_fields_of_its_event() -> None:
    stream, root = StringIO(), logging.getLogger()
    before = root.handlers[:], root.level
    try:
        configure_logging("json", "info", stream)
        logging.getLogger("badgeryoke.gateway.dispatcher").warning(
            "counter believed %s", "split", extra={"fields": {"hidden": [1]}}
        )
        logging.getLogger("badgeryoke.gateway.dispatcher").debug("not shown")
    finally:
        root.handlers[:], root.level = before
    [line] = map(json.loads, stream.getvalue().splitlines())
    assert line["event"] == "counter believed split" and line["hidden"] == [1] and line["level"] == "warning"


def test_a_gateway_without_optional_features_loads_none_of_their_modules() -> None:
    """A separate process shows that it imports neither the command line, the testbed nor counter health."""
    script = (
        "import sys, badgeryoke.__main__; "
        "print([m for m in sys.modules if m.split('.')[0] in "
        "('click', 'lark', 'rich', 'jinja2', 'structlog') "
        "or 'counter_health' in m or m.startswith(('badgeryoke.testbed', 'badgeryoke.cli'))])"
    )
    completed = subprocess.run(
        [sys.executable, "-c", script], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert completed.stdout.strip() == "[]"
