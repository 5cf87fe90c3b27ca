"""Plain counts of what the gateway has done since its start; rendered elsewhere, and only when asked."""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum


class RequestResult(IntEnum):
    """How a request ended; the position of its count in `Metrics.finished`."""

    COMPLETED = 0
    REJECTED = 1
    FAILED = 2


class Metrics:
    """The counts.  The dispatcher keeps them, each where the event happens."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.finished: dict[str, list[int]] = {}  # by class: counts, indexed by RequestResult
        self.attempts_sent = 0  # written completely to a server
        self.reloads = self.reload_errors = 0  # configurations that were applied, and rejected
        self.add_classes(classes)

    def add_classes(self, classes: Iterable[str]) -> None:
        """Classes of new settings; one that is dropped keeps its counts for as long as the process lives."""
        for name in classes:
            self.finished.setdefault(name, [0] * len(RequestResult))

    def attempt_sent(self) -> None:
        """An attempt's last byte has been written."""
        self.attempts_sent += 1
