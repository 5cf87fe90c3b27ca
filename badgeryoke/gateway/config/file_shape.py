"""Compares the keys of configuration files: on a reload, the file must still have all keys of the previous one."""

from __future__ import annotations

from collections.abc import Mapping

# The keys of an object, with the shape of each value; for a list of objects, the keys common to all of them;
# None for any other value.
FileShape = Mapping[str, "FileShape"] | None

OPTIONAL_KEYS = frozenset({"known", "seed", "mgmt", "aim_stretch"})  # a reloaded file may omit them


def shape_of(value: object) -> FileShape:
    """Return the keys that a reloaded file must have."""
    if isinstance(value, dict):
        return {key: shape_of(inner) for key, inner in value.items() if key not in OPTIONAL_KEYS}
    if isinstance(value, list) and value and all(isinstance(entry, dict) for entry in value):
        common = set.intersection(*(set(entry) for entry in value))
        return {key: shape_of(value[0][key]) for key in sorted(common - OPTIONAL_KEYS)}
    return None


def first_missing_key(old: FileShape, new: FileShape, path: str = "") -> str | None:
    """Return the first key that only the old file has, as a dotted path; None if there is none."""
    for key, inner in (old or {}).items():
        if new is None or key not in new:
            return path + key
        if (missing := first_missing_key(inner, new[key], f"{path}{key}.")) is not None:
            return missing
    return None
