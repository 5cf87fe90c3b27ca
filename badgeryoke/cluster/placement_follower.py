"""Reads the placement periodically, and changes the members of the groups led here to match it."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from badgeryoke.cluster.call_router import CallResult, CallRouter
from badgeryoke.cluster.events import ChangeMembership, Effect, MembershipAction, TransferLeadership
from badgeryoke.cluster.invariants import Invariants
from badgeryoke.cluster.membership.protocol import Membership
from badgeryoke.cluster.messages import MemberId
from badgeryoke.cluster.node_setup import NodeSetup
from badgeryoke.cluster.node_timers import NodeTimers, TokenSource, next_multiple
from badgeryoke.cluster.placement.commands import ReadPlacement
from badgeryoke.cluster.placement.directory import PlacementDirectory
from badgeryoke.cluster.raft.node import RaftNode
from badgeryoke.cluster.replica_host import ReplicaHost
from badgeryoke.cluster.state_machine_part import ApplyResult

LAGGING_AFTER_MS = 1000.0  # a voter that has not caught up for this long is reported
# Interval if no group is led here; the placement is then used only to route calls.
IDLE_READ_INTERVAL_MS = 3000.0
LEADER_READ_INTERVAL_MS = 400.0  # interval if a group is led here and the placement is not settled
# Interval if a group is led here and the placement was settled for SETTLED_AFTER_MS.
SETTLED_READ_INTERVAL_MS = 1600.0
SETTLED_AFTER_MS = 5000.0  # long enough for the next gateway of a rolling restart to have begun
CHANGE_READ_DELAY_MS = 50.0  # delay of the next read while a replica is being moved
TIMER_SLACK_MS = 1.0  # a read that is due within this time is made now


class PlacementFollower:
    """Keeps groups led here in line with `placement`, the placement as last read (empty before the first read)."""

    def __init__(
        self,
        setup: NodeSetup,
        invariants: Invariants,
        host: ReplicaHost,
        membership: Membership,
        router: CallRouter,
        tokens: TokenSource,
        timers: NodeTimers,
        now: float,
    ) -> None:
        self._member_id, self._timings, self._invariants = setup.member_id, setup.timings, invariants
        self._host, self._membership, self._router = host, membership, router
        self._tokens, self._timers = tokens, timers
        self.placement = PlacementDirectory(setup.timings, invariants)
        self._is_reading = False
        self._changing_groups: dict[str, None] = {}  # groups with a membership change in flight here
        # Since when (ms) a voter of a group led here lags, by group and voter.
        self._lagging_since: dict[tuple[str, MemberId], float] = {}
        self._check_at = self._idle_read_at = self._unsettled_at = self._last_read_at = now

    def run_timer(self, now: float, wall: float) -> list[Effect]:
        """Read the placement if that is due."""
        if self._check_at > now:
            return []
        self._check_at = next_multiple(now, LEADER_READ_INTERVAL_MS)
        if not self._is_settled():
            self._unsettled_at = now
        is_unsettled = now - self._unsettled_at < SETTLED_AFTER_MS
        if is_unsettled or self._last_read_at + SETTLED_READ_INTERVAL_MS <= now + TIMER_SLACK_MS:
            return self.read(now, wall)
        return []

    def read_if_stale(self, now: float, wall: float) -> list[Effect]:
        """Read the placement unless it was read recently.

        Called when another read of the cluster's own group is sent, so that both are sent together.
        """
        if now - self._last_read_at < SETTLED_READ_INTERVAL_MS / 2.0:
            return []
        return self.read(now, wall)

    def read(self, now: float, wall: float) -> list[Effect]:
        """Read the placement if a group is led here or the idle interval has passed, unless a read is in flight."""
        leads = any(replica.leading for replica in self._host.replicas.values())
        if self._is_reading or not (leads or self._idle_read_at <= now):
            return []
        self._idle_read_at = now + IDLE_READ_INTERVAL_MS
        self._is_reading, self._last_read_at = True, now

        def on_result(at: float, result: CallResult) -> list[Effect]:
            self._is_reading = False
            if not isinstance(result, ApplyResult) or result.error is not None:
                return []
            self._load_placement(result.value["state"])
            return self._follow(at, wall)

        return self._router.call(now, wall, ReadPlacement(id=self._tokens.next()), on_result)

    def _load_placement(self, state: Any) -> None:
        """Adopt `state`, the placement in its snapshot form, and the member ids and voters in it."""
        self.placement = PlacementDirectory(self._timings, self._invariants)
        self.placement.load(state)
        self._host.voters_by_group = self.placement.voters()
        self._membership.learn_ids(member.id for member in self.placement.members.values())

    def _follow(self, now: float, wall: float) -> list[Effect]:
        effects: list[Effect] = []
        for group, replica in list(self._host.replicas.items()):
            if replica.leading and group not in self._changing_groups and not self._host.is_leaving:
                effects += self.advance_group(now, wall, group, replica)
                if group in self.placement.moves:
                    self._check_at = min(self._check_at, now + CHANGE_READ_DELAY_MS)
        return effects

    def advance_group(self, now: float, wall: float, group: str, replica: RaftNode) -> list[Effect]:
        """Make the next membership change of a group led here, or report its configuration if none is needed."""
        if replica.commit_index < replica.config_index:
            return []
        change = self.placement.next_membership_change(
            group, replica.config, replica.lagging_learners(), self._membership.alive_ids()
        )
        if change is None:
            return self._report(now, wall, group, replica)
        if change.action == MembershipAction.REMOVE and change.member == self._member_id:
            return self._host.feed(now, group, TransferLeadership())
        return self._change_members(now, group, change)

    def _report(self, now: float, wall: float, group: str, replica: RaftNode) -> list[Effect]:
        lagging = self.lagging_for_long(now, group, replica)
        report = self.placement.configuration_report(group, replica.config, replica.config_index, lagging)
        if report is None or self._router.task_is_pending(report.id):
            return []
        return self._router.call_once(now, wall, report)

    def _change_members(self, now: float, group: str, change: ChangeMembership) -> list[Effect]:
        token = self._tokens.next()
        self._changing_groups[group] = None

        def on_completion(at: float, result: Any) -> list[Effect]:
            self._changing_groups.pop(group, None)
            # Check the next step soon instead of at the next interval.
            self._check_at = min(self._check_at, at + CHANGE_READ_DELAY_MS)
            self._timers.leader_tasks_at = self._check_at
            return []

        self._host.on_completion(token, on_completion)
        return self._host.feed(now, group, replace(change, token=token))

    def _is_settled(self) -> bool:
        """Whether all known members are alive, no replica is being moved and none lags.

        This takes the placement as last read, and the replicas of the groups led here.
        """
        if self.placement.moves or len(self._membership.alive_ids()) < len(self.placement.members):
            return False
        if any(group.lagging for group in self.placement.groups.values()):
            return False
        return not any(
            replica.leading and (replica.config.learners or replica.lagging_voters())
            for replica in self._host.replicas.values()
        )

    def lagging_for_long(self, now: float, group: str, replica: RaftNode) -> tuple[MemberId, ...]:
        """Voters that have lagged for `LAGGING_AFTER_MS`; a shorter lag is not worth a log entry.

        A new leader has no record of when its voters began to lag, so it reports every lagging voter at first.
        """
        lagging = replica.lagging_voters()
        self._lagging_since = {
            key: since for key, since in self._lagging_since.items() if key[0] != group or key[1] in lagging
        }
        is_new_leader = now - replica.leader_since_ms < LAGGING_AFTER_MS
        return tuple(
            voter
            for voter in lagging
            if now - self._lagging_since.setdefault((group, voter), now) >= LAGGING_AFTER_MS or is_new_leader
        )
