"""The gateway's clock: Unix time that never runs backwards."""

from __future__ import annotations

import math
from collections.abc import Callable

RESYNC_INTERVAL_S = 5.0
CATCH_UP_RATE = 0.5  # rate relative to the monotonic clock while the clock is ahead of the system time


class WallClock:
    """Unix time in milliseconds that never runs backwards; gateways share it for the counter's periods.

    It follows the monotonic clock and is synchronized with the system time every few seconds, so that a step of the
    system time moves no deadline backwards.  After a step back it runs slowly until the system time has caught up:
    if it stood still, no quota would be refilled and no call would time out for the length of the step.

    Both clocks passed in count seconds.
    """

    def __init__(self, monotonic: Callable[[], float], unix: Callable[[], float]) -> None:
        self._monotonic, self._unix = monotonic, unix
        self._offset_s, self._synced_at_s = 0.0, -math.inf
        self._last_ms, self._read_at_s = 0.0, math.inf

    def __call__(self) -> float:
        """The current time, Unix ms."""
        now_s = self._monotonic()
        if now_s - self._synced_at_s >= RESYNC_INTERVAL_S:
            self._offset_s, self._synced_at_s = self._unix() - now_s, now_s
        elapsed_ms = max(now_s - self._read_at_s, 0.0) * 1000.0
        minimum_ms = self._last_ms + elapsed_ms * CATCH_UP_RATE
        self._last_ms, self._read_at_s = max((now_s + self._offset_s) * 1000.0, minimum_ms), now_s
        return self._last_ms
