"""The clocks of a cluster member: a monotonic clock, and a wall clock derived from it."""

from __future__ import annotations

import time
from collections.abc import Callable


def boot_time_ms() -> float:
    """Monotonic time, ms; it includes the time that the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


class ClusterClock:
    """Reads the wall clock once, at the start, so that a later step of it has no effect."""

    def __init__(
        self,
        monotonic_ms: Callable[[], float] = boot_time_ms,
        unix_time_s: Callable[[], float] = time.time,
    ) -> None:
        self.monotonic_ms = monotonic_ms
        self._unix_offset_ms = unix_time_s() * 1000.0 - monotonic_ms()

    def unix_ms(self) -> float:
        """Unix time, ms: the wall clock at the start plus the monotonic time since."""
        return self.monotonic_ms() + self._unix_offset_ms
