"""The [fleet] section of the operators' file: conversion to typed values, and a message with its key for each fault.

The field names are the keys of the file, which are a public interface.
"""

from __future__ import annotations

import importlib.util
import re
from collections import Counter
from collections.abc import Iterable
from typing import Any

import msgspec

from badgeryoke.cluster.timings import Timings
from badgeryoke.cluster.timings import find_problems as find_timing_problems
from badgeryoke.gateway.address import parse_address
from badgeryoke.gateway.struct_validation import malformed_values, unknown_keys

MAX_MEMBERS = 256
MAX_GROUPS = 256
MAX_CONNECTIONS = 65_535  # connections to one server
REPLICA_COUNTS = (3, 5, 1)  # 1 is for trials: acknowledged writes are lost with the one machine
_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,47}")
_NAME_RULE = "expected 1 to 48 letters, digits, '.', '_' or '-'"
_GROUP_PATTERN = re.compile(r"fleet|g\d{1,3}")


class MemberEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One gateway of the cluster."""

    name: str
    hall: str  # zone
    address: str  # IP:PORT for connections between members; this gateway listens on its own


class Servers(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The maximum number of connections to a server, over all gateways; 0: unlimited."""

    connections: int = 0  # limit of each server that `limits` does not name
    limits: dict[str, int] = msgspec.field(default_factory=dict)


class ClusterSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The [fleet] section."""

    enabled: bool = False
    name: str = ""
    me: str = ""  # this member's name; LB_NAME if empty
    folder: str = ""  # used by this member alone, on a disk that keeps synced writes
    copies: int = 3  # replicas of each group
    groups: int = 8
    members: tuple[MemberEntry, ...] = ()
    timings: Timings = Timings()
    capacity: float = 0.0  # units/s for all reservations together; 0: no reservation can be made
    servers: Servers = msgspec.field(default_factory=Servers)
    fsync: bool = True  # false: a crash of the machine may lose acknowledged writes
    # Forced recovery of groups that lost their majority for good: the lost members (name/incarnation), by group.
    forced: dict[str, tuple[str, ...]] = msgspec.field(default_factory=dict)


def read_cluster_settings(section: dict[str, Any]) -> tuple[ClusterSettings | None, list[str]]:
    """Check and convert the section as parsed from TOML.  Returns the settings, None if a value cannot be converted, and
    the faults, each with its key."""
    faults = _form_faults(section)
    if faults:
        return None, faults
    try:
        settings = msgspec.convert(section, ClusterSettings)
    except msgspec.ValidationError as fault:
        return None, [f"fleet: {str(fault).replace('`', '')}"]
    return settings, _value_faults(settings)


def _form_faults(section: dict[str, Any]) -> list[str]:
    """Unknown and missing keys, and values of the wrong type."""
    without_members = {**section, "members": []}
    faults = unknown_keys(without_members, ClusterSettings, "fleet.")
    faults += malformed_values(without_members, ClusterSettings, "fleet.")
    members = section.get("members", [])
    if not isinstance(members, list) or not all(isinstance(member, dict) for member in members):
        return [*faults, "fleet.members: expected tables, [[fleet.members]]"]
    for position, member in enumerate(members):
        path = f"fleet.members[{position}]."
        faults += unknown_keys(member, MemberEntry, path) + malformed_values(member, MemberEntry, path)
        faults += [f"{path}{key}: missing" for key in ("name", "hall", "address") if key not in member]
    return faults


def _value_faults(settings: ClusterSettings) -> list[str]:
    """Faults of values that have the right type."""
    faults = [
        *_scalar_faults(settings),
        *_member_faults(settings.members),
        *_own_name_faults(settings),
        *(f"fleet.timings.{fault}" for fault in find_timing_problems(settings.timings)),
        *_connection_limit_faults(settings.servers),
        *_forced_group_faults(settings.forced),
    ]
    if settings.enabled and importlib.util.find_spec("xxhash") is None:
        faults.append("fleet.enabled: xxhash is not installed: pip install 'badgeryoke[fleet]'")
    return faults


def _scalar_faults(settings: ClusterSettings) -> Iterable[str]:
    if not _NAME_PATTERN.fullmatch(settings.name):
        yield f"fleet.name: {_NAME_RULE}, got {settings.name!r}"
    if not settings.folder:
        yield "fleet.folder: missing: the folder in which this member keeps its copies"
    if settings.copies not in REPLICA_COUNTS:
        yield f"fleet.copies: expected 3 or 5 (or 1, to try it out), got {settings.copies}"
    if not 1 <= settings.groups <= MAX_GROUPS:
        yield f"fleet.groups: expected 1 to {MAX_GROUPS}, got {settings.groups}"
    if not 0 <= settings.capacity < float("inf"):
        yield f"fleet.capacity: expected 0 or above, got {settings.capacity!r}"
    if len(settings.members) > MAX_MEMBERS:
        yield f"fleet.members: {len(settings.members)}, at most {MAX_MEMBERS} are allowed"
    if len(settings.members) < settings.copies:
        yield f"fleet.members: {len(settings.members)} cannot hold {settings.copies} copies"


def _member_faults(members: tuple[MemberEntry, ...]) -> Iterable[str]:
    name_counts = Counter(member.name for member in members)
    address_counts = Counter(member.address for member in members)
    for position, member in enumerate(members):
        path = f"fleet.members[{position}]"
        for key, name in (("name", member.name), ("hall", member.hall)):
            if not _NAME_PATTERN.fullmatch(name):
                yield f"{path}.{key}: {_NAME_RULE}, got {name!r}"
        if name_counts[member.name] > 1:
            yield f"{path}.name: {member.name!r} stands twice"
        if address_counts[member.address] > 1:
            yield f"{path}.address: {member.address!r} stands twice"
        try:
            parse_address(member.address)
        except ValueError:
            yield f"{path}.address: expected IP:PORT, got {member.address!r}"


def _own_name_faults(settings: ClusterSettings) -> Iterable[str]:
    if settings.me and all(member.name != settings.me for member in settings.members):
        yield f"fleet.me: {settings.me!r} is no member"


def _connection_limit_faults(servers: Servers) -> Iterable[str]:
    for key, limit in (("connections", servers.connections), *servers.limits.items()):
        is_default = key == "connections"  # also true of a server that is named "connections"
        min_limit = 0 if is_default else 1
        if not min_limit <= limit <= MAX_CONNECTIONS:
            path = key if is_default else f"limits.{key}"
            yield f"fleet.servers.{path}: expected {min_limit} to {MAX_CONNECTIONS}, got {limit}"


def _forced_group_faults(forced: dict[str, tuple[str, ...]]) -> Iterable[str]:
    for group, lost_members in forced.items():
        if not _GROUP_PATTERN.fullmatch(group):
            yield f"fleet.forced.{group}: expected a group: fleet, g0, g1, ..."
        if not lost_members or not all("/" in member.strip("/") for member in lost_members):
            yield f"fleet.forced.{group}: expected the members given up, each as name/incarnation"
