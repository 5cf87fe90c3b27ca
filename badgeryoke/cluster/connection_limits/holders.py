"""Names of lease holders, and the buckets in which a server's leases are kept."""

from __future__ import annotations

from typing import NamedTuple
from zlib import crc32

from badgeryoke.cluster.messages import MemberId, member_name

BUCKETS = 16  # over which servers are spread; one call renews all leases of a bucket


class Machine(NamedTuple):
    """A member's machine since its last boot."""

    member: str
    boot_id: str


def server_bucket(server: str) -> str:
    """The key under which a server's leases are kept."""
    return f"s:{crc32(server.encode()) % BUCKETS:x}"


def holder_id(member: MemberId, boot_id: str, process: str) -> MemberId:
    """A lease holder: one process of a member.  `boot_id`: of its machine (the kernel's), empty where it is
    not known; `process`: unique among the member's processes."""
    return f"{member}#{boot_id}.{process}"


def machine_of(holder: MemberId) -> Machine | None:
    """The holder's machine, which two processes must share for one to vouch for the other's end; none where
    the boot id is not known."""
    boot_id = holder.partition("#")[2].partition(".")[0]
    return Machine(member_name(holder), boot_id) if boot_id else None
