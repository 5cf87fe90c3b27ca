"""The status of a replica, for operators.  The keys are part of the admin interface."""

from __future__ import annotations

from typing import TypedDict

from badgeryoke.cluster.messages import MemberId
from badgeryoke.cluster.raft.state_types import FollowerProgress


class FollowerStatus(TypedDict):
    """What a leader reports about another member."""

    match: int
    heard_ms: float
    snapshot_bytes: int | None


class ReplicaStatus(TypedDict):
    """What a replica reports about itself."""

    group: str
    role: str
    term: int
    leader: MemberId
    voters: list[MemberId]
    learners: list[MemberId]
    last: int
    commit: int
    applied: int
    stored: int
    in_flight: int
    stopped: str | None
    members: dict[MemberId, FollowerStatus]


def follower_status(now_ms: float, progress: FollowerProgress) -> FollowerStatus:
    """The status entry of one member at its leader."""
    return {
        "match": progress.match_index,
        "heard_ms": now_ms - progress.last_reply_ms,
        "snapshot_bytes": None if progress.snapshot is None else progress.received_bytes,
    }
