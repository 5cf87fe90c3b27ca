"""The referee's book of one contract, in simulated time and with real processes alike.

What is due is what one all-knowing bucket of the contract's rate and burst would serve of what is asked for,
each request whole or not at all.  A second counts against the floor if at least the rate was asked for in it,
and then as much is expected as that bucket serves in it, the rate at the most: a contract promises no more,
and where requests come in clumps a bucket serves less.  What is served counts when it is served.  What is
asked for at a gateway that is cut off from most of the fleet does not count there, since nothing is promised
to it for longer than a lease; it counts as short.

Units short are settled by busy times: from a request to a rest of `REST_MS` without one, what was due and not
served. There, what is due is counted in units, of whatever requests.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from badgeryoke.cluster.reservations.settlement import BUSY_PERIOD_GAP_MS

EDGE = 1e-6
LEFT_OUT_MS = 2000.0  # behind a loss, of the floor
FEW = 0.05  # part of what was due, below which an error is not measured against what was short


@dataclass(slots=True)
class Book:
    """Times in ms, units.  `level`: of the bucket that serves requests whole; `units`: of the one that
    does not."""

    rate: float
    burst: float
    level: float = 0.0
    units: float = 0.0
    at: float = 0.0
    last: float = 0.0  # request
    asked: dict[int, float] = field(default_factory=dict)  # by second
    due: dict[int, float] = field(default_factory=dict)
    served: dict[int, float] = field(default_factory=dict)
    times: list[list[float]] = field(default_factory=list)  # busy times: due, served

    def ask(self, now: float, units: float, cut: bool = False) -> tuple[int, bool]:
        """So much is asked for; `cut`: where the floor does not hold.  Gives what `serve` has to know of
        it."""
        if not self.times or now > self.last + BUSY_PERIOD_GAP_MS:
            self.times.append([0.0, 0.0])
        self.last = now
        filled = (
            self.rate * (now - self.at) / 1000.0 if len(self.times) > 1 or self.times[0][0] else self.burst
        )
        self.level = min(self.level + filled, self.burst)
        self.units = min(self.units + filled, self.burst)
        self.at = now
        due = min(units, self.units)
        self.units -= due
        self.times[-1][0] += due
        if cut:
            return len(self.times) - 1, False
        second = int(now // 1000.0)
        self.asked[second] = self.asked.get(second, 0.0) + units
        if self.level >= units - EDGE:
            self.level = max(self.level - units, 0.0)
            self.due[second] = self.due.get(second, 0.0) + units
        return len(self.times) - 1, True

    def serve(self, now: float, units: float, asked: tuple[int, bool]) -> None:
        """So much is served of what `ask` was told of."""
        time, counts = asked
        self.times[time][1] += units
        if counts:
            second = int(now // 1000.0)
            self.served[second] = self.served.get(second, 0.0) + units

    def seconds(self, begin: float, end: float, losses: list[float]) -> dict[int, float]:
        """For each second that counts, the share of what is expected that was served."""
        made: dict[int, float] = {}
        for second, asked in sorted(self.asked.items()):
            at = second * 1000.0
            expected = min(self.rate, self.due.get(second, 0.0))
            if (
                asked >= self.rate
                and expected > EDGE
                and begin <= at
                and at + 1000.0 <= end
                and not any(at - LEFT_OUT_MS < loss < at + 1000.0 for loss in losses)
            ):
                made[second] = min(self.served.get(second, 0.0) / expected, 1.0)
        return made

    def short(self) -> float:
        """Units due and not served."""
        return sum(max(due - served, 0.0) for due, served in self.times)

    def error(self, told: float) -> float:
        """Of what was told short, as a share of what was; of a twentieth of what was due where fewer were
        short."""
        return abs(told - self.short()) / max(self.short(), FEW * sum(due for due, _ in self.times), 1.0)


def least(found: list[dict[int, float]]) -> float | None:
    """The worst second of all contracts."""
    return min((share for one in found for share in one.values()), default=None)
