"""Puts the parts together: one gateway, from its configuration to its end."""

from __future__ import annotations

import asyncio
import logging
import math
import os
import random
import signal
import socket
import time
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from tornado.netutil import bind_sockets

from badgeryoke.decisions.interface import CounterReply, EndpointList, EndpointState, Verdict
from badgeryoke.gateway.actor import ActorScheduler, WallClock
from badgeryoke.gateway.config.operators_file import NAME
from badgeryoke.gateway.config.platform_file import Config, ConfigError, lacking
from badgeryoke.gateway.diameter.client_connection import DiameterListener
from badgeryoke.gateway.diameter.peer import PeerIdentity
from badgeryoke.gateway.diameter.upstream_connection import DiameterUpstream
from badgeryoke.gateway.discovery.client import DiscoveryClient
from badgeryoke.gateway.discovery.endpoint_list import Endpoint
from badgeryoke.gateway.dispatcher import Dispatcher
from badgeryoke.gateway.graceful_shutdown import GracefulShutdown, ShutdownEffect, ShutdownEvent
from badgeryoke.gateway.graceful_shutdown import ShutdownState as Standing
from badgeryoke.gateway.quota_counter.client import QuotaCounterClient
from badgeryoke.gateway.resp.listener import BACKLOG, RespListener
from badgeryoke.gateway.resp.upstream_connection import RespUpstream
from badgeryoke.gateway.response_stream import BufferBudget

if TYPE_CHECKING:
    from badgeryoke.decisions.state_snapshot import StateSnapshot
    from badgeryoke.gateway.admin.server import AdminServer
    from badgeryoke.gateway.cluster.connection_leases import ConnectionLeases
    from badgeryoke.gateway.cluster.service import ClusterService
    from badgeryoke.gateway.hot_restart.transfer import SnapshotSender

log = logging.getLogger(__name__)

CLIENT_PART, SERVER_PART, DIAMETER_PART = 0.5, 0.3, 0.1  # of the descriptors, for each kind of link
CROWD_PART = 0.2  # of the descriptors, from which on idle clients are closed sooner (resp/front.py)
LEAST_POOL = 4
SWEEP_S = 1.0
CLIENT_SWEEP_S = 0.1
LAG_LOOK_S = 0.01
# Of the memory that is left beside the program itself: for bodies of open queries, and for half commands.
PROGRAM_MB, BODIES_PART, HALVES_PART = 24.0, 0.25, 0.15
LONG_PART = 0.2  # and for long values on their way; as much again lies in the streams' own buffers
LEAST_MB = 4.0
# SIGKILL comes no sooner after SIGTERM than the longest deadline, counted as 3 s where it is longer, and
# 0.7 s more; what was taken in the grace has its whole deadline still.
KILL_COUNTS_S, KILL_MARGIN_S = 3.0, 0.55
LAST_WORDS_S = 0.05  # for the last answers to go out
# What a reload does not change.
OF_THE_PROCESS = (
    "name",
    "listen",
    "seed",
    "sockets",
    "memory_mb",
    "known",
    "drain_s",
    "mgmt",
    "socket_fd",
    "folder",
    "diameter",
    "operators",
)
# While the process that is replaced lives, the new one keeps to this part of the bound on client connections.
OVERLAP_PART = 0.5
GIVE_BACK_S = 0.5  # for connections that are not in use any more, before the fleet's part ends
LIST_S = 1.0  # for discovery's first answer, before the state of an older process is asked for


class AbsentCounter:
    """Stands where the settings give no counter."""

    def __init__(self, loop: ActorScheduler) -> None:
        self._loop = loop

    def add(self, name: int, units: float, life_ms: float, done: Callable[[CounterReply], None]) -> None:
        self._loop.call_soon(done, CounterReply(name, Verdict.CONNECT_FAILED, 0.0))


class GatewayApplication:
    """One gateway."""

    def __init__(
        self,
        config: Config,
        clock: Callable[[], float] | None = None,
        reread: Callable[[], Config] | None = None,
    ) -> None:
        self._config, self._reread = config, reread
        self._loop = loop = ActorScheduler(asyncio.get_running_loop())
        self._clock = clock or WallClock(time.monotonic, time.time)
        self._links: dict[int, tuple[Endpoint, RespUpstream | DiameterUpstream]] = {}
        self._counter = (
            QuotaCounterClient(config.counter, config.settings.counter_timeout_ms, loop, self._clock)
            if config.counter is not None
            else None
        )
        room = int(max(config.memory_mb - PROGRAM_MB, LEAST_MB) * 1024 * 1024)
        self.core = Dispatcher(
            config.settings,
            config.seed,
            loop,
            self._clock,
            self._link,
            self._counter or AbsentCounter(loop),
            int(room * BODIES_PART),
            config.operators.counter_watch.enabled,
            config.operators.fleet is not None,
        )
        self._room = BufferBudget(int(room * LONG_PART))
        self._hosts = DiscoveryClient(
            config.discovery,
            config.known,
            loop,
            self._changed,
            config.settings.gateway_count,
            random.Random(config.seed).random,
        )
        self._front = RespListener(
            self.core,
            loop,
            int(config.sockets * CLIENT_PART),
            self._hosts,
            int(room * HALVES_PART),
            int(config.sockets * CROWD_PART),
        )
        self._diameter: DiameterListener | None = None
        if (second := config.diameter) is not None:
            address = second.listen[0] if second.listen is not None else "127.0.0.1"
            self._me = PeerIdentity(second.origin_host, second.origin_realm, address, int(time.time()))
            self._services = {plan: number for number, plan in second.plans.items()}
            if second.listen is not None:
                self._diameter = DiameterListener(
                    second,
                    config.settings,
                    self._me,
                    self.core,
                    loop,
                    self._clock,
                    int(config.sockets * DIAMETER_PART),
                )
        self._drain = GracefulShutdown()
        self._term_at = math.inf  # of the first SIGTERM
        self._management: AdminServer | None = None
        self._giver: SnapshotSender | None = None
        self.fleet: ClusterService | None = None
        self._pools: ConnectionLeases | None = None
        if (fleet := config.operators.fleet) is not None and all(
            one.name != (fleet.me or config.name) for one in fleet.members
        ):
            raise ConfigError(f"{NAME}: fleet.me: {fleet.me or config.name!r} is no member")
        self._listening = False
        self.done = asyncio.Event()  # everything taken has its answer

    def start(self) -> None:
        """Listen, connect and watch."""
        if self._config.operators.fleet is not None:
            # not loaded where no fleet is
            from badgeryoke.gateway.cluster.connection_leases import ConnectionLeases
            from badgeryoke.gateway.cluster.service import ClusterService

            self.fleet = ClusterService(self._config.operators.fleet, self._config.name)
            # A connection is used as long as the longest request on it, and then rests.
            longest_ms = max((cls.deadline_ms for cls in self._config.settings.classes), default=0.0)
            self._pools = self.fleet.connection_leases = ConnectionLeases(
                self._config.operators.fleet,
                self._loop,
                self.fleet.clock.monotonic_ms,
                self._config.idle_ms + longest_ms,
                self,
            )
            self.fleet.on_reservation_client = self.core.guarantee
            self.fleet.start()
        if self._counter is not None:
            self._counter.open()
        self._hosts.start()
        if self._config.mgmt is not None:
            from badgeryoke.gateway.admin.server import (
                AdminServer,  # not loaded where nothing is asked for
            )

            self._management = AdminServer(self)
            host, port = self._config.mgmt
            sockets = bind_sockets(port, host, socket.AF_INET if "." in host else socket.AF_UNSPEC, 64)[:1]
            self.mgmt_address = sockets[0].getsockname()
            self._serving = asyncio.ensure_future(self._management.serve(sockets))
            log.info("operators' calls are taken on %s:%d", host, port)
        if self._config.socket_fd is None or self._config.folder is None:
            self._listen()
        else:
            self._succession = asyncio.ensure_future(self._succeed(self._config.folder))
        if self._diameter is not None and (second := self._config.diameter) and second.listen is not None:
            sockets = bind_sockets(second.listen[1], second.listen[0], backlog=128)
            self.diameter_address = sockets[0].getsockname()
            self._diameter.add_sockets(sockets)
            log.info("Diameter front listens on %s:%d", *second.listen)
        self._loop.call_later(SWEEP_S, self._sweep)
        self._loop.call_later(CLIENT_SWEEP_S, self._sweep_clients)
        self._look_at_lag(self._loop.time())

    def _listen(self) -> None:
        """Take clients."""
        host, port = self._config.listen
        if self._config.socket_fd is None:
            sockets = bind_sockets(port, host, backlog=BACKLOG)
        else:
            sockets = [socket.socket(fileno=os.dup(self._config.socket_fd))]  # our own to close
            sockets[0].setblocking(False)
        self.address = sockets[0].getsockname()  # as bound, where port 0 was asked for
        self._front.add_sockets(sockets)
        self._listening = True
        log.info("gateway %s listens on %s:%d", self._config.name, host, port)

    async def _succeed(self, folder: str) -> None:
        """Take the state of the process that serves, if one does, then serve in its place."""
        from badgeryoke.gateway.hot_restart import transfer  # not loaded where no process is replaced

        path = transfer.address(folder, self._config.name)
        taker = transfer.SnapshotReceiver(path)
        until = self._loop.time() + LIST_S  # its servers are known by discovery's names
        while not self._hosts.notified and self._loop.time() < until:
            await asyncio.sleep(0.01)
        if (handed := await taker.ask()) is not None:
            self.core.take(handed, self._hosts.numbers)
            self._front.share(OVERLAP_PART)
            if self._pools is not None:
                self._pools.only_process = False  # the process before answers what it has taken
            log.info("state taken over: %d customers, %d servers", len(handed.customers), len(handed.servers))
        if self._drain.ending:
            return
        self._listen()
        self._giver = transfer.SnapshotSender(path, self)
        await self._giver.listen()
        await taker.serving(lambda: self._front.share(1.0))

    def give(self) -> StateSnapshot | str:
        """A successor asks for the state (handover.link.Predecessor)."""
        if self._drain.ending:
            return f"this process is {self._drain.state.value}"
        return self.core.give({number: name for name, number in self._hosts.numbers.items()})

    def succeeded(self, handed: StateSnapshot) -> None:
        """The successor serves."""
        self.core.given(handed)
        self._drained(ShutdownEvent.SUCCEEDED)
        if self.fleet is not None:  # the successor waits for the folder
            self._parting = asyncio.ensure_future(self._part_with(self.fleet))

    async def run(self) -> None:
        """Serve until SIGTERM, then answer all that was taken."""
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, self.end)
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self.reload)
        self.start()
        await self.done.wait()

    def reload(self) -> None:
        """SIGHUP: read the configuration again and go by its settings and addresses, all in one step.

        A faulty one is turned down whole.  Queries under way keep the class they began with.  What belongs to
        the process (its name, addresses, limits and the operators' files) waits for the next start.
        """
        if self._reread is None:
            return
        try:
            config = self._reread()
            if missing := lacking(self._config.shape, config.shape):
                raise ConfigError(f"{missing}: missing, and the file in force has it")
            if config.settings.has_counter and self._counter is None:
                raise ConfigError("settings.family_info.has_counter: a counter waits for the next start")
        except ConfigError as fault:
            self.core.figures.reload_errors += 1
            log.error("reload: configuration: %s; the old one stays", fault)
            return
        old = self._config
        kept = {key: getattr(old, key) for key in OF_THE_PROCESS}
        self._config = taken = replace(config, counter=config.counter or old.counter, **kept)
        self._hosts.switch_address(taken.discovery)
        self._hosts.update_settings(taken.settings.gateway_count)
        if self._counter is not None and taken.counter is not None:
            self._counter.switch_address(taken.counter)
            self._counter.update_settings(taken.settings.counter_timeout_ms)
        for _, link in self._links.values():
            if isinstance(link, RespUpstream):
                link.retune(
                    taken.report_names, taken.connect_ms, taken.idle_ms, taken.settings.max_request_units
                )
        if self._diameter is not None:
            self._diameter.register.retune(taken.settings)
        self.core.retune(taken.settings)
        self.core.figures.reloads += 1
        for key in OF_THE_PROCESS:
            if key not in ("seed", "known") and getattr(config, key) != getattr(old, key):
                log.warning("reload: %s differs: taken up at the next start only", key)
        log.info("reload: discovery at %s:%d", *taken.discovery)
        if taken.counter is not None:
            log.info("reload: counter at %s:%d", *taken.counter)
        if taken.settings != old.settings:
            log.info("reload: new settings, classes %s", ", ".join(c.name for c in taken.settings.classes))

    def _link(self, server: int) -> RespUpstream | DiameterUpstream | None:
        found = self._links.get(server)
        return None if found is None else found[1]

    def _changed(self, members: EndpointList, hosts: dict[int, Endpoint]) -> None:
        """Bring the server links in line with the list before the module hears of it."""
        most = max(int(self._config.sockets * SERVER_PART) // max(len(hosts), 1), LEAST_POOL)
        for number, (old, link) in list(self._links.items()):
            found = hosts.get(number)
            if found is None or (found.address, found.kind) != (old.address, old.kind):
                link.drain()
                if self._pools is not None and link.lease is not None:
                    self._pools.retire(link.lease)
                del self._links[number]
        if self._pools is not None:
            self._pools.update_servers(host.id for host in hosts.values())
        for number, host in hosts.items():
            if number not in self._links:
                self._links[number] = host, self._open_link(host, most)
            link = self._links[number][1]
            if host.state is EndpointState.UP:
                link.reopen()
            else:
                link.drain()
        self.core.members(members)

    def _open_link(self, host: Endpoint, most: int) -> RespUpstream | DiameterUpstream:
        config, second = self._config, self._config.diameter
        lease = None if self._pools is None else self._pools.create_lease(host.id)
        made: RespUpstream | DiameterUpstream
        if second is not None and host.kind in second.server_kinds:
            made = DiameterUpstream(
                host.address,
                self._loop,
                self._clock,
                me=self._me,
                services=self._services,
                connect_ms=config.connect_ms,
                idle_ms=config.idle_ms,
                watchdog_s=second.watchdog_s,
                lease=lease,
            )
        else:
            made = RespUpstream(
                host.address,
                self._loop,
                self._clock,
                report_names=config.report_names,
                connect_ms=config.connect_ms,
                idle_ms=config.idle_ms,
                most=most,
                most_units=config.settings.max_request_units,
                room=self._room,
                lease=lease,
            )
        if lease is not None:
            lease.upstream = made
        return made

    def _sweep(self) -> None:
        for _, link in self._links.values():
            link.sweep()
        self._loop.call_later(SWEEP_S, self._sweep)

    def _look_at_lag(self, due: float) -> None:
        """Tell the core how late the event loop runs."""
        now = self._loop.time()
        self.core.lagged((now - due) * 1000.0)
        self._loop.call_later(LAG_LOOK_S, self._look_at_lag, now + LAG_LOOK_S)

    def _sweep_clients(self) -> None:
        self._front.sweep()
        self._loop.call_later(CLIENT_SWEEP_S, self._sweep_clients)

    # What the operators may ask (management.front.Operated).

    def status(self) -> tuple[bool, str]:
        """Whether this process can serve: an ending one cannot, a drained one could."""
        if self._drain.ending:
            return False, self._drain.state.value
        if not self._hosts.has_list:
            return False, "no list of servers yet"
        return self._listening, self._drain.state.value if self._listening else "taking over"

    @property
    def drained(self) -> bool:
        """Clients are rejected, and the front knows (see `DrainableGateway`)."""
        return self._drain.state is Standing.PAUSED

    @property
    def unanswered(self) -> int:
        """Queries without an answer."""
        return self.core.unanswered

    def pause(self) -> str:
        """Send clients away, without an end of the process."""
        self._drained(ShutdownEvent.PAUSE)
        return ""

    def resume(self) -> str:
        """Take clients again."""
        if self._drain.ending:
            return f"it is {self._drain.state.value}, and does not come back"
        self._drained(ShutdownEvent.RESUME)
        return ""

    def metrics(self) -> str:
        """The figures, one a line."""
        from badgeryoke.gateway.admin.rendering import Gauges, render

        return render(self.core.figures, Gauges(self.core.unanswered, len(self._links), self.core.avoided))

    @property
    def fleet_on(self) -> bool:
        """Whether this gateway has a share in a fleet."""
        return self.fleet is not None

    async def fleet_call(self, call: bytes) -> bytes:
        """One call for the fleet, JSON in and out (badgeryoke.gateway.cluster.admin_calls)."""
        if self.fleet is None:
            return b"-ERR fleet is off: [fleet] in deploy/badgeryoke.toml switches it on\n"
        return await self.fleet.answer(call)

    # The drain's effects.

    async def _part_with(self, fleet: ClusterService) -> None:
        """What this gateway leads for the fleet is handed over, in a time that is bounded."""
        if self._pools is not None:
            self._pools.drain()
            until = self._loop.time() + GIVE_BACK_S
            while not self._pools.is_empty and self._loop.time() < until:
                await asyncio.sleep(0.01)
        await fleet.leave()
        fleet.close()

    def end(self) -> None:
        """SIGTERM: go on taking connections for a while, answer everything, then stop."""
        if not self._drain.ending:
            log.info("ending: %d unanswered", self.core.unanswered)
            if self.fleet is not None:
                if self._pools is not None:
                    self._pools.drain()
                self._leaving = asyncio.ensure_future(self.fleet.leave())
        self._term_at = min(self._term_at, self._loop.time())
        self._drained(ShutdownEvent.TERM)

    def _drained(self, event: ShutdownEvent, round_: int | None = None) -> None:
        """Post an event to the drain and do what it says."""
        before = self._drain.state
        effects = self._drain.post(event, round_)
        if self._drain.state is not before:
            log.info("%s: %s, %d unanswered", event.value, self._drain.state.value, self.core.unanswered)
        for effect in effects:
            self._carry_out(effect)

    def _carry_out(self, effect: ShutdownEffect) -> None:
        match effect:
            case ShutdownEffect.SAY_NO | ShutdownEffect.SAY_YES:
                self._front.turning = effect is ShutdownEffect.SAY_NO
                if self._diameter is not None:
                    self._diameter.turning = effect is ShutdownEffect.SAY_NO
            case ShutdownEffect.TIME_TURN:
                self._loop.call_later(
                    self._config.drain_s, self._drained, ShutdownEvent.TURNED, self._drain.round
                )
            case ShutdownEffect.CLOSE_LINKS:
                self._front.close_links()
                if self._diameter is not None:
                    for peer in list(self._diameter.links):
                        peer.end()
            case ShutdownEffect.KEEP_LINKS:
                self._front.keep_links()
            case ShutdownEffect.STOP_ACCEPTING:
                self._front.stop()
                if self._diameter is not None:
                    self._diameter.stop()
            case ShutdownEffect.TIME_END:
                longest_ms = max((cls.deadline_ms for cls in self._config.settings.classes), default=0.0)
                most = min(longest_ms / 1000.0, KILL_COUNTS_S) + KILL_MARGIN_S
                left_s = max(self._term_at + most - self._loop.time(), 0.0)
                self._loop.call_later(left_s, self._front.refuse_rest)
                self._loop.call_later(left_s, self._wait_no_longer)
                self._await_end()
            case ShutdownEffect.REPORT:
                log.info("ended: all answered")
                self._hosts.stop()
                self.core.settle()
                wait_s = self._config.settings.counter_timeout_ms / 1000.0
                self._loop.call_later(0.02, self._await_reports, self._loop.time() + wait_s)
            case ShutdownEffect.LEAVE:
                if self._management is not None:
                    self._management.end()
                if self._giver is not None:
                    self._giver.close()
                if self.fleet is not None:
                    self._parting = asyncio.ensure_future(self._part_with(self.fleet))
                    self._parting.add_done_callback(lambda _: self.done.set())
                else:
                    self.done.set()

    def _wait_no_longer(self) -> None:
        """SIGKILL is near.  A deadline beyond KILL_COUNTS_S may still run, and what ends here without an
        answer is lost: each query gets its final one now."""
        if not self.done.is_set():
            log.warning("no time is left: %d unanswered are given up", self.core.unanswered)
            self.core.give_up()
            self._loop.call_later(LAST_WORDS_S, self._drained, ShutdownEvent.LATE)

    def _await_end(self) -> None:
        if self._front.links or (self._diameter is not None and self._diameter.links):
            self._loop.call_later(0.02, self._await_end)
            return
        self._drained(ShutdownEvent.EMPTY)

    def _await_reports(self, until: float) -> None:
        """The last reports have the time that any call has: closed at once, they would be cut off."""
        if self._counter is not None:
            if self._counter.has_pending_calls and self._loop.time() < until:
                self._loop.call_later(0.02, self._await_reports, until)
                return
            self._counter.close()
        self._loop.call_later(0.02, self._drained, ShutdownEvent.SETTLED)
