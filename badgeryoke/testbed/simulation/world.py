"""One run of a scenario in simulated time: gateways' decision code, models of all that is around them.

Events lie on a heap in order of time and of their making, all chance comes from the seed, and nothing reads a
clock: the same scenario and seed give the same figures to the last byte.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable
from typing import Any

from badgeryoke.decisions import interface as api
from badgeryoke.decisions.counter_health.monitored_policy import MonitoredEngine
from badgeryoke.decisions.policy.engine import DecisionEngine
from badgeryoke.testbed.checkers.quota_checker import QuotaChecker
from badgeryoke.testbed.customers import Customer, draw_customers
from badgeryoke.testbed.report.result import (
    DEADLINE_MS,
    CounterStateReport,
    Result,
    build_result,
    settings_of,
)
from badgeryoke.testbed.scenario.model import Fault, Scenario
from badgeryoke.testbed.simulation.counter import CounterModel

HOP_MS = (0.2, 1.0)  # one way between any two parties
FIRST_MS = 1_000_000_000.0  # the clock's value at the start
FRONT_MS = 1500.0  # after which clients leave a dead gateway


class World:
    """Everything in one process, by one clock."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario, self.seed = scenario, seed
        self._rng = rng = random.Random(f"{scenario.name}/{seed}")
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._made = 0
        self.now = 0.0
        self.counter = CounterModel(scenario, rng)
        self.quota_checker = QuotaChecker(scenario.plans, scenario.fault_period)
        half = scenario.clock_skew_ms / 2
        self._skew = [rng.uniform(-half, half) for _ in range(scenario.gateways)]
        self._gateways: list[DecisionEngine | MonitoredEngine | None] = [None] * scenario.gateways
        self._lives = [0] * scenario.gateways
        self._dead_at = [math.inf] * scenario.gateways
        self._servers = tuple(
            api.Server(number + 1, "hall-a", "std", 0, api.EndpointState.UP)
            for number in range(scenario.servers)
        )
        self._customers = draw_customers(scenario, rng)
        self._spike = 1.0
        self._rids = self._calls = self._watch_calls = 0
        self._queries: dict[str, tuple[int, Customer, int, bool]] = {}
        self.state_reports: list[CounterStateReport] = []

    # Time -----------------------------------------------------------------------------------------------

    def _at(self, when: float, what: Callable[..., None], *args: Any) -> None:
        self._made += 1
        heapq.heappush(self._heap, (when, self._made, what, args))

    def run(self) -> Result:
        """Play it to the end."""
        for gateway in range(min(self.scenario.started, self.scenario.gateways)):
            self._start(gateway)
        for customer in self._customers:
            if customer.rate > 0:
                self._at(200.0 + self._rng.expovariate(customer.rate), self._try, customer)
        for fault in self.scenario.faults:
            self._at(fault.at_ms, self._happen, fault)
        end = self.scenario.length_ms
        while self._heap and self._heap[0][0] <= end + DEADLINE_MS + 100.0:
            self.now, _, what, args = heapq.heappop(self._heap)
            what(*args)
        return self._result()

    def _happen(self, fault: Fault) -> None:
        if fault.target == "counter":
            self.counter.inject_fault(self.now, fault)
        elif fault.target == "customers":
            self._spike = fault.amount
        elif fault.word in ("kill", "lose"):
            self._kill(fault.groups[0][0] - 1)
        elif fault.word != "start":
            pass  # faults between gateways are played by badgeryoke.testbed.cluster_simulation
        else:
            self._start(fault.groups[0][0] - 1)

    # Gateways -------------------------------------------------------------------------------------------

    def _start(self, gateway: int) -> None:
        if self._gateways[gateway] is not None:
            self._kill(gateway)
        self._lives[gateway] += 1
        settings, seed = settings_of(self.scenario, gateway), self._rng.getrandbits(32)
        self._gateways[gateway] = (
            MonitoredEngine(settings, seed) if self.scenario.watch else DecisionEngine(settings, seed)
        )
        self._tell(gateway, self._lives[gateway], api.EndpointList(api.ListScope.CACHED, self._servers))

    def _kill(self, gateway: int) -> None:
        self._lives[gateway] += 1
        self._gateways[gateway] = None
        self._dead_at[gateway] = self.now
        for rid, (owner, *_) in list(self._queries.items()):
            if owner == gateway:
                del self._queries[rid]
                self.quota_checker.request_abandoned(rid)

    def _tell(self, gateway: int, life: int, event: api.Event) -> None:
        made = self._gateways[gateway]
        if made is None or life != self._lives[gateway]:
            return
        skew = FIRST_MS + self._skew[gateway]
        for action in made.handle(self.now + skew, event):
            match action:
                case api.SendAttempt(id=rid, server=server):
                    self._send(gateway, life, rid, server)
                case api.Reject(id=rid, retry_after_ms=wait):
                    self._answer(rid, "refused", wait)
                case api.Fail(id=rid):
                    self._answer(rid, "failed")
                case api.AddToCounter(name=name, units=units, expire_ms=expire):
                    self._count(gateway, life, name, units, expire)
                case api.SetTimer(at_ms=at, token=token):
                    self._at(max(at - skew, self.now), self._tell, gateway, life, api.TimerFired(token))
                case _:
                    pass
        if isinstance(made, MonitoredEngine):
            for change in made.take_changes():
                self.state_reports.append(
                    CounterStateReport(
                        round(self.now, 3), gateway, change.new.value, change.symptom.value, change.hidden
                    )
                )

    def _answer(self, rid: str, kind: str, wait_ms: float = 0.0) -> None:
        found = self._queries.pop(rid, None)
        if found is not None and kind == "refused" and not found[3]:
            share = found[1].customer_group.retries
            if share and self._rng.random() < share:
                self._at(self.now + wait_ms, self._ask, found[1], True)
        self.quota_checker.response_received(self.now, rid, kind)

    # Clients and servers --------------------------------------------------------------------------------

    def _try(self, customer: Customer) -> None:
        if self.now < self.scenario.length_ms:
            self._at(self.now + self._rng.expovariate(customer.rate * self._spike), self._try, customer)
            self._ask(customer, False)

    def _ask(self, customer: Customer, again: bool) -> None:
        scenario, rng = self.scenario, self._rng
        gateway = customer.choose_gateway(self.now, rng, scenario.gateways)
        if self._gateways[gateway] is None:
            alive = [
                number
                for number in ((customer.first + step) % scenario.gateways for step in range(customer.spread))
                if self._gateways[number] is not None
            ]
            if not alive or self.now - self._dead_at[gateway] < FRONT_MS:
                return  # the front has not noticed yet, or there is nobody else
            gateway = rng.choice(alive)
        units = rng.randint(*customer.customer_group.units)
        self._rids += 1
        rid = str(self._rids)
        plan = customer.customer_group.plan
        self.quota_checker.request_sent(self.now, rid, customer.number, plan, units, gateway)
        self._queries[rid] = gateway, customer, units, again
        self._at(
            self.now + rng.uniform(*HOP_MS),
            self._arrive,
            gateway,
            self._lives[gateway],
            api.Request(
                rid,
                "balance-check",
                plan,
                customer.number,
                DEADLINE_MS,
                float(units),
                customer.spread,
                customer.first,
                again,
            ),
        )

    def _arrive(self, gateway: int, life: int, request: api.Request) -> None:
        if life != self._lives[gateway]:
            self._queries.pop(request.id, None)
            self.quota_checker.request_abandoned(request.id)
        self._tell(gateway, life, request)

    def _send(self, gateway: int, life: int, rid: str, server: int) -> None:
        rng, sent = self._rng, self.now
        if rid not in self._queries:
            return
        _, customer, units, _ = self._queries[rid]
        there = self.now + rng.uniform(*HOP_MS)
        back = there + rng.uniform(*self.scenario.work_ms) + rng.uniform(*HOP_MS)
        self._at(there, self._reach, rid, customer, units, gateway)
        self._at(back, self._served, gateway, life, rid, server, sent, units, customer)

    def _reach(self, rid: str, customer: Customer, units: int, gateway: int) -> None:
        self.quota_checker.attempt_arrived(
            self.now, rid, customer.number, customer.customer_group.plan, units, gateway
        )

    def _served(
        self, gateway: int, life: int, rid: str, server: int, sent: float, units: int, customer: Customer
    ) -> None:
        if life != self._lives[gateway]:
            return
        true = float(units)
        if customer.customer_group.misjudged and self._rng.random() < customer.customer_group.misjudged:
            true = max(true + self._rng.choice((-1.0, 1.0)), 1.0)
        self._answer(rid, "served")
        rtt = self.now - sent
        self._tell(
            gateway, life, api.AttemptOutcome(rid, 0, server, api.Verdict.OK, rtt, True, true, (rtt, 1.0))
        )

    # The counter ----------------------------------------------------------------------------------------

    def _count(self, gateway: int, life: int, name: int, units: float, expire: float) -> None:
        self._calls += 1
        there = self.now + self._rng.uniform(*HOP_MS)
        self._at(there, self._called, gateway, life, name, units, expire, self.now)

    def _called(self, gateway: int, life: int, name: int, units: float, expire: float, sent: float) -> None:
        answer = self.counter.call(self.now, gateway, name, units, expire)
        late = sent + self.scenario.counter_timeout_ms
        back = answer.at_ms + self._rng.uniform(*HOP_MS)
        verdict = {
            "ok": api.Verdict.OK,
            "full": api.Verdict.QUEUE_FULL,
            "refused": api.Verdict.CONNECT_FAILED,
            "spoilt": api.Verdict.TIMEOUT,
            "silent": api.Verdict.TIMEOUT,
        }[answer.outcome]
        if answer.outcome == "silent" or back > late:
            verdict, back = api.Verdict.TIMEOUT, late
        total = api.CounterReply(
            name, verdict, back - sent, answer.total if verdict is api.Verdict.OK else 0.0
        )
        self._at(back, self._tell, gateway, life, total)

    # The end --------------------------------------------------------------------------------------------

    def _result(self) -> Result:
        for made in self._gateways:
            if isinstance(made, MonitoredEngine):
                self._watch_calls += made.calls_made
        seconds = self.now / 1000.0
        return build_result(
            self.scenario,
            self.seed,
            self.quota_checker,
            self.state_reports,
            self._calls,
            self._watch_calls / seconds / max(self.scenario.started, 1),
        )


def play(scenario: Scenario, seed: int) -> Result:
    """One run from its seed."""
    return World(scenario, seed).run()
