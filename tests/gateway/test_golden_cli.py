"""Golden output, result files and exit codes of the command line."""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from badgeryoke.cli import main
from tests.decisions.test_settings_parser import FULL
from tests.support.golden_files import assert_golden

WIDTH = "100"
PRODUCT, SHOWN_PRODUCT = "badgeryoke", "PRODUCT"  # the program's own name is not part of the golden texts
CHECK, LAB, FOLDER = "cli-check.txt", "cli-lab.txt", "cli-folder.txt"
PLATFORM: dict[str, Any] = {
    "name": "g0",
    "listen": "127.0.0.1:6379",
    "discovery": "127.0.0.1:1",
    "counter": "127.0.0.1:2",
    "settings": FULL,
}
OPERATORS_FILES = {
    "good.toml": "[counter_watch]\nenabled = true\n[log]\nformat = 'json'\nlevel = 'debug'\n",
    "empty.toml": "",
    "faulty.toml": "[counter_wach]\n[log]\nformat = 'xml'\nlevel = 3\n[counter_watch]\nenabled = 'yes'\n",
    "fleet.toml": "[fleet]\nenabled = true\nname = 'a b'\ncopies = 2\n[[fleet.members]]\nname = 'm1'\nhal = 'x'\n",
    "diameter.toml": "enabled = true\norigin_host = 'g.example'\norigin_realm = ''\n",
}
SCENARIO = """(scenario golden
  (about "A short run, of a counter that is swapped")
  (length 12s) (gateways 3) (servers 4 (work 20ms..60ms))
  (plan p (rate 2/s) (burst 6u) (ceiling 5/s 9u))
  (customers 4 (plan p) (demand 2..3x))
  (at 5s (swap counter)))
"""


@pytest.fixture(autouse=True)
def _fixed_environment(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """Run each test in its own folder, with a fixed terminal width and without configuration variables."""
    monkeypatch.chdir(tmp_path)
    monkeypatch.setenv("COLUMNS", WIDTH)
    for name in ("LB_CONFIG", "LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_MGMT", "LB_SOCKET_FD"):
        monkeypatch.delenv(name, raising=False)
    main._add_lab_commands()
    yield


def transcript(*arguments: str) -> str:
    """Run a command; return it with its standard output, standard error and exit code."""
    result = CliRunner().invoke(main.cli, list(arguments))
    output = f"{result.stdout}{result.stderr}".replace(PRODUCT, SHOWN_PRODUCT)
    return f"$ {SHOWN_PRODUCT} {' '.join(arguments)}\n{output}exit code {result.exit_code}\n"


def checks() -> bytes:
    """`check` on valid and invalid files, with its output as lines and as JSON."""
    for name, text in OPERATORS_FILES.items():
        Path(name).write_text(text)
    Path("good.json").write_text(json.dumps(PLATFORM))
    Path("faulty.json").write_text(json.dumps({**PLATFORM, "settings": {**FULL, "me": 9}}))
    Path("no-object.json").write_text("[]")
    names = [*OPERATORS_FILES, "good.json", "faulty.json", "no-object.json", "none.toml", "none.json"]
    return "".join(transcript("check", name) + transcript("check", name, "--json") for name in names).encode()


def lab_commands() -> bytes:
    """The scenario lists, simulated runs and rejected calls of the `lab` commands."""
    Path("golden.scm").write_text(SCENARIO)
    Path("faulty.scm").write_text("(scenario x\n  (gateways three))")
    sim = ("lab", "sim", "golden.scm", "--jobs", "1")
    return "".join(
        [
            transcript("lab", "list"),
            transcript("lab", "list", "--json"),
            transcript(*sim, "--json"),
            transcript(*sim),
            transcript(*sim, "--seeds", "2", "--gateways", "5", "--no-watch", "--json"),
            transcript("lab", "sim", "fleet-lose-three", "--jobs", "1", "--json"),
            transcript("lab", "sim", "no-such"),
            transcript("lab", "sim", "faulty.scm"),
            transcript("lab", "run", "faulty.scm"),
        ]
    ).encode()


def result_folder() -> bytes:
    """The files of a run, the comparison of two runs, and a regenerated report, without the commit."""
    Path("golden.scm").write_text(SCENARIO)
    transcripts = [
        transcript("lab", "sim", "golden.scm", "--jobs", "1", "--to", "one", "--json"),
        transcript("lab", "sim", "golden.scm", "--jobs", "1", "--to", "two", "--no-watch", "--json"),
        transcript("lab", "compare", "one", "two"),
        transcript("lab", "compare", "one", "two", "--json"),
        transcript("lab", "report", "one"),
    ]
    files = [f"--- {path.name}\n{path.read_text()}" for path in sorted(Path("one").iterdir())]
    return without_commit("".join(transcripts + files)).encode()


def without_commit(text: str) -> str:
    """Remove the commit of the checkout from the text; it changes with every commit."""
    text = re.sub(r'("commit": ")[0-9a-f]*"', r'\1"', text)
    text = re.sub(r'("figure": "commit", "first": ")[0-9a-f]*(", "second": ")[0-9a-f]*"', r'\1\2"', text)
    return re.sub(r"(?m)^.*\bcommit\b(?!\").*\n", "", text)


def test_check_matches_the_golden_file() -> None:
    assert_golden(CHECK, checks())


def test_lab_commands_match_the_golden_file() -> None:
    assert_golden(LAB, lab_commands())


def test_a_result_folder_matches_the_golden_file() -> None:
    assert_golden(FOLDER, result_folder())


@pytest.mark.parametrize(
    "arguments",
    [
        ("no-such",),
        ("check", "--no-such"),
        ("lab", "sim"),
        ("lab", "compare", "a", "b"),
        ("lab", "sim", "demo", "--seeds", "0"),
    ],
)
def test_an_invalid_command_line_exits_with_2(arguments: tuple[str, ...]) -> None:
    assert CliRunner().invoke(main.cli, list(arguments)).exit_code == main.EXIT_INVALID_INPUT == 2
