"""Parses discovery's answers: validates the JSON of an endpoint list and converts it to typed values."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from badgeryoke.decisions.interface import EndpointState
from badgeryoke.gateway.address import Address, parse_address

# Bound on any number: up to here integers are exact in a float, and JSON numbers have no bound of their own.
MAX_NUMBER = 1e15
STATES = {"active": EndpointState.UP, "leaving": EndpointState.DRAINING, "left": EndpointState.GONE}
NO_ADDRESS: Address = ("", 0)  # address of an endpoint that is gone, whose entry may lack one


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One server as listed by discovery."""

    id: str
    address: Address
    zone: str
    kind: str
    cell: int
    state: EndpointState
    weight: float
    started_ms: float  # Unix time


@dataclass(frozen=True, slots=True)
class EndpointSnapshot:
    """An answer of discovery: the complete endpoint list, or the changes since a version."""

    version: int
    full: bool
    endpoints: tuple[Endpoint, ...]


def read_endpoint_snapshot(raw: object) -> EndpointSnapshot:
    """Validate an endpoint list, as parsed from its JSON; raises ValueError with the faulty key."""
    if not isinstance(raw, dict) or not isinstance(raw.get("servers"), list):
        raise ValueError("servers: expected a list")
    endpoints = [_read_endpoint(entry) for entry in raw["servers"]]
    return EndpointSnapshot(int(_read_number(raw, "version", 0)), raw.get("full") is True, tuple(endpoints))


def _read_endpoint(entry: object) -> Endpoint:
    if not isinstance(entry, dict):
        raise ValueError("servers: expected objects")
    endpoint_id, state = entry.get("id"), entry.get("state")
    if not isinstance(endpoint_id, str) or not isinstance(state, str) or state not in STATES:
        raise ValueError("servers: id or state missing or unknown")
    endpoint_state = STATES[state]
    return Endpoint(
        endpoint_id,
        _read_address(entry, endpoint_state),
        str(entry.get("zone", "")),
        str(entry.get("kind", "")),
        int(_read_number(entry, "cell", 0)),
        endpoint_state,
        _read_number(entry, "weight", 1.0),
        _read_number(entry, "started_ms", 0),
    )


def _read_address(entry: Mapping[str, object], state: EndpointState) -> Address:
    if state is EndpointState.GONE and "addr" not in entry:
        return NO_ADDRESS
    try:
        return parse_address(str(entry.get("addr")))
    except ValueError as error:
        raise ValueError(f"servers: addr: {error}") from None


def _read_number(entry: Mapping[str, object], key: str, default: float) -> float:
    value = entry.get(key, default)
    if (
        isinstance(value, bool)
        or not isinstance(value, int | float)
        or not -MAX_NUMBER <= value <= MAX_NUMBER
    ):
        raise ValueError(f"{key}: expected a number")
    return float(value)
