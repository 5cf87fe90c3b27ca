"""The [fleet] section of the operators' file: checked into typed values, every fault named by its key."""

from __future__ import annotations

import importlib.util
import re
from collections import Counter
from typing import Any

import msgspec

from badgeryoke.cluster.timings import Timings
from badgeryoke.cluster.timings import faults as timing_faults
from badgeryoke.gateway.address import parse_address
from badgeryoke.gateway.config.operators_file import unknown, wrong

MOST_MEMBERS, MOST_GROUPS, MOST_CONNECTIONS = 256, 256, 65_535
COPIES = (3, 5, 1)  # 1: to try it out; a promise then outlives no machine
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,47}")
GROUP = re.compile(r"fleet|g\d{1,3}")


class MemberEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One machine of the fleet."""

    name: str
    hall: str
    address: str  # IP:PORT of the fleet's own links; the own one is listened on


class Servers(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The most connections that a load server holds, over all gateways; 0: no limit is kept."""

    connections: int = 0  # of each that `limits` does not name
    limits: dict[str, int] = msgspec.field(default_factory=dict)


class ClusterSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole section."""

    enabled: bool = False
    name: str = ""
    me: str = ""  # the own member's name; LB_NAME where it is empty
    folder: str = ""  # this member's own, on a disk that keeps what it has synced
    copies: int = 3
    groups: int = 8
    members: tuple[MemberEntry, ...] = ()
    timings: Timings = Timings()
    capacity: float = 0.0  # units a second that contracts may take in all; 0: none can be made
    servers: Servers = msgspec.field(default_factory=Servers)
    fsync: bool = True  # false: a death of the machine may take back what was acknowledged
    # The one act by hand, for a group whose majority is lost for good: group = the Ids (name/incarnation)
    # given up.
    forced: dict[str, tuple[str, ...]] = msgspec.field(default_factory=dict)


def read_fleet(raw: dict[str, Any]) -> tuple[ClusterSettings | None, list[str]]:
    """The section as read, and its faults, each with its key."""
    shown = {**raw, "members": []}
    found = unknown(shown, ClusterSettings, "fleet.") + wrong(shown, ClusterSettings, "fleet.")
    members = raw.get("members", [])
    if isinstance(members, list) and all(isinstance(one, dict) for one in members):
        for at, one in enumerate(members):
            path = f"fleet.members[{at}]."
            found += unknown(one, MemberEntry, path) + wrong(one, MemberEntry, path)
            found += [f"{path}{key}: missing" for key in ("name", "hall", "address") if key not in one]
    else:
        found.append("fleet.members: expected tables, [[fleet.members]]")
    if found:
        return None, found
    try:
        made = msgspec.convert(raw, ClusterSettings)
    except msgspec.ValidationError as fault:
        return None, [f"fleet: {str(fault).replace('`', '')}"]
    return made, _faults(made)


def _faults(made: ClusterSettings) -> list[str]:
    """What a value of the right form has wrong."""
    found = []
    if not NAME.fullmatch(made.name):
        found.append(f"fleet.name: expected 1 to 48 letters, digits, '.', '_' or '-', got {made.name!r}")
    if not made.folder:
        found.append("fleet.folder: missing: the folder in which this member keeps its copies")
    if made.copies not in COPIES:
        found.append(f"fleet.copies: expected 3 or 5 (or 1, to try it out), got {made.copies}")
    if not 1 <= made.groups <= MOST_GROUPS:
        found.append(f"fleet.groups: expected 1 to {MOST_GROUPS}, got {made.groups}")
    if not 0 <= made.capacity < float("inf"):
        found.append(f"fleet.capacity: expected 0 or above, got {made.capacity!r}")
    if len(made.members) > MOST_MEMBERS:
        found.append(f"fleet.members: {len(made.members)}, {MOST_MEMBERS} are the most")
    if len(made.members) < made.copies:
        found.append(f"fleet.members: {len(made.members)} cannot hold {made.copies} copies")
    twice = {kind: Counter(getattr(one, kind) for one in made.members) for kind in ("name", "address")}
    for at, one in enumerate(made.members):
        path = f"fleet.members[{at}]"
        found += [
            f"{path}.{key}: expected 1 to 48 letters, digits, '.', '_' or '-', got {getattr(one, key)!r}"
            for key in ("name", "hall")
            if not NAME.fullmatch(getattr(one, key))
        ]
        found += [
            f"{path}.{kind}: {getattr(one, kind)!r} stands twice"
            for kind, those in twice.items()
            if those[getattr(one, kind)] > 1
        ]
        try:
            parse_address(one.address)
        except ValueError:
            found.append(f"{path}.address: expected IP:PORT, got {one.address!r}")
    if made.me and made.me not in twice["name"]:
        found.append(f"fleet.me: {made.me!r} is no member")
    found += [f"fleet.timings.{fault}" for fault in timing_faults(made.timings)]
    for key, most in (("connections", made.servers.connections), *made.servers.limits.items()):
        least = 0 if key == "connections" else 1
        if not least <= most <= MOST_CONNECTIONS:
            path = key if key == "connections" else f"limits.{key}"
            found.append(f"fleet.servers.{path}: expected {least} to {MOST_CONNECTIONS}, got {most}")
    for group, lost in made.forced.items():
        if not GROUP.fullmatch(group):
            found.append(f"fleet.forced.{group}: expected a group: fleet, g0, g1, ...")
        if not lost or not all("/" in one.strip("/") for one in lost):
            found.append(f"fleet.forced.{group}: expected the members given up, each as name/incarnation")
    if made.enabled and importlib.util.find_spec("xxhash") is None:
        found.append("fleet.enabled: xxhash is not installed: pip install 'badgeryoke[fleet]'")
    return found
