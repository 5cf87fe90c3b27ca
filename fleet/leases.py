"""A whole divided into parts that are held for a time: a contract's rate over gateways, a server's connections.

A holder asks with three figures: what it keeps of its part from now on (it has shrunk to that *before* it asks), what
it would like, and the number of the lease it holds.  Applied, the lease has a new number and the part that fits.  So the
order is always: use less, give back, grant, use more; and at every moment the parts granted sum to at most the whole,
each counted in full until its holder has said that it uses less or its lease is over.

The holder counts the time from *before* it asked, by its own monotonic clock.  Whoever ends a lease counts from when it
saw the grant applied, and longer by what two clocks may differ (`Timings.outlast`).  The asking lies before the grant,
so the lease has ended at its holder when it is ended here, whatever froze or was cut off.

`room` travels with a part (units left in a bucket): what a holder says is left when it gives a part back can be granted
on; what a lost holder had is gone.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from fleet.errors import BadCall, LeaseOver
from fleet.invariants import Invariants, Rule
from fleet.messages import Id

EDGE = 1e-9
MOST_HOLDERS = 1024


@dataclass(slots=True)
class Held:
    """One holder's lease."""

    number: int
    part: float
    wish: float
    room: float = 0.0  # units in its bucket when granted
    seen: float = 0.0  # `now` of this machine when it saw it applied; not the same at every copy, never dumped


@dataclass(frozen=True, slots=True)
class Grant:
    """What an asker holds from here on."""

    number: int
    part: float
    room: float
    spare: float  # not granted to anybody
    holders: int


@dataclass(slots=True)
class Divided:
    """One whole.  `least`: parts below are granted as none; `step`: parts are multiples of it (1 for connections)."""

    whole: float
    depth: float = 0.0  # of the bucket that travels along; 0 for none
    step: float = 0.0
    held: dict[Id, Held] = field(default_factory=dict)
    last: int = 0
    free_room: float = 0.0  # of the bucket, held by nobody; begins at `depth`

    def granted(self) -> float:
        """The sum of all parts."""
        return sum(one.part for one in self.held.values())

    def ask(self, who: Id, number: int, keep: float, wish: float, room: float,
            rules: Invariants) -> Grant | BadCall | LeaseOver:
        """Renew, shrink, grow or give back (wish 0 and keep 0).  `number` 0: it holds none.

        A part grows out of what is spare, up to an even share of the whole for each that wishes more than it has, and
        beyond it only by what the others' wishes leave.
        """
        mine = self.held.get(who)
        if number != (mine.number if mine is not None else 0):
            return LeaseOver(who, f"lease {number} is not the one in force")
        if not (0.0 <= keep <= (mine.part if mine is not None else 0.0) + EDGE and wish >= 0.0 and room >= 0.0):
            return BadCall(who, f"keep {keep!r}, wish {wish!r} or room {room!r} is out of bounds")
        if mine is None and wish > 0 and len(self.held) >= MOST_HOLDERS:
            return BadCall(who, f"{MOST_HOLDERS} hold a part already")
        if mine is not None:
            # What it says is left goes back, but never more than it could have: what it had, filled since at its rate.
            self.free_room = min(self.free_room + min(room, self.depth), self.depth) if self.depth else 0.0
            del self.held[who]
        if wish <= 0.0 and keep <= 0.0:
            return Grant(0, 0.0, 0.0, self.whole - self.granted(), len(self.held))
        spare = max(self.whole - self.granted(), 0.0)
        part = max(min(wish, self.fair(who, wish), spare), min(keep, spare))
        if self.step:
            part = int(part / self.step + EDGE) * self.step
        given = self.free_room * (part / self.whole) if self.whole > 0 else 0.0
        if mine is not None and self.depth:
            given = min(max(given, min(room, self.free_room)), self.depth * part / self.whole if self.whole else 0.0)
        self.free_room -= given
        self.last += 1
        self.held[who] = Held(self.last, part, wish, given)
        rules.check(Rule.PARTS_IN_WHOLE, self.granted() <= self.whole + 1e-6,
                    lambda: f"{self.granted():g} of {self.whole:g} granted to {len(self.held)}")
        return Grant(self.last, part, given, self.whole - self.granted(), len(self.held))

    def fair(self, who: Id, wish: float) -> float:
        """The max-min share of one wish among those of all holders."""
        wishes = sorted([wish, *(one.wish for other, one in self.held.items() if other != who)])
        left, count = self.whole, len(wishes)
        for one in wishes:
            share = left / count
            if one > share:
                return max(share, 0.0) if wish > share else wish
            left, count = left - one, count - 1
        return wish + left  # all wishes fit: what is over is anybody's

    def excess(self, who: Id) -> float:
        """By how much a holder is above its fair part while others have less than theirs: it should give that back."""
        mine = self.held[who]
        return max(mine.part - self.fair(who, mine.wish), 0.0)

    def end(self, who: Id, number: int) -> bool:
        """The time of a lease is over: its part is free, what was in its bucket is not."""
        mine = self.held.get(who)
        if mine is None or mine.number != number:
            return False
        del self.held[who]
        return True

    def over(self, now: float, outlast: float, since: float) -> list[tuple[Id, int]]:
        """Whose time is over by this machine's clock: seen for so long, and not before this one began to look."""
        return [(who, one.number) for who, one in self.held.items() if now - max(one.seen, since) >= outlast]

    def seen(self, now: float) -> None:
        """Note when leases that are new here were seen."""
        for one in self.held.values():
            if one.seen == 0.0:
                one.seen = now

    def dump(self) -> Any:
        """Plain data."""
        return [self.whole, self.depth, self.step, self.last, self.free_room,
                [[who, one.number, one.part, one.wish, one.room] for who, one in self.held.items()]]

    @classmethod
    def load(cls, raw: Any) -> Divided:
        """From `dump`; what is held counts as seen when it is next looked at."""
        whole, depth, step, last, free, held = raw
        return cls(whole, depth, step, {who: Held(number, part, wish, room) for who, number, part, wish, room in held},
                   last, free)
