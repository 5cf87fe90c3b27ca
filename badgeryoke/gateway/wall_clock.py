"""The gateway's clock: Unix time that never runs backwards."""

from __future__ import annotations

import math
from collections.abc import Callable

RESYNC_INTERVAL_S = 5.0
CATCH_UP_RATE = 0.5  # of its usual pace, while the clock is ahead of the system's time


class WallClock:
    """Unix time in milliseconds that never runs backwards: gateways agree on it for the counter's periods.

    It runs on the monotonic clock and is set by the system's time every few seconds, so that a step of the
    latter moves no deadline backwards.  After a step back it runs slow until it has been overtaken: standing
    still it would refill no quota and end no call for as long as the step was.

    Both clocks that it is given count seconds.
    """

    def __init__(self, monotonic: Callable[[], float], unix: Callable[[], float]) -> None:
        self._monotonic, self._unix = monotonic, unix
        self._offset_s, self._synced_at_s = 0.0, -math.inf
        self._last_ms, self._read_at_s = 0.0, math.inf

    def __call__(self) -> float:
        """The time now, Unix ms."""
        now_s = self._monotonic()
        if now_s - self._synced_at_s >= RESYNC_INTERVAL_S:
            self._offset_s, self._synced_at_s = self._unix() - now_s, now_s
        elapsed_ms = max(now_s - self._read_at_s, 0.0) * 1000.0
        minimum_ms = self._last_ms + elapsed_ms * CATCH_UP_RATE
        self._last_ms, self._read_at_s = max((now_s + self._offset_s) * 1000.0, minimum_ms), now_s
        return self._last_ms
