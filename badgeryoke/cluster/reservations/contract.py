"""The life cycle of a contract: its versions, its states, and the capacity that it reserves over time.

A contract has the version in force and at most one pending version (a cancellation is a version without
intervals).  While there are two, the contract reserves the higher of their rates at every moment, because
gateways may still hold leases under either.  `TRANSITIONS` is the table of states and events; states are stored
by their values.
"""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass, field
from enum import Enum

from badgeryoke.cluster.reservations.capacity_profile import ReservedInterval, higher_of
from badgeryoke.cluster.reservations.terms import ContractTerms, Interval

ARM_AHEAD_MS = 10_000.0  # how long before its window a contract is armed
GRANT_AHEAD_MS = 1000.0  # how long before its window leases are granted, for use from its start
BREACH_RECOVERY_MS = 5000.0  # time without a shortfall after which a breach ends


class ContractState(Enum):
    """The state of a contract.  The values are stored."""

    PROPOSED = "proposed"
    REFUSED = "refused"
    ADMITTED = "admitted"
    ARMED = "armed"  # its window starts soon, and the tenant's group has opened it
    ACTIVE = "active"
    BREACHED = "breached"  # active, with a recent shortfall
    CLOSING = "closing"  # its window has ended or it is cancelled; its leases are expiring
    SETTLED = "settled"


class ContractEvent(Enum):
    """An event that changes a contract's state."""

    ADMIT = "it fits"
    REFUSE = "it does not fit"
    ARM = "its window is near and the tenant's group has opened it"
    BEGIN = "its window begins"
    SHORTFALL = "units within it were not served"
    RECOVER = "no recent shortfall"
    END = "its window ends"
    CANCEL = "it is cancelled"
    NEXT_WINDOW = "another window is ahead"
    SETTLE = "its last lease has expired"


TRANSITIONS: dict[tuple[ContractState, ContractEvent], ContractState] = {
    (ContractState.PROPOSED, ContractEvent.ADMIT): ContractState.ADMITTED,
    (ContractState.PROPOSED, ContractEvent.REFUSE): ContractState.REFUSED,
    (ContractState.ADMITTED, ContractEvent.ARM): ContractState.ARMED,
    # The tenant's group did not open the contract before its window ended.
    (ContractState.ADMITTED, ContractEvent.END): ContractState.CLOSING,
    (ContractState.ADMITTED, ContractEvent.CANCEL): ContractState.CLOSING,
    (ContractState.ADMITTED, ContractEvent.SHORTFALL): ContractState.ADMITTED,
    (ContractState.ARMED, ContractEvent.BEGIN): ContractState.ACTIVE,
    (ContractState.ARMED, ContractEvent.END): ContractState.CLOSING,
    (ContractState.ARMED, ContractEvent.CANCEL): ContractState.CLOSING,
    (ContractState.ARMED, ContractEvent.SHORTFALL): ContractState.ARMED,
    (ContractState.ACTIVE, ContractEvent.SHORTFALL): ContractState.BREACHED,
    (ContractState.ACTIVE, ContractEvent.END): ContractState.CLOSING,
    (ContractState.ACTIVE, ContractEvent.CANCEL): ContractState.CLOSING,
    (ContractState.BREACHED, ContractEvent.SHORTFALL): ContractState.BREACHED,
    (ContractState.BREACHED, ContractEvent.RECOVER): ContractState.ACTIVE,
    (ContractState.BREACHED, ContractEvent.END): ContractState.CLOSING,
    (ContractState.BREACHED, ContractEvent.CANCEL): ContractState.CLOSING,
    # Shortfalls may be reported late.
    (ContractState.CLOSING, ContractEvent.SHORTFALL): ContractState.CLOSING,
    (ContractState.CLOSING, ContractEvent.NEXT_WINDOW): ContractState.ADMITTED,
    (ContractState.CLOSING, ContractEvent.SETTLE): ContractState.SETTLED,
    (ContractState.SETTLED, ContractEvent.SHORTFALL): ContractState.SETTLED,
}


@dataclass(slots=True)
class ContractVersion:
    """Terms in force from `effective_from_ms` on.  `intervals`: the expanded windows; empty for a cancellation."""

    number: int
    terms: ContractTerms
    intervals: list[Interval]
    effective_from_ms: float


@dataclass(slots=True)
class Contract:
    """One contract.  `versions`: the version in force, then possibly one that is pending, or in force while
    leases of the previous one remain."""

    name: str
    versions: list[ContractVersion]
    state: ContractState = ContractState.PROPOSED
    confirmed_version: int = 0  # the newest version for which the tenant's group reported `VersionDrained`
    cancelled: bool = False
    shortfalls: dict[str, dict[str, float]] = field(default_factory=dict)  # cause -> reporter -> units
    shortfall_since_ms: float = 0.0  # when the first shortfall began; 0: none
    last_shortfall_ms: float = 0.0

    def advance(self, event: ContractEvent) -> bool:
        """Apply an event; returns False and changes nothing if `TRANSITIONS` has no entry for it."""
        new = TRANSITIONS.get((self.state, event))
        self.state = new or self.state
        return new is not None

    def advance_to(self, at_ms: float, lease_tail_ms: float) -> None:
        """Apply all time-based events that are due at `at_ms`."""
        while (event := self.due_event(at_ms, lease_tail_ms)) is not None and self.advance(event):
            pass

    @property
    def is_live(self) -> bool:
        """Whether it reserves capacity: it is neither settled nor refused."""
        return self.state not in (ContractState.SETTLED, ContractState.REFUSED)

    @property
    def newest(self) -> ContractVersion:
        """The pending version, or else the one in force."""
        return self.versions[-1]

    def version_at(self, at_ms: float) -> ContractVersion:
        """The version in force at a moment."""
        return self.newest if at_ms >= self.newest.effective_from_ms else self.versions[0]

    def reserved_intervals(self, lease_tail_ms: float) -> list[ReservedInterval]:
        """The rate that the contract reserves over time: the higher rate of its versions at every moment.
        Leases may be in use until `lease_tail_ms` after the end of a window."""
        by_version = [
            [
                ReservedInterval(start_ms, end_ms + lease_tail_ms, version.terms.rate)
                for start_ms, end_ms in version.intervals
            ]
            for version in self.versions
        ]
        if len(by_version) == 1:
            return higher_of([], by_version[0])
        effective_from_ms = self.newest.effective_from_ms
        pending = [
            ReservedInterval(max(start_ms, effective_from_ms), end_ms, rate)
            for start_ms, end_ms, rate in by_version[1]
            if end_ms > effective_from_ms
        ]
        return higher_of(by_version[0], pending)

    def due_event(self, at_ms: float, lease_tail_ms: float) -> ContractEvent | None:
        """The time-based event that is due at a moment, if any."""
        intervals = self.version_at(at_ms).intervals
        ended_count = bisect_right(intervals, at_ms, key=lambda interval: interval.end_ms)
        # The interval in force, or the next one.
        current = intervals[ended_count] if ended_count < len(intervals) else None
        match self.state:
            case ContractState.ADMITTED:
                return self._due_while_admitted(at_ms, current)
            case ContractState.ARMED | ContractState.ACTIVE | ContractState.BREACHED:
                return self._due_while_open(at_ms, current)
            case ContractState.CLOSING:
                last_end_ms = intervals[ended_count - 1].end_ms if ended_count else None
                return self._due_while_closing(at_ms, lease_tail_ms, current, last_end_ms)
        return None

    def _due_while_admitted(self, at_ms: float, current: Interval | None) -> ContractEvent | None:
        if current is None:
            return ContractEvent.END
        is_near = at_ms >= current.start_ms - ARM_AHEAD_MS
        return ContractEvent.ARM if self.confirmed_version and is_near else None

    def _due_while_open(self, at_ms: float, current: Interval | None) -> ContractEvent | None:
        if current is None or at_ms < current.start_ms - ARM_AHEAD_MS:
            return ContractEvent.END
        if self.state is ContractState.ARMED:
            return ContractEvent.BEGIN if at_ms >= current.start_ms else None
        if at_ms < current.start_ms:
            return ContractEvent.END
        recovered = at_ms >= self.last_shortfall_ms + BREACH_RECOVERY_MS
        return ContractEvent.RECOVER if self.state is ContractState.BREACHED and recovered else None

    def _due_while_closing(
        self, at_ms: float, lease_tail_ms: float, current: Interval | None, last_end_ms: float | None
    ) -> ContractEvent | None:
        """`last_end_ms`: when the latest past interval ended."""
        if self.cancelled:
            return ContractEvent.SETTLE if self.confirmed_version == self.newest.number else None
        if current is not None:
            # The next window opens once the last lease of the previous one has expired, but no later than its
            # own leases are due to be granted.
            expired_ms = last_end_ms + lease_tail_ms if last_end_ms is not None else at_ms
            reopens = at_ms >= min(expired_ms, current.start_ms - GRANT_AHEAD_MS)
            return ContractEvent.NEXT_WINDOW if reopens else None
        settled_ms = (last_end_ms if last_end_ms is not None else 0.0) + lease_tail_ms
        return ContractEvent.SETTLE if len(self.versions) == 1 and at_ms >= settled_ms else None
