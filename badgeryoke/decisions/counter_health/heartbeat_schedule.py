"""When a gateway sends its heartbeats."""

from __future__ import annotations

import math

from badgeryoke.decisions.counter_health.presence_register import (
    GATEWAYS_PER_REGISTER,
    HEARTBEAT_INTERVAL_MS,
)

MIN_HEARTBEAT_GAP_MS = 0.25 * HEARTBEAT_INTERVAL_MS
BACKOFF_MULTIPLIER = 2.0  # growth of the heartbeat interval when a full queue rejects a heartbeat
MAX_BACKOFF = 8.0  # as a multiple of the heartbeat interval


class HeartbeatSchedule:
    """Aligns heartbeats with the wall clock at a different phase for each gateway, so that every other gateway
    sends a heartbeat between two readings by this one."""

    def __init__(self, gateway_index: int, gateway_count: int) -> None:
        slots = min(gateway_count, GATEWAYS_PER_REGISTER)
        self._phase_ms = HEARTBEAT_INTERVAL_MS * (gateway_index % GATEWAYS_PER_REGISTER) / slots
        self._backoff = 1.0
        self._heartbeat_at = -math.inf

    @property
    def is_backing_off(self) -> bool:
        """Whether the last heartbeat was rejected by a full queue."""
        return self._backoff > 1.0

    def back_off(self) -> None:
        """Increase the interval: customers' calls have precedence at an overloaded counter."""
        self._backoff = min(self._backoff * BACKOFF_MULTIPLIER, MAX_BACKOFF)

    def reset_backoff(self) -> None:
        """Return to the normal interval."""
        self._backoff = 1.0

    def next_at(self, now: float) -> float:
        """When the next heartbeat is due."""
        backoff_ms = HEARTBEAT_INTERVAL_MS * self._backoff
        interval_number = math.floor((now - self._phase_ms) / HEARTBEAT_INTERVAL_MS) + 1
        at = interval_number * HEARTBEAT_INTERVAL_MS + self._phase_ms
        if at - now < MIN_HEARTBEAT_GAP_MS:  # the timer fired early, or the clock was set back
            at += HEARTBEAT_INTERVAL_MS
        return at if backoff_ms <= HEARTBEAT_INTERVAL_MS else at + backoff_ms - HEARTBEAT_INTERVAL_MS

    def start(self, now: float) -> bool:
        """Begin a heartbeat; False where the last one is too recent, for instance after the clock was set back."""
        if now - self._heartbeat_at < MIN_HEARTBEAT_GAP_MS:
            return False
        self._heartbeat_at = now
        return True
