"""SWIM's dissemination: updates travel on pings and their answers, those sent least often first."""

from __future__ import annotations

import math
from dataclasses import dataclass
from heapq import nsmallest

from badgeryoke.cluster.membership.member_table import MemberState, MemberTable, id_is_known
from badgeryoke.cluster.messages import GossipUpdate, MemberId, member_name

MAX_UPDATES_PER_MESSAGE = 16
RETRANSMIT_MULTIPLE = 3  # SWIM's lambda: an update is sent this many times the log of the members


@dataclass(slots=True)
class _PendingUpdate:
    """An update that is still passed on, and how often it was sent."""

    update: GossipUpdate
    send_count: int = 0


class GossipQueue:
    """Updates that this member still passes on, bounded by the members and by who suspects them."""

    def __init__(self, table: MemberTable) -> None:
        self._table = table
        # By the member's name and, of a suspicion, by who suspects it.
        self._pending: dict[tuple[str, MemberId], _PendingUpdate] = {}

    def add(self, update: GossipUpdate) -> None:
        """Pass an update on, as if it were new; one of a name without an incarnation says nothing."""
        if id_is_known(update.who):
            suspecting = update.by if update.state == MemberState.SUSPECTED else ""
            self._pending[member_name(update.who), suspecting] = _PendingUpdate(update)

    def add_local_state(self) -> None:
        """Pass this member's own state on, anew."""
        local = self._table.local
        state = MemberState.LEFT if local.has_left else MemberState.ALIVE
        self.add(GossipUpdate(local.id, state, local.incarnation_number))

    def discard(self, name: str) -> None:
        """Pass on nothing more that was queued of a member."""
        for key in [key for key in self._pending if key[0] == name]:
            del self._pending[key]

    def take(self, recipient_name: str) -> tuple[GossipUpdate, ...]:
        """The updates that go with a message.

        The first is what the recipient itself is believed to be, unless alive, so that it can refute
        (Lifeguard's buddy system).
        """
        first: list[GossipUpdate] = []
        recipient = self._table.get(recipient_name)
        if recipient is not None and recipient.state != MemberState.ALIVE and recipient.is_known:
            first.append(recipient.gossip_update(self._table.local.id))
        max_sends = math.ceil(RETRANSMIT_MULTIPLE * math.log(len(self._table) + 2))
        chosen = nsmallest(
            MAX_UPDATES_PER_MESSAGE - len(first), self._pending.items(), key=lambda item: item[1].send_count
        )
        for key, pending in chosen:
            pending.send_count += 1
            if pending.send_count >= max_sends:
                del self._pending[key]
        return (*first, *(pending.update for _, pending in chosen))
