"""Reads the operators' own file, deploy/badgeryoke.toml, which enables optional features.

The configuration that the platform provides is read by `platform_file`.  If this file is absent or empty, all
optional features are off.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any, Literal

import msgspec

from badgeryoke.gateway.struct_validation import malformed_values, unknown_keys

OPERATORS_FILE = "badgeryoke.toml"
MAX_FILE_BYTES = 1024 * 1024


class OperatorsError(Exception):
    """An invalid file; `faults` has one line per fault, which names the key."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


class CounterWatch(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Health monitoring of the quota counter, at no more than two calls per second."""

    enabled: bool = False


class Log(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The format of log lines, and the lowest level that is logged."""

    format: Literal["text", "json"] = "text"
    level: Literal["debug", "info", "warning", "error"] = "info"


class Operators(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The complete file."""

    counter_watch: CounterWatch = CounterWatch()
    log: Log = Log()
    # A badgeryoke.gateway.cluster.settings.ClusterSettings, or None if the cluster is off.  Annotated as Any
    # because msgspec resolves annotations at run time, and the cluster's modules are only loaded if it is on.
    fleet: Any = None


def read_operators(path: Path, all_sections: bool = False) -> Operators:
    """Read the file at `path`; return the defaults if it is absent.  Raises OperatorsError with all faults.

    A disabled [fleet] section is validated only with `all_sections`, since that loads the cluster's libraries.
    """
    try:
        text = path.read_bytes()[:MAX_FILE_BYTES].decode()
        raw = tomllib.loads(text)
    except FileNotFoundError:
        return Operators()
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise OperatorsError([f"{path.name}: {error}"]) from None
    fleet_section = raw.pop("fleet", {})
    faults = unknown_keys(raw, Operators, "") + malformed_values(raw, Operators, "")
    fleet = None
    if not isinstance(fleet_section, dict):
        faults.append(f"fleet: expected a table, got {fleet_section!r}")
    elif fleet_section.get("enabled", False) is not False or (
        all_sections and set(fleet_section) > {"enabled"}
    ):
        from badgeryoke.gateway.cluster.settings import read_cluster_settings

        fleet, fleet_faults = read_cluster_settings(fleet_section)
        faults += fleet_faults
    if faults:
        raise OperatorsError([f"{path.name}: {fault}" for fault in faults])
    return msgspec.convert(
        {**raw, "fleet": fleet if fleet is not None and fleet.enabled else None}, Operators
    )
