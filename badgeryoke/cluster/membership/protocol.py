"""Who of the fleet lives, as one member believes it: SWIM with Lifeguard's local health.  An opinion, never a
decision.

Sources: Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol" (DSN 2002): one probe a period in a shuffled round, indirect probes, suspicion with counts, rumours
carried by probes. Dadgar, Phillips and Currey, "Lifeguard: Local Health Awareness for More Accurate Failure
Detection" (DSN-W 2018): the local health multiplier, Nack, suspicion that shortens with independent
confirmations, the suspect told first.

Where this differs, and why:

- The list of names is the operators' file, so that nobody joins by rumour, and the dead are knocked at now and then:
  two halves of a healed split find each other again.
- A name has one `Id` at a time.  A new Id of a known name supersedes the old one, which is dead for good.  Which of two
  is newer cannot be read off them: an answer to a probe of our own is proof, a rumour of an Id never seen is believed
  until then.
- The time that an answer took is kept for each name, and over all: slow links are probed with patience.
- A process that was frozen cannot know what its own timers mean: it shifts them by the time that it missed, and begins
  every suspicion anew.

Promise: a member sends, whatever the size of the fleet, one Ping and on average one Ack in a period, and one
knock in two periods while somebody is dead; a probe that fails costs at most 2 x `PROXIES` messages more at
its prober and proxies each.  `docs/design/membership.md` has the times in which the dead are found.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from heapq import nsmallest
from random import Random

from badgeryoke.cluster.events import LogEvent, MessageReceived, SendMessage, Tick
from badgeryoke.cluster.messages import Ack, GossipUpdate, MemberId, Nack, Ping, PingRequest, member_name
from badgeryoke.cluster.node_setup import Member
from badgeryoke.cluster.timings import Timings

ALIVE, SUSPECT, DEAD, LEFT = range(4)
STATES = ("alive", "suspected", "dead", "left")
PROXIES = 3  # asked to probe for us
MOST_GOSSIP = 16  # rumours a message
MOST_HEALTH = 8  # Lifeguard's S: probes are stretched up to 9 times
CONFIRM = 3  # independent suspicions after which the time-out is at its least
LONGEST_SUSPICION = 3.0  # times the least, where nobody else suspects
MOST_OUT = 64  # probes and relays remembered; the oldest goes
MOST_GONE = 4  # earlier Ids kept of a name
# who left in order counts as dead only after so many `repair_after_ms`: a restart is no loss
LEFT_GRACE_MULTIPLE = 10.0
PATIENCE = 4.0  # a probe of a slow link waits so many periods at most


@dataclass(slots=True)
class _Peer:
    """One name, as believed."""

    name: str
    hall: str
    id: MemberId  # "name/" while unknown
    state: int = ALIVE
    count: int = 0
    since: float = 0.0  # when it came into its state
    by: dict[MemberId, None] = field(default_factory=dict)  # who suspects it
    took: float = 0.0  # ms that its answers take of late
    gone: dict[MemberId, float] = field(default_factory=dict)  # earlier Ids, and since when

    @property
    def known(self) -> bool:
        return not self.id.endswith("/")


@dataclass(slots=True)
class _Probe:
    """One under way, or over and still good for learning how long an answer takes."""

    name: str
    at: float
    ask_at: float
    end_at: float
    asked: int = 0
    nacks: set[MemberId] = field(default_factory=set)
    over: bool = False


@dataclass(slots=True)
class _Relay:
    """A probe for another."""

    asker: MemberId
    seq: int
    target: MemberId
    nack_at: float
    end_at: float


@dataclass(slots=True)
class _Told:
    """A rumour on its way, and how often it was told."""

    rumour: GossipUpdate
    times: int = 0


class Membership:
    """One member's view.  `due`: when the next Tick has to come, by `now`'s clock; a later one counts as a
    freeze."""

    def __init__(
        self, me: MemberId, hall: str, members: Iterable[Member], timings: Timings, draw: Random, now: float
    ) -> None:
        self.me, self.hall, self.count, self.health = me, hall, 0, 0
        self._times, self._draw, self._left = timings, draw, False
        self._seq = draw.getrandbits(40)  # so that an answer to an earlier process is none to this one
        self._peers = {
            one.name: _Peer(one.name, one.zone, one.name + "/", since=now)
            for one in members
            if one.name != member_name(me)
        }
        self._order: list[str] = []
        self._probes: dict[int, _Probe] = {}
        self._relays: dict[int, _Relay] = {}
        self._suspects: dict[str, None] = {}
        # what an answer takes of late, over all: where all links are slow, nobody is dead of it
        self._took = 0.0
        self._rumours: dict[tuple[str, MemberId], _Told] = {}  # by name, and by who suspects it
        self._periods = 0
        self._next = now + draw.random() * timings.probe_ms if self._peers else math.inf
        self._told()
        self.due = self._next

    # What is believed
    # ------------------------------------------------------------------------------------------------

    def alive_ids(self) -> frozenset[MemberId]:
        """Ids that are alive or merely suspected, this one with them."""
        found = [one.id for one in self._peers.values() if one.known and one.state in (ALIVE, SUSPECT)]
        return frozenset(found if self._left else [*found, self.me])

    def dead_for_ms(self, now: float) -> dict[MemberId, float]:
        """For how long (ms) each has been believed dead; a name whose Id was never heard of stands as
        "name/"."""
        found: dict[MemberId, float] = {}
        grace = LEFT_GRACE_MULTIPLE * self._times.repair_after_ms
        for one in self._peers.values():
            for who, since in one.gone.items():
                found[who] = now - since
            if one.state == DEAD:
                found[one.id] = now - one.since
            elif one.state == LEFT and now - one.since >= grace:
                found[one.id] = now - one.since - grace
        return found

    def state_of(self, who: str) -> str:
        """Of a name or an Id: one of STATES, "superseded" or "unknown"."""
        if member_name(who) == member_name(self.me):
            return (
                ("left" if self._left else "alive")
                if who in (self.me, member_name(self.me))
                else "superseded"
            )
        peer = self._peers.get(member_name(who))
        if peer is None or (not peer.known and peer.state == ALIVE):
            return "unknown"
        if "/" in who and who != peer.id:
            return "superseded" if who in peer.gone else "unknown"
        return STATES[peer.state]

    def ids(self) -> dict[str, MemberId]:
        """The Id of each name as last known; "name/" where none is."""
        return {member_name(self.me): self.me, **{one.name: one.id for one in self._peers.values()}}

    def zones(self) -> dict[str, str]:
        """The hall of each name."""
        return {member_name(self.me): self.hall, **{one.name: one.hall for one in self._peers.values()}}

    def learn_ids(self, now: float, ids: Iterable[MemberId]) -> None:
        """Ids from the founding record or the log, where a name's is not known yet; nothing is believed
        anew."""
        for who in ids:
            peer = self._peers.get(member_name(who))
            if peer is not None and not peer.known:
                peer.id = who

    # What happens
    # ----------------------------------------------------------------------------------------------------

    def handle(self, now: float, event: Tick | MessageReceived) -> list[SendMessage | LogEvent]:
        """Take an event in; gives what has to be sent and said."""
        out: list[SendMessage | LogEvent] = []
        late = now - self.due
        if late > self._times.probe_timeout_ms / 2:
            self._thawed(now, late)
        if isinstance(event, MessageReceived) and member_name(event.sender) in self._peers:
            self._received(now, event.sender, event.message, out)
        self._timers(now, out)
        self._set_due()
        return out

    def leave(self, now: float) -> list[SendMessage | LogEvent]:
        """This process ends in order: a few are told, and tell the others."""
        if self._left:
            return []
        self._left, self.count = True, self.count + 1
        self._told()
        out: list[SendMessage | LogEvent] = [
            SendMessage(one.id, Ping(self._new_seq(), one.id, self._gossip(one.name)))
            for one in self._some("", PROXIES)
        ]
        self._next = math.inf
        self._probes.clear()
        self._set_due()
        return out

    def _thawed(self, now: float, late: float) -> None:
        """All that was timed meanwhile says something of this process, not of the others."""
        self.health = min(self.health + 1, MOST_HEALTH)
        self._probes.clear()
        self._relays.clear()
        self._next = now
        for peer in self._peers.values():
            if peer.state == SUSPECT:
                peer.since = now
            elif peer.state != ALIVE:
                peer.since += late
            for who in peer.gone:
                peer.gone[who] += late

    def _received(
        self, now: float, sender: MemberId, message: object, out: list[SendMessage | LogEvent]
    ) -> None:
        peer = self._peers[member_name(sender)]
        if isinstance(message, Ack):
            self._answered(now, sender, message, out)
        elif sender != peer.id and not self._supersede(now, peer, sender, out):
            return  # from a process that is no more; an answer to a probe of ours would tell otherwise
        if not isinstance(message, (Ping, Ack, PingRequest, Nack)):
            return
        for rumour in message.gossip[:MOST_GOSSIP]:
            self._hear(now, rumour, out)
        if isinstance(message, Ping) and not self._left:
            # an earlier Id is answered as the present one
            if member_name(message.target) == member_name(self.me):
                out.append(SendMessage(sender, Ack(message.seq, self.me, self._gossip(member_name(sender)))))
        elif isinstance(message, PingRequest) and not self._left:
            self._relay(now, sender, message, out)
        elif isinstance(message, Nack):
            probe = self._probes.get(message.seq)
            if probe is not None and not probe.over and len(probe.nacks) < PROXIES:
                probe.nacks.add(sender)

    def _answered(self, now: float, sender: MemberId, ack: Ack, out: list[SendMessage | LogEvent]) -> None:
        """Proof of life of `ack.target`, whoever passed it on: the number is one of our own."""
        relay = self._relays.pop(ack.seq, None)
        if relay is not None and member_name(relay.target) == member_name(ack.target):
            out.append(
                SendMessage(relay.asker, Ack(relay.seq, ack.target, self._gossip(member_name(relay.asker))))
            )
        probe = self._probes.get(ack.seq)
        if probe is None or probe.name != member_name(ack.target):
            if relay is None:
                return
            peer = self._peers.get(member_name(ack.target))
        else:
            peer = self._peers[probe.name]
            if sender == ack.target:
                del self._probes[ack.seq]
                took = now - probe.at
                peer.took = max(took, peer.took * 0.75)
                self._took += 0.25 * (took - self._took)
            if not probe.over:
                probe.over = True
                self.health = max(self.health - 1, 0)
        if peer is None or ack.target.endswith("/"):
            return
        if ack.target != peer.id:
            peer.gone.pop(ack.target, None)
            self._supersede(now, peer, ack.target, out)
        elif peer.state == SUSPECT:
            peer.since = now  # it is dead only when it has answered nothing for the whole time-out
        elif peer.state in (DEAD, LEFT):
            # so that it hears of it and refutes
            self._tell(GossipUpdate(peer.id, peer.state, peer.count, self.me))

    def _relay(
        self, now: float, asker: MemberId, message: PingRequest, out: list[SendMessage | LogEvent]
    ) -> None:
        if member_name(message.target) == member_name(self.me):
            out.append(SendMessage(asker, Ack(message.seq, self.me, self._gossip(member_name(asker)))))
        elif member_name(message.target) in self._peers:
            seq = self._new_seq()
            _bound(self._relays)
            self._relays[seq] = _Relay(
                asker,
                message.seq,
                message.target,
                now + 0.8 * self._times.probe_timeout_ms,
                now + PATIENCE * self._times.probe_ms,
            )
            out.append(
                SendMessage(
                    message.target, Ping(seq, message.target, self._gossip(member_name(message.target)))
                )
            )

    # Rumours
    # ---------------------------------------------------------------------------------------------------------

    def _hear(self, now: float, rumour: GossipUpdate, out: list[SendMessage | LogEvent]) -> None:
        name = member_name(rumour.who)
        if rumour.who.endswith("/") or rumour.state not in (ALIVE, SUSPECT, DEAD, LEFT):
            return
        if name == member_name(self.me):
            if rumour.who != self.me:
                self._told()  # whoever tells of an earlier Id has not heard of this one
            elif rumour.state != ALIVE and rumour.count < self.count:
                self._told()  # what it was told in answer to that was lost on the way there
            elif rumour.state != ALIVE and not self._left:
                self.count = rumour.count + 1
                self.health = min(self.health + 1, MOST_HEALTH)
                self._told()
                out.append(
                    LogEvent("info", "fleet_refuted", {"state": STATES[rumour.state], "by": rumour.by})
                )
            return
        peer = self._peers.get(name)
        if peer is None:
            return
        if rumour.who != peer.id:
            if rumour.who in peer.gone:
                self._tell(GossipUpdate(peer.id, peer.state, peer.count, next(iter(peer.by), self.me)))
                return
            if rumour.state in (DEAD, LEFT) and peer.known:
                return  # one that never was here, or is over already
            self._supersede(now, peer, rumour.who, out)
        if rumour.count < peer.count:
            return
        newer = rumour.count > peer.count
        if rumour.state == ALIVE:
            if newer:
                peer.count = rumour.count
                self._become(now, peer, ALIVE, rumour, out)
        elif rumour.state == SUSPECT:
            if newer or peer.state == ALIVE:
                peer.count = rumour.count
                self._become(now, peer, SUSPECT, rumour, out)
            elif peer.state == SUSPECT and rumour.by not in peer.by and len(peer.by) <= CONFIRM:
                peer.by[rumour.by] = None
                self._tell(rumour)
        elif newer or peer.state not in (DEAD, LEFT):
            peer.count = rumour.count
            self._become(now, peer, rumour.state, rumour, out)

    def _become(
        self, now: float, peer: _Peer, state: int, rumour: GossipUpdate, out: list[SendMessage | LogEvent]
    ) -> None:
        """The one place where a state changes."""
        before, peer.state = peer.state, state
        if before != state:
            peer.since = now
        peer.by = {rumour.by: None} if state == SUSPECT else {}
        if state == SUSPECT:
            self._suspects[peer.name] = None
        else:
            self._suspects.pop(peer.name, None)
        for key in [key for key in self._rumours if key[0] == peer.name]:
            del self._rumours[key]
        self._tell(rumour)
        if before != state and {before, state} != {ALIVE, SUSPECT}:
            out.append(
                LogEvent(
                    "warning" if state == DEAD else "info",
                    "fleet_member",
                    {"who": peer.id, "state": STATES[state], "was": STATES[before], "by": rumour.by},
                )
            )

    def _supersede(self, now: float, peer: _Peer, who: MemberId, out: list[SendMessage | LogEvent]) -> bool:
        """Another Id of a known name; False where it is one that is over."""
        if who in peer.gone or who.endswith("/"):
            return False
        if peer.known:
            while len(peer.gone) >= MOST_GONE:
                del peer.gone[next(iter(peer.gone))]
            peer.gone[peer.id] = now
            out.append(LogEvent("warning", "fleet_new_incarnation", {"who": who, "was": peer.id}))
        peer.id, peer.count = who, 0
        self._become(now, peer, ALIVE, GossipUpdate(who, ALIVE, 0), out)
        return True

    def _told(self) -> None:
        """This member's own state goes out, anew."""
        self._tell(GossipUpdate(self.me, LEFT if self._left else ALIVE, self.count))

    def _tell(self, rumour: GossipUpdate) -> None:
        if not rumour.who.endswith("/"):  # of a name without an Id there is nothing to tell
            self._rumours[member_name(rumour.who), rumour.by if rumour.state == SUSPECT else ""] = _Told(
                rumour
            )

    def _gossip(self, to: str) -> tuple[GossipUpdate, ...]:
        """What goes with a message: what the receiver is believed to be, if not alive; then the least
        told."""
        first: list[GossipUpdate] = []
        peer = self._peers.get(to)
        if peer is not None and peer.state != ALIVE and peer.known:
            first.append(GossipUpdate(peer.id, peer.state, peer.count, next(iter(peer.by), self.me)))
        most = math.ceil(3 * math.log(len(self._peers) + 2))
        chosen = nsmallest(MOST_GOSSIP - len(first), self._rumours.items(), key=lambda item: item[1].times)
        for key, told in chosen:
            told.times += 1
            if told.times >= most:
                del self._rumours[key]
        return (*first, *(told.rumour for _, told in chosen))

    # Time
    # ------------------------------------------------------------------------------------------------------------

    def _timers(self, now: float, out: list[SendMessage | LogEvent]) -> None:
        for seq, probe in list(self._probes.items()):
            if probe.over:
                if now >= probe.end_at + PATIENCE * self._times.probe_ms:
                    del self._probes[seq]
            elif now >= probe.end_at:
                self._failed(now, probe, out)
            elif now >= probe.ask_at:
                probe.ask_at = math.inf
                target = self._peers[probe.name].id
                proxies = self._some(probe.name, PROXIES)
                probe.asked = len(proxies)
                out += [
                    SendMessage(one.id, PingRequest(seq, target, self._gossip(one.name))) for one in proxies
                ]
        for seq, relay in list(self._relays.items()):
            if now >= relay.end_at:
                del self._relays[seq]
            elif now >= relay.nack_at:
                relay.nack_at = math.inf
                out.append(
                    SendMessage(
                        relay.asker, Nack(relay.seq, relay.target, self._gossip(member_name(relay.asker)))
                    )
                )
        for name in list(self._suspects):
            peer = self._peers[name]
            if now >= self._ends(peer):
                self._become(now, peer, DEAD, GossipUpdate(peer.id, DEAD, peer.count, self.me), out)
        if now >= self._next:
            self._next = now + self._times.probe_ms * (self.health + 1)
            self._probe(now, out)

    def _failed(self, now: float, probe: _Probe, out: list[SendMessage | LogEvent]) -> None:
        probe.over = True
        self.health = min(self.health + (probe.asked - len(probe.nacks) if probe.asked else 1), MOST_HEALTH)
        peer = self._peers[probe.name]
        rumour = GossipUpdate(peer.id, SUSPECT, peer.count, self.me)
        if peer.state == ALIVE:
            self._become(now, peer, SUSPECT, rumour, out)
            self._order.append(peer.name)  # once more at the next turn: that tells it
        elif peer.state == SUSPECT and self.me not in peer.by and len(peer.by) <= CONFIRM:
            peer.by[self.me] = None
            self._tell(rumour)

    def _ends(self, peer: _Peer) -> float:
        """When a suspect is dead: Lifeguard's time-out, from LONGEST_SUSPICION times the least down to the
        least."""
        living = 1 + sum(one.state in (ALIVE, SUSPECT) for one in self._peers.values())
        least = self._times.suspect_periods * self._times.probe_ms * max(1.0, math.log10(living))
        confirm = min(CONFIRM, living - 2)
        if confirm < 1:
            return peer.since + LONGEST_SUSPICION * least
        shorter = min(math.log(len(peer.by)) / math.log(confirm + 1), 1.0) if peer.by else 0.0
        return peer.since + least * (LONGEST_SUSPICION - (LONGEST_SUSPICION - 1.0) * shorter)

    def _probe(self, now: float, out: list[SendMessage | LogEvent]) -> None:
        """One probe of who is not known to be dead, in a shuffled round; every second time a knock at a
        dead one."""
        self._periods += 1
        dead = [one for one in self._peers.values() if one.state in (DEAD, LEFT)]
        if dead and self._periods % 2 == 0:
            self._ping(now, self._draw.choice(dead), out, knock=True)
        for _ in range(2):
            while self._order:
                peer = self._peers[self._order.pop()]
                if peer.state in (ALIVE, SUSPECT):
                    self._ping(now, peer, out)
                    return
            self._order = list(self._peers)
            self._draw.shuffle(self._order)

    def _ping(self, now: float, peer: _Peer, out: list[SendMessage | LogEvent], knock: bool = False) -> None:
        seq, stretch, took = self._new_seq(), self.health + 1, max(peer.took, self._took)
        wait = max(self._times.probe_timeout_ms * stretch, 1.5 * took)
        end = max(self._times.probe_ms * stretch, min(3 * took, PATIENCE * self._times.probe_ms))
        _bound(self._probes)
        self._probes[seq] = _Probe(peer.name, now, now + min(wait, end), now + end, over=knock)
        # Who is taken for dead is knocked at by its name: another Id may live there now; where all that this
        # one knew were lost in turn, no third is left to tell of it.
        to = peer.name + "/" if knock else peer.id
        out.append(SendMessage(to, Ping(seq, to, self._gossip(peer.name))))

    def _some(self, but: str, count: int) -> list[_Peer]:
        found = [one for one in self._peers.values() if one.state == ALIVE and one.known and one.name != but]
        return self._draw.sample(found, min(count, len(found)))

    def _new_seq(self) -> int:
        self._seq += 1
        return self._seq

    def _set_due(self) -> None:
        self.due = min(
            self._next,
            min(
                (min(one.ask_at, one.end_at) for one in self._probes.values() if not one.over),
                default=math.inf,
            ),
            min((min(one.nack_at, one.end_at) for one in self._relays.values()), default=math.inf),
            min((self._ends(self._peers[name]) for name in self._suspects), default=math.inf),
        )


def _bound(table: dict[int, _Probe] | dict[int, _Relay]) -> None:
    """The oldest goes: its answer then teaches nothing."""
    while len(table) >= MOST_OUT:
        del table[next(iter(table))]
