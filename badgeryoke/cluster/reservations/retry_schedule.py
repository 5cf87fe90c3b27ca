"""Retries of requests to another group, with a pause that doubles with each attempt.

Requests are idempotent by their ids, so they are repeated until the state shows that one was answered and the
request is no longer needed.
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
    """The unanswered requests of one leader; not part of the replicated state."""

    def __init__(self) -> None:
        self._retries: dict[str, _Retry] = {}

    def due(self, request_ids: Iterable[str], now: float) -> list[str]:
        """The ids, out of all that are still needed, to send now (monotonic ms).  Other ids are dropped."""
        previous, self._retries = self._retries, {}
        due: list[str] = []
        for request_id in request_ids:
            retry = previous.get(request_id, _Retry(now, FIRST_RETRY_MS))
            if now >= retry.next_ms:
                due.append(request_id)
                retry = _Retry(now + retry.pause_ms, min(2 * retry.pause_ms, MAX_RETRY_MS))
            self._retries[request_id] = retry
        return due

    def clear(self) -> None:
        """Drop all requests."""
        self._retries.clear()
