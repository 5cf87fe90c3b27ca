"""The cluster's settings, its admin calls, and the service around the node, for which a scripted one stands in."""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import re
import subprocess
import sys
from collections.abc import Callable, Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec
import pytest

from badgeryoke.cluster import errors
from badgeryoke.cluster.events import (
    ClusterCall,
    Entries,
    HardState,
    LeaveCluster,
    LogEvent,
    MessageReceived,
    OperationCompleted,
    PersistRecords,
    RecordsPersisted,
    SendMessage,
    Snapshot,
    StorageFailure,
    Tick,
)
from badgeryoke.cluster.invariants import Rule
from badgeryoke.cluster.key_value import PutValue
from badgeryoke.cluster.messages import EntryKind, GroupConfiguration, LogEntry, RequestVoteReply
from badgeryoke.cluster.state_machine_part import ApplyResult
from badgeryoke.gateway.application import GatewayApplication
from badgeryoke.gateway.cluster import service as service_module
from badgeryoke.gateway.cluster import startup as startup_module
from badgeryoke.gateway.cluster.admin_calls import StatusRequest, format_answer, parse_call
from badgeryoke.gateway.cluster.service import ClusterService
from badgeryoke.gateway.cluster.startup import node_setup
from badgeryoke.gateway.cluster.storage import ClusterStorage, StorageWriter, open_storage
from badgeryoke.gateway.config.errors import ConfigError
from badgeryoke.gateway.config.operators_file import Operators, OperatorsError, read_operators
from tests.support.cluster_service import ScriptedNode, cluster_settings, feed, running_service
from tests.support.paths import ROOT
from tests.support.running import until
from tests.support.stand_ins import (
    HOST,
    Backend,
    Discovery,
    config,
    connect,
    endpoint_snapshot,
    entry,
    gateway,
)
from tests.support.transport import run_with_timeout

MEMBERS = "\n".join(
    f'[[fleet.members]]\nname = "{name}"\nhall = "h"\naddress = "{HOST}:{port}"'
    for name, port in (("a", 7001), ("b", 7002), ("c", 7003))
)
GOOD = 'enabled = true\nname = "f"\nfolder = "/tmp/f"'


def written(tmp_path: Path, head: str, members: str = MEMBERS) -> Path:
    path = tmp_path / "badgeryoke.toml"
    path.write_text(f"[fleet]\n{head}\n{members}\n")
    return path


# The operators' file


def test_a_valid_section_becomes_a_node_setup(tmp_path: Path) -> None:
    fleet = read_operators(
        written(
            tmp_path,
            f"""{GOOD}
        me = "b"\ncopies = 3\ntimings = {{ lease_ms = 4000.0 }}
        servers = {{ connections = 24, limits = {{ s1 = 8 }} }}\nforced = {{ g1 = ["a/1", "c/2"] }}""",
        )
    ).fleet
    made = node_setup(fleet, "gw", "x1")
    assert (made.member_id, made.replication_factor, made.timings.lease_ms) == ("b/x1", 3, 4000.0)
    assert made.connection_limits == {"*": 24, "s1": 8} and [one.name for one in made.members] == [
        "a",
        "b",
        "c",
    ]
    assert node_setup(msgspec.structs.replace(fleet, me=""), "c", "x1").member_name == "c"


@pytest.mark.parametrize(
    ("head", "members", "key"),
    [
        ("enabled = true", MEMBERS, "fleet.name: expected"),
        ('enabled = true\nname = "f"', MEMBERS, "fleet.folder: missing"),
        (f"{GOOD}\ncopies = 2", MEMBERS, "fleet.copies: expected 3 or 5"),
        (f"{GOOD}\ncopies = 5", MEMBERS, "fleet.members: 3 cannot hold 5"),
        (f"{GOOD}\ngroups = 0", MEMBERS, "fleet.groups: expected 1 to"),
        (f"{GOOD}\ncapacity = -1.0", MEMBERS, "fleet.capacity"),
        (f'{GOOD}\ncapacity = "all"', MEMBERS, "fleet.capacity: Expected float"),
        (f"{GOOD}\ncopy = 3", MEMBERS, "fleet.copy: unknown; did you mean fleet.copies?"),
        (f'{GOOD}\nme = "z"', MEMBERS, "fleet.me: 'z' is no member"),
        (GOOD, MEMBERS.replace('"b"', '"a"'), "fleet.members[1].name: 'a' stands twice"),
        (GOOD, MEMBERS.replace("7002", "7001"), "fleet.members[0].address: '127.0.0.1:7001' stands twice"),
        (GOOD, MEMBERS.replace(f"{HOST}:7003", "host:7003"), "fleet.members[2].address: expected IP:PORT"),
        (GOOD, MEMBERS.replace('name = "c"', 'name = "c/1"'), "fleet.members[2].name: expected"),
        (GOOD, MEMBERS.replace('name = "c"\n', ""), "fleet.members[2].name: missing"),
        (
            GOOD,
            MEMBERS.replace("hall", "haul"),
            "fleet.members[0].haul: unknown; did you mean fleet.members[0].hall?",
        ),
        (f"{GOOD}\nmembers = 3", "", "fleet.members: expected tables"),
        (
            f"{GOOD}\ntimings = {{ lease_ms = 100.0 }}",
            MEMBERS,
            "fleet.timings.lease_ms: expected two election_ms",
        ),
        (f"{GOOD}\ntimings = {{ lease = 100.0 }}", MEMBERS, "fleet.timings.lease: unknown"),
        (f"{GOOD}\nservers = {{ limits = {{ s1 = 0 }} }}", MEMBERS, "fleet.servers.limits.s1: expected 1 to"),
        (f"{GOOD}\nservers = {{ connections = -1 }}", MEMBERS, "fleet.servers.connections: expected 0 to"),
        (f'{GOOD}\nforced = {{ h1 = ["a/1"] }}', MEMBERS, "fleet.forced.h1: expected a group"),
        (f'{GOOD}\nforced = {{ g1 = ["a"] }}', MEMBERS, "fleet.forced.g1: expected the members given up"),
    ],
    ids=[
        "no name",
        "no folder",
        "even number of replicas",
        "more replicas than members",
        "no group",
        "negative capacity",
        "capacity of another type",
        "unknown key",
        "me is no member",
        "duplicate name",
        "duplicate address",
        "address without an IP",
        "name with a slash",
        "member without a name",
        "unknown key of a member",
        "members not a table",
        "lease shorter than two elections",
        "unknown timing",
        "limit of 0",
        "negative default limit",
        "forced: unknown group",
        "forced: no incarnation",
    ],
)
def test_each_invalid_setting_is_reported_by_its_key(
    head: str, members: str, key: str, tmp_path: Path
) -> None:
    with pytest.raises(OperatorsError, match=re.escape(key)):
        read_operators(written(tmp_path, head, members))
    off = written(tmp_path, head.replace("enabled = true", "enabled = false"), members)
    with pytest.raises(OperatorsError, match=re.escape(key)):
        read_operators(off, all_sections=True)  # as `check` reads it
    assert read_operators(off).fleet is None


def test_a_gateway_that_is_no_member_does_not_start(tmp_path: Path) -> None:
    fleet = read_operators(written(tmp_path, GOOD)).fleet

    async def test() -> None:
        made = replace(config(1, None, endpoint_snapshot()), name="gw-9", operators=Operators(fleet=fleet))
        with pytest.raises(ConfigError, match=r"fleet.me: 'gw-9' is no member"):
            GatewayApplication(made)

    asyncio.run(test())


def test_cluster_modules_are_not_loaded_where_the_cluster_is_off() -> None:
    script = (
        "import sys, pathlib, badgeryoke.__main__, badgeryoke.gateway.admin.server; "
        "from badgeryoke.gateway.config.operators_file import read_operators; "
        "print(read_operators(pathlib.Path('deploy/badgeryoke.toml')).fleet, [m for m in sys.modules "
        "if 'cluster' in m.split('.') or m in ('sqlite3', 'xxhash')])"
    )
    said = subprocess.run(
        [sys.executable, "-c", script], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert said.stdout.strip() == "None []"


def test_the_documented_errors_match_the_error_types() -> None:
    """docs/operators/errors.md has one row for each, in order, with the words of the code."""
    rows = re.findall(
        r"^\| `([a-z-]+)` \| (.*?) \| (.*?) \| (yes|no) \|$",
        (ROOT / "docs/operators/errors.md").read_text(),
        re.M,
    )
    assert rows == [
        (
            one.code,
            " ".join((one.__doc__ or "").split()).rstrip("."),
            one.remedy,
            "yes" if one.is_retryable else "no",
        )
        for one in errors.ALL_ERRORS
    ]
    assert all(one.code and one.remedy for one in errors.ALL_ERRORS)
    assert sorted(one.code for one in errors.ClusterError.__subclasses__()) == sorted(
        one.code for one in errors.ALL_ERRORS
    )


# Admin calls


@pytest.mark.parametrize(
    ("raw", "whom", "what"),
    [
        (b"", "call", "expected one JSON object"),
        (b"{", "call", "expected one JSON object"),
        (b"[1]", "call", "expected one JSON object"),
        (b"\xff", "call", "expected one JSON object"),
        (b"[" * 60_000, "call", "expected one JSON object"),
        (b"{}", "do", "missing"),
        (b'{"do": 3}', "do", "missing"),
        (b'{"do": "promis"}', "do", "did you mean Promise?"),
        (b'{"do": "Pass", "id": "1"}', "do", "'Pass' is unknown"),
        (b'{"do": "put", "name": "n", "value": "v"}', "id", "missing"),
        (b'{"do": "put", "id": "", "name": "n", "value": "v"}', "id", "expected 1 to"),
        (b'{"do": "put", "id": 1, "name": "n", "value": "v"}', "id", "Expected str"),
        (b'{"do": "put", "id": "1", "name": "n"}', "call", "missing required field value"),
        (b'{"do": "put", "id": "1", "nam": "n"}', "nam", "did you mean name?"),
        (b'{"do": "put", "id": "1", "name": "", "value": ""}', "name", "expected 1 to 128"),
    ],
    ids=[
        "empty line",
        "truncated",
        "not an object",
        "not UTF-8",
        "nested too deep",
        "no name",
        "name not a text",
        "misspelt name",
        "not for operators",
        "no id",
        "empty id",
        "id not a text",
        "missing field",
        "misspelt field",
        "field out of bounds",
    ],
)
def test_an_invalid_call_is_answered_with_the_key_at_fault(raw: bytes, whom: str, what: str) -> None:
    read = parse_call(raw)
    assert isinstance(read, errors.InvalidCall) and read.subject == whom and what in read.detail
    said = json.loads(format_answer(read).removeprefix(b"-ERR "))
    assert said["error"] == "bad-call" and said["do"] == errors.InvalidCall.remedy and said["whom"] == whom


def test_calls_are_accepted_by_alias_and_in_any_case() -> None:
    put = PutValue(id="1", name="n", value="v")
    for word in ("put", "Promise", "promise"):
        assert parse_call(json.dumps({"do": word, "id": "1", "name": "n", "value": "v"}).encode()) == put
    for word in ("get", "PromiseRead", "promise-read", "promise_read"):
        read = parse_call(json.dumps({"do": word, "name": "n"}).encode())
        assert not isinstance(read, StatusRequest | errors.ClusterError) and read.is_read_only and read.id
    assert parse_call(b'{"do": "Status"}') == StatusRequest()
    assert format_answer(ApplyResult({"a": 1})) == b'+OK {"a":1}\n'


# The service


def test_effects_are_carried_out_and_their_results_fed_back(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        async with running_service(tmp_path) as (service, node):
            assert isinstance(node.events[0], Tick) and node.setup.member_id == f"a/{node.setup.incarnation}"

            def effects_of(event: Any) -> list[Any]:
                if isinstance(event, ClusterCall):
                    assert isinstance(event.command, PutValue)
                    return [
                        LogEvent("warning", "asked", {"of": event.command.name}),
                        PersistRecords("g", 1, (HardState(1, "a/1"),)),
                        PersistRecords("h", 2, (HardState(2, ""),)),
                        SendMessage("b/1", RequestVoteReply("g", 1, True, False)),
                    ]
                if isinstance(event, RecordsPersisted) and event.group == "h":
                    return [
                        OperationCompleted("a.1", ApplyResult("kept")),
                        OperationCompleted("a.1", "twice"),
                        OperationCompleted("nobody", None),
                    ]
                return []

            node.effects_of = effects_of
            assert (
                await service.answer(b'{"do": "put", "id": "1", "name": "n", "value": "v"}')
                == b'+OK "kept"\n'
            )
            assert node.events_of_type(RecordsPersisted) == [
                RecordsPersisted("g", 1),
                RecordsPersisted("h", 2),
            ]
            assert service.running is not None
            assert service.running.writer.transactions == 1 and "asked: of n" in caplog.text
            assert service.running.transport.status().keys() == {"b", "c"}
            service.running.on_messages("b/1", (RequestVoteReply("g", 1, True, False),))
            assert node.events_of_type(MessageReceived) == [
                MessageReceived("b/1", RequestVoteReply("g", 1, True, False))
            ]
            status = json.loads((await service.answer(b'{"do": "status"}')).removeprefix(b"+OK "))
            assert (
                status["groups"]["g0"]["state"] == "leader" and status["broken"] == 0 and not status["errors"]
            )

    run_with_timeout(test)


def test_a_tick_is_delivered_when_the_node_is_due(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_service(tmp_path) as (service, node):
            before = len(node.events_of_type(Tick))

            def effects_of(event: Any) -> list[Any]:
                node.due = (
                    service.clock.monotonic_ms() + 5.0
                    if len(node.events_of_type(Tick)) < before + 3
                    else math.inf
                )
                return []

            node.effects_of = effects_of
            feed(service, Tick())
            await until(lambda: len(node.events_of_type(Tick)) == before + 3)
            assert service.running is not None and not service.running.timer_armed

    run_with_timeout(test)


def test_a_call_without_an_answer_times_out_and_leaving_is_bounded(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(service_module, "LEAVE_TIMEOUT_S", 0.02)

    async def test() -> None:
        async with running_service(tmp_path) as (service, node):
            assert isinstance(
                await service.call(PutValue(id="1", name="n", value="v")), errors.UnknownOutcome
            )
            assert not service.pending_call_count
            await service.leave()
            await service.leave()
            assert len(node.events_of_type(LeaveCluster)) == 1
            asked = asyncio.ensure_future(service.call(PutValue(id="2", name="n", value="v")))
            await until(lambda: len(node.events_of_type(ClusterCall)) == 2)
            service.close()
            assert isinstance(await asked, errors.UnknownOutcome)
            assert isinstance(await service.call(PutValue(id="2", name="n", value="v")), errors.NoLeader)

    run_with_timeout(test)


def breaking_an_invariant(node: ScriptedNode) -> Callable[[Any], list[Any]]:
    def effects_of(event: Any) -> list[Any]:
        node.invariants.check(Rule.VOTE_ONCE, False, lambda: "two in term 3")
        return [OperationCompleted("a.1", ApplyResult("a lie"))]

    return effects_of


def raising_an_exception(node: ScriptedNode) -> Callable[[Any], list[Any]]:
    def effects_of(event: Any) -> list[Any]:
        raise ValueError("no such group")

    return effects_of


@pytest.mark.parametrize(
    ("way", "word"),
    [(breaking_an_invariant, "VOTE_ONCE"), (raising_an_exception, "the log has the cause")],
    ids=["invariant", "exception"],
)
def test_a_broken_invariant_or_an_exception_stops_the_member_alone(
    way: Callable[[ScriptedNode], Callable[[Any], list[Any]]], word: str, tmp_path: Path
) -> None:
    """What it wanted done behind the broken rule is not done; calls under way are told that nobody knows."""

    async def test() -> None:
        async with running_service(tmp_path) as (service, node):
            node.effects_of = way(node)
            assert isinstance(
                await service.call(PutValue(id="1", name="n", value="v")), errors.UnknownOutcome
            )
            after = await service.call(PutValue(id="1", name="n", value="v"))
            assert isinstance(after, errors.InvariantBroken) and word in after.detail
            events = len(node.events)
            feed(service, Tick())
            assert len(node.events) == events
            said = json.loads((await service.answer(b'{"do": "status"}')).removeprefix(b"+OK "))
            assert "invariant-broken" in said["errors"][0]

    run_with_timeout(test)


def test_a_storage_failure_is_fed_to_the_node_once(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    def full(*_: Any) -> None:
        raise OSError(28, "No space left on device")

    async def test() -> None:
        async with running_service(tmp_path) as (service, node):
            monkeypatch.setattr(ClusterStorage, "write", full)
            node.effects_of = lambda event: [PersistRecords("g", 1, (HardState(1, ""),))]
            feed(service, Tick())
            feed(service, Tick())
            await until(lambda: node.events_of_type(StorageFailure))
            feed(service, Tick())
            assert (
                not node.events_of_type(RecordsPersisted)
                and len(node.events_of_type(StorageFailure)) == 1
                and service.failure is None
            )
            assert "store-failed" in service.status()["errors"][0]

    run_with_timeout(test)


def test_opening_waits_for_the_process_that_holds_the_directory(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(startup_module, "RETRY_INTERVAL_S", 0.01)

    async def test() -> None:
        held = open_storage(tmp_path / "s", "f", "a")
        assert isinstance(held, ClusterStorage)
        service = ClusterService(cluster_settings(tmp_path), "a", node_factory=ScriptedNode)
        service.start()
        assert isinstance(await service.call(PutValue(id="1", name="n", value="v")), errors.NoLeader)
        await asyncio.sleep(0.05)
        assert service.node is None
        held.close()
        await until(lambda: service.node is not None)
        service.close()
        other = ClusterService(cluster_settings(tmp_path, name="other"), "a", node_factory=ScriptedNode)
        other.start()
        await until(lambda: other.failure is not None)
        assert isinstance(other.failure, errors.ClusterMismatch)
        other.close()

    run_with_timeout(test)


def test_a_group_is_forced_to_go_on_without_its_majority_once(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    me, others = "a/x1", ("b/1", "c/1")
    disk = open_storage(tmp_path / "s", "f", "a", new_incarnation=lambda: "x1")
    assert isinstance(disk, ClusterStorage)
    disk.write(
        [
            PersistRecords(
                "g1",
                0,
                (
                    HardState(4, ""),
                    Snapshot(1, 1, GroupConfiguration((me, *others)), b""),
                    Entries((LogEntry(2, 4, EntryKind.NOTHING, b""),)),
                ),
            )
        ]
    )
    disk.close()

    async def test() -> None:
        for words, count in (("BY HAND", 4), ("nothing to do", 4)):
            async with running_service(tmp_path, forced={"g1": others, "g2": others}) as (_, node):
                assert words in caplog.text and "fleet.forced.g2: this member holds no copy" in caplog.text
                assert node.saved["g1"].voted_for == me and len(node.saved["g1"].entries) == count
            caplog.clear()

    run_with_timeout(test)


# In a gateway


@contextlib.contextmanager
def scripted(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    with monkeypatch.context() as patched:
        patched.setattr(service_module, "ClusterNode", ScriptedNode)
        yield


async def call(app: GatewayApplication, line: bytes) -> bytes:
    reader, writer = await connect(app.lifecycle.admin_address)
    writer.write(line)
    said = await reader.read()
    writer.close()
    return said


def test_the_admin_address_takes_fleet_calls_and_shutdown_waits_for_the_node(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with Backend() as node, Discovery(entry("a", node.port)) as list_:
            made = replace(
                config(list_.port, None, endpoint_snapshot(entry("a", node.port))),
                mgmt=(HOST, 0),
                drain_s=0.01,
            )
            async with gateway(made) as app:
                assert (await call(app, b"FLEET {}\n")).startswith(b"-ERR fleet is off:")
                assert await call(app, b"FLEET " + b"x" * 300 + b"\n") == await call(app, b"FLEET\n")
            made = replace(made, name="a", operators=Operators(fleet=cluster_settings(tmp_path)))
            async with gateway(made) as app:
                await until(lambda: app.parts.cluster is not None and app.parts.cluster.node is not None)
                assert app.parts.cluster is not None
                script = app.parts.cluster.node
                assert isinstance(script, ScriptedNode)
                script.effects_of = lambda event: (
                    [OperationCompleted("a.1", ApplyResult([1]))]
                    if isinstance(event, ClusterCall)
                    else [OperationCompleted(event.token, None)]
                    if isinstance(event, LeaveCluster)
                    else []
                )
                long = json.dumps({"do": "put", "id": "1", "name": "n", "value": "v" * 1000}).encode()
                assert await call(app, b"FLEET " + long + b"\n") == b"+OK [1]\n"
                for line in (b"FLEET " + b"x" * 70_000 + b"\n", b"y" * 300 + b"\n", b"y" * 300):
                    assert await call(app, line) == b"-ERR line too long\n"
                assert (await call(app, b"FLEET {}\n")).startswith(b'-ERR {"error":"bad-call","whom":"do"')
                app.end()
                await app.done.wait()
                assert len(script.events_of_type(LeaveCluster)) == 1
                again = open_storage(tmp_path / "s", "f", "a")  # let go
                assert isinstance(again, ClusterStorage)
                again.close()

    with scripted(monkeypatch):
        run_with_timeout(test)


def test_a_closed_writer_ignores_requests(tmp_path: Path) -> None:
    disk = open_storage(tmp_path / "s", "f", "a")
    assert isinstance(disk, ClusterStorage)
    writer = StorageWriter(disk, lambda *_: None, lambda _: None, lambda _: None)
    writer.close(10)
    writer.submit([PersistRecords("g", 1, (HardState(1, ""),))])
    again = open_storage(tmp_path / "s", "f", "a")
    assert isinstance(again, ClusterStorage) and not again.persisted_groups
    again.close()
