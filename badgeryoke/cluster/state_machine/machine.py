"""What a group's log is applied to: its parts, the group's own time, and which ids were taken.

The fleet's own group holds admission, who copies what, and rolls; every other group holds what hashing gives
it: floors of tenants, connections of servers, promises, units owed.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable
from functools import reduce
from operator import or_
from typing import Any

import msgspec

from badgeryoke.cluster import key_value, unreported_usage
from badgeryoke.cluster.connection_limits.commands import CONNECTION_LIMIT_COMMANDS
from badgeryoke.cluster.connection_limits.limits import ConnectionLimits
from badgeryoke.cluster.errors import DuplicateId, InvalidCall
from badgeryoke.cluster.invariants import Invariants, Rule
from badgeryoke.cluster.placement import directory
from badgeryoke.cluster.reservations.admission import ContractRegistry
from badgeryoke.cluster.reservations.commands import FLEET_COMMANDS, TENANT_COMMANDS
from badgeryoke.cluster.reservations.guaranteed_rates import GuaranteedRates
from badgeryoke.cluster.rolling_restart.commands import ROLLING_RESTART_COMMANDS
from badgeryoke.cluster.rolling_restart.waves import RollingRestarts
from badgeryoke.cluster.state_machine.part import FLEET, ApplyResult, Command, LeaderView
from badgeryoke.cluster.timings import Timings

# of calls that are remembered with their answers; the oldest goes first, and then a repeat is new
MOST_IDS = 8192
MOST_ANSWERS = (
    8 * 1024 * 1024
)  # bytes of their answers, a part of what a snapshot takes: the oldest goes first, too
MOST_BODY = 256 * 1024


class CommandRegistry:
    """Which part takes which command, in the fleet's own group and in the others."""

    def __init__(self) -> None:
        self.commands: dict[str, type[Command]] = {}
        self.own: dict[str, Callable[[Timings, Invariants], Any]] = {}
        self.others: dict[str, Callable[[Timings, Invariants], Any]] = {}
        self.part_of: dict[type[Command], str] = {}

    def add(
        self,
        name: str,
        commands: tuple[type[Command], ...],
        make: Callable[[Timings, Invariants], Any],
        own: bool,
    ) -> None:
        """Hang in a part under a name that snapshots go by."""
        (self.own if own else self.others)[name] = make
        for command in commands:
            self.commands[command.command_name()] = command
            self.part_of[command] = name


REGISTRY = CommandRegistry()
REGISTRY.add("promises", key_value.COMMANDS, lambda timings, rules: key_value.KeyValueStore(), False)
REGISTRY.add("placing", directory.COMMANDS, directory.PlacementDirectory, True)
REGISTRY.add("contracts", FLEET_COMMANDS, ContractRegistry, True)
REGISTRY.add("rolls", ROLLING_RESTART_COMMANDS, lambda timings, rules: RollingRestarts(rules), True)
REGISTRY.add("floors", TENANT_COMMANDS, GuaranteedRates, False)
REGISTRY.add(
    "connections",
    CONNECTION_LIMIT_COMMANDS,
    lambda timings, rules: ConnectionLimits(rules, timings),
    False,
)
REGISTRY.add(
    "owed",
    unreported_usage.UNREPORTED_USAGE_COMMANDS,
    lambda timings, rules: unreported_usage.UnreportedUsage(),
    False,
)

_encoder = msgspec.msgpack.Encoder()
_decoder: Any = None


def encode(at_ms: float, command: Command) -> bytes:
    """An entry's body: the leader's time, Unix ms, and the command."""
    return _encoder.encode([at_ms, command])


def decode(body: bytes) -> tuple[float, Command]:
    """The reverse; raises msgspec.DecodeError."""
    global _decoder
    if _decoder is None:
        union: Any = reduce(or_, REGISTRY.commands.values())
        _decoder = msgspec.msgpack.Decoder(tuple[float, union])
    made: tuple[float, Command] = _decoder.decode(body)
    return made


def command_from(name: str, fields: dict[str, Any]) -> Command | InvalidCall:
    """A command from an operator's words, checked."""
    kind = REGISTRY.commands.get(name)
    if kind is None:
        return InvalidCall(name[:64], f"unknown; known are {', '.join(sorted(REGISTRY.commands))}")
    try:
        made = msgspec.convert(fields, kind)
    except msgspec.ValidationError as fault:
        return InvalidCall(name, str(fault).replace("`", ""))
    problem = made.validate()
    return InvalidCall(name, problem) if problem else made


class GroupStateMachine:
    """One group's state, as a replica's machine."""

    def __init__(self, group: str, timings: Timings, rules: Invariants) -> None:
        self.group, self._rules = group, rules
        made = REGISTRY.own if group == FLEET else REGISTRY.others
        self.parts: dict[str, Any] = {name: make(timings, rules) for name, make in made.items()}
        self.at_ms = 0.0  # the group's own time, Unix ms
        self.index = 0
        self._ids: dict[str, tuple[int, bytes]] = {}  # of the command, and its answer
        self._answers = 0  # bytes of them

    def apply(self, now: float, index: int, body: bytes) -> ApplyResult:
        """One entry.  Never raises but for a broken invariant."""
        self._rules.check(
            Rule.APPLIED_ONCE, index > self.index, lambda: f"{self.group}: {index} after {self.index}"
        )
        self.index = index
        try:
            at_ms, command = decode(body)
        except msgspec.DecodeError as fault:
            return ApplyResult(error=InvalidCall(self.group, f"an entry that cannot be read: {fault}"))
        self.at_ms = max(self.at_ms, at_ms)
        crc = zlib.crc32(_encoder.encode(command))
        if command.once and (known := self._ids.get(command.id)) is not None:
            if known[0] != crc:
                return ApplyResult(error=DuplicateId(command.id, "another call has it"))
            return msgspec.msgpack.decode(known[1], type=ApplyResult)
        part = self.parts.get(REGISTRY.part_of[type(command)])
        if part is None:
            return ApplyResult(
                error=InvalidCall(command.id, f"{command.command_name()} is not for group {self.group}")
            )
        result: ApplyResult = part.apply(self.at_ms, command)
        part.seen(now)
        if command.once and result.error is None:  # what was refused changed nothing, and may be asked again
            self._rules.check(Rule.ID_ONCE, command.id not in self._ids, lambda: command.id)
            answer = _encoder.encode(result)
            self._ids[command.id] = crc, answer
            self._answers += len(answer)
            self._forget()
        return result

    def _forget(self) -> None:
        """The oldest answers, beyond the bounds.  What is left depends on the order of calls alone, so
        that all copies forget the same, and one that was restored as well: from an older build's snapshot
        there may be too many."""
        while len(self._ids) > MOST_IDS or self._answers > MOST_ANSWERS:
            self._answers -= len(self._ids.pop(next(iter(self._ids)))[1])

    def query(self, command: Command) -> ApplyResult:
        """Answer a command that only reads."""
        part = self.parts.get(REGISTRY.part_of[type(command)])
        if part is None or not command.reads:
            return ApplyResult(
                error=InvalidCall(command.id, f"{command.command_name()} is not for group {self.group}")
            )
        found: ApplyResult = part.query(command)
        return found

    def leader_tasks(self, view: LeaderView) -> list[Command]:
        """What the leader has to propose now."""
        return [command for part in self.parts.values() for command in part.leader_tasks(view)]

    def dump(self) -> bytes:
        """A snapshot."""
        return _encoder.encode(
            [
                self.at_ms,
                self.index,
                [[name, *known] for name, known in self._ids.items()],
                {name: part.dump() for name, part in self.parts.items()},
            ]
        )

    def restore(self, now: float, body: bytes) -> None:
        """From a snapshot."""
        at_ms, index, ids, parts = msgspec.msgpack.decode(body)
        self.at_ms, self.index = at_ms, index
        self._ids = {name: (crc, answer) for name, crc, answer in ids}
        self._answers = sum(len(answer) for _, answer in self._ids.values())
        self._forget()
        for name, part in self.parts.items():
            if name in parts:
                part.load(parts[name])
                part.seen(now)
