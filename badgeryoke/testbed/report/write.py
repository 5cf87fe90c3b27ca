"""Writing of result folders: figures.json, events.jsonl, line.json, scenario.scm and the page report.html."""

from __future__ import annotations

import json
import subprocess
from collections import defaultdict
from pathlib import Path
from typing import Any

from jinja2 import Environment, FileSystemLoader

from badgeryoke.testbed.report.plot import Line, bands, chart
from badgeryoke.testbed.report.result import Result, within_error_bounds
from badgeryoke.testbed.scenario.model import Scenario
from badgeryoke.testbed.scenario.parser import parse

PAGE_FIGURES = (
    "ceiling_excess",
    "beyond_share",
    "sent_of_allowed",
    "stated_error",
    "detect_ms",
    "false_alarms",
    "unanswered",
    "twice_answered",
    "calls_a_try",
)


def write_folder(
    folder: Path,
    scenario: Scenario,
    source: str,
    results: list[Result],
    figures: dict[str, Any],
    events: list[dict[str, Any]],
) -> None:
    """Write all files of a run; line.json and the reported counter states are those of the first result."""
    folder.mkdir(parents=True, exist_ok=True)
    first = results[0]
    figures = {
        **figures,
        "within_stated": all(map(within_error_bounds, results)),
        "commit": commit(),
        "setup": f"{scenario.gateways} gateways, {scenario.servers} servers, "
        f"{sum(customer_group.count for customer_group in scenario.customer_groups)} customers; watch "
        f"{'on' if scenario.watch else 'off'}; {figures['kind']}",
    }
    (folder / "figures.json").write_text(json.dumps(figures, indent=1, sort_keys=True) + "\n")
    lines = [json.dumps(event, sort_keys=True) + "\n" for event in events]
    (folder / "events.jsonl").write_text("".join(lines))
    (folder / "line.json").write_text(json.dumps(first.totals_by_step) + "\n")
    (folder / "scenario.scm").write_text(source)
    render_folder(folder)


def commit() -> str:
    """The short commit id of the checkout; empty outside a git checkout."""
    try:
        return subprocess.run(
            ["git", "rev-parse", "--short", "HEAD"],
            capture_output=True,
            text=True,
            timeout=5,
            cwd=Path(__file__).parent,
            check=True,
        ).stdout.strip()
    except (OSError, subprocess.SubprocessError):
        return ""


def render_folder(folder: Path) -> Path:
    """Render the page of one result folder and return its path."""
    return _render([folder], folder / "report.html", folder.name)


def compare_folders(first: Path, second: Path, to: Path | None) -> list[dict[str, Any]]:
    """Compare the figures of two folders row by row; `to`: also write both to one page."""
    first_figures, second_figures = (
        json.loads((folder / "figures.json").read_text()) for folder in (first, second)
    )
    if to is not None:
        _render([first, second], to, f"{first.name} beside {second.name}")
    return [
        {"figure": key, "first": _flat(first_figures).get(key), "second": _flat(second_figures).get(key)}
        for key in sorted(set(_flat(first_figures)) | set(_flat(second_figures)))
    ]


def _flat(figures: dict[str, Any], path: str = "") -> dict[str, Any]:
    flat: dict[str, Any] = {}
    for key, value in figures.items():
        if isinstance(value, dict):
            flat.update(_flat(value, f"{path}{key}."))
        else:
            flat[path + key] = value
    return flat


def _render(folders: list[Path], to: Path, title: str) -> Path:
    environment = Environment(loader=FileSystemLoader(Path(__file__).parent), autoescape=True)
    page = environment.get_template("page.html.j2").render(
        title=title, runs=[_run(folder) for folder in folders]
    )
    to.write_text(page, encoding="utf-8")
    return to


def _run(folder: Path) -> dict[str, Any]:
    figures = json.loads((folder / "figures.json").read_text())
    events = [json.loads(line) for line in (folder / "events.jsonl").read_text().splitlines()]
    rows_by_step = json.loads((folder / "line.json").read_text())
    source = (folder / "scenario.scm").read_text()
    scenario = parse(source)
    seconds = scenario.length_ms / 1000.0
    rows_by_step = [row for row in rows_by_step if 0 <= row["at_ms"] < scenario.length_ms]
    sums: dict[str, dict[float, float]] = {key: defaultdict(float) for key in ("sent", "beyond", "oracle")}
    gateways: dict[int, dict[float, float]] = defaultdict(lambda: defaultdict(float))
    for row in rows_by_step:
        at = row["at_ms"] // 1000.0 + 0.5
        for key, values in sums.items():
            values[at] += row[key]
        gateways[row["gateway"]][at] += row["sent"]
    shaded = scenario.fault_period[0] / 1000.0, scenario.fault_period[1] / 1000.0
    marks = [(fault.at_ms / 1000.0, f"{fault.word} {fault.target} {fault.mode}") for fault in scenario.faults]
    names = {"sent": "sent", "beyond": "beyond quota", "oracle": "all-knowing"}
    units = chart(
        [Line(names[key], sorted(values.items()), key == "oracle") for key, values in sums.items()],
        seconds,
        "units a second",
        shaded,
        marks,
    )
    by_gateway = chart(
        [
            Line(f"gateway {number + 1}", sorted(values.items()))
            for number, values in sorted(gateways.items())[:6]
        ],
        seconds,
        "units a second",
        shaded,
        marks,
    )
    spread = figures.get("spread", {})
    rows = [
        (key, _format_figure(figures, spread, key)) for key in PAGE_FIGURES if key in figures or key in spread
    ]
    rows += [
        (f"latency {kind} ms", ", ".join(f"{part} {value}" for part, value in percentiles.items()))
        for kind, percentiles in figures.get("latency_ms", {}).items()
    ]
    rows += [
        (key, figures[key]) for key in ("memory_mb", "emulator_lag_ms", "seeds", "commit") if figures.get(key)
    ]
    return {
        "name": folder.name,
        "about": scenario.about,
        "setup": figures["setup"],
        "figures": rows,
        "broken": bool(figures["ceiling_broken"]),
        "within": figures["within_stated"],
        "units": units,
        "by_gateway": by_gateway,
        "source": source,
        "beliefs": bands(_state_periods(scenario, events, seconds), seconds),
    }


def _format_figure(figures: dict[str, Any], spread: dict[str, Any], key: str) -> Any:
    if key in spread:
        part = spread[key]
        return f"{part['median']} (worst {part['worst']}, best {part['best']})"
    return figures[key]


def _state_periods(
    scenario: Scenario, events: list[dict[str, Any]], seconds: float
) -> list[tuple[str, list[tuple[float, float, str]]]]:
    """The periods of the counter's actual state, then of its state as each gateway detected it."""
    state_of_fault = {
        "kill": "dead",
        "freeze": "dead",
        "spoil": "dead",
        "split": "split",
        "slow": "slow",
        "swap": "swapped",
        "restore": "swapped",
    }
    actual: list[tuple[float, str]] = [(0.0, "sound")]
    for fault in scenario.faults:
        if fault.target == "counter":
            healthy = fault.word in ("start", "thaw", "heal") or (fault.word == "slow" and fault.amount <= 1)
            actual.append(
                (fault.at_ms / 1000.0, "sound" if healthy else state_of_fault.get(fault.word, "sound"))
            )
    rows = [("true", actual)]
    detected: dict[int, list[tuple[float, str]]] = {
        number + 1: [(0.0, "unknown")] for number in range(min(scenario.gateways, 12))
    }
    for event in events:
        if event["event"] == "belief" and event["gateway"] in detected:
            detected[event["gateway"]].append((max(event["at_ms"], 0.0) / 1000.0, event["belief"]))
    rows += [(f"g{number}", changes) for number, changes in detected.items()]
    return [
        (
            name,
            [
                (at, following[0], state)
                for (at, state), following in zip(changes, [*changes[1:], (seconds, "")], strict=True)
            ],
        )
        for name, changes in rows
    ]
