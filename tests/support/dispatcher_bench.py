"""A dispatcher with a manual clock and one recording upstream."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

from badgeryoke.decisions import interface as api
from badgeryoke.gateway.actor import ActorScheduler
from badgeryoke.gateway.attempt import Attempt, Request
from badgeryoke.gateway.dispatcher import Dispatcher
from badgeryoke.gateway.responses import Response
from tests.support.stand_ins import NOW_MS, settings

IDEMPOTENT_CLASS = api.RequestClass("balance-check", 400.0, 2000.0, api.Idempotency.IDEMPOTENT)
KEYED_CLASS = api.RequestClass(
    "load-send", 750.0, 2000.0, api.Idempotency.WITH_KEY, api.DeduplicationScope.ALL, 1000.0
)
NOT_IDEMPOTENT_CLASS = api.RequestClass("once", 750.0, 2000.0, api.Idempotency.NOT_IDEMPOTENT)


class FakeTimerHandle:
    """A timer that can be cancelled."""

    def __init__(self) -> None:
        self.cancelled = False

    def cancel(self) -> None:
        """Cancel the timer."""
        self.cancelled = True


class FakeLoop:
    """An event loop whose time advances only in run()."""

    def __init__(self) -> None:
        self._now, self._count = 0.0, 0
        self._due: list[tuple[float, int, FakeTimerHandle, Callable[..., object], tuple[Any, ...]]] = []

    def time(self) -> float:
        """Return the loop's time in seconds."""
        return self._now

    def clock(self) -> float:
        """Return the wall clock time in ms."""
        return NOW_MS + self._now * 1000.0

    def call_soon(self, callback: Callable[..., object], *args: Any) -> Any:
        """Schedule a callback for the next run()."""
        return self.call_later(0.0, callback, *args)

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> Any:
        """Schedule a callback after a delay."""
        handle = FakeTimerHandle()
        self._count += 1
        heapq.heappush(self._due, (self._now + delay, self._count, handle, callback, args))
        return handle

    def run(self, seconds: float = 0.0) -> None:
        """Advance the time and call the callbacks that are due."""
        until = self._now + seconds
        while self._due and self._due[0][0] <= until:
            at, _, handle, callback, args = heapq.heappop(self._due)
            self._now = max(at, self._now)
            if not handle.cancelled:
                callback(*args)
        self._now = until


class RecordingUpstream:
    """An upstream that records its attempts."""

    def __init__(self) -> None:
        self.attempts: list[Attempt] = []

    def start(self, execution: Attempt) -> None:
        """Record an attempt."""
        self.attempts.append(execution)


class NoCounter:
    """A counter that must not be called."""

    def add(self, *_: object) -> None:
        """Fail the test."""
        raise AssertionError("the counter was called")


class DispatcherBench:
    """A dispatcher with one server and no counter."""

    def __init__(self, **changes: Any) -> None:
        self.loop, self.upstream = FakeLoop(), RecordingUpstream()
        bench_settings = settings(
            has_counter=False, classes=(IDEMPOTENT_CLASS, KEYED_CLASS, NOT_IDEMPOTENT_CLASS), **changes
        )
        self.dispatcher = Dispatcher(
            bench_settings,
            1,
            ActorScheduler(self.loop),
            self.loop.clock,
            lambda _: self.upstream,
            NoCounter(),
        )
        self.dispatcher.update_endpoints(
            api.EndpointList(api.ListScope.FULL, (api.Server(1, "a", "std", 0, api.EndpointState.UP),))
        )
        self.responses: list[Response] = []
        self.submitted = 0

    def submit(self, cls: str = "balance-check", d: float = 2000.0, **fields: Any) -> Callable[[], None]:
        """Submit a request with the deadline `d` (ms); returns what the client's disconnect calls."""
        self.submitted += 1
        request = Request(f"r{self.submitted}", cls, "free", 5, d, 1.0, 1, **fields)
        disconnect = self.dispatcher.submit(request, self.responses.append)
        self.loop.run()
        return disconnect

    @property
    def last_attempt(self) -> Attempt:
        """The attempt started last."""
        return self.upstream.attempts[-1]
