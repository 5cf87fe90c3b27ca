"""The configuration of a node, and the interface of the gateway's lease clients."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from badgeryoke.cluster.errors import ClusterError
from badgeryoke.cluster.messages import MemberId
from badgeryoke.cluster.state_machine_part import ApplyResult, Command
from badgeryoke.cluster.timings import Timings

ANY_SERVER = "*"  # in `NodeSetup.connection_limits`: the default for servers that are not listed
BOOTSTRAP_GROUP = ""  # the group name under which the bootstrap record is stored, as the body of a snapshot


@dataclass(frozen=True, slots=True)
class Member:
    """One member from the operators' file."""

    name: str
    zone: str
    address: str = ""  # HOST:PORT for connections between members


@dataclass(frozen=True, slots=True)
class NodeSetup:
    """The configuration of a node."""

    cluster_name: str
    member_name: str
    incarnation: str  # random, generated with the store; a new store means a new incarnation
    members: tuple[Member, ...]
    replication_factor: int = 3
    group_count: int = 8  # number of groups, without the cluster's own
    timings: Timings = field(default_factory=Timings)
    capacity: float = 0.0  # units per second that all contracts together may reserve
    connection_limits: dict[str, int] = field(default_factory=dict)  # by server
    # A server is certain to have closed a connection that was unused for this long.
    connection_idle_ms: float = 30_000.0

    @property
    def member_id(self) -> MemberId:
        """This member with its present incarnation."""
        return f"{self.member_name}/{self.incarnation}"


class LeaseClient(Protocol):
    """Requests and renews leases for this gateway.

    A client with an attribute `due` (ms, monotonic clock) is polled by then if that is before the regular poll.
    """

    def poll(self, now: float, wall: float) -> list[Command]:
        """Return the calls to make now, at most one in flight per key."""

    def answered(self, now: float, command: Command, result: ApplyResult | ClusterError) -> None:
        """Handle the result of a call that this client requested."""
