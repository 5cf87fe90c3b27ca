"""The cluster's time: the median of the members' wall clocks, as far as this member has heard them.

A clock that was set wrong, or a machine that started with it, must not carry the groups' time away.
"""

from __future__ import annotations

from collections.abc import Container, Sized
from typing import Protocol

from badgeryoke.cluster.messages import MemberId, member_name


class MemberNames(Container[str], Sized, Protocol):
    """The listed names, this member's own included."""


class MedianClock:
    """`offset_ms`: the cluster's time less this machine's."""

    def __init__(self, names: MemberNames) -> None:
        self._names = names
        self._offsets_ms: dict[str, float] = {}  # other members' wall clocks less this machine's
        self.offset_ms = 0.0
        self.is_synchronized = len(names) <= 1  # whether a majority's clocks were heard

    def observe(self, sender: MemberId, offset_ms: float) -> None:
        """Take in how far another member's clock is ahead of this machine's; ignored for unlisted names."""
        name = member_name(sender)
        if name not in self._names:
            return
        self._offsets_ms[name] = offset_ms
        offsets = sorted([0.0, *self._offsets_ms.values()])
        # Of two in the middle the one behind: a group's time goes forward, never back.
        self.offset_ms = offsets[(len(offsets) - 1) // 2]
        self.is_synchronized = 2 * len(offsets) > len(self._names)
