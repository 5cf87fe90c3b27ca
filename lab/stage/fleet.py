"""What gateways share, with real processes: their files, their links, what is done to them, and what is seen of it.

The referee's figures of promises come from the client's book alone, those of connections from the servers.  What no
outsider can see (who leads which term, whether the copies are whole, whether a rule of the code is broken) is asked of
the gateways' second addresses, each of them, ten times a second.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

from lab.fleet.figures import FleetFigures
from lab.stage.links import Links
from lab.stage.process import STORE, GatewayProcess
from lab.stage.promises import Address, Book, PromiseClient, fleet_call
from lab.text.scenario import Fault, Scenario

LOOK_S = 0.1
STATUS_S = 1.0
FOUNDED_S = 20.0
WHOLE_S = 30.0  # for which a fault that waits for whole copies is put off at the most
READ_S = 20.0
NAME = "lab"


def unplayable(scenario: Scenario) -> str:
    """Why a scenario cannot be played with real processes; empty where it can."""
    step = next((fault for fault in scenario.faults if fault.word == "step"), None)
    if step is None:
        return ""
    return (f"line {step.line}: step: the wall clock of one process cannot be stepped without privileges on the "
            "machine; play it in simulated time: badgeryoke lab sim")


class FleetStage:
    """The part of a stage that is there where the scenario says (fleet on)."""

    def __init__(self, scenario: Scenario, rng: random.Random, clock: Callable[[], float],
                 event: Callable[..., None], listen: list[Address], mgmt: list[Address]) -> None:
        self.scenario, self._rng, self._clock, self._event = scenario, rng, clock, event
        self.links = Links(scenario.gateways, rng)
        self.links.targets = dict(enumerate(listen))
        self.mgmt = mgmt
        self.gateways: list[GatewayProcess] = []
        self.book = Book()
        self.client = PromiseClient(mgmt, scenario.proposals, rng, self.book, clock)
        self.frozen: set[int] = set()
        self.seen: dict[int, dict[str, Any]] = {}  # the last status of each that answers
        self._leaders: dict[tuple[str, int], set[str]] = {}
        self._broken: dict[int, int] = {}
        self._loss_at: float | None = None
        self.restored_ms: float | None = None
        self._tasks: list[asyncio.Task[None]] = []

    def file(self, me: int) -> str:
        """The [fleet] section of one gateway's file: it reaches the others by the laboratory's links."""
        scenario = self.scenario
        lines = ["[fleet]", "enabled = true", f'name = "{NAME}"', f'me = "g{me + 1}"', f'folder = "{STORE}"',
                 f"copies = {scenario.copies}", ""]
        for other in range(scenario.gateways):
            host, port = self.links.targets[me] if other == me else ("127.0.0.1", self.links.ports[me, other])
            lines += ["[[fleet.members]]", f'name = "g{other + 1}"',
                      f'hall = "hall-{"abcdefghi"[other % scenario.halls]}"', f'address = "{host}:{port}"', ""]
        return "\n".join(lines)

    # What is seen ---------------------------------------------------------------------------------------

    def begin(self) -> None:
        """Look, and make promises."""
        loop = asyncio.get_running_loop()
        self._tasks.append(loop.create_task(self._watch()))

    async def _watch(self) -> None:
        while True:
            await self.look()
            await asyncio.sleep(LOOK_S)

    async def look(self) -> None:
        """Ask each that runs where it stands."""
        up = [me for me, gateway in enumerate(self.gateways) if gateway.running and me not in self.frozen]
        answers = await asyncio.gather(*(fleet_call(self.mgmt[me], "Status", {"id": "status"}, STATUS_S) for me in up))
        now = self._clock()
        self.seen = {me: value for me, (value, error) in zip(up, answers, strict=True) if not error}
        for me, status in self.seen.items():
            self._broken[me] = max(self._broken.get(me, 0), int(status.get("broken", 0)))
            for group, facts in status["groups"].items():
                if facts["state"] == "leader":
                    self._leaders.setdefault((group, facts["term"]), set()).add(status["me"])
        if not self.majority():
            self.book.excuse(now)
        if self._loss_at is not None and self.whole():
            self.restored_ms = max(self.restored_ms or 0.0, now - self._loss_at)
            self._event("whole", took_ms=round(now - self._loss_at, 1))
            self._loss_at = None

    def whole(self) -> bool:
        """Whether each group has a leader that says so: all copies there, on members that run, and none behind."""
        raise NotImplementedError

    def majority(self) -> bool:
        """Whether more than half of all gateways run and hear each other."""
        up = [me for me, gateway in enumerate(self.gateways) if gateway.running and me not in self.frozen]
        return any(2 * sum(other == me or self.links.joined(me, other) for other in up) > self.scenario.gateways
                   for me in up)

    async def until(self, good: Callable[[], bool], within_s: float) -> bool:
        """Look until it is so."""
        loop = asyncio.get_running_loop()
        end = loop.time() + within_s
        while loop.time() < end:
            await self.look()
            if good():
                return True
            await asyncio.sleep(LOOK_S)
        return False

    # What is done ---------------------------------------------------------------------------------------

    async def happen(self, fault: Fault) -> None:
        """A fault of the links or of one gateway; a process that it ends or starts is the stage's matter."""
        if fault.target == "gateways":
            self.links.happen(fault)
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
        """Read back what was promised, through whoever runs."""
        self.client.asking = False
        self.links.mend()
        for me in sorted(self.frozen):
            self.gateways[me].freeze(False)
        self.frozen.clear()

    def close(self) -> None:
        """Look no more, and break the links off."""
        for task in self._tasks:
            task.cancel()
        self.links.close()

    def figures(self) -> FleetFigures:
        """What was seen of the promises and the copies."""
        book = self.book
        return FleetFigures(
            promises_acknowledged=len(book.acknowledged), promises_lost=len(book.lost) + len(book.unread),
            promises_twice=len(book.twice), leaders_in_a_term=max(map(len, self._leaders.values()), default=0),
            unavailable_ms=book.longest_ms, copies_restored_ms=self.restored_ms,
            invariants_broken=sum(self._broken.values()))


