"""The clocks of a cluster member: one that never steps, and a wall clock derived from it."""

from __future__ import annotations

import time
from collections.abc import Callable


def boot_time_ms() -> float:
    """This machine's clock that never steps, and goes on while the machine is suspended, ms."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


class ClusterClock:
    """Reads the wall clock once, at the start: a later step of it moves nothing."""

    def __init__(
        self,
        monotonic_ms: Callable[[], float] = boot_time_ms,
        unix_time_s: Callable[[], float] = time.time,
    ) -> None:
        self.monotonic_ms = monotonic_ms
        self._unix_less_monotonic_ms = unix_time_s() * 1000.0 - monotonic_ms()

    def unix_ms(self) -> float:
        """Unix time, ms, as of the start."""
        return self.monotonic_ms() + self._unix_less_monotonic_ms
