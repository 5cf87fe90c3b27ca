"""Reading single values of a parsed file; each raises ConfigError with the key at fault."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from badgeryoke.gateway.address import Address, parse_address
from badgeryoke.gateway.config.errors import ConfigError

MAX_NUMBER = 1e12


def read_address(key: str, value: object) -> Address:
    """An `IP:PORT`."""
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
    """A number within bounds, or the default where the table lacks it."""
    value = table.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not minimum <= value <= maximum:
        raise ConfigError(f"{key}.{name}: expected a number from {minimum:g} to {maximum:g}, got {value!r}")
    return float(value)


def read_table(key: str, value: object) -> dict[str, Any]:
    """An object of JSON or a table of TOML; Any, since its values are still to be validated."""
    if not isinstance(value, dict):
        raise ConfigError(f"{key}: expected an object")
    return value
