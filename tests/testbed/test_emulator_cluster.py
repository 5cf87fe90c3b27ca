"""The emulated cluster: its scenario sections, faulty links, the record of writes, and faults between gateway
processes."""

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


# Parsing ------------------------------------------------------------------------------------------------


def test_all_cluster_sections_are_parsed() -> None:
    scenario = parse(f"""(scenario a {FLEET} (servers 8 (work 30ms..90ms) (connections 24)) {LOAD} (proposals 40/s)
        (contract peak (customers 1..3) (rate 60/s) (burst 30u) (from 5s) (to 30s) (importance 2))
        (roll nightly (from 10s) (gateways 1 2 5) (at-once 2))
        (at 1s (cut gateways (1 2) (3 4 5)) (cut gateways (1) (2 3) one-way) (delay gateways (1) (2) 400ms))
        (at 2s (reset gateways (1) (2) 2/s) (narrow gateways (1) (2) 8000/s) (mend gateways))
        (at 3s (lose gateway 2 when-whole) (start gateway 2) (freeze gateway 3) (thaw gateway 3))
        (at 4s (spoil gateway 4) (step gateway 5 -30s) (fill gateway 1) (empty gateway 1)))""")
    assert (scenario.fleet, scenario.copies, scenario.halls, scenario.connections, scenario.proposals) == (
        True,
        3,
        2,
        24,
        40.0,
    )
    contract, roll = scenario.contracts[0], scenario.rolls[0]
    assert (contract.customers, contract.rate, contract.burst, contract.importance) == ((1, 3), 60.0, 30.0, 2)
    assert (contract.from_ms, contract.to_ms) == (5000.0, 30_000.0)
    assert (roll.name, roll.from_ms, roll.gateways, roll.at_once) == ("nightly", 10_000.0, (1, 2, 5), 2)
    assert [(fault.word, fault.groups, fault.amount, fault.mode) for fault in scenario.faults] == [
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
    ("sections", "error_at", "words"),
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
def test_an_invalid_cluster_section_is_reported_with_its_column(
    sections: str, error_at: str, words: tuple[str, ...]
) -> None:
    with pytest.raises(TextError) as caught:
        parse(text := f"(scenario a {sections})")
    assert (caught.value.line, caught.value.column) == (1, text.index(error_at) + 1), str(caught.value)
    assert all(word in str(caught.value) for word in words)


# Links --------------------------------------------------------------------------------------------------


@asynccontextmanager
async def connected_gateways() -> AsyncIterator[
    tuple[FaultyLinks, asyncio.StreamReader, asyncio.StreamWriter, asyncio.StreamReader, asyncio.StreamWriter]
]:
    """A connection from gateway 0 to gateway 1: the links and the streams of both ends."""
    accepted: asyncio.Queue[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = asyncio.Queue()
    server = await asyncio.start_server(
        lambda reader, writer: accepted.put_nowait((reader, writer)), "127.0.0.1", 0
    )
    links = FaultyLinks(2, random.Random(1))
    links.targets = {1: server.sockets[0].getsockname(), 0: ("127.0.0.1", 1)}
    await links.listen()
    client = await asyncio.open_connection("127.0.0.1", links.ports[0, 1])
    client[1].write(b"hello")
    server_side = await accepted.get()
    assert await server_side[0].readexactly(5) == b"hello"
    try:
        yield links, *client, *server_side
    finally:
        for writer in (client[1], server_side[1]):
            writer.transport.abort()
        links.close()
        server.close()


def run_with_timeout(test: Callable[[], Awaitable[None]], timeout_s: float = 30.0) -> None:
    async def bounded() -> None:
        await asyncio.wait_for(test(), timeout_s)

    asyncio.run(bounded())


def link_fault(word: str, amount: float = 0.0, mode: str = "") -> Fault:
    return Fault(0.0, word, "gateways", ((1,), (2,)), amount, mode)


def test_a_one_way_cut_drops_one_direction_and_disconnects_when_mended() -> None:
    async def test() -> None:
        async with connected_gateways() as (
            links,
            client_reader,
            client_writer,
            server_reader,
            server_writer,
        ):
            links.inject_fault(link_fault("cut", mode="one-way"))
            client_writer.write(b"lost")
            server_writer.write(b"heard")
            assert await client_reader.readexactly(5) == b"heard"
            while links.directions[0, 1].dropped_bytes < 4:
                await asyncio.sleep(0.001)
            links.mend()
            # nothing is forwarded after the lost bytes
            assert await server_reader.read() == b"" and await client_reader.read() == b""

    run_with_timeout(test)


def test_a_cut_blocks_new_connections_and_hides_the_close_of_open_ones() -> None:
    async def test() -> None:
        async with connected_gateways() as (
            links,
            _client_reader,
            client_writer,
            server_reader,
            server_writer,
        ):
            links.inject_fault(link_fault("cut"))
            client_writer.write_eof()
            _, second_writer = await asyncio.open_connection("127.0.0.1", links.ports[0, 1])
            second_writer.write(b"anyone?")
            while links.directions[0, 1].dropped_bytes < 7:
                await asyncio.sleep(0.001)
            assert (
                len(links.connections) == 2 and not server_reader.at_eof() and not server_writer.is_closing()
            )
            links.mend()
            assert await server_reader.read() == b"" and not links.connections
            second_writer.transport.abort()

    run_with_timeout(test)


def test_a_delay_keeps_the_order_and_a_reset_disconnects() -> None:
    async def test() -> None:
        async with connected_gateways() as (
            links,
            client_reader,
            client_writer,
            server_reader,
            _server_writer,
        ):
            loop = asyncio.get_running_loop()
            links.inject_fault(link_fault("delay", 60.0))
            started_s = loop.time()
            client_writer.write(b"first")
            await client_writer.drain()
            client_writer.write(b"second")
            assert await server_reader.readexactly(11) == b"firstsecond"
            assert loop.time() - started_s >= 0.059
            links.inject_fault(link_fault("reset", 50.0))
            with pytest.raises(ConnectionResetError):
                await client_reader.read()

    run_with_timeout(test)


def test_a_narrow_link_limits_the_throughput() -> None:
    async def test() -> None:
        async with connected_gateways() as (
            links,
            _client_reader,
            client_writer,
            server_reader,
            _server_writer,
        ):
            links.inject_fault(link_fault("narrow", 2000.0))  # 2 MB a second
            client_writer.write(b"x" * 300_000)
            started_s = asyncio.get_running_loop().time()
            assert len(await server_reader.readexactly(300_000)) == 300_000
            assert asyncio.get_running_loop().time() - started_s >= 0.14

    run_with_timeout(test)


def test_a_close_reaches_the_other_end() -> None:
    async def test() -> None:
        async with connected_gateways() as (
            links,
            client_reader,
            client_writer,
            server_reader,
            server_writer,
        ):
            client_writer.write(b"bye")
            client_writer.close()
            assert await server_reader.read() == b"bye"
            server_writer.close()
            await client_reader.read()
            while links.connections:
                await asyncio.sleep(0.001)

    run_with_timeout(test)


# Writes -------------------------------------------------------------------------------------------------


def test_acknowledged_lost_and_duplicated_writes_are_counted() -> None:
    book = WriteLedger()
    for name in ("a", "b", "c", "d"):
        book.write_started(0.0, name)
    book.write_ended(10.0, "a", "1", (None, ""))
    book.write_ended(30.0, "b", "2", ("2", ""))  # the replaced value is its own: the write was applied twice
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
    ("received", "answer"),
    [
        (b'+OK {"a": 1}\n', ({"a": 1}, "")),
        (b"+OK\n", (None, "")),
        (b"", (None, UNKNOWN_OUTCOME)),
        (b'-ERR {"error": "no-leader", "whom": "x"}\n', (None, "no-leader")),
        (b"-ERR unknown call; known are STATUS\n", (None, "unknown call; known are STATUS")),
    ],
)
def test_responses_of_the_management_socket_are_parsed(received: bytes, answer: object) -> None:
    assert read_answer(received) == answer and NOT_LISTENING != UNKNOWN_OUTCOME


def test_a_fault_that_needs_privileges_is_reported_with_its_line() -> None:
    assert unsupported_reason(load("fleet-step")[0]).startswith("line 6: step") and not unsupported_reason(
        load("fleet-calm")[0]
    )


def test_contract_floor_and_shortfall_error_are_computed() -> None:
    text = parse(
        f"""(scenario a {FLEET} {LOAD} (contract c (customers 1) (rate 4/s) (burst 4u) (from 1s) (to 3s)))"""
    )
    fleet = EmulatedCluster(
        text, random.Random(1), lambda: 0.0, lambda *args, **fields: None, [("127.0.0.1", 1)] * 5, []
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
    assert (
        fleet.guaranteed_fraction() is None and fleet.shortfall_error() is None
    )  # the contract is not admitted
    fleet.contracts["c"] = {"admitted": True}
    assert fleet.guaranteed_fraction() == 0.5
    fleet._reported_short = {"c": 3.0}
    assert fleet.shortfall_error() == pytest.approx(
        1.0 / 2.008, rel=0.01
    )  # 2 of the 12 requested units were short
    for other in range(1, 5):
        fleet.links.directions[0, other].cut = True
    fleet.attempt_started(7, 2500.0, 4.0, 0)(
        "refused"
    )  # at a partitioned gateway: counts as short, not for the floor
    assert fleet.guaranteed_fraction() == 0.5 and fleet._contract_ledgers["c"].units_short() > 3.9


# Gateway processes --------------------------------------------------------------------------------------


@asynccontextmanager
async def running_cluster(gateways: int, folder: Path) -> AsyncIterator[tuple[EmulatedRun, EmulatedCluster]]:
    """Run a bootstrapped cluster of gateway processes under key-value writes; none may be lost at the end."""
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
        figures = fleet.figures([])
        assert (
            figures.promises_lost,
            figures.promises_twice,
            figures.leaders_in_a_term,
            figures.invariants_broken,
        ) == (
            0,
            0,
            1,
            0,
        )
        assert figures.promises_acknowledged == len(fleet.ledger.acknowledged) > 0
    finally:
        await stage.close()


async def await_writes(fleet: EmulatedCluster, count: int = 15) -> None:
    """Wait until `count` further writes are acknowledged."""
    target = len(fleet.ledger.acknowledged) + count
    assert await fleet.wait_until(lambda: len(fleet.ledger.acknowledged) >= target, 30.0), (
        fleet.ledger.figures()
    )


def test_a_lost_machine_loses_no_write_and_returns_with_a_new_incarnation(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_cluster(3, tmp_path) as (stage, fleet):
            await await_writes(fleet)
            before = {status["me"] for status in fleet.statuses.values()}
            lost = fleet.statuses[0]["me"]
            await stage.inject_fault(Fault(0.0, "lose", "gateway", ((1,),)))
            await await_writes(fleet)  # two of three members are a majority
            await stage.inject_fault(Fault(0.0, "start", "gateway", ((1,),)))
            assert await fleet.wait_until(fleet.replicas_complete, 30.0)
            after = {status["me"] for status in fleet.statuses.values()}
            assert before - after == {lost} and len(after) == 3  # under a new incarnation
            await await_writes(fleet)

    run_with_timeout(test, 90.0)


def test_five_gateways_stay_available_during_a_cut_and_a_freeze(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_cluster(5, tmp_path) as (stage, fleet):
            await await_writes(fleet)
            await stage.inject_fault(Fault(0.0, "cut", "gateways", ((1, 2), (3, 4, 5))))
            await await_writes(fleet, 30)
            await stage.inject_fault(Fault(0.0, "mend", "gateways"))
            await stage.inject_fault(Fault(0.0, "freeze", "gateway", ((4,),)))
            await await_writes(fleet, 30)
            await stage.inject_fault(Fault(0.0, "thaw", "gateway", ((4,),)))
            assert await fleet.wait_until(fleet.replicas_complete, 30.0)
            assert set(fleet.statuses) == set(range(5))

    run_with_timeout(test, 90.0)


def test_a_rolling_restart_loses_no_request_and_keeps_connection_limits(tmp_path: Path) -> None:
    async def test() -> None:
        text = parse("""(scenario rolls (length 1s) (gateways 3 (fleet on)) (servers 2 (work 5ms..15ms) (connections 4))
            (plan p (rate 20/s) (burst 40u)) (customers 3 (plan p) (spread 3) (demand 0.5x)) (proposals 10/s)
            (roll all (from 0s)))""")
        stage = EmulatedRun(text, 1, tmp_path)
        await stage.play()  # clients send requests until the rolling restart is complete
        figures = stage.cluster_figures()
        assert (figures.roll_state, figures.roll_lost, figures.connections_over, figures.violations()) == (
            "done",
            0,
            0,
            [],
        )
        assert stage.cluster is not None and stage.cluster.rolling_restarts[0]["restarts"] == 3
        assert (
            stage.counts["served"] > 0 and max(server.max_open_connections for server in stage._servers) > 0
        )

    run_with_timeout(test, 110.0)
