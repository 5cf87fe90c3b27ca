"""Fair shares of a capacity: max-min fair for connections, proportional to what is wanted for rates.

Proportional shares lose least where one customer's traffic moves between the holders.

Source: max-min fairness by progressive filling, Bertsekas and Gallager, "Data Networks", section 6.5.2.
"""

from __future__ import annotations

from collections.abc import Iterable

UNGRANTED_FRACTION = 0.3  # of what several want: no share, it fills the units for who has requests waiting
DRAW_MULTIPLE = 1.5  # of what those want that draw units as they need them; no share, likewise
STANDBY_FRACTION = 0.1  # of a bucket's depth, for all holders evenly
BUSY_FRACTION = 0.3  # of a bucket's depth, where requests come in; the rest is for who has them waiting


def max_min_share(capacity: float, wanted: float, others: Iterable[float]) -> float:
    """One holder's max-min fair share beside what others want, where all want more than there is."""
    demands = sorted([wanted, *others])
    left, count = capacity, len(demands)
    for demand in demands:  # the least first
        even = left / count
        if demand > even:
            return max(min(wanted, even), 0.0)
        left, count = left - demand, count - 1
    return wanted


def ungranted_rate(capacity: float, wanted: float, others_wanted: float, draws_wanted: float) -> float:
    """What of a rate is to be in no share: for those that draw per request, and for moving traffic."""
    for_moving = min(UNGRANTED_FRACTION * min(capacity, wanted + others_wanted), others_wanted)
    return min(capacity, DRAW_MULTIPLE * draws_wanted + for_moving)


def fair_depth(depth: float, holders: int, wanted: float, others_wanted: float) -> float:
    """One holder's share of a bucket's depth: an even share of the standby depth, with one left for a
    newcomer, and by what is wanted of the busy depth.  `holders`: others; alone it gets all."""
    if not holders:
        return depth
    total = wanted + others_wanted
    busy = BUSY_FRACTION * (wanted / total if total > 0.0 else 0.0)
    return depth * (STANDBY_FRACTION / (holders + 2) + busy)
