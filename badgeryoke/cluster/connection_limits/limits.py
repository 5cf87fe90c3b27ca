"""The replicated part: each server's limit, and the share of it that each holder has leased."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any
from zlib import crc32

import msgspec

from badgeryoke.cluster.connection_limits.commands import (
    ConnectionLease,
    ConnectionLeaseRequest,
    ConnectionLeases,
    LeaseReference,
    LeaseRefusal,
    ReleaseConnectionLeases,
    ReleaseProof,
    RemoveConnectionLimit,
    RequestConnectionLeases,
    SetConnectionLimit,
    StaleLease,
)
from badgeryoke.cluster.connection_limits.holders import machine_of, server_bucket
from badgeryoke.cluster.connection_limits.lease_timing import CLOSE_BEFORE_EXPIRY_MS, connection_lease_ms
from badgeryoke.cluster.errors import InvalidCall, NotFound
from badgeryoke.cluster.invariants import Invariants, Rule
from badgeryoke.cluster.leases.lease import EPSILON, LeaseGrant, LeaseRequest, LeaseShare
from badgeryoke.cluster.leases.lease_pool import LeasePool
from badgeryoke.cluster.messages import MemberId
from badgeryoke.cluster.state_machine_part import ApplyResult, Command, LeaderView
from badgeryoke.cluster.timings import Timings

MAX_SERVERS = 4096  # servers with a limit in one group; further ones are rejected
MAX_RELEASES_PER_HEARTBEAT = 64  # commands proposed by the leader; the others follow at the next heartbeat


@dataclass(slots=True)
class ServerLimit:
    """One server's limit.  `pool.target` is the limit; `pool.capacity` is higher while more than a lowered limit is
    granted."""

    idle_timeout_ms: float
    pool: LeasePool
    removed: bool = False


class ConnectionLimits:
    """The limits of a group's servers, and the leases on them.  A `StateMachinePart`."""

    def __init__(self, invariants: Invariants, timings: Timings) -> None:
        self._invariants, self._timings = invariants, timings
        self.servers: dict[str, ServerLimit] = {}
        # Shared by all servers, so that numbers do not start at 1 again for a server that is removed and added again.
        self._last_lease_number = 0

    def apply(self, at_ms: float, command: Command) -> ApplyResult:
        """See `StateMachinePart.apply`."""
        if problem := command.validate():
            return ApplyResult(error=InvalidCall(command.key(), problem))
        match command:
            case SetConnectionLimit():
                return self._set_limit(command)
            case RemoveConnectionLimit():
                return self._remove_limit(command)
            case RequestConnectionLeases():
                return self._grant_leases(command)
            case ReleaseConnectionLeases():
                return self._release(command)
        return ApplyResult(error=InvalidCall("connections", f"unknown command {command.command_name()}"))

    def _set_limit(self, command: SetConnectionLimit) -> ApplyResult:
        limit = self.servers.get(command.server)
        if limit is None:
            if len(self.servers) >= MAX_SERVERS:
                return ApplyResult(
                    error=InvalidCall(command.server, f"{MAX_SERVERS} servers have a limit already")
                )
            limit = ServerLimit(command.idle_timeout_ms, LeasePool(0.0, step=1.0))
            self.servers[command.server] = limit
        limit.pool.resize(float(command.max_connections), 0.0)
        limit.idle_timeout_ms, limit.removed = command.idle_timeout_ms, False
        return ApplyResult({"granted": int(limit.pool.granted())})

    def _remove_limit(self, command: RemoveConnectionLimit) -> ApplyResult:
        limit = self.servers.get(command.server)
        if limit is None:
            return ApplyResult(error=NotFound(command.server, "no limit of that server is known"))
        limit.pool.resize(0.0, 0.0)
        limit.removed = True
        self._delete_if_unused(command.server)
        return ApplyResult({"granted": int(limit.pool.granted())})

    def _delete_if_unused(self, server: str) -> None:
        if self.servers[server].removed and not self.servers[server].pool.leases:
            del self.servers[server]

    def _grant_leases(self, command: RequestConnectionLeases) -> ApplyResult:
        leases = [self._grant(command.holder, request) for request in command.requests]
        stale = self._stale_leases(command) if command.first_request else []
        return ApplyResult(msgspec.to_builtins(ConnectionLeases(leases, stale)))

    def _stale_leases(self, command: RequestConnectionLeases) -> list[StaleLease]:
        """Leases in the bucket that other processes of the holder's machine hold."""
        machine = machine_of(command.holder)
        if machine is None:
            return []
        return [
            StaleLease(holder, server, share.number)
            for server, limit in self.servers.items()
            if server_bucket(server) == command.bucket
            for holder, share in limit.pool.leases.items()
            if holder != command.holder and machine_of(holder) == machine
        ]

    def _grant(self, holder: MemberId, request: ConnectionLeaseRequest) -> ConnectionLease:
        limit = self.servers.get(request.server)
        if limit is None:
            return ConnectionLease(request.server, LeaseRefusal.LIMIT_UNKNOWN)
        pool = limit.pool
        granted_before = pool.granted()
        pool.last_number = self._last_lease_number
        grant = pool.request(
            LeaseRequest(holder, request.lease_number, request.keep, request.wanted, 0.0), self._invariants
        )
        # Without a grant, the request keeps more than its lease has, or names an expired lease.
        if not isinstance(grant, LeaseGrant):
            return ConnectionLease(request.server, LeaseRefusal.LEASE_EXPIRED)
        share = pool.leases.get(holder)
        if share is None:
            self._delete_if_unused(request.server)
            return ConnectionLease(request.server, 0, spare=max(int(grant.slack), 0))
        target = self._grow_to_target(holder, request, pool, share, grant.fair_share)
        self._check_grant(request.server, pool, share, granted_before)
        spare = max(int(pool.target - pool.granted()), 0)
        return ConnectionLease(request.server, share.number, int(share.share), target, spare)

    def _grow_to_target(
        self,
        holder: MemberId,
        request: ConnectionLeaseRequest,
        pool: LeasePool,
        share: LeaseShare,
        fair_share: float,
    ) -> int:
        """Grant one more connection if the holder is below its target; returns the target.

        A fair share below 1, such as 0.12, is rounded up to one connection, granted in the order of requests;
        otherwise no holder would get any.  Connections left over from rounding shares down are not granted while
        another holder has less than its rounded-down share; otherwise they would circulate among holders that
        already have theirs."""
        whole_share = int(fair_share + EPSILON)
        others_short = any(
            other.share + EPSILON < min(other.wanted, whole_share)
            for name, other in pool.leases.items()
            if name != holder
        )
        target = min(whole_share if others_short else math.ceil(fair_share - EPSILON), request.wanted)
        granted = pool.granted()
        if share.share < target and pool.target - granted >= 1.0 - EPSILON:
            pool.grow(holder, 1.0)
            granted += 1.0
        if pool.target - granted >= 1.0 - EPSILON and not others_short:
            # No holder is below its share, so idle connections may stay open.
            target = max(target, int(share.share))
        return target

    def _check_grant(self, server: str, pool: LeasePool, share: LeaseShare, granted_before: float) -> None:
        self._invariants.check(
            Rule.LEASE_ONCE,
            share.number > self._last_lease_number,
            lambda: (
                f"{server}: lease {share.number} was given before, the last was {self._last_lease_number}"
            ),
        )
        self._last_lease_number = share.number
        granted, limit = pool.granted(), pool.target
        self._invariants.check(
            Rule.CONNECTIONS_FIT,
            granted <= max(limit, granted_before) + EPSILON,
            lambda: f"{server}: {granted:g} of {limit:g} granted, {granted_before:g} before",
        )

    def _release(self, command: ReleaseConnectionLeases) -> ApplyResult:
        released = 0
        for lease in command.leases:
            limit = self.servers.get(lease.server)
            if limit is not None and limit.pool.release(command.holder, lease.lease_number):
                released += 1
                self._delete_if_unused(lease.server)
        return ApplyResult({"ended": released})

    def lease_duration_ms(self) -> float:
        """Duration of a lease by its holder's clock."""
        return connection_lease_ms(self._timings)

    def expiry_after_ms(self, idle_timeout_ms: float) -> float:
        """Time from when a grant was seen here until the server has closed the holder's connections, even if the holder
        is dead: the lease and then the idle timeout, assuming the slowest clock at the holder and the fastest
        here."""
        drift = self._timings.clock_drift
        longest_ms = (self.lease_duration_ms() + idle_timeout_ms) * (1.0 + drift) / (1.0 - drift)
        return longest_ms + CLOSE_BEFORE_EXPIRY_MS

    def leader_tasks(self, view: LeaderView) -> list[Command]:
        """Release the leases of lost holders."""
        self.record_applied(view.now)
        expired: dict[tuple[MemberId, str], list[LeaseReference]] = {}
        for server, limit in self.servers.items():
            expiry_ms = self.expiry_after_ms(limit.idle_timeout_ms)
            for holder, lease_number in limit.pool.expired(view.now, expiry_ms, view.leader_since_ms):
                leases = expired.setdefault((holder, server_bucket(server)), [])
                leases.append(LeaseReference(server, lease_number))
        return [
            _release_command(holder, bucket, leases)
            for (holder, bucket), leases in list(expired.items())[:MAX_RELEASES_PER_HEARTBEAT]
        ]

    def record_applied(self, now: float) -> None:
        """See `StateMachinePart.record_applied`."""
        for limit in self.servers.values():
            limit.pool.mark_seen(now)

    def summary(self) -> dict[str, Any]:
        """For operators, under wire keys: the limit, the connections granted, and the number of holders."""
        return {
            server: {
                "limit": int(limit.pool.target),
                "granted": int(limit.pool.granted()),
                "holders": len(limit.pool.leases),
            }
            for server, limit in self.servers.items()
        }

    def dump(self) -> Any:
        """See `StateMachinePart.dump`; the order of the lists is the stored format."""
        return [
            self._last_lease_number,
            [
                [server, limit.idle_timeout_ms, limit.removed, limit.pool.dump()]
                for server, limit in self.servers.items()
            ],
        ]

    def load(self, raw: Any) -> None:
        """See `StateMachinePart.load`."""
        self._last_lease_number, servers = raw
        self.servers = {
            server: ServerLimit(idle_timeout_ms, LeasePool.load(pool), removed)
            for server, idle_timeout_ms, removed, pool in servers
        }


def _release_command(holder: MemberId, bucket: str, leases: list[LeaseReference]) -> ReleaseConnectionLeases:
    # The id contains a checksum of the leases as plain tuples, so that a repeated proposal has the same id.
    checksum = crc32(repr([(lease.server, lease.lease_number) for lease in leases]).encode())
    return ReleaseConnectionLeases(
        id=f"conn-end/{bucket}/{holder}/{checksum:08x}",
        holder=holder,
        bucket=bucket,
        leases=tuple(leases),
        proof=ReleaseProof.IDLE.value,
    )
