"""Priority shedding: by class of importance, and evenly within a class."""

from __future__ import annotations

import pytest

from badgeryoke.cluster.reservations.priority_shedding import (
    UNRESERVED,
    CapacityClaim,
    CapacityShares,
    split_capacity,
)

CLAIMS = (
    CapacityClaim("vital", 1, 30.0, 40.0),
    CapacityClaim("one", 2, 60.0, 40.0),
    CapacityClaim("two", 2, 20.0, 20.0),
)


@pytest.mark.parametrize(
    ("capacity", "expected"),
    [
        pytest.param(100.0, (30.0, 40.0, 20.0, 10.0), id="all-fits"),
        pytest.param(60.0, (30.0, 20.0, 10.0, 0.0), id="the-lower-class-is-halved"),
        pytest.param(15.0, (15.0, 0.0, 0.0, 0.0), id="the-higher-class-alone"),
        pytest.param(-1.0, (0.0, 0.0, 0.0, 0.0), id="no-capacity"),
    ],
)
def test_a_shortage_is_shed_by_class_and_evenly_within_a_class(
    capacity: float, expected: tuple[float, ...]
) -> None:
    split = split_capacity(capacity, CLAIMS)
    assert (*split.granted.values(), split.unreserved) == pytest.approx(expected)
    assert sum(split.shortfalls.values()) == pytest.approx(90.0 - sum(expected[:3]))
    shares = CapacityShares()
    shares.update(0.0, capacity, CLAIMS)
    sent = dict.fromkeys(("vital", "one", "two", UNRESERVED), 0.0)
    for now in range(10_000):
        for contract in sent:
            sent[contract] += shares.admit(float(now), contract, 0.5) * 0.5
    assert list(sent.values()) == pytest.approx([10 * rate for rate in expected], rel=0.06, abs=1.0)
