"""The configured connection limits of servers, and the commands that keep the cluster's limits in step with them."""

from __future__ import annotations

from collections.abc import Iterable

from badgeryoke.cluster.connection_limits.commands import RemoveConnectionLimit, SetConnectionLimit
from badgeryoke.cluster.connection_limits.lease_holder import ConnectionLeaseHolder
from badgeryoke.cluster.node import ClusterNode
from badgeryoke.cluster.state_machine_part import FLEET, Command
from badgeryoke.gateway.cluster.settings import Servers

REMOVAL_CHECK_INTERVAL_MS = 5000.0
# A limit is removed when its server was on no list here, and under no lease, for so long.
REMOVAL_DELAY_MS = 60_000.0
MAX_REMOVALS = 64  # at one check


class ServerLimits:
    """The most connections to each server.

    `listed_limits` holds the servers that the operators' file names, and those on discovery's list that the default
    limit is for.
    """

    def __init__(self, settings: Servers) -> None:
        self._named_limits = dict(settings.limits)
        self._default_limit = settings.connections  # 0: none
        self.listed_limits = self._named_limits
        self._has_list = False
        self._next_removal_check_ms = 0.0
        self._unlisted_since_ms: dict[str, float] = {}  # limits of groups led here

    def limit(self, server: str) -> int:
        """Of a server, by discovery's name; 0 where none is kept."""
        return self._named_limits.get(server, self._default_limit)

    def update(self, servers: Iterable[str]) -> None:
        """Take discovery's list, by its names."""
        self._has_list = True
        listed = {server: limit for server in servers if (limit := self.limit(server))}
        self.listed_limits = {**self._named_limits, **listed}

    def missing_limits(self, holder: ConnectionLeaseHolder, now_ms: float, idle_ms: float) -> list[Command]:
        """State the limits that a lease was asked for in vain: the leader of their group has no list that names
        their servers."""
        commands: list[Command] = [
            SetConnectionLimit(
                id=f"limit/{holder.holder}/{server}/{now_ms:.0f}",
                server=server,
                max_connections=limit,
                idle_timeout_ms=idle_ms,
            )
            for server in holder.servers_without_limit
            if (limit := self.listed_limits.get(server))
        ]
        holder.servers_without_limit.clear()
        return commands

    def stale_limits(self, node: ClusterNode, now_ms: float) -> list[Command]:
        """Remove limits, in groups led here, of servers that were off this gateway's list for long and that nobody
        uses.

        A gateway whose list still names one, and that wants it, finds that no limit is known and states it again.
        """
        if now_ms < self._next_removal_check_ms or not self._has_list:
            return []
        self._next_removal_check_ms = now_ms + REMOVAL_CHECK_INTERVAL_MS
        unlisted_since_ms: dict[str, float] = {}
        commands: list[Command] = []
        for server, state_index in self._unlisted_servers(node):
            since_ms = unlisted_since_ms[server] = self._unlisted_since_ms.get(server, now_ms)
            if now_ms - since_ms >= REMOVAL_DELAY_MS and len(commands) < MAX_REMOVALS:
                commands.append(RemoveConnectionLimit(id=f"unlimit/{server}/{state_index}", server=server))
        self._unlisted_since_ms = unlisted_since_ms
        return commands

    def _unlisted_servers(self, node: ClusterNode) -> Iterable[tuple[str, int]]:
        """Servers without leases that no list here names, and the index of their group's state."""
        for group, state in node.state_machines.items():
            if group == FLEET or not node.replicas[group].leading:
                continue
            for server, limited in state.parts["connections"].servers.items():
                if server not in self.listed_limits and not limited.pool.leases:
                    yield server, state.index
