"""Canonical text of any value, without the names of types and fields, for digests of behaviour.

A digest over a run's effects is recorded once and must stay equal after every change that only renames, moves
or adds types: a dataclass, a msgspec Struct, a NamedTuple and a plain tuple with the same values in the same
order have the same text, and so have an IntEnum and its number.
"""

from __future__ import annotations

import dataclasses
import hashlib
from collections.abc import Iterable, Mapping
from enum import Enum

import msgspec


def canonical(value: object) -> str:
    """Return the value as text: its contents in order, without the names of types and fields."""
    if isinstance(value, bool) or value is None:
        return repr(value)
    if isinstance(value, Enum):
        return (
            canonical(value.value) if isinstance(value, int | str) else f"#{list(type(value)).index(value)}"
        )
    if isinstance(value, int | float | str | bytes):
        base = next(kind for kind in (int, float, str, bytes) if isinstance(value, kind))
        return repr(base(value))  # type: ignore[arg-type]
    if isinstance(value, msgspec.Struct):
        return _sequence(getattr(value, name) for name in value.__struct_fields__)
    if dataclasses.is_dataclass(value):
        return _sequence(getattr(value, field.name) for field in dataclasses.fields(value))
    if isinstance(value, Mapping):
        return "{" + ",".join(f"{canonical(key)}:{canonical(item)}" for key, item in value.items()) + "}"
    if isinstance(value, set | frozenset):
        return "{" + ",".join(sorted(map(canonical, value))) + "}"
    if isinstance(value, Iterable):
        return _sequence(value)
    raise TypeError(f"no canonical form for {type(value).__name__}")


def _sequence(values: Iterable[object]) -> str:
    return "(" + ",".join(map(canonical, values)) + ")"


class Digest:
    """An incremental digest over values in the order in which they are added."""

    def __init__(self) -> None:
        self._hash = hashlib.sha256()
        self.count = 0

    def add(self, value: object) -> None:
        """Add a value to the digest."""
        self._hash.update(canonical(value).encode() + b"\n")
        self.count += 1

    def hexdigest(self) -> str:
        """Return the digest of the values added so far."""
        return self._hash.hexdigest()
