"""What a customer's quota looks like to modules that the policy calls.

Types alone, and no decision: `GcraBucket` and `CustomerQuota` of `policy.quota` have this form, so that
`plan_schedule.plan_change` and `counter_health.visibility`, which the policy calls, import nothing of it.
"""

from __future__ import annotations

from typing import Any, Protocol, Self, TypeVar

from badgeryoke.decisions.interface import Plan, Settings


class GcraBucket(Protocol):
    """A generic cell rate algorithm with a theoretical arrival time, ms; see `policy.quota.GcraBucket`."""

    tat: float
    interval_ms: float
    tolerance: float
    partial_share: Self | None

    def configure(self, rate: float, burst: float) -> None:
        """Set the rate, in units per second, and the burst, in units."""

    def capacity(self, now: float) -> float:
        """Units left of the burst."""


BucketT = TypeVar("BucketT", bound=GcraBucket)


class CustomerQuota(Protocol[BucketT]):
    """What a gateway knows of one customer's usage; see `policy.quota.CustomerQuota`."""

    plan: Plan
    customer: int
    first_gateway: int
    gateway_set_size: int
    bucket: BucketT
    own_bucket: BucketT
    headroom_bucket: BucketT | None
    period_ms: float
    period_phase: float
    period: int
    last_total: float
    previous_total: float
    reported_units: float
    uncertain_units: float
    previous_period_open: bool
    visibility_version: int
    synchronized: bool
    synchronized_at: float

    def headroom_share(self, settings: Settings) -> tuple[float, float]:
        """Rate and burst of this gateway's share of the ceiling's headroom."""

    def compute_period_ms(self) -> float:
        """The length of a period."""


class CounterVisibility(Protocol):
    """Which gateways the counter shows to this one, and what may be granted then; see
    `counter_health.visibility.Visibility`, which is loaded only where counter health is switched on."""

    version: int
    epoch: int

    def apply(self, now: float, quota: CustomerQuota[Any]) -> None:
        """Bring a customer's buckets in line with what is visible now."""

    def is_isolated(self, quota: CustomerQuota[Any]) -> bool:
        """Whether this gateway sees none of the customer's others."""

    def suppresses_calls(self, now: float, quota: CustomerQuota[Any]) -> bool:
        """Whether calls for the customer are suppressed."""

    def others_units(self, quota: CustomerQuota[Any], others: float) -> float:
        """The units that count as others' use, of those that a total shows."""
