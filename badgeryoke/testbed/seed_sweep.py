"""`python -m badgeryoke.testbed.seed_sweep SCENARIO --seeds A..B --jobs J --json`: a scenario on sockets with
many seeds, one JSON document.

Each run has a process of its own; at most `--jobs` are played at once.  Beside worst and median of each
figure stands how loaded the machine was: the load average, and how late the emulator itself ran, which bounds
what the times say. A run in which it was later than `LATE_MS` counts as `late`: its front hears of a gateway
that turns clients away when that one has closed its connections already, so that a query lost there says
nothing of the roll. Exit code 1 where a run broke a promise, did not end its rolls, or did not come to its
end.
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
from badgeryoke.testbed.report.cluster_figures import spread
from badgeryoke.testbed.report.write import commit
from badgeryoke.testbed.scenario.parser import load
from badgeryoke.testbed.scenario.sexpr import TextError

LATE_MS = 300.0  # of the 450 that a gateway gives its front
BESIDE = (
    "load",
    "emulator_lag_ms",
    "took_s",
    "roll_ratio",
    "wait_p50_ms",
    "wait_p99_ms",
)  # of numbers, high is bad


def one(seed: int, name: str, to: Path | None) -> dict[str, Any]:
    """A seed's run as plain values; `fault` where it did not come to its end."""
    text, _ = load(name)
    folder = to / f"seed-{seed}" if to else None
    begun = time.monotonic()
    row: dict[str, Any] = {"seed": seed, "fault": ""}
    with contextlib.ExitStack() as ends:
        show = None
        if folder is not None:
            folder.mkdir(parents=True, exist_ok=True)
            events = ends.enter_context((folder / "events.jsonl").open("w", 1))

            def show(event: dict[str, Any]) -> None:
                events.write(json.dumps(event, sort_keys=True) + "\n")

        stage = EmulatedRun(text, seed, folder, show)
        try:
            asyncio.run(stage.play())
        except (RuntimeError, OSError) as fault:
            row["fault"] = str(fault)[:500]
    made = stage.cluster_figures()
    row |= {
        "figures": made.plain(),
        "bad": made.bad(),
        "queries": dict(stage.counts),
        **stage.extra_figures(),
    }
    if text.rolls and made.roll_state != "done":
        row["bad"].append("roll_state")
    promises, rolls = row.get("promises", {}), row.get("rolls", [])
    row |= {key: promises[key] for key in ("wait_p50_ms", "wait_p99_ms") if key in promises}
    if ratios := [roll["ratio"] for roll in rolls if roll["ratio"] is not None]:
        row["roll_ratio"] = max(ratios)
    row |= {"load": round(os.getloadavg()[0], 1), "took_s": round(time.monotonic() - begun, 1)}
    return row


def summary(name: str, rows: list[dict[str, Any]]) -> dict[str, Any]:
    """Over all seeds: worst and median of each figure, what was beside it, and which seeds failed by what."""
    beside = {}
    for key in BESIDE:
        known = sorted(row[key] for row in rows if key in row)
        beside[key] = {"worst": known[-1], "median": known[len(known) // 2]} if known else None
    by: dict[str, list[int]] = {}
    for row in rows:
        for key in [*row["bad"], *(["fault"] if row["fault"] else [])]:
            by.setdefault(key, []).append(row["seed"])
    late = [row["seed"] for row in rows if row["emulator_lag_ms"] > LATE_MS]
    queries = {kind: sum(row["queries"][kind] for row in rows) for kind in rows[0]["queries"]} if rows else {}
    return {
        "scenario": name,
        "commit": commit(),
        "runs": len(rows),
        "late": late,
        "failed": sum(map(bool, map(_failed, rows))),
        "by": by,
        "queries": queries,
        "beside": beside,
        "figures": spread([row["figures"] for row in rows]),
        "faults": [row["fault"] for row in rows if row["fault"]],
    }


def _failed(row: dict[str, Any]) -> bool:
    return bool(row["bad"] or row["fault"])


def _seeds(text: str) -> range:
    first, _, last = text.partition("..")
    return range(int(first), int(last or first) + 1)


def main(given: list[str] | None = None) -> int:
    """Play; 0 where no run fails."""
    wanted = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    wanted.add_argument("scenario")
    wanted.add_argument("--seeds", type=_seeds, default=range(1, 2), help="A..B, both played")
    wanted.add_argument("--jobs", type=int, default=1, choices=(1, 2, 3, 4))
    wanted.add_argument("--to", type=Path, help="folder for events, logs and stores of each run")
    wanted.add_argument("--json", action="store_true", help="each run's figures too")
    got = wanted.parse_args(given)
    try:
        text, _ = load(got.scenario)
    except (TextError, OSError) as fault:
        print(f"{got.scenario}: {fault}", file=sys.stderr)
        return 2
    if why_not := unsupported_reason(text):
        print(f"{got.scenario}: {why_not}", file=sys.stderr)
        return 2
    rows = []
    # A run leaves nothing to the next: neither its loop nor its garbage.
    with multiprocessing.get_context("spawn").Pool(got.jobs, maxtasksperchild=1) as pool:
        for row in pool.imap(partial(one, name=got.scenario, to=got.to), got.seeds):
            rows.append(row)
            print(
                f"seed {row['seed']}: {', '.join(row['bad']) or row['fault'] or 'good'}, {row['took_s']} s, "
                f"load {row['load']}",
                file=sys.stderr,
                flush=True,
            )
    made = summary(text.name, rows)
    print(json.dumps({**made, "rows": rows} if got.json else made, sort_keys=True, indent=1))
    return 1 if made["failed"] else 0


if __name__ == "__main__":
    sys.exit(main())
