"""Admission of requests whose customer has a reservation: their units are drawn from this gateway's lease before
the decision module sees them.

Loaded only where the cluster is on.  A request that finds no units in the lease's bucket waits for them if its
deadline leaves the time, and becomes an ordinary request if none come; what was drawn and not served is counted
as a shortfall, with its cause.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from typing import Any, Protocol

from badgeryoke.cluster.reservations.lease_client import ReservedUnits
from badgeryoke.cluster.reservations.settlement import MAX_WAIT_MS
from badgeryoke.gateway.actor import ActorScheduler
from badgeryoke.gateway.attempt import Request
from badgeryoke.gateway.pending_request import UnservedCause

log = logging.getLogger(__name__)

POLL_INTERVAL_S = 0.004  # between two polls of the waiting requests, while there are any
# What a request must have left of its time to wait: the longest wait, and as much to be served in.
MIN_REMAINING_MS = 2.0 * MAX_WAIT_MS
FAULT_LOG_INTERVAL = 1000  # the first fault is logged, and each so many-th


class ReservedRequest(Protocol):
    """A pending request, as reserved admission sees it."""

    request: Request
    reserved_units: ReservedUnits | None
    unserved_cause: str  # why it was not served, if it is not; set from when `reserved_units` is


class ReservationLeases(Protocol):
    """This gateway's leases (`badgeryoke.cluster.reservations.lease_client.ReservationClient`).

    Times are ms of the cluster's clock.  A token is the waiting request: the leases give it back and never look
    into it.
    """

    @property
    def leases(self) -> Mapping[str, object]:
        """The leases by contract; empty: no call is worth its time."""

    def draw(self, now: float, customer: int, units: float) -> ReservedUnits | None:
        """Draw units; None where there is no contract, or too few units now."""

    def wait(self, now: float, customer: int, units: float, token: Any) -> bool:
        """Queue for units; False where a wait has no prospect."""

    def finished_waits(self, now: float) -> list[tuple[Any, ReservedUnits | None]]:
        """Take out who has waited long enough, with the units drawn or None."""

    def record_unserved(self, now: float, reserved: ReservedUnits, cause: str) -> None:
        """Count units that were drawn and not served."""


class ReservedAdmission:
    """Between the dispatcher and the leases.  `on_wait_ended` is called with a request that has waited."""

    def __init__(
        self,
        leases: ReservationLeases,
        now: Callable[[], float],
        loop: ActorScheduler,
        on_wait_ended: Callable[[Any], None],  # Any: given a token, see ReservationLeases
    ) -> None:
        self._leases, self._now, self._loop, self._on_wait_ended = leases, now, loop, on_wait_ended
        self._waiting = 0
        self.faults = 0  # exceptions of the leases

    def reserve(self, pending: ReservedRequest) -> bool:
        """Draw a request's units; False where there is no contract, or too few units now."""
        if not self._leases.leases:
            return False
        pending.unserved_cause = UnservedCause.LATE
        try:
            request = pending.request
            pending.reserved_units = self._leases.draw(self._now(), request.customer, request.units)
        except Exception:  # a fault in the leases makes it an ordinary request
            self._record_fault()
        return pending.reserved_units is not None

    def enqueue(self, pending: ReservedRequest, remaining_ms: float) -> bool:
        """Whether a request that found no units waits for them; `on_wait_ended` is called when it has."""
        if remaining_ms < MIN_REMAINING_MS or not self._leases.leases:
            return False
        try:
            request = pending.request
            if not self._leases.wait(self._now(), request.customer, request.units, pending):
                return False
        except Exception:  # a fault in the leases makes it an ordinary request
            self._record_fault()
            return False
        if not self._waiting:
            self._loop.call_later(POLL_INTERVAL_S, self._poll_queue)
        self._waiting += 1
        return True

    def _poll_queue(self) -> None:
        ended: list[tuple[Any, ReservedUnits | None]] = []
        try:
            ended = self._leases.finished_waits(self._now())
        except Exception:  # who waits is answered at its deadline, by the dispatcher
            self._record_fault()
        for pending, reserved_units in ended:
            pending.reserved_units = reserved_units
            self._on_wait_ended(pending)
        self._waiting -= len(ended)
        if self._waiting:
            self._loop.call_later(POLL_INTERVAL_S, self._poll_queue)
        self._loop.run()

    def unserved(self, reserved_units: ReservedUnits, cause: str) -> None:
        """Units were drawn for a request that has its final response, and no server served it."""
        try:
            # Plain text: the cause becomes a key in the cluster's records.
            self._leases.record_unserved(self._now(), reserved_units, str(cause))
        except Exception:  # a missing count must not cost the request its response
            self._record_fault()

    def _record_fault(self) -> None:
        """Count an exception of the leases; called while it is handled."""
        self.faults += 1
        if self.faults == 1 or self.faults % FAULT_LOG_INTERVAL == 0:
            log.exception("fault %d of this gateway's reservation leases", self.faults)
