"""The lease pool: shares stay within the capacity, units are never created, and shares are fair."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import settings

from badgeryoke.cluster.errors import InvalidCall
from badgeryoke.cluster.invariants import Invariants
from badgeryoke.cluster.leases import lease_pool
from badgeryoke.cluster.leases.lease import LeaseRequest
from badgeryoke.cluster.leases.lease_pool import LeasePool
from tests.support.contracts import LEASE_TAIL_MS, QUICK
from tests.support.lease_holders import LeaseHolders

LeaseHolders.TestCase.settings = settings(QUICK, max_examples=30, stateful_step_count=40)
TestLeaseHolders = LeaseHolders.TestCase


def test_shares_are_max_min_fair_for_connections_and_proportional_for_rates() -> None:
    wanted = {"a": 20.0, "b": 2.0, "c": 10.0}
    connections, rates = LeasePool(12.0, step=1.0), LeasePool(12.0, even_split=False)
    for pool in (connections, rates):
        for holder, amount in wanted.items():
            pool.request(LeaseRequest(holder, 0, 0.0, amount, 0.0), Invariants())
    assert [connections.fair_share(holder, amount) for holder, amount in wanted.items()] == [5.0, 2.0, 5.0]
    # 0.3 of the rate is in no share, for holders with waiting requests, and neither is the rate of holders that
    # draw per request.
    assert [rates.fair_share("a", 20.0), rates.fair_share("b", 2.0)] == pytest.approx([5.25, 0.525])
    rates.request(LeaseRequest("c", 3, 0.0, 2.0, 0.0, draws_per_request=True), Invariants())
    in_shares = rates.fair_share("a", 20.0) + rates.fair_share("b", 2.0)
    assert in_shares == pytest.approx(12.0 - 2.0 - 3.0, abs=1.5)
    assert rates.fair_share("c", 2.0, draws_per_request=True) == 0.0
    assert connections.excess("a") == 7.0


def test_a_lease_expires_once_it_was_seen_for_long_enough() -> None:
    pool = LeasePool(12.0, step=1.0)
    for holder in "abc":
        pool.request(LeaseRequest(holder, 0, 0.0, 4.0, 0.0), Invariants())
    pool.mark_seen(5.0)
    assert (
        pool.expired(4.0 + LEASE_TAIL_MS, LEASE_TAIL_MS, 0.0) == []
        and len(pool.expired(5.0 + LEASE_TAIL_MS, LEASE_TAIL_MS, 0.0)) == 3
    )


def test_a_snapshot_keeps_the_running_sums_to_the_last_bit() -> None:
    pool = LeasePool(12.0, 8.0, even_split=False)
    for holder, amount in (("a", 0.1), ("b", 0.2), ("c", 0.7)):
        pool.request(LeaseRequest(holder, 0, 0.0, amount, 0.0, takes_spare=True), Invariants())
    record = msgspec.msgpack.encode(pool.dump())
    assert LeasePool.load(msgspec.msgpack.decode(record)).dump() == msgspec.msgpack.decode(record)


def test_the_number_of_holders_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(lease_pool, "MAX_HOLDERS", 16)
    pool = LeasePool(1.0)
    for number in range(lease_pool.MAX_HOLDERS):
        pool.request(LeaseRequest(str(number), 0, 0.0, 1.0, 0.0), Invariants())
    assert isinstance(pool.request(LeaseRequest("x", 0, 0.0, 1.0, 0.0), Invariants()), InvalidCall)
