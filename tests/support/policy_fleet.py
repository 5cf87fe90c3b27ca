"""Many real decision engines in front of model servers, in simulated time: for effects that add up over a fleet."""

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


class GatewayFleet:
    """Gateways in front of servers that process all attempts in flight concurrently, and slow down beyond `cores`.

    `work` draws the time (ms) that a request takes on an idle server.
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
        self.random = random.Random(seed)
        fields = {"plans": (api.Plan("plain"),), "has_counter": False, "gateway_count": gateways, **settings}
        self.engines = [
            DecisionEngine(replace(SETTINGS, gateway_index=n, **fields), seed * 1000 + n)
            for n in range(gateways)
        ]
        self.work, self.cores, self.now = work, cores, START
        self.silent_servers: set[int] = set()  # servers that never answer
        self.in_flight: dict[int, int] = defaultdict(int)
        self.sends: list[tuple[float, int, int]] = []  # time, gateway, server
        self.rejected = self.cancelled = self.served = 0
        self._events: list[tuple[float, int, int, api.Event]] = []
        self._scheduled_count = 0
        self._open_attempts: dict[tuple[int, str], tuple[int, int, float]] = {}  # attempt, server, start time
        self.update_endpoints(servers)

    def update_endpoints(
        self, servers: Iterable[api.Server], scope: api.ListScope = api.ListScope.FULL
    ) -> None:
        """Send an endpoint list to all gateways."""
        for engine in self.engines:
            engine.handle(self.now, api.EndpointList(scope, tuple(servers)))

    def _schedule(self, at: float, gateway: int, event: api.Event) -> None:
        self._scheduled_count += 1
        heapq.heappush(self._events, (at, self._scheduled_count, gateway, event))

    def run(self, seconds: float, requests_per_second: float | Callable[[int], float]) -> None:
        """Send each gateway requests at random at a rate (per second), and handle all events of `seconds`."""
        until = self.now + seconds * 1000
        for n in range(len(self.engines)):
            at = self.now
            rate = requests_per_second(n) if callable(requests_per_second) else requests_per_second
            while (at := at + self.random.expovariate(rate / 1000)) < until:
                self._scheduled_count += 1
                rid = f"r{self._scheduled_count}"
                self._schedule(
                    at, n, api.Request(rid, "read", "plain", self._scheduled_count, 4000.0, 1.0, 1)
                )
        while self._events and self._events[0][0] < until:
            self.now, _, n, event = heapq.heappop(self._events)
            if isinstance(event, api.AttemptOutcome):
                if self._open_attempts.get((n, event.id), (None,))[0] != event.attempt:
                    continue
                self._handle_outcome(n, event)
            else:
                self._carry_out(n, self.engines[n].handle(self.now, event))
        self.now = until

    def _handle_outcome(self, n: int, event: api.AttemptOutcome) -> None:
        self.in_flight[self._open_attempts.pop((n, event.id))[1]] -= 1
        self.served += event.verdict is api.Verdict.OK
        self._carry_out(n, self.engines[n].handle(self.now, event))

    def _carry_out(self, n: int, actions: list[api.Action]) -> None:
        for action in actions:
            match action:
                case api.SendAttempt(id=rid, server=server):
                    attempt = len(self.engines[n]._pending[rid].attempts) - 1
                    self.sends.append((self.now, n, server))
                    self.in_flight[server] += 1
                    self._open_attempts[n, rid] = attempt, server, self.now
                    rtt_ms = self.work(self.random) * max(1.0, self.in_flight[server] / self.cores)
                    end = api.AttemptOutcome(rid, attempt, server, api.Verdict.OK, rtt_ms, True)
                    if server not in self.silent_servers:
                        self._schedule(self.now + rtt_ms, n, end)
                case api.SetTimer(at_ms=at, token=token):
                    self._schedule(at, n, api.TimerFired(token))
                case api.CancelAttempt(id=rid, attempt=attempt):
                    self.cancelled += 1
                    server, started_ms = self._open_attempts[n, rid][1:]
                    rtt_ms = self.now - started_ms
                    self._handle_outcome(
                        n, api.AttemptOutcome(rid, attempt, server, api.Verdict.CANCELLED, rtt_ms, False)
                    )
                case api.Reject():
                    self.rejected += 1
                case _:
                    pass
