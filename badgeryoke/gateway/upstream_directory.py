"""Opens, drains and finds the upstreams of the servers on discovery's endpoint list."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from badgeryoke.decisions.interface import EndpointState
from badgeryoke.gateway.actor import ActorScheduler
from badgeryoke.gateway.config.model import Config
from badgeryoke.gateway.diameter.end_to_end_ids import EndToEndIds
from badgeryoke.gateway.diameter.peer import PeerIdentity
from badgeryoke.gateway.diameter.upstream_connection import DiameterUpstream
from badgeryoke.gateway.discovery.endpoint_list import Endpoint
from badgeryoke.gateway.resp.upstream_connection import RespUpstream
from badgeryoke.gateway.response_stream import BufferBudget

if TYPE_CHECKING:
    from badgeryoke.gateway.cluster.connection_leases import ConnectionLeases
    from badgeryoke.gateway.cluster.upstream_lease import UpstreamLease

UPSTREAM_DESCRIPTORS_FRACTION = 0.3  # fraction of the file descriptors, divided among the listed servers
MIN_CONNECTIONS_PER_SERVER = 4

UpstreamConnection = RespUpstream | DiameterUpstream


class ListedUpstream(NamedTuple):
    """A listed server and its upstream."""

    endpoint: Endpoint
    upstream: UpstreamConnection


class UpstreamDirectory:
    """All upstreams of a gateway.

    identity: this gateway's Diameter identity; None if Diameter is not configured.
    """

    def __init__(
        self,
        config: Config,
        loop: ActorScheduler,
        clock: Callable[[], float],
        stream_budget: BufferBudget,
        identity: PeerIdentity | None,
    ) -> None:
        self._config, self._loop, self._clock = config, loop, clock
        self._stream_budget, self._identity = stream_budget, identity
        self._end_to_end_ids = EndToEndIds(loop.time, identity.origin_state_id if identity else 0)
        self._diameter_services: dict[str, int] = {}
        if config.diameter is not None:
            self._diameter_services = {plan: number for number, plan in config.diameter.plans.items()}
        self.connection_leases: ConnectionLeases | None = None  # set at start if the cluster is on
        self.by_number: dict[int, ListedUpstream] = {}  # by server number

    def find(self, server: int) -> UpstreamConnection | None:
        """The upstream of a server; None if the server is no longer listed."""
        listed = self.by_number.get(server)
        return None if listed is None else listed[1]

    def update_settings(self, config: Config) -> None:
        """Apply a reloaded configuration; open connections stay."""
        self._config = config
        for _, upstream in self.by_number.values():
            if isinstance(upstream, RespUpstream):
                upstream.update_settings(
                    config.report_names, config.connect_ms, config.idle_ms, config.settings.max_request_units
                )

    def update_endpoints(self, endpoints: dict[int, Endpoint]) -> None:
        """Open and drain upstreams according to a new endpoint list, by server number."""
        descriptors = int(self._config.sockets * UPSTREAM_DESCRIPTORS_FRACTION)
        max_connections = max(descriptors // max(len(endpoints), 1), MIN_CONNECTIONS_PER_SERVER)
        self._close_unlisted(endpoints)
        if self.connection_leases is not None:
            self.connection_leases.update_servers(endpoint.id for endpoint in endpoints.values())
        for number, endpoint in endpoints.items():
            if number not in self.by_number:
                upstream = self._open(endpoint, max_connections)
                self.by_number[number] = ListedUpstream(endpoint, upstream)
            upstream = self.by_number[number].upstream
            if endpoint.state is EndpointState.UP:
                upstream.reopen()
            else:
                upstream.drain()

    def _close_unlisted(self, endpoints: dict[int, Endpoint]) -> None:
        """Drain and remove the upstreams that are no longer listed, or with another address or wire protocol."""
        for number, (old, upstream) in list(self.by_number.items()):
            new = endpoints.get(number)
            if new is None or (new.address, new.kind) != (old.address, old.kind):
                upstream.drain()
                if self.connection_leases is not None and upstream.lease is not None:
                    self.connection_leases.retire(upstream.lease)
                del self.by_number[number]

    def _open(self, endpoint: Endpoint, max_connections: int) -> UpstreamConnection:
        diameter = self._config.diameter
        lease = None if self.connection_leases is None else self.connection_leases.create_lease(endpoint.id)
        upstream: UpstreamConnection
        if diameter is not None and endpoint.kind in diameter.server_kinds:
            upstream = self._open_diameter(endpoint, diameter.watchdog_s, lease)
        else:
            upstream = self._open_resp(endpoint, max_connections, lease)
        if lease is not None:
            lease.upstream = upstream
        return upstream

    def _open_diameter(
        self, endpoint: Endpoint, watchdog_s: float, lease: UpstreamLease | None
    ) -> DiameterUpstream:
        assert self._identity is not None, "Diameter server without a Diameter configuration"
        return DiameterUpstream(
            endpoint.address,
            self._loop,
            self._clock,
            identity=self._identity,
            services=self._diameter_services,
            connect_ms=self._config.connect_ms,
            idle_ms=self._config.idle_ms,
            watchdog_s=watchdog_s,
            end_to_end_ids=self._end_to_end_ids,
            lease=lease,
        )

    def _open_resp(
        self, endpoint: Endpoint, max_connections: int, lease: UpstreamLease | None
    ) -> RespUpstream:
        return RespUpstream(
            endpoint.address,
            self._loop,
            self._clock,
            report_names=self._config.report_names,
            connect_ms=self._config.connect_ms,
            idle_ms=self._config.idle_ms,
            max_connections=max_connections,
            max_units=self._config.settings.max_request_units,
            buffer_budget=self._stream_budget,
            lease=lease,
        )

    def sweep(self) -> None:
        """Close the connections that have been idle for too long."""
        for _, upstream in self.by_number.values():
            upstream.sweep()
