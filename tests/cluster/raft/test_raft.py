"""A specification of the Raft implementation: each test states one behaviour of a replica or a group, and replicas
with planted faults show that the checks can fail."""

from __future__ import annotations

import random
from typing import Any, NamedTuple

import msgspec
import pytest

from badgeryoke.cluster.errors import (
    ClusterError,
    InvariantBroken,
    NoLeader,
    Overloaded,
    StorageFailed,
    UnknownOutcome,
    WrongState,
)
from badgeryoke.cluster.events import (
    ChangeMembership,
    MembershipAction,
    MessageReceived,
    OperationCompleted,
    PersistedGroup,
    PersistRecords,
    ProposeCommand,
    ReadIndexRequest,
    Snapshot,
    StorageFailure,
    Tick,
    TransferLeadership,
)
from badgeryoke.cluster.invariants import Invariants, InvariantViolation, Rule
from badgeryoke.cluster.messages import (
    AppendEntries,
    AppendEntriesReply,
    EntryKind,
    GroupConfiguration,
    InstallSnapshotChunk,
    LogEntry,
    MemberId,
    RequestVote,
    RequestVoteReply,
    member_name,
)
from badgeryoke.cluster.raft.log_replication import MAX_COMMAND_BYTES
from badgeryoke.cluster.raft.node import RaftNode
from badgeryoke.cluster.raft.state_types import Role
from tests.support.raft_group import (
    THREE_VOTERS,
    TIMINGS,
    HistoryViolation,
    RecordingStateMachine,
    SimulatedGroup,
    apply_write,
    partition,
    persist_writes,
    replica_of,
    sent_messages,
    single_replica,
)
from tests.support.raft_storm import FaultStorm

# Random faults


@pytest.mark.parametrize("block", range(8), ids="seed-block-{}".format)
def test_no_acknowledged_command_is_lost_under_random_faults(block: int) -> None:
    acknowledged = replaced = compacted = 0
    for seed in range(block * 25, block * 25 + 25):
        storm = FaultStorm(seed)
        try:
            storm.run()
        except AssertionError as error:
            raise AssertionError(f"seed {seed}: {error}") from error
        acknowledged += len(storm.group.acknowledged)
        replaced += sum(not member.endswith("/1") for member in storm.group.processes)
        compacted += sum(
            process.saved.snapshot is not None and process.saved.snapshot.last_included_index > 0
            for process in storm.group.processes.values()
        )
    # The runs must contain enough acknowledged commands, replaced members and compactions.
    assert acknowledged > 25 * 20
    assert replaced > 2
    assert compacted > 50


# Single behaviours


def test_figure_8_entry_of_an_older_term_is_not_committed_by_counting_replicas() -> None:
    """Case (c) of figure 8 in the paper: an entry of term 2 is on a majority, but the leader of term 4 must not commit
    it by counting replicas."""
    persisted = PersistedGroup(
        3,
        "",
        Snapshot(0, 0, THREE_VOTERS, msgspec.msgpack.encode([])),
        (LogEntry(1, 1, EntryKind.COMMAND, b"x"), LogEntry(2, 2, EntryKind.COMMAND, b"y")),
    )
    replica, machine = single_replica(persisted)
    assert sent_messages(replica.handle(replica.due_ms, Tick()), RequestVote)
    effects = replica.handle(2000.0, MessageReceived("b/1", RequestVoteReply("g", 4, True, True)))
    assert sent_messages(persist_writes(replica, 2000.0, effects), RequestVote)
    effects = replica.handle(2000.0, MessageReceived("b/1", RequestVoteReply("g", 4, True, False)))
    assert replica.role is Role.LEADER
    assert replica.last_log_index == 3
    persist_writes(replica, 2000.0, effects)
    replica.handle(2001.0, MessageReceived("b/1", AppendEntriesReply("g", 4, True, 2, 1)))
    assert replica.commit_index == 0
    assert not machine.rows
    replica.handle(2002.0, MessageReceived("b/1", AppendEntriesReply("g", 4, True, 3, 1)))
    assert replica.commit_index == 3
    assert machine.rows == [(1, b"x"), (2, b"y")]


def test_rejoining_member_does_not_disrupt_the_leader() -> None:
    group = SimulatedGroup(1, 3)
    leader = group.wait_for_leader()
    term = replica_of(group, leader.member_id).current_term
    follower = next(member for member in group.processes if member != leader.member_id)
    partition(group, (follower,))
    group.run(10_000.0)
    assert replica_of(group, follower).role is Role.PRE_CANDIDATE
    assert replica_of(group, follower).current_term == term
    group.blocked_links = set()
    group.run(3000.0)
    assert group.leader() is leader
    assert replica_of(group, leader.member_id).current_term == term
    assert replica_of(group, follower).leader_id == leader.member_id


def test_partitioned_leader_steps_down_and_reports_unknown_outcomes() -> None:
    group = SimulatedGroup(2, 3)
    old_leader = group.wait_for_leader()
    partition(group, (old_leader.member_id,))
    assert isinstance(group.call_and_wait(ProposeCommand("p", b"p"), old_leader), UnknownOutcome)
    assert isinstance(group.call_and_wait(ReadIndexRequest("r"), old_leader), NoLeader)
    assert replica_of(group, old_leader.member_id).role is not Role.LEADER
    group.call_and_wait(ProposeCommand("q", b"q"))
    group.blocked_links = set()
    group.run(2000.0)
    group.check_history()
    assert b"p" not in dict(group.committed_commands).values()


def test_leader_resumed_after_a_pause_serves_no_stale_read() -> None:
    group = SimulatedGroup(3, 3)
    old_leader = group.wait_for_leader()
    old_leader.frozen = True
    group.run(700.0)
    group.call_and_wait(ProposeCommand("p", b"p"), group.wait_for_leader(old_leader))
    token = group.call("read", ReadIndexRequest("r"), old_leader)
    group.unfreeze(old_leader)
    assert isinstance(group.answers[token], NoLeader)


def test_members_join_as_learners_and_change_one_at_a_time() -> None:
    group = SimulatedGroup(4, 3)
    for number in range(40):
        group.call_and_wait(ProposeCommand(f"p{number}", f"p{number}".encode()))
    leader, new_member = group.wait_for_leader(), group.add_process("d/1", None)
    replica = replica_of(group, leader.member_id)
    assert not isinstance(group.call_and_wait(ProposeCommand("more", b"more")), ClusterError)
    partition(group, ("d/1",))
    assert not isinstance(
        group.call_and_wait(ChangeMembership("l", MembershipAction.LEARN, "d/1")), ClusterError
    )
    early_promotion = group.call_and_wait(ChangeMembership("p", MembershipAction.PROMOTE, "d/1"))
    assert isinstance(early_promotion, WrongState)
    assert replica.lagging_learners() == ("d/1",)
    group.blocked_links = set()
    chunks = 0

    def drop_every_third_chunk(sender: MemberId, recipient: MemberId, message: Any) -> bool:
        nonlocal chunks
        chunks += isinstance(message, InstallSnapshotChunk)
        return isinstance(message, InstallSnapshotChunk) and chunks % 3 == 0

    group.is_lost = drop_every_third_chunk
    assert group.run(5000.0, lambda: not replica.lagging_learners())
    assert chunks >= 4
    assert replica.config.voters == THREE_VOTERS.voters  # a learner is not a voter
    token = group.call("change", ChangeMembership("one", MembershipAction.PROMOTE, "d/1"), leader)
    assert isinstance(
        group.call_and_wait(ChangeMembership("two", MembershipAction.REMOVE, "a/1"), leader), WrongState
    )
    assert group.run(1000.0, lambda: token in group.answers)
    assert group.answers[token].voters == (*THREE_VOTERS.voters, "d/1")
    assert new_member.state_machine is not None
    group.run(300.0)
    assert new_member.state_machine.rows == leader.state_machine.rows  # type: ignore[union-attr]


def test_uncommitted_configuration_is_rolled_back() -> None:
    group = SimulatedGroup(5, 3)
    old_leader = group.wait_for_leader()
    partition(group, (old_leader.member_id,))
    token = group.call("change", ChangeMembership("c", MembershipAction.LEARN, "d/1"), old_leader)
    assert replica_of(group, old_leader.member_id).config.learners == ("d/1",)
    assert group.run(3000.0, lambda: token in group.answers and group.leader() not in (None, old_leader))
    assert isinstance(group.answers[token], UnknownOutcome)
    group.blocked_links = set()
    group.run(2000.0)
    assert replica_of(group, old_leader.member_id).config == THREE_VOTERS


def test_leadership_transfer_takes_no_election_timeout_and_a_removed_leader_steps_down() -> None:
    group = SimulatedGroup(6, 3)
    old_leader = group.wait_for_leader()
    group.deliver(old_leader, TransferLeadership())
    rejected_token = group.call("propose", ProposeCommand("late", b"late"), old_leader)
    assert isinstance(group.answers[rejected_token], NoLeader)
    assert group.run(100.0, lambda: group.leader() not in (None, old_leader))
    second_leader = group.wait_for_leader()
    assert group.call_and_wait(
        ChangeMembership("x", MembershipAction.REMOVE, second_leader.member_id), second_leader
    ).voters == tuple(voter for voter in THREE_VOTERS.voters if voter != second_leader.member_id)
    assert group.run(100.0, lambda: group.leader() not in (None, second_leader))
    assert replica_of(group, second_leader.member_id).is_removed
    assert replica_of(group, second_leader.member_id).due_ms == float("inf")


def test_leadership_transfer_to_an_unreachable_member_times_out() -> None:
    group = SimulatedGroup(7, 3)
    leader = group.wait_for_leader()
    follower = next(member for member in group.processes if member != leader.member_id)
    partition(group, (follower,))
    group.call_and_wait(ProposeCommand("p", b"p"), leader)
    group.deliver(leader, TransferLeadership(follower))
    group.run(700.0)
    assert not isinstance(group.call_and_wait(ProposeCommand("q", b"q"), leader), ClusterError)


def test_replies_wait_until_their_records_are_persisted() -> None:
    replica, _ = single_replica(PersistedGroup(), THREE_VOTERS)
    effects = replica.handle(5.0, MessageReceived("b/1", RequestVote("g", 1, 0, 0, False)))
    assert not sent_messages(effects, RequestVoteReply)
    second_effects = replica.handle(6.0, MessageReceived("c/1", RequestVote("g", 1, 0, 0, False)))
    assert [vote.vote_granted for vote in sent_messages(second_effects, RequestVoteReply)] == [False]
    assert [
        vote.vote_granted for vote in sent_messages(persist_writes(replica, 7.0, effects), RequestVoteReply)
    ] == [True]
    effects = replica.handle(
        8.0,
        MessageReceived("b/1", AppendEntries("g", 1, 0, 0, (LogEntry(1, 1, EntryKind.COMMAND, b"x"),), 0, 4)),
    )
    assert [(reply.index, reply.heartbeat_round) for reply in sent_messages(effects, AppendEntriesReply)] == [
        (0, 4)
    ]  # only the heartbeat round is confirmed
    assert [
        (reply.success, reply.index)
        for reply in sent_messages(persist_writes(replica, 9.0, effects), AppendEntriesReply)
    ] == [(True, 1)]


def test_storage_failure_stops_the_replica() -> None:
    group = SimulatedGroup(8, 3)
    old_leader = group.wait_for_leader()
    old_leader.hold_writes = True
    group.blocked_links = {(old_leader.member_id, member) for member in group.processes}
    token = group.call("propose", ProposeCommand("p", b"p"), old_leader)
    group.blocked_links = set()
    group.deliver(old_leader, StorageFailure(StorageFailed("disk", "full")))
    assert isinstance(group.answers[token], UnknownOutcome)
    assert isinstance(group.answers[group.call("read", ReadIndexRequest("r"), old_leader)], StorageFailed)
    assert group.run(
        200.0, lambda: group.leader() not in (None, old_leader)
    )  # the stopped leader made another member start an election
    replica = replica_of(group, old_leader.member_id)
    later_request = MessageReceived("b/1", RequestVote("g", 99, 99, 99, False))
    assert replica.handle(group.now_ms, later_request) == []
    assert replica.due_ms == float("inf")


def test_unknown_candidate_is_answered_only_with_a_newer_log() -> None:
    """An entry that is missing here may have made an unknown candidate with a newer log a member."""
    replica, _ = single_replica(PersistedGroup(), THREE_VOTERS)
    assert replica.handle(1.0, MessageReceived("d/1", RequestVote("g", 9, 0, 0, False))) == []
    assert replica.current_term == 0
    effects = replica.handle(2.0, MessageReceived("d/1", RequestVote("g", 9, 3, 2, False)))
    assert replica.current_term == 9
    votes = sent_messages(persist_writes(replica, 2.0, effects), RequestVoteReply)
    assert [vote.vote_granted for vote in votes] == [True]
    write = replica.discard()[-1]
    assert isinstance(write, PersistRecords)
    new_member, _ = single_replica(apply_write(PersistedGroup(), write), THREE_VOTERS)
    assert new_member.voted_for == "d/1"  # the vote is kept after the log is deleted
    assert new_member.config == GroupConfiguration(())
    new_member, _ = single_replica(PersistedGroup())
    assert new_member.handle(1.0, MessageReceived("b/1", RequestVote("g", 9, 3, 2, False))) == []
    assert new_member.due_ms == float("inf")


def test_replica_is_up_to_date_once_it_has_applied_the_leaders_commit_index() -> None:
    """A freshly started replica has applied up to its own commit index, but does not yet have the leader's."""
    persisted = PersistedGroup(
        3,
        "",
        Snapshot(0, 0, THREE_VOTERS, msgspec.msgpack.encode([])),
        (LogEntry(1, 1, EntryKind.COMMAND, b"x"),),
    )
    replica, _ = single_replica(persisted)
    assert replica.last_applied == replica.commit_index
    assert not replica.is_up_to_date
    for index, previous, up_to_date in ((1, 0, False), (2, 1, False), (3, 2, True)):
        append = AppendEntries(
            "g", 3, previous, int(previous > 0), (LogEntry(index, 1, EntryKind.COMMAND, b"x"),), 3, 1
        )
        replica.handle(float(index), MessageReceived("b/1", append))
        assert replica.leader_id == "b/1"
        assert replica.is_up_to_date is up_to_date


def test_vote_of_an_earlier_incarnation_does_not_count() -> None:
    for replica_type in (RaftNode, CountsVotesByName):
        replica = replica_type(
            "g",
            "a/1",
            PersistedGroup(),
            RecordingStateMachine(SimulatedGroup(0, 0)),
            TIMINGS,
            random.Random(1),
            Invariants(),
            0.0,
            THREE_VOTERS,
        )
        persist_writes(replica, 0.0, replica.handle(0.0, Tick()))
        replica.handle(2000.0, Tick())
        vote = MessageReceived("b/0", RequestVoteReply("g", 1, True, True))
        persist_writes(replica, 2000.0, replica.handle(2000.0, vote))
        if replica_type is RaftNode:
            assert replica.role is Role.PRE_CANDIDATE
        else:
            with pytest.raises(InvariantViolation, match="VOTE_ONCE"):
                replica.handle(2000.0, MessageReceived("b/0", RequestVoteReply("g", 1, True, False)))


def test_broken_invariant_stops_the_replica_in_service() -> None:
    invariants = Invariants(strict=False)
    replica = SendsBeforePersisting(
        "g",
        "a/1",
        PersistedGroup(),
        RecordingStateMachine(SimulatedGroup(0, 0)),
        TIMINGS,
        random.Random(1),
        invariants,
        0.0,
        THREE_VOTERS,
    )
    effects = replica.handle(1.0, MessageReceived("b/1", RequestVote("g", 1, 0, 0, False)))
    assert not sent_messages(effects, RequestVoteReply)
    assert [rule for rule, _ in invariants.broken] == [Rule.STORED_FIRST]
    assert isinstance(replica.handle(2.0, ProposeCommand("p", b""))[0].result, InvariantBroken)  # type: ignore[union-attr]
    assert replica.handle(2.0, MessageReceived("b/1", AppendEntries("g", 1, 0, 0, (), 0, 1))) == []


@pytest.mark.parametrize(
    "saved",
    [
        PersistedGroup(1, "", None, (LogEntry(1, 1, EntryKind.COMMAND, b""),)),
        PersistedGroup(
            1, "", Snapshot(3, 1, THREE_VOTERS, b"\x90"), (LogEntry(5, 1, EntryKind.COMMAND, b""),)
        ),
        PersistedGroup(
            1, "", Snapshot(3, 1, THREE_VOTERS, b"\x90"), (LogEntry(4, 2, EntryKind.COMMAND, b""),)
        ),
    ],
    ids=["entries without a snapshot", "gap after the snapshot", "entry newer than the term"],
)
def test_inconsistent_storage_is_rejected(saved: PersistedGroup) -> None:
    with pytest.raises(ValueError):
        single_replica(saved)


def test_operations_beyond_the_limits_are_rejected() -> None:
    group = SimulatedGroup(9, 3)
    leader = group.wait_for_leader()
    for number in range(TIMINGS.most_in_flight + 1):
        group.call("propose", ProposeCommand(f"p{number}", b"p"), leader)
        group.call("read", ReadIndexRequest(f"r{number}"), leader)
    assert isinstance(group.answers[f"p{TIMINGS.most_in_flight}"], Overloaded)
    assert isinstance(group.answers[f"r{TIMINGS.most_in_flight}"], Overloaded)
    assert isinstance(
        group.answers[group.call("propose", ProposeCommand("long", b"x" * (MAX_COMMAND_BYTES + 1)), leader)],
        Overloaded,
    )
    group.committed_commands.clear()
    follower = next(process for process in group.processes.values() if process is not leader)
    assert isinstance(group.answers[group.call("read", ReadIndexRequest("r"), follower)], NoLeader)


# Planted faults: each must be detected within a stated number of seeds


class SendsBeforePersisting(RaftNode):
    """Sends votes, requests for votes and replies before the records that they depend on are persisted."""

    def _send_when_persisted(self, to: MemberId, message: Any) -> None:
        self._send(to, message)


class SendsBeforePersistingUnchecked(SendsBeforePersisting):
    """The same with the replica's own checks disabled, so that only the history check can detect it."""

    def _check(self, rule: Rule, holds: bool, facts: Any) -> bool:
        return True


class CommitsOlderTerm(RaftNode):
    """Commits an entry of an older term by counting replicas."""

    def _is_entry_of_current_term(self, index: int) -> bool:
        return True


class TruncatesCommitted(RaftNode):
    """Truncates committed entries when a late append arrives."""

    def _append_entries(self, entries: tuple[LogEntry, ...]) -> bool:
        if (
            entries
            and self._log.base_index < entries[0].index <= self.commit_index
            and not self._truncate(entries[0].index)
        ):
            return False
        return super()._append_entries(entries)


class ConcurrentChanges(RaftNode):
    """Accepts a membership change while another is in flight, and promotes learners that lag."""

    def _change_rejection(self, change: ChangeMembership) -> ClusterError | None:
        return None


class VotesTwice(RaftNode):
    """Votes for every candidate."""

    def _may_grant_vote(self, candidate: MemberId) -> bool:
        return True


class CountsVotesByName(RaftNode):
    """Counts a vote by the member's name, whatever its incarnation."""

    def _is_eligible_voter(self, member: MemberId) -> bool:
        return member_name(member) in map(member_name, self.config.voters)


class ReadsWithoutRound(RaftNode):
    """Completes a read without a heartbeat round."""

    def _handle_read(self, now_ms: float, token: str) -> None:
        self._effects.append(
            OperationCompleted(token, None if self.role is Role.LEADER else NoLeader(self.group, ""))
        )


class AppliesTwice(RaftNode):
    """Applies its last entry again with each new term."""

    def _become_follower(self, now_ms: float, term: int, leader: MemberId = "") -> None:
        if term > self.current_term and self.last_applied > self._log.base_index:
            self.last_applied -= 1
        super()._become_follower(now_ms, term, leader)


class PlantedFault(NamedTuple):
    """A faulty replica or a fault of the environment, and the violations that must detect it."""

    name: str
    detected_by: tuple[str, ...]  # prefixes of the violation's text
    max_seeds: int
    replica_type: type[RaftNode] = RaftNode
    reuse_member_id: bool = False


PLANTED_FAULTS = (
    PlantedFault("vote sent before it is persisted", ("STORED_FIRST",), 1, SendsBeforePersisting),
    PlantedFault(
        "vote sent before it is persisted, checks off",
        ("two leaders", "two commands", "lost", "stale read"),
        100,
        SendsBeforePersistingUnchecked,
    ),
    PlantedFault("commit by counting an older term", ("OWN_TERM",), 20, CommitsOlderTerm),
    PlantedFault("late append truncates committed entries", ("COMMITTED_STAYS",), 20, TruncatesCommitted),
    PlantedFault("two membership changes at once", ("CONFIG_ONE",), 40, ConcurrentChanges),
    PlantedFault("two votes in a term", ("VOTE_ONCE",), 40, VotesTwice),
    PlantedFault("read without a heartbeat round", ("stale read",), 60, ReadsWithoutRound),
    PlantedFault("entry applied twice", ("applied twice", "APPLIED_ONCE"), 20, AppliesTwice),
    PlantedFault(
        "member id reused after a lost disk",
        ("two leaders", "two commands", "lost", "ONE_LEADER", "COMMITTED_STAYS"),
        100,
        reuse_member_id=True,
    ),
)


@pytest.mark.parametrize("planted_fault", PLANTED_FAULTS, ids=lambda planted_fault: planted_fault.name)
def test_planted_fault_is_detected(planted_fault: PlantedFault) -> None:
    for seed in range(planted_fault.max_seeds):
        try:
            FaultStorm(seed, planted_fault.replica_type, planted_fault.reuse_member_id).run()
        except (InvariantViolation, HistoryViolation) as violation:
            if str(violation).startswith(planted_fault.detected_by):
                return
            raise
        except (AssertionError, IndexError):
            continue  # in this run, the fault has another effect
    pytest.fail(f"not detected in {planted_fault.max_seeds} seeds")
