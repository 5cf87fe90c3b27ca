"""How a group's leader carries out a move: the next membership change, or the report of the new configuration.

The leader follows the placement: it adds the learner, waits until the learner has caught up, promotes it and removes
the lost voter.  So the group briefly has one voter too many and never one too few.  A removal waits while it would
leave fewer living voters than a majority.
"""

from __future__ import annotations

from badgeryoke.cluster.events import ChangeMembership, MembershipAction
from badgeryoke.cluster.invariants import Invariants, Rule
from badgeryoke.cluster.messages import GroupConfiguration, MemberId
from badgeryoke.cluster.placement.commands import ReplicaMoved
from badgeryoke.cluster.placement.state import PlacementState, ReplicaMove


def next_membership_change(
    placement: PlacementState,
    invariants: Invariants,
    group: str,
    config: GroupConfiguration,
    behind: tuple[MemberId, ...],
    alive: frozenset[MemberId],
) -> ChangeMembership | None:
    """The next change that the group's leader makes; None if there is none, or if it has to wait.

    `config` is the committed configuration, `behind` its learners that have not caught up.  If the member to remove
    is the leader itself, the caller transfers leadership first.
    """
    step = _next_step(placement.moves.get(group), config, behind)
    if step is None:
        return None
    action, member = step
    voters = tuple(voter for voter in config.voters if voter != member)
    voters += (member,) if action == MembershipAction.PROMOTE else ()
    invariants.check(
        Rule.CONFIG_ONE,
        len(set(voters) ^ set(config.voters)) <= 1,
        lambda: f"{group}: {config.voters} to {voters}",
    )
    if (
        action != MembershipAction.LEARN
        and sum(voter in alive for voter in voters) < GroupConfiguration(voters).majority()
    ):
        return None  # the group could not commit anything afterwards
    return ChangeMembership(f"{action}:{group}:{member}", action, member)


def _next_step(
    move: ReplicaMove | None, config: GroupConfiguration, behind: tuple[MemberId, ...]
) -> tuple[MembershipAction, MemberId] | None:
    """The action and the member of the next `ChangeMembership`."""
    new = move.new if move is not None else ""
    for learner in config.learners:
        if learner != new:
            return MembershipAction.REMOVE, learner  # a learner of a cancelled move
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
    """The report of a committed configuration to the cluster's own group; None if it is already recorded there.

    `behind` are the voters that have lagged for a second or more, so that a short lag does not add a log entry.
    """
    recorded = placement.groups.get(group)
    behind = tuple(voter for voter in config.voters if voter in behind)
    if recorded is None or config_index < recorded.config_index:
        return None
    if (recorded.voters, recorded.lagging) == (config.voters, behind):
        return None
    return ReplicaMoved(
        id=f"moved:{group}:{config_index}:{recorded.report_count}:{'+'.join(behind)}",
        group=group,
        voters=config.voters,
        number=config_index,
        behind=behind,
    )
