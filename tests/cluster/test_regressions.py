"""Regression tests for faults that the other tests and the random simulations missed when they were planted, and for
faults that the code itself had.

`docs/design/planted-faults.md` lists the planted faults.
"""

from __future__ import annotations

import asyncio
import json
import shutil
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from badgeryoke.cluster import call_router, key_value, unreported_usage
from badgeryoke.cluster.bootstrap import Bootstrap
from badgeryoke.cluster.bootstrap_record import BootstrapRecord
from badgeryoke.cluster.connection_limits.commands import (
    LeaseReference,
    LeaseRefusal,
    ReleaseConnectionLeases,
    RemoveConnectionLimit,
    RequestConnectionLeases,
    SetConnectionLimit,
)
from badgeryoke.cluster.connection_limits.holders import server_bucket
from badgeryoke.cluster.connection_limits.lease_holder import KERNEL_RESET_MS, ConnectionLeaseHolder
from badgeryoke.cluster.connection_limits.lease_timing import CLOSE_BEFORE_EXPIRY_MS, LEASE_MULTIPLE
from badgeryoke.cluster.connection_limits.limits import ConnectionLimits
from badgeryoke.cluster.errors import (
    BadFrame,
    DuplicateId,
    InsufficientCapacity,
    InvalidCall,
    InvariantBroken,
    LeaseExpired,
    NoLeader,
    NotFound,
    Overloaded,
    StorageDamaged,
    StorageFailed,
    UnknownOutcome,
    WrongState,
)
from badgeryoke.cluster.events import (
    ChangeMembership,
    ClusterCall,
    Effect,
    HardState,
    LeaveCluster,
    LogEvent,
    MembershipAction,
    MessageReceived,
    OperationCompleted,
    PersistedGroup,
    PersistRecords,
    ProposeCommand,
    ReadIndexRequest,
    RecordsPersisted,
    SendMessage,
    Snapshot,
    StorageFailure,
    Tick,
    TransferLeadership,
)
from badgeryoke.cluster.invariants import Invariants, InvariantViolation, Rule
from badgeryoke.cluster.leases.lease import LeaseRequest
from badgeryoke.cluster.leases.lease_pool import MAX_ACCRUAL_GAP_MS, LeasePool
from badgeryoke.cluster.membership.member_table import MemberState
from badgeryoke.cluster.membership.protocol import Membership
from badgeryoke.cluster.messages import (
    PROTOCOL_VERSION,
    Ack,
    Announce,
    AppendEntries,
    AppendEntriesReply,
    ClusterFounded,
    EntryKind,
    Envelope,
    ForwardedCall,
    ForwardedReply,
    GossipUpdate,
    GroupConfiguration,
    IdentityQuery,
    InstallSnapshotChunk,
    InstallSnapshotChunkReply,
    LogEntry,
    Ping,
    RequestVote,
    RequestVoteReply,
    TimeoutNow,
    member_name,
)
from badgeryoke.cluster.node import ClusterNode, Member, NodeSetup
from badgeryoke.cluster.node_setup import BOOTSTRAP_GROUP
from badgeryoke.cluster.placement.commands import EnrolMember, ReplaceReplica, ReplicaMoved
from badgeryoke.cluster.placement.directory import PlacementDirectory
from badgeryoke.cluster.placement.initial_placement import replica_count
from badgeryoke.cluster.placement.rendezvous import group_for_key
from badgeryoke.cluster.placement.repair import is_overdue
from badgeryoke.cluster.placement.state import GroupPlacement
from badgeryoke.cluster.placement_follower import LAGGING_AFTER_MS
from badgeryoke.cluster.raft.log import RaftLog, encode_config
from badgeryoke.cluster.raft.log_replication import MAX_COMMAND_BYTES
from badgeryoke.cluster.raft.node import RaftNode
from badgeryoke.cluster.raft.persistence import MAX_WITHHELD_MESSAGES
from badgeryoke.cluster.raft.snapshot_transfer import MAX_SNAPSHOT_BYTES
from badgeryoke.cluster.raft.state_types import Role
from badgeryoke.cluster.reservations import admission
from badgeryoke.cluster.reservations.admission import ContractRegistry
from badgeryoke.cluster.reservations.commands import (
    AdvanceContracts,
    ChangeContract,
    OpenContract,
    ProposeContract,
    ReportShortfall,
    RequestLease,
    SetCapacity,
    SwitchVersion,
    VersionDrained,
)
from badgeryoke.cluster.reservations.contract import GRANT_AHEAD_MS
from badgeryoke.cluster.reservations.guaranteed_rates import GuaranteedRates
from badgeryoke.cluster.reservations.lease_client import ReservationClient
from badgeryoke.cluster.reservations.settlement import MAX_WAIT_MS
from badgeryoke.cluster.reservations.terms import ContractTerms, Interval, Window
from badgeryoke.cluster.rolling_restart.commands import (
    CancelRollingRestart,
    RecordGatewayEvent,
    RecordRestartEvent,
    ReportGateway,
    StartRollingRestart,
    StartWave,
)
from badgeryoke.cluster.rolling_restart.conditions import ClusterConditions
from badgeryoke.cluster.rolling_restart.gateway_agent import (
    MAX_ASSIGNMENT_AGE_MS,
    DesiredState,
    RollingRestartAgent,
)
from badgeryoke.cluster.rolling_restart.observation import observe_conditions
from badgeryoke.cluster.rolling_restart.scheduler import GROWTH_MARGIN_MS
from badgeryoke.cluster.rolling_restart.transitions import RestartState
from badgeryoke.cluster.rolling_restart.waves import RollingRestarts
from badgeryoke.cluster.state_machine import remembered_answers
from badgeryoke.cluster.state_machine.command_registry import decode_command, encode_command
from badgeryoke.cluster.state_machine.machine import GroupStateMachine
from badgeryoke.cluster.state_machine_part import FLEET, ApplyResult, Command, LeaderView
from badgeryoke.cluster.timings import Timings
from badgeryoke.gateway.cluster.admin_calls import parse_call
from badgeryoke.gateway.cluster.storage import ClusterStorage, open_storage
from badgeryoke.gateway.cluster.storage.format import ACKNOWLEDGED_FILE, WAL_FILE
from badgeryoke.gateway.cluster.transport import decode_envelope
from badgeryoke.testbed.cluster_simulation.clock import START_UNIX_MS
from badgeryoke.testbed.cluster_simulation.fault_plan import Plan
from badgeryoke.testbed.cluster_simulation.world import Machine, SimulatedCluster
from tests.support.raft_group import (
    THREE_VOTERS,
    TIMINGS,
    RecordingStateMachine,
    SimulatedGroup,
    persist_writes,
    sent_messages,
    single_replica,
)
from tests.support.running import until
from tests.support.stand_ins import HOST
from tests.support.storage import entries, open_existing, write_records
from tests.support.transport import PING, SHORT_TIMEOUTS, connected_pair, run_with_timeout

EMPTY_SNAPSHOT_BODY = msgspec.msgpack.encode([])


def entry(index: int, term: int, body: bytes = b"x", kind: int = EntryKind.COMMAND) -> LogEntry:
    return LogEntry(index, term, kind, body)


def replica_with_entries(term: int, *terms: int, vote: str = "") -> tuple[RaftNode, RecordingStateMachine]:
    """Replica a/1 of three with log entries of these terms, none of them known to be committed."""
    return single_replica(
        PersistedGroup(
            term,
            vote,
            Snapshot(0, 0, THREE_VOTERS, EMPTY_SNAPSHOT_BODY),
            tuple(entry(index, entry_term) for index, entry_term in enumerate(terms, 1)),
        )
    )


def leader_with_entries(term: int, *terms: int) -> tuple[RaftNode, RecordingStateMachine]:
    """The same replica as the leader of `term`; no other replica has its first entry yet."""
    replica, machine = replica_with_entries(term - 1, *terms)
    replica.handle(replica.due_ms, Tick())
    effects = replica.handle(2000.0, MessageReceived("b/1", RequestVoteReply("g", term, True, True)))
    persist_writes(replica, 2000.0, effects)
    persist_writes(
        replica,
        2000.0,
        replica.handle(2000.0, MessageReceived("b/1", RequestVoteReply("g", term, True, False))),
    )
    assert replica.role is Role.LEADER and replica.current_term == term
    return replica, machine


def match_index(replica: RaftNode, member: str) -> int:
    return int(replica.status(0.0)["members"][member]["match"])


# Votes
# ----------------------------------------------------------------------------------------------------------


@pytest.mark.parametrize("pre_vote", [True, False])
@pytest.mark.parametrize(
    ("last_index", "last_term", "granted"),
    [
        (9, 2, False),  # longer log, older last term
        (1, 3, False),  # shorter log, same last term
        (2, 3, True),
        (1, 4, True),  # shorter log, later last term
    ],
)
def test_a_vote_is_granted_by_last_term_and_then_by_log_length(
    pre_vote: bool, last_index: int, last_term: int, granted: bool
) -> None:
    replica, _ = replica_with_entries(4, 1, 3)
    effects = replica.handle(
        5000.0, MessageReceived("b/1", RequestVote("g", 5, last_index, last_term, pre_vote))
    )
    votes = sent_messages(effects + persist_writes(replica, 5000.0, effects), RequestVoteReply)
    assert [vote.vote_granted for vote in votes] == [granted]


def test_a_vote_of_an_older_term_is_not_counted() -> None:
    replica, _ = replica_with_entries(4, 1)
    for _ in range(2):  # two elections in which only its own vote is granted
        replica.handle(replica.due_ms, Tick())
        effects = replica.handle(
            replica.due_ms - 1.0,
            MessageReceived("b/1", RequestVoteReply("g", replica.current_term + 1, True, True)),
        )
        persist_writes(replica, replica.due_ms - 1.0, effects)
    assert replica.role is Role.CANDIDATE and replica.current_term == 6
    replica.handle(replica.due_ms - 1.0, MessageReceived("c/1", RequestVoteReply("g", 5, True, False)))
    assert replica.role is Role.CANDIDATE


def test_a_vote_withheld_until_stored_is_not_sent_in_a_later_term() -> None:
    replica, _ = replica_with_entries(4, 1)
    vote_effects = replica.handle(5000.0, MessageReceived("b/1", RequestVote("g", 5, 9, 9, False)))
    append_effects = replica.handle(5001.0, MessageReceived("c/1", AppendEntries("g", 6, 1, 1, (), 0, 1)))
    later_effects = persist_writes(replica, 5002.0, vote_effects + append_effects)
    assert replica.current_term == 6 and not sent_messages(later_effects, RequestVoteReply)


def test_a_stale_timeout_now_is_ignored() -> None:
    replica, _ = replica_with_entries(4, 1)
    replica.handle(10.0, MessageReceived("b/1", AppendEntries("g", 5, 1, 1, (), 0, 1)))
    for member, term in (("b/1", 4), ("c/1", 5)):
        replica.handle(11.0, MessageReceived(member, TimeoutNow("g", term)))
        assert replica.role is Role.FOLLOWER and replica.current_term == 5
    replica.handle(12.0, MessageReceived("b/1", TimeoutNow("g", 5)))
    assert replica.role is Role.CANDIDATE


# Answers to a leader
# ----------------------------------------------------------------------------------------------------------


def test_a_leader_ignores_append_replies_of_another_term_or_beyond_its_log() -> None:
    replica, machine = leader_with_entries(5, 1, 1, 1)
    replica.handle(2001.0, MessageReceived("b/1", AppendEntriesReply("g", 5, True, 3, 1)))
    assert match_index(replica, "b/1") == 3
    replica.handle(2002.0, MessageReceived("b/1", AppendEntriesReply("g", 5, True, 2, 1)))
    assert match_index(replica, "b/1") == 3  # a stale reply does not lower the match index
    for invalid_reply in (
        AppendEntriesReply("g", 4, True, 4, 1),  # of an earlier term
        AppendEntriesReply("g", 5, True, 9, 1),  # beyond the log
        AppendEntriesReply("g", 5, True, 4, 99),
    ):  # the last one is for a round that never began
        replica.handle(2003.0, MessageReceived("c/1", invalid_reply))
        assert match_index(replica, "c/1") == 0 and replica.commit_index == 0 and not machine.rows
    replica.handle(2004.0, MessageReceived("c/1", AppendEntriesReply("g", 5, True, 4, 1)))
    assert replica.commit_index == 4


def test_a_reply_to_a_round_that_never_began_confirms_no_read() -> None:
    replica, _ = leader_with_entries(5, 1)
    replica.handle(2001.0, MessageReceived("b/1", AppendEntriesReply("g", 5, True, 2, 1)))
    assert replica.leading
    effects = replica.handle(2002.0, ReadIndexRequest("r"))
    for stale_reply in (
        AppendEntriesReply("g", 5, True, 2, 99),
        AppendEntriesReply("g", 4, True, 2, 2),
        AppendEntriesReply("g", 5, True, 2, 1),
    ):
        effects += replica.handle(2003.0, MessageReceived("b/1", stale_reply))
    assert not [effect for effect in effects if isinstance(effect, OperationCompleted)]
    effects = replica.handle(2004.0, MessageReceived("b/1", AppendEntriesReply("g", 5, True, 2, 2)))
    assert [effect for effect in effects if isinstance(effect, OperationCompleted)] == [
        OperationCompleted("r", None)
    ]


def test_members_change_only_after_an_entry_of_the_leaders_own_term_is_committed() -> None:
    replica, _ = leader_with_entries(5, 1)
    effects = replica.handle(2001.0, ChangeMembership("t", MembershipAction.LEARN, "d/1"))
    assert [type(effect.result) for effect in effects if isinstance(effect, OperationCompleted)] == [
        WrongState
    ]
    assert replica.config == THREE_VOTERS


def test_leadership_is_not_transferred_to_a_follower_that_lacks_an_entry() -> None:
    replica, _ = leader_with_entries(5, 1)
    effects = replica.handle(2001.0, MessageReceived("b/1", AppendEntriesReply("g", 5, True, 2, 1)))
    effects += replica.handle(2002.0, ProposeCommand("p", b"p"))
    effects += replica.handle(2003.0, TransferLeadership("b/1"))
    persist_writes(replica, 2003.0, effects)
    assert not sent_messages(effects, TimeoutNow)
    assert isinstance(replica.handle(2004.0, ProposeCommand("q", b"q"))[-1].result, NoLeader)  # type: ignore[union-attr]
    effects = replica.handle(2005.0, MessageReceived("b/1", AppendEntriesReply("g", 5, True, 3, 1)))
    assert sent_messages(effects, TimeoutNow) == [TimeoutNow("g", 5)]


# Entries and snapshots on a follower
# ----------------------------------------------------------------------------------------------------------


def test_a_follower_commits_only_what_matches_the_leaders_log() -> None:
    replica, machine = replica_with_entries(4, 1, 2, 2)
    replica.handle(10.0, MessageReceived("b/1", AppendEntries("g", 5, 1, 1, (), 3, 1)))
    assert replica.commit_index == 1 and machine.rows == [(1, b"x")]


def test_truncated_entries_do_not_count_as_stored() -> None:
    """Entries 2 and 3 were stored and are truncated; the new entries 2 and 3 are acknowledged only once they are
    stored."""
    replica, _ = replica_with_entries(4, 1, 2, 2)
    effects = replica.handle(
        10.0, MessageReceived("b/1", AppendEntries("g", 5, 1, 1, (entry(2, 5), entry(3, 5)), 0, 1))
    )
    assert [reply.index for reply in sent_messages(effects, AppendEntriesReply)] == [1]
    assert 3 in [
        reply.index for reply in sent_messages(persist_writes(replica, 11.0, effects), AppendEntriesReply)
    ]


def test_a_pending_write_does_not_acknowledge_entries_truncated_meanwhile() -> None:
    replica, _ = replica_with_entries(4, 1)
    first_effects = replica.handle(
        10.0, MessageReceived("b/1", AppendEntries("g", 5, 1, 1, (entry(2, 5), entry(3, 5)), 0, 1))
    )
    second_effects = replica.handle(
        11.0, MessageReceived("c/1", AppendEntries("g", 6, 1, 1, (entry(2, 6), entry(3, 6)), 0, 1))
    )
    effects = persist_writes(replica, 12.0, first_effects)
    effects += replica.handle(13.0, MessageReceived("c/1", AppendEntries("g", 6, 3, 6, (), 0, 2)))
    assert max((reply.index for reply in sent_messages(effects, AppendEntriesReply)), default=0) <= 1
    assert 3 in [
        reply.index
        for reply in sent_messages(persist_writes(replica, 14.0, second_effects), AppendEntriesReply)
    ]


def snapshot_chunks(
    index: int, index_term: int, body: bytes, config: GroupConfiguration = THREE_VOTERS
) -> Callable[..., InstallSnapshotChunk]:
    return lambda term, offset, size: InstallSnapshotChunk(
        "g", term, index, index_term, config, offset, len(body), body[offset : offset + size], 1
    )


def test_a_snapshot_removes_a_log_tail_that_conflicts_with_it() -> None:
    """The log's entry 3 is of another term than the snapshot's, so entries after it came from another leader and are
    removed, stored or not."""
    replica, machine = replica_with_entries(4, 1, 2, 2, 2)
    body = msgspec.msgpack.encode([(1, b"x"), (2, b"y"), (3, b"z")])
    effects = replica.handle(10.0, MessageReceived("b/1", snapshot_chunks(3, 5, body)(6, 0, 99)))
    assert (replica.last_log_index, replica.commit_index, machine.rows[-1]) == (3, 3, (3, b"z"))
    # Nothing is acknowledged before it is stored.
    assert not [reply for reply in sent_messages(effects, AppendEntriesReply) if reply.index]
    assert 3 in [
        reply.index for reply in sent_messages(persist_writes(replica, 11.0, effects), AppendEntriesReply)
    ]


@pytest.mark.parametrize(
    "other_chunk",
    [
        # of another leader, of the same size
        lambda: MessageReceived("c/1", snapshot_chunks(3, 5, b"zzzzzzzzzz")(6, 0, 3)),
        # of the same leader in a later term
        lambda: MessageReceived("b/1", snapshot_chunks(3, 5, b"zzzzzzzzzz")(6, 0, 3)),
        # a later snapshot of the same leader
        lambda: MessageReceived("b/1", snapshot_chunks(4, 5, b"zzzzzzzzzz")(5, 0, 3)),
    ],
)
def test_chunks_of_two_snapshots_are_not_combined(other_chunk: Callable[[], MessageReceived]) -> None:
    replica, _ = replica_with_entries(4, 1)
    first_snapshot = snapshot_chunks(3, 5, b"yyyyyyyyyy")
    assert (
        sent_messages(
            replica.handle(10.0, MessageReceived("b/1", first_snapshot(5, 0, 4))), InstallSnapshotChunkReply
        )[0].received_bytes
        == 4
    )
    assert (
        sent_messages(replica.handle(11.0, other_chunk()), InstallSnapshotChunkReply)[0].received_bytes == 3
    )


def test_a_snapshot_has_the_members_and_the_term_of_its_last_entry() -> None:
    """The log after the snapshot has an uncommitted membership change, and the present term is later than the
    snapshot's."""
    count = TIMINGS.snapshot_entries
    terms = [1] * count
    saved = PersistedGroup(
        4,
        "",
        Snapshot(0, 0, THREE_VOTERS, EMPTY_SNAPSHOT_BODY),
        (
            *(entry(index, entry_term) for index, entry_term in enumerate(terms, 1)),
            entry(
                count + 1,
                2,
                encode_config(GroupConfiguration(THREE_VOTERS.voters, ("d/1",))),
                EntryKind.CONFIG,
            ),
        ),
    )
    replica, _ = single_replica(saved)
    effects = replica.handle(10.0, MessageReceived("b/1", AppendEntries("g", 5, count + 1, 2, (), count, 1)))
    snapshots = [
        record
        for effect in effects
        if isinstance(effect, PersistRecords)
        for record in effect.records
        if isinstance(record, Snapshot)
    ]
    assert [
        (snapshot.last_included_index, snapshot.last_included_term, snapshot.config) for snapshot in snapshots
    ] == [(count, 1, THREE_VOTERS)]


def test_a_log_is_loaded_without_entries_that_a_snapshot_superseded() -> None:
    saved = PersistedGroup(
        5, "", Snapshot(3, 4, THREE_VOTERS, EMPTY_SNAPSHOT_BODY), (entry(4, 2), entry(5, 2))
    )
    assert RaftLog.load(saved).last_index == 3


def test_an_append_batch_is_bounded_in_bytes_and_a_conflict_index_is_above_committed_entries() -> None:
    log = RaftLog(0, 0, THREE_VOTERS, tuple(entry(index, 1, b"x" * 100) for index in range(1, 9)))
    assert len(log.entries_from(1, 8, 250)) == 2 and len(log.entries_from(1, 8, 10)) == 1
    assert log.first_of_term(8, 5) == 5


def test_a_long_command_is_rejected_and_withheld_messages_are_bounded() -> None:
    replica, _ = leader_with_entries(5, 1)
    effects = replica.handle(2001.0, ProposeCommand("p", b"x" * (MAX_COMMAND_BYTES + 1)))
    assert [type(effect.result) for effect in effects if isinstance(effect, OperationCompleted)] == [
        InvalidCall
    ]
    follower, _ = replica_with_entries(4, 1)
    follower.handle(10.0, MessageReceived("b/1", AppendEntries("g", 5, 1, 1, (entry(2, 5),), 0, 1)))
    for round_number in range(2, MAX_WITHHELD_MESSAGES + 10):
        follower.handle(
            10.0, MessageReceived("b/1", AppendEntries("g", 5, 1, 1, (entry(2, 5),), 0, round_number))
        )
    assert len(follower._withheld_messages) == MAX_WITHHELD_MESSAGES


# Membership, bootstrap and placement
# ----------------------------------------------------------------------------------------------------------


def member_a() -> Membership:
    return Membership("a/1", "x", [Member(name, "x") for name in "abc"], Timings(), Random(1), 0.0)


def test_messages_of_a_superseded_incarnation_are_ignored() -> None:
    membership = member_a()
    for member in ("c/1", "b/1", "b/2"):
        membership.handle(10.0, MessageReceived(member, Ping(1, "a/1", ())))
    effects = membership.handle(
        11.0, MessageReceived("b/1", Ping(2, "a/1", (GossipUpdate("c/1", MemberState.DEAD, 0),)))
    )
    assert not [effect for effect in effects if isinstance(effect, SendMessage)]
    assert membership.ids()["b"] == "b/2" and membership.state_of("c") == "alive"
    membership.handle(
        12.0, MessageReceived("b/2", Ping(3, "a/1", (GossipUpdate("c/1", MemberState.DEAD, 0),)))
    )
    assert membership.state_of("c") == "dead"  # also with the incarnation count that is known


def test_a_suspect_that_answers_pings_is_not_declared_dead_and_local_health_recovers() -> None:
    membership = member_a()
    for member in ("b/1", "c/1"):
        membership.handle(10.0, MessageReceived(member, Ping(1, "a/1", ())))
    membership.handle(
        11.0, MessageReceived("c/1", Ping(2, "a/1", (GossipUpdate("b/1", MemberState.SUSPECTED, 0, "c/1"),)))
    )
    membership.local_health.score = 3
    now = 11.0
    while now < 60_000.0:
        now = membership.due
        for effect in membership.handle(now, Tick()):
            if (
                isinstance(effect, SendMessage)
                and isinstance(effect.message, Ping)
                and effect.to in ("b/1", "c/1")
            ):
                membership.handle(now, MessageReceived(effect.to, Ack(effect.message.seq, effect.to, ())))
    assert membership.state_of("b") == "suspected" and membership.local_health.score == 0


NODE_SETUP = NodeSetup("yard", "b", "1", tuple(Member(name, "x") for name in "abc"))
BOOTSTRAP_RECORD = BootstrapRecord("yard", "01", "a/1", tuple((f"{name}/1", "x") for name in "abc"), 8, 3)


def test_a_member_whose_bootstrap_record_is_not_stored_yet_answers_no_query() -> None:
    bootstrap = Bootstrap(NODE_SETUP, PersistedGroup(), Random(1), 0.0)
    assert [
        type(effect)
        for effect in bootstrap.handle(
            1.0, MessageReceived("a/1", ClusterFounded(msgspec.msgpack.encode(BOOTSTRAP_RECORD)))
        )
    ] == [PersistRecords]
    assert (
        bootstrap.handle(2.0, MessageReceived("c/1", IdentityQuery("x"))) == [] and bootstrap.record is None
    )
    bootstrap.handle(3.0, RecordsPersisted(BOOTSTRAP_GROUP, 1))
    assert bootstrap.handle(4.0, MessageReceived("c/1", IdentityQuery("x"))) == [
        SendMessage("c/1", Announce("x", msgspec.msgpack.encode(BOOTSTRAP_RECORD)))
    ]
    other_record = msgspec.msgpack.encode(msgspec.structs.replace(BOOTSTRAP_RECORD, bootstrap_id="02"))
    effects = bootstrap.handle(5.0, MessageReceived("a/2", ClusterFounded(other_record)))
    assert [effect.fields["error"] for effect in effects if isinstance(effect, LogEvent)] == ["another-fleet"]


def test_a_bootstrap_promise_is_never_given_to_an_earlier_creator() -> None:
    bootstrap = Bootstrap(NODE_SETUP, PersistedGroup(), Random(1), 0.0)
    for creator in ("a/1", "a/2"):
        assert [
            type(effect) for effect in bootstrap.handle(1.0, MessageReceived(creator, IdentityQuery("x")))
        ] == [PersistRecords]
    assert bootstrap.handle(2.0, MessageReceived("a/1", IdentityQuery("x"))) == []


def placement_directory(zones: str = "aaaaa", groups: int = 2) -> PlacementDirectory:
    directory = PlacementDirectory(Timings(), Invariants())
    directory.initialize(
        BootstrapRecord(
            "yard", "01", "m0/1", tuple((f"m{index}/1", zone) for index, zone in enumerate(zones)), groups, 3
        )
    )
    return directory


def directory_with_move() -> tuple[PlacementDirectory, str, str]:
    """A directory with a move of g0 in progress, the member to remove and its replacement."""
    directory = placement_directory()
    voters = directory.groups["g0"].voters
    replacement = next(member for member, _ in directory.members.values() if member not in voters)
    assert (
        directory.apply(
            0.0, ReplaceReplica(id="1", group="g0", lost=voters[0], new=replacement, most=2)
        ).error
        is None
    )
    return directory, voters[0], replacement


def test_a_replica_is_removed_once_its_replacement_votes() -> None:
    directory, lost, replacement = directory_with_move()
    alive = frozenset(member for member, _ in directory.members.values())
    config = GroupConfiguration(directory.groups["g0"].voters)
    actions = []
    while (change := directory.next_membership_change("g0", config, (), alive)) is not None:
        actions.append(change.action)
        config = {
            "learn": GroupConfiguration(config.voters, (replacement,)),
            "promote": GroupConfiguration((*config.voters, replacement)),
            "remove": GroupConfiguration(tuple(member for member in config.voters if member != lost)),
        }[change.action]
    assert actions == ["learn", "promote", "remove"]
    remaining = tuple(member for member in directory.groups["g0"].voters if member != lost)
    directory.apply(0.0, ReplicaMoved(id="2", group="g0", voters=remaining, number=1))
    assert "g0" in directory.moves  # the replacement is not a voter yet
    directory.apply(0.0, ReplicaMoved(id="3", group="g0", voters=(*remaining, replacement), number=2))
    assert not directory.moves


def test_a_move_counts_as_load_and_ends_with_its_learners_incarnation() -> None:
    directory, _, replacement = directory_with_move()
    voted_groups = sum(replacement in group.voters for group in directory.groups.values())
    assert directory.replica_loads()[replacement] == voted_groups + 1
    name = member_name(replacement)
    assert directory.apply(0.0, EnrolMember(id="2", name=name, who=f"{name}/2", zone="a")).error is None
    assert not directory.moves


def test_lagging_replicas_are_incomplete_and_a_move_is_timed_by_its_present_leader() -> None:
    directory = placement_directory()
    view = LeaderView(
        100_000.0,
        0.0,
        "m0/1",
        99_000.0,
        Timings(),
        frozenset(member for member, _ in directory.members.values()),
        {},
        {},
        {},
        {},
        {},
    )
    assert directory.replication_problems(view) == [] and not is_overdue(view, 0.0)
    voters = directory.groups["g1"].voters
    assert directory.replication_problems(replace(view, lagging_replicas={"g1": voters[:1]}))
    directory.apply(0.0, ReplicaMoved(id="1", group="g1", voters=voters, number=1, behind=voters[1:2]))
    assert directory.replication_problems(view)
    assert [
        replica_count(max_copies, members) for max_copies, members in ((5, 4), (4, 9), (3, 2), (3, 1))
    ] == [3, 3, 2, 1]


# Replicated state
# ----------------------------------------------------------------------------------------------------------


def state_machine() -> GroupStateMachine:
    return GroupStateMachine("g0", Timings(), Invariants())


def put_value(
    machine: GroupStateMachine, index: int, command_id: str, name: str, value: str, at_ms: float = 1.0
) -> ApplyResult:
    return machine.apply(
        0.0, index, encode_command(at_ms, key_value.PutValue(id=command_id, name=name, value=value))
    )


def test_a_snapshot_keeps_answers_and_time_and_the_oldest_id_is_forgotten_first(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(remembered_answers, "MAX_REMEMBERED_IDS", 3)
    machine, restored = state_machine(), state_machine()
    for number in range(4):
        assert put_value(machine, number + 1, f"o{number}", "n", f"v{number}", 5000.0 - number).error is None
    assert machine.at_ms == 5000.0  # the group's time never goes back
    assert [command_id for command_id, _, _ in machine.answers.dump()] == ["o1", "o2", "o3"]
    put_value(restored, 1, "x", "gone", "v")
    restored.restore(0.0, machine.dump())
    # Restore leaves nothing of the earlier state.
    assert restored.at_ms == 5000.0 and restored.dump() == machine.dump()
    for either in (machine, restored):
        # The answer to a repeated call is the first one.
        assert put_value(either, 9, "o3", "n", "v3").value == "v2"
        assert isinstance(put_value(either, 10, "o3", "n", "other").error, DuplicateId)
        assert either.query(key_value.ReadValue(id="r", name="n")).value == "v3"


def test_a_lease_starts_when_its_log_entry_was_seen() -> None:
    machine = state_machine()
    open_contract = OpenContract(
        id="o",
        tenant="t",
        contract="c",
        version=1,
        rate=9.0,
        burst=0.0,
        intervals=(Interval(0.0, 1e9),),
        effective_from_ms=0.0,
    )
    request = RequestLease(
        id="1",
        tenant="t",
        contract="c",
        holder="a/1",
        lease_number=0,
        kept_rate=0.0,
        wanted_rate=9.0,
        returned_units=0.0,
    )
    for index, command in enumerate((open_contract, request), 1):
        machine.apply(700.0, index, encode_command(1.0, command))
    assert [lease.seen_ms for lease in machine.parts["floors"].contracts["c"].pool.leases.values()] == [700.0]


def test_stored_names_are_bounded_and_a_known_one_can_be_overwritten(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(key_value, "MAX_BYTES", key_value.MIN_ENTRY_BYTES)
    machine = state_machine()
    assert put_value(machine, 1, "1", "n", "v").value is None
    assert isinstance(put_value(machine, 2, "2", "other", "v").error, Overloaded)
    assert put_value(machine, 3, "3", "n", "w").value == "v"


def test_a_usage_batch_is_kept_until_reported_and_claimed_only_once(monkeypatch: pytest.MonkeyPatch) -> None:
    def record(batch: str, at_ms: float = 0.0) -> ApplyResult:
        return usage.apply(
            at_ms,
            unreported_usage.RecordUsage(
                id=batch, tenant="t", recorded_by="a/1", lines=(unreported_usage.UsageLine("n", 3.0, 1000.0),)
            ),
        )

    def claim(batch: str, reporter: str) -> ApplyResult:
        return usage.apply(
            1.0,
            unreported_usage.ClaimUsage(id=f"{batch}{reporter}", tenant="t", batch=batch, reporter=reporter),
        )

    def confirm(batch: str, reporter: str, outcome_known: bool) -> ApplyResult:
        return usage.apply(
            2.0,
            unreported_usage.ConfirmUsageReported(
                id="t", tenant="t", batch=batch, reporter=reporter, outcome_known=outcome_known
            ),
        )

    monkeypatch.setattr(unreported_usage, "MAX_UNREPORTED_BYTES", 2 * unreported_usage.MIN_BATCH_BYTES)
    usage = unreported_usage.UnreportedUsage()
    assert (
        record("1").error is None and record("2").error is None and isinstance(record("3").error, Overloaded)
    )
    assert claim("1", "b/1").value == [["n", 3.0, 1000.0]]
    restored = unreported_usage.UnreportedUsage()
    restored.load(msgspec.msgpack.decode(msgspec.msgpack.encode(usage.dump())))
    usage = restored
    # a claimed batch is not listed
    assert usage.query(unreported_usage.ReadUnreportedUsage(id="r", tenant="t")).value == ["2"]
    assert isinstance(claim("1", "c/1").error, WrongState) and isinstance(
        confirm("1", "c/1", True).error, NotFound
    )
    assert confirm("1", "b/1", True).value and usage.unknown_units == 0.0
    assert claim("2", "b/1").value and confirm("2", "b/1", False).value and usage.unknown_units == 3.0
    assert record("4").error is None and record("5", unreported_usage.MAX_BATCH_AGE_MS + 1.0).error is None
    assert usage.unknown_units == 6.0 and usage.query(
        unreported_usage.ReadUnreportedUsage(id="r", tenant="t")
    ).value == ["5"]


def test_a_renewal_keeps_at_most_the_held_share_and_only_the_present_lease_is_released() -> None:
    pool, invariants = LeasePool(10.0), Invariants()
    assert pool.request(LeaseRequest("a", 0, 0.0, 6.0, 0.0), invariants).share == 6.0  # type: ignore[union-attr]
    assert isinstance(pool.request(LeaseRequest("a", 1, 7.0, 7.0, 0.0), invariants), InvalidCall)
    assert pool.request(LeaseRequest("a", 1, 6.0, 6.0, 0.0), invariants).number == 2  # type: ignore[union-attr]
    assert not pool.release("a", 1) and pool.granted() == 6.0
    pool.grow("a", 2.0)
    assert pool.request(LeaseRequest("b", 0, 0.0, 9.0, 0.0), invariants).share == 2.0  # type: ignore[union-attr]
    assert pool.release("a", 2) and pool.granted() == 2.0


def test_a_jump_of_the_groups_time_does_not_fill_a_bucket() -> None:
    pool = LeasePool(10.0, 100.0, free_units=0.0, accrued_until_ms=1000.0)
    pool.accrue(3_600_000.0)
    assert pool.free_units == 10.0 * MAX_ACCRUAL_GAP_MS / 1000.0


# Calls and replicas of a node
# ----------------------------------------------------------------------------------------------------------


def cluster_node(names: str = "abc", strict: bool = True, seed: int = 1) -> ClusterNode:
    """Node a/1 of a bootstrapped cluster, at the start of both its clocks."""
    record = BootstrapRecord("yard", "01", "a/1", tuple((f"{name}/1", "x") for name in names), 2, 3)
    saved = PersistedGroup(snapshot=Snapshot(1, 1, GroupConfiguration(()), msgspec.msgpack.encode(record)))
    setup = NodeSetup("yard", "a", "1", tuple(Member(name, "x") for name in names), group_count=2)
    return ClusterNode(setup, {BOOTSTRAP_GROUP: saved}, Random(seed), 0.0, 1e12, Invariants(strict))


def results_of(effects: list[Any]) -> list[Any]:
    return [effect.result for effect in effects if isinstance(effect, OperationCompleted)]


def forwarded_puts(effects: list[Any]) -> list[ForwardedCall]:
    """The forwarded attempts of `PUT_CALL`; a node forwards calls of its own as well."""
    return [
        effect.message
        for effect in effects
        if isinstance(effect, SendMessage)
        and isinstance(effect.message, ForwardedCall)
        and isinstance(decode_command(effect.message.body)[1], key_value.PutValue)
    ]


PUT_CALL = ClusterCall("t", key_value.PutValue(id="1", name="n", value="v"))
NO_CAPACITY = ApplyResult(error=InsufficientCapacity("c", "full"))
LEADER_CHANGED = UnknownOutcome("g0", "the leader changed before it was committed")


@pytest.mark.parametrize(
    ("answers", "expected"),
    [
        ([], UnknownOutcome),
        ([(1, NoLeader("g0", "none")), (2, NoLeader("g0", "none"))], NoLeader),  # no attempt can be applied
        ([(2, NoLeader("g0", "none"))], UnknownOutcome),  # the outcome of the first attempt is unknown
        ([(1, LEADER_CHANGED), (2, NoLeader("g0", "none"))], UnknownOutcome),
        ([(1, NO_CAPACITY)], InsufficientCapacity),
        ([(2, NO_CAPACITY)], UnknownOutcome),  # the first attempt may still be applied
        ([(2, NO_CAPACITY), (1, NO_CAPACITY)], InsufficientCapacity),
        ([(2, ApplyResult("v0"))], str),  # the call was applied
        ([(1, LEADER_CHANGED), (2, ApplyResult("v0"))], str),  # the second attempt was applied
    ],
)
def test_a_call_is_rejected_only_where_no_attempt_of_it_can_be_applied(
    answers: list[tuple[int, Any]], expected: type[Any]
) -> None:
    node = cluster_node()
    attempts = forwarded_puts(node.handle(1.0, 1e12, PUT_CALL))
    now, results, pending_answers = 1.0, list[Any](), dict(answers)
    while not results and now < 5000.0:
        now += 20.0
        effects = node.handle(now, 1e12, Tick())
        attempts += forwarded_puts(effects)
        results += results_of(effects)
        for number, answer in list(pending_answers.items()):
            if (
                len(attempts) >= number
                and (number == 1 or len(attempts) >= 2)
                and next(iter(pending_answers)) == number
            ):
                body = [answer, None, ""] if isinstance(answer, ApplyResult) else [None, answer, ""]
                effects = node.handle(
                    now,
                    1e12,
                    MessageReceived(
                        "b/1", ForwardedReply(attempts[number - 1].token, msgspec.msgpack.encode(body))
                    ),
                )
                attempts += forwarded_puts(effects)
                results += results_of(effects)
                del pending_answers[number]
        if not pending_answers and len(attempts) > 2:  # further attempts are answered with NoLeader
            effects = node.handle(
                now,
                1e12,
                MessageReceived(
                    "b/1",
                    ForwardedReply(
                        attempts[-1].token, msgspec.msgpack.encode([None, NoLeader("g0", "none"), ""])
                    ),
                ),
            )
            results += results_of(effects)
    result = results[0].error or results[0].value if isinstance(results[0], ApplyResult) else results[0]
    assert len(results) == 1 and type(result) is expected and now <= 2100.0


def test_a_reply_to_an_earlier_process_is_ignored_and_pending_calls_are_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(call_router, "MAX_PENDING_CALLS", 1)
    earlier_process, node = cluster_node(), cluster_node(seed=2)
    old_call = forwarded_puts(earlier_process.handle(1.0, 1e12, PUT_CALL))[0]
    assert forwarded_puts(node.handle(1.0, 1e12, PUT_CALL))
    body = msgspec.msgpack.encode([ApplyResult("old"), None, ""])
    assert (
        results_of(node.handle(2.0, 1e12, MessageReceived("b/1", ForwardedReply(old_call.token, body)))) == []
    )
    assert [type(result) for result in results_of(node.handle(3.0, 1e12, PUT_CALL))] == [Overloaded]


def test_the_clusters_time_is_the_median_of_a_majoritys_clocks() -> None:
    node = cluster_node("abcde")
    assert not node.clock.is_synchronized
    for member, wall_ms in (("b/1", 1e12 + 3_600_000.0), ("c/1", 1e12 + 5.0), ("d/1", 1e12 + 9.0)):
        node.handle(1.0, 1e12, MessageReceived(member, Ping(1, "a/1", (), wall_ms)))
    assert node.clock.is_synchronized and 0.0 <= node.clock.offset_ms <= 9.0


def single_member_leader(strict: bool) -> ClusterNode:
    """The leading node of a single-member cluster, whose writes complete immediately."""
    node, now = cluster_node("a", strict), 0.0
    while not all(replica.leading for replica in node.replicas.values()):
        now += 50.0
        complete_writes(node, now, node.handle(now, 1e12 + now, Tick()))
        assert now < 5000.0
    return node


def complete_writes(node: ClusterNode, now: float, effects: list[Any]) -> list[Any]:
    """Complete the node's writes until there are no further ones; returns the results of its calls."""
    results = results_of(effects)
    for effect in effects:
        if isinstance(effect, PersistRecords):
            results += complete_writes(
                node, now, node.handle(now, 1e12 + now, RecordsPersisted(effect.group, effect.sequence))
            )
    return results


def test_a_broken_invariant_stops_only_the_replica_concerned_in_service(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    node = single_member_leader(False)
    group_of_call = group_for_key("p:n", 2)

    def break_invariant(self: Any, at_ms: float, command: Any) -> ApplyResult:
        node.rules.check(Rule.ID_ONCE, False, lambda: "planted")
        return ApplyResult("kept")

    monkeypatch.setattr(key_value.KeyValueStore, "apply", break_invariant)
    complete_writes(node, 5001.0, node.handle(5001.0, 1e12, PUT_CALL))
    assert [group for group, replica in node.replicas.items() if replica.stop_reason is not None] == [
        group_of_call
    ]


def test_a_repeated_call_is_deduplicated_by_its_id() -> None:
    node = single_member_leader(True)
    for now in (5001.0, 5002.0):
        assert [result.value for result in complete_writes(node, now, node.handle(now, 1e12, PUT_CALL))] == [
            None
        ]


def test_a_storage_failure_stops_every_replica() -> None:
    node = single_member_leader(True)
    node.handle(5001.0, 1e12, StorageFailure(StorageFailed("a", "full")))
    assert all(replica.stop_reason is not None for replica in node.replicas.values())


def test_only_committed_members_and_lasting_lags_are_reported() -> None:
    node = cluster_node()
    replica: Any = SimpleNamespace(
        commit_index=1,
        config_index=2,
        config=GroupConfiguration(("a/1",)),
        lagging_learners=lambda: (),
        leader_since_ms=-1e9,
        lagging_voters=lambda: ("b/1",),
    )
    placement_follower = node.placement_follower
    placement_follower.placement.groups["g0"] = GroupPlacement(("a/1", "b/1"))
    assert placement_follower.advance_group(1.0, 1e12, "g0", replica) == []
    assert placement_follower.lagging_for_long(1.0, "g0", replica) == ()
    assert placement_follower.lagging_for_long(LAGGING_AFTER_MS + 2.0, "g0", replica) == ("b/1",)


class RunningCluster(SimulatedCluster):
    """A simulated cluster of three running members, with leaders elected and no faults."""

    def __init__(self, clock_error_ms: float = 0.0) -> None:
        super().__init__(Plan(1, 3))
        self.machines["g1"].clock.wall_offset_ms = clock_error_ms
        for name in self.machines:
            self.start(name)
        self.event_queue.run(4000.0)
        assert not self.findings

    def leader_of(self, group: str) -> Machine:
        return next(
            machine
            for machine in self.machines.values()
            if machine.node is not None and machine.node.replicas[group].leading
        )

    def run_for(self, ms: float) -> None:
        self.event_queue.run(self.event_queue.now + ms)


def test_a_read_is_answered_only_by_a_leader_that_reaches_a_majority() -> None:
    world, results = RunningCluster(), list[Any]()
    leader = world.leader_of(group_for_key("p:n", 8))
    others = [name for name in world.machines if name != leader.name]
    world.network.cut(
        [
            (sender, receiver)
            for name in others
            for sender, receiver in ((leader.name, name), (name, leader.name))
        ]
    )
    world.call(leader.name, key_value.ReadValue(id="r", name="n"), results.append)
    world.run_for(500.0)
    assert results == []


@pytest.mark.parametrize("how", ["leave", "drained"])
def test_a_leaving_or_drained_member_hands_over_leadership_at_once(how: str) -> None:
    world = RunningCluster()
    leader = world.leader_of(FLEET)
    if how == "leave":
        world._deliver_events(leader.name, leader.process_number, [LeaveCluster("l")])
    else:
        assert leader.node is not None
        leader.node.avoid_leadership = True
    world.run_for(400.0)  # shorter than an election
    assert leader.node is not None and not any(replica.leading for replica in leader.node.replicas.values())
    assert world.leader_of(FLEET) is not leader


def test_a_wrong_clock_at_the_bootstrap_does_not_become_the_groups_time() -> None:
    world = RunningCluster(clock_error_ms=3_600_000.0)
    for machine in world.machines.values():
        assert machine.node is not None
        assert all(
            state_machine.at_ms < START_UNIX_MS + 10_000.0
            for state_machine in machine.node.state_machines.values()
        )


def test_a_rolling_restart_counts_the_load_of_contracts() -> None:
    world = RunningCluster()
    node = world.leader_of(FLEET).node
    assert (
        node is not None
        and "promised" in node.leader_duties.view(1.0, 1e12, node.replicas[FLEET], node.load).load
    )


# Storage and transport
# ----------------------------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "damage",
    [
        "UPDATE part SET term = term + 1 WHERE grp = 'g'",
        "UPDATE part SET vote = 'z/1' WHERE grp = 'g'",
        "DELETE FROM part WHERE grp = 'h'",
        "DELETE FROM shot WHERE grp = 'h'",
        "UPDATE shot SET body = x'00' WHERE grp = 'g'",
        "UPDATE entry SET term = term + 1 WHERE grp = 'g' AND idx = 4",
        "DELETE FROM entry WHERE grp = 'g' AND idx = 5",
        "UPDATE store SET incarnation = 'x'",
        "UPDATE entry SET body = (SELECT body FROM old), term = (SELECT term FROM old), sum = (SELECT sum FROM old) "
        "WHERE grp = 'g' AND idx = 4",  # a stale row with a valid checksum, as after a lost page write
    ],
)
def test_a_damaged_row_makes_the_member_start_as_a_new_incarnation(tmp_path: Path, damage: str) -> None:
    storage = open_existing(tmp_path)
    write_records(storage, "g", HardState(3, "b/1"), entries(1, 5), Snapshot(2, 1, THREE_VOTERS, b"x"))
    write_records(storage, "h", Snapshot(7, 1, THREE_VOTERS, b"y"))
    storage._database.execute("CREATE TABLE old AS SELECT * FROM entry WHERE grp = 'g' AND idx = 4")
    write_records(storage, "g", entries(4, 5, 2))
    storage._database.execute(damage)
    storage._database.execute("DROP TABLE old")
    storage.close()
    reopened = open_existing(tmp_path, incarnation="2")
    assert reopened.incarnation == "2" and not reopened.persisted_groups
    assert [type(fault) for fault in reopened.faults] == [StorageDamaged]
    reopened.close()


def test_each_transaction_is_synced(tmp_path: Path) -> None:
    for fsync, level in ((True, 2), (False, 0)):
        storage = open_storage(tmp_path / str(fsync), "f", "a", fsync)
        assert isinstance(storage, ClusterStorage) and storage._database.execute(
            "PRAGMA synchronous"
        ).fetchone() == (level,)
        storage.close()


@pytest.mark.parametrize(("broken", "kept"), [(3, 0), (4, 4)])
def test_damage_before_the_last_commit_is_not_taken_for_a_torn_write(
    tmp_path: Path, broken: int, kept: int
) -> None:
    """One of five commits is damaged, and the file of acknowledged writes is stale, as it may be after a machine
    crash."""
    storage = open_existing(tmp_path / "live")
    acknowledged, wal_sizes = (tmp_path / "live" / ACKNOWLEDGED_FILE).read_bytes(), [0]
    for number in range(1, 6):
        write_records(storage, "g", entries(number, number))
        wal_sizes.append((tmp_path / "live" / WAL_FILE).stat().st_size)
    shutil.copytree(tmp_path / "live", tmp_path / "dead", ignore=shutil.ignore_patterns("*-shm", "lock"))
    storage.close()
    raw = bytearray((tmp_path / "dead" / WAL_FILE).read_bytes())
    raw[wal_sizes[broken] + 1000] ^= 1
    (tmp_path / "dead" / WAL_FILE).write_bytes(raw)
    (tmp_path / "dead" / ACKNOWLEDGED_FILE).write_bytes(acknowledged)
    reopened = open_existing(tmp_path / "dead", incarnation="2")
    assert reopened.incarnation == ("1" if kept else "2")
    assert not kept or len(reopened.persisted_groups["g"].entries) == kept
    reopened.close()


def test_another_protocol_version_is_rejected() -> None:
    for version in (PROTOCOL_VERSION - 1, PROTOCOL_VERSION + 1):
        envelope = msgspec.msgpack.encode(Envelope(version, "f", "a/1", "b", ()))
        assert isinstance(decode_envelope(envelope, "f", "a"), BadFrame)


def test_an_unreachable_peer_is_dialled_with_backoff_and_inbound_connections_are_bounded() -> None:
    async def test() -> None:
        async with connected_pair() as (sender, receiver):
            peer = sender.transport.peers["b"]
            peer.address = HOST, 1
            sender.transport.send("b/1", PING)
            await until(lambda: peer.send_task is None)
            assert (
                peer.reconnect_backoff_s >= SHORT_TIMEOUTS.min_reconnect_backoff_s
                and peer.reconnect_at_s > 0.0
            )
            connections = [await asyncio.open_connection(HOST, receiver.port) for _ in range(16)]
            await until(lambda: bool(receiver.transport.inbound_connection_count))
            assert receiver.transport.inbound_connection_count <= 2 * len(receiver.transport.peers) + 8
            for _, writer in connections:
                writer.close()

    run_with_timeout(test)


# Rolling restarts
# ----------------------------------------------------------------------------------------------------------

CONDITIONS_MET = ClusterConditions(0, 0, 0, -1.0, 0.0)


def planned_restart(**overrides: Any) -> RollingRestarts:
    """A planned rolling restart of three gateways, at version 2."""
    restarts = RollingRestarts(Invariants())
    fields = {"id": "1", "restart": "r", "warm_up_ms": 50.0, **overrides}
    for command in (
        StartRollingRestart(**fields),
        RecordRestartEvent(id="2", restart="r", restart_version=0, event="SEEN"),
        RecordRestartEvent(
            id="3", restart="r", restart_version=1, event="PLANNED", order=("a", "b", "c"), member_count=3
        ),
    ):
        assert restarts.apply(0.0, command).error is None
    return restarts


def start_wave(
    restarts: RollingRestarts,
    *names: str,
    restart_version: int = -1,
    conditions: ClusterConditions = CONDITIONS_MET,
) -> ApplyResult:
    version = restarts.restarts["r"].version if restart_version < 0 else restart_version
    return restarts.apply(
        1.0, StartWave(id="w", restart="r", restart_version=version, gateways=names, conditions=conditions)
    )


def record_event(
    restarts: RollingRestarts,
    name: str,
    event: str,
    gateway_version: int = -1,
    conditions: ClusterConditions | None = CONDITIONS_MET,
) -> ApplyResult:
    version = restarts.restarts["r"].gateways[name].version if gateway_version < 0 else gateway_version
    return restarts.apply(
        2.0,
        RecordGatewayEvent(
            id="s",
            restart="r",
            gateway=name,
            gateway_version=version,
            event=event,
            conditions=conditions,
            restart_version=restarts.restarts["r"].version,
        ),
    )


def report_progress(
    restarts: RollingRestarts, name: str, progress: str, process: str = "p1", gateway_version: int = -1
) -> ApplyResult:
    version = restarts.restarts["r"].gateways[name].version if gateway_version < 0 else gateway_version
    return restarts.apply(
        3.0,
        ReportGateway(
            id="t", restart="r", gateway=name, gateway_version=version, report=progress, process=process
        ),
    )


def phases(restarts: RollingRestarts) -> str:
    return " ".join(gateway.phase.value for gateway in restarts.restarts["r"].gateways.values())


def test_a_rolling_restart_applies_each_event_once_and_in_its_phase() -> None:
    restarts = planned_restart()
    assert start_wave(restarts, "a", restart_version=1).error is not None  # the version before it was planned
    stale_event = restarts.apply(
        1.0, RecordRestartEvent(id="4", restart="r", restart_version=1, event="BLOCKED", cause="old")
    )
    assert stale_event.error is not None and restarts.restarts["r"].state is RestartState.RUNNING
    # One restart at a time.
    assert restarts.apply(1.0, StartRollingRestart(id="5", restart="other")).error is not None
    assert start_wave(restarts, "a", "b").error is not None  # more gateways than `at_once`
    # The previous wave is in progress.
    assert start_wave(restarts, "a").error is None and start_wave(restarts, "b").error is not None
    assert record_event(restarts, "a", "ROOMY").error is not None  # it has not reported ready
    assert (
        record_event(restarts, "b", "WARM").error is not None
        and record_event(restarts, "a", "PAUSED").error is not None
    )
    report_progress(restarts, "a", "ready", gateway_version=0)
    assert restarts.restarts["r"].gateways["a"].report is None  # a report for an earlier version
    report_progress(restarts, "a", "ready")
    assert record_event(restarts, "a", "ROOMY", gateway_version=0).error is not None
    assert (
        record_event(restarts, "a", "ROOMY").error is None and phases(restarts) == "pausing waiting waiting"
    )
    report_progress(restarts, "a", "paused")
    assert record_event(restarts, "a", "ACT").error is not None  # it has not reported empty
    report_progress(restarts, "a", "back")
    assert phases(restarts) == "emptying waiting waiting"  # the process has not been replaced
    report_progress(restarts, "a", "empty")
    for unmet in (
        ClusterConditions(1, 0, 0, -1.0, 0.0),
        ClusterConditions(0, -1, 0, -1.0, 0.0),
        ClusterConditions(0, 0, 1, -1.0, 0.0),
        ClusterConditions(0, 0, 0, 1.0, 2.0),
        None,
    ):
        with pytest.raises(InvariantViolation):
            record_event(restarts, "a", "ACT", conditions=unmet)
    assert (
        record_event(restarts, "a", "HOLD").error is not None
        and record_event(restarts, "a", "LOST").error is not None
    )
    assert record_event(restarts, "a", "ACT").error is None and phases(restarts) == "acting waiting waiting"
    restored = RollingRestarts(Invariants())
    restored.load(msgspec.msgpack.decode(msgspec.msgpack.encode(restarts.dump())))
    report_progress(restored, "a", "back")
    assert phases(restored) == "acting waiting waiting"  # the snapshot has the earlier process
    report_progress(restored, "a", "back", "p2")
    assert phases(restored) == "returning waiting waiting"  # its replicas have to catch up
    # Only a cancelled restart gives up on a gateway.
    assert record_event(restored, "a", "LOST").error is not None
    report_progress(restored, "a", "whole", "p2")
    assert (
        phases(restored) == "warming waiting waiting"
        and restored.restarts["r"].gateways["a"].drain_count == 1
    )
    assert restored.apply(4.0, CancelRollingRestart(id="6", restart="r")).error is None
    assert phases(restored) == "warming undone undone"


def observed_conditions(wave: tuple[str, ...] = ("a",), **overrides: Any) -> ClusterConditions:
    restarts = planned_restart(at_once=3)
    fields: dict[str, Any] = {
        "alive_ids": frozenset({"a/1", "b/1", "c/1", "d/1"}),
        "zones": {"a": "x", "b": "y", "c": "y", "d": "y"},
        "load": {},
        "lagging_replicas": {},
        "voters_by_group": {"g0": ("b/1", "c/1", "d/1")},
        **overrides,
    }
    view = LeaderView(
        now=0.0, wall=0.0, member_id="d/1", leader_since_ms=0.0, timings=Timings(), dead_for_ms={}, **fields
    )
    return observe_conditions(view, restarts.restarts["r"], wave)


def test_conditions_count_what_remains_without_a_wave() -> None:
    assert observed_conditions(("b",)) == ClusterConditions(0, 0, 0, -1.0, 0.0)
    assert observed_conditions(("a",)).emptied_zones == 1  # the only gateway of its zone
    assert observed_conditions(("b", "c")).spare_voters == -1
    assert observed_conditions(("b",), alive_ids=frozenset({"a/1", "b/1", "d/1"})).missing_copies == 1
    assert observed_conditions(("b",), lagging_replicas={"g0": ("c/1",)}).missing_copies == 1
    assert observed_conditions(
        ("b",), load={"capacity": 100.0, "demand": 20.0, "promised": 5.0}
    ) == ClusterConditions(0, 0, 0, 75.0, 25.0)


def leader_proposals(restarts: RollingRestarts, wall: float, **overrides: Any) -> list[Any]:
    fields: dict[str, Any] = {
        "alive_ids": frozenset({"a/1", "b/1", "c/1", "d/1"}),
        "lagging_replicas": {},
        "zones": dict.fromkeys("abcd", "x"),
        "voters_by_group": {"g0": ("b/1", "c/1", "d/1")},
        "dead_for_ms": {},
        **overrides,
    }
    return restarts.leader_tasks(
        LeaderView(
            now=wall, wall=wall, member_id="d/1", leader_since_ms=0.0, timings=Timings(), load={}, **fields
        )
    )


def test_a_leader_proposes_no_event_before_its_conditions_hold() -> None:
    restarts = planned_restart(at_once=3)
    first = leader_proposals(restarts, 1.0)[0]
    assert first.gateways == ("a", "b")  # with c, a group would lose its majority
    assert restarts.apply(1.0, first).error is None
    assert leader_proposals(restarts, 2.0) == []  # one wave at a time
    for name in ("a", "b"):
        report_progress(restarts, name, "ready")
    ready_ms = 3.0 + GROWTH_MARGIN_MS + restarts.restarts["r"].poll_interval_ms()
    assert leader_proposals(restarts, ready_ms - 5.0) == []
    # The other gateways have opened more connections; one event at a time.
    assert [command.gateway for command in leader_proposals(restarts, ready_ms + 5.0)] == ["a"]
    for name in ("a", "b"):
        record_event(restarts, name, "ROOMY")
        report_progress(restarts, name, "paused")
        report_progress(restarts, name, "empty")
        record_event(restarts, name, "ACT")
        for progress in ("back", "whole"):
            report_progress(restarts, name, progress, "p2")
    assert phases(restarts) == "warming warming waiting"
    assert leader_proposals(restarts, 50.0) == [] and [
        command.event for command in leader_proposals(restarts, 54.0)
    ] == ["WARM", "WARM"]
    restarts = planned_restart()
    assert start_wave(restarts, "b").error is None
    alive = frozenset({"a/1", "c/1", "d/1"})
    # It pauses without a delay; a gateway that ended as planned is not dead.
    assert [
        command.cause
        for command in leader_proposals(restarts, 2.0, alive_ids=alive, dead_for_ms={"b/1": 0.0})
    ] == ["b is dead while granting"]
    assert leader_proposals(restarts, 2.0, alive_ids=alive) == []


def test_a_gateway_acts_only_on_a_fresh_assignment_of_its_own_process() -> None:
    def agent_after_read(process: str, at_ms: float) -> RollingRestartAgent:
        agent = RollingRestartAgent("a", process)
        command = agent.poll(at_ms, 0.0)[0]
        agent.answered(
            at_ms + 10.0,
            command,
            ApplyResult(
                {
                    "roll": "r",
                    "stand": "EMPTYING",
                    "round": 3,
                    "told": "",
                    "process": "p1",
                    "read_ms": 100.0,
                    "grow": 1.0,
                }
            ),
        )
        return agent

    # The assignment is stale.
    assert agent_after_read("p1", 0.0).next_actions(MAX_ASSIGNMENT_AGE_MS + 1.0) == []
    assert (
        agent_after_read("p1", 0.0).next_actions(MAX_ASSIGNMENT_AGE_MS - 1.0) == [DesiredState.PAUSE]
        and agent_after_read("p2", 0.0).next_actions(1.0) == []
    )
    assert agent_after_read("p1", 0.0).must_not_lead and not agent_after_read("p2", 0.0).must_not_lead


# Connection limits
# ----------------------------------------------------------------------------------------------------------


def limits_for_one_server(max_connections: int = 10) -> ConnectionLimits:
    limits = ConnectionLimits(Invariants(), Timings())
    assert (
        limits.apply(
            0.0,
            SetConnectionLimit(id="l", server="s", max_connections=max_connections, idle_timeout_ms=5000.0),
        ).error
        is None
    )
    return limits


def lease_holder(
    started_ms: float = 0.0, number: int = 1, only_process: bool = True
) -> ConnectionLeaseHolder:
    holder = ConnectionLeaseHolder(f"a/1#boot.{number}", Timings(), Invariants(), started_ms, only_process)
    holder.set_need("s", 4)
    return holder


def exchange_lease_request(
    holder: ConnectionLeaseHolder, limits: ConnectionLimits, sent_ms: float = 0.0, answered_ms: float = 0.0
) -> RequestConnectionLeases:
    command = holder.poll(sent_ms, 0.0)[0]
    assert isinstance(command, RequestConnectionLeases)
    holder.answered(answered_ms, command, limits.apply(0.0, command))
    return command


def test_a_connection_lease_starts_when_its_request_was_sent() -> None:
    holder, lease_ms = lease_holder(), Timings().lease_ms * LEASE_MULTIPLE
    exchange_lease_request(holder, limits_for_one_server(), 0.0, 1000.0)
    assert holder.lease_valid(lease_ms - 1.0, "s") and not holder.lease_valid(lease_ms, "s")
    assert holder.may_open(lease_ms - CLOSE_BEFORE_EXPIRY_MS - 1.0, "s") and not holder.may_open(
        lease_ms - CLOSE_BEFORE_EXPIRY_MS, "s"
    )
    holder.opened(1000.0, "s")
    assert holder.excess(lease_ms - CLOSE_BEFORE_EXPIRY_MS) == [("s", 1)] and not holder.excess(
        lease_ms - CLOSE_BEFORE_EXPIRY_MS - 1.0
    )


def test_a_lost_holders_lease_expires_after_lease_and_idle_timeout_by_the_slowest_clock() -> None:
    timings = Timings()
    lease_and_idle_ms = timings.lease_ms * LEASE_MULTIPLE + 5000.0
    assert limits_for_one_server().expiry_after_ms(5000.0) >= lease_and_idle_ms * (
        1.0 + timings.clock_drift
    ) / (1.0 - timings.clock_drift)


def test_a_call_with_an_unknown_outcome_is_repeated_unchanged() -> None:
    holder = lease_holder()
    command = holder.poll(0.0, 0.0)[0]
    holder.answered(10.0, command, UnknownOutcome("g0", "no answer"))
    holder.set_need("s", 9)
    assert holder.poll(5000.0, 0.0) == [command]
    holder.answered(5000.0, command, limits_for_one_server().apply(0.0, command))
    # Counted from the first attempt.
    assert holder.servers["s"].lease_expires_ms == Timings().lease_ms * LEASE_MULTIPLE


def test_a_draining_gateway_keeps_the_share_of_its_open_connections() -> None:
    holder, limits = lease_holder(), limits_for_one_server()
    exchange_lease_request(holder, limits)
    for _ in range(3):
        holder.opened(1.0, "s")
    assert not holder.empty
    holder.set_need("s", 0)
    holder.draining = True
    request = exchange_lease_request(holder, limits, 4000.0, 4000.0).requests[0]
    assert request.keep == 3 and limits.servers["s"].pool.granted() >= 3.0
    for _ in range(2):
        holder.closing("s")
        holder.closed("s", already_closing=True)
    holder.closing("s")
    holder.closed("s")  # the server closed it while it was being closed here
    assert holder.servers["s"].open == holder.servers["s"].closing == 0
    assert not holder.empty  # it still holds a lease
    exchange_lease_request(holder, limits, 8000.0, 8000.0)
    assert holder.empty and limits.servers["s"].pool.granted() == 0.0


@pytest.mark.parametrize(
    ("lease", "may_open", "excess"),
    [
        # the lease has expired: nothing may be open
        (["s", LeaseRefusal.LEASE_EXPIRED.value, 0, 0, 0], False, 2),
        (["s", 5, 6, 2, 0], False, 0),  # at its target it opens no more
        (["s", 5, 6, 1, 0], False, 1),
        (["s", 5, 6, 3, 0], True, 0),
    ],
)
def test_a_gateway_opens_connections_up_to_its_target_and_until_its_lease_ends(
    lease: list[Any], may_open: bool, excess: int
) -> None:
    holder, limits = lease_holder(), limits_for_one_server()
    exchange_lease_request(holder, limits)
    for _ in range(2):
        holder.opened(1.0, "s")
    command = holder.poll(4000.0, 0.0)[0]
    holder.answered(4000.0, command, ApplyResult({"parts": [lease], "old": []}))
    assert (
        holder.may_open(4001.0, "s") is may_open
        and sum(count for _, count in holder.excess(4001.0)) == excess
    )


def test_only_a_sole_process_releases_the_leases_of_an_earlier_one_and_after_a_delay() -> None:
    limits = limits_for_one_server()
    exchange_lease_request(lease_holder(), limits)
    for only_process, at_ms, released in (
        (True, KERNEL_RESET_MS - 1.0, False),
        (True, KERNEL_RESET_MS, True),
        (False, 2.0 * KERNEL_RESET_MS, False),
    ):
        holder = lease_holder(0.0, 2, only_process)
        exchange_lease_request(holder, restored_copy(limits), 1.0, 2.0)
        holder.set_need("s", 0)
        assert (
            any(isinstance(command, ReleaseConnectionLeases) for command in holder.poll(at_ms, 0.0))
            is released
        )
    by_other_boot = ReleaseConnectionLeases(
        id="e",
        holder="a/1#boot.1",
        bucket=server_bucket("s"),
        leases=(LeaseReference("s", 1),),
        proof="reset",
        reported_by="a/1#reboot.2",
    )
    assert limits.apply(0.0, by_other_boot).error is not None and limits.servers["s"].pool.granted() > 0.0


def restored_copy(limits: ConnectionLimits) -> ConnectionLimits:
    """A copy restored from the snapshot."""
    restored = ConnectionLimits(Invariants(), Timings())
    restored.load(msgspec.msgpack.decode(msgspec.msgpack.encode(limits.dump())))
    assert restored.dump() == limits.dump()
    return restored


def test_limits_change_without_forgetting_what_is_granted() -> None:
    limits = limits_for_one_server()
    exchange_lease_request(lease_holder(), limits)
    granted = limits.servers["s"].pool.granted()
    assert (
        limits.apply(
            0.0, SetConnectionLimit(id="m", server="s", max_connections=1, idle_timeout_ms=5000.0)
        ).error
        is None
    )
    assert limits.servers["s"].pool.granted() == granted > 1.0
    other_holder = ConnectionLeaseHolder("b/1#x.1", Timings(), Invariants(), 0.0)
    other_holder.set_need("s", 4)
    exchange_lease_request(other_holder, limits)
    assert limits.servers["s"].pool.granted() == granted
    limits.apply(0.0, RemoveConnectionLimit(id="u", server="s"))
    assert limits.servers["s"].pool.granted() == granted  # the entry is kept until all leases are returned


# Contracts
# ----------------------------------------------------------------------------------------------------------

TERMS: dict[str, Any] = {"tenant": "t", "customers": [1], "rate": 50.0, "burst": 10.0}
SPAN = Interval(20_000.0, 60_000.0)


def registry_with_contract(capacity: float = 100.0) -> ContractRegistry:
    """A registry with a contract of 60 units a second over SPAN, at version 1."""
    registry = ContractRegistry(Timings(), Invariants())
    terms = msgspec.convert({**TERMS, "rate": 60.0, "windows": [Window(*SPAN)]}, ContractTerms)
    for command in (
        SetCapacity(id="1", capacity=capacity, reserve_fraction=0.0, unreserved_rate=0.0),
        ProposeContract(id="2", contract="c", terms=terms),
    ):
        assert registry.apply(0.0, command).error is None
    return registry


def test_a_version_is_dropped_when_the_next_one_is_confirmed_and_not_by_a_stale_confirmation() -> None:
    registry = registry_with_contract()
    contract = registry.contracts["c"]
    changed_terms = msgspec.structs.replace(contract.newest.terms, rate=30.0)
    assert (
        registry.apply(
            1.0, ChangeContract(id="3", contract="c", terms=changed_terms, effective_from_ms=30_000.0)
        ).error
        is None
    )
    registry.apply(2.0, VersionDrained(id="4", contract="c", version=1))
    assert (contract.confirmed_version, [version.number for version in contract.versions]) == (1, [1, 2])
    assert registry.peak_reserved_rate(0.0, 1e6) == 60.0  # the higher of the two rates counts
    registry.apply(3.0, VersionDrained(id="5", contract="c", version=2))
    assert (contract.confirmed_version, [version.number for version in contract.versions]) == (2, [2])


def test_a_contract_is_armed_when_its_group_has_confirmed_it() -> None:
    registry = registry_with_contract()
    registry.apply(15_000.0, AdvanceContracts(id="p"))
    assert registry.contracts["c"].state.value == "admitted"
    registry.apply(15_001.0, VersionDrained(id="3", contract="c", version=1))
    assert registry.contracts["c"].state.value == "armed"


def test_contracts_admitted_before_capacity_fell_are_kept_after_a_snapshot() -> None:
    registry = registry_with_contract()
    assert (
        registry.apply(
            1.0, SetCapacity(id="3", capacity=30.0, reserve_fraction=0.0, unreserved_rate=5.0)
        ).error
        is None
    )
    restored = ContractRegistry(Timings(), Invariants())
    restored.load(msgspec.msgpack.decode(msgspec.msgpack.encode(registry.dump())))
    # No invariant is broken either.
    assert restored.apply(2.0, VersionDrained(id="4", contract="c", version=1)).error is None
    assert restored.available() == registry.available() == 25.0


def guaranteed_rates(*versions: tuple[int, float, float], at_ms: float = 0.0) -> GuaranteedRates:
    """Guaranteed rates of these versions: number, rate, and time from which each is effective."""
    rates = GuaranteedRates(Timings(), Invariants())
    for number, rate, effective_from_ms in versions:
        rates.apply(
            at_ms,
            OpenContract(
                id=f"o{number}",
                tenant="t",
                contract="c",
                version=number,
                rate=rate,
                burst=10.0,
                intervals=(SPAN,),
                effective_from_ms=effective_from_ms,
            ),
        )
    return rates


def request_lease(
    rates: GuaranteedRates,
    at_ms: float,
    sequence: int,
    lease_number: int,
    wanted_rate: float,
    kept_rate: float = 0.0,
) -> Any:
    result = rates.apply(
        at_ms,
        RequestLease(
            id=f"l{sequence}",
            tenant="t",
            contract="c",
            holder="a/1",
            lease_number=lease_number,
            kept_rate=kept_rate,
            wanted_rate=wanted_rate,
            returned_units=0.0,
            process="p",
            sequence=sequence,
        ),
    )
    assert result.error is None, result.error
    return result.value


def proposed_commands(rates: GuaranteedRates, now: float, wall: float) -> list[str]:
    view = LeaderView(now, wall, "a/1", 0.0, Timings(), frozenset(), {}, {}, {}, {}, {})
    return [command.command_name() for command in rates.leader_tasks(view)]


def test_a_late_older_version_changes_nothing_and_contracts_are_kept_before_their_window() -> None:
    rates = guaranteed_rates((1, 60.0, 0.0), (3, 30.0, 25_000.0), (2, 90.0, 25_000.0))
    pending = rates.contracts["c"].pending
    assert rates.contracts["c"].version == 1 and pending is not None and pending.version == 3
    rates = guaranteed_rates((2, 60.0, 0.0), (1, 90.0, 0.0))
    assert (rates.contracts["c"].version, rates.contracts["c"].rate) == (2, 60.0)
    rates.apply(
        1.0,
        OpenContract(
            id="x",
            tenant="t",
            contract="d",
            version=4,
            rate=1.0,
            burst=0.0,
            intervals=(SPAN,),
            effective_from_ms=0.0,
        ),
    )
    assert list(rates.contracts) == ["c", "d"]


def test_shares_are_granted_within_a_window_and_expire_after_the_clock_drift_margin() -> None:
    rates = guaranteed_rates((1, 60.0, 0.0))
    assert request_lease(rates, SPAN[0] - GRANT_AHEAD_MS - 1.0, 1, 0, 60.0)["part"] == 0.0
    rates = guaranteed_rates((1, 60.0, 0.0))
    granted = request_lease(rates, SPAN[0] - 1.0, 1, 0, 60.0)
    assert granted["part"] == 60.0 and granted["from_ms"] == SPAN[0]
    rates.record_applied(1000.0)
    timings = Timings()
    margin = timings.lease_ms * (1.0 + timings.clock_drift) / (1.0 - timings.clock_drift)
    assert "EndLease" not in proposed_commands(rates, 1000.0 + margin - 1.0, SPAN[0])
    assert "EndLease" in proposed_commands(rates, 1000.0 + margin, SPAN[0])
    assert request_lease(rates, SPAN[1], 2, 1, 60.0)["part"] == 0.0


@pytest.mark.parametrize("rate", [30.0, 90.0])
def test_a_version_is_confirmed_when_no_lease_of_the_previous_one_remains_also_after_a_snapshot(
    rate: float,
) -> None:
    rates = guaranteed_rates((1, 60.0, 0.0))
    granted = request_lease(rates, 20_000.0, 1, 0, 60.0)
    rates.apply(
        20_001.0,
        OpenContract(
            id="o2",
            tenant="t",
            contract="c",
            version=2,
            rate=rate,
            burst=10.0,
            intervals=(SPAN,),
            effective_from_ms=25_000.0,
        ),
    )
    renewed = request_lease(rates, 20_002.0, 2, granted["number"], 60.0, 60.0)
    # The share shrinks without a renewal.
    assert (renewed["until_ms"], renewed["then"]) == (25_000.0, min(rate / 60.0, 1.0))
    rates.apply(25_000.0, SwitchVersion(id="turn", tenant="t", contract="c"))
    restored = GuaranteedRates(Timings(), Invariants())
    restored.load(msgspec.msgpack.decode(msgspec.msgpack.encode(rates.dump())))
    for either in (rates, restored):
        assert either.contracts["c"].version == 2 and "Told" not in proposed_commands(either, 10.0, 25_000.0)
        # A repeated request gets its first answer.
        assert request_lease(either, 25_001.0, 2, granted["number"], 60.0, 60.0) == renewed
        request_lease(either, 25_002.0, 3, renewed["number"], rate, min(rate, 60.0))
        assert "Told" in proposed_commands(either, 20.0, 25_002.0)


def test_units_of_a_lost_holder_do_not_return_to_the_pool() -> None:
    pool, invariants = LeasePool(10.0, 8.0), Invariants()
    granted = pool.request(LeaseRequest("a", 0, 0.0, 10.0, 0.0, 0.0, 8.0), invariants)
    assert not isinstance(granted, InvalidCall | LeaseExpired) and granted.units > 0.0
    free_units = pool.free_units
    pool.release("a", granted.number)
    assert pool.free_units == free_units


def test_two_changes_never_overlap_and_a_tenants_contracts_are_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(admission, "MAX_CONTRACTS_PER_TENANT", 1)
    registry = registry_with_contract()
    terms = registry.contracts["c"].newest.terms
    first, second = (msgspec.structs.replace(terms, rate=rate) for rate in (30.0, 20.0))
    assert (
        registry.apply(
            1.0, ChangeContract(id="3", contract="c", terms=first, effective_from_ms=30_000.0)
        ).error
        is None
    )
    overlapping_change = registry.apply(
        2.0, ChangeContract(id="4", contract="c", terms=second, effective_from_ms=30_000.0)
    )
    assert isinstance(overlapping_change.error, WrongState)
    second_contract = registry.apply(
        3.0, ProposeContract(id="5", contract="d", terms=msgspec.structs.replace(terms, rate=1.0))
    )
    assert isinstance(second_contract.error, Overloaded)


class ReservationGateway:
    """A gateway's reservation client with the state of both groups; requests are customer 1's."""

    def __init__(self, zone: str = "", contract_zone: str = "") -> None:
        self.client, self.rates = (
            ReservationClient("a/1", "p", Timings(), zone),
            guaranteed_rates((1, 60.0, 0.0)),
        )
        self.registry = ContractRegistry(Timings(), Invariants())
        terms = msgspec.convert(
            {**TERMS, "rate": 60.0, "hall": contract_zone, "windows": [Window(*SPAN)]}, ContractTerms
        )
        for command in (
            SetCapacity(id="1", capacity=100.0, reserve_fraction=0.0, unreserved_rate=0.0),
            ProposeContract(id="2", contract="c", terms=terms),
            VersionDrained(id="3", contract="c", version=1),
        ):
            assert self.registry.apply(0.0, command).error is None

    def exchange(self, now: float, unknown_type: type[Command] | None = None) -> list[Command]:
        """Answer the client's commands immediately; those of type `unknown_type` get an unknown outcome."""
        commands = self.client.poll(now, now)
        for command in commands:
            if unknown_type is not None and isinstance(command, unknown_type):
                self.client.answered(now, command, UnknownOutcome("g0", "no answer"))
            elif command.key():
                self.client.answered(now, command, self.rates.apply(now, command))
            else:
                self.client.answered(
                    now,
                    command,
                    self.registry.query(command)
                    if command.is_read_only
                    else self.registry.apply(now, command),
                )
        return commands

    def count_reserved(self, begin_ms: float, end_ms: float) -> int:
        """Send a request every 10 ms, which waits if needed; returns how many got reserved units."""
        reserved_count, now = 0, begin_ms
        while now < end_ms:
            if self.client.draw(now, 1, 0.5) is not None:
                reserved_count += 1
            else:
                self.client.wait(now, 1, 0.5, None)
            self.exchange(now)
            reserved_count += sum(reserved is not None for _, reserved in self.client.finished_waits(now))
            now += 10.0
        return reserved_count


def test_a_gateway_uses_nothing_outside_of_its_zone_its_window_and_its_lease() -> None:
    assert (
        ReservationGateway("x", "y").count_reserved(SPAN[0], SPAN[0] + 500.0) == 0
        and ReservationGateway("x", "x").count_reserved(SPAN[0], SPAN[0] + 500.0) > 20
    )
    gateway = ReservationGateway()
    assert gateway.count_reserved(SPAN[0] - 900.0, SPAN[0]) == 0
    assert gateway.count_reserved(SPAN[0], SPAN[0] + 1000.0) > 80
    late_ms = SPAN[1] - 500.0
    assert gateway.count_reserved(late_ms, SPAN[1]) > 40 and gateway.client.held_rate(SPAN[1] - 1.0) > 30.0
    assert gateway.client.held_rate(SPAN[1]) == 0.0 and gateway.client.draw(SPAN[1], 1, 0.5) is None


def test_before_a_window_a_bucket_does_not_fill() -> None:
    gateway = ReservationGateway()
    gateway.exchange(SPAN[0] - 900.0)
    gateway.exchange(SPAN[0] - 890.0)
    lease = gateway.client.leases["c"]
    assert lease.share > 0.0  # it holds a share
    lease.depth, lease.level = 5.0, 0.0
    lease.fill(SPAN[0] - 1.0, SPAN[0] - 1.0)
    assert lease.level == 0.0
    lease.fill(SPAN[0] + 10.0, SPAN[0] + 10.0)
    assert lease.level > 0.0


def test_a_lease_request_with_an_unknown_outcome_is_repeated_and_an_expired_lease_is_not_used() -> None:
    gateway, begin_ms = ReservationGateway(), SPAN[0] + 1000.0
    assert gateway.count_reserved(begin_ms, begin_ms + 500.0) > 20
    first = next(
        command
        for index in range(100)
        for command in gateway.exchange(begin_ms + 500.0 + 10.0 * index, RequestLease)
        if isinstance(command, RequestLease)
    )
    repeats = [
        command
        for index in range(20)
        for command in gateway.exchange(begin_ms + 700.0 + 50.0 * index, RequestLease)
        if isinstance(command, RequestLease)
    ]
    assert repeats and all(command == first for command in repeats)
    gateway = ReservationGateway()
    assert (
        gateway.count_reserved(begin_ms, begin_ms + 500.0) > 20
        and gateway.client.held_rate(begin_ms + 500.0) > 0.0
    )
    last = next(
        command
        for index in range(20)
        for command in gateway.client.poll(begin_ms + 510.0 + 10.0 * index, begin_ms + 510.0 + 10.0 * index)
        if isinstance(command, RequestLease)
    )
    gateway.client.answered(begin_ms + 720.0, last, ApplyResult(error=LeaseExpired("a/1", "it is over")))
    assert (
        gateway.client.held_rate(begin_ms + 720.0) == 0.0
        and gateway.client.draw(begin_ms + 720.0, 1, 0.5) is None
    )


def test_a_request_that_waits_too_long_gets_no_reserved_units() -> None:
    gateway, begin_ms = ReservationGateway(), SPAN[0] + 1000.0
    for index in range(3):
        gateway.exchange(begin_ms + 10.0 * index)
    lease = gateway.client.leases["c"]
    lease.share = lease.level = 0.0
    assert gateway.client.draw(begin_ms + 40.0, 1, 0.5) is None and gateway.client.wait(
        begin_ms + 40.0, 1, 0.5, "token"
    )
    assert gateway.client.finished_waits(begin_ms + 41.0 + MAX_WAIT_MS) == [("token", None)]


def test_a_shortfall_is_reported_once() -> None:
    gateway, begin_ms = ReservationGateway(), SPAN[0] + 1000.0
    assert gateway.count_reserved(begin_ms, begin_ms + 200.0) > 5
    reserved = gateway.client.draw(begin_ms + 300.0, 1, 0.5)
    assert reserved is not None
    gateway.client.record_unserved(begin_ms + 300.0, reserved, "load")
    reports = [
        command
        for index in range(400)
        for command in gateway.exchange(begin_ms + 300.0 + 10.0 * index)
        if isinstance(command, ReportShortfall)
    ]
    assert [(command.cause, command.units) for command in reports] == [("load", 0.5)]


# Faults found in the code
# ----------------------------------------------------------------------------------------------------------


def test_a_customer_number_of_any_size_does_not_stop_a_member() -> None:
    """A failure to encode the command within `ClusterNode.handle` would stop the whole member."""
    call = {
        "do": "propose",
        "id": "1",
        "contract": "c",
        "terms": {**TERMS, "customers": [1 << 64], "windows": [{"from_ms": 1, "to_ms": 2}]},
    }
    parsed = parse_call(json.dumps(call).encode())
    assert isinstance(parsed, InvalidCall) or (isinstance(parsed, Command) and encode_command(0.0, parsed))


def test_a_window_that_recurs_without_end_is_rejected() -> None:
    window = {"from_ms": 0, "to_ms": 1e-300, "every_ms": 1e-300, "until_ms": 1e10}
    call = {"do": "propose", "id": "1", "contract": "c", "terms": {**TERMS, "windows": [window]}}
    assert isinstance(parse_call(msgspec.json.encode(call)), InvalidCall)


def test_a_call_that_was_rejected_is_not_applied_later() -> None:
    """Late answers cause a second attempt after 500 ms; by then the capacity suffices."""
    world = SimulatedCluster(Plan(1, 3))
    for name in world.machines:
        world.start(name)
    world.event_queue.run(4000.0)
    leader = next(
        machine
        for machine in world.machines.values()
        if machine.node is not None and machine.node.replicas[FLEET].leading
    )
    other = next(machine for machine in world.machines.values() if machine is not leader)
    begin_ms = leader.clock.wall(leader.clock.now(world.event_queue.now)) + 60_000.0
    terms = msgspec.convert({**TERMS, "windows": [Window(begin_ms, begin_ms + 1000.0)]}, ContractTerms)
    results: list[Any] = []
    world.network.delays[leader.name, other.name] = 700.0
    world.call(other.name, ProposeContract(id="1", contract="c", terms=terms), results.append)
    world.event_queue.run(world.event_queue.now + 200.0)
    world.call(
        leader.name,
        SetCapacity(id="2", capacity=1000.0, reserve_fraction=0.0, unreserved_rate=0.0),
        lambda result: None,
    )
    world.event_queue.run(world.event_queue.now + 3000.0)
    assert leader.node is not None
    applied = "c" in leader.node.state_machines[FLEET].parts["contracts"].contracts
    rejected = isinstance(results[0], ApplyResult) and isinstance(results[0].error, InsufficientCapacity)
    assert not (applied and rejected), f"{results[0]}, and the contract is held"


def wide_put(number: int, command_id: str = "") -> key_value.PutValue:
    wide = "\U0001f600"
    return key_value.PutValue(
        id=command_id or f"{number:0128}",
        name=wide * 120 + f"{number:08}",
        value=wide * key_value.MAX_VALUE_LENGTH,
    )


def wide_batch(number: int) -> unreported_usage.RecordUsage:
    return unreported_usage.RecordUsage(
        id=f"{number:0128}",
        tenant="t",
        recorded_by="a/00000000",
        lines=tuple(
            unreported_usage.UsageLine("\U0001f600" * 60 + f"{index:04}", 1.5, 60_000.0)
            for index in range(unreported_usage.MAX_LINES)
        ),
    )


def ascii_batch(number: int) -> unreported_usage.RecordUsage:
    return unreported_usage.RecordUsage(
        id=f"{number:0128}",
        tenant="t",
        recorded_by="a/00000000",
        lines=tuple(
            unreported_usage.UsageLine(f"{index:064}", 1.5, 60_000.0)
            for index in range(unreported_usage.MAX_LINES)
        ),
    )


def test_a_group_at_all_its_bounds_fits_into_a_snapshot() -> None:
    """Fills the limits on names, batches and remembered answers, each answer being a long previous value.  The longest
    ids of all remembered answers are added to the size; an eighth is reserved for what the group's hash range may
    hold besides."""
    machine, index, rejected = state_machine(), 0, 0
    for make_command, max_count in ((wide_batch, 1024), (wide_put, 8192)):
        for number in range(max_count + 1):
            index += 1
            result = machine.apply(0.0, index, encode_command(0.0, make_command(number)))
            if rejected := rejected + isinstance(result.error, Overloaded):
                break
        assert rejected
    for number in range(2200):
        index += 1
        assert (
            machine.apply(0.0, index, encode_command(0.0, wide_put(number % 100, f"again{number}"))).error
            is None
        )
    assert len(machine.dump()) + remembered_answers.MAX_REMEMBERED_IDS * 4 * 128 < MAX_SNAPSHOT_BYTES * 7 / 8


def test_remembered_answers_are_bounded_in_bytes_and_all_replicas_forget_the_same(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A replica restored from a snapshot, also from one of a build without the bound, ends in the same state as one
    that applied the whole log."""
    machine, restored, unbounded, restored_unbounded = (
        state_machine(),
        state_machine(),
        state_machine(),
        state_machine(),
    )

    def encoded_call(number: int) -> bytes:
        return encode_command(
            0.0, key_value.PutValue(id=f"p{number}", name="n", value="v" * (300 + 97 * number % 400))
        )

    for number in range(40):
        if number == 20:
            restored.restore(0.0, machine.dump())
            restored_unbounded.restore(0.0, unbounded.dump())
            # Already before the next call, which could be a repeat.
            assert restored_unbounded.dump() == machine.dump()
        for replica, max_bytes in (
            (machine, 4096),
            *(((unbounded, 1 << 30),) if number < 20 else ((restored, 4096), (restored_unbounded, 4096))),
        ):
            monkeypatch.setattr(remembered_answers, "MAX_REMEMBERED_ANSWER_BYTES", max_bytes)
            replica.apply(0.0, number + 1, encoded_call(number))
        monkeypatch.setattr(remembered_answers, "MAX_REMEMBERED_ANSWER_BYTES", 4096)
    remembered: list[Any] = machine.answers.dump()
    assert sum(len(answer) for _, _, answer in remembered) <= 4096
    assert (
        4 < len(remembered) < 14
        and "p39" in machine.answers
        and restored.dump() == restored_unbounded.dump() == machine.dump()
    )


def test_a_batch_recorded_again_after_its_answer_was_dropped_keeps_its_claim(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Otherwise it could be claimed and reported to the counter twice."""
    monkeypatch.setattr(remembered_answers, "MAX_REMEMBERED_IDS", 1)
    machine = state_machine()
    machine.apply(0.0, 1, encode_command(0.0, ascii_batch(1)))
    claim = unreported_usage.ClaimUsage(id="c", tenant="t", batch=ascii_batch(1).id, reporter="b/1")
    machine.apply(0.0, 2, encode_command(0.0, claim))
    assert machine.apply(0.0, 3, encode_command(0.0, ascii_batch(1))).value is True
    second_claim = unreported_usage.ClaimUsage(id="d", tenant="t", batch=claim.batch, reporter="c/1")
    assert isinstance(machine.apply(0.0, 4, encode_command(0.0, second_claim)).error, WrongState)


def exchange_heartbeats(
    replica: RaftNode, follower: RaftNode, begin_ms: float, count: int
) -> tuple[list[Effect], int]:
    """Run `count` heartbeats of the leader and deliver its messages to and from c/1, while b/1 replies as well; returns
    the leader's effects and the number of messages to c/1."""
    effects, appends = list[Effect](), 0
    for heartbeat in range(count):
        now = begin_ms + 100.0 * heartbeat
        replica.handle(now, MessageReceived("b/1", AppendEntriesReply("g", 5, True, 3, 1)))
        pending = replica.handle(now, Tick())
        while pending:
            effects += pending
            messages = [
                effect.message for effect in pending if isinstance(effect, SendMessage) and effect.to == "c/1"
            ]
            appends, pending = appends + len(messages), []
            for message in messages:
                follower_effects = follower.handle(now, MessageReceived("a/1", message))
                for effect in follower_effects + persist_writes(follower, now, follower_effects):
                    if isinstance(effect, SendMessage) and effect.to == "a/1":
                        pending += replica.handle(now, MessageReceived("c/1", effect.message))
    return effects, appends


def follower_with_entries(*terms: int) -> RaftNode:
    saved = PersistedGroup(
        5,
        "",
        Snapshot(0, 0, THREE_VOTERS, EMPTY_SNAPSHOT_BODY),
        tuple(entry(index, entry_term) for index, entry_term in enumerate(terms, 1)),
    )
    return RaftNode(
        "g", "c/1", saved, RecordingStateMachine(SimulatedGroup(0, 0)), TIMINGS, Random(1), Invariants(), 0.0
    )


def error_events(effects: list[Effect]) -> list[str]:
    return [effect.event for effect in effects if isinstance(effect, LogEvent) and effect.level == "error"]


def test_a_member_that_lost_acknowledged_entries_is_reported_once() -> None:
    """Restoring a member's folder from a backup loses acknowledged entries, which only the leader can detect and log.
    It sends one append per heartbeat, and rejections do not cause further ones."""
    replica, _ = leader_with_entries(5, 1, 1, 1)
    replica.handle(2001.0, MessageReceived("c/1", AppendEntriesReply("g", 5, True, 4, 1)))
    effects, appends = exchange_heartbeats(replica, follower_with_entries(1, 1), 2100.0, 9)
    assert error_events(effects) == ["copy-went-back"] and appends <= 9 + 1
    # It has caught up, and then loses entries again.
    effects, _ = exchange_heartbeats(replica, follower_with_entries(1, 1, 1, 5), 3000.0, 2)
    assert not error_events(effects) and match_index(replica, "c/1") == 4
    assert error_events(exchange_heartbeats(replica, follower_with_entries(1, 1), 3200.0, 9)[0]) == [
        "copy-went-back"
    ]


def test_a_follower_that_rejects_below_its_acknowledged_index_after_a_lost_batch_catches_up() -> None:
    """The follower has a log tail of the same old term from another leader, so its rejection names an index below the
    matching one.  Late replies are not reported as lost entries either."""
    replica, _ = leader_with_entries(5, 1, 1, 1)
    follower = follower_with_entries(1, 1, 1, 1, 1)
    # Entry 4 is sent next, and lost.
    replica.handle(2001.0, MessageReceived("c/1", AppendEntriesReply("g", 5, True, 3, 1)))
    late_replies = [
        effect
        for effect in follower.handle(2002.0, MessageReceived("a/1", AppendEntries("g", 5, 4, 5, (), 0, 1)))
        if isinstance(effect, SendMessage)
    ]
    assert [effect.message for effect in late_replies] == [AppendEntriesReply("g", 5, False, 1, 1)]
    effects, _ = exchange_heartbeats(replica, follower, 2100.0, 3)
    assert match_index(replica, "c/1") == 4 and follower.last_log_index == 4
    for now in (2500.0, 2501.0, 2502.0):
        effects += replica.handle(now, MessageReceived("c/1", late_replies[0].message))
    effects += exchange_heartbeats(replica, follower, 2600.0, 3)[0]
    assert match_index(replica, "c/1") == 4 and not error_events(effects)


def test_a_broken_invariant_is_reported_as_one() -> None:
    """Otherwise the operator would be advised to check a healthy disk."""
    replica, _ = replica_with_entries(4, 1)
    replica.handle(1.0, StorageFailure(InvariantBroken("g", "ID_ONCE: planted")))
    assert isinstance(replica.stop_reason, InvariantBroken)


def test_a_late_duplicate_of_a_lease_request_takes_no_share() -> None:
    """The holder has returned its share since: a grant to it now would be unused, and block others for 2 s."""
    rates = GuaranteedRates(Timings(), Invariants())
    rates.apply(
        1000.0,
        OpenContract(
            id="o",
            tenant="t",
            contract="c",
            version=1,
            rate=100.0,
            burst=10.0,
            intervals=(Interval(0.0, 1e6),),
            effective_from_ms=0.0,
        ),
    )

    def lease_request(request_id: str, holder: str, lease_number: int, wanted_rate: float) -> RequestLease:
        return RequestLease(
            id=request_id,
            tenant="t",
            contract="c",
            holder=holder,
            lease_number=lease_number,
            kept_rate=0.0,
            wanted_rate=wanted_rate,
            returned_units=0.0,
            process="p",
            sequence=int(request_id),
        )

    first = lease_request("1", "a/1", 0, 100.0)
    assert rates.apply(1000.0, first).value["part"] == 100.0
    assert rates.apply(1300.0, lease_request("2", "a/1", 1, 0.0)).value["number"] == 0
    rates.apply(1600.0, first)
    assert rates.apply(1700.0, lease_request("3", "b/1", 0, 100.0)).value["part"] == 100.0


@pytest.mark.parametrize(
    ("part_type", "make_command", "max_bytes"),
    [
        (key_value.KeyValueStore, wide_put, key_value.MAX_BYTES),
        (unreported_usage.UnreportedUsage, wide_batch, unreported_usage.MAX_UNREPORTED_BYTES),
        (unreported_usage.UnreportedUsage, ascii_batch, unreported_usage.MAX_UNREPORTED_BYTES),
    ],
)
def test_a_full_part_holds_no_more_bytes_than_its_bound(
    part_type: Any, make_command: Callable[[int], Any], max_bytes: int
) -> None:
    """Otherwise no new replica could ever install the snapshot, and a lost copy could not be replaced.  After a restore
    the part is as full as before; existing values may be replaced by shorter ones."""
    state_part, number = part_type(), 0
    assert make_command(0).validate() == ""
    while state_part.apply(0.0, make_command(number)).error is None:
        number += 1
    restored = part_type()
    restored.load(msgspec.msgpack.decode(msgspec.msgpack.encode(state_part.dump())))
    assert isinstance(restored.apply(0.0, make_command(number)).error, Overloaded)
    size = len(msgspec.msgpack.encode(state_part.dump()))
    assert 0.8 * max_bytes < size <= max_bytes
    if part_type is key_value.KeyValueStore:
        for either in (state_part, restored):
            assert (
                either.apply(0.0, key_value.PutValue(id="s", name=make_command(0).name, value="")).error
                is None
            )
            assert either.apply(0.0, make_command(number)).error is None


@pytest.mark.parametrize(
    ("part_type", "make_command", "max_count"),
    [
        (
            key_value.KeyValueStore,
            lambda number: key_value.PutValue(id="1", name=f"{number:0128}", value="v" * 1024),
            8192,
        ),
        (unreported_usage.UnreportedUsage, ascii_batch, 1024),
    ],
)
def test_ascii_entries_fill_a_part_up_to_its_maximum_count(
    part_type: Any, make_command: Callable[[int], Any], max_count: int
) -> None:
    state_part = part_type()
    assert [state_part.apply(0.0, make_command(number)).error is None for number in range(max_count + 1)] == [
        True
    ] * max_count + [False]


def test_one_wrong_clock_of_three_does_not_advance_the_clusters_time_while_one_is_lost() -> None:
    """The time would stay half an hour ahead, since a group's time never goes back, and windows would end before they
    begin."""
    names = ("a", "b", "c")
    node = ClusterNode(
        NodeSetup("f", "a", "1", tuple(Member(name, "h") for name in names)),
        {},
        Random(1),
        0.0,
        1e12,
        Invariants(),
    )
    node.handle(1.0, 1e12, MessageReceived("b/1", Ping(1, "a/1", (), 1e12 + 3_600_000.0)))
    assert not node.clock.is_synchronized or node.clock.offset_ms < 1000.0
