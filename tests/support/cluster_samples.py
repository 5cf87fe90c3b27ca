"""Sample values of everything that the cluster sends and stores, for the golden files.  No field has its
default value."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from badgeryoke.cluster import errors, key_value, messages, unreported_usage
from badgeryoke.cluster.bootstrap_record import BootstrapRecord
from badgeryoke.cluster.connection_limits.commands import (
    ConnectionLeaseRequest,
    LeaseReference,
    ReleaseConnectionLeases,
    RemoveConnectionLimit,
    RequestConnectionLeases,
    SetConnectionLimit,
)
from badgeryoke.cluster.connection_limits.holders import server_bucket
from badgeryoke.cluster.placement import commands as placement_commands
from badgeryoke.cluster.placement import state as placement_state
from badgeryoke.cluster.raft.log import encode_config
from badgeryoke.cluster.reservations.commands import (
    AdvanceContracts,
    CancelContract,
    ChangeContract,
    OpenContract,
    PollContracts,
    ProposeContract,
    ReadContracts,
    ReleaseLease,
    ReportShortfall,
    ReportUsage,
    RequestLease,
    SetCapacity,
    SwitchVersion,
    UsageSlice,
    VersionDrained,
)
from badgeryoke.cluster.reservations.terms import ContractTerms, Interval, Window
from badgeryoke.cluster.rolling_restart.commands import (
    CancelRollingRestart,
    ReadDesiredState,
    ReadRollingRestarts,
    RecordGatewayEvent,
    RecordRestartEvent,
    ReportGateway,
    ResumeGateway,
    StartRollingRestart,
    StartWave,
)
from badgeryoke.cluster.rolling_restart.conditions import ClusterConditions
from badgeryoke.cluster.state_machine.command_registry import decode_command, encode_command
from badgeryoke.cluster.state_machine_part import ApplyResult, Command
from badgeryoke.gateway.cluster.transport import decode_envelope, encode_frame

START_MS = 1_700_000_000_000.0  # Unix ms; start of all times in the samples
CLUSTER, SENDER, RECEIVER = "harbour", "a/1", "b/2"
SERVER = "s-17.example:8080"


@dataclass(frozen=True, slots=True)
class Case:
    """One value, and the name of its bytes in the golden file."""

    name: str
    value: Any
    encode: Callable[[Any], bytes]
    decode: Callable[[bytes], Any]


CONFIG = messages.GroupConfiguration(voters=("a/1", "b/2", "c/3"), learners=("d/4",))
ENTRIES = (
    messages.LogEntry(index=8, term=3, kind=messages.EntryKind.COMMAND, body=b"\x00command\xff"),
    messages.LogEntry(index=9, term=3, kind=messages.EntryKind.CONFIG, body=encode_config(CONFIG)),
    messages.LogEntry(index=10, term=4, kind=messages.EntryKind.NOTHING, body=b""),
)
GOSSIP_UPDATES = (
    messages.GossipUpdate(who="c/3", state=1, count=5, by="a/1"),
    messages.GossipUpdate(who="d/4", state=3, count=2, by="b/2"),
)
BOOTSTRAP_RECORD = BootstrapRecord(
    cluster_name=CLUSTER,
    bootstrap_id="5ca1ab1e",
    created_by="a/1",
    members=(("a/1", "east"), ("b/2", "west"), ("c/3", "east")),
    group_count=2,
    replication_factor=3,
)

MESSAGES: tuple[tuple[str, messages.AnyMessage], ...] = (
    (
        "vote-request",
        messages.RequestVote(
            group="g1", term=4, last_log_index=10, last_log_term=3, pre_vote=True, leadership_transfer=True
        ),
    ),
    ("vote-answer", messages.RequestVoteReply(group="g1", term=4, vote_granted=True, pre_vote=True)),
    (
        "append",
        messages.AppendEntries(
            group="g1",
            term=4,
            prev_log_index=7,
            prev_log_term=3,
            entries=ENTRIES,
            leader_commit=6,
            heartbeat_round=12,
        ),
    ),
    (
        "append-answer",
        messages.AppendEntriesReply(group="g1", term=4, success=True, index=10, heartbeat_round=12),
    ),
    (
        "snapshot-piece",
        messages.InstallSnapshotChunk(
            group="g1",
            term=4,
            last_included_index=7,
            last_included_term=3,
            config=CONFIG,
            offset_bytes=1024,
            total_bytes=4096,
            data=b"part of it",
            heartbeat_round=13,
        ),
    ),
    (
        "snapshot-answer",
        messages.InstallSnapshotChunkReply(
            group="g1", term=4, last_included_index=7, received_bytes=1034, heartbeat_round=13
        ),
    ),
    ("leader-transfer", messages.TimeoutNow(group="g1", term=4)),
    ("forwarded-call", messages.ForwardedCall(token="a.77", group="g1", body=b"\x92call", hops=2)),
    ("forwarded-answer", messages.ForwardedReply(token="a.77", body=b"\x93answer")),
    ("ping", messages.Ping(seq=21, target="b/2", gossip=GOSSIP_UPDATES, wall_clock_ms=START_MS + 0.5)),
    ("ping-answer", messages.Ack(seq=21, target="b/2", gossip=GOSSIP_UPDATES, wall_clock_ms=START_MS + 1.25)),
    ("indirect-ping", messages.PingRequest(seq=22, target="c/3", gossip=GOSSIP_UPDATES)),
    ("indirect-ping-refused", messages.Nack(seq=22, target="c/3", gossip=GOSSIP_UPDATES)),
    ("bootstrap-question", messages.IdentityQuery(sender_zone="east")),
    (
        "bootstrap-answer",
        messages.Announce(zone="west", bootstrap_record=msgspec.msgpack.encode(BOOTSTRAP_RECORD)),
    ),
    ("bootstrap-record", messages.ClusterFounded(bootstrap_record=msgspec.msgpack.encode(BOOTSTRAP_RECORD))),
)

TERMS = ContractTerms(
    tenant="north",
    customers=(1, 2, 3),
    rate=100.0,
    burst=20.0,
    zone="east",
    surplus=False,
    rank=2,
    windows=(
        Window(
            from_ms=START_MS + 60_000,
            to_ms=START_MS + 660_000,
            every_ms=3_600_000.0,
            until_ms=START_MS + 7_000_000,
        ),
    ),
)
CONDITIONS = ClusterConditions(
    missing_copies=0,
    spare_voters=1,
    emptied_zones=0,
    remaining_units_per_s=800.5,
    required_units_per_s=600.25,
)
USAGE_LINES = (
    unreported_usage.UsageLine(name="quota-7", units=12.5, expire_ms=60_000.0),
    unreported_usage.UsageLine(name="quota-8", units=-3.0, expire_ms=1.0),
)

COMMANDS: tuple[tuple[str, Command], ...] = (
    ("promise", key_value.PutValue(id="p1", name="payday", value="armed")),
    ("promise-read", key_value.ReadValue(id="p2", name="payday")),
    ("enrol", placement_commands.EnrolMember(id="e1", name="d", who="d/4", zone="east")),
    ("replace", placement_commands.ReplaceReplica(id="e2", group="g1", lost="b/2", new="d/4", most=2)),
    (
        "moved",
        placement_commands.ReplicaMoved(
            id="e3", group="g0", voters=("a/1", "b/2", "c/3"), number=17, behind=("c/3",)
        ),
    ),
    (
        "forgo",
        placement_commands.CancelMove(id="e4", group="g1", new="d/4", why="the newcomer does not catch up"),
    ),
    ("places", placement_commands.ReadPlacement(id="e5")),
    (
        "capacity",
        SetCapacity(
            id="c1",
            capacity=1000.0,
            reserve_fraction=0.1,
            unreserved_rate=50.0,
            zones={"east": 600.0, "west": 400.0},
        ),
    ),
    ("propose", ProposeContract(id="c2", contract="payday", terms=TERMS)),
    (
        "change",
        ChangeContract(
            id="c3",
            contract="payday",
            terms=msgspec.structs.replace(TERMS, rate=120.0),
            effective_from_ms=START_MS + 120_000,
        ),
    ),
    ("cancel", CancelContract(id="c4", contract="nightly")),
    ("told", VersionDrained(id="c5", contract="payday", version=1)),
    (
        "short",
        ReportShortfall(
            id="c6",
            contract="payday",
            reporter="a/1",
            cause="no lease",
            units=7.5,
            since_ms=START_MS + 61_000,
        ),
    ),
    ("pass", AdvanceContracts(id="c7")),
    ("contracts-read", ReadContracts(id="c8")),
    ("contracts-known", PollContracts(id="c9", known_revision=3)),
    (
        "open",
        OpenContract(
            id="f1",
            tenant="north",
            contract="payday",
            version=1,
            rate=100.0,
            burst=20.0,
            intervals=(Interval(START_MS + 60_000, START_MS + 660_000),),
            effective_from_ms=START_MS,
        ),
    ),
    (
        "lease",
        RequestLease(
            id="f2",
            tenant="north",
            contract="payday",
            holder="a/1",
            lease_number=4,
            kept_rate=10.0,
            wanted_rate=60.5,
            returned_units=1.5,
            kept_depth=2.5,
            wanted_units=3.0,
            takes_spare=True,
            min_depth=4.0,
            draws_per_request=True,
            process="a/1.9",
            sequence=6,
        ),
    ),
    ("turn-floor", SwitchVersion(id="f3", tenant="north", contract="payday")),
    (
        "used",
        ReportUsage(
            id="f4",
            tenant="north",
            contract="payday",
            reporter="a/1",
            slices=(UsageSlice(340_000_012_000, 3.0, 2.0), UsageSlice(340_000_012_001, 1.0, 0.5)),
        ),
    ),
    ("end-lease", ReleaseLease(id="f5", tenant="north", contract="payday", holder="a/1", lease_number=4)),
    (
        "limit",
        SetConnectionLimit(id="s1", server=SERVER, max_connections=24, idle_timeout_ms=30_000.0),
    ),
    ("unlimit", RemoveConnectionLimit(id="s2", server=SERVER)),
    (
        "connection-leases",
        RequestConnectionLeases(
            id="s3",
            holder="a/1#boot.9",
            bucket=server_bucket(SERVER),
            first_request=True,
            requests=(ConnectionLeaseRequest(server=SERVER, lease_number=3, keep=2, wanted=8),),
        ),
    ),
    (
        "connection-end",
        ReleaseConnectionLeases(
            id="s4",
            holder="a/1#boot.9",
            bucket=server_bucket(SERVER),
            leases=(LeaseReference(SERVER, 3),),
            proof="reset",
            reported_by="a/1#boot.10",
        ),
    ),
    ("owe", unreported_usage.RecordUsage(id="o1", tenant="north", recorded_by="a/1", lines=USAGE_LINES)),
    ("claim", unreported_usage.ClaimUsage(id="o2", tenant="north", batch="o1", reporter="b/2")),
    (
        "owed-told",
        unreported_usage.ConfirmUsageReported(
            id="o3", tenant="north", batch="o1", reporter="b/2", outcome_known=True
        ),
    ),
    ("owed-read", unreported_usage.ReadUnreportedUsage(id="o4", tenant="north")),
    (
        "roll-ask",
        StartRollingRestart(
            id="r1",
            restart="nightly",
            gateways=("b", "a"),
            zone="east",
            reason="new version",
            deadline_ms=30_000.0,
            at_once=2,
            after_drain="hold",
            warm_up_ms=500.0,
            may_empty_zone=True,
        ),
    ),
    ("roll-cancel", CancelRollingRestart(id="r2", restart="nightly")),
    ("roll-resume", ResumeGateway(id="r3", restart="nightly", gateway="b", force=True)),
    (
        "roll-turn",
        RecordRestartEvent(
            id="r4",
            restart="nightly",
            restart_version=1,
            event="PLANNED",
            cause="as asked",
            order=("b", "a"),
            member_count=3,
        ),
    ),
    (
        "roll-wave",
        StartWave(id="r5", restart="nightly", restart_version=2, gateways=("b",), conditions=CONDITIONS),
    ),
    (
        "roll-step",
        RecordGatewayEvent(
            id="r6",
            restart="nightly",
            gateway="b",
            gateway_version=1,
            event="ROOMY",
            conditions=CONDITIONS,
            restart_version=3,
        ),
    ),
    (
        "roll-report",
        ReportGateway(
            id="r7", restart="nightly", gateway="b", gateway_version=1, report="ready", process="b/2"
        ),
    ),
    ("roll-read", ReadDesiredState(id="r8", gateway="b")),
    ("rolls-read", ReadRollingRestarts(id="r9")),
)

ERRORS: tuple[errors.AnyError, ...] = (
    errors.InvalidCall("name", "unknown"),
    errors.NoLeader("g3", "nobody leads"),
    errors.UnknownOutcome("7f3a", "no answer in time"),
    errors.Overloaded("a", "4096 calls are under way"),
    errors.MajorityLost("g3", "1 of 3 is left"),
    errors.NewIncarnation("a/2", "its store was lost"),
    errors.StaleIncarnation("a/1", "a/2 has come in its place"),
    errors.ClusterMismatch("c", "it belongs to another"),
    errors.BadFrame("c", "version 2"),
    errors.StorageFailed("a", "no space left"),
    errors.StorageDamaged("a", "entry 7 does not read"),
    errors.InsufficientCapacity("payday", "900 fit", 900.5, START_MS),
    errors.NotFound("payday", "no such contract"),
    errors.WrongState("payday", "it is settled"),
    errors.DuplicateId("7f3a", "another call has it"),
    errors.LeaseExpired("a/1", "lease 4 is over"),
    errors.InvariantBroken("g3", "two votes in term 3"),
)

_encode = msgspec.msgpack.Encoder().encode


def _struct_case(name: str, value: Any) -> Case:
    """A case that encodes a Struct as MessagePack."""
    return Case(name, value, _encode, msgspec.msgpack.Decoder(type(value)).decode)


def _message_case(name: str, message: messages.AnyMessage) -> Case:
    """A case for a single message, encoded as the transport queues it."""
    return Case(f"message/{name}", message, _encode, msgspec.msgpack.Decoder(messages.AnyMessage).decode)


def _encode_envelope(envelope: messages.Envelope) -> bytes:
    return encode_frame(envelope)


def _decode_envelope(raw: bytes) -> Any:
    assert int.from_bytes(raw[:4], "big") == len(raw) - 4
    return decode_envelope(raw[4:], CLUSTER, SENDER)


def _envelope_case(name: str, to: str, *content: messages.AnyMessage) -> Case:
    envelope = messages.Envelope(
        version=messages.PROTOCOL_VERSION, cluster=CLUSTER, sender=SENDER, to=to, messages=content
    )
    return Case(f"frame/{name}", envelope, _encode_envelope, _decode_envelope)


def _command_case(name: str, command: Command) -> Case:
    """A case for a command, encoded as in the body of a log entry."""
    return Case(
        f"command/{name}",
        (START_MS, command),
        lambda timed_command: encode_command(*timed_command),
        decode_command,
    )


CASES: tuple[Case, ...] = (
    *(_message_case(name, message) for name, message in MESSAGES),
    _envelope_case("hello", RECEIVER),
    _envelope_case("hello-to-a-name", "b"),
    _envelope_case("of-each", RECEIVER, *(message for _, message in MESSAGES)),
    *(_command_case(name, command) for name, command in COMMANDS),
    *(
        Case(f"error/{error.code}", error, _encode, msgspec.msgpack.Decoder(errors.AnyError).decode)
        for error in ERRORS
    ),
    *(_struct_case(f"refused/{error.code}", ApplyResult(error=error)) for error in ERRORS),
    _struct_case("applied", ApplyResult(value={"parts": [[SERVER, 3, 8, 8, 0]], "old": []}, error=None)),
    Case("configuration", CONFIG, encode_config, msgspec.msgpack.Decoder(messages.GroupConfiguration).decode),
    *(_struct_case(f"log-entry/{entry.index}", entry) for entry in ENTRIES),
    _struct_case("rumour", GOSSIP_UPDATES[0]),
    _struct_case("bootstrap-record", BOOTSTRAP_RECORD),
    _struct_case("terms", TERMS),
    _struct_case("roll-facts", CONDITIONS),
    _struct_case("owed-line", USAGE_LINES[0]),
    _struct_case(
        "copy-on-its-way", placement_state.ReplicaMove(lost="b/2", new="d/4", started_at_ms=START_MS)
    ),
    _struct_case(
        "placed-group",
        placement_state.GroupPlacement(
            voters=("a/1", "b/2"), config_index=5, lagging=("b/2",), report_count=3
        ),
    ),
)
