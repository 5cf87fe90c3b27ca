"""The discovery client: keeps the endpoint list up to date by long polls.

The protocol sets when a change counts as notified, that is, has to be known:
- missed by a silent watch: 6 s after the silence began, or 2 s after the end of its poll's wait if that is later;
- any other change: after 6 s;
- held already by the agent, the process that answers the polls: at once;
- after SIGHUP: 4 s later.

Silence means that this connection is broken: another one is opened at once.  An error status, a refused or lost
connection and a malformed response may mean that discovery is overloaded: the gateways back off.
docs/design/fleet.md, "The list's clock", derives the time limits for each fault and number of gateways.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
from collections.abc import Callable

import ujson
from tornado.iostream import IOStream

from badgeryoke.decisions.interface import EndpointList, ListScope
from badgeryoke.gateway.actor import Actor, ActorScheduler
from badgeryoke.gateway.address import Address
from badgeryoke.gateway.connecting import dial
from badgeryoke.gateway.discovery.backoff import DiscoveryBackoff
from badgeryoke.gateway.discovery.endpoint_list import Endpoint, EndpointSnapshot, read_endpoint_snapshot
from badgeryoke.gateway.discovery.endpoint_table import EndpointTable
from badgeryoke.gateway.discovery.http_response import MAX_BODY_BYTES, MAX_HEAD_BYTES
from badgeryoke.gateway.discovery.long_poll import (
    FULL_LIST_WAIT_MS,
    LONG_POLL_WAIT_MS,
    PROBE_WAIT_MS,
    SILENCE_TIMEOUT_S,
    encode_request,
    poll,
    within,
)

log = logging.getLogger(__name__)

# A list that the agent holds counts as notified from the process's start, so the cached list is used only after a
# poll that failed later than this: one that timed out in silence, or the last of several lost connections.
CACHED_LIST_AFTER_S = 0.2
# A process without any list becomes ready after this time and rejects requests at once; until then requests go to
# other gateways.  It has to be ready within 10 s of its start, and the start itself may take half of that.
READY_AFTER_S = 5.0
MIN_POLL_INTERVAL_S = 0.02  # limits polls to an agent that does not hold them, or closes after each response
# After silence, this many short polls find out whether only that connection was broken.  Later polls have the full
# wait, so that 200 gateways send 50 polls per second in an outage, and 70 in normal operation.
SHORT_POLLS_AFTER_SILENCE = 2


class DiscoveryClient(Actor):
    """Watches discovery and reports each change of the endpoint list."""

    def __init__(
        self,
        address: Address,
        cached: EndpointSnapshot | None,
        loop: ActorScheduler,
        on_change: Callable[[EndpointList, dict[int, Endpoint]], None],
        gateway_count: int,
        draw: Callable[[], float],
    ) -> None:
        """`cached`: the list to use if discovery does not answer; `on_change` gets each change and the present
        endpoints by number; `draw` returns random numbers from 0 to 1."""
        super().__init__(loop)
        self._address, self._cached, self._on_change = address, cached, on_change
        self.backoff = DiscoveryBackoff(gateway_count, draw)
        self._last_poll_succeeded = False
        self._end_pause = asyncio.Event()
        self._table = EndpointTable()
        self._version: int | None = None  # None: the complete list has to be fetched
        self._stream: IOStream | None = None
        self._logged_fault = ""
        self._stopped = False
        self._started_at, self._polled_at = 0.0, -math.inf
        self.ready = False  # true once an endpoint list is known, or none came in READY_AFTER_S
        self.has_list = False

    def start(self) -> None:
        """Start to watch; the cached list is used if discovery does not answer."""
        self._started_at = self._loop.time()
        self._loop.call_later(READY_AFTER_S, self.deliver, self._become_ready)
        self._task = asyncio.ensure_future(self._watch())

    def stop(self) -> None:
        """Stop watching; the task returns once it has noticed the closed connection."""
        self._stopped = True
        self._end_pause.set()
        if self._stream is not None:
            self._stream.close()

    @property
    def notified(self) -> bool:
        """Whether discovery has sent an endpoint list from the current address."""
        return self._version is not None

    @property
    def numbers(self) -> dict[str, int]:
        """The decision module's number of each endpoint, by its id in discovery."""
        return self._table.numbers

    def update_settings(self, gateway_count: int) -> None:
        """Apply a new number of gateways that share discovery."""
        self.backoff.set_gateway_count(gateway_count)

    def switch_address(self, address: Address) -> None:
        """Switch to another address and fetch the complete list there; until then the old list stays in use."""
        if address == self._address:
            return
        self._address, self._version = address, None
        # Failures of the old address say nothing about the new one.
        self.backoff.reset()
        self._last_poll_succeeded, self._logged_fault = False, ""
        self._end_pause.set()  # a pause may last for seconds
        if self._stream is not None:
            self._stream.close()

    def _use_cached_list(self) -> None:
        """Use the cached list, since discovery has not answered with one."""
        if self._cached is not None and self._cached.endpoints and not self.ready:
            log.warning("discovery has not answered: using the cached endpoint list")
            self._apply(self._cached, ListScope.CACHED)

    def _become_ready(self) -> None:
        if not self.ready:
            log.warning("no endpoint list after %.0f s: requests are rejected until one comes", READY_AFTER_S)
            self.ready = True

    def _apply(self, snapshot: EndpointSnapshot, scope: ListScope) -> None:
        self._version = None if scope is ListScope.CACHED else snapshot.version
        change = self._table.apply(snapshot, scope)
        if scope is not ListScope.CHANGES or change.servers:
            self.ready = self.has_list = True
            self._on_change(change, self._table.endpoints)

    async def _watch(self) -> None:
        """Poll until stopped; reconnect after a failure."""
        while not self._stopped:
            address, error = self._address, None
            self._end_pause.clear()
            try:
                await self._poll_connection(address)
            except Exception as caught:  # nothing that discovery sends may end the watch
                error = caught
            finally:
                if self._stream is not None:
                    self._stream.close()
                    self._stream = None
            if error is not None and address == self._address and not self._stopped:
                await self._pause_after(error)

    async def _pause_after(self, error: Exception) -> None:
        """Back off after a failed poll; a switch of the address ends the pause."""
        self._last_poll_succeeded = False
        self._log_fault(f"{type(error).__name__}: {error}")
        if self._loop.time() - self._started_at >= CACHED_LIST_AFTER_S:
            self.post(self._use_cached_list)
        silent = isinstance(error, TimeoutError)
        pause_s = self.backoff.pause_after_silence_s() if silent else self.backoff.pause_after_failure_s()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause_s):
                await self._end_pause.wait()

    async def _poll_connection(self, address: Address) -> None:
        """Poll on one connection; returns when it is closed after a valid response."""
        started_at = self._loop.time()
        stream, connected = dial(address, MAX_BODY_BYTES + MAX_HEAD_BYTES)
        self._stream = stream
        await within(SILENCE_TIMEOUT_S, connected)
        keep_alive = True
        while keep_alive and not self._stopped and address == self._address:
            wait_ms = self._wait_ms()
            await asyncio.sleep(max(self._polled_at + MIN_POLL_INTERVAL_S - self._loop.time(), 0.0))
            self._polled_at = self._loop.time()
            # A new connection continues from the known version: the first answer has the changes that were missed.
            request = encode_request(address, self._version, wait_ms)
            response = await poll(stream, request, self._loop.time, started_at, wait_ms / 1000.0)
            keep_alive, started_at = response.keep_alive, self._loop.time()
            if self._stopped or address != self._address:
                return  # a list from the old address must not undo what the new one sent
            self._apply_response(response.body)

    def _wait_ms(self) -> int:
        """How long discovery may hold the next poll."""
        # After repeated silence the agent may be down or only slow, and a slow one never answers short polls in time.
        use_long_poll = self._last_poll_succeeded or self.backoff.silent_polls > SHORT_POLLS_AFTER_SILENCE
        wait_ms = LONG_POLL_WAIT_MS if use_long_poll else PROBE_WAIT_MS
        return wait_ms if self._version is not None else min(wait_ms, FULL_LIST_WAIT_MS)

    def _apply_response(self, body: bytearray) -> None:
        """Apply the endpoint list of a response; raises ValueError if it is malformed or out of order."""
        snapshot = read_endpoint_snapshot(ujson.loads(bytes(body)))
        if not snapshot.full:
            if self._version is None:
                raise ValueError("got changes instead of the complete list")
            if snapshot.version < self._version:
                self._version = None  # discovery restarted its versions: changes in between were missed
                raise ValueError("got changes up to an older version than the known one")
        self.backoff.record_answer()
        self._last_poll_succeeded = True
        if self._logged_fault:
            self._logged_fault = ""
            log.info("discovery answers again, version %d", snapshot.version)
        self._apply(snapshot, ListScope.FULL if snapshot.full else ListScope.CHANGES)

    def _log_fault(self, text: str) -> None:
        """Log a fault once until discovery answers again."""
        if not self._logged_fault and not self._stopped:
            self._logged_fault = text
            log.warning("discovery watch failed: %s", text)
