"""Digests of what the decisions come to, recorded once: a change that only renames or moves must leave them
equal.

The golden file is not made anew: a change that is meant to decide otherwise says so, and why, with the new
entries.
"""

from __future__ import annotations

import json
import math
import random
from collections.abc import Callable, Mapping
from dataclasses import replace

import pytest

from badgeryoke.decisions import interface as api
from badgeryoke.decisions import priority_admission
from badgeryoke.decisions.counter_health.error_bound import (
    detection_time_ms,
    max_excess_share,
    max_excess_units,
)
from badgeryoke.decisions.counter_health.monitored_policy import MonitoredEngine
from badgeryoke.decisions.plan_schedule.carry_over import (
    BucketLevel,
    PlanLimits,
    arrival_time,
    carry_over,
    carry_over_ceiling,
    carry_over_quota,
    units_at,
)
from badgeryoke.decisions.plan_schedule.schedule import PlanSchedule, ScheduleError
from badgeryoke.testbed.checkers.quota_checker import QuotaChecker
from badgeryoke.testbed.cluster_simulation.generated_plans import play_scenario
from badgeryoke.testbed.scenario.model import Scenario
from badgeryoke.testbed.scenario.parser import load, shipped
from badgeryoke.testbed.simulation.counter import Answer, CounterModel
from badgeryoke.testbed.simulation.world import World
from tests.support.canonical import Digest
from tests.support.event_streams import CounterTrouble, Driver, ServerTrouble, Stream
from tests.support.paths import ROOT
from tests.support.policy_fleet import GatewayFleet

GOLDEN = ROOT / "tests" / "golden" / "digests" / "decisions.json"
LONGEST_MS = 30_000.0  # of a scenario is played, ...
CLUSTER_MS = 13_000.0  # ... and of what its gateways share

# Settings ---------------------------------------------------------------------------------------------

LOAD = api.Settings(
    gateway_index=0,
    gateway_count=3,
    zone="a",
    tick_ms=4.0,
    classes=(
        api.RequestClass("look", 400.0, 2000.0, api.Idempotency.IDEMPOTENT),
        api.RequestClass(
            "book", 750.0, 2000.0, api.Idempotency.WITH_KEY, api.DeduplicationScope.ALL, 1000.0, 2.0
        ),
    ),
    plans=(
        api.Plan("small", 1.6, 6.5, 0, 0.8, 0.0, 1.2),
        api.Plan("middle", 6.4, 28.0, 0, 1.2, 0.0, 0.5),
        api.Plan("large", 25.0, 48.0, 0, 1.6, 0.0, 1.2, 50.0, 96.0, 6.0),
    ),
    has_counter=True,
    counter_timeout_ms=50.0,
    max_request_units=6.0,
    max_attempts=3,
    can_cancel=True,
    max_retry_after_ms=1000.0,
    response_slack_ms=16.0,
    slow_start_fraction=0.3,
    slow_start_ms=10_000.0,
    overload_multiple=3.0,
    overload_window_ms=1500.0,
)
LOAD_CHANGED = replace(
    LOAD,
    max_attempts=2,
    plans=(
        api.Plan("small", 3.2, 9.0, 0, 0.8, 0.0, 1.2),
        api.Plan("middle", 2.0, 8.0, 0, 1.2, 0.0, 0.5, 6.0, 20.0, 2.0),
        api.Plan("large", 12.0, 20.0, 0, 1.6, 0.0, 1.2),
    ),
)
BUILD = api.Settings(
    gateway_index=0,
    gateway_count=3,
    zone="a",
    tick_ms=2.0,
    classes=(
        api.RequestClass(
            "status", 1500.0, 4000.0, api.Idempotency.IDEMPOTENT, priority_weight=3.0, late_value_fraction=0.2
        ),
        api.RequestClass(
            "store", 2000.0, 8000.0, api.Idempotency.WITH_KEY, api.DeduplicationScope.CELL, 2500.0
        ),
        api.RequestClass(
            "start", 2500.0, 8000.0, api.Idempotency.WITH_KEY, api.DeduplicationScope.ZONE, 8000.0, 5.0
        ),
        api.RequestClass("pay", 900.0, 3000.0, api.Idempotency.NOT_IDEMPOTENT),
    ),
    plans=(
        api.Plan("free"),
        api.Plan("starter", 1.6, 7.0, 2, 0.5, 0.0, 1.0),
        api.Plan("studio", 2.7, 12.0, 5, 0.72, 0.2, 0.0),
        api.Plan("agency", 8.0, 16.0, 0, 1.2, 0.0, 0.5),
        api.Plan("network", 20.0, 36.0, 0, 1.4, 0.0, 0.6, 46.0, 80.0, 4.0),
    ),
    has_counter=True,
    counter_timeout_ms=80.0,
    max_request_units=4.0,
    max_attempts=5,
    can_cancel=True,
    max_retry_after_ms=2000.0,
    must_subscribe=True,
    response_slack_ms=8.0,
    slow_start_fraction=0.25,
    slow_start_ms=14_000.0,
    overload_multiple=3.0,
    overload_window_ms=1000.0,
)
BUILD_CHANGED = replace(
    BUILD,
    classes=BUILD.classes[:3],
    can_cancel=False,
    plans=(
        api.Plan("free", 5.0, 9.0),
        api.Plan("starter", 1.6, 7.0, 4, 0.5, 0.0, 1.0),
        api.Plan("agency", 2.0, 4.0),
        api.Plan("network", 30.0, 60.0, 0, 1.4, 0.0, 0.6, 40.0, 70.0, 4.0),
    ),
)
ALONE = replace(BUILD, gateway_count=1, must_subscribe=False)
CAPPED = replace(
    LOAD,
    plans=(
        api.Plan("tight", 6.0, 10.0, 0, 1.0, 0.0, 1.0, 9.0, 16.0, 2.0),
        api.Plan("wide", 20.0, 30.0, 3, 1.0, 0.6, 0.2, 60.0, 120.0, 10.0),
    ),
)
# A full part of the headroom holds three units to the last bit: a request of three just fits.
EVEN = replace(
    LOAD, max_request_units=3.0, plans=(api.Plan("even", 5.0, 10.0, 0, 1.0, 0.0, 0.3, 15.0, 20.0),)
)
SILENT, SOUND = (CounterTrouble.DEAD, CounterTrouble.UNREACHABLE), (CounterTrouble.NONE,)

STREAMS = (
    Stream("load", 11, LOAD),
    Stream("load-retuned", 12, LOAD, LOAD_CHANGED),
    Stream(
        "load-busy-forty",
        13,
        replace(LOAD, gateway_count=40),
        servers=24,
        requests_a_second=40.0,
        spread=12,
        work_ms=90.0,
    ),
    Stream(
        "load-two-hundred",
        14,
        replace(LOAD, gateway_count=200),
        servers=40,
        requests_a_second=12.0,
        spread=40,
        elsewhere=3.0,
    ),
    Stream("load-without-counter", 15, replace(LOAD, has_counter=False), requests_a_second=90.0),
    Stream("load-three-modules", 16, LOAD, modules=3, events=12_000, requests_a_second=40.0, elsewhere=0.0),
    Stream("load-no-cancel", 17, replace(LOAD, can_cancel=False), server_trouble=0.4, work_ms=120.0),
    Stream("load-sound", 18, LOAD, server_trouble=0.0, counter_trouble=SOUND),
    Stream("load-counter-lost", 19, LOAD, counter_trouble=SILENT, requests_a_second=90.0),
    Stream("load-failing", 34, LOAD, server_trouble=0.9),
    Stream(
        "load-failing-uncancelled", 35, replace(LOAD, can_cancel=False, gateway_count=12), server_trouble=0.8
    ),
    Stream("load-many-customers", 37, LOAD, customers=400, elsewhere=0.2),
    Stream(
        "load-silent",
        38,
        LOAD,
        customers=600,
        elsewhere=0.1,
        server_troubles=(ServerTrouble.SILENT,),
        work_ms=30.0,
        cores=8,
        counter_trouble=SOUND,
    ),
    Stream("build", 21, BUILD, zones=("a", "b", "c"), work_ms=180.0),
    Stream("build-retuned", 22, BUILD, BUILD_CHANGED, zones=("a", "b", "c"), work_ms=180.0),
    Stream("build-streamed", 23, BUILD, work_ms=150.0, streamed=frozenset({"store", "status"})),
    Stream("build-alone", 24, ALONE, work_ms=180.0, requests_a_second=90.0, spread=1, elsewhere=0.0),
    Stream(
        "build-overload", 25, BUILD, work_ms=500.0, requests_a_second=120.0, server_trouble=0.5, events=10_000
    ),
    Stream("build-forty", 26, replace(BUILD, gateway_count=40), BUILD_CHANGED, servers=16, spread=9, cores=6),
    Stream(
        "build-failing",
        36,
        replace(BUILD, gateway_count=40),
        server_trouble=0.8,
        streamed=frozenset({"start"}),
    ),
    Stream(
        "build-silent",
        39,
        replace(ALONE, plans=(api.Plan("free"),)),
        work_ms=60.0,
        cores=8,
        server_trouble=0.25,
        server_troubles=(ServerTrouble.SILENT, ServerTrouble.RESETTING),
        spread=1,
    ),
    Stream(
        "build-few-servers", 27, replace(BUILD, slow_start_fraction=0.0), servers=2, requests_a_second=30.0
    ),
    Stream("ceilings", 28, CAPPED, customers=8, spread=2, requests_a_second=90.0, elsewhere=2.0),
    Stream("ceilings-slow-servers", 29, CAPPED, customers=6, work_ms=200.0, requests_a_second=90.0),
    Stream("ceilings-even", 30, replace(EVEN, has_counter=False), customers=200, requests_a_second=80.0),
    Stream("handover", 31, LOAD, handover_at=1500),
    Stream("handover-build", 32, BUILD, handover_at=1200, modules=2, work_ms=150.0),
    Stream(
        "handover-busy-counter",
        33,
        CAPPED,
        handover_at=2000,
        customers=12,
        requests_a_second=90.0,
        counter_trouble=(CounterTrouble.BUSY, CounterTrouble.SLOW),
    ),
    Stream("reserved", 41, LOAD, reserved_share=0.3, make=priority_admission.PriorityDecisionEngine),
    Stream(
        "reserved-ceilings",
        42,
        CAPPED,
        reserved_share=0.5,
        customers=6,
        requests_a_second=100.0,
        spread=2,
        make=priority_admission.PriorityDecisionEngine,
    ),
    Stream(
        "reserved-overload",
        43,
        BUILD,
        reserved_share=0.4,
        work_ms=500.0,
        requests_a_second=100.0,
        make=priority_admission.PriorityDecisionEngine,
    ),
    Stream(
        "reserved-handover",
        44,
        CAPPED,
        reserved_share=0.4,
        customers=10,
        handover_at=1500,
        make=priority_admission.PriorityDecisionEngine,
    ),
    Stream(
        "watched",
        51,
        LOAD,
        modules=3,
        events=12_000,
        elsewhere=0.0,
        requests_a_second=40.0,
        make=MonitoredEngine,
    ),
    Stream("watched-alone", 52, LOAD, LOAD_CHANGED, make=MonitoredEngine),
    Stream(
        "watched-ceilings",
        53,
        CAPPED,
        modules=3,
        customers=8,
        events=12_000,
        elsewhere=0.0,
        make=MonitoredEngine,
        counter_trouble=(CounterTrouble.SPLIT, CounterTrouble.DEAD, CounterTrouble.FORGETFUL),
    ),
    Stream(
        "watched-reserved",
        54,
        CAPPED,
        modules=3,
        customers=8,
        events=12_000,
        elsewhere=0.0,
        reserved_share=0.3,
        make=lambda settings, seed: MonitoredEngine(
            settings, seed, priority_admission.PriorityDecisionEngine
        ),
        counter_trouble=(CounterTrouble.SPLIT, CounterTrouble.UNREACHABLE, CounterTrouble.SLOW),
    ),
    Stream(
        "watched-forty",
        55,
        replace(LOAD, gateway_count=40),
        modules=8,
        events=12_000,
        requests_a_second=20.0,
        elsewhere=0.0,
        spread=8,
        make=MonitoredEngine,
    ),
)

# What is digested --------------------------------------------------------------------------------------


def stream_digest(stream: Stream) -> Digest:
    """Every action list of a stream, with its time."""
    return Driver(stream).run()


def scenario_digest(name: str) -> Digest:
    """A scenario with a quarter of its customers: tries, sends, answers and counter calls in order, and
    its result."""
    text = load(name)[0]
    text = replace(
        text,
        length_ms=min(text.length_ms, LONGEST_MS),
        crowds=tuple(replace(crowd, count=max(crowd.count // 4, 1)) for crowd in text.crowds),
    )
    digest = Digest()
    world = World(text, 1)
    world.referee = RecordingQuotaChecker(text, digest)
    world.counter = RecordingCounter(text, random.Random(f"{name}/counter"), digest)
    result = world.run()
    words: dict[str, int] = {}
    digest.add(without_names(result.figures(), words))
    digest.add(without_names(result.line, words))
    for shown in result.beliefs:
        digest.add(
            (shown.at_ms, shown.gateway, without_names((shown.belief, shown.sign), words), shown.hidden)
        )
    return digest


def cluster_digest(name: str) -> Digest:
    """What the gateways of a scenario share, for its first seconds: the figures of the fleet."""
    text = load(name)[0]
    digest = Digest()
    figures = play_scenario(replace(text, length_ms=min(text.length_ms, CLUSTER_MS)), 1)
    digest.add(without_names(figures.plain(), {}))
    return digest


def without_names(value: object, words: dict[str, int]) -> object:
    """The value without keys, and each text as a number in the order in which texts first come."""
    if isinstance(value, str):
        return words.setdefault(value, len(words))
    if isinstance(value, Mapping):
        return [without_names(item, words) for item in value.values()]
    if isinstance(value, list | tuple):
        return [without_names(item, words) for item in value]
    return value


class RecordingQuotaChecker(QuotaChecker):
    """A quota checker that also adds each of its events to a digest."""

    def __init__(self, text: Scenario, digest: Digest) -> None:
        super().__init__(text.plans, text.trouble)
        self.digest, self.kinds = digest, dict[str, int]()

    def request_sent(
        self, now: float, rid: str, customer: int, plan: str, units: float, gateway: int
    ) -> None:
        """A client request."""
        self.digest.add((0, now, rid, customer, units, gateway))
        super().request_sent(now, rid, customer, plan, units, gateway)

    def attempt_arrived(
        self, now: float, rid: str, customer: int, plan: str, units: float, gateway: int
    ) -> None:
        """An attempt, as it reaches its server."""
        self.digest.add((1, now, rid, customer, units, gateway))
        super().attempt_arrived(now, rid, customer, plan, units, gateway)

    def response_received(self, now: float, rid: str, kind: str) -> None:
        """A final response."""
        self.digest.add((2, now, rid, self.kinds.setdefault(kind, len(self.kinds))))
        super().response_received(now, rid, kind)


class RecordingCounter(CounterModel):
    """A counter that also puts its calls into a digest."""

    def __init__(self, text: Scenario, draw: random.Random, digest: Digest) -> None:
        super().__init__(text, draw)
        self.digest = digest

    def call(self, now: float, gateway: int, name: int, units: float, life_ms: float) -> Answer:
        """One call."""
        answer = super().call(now, gateway, name, units, life_ms)
        self.digest.add((3, now, gateway, name, units, life_ms, answer.at_ms, answer.total))
        return answer


def fleet_digest(gateways: int, servers: int, pace: float, work_ms: float, dead: int) -> Digest:
    """Several modules on one clock, before servers of which the last so many die and one joins cold."""
    listed = [
        api.Server(number, "ab"[number % 2], "std", 0, api.EndpointState.UP, 1.0, 0.0)
        for number in range(servers)
    ]
    fleet = GatewayFleet(gateways, listed, seed=7, work=lambda draw: draw.expovariate(1 / work_ms))
    digest = Digest()
    fleet.run(4.0, pace)
    fleet.silent_servers.update(range(servers - dead, servers))
    fleet.run(4.0, pace)
    joined = api.Server(servers, "a", "std", 0, api.EndpointState.UP, 1.0, fleet.now)
    fleet.update_endpoints([*listed[: servers - dead], joined])
    fleet.run(4.0, lambda gateway: pace * (1 + gateway % 3))
    digest.add(fleet.sends)
    digest.add((fleet.served, fleet.rejected, fleet.cancelled))
    return digest


def plan_book_digest() -> Digest:
    """A book of plans under random announcements, withdrawals and exemptions."""
    draw, digest, now = random.Random(61), Digest(), 1_000_000.0
    names = ("one", "two", "three")
    book = PlanSchedule({name: PlanLimits(5.0 * place, 20.0 * place) for place, name in enumerate(names, 1)})
    numbers = dict.fromkeys(names, 0)
    for _ in range(3000):
        now += draw.expovariate(1 / 400.0)
        plan, customer = draw.choice((*names, *names, "none")), draw.randrange(12)
        figures = drawn_figures(draw)
        step = draw.randrange(6)
        if step <= 1:
            number = numbers.get(plan, 0) + draw.choice((1, 1, 1, 1, 0, 2))
            made = book.announce(
                now, plan, number, now + draw.choice((500.0, 2000.0, 4000.0, 9000.0, math.inf)), figures
            )
            if not isinstance(made, ScheduleError):
                numbers[plan] = made.number
            digest.add((step, isinstance(made, ScheduleError) or made))
        elif step == 2:
            number = numbers.get(plan, 0) - draw.randrange(2)
            taken = book.cancel(now, plan, number)
            if not isinstance(taken, ScheduleError):
                numbers[plan] = taken.number - 1
            digest.add((step, isinstance(taken, ScheduleError) or taken))
        elif step == 3:
            own = book.exempt(now, customer, now + draw.choice((-5.0, 3000.0, 20_000.0, 1e12)), figures)
            digest.add((step, isinstance(own, ScheduleError) or own))
        else:
            granted, holds = book.limits_for(now, plan, customer), book.version(now, plan)
            digest.add(
                (
                    step,
                    isinstance(granted, ScheduleError) or granted,
                    isinstance(holds, ScheduleError) or holds,
                    book.next_change_at(now),
                    book.pending_versions(now),
                )
            )
    return digest


def drawn_figures(draw: random.Random) -> PlanLimits:
    """A plan's figures, now and then ones that are refused."""
    rate = draw.choice((0.0, 1.5, 6.0, 25.0, 25.0))
    burst = draw.choice((0.0, 8.0, 30.0, 30.0))
    return draw.choice(
        (
            PlanLimits(rate, burst),
            PlanLimits(rate, burst, 2 * rate, 2 * burst),
            PlanLimits(rate, burst, 5.0, 9.0),
        )
    )


def carry_digest() -> Digest:
    """Stores that are carried through chains of changes."""
    draw, digest = random.Random(62), Digest()
    for _ in range(300):
        store = ceiling = BucketLevel(draw.uniform(-5.0, 30.0), draw.choice((0.0, 4.0)))
        old = PlanLimits(6.0, 30.0, 12.0, 60.0)
        for _ in range(6):
            new = drawn_figures(draw)
            store, ceiling = carry_over_quota(store, old, new), carry_over_ceiling(ceiling, old, new)
            at = arrival_time(5000.0, store.units, new)
            digest.add(
                (store, ceiling, carry_over(store, old.burst, new.burst), at, units_at(5000.0, at, new))
            )
            old = new
    return digest


def bound_digest() -> Digest:
    """The errors that are stated beforehand."""
    digest = Digest()
    for gateways in (1, 3, 6, 7, 40, 200):
        for settings in (LOAD, BUILD, CAPPED):
            digest.add(
                (
                    detection_time_ms(gateways),
                    [
                        max_excess_units(plan, 3, gateways, full)
                        for plan in settings.plans
                        for full in (False, True)
                    ],
                    max_excess_share([(plan, 3) for plan in settings.plans], gateways, 12.0),
                )
            )
    return digest


CASES: dict[str, Callable[[], Digest]] = {
    **{
        f"stream-{stream.name}": (lambda stream=stream: stream_digest(stream))  # type: ignore[misc]
        for stream in STREAMS
    },
    **{f"scenario-{name}": (lambda name=name: scenario_digest(name)) for name in shipped()},  # type: ignore[misc]
    **{
        f"cluster-{name}": (lambda name=name: cluster_digest(name))  # type: ignore[misc]
        for name in shipped()
        if load(name)[0].fleet
    },
    "fleet-of-three": lambda: fleet_digest(3, 8, 20.0, 100.0, 2),
    "fleet-of-twenty": lambda: fleet_digest(20, 12, 4.0, 150.0, 3),
    "fleet-pressed": lambda: fleet_digest(4, 4, 25.0, 250.0, 1),
    "plan-book": plan_book_digest,
    "plan-carry": carry_digest,
    "stated-bounds": bound_digest,
}


@pytest.mark.parametrize("name", list(CASES))
def test_decisions_are_as_recorded(name: str) -> None:
    golden = json.loads(GOLDEN.read_text())
    digest = CASES[name]()
    assert [digest.count, digest.hexdigest()] == golden[name]


def test_each_recorded_digest_has_its_case() -> None:
    assert list(json.loads(GOLDEN.read_text())) == list(CASES)


def test_the_streams_bring_about_every_kind_of_action() -> None:
    kinds: set[str] = set()
    for stream in STREAMS:
        if stream.name in ("build", "handover", "watched"):
            driver = Driver(stream)
            driver.run()
            kinds |= driver.kinds.keys()
    assert kinds >= {"send", "cancel", "refuse", "fail", "count", "wake", "subscribe", "belief", "handover"}
