"""Which members replicate which group when the cluster is bootstrapped."""

from __future__ import annotations

from collections import Counter

from badgeryoke.cluster.bootstrap_record import BootstrapRecord
from badgeryoke.cluster.messages import MemberId
from badgeryoke.cluster.placement.rendezvous import group_name, rendezvous_score
from badgeryoke.cluster.state_machine_part import FLEET


def replica_count(replication_factor: int, member_count: int) -> int:
    """Replicas that a group has: an odd number within both bounds, or two where only two are possible."""
    most = min(replication_factor, member_count)
    return most if most % 2 or most == 2 else most - 1


def initial_placement(record: BootstrapRecord) -> dict[str, tuple[MemberId, ...]]:
    """The first voters of each group, the same on every member.

    A zone without a replica of the group goes first, then the member with the fewest replicas; rendezvous
    scores break ties.  Within a zone no member holds over one group more than another that could take it.
    """
    load: Counter[MemberId] = Counter()
    groups = (FLEET, *(group_name(index) for index in range(record.group_count)))
    return {group: _choose_voters(record, group, load) for group in groups}


def _choose_voters(record: BootstrapRecord, group: str, load: Counter[MemberId]) -> tuple[MemberId, ...]:
    """The voters of one group; counts them in `load`."""
    chosen: list[MemberId] = []
    zones: set[str] = set()
    for _ in range(replica_count(record.replication_factor, len(record.members))):
        member, zone = min(
            ((member, zone) for member, zone in record.members if member not in chosen),
            key=lambda one: (one[1] in zones, load[one[0]], -rendezvous_score(group, one[0])),
        )
        chosen.append(member)
        zones.add(zone)
        load[member] += 1
    return tuple(chosen)
