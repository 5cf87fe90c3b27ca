"""Protocols for a customer's quota, used by modules that the policy calls.

`GcraBucket` and `CustomerQuota` of `policy.quota` implement them, so that `plan_schedule.plan_change` and
`counter_health.visibility`, which the policy calls, do not import the policy.
"""

from __future__ import annotations

from typing import Any, Protocol, Self, TypeVar

from badgeryoke.decisions.interface import Plan, Settings


class GcraBucket(Protocol):
    """A generic cell rate algorithm with its theoretical arrival time (TAT); see `policy.quota.GcraBucket`.

    Times are in ms.
    """

    tat: float
    interval_ms: float
    tolerance: float
    partial_share: Self | None

    def configure(self, rate: float, burst: float) -> None:
        """Set the rate, in units per second, and the burst, in units."""

    def capacity(self, now: float) -> float:
        """Return the units left of the burst."""


BucketT = TypeVar("BucketT", bound=GcraBucket)


class CustomerQuota(Protocol[BucketT]):
    """One customer's quota and usage, as seen by a gateway; see `policy.quota.CustomerQuota`."""

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
        """Return rate and burst of this gateway's share of the ceiling's headroom."""

    def compute_period_ms(self) -> float:
        """Return the length of a counter period in ms."""


class CounterVisibility(Protocol):
    """Which other gateways are visible to this one through the counter, and what it may grant then.

    See `counter_health.visibility.Visibility`, which is loaded only if counter health is enabled.
    """

    version: int
    epoch: int

    def apply(self, now: float, quota: CustomerQuota[Any]) -> None:
        """Configure a customer's buckets for the gateways that are visible now."""

    def is_isolated(self, quota: CustomerQuota[Any]) -> bool:
        """Whether none of the customer's other gateways is visible to this one."""

    def suppresses_calls(self, now: float, quota: CustomerQuota[Any]) -> bool:
        """Whether counter calls for the customer are suppressed."""

    def others_units(self, quota: CustomerQuota[Any], others: float) -> float:
        """Return how many of the units that a total attributes to other gateways are charged."""
