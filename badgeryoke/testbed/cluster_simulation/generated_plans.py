"""Plays generated plans and scenarios, and shrinks failing plans."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from typing import Any

from badgeryoke.testbed.checkers.history_checker import Finding
from badgeryoke.testbed.cluster_simulation.fault_plan import Plan, generate_plan
from badgeryoke.testbed.cluster_simulation.world import SimulatedCluster
from badgeryoke.testbed.report.cluster_figures import FleetFigures
from badgeryoke.testbed.scenario.model import Scenario

WorldFactory = Callable[[Plan], SimulatedCluster]
MAX_UNAVAILABLE_MS, MAX_RESTORED_MS = 2000.0, 10_000.0


@dataclass(frozen=True, slots=True)
class PlayResult:
    """The result of a plan."""

    plan: Plan
    figures: FleetFigures
    findings: tuple[Finding, ...]

    @property
    def names(self) -> list[str]:
        """The names of all findings and bad figures, each once."""
        return list(dict.fromkeys([finding.name for finding in self.findings] + self.figures.violations()))

    def plain(self) -> dict[str, Any]:
        """The result as JSON values."""
        return {
            "seed": self.plan.seed,
            "figures": self.figures.to_dict(),
            "findings": [[finding.name, finding.at_ms, finding.facts] for finding in self.findings],
        }


def play(plan: Plan, world_factory: WorldFactory = SimulatedCluster) -> PlayResult:
    """Play a plan."""
    cluster = world_factory(plan)
    figures = cluster.run()
    return PlayResult(plan, figures, tuple(cluster.findings))


def play_seed(
    seed: int, members: int = 0, kind: str = "", world_factory: WorldFactory = SimulatedCluster
) -> PlayResult:
    """Play the generated plan of a seed."""
    return play(generate_plan(seed, members, kind), world_factory)


def shrink(plan: Plan, world_factory: WorldFactory = SimulatedCluster, max_plays: int = 200) -> PlayResult:
    """Return the smallest plan found that still fails with one of the names that `plan` fails with.

    The length is cut shortly after the finding; faults are removed greedily, first in halves and finally one by one.
    At most `max_plays` plans are played.
    """
    best = play(plan, world_factory)
    wanted_names = set(best.names)
    if not wanted_names:
        return best
    plays_left = max_plays

    def fails(candidate: Plan) -> bool:
        nonlocal best, plays_left
        if plays_left <= 0:
            return False
        plays_left -= 1
        result = play(candidate, world_factory)
        if wanted_names.isdisjoint(result.names):
            return False
        best = result
        return True

    if best.findings:
        fails(replace(best.plan, length_ms=min(best.plan.length_ms, best.findings[0].at_ms + 200.0)))
    fails(
        replace(
            best.plan, faults=tuple(fault for fault in best.plan.faults if fault.at_ms <= best.plan.length_ms)
        )
    )
    size = max(len(best.plan.faults) // 2, 1)
    while size:
        for candidate in _without(best.plan, size):
            if fails(candidate):
                break
        else:
            size //= 2
        size = min(size, len(best.plan.faults))
    for change in (
        {"halls": 1},
        {"groups": 1},
        {"groups": 2},
        {"keys": 1},
        {"copies": 3},
        {"proposals": 5.0},
    ):
        if any(getattr(best.plan, key) != value for key, value in change.items()):
            fails(replace(best.plan, **change))
    return best


def _without(plan: Plan, size: int) -> Iterator[Plan]:
    for start in range(0, len(plan.faults), size):
        yield replace(plan, faults=plan.faults[:start] + plan.faults[start + size :])


def plan_for_scenario(scenario: Scenario, seed: int) -> Plan:
    """The plan of a scenario's cluster."""
    return Plan(
        seed,
        scenario.gateways,
        scenario.halls,
        scenario.copies,
        length_ms=scenario.length_ms,
        proposals=scenario.proposals,
        contracts=scenario.contracts,
        rolls=scenario.rolls,
        connections=scenario.connections,
        servers=scenario.servers if scenario.connections else 0,
        faults=tuple(fault for fault in scenario.faults if fault.target in ("gateway", "gateways")),
    )


def play_scenario(
    scenario: Scenario, seed: int, world_factory: WorldFactory = SimulatedCluster
) -> FleetFigures:
    """Play a scenario's cluster for `lab sim`, and return its figures."""
    return play(plan_for_scenario(scenario, seed), world_factory).figures
