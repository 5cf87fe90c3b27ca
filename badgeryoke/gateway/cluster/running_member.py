"""A member that runs: its storage writer, its transport, and the node that both serve."""

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
    """A node that polls lease clients; a stand-in may have none."""

    lease_clients: list[LeaseClient]


class RunningMember:
    """Owns the storage from its making on, and runs from `make_node` and `start` on.

    `on_failure` is called where the node fails, `on_storage_failure` where nothing more is written.
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
        """The node, once it is made."""
        return self._driver.node if self._driver is not None else None

    @property
    def timer_armed(self) -> bool:
        """Whether the node is to get a Tick."""
        return self._driver is not None and self._driver.timer_armed

    def make_node(self, node_factory: NodeFactory, invariants: Invariants) -> Node:
        """Make the node of what the storage holds."""
        node = node_factory(
            self._setup,
            self._storage.persisted_groups,
            Random(secrets.randbits(_RANDOM_SEED_BITS)),
            self._clock.monotonic_ms(),
            self._clock.unix_ms(),
            invariants,
        )
        self._storage.persisted_groups = {}  # the node's own from here on
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
        """Have the node poll for this gateway's reservations; None where it is a stand-in without lease clients."""
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
        """Accept peers on sockets that listen already, dial them, and give the node its first Tick."""
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
        """Hand events to the node in order."""
        if self._driver is not None:
            self._driver.feed(*events)

    def wake(self) -> None:
        """Something is due sooner than the node has said: tick in the loop's next turn."""
        if self._driver is not None:
            self._driver.wake()

    def on_messages(self, sender: MemberId, messages: tuple[AnyMessage, ...]) -> None:
        """The messages of one frame."""
        self.feed(*(MessageReceived(sender, message) for message in messages))

    def stop(self) -> None:
        """Hand the node no more events and disconnect; what was submitted is still written."""
        if self._driver is not None:
            self._driver.stop()
        self.transport.close()

    def _on_persisted(self, persisted: list[RecordsPersisted]) -> None:
        self.feed(*persisted)

    def _storage_failed(self, error: ClusterError) -> None:
        self._on_storage_failure(error)
        # Not at once: the node may be in the middle of the event whose records could not be taken.
        self._loop.call_soon(self.feed, StorageFailure(error))


def _log_transport_error(error: ClusterError) -> None:
    log.warning("peer connection: %s", error)
