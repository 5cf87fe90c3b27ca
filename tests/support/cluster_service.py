"""A cluster member with a scripted node, for tests of the service around the node."""

from __future__ import annotations

import math
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random
from typing import Any, TypeVar

import msgspec

from badgeryoke.cluster.events import Effect, NodeEvent, PersistedGroup
from badgeryoke.cluster.invariants import Invariants
from badgeryoke.cluster.node import LeaseClient, NodeSetup
from badgeryoke.gateway.cluster.service import ClusterService
from badgeryoke.gateway.cluster.settings import ClusterSettings
from tests.support.running import until
from tests.support.stand_ins import HOST

_Event = TypeVar("_Event")


class ScriptedNode:
    """Replaces the node: records events, and returns the effects that a test sets in `effects_of`."""

    def __init__(
        self,
        setup: NodeSetup,
        saved: dict[str, PersistedGroup],
        draw: Random,
        now: float,
        wall: float,
        invariants: Invariants,
    ) -> None:
        self.setup, self.saved, self.invariants = setup, saved, invariants
        self.lease_clients: list[LeaseClient] = []
        self.events: list[NodeEvent] = []
        self.due = math.inf
        self.effects_of: Callable[[Any], list[Effect]] = lambda event: []

    def handle(self, now: float, wall: float, event: NodeEvent) -> list[Effect]:
        """Record an event."""
        self.events.append(event)
        self.due = math.inf
        return self.effects_of(event)

    def status(self) -> dict[str, Any]:
        """Return a fixed status with one group."""
        return {"groups": {"g0": {"state": "leader", "term": 3}}}

    def events_of_type(self, kind: type[_Event]) -> list[_Event]:
        """Return the events of one type recorded so far, in order."""
        return [event for event in self.events if isinstance(event, kind)]


def free_port() -> int:
    """Return a loopback port that no process listens on."""
    with socket.create_server((HOST, 0)) as listening:
        return int(listening.getsockname()[1])


def cluster_settings(directory: Path, **changes: Any) -> ClusterSettings:
    """Return the settings of a cluster of three in which no process listens at the addresses of `b` and `c`.

    `changes` are keys of the section.
    """
    members = [
        {"name": name, "hall": "h", "address": f"{HOST}:{port}"}
        for name, port in (("a", free_port()), ("b", 1), ("c", 2))
    ]
    section = {
        "enabled": True,
        "name": "f",
        "folder": str(directory / "s"),
        "members": members,
        "timings": {"call_ms": 200.0},
        **changes,
    }
    return msgspec.convert(section, ClusterSettings)


@asynccontextmanager
async def running_service(
    directory: Path, **changes: Any
) -> AsyncIterator[tuple[ClusterService, ScriptedNode]]:
    """Run a member with a scripted node; yields both once the node is created."""
    service = ClusterService(cluster_settings(directory, **changes), "a", node_factory=ScriptedNode)
    service.start()
    await until(lambda: service.node is not None or service.failure is not None)
    node = service.node
    assert isinstance(node, ScriptedNode)
    try:
        yield service, node
    finally:
        service.close()


def feed(service: ClusterService, *events: NodeEvent) -> None:
    """Pass events to the node of a running member."""
    assert service.running is not None
    service.running.feed(*events)
