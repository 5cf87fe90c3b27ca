"""The operators' FLEET call: parses one JSON object into a cluster command, and formats the answer line.

    FLEET {"do": "put", "id": "7f3a", "name": "payday", "value": "armed"}
    +OK null
    -ERR {"error": "no-leader", "whom": "g3", "what": "...", "do": "...", "retry": true}

`do` names a command by its tag, in any case, with or without hyphens ("PromiseRead", "promise-read").
"""

from __future__ import annotations

import difflib
import secrets
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import msgspec

from badgeryoke.cluster.errors import ClusterError, InvalidCall
from badgeryoke.cluster.state_machine.command_registry import REGISTRY
from badgeryoke.cluster.state_machine_part import ApplyResult, Command

MAX_ID_CHARS = 128
_MAX_QUOTED_CHARS = 64  # length to which an error cuts a call's invalid text
_GENERATED_ID_BYTES = 8
_STATUS_NAME = "status"
# Tags of the commands that operators may send.  All others are internal to the cluster: sent from outside, they would
# violate its protocols.
_OPERATOR_COMMAND_TAGS = frozenset(
    {
        "Promise",
        "PromiseRead",
        "Capacity",
        "Propose",
        "Change",
        "CancelContract",
        "ContractsRead",
        "RollAsk",
        "RollCancel",
        "RollResume",
        "RollRead",
        "RollsRead",
        "Places",
        "Limit",
        "Unlimit",
    }
)
_ALIASES = {"put": "promise", "get": "promiseread", "cancel": "cancelcontract", "read": "contractsread"}


@dataclass(frozen=True, slots=True)
class StatusRequest:
    """A request for the status of this member."""


def operator_commands() -> dict[str, type[Command]]:
    """The commands that operators may send, by normalized name."""
    return {
        _normalized(tag): command_type
        for tag, command_type in REGISTRY.commands.items()
        if tag in _OPERATOR_COMMAND_TAGS
    }


def parse_call(line: bytes) -> Command | StatusRequest | InvalidCall:
    """Parse a call, or return what is wrong with it."""
    fields = _decode_object(line)
    if isinstance(fields, InvalidCall):
        return fields
    name = fields.pop("do", None) or fields.pop("call", None)
    if not isinstance(name, str):
        return InvalidCall("do", "missing: the name of a call")
    normalized = _normalized(name)
    normalized = _ALIASES.get(normalized, normalized)
    if normalized == _STATUS_NAME:
        return StatusRequest()
    commands = operator_commands()
    if normalized not in commands:
        known_names = [
            _STATUS_NAME,
            *sorted(command_type.command_name() for command_type in commands.values()),
        ]
        quoted = name[:_MAX_QUOTED_CHARS]
        return InvalidCall("do", f"{quoted!r} is unknown; {_hint(quoted, known_names)}")
    return _parse_command(fields, commands[normalized])


def format_answer(result: ApplyResult | ClusterError) -> bytes:
    """Format the answer line of a call."""
    error = result if isinstance(result, ClusterError) else result.error
    if error is None:
        assert isinstance(result, ApplyResult)
        return b"+OK " + msgspec.json.encode(result.value) + b"\n"
    fields = {
        **msgspec.to_builtins(error),
        "error": error.code,
        "do": error.remedy,
        "retry": error.is_retryable,
    }
    return b"-ERR " + msgspec.json.encode(fields) + b"\n"


def _normalized(name: str) -> str:
    return name.replace("-", "").replace("_", "").lower()


def _hint(word: str, known: Sequence[str]) -> str:
    """Suggest the closest known word, or list all of them."""
    nearest = difflib.get_close_matches(word, known, 1)
    return f"did you mean {nearest[0]}?" if nearest else f"known are {', '.join(known)}"


# The values of a decoded object are `Any` until `_parse_command` converts them.


def _decode_object(line: bytes) -> dict[str, Any] | InvalidCall:
    try:
        decoded: Any = msgspec.json.decode(line)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as fault:
        return InvalidCall("call", f"expected one JSON object on the line: {fault}")
    if not isinstance(decoded, dict):
        quoted = str(decoded)[:_MAX_QUOTED_CHARS]
        return InvalidCall("call", f"expected one JSON object on the line, got {quoted!r}")
    return decoded


def _parse_command(fields: dict[str, Any], command_type: type[Command]) -> Command | InvalidCall:
    """Convert the fields to a command of a type, or return the invalid key."""
    known_keys = [field.encode_name for field in msgspec.structs.fields(command_type)]
    for key in fields:
        if key not in known_keys:
            quoted = key[:_MAX_QUOTED_CHARS]
            return InvalidCall(quoted, f"unknown; {_hint(quoted, known_keys)}")
    if command_type.is_read_only:
        fields.setdefault("id", secrets.token_hex(_GENERATED_ID_BYTES))
    elif "id" not in fields:
        return InvalidCall("id", "missing: with an id of its own the call can be made again without harm")
    try:
        command: Command = msgspec.convert(fields, command_type)
    except msgspec.ValidationError as fault:
        problem, _, path = str(fault).replace("`", "").partition(" - at $")
        return InvalidCall(path.lstrip(".") or "call", problem)
    return _validated(command)


def _validated(command: Command) -> Command | InvalidCall:
    if not 0 < len(command.id) <= MAX_ID_CHARS:
        return InvalidCall("id", f"expected 1 to {MAX_ID_CHARS} characters")
    if problem := command.validate():
        key, colon, detail = problem.partition(": ")
        return InvalidCall(key, detail) if colon else InvalidCall("call", problem)
    return command
