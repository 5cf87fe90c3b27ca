"""Proposes the commands that are due for the groups that this member leads."""

from __future__ import annotations

from badgeryoke.cluster.call_router import CallRouter
from badgeryoke.cluster.connection_limits.commands import SetConnectionLimit
from badgeryoke.cluster.connection_limits.holders import server_bucket
from badgeryoke.cluster.events import Effect
from badgeryoke.cluster.membership.protocol import Membership
from badgeryoke.cluster.messages import MemberId
from badgeryoke.cluster.node_setup import NodeSetup
from badgeryoke.cluster.placement.rendezvous import group_for_key
from badgeryoke.cluster.placement_follower import PlacementFollower
from badgeryoke.cluster.raft.node import RaftNode
from badgeryoke.cluster.replica_host import ReplicaHost
from badgeryoke.cluster.state_machine.machine import GroupStateMachine
from badgeryoke.cluster.state_machine_part import FLEET, Command, LeaderView

MAX_PENDING_TASKS = 1024  # unanswered calls of local leaders; further ones wait
MAX_HEARD_IDS = 8192  # member ids recorded by one process; members beyond that are not treated as alive


class LeaderDuties:
    """Builds the `LeaderView` of the groups led here, and turns their leader tasks into calls."""

    def __init__(
        self,
        setup: NodeSetup,
        host: ReplicaHost,
        membership: Membership,
        router: CallRouter,
        follower: PlacementFollower,
    ) -> None:
        self._setup, self._host, self._membership = setup, host, membership
        self._router, self._follower = router, follower
        self._zones = {member.name: member.zone for member in setup.members}
        self._heard_ids: dict[MemberId, None] = {}

    def record_sender(self, sender: MemberId) -> None:
        """Record that this process has received a message from this member id."""
        if sender not in self._heard_ids and len(self._heard_ids) < MAX_HEARD_IDS:
            self._heard_ids[sender] = None

    def view(self, now: float, wall: float, replica: RaftNode, load: dict[str, float]) -> LeaderView:
        """The view for the leader tasks of a group led here; `load` as in `ClusterNode.load`."""
        placement = self._follower.placement
        if replica.group == FLEET:
            parts = self._host.state_machines[FLEET].parts
            placement = parts["placing"]
            reserved_rate = parts["contracts"].peak_reserved_rate(
                wall, wall + parts["rolls"].planning_horizon_ms()
            )
            load = {**load, "promised": reserved_rate}
        lagging = {group: placed.lagging for group, placed in placement.groups.items() if placed.lagging}
        for group, local in self._host.replicas.items():
            if local.leading:
                lagging[group] = local.lagging_learners() + self._follower.lagging_for_long(now, group, local)
        return LeaderView(
            now,
            wall,
            self._setup.member_id,
            replica.leader_since_ms,
            self._setup.timings,
            self._alive_and_heard(),
            self._membership.dead_for_ms(now),
            self._zones,
            load,
            placement.voters() or self._host.voters_by_group,
            lagging,
        )

    def _alive_and_heard(self) -> frozenset[MemberId]:
        """Alive members from which this process has received a message, and this member itself.

        Right after a start only this member itself counts, whatever gossip reports.
        """
        return frozenset(
            member
            for member in self._membership.alive_ids()
            if member == self._setup.member_id or member in self._heard_ids
        )

    def propose(
        self,
        now: float,
        wall: float,
        replica: RaftNode,
        load: dict[str, float],
        connection_limits: dict[str, int],
    ) -> list[Effect]:
        """Make the calls that the leader of a group has to propose now; `connection_limits` is keyed by server."""
        effects: list[Effect] = []
        state_machine = self._host.state_machines[replica.group]
        commands = state_machine.leader_tasks(self.view(now, wall, replica, load))
        if replica.group != FLEET:
            commands += self._limit_commands(replica.group, state_machine, connection_limits)
        for command in commands:
            is_pending = self._router.task_is_pending(command.id)
            if not is_pending and self._router.pending_task_count() < MAX_PENDING_TASKS:
                effects += self._router.call_once(now, wall, command)
        return effects

    def _limit_commands(
        self, group: str, state_machine: GroupStateMachine, connection_limits: dict[str, int]
    ) -> list[Command]:
        """Commands for servers of the group whose stored connection limit differs from this gateway's."""
        assert self._host.record is not None
        group_count = self._host.record.group_count
        known_servers = state_machine.parts["connections"].servers
        commands: list[Command] = []
        for server, limit in connection_limits.items():
            is_known = server in known_servers
            if is_known and known_servers[server].pool.capacity == limit:
                continue
            if group_for_key(server_bucket(server), group_count) != group:
                continue
            known_limit = known_servers[server].pool.capacity if is_known else 0
            commands.append(
                SetConnectionLimit(
                    id=f"limit/{server}/{limit}/{known_limit:g}/{state_machine.index}",
                    server=server,
                    max_connections=limit,
                    idle_timeout_ms=self._setup.connection_idle_ms,
                )
            )
        return commands
