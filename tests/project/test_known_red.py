"""The hooks for KNOWN-RED.txt, tested by pytest runs on small folders."""

from __future__ import annotations

import gc
from pathlib import Path

import pytest

from tests import conftest

pytest_plugins = ["pytester"]

GOOD_AND_BAD = "def test_good(): pass\ndef test_bad(): assert False, 'planted'\n"
BAD_ENTRY, MISSING_ENTRY = (
    "test_a.py::test_bad | it is planted | 7\n",
    "test_a.py::test_gone | it is planted | 7\n",
)
FOUR_ENTRIES = "".join(f"test_a.py::test_{at} | it is planted | 7\n" for at in range(4))
OK, FAILED, USAGE = pytest.ExitCode.OK, pytest.ExitCode.TESTS_FAILED, pytest.ExitCode.USAGE_ERROR


@pytest.fixture(autouse=True)
def no_plugins(monkeypatch: pytest.MonkeyPatch) -> None:
    """Load no plugins besides pytest's own, which each run would have to load again.

    What earlier tests left is collected first: CPython 3.11 fails with "AST constructor recursion depth mismatch"
    where a collection within ast.parse runs a finalizer written in Python, such as that of a StreamWriter.
    """
    monkeypatch.setenv("PYTEST_DISABLE_PLUGIN_AUTOLOAD", "1")
    gc.collect()


def run_pytest(
    pytester: pytest.Pytester, listed: str | None, files: dict[str, str], *args: str
) -> pytest.RunResult:
    """Run pytest in a folder with these test files and this KNOWN-RED.txt."""
    pytester.makeini("[pytest]")
    pytester.makeconftest(Path(conftest.__file__).read_text(encoding="utf-8"))
    pytester.makepyfile(**files)
    if listed is not None:
        (pytester.path / conftest.FILE_NAME).write_text(listed, encoding="utf-8")
    return pytester.runpytest_inprocess("-q", "-p", "no:cacheprovider", *args)


@pytest.mark.parametrize(
    ("listed", "files", "args", "code", "message"),
    [
        # Only listed tests may fail, and they are printed.
        (
            BAD_ENTRY,
            {"test_a": GOOD_AND_BAD},
            (),
            OK,
            "known red: test_a.py::test_bad | it is planted | 7: failed",
        ),
        (
            BAD_ENTRY,
            {"test_a": GOOD_AND_BAD, "test_b": GOOD_AND_BAD},
            (),
            FAILED,
            "FAILED test_b.py::test_bad*",
        ),
        (None, {"test_a": "def test_good(): pass"}, (), OK, "known red: none"),
        ("", {"test_a": "def test_good(): pass"}, (), OK, "known red: none"),
        (None, {"test_a": GOOD_AND_BAD}, (), FAILED, "FAILED test_a.py::test_bad*"),
        # Set-up and teardown of a listed test have to pass.
        (
            BAD_ENTRY,
            {"test_a": "import pytest\n@pytest.fixture\ndef no(): assert False\ndef test_bad(no): pass"},
            (),
            FAILED,
            "ERROR test_a.py::test_bad*",
        ),
        (
            BAD_ENTRY,
            {
                "test_a": "import pytest\n@pytest.fixture\ndef no():\n    yield\n    assert False\n"
                "def test_bad(no): assert False"
            },
            (),
            FAILED,
            "ERROR test_a.py::test_bad*",
        ),
        # A listed test that passes or does not exist fails the run.
        (
            "test_a.py::test_good | none | 7\n",
            {"test_a": GOOD_AND_BAD},
            ("-k", "good"),
            FAILED,
            "*the test passes: remove its line from KNOWN-RED.txt*",
        ),
        (MISSING_ENTRY, {"test_a": GOOD_AND_BAD}, (), USAGE, "*there is no test test_a.py::test_gone*"),
        (
            MISSING_ENTRY,
            {"test_a": GOOD_AND_BAD},
            ("test_a.py",),
            USAGE,
            "*there is no test test_a.py::test_gone*",
        ),
        (
            MISSING_ENTRY,
            {"test_a": GOOD_AND_BAD},
            ("-k", "good"),
            USAGE,
            "*there is no test test_a.py::test_gone*",
        ),
        (
            "test_no.py::test_bad | none | 7\n",
            {"test_a": GOOD_AND_BAD},
            ("test_a.py::test_good",),
            USAGE,
            "*there is no test *",
        ),
        # A run of selected tests does not require the other listed tests.
        (
            BAD_ENTRY,
            {"test_a": GOOD_AND_BAD},
            ("test_a.py::test_good",),
            OK,
            "known red: test_a.py::test_bad *not run",
        ),
        (
            BAD_ENTRY,
            {"test_a": GOOD_AND_BAD, "test_b": "def test_good(): pass"},
            ("test_b.py",),
            OK,
            "known red: test_a.py::*not run",
        ),
        (BAD_ENTRY, {"test_a": GOOD_AND_BAD}, ("-k", "good"), OK, "known red: test_a.py::test_bad *not run"),
        # Invalid lists.
        (FOUR_ENTRIES, {"test_a": GOOD_AND_BAD}, (), USAGE, "*4 tests, 3 at the most*"),
        (
            BAD_ENTRY + BAD_ENTRY,
            {"test_a": GOOD_AND_BAD},
            (),
            USAGE,
            "*KNOWN-RED.txt:2: test_a.py::test_bad is listed already",
        ),
        (
            "test_a.py::test_bad | 7\n",
            {"test_a": GOOD_AND_BAD},
            (),
            USAGE,
            "*KNOWN-RED.txt:1: expected TEST | CAUSE | ISSUE",
        ),
        (
            "test_a.py::test_bad |  | 7\n",
            {"test_a": GOOD_AND_BAD},
            (),
            USAGE,
            "*KNOWN-RED.txt:1: expected TEST | CAUSE | ISSUE",
        ),
    ],
)
def test_only_listed_tests_may_fail(
    pytester: pytest.Pytester,
    listed: str | None,
    files: dict[str, str],
    args: tuple[str, ...],
    code: int,
    message: str,
) -> None:
    result = run_pytest(pytester, listed, files, *args)
    assert result.ret == code
    (result.stderr if code == USAGE else result.stdout).fnmatch_lines([message])


@pytest.mark.parametrize(
    ("body", "code"),
    [
        ("import pytest\n@pytest.mark.skip\ndef test_x(): pass", USAGE),
        ("import pytest\n@pytest.mark.skipif(False, reason='x')\ndef test_x(): pass", USAGE),
        ("import pytest\n@pytest.mark.xfail(strict=True)\ndef test_x(): assert False", USAGE),
        ("import pytest\npytestmark = pytest.mark.xfail\ndef test_x(): pass", USAGE),
        (
            "import pytest\n@pytest.mark.parametrize('x', [pytest.param(1, marks=pytest.mark.xfail)])\n"
            "def test_x(x): assert False",
            USAGE,
        ),
        ("import pytest\ndef test_x(): pytest.skip('x')", FAILED),
        ("import pytest\ndef test_x(): pytest.xfail('x')", FAILED),
        (
            "import pytest\ndef test_x(request):\n    request.applymarker(pytest.mark.xfail)\n    assert False",
            FAILED,
        ),
        ("import pytest\n@pytest.fixture\ndef no(): pytest.skip('x')\ndef test_x(no): pass", FAILED),
        (
            "import unittest\nclass TestX(unittest.TestCase):\n    @unittest.skip('x')\n    def test_x(self): pass",
            FAILED,
        ),
        ("import pytest\npytest.importorskip('no_such_module')\ndef test_x(): pass", USAGE),
    ],
)
@pytest.mark.parametrize("listed", [None, "test_a.py::test_x | none | 7\n"])
def test_no_skip_and_no_expected_failure_passes(
    pytester: pytest.Pytester, body: str, code: int, listed: str | None
) -> None:
    result = run_pytest(pytester, listed, {"test_a": body})
    assert result.ret != OK and (listed or result.ret == code)
