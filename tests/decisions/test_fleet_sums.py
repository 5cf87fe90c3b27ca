"""What is harmless from one gateway and harmful from all: rules over the sum of many real modules."""

from __future__ import annotations

import random
from collections import Counter
from itertools import pairwise

import pytest

from badgeryoke.decisions import interface as api
from badgeryoke.gateway.discovery.backoff import DiscoveryBackoff
from tests.support.policy_fleet import GatewayFleet
from tests.support.samples import server
from tests.support.virtual_time import most_in_a_window

SERVERS = [server(n) for n in range(1, 61)]


def test_work_of_uneven_length_is_not_given_up_as_silent_by_a_fleet() -> None:
    """join+vast: 13% of the attempts of the first five seconds were cancelled, all at servers that worked."""
    fleet = GatewayFleet(40, SERVERS)
    fleet.run(15.0, 8.0)
    assert len(fleet.sends) > 3000 and fleet.cancelled < 0.004 * len(fleet.sends)


def test_a_gateway_of_a_fleet_keeps_to_servers_that_it_sends_enough_to_know() -> None:
    """join+vast: each gateway met 55 of 60 servers, and sent as much to those that were slow."""
    fleet = GatewayFleet(40, SERVERS)
    fleet.run(20.0, 8.0)
    late = [(n, to) for at, n, to in fleet.sends if at > fleet.now - 5000]
    met = Counter(n for n, _ in set(late))
    assert sum(met.values()) / 40 < 20
    got = Counter(to for _, to in late)
    assert len(got) == 60 and max(got.values()) < 3 * len(late) / 60


@pytest.mark.parametrize("seed", [1, 2])
def test_a_fleet_finds_out_silent_servers(seed: int) -> None:
    fleet = GatewayFleet(40, SERVERS, seed)
    fleet.run(10.0, 8.0)
    fleet.silent_servers = set(range(1, 11))
    fleet.run(10.0, 8.0)
    late = [to for at, _, to in fleet.sends if at > fleet.now - 3000]
    assert sum(to in fleet.silent_servers for to in late) < 0.08 * len(late)


@pytest.mark.parametrize("gateways", [1, 3, 40, 200])
def test_cold_servers_get_their_part_and_no_more_over_all_gateways(gateways: int) -> None:
    """join+vast: 18 servers of 60, new for 4 to 9 s, got 55 of 1,247 sends, and at 200 gateways hardly any: a
    turn was reckoned from all servers, of which one keeps to few, and lost where a warm one was quicker.
    """
    fleet = GatewayFleet(gateways, SERVERS[:40], overload_multiple=3.0)
    fleet.run(6.0, 480.0 / gateways)
    fleet.update_endpoints([server(n, started=fleet.now) for n in range(41, 61)], api.ListScope.CHANGES)
    born = fleet.now
    fleet.run(8.0, 480.0 / gateways)
    late = [to for at, _, to in fleet.sends if at > born + 2000]
    assert 0.12 < sum(to > 40 for to in late) / len(late) < 0.4
    # Two cores and 150 ms of work: 13 a second, a quarter of it at the start, three times that in any second.
    for to in range(41, 61):
        early = [at for at, _, got in fleet.sends if got == to and born < at < born + 1000]
        assert len(early) <= 10
        assert most_in_a_window([at for at, _, got in fleet.sends if got == to and at > born], 1000.0) <= 16


def calls_after_a_loss(gateways: int, seconds: float) -> list[list[float]]:
    """When all gateways ask discovery again, which has turned all of them away at 0 and goes on doing so."""
    calls = []
    for n in range(gateways):
        backoff = DiscoveryBackoff(gateways, random.Random(n).random)
        at, own = 0.0, []
        while (at := at + backoff.pause_after_failure_s()) < seconds:
            own.append(at)
        calls.append(own)
    return calls


@pytest.mark.parametrize(("gateways", "most"), [(3, 35), (40, 45), (200, 130)])
def test_retries_of_all_gateways_at_discovery_are_bounded_and_spread(gateways: int, most: int) -> None:
    """herd+vast: 40 gateways asked again 6 times a second each; 2 changes reached them all day."""
    calls = calls_after_a_loss(gateways, 60.0)
    assert most_in_a_window([at for own in calls for at in own if at >= 20], 1.0) <= most
    assert most_in_a_window([at for own in calls for at in own if at > 5], 0.02) <= max(4, gateways / 10)
    assert max(b - a for own in calls for a, b in pairwise(own)) <= 3.0  # of the 6 s of the clock


def test_one_answer_does_not_reset_the_backoff() -> None:
    backoff = DiscoveryBackoff(40, lambda: 0.5)
    before = [backoff.pause_after_failure_s() for _ in range(12)]
    backoff.record_answer()
    assert (
        before[0] == 0.02
        and before[-1] == backoff.longest_pause_s == 2.0
        and backoff.pause_after_failure_s() == 1.0
    )
    backoff.set_gateway_count(3)  # new settings: the fleet is smaller, and then larger than before
    assert backoff.pause_after_failure_s() == backoff.longest_pause_s == pytest.approx(0.15)
    backoff.set_gateway_count(500)
    assert [backoff.pause_after_failure_s() for _ in range(8)][-1] == 2.0
    for _ in range(20):
        backoff.record_answer()
    assert backoff.pause_after_failure_s() == 0.02
