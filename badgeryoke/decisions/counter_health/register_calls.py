"""The calls that read and write presence registers."""

from __future__ import annotations

from dataclasses import dataclass

from badgeryoke.decisions.counter_health.presence_register import (
    GENERATION_UNIT,
    NAME_LIFETIME_MS,
    RegisterKind,
    register_name,
)


@dataclass(frozen=True, slots=True)
class RegisterCall:
    """One call to the counter: add units to a name of limited lifetime, and read the total back."""

    name: int
    units: float
    lifetime_ms: float
    group: int
    kind: RegisterKind
    period: int
    is_heartbeat: bool  # whether the call increments this gateway's digit
    published_generations: int = 0  # generations that the call adds


def heartbeat_call(group: int, period: int, digit_units: float, generations: int = 0) -> RegisterCall:
    """A heartbeat, or with 0 units only a reading, and the generations to publish with it."""
    return RegisterCall(
        register_name(RegisterKind.HEARTBEAT, group, period),
        digit_units + generations * GENERATION_UNIT,
        NAME_LIFETIME_MS,
        group,
        RegisterKind.HEARTBEAT,
        period,
        digit_units > 0,
        generations,
    )


def membership_call(group: int, period: int, units: float) -> RegisterCall:
    """Register this gateway as a member of its group, or with 0 units only read the members."""
    name = register_name(RegisterKind.MEMBERSHIP, group, period)
    return RegisterCall(name, units, NAME_LIFETIME_MS, group, RegisterKind.MEMBERSHIP, period, False)
