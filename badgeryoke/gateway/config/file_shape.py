"""Which keys a configuration file has: a file that is read again must not lack keys of the one before."""

from __future__ import annotations

from collections.abc import Mapping

# The keys of an object, with the shape of each value; None for a value that is no object.  Of a list of
# objects, the keys that all of them have.
FileShape = Mapping[str, "FileShape"] | None

OPTIONAL_KEYS = frozenset({"known", "seed", "mgmt", "aim_stretch"})  # may be absent from a later file


def shape_of(value: object) -> FileShape:
    """The keys that a file read later has to have as well."""
    if isinstance(value, dict):
        return {key: shape_of(inner) for key, inner in value.items() if key not in OPTIONAL_KEYS}
    if isinstance(value, list) and value and all(isinstance(entry, dict) for entry in value):
        common = set.intersection(*(set(entry) for entry in value))
        return {key: shape_of(value[0][key]) for key in sorted(common - OPTIONAL_KEYS)}
    return None


def first_missing_key(old: FileShape, new: FileShape, path: str = "") -> str | None:
    """The first key of the old file that the new one lacks, as a dotted path; None where it lacks none."""
    for key, inner in (old or {}).items():
        if new is None or key not in new:
            return path + key
        if (missing := first_missing_key(inner, new[key], f"{path}{key}.")) is not None:
            return missing
    return None
