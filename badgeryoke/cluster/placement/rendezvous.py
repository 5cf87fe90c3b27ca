"""Which group holds a key: rendezvous hashing with xxhash.

Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates" (1998).  Every member computes
the same score for a pair of names; the group with the highest score holds the key.
"""

from __future__ import annotations

from functools import lru_cache

import xxhash

from badgeryoke.cluster.state_machine_part import FLEET

MAX_CACHED_KEYS = 8192


def rendezvous_score(one: str, other: str) -> int:
    """The score of a pair of names, 64 bits; the same on every machine."""
    return xxhash.xxh3_64_intdigest(f"{one}\0{other}".encode())


def group_name(index: int) -> str:
    """The name of one of the groups beside the cluster's own."""
    return f"g{index}"


@lru_cache(maxsize=MAX_CACHED_KEYS)
def group_for_key(key: str, group_count: int) -> str:
    """The group of a command's key: the cluster's own for "", else one of "g0" to "g(group_count - 1)".

    The key's first letter, its kind, does not count.  One group more moves 1 / (group_count + 1) of the keys.
    """
    if not key:
        return FLEET
    names = (group_name(index) for index in range(group_count))
    return max(names, key=lambda group: rendezvous_score(group, key[1:]))
