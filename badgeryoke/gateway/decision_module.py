"""The dispatcher's interfaces to the decision module and to the quota counter.

Optional engines are loaded only if they are switched on, to save memory.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from badgeryoke.decisions import interface as api
from badgeryoke.decisions.policy.engine import DecisionEngine

if TYPE_CHECKING:
    from badgeryoke.decisions.counter_health.monitored_policy import MonitoredEngine


class Counter(Protocol):
    """The dispatcher's interface to the shared quota counter."""

    def add(
        self, name: int, units: float, ttl_ms: float, on_reply: Callable[[api.CounterReply], None]
    ) -> None:
        """Make one call; `on_reply` is called once, asynchronously."""


class DecisionModule(Protocol):
    """The decision engine, with or without a counter-health monitor."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Decide on one event at `now` (Unix ms); returns the actions to execute, in order."""

    def unavailable_server_count(self, now: float) -> int:
        """The number of listed servers that get no requests at present."""

    def update_settings(self, settings: api.Settings) -> None:
        """Apply new settings; requests in flight keep those that they began with."""


def decision_engine_type(with_reservations: bool) -> type[DecisionEngine]:
    """The engine's class; with reservations, the one that supports priority ranks."""
    if not with_reservations:
        return DecisionEngine
    from badgeryoke.decisions.priority_admission import PriorityDecisionEngine

    return PriorityDecisionEngine


def monitored_engine(settings: api.Settings, seed: int, engine_type: type[DecisionEngine]) -> MonitoredEngine:
    """An engine with a counter-health monitor."""
    from badgeryoke.decisions.counter_health.monitored_policy import MonitoredEngine

    return MonitoredEngine(settings, seed, engine_type)
