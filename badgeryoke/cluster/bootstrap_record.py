"""The bootstrap record: what a cluster was first formed of, the same on each member for good."""

from __future__ import annotations

import msgspec

from badgeryoke.cluster.messages import MemberId, member_name

MAX_MEMBERS = 1024
MAX_RECORD_BYTES = 256 * 1024


class BootstrapRecord(msgspec.Struct, frozen=True, array_like=True):
    """The founders of a cluster, and the form of its groups; stored and sent as an array."""

    cluster_name: str
    bootstrap_id: str  # drawn by its maker; tells two clusters of one name apart
    created_by: MemberId
    members: tuple[tuple[MemberId, str], ...]  # founders and their zones, by name
    group_count: int  # beside the cluster's own
    replication_factor: int

    def names_member(self, member_id: MemberId) -> bool:
        """Whether this id, with its incarnation, is a founder."""
        return any(founder == member_id for founder, _ in self.members)


def decode_record(body: bytes) -> BootstrapRecord | None:
    """A record from its bytes; None where they are not one, or out of bounds."""
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
