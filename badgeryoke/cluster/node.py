"""One gateway's whole share in the fleet: membership, the replicas of its groups, its calls and its leases.

The same object runs in a gateway (`badgeryoke/gateway/cluster/service`) and in simulated time
(`badgeryoke/testbed/cluster_simulation/world`); both hand it events and carry out its effects, and nothing
else decides.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

import msgspec

from badgeryoke.cluster.bootstrap import Bootstrap
from badgeryoke.cluster.connection_limits.commands import SetConnectionLimit
from badgeryoke.cluster.connection_limits.holders import server_bucket
from badgeryoke.cluster.errors import (
    AnyError,
    ClusterError,
    InvalidCall,
    InvariantBroken,
    NoLeader,
    Overloaded,
    StorageFailed,
    UnknownOutcome,
)
from badgeryoke.cluster.events import (
    ClusterCall,
    Effect,
    LeaveCluster,
    LogEvent,
    MessageReceived,
    NodeEvent,
    OperationCompleted,
    PersistedGroup,
    ProposeCommand,
    ReadIndexRequest,
    RecordsPersisted,
    ReplicaEvent,
    SendMessage,
    StorageFailure,
    Tick,
    TransferLeadership,
)
from badgeryoke.cluster.invariants import Invariants
from badgeryoke.cluster.membership.protocol import Membership
from badgeryoke.cluster.messages import (
    Ack,
    Announce,
    ClusterFounded,
    ForwardedCall,
    ForwardedReply,
    GroupConfiguration,
    GroupMessage,
    IdentityQuery,
    MemberId,
    Nack,
    Ping,
    PingRequest,
    member_name,
)
from badgeryoke.cluster.node_setup import FOUNDING, LeaseClient, Member, NodeSetup
from badgeryoke.cluster.placement.directory import PlacementDirectory, ReadPlacement, first_placing, group_of
from badgeryoke.cluster.raft.node import RaftNode
from badgeryoke.cluster.state_machine.machine import GroupStateMachine, decode, encode
from badgeryoke.cluster.state_machine.part import FLEET, ApplyResult, Command, LeaderView

__all__ = ["FOUNDING", "ClusterNode", "LeaseClient", "Member", "NodeSetup"]
MOST_CALLS = 4096  # calls of this gateway that have no answer yet; more are refused
MOST_MET = 8192  # Ids heard by one process; further ones are not counted on
MOST_HOPS = 3  # of a call on its way to a leader
# of `call_ms`, after which a call without an answer is made again: its id makes that harmless
TRY_PART = 0.25
PAUSE_MS = 40.0  # before a call that found no leader is made again
LATE_MS = 1000.0  # a voter that has not caught up for so long is reported as behind
HEARD_MS = 3000.0  # any other member reads it so often, to know whom to ask
SOON_MS = 50.0  # and again so soon, while something changes
PLACES_MS = 400.0  # a member that leads a group reads so often who is to copy it, while not all is well
CALM_MS = 1600.0  # and so often once all was well for
# so long (a roll's next gateway has gone by then), or along with another reading there after half
WELL_MS = 5000.0
ANY = "*"  # in Setup.servers: each server that is not named
POLL_MS = 50.0  # the holders' calls are looked for so often


_replies = msgspec.msgpack.Decoder(tuple[ApplyResult | None, AnyError | None, str])


@dataclass(slots=True)
class _Call:
    """A call of this gateway that has no answer yet."""

    command: Command
    group: str
    until: float
    answer: Callable[[float, ApplyResult | ClusterError], list[Effect]]
    again: float  # when it is made again
    round: int = 0  # of looking for the leader
    tries: int = 0
    open: dict[int, None] = field(default_factory=dict)  # tries that have no answer yet
    last: ClusterError | None = None  # what the last try came to
    maybe: bool = False  # a try may have been taken: its answer was that nobody knows


def _nobody(now: float, result: Any) -> list[Effect]:
    return []


class ClusterNode:
    """See above.  `due` is when the next Tick has to come at the latest, `now`'s clock.

    `load` may be set by the shell: what the gateway knows of capacity and demand, units a second.
    """

    def __init__(
        self,
        setup: NodeSetup,
        saved: dict[str, PersistedGroup],
        draw: Random,
        now: float,
        wall: float,
        rules: Invariants,
        holders: Iterable[LeaseClient] = (),
    ) -> None:
        self.setup, self.rules, self.me = setup, rules, setup.id
        self._timings, self._draw = setup.timings, draw
        self._saved = dict(saved)
        self._halls = {member.name: member.hall for member in setup.members}
        self.load: dict[str, float] = {"capacity": setup.capacity}
        # set by the shell while a roll takes this gateway: what is led goes to others
        self.lead_nothing = False
        self.holders = list(holders)
        self.replicas: dict[str, RaftNode] = {}
        self.states: dict[str, GroupStateMachine] = {}
        self.membership = Membership(
            self.me, self._halls.get(setup.me, ""), setup.members, setup.timings, draw, now
        )
        self.founding = Bootstrap(setup, self._saved.pop(FOUNDING, PersistedGroup()), draw, now)
        self._broken: ClusterError | None = None  # why this member promises nothing
        self._calls: dict[str, _Call] = {}
        self._ours: dict[
            str, Callable[[float, Any], list[Effect]]
        ] = {}  # proposals of replicas here, by token
        self._routes: dict[str, MemberId] = {}  # who led a group, as last heard
        self._placed: dict[str, tuple[MemberId, ...]] = {}  # who copies a group, as last heard
        self._first: dict[str, tuple[MemberId, ...]] = {}  # as founded
        self._working: dict[str, None] = {}  # commands that a leader here has under way
        self._changing: dict[str, None] = {}  # groups with a change of members under way here
        self._places = PlacementDirectory(setup.timings, rules)  # who is to copy what, as last read
        self._reading = False
        self._places_at = self._heard_at = self._unwell_at = self._read_at = now
        self._lags: dict[
            tuple[str, MemberId], float
        ] = {}  # voters of groups led here that have not caught up, since when
        self._met: dict[MemberId, None] = {}  # heard by this process
        self._ahead: dict[str, float] = {}  # others' wall clocks less this one's
        self.ahead = 0.0  # the fleet's time less this machine's, ms
        self._timed = len(self._halls) <= 1  # whether a majority's clocks were heard
        self.limits = {name: most for name, most in setup.servers.items() if name != ANY}
        self._last = 0
        # tokens of an earlier life are not answered as this one's
        self._begun = f"{draw.getrandbits(48):012x}"
        self._work_at = self._poll_at = now
        self._rolled = "", 0  # the roll under way, and its changes when this member last looked
        self._leaving: tuple[str, float] | None = None
        self.due = now
        if self.founding.record is not None:
            self._open(now)

    # Groups -----------------------------------------------------------------------------------------------

    def _open(self, now: float) -> None:
        """The fleet is founded: bring up what this member copies."""
        record = self.founding.record
        assert record is not None
        self._placed = self._first = first_placing(record)
        self.membership.know(now, (who for who, _ in record.members))
        for group, ids in self._placed.items():
            if group in self._saved or self.me in ids:
                self._replica(now, group)
        for group in list(self._saved):
            self._replica(now, group)

    def _replica(self, now: float, group: str) -> RaftNode | None:
        """The replica of a group; a newcomer's where there is none, which waits to be told."""
        found = self.replicas.get(group)
        if found is None and group in self._placed:
            state = self.states[group] = GroupStateMachine(group, self._timings, self.rules)
            if group == FLEET:
                assert self.founding.record is not None
                state.parts["placing"].begin(self.founding.record)
            saved = self._saved.pop(group, PersistedGroup())
            # A founder's first placing alone, and before anything was stored: who comes in later waits to be
            # told.
            first = GroupConfiguration(self._first[group]) if self.me in self._first.get(group, ()) else None
            found = self.replicas[group] = RaftNode(
                group, self.me, saved, state, self._timings, self._draw, self.rules, now, first
            )
        return found

    def _feed(self, now: float, group: str, event: ReplicaEvent) -> list[Effect]:
        """Let a replica take an event, and carry its results on."""
        replica = self.replicas[group]
        broken = self.rules.count
        effects: list[Effect] = []
        for effect in replica.handle(now, event):
            if isinstance(effect, OperationCompleted):
                effects += self._ours.pop(effect.token, _nobody)(now, effect.result)
            else:
                effects.append(effect)
        self.due = min(self.due, replica.due_ms)  # what has become later costs one Tick that does nothing
        if group == FLEET and replica.leading:
            self._hurry(now)
        if self.rules.count != broken and not isinstance(event, StorageFailure):
            rule, facts = self.rules.broken[-1]
            error = InvariantBroken(group, f"{rule.name}: {facts}")
            effects.append(LogEvent("error", "invariant broken", {"group": group, "error": str(error)}))
            effects += self._feed(now, group, StorageFailure(error))  # it promises nothing from here on
        return effects

    def _hurry(self, now: float) -> None:
        """A roll has moved: whoever schedules it looks at once, not with the next heartbeat."""
        roll = self.states[FLEET].parts["rolls"].active
        if roll is not None and (roll.name, roll.version) != self._rolled:
            self._rolled = roll.name, roll.version
            self._work_at = self.due = now

    # Events -----------------------------------------------------------------------------------------------

    def handle(self, now: float, wall: float, event: NodeEvent) -> list[Effect]:
        """Take an event in; gives what has to be done, in order."""
        effects: list[Effect] = []
        raw, wall = wall, wall + self.ahead
        if isinstance(event, MessageReceived) and event.sender not in self._met and len(self._met) < MOST_MET:
            self._met[event.sender] = None
        match event:
            case MessageReceived(message=GroupMessage() as message):
                if self.founding.record is not None and self._replica(now, message.group) is not None:
                    effects += self._feed(now, message.group, event)
            case MessageReceived(sender=sender, message=ForwardedCall() as message):
                effects += self._forwarded(now, wall, sender, message)
            case MessageReceived(sender=sender, message=ForwardedReply() as message):
                effects += self._replied(now, wall, sender, message)
            case MessageReceived(sender=sender, message=Ping() | Ack() | PingRequest() | Nack() as message):
                if isinstance(message, Ping | Ack) and message.wall_clock_ms > 0.0:
                    self._clocks(sender, message.wall_clock_ms - raw)
                effects += self._gossip(raw, self.membership.handle(now, event))
                self.due = min(self.due, self.membership.due)
            case MessageReceived(message=IdentityQuery() | Announce() | ClusterFounded()):
                effects += self._founded(now, event)
            case RecordsPersisted(group=group):
                if group == FOUNDING:
                    effects += self._founded(now, event)
                elif group in self.replicas:
                    effects += self._feed(now, group, event)
            case StorageFailure(error=error):
                self._broken = self._broken or error
                effects.append(LogEvent("error", "promises nothing more", {"error": str(error)}))
                effects += self._founded(now, event)
                for group in self.replicas:
                    effects += self._feed(now, group, event)
            case ClusterCall(token=token, command=command):
                effects += self._ask(
                    now, wall, command, lambda at, result: [OperationCompleted(token, result)]
                )
            case LeaveCluster(token=token):
                self._leaving = token, now + 2 * self._timings.election_ms
                effects += self._gossip(raw, self.membership.leave(now))
                for group, replica in self.replicas.items():
                    if replica.leading:
                        effects += self._feed(now, group, TransferLeadership())
            case Tick():
                pass
        if isinstance(event, Tick) or now >= self.due or self._leaving is not None:
            effects += self._tick(now, raw, raw + self.ahead)
        return effects

    def _clocks(self, sender: MemberId, ahead: float) -> None:
        """Another's wall clock is so far ahead of this one's: the fleet goes by the clock in the middle.

        One that was set wrong, or a machine that started with it, must not carry the groups' time away.
        """
        if member_name(sender) in self._halls:
            self._ahead[member_name(sender)] = ahead
            middle = sorted([0.0, *self._ahead.values()])
            self.ahead = middle[
                (len(middle) - 1) // 2
            ]  # of two the one behind: a group's time goes on, never back
            self._timed = 2 * len(middle) > len(self._halls)

    @staticmethod
    def _gossip(raw: float, effects: Iterable[SendMessage | LogEvent]) -> list[Effect]:
        """What membership sends, with this machine's clock in it."""
        return [
            SendMessage(effect.to, msgspec.structs.replace(effect.message, wall_clock_ms=raw))
            if isinstance(effect, SendMessage) and isinstance(effect.message, Ping | Ack)
            else effect
            for effect in effects
        ]

    def _founded(
        self, now: float, event: Tick | MessageReceived | RecordsPersisted | StorageFailure
    ) -> list[Effect]:
        known = self.founding.record
        effects: list[Effect] = list(self.founding.handle(now, event))
        self.due = min(self.due, self.founding.due)
        if known is None and self.founding.record is not None:
            self._open(now)
        return effects

    def _eager(self) -> float:
        """When a holder wants to be polled before its usual time."""
        if self.founding.record is None:
            return math.inf
        return min([getattr(holder, "due", math.inf) for holder in self.holders], default=math.inf)

    @staticmethod
    def _next(now: float, step: float) -> float:
        """What comes again and again comes at multiples of its step, as heartbeats do: one waking serves
        all."""
        return (now // step + 1.0) * step

    def _tick(self, now: float, raw: float, wall: float) -> list[Effect]:
        effects: list[Effect] = []
        if self.founding.due <= now:
            effects += self._founded(now, Tick())
        if self.membership.due <= now:
            effects += self._gossip(raw, self.membership.handle(now, Tick()))
        for group, replica in list(self.replicas.items()):
            if replica.due_ms <= now:
                effects += self._feed(now, group, Tick())
        for token, call in list(self._calls.items()):
            if call.until <= now:
                del self._calls[token]
                nobody = call.last or NoLeader(call.group, "none was found in time")
                effects += call.answer(now, self._final(call, nobody))
            elif call.again <= now:
                effects += self._try(now, wall, token, call)
        if self._work_at <= now and self.founding.record is not None:
            self._work_at = self._next(now, self._timings.heartbeat_ms)
            for group, replica in list(self.replicas.items()):
                if replica.leading and self._leaving is None:
                    effects += self._work(now, wall, group, replica)
                    if self.lead_nothing:
                        effects += self._feed(now, group, TransferLeadership())
            if self._places_at <= now:
                self._places_at = self._next(now, PLACES_MS)
                if not self._well():
                    self._unwell_at = now
                if now - self._unwell_at < WELL_MS or self._read_at + CALM_MS <= now + 1.0:
                    effects += self._read_places(now, wall)
        if self._poll_at <= now or self._eager() <= now:
            self._poll_at = self._next(now, POLL_MS)
            if self.founding.record is not None:
                for holder in self.holders:
                    for command in holder.poll(now, wall):
                        effects += self._ask(now, wall, command, self._holder_answer(holder, command))
                        if command.reads and not command.key() and now - self._read_at >= CALM_MS / 2.0:
                            effects += self._read_places(now, wall)
        if self._leaving is not None:
            token, until = self._leaving
            if until <= now or not any(
                replica.leading and len(replica.config.voters) > 1 for replica in self.replicas.values()
            ):
                self._leaving = None
                effects.append(OperationCompleted(token, None))
        self.due = min(
            [
                self._work_at,
                self._poll_at,
                self.founding.due,
                self.membership.due,
                self._eager(),
                *(replica.due_ms for replica in self.replicas.values()),
                *(min(call.until, call.again) for call in self._calls.values()),
            ]
        )
        return effects

    @staticmethod
    def _holder_answer(
        holder: LeaseClient, command: Command
    ) -> Callable[[float, ApplyResult | ClusterError], list[Effect]]:
        def answer(now: float, result: ApplyResult | ClusterError) -> list[Effect]:
            holder.answered(now, command, result)
            return []

        return answer

    # Calls ------------------------------------------------------------------------------------------------

    def _token(self) -> str:
        self._last += 1
        return f"{self.me}:{self._begun}:{self._last}"

    def _ask(
        self,
        now: float,
        wall: float,
        command: Command,
        answer: Callable[[float, ApplyResult | ClusterError], list[Effect]],
    ) -> list[Effect]:
        """Make a call: it is answered once, within `call_ms`."""
        problem = command.validate()
        if problem:
            return answer(now, InvalidCall(command.id, problem))
        if self.founding.record is None:
            return answer(now, NoLeader(self.setup.fleet, "the fleet is not founded yet"))
        if len(self._calls) >= MOST_CALLS:
            return answer(now, Overloaded(self.me, f"{MOST_CALLS} calls have no answer yet"))
        group = group_of(command.key(), self.founding.record.groups)
        token = self._token()
        call = self._calls[token] = _Call(command, group, now + self._timings.call_ms, answer, now)
        self.due = min(self.due, now + PAUSE_MS)
        return self._try(now, wall, token, call)

    def _try(self, now: float, wall: float, token: str, call: _Call) -> list[Effect]:
        """One try: at the replica here where it leads, else at whom it takes for the leader."""
        call.again = now + self._timings.call_ms * TRY_PART
        call.round += 1
        replica = self.replicas.get(call.group)
        if replica is not None and replica.leading:
            number = self._number(call)
            return self._take(
                now, wall, call.group, call.command, lambda at, result: self._end(at, token, number, result)
            )
        to = self._leader(call.group, call.round)
        if not to:
            call.again = now + PAUSE_MS
            return []
        return self._forward(wall, token, call, to)

    @staticmethod
    def _number(call: _Call) -> int:
        """One more try."""
        call.tries += 1
        call.open[call.tries] = None
        return call.tries

    def _forward(self, wall: float, token: str, call: _Call, to: MemberId) -> list[Effect]:
        return [
            SendMessage(
                to,
                ForwardedCall(
                    f"{token}.{self._number(call)}", call.group, encode(wall, call.command), MOST_HOPS
                ),
            )
        ]

    @staticmethod
    def _final(call: _Call, result: ApplyResult | ClusterError) -> ApplyResult | ClusterError:
        """What the caller is told: that nothing was taken, only where that is known of every try.

        An answer out of the log speaks for all tries that were answered before: what they left in it stands
        before.
        """
        refused = isinstance(result, ClusterError) or result.error is not None
        maybe = call.open or (call.maybe and isinstance(result, ClusterError))
        if refused and maybe and not call.command.reads:
            return UnknownOutcome(call.group, "no answer came to some try")
        return result

    def _leader(self, group: str, round_: int) -> MemberId:
        """Whom to ask: the leader as this member's replica knows it, as last heard, else one copy after
        the other."""
        replica = self.replicas.get(group)
        if replica is not None and replica.leader_id and replica.leader_id != self.me and round_ % 2 == 1:
            return replica.leader_id
        if round_ == 1 and self._routes.get(group) in self.membership.alive():
            return self._routes[group]
        alive = {member_name(who): who for who in self.membership.alive() if who != self.me}
        others = [alive[name] for who in self._placed.get(group, ()) if (name := member_name(who)) in alive]
        if not others or round_ % 4 >= 2:  # copies may have moved since this member last heard: whoever lives
            others = sorted(alive.values())
        return others[round_ % len(others)] if others else ""

    def _end(self, now: float, token: str, number: int, result: ApplyResult | ClusterError) -> list[Effect]:
        """What became of a try."""
        call = self._calls.get(token)
        if call is None:
            return []  # it had its answer, or its time
        call.open.pop(number, None)
        if isinstance(result, NoLeader | Overloaded | UnknownOutcome | StorageFailed | InvariantBroken):
            # It is made again: its id, or the order that it states, makes a repeat of what was taken
            # harmless, and where a leader can promise nothing any more there will be another one.
            call.last = result
            call.maybe = call.maybe or isinstance(result, UnknownOutcome)
            if (
                number == call.tries
            ):  # an earlier one without an answer, at a lost member, keeps nobody waiting
                call.again = now + PAUSE_MS * self._draw.uniform(0.5, 1.5)
                self.due = min(self.due, call.again)
            return []
        if (
            call.open
            and (isinstance(result, ClusterError) or result.error is not None)
            and not call.command.reads
        ):
            call.last = result if isinstance(result, ClusterError) else result.error
            call.again = call.until  # another try of it is on its way and may yet be taken: its answer tells
            return []
        del self._calls[token]
        return call.answer(now, self._final(call, result))

    def _take(
        self,
        now: float,
        wall: float,
        group: str,
        command: Command,
        answer: Callable[[float, ApplyResult | ClusterError], list[Effect]],
    ) -> list[Effect]:
        """Let the replica here, which leads, carry a command out."""
        token = self._token()

        def looked(at: float, result: Any) -> list[Effect]:
            return answer(at, self.states[group].query(command) if result is None else result)

        self._ours[token] = looked if command.reads else answer
        if command.reads:
            return self._feed(now, group, ReadIndexRequest(token))
        # Until a majority's clocks were heard the group's time stands still: this machine's may be anywhere.
        return self._feed(now, group, ProposeCommand(token, encode(wall if self._timed else 0.0, command)))

    def _forwarded(self, now: float, wall: float, sender: MemberId, message: ForwardedCall) -> list[Effect]:
        """A call of another member."""

        def reply(at: float, result: ApplyResult | ClusterError) -> list[Effect]:
            leader = self.replicas[message.group].leader_id if message.group in self.replicas else ""
            body = msgspec.msgpack.encode(
                [result, None, leader] if isinstance(result, ApplyResult) else [None, result, leader]
            )
            return [SendMessage(sender, ForwardedReply(message.token, body))]

        try:
            _, command = decode(message.body)
        except msgspec.DecodeError as fault:
            return reply(now, InvalidCall(message.group, str(fault)))
        problem = command.validate()
        if problem:
            return reply(now, InvalidCall(command.id, problem))
        replica = self.replicas.get(message.group)
        if replica is None:
            return reply(now, NoLeader(message.group, f"no copy at {self.setup.me}"))
        if replica.leading:
            return self._take(now, wall, message.group, command, reply)
        return reply(now, NoLeader(message.group, f"not led by {self.setup.me}"))

    def _replied(self, now: float, wall: float, sender: MemberId, message: ForwardedReply) -> list[Effect]:
        token, _, digits = message.token.rpartition(".")
        call = self._calls.get(token)
        if call is None or not digits.isdecimal():
            return []
        try:
            applied, error, leader = _replies.decode(message.body)
        except msgspec.DecodeError:
            return []  # it is asked again, or ends as unknown
        result = applied if applied is not None else error
        if result is None:
            return []
        if leader:
            self._routes[call.group] = leader
        elif self._routes.get(call.group) == sender:
            del self._routes[call.group]
        number = int(digits)
        if isinstance(result, NoLeader) and number == call.tries and leader not in ("", sender, self.me):
            call.open.pop(number, None)
            call.again = now + self._timings.call_ms * TRY_PART
            return self._forward(wall, token, call, leader)
        return self._end(now, token, number, result)

    # A leader's work ----------------------------------------------------------------------------------------

    def _view(self, now: float, wall: float, replica: RaftNode) -> LeaderView:
        """What the parts of a group led here may look at."""
        places, load = self._places, self.load
        if replica.group == FLEET:
            parts = self.states[FLEET].parts
            places = parts["placing"]
            load = {
                **load,
                "promised": parts["contracts"].peak_reserved_rate(
                    wall, wall + parts["rolls"].planning_horizon_ms()
                ),
            }
        behind = {
            group: held.behind for group, held in places.groups.items() if held.behind
        }  # as leaders reported it
        for group, made in self.replicas.items():
            if made.leading:
                behind[group] = made.lagging_learners() + self._late(now, group, made)
        return LeaderView(
            now,
            wall,
            self.me,
            replica.leader_since_ms,
            self._timings,
            self._living(),
            self.membership.dead_for(now),
            self._halls,
            load,
            places.voters() or self._placed,
            behind,
        )

    def _living(self) -> frozenset[MemberId]:
        """Whom this process has heard since its start, and does not believe dead: one just started knows
        of nobody."""
        return frozenset(who for who in self.membership.alive() if who == self.me or who in self._met)

    def _work(self, now: float, wall: float, group: str, replica: RaftNode) -> list[Effect]:
        """What the leader of a group has to see to."""
        effects: list[Effect] = []
        state = self.states[group]
        commands = state.leader_tasks(self._view(now, wall, replica))
        if group != FLEET:
            commands += self._limits(group, state)
        for command in commands:
            if command.id not in self._working and len(self._working) < MOST_CALLS // 4:
                self._working[command.id] = None
                effects += self._ask(now, wall, command, self._worked(command))
        return effects

    def _limits(self, group: str, state: GroupStateMachine) -> list[Command]:
        """Servers whose limit the group does not know as this gateway does."""
        assert self.founding.record is not None
        known, idle = state.parts["connections"].servers, self.setup.idle_ms
        return [
            SetConnectionLimit(
                id=f"limit/{server}/{most}/{known[server].pool.capacity if server in known else 0:g}/{state.index}",
                server=server,
                max_connections=most,
                idle_timeout_ms=idle,
            )
            for server, most in self.limits.items()
            if (server not in known or known[server].pool.capacity != most)
            and group_of(server_bucket(server), self.founding.record.groups) == group
        ]

    def _worked(self, command: Command) -> Callable[[float, ApplyResult | ClusterError], list[Effect]]:
        def answer(now: float, result: ApplyResult | ClusterError) -> list[Effect]:
            self._working.pop(command.id, None)
            return []

        return answer

    def _read_places(self, now: float, wall: float) -> list[Effect]:
        """Hear now and then who copies what; where something is led here, bring its members in line with
        it."""
        leads = any(replica.leading for replica in self.replicas.values())
        if self._reading or not (leads or self._heard_at <= now):
            return []
        self._heard_at = now + HEARD_MS
        self._reading, self._read_at = True, now

        def read(at: float, result: ApplyResult | ClusterError) -> list[Effect]:
            self._reading = False
            if not isinstance(result, ApplyResult) or result.error is not None:
                return []
            self._places = PlacementDirectory(self._timings, self.rules)
            self._places.load(result.value["state"])
            self._placed = self._places.voters()
            self.membership.know(at, (who for who, _ in self._places.members.values()))
            effects: list[Effect] = []
            for group, replica in list(self.replicas.items()):
                if replica.leading and group not in self._changing and self._leaving is None:
                    effects += self._members(at, wall, group, replica)
                    if group in self._places.moves:
                        self._places_at = min(self._places_at, at + SOON_MS)
            return effects

        return self._ask(now, wall, ReadPlacement(id=self._token()), read)

    def _well(self) -> bool:
        """Whether all known members live, nothing moves, and nobody is behind: as last read, and in groups
        led here."""
        return (
            not self._places.moves
            and len(self.membership.alive()) >= len(self._places.members)
            and not any(held.behind for held in self._places.groups.values())
            and not any(
                replica.leading and (replica.config.learners or replica.lagging_voters())
                for replica in self.replicas.values()
            )
        )

    def _late(self, now: float, group: str, replica: RaftNode) -> tuple[MemberId, ...]:
        """Voters that have long not caught up: not each lag is an entry in the fleet's log.  A leader that
        has only just begun knows of none how long; it counts those of whom it has not heard yet."""
        lagging = replica.lagging_voters()
        self._lags = {key: since for key, since in self._lags.items() if key[0] != group or key[1] in lagging}
        fresh = now - replica.leader_since_ms < LATE_MS
        return tuple(
            who for who in lagging if now - self._lags.setdefault((group, who), now) >= LATE_MS or fresh
        )

    def _members(self, now: float, wall: float, group: str, replica: RaftNode) -> list[Effect]:
        """One step of a change of members, or the report of how they stand."""
        if replica.commit_index < replica.config_index:
            return []
        behind = replica.lagging_learners()
        step = self._places.wanted(group, replica.config, behind, self.membership.alive())
        if step is None:
            report = self._places.report(
                group, replica.config, replica.config_index, self._late(now, group, replica)
            )
            if report is None or report.id in self._working:
                return []
            self._working[report.id] = None
            return self._ask(now, wall, report, self._worked(report))
        if step.action == "remove" and step.member == self.me:
            return self._feed(now, group, TransferLeadership())
        token = self._token()
        self._changing[group] = None

        def changed(at: float, result: Any) -> list[Effect]:
            self._changing.pop(group, None)
            # The next step does not wait for its turn.
            self._places_at = self._work_at = min(self._places_at, at + SOON_MS)
            return []

        self._ours[token] = changed
        return self._feed(now, group, replace(step, token=token))

    # For operators ------------------------------------------------------------------------------------------

    def status(self) -> dict[str, Any]:
        """Members as believed, groups with leader, copies and what is behind; whether this one promises."""
        return {
            "me": self.me,
            "founded": self.founding.record is not None,
            "promises": "yes" if self._broken is None else str(self._broken),
            "members": {name: self.membership.state_of(name) for name in self._halls},
            "groups": {
                group: {
                    "leader": replica.leader_id,
                    "term": replica.current_term,
                    "commit": replica.commit_index,
                    "voters": list(replica.config.voters),
                    "learners": list(replica.config.learners),
                    "behind": list(replica.lagging_learners()) if replica.leading else None,
                }
                for group, replica in self.replicas.items()
            },
            "invariants_broken": [f"{rule.name}: {facts}" for rule, facts in self.rules.broken],
        }
