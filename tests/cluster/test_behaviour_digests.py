"""Compares the behaviour of the cluster modules with recorded digests.

A change that only renames or moves code leaves every digest the same.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, cast

import pytest

from badgeryoke.cluster.bootstrap_record import BootstrapRecord
from badgeryoke.cluster.connection_limits.commands import (
    MAX_LIMIT,
    ConnectionLeaseRequest,
    LeaseReference,
    ReleaseConnectionLeases,
    RemoveConnectionLimit,
    RequestConnectionLeases,
    SetConnectionLimit,
)
from badgeryoke.cluster.connection_limits.holders import holder_id, server_bucket
from badgeryoke.cluster.connection_limits.lease_holder import ConnectionLeaseHolder
from badgeryoke.cluster.connection_limits.limits import ConnectionLimits
from badgeryoke.cluster.errors import NoLeader, StorageFailed, UnknownOutcome
from badgeryoke.cluster.events import (
    ChangeMembership,
    ClusterCall,
    LeaveCluster,
    MembershipAction,
    MessageReceived,
    NodeEvent,
    PersistedGroup,
    PersistRecords,
    ProposeCommand,
    ReadIndexRequest,
    RecordsPersisted,
    ReplicaEvent,
    SendMessage,
    Snapshot,
    StorageFailure,
    Tick,
    TransferLeadership,
)
from badgeryoke.cluster.invariants import Invariants
from badgeryoke.cluster.key_value import PutValue, ReadValue
from badgeryoke.cluster.leases.lease import LeaseRequest
from badgeryoke.cluster.leases.lease_pool import LeasePool
from badgeryoke.cluster.membership.protocol import Membership
from badgeryoke.cluster.messages import (
    Announce,
    AppendEntries,
    AppendEntriesReply,
    ClusterFounded,
    EntryKind,
    ForwardedCall,
    ForwardedReply,
    GossipUpdate,
    GroupConfiguration,
    IdentityQuery,
    InstallSnapshotChunk,
    InstallSnapshotChunkReply,
    LogEntry,
    MemberId,
    Nack,
    Ping,
    PingRequest,
    RequestVote,
    RequestVoteReply,
    TimeoutNow,
)
from badgeryoke.cluster.node import ClusterNode
from badgeryoke.cluster.node_setup import NodeSetup
from badgeryoke.cluster.placement.commands import (
    CancelMove,
    EnrolMember,
    ReadPlacement,
    ReplaceReplica,
    ReplicaMoved,
)
from badgeryoke.cluster.placement.forced_recovery import force_sole_voter
from badgeryoke.cluster.placement.initial_placement import initial_placement, replica_count
from badgeryoke.cluster.placement.rendezvous import group_for_key
from badgeryoke.cluster.raft.log import encode_config
from badgeryoke.cluster.raft.log_replication import MAX_COMMAND_BYTES
from badgeryoke.cluster.raft.node import RaftNode
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
from badgeryoke.cluster.reservations.lease_client import ReservationClient, ReservedUnits
from badgeryoke.cluster.reservations.priority_shedding import CapacityClaim, CapacityShares
from badgeryoke.cluster.reservations.terms import ContractTerms, Interval, Window, expand_windows
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
from badgeryoke.cluster.rolling_restart.gateway_agent import RollingRestartAgent
from badgeryoke.cluster.rolling_restart.minimum_duration import minimum_duration_ms
from badgeryoke.cluster.rolling_restart.transitions import (
    GatewayEvent,
    GatewayPhase,
    GatewayReport,
    RestartEvent,
)
from badgeryoke.cluster.rolling_restart.waves import RollingRestarts
from badgeryoke.cluster.state_machine.command_registry import encode_command, parse_command
from badgeryoke.cluster.state_machine.machine import GroupStateMachine
from badgeryoke.cluster.state_machine_part import FLEET, Command, LeaderView
from badgeryoke.cluster.timings import Timings, find_problems
from badgeryoke.cluster.unreported_usage import (
    ClaimUsage,
    ConfirmUsageReported,
    ReadUnreportedUsage,
    RecordUsage,
    UsageLine,
)
from badgeryoke.testbed.cluster_simulation.fault_plan import Plan
from badgeryoke.testbed.cluster_simulation.generated_plans import play, play_seed
from badgeryoke.testbed.cluster_simulation.world import SimulatedCluster
from badgeryoke.testbed.scenario.model import Fault
from tests.support.canonical import Digest
from tests.support.cluster_digest import (
    RecordedNode,
    add_effects,
    add_state,
    applied_values,
    assert_digest,
    broken_values,
    command_values,
    saved_values,
)
from tests.support.member_network import MemberNetwork, make_members
from tests.support.raft_group import apply_write
from tests.support.raft_storm import FaultStorm

TIMINGS = Timings()
SMALL_LIMITS = Timings(snapshot_entries=8, piece_bytes=48, most_batch=3, most_in_flight=6)
START_MS = 1_700_000_000_000.0  # Unix ms


# Raft replica
# ---------------------------------------------------------------------------------------------------------


def recorded_replica(digest: Digest) -> type[RaftNode]:
    """A replica type that adds its events and effects to a digest."""

    class RecordedReplica(RaftNode):
        def handle(self, now_ms: float, event: ReplicaEvent) -> list[Any]:
            digest.add((now_ms, str(self.member_id), event))
            effects = super().handle(now_ms, event)
            for effect in effects:
                digest.add(effect)
            digest.add(
                (
                    self.due_ms,
                    self.role,
                    self.current_term,
                    self.commit_index,
                    self.last_log_index,
                    self.is_up_to_date,
                    self.is_removed,
                    self.lagging_learners(),
                    self.lagging_voters(),
                )
            )
            return effects

    return RecordedReplica


@pytest.mark.parametrize("seed", range(10), ids="seed-{}".format)
def test_replicas_under_random_faults(seed: int) -> None:
    digest = Digest()
    storm = FaultStorm(1000 + seed, recorded_replica(digest), duration_ms=2500.0)
    storm.run()
    group = storm.group
    digest.add([str(member) for member in group.processes])
    digest.add(group.acknowledged)
    for position, process in enumerate(group.processes.values()):
        assert process.replica is not None
        digest.add(process.replica.status(group.now_ms))
        if position % 2:
            process.replica.handle(group.now_ms, StorageFailure(StorageFailed("g", "the disk is full")))
        process.replica.handle(group.now_ms, ReadIndexRequest("late-read"))
        process.replica.handle(group.now_ms, ProposeCommand("late", b"x"))
        digest.add(process.replica.discard())
        digest.add(process.replica.status(group.now_ms))
    assert_digest(f"replica-storm-{seed}", digest)


class RowStateMachine:
    """A state machine that keeps its commands in a list."""

    def __init__(self) -> None:
        self.rows: list[bytes] = []

    def apply(self, now_ms: float, index: int, body: bytes) -> int:
        self.rows.append(body)
        return len(self.rows)

    def dump(self) -> bytes:
        return b"|".join(self.rows)

    def restore(self, now_ms: float, body: bytes) -> None:
        self.rows = body.split(b"|") if body else []


class RandomMessages:
    """Generates random messages and calls for one replica, plausible and implausible ones.

    `cooperative`: the replica's own messages get the replies that a correct follower would send.
    """

    def __init__(self, rng: random.Random, replica: RaftNode, members: tuple[MemberId, ...]) -> None:
        self.rng, self.replica, self.members = rng, replica, members
        self.token_count = 0
        self.cooperative = False
        self.pending_replies: list[MessageReceived] = []  # not yet delivered to the replica

    def random_term(self) -> int:
        return max(self.replica.current_term + self.rng.choice((0, 0, 0, 0, 0, 0, 1, -1)), 0)

    def random_index(self) -> int:
        near_index = self.rng.choice(
            (self.replica.last_log_index, self.replica.commit_index, self.replica.last_log_index + 1)
        )
        return max(near_index + self.rng.choice((0, 0, 0, -1, 1, -3)), 0)

    def next_token(self) -> str:
        self.token_count += 1
        return f"t{self.token_count}"

    def random_entries(self, prev_log_index: int, term: int) -> tuple[LogEntry, ...]:
        entries = tuple(
            LogEntry(
                prev_log_index + 1 + offset, term, EntryKind.COMMAND, f"e{prev_log_index}-{offset}".encode()
            )
            for offset in range(self.rng.choice((0, 0, 1, 2, 3)))
        )
        if entries and self.rng.random() < 0.1:
            voters = self.members[: self.rng.randint(2, len(self.members))]
            entries = (
                *entries[:-1],
                LogEntry(
                    entries[-1].index, term, EntryKind.CONFIG, encode_config(GroupConfiguration(voters))
                ),
            )
        return entries

    def random_message(self) -> Any:
        rng, term, index = self.rng, self.random_term(), self.random_index()
        kind = rng.choices(range(7), (14, 14, 25, 25, 6, 3, 4))[0]
        if kind == 0:
            return RequestVote(
                "g", term, index, rng.choice((term, term - 1, 0)), rng.random() < 0.5, rng.random() < 0.2
            )
        if kind == 1:
            return RequestVoteReply("g", term, rng.random() < 0.8, rng.random() < 0.5)
        if kind == 2:
            return AppendEntries(
                "g",
                term,
                index,
                rng.choice((term, term, term - 1)),
                self.random_entries(index, term),
                index,
                rng.randint(0, 20),
            )
        if kind == 3:
            return AppendEntriesReply("g", term, rng.random() < 0.8, index, rng.randint(0, 40))
        if kind == 4:
            size = rng.choice((0, 4, 8))
            offset = rng.choice((0, 0, 4))
            return InstallSnapshotChunk(
                "g",
                term,
                index + rng.randint(0, 4),
                term,
                GroupConfiguration(self.members[:3]),
                offset,
                size,
                b"a|b|c|d|"[offset : offset + 4],
                rng.randint(0, 20),
            )
        if kind == 5:
            return InstallSnapshotChunkReply("g", term, index, rng.randint(0, 60), rng.randint(0, 20))
        return TimeoutNow("g", term)

    def follower_reply(self, sent: SendMessage) -> MessageReceived | None:
        """The reply that a correct follower would send."""
        message = sent.message
        match message:
            case RequestVote():
                return MessageReceived(sent.to, RequestVoteReply("g", message.term, True, message.pre_vote))
            case AppendEntries():
                match_index = message.prev_log_index + len(message.entries)
                if self.rng.random() < 0.1:
                    return MessageReceived(
                        sent.to,
                        AppendEntriesReply(
                            "g", message.term, False, max(match_index - 3, 0), message.heartbeat_round
                        ),
                    )
                return MessageReceived(
                    sent.to, AppendEntriesReply("g", message.term, True, match_index, message.heartbeat_round)
                )
            case InstallSnapshotChunk():
                return MessageReceived(
                    sent.to,
                    InstallSnapshotChunkReply(
                        "g",
                        message.term,
                        message.last_included_index,
                        message.offset_bytes + len(message.data),
                        message.heartbeat_round,
                    ),
                )
        return None

    def next_event(self, open_sequences: list[int]) -> ReplicaEvent:
        rng, chance = self.rng, self.rng.random()
        if self.cooperative and self.pending_replies and chance < 0.6:
            return self.pending_replies.pop(0)
        if self.cooperative and chance < 0.9:
            chance = rng.choice((0.1, 0.4, 0.87, 0.95, 0.97, 0.995))
        if chance < 0.3:
            return Tick()
        if chance < 0.55 and open_sequences:
            return RecordsPersisted("g", open_sequences.pop(0))
        if chance < 0.85:
            return MessageReceived(rng.choice(self.members), self.random_message())
        if chance < 0.93:
            body = b"x" * (MAX_COMMAND_BYTES + 1) if rng.random() < 0.02 else f"p{self.token_count}".encode()
            return ProposeCommand(self.next_token(), body)
        if chance < 0.96:
            return ReadIndexRequest(self.next_token())
        if chance < 0.99:
            # "dance" is not a valid action.
            token, action = self.next_token(), rng.choice(("learn", "promote", "remove", "dance"))
            return ChangeMembership(token, cast(MembershipAction, action), rng.choice(self.members))
        return TransferLeadership(rng.choice((*self.members, "")))


@pytest.mark.parametrize("seed", range(24), ids="seed-{}".format)
def test_replica_receiving_arbitrary_messages(seed: int) -> None:
    """Messages that a correct group would not send; broken invariants are recorded and not raised."""
    digest, rng = Digest(), random.Random(2000 + seed)
    members = tuple(f"{name}/1" for name in "abcde")
    voters = GroupConfiguration(members[: rng.choice((1, 3, 3, 5))])
    invariants, saved, now_ms = Invariants(strict=False), PersistedGroup(), 0.0
    for restart in range(6):
        state_machine = RowStateMachine()
        replica = recorded_replica(digest)(
            "g",
            members[0],
            saved,
            state_machine,
            SMALL_LIMITS,
            random.Random(seed * 10 + restart),
            invariants,
            now_ms,
            voters if restart % 5 < 4 else None,
        )
        messages, open_sequences = RandomMessages(rng, replica, members), list[int]()
        messages.cooperative = seed % 2 == 1
        for _ in range(150):
            now_ms += rng.choice((0.0, 1.0, 5.0, 60.0, 300.0))
            for effect in replica.handle(now_ms, messages.next_event(open_sequences)):
                if isinstance(effect, PersistRecords):
                    open_sequences.append(effect.sequence)
                    saved = apply_write(saved, effect)
                elif (
                    isinstance(effect, SendMessage)
                    and messages.cooperative
                    and (reply := messages.follower_reply(effect))
                ):
                    messages.pending_replies.append(reply)
        digest.add(replica.status(now_ms))
        digest.add(saved_values(saved, "g"))
        digest.add((invariants.count, broken_values(invariants)))
        if replica.stop_reason is not None:
            saved, invariants = PersistedGroup(), Invariants(strict=False)
    assert_digest(f"replica-strangers-{seed}", digest)


def test_forced_recovery() -> None:
    digest, config = Digest(), GroupConfiguration(("a/1", "b/1", "c/1"))
    saved = PersistedGroup(
        4,
        "b/1",
        Snapshot(3, 2, config, b"x"),
        (LogEntry(4, 3, EntryKind.COMMAND, b"y"), LogEntry(5, 4, EntryKind.COMMAND, b"z")),
    )
    for lost in (("b/1", "c/1"), ("b/1",), (), ("c/1", "b/1"), ("b/1", "d/1")):
        digest.add(saved_values(force_sole_voter(saved, "g", "a/1", lost, START_MS), "g"))
    assert_digest("forced", digest)


# Membership and bootstrap
# ----------------------------------------------------------------------------------------------


class RecordedNetwork(MemberNetwork):
    """A network of members that adds their effects to a digest."""

    def __init__(self, count: int, seed: int, kind: str, digest: Digest) -> None:
        super().__init__(count, seed, kind)
        self.digest = digest

    def carry_out(self, name: str, effects: list[Any]) -> None:
        self.digest.add((self.now, name, len(effects)))
        add_effects(self.digest, self.now, effects)
        super().carry_out(name, effects)

    def record_views(self) -> None:
        """Add each member's view of the cluster to the digest."""
        for name, node in self.nodes.items():
            if isinstance(node, Membership):
                self.digest.add(
                    (
                        name,
                        node.due,
                        node.alive_ids(),
                        node.dead_for_ms(self.now),
                        node.ids(),
                        node.zones(),
                        [node.state_of(member.name) for member in self.members],
                    )
                )


def inject_or_end_fault(network: RecordedNetwork, rng: random.Random, names: list[str]) -> None:
    """Inject one random fault, or end one."""
    name, fault_kind = rng.choice(names), rng.randint(0, 7)
    partitioned = set(rng.sample(names, max(len(names) // 3, 1)))
    if fault_kind == 0:
        network.delay = lambda sender, recipient: None if rng.random() < 0.2 else rng.uniform(0.2, 60.0)
    elif fault_kind == 1:
        network.delay = lambda sender, recipient: (
            None if (sender in partitioned) != (recipient in partitioned) else rng.uniform(0.2, 2.0)
        )
    elif fault_kind == 2:
        network.delay = lambda sender, recipient: (
            None if sender in partitioned and recipient not in partitioned else rng.uniform(0.2, 2.0)
        )
    elif fault_kind == 3:
        network.delay = lambda sender, recipient: (
            rng.uniform(0.2, 2.0) if rng.random() < 0.9 else rng.uniform(50.0, 400.0)
        )
    elif fault_kind == 4 and name in network.nodes:
        network.stop(name)
    elif fault_kind == 5 and name not in network.nodes:
        network.start(name, wiped=rng.random() < 0.6)
    elif fault_kind == 6 and name in network.nodes and name not in network.frozen:
        network.frozen[name] = []
    elif fault_kind == 7 and name in network.frozen:
        network.thaw(name)


def random_gossip_message(rng: random.Random, ids: list[MemberId]) -> Any:
    """A gossip message with arbitrary content."""
    updates = tuple(
        GossipUpdate(rng.choice((*ids, "zz/1")), rng.randint(0, 3), rng.randint(0, 3), rng.choice((*ids, "")))
        for _ in range(3)
    )
    target, seq = rng.choice(ids), rng.randint(0, 9)
    return rng.choice(
        (Ping(seq, target, updates, START_MS), PingRequest(seq, target, updates), Nack(seq, target, updates))
    )


@pytest.mark.parametrize(
    ("count", "seed", "steps"), [(3, 1, 60), (3, 2, 60), (10, 3, 40), (10, 4, 40), (40, 5, 10)]
)
def test_membership_under_random_faults(count: int, seed: int, steps: int) -> None:
    digest, rng = Digest(), random.Random(3000 + seed)
    network = RecordedNetwork(count, seed, "membership", digest)
    names = [member.name for member in network.members]
    for name in names:
        network.start(name)
    for node in network.nodes.values():
        node.learn_ids(network.ids.values())
    network.run(1500.0)
    for step in range(steps):
        inject_or_end_fault(network, rng, names)
        network.run(network.now + rng.uniform(200.0, 2500.0))
        if step % 4 == 0:
            network.record_views()
        running = [name for name in network.nodes if name not in network.frozen]
        if running and rng.random() < 0.3:
            network.deliver(
                rng.choice(running),
                MessageReceived(
                    rng.choice(list(network.ids.values())),
                    random_gossip_message(rng, list(network.ids.values())),
                ),
            )
        if len(running) > 2 and rng.random() < 0.1:
            leaving = rng.choice(running)
            network.carry_out(leaving, network.nodes[leaving].leave())
            network.run(network.now + 100.0)
            network.stop(leaving)
    network.record_views()
    assert_digest(f"members-{count}-{seed}", digest)


@pytest.mark.parametrize(("count", "seed"), [(1, 1), (3, 2), (3, 3), (7, 4), (12, 5)])
def test_bootstrap_under_random_faults(count: int, seed: int) -> None:
    digest, rng = Digest(), random.Random(4000 + seed)
    network = RecordedNetwork(count, seed, "founding", digest)
    names = [member.name for member in network.members]
    for name in names:
        network.start(name, wiped=False)
    for _ in range(25):
        inject_or_end_fault(network, rng, names)
        network.run(network.now + rng.uniform(50.0, 900.0))
        if network.nodes and rng.random() < 0.4:
            name, sender = rng.choice(list(network.nodes)), rng.choice(list(network.ids.values()))
            message = rng.choice(
                (IdentityQuery("a"), Announce("a", b""), ClusterFounded(b"junk"), Announce("b", b"\x91\x01"))
            )
            if name not in network.frozen:
                network.deliver(name, MessageReceived(sender, message))
    network.delay = lambda sender, recipient: 1.0
    for name in names:
        if name in network.frozen:
            network.thaw(name)
        if name not in network.nodes:
            network.start(name)
    network.run(network.now + 15_000.0)
    for node in network.nodes.values():
        digest.add(
            (node.record, node.is_founder, None if node.error is None else (node.error.code, node.error))
        )
        node.handle(network.now, StorageFailure(StorageFailed("", "full")))
    assert_digest(f"founding-{count}-{seed}", digest)


def test_initial_placement_and_group_for_key() -> None:
    digest = Digest()
    for member_count in (1, 2, 3, 5, 8, 20):
        record = BootstrapRecord(
            "yard",
            "f0",
            "m000/1",
            tuple((f"{member.name}/1", member.zone) for member in make_members(member_count)),
            8,
            5,
        )
        digest.add(initial_placement(record))
        digest.add([replica_count(replication_factor, member_count) for replication_factor in range(1, 8)])
    digest.add(
        [group_for_key(f"{key_kind}:{number}", 8) for key_kind in "tsp" for number in range(200)]
        + [group_for_key("", 3)]
    )
    assert_digest("placing", digest)


# State machine parts
# --------------------------------------------------------------------------------------------------

MEMBER_IDS = tuple(f"m{number:03}/{number}" for number in range(6))
GATEWAYS = tuple(f"m{number:03}" for number in range(6))
HOLDERS = tuple(
    holder_id(member, boot_id, process)
    for member in MEMBER_IDS[:3]
    for boot_id, process in (("b1", "1"), ("b1", "2"), ("", "3"))
)
SERVERS = ("alpha", "beta", "gamma", "delta")
CONTRACT_NAMES = tuple(f"c{number}" for number in range(6))


class RandomCommands:
    """Generates random commands, valid and invalid ones."""

    def __init__(self, seed: int) -> None:
        self.rng, self.id_count, self.wall_ms = random.Random(seed), 0, START_MS
        self.lease_numbers: list[int] = [0, 1]
        self.restart_version = 0  # the version of the rolling restart in progress

    def next_id(self) -> str:
        self.id_count += 1
        return f"i{self.id_count if self.rng.random() < 0.97 else max(self.id_count - 5, 1)}"

    def lease_number(self) -> int:
        return (
            self.rng.choice(self.lease_numbers[-8:])
            if self.rng.random() < 0.9
            else self.rng.choice((-1, 0, 7, 1 << 60))
        )

    def amount(self, maximum: float) -> float:
        return (
            self.rng.uniform(0.0, maximum) if self.rng.random() < 0.97 else self.rng.choice((-1.0, 0.0, 1e12))
        )

    def contract_terms(self) -> ContractTerms:
        rng = self.rng
        begin_ms = self.wall_ms + rng.choice((500.0, 3000.0, 12_000.0, 20_000.0, 60_000.0, -100.0))
        length_ms = rng.choice((0.0, 2000.0, 5000.0, 15_000.0, 15_000.0))
        windows = [Window(begin_ms, begin_ms + length_ms)]
        if rng.random() < 0.3:
            windows = [
                Window(
                    begin_ms,
                    begin_ms + length_ms,
                    length_ms + rng.choice((1000.0, 30_000.0, -10.0)),
                    begin_ms + 90_000.0,
                )
            ]
        if rng.random() < 0.1:
            windows.append(Window(begin_ms + rng.choice((0.0, 100_000.0)), begin_ms + 120_000.0))
        if rng.random() < 0.02:
            windows = []
        return ContractTerms(
            rng.choice(("ta", "tb", "tc", "t d") if rng.random() < 0.1 else ("ta", "tb")),
            tuple(rng.sample(range(20), rng.randint(1, 3))) if rng.random() < 0.97 else (1, 1),
            self.amount(60.0),
            self.amount(40.0),
            tuple(windows),
            rng.choice(("", "", "a", "b")),
            rng.random() < 0.7,
            rng.choice((1, 2, 5, 9)) if rng.random() < 0.98 else 12,
        )

    def contract_name(self) -> str:
        return self.rng.choice(CONTRACT_NAMES) if self.rng.random() < 0.97 else "not a name"

    def cluster_command(self) -> Command:
        rng = self.rng
        kind = rng.randint(0, 23)
        if kind == 0:
            return SetCapacity(
                id=self.next_id(),
                capacity=self.amount(400.0),
                reserve_fraction=rng.choice((0.0, 0.2, 0.2, 1.5)),
                unreserved_rate=self.amount(30.0),
                zones={"a": 80.0, "b": self.amount(200.0)},
            )
        if kind < 6:
            return ProposeContract(
                id=self.next_id(),
                contract=f"{self.contract_name()}{rng.choice(('', '-x', '-y'))}",
                terms=self.contract_terms(),
            )
        if kind == 6:
            return ChangeContract(
                id=self.next_id(),
                contract=self.contract_name(),
                terms=self.contract_terms(),
                effective_from_ms=self.wall_ms + rng.choice((100.0, 5000.0, 9000.0, -1.0)),
            )
        if kind == 7:
            return CancelContract(id=self.next_id(), contract=self.contract_name())
        if kind in (8, 9):
            return VersionDrained(
                id=self.next_id(), contract=self.contract_name(), version=rng.randint(0, 30)
            )
        if kind in (10, 11):
            return ReportShortfall(
                id=self.next_id(),
                contract=self.contract_name(),
                reporter=rng.choice(GATEWAYS),
                cause=rng.choice("xyz"),
                units=self.amount(50.0),
                since_ms=self.wall_ms - 1000.0,
            )
        if kind in (12, 13):
            return AdvanceContracts(id=self.next_id())
        if kind == 14:
            name = rng.choice(GATEWAYS)
            return EnrolMember(
                id=self.next_id(), name=name, who=f"{name}/{rng.randint(0, 8)}", zone=rng.choice("ab")
            )
        if kind == 15:
            return ReplaceReplica(
                id=self.next_id(),
                group=f"g{rng.randint(0, 4)}",
                lost=rng.choice((*MEMBER_IDS, "")),
                new=rng.choice((*MEMBER_IDS, "")),
                most=rng.randint(0, 3),
            )
        if kind == 16:
            return ReplicaMoved(
                id=self.next_id(),
                group=f"g{rng.randint(0, 4)}",
                number=rng.randint(0, 40),
                voters=tuple(rng.sample(MEMBER_IDS, rng.randint(1, 4))),
                behind=tuple(rng.sample(MEMBER_IDS, 1)),
            )
        if kind == 17:
            return CancelMove(
                id=self.next_id(), group=f"g{rng.randint(0, 4)}", new=rng.choice(MEMBER_IDS), why="w"
            )
        return self.restart_command()

    def conditions(self) -> ClusterConditions:
        rng = self.rng
        return ClusterConditions(
            rng.choice((0, 0, 0, 1)),
            rng.choice((1, 1, 0, -1)),
            rng.choice((0, 0, 0, 1)),
            rng.choice((-1.0, 50.0)),
            rng.choice((10.0, 60.0)),
        )

    def restart_command(self) -> Command:
        rng, restart = self.rng, f"r{self.rng.randint(0, 3)}"
        kind, name = rng.randint(0, 9), rng.choice(GATEWAYS)
        if kind in (0, 1):
            return StartRollingRestart(
                id=self.next_id(),
                restart=restart,
                gateways=tuple(rng.sample(GATEWAYS, rng.randint(0, 3))),
                zone=rng.choice(("", "", "", "a")),
                reason="why",
                at_once=rng.choice((1, 2, 0)),
                deadline_ms=rng.choice((2000.0, 60_000.0, -1.0)),
                after_drain=rng.choice(("restart", "hold", "sing")),
                warm_up_ms=500.0,
                may_empty_zone=rng.random() < 0.3,
            )
        if kind == 2:
            return CancelRollingRestart(id=self.next_id(), restart=restart)
        if kind == 3:
            return ResumeGateway(
                id=self.next_id(), restart=restart, gateway=rng.choice(("", name)), force=rng.random() < 0.3
            )
        if kind == 4:
            return RecordRestartEvent(
                id=self.next_id(),
                restart=restart,
                restart_version=rng.choice((self.restart_version, self.restart_version, 3)),
                event=rng.choice(list(RestartEvent)).name,
                cause="w",
                order=GATEWAYS[:3],
                member_count=6,
            )
        if kind == 5:
            return StartWave(
                id=self.next_id(),
                restart=restart,
                restart_version=rng.choice((self.restart_version, self.restart_version, 3)),
                gateways=(name,),
                conditions=self.conditions(),
            )
        if kind in (6, 7):
            return RecordGatewayEvent(
                id=self.next_id(),
                restart=restart,
                gateway=name,
                gateway_version=rng.randint(0, 2),
                event=rng.choice(list(GatewayEvent)).name,
                conditions=rng.choice((None, self.conditions())),
                restart_version=rng.choice((self.restart_version, self.restart_version, -1)),
            )
        return ReportGateway(
            id=self.next_id(),
            restart=restart,
            gateway=name,
            gateway_version=rng.randint(0, 2),
            report=rng.choice((*(report.value for report in GatewayReport), "gone")),
            process=rng.choice((name, f"{name}-2", "")),
        )

    def lease_command(self) -> Command:
        rng = self.rng
        return RequestLease(
            id=self.next_id(),
            tenant="ta",
            contract=self.contract_name(),
            holder=rng.choice((*MEMBER_IDS, "")[:7]),
            lease_number=self.lease_number(),
            kept_rate=self.amount(20.0),
            wanted_rate=self.amount(40.0),
            returned_units=self.amount(10.0),
            kept_depth=self.amount(20.0),
            wanted_units=self.amount(5.0),
            takes_spare=rng.random() < 0.3,
            min_depth=self.amount(3.0),
            draws_per_request=rng.random() < 0.3,
            process=rng.choice(("", "p1", "p2")),
            sequence=rng.randint(0, self.id_count),
        )

    def connection_command(self) -> Command:
        rng, server = self.rng, self.rng.choice(SERVERS)
        kind, bucket = rng.randint(0, 9), server_bucket(server)
        if kind == 0:
            return SetConnectionLimit(
                id=self.next_id(),
                server=server,
                max_connections=rng.choice((1, 10, 25, 40, 0, MAX_LIMIT + 1)),
                idle_timeout_ms=rng.choice((3000.0, 500.0, -1.0)),
            )
        if kind == 1 and rng.random() < 0.3:
            return RemoveConnectionLimit(id=self.next_id(), server=server)
        if kind == 2:
            holder = rng.choice(HOLDERS)
            return ReleaseConnectionLeases(
                id=self.next_id(),
                holder=holder,
                bucket=bucket,
                leases=(LeaseReference(server, self.lease_number()),),
                proof=rng.choice(("idle", "reset", "guess")),
                reported_by=rng.choice(HOLDERS),
            )
        requests = tuple(
            ConnectionLeaseRequest(
                requested_server, self.lease_number(), rng.randint(0, 12), rng.randint(0, 30)
            )
            for requested_server in SERVERS
            if server_bucket(requested_server) == bucket or rng.random() < 0.02
        )
        return RequestConnectionLeases(
            id=self.next_id(),
            holder=rng.choice(HOLDERS),
            bucket=bucket,
            requests=requests,
            first_request=rng.random() < 0.2,
        )

    def tenant_command(self) -> Command:
        rng = self.rng
        if rng.random() < 0.4:
            return self.connection_command()
        kind = rng.randint(0, 15)
        if kind < 2:
            begin_ms = self.wall_ms + rng.choice((0.0, -100.0, 2000.0))
            return OpenContract(
                id=self.next_id(),
                tenant="ta",
                contract=self.contract_name(),
                version=rng.randint(0, 12),
                rate=self.amount(60.0),
                burst=self.amount(30.0),
                intervals=(
                    Interval(begin_ms, begin_ms + 20_000.0),
                    Interval(begin_ms + 30_000.0, begin_ms + 60_000.0),
                ),
                effective_from_ms=self.wall_ms + rng.choice((0.0, 4000.0)),
            )
        if kind < 8:
            return self.lease_command()
        if kind < 10:
            first_slice = int(self.wall_ms / 5.0)
            return ReportUsage(
                id=self.next_id(),
                tenant="ta",
                contract=self.contract_name(),
                reporter=rng.choice(GATEWAYS),
                slices=tuple(
                    UsageSlice(first_slice - rng.randint(0, 500), self.amount(4.0), rng.uniform(0.0, 2.0))
                    for _ in range(rng.randint(1, 8))
                ),
            )
        if kind == 10:
            return ReleaseLease(
                id=self.next_id(),
                tenant="ta",
                contract=self.contract_name(),
                holder=rng.choice(MEMBER_IDS),
                lease_number=self.lease_number(),
            )
        if kind == 11:
            return SwitchVersion(id=self.next_id(), tenant="ta", contract=self.contract_name())
        batch = f"b{rng.randint(0, 40)}"
        if kind == 12:
            return PutValue(
                id=self.next_id(),
                name=rng.choice(("x", "y", "z", "")),
                value=rng.choice(("1", "2", "v" * 1025)),
            )
        if kind == 13:
            lines = tuple(
                UsageLine(f"n{number}", self.amount(9.0), 1000.0) for number in range(rng.randint(0, 3))
            )
            return RecordUsage(
                id=batch, tenant=rng.choice(("ta", "tb")), recorded_by=rng.choice(MEMBER_IDS), lines=lines
            )
        if kind == 14:
            return ClaimUsage(id=self.next_id(), tenant="ta", batch=batch, reporter=rng.choice(MEMBER_IDS))
        return ConfirmUsageReported(
            id=self.next_id(),
            tenant="ta",
            batch=batch,
            reporter=rng.choice(MEMBER_IDS),
            outcome_known=rng.random() < 0.5,
        )


def queries_of(group: str) -> list[Command]:
    """Every query that a group answers."""
    if group == FLEET:
        return [
            ReadContracts(id="q"),
            PollContracts(id="q"),
            PollContracts(id="q", known_revision=3),
            ReadPlacement(id="q"),
            ReadRollingRestarts(id="q"),
            *(ReadDesiredState(id="q", gateway=name) for name in GATEWAYS),
        ]
    return [
        ReadValue(id="q", name="x"),
        ReadUnreportedUsage(id="q", tenant="ta"),
        ReadContracts(id="q"),
        AdvanceContracts(id="q"),
    ]


def random_leader_view(rng: random.Random, now_ms: float, wall_ms: float, lead_since_ms: float) -> LeaderView:
    """A random view for the leader's tasks."""
    dead_for_ms = {
        member: rng.choice((500.0, 4000.0, 50_000.0)) for member in MEMBER_IDS if rng.random() < 0.12
    }
    return LeaderView(
        now_ms,
        wall_ms,
        MEMBER_IDS[0],
        lead_since_ms,
        TIMINGS,
        frozenset(member for member in MEMBER_IDS if member not in dead_for_ms),
        dead_for_ms,
        {name: "ab"[position % 2] for position, name in enumerate(GATEWAYS)},
        {"capacity": 200.0, "demand": rng.uniform(0.0, 150.0)},
        {"g0": MEMBER_IDS[:3], "g1": MEMBER_IDS[2:5], FLEET: MEMBER_IDS[:3]},
        {"g0": (rng.choice(MEMBER_IDS),)} if rng.random() < 0.1 else {},
    )


class RecordedGroupState:
    """A group's state machine, driven by commands; its results and its state go into a digest."""

    def __init__(self, group: str, digest: Digest) -> None:
        self.group, self.digest, self.index, self.now_ms = group, digest, 0, 1000.0
        self.invariants = Invariants(strict=False)
        self.machine = self.new_state_machine()

    def new_state_machine(self) -> GroupStateMachine:
        machine = GroupStateMachine(self.group, TIMINGS, self.invariants)
        if self.group == FLEET:
            machine.parts["placing"].initialize(
                BootstrapRecord(
                    "yard",
                    "f0",
                    MEMBER_IDS[0],
                    tuple((member, "ab"[position % 2]) for position, member in enumerate(MEMBER_IDS[:5])),
                    4,
                    3,
                )
            )
        return machine

    def apply(self, at_ms: float, command: Command) -> Any:
        self.index += 1
        result = self.machine.apply(self.now_ms, self.index, encode_command(at_ms, command))
        self.digest.add(
            (at_ms, command_values(command), command.key(), command.validate(), applied_values(result))
        )
        return result

    def record_state(self) -> None:
        for command in queries_of(self.group):
            self.digest.add(applied_values(self.machine.query(command)))
        add_state(self.digest, self.machine)
        self.digest.add((self.invariants.count, broken_values(self.invariants)))

    def restore_from_snapshot(self) -> None:
        body = self.machine.dump()
        self.machine = self.new_state_machine()
        self.machine.restore(self.now_ms, body)


@pytest.mark.parametrize("group", [FLEET, "g0"])
@pytest.mark.parametrize("seed", range(8))
def test_group_state_under_random_commands(group: str, seed: int) -> None:
    digest, commands = Digest(), RandomCommands(5000 + seed)
    group_state, rng = RecordedGroupState(group, digest), commands.rng
    if group == FLEET:
        group_state.apply(
            commands.wall_ms,
            SetCapacity(
                id="cap", capacity=200.0, reserve_fraction=0.1, unreserved_rate=10.0, zones={"a": 100.0}
            ),
        )
    for step in range(500):
        elapsed_ms = rng.choice((0.0, 5.0, 40.0, 300.0, 1500.0))
        commands.wall_ms, group_state.now_ms = commands.wall_ms + elapsed_ms, group_state.now_ms + elapsed_ms
        rolling_restarts = group_state.machine.parts.get("rolls")
        if isinstance(rolling_restarts, RollingRestarts) and rolling_restarts.active is not None:
            commands.restart_version = rolling_restarts.active.version
        result = group_state.apply(
            commands.wall_ms, commands.cluster_command() if group == FLEET else commands.tenant_command()
        )
        value = result.value
        if isinstance(value, dict):
            commands.lease_numbers += [part[1] for part in value.get("parts", []) if part[1] > 0]
            commands.lease_numbers += [value["number"]] if isinstance(value.get("number"), int) else []
        elif isinstance(value, list) and value and isinstance(value[0], int):
            commands.lease_numbers.append(value[0])
        if step % 4 == 0:
            for command in group_state.machine.leader_tasks(
                random_leader_view(rng, group_state.now_ms, commands.wall_ms, group_state.now_ms - 9000.0)
            ):
                digest.add(command_values(command))
                if rng.random() < 0.7:
                    group_state.apply(commands.wall_ms, command)
        if step % 60 == 59:
            group_state.record_state()
            if step % 120 == 119:
                group_state.restore_from_snapshot()
    digest.add(applied_values(group_state.machine.apply(0.0, group_state.index + 1, b"\x01")))
    assert_digest(f"state-{group}-{seed}", digest)


def test_operator_commands_and_timings() -> None:
    digest = Digest()
    for name, fields in (
        ("Promise", {"id": "1", "name": "x", "value": "y"}),
        ("Promise", {"id": "1", "name": 3}),
        ("Promise", {"id": "1", "name": "", "value": "y"}),
        ("Nothing", {}),
        ("RollAsk", {"id": "1", "roll": "r", "at_once": 0}),
    ):
        command = parse_command(name, dict(fields))
        digest.add(command_values(command) if isinstance(command, Command) else command)
    for timings in (
        TIMINGS,
        Timings(heartbeat_ms=0.0),
        Timings(election_ms=100.0),
        Timings(clock_drift=0.7),
        Timings(probe_timeout_ms=400.0),
        Timings(lease_ms=1000.0),
    ):
        digest.add((find_problems(timings), timings.lease_expiry_ms()))
    digest.add(expand_windows((Window(5.0, 6.0), Window(1.0, 2.0, 2.0, 4.0))))
    assert_digest("operators", digest)


@pytest.mark.parametrize("even_split", [True, False])
def test_lease_pool(even_split: bool) -> None:
    digest, rng, invariants = Digest(), random.Random(6000), Invariants(strict=False)
    for case in range(6):
        pool = LeasePool(
            100.0, depth=rng.choice((0.0, 50.0)), step=rng.choice((0.0, 1.0)), even_split=even_split
        )
        now_ms = 0.0
        for step in range(200):
            now_ms += rng.choice((0.0, 10.0, 200.0))
            pool.accrue(START_MS + now_ms)
            holder = rng.choice(MEMBER_IDS)
            lease = pool.leases.get(holder)
            lease_number = lease.number if lease is not None and rng.random() < 0.9 else rng.choice((0, 0, 3))
            kept = (
                lease.share * rng.choice((0.0, 0.5, 1.0, 1.0))
                if lease is not None
                else rng.choice((0.0, 0.0, 3.0))
            )
            lease_depth = lease.depth if lease is not None else 0.0
            digest.add(
                pool.request(
                    LeaseRequest(
                        holder,
                        lease_number,
                        kept,
                        rng.choice((0.0, 5.0, 30.0, 80.0)),
                        lease_depth * rng.choice((0.0, 0.0, 0.3)),
                        lease_depth * rng.choice((0.0, 0.5, 0.7)),
                        rng.choice((0.0, 0.0, 4.0)),
                        rng.random() < 0.3,
                        rng.choice((0.0, 1.0)),
                        rng.random() < 0.3,
                    ),
                    invariants,
                )
            )
            digest.add([pool.excess(lease_holder) for lease_holder in pool.leases])
            digest.add(
                (
                    pool.fair_share(holder, 30.0),
                    pool.fair_share(holder, 20.0, True, True),
                    pool.capacity,
                    pool.granted(),
                )
            )
            pool.mark_seen(now_ms)
            if step % 25 == 24:
                pool.resize(rng.uniform(40.0, 140.0), rng.choice((0.0, 30.0, 60.0)))
                digest.add(pool.expired(now_ms, 400.0, now_ms - 900.0))
                for expired_holder, expired_number in pool.expired(now_ms, 400.0, now_ms - 900.0):
                    digest.add(pool.release(expired_holder, expired_number))
                digest.add(pool.release(holder, 0))
                digest.add(pool.dump())
                pool = LeasePool.load(pool.dump())
        digest.add((case, invariants.count))
    assert_digest(f"divided-{even_split}", digest)


def test_capacity_shares() -> None:
    digest, rng, shares, now_ms = Digest(), random.Random(7000), CapacityShares(), 0.0
    for step in range(800):
        now_ms += rng.choice((0.0, 3.0, 40.0))
        if step % 20 == 0:
            digest.add(
                shares.update(
                    now_ms,
                    rng.uniform(0.0, 120.0),
                    [
                        CapacityClaim(
                            f"c{number}",
                            rng.choice((1, 2, 3)),
                            rng.uniform(0.0, 50.0),
                            rng.uniform(0.0, 50.0),
                        )
                        for number in range(rng.randint(0, 5))
                    ],
                )
            )
        digest.add(shares.admit(now_ms, rng.choice(("", "c0", "c1", "c3", "c9")), rng.uniform(0.5, 4.0)))
    digest.add(shares.buckets)
    assert_digest("shares", digest)


# Clients
# --------------------------------------------------------------------------------------------------------------


class SimulatedClients:
    """The lease clients or restart agents of several gateways, with the state machines of two groups.

    One group is the cluster's own, the other holds the tenants' data.
    """

    def __init__(self, seed: int, digest: Digest) -> None:
        self.rng, self.digest, self.now_ms = random.Random(8000 + seed), digest, 1000.0
        self.groups = {group: RecordedGroupState(group, digest) for group in (FLEET, "g0")}
        self.clients: list[Any] = []
        self.pending_answers: list[tuple[float, Any, Command, Any]] = []

    @property
    def wall_ms(self) -> float:
        return START_MS + self.now_ms

    def apply(self, command: Command) -> Any:
        group_state = self.groups[FLEET if not command.key() else "g0"]
        group_state.now_ms = self.now_ms
        if command.is_read_only:
            result = group_state.machine.query(command)
            self.digest.add((command_values(command), applied_values(result)))
            return result
        return group_state.apply(self.wall_ms, command)

    def call(self, client: Any, command: Command) -> None:
        """Make a client's call; the call or its answer may be lost."""
        chance = self.rng.random()
        if chance < 0.03:
            result: Any = NoLeader("g", "nobody leads")
        else:
            result = self.apply(command)
            if chance < 0.06:
                result = UnknownOutcome("g", "no answer")
        self.pending_answers.append(
            (self.now_ms + self.rng.choice((1.0, 5.0, 30.0, 200.0)), client, command, result)
        )

    def run_leader_tasks(self) -> None:
        view = random_leader_view(self.rng, self.now_ms, self.wall_ms, 0.0)
        for group_state in self.groups.values():
            group_state.now_ms = self.now_ms
            for command in group_state.machine.leader_tasks(view):
                self.apply(command)

    def advance(self, elapsed_ms: float) -> None:
        """Advance the time, deliver answers that are due, and make the clients' calls."""
        self.now_ms += elapsed_ms
        due_answers, self.pending_answers = (
            [answer for answer in self.pending_answers if answer[0] <= self.now_ms],
            [answer for answer in self.pending_answers if answer[0] > self.now_ms],
        )
        for _, client, command, result in due_answers:
            client.answered(self.now_ms, command, result)
        for client in self.clients:
            for command in client.poll(self.now_ms, self.wall_ms):
                self.call(client, command)


def draw_units(
    clients: SimulatedClients,
    lease_clients: list[ReservationClient],
    reserved: list[tuple[ReservationClient, ReservedUnits]],
) -> None:
    """Draw units for random requests at some gateways."""
    rng, digest, now_ms = clients.rng, clients.digest, clients.now_ms
    for lease_client in lease_clients:
        for _ in range(rng.choice((0, 0, 1, 3))):
            customer, units = rng.randint(0, 8), rng.choice((1.0, 1.0, 2.5))
            reserved_units = lease_client.draw(now_ms, customer, units)
            digest.add(reserved_units)
            if reserved_units is not None:
                reserved.append((lease_client, reserved_units))
            elif rng.random() < 0.7:
                digest.add(lease_client.wait(now_ms, customer, units, f"w{customer}"))
        digest.add(lease_client.finished_waits(now_ms))
        digest.add((lease_client.idle_rate(now_ms), lease_client.held_rate(now_ms), lease_client.due))
    if reserved and rng.random() < 0.1:
        lease_client, reserved_units = reserved.pop(rng.randrange(len(reserved)))
        lease_client.record_unserved(now_ms, reserved_units, rng.choice(("overload", "timeout")))


@pytest.mark.parametrize("seed", range(4))
def test_reservation_clients(seed: int) -> None:
    digest = Digest()
    clients = SimulatedClients(seed, digest)
    lease_clients = [
        ReservationClient(member, f"p{position}", TIMINGS, "ab"[position % 2], 3)
        for position, member in enumerate(MEMBER_IDS[:3])
    ]
    clients.clients += lease_clients
    clients.apply(SetCapacity(id="cap", capacity=200.0, reserve_fraction=0.1, unreserved_rate=10.0))
    begin_ms = clients.wall_ms
    for position, (rate, rank) in enumerate(((30.0, 1), (60.0, 5), (15.0, 9))):
        clients.apply(
            ProposeContract(
                id=f"p{position}",
                contract=f"c{position}",
                terms=ContractTerms(
                    "ta",
                    (3 * position, 3 * position + 1, 3 * position + 2),
                    rate,
                    20.0,
                    (
                        Window(begin_ms + 1500.0, begin_ms + 9000.0),
                        Window(begin_ms + 12_000.0, begin_ms + 15_000.0),
                    ),
                    rank=rank,
                ),
            )
        )
    reserved: list[tuple[ReservationClient, ReservedUnits]] = []
    for step in range(1300):
        is_idle = 350 < step < 450 or (seed == 3 and step % 400 > 300)
        active_clients = lease_clients[:1] if 500 < step < 650 else lease_clients
        draw_units(clients, [] if is_idle else active_clients, reserved)
        clients.advance(clients.rng.choice((3.0, 8.0, 20.0)))
        if step % 8 == 0:
            clients.run_leader_tasks()
        if step == 200:
            clients.apply(
                ChangeContract(
                    id="ch",
                    contract="c1",
                    effective_from_ms=clients.wall_ms + 5000.0,
                    terms=ContractTerms(
                        "ta",
                        (3, 4, 5, 6),
                        40.0,
                        10.0,
                        (Window(begin_ms + 1500.0, begin_ms + 9000.0),),
                        rank=5,
                    ),
                )
            )
        if step == 420:
            clients.apply(CancelContract(id="ca", contract="c2"))
        if step == 700:
            lease_clients[2] = ReservationClient(MEMBER_IDS[2], "again", TIMINGS, "a", 3)
            clients.clients[2] = lease_clients[2]
        if step % 100 == 99:
            digest.add([lease_client.status(clients.now_ms) for lease_client in lease_clients])
            for group_state in clients.groups.values():
                group_state.record_state()
    assert_digest(f"floors-{seed}", digest)


def open_and_close_connections(
    rng: random.Random,
    now_ms: float,
    lease_holder: ConnectionLeaseHolder,
    open_counts: dict[str, int],
    digest: Digest,
) -> None:
    """Open and close random connections at one gateway."""
    for server in SERVERS:
        need = rng.choice((0, 2, 5, 12)) if rng.random() < 0.1 else -1
        if need >= 0:
            lease_holder.set_need(server, need)
        may_open = lease_holder.may_open(now_ms, server)
        digest.add((server, may_open, lease_holder.lease_valid(now_ms, server)))
        if may_open and rng.random() < 0.6:
            lease_holder.opened(now_ms, server)
            open_counts[server] = open_counts.get(server, 0) + 1
        elif open_counts.get(server, 0) and rng.random() < 0.1:
            lease_holder.closing(server)
            lease_holder.closed(server, already_closing=True)
            open_counts[server] -= 1
    excess = lease_holder.excess(now_ms)
    digest.add(excess)
    for server, count in excess:
        for _ in range(count):
            lease_holder.closing(server)
            lease_holder.closed(server, already_closing=True)
            open_counts[server] -= 1
    digest.add(lease_holder.empty)


@pytest.mark.parametrize("seed", range(4))
def test_connection_lease_holders(seed: int) -> None:
    digest = Digest()
    clients = SimulatedClients(100 + seed, digest)
    rng, invariants = clients.rng, Invariants(strict=False)
    lease_holders = [
        ConnectionLeaseHolder(holder_id(member, "b1", "1"), TIMINGS, invariants, clients.now_ms)
        for member in MEMBER_IDS[:4]
    ]
    open_counts_by_holder: list[dict[str, int]] = [{} for _ in lease_holders]
    clients.clients += lease_holders
    for position, server in enumerate(SERVERS[:3]):
        clients.apply(
            SetConnectionLimit(
                id=f"l{position}", server=server, max_connections=12 + 7 * position, idle_timeout_ms=3000.0
            )
        )
    for step in range(700):
        for lease_holder, open_counts in zip(lease_holders, open_counts_by_holder, strict=True):
            open_and_close_connections(rng, clients.now_ms, lease_holder, open_counts, digest)
        clients.advance(rng.choice((10.0, 40.0, 120.0)))
        if step % 10 == 0:
            clients.run_leader_tasks()
        if step % 120 == 60:
            clients.apply(
                SetConnectionLimit(
                    id=f"m{step}",
                    server=rng.choice(SERVERS[:3]),
                    max_connections=rng.randint(6, 30),
                    idle_timeout_ms=2000.0,
                )
            )
        if step % 150 == 149:
            restarted = rng.randrange(4)
            lease_holders[restarted] = ConnectionLeaseHolder(
                holder_id(MEMBER_IDS[restarted], rng.choice(("b1", "b2")), str(step)),
                TIMINGS,
                invariants,
                clients.now_ms,
                only_process=True,
            )
            lease_holders[restarted].need_multiple = rng.choice((1.0, 1.5))
            clients.clients[restarted], open_counts_by_holder[restarted] = lease_holders[restarted], {}
        if step == 500:
            lease_holders[0].draining = True
            clients.apply(RemoveConnectionLimit(id="un", server=SERVERS[0]))
        if step % 70 == 69:
            connections = clients.groups["g0"].machine.parts["connections"]
            assert isinstance(connections, ConnectionLimits)
            digest.add(connections.summary())
            clients.groups["g0"].record_state()
    digest.add([list(lease_holder.servers_without_limit) for lease_holder in lease_holders])
    assert_digest(f"connections-{seed}", digest)


@pytest.mark.parametrize("seed", range(8))
def test_rolling_restart_agents(seed: int) -> None:
    digest = Digest()
    clients = SimulatedClients(200 + seed, digest)
    rng, phase_changes = clients.rng, list[int]()
    agents = [
        RollingRestartAgent(name, f"{name}-1", 6, lambda: phase_changes.append(1)) for name in GATEWAYS[:5]
    ]
    clients.clients += agents
    clients.apply(
        StartRollingRestart(
            id="ask",
            restart="r",
            gateways=() if seed % 2 else GATEWAYS[:4],
            at_once=1 + seed % 3,
            after_drain="hold" if seed % 4 == 2 else "restart",
            warm_up_ms=400.0,
            may_empty_zone=seed == 5,
            deadline_ms=3000.0,
        )
    )
    for step in range(900):
        for position, agent in enumerate(agents):
            drained = agent.paused
            agent.observe(
                groups_led=0 if rng.random() < 0.8 else 1,
                trimmed=rng.random() < 0.8,
                drained=drained,
                empty=rng.random() < 0.6 and seed != 6,
                copies_complete=rng.random() < 0.7,
            )
            actions = agent.next_actions(clients.now_ms)
            digest.add(
                (
                    actions,
                    agent.phase,
                    agent.concerns_this_process,
                    agent.must_not_lead,
                    agent.need_multiple,
                    agent.due,
                    len(phase_changes),
                )
            )
            if actions and rng.random() < 0.3:
                agents[position] = clients.clients[position] = RollingRestartAgent(
                    agent.gateway, f"{agent.gateway}-{step}", 6, lambda: phase_changes.append(1)
                )
            elif agent.phase in (GatewayPhase.PAUSING, GatewayPhase.EMPTYING):
                agent.paused = True
            elif agent.phase is None or agent.phase in (GatewayPhase.RETURNING, GatewayPhase.UNDOING):
                agent.paused = False
        clients.advance(rng.choice((20.0, 60.0, 150.0)))
        if step % 3 == 0:
            clients.run_leader_tasks()
        if step == 400 and seed in (2, 6):
            clients.apply(ResumeGateway(id="res", restart="r", force=True))
        if step == (150 if seed == 3 else 800):
            clients.apply(CancelRollingRestart(id="can", restart="r"))
        if step % 90 == 89:
            clients.groups[FLEET].record_state()
    assert_digest(f"rolls-{seed}", digest)


def test_minimum_duration_of_a_rolling_restart() -> None:
    digest, rng = Digest(), random.Random(9000)
    for _ in range(60):
        groups = {f"g{number}": tuple(rng.sample(GATEWAYS, 3)) for number in range(4)}
        zones = {name: rng.choice("ab") for name in GATEWAYS}
        digest.add(
            minimum_duration_ms(
                rng.sample(GATEWAYS, 4), groups, zones, rng.randint(1, 4), rng.random(), 1000.0
            )
        )
    assert_digest("least-roll", digest)


# Simulated clusters
# -----------------------------------------------------------------------------------------------------


def recorded_cluster(digest: Digest) -> Callable[[Any], SimulatedCluster]:
    """A factory for simulated clusters that add their nodes' events and effects to a digest."""

    class RecordedClusterNode(RecordedNode):
        pass

    RecordedClusterNode.digest = digest
    return lambda plan: SimulatedCluster(plan, RecordedClusterNode)


@pytest.mark.parametrize("disk_fault", ["full", "slow-disk"])
def test_simulated_cluster_with_disk_faults(disk_fault: str) -> None:
    digest = Digest()
    result = play(
        Plan(
            31,
            4,
            2,
            length_ms=9000.0,
            snapshot_entries=20,
            faults=(
                Fault(4000.0, disk_fault, "gateway", ((2,),), 200.0),
                Fault(6000.0, disk_fault, "gateway", ((3,),), 90.0),
            ),
        ),
        recorded_cluster(digest),
    )
    digest.add(result.plain())
    assert_digest(f"world-{disk_fault}", digest)


def handle_and_record(node: ClusterNode, digest: Digest, now_ms: float, event: NodeEvent) -> None:
    """Let a node handle one event, and add its status to the digest; the node adds its own effects."""
    node.handle(now_ms, START_MS + now_ms, event)
    digest.add((node.due, node.status()))


def test_single_node_cluster() -> None:
    digest, invariants = Digest(), Invariants(strict=False)

    class RecordedSingleNode(RecordedNode):
        pass

    RecordedSingleNode.digest = digest
    members = make_members(1)
    node = RecordedSingleNode(
        NodeSetup("yard", "m000", "1", members, 1, 2, TIMINGS, 100.0),
        {},
        random.Random(1),
        0.0,
        START_MS,
        invariants,
    )
    now_ms, writes = 0.0, list[PersistRecords]()
    handle_and_record(node, digest, now_ms, ClusterCall("early", PutValue(id="e", name="n", value="v")))
    for step in range(300):
        now_ms += 20.0
        effects = list(node.handle(now_ms, START_MS + now_ms, Tick()))
        while effects:
            writes = [effect for effect in effects if isinstance(effect, PersistRecords)]
            effects = [
                next_effect
                for write in writes
                for next_effect in node.handle(
                    now_ms, START_MS + now_ms, RecordsPersisted(write.group, write.sequence)
                )
            ]
        if step % 10 == 9:
            handle_and_record(
                node,
                digest,
                now_ms,
                ClusterCall(f"c{step}", PutValue(id=f"p{step}", name="n", value=f"{step}")),
            )
            handle_and_record(
                node, digest, now_ms, ClusterCall(f"r{step}", ReadValue(id=f"q{step}", name="n"))
            )
            handle_and_record(
                node, digest, now_ms, ClusterCall(f"b{step}", PutValue(id=f"b{step}", name="", value=""))
            )
    valid_command = encode_command(START_MS, PutValue(id="far", name="n", value="w"))
    invalid_command = encode_command(START_MS, PutValue(id="far", name="", value="w"))
    for group, body in (
        ("g0", b"junk"),
        ("g0", valid_command),
        ("g1", valid_command),
        ("g0", invalid_command),
        ("g9", valid_command),
    ):
        handle_and_record(
            node, digest, now_ms, MessageReceived("m000/2", ForwardedCall(f"f{group}", group, body, 1))
        )
    for token, body in (("x.1", b""), ("nodigits", b""), ("b9.1", b"\x93\xc0\xc0\xa0")):
        handle_and_record(node, digest, now_ms, MessageReceived("m000/2", ForwardedReply(token, body)))
    handle_and_record(node, digest, now_ms, LeaveCluster("leave"))
    for _ in range(100):
        now_ms += 50.0
        node.handle(now_ms, START_MS + now_ms, Tick())
    handle_and_record(node, digest, now_ms, StorageFailure(StorageFailed("yard", "the disk is full")))
    handle_and_record(node, digest, now_ms, ClusterCall("late", PutValue(id="late", name="n", value="v")))
    for _ in range(100):
        now_ms += 50.0
        node.handle(now_ms, START_MS + now_ms, Tick())
    assert_digest("node-alone", digest)


@pytest.mark.parametrize(
    ("seed", "members", "kind"),
    [
        (1, 3, "links"),
        (2, 5, "machines"),
        (3, 3, "disks"),
        (4, 4, "everything"),
        (5, 3, "storm"),
        (15, 3, "wild"),
        (7, 3, "contracts"),
        (8, 4, "drains"),
        (17, 5, "drains"),
    ],
)
def test_simulated_clusters(seed: int, members: int, kind: str) -> None:
    digest = Digest()
    result = play_seed(seed, members, kind, recorded_cluster(digest))
    digest.add(result.plain())
    digest.add(result.names)
    assert_digest(f"world-{kind}-{seed}", digest)


def test_validation_of_proposed_waves() -> None:
    digest, allowing_conditions = Digest(), ClusterConditions(0, 1, 0, -1.0, 10.0)
    group_state = RecordedGroupState(FLEET, digest)
    group_state.apply(START_MS, StartRollingRestart(id="ask", restart="r", gateways=GATEWAYS[:4], at_once=2))
    rolling_restarts = group_state.machine.parts["rolls"]
    assert isinstance(rolling_restarts, RollingRestarts) and rolling_restarts.active is not None
    for event, order in (
        (RestartEvent.SEEN, ()),
        (RestartEvent.PLANNED, ()),
        (RestartEvent.PLANNED, GATEWAYS[:4]),
    ):
        group_state.apply(
            START_MS,
            RecordRestartEvent(
                id=f"{event.name}{len(order)}",
                restart="r",
                restart_version=rolling_restarts.active.version,
                event=event.name,
                order=order,
                member_count=6,
            ),
        )
    waves = [
        (GATEWAYS[:3], allowing_conditions),
        (("nobody",), allowing_conditions),
        ((), allowing_conditions),
        (GATEWAYS[:2], allowing_conditions),
    ]
    waves[:0] = [
        (GATEWAYS[:1], conditions)
        for conditions in (
            ClusterConditions(1, 1, 0, -1.0, 0.0),
            ClusterConditions(0, -1, 0, -1.0, 0.0),
            ClusterConditions(0, 1, 1, -1.0, 0.0),
            ClusterConditions(0, 1, 0, 5.0, 9.0),
        )
    ]
    for position, (gateways, conditions) in enumerate(waves):
        for versions_behind in (-1, 1, 0):
            group_state.apply(
                START_MS + position,
                StartWave(
                    id=f"w{position}/{versions_behind}",
                    restart="r",
                    gateways=gateways,
                    conditions=conditions,
                    restart_version=rolling_restarts.active.version - versions_behind,
                ),
            )
    group_state.record_state()
    assert_digest("roll-waves", digest)


def test_connections_are_closed_before_an_unrenewed_lease_expires() -> None:
    digest, clients = Digest(), SimulatedClients(300, Digest())
    lease_holder = ConnectionLeaseHolder(
        holder_id(MEMBER_IDS[0], "b1", "1"), TIMINGS, Invariants(strict=False), clients.now_ms
    )
    server, now_ms, previous = SERVERS[0], clients.now_ms, (False, False, 0)
    clients.apply(SetConnectionLimit(id="l", server=server, max_connections=9, idle_timeout_ms=3000.0))
    lease_holder.set_need(server, 3)
    for step in range(60_000):
        now_ms += 0.5
        if step < 4000:
            for command in lease_holder.poll(now_ms, START_MS + now_ms):
                lease_holder.answered(now_ms, command, clients.apply(command))
            if step % 100 == 0 and lease_holder.may_open(now_ms, server):
                lease_holder.opened(now_ms, server)
        current = (
            lease_holder.may_open(now_ms, server),
            lease_holder.lease_valid(now_ms, server),
            sum(count for _, count in lease_holder.excess(now_ms)),
        )
        if current != previous:
            digest.add((now_ms, current))
        previous = current
    assert_digest("connections-unrenewed", digest)
