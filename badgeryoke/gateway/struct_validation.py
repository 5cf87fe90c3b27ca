"""Validates parsed TOML against msgspec structs and reports all faults at once, each with its key.

msgspec itself stops at the first fault and does not suggest the key that was probably meant.
"""

from __future__ import annotations

import difflib
from collections.abc import Mapping
from typing import TypeGuard

import msgspec


def unknown_keys(raw: Mapping[str, object], struct: type[msgspec.Struct], path: str) -> list[str]:
    """A fault for every key that the struct does not have, with the closest key that it has."""
    fields = {field.encode_name: field.type for field in msgspec.structs.fields(struct)}
    faults = []
    for key, value in raw.items():
        if key not in fields:
            nearest = difflib.get_close_matches(key, list(fields), 1)
            hint = (
                f"did you mean {path}{nearest[0]}?" if nearest else f"known are {', '.join(sorted(fields))}"
            )
            faults.append(f"{path}{key}: unknown; {hint}")
            continue
        field_type = fields[key]
        if isinstance(value, dict) and _is_struct(field_type):
            faults += unknown_keys(value, field_type, f"{path}{key}.")
    return faults


def malformed_values(raw: Mapping[str, object], struct: type[msgspec.Struct], path: str) -> list[str]:
    """A fault for every value that cannot be converted to its field's type."""
    faults = []
    for field in msgspec.structs.fields(struct):
        if field.encode_name not in raw:
            continue
        value, field_type = raw[field.encode_name], field.type
        if isinstance(value, dict) and _is_struct(field_type):
            faults += malformed_values(value, field_type, f"{path}{field.encode_name}.")
            continue
        try:
            msgspec.convert(value, field_type)
        except msgspec.ValidationError as error:
            problem = str(error).replace("`", "").split(" - at ")[0]
            faults.append(f"{path}{field.encode_name}: {problem}, got {value!r}")
    return faults


def _is_struct(field_type: object) -> TypeGuard[type[msgspec.Struct]]:
    return isinstance(field_type, type) and issubclass(field_type, msgspec.Struct)
