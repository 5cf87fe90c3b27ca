"""The parts of the cluster simulation: history checker, links, clocks, disks and generated plans."""

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
    key: str, number: int, invoked: float, returned: float, replaced: str | None, outcome: str = "answered"
) -> Operation:
    return Operation(key, f"o{number}", f"v{number}", invoked, returned, outcome, replaced)


def read(key: str, invoked: float, returned: float, result: str | None) -> Operation:
    return Operation(key, f"r{invoked}", None, invoked, returned, "answered", result)


LINEARIZABLE = [
    put("a", 1, 0, 10, None),
    put("a", 2, 5, 20, "v1"),
    read("a", 15, 18, "v1"),
    read("a", 30, 31, "v2"),
]


def test_a_linearizable_history_has_no_findings() -> None:
    verdict = check_history(LINEARIZABLE)
    assert (verdict.acknowledged, verdict.lost, verdict.twice, verdict.findings) == (2, 0, 0, [])


@pytest.mark.parametrize(
    ("name", "ops"),
    [
        ("lost", [put("a", 1, 0, 10, None), put("a", 2, 20, 30, None), read("a", 40, 41, "v2")]),
        ("lost", [put("a", 1, 0, 10, None), read("a", 20, 21, None)]),
        (
            "twice",
            [
                put("a", 1, 0, 10, None),
                put("a", 2, 20, 30, "v1"),
                put("a", 3, 40, 50, "v1"),
                read("a", 60, 61, "v3"),
            ],
        ),
        ("not-linear", [*LINEARIZABLE, read("a", 25, 26, "v1")]),
        (
            "not-linear",
            [
                put("a", 1, 0, 10, None),
                put("a", 2, 10, 30, "v1"),
                read("a", 12, 13, "v2"),
                read("a", 14, 15, "v1"),
                read("a", 40, 41, "v2"),
            ],
        ),
        ("made-up", [put("a", 1, 0, 10, "v9"), read("a", 20, 21, "v1")]),
        ("refused-but-taken", [put("a", 1, 0, 10, None, "refused"), read("a", 20, 21, "v1")]),
    ],
)
def test_an_invalid_history_is_found_by_name(name: str, ops: list[Operation]) -> None:
    assert name in [finding.name for finding in check_history(ops).findings]


def test_a_write_with_unknown_outcome_may_take_effect_late_or_never() -> None:
    late = put("a", 1, 0, math.inf, None, "unknown")
    assert is_linearizable([late, read("a", 50, 51, None), read("a", 60, 61, "v1")])
    assert is_linearizable([late, read("a", 50, 51, None)])
    assert not is_linearizable([late, read("a", 50, 51, "v1"), read("a", 60, 61, None)])


def test_links_keep_order_until_a_reset_and_a_cut_is_directed() -> None:
    event_queue, delivered = EventQueue(), list[tuple[str, str, int]]()
    network = Network(
        event_queue, Random(1), lambda sender, to, message: delivered.append((sender, to, message))
    )

    def exchange(first: int, count: int) -> list[int]:
        delivered.clear()
        for number in range(first, first + count):
            network.send("a", "b", number, ())
            network.send("b", "a", -number, ())
        event_queue.run(event_queue.now + 1000.0)
        return [message for _, to, message in delivered if to == "b"]

    assert exchange(0, 50) == list(range(50))
    network.cut([("a", "b")])
    assert exchange(50, 50) == [] and len(delivered) == 50
    network.mend()
    delayed = exchange(100, 5)
    assert set(delayed) >= set(range(100, 105)) and set(delayed) - set(range(100, 105)) <= set(range(50, 100))
    for number in range(200, 260):
        network.send("a", "b", number, ())
    network.reset(("a", "b"))
    received = exchange(300, 3)
    assert [message for message in received if message >= 300] == [300, 301, 302]
    assert 0 < sum(message < 300 for message in received) < 60 and received != sorted(received)


def test_a_narrow_link_delays_messages_by_their_size() -> None:
    event_queue, delivered = EventQueue(), list[float]()
    network = Network(event_queue, Random(1), lambda *_: delivered.append(event_queue.now))
    network.narrow["a", "b"] = 1.0
    for _ in range(3):
        network.send("a", "b", None, ())
    event_queue.run(1000.0)
    assert [round(at_ms / 60.0) for at_ms in delivered] == [1, 2, 3]


def test_a_clock_drifts_and_a_step_takes_effect_at_the_next_start() -> None:
    clock = Clock(1.01, 500.0)
    assert clock.true_time(clock.now(1234.0)) == pytest.approx(1234.0)
    clock.start(0.0)
    before = clock.wall(clock.now(1000.0))
    clock.step(-30_000.0)
    assert clock.wall(clock.now(1000.0)) == before
    clock.start(1000.0)
    assert clock.wall(clock.now(1000.0)) == pytest.approx(before - 30_000.0 - 10.0)


class DiskHarness:
    """A simulated disk with the events that it reported."""

    def __init__(self, seed: int = 1) -> None:
        self.event_queue, self.events = EventQueue(), list[NodeEvent]()
        self.disk = Disk(self.event_queue, Random(seed), lambda life, event: self.events.append(event))
        self.disk.start(1)

    def put(self, seq: int, *records: Any) -> None:
        self.disk.persist(PersistRecords("a", seq, records))


def make_entries(first: int, last: int, term: int) -> Entries:
    return Entries(tuple(LogEntry(index, term, 1, b"") for index in range(first, last + 1)))


def test_a_write_is_reported_when_durable_and_a_crash_loses_the_others() -> None:
    harness = DiskHarness()
    harness.put(1, HardState(3, "x/1"), make_entries(1, 4, 3))
    assert harness.events == [] and not harness.disk.groups
    harness.event_queue.run(10.0)
    assert harness.events == [RecordsPersisted("a", 1)]
    harness.put(2, make_entries(3, 3, 4))
    harness.put(3, make_entries(4, 9, 4))  # waits for the fsync in progress, so a crash always loses it
    harness.disk.crash()
    harness.event_queue.run(100.0)
    saved = harness.disk.start(2)["a"]
    assert harness.events == [RecordsPersisted("a", 1)] and (saved.current_term, saved.voted_for) == (
        3,
        "x/1",
    )
    assert [entry.index for entry in saved.entries] in ([1, 2, 3, 4], [1, 2, 3])


def test_a_snapshot_replaces_entries_and_keeps_only_those_that_follow_it() -> None:
    harness = DiskHarness()
    harness.put(1, make_entries(1, 6, 2), Snapshot(4, 2, GroupConfiguration(("a/1",)), b"x"))
    harness.event_queue.run(10.0)
    assert [entry.index for entry in harness.disk.groups["a"].entries] == [5, 6]
    harness.put(2, Snapshot(5, 3, GroupConfiguration(("a/1",)), b"y"))
    harness.event_queue.run(20.0)
    assert harness.disk.groups["a"].entries == [] and harness.disk.groups["a"].last_index == 5


def test_a_full_disk_reports_failure_and_a_wiped_one_gets_a_new_incarnation() -> None:
    harness = DiskHarness()
    harness.disk.full = True
    harness.put(1, HardState(1, ""))
    harness.event_queue.run(10.0)
    assert isinstance(harness.events[0], StorageFailure) and harness.events[0].error.code == "store-failed"
    before = harness.disk.incarnation
    harness.disk.wipe()
    assert harness.disk.incarnation != before and not harness.disk.groups and not harness.disk.full


def test_generated_plans_of_every_kind_violate_no_guarantee() -> None:
    runs = [play_seed(seed, members) for members in (3, 5) for seed in range(101, 101 + len(KINDS))]
    assert {run.plan.seed: run.names for run in runs if run.names} == {}
    assert min(run.figures.promises_acknowledged or 0 for run in runs) > 30


def test_the_same_seed_gives_the_same_result() -> None:
    first, again = (play(replace(generate_plan(6), length_ms=6000.0)) for _ in range(2))
    assert first.plain() == again.plain() and (first.figures.promises_acknowledged or 0) > 30


def test_a_failing_plan_is_shrunk_and_can_be_written_as_code(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(GroupConfiguration, "majority", lambda self: max(len(self.voters) // 2, 1))
    shrunk = shrink(replace(generate_plan(5, 3), length_ms=6000.0), max_plays=25)
    assert shrunk.names and len(shrunk.plan.faults) <= 1
    assert eval(shrunk.plan.text(), {"Plan": Plan, "Fault": Fault}) == shrunk.plan
