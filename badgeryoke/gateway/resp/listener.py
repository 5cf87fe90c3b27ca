"""The platform's listener: accepts clients, bounds their connections, and sweeps those of no use."""

from __future__ import annotations

import asyncio
import logging
import socket

from tornado.iostream import IOStream

from badgeryoke.gateway.actor import ActorScheduler
from badgeryoke.gateway.discovery.client import DiscoveryClient
from badgeryoke.gateway.dispatcher import Dispatcher
from badgeryoke.gateway.resp.client_connection import READ_AT_ONCE, RespClientConnection

log = logging.getLogger(__name__)

# How long a client may take over a command, the first from its connection on, and how long it may keep a
# connection with nothing open: one that asks once and stays, or says nothing, holds descriptor and memory.
COMMAND_S, IDLE_S = 2.6, 20.0
# Where the bound on connections is reached, the one that has been idle longest gives way, if for so long; one
# that has not yet said a word counts as idle for longer, since whoever has something to ask does so at once.
GIVE_WAY_S, SILENT_AHEAD_S = 0.1, 2.0
# From a part of the descriptors on (gateway.py), those idle for so long are closed, the longest first:
# clients have a bound of their own, a third of the descriptors, and where a crowd holds all of it nobody else
# can come.
CROWD_S = 0.3
CLIENT_BUFFER = 128 * 1024  # bound of what is read of a client and not yet taken
UNREAD_S = 2.5  # what a client is answered it must fetch within this time, ...
STALLED_S = 10.0  # ... and each piece of a long value within this
BACKLOG = 512  # connections that the system accepts for us and holds
ACCEPT_AT_ONCE = 64  # of them are taken before others have their turn
# Beyond the bound on connections so many of it more are taken only to be told so; others wait with the
# system, and are looked at again after this time.
TURNED_PART, LEAST_TURNED, ACCEPT_AGAIN_S = 1 / 16, 4, 0.05


class RespListener:
    """Accepts the platform's clients."""

    def __init__(
        self,
        core: Dispatcher,
        loop: ActorScheduler,
        most: int,
        host_group: DiscoveryClient,
        most_held: int,
        crowd: int,
    ) -> None:
        self._crowd = crowd
        self._most_held = most_held
        self._core, self._loop, self._most, self._host_group = core, loop, most, host_group
        self._whole, self._turned = most, max(int(most * TURNED_PART), LEAST_TURNED)
        self.links: dict[RespClientConnection, asyncio.Future[None] | None] = {}  # each with what reads it
        self._listening: list[socket.socket] = []
        self._paused = False
        self.turning = False  # PING says no: clients are sent away
        self._closing = False  # connections end between requests, those to come after their first
        self._full_logged = False

    def ready(self) -> bool:
        return self._host_group.ready and not self.turning

    def add_sockets(self, sockets: list[socket.socket]) -> None:
        """Accept what comes on these."""
        self._listening += sockets
        self._watch()

    def stop(self) -> None:
        """Accept no more.  What the system has accepted for us is ours: it would be reset with the socket."""
        listening, self._listening = self._listening, []
        for one in listening:
            asyncio.get_running_loop().remove_reader(one)
            self._accept(one, last=True)
            one.close()

    def _watch(self) -> None:
        self._paused = False
        for one in self._listening:
            asyncio.get_running_loop().add_reader(one, self._accept, one)

    def _pause(self) -> None:
        """Leave those that wait to the system: asked at once again, it would say the same."""
        if not self._paused and self._listening:
            self._paused = True
            for one in self._listening:
                asyncio.get_running_loop().remove_reader(one)
            self._loop.call_later(ACCEPT_AGAIN_S, self._watch)

    def _accept(self, listening: socket.socket, last: bool = False) -> None:
        """Take the connections that wait, as far as there is room, or all of them at the end."""
        for _ in range(2 * BACKLOG if last else ACCEPT_AT_ONCE):
            if len(self.links) >= self._most + self._turned and not last and not self._make_room(GIVE_WAY_S):
                self._pause()
                return
            try:
                made, _ = listening.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                continue
            except OSError as fault:  # no descriptor or no memory is left
                self._full(f"none is accepted: {fault}")
                if self._make_room(GIVE_WAY_S):
                    continue
                self._pause()
                return
            self._open(made)

    def _open(self, made: socket.socket) -> None:
        stream = IOStream(made, max_buffer_size=CLIENT_BUFFER, read_chunk_size=READ_AT_ONCE)
        stream.set_nodelay(True)
        full = len(self.links) >= self._most and not self._make_room(GIVE_WAY_S)
        link = RespClientConnection(stream, self._core, self._loop, self.ready, self._closed)
        self.links[link] = None  # known from here on, so that an end waits for it
        if full:
            self._full(f"{len(self.links)} connections are open and in use")
            link.turn_away()
        elif self._closing:
            link.end()
        self.links[link] = asyncio.ensure_future(link.serve())

    def _full(self, why: str) -> None:
        if not self._full_logged:
            self._full_logged = True
            log.warning("clients are turned away: %s", why)

    def share(self, part: float) -> None:
        """Keep to a part of the bound on connections."""
        self._most = int(self._whole * part)

    def close_links(self) -> None:
        """From now on connections end between requests."""
        self._closing = True
        for link in list(self.links):
            link.end()

    def refuse_rest(self) -> None:
        """What still comes is refused: sent on, it would have no answer before the process ends."""
        for link in list(self.links):
            link.end_late()

    def keep_links(self) -> None:
        """Connections to come are kept; those that are ending end."""
        self._closing = False

    def _make_room(self, least_s: float) -> bool:
        """Close the connection whose client has least use of it; False where none was idle for so long."""
        now = self._loop.time()
        worst: tuple[float, RespClientConnection] | None = None
        for link in self.links:
            idle_s = now - link.idle_since
            if idle_s < least_s:
                continue
            idle_s += 0.0 if link.spoke else SILENT_AHEAD_S
            if (worst is None or idle_s > worst[0]) and link.idle:
                worst = idle_s, link
        if worst is None:
            return False
        worst[1].abort()  # looked at in this turn: nothing lies there
        self._closed(worst[1])  # it counts no longer, though its end is still in its mailbox
        return True

    def sweep(self) -> None:
        """Close what has been idle, or not come to the end of a command, for too long."""
        now = self._loop.time()
        held = 0
        for link in list(self.links):
            held += link.held
            if now - link.unread_since >= (STALLED_S if link.passing else UNREAD_S):
                link.abort()
            elif (now - link.idle_since >= IDLE_S and link.idle) or now - link.begun_at >= COMMAND_S:
                link.drop()
        if held > self._most_held:
            for link in sorted(self.links, key=lambda link: link.held, reverse=True):
                held -= link.held
                if link.unfetched > link.held // 2:
                    link.abort()  # its answers are what is held: nothing else frees them
                else:
                    link.drop()
                if held <= self._most_held:
                    break
        while len(self.links) > self._crowd and self._make_room(CROWD_S):
            pass
        if self._full_logged and not self._paused and len(self.links) < self._most * 3 // 4:
            self._full_logged = False
            log.info("clients are taken again: %d connections are open", len(self.links))

    def _closed(self, link: RespClientConnection) -> None:
        self.links.pop(link, None)
