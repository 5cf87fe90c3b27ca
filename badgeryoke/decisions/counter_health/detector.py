"""Derives the state of the counter from the replies to this gateway's own calls.  No I/O: calls are returned as
data, and times are passed in.

There are two separate results.  The *visibility*, by which quotas are granted, decreases at once with a reading,
and increases no sooner than MIN_STATE_DURATION_MS after its last change.  The *state*, which is logged and shown
to operators, follows TRANSITIONS and never changes twice within MIN_STATE_DURATION_MS.

Gateways share nothing but the counter, so the only evidence that another gateway is alive is that its digit in the
presence register still grows (see `presence_register`).  A digit that does not grow has three possible causes,
which no call can distinguish: the other gateway is dead, it is cut off from the counter, or it writes to another
part of a partitioned counter.  Grants are safe in all three cases.  The state also depends on the request rate:
clients of a dead gateway move to the remaining ones, while those of a partitioned gateway stay with it.
"""

from __future__ import annotations

import math

from badgeryoke.decisions.counter_health import presence_register, register_calls
from badgeryoke.decisions.counter_health.counter_state import (
    TRANSITIONS,
    CounterState,
    CounterStateChange,
    Symptom,
)
from badgeryoke.decisions.counter_health.heartbeat_schedule import HeartbeatSchedule
from badgeryoke.decisions.counter_health.hidden_gateways import HiddenGatewayDiagnosis
from badgeryoke.decisions.counter_health.peer_heartbeats import PeerHeartbeats
from badgeryoke.decisions.counter_health.presence_register import (
    GATEWAYS_PER_REGISTER,
    HEARTBEAT_INTERVAL_MS,
    MAX_GENERATION,
    MEMBERSHIP_PERIOD_MS,
    REGISTER_PERIOD_MS,
    RegisterKind,
)
from badgeryoke.decisions.counter_health.register_calls import RegisterCall
from badgeryoke.decisions.counter_health.reply_monitor import ReplyMonitor
from badgeryoke.decisions.counter_health.visibility import Visibility

MAX_HIDDEN_USE_MS = 10_000.0  # longest time before their detection for which hidden gateways' use is charged
MIN_STATE_DURATION_MS = 2000.0  # time between two changes of the state, and before visibility increases
EPOCH_MS = 60_000.0  # epochs end at the same time at all gateways, which bounds how long they can differ
EPOCHS_PER_PERIOD = 10  # epoch number = number of its register period * this + generation
MIN_EXTRA_CALL_GAP_MS = 4000.0  # time between extra calls; with the heartbeats, at most 2 calls/s
MAX_UNREAD_CHANGES = 64


class CounterHealthDetector:
    """One gateway's health check of the counter; quotas are granted by its `visibility`."""

    def __init__(self, gateway_index: int, gateway_count: int, timeout_ms: float) -> None:
        self.gateway_index, self.gateway_count = gateway_index, gateway_count
        self.visibility = Visibility(gateway_index, gateway_count)
        self.state = CounterState.UNKNOWN
        self.changes: list[CounterStateChange] = []  # not yet returned by take_changes
        self.peers = PeerHeartbeats(gateway_index, gateway_count)
        self.group = self.peers.group
        self.started_at = self._changed_at = math.nan
        self._replies = ReplyMonitor(timeout_ms)
        self._diagnosis = HiddenGatewayDiagnosis()
        self._schedule = HeartbeatSchedule(gateway_index, gateway_count)
        self._is_starting = True  # until each register was read twice, no gateway is known to be alive
        self._reading_count = 0
        self._rotation_index = 0
        self._own_digit = 0  # this gateway's digit as last read
        self._own_period = -1  # the period in which it was read
        self._previous_own_digit = 0  # this gateway's digit as last read in the previous period
        self._previous_period_closed = True  # the previous period's register was read a last time
        # The membership periods last written to and last read.
        self._registered_period = self._members_period = -1
        self._generation = self._seen_generation = 0
        self._heartbeats_to_publish = 0  # heartbeats until a loss of data is published; 0: nothing to publish
        self._epoch_window = -1  # number of the present period of EPOCH_MS
        self._data_lost_at = self._unreachable_at = -math.inf
        self._calls_in_flight = 0
        self._last_extra_call_at = -math.inf

    # Calls to the counter -------------------------------------------------------------------------------

    def next_heartbeat_at(self, now: float) -> float:
        """When the next call is due."""
        return self._schedule.next_at(now)

    def heartbeat(self, now: float) -> list[RegisterCall]:
        """The calls that are due now: the heartbeat, and at most one more."""
        if math.isnan(self.started_at):
            self._start(now)
        self._diagnosis.request_rate.sample(now)
        epoch_window = int(now // EPOCH_MS)
        if epoch_window != self._epoch_window:  # customers' next periods use names without an epoch again
            self._epoch_window = epoch_window
            self.visibility.epoch = 0
        if self._calls_in_flight:  # they end by their timeout at the latest
            return []
        if not self._schedule.start(now):
            return []
        group = self.peers.group_rotation[self._rotation_index % len(self.peers.group_rotation)]
        self._rotation_index += 1
        period = int(now // REGISTER_PERIOD_MS)
        if group == self.group:
            calls = [self._own_heartbeat(period)]
        else:
            calls = [register_calls.heartbeat_call(group, period, 0.0)]
        if not self._schedule.is_backing_off and (extra := self._extra_call(now, period)) is not None:
            calls.append(extra)
            self._last_extra_call_at = now
        self._calls_in_flight = len(calls)
        return calls

    def _start(self, now: float) -> None:
        self.started_at = self.visibility.started_at = self._changed_at = now
        self.peers.started_at = self._replies.last_success_at = now
        if self.peers.neighbours:  # no other gateway is visible yet
            self.visibility.update_view(now, False, frozenset(self.peers.neighbours), frozenset(), 0.0)
        else:
            self._is_starting = False

    def _own_heartbeat(self, period: int) -> RegisterCall:
        if period != self._own_period:
            self._previous_period_closed = self._own_period != period - 1
            self._previous_own_digit, self._own_digit, self._own_period = self._own_digit, 0, period
            self._generation = self._seen_generation = 0
        can_grow = self._own_digit < presence_register.MAX_DIGIT
        units = presence_register.digit_unit(self.gateway_index) if can_grow else 0.0
        return register_calls.heartbeat_call(self.group, period, units, self._generations_to_publish())

    def _extra_call(self, now: float, period: int) -> RegisterCall | None:
        """A call beside the heartbeat: for a membership register, or the final read of the previous period."""
        membership_period = int(now // MEMBERSHIP_PERIOD_MS)
        is_new = now - self.started_at < 2 * HEARTBEAT_INTERVAL_MS
        if not is_new and now - self._last_extra_call_at < MIN_EXTRA_CALL_GAP_MS:
            return None
        if self._registered_period != membership_period:
            is_first, self._registered_period = self._registered_period < 0, membership_period
            if not is_first:
                self._members_period = membership_period - 1
            unit = presence_register.digit_unit(self.gateway_index)
            return register_calls.membership_call(self.group, membership_period, unit)
        if self._members_period != membership_period - 1:
            self._members_period = membership_period - 1
            return register_calls.membership_call(self.group, membership_period - 1, 0.0)
        if not self._previous_period_closed and self._own_period == period:
            self._previous_period_closed = True
            return register_calls.heartbeat_call(self.group, period - 1, 0.0)
        return None

    def _generations_to_publish(self) -> int:
        """Generations to add with this heartbeat: a loss of data detected here that is not published yet.

        Each gateway of a group waits one heartbeat longer than the previous one, so that usually only one publishes.
        """
        if not self._heartbeats_to_publish:
            return 0
        self._heartbeats_to_publish -= 1
        if self._heartbeats_to_publish or self._seen_generation >= MAX_GENERATION:
            return 0
        return max(max(self._generation, 1) - self._seen_generation, 0)

    # Replies --------------------------------------------------------------------------------------------

    def register_replied(
        self,
        now: float,
        call: RegisterCall,
        succeeded: bool,
        rtt_ms: float,
        total: float,
        overloaded: bool = False,
        connect_failed: bool = False,
    ) -> None:
        """Process the reply to a register call; `overloaded`: it was rejected by a full queue."""
        self._calls_in_flight = max(self._calls_in_flight - 1, 0)
        self.call_ended(now, succeeded, rtt_ms, connect_failed)
        if not succeeded:
            if call.published_generations:  # may not be recorded: published again with the next heartbeat
                self._heartbeats_to_publish = 1
            if overloaded:
                self._schedule.back_off()
            self.update_state(now)
            return
        self._schedule.reset_backoff()
        digits = presence_register.decode_digits(total)
        if call.kind is RegisterKind.MEMBERSHIP:
            self.peers.record_members(call.group, digits)
        else:
            self._read_heartbeats(now, call, digits)
        self.update_state(now)

    def _read_heartbeats(self, now: float, call: RegisterCall, digits: tuple[int, ...]) -> None:
        if call.period == int(now // REGISTER_PERIOD_MS):
            self._reading_count += 1
            self.peers.record_reading(now, call.group)
        if call.group == self.group:
            self._check_own_digit(now, call, digits)
        self.peers.record_digits(now, call.group, call.period, digits)

    def _check_own_digit(self, now: float, call: RegisterCall, digits: tuple[int, ...]) -> None:
        """Check whether the counter has lost data: an own digit below the confirmed value proves it."""
        own_digit = digits[self.gateway_index % GATEWAYS_PER_REGISTER]
        if call.period == self._own_period:
            expected = self._own_digit + call.is_heartbeat
            self._own_digit = own_digit
            generation = digits[GATEWAYS_PER_REGISTER]
            self._seen_generation = generation
            if generation > self._generation:  # another gateway has published a loss
                self._generation = generation
                self._heartbeats_to_publish = 0
                self.visibility.start_epoch(call.period * EPOCHS_PER_PERIOD + generation)
                self._data_lost_at = now
            if own_digit < expected:
                self._start_new_epoch(now, call.period)
        elif call.period == self._own_period - 1 and own_digit < self._previous_own_digit:
            self._start_new_epoch(now, self._own_period)

    def _start_new_epoch(self, now: float, period: int) -> None:
        """Move customers' names to a new epoch after the counter has lost units that it had confirmed."""
        self._data_lost_at = now
        if self._generation < MAX_GENERATION:
            self._generation += 1
        self.visibility.start_epoch(period * EPOCHS_PER_PERIOD + self._generation)
        self._heartbeats_to_publish = 2 + self.gateway_index % GATEWAYS_PER_REGISTER

    def call_ended(self, now: float, succeeded: bool, rtt_ms: float, connect_failed: bool = False) -> None:
        """Process the outcome of any call of this gateway: customers' calls show the counter's health too."""
        self._replies.record(now, succeeded, rtt_ms, connect_failed)
        is_known = succeeded or self.visibility.counter_unreachable
        if not is_known and self._replies.is_unreachable(now):
            self.update_state(now)

    def request_arrived(self) -> None:
        """Count a client's request."""
        self._diagnosis.request_rate.request_arrived()

    # State and visibility --------------------------------------------------------------------------------

    def update_state(self, now: float) -> None:
        """Update visibility and state from the replies so far."""
        unreachable = self._replies.is_unreachable(now)
        if self._is_starting:
            if not unreachable and self._reading_count < 2 * len(set(self.peers.group_rotation)):
                return
            self._is_starting = False
            self.visibility.changed_at = -math.inf  # the initial visibility may be replaced at once
        suspected: frozenset[int] = frozenset()
        hidden: tuple[int, ...] = ()
        if not unreachable:
            is_slow = self._replies.is_slow or self._schedule.is_backing_off
            suspected, hidden = self.peers.find_hidden(now, is_slow, self._unreachable_at)
        self._update_visibility(now, unreachable, suspected)
        symptom = self._find_symptom(now, unreachable, hidden)
        new_state = TRANSITIONS[self.state][symptom]
        if new_state is self.state:
            return
        if self.state is not CounterState.UNKNOWN and now - self._changed_at < MIN_STATE_DURATION_MS:
            return
        if self.state is CounterState.DATA_LOST and symptom is Symptom.DATA_LOST:
            return
        self.changes.append(CounterStateChange(now, self.state, new_state, symptom, hidden))
        del self.changes[:-MAX_UNREAD_CHANGES]
        self.state, self._changed_at = new_state, now

    def _find_symptom(self, now: float, unreachable: bool, hidden: tuple[int, ...]) -> Symptom:
        self._diagnosis.update_hidden(now, hidden)
        if unreachable and self._replies.is_dead(now):
            return Symptom.UNREACHABLE
        if now - self._data_lost_at < HEARTBEAT_INTERVAL_MS:
            return Symptom.DATA_LOST
        if hidden:
            return self._diagnosis.find_symptom(now, len(hidden), self.peers.known_neighbour_count())
        return Symptom.SLOW_REPLIES if self._replies.is_slow else Symptom.HEALTHY

    def _update_visibility(self, now: float, unreachable: bool, suspected: frozenset[int]) -> None:
        """Decrease the visibility at once; increase it only MIN_STATE_DURATION_MS after the last change."""
        visibility = self.visibility
        presumed_dead = suspected if self.state is CounterState.GATEWAY_DEAD else frozenset()
        old_view = (visibility.counter_unreachable, visibility.hidden, visibility.presumed_dead)
        if (unreachable, suspected, presumed_dead) == old_view:
            return
        newly_suspected = suspected - visibility.hidden
        lost_visibility = (unreachable and not visibility.counter_unreachable) or bool(newly_suspected)
        if unreachable:  # earlier heartbeats do not show which gateways are visible after the outage
            self.peers.expire_all()
            self._unreachable_at = now
        if lost_visibility:
            last_success_at = self._replies.last_success_at
            hidden_since = min(
                (self.peers.last_heartbeat_at(gateway, now) for gateway in newly_suspected),
                default=last_success_at,
            )
            hidden_since = max(hidden_since, now - MAX_HIDDEN_USE_MS)
            unreachable = unreachable or visibility.counter_unreachable
            hidden = suspected | visibility.hidden
            visibility.update_view(now, unreachable, hidden, presumed_dead, now - hidden_since)
            return
        is_settled = now - visibility.changed_at >= MIN_STATE_DURATION_MS
        if is_settled or (not unreachable and visibility.counter_unreachable and suspected):
            visibility.update_view(now, unreachable, suspected, presumed_dead, 0.0)

    def all_visible_until(self, now: float, first_gateway: int, gateway_set_size: int) -> float:
        """The last time at which all others of a gateway set were known to use the same counter as this one."""
        return self.peers.all_visible_until(now, first_gateway, gateway_set_size)

    def take_changes(self) -> list[CounterStateChange]:
        """The changes of the state since the last call."""
        changes, self.changes = self.changes, []
        return changes
