"""The bootstrap record: the founding members of a cluster, identical on each member and never changed."""

from __future__ import annotations

import msgspec

from badgeryoke.cluster.messages import MemberId, member_name

MAX_MEMBERS = 1024
MAX_RECORD_BYTES = 256 * 1024


class BootstrapRecord(msgspec.Struct, frozen=True, array_like=True):
    """The founders of a cluster and the layout of its groups; stored and sent as an array."""

    cluster_name: str
    bootstrap_id: str  # random; distinguishes two clusters of the same name
    created_by: MemberId
    members: tuple[tuple[MemberId, str], ...]  # founders and their zones, sorted by name
    group_count: int  # number of groups, without the cluster's own
    replication_factor: int

    def names_member(self, member_id: MemberId) -> bool:
        """Whether this member id (name and incarnation) is a founder."""
        return any(founder == member_id for founder, _ in self.members)


def decode_record(body: bytes) -> BootstrapRecord | None:
    """Decode a record; None if the bytes are not a record or exceed a limit."""
    if len(body) > MAX_RECORD_BYTES:
        return None
    try:
        record = msgspec.msgpack.decode(body, type=BootstrapRecord)
    except (msgspec.MsgspecError, ValueError):  # ValueError: not UTF-8
        return None
    names = {member_name(founder) for founder, _ in record.members}
    if not 1 <= len(record.members) <= MAX_MEMBERS or len(names) != len(record.members):
        return None
    return record if record.group_count >= 1 and record.replication_factor >= 1 else None
