"""What other tests and the drawn fleets did not find when it was planted; and what the code itself still lets
through.

`docs/design/planted-faults.md` has the table.
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
from badgeryoke.cluster.rolling_restart.transitions import RestartState as RollState
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
from badgeryoke.testbed.cluster_simulation.clock import UNIX_MS
from badgeryoke.testbed.cluster_simulation.fault_plan import Plan
from badgeryoke.testbed.cluster_simulation.world import FleetWorld, Machine
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

EMPTY = msgspec.msgpack.encode([])


def entry(index: int, term: int, body: bytes = b"x", kind: int = EntryKind.COMMAND) -> LogEntry:
    return LogEntry(index, term, kind, body)


def copy(term: int, *terms: int, vote: str = "") -> tuple[RaftNode, RecordingStateMachine]:
    """a/1 of three, with entries of these terms; nothing is known as committed."""
    return single_replica(
        PersistedGroup(
            term,
            vote,
            Snapshot(0, 0, THREE_VOTERS, EMPTY),
            tuple(entry(at, one) for at, one in enumerate(terms, 1)),
        )
    )


def leading(term: int, *terms: int) -> tuple[RaftNode, RecordingStateMachine]:
    """The same as the leader of `term`, which only itself has an entry of yet."""
    replica, machine = copy(term - 1, *terms)
    replica.handle(replica.due_ms, Tick())
    made = replica.handle(2000.0, MessageReceived("b/1", RequestVoteReply("g", term, True, True)))
    persist_writes(replica, 2000.0, made)
    persist_writes(
        replica,
        2000.0,
        replica.handle(2000.0, MessageReceived("b/1", RequestVoteReply("g", term, True, False))),
    )
    assert replica.role is Role.LEADER and replica.current_term == term
    return replica, machine


def match(replica: RaftNode, who: str) -> int:
    return int(replica.status(0.0)["members"][who]["match"])


# Votes
# ----------------------------------------------------------------------------------------------------------------


@pytest.mark.parametrize("pre", [True, False])
@pytest.mark.parametrize(
    ("last_index", "last_term", "granted"),
    [
        (9, 2, False),  # longer, of an older term
        (1, 3, False),  # of the same term, shorter
        (2, 3, True),
        (1, 4, True),  # shorter, of a later term
    ],
)
def test_a_vote_goes_by_the_last_term_and_then_by_length(
    pre: bool, last_index: int, last_term: int, granted: bool
) -> None:
    replica, _ = copy(4, 1, 3)
    made = replica.handle(5000.0, MessageReceived("b/1", RequestVote("g", 5, last_index, last_term, pre)))
    votes = sent_messages(made + persist_writes(replica, 5000.0, made), RequestVoteReply)
    assert [vote.vote_granted for vote in votes] == [granted]


def test_a_vote_of_an_older_term_elects_nobody() -> None:
    replica, _ = copy(4, 1)
    for _ in range(2):  # it stands twice, and has no vote but its own
        replica.handle(replica.due_ms, Tick())
        made = replica.handle(
            replica.due_ms - 1.0,
            MessageReceived("b/1", RequestVoteReply("g", replica.current_term + 1, True, True)),
        )
        persist_writes(replica, replica.due_ms - 1.0, made)
    assert replica.role is Role.CANDIDATE and replica.current_term == 6
    replica.handle(replica.due_ms - 1.0, MessageReceived("c/1", RequestVoteReply("g", 5, True, False)))
    assert replica.role is Role.CANDIDATE


def test_what_waited_for_the_store_is_not_told_in_a_later_term() -> None:
    replica, _ = copy(4, 1)
    held = replica.handle(5000.0, MessageReceived("b/1", RequestVote("g", 5, 9, 9, False)))
    later = replica.handle(5001.0, MessageReceived("c/1", AppendEntries("g", 6, 1, 1, (), 0, 1)))
    told = persist_writes(replica, 5002.0, held + later)
    assert replica.current_term == 6 and not sent_messages(told, RequestVoteReply)


def test_a_late_word_to_stand_is_not_heeded() -> None:
    replica, _ = copy(4, 1)
    replica.handle(10.0, MessageReceived("b/1", AppendEntries("g", 5, 1, 1, (), 0, 1)))
    for who, term in (("b/1", 4), ("c/1", 5)):
        replica.handle(11.0, MessageReceived(who, TimeoutNow("g", term)))
        assert replica.role is Role.FOLLOWER and replica.current_term == 5
    replica.handle(12.0, MessageReceived("b/1", TimeoutNow("g", 5)))
    assert replica.role is Role.CANDIDATE


# Answers to a leader
# ---------------------------------------------------------------------------------------------------


def test_a_leader_believes_only_answers_that_can_be_meant_for_it() -> None:
    replica, machine = leading(5, 1, 1, 1)
    replica.handle(2001.0, MessageReceived("b/1", AppendEntriesReply("g", 5, True, 3, 1)))
    assert match(replica, "b/1") == 3
    replica.handle(2002.0, MessageReceived("b/1", AppendEntriesReply("g", 5, True, 2, 1)))
    assert match(replica, "b/1") == 3  # a late one takes nothing back
    for wrong in (
        AppendEntriesReply("g", 4, True, 4, 1),  # of a term before
        AppendEntriesReply("g", 5, True, 9, 1),  # beyond the log
        AppendEntriesReply("g", 5, True, 4, 99),
    ):  # to a round that never began
        replica.handle(2003.0, MessageReceived("c/1", wrong))
        assert match(replica, "c/1") == 0 and replica.commit_index == 0 and not machine.rows
    replica.handle(2004.0, MessageReceived("c/1", AppendEntriesReply("g", 5, True, 4, 1)))
    assert replica.commit_index == 4


def test_a_round_that_never_began_answers_no_read() -> None:
    replica, _ = leading(5, 1)
    replica.handle(2001.0, MessageReceived("b/1", AppendEntriesReply("g", 5, True, 2, 1)))
    assert replica.leading
    made = replica.handle(2002.0, ReadIndexRequest("r"))
    for told in (
        AppendEntriesReply("g", 5, True, 2, 99),
        AppendEntriesReply("g", 4, True, 2, 2),
        AppendEntriesReply("g", 5, True, 2, 1),
    ):
        made += replica.handle(2003.0, MessageReceived("b/1", told))
    assert not [one for one in made if isinstance(one, OperationCompleted)]
    made = replica.handle(2004.0, MessageReceived("b/1", AppendEntriesReply("g", 5, True, 2, 2)))
    assert [one for one in made if isinstance(one, OperationCompleted)] == [OperationCompleted("r", None)]


def test_members_change_only_behind_an_entry_of_the_leaders_own_term() -> None:
    replica, _ = leading(5, 1)
    made = replica.handle(2001.0, ChangeMembership("t", MembershipAction.LEARN, "d/1"))
    assert [type(one.result) for one in made if isinstance(one, OperationCompleted)] == [WrongState]
    assert replica.config == THREE_VOTERS


def test_the_lead_goes_to_nobody_who_lacks_an_entry() -> None:
    replica, _ = leading(5, 1)
    made = replica.handle(2001.0, MessageReceived("b/1", AppendEntriesReply("g", 5, True, 2, 1)))
    made += replica.handle(2002.0, ProposeCommand("p", b"p"))
    made += replica.handle(2003.0, TransferLeadership("b/1"))
    persist_writes(replica, 2003.0, made)
    assert not sent_messages(made, TimeoutNow)
    assert isinstance(replica.handle(2004.0, ProposeCommand("q", b"q"))[-1].result, NoLeader)  # type: ignore[union-attr]
    made = replica.handle(2005.0, MessageReceived("b/1", AppendEntriesReply("g", 5, True, 3, 1)))
    assert sent_messages(made, TimeoutNow) == [TimeoutNow("g", 5)]


# What a follower takes
# ------------------------------------------------------------------------------------------------


def test_a_follower_commits_only_what_matches_the_leaders_log() -> None:
    replica, machine = copy(4, 1, 2, 2)
    replica.handle(10.0, MessageReceived("b/1", AppendEntries("g", 5, 1, 1, (), 3, 1)))
    assert replica.commit_index == 1 and machine.rows == [(1, b"x")]


def test_what_was_cut_off_does_not_count_as_stored() -> None:
    """Entries 2 and 3 were stored, and are cut; the new 2 and 3 are acknowledged when they are stored, not
    before."""
    replica, _ = copy(4, 1, 2, 2)
    made = replica.handle(
        10.0, MessageReceived("b/1", AppendEntries("g", 5, 1, 1, (entry(2, 5), entry(3, 5)), 0, 1))
    )
    assert [one.index for one in sent_messages(made, AppendEntriesReply)] == [1]
    assert 3 in [one.index for one in sent_messages(persist_writes(replica, 11.0, made), AppendEntriesReply)]


def test_a_store_under_way_makes_nothing_safe_that_was_cut_meanwhile() -> None:
    replica, _ = copy(4, 1)
    first = replica.handle(
        10.0, MessageReceived("b/1", AppendEntries("g", 5, 1, 1, (entry(2, 5), entry(3, 5)), 0, 1))
    )
    second = replica.handle(
        11.0, MessageReceived("c/1", AppendEntries("g", 6, 1, 1, (entry(2, 6), entry(3, 6)), 0, 1))
    )
    told = persist_writes(replica, 12.0, first)
    told += replica.handle(13.0, MessageReceived("c/1", AppendEntries("g", 6, 3, 6, (), 0, 2)))
    assert max((one.index for one in sent_messages(told, AppendEntriesReply)), default=0) <= 1
    assert 3 in [
        one.index for one in sent_messages(persist_writes(replica, 14.0, second), AppendEntriesReply)
    ]


def pieces(
    index: int, index_term: int, body: bytes, config: GroupConfiguration = THREE_VOTERS
) -> Callable[..., InstallSnapshotChunk]:
    return lambda term, offset, size: InstallSnapshotChunk(
        "g", term, index, index_term, config, offset, len(body), body[offset : offset + size], 1
    )


def test_a_snapshot_takes_a_tail_away_that_does_not_go_on_from_it() -> None:
    """Its entry 3 is of another term: what lies behind is another leader's, stored or not."""
    replica, machine = copy(4, 1, 2, 2, 2)
    body = msgspec.msgpack.encode([(1, b"x"), (2, b"y"), (3, b"z")])
    made = replica.handle(10.0, MessageReceived("b/1", pieces(3, 5, body)(6, 0, 99)))
    assert (replica.last_log_index, replica.commit_index, machine.rows[-1]) == (3, 3, (3, b"z"))
    assert not [
        one for one in sent_messages(made, AppendEntriesReply) if one.index
    ]  # neither stored nor told
    assert 3 in [one.index for one in sent_messages(persist_writes(replica, 11.0, made), AppendEntriesReply)]


@pytest.mark.parametrize(
    "other",
    [
        lambda: MessageReceived("c/1", pieces(3, 5, b"zzzzzzzzzz")(6, 0, 3)),  # another leader's, as long
        # of the same member in a later term
        lambda: MessageReceived("b/1", pieces(3, 5, b"zzzzzzzzzz")(6, 0, 3)),
        # a later one of the same leader
        lambda: MessageReceived("b/1", pieces(4, 5, b"zzzzzzzzzz")(5, 0, 3)),
    ],
)
def test_pieces_of_two_snapshots_are_not_put_together(other: Callable[[], MessageReceived]) -> None:
    replica, _ = copy(4, 1)
    first = pieces(3, 5, b"yyyyyyyyyy")
    assert (
        sent_messages(
            replica.handle(10.0, MessageReceived("b/1", first(5, 0, 4))), InstallSnapshotChunkReply
        )[0].received_bytes
        == 4
    )
    assert sent_messages(replica.handle(11.0, other()), InstallSnapshotChunkReply)[0].received_bytes == 3


def test_a_snapshot_bears_the_members_and_the_term_of_its_last_entry() -> None:
    """The entry of a change lies in the log behind it, and is not committed; the present term is a later
    one."""
    count = TIMINGS.snapshot_entries
    terms = [1] * count
    saved = PersistedGroup(
        4,
        "",
        Snapshot(0, 0, THREE_VOTERS, EMPTY),
        (
            *(entry(at, one) for at, one in enumerate(terms, 1)),
            entry(
                count + 1,
                2,
                encode_config(GroupConfiguration(THREE_VOTERS.voters, ("d/1",))),
                EntryKind.CONFIG,
            ),
        ),
    )
    replica, _ = single_replica(saved)
    made = replica.handle(10.0, MessageReceived("b/1", AppendEntries("g", 5, count + 1, 2, (), count, 1)))
    shots = [
        record
        for one in made
        if isinstance(one, PersistRecords)
        for record in one.records
        if isinstance(record, Snapshot)
    ]
    assert [(shot.last_included_index, shot.last_included_term, shot.config) for shot in shots] == [
        (count, 1, THREE_VOTERS)
    ]


def test_a_log_is_loaded_without_entries_that_a_snapshot_overtook() -> None:
    saved = PersistedGroup(5, "", Snapshot(3, 4, THREE_VOTERS, EMPTY), (entry(4, 2), entry(5, 2)))
    assert RaftLog.load(saved).last_index == 3


def test_a_batch_is_bounded_in_bytes_and_a_refusal_points_behind_what_is_committed() -> None:
    log = RaftLog(0, 0, THREE_VOTERS, tuple(entry(at, 1, b"x" * 100) for at in range(1, 9)))
    assert len(log.entries_from(1, 8, 250)) == 2 and len(log.entries_from(1, 8, 10)) == 1
    assert log.first_of_term(8, 5) == 5


def test_a_long_body_is_refused_and_what_waits_for_the_store_is_bounded() -> None:
    replica, _ = leading(5, 1)
    made = replica.handle(2001.0, ProposeCommand("p", b"x" * (MAX_COMMAND_BYTES + 1)))
    assert [type(one.result) for one in made if isinstance(one, OperationCompleted)] == [InvalidCall]
    follower, _ = copy(4, 1)
    follower.handle(10.0, MessageReceived("b/1", AppendEntries("g", 5, 1, 1, (entry(2, 5),), 0, 1)))
    for round_ in range(2, MAX_WITHHELD_MESSAGES + 10):
        follower.handle(10.0, MessageReceived("b/1", AppendEntries("g", 5, 1, 1, (entry(2, 5),), 0, round_)))
    assert len(follower._withheld_messages) == MAX_WITHHELD_MESSAGES


# Who lives, how a fleet is formed, where its copies are
# ----------------------------------------------------------------


def watcher() -> Membership:
    return Membership("a/1", "x", [Member(name, "x") for name in "abc"], Timings(), Random(1), 0.0)


def test_messages_of_a_superseded_incarnation_are_ignored() -> None:
    me = watcher()
    for who in ("c/1", "b/1", "b/2"):
        me.handle(10.0, MessageReceived(who, Ping(1, "a/1", ())))
    out = me.handle(11.0, MessageReceived("b/1", Ping(2, "a/1", (GossipUpdate("c/1", MemberState.DEAD, 0),))))
    assert not [one for one in out if isinstance(one, SendMessage)]
    assert me.ids()["b"] == "b/2" and me.state_of("c") == "alive"
    me.handle(12.0, MessageReceived("b/2", Ping(3, "a/1", (GossipUpdate("c/1", MemberState.DEAD, 0),))))
    assert me.state_of("c") == "dead"  # at the count that is known as well


def test_a_suspect_that_answers_pings_is_not_declared_dead_and_local_health_recovers() -> None:
    me = watcher()
    for who in ("b/1", "c/1"):
        me.handle(10.0, MessageReceived(who, Ping(1, "a/1", ())))
    me.handle(
        11.0, MessageReceived("c/1", Ping(2, "a/1", (GossipUpdate("b/1", MemberState.SUSPECTED, 0, "c/1"),)))
    )
    me.local_health.score = 3
    now = 11.0
    while now < 60_000.0:
        now = me.due
        for one in me.handle(now, Tick()):
            if isinstance(one, SendMessage) and isinstance(one.message, Ping) and one.to in ("b/1", "c/1"):
                me.handle(now, MessageReceived(one.to, Ack(one.message.seq, one.to, ())))
    assert me.state_of("b") == "suspected" and me.local_health.score == 0


YARD = NodeSetup("yard", "b", "1", tuple(Member(name, "x") for name in "abc"))
FOUNDED = BootstrapRecord("yard", "01", "a/1", tuple((f"{name}/1", "x") for name in "abc"), 8, 3)


def test_a_member_whose_bootstrap_record_is_not_stored_yet_answers_no_query() -> None:
    node = Bootstrap(YARD, PersistedGroup(), Random(1), 0.0)
    assert [
        type(one)
        for one in node.handle(1.0, MessageReceived("a/1", ClusterFounded(msgspec.msgpack.encode(FOUNDED))))
    ] == [PersistRecords]
    assert node.handle(2.0, MessageReceived("c/1", IdentityQuery("x"))) == [] and node.record is None
    node.handle(3.0, RecordsPersisted(BOOTSTRAP_GROUP, 1))
    assert node.handle(4.0, MessageReceived("c/1", IdentityQuery("x"))) == [
        SendMessage("c/1", Announce("x", msgspec.msgpack.encode(FOUNDED)))
    ]
    other = msgspec.msgpack.encode(msgspec.structs.replace(FOUNDED, bootstrap_id="02"))
    said = node.handle(5.0, MessageReceived("a/2", ClusterFounded(other)))
    assert [one.fields["error"] for one in said if isinstance(one, LogEvent)] == ["another-fleet"]


def test_a_bootstrap_promise_is_never_given_to_an_earlier_creator() -> None:
    node = Bootstrap(YARD, PersistedGroup(), Random(1), 0.0)
    for who in ("a/1", "a/2"):
        assert [type(one) for one in node.handle(1.0, MessageReceived(who, IdentityQuery("x")))] == [
            PersistRecords
        ]
    assert node.handle(2.0, MessageReceived("a/1", IdentityQuery("x"))) == []


def placing(halls: str = "aaaaa", groups: int = 2) -> PlacementDirectory:
    made = PlacementDirectory(Timings(), Invariants())
    made.initialize(
        BootstrapRecord(
            "yard", "01", "m0/1", tuple((f"m{at}/1", hall) for at, hall in enumerate(halls)), groups, 3
        )
    )
    return made


def moving() -> tuple[PlacementDirectory, str, str]:
    """A move of g0 is under way; gives who goes and who comes."""
    made = placing()
    voters = made.groups["g0"].voters
    new = next(who for who, _ in made.members.values() if who not in voters)
    assert made.apply(0.0, ReplaceReplica(id="1", group="g0", lost=voters[0], new=new, most=2)).error is None
    return made, voters[0], new


def test_a_replica_is_removed_once_its_replacement_votes() -> None:
    made, lost, new = moving()
    alive = frozenset(who for who, _ in made.members.values())
    config = GroupConfiguration(made.groups["g0"].voters)
    acts = []
    while (change := made.next_membership_change("g0", config, (), alive)) is not None:
        acts.append(change.action)
        config = {
            "learn": GroupConfiguration(config.voters, (new,)),
            "promote": GroupConfiguration((*config.voters, new)),
            "remove": GroupConfiguration(tuple(who for who in config.voters if who != lost)),
        }[change.action]
    assert acts == ["learn", "promote", "remove"]
    gone = tuple(who for who in made.groups["g0"].voters if who != lost)
    made.apply(0.0, ReplicaMoved(id="2", group="g0", voters=gone, number=1))
    assert "g0" in made.moves  # its newcomer counts for nothing yet
    made.apply(0.0, ReplicaMoved(id="3", group="g0", voters=(*gone, new), number=2))
    assert not made.moves


def test_a_move_counts_as_load_and_ends_with_its_learners_incarnation() -> None:
    made, _, new = moving()
    held = sum(new in held.voters for held in made.groups.values())
    assert made.replica_loads()[new] == held + 1
    name = member_name(new)
    assert made.apply(0.0, EnrolMember(id="2", name=name, who=f"{name}/2", zone="a")).error is None
    assert not made.moves


def test_lagging_replicas_are_incomplete_and_a_move_is_timed_by_its_present_leader() -> None:
    made = placing()
    view = LeaderView(
        100_000.0,
        0.0,
        "m0/1",
        99_000.0,
        Timings(),
        frozenset(who for who, _ in made.members.values()),
        {},
        {},
        {},
        {},
        {},
    )
    assert made.replication_problems(view) == [] and not is_overdue(view, 0.0)
    voters = made.groups["g1"].voters
    assert made.replication_problems(replace(view, behind={"g1": voters[:1]}))
    made.apply(0.0, ReplicaMoved(id="1", group="g1", voters=voters, number=1, behind=voters[1:2]))
    assert made.replication_problems(view)
    assert [replica_count(most, members) for most, members in ((5, 4), (4, 9), (3, 2), (3, 1))] == [
        3,
        3,
        2,
        1,
    ]


# What a group's log is applied to
# --------------------------------------------------------------------------------------


def state() -> GroupStateMachine:
    return GroupStateMachine("g0", Timings(), Invariants())


def put(
    made: GroupStateMachine, index: int, id_: str, name: str, value: str, at_ms: float = 1.0
) -> ApplyResult:
    return made.apply(0.0, index, encode_command(at_ms, key_value.PutValue(id=id_, name=name, value=value)))


def test_a_snapshot_keeps_answers_and_time_and_the_oldest_id_is_forgotten_first(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(remembered_answers, "MAX_REMEMBERED_IDS", 3)
    made, other = state(), state()
    for number in range(4):
        assert put(made, number + 1, f"o{number}", "n", f"v{number}", 5000.0 - number).error is None
    assert made.at_ms == 5000.0  # time goes on, never back
    assert [command_id for command_id, _, _ in made.answers.dump()] == ["o1", "o2", "o3"]
    put(other, 1, "x", "gone", "v")
    other.restore(0.0, made.dump())
    assert other.at_ms == 5000.0 and other.dump() == made.dump()  # and nothing is left of what was there
    for one in (made, other):
        assert put(one, 9, "o3", "n", "v3").value == "v2"  # as the first time
        assert isinstance(put(one, 10, "o3", "n", "other").error, DuplicateId)
        assert one.query(key_value.ReadValue(id="r", name="n")).value == "v3"


def test_a_lease_is_timed_from_where_its_entry_was_seen() -> None:
    made = state()
    opened = OpenContract(
        id="o",
        tenant="t",
        contract="c",
        version=1,
        rate=9.0,
        burst=0.0,
        intervals=(Interval(0.0, 1e9),),
        effective_from_ms=0.0,
    )
    asked = RequestLease(
        id="1",
        tenant="t",
        contract="c",
        holder="a/1",
        lease_number=0,
        kept_rate=0.0,
        wanted_rate=9.0,
        returned_units=0.0,
    )
    for index, command in enumerate((opened, asked), 1):
        made.apply(700.0, index, encode_command(1.0, command))
    assert [one.seen_ms for one in made.parts["floors"].contracts["c"].pool.leases.values()] == [700.0]


def test_names_are_bounded_and_a_known_one_goes_on(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(key_value, "MAX_BYTES", key_value.MIN_ENTRY_BYTES)
    made = state()
    assert put(made, 1, "1", "n", "v").value is None
    assert isinstance(put(made, 2, "2", "other", "v").error, Overloaded)
    assert put(made, 3, "3", "n", "w").value == "v"


def test_a_batch_is_owed_until_it_is_told_and_is_given_out_once(monkeypatch: pytest.MonkeyPatch) -> None:
    def owe(id_: str, at_ms: float = 0.0) -> ApplyResult:
        return made.apply(
            at_ms,
            unreported_usage.RecordUsage(
                id=id_, tenant="t", recorded_by="a/1", lines=(unreported_usage.UsageLine("n", 3.0, 1000.0),)
            ),
        )

    def claim(batch: str, by: str) -> ApplyResult:
        return made.apply(
            1.0, unreported_usage.ClaimUsage(id=f"{batch}{by}", tenant="t", batch=batch, reporter=by)
        )

    def told(batch: str, by: str, known: bool) -> ApplyResult:
        return made.apply(
            2.0,
            unreported_usage.ConfirmUsageReported(
                id="t", tenant="t", batch=batch, reporter=by, outcome_known=known
            ),
        )

    monkeypatch.setattr(unreported_usage, "MAX_UNREPORTED_BYTES", 2 * unreported_usage.MIN_BATCH_BYTES)
    made = unreported_usage.UnreportedUsage()
    assert owe("1").error is None and owe("2").error is None and isinstance(owe("3").error, Overloaded)
    assert claim("1", "b/1").value == [["n", 3.0, 1000.0]]
    again = unreported_usage.UnreportedUsage()
    again.load(msgspec.msgpack.decode(msgspec.msgpack.encode(made.dump())))
    made = again
    # what is being told is not offered
    assert made.query(unreported_usage.ReadUnreportedUsage(id="r", tenant="t")).value == ["2"]
    assert isinstance(claim("1", "c/1").error, WrongState) and isinstance(
        told("1", "c/1", True).error, NotFound
    )
    assert told("1", "b/1", True).value and made.unknown_units == 0.0
    assert claim("2", "b/1").value and told("2", "b/1", False).value and made.unknown_units == 3.0
    assert owe("4").error is None and owe("5", unreported_usage.MAX_BATCH_AGE_MS + 1.0).error is None
    assert made.unknown_units == 6.0 and made.query(
        unreported_usage.ReadUnreportedUsage(id="r", tenant="t")
    ).value == ["5"]


def test_a_holder_keeps_no_more_than_it_had_and_only_its_present_lease_ends() -> None:
    whole, rules = LeasePool(10.0), Invariants()
    assert whole.request(LeaseRequest("a", 0, 0.0, 6.0, 0.0), rules).share == 6.0  # type: ignore[union-attr]
    assert isinstance(whole.request(LeaseRequest("a", 1, 7.0, 7.0, 0.0), rules), InvalidCall)
    assert whole.request(LeaseRequest("a", 1, 6.0, 6.0, 0.0), rules).number == 2  # type: ignore[union-attr]
    assert not whole.release("a", 1) and whole.granted() == 6.0
    whole.grow("a", 2.0)
    assert whole.request(LeaseRequest("b", 0, 0.0, 9.0, 0.0), rules).share == 2.0  # type: ignore[union-attr]
    assert whole.release("a", 2) and whole.granted() == 2.0


def test_a_leap_of_the_groups_time_fills_no_bucket() -> None:
    whole = LeasePool(10.0, 100.0, free_units=0.0, accrued_until_ms=1000.0)
    whole.accrue(3_600_000.0)
    assert whole.free_units == 10.0 * MAX_ACCRUAL_GAP_MS / 1000.0


# What a node tells of its calls, and does for its groups
# ---------------------------------------------------------------


def node(names: str = "abc", strict: bool = True, draw: int = 1) -> ClusterNode:
    """a/1 of a fleet that is founded, at 0 by both its clocks."""
    record = BootstrapRecord("yard", "01", "a/1", tuple((f"{name}/1", "x") for name in names), 2, 3)
    saved = PersistedGroup(snapshot=Snapshot(1, 1, GroupConfiguration(()), msgspec.msgpack.encode(record)))
    setup = NodeSetup("yard", "a", "1", tuple(Member(name, "x") for name in names), group_count=2)
    return ClusterNode(setup, {BOOTSTRAP_GROUP: saved}, Random(draw), 0.0, 1e12, Invariants(strict))


def told(effects: list[Any]) -> list[Any]:
    return [one.result for one in effects if isinstance(one, OperationCompleted)]


def forwards(effects: list[Any]) -> list[ForwardedCall]:
    """Of `PUT`; a node has calls of its own as well."""
    return [
        one.message
        for one in effects
        if isinstance(one, SendMessage)
        and isinstance(one.message, ForwardedCall)
        and isinstance(decode_command(one.message.body)[1], key_value.PutValue)
    ]


PUT = ClusterCall("t", key_value.PutValue(id="1", name="n", value="v"))
ROOM = ApplyResult(error=InsufficientCapacity("c", "full"))
LATER = UnknownOutcome("g0", "the leader changed before it was committed")


@pytest.mark.parametrize(
    ("answers", "end"),
    [
        ([], UnknownOutcome),
        ([(1, NoLeader("g0", "none")), (2, NoLeader("g0", "none"))], NoLeader),  # no try may have been taken
        ([(2, NoLeader("g0", "none"))], UnknownOutcome),  # of the first nothing is known
        ([(1, LATER), (2, NoLeader("g0", "none"))], UnknownOutcome),
        ([(1, ROOM)], InsufficientCapacity),
        ([(2, ROOM)], UnknownOutcome),  # the first may be taken yet
        ([(2, ROOM), (1, ROOM)], InsufficientCapacity),
        ([(2, ApplyResult("v0"))], str),  # taken is taken
        ([(1, LATER), (2, ApplyResult("v0"))], str),  # it is made again
    ],
)
def test_a_call_is_rejected_only_where_no_attempt_of_it_can_be_applied(
    answers: list[tuple[int, Any]], end: type[Any]
) -> None:
    made = node()
    tries = forwards(made.handle(1.0, 1e12, PUT))
    now, got, waiting = 1.0, list[Any](), dict(answers)
    while not got and now < 5000.0:
        now += 20.0
        effects = made.handle(now, 1e12, Tick())
        tries += forwards(effects)
        got += told(effects)
        for number, answer in list(waiting.items()):
            if len(tries) >= number and (number == 1 or len(tries) >= 2) and next(iter(waiting)) == number:
                body = [answer, None, ""] if isinstance(answer, ApplyResult) else [None, answer, ""]
                effects = made.handle(
                    now,
                    1e12,
                    MessageReceived(
                        "b/1", ForwardedReply(tries[number - 1].token, msgspec.msgpack.encode(body))
                    ),
                )
                tries += forwards(effects)
                got += told(effects)
                del waiting[number]
        if not waiting and len(tries) > 2:  # all further ones are answered that nobody leads
            effects = made.handle(
                now,
                1e12,
                MessageReceived(
                    "b/1",
                    ForwardedReply(
                        tries[-1].token, msgspec.msgpack.encode([None, NoLeader("g0", "none"), ""])
                    ),
                ),
            )
            got += told(effects)
    result = got[0].error or got[0].value if isinstance(got[0], ApplyResult) else got[0]
    assert len(got) == 1 and type(result) is end and now <= 2100.0


def test_a_reply_to_an_earlier_process_is_ignored_and_pending_calls_are_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(call_router, "MAX_PENDING_CALLS", 1)
    before, made = node(), node(draw=2)
    old = forwards(before.handle(1.0, 1e12, PUT))[0]
    assert forwards(made.handle(1.0, 1e12, PUT))
    body = msgspec.msgpack.encode([ApplyResult("old"), None, ""])
    assert told(made.handle(2.0, 1e12, MessageReceived("b/1", ForwardedReply(old.token, body)))) == []
    assert [type(one) for one in told(made.handle(3.0, 1e12, PUT))] == [Overloaded]


def test_the_clusters_time_is_the_median_of_a_majoritys_clocks() -> None:
    made = node("abcde")
    assert not made.clock.is_synchronized
    for who, wall in (("b/1", 1e12 + 3_600_000.0), ("c/1", 1e12 + 5.0), ("d/1", 1e12 + 9.0)):
        made.handle(1.0, 1e12, MessageReceived(who, Ping(1, "a/1", (), wall)))
    assert made.clock.is_synchronized and 0.0 <= made.clock.offset_ms <= 9.0


def alone_and_leading(strict: bool) -> ClusterNode:
    """A fleet of one, whose store takes no time."""
    made, now = node("a", strict), 0.0
    while not all(replica.leading for replica in made.replicas.values()):
        now += 50.0
        carry(made, now, made.handle(now, 1e12 + now, Tick()))
        assert now < 5000.0
    return made


def carry(made: ClusterNode, now: float, effects: list[Any]) -> list[Any]:
    """Answer its stores until nothing more comes of it; gives what was told."""
    results = told(effects)
    for one in effects:
        if isinstance(one, PersistRecords):
            results += carry(
                made, now, made.handle(now, 1e12 + now, RecordsPersisted(one.group, one.sequence))
            )
    return results


def test_a_broken_invariant_stops_only_the_replica_concerned_in_service(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    made = alone_and_leading(False)
    at = group_for_key("p:n", 2)

    def breaks(self: Any, at_ms: float, command: Any) -> ApplyResult:
        made.rules.check(Rule.ID_ONCE, False, lambda: "planted")
        return ApplyResult("kept")

    monkeypatch.setattr(key_value.KeyValueStore, "apply", breaks)
    carry(made, 5001.0, made.handle(5001.0, 1e12, PUT))
    assert [group for group, replica in made.replicas.items() if replica.stop_reason is not None] == [at]


def test_a_repeated_call_is_deduplicated_by_its_id() -> None:
    made = alone_and_leading(True)
    for now in (5001.0, 5002.0):
        assert [one.value for one in carry(made, now, made.handle(now, 1e12, PUT))] == [None]


def test_a_storage_failure_stops_every_replica() -> None:
    made = alone_and_leading(True)
    made.handle(5001.0, 1e12, StorageFailure(StorageFailed("a", "full")))
    assert all(replica.stop_reason is not None for replica in made.replicas.values())


def test_only_committed_members_and_lasting_lags_are_reported() -> None:
    made = node()
    stub: Any = SimpleNamespace(
        commit_index=1,
        config_index=2,
        config=GroupConfiguration(("a/1",)),
        lagging_learners=lambda: (),
        leader_since_ms=-1e9,
        lagging_voters=lambda: ("b/1",),
    )
    follower = made.placement_follower
    follower.placement.groups["g0"] = GroupPlacement(("a/1", "b/1"))
    assert follower.advance_group(1.0, 1e12, "g0", stub) == []
    assert follower.lagging_for_long(1.0, "g0", stub) == ()
    assert follower.lagging_for_long(LAGGING_AFTER_MS + 2.0, "g0", stub) == ("b/1",)


class Yard(FleetWorld):
    """Three members that run and lead; nothing else happens."""

    def __init__(self, wrong_ms: float = 0.0) -> None:
        super().__init__(Plan(1, 3))
        self.machines["g1"].clock.off = wrong_ms
        for name in self.machines:
            self.start(name)
        self.calendar.run(4000.0)
        assert not self.findings

    def leads(self, group: str) -> Machine:
        return next(
            one for one in self.machines.values() if one.node is not None and one.node.replicas[group].leading
        )

    def go(self, ms: float) -> None:
        self.calendar.run(self.calendar.now + ms)


def test_a_read_is_answered_only_by_who_has_asked_a_majority() -> None:
    world, got = Yard(), list[Any]()
    leader = world.leads(group_for_key("p:n", 8))
    rest = [name for name in world.machines if name != leader.name]
    world.network.cut(
        [(one, other) for name in rest for one, other in ((leader.name, name), (name, leader.name))]
    )
    world.call(leader.name, key_value.ReadValue(id="r", name="n"), got.append)
    world.go(500.0)
    assert got == []


@pytest.mark.parametrize("how", ["leave", "drained"])
def test_who_ends_or_is_drained_hands_its_groups_over_at_once(how: str) -> None:
    world = Yard()
    leader = world.leads(FLEET)
    if how == "leave":
        world._give(leader.name, leader.life, [LeaveCluster("l")])
    else:
        assert leader.node is not None
        leader.node.avoid_leadership = True
    world.go(400.0)  # less than an election takes
    assert leader.node is not None and not any(replica.leading for replica in leader.node.replicas.values())
    assert world.leads(FLEET) is not leader


def test_a_wrong_clock_at_the_founding_does_not_become_the_groups_time() -> None:
    world = Yard(wrong_ms=3_600_000.0)
    for machine in world.machines.values():
        assert machine.node is not None
        assert all(state.at_ms < UNIX_MS + 10_000.0 for state in machine.node.state_machines.values())


def test_a_roll_sees_what_contracts_take() -> None:
    world = Yard()
    made = world.leads(FLEET).node
    assert (
        made is not None
        and "promised" in made.leader_duties.view(1.0, 1e12, made.replicas[FLEET], made.load).load
    )


# The store and the links
# -----------------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "spoil",
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
        "WHERE grp = 'g' AND idx = 4",  # as a page that was never written over: good in itself
    ],
)
def test_a_row_that_is_not_as_it_was_written_makes_a_newcomer(tmp_path: Path, spoil: str) -> None:
    disk = open_existing(tmp_path)
    write_records(disk, "g", HardState(3, "b/1"), entries(1, 5), Snapshot(2, 1, THREE_VOTERS, b"x"))
    write_records(disk, "h", Snapshot(7, 1, THREE_VOTERS, b"y"))
    disk._database.execute("CREATE TABLE old AS SELECT * FROM entry WHERE grp = 'g' AND idx = 4")
    write_records(disk, "g", entries(4, 5, 2))
    disk._database.execute(spoil)
    disk._database.execute("DROP TABLE old")
    disk.close()
    back = open_existing(tmp_path, incarnation="2")
    assert back.incarnation == "2" and not back.persisted_groups
    assert [type(one) for one in back.faults] == [StorageDamaged]
    back.close()


def test_each_transaction_is_synced(tmp_path: Path) -> None:
    for fsync, level in ((True, 2), (False, 0)):
        made = open_storage(tmp_path / str(fsync), "f", "a", fsync)
        assert isinstance(made, ClusterStorage) and made._database.execute(
            "PRAGMA synchronous"
        ).fetchone() == (level,)
        made.close()


@pytest.mark.parametrize(("broken", "kept"), [(3, 0), (4, 4)])
def test_a_break_before_the_last_commit_is_no_tear(tmp_path: Path, broken: int, kept: int) -> None:
    """Without the count, which may be old after the machine's death: of five commits, the one at which it
    breaks."""
    disk = open_existing(tmp_path / "live")
    told, ends = (tmp_path / "live" / ACKNOWLEDGED_FILE).read_bytes(), [0]
    for number in range(1, 6):
        write_records(disk, "g", entries(number, number))
        ends.append((tmp_path / "live" / WAL_FILE).stat().st_size)
    shutil.copytree(tmp_path / "live", tmp_path / "dead", ignore=shutil.ignore_patterns("*-shm", "lock"))
    disk.close()
    raw = bytearray((tmp_path / "dead" / WAL_FILE).read_bytes())
    raw[ends[broken] + 1000] ^= 1
    (tmp_path / "dead" / WAL_FILE).write_bytes(raw)
    (tmp_path / "dead" / ACKNOWLEDGED_FILE).write_bytes(told)
    back = open_existing(tmp_path / "dead", incarnation="2")
    assert back.incarnation == ("1" if kept else "2")
    assert not kept or len(back.persisted_groups["g"].entries) == kept
    back.close()


def test_another_version_is_turned_away() -> None:
    for version in (PROTOCOL_VERSION - 1, PROTOCOL_VERSION + 1):
        sent = msgspec.msgpack.encode(Envelope(version, "f", "a/1", "b", ()))
        assert isinstance(decode_envelope(sent, "f", "a"), BadFrame)


def test_who_is_not_there_is_dialled_with_pauses_and_connections_taken_are_bounded() -> None:
    async def test() -> None:
        async with connected_pair() as (here, there):
            peer = here.transport.peers["b"]
            peer.address = HOST, 1
            here.transport.send("b/1", PING)
            await until(lambda: peer.send_task is None)
            assert (
                peer.reconnect_backoff_s >= SHORT_TIMEOUTS.min_reconnect_backoff_s
                and peer.reconnect_at_s > 0.0
            )
            held = [await asyncio.open_connection(HOST, there.port) for _ in range(16)]
            await until(lambda: bool(there.transport.inbound_connection_count))
            assert there.transport.inbound_connection_count <= 2 * len(there.transport.peers) + 8
            for _, writer in held:
                writer.close()

    run_with_timeout(test)


# Rolls, as the log holds them
# ------------------------------------------------------------------------------------------

WELL = ClusterConditions(0, 0, 0, -1.0, 0.0)


def rolling(**ask: Any) -> RollingRestarts:
    """A roll over three gateways, planned; it has changed twice."""
    made = RollingRestarts(Invariants())
    given = {"id": "1", "restart": "r", "warm_up_ms": 50.0, **ask}
    for command in (
        StartRollingRestart(**given),
        RecordRestartEvent(id="2", restart="r", restart_version=0, event="SEEN"),
        RecordRestartEvent(
            id="3", restart="r", restart_version=1, event="PLANNED", order=("a", "b", "c"), member_count=3
        ),
    ):
        assert made.apply(0.0, command).error is None
    return made


def wave(made: RollingRestarts, *names: str, stamp: int = -1, facts: ClusterConditions = WELL) -> ApplyResult:
    at = made.restarts["r"].version if stamp < 0 else stamp
    return made.apply(
        1.0, StartWave(id="w", restart="r", restart_version=at, gateways=names, conditions=facts)
    )


def step(
    made: RollingRestarts, name: str, what: str, round_: int = -1, facts: ClusterConditions | None = WELL
) -> ApplyResult:
    at = made.restarts["r"].gateways[name].version if round_ < 0 else round_
    return made.apply(
        2.0,
        RecordGatewayEvent(
            id="s",
            restart="r",
            gateway=name,
            gateway_version=at,
            event=what,
            conditions=facts,
            restart_version=made.restarts["r"].version,
        ),
    )


def report(made: RollingRestarts, name: str, what: str, process: str = "p1", round_: int = -1) -> ApplyResult:
    at = made.restarts["r"].gateways[name].version if round_ < 0 else round_
    return made.apply(
        3.0,
        ReportGateway(id="t", restart="r", gateway=name, gateway_version=at, report=what, process=process),
    )


def stands(made: RollingRestarts) -> str:
    return " ".join(one.phase.value for one in made.restarts["r"].gateways.values())


def test_a_roll_takes_each_step_once_and_from_where_it_stands() -> None:
    made = rolling()
    assert wave(made, "a", stamp=1).error is not None  # seen before it was planned
    turned = made.apply(
        1.0, RecordRestartEvent(id="4", restart="r", restart_version=1, event="BLOCKED", cause="old")
    )
    assert turned.error is not None and made.restarts["r"].state is RollState.RUNNING
    assert (
        made.apply(1.0, StartRollingRestart(id="5", restart="other")).error is not None
    )  # one roll at a time
    assert wave(made, "a", "b").error is not None  # more than at once
    assert wave(made, "a").error is None and wave(made, "b").error is not None  # beside the one before
    assert step(made, "a", "ROOMY").error is not None  # it has not said that it is ready
    assert step(made, "b", "WARM").error is not None and step(made, "a", "PAUSED").error is not None
    report(made, "a", "ready", round_=0)
    assert made.restarts["r"].gateways["a"].report is None  # of a round before
    report(made, "a", "ready")
    assert step(made, "a", "ROOMY", round_=0).error is not None
    assert step(made, "a", "ROOMY").error is None and stands(made) == "pausing waiting waiting"
    report(made, "a", "paused")
    assert step(made, "a", "ACT").error is not None  # it has not said that it is empty
    report(made, "a", "back")
    assert stands(made) == "emptying waiting waiting"  # the same process is no later one
    report(made, "a", "empty")
    for wrong in (
        ClusterConditions(1, 0, 0, -1.0, 0.0),
        ClusterConditions(0, -1, 0, -1.0, 0.0),
        ClusterConditions(0, 0, 1, -1.0, 0.0),
        ClusterConditions(0, 0, 0, 1.0, 2.0),
        None,
    ):
        with pytest.raises(InvariantViolation):
            step(made, "a", "ACT", facts=wrong)
    assert step(made, "a", "HOLD").error is not None and step(made, "a", "LOST").error is not None
    assert step(made, "a", "ACT").error is None and stands(made) == "acting waiting waiting"
    again = RollingRestarts(Invariants())
    again.load(msgspec.msgpack.decode(msgspec.msgpack.encode(made.dump())))
    report(again, "a", "back")
    assert stands(again) == "acting waiting waiting"  # and it is known which process that was
    report(again, "a", "back", "p2")
    assert stands(again) == "returning waiting waiting"  # its copies come next
    assert step(again, "a", "LOST").error is not None  # it is waited for
    report(again, "a", "whole", "p2")
    assert stands(again) == "warming waiting waiting" and again.restarts["r"].gateways["a"].drain_count == 1
    assert again.apply(4.0, CancelRollingRestart(id="6", restart="r")).error is None
    assert stands(again) == "warming undone undone"


def counted(wave: tuple[str, ...] = ("a",), **more: Any) -> ClusterConditions:
    made = rolling(at_once=3)
    given: dict[str, Any] = {
        "alive": frozenset({"a/1", "b/1", "c/1", "d/1"}),
        "zones": {"a": "x", "b": "y", "c": "y", "d": "y"},
        "load": {},
        "behind": {},
        "groups": {"g0": ("b/1", "c/1", "d/1")},
        **more,
    }
    view = LeaderView(now=0.0, wall=0.0, me="d/1", lead_since=0.0, timings=Timings(), dead_for_ms={}, **given)
    return observe_conditions(view, made.restarts["r"], wave)


def test_what_a_wave_leaves_is_counted() -> None:
    assert counted(("b",)) == ClusterConditions(0, 0, 0, -1.0, 0.0)
    assert counted(("a",)).emptied_zones == 1  # the only one of its hall
    assert counted(("b", "c")).spare_voters == -1
    assert counted(("b",), alive=frozenset({"a/1", "b/1", "d/1"})).missing_copies == 1
    assert counted(("b",), behind={"g0": ("c/1",)}).missing_copies == 1
    assert counted(("b",), load={"capacity": 100.0, "demand": 20.0, "promised": 5.0}) == ClusterConditions(
        0, 0, 0, 75.0, 25.0
    )


def looked(made: RollingRestarts, wall: float, **more: Any) -> list[Any]:
    given: dict[str, Any] = {
        "alive": frozenset({"a/1", "b/1", "c/1", "d/1"}),
        "behind": {},
        "zones": dict.fromkeys("abcd", "x"),
        "groups": {"g0": ("b/1", "c/1", "d/1")},
        "dead_for_ms": {},
        **more,
    }
    return made.leader_tasks(
        LeaderView(now=wall, wall=wall, me="d/1", lead_since=0.0, timings=Timings(), load={}, **given)
    )


def test_a_leader_takes_no_step_before_its_time() -> None:
    made = rolling(at_once=3)
    first = looked(made, 1.0)[0]
    assert first.gateways == ("a", "b")  # with c a group would be left without its majority
    assert made.apply(1.0, first).error is None
    assert looked(made, 2.0) == []  # one wave at a time
    for name in ("a", "b"):
        report(made, name, "ready")
    ready = 3.0 + GROWTH_MARGIN_MS + made.restarts["r"].poll_interval_ms()
    assert looked(made, ready - 5.0) == []
    assert [one.gateway for one in looked(made, ready + 5.0)] == ["a"]  # the others have grown; one at a time
    for name in ("a", "b"):
        step(made, name, "ROOMY")
        report(made, name, "paused")
        report(made, name, "empty")
        step(made, name, "ACT")
        for what in ("back", "whole"):
            report(made, name, what, "p2")
    assert stands(made) == "warming warming waiting"
    assert looked(made, 50.0) == [] and [one.event for one in looked(made, 54.0)] == ["WARM", "WARM"]
    made = rolling()
    assert wave(made, "b").error is None
    alive = frozenset({"a/1", "c/1", "d/1"})
    assert [one.cause for one in looked(made, 2.0, alive=alive, dead_for_ms={"b/1": 0.0})] == [
        "b is dead while granting"
    ]  # at once; who left in order is not dead
    assert looked(made, 2.0, alive=alive) == []


def test_a_gateway_goes_by_a_fresh_reading_and_by_its_own_process() -> None:
    def read(process: str, at: float) -> RollingRestartAgent:
        rolled = RollingRestartAgent("a", process)
        command = rolled.poll(at, 0.0)[0]
        rolled.answered(
            at + 10.0,
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
        return rolled

    assert read("p1", 0.0).next_actions(MAX_ASSIGNMENT_AGE_MS + 1.0) == []  # what it knows may be over
    assert (
        read("p1", 0.0).next_actions(MAX_ASSIGNMENT_AGE_MS - 1.0) == [DesiredState.PAUSE]
        and read("p2", 0.0).next_actions(1.0) == []
    )
    assert read("p1", 0.0).must_not_lead and not read("p2", 0.0).must_not_lead


# Connections
# -----------------------------------------------------------------------------------------------------------


def limited(most: int = 10) -> ConnectionLimits:
    made = ConnectionLimits(Invariants(), Timings())
    assert (
        made.apply(
            0.0, SetConnectionLimit(id="l", server="s", max_connections=most, idle_timeout_ms=5000.0)
        ).error
        is None
    )
    return made


def keeper(begun: float = 0.0, number: int = 1, alone: bool = True) -> ConnectionLeaseHolder:
    made = ConnectionLeaseHolder(f"a/1#boot.{number}", Timings(), Invariants(), begun, alone)
    made.set_need("s", 4)
    return made


def leased(
    made: ConnectionLeaseHolder, part: ConnectionLimits, asked: float = 0.0, answered: float = 0.0
) -> RequestConnectionLeases:
    command = made.poll(asked, 0.0)[0]
    assert isinstance(command, RequestConnectionLeases)
    made.answered(answered, command, part.apply(0.0, command))
    return command


def test_a_lease_on_connections_counts_from_before_it_was_asked_for() -> None:
    made, life = keeper(), Timings().lease_ms * LEASE_MULTIPLE
    leased(made, limited(), 0.0, 1000.0)
    assert made.lease_valid(life - 1.0, "s") and not made.lease_valid(life, "s")
    assert made.may_open(life - CLOSE_BEFORE_EXPIRY_MS - 1.0, "s") and not made.may_open(
        life - CLOSE_BEFORE_EXPIRY_MS, "s"
    )
    made.opened(1000.0, "s")
    assert made.excess(life - CLOSE_BEFORE_EXPIRY_MS) == [("s", 1)] and not made.excess(
        life - CLOSE_BEFORE_EXPIRY_MS - 1.0
    )


def test_a_lost_holders_connections_wait_for_lease_and_idle_time_by_the_slowest_clock() -> None:
    times = Timings()
    both = times.lease_ms * LEASE_MULTIPLE + 5000.0
    assert limited().expiry_after_ms(5000.0) >= both * (1.0 + times.clock_drift) / (1.0 - times.clock_drift)


def test_what_is_not_known_is_asked_again_as_it_was() -> None:
    made = keeper()
    command = made.poll(0.0, 0.0)[0]
    made.answered(10.0, command, UnknownOutcome("g0", "no answer"))
    made.set_need("s", 9)
    assert made.poll(5000.0, 0.0) == [command]
    made.answered(5000.0, command, limited().apply(0.0, command))
    assert (
        made.servers["s"].lease_expires_ms == Timings().lease_ms * LEASE_MULTIPLE
    )  # from when it was made first


def test_a_part_goes_back_without_the_connections_that_are_open() -> None:
    made, part = keeper(), limited()
    leased(made, part)
    for _ in range(3):
        made.opened(1.0, "s")
    assert not made.empty
    made.set_need("s", 0)
    made.draining = True
    asked = leased(made, part, 4000.0, 4000.0).requests[0]
    assert asked.keep == 3 and part.servers["s"].pool.granted() >= 3.0
    for _ in range(2):
        made.closing("s")
        made.closed("s", already_closing=True)
    made.closing("s")
    made.closed("s")  # its end came by itself, while it was being closed
    assert made.servers["s"].open == made.servers["s"].closing == 0
    assert not made.empty  # it holds a lease yet
    leased(made, part, 8000.0, 8000.0)
    assert made.empty and part.servers["s"].pool.granted() == 0.0


@pytest.mark.parametrize(
    ("row", "may", "over"),
    [
        (
            ["s", LeaseRefusal.LEASE_EXPIRED.value, 0, 0, 0],
            False,
            2,
        ),  # the lease is over: nothing may be open
        (["s", 5, 6, 2, 0], False, 0),  # above its aim it opens no more
        (["s", 5, 6, 1, 0], False, 1),
        (["s", 5, 6, 3, 0], True, 0),
    ],
)
def test_a_gateway_goes_by_its_aim_and_by_the_end_of_its_lease(row: list[Any], may: bool, over: int) -> None:
    made, part = keeper(), limited()
    leased(made, part)
    for _ in range(2):
        made.opened(1.0, "s")
    command = made.poll(4000.0, 0.0)[0]
    made.answered(4000.0, command, ApplyResult({"parts": [row], "old": []}))
    assert made.may_open(4001.0, "s") is may and sum(count for _, count in made.excess(4001.0)) == over


def test_a_process_vouches_for_the_one_before_alone_and_not_at_once() -> None:
    part = limited()
    leased(keeper(), part)
    for sole, at, ends in (
        (True, KERNEL_RESET_MS - 1.0, False),
        (True, KERNEL_RESET_MS, True),
        (False, 2.0 * KERNEL_RESET_MS, False),
    ):
        made = keeper(0.0, 2, sole)
        leased(made, again(part), 1.0, 2.0)
        made.set_need("s", 0)
        assert any(isinstance(one, ReleaseConnectionLeases) for one in made.poll(at, 0.0)) is ends
    elsewhere = ReleaseConnectionLeases(
        id="e",
        holder="a/1#boot.1",
        bucket=server_bucket("s"),
        leases=(LeaseReference("s", 1),),
        proof="reset",
        reported_by="a/1#reboot.2",
    )
    assert part.apply(0.0, elsewhere).error is not None and part.servers["s"].pool.granted() > 0.0


def again(part: ConnectionLimits) -> ConnectionLimits:
    """From its snapshot."""
    made = ConnectionLimits(Invariants(), Timings())
    made.load(msgspec.msgpack.decode(msgspec.msgpack.encode(part.dump())))
    assert made.dump() == part.dump()
    return made


def test_limits_change_without_forgetting_what_is_granted() -> None:
    part = limited()
    leased(keeper(), part)
    granted = part.servers["s"].pool.granted()
    assert (
        part.apply(
            0.0, SetConnectionLimit(id="m", server="s", max_connections=1, idle_timeout_ms=5000.0)
        ).error
        is None
    )
    assert part.servers["s"].pool.granted() == granted > 1.0
    other = ConnectionLeaseHolder("b/1#x.1", Timings(), Invariants(), 0.0)
    other.set_need("s", 4)
    leased(other, part)
    assert part.servers["s"].pool.granted() == granted
    part.apply(0.0, RemoveConnectionLimit(id="u", server="s"))
    assert part.servers["s"].pool.granted() == granted  # it is known until all of it has come back


# Contracts
# -------------------------------------------------------------------------------------------------------------

TERMS: dict[str, Any] = {"tenant": "t", "customers": [1], "rate": 50.0, "burst": 10.0}
SPAN = Interval(20_000.0, 60_000.0)


def admitted(units: float = 100.0) -> ContractRegistry:
    """60 units a second over SPAN, as version 1."""
    made = ContractRegistry(Timings(), Invariants())
    asked = msgspec.convert({**TERMS, "rate": 60.0, "windows": [Window(*SPAN)]}, ContractTerms)
    for command in (
        SetCapacity(id="1", capacity=units, reserve_fraction=0.0, unreserved_rate=0.0),
        ProposeContract(id="2", contract="c", terms=asked),
    ):
        assert made.apply(0.0, command).error is None
    return made


def test_a_version_goes_when_the_next_one_is_told_and_by_no_word_of_an_older() -> None:
    made = admitted()
    held = made.contracts["c"]
    changed = msgspec.structs.replace(held.newest.terms, rate=30.0)
    assert (
        made.apply(1.0, ChangeContract(id="3", contract="c", terms=changed, effective_from_ms=30_000.0)).error
        is None
    )
    made.apply(2.0, VersionDrained(id="4", contract="c", version=1))
    assert (held.confirmed_version, [one.number for one in held.versions]) == (1, [1, 2])
    assert made.peak_reserved_rate(0.0, 1e6) == 60.0  # the dearer of the two counts
    made.apply(3.0, VersionDrained(id="5", contract="c", version=2))
    assert (held.confirmed_version, [one.number for one in held.versions]) == (2, [2])


def test_a_contract_is_armed_when_its_group_holds_it() -> None:
    made = admitted()
    made.apply(15_000.0, AdvanceContracts(id="p"))
    assert made.contracts["c"].state.value == "admitted"
    made.apply(15_001.0, VersionDrained(id="3", contract="c", version=1))
    assert made.contracts["c"].state.value == "armed"


def test_what_was_promised_before_capacity_fell_stands_behind_a_snapshot() -> None:
    made = admitted()
    assert (
        made.apply(1.0, SetCapacity(id="3", capacity=30.0, reserve_fraction=0.0, unreserved_rate=5.0)).error
        is None
    )
    other = ContractRegistry(Timings(), Invariants())
    other.load(msgspec.msgpack.decode(msgspec.msgpack.encode(made.dump())))
    assert (
        other.apply(2.0, VersionDrained(id="4", contract="c", version=1)).error is None
    )  # and no rule is broken
    assert other.available() == made.available() == 25.0


def opened_floors(*versions: tuple[int, float, float], at_ms: float = 0.0) -> GuaranteedRates:
    """Versions by number, rate, and the moment from which they hold."""
    made = GuaranteedRates(Timings(), Invariants())
    for number, rate, holds_from in versions:
        made.apply(
            at_ms,
            OpenContract(
                id=f"o{number}",
                tenant="t",
                contract="c",
                version=number,
                rate=rate,
                burst=10.0,
                intervals=(SPAN,),
                effective_from_ms=holds_from,
            ),
        )
    return made


def lease(
    made: GuaranteedRates, at_ms: float, order: int, number: int, wish: float, keep: float = 0.0
) -> Any:
    result = made.apply(
        at_ms,
        RequestLease(
            id=f"l{order}",
            tenant="t",
            contract="c",
            holder="a/1",
            lease_number=number,
            kept_rate=keep,
            wanted_rate=wish,
            returned_units=0.0,
            process="p",
            sequence=order,
        ),
    )
    assert result.error is None, result.error
    return result.value


def words(made: GuaranteedRates, now: float, wall: float) -> list[str]:
    view = LeaderView(now, wall, "a/1", 0.0, Timings(), frozenset(), {}, {}, {}, {}, {})
    return [one.command_name() for one in made.leader_tasks(view)]


def test_an_older_version_that_comes_late_changes_nothing_and_none_is_forgotten_before_its_window() -> None:
    made = opened_floors((1, 60.0, 0.0), (3, 30.0, 25_000.0), (2, 90.0, 25_000.0))
    coming = made.contracts["c"].pending
    assert made.contracts["c"].version == 1 and coming is not None and coming.version == 3
    made = opened_floors((2, 60.0, 0.0), (1, 90.0, 0.0))
    assert (made.contracts["c"].version, made.contracts["c"].rate) == (2, 60.0)
    made.apply(
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
    assert list(made.contracts) == ["c", "d"]


def test_parts_are_granted_within_a_window_and_end_behind_the_margin() -> None:
    made = opened_floors((1, 60.0, 0.0))
    assert lease(made, SPAN[0] - GRANT_AHEAD_MS - 1.0, 1, 0, 60.0)["part"] == 0.0
    made = opened_floors((1, 60.0, 0.0))
    granted = lease(made, SPAN[0] - 1.0, 1, 0, 60.0)
    assert granted["part"] == 60.0 and granted["from_ms"] == SPAN[0]
    made.seen(1000.0)
    times = Timings()
    margin = times.lease_ms * (1.0 + times.clock_drift) / (1.0 - times.clock_drift)
    assert "EndLease" not in words(made, 1000.0 + margin - 1.0, SPAN[0])
    assert "EndLease" in words(made, 1000.0 + margin, SPAN[0])
    assert lease(made, SPAN[1], 2, 1, 60.0)["part"] == 0.0


@pytest.mark.parametrize("rate", [30.0, 90.0])
def test_a_version_is_told_when_no_lease_of_the_one_before_is_left_behind_a_snapshot_as_well(
    rate: float,
) -> None:
    made = opened_floors((1, 60.0, 0.0))
    granted = lease(made, 20_000.0, 1, 0, 60.0)
    made.apply(
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
    renewed = lease(made, 20_002.0, 2, granted["number"], 60.0, 60.0)
    assert (renewed["until_ms"], renewed["then"]) == (25_000.0, min(rate / 60.0, 1.0))  # it shrinks by itself
    made.apply(25_000.0, SwitchVersion(id="turn", tenant="t", contract="c"))
    other = GuaranteedRates(Timings(), Invariants())
    other.load(msgspec.msgpack.decode(msgspec.msgpack.encode(made.dump())))
    for one in (made, other):
        assert one.contracts["c"].version == 2 and "Told" not in words(one, 10.0, 25_000.0)
        assert (
            lease(one, 25_001.0, 2, granted["number"], 60.0, 60.0) == renewed
        )  # a repeat is answered as it was
        lease(one, 25_002.0, 3, renewed["number"], rate, min(rate, 60.0))
        assert "Told" in words(one, 20.0, 25_002.0)


def test_what_a_lost_holder_had_is_gone() -> None:
    whole, rules = LeasePool(10.0, 8.0), Invariants()
    granted = whole.request(LeaseRequest("a", 0, 0.0, 10.0, 0.0, 0.0, 8.0), rules)
    assert not isinstance(granted, InvalidCall | LeaseExpired) and granted.units > 0.0
    free = whole.free_units
    whole.release("a", granted.number)
    assert whole.free_units == free


def test_two_changes_never_overlap_and_a_tenants_contracts_are_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(admission, "MAX_CONTRACTS_PER_TENANT", 1)
    made = admitted()
    terms = made.contracts["c"].newest.terms
    first, second = (msgspec.structs.replace(terms, rate=rate) for rate in (30.0, 20.0))
    assert (
        made.apply(1.0, ChangeContract(id="3", contract="c", terms=first, effective_from_ms=30_000.0)).error
        is None
    )
    again = made.apply(2.0, ChangeContract(id="4", contract="c", terms=second, effective_from_ms=30_000.0))
    assert isinstance(again.error, WrongState)
    more = made.apply(
        3.0, ProposeContract(id="5", contract="d", terms=msgspec.structs.replace(terms, rate=1.0))
    )
    assert isinstance(more.error, Overloaded)


class Gate:
    """One gateway's floor with both groups beside it; customer 1 asks."""

    def __init__(self, hall: str = "", of: str = "") -> None:
        self.floor, self.floors = (
            ReservationClient("a/1", "p", Timings(), hall),
            opened_floors((1, 60.0, 0.0)),
        )
        self.contracts = ContractRegistry(Timings(), Invariants())
        asked = msgspec.convert(
            {**TERMS, "rate": 60.0, "hall": of, "windows": [Window(*SPAN)]}, ContractTerms
        )
        for command in (
            SetCapacity(id="1", capacity=100.0, reserve_fraction=0.0, unreserved_rate=0.0),
            ProposeContract(id="2", contract="c", terms=asked),
            VersionDrained(id="3", contract="c", version=1),
        ):
            assert self.contracts.apply(0.0, command).error is None

    def turn(self, now: float, lost: type[Command] | None = None) -> list[Command]:
        """What it asks for is answered at once; of one kind nobody knows."""
        asked = self.floor.poll(now, now)
        for one in asked:
            if lost is not None and isinstance(one, lost):
                self.floor.answered(now, one, UnknownOutcome("g0", "no answer"))
            elif one.key():
                self.floor.answered(now, one, self.floors.apply(now, one))
            else:
                self.floor.answered(
                    now, one, self.contracts.query(one) if one.reads else self.contracts.apply(now, one)
                )
        return asked

    def ask(self, begin: float, end: float) -> int:
        """A request each 10 ms, which waits for its turn; gives how many were drawn."""
        drawn, now = 0, begin
        while now < end:
            if self.floor.take(now, 1, 0.5) is not None:
                drawn += 1
            else:
                self.floor.wait(now, 1, 0.5, None)
            self.turn(now)
            drawn += sum(reserved is not None for _, reserved in self.floor.finished_waits(now))
            now += 10.0
        return drawn


def test_a_gateway_uses_nothing_outside_of_its_hall_its_window_and_its_lease() -> None:
    assert (
        Gate("x", "y").ask(SPAN[0], SPAN[0] + 500.0) == 0
        and Gate("x", "x").ask(SPAN[0], SPAN[0] + 500.0) > 20
    )
    made = Gate()
    assert made.ask(SPAN[0] - 900.0, SPAN[0]) == 0
    assert made.ask(SPAN[0], SPAN[0] + 1000.0) > 80
    late = SPAN[1] - 500.0
    assert made.ask(late, SPAN[1]) > 40 and made.floor.held_rate(SPAN[1] - 1.0) > 30.0
    assert made.floor.held_rate(SPAN[1]) == 0.0 and made.floor.take(SPAN[1], 1, 0.5) is None


def test_before_a_window_a_bucket_does_not_fill() -> None:
    made = Gate()
    made.turn(SPAN[0] - 900.0)
    made.turn(SPAN[0] - 890.0)
    stake = made.floor.leases["c"]
    assert stake.share > 0.0  # it could
    stake.depth, stake.level = 5.0, 0.0
    stake.fill(SPAN[0] - 1.0, SPAN[0] - 1.0)
    assert stake.level == 0.0
    stake.fill(SPAN[0] + 10.0, SPAN[0] + 10.0)
    assert stake.level > 0.0


def test_what_nobody_knows_is_asked_again_and_what_is_over_is_over() -> None:
    made, begin = Gate(), SPAN[0] + 1000.0
    assert made.ask(begin, begin + 500.0) > 20
    first = next(
        one
        for at in range(100)
        for one in made.turn(begin + 500.0 + 10.0 * at, RequestLease)
        if isinstance(one, RequestLease)
    )
    repeats = [
        one
        for at in range(20)
        for one in made.turn(begin + 700.0 + 50.0 * at, RequestLease)
        if isinstance(one, RequestLease)
    ]
    assert repeats and all(one == first for one in repeats)
    made = Gate()
    assert made.ask(begin, begin + 500.0) > 20 and made.floor.held_rate(begin + 500.0) > 0.0
    last = next(
        one
        for at in range(20)
        for one in made.floor.poll(begin + 510.0 + 10.0 * at, begin + 510.0 + 10.0 * at)
        if isinstance(one, RequestLease)
    )
    made.floor.answered(begin + 720.0, last, ApplyResult(error=LeaseExpired("a/1", "it is over")))
    assert made.floor.held_rate(begin + 720.0) == 0.0 and made.floor.take(begin + 720.0, 1, 0.5) is None


def test_a_request_that_has_no_turn_in_time_is_an_ordinary_one() -> None:
    made, begin = Gate(), SPAN[0] + 1000.0
    for at in range(3):
        made.turn(begin + 10.0 * at)
    stake = made.floor.leases["c"]
    stake.share = stake.level = 0.0
    assert made.floor.take(begin + 40.0, 1, 0.5) is None and made.floor.wait(begin + 40.0, 1, 0.5, "token")
    assert made.floor.finished_waits(begin + 41.0 + MAX_WAIT_MS) == [("token", None)]


def test_units_short_are_told_once() -> None:
    made, begin = Gate(), SPAN[0] + 1000.0
    assert made.ask(begin, begin + 200.0) > 5
    reserved = made.floor.take(begin + 300.0, 1, 0.5)
    assert reserved is not None
    made.floor.failed(begin + 300.0, reserved, "load")
    told = [
        one
        for at in range(400)
        for one in made.turn(begin + 300.0 + 10.0 * at)
        if isinstance(one, ReportShortfall)
    ]
    assert [(one.cause, one.units) for one in told] == [("load", 0.5)]


# What stands in the code
# -----------------------------------------------------------------------------------------------


def test_a_customer_of_any_length_ends_no_members_part() -> None:
    """Encoded within `Node.handle`, it ends this member's whole share in the fleet."""
    given = {
        "do": "propose",
        "id": "1",
        "contract": "c",
        "terms": {**TERMS, "customers": [1 << 64], "windows": [{"from_ms": 1, "to_ms": 2}]},
    }
    read = parse_call(json.dumps(given).encode())
    assert isinstance(read, InvalidCall) or (isinstance(read, Command) and encode_command(0.0, read))


def test_a_window_that_recurs_without_end_is_a_bad_call() -> None:
    window = {"from_ms": 0, "to_ms": 1e-300, "every_ms": 1e-300, "until_ms": 1e10}
    given = {"do": "propose", "id": "1", "contract": "c", "terms": {**TERMS, "windows": [window]}}
    assert isinstance(parse_call(msgspec.json.encode(given)), InvalidCall)


def test_a_call_that_is_told_as_refused_is_not_taken_later() -> None:
    """Answers come late, so the call is made again behind 500 ms; meanwhile there is room."""
    world = FleetWorld(Plan(1, 3))
    for name in world.machines:
        world.start(name)
    world.calendar.run(4000.0)
    leader = next(
        one for one in world.machines.values() if one.node is not None and one.node.replicas[FLEET].leading
    )
    asker = next(one for one in world.machines.values() if one is not leader)
    begin = leader.clock.wall(leader.clock.now(world.calendar.now)) + 60_000.0
    terms = msgspec.convert({**TERMS, "windows": [Window(begin, begin + 1000.0)]}, ContractTerms)
    got: list[Any] = []
    world.network.delays[leader.name, asker.name] = 700.0
    world.call(asker.name, ProposeContract(id="1", contract="c", terms=terms), got.append)
    world.calendar.run(world.calendar.now + 200.0)
    world.call(
        leader.name,
        SetCapacity(id="2", capacity=1000.0, reserve_fraction=0.0, unreserved_rate=0.0),
        lambda result: None,
    )
    world.calendar.run(world.calendar.now + 3000.0)
    assert leader.node is not None
    taken = "c" in leader.node.state_machines[FLEET].parts["contracts"].contracts
    refused = isinstance(got[0], ApplyResult) and isinstance(got[0].error, InsufficientCapacity)
    assert not (taken and refused), f"{got[0]}, and the contract is held"


def wide_promise(number: int, id_: str = "") -> key_value.PutValue:
    wide = "\U0001f600"
    return key_value.PutValue(
        id=id_ or f"{number:0128}", name=wide * 120 + f"{number:08}", value=wide * key_value.MAX_VALUE_LENGTH
    )


def wide_batch(number: int) -> unreported_usage.RecordUsage:
    return unreported_usage.RecordUsage(
        id=f"{number:0128}",
        tenant="t",
        recorded_by="a/00000000",
        lines=tuple(
            unreported_usage.UsageLine("\U0001f600" * 60 + f"{at:04}", 1.5, 60_000.0)
            for at in range(unreported_usage.MAX_LINES)
        ),
    )


def narrow_batch(number: int) -> unreported_usage.RecordUsage:
    return unreported_usage.RecordUsage(
        id=f"{number:0128}",
        tenant="t",
        recorded_by="a/00000000",
        lines=tuple(
            unreported_usage.UsageLine(f"{at:064}", 1.5, 60_000.0) for at in range(unreported_usage.MAX_LINES)
        ),
    )


def test_a_group_at_all_its_bounds_fits_into_a_snapshot() -> None:
    """Really filled: names, batches, and answers, each of which is a long value that was there before.  As
    many ids as are kept, of the longest names, come on top; an eighth is left for what hashing gives
    beside these."""
    made, index, refused = state(), 0, 0
    for make, most in ((wide_batch, 1024), (wide_promise, 8192)):
        for number in range(most + 1):
            index += 1
            got = made.apply(0.0, index, encode_command(0.0, make(number)))
            if refused := refused + isinstance(got.error, Overloaded):
                break
        assert refused
    for number in range(2200):
        index += 1
        assert (
            made.apply(0.0, index, encode_command(0.0, wide_promise(number % 100, f"again{number}"))).error
            is None
        )
    assert len(made.dump()) + remembered_answers.MAX_REMEMBERED_IDS * 4 * 128 < MAX_SNAPSHOT_BYTES * 7 / 8


def test_remembered_answers_are_bounded_in_bytes_and_all_replicas_forget_the_same(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A snapshot taken of it, and one of a build that had no such bound, come to the same as the whole
    log."""
    made, taken, older, later = state(), state(), state(), state()

    def call(number: int) -> bytes:
        return encode_command(
            0.0, key_value.PutValue(id=f"p{number}", name="n", value="v" * (300 + 97 * number % 400))
        )

    for number in range(40):
        if number == 20:
            taken.restore(0.0, made.dump())
            later.restore(0.0, older.dump())
            assert later.dump() == made.dump()  # before the next call as well: it could be a repeat
        for one, most in (
            (made, 4096),
            *(((older, 1 << 30),) if number < 20 else ((taken, 4096), (later, 4096))),
        ):
            monkeypatch.setattr(remembered_answers, "MAX_REMEMBERED_ANSWER_BYTES", most)
            one.apply(0.0, number + 1, call(number))
        monkeypatch.setattr(remembered_answers, "MAX_REMEMBERED_ANSWER_BYTES", 4096)
    remembered: list[Any] = made.answers.dump()
    assert sum(len(answer) for _, _, answer in remembered) <= 4096
    assert 4 < len(remembered) < 14 and "p39" in made.answers and taken.dump() == later.dump() == made.dump()


def test_a_batch_that_comes_again_when_its_answer_is_forgotten_keeps_its_claim(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Else it could be claimed, and told to the counter, twice."""
    monkeypatch.setattr(remembered_answers, "MAX_REMEMBERED_IDS", 1)
    made = state()
    made.apply(0.0, 1, encode_command(0.0, narrow_batch(1)))
    claim = unreported_usage.ClaimUsage(id="c", tenant="t", batch=narrow_batch(1).id, reporter="b/1")
    made.apply(0.0, 2, encode_command(0.0, claim))
    assert made.apply(0.0, 3, encode_command(0.0, narrow_batch(1))).value is True
    other = unreported_usage.ClaimUsage(id="d", tenant="t", batch=claim.batch, reporter="c/1")
    assert isinstance(made.apply(0.0, 4, encode_command(0.0, other)).error, WrongState)


def beats(replica: RaftNode, other: RaftNode, first: float, count: int) -> tuple[list[Effect], int]:
    """So many beats of a leader to c/1, and all that the two say to each other at once, while b/1 is
    heard; gives what the leader wants done, and how many appends that came to."""
    out, appends = list[Effect](), 0
    for beat in range(count):
        now = first + 100.0 * beat
        replica.handle(now, MessageReceived("b/1", AppendEntriesReply("g", 5, True, 3, 1)))
        made = replica.handle(now, Tick())
        while made:
            out += made
            to_c = [one.message for one in made if isinstance(one, SendMessage) and one.to == "c/1"]
            appends, made = appends + len(to_c), []
            for message in to_c:
                told = other.handle(now, MessageReceived("a/1", message))
                for one in told + persist_writes(other, now, told):
                    if isinstance(one, SendMessage) and one.to == "a/1":
                        made += replica.handle(now, MessageReceived("c/1", one.message))
    return out, appends


def follower(*terms: int) -> RaftNode:
    saved = PersistedGroup(
        5, "", Snapshot(0, 0, THREE_VOTERS, EMPTY), tuple(entry(at, one) for at, one in enumerate(terms, 1))
    )
    return RaftNode(
        "g", "c/1", saved, RecordingStateMachine(SimulatedGroup(0, 0)), TIMINGS, Random(1), Invariants(), 0.0
    )


def errors(effects: list[Effect]) -> list[str]:
    return [one.event for one in effects if isinstance(one, LogEvent) and one.level == "error"]


def test_a_member_that_lost_what_it_acknowledged_is_told_of_once() -> None:
    """A folder put back from a copy: no promise holds for that, but nobody else could say so.  It is asked
    once a beat, and its refusals do not make appends of their own."""
    replica, _ = leading(5, 1, 1, 1)
    replica.handle(2001.0, MessageReceived("c/1", AppendEntriesReply("g", 5, True, 4, 1)))
    out, appends = beats(replica, follower(1, 1), 2100.0, 9)
    assert errors(out) == ["copy-went-back"] and appends <= 9 + 1
    out, _ = beats(replica, follower(1, 1, 1, 5), 3000.0, 2)  # it has all again, and loses it again
    assert not errors(out) and match(replica, "c/1") == 4
    assert errors(beats(replica, follower(1, 1), 3200.0, 9)[0]) == ["copy-went-back"]


def test_who_refuses_below_what_it_acknowledged_for_a_lost_batch_is_brought_up_to_date() -> None:
    """It has a tail of the same old term, of another leader: what it refuses points before what matches.
    No answer that comes late is told as lost either."""
    replica, _ = leading(5, 1, 1, 1)
    other = follower(1, 1, 1, 1, 1)
    replica.handle(
        2001.0, MessageReceived("c/1", AppendEntriesReply("g", 5, True, 3, 1))
    )  # entry 4 goes out behind it, and is lost
    late = [
        one
        for one in other.handle(2002.0, MessageReceived("a/1", AppendEntries("g", 5, 4, 5, (), 0, 1)))
        if isinstance(one, SendMessage)
    ]
    assert [one.message for one in late] == [AppendEntriesReply("g", 5, False, 1, 1)]
    out, _ = beats(replica, other, 2100.0, 3)
    assert match(replica, "c/1") == 4 and other.last_log_index == 4
    for now in (2500.0, 2501.0, 2502.0):
        out += replica.handle(now, MessageReceived("c/1", late[0].message))
    out += beats(replica, other, 2600.0, 3)[0]
    assert match(replica, "c/1") == 4 and not errors(out)


def test_a_broken_rule_is_told_as_one() -> None:
    """Else an operator is told to see to a disk that has nothing."""
    replica, _ = copy(4, 1)
    replica.handle(1.0, StorageFailure(InvariantBroken("g", "ID_ONCE: planted")))
    assert isinstance(replica.stop_reason, InvariantBroken)


def test_a_lease_ask_that_comes_again_late_takes_no_part() -> None:
    """The holder has given its part back since: nobody uses what it is granted now, and others get nothing
    for 2 s."""
    floors = GuaranteedRates(Timings(), Invariants())
    floors.apply(
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

    def ask(id_: str, holder: str, number: int, wish: float) -> RequestLease:
        return RequestLease(
            id=id_,
            tenant="t",
            contract="c",
            holder=holder,
            lease_number=number,
            kept_rate=0.0,
            wanted_rate=wish,
            returned_units=0.0,
            process="p",
            sequence=int(id_),
        )

    first = ask("1", "a/1", 0, 100.0)
    assert floors.apply(1000.0, first).value["part"] == 100.0
    assert floors.apply(1300.0, ask("2", "a/1", 1, 0.0)).value["number"] == 0
    floors.apply(1600.0, first)
    assert floors.apply(1700.0, ask("3", "b/1", 0, 100.0)).value["part"] == 100.0


@pytest.mark.parametrize(
    ("part", "make", "most"),
    [
        (key_value.KeyValueStore, wide_promise, key_value.MAX_BYTES),
        (unreported_usage.UnreportedUsage, wide_batch, unreported_usage.MAX_UNREPORTED_BYTES),
        (unreported_usage.UnreportedUsage, narrow_batch, unreported_usage.MAX_UNREPORTED_BYTES),
    ],
)
def test_a_full_part_holds_no_more_bytes_than_its_bound(
    part: Any, make: Callable[[int], Any], most: int
) -> None:
    """Otherwise no newcomer can ever take it in, and a lost copy stays lost.  Put back from a snapshot it
    is as full; what is there may become shorter."""
    made, number = part(), 0
    assert make(0).validate() == ""
    while made.apply(0.0, make(number)).error is None:
        number += 1
    other = part()
    other.load(msgspec.msgpack.decode(msgspec.msgpack.encode(made.dump())))
    assert isinstance(other.apply(0.0, make(number)).error, Overloaded)
    size = len(msgspec.msgpack.encode(made.dump()))
    assert 0.8 * most < size <= most
    if part is key_value.KeyValueStore:
        for one in (made, other):
            assert one.apply(0.0, key_value.PutValue(id="s", name=make(0).name, value="")).error is None
            assert one.apply(0.0, make(number)).error is None


@pytest.mark.parametrize(
    ("part", "make", "most"),
    [
        (
            key_value.KeyValueStore,
            lambda number: key_value.PutValue(id="1", name=f"{number:0128}", value="v" * 1024),
            8192,
        ),
        (unreported_usage.UnreportedUsage, narrow_batch, 1024),
    ],
)
def test_what_is_one_byte_a_character_fills_a_part_to_its_number(
    part: Any, make: Callable[[int], Any], most: int
) -> None:
    made = part()
    assert [made.apply(0.0, make(number)).error is None for number in range(most + 1)] == [True] * most + [
        False
    ]


def test_one_wrong_clock_of_three_does_not_carry_the_time_ahead_while_one_is_lost() -> None:
    """Half an hour ahead for good, as a group's time never goes back: windows end before they begin."""
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
