"""The gateway's side: how many connections it may open or has to close, and its lease requests."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

import msgspec

from badgeryoke.cluster.connection_limits.commands import (
    MAX_LIMIT,
    MAX_REQUESTS_PER_CALL,
    ConnectionLease,
    ConnectionLeaseRequest,
    ConnectionLeases,
    LeaseReference,
    LeaseRefusal,
    ReleaseConnectionLeases,
    ReleaseProof,
    RequestConnectionLeases,
    StaleLease,
)
from badgeryoke.cluster.connection_limits.holders import server_bucket
from badgeryoke.cluster.connection_limits.lease_timing import (
    CLOSE_BEFORE_EXPIRY_MS,
    connection_lease_ms,
    renewal_interval_ms,
)
from badgeryoke.cluster.connection_limits.server_connections import (
    MIN_REQUEST_INTERVAL_MS,
    PendingCall,
    ServerConnections,
)
from badgeryoke.cluster.errors import ClusterError, DuplicateId, InvalidCall, WrongState
from badgeryoke.cluster.invariants import Invariants, Rule
from badgeryoke.cluster.leases.lease import EPSILON
from badgeryoke.cluster.messages import MemberId
from badgeryoke.cluster.state_machine_part import ApplyResult, Command
from badgeryoke.cluster.timings import Timings

# Once the backoff between requests reaches this, a server without a limit is assumed to need one set anew, rather than
# to have one that is still being recorded.
UNKNOWN_LIMIT_AFTER_MS = 1000.0
# time after the start of a process by which the kernel has closed the sockets of an earlier one
KERNEL_RESET_MS = 1000.0


@dataclass(slots=True)
class ConnectionLeaseHolder:
    """The connection leases of one gateway process.  Times (`now`) are ms of a monotonic clock.

    The caller sets its need (`set_need`), checks `may_open` before it opens a connection and `lease_valid` before it
    uses one, reports each that it opens and closes, closes the `excess`, sends what `poll` returns and passes the
    outcome to `answered`.
    """

    holder: MemberId  # from `holder_id`
    timings: Timings
    invariants: Invariants
    started_ms: float  # `now` at the process's start
    # Whether no other process of this member runs (this one holds the lock on its folder); only then does it report
    # earlier ones as dead.
    only_process: bool = False
    need_multiple: float = 1.0  # factor on the need while a rolling restart makes other gateways unavailable
    draining: bool = False
    servers: dict[str, ServerConnections] = field(default_factory=dict)
    _pending: dict[str, PendingCall] = field(default_factory=dict)  # by bucket
    _stale: dict[str, list[StaleLease]] = field(default_factory=dict)  # by bucket
    _requested_buckets: set[str] = field(default_factory=set)
    # Servers whose requests found no limit, in that order; the caller clears it.
    servers_without_limit: dict[str, None] = field(default_factory=dict)
    _call_count: int = 0

    # Connections.

    def set_need(self, server: str, need: int) -> None:
        """Set how many connections are needed: those in use, and one for each waiting attempt."""
        connections = self.servers.setdefault(server, ServerConnections())
        connections.need = need
        connections.current_peak = max(connections.current_peak, need)

    def lease_valid(self, now: float, server: str) -> bool:
        """Whether the lease is in force; checked before each use of a connection, since a process that was frozen
        would otherwise continue to write."""
        connections = self.servers.get(server)
        return connections is not None and now < connections.lease_expires_ms

    def may_open(self, now: float, server: str) -> bool:
        """Whether another connection may be opened."""
        connections = self.servers.get(server)
        return connections is not None and connections.open < self._max_open(now, connections)

    def opened(self, now: float, server: str) -> None:
        """Count a connection as open; called before its first packet is sent."""
        connections = self.servers.setdefault(server, ServerConnections())
        connections.open += 1
        max_open = self._max_open(now, connections)
        self.invariants.check(
            Rule.OPEN_UNDER_LEASE,
            connections.open <= max_open,
            lambda: f"{server}: {connections.open} open, {max_open} leased at {now:g}",
        )

    def closing(self, server: str) -> None:
        """Count a connection as being closed."""
        self.servers[server].closing += 1

    def closed(self, server: str, already_closing: bool = False) -> None:
        """Count a connection as closed by the server; `already_closing`: after a call of `closing`."""
        connections = self.servers[server]
        connections.open = max(connections.open - 1, 0)
        connections.closing = max(min(connections.closing - already_closing, connections.open), 0)

    def excess(self, now: float) -> list[tuple[str, int]]:
        """Servers, each with the number of connections to close beyond those already being closed, because a lease has
        shrunk or nears its expiry.  The caller chooses which ones to close."""
        return [
            (server, excess)
            for server, connections in self.servers.items()
            if (excess := connections.open - connections.closing - self._max_open(now, connections)) > 0
        ]

    @property
    def empty(self) -> bool:
        """Whether nothing is open and no lease is held."""
        return not any(connections.open or connections.lease_number for connections in self.servers.values())

    def _max_open(self, now: float, connections: ServerConnections) -> int:
        if now >= connections.lease_expires_ms - CLOSE_BEFORE_EXPIRY_MS:
            return 0
        return min(connections.max_open, connections.need) if self.draining else connections.max_open

    # Requests.

    def _wanted(self, connections: ServerConnections) -> int:
        if self.draining:
            return connections.need
        need = max(connections.need, connections.peak, connections.current_peak)
        if not need:
            return 0
        # One more than needed, so that the next connection is opened without waiting for a grant.
        return min(math.ceil(need * self.need_multiple - EPSILON) + 1, MAX_LIMIT)

    def _request_due(self, now: float, connections: ServerConnections, wanted: int) -> bool:
        since_request_ms = now - connections.requested_at_ms
        if not connections.lease_number:
            return wanted > 0 and since_request_ms >= connections.backoff_ms
        if since_request_ms >= renewal_interval_ms(self.timings):
            return True
        if wanted > connections.granted and since_request_ms >= connections.backoff_ms:
            return True
        # An unused lease of a draining gateway is returned early too, even with nothing granted, so that the drain does
        # not wait for it.
        unused = self.draining and not wanted and not connections.open
        closed_down = connections.open <= self._max_open(now, connections) < connections.granted
        return (unused or closed_down) and since_request_ms >= MIN_REQUEST_INTERVAL_MS / 2

    def poll(self, now: float, wall: float) -> list[Command]:
        """The commands to send now, at most one for each bucket."""
        commands: list[Command] = []
        buckets: dict[str, list[str]] = {}
        for server in self.servers:
            buckets.setdefault(server_bucket(server), []).append(server)
        for bucket, servers in buckets.items():
            pending = self._pending.get(bucket)
            if pending is not None:
                if not pending.in_flight and now >= pending.retry_at_ms:
                    pending.in_flight = True
                    commands.append(pending.command)
                continue
            if (command := self._next_command(now, bucket, servers)) is not None:
                self._pending[bucket] = PendingCall(command, now, now)
                commands.append(command)
        return commands

    def _next_command(self, now: float, bucket: str, servers: list[str]) -> Command | None:
        if self.only_process and bucket in self._stale and now >= self.started_ms + KERNEL_RESET_MS:
            return self._release_stale(bucket)
        wanted = {server: self._wanted(self.servers[server]) for server in servers}
        if not any(self._request_due(now, self.servers[server], count) for server, count in wanted.items()):
            return None
        return self._request(now, bucket, wanted)

    def _release_stale(self, bucket: str) -> ReleaseConnectionLeases:
        """The command that releases the leases of one earlier process."""
        stale = self._stale[bucket]
        holder = stale[0].holder
        return ReleaseConnectionLeases(
            id=self._next_id(),
            holder=holder,
            bucket=bucket,
            leases=tuple(
                LeaseReference(lease.server, lease.lease_number) for lease in stale if lease.holder == holder
            ),
            proof=ReleaseProof.RESET.value,
            reported_by=self.holder,
        )

    def _request(self, now: float, bucket: str, wanted: dict[str, int]) -> RequestConnectionLeases:
        """The request for all servers of a bucket, starting with those whose last request is the oldest."""
        servers = [server for server, count in wanted.items() if self.servers[server].lease_number or count]
        servers.sort(key=lambda server: self.servers[server].requested_at_ms)
        requests = []
        for server in servers[:MAX_REQUESTS_PER_CALL]:
            connections = self.servers[server]
            # The kept connections include all that are open, and no more are opened before the answer.
            keep = max(connections.open, min(self._max_open(now, connections), wanted[server]))
            connections.max_open = min(keep, connections.granted)
            connections.requested_at_ms = now
            connections.peak, connections.current_peak = connections.current_peak, connections.need
            requests.append(
                ConnectionLeaseRequest(server, connections.lease_number, connections.max_open, wanted[server])
            )
        return RequestConnectionLeases(
            id=self._next_id(),
            holder=self.holder,
            bucket=bucket,
            requests=tuple(requests),
            first_request=bucket not in self._requested_buckets,
        )

    def _next_id(self) -> str:
        self._call_count += 1
        return f"conn/{self.holder}/{self._call_count}"

    # Answers.

    def answered(self, now: float, command: Command, result: ApplyResult | ClusterError) -> None:
        """Handle the outcome of a command from `poll`."""
        bucket = command.key()
        pending = self._pending.get(bucket)
        if pending is None or pending.command.id != command.id:
            return
        error = result if isinstance(result, ClusterError) else result.error
        if error is not None and not isinstance(error, InvalidCall | DuplicateId | WrongState):
            # Its outcome is unknown: it is retried with the same id until it is known.
            pending.schedule_retry(now, self.timings.lease_ms)
            return
        del self._pending[bucket]
        match command:
            case ReleaseConnectionLeases():
                self._stale_released(command)
            case RequestConnectionLeases() if error is None and isinstance(result, ApplyResult):
                answer = msgspec.convert(result.value, ConnectionLeases)
                self._apply_answer(command, answer, pending.first_sent_ms)

    def _stale_released(self, command: ReleaseConnectionLeases) -> None:
        """Delete the stale leases whatever the outcome: after an error they are no longer in force either."""
        remaining = [lease for lease in self._stale.pop(command.bucket, []) if lease.holder != command.holder]
        if remaining:
            self._stale[command.bucket] = remaining

    def _apply_answer(
        self, command: RequestConnectionLeases, answer: ConnectionLeases, sent_ms: float
    ) -> None:
        self._requested_buckets.add(command.bucket)
        if answer.stale:
            self._stale[command.bucket] = answer.stale
        wanted = {request.server: request.wanted for request in command.requests}
        for lease in answer.leases:
            self._apply_lease(lease, wanted[lease.server], sent_ms)
        # Servers are added and removed over time, so entries of unused ones are deleted.
        for server in [server for server, connections in self.servers.items() if connections.unused]:
            del self.servers[server]

    def _apply_lease(self, lease: ConnectionLease, wanted: int, sent_ms: float) -> None:
        connections = self.servers.setdefault(lease.server, ServerConnections())
        max_backoff_ms = renewal_interval_ms(self.timings)
        connections.back_off(lease.granted < wanted, max_backoff_ms)
        if lease.lease_number > 0:
            connections.lease_number, connections.granted = lease.lease_number, lease.granted
            connections.max_open = min(lease.granted, lease.target)
            connections.lease_expires_ms = sent_ms + connection_lease_ms(self.timings)
            return
        connections.drop_lease()
        if not wanted:
            # A returned lease may be requested again immediately, since queries are waiting for at most a short time.
            connections.requested_at_ms = -math.inf
        elif lease.lease_number == LeaseRefusal.LIMIT_UNKNOWN and connections.backoff_ms >= min(
            UNKNOWN_LIMIT_AFTER_MS, max_backoff_ms
        ):
            self.servers_without_limit[lease.server] = None
