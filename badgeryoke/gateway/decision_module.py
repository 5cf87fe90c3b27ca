"""The decision module and the counter, as the dispatcher sees them.

Optional engines are loaded only where they are switched on: they cost memory.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from badgeryoke.decisions import interface as api
from badgeryoke.decisions.policy.engine import DecisionEngine

if TYPE_CHECKING:
    from badgeryoke.decisions.counter_health.monitored_policy import MonitoredEngine


class Counter(Protocol):
    """The shared quota counter, as the dispatcher sees it."""

    def add(self, name: int, units: float, life_ms: float, done: Callable[[api.CounterReply], None]) -> None:
        """Make one call; `done` is called once, later."""


class DecisionModule(Protocol):
    """What decides: the engine, or the engine under a counter-health monitor."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Decide on one event at `now` (Unix ms); gives the actions to execute, in their order."""

    def unavailable_server_count(self, now: float) -> int:
        """How many of the listed servers get no requests now."""

    def update_settings(self, settings: api.Settings) -> None:
        """Decide by new settings; requests in flight keep what they began with."""


def decision_engine_type(with_reservations: bool) -> type[DecisionEngine]:
    """The engine to decide with; with reservations, one that knows priority ranks."""
    if not with_reservations:
        return DecisionEngine
    from badgeryoke.decisions.priority_admission import PriorityDecisionEngine

    return PriorityDecisionEngine


def monitored_engine(settings: api.Settings, seed: int, engine_type: type[DecisionEngine]) -> MonitoredEngine:
    """An engine under a counter-health monitor."""
    from badgeryoke.decisions.counter_health.monitored_policy import MonitoredEngine

    return MonitoredEngine(settings, seed, engine_type)
