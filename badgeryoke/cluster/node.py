"""One gateway as a cluster node: membership, the replicas of its groups, its calls and its leases.

The same class runs in a gateway (`badgeryoke/gateway/cluster/service`) and in simulated time
(`badgeryoke/testbed/cluster_simulation/world`).  Both pass it events and carry out its effects; all decisions are made
here.  `now` is the monotonic clock and `wall` is Unix time, both in ms.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from random import Random
from typing import Any

import msgspec

from badgeryoke.cluster.bootstrap import Bootstrap
from badgeryoke.cluster.call_router import CallResult, CallRouter, ResultHandler
from badgeryoke.cluster.cluster_clock import MedianClock
from badgeryoke.cluster.errors import ClusterError
from badgeryoke.cluster.events import (
    ClusterCall,
    Effect,
    LeaveCluster,
    LogEvent,
    MessageReceived,
    NodeEvent,
    OperationCompleted,
    PersistedGroup,
    RecordsPersisted,
    SendMessage,
    StorageFailure,
    Tick,
    TransferLeadership,
)
from badgeryoke.cluster.invariants import Invariants
from badgeryoke.cluster.leader_duties import LeaderDuties
from badgeryoke.cluster.membership.protocol import Membership
from badgeryoke.cluster.messages import (
    Ack,
    Announce,
    ClusterFounded,
    ForwardedCall,
    ForwardedReply,
    GroupMessage,
    IdentityQuery,
    Nack,
    Ping,
    PingRequest,
)
from badgeryoke.cluster.node_setup import ANY_SERVER, BOOTSTRAP_GROUP, LeaseClient, Member, NodeSetup
from badgeryoke.cluster.node_timers import NodeTimers, TokenSource, next_multiple
from badgeryoke.cluster.placement_follower import PlacementFollower
from badgeryoke.cluster.raft.node import RaftNode
from badgeryoke.cluster.replica_host import ReplicaHost
from badgeryoke.cluster.state_machine.machine import GroupStateMachine
from badgeryoke.cluster.state_machine_part import Command

__all__ = ["ANY_SERVER", "BOOTSTRAP_GROUP", "ClusterNode", "LeaseClient", "Member", "NodeSetup"]

POLL_INTERVAL_MS = 50.0  # interval between polls of the lease clients
LEAVE_TIMEOUT_ELECTIONS = 2  # a graceful shutdown waits this many `election_ms` for leadership transfers


class ClusterNode:
    """Handles events and returns effects.  The next Tick is needed by `due` at the latest.

    The gateway may set at any time: `load`, the capacity and demand that it knows of (units per second);
    `connection_limits`, by server; `avoid_leadership`, which transfers the groups led here to other members; and
    `lease_clients`.
    """

    def __init__(
        self,
        setup: NodeSetup,
        saved: dict[str, PersistedGroup],
        rng: Random,
        now: float,
        wall: float,
        invariants: Invariants,
        lease_clients: Iterable[LeaseClient] = (),
    ) -> None:
        self.setup, self.rules, self.member_id = setup, invariants, setup.member_id
        zones = {member.name: member.zone for member in setup.members}
        saved = dict(saved)
        self.load: dict[str, float] = {"capacity": setup.capacity}
        self.avoid_leadership = False
        self.lease_clients = list(lease_clients)
        self.connection_limits = {
            server: limit for server, limit in setup.connection_limits.items() if server != ANY_SERVER
        }
        self.membership = Membership(
            self.member_id, zones.get(setup.member_name, ""), setup.members, setup.timings, rng, now
        )
        self.bootstrap = Bootstrap(setup, saved.pop(BOOTSTRAP_GROUP, PersistedGroup()), rng, now)
        self.clock = MedianClock(zones)
        self._timers = NodeTimers(due_at=now, leader_tasks_at=now, poll_at=now)
        tokens = TokenSource(self.member_id, rng)
        self.host = ReplicaHost(setup, saved, rng, invariants, self._timers)
        self.router = CallRouter(setup, self.host, self.membership, self.clock, tokens, self._timers, rng)
        self.placement_follower = PlacementFollower(
            setup, invariants, self.host, self.membership, self.router, tokens, self._timers, now
        )
        self.leader_duties = LeaderDuties(
            setup, self.host, self.membership, self.router, self.placement_follower
        )
        self._storage_error: ClusterError | None = None  # set once this member acknowledges nothing any more
        self._pending_leave: tuple[str, float] | None = None  # the token of `LeaveCluster`, and the deadline
        self._open_if_bootstrapped(now)

    @property
    def due(self) -> float:
        """When the next Tick is needed at the latest (ms, clock of `now`)."""
        return self._timers.due_at

    @property
    def replicas(self) -> dict[str, RaftNode]:
        """The replicas here, by group."""
        return self.host.replicas

    @property
    def state_machines(self) -> dict[str, GroupStateMachine]:
        """The state machine of each replica here, by group."""
        return self.host.state_machines

    # Events

    def handle(self, now: float, wall: float, event: NodeEvent) -> list[Effect]:
        """Handle an event; returns the effects in order."""
        cluster_time = wall + self.clock.offset_ms
        if isinstance(event, MessageReceived):
            self.leader_duties.record_sender(event.sender)
            effects = self._receive(now, wall, cluster_time, event)
        else:
            effects = self._handle_local(now, wall, cluster_time, event)
        if isinstance(event, Tick) or now >= self.due or self._pending_leave is not None:
            effects += self._tick(now, wall)
        return effects

    def _receive(self, now: float, wall: float, cluster_time: float, event: MessageReceived) -> list[Effect]:
        sender = event.sender
        match event.message:
            case GroupMessage(group=group):
                if self.host.record is None or self.host.replica(now, group) is None:
                    return []
                return self.host.feed(now, group, event)
            case ForwardedCall() as message:
                return self.router.on_forwarded_call(now, cluster_time, sender, message)
            case ForwardedReply() as message:
                return self.router.on_forwarded_reply(now, cluster_time, sender, message)
            case Ping() | Ack() as message:
                if message.wall_clock_ms > 0.0:
                    self.clock.observe(sender, message.wall_clock_ms - wall)
                return self._feed_membership(now, wall, event)
            case PingRequest() | Nack():
                return self._feed_membership(now, wall, event)
            case IdentityQuery() | Announce() | ClusterFounded():
                return self._feed_bootstrap(now, event)
        return []

    def _handle_local(
        self,
        now: float,
        wall: float,
        cluster_time: float,
        event: RecordsPersisted | StorageFailure | ClusterCall | LeaveCluster | Tick,
    ) -> list[Effect]:
        match event:
            case RecordsPersisted(group=group):
                if group == BOOTSTRAP_GROUP:
                    return self._feed_bootstrap(now, event)
                return self.host.feed(now, group, event) if group in self.replicas else []
            case StorageFailure():
                return self._fail_storage(now, event)
            case ClusterCall(token=token, command=command):
                return self.router.call(now, cluster_time, command, _completion_handler(token))
            case LeaveCluster(token=token):
                return self._leave(now, wall, token)
            case Tick():
                return []

    def _fail_storage(self, now: float, event: StorageFailure) -> list[Effect]:
        """Report the failure to every local replica, so that none acknowledges anything any more."""
        self._storage_error = self._storage_error or event.error
        effects: list[Effect] = [
            LogEvent("error", "promises nothing more", {"error": str(event.error)}),
            *self._feed_bootstrap(now, event),
        ]
        for group in self.replicas:
            effects += self.host.feed(now, group, event)
        return effects

    def _leave(self, now: float, wall: float, token: str) -> list[Effect]:
        deadline = now + LEAVE_TIMEOUT_ELECTIONS * self.setup.timings.election_ms
        self._pending_leave, self.host.is_leaving = (token, deadline), True
        effects = _with_wall_clock(wall, self.membership.leave())
        return effects + self.host.transfer_all_leadership(now)

    def _feed_membership(self, now: float, wall: float, event: Tick | MessageReceived) -> list[Effect]:
        effects = _with_wall_clock(wall, self.membership.handle(now, event))
        self._timers.bring_forward(self.membership.due)
        return effects

    def _feed_bootstrap(
        self, now: float, event: Tick | MessageReceived | RecordsPersisted | StorageFailure
    ) -> list[Effect]:
        effects: list[Effect] = list(self.bootstrap.handle(now, event))
        self._timers.bring_forward(self.bootstrap.due)
        self._open_if_bootstrapped(now)
        return effects

    def _open_if_bootstrapped(self, now: float) -> None:
        record = self.bootstrap.record
        if record is not None and self.host.record is None:
            self.membership.learn_ids(member for member, _ in record.members)
            self.host.open(now, record)

    # Time

    def _tick(self, now: float, wall: float) -> list[Effect]:
        """Run everything that is due, and compute when the next Tick is needed."""
        cluster_time = wall + self.clock.offset_ms
        effects: list[Effect] = []
        if self.bootstrap.due <= now:
            effects += self._feed_bootstrap(now, Tick())
        if self.membership.due <= now:
            effects += self._feed_membership(now, wall, Tick())
        for group, replica in list(self.replicas.items()):
            if replica.due_ms <= now:
                effects += self.host.feed(now, group, Tick())
        effects += self.router.run_timers(now, cluster_time)
        if self._timers.leader_tasks_at <= now and self.host.record is not None:
            effects += self._run_leader_tasks(now, cluster_time)
        if self._timers.poll_at <= now or self._lease_clients_due() <= now:
            effects += self._poll_lease_clients(now, cluster_time)
        effects += self._finish_leave(now)
        self._timers.due_at = self._next_due()
        return effects

    def _run_leader_tasks(self, now: float, cluster_time: float) -> list[Effect]:
        self._timers.leader_tasks_at = next_multiple(now, self.setup.timings.heartbeat_ms)
        effects: list[Effect] = []
        for group, replica in list(self.replicas.items()):
            if replica.leading and not self.host.is_leaving:
                effects += self.leader_duties.propose(
                    now, cluster_time, replica, self.load, self.connection_limits
                )
                if self.avoid_leadership:
                    effects += self.host.feed(now, group, TransferLeadership())
        return effects + self.placement_follower.run_timer(now, cluster_time)

    def _lease_clients_due(self) -> float:
        """When the next lease client has to be polled before the regular interval (ms); infinite if none has to."""
        if self.host.record is None:
            return math.inf
        return min((getattr(client, "due", math.inf) for client in self.lease_clients), default=math.inf)

    def _poll_lease_clients(self, now: float, cluster_time: float) -> list[Effect]:
        self._timers.poll_at = next_multiple(now, POLL_INTERVAL_MS)
        if self.host.record is None:
            return []
        effects: list[Effect] = []
        for client in self.lease_clients:
            for command in client.poll(now, cluster_time):
                effects += self.router.call(
                    now, cluster_time, command, _lease_client_handler(client, command)
                )
                if command.is_read_only and not command.key():
                    effects += self.placement_follower.read_if_stale(now, cluster_time)
        return effects

    def _finish_leave(self, now: float) -> list[Effect]:
        """Complete a graceful shutdown once no group with other voters is led here, or its deadline has passed."""
        if self._pending_leave is None:
            return []
        token, deadline = self._pending_leave
        leads = any(replica.leading and len(replica.config.voters) > 1 for replica in self.replicas.values())
        if leads and now < deadline:
            return []
        self._pending_leave, self.host.is_leaving = None, False
        return [OperationCompleted(token, None)]

    def _next_due(self) -> float:
        return min(
            self._timers.leader_tasks_at,
            self._timers.poll_at,
            self.bootstrap.due,
            self.membership.due,
            self._lease_clients_due(),
            self.router.earliest_timer(),
            *(replica.due_ms for replica in self.replicas.values()),
        )

    # For operators

    def status(self) -> dict[str, Any]:
        """The states of the members, each local group's leader and replicas, and whether writes are acknowledged.

        Plain data; its keys are those of the operators' status call.
        """
        return {
            "me": self.member_id,
            "founded": self.bootstrap.record is not None,
            "promises": "yes" if self._storage_error is None else str(self._storage_error),
            "members": {member.name: self.membership.state_of(member.name) for member in self.setup.members},
            "groups": {group: _replica_status(replica) for group, replica in self.replicas.items()},
            "invariants_broken": [f"{rule.name}: {facts}" for rule, facts in self.rules.broken],
        }


def _replica_status(replica: RaftNode) -> dict[str, Any]:
    return {
        "leader": replica.leader_id,
        "term": replica.current_term,
        "commit": replica.commit_index,
        "voters": list(replica.config.voters),
        "learners": list(replica.config.learners),
        "behind": list(replica.lagging_learners()) if replica.leading else None,
    }


def _completion_handler(token: str) -> ResultHandler:
    """A handler that completes the operation `token` with a call's result."""

    def on_result(now: float, result: CallResult) -> list[Effect]:
        return [OperationCompleted(token, result)]

    return on_result


def _lease_client_handler(client: LeaseClient, command: Command) -> ResultHandler:
    """A handler that passes a call's result to the lease client that requested the call."""

    def on_result(now: float, result: CallResult) -> list[Effect]:
        client.answered(now, command, result)
        return []

    return on_result


def _with_wall_clock(wall: float, effects: Iterable[SendMessage | LogEvent]) -> list[Effect]:
    """The effects of the membership protocol, with this machine's wall clock added to each Ping and Ack."""
    return [
        SendMessage(effect.to, msgspec.structs.replace(effect.message, wall_clock_ms=wall))
        if isinstance(effect, SendMessage) and isinstance(effect.message, Ping | Ack)
        else effect
        for effect in effects
    ]
