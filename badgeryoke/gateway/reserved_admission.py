"""Admission of requests whose customer has a reservation: their units are drawn from this gateway's lease before
the decision module handles them.

Loaded only if the cluster is on.  A request waits for units that the lease's bucket lacks if its deadline
allows, and becomes an ordinary request if it gets none.  Units that were drawn and not served are counted as a
shortfall, with their cause.
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

POLL_INTERVAL_S = 0.004  # time between two polls of the waiting requests, while there are any
# The remaining time that a request must have to wait: the longest wait, and as much again to be served.
MIN_REMAINING_MS = 2.0 * MAX_WAIT_MS
FAULT_LOG_INTERVAL = 1000  # the first fault is logged, then one in this many


class ReservedRequest(Protocol):
    """The fields of a pending request that reserved admission uses."""

    request: Request
    reserved_units: ReservedUnits | None
    unserved_cause: str  # why the request was not served; set together with `reserved_units`


class ReservationLeases(Protocol):
    """This gateway's leases (`badgeryoke.cluster.reservations.lease_client.ReservationClient`).

    Times are ms of the cluster's clock.  A token is the waiting request, which the leases return unchanged.
    """

    @property
    def leases(self) -> Mapping[str, object]:
        """The leases by contract; if there are none, the other calls can be skipped."""

    def draw(self, now: float, customer: int, units: float) -> ReservedUnits | None:
        """Draw units; None if there is no contract, or too few units at present."""

    def wait(self, now: float, customer: int, units: float, token: Any) -> bool:
        """Queue for units; False if waiting is useless."""

    def finished_waits(self, now: float) -> list[tuple[Any, ReservedUnits | None]]:
        """Remove and return the requests whose wait has ended, each with the units drawn or None."""

    def record_unserved(self, now: float, reserved: ReservedUnits, cause: str) -> None:
        """Count units that were drawn and not served."""


class ReservedAdmission:
    """Draws units from the leases for the dispatcher.  `on_wait_ended` is called with each request whose wait has
    ended."""

    def __init__(
        self,
        leases: ReservationLeases,
        now: Callable[[], float],
        loop: ActorScheduler,
        on_wait_ended: Callable[[Any], None],  # Any: called with a token, see ReservationLeases
    ) -> None:
        self._leases, self._now, self._loop, self._on_wait_ended = leases, now, loop, on_wait_ended
        self._waiting = 0
        self.faults = 0  # exceptions of the leases

    def reserve(self, pending: ReservedRequest) -> bool:
        """Draw a request's units; False if there is no contract, or too few units at present."""
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
        """Let a request that got no units wait for them; False if it does not wait."""
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
        except Exception:  # the dispatcher answers waiting requests at their deadline
            self._record_fault()
        for pending, reserved_units in ended:
            pending.reserved_units = reserved_units
            self._on_wait_ended(pending)
        self._waiting -= len(ended)
        if self._waiting:
            self._loop.call_later(POLL_INTERVAL_S, self._poll_queue)
        self._loop.run()

    def record_unserved(self, reserved_units: ReservedUnits, cause: str) -> None:
        """Report units that were drawn for a request whose final response is not a success."""
        try:
            # A plain str, not an enum: the cause becomes a key in the cluster's records.
            self._leases.record_unserved(self._now(), reserved_units, str(cause))
        except Exception:  # a missing count must not leave the request without a response
            self._record_fault()

    def _record_fault(self) -> None:
        """Count an exception of the leases; called while it is handled."""
        self.faults += 1
        if self.faults == 1 or self.faults % FAULT_LOG_INTERVAL == 0:
            log.exception("fault %d of this gateway's reservation leases", self.faults)
