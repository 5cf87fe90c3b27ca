"""Stateful property test of the lease holders of one pool.

Holders request, renew, repeat and expire leases in any order; the shares stay within the capacity, and no units are
created.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from badgeryoke.cluster.errors import LeaseExpired
from badgeryoke.cluster.invariants import Invariants, InvariantViolation, Rule
from badgeryoke.cluster.leases.lease import LeaseGrant, LeaseRequest
from badgeryoke.cluster.leases.lease_pool import LeasePool


class HeldLease(NamedTuple):
    """A lease as its holder knows it."""

    number: int = 0
    share: float = 0.0
    depth: float = 0.0
    level: float = 0.0  # units in its bucket


class LeaseHolders(RuleBasedStateMachine):
    """The state machine that the module's docstring describes."""

    @initialize(
        capacity=st.sampled_from([60.0, 7.0]),
        depth=st.sampled_from([0.0, 30.0]),
        step=st.sampled_from([0.0, 1.0]),
    )
    def begin(self, capacity: float, depth: float, step: float) -> None:
        """A pool without any lease."""
        self.checks = Invariants()
        self.pool = LeasePool(capacity, depth, step, even_split=step > 0)
        self.held: dict[str, HeldLease] = {}
        self.max_units = depth  # upper bound of the units in the pool and all buckets

    @rule(
        holder=st.sampled_from("abcd"),
        kept=st.floats(0, 1),
        wanted=st.floats(0, 80),
        kept_depth=st.floats(0, 1),
        unused=st.floats(0, 1),
        takes_spare=st.booleans(),
        stale=st.booleans(),
    )
    def request(
        self,
        holder: str,
        kept: float,
        wanted: float,
        kept_depth: float,
        unused: float,
        takes_spare: bool,
        stale: bool,
    ) -> None:
        """A holder draws units, then renews; `kept`, `kept_depth` and `unused` are fractions."""
        number, share, depth, level = self.held.get(holder, HeldLease())
        self.max_units -= level * (1.0 - unused) if not stale else 0.0
        level *= unused
        new_depth = depth * kept_depth
        returned_units = max(level - new_depth, 0.0)
        if stale:
            request = LeaseRequest(holder, number + 1, 0.0, wanted, 0.0)
            assert isinstance(self.pool.request(request, self.checks), LeaseExpired)
            return
        new_share = float(int(share * kept)) if self.pool.step else share * kept
        wanted_units = max(new_depth - level, 0.0) if number else self.pool.depth
        grant = self.pool.request(
            LeaseRequest(
                holder, number, new_share, wanted, returned_units, new_depth, wanted_units, takes_spare
            ),
            self.checks,
        )
        assert isinstance(grant, LeaseGrant)
        kept_level = level - returned_units
        assert grant.share >= new_share - 1e-9 and grant.depth >= min(new_depth, kept_level) - 1e-9
        if grant.number:
            held = HeldLease(grant.number, grant.share, grant.depth, kept_level + grant.units)
            self.held[holder] = held
            assert held.level <= grant.depth + 1e-6
        else:
            self.held.pop(holder, None)

    @precondition(lambda self: self.held)
    @rule(pick=st.integers(0, 3), again=st.booleans())
    def expire(self, pick: int, again: bool) -> None:
        """A lease expires; it is released once."""
        holder = sorted(self.held)[pick % len(self.held)]
        number = self.held.pop(holder).number
        assert self.pool.release(holder, number) and not self.pool.release(holder, number)

    @rule(capacity=st.floats(1.0, 80.0))
    def resize(self, capacity: float) -> None:
        """The capacity changes."""
        self.pool.resize(float(int(capacity)) if self.pool.step else capacity, self.pool.depth)

    @rule()
    def restart(self) -> None:
        """The pool is loaded from its snapshot."""
        self.pool = LeasePool.load(msgspec.msgpack.decode(msgspec.msgpack.encode(self.pool.dump())))

    @invariant()
    def shares_and_units_are_bounded(self) -> None:
        """Shares within the capacity, units never from nothing, depths within the pool's."""
        if not hasattr(self, "pool"):
            return
        held = self.held.values()
        assert sum(lease.share for lease in held) <= self.pool.capacity + 1e-6
        units = self.pool.free_units + sum(lease.level for lease in held)
        if units > self.max_units + 1e-6:
            raise InvariantViolation(
                Rule.PARTS_IN_WHOLE, f"{units:g} units where there were {self.max_units:g}"
            )
        self.max_units = units
        assert self.pool.free_units + sum(lease.depth for lease in held) <= self.pool.depth + 1e-6
