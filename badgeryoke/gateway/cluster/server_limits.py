"""The configured connection limits of servers, and the commands that keep the cluster's limits in line with them."""

from __future__ import annotations

from collections.abc import Iterable

from badgeryoke.cluster.connection_limits.commands import RemoveConnectionLimit, SetConnectionLimit
from badgeryoke.cluster.connection_limits.lease_holder import ConnectionLeaseHolder
from badgeryoke.cluster.node import ClusterNode
from badgeryoke.cluster.state_machine_part import FLEET, Command
from badgeryoke.gateway.cluster.settings import Servers

REMOVAL_CHECK_INTERVAL_MS = 5000.0
# The limit of a server that is unlisted here and has no leases is removed after this time.
REMOVAL_DELAY_MS = 60_000.0
MAX_REMOVALS = 64  # removals per check


class ServerLimits:
    """The maximum number of connections to each server.

    `listed_limits` has the servers that the operators' file names, and those on discovery's list that the default limit
    applies to.
    """

    def __init__(self, settings: Servers) -> None:
        self._named_limits = dict(settings.limits)
        self._default_limit = settings.connections  # 0: no limit
        self.listed_limits = self._named_limits
        self._has_list = False
        self._next_removal_check_ms = 0.0
        self._unlisted_since_ms: dict[str, float] = {}  # by server, for the limits of groups led here

    def limit(self, server: str) -> int:
        """The limit of a server, by its name in discovery; 0 if it has none."""
        return self._named_limits.get(server, self._default_limit)

    def update(self, servers: Iterable[str]) -> None:
        """Take discovery's list of server names."""
        self._has_list = True
        listed = {server: limit for server in servers if (limit := self.limit(server))}
        self.listed_limits = {**self._named_limits, **listed}

    def missing_limits(self, holder: ConnectionLeaseHolder, now_ms: float, idle_ms: float) -> list[Command]:
        """Commands that set the limits whose absence made a lease request fail: the group's leader does not have the
        server on its list."""
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
        """Commands that remove limits, in groups led here, of servers that have been off this gateway's list for
        `REMOVAL_DELAY_MS` and have no leases.

        If another gateway still lists such a server and needs a lease, it sets the limit again (`missing_limits`).
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
        """Servers without leases that are not listed here, each with the index of its group's state."""
        for group, state in node.state_machines.items():
            if group == FLEET or not node.replicas[group].leading:
                continue
            for server, limited in state.parts["connections"].servers.items():
                if server not in self.listed_limits and not limited.pool.leases:
                    yield server, state.index
