"""When to send a request to another group again: after a pause that doubles with each attempt.

The ids of the requests make a repeat harmless, so they are repeated until the state shows that one was
answered and the request is not wanted any more.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

FIRST_RETRY_MS = 500.0
MAX_RETRY_MS = 30_000.0


@dataclass(frozen=True, slots=True)
class _Retry:
    next_ms: float
    pause_ms: float


class RetrySchedule:
    """The requests of one leader that are unanswered; not part of the replicated state."""

    def __init__(self) -> None:
        self._retries: dict[str, _Retry] = {}

    def due(self, wanted: Iterable[str], now: float) -> list[str]:
        """The ids of requests to send now (monotonic ms).  Ids that are not wanted are forgotten."""
        before, self._retries = self._retries, {}
        due: list[str] = []
        for request_id in wanted:
            retry = before.get(request_id, _Retry(now, FIRST_RETRY_MS))
            if now >= retry.next_ms:
                due.append(request_id)
                retry = _Retry(now + retry.pause_ms, min(2 * retry.pause_ms, MAX_RETRY_MS))
            self._retries[request_id] = retry
        return due

    def clear(self) -> None:
        """Forget all of them."""
        self._retries.clear()
