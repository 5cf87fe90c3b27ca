"""State of a lease holder for each server, and for the pending call of each bucket."""

from __future__ import annotations

import math
from dataclasses import dataclass

from badgeryoke.cluster.state_machine_part import Command

# Interval between two requests for more; doubled while less than wanted is granted.
MIN_REQUEST_INTERVAL_MS = 200.0
MAX_RETRY_DOUBLINGS = 8


@dataclass(slots=True)
class ServerConnections:
    """One server's connections and lease at this gateway.  Times are by the holder's clock."""

    open: int = 0  # connections between the start of the connect and the known close by the server
    closing: int = 0  # open connections that are being closed
    need: int = 0
    peak: int = 0  # highest need between the last two requests
    current_peak: int = 0  # highest need since the last request
    lease_number: int = 0  # 0: no lease
    granted: int = 0
    max_open: int = 0  # how many may be open, until the lease expires
    lease_expires_ms: float = -math.inf
    requested_at_ms: float = -math.inf
    backoff_ms: float = MIN_REQUEST_INTERVAL_MS

    @property
    def unused(self) -> bool:
        """Whether nothing is open, leased or needed, so that the entry can be deleted."""
        return not (self.open or self.lease_number or self.need or self.peak or self.current_peak)

    def drop_lease(self) -> None:
        """Clear the lease after its expiry or return: no connection may be open."""
        self.lease_number, self.granted, self.max_open = 0, 0, 0
        self.lease_expires_ms = -math.inf

    def back_off(self, grant_too_small: bool, max_backoff_ms: float) -> None:
        """Double the interval between requests while less is granted than wanted."""
        self.backoff_ms = (
            min(self.backoff_ms * 2, max_backoff_ms) if grant_too_small else MIN_REQUEST_INTERVAL_MS
        )


@dataclass(slots=True)
class PendingCall:
    """A call for one bucket until its outcome is known.  It is retried with the same id, and its lease starts when it
    was first sent."""

    command: Command
    first_sent_ms: float
    retry_at_ms: float
    in_flight: bool = True
    retries: int = 0

    def schedule_retry(self, now: float, max_backoff_ms: float) -> None:
        """Schedule a retry with exponential backoff."""
        self.in_flight = False
        self.retry_at_ms = now + min(MIN_REQUEST_INTERVAL_MS * 2**self.retries, max_backoff_ms)
        self.retries = min(self.retries + 1, MAX_RETRY_DOUBLINGS)
