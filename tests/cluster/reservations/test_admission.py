"""Admission control: which contracts are admitted, the details of a rejection, and a contract's states."""

from __future__ import annotations

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgeryoke.cluster.errors import InsufficientCapacity, InvalidCall, NotFound, WrongState
from badgeryoke.cluster.invariants import Invariants
from badgeryoke.cluster.reservations.commands import (
    CancelContract,
    ChangeContract,
    OpenContract,
    ReadContracts,
    ReportShortfall,
    SetCapacity,
    VersionDrained,
)
from badgeryoke.cluster.reservations.guaranteed_rates import GuaranteedRates
from badgeryoke.cluster.reservations.terms import ContractTerms, expand_windows
from tests.support.contracts import (
    LEASE_TAIL_MS,
    QUICK,
    TIMINGS,
    contract_terms,
    leader_view,
    propose,
    registry_with_capacity,
    reloaded,
    with_rate,
)


def test_a_proposal_that_does_not_fit_is_rejected_with_the_rate_and_time_that_would_fit() -> None:
    registry = registry_with_capacity(100.0, reserve_fraction=0.2, unreserved_rate=10.0)  # 70 available
    assert propose(registry, 1.0, "a", contract_terms(60.0, 10_000.0, 20_000.0)).error is None
    rejection = propose(registry, 1.0, "b", contract_terms(40.0, 15_000.0, 30_000.0)).error
    assert isinstance(rejection, InsufficientCapacity) and rejection.fits == pytest.approx(10.0)
    # Leases may be in use after the end of the window for the lease tail.
    assert rejection.fits_from_ms == pytest.approx(20_000.0 + LEASE_TAIL_MS)
    assert propose(registry, 1.0, "b", contract_terms(10.0, 15_000.0, 30_000.0)).error is None
    too_large = propose(registry, 1.0, "c", contract_terms(71.0, 15_000.0, 30_000.0)).error
    assert isinstance(too_large, InsufficientCapacity) and too_large.fits_from_ms == 0.0
    # Three repetitions, of which the second overlaps with another contract.
    assert propose(registry, 1.0, "d", contract_terms(60.0, 100_000.0, 110_000.0)).error is None
    repeated = contract_terms(20.0, 60_000.0, 70_000.0, every_ms=40_000.0, until_ms=150_000.0)
    assert isinstance(propose(registry, 1.0, "e", repeated).error, InsufficientCapacity)


@pytest.mark.parametrize(
    ("terms", "key"),
    [
        pytest.param(contract_terms(0.0, 10.0, 20.0), "rate", id="rate-zero"),
        pytest.param(contract_terms(math.nan, 10.0, 20.0), "rate", id="rate-not-a-number"),
        pytest.param(contract_terms(1.0, 20.0, 10.0), "windows", id="window-ends-before-its-start"),
        pytest.param(contract_terms(1.0, 1.0, 9.0), "windows", id="window-in-the-past"),
        pytest.param(contract_terms(1.0, 10.0, 20.0, burst=-1.0), "burst", id="burst-negative"),
        pytest.param(contract_terms(1.0, 10.0, 20.0, tenant="no name"), "tenant", id="tenant-with-a-space"),
        pytest.param(contract_terms(1.0, 10.0, 20.0, rank=0), "rank", id="rank-zero"),
        pytest.param(
            contract_terms(1.0, 10.0, 20.0, every_ms=5.0, until_ms=90.0),
            "windows",
            id="repetitions-overlap",
        ),
        pytest.param(
            contract_terms(1.0, 10.0, 20.0, every_ms=20.0, until_ms=1e9),
            "windows",
            id="too-many-repetitions",
        ),
    ],
)
def test_an_invalid_field_is_named_and_changes_nothing(terms: ContractTerms, key: str) -> None:
    registry = registry_with_capacity()
    before = registry.dump()
    error = propose(registry, 5.0, "a", terms).error
    assert isinstance(error, InvalidCall) and key in error.detail and registry.dump() == before


def test_a_contract_goes_through_its_states_once_for_each_window() -> None:
    registry, rates = registry_with_capacity(), GuaranteedRates(TIMINGS, Invariants())
    terms = contract_terms(60.0, 20_000.0, 30_000.0, every_ms=60_000.0, until_ms=100_000.0)
    assert propose(registry, 1.0, "a", terms).error is None
    states: list[str] = []
    for at_ms in range(0, 130_000, 500):
        view = leader_view(at_ms)
        for command in registry.leader_tasks(view) + rates.leader_tasks(view):
            (registry if command.key() == "" else rates).apply(at_ms, command)
        if at_ms == 22_000:
            for units in (3.0, 3.0, 5.0):
                report = ReportShortfall(
                    id="s", contract="a", reporter="g", cause="load", units=units, since_ms=21_000.0
                )
                registry.apply(at_ms, report)
        state = registry.contracts["a"].state.value
        if not states or states[-1] != state:
            states.append(state)
    assert states == [
        "admitted",
        "armed",
        "active",
        "breached",
        "active",
        "closing",
        "admitted",
        "armed",
        "active",
        "closing",
        "settled",
    ]
    status = registry.query(ReadContracts(id="r")).value["contracts"]["a"]
    assert (
        status["short"] == {"load": 5.0} and status["since_ms"] == 21_000.0
    )  # a repeated report adds nothing
    assert reloaded(registry).query(ReadContracts(id="r")).value["contracts"]["a"] == status


def test_a_cancelled_contract_frees_its_capacity_once_its_last_version_is_drained() -> None:
    registry = registry_with_capacity()
    propose(registry, 0.0, "a", contract_terms(100.0, 1_000.0, 90_000.0))
    tasks = registry.leader_tasks(leader_view(0.0))
    (opened,) = [task for task in tasks if isinstance(task, OpenContract)]
    registry.apply(10.0, VersionDrained(id="t", contract="a", version=opened.version))
    assert registry.apply(20_000.0, CancelContract(id="x", contract="a")).error is None
    assert isinstance(registry.apply(20_000.0, CancelContract(id="y", contract="a")).error, WrongState)
    later = contract_terms(50.0, 60_000.0, 70_000.0)
    assert isinstance(propose(registry, 50_000.0, "b", later).error, InsufficientCapacity)
    last = registry.contracts["a"].newest.number
    registry.apply(50_000.0, VersionDrained(id="u", contract="a", version=last))
    assert (
        propose(registry, 50_001.0, "b", later).error is None
        and registry.contracts["a"].state.value == "settled"
    )
    too_soon = ChangeContract(id="z", contract="b", terms=later, effective_from_ms=50_002.0 + LEASE_TAIL_MS)
    error = registry.apply(50_002.0, too_soon).error
    assert isinstance(error, InvalidCall) and "holds_from_ms" in error.detail
    assert isinstance(registry.apply(50_002.0, CancelContract(id="x", contract="no")).error, NotFound)


def test_a_lower_capacity_revokes_nothing_and_admits_nothing() -> None:
    registry = registry_with_capacity()
    propose(registry, 0.0, "a", contract_terms(90.0, 1_000.0, 90_000.0))
    lower = SetCapacity(id="d", capacity=50.0, reserve_fraction=0.0, unreserved_rate=0.0)
    assert registry.apply(1.0, lower).value == {"available": 50.0, "over": 40.0}
    rejection = propose(registry, 2.0, "b", contract_terms(1.0, 1_000.0, 2_000.0)).error
    assert isinstance(rejection, InsufficientCapacity)
    smaller = ChangeContract(
        id="e", contract="a", terms=contract_terms(40.0, 1_000.0, 90_000.0), effective_from_ms=20_000.0
    )
    assert registry.apply(3.0, smaller).error is None


@QUICK
@given(
    st.lists(
        st.tuples(st.floats(1.0, 60.0), st.integers(0, 50), st.integers(1, 30), st.integers(0, 3)),
        max_size=14,
    )
)
def test_admitted_contracts_never_exceed_the_capacity(
    proposals: list[tuple[float, int, int, int]],
) -> None:
    registry = registry_with_capacity(100.0)
    reserved: list[tuple[float, float, float]] = []
    for number, (rate, start_s, length_s, repetitions) in enumerate(proposals):
        every_ms = (length_s + start_s + 3) * 1e3 if repetitions else 0.0
        terms = contract_terms(
            rate,
            start_s * 1e3,
            (start_s + length_s) * 1e3,
            tenant=f"t{number}",
            every_ms=every_ms,
            until_ms=start_s * 1e3 + every_ms * repetitions + 1.0 if repetitions else 0.0,
        )
        error = propose(registry, 0.0, str(number), terms).error
        if isinstance(error, InsufficientCapacity) and error.fits > 1.0:  # the stated rate does fit
            terms = with_rate(terms, error.fits * 0.999)
            error = propose(registry, 0.0, f"{number}b", terms).error
            assert error is None
        if error is None:
            reserved += [
                (start_ms, end_ms + LEASE_TAIL_MS, terms.rate)
                for start_ms, end_ms in expand_windows(terms.windows)
            ]
    for at_ms in {start_ms for start_ms, _, _ in reserved}:
        rates = [rate for start_ms, end_ms, rate in reserved if start_ms <= at_ms < end_ms]
        assert sum(rates) <= 100.0 + 1e-6
