"""Links between gateways: frames of MessagePack over TCP, each way on a connection of its own.

    frame     4 bytes of length, big-endian, then one `Envelope`
    dialler   an envelope without messages (its hello), then, answered, envelopes with messages, and now and then one
              without, to be answered
    acceptor  one without messages for each such one

Whoever has something to say dials.  What waits for one peer never holds up another: each has its own queue,
bounded in messages and bytes; at the bound the oldest probes, heartbeats and votes go first, then the oldest
of all.  Everything above allows for loss.  A peer that does not read, or of which nothing is heard while
something was sent, is dropped with what waited for it, and dialled again after a pause that doubles and is
jittered; at once where it has dialled.

A frame that does not read, of another version, fleet or incarnation ends its connection with a `FleetError`,
told once in ten minutes for each peer and kind.  There is no secret in a hello: the addresses belong into a
network of the fleet's own.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

import msgspec
from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError

from badgeryoke.cluster.errors import BadFrame, ClusterError, ClusterMismatch, StaleIncarnation
from badgeryoke.cluster.messages import (
    VERSION,
    Ack,
    AnyMessage,
    AppendEntries,
    Envelope,
    MemberId,
    Nack,
    Ping,
    PingRequest,
    RequestVote,
    RequestVoteReply,
    member_name,
)
from badgeryoke.gateway.connecting import dial

log = logging.getLogger(__name__)

MOST_FRAME = 1024 * 1024 + 64 * 1024  # bytes: a full batch of entries, or a piece of a snapshot and its frame
HEAD = 1024  # bytes of an envelope beside its messages, at the most
MOST_TOLD, MOST_OLD = 256, 16  # errors remembered as told; incarnations of one member remembered as gone
TOLD_AGAIN_S = 600.0
_LIGHT = (Ping, Ack, PingRequest, Nack, RequestVote, RequestVoteReply)
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


class _Head(msgspec.Struct, array_like=True):
    """What every version's envelope begins with."""

    version: int
    fleet: str


_head = msgspec.msgpack.Decoder(_Head)


@dataclass(frozen=True, slots=True)
class Bounds:
    """Of links; times in seconds."""

    connect_s: float = 1.0
    hello_s: float = 2.0  # for the other side's first frame
    stall_s: float = 5.0  # a write that is not taken, or nothing heard since something was sent
    ask_s: float = 1.0  # between questions whether it still reads
    idle_s: float = 20.0  # without a message, then the connection is closed
    sweep_s: float = 1.0  # between looks at who is idle
    again_least_s: float = 0.05  # pause before dialling again; doubles
    again_most_s: float = 2.0
    most_messages: int = 4096  # waiting for one peer
    most_bytes: int = 4 * 1024 * 1024
    most_frame: int = MOST_FRAME
    most_batch: int = 1024  # messages of one frame


def frame(envelope: Envelope) -> bytes:
    """As it goes over the wire."""
    body = _encoder.encode(envelope)
    return len(body).to_bytes(4, "big") + body


def read(body: bytes, fleet: str, whom: str) -> Envelope | ClusterError:
    """The reverse, checked as far as any envelope can be."""
    try:
        head = _head.decode(body)
        if head.version != VERSION:
            return BadFrame(whom, f"version {head.version}, this one speaks {VERSION}")
        if head.fleet != fleet:
            return ClusterMismatch(whom, f"it belongs to fleet {head.fleet[:64]!r}, this one to {fleet!r}")
        return _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as fault:
        return BadFrame(whom, str(fault).replace("`", "")[:200])


async def _next_frame(stream: IOStream, most: int, fleet: str, whom: str) -> Envelope | ClusterError:
    """Raises StreamClosedError where the connection ends."""
    size = int.from_bytes(await stream.read_bytes(4), "big")
    if not 0 < size <= most:
        return BadFrame(whom, f"a frame of {size} bytes, {most} are the most")
    return read(await stream.read_bytes(size), fleet, whom)


@dataclass(slots=True)
class _Waiting:
    """One message on its way out; `body` empty: it has gone."""

    to: MemberId
    body: bytes
    light: bool


@dataclass(slots=True)
class PeerLink:
    """What waits for one member, and how its connection stands."""

    name: str
    address: tuple[str, int]
    queue: deque[_Waiting] = field(default_factory=deque)
    lights: deque[_Waiting] = field(default_factory=deque)
    count: int = 0
    size: int = 0
    lost: int = 0  # dropped here: at a bound, or with a connection
    sent: int = 0
    incarnation: MemberId = ""  # as it last said
    up: bool = False
    asked: float | None = None  # when a word was asked for that has not come; the loop's clock, as below
    ask_at: float = 0.0
    not_before: float = 0.0
    pause: float = 0.0
    spoke: float = 0.0
    idle: bool = False
    news: asyncio.Event = field(default_factory=asyncio.Event)
    back: asyncio.Event = field(default_factory=asyncio.Event)  # it has dialled: the pause is over
    task: asyncio.Task[None] | None = None

    def add(self, to: MemberId, body: bytes, light: bool, bounds: Bounds) -> None:
        """Queue one; at a bound the oldest light one goes, else the oldest."""
        one = _Waiting(to, body, light)
        self.queue.append(one)
        if light:
            self.lights.append(one)
        self.count += 1
        self.size += len(body)
        while self.count > bounds.most_messages or self.size > bounds.most_bytes:
            while self.lights and not self.lights[0].body:
                self.lights.popleft()
            self._drop(self.lights.popleft() if self.lights else next(one for one in self.queue if one.body))
        while self.queue and not self.queue[0].body:
            self.queue.popleft()
        if len(self.queue) > 2 * bounds.most_messages:  # mostly holes
            self.queue = deque(one for one in self.queue if one.body)
        if len(self.lights) > 2 * bounds.most_messages:
            self.lights = deque(one for one in self.lights if one.body)
        self.news.set()

    def _drop(self, one: _Waiting) -> None:
        self.count -= 1
        self.size -= len(one.body)
        self.lost += 1
        one.body = b""

    def batch(self, bounds: Bounds) -> tuple[MemberId, list[msgspec.Raw]]:
        """The next messages to one Id, as many as a frame holds."""
        to, bodies, size = "", list[msgspec.Raw](), HEAD
        while self.queue and len(bodies) < bounds.most_batch:
            one = self.queue[0]
            if one.body:
                if bodies and (one.to != to or size + len(one.body) > bounds.most_frame):
                    break
                to, size = one.to, size + len(one.body)
                bodies.append(msgspec.Raw(one.body))
                self.count -= 1
                self.size -= len(one.body)
                one.body = b""
            self.queue.popleft()
        if not self.count:
            self.lights.clear()
        return to, bodies

    def clear(self) -> None:
        """All that waits is lost."""
        self.lost += self.count
        self.count = self.size = 0
        self.queue.clear()
        self.lights.clear()


class ClusterTransport:
    """All links of one member.

    `receive` is told the sender's Id and the messages of one frame; `tell` each error once.  Members are
    known by their addresses; a message to anybody else is dropped.
    """

    def __init__(
        self,
        fleet: str,
        me: MemberId,
        members: Mapping[str, tuple[str, int]],
        receive: Callable[[MemberId, tuple[AnyMessage, ...]], None],
        tell: Callable[[ClusterError], None],
        draw: Random,
        bounds: Bounds | None = None,
    ) -> None:
        self.fleet, self.me, self.bounds = fleet, me, bounds or Bounds()
        self._receive, self._tell, self._draw = receive, tell, draw
        self.peers = {
            name: PeerLink(name, address) for name, address in members.items() if name != member_name(me)
        }
        self._listening: list[socket.socket] = []
        self._inbound: dict[IOStream, str] = {}  # the member's name, empty before its hello; oldest first
        self._tasks: set[asyncio.Task[None]] = set()
        self._latest: dict[str, MemberId] = {}  # of each member, as it last said hello here
        self._gone: dict[str, deque[MemberId]] = {}
        self._told: dict[tuple[str, str], float] = {}
        self._ended = False
        self.received = 0

    def listen(self, sockets: Sequence[socket.socket]) -> None:
        """Take connections on sockets that listen already."""
        loop = asyncio.get_running_loop()
        for one in sockets:
            one.setblocking(False)
            self._listening.append(one)
            loop.add_reader(one.fileno(), self._accept, one)
        loop.call_later(self.bounds.sweep_s, self._sweep)

    def greet(self) -> None:
        """Dial everybody: whoever leads a group with a copy here may wait long before it tries an address
        again that was silent."""
        for peer in self.peers.values():
            if peer.task is None:
                peer.task = self._run(self._speak(peer, True))

    def _accept(self, listening: socket.socket) -> None:
        try:
            made, address = listening.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return
        except OSError as fault:  # no descriptor is left: it waits in the backlog
            log.warning("no link can be taken: %s", fault)
            asyncio.get_running_loop().remove_reader(listening.fileno())
            asyncio.get_running_loop().call_later(1.0, self._listen_again, listening)
            return
        made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = IOStream(made, max_buffer_size=self.bounds.most_frame + 65536)
        # Two for each member, since one may be dead and not known to be, and some for strangers.
        while len(self._inbound) >= 2 * len(self.peers) + 8:
            oldest = next((one for one, name in self._inbound.items() if not name), next(iter(self._inbound)))
            del self._inbound[oldest]
            oldest.close()
        self._inbound[stream] = ""
        self._run(self._heard(stream, str(address[0])))

    def _sweep(self) -> None:
        """Let go of connections over which nothing is said."""
        loop = asyncio.get_running_loop()
        for peer in self.peers.values():
            if peer.up and not peer.count and loop.time() - peer.spoke > self.bounds.idle_s:
                peer.idle = True
                peer.news.set()
        if not self._ended:
            loop.call_later(self.bounds.sweep_s, self._sweep)

    def _listen_again(self, listening: socket.socket) -> None:
        if not self._ended:
            asyncio.get_running_loop().add_reader(listening.fileno(), self._accept, listening)

    def _run(self, work: Any) -> asyncio.Task[None]:
        task: asyncio.Task[None] = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    # What comes in.

    async def _heard(self, stream: IOStream, whom: str) -> None:
        """One connection of another."""
        bounds = self.bounds
        try:
            first = await asyncio.wait_for(
                _next_frame(stream, bounds.most_frame, self.fleet, whom), bounds.hello_s
            )
            if isinstance(error := self._greeted(stream, first, whom), ClusterError):
                self._error(error)
            # Also to a stranger: it learns who is here, and its operator what is wrong.
            await asyncio.wait_for(stream.write(self._hello()), bounds.stall_s)
            if isinstance(error, ClusterError):
                return
            sender = error
            while not isinstance(
                taken := await _next_frame(stream, bounds.most_frame, self.fleet, sender), ClusterError
            ):
                if isinstance(wrong := self._misdirected(taken, sender), ClusterError):
                    self._error(wrong)
                    return
                if len(taken.messages) > bounds.most_batch:
                    self._error(BadFrame(sender, f"{len(taken.messages)} messages in one frame"))
                    return
                if taken.messages:
                    self.received += len(taken.messages)
                    self._receive(sender, taken.messages)
                else:  # it asks for a word; one that does not read ours is dropped
                    await asyncio.wait_for(stream.write(self._hello()), bounds.stall_s)
            self._error(taken)
        except (StreamClosedError, StreamBufferFullError, TimeoutError):
            pass  # it has gone, or has nothing to say
        finally:
            self._inbound.pop(stream, None)
            stream.close()

    def _greeted(
        self, stream: IOStream, first: Envelope | ClusterError, whom: str
    ) -> MemberId | ClusterError:
        """Who has dialled, or why it is turned away."""
        if isinstance(first, ClusterError):
            return first
        name = member_name(first.sender)
        if name not in self.peers or "/" not in first.sender or len(first.sender) > 128:
            return ClusterMismatch(whom, f"{first.sender[:64]!r} is no other member of this fleet")
        if first.messages:
            return BadFrame(first.sender, "messages before the hello was answered")
        if isinstance(wrong := self._misdirected(first, first.sender), ClusterError):
            return wrong
        latest, gone = self._latest.get(name), self._gone.setdefault(name, deque(maxlen=MOST_OLD))
        if first.sender in gone:
            return StaleIncarnation(first.sender, f"{latest} has come in its place")
        if latest is not None and latest != first.sender:
            gone.append(latest)
        for one in [one for one, held in self._inbound.items() if held == name]:
            one.close()  # it dials once at a time
        self._latest[name] = first.sender
        self._inbound[stream] = name
        peer = self.peers[name]
        if (
            not peer.up
        ):  # it is there again, and waits for answers: a pause that grew while it was away is over
            peer.pause = peer.not_before = 0.0
            peer.back.set()
        return first.sender

    def _misdirected(self, envelope: Envelope, sender: MemberId) -> ClusterError | None:
        if envelope.sender != sender:
            return BadFrame(sender, f"a frame of {envelope.sender[:64]!r} on its link")
        if envelope.to and member_name(envelope.to) != member_name(self.me):
            return ClusterMismatch(sender, f"it looks for {envelope.to[:64]!r} here, this is {self.me}")
        if envelope.to not in ("", self.me, member_name(self.me), member_name(self.me) + "/"):
            return StaleIncarnation(sender, f"it asks for {envelope.to[:64]!r}, this is {self.me}")
        return None

    # What goes out.

    def send(self, to: MemberId, message: AnyMessage) -> None:
        """Queue a message; all of one turn of the loop go in one frame."""
        peer = self.peers.get(member_name(to))
        if peer is None or self._ended:
            return
        body = _encoder.encode(message)
        if len(body) + HEAD > self.bounds.most_frame:
            self._error(
                BadFrame(
                    to,
                    f"a {type(message).__struct_config__.tag} of {len(body)} bytes is more than a frame holds",
                )
            )
            return
        light = isinstance(message, _LIGHT) or (isinstance(message, AppendEntries) and not message.entries)
        peer.add(to, body, light, self.bounds)
        if peer.task is None:
            peer.task = self._run(self._speak(peer))

    async def _speak(self, peer: PeerLink, greet: bool = False) -> None:
        """Dial while there is something to say, and once in any case with `greet`.  What waited when that
        failed is lost: it is old by the time the peer is back, and whoever is above says it anew."""
        bounds, loop = self.bounds, asyncio.get_running_loop()
        try:
            while (peer.count or greet) and not self._ended:
                greet = False
                if (pause := peer.not_before - loop.time()) > 0.0:
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(peer.back.wait(), pause)
                peer.back.clear()
                began = loop.time()
                good = await self._converse(peer)
                if loop.time() - began > bounds.again_most_s:
                    peer.pause = bounds.again_least_s
                if not good:
                    peer.clear()
                    peer.pause = min(max(peer.pause * 2, bounds.again_least_s), bounds.again_most_s)
                    peer.not_before = loop.time() + peer.pause * self._draw.uniform(0.5, 1.5)
        finally:
            peer.task = None

    async def _converse(self, peer: PeerLink) -> bool:
        """One connection, to its end; gives whether it ended for want of anything to say."""
        bounds = self.bounds
        stream, connecting = dial(peer.address, bounds.most_frame + 65536)
        listening: asyncio.Task[None] | None = None
        try:
            with contextlib.suppress(OSError):
                stream.socket.setsockopt(
                    socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(bounds.stall_s * 1000)
                )
            await asyncio.wait_for(connecting, bounds.connect_s)
            await asyncio.wait_for(stream.write(self._hello(peer.name)), bounds.hello_s)
            said = await asyncio.wait_for(
                _next_frame(stream, bounds.most_frame, self.fleet, peer.name), bounds.hello_s
            )
            if not isinstance(said, ClusterError) and member_name(said.sender) != peer.name:
                said = ClusterMismatch(peer.name, f"{said.sender[:64]!r} answers at its address")
            if isinstance(said, ClusterError):
                self._error(said)
                return False
            peer.up, peer.incarnation, peer.asked, peer.ask_at = True, said.sender, None, 0.0
            peer.spoke, peer.idle = asyncio.get_running_loop().time(), False
            listening = self._run(self._listen_to(peer, stream))
            return await self._pour(peer, stream)
        except (OSError, StreamClosedError, TimeoutError):
            return False
        finally:
            peer.up = False
            if listening is not None:
                listening.cancel()
            stream.close()

    async def _pour(self, peer: PeerLink, stream: IOStream) -> bool:
        bounds, loop = self.bounds, asyncio.get_running_loop()
        while not stream.closed():
            to, bodies = peer.batch(bounds)
            if not bodies:
                peer.news.clear()
                if peer.idle:
                    return True
                await peer.news.wait()
                await asyncio.sleep(0)  # what else this turn of the loop has to say
                continue
            if to not in (peer.incarnation, peer.name, peer.name + "/"):
                peer.lost += len(bodies)
                self._error(StaleIncarnation(to, f"it is {peer.incarnation} now"))
                continue
            body = _encoder.encode((VERSION, self.fleet, self.me, to, bodies))
            out = len(body).to_bytes(4, "big") + body
            # Half open: what is written is taken, and nobody is there.  So now and then it is asked for a
            # word.
            if peer.asked is None and loop.time() >= peer.ask_at:
                peer.asked, peer.ask_at = loop.time(), loop.time() + bounds.ask_s
                out += self._hello(peer.name)
            elif peer.asked is not None and loop.time() - peer.asked > bounds.stall_s:
                return False
            if not (written := stream.write(out)).done():
                await asyncio.wait_for(written, bounds.stall_s)
            peer.sent += len(bodies)
            peer.spoke = loop.time()
        return False

    async def _listen_to(self, peer: PeerLink, stream: IOStream) -> None:
        """The words of the acceptor, and the connection's end."""
        with contextlib.suppress(StreamClosedError, StreamBufferFullError):
            while not isinstance(
                said := await _next_frame(stream, HEAD, self.fleet, peer.name), ClusterError
            ):
                peer.asked = None
            self._error(said)
        stream.close()
        peer.news.set()

    def end(self) -> None:
        """Close all; what waits is lost."""
        self._ended = True
        loop = asyncio.get_running_loop()
        for one in self._listening:
            loop.remove_reader(one.fileno())
            one.close()
        for task in list(self._tasks):
            task.cancel()
        for stream in list(self._inbound):
            stream.close()
        for peer in self.peers.values():
            peer.clear()

    def status(self) -> dict[str, Any]:
        """For operators: each peer, whether it is linked, what waits, what was sent and lost."""
        return {
            peer.name: {"up": peer.up, "waiting": peer.count, "sent": peer.sent, "lost": peer.lost}
            for peer in self.peers.values()
        }

    def _hello(self, to: str = "") -> bytes:
        return frame(Envelope(VERSION, self.fleet, self.me, to, ()))

    def _error(self, error: ClusterError) -> None:
        """Tell of it, unless it was told lately."""
        key, now = (member_name(error.whom), error.code), asyncio.get_running_loop().time()
        if key in self._told and now - self._told[key] < TOLD_AGAIN_S:
            return
        if len(self._told) >= MOST_TOLD:
            del self._told[next(iter(self._told))]
        self._told[key] = now
        self._tell(error)
