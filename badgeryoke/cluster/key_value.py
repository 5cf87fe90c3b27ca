"""A small replicated key-value store for operators' notes; the testbed uses it to detect lost writes."""

from __future__ import annotations

from typing import Any, ClassVar

from badgeryoke.cluster.errors import Overloaded
from badgeryoke.cluster.state_machine_part import ApplyResult, Command, LeaderView

MAX_BYTES = 16 * 1024 * 1024  # names and values of one group; leaves room for other parts in a snapshot
MIN_ENTRY_BYTES = 2048  # minimum size that an entry is accounted with, which limits a group to 8192 entries
ENTRY_OVERHEAD_BYTES = 8  # MessagePack headers of an entry in a snapshot
MAX_NAME_LENGTH = 128  # characters
MAX_VALUE_LENGTH = 1024  # characters


class PutValue(Command, frozen=True, kw_only=True, tag="Promise"):
    """Stores `value` under `name`; the answer is the previous value."""

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
    """Reads the value under `name`, null if there is none, as of a moment between call and answer (linearizable)."""

    is_read_only: ClassVar[bool] = True
    name: str

    def key(self) -> str:
        """See `Command.key`."""
        return f"p:{self.name}"


COMMANDS: tuple[type[Command], ...] = (PutValue, ReadValue)


def entry_bytes(name: str, value: str) -> int:
    """The size in bytes that an entry is accounted with."""
    return max(len(name.encode()) + len(value.encode()) + ENTRY_OVERHEAD_BYTES, MIN_ENTRY_BYTES)


class KeyValueStore:
    """The state machine's part for key-value entries."""

    def __init__(self) -> None:
        self._values: dict[str, str] = {}
        self._stored_bytes = 0

    def apply(self, at_ms: float, command: PutValue) -> ApplyResult:
        """Store a value; rejected with `Overloaded` if the group would exceed `MAX_BYTES`."""
        previous = self._values.get(command.name)
        freed_bytes = 0 if previous is None else entry_bytes(command.name, previous)
        added_bytes = entry_bytes(command.name, command.value) - freed_bytes
        if added_bytes > 0 and self._stored_bytes + added_bytes > MAX_BYTES:
            detail = f"{MAX_BYTES} bytes are kept in this group at the most"
            return ApplyResult(error=Overloaded(command.name, detail))
        self._values[command.name] = command.value
        self._stored_bytes += added_bytes
        return ApplyResult(previous)

    def query(self, command: ReadValue) -> ApplyResult:
        """Read a value."""
        return ApplyResult(self._values.get(command.name))

    def leader_tasks(self, view: LeaderView) -> list[Command]:
        """See `StateMachinePart.leader_tasks`; there are none for key-value entries."""
        return []

    def record_applied(self, now: float) -> None:
        """See `StateMachinePart.record_applied`; entries do not expire."""

    def dump(self) -> Any:
        """The values by name, as plain data for a snapshot."""
        return self._values

    def load(self, raw: Any) -> None:
        """Replace the whole state with what `dump` returned."""
        self._values = dict(raw)
        self._stored_bytes = sum(entry_bytes(name, value) for name, value in self._values.items())
