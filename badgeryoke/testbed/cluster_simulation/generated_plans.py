"""Plays drawn plans and scenarios, and makes a failing plan as small as it still fails."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from typing import Any

from badgeryoke.testbed.checkers.history_checker import Finding
from badgeryoke.testbed.cluster_simulation.fault_plan import Plan, draw
from badgeryoke.testbed.cluster_simulation.world import FleetWorld
from badgeryoke.testbed.report.cluster_figures import FleetFigures
from badgeryoke.testbed.scenario.model import Scenario

MakeWorld = Callable[[Plan], FleetWorld]
UNAVAILABLE_MS, RESTORED_MS = 2000.0, 10_000.0


@dataclass(frozen=True, slots=True)
class Played:
    """What a plan came to."""

    plan: Plan
    figures: FleetFigures
    findings: tuple[Finding, ...]

    @property
    def names(self) -> list[str]:
        """Of all that was found wrong, each once."""
        return list(dict.fromkeys([finding.name for finding in self.findings] + self.figures.violations()))

    def plain(self) -> dict[str, Any]:
        """As plain values."""
        return {
            "seed": self.plan.seed,
            "figures": self.figures.to_dict(),
            "findings": [[one.name, one.at_ms, one.facts] for one in self.findings],
        }


def play(plan: Plan, make: MakeWorld = FleetWorld) -> Played:
    """One run."""
    world = make(plan)
    figures = world.run()
    return Played(plan, figures, tuple(world.findings))


def play_seed(seed: int, members: int = 0, kind: str = "", make: MakeWorld = FleetWorld) -> Played:
    """The run that a seed gives."""
    return play(draw(seed, members, kind), make)


def shrink(plan: Plan, make: MakeWorld = FleetWorld, most: int = 200) -> Played:
    """The smallest plan found that still fails by one of the names that `plan` fails by: faults dropped
    greedily, first in halves and then one by one, the length cut behind the finding; at most so many
    plays."""
    best = play(plan, make)
    wanted = set(best.names)
    if not wanted:
        return best
    left = most

    def fails(tried: Plan) -> bool:
        nonlocal best, left
        if left <= 0:
            return False
        left -= 1
        got = play(tried, make)
        if wanted.isdisjoint(got.names):
            return False
        best = got
        return True

    if best.findings:
        fails(replace(best.plan, length_ms=min(best.plan.length_ms, best.findings[0].at_ms + 200.0)))
    fails(
        replace(best.plan, faults=tuple(one for one in best.plan.faults if one.at_ms <= best.plan.length_ms))
    )
    size = max(len(best.plan.faults) // 2, 1)
    while size:
        for tried in _without(best.plan, size):
            if fails(tried):
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
    for at in range(0, len(plan.faults), size):
        yield replace(plan, faults=plan.faults[:at] + plan.faults[at + size :])


def plan_of(scenario: Scenario, seed: int) -> Plan:
    """A scenario's fleet as a plan."""
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
        faults=tuple(one for one in scenario.faults if one.target in ("gateway", "gateways")),
    )


def play_scenario(scenario: Scenario, seed: int, make: MakeWorld = FleetWorld) -> FleetFigures:
    """For `lab sim`: the fleet's figures of a scenario."""
    return play(plan_of(scenario, seed), make).figures
