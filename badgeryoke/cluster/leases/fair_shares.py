"""Fair shares of a capacity: max-min fair for connections, proportional to the wanted rate for rates.

Rates use proportional shares because these leave the fewest requests unserved when one customer's traffic
moves between holders.

Source: max-min fairness by progressive filling, Bertsekas and Gallager, "Data Networks", section 6.5.2.
"""

from __future__ import annotations

from collections.abc import Iterable

# Fraction of a rate wanted by several holders that is granted to none of them.  It refills the free units, which
# go to holders with waiting requests.
UNGRANTED_FRACTION = 0.3
# Rate kept ungranted for holders that draw per request, as a multiple of the rate they want.
DRAW_MULTIPLE = 1.5
STANDBY_FRACTION = 0.1  # fraction of a bucket's depth that is divided evenly among all holders
# Fraction of a bucket's depth for holders that receive requests; the rest is for waiting requests.
BUSY_FRACTION = 0.3


def max_min_share(capacity: float, wanted: float, wanted_by_others: Iterable[float]) -> float:
    """One holder's max-min fair share where all holders together want more than `capacity`."""
    demands = sorted([wanted, *wanted_by_others])
    remaining, count = capacity, len(demands)
    for demand in demands:  # smallest first
        even_share = remaining / count
        if demand > even_share:
            return max(min(wanted, even_share), 0.0)
        remaining, count = remaining - demand, count - 1
    return wanted


def ungranted_rate(capacity: float, wanted: float, others_wanted: float, draws_wanted: float) -> float:
    """The part of a rate that is kept out of all shares: for holders that draw per request, and for traffic
    that moves between holders."""
    moving_reserve = min(UNGRANTED_FRACTION * min(capacity, wanted + others_wanted), others_wanted)
    return min(capacity, DRAW_MULTIPLE * draws_wanted + moving_reserve)


def fair_depth(depth: float, other_holders: int, wanted: float, others_wanted: float) -> float:
    """One holder's share of a bucket's depth: an even share of the standby depth, with one more share kept
    for a new holder, and a share of the busy depth in proportion to the wanted rate.

    `other_holders`: the number of other holders; a sole holder gets the whole depth."""
    if not other_holders:
        return depth
    total = wanted + others_wanted
    busy = BUSY_FRACTION * (wanted / total if total > 0.0 else 0.0)
    return depth * (STANDBY_FRACTION / (other_holders + 2) + busy)
