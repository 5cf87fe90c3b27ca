"""`python -m badgeryoke.testbed.cluster_simulation.soak --seeds N --jobs J`: plays drawn plans, and prints
one JSON document.

The same seeds give the same document whatever the number of processes.  Exit code 1 where a seed fails.
"""

from __future__ import annotations

import argparse
import json
import multiprocessing
import sys
from functools import partial
from typing import Any

from badgeryoke.testbed.cluster_simulation.fault_plan import KINDS, draw
from badgeryoke.testbed.cluster_simulation.generated_plans import (
    RESTORED_MS,
    UNAVAILABLE_MS,
    play_seed,
    shrink,
)
from badgeryoke.testbed.report.cluster_figures import worst_and_median


def one(seed: int, members: int, kind: str) -> dict[str, Any]:
    """A seed's outcome as plain values."""
    played = play_seed(seed, members, kind)
    return {**played.plain(), "names": played.names, "kind": kind or KINDS[seed % len(KINDS)]}


def summary(rows: list[dict[str, Any]]) -> dict[str, Any]:
    """Over all seeds: worst and median of each figure, and which seeds failed by what."""
    names: dict[str, list[int]] = {}
    for row in rows:
        for name in row["names"]:
            names.setdefault(name, []).append(row["seed"])
    made: dict[str, Any] = {
        "seeds": len(rows),
        "failed": sum(bool(row["names"]) for row in rows),
        "by": names,
        "first": {
            name: next((f for f in row["findings"] if f[0] == name), None)
            for name in names
            for row in rows
            if row["seed"] == names[name][0]
        },
        "figures": worst_and_median([row["figures"] for row in rows]),
        "kinds": {},
    }
    for kind in KINDS:
        mine = [row for row in rows if row["kind"] == kind]
        if mine:
            figures = [row["figures"] for row in mine]
            made["kinds"][kind] = {
                "seeds": len(mine),
                "failed": sum(bool(row["names"]) for row in mine),
                "unavailable_ms": worst_and_median(figures)["unavailable_ms"],
                "copies_restored_ms": worst_and_median(figures)["copies_restored_ms"],
                "slow_seeds": [
                    row["seed"]
                    for row in mine
                    if (row["figures"]["unavailable_ms"] or 0) > UNAVAILABLE_MS
                    or (row["figures"]["copies_restored_ms"] or 0) > RESTORED_MS
                ][:20],
            }
    return made


def main(given: list[str] | None = None) -> int:
    """Play; 0 where no seed fails."""
    wanted = argparse.ArgumentParser(description=__doc__)
    wanted.add_argument("--seeds", type=int, default=100)
    wanted.add_argument("--first", type=int, default=1)
    wanted.add_argument("--jobs", type=int, default=0, help="processes; 0: one for each core")
    wanted.add_argument("--members", type=int, default=0, help="0: drawn")
    wanted.add_argument("--kind", choices=KINDS, default="")
    wanted.add_argument(
        "--shrink", action="store_true", help="print the smallest plan of the first failing seed"
    )
    got = wanted.parse_args(given)
    seeds = range(got.first, got.first + got.seeds)
    play = partial(one, members=got.members, kind=got.kind)
    if got.jobs == 1:
        rows = [play(seed) for seed in seeds]
    else:
        with multiprocessing.Pool(got.jobs or None) as pool:
            rows = list(pool.imap(play, seeds))
    print(json.dumps(summary(rows), sort_keys=True, indent=1))
    failed = [row["seed"] for row in rows if row["names"]]
    if failed and got.shrink:
        small = shrink(draw(failed[0], got.members, got.kind))
        print(
            small.plan.text(),
            *(f"{found.name} at {found.at_ms}: {found.facts}" for found in small.findings),
            sep="\n",
            file=sys.stderr,
        )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
