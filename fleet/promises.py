"""Small promises: a name and a value, kept by the fleet.  What an operator notes for later lies here; the laboratory
counts with them what a loss costs."""

from __future__ import annotations

from typing import Any, ClassVar

from fleet.errors import Crowded
from fleet.part import Applied, Command, View

MOST = 8192  # names in one group, so that a snapshot stays below 64 MiB; further ones are refused
MOST_NAME, MOST_VALUE = 128, 1024


class Promise(Command, frozen=True, kw_only=True):
    """Keep `value` under `name`; the answer is what was there before."""

    name: str
    value: str

    def key(self) -> str:
        return f"p:{self.name}"

    def fault(self) -> str:
        if not 0 < len(self.name) <= MOST_NAME:
            return f"name: expected 1 to {MOST_NAME} characters"
        return f"value: {MOST_VALUE} characters at the most" if len(self.value) > MOST_VALUE else ""


class PromiseRead(Command, frozen=True, kw_only=True):
    """The value under `name`, null where there is none: as of a moment between call and answer."""

    reads: ClassVar[bool] = True
    name: str

    def key(self) -> str:
        return f"p:{self.name}"


COMMANDS: tuple[type[Command], ...] = (Promise, PromiseRead)


class Promises:
    """The part of a group's state that holds them."""

    def __init__(self) -> None:
        self._kept: dict[str, str] = {}

    def apply(self, at_ms: float, command: Promise) -> Applied:
        """Take one in."""
        before = self._kept.get(command.name)
        if before is None and len(self._kept) >= MOST:
            return Applied(error=Crowded(command.name, f"{MOST} names are kept in this group already"))
        self._kept[command.name] = command.value
        return Applied(before)

    def look(self, command: PromiseRead) -> Applied:
        """Read one."""
        return Applied(self._kept.get(command.name))

    def work(self, view: View) -> list[Command]:
        """Nothing is left to do for a promise."""
        return []

    def seen(self, now: float) -> None:
        """No promise ends by time."""

    def dump(self) -> Any:
        """Plain data."""
        return self._kept

    def load(self, raw: Any) -> None:
        """From `dump`."""
        self._kept = dict(raw)
