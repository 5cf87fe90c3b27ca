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

EDGE = 1e-9
MOST_HOLDERS = 1024
MOST_GAP_MS = 250.0
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
    part: float
    wish: float
    cap: float = 0.0  # depth of its bucket
    soft: bool = False
    pulls: bool = False  # it draws units as it needs them, and no part is for its wish
    seen: float = (
        math.inf
    )  # `now` of this machine when it saw it applied; not the same at every copy, never dumped


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """What an asker holds from here on.  It shrinks to `fair` and `fair_cap` before it next asks."""

    number: int
    part: float
    room: float  # units for its bucket, on top of those it has
    spare: float  # not granted to anybody
    holders: int
    cap: float = 0.0
    fair: float = 0.0
    fair_cap: float = 0.0
    most: float = 0.0  # what it may hold on to: its fair part, all that nobody wishes, all that nobody lacks
    lack: float = 0.0  # what others have less than they would, if this one wished nothing


@dataclass(slots=True)
class LeasePool:
    """One whole.  `step`: parts are multiples of it (1 for connections).  `even`: where wishes pass the
    whole, each gets an even part up to its wish (connections); else in proportion to the wishes, which
    loses least where one customer's traffic moves between the holders.  A whole that is made less takes
    nothing away at once: nothing is granted until holders have given back, or ended, as much."""

    aim: float  # the whole as it shall be
    depth: float = 0.0  # of the bucket that travels along; 0 for none
    step: float = 0.0
    held: dict[MemberId, LeaseShare] = field(default_factory=dict)
    last: int = 0
    free: float = -1.0  # units of the bucket that nobody holds; begins at `depth`
    even: bool = True
    at_ms: float = 0.0  # the group's time up to which it has accrued
    # Running sums over `held`: parts, wishes, depths, soft ones, wishes of those that pull, and changes since
    # they were added up.  They are dumped to the last bit, since every copy has to come to the same ones.
    sums: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.free = self.depth if self.free < 0 else self.free
        self.sums = self.sums or self._added()

    def _added(self) -> list[float]:
        held = self.held.values()
        return [
            sum(one.part for one in held),
            sum(one.wish for one in held if not one.pulls),
            sum(one.cap for one in held),
            float(sum(one.soft for one in held)),
            sum(one.wish for one in held if one.pulls),
            0.0,
        ]

    def _put(self, who: MemberId, one: LeaseShare, sign: float = 1.0) -> None:
        """Take a holder in, or (-1) out, and bring the sums up to that."""
        if sign > 0.0:
            self.held[who] = one
        else:
            del self.held[who]
        sums = self.sums
        sums[0] += sign * one.part
        sums[4 if one.pulls else 1] += sign * one.wish
        sums[2] += sign * one.cap
        sums[3] += sign * one.soft
        sums[5] += 1.0
        if not self.held:
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
        self.held[who].part += by
        self.sums[0] += by

    @property
    def whole(self) -> float:
        """What the parts sum to at most now: above `aim` while more is held than a lesser one."""
        return max(self.aim, self.granted())

    def granted(self) -> float:
        """The sum of all parts."""
        return max(self.sums[0], 0.0)

    def resize(self, whole: float, depth: float) -> None:
        """Another whole, and another depth: of a smaller one, units that nobody holds go first."""
        self.aim, self.depth = whole, depth
        self.free = max(min(self.free, depth - self._caps()), 0.0)

    def accrue(self, at_ms: float) -> None:
        """What nobody holds fills the bucket as well, by the group's time; of a gap in that, `MOST_GAP_MS`
        count."""
        gap = min(max(at_ms - self.at_ms, 0.0), MOST_GAP_MS)
        more = max(self.aim - self.granted(), 0.0) * gap / 1000.0
        self.free = max(min(self.free + more, self.depth - self._caps()), 0.0)
        self.at_ms = max(at_ms, self.at_ms)

    def ask(
        self,
        who: MemberId,
        number: int,
        keep: float,
        wish: float,
        room: float,
        rules: Invariants,
        hold: float = 0.0,
        need: float = 0.0,
        soft: bool = False,
        least: float = 0.0,
        pulls: bool = False,
    ) -> LeaseGrant | InvalidCall | LeaseExpired:
        """Renew, shrink, grow or give back (wish 0, keep 0, not soft).  `number` 0: it holds none.

        `hold`: the depth that it keeps of its bucket; `room`: units that it has taken out of it and gives
        back; `need`: units that it could take; `least`: the depth that its largest request needs.  `soft`: it
        takes what no wish needs as well, until another asks for it.  `pulls`: see `Held`.
        """
        mine = self.held.get(who)
        had, cap = (mine.part, mine.cap) if mine is not None else (0.0, 0.0)
        if number != (mine.number if mine is not None else 0):
            return LeaseExpired(who, f"lease {number} is not the one in force")
        if not (
            0.0 <= keep <= had + EDGE
            and 0.0 <= wish < math.inf
            and room >= 0.0
            and 0.0 <= need < math.inf
            and least >= 0.0
            and hold >= 0.0
            and hold + room <= cap + EDGE
        ):
            return InvalidCall(
                who, f"keep {keep!r}, wish {wish!r}, hold {hold!r} or room {room!r} is out of bounds"
            )
        if mine is None and len(self.held) >= MOST_HOLDERS:
            return InvalidCall(who, f"{MOST_HOLDERS} hold a part already")
        before, deep = self.granted(), self._caps()
        if mine is not None:
            self._put(who, mine, -1.0)
        # What it gives back lay in the depth that it gives back, so caps and free units stay within the
        # depth.
        self.free = max(min(self.free + room, self.depth - self._caps() - hold), 0.0)
        if wish <= 0.0 and keep <= 0.0 and hold <= 0.0 and not soft:
            return LeaseGrant(0, 0.0, 0.0, self.aim - self.granted(), len(self.held))
        spare = max(self.aim - self.granted(), 0.0)
        fair = self.fair(who, wish, soft, pulls)
        most = fair if not self.even or soft else min(wish, fair)
        if soft and (
            self.even or self.sums[1] + (0.0 if pulls else wish) <= EDGE
        ):  # nobody's wish is for it: to lend
            most = max(most, self.aim - self.sums[1] - LOOSE * (self.sums[4] + (wish if pulls else 0.0)))
        # What it keeps stays its own even above a whole that was made less: it was granted, and is in use.
        part = max(min(most, spare), min(keep, had))
        if self.step:
            part = int(part / self.step + EDGE) * self.step
        fair_cap = max(self._fair_cap(0.0 if pulls else wish), min(least, self.depth))
        grow = max(fair_cap - hold, 0.0)
        given = min(
            self.free, need if self.held or mine is not None else max(need, fair_cap)
        )  # alone, all is with it
        slack = max(self.depth - self._caps() - hold - self.free, 0.0)
        self.free -= given
        cap = hold + max(min(grow, slack + given), given)
        self.last += 1
        self._put(who, LeaseShare(self.last, part, wish, cap, soft, pulls))
        self._summed(rules)
        rules.check(
            Rule.PARTS_IN_WHOLE,
            self.granted() <= max(self.aim, before) + 1e-6
            and self._caps() + self.free <= max(self.depth, deep) + 1e-6,
            lambda: (
                f"{self.granted():g} of {self.aim:g}, depth {self._caps():g} and {self.free:g} of "
                f"{self.depth:g} granted to {len(self.held)}"
            ),
        )
        lack = 0.0 if self.even else self._lack(who, wish, pulls)
        return LeaseGrant(
            self.last,
            part,
            given,
            self.aim - self.granted(),
            len(self.held),
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
        lack = max(loose - (self.aim - self.granted()), 0.0)
        scale = (self.aim - loose) / (others + (0.0 if pulls else wish)) if others > EDGE else 0.0
        for other, one in self.held.items():
            if other != who and not one.pulls and (less := one.wish * scale - one.part) > 0.0:
                lack += less
        return lack

    def _loose(self, wish: float, others: float, pulls: float) -> float:
        """What of the rate is to be nobody's: for those that pull, and what several do not need evenly."""
        return min(self.aim, LOOSE * pulls + min(POOLED * min(self.aim, wish + others), others))

    def fair(self, who: MemberId, wish: float, soft: bool = False, pulls: bool = False) -> float:
        """What one wish comes to beside those of all other holders; with what no wish needs where it is
        soft."""
        mine = self.held.get(who)
        theirs, pulled, others = self.sums[1], self.sums[4] + (wish if pulls else 0.0), len(self.held)
        if mine is not None:
            others -= 1
            theirs, pulled = (theirs, pulled - mine.wish) if mine.pulls else (theirs - mine.wish, pulled)
        theirs = max(theirs, 0.0)
        lenders = 1 + int(self.sums[3]) - (mine is not None and mine.soft)
        if not self.even:  # what is not needed is held where it may be needed next, and lent there
            own = 0.0 if pulls else wish
            left = self.aim - self._loose(own, theirs, max(pulled, 0.0))
            if own + theirs > EDGE:
                return left * own / (own + theirs)
            return left / lenders if soft and lenders <= MOST_SOFT else 0.0
        left = self.aim - wish - theirs
        if left >= 0.0:
            return wish + left / (lenders if soft else 1)
        left, count = self.aim, others + 1
        wishes = [wish, *[one.wish for one in self.held.values() if one is not mine]]
        for one in sorted(wishes):  # max-min: the least wishes first
            share = left / count
            if one > share:
                return max(min(wish, share), 0.0)
            left, count = left - one, count - 1
        return wish

    def _fair_cap(self, wish: float) -> float:
        """An even part of `STANDBY` of the depth, with one left for a newcomer, and by wishes of `BUSY` of
        it; all of it for one that is alone."""
        if not self.held:
            return self.depth
        count, total = len(self.held) + 1, wish + max(self.sums[1], 0.0)
        return self.depth * (STANDBY / (count + 1) + BUSY * (wish / total if total > 0.0 else 0.0))

    def excess(self, who: MemberId) -> float:
        """By how much a holder is above its fair part while others have less than theirs: it should give
        that back."""
        mine = self.held[who]
        return max(mine.part - self.fair(who, mine.wish, mine.soft), 0.0)

    def end(self, who: MemberId, number: int) -> bool:
        """The time of a lease is over: its part and its depth are free, what was in its bucket is gone."""
        mine = self.held.get(who)
        if mine is None or mine.number != number:
            return False
        self._put(who, mine, -1.0)
        return True

    def over(self, now: float, outlast: float, since: float) -> list[tuple[MemberId, int]]:
        """Whose time is over by this machine's clock: seen for so long, and not before this one began to
        look."""
        return [(who, one.number) for who, one in self.held.items() if now - max(one.seen, since) >= outlast]

    def seen(self, now: float) -> None:
        """Note when leases that are new here were seen."""
        for one in self.held.values():
            if one.seen == math.inf:
                one.seen = now

    def _caps(self) -> float:
        return max(self.sums[2], 0.0)

    def dump(self) -> Any:
        """Plain data."""
        return [
            self.aim,
            self.depth,
            self.step,
            self.last,
            self.free,
            self.even,
            self.at_ms,
            [
                [who, one.number, one.part, one.wish, one.cap, one.soft, one.pulls]
                for who, one in self.held.items()
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
