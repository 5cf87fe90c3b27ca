"""The state of one Raft replica, and the types that its parts share.

`RaftState` holds every field of the replica.  The modules beside it (`election`, `log_replication`,
`follower_log`, `snapshot_transfer`, `membership_change`, `leadership_transfer`, `read_index`, `persistence`)
each add the methods of one part of the algorithm, and `node.RaftNode` combines them.  A method of one part that
another part calls is declared here as an abstract method.

Names follow the Raft paper (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm
(Extended Version)", 2014, figure 2).  Times are in milliseconds on the caller's monotonic clock.
"""

from __future__ import annotations

import math
import random
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable
from typing import Any, TypeVar

from badgeryoke.cluster.errors import ClusterError, InvariantBroken, NoLeader, Overloaded
from badgeryoke.cluster.events import (
    Effect,
    LogEvent,
    OperationCompleted,
    PersistedGroup,
    Record,
    Snapshot,
)
from badgeryoke.cluster.invariants import Invariants, Rule
from badgeryoke.cluster.messages import (
    EntryKind,
    GroupConfiguration,
    MemberId,
)
from badgeryoke.cluster.raft.log import RaftLog
from badgeryoke.cluster.raft.state_types import (
    FollowerProgress,
    IncomingSnapshot,
    OpenWrite,
    PendingRead,
    PendingTransfer,
    ReplicatedStateMachine,
    Role,
    WithheldMessage,
)
from badgeryoke.cluster.timings import Timings

MAX_OPEN_WRITES = 1024  # unconfirmed writes to stable storage, at which a leader rejects operations

Number = TypeVar("Number", int, float)


class RaftState(ABC):
    """All fields of a replica, and the helpers that every part of the algorithm uses.

    `due_ms` is the latest time for the next `Tick` (inf: no tick is needed).
    """

    def __init__(
        self,
        group: str,
        member_id: MemberId,
        saved: PersistedGroup,
        state_machine: ReplicatedStateMachine,
        timings: Timings,
        rng: random.Random,
        invariants: Invariants,
        now_ms: float,
        initial_config: GroupConfiguration | None = None,
    ) -> None:
        """`initial_config` is used only if `saved` is empty.

        Raises ValueError if the records in `saved` are inconsistent.
        """
        self.group, self.member_id = group, member_id
        self._state_machine, self._timings, self._rng = state_machine, timings, rng
        self._invariants = invariants
        self._effects: list[Effect] = []
        self.current_term, self.voted_for = saved.current_term, saved.voted_for
        self.role = Role.FOLLOWER
        self.leader_id: MemberId = ""
        self.leading = False  # whether it is the leader and has committed an entry of its own term
        self.leader_since_ms = 0.0
        self.stop_reason: ClusterError | None = None  # why this replica has stopped
        self._records: list[Record] = []  # records for the next write
        self._load_log(now_ms, saved, initial_config)
        self.commit_index = self.last_applied = self._log.base_index
        self._was_member = False  # whether a committed configuration contained this member
        self._note_membership()
        self._init_persistence_state()
        self._init_follower_state(now_ms)
        self._init_leader_state()
        self.due_ms = math.inf
        self._update_due()

    def _load_log(self, now_ms: float, saved: PersistedGroup, initial: GroupConfiguration | None) -> None:
        self._latest_snapshot = saved.snapshot
        if initial is not None and saved == PersistedGroup():
            self._log = RaftLog(0, 0, initial)
            self._latest_snapshot = Snapshot(0, 0, initial, self._state_machine.dump())
            self._records.append(self._latest_snapshot)
            return
        self._log = RaftLog.load(saved)
        if saved.snapshot is not None:
            self._state_machine.restore(now_ms, saved.snapshot.body)

    def _init_persistence_state(self) -> None:
        """What stable storage has confirmed, up to where it still matches the log."""
        self._persisted_index = self._log.last_index
        self._persisted_term, self._persisted_vote = self.current_term, self.voted_for
        self._last_sequence = self._persisted_sequence = 0
        self._open_writes: deque[OpenWrite] = deque()
        self._withheld_messages: deque[WithheldMessage] = deque()

    def _init_follower_state(self, now_ms: float) -> None:
        """The state that is used while this replica is a follower or a candidate."""
        self._leader_heard_ms = -math.inf
        self._leader_commit = math.inf  # as the leader last reported it; infinite before its first message
        self._election_timeout_ms = self._random_election_timeout_ms()
        self._election_deadline_ms = now_ms + self._election_timeout_ms
        self._votes: dict[MemberId, None] = {}  # members that granted their vote, in order
        self._incoming_snapshot: IncomingSnapshot | None = None
        self._confirmed_round = 0  # the latest heartbeat round that this member replied to
        # The latest term with a known leader, and that leader.
        self._latest_leader: tuple[int, MemberId] = (0, "")

    def _init_leader_state(self) -> None:
        """The state that is used while this replica leads."""
        self._followers: dict[MemberId, FollowerProgress] = {}
        self._pending: dict[int, str] = {}  # tokens of proposals and membership changes by log index
        self._round_reads: deque[PendingRead] = deque()
        self._waiting_reads: list[str] = []  # tokens of the reads that wait for the next round
        self._heartbeat_round = 0
        self._next_heartbeat_ms = math.inf
        self._last_heartbeat_ms = -math.inf
        self._first_index_of_term = 0
        self._quorum_until_ms = -math.inf
        self._transfer: PendingTransfer | None = None

    # Queries

    @property
    def config(self) -> GroupConfiguration:
        """The configuration in force, committed or not; empty at a new member that has none yet."""
        return self._log.config or GroupConfiguration(())

    @property
    def config_index(self) -> int:
        """The log index of the configuration in force, which is committed once `commit_index` reaches it."""
        return self._log.config_index

    @property
    def last_log_index(self) -> int:
        """The index of the last log entry."""
        return self._log.last_index

    @property
    def _last_log_term(self) -> int:
        return self._log.term_at(self._log.last_index)

    def _is_member(self, member: MemberId) -> bool:
        return member in self.config.voters or member in self.config.learners

    def _random_election_timeout_ms(self) -> float:
        """Between once and twice `Timings.election_ms` (paper, 5.2)."""
        return self._timings.election_ms * (1.0 + self._rng.random())

    def _reached_by_quorum(self, own_value: Number, value_of: Callable[[FollowerProgress], Number]) -> Number:
        """The greatest value that a majority of the voters has reached, as far as the leader knows."""
        values = (
            own_value if voter == self.member_id else value_of(self._followers[voter])
            for voter in self.config.voters
        )
        return sorted(values, reverse=True)[self.config.majority() - 1]

    # Effects

    # `result` is of the state machine's own type, or a ClusterError.
    def _complete(self, token: str, result: Any) -> None:
        self._effects.append(OperationCompleted(token, result))

    def _log_event(self, level: str, event: str, **fields: Any) -> None:  # see LogEvent.fields
        self._effects.append(
            LogEvent(level, event, {"group": self.group, "term": self.current_term, **fields})
        )

    def _check(self, rule: Rule, holds: bool, facts: Callable[[], str]) -> bool:
        """Check an invariant; if it is broken, this replica stops."""
        if holds or self._invariants.check(rule, False, facts):
            return True
        self._stop(InvariantBroken(self.group, rule.value))
        return False

    def _rejection(self, in_flight: int) -> ClusterError | None:
        """The error with which a new operation is rejected now; `in_flight` counts the open ones of its kind."""
        if self.role is not Role.LEADER:
            detail = f"the leader is {self.leader_id}" if self.leader_id else "no leader is known"
            return NoLeader(self.group, detail)
        if self._transfer is not None:
            return NoLeader(self.group, f"the lead goes to {self._transfer.target}")
        if in_flight >= self._timings.most_in_flight or len(self._open_writes) >= MAX_OPEN_WRITES:
            return Overloaded(self.group, f"{in_flight} are under way")
        return None

    def _note_membership(self) -> None:
        config = None if self._was_member else self._log.config_at(self.commit_index)
        self._was_member = self._was_member or (
            config is not None and self.member_id in config.voters + config.learners
        )

    def _update_due(self) -> None:
        """Set `due_ms` after an event has been handled."""
        if self.stop_reason is not None:
            self.due_ms = math.inf
        elif self.role is Role.LEADER:
            transfer_ms = math.inf if self._transfer is None else self._transfer.deadline_ms
            self.due_ms = min(self._next_heartbeat_ms, transfer_ms)
        elif self.member_id in self.config.voters:
            self.due_ms = self._election_deadline_ms
        else:
            self.due_ms = math.inf

    # Methods of one part of the algorithm that other parts call

    @abstractmethod
    def _stop(self, error: ClusterError) -> None:
        """Stop this replica for good; later operations fail with `error`."""

    @abstractmethod
    def _become_follower(self, now_ms: float, term: int, leader: MemberId = "") -> None:
        """Become a follower in `term`, of `leader` if it is known."""

    @abstractmethod
    def _note_leader(self, term: int, leader: MemberId) -> bool:
        """Record the leader of a term; False if another leader of the same term is already recorded."""

    @abstractmethod
    def _become_leader(self, now_ms: float) -> None:
        """Become the leader of the current term."""

    @abstractmethod
    def _end_leadership(self) -> None:
        """Drop the leader's state and fail the operations in flight."""

    @abstractmethod
    def _append_as_leader(self, kind: EntryKind, body: bytes) -> int:
        """Append an entry of the current term; returns its index."""

    @abstractmethod
    def _send_heartbeat_round(self, now_ms: float) -> None:
        """Start a new heartbeat round."""

    @abstractmethod
    def _replicate_to(
        self, now_ms: float, member: MemberId, progress: FollowerProgress, heartbeat: bool = False
    ) -> None:
        """Send a member the entries or the snapshot chunk that it lacks."""

    @abstractmethod
    def _note_reply(
        self, now_ms: float, sender: MemberId, term: int, heartbeat_round: int
    ) -> FollowerProgress | None:
        """Record a reply and return the progress of its sender; None if the reply is stale or unexpected."""

    @abstractmethod
    def _commit_up_to(self, now_ms: float, index: int) -> None:
        """Advance the commit index and apply the entries up to it."""

    @abstractmethod
    def _track_followers(self, now_ms: float) -> None:
        """Track the progress of every member of the configuration."""

    @abstractmethod
    def _check_single_change(self, before: GroupConfiguration) -> bool:
        """Check that the configuration differs from the one before by at most one voter."""

    @abstractmethod
    def _finish_config_change(self, now_ms: float) -> None:
        """Act on a committed configuration."""

    @abstractmethod
    def _complete_reads(self, now_ms: float) -> None:
        """Complete the reads whose round a majority has confirmed."""

    @abstractmethod
    def _most_up_to_date_voter(self, now_ms: float) -> MemberId:
        """The best successor of this leader; empty if there is none."""

    @abstractmethod
    def _continue_transfer(self, resend: bool = False) -> None:
        """Notify the target of a transfer once it has every entry."""

    @abstractmethod
    def _accept_leader(self, now_ms: float, sender: MemberId, term: int, heartbeat_round: int) -> bool:
        """Whether the sender leads the current term or a later one; if so, this member becomes its follower."""

    @abstractmethod
    def _acknowledge(self, leader: MemberId, match_index: int, heartbeat_round: int) -> None:
        """Acknowledge the entries up to `match_index` once they are persisted."""

    @abstractmethod
    def _send_snapshot_chunk(self, member: MemberId, progress: FollowerProgress) -> None:
        """Send the next chunk of a snapshot."""

    @abstractmethod
    def _compact_log(self) -> None:
        """Take a snapshot of the applied entries and compact the log."""
