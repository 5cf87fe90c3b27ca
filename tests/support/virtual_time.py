"""An event loop with real sockets and virtual time, for tests of long time limits."""

from __future__ import annotations

import asyncio
import selectors
import time
from collections.abc import Awaitable, Callable
from typing import Any

SETTLE_S = 0.0001  # real time; loopback delivers a write before the write call returns
TEST_TIMEOUT_S = 600.0  # virtual time


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer when no socket is ready."""

    def __init__(self) -> None:
        self.passed_s = 0.0
        super().__init__(selectors.DefaultSelector())
        selector: Any = self._selector  # type: ignore[attr-defined]
        real_select = selector.select

        def select(timeout: float | None = None) -> Any:
            if (events := real_select(0)) or timeout == 0:
                return events
            time.sleep(SETTLE_S)
            if not (events := real_select(0)) and timeout:
                self.passed_s += timeout
            return events

        selector.select = select

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.passed_s


def run_in_virtual_time(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test; raises TimeoutError if it takes longer than TEST_TIMEOUT_S of virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        runner.run(asyncio.wait_for(test(), TEST_TIMEOUT_S))


def max_in_window(times: list[float], window: float) -> int:
    """Return the largest number of times that lie in any window of that length."""
    return max((sum(at <= other < at + window for other in times) for at in times), default=0)
