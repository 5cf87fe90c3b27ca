"""The initial placement: which members replicate which group when the cluster is bootstrapped."""

from __future__ import annotations

from collections import Counter

from badgeryoke.cluster.bootstrap_record import BootstrapRecord
from badgeryoke.cluster.messages import MemberId
from badgeryoke.cluster.placement.rendezvous import group_name, rendezvous_score
from badgeryoke.cluster.state_machine_part import FLEET


def replica_count(replication_factor: int, member_count: int) -> int:
    """How many replicas a group has: the largest odd number within both bounds, or two if the bound is two."""
    max_replicas = min(replication_factor, member_count)
    return max_replicas if max_replicas % 2 or max_replicas == 2 else max_replicas - 1


def initial_placement(record: BootstrapRecord) -> dict[str, tuple[MemberId, ...]]:
    """The initial voters of each group, the same on every member.

    Members in a zone without a replica of the group are chosen first, then members with the fewest replicas;
    rendezvous scores break ties.  So within a zone, a member holds at most one replica more than another member that
    could have taken it.
    """
    load: Counter[MemberId] = Counter()
    groups = (FLEET, *(group_name(index) for index in range(record.group_count)))
    return {group: _choose_voters(record, group, load) for group in groups}


def _choose_voters(record: BootstrapRecord, group: str, load: Counter[MemberId]) -> tuple[MemberId, ...]:
    """The voters of one group; counts their replicas in `load`."""
    chosen: list[MemberId] = []
    zones: set[str] = set()
    for _ in range(replica_count(record.replication_factor, len(record.members))):
        member, zone = min(
            ((member, zone) for member, zone in record.members if member not in chosen),
            key=lambda pair: (pair[1] in zones, load[pair[0]], -rendezvous_score(group, pair[0])),
        )
        chosen.append(member)
        zones.add(zone)
        load[member] += 1
    return tuple(chosen)
