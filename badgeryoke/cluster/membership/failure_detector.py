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

INDIRECT_PING_PROXIES = 3  # members that are asked for an indirect ping (SWIM's k)
MAX_OUTSTANDING_PINGS = 64  # tracked pings, and as many relayed ones; the oldest is dropped
MAX_PING_WAIT_PERIODS = 4.0  # protocol periods that a ping over a slow link waits at most
MAX_SUSPICION_MULTIPLE = 3.0  # multiple of the minimum suspicion timeout while no other member confirms it
NACK_AFTER_FRACTION = 0.8  # fraction of the ping timeout after which a proxy without an Ack sends a Nack
INDIRECT_PING_ROUND_TRIP_MULTIPLE = 1.5  # multiple of the measured round trip after which proxies are asked
FAILURE_ROUND_TRIP_MULTIPLE = 3  # multiple of the measured round trip after which a ping fails
ROUND_TRIP_DECAY = 0.75  # factor on a member's recent maximum, at each Ack
ROUND_TRIP_GAIN = 0.25  # weight of a new sample in the moving average over all members


@dataclass(slots=True)
class _OutstandingPing:
    """A ping without an Ack, or a finished one that is kept to measure a late Ack's round trip."""

    name: str
    sent_at: float
    ask_proxies_at: float
    fails_at: float
    proxy_count: int = 0
    nacks_from: set[MemberId] = field(default_factory=set)
    is_finished: bool = False


@dataclass(slots=True)
class _RelayedPing:
    """An indirect ping that this member sent on behalf of another."""

    requester: MemberId
    request_seq: int
    target: MemberId
    nack_at: float
    drop_at: float


def suspicion_timeout_ms(confirmations: int, running_count: int, timings: Timings) -> float:
    """Lifeguard's suspicion timeout: shorter with each independent suspicion, longer in a larger cluster.

    `confirmations` is the number of members that suspect the member, `running_count` the number of running members,
    suspected ones included.
    """
    minimum = timings.suspect_periods * timings.probe_ms * max(1.0, math.log10(running_count))
    max_confirmations = min(MAX_CONFIRMATIONS, running_count - 2)
    if max_confirmations < 1:
        return MAX_SUSPICION_MULTIPLE * minimum
    confirmed_fraction = (
        min(math.log(confirmations) / math.log(max_confirmations + 1), 1.0) if confirmations else 0.0
    )
    return minimum * (MAX_SUSPICION_MULTIPLE - (MAX_SUSPICION_MULTIPLE - 1.0) * confirmed_fraction)


class FailureDetector:
    """Pings one member in each protocol period, in shuffled order, and times suspicions."""

    def __init__(
        self,
        table: MemberTable,
        gossip: GossipQueue,
        rules: UpdateRules,
        health: LocalHealth,
        timings: Timings,
        rng: Random,
        now: float,
    ) -> None:
        self._table, self._gossip, self._rules, self._health = table, gossip, rules, health
        self._timings, self._rng = timings, rng
        # Random, so that an Ack for an earlier process of this name matches no ping of this one.
        self._last_seq = rng.getrandbits(40)
        self._pings: dict[int, _OutstandingPing] = {}
        self._relayed: dict[int, _RelayedPing] = {}
        self._round: list[str] = []  # names still to be pinged in this round, in reverse order
        self._period_count = 0
        # Averaged over all members, so that slow links everywhere do not make members look dead.
        self._mean_round_trip_ms = 0.0
        self.next_period_at = now + rng.random() * timings.probe_ms if len(table) else math.inf

    def due_at(self) -> float:
        """When the next timer expires."""
        unfinished = [ping for ping in self._pings.values() if not ping.is_finished]
        return min(
            self.next_period_at,
            min((min(ping.ask_proxies_at, ping.fails_at) for ping in unfinished), default=math.inf),
            min(
                (min(relayed.nack_at, relayed.drop_at) for relayed in self._relayed.values()),
                default=math.inf,
            ),
            min((self._dead_at(self._table[name]) for name in self._table.suspected_names), default=math.inf),
        )

    def restart(self, now: float) -> None:
        """Drop the pings in flight after this process was frozen, as they prove nothing about other members."""
        self._pings.clear()
        self._relayed.clear()
        self.next_period_at = now

    def stop(self) -> None:
        """Stop sending this member's own pings."""
        self.next_period_at = math.inf
        self._pings.clear()

    def announce_to_some(self, effects: Effects) -> None:
        """Ping a few members only to send them gossip."""
        for record in self._sample_alive("", INDIRECT_PING_PROXIES):
            ping = Ping(self._new_seq(), record.id, self._gossip.take_updates(record.name))
            effects.append(SendMessage(record.id, ping))

    # Received messages

    def on_ack(self, now: float, sender: MemberId, ack: Ack, effects: Effects) -> MemberRecord | None:
        """Match an Ack to a ping sent or relayed here; returns the record of the member that it proves alive, if any.

        The sequence number is one of this member's own, so the proof holds whichever member relayed the Ack.
        """
        name = member_name(ack.target)
        relayed = self._relayed.pop(ack.seq, None)
        if relayed is not None and member_name(relayed.target) == name:
            relayed_ack = Ack(
                relayed.request_seq, ack.target, self._gossip.take_updates(member_name(relayed.requester))
            )
            effects.append(SendMessage(relayed.requester, relayed_ack))
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
        """Count a proxy that replied without reaching the target: this member's own links are less likely at fault."""
        ping = self._pings.get(nack.seq)
        if ping is not None and not ping.is_finished and len(ping.nacks_from) < INDIRECT_PING_PROXIES:
            ping.nacks_from.add(sender)

    def on_ping_request(
        self, now: float, requester: MemberId, request: PingRequest, effects: Effects
    ) -> None:
        """Ping the target for another member, or reply at once if this member is the target."""
        local, target_name = self._table.local, member_name(request.target)
        if target_name == local.name:
            ack = Ack(request.seq, local.id, self._gossip.take_updates(member_name(requester)))
            effects.append(SendMessage(requester, ack))
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
            drop_at=now + MAX_PING_WAIT_PERIODS * self._timings.probe_ms,
        )
        ping = Ping(seq, request.target, self._gossip.take_updates(target_name))
        effects.append(SendMessage(request.target, ping))

    # Timers

    def run_timers(self, now: float, effects: Effects) -> None:
        """Run all due timers: indirect and failed pings, Nacks, suspicion timeouts, and the next protocol period."""
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
            request = PingRequest(seq, target, self._gossip.take_updates(proxy.name))
            effects.append(SendMessage(proxy.id, request))

    def _fail_ping(self, now: float, ping: _OutstandingPing, effects: Effects) -> None:
        ping.is_finished = True
        # Each proxy that sent no Nack counts against this member's own links (Lifeguard).
        self._health.degrade(ping.proxy_count - len(ping.nacks_from) if ping.proxy_count else 1)
        if self._rules.report_failed_ping(now, self._table[ping.name], effects):
            # It is pinged again in the next period, which notifies it of the suspicion.
            self._round.append(ping.name)

    def _run_relay_timer(self, now: float, seq: int, relayed: _RelayedPing, effects: Effects) -> None:
        if now >= relayed.drop_at:
            del self._relayed[seq]
        elif now >= relayed.nack_at:
            relayed.nack_at = math.inf
            gossip = self._gossip.take_updates(member_name(relayed.requester))
            nack = Nack(relayed.request_seq, relayed.target, gossip)
            effects.append(SendMessage(relayed.requester, nack))

    def _dead_at(self, record: MemberRecord) -> float:
        return record.state_since_ms + suspicion_timeout_ms(
            len(record.suspected_by), self._table.running_count(), self._timings
        )

    def _begin_period(self, now: float, effects: Effects) -> None:
        """Ping the next running member of the round; in every second period also a random member that is not running."""
        self._period_count += 1
        not_running = [record for record in self._table if not record.state.is_running]
        if not_running and self._period_count % 2 == 0:
            self._ping_not_running(now, self._rng.choice(not_running), effects)
        for _ in range(2):
            while self._round:
                record = self._table[self._round.pop()]
                if record.state.is_running:
                    self._ping(now, record, record.id, effects)
                    return
            self._round = self._table.names()
            self._rng.shuffle(self._round)

    def _ping_not_running(self, now: float, record: MemberRecord, effects: Effects) -> None:
        """Ping a dead or departed member by its name alone, without suspicion, as a new incarnation may run there.

        If all incarnations known here were replaced one after another, no other member can announce the new ones.
        """
        self._ping(now, record, record.name + "/", effects).is_finished = True

    def _ping(self, now: float, record: MemberRecord, to: MemberId, effects: Effects) -> _OutstandingPing:
        seq, multiplier = self._new_seq(), self._health.multiplier
        round_trip_ms = max(record.round_trip_ms, self._mean_round_trip_ms)
        proxies_after_ms = max(
            self._timings.probe_timeout_ms * multiplier, INDIRECT_PING_ROUND_TRIP_MULTIPLE * round_trip_ms
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
        effects.append(SendMessage(to, Ping(seq, to, self._gossip.take_updates(record.name))))
        return ping

    def _sample_alive(self, excluded_name: str, count: int) -> list[MemberRecord]:
        candidates = [
            record
            for record in self._table
            if record.state == MemberState.ALIVE and record.is_known and record.name != excluded_name
        ]
        return self._rng.sample(candidates, min(count, len(candidates)))

    def _new_seq(self) -> int:
        self._last_seq += 1
        return self._last_seq


def _drop_oldest(table: dict[int, _OutstandingPing] | dict[int, _RelayedPing]) -> None:
    """Drop the oldest pings until one more fits; a late Ack for a dropped ping is ignored."""
    while len(table) >= MAX_OUTSTANDING_PINGS:
        del table[next(iter(table))]
