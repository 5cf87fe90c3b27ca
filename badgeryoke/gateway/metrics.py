"""The gateway's counters since its start; `badgeryoke.gateway.admin.rendering` renders them on request."""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum


class RequestResult(IntEnum):
    """How a request ended; the position of its count in `Metrics.finished`."""

    COMPLETED = 0
    REJECTED = 1
    FAILED = 2


class Metrics:
    """The counters, incremented where the events happen."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.finished: dict[str, list[int]] = {}  # by class: counts, indexed by RequestResult
        self.attempts_sent = 0  # attempts written completely to a server
        self.reloads = self.reload_errors = 0  # configurations applied, and rejected
        self.add_classes(classes)

    def add_classes(self, classes: Iterable[str]) -> None:
        """Add the classes of new settings; a class that is dropped keeps its counts until the process ends."""
        for name in classes:
            self.finished.setdefault(name, [0] * len(RequestResult))

    def attempt_sent(self) -> None:
        """Count an attempt whose last byte has been written."""
        self.attempts_sent += 1
