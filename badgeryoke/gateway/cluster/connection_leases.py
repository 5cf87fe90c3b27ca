"""Server links under leases, and a roll's hand on this gateway: the shell around `Keeper` and `Rolled`.

A link dials by its `Lease`, and asks it before each use of a connection.  A connection counts from before its
first packet until the server has let go of it: whatever closes the stream half-closes the socket, which then
waits here for the server's end, a reset, or the end of the server's idle time.  So closing costs a link
nothing and waits for nobody.

All times are ms of the fleet's clock here, which never steps.
"""

from __future__ import annotations

import asyncio
import logging
import secrets
import socket
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Protocol

from tornado.iostream import IOStream

from badgeryoke.cluster.connection_limits import (
    CLOSING_MS,
    ConnectionLeaseHolder,
    RemoveConnectionLimit,
    SetConnectionLimit,
    process,
)
from badgeryoke.cluster.errors import ClusterError
from badgeryoke.cluster.invariants import Invariants
from badgeryoke.cluster.node import ClusterNode
from badgeryoke.cluster.rolling_restart.restart import DesiredState, RollingRestartAgent
from badgeryoke.cluster.state_machine.part import FLEET, ApplyResult, Command
from badgeryoke.gateway.actor import ActorScheduler
from badgeryoke.gateway.cluster.settings import ClusterSettings
from badgeryoke.gateway.connecting import READ_CHUNK_BYTES, new_socket

log = logging.getLogger(__name__)

LOOK_S = 0.05  # between two looks at what has to be closed, and at what a roll wants
SIFT_MS = 5000.0  # between two looks for limits that nobody needs any more
# for which a server is on no list here, and nobody holds a lease on it, until its limit is forgotten
GONE_MS = 60_000.0
MOST_GONE = 64  # limits taken back at one look
BOOT = Path("/proc/sys/kernel/random/boot_id")


class LeasedUpstream(Protocol):
    """A server link.  All but `need` leave a message."""

    @property
    def need(self) -> int:
        """Connections in use, and one for each attempt that waits."""

    def shrink(self, many: int, all_: bool) -> None:
        """Close so many: idle ones; `all_`: those in use as well, the lease is at its end."""

    def grown(self) -> None:
        """More may be open than before."""


class DrainableGateway(Protocol):
    """Of the gateway, what a roll asks of it."""

    def pause(self) -> str: ...

    def resume(self) -> str: ...

    def end(self) -> None: ...

    @property
    def drained(self) -> bool:
        """Clients are turned away, and the front knows."""

    @property
    def unanswered(self) -> int:
        """Queries without an answer."""


class LeasedStream(IOStream):
    """A stream whose socket is let go of, where others close it."""

    def __init__(self, made: socket.socket, most_buffered: int, lease: UpstreamLease) -> None:
        super().__init__(made, max_buffer_size=most_buffered)
        self._lease = lease

    def close_fd(self) -> None:
        """Tornado's way out, from whatever cause."""
        made, self.socket = self.socket, None  # type: ignore[assignment]  # as Tornado leaves it
        self._lease.let_go(made)


class UpstreamLease:
    """One server, as its link sees it."""

    def __init__(self, pools: ConnectionLeases, server: str) -> None:
        self._pools, self.server = pools, server
        self.link: LeasedUpstream | None = None
        self.open = 0
        self.surplus = 0  # connections in use that are closed when they become free
        self.gone = False  # the link is no more; what it has open still counts

    def held(self) -> bool:
        """Whether connections may be used now."""
        keeper = self._pools.keeper
        return keeper is not None and keeper.held(self._pools.now(), self.server)

    def may_open(self) -> bool:
        """Whether one more may be dialled."""
        keeper = self._pools.keeper
        return keeper is not None and not self.gone and keeper.may_open(self._pools.now(), self.server)

    def dial(self, address: tuple[str, int], most_buffered: int) -> tuple[IOStream, asyncio.Future[IOStream]]:
        """As `badgeryoke.gateway.actor.dial`, where `may_open` was true."""
        assert self._pools.keeper is not None
        made = new_socket(address)
        stream: IOStream = LeasedStream(made, most_buffered, self)
        self.open += 1
        self._pools.keeper.opened(self._pools.now(), self.server)
        return stream, stream.connect(address)

    def let_go(self, made: socket.socket) -> None:
        """Close this side; the connection counts until the server has closed its own."""
        assert self._pools.keeper is not None
        self._pools.keeper.closing(self.server)
        self._pools.linger(self, made)


class ConnectionLeases:
    """All server links of a gateway that keeps servers' limits, and its stand in a roll.  A
    `fleet.node.Holder`.

    `idle_ms`: so long after a connection's last use servers have closed it for sure.
    """

    def __init__(
        self,
        fleet: ClusterSettings,
        loop: ActorScheduler,
        now: Callable[[], float],
        idle_ms: float,
        gateway: DrainableGateway,
    ) -> None:
        self._named, self._any = dict(fleet.servers.limits), fleet.servers.connections
        self.idle_ms, self.now = idle_ms, now
        self._loop, self._gateway, self._events = loop, gateway, asyncio.get_running_loop()
        self._leases: dict[str, list[UpstreamLease]] = {}
        self._limits = self._named
        self._lingering: dict[socket.socket, tuple[UpstreamLease, asyncio.TimerHandle]] = {}
        self.alone = True  # no earlier process of this member answers clients still
        self.leaving = False  # the process is to end
        self.wake: Callable[[], None] | None = None  # the node's driver: something is due at once
        self.keeper: ConnectionLeaseHolder | None = None
        self.rolled: RollingRestartAgent | None = None
        self._node: ClusterNode | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._told = False  # of a list
        self._sift_at = 0.0
        self._missing: dict[
            str, float
        ] = {}  # limits in groups led here, of servers that are not listed, since when

    def begin(self, node: object, rules: Invariants) -> None:
        """The node is there, and with it the lock on the member's folder.  One that is only driven has no
        leases."""
        if not isinstance(node, ClusterNode):
            return
        boot = BOOT.read_text().strip() if BOOT.exists() else ""
        me = process(node.me, boot, secrets.token_hex(6))
        self.keeper = ConnectionLeaseHolder(me, node.setup.timings, rules, self.now(), self.alone)
        self.rolled = RollingRestartAgent(node.setup.me, me, len(node.setup.members), self._look_soon)
        self._node = node
        node.limits = dict(self._limits)
        if not node.setup.capacity:
            node.load.pop("capacity", None)  # not known: a roll does not judge room by it
        node.holders += [self, self.rolled]
        self._look()

    # Links.

    def lease(self, server: str) -> UpstreamLease | None:
        """For a new link to a server, by discovery's name; none where no limit is kept."""
        if not self._limit(server):
            return None
        made = UpstreamLease(self, server)
        self._leases.setdefault(server, []).append(made)
        return made

    def forget(self, lease: UpstreamLease) -> None:
        """Its link has been drained for good."""
        lease.gone = True
        self._tidy(lease)

    def _tidy(self, lease: UpstreamLease) -> None:
        if lease.gone and not lease.open and lease in (those := self._leases.get(lease.server, [])):
            those.remove(lease)
            if not those:
                del self._leases[lease.server]

    def _limit(self, server: str) -> int:
        return self._named.get(server, self._any)

    def listed(self, servers: Iterable[str]) -> None:
        """Discovery's list: whoever leads a group sees to the limits of these."""
        self._told = True
        self._limits = {**self._named, **{one: most for one in servers if (most := self._limit(one))}}
        if self._node is not None:
            self._node.limits = dict(self._limits)

    # Connections on their way out.

    def linger(self, lease: UpstreamLease, made: socket.socket) -> None:
        """Send the end, and wait for the server's."""
        try:
            # One call: what has not come up yet is taken back, and never comes up; what has is half-closed.
            made.shutdown(socket.SHUT_WR)
            made.getpeername()  # fails where nothing is open any more
        except OSError:
            self._let_go(lease, made)
            return
        timer = self._events.call_later(self.idle_ms / 1000.0, self._let_go, lease, made)
        self._lingering[made] = lease, timer
        self._events.add_reader(made, self._ended, made)
        self._ended(made)

    def _ended(self, made: socket.socket) -> None:
        """Read up to the end; what still comes is nobody's."""
        try:
            if made.recv(READ_CHUNK_BYTES):
                return
        except BlockingIOError:
            return
        except OSError:
            pass
        self._let_go(self._lingering[made][0], made)

    def _let_go(self, lease: UpstreamLease, made: socket.socket) -> None:
        """The server has let go of it."""
        assert self.keeper is not None
        if (found := self._lingering.pop(made, None)) is not None:
            found[1].cancel()
            self._events.remove_reader(made)
        made.close()
        lease.open -= 1
        self.keeper.closed(lease.server, begun=True)
        self._tidy(lease)
        self._grown(lease.server)

    def _grown(self, server: str) -> None:
        for lease in self._leases.get(server, ()):
            if lease.link is not None and not lease.gone:
                lease.link.grown()

    # Asking.

    def _wants(self, keeper: ConnectionLeaseHolder) -> None:
        for server, leases in self._leases.items():
            need = sum(one.link.need for one in leases if one.link is not None)
            if need or server in keeper.pools:
                keeper.want(server, need)

    def poll(self, now: float, wall: float) -> list[Command]:
        """See fleet.node.Holder."""
        assert self.keeper is not None
        self._wants(self.keeper)
        made = self.keeper.poll(now, wall)
        for server in self.keeper.unknown:  # whoever leads its group has no list that names it
            if most := self._limits.get(server):
                made.append(
                    SetConnectionLimit(
                        id=f"limit/{self.keeper.me}/{server}/{now:.0f}",
                        server=server,
                        most=most,
                        idle_ms=self.idle_ms,
                    )
                )
        self.keeper.unknown.clear()
        if now >= self._sift_at and self._told:
            self._sift_at = now + SIFT_MS
            made += self._sift(now)
        return made

    def _sift(self, now: float) -> list[Command]:
        """Limits of servers that are no more, in groups led here: off this gateway's list for long, and
        unused by all.

        A gateway whose list still names one and that wants it is told that no limit is known, and states it
        again."""
        assert self._node is not None
        missing: dict[str, float] = {}
        made: list[Command] = []
        for group, state in self._node.states.items():
            if group == FLEET or not self._node.replicas[group].leading:
                continue
            for server, one in state.parts["connections"].servers.items():
                if server in self._limits or one.parts.held:
                    continue
                missing[server] = self._missing.get(server, now)
                if now - missing[server] >= GONE_MS and len(made) < MOST_GONE:
                    made.append(RemoveConnectionLimit(id=f"unlimit/{server}/{state.index}", server=server))
        self._missing = missing
        return made

    def answered(self, now: float, command: Command, result: ApplyResult | ClusterError) -> None:
        """See fleet.node.Holder."""
        assert self.keeper is not None
        self.keeper.answered(now, command, result)
        for server, leases in self._leases.items():
            if any(one.link is not None and one.link.need for one in leases):
                self._grown(server)

    # What has to be closed, and a roll's wishes.

    @property
    def empty(self) -> bool:
        """Nothing is open and no lease is held."""
        return self.keeper is None or self.keeper.empty

    def leave(self) -> None:
        """The process is to end: close and give back what is not in use, from now on."""
        self.leaving = True
        self._look_now()

    def _look(self) -> None:
        self._timer = self._events.call_later(LOOK_S, self._look)
        self._look_now()

    def _look_soon(self) -> None:
        """Not within the node's own turn."""
        self._events.call_soon(self._look_now)

    def _look_now(self) -> None:
        keeper, rolled, node = self.keeper, self.rolled, self._node
        if keeper is None or rolled is None or node is None:
            return
        now = self.now()
        keeper.grow = rolled.grow
        keeper.leaving = self.leaving or rolled.lead_nothing
        node.lead_nothing = rolled.lead_nothing
        self._wants(keeper)
        self._close(keeper, now)
        replicas = [one for one in node.replicas.values() if one.me in one.config.voters]
        rolled.tell(
            leads=sum(one.leading for one in replicas),
            trimmed=all(pool.open - pool.closing <= pool.need for pool in keeper.pools.values()),
            drained=self._gateway.drained,
            empty=not self._gateway.unanswered and keeper.empty,
            whole=node.founding.record is not None and all(one.whole for one in replicas),
        )
        for duty in rolled.duties(now):
            log.info("roll %s: %s", rolled.record.get("roll"), duty.name.lower())
            if duty is DesiredState.LEAVE:
                self._gateway.end()
            elif said := self._gateway.pause() if duty is DesiredState.PAUSE else self._gateway.resume():
                log.warning("%s: %s", duty.name.lower(), said)
        if rolled.due <= now and self.wake is not None:
            self.wake()
        self._loop.run()

    def _close(self, keeper: ConnectionLeaseHolder, now: float) -> None:
        for leases in self._leases.values():
            for lease in leases:
                lease.surplus = 0
        for server, over in keeper.must_close(now):
            ends = not keeper.held(now + CLOSING_MS, server)
            for lease in self._leases.get(server, ()):
                part = min(over, lease.open)
                over -= part
                lease.surplus = part
                if part and lease.link is not None:
                    lease.link.shrink(part, ends)

    def close(self) -> None:
        """The end of the process: nothing more is looked at."""
        if self._timer is not None:
            self._timer.cancel()
        for made in list(self._lingering):
            self._let_go(self._lingering[made][0], made)
