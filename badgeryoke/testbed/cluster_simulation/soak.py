"""`python -m badgeryoke.testbed.cluster_simulation.soak --seeds N --jobs J`: plays generated plans, and prints
one JSON document.

The same seeds give the same document with any number of processes.  Exit code 1 if a seed fails.
"""

from __future__ import annotations

import argparse
import json
import multiprocessing
import sys
from functools import partial
from typing import Any

from badgeryoke.testbed.cluster_simulation.fault_plan import KINDS, generate_plan
from badgeryoke.testbed.cluster_simulation.generated_plans import (
    MAX_RESTORED_MS,
    MAX_UNAVAILABLE_MS,
    play_seed,
    shrink,
)
from badgeryoke.testbed.report.cluster_figures import worst_and_median


def play_one(seed: int, members: int, kind: str) -> dict[str, Any]:
    """The result of a seed's plan as JSON values."""
    played = play_seed(seed, members, kind)
    return {**played.plain(), "names": played.names, "kind": kind or KINDS[seed % len(KINDS)]}


def summary(rows: list[dict[str, Any]]) -> dict[str, Any]:
    """Summarize all seeds: worst and median of each figure, and the failed seeds by finding."""
    names: dict[str, list[int]] = {}
    for row in rows:
        for name in row["names"]:
            names.setdefault(name, []).append(row["seed"])
    document: dict[str, Any] = {
        "seeds": len(rows),
        "failed": sum(bool(row["names"]) for row in rows),
        "by": names,
        "first": {
            name: next((finding for finding in row["findings"] if finding[0] == name), None)
            for name in names
            for row in rows
            if row["seed"] == names[name][0]
        },
        "figures": worst_and_median([row["figures"] for row in rows]),
        "kinds": {},
    }
    for kind in KINDS:
        rows_of_kind = [row for row in rows if row["kind"] == kind]
        if rows_of_kind:
            figures = [row["figures"] for row in rows_of_kind]
            document["kinds"][kind] = {
                "seeds": len(rows_of_kind),
                "failed": sum(bool(row["names"]) for row in rows_of_kind),
                "unavailable_ms": worst_and_median(figures)["unavailable_ms"],
                "copies_restored_ms": worst_and_median(figures)["copies_restored_ms"],
                "slow_seeds": [
                    row["seed"]
                    for row in rows_of_kind
                    if (row["figures"]["unavailable_ms"] or 0) > MAX_UNAVAILABLE_MS
                    or (row["figures"]["copies_restored_ms"] or 0) > MAX_RESTORED_MS
                ][:20],
            }
    return document


def main(argv: list[str] | None = None) -> int:
    """Play the seeds and print the summary; returns 1 if a seed fails, else 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=100)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=0, help="processes; 0: one for each core")
    parser.add_argument("--members", type=int, default=0, help="0: generated")
    parser.add_argument("--kind", choices=KINDS, default="")
    parser.add_argument(
        "--shrink", action="store_true", help="print the smallest plan of the first failing seed"
    )
    options = parser.parse_args(argv)
    seeds = range(options.first, options.first + options.seeds)
    play = partial(play_one, members=options.members, kind=options.kind)
    if options.jobs == 1:
        rows = [play(seed) for seed in seeds]
    else:
        with multiprocessing.Pool(options.jobs or None) as pool:
            rows = list(pool.imap(play, seeds))
    print(json.dumps(summary(rows), sort_keys=True, indent=1))
    failed = [row["seed"] for row in rows if row["names"]]
    if failed and options.shrink:
        smallest = shrink(generate_plan(failed[0], options.members, options.kind))
        print(
            smallest.plan.text(),
            *(f"{finding.name} at {finding.at_ms}: {finding.facts}" for finding in smallest.findings),
            sep="\n",
            file=sys.stderr,
        )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
