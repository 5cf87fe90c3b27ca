"""What a customer's books look like to those who keep figures in them beside the module.

Types alone, and no decision: the module's own `Meter` and `Ledger` have this form, so that `plans.replan` and
`watch.sight`, which the module calls, need nothing of it.
"""

from __future__ import annotations

from typing import Protocol, Self, TypeVar

from badgeryoke.decisions.interface import Plan, Settings


class GcraBucket(Protocol):
    """A store that fills at a rate, as a theoretical arrival time, ms; see `decide.Meter`."""

    tat: float
    per_unit: float
    tolerance: float
    half: Self | None

    def set(self, rate: float, burst: float) -> None:
        """Go by these figures."""

    def room(self, now: float) -> float:
        """Units left of the burst."""


M = TypeVar("M", bound=GcraBucket)


class CustomerQuota(Protocol[M]):
    """What a gateway knows of one customer's use; see `decide.Ledger`."""

    plan: Plan
    customer: int
    first: int
    spread: int
    quota: M
    own: M
    head: M | None
    period_ms: float
    phase: float
    period: int
    base: float
    last_base: float
    sum: float
    maybe: float
    unclosed: bool
    version: int
    told: bool
    seen: float

    def headroom(self, settings: Settings) -> tuple[float, float]:
        """Rate and depth of this gateway's part of the ceiling's headroom."""

    def length(self) -> float:
        """Of a period, ms."""
