"""Rules for the project's own files: the policy package, README.md and the on-call page."""

from __future__ import annotations

import ast
import re
import tomllib
from pathlib import Path

import pytest

from tests.support.paths import ROOT

POLICY = ROOT / "badgeryoke/decisions/policy"
POLICY_PACKAGE = "badgeryoke.decisions.policy"


def policy_files() -> list[Path]:
    """All Python files of the policy package, `__init__.py` included."""
    files = sorted(POLICY.rglob("*.py"))
    assert {"__init__.py", "engine.py", "load_balancing.py", "quota.py"} <= {file.name for file in files}
    return files


def test_policy_lines_are_within_the_length_limit_and_the_engine_names_the_interface() -> None:
    texts = {file: file.read_text(encoding="utf-8").splitlines() for file in policy_files()}
    assert max(len(line) for lines in texts.values() for line in lines) <= 110
    assert "badgeryoke/decisions/interface.py" in texts[POLICY / "engine.py"][0]


def test_the_policy_package_has_only_listed_python_files() -> None:
    """Every file of the package is a Python file, is checked here and is listed in deploy/balancer.toml."""
    files = [file for file in POLICY.rglob("*") if file.is_file() and "__pycache__" not in file.parts]
    assert sorted(files) == policy_files()
    listed = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))["policy"]
    assert sorted(ROOT / name for name in listed) == policy_files()


@pytest.mark.parametrize("file", policy_files(), ids=lambda file: file.name)
def test_no_state_outside_the_instances(file: Path) -> None:
    """Module level has only numeric constants; no clock, no hash(), no sets and only seeded random draws."""
    tree = ast.parse(file.read_text(encoding="utf-8"))
    for node in tree.body:
        if isinstance(node, ast.Assign | ast.AnnAssign | ast.AugAssign):
            assert isinstance(node, ast.Assign) and isinstance(node.targets[0], ast.Name)
            assert node.targets[0].id.isupper()
            parts = ast.walk(node.value)
            number = ast.Constant | ast.BinOp | ast.operator | ast.UnaryOp | ast.unaryop
            assert all(isinstance(part, number) for part in parts)
    for part in ast.walk(tree):
        assert not isinstance(part, ast.Global | ast.Set | ast.SetComp)
        if isinstance(part, ast.Import):
            assert {name.name for name in part.names} <= {"math", "random"}
        if isinstance(part, ast.ImportFrom):
            assert part.module == "dataclasses" or (part.module or "").startswith("badgeryoke.decisions")
        if isinstance(part, ast.Attribute) and isinstance(part.value, ast.Name) and part.value.id == "random":
            assert part.attr == "Random"
        if isinstance(part, ast.Name):
            assert part.id not in {"hash", "id", "set", "frozenset", "globals"}


def source_of(module: str) -> Path:
    """The file of a module of the project."""
    path = ROOT / module.replace(".", "/")
    return path / "__init__.py" if path.is_dir() else path.with_suffix(".py")


def test_modules_imported_by_the_policy_do_not_import_it() -> None:
    pending = [f"{POLICY_PACKAGE}.{file.stem}" for file in policy_files() if file.stem != "__init__"]
    pending.append("badgeryoke.decisions.counter_health.visibility")  # the policy calls it through a protocol
    seen = dict.fromkeys(pending)
    while pending:
        name = pending.pop()
        tree = ast.parse(source_of(name).read_text(encoding="utf-8"))
        imports = [part for part in ast.walk(tree) if isinstance(part, ast.ImportFrom)]
        pairs = [(part.module or "", alias.name) for part in imports for alias in part.names]
        named = [
            f"{module}.{imported}" if source_of(f"{module}.{imported}").is_file() else module
            for module, imported in pairs
        ]
        here = [module for module in named if module.startswith("badgeryoke")]
        if not name.startswith(POLICY_PACKAGE):
            assert not any(module.startswith(POLICY_PACKAGE) for module in here), name
        pending += [module for module in here if module not in seen]
        seen |= dict.fromkeys(here)
    assert f"{POLICY_PACKAGE}.engine" not in imports_of("load_balancing") | imports_of("quota")
    assert f"{POLICY_PACKAGE}.load_balancing" not in imports_of("quota")
    assert {
        "badgeryoke.decisions.plan_schedule.plan_change",
        "badgeryoke.decisions.counter_health.visibility",
        "badgeryoke.decisions.quota_protocols",
    } <= seen.keys()


def imports_of(name: str) -> set[str]:
    """The modules that a policy module imports from."""
    tree = ast.parse((POLICY / f"{name}.py").read_text(encoding="utf-8"))
    return {part.module or "" for part in ast.walk(tree) if isinstance(part, ast.ImportFrom)}


def test_the_readme_example_runs() -> None:
    text = (ROOT / "README.md").read_text(encoding="utf-8")
    [example] = re.findall(r"```python\n(.*?)```", text, re.S)
    namespace: dict[str, object] = {}
    exec(compile(example, "README.md", "exec"), namespace)
    assert namespace["sent"]


def test_every_logger_on_the_on_call_page_is_a_module() -> None:
    text = (ROOT / "docs/ON-CALL.md").read_text(encoding="utf-8")
    names = set(re.findall(r"`(badgeryoke(?:\.\w+)+): ", text)) - {"badgeryoke.toml"}
    assert len(names) >= 10
    assert [name for name in sorted(names) if not source_of(name).is_file()] == []
