"""Compares what the cluster sends, stores and answers byte for byte with golden files (tests/golden/README.md)."""

from __future__ import annotations

import asyncio
import json
import math
import shutil
import socket
import sqlite3
from enum import Enum
from pathlib import Path
from random import Random
from typing import Any, get_args

import msgspec
import pytest

from badgeryoke.cluster import key_value, messages, unreported_usage
from badgeryoke.cluster.bootstrap_record import BootstrapRecord
from badgeryoke.cluster.call_router import reply_decoder
from badgeryoke.cluster.connection_limits.commands import ConnectionLeaseRequest
from badgeryoke.cluster.errors import AnyError, ClusterError
from badgeryoke.cluster.events import (
    ClusterCall,
    Effect,
    MessageReceived,
    NodeEvent,
    OperationCompleted,
    PersistedGroup,
    RecordsPersisted,
    SendMessage,
)
from badgeryoke.cluster.invariants import Invariants, Rule
from badgeryoke.cluster.messages import AnyMessage, Message
from badgeryoke.cluster.node import ClusterNode
from badgeryoke.cluster.node_setup import NodeSetup
from badgeryoke.cluster.placement import forced_recovery
from badgeryoke.cluster.placement import state as placement_state
from badgeryoke.cluster.placement.rendezvous import group_for_key
from badgeryoke.cluster.reservations.contract import ContractState
from badgeryoke.cluster.reservations.terms import ContractTerms, Window
from badgeryoke.cluster.rolling_restart.conditions import ClusterConditions
from badgeryoke.cluster.rolling_restart.transitions import (
    GatewayEvent,
    GatewayPhase,
    GatewayReport,
    RestartEvent,
    RestartState,
)
from badgeryoke.cluster.state_machine.command_registry import REGISTRY, encode_command
from badgeryoke.cluster.state_machine.machine import GroupStateMachine
from badgeryoke.cluster.state_machine_part import FLEET, ApplyResult, Command, LeaderView
from badgeryoke.cluster.timings import Timings
from badgeryoke.gateway.cluster.admin_calls import StatusRequest, format_answer, operator_commands, parse_call
from badgeryoke.gateway.cluster.service import ClusterService
from badgeryoke.gateway.cluster.settings import ClusterSettings
from badgeryoke.gateway.cluster.startup import node_setup
from badgeryoke.gateway.cluster.storage import ClusterStorage, open_storage
from badgeryoke.gateway.cluster.storage.format import DATABASE_FILE, WAL_FILE
from badgeryoke.gateway.cluster.transport import ClusterTransport, encode_frame
from tests.support.canonical import canonical
from tests.support.cluster_history import (
    HISTORIES,
    INCARNATION,
    MEMBER,
    SNAPSHOT_ENTRY_COUNT,
    TENANT_GROUP,
    apply_entries,
    history_entries,
    new_state,
    write_store,
)
from tests.support.cluster_samples import (
    BOOTSTRAP_RECORD,
    CASES,
    CLUSTER,
    COMMANDS,
    ERRORS,
    MESSAGES,
    RECEIVER,
    SENDER,
    START_MS,
    Case,
)
from tests.support.cluster_service import free_port
from tests.support.paths import ROOT
from tests.support.running import until
from tests.support.stand_ins import HOST

GOLDEN = ROOT / "tests" / "golden"
STORE = GOLDEN / "store" / "files"
NODE_TIME_MS = 5000.0  # the monotonic clock passed to the state machines and nodes
TABLES = ("store", "part", "shot", "entry")


def golden(name: str) -> Any:
    """The content of a golden file; raises if it is missing."""
    return json.loads((GOLDEN / name).read_text())


# Messages and log entries
# ------------------------------------------------------------------------------------


def encoded_cases() -> dict[str, str]:
    """The encoded samples in hex, by name."""
    return {case.name: case.encode(case.value).hex() for case in CASES}


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_samples_encode_to_the_golden_bytes(case: Case) -> None:
    assert case.encode(case.value).hex() == golden("cluster/bytes.json")[case.name]


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_golden_bytes_decode_to_the_samples(case: Case) -> None:
    read = case.decode(bytes.fromhex(golden("cluster/bytes.json")[case.name]))
    assert read == case.value and type(read) is type(case.value)


def test_samples_and_golden_bytes_have_the_same_names() -> None:
    assert len({case.name for case in CASES}) == len(CASES)
    assert {case.name for case in CASES} == set(golden("cluster/bytes.json"))


def concrete_types(base: type) -> set[type]:
    """The leaf subclasses of a type, without those declared in tests."""
    subclasses: list[type] = base.__subclasses__()
    subtypes = [subtype for subtype in subclasses if not subtype.__module__.startswith("tests.")]
    return set().union(*map(concrete_types, subtypes)) if subtypes else {base}


@pytest.mark.parametrize(
    ("base", "union", "samples"),
    [
        (Message, set(get_args(AnyMessage)), [message for _, message in MESSAGES]),
        (Command, set(REGISTRY.commands.values()), [command for _, command in COMMANDS]),
        (ClusterError, set(get_args(AnyError)), ERRORS),
    ],
    ids=["messages", "commands", "errors"],
)
def test_every_type_has_a_sample(base: type, union: set[type], samples: list[Any]) -> None:
    assert len(union) > 10
    assert sorted(map(str, map(type, samples))) == sorted(map(str, union)), "one sample per type"
    assert concrete_types(base) == union


def structs_within(value: object) -> list[msgspec.Struct]:
    """All Structs within a value, including the value itself."""
    if isinstance(value, msgspec.Struct):
        return [
            value,
            *(found for name in value.__struct_fields__ for found in structs_within(getattr(value, name))),
        ]
    if isinstance(value, tuple):
        return [found for item in value for found in structs_within(item)]
    return []


def test_each_field_of_messages_commands_and_nested_structs_has_a_sample_with_a_non_default_value() -> None:
    samples = [sample for case in CASES for sample in structs_within(case.value)]
    parts = {
        messages.GroupConfiguration,
        messages.LogEntry,
        messages.GossipUpdate,
        messages.Envelope,
        BootstrapRecord,
        Window,
        ContractTerms,
        ClusterConditions,
        unreported_usage.UsageLine,
        placement_state.ReplicaMove,
        placement_state.GroupPlacement,
        ConnectionLeaseRequest,
        ApplyResult,
    }
    assert parts <= set(map(type, samples))
    for kind in {type(sample) for sample in samples}:
        for field in msgspec.structs.fields(kind):
            default = field.default if field.default_factory is msgspec.NODEFAULT else field.default_factory()
            assert any(
                getattr(sample, field.name) != default for sample in samples if type(sample) is kind
            ), field.name


def stored_words() -> dict[str, list[Any]]:
    """The names of enum members, reports and parts that occur in snapshots, entries and answers."""
    names: dict[str, type[Enum]] = {
        "roll states": RestartState,
        "roll turns": RestartEvent,
        "gateway stands": GatewayPhase,
        "gateway steps": GatewayEvent,
        "rules": Rule,
    }
    values: dict[str, type[Enum]] = {
        "contract states": ContractState,
        "roll states told": RestartState,
        "gateway stands told": GatewayPhase,
    }
    return (
        {name: [member.name for member in enum] for name, enum in names.items()}
        | {name: [member.value for member in enum] for name, enum in values.items()}
        | {
            "reports": [report.value for report in GatewayReport],
            "fleet parts": list(REGISTRY.cluster_parts),
            "other parts": list(REGISTRY.group_parts),
        }
    )


def test_stored_names_match_the_golden_file() -> None:
    assert stored_words() == golden("cluster/words.json")


# The state machine
# ----------------------------------------------------------------------------------------------------


def leader_view() -> LeaderView:
    """The leader's view for either group, long after the last entry."""
    return LeaderView(
        now=NODE_TIME_MS + 1e6,
        wall=START_MS + 900_000.0,
        member_id="a/1",
        leader_since_ms=NODE_TIME_MS,
        timings=Timings(),
        alive_ids=frozenset({"a/1", "b/5", "c/3"}),
        dead_for_ms={"b/2": 1e6},
        load={"capacity": 900.0, "demand": 10.0},
        zones={"a": "east", "b": "west", "c": "east", "d": "west"},
        voters_by_group={"g0": ("a/1", "b/5", "c/3"), "g1": ("a/1", "b/5", "c/3")},
        lagging_replicas={},
    )


def history_of(group: str) -> dict[str, Any]:
    """The results of a group's history: answers, snapshots, values, and what its leader then proposes."""
    state, entries = new_state(group), history_entries(group)
    answers = apply_entries(state, entries[:SNAPSHOT_ENTRY_COUNT])
    early = state.dump()
    answers += apply_entries(state, entries[SNAPSHOT_ENTRY_COUNT:])
    late = state.dump()
    values = {name: canonical(part.dump()) for name, part in state.parts.items()}
    return {
        "entries": [entry.body.hex() for entry in entries],
        "answers": [canonical(answer) for answer in answers],
        "early": early.hex(),
        "late": late.hex(),
        "values": values,
        "work": [encode_command(START_MS, command).hex() for command in state.leader_tasks(leader_view())],
    }


@pytest.mark.parametrize("group", HISTORIES)
def test_a_history_gives_the_golden_answers_snapshots_and_tasks(group: str) -> None:
    actual, expected = history_of(group), golden("cluster/histories.json")[group]
    for name in expected:
        assert actual[name] == expected[name], name
    assert actual.keys() == expected.keys()


@pytest.mark.parametrize("group", HISTORIES)
def test_a_golden_snapshot_and_the_entries_after_it_give_the_golden_state(group: str) -> None:
    expected = golden("cluster/histories.json")[group]
    state = new_state(group)
    state.restore(NODE_TIME_MS, bytes.fromhex(expected["early"]))
    assert state.dump().hex() == expected["early"]
    answers = [
        state.apply(NODE_TIME_MS, index, bytes.fromhex(body))
        for index, body in enumerate(expected["entries"], 1)
        if index > SNAPSHOT_ENTRY_COUNT
    ]
    assert [canonical(answer) for answer in answers] == expected["answers"][SNAPSHOT_ENTRY_COUNT - 1 :]
    assert state.dump().hex() == expected["late"]
    assert {name: canonical(part.dump()) for name, part in state.parts.items()} == expected["values"]


def test_the_histories_fill_every_part() -> None:
    for group in HISTORIES:
        for name, part in new_state(group).parts.items():
            assert golden("cluster/histories.json")[group]["values"][name] != canonical(part.dump()), name


# The store
# ------------------------------------------------------------------------------------------------------------


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    """A copy of the golden store."""
    return Path(shutil.copytree(STORE, tmp_path / "store"))


def open_existing_store(folder: Path) -> ClusterStorage:
    """Open the store in a folder; fails if it is damaged or would be created anew."""
    storage = open_storage(folder, CLUSTER, MEMBER, new_incarnation=lambda: "made anew")
    assert isinstance(storage, ClusterStorage), storage
    assert not storage.faults and storage.incarnation == INCARNATION
    return storage


def restored_state(group: str, saved: PersistedGroup) -> GroupStateMachine:
    """The state of a group, restored from its snapshot and entries."""
    state = new_state(group)
    if saved.snapshot is not None:
        state.restore(NODE_TIME_MS, saved.snapshot.body)
    apply_entries(state, saved.entries)
    return state


def store_values(folder: Path) -> dict[str, Any]:
    """The stored groups, the states restored from them, and the rows of the tables."""
    storage = open_existing_store(folder)
    storage.close()
    return {
        "saved": {name: canonical(saved) for name, saved in sorted(storage.persisted_groups.items())},
        "states": {
            name: restored_state(name, storage.persisted_groups[name]).dump().hex()
            for name in ("g0", *HISTORIES)
        },
        "rows": {table: [canonical(row) for row in rows_of(folder, table)] for table in TABLES},
    }


def rows_of(folder: Path, table: str) -> list[tuple[Any, ...]]:
    """The rows of a table of the store, including checksums."""
    database = sqlite3.connect(folder / DATABASE_FILE)
    try:
        return database.execute(f"SELECT * FROM {table} ORDER BY 1, 2").fetchall()
    finally:
        database.close()


def schema_of(folder: Path) -> list[tuple[str, str]]:
    """The SQL definitions of the tables, by name."""
    database = sqlite3.connect(folder / DATABASE_FILE)
    try:
        return database.execute(
            "SELECT name, sql FROM sqlite_master WHERE sql IS NOT NULL ORDER BY name"
        ).fetchall()
    finally:
        database.close()


def test_the_golden_store_reads_as_recorded_without_repair(folder: Path) -> None:
    assert store_values(folder) == golden("store/values.json")
    assert not list(folder.glob("damaged-*"))


def test_part_of_the_golden_store_is_in_the_write_ahead_log() -> None:
    assert (STORE / WAL_FILE).stat().st_size > 4096


def test_the_golden_store_holds_the_history(folder: Path) -> None:
    """Restoring from the stored snapshot and entries gives the same state as the history without a store."""
    storage = open_existing_store(folder)
    storage.close()
    for group in HISTORIES:
        state = restored_state(group, storage.persisted_groups[group])
        assert state.dump().hex() == golden("cluster/histories.json")[group]["late"]
        assert (
            storage.persisted_groups[group].snapshot is not None
            and storage.persisted_groups[group].entries[0].index == SNAPSHOT_ENTRY_COUNT + 1
        )


def test_the_same_records_are_written_to_the_golden_rows(folder: Path, tmp_path: Path) -> None:
    written = write_store(tmp_path / "fresh")
    written.close()
    assert sorted(path.name for path in written.directory.iterdir()) == sorted(
        {"lock", "told", DATABASE_FILE}
    )
    assert store_values(written.directory) == golden("store/values.json")
    assert schema_of(written.directory) == schema_of(folder)
    assert (written.directory / "told").read_bytes() == (folder / "told").read_bytes()


# Operators' calls
# -------------------------------------------------------------------------------------------------


class StoreBackedNode:
    """Replaces the node: applies calls directly to the groups of a store, without elections, one second apart.

    The status comes from a real node that handles no events.
    """

    def __init__(
        self,
        setup: NodeSetup,
        saved: dict[str, PersistedGroup],
        draw: Random,
        now: float,
        wall: float,
        rules: Invariants,
    ) -> None:
        self.states = {name: restored_state(name, saved[name]) for name in (FLEET, "g0", TENANT_GROUP)}
        self._node = ClusterNode(setup, saved, Random(1), NODE_TIME_MS, START_MS, rules)
        self._at_ms = START_MS + 100_000.0
        self.due = math.inf

    def handle(self, now: float, wall: float, event: NodeEvent) -> list[Effect]:
        """Answer a call."""
        if not isinstance(event, ClusterCall):
            return []
        self._at_ms += 1000.0
        command = event.command
        group = group_for_key(command.key(), BOOTSTRAP_RECORD.group_count)
        if command.is_read_only:
            return [OperationCompleted(event.token, self.states[group].query(command))]
        return [OperationCompleted(event.token, self.apply(group, encode_command(self._at_ms, command)))]

    def apply(self, group: str, body: bytes) -> ApplyResult:
        """Apply one more entry to a group."""
        state = self.states[group]
        return state.apply(NODE_TIME_MS, state.index + 1, body)

    def status(self) -> dict[str, Any]:
        """The status of a node with the stored groups."""
        return self._node.status()


def cluster_settings(folder: Path) -> ClusterSettings:
    """The cluster section of the operators' file; the other members' addresses are unreachable."""
    members = [
        {"name": name, "hall": zone, "address": f"{HOST}:{port}"}
        for name, zone, port in (("a", "east", free_port()), ("b", "west", 1), ("c", "east", 2))
    ]
    return msgspec.convert(
        {"enabled": True, "name": CLUSTER, "folder": str(folder), "members": members}, ClusterSettings
    )


def answers_to(calls: list[dict[str, str]], folder: Path) -> list[str]:
    """The lines with which a service on that store answers the calls, in order.

    An "entry" is a log entry (hex) of the cluster's own group that operators cannot request; its answer is in canonical
    form.
    """

    async def run_calls() -> list[str]:
        service = ClusterService(cluster_settings(folder), MEMBER, node_factory=StoreBackedNode)
        service.start()
        await until(lambda: service.node is not None or service.failure is not None)
        try:
            node = service.node
            assert isinstance(node, StoreBackedNode), service.failure
            return [
                (await service.answer(call["call"].encode())).decode()
                if "call" in call
                else canonical(node.apply(FLEET, bytes.fromhex(call["entry"])))
                for call in calls
            ]
        finally:
            service.close()

    return asyncio.run(asyncio.wait_for(run_calls(), 20))


def test_operators_calls_get_the_golden_answers(folder: Path) -> None:
    calls = golden("cluster/calls.json")
    assert answers_to(calls, folder) == [call["answer"] for call in calls]


def test_the_golden_calls_cover_every_operators_call() -> None:
    accepted_calls = [
        entry["call"]
        for entry in golden("cluster/calls.json")
        if "call" in entry and entry["answer"].startswith("+OK")
    ]
    parsed_calls = [parse_call(call.encode()) for call in accepted_calls]
    assert {type(command) for command in parsed_calls if isinstance(command, Command)} == set(
        operator_commands().values()
    )
    assert StatusRequest() in parsed_calls


# Connections between members
# --------------------------------------------------------------------------------------------


async def next_frame(reader: asyncio.StreamReader) -> str:
    """Read one frame from a connection, and return it in hex."""
    size = await reader.readexactly(4)
    return (size + await reader.readexactly(int.from_bytes(size, "big"))).hex()


async def frames_of_dialling_side() -> dict[str, str]:
    """The frames that a transport sends on a connection that it dialled."""
    frames: asyncio.Future[dict[str, str]] = asyncio.get_running_loop().create_future()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        hello = await next_frame(reader)
        writer.write(
            encode_frame(messages.Envelope(messages.PROTOCOL_VERSION, CLUSTER, RECEIVER, SENDER, ()))
        )
        frames.set_result(
            {"hello": hello, "messages": await next_frame(reader), "question": await next_frame(reader)}
        )
        writer.close()

    async with await asyncio.start_server(serve, HOST, 0) as server:
        address = HOST, int(server.sockets[0].getsockname()[1])
        transport = ClusterTransport(
            CLUSTER, SENDER, {"b": address}, lambda sender, received: None, lambda error: None, Random(1)
        )
        for _, message in MESSAGES:
            transport.send(RECEIVER, message)
        try:
            return await frames
        finally:
            transport.close()


async def frames_of_answering_side() -> dict[str, str]:
    """The frames that a transport sends on a connection that it accepted."""
    listening = socket.create_server((HOST, 0))
    transport = ClusterTransport(
        CLUSTER, RECEIVER, {"a": (HOST, 1)}, lambda sender, received: None, lambda error: None, Random(1)
    )
    transport.listen([listening])
    reader, writer = await asyncio.open_connection(HOST, listening.getsockname()[1])
    try:
        hello = encode_frame(messages.Envelope(messages.PROTOCOL_VERSION, CLUSTER, SENDER, "b", ()))
        writer.write(hello)
        first = await next_frame(reader)
        writer.write(hello)
        return {"hello": first, "answer": await next_frame(reader)}
    finally:
        writer.close()
        transport.close()


def link_frames() -> dict[str, dict[str, str]]:
    """The frames of both sides."""
    return {
        "dialled": asyncio.run(asyncio.wait_for(frames_of_dialling_side(), 20)),
        "answered": asyncio.run(asyncio.wait_for(frames_of_answering_side(), 20)),
    }


def test_link_frames_match_the_golden_file() -> None:
    assert link_frames() == golden("cluster/exchanges.json")["links"]


def node_events() -> list[NodeEvent]:
    """Events for a member that restarts with the golden store: messages from a leader, and calls."""
    last = history_entries(TENANT_GROUP)[-1]
    put = key_value.PutValue(id="x1", name="note", value="armed")
    entry = messages.LogEntry(
        last.index + 1, 8, messages.EntryKind.COMMAND, encode_command(START_MS + 70_000.0, put)
    )
    group = group_for_key(put.key(), BOOTSTRAP_RECORD.group_count)
    append = messages.AppendEntries(
        group=TENANT_GROUP,
        term=8,
        prev_log_index=last.index,
        prev_log_term=last.term,
        entries=(entry,),
        leader_commit=last.index,
        heartbeat_round=1,
    )
    heartbeat = messages.AppendEntries(
        group=TENANT_GROUP,
        term=8,
        prev_log_index=entry.index,
        prev_log_term=8,
        entries=(),
        leader_commit=entry.index,
        heartbeat_round=2,
    )
    call = encode_command(START_MS + 71_000.0, put)
    received: list[messages.AnyMessage] = [
        messages.ForwardedCall(token="c.1", group=group, body=call, hops=1),
        messages.ForwardedCall(token="c.2", group="g9", body=call, hops=1),
        messages.ForwardedCall(token="c.3", group=group, body=b"\xc1", hops=1),
        messages.ForwardedCall(
            token="c.4",
            group=group,
            hops=1,
            body=encode_command(START_MS, key_value.PutValue(id="x2", name="", value="")),
        ),
        messages.IdentityQuery(sender_zone="east"),
        messages.Ping(seq=3, target="a/1", gossip=(), wall_clock_ms=START_MS),
        messages.RequestVote(
            group="g0", term=5, last_log_index=9, last_log_term=4, pre_vote=False, leadership_transfer=True
        ),
        append,
    ]
    return [
        *(MessageReceived("c/3", message) for message in received),
        RecordsPersisted("g0", 1),
        RecordsPersisted(TENANT_GROUP, 1),
        RecordsPersisted(TENANT_GROUP, 2),
        MessageReceived("c/3", heartbeat),
        ClusterCall("a.1", put),
        ClusterCall("a.2", key_value.ReadValue(id="x3", name="note")),
    ]


def node_exchange(folder: Path) -> list[list[str]]:
    """The effects of the node for each event, in canonical form; messages also as their bytes in hex."""
    storage = open_existing_store(folder)
    storage.close()
    setup = node_setup(cluster_settings(folder), MEMBER, storage.incarnation)
    node = ClusterNode(
        setup, storage.persisted_groups, Random(1), NODE_TIME_MS, START_MS + 80_000.0, Invariants(strict=True)
    )
    exchange: list[list[str]] = []
    for event in node_events():
        effects = node.handle(NODE_TIME_MS + 1.0, START_MS + 80_000.0, event)
        exchange.append(
            [canonical(effect) for effect in effects]
            + [
                msgspec.msgpack.encode(effect.message).hex()
                for effect in effects
                if isinstance(effect, SendMessage)
            ]
        )
    return exchange


def test_a_restarted_node_answers_and_stores_as_recorded(folder: Path) -> None:
    assert node_exchange(folder) == golden("cluster/exchanges.json")["node"]


def forced_log(folder: Path) -> str:
    """The log of a group after a forced recovery with a single voter."""
    storage = open_existing_store(folder)
    storage.close()
    return canonical(
        forced_recovery.force_sole_voter(
            storage.persisted_groups[TENANT_GROUP], TENANT_GROUP, "a/1", ("b/2", "c/3"), START_MS + 90_000.5
        )
    )


def test_a_forced_recovery_gives_the_golden_log(folder: Path) -> None:
    assert forced_log(folder) == golden("cluster/exchanges.json")["forced"]


REPLIES = ((ApplyResult(value=["armed", 3]), None, "c/3"), *((None, error, "c/3") for error in ERRORS))


@pytest.mark.parametrize("reply", REPLIES, ids=["applied", *(error.code for error in ERRORS)])
def test_forwarded_replies_have_the_golden_bytes(reply: tuple[Any, Any, str]) -> None:
    name = "applied" if reply[1] is None else reply[1].code
    body = golden("cluster/exchanges.json")["replies"][name]
    assert msgspec.msgpack.encode(reply).hex() == body
    assert reply_decoder.decode(bytes.fromhex(body)) == reply


@pytest.mark.parametrize("error", ERRORS, ids=lambda error: error.code)
def test_errors_have_the_golden_lines(error: AnyError) -> None:
    assert format_answer(error).decode() == golden("cluster/exchanges.json")["lines"][error.code]
