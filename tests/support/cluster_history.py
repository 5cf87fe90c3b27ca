"""Fixed histories of two groups, one of each kind, that use every part: for golden snapshots and a golden
store."""

from __future__ import annotations

from pathlib import Path

import msgspec

from badgeryoke.cluster import key_value, unreported_usage
from badgeryoke.cluster.connection_limits.commands import (
    ConnectionLeaseRequest,
    LeaseReference,
    ReleaseConnectionLeases,
    RemoveConnectionLimit,
    RequestConnectionLeases,
    SetConnectionLimit,
)
from badgeryoke.cluster.connection_limits.holders import server_bucket
from badgeryoke.cluster.events import DiscardGroup, Entries, HardState, PersistRecords, Snapshot
from badgeryoke.cluster.invariants import Invariants
from badgeryoke.cluster.messages import EntryKind, LogEntry
from badgeryoke.cluster.node_setup import BOOTSTRAP_GROUP
from badgeryoke.cluster.placement import commands as placement_commands
from badgeryoke.cluster.raft.log import encode_config
from badgeryoke.cluster.reservations.commands import (
    AdvanceContracts,
    CancelContract,
    ChangeContract,
    OpenContract,
    ProposeContract,
    ReleaseLease,
    ReportShortfall,
    ReportUsage,
    RequestLease,
    SetCapacity,
    SwitchVersion,
    UsageSlice,
    VersionDrained,
)
from badgeryoke.cluster.reservations.terms import Interval, Window
from badgeryoke.cluster.rolling_restart.commands import (
    RecordGatewayEvent,
    RecordRestartEvent,
    ReportGateway,
    StartRollingRestart,
    StartWave,
)
from badgeryoke.cluster.state_machine.command_registry import encode_command
from badgeryoke.cluster.state_machine.machine import GroupStateMachine
from badgeryoke.cluster.state_machine_part import FLEET, ApplyResult, Command
from badgeryoke.cluster.timings import Timings
from badgeryoke.gateway.cluster.storage import ClusterStorage, open_storage
from tests.support.cluster_samples import (
    BOOTSTRAP_RECORD,
    CLUSTER,
    CONDITIONS,
    CONFIG,
    SERVER,
    START_MS,
    TERMS,
    USAGE_LINES,
)

MEMBER, INCARNATION = "a", "1"
TENANT_GROUP = "g1"  # a group that holds tenants' state, unlike the fleet group
SNAPSHOT_ENTRY_COUNT = 12  # entries of each group that its snapshot covers; the others follow it in the log
BUCKET = server_bucket(SERVER)
TENANT, CONTRACT = "north", "payday"

NIGHTLY_TERMS = msgspec.structs.replace(
    TERMS,
    tenant="south",
    rate=250.0,
    zone="",
    rank=3,
    surplus=True,
    windows=(Window(from_ms=START_MS + 90_000, to_ms=START_MS + 900_000),),
)
START_RESTART = StartRollingRestart(
    id="r1", restart="nightly", gateways=("b", "a"), reason="new version", at_once=1, warm_up_ms=500.0
)

FLEET_HISTORY: tuple[tuple[float, Command], ...] = (
    (0.0, placement_commands.EnrolMember(id="e1", name="d", who="d/4", zone="west")),
    (
        1.0,
        SetCapacity(
            id="c1",
            capacity=1000.0,
            reserve_fraction=0.1,
            unreserved_rate=50.0,
            zones={"east": 600.0, "west": 400.0},
        ),
    ),
    (2.0, ProposeContract(id="c2", contract=CONTRACT, terms=TERMS)),
    (3.0, ProposeContract(id="c3", contract="nightly", terms=NIGHTLY_TERMS)),
    (4.0, VersionDrained(id="c4", contract=CONTRACT, version=1)),
    (5.0, VersionDrained(id="c5", contract="nightly", version=2)),
    (6.0, ProposeContract(id="c6", contract="huge", terms=msgspec.structs.replace(TERMS, rate=1e6))),
    (7.0, placement_commands.EnrolMember(id="e2", name="b", who="b/5", zone="west")),
    (8.0, placement_commands.ReplaceReplica(id="e3", group="g1", lost="b/2", new="d/4", most=2)),
    (
        9.0,
        placement_commands.ReplicaMoved(
            id="e4", group="g0", voters=("a/1", "b/2", "c/3"), number=17, behind=("c/3",)
        ),
    ),
    (60_500.0, AdvanceContracts(id="c7")),
    (
        61_500.0,
        ReportShortfall(
            id="c8",
            contract=CONTRACT,
            reporter="a/1",
            cause="no lease",
            units=7.5,
            since_ms=START_MS + 61_000,
        ),
    ),
    (
        62_000.0,
        ChangeContract(
            id="c9",
            contract=CONTRACT,
            terms=msgspec.structs.replace(TERMS, rate=120.0),
            effective_from_ms=START_MS + 120_000,
        ),
    ),
    (62_001.0, START_RESTART),
    (62_002.0, RecordRestartEvent(id="r2", restart="nightly", restart_version=0, event="SEEN")),
    (
        62_003.0,
        RecordRestartEvent(
            id="r3", restart="nightly", restart_version=1, event="PLANNED", order=("b", "a"), member_count=4
        ),
    ),
    (
        62_004.0,
        StartWave(id="r4", restart="nightly", restart_version=2, gateways=("b",), conditions=CONDITIONS),
    ),
    (
        62_005.0,
        ReportGateway(
            id="r5", restart="nightly", gateway="b", gateway_version=1, report="ready", process="b/5"
        ),
    ),
    (
        62_200.0,
        RecordGatewayEvent(
            id="r6",
            restart="nightly",
            gateway="b",
            gateway_version=1,
            event="ROOMY",
            conditions=CONDITIONS,
            restart_version=4,
        ),
    ),
    (
        62_250.0,
        ReportGateway(
            id="r7", restart="nightly", gateway="b", gateway_version=2, report="paused", process="b/5"
        ),
    ),
    (62_300.0, CancelContract(id="c10", contract="nightly")),
    (62_301.0, CancelContract(id="c10", contract="nightly")),  # a repeated call gets the same answer
    (62_302.0, CancelContract(id="c10", contract=CONTRACT)),  # a different call with an id already used
    (
        62_303.0,
        key_value.PutValue(id="p1", name="payday", value="armed"),
    ),  # a command of the other kind of group
    (
        62_304.0,
        placement_commands.CancelMove(id="e5", group="g0", new="d/4", why="lost"),
    ),  # no such move is under way
)


def _request_lease(
    call_number: int,
    holder: str,
    sequence: int,
    lease_number: int,
    kept_rate: float,
    wanted_rate: float,
    takes_spare: bool,
) -> Command:
    return RequestLease(
        id=f"f{call_number}",
        tenant=TENANT,
        contract=CONTRACT,
        holder=holder,
        lease_number=lease_number,
        kept_rate=kept_rate,
        wanted_rate=wanted_rate,
        returned_units=0.0,
        wanted_units=2.5,
        takes_spare=takes_spare,
        min_depth=1.5,
        process=f"{holder}.9",
        sequence=sequence,
    )


def _request_connections(
    call_number: int, holder: str, lease_number: int, kept: int, wanted: int, first_request: bool
) -> Command:
    return RequestConnectionLeases(
        id=f"s{call_number}",
        holder=holder,
        bucket=BUCKET,
        first_request=first_request,
        requests=(
            ConnectionLeaseRequest(server=SERVER, lease_number=lease_number, keep=kept, wanted=wanted),
        ),
    )


TENANT_GROUP_HISTORY: tuple[tuple[float, Command], ...] = (
    (0.0, key_value.PutValue(id="p1", name="payday", value="armed")),
    (1.0, key_value.PutValue(id="p2", name="payday", value="off")),
    (
        2.0,
        OpenContract(
            id="f1",
            tenant=TENANT,
            contract=CONTRACT,
            version=1,
            rate=100.0,
            burst=20.0,
            intervals=(Interval(START_MS + 60_000, START_MS + 660_000),),
            effective_from_ms=START_MS,
        ),
    ),
    (
        3.0,
        SetConnectionLimit(id="s1", server=SERVER, max_connections=24, idle_timeout_ms=30_000.0),
    ),
    (4.0, _request_connections(2, "a/1#boot.9", 0, 0, 8, False)),
    (5.0, _request_connections(3, "b/2#boot.7", 0, 0, 30, True)),
    (6.0, unreported_usage.RecordUsage(id="o1", tenant=TENANT, recorded_by="a/1", lines=USAGE_LINES)),
    (7.0, unreported_usage.RecordUsage(id="o2", tenant=TENANT, recorded_by="b/2", lines=USAGE_LINES[:1])),
    (
        60_100.0,
        unreported_usage.ClaimUsage(id="o3", tenant=TENANT, batch="o1", reporter="b/2"),
    ),  # too late: the batch is closed
    (60_200.0, _request_lease(2, "a/1", 1, 0, 0.0, 60.5, False)),
    (60_300.0, _request_lease(3, "b/2", 1, 0, 0.0, 20.0, True)),
    (
        60_400.0,
        ReportUsage(
            id="f4",
            tenant=TENANT,
            contract=CONTRACT,
            reporter="a/1",
            slices=(UsageSlice(340_000_012_060, 3.0, 2.0), UsageSlice(340_000_012_061, 1.0, 0.5)),
        ),
    ),
    (60_500.0, _request_lease(5, "a/1", 2, 1, 20.0, 40.0, False)),
    (
        60_501.0,
        OpenContract(
            id="f6",
            tenant=TENANT,
            contract=CONTRACT,
            version=3,
            rate=120.0,
            burst=20.0,
            intervals=(Interval(START_MS + 60_000, START_MS + 660_000),),
            effective_from_ms=START_MS + 120_000,
        ),
    ),
    (
        60_502.0,
        _request_lease(7, "a/1", 1, 1, 20.0, 40.0, False),
    ),  # arrives after a request with a higher sequence number
    (60_503.0, ReleaseLease(id="f8", tenant=TENANT, contract=CONTRACT, holder="b/2", lease_number=2)),
    (60_504.0, unreported_usage.RecordUsage(id="o4", tenant=TENANT, recorded_by="c/3", lines=USAGE_LINES)),
    (60_505.0, unreported_usage.ClaimUsage(id="o5", tenant=TENANT, batch="o4", reporter="a/1")),
    (
        60_506.0,
        unreported_usage.RecordUsage(id="o6", tenant=TENANT, recorded_by="c/3", lines=USAGE_LINES[1:]),
    ),
    (60_507.0, unreported_usage.ClaimUsage(id="o7", tenant=TENANT, batch="o6", reporter="a/1")),
    (
        60_508.0,
        unreported_usage.ConfirmUsageReported(
            id="o8", tenant=TENANT, batch="o6", reporter="a/1", outcome_known=True
        ),
    ),
    (
        60_509.0,
        ReleaseConnectionLeases(
            id="s4",
            holder="a/1#boot.9",
            bucket=BUCKET,
            leases=(LeaseReference(SERVER, 1),),
            proof="reset",
            reported_by="a/1#boot.10",
        ),
    ),
    (
        60_510.0,
        SetConnectionLimit(id="s5", server="gone:1", max_connections=3, idle_timeout_ms=1000.0),
    ),
    (60_511.0, RemoveConnectionLimit(id="s6", server="gone:1")),
    (60_512.0, RemoveConnectionLimit(id="s7", server="never:1")),
    (63_500.0, SwitchVersion(id="f9", tenant=TENANT, contract=CONTRACT)),
)
HISTORIES = {FLEET: FLEET_HISTORY, TENANT_GROUP: TENANT_GROUP_HISTORY}


def new_state(group: str) -> GroupStateMachine:
    """Return a group's state before its first entry."""
    state = GroupStateMachine(group, Timings(), Invariants(strict=True))
    if group == FLEET:
        state.parts["placing"].initialize(BOOTSTRAP_RECORD)
    return state


def history_entries(group: str) -> tuple[LogEntry, ...]:
    """Return a group's log: the empty entry of a new leader, then the commands."""
    entries = [LogEntry(index=1, term=2, kind=EntryKind.NOTHING, body=b"")]
    for index, (after_ms, command) in enumerate(HISTORIES[group], 2):
        entries.append(
            LogEntry(
                index=index,
                term=2 + index // 8,
                kind=EntryKind.COMMAND,
                body=encode_command(START_MS + after_ms, command),
            )
        )
    return tuple(entries)


def apply_entries(state: GroupStateMachine, entries: tuple[LogEntry, ...]) -> list[ApplyResult]:
    """Apply a log's commands to a state and return the results."""
    return [
        state.apply(1000.0, entry.index, entry.body) for entry in entries if entry.kind == EntryKind.COMMAND
    ]


def first_snapshot(group: str) -> Snapshot:
    """Return the snapshot that a bootstrapping member stores before a group's first entry."""
    return Snapshot(last_included_index=0, last_included_term=0, config=CONFIG, body=new_state(group).dump())


def write_store(folder: Path) -> ClusterStorage:
    """Write a store with groups of every kind, partly still in SQLite's write-ahead log, and leave it open."""
    storage = open_storage(folder, CLUSTER, MEMBER, new_incarnation=lambda: INCARNATION)
    assert isinstance(storage, ClusterStorage), storage
    bootstrap_snapshot = Snapshot(
        last_included_index=1,
        last_included_term=1,
        config=CONFIG,
        body=msgspec.msgpack.encode(BOOTSTRAP_RECORD),
    )
    storage.write([PersistRecords(BOOTSTRAP_GROUP, 1, (bootstrap_snapshot,))])
    for group in HISTORIES:
        entries = history_entries(group)
        state = new_state(group)
        storage.write([PersistRecords(group, 1, (first_snapshot(group),))])
        apply_entries(state, entries[:SNAPSHOT_ENTRY_COUNT])
        last = entries[SNAPSHOT_ENTRY_COUNT - 1]
        storage.write(
            [
                PersistRecords(
                    group,
                    2,
                    (HardState(current_term=2, voted_for="a/1"), Entries(entries[:SNAPSHOT_ENTRY_COUNT])),
                )
            ]
        )
        storage.write([PersistRecords(group, 3, (Snapshot(last.index, last.term, CONFIG, state.dump()),))])
    storage._database.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    for group in HISTORIES:
        storage.write(
            [
                PersistRecords(
                    group,
                    4,
                    (
                        HardState(current_term=7, voted_for="c/3"),
                        Entries(history_entries(group)[SNAPSHOT_ENTRY_COUNT:]),
                    ),
                )
            ]
        )
    config_entry = LogEntry(index=4, term=4, kind=EntryKind.CONFIG, body=encode_config(CONFIG))
    first_records = (first_snapshot("g0"), Entries((*history_entries(TENANT_GROUP)[:3], config_entry)))
    storage.write([PersistRecords("g0", 1, (HardState(current_term=4, voted_for="b/2"), *first_records))])
    storage.write([PersistRecords("g2", 1, first_records), PersistRecords("g2", 2, (DiscardGroup(),))])
    return storage
