"""SWIM's dissemination: membership updates are piggybacked on its messages, the least often sent ones first."""

from __future__ import annotations

import math
from dataclasses import dataclass
from heapq import nsmallest

from badgeryoke.cluster.membership.member_table import MemberState, MemberTable, id_is_known
from badgeryoke.cluster.messages import GossipUpdate, MemberId, member_name

MAX_UPDATES_PER_MESSAGE = 16
RETRANSMIT_MULTIPLE = 3  # SWIM's lambda: an update is sent this many times the logarithm of the member count


@dataclass(slots=True)
class _PendingUpdate:
    """An update that is still being sent, and how often it has been sent."""

    update: GossipUpdate
    send_count: int = 0


class GossipQueue:
    """The updates that this member still sends: at most one for each member and each member that suspects it."""

    def __init__(self, table: MemberTable) -> None:
        self._table = table
        # The key is the member's name and, for a suspicion, the id of the member that suspects it.
        self._pending: dict[tuple[str, MemberId], _PendingUpdate] = {}

    def add(self, update: GossipUpdate) -> None:
        """Queue an update with its send count reset; an update of a name with unknown incarnation is dropped."""
        if id_is_known(update.who):
            suspected_by = update.by if update.state == MemberState.SUSPECTED else ""
            self._pending[member_name(update.who), suspected_by] = _PendingUpdate(update)

    def add_local_state(self) -> None:
        """Queue this member's own state, with its send count reset."""
        local = self._table.local
        state = MemberState.LEFT if local.has_left else MemberState.ALIVE
        self.add(GossipUpdate(local.id, state, local.incarnation_number))

    def discard(self, name: str) -> None:
        """Remove the queued updates about a member."""
        for key in [key for key in self._pending if key[0] == name]:
            del self._pending[key]

    def take_updates(self, recipient_name: str) -> tuple[GossipUpdate, ...]:
        """The updates to send along with a message; counts them as sent.

        If the recipient itself is not recorded as alive, its own record comes first, so that it can refute it
        (Lifeguard's buddy system).
        """
        about_recipient: list[GossipUpdate] = []
        recipient = self._table.get(recipient_name)
        if recipient is not None and recipient.state != MemberState.ALIVE and recipient.is_known:
            about_recipient.append(recipient.gossip_update(self._table.local.id))
        max_sends = math.ceil(RETRANSMIT_MULTIPLE * math.log(len(self._table) + 2))
        chosen = nsmallest(
            MAX_UPDATES_PER_MESSAGE - len(about_recipient),
            self._pending.items(),
            key=lambda item: item[1].send_count,
        )
        for key, pending in chosen:
            pending.send_count += 1
            if pending.send_count >= max_sends:
                del self._pending[key]
        return (*about_recipient, *(pending.update for _, pending in chosen))
