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
from badgeryoke.testbed.emulator.faulty_links import Links
from badgeryoke.testbed.emulator.key_value_load import (
    AGAIN,
    AGAIN_S,
    MOST_TRIES,
    UNKNOWN,
    Address,
    Answer,
    Book,
    PromiseClient,
    fleet_call,
)
from badgeryoke.testbed.emulator.process import STORE, GatewayProcess
from badgeryoke.testbed.emulator.servers import CORES, LoadServer
from badgeryoke.testbed.report.cluster_figures import FleetFigures
from badgeryoke.testbed.scenario.model import ContractText, Fault, RollText, Scenario

LOOK_S = 0.1
STATUS_S = 1.0
FOUNDED_S = 20.0
WHOLE_S = 30.0  # longest delay of a fault that waits for complete replicas
READ_S, READ_EACH_S = 20.0, 0.05  # time to read all writes back, and for each of them, on a busy machine
DRAIN_MS, WARM_MS = (
    10_000.0,
    500.0,
)  # deadline for a gateway to drain or return, and pause between that and the next wave
ROLLED_S = 120.0  # longest wait for a rolling restart at the end
DOWN_S = 2.0  # time until a killed leader that schedules a rolling restart is started again
# Log lines that mark the phases of a gateway's restart: from draining to drained, and from SIGTERM on.
MARKS = {
    f"{ShutdownEvent.PAUSE.value}: {ShutdownState.REJECTING.value}": "paused",
    f"{ShutdownEvent.NOTICE_ELAPSED.value}: {ShutdownState.PAUSED.value}": "drained",
    f"{ShutdownEvent.TERMINATE.value}: {ShutdownState.TERMINATING.value}": "leaving",
}
MOST_LOOKS = 10_000  # lease call durations kept for one contract
ROOM_S = 0.25  # before a contract rejected for lack of capacity is proposed again: the capacity may not be set yet
TOLD_S = 4.0  # time until gateways have reported the last units short
NAME = "lab"
GROUPS = 8


def unplayable(scenario: Scenario) -> str:
    """Why a scenario cannot be played with real processes; empty if it can."""
    step = next((fault for fault in scenario.faults if fault.word == "step"), None)
    if step is None:
        return ""
    return (
        f"line {step.line}: step: the wall clock of one process cannot be stepped without privileges on the "
        "machine; play it in simulated time: badgeryoke lab sim"
    )


class FleetStage:
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
        self.links = Links(scenario.gateways, rng)
        self.links.targets = dict(enumerate(listen))
        self.mgmt = mgmt
        self.gateways: list[GatewayProcess] = []
        self.book = Book(lambda name: group_for_key(f"p:{name}", GROUPS))
        self._client_task: asyncio.Task[None] | None = None
        self.client = PromiseClient(mgmt, scenario.proposals, rng, self.book, clock)
        self.frozen: set[int] = set()
        self.seen: dict[int, dict[str, Any]] = {}  # the latest status of each gateway that answers
        self._leaders: dict[tuple[str, int], set[str]] = {}
        self._broken: dict[int, int] = {}
        self._loss_at: float | None = None
        self._losses: list[
            float
        ] = []  # times of lost gateways and cut links; the guaranteed rate excludes the 2 s after them
        self.restored_ms: float | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._roll_tasks: list[asyncio.Task[None]] = []
        self.roll_lost = 0
        self.roll_state: str | None = None
        self.rolls: list[dict[str, Any]] = []  # finished rolling restarts, with their duration and the minimum duration
        self._marks: dict[int, dict[str, float]] = {}
        self._waves: list[float] = []  # duration of each gateway's restart, without scheduling delays
        self.fell: Callable[[int], Awaitable[None]] | None = None  # set by the run: kill a gateway, and start it again
        self.raise_: Callable[[int], Awaitable[None]] | None = None
        self._contract_of: dict[int, ContractText] = {}
        self._books = {text.name: ExpectedLedger(text.rate, text.burst) for text in scenario.contracts}
        self.contracts: dict[str, dict[str, Any]] = {}  # whether each was admitted, and its figures
        self._drawn: dict[tuple[str, int], float] = {}  # by contract and gateway, as the gateway reports
        self._lease_ms: dict[str, list[float]] = {}  # durations of lease calls, as the gateways report at each poll
        self._told_short: dict[str, float] = {}

    def file(self, me: int) -> str:
        """The [fleet] section of one gateway's file; it reaches the other members through the faulty links."""
        scenario = self.scenario
        lines = [
            "[fleet]",
            "enabled = true",
            f'name = "{NAME}"',
            f'me = "g{me + 1}"',
            f'folder = "{STORE}"',
            f"copies = {scenario.copies}",
            f"groups = {GROUPS}",
            f"capacity = {self.capacity():.1f}",
            "",
            "[fleet.servers]",
            f"connections = {scenario.connections}",
            "",
        ]
        for other in range(scenario.gateways):
            host, port = self.links.targets[me] if other == me else ("127.0.0.1", self.links.ports[me, other])
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
        return calls * sum(sum(crowd.units) / 2.0 for crowd in scenario.crowds) / max(len(scenario.crowds), 1)

    # Observation ----------------------------------------------------------------------------------------

    async def founded(self) -> None:
        """Wait until the cluster is founded and all groups have complete replicas."""
        if not await self.until(self.whole, FOUNDED_S):
            raise RuntimeError(f"the fleet was not founded within {FOUNDED_S:g} s: {self._state()}")

    def begin(self, customers: dict[int, int]) -> None:
        """Start polling, the writes, the contracts and the rolling restarts.

        `customers`: ids of the customers, by their number in the scenario.
        """
        loop, scenario = asyncio.get_running_loop(), self.scenario
        self._tasks.append(loop.create_task(self._watch()))
        if scenario.proposals:
            self._client_task = loop.create_task(self.client.run())
        for text in scenario.contracts:
            names = [customers[number] for number in range(text.customers[0], text.customers[1] + 1)]
            self._contract_of.update(dict.fromkeys(names, text))
            self._tasks.append(loop.create_task(self._propose(text, names)))
        for roll in scenario.rolls:
            self._roll_tasks.append(loop.create_task(self._roll(roll)))

    async def call(self, call: str, **fields: Any) -> Answer:
        """Make a call at a random member, and retry it with the same id until its outcome is known."""
        answer: Answer = None, UNKNOWN
        for _ in range(MOST_TRIES):
            answer = await fleet_call(self._rng.choice(self.mgmt), call, fields)
            if answer[1] not in AGAIN:
                break
            await asyncio.sleep(AGAIN_S)
        return answer

    async def _propose(self, text: ContractText, customers: list[int]) -> None:
        begun = time.time() * 1000.0 - self._clock()
        terms = {
            "tenant": text.name,
            "customers": customers,
            "rate": text.rate,
            "burst": text.burst,
            "rank": min(text.importance, 9),
            "windows": [{"from_ms": begun + text.from_ms, "to_ms": begun + text.to_ms}],
        }
        answer: Answer = None, "no-room"
        tries = 0
        while answer[1] == "no-room" and self._clock() < text.from_ms:
            tries += 1
            answer = await self.call(
                "Propose", id=f"lab/{text.name}/{tries}", contract=text.name, terms=terms
            )
            if answer[1] == "no-room":
                await asyncio.sleep(ROOM_S)
        self.contracts[text.name] = {
            "admitted": not answer[1],
            "error": answer[1] or None,
            "tries": tries,
            "at_ms": round(self._clock(), 1),
        }
        self._event("contract", name=text.name, answer=answer[0], error=answer[1], tries=tries)

    async def _roll(self, text: RollText) -> None:
        await asyncio.sleep(max(text.from_ms - self._clock(), 0.0) / 1000.0)
        before, self.roll_state = self.roll_lost, "asked"
        answer = await self.call(
            "RollAsk",
            id=f"lab/{text.name}",
            roll=text.name,
            at_once=text.at_once,
            gateways=[f"g{number}" for number in text.gateways],
            reason="laboratory",
            deadline_ms=DRAIN_MS,
            warm_ms=WARM_MS,
        )
        self._event("roll", name=text.name, answer=answer[0], error=answer[1])
        if answer[1]:
            self.roll_state = answer[1]
            return
        said, asked_at, kills = "", self._clock(), list(text.kill_leader)
        while self.roll_state not in ("done", "failed", "cancelled"):
            known, error = await self.call("RollsRead", id="lab/read")
            value = next((one for one in known or () if one["roll"] == text.name), None)
            if not error and value is not None:
                self.roll_state = value["state"]
                now = json.dumps([value["state"], value.get("why"), value.get("gateways")], sort_keys=True)
                if now != said:
                    self._event("roll", name=text.name, state=value)
                said = now
                if found := next((stand for stand in kills if stand in value["gateways"].values()), ""):
                    kills.remove(found)
                    await self._kill_leader(found)
            await asyncio.sleep(LOOK_S / 2)
        took = self._clock() - asked_at
        await self.until(lambda: not self._marks, 5.0)
        self._rolled(text, took, kills)
        self._event(
            "roll", name=text.name, state=self.roll_state, lost=self.roll_lost - before, **self.rolls[-1]
        )

    def _rolled(self, text: RollText, took: float, kills: list[str]) -> None:
        """Record a rolling restart's duration, and the minimum that the limits allow if each gateway takes the mean
        time of this restart."""
        groups = {
            group: tuple(one.partition("/")[0] for one in facts["voters"])
            for status in self.seen.values()
            for group, facts in status["groups"].items()
            if facts["behind"] is not None
        }
        halls = {f"g{me + 1}": str(me % self.scenario.halls) for me in range(self.scenario.gateways)}
        wave = sum(self._waves) / len(self._waves) if self._waves else 0.0
        least = minimum_duration_ms(
            [f"g{number}" for number in text.gateways], groups, halls, text.at_once, 0.0, wave
        )
        self.rolls.append(
            {
                "roll": text.name,
                "took_ms": round(took, 1),
                "least_ms": round(least, 1),
                "wave_ms": round(wave, 1),
                "restarts": len(self._waves),
                "not_killed_at": kills,
                "ratio": round(took / least, 3) if least else None,
            }
        )

    async def _kill_leader(self, stand: str) -> None:
        """Kill the gateway that leads the cluster's own group, which schedules rolling restarts, and start it again
        later."""
        await self.look()
        leads = {
            int(facts["term"]): me
            for me, status in self.seen.items()
            if (facts := status["groups"].get(FLEET)) is not None and facts["behind"] is not None
        }
        if not leads or self.fell is None or self.raise_ is None:
            self._event("leader not found", stand=stand)
            return
        me = leads[max(leads)]
        self._event("leader killed", gateway=me + 1, stand=stand)
        self._losses.append(self._clock())
        await self.fell(me)
        self._roll_tasks.append(asyncio.get_running_loop().create_task(self._raise(me, self.raise_)))

    @staticmethod
    async def _raise(me: int, start: Callable[[int], Awaitable[None]]) -> None:
        await asyncio.sleep(DOWN_S)
        await start(me)

    def said(self, me: int, line: str) -> None:
        """Process a line of a gateway's log."""
        for words, mark in MARKS.items():
            if words in line:
                self.mark(me, mark)

    def mark(self, me: int, what: str) -> None:
        """Record the time of a phase of a gateway's restart; the run itself reports "ended" and "up"."""
        if what == "paused":
            self._marks[me] = {}
        if me in self._marks:
            self._marks[me][what] = self._clock()

    def _back(self, now: float) -> None:
        """Record the restarts of gateways whose replicas have caught up."""
        for me, marks in list(self._marks.items()):
            groups = self.seen[me]["groups"] if me in self.seen else {}
            if len(marks) == 5 and groups and all(facts["leader"] for facts in groups.values()):
                self._waves.append(marks["drained"] - marks["paused"] + now - marks["leaving"] + WARM_MS)
                del self._marks[me]

    @property
    def rolling(self) -> bool:
        """Whether a rolling restart is in progress."""
        return any(not task.done() for task in self._roll_tasks)

    async def rolled(self) -> None:
        """Wait until the rolling restarts have ended."""
        if self._roll_tasks:
            await asyncio.wait(self._roll_tasks, timeout=ROLLED_S)
        for task in self._roll_tasks:
            if task.done():
                task.result()

    def asked(self, customer: int, now: float, units: float, me: int) -> Callable[[str], None]:
        """Record a customer's attempt at a gateway in the ledger of its contract.

        Returns a function to call with the attempt's outcome.  See badgeryoke.testbed.checkers.contract_ledger.
        """
        text = self._contract_of.get(customer)
        if text is None or not text.from_ms <= now < text.to_ms:
            return lambda kind: None
        book = self._books[text.name]
        token = book.record_request(now, units, self.cut(me))

        def ended(kind: str) -> None:
            if kind == "served":
                book.record_served(self._clock(), units, token)

        return ended

    def cut(self, me: int) -> bool:
        """Whether a gateway is connected to no majority of the gateways, itself included."""
        return 2 * sum(
            other == me or self.links.joined(me, other) for other in range(self.scenario.gateways)
        ) <= (self.scenario.gateways)

    def shortfall_error(self) -> float | None:
        """See badgeryoke.testbed.checkers.contract_ledger; of contracts that were admitted."""
        return max(
            (
                book.report_error(self._told_short[name])
                for name, book in self._books.items()
                if name in self._told_short
            ),
            default=None,
        )

    def floor(self) -> float | None:
        """See badgeryoke.testbed.checkers.contract_ledger; of contracts that were admitted."""
        return worst_second([self._seconds(text.name) for text in self.scenario.contracts])

    def _seconds(self, name: str) -> dict[int, float]:
        text = next(text for text in self.scenario.contracts if text.name == name)
        if not self.contracts.get(name, {}).get("admitted"):
            return {}
        return self._books[name].served_fraction_by_second(text.from_ms, text.to_ms, self._losses)

    async def _watch(self) -> None:
        while True:
            await self.look()
            await asyncio.sleep(LOOK_S)

    async def look(self) -> None:
        """Poll the status of each running gateway."""
        up = [me for me, gateway in enumerate(self.gateways) if gateway.running and me not in self.frozen]
        answers = await asyncio.gather(
            *(fleet_call(self.mgmt[me], "Status", {"id": "status"}, STATUS_S) for me in up)
        )
        now = self._clock()
        self.seen = {me: value for me, (value, error) in zip(up, answers, strict=True) if not error}
        for me, status in self.seen.items():
            ended = any(
                "invariant-broken" in error for error in status.get("errors", ())
            )  # its cluster service has stopped
            self._broken[me] = max(self._broken.get(me, 0), int(status.get("broken", 0)), int(ended))
            for name, stake in status.get("contracts", {}).items():
                self._drawn[name, me] = max(self._drawn.get((name, me), 0.0), stake["drawn"])
                if stake["asked"] > 0.0 and len(took := self._lease_ms.setdefault(name, [])) < MOST_LOOKS:
                    took.append(stake["call_ms"])
            for group, facts in status["groups"].items():
                if facts["behind"] is not None:  # this gateway leads the group
                    self._leaders.setdefault((group, facts["term"]), set()).add(status["me"])
        if not self.majority():
            self.book.excuse(now)
        if self._marks and self.whole():
            self._back(now)
        if self._loss_at is not None and self.whole():
            self.restored_ms = max(self.restored_ms or 0.0, now - self._loss_at)
            self._event("whole", took_ms=round(now - self._loss_at, 1))
            self._loss_at = None

    def whole(self) -> bool:
        """Whether, by the status of its leader, each group has all its replicas on running members, and none is
        lagging."""
        ids = {status["me"] for status in self.seen.values()}
        count = replica_count(self.scenario.copies, self.scenario.gateways)
        for group in (FLEET, *(f"g{number}" for number in range(GROUPS))):
            leads = [
                facts
                for status in self.seen.values()
                if (facts := status["groups"].get(group)) is not None and facts["behind"] is not None
            ]
            facts = max(leads, key=lambda one: int(one["term"]), default=None)
            if (
                facts is None
                or facts["behind"]
                or facts["learners"]
                or len(facts["voters"]) < count
                or not ids.issuperset(facts["voters"])
            ):
                return False
        return True

    def _state(self) -> str:
        return json.dumps(self.seen, sort_keys=True)[:2000]

    def majority(self) -> bool:
        """Whether a majority of all gateways is running and connected."""
        up = [me for me, gateway in enumerate(self.gateways) if gateway.running and me not in self.frozen]
        return any(
            2 * sum(other == me or self.links.joined(me, other) for other in up) > self.scenario.gateways
            for me in up
        )

    async def until_whole(self) -> bool:
        """Wait until all replicas are complete; False if they are not in time, so that the fault is skipped."""
        good = await self.until(self.whole, WHOLE_S)
        if not good:
            self._event("not whole", state=self._state())
        return good

    async def until(self, good: Callable[[], bool], within_s: float) -> bool:
        """Poll until `good` holds; False if it does not within `within_s`."""
        loop = asyncio.get_running_loop()
        end = loop.time() + within_s
        while loop.time() < end:
            await self.look()
            if good():
                return True
            await asyncio.sleep(LOOK_S)
        return False

    # Faults ---------------------------------------------------------------------------------------------

    async def happen(self, fault: Fault) -> None:
        """Inject a fault of the links or of one gateway; the run itself ends and starts processes."""
        if fault.word in ("kill", "lose", "spoil", "freeze", "cut"):
            self._losses.append(self._clock())
        if fault.target == "gateways":
            self.links.happen(fault)
            return
        if fault.target != "gateway":
            return
        me = fault.groups[0][0] - 1
        gateway = self.gateways[me]
        if fault.word in ("freeze", "thaw"):
            gateway.freeze(fault.word == "freeze")
            (self.frozen.add if fault.word == "freeze" else self.frozen.discard)(me)
        elif fault.word == "full":
            gateway.fill(fault.amount > 0)
        elif fault.word in ("lose", "spoil"):
            if fault.word == "lose":
                gateway.wipe()
            elif not gateway.spoil(self._rng):
                raise RuntimeError(f"line {fault.line}: spoil: gateway {me + 1} has no store")
            self._loss_at = self._clock() if self._loss_at is None else self._loss_at

    async def finish(self) -> None:
        """Remove all faults, wait for calls in flight, and read the acknowledged writes back."""
        self.client.asking = False
        self.links.mend()
        for me in sorted(self.frozen):
            self.gateways[me].freeze(False)
        self.frozen.clear()
        if self._client_task is not None:
            await self._client_task
        self.book.finish(self._clock())
        if not await self.until(self.whole, WHOLE_S):
            self._event("not whole", state=self._state())
        if self.scenario.contracts:
            await asyncio.sleep(TOLD_S)
            value, error = await self.call("ContractsRead")
            self._event("contracts", told=value, error=error)
            if not error:
                for name, one in value["contracts"].items():
                    self._told_short[name] = sum(one["short"].values())
                    book, took = self._books[name], sorted(self._lease_ms.get(name, [0.0]))
                    # The gateways' own count of units drawn, which excludes requests served without a
                    # reservation.
                    drawn = sum(units for (contract, _), units in self._drawn.items() if contract == name)
                    due = sum(due for due, _ in book.times)
                    lacked = one["short"].get("no lease", 0.0)
                    self.contracts[name].update(
                        lacked_error=round(
                            abs(lacked - due + drawn) / max(due - drawn, MIN_ERROR_BASE_FRACTION * due, 1.0),
                            4,
                        ),
                        state=one["state"],
                        worst=dict(sorted(self._seconds(name).items(), key=lambda found: found[1])[:5]),
                        lease_ms={
                            f"p{part}": round(took[len(took) * part // 100], 1) for part in (50, 90, 99)
                        },
                        told_short={cause: round(units, 2) for cause, units in one["short"].items()},
                        drawn=round(drawn, 1),
                        short=round(book.units_short(), 2),
                        due=round(due, 1),
                        served=round(sum(served for _, served in book.times), 1),
                    )
        await self.client.read_back(READ_S + READ_EACH_S * len(self.book.acknowledged))

    def close(self) -> None:
        """Stop polling and close the links."""
        for task in (*self._tasks, *self._roll_tasks, self._client_task):
            if task is not None:
                task.cancel()
        self.links.close()

    def figures(self, servers: list[LoadServer]) -> FleetFigures:
        """The figures of the run."""
        book, scenario = self.book, self.scenario
        return FleetFigures(
            promises_acknowledged=len(book.acknowledged),
            promises_lost=len(book.lost) + len(book.unread),
            promises_twice=len(book.twice),
            leaders_in_a_term=max(map(len, self._leaders.values()), default=0),
            unavailable_ms=book.longest_ms,
            copies_restored_ms=self.restored_ms,
            contract_floor=self.floor(),
            shortfall_error=self.shortfall_error(),
            connections_over=(
                max(max(one.most_open - scenario.connections, 0) for one in servers)
                if scenario.connections
                else None
            ),
            roll_state=self.roll_state,
            roll_lost=self.roll_lost if scenario.rolls else None,
            invariants_broken=sum(self._broken.values()),
            roll_ratio=max((one["ratio"] for one in self.rolls if one["ratio"] is not None), default=None),
        )
