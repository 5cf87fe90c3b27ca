"""`badgeryoke lab list|run|sim|compare|report` and `badgeryoke demo`."""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import sys
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import click
from rich.console import Console
from rich.live import Live
from rich.progress import Progress
from rich.table import Table

from badgeryoke.testbed.report.cluster_figures import FleetFigures, worst_and_median
from badgeryoke.testbed.report.result import Result, within_error_bounds
from badgeryoke.testbed.report.write import compare_folders, write_folder
from badgeryoke.testbed.scenario.model import Scenario
from badgeryoke.testbed.scenario.parser import load, shipped
from badgeryoke.testbed.scenario.sexpr import TextError
from badgeryoke.testbed.simulation.world import play

# Exit codes.
VIOLATION, UNUSABLE, FAILED = 1, 2, 4
SUMMARY_FIGURES = ("beyond_share", "sent_of_allowed", "ceiling_excess", "detect_ms")


def _load(name: str) -> tuple[Scenario, str]:
    """Load a scenario and its text; exits with an error message if that fails."""
    try:
        return load(name)
    except TextError as error:
        click.echo(f"{name}: {error}", err=True)
    except OSError:
        click.echo(f"{name}: no such scenario or file; see `badgeryoke lab list`", err=True)
    sys.exit(UNUSABLE)


def _print_json(value: object) -> None:
    click.echo(json.dumps(value, sort_keys=True))


@click.group()
def lab() -> None:
    """Emulated fleets: scenarios on sockets and in simulated time.

    \b
    Examples:
        badgeryoke lab list
        badgeryoke lab run counter-split --json
        badgeryoke lab sim counter-split --seeds 100
    """


@lab.command(name="list")
@click.option("--json", "as_json", is_flag=True, help="One JSON document.")
def list_(as_json: bool) -> None:
    """Name the shipped scenarios.

    \b
    Example:
        badgeryoke lab list
    """
    found = [(name, load(name)[0].about) for name in shipped()]
    if as_json:
        _print_json([{"name": name, "about": about} for name, about in found])
        return
    table = Table(box=None)
    table.add_column("scenario", no_wrap=True)
    table.add_column("what happens")
    for name, about in found:
        table.add_row(name, about)
    Console().print(table)


@lab.command()
@click.argument("scenario")
@click.option("--seed", default=1, show_default=True, help="Seed of all random draws.")
@click.option("--watch/--no-watch", default=None, help="Switch the watch over the counter on or off.")
@click.option("--to", type=click.Path(path_type=Path), help="Folder for figures, events and the report.")
@click.option("--json", "as_json", is_flag=True, help="The figures as one JSON document.")
def run(scenario: str, seed: int, watch: bool | None, to: Path | None, as_json: bool) -> None:
    """Play SCENARIO (a shipped name or a file) on sockets, with real gateway processes.

    It takes the scenario's length in real time, and some seconds more.  Exit code 1 where a ceiling was
    broken, the stated error was exceeded, or a guarantee of the fleet was violated.

    \b
    Example:
        badgeryoke lab run counter-split --to results/split --json
    """
    from badgeryoke.testbed.emulator.cluster import unsupported_reason
    from badgeryoke.testbed.emulator.run import EmulatedRun

    parsed, source = _load(scenario)
    if problem := unsupported_reason(parsed):
        click.echo(f"{scenario}: {problem}", err=True)
        sys.exit(UNUSABLE)
    if watch is not None:
        parsed = replace(parsed, watch=watch)
    with Progress(console=Console(stderr=True), transient=True, disable=as_json) as progress:
        task = progress.add_task(parsed.name, total=parsed.length_ms)

        def on_event(event: dict[str, Any]) -> None:
            progress.update(task, completed=event["at_ms"])

        stage = EmulatedRun(parsed, seed, to / "gateways" if to else None, on_event)
        try:
            result = asyncio.run(stage.play())
        except (RuntimeError, OSError) as error:
            click.echo(f"{scenario}: {error}", err=True)
            sys.exit(FAILED)
    fleet = stage.cluster_figures()
    figures = {**result.figures(), **stage.extra_figures(), **fleet.to_dict(), "kind": "sockets"}
    if to is not None:
        write_folder(to, parsed, source, [result], figures, stage.events)
    _print_figures(figures, within_error_bounds(result) and not fleet.violations(), as_json, to)


def _print_figures(figures: dict[str, Any], passed: bool, as_json: bool, to: Path | None) -> None:
    if as_json:
        _print_json(figures)
    else:
        table = Table(box=None, show_header=False)
        for key in (
            "scenario",
            "ceiling_broken",
            "ceiling_excess",
            "beyond_share",
            "sent_of_allowed",
            "stated_error",
            "detect_ms",
            "false_alarms",
            "unanswered",
            "twice_answered",
            *FleetFigures.__dataclass_fields__,
        ):
            if figures[key] is not None:
                table.add_row(key, str(figures[key]))
        Console().print(table)
        if to is not None:
            click.echo(f"report: {to / 'report.html'}")
    sys.exit(0 if passed else VIOLATION)


def _run_seed(job: tuple[Scenario, int]) -> tuple[Result, FleetFigures]:
    """Run one seed: the decisions on requests and, for a cluster, the simulation of its members."""
    parsed, seed = job
    if not parsed.fleet:
        return play(parsed, seed), FleetFigures()
    from badgeryoke.testbed.cluster_simulation.generated_plans import play_scenario

    return play(parsed, seed), play_scenario(parsed, seed)


@lab.command()
@click.argument("scenario")
@click.option("--seeds", default=1, show_default=True, type=click.IntRange(1, 100_000))
@click.option(
    "--gateways", type=click.IntRange(1, 200), help="Number of gateways, in place of the scenario's."
)
@click.option("--watch/--no-watch", default=None, help="Switch the watch over the counter on or off.")
@click.option("--to", type=click.Path(path_type=Path), help="Folder for figures, events and the report.")
@click.option("--json", "as_json", is_flag=True, help="One JSON document.")
@click.option("--jobs", default=0, help="Processes; 0: one for each core.")
def sim(
    scenario: str,
    seeds: int,
    gateways: int | None,
    watch: bool | None,
    to: Path | None,
    as_json: bool,
    jobs: int,
) -> None:
    """Play SCENARIO in simulated time against the decision code, once for each seed.

    The same scenario and seed give the same output.  Exit code 1 where a ceiling was broken, the stated
    error was exceeded, or a guarantee of the fleet was violated, with any seed.

    \b
    Example:
        badgeryoke lab sim counter-split --seeds 100
    """
    parsed, source = _load(scenario)
    if watch is not None:
        parsed = replace(parsed, watch=watch)
    if gateways is not None:
        parsed = resize(parsed, gateways)
    results: list[Result] = []
    fleets: list[FleetFigures] = []
    with (
        multiprocessing.Pool(jobs or None) as pool,
        Progress(console=Console(stderr=True), transient=True, disable=as_json) as progress,
    ):
        task = progress.add_task(parsed.name, total=seeds)
        for result, fleet in pool.imap(_run_seed, [(parsed, seed) for seed in range(1, seeds + 1)]):
            results.append(result)
            fleets.append(fleet)
            progress.advance(task)
    figures = summary(parsed, results, fleets)
    if to is not None:
        events = [
            {
                "at_ms": report.at_ms,
                "event": "belief",
                "gateway": report.gateway + 1,
                "belief": report.state,
                "sign": report.symptom,
            }
            for report in results[0].state_reports
        ]
        write_folder(to, parsed, source, results, figures, events)
    if as_json:
        _print_json(figures)
    else:
        table = Table(box=None)
        for column in ("", "worst", "median", "best"):
            table.add_column(column)
        for key, row in figures["spread"].items():
            if key in SUMMARY_FIGURES or figures[key] is not None:
                table.add_row(key, *(str(row.get(part, "")) for part in ("worst", "median", "best")))
        Console().print(table)
        click.echo(
            f"stated error {figures['stated_error']:.3f}, "
            f"ceilings broken {figures['ceiling_broken']}, "
            f"false alarms {figures['false_alarms']}, seeds {seeds}"
        )
    sys.exit(
        0
        if all(map(within_error_bounds, results))
        and not any(figures_of_run.violations() for figures_of_run in fleets)
        else VIOLATION
    )


def resize(parsed: Scenario, gateways: int) -> Scenario:
    """The scenario with another number of gateways; a split separates the first third, at least one gateway."""
    first_size = max(gateways // 3, 1)
    groups = (tuple(range(1, first_size + 1)), tuple(range(first_size + 1, gateways + 1)))
    faults = tuple(
        replace(fault, groups=groups) if fault.word == "split" else fault for fault in parsed.faults
    )
    return replace(parsed, gateways=gateways, started=gateways, faults=faults)


def summary(
    parsed: Scenario, results: list[Result], fleets: list[FleetFigures] | None = None
) -> dict[str, Any]:
    """Summarise all seeds: worst, median and best of each figure; the cluster's own keys hold the worst."""
    rows = [result.figures() for result in results]
    parts: dict[str, dict[str, Any]] = {}
    for key in SUMMARY_FIGURES:
        values = sorted(row[key] for row in rows if row[key] is not None)
        if not values:
            parts[key] = {"worst": None, "median": None, "best": None}
            continue
        lower_is_worse = key == "sent_of_allowed"
        parts[key] = {
            "worst": values[0 if lower_is_worse else -1],
            "median": values[len(values) // 2],
            "best": values[-1 if lower_is_worse else 0],
        }
    cluster_figures = worst_and_median([figures.to_dict() for figures in fleets or [FleetFigures()]])
    worst = {key: row.get("worst") for key, row in cluster_figures.items()}
    if states := [figures.roll_state for figures in fleets or [] if figures.roll_state is not None]:
        worst["roll_state"] = next((state for state in states if state != "done"), "done")
    return {
        "scenario": parsed.name,
        "kind": "simulated",
        "seeds": len(rows),
        "gateways": parsed.gateways,
        "watch": parsed.watch,
        "spread": {**parts, **cluster_figures},
        **worst,
        "stated_error": rows[0]["stated_error"],
        "ceiling_broken": sum(row["ceiling_broken"] for row in rows),
        "false_alarms": sum(row["false_alarms"] for row in rows),
        "unanswered": sum(row["unanswered"] for row in rows),
        "twice_answered": sum(row["twice_answered"] for row in rows),
        "calls_a_try": rows[0]["calls_a_try"],
        "watch_calls_a_second": rows[0]["watch_calls_a_second"],
    }


@lab.command()
@click.argument("first", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.argument("second", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--to", type=click.Path(path_type=Path), help="Write both side by side to this HTML page.")
@click.option("--json", "as_json", is_flag=True, help="One JSON document.")
def compare(first: Path, second: Path, to: Path | None, as_json: bool) -> None:
    """Put two result folders side by side.

    \b
    Example:
        badgeryoke lab compare results/without results/with --to compared.html
    """
    try:
        rows = compare_folders(first, second, to)
    except (OSError, ValueError) as error:
        click.echo(f"compare: {error}", err=True)
        sys.exit(UNUSABLE)
    if as_json:
        _print_json(rows)
        return
    table = Table(box=None)
    for column in ("figure", str(first), str(second)):
        table.add_column(column)
    for row in rows:
        table.add_row(row["figure"], str(row["first"]), str(row["second"]))
    Console().print(table)


@lab.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
def report(folder: Path) -> None:
    """Write the HTML page of a result folder again.

    \b
    Example:
        badgeryoke lab report results/split
    """
    from badgeryoke.testbed.report.write import render_folder

    try:
        click.echo(str(render_folder(folder)))
    except (OSError, ValueError, KeyError) as error:
        click.echo(f"report: {folder}: not a result folder ({error})", err=True)
        sys.exit(UNUSABLE)


@click.command()
@click.option("--seconds", default=0.0, help="Length of the run in seconds; 0: until Ctrl-C.")
@click.option("--json", "as_json", is_flag=True, help="No live figures; one JSON document at the end.")
def demo(seconds: float, as_json: bool) -> None:
    """One gateway, an emulated fleet and a light load, with live figures: the first thing to run.

    \b
    Example:
        badgeryoke demo --seconds 20
    """
    from badgeryoke.testbed.emulator.run import EmulatedRun

    parsed, _ = _load("demo")
    parsed = replace(parsed, length_ms=seconds * 1000.0 if seconds > 0 else 24 * 3_600_000.0)
    console = Console()
    with Live(console=console, refresh_per_second=4, screen=False) as live:
        if as_json:
            live.stop()
        stage = EmulatedRun(parsed, 1, None, _event_painter(live, as_json))
        if not as_json:
            console.print(
                "badgeryoke demo: one real gateway on loopback, everything around it emulated. "
                "Ctrl-C ends it."
            )
        try:
            result = asyncio.run(_until_stopped(stage))
        except RuntimeError as error:
            click.echo(f"demo: {error}", err=True)
            sys.exit(FAILED)
    if as_json:
        _print_json({**result.figures(), **stage.extra_figures()})
    else:
        console.print(
            f"{result.verdict.tries} tries: {stage.counts['served']} served, "
            f"{stage.counts['refused']} refused, {stage.counts['failed']} failed; "
            f"{result.verdict.unanswered} without an answer, "
            f"{result.verdict.beyond_share:.1%} of the units beyond a quota."
        )
    sys.exit(0 if within_error_bounds(result) and not result.verdict.unanswered else VIOLATION)


async def _until_stopped(stage: Any) -> Result:
    """Run to the scenario's end, or to Ctrl-C, which stops the load and waits for the open requests."""
    import signal

    loop = asyncio.get_running_loop()

    def stop() -> None:
        stage.clients_running = False

    loop.add_signal_handler(signal.SIGINT, stop)
    result: Result = await stage.play()
    return result


def _event_painter(live: Live, silent: bool) -> Callable[[dict[str, Any]], None]:
    previous: dict[str, int] = {}

    def paint(event: dict[str, Any]) -> None:
        if event["event"] != "second" or silent:
            return
        counts: dict[str, int] = event["counts"]
        table = Table(title=f"after {event['at_ms'] / 1000.0:.0f} s", title_justify="left")
        for column in ("", "in the last second", "in all"):
            table.add_column(column, justify="left" if not column else "right")
        for key, value in counts.items():
            table.add_row(f"tries {key}", str(value - previous.get(key, 0)), str(value))
        for key in ("asked", "sent", "beyond"):
            table.add_row(f"units {key}", f"{event[key]:.0f}", "")
        previous.update(counts)
        live.update(table)

    return paint
