"""Decides whether hidden gateways are dead or on another side of a partition."""

from __future__ import annotations

from badgeryoke.decisions.counter_health.counter_state import Symptom
from badgeryoke.decisions.counter_health.request_rate import (
    CLIENTS_MOVED_FRACTION,
    CLIENTS_STAYED_FRACTION,
    RequestRateMonitor,
)

# How long gateways must be hidden before a partition is distinguished from a dead gateway.  Clients leave a dead
# gateway within 3 s.  The rest is longer than a customer's traffic takes to move between gateways, which would look
# the same.
PARTITION_DECISION_MS = 15_000.0


class HiddenGatewayDiagnosis:
    """Tracks since when gateways are hidden, and whether their clients have moved here since."""

    def __init__(self) -> None:
        self.request_rate = RequestRateMonitor()
        self._hidden_since: dict[int, float] = {}

    def update_hidden(self, now: float, hidden: tuple[int, ...]) -> None:
        """Update which gateways are hidden now."""
        for gateway in list(self._hidden_since):
            if gateway not in hidden:
                del self._hidden_since[gateway]
        if hidden and not self._hidden_since:
            self.request_rate.set_usual_rate()
        for gateway in hidden:
            self._hidden_since.setdefault(gateway, now)

    def find_symptom(self, now: float, hidden_count: int, known_count: int) -> Symptom:
        """The symptom; at least one known neighbour must be hidden."""
        if hidden_count == known_count and hidden_count > 1:
            return Symptom.ALL_HIDDEN
        if now - min(self._hidden_since.values()) < PARTITION_DECISION_MS:
            return Symptom.SOME_HIDDEN
        moved = self.request_rate.clients_moved(hidden_count, known_count)
        if moved > CLIENTS_MOVED_FRACTION:
            return Symptom.HIDDEN_CLIENTS_MOVED
        return Symptom.HIDDEN_CLIENTS_STAYED if moved < CLIENTS_STAYED_FRACTION else Symptom.SOME_HIDDEN
