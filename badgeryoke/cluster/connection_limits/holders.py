"""Ids of lease holders, and the buckets in which the leases of servers are stored."""

from __future__ import annotations

from typing import NamedTuple
from zlib import crc32

from badgeryoke.cluster.messages import MemberId, member_name

BUCKETS = 16  # servers are distributed over them; one call renews all leases of a bucket


class Machine(NamedTuple):
    """A member's machine, identified by its present boot."""

    member: str
    boot_id: str


def server_bucket(server: str) -> str:
    """The key under which a server's leases are stored."""
    return f"s:{crc32(server.encode()) % BUCKETS:x}"


def holder_id(member: MemberId, boot_id: str, process: str) -> MemberId:
    """Id of a lease holder, that is of one process of a member.  `boot_id`: the kernel's boot id, empty if unknown;
    `process`: unique among the member's processes."""
    return f"{member}#{boot_id}.{process}"


def machine_of(holder: MemberId) -> Machine | None:
    """The holder's machine; None if its boot id is unknown.  A process can report the death only of processes on its
    own machine."""
    boot_id = holder.partition("#")[2].partition(".")[0]
    return Machine(member_name(holder), boot_id) if boot_id else None
