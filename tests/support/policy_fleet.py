"""Many real modules before model servers, on a clock that moves by itself alone: for faults that are sums."""

from __future__ import annotations

import heapq
import random
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any

from badgeryoke.decisions import interface as api
from badgeryoke.decisions.policy.engine import DecisionEngine
from tests.support.samples import SETTINGS, START


class Fleet:
    """So many gateways; a server works on all it holds at once, the slower the more it holds.

    `work` draws a request's time on an idle server; `pace` gives a gateway's requests a second.
    """

    def __init__(
        self,
        gateways: int,
        servers: Iterable[api.Server],
        seed: int = 1,
        work: Callable[[random.Random], float] = lambda draw: draw.expovariate(1 / 150),
        cores: int = 2,
        **settings: Any,
    ) -> None:
        self.draw = random.Random(seed)
        made = {"plans": (api.Plan("plain"),), "has_counter": False, "gateway_count": gateways, **settings}
        self.made = [
            DecisionEngine(replace(SETTINGS, gateway_index=n, **made), seed * 1000 + n)
            for n in range(gateways)
        ]
        self.work, self.cores, self.now = work, cores, START
        self.dead: set[int] = set()  # servers that never answer
        self.out: dict[int, int] = defaultdict(int)
        self.sends: list[tuple[float, int, int]] = []  # when, by which gateway, to which server
        self.refused = self.cancelled = self.served = 0
        self._due: list[tuple[float, int, int, api.Event]] = []
        self._count = 0
        self._open: dict[tuple[int, str], tuple[int, int, float]] = {}  # attempt, server, since
        self.tell(servers)

    def tell(self, servers: Iterable[api.Server], scope: api.ListScope = api.ListScope.FULL) -> None:
        """All gateways hear of a list."""
        for one in self.made:
            one.handle(self.now, api.EndpointList(scope, tuple(servers)))

    def _later(self, at: float, gateway: int, event: api.Event) -> None:
        self._count += 1
        heapq.heappush(self._due, (at, self._count, gateway, event))

    def run(self, seconds: float, pace: float | Callable[[int], float]) -> None:
        """Requests come to each gateway by chance at its pace, and all that is due by then happens."""
        until = self.now + seconds * 1000
        for n in range(len(self.made)):
            at = self.now
            rate = pace(n) if callable(pace) else pace
            while (at := at + self.draw.expovariate(rate / 1000)) < until:
                self._count += 1
                rid = f"r{self._count}"
                self._later(at, n, api.Request(rid, "read", "plain", self._count, 4000.0, 1.0, 1))
        while self._due and self._due[0][0] < until:
            self.now, _, n, event = heapq.heappop(self._due)
            if isinstance(event, api.AttemptOutcome):
                if self._open.get((n, event.id), (None,))[0] != event.attempt:
                    continue
                self._end(n, event)
            else:
                self._act(n, self.made[n].handle(self.now, event))
        self.now = until

    def _end(self, n: int, event: api.AttemptOutcome) -> None:
        self.out[self._open.pop((n, event.id))[1]] -= 1
        self.served += event.verdict is api.Verdict.OK
        self._act(n, self.made[n].handle(self.now, event))

    def _act(self, n: int, actions: list[api.Action]) -> None:
        for action in actions:
            match action:
                case api.SendAttempt(id=rid, server=server):
                    attempt = len(self.made[n]._pending[rid].attempts) - 1
                    self.sends.append((self.now, n, server))
                    self.out[server] += 1
                    self._open[n, rid] = attempt, server, self.now
                    took = self.work(self.draw) * max(1.0, self.out[server] / self.cores)
                    end = api.AttemptOutcome(rid, attempt, server, api.Verdict.OK, took, True)
                    if server not in self.dead:
                        self._later(self.now + took, n, end)
                case api.SetTimer(at_ms=at, token=token):
                    self._later(at, n, api.TimerFired(token))
                case api.CancelAttempt(id=rid, attempt=attempt):
                    self.cancelled += 1
                    server, since = self._open[n, rid][1:]
                    took = self.now - since
                    self._end(n, api.AttemptOutcome(rid, attempt, server, api.Verdict.CANCELLED, took, False))
                case api.Reject():
                    self.refused += 1
                case _:
                    pass
