"""This gateway's membership in the cluster: its start, calls, status and shutdown.

The member may stop before the gateway does: a storage that cannot be opened, an exception, or a broken invariant stops
it with an error that calls and `status` report.  The gateway keeps serving requests.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from badgeryoke.cluster.errors import ClusterError, InvariantBroken, NoLeader, Overloaded, UnknownOutcome
from badgeryoke.cluster.events import (
    ClusterCall,
    LeaveCluster,
)
from badgeryoke.cluster.invariants import Invariants, Rule
from badgeryoke.cluster.node import ClusterNode
from badgeryoke.cluster.reservations.lease_client import ReservationClient
from badgeryoke.cluster.state_machine_part import ApplyResult, Command
from badgeryoke.gateway.cluster.admin_calls import StatusRequest, format_answer, parse_call
from badgeryoke.gateway.cluster.clock import ClusterClock, boot_time_ms
from badgeryoke.gateway.cluster.node_driver import Node
from badgeryoke.gateway.cluster.pending_calls import PendingCalls
from badgeryoke.gateway.cluster.running_member import NodeFactory, RunningMember
from badgeryoke.gateway.cluster.settings import ClusterSettings
from badgeryoke.gateway.cluster.startup import (
    force_groups,
    listen_when_free,
    node_setup,
    open_storage_when_free,
)
from badgeryoke.gateway.cluster.storage import ClusterStorage

if TYPE_CHECKING:
    from badgeryoke.gateway.cluster.connection_leases import ConnectionLeases

log = logging.getLogger(__name__)

MAX_PENDING_CALLS = 1024  # pending calls of this member; further ones are rejected
LEAVE_TIMEOUT_S = 1.0  # time for the node to transfer the leadership of its groups at a graceful shutdown
CLOSE_TIMEOUT_S = 0.5  # time for the last transaction of the storage
CALL_TIMEOUT_FACTOR = 2.0  # multiple of `call_ms`, within which the node completes a call


class ClusterService:
    """One member of the cluster.

    `connection_leases` and `on_reservation_client` may be set before `start`.  `on_reservation_client` is called when
    the node is made, with the client for this gateway's reservations and its clock, ms.
    """

    def __init__(
        self,
        settings: ClusterSettings,
        gateway_name: str,
        node_factory: NodeFactory | None = None,
        monotonic_ms: Callable[[], float] = boot_time_ms,
        unix_time_s: Callable[[], float] = time.time,
    ) -> None:
        self.settings = settings
        self.member = settings.me or gateway_name
        self.clock = ClusterClock(monotonic_ms, unix_time_s)
        # The leases of this gateway's upstream connections.
        self.connection_leases: ConnectionLeases | None = None
        self.reservation_client: ReservationClient | None = None
        self.on_reservation_client: Callable[[ReservationClient, Callable[[], float]], None] | None = None
        self.failure: ClusterError | None = None  # the reason why this member has stopped
        self.storage_failure: ClusterError | None = None
        self.running: RunningMember | None = None
        self._node_factory: NodeFactory = node_factory or ClusterNode
        self._invariants = Invariants(strict=False, on_broken=_log_broken_invariant)
        self._calls = PendingCalls(self.member)
        self._loop = asyncio.get_running_loop()
        self._start_task: asyncio.Task[None] | None = None
        self._leave_task: asyncio.Task[None] | None = None
        self._closed = False

    @property
    def node(self) -> Node | None:
        """The node; None before it is made."""
        return self.running.node if self.running is not None else None

    @property
    def pending_call_count(self) -> int:
        """Calls without a result."""
        return len(self._calls)

    # Start.

    def start(self) -> None:
        """Open the storage, listen, and run, in a task beside the gateway's own start.

        `close` does not cancel the task: it ends by itself, since it has to close what it has opened.
        """
        self._start_task = self._loop.create_task(self._start())

    async def _start(self) -> None:
        try:
            await self._open_and_run()
        except Exception:  # any exception: the gateway keeps running without the cluster
            log.exception("cluster member could not start")
            self._fail(InvariantBroken(self.member, "it could not start; see the log for the cause"))

    async def _open_and_run(self) -> None:
        opened = await open_storage_when_free(self.settings, self.member, self._is_closed)
        if isinstance(opened, ClusterError):
            self._fail(opened)
        elif opened is not None:
            try:
                await self._run(opened)
            finally:
                if self.running is None:  # a RunningMember closes its storage itself
                    opened.close()

    def _is_closed(self) -> bool:
        return self._closed

    async def _run(self, storage: ClusterStorage) -> None:
        own_address = next(member.address for member in self.settings.members if member.name == self.member)
        sockets = await listen_when_free(own_address, self._is_closed)
        if self._closed:
            for listening in sockets:
                listening.close()
            return
        for fault in storage.faults:
            log.error("%s", fault)
        setup = node_setup(self.settings, self.member, storage.incarnation)
        if self.connection_leases is not None:
            setup = replace(setup, connection_idle_ms=self.connection_leases.idle_ms)
        force_groups(self.settings, storage, setup.member_id, self.clock.unix_ms)
        running = self.running = RunningMember(
            setup, storage, self.clock, self._calls, self._fail, self._on_storage_failure
        )
        node = running.make_node(self._node_factory, self._invariants)
        self._add_lease_clients(running, node)
        running.start(sockets)

    def _add_lease_clients(self, running: RunningMember, node: Node) -> None:
        if self.connection_leases is not None:
            self.connection_leases.attach(node, self._invariants)
            self.connection_leases.wake = running.wake
        client = self.reservation_client = running.add_reservation_client()
        if client is not None and self.on_reservation_client is not None:
            self.on_reservation_client(client, self.clock.monotonic_ms)

    def _on_storage_failure(self, error: ClusterError) -> None:
        self.storage_failure = error
        log.error("%s", error)

    def _fail(self, error: ClusterError) -> None:
        """Stop this member: calls return the error from now on, and the other members see it as failed."""
        if self.failure is not None:
            return
        self.failure = error
        log.error("this member has stopped; the cluster continues without it: %s", error)
        if self.running is not None:
            self.running.stop()
        self._calls.complete_all(
            UnknownOutcome(self.member, f"this member stopped before the call was completed: {error.code}")
        )

    # Calls and status.

    async def call(self, command: Command) -> ApplyResult | ClusterError:
        """Send a command to the group of its key; returns within twice `call_ms`."""
        if self.failure is not None:
            return self.failure
        if self.running is None or self.node is None or self._closed:
            return NoLeader(self.member, "this member is starting or shutting down")
        if len(self._calls) >= MAX_PENDING_CALLS:
            return Overloaded(self.member, f"{MAX_PENDING_CALLS} calls are pending at this member")
        timeout_s = self.settings.timings.call_ms * CALL_TIMEOUT_FACTOR / 1000.0
        feed = self.running.feed
        try:
            result = await asyncio.wait_for(
                self._calls.wait_for_result(lambda token: feed(ClusterCall(token, command))),
                timeout_s,
            )
        except TimeoutError:
            return UnknownOutcome(command.id, "no answer in time")
        if isinstance(result, ApplyResult | ClusterError):
            return result
        return ApplyResult(result)

    async def answer(self, line: bytes) -> bytes:
        """Answer an operator's FLEET call: takes the rest of its line, returns the answer line."""
        match parse_call(line):
            case Command() as command:
                return format_answer(await self.call(command))
            case StatusRequest():
                return format_answer(ApplyResult(self.status()))
            case invalid:
                return format_answer(invalid)

    def status(self) -> dict[str, Any]:
        """For operators; JSON values, with those of the node and its parts."""
        status: dict[str, Any] = {"me": self.member, "groups": {}}
        if self.node is not None and self.failure is None:
            status |= self.node.status()
        errors = [error for error in (self.failure, self.storage_failure) if error is not None]
        running, reservations = self.running, self.reservation_client
        storage_status: dict[str, int] = {}
        if running is not None:
            storage_status = {
                "transactions": running.writer.transactions,
                "records": running.writer.records,
            }
        return status | {
            "fleet": self.settings.name,
            "broken": self._invariants.count,
            "errors": [str(error) for error in errors],
            "store": storage_status,
            "links": running.transport.status() if running is not None else {},
            "contracts": reservations.status(self.clock.monotonic_ms()) if reservations is not None else {},
        }

    # Shutdown.

    async def leave(self) -> None:
        """Transfer the leadership of groups before a graceful shutdown; calls are answered until `close`."""
        if self._leave_task is None:
            self._leave_task = self._loop.create_task(self._leave())
        await asyncio.shield(self._leave_task)

    async def _leave(self) -> None:
        if self.running is None or self.node is None or self.failure is not None or self._closed:
            return
        feed = self.running.feed
        try:
            await asyncio.wait_for(
                self._calls.wait_for_result(lambda token: feed(LeaveCluster(token))),
                LEAVE_TIMEOUT_S,
            )
        except TimeoutError:
            log.warning("not all groups were handed over within %g s", LEAVE_TIMEOUT_S)

    def close(self) -> None:
        """Stop sending and receiving, write what was submitted, and close the storage; further calls do nothing."""
        if self._closed:
            return
        self._closed = True
        if self.running is not None:
            if self.failure is None:
                self.running.stop()
            self.running.writer.close(CLOSE_TIMEOUT_S)
        self._calls.complete_all(
            UnknownOutcome(self.member, "this member shut down before the call was completed")
        )


def _log_broken_invariant(rule: Rule, facts: str) -> None:
    log.critical("invariant broken: %s: %s: %s", rule.name, rule.value, facts)
