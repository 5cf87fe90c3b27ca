"""A started member: its storage writer, its transport, and its node."""

from __future__ import annotations

import asyncio
import logging
import secrets
import socket
from collections.abc import Callable
from random import Random
from typing import Protocol, runtime_checkable

from badgeryoke.cluster.errors import ClusterError
from badgeryoke.cluster.events import (
    MessageReceived,
    NodeEvent,
    PersistedGroup,
    RecordsPersisted,
    StorageFailure,
    Tick,
)
from badgeryoke.cluster.invariants import Invariants
from badgeryoke.cluster.messages import AnyMessage, MemberId
from badgeryoke.cluster.node import LeaseClient, NodeSetup
from badgeryoke.cluster.reservations.lease_client import ReservationClient
from badgeryoke.gateway.address import parse_address
from badgeryoke.gateway.cluster.clock import ClusterClock
from badgeryoke.gateway.cluster.node_driver import Node, NodeDriver
from badgeryoke.gateway.cluster.pending_calls import PendingCalls
from badgeryoke.gateway.cluster.storage import ClusterStorage, StorageWriter
from badgeryoke.gateway.cluster.transport import ClusterTransport

log = logging.getLogger(__name__)

_RANDOM_SEED_BITS = 64
_PROCESS_TOKEN_BYTES = 4

NodeFactory = Callable[[NodeSetup, dict[str, PersistedGroup], Random, float, float, Invariants], Node]


@runtime_checkable
class LeaseClientHost(Protocol):
    """A node that polls lease clients; a test's replacement for the node may not do so."""

    lease_clients: list[LeaseClient]


class RunningMember:
    """Owns the storage, and runs once `make_node` and `start` were called.

    `on_failure` is called when the node fails, `on_storage_failure` when the storage stops writing.
    """

    def __init__(
        self,
        setup: NodeSetup,
        storage: ClusterStorage,
        clock: ClusterClock,
        calls: PendingCalls,
        on_failure: Callable[[ClusterError], None],
        on_storage_failure: Callable[[ClusterError], None],
    ) -> None:
        self._setup, self._storage, self._clock, self._calls = setup, storage, clock, calls
        self._on_failure, self._on_storage_failure = on_failure, on_storage_failure
        self._loop = asyncio.get_running_loop()
        self._driver: NodeDriver | None = None
        self.transport = ClusterTransport(
            setup.cluster_name,
            setup.member_id,
            {member.name: parse_address(member.address) for member in setup.members},
            self.on_messages,
            _log_transport_error,
            Random(secrets.randbits(_RANDOM_SEED_BITS)),
        )
        self.writer = StorageWriter(
            storage, self._loop.call_soon_threadsafe, self._on_persisted, self._storage_failed
        )

    @property
    def node(self) -> Node | None:
        """The node; None before `make_node`."""
        return self._driver.node if self._driver is not None else None

    @property
    def timer_armed(self) -> bool:
        """Whether a Tick is scheduled."""
        return self._driver is not None and self._driver.timer_armed

    def make_node(self, node_factory: NodeFactory, invariants: Invariants) -> Node:
        """Make the node from the stored groups."""
        node = node_factory(
            self._setup,
            self._storage.persisted_groups,
            Random(secrets.randbits(_RANDOM_SEED_BITS)),
            self._clock.monotonic_ms(),
            self._clock.unix_ms(),
            invariants,
        )
        self._storage.persisted_groups = {}  # owned by the node from now on
        self._driver = NodeDriver(
            node,
            self._setup.member_name,
            self._clock,
            invariants,
            self.writer,
            self.transport,
            self._calls,
            self._on_failure,
        )
        return node

    def add_reservation_client(self) -> ReservationClient | None:
        """Add a client for this gateway's reservations to the node; None if the node does not poll lease clients."""
        if not isinstance(self.node, LeaseClientHost):
            return None
        setup = self._setup
        zone = next(member.zone for member in setup.members if member.name == setup.member_name)
        process_token = secrets.token_hex(_PROCESS_TOKEN_BYTES)
        client = ReservationClient(setup.member_id, process_token, setup.timings, zone, len(setup.members))
        client.wake = self.wake
        self.node.lease_clients.append(client)
        return client

    def start(self, sockets: list[socket.socket]) -> None:
        """Accept peers on listening sockets, dial all peers, and feed the first Tick."""
        self.transport.listen(sockets)
        self.transport.dial_all()
        log.info(
            "cluster %s: member %s started, %d members, %d groups stored",
            self._setup.cluster_name,
            self._setup.member_id,
            len(self._setup.members),
            self._storage.group_count,
        )
        self.feed(Tick())

    def feed(self, *events: NodeEvent) -> None:
        """Feed events to the node in order."""
        if self._driver is not None:
            self._driver.feed(*events)

    def wake(self) -> None:
        """Tick in the event loop's next iteration, because something is due before `node.due`."""
        if self._driver is not None:
            self._driver.wake()

    def on_messages(self, sender: MemberId, messages: tuple[AnyMessage, ...]) -> None:
        """Feed the messages of one frame to the node."""
        self.feed(*(MessageReceived(sender, message) for message in messages))

    def stop(self) -> None:
        """Feed no more events and disconnect; records submitted so far are still written."""
        if self._driver is not None:
            self._driver.stop()
        self.transport.close()

    def _on_persisted(self, persisted: list[RecordsPersisted]) -> None:
        self.feed(*persisted)

    def _storage_failed(self, error: ClusterError) -> None:
        self._on_storage_failure(error)
        # Deferred: the node may still be handling the event whose records were rejected.
        self._loop.call_soon(self.feed, StorageFailure(error))


def _log_transport_error(error: ClusterError) -> None:
    log.warning("peer connection: %s", error)
