"""The operators' own file, deploy/badgeryoke.toml: checked into typed values, every fault named by its key.

What the platform tells stands elsewhere (`config`); here stands what an installation switches on.  Without
the file, or with it empty, everything is off.
"""

from __future__ import annotations

import difflib
import tomllib
from pathlib import Path
from typing import Any, Literal

import msgspec

NAME = "badgeryoke.toml"
MOST_BYTES = 1024 * 1024


class OperatorsError(Exception):
    """A file that cannot be used: one line a fault, each naming its key."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


class CounterWatch(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Watching over the quota counter.  Its calls: no more than two a second."""

    enabled: bool = False


class Log(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What log lines look like."""

    format: Literal["text", "json"] = "text"
    level: Literal["debug", "info", "warning", "error"] = "info"


class Operators(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file."""

    counter_watch: CounterWatch = CounterWatch()
    log: Log = Log()
    # badgeryoke.gateway.cluster.settings.ClusterSettings where it is switched on; loaded with it alone
    fleet: Any = None


def unknown(raw: dict[str, Any], kind: type[msgspec.Struct], path: str) -> list[str]:
    """Every key that is not known, each with the nearest that is."""
    fields = {field.encode_name: field.type for field in msgspec.structs.fields(kind)}
    faults = []
    for key, value in raw.items():
        if key not in fields:
            close = difflib.get_close_matches(key, list(fields), 1)
            hint = f"did you mean {path}{close[0]}?" if close else f"known are {', '.join(sorted(fields))}"
            faults.append(f"{path}{key}: unknown; {hint}")
        elif (
            isinstance(value, dict)
            and isinstance(fields[key], type)
            and issubclass(fields[key], msgspec.Struct)
        ):
            faults += unknown(value, fields[key], f"{path}{key}.")
    return faults


def wrong(raw: dict[str, Any], kind: type[msgspec.Struct], path: str) -> list[str]:
    """Every value of the wrong form, looked at one by one so that all are told at once."""
    faults = []
    for field in msgspec.structs.fields(kind):
        if field.encode_name not in raw:
            continue
        value, inner = raw[field.encode_name], field.type
        if isinstance(inner, type) and issubclass(inner, msgspec.Struct) and isinstance(value, dict):
            faults += wrong(value, inner, f"{path}{field.encode_name}.")
            continue
        try:
            msgspec.convert(value, inner)
        except msgspec.ValidationError as fault:
            problem = str(fault).replace("`", "").split(" - at ")[0]
            faults.append(f"{path}{field.encode_name}: {problem}, got {value!r}")
    return faults


def read_operators(path: Path, all_sections: bool = False) -> Operators:
    """The file at a path; defaults where there is none.  Raises OperatorsError with all faults.

    What is switched off and costs a library to read, [fleet], is looked at with `all_sections` only.
    """
    try:
        text = path.read_bytes()[:MOST_BYTES].decode()
    except FileNotFoundError:
        return Operators()
    except (OSError, UnicodeDecodeError) as fault:
        raise OperatorsError([f"{path.name}: {fault}"]) from None
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as fault:
        raise OperatorsError([f"{path.name}: {fault}"]) from None
    section = raw.pop("fleet", {})
    faults = unknown(raw, Operators, "") + wrong(raw, Operators, "")
    fleet = None
    if not isinstance(section, dict):
        faults.append(f"fleet: expected a table, got {section!r}")
    elif section.get("enabled", False) is not False or (all_sections and set(section) > {"enabled"}):
        from badgeryoke.gateway.cluster.settings import read_cluster_settings

        fleet, found = read_cluster_settings(section)
        faults += found
    if faults:
        raise OperatorsError([f"{path.name}: {fault}" for fault in faults])
    return msgspec.convert(
        {**raw, "fleet": fleet if fleet is not None and fleet.enabled else None}, Operators
    )
