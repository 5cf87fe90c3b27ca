"""Tests of the schedule of plan versions, and of carrying a token bucket over between versions."""

from __future__ import annotations

import math
from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from badgeryoke.decisions.plan_schedule.carry_over import (
    MAX_DEBT_MS,
    BucketLevel,
    PlanLimits,
    arrival_time,
    carry_over,
    carry_over_ceiling,
    carry_over_quota,
    units_at,
)
from badgeryoke.decisions.plan_schedule.schedule import (
    MAX_PENDING_VERSIONS,
    MIN_LEAD_MS,
    PlanSchedule,
    PlanVersion,
    ScheduleError,
    schedules_agree,
)

OLD_LIMITS = PlanLimits(10.0, 40.0, 18.0, 60.0)
REDUCED_LIMITS, RAISED_LIMITS = PlanLimits(5.0, 20.0, 9.0, 30.0), PlanLimits(20.0, 80.0, 36.0, 120.0)
NOW = 1_000_000.0


def plan_schedule() -> PlanSchedule:
    return PlanSchedule({"dealer": OLD_LIMITS, "sari-sari": REDUCED_LIMITS})


def test_a_version_is_in_force_from_its_time_at_every_gateway() -> None:
    first, second = plan_schedule(), plan_schedule()
    for schedule, announced_at in ((first, NOW), (second, NOW + 700.0)):  # notified at different times
        assert isinstance(
            schedule.announce(announced_at, "dealer", 1, NOW + 5000.0, REDUCED_LIMITS), PlanVersion
        )
    for at, limits in ((NOW + 4999.9, OLD_LIMITS), (NOW + 5000.0, REDUCED_LIMITS)):
        assert first.limits_for(at, "dealer", 7) == second.limits_for(at, "dealer", 7) == limits
    assert first.next_change_at(NOW) == NOW + 5000.0 and first.next_change_at(NOW + 5000.0) == math.inf
    assert schedules_agree((first, second), NOW + 1000.0)


def test_a_version_can_be_cancelled_until_it_is_in_force_and_later_ones_with_it() -> None:
    schedule = plan_schedule()
    schedule.announce(NOW, "dealer", 1, NOW + 5000.0, REDUCED_LIMITS)
    schedule.announce(NOW, "dealer", 2, NOW + 9000.0, RAISED_LIMITS)
    assert isinstance(schedule.cancel(NOW + 4999.0, "dealer", 1), PlanVersion)
    assert (
        schedule.pending_versions(NOW) == []
        and schedule.limits_for(NOW + 20_000.0, "dealer", 7) == OLD_LIMITS
    )
    # A cancelled number can be used again.
    schedule.announce(NOW + 6000.0, "dealer", 1, NOW + 9000.0, RAISED_LIMITS)
    assert isinstance(schedule.cancel(NOW + 9000.0, "dealer", 1), ScheduleError)


@pytest.mark.parametrize(
    ("plan", "number", "lead_ms", "limits", "key"),
    [
        ("delaer", 1, 5000.0, REDUCED_LIMITS, "plan"),
        ("dealer", 2, 5000.0, REDUCED_LIMITS, "number"),
        ("dealer", 0, 5000.0, REDUCED_LIMITS, "number"),
        ("dealer", 1, MIN_LEAD_MS - 1, REDUCED_LIMITS, "holds_from_ms"),
        ("dealer", 1, math.nan, REDUCED_LIMITS, "holds_from_ms"),
        ("dealer", 1, 5000.0, PlanLimits(-1.0, 1.0), "figures.rate"),
        ("dealer", 1, 5000.0, PlanLimits(1.0, math.inf), "figures.burst"),
        ("dealer", 1, 5000.0, PlanLimits(1.0, 0.0), "figures.burst"),
        ("dealer", 1, 5000.0, PlanLimits(9.0, 9.0, 8.0, 20.0), "figures.ceiling_rate"),
        ("dealer", 1, 5000.0, PlanLimits(9.0, 9.0, 20.0, 8.0), "figures.ceiling_burst"),
    ],
)
def test_an_invalid_change_names_its_key_and_leaves_the_old_version(
    plan: str, number: int, lead_ms: float, limits: PlanLimits, key: str
) -> None:
    schedule = plan_schedule()
    error = schedule.announce(NOW, plan, number, NOW + lead_ms, limits)
    assert isinstance(error, ScheduleError) and error.key == key and error.problem
    assert schedule.limits_for(NOW + 60_000.0, "dealer", 7) == OLD_LIMITS


def test_announcing_a_version_is_idempotent_and_another_under_its_number_is_an_error() -> None:
    schedule = plan_schedule()
    first = schedule.announce(NOW, "dealer", 1, NOW + 5000.0, REDUCED_LIMITS)
    assert schedule.announce(NOW + 4000.0, "dealer", 1, NOW + 5000.0, REDUCED_LIMITS) == first
    assert isinstance(schedule.announce(NOW, "dealer", 1, NOW + 6000.0, REDUCED_LIMITS), ScheduleError)


def test_pending_versions_are_bounded_and_old_ones_dropped() -> None:
    schedule = plan_schedule()
    results = [
        schedule.announce(NOW, "dealer", number + 1, NOW + 5000.0 * (number + 1), REDUCED_LIMITS)
        for number in range(MAX_PENDING_VERSIONS + 1)
    ]
    assert [isinstance(result, ScheduleError) for result in results] == [False] * MAX_PENDING_VERSIONS + [
        True
    ]
    for number in range(9, 60):
        now = NOW + 1e6 * number
        assert isinstance(schedule.announce(now, "dealer", number, now + 9000.0, RAISED_LIMITS), PlanVersion)
    assert len(schedule._versions["dealer"]) <= 4


def test_an_exemption_takes_precedence_over_the_plan_and_ends() -> None:
    schedule = plan_schedule()
    schedule.exempt(NOW, 7, NOW + 3000.0, RAISED_LIMITS)
    assert (
        schedule.limits_for(NOW + 2999.0, "dealer", 7) == RAISED_LIMITS
        and schedule.limits_for(NOW, "dealer", 8) == OLD_LIMITS
    )
    assert schedule.limits_for(NOW + 3000.0, "dealer", 7) == OLD_LIMITS
    assert isinstance(schedule.exempt(NOW, 7, NOW, RAISED_LIMITS), ScheduleError)
    assert isinstance(schedule.limits_for(NOW, "no-plan", 8), ScheduleError)


@pytest.mark.parametrize(
    ("units", "new", "expected"),
    [
        (40.0, REDUCED_LIMITS, 20.0),
        (30.0, REDUCED_LIMITS, 10.0),
        (20.0, REDUCED_LIMITS, 0.0),
        (10.0, REDUCED_LIMITS, -10.0),  # a reduction: used units stay used
        (-30.0, REDUCED_LIMITS, -25.0),  # a larger debt would last longer than MAX_DEBT_MS
        (40.0, RAISED_LIMITS, 40.0),  # an increase grants no free burst
        (0.0, RAISED_LIMITS, 0.0),
        (-5.0, RAISED_LIMITS, -5.0),
    ],
)
def test_a_token_bucket_is_carried_over(units: float, new: PlanLimits, expected: float) -> None:
    assert carry_over_quota(BucketLevel(units), OLD_LIMITS, new).units == expected
    tat = arrival_time(NOW, expected, new)
    assert units_at(NOW, tat, new) == pytest.approx(expected)
    assert units_at(NOW + 1000.0, tat, new) == pytest.approx(min(expected + new.rate, new.burst))


def test_an_increase_that_is_taken_back_changes_nothing_and_refilled_units_count() -> None:
    raised = carry_over_quota(BucketLevel(40.0), OLD_LIMITS, RAISED_LIMITS)
    assert carry_over_quota(raised, RAISED_LIMITS, OLD_LIMITS) == BucketLevel(40.0)
    # 20 of the 40 units that the increase added have been refilled.
    refilled = BucketLevel(60.0, raised.ungranted)
    assert carry_over_quota(refilled, RAISED_LIMITS, OLD_LIMITS) == BucketLevel(40.0)


def test_a_ceilings_debt_is_not_limited_and_a_new_ceiling_starts_full() -> None:
    assert carry_over_ceiling(BucketLevel(-20.0), OLD_LIMITS, REDUCED_LIMITS).units == -50.0
    assert carry_over_ceiling(BucketLevel(0.0), PlanLimits(1.0, 1.0), RAISED_LIMITS) == BucketLevel(120.0)


BURSTS = st.lists(st.floats(1.0, 300.0), min_size=2, max_size=6)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(BURSTS, st.floats(-1.0, 1.0), st.floats(0.5, 50.0))
def test_no_order_of_changes_grants_units_or_rejects_a_customer_for_too_long(
    bursts: list[float], fill: float, rate: float
) -> None:
    bucket, ceiling = BucketLevel(bursts[0] * fill), BucketLevel(bursts[0] * fill)
    used = bursts[0] - ceiling.units
    max_debt = rate * MAX_DEBT_MS / 1000.0
    for old, new in pairwise(bursts):
        after = carry_over(bucket, old, new, max_debt)
        assert after.units <= max(bucket.units, -max_debt) + 1e-6 and after.units <= new + 1e-6
        assert -after.units <= max_debt + 1e-6 and after.ungranted >= 0
        bucket, ceiling = after, carry_over(ceiling, old, new)
        # Used units stay used.
        assert new - ceiling.units - ceiling.ungranted == pytest.approx(used, abs=1e-6)
