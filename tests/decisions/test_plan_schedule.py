"""The book of plans and the rule by which a store is carried over."""

from __future__ import annotations

import math
from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from badgeryoke.decisions.plan_schedule.carry_over import (
    DEBT_MOST_MS,
    BucketLevel,
    PlanFigures,
    arrival_of,
    carry,
    carry_ceiling,
    carry_quota,
    room_of,
)
from badgeryoke.decisions.plan_schedule.schedule import (
    LEAD_MS,
    MOST_AHEAD,
    PlanSchedule,
    PlanVersion,
    ScheduleError,
    same_book,
)

OLD = PlanFigures(10.0, 40.0, 18.0, 60.0)
LESS, MORE = PlanFigures(5.0, 20.0, 9.0, 30.0), PlanFigures(20.0, 80.0, 36.0, 120.0)
NOW = 1_000_000.0


def book() -> PlanSchedule:
    return PlanSchedule({"dealer": OLD, "sari-sari": LESS})


def test_a_change_holds_from_its_moment_at_every_gateway() -> None:
    one, two = book(), book()
    for made, told in ((one, NOW), (two, NOW + 700.0)):  # told at different times
        assert isinstance(made.announce(told, "dealer", 1, NOW + 5000.0, LESS), PlanVersion)
    for at, figures in ((NOW + 4999.9, OLD), (NOW + 5000.0, LESS)):
        assert one.figures(at, "dealer", 7) == two.figures(at, "dealer", 7) == figures
    assert one.next_change(NOW) == NOW + 5000.0 and one.next_change(NOW + 5000.0) == math.inf
    assert same_book((one, two), NOW + 1000.0)


def test_a_change_can_be_called_off_until_it_holds_and_takes_later_ones_with_it() -> None:
    made = book()
    made.announce(NOW, "dealer", 1, NOW + 5000.0, LESS)
    made.announce(NOW, "dealer", 2, NOW + 9000.0, MORE)
    assert isinstance(made.call_off(NOW + 4999.0, "dealer", 1), PlanVersion)
    assert made.waiting(NOW) == [] and made.figures(NOW + 20_000.0, "dealer", 7) == OLD
    made.announce(NOW + 6000.0, "dealer", 1, NOW + 9000.0, MORE)  # the number is free again
    assert isinstance(made.call_off(NOW + 9000.0, "dealer", 1), ScheduleError)


@pytest.mark.parametrize(
    ("plan", "number", "ahead", "figures", "key"),
    [
        ("delaer", 1, 5000.0, LESS, "plan"),
        ("dealer", 2, 5000.0, LESS, "number"),
        ("dealer", 0, 5000.0, LESS, "number"),
        ("dealer", 1, LEAD_MS - 1, LESS, "holds_from_ms"),
        ("dealer", 1, math.nan, LESS, "holds_from_ms"),
        ("dealer", 1, 5000.0, PlanFigures(-1.0, 1.0), "figures.rate"),
        ("dealer", 1, 5000.0, PlanFigures(1.0, math.inf), "figures.burst"),
        ("dealer", 1, 5000.0, PlanFigures(1.0, 0.0), "figures.burst"),
        ("dealer", 1, 5000.0, PlanFigures(9.0, 9.0, 8.0, 20.0), "figures.ceiling_rate"),
        ("dealer", 1, 5000.0, PlanFigures(9.0, 9.0, 20.0, 8.0), "figures.ceiling_burst"),
    ],
)
def test_a_faulty_change_names_its_key_and_leaves_the_old_version(
    plan: str, number: int, ahead: float, figures: PlanFigures, key: str
) -> None:
    made = book()
    fault = made.announce(NOW, plan, number, NOW + ahead, figures)
    assert isinstance(fault, ScheduleError) and fault.key == key and fault.problem
    assert made.figures(NOW + 60_000.0, "dealer", 7) == OLD


def test_the_same_version_again_is_no_fault_and_another_under_its_number_is() -> None:
    made = book()
    first = made.announce(NOW, "dealer", 1, NOW + 5000.0, LESS)
    assert made.announce(NOW + 4000.0, "dealer", 1, NOW + 5000.0, LESS) == first
    assert isinstance(made.announce(NOW, "dealer", 1, NOW + 6000.0, LESS), ScheduleError)


def test_versions_that_wait_are_bounded_and_old_ones_forgotten() -> None:
    made = book()
    told = [
        made.announce(NOW, "dealer", number + 1, NOW + 5000.0 * (number + 1), LESS)
        for number in range(MOST_AHEAD + 1)
    ]
    assert [isinstance(one, ScheduleError) for one in told] == [False] * MOST_AHEAD + [True]
    for number in range(9, 60):
        now = NOW + 1e6 * number
        assert isinstance(made.announce(now, "dealer", number, now + 9000.0, MORE), PlanVersion)
    assert len(made._versions["dealer"]) <= 4


def test_an_exception_goes_before_the_plan_and_ends() -> None:
    made = book()
    made.exempt(NOW, 7, NOW + 3000.0, MORE)
    assert made.figures(NOW + 2999.0, "dealer", 7) == MORE and made.figures(NOW, "dealer", 8) == OLD
    assert made.figures(NOW + 3000.0, "dealer", 7) == OLD
    assert isinstance(made.exempt(NOW, 7, NOW, MORE), ScheduleError)
    assert isinstance(made.figures(NOW, "no-plan", 8), ScheduleError)


@pytest.mark.parametrize(
    ("room", "new", "expected"),
    [
        (40.0, LESS, 20.0),
        (30.0, LESS, 10.0),
        (20.0, LESS, 0.0),
        (10.0, LESS, -10.0),  # cuts: used stays used
        (-30.0, LESS, -25.0),  # a debt that would last longer than the bound
        (40.0, MORE, 40.0),
        (0.0, MORE, 0.0),
        (-5.0, MORE, -5.0),
    ],
)  # a rise gives no free burst
def test_a_store_is_carried_over(room: float, new: PlanFigures, expected: float) -> None:
    assert carry_quota(BucketLevel(room), OLD, new).room == expected
    tat = arrival_of(NOW, expected, new)
    assert room_of(NOW, tat, new) == pytest.approx(expected)
    assert room_of(NOW + 1000.0, tat, new) == pytest.approx(min(expected + new.rate, new.burst))


def test_a_rise_that_is_taken_back_changes_nothing_and_what_filled_since_counts() -> None:
    risen = carry_quota(BucketLevel(40.0), OLD, MORE)
    assert carry_quota(risen, MORE, OLD) == BucketLevel(40.0)
    filled = BucketLevel(60.0, risen.ungranted)  # 20 of the 40 that the rise added have filled
    assert carry_quota(filled, MORE, OLD) == BucketLevel(40.0)


def test_a_ceiling_forgives_nothing_and_a_new_one_begins_full() -> None:
    assert carry_ceiling(BucketLevel(-20.0), OLD, LESS).room == -50.0
    assert carry_ceiling(BucketLevel(0.0), PlanFigures(1.0, 1.0), MORE) == BucketLevel(120.0)


DEPTHS = st.lists(st.floats(1.0, 300.0), min_size=2, max_size=6)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(DEPTHS, st.floats(-1.0, 1.0), st.floats(0.5, 50.0))
def test_no_order_of_changes_gives_units_or_locks_a_customer_out(
    depths: list[float], part: float, rate: float
) -> None:
    store, ceiling = BucketLevel(depths[0] * part), BucketLevel(depths[0] * part)
    used = depths[0] - ceiling.room
    most = rate * DEBT_MOST_MS / 1000.0
    for old, new in pairwise(depths):
        after = carry(store, old, new, most)
        assert after.room <= max(store.room, -most) + 1e-6 and after.room <= new + 1e-6
        assert -after.room <= most + 1e-6 and after.ungranted >= 0
        store, ceiling = after, carry(ceiling, old, new)
        assert new - ceiling.room - ceiling.ungranted == pytest.approx(used, abs=1e-6)  # used stays used
