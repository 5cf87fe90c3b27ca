"""How a fleet is first formed, so that a member that lost its disk can never pass for a founder.

Every member starts with an empty store and an incarnation drawn with it.  Without a founding record it asks
the others. Only the member with the lowest name on the operators' list makes one, and only when *every* other
listed member has answered, within the last `FRESH_MS`, that it has none; each has then put on its own disk
that it answered this Id, and from there on takes a record that names it only from that Id or by its hand.  So
once all have answered none, no older record can come to life again at a founder, and as long as one founder
lives with its disk there is no second founding.

A record counts once it is stored, at its maker as at all others.  Whoever is named in it as it is now (name
and incarnation) is a founder; anybody else is a newcomer and is taken in through the log.

Taken for granted: the list is the same on all machines; one process runs under one name; a message to an Id
reaches that Id or nobody.  Not promised: a founding while a listed member is down (nothing is promised yet by
anybody then).
"""

from __future__ import annotations

import math
from random import Random

import msgspec

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
from badgeryoke.cluster.node_setup import FOUNDING, NodeSetup

MOST_MEMBERS = 1024
MOST_BYTES = 256 * 1024  # of a record
FIRST_ASK_MS, LAST_ASK_MS = (
    200.0,
    2000.0,
)  # between rounds of asking, times 0.75 to 1.25; grows by a half each
FRESH_MS = 6000.0  # an answer counts for so long
ASK_OTHERS = 3  # beside the lowest name, where this one is not it


class BootstrapRecord(msgspec.Struct, frozen=True, array_like=True):
    """A fleet's founding, the same on each member for good."""

    fleet: str
    founding: str  # drawn by its maker; tells two fleets of one name apart
    by: MemberId
    members: tuple[tuple[MemberId, str], ...]  # founders and their halls, by name
    groups: int  # beside the fleet's own
    copies: int


def read(body: bytes) -> BootstrapRecord | None:
    """A record from its bytes; None where they are none."""
    if len(body) > MOST_BYTES:
        return None
    try:
        record = msgspec.msgpack.decode(body, type=BootstrapRecord)
    except (msgspec.MsgspecError, ValueError):  # also: not UTF-8
        return None
    names = {member_name(who) for who, _ in record.members}
    if not 1 <= len(record.members) <= MOST_MEMBERS or len(names) != len(record.members):
        return None
    return record if record.groups >= 1 and record.copies >= 1 else None


class Bootstrap:
    """One member's way to the record.  `due`: when the next Tick has to come; infinite once the record is
    stored."""

    def __init__(self, setup: NodeSetup, saved: PersistedGroup, draw: Random, now: float) -> None:
        self.record: BootstrapRecord | None = None  # once it is stored
        self.error: ClusterError | None = None  # why there is none, where waiting does not help
        self._setup, self._draw, self._saved = setup, draw, saved
        self._halls = {one.name: one.hall for one in setup.members}
        self._others = sorted(name for name in self._halls if name != setup.me)
        self._lowest = min([*self._others, setup.me])
        self._none: dict[str, tuple[float, MemberId]] = {}  # who answered "none", when and as whom
        self._lock, self._locks = saved.voted_for, saved.current_term
        self._past: dict[MemberId, None] = {}  # askers under the lowest name that are over
        self._asked: dict[int, MemberId] = {}  # answers that wait for the lock to be stored
        self._storing: tuple[int, BootstrapRecord] | None = None
        self._seq, self._wait = 0, FIRST_ASK_MS
        self.due = now + draw.random() * FIRST_ASK_MS
        if saved.snapshot is not None:
            self._restore(saved.snapshot.body)

    @property
    def founder(self) -> bool:
        """Whether this member, as it is now, is one of those that the record names."""
        return self.record is not None and self._named(self.record)

    def handle(
        self, now: float, event: Tick | MessageReceived | RecordsPersisted | StorageFailure
    ) -> list[SendMessage | PersistRecords | LogEvent]:
        """Take an event in; only WhoAreYou, IAm, Found and what is stored under FOUNDING concern it."""
        out: list[SendMessage | PersistRecords | LogEvent] = []
        if isinstance(event, MessageReceived):
            self._received(now, event.sender, event.message, out)
        elif isinstance(event, RecordsPersisted) and event.group == FOUNDING:
            self._stored(event.sequence, out)
        elif isinstance(event, StorageFailure):
            self.error, self.due = event.error, math.inf
        if now >= self.due and self.record is None:
            self._round(now, out)
        return out

    def _restore(self, body: bytes) -> None:
        found = read(body)
        if found is None:
            self.error = BadFrame(self._setup.me, "the stored founding record cannot be read")
        elif found.fleet != self._setup.fleet:
            self.error = ClusterMismatch(
                found.fleet, f"the folder belongs to it, not to {self._setup.fleet!r}"
            )
        else:
            self.record = found
        self.due = math.inf

    def _named(self, record: BootstrapRecord) -> bool:
        return any(who == self._setup.id for who, _ in record.members)

    # Asking
    # ----------------------------------------------------------------------------------------------------------

    def _round(self, now: float, out: list[SendMessage | PersistRecords | LogEvent]) -> None:
        self._wait = min(self._wait * 1.5, LAST_ASK_MS)
        self.due = now + self._wait * (0.75 + 0.5 * self._draw.random())
        if self.error is not None or self._storing is not None:
            return
        if self._setup.me == self._lowest:
            if self._make(now, out):
                return
            asked = self._others
        else:
            others = [name for name in self._others if name != self._lowest]
            asked = [self._lowest, *self._draw.sample(others, min(ASK_OTHERS, len(others)))]
        hall = self._halls.get(self._setup.me, "")
        out += [SendMessage(name + "/", IdentityQuery(hall)) for name in asked]

    def _make(self, now: float, out: list[SendMessage | PersistRecords | LogEvent]) -> bool:
        """The record, where all the others have said of late that they have none."""
        if any(now - self._none.get(name, (-math.inf, ""))[0] > FRESH_MS for name in self._others):
            return False
        ids = {self._setup.me: self._setup.id, **{name: self._none[name][1] for name in self._others}}
        record = BootstrapRecord(
            self._setup.fleet,
            f"{self._draw.getrandbits(64):016x}",
            self._setup.id,
            tuple((ids[name], self._halls[name]) for name in sorted(ids)),
            self._setup.groups,
            self._setup.copies,
        )
        self._take(record, out)
        return True

    def _take(self, record: BootstrapRecord, out: list[SendMessage | PersistRecords | LogEvent]) -> None:
        """Stored first; it counts when that has come back."""
        self._seq += 1
        self._storing = self._seq, record
        config = GroupConfiguration(tuple(who for who, _ in record.members))
        out.append(
            PersistRecords(FOUNDING, self._seq, (Snapshot(1, 1, config, msgspec.msgpack.encode(record)),))
        )

    def _stored(self, seq: int, out: list[SendMessage | PersistRecords | LogEvent]) -> None:
        asker = self._asked.pop(seq, None)
        if asker is not None and asker == self._lock and self._storing is None and self.record is None:
            out.append(SendMessage(asker, Announce(self._halls.get(self._setup.me, ""), b"")))
        if self._storing is None or self._storing[0] != seq:
            return
        self.record, self._storing, self.due = self._storing[1], None, math.inf
        self._none.clear()
        out.append(
            LogEvent(
                "info",
                "fleet_founded" if self.record.by == self._setup.id else "fleet_joined",
                {"founding": self.record.founding, "founder": self.founder},
            )
        )
        if self.record.by == self._setup.id:  # told once; whom it does not reach asks
            body = msgspec.msgpack.encode(self.record)
            out += [
                SendMessage(who, ClusterFounded(body))
                for who, _ in self.record.members
                if who != self._setup.id
            ]

    # Answering
    # -------------------------------------------------------------------------------------------------------

    def _received(
        self,
        now: float,
        sender: MemberId,
        message: object,
        out: list[SendMessage | PersistRecords | LogEvent],
    ) -> None:
        name = member_name(sender)
        if name not in self._halls or name == self._setup.me:
            return
        if isinstance(message, IdentityQuery):
            self._answer(sender, out)
        elif isinstance(message, (Announce, ClusterFounded)):
            if isinstance(message, Announce) and not message.bootstrap_record:
                if self.record is None and self._storing is None:
                    self._none[name] = now, sender
                return
            self._heard(sender, message.bootstrap_record, out)

    def _answer(self, sender: MemberId, out: list[SendMessage | PersistRecords | LogEvent]) -> None:
        hall = self._halls.get(self._setup.me, "")
        if self.record is not None:
            out.append(SendMessage(sender, Announce(hall, msgspec.msgpack.encode(self.record))))
        elif self._storing is not None or self.error is not None:
            return  # neither "none" nor a record that may not survive: it asks again
        elif member_name(sender) != self._lowest or (
            sender == self._lock and sender not in self._asked.values()
        ):
            out.append(SendMessage(sender, Announce(hall, b"")))
        elif sender != self._lock and sender not in self._past and len(self._past) < MOST_MEMBERS:
            if self._lock:
                self._past[self._lock] = None
            self._seq += 1
            self._lock, self._locks, self._asked = sender, self._locks + 1, {self._seq: sender}
            out.append(PersistRecords(FOUNDING, self._seq, (HardState(self._locks, sender),)))

    def _heard(
        self, sender: MemberId, body: bytes, out: list[SendMessage | PersistRecords | LogEvent]
    ) -> None:
        """A record, from its maker or from anybody who has it."""
        record = read(body)
        if record is None:
            out.append(_say(BadFrame(sender, "a founding record that cannot be read")))
        elif record.fleet != self._setup.fleet or (self.record or record).founding != record.founding:
            out.append(
                _say(ClusterMismatch(sender, f"it belongs to {record.fleet!r}, founding {record.founding}"))
            )
        elif self.record is None and self._storing is None and self.error is None:
            if self._named(record) and self._lock and self._lock not in (sender, record.by):
                # promised to a later maker: this one is from before it asked, and may be nobody's any more
                return
            self._take(record, out)


def _say(error: ClusterError) -> LogEvent:
    return LogEvent("error", "fleet_founding", {"error": error.code, "whom": error.whom, "what": error.what})
