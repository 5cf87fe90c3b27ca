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
    VOTE_ONCE = "no member votes for two in one term, or as an incarnation that lost its votes"
    COMMITTED_STAYS = "an entry that was committed never changes and never goes"
    OWN_TERM = "a leader commits by counting copies of an entry of its own term only"
    STORED_FIRST = "nothing is told to another before it is on stable storage here"
    APPLIED_ONCE = "entries are applied in order, each once"
    CONFIG_ONE = "one change of members at a time, by one voter at the most"
    LEASE_ONCE = "no lease is held by two at one time"
    PARTS_IN_WHOLE = "the parts granted sum to at most the whole"
    CONTRACTS_FIT = "admitted contracts fit in what the fleet can carry, at every moment"
    CONNECTIONS_FIT = "connections granted to a server are within its limit"
    OPEN_UNDER_LEASE = "no more connections are open than the lease says"
    WAVE_KEEPS_QUORUM = "no wave of a roll takes a group below its majority, or a hall away"
    WAVE_KEEPS_ROOM = "no wave of a roll takes what the traffic and the contracts need"
    ROLL_FORWARD = "the steps of a roll go forward only, and nobody is drained twice"
    COPIES_WHOLE = "no wave begins before the copies are whole"
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
