"""The state that one process transfers to its successor, byte for byte, and how the successor continues from it."""

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
from tests.support.running import run_test

FIRST_SEED, SECOND_SEED = 15, 16
EVENTS, EVENTS_AFTER = 1949, 400
NAMES = {number: f"server-{number}" for number in range(1, 6)}
NUMBERS = {name: number + 20 for number, name in NAMES.items()}  # the successor's server numbers differ
STATE, SECOND_STATE, ACTIONS, LINES = (
    "state.bin",
    "state-second.bin",
    "actions-after.txt",
    "handover-lines.txt",
)


def driven_engine() -> policy_drive.PolicyDriver:
    """A decision module whose quotas, servers and balancer have all been in use."""
    engine = DecisionEngine(policy_drive.SETTINGS, FIRST_SEED)
    engine.handle(samples.START, api.EndpointList(api.ListScope.CACHED, policy_drive.SERVERS))
    drive = policy_drive.PolicyDriver(engine, FIRST_SEED, samples.START)
    drive.schedule(
        policy_drive.NEW_SERVER_AT_MS, api.EndpointList(api.ListScope.CHANGES, (policy_drive.NEW_SERVER,))
    )
    drive.handle_events(EVENTS)
    reset_quota = engine._quota._quotas[8]
    reset_quota.epoch, reset_quota.previous_epoch = 3, 2  # as after a counter that lost its data
    return drive


def encoded(engine: DecisionEngine, names: dict[int, str]) -> bytes:
    """The state of a module, encoded for the successor."""
    return state_snapshot.encode(state_snapshot.take_snapshot(engine, names))


def decoded(state: bytes) -> state_snapshot.StateSnapshot:
    """The state as decoded by the successor."""
    head, body = state.split(b"\n", 1)
    checksum, length = state_snapshot.read_head(head)
    assert length == len(body)
    return state_snapshot.decode(body, checksum)


def successor(state: bytes, now: float) -> policy_drive.PolicyDriver:
    """A new module that continues from a state, with its first actions being executed."""
    engine = DecisionEngine(policy_drive.SETTINGS, SECOND_SEED)
    servers = tuple(
        samples.server(NUMBERS[name], "a" if number in (1, 2, 5) else "b") for number, name in NAMES.items()
    )
    engine.handle(now, api.EndpointList(api.ListScope.CACHED, servers))
    actions = state_snapshot.restore_snapshot(engine, now, decoded(state), NUMBERS)
    drive = policy_drive.PolicyDriver(engine, SECOND_SEED, now)
    drive.answer(actions)
    return drive


def end_of_drive() -> float:
    """The time at which the first module's state is transferred, ms."""
    return driven_engine().now


def names_of_successor() -> dict[int, str]:
    """The servers' names by the successor's numbers."""
    return {number: name for name, number in NUMBERS.items()}


def test_the_same_events_give_the_same_state() -> None:
    assert_golden(STATE, encoded(driven_engine().gateway, NAMES))


def test_every_field_of_the_state_is_in_use() -> None:
    """With equal values in a column the test would not detect that fields are swapped."""
    state = decoded(golden(STATE))
    unused_values = (0, None)
    for columns in (
        zip(*(astuple(customer.fields) for customer in state.customers), strict=True),
        zip(*(astuple(server.fields) for server in state.servers), strict=True),
    ):
        assert all(any(value not in unused_values for value in column) for column in columns)
    gateway_fields = [*astuple(state.quota_manager), *astuple(state.balancer)]
    assert all(value not in unused_values for value in [*gateway_fields, state.retry_budget])
    assert len(set(gateway_fields)) == len(gateway_fields)
    assert len(state.customers) == len(policy_drive.CUSTOMERS) and len(state.servers) == len(NAMES)
    amounts = [
        (customer.unreported_units, customer.correction_units, customer.uncertain_units)
        for customer in state.customers
    ]
    assert all(any(column) for column in zip(*amounts, strict=True))


def test_a_decoded_state_is_encoded_to_the_same_bytes() -> None:
    assert state_snapshot.encode(decoded(golden(STATE))) == golden(STATE)


def test_a_successor_transfers_the_golden_second_state() -> None:
    drive = successor(golden(STATE), end_of_drive())
    assert_golden(SECOND_STATE, encoded(drive.gateway, names_of_successor()))


def test_a_successor_continues_with_the_golden_actions() -> None:
    drive = successor(golden(STATE), end_of_drive())
    drive.handle_events(EVENTS_AFTER)
    assert_golden(ACTIONS, text_lines(drive.record))


# The lines between the two processes ------------------------------------------------------------------


class Predecessor:
    """A gateway that sends the golden state, or the reason for having none."""

    def __init__(self, refusal: str = "") -> None:
        self._refusal = refusal
        self.notified = asyncio.Event()

    def take_snapshot(self) -> state_snapshot.StateSnapshot | str:
        return self._refusal or decoded(golden(STATE))

    def successor_ready(self, snapshot: state_snapshot.StateSnapshot) -> None:
        self.notified.set()


async def sender_refusal(folder: Path, predecessor: Predecessor, line: bytes) -> bytes:
    """The old process's answer to a line that it rejects."""
    path = folder / "refusing.sock"
    sender = transfer.SnapshotSender(path, predecessor)
    await sender.listen()
    reader, writer = await asyncio.open_unix_connection(str(path))
    writer.write(line)
    answer = await reader.read()
    writer.close()
    sender.close()
    return answer


async def sender_lines(folder: Path) -> list[bytes]:
    """The lines that the old process writes to a successor, and to a second one meanwhile."""
    path = folder / "giving.sock"
    predecessor = Predecessor()
    sender = transfer.SnapshotSender(path, predecessor)
    await sender.listen()
    reader, writer = await asyncio.open_unix_connection(str(path))
    writer.write(b"TAKE 2\n")
    head = await reader.readline()
    body = await reader.readexactly(int(head.split()[-1]))
    second_reader, second_writer = await asyncio.open_unix_connection(str(path))
    rejection = await second_reader.read()
    second_writer.close()
    writer.write(b"SERVING\n")
    await predecessor.notified.wait()
    sender.close()
    remaining_bytes = await reader.read()
    writer.close()
    assert head + body == golden(STATE)
    return [head, rejection, remaining_bytes]


async def receiver_lines(folder: Path) -> list[bytes]:
    """The lines that the new process writes, step by step, to an old one that sends the golden state."""
    path = folder / "taking.sock"
    received: list[bytes] = []

    async def serve_state(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        received.append(await reader.readline())
        writer.write(golden(STATE))
        received.append(await reader.readline())
        writer.close()

    server = await asyncio.start_unix_server(serve_state, str(path))
    ended = asyncio.Event()
    receiver = transfer.SnapshotReceiver(path)
    snapshot = await receiver.receive()
    assert snapshot is not None and state_snapshot.encode(snapshot) == golden(STATE)
    await receiver.confirm_serving(ended.set)
    await ended.wait()
    server.close()
    return received


def transfer_lines(folder: Path) -> list[str]:
    """Each line on the connection, with the side that writes it."""
    lines: list[str] = [f"address: {transfer.socket_path('folder', '../n 0').as_posix()}"]

    async def record() -> None:
        lines.extend(f"taker: {line!r}" for line in await receiver_lines(folder))
        lines.extend(f"giver: {line!r}" for line in await sender_lines(folder))
        other_version = await sender_refusal(folder, Predecessor(), b"TAKE 9\n")
        lines.append(f"giver, other version: {other_version!r}")
        ending = await sender_refusal(folder, Predecessor("this process is closing"), b"TAKE 2\n")
        lines.append(f"giver, ending: {ending!r}")

    run_test(record)
    return lines


HEADS = (b"NONSENSE", b"STATE 1 2 3", b"STATE 2 1 999999999", b"STATE 2 x 3", b"STATE 2 1")
BODIES = ((b"abc", 1), (b"\0\0\0\0", 558161692), (b"\x90", 2425393296))


def parse_errors() -> list[str]:
    """The errors for heads and bodies that are not a valid state."""
    lines = []
    for head in HEADS:
        with pytest.raises(ValueError) as caught:
            state_snapshot.read_head(head)
        lines.append(f"head {head!r}: {caught.value}")
    for body, checksum in BODIES:
        with pytest.raises(ValueError) as caught:
            state_snapshot.decode(body, checksum)
        lines.append(f"body {body!r}: {caught.value}")
    return lines


def test_the_lines_between_two_processes(tmp_path: Path) -> None:
    assert_golden(LINES, text_lines(transfer_lines(tmp_path) + parse_errors()))
