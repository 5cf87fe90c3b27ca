"""Plain counts of what the gateway has done since its start; rendered elsewhere, and only when asked."""

from __future__ import annotations

from collections.abc import Iterable

COMPLETED, REJECTED, FAILED = range(3)  # how a query ended: served, refused, failed


class Metrics:
    """The counts.  The core keeps them, each where the event happens."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.ended: dict[str, list[int]] = {}  # by class: counts under the three results
        self.attempts = 0  # written whole to a backend
        self.reloads = self.reload_errors = 0  # files taken, and turned down
        self.add_classes(classes)

    def add_classes(self, classes: Iterable[str]) -> None:
        """Classes of new settings; one that is dropped keeps its counts for as long as the process lives."""
        for name in classes:
            self.ended.setdefault(name, [0, 0, 0])

    def attempted(self) -> None:
        """An attempt's last byte is out."""
        self.attempts += 1
