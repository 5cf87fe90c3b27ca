"""Servers in slow start: the load that all gateways together send one in any window, against its capacity."""

from __future__ import annotations

import bisect
from itertools import accumulate
from typing import Any, NamedTuple

import pytest

from badgeryoke.decisions import interface as api
from badgeryoke.decisions.policy.engine import DecisionEngine
from tests.support.policy_fleet import GatewayFleet
from tests.support.samples import server


class Site(NamedTuple):
    """Slow-start settings and the simulated load: cores per server and the request classes.

    Each class is (work per request in ms, share of the requests, latency objective in ms).
    """

    slow_start_fraction: float
    slow_start_ms: float
    overload_multiple: float
    overload_window_ms: float
    cores: int
    classes: tuple[tuple[float, float, float], ...]

    def settings(self) -> dict[str, Any]:
        """Return the settings of a gateway."""
        return {
            "slow_start_fraction": self.slow_start_fraction,
            "slow_start_ms": self.slow_start_ms,
            "overload_multiple": self.overload_multiple,
            "overload_window_ms": self.overload_window_ms,
            "classes": tuple(
                api.RequestClass(str(n), objective_ms, 4 * objective_ms, api.Idempotency.IDEMPOTENT)
                for n, (_, _, objective_ms) in enumerate(self.classes)
            ),
        }

    @property
    def mean_work_ms(self) -> float:
        """Mean work of a request over all classes, in ms."""
        return sum(work * share for work, share, _ in self.classes)

    def capacity_fraction(self, age: float) -> float:
        """Return the fraction of its capacity that a server of this age (ms) has: it grows at least linearly."""
        return self.slow_start_fraction + (1 - self.slow_start_fraction) * min(age / self.slow_start_ms, 1.0)


QUICK = Site(0.16, 14_000.0, 3.0, 1500.0, 2, ((50.0, 0.5, 400.0), (90.0, 0.5, 750.0)))
SLOW = Site(0.16, 17_000.0, 2.0, 1000.0, 2, ((170.0, 0.6, 1500.0), (170.0, 0.4, 1500.0)))
UNEVEN = Site(0.2, 18_000.0, 3.0, 1000.0, 3, ((180.0, 0.5, 1500.0), (300.0, 0.5, 2000.0)))


class SlowStartFleet(GatewayFleet):
    """Gateways with uneven shares of the load, in front of warm servers and later of new servers as well.

    Some gateways restart each second.  A client whose request was rejected retries twice, through any gateway.
    """

    def __init__(self, site: Site, gateways: int, warm: int, seed: int, load: float = 0.6) -> None:
        self.site, self.started_at = site, 0.0
        self.listed = [server(n) for n in range(1, warm + 1)]
        self.size: dict[int, float] = {}  # size of each new server, in parts of the others' size
        self.cost: list[float] = []  # work of each send, in multiples of the mean work
        super().__init__(gateways, self.listed, seed, cores=site.cores, **site.settings())
        self.share = [min(self.random.paretovariate(1.6), 6.0) for _ in range(gateways)]
        self.rate = load * warm * site.cores / site.mean_work_ms  # requests per ms

    def replace_servers(self, keep: int, new_servers: int, size: float = 1.0) -> None:
        """Start new servers and remove all warm ones but the first `keep`; all gateways get the new list."""
        self.started_at, count = self.now, len(self.listed)
        self.size = dict.fromkeys(range(count + 1, count + new_servers + 1), size)
        self.listed = self.listed[:keep] + [server(n, started=self.started_at) for n in self.size]
        self.update_endpoints(self.listed)

    def simulate(self, seconds: int, restart_probability: float = 0.0) -> None:
        """Send requests at random times; each second, each gateway restarts without state at a probability."""
        classes, gateways = range(len(self.site.classes)), range(len(self.engines))
        for _ in range(seconds):
            for n in gateways:
                if self.random.random() < restart_probability:
                    for key in [key for key in self._open_attempts if key[0] == n]:
                        self.in_flight[self._open_attempts.pop(key)[1]] -= 1
                    self.engines[n] = DecisionEngine(
                        self.engines[n]._settings, self.random.randrange(1 << 30)
                    )
                    self.engines[n].handle(
                        self.now, api.EndpointList(api.ListScope.CACHED, tuple(self.listed))
                    )
            at = self.now
            while (at := at + self.random.expovariate(self.rate)) < self.now + 1000:
                [cls] = self.random.choices(classes, [share for _, share, _ in self.site.classes])
                self._schedule_request(at, self.random.choices(gateways, self.share)[0], cls, 0)
            self.run(1.0, 1e-9)

    def _schedule_request(self, at: float, n: int, cls: int, retries: int) -> None:
        self._scheduled_count += 1
        self._schedule(
            at,
            n,
            api.Request(
                f"{cls}-{retries}-{self._scheduled_count}",
                str(cls),
                "plain",
                self._scheduled_count,
                4 * self.site.classes[cls][2],
                1.0,
                1,
            ),
        )

    def _carry_out(self, n: int, actions: list[api.Action]) -> None:
        for action in actions:
            match action:
                case api.SendAttempt(id=request_id, server=to):
                    work = self.site.classes[int(request_id[0])][0]
                    self.sends.append((self.now, n, to))
                    self.cost.append(work / self.site.mean_work_ms)
                    self.in_flight[to] += 1
                    attempt = len(self.engines[n]._pending[request_id].attempts) - 1
                    self._open_attempts[n, request_id] = attempt, to, self.now
                    capacity = (
                        self.size[to] * self.site.capacity_fraction(self.now - self.started_at)
                        if to in self.size
                        else 1.0
                    )
                    rtt_ms = (
                        work
                        * self.random.expovariate(1.0)
                        / capacity
                        * max(1.0, self.in_flight[to] / self.cores)
                    )
                    verdict = api.Verdict.OK if rtt_ms < action.timeout_ms else api.Verdict.TIMEOUT
                    rtt_ms = min(rtt_ms, action.timeout_ms)
                    self._schedule(
                        self.now + rtt_ms,
                        n,
                        api.AttemptOutcome(
                            request_id, attempt, to, verdict, rtt_ms, verdict is api.Verdict.OK
                        ),
                    )
                case api.Reject(id=request_id):
                    self.rejected += 1
                    if int(request_id[2]) < 2:
                        other = self.random.randrange(len(self.engines))
                        self._schedule_request(
                            self.now + 100, other, int(request_id[0]), int(request_id[2]) + 1
                        )
                case _:
                    super()._carry_out(n, [action])

    def worst_window(self) -> tuple[float, float, float, float]:
        """Return the highest load of a new server in any window, as a fraction of N + 2 * sqrt(N) + 2.

        N is the overload limit at the start of the window, 2 * sqrt(N) + 2 the tolerance.  The other values
        are the server's age, the load and N.
        """
        worst, site = (0.0, 0.0, 0.0, 0.0), self.site
        for to, size in self.size.items():
            sends = [
                (at, cost)
                for (at, _, target), cost in zip(self.sends, self.cost, strict=True)
                if target == to and at < self.started_at + site.slow_start_ms
            ]
            sums = [0.0, *accumulate(cost for _, cost in sends)]
            for first, (at, _) in enumerate(sends):
                limit = (
                    site.overload_multiple
                    * site.capacity_fraction(at - self.started_at)
                    * size
                    * site.cores
                    / site.mean_work_ms
                    * site.overload_window_ms
                )
                load = sums[bisect.bisect_left(sends, (at + site.overload_window_ms,))] - sums[first]
                worst = max(worst, (load / (limit + 2 * limit**0.5 + 2), at - self.started_at, load, limit))
        return worst


@pytest.mark.parametrize(
    ("site", "gateways"), [(QUICK, 1), (UNEVEN, 3), (SLOW, 20), (UNEVEN, 30), (QUICK, 200), (SLOW, 200)]
)
def test_servers_in_slow_start_are_not_overloaded_by_all_gateways_together(site: Site, gateways: int) -> None:
    """Half as many new servers as warm ones, of smaller size; one gateway of ten restarts each second."""
    fleet = SlowStartFleet(site, gateways, 24, gateways)
    fleet.simulate(3)
    fleet.replace_servers(24, 12, 0.7)
    fleet.simulate(5, 0.1)
    assert 0 < fleet.worst_window()[0] <= 1.0


@pytest.mark.parametrize(("gateways", "keep"), [(20, 0), (200, 0), (200, 2)])
def test_servers_are_not_overloaded_if_all_are_replaced_at_once(gateways: int, keep: int) -> None:
    """A gateway skips servers in slow start without credit.  If nearly all servers were in slow start, it used
    all of them, with a credit computed for the few servers of its aperture."""
    fleet = SlowStartFleet(SLOW, gateways, 60, 1 + keep)
    fleet.simulate(3)
    fleet.replace_servers(keep, 60 - keep)
    fleet.simulate(4)
    assert 0 < fleet.worst_window()[0] <= 1.0
