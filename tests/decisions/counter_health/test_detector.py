"""The watch over the counter, by its readings alone: the roll, the table of beliefs, parts, retelling."""

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

T0 = 48_000_000.0  # an era begins here


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
def test_digits_of_a_total(total: float, expected: tuple[int, ...]) -> None:
    assert presence_register.decode_digits(total) == expected


def test_an_era_has_no_more_beats_than_a_digit_holds() -> None:
    watch = CounterHealthDetector(2, 3, 50.0)
    for skew in (0.0, 17.0, 599.0):
        now, beats = T0 + skew, 0
        while now < T0 + presence_register.REGISTER_PERIOD_MS:
            beats, now = beats + 1, watch.next_heartbeat_at(now)
        assert beats <= presence_register.MAX_DIGIT


def test_a_clock_that_is_set_back_makes_no_beats_one_behind_another() -> None:
    """It stands still until the time comes round again; each beat found itself early and made another, until
    the digit was at its top and stood still in turn."""
    watch = CounterHealthDetector(0, 3, 50.0)
    now = watch.next_heartbeat_at(T0 + 5000.0)
    for call in watch.heartbeat(now):
        watch.register_replied(now, call, True, 1.0, call.units)
    early = watch.next_heartbeat_at(now) - 5.0
    assert (
        watch.heartbeat(early)
        and watch.next_heartbeat_at(early) > early + 0.25 * presence_register.HEARTBEAT_INTERVAL_MS
    )
    assert not watch.heartbeat(early) and not watch.heartbeat(early + 20.0)


def test_names_differ_by_kind_group_and_era_and_hold_in_the_counter() -> None:
    names = {
        presence_register.register_name(kind, group, era)
        for kind in presence_register.RegisterKind
        for group in range(34)
        for era in range(50)
    }
    assert len(names) == 2 * 34 * 50 and all(0 <= name < 2**63 for name in names)


def test_every_belief_knows_every_sign() -> None:
    assert set(TRANSITIONS) == set(CounterState)
    for row in TRANSITIONS.values():
        assert set(row) == set(Symptom)


class Fleet:
    """Watches that share one counter, or halves of it; time goes from beat to beat."""

    def __init__(self, gateways: int, started: int | None = None) -> None:
        self.watches = {me: CounterHealthDetector(me, gateways, 50.0) for me in range(started or gateways)}
        self.sides: dict[int, dict[int, float]] = {}
        self.whole: dict[int, float] = {}
        self.now = T0
        self.deaf: set[int] = set()
        self.calls = 0
        self.seen: list[tuple[float, int, CounterState]] = []

    def run(self, ms: float) -> None:
        """Let beats come due for so long."""
        end = self.now + ms
        due = {me: watch.next_heartbeat_at(self.now) for me, watch in self.watches.items()}
        while due and min(due.values()) <= end:
            me = min(due, key=lambda one: due[one])
            self.now, watch = due[me], self.watches[me]
            for call in watch.heartbeat(self.now):
                self.calls += 1
                if me in self.deaf:
                    watch.register_replied(self.now + 1, call, False, 1.0, 0.0, connect_failed=True)
                    continue
                totals = self.sides.get(me, self.whole)
                totals[call.name] = totals.get(call.name, 0.0) + call.units
                watch.register_replied(self.now + 2, call, True, 2.0, totals[call.name])
            for change in watch.take_changes():
                self.seen.append((change.at_ms, me, change.new))
            due[me] = watch.next_heartbeat_at(self.now)
        self.now = end

    def split(self, *groups: tuple[int, ...]) -> None:
        for group in groups:
            side = dict(self.whole)
            self.sides.update(dict.fromkeys(group, side))

    def beliefs(self) -> list[CounterState]:
        return [watch.state for watch in self.watches.values()]


@pytest.mark.parametrize("gateways", [1, 2, 3, 6, 10, 50])
def test_a_quiet_fleet_is_sound_and_calls_no_more_than_stated(gateways: int) -> None:
    fleet = Fleet(gateways)
    fleet.run(60_000.0)
    assert {belief for _, _, belief in fleet.seen} == set(fleet.beliefs()) == {CounterState.HEALTHY}
    assert all(not watch.visibility.hidden for watch in fleet.watches.values())
    assert fleet.calls <= gateways * 2.0 * 60


def test_fewer_than_the_settings_say_is_no_trouble() -> None:
    fleet = Fleet(3, started=2)
    fleet.run(30_000.0)
    assert set(fleet.beliefs()) == {CounterState.HEALTHY}
    assert fleet.watches[0].visibility.visible_share(0, 3) == 1.0


@pytest.mark.parametrize(
    ("groups", "parts"),
    [
        (((0,), (1, 2)), [1 / 3, 2 / 3, 2 / 3]),
        (((0,), (1,), (2,)), [1 / 3] * 3),
        (((0, 2), (1,)), [2 / 3, 1 / 3, 2 / 3]),
    ],
)
def test_a_split_is_seen_on_all_sides_and_its_parts_sum_to_one(
    groups: tuple[tuple[int, ...], ...], parts: list[float]
) -> None:
    fleet = Fleet(3)
    fleet.run(10_000.0)
    fleet.split(*groups)
    fleet.run(detection_time_ms(3))
    assert [watch.visibility.visible_share(0, 3) for watch in fleet.watches.values()] == pytest.approx(parts)
    assert sum(parts[group[0]] for group in groups) <= 1.0 + 1e-9
    fleet.sides = {}
    fleet.run(MIN_STATE_DURATION_MS + 3 * presence_register.HEARTBEAT_INTERVAL_MS)
    assert [watch.visibility.visible_share(0, 3) for watch in fleet.watches.values()] == [1.0] * 3
    fleet.run(2 * MIN_STATE_DURATION_MS)
    assert set(fleet.beliefs()) == {CounterState.HEALTHY}


def test_a_lone_half_says_split_and_the_others_that_one_is_missing() -> None:
    fleet = Fleet(3)
    fleet.run(10_000.0)
    fleet.split((0,), (1, 2))
    fleet.run(2000.0)
    assert fleet.beliefs() == [
        CounterState.PARTITIONED,
        CounterState.GATEWAY_HIDDEN,
        CounterState.GATEWAY_HIDDEN,
    ]


def test_a_dead_gateway_whose_clients_come_is_absent_and_its_part_is_used() -> None:
    fleet = Fleet(3)
    del fleet.watches[2]
    fleet.watches[2] = CounterHealthDetector(2, 3, 50.0)
    for second in range(50):
        if second == 20:
            del fleet.watches[2]
        for watch in fleet.watches.values():
            for _ in range(100 if second < 22 else 150):
                watch.request_arrived()
        fleet.run(1000.0)
    assert fleet.beliefs() == [CounterState.GATEWAY_DEAD] * 2
    sight = fleet.watches[0].visibility
    assert sight.visible_share(0, 3) == 1.0  # no ceiling: all of it
    assert sight.visible_share(0, 3, 1.2) == pytest.approx(
        0.8
    )  # and with one only what holds if the guess is wrong


def test_a_dead_counter_is_told_apart_from_a_split() -> None:
    fleet = Fleet(3)
    fleet.run(10_000.0)
    fleet.deaf = {0, 1, 2}
    fleet.run(3000.0)
    assert set(fleet.beliefs()) == {CounterState.DEAD}
    assert all(
        watch.visibility.visible_share(0, 3) == pytest.approx(1 / 3) for watch in fleet.watches.values()
    )


def test_calls_that_are_only_late_are_a_slow_counter() -> None:
    watch = CounterHealthDetector(0, 1, 50.0)
    now = T0
    for _ in range(40):
        now = watch.next_heartbeat_at(now)
        for call in watch.heartbeat(now):
            watch.register_replied(now + 30, call, True, 30.0, call.units)
    assert watch.state is CounterState.SLOW


@pytest.mark.parametrize("lost_ms", [1000.0, 10_000.0])
def test_a_swap_is_seen_by_all_and_all_agree_on_the_new_epoch(lost_ms: float) -> None:
    fleet = Fleet(3)
    fleet.run(9300.0)
    kept = dict(fleet.whole)
    fleet.run(1000.0)
    fleet.whole.clear()
    fleet.whole.update(kept if lost_ms == 1000.0 else {})
    fleet.run(6 * presence_register.HEARTBEAT_INTERVAL_MS)
    epochs = {watch.visibility.epoch for watch in fleet.watches.values()}
    assert len(epochs) == 1 and epochs != {0}
    assert CounterState.DATA_LOST in {belief for _, _, belief in fleet.seen}
    assert not any(watch.visibility.hidden for watch in fleet.watches.values())


def test_a_loss_that_could_not_be_told_is_told_again_and_an_epoch_ends_for_all_at_once() -> None:
    watch, whole = CounterHealthDetector(0, 3, 50.0), dict[int, float]()
    told: list[int] = []
    now = T0
    for beat in range(30):
        now = watch.next_heartbeat_at(now)
        for call in watch.heartbeat(now):
            lost = bool(call.published_generation) and len(told) < 2
            told += [call.published_generation] if call.published_generation else []
            if beat == 3:
                whole.clear()
            whole[call.name] = whole.get(call.name, 0.0) + (0.0 if lost else call.units)
            watch.register_replied(now, call, not lost, 1.0, whole[call.name])
    assert told == [1, 1, 1] and watch.visibility.epoch
    watch.heartbeat(T0 + 60_000.0)
    assert watch.visibility.epoch == 0


def test_a_half_whose_units_were_thrown_away_tells_the_others() -> None:
    fleet = Fleet(3)
    fleet.run(9700.0)
    fleet.split((0,), (1, 2))
    fleet.run(2000.0)
    fleet.whole, fleet.sides = fleet.sides[1], {}
    fleet.run(8 * presence_register.HEARTBEAT_INTERVAL_MS)
    epochs = {watch.visibility.epoch for watch in fleet.watches.values()}
    assert len(epochs) == 1 and epochs != {0}


def test_no_belief_changes_twice_within_the_hold() -> None:
    fleet = Fleet(3)
    fleet.run(5000.0)
    for turn in range(12):
        fleet.deaf = {0, 1, 2} if turn % 2 else set()
        fleet.run(900.0)
    for me in range(3):
        times = [at for at, who, _ in fleet.seen if who == me]
        assert all(later - earlier >= 2000.0 for earlier, later in pairwise(times[1:]))


# What is granted --------------------------------------------------------------------------------------------


def test_a_part_is_a_meter_behind_the_quotas() -> None:
    quota = GcraBucket(10.0, 30.0, 0.0)
    quota.partial_share = GcraBucket(10.0 / 3, 10.0, 0.0)
    assert quota.capacity(0.0) == pytest.approx(10.0)
    quota.consume(10.0, 0.0)
    assert quota.wait(0.0, 1.0) == pytest.approx(300.0)
    assert quota.tat == pytest.approx(1000.0) and quota.partial_share.tat == pytest.approx(3000.0)


def guarded(me: int = 0, gateways: int = 2) -> MonitoredEngine:
    made = MonitoredEngine(
        replace(SETTINGS, gateway_index=me, gateway_count=gateways, plans=(PLAIN, CAPPED)), 1
    )
    made.handle(
        T0, api.EndpointList(api.ListScope.CACHED, (api.Server(1, "a", "std", 0, api.EndpointState.UP),))
    )
    return made


def test_a_watch_needs_a_counter() -> None:
    with pytest.raises(ValueError, match="has_counter"):
        MonitoredEngine(replace(SETTINGS, has_counter=False), 1)


def test_a_new_gateway_grants_no_burst_while_nobody_is_in_sight() -> None:
    made = guarded()
    led = made.quota.quota_for(T0 + 1, request("r", plan="plain"))
    assert led.bucket.wait(T0 + 1, 1.0) > 0
    plain = DecisionEngine(SETTINGS, 1)
    plain.handle(T0, api.EndpointList(api.ListScope.CACHED, ()))
    assert plain._quota.quota_for(T0 + 1, request("r", plan="plain")).bucket.wait(T0 + 1, 1.0) <= 0


def test_after_a_swap_the_own_units_of_the_period_are_told_once_under_the_new_name() -> None:
    made = DecisionEngine(SETTINGS, 1)
    made.handle(T0, api.EndpointList(api.ListScope.CACHED, tuple(map(server, range(1, 9)))))
    sight = made._quota.visibility = Visibility(0, 2)
    totals: dict[int, float] = {}
    for number in range(2):
        made._quota._call_probability = 8.0  # a call for each
        admit(made, T0 + 10 * number, request(f"r{number}", plan="capped"), totals)
    led = made._quota.quota_for(T0 + 31, request("x", plan="capped"))
    name = counter_name(7, led.period)
    assert totals[name] == led.reported_units == 2.0
    totals[name] += 0.5  # another gateway's
    admit(made, T0 + 30, request("r3", plan="capped"), totals)
    room = led.bucket.capacity(T0 + 40)
    sight.start_epoch(71)
    admit(made, T0 + 40, request("r4", plan="capped"), totals)
    fresh = counter_name(7, led.period, 71)
    assert totals[fresh] == pytest.approx(4.0) and led.bucket.capacity(T0 + 40) == pytest.approx(room - 1.0)
    totals[fresh] += 0.5  # the other tells its own again, which was counted before
    room, made._quota._mean_call_value = led.bucket.capacity(T0 + 42), 0.0
    made._quota._call_probability = 8.0
    admit(made, T0 + 42, request("r5", plan="capped", units=0.25), totals)
    assert totals[fresh] == pytest.approx(4.75) and led.bucket.capacity(T0 + 42) == pytest.approx(room - 0.25)


def test_the_stated_error_follows_its_formula() -> None:
    plan = api.Plan("d", rate=20.0, burst=40.0, ceiling_rate=36.0, ceiling_burst=72.0)
    late = detection_time_ms(3) / 1000.0
    assert max_excess_units(plan, 3, 3) == pytest.approx(2 * 20.0 * late)
    assert max_excess_share([(plan, 3)], 3, 15.0) == pytest.approx(2 * late / (2 * late + 15.0))
    assert detection_time_ms(50) == pytest.approx(2 * detection_time_ms(3))


def test_a_ceilings_guard_sends_nobody_back_before_the_arrival_time_lets_it_through() -> None:
    """Its own wait was told, and the core refused again at the time that had been promised."""
    guard = CeilingGuard(lambda now, first, spread: now)
    plan = api.Plan("distributor", rate=1.0, burst=4.0, ceiling_rate=100.0, ceiling_burst=4.0)
    led = CustomerQuota(plan, request("r", plan="distributor"), SETTINGS, 0.0, 0.0)
    led.bucket.tat = led.bucket.tolerance + 3000.0  # the store is empty, and three units below nothing
    assert guard.wait(0.0, led, 1.0) >= led.bucket.wait(0.0, 1.0) > 3000.0
