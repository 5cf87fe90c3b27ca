"""Routes calls to the leader of the group that holds their key, with forwarding and retries.

A call is answered exactly once, within `call_ms`.  Retries use the same id, so repeating an applied command has no
further effect.  A call is answered with a rejection only if every attempt is known not to have been applied.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

import msgspec

from badgeryoke.cluster.cluster_clock import MedianClock
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
from badgeryoke.cluster.events import Effect, ProposeCommand, ReadIndexRequest, SendMessage
from badgeryoke.cluster.membership.protocol import Membership
from badgeryoke.cluster.messages import ForwardedCall, ForwardedReply, MemberId, member_name
from badgeryoke.cluster.node_setup import NodeSetup
from badgeryoke.cluster.node_timers import NodeTimers, TokenSource
from badgeryoke.cluster.placement.rendezvous import group_for_key
from badgeryoke.cluster.replica_host import ReplicaHost
from badgeryoke.cluster.state_machine.command_registry import decode_command, encode_command
from badgeryoke.cluster.state_machine_part import ApplyResult, Command

MAX_PENDING_CALLS = 4096  # unanswered calls of this gateway; further calls are rejected
MAX_HOPS = 3  # the hop count that a forwarded call carries
RETRY_FRACTION = 0.25  # fraction of `call_ms` after which an unanswered attempt is retried
RETRY_BACKOFF_MS = 40.0  # mean delay before the retry of a failed attempt
BACKOFF_JITTER = (0.5, 1.5)  # range of the random factor on that delay

CallResult = ApplyResult | ClusterError
ResultHandler = Callable[[float, CallResult], list[Effect]]  # called with the time (ms) and the result

reply_decoder = msgspec.msgpack.Decoder(tuple[ApplyResult | None, AnyError | None, str])

# Errors after which a retry may succeed: a leader whose storage failed, for example, is replaced by another leader.
_RETRIED = NoLeader | Overloaded | UnknownOutcome | StorageFailed | InvariantBroken


@dataclass(slots=True)
class _PendingCall:
    """An unanswered call of this gateway; times in ms, clock of `now`."""

    command: Command
    group: str
    deadline: float
    on_result: ResultHandler
    retry_at: float
    lookups: int = 0  # how often the leader was looked up so far
    attempt_count: int = 0
    open_attempts: dict[int, None] = field(default_factory=dict)  # unanswered attempts, by number
    last_error: ClusterError | None = None
    may_be_applied: bool = False  # an attempt ended with an unknown outcome

    def new_attempt(self) -> int:
        """Open another attempt and return its number."""
        self.attempt_count += 1
        self.open_attempts[self.attempt_count] = None
        return self.attempt_count


def _is_rejection(result: CallResult) -> bool:
    return isinstance(result, ClusterError) or result.error is not None


def _final_result(call: _PendingCall, result: CallResult) -> CallResult:
    """The result for the caller.  A rejected write becomes `UnknownOutcome` if any attempt may have been applied.

    A rejection that comes from the log also covers the attempts that ended before, because their entries precede it in
    the log.
    """
    may_be_applied = call.open_attempts or (call.may_be_applied and isinstance(result, ClusterError))
    if _is_rejection(result) and may_be_applied and not call.command.is_read_only:
        return UnknownOutcome(call.group, "no answer came to some try")
    return result


class CallRouter:
    """Handles the calls of this gateway and the calls that other members forward to it."""

    def __init__(
        self,
        setup: NodeSetup,
        host: ReplicaHost,
        membership: Membership,
        clock: MedianClock,
        tokens: TokenSource,
        timers: NodeTimers,
        rng: Random,
    ) -> None:
        self._setup, self._call_ms = setup, setup.timings.call_ms
        self._host, self._membership, self._clock = host, membership, clock
        self._tokens, self._timers, self._rng = tokens, timers, rng
        self._pending: dict[str, _PendingCall] = {}  # by token
        self._leaders: dict[str, MemberId] = {}  # by group, as last reported
        self._task_ids: dict[str, None] = {}  # ids of unanswered calls made by `call_once`

    # Calls of this gateway

    def call(self, now: float, wall: float, command: Command, on_result: ResultHandler) -> list[Effect]:
        """Make a call; `wall` is the cluster's time (Unix ms).  `on_result` gets the result exactly once."""
        problem = command.validate()
        if problem:
            return on_result(now, InvalidCall(command.id, problem))
        if self._host.record is None:
            return on_result(now, NoLeader(self._setup.cluster_name, "the fleet is not founded yet"))
        if len(self._pending) >= MAX_PENDING_CALLS:
            detail = f"{MAX_PENDING_CALLS} calls have no answer yet"
            return on_result(now, Overloaded(self._setup.member_id, detail))
        group = group_for_key(command.key(), self._host.record.group_count)
        token = self._tokens.next()
        call = self._pending[token] = _PendingCall(command, group, now + self._call_ms, on_result, now)
        self._timers.bring_forward(now + RETRY_BACKOFF_MS)
        return self._attempt(now, wall, token, call)

    def task_is_pending(self, command_id: str) -> bool:
        """Whether a call made by `call_once` with this id is unanswered."""
        return command_id in self._task_ids

    def pending_task_count(self) -> int:
        """The number of unanswered calls made by `call_once`."""
        return len(self._task_ids)

    def call_once(self, now: float, wall: float, command: Command) -> list[Effect]:
        """Make a call whose result is discarded; the caller ensures that no call with this id is pending."""

        def remove_task_id(at: float, result: CallResult) -> list[Effect]:
            self._task_ids.pop(command.id, None)
            return []

        self._task_ids[command.id] = None
        return self.call(now, wall, command, remove_task_id)

    def earliest_timer(self) -> float:
        """When the next retry or deadline of a call is due (ms, clock of `now`)."""
        return min((min(call.deadline, call.retry_at) for call in self._pending.values()), default=math.inf)

    def run_timers(self, now: float, wall: float) -> list[Effect]:
        """Complete calls whose deadline has passed, and retry those that are due."""
        effects: list[Effect] = []
        for token, call in list(self._pending.items()):
            if call.deadline <= now:
                del self._pending[token]
                result = call.last_error or NoLeader(call.group, "none was found in time")
                effects += call.on_result(now, _final_result(call, result))
            elif call.retry_at <= now:
                effects += self._attempt(now, wall, token, call)
        return effects

    def _attempt(self, now: float, wall: float, token: str, call: _PendingCall) -> list[Effect]:
        """Make one attempt: on the local replica if it leads, otherwise on the member presumed to be the leader."""
        call.retry_at = now + self._call_ms * RETRY_FRACTION
        call.lookups += 1
        if self._host.leading_replica(call.group) is not None:
            number = call.new_attempt()
            return self._execute(
                now,
                wall,
                call.group,
                call.command,
                lambda at, result: self._end_attempt(at, token, number, result),
            )
        leader = self._guess_leader(call.group, call.lookups)
        if not leader:
            call.retry_at = now + RETRY_BACKOFF_MS
            return []
        return self._forward(wall, token, call, leader)

    def _forward(self, wall: float, token: str, call: _PendingCall, to: MemberId) -> list[Effect]:
        number = call.new_attempt()
        body = encode_command(wall, call.command)
        return [SendMessage(to, ForwardedCall(f"{token}.{number}", call.group, body, MAX_HOPS))]

    def _guess_leader(self, group: str, lookups: int) -> MemberId:
        """The leader known to the local replica or last reported, else each live replica in turn; "" if none."""
        replica = self._host.replicas.get(group)
        own_id = self._setup.member_id
        if replica is not None and replica.leader_id and replica.leader_id != own_id and lookups % 2 == 1:
            return replica.leader_id
        if lookups == 1 and self._leaders.get(group) in self._membership.alive_ids():
            return self._leaders[group]
        alive = {member_name(member): member for member in self._membership.alive_ids() if member != own_id}
        voters = (member_name(voter) for voter in self._host.voters_by_group.get(group, ()))
        others = [alive[name] for name in voters if name in alive]
        if not others or lookups % 4 >= 2:  # replicas may have moved: try any live member
            others = sorted(alive.values())
        return others[lookups % len(others)] if others else ""

    def _end_attempt(self, now: float, token: str, number: int, result: CallResult) -> list[Effect]:
        call = self._pending.get(token)
        if call is None:
            return []  # already answered or past its deadline
        call.open_attempts.pop(number, None)
        if isinstance(result, _RETRIED):
            self._back_off(now, call, number, result)
            return []
        if call.open_attempts and _is_rejection(result) and not call.command.is_read_only:
            call.last_error = result if isinstance(result, ClusterError) else result.error
            call.retry_at = call.deadline  # an open attempt may still be applied; wait for its answer
            return []
        del self._pending[token]
        return call.on_result(now, _final_result(call, result))

    def _back_off(self, now: float, call: _PendingCall, number: int, error: ClusterError) -> None:
        call.last_error = error
        call.may_be_applied = call.may_be_applied or isinstance(error, UnknownOutcome)
        if number == call.attempt_count:  # a failure of an earlier attempt does not delay the latest one
            call.retry_at = now + RETRY_BACKOFF_MS * self._rng.uniform(*BACKOFF_JITTER)
            self._timers.bring_forward(call.retry_at)

    def _execute(
        self, now: float, wall: float, group: str, command: Command, on_result: ResultHandler
    ) -> list[Effect]:
        """Execute a command on the local replica, which leads its group."""
        token = self._tokens.next()

        def answer_query(at: float, result: Any) -> list[Effect]:
            is_confirmed = result is None
            return on_result(at, self._host.state_machines[group].query(command) if is_confirmed else result)

        self._host.on_completion(token, answer_query if command.is_read_only else on_result)
        if command.is_read_only:
            return self._host.feed(now, group, ReadIndexRequest(token))
        # Until the clocks of a majority are known, this machine's clock cannot be trusted: 0 leaves the group's time
        # unchanged.
        at_ms = wall if self._clock.is_synchronized else 0.0
        return self._host.feed(now, group, ProposeCommand(token, encode_command(at_ms, command)))

    # Calls of other members

    def on_forwarded_call(
        self, now: float, wall: float, sender: MemberId, message: ForwardedCall
    ) -> list[Effect]:
        """Execute another member's call if its group is led here; otherwise reply with the known leader."""
        group = message.group

        def reply(at: float, result: CallResult) -> list[Effect]:
            leader = self._host.replicas[group].leader_id if group in self._host.replicas else ""
            is_applied = isinstance(result, ApplyResult)
            fields = [result, None, leader] if is_applied else [None, result, leader]
            return [SendMessage(sender, ForwardedReply(message.token, msgspec.msgpack.encode(fields)))]

        try:
            _, command = decode_command(message.body)
        except msgspec.DecodeError as fault:
            return reply(now, InvalidCall(group, str(fault)))
        problem = command.validate()
        if problem:
            return reply(now, InvalidCall(command.id, problem))
        if group not in self._host.replicas:
            return reply(now, NoLeader(group, f"no copy at {self._setup.member_name}"))
        if self._host.leading_replica(group) is None:
            return reply(now, NoLeader(group, f"not led by {self._setup.member_name}"))
        return self._execute(now, wall, group, command, reply)

    def on_forwarded_reply(
        self, now: float, wall: float, sender: MemberId, message: ForwardedReply
    ) -> list[Effect]:
        """Handle another member's reply to an attempt; a reply that cannot be decoded is ignored."""
        token, _, digits = message.token.rpartition(".")
        call = self._pending.get(token)
        if call is None or not digits.isdecimal():
            return []
        try:
            applied, error, leader = reply_decoder.decode(message.body)
        except msgspec.DecodeError:
            return []
        result = applied if applied is not None else error
        if result is None:
            return []
        self._learn_leader(call.group, sender, leader)
        number = int(digits)
        is_latest = number == call.attempt_count
        names_other_leader = leader not in ("", sender, self._setup.member_id)
        if isinstance(result, NoLeader) and is_latest and names_other_leader:
            call.open_attempts.pop(number, None)
            call.retry_at = now + self._call_ms * RETRY_FRACTION
            return self._forward(wall, token, call, leader)
        return self._end_attempt(now, token, number, result)

    def _learn_leader(self, group: str, sender: MemberId, leader: MemberId) -> None:
        if leader:
            self._leaders[group] = leader
        elif self._leaders.get(group) == sender:
            del self._leaders[group]
