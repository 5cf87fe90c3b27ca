"""The lifecycle of one gateway: start, graceful shutdown and hot restart.

The shutdown's states and transitions are in `badgeryoke.gateway.graceful_shutdown`; this module posts the events
and executes the effects.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import math
import os
import socket
from collections.abc import Coroutine
from typing import TYPE_CHECKING, Any

from tornado.netutil import bind_sockets

from badgeryoke.gateway.address import Address
from badgeryoke.gateway.diameter.listener import BACKLOG as DIAMETER_BACKLOG
from badgeryoke.gateway.graceful_shutdown import (
    GracefulShutdown,
    ShutdownEffect,
    ShutdownEvent,
)
from badgeryoke.gateway.parts import GatewayParts
from badgeryoke.gateway.resp.listener import BACKLOG

if TYPE_CHECKING:
    from badgeryoke.decisions.state_snapshot import StateSnapshot
    from badgeryoke.gateway.admin.calls import AdminOperations
    from badgeryoke.gateway.admin.server import AdminServer
    from badgeryoke.gateway.cluster.rolling_restart_duties import DrainableGateway
    from badgeryoke.gateway.cluster.service import ClusterService
    from badgeryoke.gateway.hot_restart.transfer import SnapshotReceiver, SnapshotSender

log = logging.getLogger(__name__)

UPSTREAM_SWEEP_INTERVAL_S = 1.0
CLIENT_SWEEP_INTERVAL_S = 0.1
LAG_SAMPLE_INTERVAL_S = 0.01
POLL_INTERVAL_S = 0.02  # time between checks of a condition that the shutdown waits for
FAST_POLL_INTERVAL_S = 0.01  # the same interval at start and while leaving the cluster
ADMIN_BACKLOG = 64
# SIGKILL follows SIGTERM no sooner than after the longest deadline, counted as at most 3 s, plus 0.7 s.  Requests that
# were accepted after SIGTERM still have their full deadline.
MAX_COUNTED_DEADLINE_S = 3.0
KILL_MARGIN_S = 0.55
LAST_RESPONSES_WAIT_S = 0.05  # time to send the last responses
# Fraction of the bound on client connections that the new process uses while its predecessor still runs.
OVERLAP_CLIENTS_FRACTION = 0.5
LEASE_RETURN_TIMEOUT_S = 0.5  # time to return leases of unused connections before leaving the cluster
DISCOVERY_WAIT_S = 1.0  # time for discovery's first answer before a predecessor's state is requested


class Lifecycle:
    """Starts a gateway's parts and stops them in order, as signals, operators and other processes request."""

    def __init__(self, parts: GatewayParts) -> None:
        self._parts = parts
        self.shutdown = GracefulShutdown()
        self._terminated_at_s = math.inf  # the loop's time of the first SIGTERM
        self._admin_server: AdminServer | None = None
        self.snapshot_sender: SnapshotSender | None = None
        self.listening = False  # whether the gateway listens for clients
        self.done = asyncio.Event()  # set when all accepted requests are answered and the process may end
        self._tasks: set[asyncio.Task[None]] = set()  # a task without a reference could be garbage-collected
        # The addresses that were bound (for a configured port 0 the actual port); set at start.
        self.address: Any  # as getsockname() returns it: the form depends on the address family
        self.admin_address: Any
        self.diameter_address: Any

    # Start.

    def start(self, operations: AdminOperations, drainable: DrainableGateway) -> None:
        """Start to listen, to connect, and to watch discovery."""
        parts = self._parts
        if parts.config.operators.fleet is not None:
            self._start_cluster(drainable)
        if parts.counter is not None:
            parts.counter.open()
        parts.discovery.start()
        if parts.config.mgmt is not None:
            self._start_admin_server(operations, parts.config.mgmt)
        if parts.config.socket_fd is None or parts.config.folder is None:
            self._listen()
            self._listen_for_diameter()
        else:
            self._run_task(self._succeed_predecessor(parts.config.folder))
        parts.loop.call_later(UPSTREAM_SWEEP_INTERVAL_S, self._sweep_upstreams)
        parts.loop.call_later(CLIENT_SWEEP_INTERVAL_S, self._sweep_clients)
        self._sample_lag(parts.loop.time())

    def _run_task(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        return task

    async def cancel_tasks(self) -> None:
        """Cancel the remaining tasks; the last step of the process."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _start_cluster(self, drainable: DrainableGateway) -> None:
        # Loaded only if the cluster is on, to save memory.
        from badgeryoke.gateway.cluster.connection_leases import ConnectionLeases
        from badgeryoke.gateway.cluster.service import ClusterService

        parts, settings = self._parts, self._parts.config.operators.fleet
        assert settings is not None
        parts.cluster = cluster = ClusterService(settings, parts.config.name)
        # A connection may be in use for the longest deadline, and only then starts to be idle.
        idle_ms = parts.config.idle_ms + parts.longest_deadline_ms
        leases = ConnectionLeases(settings, parts.loop, cluster.clock.monotonic_ms, idle_ms, drainable)
        parts.connection_leases = cluster.connection_leases = parts.upstreams.connection_leases = leases
        cluster.on_reservation_client = parts.dispatcher.enable_reservations
        cluster.start()

    def _start_admin_server(self, operations: AdminOperations, address: Address) -> None:
        from badgeryoke.gateway.admin.server import AdminServer  # loaded only if it is configured

        self._admin_server = AdminServer(operations)
        host, port = address
        family = socket.AF_INET if "." in host else socket.AF_UNSPEC
        sockets = bind_sockets(port, host, family, ADMIN_BACKLOG)[:1]
        self.admin_address = sockets[0].getsockname()
        self._run_task(self._admin_server.serve(sockets))
        log.info("admin calls are accepted on %s:%d", host, port)

    def _listen_for_diameter(self, is_retry: bool = False) -> None:
        """Start to accept Diameter clients, if that is configured.

        The platform holds no Diameter socket, so a process that replaces another listens beside it on the same port
        until that one stops.
        """
        parts = self._parts
        if parts.diameter_listener is None or parts.config.diameter is None or self.shutdown.ending:
            return
        if (address := parts.config.diameter.listen) is None:
            return
        may_succeed = parts.config.socket_fd is not None
        try:
            sockets = bind_sockets(address[1], address[0], backlog=DIAMETER_BACKLOG, reuse_port=may_succeed)
        except OSError as fault:
            if not may_succeed or fault.errno != errno.EADDRINUSE:
                raise
            if not is_retry:
                log.warning("Diameter address %s:%d is in use: waiting for its owner to stop", *address)
            parts.loop.call_later(POLL_INTERVAL_S, self._listen_for_diameter, True)
            return
        self.diameter_address = sockets[0].getsockname()
        parts.diameter_listener.add_sockets(sockets)
        log.info("Diameter listens on %s:%d", *address)

    def _listen(self) -> None:
        """Start to accept clients."""
        config = self._parts.config
        host, port = config.listen
        if config.socket_fd is None:
            sockets = bind_sockets(port, host, backlog=BACKLOG)
        else:
            sockets = [socket.socket(fileno=os.dup(config.socket_fd))]  # a duplicate that may be closed
            sockets[0].setblocking(False)
        self.address = sockets[0].getsockname()
        self._parts.resp_listener.add_sockets(sockets)
        self.listening = True
        log.info("gateway %s listens on %s:%d", config.name, host, port)

    # Periodic work.

    def _sweep_upstreams(self) -> None:
        self._parts.upstreams.sweep()
        self._parts.loop.call_later(UPSTREAM_SWEEP_INTERVAL_S, self._sweep_upstreams)

    def _sweep_clients(self) -> None:
        self._parts.resp_listener.sweep()
        self._parts.loop.call_later(CLIENT_SWEEP_INTERVAL_S, self._sweep_clients)

    def _sample_lag(self, due_s: float) -> None:
        """Report to the dispatcher how late the event loop runs this timer."""
        loop = self._parts.loop
        now_s = loop.time()
        self._parts.dispatcher.record_loop_lag((now_s - due_s) * 1000.0)
        loop.call_later(LAG_SAMPLE_INTERVAL_S, self._sample_lag, now_s + LAG_SAMPLE_INTERVAL_S)

    # Hot restart.

    async def _succeed_predecessor(self, folder: str) -> None:
        """Take over the state of a predecessor, if one is serving, then serve in its place."""
        from badgeryoke.gateway.hot_restart import transfer  # loaded only for a hot restart

        parts = self._parts
        path = transfer.socket_path(folder, parts.config.name)
        receiver = transfer.SnapshotReceiver(path)
        deadline_s = parts.loop.time() + DISCOVERY_WAIT_S  # a snapshot names servers as discovery does
        while not parts.discovery.notified and parts.loop.time() < deadline_s:
            await asyncio.sleep(FAST_POLL_INTERVAL_S)
        await self._restore_from(receiver)
        if self.shutdown.ending:
            return
        self._listen()
        self._listen_for_diameter()
        self.snapshot_sender = transfer.SnapshotSender(path, self)
        await self.snapshot_sender.listen()
        await receiver.confirm_serving(lambda: parts.resp_listener.limit_connections(1.0))

    async def _restore_from(self, receiver: SnapshotReceiver) -> None:
        parts = self._parts
        if (snapshot := await receiver.receive()) is None:
            return
        parts.dispatcher.restore_snapshot(snapshot, parts.discovery.numbers)
        parts.resp_listener.limit_connections(OVERLAP_CLIENTS_FRACTION)
        if parts.connection_leases is not None:
            parts.connection_leases.only_process = False  # the predecessor is still answering
        log.info("state restored: %d customers, %d servers", len(snapshot.customers), len(snapshot.servers))

    def take_snapshot(self) -> StateSnapshot | str:
        """The state for a successor, or why there is none (hot_restart.transfer.Predecessor)."""
        if self.shutdown.ending:
            return f"this process is {self.shutdown.state.value}"
        names = {number: name for name, number in self._parts.discovery.numbers.items()}
        return self._parts.dispatcher.take_snapshot(names)

    def successor_ready(self, snapshot: StateSnapshot) -> None:
        """Hand over to a successor that serves from this snapshot (hot_restart.transfer.Predecessor)."""
        self._parts.dispatcher.mark_transferred(snapshot)
        self.post(ShutdownEvent.SUCCESSOR_READY)
        if self._parts.cluster is not None:  # the successor waits for the cluster's folder
            self._run_task(self._leave_cluster(self._parts.cluster))

    # Graceful shutdown.

    def terminate(self) -> None:
        """SIGTERM: accept connections until the load balancer has noticed, answer all requests, then exit."""
        parts = self._parts
        if not self.shutdown.ending:
            log.info("shutting down: %d unanswered", parts.dispatcher.unanswered)
            if parts.cluster is not None:
                if parts.connection_leases is not None:
                    parts.connection_leases.drain()
                self._run_task(parts.cluster.leave())
        self._terminated_at_s = min(self._terminated_at_s, parts.loop.time())
        self.post(ShutdownEvent.TERMINATE)

    def post(self, event: ShutdownEvent, generation: int | None = None) -> None:
        """Post an event to the shutdown's state machine, and execute the effects."""
        before = self.shutdown.state
        effects = self.shutdown.post(event, generation)
        if self.shutdown.state is not before:
            unanswered = self._parts.dispatcher.unanswered
            log.info("%s: %s, %d unanswered", event.value, self.shutdown.state.value, unanswered)
        for effect in effects:
            self._execute(effect)

    def _execute(self, effect: ShutdownEffect) -> None:
        match effect:
            case ShutdownEffect.FAIL_PING:
                self._set_rejecting(True)
            case ShutdownEffect.PASS_PING:
                self._set_rejecting(False)
            case ShutdownEffect.START_NOTICE_TIMER:
                self._parts.loop.call_later(
                    self._parts.config.drain_s,
                    self.post,
                    ShutdownEvent.NOTICE_ELAPSED,
                    self.shutdown.generation,
                )
            case ShutdownEffect.CLOSE_CONNECTIONS:
                self._close_connections()
            case ShutdownEffect.KEEP_CONNECTIONS:
                self._parts.resp_listener.keep_connections()
            case ShutdownEffect.STOP_ACCEPTING:
                self._stop_accepting()
            case ShutdownEffect.AWAIT_REQUESTS:
                self._await_requests()
            case ShutdownEffect.REPORT_USAGE:
                self._report_usage()
            case ShutdownEffect.EXIT:
                self._exit()

    def _set_rejecting(self, rejecting: bool) -> None:
        self._parts.resp_listener.reports_not_ready = rejecting
        if self._parts.diameter_listener is not None:
            self._parts.diameter_listener.draining = rejecting

    def _close_connections(self) -> None:
        self._parts.resp_listener.drain_connections()
        if self._parts.diameter_listener is not None:
            for peer in list(self._parts.diameter_listener.connections):
                peer.drain()

    def _stop_accepting(self) -> None:
        self._parts.resp_listener.stop()
        if self._parts.diameter_listener is not None:
            self._parts.diameter_listener.stop()

    def _await_requests(self) -> None:
        loop = self._parts.loop
        allowed_s = min(self._parts.longest_deadline_ms / 1000.0, MAX_COUNTED_DEADLINE_S) + KILL_MARGIN_S
        remaining_s = max(self._terminated_at_s + allowed_s - loop.time(), 0.0)
        loop.call_later(remaining_s, self._reject_new_requests)
        loop.call_later(remaining_s, self._answer_all_now)
        self._poll_connections()

    def _reject_new_requests(self) -> None:
        """Reject requests from now on: they could not be answered before the process ends."""
        self._parts.resp_listener.reject_new_requests()
        if self._parts.diameter_listener is not None:
            for peer in list(self._parts.diameter_listener.connections):
                peer.refuse_new_requests()

    def _answer_all_now(self) -> None:
        """Give all pending requests their final response shortly before SIGKILL.

        A deadline beyond MAX_COUNTED_DEADLINE_S may not have expired, and its request would be lost.
        """
        if not self.done.is_set():
            log.warning(
                "shutdown time is over: %d unanswered requests are rejected or failed",
                self._parts.dispatcher.unanswered,
            )
            self._parts.dispatcher.answer_all_now()
            self._parts.loop.call_later(LAST_RESPONSES_WAIT_S, self.post, ShutdownEvent.TIME_EXPIRED)

    def _poll_connections(self) -> None:
        diameter = self._parts.diameter_listener
        if self._parts.resp_listener.connections or (diameter is not None and diameter.connections):
            self._parts.loop.call_later(POLL_INTERVAL_S, self._poll_connections)
            return
        self.post(ShutdownEvent.ALL_ANSWERED)

    def _report_usage(self) -> None:
        log.info("all requests are answered")
        self._parts.discovery.stop()
        self._parts.dispatcher.flush_timers()
        deadline_s = self._parts.loop.time() + self._parts.config.settings.counter_timeout_ms / 1000.0
        self._parts.loop.call_later(POLL_INTERVAL_S, self._poll_reports, deadline_s)

    def _poll_reports(self, deadline_s: float) -> None:
        """Wait for the last reports, at most for a call's timeout: closing at once would lose them."""
        loop, counter = self._parts.loop, self._parts.counter
        if counter is not None:
            if counter.has_pending_calls and loop.time() < deadline_s:
                loop.call_later(POLL_INTERVAL_S, self._poll_reports, deadline_s)
                return
            counter.close()
        loop.call_later(POLL_INTERVAL_S, self.post, ShutdownEvent.USAGE_REPORTED)

    def _exit(self) -> None:
        if self._admin_server is not None:
            self._admin_server.close()
        if self.snapshot_sender is not None:
            self.snapshot_sender.close()
        if self._parts.cluster is not None:
            leaving = self._run_task(self._leave_cluster(self._parts.cluster))
            leaving.add_done_callback(lambda _: self.done.set())
        else:
            self.done.set()

    async def _leave_cluster(self, cluster: ClusterService) -> None:
        """Return the connection leases, then leave the cluster, which transfers leadership; in bounded time."""
        leases, loop = self._parts.connection_leases, self._parts.loop
        if leases is not None:
            leases.drain()
            deadline_s = loop.time() + LEASE_RETURN_TIMEOUT_S
            while not leases.is_empty and loop.time() < deadline_s:
                await asyncio.sleep(FAST_POLL_INTERVAL_S)
        await cluster.leave()
        cluster.close()
