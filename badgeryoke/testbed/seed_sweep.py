"""`python -m badgeryoke.testbed.seed_sweep SCENARIO --seeds A..B --jobs J --json`: runs a scenario on sockets
with many seeds and prints one JSON document.

Each run has its own process; at most `--jobs` run at once.  The document has the worst and median value of each
figure, the load average, and the emulator's own delay, which limits the accuracy of the measured times.  A run
with a delay above `LATE_MS` counts as `late`: the emulated clients notice a draining gateway only after it has
closed its connections, so a request lost there is not a fault of the rolling restart.  The exit code is 1 if a
run violated a guarantee, did not complete its rolling restarts, or failed.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import multiprocessing
import os
import sys
import time
from functools import partial
from pathlib import Path
from typing import Any

from badgeryoke.testbed.emulator.cluster import unsupported_reason
from badgeryoke.testbed.emulator.run import EmulatedRun
from badgeryoke.testbed.report.cluster_figures import worst_and_median
from badgeryoke.testbed.report.write import commit
from badgeryoke.testbed.scenario.parser import load
from badgeryoke.testbed.scenario.sexpr import TextError

LATE_MS = 300.0  # a draining gateway gives its clients 450 ms to leave
# Further numbers of a run, besides its figures; higher is worse.
RUN_METRICS = (
    "load",
    "emulator_lag_ms",
    "took_s",
    "roll_ratio",
    "wait_p50_ms",
    "wait_p99_ms",
)


def run_seed(seed: int, name: str, to: Path | None) -> dict[str, Any]:
    """Run one seed; returns JSON values, with `fault` set if the run failed."""
    scenario, _ = load(name)
    folder = to / f"seed-{seed}" if to else None
    started_s = time.monotonic()
    row: dict[str, Any] = {"seed": seed, "fault": ""}
    with contextlib.ExitStack() as stack:
        on_event = None
        if folder is not None:
            folder.mkdir(parents=True, exist_ok=True)
            events = stack.enter_context((folder / "events.jsonl").open("w", 1))

            def on_event(event: dict[str, Any]) -> None:
                events.write(json.dumps(event, sort_keys=True) + "\n")

        stage = EmulatedRun(scenario, seed, folder, on_event)
        try:
            asyncio.run(stage.play())
        except (RuntimeError, OSError) as error:
            row["fault"] = str(error)[:500]
    figures = stage.cluster_figures()
    row |= {
        "figures": figures.to_dict(),
        "bad": figures.violations(),
        "queries": dict(stage.counts),
        **stage.extra_figures(),
    }
    if scenario.rolls and figures.roll_state != "done":
        row["bad"].append("roll_state")
    writes, rolls = row.get("promises", {}), row.get("rolls", [])
    row |= {key: writes[key] for key in ("wait_p50_ms", "wait_p99_ms") if key in writes}
    if ratios := [roll["ratio"] for roll in rolls if roll["ratio"] is not None]:
        row["roll_ratio"] = max(ratios)
    row |= {"load": round(os.getloadavg()[0], 1), "took_s": round(time.monotonic() - started_s, 1)}
    return row


def summary(name: str, rows: list[dict[str, Any]]) -> dict[str, Any]:
    """Summarise all seeds: worst and median of each figure and metric, and the failed seeds by violation."""
    metrics = {}
    for key in RUN_METRICS:
        values = sorted(row[key] for row in rows if key in row)
        metrics[key] = {"worst": values[-1], "median": values[len(values) // 2]} if values else None
    seeds_by_violation: dict[str, list[int]] = {}
    for row in rows:
        for key in [*row["bad"], *(["fault"] if row["fault"] else [])]:
            seeds_by_violation.setdefault(key, []).append(row["seed"])
    late_seeds = [row["seed"] for row in rows if row["emulator_lag_ms"] > LATE_MS]
    queries = {kind: sum(row["queries"][kind] for row in rows) for kind in rows[0]["queries"]} if rows else {}
    return {
        "scenario": name,
        "commit": commit(),
        "runs": len(rows),
        "late": late_seeds,
        "failed": sum(map(bool, map(_failed, rows))),
        "by": seeds_by_violation,
        "queries": queries,
        "beside": metrics,
        "figures": worst_and_median([row["figures"] for row in rows]),
        "faults": [row["fault"] for row in rows if row["fault"]],
    }


def _failed(row: dict[str, Any]) -> bool:
    return bool(row["bad"] or row["fault"])


def _seeds(text: str) -> range:
    first, _, last = text.partition("..")
    return range(int(first), int(last or first) + 1)


def main(arguments: list[str] | None = None) -> int:
    """Run the sweep; returns 0 if no run failed, 1 if one did, 2 for unusable arguments."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("scenario")
    parser.add_argument("--seeds", type=_seeds, default=range(1, 2), help="A..B, both included")
    parser.add_argument("--jobs", type=int, default=1, choices=(1, 2, 3, 4))
    parser.add_argument("--to", type=Path, help="folder for events, logs and stores of each run")
    parser.add_argument("--json", action="store_true", help="each run's figures too")
    options = parser.parse_args(arguments)
    try:
        scenario, _ = load(options.scenario)
    except (TextError, OSError) as error:
        print(f"{options.scenario}: {error}", file=sys.stderr)
        return 2
    if problem := unsupported_reason(scenario):
        print(f"{options.scenario}: {problem}", file=sys.stderr)
        return 2
    rows = []
    # Each run gets a new process, so that no event loop or garbage is left from the run before.
    with multiprocessing.get_context("spawn").Pool(options.jobs, maxtasksperchild=1) as pool:
        for row in pool.imap(partial(run_seed, name=options.scenario, to=options.to), options.seeds):
            rows.append(row)
            print(
                f"seed {row['seed']}: {', '.join(row['bad']) or row['fault'] or 'good'}, {row['took_s']} s, "
                f"load {row['load']}",
                file=sys.stderr,
                flush=True,
            )
    document = summary(scenario.name, rows)
    print(json.dumps({**document, "rows": rows} if options.json else document, sort_keys=True, indent=1))
    return 1 if document["failed"] else 0


if __name__ == "__main__":
    sys.exit(main())
