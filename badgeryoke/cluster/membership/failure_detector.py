"""SWIM's failure detector with Lifeguard's extensions: pings, indirect pings and suspicion timeouts."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from random import Random

from badgeryoke.cluster.events import SendMessage
from badgeryoke.cluster.membership.dissemination import GossipQueue
from badgeryoke.cluster.membership.local_health import LocalHealth
from badgeryoke.cluster.membership.member_table import MemberRecord, MemberState, MemberTable
from badgeryoke.cluster.membership.update_rules import MAX_CONFIRMATIONS, Effects, UpdateRules
from badgeryoke.cluster.messages import Ack, MemberId, Nack, Ping, PingRequest, member_name
from badgeryoke.cluster.timings import Timings

INDIRECT_PING_PROXIES = 3  # members asked to ping in this member's place (SWIM's k)
MAX_OUTSTANDING = 64  # pings, and relayed pings, that are remembered; the oldest goes
MAX_PING_WAIT_PERIODS = 4.0  # a ping over a slow link waits so many protocol periods at most
MAX_SUSPICION_MULTIPLE = 3.0  # times the minimum suspicion timeout, where nobody else suspects
NACK_AFTER_FRACTION = 0.8  # of the ping timeout: a proxy that heard nothing says so
ROUND_TRIP_MULTIPLE = 1.5  # of the known round trip, before proxies are asked
FAILURE_ROUND_TRIP_MULTIPLE = 3  # of the known round trip, before a ping has failed
ROUND_TRIP_DECAY = 0.75  # of a member's recent maximum, with each answer
ROUND_TRIP_GAIN = 0.25  # weight of a new sample in the mean over all members


@dataclass(slots=True)
class _OutstandingPing:
    """A ping without an answer, or a finished one that is kept to learn how long its answer takes."""

    name: str
    sent_at: float
    ask_proxies_at: float
    fails_at: float
    proxy_count: int = 0
    nacks_from: set[MemberId] = field(default_factory=set)
    is_finished: bool = False


@dataclass(slots=True)
class _RelayedPing:
    """An indirect ping that this member sent for another."""

    requester: MemberId
    request_seq: int
    target: MemberId
    nack_at: float
    forget_at: float


def suspicion_timeout_ms(confirmations: int, running_count: int, timings: Timings) -> float:
    """Lifeguard's suspicion timeout: shorter with each independent suspicion, longer in a larger cluster.

    `confirmations` counts all who suspect, `running_count` all members that count as running.
    """
    minimum = timings.suspect_periods * timings.probe_ms * max(1.0, math.log10(running_count))
    possible = min(MAX_CONFIRMATIONS, running_count - 2)
    if possible < 1:
        return MAX_SUSPICION_MULTIPLE * minimum
    confirmed = min(math.log(confirmations) / math.log(possible + 1), 1.0) if confirmations else 0.0
    return minimum * (MAX_SUSPICION_MULTIPLE - (MAX_SUSPICION_MULTIPLE - 1.0) * confirmed)


class FailureDetector:
    """Pings one member in each protocol period, in a shuffled round, and times suspicions."""

    def __init__(
        self,
        table: MemberTable,
        gossip: GossipQueue,
        rules: UpdateRules,
        health: LocalHealth,
        timings: Timings,
        draw: Random,
        now: float,
    ) -> None:
        self._table, self._gossip, self._rules, self._health = table, gossip, rules, health
        self._timings, self._draw = timings, draw
        # Drawn, so that an answer to an earlier process of this name answers nothing here.
        self._last_seq = draw.getrandbits(40)
        self._pings: dict[int, _OutstandingPing] = {}
        self._relayed: dict[int, _RelayedPing] = {}
        self._round: list[str] = []  # names still to be pinged in this round, the last one first
        self._period_count = 0
        # Over all members: where all links are slow, no member is dead because of it.
        self._mean_round_trip_ms = 0.0
        self.next_period_at = now + draw.random() * timings.probe_ms if len(table) else math.inf

    def due_at(self) -> float:
        """When the next timer ends."""
        unfinished = [ping for ping in self._pings.values() if not ping.is_finished]
        return min(
            self.next_period_at,
            min((min(ping.ask_proxies_at, ping.fails_at) for ping in unfinished), default=math.inf),
            min((min(one.nack_at, one.forget_at) for one in self._relayed.values()), default=math.inf),
            min((self._dead_at(self._table[name]) for name in self._table.suspected_names), default=math.inf),
        )

    def restart(self, now: float) -> None:
        """After this process was frozen: what was under way says something of this process alone."""
        self._pings.clear()
        self._relayed.clear()
        self.next_period_at = now

    def stop(self) -> None:
        """Send no more pings of this member's own."""
        self.next_period_at = math.inf
        self._pings.clear()

    def announce_to_some(self, effects: Effects) -> None:
        """Ping a few members only for the gossip that goes along."""
        for record in self._sample_alive("", INDIRECT_PING_PROXIES):
            ping = Ping(self._new_seq(), record.id, self._gossip.take(record.name))
            effects.append(SendMessage(record.id, ping))

    # Answers

    def on_ack(self, now: float, sender: MemberId, ack: Ack, effects: Effects) -> MemberRecord | None:
        """Match an answer to a ping sent or relayed here; gives the record of whom it proves alive, if any.

        The sequence number is one of this member's own, so the proof holds whoever passed it on.
        """
        name = member_name(ack.target)
        relayed = self._relayed.pop(ack.seq, None)
        if relayed is not None and member_name(relayed.target) == name:
            answer = Ack(relayed.request_seq, ack.target, self._gossip.take(member_name(relayed.requester)))
            effects.append(SendMessage(relayed.requester, answer))
        ping = self._pings.get(ack.seq)
        if ping is None or ping.name != name:
            return self._table.get(name) if relayed is not None else None
        record = self._table[ping.name]
        if sender == ack.target:
            del self._pings[ack.seq]
            self._learn_round_trip(record, now - ping.sent_at)
        if not ping.is_finished:
            ping.is_finished = True
            self._health.improve()
        return record

    def _learn_round_trip(self, record: MemberRecord, round_trip_ms: float) -> None:
        record.round_trip_ms = max(round_trip_ms, record.round_trip_ms * ROUND_TRIP_DECAY)
        self._mean_round_trip_ms += ROUND_TRIP_GAIN * (round_trip_ms - self._mean_round_trip_ms)

    def on_nack(self, sender: MemberId, nack: Nack) -> None:
        """A proxy lives and heard nothing of the target: the fault is less likely to lie here."""
        ping = self._pings.get(nack.seq)
        if ping is not None and not ping.is_finished and len(ping.nacks_from) < INDIRECT_PING_PROXIES:
            ping.nacks_from.add(sender)

    def on_ping_request(
        self, now: float, requester: MemberId, request: PingRequest, effects: Effects
    ) -> None:
        """Ping the target for another member, or answer where this member is the target."""
        local, target_name = self._table.local, member_name(request.target)
        if target_name == local.name:
            answer = Ack(request.seq, local.id, self._gossip.take(member_name(requester)))
            effects.append(SendMessage(requester, answer))
            return
        if target_name not in self._table:
            return
        seq = self._new_seq()
        _drop_oldest(self._relayed)
        self._relayed[seq] = _RelayedPing(
            requester,
            request.seq,
            request.target,
            nack_at=now + NACK_AFTER_FRACTION * self._timings.probe_timeout_ms,
            forget_at=now + MAX_PING_WAIT_PERIODS * self._timings.probe_ms,
        )
        ping = Ping(seq, request.target, self._gossip.take(target_name))
        effects.append(SendMessage(request.target, ping))

    # Timers

    def run_timers(self, now: float, effects: Effects) -> None:
        """Do all that is due: fail or extend pings, send Nacks, end suspicions, begin a protocol period."""
        for seq, ping in list(self._pings.items()):
            self._run_ping_timer(now, seq, ping, effects)
        for seq, relayed in list(self._relayed.items()):
            self._run_relay_timer(now, seq, relayed, effects)
        for name in list(self._table.suspected_names):
            record = self._table[name]
            if now >= self._dead_at(record):
                self._rules.report_dead(now, record, effects)
        if now >= self.next_period_at:
            self.next_period_at = now + self._timings.probe_ms * self._health.multiplier
            self._begin_period(now, effects)

    def _run_ping_timer(self, now: float, seq: int, ping: _OutstandingPing, effects: Effects) -> None:
        if ping.is_finished:
            if now >= ping.fails_at + MAX_PING_WAIT_PERIODS * self._timings.probe_ms:
                del self._pings[seq]
        elif now >= ping.fails_at:
            self._fail_ping(now, ping, effects)
        elif now >= ping.ask_proxies_at:
            self._ask_proxies(seq, ping, effects)

    def _ask_proxies(self, seq: int, ping: _OutstandingPing, effects: Effects) -> None:
        ping.ask_proxies_at = math.inf
        target = self._table[ping.name].id
        proxies = self._sample_alive(ping.name, INDIRECT_PING_PROXIES)
        ping.proxy_count = len(proxies)
        for proxy in proxies:
            request = PingRequest(seq, target, self._gossip.take(proxy.name))
            effects.append(SendMessage(proxy.id, request))

    def _fail_ping(self, now: float, ping: _OutstandingPing, effects: Effects) -> None:
        ping.is_finished = True
        # Each proxy that answered nothing at all counts against this member's own links (Lifeguard).
        self._health.degrade(ping.proxy_count - len(ping.nacks_from) if ping.proxy_count else 1)
        if self._rules.report_failed_ping(now, self._table[ping.name], effects):
            self._round.append(ping.name)  # pinged again in the next period: that tells it of the suspicion

    def _run_relay_timer(self, now: float, seq: int, relayed: _RelayedPing, effects: Effects) -> None:
        if now >= relayed.forget_at:
            del self._relayed[seq]
        elif now >= relayed.nack_at:
            relayed.nack_at = math.inf
            gossip = self._gossip.take(member_name(relayed.requester))
            nack = Nack(relayed.request_seq, relayed.target, gossip)
            effects.append(SendMessage(relayed.requester, nack))

    def _dead_at(self, record: MemberRecord) -> float:
        return record.state_since_ms + suspicion_timeout_ms(
            len(record.suspected_by), self._table.running_count(), self._timings
        )

    def _begin_period(self, now: float, effects: Effects) -> None:
        """Ping the next running member of the round; in every second period also one that is dead."""
        self._period_count += 1
        dead = [record for record in self._table if not record.state.is_running]
        if dead and self._period_count % 2 == 0:
            self._ping_dead(now, self._draw.choice(dead), effects)
        for _ in range(2):
            while self._round:
                record = self._table[self._round.pop()]
                if record.state.is_running:
                    self._ping(now, record, record.id, effects)
                    return
            self._round = self._table.names()
            self._draw.shuffle(self._round)

    def _ping_dead(self, now: float, record: MemberRecord, effects: Effects) -> None:
        """Ping by the name alone, without suspicion: another incarnation may live there now.

        Where all members that this one knew were lost in turn, no third is left to tell of it.
        """
        self._ping(now, record, record.name + "/", effects).is_finished = True

    def _ping(self, now: float, record: MemberRecord, to: MemberId, effects: Effects) -> _OutstandingPing:
        seq, multiplier = self._new_seq(), self._health.multiplier
        round_trip_ms = max(record.round_trip_ms, self._mean_round_trip_ms)
        proxies_after_ms = max(
            self._timings.probe_timeout_ms * multiplier, ROUND_TRIP_MULTIPLE * round_trip_ms
        )
        fails_after_ms = max(
            self._timings.probe_ms * multiplier,
            min(FAILURE_ROUND_TRIP_MULTIPLE * round_trip_ms, MAX_PING_WAIT_PERIODS * self._timings.probe_ms),
        )
        _drop_oldest(self._pings)
        ping = self._pings[seq] = _OutstandingPing(
            record.name,
            sent_at=now,
            ask_proxies_at=now + min(proxies_after_ms, fails_after_ms),
            fails_at=now + fails_after_ms,
        )
        effects.append(SendMessage(to, Ping(seq, to, self._gossip.take(record.name))))
        return ping

    def _sample_alive(self, excluded_name: str, count: int) -> list[MemberRecord]:
        found = [
            record
            for record in self._table
            if record.state == MemberState.ALIVE and record.is_known and record.name != excluded_name
        ]
        return self._draw.sample(found, min(count, len(found)))

    def _new_seq(self) -> int:
        self._last_seq += 1
        return self._last_seq


def _drop_oldest(table: dict[int, _OutstandingPing] | dict[int, _RelayedPing]) -> None:
    """Make place for one more; a late answer to what is dropped proves nothing."""
    while len(table) >= MAX_OUTSTANDING:
        del table[next(iter(table))]
