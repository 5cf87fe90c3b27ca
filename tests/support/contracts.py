"""Contracts for tests: terms, a registry with a given capacity, and leaders' views."""

from __future__ import annotations

from typing import Any

import msgspec
from hypothesis import HealthCheck, settings

from badgeryoke.cluster.invariants import Invariants
from badgeryoke.cluster.reservations.admission import ContractRegistry
from badgeryoke.cluster.reservations.commands import ProposeContract, SetCapacity
from badgeryoke.cluster.reservations.terms import ContractTerms, Window
from badgeryoke.cluster.state_machine_part import ApplyResult, LeaderView
from badgeryoke.cluster.timings import Timings

TIMINGS = Timings()
LEASE_TAIL_MS = TIMINGS.lease_expiry_ms()
QUICK = settings(max_examples=20, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))


def contract_terms(
    rate: float, start_ms: float, end_ms: float, tenant: str = "dealer", **fields: Any
) -> ContractTerms:
    """Return terms with one window, by default with a burst of 30 units."""
    window = Window(start_ms, end_ms, fields.pop("every_ms", 0.0), fields.pop("until_ms", 0.0))
    return ContractTerms(
        tenant=tenant,
        customers=(1, 2),
        rate=rate,
        burst=fields.pop("burst", 30.0),
        windows=(window,),
        **fields,
    )


def with_rate(terms: ContractTerms, rate: float) -> ContractTerms:
    """Return the same terms at another rate."""
    return msgspec.structs.replace(terms, rate=rate)


def registry_with_capacity(
    capacity: float = 100.0, reserve_fraction: float = 0.0, unreserved_rate: float = 0.0
) -> ContractRegistry:
    """Return a registry without contracts."""
    registry = ContractRegistry(TIMINGS, Invariants())
    command = SetCapacity(
        id="c", capacity=capacity, reserve_fraction=reserve_fraction, unreserved_rate=unreserved_rate
    )
    assert registry.apply(0.0, command).error is None
    return registry


def propose(registry: ContractRegistry, at_ms: float, name: str, terms: ContractTerms) -> ApplyResult:
    """Propose a contract at `at_ms`."""
    return registry.apply(at_ms, ProposeContract(id=name, contract=name, terms=terms))


def leader_view(now: float) -> LeaderView:
    """Return the view of a leader whose monotonic clock and wall clock show the same time."""
    return LeaderView(now, now, "m/1", 0.0, TIMINGS, frozenset(), {}, {}, {}, {}, {})


def reloaded(part: Any) -> Any:
    """Return a copy of a part of a state machine, loaded from its snapshot."""
    copy, stored = type(part)(TIMINGS, Invariants()), msgspec.msgpack.encode(part.dump())
    copy.load(msgspec.msgpack.decode(stored))
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(copy.dump())) == msgspec.msgpack.decode(stored)
    return copy
