"""Feeds events to a node and carries out the effects that it returns; has no logic of its own."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable
from typing import Any, Protocol

from badgeryoke.cluster.errors import ClusterError, InvariantBroken
from badgeryoke.cluster.events import (
    Effect,
    LogEvent,
    NodeEvent,
    OperationCompleted,
    PersistRecords,
    SendMessage,
    Tick,
)
from badgeryoke.cluster.invariants import Invariants
from badgeryoke.gateway.cluster.clock import ClusterClock
from badgeryoke.gateway.cluster.pending_calls import PendingCalls
from badgeryoke.gateway.cluster.storage import StorageWriter
from badgeryoke.gateway.cluster.transport import ClusterTransport

log = logging.getLogger(__name__)

MIN_TIMER_MS = 1.0
_IMMEDIATE_DUE_MS = 0.0  # earlier than any `due` of a node


class Node(Protocol):
    """The driven node: `badgeryoke.cluster.node.ClusterNode`, or a test's replacement for it."""

    @property
    def due(self) -> float:
        """The latest time of the next Tick, ms of the monotonic clock."""

    def handle(self, now: float, wall: float, event: NodeEvent) -> list[Effect]:
        """Handle an event; `now` is monotonic and `wall` Unix time, ms."""

    def status(self) -> dict[str, Any]:
        """For operators; JSON values."""


class NodeDriver:
    """One node, its timer, and the I/O that carries out its effects.

    `on_failure` is called when the node raises or breaks an invariant; it has to call `stop`.
    """

    def __init__(
        self,
        node: Node,
        member: str,
        clock: ClusterClock,
        invariants: Invariants,
        writer: StorageWriter,
        transport: ClusterTransport,
        calls: PendingCalls,
        on_failure: Callable[[ClusterError], None],
    ) -> None:
        self.node = node
        self._member, self._clock, self._invariants = member, clock, invariants
        self._writer, self._transport, self._calls = writer, transport, calls
        self._on_failure = on_failure
        self._loop = asyncio.get_running_loop()
        self._broken_invariants = 0  # number that has been reported
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_ms = math.inf
        self._stopped = False

    @property
    def timer_armed(self) -> bool:
        """Whether a Tick is scheduled."""
        return self._timer is not None

    def feed(self, *events: NodeEvent) -> None:
        """Feed events to the node in order; all records that it persists for them are written together."""
        requests: list[PersistRecords] = []
        for event in events:
            if self._stopped:
                return
            effects = self._handle(event)
            if effects is None:
                return
            for effect in effects:
                self._carry_out(effect, requests)
        self._writer.submit(requests)
        self._arm_timer()

    def wake(self) -> None:
        """Tick in the event loop's next iteration, because something is due before `node.due`."""
        if self._timer_due_ms > _IMMEDIATE_DUE_MS and not self._stopped:
            self._start_timer(_IMMEDIATE_DUE_MS, 0.0)

    def stop(self) -> None:
        """Feed no more events; further calls do nothing."""
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()

    def _handle(self, event: NodeEvent) -> list[Effect] | None:
        """The effects of an event; None if the node has failed."""
        try:
            effects = self.node.handle(self._clock.monotonic_ms(), self._clock.unix_ms(), event)
        except Exception:  # any exception: the node's state is unreliable, but requests must still be served
            event_type = type(event).__name__
            log.exception("cluster node failed while handling %s", event_type)
            self._on_failure(
                InvariantBroken(
                    self._member, f"it failed while handling {event_type}; see the log for the cause"
                )
            )
            return None
        if self._invariants.count > self._broken_invariants:
            # The effects result from a state that breaks a rule, so none is carried out.
            rule, facts = self._invariants.broken[-1]
            self._broken_invariants = self._invariants.count
            self._on_failure(InvariantBroken(self._member, f"{rule.name}: {rule.value}: {facts}"))
            return None
        return effects

    def _carry_out(self, effect: Effect, requests: list[PersistRecords]) -> None:
        match effect:
            case SendMessage(to, message):
                self._transport.send(to, message)
            case PersistRecords():
                requests.append(effect)
            case OperationCompleted(token, result):
                self._calls.complete(token, result)
            case LogEvent():
                _write_log_line(effect)

    def _arm_timer(self) -> None:
        """Schedule the next Tick for when it is due."""
        due_ms = self.node.due
        if not self._stopped and due_ms < self._timer_due_ms:
            delay_ms = max(due_ms - self._clock.monotonic_ms(), MIN_TIMER_MS)
            self._start_timer(due_ms, delay_ms / 1000.0)

    def _start_timer(self, due_ms: float, delay_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer_due_ms = due_ms
        self._timer = self._loop.call_later(delay_s, self._tick)

    def _tick(self) -> None:
        self._timer, self._timer_due_ms = None, math.inf
        self.feed(Tick())


def _write_log_line(line: LogEvent) -> None:
    level = logging.getLevelNamesMapping().get(line.level.upper(), logging.WARNING)
    if log.isEnabledFor(level):
        fields = ", ".join(f"{key} {value}" for key, value in line.fields.items())
        log.log(level, "%s%s", line.event, f": {fields}" if fields else "", extra={"fields": line.fields})
