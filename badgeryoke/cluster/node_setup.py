"""What a node is given at its start, and what it asks of the gateway's lease clients."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from badgeryoke.cluster.errors import ClusterError
from badgeryoke.cluster.messages import MemberId
from badgeryoke.cluster.state_machine_part import ApplyResult, Command
from badgeryoke.cluster.timings import Timings

ANY_SERVER = "*"  # in `NodeSetup.connection_limits`: each server that is not named
BOOTSTRAP_GROUP = ""  # the group under which a store keeps the bootstrap record, as a snapshot's body


@dataclass(frozen=True, slots=True)
class Member:
    """One member, as the operators' file names it."""

    name: str
    zone: str
    address: str = ""  # HOST:PORT for the cluster's own connections


@dataclass(frozen=True, slots=True)
class NodeSetup:
    """What a node is given at its start."""

    cluster_name: str
    member_name: str
    incarnation: str  # drawn when the store was made; a new store is a new one
    members: tuple[Member, ...]
    replication_factor: int = 3
    group_count: int = 8  # beside the cluster's own
    timings: Timings = field(default_factory=Timings)
    capacity: float = 0.0  # units a second that contracts may take in all
    connection_limits: dict[str, int] = field(default_factory=dict)  # by server
    connection_idle_ms: float = (
        30_000.0  # so long after its last use a server has closed a connection for sure
    )

    @property
    def member_id(self) -> MemberId:
        """This member with its present incarnation."""
        return f"{self.member_name}/{self.incarnation}"


class LeaseClient(Protocol):
    """This gateway's side of leases: asks for them, and knows when they expire.

    One with an attribute `due` (ms, the monotonic clock) is polled by then, if that is before its usual time.
    """

    def poll(self, now: float, wall: float) -> list[Command]:
        """Calls to make now; one at a time for each key."""

    def answered(self, now: float, command: Command, result: ApplyResult | ClusterError) -> None:
        """Take the result of a call that this client asked for."""
