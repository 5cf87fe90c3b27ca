"""The referee: what was really sent, kept by the scenario's plans and by nothing that a gateway says.

It is told of each client's try, of each first attempt as it reaches a server, and of each final answer;
from these it keeps, for every customer, the true quota's store, the true ceiling's, and what one all-
knowing gateway would have sent.  Times in ms, on the referee's own clock.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from badgeryoke.testbed.scenario.model import PlanText

EDGE = 1e-6


class Store:
    """A store of units that fills at a rate, up to its depth."""

    __slots__ = ("at", "depth", "level", "rate")

    def __init__(self, rate: float, depth: float, at: float) -> None:
        self.rate, self.depth, self.level, self.at = rate / 1000.0, depth, depth, at

    def fill(self, now: float) -> float:
        """Bring it up to a time; gives the level."""
        if now > self.at:
            self.level = min(self.level + (now - self.at) * self.rate, self.depth)
            self.at = now
        return self.level


@dataclass(slots=True)
class Account:
    """One customer's true books."""

    plan: PlanText
    quota: Store
    oracle: Store
    ceiling: Store | None
    sent: float = 0.0
    beyond: float = 0.0
    lowest: float = 0.0  # of the ceiling's store, below 0


@dataclass(slots=True)
class Sums:
    """Units over a stretch of time."""

    sent: float = 0.0
    beyond: float = 0.0
    oracle: float = 0.0
    asked: float = 0.0

    def add(self, other: Sums) -> None:
        """Take in another stretch."""
        self.sent += other.sent
        self.beyond += other.beyond
        self.oracle += other.oracle
        self.asked += other.asked


@dataclass(slots=True)
class Verdict:
    """The referee's figures; ratios over the trouble, times in ms."""

    ceiling_broken: bool
    ceiling_excess: float  # the most by which a ceiling's store was overdrawn, in parts of its depth
    beyond_share: float
    sent_of_allowed: float
    plans: dict[str, dict[str, float]]
    unanswered: int
    twice_answered: int
    tries: int
    answers: dict[str, int] = field(default_factory=dict)


class Referee:
    """Books for one run."""

    def __init__(
        self,
        plans: tuple[PlanText, ...],
        trouble: tuple[float, float],
        started: float = 0.0,
        step_ms: float = 250.0,
    ) -> None:
        self._plans = {plan.name: plan for plan in plans}
        self._trouble, self._started, self.step_ms = trouble, started, step_ms
        self._accounts: dict[int, Account] = {}
        self._owed: dict[str, tuple[str, float]] = {}
        self._sums: dict[str, Sums] = {plan.name: Sums() for plan in plans}
        self.line: dict[int, dict[int, Sums]] = {}  # by step and gateway
        self._answers: Counter[str] = Counter()
        self._twice = self._tries = 0
        self._firsts: set[str] = set()

    def _account(self, customer: int, plan: str) -> Account:
        found = self._accounts.get(customer)
        if found is None:
            text = self._plans[plan]
            ceiling = (
                Store(text.ceiling_rate, text.ceiling_burst, self._started) if text.ceiling_rate > 0 else None
            )
            found = self._accounts[customer] = Account(
                text,
                Store(text.rate, text.burst, self._started),
                Store(text.rate, text.burst, self._started),
                ceiling,
            )
        return found

    def _book(self, now: float, plan: str, gateway: int) -> list[Sums]:
        step = self.line.setdefault(int((now - self._started) // self.step_ms), {})
        sums = [step.setdefault(gateway, Sums())]
        if self._trouble[0] <= now - self._started <= self._trouble[1]:
            sums.append(self._sums[plan])
        return sums

    def tried(self, now: float, rid: str, customer: int, plan: str, units: float, gateway: int) -> None:
        """A client has asked.  The all-knowing gateway decides at once."""
        self._tries += 1
        self._owed[rid] = plan, now
        account = self._account(customer, plan)
        fits = account.oracle.fill(now) >= units - EDGE
        if fits:
            account.oracle.level -= units
        for sums in self._book(now, plan, gateway):
            sums.asked += units
            sums.oracle += units if fits else 0.0

    def arrived(self, now: float, rid: str, customer: int, plan: str, units: float, gateway: int) -> None:
        """An attempt has reached a server whole; only a try's first takes units."""
        if rid in self._firsts:
            return
        self._firsts.add(rid)
        account = self._account(customer, plan)
        account.sent += units
        fits = account.quota.fill(now) >= units - EDGE
        if fits:
            account.quota.level -= units
        else:
            account.beyond += units
        if account.ceiling is not None:
            account.ceiling.fill(now)
            account.ceiling.level -= units
            account.lowest = min(account.lowest, account.ceiling.level)
        for sums in self._book(now, plan, gateway):
            sums.sent += units
            sums.beyond += 0.0 if fits else units

    def answered(self, now: float, rid: str, kind: str) -> None:
        """A final answer came: served, refused or failed."""
        if self._owed.pop(rid, None) is None:
            self._twice += 1
        else:
            self._answers[kind] += 1

    def lost(self, rid: str) -> None:
        """Its gateway died, or its client left: nobody owes an answer."""
        self._owed.pop(rid, None)

    def verdict(self) -> Verdict:
        """The figures.  A ceiling counts as broken beyond a twentieth of its depth."""
        excess = max(
            (
                -one.lowest / one.plan.ceiling_burst
                for one in self._accounts.values()
                if one.ceiling is not None
            ),
            default=0.0,
        )
        total = Sums()
        plans = {}
        for name, sums in self._sums.items():
            total.add(sums)
            plans[name] = {
                "sent": round(sums.sent, 3),
                "beyond_share": _share(sums.beyond, sums.sent),
                "sent_of_allowed": _share(sums.sent, sums.oracle),
            }
        return Verdict(
            excess > 0.05,
            round(max(0.0, excess), 5),
            _share(total.beyond, total.sent),
            _share(total.sent, total.oracle),
            plans,
            len(self._owed),
            self._twice,
            self._tries,
            dict(sorted(self._answers.items())),
        )


def _share(part: float, whole: float) -> float:
    return round(part / whole, 5) if whole else 0.0
