"""Cluster leases for all upstream connections of a gateway, and this gateway's part in a rolling restart.

All times are ms of the monotonic clock.
"""

from __future__ import annotations

import asyncio
import secrets
import socket
from collections.abc import Callable, Iterable
from pathlib import Path

from badgeryoke.cluster.connection_limits.holders import holder_id
from badgeryoke.cluster.connection_limits.lease_holder import ConnectionLeaseHolder
from badgeryoke.cluster.connection_limits.lease_timing import CLOSE_BEFORE_EXPIRY_MS
from badgeryoke.cluster.errors import ClusterError
from badgeryoke.cluster.invariants import Invariants
from badgeryoke.cluster.node import ClusterNode
from badgeryoke.cluster.rolling_restart.gateway_agent import RollingRestartAgent
from badgeryoke.cluster.state_machine_part import ApplyResult, Command
from badgeryoke.gateway.actor import ActorScheduler
from badgeryoke.gateway.cluster.closing_sockets import ClosingSockets
from badgeryoke.gateway.cluster.rolling_restart_duties import DrainableGateway, RollingRestartDuties
from badgeryoke.gateway.cluster.server_limits import ServerLimits
from badgeryoke.gateway.cluster.settings import ClusterSettings
from badgeryoke.gateway.cluster.upstream_lease import UpstreamLease

CHECK_INTERVAL_S = 0.05  # time between checks for connections to close and for actions of a rolling restart
BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")
_PROCESS_TOKEN_BYTES = 6


class ConnectionLeases:
    """All leases of one gateway; a `badgeryoke.cluster.node.LeaseClient`.

    `idle_ms`: servers have certainly closed a connection this long after its last use.
    """

    def __init__(
        self,
        settings: ClusterSettings,
        scheduler: ActorScheduler,
        monotonic_ms: Callable[[], float],
        idle_ms: float,
        gateway: DrainableGateway,
    ) -> None:
        self.idle_ms, self.monotonic_ms = idle_ms, monotonic_ms
        self.only_process = True  # false while an earlier process of this member still serves clients
        self.draining = False  # the process is shutting down
        self.wake: Callable[[], None] | None = None  # makes the node tick at once
        self._scheduler, self._gateway = scheduler, gateway
        self._loop = asyncio.get_running_loop()
        self._limits = ServerLimits(settings.servers)
        self._leases: dict[str, list[UpstreamLease]] = {}  # by server
        self._closing_sockets = ClosingSockets(self._connection_closed)
        self._node: ClusterNode | None = None
        self._holder: ConnectionLeaseHolder | None = None
        self._duties: RollingRestartDuties | None = None
        self._timer: asyncio.TimerHandle | None = None

    @property
    def lease_holder(self) -> ConnectionLeaseHolder | None:
        """This gateway's leases; None before the cluster's node runs."""
        return self._holder

    @property
    def restart_agent(self) -> RollingRestartAgent | None:
        """This gateway's agent for rolling restarts; None before the cluster's node runs."""
        return self._duties.agent if self._duties is not None else None

    def attach(self, node: object, invariants: Invariants) -> None:
        """Connect to the cluster's node; this process must hold the lock on the member's directory.

        A test's replacement for the node gets no leases.
        """
        if not isinstance(node, ClusterNode):
            return
        boot_id = BOOT_ID_FILE.read_text().strip() if BOOT_ID_FILE.exists() else ""
        process_id = holder_id(node.member_id, boot_id, secrets.token_hex(_PROCESS_TOKEN_BYTES))
        holder = ConnectionLeaseHolder(
            process_id, node.setup.timings, invariants, self.monotonic_ms(), self.only_process
        )
        agent = RollingRestartAgent(
            node.setup.member_name, process_id, len(node.setup.members), self._check_soon
        )
        self._node, self._holder = node, holder
        self._duties = RollingRestartDuties(agent, node, holder, self._gateway)
        node.connection_limits = dict(self._limits.listed_limits)
        if not node.setup.capacity:
            node.load.pop("capacity", None)  # unknown, so a rolling restart must not consider it
        node.lease_clients += [self, agent]
        self._check_periodically()

    # Upstreams.

    def create_lease(self, server: str) -> UpstreamLease | None:
        """Make the lease of a new upstream, by its server's name in discovery; None if there is no limit."""
        if not self._limits.limit(server):
            return None
        lease = UpstreamLease(self, server)
        self._leases.setdefault(server, []).append(lease)
        return lease

    def retire(self, lease: UpstreamLease) -> None:
        """Drop a lease whose upstream is removed, once all its connections are closed."""
        lease.retired = True
        self._remove_if_unused(lease)

    def update_servers(self, servers: Iterable[str]) -> None:
        """Take discovery's list of servers; a group's leader sets the limits of the servers in it."""
        self._limits.update(servers)
        if self._node is not None:
            self._node.connection_limits = dict(self._limits.listed_limits)

    def close_socket(self, lease: UpstreamLease, connection: socket.socket) -> None:
        """Close this side; the connection counts until the server has closed its side."""
        self._closing_sockets.close(lease, connection, self.idle_ms)

    def _connection_closed(self, lease: UpstreamLease) -> None:
        assert self._holder is not None
        lease.open_count -= 1
        self._holder.closed(lease.server, already_closing=True)
        self._remove_if_unused(lease)
        self._notify_upstreams(lease.server)

    def _remove_if_unused(self, lease: UpstreamLease) -> None:
        leases = self._leases.get(lease.server, [])
        if lease.retired and not lease.open_count and lease in leases:
            leases.remove(lease)
            if not leases:
                del self._leases[lease.server]

    def _notify_upstreams(self, server: str) -> None:
        """Notify a server's upstreams that they may open more connections."""
        for lease in self._leases.get(server, ()):
            if lease.upstream is not None and not lease.retired:
                lease.upstream.capacity_available()

    # Requests to the cluster.

    def poll(self, now: float, wall: float) -> list[Command]:
        """See `badgeryoke.cluster.node.LeaseClient`."""
        assert self._holder is not None and self._node is not None
        self._update_needs(self._holder)
        return [
            *self._holder.poll(now, wall),
            *self._limits.missing_limits(self._holder, now, self.idle_ms),
            *self._limits.stale_limits(self._node, now),
        ]

    def answered(self, now: float, command: Command, result: ApplyResult | ClusterError) -> None:
        """See `badgeryoke.cluster.node.LeaseClient`."""
        assert self._holder is not None
        self._holder.answered(now, command, result)
        for server in self._leases:
            if self._needed(server):
                self._notify_upstreams(server)

    def _needed(self, server: str) -> int:
        upstreams = (lease.upstream for lease in self._leases[server])
        return sum(upstream.connections_needed for upstream in upstreams if upstream is not None)

    def _update_needs(self, holder: ConnectionLeaseHolder) -> None:
        for server in self._leases:
            needed = self._needed(server)
            if needed or server in holder.servers:
                holder.set_need(server, needed)

    # Periodic checks, for connections to close and for actions of a rolling restart.

    @property
    def is_empty(self) -> bool:
        """Whether no connection is open and no lease is held."""
        return self._holder is None or self._holder.empty

    def drain(self) -> None:
        """Close connections and return leases that are not in use, from now on; the process is shutting down."""
        self.draining = True
        self._check()

    def close(self) -> None:
        """Stop the checks and close all closing sockets, at the end of the process."""
        if self._timer is not None:
            self._timer.cancel()
        self._closing_sockets.close_all()

    def _check_periodically(self) -> None:
        self._timer = self._loop.call_later(CHECK_INTERVAL_S, self._check_periodically)
        self._check()

    def _check_soon(self) -> None:
        """Check in the event loop's next iteration: the node may be handling an event now."""
        self._loop.call_soon(self._check)

    def _check(self) -> None:
        holder, duties = self._holder, self._duties
        if holder is None or duties is None:
            return
        now_ms = self.monotonic_ms()
        duties.apply_restrictions(self.draining)
        self._update_needs(holder)
        self._close_surplus(holder, now_ms)
        duties.report_state()
        duties.carry_out(now_ms)
        if duties.agent.due <= now_ms and self.wake is not None:
            self.wake()
        self._scheduler.run()

    def _close_surplus(self, holder: ConnectionLeaseHolder, now_ms: float) -> None:
        """Close connections beyond a lease that has shrunk or is about to expire."""
        for leases in self._leases.values():
            for lease in leases:
                lease.surplus_count = 0
        for server, surplus in holder.excess(now_ms):
            lease_expires = not holder.lease_valid(now_ms + CLOSE_BEFORE_EXPIRY_MS, server)
            for lease in self._leases.get(server, ()):
                count = min(surplus, lease.open_count)
                surplus -= count
                lease.surplus_count = count
                if count and lease.upstream is not None:
                    lease.upstream.close_connections(count, include_in_use=lease_expires)
