"""A group's state machine: its parts, the group's own time, and the answers to commands already applied.

The cluster's own group holds contracts, placement and rolling restarts.  Every other group holds the keys that hash to
it: guaranteed rates of tenants, connection limits of servers, key-value entries and unreported usage.
"""

from __future__ import annotations

from typing import Any

import msgspec

from badgeryoke.cluster.errors import DuplicateId, InvalidCall
from badgeryoke.cluster.invariants import Invariants, Rule
from badgeryoke.cluster.state_machine.command_registry import REGISTRY, decode_command
from badgeryoke.cluster.state_machine.remembered_answers import RememberedAnswers, command_checksum
from badgeryoke.cluster.state_machine_part import FLEET, ApplyResult, Command, LeaderView
from badgeryoke.cluster.timings import Timings


class GroupStateMachine:
    """The state of one group.  `at_ms` is the group's own time (Unix ms), `index` the last applied index."""

    def __init__(self, group: str, timings: Timings, invariants: Invariants) -> None:
        self.group, self._invariants = group, invariants
        factories = REGISTRY.cluster_parts if group == FLEET else REGISTRY.group_parts
        self.parts: dict[str, Any] = {name: make(timings, invariants) for name, make in factories.items()}
        self.at_ms = 0.0
        self.index = 0
        self.answers = RememberedAnswers()

    def apply(self, now: float, index: int, body: bytes) -> ApplyResult:
        """Apply one entry; `now` is this machine's monotonic clock (ms).  Raises only for a violated invariant."""
        self._invariants.check(
            Rule.APPLIED_ONCE, index > self.index, lambda: f"{self.group}: {index} after {self.index}"
        )
        self.index = index
        try:
            at_ms, command = decode_command(body)
        except msgspec.DecodeError as fault:
            return ApplyResult(error=InvalidCall(self.group, f"an entry that cannot be read: {fault}"))
        self.at_ms = max(self.at_ms, at_ms)
        checksum = command_checksum(command)
        if command.remembers_answer and (remembered := self.answers.get(command.id)) is not None:
            if remembered.checksum != checksum:
                return ApplyResult(error=DuplicateId(command.id, "another call has it"))
            return remembered.result()
        return self._apply_new(now, command, checksum)

    def _apply_new(self, now: float, command: Command, checksum: int) -> ApplyResult:
        part = self._part_for(command)
        if part is None:
            return self._not_for_group(command)
        result: ApplyResult = part.apply(self.at_ms, command)
        part.record_applied(now)
        # A rejected command changed nothing and may be retried, so its answer is not remembered.
        if command.remembers_answer and result.error is None:
            self._invariants.check(Rule.ID_ONCE, command.id not in self.answers, lambda: command.id)
            self.answers.add(command.id, checksum, result)
        return result

    def _part_for(self, command: Command) -> Any:
        """The part that handles a command; None if this group has no such part."""
        return self.parts.get(REGISTRY.part_of[type(command)])

    def _not_for_group(self, command: Command) -> ApplyResult:
        detail = f"{command.command_name()} is not for group {self.group}"
        return ApplyResult(error=InvalidCall(command.id, detail))

    def query(self, command: Command) -> ApplyResult:
        """Answer a command that only reads."""
        part = self._part_for(command)
        if part is None or not command.is_read_only:
            return self._not_for_group(command)
        result: ApplyResult = part.query(command)
        return result

    def leader_tasks(self, view: LeaderView) -> list[Command]:
        """The commands that the leader has to propose now."""
        return [command for part in self.parts.values() for command in part.leader_tasks(view)]

    def dump(self) -> bytes:
        """Encode a snapshot of the whole state in MessagePack."""
        parts = {name: part.dump() for name, part in self.parts.items()}
        return msgspec.msgpack.encode([self.at_ms, self.index, self.answers.dump(), parts])

    def restore(self, now: float, body: bytes) -> None:
        """Replace the state with a snapshot; a part that is missing in an older version's snapshot is kept as it is."""
        self.at_ms, self.index, answers, parts = msgspec.msgpack.decode(body)
        self.answers.restore(answers)
        for name, part in self.parts.items():
            if name in parts:
                part.load(parts[name])
                part.record_applied(now)
