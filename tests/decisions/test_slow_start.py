"""Cold servers under the sum of all gateways: the most that one is sent in any window, against what it
bears."""

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
    """What settings tell of the ramp, and what they don't: cores, and each class's work, share and aim."""

    slow_start_fraction: float
    slow_start_ms: float
    overload_multiple: float
    overload_window_ms: float
    cores: int
    classes: tuple[tuple[float, float, float], ...]

    def settings(self) -> dict[str, Any]:
        """As a gateway is told them."""
        return {
            "slow_start_fraction": self.slow_start_fraction,
            "slow_start_ms": self.slow_start_ms,
            "overload_multiple": self.overload_multiple,
            "overload_window_ms": self.overload_window_ms,
            "classes": tuple(
                api.RequestClass(str(n), aim, 4 * aim, api.Idempotency.IDEMPOTENT)
                for n, (_, _, aim) in enumerate(self.classes)
            ),
        }

    @property
    def mean(self) -> float:
        """Work of a request, over all classes."""
        return sum(work * share for work, share, _ in self.classes)

    def part(self, age: float) -> float:
        """Of its capacity that a server of this age has: it grows no slower than evenly."""
        return self.slow_start_fraction + (1 - self.slow_start_fraction) * min(age / self.slow_start_ms, 1.0)


QUICK = Site(0.16, 14_000.0, 3.0, 1500.0, 2, ((50.0, 0.5, 400.0), (90.0, 0.5, 750.0)))
SLOW = Site(0.16, 17_000.0, 2.0, 1000.0, 2, ((170.0, 0.6, 1500.0), (170.0, 0.4, 1500.0)))
UNEVEN = Site(0.2, 18_000.0, 3.0, 1000.0, 3, ((180.0, 0.5, 1500.0), (300.0, 0.5, 2000.0)))


class Ramp(GatewayFleet):
    """Gateways of uneven shares, some of which start afresh each second, before warm servers and then cold
    ones as well; a client that was rejected retries twice, through any gateway."""

    def __init__(self, site: Site, gateways: int, warm: int, seed: int, load: float = 0.6) -> None:
        self.site, self.born = site, 0.0
        self.listed = [server(n) for n in range(1, warm + 1)]
        self.size: dict[int, float] = {}  # of the cold ones, in parts of the others'
        self.cost: list[float] = []  # of each send, by its class, in requests of mean work
        super().__init__(gateways, self.listed, seed, cores=site.cores, **site.settings())
        self.share = [min(self.random.paretovariate(1.6), 6.0) for _ in range(gateways)]
        self.rate = load * warm * site.cores / site.mean  # requests a millisecond

    def release(self, keep: int, cold: int, size: float = 1.0) -> None:
        """Cold servers come, and all but some of the warm ones go: all gateways are told."""
        self.born, most = self.now, len(self.listed)
        self.size = dict.fromkeys(range(most + 1, most + cold + 1), size)
        self.listed = self.listed[:keep] + [server(n, started=self.born) for n in self.size]
        self.update_endpoints(self.listed)

    def play(self, seconds: int, fresh: float = 0.0) -> None:
        """Requests come by chance; a part of the gateways starts afresh, knowing nothing, at each second."""
        classes, gateways = range(len(self.site.classes)), range(len(self.engines))
        for _ in range(seconds):
            for n in gateways:
                if self.random.random() < fresh:
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

    def _schedule_request(self, at: float, n: int, cls: int, again: int) -> None:
        self._last_number += 1
        self._schedule(
            at,
            n,
            api.Request(
                f"{cls}-{again}-{self._last_number}",
                str(cls),
                "plain",
                self._last_number,
                4 * self.site.classes[cls][2],
                1.0,
                1,
            ),
        )

    def _carry_out(self, n: int, actions: list[api.Action]) -> None:
        for action in actions:
            match action:
                case api.SendAttempt(id=rid, server=to):
                    work = self.site.classes[int(rid[0])][0]
                    self.sends.append((self.now, n, to))
                    self.cost.append(work / self.site.mean)
                    self.in_flight[to] += 1
                    attempt = len(self.engines[n]._pending[rid].attempts) - 1
                    self._open_attempts[n, rid] = attempt, to, self.now
                    part = self.size[to] * self.site.part(self.now - self.born) if to in self.size else 1.0
                    took = (
                        work * self.random.expovariate(1.0) / part * max(1.0, self.in_flight[to] / self.cores)
                    )
                    verdict = api.Verdict.OK if took < action.timeout_ms else api.Verdict.TIMEOUT
                    took = min(took, action.timeout_ms)
                    self._schedule(
                        self.now + took,
                        n,
                        api.AttemptOutcome(rid, attempt, to, verdict, took, verdict is api.Verdict.OK),
                    )
                case api.Reject(id=rid):
                    self.rejected += 1
                    if int(rid[2]) < 2:
                        other = self.random.randrange(len(self.engines))
                        self._schedule_request(self.now + 100, other, int(rid[0]), int(rid[2]) + 1)
                case _:
                    super()._carry_out(n, [action])

    def worst(self) -> tuple[float, float, float, float]:
        """The highest sum in any window as a part of N + 2 root N + 2, N being what is borne at the
        window's begin; how old the server was, that sum, and N."""
        found, site = (0.0, 0.0, 0.0, 0.0), self.site
        for to, size in self.size.items():
            mine = [
                (at, cost)
                for (at, _, got), cost in zip(self.sends, self.cost, strict=True)
                if got == to and at < self.born + site.slow_start_ms
            ]
            sums = [0.0, *accumulate(cost for _, cost in mine)]
            for first, (at, _) in enumerate(mine):
                bears = (
                    site.overload_multiple
                    * site.part(at - self.born)
                    * size
                    * site.cores
                    / site.mean
                    * site.overload_window_ms
                )
                got = sums[bisect.bisect_left(mine, (at + site.overload_window_ms,))] - sums[first]
                found = max(found, (got / (bears + 2 * bears**0.5 + 2), at - self.born, got, bears))
        return found


@pytest.mark.parametrize(
    ("site", "gateways"), [(QUICK, 1), (UNEVEN, 3), (SLOW, 20), (UNEVEN, 30), (QUICK, 200), (SLOW, 200)]
)
def test_cold_servers_bear_what_all_gateways_send_them(site: Site, gateways: int) -> None:
    """Half as many cold ones as warm ones, and smaller than those; one gateway of ten starts afresh each
    second."""
    ramp = Ramp(site, gateways, 24, gateways)
    ramp.play(3)
    ramp.release(24, 12, 0.7)
    ramp.play(5, 0.1)
    assert 0 < ramp.worst()[0] <= 1.0


@pytest.mark.parametrize(("gateways", "keep"), [(20, 0), (200, 0), (200, 2)])
def test_servers_that_are_all_replaced_at_once_bear_it_too(gateways: int, keep: int) -> None:
    """Each gateway passes over cold ones without a turn: where nearly all are cold it met them all, with a
    turn reckoned for the few that it keeps to."""
    ramp = Ramp(SLOW, gateways, 60, 1 + keep)
    ramp.play(3)
    ramp.release(keep, 60 - keep)
    ramp.play(4)
    assert 0 < ramp.worst()[0] <= 1.0
