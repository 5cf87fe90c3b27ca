"""Simulations of the decision engine with counter health checks, under faults that hypothesis generates: the ceiling
holds within its error bound and every request has exactly one final answer."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from badgeryoke.decisions.counter_health.error_bound import CEILING_ERROR_FRACTION
from badgeryoke.testbed.scenario.model import CustomerGroup, Fault, PlanText, Scenario
from badgeryoke.testbed.scenario.parser import load
from badgeryoke.testbed.simulation.counter import CounterModel, CounterResponse
from badgeryoke.testbed.simulation.world import World, play

CEILING_PLAN = PlanText("distributor", 25.0, 45.0, 45.0, 80.0, 8.0)
PARTITIONS = (((1,), (2, 3)), ((1, 2), (3,)), ((1,), (2,), (3,)), ((2,), (1, 3)))


@st.composite
def fault_sequences(draw: st.DrawFn) -> tuple[Fault, ...]:
    """Up to six faults, in any order."""
    faults = []
    for _ in range(draw(st.integers(1, 6))):
        at = float(draw(st.integers(1000, 7000)))
        word = draw(
            st.sampled_from(
                ("split", "heal", "kill", "start", "freeze", "thaw", "swap", "restore", "slow", "spike")
            )
        )
        groups: tuple[tuple[int, ...], ...] = ((draw(st.integers(1, 3)),),)
        mode, amount, target = "", 1000.0, "counter"
        if word == "split":
            groups = draw(st.sampled_from(PARTITIONS))
        elif word == "heal":
            mode, amount = draw(st.sampled_from(("", "keep"))), float(groups[0][0])
        elif word == "swap":
            mode = draw(st.sampled_from(("", "forget")))
        elif word in ("slow", "spike"):
            amount = float(draw(st.integers(1, 4)))
            target = "counter" if word == "slow" else "customers"
        elif word in ("kill", "start"):
            target = draw(st.sampled_from(("counter", "gateway")))
        faults.append(Fault(at, word, target, groups, amount, mode))
    return tuple(sorted(faults, key=lambda fault: fault.at_ms))


@settings(
    max_examples=20,
    deadline=None,
    derandomize=True,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)
@given(fault_sequences(), st.integers(0, 2**16), st.floats(0.5, 7.0), st.floats(0.0, 200.0))
def test_any_order_of_faults_keeps_the_ceiling(
    happening: tuple[Fault, ...], seed: int, demand: float, skew: float
) -> None:
    scenario = Scenario(
        "drawn",
        length_ms=8000.0,
        plans=(CEILING_PLAN,),
        faults=happening,
        clock_skew_ms=skew,
        customer_groups=(CustomerGroup(2, "distributor", (2, 3), (demand, demand), 0.73, 3000.0),),
    )
    verdict = play(scenario, seed).verdict
    assert verdict.ceiling_excess <= CEILING_ERROR_FRACTION
    assert verdict.unanswered == verdict.twice_answered == 0


@pytest.mark.parametrize("spike", [10.0, 60.0])
@pytest.mark.parametrize("sides", PARTITIONS)
def test_a_burst_from_full_buckets_during_a_partition_keeps_the_ceiling(
    spike: float, sides: tuple[tuple[int, ...], ...]
) -> None:
    """Guards against sends beyond the ceiling before the partition is detected: all sides use their buckets, and at
    18 times the quota ceilings were exceeded by a half."""
    scenario = Scenario(
        "burst",
        length_ms=7000.0,
        plans=(CEILING_PLAN,),
        customer_groups=(CustomerGroup(3, "distributor", (3, 3), (0.3, 0.3)),),
        faults=(Fault(4000.0, "spike", "customers", amount=spike), Fault(4000.0, "split", "counter", sides)),
    )
    verdict = play(scenario, 1).verdict
    assert verdict.ceiling_excess <= CEILING_ERROR_FRACTION and verdict.tries > 300


def test_the_same_seed_gives_the_same_bytes() -> None:
    scenario, _ = load("counter-split")
    first, second = (repr((play(scenario, 5).figures(), play(scenario, 5).totals_by_step)) for _ in range(2))
    assert first == second


def test_a_partition_without_health_checks_exceeds_the_quotas() -> None:
    """Shows that the check can fail: the decision engine alone does not detect a partition."""
    scenario, _ = load("counter-split")
    scenario = replace(scenario, length_ms=20_000.0)
    unmonitored, monitored = play(replace(scenario, watch=False), 3), play(scenario, 3)
    assert unmonitored.verdict.beyond_share > 0.3 and monitored.verdict.beyond_share < 0.05


def test_a_healed_partition_counts_each_unit_once() -> None:
    """After the sides are merged, the total of every name that was live on both sides is the sum of all gateways'
    reports."""
    scenario, _ = load("counter-split")
    world = World(scenario, 2)
    reported_units: dict[int, float] = {}
    mismatched: list[int] = []
    checked: list[int] = []

    class RecordingCounter(CounterModel):
        def call(
            self, now: float, gateway: int, name: int, units: float, expire_ms: float
        ) -> CounterResponse:
            reported_units[name] = reported_units.get(name, 0.0) + units
            return super().call(now, gateway, name, units, expire_ms)

        def inject_fault(self, now: float, fault: Fault) -> None:
            live_names = [
                {name for name, (_, ends) in side[0].totals.items() if ends > now} for side in self._sides
            ]
            super().inject_fault(now, fault)
            if fault.word == "heal":
                totals = self._sides[0][0].totals
                checked.extend(set.intersection(*live_names))
                mismatched.extend(
                    name for name in checked if abs(totals[name][0] - reported_units[name]) > 1e-6
                )

    world.counter.__class__ = RecordingCounter
    world.run()
    assert len(checked) > 20 and not mismatched
