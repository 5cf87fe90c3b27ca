"""A cluster member whose node is scripted, for tests of what stands around the node."""

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
    """In the node's place: records events, and returns the effects that a test lays out."""

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
        """Of one group."""
        return {"groups": {"g0": {"state": "leader", "term": 3}}}

    def events_of_type(self, kind: type[_Event]) -> list[_Event]:
        """Those recorded so far, in order."""
        return [event for event in self.events if isinstance(event, kind)]


def free_port() -> int:
    """A port of loopback that nobody listens on."""
    with socket.create_server((HOST, 0)) as listening:
        return int(listening.getsockname()[1])


def cluster_settings(directory: Path, **changes: Any) -> ClusterSettings:
    """Of member `a` among three; nobody listens at the others' addresses.  `changes` are keys of the section."""
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
    """A member with a scripted node, once that is made."""
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
    """Hand events to the node of a member that runs."""
    assert service.running is not None
    service.running.feed(*events)
