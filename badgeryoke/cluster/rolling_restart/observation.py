"""How the leader observes the cluster: what would remain without the gateways of a wave."""

from __future__ import annotations

from collections.abc import Iterable

from badgeryoke.cluster.messages import member_name
from badgeryoke.cluster.rolling_restart.conditions import ClusterConditions
from badgeryoke.cluster.rolling_restart.plan import RollingRestart
from badgeryoke.cluster.rolling_restart.transitions import UNAVAILABLE_PHASES, GatewayPhase
from badgeryoke.cluster.state_machine_part import LeaderView


def observe_conditions(
    view: LeaderView, restart: RollingRestart, wave: Iterable[str], ending: str = ""
) -> ClusterConditions:
    """What would remain without the wave and the gateways that are unavailable already.

    `ending`: the gateway whose process would end now.  Majorities are then counted without it and without gateways
    whose processes have ended; the other unavailable gateways still have their copies.
    """
    unavailable = restart.gateways_in(*UNAVAILABLE_PHASES) | set(wave)
    # A drained gateway whose process has not ended still has its copies, unless a fault destroyed them.
    ended = restart.gateways_in(GatewayPhase.ACTING, GatewayPhase.RETURNING)
    without_copies = ended | restart.gateways_in(GatewayPhase.HELD) | {ending} if ending else unavailable
    return ClusterConditions(
        _missing_copies(view, ended),
        _spare_voters(view, without_copies),
        _emptied_zones(view, unavailable, restart.request.may_empty_zone),
        _remaining_units_per_s(view, unavailable),
        view.load.get("demand", 0.0) + view.load.get("promised", 0.0),
    )


def _alive_names(view: LeaderView) -> set[str]:
    return {member_name(member) for member in view.alive_ids}


def _missing_copies(view: LeaderView, ended: set[str]) -> int:
    """Number of dead or lagging replicas.  A member that came back with an empty store has a new id: its old
    replicas are missing although a member of the same name is alive."""
    dead = sum(
        member_name(voter) not in ended and voter not in view.alive_ids
        for voters in view.voters_by_group.values()
        for voter in voters
    )
    behind = sum(
        member_name(learner) not in ended
        for learners in view.lagging_replicas.values()
        for learner in learners
    )
    return dead + behind


def _spare_voters(view: LeaderView, without_copies: set[str]) -> int:
    spare = 1
    for voters in view.voters_by_group.values():
        remaining = sum(
            voter in view.alive_ids and member_name(voter) not in without_copies for voter in voters
        )
        spare = min(spare, remaining - (len(voters) // 2 + 1))
    return spare


def _emptied_zones(view: LeaderView, unavailable: set[str], may_empty_zone: bool) -> int:
    alive = _alive_names(view)
    served = {view.zones[name] for name in alive if name in view.zones}
    remaining = {view.zones[name] for name in alive - unavailable if name in view.zones}
    return 0 if may_empty_zone and remaining else len(served - remaining)


def _remaining_units_per_s(view: LeaderView, unavailable: set[str]) -> float:
    """Capacity of the remaining gateways, assuming equal shares; negative if unknown."""
    if "capacity" not in view.load:
        return -1.0
    alive = _alive_names(view)
    return view.load["capacity"] * len(alive - unavailable) / max(len(alive), 1)
