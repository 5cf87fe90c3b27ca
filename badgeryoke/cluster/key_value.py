"""A small replicated key-value store: notes of operators, and what the testbed counts losses with."""

from __future__ import annotations

from typing import Any, ClassVar

from badgeryoke.cluster.errors import Overloaded
from badgeryoke.cluster.state_machine_part import ApplyResult, Command, LeaderView

MAX_BYTES = 16 * 1024 * 1024  # of all names and values in one group, a part of what a snapshot may take
MIN_ENTRY_BYTES = 2048  # what an entry counts for at least: so there are 8192 at most
ENTRY_OVERHEAD_BYTES = 8  # of an entry's headers in a snapshot
MAX_NAME_LENGTH = 128  # characters
MAX_VALUE_LENGTH = 1024  # characters


class PutValue(Command, frozen=True, kw_only=True, tag="Promise"):
    """Stores `value` under `name`; the answer is the value before."""

    name: str
    value: str

    def key(self) -> str:
        """See `Command.key`."""
        return f"p:{self.name}"

    def validate(self) -> str:
        """See `Command.validate`."""
        if not 0 < len(self.name) <= MAX_NAME_LENGTH:
            return f"name: expected 1 to {MAX_NAME_LENGTH} characters"
        if len(self.value) > MAX_VALUE_LENGTH:
            return f"value: {MAX_VALUE_LENGTH} characters at the most"
        return ""


class ReadValue(Command, frozen=True, kw_only=True, tag="PromiseRead"):
    """Reads the value under `name`, null where there is none: as of a moment between call and answer."""

    reads: ClassVar[bool] = True
    name: str

    def key(self) -> str:
        """See `Command.key`."""
        return f"p:{self.name}"


COMMANDS: tuple[type[Command], ...] = (PutValue, ReadValue)


def entry_bytes(name: str, value: str) -> int:
    """What an entry counts for."""
    return max(len(name.encode()) + len(value.encode()) + ENTRY_OVERHEAD_BYTES, MIN_ENTRY_BYTES)


class KeyValueStore:
    """The state machine's part for key-value entries."""

    def __init__(self) -> None:
        self._values: dict[str, str] = {}
        self._stored_bytes = 0

    def apply(self, at_ms: float, command: PutValue) -> ApplyResult:
        """Store a value; rejected with `Overloaded` where the group's bound is reached."""
        before = self._values.get(command.name)
        freed_bytes = 0 if before is None else entry_bytes(command.name, before)
        added_bytes = entry_bytes(command.name, command.value) - freed_bytes
        if added_bytes > 0 and self._stored_bytes + added_bytes > MAX_BYTES:
            detail = f"{MAX_BYTES} bytes are kept in this group at the most"
            return ApplyResult(error=Overloaded(command.name, detail))
        self._values[command.name] = command.value
        self._stored_bytes += added_bytes
        return ApplyResult(before)

    def query(self, command: ReadValue) -> ApplyResult:
        """Read a value."""
        return ApplyResult(self._values.get(command.name))

    def leader_tasks(self, view: LeaderView) -> list[Command]:
        """A leader has nothing to do for entries."""
        return []

    def seen(self, now: float) -> None:
        """No entry expires."""

    def dump(self) -> Any:
        """The stored form, as plain data: values by name."""
        return self._values

    def load(self, raw: Any) -> None:
        """Replace all by what `dump` gave."""
        self._values = dict(raw)
        self._stored_bytes = sum(entry_bytes(name, value) for name, value in self._values.items())
