"""Validation of contract changes, and the capacity that a change adds.

A change takes effect at one moment, at least two lease times ahead: by then every gateway has received it in
a poll, and every lease under the previous version has been renewed or has expired.
"""

from __future__ import annotations

from badgeryoke.cluster.errors import InvalidCall, WrongState
from badgeryoke.cluster.leases.lease import EPSILON
from badgeryoke.cluster.reservations.capacity_profile import ReservedInterval, rate_at
from badgeryoke.cluster.reservations.contract import Contract, ContractVersion
from badgeryoke.cluster.reservations.terms import ContractTerms, expand_windows

NOTICE_LEASE_TIMES = 2  # minimum lead time of a change, in lease times


def check_changeable(
    contract: Contract, at_ms: float, effective_from_ms: float, lease_tail_ms: float
) -> WrongState | InvalidCall | None:
    """Why a contract cannot get another version at `at_ms` (Unix ms), or None."""
    name, newest = contract.name, contract.newest
    if contract.cancelled or not contract.is_live or newest.intervals[-1].end_ms <= at_ms:
        state = "cancelled" if contract.cancelled else contract.state.value
        return WrongState(name, f"it is {state}")
    if len(contract.versions) > 1:
        return WrongState(name, "the change before is not through yet")
    notice_ms = NOTICE_LEASE_TIMES * lease_tail_ms
    if effective_from_ms < at_ms + notice_ms - EPSILON:
        return InvalidCall(name, f"holds_from_ms: expected {notice_ms:.0f} ms ahead at the least")
    return None


def check_new_terms(contract: Contract, terms: ContractTerms, effective_from_ms: float) -> InvalidCall | None:
    """Why a contract can't change to these terms, or None."""
    old = contract.newest.terms
    if (terms.tenant, terms.zone) != (old.tenant, old.zone):
        return InvalidCall(contract.name, "tenant: it stays, and the hall as well")
    if expand_windows(terms.windows)[-1].end_ms <= effective_from_ms:
        return InvalidCall(contract.name, "windows: expected one that ends behind holds_from_ms")
    return None


def added_intervals(
    contract: Contract, pending: ContractVersion, lease_tail_ms: float
) -> list[ReservedInterval]:
    """The intervals in which a pending version would raise the rate that a contract reserves."""
    before = contract.reserved_intervals(lease_tail_ms)
    changed = Contract(contract.name, [contract.newest, pending])
    return [
        interval
        for interval in changed.reserved_intervals(lease_tail_ms)
        if interval.rate > rate_at(before, interval.start_ms) + EPSILON
    ]
