"""The presence register: one counter value in which each gateway of a group has one decimal digit.

A gateway adds one to its digit with every heartbeat, and the same call returns the digits of all.  The
counter's totals are exact to seven digits, so a register holds six gateways and, as its highest digit, the
generation: how many losses of the counter's data gateways have published in this period.

Digits only grow, and a period has no more than nine heartbeats, so a digit never overflows into the next one,
and a digit below the number of confirmed heartbeats proves that the counter has lost data.  A period's register
is read once more when the period is over, and then expires together with any corruption of it.  A second kind of
register, for membership, holds one digit per gateway for much longer; a gateway that has just started reads from
it which others have been alive.

The call is the platform protocol's (section "The counter": INCRTTL, seven digits, names of 60 s at most).
"""

from __future__ import annotations

from enum import IntEnum

GATEWAYS_PER_REGISTER = 6  # seven exact digits, less one for the generation
HEARTBEAT_INTERVAL_MS = 600.0  # time between two heartbeats of a gateway
REGISTER_PERIOD_MS = 8 * HEARTBEAT_INTERVAL_MS  # a digit reaches 8 in it, or 9 where a timer fires early
MEMBERSHIP_PERIOD_MS = 30_000.0  # period of a membership register: two fit into a name's lifetime
NAME_LIFETIME_MS = 60_000.0  # the longest lifetime of a name that the counter allows
MAX_DIGIT = 9  # a digit of this value is not incremented
GENERATION_UNIT = 10.0**GATEWAYS_PER_REGISTER  # what one generation adds to a total
MAX_GENERATION = 8  # maximum per period: a tenth generation could make the total inexact
NAME_MASK = (1 << 63) - 1  # counter names are below 2^63


class RegisterKind(IntEnum):
    """The purpose of a register."""

    HEARTBEAT = 1
    MEMBERSHIP = 2


def register_name(kind: RegisterKind, group: int, period: int) -> int:
    """A register's counter name, below 2^63: the same at all gateways, and hashed to differ from customers' names."""
    mixed = (group * 0xD6E8FEB86659FD93 + period * 0xCA9B0A7C5D1F3E65 + kind * 0x5851F42D4C957F2D) & (
        2**64 - 1
    )
    mixed = ((mixed ^ (mixed >> 32)) * 0xDABA0B6EB09322E3) & (2**64 - 1)
    mixed = ((mixed ^ (mixed >> 32)) * 0xDABA0B6EB09322E3) & (2**64 - 1)
    return (mixed ^ (mixed >> 32)) & NAME_MASK


def digit_unit(gateway: int) -> float:
    """The units that one heartbeat of a gateway adds to its group's total."""
    return 10.0 ** (gateway % GATEWAYS_PER_REGISTER)


def decode_digits(total: float) -> tuple[int, ...]:
    """The digits of a total, lowest gateway first, generation last; all 0 for a total that no register can have."""
    rounded = round(total)
    if rounded < 0 or rounded >= 10 ** (GATEWAYS_PER_REGISTER + 1):
        return (0,) * (GATEWAYS_PER_REGISTER + 1)
    return tuple(rounded // 10**index % 10 for index in range(GATEWAYS_PER_REGISTER + 1))


def neighbour_gateways(gateway_index: int, gateway_count: int, reach: int) -> tuple[int, ...]:
    """The gateways that may share customers with this one, where gateway sets span no more than `reach` + 1."""
    nearby = {(gateway_index + offset) % gateway_count for offset in range(-reach, reach + 1)}
    return tuple(sorted(nearby - {gateway_index}))
