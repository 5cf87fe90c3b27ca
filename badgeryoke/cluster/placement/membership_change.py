"""What a group's leader does for a move: the next change of its members, or the report of how they stand.

A leader only follows the placement: add the learner, wait until it has caught up, promote it, remove the lost
voter.  So a group has one voter too many for a moment and never one too few, and a removal that would leave fewer
living voters than a majority waits.
"""

from __future__ import annotations

from badgeryoke.cluster.events import ChangeMembership, MembershipAction
from badgeryoke.cluster.invariants import Invariants, Rule
from badgeryoke.cluster.messages import GroupConfiguration, MemberId
from badgeryoke.cluster.placement.commands import ReplicaMoved
from badgeryoke.cluster.placement.state import PlacementState, ReplicaMove


def next_membership_change(
    placement: PlacementState,
    rules: Invariants,
    group: str,
    config: GroupConfiguration,
    behind: tuple[MemberId, ...],
    alive: frozenset[MemberId],
) -> ChangeMembership | None:
    """The next change that the group's leader makes; None where nothing is to be done, or not yet.

    `config` is the committed configuration, `behind` its learners that have not caught up.  Where the member to
    remove is the leader itself, the caller transfers leadership first.
    """
    step = _next_step(placement.moves.get(group), config, behind)
    if step is None:
        return None
    act, member = step
    voters = tuple(voter for voter in config.voters if voter != member)
    voters += (member,) if act == MembershipAction.PROMOTE else ()
    rules.check(
        Rule.CONFIG_ONE,
        len(set(voters) ^ set(config.voters)) <= 1,
        lambda: f"{group}: {config.voters} to {voters}",
    )
    if (
        act != MembershipAction.LEARN
        and sum(voter in alive for voter in voters) < GroupConfiguration(voters).majority()
    ):
        return None  # the group could acknowledge nothing afterwards
    return ChangeMembership(f"{act}:{group}:{member}", act, member)


def _next_step(
    move: ReplicaMove | None, config: GroupConfiguration, behind: tuple[MemberId, ...]
) -> tuple[MembershipAction, MemberId] | None:
    """The action of a `ChangeMembership`, and for whom."""
    new = move.new if move is not None else ""
    for learner in config.learners:
        if learner != new:
            return MembershipAction.REMOVE, learner  # of a move that was cancelled
    if move is None:
        return None
    if new and new not in config.voters:
        if new not in config.learners:
            return MembershipAction.LEARN, new
        return None if new in behind else (MembershipAction.PROMOTE, new)
    return (MembershipAction.REMOVE, move.lost) if move.lost in config.voters else None


def configuration_report(
    placement: PlacementState,
    group: str,
    config: GroupConfiguration,
    config_index: int,
    behind: tuple[MemberId, ...] = (),
) -> ReplicaMoved | None:
    """What the group's leader has to report of its committed configuration; None where it is known.

    `behind` has the voters that have lagged for long (a second or more), so that not each lag is an entry.
    """
    known = placement.groups.get(group)
    behind = tuple(voter for voter in config.voters if voter in behind)
    if known is None or config_index < known.config_index:
        return None
    if (known.voters, known.lagging) == (config.voters, behind):
        return None
    return ReplicaMoved(
        id=f"moved:{group}:{config_index}:{known.report_count}:{'+'.join(behind)}",
        group=group,
        voters=config.voters,
        number=config_index,
        behind=behind,
    )
