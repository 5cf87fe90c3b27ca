"""Functions that read single values of a parsed file; they raise ConfigError with the key at fault."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from badgeryoke.gateway.address import Address, parse_address
from badgeryoke.gateway.config.errors import ConfigError

MAX_NUMBER = 1e12


def read_address(key: str, value: object) -> Address:
    """Parse an `IP:PORT`."""
    try:
        return parse_address(str(value))
    except ValueError as error:
        raise ConfigError(f"{key}: {error}") from None


def read_number(
    key: str,
    table: Mapping[str, object],
    name: str,
    default: float,
    minimum: float,
    maximum: float = MAX_NUMBER,
) -> float:
    """Return table[name], a number within bounds, or the default; `key` is the path of the table."""
    value = table.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not minimum <= value <= maximum:
        raise ConfigError(f"{key}.{name}: expected a number from {minimum:g} to {maximum:g}, got {value!r}")
    return float(value)


def read_table(key: str, value: object) -> dict[str, Any]:
    """Return a JSON object or a TOML table; its values are Any because they are not validated yet."""
    if not isinstance(value, dict):
        raise ConfigError(f"{key}: expected an object")
    return value
