"""A dispatcher under a clock that is moved by hand, before one recording upstream."""

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
        self.cancelled = True


class FakeLoop:
    """A loop whose time passes only in run()."""

    def __init__(self) -> None:
        self._now, self._count = 0.0, 0
        self._due: list[tuple[float, int, FakeTimerHandle, Callable[..., object], tuple[Any, ...]]] = []

    def time(self) -> float:
        return self._now

    def clock(self) -> float:
        return NOW_MS + self._now * 1000.0

    def call_soon(self, callback: Callable[..., object], *args: Any) -> Any:
        return self.call_later(0.0, callback, *args)

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> Any:
        handle = FakeTimerHandle()
        self._count += 1
        heapq.heappush(self._due, (self._now + delay, self._count, handle, callback, args))
        return handle

    def run(self, seconds: float = 0.0) -> None:
        until = self._now + seconds
        while self._due and self._due[0][0] <= until:
            at, _, handle, callback, args = heapq.heappop(self._due)
            self._now = max(at, self._now)
            if not handle.cancelled:
                callback(*args)
        self._now = until


class RecordingUpstream:
    """An upstream that keeps the attempts it was given."""

    def __init__(self) -> None:
        self.attempts: list[Attempt] = []

    def start(self, execution: Attempt) -> None:
        self.attempts.append(execution)


class NoCounter:
    """A counter that must not be called."""

    def add(self, *_: object) -> None:
        raise AssertionError("no counter here")


class DispatcherBench:
    """A dispatcher with one server and no counter."""

    def __init__(self, **changes: Any) -> None:
        self.loop, self.upstream = FakeLoop(), RecordingUpstream()
        made = settings(
            has_counter=False, classes=(IDEMPOTENT_CLASS, KEYED_CLASS, NOT_IDEMPOTENT_CLASS), **changes
        )
        self.dispatcher = Dispatcher(
            made, 1, ActorScheduler(self.loop), self.loop.clock, lambda _: self.upstream, NoCounter()
        )
        self.dispatcher.update_endpoints(
            api.EndpointList(api.ListScope.FULL, (api.Server(1, "a", "std", 0, api.EndpointState.UP),))
        )
        self.responses: list[Response] = []
        self.submitted = 0

    def submit(self, cls: str = "balance-check", d: float = 2000.0, **more: Any) -> Callable[[], None]:
        self.submitted += 1
        asked = Request(f"r{self.submitted}", cls, "free", 5, d, 1.0, 1, **more)
        left = self.dispatcher.submit(asked, self.responses.append)
        self.loop.run()
        return left

    @property
    def last_attempt(self) -> Attempt:
        return self.upstream.attempts[-1]
