"""A capacity that is divided into leased shares: a contract's rate over gateways, a server's connections.

A request states the part of its share that the holder keeps (the holder reduces its use to that *before* it
sends the request), the share that it wants, and the number of its current lease.  When the request is applied,
the lease gets a new number and the share that fits.  The order is therefore always: use less, return, be
granted, use more.  At every moment the granted shares sum to at most the capacity; each share counts in full
until its holder has reported that it uses less, or the lease has expired.

The holder measures the lease time from *before* its request, by its own monotonic clock.  The leader that
releases a lease measures from when it applied the grant, and waits longer by the possible difference between
two clocks (`Timings.lease_expiry_ms`).  Since the request precedes the grant, the lease has already expired at its
holder when the leader releases it, even if a process froze or the network was partitioned.

A capacity may have a token bucket of `depth` units.  The depth is divided as well: the depths of the holders'
buckets and the units in no bucket (`free_units`) sum to at most `depth`.  Units move between holders only by
being returned (the holder's depth shrinks by at least as many) and granted again.  The units of a lost holder
are discarded, and the bucket refills at the rate.  All holders together therefore draw at most
capacity * t + depth units in any time t.

Source: leases as in Gray and Cheriton, SOSP 1989.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from badgeryoke.cluster.errors import InvalidCall, LeaseExpired
from badgeryoke.cluster.invariants import Invariants, Rule
from badgeryoke.cluster.leases import fair_shares
from badgeryoke.cluster.leases.lease import EPSILON, LeaseGrant, LeaseRequest, LeaseShare, LeaseSums
from badgeryoke.cluster.messages import MemberId

MAX_HOLDERS = 1024
MAX_ACCRUAL_GAP_MS = 250.0  # a longer gap in the group's time fills the bucket for this long only
RECOMPUTE_AFTER_CHANGES = 64  # changes after which the running sums are recomputed and compared
ROUNDING_TOLERANCE = 1e-6  # tolerance in comparisons of sums over holders
# With more holders that take spare capacity, an unwanted rate is granted to none of them, since each renews often.
MAX_SPARE_TAKERS = 20


class NewShare(NamedTuple):
    """The shares that result from a request: the fair share, the maximum the holder may keep, and the grant."""

    fair_share: float
    max_share: float
    share: float


class NewBucket(NamedTuple):
    """The bucket that results from a request: the fair depth, the depth, and the units granted."""

    fair_depth: float
    depth: float
    units: float


@dataclass(slots=True)
class LeasePool:
    """One capacity and its leases.

    `step`: shares are multiples of it (1 for connections).  `even_split`: where more is wanted than there
    is, shares are max-min fair (connections); otherwise in proportion to the wanted rate (rates).
    Lowering the target revokes no lease: nothing is granted until enough has been returned or has expired.
    """

    target: float  # the configured capacity
    depth: float = 0.0  # depth of the token bucket, units; 0: no bucket
    step: float = 0.0
    leases: dict[MemberId, LeaseShare] = field(default_factory=dict)
    last_number: int = 0
    free_units: float = -1.0  # units in no holder's bucket; initially all of `depth` if negative
    even_split: bool = True
    accrued_until_ms: float = 0.0  # the group's time up to which `free_units` is refilled
    sums: LeaseSums = field(init=False)

    def __post_init__(self) -> None:
        self.free_units = self.depth if self.free_units < 0 else self.free_units
        self.sums = LeaseSums.of(self.leases.values())

    # Amounts
    # ------------------------------------------------------------------------------------

    @property
    def capacity(self) -> float:
        """The current upper bound of the sum of shares; above `target` while more than that is granted."""
        return max(self.target, self.granted())

    @property
    def slack(self) -> float:
        """Capacity that is granted to nobody; below 0 while more than the target is granted."""
        return self.target - self.granted()

    def granted(self) -> float:
        """The sum of all shares."""
        return max(self.sums.shares, 0.0)

    def _granted_depth(self) -> float:
        return max(self.sums.depths, 0.0)

    def resize(self, target: float, depth: float) -> None:
        """Set the target and depth; if the bucket shrinks, free units are discarded first."""
        self.target, self.depth = target, depth
        self._bound_free_units(self.free_units)

    def accrue(self, at_ms: float) -> None:
        """Fill the free units at the rate that is granted to nobody, up to `at_ms` of the group's time."""
        gap_ms = min(max(at_ms - self.accrued_until_ms, 0.0), MAX_ACCRUAL_GAP_MS)
        self._bound_free_units(self.free_units + max(self.slack, 0.0) * gap_ms / 1000.0)
        self.accrued_until_ms = max(at_ms, self.accrued_until_ms)

    def _bound_free_units(self, free_units: float, reserved_depth: float = 0.0) -> None:
        """Limit the free units so that, with the depths that holders have or keep, they fit the depth."""
        free_depth = self.depth - self._granted_depth() - reserved_depth
        self.free_units = max(min(free_units, free_depth), 0.0)

    def grow(self, holder: MemberId, amount: float) -> None:
        """Add to a holder's share, from the slack."""
        self.leases[holder].share += amount
        self.sums.shares += amount

    # Requests
    # ------------------------------------------------------------------------------------

    def request(
        self, request: LeaseRequest, invariants: Invariants
    ) -> LeaseGrant | InvalidCall | LeaseExpired:
        """Apply a request (see `LeaseRequest`).  Returns LeaseExpired if the lease that it names is not in
        force, and InvalidCall if its amounts are out of bounds or there are too many holders."""
        lease = self.leases.get(request.holder)
        if (error := self._check_request(request, lease)) is not None:
            return error
        granted_before, depth_before = self.granted(), self._granted_depth()
        share_before = lease.share if lease is not None else 0.0
        if lease is not None:
            self._remove(request.holder)
        # The returned units were within the returned depth, so the sum of depths and free units does not
        # grow.
        self._bound_free_units(self.free_units + request.returned_units, request.kept_depth)
        if request.returns_all:
            return LeaseGrant(0, 0.0, 0.0, self.slack, len(self.leases))
        new_share = self._new_share(request, share_before)
        new_bucket = self._new_bucket(request, is_new=lease is None)
        self._add_lease(request, new_share.share, new_bucket.depth)
        self._recompute_sums(invariants)
        self._check_bounds(invariants, granted_before, depth_before)
        return self._grant(request, new_share, new_bucket)

    def _add_lease(self, request: LeaseRequest, share: float, depth: float) -> None:
        self.last_number += 1
        lease = LeaseShare(
            self.last_number,
            share,
            request.wanted,
            depth,
            request.takes_spare,
            request.draws_per_request,
        )
        self.leases[request.holder] = lease
        self.sums.add(lease)

    def _grant(self, request: LeaseRequest, new_share: NewShare, new_bucket: NewBucket) -> LeaseGrant:
        deficit = 0.0 if self.even_split else self._others_deficit(request)
        return LeaseGrant(
            number=self.last_number,
            share=new_share.share,
            units=new_bucket.units,
            slack=self.slack,
            holders=len(self.leases),
            depth=new_bucket.depth,
            fair_share=new_share.fair_share,
            fair_depth=new_bucket.fair_depth,
            max_share=max(new_share.max_share, new_share.share - deficit),
            others_deficit=deficit,
        )

    def _check_request(
        self, request: LeaseRequest, lease: LeaseShare | None
    ) -> InvalidCall | LeaseExpired | None:
        share, depth = (lease.share, lease.depth) if lease is not None else (0.0, 0.0)
        if request.lease_number != (lease.number if lease is not None else 0):
            return LeaseExpired(request.holder, f"lease {request.lease_number} is not the one in force")
        if not request.is_within(share, depth):
            return InvalidCall(
                request.holder,
                f"keep {request.kept_share!r}, wish {request.wanted!r}, hold {request.kept_depth!r} "
                f"or room {request.returned_units!r} is out of bounds",
            )
        if lease is None and len(self.leases) >= MAX_HOLDERS:
            return InvalidCall(request.holder, f"{MAX_HOLDERS} hold a part already")
        return None

    def _new_share(self, request: LeaseRequest, share_before: float) -> NewShare:
        """The share for a request; the holder's old lease is already removed."""
        fair_share = self.fair_share(
            request.holder, request.wanted, request.takes_spare, request.draws_per_request
        )
        takes_spare = request.takes_spare
        max_share = fair_share if not self.even_split or takes_spare else min(request.wanted, fair_share)
        nothing_wanted = self.sums.wanted_shares + request.wanted_share <= EPSILON
        # The holder lends the spare share to other customers.
        if takes_spare and (self.even_split or nothing_wanted):
            draws = fair_shares.DRAW_MULTIPLE * (self.sums.wanted_draws + request.wanted_draws)
            max_share = max(max_share, self.target - self.sums.wanted_shares - draws)
        # The kept share stays granted even above a lowered target, because it is in use.
        share = max(min(max_share, max(self.slack, 0.0)), min(request.kept_share, share_before))
        if self.step:
            share = int(share / self.step + EPSILON) * self.step
        return NewShare(fair_share, max_share, share)

    def _new_bucket(self, request: LeaseRequest, is_new: bool) -> NewBucket:
        """The bucket for a request; the holder's old lease is already removed.  Takes the granted units from
        the free ones."""
        holders, wanted_shares = len(self.leases), max(self.sums.wanted_shares, 0.0)
        fair_depth = fair_shares.fair_depth(self.depth, holders, request.wanted_share, wanted_shares)
        fair_depth = max(fair_depth, min(request.min_depth, self.depth))
        increase = max(fair_depth - request.kept_depth, 0.0)
        is_sole_holder = is_new and not self.leases  # a sole holder may take all free units
        wanted_units = max(request.wanted_units, fair_depth) if is_sole_holder else request.wanted_units
        units = min(self.free_units, wanted_units)
        free_depth = max(self.depth - self._granted_depth() - request.kept_depth - self.free_units, 0.0)
        self.free_units -= units
        depth = request.kept_depth + max(min(increase, free_depth + units), units)
        return NewBucket(fair_depth, depth, units)

    def _check_bounds(self, invariants: Invariants, granted_before: float, depth_before: float) -> None:
        granted, granted_depth = self.granted(), self._granted_depth()
        invariants.check(
            Rule.PARTS_IN_WHOLE,
            granted <= max(self.target, granted_before) + ROUNDING_TOLERANCE
            and granted_depth + self.free_units <= max(self.depth, depth_before) + ROUNDING_TOLERANCE,
            lambda: (
                f"{granted:g} of {self.target:g}, depth {granted_depth:g} and {self.free_units:g} of "
                f"{self.depth:g} granted to {len(self.leases)}"
            ),
        )

    # Fair shares
    # ------------------------------------------------------------------------------------

    def fair_share(
        self, holder: MemberId, wanted: float, takes_spare: bool = False, draws_per_request: bool = False
    ) -> float:
        """A holder's fair share, given what all others want; includes spare capacity if it takes that."""
        lease = self.leases.get(holder)
        others, others_wanted = len(self.leases), self.sums.wanted_shares
        draws_wanted = self.sums.wanted_draws + (wanted if draws_per_request else 0.0)
        if lease is not None:
            others -= 1
            if lease.draws_per_request:
                draws_wanted -= lease.wanted
            else:
                others_wanted -= lease.wanted
        others_wanted = max(others_wanted, 0.0)
        spare_takers = 1 + int(self.sums.spare_takers) - (lease is not None and lease.takes_spare)
        if not self.even_split:
            wanted_share = 0.0 if draws_per_request else wanted
            ungranted = fair_shares.ungranted_rate(
                self.target, wanted_share, others_wanted, max(draws_wanted, 0.0)
            )
            remaining = self.target - ungranted
            if wanted_share + others_wanted > EPSILON:
                return remaining * wanted_share / (wanted_share + others_wanted)
            # A rate that nobody wants is granted to holders that may need it next, which lend it until then.
            return remaining / spare_takers if takes_spare and spare_takers <= MAX_SPARE_TAKERS else 0.0
        remaining = self.target - wanted - others_wanted
        if remaining >= 0.0:
            return wanted + remaining / (spare_takers if takes_spare else 1)
        wanted_by_others = [other.wanted for other in self.leases.values() if other is not lease]
        return fair_shares.max_min_share(self.target, wanted, wanted_by_others)

    def _others_deficit(self, request: LeaseRequest) -> float:
        """How much the other holders are below their fair shares, plus the amount by which the slack is below
        the rate that should be granted to nobody."""
        wanted_share = request.wanted_share
        others_wanted = max(self.sums.wanted_shares - wanted_share, 0.0)
        ungranted = fair_shares.ungranted_rate(
            self.target, wanted_share, others_wanted, self.sums.wanted_draws
        )
        deficit = max(ungranted - self.slack, 0.0)
        scale = 0.0
        if others_wanted > EPSILON:
            scale = (self.target - ungranted) / (others_wanted + wanted_share)
        for holder, lease in self.leases.items():
            if holder != request.holder and not lease.draws_per_request:
                deficit += max(lease.wanted * scale - lease.share, 0.0)
        return deficit

    def excess(self, holder: MemberId) -> float:
        """The amount by which a holder's share exceeds its fair share, which the holder should return."""
        lease = self.leases[holder]
        return max(lease.share - self.fair_share(holder, lease.wanted, lease.takes_spare), 0.0)

    # Expiry
    # ------------------------------------------------------------------------------------

    def release(self, holder: MemberId, number: int) -> bool:
        """Release an expired lease: its share and depth become free, and the units in its bucket are lost.
        Returns False if that lease is not in force."""
        lease = self.leases.get(holder)
        if lease is None or lease.number != number:
            return False
        self._remove(holder)
        return True

    def expired(self, now: float, expiry_ms: float, leader_since_ms: float) -> list[tuple[MemberId, int]]:
        """Holders and numbers of leases that have expired by this machine's clock (monotonic ms): `expiry_ms`
        have passed both since the grant was seen here and since the leader's term began (`leader_since_ms`)."""
        return [
            (holder, lease.number)
            for holder, lease in self.leases.items()
            if now - max(lease.seen_ms, leader_since_ms) >= expiry_ms
        ]

    def mark_seen(self, now: float) -> None:
        """Record when leases were first seen here (monotonic ms)."""
        for lease in self.leases.values():
            if lease.seen_ms == math.inf:
                lease.seen_ms = now

    # Leases and their sums
    # ------------------------------------------------------------------------------------

    def _remove(self, holder: MemberId) -> None:
        self.sums.add(self.leases.pop(holder), -1.0)
        if not self.leases:
            self.sums = LeaseSums()

    def _recompute_sums(self, invariants: Invariants) -> None:
        """Recompute the sums after `RECOMPUTE_AFTER_CHANGES` changes, so that rounding errors do not add up."""
        if self.sums.changes < RECOMPUTE_AFTER_CHANGES:
            return
        running_sums, recomputed_sums = self.sums, LeaseSums.of(self.leases.values())
        invariants.check(
            Rule.PARTS_IN_WHOLE,
            running_sums.agrees_with(recomputed_sums, ROUNDING_TOLERANCE),
            lambda: f"running sums {running_sums.dump()}, recomputed {recomputed_sums.dump()}",
        )
        self.sums = recomputed_sums

    # Snapshots
    # ------------------------------------------------------------------------------------

    def dump(self) -> list[Any]:
        """The pool as plain data, for a snapshot."""
        return [
            self.target,
            self.depth,
            self.step,
            self.last_number,
            self.free_units,
            self.even_split,
            self.accrued_until_ms,
            [
                [
                    holder,
                    lease.number,
                    lease.share,
                    lease.wanted,
                    lease.depth,
                    lease.takes_spare,
                    lease.draws_per_request,
                ]
                for holder, lease in self.leases.items()
            ],
            self.sums.dump(),
        ]

    @classmethod
    def load(cls, record: list[Any]) -> LeasePool:
        """Load the result of `dump`; leases count as seen at the next `mark_seen`."""
        target, depth, step, last_number, free_units, even_split, accrued_until_ms, leases, sums = record
        pool = cls(
            target,
            depth,
            step,
            {holder: LeaseShare(*lease) for holder, *lease in leases},
            last_number,
            free_units,
            even_split,
            accrued_until_ms,
        )
        pool.sums = LeaseSums(*sums)
        return pool
