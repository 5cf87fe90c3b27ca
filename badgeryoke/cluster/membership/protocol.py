"""Which members of the cluster run, as one member believes it: SWIM with Lifeguard's local health.

An opinion, never a decision: what must not be decided twice goes through a group's log.

Sources: Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol" (DSN 2002): one ping a protocol period in a shuffled round, indirect pings, suspicion with incarnation
numbers, updates carried by pings.  Dadgar, Phillips and Currey, "Lifeguard: Local Health Awareness for More
Accurate Failure Detection" (DSN-W 2018): the local health multiplier, Nack, a suspicion timeout that shortens with
independent confirmations, and the suspect notified first.

Where this differs, and why:

- The list of names is the operators' file, so that nobody joins by gossip, and dead members are pinged now and then:
  the two sides of a healed partition find each other again.
- A name has one id at a time.  A new id of a known name supersedes the old one, which is dead for good.  Which of two
  is newer cannot be read off them: an answer to a ping of our own is proof, gossip of an id never seen is believed
  until then.
- The round trip is measured for each name, and over all: slow links get longer timeouts.
- A process that was frozen cannot know what its own timers mean: it shifts them by the time that it missed, and begins
  every suspicion anew.

Cost: a member sends, whatever the size of the cluster, one Ping and on average one Ack in a period, and one more Ping
in two periods while a member is dead; a ping that fails costs at most 2 x `INDIRECT_PING_PROXIES` messages more at
its sender and at the proxies each.  `docs/design/membership.md` has the times in which dead members are found.
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

FREEZE_FRACTION = 0.5  # of the ping timeout: a Tick that is later than this counts as a freeze


class Membership:
    """One member's view.

    `due` is when the next Tick has to come, by the clock of `now` (ms); a much later one counts as a freeze.
    """

    def __init__(
        self,
        member_id: MemberId,
        zone: str,
        members: Iterable[Member],
        timings: Timings,
        draw: Random,
        now: float,
    ) -> None:
        self.local = LocalMember(member_id, zone)
        self.local_health = LocalHealth()
        self._timings = timings
        self._table = MemberTable(self.local, members, now)
        self._gossip = GossipQueue(self._table)
        self._rules = UpdateRules(self._table, self._gossip, self.local_health)
        self._detector = FailureDetector(
            self._table, self._gossip, self._rules, self.local_health, timings, draw, now
        )
        self._gossip.add_local_state()
        self.due = self._detector.next_period_at

    # What is believed

    def alive_ids(self) -> frozenset[MemberId]:
        """Ids that are alive or merely suspected, this one with them."""
        return self._table.alive_ids()

    def dead_for_ms(self, now: float) -> dict[MemberId, float]:
        """For how long each id has been believed dead; "name/" where the incarnation was never known."""
        return self._table.dead_for_ms(now, LEFT_GRACE_MULTIPLE * self._timings.repair_after_ms)

    def state_of(self, name_or_id: str) -> MemberStatus:
        """What is believed of a name, or of one id."""
        return self._table.status_of(name_or_id)

    def ids(self) -> dict[str, MemberId]:
        """The id of each name as last known; "name/" where none is."""
        return self._table.ids()

    def zones(self) -> dict[str, str]:
        """The zone of each name."""
        return self._table.zones()

    def learn_ids(self, ids: Iterable[MemberId]) -> None:
        """Take over ids from the bootstrap record or the log for names without one; beliefs stay as they are."""
        self._table.learn_ids(ids)

    # What happens

    def handle(self, now: float, event: Tick | MessageReceived) -> Effects:
        """Take an event in; gives the messages to send and the events to log, in order."""
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
        """This process ends on purpose: a few members are notified, and pass it on."""
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
        """What was timed meanwhile says something of this process, not of the others."""
        self.local_health.degrade()
        self._detector.restart(now)
        self._table.restart_clocks(now, missed_ms)

    def _receive(self, now: float, sender: MemberId, message: object, effects: Effects) -> None:
        record = self._table[member_name(sender)]
        if isinstance(message, Ack):
            self._receive_ack(now, sender, message, effects)
        elif sender != record.id and not self._rules.supersede(now, record, sender, effects):
            return  # a process that is over; an answer to a ping of our own would prove otherwise
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
        """A ping meant for an earlier id of this name is answered in the name of the present one."""
        if not self.local.has_left and member_name(ping.target) == self.local.name:
            ack = Ack(ping.seq, self.local.id, self._gossip.take(member_name(sender)))
            effects.append(SendMessage(sender, ack))

    def _receive_ack(self, now: float, sender: MemberId, ack: Ack, effects: Effects) -> None:
        record = self._detector.on_ack(now, sender, ack, effects)
        if record is not None and id_is_known(ack.target):
            self._note_alive(now, record, ack.target, effects)

    def _note_alive(self, now: float, record: MemberRecord, member_id: MemberId, effects: Effects) -> None:
        """An answer proves that this id runs now, whatever is believed of it."""
        if member_id != record.id:
            record.past_ids.pop(member_id, None)
            self._rules.supersede(now, record, member_id, effects)
            return
        match record.state:
            case MemberState.SUSPECTED:
                record.state_since_ms = now  # it is dead only when it answers nothing for the whole timeout
            case MemberState.DEAD | MemberState.LEFT:
                self._gossip.add(record.gossip_update(self.local.id))  # so that it hears of it and refutes
            case MemberState.ALIVE:
                pass
