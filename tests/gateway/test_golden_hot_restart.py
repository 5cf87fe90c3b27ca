"""The state that one process hands to the next, byte for byte, and what the next does with it."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from msgspec.structs import astuple

from badgeryoke.decisions import interface as api
from badgeryoke.decisions import state_snapshot
from badgeryoke.decisions.policy.engine import DecisionEngine
from badgeryoke.gateway.hot_restart import transfer
from tests.support import policy_drive, samples
from tests.support.golden_files import assert_golden, golden, text_lines
from tests.support.running import run_test as play

FIRST_SEED, SECOND_SEED = 15, 16
EVENTS, EVENTS_AFTER = 1949, 400
NAMES = {number: f"server-{number}" for number in range(1, 6)}
NUMBERS = {name: number + 20 for number, name in NAMES.items()}  # the successor numbers them otherwise
STATE, SECOND_STATE, ACTIONS, LINES = (
    "state.bin",
    "state-second.bin",
    "actions-after.txt",
    "handover-lines.txt",
)


def driven() -> policy_drive.Drive:
    """A module whose ledgers, servers, quota and choice among servers have all been in use."""
    gateway = DecisionEngine(policy_drive.SETTINGS, FIRST_SEED)
    gateway.handle(samples.START, api.EndpointList(api.ListScope.CACHED, policy_drive.SERVERS))
    drive = policy_drive.Drive(gateway, FIRST_SEED, samples.START)
    drive.schedule(policy_drive.FRESH_AT, api.EndpointList(api.ListScope.CHANGES, (policy_drive.FRESH,)))
    drive.play(EVENTS)
    forgetful = gateway._quota._quotas[8]
    forgetful.epoch, forgetful.previous_epoch = 3, 2  # as after a counter that had forgotten
    return drive


def encoded(gateway: DecisionEngine, names: dict[int, str]) -> bytes:
    """The state of a module as it goes to the successor."""
    return state_snapshot.encode(state_snapshot.take_snapshot(gateway, names))


def decoded(state: bytes) -> state_snapshot.StateSnapshot:
    """The state as the successor reads it."""
    head, body = state.split(b"\n", 1)
    checksum, length = state_snapshot.read_head(head)
    assert length == len(body)
    return state_snapshot.decode(body, checksum)


def successor(state: bytes, now: float) -> policy_drive.Drive:
    """A fresh module that goes on from a state, with its first actions under way."""
    gateway = DecisionEngine(policy_drive.SETTINGS, SECOND_SEED)
    numbered = tuple(
        samples.server(NUMBERS[name], "a" if number in (1, 2, 5) else "b") for number, name in NAMES.items()
    )
    gateway.handle(now, api.EndpointList(api.ListScope.CACHED, numbered))
    actions = state_snapshot.restore_snapshot(gateway, now, decoded(state), NUMBERS)
    drive = policy_drive.Drive(gateway, SECOND_SEED, now)
    drive.answer(actions)
    return drive


def end_of_drive() -> float:
    """When the first module handed over, ms."""
    return driven().now


def names_of_successor() -> dict[int, str]:
    """Its servers' names by its own numbers."""
    return {number: name for name, number in NUMBERS.items()}


def test_the_same_events_give_the_same_state() -> None:
    assert_golden(STATE, encoded(driven().gateway, NAMES))


def test_every_figure_of_the_state_is_in_use() -> None:
    """A column in which all entries were alike would not show that it stands at another place."""
    state = decoded(golden(STATE))
    idle = (0, None)
    for columns in (
        zip(*(astuple(customer.fields) for customer in state.customers), strict=True),
        zip(*(astuple(server.fields) for server in state.servers), strict=True),
    ):
        assert all(any(value not in idle for value in column) for column in columns)
    gateway_fields = [*astuple(state.quota_manager), *astuple(state.balancer)]
    assert all(value not in idle for value in [*gateway_fields, state.retry_budget])
    assert len(set(gateway_fields)) == len(gateway_fields)
    assert len(state.customers) == len(policy_drive.CUSTOMERS) and len(state.servers) == len(NAMES)
    amounts = [
        (customer.unreported_units, customer.correction_units, customer.uncertain_units)
        for customer in state.customers
    ]
    assert all(any(column) for column in zip(*amounts, strict=True))


def test_a_state_that_was_read_is_written_as_it_was() -> None:
    assert state_snapshot.encode(decoded(golden(STATE))) == golden(STATE)


def test_a_successor_hands_on_the_golden_second_state() -> None:
    drive = successor(golden(STATE), end_of_drive())
    assert_golden(SECOND_STATE, encoded(drive.gateway, names_of_successor()))


def test_a_successor_goes_on_with_the_golden_actions() -> None:
    drive = successor(golden(STATE), end_of_drive())
    drive.play(EVENTS_AFTER)
    assert_golden(ACTIONS, text_lines(drive.record))


# The lines between the two processes ------------------------------------------------------------------


class Predecessor:
    """A gateway that gives the golden state, or says why not."""

    def __init__(self, why_not: str = "") -> None:
        self._why_not = why_not
        self.told = asyncio.Event()

    def take_snapshot(self) -> state_snapshot.StateSnapshot | str:
        return self._why_not or decoded(golden(STATE))

    def successor_ready(self, handed: state_snapshot.StateSnapshot) -> None:
        self.told.set()


async def refused_by_giver(folder: Path, predecessor: Predecessor, line: bytes) -> bytes:
    """What the old process answers to a line that it does not go by."""
    path = folder / "refusing.sock"
    giver = transfer.SnapshotSender(path, predecessor)
    await giver.listen()
    reader, writer = await asyncio.open_unix_connection(str(path))
    writer.write(line)
    answer = await reader.read()
    writer.close()
    giver.close()
    return answer


async def given_whole(folder: Path) -> list[bytes]:
    """What the old process writes to a successor that asks, and to a second one meanwhile."""
    path = folder / "giving.sock"
    predecessor = Predecessor()
    giver = transfer.SnapshotSender(path, predecessor)
    await giver.listen()
    reader, writer = await asyncio.open_unix_connection(str(path))
    writer.write(b"TAKE 2\n")
    head = await reader.readline()
    body = await reader.readexactly(int(head.split()[-1]))
    second_reader, second_writer = await asyncio.open_unix_connection(str(path))
    turned_away = await second_reader.read()
    second_writer.close()
    writer.write(b"SERVING\n")
    await predecessor.told.wait()
    giver.close()
    rest = await reader.read()
    writer.close()
    assert head + body == golden(STATE)
    return [head, turned_away, rest]


async def said_by_taker(folder: Path) -> list[bytes]:
    """What the new process writes, step by step, to an old one that gives the golden state."""
    path = folder / "taking.sock"
    said: list[bytes] = []

    async def give(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        said.append(await reader.readline())
        writer.write(golden(STATE))
        said.append(await reader.readline())
        writer.close()

    server = await asyncio.start_unix_server(give, str(path))
    ended = asyncio.Event()
    taker = transfer.SnapshotReceiver(path)
    handed = await taker.receive()
    assert handed is not None and state_snapshot.encode(handed) == golden(STATE)
    await taker.confirm_serving(ended.set)
    await ended.wait()
    server.close()
    return said


def exchanged(folder: Path) -> list[str]:
    """Each line that goes over the connection, by who writes it."""
    lines: list[str] = [f"address: {transfer.socket_path('folder', '../n 0').as_posix()}"]

    async def record() -> None:
        lines.extend(f"taker: {line!r}" for line in await said_by_taker(folder))
        lines.extend(f"giver: {line!r}" for line in await given_whole(folder))
        other_version = await refused_by_giver(folder, Predecessor(), b"TAKE 9\n")
        lines.append(f"giver, other version: {other_version!r}")
        ending = await refused_by_giver(folder, Predecessor("this process is closing"), b"TAKE 2\n")
        lines.append(f"giver, ending: {ending!r}")

    play(record)
    return lines


HEADS = (b"NONSENSE", b"STATE 1 2 3", b"STATE 2 1 999999999", b"STATE 2 x 3", b"STATE 2 1")
BODIES = ((b"abc", 1), (b"\0\0\0\0", 558161692), (b"\x90", 2425393296))


def refusals() -> list[str]:
    """What the reading of a state says of heads and bodies that are no state."""
    told = []
    for head in HEADS:
        with pytest.raises(ValueError) as caught:
            state_snapshot.read_head(head)
        told.append(f"head {head!r}: {caught.value}")
    for body, checksum in BODIES:
        with pytest.raises(ValueError) as caught:
            state_snapshot.decode(body, checksum)
        told.append(f"body {body!r}: {caught.value}")
    return told


def test_the_lines_between_two_processes(tmp_path: Path) -> None:
    assert_golden(LINES, text_lines(exchanged(tmp_path) + refusals()))
