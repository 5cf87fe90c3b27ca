"""Small promises: a name and a value, kept by the fleet.  What an operator notes for later lies here; the
laboratory counts with them what a loss costs."""

from __future__ import annotations

from typing import Any, ClassVar

from badgeryoke.cluster.errors import Overloaded
from badgeryoke.cluster.state_machine.part import ApplyResult, Command, LeaderView

MAX_BYTES = (
    16 * 1024 * 1024
)  # of all names and values in one group, a part of what a snapshot takes; more are refused
MIN_ENTRY_BYTES = 2048  # what a name and its value count for at the least: 8192 names are kept at the most
MAX_NAME_LENGTH, MAX_VALUE_LENGTH = 128, 1024


class PutValue(Command, frozen=True, kw_only=True, tag="Promise"):
    """Keep `value` under `name`; the answer is what was there before."""

    name: str
    value: str

    def key(self) -> str:
        return f"p:{self.name}"

    def validate(self) -> str:
        if not 0 < len(self.name) <= MAX_NAME_LENGTH:
            return f"name: expected 1 to {MAX_NAME_LENGTH} characters"
        return (
            f"value: {MAX_VALUE_LENGTH} characters at the most" if len(self.value) > MAX_VALUE_LENGTH else ""
        )


class ReadValue(Command, frozen=True, kw_only=True, tag="PromiseRead"):
    """The value under `name`, null where there is none: as of a moment between call and answer."""

    reads: ClassVar[bool] = True
    name: str

    def key(self) -> str:
        return f"p:{self.name}"


COMMANDS: tuple[type[Command], ...] = (PutValue, ReadValue)


def entry_bytes(name: str, value: str) -> int:
    """What they count for."""
    return max(len(name.encode()) + len(value.encode()) + 8, MIN_ENTRY_BYTES)  # 8: their heads in a snapshot


class KeyValueStore:
    """The part of a group's state that holds them."""

    def __init__(self) -> None:
        self._values: dict[str, str] = {}
        self._stored_bytes = 0  # bytes

    def apply(self, at_ms: float, command: PutValue) -> ApplyResult:
        """Take one in."""
        before = self._values.get(command.name)
        more = entry_bytes(command.name, command.value) - (
            0 if before is None else entry_bytes(command.name, before)
        )
        if more > 0 and self._stored_bytes + more > MAX_BYTES:
            return ApplyResult(
                error=Overloaded(command.name, f"{MAX_BYTES} bytes are kept in this group at the most")
            )
        self._values[command.name] = command.value
        self._stored_bytes += more
        return ApplyResult(before)

    def query(self, command: ReadValue) -> ApplyResult:
        """Read one."""
        return ApplyResult(self._values.get(command.name))

    def leader_tasks(self, view: LeaderView) -> list[Command]:
        """Nothing is left to do for a promise."""
        return []

    def seen(self, now: float) -> None:
        """No promise ends by time."""

    def dump(self) -> Any:
        """Plain data."""
        return self._values

    def load(self, raw: Any) -> None:
        """From `dump`."""
        self._values = dict(raw)
        self._stored_bytes = sum(entry_bytes(name, value) for name, value in self._values.items())
