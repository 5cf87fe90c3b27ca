"""Rate limit on error reports, by peer and kind of error."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from badgeryoke.cluster.errors import ClusterError
from badgeryoke.cluster.messages import member_name

MAX_REMEMBERED_ERRORS = 256
REPORT_INTERVAL_S = 600.0


class ErrorReporter:
    """Passes errors on to `report`, rate-limited by peer and error code."""

    def __init__(self, report: Callable[[ClusterError], None]) -> None:
        self._report = report
        # By peer and code, oldest first; on the event loop's clock.
        self._reported_at_s: dict[tuple[str, str], float] = {}

    def report(self, error: ClusterError) -> None:
        """Report an error, unless one of the same peer and code was reported within `REPORT_INTERVAL_S`."""
        key = member_name(error.subject), error.code
        now_s = asyncio.get_running_loop().time()
        if key in self._reported_at_s and now_s - self._reported_at_s[key] < REPORT_INTERVAL_S:
            return
        if len(self._reported_at_s) >= MAX_REMEMBERED_ERRORS:
            del self._reported_at_s[next(iter(self._reported_at_s))]
        self._reported_at_s[key] = now_s
        self._report(error)
