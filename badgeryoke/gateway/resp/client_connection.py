"""The platform's front: one RESP2 connection of a client, and the listener that accepts them."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
import re
import select
import socket
from collections import deque
from collections.abc import Callable
from typing import TypeVar

from tornado.iostream import IOStream, StreamClosedError

from badgeryoke.gateway.actor import Actor, ActorScheduler
from badgeryoke.gateway.attempt import Request, parse_customer
from badgeryoke.gateway.dispatcher import Dispatcher
from badgeryoke.gateway.resp.codec import (
    MAX_BULK,
    RespParser,
    Value,
    bulk,
    error,
    number,
    pairs,
    whole_number,
)
from badgeryoke.gateway.response_stream import ResponseStream
from badgeryoke.gateway.responses import Rejected, Response, Served, Streaming

log = logging.getLogger(__name__)
N = TypeVar("N", int, float)

COMMANDS = {b"SVC.QUERY": True, b"SVC.SUBMIT": False}  # whether for classes that are safe to repeat
WORD = re.compile(r"[!-+\--~]{1,64}")  # an id or a key: printable, with no blank or comma
MOST_LISTED = 1024  # bytes of a list of names and values
MOST_FAULTS = 3  # commands refused as malformed on one connection, after which it is closed
MOST_MS, MOST_UNITS, MOST_GATEWAYS = 1e7, 1e6, 1_000_000  # the core knows narrower bounds
LINGER_S = 0.2  # for the client to fetch its last answer and close
# A connection that is to end takes what still comes for so long.  What comes later is refused at once, and
# one that never stops asking is cut off behind an answer: what lies behind that was not read.  A new one has
# so long to ask its first.
END_TAKES_S, END_FIRST_S = 1.0, 0.5
MOST_WAITING = 64  # commands of one connection that wait for their answers; more are not read meanwhile
# Bytes that are read, and taken, in one turn: hundreds of commands at once would keep all others waiting.
# The streams read by the same measure, so that nothing lies between the socket and the turn.
READ_AT_ONCE = 4096
LOOK_S = 0.05  # while no more is read of a client, whether it has gone is looked at so often
MOST_UNSENT = (
    128 * 1024
)  # bytes given to the stream that its client has not fetched; a single answer may be longer
PIECE = 32 * 1024  # of a long value is written at once; the next when this one has gone out
PONG, OK = b"+PONG\r\n", b"+OK\r\n"


def read_request(words: list[Value]) -> Request:
    """A query from a command's words; raises ValueError that says what is wrong."""
    if not 4 <= len(words) <= 5 or not all(type(word) is bytes for word in words):
        raise ValueError("expected CUSTOMER ID LIST and at most a body")
    name, customer, rid, listed = (bytes(word) for word in words[:4] if isinstance(word, bytes))
    safe = COMMANDS[name.upper()]
    if len(listed) > MOST_LISTED:
        raise ValueError("list too long")
    given = pairs(listed)
    key, retry = given.get("k", ""), given.get("r", "0")
    try:
        query = Request(
            id=rid.decode("ascii"),
            request_class=given["c"],
            plan=given["t"],
            customer=parse_customer(customer),
            remaining_ms=_field("d", number, given["d"], MOST_MS),
            units=_field("units", number, given["units"], MOST_UNITS),
            gateway_set_size=_field("spread", whole_number, given["spread"], MOST_GATEWAYS),
            first_gateway=_field("first", whole_number, given["first"], MOST_GATEWAYS),
            retry=retry == "1",
            idempotency_key=key,
            idempotent=safe,
            accepts_stream=True,
        )
    except KeyError as missing:
        raise ValueError(f"no {missing.args[0]} in the list") from None
    if not WORD.fullmatch(query.id) or (key and not WORD.fullmatch(key)) or retry not in ("0", "1"):
        raise ValueError("id, k or r malformed")
    if len(words) == 5 and isinstance(words[4], bytes):
        query.body = words[4]
    return query


def _field(name: str, read: Callable[[str, N], N], text: str, most: N) -> N:
    try:
        return read(text, most)
    except ValueError as fault:
        raise ValueError(f"{name}: {fault}") from None


def encode(answer: Response) -> bytes:
    """A final answer on this wire; of a long value the head."""
    match answer:
        case Streaming(stream=relay):
            return b"$%d\r\n" % relay.length_bytes
        case Served(value=value):
            return bulk(value)
        case Rejected(retry_after_ms=wait):
            return b"-BUSY %d\r\n" % max(round(wait), 1)
    return error(f"ERR failed {answer.detail}")


def _unread(stream: IOStream) -> bool:
    """Whether a client's bytes wait in the socket: they may be a command that it counts as taken."""
    try:
        return bool(stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        return False


def _hung_up(stream: IOStream) -> bool:
    """Whether a client has ended its sending, however much lies unread before that end."""
    if stream.closed():  # it still gives what it has read
        return True
    look = select.poll()
    look.register(stream.socket, select.POLLRDHUP)
    return bool(look.poll(0))


class _Slot:
    """The place of one command in the order of answers."""

    __slots__ = ("left", "relay", "reply")

    def __init__(self, reply: bytes | None = None) -> None:
        self.reply = reply
        self.left: Callable[[], None] | None = None  # tells the core that the client has gone
        self.relay: ResponseStream | None = None  # a long value that comes in pieces


class RespClientConnection(Actor):
    """One connection: commands in, answers out in the commands' order, one write a turn."""

    def __init__(
        self,
        stream: IOStream,
        core: Dispatcher,
        loop: ActorScheduler,
        ready: Callable[[], bool],
        closed: Callable[[RespClientConnection], None],
    ) -> None:
        super().__init__(loop)
        self._stream, self._core, self._ready, self._closed = stream, core, ready, closed
        self._parser = RespParser(max_items=5, max_depth=1, max_total=MAX_BULK + 2 * MOST_LISTED)
        self._faults = 0
        self._slots: deque[_Slot] = deque()
        self._ending = False  # closes once what was taken is answered
        self._broken = self._finished = False  # nothing that comes then can be taken
        self._refusing = False  # what comes is refused
        self._late = False  # it should have ended: what comes is refused, and what is unread stays so
        self._taking = False  # what was read last is in its turn
        self._unsent = 0  # bytes written to the stream that the client's socket has not taken
        self._told_at = -math.inf  # when an answer was last written
        self._room = asyncio.Event()
        self.spoke = False  # a whole command has come
        self.idle_since = loop.time()  # when it last had a command open, or was opened
        self.unread_since = math.inf  # since when answers wait for the client to fetch them
        self.opened_at = self.idle_since
        self._leaving = False  # it is to end between requests
        self.begun_at = self.idle_since  # since when a command is on its way in, the first from the start
        stream.set_close_callback(lambda: self.post(self._gone))

    @property
    def idle(self) -> bool:
        """Whether nothing is open, on its way in or on its way out: the connection may be closed."""
        if self._stream.closed() or self._slots or self._mailbox or not self._parser.idle or self._ending:
            return False
        return not self._stream.writing() and not self._in_hand and not _unread(self._stream)

    @property
    def _in_hand(self) -> bool:
        """Whether bytes may have left the socket that had no turn yet: a reading is done one round of the
        event loop before whoever waits for it goes on."""
        return not self._stream.reading() and not self._taking

    @property
    def _held_back(self) -> bool:
        """Whether no more is read for now."""
        return len(self._slots) >= MOST_WAITING or (self._broken and bool(self._slots))

    @property
    def held(self) -> int:
        """Bytes held of a command that is not whole, and ..."""
        return self._parser.held + self.unfetched

    @property
    def unfetched(self) -> int:
        """... of answers that wait for the client, or for one ahead of them."""
        return self._unsent + sum(len(slot.reply) for slot in self._slots if slot.reply)

    @property
    def passing(self) -> bool:
        """Whether a long value is on its way out."""
        return bool(self._slots) and self._slots[0].relay is not None

    def abort(self) -> None:
        """Close at once: one that is idle, or whose client does not fetch its answers, so that nothing it
        asks could reach it."""
        self._stream.close()

    def drop(self) -> None:
        """Close a connection that holds half a command which does not come to its end, or none.  One that
        owes answers gives them first, and what lies unread may be the rest: it is taken, and the next call
        looks."""
        if self._slots:
            self.end_late()
        elif not self._in_hand and not _unread(self._stream):
            self._stream.close()

    def turn_away(self) -> None:
        """There is no place for it: what it asks first is refused, and it ends."""
        self.post(self._turn_away)

    async def serve(self) -> None:
        """Read until the connection ends, and no further while too many commands wait for their answers.

        The end of the client's sending counts as its leaving: closed or only ended, the other machine sends
        the same FIN, and the protocol has clients that close and none that end their sending and still read.
        """
        reading: asyncio.Future[bytes] | None = None
        try:
            while True:
                reading = asyncio.ensure_future(self._stream.read_bytes(READ_AT_ONCE, partial=True))
                if (
                    reading.done()
                ):  # it lay there: others have their turn, or who sends on and on has the event loop
                    await asyncio.sleep(0)
                elif self._ending:
                    self.post(self._moved)  # nothing is in hand any more
                data = await reading
                if len(data) >= READ_AT_ONCE and _hung_up(self._stream):
                    self._stream.close()  # what it sent before it left is of no use to anybody
                self._taking = True
                self.deliver(self._take, data)
                self._taking = False
                if self._held_back:
                    self.begun_at = math.inf  # that the rest does not come is not the client's doing
                    await self._pause()
                    if not self._parser.idle:
                        self.begun_at = self._loop.time()
        except OSError:  # the stream's own end among them
            pass
        finally:
            reading = None  # its exception holds this frame, and so all of the link until the next collection

    async def _pause(self) -> None:
        """Go on when there is room.  That the client has left must not wait until what it sent before is
        read."""
        while self._held_back and not self._stream.closed():
            if _hung_up(self._stream):
                self._stream.close()
            self._room.clear()
            timer = self._loop.call_later(LOOK_S, self._room.set)
            await self._room.wait()
            timer.cancel()

    def _take(self, data: bytes) -> None:
        # A closed stream still gives what it has read: its client has gone, and nothing may begin for it.
        if self._broken or self._finished or self._stream.closed():
            return
        values = self._parser.feed(data)
        for value in values:
            self._command(value)
            if self._broken:
                return  # what comes behind is not looked at: hundreds at once must cost no more than a few
        if self._parser.idle:
            self.spoke, self.begun_at = True, math.inf
        elif values or self.begun_at == math.inf:
            self.begun_at = self._loop.time()
        if fault := self._parser.fault:
            log.info("client broke the protocol: %s", fault)
            self._slots.append(_Slot(error(f"ERR protocol: {fault}")))
            self._broken = self._ending = True

    def _command(self, value: Value) -> None:
        slot = _Slot()
        self._slots.append(slot)
        if not isinstance(value, list) or not value or not isinstance(value[0], bytes):
            self._refuse(slot, "expected an array of bulk strings")
            return
        name = value[0].upper()
        if name in COMMANDS:
            try:
                query = read_request(value)
                if problem := self._core.validate(query):
                    raise ValueError(problem)
            except (ValueError, OverflowError) as fault:
                self._refuse(slot, f"syntax: {fault}")
                return
            if self._refusing:  # read, it is owed an answer: dropped, it would be lost with the connection
                slot.reply = encode(Rejected(1.0))
                return
            slot.left = self._core.submit(query, lambda answer: self.post(self._answered, slot, answer))
        elif name == b"PING":
            slot.reply = PONG if self._ready() else error("ERR not ready")
        elif name in (b"CLIENT", b"SELECT"):
            slot.reply = OK
        else:
            self._refuse(slot, "unknown command")

    def _refuse(self, slot: _Slot, words: str) -> None:
        """A command that cannot be taken; a client that sends many of them is not listened to any longer:
        bad input costs its sender the connection, and whoever sent it is none of the clients that requests
        are of."""
        slot.reply = error(f"ERR {words}")
        self._faults += 1
        if self._faults >= MOST_FAULTS:
            self._broken = self._ending = True

    def _answered(self, slot: _Slot, answer: Response) -> None:
        if isinstance(answer, Streaming):
            slot.reply, slot.relay = encode(answer), answer.stream
            answer.stream.on_change = lambda: self.post(self._moved)
        else:
            slot.reply, slot.left = encode(answer), None

    def _moved(self) -> None:
        """A relay has more, there is room for more, or the end may have come: the end of this turn looks."""

    def batch_ended(self) -> None:
        """Write the answers that are at the head of the order, in one piece."""
        slots = self._slots
        out: list[bytes | None] = []
        unsent = self._unsent
        while slots and (reply := slots[0].reply) is not None:
            if unsent and unsent + len(reply) > MOST_UNSENT:
                break  # the rest when these have gone out
            if (relay := slots[0].relay) is not None and not self._pass_on(slots[0], relay, out):
                break
            unsent += len(reply)
            out.append(slots.popleft().reply)
        if self._stream.closed():
            return
        if out:
            self._told_at = self._loop.time()
            data = b"".join(part for part in out if part)
            self._unsent += len(data)
            try:
                self._stream.write(data).add_done_callback(lambda done: self._fetched(done, len(data)))
            except StreamClosedError:
                return
        self.idle_since = self._loop.time()
        if not self._stream.writing():
            self.unread_since = math.inf
        elif self.unread_since == math.inf or out:
            self.unread_since = self.idle_since
        if len(slots) < MOST_WAITING:
            self._room.set()
        if (self._ending or (self._leaving and self.spoke)) and not slots:
            self._ending = True
            self._finish()

    def _fetched(self, done: asyncio.Future[None], size: int) -> None:
        """What had been written is out; retrieves the exception of a write that its end cut short."""
        self._unsent -= size
        if not done.cancelled() and done.exception() is None:
            self.unread_since = self._loop.time() if self._unsent else math.inf
            if self._ending or (self._slots and self._slots[0].reply is not None):
                self.deliver(self._moved)

    def _pass_on(self, slot: _Slot, relay: ResponseStream, out: list[bytes | None]) -> bool:
        """Add the next piece of a long value to what is written, one piece at a time so that a slow client
        holds back the server and not this gateway's memory; True once it is whole."""
        if relay.aborted:  # what lies behind it in the order cannot be told from the rest of it
            self._broken = self._ending = True
            self._loop.call_soon(self._stream.close)
            return False
        if self._stream.writing():
            return False
        if slot.reply:
            out.append(slot.reply)
            slot.reply = b""
        if piece := relay.read(PIECE):
            out.append(piece)
        if relay.buffered_bytes or not relay.complete:
            return False
        out.append(b"\r\n")
        slot.left = None
        relay.delivered()
        return True

    def _finish(self) -> None:
        """Close, but only our side at first: closed whole with bytes unread, the connection would be reset,
        and the reset could overtake the last answer."""
        if self._stream.closed() or self._stream.writing():
            return  # once that is out, its turn comes here again
        if not self._broken and (
            self._in_hand or (not self._late and (not self._parser.idle or _unread(self._stream)))
        ):
            return  # sent before our end: it is read and answered, and that turn comes here again
        if not self._finished:
            self._finished = True
            if self._loop.time() - self._told_at >= LINGER_S:  # its last answer is long there
                self._stream.close()  # what crosses this is not read, so the client sends it again
                return
            with contextlib.suppress(OSError):
                self._stream.socket.shutdown(socket.SHUT_WR)
            self._loop.call_later(LINGER_S, self._stream.close)

    def end(self) -> None:
        """Close between requests, once everything taken has its answer."""
        self.post(self._end)

    def end_late(self) -> None:
        """Close as soon as what is open has its answer, and refuse what comes until then."""
        self.post(self._end_late)

    def _turn_away(self) -> None:
        self._refusing = True
        self._end()

    def _end(self) -> None:
        if not self._leaving:
            self._leaving = True
            self._loop.call_later(END_TAKES_S, self.deliver, self._end_late)
            if not self.spoke:
                wait_s = max(self.opened_at + END_FIRST_S - self._loop.time(), 0.0)
                self._loop.call_later(wait_s, self.deliver, self._silent)

    def _end_late(self) -> None:
        """It has had its time: it ends as soon as nothing is open."""
        self._refusing = self._late = self._ending = True

    def _silent(self) -> None:
        """It had its time to ask."""
        self._ending = True

    def _gone(self) -> None:
        """The client has left: nothing more is owed."""
        slots, self._slots = self._slots, deque()
        self._room.set()
        for slot in slots:
            if slot.left is not None:
                slot.left()
        self._closed(self)
