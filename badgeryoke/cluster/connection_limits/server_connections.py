"""What a lease holder knows of one server's connections, and of a call of one bucket that is in flight."""

from __future__ import annotations

import math
from dataclasses import dataclass

from badgeryoke.cluster.state_machine_part import Command

MIN_REQUEST_INTERVAL_MS = 200.0  # between two requests for more; doubled while nothing is granted
MAX_RETRY_DOUBLINGS = 8


@dataclass(slots=True)
class ServerConnections:
    """One server's connections and lease at this gateway.  Times are by the holder's clock."""

    open: int = 0  # dialled and not yet known to be closed
    closing: int = 0  # of those, being closed
    need: int = 0
    peak: int = 0  # of the need since the last request but one
    current_peak: int = 0
    lease_number: int = 0  # 0: no lease
    granted: int = 0
    max_open: int = 0  # until the lease expires
    lease_expires_ms: float = -math.inf
    requested_at_ms: float = -math.inf
    backoff_ms: float = MIN_REQUEST_INTERVAL_MS

    @property
    def unused(self) -> bool:
        """Nothing is open, held or needed: it need not be remembered."""
        return not (self.open or self.lease_number or self.need or self.peak or self.current_peak)

    def drop_lease(self) -> None:
        """The lease is over, or was returned: nothing may be open."""
        self.lease_number, self.granted, self.max_open = 0, 0, 0
        self.lease_expires_ms = -math.inf

    def back_off(self, short: bool, longest_ms: float) -> None:
        """Double the interval between requests while less is granted than wanted."""
        self.backoff_ms = min(self.backoff_ms * 2, longest_ms) if short else MIN_REQUEST_INTERVAL_MS


@dataclass(slots=True)
class PendingCall:
    """A call of one bucket until its outcome is known.  It is repeated with its id, and the lease counts from
    when it was sent first."""

    command: Command
    first_sent_ms: float
    retry_at_ms: float
    in_flight: bool = True
    retries: int = 0

    def outcome_unknown(self, now: float, longest_ms: float) -> None:
        """Schedule a retry, by exponential backoff."""
        self.in_flight = False
        self.retry_at_ms = now + min(MIN_REQUEST_INTERVAL_MS * 2**self.retries, longest_ms)
        self.retries = min(self.retries + 1, MAX_RETRY_DOUBLINGS)
