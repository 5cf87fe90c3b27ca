"""The quota checker: recomputes what a run really forwarded, from the scenario's plans alone.

It observes each client request, each first attempt that reaches a server, and each final response, and trusts
nothing that a gateway reports.  For every customer it maintains the token bucket of the true quota, that of
the true ceiling, and that of an oracle: a single gateway that sees every request.  Times are in ms, on the
checker's own clock.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from badgeryoke.testbed.scenario.model import PlanText

UNITS_TOLERANCE = 1e-6
MAX_CEILING_EXCESS = 0.05  # fraction of a ceiling's depth that may be overdrawn


class TokenBucket:
    """A token bucket of units that fills at a rate, up to its depth."""

    __slots__ = ("at", "depth", "level", "rate")

    def __init__(self, rate: float, depth: float, at: float) -> None:
        self.rate, self.depth, self.level, self.at = rate / 1000.0, depth, depth, at

    def fill(self, now: float) -> float:
        """Fill the bucket up to a time and return its level."""
        if now > self.at:
            self.level = min(self.level + (now - self.at) * self.rate, self.depth)
            self.at = now
        return self.level


@dataclass(slots=True)
class CustomerLedger:
    """The true token buckets and totals of one customer."""

    plan: PlanText
    quota: TokenBucket
    oracle: TokenBucket
    ceiling: TokenBucket | None
    sent: float = 0.0
    beyond: float = 0.0
    lowest_level: float = 0.0  # lowest level of the ceiling's bucket; negative when overdrawn


@dataclass(slots=True)
class UnitTotals:
    """Units requested, forwarded, forwarded beyond the quota, and allowed by the oracle, in one period."""

    sent: float = 0.0
    beyond: float = 0.0
    oracle: float = 0.0
    asked: float = 0.0

    def add(self, other: UnitTotals) -> None:
        """Add the totals of another period."""
        self.sent += other.sent
        self.beyond += other.beyond
        self.oracle += other.oracle
        self.asked += other.asked


@dataclass(slots=True)
class Verdict:
    """The checker's figures; ratios over the period of injected faults, times in ms."""

    ceiling_broken: bool
    ceiling_excess: float  # the largest overdraft of a ceiling's bucket, as a fraction of its depth
    beyond_share: float
    sent_of_allowed: float
    plans: dict[str, dict[str, float]]
    unanswered: int
    twice_answered: int
    tries: int
    answers: dict[str, int] = field(default_factory=dict)


class QuotaChecker:
    """Quota, ceiling and response accounting of one run."""

    def __init__(
        self,
        plans: tuple[PlanText, ...],
        fault_period: tuple[float, float],
        started: float = 0.0,
        step_ms: float = 250.0,
    ) -> None:
        self._plans = {plan.name: plan for plan in plans}
        self._fault_period, self._started, self.step_ms = fault_period, started, step_ms
        self._accounts: dict[int, CustomerLedger] = {}
        self._unanswered: dict[str, tuple[str, float]] = {}
        self._sums: dict[str, UnitTotals] = {plan.name: UnitTotals() for plan in plans}
        self.totals_by_step: dict[int, dict[int, UnitTotals]] = {}  # by step and gateway
        self._answers: Counter[str] = Counter()
        self._duplicate_responses = self._requests = 0
        self._forwarded_ids: set[str] = set()

    def _account(self, customer: int, plan: str) -> CustomerLedger:
        account = self._accounts.get(customer)
        if account is None:
            text = self._plans[plan]
            ceiling = (
                TokenBucket(text.ceiling_rate, text.ceiling_burst, self._started)
                if text.ceiling_rate > 0
                else None
            )
            account = self._accounts[customer] = CustomerLedger(
                text,
                TokenBucket(text.rate, text.burst, self._started),
                TokenBucket(text.rate, text.burst, self._started),
                ceiling,
            )
        return account

    def _totals_at(self, now: float, plan: str, gateway: int) -> list[UnitTotals]:
        step = self.totals_by_step.setdefault(int((now - self._started) // self.step_ms), {})
        sums = [step.setdefault(gateway, UnitTotals())]
        if self._fault_period[0] <= now - self._started <= self._fault_period[1]:
            sums.append(self._sums[plan])
        return sums

    def request_sent(
        self, now: float, request_id: str, customer: int, plan: str, units: float, gateway: int
    ) -> None:
        """A client has sent a request; the oracle decides on it at once."""
        self._requests += 1
        self._unanswered[request_id] = plan, now
        account = self._account(customer, plan)
        fits = account.oracle.fill(now) >= units - UNITS_TOLERANCE
        if fits:
            account.oracle.level -= units
        for sums in self._totals_at(now, plan, gateway):
            sums.asked += units
            sums.oracle += units if fits else 0.0

    def attempt_arrived(
        self, now: float, request_id: str, customer: int, plan: str, units: float, gateway: int
    ) -> None:
        """A complete attempt has reached a server; only the first of a request uses units."""
        if request_id in self._forwarded_ids:
            return
        self._forwarded_ids.add(request_id)
        account = self._account(customer, plan)
        account.sent += units
        fits = account.quota.fill(now) >= units - UNITS_TOLERANCE
        if fits:
            account.quota.level -= units
        else:
            account.beyond += units
        if account.ceiling is not None:
            account.ceiling.fill(now)
            account.ceiling.level -= units
            account.lowest_level = min(account.lowest_level, account.ceiling.level)
        for sums in self._totals_at(now, plan, gateway):
            sums.sent += units
            sums.beyond += 0.0 if fits else units

    def response_received(self, now: float, request_id: str, kind: str) -> None:
        """A final response came: served, refused or failed."""
        if self._unanswered.pop(request_id, None) is None:
            self._duplicate_responses += 1
        else:
            self._answers[kind] += 1

    def request_abandoned(self, request_id: str) -> None:
        """The gateway was lost or the client disconnected, so no response is due."""
        self._unanswered.pop(request_id, None)

    def verdict(self) -> Verdict:
        """The figures of the run; a ceiling counts as broken beyond a twentieth of its depth."""
        excess = max(
            (
                -account.lowest_level / account.plan.ceiling_burst
                for account in self._accounts.values()
                if account.ceiling is not None
            ),
            default=0.0,
        )
        total = UnitTotals()
        plans = {}
        for name, sums in self._sums.items():
            total.add(sums)
            plans[name] = {
                "sent": round(sums.sent, 3),
                "beyond_share": _share(sums.beyond, sums.sent),
                "sent_of_allowed": _share(sums.sent, sums.oracle),
            }
        return Verdict(
            excess > MAX_CEILING_EXCESS,
            round(max(0.0, excess), 5),
            _share(total.beyond, total.sent),
            _share(total.sent, total.oracle),
            plans,
            len(self._unanswered),
            self._duplicate_responses,
            self._requests,
            dict(sorted(self._answers.items())),
        )


def _share(part: float, whole: float) -> float:
    return round(part / whole, 5) if whole else 0.0
