"""The presence register: one counter value in which each gateway of a group keeps a digit of its own.

A gateway adds one to its digit with every heartbeat, and the same call returns the digits of all.  The
counter's totals are exact to seven digits, so a register holds six gateways and, as its highest digit, the
generation: how often somebody found in this period that the counter had lost data.

Digits only grow, and a period is no longer than nine heartbeats: so a digit never overflows into the next one,
and one that is smaller than what its owner knows it added proves that the counter has lost data.  A period's
register is read once more when the period is over, and then expires: whatever corrupted it ends with it.  A
second kind of register, for membership, holds one digit per gateway for much longer; it tells a gateway that
has just started which others there have been.

The call is the platform protocol's (section "The counter": INCRTTL, seven digits, names of 60 s at most).
"""

from __future__ import annotations

from enum import IntEnum

GATEWAYS_PER_REGISTER = 6  # gateways in one number: seven exact digits, less one for the generation
HEARTBEAT_INTERVAL_MS = 600.0  # between two calls of a gateway for its register
REGISTER_PERIOD_MS = 8 * HEARTBEAT_INTERVAL_MS  # in which a digit reaches 8, or 9 where a timer came early
MEMBERSHIP_PERIOD_MS = 30_000.0  # of a membership register: this one and the next fit the longest lifetime
NAME_LIFETIME_MS = 60_000.0  # of a name at the counter: the longest that it allows
MAX_DIGIT = 9  # a digit's highest value; nothing is added to it
GENERATION_UNIT = 10.0**GATEWAYS_PER_REGISTER  # what one generation adds to a total
MAX_GENERATION = 8  # no more are published in a period: a tenth could make the total inexact
NAME_MASK = (1 << 63) - 1


class RegisterKind(IntEnum):
    """What a register is for."""

    HEARTBEAT = 1
    MEMBERSHIP = 2


def register_name(kind: RegisterKind, group: int, period: int) -> int:
    """A register's counter name, below 2^63: the same at all gateways, and by its hash apart from customers'."""
    mixed = (group * 0xD6E8FEB86659FD93 + period * 0xCA9B0A7C5D1F3E65 + kind * 0x5851F42D4C957F2D) & (
        2**64 - 1
    )
    mixed = ((mixed ^ (mixed >> 32)) * 0xDABA0B6EB09322E3) & (2**64 - 1)
    mixed = ((mixed ^ (mixed >> 32)) * 0xDABA0B6EB09322E3) & (2**64 - 1)
    return (mixed ^ (mixed >> 32)) & NAME_MASK


def digit_unit(gateway: int) -> float:
    """What one heartbeat of a gateway adds to its group's total."""
    return 10.0 ** (gateway % GATEWAYS_PER_REGISTER)


def decode_digits(total: float) -> tuple[int, ...]:
    """The digits of a total, lowest gateway first, generation last; all 0 where it cannot be a register's."""
    rounded = round(total)
    if rounded < 0 or rounded >= 10 ** (GATEWAYS_PER_REGISTER + 1):
        return (0,) * (GATEWAYS_PER_REGISTER + 1)
    return tuple(rounded // 10**index % 10 for index in range(GATEWAYS_PER_REGISTER + 1))


def neighbour_gateways(gateway_index: int, gateway_count: int, reach: int) -> tuple[int, ...]:
    """The gateways that share customers with this one, where a set spans no more than `reach` + 1."""
    nearby = {(gateway_index + offset) % gateway_count for offset in range(-reach, reach + 1)}
    return tuple(sorted(nearby - {gateway_index}))
