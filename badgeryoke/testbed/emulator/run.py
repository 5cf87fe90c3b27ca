"""Plays a scenario on sockets in real time, with real gateway processes and everything else emulated."""

from __future__ import annotations

import asyncio
import gc
import random
import socket
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from badgeryoke.testbed.checkers.quota_checker import QuotaChecker
from badgeryoke.testbed.customers import Customer, draw_customers
from badgeryoke.testbed.emulator.clients import ClientPool
from badgeryoke.testbed.emulator.cluster import RESTART_TIMEOUT_S, EmulatedCluster
from badgeryoke.testbed.emulator.counter import CounterServer
from badgeryoke.testbed.emulator.discovery_agent import DiscoveryConnection, endpoint_list_json
from badgeryoke.testbed.emulator.process import COUNTER_HEALTH_LINE, GatewayProcess
from badgeryoke.testbed.emulator.resp import encode_command
from badgeryoke.testbed.emulator.servers import CORES, LoadServer
from badgeryoke.testbed.report.cluster_figures import FleetFigures
from badgeryoke.testbed.report.result import DEADLINE_MS, CounterStateReport, Result, build_result
from badgeryoke.testbed.scenario.model import Fault, Scenario
from badgeryoke.testbed.simulation.counter import CounterModel

FAILOVER_S = 1.5  # time until clients leave a dead gateway
READY_TIMEOUT_S = 20.0
# Events up to which gateways' log lines are kept, and the length to which a line is cut.
MAX_EVENTS, MAX_LOG_LINE_CHARS = 20_000, 400
HEALTH_CHECK_S = 0.1  # between two health checks of the load balancer
MAX_LATENCY_US = 60_000_000


def free_port(host: str) -> int:
    """A port of the host that is free at the moment."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


class EmulatedRun:
    """One run of a scenario.  `show` is called with every event and with each second's figures."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        folder: Path | None = None,
        show: Callable[[dict[str, Any]], None] | None = None,
    ) -> None:
        self.scenario, self.seed, self._show = scenario, seed, show or (lambda event: None)
        self._rng = random.Random(f"{scenario.name}/{seed}")
        self._temporary_folder = tempfile.TemporaryDirectory() if folder is None else None
        self.folder = folder or Path(self._temporary_folder.name if self._temporary_folder else ".")
        self.quota_checker = QuotaChecker(scenario.plans, scenario.fault_period)
        self.cluster: EmulatedCluster | None = None
        self._killed: set[int] = set()  # gateways that a fault has killed and that are not started again
        self._tasks: list[asyncio.Task[None]] = []
        self.counter = CounterServer(CounterModel(scenario, self._rng), scenario.gateways)
        self.state_reports: list[CounterStateReport] = []
        self.events: list[dict[str, Any]] = []
        self.latency = {kind: HdrHistogram(1, MAX_LATENCY_US, 3) for kind in ("served", "refused", "failed")}
        self._servers = [
            LoadServer(
                number + 1,
                scenario.work_ms,
                scenario.slots,
                CORES,
                seed,
                self._command_arrived,
                number < scenario.cold,
            )
            for number in range(scenario.servers)
        ]
        self._customers = draw_customers(scenario, self._rng)
        self._pools: list[ClientPool] = []
        self._gateways: list[GatewayProcess] = []
        self._killed_at_ms = [0.0] * scenario.gateways
        self._load_factor, self._requests_sent, self._started_s = 1.0, 0, 0.0
        self.clients_running = self._measuring = True
        self.max_lag_ms = 0.0
        self.counts = {"served": 0, "refused": 0, "failed": 0, "lost": 0}

    @property
    def now(self) -> float:
        """Time of the run: ms since the clients began."""
        return (asyncio.get_running_loop().time() - self._started_s) * 1000.0

    def _event(self, kind: str, **fields: Any) -> None:
        event = {"at_ms": round(self.now, 1), "event": kind, **fields}
        self.events.append(event)
        self._show(event)

    async def play(self) -> Result:
        """Play the whole scenario."""
        gc.disable()  # a pause of the emulator would be measured as one of the gateways
        try:
            await self.open()
            await self._run()
        finally:
            gc.enable()
            await self.close()
        return build_result(
            self.scenario, self.seed, self.quota_checker, self.state_reports, self.counter.calls, 0.0
        )

    async def open(self) -> None:
        """Start all parties and wait until the gateways have discovered each other; then the run's time begins."""
        scenario, loop = self.scenario, asyncio.get_running_loop()
        await self.counter.open()
        for server in self._servers:
            await server.open(scenario.gateways)
        self._agents = []
        # A gateway has three addresses: for clients, for management, and for the other members of the cluster.
        hosts = [f"127.0.1.{index % 250 + 1}" for index in range(scenario.gateways)]
        mgmt = [(host, free_port(host)) for host in hosts]
        if scenario.fleet:
            self.cluster = EmulatedCluster(
                scenario,
                self._rng,
                lambda: self.now,
                self._event,
                [(host, free_port(host)) for host in hosts],
                mgmt,
            )
            await self.cluster.links.listen()
            self.cluster.gateways = self._gateways
            self.cluster.kill_gateway, self.cluster.start_gateway = self._kill, self._start
        for index in range(scenario.gateways):
            body = endpoint_list_json(
                {upstream.number: f"127.0.0.1:{upstream.ports[index]}" for upstream in self._servers},
                range(1, scenario.cold + 1),
                int(time.time() * 1000.0),
            )
            agent = await loop.create_server(
                lambda body=body: DiscoveryConnection(body, 1),  # type: ignore[misc]
                "127.0.0.1",
                0,
            )
            self._agents.append(agent)
            address = hosts[index], free_port(hosts[index])
            self._pools.append(ClientPool(address))
            self._gateways.append(
                GatewayProcess(
                    scenario,
                    index,
                    self.folder,
                    address,
                    agent.sockets[0].getsockname()[1],
                    self.counter.ports[index],
                    body,
                    self._log_line,
                    *(
                        ("{}:{}".format(*mgmt[index]), self.cluster.config_section(index))
                        if self.cluster is not None
                        else ()
                    ),
                )
            )
        self._started_s = loop.time()
        await asyncio.gather(
            *(self._start(index) for index in range(min(scenario.started, scenario.gateways)))
        )
        # The gateways discover each other first, so that the run has no cold start.
        await asyncio.sleep(1.3)
        if self.cluster is not None:
            await self.cluster.wait_founded()
        self._started_s = loop.time()

    async def _start(self, index: int) -> None:
        if self._gateways[index].running:
            return
        await self._gateways[index].start()
        self._killed.discard(index)
        deadline = asyncio.get_running_loop().time() + READY_TIMEOUT_S
        while not await self._pools[index].ping(0.5):
            late = asyncio.get_running_loop().time() >= deadline
            if late or not self._gateways[index].running:
                raise RuntimeError(
                    f"gateway {index + 1} {'was not ready in time' if late else 'ended at its start'}; its "
                    f"log: {self.folder / f'gateway-{index + 1}' / 'log'}"
                )
        self._pools[index].up = True
        if self.cluster is not None:
            self.cluster.record_restart_phase(index, "up")

    async def _kill(self, index: int) -> None:
        """Kill a gateway; its clients lose their connections and queued attempts."""
        self._killed.add(index)
        self._killed_at_ms[index] = self.now
        await self._gateways[index].kill()
        self._pools[index].up = False
        self._pools[index].fail_queued()

    async def _run(self) -> None:
        loop, scenario = asyncio.get_running_loop(), self.scenario
        for customer in self._customers:
            if customer.rate > 0:
                self._schedule_next_attempt(customer, 0.0)
        self._measure(loop.time())
        if self.cluster is not None:
            self.cluster.start({number + 1: listed.number for number, listed in enumerate(self._customers)})
            self._tasks.append(loop.create_task(self._supervise()))
        for fault in scenario.faults:
            await asyncio.sleep(max(fault.at_ms - self.now, 0.0) / 1000.0)
            self._event(
                "fault",
                word=fault.word,
                target=fault.target,
                mode=fault.mode,
                groups=[list(group) for group in fault.groups],
                amount=fault.amount,
            )
            await self.inject_fault(fault)
        while self.clients_running and (self.now < scenario.length_ms or self._rolling):
            await asyncio.sleep(0.05)
        self.clients_running = False
        if self.cluster is not None:
            await self.cluster.wait_restarts()
        await asyncio.sleep((DEADLINE_MS + 200.0) / 1000.0)
        if self.cluster is not None:
            for index in sorted(self._killed):
                await self._start(index)
            await self.cluster.finish()

    @property
    def _rolling(self) -> bool:
        """Whether a rolling restart is in progress: clients go on meanwhile, since it must not lose their queries."""
        return (
            self.cluster is not None
            and self.cluster.restart_in_progress
            and self.now < self.scenario.length_ms + RESTART_TIMEOUT_S * 1000.0
        )

    async def inject_fault(self, fault: Fault) -> None:
        """Inject a fault."""
        if fault.target == "counter":
            await self.counter.inject_fault(fault)
            return
        if fault.target == "customers":
            self._load_factor = fault.amount
            return
        index = fault.groups[0][0] - 1 if fault.target == "gateway" else -1
        if (
            fault.mode == "whole"
            and self.cluster is not None
            and not await self.cluster.wait_replicas_complete()
        ):
            return
        was_running = index >= 0 and self._gateways[index].running
        if fault.word in ("kill", "lose", "spoil") and was_running:
            await self._kill(index)
        if self.cluster is not None:
            await self.cluster.inject_fault(fault)
        if fault.word == "start" or (fault.word == "spoil" and was_running):
            await self._start(index)

    async def _supervise(self) -> None:
        """Emulate a load balancer, which health-checks the gateways with PING and sends clients only to ready ones,
        and a supervisor, which restarts gateways that ended by themselves."""
        while True:
            for index, gateway in enumerate(self._gateways):
                if not gateway.running and index not in self._killed:
                    self._pools[index].up = False
                    self._pools[index].fail_queued()
                    self._event("ended", gateway=index + 1)
                    if self.cluster is not None:
                        self.cluster.record_restart_phase(index, "ended")
                    await self._start(index)
            live = [index for index in range(len(self._gateways)) if index not in self._killed]
            answers = await asyncio.gather(*(self._pools[index].ping(0.0) for index in live))
            for index, is_ready in zip(live, answers, strict=True):
                self._pools[index].up = is_ready and index not in self._killed
            await asyncio.sleep(HEALTH_CHECK_S)

    async def close(self) -> None:
        """Stop all processes, listeners and tasks."""
        self._measuring = False
        for task in self._tasks:
            task.cancel()
        if self.cluster is not None:
            self.cluster.close()
        await asyncio.gather(*(gateway.stop() for gateway in self._gateways))
        self.counter.close()
        for server in self._servers:
            server.close()
        for agent in getattr(self, "_agents", []):
            agent.close()
        if self._temporary_folder is not None:
            self._temporary_folder.cleanup()

    def _measure(self, due: float) -> None:
        """Every 100 ms, measure this process's lag; every second, measure the gateways' memory and show figures."""
        loop = asyncio.get_running_loop()
        self.max_lag_ms = max(self.max_lag_ms, (loop.time() - due) * 1000.0)
        if int(self.now) // 1000 != int(self.now - 100) // 1000:
            for gateway in self._gateways:
                gateway.update_peak_memory()
            gc.collect(0)
            step = int((self.now - 1000.0) // self.quota_checker.step_ms)
            rows = [
                sums
                for index in range(step, step + 4)
                for sums in self.quota_checker.totals_by_step.get(index, {}).values()
            ]
            self._show(
                {
                    "event": "second",
                    "at_ms": self.now,
                    "counts": dict(self.counts),
                    "asked": sum(row.asked for row in rows),
                    "sent": sum(row.sent for row in rows),
                    "beyond": sum(row.beyond for row in rows),
                    "oracle": sum(row.oracle for row in rows),
                }
            )
        if self._measuring:
            loop.call_later(0.1, self._measure, loop.time() + 0.1)

    # Clients ----------------------------------------------------------------------------------------------

    def _schedule_next_attempt(self, customer: Customer, after_ms: float) -> None:
        wait = after_ms + self._rng.expovariate(customer.rate * self._load_factor)
        loop = asyncio.get_running_loop()
        loop.call_at(self._started_s + wait / 1000.0, self._send_scheduled_attempt, customer, wait)

    def _send_scheduled_attempt(self, customer: Customer, due_ms: float) -> None:
        if not self.clients_running or (due_ms >= self.scenario.length_ms and not self._rolling):
            return
        self._schedule_next_attempt(customer, due_ms)
        self._send_attempt(customer, False)

    def _send_attempt(self, customer: Customer, is_retry: bool) -> None:
        rng, scenario = self._rng, self.scenario
        if not self.clients_running:
            return
        index = customer.choose_gateway(self.now, rng, scenario.gateways)
        if not self._pools[index].up:
            ready = [
                number
                for number in ((customer.first + step) % scenario.gateways for step in range(customer.spread))
                if self._pools[number].up
            ]
            if not ready or self.now - self._killed_at_ms[index] < FAILOVER_S * 1000.0:
                return
            index = rng.choice(ready)
        units = rng.randint(*customer.customer_group.units)
        self._requests_sent += 1
        request_id, plan, sent = f"{self._requests_sent:016x}", customer.customer_group.plan, self.now
        fields = (
            f"c=balance-check,t={plan},d={DEADLINE_MS:.0f},units={units},spread={customer.spread},"
            f"first={customer.first}{',r=1' if is_retry else ''}"
        )

        def done(kind: str, wait_ms: float = 0.0) -> None:
            if kind == "refused" and not is_retry and rng.random() < customer.customer_group.retries:
                asyncio.get_running_loop().call_later(wait_ms / 1000.0, self._send_attempt, customer, True)
            self.counts[kind] += 1
            record_outcome(kind)
            if kind == "lost":
                self.quota_checker.request_abandoned(request_id)
                if self.cluster is not None and index not in self._killed:
                    self.cluster.roll_lost += 1
                    self._event("lost", gateway=index + 1, asked_at=round(sent, 1), up=self._pools[index].up)
                return
            self.quota_checker.response_received(self.now, request_id, kind)
            self.latency[kind].record_value(max(int((self.now - sent) * 1000.0), 1))

        record_outcome = (
            self.cluster.attempt_started(customer.number, sent, units, index)
            if self.cluster is not None
            else lambda kind: None
        )
        self.quota_checker.request_sent(sent, request_id, customer.number, plan, units, index)
        if not self._pools[index].submit(
            encode_command(b"SVC.QUERY", b"%016x" % customer.number, request_id.encode(), fields.encode()),
            done,
        ):
            done("lost")

    def _command_arrived(self, customer: int, request_id: str, fields: dict[str, str], gateway: int) -> None:
        self.quota_checker.attempt_arrived(
            self.now, request_id, customer, fields["t"], float(fields["units"]), gateway
        )

    def _log_line(self, index: int, line: str) -> None:
        """Process a line of a gateway's log."""
        if self.cluster is not None:
            self.cluster.log_line(index, line)
        match = COUNTER_HEALTH_LINE.search(line)
        if match is None:
            if " badgeryoke.fleet: " in line and len(self.events) < MAX_EVENTS:
                self._event("said", gateway=index + 1, line=line[:MAX_LOG_LINE_CHARS])
            return
        hidden = tuple(int(word) for word in (match.group(3) or "[]").strip("[]").split(",") if word.strip())
        report = CounterStateReport(round(self.now, 1), index, match.group(1), match.group(2).strip(), hidden)
        if report.at_ms >= 0 or report.state != "sound":
            self.state_reports.append(report)
        self._event(
            "belief",
            gateway=index + 1,
            belief=report.state,
            sign=report.symptom,
            hidden=[number + 1 for number in hidden],
        )

    def extra_figures(self) -> dict[str, Any]:
        """Figures that only emulated runs have: latencies in ms, memory in MB, lag of the emulator in ms."""
        return {
            "latency_ms": {
                kind: {
                    f"p{percentile:g}": round(histogram.get_value_at_percentile(percentile) / 1000.0, 2)
                    for percentile in (50, 90, 99, 99.9)
                }
                for kind, histogram in self.latency.items()
                if histogram.get_total_count()
            },
            "memory_mb": [round(gateway.peak_kb / 1024.0, 1) for gateway in self._gateways],
            "emulator_lag_ms": round(self.max_lag_ms, 1),
            **(
                {
                    "promises": self.cluster.ledger.figures(),
                    "rolls": self.cluster.rolling_restarts,
                    "contracts": self.cluster.contracts,
                }
                if self.cluster is not None
                else {}
            ),
        }

    def cluster_figures(self) -> FleetFigures:
        """The figures of the cluster; all empty for a scenario without one."""
        return self.cluster.figures(self._servers) if self.cluster is not None else FleetFigures()
