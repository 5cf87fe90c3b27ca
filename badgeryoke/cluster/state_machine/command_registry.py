"""Maps commands to the parts of the state machine that handle them, and encodes and decodes commands."""

from __future__ import annotations

from collections.abc import Callable
from functools import cached_property, reduce
from operator import or_
from typing import Any

import msgspec

from badgeryoke.cluster import key_value, unreported_usage
from badgeryoke.cluster.connection_limits.commands import CONNECTION_LIMIT_COMMANDS
from badgeryoke.cluster.connection_limits.limits import ConnectionLimits
from badgeryoke.cluster.errors import InvalidCall
from badgeryoke.cluster.invariants import Invariants
from badgeryoke.cluster.placement import commands as placement_commands
from badgeryoke.cluster.placement import directory
from badgeryoke.cluster.reservations.admission import ContractRegistry
from badgeryoke.cluster.reservations.commands import FLEET_COMMANDS, TENANT_COMMANDS
from badgeryoke.cluster.reservations.guaranteed_rates import GuaranteedRates
from badgeryoke.cluster.rolling_restart.commands import ROLLING_RESTART_COMMANDS
from badgeryoke.cluster.rolling_restart.waves import RollingRestarts
from badgeryoke.cluster.state_machine_part import Command, PartName
from badgeryoke.cluster.timings import Timings

MAX_QUOTED_NAME_LENGTH = 64  # an unknown command's name is truncated to this many characters in the error

# Creates an empty part.  The result is `Any` because each part accepts only its own command types.
PartFactory = Callable[[Timings, Invariants], Any]


class CommandRegistry:
    """The parts of the cluster's own group and of all other groups, with their commands."""

    def __init__(self) -> None:
        self.commands: dict[str, type[Command]] = {}  # by stored name
        self.cluster_parts: dict[PartName, PartFactory] = {}
        self.group_parts: dict[PartName, PartFactory] = {}
        self.part_of: dict[type[Command], PartName] = {}

    def register_cluster_part(
        self, name: PartName, commands: tuple[type[Command], ...], factory: PartFactory
    ) -> None:
        """Add a part of the cluster's own group; leader tasks and snapshots use the order of registration."""
        self.cluster_parts[name] = factory
        self._add_commands(name, commands)

    def register_group_part(
        self, name: PartName, commands: tuple[type[Command], ...], factory: PartFactory
    ) -> None:
        """Add a part of all other groups; the order counts as in `register_cluster_part`."""
        self.group_parts[name] = factory
        self._add_commands(name, commands)

    def _add_commands(self, name: PartName, commands: tuple[type[Command], ...]) -> None:
        for command in commands:
            self.commands[command.command_name()] = command
            self.part_of[command] = name

    @cached_property
    def decoder(self) -> msgspec.msgpack.Decoder[tuple[float, Command]]:
        """The decoder of entry bodies, created at its first use, when all commands are registered."""
        union: Any = reduce(or_, self.commands.values())
        return msgspec.msgpack.Decoder(tuple[float, union])


REGISTRY = CommandRegistry()
REGISTRY.register_group_part(
    PartName.KEY_VALUE, key_value.COMMANDS, lambda timings, invariants: key_value.KeyValueStore()
)
REGISTRY.register_cluster_part(PartName.PLACEMENT, placement_commands.COMMANDS, directory.PlacementDirectory)
REGISTRY.register_cluster_part(PartName.CONTRACTS, FLEET_COMMANDS, ContractRegistry)
REGISTRY.register_cluster_part(
    PartName.ROLLING_RESTARTS,
    ROLLING_RESTART_COMMANDS,
    lambda timings, invariants: RollingRestarts(invariants),
)
REGISTRY.register_group_part(PartName.GUARANTEED_RATES, TENANT_COMMANDS, GuaranteedRates)
REGISTRY.register_group_part(
    PartName.CONNECTION_LIMITS,
    CONNECTION_LIMIT_COMMANDS,
    lambda timings, invariants: ConnectionLimits(invariants, timings),
)
REGISTRY.register_group_part(
    PartName.UNREPORTED_USAGE,
    unreported_usage.UNREPORTED_USAGE_COMMANDS,
    lambda timings, invariants: unreported_usage.UnreportedUsage(),
)

_encoder = msgspec.msgpack.Encoder()


def encode_command(at_ms: float, command: Command) -> bytes:
    """Encode the body of an entry: the time of the leader (Unix ms) and the command."""
    return _encoder.encode([at_ms, command])


def decode_command(body: bytes) -> tuple[float, Command]:
    """The inverse of `encode_command`; raises msgspec.DecodeError for any other input."""
    return REGISTRY.decoder.decode(body)


def parse_command(name: str, fields: dict[str, Any]) -> Command | InvalidCall:
    """Build and validate a command from an operator's call, with its fields as parsed from JSON."""
    command_type = REGISTRY.commands.get(name)
    if command_type is None:
        known = ", ".join(sorted(REGISTRY.commands))
        return InvalidCall(name[:MAX_QUOTED_NAME_LENGTH], f"unknown; known are {known}")
    try:
        command = msgspec.convert(fields, command_type)
    except msgspec.ValidationError as fault:
        return InvalidCall(name, str(fault).replace("`", ""))
    problem = command.validate()
    return InvalidCall(name, problem) if problem else command
