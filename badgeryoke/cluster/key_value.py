"""Small promises: a name and a value, kept by the fleet.  What an operator notes for later lies here; the
laboratory counts with them what a loss costs."""

from __future__ import annotations

from typing import Any, ClassVar

from badgeryoke.cluster.errors import Overloaded
from badgeryoke.cluster.state_machine.part import ApplyResult, Command, LeaderView

MOST_BYTES = (
    16 * 1024 * 1024
)  # of all names and values in one group, a part of what a snapshot takes; more are refused
LEAST_BYTES = 2048  # what a name and its value count for at the least: 8192 names are kept at the most
MOST_NAME, MOST_VALUE = 128, 1024


class PutValue(Command, frozen=True, kw_only=True, tag="Promise"):
    """Keep `value` under `name`; the answer is what was there before."""

    name: str
    value: str

    def key(self) -> str:
        return f"p:{self.name}"

    def validate(self) -> str:
        if not 0 < len(self.name) <= MOST_NAME:
            return f"name: expected 1 to {MOST_NAME} characters"
        return f"value: {MOST_VALUE} characters at the most" if len(self.value) > MOST_VALUE else ""


class ReadValue(Command, frozen=True, kw_only=True, tag="PromiseRead"):
    """The value under `name`, null where there is none: as of a moment between call and answer."""

    reads: ClassVar[bool] = True
    name: str

    def key(self) -> str:
        return f"p:{self.name}"


COMMANDS: tuple[type[Command], ...] = (PutValue, ReadValue)


def _bytes(name: str, value: str) -> int:
    """What they count for."""
    return max(len(name.encode()) + len(value.encode()) + 8, LEAST_BYTES)  # 8: their heads in a snapshot


class KeyValueStore:
    """The part of a group's state that holds them."""

    def __init__(self) -> None:
        self._kept: dict[str, str] = {}
        self._held = 0  # bytes

    def apply(self, at_ms: float, command: PutValue) -> ApplyResult:
        """Take one in."""
        before = self._kept.get(command.name)
        more = _bytes(command.name, command.value) - (0 if before is None else _bytes(command.name, before))
        if more > 0 and self._held + more > MOST_BYTES:
            return ApplyResult(
                error=Overloaded(command.name, f"{MOST_BYTES} bytes are kept in this group at the most")
            )
        self._kept[command.name] = command.value
        self._held += more
        return ApplyResult(before)

    def query(self, command: ReadValue) -> ApplyResult:
        """Read one."""
        return ApplyResult(self._kept.get(command.name))

    def leader_tasks(self, view: LeaderView) -> list[Command]:
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
        self._held = sum(_bytes(name, value) for name, value in self._kept.items())
