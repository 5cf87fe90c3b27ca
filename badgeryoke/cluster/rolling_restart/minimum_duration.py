"""A lower bound on the duration of a rolling restart, to compare measured durations with.

It is independent of the scheduler's choices: the number of waves that each limit alone requires.
"""

from __future__ import annotations

from collections.abc import Iterable


def minimum_duration_ms(
    gateways: Iterable[str],
    groups: dict[str, tuple[str, ...]],
    zones: dict[str, str],
    at_once: int,
    required_fraction: float,
    wave_ms: float,
) -> float:
    """The least time in which the gateways can be restarted, in ms.

    `groups`: names of each group's voters; `zones`: zone of each member; `required_fraction`: fraction
    of the members that must remain for the load; `wave_ms`: time that one wave takes without any scheduling
    (drain, stop, start, warm-up).
    """
    names = sorted(set(gateways))
    waves = max(
        _waves_by_load(names, len(zones), at_once, required_fraction),
        _waves_by_zones(names, zones),
        _waves_by_groups(names, groups),
        _waves_by_conflicts(_conflicts(names, groups)),
    )
    return waves * wave_ms


def _waves_by_load(names: list[str], members: int, at_once: int, required_fraction: float) -> int:
    rounding = 1e-9  # so that 5 * (1 - 0.6) gives 2 spare members, not 1.9999
    per_wave = max(min(at_once, int(members * (1.0 - required_fraction) + rounding)), 1)
    return -(-len(names) // per_wave)


def _waves_by_zones(names: list[str], zones: dict[str, str]) -> int:
    """Waves needed where each zone keeps a gateway."""
    waves = 0
    for zone in sorted(set(zones.values())):
        members = sum(member_zone == zone for member_zone in zones.values())
        restarted = sum(zones.get(name) == zone for name in names)
        waves = max(waves, -(-restarted // max(members - 1, 1)))
    return waves


def _spare_voters(voters: tuple[str, ...]) -> int:
    return max(len(voters) - len(voters) // 2 - 1, 1)


def _waves_by_groups(names: list[str], groups: dict[str, tuple[str, ...]]) -> int:
    """Waves needed where each group keeps its majority."""
    waves = 0
    for voters in groups.values():
        restarted = [name for name in voters if name in names]
        waves = max(waves, -(-len(restarted) // _spare_voters(voters)))
    return waves


def _conflicts(names: list[str], groups: dict[str, tuple[str, ...]]) -> dict[str, set[str]]:
    """For each gateway, those that cannot be in its wave: they share a group that can spare only one voter."""
    conflicts: dict[str, set[str]] = {name: set() for name in names}
    for voters in groups.values():
        if _spare_voters(voters) > 1:
            continue
        restarted = [name for name in voters if name in conflicts]
        for name in restarted:
            conflicts[name].update(other for other in restarted if other != name)
    return conflicts


def _waves_by_conflicts(conflicts: dict[str, set[str]]) -> int:
    """Size of the largest clique found by extending one greedily from each gateway."""
    largest = 0
    for first in conflicts:
        clique = [first]
        for other in sorted(conflicts[first], key=lambda name: (-len(conflicts[name]), name)):
            if all(other in conflicts[member] for member in clique):
                clique.append(other)
        largest = max(largest, len(clique))
    return largest
