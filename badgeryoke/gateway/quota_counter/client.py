"""The quota counter's client: pipelined calls on one connection, replies matched in order."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable

from badgeryoke.decisions.interface import CounterReply, Verdict
from badgeryoke.gateway.actor import Actor, ActorScheduler
from badgeryoke.gateway.address import Address
from badgeryoke.gateway.quota_counter.codec import (
    OVERLOADED_PREFIX,
    encode_increment,
    is_not_counted,
    parse_total,
)
from badgeryoke.gateway.quota_counter.connection import CounterCall, CounterConnection
from badgeryoke.gateway.resp.codec import Value

log = logging.getLogger(__name__)

MAX_SILENT_TIMEOUTS = 20.0  # a connection is closed after this many call timeouts without any byte
MAX_PENDING_CALLS = 512  # calls without a reply; further ones are rejected by the client
INITIAL_BACKOFF_S, MAX_BACKOFF_S = 0.05, 1.0  # reconnect pause after a connection that answered no call
CONNECT_TIMEOUT_S = 0.5
MIN_TIMEOUT_MS = 1.0
TIMER_SLACK_MS = 0.5  # a call that is due this soon is ended by the current timer
MAX_LOGGED_ERROR_BYTES = 80


class QuotaCounterClient(Actor):
    """Owns the connections to the counter.

    Calls are written to the active connection.  Another one is being established if the active one is lost or the
    counter's address has changed.  A call made while there is neither fails at once, and the counter has added
    nothing.
    """

    def __init__(
        self, address: Address, timeout_ms: float, loop: ActorScheduler, clock: Callable[[], float]
    ) -> None:
        """`timeout_ms` is the timeout of each call; `clock` returns milliseconds."""
        super().__init__(loop)
        self._address, self._clock = address, clock
        self._timeout_ms = max(timeout_ms, MIN_TIMEOUT_MS)
        self._active: CounterConnection | None = None
        self._connecting: CounterConnection | None = None
        # In the order of opening; replaced connections are included until their calls are answered.
        self._connections: dict[CounterConnection, None] = {}
        self._unsent: list[CounterCall] = []
        self._pending: deque[CounterCall] = deque()  # calls that have not been expired yet; oldest first
        self._backoff_s = INITIAL_BACKOFF_S
        self._closing = False
        self._connect_scheduled = self._timer_set = False
        self._unreachable_logged = self._fault_logged = False

    # Called by the gateway.

    @property
    def has_pending_calls(self) -> bool:
        """Whether a call that has not timed out waits for its reply."""
        return any(not call.ended for call in self._pending)

    def open(self) -> None:
        """Connect, and reconnect whenever the connection is lost."""
        self.post(self._connect)

    def close(self) -> None:
        """Close all connections and do not reconnect."""
        self.post(self._close)

    def switch_address(self, address: Address) -> None:
        """Connect to the counter's new address, and close the old connection once its calls are answered.

        Until the new connection is established, calls are written to the old one.
        """
        self.post(self._switch_address, address)

    def update_settings(self, timeout_ms: float) -> None:
        """Change the timeout, also of calls in flight; the order of their replies does not change."""
        self._timeout_ms = max(timeout_ms, MIN_TIMEOUT_MS)

    def add(self, name: int, units: float, ttl_ms: float, on_reply: Callable[[CounterReply], None]) -> None:
        """Add units to a counter; `on_reply` is called exactly once, no later than the timeout."""
        call = CounterCall(name, encode_increment(name, units, ttl_ms), self._clock(), on_reply)
        self.post(self._add, call)

    # Calls.

    def _add(self, call: CounterCall) -> None:
        if self._active is None and self._connecting is None:
            self._finish(call, Verdict.CONNECT_FAILED)
        elif (
            len(self._unsent) + sum(len(connection.in_flight) for connection in self._connections)
            >= MAX_PENDING_CALLS
        ):
            self._finish(call, Verdict.QUEUE_FULL)
        else:
            self._unsent.append(call)
            self._pending.append(call)
            self._set_timer()

    def batch_ended(self) -> None:
        """Write the calls made in this turn."""
        active = self._active
        if not self._unsent or active is None:
            return
        if active.is_unusable():
            active.stream.close()
            self.connection_closed(active)  # called here, so that the unsent calls use the next connection
            return
        calls, self._unsent = self._unsent, []
        # From here on each call may have been counted.  If a batch is sent in part, it is unknown which calls were.
        active.in_flight.extend(calls)
        # If the connection ends before the write is complete, connection_closed() ends the calls.
        active.stream.write(b"".join(call.data for call in calls))

    def _finish(self, call: CounterCall, verdict: Verdict, total: float = 0.0) -> None:
        if call.on_reply is not None:
            on_reply, call.on_reply = call.on_reply, None
            on_reply(CounterReply(call.name, verdict, self._clock() - call.started_at_ms, total))

    def _fail_unsent(self) -> None:
        calls, self._unsent = self._unsent, []
        for call in calls:
            self._finish(call, Verdict.CONNECT_FAILED)

    # Timeouts.

    def _set_timer(self) -> None:
        """Set one timer for all calls: their timeout is the same, so the oldest is due first."""
        while self._pending and self._pending[0].ended:
            self._pending.popleft()
        if self._timer_set:
            return
        if self._pending:
            wait_ms = max(self._pending[0].started_at_ms + self._timeout_ms - self._clock(), 0.0)
        elif any(connection.in_flight for connection in self._connections):
            wait_ms = self._timeout_ms
        else:
            return
        self._timer_set = True
        self._loop.call_later(wait_ms / 1000.0, self.deliver, self._timer_fired)

    def _timer_fired(self) -> None:
        self._timer_set = False
        now_ms = self._clock()
        self._expire_calls(now_ms)
        self._close_silent_connections(now_ms)
        self._set_timer()

    def _expire_calls(self, now_ms: float) -> None:
        while self._pending and self._pending[0].started_at_ms + self._timeout_ms <= now_ms + TIMER_SLACK_MS:
            call = self._pending.popleft()
            if call in self._unsent:  # it will not be written, so the counter has added nothing
                self._unsent.remove(call)
                self._finish(call, Verdict.CONNECT_FAILED)
            else:
                self._finish(call, Verdict.TIMEOUT)

    def _close_silent_connections(self, now_ms: float) -> None:
        for connection in self._connections:
            if connection.is_stuck_in_reply(now_ms, self._timeout_ms):
                self._log_fault_once("sent an incomplete reply, connection closed")
                connection.stream.close()
            elif connection.is_silent(now_ms, MAX_SILENT_TIMEOUTS * self._timeout_ms):
                self._log_fault_once("sent no reply for too long, connection closed")
                connection.stream.close()

    # Connections.

    def _switch_address(self, address: Address) -> None:
        if address == self._address:
            return
        self._address, self._backoff_s = address, INITIAL_BACKOFF_S
        connecting, self._connecting = self._connecting, None
        if connecting is not None:
            connecting.stream.close()
        self._connect()

    def _connect(self) -> None:
        """Connect to the current address unless a connection to it is open or being established."""
        self._connect_scheduled = False
        already_connected = self._active is not None and self._active.address == self._address
        if self._closing or already_connected or self._connecting is not None:
            return
        try:
            self._connecting = CounterConnection(self, self._address)
        except OSError as error:  # no descriptor is free; one may be free at a later attempt
            self._log_fault_once(f"cannot be dialled: no socket: {error}")
            self._schedule_connect(MAX_BACKOFF_S)
            return
        self._connections[self._connecting] = None
        self._loop.call_later(CONNECT_TIMEOUT_S, self.deliver, self._connect_timed_out, self._connecting)

    def _schedule_connect(self, delay_s: float) -> None:
        if not self._connect_scheduled:
            self._connect_scheduled = True
            self._loop.call_later(delay_s, self.deliver, self._connect)

    def _connect_after_backoff(self) -> None:
        if not self._closing:
            self._schedule_connect(self._backoff_s)
            self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)

    def _connect_timed_out(self, connection: CounterConnection) -> None:
        if not connection.established:
            connection.stream.close()

    def connection_opened(self, connection: CounterConnection) -> None:
        """Make an established connection the active one, to which calls are written from now on."""
        if connection is not self._connecting:
            return
        connection.established = True
        connection.last_read_at_ms = connection.established_at_ms = self._clock()
        replaced, self._active, self._connecting = self._active, connection, None
        if replaced is not None and not replaced.in_flight:
            replaced.stream.close()
        if self._unreachable_logged:
            self._unreachable_logged = False
            log.info("counter reconnected")

    def connection_closed(self, connection: CounterConnection) -> None:
        """End the calls in flight on a closed connection: they may have been counted.  Calls not sent yet were not."""
        if connection not in self._connections:
            return
        del self._connections[connection]
        for call in connection.in_flight:
            self._finish(call, Verdict.TIMEOUT)
        connection.in_flight.clear()
        if connection is self._connecting:
            self._connect_failed(connection)
        elif connection is self._active:
            self._active_lost(connection)

    def _connect_failed(self, connection: CounterConnection) -> None:
        self._connecting = None
        if not self._unreachable_logged and not self._closing:
            self._unreachable_logged = True
            log.warning("counter cannot be reached: %s", connection.stream.error or "no answer")
        if self._active is None:
            self._fail_unsent()
        self._connect_after_backoff()

    def _active_lost(self, connection: CounterConnection) -> None:
        self._active = None
        if self._connecting is not None:
            return
        # If the connection worked until now, or was idle until the counter closed it, reconnect at once.
        established_for_ms = self._clock() - connection.established_at_ms
        worked = connection.has_answered or established_for_ms >= MAX_BACKOFF_S * 1000.0
        if worked and not self._connect_scheduled:
            self._connect()
        else:
            self._connect_after_backoff()
        if self._connecting is None:
            self._fail_unsent()

    def _close(self) -> None:
        self._closing = True
        for connection in list(self._connections):
            connection.stream.close()

    # Replies.

    def data_received(self, connection: CounterConnection, data: bytes) -> None:
        """Match replies with the calls in flight, oldest first.

        The call of a reply that cannot be parsed may have been counted.  Such a reply ends its connection, since the
        replies after it cannot be attributed to calls.
        """
        if connection not in self._connections:
            return
        connection.last_read_at_ms = self._clock()
        in_flight, parser = connection.in_flight, connection.parser
        for value in parser.feed(data):
            if not in_flight:
                self._abandon(connection, "sent an unsolicited reply")
                return
            if not self._handle_reply(connection, in_flight.popleft(), value):
                return
        if parser.fault:
            self._abandon(connection, f"violated the protocol: {parser.fault}")
        elif not in_flight and not parser.is_idle:
            self._abandon(connection, "sent part of an unsolicited reply")
        elif connection is not self._active and not in_flight:
            connection.stream.close()  # replaced after a change of address, and all its calls are answered

    def _handle_reply(self, connection: CounterConnection, call: CounterCall, value: Value) -> bool:
        """End a call by its reply; returns whether the connection is still usable."""
        total = parse_total(value)
        if total is not None:
            connection.has_answered, self._backoff_s = True, INITIAL_BACKOFF_S
            self._finish(call, Verdict.OK, total)
            return True
        if is_not_counted(value):
            connection.has_answered, self._backoff_s = True, INITIAL_BACKOFF_S
            if not value.startswith(OVERLOADED_PREFIX):
                self._log_fault_once(f"answered with error {bytes(value[:MAX_LOGGED_ERROR_BYTES])!r}")
            self._finish(call, Verdict.QUEUE_FULL)
            return True
        self._finish(call, Verdict.TIMEOUT)
        self._abandon(connection, "sent a reply that is not a total")
        return False

    def _abandon(self, connection: CounterConnection, fault: str) -> None:
        self._log_fault_once(fault)
        connection.stream.close()
        # Called here, so that this turn writes nothing more to the connection.
        self.connection_closed(connection)

    def _log_fault_once(self, text: str) -> None:
        """Log the counter's first fault; further ones are not logged."""
        if not self._fault_logged:
            self._fault_logged = True
            log.warning("counter %s:%d %s", *self._address, text)
