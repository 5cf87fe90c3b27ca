"""A capacity that is divided into leased shares: a contract's rate over gateways, a server's connections.

A holder requests with what it keeps of its share from now on (it has shrunk to that *before* it requests),
what it would like, and the number of the lease it holds.  Applied, the lease has a new number and the share
that fits.  So the order is always: use less, give back, be granted, use more; and at every moment the shares
granted sum to at most the capacity, each counted in full until its holder has said that it uses less or its
lease has expired.

The holder counts the time from *before* its request, by its own monotonic clock.  Whoever releases a lease
counts from when it saw the grant applied, and longer by what two clocks may differ (`Timings.lease_expiry_ms`).  The
request precedes the grant, so the lease has expired at its holder when it is released here, whatever froze
or was cut off.

A capacity may have a token bucket (`depth` units).  Its depth is divided as well: the depths of the holders'
buckets and the units that nobody holds (`free_units`) sum to at most `depth`.  Units move by being given back
(a holder's depth shrinks by at least as many) and granted on; what a lost holder had is gone, and is filled
again at the rate.  So all holders together draw at most capacity * t + depth in any time t.

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
MAX_ACCRUAL_GAP_MS = 250.0  # of a longer gap in the group's time so much fills the bucket
RESUM_CHANGES = 64  # after which the running sums are added up afresh and compared
ROUNDING_TOLERANCE = 1e-6  # of sums over holders
MAX_SPARE_TAKERS = 20  # that get a share of a rate nobody wants; each of them requests often


class NewShare(NamedTuple):
    """What a request comes to: its fair share, the most that its holder may hold on to, and its share."""

    fair_share: float
    max_share: float
    share: float


class NewBucket(NamedTuple):
    """What a request comes to: its fair depth, its depth, and the units granted for its bucket."""

    fair_depth: float
    depth: float
    units: float


@dataclass(slots=True)
class LeasePool:
    """One capacity and its leases.

    `step`: shares are multiples of it (1 for connections).  `even_split`: where more is wanted than there
    is, shares are max-min fair (connections); else in proportion to what is wanted (rates).  A lower target
    takes nothing away at once: nothing is granted until as much was given back or has expired.
    """

    target: float  # the capacity as it shall be
    depth: float = 0.0  # of the bucket that goes with it, units; 0: none
    step: float = 0.0
    leases: dict[MemberId, LeaseShare] = field(default_factory=dict)
    last_number: int = 0
    free_units: float = -1.0  # of the bucket, held by nobody; below 0: all of `depth`
    even_split: bool = True
    accrued_until_ms: float = 0.0  # of the group's time
    sums: LeaseSums = field(init=False)

    def __post_init__(self) -> None:
        self.free_units = self.depth if self.free_units < 0 else self.free_units
        self.sums = LeaseSums.of(self.leases.values())

    # Amounts
    # ------------------------------------------------------------------------------------

    @property
    def capacity(self) -> float:
        """What the shares sum to at most now: above `target` while more than that is granted."""
        return max(self.target, self.granted())

    @property
    def slack(self) -> float:
        """What is granted to nobody; below 0 while more than the target is granted."""
        return self.target - self.granted()

    def granted(self) -> float:
        """The sum of all shares."""
        return max(self.sums.shares, 0.0)

    def _granted_depth(self) -> float:
        return max(self.sums.depths, 0.0)

    def resize(self, target: float, depth: float) -> None:
        """Set another target and depth; of a smaller bucket, units that nobody holds go first."""
        self.target, self.depth = target, depth
        self._bound_free_units(self.free_units)

    def accrue(self, at_ms: float) -> None:
        """What is granted to nobody fills the bucket as well, by the group's time."""
        gap_ms = min(max(at_ms - self.accrued_until_ms, 0.0), MAX_ACCRUAL_GAP_MS)
        self._bound_free_units(self.free_units + max(self.slack, 0.0) * gap_ms / 1000.0)
        self.accrued_until_ms = max(at_ms, self.accrued_until_ms)

    def _bound_free_units(self, free_units: float, reserved_depth: float = 0.0) -> None:
        """Free units and all depths that holders have, or keep, are within the depth."""
        free_depth = self.depth - self._granted_depth() - reserved_depth
        self.free_units = max(min(free_units, free_depth), 0.0)

    def grow(self, holder: MemberId, amount: float) -> None:
        """Add to a holder's share, of what is granted to nobody."""
        self.leases[holder].share += amount
        self.sums.shares += amount

    # Requests
    # ------------------------------------------------------------------------------------

    def request(self, request: LeaseRequest, rules: Invariants) -> LeaseGrant | InvalidCall | LeaseExpired:
        """Apply a request; see `LeaseRequest`.  LeaseExpired: the lease it names is not in force;
        InvalidCall: its figures are out of bounds, or there are too many holders."""
        lease = self.leases.get(request.holder)
        if (error := self._check_request(request, lease)) is not None:
            return error
        granted_before, depth_before = self.granted(), self._granted_depth()
        share_before = lease.share if lease is not None else 0.0
        if lease is not None:
            self._remove(request.holder)
        # The units it gives back lay in the depth that it gives back, so depths and free units stay within
        # the depth.
        self._bound_free_units(self.free_units + request.returned_units, request.kept_depth)
        if request.returns_all:
            return LeaseGrant(0, 0.0, 0.0, self.slack, len(self.leases))
        new_share = self._new_share(request, share_before)
        new_bucket = self._new_bucket(request, is_new=lease is None)
        self._add_lease(request, new_share.share, new_bucket.depth)
        self._sum_afresh(rules)
        self._check_bounds(rules, granted_before, depth_before)
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
                f"keep {request.kept!r}, wish {request.wanted!r}, hold {request.kept_depth!r} "
                f"or room {request.returned_units!r} is out of bounds",
            )
        if lease is None and len(self.leases) >= MAX_HOLDERS:
            return InvalidCall(request.holder, f"{MAX_HOLDERS} hold a part already")
        return None

    def _new_share(self, request: LeaseRequest, share_before: float) -> NewShare:
        """The holder's old lease was removed."""
        fair_share = self.fair_share(
            request.holder, request.wanted, request.takes_spare, request.draws_per_request
        )
        takes_spare = request.takes_spare
        max_share = fair_share if not self.even_split or takes_spare else min(request.wanted, fair_share)
        nobody_wants = self.sums.wanted_shares + request.wanted_share <= EPSILON
        if takes_spare and (self.even_split or nobody_wants):  # to lend it
            draws = fair_shares.DRAW_MULTIPLE * (self.sums.wanted_draws + request.wanted_draws)
            max_share = max(max_share, self.target - self.sums.wanted_shares - draws)
        # What it keeps stays its own even above a lower target: it was granted, and is in use.
        share = max(min(max_share, max(self.slack, 0.0)), min(request.kept, share_before))
        if self.step:
            share = int(share / self.step + EPSILON) * self.step
        return NewShare(fair_share, max_share, share)

    def _new_bucket(self, request: LeaseRequest, is_new: bool) -> NewBucket:
        """The holder's old lease was removed; the units are not free any more."""
        holders, wanted_shares = len(self.leases), max(self.sums.wanted_shares, 0.0)
        fair_depth = fair_shares.fair_depth(self.depth, holders, request.wanted_share, wanted_shares)
        fair_depth = max(fair_depth, min(request.min_depth, self.depth))
        increase = max(fair_depth - request.kept_depth, 0.0)
        alone = is_new and not self.leases  # all units are with it
        wanted_units = max(request.wanted_units, fair_depth) if alone else request.wanted_units
        units = min(self.free_units, wanted_units)
        free_depth = max(self.depth - self._granted_depth() - request.kept_depth - self.free_units, 0.0)
        self.free_units -= units
        depth = request.kept_depth + max(min(increase, free_depth + units), units)
        return NewBucket(fair_depth, depth, units)

    def _check_bounds(self, rules: Invariants, granted_before: float, depth_before: float) -> None:
        granted, granted_depth = self.granted(), self._granted_depth()
        rules.check(
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
        """What a holder is due beside what all others want; with what nobody wants where it takes that."""
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
            left = self.target - ungranted
            if wanted_share + others_wanted > EPSILON:
                return left * wanted_share / (wanted_share + others_wanted)
            # What nobody wants is held where it may be needed next, and lent there.
            return left / spare_takers if takes_spare and spare_takers <= MAX_SPARE_TAKERS else 0.0
        left = self.target - wanted - others_wanted
        if left >= 0.0:
            return wanted + left / (spare_takers if takes_spare else 1)
        wanted_by_others = [one.wanted for one in self.leases.values() if one is not lease]
        return fair_shares.max_min_share(self.target, wanted, wanted_by_others)

    def _others_deficit(self, request: LeaseRequest) -> float:
        """What others have less than is due to them beside this holder, and what should be granted to
        nobody and is."""
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
        """By how much a holder is above its fair share; it should give that back."""
        lease = self.leases[holder]
        return max(lease.share - self.fair_share(holder, lease.wanted, lease.takes_spare), 0.0)

    # Expiry
    # ------------------------------------------------------------------------------------

    def release(self, holder: MemberId, number: int) -> bool:
        """End an expired lease: its share and its depth are free, and the units in its bucket are gone.
        False where that lease is not in force."""
        lease = self.leases.get(holder)
        if lease is None or lease.number != number:
            return False
        self._remove(holder)
        return True

    def expired(self, now: float, outlast_ms: float, since: float) -> list[tuple[MemberId, int]]:
        """Holders and numbers of leases that have expired by this machine's clock (monotonic ms): seen for
        `outlast_ms`, and for as long since it began to look."""
        return [
            (holder, lease.number)
            for holder, lease in self.leases.items()
            if now - max(lease.seen_ms, since) >= outlast_ms
        ]

    def mark_seen(self, now: float) -> None:
        """Note when leases that are new here were seen (monotonic ms)."""
        for lease in self.leases.values():
            if lease.seen_ms == math.inf:
                lease.seen_ms = now

    # Leases and their sums
    # ------------------------------------------------------------------------------------

    def _remove(self, holder: MemberId) -> None:
        self.sums.add(self.leases.pop(holder), -1.0)
        if not self.leases:
            self.sums = LeaseSums()

    def _sum_afresh(self, rules: Invariants) -> None:
        """Now and then the sums are added up afresh, so that no error of rounding grows."""
        if self.sums.changes < RESUM_CHANGES:
            return
        running, afresh = self.sums, LeaseSums.of(self.leases.values())
        rules.check(
            Rule.PARTS_IN_WHOLE,
            running.agrees_with(afresh, ROUNDING_TOLERANCE),
            lambda: f"running sums {running.dump()}, afresh {afresh.dump()}",
        )
        self.sums = afresh

    # Snapshots
    # ------------------------------------------------------------------------------------

    def dump(self) -> list[Any]:
        """Plain data, as it is stored in a snapshot."""
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
        """The reverse of `dump`; leases count as seen when they are next looked at."""
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
