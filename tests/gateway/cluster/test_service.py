"""Tests of the cluster's settings, its admin calls, and its service with a scripted node."""

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
VALID_SECTION = 'enabled = true\nname = "f"\nfolder = "/tmp/f"'


def write_operators_file(tmp_path: Path, section: str, members: str = MEMBERS) -> Path:
    path = tmp_path / "badgeryoke.toml"
    path.write_text(f"[fleet]\n{section}\n{members}\n")
    return path


# The operators' file


def test_a_valid_section_becomes_a_node_setup(tmp_path: Path) -> None:
    fleet = read_operators(
        write_operators_file(
            tmp_path,
            f"""{VALID_SECTION}
        me = "b"\ncopies = 3\ntimings = {{ lease_ms = 4000.0 }}
        servers = {{ connections = 24, limits = {{ s1 = 8 }} }}\nforced = {{ g1 = ["a/1", "c/2"] }}""",
        )
    ).fleet
    setup = node_setup(fleet, "gw", "x1")
    assert (setup.member_id, setup.replication_factor, setup.timings.lease_ms) == ("b/x1", 3, 4000.0)
    assert setup.connection_limits == {"*": 24, "s1": 8} and [member.name for member in setup.members] == [
        "a",
        "b",
        "c",
    ]
    assert node_setup(msgspec.structs.replace(fleet, me=""), "c", "x1").member_name == "c"


@pytest.mark.parametrize(
    ("section", "members", "message"),
    [
        ("enabled = true", MEMBERS, "fleet.name: expected"),
        ('enabled = true\nname = "f"', MEMBERS, "fleet.folder: missing"),
        (f"{VALID_SECTION}\ncopies = 2", MEMBERS, "fleet.copies: expected 3 or 5"),
        (f"{VALID_SECTION}\ncopies = 5", MEMBERS, "fleet.members: 3 cannot hold 5"),
        (f"{VALID_SECTION}\ngroups = 0", MEMBERS, "fleet.groups: expected 1 to"),
        (f"{VALID_SECTION}\ncapacity = -1.0", MEMBERS, "fleet.capacity"),
        (f'{VALID_SECTION}\ncapacity = "all"', MEMBERS, "fleet.capacity: Expected float"),
        (f"{VALID_SECTION}\ncopy = 3", MEMBERS, "fleet.copy: unknown; did you mean fleet.copies?"),
        (f'{VALID_SECTION}\nme = "z"', MEMBERS, "fleet.me: 'z' is no member"),
        (VALID_SECTION, MEMBERS.replace('"b"', '"a"'), "fleet.members[1].name: 'a' stands twice"),
        (
            VALID_SECTION,
            MEMBERS.replace("7002", "7001"),
            "fleet.members[0].address: '127.0.0.1:7001' stands twice",
        ),
        (
            VALID_SECTION,
            MEMBERS.replace(f"{HOST}:7003", "host:7003"),
            "fleet.members[2].address: expected IP:PORT",
        ),
        (VALID_SECTION, MEMBERS.replace('name = "c"', 'name = "c/1"'), "fleet.members[2].name: expected"),
        (VALID_SECTION, MEMBERS.replace('name = "c"\n', ""), "fleet.members[2].name: missing"),
        (
            VALID_SECTION,
            MEMBERS.replace("hall", "haul"),
            "fleet.members[0].haul: unknown; did you mean fleet.members[0].hall?",
        ),
        (f"{VALID_SECTION}\nmembers = 3", "", "fleet.members: expected tables"),
        (
            f"{VALID_SECTION}\ntimings = {{ lease_ms = 100.0 }}",
            MEMBERS,
            "fleet.timings.lease_ms: expected two election_ms",
        ),
        (f"{VALID_SECTION}\ntimings = {{ lease = 100.0 }}", MEMBERS, "fleet.timings.lease: unknown"),
        (
            f"{VALID_SECTION}\nservers = {{ limits = {{ s1 = 0 }} }}",
            MEMBERS,
            "fleet.servers.limits.s1: expected 1 to",
        ),
        (
            f"{VALID_SECTION}\nservers = {{ connections = -1 }}",
            MEMBERS,
            "fleet.servers.connections: expected 0 to",
        ),
        (f'{VALID_SECTION}\nforced = {{ h1 = ["a/1"] }}', MEMBERS, "fleet.forced.h1: expected a group"),
        (
            f'{VALID_SECTION}\nforced = {{ g1 = ["a"] }}',
            MEMBERS,
            "fleet.forced.g1: expected the members given up",
        ),
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
    section: str, members: str, message: str, tmp_path: Path
) -> None:
    with pytest.raises(OperatorsError, match=re.escape(message)):
        read_operators(write_operators_file(tmp_path, section, members))
    disabled_file = write_operators_file(
        tmp_path, section.replace("enabled = true", "enabled = false"), members
    )
    with pytest.raises(OperatorsError, match=re.escape(message)):
        read_operators(disabled_file, all_sections=True)  # as the `check` command reads it
    assert read_operators(disabled_file).fleet is None


def test_a_gateway_that_is_not_a_member_does_not_start(tmp_path: Path) -> None:
    fleet = read_operators(write_operators_file(tmp_path, VALID_SECTION)).fleet

    async def test() -> None:
        gateway_config = replace(
            config(1, None, endpoint_snapshot()), name="gw-9", operators=Operators(fleet=fleet)
        )
        with pytest.raises(ConfigError, match=r"fleet.me: 'gw-9' is no member"):
            GatewayApplication(gateway_config)

    asyncio.run(test())


def test_cluster_modules_are_not_loaded_where_the_cluster_is_off() -> None:
    script = (
        "import sys, pathlib, badgeryoke.__main__, badgeryoke.gateway.admin.server; "
        "from badgeryoke.gateway.config.operators_file import read_operators; "
        "print(read_operators(pathlib.Path('deploy/badgeryoke.toml')).fleet, [m for m in sys.modules "
        "if 'cluster' in m.split('.') or m in ('sqlite3', 'xxhash')])"
    )
    completed = subprocess.run(
        [sys.executable, "-c", script], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert completed.stdout.strip() == "None []"


def test_the_documented_errors_match_the_error_types() -> None:
    """docs/operators/errors.md has one row for each type, in order, with the meaning and remedy from the code."""
    rows = re.findall(
        r"^\| `([a-z-]+)` \| (.*?) \| (.*?) \| (yes|no) \|$",
        (ROOT / "docs/operators/errors.md").read_text(),
        re.M,
    )
    assert rows == [
        (
            error_type.code,
            " ".join((error_type.__doc__ or "").split()).rstrip("."),
            error_type.remedy,
            "yes" if error_type.is_retryable else "no",
        )
        for error_type in errors.ALL_ERRORS
    ]
    assert all(error_type.code and error_type.remedy for error_type in errors.ALL_ERRORS)
    assert sorted(error_type.code for error_type in errors.ClusterError.__subclasses__()) == sorted(
        error_type.code for error_type in errors.ALL_ERRORS
    )


# Admin calls


@pytest.mark.parametrize(
    ("raw", "subject", "detail"),
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
def test_an_invalid_call_is_answered_with_the_key_at_fault(raw: bytes, subject: str, detail: str) -> None:
    parsed = parse_call(raw)
    assert isinstance(parsed, errors.InvalidCall) and parsed.subject == subject and detail in parsed.detail
    answer = json.loads(format_answer(parsed).removeprefix(b"-ERR "))
    assert (
        answer["error"] == "bad-call"
        and answer["do"] == errors.InvalidCall.remedy
        and answer["whom"] == subject
    )


def test_calls_are_accepted_by_alias_and_in_any_case() -> None:
    put = PutValue(id="1", name="n", value="v")
    for name in ("put", "Promise", "promise"):
        assert parse_call(json.dumps({"do": name, "id": "1", "name": "n", "value": "v"}).encode()) == put
    for name in ("get", "PromiseRead", "promise-read", "promise_read"):
        parsed = parse_call(json.dumps({"do": name, "name": "n"}).encode())
        assert (
            not isinstance(parsed, StatusRequest | errors.ClusterError) and parsed.is_read_only and parsed.id
        )
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
                        LogEvent("warning", "received", {"name": event.command.name}),
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
            assert service.running.writer.transactions == 1 and "received: name n" in caplog.text
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
            ticks_before = len(node.events_of_type(Tick))

            def effects_of(event: Any) -> list[Any]:
                node.due = (
                    service.clock.monotonic_ms() + 5.0
                    if len(node.events_of_type(Tick)) < ticks_before + 3
                    else math.inf
                )
                return []

            node.effects_of = effects_of
            feed(service, Tick())
            await until(lambda: len(node.events_of_type(Tick)) == ticks_before + 3)
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
            pending_call = asyncio.ensure_future(service.call(PutValue(id="2", name="n", value="v")))
            await until(lambda: len(node.events_of_type(ClusterCall)) == 2)
            service.close()
            assert isinstance(await pending_call, errors.UnknownOutcome)
            assert isinstance(await service.call(PutValue(id="2", name="n", value="v")), errors.NoLeader)

    run_with_timeout(test)


def breaking_an_invariant(node: ScriptedNode) -> Callable[[Any], list[Any]]:
    def effects_of(event: Any) -> list[Any]:
        node.invariants.check(Rule.VOTE_ONCE, False, lambda: "two in term 3")
        return [OperationCompleted("a.1", ApplyResult("not delivered"))]

    return effects_of


def raising_an_exception(node: ScriptedNode) -> Callable[[Any], list[Any]]:
    def effects_of(event: Any) -> list[Any]:
        raise ValueError("no such group")

    return effects_of


@pytest.mark.parametrize(
    ("make_effects_of", "detail"),
    [(breaking_an_invariant, "VOTE_ONCE"), (raising_an_exception, "see the log for the cause")],
    ids=["invariant", "exception"],
)
def test_a_broken_invariant_or_an_exception_stops_the_member_alone(
    make_effects_of: Callable[[ScriptedNode], Callable[[Any], list[Any]]], detail: str, tmp_path: Path
) -> None:
    """The effects of the failed event are not carried out, and pending calls end with UnknownOutcome."""

    async def test() -> None:
        async with running_service(tmp_path) as (service, node):
            node.effects_of = make_effects_of(node)
            assert isinstance(
                await service.call(PutValue(id="1", name="n", value="v")), errors.UnknownOutcome
            )
            result = await service.call(PutValue(id="1", name="n", value="v"))
            assert isinstance(result, errors.InvariantBroken) and detail in result.detail
            event_count = len(node.events)
            feed(service, Tick())
            assert len(node.events) == event_count
            status = json.loads((await service.answer(b'{"do": "status"}')).removeprefix(b"+OK "))
            assert "invariant-broken" in status["errors"][0]

    run_with_timeout(test)


def test_a_storage_failure_is_fed_to_the_node_once(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    def raise_disk_full(*_: Any) -> None:
        raise OSError(28, "No space left on device")

    async def test() -> None:
        async with running_service(tmp_path) as (service, node):
            monkeypatch.setattr(ClusterStorage, "write", raise_disk_full)
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
        locked_storage = open_storage(tmp_path / "s", "f", "a")
        assert isinstance(locked_storage, ClusterStorage)
        service = ClusterService(cluster_settings(tmp_path), "a", node_factory=ScriptedNode)
        service.start()
        assert isinstance(await service.call(PutValue(id="1", name="n", value="v")), errors.NoLeader)
        await asyncio.sleep(0.05)
        assert service.node is None
        locked_storage.close()
        await until(lambda: service.node is not None)
        service.close()
        mismatched_service = ClusterService(
            cluster_settings(tmp_path, name="other"), "a", node_factory=ScriptedNode
        )
        mismatched_service.start()
        await until(lambda: mismatched_service.failure is not None)
        assert isinstance(mismatched_service.failure, errors.ClusterMismatch)
        mismatched_service.close()

    run_with_timeout(test)


def test_forced_recovery_of_a_group_is_applied_once(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    own_id, other_ids = "a/x1", ("b/1", "c/1")
    storage = open_storage(tmp_path / "s", "f", "a", new_incarnation=lambda: "x1")
    assert isinstance(storage, ClusterStorage)
    storage.write(
        [
            PersistRecords(
                "g1",
                0,
                (
                    HardState(4, ""),
                    Snapshot(1, 1, GroupConfiguration((own_id, *other_ids)), b""),
                    Entries((LogEntry(2, 4, EntryKind.NOTHING, b""),)),
                ),
            )
        ]
    )
    storage.close()

    async def test() -> None:
        for message, entry_count in (("forced recovery", 4), ("applied already", 4)):
            async with running_service(tmp_path, forced={"g1": other_ids, "g2": other_ids}) as (_, node):
                assert message in caplog.text and "fleet.forced.g2: this member has no replica" in caplog.text
                assert node.saved["g1"].voted_for == own_id and len(node.saved["g1"].entries) == entry_count
            caplog.clear()

    run_with_timeout(test)


# In a gateway


@contextlib.contextmanager
def scripted_cluster_node(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    with monkeypatch.context() as patched:
        patched.setattr(service_module, "ClusterNode", ScriptedNode)
        yield


async def admin_call(app: GatewayApplication, line: bytes) -> bytes:
    reader, writer = await connect(app.lifecycle.admin_address)
    writer.write(line)
    answer = await reader.read()
    writer.close()
    return answer


def test_the_admin_address_takes_fleet_calls_and_shutdown_waits_for_the_node(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with Backend() as backend, Discovery(entry("a", backend.port)) as discovery:
            gateway_config = replace(
                config(discovery.port, None, endpoint_snapshot(entry("a", backend.port))),
                mgmt=(HOST, 0),
                drain_s=0.01,
            )
            async with gateway(gateway_config) as app:
                assert (await admin_call(app, b"FLEET {}\n")).startswith(b"-ERR fleet is off:")
                assert await admin_call(app, b"FLEET " + b"x" * 300 + b"\n") == await admin_call(
                    app, b"FLEET\n"
                )
            gateway_config = replace(
                gateway_config, name="a", operators=Operators(fleet=cluster_settings(tmp_path))
            )
            async with gateway(gateway_config) as app:
                await until(lambda: app.parts.cluster is not None and app.parts.cluster.node is not None)
                assert app.parts.cluster is not None
                scripted_node = app.parts.cluster.node
                assert isinstance(scripted_node, ScriptedNode)
                scripted_node.effects_of = lambda event: (
                    [OperationCompleted("a.1", ApplyResult([1]))]
                    if isinstance(event, ClusterCall)
                    else [OperationCompleted(event.token, None)]
                    if isinstance(event, LeaveCluster)
                    else []
                )
                long_call = json.dumps({"do": "put", "id": "1", "name": "n", "value": "v" * 1000}).encode()
                assert await admin_call(app, b"FLEET " + long_call + b"\n") == b"+OK [1]\n"
                for line in (b"FLEET " + b"x" * 70_000 + b"\n", b"y" * 300 + b"\n", b"y" * 300):
                    assert await admin_call(app, line) == b"-ERR line too long\n"
                assert (await admin_call(app, b"FLEET {}\n")).startswith(
                    b'-ERR {"error":"bad-call","whom":"do"'
                )
                app.end()
                await app.done.wait()
                assert len(scripted_node.events_of_type(LeaveCluster)) == 1
                reopened_storage = open_storage(tmp_path / "s", "f", "a")  # its lock was released
                assert isinstance(reopened_storage, ClusterStorage)
                reopened_storage.close()

    with scripted_cluster_node(monkeypatch):
        run_with_timeout(test)


def test_a_closed_writer_ignores_requests(tmp_path: Path) -> None:
    storage = open_storage(tmp_path / "s", "f", "a")
    assert isinstance(storage, ClusterStorage)
    writer = StorageWriter(storage, lambda *_: None, lambda _: None, lambda _: None)
    writer.close(10)
    writer.submit([PersistRecords("g", 1, (HardState(1, ""),))])
    reopened_storage = open_storage(tmp_path / "s", "f", "a")
    assert isinstance(reopened_storage, ClusterStorage) and not reopened_storage.persisted_groups
    reopened_storage.close()
