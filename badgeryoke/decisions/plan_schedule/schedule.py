"""The schedule of plans: which version of each is in force when, the same at all gateways that were notified.

A change is announced ahead, with its version's number and the time from which it is in force; until then it
can be cancelled.  Numbers have no gaps, so that a gateway which missed one reports it instead of going on with
another order of versions.  Announcing the same version twice is idempotent, announcing another one under its
number is an error.

Exemptions give one customer limits of its own until a stated end.  They take precedence over the plan.

Bounds: MAX_PENDING_VERSIONS of a plan are pending at once, the one in force and the one before are kept, and
there are no more than MAX_EXEMPTIONS exemptions; what goes beyond is rejected, and nothing is lost by it.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from badgeryoke.decisions.plan_schedule.carry_over import PlanLimits

MIN_LEAD_MS = 2000.0  # a change is announced so long before: all gateways have been notified by then
MAX_PENDING_VERSIONS = 8
MAX_EXEMPTIONS = 100_000
MAX_EXEMPTION_MS = 366 * 24 * 3_600_000.0  # an exemption ends within a year


@dataclass(frozen=True, slots=True)
class PlanVersion:
    """One version of a plan, in force from a time on (Unix ms)."""

    plan: str
    number: int
    holds_from_ms: float
    limits: PlanLimits


@dataclass(frozen=True, slots=True)
class Exemption:
    """A customer's own limits, until a time."""

    customer: int
    until_ms: float
    limits: PlanLimits


@dataclass(frozen=True, slots=True)
class ScheduleError:
    """Why a change was rejected: the key at fault, and what is wrong with it."""

    key: str
    problem: str

    def __str__(self) -> str:
        return f"{self.key}: {self.problem}"


def validate_limits(limits: PlanLimits, key: str) -> ScheduleError | None:
    """What is wrong with limits, if anything is."""
    for name in ("rate", "burst", "ceiling_rate", "ceiling_burst"):
        value = getattr(limits, name)
        if not (math.isfinite(value) and value >= 0):
            return ScheduleError(f"{key}.{name}", f"expected a number of 0 or more, got {value!r}")
    if limits.rate > 0 and limits.burst <= 0:
        return ScheduleError(f"{key}.burst", "expected above 0 where there is a rate")
    if limits.ceiling_rate > 0 and limits.ceiling_rate < limits.rate:
        return ScheduleError(f"{key}.ceiling_rate", f"below the rate of {limits.rate:g}")
    if limits.ceiling_rate > 0 and limits.ceiling_burst < limits.burst:
        return ScheduleError(f"{key}.ceiling_burst", f"below the burst of {limits.burst:g}")
    return None


class PlanSchedule:
    """Versions and exemptions.  Every method gets the time and changes nothing but this schedule."""

    def __init__(self, plans: Mapping[str, PlanLimits]) -> None:
        self._versions = {name: [PlanVersion(name, 0, -math.inf, figures)] for name, figures in plans.items()}
        self._exemptions: dict[int, Exemption] = {}

    def announce(
        self, now: float, plan: str, number: int, holds_from_ms: float, limits: PlanLimits
    ) -> PlanVersion | ScheduleError:
        """Add a version that is in force from a time on."""
        versions = self._versions.get(plan)
        if versions is None:
            return ScheduleError("plan", f"unknown {plan!r}; known are {', '.join(sorted(self._versions))}")
        version = PlanVersion(plan, number, holds_from_ms, limits)
        known = next((one for one in versions if one.number == number), None)
        if known is not None:
            taken = ScheduleError("number", f"version {number} of {plan} is another one already")
            return known if known == version else taken
        last = versions[-1]
        if number != last.number + 1:
            return ScheduleError(
                "number", f"expected {last.number + 1} after version {last.number}, got {number}"
            )
        if not (math.isfinite(holds_from_ms) and holds_from_ms >= now + MIN_LEAD_MS):
            return ScheduleError("holds_from_ms", f"expected {MIN_LEAD_MS:g} ms ahead of now at least")
        if holds_from_ms <= last.holds_from_ms:
            return ScheduleError(
                "holds_from_ms", f"not after version {last.number}, which holds from then on"
            )
        if (fault := validate_limits(limits, "figures")) is not None:
            return fault
        self._drop_old_versions(now, versions)
        if sum(one.holds_from_ms > now for one in versions) >= MAX_PENDING_VERSIONS:
            return ScheduleError("plan", f"{MAX_PENDING_VERSIONS} versions of {plan} wait already")
        versions.append(version)
        return version

    def cancel(self, now: float, plan: str, number: int) -> PlanVersion | ScheduleError:
        """Cancel a version before it is in force, and with it those announced after it."""
        versions = self._versions.get(plan, [])
        found = next((one for one in versions if one.number == number), None)
        if found is None:
            return ScheduleError("number", f"no version {number} of {plan} is known")
        if found.holds_from_ms <= now:
            return ScheduleError("number", f"version {number} of {plan} holds already")
        versions[:] = [one for one in versions if one.number < number]
        return found

    def exempt(
        self, now: float, customer: int, until_ms: float, limits: PlanLimits
    ) -> Exemption | ScheduleError:
        """Give a customer limits of its own until a time, in place of those it has."""
        if not now < until_ms <= now + MAX_EXEMPTION_MS:
            return ScheduleError("until_ms", "expected a moment ahead, within a year")
        if (fault := validate_limits(limits, "figures")) is not None:
            return fault
        if customer not in self._exemptions and len(self._exemptions) >= MAX_EXEMPTIONS:
            self._exemptions = {key: one for key, one in self._exemptions.items() if one.until_ms > now}
            if len(self._exemptions) >= MAX_EXEMPTIONS:
                return ScheduleError("customer", f"{MAX_EXEMPTIONS} exceptions hold already")
        exemption = self._exemptions[customer] = Exemption(customer, until_ms, limits)
        return exemption

    def version(self, now: float, plan: str) -> PlanVersion | ScheduleError:
        """The version of a plan that is in force at a time."""
        versions = self._versions.get(plan)
        if versions is None:
            return ScheduleError("plan", f"unknown {plan!r}")
        return next(one for one in reversed(versions) if one.holds_from_ms <= now)

    def limits_for(self, now: float, plan: str, customer: int) -> PlanLimits | ScheduleError:
        """What a customer of a plan is granted at a time."""
        exemption = self._exemptions.get(customer)
        if exemption is not None:
            if now < exemption.until_ms:
                return exemption.limits
            del self._exemptions[customer]
        found = self.version(now, plan)
        return found.limits if isinstance(found, PlanVersion) else found

    def next_change_at(self, now: float) -> float:
        """When the next version comes into force, ms; inf where none is pending."""
        return min(
            (
                one.holds_from_ms
                for versions in self._versions.values()
                for one in versions
                if one.holds_from_ms > now
            ),
            default=math.inf,
        )

    def pending_versions(self, now: float) -> list[PlanVersion]:
        """The versions that were announced and are not in force yet, in order of time."""
        return sorted(
            (one for versions in self._versions.values() for one in versions if one.holds_from_ms > now),
            key=lambda one: (one.holds_from_ms, one.plan),
        )

    @staticmethod
    def _drop_old_versions(now: float, versions: list[PlanVersion]) -> None:
        """Keep the version in force, the one before it, and those pending."""
        held = sum(one.holds_from_ms <= now for one in versions)
        del versions[: max(held - 2, 0)]


def schedules_agree(schedules: Iterable[PlanSchedule], now: float) -> bool:
    """Whether schedules have the same contents at a time: for tests and diagnosis of a fleet."""
    contents = [
        [(one.plan, one.number, one.holds_from_ms, one.limits) for one in book.pending_versions(now)]
        + [book.version(now, plan) for plan in sorted(book._versions)]
        for book in schedules
    ]
    return all(one == contents[0] for one in contents)
