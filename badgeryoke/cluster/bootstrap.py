"""Bootstraps a cluster such that a member that lost its disk is never mistaken for a founder.

Every member starts with an empty store and a random incarnation that is generated with the store.  A member without a
bootstrap record queries the others.  Only the member with the lowest name on the operators' list (the creator) makes a
record, and only when *every* other listed member has answered within the last `ANSWER_VALID_MS` that it has none.
Before a member answers the creator, it stores the id of the creator that it answers (its promise); from then on it
accepts a record that names it only if that id sent or created the record.  So once all members have answered, no
founder accepts an older record, and there is no second bootstrap while at least one founder still has its disk.

A record takes effect once it is stored, at its creator as at all others.  A member that the record names with its
present incarnation is a founder; any other member is a newcomer and is added through the log.

Assumptions: the list is the same on all machines; only one process runs under each name; a message to a member id is
delivered to that id or not at all.  A bootstrap does not complete while a listed member is down; no member
acknowledges any write before the bootstrap.
"""

from __future__ import annotations

import math
from random import Random
from typing import NamedTuple

import msgspec

from badgeryoke.cluster.bootstrap_record import MAX_MEMBERS, BootstrapRecord, decode_record
from badgeryoke.cluster.errors import BadFrame, ClusterError, ClusterMismatch
from badgeryoke.cluster.events import (
    HardState,
    LogEvent,
    MessageReceived,
    PersistedGroup,
    PersistRecords,
    RecordsPersisted,
    SendMessage,
    Snapshot,
    StorageFailure,
    Tick,
)
from badgeryoke.cluster.messages import (
    Announce,
    ClusterFounded,
    GroupConfiguration,
    IdentityQuery,
    MemberId,
    member_name,
)
from badgeryoke.cluster.node_setup import BOOTSTRAP_GROUP, NodeSetup

MIN_QUERY_INTERVAL_MS = 200.0  # initial interval between two rounds of queries
MAX_QUERY_INTERVAL_MS = 2000.0
QUERY_BACKOFF_FACTOR = 1.5  # multiplies the interval after each round
MIN_QUERY_JITTER, QUERY_JITTER_SPAN = 0.75, 0.5  # the interval is multiplied by 0.75 to 1.25
ANSWER_VALID_MS = 6000.0  # how long an answer that there is no record stays valid
MAX_OTHERS_QUERIED = 3  # members that a non-creator queries in a round, in addition to the creator
BOOTSTRAP_ID_BITS = 64

Effects = list[SendMessage | PersistRecords | LogEvent]


class _NoRecordAnswer(NamedTuple):
    """A member's answer that it has no record: when it arrived (ms, clock of `now`), and from which id."""

    received_at: float
    member_id: MemberId


class _PendingRecord(NamedTuple):
    """A record that is being written to stable storage, and the sequence number of the write."""

    seq: int
    record: BootstrapRecord


class Bootstrap:
    """Obtains or creates the bootstrap record on one member.

    `due`: when the next Tick is needed at the latest (ms, clock of `now`); infinite once the record is stored.
    """

    def __init__(self, setup: NodeSetup, saved: PersistedGroup, rng: Random, now: float) -> None:
        self.record: BootstrapRecord | None = None  # set once it is stored
        self.error: ClusterError | None = None  # set if the bootstrap failed for good
        self._setup, self._rng = setup, rng
        self._zones = {member.name: member.zone for member in setup.members}
        self._zone = self._zones.get(setup.member_name, "")
        self._others = sorted(name for name in self._zones if name != setup.member_name)
        self._creator_name = min([*self._others, setup.member_name])
        self._no_record: dict[str, _NoRecordAnswer] = {}  # by name
        # The creator's id that this member promised itself to, stored as a vote, and the number of such promises,
        # stored as the term.
        self._promised_to, self._promise_count = saved.voted_for, saved.current_term
        self._past_creators: dict[MemberId, None] = {}  # earlier ids of the creator; they get no answer
        # Promises that are being written, by sequence number; the query is answered once the promise is on disk.
        self._unstored_promises: dict[int, MemberId] = {}
        self._pending: _PendingRecord | None = None
        self._last_seq, self._query_interval_ms = 0, MIN_QUERY_INTERVAL_MS
        self.due = now + rng.random() * MIN_QUERY_INTERVAL_MS
        if saved.snapshot is not None:
            self._restore(saved.snapshot.body)

    @property
    def is_founder(self) -> bool:
        """Whether the record names this member with its present incarnation."""
        return self.record is not None and self.record.names_member(self._setup.member_id)

    def handle(
        self, now: float, event: Tick | MessageReceived | RecordsPersisted | StorageFailure
    ) -> Effects:
        """Handle an event; messages and completed writes that do not concern the bootstrap are ignored."""
        effects: Effects = []
        match event:
            case MessageReceived(sender=sender, message=message):
                self._receive(now, sender, message, effects)
            case RecordsPersisted(group=group, sequence=seq) if group == BOOTSTRAP_GROUP:
                self._on_persisted(seq, effects)
            case StorageFailure(error=error):
                self.error, self.due = error, math.inf
            case _:
                pass
        if now >= self.due and self.record is None:
            self._begin_round(now, effects)
        return effects

    def _restore(self, body: bytes) -> None:
        record = decode_record(body)
        if record is None:
            self.error = BadFrame(self._setup.member_name, "the stored founding record cannot be read")
        elif record.cluster_name != self._setup.cluster_name:
            detail = f"the folder belongs to it, not to {self._setup.cluster_name!r}"
            self.error = ClusterMismatch(record.cluster_name, detail)
        else:
            self.record = record
        self.due = math.inf

    # Queries

    def _begin_round(self, now: float, effects: Effects) -> None:
        """Create the record if this is the creator and all others have answered; otherwise query the others."""
        self._query_interval_ms = min(self._query_interval_ms * QUERY_BACKOFF_FACTOR, MAX_QUERY_INTERVAL_MS)
        jitter = MIN_QUERY_JITTER + QUERY_JITTER_SPAN * self._rng.random()
        self.due = now + self._query_interval_ms * jitter
        if self.error is not None or self._pending is not None:
            return
        if self._setup.member_name != self._creator_name:
            others = [name for name in self._others if name != self._creator_name]
            sample = self._rng.sample(others, min(MAX_OTHERS_QUERIED, len(others)))
            queried = [self._creator_name, *sample]
        elif self._all_answered(now):
            self._persist_record(self._make_record(), effects)
            return
        else:
            queried = self._others
        effects += [SendMessage(name + "/", IdentityQuery(self._zone)) for name in queried]

    def _all_answered(self, now: float) -> bool:
        """Whether every other member has answered within `ANSWER_VALID_MS` that it has no record."""
        answers = [self._no_record.get(name) for name in self._others]
        return all(answer is not None and now - answer.received_at <= ANSWER_VALID_MS for answer in answers)

    def _make_record(self) -> BootstrapRecord:
        ids = {name: self._no_record[name].member_id for name in self._others}
        ids[self._setup.member_name] = self._setup.member_id
        return BootstrapRecord(
            self._setup.cluster_name,
            f"{self._rng.getrandbits(BOOTSTRAP_ID_BITS):016x}",
            self._setup.member_id,
            tuple((ids[name], self._zones[name]) for name in sorted(ids)),
            self._setup.group_count,
            self._setup.replication_factor,
        )

    def _persist_record(self, record: BootstrapRecord, effects: Effects) -> None:
        """Store the record as a snapshot; it takes effect when `RecordsPersisted` reports the write."""
        self._last_seq += 1
        self._pending = _PendingRecord(self._last_seq, record)
        config = GroupConfiguration(tuple(founder for founder, _ in record.members))
        snapshot = Snapshot(1, 1, config, msgspec.msgpack.encode(record))
        effects.append(PersistRecords(BOOTSTRAP_GROUP, self._last_seq, (snapshot,)))

    def _on_persisted(self, seq: int, effects: Effects) -> None:
        promised_to = self._unstored_promises.pop(seq, None)
        has_no_record = self._pending is None and self.record is None
        if promised_to is not None and promised_to == self._promised_to and has_no_record:
            effects.append(SendMessage(promised_to, Announce(self._zone, b"")))
        if self._pending is not None and self._pending.seq == seq:
            self._adopt(self._pending.record, effects)

    def _adopt(self, record: BootstrapRecord, effects: Effects) -> None:
        """Adopt the stored record; its creator sends it once, and members that miss that message query for it."""
        self.record, self._pending, self.due = record, None, math.inf
        self._no_record.clear()
        is_creator = record.created_by == self._setup.member_id
        name = "fleet_founded" if is_creator else "fleet_joined"
        fields = {"founding": record.bootstrap_id, "founder": self.is_founder}
        effects.append(LogEvent("info", name, fields))
        if is_creator:
            message = ClusterFounded(msgspec.msgpack.encode(record))
            effects += [
                SendMessage(founder, message)
                for founder, _ in record.members
                if founder != self._setup.member_id
            ]

    # Answers

    def _receive(self, now: float, sender: MemberId, message: object, effects: Effects) -> None:
        name = member_name(sender)
        if name not in self._zones or name == self._setup.member_name:
            return
        match message:
            case IdentityQuery():
                self._answer(sender, effects)
            case Announce(bootstrap_record=b""):
                if self.record is None and self._pending is None:
                    self._no_record[name] = _NoRecordAnswer(now, sender)
            case Announce(bootstrap_record=body) | ClusterFounded(bootstrap_record=body):
                self._receive_record(sender, body, effects)
            case _:
                pass

    def _answer(self, sender: MemberId, effects: Effects) -> None:
        """Answer a query; a query from the creator is answered only once the promise to it is on disk."""
        if self.record is not None:
            answer = Announce(self._zone, msgspec.msgpack.encode(self.record))
            effects.append(SendMessage(sender, answer))
            return
        if self._pending is not None or self.error is not None:
            return  # "no record" may be false soon, and a record not yet stored may be lost: the sender retries
        is_creator = member_name(sender) == self._creator_name
        is_promised = sender == self._promised_to and sender not in self._unstored_promises.values()
        if not is_creator or is_promised:
            effects.append(SendMessage(sender, Announce(self._zone, b"")))
        elif sender != self._promised_to and sender not in self._past_creators:
            self._promise(sender, effects)

    def _promise(self, creator: MemberId, effects: Effects) -> None:
        """Promise to accept a record that names this member only if this id sent or created it."""
        if len(self._past_creators) >= MAX_MEMBERS:
            return
        if self._promised_to:
            self._past_creators[self._promised_to] = None
        self._last_seq += 1
        self._promise_count += 1
        self._promised_to, self._unstored_promises = creator, {self._last_seq: creator}
        state = HardState(self._promise_count, creator)
        effects.append(PersistRecords(BOOTSTRAP_GROUP, self._last_seq, (state,)))

    def _receive_record(self, sender: MemberId, body: bytes, effects: Effects) -> None:
        """Handle a record sent by its creator or by any member that has it."""
        record = decode_record(body)
        if record is None:
            effects.append(_error_event(BadFrame(sender, "a founding record that cannot be read")))
        elif not self._is_of_this_cluster(record):
            detail = f"it belongs to {record.cluster_name!r}, founding {record.bootstrap_id}"
            effects.append(_error_event(ClusterMismatch(sender, detail)))
        elif self._wants_record() and not self._breaks_promise(sender, record):
            self._persist_record(record, effects)

    def _wants_record(self) -> bool:
        return self.record is None and self._pending is None and self.error is None

    def _is_of_this_cluster(self, record: BootstrapRecord) -> bool:
        expected = self.record or record
        return (
            record.cluster_name == self._setup.cluster_name and expected.bootstrap_id == record.bootstrap_id
        )

    def _breaks_promise(self, sender: MemberId, record: BootstrapRecord) -> bool:
        """Whether the record is older than the promise to a later creator, and so may have been superseded."""
        return (
            record.names_member(self._setup.member_id)
            and bool(self._promised_to)
            and self._promised_to not in (sender, record.created_by)
        )


def _error_event(error: ClusterError) -> LogEvent:
    fields = {"error": error.code, "whom": error.subject, "what": error.detail}
    return LogEvent("error", "fleet_founding", fields)
