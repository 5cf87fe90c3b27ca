"""One run of a scenario in simulated time: the gateways' decision code with models of clients, servers and counter.

Events are processed in order of time, then of creation; all random draws come from the seed, and no clock is
read.  The same scenario and seed give the same figures, byte for byte.
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
    gateway_settings,
)
from badgeryoke.testbed.scenario.model import Fault, Scenario
from badgeryoke.testbed.simulation.counter import CounterModel

NETWORK_DELAY_MS = (0.2, 1.0)  # range of the one-way delay between any two parties
CLOCK_START_MS = 1_000_000_000.0  # what the gateways' clocks show at the start
FAILOVER_MS = 1500.0  # time until clients use another gateway after theirs has died


class World:
    """All parties of a run on one simulated clock."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario, self.seed = scenario, seed
        self._rng = rng = random.Random(f"{scenario.name}/{seed}")
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._event_count = 0
        self.now = 0.0
        self.counter = CounterModel(scenario, rng)
        self.quota_checker = QuotaChecker(scenario.plans, scenario.fault_period)
        max_skew_ms = scenario.clock_skew_ms / 2
        self._skew = [rng.uniform(-max_skew_ms, max_skew_ms) for _ in range(scenario.gateways)]
        self._gateways: list[DecisionEngine | MonitoredEngine | None] = [None] * scenario.gateways
        self._incarnations = [0] * scenario.gateways
        self._dead_at = [math.inf] * scenario.gateways
        self._servers = tuple(
            api.Server(number + 1, "hall-a", "std", 0, api.EndpointState.UP)
            for number in range(scenario.servers)
        )
        self._customers = draw_customers(scenario, rng)
        self._spike = 1.0
        self._request_count = self._calls = self._watch_calls = 0
        self._open_requests: dict[str, tuple[int, Customer, int, bool]] = {}
        self.state_reports: list[CounterStateReport] = []

    # Time -----------------------------------------------------------------------------------------------

    def _schedule(self, at_ms: float, callback: Callable[..., None], *args: Any) -> None:
        self._event_count += 1
        heapq.heappush(self._heap, (at_ms, self._event_count, callback, args))

    def run(self) -> Result:
        """Run the scenario to its end."""
        for gateway in range(min(self.scenario.started, self.scenario.gateways)):
            self._start(gateway)
        for customer in self._customers:
            if customer.rate > 0:
                self._schedule(
                    200.0 + self._rng.expovariate(customer.rate), self._generate_requests, customer
                )
        for fault in self.scenario.faults:
            self._schedule(fault.at_ms, self._inject_fault, fault)
        end = self.scenario.length_ms
        while self._heap and self._heap[0][0] <= end + DEADLINE_MS + 100.0:
            self.now, _, callback, args = heapq.heappop(self._heap)
            callback(*args)
        return self._result()

    def _inject_fault(self, fault: Fault) -> None:
        if fault.target == "counter":
            self.counter.inject_fault(self.now, fault)
        elif fault.target == "customers":
            self._spike = fault.amount
        elif fault.word in ("kill", "lose"):
            self._kill(fault.groups[0][0] - 1)
        elif fault.word != "start":
            pass  # faults between gateways are simulated by badgeryoke.testbed.cluster_simulation
        else:
            self._start(fault.groups[0][0] - 1)

    # Gateways -------------------------------------------------------------------------------------------

    def _start(self, gateway: int) -> None:
        if self._gateways[gateway] is not None:
            self._kill(gateway)
        self._incarnations[gateway] += 1
        settings, seed = gateway_settings(self.scenario, gateway), self._rng.getrandbits(32)
        self._gateways[gateway] = (
            MonitoredEngine(settings, seed) if self.scenario.watch else DecisionEngine(settings, seed)
        )
        self._handle_event(
            gateway, self._incarnations[gateway], api.EndpointList(api.ListScope.CACHED, self._servers)
        )

    def _kill(self, gateway: int) -> None:
        self._incarnations[gateway] += 1
        self._gateways[gateway] = None
        self._dead_at[gateway] = self.now
        for request_id, (owner, *_) in list(self._open_requests.items()):
            if owner == gateway:
                del self._open_requests[request_id]
                self.quota_checker.request_abandoned(request_id)

    def _handle_event(self, gateway: int, incarnation: int, event: api.Event) -> None:
        engine = self._gateways[gateway]
        if engine is None or incarnation != self._incarnations[gateway]:
            return
        skew = CLOCK_START_MS + self._skew[gateway]
        for action in engine.handle(self.now + skew, event):
            match action:
                case api.SendAttempt(id=request_id, server=server):
                    self._send_attempt(gateway, incarnation, request_id, server)
                case api.Reject(id=request_id, retry_after_ms=wait):
                    self._respond(request_id, "refused", wait)
                case api.Fail(id=request_id):
                    self._respond(request_id, "failed")
                case api.AddToCounter(name=name, units=units, expire_ms=expire):
                    self._call_counter(gateway, incarnation, name, units, expire)
                case api.SetTimer(at_ms=at, token=token):
                    self._schedule(
                        max(at - skew, self.now),
                        self._handle_event,
                        gateway,
                        incarnation,
                        api.TimerFired(token),
                    )
                case _:
                    pass
        if isinstance(engine, MonitoredEngine):
            for change in engine.take_changes():
                self.state_reports.append(
                    CounterStateReport(
                        round(self.now, 3), gateway, change.new.value, change.symptom.value, change.hidden
                    )
                )

    def _respond(self, request_id: str, kind: str, wait_ms: float = 0.0) -> None:
        open_request = self._open_requests.pop(request_id, None)
        if open_request is not None and kind == "refused" and not open_request[3]:
            retry_fraction = open_request[1].customer_group.retries
            if retry_fraction and self._rng.random() < retry_fraction:
                self._schedule(self.now + wait_ms, self._send_request, open_request[1], True)
        self.quota_checker.response_received(self.now, request_id, kind)

    # Clients and servers --------------------------------------------------------------------------------

    def _generate_requests(self, customer: Customer) -> None:
        if self.now < self.scenario.length_ms:
            self._schedule(
                self.now + self._rng.expovariate(customer.rate * self._spike),
                self._generate_requests,
                customer,
            )
            self._send_request(customer, False)

    def _send_request(self, customer: Customer, is_retry: bool) -> None:
        scenario, rng = self.scenario, self._rng
        gateway = customer.choose_gateway(self.now, rng, scenario.gateways)
        if self._gateways[gateway] is None:
            running = [
                number
                for number in ((customer.first + step) % scenario.gateways for step in range(customer.spread))
                if self._gateways[number] is not None
            ]
            if not running or self.now - self._dead_at[gateway] < FAILOVER_MS:
                return  # clients still use the dead gateway, or no other is up
            gateway = rng.choice(running)
        units = rng.randint(*customer.customer_group.units)
        self._request_count += 1
        request_id = str(self._request_count)
        plan = customer.customer_group.plan
        self.quota_checker.request_sent(self.now, request_id, customer.number, plan, units, gateway)
        self._open_requests[request_id] = gateway, customer, units, is_retry
        self._schedule(
            self.now + rng.uniform(*NETWORK_DELAY_MS),
            self._request_arrived,
            gateway,
            self._incarnations[gateway],
            api.Request(
                request_id,
                "balance-check",
                plan,
                customer.number,
                DEADLINE_MS,
                float(units),
                customer.spread,
                customer.first,
                is_retry,
            ),
        )

    def _request_arrived(self, gateway: int, incarnation: int, request: api.Request) -> None:
        if incarnation != self._incarnations[gateway]:
            self._open_requests.pop(request.id, None)
            self.quota_checker.request_abandoned(request.id)
        self._handle_event(gateway, incarnation, request)

    def _send_attempt(self, gateway: int, incarnation: int, request_id: str, server: int) -> None:
        rng, sent = self._rng, self.now
        if request_id not in self._open_requests:
            return
        _, customer, units, _ = self._open_requests[request_id]
        arrives_at = self.now + rng.uniform(*NETWORK_DELAY_MS)
        returns_at = arrives_at + rng.uniform(*self.scenario.work_ms) + rng.uniform(*NETWORK_DELAY_MS)
        self._schedule(arrives_at, self._attempt_arrived, request_id, customer, units, gateway)
        self._schedule(
            returns_at, self._attempt_served, gateway, incarnation, request_id, server, sent, units, customer
        )

    def _attempt_arrived(self, request_id: str, customer: Customer, units: int, gateway: int) -> None:
        self.quota_checker.attempt_arrived(
            self.now, request_id, customer.number, customer.customer_group.plan, units, gateway
        )

    def _attempt_served(
        self,
        gateway: int,
        incarnation: int,
        request_id: str,
        server: int,
        sent: float,
        units: int,
        customer: Customer,
    ) -> None:
        if incarnation != self._incarnations[gateway]:
            return
        actual_units = float(units)
        if customer.customer_group.misjudged and self._rng.random() < customer.customer_group.misjudged:
            actual_units = max(actual_units + self._rng.choice((-1.0, 1.0)), 1.0)
        self._respond(request_id, "served")
        rtt = self.now - sent
        self._handle_event(
            gateway,
            incarnation,
            api.AttemptOutcome(request_id, 0, server, api.Verdict.OK, rtt, True, actual_units, (rtt, 1.0)),
        )

    # Counter --------------------------------------------------------------------------------------------

    def _call_counter(self, gateway: int, incarnation: int, name: int, units: float, expire: float) -> None:
        self._calls += 1
        arrives_at = self.now + self._rng.uniform(*NETWORK_DELAY_MS)
        self._schedule(
            arrives_at, self._counter_call_arrived, gateway, incarnation, name, units, expire, self.now
        )

    def _counter_call_arrived(
        self, gateway: int, incarnation: int, name: int, units: float, expire: float, sent: float
    ) -> None:
        answer = self.counter.call(self.now, gateway, name, units, expire)
        times_out_at = sent + self.scenario.counter_timeout_ms
        returns_at = answer.at_ms + self._rng.uniform(*NETWORK_DELAY_MS)
        verdict = {
            "ok": api.Verdict.OK,
            "full": api.Verdict.QUEUE_FULL,
            "refused": api.Verdict.CONNECT_FAILED,
            "spoilt": api.Verdict.TIMEOUT,
            "silent": api.Verdict.TIMEOUT,
        }[answer.outcome]
        if answer.outcome == "silent" or returns_at > times_out_at:
            verdict, returns_at = api.Verdict.TIMEOUT, times_out_at
        reply = api.CounterReply(
            name, verdict, returns_at - sent, answer.total if verdict is api.Verdict.OK else 0.0
        )
        self._schedule(returns_at, self._handle_event, gateway, incarnation, reply)

    # Result ---------------------------------------------------------------------------------------------

    def _result(self) -> Result:
        for engine in self._gateways:
            if isinstance(engine, MonitoredEngine):
                self._watch_calls += engine.calls_made
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
    """Run a scenario in simulated time."""
    return World(scenario, seed).run()
