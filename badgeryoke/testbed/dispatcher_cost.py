"""CPU a query of the core, side by side in one run: the fleet's part off, on without a contract, with another
tenant's contract, and with one that every query is drawn from.

    python -m badgeryoke.testbed.dispatcher_cost [rounds]

Each round plays a hundred queries in each of the four, in an order drawn anew; the ratio is the middle one of
all rounds, since a busy machine slows whole rounds.
"""

from __future__ import annotations

import math
import random
import statistics
import sys
import time
from collections.abc import Callable
from typing import Any

import msgspec

from badgeryoke.cluster.reservations.answers import ContractFacts, ContractsAnswer, VersionFacts
from badgeryoke.cluster.reservations.commands import PollContracts
from badgeryoke.cluster.reservations.contract_lease import ContractLease
from badgeryoke.cluster.reservations.lease_client import ReservationClient
from badgeryoke.cluster.reservations.terms import Interval
from badgeryoke.cluster.state_machine_part import ApplyResult
from badgeryoke.cluster.timings import Timings
from badgeryoke.decisions import interface as api
from badgeryoke.gateway.actor import ActorScheduler
from badgeryoke.gateway.attempt import Attempt, Request
from badgeryoke.gateway.dispatcher import Dispatcher

QUERIES, ROUNDS = 100, 500
KINDS = ("off", "no contract", "another's contract", "drawn")


class Loop:
    """Callbacks of now; timers, of which none comes due here, are forgotten."""

    def __init__(self) -> None:
        self.now, self._soon = 0.0, list[tuple[Callable[..., object], tuple[Any, ...]]]()

    def time(self) -> float:
        """The virtual time in s."""
        return self.now

    def call_soon(self, callback: Callable[..., object], *args: Any) -> Any:
        """Queue a callback for the next `run`."""
        self._soon.append((callback, args))

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> Any:
        """Accept a timer that never fires; its handle is this loop."""
        return self

    def cancel(self) -> None:
        """Do nothing: no timer is pending."""

    def run(self) -> None:
        """Advance 1 ms and call the queued callbacks."""
        self.now += 0.001
        soon, self._soon = self._soon, []
        for callback, args in soon:
            callback(*args)


class World:
    """One core and a server that answers at once."""

    def __init__(self, kind: str) -> None:
        self.loop, self._out, self._answers, self._asked = Loop(), list[Attempt](), 0, 0
        cls = api.RequestClass("read", 400.0, 2000.0, api.Idempotency.IDEMPOTENT)
        settings = api.Settings(
            0, 1, "a", 2.0, (cls,), (api.Plan("plan", 1e6, 1e6),), can_cancel=True, max_attempts=3
        )
        self.core = Dispatcher(
            settings,
            1,
            ActorScheduler(self.loop),
            lambda: self.loop.now * 1000.0,
            lambda _: self,
            self,
            with_reservations=kind != "off",
        )
        self.core.update_endpoints(
            api.EndpointList(
                api.ListScope.FULL,
                tuple(api.Server(number, "a", "std", 0, api.EndpointState.UP) for number in range(1, 9)),
            )
        )
        if kind != "off":
            floor = ReservationClient("a", "p", Timings())
            if kind != "no contract":
                self._stake(floor, 5 if kind == "drawn" else 6)
            self.core.enable_reservations(floor, lambda: self.loop.now * 1000.0)

    @staticmethod
    def _stake(floor: ReservationClient, customer: int) -> None:
        version = VersionFacts(
            customers=(customer,),
            rate=1e6,
            burst=1e6,
            intervals=(Interval(0.0, math.inf),),
            effective_from_ms=0.0,
        )
        facts = ContractFacts(contract="peak", tenant="t", rank=1, zone="", versions=(version,))
        answer = ApplyResult(msgspec.to_builtins(ContractsAnswer(revision=1, contracts=(facts,))))
        floor.answered(0.0, PollContracts(id="contracts"), answer)
        one: ContractLease = floor.leases["peak"]
        one.share = one.depth = one.level = one.fair_share = one.wanted_rate = 1e9
        one.expires_ms = one.share_change_ms = math.inf

    def add(self, *_: object) -> None:
        """Fail: the measured dispatcher has no quota counter."""
        raise AssertionError("no counter here")

    def start(self, execution: Attempt) -> None:
        """Queue an attempt for the response of the next step."""
        self._out.append(execution)

    def _answered(self, answer: object) -> None:
        self._answers += 1

    def play(self) -> float:
        """CPU seconds of so many queries."""
        begun = time.process_time()
        for _ in range(QUERIES):
            self._asked += 1
            self.core.submit(Request(str(self._asked), "read", "plan", 5, 2000.0, 1.0, 1), self._answered)
            self.loop.run()
            for execution in self._out:
                execution.written()
                execution.succeeded(b"1")
            self._out.clear()
            self.loop.run()
        took = time.process_time() - begun
        assert self._answers == self._asked
        return took


def main(rounds: int) -> None:
    """Play, and say what came of it."""
    worlds = {kind: World(kind) for kind in KINDS}
    took: dict[str, list[float]] = {kind: [] for kind in KINDS}
    order, draw = list(KINDS), random.Random(1)
    for _ in range(rounds):
        draw.shuffle(order)
        for kind in order:
            took[kind].append(worlds[kind].play())
    for kind in KINDS:
        ratio = statistics.median(one / off for one, off in zip(took[kind], took["off"], strict=True))
        print(f"{kind:20} {min(took[kind]) / QUERIES * 1e6:6.1f} us a query at the least, ratio {ratio:.3f}")


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else ROUNDS)
