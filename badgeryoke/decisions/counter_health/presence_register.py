"""The roll: one number at the counter in which each gateway of a group keeps a digit of its own.

A gateway adds one to its digit with every beat, and the same call gives it the digits of all.  The
counter's totals are exact to seven digits, so a number holds six gateways and, as its highest digit, the
generation: how often somebody found in this era that the counter had forgotten.

Digits only grow, and an era is no longer than nine beats: so a digit never reaches its neighbour, and one
that is smaller than what its owner knows it added proves that the counter has forgotten.  An era's name is
read once more when the era is over, and then left to its end: whatever spoilt one is over with it.  A
second kind of number, the muster, holds one digit a gateway for much longer; it tells a gateway that has
just started who else there has been.

Source of the call: the platform's protocol, "The counter" (INCRTTL, seven digits, names of 60 s at most).
"""

from __future__ import annotations

from enum import IntEnum

GROUP = 6  # gateways in one number: seven exact digits, less one for the generation
BEAT_MS = 600.0  # between two calls of a gateway for its roll
ERA_MS = 8 * BEAT_MS  # a name's own time: a digit comes to 8, and to 9 where a timer came early
MUSTER_MS = 30_000.0  # the same of a muster: a name and the next lie within the longest life
LIFE_MS = 60_000.0  # of a name at the counter: the longest there is
TOP = 9  # a digit's highest value; nothing is added to it
GENERATION = 10.0**GROUP  # the place of the generation in a total
MOST_GENERATION = 8  # no more are told in an era: a tenth could make the total inexact
MASK = (1 << 63) - 1


class Kind(IntEnum):
    """What a name is for."""

    ROLL = 1
    MUSTER = 2


def name_of(kind: Kind, group: int, era: int) -> int:
    """The counter name, below 2^63: the same at every gateway, apart from all customers' names by its mix."""
    x = (group * 0xD6E8FEB86659FD93 + era * 0xCA9B0A7C5D1F3E65 + kind * 0x5851F42D4C957F2D) & (2**64 - 1)
    x = ((x ^ (x >> 32)) * 0xDABA0B6EB09322E3) & (2**64 - 1)
    x = ((x ^ (x >> 32)) * 0xDABA0B6EB09322E3) & (2**64 - 1)
    return (x ^ (x >> 32)) & MASK


def place(gateway: int) -> float:
    """What one beat of this gateway weighs in its group's total."""
    return 10.0 ** (gateway % GROUP)


def digits(total: float) -> tuple[int, ...]:
    """The digits of a total, lowest gateway first, the generation last; all 0 where it can be no roll's."""
    whole = round(total)
    if whole < 0 or whole >= 10 ** (GROUP + 1):
        return (0,) * (GROUP + 1)
    return tuple(whole // 10**index % 10 for index in range(GROUP + 1))


def neighbours(me: int, gateways: int, reach: int) -> tuple[int, ...]:
    """The gateways that share a customer with this one, where a set spans no more than `reach` + 1."""
    around = {(me + step) % gateways for step in range(-reach, reach + 1)}
    return tuple(sorted(around - {me}))
