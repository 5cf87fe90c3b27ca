"""The operators' own file, deploy/badgeryoke.toml: what an installation switches on.

What the platform configures is read by `platform_file`.  Without this file, or with an empty one, everything
is off.
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
    """A file that cannot be used: one line for each fault, each with the key to mend."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


class CounterWatch(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Health monitoring of the quota counter, at no more than two calls a second."""

    enabled: bool = False


class Log(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The format and the least severe level of log lines."""

    format: Literal["text", "json"] = "text"
    level: Literal["debug", "info", "warning", "error"] = "info"


class Operators(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The complete file."""

    counter_watch: CounterWatch = CounterWatch()
    log: Log = Log()
    # badgeryoke.gateway.cluster.settings.ClusterSettings, or None where the cluster is off.  Any: msgspec
    # resolves the annotation at run time, and the cluster's modules are not loaded where it is off.
    fleet: Any = None


def read_operators(path: Path, all_sections: bool = False) -> Operators:
    """The file at a path; defaults where it is absent.  Raises OperatorsError with all faults.

    A [fleet] section that is switched off is validated with `all_sections` only: that loads the cluster's
    libraries.
    """
    try:
        text = path.read_bytes()[:MAX_FILE_BYTES].decode()
        raw = tomllib.loads(text)
    except FileNotFoundError:
        return Operators()
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise OperatorsError([f"{path.name}: {error}"]) from None
    section = raw.pop("fleet", {})
    faults = unknown_keys(raw, Operators, "") + malformed_values(raw, Operators, "")
    fleet = None
    if not isinstance(section, dict):
        faults.append(f"fleet: expected a table, got {section!r}")
    elif section.get("enabled", False) is not False or (all_sections and set(section) > {"enabled"}):
        from badgeryoke.gateway.cluster.settings import read_cluster_settings

        fleet, fleet_faults = read_cluster_settings(section)
        faults += fleet_faults
    if faults:
        raise OperatorsError([f"{path.name}: {fault}" for fault in faults])
    return msgspec.convert(
        {**raw, "fleet": fleet if fleet is not None and fleet.enabled else None}, Operators
    )
