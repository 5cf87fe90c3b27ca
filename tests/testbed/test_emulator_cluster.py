"""The laboratory's fleet: its words, its links, the book of promises, and real processes with faults
between them."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from badgeryoke.testbed.emulator.cluster import EmulatedCluster, unsupported_reason
from badgeryoke.testbed.emulator.faulty_links import FaultyLinks
from badgeryoke.testbed.emulator.key_value_load import (
    NOT_LISTENING,
    UNKNOWN_OUTCOME,
    WriteLedger,
    read_answer,
)
from badgeryoke.testbed.emulator.run import EmulatedRun
from badgeryoke.testbed.scenario.model import Fault
from badgeryoke.testbed.scenario.parser import load, parse
from badgeryoke.testbed.scenario.sexpr import TextError

FLEET = "(gateways 5 (fleet on) (copies 3) (halls 2))"
LOAD = "(plan p (rate 5/s) (burst 10u)) (customers 4 (plan p))"


# The language -------------------------------------------------------------------------------------------


def test_a_fleets_text_says_all_that_it_can_say() -> None:
    made = parse(f"""(scenario a {FLEET} (servers 8 (work 30ms..90ms) (connections 24)) {LOAD} (proposals 40/s)
        (contract peak (customers 1..3) (rate 60/s) (burst 30u) (from 5s) (to 30s) (importance 2))
        (roll nightly (from 10s) (gateways 1 2 5) (at-once 2))
        (at 1s (cut gateways (1 2) (3 4 5)) (cut gateways (1) (2 3) one-way) (delay gateways (1) (2) 400ms))
        (at 2s (reset gateways (1) (2) 2/s) (narrow gateways (1) (2) 8000/s) (mend gateways))
        (at 3s (lose gateway 2 when-whole) (start gateway 2) (freeze gateway 3) (thaw gateway 3))
        (at 4s (spoil gateway 4) (step gateway 5 -30s) (fill gateway 1) (empty gateway 1)))""")
    assert (made.fleet, made.copies, made.halls, made.connections, made.proposals) == (True, 3, 2, 24, 40.0)
    contract, roll = made.contracts[0], made.rolls[0]
    assert (contract.customers, contract.rate, contract.burst, contract.importance) == ((1, 3), 60.0, 30.0, 2)
    assert (contract.from_ms, contract.to_ms) == (5000.0, 30_000.0)
    assert (roll.name, roll.from_ms, roll.gateways, roll.at_once) == ("nightly", 10_000.0, (1, 2, 5), 2)
    assert [(one.word, one.groups, one.amount, one.mode) for one in made.faults] == [
        ("cut", ((1, 2), (3, 4, 5)), 0.0, ""),
        ("cut", ((1,), (2, 3)), 0.0, "one-way"),
        ("delay", ((1,), (2,)), 400.0, ""),
        ("reset", ((1,), (2,)), 2.0, ""),
        ("narrow", ((1,), (2,)), 8.0, ""),
        ("mend", (), 0.0, ""),
        ("lose", ((2,),), 0.0, "whole"),
        ("start", ((2,),), 0.0, ""),
        ("freeze", ((3,),), 0.0, ""),
        ("thaw", ((3,),), 0.0, ""),
        ("spoil", ((4,),), 0.0, ""),
        ("step", ((5,),), -30_000.0, ""),
        ("full", ((1,),), 1.0, ""),
        ("full", ((1,),), 0.0, ""),
    ]


@pytest.mark.parametrize(
    ("rest", "at", "words"),
    [
        ("(gateways 5) (proposals 40/s)", "(proposals", ("proposals", "(fleet on)")),
        (f"(gateways 5 (copies 3)) {LOAD}", "(copies", ("copies", "(fleet on)")),
        (f"(gateways 5) {LOAD} (at 1s (freeze gateway 1))", "(freeze", ("freeze", "(fleet on)")),
        ("(gateways 5 (fleet on)) (propsals 40/s)", "propsals", ("propsals", "proposals")),
        ("(gateways 5 (fleet on)) (proposals -4/s)", "-4/s", ("-4/s",)),
        ("(gateways 5 (fleet on) (copies 4)) (proposals 4/s)", "4))", ("1, 3, 5",)),
        ("(gateways 2 (fleet on)) (proposals 4/s)", "(scenario", ("3 copies", "2 gateways")),
        ("(gateways 5 (fleet on))", "(scenario", ("needs", "(proposals ...)")),
        ("(gateways 5 (fleet on)) (proposals 4/s) (at 1s (cut gateways (1) (1 2)))", "(cut", ("two groups",)),
        ("(gateways 5 (fleet on)) (proposals 4/s) (at 1s (cut gateways (1) (6)))", "6)", ("1 to 5", "'6'")),
        (
            "(gateways 5 (fleet on)) (proposals 4/s) (at 1s (cut gateways (1) (2) onway))",
            "onway",
            ("onway", "one-way"),
        ),
        (
            "(gateways 5 (fleet on)) (proposals 4/s) (at 1s (delay gateways (1) (2) 2/s))",
            "2/s",
            ("time", "2/s"),
        ),
        (
            "(gateways 5 (fleet on)) (proposals 4/s) (at 1s (reset gateways (1) (2)))",
            "(reset",
            ("rate", "missing"),
        ),
        ("(gateways 5 (fleet on)) (proposals 4/s) (at 1s (step gateway 1 30))", "30)", ("time", "'30'")),
        ("(gateways 5 (fleet on)) (proposals 4/s) (at 1s (losee gateway 1))", "losee", ("losee", "lose")),
        ("(gateways 5 (fleet on)) (proposals 4/s) (at 1s (lose counter))", "(lose", ("lose", "a gateway")),
        ("(gateways 5 (fleet on)) (proposals 4/s) (at 1s (mend gateways now))", "now", ("nothing more",)),
        (
            "(gateways 5 (fleet on)) (proposals 4/s) (roll n (from 1s) (gateways 1 1))",
            "(gateways 1 1",
            ("once",),
        ),
        (
            "(gateways 5 (fleet on)) (proposals 4/s) (roll n (from 1s) (at-onc 1))",
            "at-onc",
            ("at-onc", "at-once"),
        ),
        ("(gateways 5 (fleet on)) (proposals 4/s) (roll n (at-once 1))", "(roll", ("roll n", "from")),
        (
            f"(gateways 5 (fleet on)) {LOAD} (contract c (customers 1..9) (rate 1/s) (burst 1u) (to 1s))",
            "1..9",
            ("1..9", "1 to 4"),
        ),
        (
            f"(gateways 5 (fleet on)) {LOAD} (contract c (customers 1) (rate 1/s) (burst 1u) (from 2s) (to 1s))",
            "(contract",
            ("before it begins",),
        ),
        (
            f"(gateways 5 (fleet on)) {LOAD} (contract c (customers 1) (rate 0/s) (burst 1u) (to 1s))",
            "(contract",
            ("(rate ...)",),
        ),
    ],
)
def test_a_wrong_word_of_a_fleet_is_told_by_column(rest: str, at: str, words: tuple[str, ...]) -> None:
    with pytest.raises(TextError) as caught:
        parse(text := f"(scenario a {rest})")
    assert (caught.value.line, caught.value.column) == (1, text.index(at) + 1), str(caught.value)
    assert all(word in str(caught.value) for word in words)


# The links ----------------------------------------------------------------------------------------------


@asynccontextmanager
async def linked() -> AsyncIterator[
    tuple[FaultyLinks, asyncio.StreamReader, asyncio.StreamWriter, asyncio.StreamReader, asyncio.StreamWriter]
]:
    """Gateway 0 has called gateway 1: both ends."""
    called: asyncio.Queue[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = asyncio.Queue()
    server = await asyncio.start_server(
        lambda reader, writer: called.put_nowait((reader, writer)), "127.0.0.1", 0
    )
    links = FaultyLinks(2, random.Random(1))
    links.targets = {1: server.sockets[0].getsockname(), 0: ("127.0.0.1", 1)}
    await links.listen()
    near = await asyncio.open_connection("127.0.0.1", links.ports[0, 1])
    near[1].write(b"hello")
    far = await called.get()
    assert await far[0].readexactly(5) == b"hello"
    try:
        yield links, *near, *far
    finally:
        for writer in (near[1], far[1]):
            writer.transport.abort()
        links.close()
        server.close()


def play(test: Callable[[], Awaitable[None]], within_s: float = 30.0) -> None:
    async def bounded() -> None:
        await asyncio.wait_for(test(), within_s)

    asyncio.run(bounded())


def fault(word: str, amount: float = 0.0, mode: str = "") -> Fault:
    return Fault(0.0, word, "gateways", ((1,), (2,)), amount, mode)


def test_a_one_way_cut_swallows_one_way_and_breaks_off_when_mended() -> None:
    async def test() -> None:
        async with linked() as (links, near, say, far, back):
            links.inject_fault(fault("cut", mode="one-way"))
            say.write(b"lost")
            back.write(b"heard")
            assert await near.readexactly(5) == b"heard"
            while links.directions[0, 1].dropped_bytes < 4:
                await asyncio.sleep(0.001)
            links.mend()
            assert await far.read() == b"" and await near.read() == b""  # behind the gap nothing is said

    play(test)


def test_a_cut_keeps_new_connections_and_the_end_of_old_ones_away() -> None:
    async def test() -> None:
        async with linked() as (links, _near, say, far, back):
            links.inject_fault(fault("cut"))
            say.write_eof()
            _, again = await asyncio.open_connection("127.0.0.1", links.ports[0, 1])
            again.write(b"anyone?")
            while links.directions[0, 1].dropped_bytes < 7:
                await asyncio.sleep(0.001)
            assert len(links.connections) == 2 and not far.at_eof() and not back.is_closing()
            links.mend()
            assert await far.read() == b"" and not links.connections
            again.transport.abort()

    play(test)


def test_a_delay_keeps_the_order_and_a_reset_breaks_off() -> None:
    async def test() -> None:
        async with linked() as (links, near, say, far, _back):
            loop = asyncio.get_running_loop()
            links.inject_fault(fault("delay", 60.0))
            begun = loop.time()
            say.write(b"first")
            await say.drain()
            say.write(b"second")
            assert await far.readexactly(11) == b"firstsecond"
            assert loop.time() - begun >= 0.059
            links.inject_fault(fault("reset", 50.0))
            with pytest.raises(ConnectionResetError):
                await near.read()

    play(test)


def test_a_narrow_way_takes_its_time_and_holds_no_more_than_its_bound() -> None:
    async def test() -> None:
        async with linked() as (links, _near, say, far, _back):
            links.inject_fault(fault("narrow", 2000.0))  # 2 MB a second
            say.write(b"x" * 300_000)
            begun = asyncio.get_running_loop().time()
            assert len(await far.readexactly(300_000)) == 300_000
            assert asyncio.get_running_loop().time() - begun >= 0.14

    play(test)


def test_whoever_closes_is_heard() -> None:
    async def test() -> None:
        async with linked() as (links, near, say, far, back):
            say.write(b"bye")
            say.close()
            assert await far.read() == b"bye"
            back.close()
            await near.read()
            while links.connections:
                await asyncio.sleep(0.001)

    play(test)


# The book -----------------------------------------------------------------------------------------------


def test_the_book_counts_what_was_acknowledged_lost_and_done_twice() -> None:
    book = WriteLedger()
    for name in ("a", "b", "c", "d"):
        book.write_started(0.0, name)
    book.write_ended(10.0, "a", "1", (None, ""))
    book.write_ended(30.0, "b", "2", ("2", ""))  # its own value was there before it
    book.write_ended(40.0, "c", "3", (None, UNKNOWN_OUTCOME))
    book.write_ended(50.0, "d", "4", (None, "no-room"))
    book.write_started(100.0, "e")
    book.write_started(120.0, "f")
    book.write_ended(700.0, "f", "6", (None, ""))
    book.restart_unavailability(1700.0)
    book.finish(1800.0)
    assert (book.longest_unavailable_ms, book.longest_unavailable_at_ms) == (600.0, 100.0)
    for name, answer in (("a", ("1", "")), ("b", (None, "")), ("f", (None, UNKNOWN_OUTCOME))):
        book.read(name, answer)
    assert (book.applied_twice, book.lost, book.unreadable, book.unknown) == ({"b"}, {"b"}, {"f"}, {"c"})
    assert book.refused == {"no-room": 1} and len(book.acknowledged) == 3


@pytest.mark.parametrize(
    ("said", "answer"),
    [
        (b'+OK {"a": 1}\n', ({"a": 1}, "")),
        (b"+OK\n", (None, "")),
        (b"", (None, UNKNOWN_OUTCOME)),
        (b'-ERR {"error": "no-leader", "whom": "x"}\n', (None, "no-leader")),
        (b"-ERR unknown call; known are STATUS\n", (None, "unknown call; known are STATUS")),
    ],
)
def test_an_answer_is_read(said: bytes, answer: object) -> None:
    assert read_answer(said) == answer and NOT_LISTENING != UNKNOWN_OUTCOME


def test_what_needs_privileges_is_said_with_its_line() -> None:
    assert unsupported_reason(load("fleet-step")[0]).startswith("line 6: step") and not unsupported_reason(
        load("fleet-calm")[0]
    )


def test_what_is_due_under_a_contract_and_what_of_it_was_short() -> None:
    text = parse(
        f"""(scenario a {FLEET} {LOAD} (contract c (customers 1) (rate 4/s) (burst 4u) (from 1s) (to 3s)))"""
    )
    fleet = EmulatedCluster(
        text, random.Random(1), lambda: 0.0, lambda *said, **more: None, [("127.0.0.1", 1)] * 5, []
    )
    fleet._contract_by_customer = {7: text.contracts[0]}
    now = 0.0
    fleet._clock = lambda: now
    for now, kind in (
        (900.0, "refused"),
        (1000.0, "served"),
        (1001.0, "refused"),
        (1002.0, "refused"),
        (2000.0, "served"),
        (2001.0, "served"),
    ):
        fleet.attempt_started(7, now, 2.0, 0)(kind)
    assert fleet.guaranteed_fraction() is None and fleet.shortfall_error() is None  # it was not admitted
    fleet.contracts["c"] = {"admitted": True}
    assert fleet.guaranteed_fraction() == 0.5
    fleet._reported_short = {"c": 3.0}
    assert fleet.shortfall_error() == pytest.approx(
        1.0 / 2.008, rel=0.01
    )  # two units were short, of 12 asked
    for other in range(1, 5):
        fleet.links.directions[0, other].cut = True
    fleet.attempt_started(7, 2500.0, 4.0, 0)(
        "refused"
    )  # where it cannot be served: short, and no less of a floor
    assert fleet.guaranteed_fraction() == 0.5 and fleet._contract_ledgers["c"].units_short() > 3.9


# Real processes -----------------------------------------------------------------------------------------


@asynccontextmanager
async def staged(gateways: int, folder: Path) -> AsyncIterator[tuple[EmulatedRun, EmulatedCluster]]:
    """So many real gateways, founded, with promises being made; at the end none is lost."""
    stage = EmulatedRun(
        parse(f"(scenario short (gateways {gateways} (fleet on)) (servers 1) (proposals 30/s))"), 1, folder
    )
    try:
        await stage.open()
        fleet = stage.cluster
        assert fleet is not None
        fleet.start({})
        yield stage, fleet
        await fleet.finish()
        made = fleet.figures([])
        assert (made.promises_lost, made.promises_twice, made.leaders_in_a_term, made.invariants_broken) == (
            0,
            0,
            1,
            0,
        )
        assert made.promises_acknowledged == len(fleet.ledger.acknowledged) > 0
    finally:
        await stage.close()


async def promised(fleet: EmulatedCluster, more: int = 15) -> None:
    """Wait until so many further promises are acknowledged."""
    least = len(fleet.ledger.acknowledged) + more
    assert await fleet.wait_until(lambda: len(fleet.ledger.acknowledged) >= least, 30.0), (
        fleet.ledger.figures()
    )


def test_a_machine_lost_with_its_disk_loses_nothing_and_comes_back_as_a_newcomer(tmp_path: Path) -> None:
    async def test() -> None:
        async with staged(3, tmp_path) as (stage, fleet):
            await promised(fleet)
            before = {status["me"] for status in fleet.statuses.values()}
            lost = fleet.statuses[0]["me"]
            await stage.inject_fault(Fault(0.0, "lose", "gateway", ((1,),)))
            await promised(fleet)  # two of three go on
            await stage.inject_fault(Fault(0.0, "start", "gateway", ((1,),)))
            assert await fleet.wait_until(fleet.replicas_complete, 30.0)
            after = {status["me"] for status in fleet.statuses.values()}
            assert before - after == {lost} and len(after) == 3  # under a new incarnation
            await promised(fleet)

    play(test, 90.0)


def test_five_gateways_go_on_through_a_cut_and_a_frozen_one(tmp_path: Path) -> None:
    async def test() -> None:
        async with staged(5, tmp_path) as (stage, fleet):
            await promised(fleet)
            await stage.inject_fault(Fault(0.0, "cut", "gateways", ((1, 2), (3, 4, 5))))
            await promised(fleet, 30)
            await stage.inject_fault(Fault(0.0, "mend", "gateways"))
            await stage.inject_fault(Fault(0.0, "freeze", "gateway", ((4,),)))
            await promised(fleet, 30)
            await stage.inject_fault(Fault(0.0, "thaw", "gateway", ((4,),)))
            assert await fleet.wait_until(fleet.replicas_complete, 30.0)
            assert set(fleet.statuses) == set(range(5))

    play(test, 90.0)


def test_three_gateways_roll_without_losing_a_query_or_passing_a_servers_limit(tmp_path: Path) -> None:
    async def test() -> None:
        text = parse("""(scenario rolls (length 1s) (gateways 3 (fleet on)) (servers 2 (work 5ms..15ms) (connections 4))
            (plan p (rate 20/s) (burst 40u)) (customers 3 (plan p) (spread 3) (demand 0.5x)) (proposals 10/s)
            (roll all (from 0s)))""")
        stage = EmulatedRun(text, 1, tmp_path)
        await stage.play()  # clients ask until the roll is over
        made = stage.cluster_figures()
        assert (made.roll_state, made.roll_lost, made.connections_over, made.bad()) == ("done", 0, 0, [])
        assert stage.cluster is not None and stage.cluster.rolling_restarts[0]["restarts"] == 3
        assert stage.counts["served"] > 0 and max(one.max_open_connections for one in stage._servers) > 0

    play(test, 110.0)
