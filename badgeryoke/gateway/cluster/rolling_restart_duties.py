"""This gateway's duties in a rolling restart: pausing, resuming and ending it, and reporting its state."""

from __future__ import annotations

import logging
from typing import Protocol

from badgeryoke.cluster.connection_limits.lease_holder import ConnectionLeaseHolder
from badgeryoke.cluster.node import ClusterNode
from badgeryoke.cluster.rolling_restart.gateway_agent import DesiredState, RollingRestartAgent

log = logging.getLogger(__name__)


class DrainableGateway(Protocol):
    """The part of the gateway that a rolling restart uses."""

    def pause(self) -> str:
        """Begin draining; returns why that is not possible, or an empty text."""

    def resume(self) -> str:
        """Admit clients again; returns why that is not possible, or an empty text."""

    def end(self) -> None:
        """Begin a graceful shutdown."""

    @property
    def drained(self) -> bool:
        """Whether clients are rejected, and the load balancer has had time to notice."""

    @property
    def unanswered(self) -> int:
        """The number of requests without a response."""


class RollingRestartDuties:
    """Connects the agent, which holds the desired state, with the gateway."""

    def __init__(
        self,
        agent: RollingRestartAgent,
        node: ClusterNode,
        holder: ConnectionLeaseHolder,
        gateway: DrainableGateway,
    ) -> None:
        self.agent = agent
        self._node, self._holder, self._gateway = node, holder, gateway

    def apply_restrictions(self, draining: bool) -> None:
        """Apply the restart's restrictions to the node and the leases; `draining`: the process is shutting down."""
        self._holder.need_multiple = self.agent.need_multiple
        self._holder.draining = draining or self.agent.must_not_lead
        self._node.avoid_leadership = self.agent.must_not_lead

    def report_state(self) -> None:
        """Report this gateway's state to the agent."""
        node, holder = self._node, self._holder
        voting_replicas = [
            replica for replica in node.replicas.values() if replica.member_id in replica.config.voters
        ]
        self.agent.observe(
            groups_led=sum(replica.leading for replica in voting_replicas),
            trimmed=all(pool.open - pool.closing <= pool.need for pool in holder.servers.values()),
            drained=self._gateway.drained,
            empty=not self._gateway.unanswered and holder.empty,
            copies_complete=node.bootstrap.record is not None
            and all(replica.is_up_to_date for replica in voting_replicas),
        )

    def carry_out(self, now_ms: float) -> None:
        """Carry out the actions that the restart requires now."""
        for desired in self.agent.next_actions(now_ms):
            log.info("rolling restart %s: %s", self.agent.restart, desired.name.lower())
            obstacle = self._apply(desired)
            if obstacle:
                log.warning("rolling restart: cannot %s: %s", desired.name.lower(), obstacle)

    def _apply(self, desired: DesiredState) -> str:
        """Returns why the action is not possible, or an empty text."""
        match desired:
            case DesiredState.LEAVE:
                self._gateway.end()
                return ""
            case DesiredState.PAUSE:
                return self._gateway.pause()
            case DesiredState.RESUME:
                return self._gateway.resume()
