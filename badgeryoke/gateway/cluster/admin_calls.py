"""The FLEET call: one JSON object in, a command for the fleet out; and its answer as one line.

    FLEET {"do": "put", "id": "7f3a", "name": "payday", "value": "armed"}
    +OK null
    -ERR {"error": "no-leader", "whom": "g3", "what": "...", "do": "...", "retry": true}

`do` names a command as its type does, in any case, with or without hyphens ("PromiseRead", "promise-read").
"""

from __future__ import annotations

import difflib
import secrets
from typing import Any

import msgspec

from badgeryoke.cluster.errors import ClusterError, InvalidCall
from badgeryoke.cluster.state_machine.command_registry import REGISTRY
from badgeryoke.cluster.state_machine.part import ApplyResult, Command

MOST_CALL = 64 * 1024  # bytes of a line
MOST_ID = 128
STATUS = "status"
# What an operator may ask for; all others are the fleet's own, and would break its order.
OPERATORS = frozenset(
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
ALSO = {"put": "promise", "get": "promiseread", "cancel": "cancelcontract", "read": "contractsread"}


def _plain(word: str) -> str:
    return word.replace("-", "").replace("_", "").lower()


def known() -> dict[str, type[Command]]:
    """The operators' commands that this program has, by their plain names."""
    return {_plain(name): kind for name, kind in REGISTRY.commands.items() if name in OPERATORS}


def read_call(raw: bytes) -> Command | InvalidCall | str:
    """The command, or what is wrong; STATUS for that one."""
    try:
        given: Any = msgspec.json.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as fault:
        return InvalidCall("call", f"expected one JSON object on the line: {fault}")
    if not isinstance(given, dict):
        return InvalidCall("call", f"expected one JSON object on the line, got {str(given)[:64]!r}")
    word = given.pop("do", None) or given.pop("call", None)
    if not isinstance(word, str):
        return InvalidCall("do", "missing: the name of a call")
    plain, kinds = _plain(word), known()
    plain = ALSO.get(plain, plain)
    if plain == STATUS:
        return STATUS
    kind = kinds.get(plain)
    if kind is None:
        names = [STATUS, *sorted(one.command_name() for one in kinds.values())]
        close = difflib.get_close_matches(word[:64], names, 1)
        return InvalidCall(
            "do",
            f"{word[:64]!r} is unknown; "
            + (f"did you mean {close[0]}?" if close else f"known are {', '.join(names)}"),
        )
    fields = [field.encode_name for field in msgspec.structs.fields(kind)]
    for key in given:
        if key not in fields:
            close = difflib.get_close_matches(key[:64], fields, 1)
            return InvalidCall(
                key[:64],
                "unknown; " + (f"did you mean {close[0]}?" if close else f"known are {', '.join(fields)}"),
            )
    if kind.reads:
        given.setdefault("id", secrets.token_hex(8))
    elif "id" not in given:
        return InvalidCall("id", "missing: with an id of its own the call can be made again without harm")
    try:
        made: Command = msgspec.convert(given, kind)
    except msgspec.ValidationError as fault:
        problem, _, at = str(fault).replace("`", "").partition(" - at $")
        return InvalidCall(at.lstrip(".") or "call", problem)
    if not 0 < len(made.id) <= MOST_ID:
        return InvalidCall("id", f"expected 1 to {MOST_ID} characters")
    if problem := made.validate():
        key, colon, what = problem.partition(": ")
        return InvalidCall(key if colon else "call", what if colon else problem)
    return made


def line_of(result: ApplyResult | ClusterError) -> bytes:
    """The answer, one line."""
    error = result if isinstance(result, ClusterError) else result.error
    if error is None:
        assert isinstance(result, ApplyResult)
        return b"+OK " + msgspec.json.encode(result.value) + b"\n"
    return (
        b"-ERR "
        + msgspec.json.encode(
            {
                **msgspec.to_builtins(error),
                "error": error.code,
                "do": error.remedy,
                "retry": error.is_retryable,
            }
        )
        + b"\n"
    )
