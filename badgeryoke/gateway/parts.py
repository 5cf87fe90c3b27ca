"""Builds the parts of one gateway from its configuration."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from badgeryoke.decisions.interface import CounterReply, EndpointList, Verdict
from badgeryoke.gateway.actor import ActorScheduler
from badgeryoke.gateway.config.model import Config
from badgeryoke.gateway.diameter.listener import DiameterListener
from badgeryoke.gateway.diameter.peer import PeerIdentity
from badgeryoke.gateway.discovery.client import DiscoveryClient
from badgeryoke.gateway.discovery.endpoint_list import Endpoint
from badgeryoke.gateway.dispatcher import Dispatcher
from badgeryoke.gateway.quota_counter.client import QuotaCounterClient
from badgeryoke.gateway.resp.listener import RespListener
from badgeryoke.gateway.resp.request_budget import RequestBudget
from badgeryoke.gateway.resp.response_budget import ResponseBudget
from badgeryoke.gateway.response_stream import BufferBudget
from badgeryoke.gateway.upstream_directory import UpstreamDirectory

if TYPE_CHECKING:
    from badgeryoke.gateway.cluster.connection_leases import ConnectionLeases
    from badgeryoke.gateway.cluster.service import ClusterService

# Fractions of the process's file descriptors for the connections of each kind of client.
RESP_CLIENTS_FRACTION = 0.5
DIAMETER_CLIENTS_FRACTION = 0.1
CROWDED_CLIENTS_FRACTION = 0.2  # above it idle RESP clients are closed sooner (resp/listener.py)
# Buffers get the memory beyond that of the program itself; the fractions are of this rest.
PROGRAM_MB = 24.0
MIN_BUFFER_MB = 4.0
BODIES_FRACTION = 0.25  # bodies of pending requests
PARTIAL_COMMANDS_FRACTION = 0.15  # incomplete commands
RESPONSES_FRACTION = 0.15  # responses of RESP clients that are not sent yet
STREAMS_FRACTION = 0.2  # response streams; the connections' own buffers take as much again
BYTES_PER_MB = 1024 * 1024


class AbsentCounter:
    """Replaces the counter if none is configured: each call fails."""

    def __init__(self, loop: ActorScheduler) -> None:
        self._loop = loop

    def add(self, name: int, units: float, ttl_ms: float, on_reply: Callable[[CounterReply], None]) -> None:
        """Fail one call, asynchronously."""
        self._loop.call_soon(on_reply, CounterReply(name, Verdict.CONNECT_FAILED, 0.0))


@dataclass
class GatewayParts:
    """The parts that lifecycle and reload operate on.  Only `config` is replaced while the process runs."""

    config: Config
    loop: ActorScheduler
    clock: Callable[[], float]  # Unix ms
    counter: QuotaCounterClient | None
    stream_budget: BufferBudget
    upstreams: UpstreamDirectory
    dispatcher: Dispatcher
    discovery: DiscoveryClient
    resp_listener: RespListener
    diameter_listener: DiameterListener | None
    # These two are set at start if the cluster is on.
    cluster: ClusterService | None = None
    connection_leases: ConnectionLeases | None = None

    @property
    def longest_deadline_ms(self) -> float:
        """The longest deadline of the classes in force; 0 if there are none."""
        return max((request_class.deadline_ms for request_class in self.config.settings.classes), default=0.0)


def build_parts(config: Config, loop: ActorScheduler, clock: Callable[[], float]) -> GatewayParts:
    """Build a gateway's parts; nothing listens or connects yet."""
    buffer_bytes = int(max(config.memory_mb - PROGRAM_MB, MIN_BUFFER_MB) * BYTES_PER_MB)
    counter = None
    if config.counter is not None:
        counter = QuotaCounterClient(config.counter, config.settings.counter_timeout_ms, loop, clock)
    stream_budget = BufferBudget(int(buffer_bytes * STREAMS_FRACTION))
    identity = _diameter_identity(config)
    upstreams = UpstreamDirectory(config, loop, clock, stream_budget, identity)
    dispatcher = Dispatcher(
        config.settings,
        config.seed,
        loop,
        clock,
        upstreams.find,
        counter or AbsentCounter(loop),
        int(buffer_bytes * BODIES_FRACTION),
        config.operators.counter_watch.enabled,
        config.operators.fleet is not None,
    )
    discovery = _discovery_client(config, loop, upstreams, dispatcher)
    return GatewayParts(
        config,
        loop,
        clock,
        counter,
        stream_budget,
        upstreams,
        dispatcher,
        discovery,
        _resp_listener(config, dispatcher, loop, discovery, buffer_bytes),
        _diameter_listener(config, identity, dispatcher, loop, clock),
    )


def _discovery_client(
    config: Config, loop: ActorScheduler, upstreams: UpstreamDirectory, dispatcher: Dispatcher
) -> DiscoveryClient:
    def update_endpoints(members: EndpointList, endpoints: dict[int, Endpoint]) -> None:
        upstreams.update_endpoints(endpoints)  # before the decision module is notified of the list
        dispatcher.update_endpoints(members)

    return DiscoveryClient(
        config.discovery,
        config.known,
        loop,
        update_endpoints,
        config.settings.gateway_count,
        random.Random(config.seed).random,
    )


def _resp_listener(
    config: Config,
    dispatcher: Dispatcher,
    loop: ActorScheduler,
    discovery: DiscoveryClient,
    buffer_bytes: int,
) -> RespListener:
    return RespListener(
        dispatcher,
        loop,
        int(config.sockets * RESP_CLIENTS_FRACTION),
        discovery,
        int(buffer_bytes * (PARTIAL_COMMANDS_FRACTION + RESPONSES_FRACTION + STREAMS_FRACTION)),
        int(config.sockets * CROWDED_CLIENTS_FRACTION),
        ResponseBudget(int(buffer_bytes * RESPONSES_FRACTION)),
        RequestBudget(int(buffer_bytes * PARTIAL_COMMANDS_FRACTION)),
    )


def _diameter_identity(config: Config) -> PeerIdentity | None:
    diameter = config.diameter
    if diameter is None:
        return None
    address = diameter.listen[0] if diameter.listen is not None else "127.0.0.1"
    return PeerIdentity(diameter.origin_host, diameter.origin_realm, address, int(time.time()))


def _diameter_listener(
    config: Config,
    identity: PeerIdentity | None,
    dispatcher: Dispatcher,
    loop: ActorScheduler,
    clock: Callable[[], float],
) -> DiameterListener | None:
    if config.diameter is None or config.diameter.listen is None or identity is None:
        return None
    return DiameterListener(
        config.diameter,
        config.settings,
        identity,
        dispatcher,
        loop,
        clock,
        int(config.sockets * DIAMETER_CLIENTS_FRACTION),
    )
