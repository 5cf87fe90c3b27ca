"""The command line's documents, texts, files and exit codes."""

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
CHECK, LABORATORY, FOLDER = "cli-check.txt", "cli-lab.txt", "cli-folder.txt"
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
def _same_everywhere(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """A folder of its own, the width of a page, and nothing told by the environment."""
    monkeypatch.chdir(tmp_path)
    monkeypatch.setenv("COLUMNS", WIDTH)
    for name in ("LB_CONFIG", "LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_MGMT", "LB_SOCKET_FD"):
        monkeypatch.delenv(name, raising=False)
    main._add_lab_commands()
    yield


def called(*words: str) -> str:
    """A command, its exit code and what it said on its two streams."""
    got = CliRunner().invoke(main.cli, list(words))
    said = f"{got.stdout}{got.stderr}".replace(PRODUCT, SHOWN_PRODUCT)
    return f"$ {SHOWN_PRODUCT} {' '.join(words)}\n{said}exit code {got.exit_code}\n"


def checks() -> bytes:
    """`check` of good and faulty files, as lines and as JSON."""
    for name, text in OPERATORS_FILES.items():
        Path(name).write_text(text)
    Path("good.json").write_text(json.dumps(PLATFORM))
    Path("faulty.json").write_text(json.dumps({**PLATFORM, "settings": {**FULL, "me": 9}}))
    Path("no-object.json").write_text("[]")
    names = [*OPERATORS_FILES, "good.json", "faulty.json", "no-object.json", "none.toml", "none.json"]
    return "".join(called("check", name) + called("check", name, "--json") for name in names).encode()


def laboratory() -> bytes:
    """The lists, simulated runs and refusals of the laboratory."""
    Path("golden.scm").write_text(SCENARIO)
    Path("faulty.scm").write_text("(scenario x\n  (gateways three))")
    sim = ("lab", "sim", "golden.scm", "--jobs", "1")
    return "".join(
        [
            called("lab", "list"),
            called("lab", "list", "--json"),
            called(*sim, "--json"),
            called(*sim),
            called(*sim, "--seeds", "2", "--gateways", "5", "--no-watch", "--json"),
            called("lab", "sim", "fleet-lose-three", "--jobs", "1", "--json"),
            called("lab", "sim", "no-such"),
            called("lab", "sim", "faulty.scm"),
            called("lab", "run", "faulty.scm"),
        ]
    ).encode()


def result_folder() -> bytes:
    """The files of a run, the comparison of two, and the page written anew; the checkout's commit left
    out."""
    Path("golden.scm").write_text(SCENARIO)
    said = [
        called("lab", "sim", "golden.scm", "--jobs", "1", "--to", "one", "--json"),
        called("lab", "sim", "golden.scm", "--jobs", "1", "--to", "two", "--no-watch", "--json"),
        called("lab", "compare", "one", "two"),
        called("lab", "compare", "one", "two", "--json"),
        called("lab", "report", "one"),
    ]
    files = [f"--- {path.name}\n{path.read_text()}" for path in sorted(Path("one").iterdir())]
    return without_commit("".join(said + files)).encode()


def without_commit(text: str) -> str:
    """The text without the commit that it was made by, which every change moves."""
    text = re.sub(r'("commit": ")[0-9a-f]*"', r'\1"', text)
    text = re.sub(r'("figure": "commit", "first": ")[0-9a-f]*(", "second": ")[0-9a-f]*"', r'\1\2"', text)
    return re.sub(r"(?m)^.*\bcommit\b(?!\").*\n", "", text)


def test_every_check_is_the_golden_one() -> None:
    assert_golden(CHECK, checks())


def test_the_laboratory_says_the_golden_words() -> None:
    assert_golden(LABORATORY, laboratory())


def test_a_result_folder_is_the_golden_one() -> None:
    assert_golden(FOLDER, result_folder())


@pytest.mark.parametrize(
    "words",
    [
        ("no-such",),
        ("check", "--no-such"),
        ("lab", "sim"),
        ("lab", "compare", "a", "b"),
        ("lab", "sim", "demo", "--seeds", "0"),
    ],
)
def test_a_call_that_is_none_ends_with_2(words: tuple[str, ...]) -> None:
    assert CliRunner().invoke(main.cli, list(words)).exit_code == main.EXIT_INVALID_INPUT == 2
