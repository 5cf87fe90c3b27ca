"""Discovery's list of servers, kept by a watch: an actor of its own.

The clock it is kept by (protocol page, "Figures"): what a watch misses counts as told 6 s after it fell
silent, or 2 s after the wait of its call if that is later; all else after 6 s; what an agent has, at once;
after SIGHUP, 4 s later.  Silence tells that this watch is broken: another is opened at once.  A status, a
refused or lost connection and a malformed answer may tell that more ask than discovery has room for: the
fleet's back-off.  What follows for each fault and size of fleet: docs/design/fleet.md, "The list's clock".
"""

from __future__ import annotations

import asyncio
import contextlib
import ipaddress
import logging
import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, TypeVar

import httptools
import ujson
from tornado.iostream import IOStream, StreamClosedError

from badgeryoke.decisions.interface import EndpointList, EndpointState, ListScope, Server
from badgeryoke.gateway.actor import Actor, ActorScheduler
from badgeryoke.gateway.connecting import READ_CHUNK_BYTES, dial

log = logging.getLogger(__name__)
T = TypeVar("T")

PATH = "/api/targets"
# How long a watch may wait: short, so that one that has died in silence is found out 2 s before the clock
# runs out.
WAIT_MS = 3000
PROBE_MS = 100  # the same behind a fault: the first answer tells that somebody is there
WHOLE_MS = 1000  # and this long at most for the whole list, which need not wait for anything
SILENT_S = 1.0  # nothing for this long after that, or while dialling, is silence: the connection is given up
WHOLE_S = 1.8  # and this long after it, on a new connection from the dialling on, the answer has to be whole
# What the agent holds counts as told from a process' first moment, so the list known at the start is gone by
# only behind a try that failed after this time: one that was silent to its end, or the last of several that
# were lost.
KNOWN_AFTER_S = 0.2
# With no list at all a process turns clients away at once, where one that is not ready leaves them to other
# gateways.  But it has to be ready within 10 s of its start, and the start itself may take half of that.
READY_AFTER_S = 5.0
APART_S = 0.02  # from one call to the next, where an agent waits for nothing or closes behind each answer
BACK_OFF_S = (0.02, 0.15)  # before the next connection: at first, and at most where gateways are few
# Discovery is one service for all gateways: what all of them ask again in a second must not grow with them.
EACH_S = 0.05  # of the longest back-off, for each gateway of the fleet
# And no longer.  A refused call is behind it: 1.5 times this, then one try that is given up at its latest
# moment (PROBE_MS + WHOLE_S), then the next (AGAIN_S), come to 4.95 s of the clock's 6.
LONGEST_S = 2.0
# After silence the next call is made nearly at once: what an agent has counts as told from that moment, an
# outage's end included, so no gateway may be without an open call for the 0.25 s that a drain leaves.  Two
# short calls find out whether only that watch was broken; from then on each is held as long as any, so 200
# gateways make 50 calls a second in an outage, where they make 70 on a quiet day.
AGAIN_S = 0.05  # the next try lies anywhere in this time
SOON_S = 0.6  # at the most, where the first call behind silence is refused: 4.05 s of the clock's 6 are gone
SHORT_TRIES = 2
MAX_HEAD, MAX_BODY = 16 * 1024, 4 * 1024 * 1024
# of any figure: whole ones are exact up to there, and a JSON number has no bound of its own
MOST_NUMBER = 1e15
MAX_READ = (
    2 * MAX_BODY
)  # with the sizes of chunks and what follows the last: no read waits where more lies ready
STATES = {"active": EndpointState.UP, "leaving": EndpointState.DRAINING, "left": EndpointState.GONE}


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One server as discovery names it."""

    id: str
    address: tuple[str, int]
    zone: str
    kind: str
    cell: int
    state: EndpointState
    size: float
    started_ms: float


@dataclass(frozen=True, slots=True)
class EndpointSnapshot:
    """A list from discovery, whole or as changes."""

    version: int
    full: bool
    hosts: tuple[Endpoint, ...]


def split_address(text: str) -> tuple[str, int]:
    """IP:PORT; raises ValueError.  A name would be looked up within a turn of the event loop, and there is
    no DNS."""
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(host)
        if not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
            raise ValueError
    except ValueError:
        raise ValueError(f"expected IP:PORT, got {text[:64]!r}") from None
    return host, int(port)


def _number(entry: dict[str, Any], name: str, default: float) -> float:
    value = entry.get(name, default)
    if (
        isinstance(value, bool)
        or not isinstance(value, int | float)
        or not -MOST_NUMBER <= value <= MOST_NUMBER
    ):
        raise ValueError(f"{name}: expected a number")
    return float(value)


def read_endpoint_snapshot(raw: Any) -> EndpointSnapshot:
    """Read a list, as parsed from its JSON, into the few values used; raises ValueError naming the key."""
    if not isinstance(raw, dict) or not isinstance(raw.get("servers"), list):
        raise ValueError("servers: expected a list")
    hosts = []
    for entry in raw["servers"]:
        if not isinstance(entry, dict):
            raise ValueError("servers: expected objects")
        state = entry.get("state")
        if not isinstance(entry.get("id"), str) or not isinstance(state, str) or state not in STATES:
            raise ValueError("servers: id or state missing or unknown")
        gone = state == "left" and "addr" not in entry
        try:
            address = ("", 0) if gone else split_address(str(entry.get("addr")))
        except ValueError as fault:
            raise ValueError(f"servers: addr: {fault}") from None
        hosts.append(
            Endpoint(
                entry["id"],
                address,
                str(entry.get("zone", "")),
                str(entry.get("kind", "")),
                int(_number(entry, "cell", 0)),
                STATES[state],
                _number(entry, "weight", 1.0),
                _number(entry, "started_ms", 0),
            )
        )
    return EndpointSnapshot(int(_number(raw, "version", 0)), raw.get("full") is True, tuple(hosts))


class HttpResponse:
    """An HTTP/1.1 response, read piece by piece by httptools (llhttp), within MAX_HEAD and MAX_BODY bytes."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headed = self._whole = self._bounded = False
        self._read = 0
        self.body = bytearray()
        self.status = 0
        self.keep = True

    def feed(self, data: bytes) -> bool:
        """Whether the response is whole; raises ValueError where it is malformed or too large."""
        self._read += len(data)  # the parser bounds nothing; what is read at once goes beyond by one piece
        if self._read > (MAX_READ if self._headed else MAX_HEAD) + READ_CHUNK_BYTES:
            raise ValueError("body too large" if self._headed else "head too large")
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as fault:
            raise ValueError(f"no HTTP response: {fault.__context__ or fault}") from None
        return self._whole

    @property
    def begun(self) -> bool:
        return self._read > 0

    def ended(self) -> bool:
        """The other side has closed in good order: whether that was the end of the response."""
        self.keep = False
        return self._headed and not self._bounded

    # What the parser calls.

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"content-length" and int(value) > MAX_BODY:
            raise ValueError("body too large")
        # Of transfer codings only "chunked", the last one, tells where the body ends.
        self._bounded |= name.lower() == b"content-length" or (
            name.lower() == b"transfer-encoding" and value.lower().rstrip().endswith(b"chunked")
        )

    def on_headers_complete(self) -> None:
        self.status = self._parser.get_status_code()
        if self.status < 200:
            self._bounded = False  # the head of the answer is still to come
            return
        self._headed = True
        if self.status != 200:  # its end may be far
            raise ValueError(f"status {self.status}")

    def on_body(self, data: bytes) -> None:
        if len(self.body) + len(data) > MAX_BODY:
            raise ValueError("body too large")
        self.body += data

    def on_message_complete(self) -> None:
        if self.status >= 200:  # else it only says that the answer will come
            self._whole, self.keep = True, self._parser.should_keep_alive()


async def _within(seconds: float, what: Awaitable[T]) -> T:
    """What has come in time, or raises TimeoutError.

    A machine that was late for longer finds both at once, the time over and what has come: that is no
    silence. asyncio.timeout would throw it away, and wait_for an end of the task that crosses a fault."""
    future = asyncio.ensure_future(what)
    await asyncio.wait((future,), timeout=seconds)
    if not future.done():
        raise TimeoutError
    return future.result()


class DiscoveryClient(Actor):
    """Keeps the list, and tells of each change: the module's members, and who is at which address."""

    def __init__(
        self,
        address: tuple[str, int],
        known: EndpointSnapshot | None,
        loop: ActorScheduler,
        changed: Callable[[EndpointList, dict[int, Endpoint]], None],
        gateways: int,
        draw: Callable[[], float],
    ) -> None:
        super().__init__(loop)
        self._address, self._known, self._changed = address, known, changed
        self._back_off, self._draw = BACK_OFF_S[0], draw
        self._silences = 0  # one behind another, since the last answer
        self._sure = False  # the last call brought a good answer
        self._wake = asyncio.Event()  # ends a pause
        self.retune(gateways)
        self._numbers: dict[str, int] = {}  # the module's ids are numbers
        self._last = 0
        self._hosts: dict[int, Endpoint] = {}
        self._version: int | None = None
        self._stream: IOStream | None = None
        self._complaint = ""
        self._stopped = False
        self._began, self._called = 0.0, -math.inf
        self.ready = False  # clients may come: some list is known, or none has come for long
        self.listed = False  # some list is known

    def start(self) -> None:
        """Ask discovery, and go by the list known at the start where it does not answer."""
        self._began = self._loop.time()
        self._loop.call_later(READY_AFTER_S, self.deliver, self._listless)
        self._task = asyncio.ensure_future(self._watch())

    def _unanswered(self) -> None:
        """Discovery has not answered, or not with a list."""
        if self._known is not None and self._known.hosts and not self.ready:
            log.warning("discovery has not answered: going by the list known at the start")
            self._take(self._known, ListScope.CACHED)

    def _listless(self) -> None:
        if not self.ready:
            log.warning(
                "no list of servers after %.0f s: clients are turned away until one comes", READY_AFTER_S
            )
            self.ready = True

    @property
    def heard(self) -> bool:
        """Whether discovery itself has told a list."""
        return self._version is not None

    @property
    def numbers(self) -> dict[str, int]:
        """The module's number of each server that discovery has named."""
        return self._numbers

    def retune(self, gateways: int) -> None:
        """The fleet has so many gateways: what all of them ask is this one's part."""
        self.longest = min(max(BACK_OFF_S[1], EACH_S * gateways), LONGEST_S)
        self._back_off = min(self._back_off, self.longest)

    def move(self, address: tuple[str, int]) -> None:
        """Discovery is at another address: ask there for the whole list; until then the old one stands."""
        if address != self._address:
            self._address, self._version = address, None
            # Nothing is known of the new address, nor against it.
            self._back_off, self._silences, self._sure, self._complaint = BACK_OFF_S[0], 0, False, ""
            self._wake.set()  # it may be in a pause of seconds
            if self._stream is not None:
                self._stream.close()

    def stop(self) -> None:
        self._stopped = True
        self._wake.set()
        if self._stream is not None:
            self._stream.close()

    def _take(self, roster: EndpointSnapshot, scope: ListScope) -> None:
        self._version = roster.version if scope is not ListScope.CACHED else None
        servers = []
        whole = scope is not ListScope.CHANGES
        hosts: dict[int, Endpoint] = {} if whole else dict(self._hosts)
        for host in roster.hosts:
            number = self._numbers.get(host.id)
            if number is None:
                self._last += 1
                number = self._numbers[host.id] = self._last
            hosts[number] = host
            servers.append(
                Server(number, host.zone, host.kind, host.cell, host.state, host.size, host.started_ms)
            )
        self._hosts = {n: host for n, host in hosts.items() if host.state is not EndpointState.GONE}
        if len(self._numbers) > 64 + 4 * len(self._hosts):  # forget the names of what is long gone
            self._numbers = {name: n for name, n in self._numbers.items() if n in self._hosts}
        if whole or servers:
            self.ready = self.listed = True
            self._changed(EndpointList(scope, tuple(servers)), dict(self._hosts))

    async def _watch(self) -> None:
        """Call, take in the answer, call again at once; connect anew after a fault."""
        while not self._stopped:
            address, fault = self._address, None
            self._wake.clear()
            try:
                await self._converse(address)
            except Exception as caught:  # whatever discovery sends, the watch goes on
                fault = caught
            finally:
                if self._stream is not None:
                    self._stream.close()
                    self._stream = None
            if fault is not None and address == self._address and not self._stopped:
                self._sure = False
                self._complain(f"{type(fault).__name__}: {fault}")
                if self._loop.time() - self._began >= KNOWN_AFTER_S:
                    self.post(self._unanswered)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(self.pause(isinstance(fault, TimeoutError))):
                        await self._wake.wait()

    def pause(self, silent: bool = False) -> float:
        """How long until the next try, s: twice as long each time, times a half to one and a half by chance,
        so that gateways which lost discovery at one moment do not come back to it at one.

        After silence it does not go by the back-off, which may be long still from an earlier crowd: each try
        costs SILENT_S already, and nothing may be missed between two."""
        if silent:
            self._silences += 1
            return AGAIN_S * self._draw()
        pause, self._back_off = self._back_off, min(self._back_off * 2, self.longest)
        pause *= 0.5 + self._draw()
        if (
            self._silences
        ):  # what was missed then counts already: one refusal behind it must not take the rest
            self._silences, pause = 0, min(pause, SOON_S)
        return pause

    def answered(self) -> None:
        """A list has come: half as long next time.  Where discovery has no room for all that ask, one answer
        does not tell that it has."""
        self._back_off, self._silences = max(self._back_off / 2, BACK_OFF_S[0]), 0

    async def _converse(self, address: tuple[str, int]) -> None:
        """One connection's calls; returns where a good answer was the last one on it."""
        begun = self._loop.time()
        stream, coming_up = dial(address, MAX_BODY + MAX_HEAD)
        self._stream = stream
        await _within(SILENT_S, coming_up)
        keep = True
        while keep and not self._stopped and address == self._address:
            # Silences behind one another: there may be nobody, or one who is slow.
            wait_ms = WAIT_MS if self._sure or self._silences > SHORT_TRIES else PROBE_MS
            if self._version is None:
                wait_ms = min(wait_ms, WHOLE_MS)
            await asyncio.sleep(max(self._called + APART_S - self._loop.time(), 0.0))
            self._called = self._loop.time()
            # After a lost connection the watch goes on from the version held: what was missed comes first.
            query = "" if self._version is None else f"?after={self._version}&wait_ms={wait_ms}"
            call = f"GET {PATH}{query} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\n\r\n"
            response = await self._ask(stream, call.encode(), begun, wait_ms / 1000.0)
            keep, begun = response.keep, self._loop.time()
            if self._stopped or address != self._address:
                return  # it has moved meanwhile: a list from there must not undo what the new one told
            roster = read_endpoint_snapshot(ujson.loads(bytes(response.body)))
            if not roster.full:
                if self._version is None:
                    raise ValueError("changes where the whole list was asked for")
                if roster.version < self._version:
                    self._version = None  # discovery counts anew: what lies between was missed
                    raise ValueError("changes up to an older version")
            self.answered()
            self._sure = True
            if self._complaint:
                self._complaint = ""
                log.info("discovery answers again, version %d", roster.version)
            self._take(roster, ListScope.FULL if roster.full else ListScope.CHANGES)

    async def _ask(self, stream: IOStream, call: bytes, begun: float, wait_s: float) -> HttpResponse:
        """One call, which may wait so long for its answer.

        A head that comes early, or a 1xx, says nothing of when the rest will come; after the wait each piece
        has SILENT_S to come in, as long as the whole is in time."""
        due, last = self._loop.time() + wait_s + SILENT_S, begun + wait_s + WHOLE_S
        response, whole = HttpResponse(), False
        await _within(SILENT_S, stream.write(call))
        while not whole:
            until = min(max(due, self._loop.time() + SILENT_S), last) if response.begun else min(due, last)
            try:
                whole = response.feed(
                    await _within(
                        until - self._loop.time(), stream.read_bytes(READ_CHUNK_BYTES, partial=True)
                    )
                )
            except StreamClosedError as end:
                if end.real_error is not None or not response.ended():  # a reset is no end
                    raise
                break
        return response

    def _complain(self, text: str) -> None:
        """Log a fault once until discovery answers again."""
        if not self._complaint and not self._stopped:
            self._complaint = text
            log.warning("discovery watch broken: %s", text)
