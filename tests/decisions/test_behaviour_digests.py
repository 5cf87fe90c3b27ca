"""Digests of the decisions, recorded once: a change that only renames or moves code must not change them.

The golden file is not regenerated: a change that is meant to alter decisions states so, and why, with the new
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
from badgeryoke.testbed.simulation.counter import CounterModel, CounterResponse
from badgeryoke.testbed.simulation.world import World
from tests.support.canonical import Digest
from tests.support.event_streams import CounterTrouble, Driver, ServerTrouble, Stream
from tests.support.paths import ROOT
from tests.support.policy_fleet import GatewayFleet

GOLDEN = ROOT / "tests" / "golden" / "digests" / "decisions.json"
MAX_SCENARIO_MS = 30_000.0  # simulated time of a scenario
MAX_CLUSTER_SCENARIO_MS = 13_000.0  # simulated time of a scenario whose gateways form a cluster

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
SINGLE_GATEWAY = replace(BUILD, gateway_count=1, must_subscribe=False)
CAPPED = replace(
    LOAD,
    plans=(
        api.Plan("tight", 6.0, 10.0, 0, 1.0, 0.0, 1.0, 9.0, 16.0, 2.0),
        api.Plan("wide", 20.0, 30.0, 3, 1.0, 0.6, 0.2, 60.0, 120.0, 10.0),
    ),
)
# A gateway's full share of the headroom is exactly three units, so that a request of three units just fits.
EXACT_HEADROOM = replace(
    LOAD, max_request_units=3.0, plans=(api.Plan("even", 5.0, 10.0, 0, 1.0, 0.0, 0.3, 15.0, 20.0),)
)
NO_REPLIES, NO_TROUBLE = (CounterTrouble.DEAD, CounterTrouble.UNREACHABLE), (CounterTrouble.NONE,)

STREAMS = (
    Stream("load", 11, LOAD),
    Stream("load-retuned", 12, LOAD, LOAD_CHANGED),
    Stream(
        "load-busy-forty",
        13,
        replace(LOAD, gateway_count=40),
        servers=24,
        requests_per_second=40.0,
        spread=12,
        work_ms=90.0,
    ),
    Stream(
        "load-two-hundred",
        14,
        replace(LOAD, gateway_count=200),
        servers=40,
        requests_per_second=12.0,
        spread=40,
        other_gateway_units=3.0,
    ),
    Stream("load-without-counter", 15, replace(LOAD, has_counter=False), requests_per_second=90.0),
    Stream(
        "load-three-modules",
        16,
        LOAD,
        modules=3,
        events=12_000,
        requests_per_second=40.0,
        other_gateway_units=0.0,
    ),
    Stream("load-no-cancel", 17, replace(LOAD, can_cancel=False), server_trouble=0.4, work_ms=120.0),
    Stream("load-sound", 18, LOAD, server_trouble=0.0, counter_trouble=NO_TROUBLE),
    Stream("load-counter-lost", 19, LOAD, counter_trouble=NO_REPLIES, requests_per_second=90.0),
    Stream("load-failing", 34, LOAD, server_trouble=0.9),
    Stream(
        "load-failing-uncancelled", 35, replace(LOAD, can_cancel=False, gateway_count=12), server_trouble=0.8
    ),
    Stream("load-many-customers", 37, LOAD, customers=400, other_gateway_units=0.2),
    Stream(
        "load-silent",
        38,
        LOAD,
        customers=600,
        other_gateway_units=0.1,
        server_troubles=(ServerTrouble.SILENT,),
        work_ms=30.0,
        cores=8,
        counter_trouble=NO_TROUBLE,
    ),
    Stream("build", 21, BUILD, zones=("a", "b", "c"), work_ms=180.0),
    Stream("build-retuned", 22, BUILD, BUILD_CHANGED, zones=("a", "b", "c"), work_ms=180.0),
    Stream("build-streamed", 23, BUILD, work_ms=150.0, streamed_classes=frozenset({"store", "status"})),
    Stream(
        "build-alone",
        24,
        SINGLE_GATEWAY,
        work_ms=180.0,
        requests_per_second=90.0,
        spread=1,
        other_gateway_units=0.0,
    ),
    Stream(
        "build-overload",
        25,
        BUILD,
        work_ms=500.0,
        requests_per_second=120.0,
        server_trouble=0.5,
        events=10_000,
    ),
    Stream("build-forty", 26, replace(BUILD, gateway_count=40), BUILD_CHANGED, servers=16, spread=9, cores=6),
    Stream(
        "build-failing",
        36,
        replace(BUILD, gateway_count=40),
        server_trouble=0.8,
        streamed_classes=frozenset({"start"}),
    ),
    Stream(
        "build-silent",
        39,
        replace(SINGLE_GATEWAY, plans=(api.Plan("free"),)),
        work_ms=60.0,
        cores=8,
        server_trouble=0.25,
        server_troubles=(ServerTrouble.SILENT, ServerTrouble.RESETTING),
        spread=1,
    ),
    Stream(
        "build-few-servers", 27, replace(BUILD, slow_start_fraction=0.0), servers=2, requests_per_second=30.0
    ),
    Stream("ceilings", 28, CAPPED, customers=8, spread=2, requests_per_second=90.0, other_gateway_units=2.0),
    Stream("ceilings-slow-servers", 29, CAPPED, customers=6, work_ms=200.0, requests_per_second=90.0),
    Stream(
        "ceilings-even",
        30,
        replace(EXACT_HEADROOM, has_counter=False),
        customers=200,
        requests_per_second=80.0,
    ),
    Stream("handover", 31, LOAD, handover_after_events=1500),
    Stream("handover-build", 32, BUILD, handover_after_events=1200, modules=2, work_ms=150.0),
    Stream(
        "handover-busy-counter",
        33,
        CAPPED,
        handover_after_events=2000,
        customers=12,
        requests_per_second=90.0,
        counter_trouble=(CounterTrouble.BUSY, CounterTrouble.SLOW),
    ),
    Stream("reserved", 41, LOAD, reserved_share=0.3, make=priority_admission.PriorityDecisionEngine),
    Stream(
        "reserved-ceilings",
        42,
        CAPPED,
        reserved_share=0.5,
        customers=6,
        requests_per_second=100.0,
        spread=2,
        make=priority_admission.PriorityDecisionEngine,
    ),
    Stream(
        "reserved-overload",
        43,
        BUILD,
        reserved_share=0.4,
        work_ms=500.0,
        requests_per_second=100.0,
        make=priority_admission.PriorityDecisionEngine,
    ),
    Stream(
        "reserved-handover",
        44,
        CAPPED,
        reserved_share=0.4,
        customers=10,
        handover_after_events=1500,
        make=priority_admission.PriorityDecisionEngine,
    ),
    Stream(
        "watched",
        51,
        LOAD,
        modules=3,
        events=12_000,
        other_gateway_units=0.0,
        requests_per_second=40.0,
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
        other_gateway_units=0.0,
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
        other_gateway_units=0.0,
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
        requests_per_second=20.0,
        other_gateway_units=0.0,
        spread=8,
        make=MonitoredEngine,
    ),
)

# Digests -----------------------------------------------------------------------------------------------


def stream_digest(stream: Stream) -> Digest:
    """All actions of a stream, with their times."""
    return Driver(stream).run()


def scenario_digest(name: str) -> Digest:
    """A scenario with a quarter of its customers: requests, attempts, responses and counter calls in order, and the
    result."""
    scenario = load(name)[0]
    scenario = replace(
        scenario,
        length_ms=min(scenario.length_ms, MAX_SCENARIO_MS),
        customer_groups=tuple(
            replace(customer_group, count=max(customer_group.count // 4, 1))
            for customer_group in scenario.customer_groups
        ),
    )
    digest = Digest()
    world = World(scenario, 1)
    world.quota_checker = RecordingQuotaChecker(scenario, digest)
    world.counter = RecordingCounter(scenario, random.Random(f"{name}/counter"), digest)
    result = world.run()
    text_numbers: dict[str, int] = {}
    digest.add(without_names(result.figures(), text_numbers))
    digest.add(without_names(result.totals_by_step, text_numbers))
    for change in result.state_reports:
        digest.add(
            (
                change.at_ms,
                change.gateway,
                without_names((change.state, change.symptom), text_numbers),
                change.hidden,
            )
        )
    return digest


def cluster_digest(name: str) -> Digest:
    """The first seconds of a scenario whose gateways form a cluster: the figures of the fleet."""
    scenario = load(name)[0]
    digest = Digest()
    figures = play_scenario(replace(scenario, length_ms=min(scenario.length_ms, MAX_CLUSTER_SCENARIO_MS)), 1)
    digest.add(without_names(figures.to_dict(), {}))
    return digest


def without_names(value: object, text_numbers: dict[str, int]) -> object:
    """The value without keys, with each text replaced by a number in the order of first occurrence."""
    if isinstance(value, str):
        return text_numbers.setdefault(value, len(text_numbers))
    if isinstance(value, Mapping):
        return [without_names(item, text_numbers) for item in value.values()]
    if isinstance(value, list | tuple):
        return [without_names(item, text_numbers) for item in value]
    return value


class RecordingQuotaChecker(QuotaChecker):
    """A quota checker that also adds each of its events to a digest."""

    def __init__(self, scenario: Scenario, digest: Digest) -> None:
        super().__init__(scenario.plans, scenario.fault_period)
        self.digest, self.kind_numbers = digest, dict[str, int]()

    def request_sent(
        self, now: float, request_id: str, customer: int, plan: str, units: float, gateway: int
    ) -> None:
        """Add a client request."""
        self.digest.add((0, now, request_id, customer, units, gateway))
        super().request_sent(now, request_id, customer, plan, units, gateway)

    def attempt_arrived(
        self, now: float, request_id: str, customer: int, plan: str, units: float, gateway: int
    ) -> None:
        """Add an attempt that has reached its server."""
        self.digest.add((1, now, request_id, customer, units, gateway))
        super().attempt_arrived(now, request_id, customer, plan, units, gateway)

    def response_received(self, now: float, request_id: str, kind: str) -> None:
        """Add a final response."""
        self.digest.add((2, now, request_id, self.kind_numbers.setdefault(kind, len(self.kind_numbers))))
        super().response_received(now, request_id, kind)


class RecordingCounter(CounterModel):
    """A counter that also adds its calls to a digest."""

    def __init__(self, scenario: Scenario, rng: random.Random, digest: Digest) -> None:
        super().__init__(scenario, rng)
        self.digest = digest

    def call(self, now: float, gateway: int, name: int, units: float, expire_ms: float) -> CounterResponse:
        """Add a call and its reply."""
        answer = super().call(now, gateway, name, units, expire_ms)
        self.digest.add((3, now, gateway, name, units, expire_ms, answer.at_ms, answer.total))
        return answer


def fleet_digest(gateways: int, servers: int, request_rate: float, work_ms: float, dead: int) -> Digest:
    """Several decision engines on one clock: the last `dead` servers become silent, and a cold one joins."""
    listed = [
        api.Server(number, "ab"[number % 2], "std", 0, api.EndpointState.UP, 1.0, 0.0)
        for number in range(servers)
    ]
    fleet = GatewayFleet(gateways, listed, seed=7, work=lambda rng: rng.expovariate(1 / work_ms))
    digest = Digest()
    fleet.run(4.0, request_rate)
    fleet.silent_servers.update(range(servers - dead, servers))
    fleet.run(4.0, request_rate)
    joined = api.Server(servers, "a", "std", 0, api.EndpointState.UP, 1.0, fleet.now)
    fleet.update_endpoints([*listed[: servers - dead], joined])
    fleet.run(4.0, lambda gateway: request_rate * (1 + gateway % 3))
    digest.add(fleet.sends)
    digest.add((fleet.served, fleet.rejected, fleet.cancelled))
    return digest


def plan_schedule_digest() -> Digest:
    """A plan schedule under random announcements, cancellations and exemptions."""
    rng, digest, now = random.Random(61), Digest(), 1_000_000.0
    names = ("one", "two", "three")
    schedule = PlanSchedule(
        {name: PlanLimits(5.0 * place, 20.0 * place) for place, name in enumerate(names, 1)}
    )
    numbers = dict.fromkeys(names, 0)
    for _ in range(3000):
        now += rng.expovariate(1 / 400.0)
        plan, customer = rng.choice((*names, *names, "none")), rng.randrange(12)
        limits = random_limits(rng)
        choice = rng.randrange(6)
        if choice <= 1:
            number = numbers.get(plan, 0) + rng.choice((1, 1, 1, 1, 0, 2))
            result = schedule.announce(
                now, plan, number, now + rng.choice((500.0, 2000.0, 4000.0, 9000.0, math.inf)), limits
            )
            if not isinstance(result, ScheduleError):
                numbers[plan] = result.number
            digest.add((choice, isinstance(result, ScheduleError) or result))
        elif choice == 2:
            number = numbers.get(plan, 0) - rng.randrange(2)
            cancelled = schedule.cancel(now, plan, number)
            if not isinstance(cancelled, ScheduleError):
                numbers[plan] = cancelled.number - 1
            digest.add((choice, isinstance(cancelled, ScheduleError) or cancelled))
        elif choice == 3:
            exemption = schedule.exempt(
                now, customer, now + rng.choice((-5.0, 3000.0, 20_000.0, 1e12)), limits
            )
            digest.add((choice, isinstance(exemption, ScheduleError) or exemption))
        else:
            limits_in_force, version = schedule.limits_for(now, plan, customer), schedule.version(now, plan)
            digest.add(
                (
                    choice,
                    isinstance(limits_in_force, ScheduleError) or limits_in_force,
                    isinstance(version, ScheduleError) or version,
                    schedule.next_change_at(now),
                    schedule.pending_versions(now),
                )
            )
    return digest


def random_limits(rng: random.Random) -> PlanLimits:
    """Random limits of a plan, some of which are invalid."""
    rate = rng.choice((0.0, 1.5, 6.0, 25.0, 25.0))
    burst = rng.choice((0.0, 8.0, 30.0, 30.0))
    return rng.choice(
        (
            PlanLimits(rate, burst),
            PlanLimits(rate, burst, 2 * rate, 2 * burst),
            PlanLimits(rate, burst, 5.0, 9.0),
        )
    )


def carry_over_digest() -> Digest:
    """Token buckets that are carried over a series of plan changes."""
    rng, digest = random.Random(62), Digest()
    for _ in range(300):
        bucket = ceiling = BucketLevel(rng.uniform(-5.0, 30.0), rng.choice((0.0, 4.0)))
        old = PlanLimits(6.0, 30.0, 12.0, 60.0)
        for _ in range(6):
            new = random_limits(rng)
            bucket, ceiling = carry_over_quota(bucket, old, new), carry_over_ceiling(ceiling, old, new)
            tat = arrival_time(5000.0, bucket.units, new)
            digest.add(
                (bucket, ceiling, carry_over(bucket, old.burst, new.burst), tat, units_at(5000.0, tat, new))
            )
            old = new
    return digest


def error_bound_digest() -> Digest:
    """The error bounds for several fleet sizes and settings."""
    digest = Digest()
    for gateways in (1, 3, 6, 7, 40, 200):
        for settings in (LOAD, BUILD, CAPPED):
            digest.add(
                (
                    detection_time_ms(gateways),
                    [
                        max_excess_units(plan, 3, gateways, burst_unused)
                        for plan in settings.plans
                        for burst_unused in (False, True)
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
    "plan-book": plan_schedule_digest,
    "plan-carry": carry_over_digest,
    "stated-bounds": error_bound_digest,
}


@pytest.mark.parametrize("name", list(CASES))
def test_decisions_are_as_recorded(name: str) -> None:
    golden = json.loads(GOLDEN.read_text())
    digest = CASES[name]()
    assert [digest.count, digest.hexdigest()] == golden[name]


def test_each_recorded_digest_has_its_case() -> None:
    assert list(json.loads(GOLDEN.read_text())) == list(CASES)


def test_the_streams_cover_every_kind_of_action() -> None:
    action_kinds: set[str] = set()
    for stream in STREAMS:
        if stream.name in ("build", "handover", "watched"):
            driver = Driver(stream)
            driver.run()
            action_kinds |= driver.action_counts.keys()
    assert action_kinds >= {
        "send",
        "cancel",
        "refuse",
        "fail",
        "count",
        "wake",
        "subscribe",
        "belief",
        "handover",
    }
