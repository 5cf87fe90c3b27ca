"""A Diameter server as an upstream, over one connection; answers are matched by Hop-by-Hop Identifier (RFC 6733)."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from tornado.iostream import IOStream, StreamClosedError

from badgeryoke.gateway.actor import Actor, ActorScheduler
from badgeryoke.gateway.attempt import Attempt, Request
from badgeryoke.gateway.connecting import dial
from badgeryoke.gateway.diameter import codec
from badgeryoke.gateway.diameter.codec import Avp, Fault, Message
from badgeryoke.gateway.diameter.dictionary import CommandCode, ResultCode
from badgeryoke.gateway.diameter.end_to_end_ids import EndToEndIds
from badgeryoke.gateway.diameter.peer import Peer, PeerIdentity, PeerState
from badgeryoke.gateway.diameter.upstream_request import (
    answers_another_request,
    encode_request,
    end_attempt,
)

if TYPE_CHECKING:
    from badgeryoke.gateway.cluster.upstream_lease import UpstreamLease

log = logging.getLogger(__name__)

IDLE_FRACTION = 0.5  # connections are closed after this fraction of the idle timeout in the settings
MAX_ATTEMPTS_IN_FLIGHT = 1024  # maximum per connection, and of attempts that wait for a connection


class UpstreamPeer(Peer):
    """A connection to a server, and the attempts in flight on it."""

    expects_cer = False

    def __init__(
        self, stream: IOStream, owner: DiameterUpstream, loop: ActorScheduler, watchdog_s: float
    ) -> None:
        super().__init__(stream, owner.identity, loop, watchdog_s)
        self._owner = owner
        self.in_flight: dict[int, Attempt] = {}
        self._unwritten: list[Attempt] = []  # the attempts of the current batch
        self.last_used_s = loop.time()

    @property
    def has_requests_in_flight(self) -> bool:
        """Whether attempts wait for an answer that can still come."""
        return bool(self.in_flight) and not self._input_ended

    def disconnect_requested(self) -> None:
        """Notify the owner, which sends further attempts over another connection."""
        self._owner.post(self._owner.connection_closing, self)

    def capabilities_exchanged(self) -> None:
        """Notify the owner, which sends the attempts that wait for the connection."""
        self._owner.post(self._owner.connection_opened, self)

    def connection_closed(self) -> None:
        """Fail the attempts in flight; those that were written may have run."""
        in_flight, self.in_flight = self.in_flight, {}
        for attempt in in_flight.values():
            attempt.on_abort = None
            attempt.connection_lost(str(self.stream.error or "connection ended"))
        self._owner.post(self._owner.connection_closed, self)

    def write(self, attempt: Attempt) -> None:
        """Encode an attempt's request, to be written at the end of the batch."""
        now = self._owner.clock()
        if self.state is not PeerState.OPEN or self.stream.closed():
            attempt.connection_lost("connection ended")
            return
        if not attempt.may_be_written(now):
            attempt.not_sent("too late to be sent")
            return
        if len(self.in_flight) >= MAX_ATTEMPTS_IN_FLIGHT:
            attempt.not_sent("too many attempts in flight")
            return
        request, owner = attempt.request, self._owner
        end_to_end_id = owner.end_to_end_id(request)
        if end_to_end_id is None:
            attempt.not_sent("no End-to-End Identifier is free")
            return
        hop_by_hop_id = self.next_id()
        retransmitted = attempt.potential_duplicate or (request.retry and bool(request.idempotency_key))
        self.in_flight[hop_by_hop_id] = attempt
        attempt.write_started = True
        attempt.on_abort = lambda: self.post(self._attempt_abandoned, hop_by_hop_id, attempt)
        service = owner.services.get(request.plan)
        self._outgoing.append(
            encode_request(
                request,
                self.identity,
                bool(request.idempotent),
                service,
                hop_by_hop_id,
                end_to_end_id,
                retransmitted,
            )
        )
        self._unwritten.append(attempt)

    def batch_ended(self) -> None:
        """Write the batch and mark each attempt that was written completely."""
        batch, self._unwritten = self._unwritten, []
        super().batch_ended()
        if not batch or self.stream.closed():
            return
        partly_written = self.stream.writing()
        # In a partly written batch, all messages but the last may have been sent completely, and may run.
        for attempt in batch[:-1] if partly_written else batch:
            attempt.written()
        if partly_written:
            self._loop.call_later(0.0, self.deliver, self._check_written, batch[-1])

    def _check_written(self, last: Attempt) -> None:
        """Mark the last attempt as written once the stream is flushed; if the stream closes first, it never ran."""
        if self.stream.closed():
            return
        if self.stream.writing():
            self._loop.call_later(0.001, self.deliver, self._check_written, last)
        else:
            last.written()

    def _attempt_abandoned(self, hop_by_hop_id: int, attempt: Attempt) -> None:
        """Drop an abandoned attempt; credit control has no request that cancels another.

        If the request already has its final answer, a late CCA is ignored. If another attempt may follow, the
        connection is closed, since this is the only way to stop the abandoned attempt.
        """
        if self.in_flight.get(hop_by_hop_id) is not attempt:
            return
        del self.in_flight[hop_by_hop_id]
        if not attempt.final:
            self.stream.close()

    def handle_credit_control(self, message: Message, avps: list[Avp] | Fault) -> None:
        """End the attempt with the Hop-by-Hop Identifier of a Credit-Control-Answer."""
        if message.is_request:
            self.send_fault_answer(
                message, Fault(ResultCode.UNABLE_TO_COMPLY, "this side serves no credit control")
            )
            return
        attempt = self.in_flight.pop(message.hop_by_hop_id, None)
        self.last_used_s = self._loop.time()
        if attempt is None:
            return  # the answer to an attempt that was abandoned
        attempt.on_abort = None
        if answers_another_request(attempt, self.identity.realm, avps):
            attempt.failed("answer to another request")
            self._owner.log_first_fault("answered a request with the session of another one")
        elif fault := end_attempt(attempt, avps):
            self._owner.log_first_fault(fault)
        self.disconnect_if_drained()

    def disconnect_if_drained(self) -> None:
        """Disconnect from a draining server once no attempt is in flight.

        Otherwise the watchdog would keep the connection open indefinitely.
        """
        if self._owner.draining and not self.in_flight and self.state is PeerState.OPEN:
            self.disconnect(codec.DO_NOT_WANT_TO_TALK_TO_YOU)


class DiameterUpstream(Actor):
    """One Diameter server; the gateway connects to it on demand, also after a connection loss."""

    def __init__(
        self,
        address: tuple[str, int],
        loop: ActorScheduler,
        clock: Callable[[], float],
        *,
        identity: PeerIdentity,
        services: dict[str, int],
        connect_ms: float,
        idle_ms: float,
        watchdog_s: float,
        end_to_end_ids: EndToEndIds,
        lease: UpstreamLease | None = None,
    ) -> None:
        super().__init__(loop)
        self._end_to_end_ids = end_to_end_ids
        self.lease = lease  # enforces the server's connection limit over all gateways of the cluster
        self.address, self.clock, self.identity = address, clock, identity
        self.services = services
        self._connect_ms, self._watchdog_s = connect_ms, watchdog_s
        self._idle_s = idle_ms * IDLE_FRACTION / 1000.0
        self._connection: UpstreamPeer | None = None
        # Connections that the server closes once it has answered the attempts in flight on them.
        self._closing_connections: dict[UpstreamPeer, None] = {}
        self._waiting: list[Attempt] = []
        self.draining = False
        self._fault_logged = False

    def start(self, attempt: Attempt) -> None:
        """Send an attempt, over a new connection if none is open."""
        self.post(self._start, attempt)

    def _start(self, attempt: Attempt) -> None:
        if self.draining:
            attempt.connection_lost("server is gone")
        elif (
            self._connection is not None
            and self._connection.state is PeerState.OPEN
            and (self.lease is None or self.lease.is_held())
        ):
            self._connection.post(self._connection.write, attempt)
        elif len(self._waiting) >= MAX_ATTEMPTS_IN_FLIGHT:
            attempt.not_sent("too many attempts wait for the connection")
        else:
            self._waiting.append(attempt)
            self._loop.call_later(self._connect_ms / 1000.0, self.deliver, self._connect_timed_out, attempt)
            if self._connection is None:
                self._connect()

    def _connect(self) -> None:
        if self.lease is not None and not self.lease.may_open():
            return  # the waiting attempts time out by themselves
        try:
            stream, connecting = (dial if self.lease is None else self.lease.dial)(
                self.address, 4 * codec.MAX_MESSAGE_BYTES
            )
        except OSError as fault:
            self.log_first_fault(f"cannot be dialled: no socket: {fault}")
            waiting, self._waiting = self._waiting, []
            for attempt in waiting:
                attempt.connection_lost(f"no socket: {fault}")
            return
        connection = self._connection = UpstreamPeer(stream, self, self._loop, self._watchdog_s)
        self._task = asyncio.ensure_future(self._run_connection(connection, connecting))

    async def _run_connection(self, connection: UpstreamPeer, connecting: asyncio.Future[IOStream]) -> None:
        try:
            await connecting
        except (StreamClosedError, OSError):
            connection.stream.close()
            return
        connection.post(
            connection.send_request, CommandCode.CAPABILITIES_EXCHANGE, connection.capabilities_avps()
        )
        await connection.read()

    def end_to_end_id(self, request: Request) -> int | None:
        """The End-to-End Identifier of a request, the same for all its attempts; None if none is free."""
        if request.idempotency_key:
            return self._end_to_end_ids.of_key(request.idempotency_key)
        return self._end_to_end_ids.of_request(request.id)

    def connection_opened(self, connection: UpstreamPeer) -> None:
        """Send the attempts that waited for this connection."""
        waiting, self._waiting = self._waiting, []
        for attempt in waiting:
            if not attempt.ended:
                connection.post(connection.write, attempt)

    def connection_closing(self, connection: UpstreamPeer) -> None:
        """Use another connection for further attempts than this one, which the server is about to close."""
        if connection is self._connection:
            self._closing_connections[connection] = None
            self._connection = None
            self._connect_if_needed()

    def connection_closed(self, connection: UpstreamPeer) -> None:
        """Reconnect for the waiting attempts if the connection had been open; fail them otherwise."""
        self._closing_connections.pop(connection, None)
        if connection is not self._connection:
            return
        self._connection = None
        if connection.origin_host and self._waiting and not self.draining:
            self._connect()  # an open connection closed while these attempts arrived
            return
        waiting, self._waiting = self._waiting, []
        for attempt in waiting:
            attempt.connection_lost(str(connection.stream.error or "no connection"))

    def _connect_timed_out(self, attempt: Attempt) -> None:
        if attempt in self._waiting:
            self._waiting.remove(attempt)
            attempt.connection_lost("no connection in time")

    @property
    def connections_needed(self) -> int:
        """See badgeryoke.gateway.cluster.upstream_lease.LeasedUpstream."""
        closing = sum(1 for connection in self._closing_connections if connection.in_flight)
        return closing + int(
            bool(self._waiting) or (self._connection is not None and bool(self._connection.in_flight))
        )

    def close_connections(self, count: int, include_in_use: bool) -> None:
        """See badgeryoke.gateway.cluster.upstream_lease.LeasedUpstream."""
        self.post(self._close_connections, count, include_in_use)

    def _close_connections(self, count: int, include_in_use: bool) -> None:
        current = () if self._connection is None else (self._connection,)
        candidates = [
            connection
            for connection in (*self._closing_connections, *current)
            if include_in_use or not connection.in_flight
        ]
        for connection in candidates[:count]:
            connection.stream.close()

    def capacity_available(self) -> None:
        """See badgeryoke.gateway.cluster.upstream_lease.LeasedUpstream."""
        self.post(self._connect_if_needed)

    def _connect_if_needed(self) -> None:
        if self._waiting and self._connection is None and not self.draining:
            self._connect()

    def log_first_fault(self, description: str) -> None:
        """Log the first fault of the server; later ones are not logged."""
        if not self._fault_logged:
            self._fault_logged = True
            log.warning("server %s:%d %s", *self.address, description)

    def sweep(self) -> None:
        """Disconnect from an idle server; called periodically."""
        connection = self._connection
        if (
            connection is not None
            and connection.state is PeerState.OPEN
            and not connection.in_flight
            and self._loop.time() - connection.last_used_s > self._idle_s
        ):
            connection.post(connection.disconnect, codec.DO_NOT_WANT_TO_TALK_TO_YOU)

    def drain(self) -> None:
        """Accept no further attempts, and disconnect once none is in flight."""
        self.post(self._drain_now)

    def _drain_now(self) -> None:
        self.draining = True
        waiting, self._waiting = self._waiting, []
        for attempt in waiting:
            attempt.connection_lost("server is draining")
        if self._connection is not None:
            self._connection.post(self._connection.disconnect_if_drained)

    def reopen(self) -> None:
        """Accept attempts again."""
        self.post(self._reopen)

    def _reopen(self) -> None:
        self.draining = False
