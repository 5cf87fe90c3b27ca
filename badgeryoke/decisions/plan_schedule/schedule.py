"""The schedule of plan versions: which version is in force when, the same at all gateways that were notified.

A change is announced in advance, with its version number and the time from which it is in force; until then it
can be cancelled.  Numbers have no gaps, so that a gateway that has missed a version reports an error instead of
applying another sequence of versions.  Announcing a version again is idempotent; announcing a different version
under the same number is an error.

Exemptions give one customer its own limits until a given time.  They take precedence over the plan.

Bounds: at most MAX_PENDING_VERSIONS of a plan are pending, the version in force and the previous one are kept, and
there are at most MAX_EXEMPTIONS exemptions; a change beyond these is rejected and has no effect.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from badgeryoke.decisions.plan_schedule.carry_over import PlanLimits

MIN_LEAD_MS = 2000.0  # time from announcement to effect: enough to notify all gateways
MAX_PENDING_VERSIONS = 8
MAX_EXEMPTIONS = 100_000
MAX_EXEMPTION_MS = 366 * 24 * 3_600_000.0  # an exemption ends within a year


@dataclass(frozen=True, slots=True)
class PlanVersion:
    """One version of a plan, in force from a time on (Unix ms)."""

    plan: str
    number: int
    effective_from_ms: float
    limits: PlanLimits


@dataclass(frozen=True, slots=True)
class Exemption:
    """A customer's own limits until `until_ms` (Unix ms)."""

    customer: int
    until_ms: float
    limits: PlanLimits


@dataclass(frozen=True, slots=True)
class ScheduleError:
    """Why a change was rejected: the key at fault, and the problem with its value."""

    key: str
    problem: str

    def __str__(self) -> str:
        return f"{self.key}: {self.problem}"


def validate_limits(limits: PlanLimits, key: str) -> ScheduleError | None:
    """The first error in limits, or None; its key starts with `key`."""
    for name in ("rate", "burst", "ceiling_rate", "ceiling_burst"):
        value = getattr(limits, name)
        if not (math.isfinite(value) and value >= 0):
            return ScheduleError(f"{key}.{name}", f"expected a number of 0 or more, got {value!r}")
    if limits.rate > 0 and limits.burst <= 0:
        return ScheduleError(f"{key}.burst", "expected a number above 0 where the rate is above 0")
    if limits.ceiling_rate > 0 and limits.ceiling_rate < limits.rate:
        return ScheduleError(f"{key}.ceiling_rate", f"below the rate of {limits.rate:g}")
    if limits.ceiling_rate > 0 and limits.ceiling_burst < limits.burst:
        return ScheduleError(f"{key}.ceiling_burst", f"below the burst of {limits.burst:g}")
    return None


class PlanSchedule:
    """The versions of all plans, and exemptions.  Times are Unix ms."""

    def __init__(self, plans: Mapping[str, PlanLimits]) -> None:
        self._versions = {name: [PlanVersion(name, 0, -math.inf, limits)] for name, limits in plans.items()}
        self._exemptions: dict[int, Exemption] = {}

    def announce(
        self, now: float, plan: str, number: int, effective_from_ms: float, limits: PlanLimits
    ) -> PlanVersion | ScheduleError:
        """Add a version that is in force from `effective_from_ms` on."""
        versions = self._versions.get(plan)
        if versions is None:
            return ScheduleError("plan", f"unknown {plan!r}; known are {', '.join(sorted(self._versions))}")
        version = PlanVersion(plan, number, effective_from_ms, limits)
        known = next((entry for entry in versions if entry.number == number), None)
        if known is not None:
            conflict = ScheduleError(
                "number", f"version {number} of {plan} was announced with other contents"
            )
            return known if known == version else conflict
        last = versions[-1]
        if number != last.number + 1:
            return ScheduleError(
                "number", f"expected {last.number + 1} after version {last.number}, got {number}"
            )
        if not (math.isfinite(effective_from_ms) and effective_from_ms >= now + MIN_LEAD_MS):
            return ScheduleError(
                "holds_from_ms", f"expected a time at least {MIN_LEAD_MS:g} ms in the future"
            )
        if effective_from_ms <= last.effective_from_ms:
            return ScheduleError("holds_from_ms", f"expected a time after that of version {last.number}")
        if (fault := validate_limits(limits, "figures")) is not None:
            return fault
        self._drop_old_versions(now, versions)
        if sum(entry.effective_from_ms > now for entry in versions) >= MAX_PENDING_VERSIONS:
            return ScheduleError("plan", f"{MAX_PENDING_VERSIONS} versions of {plan} are pending already")
        versions.append(version)
        return version

    def cancel(self, now: float, plan: str, number: int) -> PlanVersion | ScheduleError:
        """Cancel a version that is not in force yet, and all later ones."""
        versions = self._versions.get(plan, [])
        found = next((entry for entry in versions if entry.number == number), None)
        if found is None:
            return ScheduleError("number", f"no version {number} of {plan} is known")
        if found.effective_from_ms <= now:
            return ScheduleError("number", f"version {number} of {plan} is in force already")
        versions[:] = [entry for entry in versions if entry.number < number]
        return found

    def exempt(
        self, now: float, customer: int, until_ms: float, limits: PlanLimits
    ) -> Exemption | ScheduleError:
        """Give a customer its own limits until a time, ms; they replace an earlier exemption."""
        if not now < until_ms <= now + MAX_EXEMPTION_MS:
            return ScheduleError("until_ms", "expected a time in the future, within a year")
        if (fault := validate_limits(limits, "figures")) is not None:
            return fault
        if customer not in self._exemptions and len(self._exemptions) >= MAX_EXEMPTIONS:
            self._exemptions = {key: entry for key, entry in self._exemptions.items() if entry.until_ms > now}
            if len(self._exemptions) >= MAX_EXEMPTIONS:
                return ScheduleError("customer", f"{MAX_EXEMPTIONS} exemptions are in force already")
        exemption = self._exemptions[customer] = Exemption(customer, until_ms, limits)
        return exemption

    def version(self, now: float, plan: str) -> PlanVersion | ScheduleError:
        """The version of a plan that is in force at a time."""
        versions = self._versions.get(plan)
        if versions is None:
            return ScheduleError("plan", f"unknown {plan!r}")
        return next(entry for entry in reversed(versions) if entry.effective_from_ms <= now)

    def limits_for(self, now: float, plan: str, customer: int) -> PlanLimits | ScheduleError:
        """The limits of a customer of a plan at a time."""
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
                entry.effective_from_ms
                for versions in self._versions.values()
                for entry in versions
                if entry.effective_from_ms > now
            ),
            default=math.inf,
        )

    def pending_versions(self, now: float) -> list[PlanVersion]:
        """The announced versions that are not in force yet, in order of time."""
        return sorted(
            (
                entry
                for versions in self._versions.values()
                for entry in versions
                if entry.effective_from_ms > now
            ),
            key=lambda entry: (entry.effective_from_ms, entry.plan),
        )

    @staticmethod
    def _drop_old_versions(now: float, versions: list[PlanVersion]) -> None:
        """Keep the version in force, the previous one, and the pending ones."""
        effective_count = sum(entry.effective_from_ms <= now for entry in versions)
        del versions[: max(effective_count - 2, 0)]


def schedules_agree(schedules: Iterable[PlanSchedule], now: float) -> bool:
    """Whether schedules have the same contents at a time; for tests and for diagnosis of a fleet."""
    contents = [
        [
            (entry.plan, entry.number, entry.effective_from_ms, entry.limits)
            for entry in schedule.pending_versions(now)
        ]
        + [schedule.version(now, plan) for plan in sorted(schedule._versions)]
        for schedule in schedules
    ]
    return all(content == contents[0] for content in contents)
