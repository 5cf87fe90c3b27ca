"""Rendezvous hashing with xxhash: determines which group holds a key.

Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates" (1998).  Every member computes
the same scores; the group with the highest score for a key holds the key.
"""

from __future__ import annotations

from functools import lru_cache

import xxhash

from badgeryoke.cluster.state_machine_part import FLEET

MAX_CACHED_KEYS = 8192


def rendezvous_score(group: str, item: str) -> int:
    """The 64-bit score of a group with a key or a member id; the same on every machine."""
    return xxhash.xxh3_64_intdigest(f"{group}\0{item}".encode())


def group_name(index: int) -> str:
    """The name of a group other than the cluster's own."""
    return f"g{index}"


@lru_cache(maxsize=MAX_CACHED_KEYS)
def group_for_key(key: str, group_count: int) -> str:
    """The group of a command's key: the cluster's own group for "", else one of "g0" to "g(group_count - 1)".

    The key's first letter, its kind, is ignored.  Adding a group moves 1 / (group_count + 1) of the keys.
    """
    if not key:
        return FLEET
    names = (group_name(index) for index in range(group_count))
    return max(names, key=lambda group: rendezvous_score(group, key[1:]))
