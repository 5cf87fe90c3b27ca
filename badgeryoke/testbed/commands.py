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

from badgeryoke.testbed.report.cluster_figures import FleetFigures, spread
from badgeryoke.testbed.report.result import Result, within_stated
from badgeryoke.testbed.report.write import compare_folders, write_folder
from badgeryoke.testbed.scenario.model import Scenario
from badgeryoke.testbed.scenario.parser import load, shipped
from badgeryoke.testbed.scenario.sexpr import TextError
from badgeryoke.testbed.simulation.world import play

BAD, UNUSABLE, FAILED = 1, 2, 4
KEYS = ("beyond_share", "sent_of_allowed", "ceiling_excess", "detect_ms")


def _load(name: str) -> tuple[Scenario, str]:
    """A scenario, or the end of the command with its fault."""
    try:
        return load(name)
    except TextError as fault:
        click.echo(f"{name}: {fault}", err=True)
    except OSError:
        click.echo(f"{name}: no such scenario or file; see `badgeryoke lab list`", err=True)
    sys.exit(UNUSABLE)


def _json(value: object) -> None:
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
        _json([{"name": name, "about": about} for name, about in found])
        return
    table = Table(box=None)
    table.add_column("scenario", no_wrap=True)
    table.add_column("what happens")
    for name, about in found:
        table.add_row(name, about)
    Console().print(table)


@lab.command()
@click.argument("scenario")
@click.option("--seed", default=1, show_default=True, help="Of the clients' and servers' chance.")
@click.option("--watch/--no-watch", default=None, help="Switch the watch over the counter on or off.")
@click.option("--to", type=click.Path(path_type=Path), help="Folder for figures, events and the report.")
@click.option("--json", "as_json", is_flag=True, help="The figures as one JSON document.")
def run(scenario: str, seed: int, watch: bool | None, to: Path | None, as_json: bool) -> None:
    """Play SCENARIO (a shipped name or a file) on sockets, with real gateway processes.

    It takes the scenario's length in real time, and some seconds more.  Exit code 1 where a ceiling was
    broken, the stated error passed, or something that the fleet promised does not hold.

    \b
    Example:
        badgeryoke lab run counter-split --to results/split --json
    """
    from badgeryoke.testbed.emulator.cluster import unsupported_reason
    from badgeryoke.testbed.emulator.run import EmulatedRun

    text, source = _load(scenario)
    if why_not := unsupported_reason(text):
        click.echo(f"{scenario}: {why_not}", err=True)
        sys.exit(UNUSABLE)
    if watch is not None:
        text = replace(text, watch=watch)
    with Progress(console=Console(stderr=True), transient=True, disable=as_json) as progress:
        task = progress.add_task(text.name, total=text.length_ms)

        def show(event: dict[str, Any]) -> None:
            progress.update(task, completed=event["at_ms"])

        stage = EmulatedRun(text, seed, to / "gateways" if to else None, show)
        try:
            result = asyncio.run(stage.play())
        except (RuntimeError, OSError) as fault:
            click.echo(f"{scenario}: {fault}", err=True)
            sys.exit(FAILED)
    fleet = stage.cluster_figures()
    figures = {**result.figures(), **stage.extra_figures(), **fleet.plain(), "kind": "sockets"}
    if to is not None:
        write_folder(to, text, source, [result], figures, stage.events)
    _show(figures, within_stated(result) and not fleet.bad(), as_json, to)


def _show(figures: dict[str, Any], good: bool, as_json: bool, to: Path | None) -> None:
    if as_json:
        _json(figures)
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
    sys.exit(0 if good else BAD)


def _one(job: tuple[Scenario, int]) -> tuple[Result, FleetFigures]:
    """One seed, of the decisions on requests and of what gateways share."""
    text, seed = job
    if not text.fleet:
        return play(text, seed), FleetFigures()
    from badgeryoke.testbed.cluster_simulation.generated_plans import play_scenario

    return play(text, seed), play_scenario(text, seed)


@lab.command()
@click.argument("scenario")
@click.option("--seeds", default=1, show_default=True, type=click.IntRange(1, 100_000))
@click.option("--gateways", type=click.IntRange(1, 200), help="Another number than the scenario's.")
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

    The same scenario and seed give the same bytes.  Exit code 1 where a ceiling was broken, the stated
    error passed, or something that the fleet promised does not hold, with any seed.

    \b
    Example:
        badgeryoke lab sim counter-split --seeds 100
    """
    text, source = _load(scenario)
    if watch is not None:
        text = replace(text, watch=watch)
    if gateways is not None:
        text = resize(text, gateways)
    results: list[Result] = []
    fleets: list[FleetFigures] = []
    with (
        multiprocessing.Pool(jobs or None) as pool,
        Progress(console=Console(stderr=True), transient=True, disable=as_json) as progress,
    ):
        task = progress.add_task(text.name, total=seeds)
        for result, fleet in pool.imap(_one, [(text, seed) for seed in range(1, seeds + 1)]):
            results.append(result)
            fleets.append(fleet)
            progress.advance(task)
    figures = summary(text, results, fleets)
    if to is not None:
        events = [
            {
                "at_ms": shown.at_ms,
                "event": "belief",
                "gateway": shown.gateway + 1,
                "belief": shown.belief,
                "sign": shown.sign,
            }
            for shown in results[0].beliefs
        ]
        write_folder(to, text, source, results, figures, events)
    if as_json:
        _json(figures)
    else:
        table = Table(box=None)
        for column in ("", "worst", "median", "best"):
            table.add_column(column)
        for key, row in figures["spread"].items():
            if key in KEYS or figures[key] is not None:
                table.add_row(key, *(str(row.get(part, "")) for part in ("worst", "median", "best")))
        Console().print(table)
        click.echo(
            f"stated error {figures['stated_error']:.3f}, "
            f"ceilings broken {figures['ceiling_broken']}, "
            f"false alarms {figures['false_alarms']}, seeds {seeds}"
        )
    sys.exit(0 if all(map(within_stated, results)) and not any(one.bad() for one in fleets) else BAD)


def resize(text: Scenario, gateways: int) -> Scenario:
    """The scenario with another number of gateways: a split keeps the first alone, or the first third."""
    cut = max(gateways // 3, 1)
    groups = (tuple(range(1, cut + 1)), tuple(range(cut + 1, gateways + 1)))
    faults = tuple(replace(fault, groups=groups) if fault.word == "split" else fault for fault in text.faults)
    return replace(text, gateways=gateways, started=gateways, faults=faults)


def summary(
    text: Scenario, results: list[Result], fleets: list[FleetFigures] | None = None
) -> dict[str, Any]:
    """Figures over all seeds: worst, median and best of each; the fleet's own keys hold the worst."""
    rows = [result.figures() for result in results]
    parts: dict[str, dict[str, Any]] = {}
    for key in KEYS:
        known = sorted(row[key] for row in rows if row[key] is not None)
        if not known:
            parts[key] = {"worst": None, "median": None, "best": None}
            continue
        low_is_bad = key == "sent_of_allowed"
        parts[key] = {
            "worst": known[0 if low_is_bad else -1],
            "median": known[len(known) // 2],
            "best": known[-1 if low_is_bad else 0],
        }
    fleet = spread([one.plain() for one in fleets or [FleetFigures()]])
    worst = {key: row.get("worst") for key, row in fleet.items()}
    if states := [one.roll_state for one in fleets or [] if one.roll_state is not None]:
        worst["roll_state"] = next((state for state in states if state != "done"), "done")
    return {
        "scenario": text.name,
        "kind": "simulated",
        "seeds": len(rows),
        "gateways": text.gateways,
        "watch": text.watch,
        "spread": {**parts, **fleet},
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
    except (OSError, ValueError) as fault:
        click.echo(f"compare: {fault}", err=True)
        sys.exit(UNUSABLE)
    if as_json:
        _json(rows)
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
    """Write the HTML page of a result folder anew.

    \b
    Example:
        badgeryoke lab report results/split
    """
    from badgeryoke.testbed.report.write import render_folder

    try:
        click.echo(str(render_folder(folder)))
    except (OSError, ValueError, KeyError) as fault:
        click.echo(f"report: {folder}: not a result folder ({fault})", err=True)
        sys.exit(UNUSABLE)


@click.command()
@click.option("--seconds", default=0.0, help="End after so long; 0: at Ctrl-C.")
@click.option("--json", "as_json", is_flag=True, help="No live figures; one JSON document at the end.")
def demo(seconds: float, as_json: bool) -> None:
    """One gateway, an emulated fleet and a light load, with live figures: the first thing to run.

    \b
    Example:
        badgeryoke demo --seconds 20
    """
    from badgeryoke.testbed.emulator.run import EmulatedRun

    text, _ = _load("demo")
    text = replace(text, length_ms=seconds * 1000.0 if seconds > 0 else 24 * 3_600_000.0)
    console = Console()
    with Live(console=console, refresh_per_second=4, screen=False) as live:
        if as_json:
            live.stop()
        stage = EmulatedRun(text, 1, None, _painter(live, as_json))
        if not as_json:
            console.print(
                "badgeryoke demo: one real gateway on loopback, everything around it emulated. "
                "Ctrl-C ends it."
            )
        try:
            result = asyncio.run(_until_stopped(stage))
        except RuntimeError as fault:
            click.echo(f"demo: {fault}", err=True)
            sys.exit(FAILED)
    if as_json:
        _json({**result.figures(), **stage.extra_figures()})
    else:
        console.print(
            f"{result.verdict.tries} tries: {stage.counts['served']} served, "
            f"{stage.counts['refused']} refused, {stage.counts['failed']} failed; "
            f"{result.verdict.unanswered} without an answer, "
            f"{result.verdict.beyond_share:.1%} of the units beyond a quota."
        )
    sys.exit(0 if within_stated(result) and not result.verdict.unanswered else BAD)


async def _until_stopped(stage: Any) -> Result:
    """Play until its length or Ctrl-C, which ends the load and lets what is open be answered."""
    import signal

    loop = asyncio.get_running_loop()

    def stop() -> None:
        stage.clients_running = False

    loop.add_signal_handler(signal.SIGINT, stop)
    result: Result = await stage.play()
    return result


def _painter(live: Live, silent: bool) -> Callable[[dict[str, Any]], None]:
    last: dict[str, int] = {}

    def paint(event: dict[str, Any]) -> None:
        if event["event"] != "second" or silent:
            return
        counts: dict[str, int] = event["counts"]
        table = Table(title=f"after {event['at_ms'] / 1000.0:.0f} s", title_justify="left")
        for column in ("", "in the last second", "in all"):
            table.add_column(column, justify="left" if not column else "right")
        for key, value in counts.items():
            table.add_row(f"tries {key}", str(value - last.get(key, 0)), str(value))
        for key in ("asked", "sent", "beyond"):
            table.add_row(f"units {key}", f"{event[key]:.0f}", "")
        last.update(counts)
        live.update(table)

    return paint
