"""The cluster of real gateway processes in an emulated run: configuration files, links, faults, and figures.

The figures of acknowledged writes come from the write client's ledger alone, those of connections from the servers.
What cannot be observed from outside (the leader of each term, complete replicas, broken invariants) is polled at
the management address of every gateway, ten times a second.
"""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Awaitable, Callable
from typing import Any

from badgeryoke.cluster.placement.initial_placement import replica_count
from badgeryoke.cluster.placement.rendezvous import group_for_key
from badgeryoke.cluster.rolling_restart.minimum_duration import minimum_duration_ms
from badgeryoke.cluster.state_machine_part import FLEET
from badgeryoke.gateway.graceful_shutdown import ShutdownEvent, ShutdownState
from badgeryoke.testbed.checkers.contract_ledger import MIN_ERROR_BASE_FRACTION, ExpectedLedger, worst_second
from badgeryoke.testbed.emulator.faulty_links import FaultyLinks
from badgeryoke.testbed.emulator.key_value_load import (
    MAX_ATTEMPTS,
    RETRIED_ERRORS,
    RETRY_DELAY_S,
    UNKNOWN_OUTCOME,
    Address,
    Answer,
    WriteClient,
    WriteLedger,
    cluster_call,
)
from badgeryoke.testbed.emulator.process import STORAGE_FOLDER, GatewayProcess
from badgeryoke.testbed.emulator.servers import CORES, LoadServer
from badgeryoke.testbed.report.cluster_figures import FleetFigures
from badgeryoke.testbed.scenario.model import ContractText, Fault, RollText, Scenario

POLL_S = 0.1
STATUS_TIMEOUT_S = 1.0
FOUNDING_TIMEOUT_S = 20.0
REPLICAS_TIMEOUT_S = 30.0  # longest delay of a fault that waits for complete replicas
# Time to read all writes back, and the additional time for each of them, on a busy machine.
READ_BACK_S, READ_BACK_EACH_S = 20.0, 0.05
# Deadline for a gateway to drain or return, and pause between that and the next wave.
DRAIN_DEADLINE_MS, WARM_UP_MS = 10_000.0, 500.0
RESTART_TIMEOUT_S = 120.0  # longest wait for a rolling restart at the end
KILLED_LEADER_DOWN_S = 2.0  # time until a killed leader that schedules a rolling restart is started again
# Log lines that mark the phases of a gateway's restart: from draining to drained, and from SIGTERM on.
RESTART_LOG_MARKS = {
    f"{ShutdownEvent.PAUSE.value}: {ShutdownState.REJECTING.value}": "paused",
    f"{ShutdownEvent.NOTICE_ELAPSED.value}: {ShutdownState.PAUSED.value}": "drained",
    f"{ShutdownEvent.TERMINATE.value}: {ShutdownState.TERMINATING.value}": "leaving",
}
MAX_LEASE_SAMPLES = 10_000  # lease call durations kept for one contract
CAPACITY_RETRY_S = 0.25  # until a contract without capacity is proposed again: it may not be set yet
SHORTFALL_REPORT_S = 4.0  # time until gateways have reported the last units short
CLUSTER_NAME = "lab"
GROUPS = 8


def unsupported_reason(scenario: Scenario) -> str:
    """Why a scenario cannot be played with real processes; empty if it can."""
    step = next((fault for fault in scenario.faults if fault.word == "step"), None)
    if step is None:
        return ""
    return (
        f"line {step.line}: step: the wall clock of one process cannot be stepped without privileges on the "
        "machine; play it in simulated time: badgeryoke lab sim"
    )


class EmulatedCluster:
    """The part of an emulated run for scenarios with (fleet on)."""

    def __init__(
        self,
        scenario: Scenario,
        rng: random.Random,
        clock: Callable[[], float],
        event: Callable[..., None],
        listen: list[Address],
        mgmt: list[Address],
    ) -> None:
        self.scenario, self._rng, self._clock, self._event = scenario, rng, clock, event
        self.links = FaultyLinks(scenario.gateways, rng)
        self.links.targets = dict(enumerate(listen))
        self.mgmt = mgmt
        self.gateways: list[GatewayProcess] = []
        self.ledger = WriteLedger(lambda name: group_for_key(f"p:{name}", GROUPS))
        self._client_task: asyncio.Task[None] | None = None
        self.client = WriteClient(mgmt, scenario.proposals, rng, self.ledger, clock)
        self.frozen: set[int] = set()
        self.statuses: dict[int, dict[str, Any]] = {}  # the latest status of each gateway that answers
        self._leaders: dict[tuple[str, int], set[str]] = {}
        self._invariant_violations: dict[int, int] = {}
        self._loss_at_ms: float | None = None
        # Times of lost gateways and cut links; the guaranteed rate excludes the 2 s after them.
        self._loss_times_ms: list[float] = []
        self.restored_ms: float | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._restart_tasks: list[asyncio.Task[None]] = []
        self.roll_lost = 0
        self.roll_state: str | None = None
        # Finished rolling restarts, with their duration and the minimum duration.
        self.rolling_restarts: list[dict[str, Any]] = []
        self._restart_phases: dict[int, dict[str, float]] = {}
        # Duration of each gateway's restart, without scheduling delays.
        self._restart_durations_ms: list[float] = []
        # Set by the run: kill a gateway, and start it again.
        self.kill_gateway: Callable[[int], Awaitable[None]] | None = None
        self.start_gateway: Callable[[int], Awaitable[None]] | None = None
        self._contract_by_customer: dict[int, ContractText] = {}
        self._contract_ledgers = {
            text.name: ExpectedLedger(text.rate, text.burst) for text in scenario.contracts
        }
        self.contracts: dict[str, dict[str, Any]] = {}  # whether each was admitted, and its figures
        # By contract and gateway, as the gateway reports.
        self._drawn_units: dict[tuple[str, int], float] = {}
        # Durations of lease calls by contract, as the gateways report at each poll.
        self._lease_call_ms: dict[str, list[float]] = {}
        self._reported_short: dict[str, float] = {}

    def config_section(self, index: int) -> str:
        """The [fleet] section of one gateway's file; it reaches the other members through the faulty links."""
        scenario = self.scenario
        lines = [
            "[fleet]",
            "enabled = true",
            f'name = "{CLUSTER_NAME}"',
            f'me = "g{index + 1}"',
            f'folder = "{STORAGE_FOLDER}"',
            f"copies = {scenario.copies}",
            f"groups = {GROUPS}",
            f"capacity = {self.capacity():.1f}",
            "",
            "[fleet.servers]",
            f"connections = {scenario.connections}",
            "",
        ]
        for other in range(scenario.gateways):
            host, port = (
                self.links.targets[index] if other == index else ("127.0.0.1", self.links.ports[index, other])
            )
            lines += [
                "[[fleet.members]]",
                f'name = "g{other + 1}"',
                f'hall = "hall-{"abcdefghi"[other % scenario.halls]}"',
                f'address = "{host}:{port}"',
                "",
            ]
        return "\n".join(lines)

    def capacity(self) -> float:
        """Units a second that the servers can process."""
        scenario = self.scenario
        calls = scenario.servers * CORES * 2000.0 / sum(scenario.work_ms)
        return (
            calls
            * sum(sum(customer_group.units) / 2.0 for customer_group in scenario.customer_groups)
            / max(len(scenario.customer_groups), 1)
        )

    # Observation ----------------------------------------------------------------------------------------

    async def wait_founded(self) -> None:
        """Wait until the cluster is founded and all groups have complete replicas."""
        if not await self.wait_until(self.replicas_complete, FOUNDING_TIMEOUT_S):
            raise RuntimeError(
                f"the fleet was not founded within {FOUNDING_TIMEOUT_S:g} s: {self._statuses_text()}"
            )

    def start(self, customers: dict[int, int]) -> None:
        """Start polling, the writes, the contracts and the rolling restarts.

        `customers`: ids of the customers, by their number in the scenario.
        """
        loop, scenario = asyncio.get_running_loop(), self.scenario
        self._tasks.append(loop.create_task(self._poll_repeatedly()))
        if scenario.proposals:
            self._client_task = loop.create_task(self.client.run())
        for text in scenario.contracts:
            names = [customers[number] for number in range(text.customers[0], text.customers[1] + 1)]
            self._contract_by_customer.update(dict.fromkeys(names, text))
            self._tasks.append(loop.create_task(self._propose(text, names)))
        for roll in scenario.rolls:
            self._restart_tasks.append(loop.create_task(self._run_rolling_restart(roll)))

    async def call(self, call: str, **fields: Any) -> Answer:
        """Make a call at a random member, and retry it with the same id until its outcome is known."""
        answer: Answer = None, UNKNOWN_OUTCOME
        for _ in range(MAX_ATTEMPTS):
            answer = await cluster_call(self._rng.choice(self.mgmt), call, fields)
            if answer[1] not in RETRIED_ERRORS:
                break
            await asyncio.sleep(RETRY_DELAY_S)
        return answer

    async def _propose(self, text: ContractText, customers: list[int]) -> None:
        started_unix_ms = time.time() * 1000.0 - self._clock()
        terms = {
            "tenant": text.name,
            "customers": customers,
            "rate": text.rate,
            "burst": text.burst,
            "rank": min(text.importance, 9),
            "windows": [{"from_ms": started_unix_ms + text.from_ms, "to_ms": started_unix_ms + text.to_ms}],
        }
        answer: Answer = None, "no-room"
        tries = 0
        while answer[1] == "no-room" and self._clock() < text.from_ms:
            tries += 1
            answer = await self.call(
                "Propose", id=f"lab/{text.name}/{tries}", contract=text.name, terms=terms
            )
            if answer[1] == "no-room":
                await asyncio.sleep(CAPACITY_RETRY_S)
        self.contracts[text.name] = {
            "admitted": not answer[1],
            "error": answer[1] or None,
            "tries": tries,
            "at_ms": round(self._clock(), 1),
        }
        self._event("contract", name=text.name, answer=answer[0], error=answer[1], tries=tries)

    async def _run_rolling_restart(self, text: RollText) -> None:
        await asyncio.sleep(max(text.from_ms - self._clock(), 0.0) / 1000.0)
        before, self.roll_state = self.roll_lost, "asked"
        answer = await self.call(
            "RollAsk",
            id=f"lab/{text.name}",
            roll=text.name,
            at_once=text.at_once,
            gateways=[f"g{number}" for number in text.gateways],
            reason="laboratory",
            deadline_ms=DRAIN_DEADLINE_MS,
            warm_ms=WARM_UP_MS,
        )
        self._event("roll", name=text.name, answer=answer[0], error=answer[1])
        if answer[1]:
            self.roll_state = answer[1]
            return
        previous_state, asked_at, remaining_kills = "", self._clock(), list(text.kill_leader)
        while self.roll_state not in ("done", "failed", "cancelled"):
            known, error = await self.call("RollsRead", id="lab/read")
            value = next((restart for restart in known or () if restart["roll"] == text.name), None)
            if not error and value is not None:
                self.roll_state = value["state"]
                state = json.dumps([value["state"], value.get("why"), value.get("gateways")], sort_keys=True)
                if state != previous_state:
                    self._event("roll", name=text.name, state=value)
                previous_state = state
                if reached := next(
                    (planned for planned in remaining_kills if planned in value["gateways"].values()), ""
                ):
                    remaining_kills.remove(reached)
                    await self._kill_leader(reached)
            await asyncio.sleep(POLL_S / 2)
        duration_ms = self._clock() - asked_at
        await self.wait_until(lambda: not self._restart_phases, 5.0)
        self._record_rolling_restart(text, duration_ms, remaining_kills)
        self._event(
            "roll",
            name=text.name,
            state=self.roll_state,
            lost=self.roll_lost - before,
            **self.rolling_restarts[-1],
        )

    def _record_rolling_restart(self, text: RollText, duration_ms: float, remaining_kills: list[str]) -> None:
        """Record a rolling restart's duration, and the minimum that the limits allow if each gateway takes the mean
        time of this restart."""
        groups = {
            group: tuple(voter.partition("/")[0] for voter in facts["voters"])
            for status in self.statuses.values()
            for group, facts in status["groups"].items()
            if facts["behind"] is not None
        }
        zones = {f"g{index + 1}": str(index % self.scenario.halls) for index in range(self.scenario.gateways)}
        mean_restart_ms = (
            sum(self._restart_durations_ms) / len(self._restart_durations_ms)
            if self._restart_durations_ms
            else 0.0
        )
        minimum_ms = minimum_duration_ms(
            [f"g{number}" for number in text.gateways], groups, zones, text.at_once, 0.0, mean_restart_ms
        )
        self.rolling_restarts.append(
            {
                "roll": text.name,
                "took_ms": round(duration_ms, 1),
                "least_ms": round(minimum_ms, 1),
                "wave_ms": round(mean_restart_ms, 1),
                "restarts": len(self._restart_durations_ms),
                "not_killed_at": remaining_kills,
                "ratio": round(duration_ms / minimum_ms, 3) if minimum_ms else None,
            }
        )

    async def _kill_leader(self, state: str) -> None:
        """Kill the gateway that leads the cluster's own group, which schedules rolling restarts, and start it again
        later."""
        await self.poll()
        leaders = {
            int(facts["term"]): index
            for index, status in self.statuses.items()
            if (facts := status["groups"].get(FLEET)) is not None and facts["behind"] is not None
        }
        if not leaders or self.kill_gateway is None or self.start_gateway is None:
            self._event("leader not found", stand=state)
            return
        index = leaders[max(leaders)]
        self._event("leader killed", gateway=index + 1, stand=state)
        self._loss_times_ms.append(self._clock())
        await self.kill_gateway(index)
        self._restart_tasks.append(
            asyncio.get_running_loop().create_task(self._start_later(index, self.start_gateway))
        )

    @staticmethod
    async def _start_later(index: int, start: Callable[[int], Awaitable[None]]) -> None:
        await asyncio.sleep(KILLED_LEADER_DOWN_S)
        await start(index)

    def log_line(self, index: int, line: str) -> None:
        """Process a line of a gateway's log."""
        for text, phase in RESTART_LOG_MARKS.items():
            if text in line:
                self.record_restart_phase(index, phase)

    def record_restart_phase(self, index: int, phase: str) -> None:
        """Record the time of a phase of a gateway's restart; the run itself reports "ended" and "up"."""
        if phase == "paused":
            self._restart_phases[index] = {}
        if index in self._restart_phases:
            self._restart_phases[index][phase] = self._clock()

    def _record_finished_restarts(self, now: float) -> None:
        """Record the restarts of gateways whose replicas have caught up."""
        for index, marks in list(self._restart_phases.items()):
            groups = self.statuses[index]["groups"] if index in self.statuses else {}
            if len(marks) == 5 and groups and all(facts["leader"] for facts in groups.values()):
                self._restart_durations_ms.append(
                    marks["drained"] - marks["paused"] + now - marks["leaving"] + WARM_UP_MS
                )
                del self._restart_phases[index]

    @property
    def restart_in_progress(self) -> bool:
        """Whether a rolling restart is in progress."""
        return any(not task.done() for task in self._restart_tasks)

    async def wait_restarts(self) -> None:
        """Wait until the rolling restarts have ended."""
        if self._restart_tasks:
            await asyncio.wait(self._restart_tasks, timeout=RESTART_TIMEOUT_S)
        for task in self._restart_tasks:
            if task.done():
                task.result()

    def attempt_started(self, customer: int, now: float, units: float, index: int) -> Callable[[str], None]:
        """Record a customer's attempt at a gateway in the ledger of its contract.

        Returns a function to call with the attempt's outcome.  See badgeryoke.testbed.checkers.contract_ledger.
        """
        text = self._contract_by_customer.get(customer)
        if text is None or not text.from_ms <= now < text.to_ms:
            return lambda kind: None
        ledger = self._contract_ledgers[text.name]
        token = ledger.record_request(now, units, self.is_partitioned(index))

        def ended(kind: str) -> None:
            if kind == "served":
                ledger.record_served(self._clock(), units, token)

        return ended

    def is_partitioned(self, index: int) -> bool:
        """Whether a gateway is connected to no majority of the gateways, itself included."""
        return 2 * sum(
            other == index or self.links.is_connected(index, other) for other in range(self.scenario.gateways)
        ) <= (self.scenario.gateways)

    def shortfall_error(self) -> float | None:
        """The largest relative error of the reported units short, over all admitted contracts."""
        return max(
            (
                ledger.report_error(self._reported_short[name])
                for name, ledger in self._contract_ledgers.items()
                if name in self._reported_short
            ),
            default=None,
        )

    def guaranteed_fraction(self) -> float | None:
        """The smallest served fraction of a second under any admitted contract; see
        badgeryoke.testbed.checkers.contract_ledger."""
        return worst_second([self._served_fractions(text.name) for text in self.scenario.contracts])

    def _served_fractions(self, name: str) -> dict[int, float]:
        text = next(text for text in self.scenario.contracts if text.name == name)
        if not self.contracts.get(name, {}).get("admitted"):
            return {}
        return self._contract_ledgers[name].served_fraction_by_second(
            text.from_ms, text.to_ms, self._loss_times_ms
        )

    async def _poll_repeatedly(self) -> None:
        while True:
            await self.poll()
            await asyncio.sleep(POLL_S)

    async def poll(self) -> None:
        """Poll the status of each running gateway."""
        up = [
            index
            for index, gateway in enumerate(self.gateways)
            if gateway.running and index not in self.frozen
        ]
        answers = await asyncio.gather(
            *(cluster_call(self.mgmt[index], "Status", {"id": "status"}, STATUS_TIMEOUT_S) for index in up)
        )
        now = self._clock()
        self.statuses = {index: value for index, (value, error) in zip(up, answers, strict=True) if not error}
        for index, status in self.statuses.items():
            ended = any(
                "invariant-broken" in error for error in status.get("errors", ())
            )  # its cluster service has stopped
            self._invariant_violations[index] = max(
                self._invariant_violations.get(index, 0), int(status.get("broken", 0)), int(ended)
            )
            for name, lease in status.get("contracts", {}).items():
                self._drawn_units[name, index] = max(
                    self._drawn_units.get((name, index), 0.0), lease["drawn"]
                )
                if (
                    lease["asked"] > 0.0
                    and len(durations := self._lease_call_ms.setdefault(name, [])) < MAX_LEASE_SAMPLES
                ):
                    durations.append(lease["call_ms"])
            for group, facts in status["groups"].items():
                if facts["behind"] is not None:  # this gateway leads the group
                    self._leaders.setdefault((group, facts["term"]), set()).add(status["me"])
        if not self.majority_connected():
            self.ledger.restart_unavailability(now)
        if self._restart_phases and self.replicas_complete():
            self._record_finished_restarts(now)
        if self._loss_at_ms is not None and self.replicas_complete():
            self.restored_ms = max(self.restored_ms or 0.0, now - self._loss_at_ms)
            self._event("whole", took_ms=round(now - self._loss_at_ms, 1))
            self._loss_at_ms = None

    def replicas_complete(self) -> bool:
        """Whether, by the status of its leader, each group has all its replicas on running members, and none is
        lagging."""
        ids = {status["me"] for status in self.statuses.values()}
        count = replica_count(self.scenario.copies, self.scenario.gateways)
        for group in (FLEET, *(f"g{number}" for number in range(GROUPS))):
            leaders = [
                facts
                for status in self.statuses.values()
                if (facts := status["groups"].get(group)) is not None and facts["behind"] is not None
            ]
            facts = max(leaders, key=lambda candidate: int(candidate["term"]), default=None)
            if (
                facts is None
                or facts["behind"]
                or facts["learners"]
                or len(facts["voters"]) < count
                or not ids.issuperset(facts["voters"])
            ):
                return False
        return True

    def _statuses_text(self) -> str:
        return json.dumps(self.statuses, sort_keys=True)[:2000]

    def majority_connected(self) -> bool:
        """Whether a majority of all gateways is running and connected."""
        up = [
            index
            for index, gateway in enumerate(self.gateways)
            if gateway.running and index not in self.frozen
        ]
        return any(
            2 * sum(other == index or self.links.is_connected(index, other) for other in up)
            > self.scenario.gateways
            for index in up
        )

    async def wait_replicas_complete(self) -> bool:
        """Wait until all replicas are complete; False if they are not in time, so that the fault is skipped."""
        condition = await self.wait_until(self.replicas_complete, REPLICAS_TIMEOUT_S)
        if not condition:
            self._event("not whole", state=self._statuses_text())
        return condition

    async def wait_until(self, condition: Callable[[], bool], timeout_s: float) -> bool:
        """Poll until `good` holds; False if it does not within `within_s`."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while loop.time() < deadline:
            await self.poll()
            if condition():
                return True
            await asyncio.sleep(POLL_S)
        return False

    # Faults ---------------------------------------------------------------------------------------------

    async def inject_fault(self, fault: Fault) -> None:
        """Inject a fault of the links or of one gateway; the run itself ends and starts processes."""
        if fault.word in ("kill", "lose", "spoil", "freeze", "cut"):
            self._loss_times_ms.append(self._clock())
        if fault.target == "gateways":
            self.links.inject_fault(fault)
            return
        if fault.target != "gateway":
            return
        index = fault.groups[0][0] - 1
        gateway = self.gateways[index]
        if fault.word in ("freeze", "thaw"):
            gateway.freeze(fault.word == "freeze")
            (self.frozen.add if fault.word == "freeze" else self.frozen.discard)(index)
        elif fault.word == "full":
            gateway.set_disk_full(fault.amount > 0)
        elif fault.word in ("lose", "spoil"):
            if fault.word == "lose":
                gateway.wipe_storage()
            elif not gateway.corrupt_storage(self._rng):
                raise RuntimeError(f"line {fault.line}: spoil: gateway {index + 1} has no store")
            self._loss_at_ms = self._clock() if self._loss_at_ms is None else self._loss_at_ms

    async def finish(self) -> None:
        """Remove all faults, wait for calls in flight, and read the acknowledged writes back."""
        self.client.running = False
        self.links.mend()
        for index in sorted(self.frozen):
            self.gateways[index].freeze(False)
        self.frozen.clear()
        if self._client_task is not None:
            await self._client_task
        self.ledger.finish(self._clock())
        if not await self.wait_until(self.replicas_complete, REPLICAS_TIMEOUT_S):
            self._event("not whole", state=self._statuses_text())
        if self.scenario.contracts:
            await asyncio.sleep(SHORTFALL_REPORT_S)
            value, error = await self.call("ContractsRead")
            self._event("contracts", told=value, error=error)
            if not error:
                for name, report in value["contracts"].items():
                    self._reported_short[name] = sum(report["short"].values())
                    ledger, lease_call_ms = (
                        self._contract_ledgers[name],
                        sorted(self._lease_call_ms.get(name, [0.0])),
                    )
                    # The gateways' own count of units drawn, which excludes requests served without a
                    # reservation.
                    drawn = sum(
                        units for (contract, _), units in self._drawn_units.items() if contract == name
                    )
                    due = sum(due for due, _ in ledger.busy_periods)
                    without_lease = report["short"].get("no lease", 0.0)
                    self.contracts[name].update(
                        lacked_error=round(
                            abs(without_lease - due + drawn)
                            / max(due - drawn, MIN_ERROR_BASE_FRACTION * due, 1.0),
                            4,
                        ),
                        state=report["state"],
                        worst=dict(
                            sorted(self._served_fractions(name).items(), key=lambda item: item[1])[:5]
                        ),
                        lease_ms={
                            f"p{percentile}": round(lease_call_ms[len(lease_call_ms) * percentile // 100], 1)
                            for percentile in (50, 90, 99)
                        },
                        told_short={cause: round(units, 2) for cause, units in report["short"].items()},
                        drawn=round(drawn, 1),
                        short=round(ledger.units_short(), 2),
                        due=round(due, 1),
                        served=round(sum(served for _, served in ledger.busy_periods), 1),
                    )
        await self.client.read_back(READ_BACK_S + READ_BACK_EACH_S * len(self.ledger.acknowledged))

    def close(self) -> None:
        """Stop polling and close the links."""
        for task in (*self._tasks, *self._restart_tasks, self._client_task):
            if task is not None:
                task.cancel()
        self.links.close()

    def figures(self, servers: list[LoadServer]) -> FleetFigures:
        """The figures of the run."""
        ledger, scenario = self.ledger, self.scenario
        return FleetFigures(
            promises_acknowledged=len(ledger.acknowledged),
            promises_lost=len(ledger.lost) + len(ledger.unreadable),
            promises_twice=len(ledger.applied_twice),
            leaders_in_a_term=max(map(len, self._leaders.values()), default=0),
            unavailable_ms=ledger.longest_unavailable_ms,
            copies_restored_ms=self.restored_ms,
            contract_floor=self.guaranteed_fraction(),
            shortfall_error=self.shortfall_error(),
            connections_over=(
                max(max(server.max_open_connections - scenario.connections, 0) for server in servers)
                if scenario.connections
                else None
            ),
            roll_state=self.roll_state,
            roll_lost=self.roll_lost if scenario.rolls else None,
            invariants_broken=sum(self._invariant_violations.values()),
            roll_ratio=max(
                (restart["ratio"] for restart in self.rolling_restarts if restart["ratio"] is not None),
                default=None,
            ),
        )
