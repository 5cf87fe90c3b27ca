"""Measures the dispatcher's CPU time per request in four configurations: reservations off, on without a
contract, with another tenant's contract, and with a contract that covers every request.

    python -m badgeryoke.testbed.dispatcher_cost [rounds]

Each round runs a hundred requests in each configuration, in random order.  The ratio is the median over all
rounds, since a busy machine slows whole rounds.
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

REQUESTS_PER_RUN, DEFAULT_ROUNDS = 100, 500
CONFIGURATIONS = ("off", "no contract", "another's contract", "drawn")


class StubEventLoop:
    """An event loop that runs queued callbacks and drops timers, none of which comes due here."""

    def __init__(self) -> None:
        self.now, self._ready = 0.0, list[tuple[Callable[..., object], tuple[Any, ...]]]()

    def time(self) -> float:
        """The simulated time in s."""
        return self.now

    def call_soon(self, callback: Callable[..., object], *args: Any) -> Any:
        """Queue a callback for the next `run`."""
        self._ready.append((callback, args))

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> Any:
        """Accept a timer that never fires; its handle is this loop."""
        return self

    def cancel(self) -> None:
        """Do nothing: no timer is pending."""

    def run(self) -> None:
        """Advance 1 ms and call the queued callbacks."""
        self.now += 0.001
        ready, self._ready = self._ready, []
        for callback, args in ready:
            callback(*args)


class DispatcherHarness:
    """A dispatcher and a server that responds at once."""

    def __init__(self, configuration: str) -> None:
        self.loop, self._attempts, self._response_count, self._request_count = (
            StubEventLoop(),
            list[Attempt](),
            0,
            0,
        )
        request_class = api.RequestClass("read", 400.0, 2000.0, api.Idempotency.IDEMPOTENT)
        settings = api.Settings(
            0, 1, "a", 2.0, (request_class,), (api.Plan("plan", 1e6, 1e6),), can_cancel=True, max_attempts=3
        )
        self.dispatcher = Dispatcher(
            settings,
            1,
            ActorScheduler(self.loop),
            lambda: self.loop.now * 1000.0,
            lambda _: self,
            self,
            with_reservations=configuration != "off",
        )
        self.dispatcher.update_endpoints(
            api.EndpointList(
                api.ListScope.FULL,
                tuple(api.Server(number, "a", "std", 0, api.EndpointState.UP) for number in range(1, 9)),
            )
        )
        if configuration != "off":
            client = ReservationClient("a", "p", Timings())
            if configuration != "no contract":
                self._grant_lease(client, 5 if configuration == "drawn" else 6)
            self.dispatcher.enable_reservations(client, lambda: self.loop.now * 1000.0)

    @staticmethod
    def _grant_lease(client: ReservationClient, customer: int) -> None:
        version = VersionFacts(
            customers=(customer,),
            rate=1e6,
            burst=1e6,
            intervals=(Interval(0.0, math.inf),),
            effective_from_ms=0.0,
        )
        facts = ContractFacts(contract="peak", tenant="t", rank=1, zone="", versions=(version,))
        answer = ApplyResult(msgspec.to_builtins(ContractsAnswer(revision=1, contracts=(facts,))))
        client.answered(0.0, PollContracts(id="contracts"), answer)
        lease: ContractLease = client.leases["peak"]
        lease.share = lease.depth = lease.level = lease.fair_share = lease.wanted_rate = 1e9
        lease.expires_ms = lease.share_change_ms = math.inf

    def add(self, *_: object) -> None:
        """Fail: the measured dispatcher has no quota counter."""
        raise AssertionError("no counter is configured")

    def start(self, attempt: Attempt) -> None:
        """Queue an attempt; it gets its response in the next step."""
        self._attempts.append(attempt)

    def _response_received(self, answer: object) -> None:
        self._response_count += 1

    def run(self) -> float:
        """Run the requests of a round and return the CPU seconds used."""
        started_s = time.process_time()
        for _ in range(REQUESTS_PER_RUN):
            self._request_count += 1
            self.dispatcher.submit(
                Request(str(self._request_count), "read", "plan", 5, 2000.0, 1.0, 1), self._response_received
            )
            self.loop.run()
            for attempt in self._attempts:
                attempt.written()
                attempt.succeeded(b"1")
            self._attempts.clear()
            self.loop.run()
        cpu_s = time.process_time() - started_s
        assert self._response_count == self._request_count
        return cpu_s


def main(rounds: int) -> None:
    """Run all configurations and print their CPU times."""
    harnesses = {configuration: DispatcherHarness(configuration) for configuration in CONFIGURATIONS}
    cpu_s: dict[str, list[float]] = {configuration: [] for configuration in CONFIGURATIONS}
    order, rng = list(CONFIGURATIONS), random.Random(1)
    for _ in range(rounds):
        rng.shuffle(order)
        for configuration in order:
            cpu_s[configuration].append(harnesses[configuration].run())
    for configuration in CONFIGURATIONS:
        ratio = statistics.median(
            measured / off for measured, off in zip(cpu_s[configuration], cpu_s["off"], strict=True)
        )
        print(
            f"{configuration:20} {min(cpu_s[configuration]) / REQUESTS_PER_RUN * 1e6:6.1f} us a query at the least, "
            f"ratio {ratio:.3f}"
        )


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_ROUNDS)
