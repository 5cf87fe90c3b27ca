"""Queries of customers with a contract: drawn under this gateway's lease before the module sees them.

Loaded only where the fleet's part is on.  A query that finds no room in the bucket waits its turn there if
its deadline leaves the time, and is an ordinary one if none comes; what was drawn and not served is counted
short, with its cause.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from typing import Any, Protocol

from badgeryoke.cluster.reservations.lease_client import ReservedUnits
from badgeryoke.cluster.reservations.settlement import MAX_WAIT_MS
from badgeryoke.gateway.actor import ActorScheduler
from badgeryoke.gateway.attempt import Request
from badgeryoke.gateway.dispatcher import LATE

log = logging.getLogger(__name__)

TURN_S = 0.004  # between two looks at who has its turn, while any waits
PATIENT_MS = (
    2.0 * MAX_WAIT_MS
)  # of its time a query must have left to wait: the longest wait, and as much to be served in


class ReservationLeases(Protocol):
    """This gateway's leases (`badgeryoke.cluster.reservations.lease_client.ReservationClient`); times are ms of the
    fleet's clock here."""

    @property
    def leases(self) -> Mapping[str, object]:
        """By contract; none: no call is worth its time."""

    def take(self, now: float, customer: int, units: float) -> ReservedUnits | None: ...

    def wait(self, now: float, customer: int, units: float, token: Any) -> bool: ...

    def finished_waits(self, now: float) -> list[tuple[Any, ReservedUnits | None]]: ...

    def failed(self, now: float, reserved: ReservedUnits, cause: str) -> None: ...


class ReservedRequest(Protocol):
    """A query as the core keeps it."""

    query: Request
    reserved: ReservedUnits | None
    cause: str  # why it was not served, if it is not; set from the moment at which `reserved` is


class ReservedAdmission:
    """Between the core and the stakes.  `ask`: the core's, for a query that has waited."""

    def __init__(
        self,
        floor: ReservationLeases,
        now: Callable[[], float],
        loop: ActorScheduler,
        ask: Callable[[Any], None],
    ) -> None:
        self._floor, self._now, self._loop, self._ask = floor, now, loop, ask
        self._waiting = 0
        self.faults = 0

    def draw(self, run: ReservedRequest) -> bool:
        """Draw a query's units; False where there is no contract, or no room now."""
        if not self._floor.leases:
            return False
        run.cause = LATE
        try:
            run.reserved = self._floor.take(self._now(), run.query.customer, run.query.units)
        except Exception:
            self._fault()
        return run.reserved is not None

    def waits(self, run: ReservedRequest, left_ms: float) -> bool:
        """Whether a query that found no room waits its turn; the core's `ask` is called when that has
        come."""
        if left_ms < PATIENT_MS or not self._floor.leases:
            return False
        try:
            if not self._floor.wait(self._now(), run.query.customer, run.query.units, run):
                return False
        except Exception:
            self._fault()
            return False
        if not self._waiting:
            self._loop.call_later(TURN_S, self._look)
        self._waiting += 1
        return True

    def _look(self) -> None:
        turns: list[tuple[Any, ReservedUnits | None]] = []
        try:
            turns = self._floor.finished_waits(self._now())
        except Exception:
            self._fault()  # who waits is answered at its deadline, by the core
        for run, reserved in turns:
            run.reserved = reserved
            self._ask(run)
        self._waiting -= len(turns)
        if self._waiting:
            self._loop.call_later(TURN_S, self._look)
        self._loop.run()

    def _fault(self) -> None:
        """A fault in the stakes makes a query an ordinary one, and costs none its answer."""
        self.faults += 1
        if self.faults == 1 or self.faults % 1000 == 0:
            log.exception("fault %d of this gateway's contracts", self.faults)

    def unserved(self, reserved: ReservedUnits, cause: str) -> None:
        """What was drawn has its final answer, and no server served it."""
        try:
            self._floor.failed(self._now(), reserved, cause)
        except Exception:
            self._fault()
