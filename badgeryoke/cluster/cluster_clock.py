"""The cluster's time: the median of the wall clocks that this member has received from other members, and its own.

The median keeps one machine whose clock is set wrong from moving the groups' time.
"""

from __future__ import annotations

from collections.abc import Container, Sized
from typing import Protocol

from badgeryoke.cluster.messages import MemberId, member_name


class MemberNames(Container[str], Sized, Protocol):
    """The names of all listed members, including this one."""


class MedianClock:
    """Estimates the cluster's time; `offset_ms` is the cluster's time minus this machine's wall clock."""

    def __init__(self, names: MemberNames) -> None:
        self._names = names
        self._offsets_ms: dict[str, float] = {}  # other members' wall clocks minus this machine's, by name
        self.offset_ms = 0.0
        self.is_synchronized = len(names) <= 1  # whether the clocks of a majority are known

    def observe(self, sender: MemberId, offset_ms: float) -> None:
        """Record how far another member's clock is ahead of this machine's; unlisted names are ignored."""
        name = member_name(sender)
        if name not in self._names:
            return
        self._offsets_ms[name] = offset_ms
        offsets = sorted([0.0, *self._offsets_ms.values()])
        # With an even count take the earlier of the two middle clocks: a group's time never goes back, so a time that
        # is too early can be corrected and one that is too late cannot.
        self.offset_ms = offsets[(len(offsets) - 1) // 2]
        self.is_synchronized = 2 * len(offsets) > len(self._names)
