"""The invariants of the cluster's code, each named and stated once, and checked where state changes.

In tests and the testbed a violation raises `InvariantViolation` with the facts.  In production it is recorded and
logged: the part concerned stops acknowledging writes, and client requests are still served.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum


class Rule(Enum):
    """Every invariant with its statement.  The names are stored and logged, so they stay."""

    ONE_LEADER = "no term of a group has two leaders"
    VOTE_ONCE = (
        "no member votes for two candidates in one term, or under an incarnation whose votes were lost"
    )
    COMMITTED_STAYS = "a committed entry is never changed or removed"
    OWN_TERM = "a leader commits by counting replicas only for entries of its own term"
    STORED_FIRST = "nothing is sent to another member before it is on stable storage here"
    APPLIED_ONCE = "entries are applied in order, each exactly once"
    CONFIG_ONE = "one change of members at a time, by one voter at the most"
    LEASE_ONCE = "no lease has two holders at the same time"
    PARTS_IN_WHOLE = "the granted shares sum to at most the capacity"
    CONTRACTS_FIT = "admitted contracts fit in the capacity of the fleet at any time"
    CONNECTIONS_FIT = "the connections granted for a server are within its limit"
    OPEN_UNDER_LEASE = "no more connections are open than the lease allows"
    WAVE_KEEPS_QUORUM = (
        "no wave of a rolling restart leaves a group without its majority or a zone without a gateway"
    )
    WAVE_KEEPS_ROOM = "no wave of a rolling restart takes capacity that the traffic and the contracts need"
    ROLL_FORWARD = "a rolling restart never goes back a step, and no gateway is drained twice"
    COPIES_WHOLE = "no wave begins before all replicas are restored"
    ID_ONCE = "no call with the same id takes effect twice"


class InvariantViolation(AssertionError):
    """Raised for a violated invariant in strict mode (tests and the testbed)."""

    def __init__(self, rule: Rule, facts: str) -> None:
        super().__init__(f"{rule.name}: {rule.value}: {facts}")
        self.rule = rule


class Invariants:
    """Checks the invariants of one process.

    A violation is counted in `count`, recorded in `broken` (rule and facts) and passed to `on_broken`; if `strict`, it
    is then raised as `InvariantViolation`.
    """

    MAX_RECORDED = 64  # violations kept in `broken`; further ones are only counted

    def __init__(self, strict: bool = True, on_broken: Callable[[Rule, str], None] | None = None) -> None:
        self._strict, self._on_broken = strict, on_broken
        self.broken: list[tuple[Rule, str]] = []
        self.count = 0

    def check(self, rule: Rule, holds: bool, facts: Callable[[], str]) -> bool:
        """Record a violation unless `holds`, and return `holds`.  `facts` is called only for a violation."""
        if holds:
            return True
        self.count += 1
        text = facts()
        if len(self.broken) < self.MAX_RECORDED:
            self.broken.append((rule, text))
        if self._on_broken is not None:
            self._on_broken(rule, text)
        if self._strict:
            raise InvariantViolation(rule, text)
        return False
