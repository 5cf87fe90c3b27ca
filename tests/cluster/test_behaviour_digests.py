"""Digests of the cluster part's behaviour, recorded once: a change that only renames or moves leaves each
as it is."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, cast

import pytest

from badgeryoke.cluster.bootstrap_record import BootstrapRecord
from badgeryoke.cluster.connection_limits.commands import (
    MAX_LIMIT,
    LeaseReference,
    ReleaseConnectionLeases,
    RemoveConnectionLimit,
    RequestConnectionLeases,
    SetConnectionLimit,
)
from badgeryoke.cluster.connection_limits.commands import ConnectionLeaseRequest as ConnAsk
from badgeryoke.cluster.connection_limits.holders import holder_id, server_bucket
from badgeryoke.cluster.connection_limits.lease_holder import ConnectionLeaseHolder
from badgeryoke.cluster.connection_limits.limits import ConnectionLimits
from badgeryoke.cluster.errors import NoLeader, StorageFailed, UnknownOutcome
from badgeryoke.cluster.events import (
    ChangeMembership as ChangeMembers,
)
from badgeryoke.cluster.events import (
    ClusterCall,
    LeaveCluster,
    MembershipAction,
    MessageReceived,
    NodeEvent,
    PersistedGroup,
    PersistRecords,
    ReadIndexRequest,
    RecordsPersisted,
    ReplicaEvent,
    SendMessage,
    Snapshot,
    StorageFailure,
    Tick,
    TransferLeadership,
)
from badgeryoke.cluster.events import ProposeCommand as ProposeEntry
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
from badgeryoke.cluster.reservations.priority_shedding import CapacityClaim as ShareClaim
from badgeryoke.cluster.reservations.priority_shedding import CapacityShares
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
from badgeryoke.testbed.cluster_simulation.world import FleetWorld
from badgeryoke.testbed.scenario.model import Fault
from tests.support.canonical import Digest
from tests.support.cluster_digest import (
    RecordedNode,
    add_effects,
    add_state,
    applied_values,
    broken_values,
    check,
    command_values,
    saved_values,
)
from tests.support.member_network import MemberNetwork, members_of
from tests.support.raft_group import apply_write
from tests.support.raft_storm import FaultStorm

TIMINGS = Timings()
SHORT = Timings(snapshot_entries=8, piece_bytes=48, most_batch=3, most_in_flight=6)
START = 1_700_000_000_000.0  # Unix ms


# Raft replica
# ---------------------------------------------------------------------------------------------------------


def recorded_replica(digest: Digest) -> type[RaftNode]:
    """A replica whose events and effects go into a digest."""

    class Recorded(RaftNode):
        def handle(self, now: float, event: ReplicaEvent) -> list[Any]:
            digest.add((now, str(self.member_id), event))
            effects = super().handle(now, event)
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

    return Recorded


@pytest.mark.parametrize("seed", range(10), ids="storm-{}".format)
def test_replicas_in_a_storm(seed: int) -> None:
    digest = Digest()
    storm = FaultStorm(1000 + seed, recorded_replica(digest), duration_ms=2500.0)
    storm.run()
    world = storm.group
    digest.add([str(who) for who in world.processes])
    digest.add(world.acknowledged)
    for at, site in enumerate(world.processes.values()):
        assert site.replica is not None
        digest.add(site.replica.status(world.now_ms))
        if at % 2:
            site.replica.handle(world.now_ms, StorageFailure(StorageFailed("g", "the disk is full")))
        site.replica.handle(world.now_ms, ReadIndexRequest("late-read"))
        site.replica.handle(world.now_ms, ProposeEntry("late", b"x"))
        digest.add(site.replica.discard())
        digest.add(site.replica.status(world.now_ms))
    check(f"replica-storm-{seed}", digest)


class Rows:
    """A machine that keeps its commands."""

    def __init__(self) -> None:
        self.rows: list[bytes] = []

    def apply(self, now: float, index: int, body: bytes) -> int:
        self.rows.append(body)
        return len(self.rows)

    def dump(self) -> bytes:
        return b"|".join(self.rows)

    def restore(self, now: float, body: bytes) -> None:
        self.rows = body.split(b"|") if body else []


class Strangers:
    """Draws messages and calls to one replica, likely ones and absurd ones."""

    def __init__(self, draw: random.Random, replica: RaftNode, names: tuple[MemberId, ...]) -> None:
        self.draw, self.replica, self.names = draw, replica, names
        self.tokens = 0
        self.friendly = False
        self.answers: list[MessageReceived] = []  # on their way to the replica

    def term(self) -> int:
        return max(self.replica.current_term + self.draw.choice((0, 0, 0, 0, 0, 0, 1, -1)), 0)

    def index(self) -> int:
        near = self.draw.choice(
            (self.replica.last_log_index, self.replica.commit_index, self.replica.last_log_index + 1)
        )
        return max(near + self.draw.choice((0, 0, 0, -1, 1, -3)), 0)

    def token(self) -> str:
        self.tokens += 1
        return f"t{self.tokens}"

    def entries(self, previous: int, term: int) -> tuple[LogEntry, ...]:
        made = tuple(
            LogEntry(previous + 1 + at, term, EntryKind.COMMAND, f"e{previous}-{at}".encode())
            for at in range(self.draw.choice((0, 0, 1, 2, 3)))
        )
        if made and self.draw.random() < 0.1:
            voters = self.names[: self.draw.randint(2, len(self.names))]
            made = (
                *made[:-1],
                LogEntry(made[-1].index, term, EntryKind.CONFIG, encode_config(GroupConfiguration(voters))),
            )
        return made

    def message(self) -> Any:
        draw, term, index = self.draw, self.term(), self.index()
        kind = draw.choices(range(7), (14, 14, 25, 25, 6, 3, 4))[0]
        if kind == 0:
            return RequestVote(
                "g", term, index, draw.choice((term, term - 1, 0)), draw.random() < 0.5, draw.random() < 0.2
            )
        if kind == 1:
            return RequestVoteReply("g", term, draw.random() < 0.8, draw.random() < 0.5)
        if kind == 2:
            return AppendEntries(
                "g",
                term,
                index,
                draw.choice((term, term, term - 1)),
                self.entries(index, term),
                index,
                draw.randint(0, 20),
            )
        if kind == 3:
            return AppendEntriesReply("g", term, draw.random() < 0.8, index, draw.randint(0, 40))
        if kind == 4:
            size = draw.choice((0, 4, 8))
            offset = draw.choice((0, 0, 4))
            return InstallSnapshotChunk(
                "g",
                term,
                index + draw.randint(0, 4),
                term,
                GroupConfiguration(self.names[:3]),
                offset,
                size,
                b"a|b|c|d|"[offset : offset + 4],
                draw.randint(0, 20),
            )
        if kind == 5:
            return InstallSnapshotChunkReply("g", term, index, draw.randint(0, 60), draw.randint(0, 20))
        return TimeoutNow("g", term)

    def answer(self, sent: SendMessage) -> MessageReceived | None:
        """What a member that follows in good faith would say."""
        message = sent.message
        match message:
            case RequestVote():
                return MessageReceived(sent.to, RequestVoteReply("g", message.term, True, message.pre_vote))
            case AppendEntries():
                last = message.prev_log_index + len(message.entries)
                if self.draw.random() < 0.1:
                    return MessageReceived(
                        sent.to,
                        AppendEntriesReply(
                            "g", message.term, False, max(last - 3, 0), message.heartbeat_round
                        ),
                    )
                return MessageReceived(
                    sent.to, AppendEntriesReply("g", message.term, True, last, message.heartbeat_round)
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

    def event(self, seqs: list[int]) -> ReplicaEvent:
        draw, chance = self.draw, self.draw.random()
        if self.friendly and self.answers and chance < 0.6:
            return self.answers.pop(0)
        if self.friendly and chance < 0.9:
            chance = draw.choice((0.1, 0.4, 0.87, 0.95, 0.97, 0.995))
        if chance < 0.3:
            return Tick()
        if chance < 0.55 and seqs:
            return RecordsPersisted("g", seqs.pop(0))
        if chance < 0.85:
            return MessageReceived(draw.choice(self.names), self.message())
        if chance < 0.93:
            body = b"x" * (MAX_COMMAND_BYTES + 1) if draw.random() < 0.02 else f"p{self.tokens}".encode()
            return ProposeEntry(self.token(), body)
        if chance < 0.96:
            return ReadIndexRequest(self.token())
        if chance < 0.99:
            token, action = (
                self.token(),
                draw.choice(("learn", "promote", "remove", "dance")),
            )  # one is unknown
            return ChangeMembers(token, cast(MembershipAction, action), draw.choice(self.names))
        return TransferLeadership(draw.choice((*self.names, "")))


@pytest.mark.parametrize("seed", range(24), ids="strangers-{}".format)
def test_one_replica_among_strangers(seed: int) -> None:
    """Messages that no group would send, with breaches of the invariants noted and not raised."""
    digest, draw = Digest(), random.Random(2000 + seed)
    names = tuple(f"{name}/1" for name in "abcde")
    voters = GroupConfiguration(names[: draw.choice((1, 3, 3, 5))])
    rules, saved, now = Invariants(strict=False), PersistedGroup(), 0.0
    for life in range(6):
        machine = Rows()
        replica = recorded_replica(digest)(
            "g",
            names[0],
            saved,
            machine,
            SHORT,
            random.Random(seed * 10 + life),
            rules,
            now,
            voters if life % 5 < 4 else None,
        )
        strangers, seqs = Strangers(draw, replica, names), list[int]()
        strangers.friendly = seed % 2 == 1
        for _ in range(150):
            now += draw.choice((0.0, 1.0, 5.0, 60.0, 300.0))
            for effect in replica.handle(now, strangers.event(seqs)):
                if isinstance(effect, PersistRecords):
                    seqs.append(effect.sequence)
                    saved = apply_write(saved, effect)
                elif (
                    isinstance(effect, SendMessage)
                    and strangers.friendly
                    and (said := strangers.answer(effect))
                ):
                    strangers.answers.append(said)
        digest.add(replica.status(now))
        digest.add(saved_values(saved, "g"))
        digest.add((rules.count, broken_values(rules)))
        if replica.stop_reason is not None:
            saved, rules = PersistedGroup(), Invariants(strict=False)
    check(f"replica-strangers-{seed}", digest)


def test_a_group_that_is_forced() -> None:
    digest, config = Digest(), GroupConfiguration(("a/1", "b/1", "c/1"))
    saved = PersistedGroup(
        4,
        "b/1",
        Snapshot(3, 2, config, b"x"),
        (LogEntry(4, 3, EntryKind.COMMAND, b"y"), LogEntry(5, 4, EntryKind.COMMAND, b"z")),
    )
    for lost in (("b/1", "c/1"), ("b/1",), (), ("c/1", "b/1"), ("b/1", "d/1")):
        digest.add(saved_values(force_sole_voter(saved, "g", "a/1", lost, START), "g"))
    check("forced", digest)


# Membership and founding
# ----------------------------------------------------------------------------------------------


class RecordedNet(MemberNetwork):
    """A network of members whose effects go into a digest."""

    def __init__(self, count: int, seed: int, kind: str, digest: Digest) -> None:
        super().__init__(count, seed, kind)
        self.digest = digest

    def carry(self, name: str, effects: list[Any]) -> None:
        self.digest.add((self.now, name, len(effects)))
        add_effects(self.digest, self.now, effects)
        super().carry(name, effects)

    def look(self) -> None:
        """Take in what each member believes."""
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
                        [node.state_of(one.name) for one in self.members],
                    )
                )


def trouble(net: RecordedNet, draw: random.Random, names: list[str]) -> None:
    """One fault, or a mend."""
    name, kind = draw.choice(names), draw.randint(0, 7)
    cut = set(draw.sample(names, max(len(names) // 3, 1)))
    if kind == 0:
        net.delay = lambda a, b: None if draw.random() < 0.2 else draw.uniform(0.2, 60.0)
    elif kind == 1:
        net.delay = lambda a, b: None if (a in cut) != (b in cut) else draw.uniform(0.2, 2.0)
    elif kind == 2:
        net.delay = lambda a, b: None if a in cut and b not in cut else draw.uniform(0.2, 2.0)
    elif kind == 3:
        net.delay = lambda a, b: draw.uniform(0.2, 2.0) if draw.random() < 0.9 else draw.uniform(50.0, 400.0)
    elif kind == 4 and name in net.nodes:
        net.stop(name)
    elif kind == 5 and name not in net.nodes:
        net.start(name, wiped=draw.random() < 0.6)
    elif kind == 6 and name in net.nodes and name not in net.frozen:
        net.frozen[name] = []
    elif kind == 7 and name in net.frozen:
        net.thaw(name)


def odd_gossip(draw: random.Random, ids: list[MemberId]) -> Any:
    """A message of no member's."""
    rumours = tuple(
        GossipUpdate(
            draw.choice((*ids, "zz/1")), draw.randint(0, 3), draw.randint(0, 3), draw.choice((*ids, ""))
        )
        for _ in range(3)
    )
    who, seq = draw.choice(ids), draw.randint(0, 9)
    return draw.choice(
        (Ping(seq, who, rumours, START), PingRequest(seq, who, rumours), Nack(seq, who, rumours))
    )


@pytest.mark.parametrize(
    ("count", "seed", "steps"), [(3, 1, 60), (3, 2, 60), (10, 3, 40), (10, 4, 40), (40, 5, 10)]
)
def test_members(count: int, seed: int, steps: int) -> None:
    digest, draw = Digest(), random.Random(3000 + seed)
    net = RecordedNet(count, seed, "membership", digest)
    names = [one.name for one in net.members]
    for name in names:
        net.start(name)
    for node in net.nodes.values():
        node.learn_ids(net.ids.values())
    net.run(1500.0)
    for step in range(steps):
        trouble(net, draw, names)
        net.run(net.now + draw.uniform(200.0, 2500.0))
        if step % 4 == 0:
            net.look()
        up = [name for name in net.nodes if name not in net.frozen]
        if up and draw.random() < 0.3:
            net.give(
                draw.choice(up),
                MessageReceived(
                    draw.choice(list(net.ids.values())), odd_gossip(draw, list(net.ids.values()))
                ),
            )
        if len(up) > 2 and draw.random() < 0.1:
            leaver = draw.choice(up)
            net.carry(leaver, net.nodes[leaver].leave())
            net.run(net.now + 100.0)
            net.stop(leaver)
    net.look()
    check(f"members-{count}-{seed}", digest)


@pytest.mark.parametrize(("count", "seed"), [(1, 1), (3, 2), (3, 3), (7, 4), (12, 5)])
def test_foundings(count: int, seed: int) -> None:
    digest, draw = Digest(), random.Random(4000 + seed)
    net = RecordedNet(count, seed, "founding", digest)
    names = [one.name for one in net.members]
    for name in names:
        net.start(name, wiped=False)
    for _ in range(25):
        trouble(net, draw, names)
        net.run(net.now + draw.uniform(50.0, 900.0))
        if net.nodes and draw.random() < 0.4:
            name, sender = draw.choice(list(net.nodes)), draw.choice(list(net.ids.values()))
            message = draw.choice(
                (IdentityQuery("a"), Announce("a", b""), ClusterFounded(b"junk"), Announce("b", b"\x91\x01"))
            )
            if name not in net.frozen:
                net.give(name, MessageReceived(sender, message))
    net.delay = lambda a, b: 1.0
    for name in names:
        if name in net.frozen:
            net.thaw(name)
        if name not in net.nodes:
            net.start(name)
    net.run(net.now + 15_000.0)
    for node in net.nodes.values():
        digest.add(
            (node.record, node.is_founder, None if node.error is None else (node.error.code, node.error))
        )
        node.handle(net.now, StorageFailure(StorageFailed("", "full")))
    check(f"founding-{count}-{seed}", digest)


def test_placing_by_hash() -> None:
    digest = Digest()
    for members in (1, 2, 3, 5, 8, 20):
        record = BootstrapRecord(
            "yard", "f0", "m000/1", tuple((f"{one.name}/1", one.zone) for one in members_of(members)), 8, 5
        )
        digest.add(initial_placement(record))
        digest.add([replica_count(copies, members) for copies in range(1, 8)])
    digest.add(
        [group_for_key(f"{kind}:{at}", 8) for kind in "tsp" for at in range(200)] + [group_for_key("", 3)]
    )
    check("placing", digest)


# State machine parts
# --------------------------------------------------------------------------------------------------

WHO = tuple(f"m{at:03}/{at}" for at in range(6))
GATEWAYS = tuple(f"m{at:03}" for at in range(6))
HOLDERS = tuple(
    holder_id(who, boot, begun) for who in WHO[:3] for boot, begun in (("b1", "1"), ("b1", "2"), ("", "3"))
)
SERVERS = ("alpha", "beta", "gamma", "delta")
FLOORS = tuple(f"c{at}" for at in range(6))


class Calls:
    """Draws commands, likely ones and faulty ones."""

    def __init__(self, seed: int) -> None:
        self.draw, self.made, self.at = random.Random(seed), 0, START
        self.numbers: list[int] = [0, 1]
        self.stamp = 0  # of the roll under way

    def id(self) -> str:
        self.made += 1
        return f"i{self.made if self.draw.random() < 0.97 else max(self.made - 5, 1)}"

    def number(self) -> int:
        return (
            self.draw.choice(self.numbers[-8:])
            if self.draw.random() < 0.9
            else self.draw.choice((-1, 0, 7, 1 << 60))
        )

    def figure(self, most: float) -> float:
        return (
            self.draw.uniform(0.0, most) if self.draw.random() < 0.97 else self.draw.choice((-1.0, 0.0, 1e12))
        )

    def terms(self) -> ContractTerms:
        draw = self.draw
        begin = self.at + draw.choice((500.0, 3000.0, 12_000.0, 20_000.0, 60_000.0, -100.0))
        length = draw.choice((0.0, 2000.0, 5000.0, 15_000.0, 15_000.0))
        windows = [Window(begin, begin + length)]
        if draw.random() < 0.3:
            windows = [
                Window(
                    begin, begin + length, length + draw.choice((1000.0, 30_000.0, -10.0)), begin + 90_000.0
                )
            ]
        if draw.random() < 0.1:
            windows.append(Window(begin + draw.choice((0.0, 100_000.0)), begin + 120_000.0))
        if draw.random() < 0.02:
            windows = []
        return ContractTerms(
            draw.choice(("ta", "tb", "tc", "t d") if draw.random() < 0.1 else ("ta", "tb")),
            tuple(draw.sample(range(20), draw.randint(1, 3))) if draw.random() < 0.97 else (1, 1),
            self.figure(60.0),
            self.figure(40.0),
            tuple(windows),
            draw.choice(("", "", "a", "b")),
            draw.random() < 0.7,
            draw.choice((1, 2, 5, 9)) if draw.random() < 0.98 else 12,
        )

    def contract(self) -> str:
        return self.draw.choice(FLOORS) if self.draw.random() < 0.97 else "not a name"

    def fleet(self) -> Command:
        draw = self.draw
        kind = draw.randint(0, 23)
        if kind == 0:
            return SetCapacity(
                id=self.id(),
                capacity=self.figure(400.0),
                reserve_fraction=draw.choice((0.0, 0.2, 0.2, 1.5)),
                unreserved_rate=self.figure(30.0),
                zones={"a": 80.0, "b": self.figure(200.0)},
            )
        if kind < 6:
            return ProposeContract(
                id=self.id(), contract=f"{self.contract()}{draw.choice(('', '-x', '-y'))}", terms=self.terms()
            )
        if kind == 6:
            return ChangeContract(
                id=self.id(),
                contract=self.contract(),
                terms=self.terms(),
                effective_from_ms=self.at + draw.choice((100.0, 5000.0, 9000.0, -1.0)),
            )
        if kind == 7:
            return CancelContract(id=self.id(), contract=self.contract())
        if kind in (8, 9):
            return VersionDrained(id=self.id(), contract=self.contract(), version=draw.randint(0, 30))
        if kind in (10, 11):
            return ReportShortfall(
                id=self.id(),
                contract=self.contract(),
                reporter=draw.choice(GATEWAYS),
                cause=draw.choice("xyz"),
                units=self.figure(50.0),
                since_ms=self.at - 1000.0,
            )
        if kind in (12, 13):
            return AdvanceContracts(id=self.id())
        if kind == 14:
            name = draw.choice(GATEWAYS)
            return EnrolMember(
                id=self.id(), name=name, who=f"{name}/{draw.randint(0, 8)}", zone=draw.choice("ab")
            )
        if kind == 15:
            return ReplaceReplica(
                id=self.id(),
                group=f"g{draw.randint(0, 4)}",
                lost=draw.choice((*WHO, "")),
                new=draw.choice((*WHO, "")),
                most=draw.randint(0, 3),
            )
        if kind == 16:
            return ReplicaMoved(
                id=self.id(),
                group=f"g{draw.randint(0, 4)}",
                number=draw.randint(0, 40),
                voters=tuple(draw.sample(WHO, draw.randint(1, 4))),
                behind=tuple(draw.sample(WHO, 1)),
            )
        if kind == 17:
            return CancelMove(id=self.id(), group=f"g{draw.randint(0, 4)}", new=draw.choice(WHO), why="w")
        return self.roll()

    def facts(self) -> ClusterConditions:
        draw = self.draw
        return ClusterConditions(
            draw.choice((0, 0, 0, 1)),
            draw.choice((1, 1, 0, -1)),
            draw.choice((0, 0, 0, 1)),
            draw.choice((-1.0, 50.0)),
            draw.choice((10.0, 60.0)),
        )

    def roll(self) -> Command:
        draw, roll = self.draw, f"r{self.draw.randint(0, 3)}"
        kind, name = draw.randint(0, 9), draw.choice(GATEWAYS)
        if kind in (0, 1):
            return StartRollingRestart(
                id=self.id(),
                restart=roll,
                gateways=tuple(draw.sample(GATEWAYS, draw.randint(0, 3))),
                zone=draw.choice(("", "", "", "a")),
                reason="why",
                at_once=draw.choice((1, 2, 0)),
                deadline_ms=draw.choice((2000.0, 60_000.0, -1.0)),
                after_drain=draw.choice(("restart", "hold", "sing")),
                warm_up_ms=500.0,
                may_empty_zone=draw.random() < 0.3,
            )
        if kind == 2:
            return CancelRollingRestart(id=self.id(), restart=roll)
        if kind == 3:
            return ResumeGateway(
                id=self.id(), restart=roll, gateway=draw.choice(("", name)), force=draw.random() < 0.3
            )
        if kind == 4:
            return RecordRestartEvent(
                id=self.id(),
                restart=roll,
                restart_version=draw.choice((self.stamp, self.stamp, 3)),
                event=draw.choice(list(RestartEvent)).name,
                cause="w",
                order=GATEWAYS[:3],
                member_count=6,
            )
        if kind == 5:
            return StartWave(
                id=self.id(),
                restart=roll,
                restart_version=draw.choice((self.stamp, self.stamp, 3)),
                gateways=(name,),
                conditions=self.facts(),
            )
        if kind in (6, 7):
            return RecordGatewayEvent(
                id=self.id(),
                restart=roll,
                gateway=name,
                gateway_version=draw.randint(0, 2),
                event=draw.choice(list(GatewayEvent)).name,
                conditions=draw.choice((None, self.facts())),
                restart_version=draw.choice((self.stamp, self.stamp, -1)),
            )
        return ReportGateway(
            id=self.id(),
            restart=roll,
            gateway=name,
            gateway_version=draw.randint(0, 2),
            report=draw.choice((*(report.value for report in GatewayReport), "gone")),
            process=draw.choice((name, f"{name}-2", "")),
        )

    def lease(self) -> Command:
        draw = self.draw
        return RequestLease(
            id=self.id(),
            tenant="ta",
            contract=self.contract(),
            holder=draw.choice((*WHO, "")[:7]),
            lease_number=self.number(),
            kept_rate=self.figure(20.0),
            wanted_rate=self.figure(40.0),
            returned_units=self.figure(10.0),
            kept_depth=self.figure(20.0),
            wanted_units=self.figure(5.0),
            takes_spare=draw.random() < 0.3,
            min_depth=self.figure(3.0),
            draws_per_request=draw.random() < 0.3,
            process=draw.choice(("", "p1", "p2")),
            sequence=draw.randint(0, self.made),
        )

    def connection(self) -> Command:
        draw, server = self.draw, self.draw.choice(SERVERS)
        kind, where = draw.randint(0, 9), server_bucket(server)
        if kind == 0:
            return SetConnectionLimit(
                id=self.id(),
                server=server,
                max_connections=draw.choice((1, 10, 25, 40, 0, MAX_LIMIT + 1)),
                idle_timeout_ms=draw.choice((3000.0, 500.0, -1.0)),
            )
        if kind == 1 and draw.random() < 0.3:
            return RemoveConnectionLimit(id=self.id(), server=server)
        if kind == 2:
            holder = draw.choice(HOLDERS)
            return ReleaseConnectionLeases(
                id=self.id(),
                holder=holder,
                bucket=where,
                leases=(LeaseReference(server, self.number()),),
                proof=draw.choice(("idle", "reset", "guess")),
                reported_by=draw.choice(HOLDERS),
            )
        asks = tuple(
            ConnAsk(one, self.number(), draw.randint(0, 12), draw.randint(0, 30))
            for one in SERVERS
            if server_bucket(one) == where or draw.random() < 0.02
        )
        return RequestConnectionLeases(
            id=self.id(),
            holder=draw.choice(HOLDERS),
            bucket=where,
            requests=asks,
            first_request=draw.random() < 0.2,
        )

    def tenant(self) -> Command:
        draw = self.draw
        if draw.random() < 0.4:
            return self.connection()
        kind = draw.randint(0, 15)
        if kind < 2:
            begin = self.at + draw.choice((0.0, -100.0, 2000.0))
            return OpenContract(
                id=self.id(),
                tenant="ta",
                contract=self.contract(),
                version=draw.randint(0, 12),
                rate=self.figure(60.0),
                burst=self.figure(30.0),
                intervals=(
                    Interval(begin, begin + 20_000.0),
                    Interval(begin + 30_000.0, begin + 60_000.0),
                ),
                effective_from_ms=self.at + draw.choice((0.0, 4000.0)),
            )
        if kind < 8:
            return self.lease()
        if kind < 10:
            first = int(self.at / 5.0)
            return ReportUsage(
                id=self.id(),
                tenant="ta",
                contract=self.contract(),
                reporter=draw.choice(GATEWAYS),
                slices=tuple(
                    UsageSlice(first - draw.randint(0, 500), self.figure(4.0), draw.uniform(0.0, 2.0))
                    for _ in range(draw.randint(1, 8))
                ),
            )
        if kind == 10:
            return ReleaseLease(
                id=self.id(),
                tenant="ta",
                contract=self.contract(),
                holder=draw.choice(WHO),
                lease_number=self.number(),
            )
        if kind == 11:
            return SwitchVersion(id=self.id(), tenant="ta", contract=self.contract())
        batch = f"b{draw.randint(0, 40)}"
        if kind == 12:
            return PutValue(
                id=self.id(), name=draw.choice(("x", "y", "z", "")), value=draw.choice(("1", "2", "v" * 1025))
            )
        if kind == 13:
            lines = tuple(UsageLine(f"n{at}", self.figure(9.0), 1000.0) for at in range(draw.randint(0, 3)))
            return RecordUsage(
                id=batch, tenant=draw.choice(("ta", "tb")), recorded_by=draw.choice(WHO), lines=lines
            )
        if kind == 14:
            return ClaimUsage(id=self.id(), tenant="ta", batch=batch, reporter=draw.choice(WHO))
        return ConfirmUsageReported(
            id=self.id(),
            tenant="ta",
            batch=batch,
            reporter=draw.choice(WHO),
            outcome_known=draw.random() < 0.5,
        )


def reads(group: str) -> list[Command]:
    """Every query of a group."""
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


def view_of(draw: random.Random, now: float, wall: float, since: float) -> LeaderView:
    """What a leader may look at."""
    dead = {who: draw.choice((500.0, 4000.0, 50_000.0)) for who in WHO if draw.random() < 0.12}
    return LeaderView(
        now,
        wall,
        WHO[0],
        since,
        TIMINGS,
        frozenset(who for who in WHO if who not in dead),
        dead,
        {name: "ab"[at % 2] for at, name in enumerate(GATEWAYS)},
        {"capacity": 200.0, "demand": draw.uniform(0.0, 150.0)},
        {"g0": WHO[:3], "g1": WHO[2:5], FLEET: WHO[:3]},
        {"g0": (draw.choice(WHO),)} if draw.random() < 0.1 else {},
    )


class Applier:
    """A group's state, driven by commands, with a copy that is restored from its snapshots."""

    def __init__(self, group: str, digest: Digest) -> None:
        self.group, self.digest, self.index, self.now = group, digest, 0, 1000.0
        self.rules = Invariants(strict=False)
        self.state = self.fresh()

    def fresh(self) -> GroupStateMachine:
        made = GroupStateMachine(self.group, TIMINGS, self.rules)
        if self.group == FLEET:
            made.parts["placing"].initialize(
                BootstrapRecord(
                    "yard", "f0", WHO[0], tuple((who, "ab"[at % 2]) for at, who in enumerate(WHO[:5])), 4, 3
                )
            )
        return made

    def apply(self, at_ms: float, command: Command) -> Any:
        self.index += 1
        result = self.state.apply(self.now, self.index, encode_command(at_ms, command))
        self.digest.add(
            (at_ms, command_values(command), command.key(), command.validate(), applied_values(result))
        )
        return result

    def look(self) -> None:
        for command in reads(self.group):
            self.digest.add(applied_values(self.state.query(command)))
        add_state(self.digest, self.state)
        self.digest.add((self.rules.count, broken_values(self.rules)))

    def swap(self) -> None:
        body = self.state.dump()
        self.state = self.fresh()
        self.state.restore(self.now, body)


@pytest.mark.parametrize("group", [FLEET, "g0"])
@pytest.mark.parametrize("seed", range(8))
def test_a_group_state_through_drawn_commands(group: str, seed: int) -> None:
    digest, calls = Digest(), Calls(5000 + seed)
    applier, draw = Applier(group, digest), calls.draw
    if group == FLEET:
        applier.apply(
            calls.at,
            SetCapacity(
                id="cap", capacity=200.0, reserve_fraction=0.1, unreserved_rate=10.0, zones={"a": 100.0}
            ),
        )
    for step in range(500):
        passed = draw.choice((0.0, 5.0, 40.0, 300.0, 1500.0))
        calls.at, applier.now = calls.at + passed, applier.now + passed
        rolls = applier.state.parts.get("rolls")
        if isinstance(rolls, RollingRestarts) and rolls.active is not None:
            calls.stamp = rolls.active.version
        result = applier.apply(calls.at, calls.fleet() if group == FLEET else calls.tenant())
        value = result.value
        if isinstance(value, dict):
            calls.numbers += [part[1] for part in value.get("parts", []) if part[1] > 0]
            calls.numbers += [value["number"]] if isinstance(value.get("number"), int) else []
        elif isinstance(value, list) and value and isinstance(value[0], int):
            calls.numbers.append(value[0])
        if step % 4 == 0:
            for command in applier.state.leader_tasks(
                view_of(draw, applier.now, calls.at, applier.now - 9000.0)
            ):
                digest.add(command_values(command))
                if draw.random() < 0.7:
                    applier.apply(calls.at, command)
        if step % 60 == 59:
            applier.look()
            if step % 120 == 119:
                applier.swap()
    digest.add(applied_values(applier.state.apply(0.0, applier.index + 1, b"\x01")))
    check(f"state-{group}-{seed}", digest)


def test_commands_from_operators() -> None:
    digest = Digest()
    for name, fields in (
        ("Promise", {"id": "1", "name": "x", "value": "y"}),
        ("Promise", {"id": "1", "name": 3}),
        ("Promise", {"id": "1", "name": "", "value": "y"}),
        ("Nothing", {}),
        ("RollAsk", {"id": "1", "roll": "r", "at_once": 0}),
    ):
        made = parse_command(name, dict(fields))
        digest.add(command_values(made) if isinstance(made, Command) else made)
    for timings in (
        TIMINGS,
        Timings(heartbeat_ms=0.0),
        Timings(election_ms=100.0),
        Timings(clock_drift=0.7),
        Timings(probe_timeout_ms=400.0),
        Timings(lease_ms=1000.0),
    ):
        digest.add((find_problems(timings), timings.outlast()))
    digest.add(expand_windows((Window(5.0, 6.0), Window(1.0, 2.0, 2.0, 4.0))))
    check("operators", digest)


@pytest.mark.parametrize("even", [True, False])
def test_a_divided_whole(even: bool) -> None:
    digest, draw, rules = Digest(), random.Random(6000), Invariants(strict=False)
    for case in range(6):
        divided = LeasePool(
            100.0, depth=draw.choice((0.0, 50.0)), step=draw.choice((0.0, 1.0)), even_split=even
        )
        now = 0.0
        for step in range(200):
            now += draw.choice((0.0, 10.0, 200.0))
            divided.accrue(START + now)
            who = draw.choice(WHO)
            held = divided.leases.get(who)
            number = held.number if held is not None and draw.random() < 0.9 else draw.choice((0, 0, 3))
            keep = (
                held.share * draw.choice((0.0, 0.5, 1.0, 1.0))
                if held is not None
                else draw.choice((0.0, 0.0, 3.0))
            )
            cap = held.depth if held is not None else 0.0
            digest.add(
                divided.request(
                    LeaseRequest(
                        who,
                        number,
                        keep,
                        draw.choice((0.0, 5.0, 30.0, 80.0)),
                        cap * draw.choice((0.0, 0.0, 0.3)),
                        cap * draw.choice((0.0, 0.5, 0.7)),
                        draw.choice((0.0, 0.0, 4.0)),
                        draw.random() < 0.3,
                        draw.choice((0.0, 1.0)),
                        draw.random() < 0.3,
                    ),
                    rules,
                )
            )
            digest.add([divided.excess(one) for one in divided.leases])
            digest.add(
                (
                    divided.fair_share(who, 30.0),
                    divided.fair_share(who, 20.0, True, True),
                    divided.capacity,
                    divided.granted(),
                )
            )
            divided.mark_seen(now)
            if step % 25 == 24:
                divided.resize(draw.uniform(40.0, 140.0), draw.choice((0.0, 30.0, 60.0)))
                digest.add(divided.expired(now, 400.0, now - 900.0))
                for gone, last in divided.expired(now, 400.0, now - 900.0):
                    digest.add(divided.release(gone, last))
                digest.add(divided.release(who, 0))
                digest.add(divided.dump())
                divided = LeasePool.load(divided.dump())
        digest.add((case, rules.count))
    check(f"divided-{even}", digest)


def test_shares() -> None:
    digest, draw, share, now = Digest(), random.Random(7000), CapacityShares(), 0.0
    for step in range(800):
        now += draw.choice((0.0, 3.0, 40.0))
        if step % 20 == 0:
            digest.add(
                share.update(
                    now,
                    draw.uniform(0.0, 120.0),
                    [
                        ShareClaim(
                            f"c{at}", draw.choice((1, 2, 3)), draw.uniform(0.0, 50.0), draw.uniform(0.0, 50.0)
                        )
                        for at in range(draw.randint(0, 5))
                    ],
                )
            )
        digest.add(share.admit(now, draw.choice(("", "c0", "c1", "c3", "c9")), draw.uniform(0.5, 4.0)))
    digest.add(share.buckets)
    check("shares", digest)


# Clients
# --------------------------------------------------------------------------------------------------------------


class Clients:
    """Several gateways' sides of leases and rolls against the states of a fleet's group and of another."""

    def __init__(self, seed: int, digest: Digest) -> None:
        self.draw, self.digest, self.now = random.Random(8000 + seed), digest, 1000.0
        self.states = {group: Applier(group, digest) for group in (FLEET, "g0")}
        self.holders: list[Any] = []
        self.late: list[tuple[float, Any, Command, Any]] = []

    @property
    def wall(self) -> float:
        return START + self.now

    def apply(self, command: Command) -> Any:
        applier = self.states[FLEET if not command.key() else "g0"]
        applier.now = self.now
        if command.reads:
            result = applier.state.query(command)
            self.digest.add((command_values(command), applied_values(result)))
            return result
        return applier.apply(self.wall, command)

    def call(self, holder: Any, command: Command) -> None:
        """Make a holder's call, which may be lost on its way, or its answer."""
        chance = self.draw.random()
        if chance < 0.03:
            result: Any = NoLeader("g", "nobody leads")
        else:
            result = self.apply(command)
            if chance < 0.06:
                result = UnknownOutcome("g", "no answer")
        self.late.append((self.now + self.draw.choice((1.0, 5.0, 30.0, 200.0)), holder, command, result))

    def work(self) -> None:
        view = view_of(self.draw, self.now, self.wall, 0.0)
        for applier in self.states.values():
            applier.now = self.now
            for command in applier.state.leader_tasks(view):
                self.apply(command)

    def go(self, ms: float) -> None:
        """Time goes on; answers arrive, calls are made."""
        self.now += ms
        arrived, self.late = (
            [one for one in self.late if one[0] <= self.now],
            [one for one in self.late if one[0] > self.now],
        )
        for _, holder, command, result in arrived:
            holder.answered(self.now, command, result)
        for holder in self.holders:
            for command in holder.poll(self.now, self.wall):
                self.call(holder, command)


def floors_step(
    clients: Clients, floors: list[ReservationClient], held: list[tuple[ReservationClient, ReservedUnits]]
) -> None:
    """Requests at some gateways."""
    draw, digest, now = clients.draw, clients.digest, clients.now
    for floor in floors:
        for _ in range(draw.choice((0, 0, 1, 3))):
            customer, units = draw.randint(0, 8), draw.choice((1.0, 1.0, 2.5))
            got = floor.take(now, customer, units)
            digest.add(got)
            if got is not None:
                held.append((floor, got))
            elif draw.random() < 0.7:
                digest.add(floor.wait(now, customer, units, f"w{customer}"))
        digest.add(floor.finished_waits(now))
        digest.add((floor.idle_rate(now), floor.held_rate(now), floor.due))
    if held and draw.random() < 0.1:
        floor, got = held.pop(draw.randrange(len(held)))
        floor.failed(now, got, draw.choice(("overload", "timeout")))


@pytest.mark.parametrize("seed", range(4))
def test_floors_of_gateways(seed: int) -> None:
    digest = Digest()
    clients = Clients(seed, digest)
    floors = [ReservationClient(who, f"p{at}", TIMINGS, "ab"[at % 2], 3) for at, who in enumerate(WHO[:3])]
    clients.holders += floors
    clients.apply(SetCapacity(id="cap", capacity=200.0, reserve_fraction=0.1, unreserved_rate=10.0))
    begin = clients.wall
    for at, (rate, rank) in enumerate(((30.0, 1), (60.0, 5), (15.0, 9))):
        clients.apply(
            ProposeContract(
                id=f"p{at}",
                contract=f"c{at}",
                terms=ContractTerms(
                    "ta",
                    (3 * at, 3 * at + 1, 3 * at + 2),
                    rate,
                    20.0,
                    (Window(begin + 1500.0, begin + 9000.0), Window(begin + 12_000.0, begin + 15_000.0)),
                    rank=rank,
                ),
            )
        )
    held: list[tuple[ReservationClient, ReservedUnits]] = []
    for step in range(1300):
        quiet = 350 < step < 450 or (seed == 3 and step % 400 > 300)
        busy = floors[:1] if 500 < step < 650 else floors
        floors_step(clients, [] if quiet else busy, held)
        clients.go(clients.draw.choice((3.0, 8.0, 20.0)))
        if step % 8 == 0:
            clients.work()
        if step == 200:
            clients.apply(
                ChangeContract(
                    id="ch",
                    contract="c1",
                    effective_from_ms=clients.wall + 5000.0,
                    terms=ContractTerms(
                        "ta", (3, 4, 5, 6), 40.0, 10.0, (Window(begin + 1500.0, begin + 9000.0),), rank=5
                    ),
                )
            )
        if step == 420:
            clients.apply(CancelContract(id="ca", contract="c2"))
        if step == 700:
            floors[2] = ReservationClient(WHO[2], "again", TIMINGS, "a", 3)
            clients.holders[2] = floors[2]
        if step % 100 == 99:
            digest.add([floor.status(clients.now) for floor in floors])
            for applier in clients.states.values():
                applier.look()
    check(f"floors-{seed}", digest)


def connections_step(
    draw: random.Random, now: float, keeper: ConnectionLeaseHolder, is_open: dict[str, int], digest: Digest
) -> None:
    """One gateway opens and closes."""
    for server in SERVERS:
        need = draw.choice((0, 2, 5, 12)) if draw.random() < 0.1 else -1
        if need >= 0:
            keeper.set_need(server, need)
        may = keeper.may_open(now, server)
        digest.add((server, may, keeper.lease_valid(now, server)))
        if may and draw.random() < 0.6:
            keeper.opened(now, server)
            is_open[server] = is_open.get(server, 0) + 1
        elif is_open.get(server, 0) and draw.random() < 0.1:
            keeper.closing(server)
            keeper.closed(server, already_closing=True)
            is_open[server] -= 1
    must = keeper.excess(now)
    digest.add(must)
    for server, count in must:
        for _ in range(count):
            keeper.closing(server)
            keeper.closed(server, already_closing=True)
            is_open[server] -= 1
    digest.add(keeper.empty)


@pytest.mark.parametrize("seed", range(4))
def test_connections_of_gateways(seed: int) -> None:
    digest = Digest()
    clients = Clients(100 + seed, digest)
    draw, rules = clients.draw, Invariants(strict=False)
    keepers = [
        ConnectionLeaseHolder(holder_id(who, "b1", "1"), TIMINGS, rules, clients.now) for who in WHO[:4]
    ]
    opened: list[dict[str, int]] = [{} for _ in keepers]
    clients.holders += keepers
    for at, server in enumerate(SERVERS[:3]):
        clients.apply(
            SetConnectionLimit(
                id=f"l{at}", server=server, max_connections=12 + 7 * at, idle_timeout_ms=3000.0
            )
        )
    for step in range(700):
        for keeper, is_open in zip(keepers, opened, strict=True):
            connections_step(draw, clients.now, keeper, is_open, digest)
        clients.go(draw.choice((10.0, 40.0, 120.0)))
        if step % 10 == 0:
            clients.work()
        if step % 120 == 60:
            clients.apply(
                SetConnectionLimit(
                    id=f"m{step}",
                    server=draw.choice(SERVERS[:3]),
                    max_connections=draw.randint(6, 30),
                    idle_timeout_ms=2000.0,
                )
            )
        if step % 150 == 149:
            again = draw.randrange(4)
            keepers[again] = ConnectionLeaseHolder(
                holder_id(WHO[again], draw.choice(("b1", "b2")), str(step)),
                TIMINGS,
                rules,
                clients.now,
                only_process=True,
            )
            keepers[again].need_multiple = draw.choice((1.0, 1.5))
            clients.holders[again], opened[again] = keepers[again], {}
        if step == 500:
            keepers[0].draining = True
            clients.apply(RemoveConnectionLimit(id="un", server=SERVERS[0]))
        if step % 70 == 69:
            connections = clients.states["g0"].state.parts["connections"]
            assert isinstance(connections, ConnectionLimits)
            digest.add(connections.summary())
            clients.states["g0"].look()
    digest.add([list(keeper.servers_without_limit) for keeper in keepers])
    check(f"connections-{seed}", digest)


@pytest.mark.parametrize("seed", range(8))
def test_rolls_of_gateways(seed: int) -> None:
    digest = Digest()
    clients = Clients(200 + seed, digest)
    draw, moved = clients.draw, list[int]()
    sides = [RollingRestartAgent(name, f"{name}-1", 6, lambda: moved.append(1)) for name in GATEWAYS[:5]]
    clients.holders += sides
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
        for at, side in enumerate(sides):
            drained = side.paused
            side.observe(
                groups_led=0 if draw.random() < 0.8 else 1,
                trimmed=draw.random() < 0.8,
                drained=drained,
                empty=draw.random() < 0.6 and seed != 6,
                copies_complete=draw.random() < 0.7,
            )
            duties = side.next_actions(clients.now)
            digest.add(
                (
                    duties,
                    side.phase,
                    side.concerns_this_process,
                    side.must_not_lead,
                    side.need_multiple,
                    side.due,
                    len(moved),
                )
            )
            if duties and draw.random() < 0.3:
                sides[at] = clients.holders[at] = RollingRestartAgent(
                    side.gateway, f"{side.gateway}-{step}", 6, lambda: moved.append(1)
                )
            elif side.phase in (GatewayPhase.PAUSING, GatewayPhase.EMPTYING):
                side.paused = True
            elif side.phase is None or side.phase in (GatewayPhase.RETURNING, GatewayPhase.UNDOING):
                side.paused = False
        clients.go(draw.choice((20.0, 60.0, 150.0)))
        if step % 3 == 0:
            clients.work()
        if step == 400 and seed in (2, 6):
            clients.apply(ResumeGateway(id="res", restart="r", force=True))
        if step == (150 if seed == 3 else 800):
            clients.apply(CancelRollingRestart(id="can", restart="r"))
        if step % 90 == 89:
            clients.states[FLEET].look()
    check(f"rolls-{seed}", digest)


def test_the_least_time_of_a_roll() -> None:
    digest, draw = Digest(), random.Random(9000)
    for _ in range(60):
        groups = {f"g{at}": tuple(draw.sample(GATEWAYS, 3)) for at in range(4)}
        halls = {name: draw.choice("ab") for name in GATEWAYS}
        digest.add(
            minimum_duration_ms(
                draw.sample(GATEWAYS, 4), groups, halls, draw.randint(1, 4), draw.random(), 1000.0
            )
        )
    check("least-roll", digest)


# Simulated worlds
# -----------------------------------------------------------------------------------------------------


def recorded_world(digest: Digest) -> Callable[[Any], FleetWorld]:
    """Makes worlds whose nodes go into a digest."""

    class Recorded(RecordedNode):
        pass

    Recorded.digest = digest
    return lambda plan: FleetWorld(plan, Recorded)


@pytest.mark.parametrize("full", ["full", "slow-disk"])
def test_a_world_with_bad_disks(full: str) -> None:
    digest = Digest()
    played = play(
        Plan(
            31,
            4,
            2,
            length_ms=9000.0,
            snapshot_entries=20,
            faults=(
                Fault(4000.0, full, "gateway", ((2,),), 200.0),
                Fault(6000.0, full, "gateway", ((3,),), 90.0),
            ),
        ),
        recorded_world(digest),
    )
    digest.add(played.plain())
    check(f"world-{full}", digest)


def answers_of(node: ClusterNode, digest: Digest, now: float, event: NodeEvent) -> None:
    """One event for a node; what comes of it goes into the digest by itself."""
    node.handle(now, START + now, event)
    digest.add((node.due, node.status()))


def test_a_node_alone() -> None:
    digest, rules = Digest(), Invariants(strict=False)

    class Recorded(RecordedNode):
        pass

    Recorded.digest = digest
    members = members_of(1)
    node = Recorded(
        NodeSetup("yard", "m000", "1", members, 1, 2, TIMINGS, 100.0), {}, random.Random(1), 0.0, START, rules
    )
    now, seqs = 0.0, list[PersistRecords]()
    answers_of(node, digest, now, ClusterCall("early", PutValue(id="e", name="n", value="v")))
    for step in range(300):
        now += 20.0
        effects = list(node.handle(now, START + now, Tick()))
        while effects:
            seqs = [effect for effect in effects if isinstance(effect, PersistRecords)]
            effects = [
                later
                for one in seqs
                for later in node.handle(now, START + now, RecordsPersisted(one.group, one.sequence))
            ]
        if step % 10 == 9:
            answers_of(
                node, digest, now, ClusterCall(f"c{step}", PutValue(id=f"p{step}", name="n", value=f"{step}"))
            )
            answers_of(node, digest, now, ClusterCall(f"r{step}", ReadValue(id=f"q{step}", name="n")))
            answers_of(node, digest, now, ClusterCall(f"b{step}", PutValue(id=f"b{step}", name="", value="")))
    good = encode_command(START, PutValue(id="far", name="n", value="w"))
    bad = encode_command(START, PutValue(id="far", name="", value="w"))
    for group, body in (("g0", b"junk"), ("g0", good), ("g1", good), ("g0", bad), ("g9", good)):
        answers_of(node, digest, now, MessageReceived("m000/2", ForwardedCall(f"f{group}", group, body, 1)))
    for token, body in (("x.1", b""), ("nodigits", b""), ("b9.1", b"\x93\xc0\xc0\xa0")):
        answers_of(node, digest, now, MessageReceived("m000/2", ForwardedReply(token, body)))
    answers_of(node, digest, now, LeaveCluster("leave"))
    for _ in range(100):
        now += 50.0
        node.handle(now, START + now, Tick())
    answers_of(node, digest, now, StorageFailure(StorageFailed("yard", "the disk is full")))
    answers_of(node, digest, now, ClusterCall("late", PutValue(id="late", name="n", value="v")))
    for _ in range(100):
        now += 50.0
        node.handle(now, START + now, Tick())
    check("node-alone", digest)


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
def test_worlds(seed: int, members: int, kind: str) -> None:
    digest = Digest()
    played = play_seed(seed, members, kind, recorded_world(digest))
    digest.add(played.plain())
    digest.add(played.names)
    check(f"world-{kind}-{seed}", digest)


def test_waves_of_a_roll_that_a_leader_may_not_begin() -> None:
    digest, good = Digest(), ClusterConditions(0, 1, 0, -1.0, 10.0)
    applier = Applier(FLEET, digest)
    applier.apply(START, StartRollingRestart(id="ask", restart="r", gateways=GATEWAYS[:4], at_once=2))
    rolls = applier.state.parts["rolls"]
    assert isinstance(rolls, RollingRestarts) and rolls.active is not None
    for turn, order in (
        (RestartEvent.SEEN, ()),
        (RestartEvent.PLANNED, ()),
        (RestartEvent.PLANNED, GATEWAYS[:4]),
    ):
        applier.apply(
            START,
            RecordRestartEvent(
                id=f"{turn.name}{len(order)}",
                restart="r",
                restart_version=rolls.active.version,
                event=turn.name,
                order=order,
                member_count=6,
            ),
        )
    waves = [(GATEWAYS[:3], good), (("nobody",), good), ((), good), (GATEWAYS[:2], good)]
    waves[:0] = [
        (GATEWAYS[:1], facts)
        for facts in (
            ClusterConditions(1, 1, 0, -1.0, 0.0),
            ClusterConditions(0, -1, 0, -1.0, 0.0),
            ClusterConditions(0, 1, 1, -1.0, 0.0),
            ClusterConditions(0, 1, 0, 5.0, 9.0),
        )
    ]
    for at, (gateways, facts) in enumerate(waves):
        for behind in (-1, 1, 0):
            applier.apply(
                START + at,
                StartWave(
                    id=f"w{at}/{behind}",
                    restart="r",
                    gateways=gateways,
                    conditions=facts,
                    restart_version=rolls.active.version - behind,
                ),
            )
    applier.look()
    check("roll-waves", digest)


def test_connections_are_closed_ahead_of_a_lease_that_is_not_renewed() -> None:
    digest, clients = Digest(), Clients(300, Digest())
    keeper = ConnectionLeaseHolder(
        holder_id(WHO[0], "b1", "1"), TIMINGS, Invariants(strict=False), clients.now
    )
    server, now, before = SERVERS[0], clients.now, (False, False, 0)
    clients.apply(SetConnectionLimit(id="l", server=server, max_connections=9, idle_timeout_ms=3000.0))
    keeper.set_need(server, 3)
    for step in range(60_000):
        now += 0.5
        if step < 4000:
            for command in keeper.poll(now, START + now):
                keeper.answered(now, command, clients.apply(command))
            if step % 100 == 0 and keeper.may_open(now, server):
                keeper.opened(now, server)
        found = (
            keeper.may_open(now, server),
            keeper.lease_valid(now, server),
            sum(n for _, n in keeper.excess(now)),
        )
        if found != before:
            digest.add((now, found))
        before = found
    check("connections-unrenewed", digest)
