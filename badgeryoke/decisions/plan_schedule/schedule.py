"""The book of plans: which version of each holds when, the same at every gateway that was told the same.

A change is announced ahead, with the number of its version and the moment from which it holds; until then
it can be called off.  Numbers run without gaps, so that a gateway which missed one says so instead of
going on with another order of versions.  Announcing the same version twice is no fault, announcing another
under its number is.

Exceptions give one customer figures of its own until a stated end.  They go before the plan's version.

Bounds: MOST_AHEAD versions of a plan wait at once, the one that holds and the one before it are kept, and
there are no more than MOST_EXCEPTIONS exceptions; what goes beyond is refused, and nothing that is there
is lost by it.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from badgeryoke.decisions.plan_schedule.carry_over import PlanFigures

LEAD_MS = 2000.0  # a change is known this long before it holds: every gateway has been told by then
MOST_AHEAD = 8
MOST_EXCEPTIONS = 100_000
LONGEST_MS = 366 * 24 * 3_600_000.0  # an exception ends within a year


@dataclass(frozen=True, slots=True)
class PlanVersion:
    """One version of a plan, from a moment on (Unix ms)."""

    plan: str
    number: int
    holds_from_ms: float
    figures: PlanFigures


@dataclass(frozen=True, slots=True)
class Exemption:
    """A customer's own figures, up to a moment."""

    customer: int
    until_ms: float
    figures: PlanFigures


@dataclass(frozen=True, slots=True)
class ScheduleError:
    """Why something was not taken: the key at fault, and what is wrong with it."""

    key: str
    problem: str

    def __str__(self) -> str:
        return f"{self.key}: {self.problem}"


def figures_fault(figures: PlanFigures, key: str) -> ScheduleError | None:
    """What is wrong with figures, if anything is."""
    for name in ("rate", "burst", "ceiling_rate", "ceiling_burst"):
        value = getattr(figures, name)
        if not (math.isfinite(value) and value >= 0):
            return ScheduleError(f"{key}.{name}", f"expected a number of 0 or more, got {value!r}")
    if figures.rate > 0 and figures.burst <= 0:
        return ScheduleError(f"{key}.burst", "expected above 0 where there is a rate")
    if figures.ceiling_rate > 0 and figures.ceiling_rate < figures.rate:
        return ScheduleError(f"{key}.ceiling_rate", f"below the rate of {figures.rate:g}")
    if figures.ceiling_rate > 0 and figures.ceiling_burst < figures.burst:
        return ScheduleError(f"{key}.ceiling_burst", f"below the burst of {figures.burst:g}")
    return None


class PlanSchedule:
    """Versions and exceptions.  Every method is told the time and changes nothing but this book."""

    def __init__(self, plans: Mapping[str, PlanFigures]) -> None:
        self._versions = {name: [PlanVersion(name, 0, -math.inf, figures)] for name, figures in plans.items()}
        self._exempt: dict[int, Exemption] = {}

    def announce(
        self, now: float, plan: str, number: int, holds_from_ms: float, figures: PlanFigures
    ) -> PlanVersion | ScheduleError:
        """Take in a change that is to hold from a moment on."""
        versions = self._versions.get(plan)
        if versions is None:
            return ScheduleError("plan", f"unknown {plan!r}; known are {', '.join(sorted(self._versions))}")
        made = PlanVersion(plan, number, holds_from_ms, figures)
        known = next((one for one in versions if one.number == number), None)
        if known is not None:
            taken = ScheduleError("number", f"version {number} of {plan} is another one already")
            return known if known == made else taken
        last = versions[-1]
        if number != last.number + 1:
            return ScheduleError(
                "number", f"expected {last.number + 1} after version {last.number}, got {number}"
            )
        if not (math.isfinite(holds_from_ms) and holds_from_ms >= now + LEAD_MS):
            return ScheduleError("holds_from_ms", f"expected {LEAD_MS:g} ms ahead of now at least")
        if holds_from_ms <= last.holds_from_ms:
            return ScheduleError(
                "holds_from_ms", f"not after version {last.number}, which holds from then on"
            )
        if (fault := figures_fault(figures, "figures")) is not None:
            return fault
        self._forget(now, versions)
        if sum(one.holds_from_ms > now for one in versions) >= MOST_AHEAD:
            return ScheduleError("plan", f"{MOST_AHEAD} versions of {plan} wait already")
        versions.append(made)
        return made

    def call_off(self, now: float, plan: str, number: int) -> PlanVersion | ScheduleError:
        """Take a change back before it holds, and those announced after it with it."""
        versions = self._versions.get(plan, [])
        found = next((one for one in versions if one.number == number), None)
        if found is None:
            return ScheduleError("number", f"no version {number} of {plan} is known")
        if found.holds_from_ms <= now:
            return ScheduleError("number", f"version {number} of {plan} holds already")
        versions[:] = [one for one in versions if one.number < number]
        return found

    def exempt(
        self, now: float, customer: int, until_ms: float, figures: PlanFigures
    ) -> Exemption | ScheduleError:
        """Give a customer figures of its own, up to a moment; in place of those it has."""
        if not now < until_ms <= now + LONGEST_MS:
            return ScheduleError("until_ms", "expected a moment ahead, within a year")
        if (fault := figures_fault(figures, "figures")) is not None:
            return fault
        if customer not in self._exempt and len(self._exempt) >= MOST_EXCEPTIONS:
            self._exempt = {key: one for key, one in self._exempt.items() if one.until_ms > now}
            if len(self._exempt) >= MOST_EXCEPTIONS:
                return ScheduleError("customer", f"{MOST_EXCEPTIONS} exceptions hold already")
        made = self._exempt[customer] = Exemption(customer, until_ms, figures)
        return made

    def version(self, now: float, plan: str) -> PlanVersion | ScheduleError:
        """The version of a plan that holds at a time."""
        versions = self._versions.get(plan)
        if versions is None:
            return ScheduleError("plan", f"unknown {plan!r}")
        return next(one for one in reversed(versions) if one.holds_from_ms <= now)

    def figures(self, now: float, plan: str, customer: int) -> PlanFigures | ScheduleError:
        """What a customer of a plan is granted at a time."""
        own = self._exempt.get(customer)
        if own is not None:
            if now < own.until_ms:
                return own.figures
            del self._exempt[customer]
        found = self.version(now, plan)
        return found.figures if isinstance(found, PlanVersion) else found

    def next_change(self, now: float) -> float:
        """When the next version begins to hold, ms; inf where none waits."""
        return min(
            (
                one.holds_from_ms
                for versions in self._versions.values()
                for one in versions
                if one.holds_from_ms > now
            ),
            default=math.inf,
        )

    def waiting(self, now: float) -> list[PlanVersion]:
        """The versions that were announced and do not hold yet, in order of their moments."""
        return sorted(
            (one for versions in self._versions.values() for one in versions if one.holds_from_ms > now),
            key=lambda one: (one.holds_from_ms, one.plan),
        )

    @staticmethod
    def _forget(now: float, versions: list[PlanVersion]) -> None:
        """Keep the version that holds, the one before it, and those to come."""
        held = sum(one.holds_from_ms <= now for one in versions)
        del versions[: max(held - 2, 0)]


def same_book(books: Iterable[PlanSchedule], now: float) -> bool:
    """Whether books tell the same at a time: for tests, and for a look at a fleet."""
    told = [
        [(one.plan, one.number, one.holds_from_ms, one.figures) for one in book.waiting(now)]
        + [book.version(now, plan) for plan in sorted(book._versions)]
        for book in books
    ]
    return all(one == told[0] for one in told)
