"""What the project promises of its own files."""

from __future__ import annotations

import ast
import re
from pathlib import Path

from tests.support.paths import ROOT


def test_the_module_keeps_its_budget() -> None:
    lines = (ROOT / "badgeryoke/decisions/policy/engine.py").read_text(encoding="utf-8").splitlines()
    assert sum(1 for line in lines if line.strip()) <= 800
    assert max(map(len, lines)) <= 110
    assert "badgeryoke/decisions/interface.py" in lines[0]


def test_no_state_outside_the_instances() -> None:
    """Read from the syntax tree: constants at the top, no clock, no hash(), no random but the seeded."""
    tree = ast.parse((ROOT / "badgeryoke/decisions/policy/engine.py").read_text(encoding="utf-8"))
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
        if isinstance(part, ast.Attribute) and isinstance(part.value, ast.Name) and part.value.id == "random":
            assert part.attr == "Random"
        if isinstance(part, ast.Name):
            assert part.id not in {"hash", "id", "set", "frozenset", "globals"}


def source_of(module: str) -> Path:
    """The file of a module of the project."""
    path = ROOT / module.replace(".", "/")
    return path / "__init__.py" if path.is_dir() else path.with_suffix(".py")


def test_what_the_module_imports_imports_nothing_of_it() -> None:
    found, seen = ["badgeryoke.decisions.policy.engine"], dict[str, None]()
    while found:
        name = found.pop()
        tree = ast.parse(source_of(name).read_text(encoding="utf-8"))
        imports = [part for part in ast.walk(tree) if isinstance(part, ast.ImportFrom)]
        pairs = [(part.module or "", one.name) for part in imports for one in part.names]
        named = [
            f"{module}.{one}" if source_of(f"{module}.{one}").is_file() else module for module, one in pairs
        ]
        here = [module for module in named if module.startswith("badgeryoke")]
        assert "badgeryoke.decisions.policy.engine" not in here, name
        found += [module for module in here if module not in seen]
        seen |= dict.fromkeys(here)
    assert {
        "badgeryoke.decisions.plan_schedule.plan_change",
        "badgeryoke.decisions.counter_health.visibility",
        "badgeryoke.decisions.quota_protocols",
    } <= seen.keys()


def test_the_readme_example_runs() -> None:
    text = (ROOT / "README.md").read_text(encoding="utf-8")
    [example] = re.findall(r"```python\n(.*?)```", text, re.S)
    space: dict[str, object] = {}
    exec(compile(example, "README.md", "exec"), space)
    assert space["sent"]
