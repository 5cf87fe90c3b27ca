"""One RESP2 connection of a client: pipelined requests in, responses out in the same order."""

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
from badgeryoke.gateway.connecting import has_unread_data, unacknowledged_bytes, unread_bytes
from badgeryoke.gateway.dispatcher import Dispatcher
from badgeryoke.gateway.resp.codec import (
    MAX_BULK_BYTES,
    RespParser,
    Value,
    bulk,
    error,
    parse_integer,
    parse_number,
    parse_pairs,
)
from badgeryoke.gateway.resp.request_budget import SHORT_COMMAND_BYTES, RequestBudget, RequestReservation
from badgeryoke.gateway.resp.response_budget import BudgetShare, ResponseBudget
from badgeryoke.gateway.response_stream import ResponseStream
from badgeryoke.gateway.responses import Rejected, Response, Served, Streaming

log = logging.getLogger(__name__)
N = TypeVar("N", int, float)

# For each command, whether its request classes are idempotent.
COMMANDS = {b"SVC.QUERY": True, b"SVC.SUBMIT": False}
# A request id or an idempotency key: printable, without blank or comma.
REQUEST_ID_PATTERN = re.compile(r"[!-+\--~]{1,64}")
MAX_FIELD_LIST_BYTES = 1024  # length of the argument with the name=value fields
MAX_COMMAND_BYTES = MAX_BULK_BYTES + 2 * MAX_FIELD_LIST_BYTES  # all arguments of a command together
MAX_MALFORMED_COMMANDS = 3  # a connection is closed at this many
# Syntactic bounds; the dispatcher checks narrower ones.
MAX_DEADLINE_MS, MAX_UNITS, MAX_GATEWAYS = 1e7, 1e6, 1_000_000
LINGER_S = 0.2  # time for the client to read its last response and close
# A draining connection accepts requests for DRAIN_GRACE_S.  Later requests are rejected at once, and if the client
# never stops sending, the connection is closed after a response, with the requests behind it unread.  A new
# connection has FIRST_REQUEST_GRACE_S to send its first request.
DRAIN_GRACE_S, FIRST_REQUEST_GRACE_S = 1.0, 0.5
# Time after the grace period in which requests that are in the socket already are still read, and rejected.
REJECTION_TIME_S = 1.0
# A connection closes only when the system holds no more than this for its client.  A client that still reads a long
# value may send its next request, which resets a closed connection, and the rest of the value with it.
MAX_UNDELIVERED_AT_CLOSE_BYTES = 4096
DELIVERY_CHECK_INTERVAL_S = 0.05
MAX_PIPELINED_REQUESTS = 64  # unanswered requests of one connection; reading is suspended at this many
# Bytes read and handled in one turn: hundreds of commands in one turn would block all other connections.  The
# streams read chunks of the same size, so that no bytes are buffered between the socket and the turn.
READ_CHUNK_BYTES = 4096
DISCONNECT_CHECK_INTERVAL_S = 0.05  # applies while backpressure suspends reading from a client
MAX_UNSENT_BYTES = 128 * 1024  # bound of the stream's write buffer; a single response may be longer
# Largest chunk of a streamed value; the next one is written when this one is sent.
STREAM_CHUNK_BYTES = 32 * 1024
PONG, OK = b"+PONG\r\n", b"+OK\r\n"


def read_request(arguments: list[Value]) -> Request:
    """Parse a request from a command's arguments; raises ValueError with the reason for the client."""
    if not 4 <= len(arguments) <= 5 or not all(type(argument) is bytes for argument in arguments):
        raise ValueError("expected CUSTOMER ID LIST and at most a body")
    name, customer, request_id, field_list = (
        bytes(argument) for argument in arguments[:4] if isinstance(argument, bytes)
    )
    idempotent = COMMANDS[name.upper()]
    if len(field_list) > MAX_FIELD_LIST_BYTES:
        raise ValueError("list too long")
    fields = parse_pairs(field_list)
    key, retry = fields.get("k", ""), fields.get("r", "0")
    try:
        request = Request(
            id=request_id.decode("ascii"),
            request_class=fields["c"],
            plan=fields["t"],
            customer=parse_customer(customer),
            remaining_ms=_parse_field("d", parse_number, fields["d"], MAX_DEADLINE_MS),
            units=_parse_field("units", parse_number, fields["units"], MAX_UNITS),
            gateway_set_size=_parse_field("spread", parse_integer, fields["spread"], MAX_GATEWAYS),
            first_gateway=_parse_field("first", parse_integer, fields["first"], MAX_GATEWAYS),
            retry=retry == "1",
            idempotency_key=key,
            idempotent=idempotent,
            accepts_stream=True,
        )
    except KeyError as missing:
        raise ValueError(f"no {missing.args[0]} in the list") from None
    if (
        not REQUEST_ID_PATTERN.fullmatch(request.id)
        or (key and not REQUEST_ID_PATTERN.fullmatch(key))
        or retry not in ("0", "1")
    ):
        raise ValueError("id, k or r malformed")
    if len(arguments) == 5 and isinstance(arguments[4], bytes):
        request.body = arguments[4]
    return request


def _parse_field(name: str, parse: Callable[[str, N], N], text: str, maximum: N) -> N:
    try:
        return parse(text, maximum)
    except ValueError as fault:
        raise ValueError(f"{name}: {fault}") from None


def encode_response(response: Response) -> bytes:
    """Encode a final response; for a streamed value, only its header."""
    match response:
        case Streaming(stream=response_stream):
            return b"$%d\r\n" % response_stream.length_bytes
        case Served(value=value):
            return bulk(value)
        case Rejected(retry_after_ms=retry_after_ms):
            return b"-BUSY %d\r\n" % max(round(retry_after_ms), 1)
    return error(f"ERR failed {response.detail}")


def _peer_has_closed(stream: IOStream) -> bool:
    """Whether the client has closed its sending side, even if unread bytes precede the FIN."""
    if stream.closed():  # a closed stream still returns its buffered bytes
        return True
    poller = select.poll()
    poller.register(stream.socket, select.POLLRDHUP)
    return bool(poller.poll(0))


class _ResponseSlot:
    """The place of one pipelined request in the order of responses."""

    __slots__ = ("command", "expected_bytes", "notify_disconnected", "reply", "response_stream")

    def __init__(self, command: Value = None) -> None:
        self.reply: bytes | None = None
        self.command = command  # a command that has not been started
        self.expected_bytes = 0  # held of the budget until the response is ready
        # Cancels the request in the dispatcher when the client has disconnected.
        self.notify_disconnected: Callable[[], None] | None = None
        self.response_stream: ResponseStream | None = None  # set for a streamed value


class RespClientConnection(Actor):
    """One client connection: responses are sent in request order, with one write per turn."""

    def __init__(
        self,
        stream: IOStream,
        dispatcher: Dispatcher,
        loop: ActorScheduler,
        is_ready: Callable[[], bool],
        on_closed: Callable[[RespClientConnection], None],
        budget: ResponseBudget,
        request_budget: RequestBudget,
    ) -> None:
        super().__init__(loop)
        self._request_budget = request_budget
        self._reservation: RequestReservation | None = None  # for the long command being received
        self._unread_bytes = (
            0  # in the socket of a connection that waits for the reservation, at the last check
        )
        self._budget = budget
        self._budget_share = BudgetShare(budget)
        self._stream, self._dispatcher, self._is_ready, self._on_closed = (
            stream,
            dispatcher,
            is_ready,
            on_closed,
        )
        self._parser = RespParser(max_items=5, max_depth=1, max_array_bytes=MAX_COMMAND_BYTES)
        self._malformed_count = 0
        self._slots: deque[_ResponseSlot] = deque()
        self._unstarted: deque[_ResponseSlot] = deque()  # the last slots, whose commands wait for the budget
        self._closing = False  # the connection closes once all accepted requests are answered
        self._input_ended = self._output_ended = False  # either one: further input is ignored
        self._rejecting = False  # new requests are rejected
        self._grace_expired = False  # the connection closes without waiting for an incomplete command
        self._reads_until_s = math.inf  # until when a closing connection reads what is in the socket
        self._awaits_delivery = False  # the close waits until the client has received what the system holds
        self._undelivered_bytes = 0  # held by the system for the client, at the last check
        self._handling_data = False  # the last chunk read is being handled
        self._unsent_bytes = 0  # bytes written to the stream but not yet to the socket
        self._sends_stream = False  # since the first bytes of a streamed value, until the client has it all
        self._last_write_s = -math.inf  # when a response was last written
        self._may_read = asyncio.Event()
        self.has_sent_command = False  # a complete command has been received
        self.idle_since_s = loop.time()  # when a request was last in flight, or the connection was opened
        self.write_stalled_since_s = math.inf  # since when responses wait for the client to read them
        self.opened_at_s = self.idle_since_s
        self._draining = False  # the connection closes between requests
        # Start of the command being received; the first command counts from the start of the connection.
        self.command_started_s = self.idle_since_s
        stream.set_close_callback(lambda: self.post(self._disconnected))

    @property
    def is_idle(self) -> bool:
        """Whether the connection may be closed at once: it is at rest, and its client has received everything."""
        return self.is_at_rest and not self._is_behind

    @property
    def is_at_rest(self) -> bool:
        """Whether no request is in flight or being received, and the system has taken all responses."""
        if self._stream.closed() or self._slots or self._mailbox or not self._parser.is_idle or self._closing:
            return False
        return (
            not self._stream.writing() and not self._has_unhandled_data and not has_unread_data(self._stream)
        )

    @property
    def _is_behind(self) -> bool:
        """Whether the client has not received yet what the system holds for it."""
        return unacknowledged_bytes(self._stream) > MAX_UNDELIVERED_AT_CLOSE_BYTES

    @property
    def _has_unhandled_data(self) -> bool:
        """Whether bytes may have been read from the socket but not handled yet.

        A read completes one event loop iteration before the coroutine that awaits it continues.
        """
        return not self._stream.reading() and not self._handling_data

    @property
    def _backpressured(self) -> bool:
        """Whether reading is suspended."""
        return (
            len(self._slots) >= MAX_PIPELINED_REQUESTS
            or bool(self._unstarted)
            or self._awaits_reservation
            or (self._input_ended and bool(self._slots))
        )

    @property
    def _awaits_reservation(self) -> bool:
        """Whether a long command waits until there is room for it."""
        return self._reservation is not None and not self._reservation.granted

    @property
    def buffered_bytes(self) -> int:
        """Bytes buffered of an incomplete command and of responses not sent yet."""
        return self._parser.buffered_bytes + self.unsent_response_bytes

    @property
    def unsent_response_bytes(self) -> int:
        """Bytes of responses that wait for the client to read, or for an earlier response."""
        return self._unsent_bytes + sum(len(slot.reply) for slot in self._slots if slot.reply)

    @property
    def is_streaming(self) -> bool:
        """Whether the client still receives a streamed value, or has it to receive from the system."""
        return self._sends_stream

    @property
    def undelivered_text(self) -> str:
        """What the client has not received, for the log."""
        return (
            f"{self._unsent_bytes} bytes unsent, {unacknowledged_bytes(self._stream)} in the system, "
            f"{len(self._slots)} requests open, {'a' if self.is_streaming else 'no'} long value"
        )

    def abort(self) -> None:
        """Close at once: for an idle connection, or one whose client does not read its responses."""
        self._stream.close()

    def close_incomplete(self) -> None:
        """Close a connection that is idle or whose command has been incomplete for too long.

        Pending responses are sent first.  Unread bytes may be the rest of the command: the connection stays open
        until they are handled, and the next call checks again.
        """
        if self._slots or self._is_behind:
            self.drain_now()
        elif self._awaits_reservation:
            if not self._may_have_sent_command:
                self._stream.close()
        elif not self._has_unhandled_data and not has_unread_data(self._stream):
            self._stream.close()

    def reject(self) -> None:
        """Reject the requests of a connection beyond the bound on connections, and close it."""
        self.post(self._reject)

    async def serve(self) -> None:
        """Read until the connection closes; reading is suspended while too many requests are unanswered.

        A half-closed connection counts as a disconnect: a full close and a half close send the same FIN, and
        clients of this protocol close fully and never half-close to read on.
        """
        reading: asyncio.Future[bytes] | None = None
        try:
            while True:
                reading = asyncio.ensure_future(self._stream.read_bytes(READ_CHUNK_BYTES, partial=True))
                if reading.done():
                    # Data was ready: yield, so that a client that sends without pause does not block the event loop.
                    await asyncio.sleep(0)
                elif self._closing:
                    self.post(self._wake_up)  # all data read has been handled: the connection may close now
                data = await reading
                if len(data) >= READ_CHUNK_BYTES and _peer_has_closed(self._stream):
                    self._stream.close()  # the client has disconnected and cannot receive responses
                self._handling_data = True
                self.deliver(self._data_received, data)
                self._handling_data = False
                if self._backpressured:
                    # The gateway, not the client, delays the rest of the command: suspend the command timeout.
                    # Only one that waits for a reservation may not have sent the rest: see record_progress().
                    self.command_started_s = self._loop.time() if self._awaits_reservation else math.inf
                    self._unread_bytes = 0
                    await self._wait_for_capacity()
                    if not self._parser.is_idle:
                        self.command_started_s = self._loop.time()
        except OSError:  # including the end of the stream
            pass
        finally:
            # The future's exception refers to this frame and would keep the connection alive until a garbage
            # collection.
            reading = None

    async def _wait_for_capacity(self) -> None:
        """Wait until reading may resume, and check meanwhile whether the client has disconnected."""
        while self._backpressured and not self._stream.closed():
            if _peer_has_closed(self._stream):
                self._stream.close()
            self._may_read.clear()
            timer = self._loop.call_later(DISCONNECT_CHECK_INTERVAL_S, self._may_read.set)
            await self._may_read.wait()
            timer.cancel()
            if self._unstarted:
                self.deliver(self._wake_up)  # the budget may have room again

    def _data_received(self, data: bytes) -> None:
        # A closed stream still returns its buffered bytes; its client has disconnected, and no request may start.
        if self._input_ended or self._output_ended or self._stream.closed():
            return
        values = self._parser.feed(data)
        for value in values:
            slot = _ResponseSlot(command=value)
            self._slots.append(slot)
            self._unstarted.append(slot)
        self._update_reservation()
        self._start_commands()
        if self._input_ended:
            return
        if self._parser.is_idle:
            self.has_sent_command, self.command_started_s = True, math.inf
        elif values or self.command_started_s == math.inf:
            self.command_started_s = self._loop.time()
        if fault := self._parser.fault:
            log.info("client violated the protocol: %s", fault)
            slot = _ResponseSlot()
            self._set_reply(slot, error(f"ERR protocol: {fault}"))
            self._slots.append(slot)
            self._input_ended = self._closing = True

    def _update_reservation(self) -> None:
        """Reserve room for a long command once its length is known, and release it once it is complete."""
        is_long = self._parser.announced_bytes > SHORT_COMMAND_BYTES
        if is_long and self._reservation is None:
            self._reservation = RequestReservation(MAX_COMMAND_BYTES, self._may_read.set)
            self._request_budget.reserve(self._reservation)
        elif not is_long and self._reservation is not None:
            self._release_reservation()

    def _release_reservation(self) -> None:
        reservation, self._reservation = self._reservation, None
        if reservation is not None:
            self._request_budget.release(reservation)

    def _start_commands(self) -> None:
        """Start the commands that were received, in order, while the budget has room for their responses."""
        while self._unstarted and self._may_start(self._unstarted[0]):
            slot = self._unstarted.popleft()
            command, slot.command = slot.command, None
            self._handle_command(slot, command)
            if self._malformed_count >= MAX_MALFORMED_COMMANDS:
                self._ignore_input()

    def _may_start(self, slot: _ResponseSlot) -> bool:
        """Whether a command may start: always one whose response can be sent as soon as it is ready."""
        is_first = slot is self._slots[0] and not self._unsent_bytes
        return is_first or self._rejecting or self._budget_share.may_start()

    def _ignore_input(self) -> None:
        """Ignore what follows, so that hundreds of malformed commands cost no more than a few."""
        self._input_ended = self._closing = True
        while self._unstarted:
            self._slots.remove(self._unstarted.pop())

    def _handle_command(self, slot: _ResponseSlot, value: Value) -> None:
        if not isinstance(value, list) or not value or not isinstance(value[0], bytes):
            self._reject_malformed(slot, "expected an array of bulk strings")
            return
        name = value[0].upper()
        if name in COMMANDS:
            try:
                request = read_request(value)
                if problem := self._dispatcher.validate(request):
                    raise ValueError(problem)
            except (ValueError, OverflowError) as fault:
                self._reject_malformed(slot, f"syntax: {fault}")
                return
            if self._rejecting:
                # The request has been read, so it is answered: without a response it would be lost in the close.
                self._set_reply(slot, encode_response(Rejected(1.0)))
                return
            slot.expected_bytes = self._budget_share.expect_response()
            slot.notify_disconnected = self._dispatcher.submit(
                request, lambda response: self.post(self._response_ready, slot, response)
            )
        elif name == b"PING":
            self._set_reply(slot, PONG if self._is_ready() else error("ERR not ready"))
        elif name in (b"CLIENT", b"SELECT"):
            self._set_reply(slot, OK)
        else:
            self._reject_malformed(slot, "unknown command")

    def _reject_malformed(self, slot: _ResponseSlot, text: str) -> None:
        """Answer a malformed command with an error; after too many of them the connection is closed."""
        self._set_reply(slot, error(f"ERR {text}"))
        self._malformed_count += 1

    def _response_ready(self, slot: _ResponseSlot, response: Response) -> None:
        if isinstance(response, Streaming):
            # The stream has a budget of its own.
            self._budget_share.release(slot.expected_bytes)
            slot.reply, slot.response_stream = encode_response(response), response.stream
            response.stream.on_change = lambda: self.post(self._wake_up)
            return
        slot.notify_disconnected = None
        self._set_reply(slot, encode_response(response))
        if isinstance(response, Served):
            self._budget.record_size(len(response.value))

    def _set_reply(self, slot: _ResponseSlot, reply: bytes) -> None:
        slot.reply = reply
        self._budget_share.response_ready(slot.expected_bytes, len(reply))

    def _wake_up(self) -> None:
        """Do nothing but cause a turn, in which batch_ended() writes pending responses and may close."""

    def batch_ended(self) -> None:
        """Write all responses that are ready at the head of the queue, in one write."""
        if self._sends_stream:
            self._check_stream_received()
        self._start_commands()
        slots = self._slots
        out: list[bytes | None] = []
        unsent = self._unsent_bytes
        held_bytes = 0  # of the output, in the budget
        while slots and (reply := slots[0].reply) is not None:
            if unsent and unsent + len(reply) > MAX_UNSENT_BYTES:
                break  # the other responses are written once these are sent
            if (response_stream := slots[0].response_stream) is not None and not self._write_stream(
                slots[0], response_stream, out
            ):
                break
            unsent += len(reply)
            held_bytes += len(slots[0].reply or b"")
            out.append(slots.popleft().reply)
        if self._stream.closed():
            return
        if out:
            self._last_write_s = self._loop.time()
            data = b"".join(part for part in out if part)
            self._unsent_bytes += len(data)
            try:
                self._stream.write(data).add_done_callback(
                    lambda done: self._write_finished(done, len(data), held_bytes)
                )
            except StreamClosedError:
                return
        self.idle_since_s = self._loop.time()
        if not self._stream.writing() and not self._awaits_delivery:
            self.write_stalled_since_s = math.inf
        elif self.write_stalled_since_s == math.inf or out:
            self._restart_stall_clock()
        if len(slots) < MAX_PIPELINED_REQUESTS:
            self._may_read.set()
        if (self._closing or (self._draining and self.has_sent_command)) and not slots:
            self._closing = True
            self._close_gracefully()

    def _check_stream_received(self) -> None:
        """Note whether the client has received the end of the last streamed value."""
        is_ended = not self._slots or self._slots[0].response_stream is None
        if is_ended and not self._stream.writing() and not unacknowledged_bytes(self._stream):
            self._sends_stream = False

    def _write_finished(self, done: asyncio.Future[None], size: int, held_bytes: int) -> None:
        """Account for a finished write; also retrieves the exception of a write interrupted by a close."""
        self._unsent_bytes -= size
        self._budget_share.release(held_bytes)
        if not done.cancelled() and done.exception() is None:
            if self._unsent_bytes or self._awaits_delivery:
                self._restart_stall_clock()
            else:
                self.write_stalled_since_s = math.inf
            if self._closing or self._unstarted or (self._slots and self._slots[0].reply is not None):
                self.deliver(self._wake_up)

    def _write_stream(
        self, slot: _ResponseSlot, response_stream: ResponseStream, out: list[bytes | None]
    ) -> bool:
        """Add the next chunk of a streamed value to the output; True once the value is complete.

        Only one chunk at a time is written, so that a slow client puts backpressure on the upstream instead of
        filling memory.
        """
        if response_stream.aborted:  # the client would read later responses as the rest of the value
            self._input_ended = self._closing = True
            self._loop.call_soon(self._stream.close)
            return False
        if self._stream.writing():
            return False
        self._sends_stream = True
        if slot.reply:
            out.append(slot.reply)
            slot.reply = b""
        if piece := response_stream.read(min(STREAM_CHUNK_BYTES, response_stream.window_bytes)):
            out.append(piece)
        if response_stream.buffered_bytes or not response_stream.complete:
            return False
        out.append(b"\r\n")
        slot.notify_disconnected = None
        response_stream.delivered()
        return True

    def _close_gracefully(self) -> None:
        """Close the sending side first, and the connection after LINGER_S.

        A full close with unread bytes would reset the connection, and the reset could overtake the last response.
        """
        if self._stream.closed() or self._stream.writing():
            return  # _write_finished() causes another turn
        if not self._input_ended and self._may_hold_requests:
            return  # requests sent before the close are read and answered, and that turn calls this method again
        if self._output_ended:
            return
        if self._is_behind:
            self._await_delivery()
            return
        self._output_ended = True
        if self._loop.time() - self._last_write_s >= LINGER_S:
            # The client has received its last response.  Requests that arrive during the close are not read, and
            # the client retries them.
            self._stream.close()
            return
        with contextlib.suppress(OSError):
            self._stream.socket.shutdown(socket.SHUT_WR)
        self._loop.call_later(LINGER_S, self._stream.close)

    @property
    def _may_hold_requests(self) -> bool:
        """Whether bytes that were received may be requests which have to be answered before the close."""
        if self._has_unhandled_data or (self._reservation is not None and self._may_have_sent_command):
            return True
        if self._grace_expired and self._loop.time() >= self._reads_until_s:
            return False
        if has_unread_data(self._stream):
            return True
        return not self._parser.is_idle and not self._grace_expired

    def _await_delivery(self) -> None:
        """Check again soon whether the client has received what the system holds for it."""
        if not self._awaits_delivery:
            self._awaits_delivery = True
            if self.write_stalled_since_s == math.inf:
                self._restart_stall_clock()
            self._loop.call_later(DELIVERY_CHECK_INTERVAL_S, self.deliver, self._check_delivery)

    def _check_delivery(self) -> None:
        """Repeat the check; once it succeeds, batch_ended() closes the connection."""
        if self._is_behind and not self._stream.closed():
            self._loop.call_later(DELIVERY_CHECK_INTERVAL_S, self.deliver, self._check_delivery)
        else:
            self._awaits_delivery = False

    def _restart_stall_clock(self) -> None:
        self._undelivered_bytes = unacknowledged_bytes(self._stream)
        self.write_stalled_since_s = self._loop.time()

    def record_progress(self) -> None:
        """Note whether the client has sent or received bytes since the last call, where the stream does not show it.

        The system takes no more responses until a third of its buffer is free, and a connection that waits for room
        is not read.
        """
        if self._awaits_reservation:
            unread, self._unread_bytes = self._unread_bytes, unread_bytes(self._stream)
            if unread != self._unread_bytes or self._may_have_sent_command:
                self.command_started_s = self._loop.time()
        if self.write_stalled_since_s == math.inf:
            return
        if unacknowledged_bytes(self._stream) != self._undelivered_bytes:
            self._restart_stall_clock()

    @property
    def _may_have_sent_command(self) -> bool:
        """Whether the rest of a command that waits for room may be in the socket."""
        # The stream may have read one more chunk.
        received_bytes = self._parser.buffered_bytes + READ_CHUNK_BYTES + unread_bytes(self._stream)
        return received_bytes >= self._parser.announced_bytes

    def drain(self) -> None:
        """Close between requests, once every accepted request is answered."""
        self.post(self._drain)

    def drain_now(self) -> None:
        """Close as soon as the requests in flight are answered, and reject new ones until then."""
        self.post(self._drain_now)

    def _reject(self) -> None:
        self._rejecting = True
        self._drain()

    def _drain(self) -> None:
        if not self._draining:
            self._draining = True
            self._loop.call_later(DRAIN_GRACE_S, self.deliver, self._drain_now)
            if not self.has_sent_command:
                wait_s = max(self.opened_at_s + FIRST_REQUEST_GRACE_S - self._loop.time(), 0.0)
                self._loop.call_later(wait_s, self.deliver, self._first_request_expired)

    def _drain_now(self) -> None:
        """Close as soon as no request is in flight: the grace period is over."""
        if not self._grace_expired:
            self._reads_until_s = self._loop.time() + REJECTION_TIME_S
        self._rejecting = self._grace_expired = self._closing = True

    def _first_request_expired(self) -> None:
        """Close: the first request did not arrive within its grace period."""
        self._closing = True

    def _disconnected(self) -> None:
        """Cancel the requests in flight of a connection that has closed."""
        slots, self._slots = self._slots, deque()
        self._unstarted.clear()
        self._budget_share.close()
        self._release_reservation()
        self._may_read.set()
        for slot in slots:
            if slot.notify_disconnected is not None:
                slot.notify_disconnected()
        self._on_closed(self)
