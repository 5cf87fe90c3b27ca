"""Names of the totals at the counter service; every gateway computes the same name without coordination."""

from __future__ import annotations

MAX_COUNTER_NAME = (1 << 63) - 1
UINT64_MASK = (1 << 64) - 1


def counter_name(customer: int, period: int, epoch: int = 0) -> int:
    """Return the name of a customer's total in one period and epoch.

    The SplitMix64 mixing function spreads the names evenly over 63 bits.
    """
    mixed = customer * 0x9E3779B97F4A7C15 + period * 0xD1B54A32D192ED03 + epoch * 0xA24BAED4963EE407
    mixed = (mixed + 0x8CB92BA72F3D8DD7) & UINT64_MASK
    mixed = ((mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9) & UINT64_MASK
    mixed = ((mixed ^ (mixed >> 27)) * 0x94D049BB133111EB) & UINT64_MASK
    return (mixed ^ (mixed >> 31)) & MAX_COUNTER_NAME
