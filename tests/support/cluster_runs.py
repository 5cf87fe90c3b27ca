"""Helpers shared by simulations of replicated parts: leaders' views, seeded runs, and Hypothesis state machines."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from hypothesis import HealthCheck, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

from badgeryoke.cluster.invariants import InvariantViolation, Rule
from badgeryoke.cluster.state_machine_part import LeaderView
from badgeryoke.cluster.timings import Timings

STEP_MS = 100.0  # simulated time of one step
CLOCK_DRIFT = 0.05
TIMINGS = Timings(clock_drift=CLOCK_DRIFT)


def leader_view(now: float, leader_since_ms: float, **fields: Any) -> LeaderView:
    """Return the view of a leader since `leader_since_ms`; fields that are not given are those of an empty cluster."""
    all_fields: dict[str, Any] = {
        "member_id": "g0/1",
        "alive_ids": frozenset(),
        "dead_for_ms": {},
        "zones": {},
        "load": {},
        "voters_by_group": {},
        "lagging_replicas": {},
        **fields,
    }
    return LeaderView(now=now, wall=now, leader_since_ms=leader_since_ms, timings=TIMINGS, **all_fields)


def run_state_machine(machine: type[RuleBasedStateMachine], examples: int, steps: int) -> None:
    """Run a Hypothesis state machine with the same examples each time."""
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=steps,
            deadline=None,
            derandomize=True,
            database=None,
            suppress_health_check=list(HealthCheck),
        ),
    )


def first_broken_rule(run: Callable[[int], object], seeds: int) -> Rule | None:
    """Return the rule that the first failing run violates, over the seeds 0 to `seeds` - 1; None if none fails."""
    for seed in range(seeds):
        try:
            run(seed)
        except InvariantViolation as violation:
            return violation.rule
    return None
