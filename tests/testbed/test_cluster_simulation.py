"""The simulated fleet's own parts: links, clocks, stores, and a referee that finds planted wrong
histories."""

from __future__ import annotations

import math
from dataclasses import replace
from random import Random
from typing import Any

import pytest

from badgeryoke.cluster.events import (
    Entries,
    HardState,
    NodeEvent,
    PersistRecords,
    RecordsPersisted,
    Snapshot,
    StorageFailure,
)
from badgeryoke.cluster.messages import GroupConfiguration, LogEntry
from badgeryoke.testbed.checkers.history_checker import Operation, check_history, is_linearizable
from badgeryoke.testbed.cluster_simulation.clock import Clock
from badgeryoke.testbed.cluster_simulation.disk import Disk
from badgeryoke.testbed.cluster_simulation.fault_plan import KINDS, Plan, generate_plan
from badgeryoke.testbed.cluster_simulation.generated_plans import play, play_seed, shrink
from badgeryoke.testbed.cluster_simulation.network import EventQueue, Network
from badgeryoke.testbed.scenario.model import Fault


def put(
    key: str, number: int, invoked: float, returned: float, before: str | None, fate: str = "answered"
) -> Operation:
    return Operation(key, f"o{number}", f"v{number}", invoked, returned, fate, before)


def look(key: str, invoked: float, returned: float, found: str | None) -> Operation:
    return Operation(key, f"r{invoked}", None, invoked, returned, "answered", found)


GOOD = [put("a", 1, 0, 10, None), put("a", 2, 5, 20, "v1"), look("a", 15, 18, "v1"), look("a", 30, 31, "v2")]


def test_a_good_history_is_linear_and_nothing_is_found() -> None:
    verdict = check_history(GOOD)
    assert (verdict.acknowledged, verdict.lost, verdict.twice, verdict.findings) == (2, 0, 0, [])


@pytest.mark.parametrize(
    ("name", "ops"),
    [
        ("lost", [put("a", 1, 0, 10, None), put("a", 2, 20, 30, None), look("a", 40, 41, "v2")]),
        ("lost", [put("a", 1, 0, 10, None), look("a", 20, 21, None)]),
        (
            "twice",
            [
                put("a", 1, 0, 10, None),
                put("a", 2, 20, 30, "v1"),
                put("a", 3, 40, 50, "v1"),
                look("a", 60, 61, "v3"),
            ],
        ),
        ("not-linear", [*GOOD, look("a", 25, 26, "v1")]),
        (
            "not-linear",
            [
                put("a", 1, 0, 10, None),
                put("a", 2, 10, 30, "v1"),
                look("a", 12, 13, "v2"),
                look("a", 14, 15, "v1"),
                look("a", 40, 41, "v2"),
            ],
        ),
        ("made-up", [put("a", 1, 0, 10, "v9"), look("a", 20, 21, "v1")]),
        ("refused-but-taken", [put("a", 1, 0, 10, None, "refused"), look("a", 20, 21, "v1")]),
    ],
)
def test_a_wrong_history_is_found_by_its_name(name: str, ops: list[Operation]) -> None:
    assert name in [finding.name for finding in check_history(ops).findings]


def test_an_unknown_outcome_may_be_either_or_come_late() -> None:
    late = put("a", 1, 0, math.inf, None, "unknown")
    assert is_linearizable([late, look("a", 50, 51, None), look("a", 60, 61, "v1")])
    assert is_linearizable([late, look("a", 50, 51, None)])
    assert not is_linearizable([late, look("a", 50, 51, "v1"), look("a", 60, 61, None)])


def test_links_keep_order_until_a_reset_and_a_cut_loses_one_way() -> None:
    event_queue, got = EventQueue(), list[tuple[str, str, int]]()
    network = Network(event_queue, Random(1), lambda sender, to, what: got.append((sender, to, what)))

    def tell(first: int, many: int) -> list[int]:
        got.clear()
        for number in range(first, first + many):
            network.send("a", "b", number, ())
            network.send("b", "a", -number, ())
        event_queue.run(event_queue.now + 1000.0)
        return [what for _, to, what in got if to == "b"]

    assert tell(0, 50) == list(range(50))
    network.cut([("a", "b")])
    assert tell(50, 50) == [] and len(got) == 50
    network.mend()
    kept = tell(100, 5)
    assert set(kept) >= set(range(100, 105)) and set(kept) - set(range(100, 105)) <= set(range(50, 100))
    for number in range(200, 260):
        network.send("a", "b", number, ())
    network.reset(("a", "b"))
    through = tell(300, 3)
    assert [what for what in through if what >= 300] == [300, 301, 302]
    assert 0 < sum(what < 300 for what in through) < 60 and through != sorted(through)


def test_a_narrow_link_takes_the_time_that_its_bytes_need() -> None:
    event_queue, got = EventQueue(), list[float]()
    network = Network(event_queue, Random(1), lambda *_: got.append(event_queue.now))
    network.narrow["a", "b"] = 1.0
    for _ in range(3):
        network.send("a", "b", None, ())
    event_queue.run(1000.0)
    assert [round(one / 60.0) for one in got] == [1, 2, 3]


def test_a_clock_runs_at_its_rate_and_a_step_shows_at_the_next_start() -> None:
    clock = Clock(1.01, 500.0)
    assert clock.true_time(clock.now(1234.0)) == pytest.approx(1234.0)
    clock.start(0.0)
    before = clock.wall(clock.now(1000.0))
    clock.step(-30_000.0)
    assert clock.wall(clock.now(1000.0)) == before
    clock.start(1000.0)
    assert clock.wall(clock.now(1000.0)) == pytest.approx(before - 30_000.0 - 10.0)


class Shelf:
    """A disk with what it told."""

    def __init__(self, seed: int = 1) -> None:
        self.event_queue, self.told = EventQueue(), list[NodeEvent]()
        self.disk = Disk(self.event_queue, Random(seed), lambda life, event: self.told.append(event))
        self.disk.start(1)

    def put(self, seq: int, *records: Any) -> None:
        self.disk.persist(PersistRecords("a", seq, records))


def entries(first: int, last: int, term: int) -> Entries:
    return Entries(tuple(LogEntry(index, term, 1, b"") for index in range(first, last + 1)))


def test_a_store_is_told_when_it_is_durable_and_a_crash_loses_the_rest() -> None:
    shelf = Shelf()
    shelf.put(1, HardState(3, "x/1"), entries(1, 4, 3))
    assert shelf.told == [] and not shelf.disk.groups
    shelf.event_queue.run(10.0)
    assert shelf.told == [RecordsPersisted("a", 1)]
    shelf.put(2, entries(3, 3, 4))
    shelf.put(3, entries(4, 9, 4))  # behind the fsync that is under way: lost for sure
    shelf.disk.crash()
    shelf.event_queue.run(100.0)
    saved = shelf.disk.start(2)["a"]
    assert shelf.told == [RecordsPersisted("a", 1)] and (saved.current_term, saved.voted_for) == (3, "x/1")
    assert [entry.index for entry in saved.entries] in ([1, 2, 3, 4], [1, 2, 3])


def test_a_snapshot_takes_the_place_of_entries_and_keeps_only_a_tail_that_goes_on_from_it() -> None:
    shelf = Shelf()
    shelf.put(1, entries(1, 6, 2), Snapshot(4, 2, GroupConfiguration(("a/1",)), b"x"))
    shelf.event_queue.run(10.0)
    assert [entry.index for entry in shelf.disk.groups["a"].entries] == [5, 6]
    shelf.put(2, Snapshot(5, 3, GroupConfiguration(("a/1",)), b"y"))
    shelf.event_queue.run(20.0)
    assert shelf.disk.groups["a"].entries == [] and shelf.disk.groups["a"].last_index == 5


def test_a_full_disk_says_so_and_a_wiped_one_is_another_incarnation() -> None:
    shelf = Shelf()
    shelf.disk.full = True
    shelf.put(1, HardState(1, ""))
    shelf.event_queue.run(10.0)
    assert isinstance(shelf.told[0], StorageFailure) and shelf.told[0].error.code == "store-failed"
    before = shelf.disk.incarnation
    shelf.disk.wipe()
    assert shelf.disk.incarnation != before and not shelf.disk.groups and not shelf.disk.full


def test_drawn_plans_of_every_kind_keep_all_promises() -> None:
    played = [play_seed(seed, members) for members in (3, 5) for seed in range(101, 101 + len(KINDS))]
    assert {one.plan.seed: one.names for one in played if one.names} == {}
    assert min(one.figures.promises_acknowledged or 0 for one in played) > 30


def test_a_seed_gives_the_same_bytes_again() -> None:
    first, again = (play(replace(generate_plan(6), length_ms=6000.0)) for _ in range(2))
    assert first.plain() == again.plain() and (first.figures.promises_acknowledged or 0) > 30


def test_a_failing_plan_is_shrunk_and_can_be_kept(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(GroupConfiguration, "majority", lambda self: max(len(self.voters) // 2, 1))
    small = shrink(replace(generate_plan(5, 3), length_ms=6000.0), max_plays=25)
    assert small.names and len(small.plan.faults) <= 1
    assert eval(small.plan.text(), {"Plan": Plan, "Fault": Fault}) == small.plan
