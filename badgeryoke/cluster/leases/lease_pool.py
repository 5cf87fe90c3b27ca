"""A whole divided into parts that are held for a time: a contract's rate over gateways, a server's
connections.

A holder asks with what it keeps of its part from now on (it has shrunk to that *before* it asks), what it
would like, and the number of the lease it holds.  Applied, the lease has a new number and the part that fits.
So the order is always: use less, give back, grant, use more; and at every moment the parts granted sum to at
most the whole, each counted in full until its holder has said that it uses less or its lease is over.

The holder counts the time from *before* it asked, by its own monotonic clock.  Whoever ends a lease counts
from when it saw the grant applied, and longer by what two clocks may differ (`Timings.outlast`).  The asking
lies before the grant, so the lease has ended at its holder when it is ended here, whatever froze or was cut
off.

A whole may have a bucket (`depth` units).  Its depth is divided as the whole is: a holder's bucket is `cap`
deep, the caps and the units that nobody holds (`free`) sum to at most `depth`.  Units move by being given
back (the cap shrinks by at least as many) and granted on; what a lost holder had is gone, and is filled again
at the rate.  So all holders together draw at most whole * t + depth in any time t.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Any

from badgeryoke.cluster.errors import InvalidCall, LeaseExpired
from badgeryoke.cluster.invariants import Invariants, Rule
from badgeryoke.cluster.messages import MemberId

EPSILON = 1e-9
MAX_HOLDERS = 1024
MAX_ACCRUAL_GAP_MS = 250.0
RESUM = 64  # changes between two times that running sums are added up afresh and compared
STANDBY, BUSY = (
    0.1,
    0.3,
)  # of the depth: for all holders evenly, and where traffic is; the rest is for who waits
POOLED = 0.3  # of what is wished, where several have traffic, is in no part: it fills units for who waits
LOOSE = 1.5  # times what those wish that draw units as they need them
MOST_SOFT = 20  # holders that get a part of what no wish needs; each of them asks often


@dataclass(slots=True)
class LeaseShare:
    """One holder's lease."""

    number: int
    share: float
    wanted: float
    depth: float = 0.0  # depth of its bucket
    takes_spare: bool = False
    draws_per_request: bool = False  # it draws units as it needs them, and no part is for its wish
    seen_ms: float = (
        math.inf
    )  # `now` of this machine when it saw it applied; not the same at every copy, never dumped


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """What an asker holds from here on.  It shrinks to `fair` and `fair_cap` before it next asks."""

    number: int
    share: float
    units: float  # units for its bucket, on top of those it has
    slack: float  # not granted to anybody
    holders: int
    depth: float = 0.0
    fair_share: float = 0.0
    fair_depth: float = 0.0
    max_share: float = (
        0.0  # what it may hold on to: its fair part, all that nobody wishes, all that nobody lacks
    )
    others_deficit: float = 0.0  # what others have less than they would, if this one wished nothing


@dataclass(slots=True)
class LeasePool:
    """One whole.  `step`: parts are multiples of it (1 for connections).  `even`: where wishes pass the
    whole, each gets an even part up to its wish (connections); else in proportion to the wishes, which
    loses least where one customer's traffic moves between the holders.  A whole that is made less takes
    nothing away at once: nothing is granted until holders have given back, or ended, as much."""

    target: float  # the whole as it shall be
    depth: float = 0.0  # of the bucket that travels along; 0 for none
    step: float = 0.0
    leases: dict[MemberId, LeaseShare] = field(default_factory=dict)
    last_number: int = 0
    free_units: float = -1.0  # units of the bucket that nobody holds; begins at `depth`
    even_split: bool = True
    accrued_until_ms: float = 0.0  # the group's time up to which it has accrued
    # Running sums over `held`: parts, wishes, depths, soft ones, wishes of those that pull, and changes since
    # they were added up.  They are dumped to the last bit, since every copy has to come to the same ones.
    sums: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.free_units = self.depth if self.free_units < 0 else self.free_units
        self.sums = self.sums or self._added()

    def _added(self) -> list[float]:
        held = self.leases.values()
        return [
            sum(one.share for one in held),
            sum(one.wanted for one in held if not one.draws_per_request),
            sum(one.depth for one in held),
            float(sum(one.takes_spare for one in held)),
            sum(one.wanted for one in held if one.draws_per_request),
            0.0,
        ]

    def _put(self, who: MemberId, one: LeaseShare, sign: float = 1.0) -> None:
        """Take a holder in, or (-1) out, and bring the sums up to that."""
        if sign > 0.0:
            self.leases[who] = one
        else:
            del self.leases[who]
        sums = self.sums
        sums[0] += sign * one.share
        sums[4 if one.draws_per_request else 1] += sign * one.wanted
        sums[2] += sign * one.depth
        sums[3] += sign * one.takes_spare
        sums[5] += 1.0
        if not self.leases:
            self.sums = [0.0] * 6

    def _summed(self, rules: Invariants) -> None:
        """Now and then the sums are added up afresh, so that no error of rounding grows."""
        if self.sums[5] >= RESUM:
            afresh = self._added()
            rules.check(
                Rule.PARTS_IN_WHOLE,
                all(
                    abs(old - new) <= 1e-6 * max(1.0, abs(new))
                    for old, new in zip(self.sums[:5], afresh, strict=False)
                ),
                lambda: f"running sums {self.sums}, afresh {afresh}",
            )
            self.sums = afresh

    def grow(self, who: MemberId, by: float) -> None:
        """More for a holder, of what nobody has."""
        self.leases[who].share += by
        self.sums[0] += by

    @property
    def capacity(self) -> float:
        """What the parts sum to at most now: above `aim` while more is held than a lesser one."""
        return max(self.target, self.granted())

    def granted(self) -> float:
        """The sum of all parts."""
        return max(self.sums[0], 0.0)

    def resize(self, target: float, depth: float) -> None:
        """Another whole, and another depth: of a smaller one, units that nobody holds go first."""
        self.target, self.depth = target, depth
        self.free_units = max(min(self.free_units, depth - self._caps()), 0.0)

    def accrue(self, at_ms: float) -> None:
        """What nobody holds fills the bucket as well, by the group's time; of a gap in that, `MOST_GAP_MS`
        count."""
        gap = min(max(at_ms - self.accrued_until_ms, 0.0), MAX_ACCRUAL_GAP_MS)
        more = max(self.target - self.granted(), 0.0) * gap / 1000.0
        self.free_units = max(min(self.free_units + more, self.depth - self._caps()), 0.0)
        self.accrued_until_ms = max(at_ms, self.accrued_until_ms)

    def request(
        self,
        holder: MemberId,
        number: int,
        kept: float,
        wanted: float,
        returned_units: float,
        rules: Invariants,
        kept_depth: float = 0.0,
        wanted_units: float = 0.0,
        takes_spare: bool = False,
        min_depth: float = 0.0,
        draws_per_request: bool = False,
    ) -> LeaseGrant | InvalidCall | LeaseExpired:
        """Renew, shrink, grow or give back (wish 0, keep 0, not soft).  `number` 0: it holds none.

        `hold`: the depth that it keeps of its bucket; `room`: units that it has taken out of it and gives
        back; `need`: units that it could take; `least`: the depth that its largest request needs.  `soft`: it
        takes what no wish needs as well, until another asks for it.  `pulls`: see `Held`.
        """
        mine = self.leases.get(holder)
        had, cap = (mine.share, mine.depth) if mine is not None else (0.0, 0.0)
        if number != (mine.number if mine is not None else 0):
            return LeaseExpired(holder, f"lease {number} is not the one in force")
        if not (
            0.0 <= kept <= had + EPSILON
            and 0.0 <= wanted < math.inf
            and returned_units >= 0.0
            and 0.0 <= wanted_units < math.inf
            and min_depth >= 0.0
            and kept_depth >= 0.0
            and kept_depth + returned_units <= cap + EPSILON
        ):
            return InvalidCall(
                holder,
                f"keep {kept!r}, wish {wanted!r}, hold {kept_depth!r} or room {returned_units!r} is out of bounds",
            )
        if mine is None and len(self.leases) >= MAX_HOLDERS:
            return InvalidCall(holder, f"{MAX_HOLDERS} hold a part already")
        before, deep = self.granted(), self._caps()
        if mine is not None:
            self._put(holder, mine, -1.0)
        # What it gives back lay in the depth that it gives back, so caps and free units stay within the
        # depth.
        self.free_units = max(
            min(self.free_units + returned_units, self.depth - self._caps() - kept_depth), 0.0
        )
        if wanted <= 0.0 and kept <= 0.0 and kept_depth <= 0.0 and not takes_spare:
            return LeaseGrant(0, 0.0, 0.0, self.target - self.granted(), len(self.leases))
        spare = max(self.target - self.granted(), 0.0)
        fair = self.fair_share(holder, wanted, takes_spare, draws_per_request)
        most = fair if not self.even_split or takes_spare else min(wanted, fair)
        if takes_spare and (
            self.even_split or self.sums[1] + (0.0 if draws_per_request else wanted) <= EPSILON
        ):  # nobody's wish is for it: to lend
            most = max(
                most,
                self.target - self.sums[1] - LOOSE * (self.sums[4] + (wanted if draws_per_request else 0.0)),
            )
        # What it keeps stays its own even above a whole that was made less: it was granted, and is in use.
        part = max(min(most, spare), min(kept, had))
        if self.step:
            part = int(part / self.step + EPSILON) * self.step
        fair_cap = max(self._fair_cap(0.0 if draws_per_request else wanted), min(min_depth, self.depth))
        grow = max(fair_cap - kept_depth, 0.0)
        given = min(
            self.free_units, wanted_units if self.leases or mine is not None else max(wanted_units, fair_cap)
        )  # alone, all is with it
        slack = max(self.depth - self._caps() - kept_depth - self.free_units, 0.0)
        self.free_units -= given
        cap = kept_depth + max(min(grow, slack + given), given)
        self.last_number += 1
        self._put(holder, LeaseShare(self.last_number, part, wanted, cap, takes_spare, draws_per_request))
        self._summed(rules)
        rules.check(
            Rule.PARTS_IN_WHOLE,
            self.granted() <= max(self.target, before) + 1e-6
            and self._caps() + self.free_units <= max(self.depth, deep) + 1e-6,
            lambda: (
                f"{self.granted():g} of {self.target:g}, depth {self._caps():g} and {self.free_units:g} of "
                f"{self.depth:g} granted to {len(self.leases)}"
            ),
        )
        lack = 0.0 if self.even_split else self._lack(holder, wanted, draws_per_request)
        return LeaseGrant(
            self.last_number,
            part,
            given,
            self.target - self.granted(),
            len(self.leases),
            cap,
            fair,
            fair_cap,
            max(most, part - lack),
            lack,
        )

    def _lack(self, who: MemberId, wish: float, pulls: bool) -> float:
        """What others have less than is due to their wishes beside this one, and what should be nobody's
        and is not."""
        others = max(self.sums[1] - (0.0 if pulls else wish), 0.0)
        loose = self._loose(0.0 if pulls else wish, others, self.sums[4])
        lack = max(loose - (self.target - self.granted()), 0.0)
        scale = (self.target - loose) / (others + (0.0 if pulls else wish)) if others > EPSILON else 0.0
        for other, one in self.leases.items():
            if other != who and not one.draws_per_request and (less := one.wanted * scale - one.share) > 0.0:
                lack += less
        return lack

    def _loose(self, wish: float, others: float, pulls: float) -> float:
        """What of the rate is to be nobody's: for those that pull, and what several do not need evenly."""
        return min(self.target, LOOSE * pulls + min(POOLED * min(self.target, wish + others), others))

    def fair_share(
        self, holder: MemberId, wanted: float, takes_spare: bool = False, draws_per_request: bool = False
    ) -> float:
        """What one wish comes to beside those of all other holders; with what no wish needs where it is
        soft."""
        mine = self.leases.get(holder)
        theirs, pulled, others = (
            self.sums[1],
            self.sums[4] + (wanted if draws_per_request else 0.0),
            len(self.leases),
        )
        if mine is not None:
            others -= 1
            theirs, pulled = (
                (theirs, pulled - mine.wanted) if mine.draws_per_request else (theirs - mine.wanted, pulled)
            )
        theirs = max(theirs, 0.0)
        lenders = 1 + int(self.sums[3]) - (mine is not None and mine.takes_spare)
        if not self.even_split:  # what is not needed is held where it may be needed next, and lent there
            own = 0.0 if draws_per_request else wanted
            left = self.target - self._loose(own, theirs, max(pulled, 0.0))
            if own + theirs > EPSILON:
                return left * own / (own + theirs)
            return left / lenders if takes_spare and lenders <= MOST_SOFT else 0.0
        left = self.target - wanted - theirs
        if left >= 0.0:
            return wanted + left / (lenders if takes_spare else 1)
        left, count = self.target, others + 1
        wishes = [wanted, *[one.wanted for one in self.leases.values() if one is not mine]]
        for one in sorted(wishes):  # max-min: the least wishes first
            share = left / count
            if one > share:
                return max(min(wanted, share), 0.0)
            left, count = left - one, count - 1
        return wanted

    def _fair_cap(self, wish: float) -> float:
        """An even part of `STANDBY` of the depth, with one left for a newcomer, and by wishes of `BUSY` of
        it; all of it for one that is alone."""
        if not self.leases:
            return self.depth
        count, total = len(self.leases) + 1, wish + max(self.sums[1], 0.0)
        return self.depth * (STANDBY / (count + 1) + BUSY * (wish / total if total > 0.0 else 0.0))

    def excess(self, who: MemberId) -> float:
        """By how much a holder is above its fair part while others have less than theirs: it should give
        that back."""
        mine = self.leases[who]
        return max(mine.share - self.fair_share(who, mine.wanted, mine.takes_spare), 0.0)

    def release(self, who: MemberId, number: int) -> bool:
        """The time of a lease is over: its part and its depth are free, what was in its bucket is gone."""
        mine = self.leases.get(who)
        if mine is None or mine.number != number:
            return False
        self._put(who, mine, -1.0)
        return True

    def expired(self, now: float, outlast: float, since: float) -> list[tuple[MemberId, int]]:
        """Whose time is over by this machine's clock: seen for so long, and not before this one began to
        look."""
        return [
            (who, one.number) for who, one in self.leases.items() if now - max(one.seen_ms, since) >= outlast
        ]

    def mark_seen(self, now: float) -> None:
        """Note when leases that are new here were seen."""
        for one in self.leases.values():
            if one.seen_ms == math.inf:
                one.seen_ms = now

    def _caps(self) -> float:
        return max(self.sums[2], 0.0)

    def dump(self) -> Any:
        """Plain data."""
        return [
            self.target,
            self.depth,
            self.step,
            self.last_number,
            self.free_units,
            self.even_split,
            self.accrued_until_ms,
            [
                [who, one.number, one.share, one.wanted, one.depth, one.takes_spare, one.draws_per_request]
                for who, one in self.leases.items()
            ],
            self.sums,
        ]

    @classmethod
    def load(cls, raw: Any) -> LeasePool:
        """From `dump`; what is held counts as seen when it is next looked at."""
        aim, depth, step, last, free, even, at_ms, held, sums = raw
        return cls(
            aim,
            depth,
            step,
            {who: LeaseShare(*rest) for who, *rest in held},
            last,
            free,
            even,
            at_ms,
            list(sums),
        )
