"""Load that is harmless from one gateway and harmful from all: sums over a fleet of decision engines."""

from __future__ import annotations

import random
from collections import Counter
from itertools import pairwise

import pytest

from badgeryoke.decisions import interface as api
from badgeryoke.gateway.discovery.backoff import DiscoveryBackoff
from tests.support.policy_fleet import GatewayFleet
from tests.support.samples import server
from tests.support.virtual_time import max_in_window

SERVERS = [server(n) for n in range(1, 61)]


def test_requests_of_uneven_duration_are_not_cancelled_as_silent() -> None:
    """13% of the attempts of the first five seconds were cancelled, all at working servers."""
    fleet = GatewayFleet(40, SERVERS)
    fleet.run(15.0, 8.0)
    assert len(fleet.sends) > 3000 and fleet.cancelled < 0.004 * len(fleet.sends)


def test_a_gateway_of_a_fleet_uses_no_more_servers_than_its_sends_can_measure() -> None:
    """Each gateway used 55 of 60 servers and sent as much to the slow ones."""
    fleet = GatewayFleet(40, SERVERS)
    fleet.run(20.0, 8.0)
    late_sends = [(n, to) for at, n, to in fleet.sends if at > fleet.now - 5000]
    servers_by_gateway = Counter(n for n, _ in set(late_sends))
    assert sum(servers_by_gateway.values()) / 40 < 20
    sends_by_server = Counter(to for _, to in late_sends)
    assert len(sends_by_server) == 60 and max(sends_by_server.values()) < 3 * len(late_sends) / 60


@pytest.mark.parametrize("seed", [1, 2])
def test_a_fleet_detects_silent_servers(seed: int) -> None:
    fleet = GatewayFleet(40, SERVERS, seed)
    fleet.run(10.0, 8.0)
    fleet.silent_servers = set(range(1, 11))
    fleet.run(10.0, 8.0)
    late_sends = [to for at, _, to in fleet.sends if at > fleet.now - 3000]
    assert sum(to in fleet.silent_servers for to in late_sends) < 0.08 * len(late_sends)


@pytest.mark.parametrize("gateways", [1, 3, 40, 200])
def test_servers_in_slow_start_get_their_share_and_no_more_over_all_gateways(gateways: int) -> None:
    """18 of 60 servers, 4 to 9 s old, got 55 of 1,247 sends, and with 200 gateways hardly any:
    slow-start credit was computed from all servers, though a gateway uses few, and lost if a warm one was faster.
    """
    fleet = GatewayFleet(gateways, SERVERS[:40], overload_multiple=3.0)
    fleet.run(6.0, 480.0 / gateways)
    fleet.update_endpoints([server(n, started=fleet.now) for n in range(41, 61)], api.ListScope.CHANGES)
    started_at = fleet.now
    fleet.run(8.0, 480.0 / gateways)
    late_sends = [server_id for at, _, server_id in fleet.sends if at > started_at + 2000]
    assert 0.12 < sum(server_id > 40 for server_id in late_sends) / len(late_sends) < 0.4
    # Two cores and 150 ms per request give 13 requests/s when warm, a quarter of that at the start, and the
    # overload limit of three times that in any second.
    for server_id in range(41, 61):
        early_sends = [
            at for at, _, target in fleet.sends if target == server_id and started_at < at < started_at + 1000
        ]
        assert len(early_sends) <= 10
        assert (
            max_in_window(
                [at for at, _, target in fleet.sends if target == server_id and at > started_at], 1000.0
            )
            <= 16
        )


def call_times_after_failure(gateways: int, seconds: float) -> list[list[float]]:
    """Return when each gateway calls discovery again, if discovery fails at 0 and at every retry."""
    calls = []
    for n in range(gateways):
        backoff = DiscoveryBackoff(gateways, random.Random(n).random)
        at, times = 0.0, []
        while (at := at + backoff.pause_after_failure_s()) < seconds:
            times.append(at)
        calls.append(times)
    return calls


@pytest.mark.parametrize(("gateways", "max_per_second"), [(3, 35), (40, 45), (200, 130)])
def test_retries_of_all_gateways_at_discovery_are_bounded_and_spread(
    gateways: int, max_per_second: int
) -> None:
    """40 gateways called discovery 6 times a second each; 2 changes arrived in the whole run."""
    calls = call_times_after_failure(gateways, 60.0)
    assert max_in_window([at for times in calls for at in times if at >= 20], 1.0) <= max_per_second
    assert max_in_window([at for times in calls for at in times if at > 5], 0.02) <= max(4, gateways / 10)
    # Half of the 6 s within which a change has to arrive.
    assert max(b - a for times in calls for a, b in pairwise(times)) <= 3.0


def test_one_answer_does_not_reset_the_backoff() -> None:
    backoff = DiscoveryBackoff(40, lambda: 0.5)
    before = [backoff.pause_after_failure_s() for _ in range(12)]
    backoff.record_answer()
    assert (
        before[0] == 0.02
        and before[-1] == backoff.longest_pause_s == 2.0
        and backoff.pause_after_failure_s() == 1.0
    )
    backoff.set_gateway_count(3)  # new settings: the fleet becomes smaller, then larger than before
    assert backoff.pause_after_failure_s() == backoff.longest_pause_s == pytest.approx(0.15)
    backoff.set_gateway_count(500)
    assert [backoff.pause_after_failure_s() for _ in range(8)][-1] == 2.0
    for _ in range(20):
        backoff.record_answer()
    assert backoff.pause_after_failure_s() == 0.02
