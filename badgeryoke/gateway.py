"""Puts the parts together: one gateway, from its configuration to its end."""

from __future__ import annotations

import asyncio
import logging
import signal
import time
from collections.abc import Callable
from dataclasses import replace

from tornado.iostream import IOStream
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from badgeryoke.actor import Turns, WallClock
from badgeryoke.config import Config, ConfigError
from badgeryoke.core import Core
from badgeryoke.counter import CounterLink
from badgeryoke.diameter.client_link import DiameterFront
from badgeryoke.diameter.peer import Identity
from badgeryoke.diameter.server_link import DiameterServerLink
from badgeryoke.host_group import Host, HostGroup
from badgeryoke.resp.client_link import ClientLink
from badgeryoke.resp.server_link import RespServerLink
from martenstep.interface import Members, State, Total, Verdict

log = logging.getLogger("badgeryoke")

CLIENT_PART, SERVER_PART, DIAMETER_PART = 0.5, 0.3, 0.1  # of the descriptors, for each kind of link
LEAST_POOL = 4
SWEEP_S = 1.0
CLIENT_SWEEP_S = 0.1
LAG_LOOK_S = 0.01
# How long a client may take over a command, the first from its connection on, and how long it may keep a
# connection with nothing open: one that asks once and stays, or says nothing, holds descriptor and memory.
COMMAND_S, IDLE_S = 2.0, 20.0
# Where the bound on connections is reached, the one that has been idle longest gives way, if for so long; one
# that has not yet said a word counts as idle for longer, since whoever has something to ask does so at once.
GIVE_WAY_S, SILENT_AHEAD_S = 0.1, 2.0
# From this part of the descriptors on, those idle for so long are closed, the longest first: clients have a
# bound of their own, a third of the descriptors, and where a crowd holds all of those nobody else can come.
CROWD_PART, CROWD_S = 0.2, 0.3
CLIENT_BUFFER = 128 * 1024  # bound of what is read of a client and not yet taken
CLIENT_WRITES = 128 * 1024  # and of what it has not yet fetched, ...
UNREAD_S = 2.5  # ... which it must fetch within this time
# Of the memory that is left beside the program itself: for bodies of open queries, and for half commands.
PROGRAM_MB, BODIES_PART, HALVES_PART = 24.0, 0.25, 0.15
LEAST_MB = 4.0
# SIGKILL comes no sooner after SIGTERM than the longest deadline, counted as 3 s where it is longer, and
# 0.7 s more; what was taken in the grace has its whole deadline still.
KILL_COUNTS_S, KILL_MARGIN_S = 3.0, 0.55


class NoCounter:
    """Stands where the settings give no counter."""

    def __init__(self, loop: Turns) -> None:
        self._loop = loop

    def add(self, name: int, units: float, life_ms: float, done: Callable[[Total], None]) -> None:
        self._loop.call_soon(done, Total(name, Verdict.CONNECT_FAILED, 0.0))


class RespFront(TCPServer):
    """Accepts the platform's clients."""

    def __init__(self, core: Core, loop: Turns, most: int, host_group: HostGroup, most_held: int,
                 crowd: int) -> None:
        super().__init__(max_buffer_size=CLIENT_BUFFER)
        self._crowd = crowd
        self._most_held = most_held
        self._core, self._loop, self._most, self._host_group = core, loop, most, host_group
        self.links: dict[ClientLink, None] = {}
        self.leaving = False
        self._full_logged = False

    def ready(self) -> bool:
        return self._host_group.ready and not self.leaving

    async def handle_stream(self, stream: IOStream, address: object) -> None:
        if len(self.links) >= self._most and not self._make_room(GIVE_WAY_S):
            if not self._full_logged:
                self._full_logged = True
                log.warning("clients are turned away: %d connections are open and in use", len(self.links))
            stream.close()
            return
        stream.set_nodelay(True)
        stream.max_write_buffer_size = CLIENT_WRITES
        link = ClientLink(stream, self._core, self._loop, self.ready, self._closed)
        self.links[link] = None
        await link.serve()

    def _make_room(self, least_s: float) -> bool:
        """Close the connection whose client has least use of it; False where none was idle for so long."""
        now = self._loop.time()
        worst: tuple[float, ClientLink] | None = None
        for link in self.links:
            idle_s = now - link.idle_since
            if idle_s < least_s:
                continue
            idle_s += 0.0 if link.spoke else SILENT_AHEAD_S
            if (worst is None or idle_s > worst[0]) and link.idle:
                worst = idle_s, link
        if worst is None:
            return False
        worst[1].drop()
        self._closed(worst[1])  # it counts no longer, though its end is still in its mailbox
        return True

    def sweep(self) -> None:
        """Close what has been idle, or not come to the end of a command, for too long."""
        now = self._loop.time()
        held = 0
        for link in list(self.links):
            held += link.held
            if (now - link.idle_since >= IDLE_S and link.idle) or now - link.begun_at >= COMMAND_S:
                link.drop()
            elif now - link.unread_since >= UNREAD_S:
                link.abort()
        if held > self._most_held:
            for link in sorted(self.links, key=lambda link: link.held, reverse=True):
                held -= link.held
                link.drop()
                if held <= self._most_held:
                    break
        while len(self.links) > self._crowd and self._make_room(CROWD_S):
            pass
        if self._full_logged and len(self.links) < self._most * 3 // 4:
            self._full_logged = False
            log.info("clients are taken again: %d connections are open", len(self.links))

    def _closed(self, link: ClientLink) -> None:
        self.links.pop(link, None)


class App:
    """One gateway."""

    def __init__(self, config: Config, clock: Callable[[], float] | None = None,
                 reread: Callable[[], Config] | None = None) -> None:
        self._config, self._reread = config, reread
        self._loop = loop = Turns(asyncio.get_running_loop())
        self._clock = clock or WallClock(time.monotonic, time.time)
        self._links: dict[int, tuple[Host, RespServerLink | DiameterServerLink]] = {}
        self._counter = (CounterLink(config.counter, config.settings.counter_timeout_ms, loop, self._clock)
                         if config.counter is not None else None)
        room = int(max(config.memory_mb - PROGRAM_MB, LEAST_MB) * 1024 * 1024)
        self.core = Core(config.settings, config.seed, loop, self._clock, self._link,
                         self._counter or NoCounter(loop), int(room * BODIES_PART),
                         config.operators.counter_watch.enabled)
        self._hosts = HostGroup(config.discovery, config.known, loop, self._changed)
        self._front = RespFront(self.core, loop, int(config.sockets * CLIENT_PART), self._hosts,
                                int(room * HALVES_PART), int(config.sockets * CROWD_PART))
        self._diameter: DiameterFront | None = None
        if (second := config.diameter) is not None:
            address = second.listen[0] if second.listen is not None else "127.0.0.1"
            self._me = Identity(second.origin_host, second.origin_realm, address, int(time.time()))
            self._services = {plan: number for number, plan in second.plans.items()}
            if second.listen is not None:
                self._diameter = DiameterFront(second, config.settings, self._me, self.core, loop,
                                               self._clock, int(config.sockets * DIAMETER_PART))
        self.done = asyncio.Event()  # everything taken has its answer
        self._ending = False

    def start(self) -> None:
        """Listen, connect and watch."""
        if self._counter is not None:
            self._counter.open()
        self._hosts.start()
        host, port = self._config.listen
        sockets = bind_sockets(port, host, backlog=512)
        self.address = sockets[0].getsockname()  # as bound, where port 0 was asked for
        self._front.add_sockets(sockets)
        if self._diameter is not None and (second := self._config.diameter) and second.listen is not None:
            sockets = bind_sockets(second.listen[1], second.listen[0], backlog=128)
            self.diameter_address = sockets[0].getsockname()
            self._diameter.add_sockets(sockets)
            log.info("Diameter front listens on %s:%d", *second.listen)
        self._loop.call_later(SWEEP_S, self._sweep)
        self._loop.call_later(CLIENT_SWEEP_S, self._sweep_clients)
        self._look_at_lag(self._loop.time())
        log.info("gateway %s listens on %s:%d", self._config.name, host, port)

    async def run(self) -> None:
        """Serve until SIGTERM, then answer all that was taken."""
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, self.end)
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self.reload)
        self.start()
        await self.done.wait()

    def reload(self) -> None:
        """SIGHUP: read the configuration again and go by its addresses of discovery and the counter.

        A faulty one is not taken.  What else differs waits for the next start: queries are under way by it.
        """
        if self._reread is None:
            return
        try:
            config = self._reread()
        except ConfigError as fault:
            log.error("reload: configuration: %s; the old one stays", fault)
            return
        old, self._config = self._config, replace(
            self._config, discovery=config.discovery, counter=config.counter or self._config.counter)
        self._hosts.move(config.discovery)
        if self._counter is not None and config.counter is not None:
            self._counter.move(config.counter)
        for key in ("name", "listen", "sockets", "memory_mb", "settings", "diameter", "operators"):
            if getattr(config, key) != getattr(old, key):
                log.warning("reload: %s differs: taken up at the next start only", key)
        log.info("reload: discovery at %s:%d", *config.discovery)
        if config.counter is not None:
            log.info("reload: counter at %s:%d", *config.counter)

    def _link(self, server: int) -> RespServerLink | DiameterServerLink | None:
        found = self._links.get(server)
        return None if found is None else found[1]

    def _changed(self, members: Members, hosts: dict[int, Host]) -> None:
        """Bring the server links in line with the list before the module hears of it."""
        most = max(int(self._config.sockets * SERVER_PART) // max(len(hosts), 1), LEAST_POOL)
        for number, (old, link) in list(self._links.items()):
            found = hosts.get(number)
            if found is None or (found.address, found.kind) != (old.address, old.kind):
                link.drain()
                del self._links[number]
        for number, host in hosts.items():
            if number not in self._links:
                self._links[number] = host, self._open_link(host, most)
            link = self._links[number][1]
            if host.state is State.UP:
                link.reopen()
            else:
                link.drain()
        self.core.members(members)

    def _open_link(self, host: Host, most: int) -> RespServerLink | DiameterServerLink:
        config, second = self._config, self._config.diameter
        if second is not None and host.kind in second.server_kinds:
            return DiameterServerLink(
                host.address, self._loop, self._clock, me=self._me, safe=config.safe, services=self._services,
                connect_ms=config.connect_ms, idle_ms=config.idle_ms, watchdog_s=second.watchdog_s)
        return RespServerLink(
            host.address, self._loop, self._clock, safe=config.safe, report_names=config.report_names,
            connect_ms=config.connect_ms, idle_ms=config.idle_ms, most=most,
            most_units=config.settings.max_units)

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

    def end(self) -> None:
        """SIGTERM: go on taking connections for a while, answer everything, then stop."""
        if self._ending:
            return
        self._ending = True
        self._front.leaving = True
        log.info("ending: %d unanswered", self.core.unanswered)
        self._loop.call_later(self._config.drain_s, self._stop_taking)

    def _stop_taking(self) -> None:
        self._front.stop()
        for link in list(self._front.links):
            link.end()
        if self._diameter is not None:
            self._diameter.stop()
            for peer in list(self._diameter.links):
                peer.end()
        longest = max((cls.deadline_ms for cls in self._config.settings.classes), default=0.0) / 1000.0
        most = min(longest, KILL_COUNTS_S) + KILL_MARGIN_S
        self._loop.call_later(max(most - self._config.drain_s, 0.0), self._wait_no_longer)
        self._await_end()

    def _wait_no_longer(self) -> None:
        if not self.done.is_set():
            log.warning("stopped waiting: %d unanswered", self.core.unanswered)
            self.done.set()

    def _await_end(self) -> None:
        if self._front.links or (self._diameter is not None and self._diameter.links):
            self._loop.call_later(0.02, self._await_end)
            return
        log.info("ended: all answered")
        self._hosts.stop()
        self.core.settle()
        wait_s = self._config.settings.counter_timeout_ms / 1000.0
        self._loop.call_later(0.02, self._await_reports, self._loop.time() + wait_s)

    def _await_reports(self, until: float) -> None:
        """The last reports have the time that any call has: closed at once, they would be cut off."""
        if self._counter is not None:
            if self._counter.busy and self._loop.time() < until:
                self._loop.call_later(0.02, self._await_reports, until)
                return
            self._counter.close()
        self._loop.call_later(0.02, self.done.set)
