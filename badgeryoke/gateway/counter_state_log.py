"""Logs the state of the shared counter as assessed by the counter-health monitor."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from badgeryoke.decisions.counter_health.monitored_policy import MonitoredEngine

log = logging.getLogger(__name__)

HEALTHY_STATES = frozenset({"sound", "healed", "slow"})  # logged at level info, the others as warnings


def log_counter_changes(engine: MonitoredEngine) -> None:
    """Log each change of the counter's assessed state since the last call."""
    for change in engine.take_changes():
        level = logging.INFO if change.new.value in HEALTHY_STATES else logging.WARNING
        fields = {
            "old": change.old.value,
            "new": change.new.value,
            "sign": change.symptom.value,
            "hidden": list(change.hidden),
            "since_ms": round(change.at_ms, 1),
        }
        log.log(
            level,
            "counter believed %s: %s%s",
            change.new.value,
            change.symptom.value,
            f", gateways {list(change.hidden)}" if change.hidden else "",
            extra={"fields": fields},
        )
