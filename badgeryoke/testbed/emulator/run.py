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
from badgeryoke.testbed.emulator.clients import Door
from badgeryoke.testbed.emulator.cluster import ROLLED_S, FleetStage
from badgeryoke.testbed.emulator.counter import CounterStage
from badgeryoke.testbed.emulator.discovery_agent import Agent, roster
from badgeryoke.testbed.emulator.process import BELIEF, GatewayProcess
from badgeryoke.testbed.emulator.resp import words
from badgeryoke.testbed.emulator.servers import CORES, LoadServer
from badgeryoke.testbed.report.cluster_figures import FleetFigures
from badgeryoke.testbed.report.result import DEADLINE_MS, Result, Shown, conclude
from badgeryoke.testbed.scenario.model import Fault, Scenario
from badgeryoke.testbed.simulation.counter import CounterModel

FRONT_S = 1.5  # time until clients leave a dead gateway
READY_S = 20.0
MOST_EVENTS, MOST_SAID = 20_000, 400  # limits of kept events with gateways' log lines, and of a line's length
TEND_S = 0.1  # between two health checks of the load balancer
HIGHEST_US = 60_000_000


def free_port(host: str) -> int:
    """A port of the host that is free at the moment."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


class Stage:
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
        self._temporary = tempfile.TemporaryDirectory() if folder is None else None
        self.folder = folder or Path(self._temporary.name if self._temporary else ".")
        self.referee = QuotaChecker(scenario.plans, scenario.trouble)
        self.fleet: FleetStage | None = None
        self._felled: set[int] = set()  # gateways that a fault has killed and that are not started again
        self._tasks: list[asyncio.Task[None]] = []
        self.counter = CounterStage(CounterModel(scenario, self._rng), scenario.gateways)
        self.beliefs: list[Shown] = []
        self.events: list[dict[str, Any]] = []
        self.latency = {kind: HdrHistogram(1, HIGHEST_US, 3) for kind in ("served", "refused", "failed")}
        self._servers = [
            LoadServer(
                number + 1,
                scenario.work_ms,
                scenario.slots,
                CORES,
                seed,
                self._arrived,
                number < scenario.cold,
            )
            for number in range(scenario.servers)
        ]
        self._customers = draw_customers(scenario, self._rng)
        self._doors: list[Door] = []
        self._gateways: list[GatewayProcess] = []
        self._dead_at = [0.0] * scenario.gateways
        self._spike, self._rids, self._begun = 1.0, 0, 0.0
        self.asking = self._looking = True
        self.worst_lag_ms = 0.0
        self.counts = {"served": 0, "refused": 0, "failed": 0, "lost": 0}

    @property
    def now(self) -> float:
        """Time of the run: ms since the clients began."""
        return (asyncio.get_running_loop().time() - self._begun) * 1000.0

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
        return conclude(self.scenario, self.seed, self.referee, self.beliefs, self.counter.calls, 0.0)

    async def open(self) -> None:
        """Start all parties and wait until the gateways have discovered each other; then the run's time begins."""
        scenario, loop = self.scenario, asyncio.get_running_loop()
        await self.counter.open()
        for server in self._servers:
            await server.open(scenario.gateways)
        self._agents = []
        # A gateway has three addresses: for clients, for management, and for the other members of the cluster.
        hosts = [f"127.0.1.{me % 250 + 1}" for me in range(scenario.gateways)]
        mgmt = [(host, free_port(host)) for host in hosts]
        if scenario.fleet:
            self.fleet = FleetStage(
                scenario,
                self._rng,
                lambda: self.now,
                self._event,
                [(host, free_port(host)) for host in hosts],
                mgmt,
            )
            await self.fleet.links.listen()
            self.fleet.gateways = self._gateways
            self.fleet.fell, self.fleet.raise_ = self._fell, self._start
        for me in range(scenario.gateways):
            body = roster(
                {one.number: f"127.0.0.1:{one.ports[me]}" for one in self._servers},
                range(1, scenario.cold + 1),
                int(time.time() * 1000.0),
            )
            agent = await loop.create_server(
                lambda body=body: Agent(body, 1),  # type: ignore[misc]
                "127.0.0.1",
                0,
            )
            self._agents.append(agent)
            address = hosts[me], free_port(hosts[me])
            self._doors.append(Door(address))
            self._gateways.append(
                GatewayProcess(
                    scenario,
                    me,
                    self.folder,
                    address,
                    agent.sockets[0].getsockname()[1],
                    self.counter.ports[me],
                    body,
                    self._said,
                    *(("{}:{}".format(*mgmt[me]), self.fleet.file(me)) if self.fleet is not None else ()),
                )
            )
        self._begun = loop.time()
        await asyncio.gather(*(self._start(me) for me in range(min(scenario.started, scenario.gateways))))
        await asyncio.sleep(1.3)  # until the gateways have discovered each other, so that the run has no cold start
        if self.fleet is not None:
            await self.fleet.founded()
        self._begun = loop.time()

    async def _start(self, me: int) -> None:
        if self._gateways[me].running:
            return
        await self._gateways[me].start()
        self._felled.discard(me)
        until = asyncio.get_running_loop().time() + READY_S
        while not await self._doors[me].ping(0.5):
            late = asyncio.get_running_loop().time() >= until
            if late or not self._gateways[me].running:
                raise RuntimeError(
                    f"gateway {me + 1} {'was not ready in time' if late else 'ended at its start'}; its "
                    f"log: {self.folder / f'gateway-{me + 1}' / 'log'}"
                )
        self._doors[me].up = True
        if self.fleet is not None:
            self.fleet.mark(me, "up")

    async def _fell(self, me: int) -> None:
        """Kill a gateway; its clients lose their connections and queued attempts."""
        self._felled.add(me)
        self._dead_at[me] = self.now
        await self._gateways[me].kill()
        self._doors[me].up = False
        self._doors[me].drop()

    async def _run(self) -> None:
        loop, scenario = asyncio.get_running_loop(), self.scenario
        for customer in self._customers:
            if customer.rate > 0:
                self._next(customer, 0.0)
        self._look(loop.time())
        if self.fleet is not None:
            self.fleet.begin({number + 1: one.number for number, one in enumerate(self._customers)})
            self._tasks.append(loop.create_task(self._tend()))
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
            await self.happen(fault)
        while self.asking and (self.now < scenario.length_ms or self._rolling):
            await asyncio.sleep(0.05)
        self.asking = False
        if self.fleet is not None:
            await self.fleet.rolled()
        await asyncio.sleep((DEADLINE_MS + 200.0) / 1000.0)
        if self.fleet is not None:
            for me in sorted(self._felled):
                await self._start(me)
            await self.fleet.finish()

    @property
    def _rolling(self) -> bool:
        """Whether a rolling restart is in progress: clients go on meanwhile, since it must not lose their queries."""
        return (
            self.fleet is not None
            and self.fleet.rolling
            and self.now < self.scenario.length_ms + ROLLED_S * 1000.0
        )

    async def happen(self, fault: Fault) -> None:
        """Inject a fault."""
        if fault.target == "counter":
            await self.counter.happen(fault)
            return
        if fault.target == "customers":
            self._spike = fault.amount
            return
        me = fault.groups[0][0] - 1 if fault.target == "gateway" else -1
        if fault.mode == "whole" and self.fleet is not None and not await self.fleet.until_whole():
            return
        ran = me >= 0 and self._gateways[me].running
        if fault.word in ("kill", "lose", "spoil") and ran:
            await self._fell(me)
        if self.fleet is not None:
            await self.fleet.happen(fault)
        if fault.word == "start" or (fault.word == "spoil" and ran):
            await self._start(me)

    async def _tend(self) -> None:
        """Emulate a load balancer, which health-checks the gateways with PING and sends clients only to ready ones,
        and a supervisor, which restarts gateways that ended by themselves."""
        while True:
            for me, gateway in enumerate(self._gateways):
                if not gateway.running and me not in self._felled:
                    self._doors[me].up = False
                    self._doors[me].drop()
                    self._event("ended", gateway=me + 1)
                    if self.fleet is not None:
                        self.fleet.mark(me, "ended")
                    await self._start(me)
            live = [me for me in range(len(self._gateways)) if me not in self._felled]
            said = await asyncio.gather(*(self._doors[me].ping(0.0) for me in live))
            for me, yes in zip(live, said, strict=True):
                self._doors[me].up = yes and me not in self._felled
            await asyncio.sleep(TEND_S)

    async def close(self) -> None:
        """Stop all processes, listeners and tasks."""
        self._looking = False
        for task in self._tasks:
            task.cancel()
        if self.fleet is not None:
            self.fleet.close()
        await asyncio.gather(*(gateway.stop() for gateway in self._gateways))
        self.counter.close()
        for server in self._servers:
            server.close()
        for agent in getattr(self, "_agents", []):
            agent.close()
        if self._temporary is not None:
            self._temporary.cleanup()

    def _look(self, due: float) -> None:
        """Every 100 ms, measure this process's lag; every second, measure the gateways' memory and show figures."""
        loop = asyncio.get_running_loop()
        self.worst_lag_ms = max(self.worst_lag_ms, (loop.time() - due) * 1000.0)
        if int(self.now) // 1000 != int(self.now - 100) // 1000:
            for gateway in self._gateways:
                gateway.look()
            gc.collect(0)
            step = int((self.now - 1000.0) // self.referee.step_ms)
            rows = [
                sums
                for index in range(step, step + 4)
                for sums in self.referee.totals_by_step.get(index, {}).values()
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
        if self._looking:
            loop.call_later(0.1, self._look, loop.time() + 0.1)

    # Clients ----------------------------------------------------------------------------------------------

    def _next(self, customer: Customer, after_ms: float) -> None:
        wait = after_ms + self._rng.expovariate(customer.rate * self._spike)
        loop = asyncio.get_running_loop()
        loop.call_at(self._begun + wait / 1000.0, self._try, customer, wait)

    def _try(self, customer: Customer, due_ms: float) -> None:
        if not self.asking or (due_ms >= self.scenario.length_ms and not self._rolling):
            return
        self._next(customer, due_ms)
        self._ask(customer, False)

    def _ask(self, customer: Customer, again: bool) -> None:
        rng, scenario = self._rng, self.scenario
        if not self.asking:
            return
        me = customer.door(self.now, rng, scenario.gateways)
        if not self._doors[me].up:
            alive = [
                number
                for number in ((customer.first + step) % scenario.gateways for step in range(customer.spread))
                if self._doors[number].up
            ]
            if not alive or self.now - self._dead_at[me] < FRONT_S * 1000.0:
                return
            me = rng.choice(alive)
        units = rng.randint(*customer.crowd.units)
        self._rids += 1
        rid, plan, sent = f"{self._rids:016x}", customer.crowd.plan, self.now
        fields = (
            f"c=balance-check,t={plan},d={DEADLINE_MS:.0f},units={units},spread={customer.spread},"
            f"first={customer.first}{',r=1' if again else ''}"
        )

        def done(kind: str, wait_ms: float = 0.0) -> None:
            if kind == "refused" and not again and rng.random() < customer.crowd.retries:
                asyncio.get_running_loop().call_later(wait_ms / 1000.0, self._ask, customer, True)
            self.counts[kind] += 1
            ended(kind)
            if kind == "lost":
                self.referee.request_abandoned(rid)
                if self.fleet is not None and me not in self._felled:
                    self.fleet.roll_lost += 1
                    self._event("lost", gateway=me + 1, asked_at=round(sent, 1), up=self._doors[me].up)
                return
            self.referee.response_received(self.now, rid, kind)
            self.latency[kind].record_value(max(int((self.now - sent) * 1000.0), 1))

        ended = (
            self.fleet.asked(customer.number, sent, units, me)
            if self.fleet is not None
            else lambda kind: None
        )
        self.referee.request_sent(sent, rid, customer.number, plan, units, me)
        if not self._doors[me].ask(
            words(b"SVC.QUERY", b"%016x" % customer.number, rid.encode(), fields.encode()), done
        ):
            done("lost")

    def _arrived(self, customer: int, rid: str, fields: dict[str, str], gateway: int) -> None:
        self.referee.attempt_arrived(self.now, rid, customer, fields["t"], float(fields["units"]), gateway)

    def _said(self, me: int, line: str) -> None:
        """Process a line of a gateway's log."""
        if self.fleet is not None:
            self.fleet.said(me, line)
        found = BELIEF.search(line)
        if found is None:
            if " badgeryoke.fleet: " in line and len(self.events) < MOST_EVENTS:
                self._event("said", gateway=me + 1, line=line[:MOST_SAID])
            return
        hidden = tuple(int(word) for word in (found.group(3) or "[]").strip("[]").split(",") if word.strip())
        shown = Shown(round(self.now, 1), me, found.group(1), found.group(2).strip(), hidden)
        if shown.at_ms >= 0 or shown.belief != "sound":
            self.beliefs.append(shown)
        self._event(
            "belief",
            gateway=me + 1,
            belief=shown.belief,
            sign=shown.sign,
            hidden=[number + 1 for number in hidden],
        )

    def extra_figures(self) -> dict[str, Any]:
        """Figures that only emulated runs have: latencies in ms, memory in MB, lag of the emulator in ms."""
        return {
            "latency_ms": {
                kind: {
                    f"p{part:g}": round(one.get_value_at_percentile(part) / 1000.0, 2)
                    for part in (50, 90, 99, 99.9)
                }
                for kind, one in self.latency.items()
                if one.get_total_count()
            },
            "memory_mb": [round(gateway.peak_kb / 1024.0, 1) for gateway in self._gateways],
            "emulator_lag_ms": round(self.worst_lag_ms, 1),
            **(
                {
                    "promises": self.fleet.book.figures(),
                    "rolls": self.fleet.rolls,
                    "contracts": self.fleet.contracts,
                }
                if self.fleet is not None
                else {}
            ),
        }

    def fleet_figures(self) -> FleetFigures:
        """The figures of the cluster; all empty for a scenario without one."""
        return self.fleet.figures(self._servers) if self.fleet is not None else FleetFigures()
