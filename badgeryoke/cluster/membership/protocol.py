"""Which members of the cluster are running, in the view of one member: SWIM with Lifeguard's local health.

This view may be wrong and may differ between members; decisions that must be unique go through a group's log.

Sources: Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol" (DSN 2002): one ping per protocol period in shuffled order, indirect pings, suspicion with incarnation
numbers, updates piggybacked on pings.  Dadgar, Phillips and Currey, "Lifeguard: Local Health Awareness for More
Accurate Failure Detection" (DSN-W 2018): the local health multiplier, Nack, a suspicion timeout that shortens with
independent confirmations, and notifying the suspected member first.

Differences from these papers, with their reasons:

- The list of names is the operators' file, so members do not join by gossip.  Dead members are still pinged from time
  to time, so that the two sides of a partition find each other again once it heals.
- A name has one id at a time.  A new id of a name supersedes the old one for good.  The ids do not show which of them
  is newer: an Ack for this member's own ping proves that an id is running; until then, gossip about an id that was
  never seen is accepted.
- The round trip is measured for each name and averaged over all, so that slow links get longer timeouts.
- After a freeze, a process cannot rely on its own timers: it shifts them by the time that it missed, and restarts
  every suspicion.

Cost, for any size of the cluster: a member sends one Ping and on average one Ack in a protocol period, and one more
Ping every second period while a member is dead.  A ping that fails costs at most 2 x `INDIRECT_PING_PROXIES` more
messages at its sender and as many at the proxies.  `docs/design/membership.md` has the detection times.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from badgeryoke.cluster.events import MessageReceived, SendMessage, Tick
from badgeryoke.cluster.membership.dissemination import MAX_UPDATES_PER_MESSAGE, GossipQueue
from badgeryoke.cluster.membership.failure_detector import FailureDetector
from badgeryoke.cluster.membership.local_health import LocalHealth
from badgeryoke.cluster.membership.member_table import (
    LEFT_GRACE_MULTIPLE,
    LocalMember,
    MemberRecord,
    MemberState,
    MemberStatus,
    MemberTable,
    id_is_known,
)
from badgeryoke.cluster.membership.update_rules import Effects, UpdateRules
from badgeryoke.cluster.messages import Ack, GossipUpdate, MemberId, Nack, Ping, PingRequest, member_name
from badgeryoke.cluster.node_setup import Member
from badgeryoke.cluster.timings import Timings

FREEZE_FRACTION = 0.5  # fraction of the ping timeout; an event that much later than `due` counts as a freeze


class Membership:
    """One member's view of the cluster.

    Times are in milliseconds on a monotonic clock.  `due` is the latest time for the next Tick; a much later event
    counts as a freeze of this process.
    """

    def __init__(
        self,
        member_id: MemberId,
        zone: str,
        members: Iterable[Member],
        timings: Timings,
        rng: Random,
        now: float,
    ) -> None:
        self.local = LocalMember(member_id, zone)
        self.local_health = LocalHealth()
        self._timings = timings
        self._table = MemberTable(self.local, members, now)
        self._gossip = GossipQueue(self._table)
        self._rules = UpdateRules(self._table, self._gossip, self.local_health)
        self._detector = FailureDetector(
            self._table, self._gossip, self._rules, self.local_health, timings, rng, now
        )
        self._gossip.add_local_state()
        self.due = self._detector.next_period_at

    # Queries

    def alive_ids(self) -> frozenset[MemberId]:
        """Ids that are alive or suspected, with this member's own id unless it has left."""
        return self._table.alive_ids()

    def dead_for_ms(self, now: float) -> dict[MemberId, float]:
        """For how long (ms) each id has been considered dead; "name/" stands for a name with unknown incarnation."""
        return self._table.dead_for_ms(now, LEFT_GRACE_MULTIPLE * self._timings.repair_after_ms)

    def state_of(self, name_or_id: str) -> MemberStatus:
        """The status of a name, or of one id."""
        return self._table.status_of(name_or_id)

    def ids(self) -> dict[str, MemberId]:
        """The last known id of each name; "name/" if its incarnation is unknown."""
        return self._table.ids()

    def zones(self) -> dict[str, str]:
        """The zone of each name."""
        return self._table.zones()

    def learn_ids(self, ids: Iterable[MemberId]) -> None:
        """Set the ids of names with unknown incarnation, from the bootstrap record or the log; states do not change."""
        self._table.learn_ids(ids)

    # Events

    def handle(self, now: float, event: Tick | MessageReceived) -> Effects:
        """Handle an event; returns the messages to send and the events to log, in order."""
        effects: Effects = []
        late_ms = now - self.due
        if late_ms > self._timings.probe_timeout_ms * FREEZE_FRACTION:
            self._recover_from_freeze(now, late_ms)
        if isinstance(event, MessageReceived) and member_name(event.sender) in self._table:
            self._receive(now, event.sender, event.message, effects)
        self._detector.run_timers(now, effects)
        self.due = self._detector.due_at()
        return effects

    def leave(self) -> Effects:
        """Announce a graceful shutdown to a few members, which pass it on."""
        if self.local.has_left:
            return []
        self.local.has_left = True
        self.local.incarnation_number += 1
        self._gossip.add_local_state()
        effects: Effects = []
        self._detector.announce_to_some(effects)
        self._detector.stop()
        self.due = self._detector.due_at()
        return effects

    def _recover_from_freeze(self, now: float, missed_ms: float) -> None:
        """Reset the timers: timeouts that passed during a freeze prove nothing about other members."""
        self.local_health.degrade()
        self._detector.restart(now)
        self._table.restart_clocks(now, missed_ms)

    def _receive(self, now: float, sender: MemberId, message: object, effects: Effects) -> None:
        record = self._table[member_name(sender)]
        if isinstance(message, Ack):
            self._receive_ack(now, sender, message, effects)
        elif sender != record.id and not self._rules.supersede(now, record, sender, effects):
            return  # a superseded id; only an Ack for this member's own ping could prove that it is running
        match message:
            case Ping():
                self._apply_gossip(now, message.gossip, effects)
                self._answer_ping(sender, message, effects)
            case Ack():
                self._apply_gossip(now, message.gossip, effects)
            case PingRequest():
                self._apply_gossip(now, message.gossip, effects)
                if not self.local.has_left:
                    self._detector.on_ping_request(now, sender, message, effects)
            case Nack():
                self._apply_gossip(now, message.gossip, effects)
                self._detector.on_nack(sender, message)

    def _apply_gossip(self, now: float, updates: tuple[GossipUpdate, ...], effects: Effects) -> None:
        for update in updates[:MAX_UPDATES_PER_MESSAGE]:
            self._rules.apply(now, update, effects)

    def _answer_ping(self, sender: MemberId, ping: Ping, effects: Effects) -> None:
        """Reply with the current id, also to a ping that was addressed to an earlier id of this name."""
        if not self.local.has_left and member_name(ping.target) == self.local.name:
            ack = Ack(ping.seq, self.local.id, self._gossip.take_updates(member_name(sender)))
            effects.append(SendMessage(sender, ack))

    def _receive_ack(self, now: float, sender: MemberId, ack: Ack, effects: Effects) -> None:
        record = self._detector.on_ack(now, sender, ack, effects)
        if record is not None and id_is_known(ack.target):
            self._note_alive(now, record, ack.target, effects)

    def _note_alive(self, now: float, record: MemberRecord, member_id: MemberId, effects: Effects) -> None:
        """Update a record after an Ack, which proves that this id is running, whatever its recorded state."""
        if member_id != record.id:
            record.past_ids.pop(member_id, None)
            self._rules.supersede(now, record, member_id, effects)
            return
        match record.state:
            case MemberState.SUSPECTED:
                record.state_since_ms = now  # it counts as dead only after a complete timeout without an Ack
            case MemberState.DEAD | MemberState.LEFT:
                # The member receives its recorded state by gossip and refutes it.
                self._gossip.add(record.gossip_update(self.local.id))
            case MemberState.ALIVE:
                pass
