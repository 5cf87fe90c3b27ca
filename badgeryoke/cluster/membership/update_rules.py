"""SWIM's rules for which update overrides a member's recorded state; every state change is made here."""

from __future__ import annotations

from badgeryoke.cluster.events import LogEvent, SendMessage
from badgeryoke.cluster.membership.dissemination import GossipQueue
from badgeryoke.cluster.membership.local_health import LocalHealth
from badgeryoke.cluster.membership.member_table import MemberRecord, MemberState, MemberTable, id_is_known
from badgeryoke.cluster.messages import GossipUpdate, MemberId, member_name

MAX_CONFIRMATIONS = 3  # independent confirmations at which the suspicion timeout reaches its minimum
MAX_PAST_IDS = 4  # superseded ids that are kept for each name

Effects = list[SendMessage | LogEvent]


class UpdateRules:
    """Applies gossip and the failure detector's results to the table, and queues the updates to send on."""

    def __init__(self, table: MemberTable, gossip: GossipQueue, health: LocalHealth) -> None:
        self._table, self._gossip, self._health = table, gossip, health

    def apply(self, now: float, update: GossipUpdate, effects: Effects) -> None:
        """Apply one update from another member; an update with an unknown state is ignored."""
        if not id_is_known(update.who) or not MemberState.ALIVE <= update.state <= MemberState.LEFT:
            return
        name = member_name(update.who)
        if name == self._table.local.name:
            self._apply_to_local(update, effects)
            return
        record = self._table.get(name)
        if record is None:
            return
        if update.who != record.id and not self._accept_other_id(now, record, update, effects):
            return
        if update.count >= record.incarnation_number:
            self._apply_to_current_id(now, record, update, effects)

    def _apply_to_local(self, update: GossipUpdate, effects: Effects) -> None:
        """Handle an update about this member: refute it, or resend this member's state if the sender lacks it."""
        local = self._table.local
        if update.who != local.id:
            self._gossip.add_local_state()  # the sender only has an earlier id
        elif update.state == MemberState.ALIVE:
            return
        elif update.count < local.incarnation_number:
            self._gossip.add_local_state()  # the refutation has not reached the sender
        elif not local.has_left:
            local.incarnation_number = update.count + 1
            self._health.degrade()
            self._gossip.add_local_state()
            state = MemberState(update.state)
            effects.append(LogEvent("info", "fleet_refuted", {"state": state.label, "by": update.by}))

    def _accept_other_id(
        self, now: float, record: MemberRecord, update: GossipUpdate, effects: Effects
    ) -> bool:
        """Whether an update about an id other than the name's current one makes that id the current one."""
        if update.who in record.past_ids:
            self._gossip.add(record.gossip_update(self._table.local.id))
            return False
        if update.state in (MemberState.DEAD, MemberState.LEFT) and record.is_known:
            return False  # an id never seen here that no longer runs
        self.supersede(now, record, update.who, effects)
        return True

    def _apply_to_current_id(
        self, now: float, record: MemberRecord, update: GossipUpdate, effects: Effects
    ) -> None:
        is_newer = update.count > record.incarnation_number
        match MemberState(update.state):
            case MemberState.ALIVE:
                overrides = is_newer
            case MemberState.SUSPECTED:
                overrides = is_newer or record.state == MemberState.ALIVE
                if not overrides and record.state == MemberState.SUSPECTED:
                    self._confirm_suspicion(record, update)
            case _:
                overrides = is_newer or record.state.is_running
        if overrides:
            record.incarnation_number = update.count
            self.change_state(now, record, update, effects)

    def report_failed_ping(self, now: float, record: MemberRecord, effects: Effects) -> bool:
        """Record this member's own suspicion; returns whether the member was recorded as alive before."""
        update = GossipUpdate(
            record.id, MemberState.SUSPECTED, record.incarnation_number, self._table.local.id
        )
        if record.state == MemberState.ALIVE:
            self.change_state(now, record, update, effects)
            return True
        if record.state == MemberState.SUSPECTED:
            self._confirm_suspicion(record, update)
        return False

    def report_dead(self, now: float, record: MemberRecord, effects: Effects) -> None:
        """Record a member as dead after its suspicion timeout."""
        update = GossipUpdate(record.id, MemberState.DEAD, record.incarnation_number, self._table.local.id)
        self.change_state(now, record, update, effects)

    def _confirm_suspicion(self, record: MemberRecord, update: GossipUpdate) -> None:
        """Count an independent suspicion, which shortens the timeout (Lifeguard), and queue it for sending."""
        if update.by not in record.suspected_by and len(record.suspected_by) <= MAX_CONFIRMATIONS:
            record.suspected_by[update.by] = None
            self._gossip.add(update)

    def change_state(self, now: float, record: MemberRecord, update: GossipUpdate, effects: Effects) -> None:
        """Change a member's state; no other code does.  Changes between alive and suspected are not logged."""
        before, state = record.state, MemberState(update.state)
        record.state = state
        if before != state:
            record.state_since_ms = now
        is_suspected = state == MemberState.SUSPECTED
        record.suspected_by = {update.by: None} if is_suspected else {}
        if is_suspected:
            self._table.suspected_names[record.name] = None
        else:
            self._table.suspected_names.pop(record.name, None)
        self._gossip.discard(record.name)
        self._gossip.add(update)
        if before != state and not (before.is_running and state.is_running):
            level = "warning" if state == MemberState.DEAD else "info"
            fields = {"who": record.id, "state": state.label, "was": before.label, "by": update.by}
            effects.append(LogEvent(level, "fleet_member", fields))

    def supersede(self, now: float, record: MemberRecord, member_id: MemberId, effects: Effects) -> bool:
        """Make another id the name's current one; returns False if that id is superseded or incomplete."""
        if member_id in record.past_ids or not id_is_known(member_id):
            return False
        if record.is_known:
            while len(record.past_ids) >= MAX_PAST_IDS:
                del record.past_ids[next(iter(record.past_ids))]
            record.past_ids[record.id] = now
            fields = {"who": member_id, "was": record.id}
            effects.append(LogEvent("warning", "fleet_new_incarnation", fields))
        record.id, record.incarnation_number = member_id, 0
        self.change_state(now, record, GossipUpdate(member_id, MemberState.ALIVE, 0), effects)
        return True
