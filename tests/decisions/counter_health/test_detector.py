"""Tests of the counter health detector: registers, states, shares of the quota, and recovery from lost data."""

from __future__ import annotations

from dataclasses import replace
from itertools import pairwise

import pytest

from badgeryoke.decisions import interface as api
from badgeryoke.decisions.counter_health import presence_register
from badgeryoke.decisions.counter_health.ceiling_guard import CeilingGuard
from badgeryoke.decisions.counter_health.counter_state import TRANSITIONS, CounterState, Symptom
from badgeryoke.decisions.counter_health.detector import MIN_STATE_DURATION_MS, CounterHealthDetector
from badgeryoke.decisions.counter_health.error_bound import (
    detection_time_ms,
    max_excess_share,
    max_excess_units,
)
from badgeryoke.decisions.counter_health.monitored_policy import MonitoredEngine
from badgeryoke.decisions.counter_health.visibility import Visibility
from badgeryoke.decisions.counter_name import counter_name
from badgeryoke.decisions.policy.engine import DecisionEngine
from badgeryoke.decisions.policy.quota import CustomerQuota, GcraBucket
from tests.support.samples import CAPPED, PLAIN, SETTINGS, admit, request, server

T0 = 48_000_000.0  # the start of a register period


@pytest.mark.parametrize(
    ("total", "expected"),
    [
        (0.0, (0, 0, 0, 0, 0, 0, 0)),
        (213.0, (3, 1, 2, 0, 0, 0, 0)),
        (2_000_031.0, (1, 3, 0, 0, 0, 0, 2)),
        (-7.0, (0,) * 7),
        (1e7, (0,) * 7),
    ],
)
def test_a_total_is_decoded_into_digits(total: float, expected: tuple[int, ...]) -> None:
    assert presence_register.decode_digits(total) == expected


def test_a_register_period_has_no_more_heartbeats_than_a_digit_holds() -> None:
    detector = CounterHealthDetector(2, 3, 50.0)
    for skew in (0.0, 17.0, 599.0):
        now, heartbeat_count = T0 + skew, 0
        while now < T0 + presence_register.REGISTER_PERIOD_MS:
            heartbeat_count, now = heartbeat_count + 1, detector.next_heartbeat_at(now)
        assert heartbeat_count <= presence_register.MAX_DIGIT


def test_a_clock_set_back_sends_no_heartbeats_in_quick_succession() -> None:
    """Guards against a burst of heartbeats: after the clock was set back, each counted as early and caused another,
    until the digit had reached its maximum and no longer grew."""
    detector = CounterHealthDetector(0, 3, 50.0)
    now = detector.next_heartbeat_at(T0 + 5000.0)
    for call in detector.heartbeat(now):
        detector.register_replied(now, call, True, 1.0, call.units)
    early = detector.next_heartbeat_at(now) - 5.0
    assert (
        detector.heartbeat(early)
        and detector.next_heartbeat_at(early) > early + 0.25 * presence_register.HEARTBEAT_INTERVAL_MS
    )
    assert not detector.heartbeat(early) and not detector.heartbeat(early + 20.0)


def test_register_names_differ_by_kind_group_and_period_and_are_valid() -> None:
    names = {
        presence_register.register_name(kind, group, period)
        for kind in presence_register.RegisterKind
        for group in range(34)
        for period in range(50)
    }
    assert len(names) == 2 * 34 * 50 and all(0 <= name < 2**63 for name in names)


def test_every_state_has_a_transition_for_every_symptom() -> None:
    assert set(TRANSITIONS) == set(CounterState)
    for row in TRANSITIONS.values():
        assert set(row) == set(Symptom)


class DetectorFleet:
    """Detectors that share one counter or sides of a partitioned one; time advances from heartbeat to heartbeat."""

    def __init__(self, gateways: int, started: int | None = None) -> None:
        self.detectors = {
            gateway: CounterHealthDetector(gateway, gateways, 50.0) for gateway in range(started or gateways)
        }
        self.partitions: dict[int, dict[int, float]] = {}
        self.totals: dict[int, float] = {}
        self.now = T0
        self.isolated: set[int] = set()
        self.call_count = 0
        self.state_changes: list[tuple[float, int, CounterState]] = []

    def run(self, ms: float) -> None:
        """Send all heartbeats that are due within this time."""
        end = self.now + ms
        due = {gateway: detector.next_heartbeat_at(self.now) for gateway, detector in self.detectors.items()}
        while due and min(due.values()) <= end:
            gateway = min(due, key=lambda candidate: due[candidate])
            self.now, detector = due[gateway], self.detectors[gateway]
            for call in detector.heartbeat(self.now):
                self.call_count += 1
                if gateway in self.isolated:
                    detector.register_replied(self.now + 1, call, False, 1.0, 0.0, connect_failed=True)
                    continue
                totals = self.partitions.get(gateway, self.totals)
                totals[call.name] = totals.get(call.name, 0.0) + call.units
                detector.register_replied(self.now + 2, call, True, 2.0, totals[call.name])
            for change in detector.take_changes():
                self.state_changes.append((change.at_ms, gateway, change.new))
            due[gateway] = detector.next_heartbeat_at(self.now)
        self.now = end

    def partition(self, *groups: tuple[int, ...]) -> None:
        for group in groups:
            side_totals = dict(self.totals)
            self.partitions.update(dict.fromkeys(group, side_totals))

    def states(self) -> list[CounterState]:
        return [detector.state for detector in self.detectors.values()]


@pytest.mark.parametrize("gateways", [1, 2, 3, 6, 10, 50])
def test_a_fleet_without_faults_is_healthy_and_makes_at_most_two_calls_a_second(gateways: int) -> None:
    fleet = DetectorFleet(gateways)
    fleet.run(60_000.0)
    assert {state for _, _, state in fleet.state_changes} == set(fleet.states()) == {CounterState.HEALTHY}
    assert all(not detector.visibility.hidden for detector in fleet.detectors.values())
    assert fleet.call_count <= gateways * 2.0 * 60


def test_gateways_that_never_started_are_no_fault() -> None:
    fleet = DetectorFleet(3, started=2)
    fleet.run(30_000.0)
    assert set(fleet.states()) == {CounterState.HEALTHY}
    assert fleet.detectors[0].visibility.visible_share(0, 3) == 1.0


@pytest.mark.parametrize(
    ("groups", "shares"),
    [
        (((0,), (1, 2)), [1 / 3, 2 / 3, 2 / 3]),
        (((0,), (1,), (2,)), [1 / 3] * 3),
        (((0, 2), (1,)), [2 / 3, 1 / 3, 2 / 3]),
    ],
)
def test_a_partition_is_detected_on_all_sides_and_shares_sum_to_one(
    groups: tuple[tuple[int, ...], ...], shares: list[float]
) -> None:
    fleet = DetectorFleet(3)
    fleet.run(10_000.0)
    fleet.partition(*groups)
    fleet.run(detection_time_ms(3))
    assert [
        detector.visibility.visible_share(0, 3) for detector in fleet.detectors.values()
    ] == pytest.approx(shares)
    assert sum(shares[group[0]] for group in groups) <= 1.0 + 1e-9
    fleet.partitions = {}
    fleet.run(MIN_STATE_DURATION_MS + 3 * presence_register.HEARTBEAT_INTERVAL_MS)
    assert [detector.visibility.visible_share(0, 3) for detector in fleet.detectors.values()] == [1.0] * 3
    fleet.run(2 * MIN_STATE_DURATION_MS)
    assert set(fleet.states()) == {CounterState.HEALTHY}


def test_an_isolated_gateway_reports_a_partition_and_the_others_a_hidden_gateway() -> None:
    fleet = DetectorFleet(3)
    fleet.run(10_000.0)
    fleet.partition((0,), (1, 2))
    fleet.run(2000.0)
    assert fleet.states() == [
        CounterState.PARTITIONED,
        CounterState.GATEWAY_HIDDEN,
        CounterState.GATEWAY_HIDDEN,
    ]


def test_a_gateway_whose_clients_move_is_presumed_dead_and_its_share_is_used() -> None:
    fleet = DetectorFleet(3)
    del fleet.detectors[2]
    fleet.detectors[2] = CounterHealthDetector(2, 3, 50.0)
    for second in range(50):
        if second == 20:
            del fleet.detectors[2]
        for detector in fleet.detectors.values():
            for _ in range(100 if second < 22 else 150):
                detector.request_arrived()
        fleet.run(1000.0)
    assert fleet.states() == [CounterState.GATEWAY_DEAD] * 2
    visibility = fleet.detectors[0].visibility
    assert visibility.visible_share(0, 3) == 1.0  # without a ceiling: the whole quota
    # Under a ceiling, only what holds it even if the gateway is alive.
    assert visibility.visible_share(0, 3, 1.2) == pytest.approx(0.8)


def test_a_dead_counter_is_distinguished_from_a_partition() -> None:
    fleet = DetectorFleet(3)
    fleet.run(10_000.0)
    fleet.isolated = {0, 1, 2}
    fleet.run(3000.0)
    assert set(fleet.states()) == {CounterState.DEAD}
    assert all(
        detector.visibility.visible_share(0, 3) == pytest.approx(1 / 3)
        for detector in fleet.detectors.values()
    )


def test_late_replies_are_reported_as_a_slow_counter() -> None:
    detector = CounterHealthDetector(0, 1, 50.0)
    now = T0
    for _ in range(40):
        now = detector.next_heartbeat_at(now)
        for call in detector.heartbeat(now):
            detector.register_replied(now + 30, call, True, 30.0, call.units)
    assert detector.state is CounterState.SLOW


@pytest.mark.parametrize("lost_ms", [1000.0, 10_000.0])
def test_lost_data_is_detected_by_all_and_all_agree_on_the_new_epoch(lost_ms: float) -> None:
    fleet = DetectorFleet(3)
    fleet.run(9300.0)
    saved_totals = dict(fleet.totals)
    fleet.run(1000.0)
    fleet.totals.clear()
    fleet.totals.update(saved_totals if lost_ms == 1000.0 else {})
    fleet.run(6 * presence_register.HEARTBEAT_INTERVAL_MS)
    epochs = {detector.visibility.epoch for detector in fleet.detectors.values()}
    assert len(epochs) == 1 and epochs != {0}
    assert CounterState.DATA_LOST in {state for _, _, state in fleet.state_changes}
    assert not any(detector.visibility.hidden for detector in fleet.detectors.values())


def test_a_failed_publication_of_lost_data_is_retried_and_an_epoch_ends_for_all_at_once() -> None:
    detector, totals = CounterHealthDetector(0, 3, 50.0), dict[int, float]()
    published: list[int] = []
    now = T0
    for heartbeat_number in range(30):
        now = detector.next_heartbeat_at(now)
        for call in detector.heartbeat(now):
            lost = bool(call.published_generations) and len(published) < 2
            published += [call.published_generations] if call.published_generations else []
            if heartbeat_number == 3:
                totals.clear()
            totals[call.name] = totals.get(call.name, 0.0) + (0.0 if lost else call.units)
            detector.register_replied(now, call, not lost, 1.0, totals[call.name])
    assert published == [1, 1, 1] and detector.visibility.epoch
    detector.heartbeat(T0 + 60_000.0)
    assert detector.visibility.epoch == 0


def test_a_partition_whose_units_were_discarded_publishes_a_new_epoch() -> None:
    fleet = DetectorFleet(3)
    fleet.run(9700.0)
    fleet.partition((0,), (1, 2))
    fleet.run(2000.0)
    fleet.totals, fleet.partitions = fleet.partitions[1], {}
    fleet.run(8 * presence_register.HEARTBEAT_INTERVAL_MS)
    epochs = {detector.visibility.epoch for detector in fleet.detectors.values()}
    assert len(epochs) == 1 and epochs != {0}


def test_no_state_changes_twice_within_the_minimum_duration() -> None:
    fleet = DetectorFleet(3)
    fleet.run(5000.0)
    for turn in range(12):
        fleet.isolated = {0, 1, 2} if turn % 2 else set()
        fleet.run(900.0)
    for gateway in range(3):
        times = [at for at, changed_gateway, _ in fleet.state_changes if changed_gateway == gateway]
        assert all(later - earlier >= 2000.0 for earlier, later in pairwise(times[1:]))


# Granted shares --------------------------------------------------------------------------------------------


def test_a_partial_share_is_a_bucket_behind_the_quotas() -> None:
    quota = GcraBucket(10.0, 30.0, 0.0)
    quota.partial_share = GcraBucket(10.0 / 3, 10.0, 0.0)
    assert quota.capacity(0.0) == pytest.approx(10.0)
    quota.consume(10.0, 0.0)
    assert quota.wait(0.0, 1.0) == pytest.approx(300.0)
    assert quota.tat == pytest.approx(1000.0) and quota.partial_share.tat == pytest.approx(3000.0)


def monitored_engine(gateway: int = 0, gateways: int = 2) -> MonitoredEngine:
    engine = MonitoredEngine(
        replace(SETTINGS, gateway_index=gateway, gateway_count=gateways, plans=(PLAIN, CAPPED)), 1
    )
    engine.handle(
        T0, api.EndpointList(api.ListScope.CACHED, (api.Server(1, "a", "std", 0, api.EndpointState.UP),))
    )
    return engine


def test_a_monitored_engine_needs_a_counter() -> None:
    with pytest.raises(ValueError, match="has_counter"):
        MonitoredEngine(replace(SETTINGS, has_counter=False), 1)


def test_a_new_gateway_grants_no_burst_while_no_other_is_visible() -> None:
    engine = monitored_engine()
    quota = engine.quota.quota_for(T0 + 1, request("r", plan="plain"))
    assert quota.bucket.wait(T0 + 1, 1.0) > 0
    plain = DecisionEngine(SETTINGS, 1)
    plain.handle(T0, api.EndpointList(api.ListScope.CACHED, ()))
    assert plain._quota.quota_for(T0 + 1, request("r", plan="plain")).bucket.wait(T0 + 1, 1.0) <= 0


def test_after_a_loss_of_data_the_own_units_of_the_period_are_reported_once_under_the_new_name() -> None:
    engine = DecisionEngine(SETTINGS, 1)
    engine.handle(T0, api.EndpointList(api.ListScope.CACHED, tuple(map(server, range(1, 9)))))
    visibility = engine._quota.visibility = Visibility(0, 2)
    totals: dict[int, float] = {}
    for number in range(2):
        engine._quota._call_probability = 8.0  # high enough for one call per request
        admit(engine, T0 + 10 * number, request(f"r{number}", plan="capped"), totals)
    quota = engine._quota.quota_for(T0 + 31, request("x", plan="capped"))
    name = counter_name(7, quota.period)
    assert totals[name] == quota.reported_units == 2.0
    totals[name] += 0.5  # another gateway's
    admit(engine, T0 + 30, request("r3", plan="capped"), totals)
    capacity_before = quota.bucket.capacity(T0 + 40)
    visibility.start_epoch(71)
    admit(engine, T0 + 40, request("r4", plan="capped"), totals)
    new_name = counter_name(7, quota.period, 71)
    assert totals[new_name] == pytest.approx(4.0) and quota.bucket.capacity(T0 + 40) == pytest.approx(
        capacity_before - 1.0
    )
    totals[new_name] += 0.5  # the other gateway reports the same units again, under the new name
    capacity_before, engine._quota._mean_call_value = quota.bucket.capacity(T0 + 42), 0.0
    engine._quota._call_probability = 8.0
    admit(engine, T0 + 42, request("r5", plan="capped", units=0.25), totals)
    assert totals[new_name] == pytest.approx(4.75) and quota.bucket.capacity(T0 + 42) == pytest.approx(
        capacity_before - 0.25
    )


def test_the_error_bound_follows_its_formula() -> None:
    plan = api.Plan("d", rate=20.0, burst=40.0, ceiling_rate=36.0, ceiling_burst=72.0)
    detection_s = detection_time_ms(3) / 1000.0
    assert max_excess_units(plan, 3, 3) == pytest.approx(2 * 20.0 * detection_s)
    assert max_excess_share([(plan, 3)], 3, 15.0) == pytest.approx(2 * detection_s / (2 * detection_s + 15.0))
    assert detection_time_ms(50) == pytest.approx(2 * detection_time_ms(3))


def test_the_ceiling_guards_retry_after_is_no_earlier_than_the_quota_admits() -> None:
    """Guards against a Retry-After of the guard's wait alone, after which the engine rejected the retry."""
    guard = CeilingGuard(lambda now, first_gateway, gateway_set_size: now)
    plan = api.Plan("distributor", rate=1.0, burst=4.0, ceiling_rate=100.0, ceiling_burst=4.0)
    quota = CustomerQuota(plan, request("r", plan="distributor"), SETTINGS, 0.0, 0.0)
    quota.bucket.tat = quota.bucket.tolerance + 3000.0  # the bucket is empty, with a debt of three units
    assert guard.wait(0.0, quota, 1.0) >= quota.bucket.wait(0.0, 1.0) > 3000.0
