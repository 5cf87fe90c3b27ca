"""Membership changes, one member at a time with learners first (dissertation, 4.1, 4.2.1 and 4.2.2).

A configuration is in force as soon as it is appended.  A new member is added as a learner, receives the log and is
promoted to voter once it has caught up; only then is a lost voter removed.
"""

from __future__ import annotations

import math

from badgeryoke.cluster.errors import ClusterError, InvalidCall, NotFound, WrongState
from badgeryoke.cluster.events import ChangeMembership, MembershipAction
from badgeryoke.cluster.invariants import Rule
from badgeryoke.cluster.messages import EntryKind, GroupConfiguration, MemberId, TimeoutNow
from badgeryoke.cluster.raft.log import encode_config
from badgeryoke.cluster.raft.persistence import Persistence
from badgeryoke.cluster.raft.state_types import FollowerProgress


class MembershipChange(Persistence):
    """The leader's side of membership changes: adding learners, promotion and removal."""

    def _has_caught_up(self, member: MemberId) -> bool:
        progress = self._followers.get(member)
        return progress is not None and progress.has_caught_up()

    def _track_followers(self, now_ms: float) -> None:
        """Track the progress of every member of the configuration."""
        for member in self.config.voters + self.config.learners:
            if member != self.member_id and member not in self._followers:
                self._followers[member] = FollowerProgress(self.last_log_index + 1, now_ms)
        self._quorum_until_ms = -math.inf

    def _handle_membership_change(self, now_ms: float, change: ChangeMembership) -> None:
        error = self._rejection(len(self._pending))
        if error is None and change.action not in tuple(MembershipAction):
            expected = "act: expected learn, promote or remove"
            error = InvalidCall(self.group, f"{expected}, got {change.action!r}")
        error = error or self._change_rejection(change)
        if error is not None:
            self._complete(change.token, error)
            return
        config = changed_config(self.config, change)
        if config == self.config:
            self._complete(change.token, config)  # the change has already been made
            return
        if not self._check_change_may_begin(change):
            self._complete(change.token, self.stop_reason)
            return
        self._pending[self._append_as_leader(EntryKind.CONFIG, encode_config(config))] = change.token
        self._track_followers(now_ms)
        for member, progress in self._followers.items():
            self._replicate_to(now_ms, member, progress)

    def _change_rejection(self, change: ChangeMembership) -> ClusterError | None:
        """The error with which a change is rejected now; None if it is accepted."""
        member = change.member
        if not self.leading or self._log.config_index > self.commit_index:
            return WrongState(self.group, "another change of members, or of leader, is under way")
        if change.action == MembershipAction.PROMOTE:
            if not self._is_member(member):
                return NotFound(self.group, f"{member} is no learner")
            if member in self.config.learners and not self._has_caught_up(member):
                return WrongState(self.group, f"{member} has not caught up")
        if change.action == MembershipAction.REMOVE and self.config.voters == (member,):
            return WrongState(self.group, f"{member} is the last voter")
        return None

    def _check_change_may_begin(self, change: ChangeMembership) -> bool:
        no_change_in_flight = self.leading and self._log.config_index <= self.commit_index
        promotes = change.action == MembershipAction.PROMOTE
        return self._check(
            Rule.CONFIG_ONE,
            no_change_in_flight and (not promotes or self._has_caught_up(change.member)),
            lambda: (
                f"{change} at {self.last_log_index}, committed {self.commit_index}, "
                f"config {self._log.config_index}"
            ),
        )

    def _check_single_change(self, before: GroupConfiguration) -> bool:
        """Check that the configuration differs from the one before by at most one voter."""
        changed_voters = set(before.voters) ^ set(self.config.voters)
        return self._check(Rule.CONFIG_ONE, len(changed_voters) <= 1, lambda: f"{before} to {self.config}")

    def _finish_config_change(self, now_ms: float) -> None:
        """Act on a committed configuration: send removed members a last append, and step down if this leader was
        removed."""
        for member in [member for member in self._followers if not self._is_member(member)]:
            self._replicate_to(now_ms, member, self._followers[member], heartbeat=True)
            del self._followers[member]
        if self.member_id not in self.config.voters:
            successor = self._most_up_to_date_voter(now_ms)
            if successor:
                self._send(successor, TimeoutNow(self.group, self.current_term))
            self._become_follower(now_ms, self.current_term)


def changed_config(config: GroupConfiguration, change: ChangeMembership) -> GroupConfiguration:
    """The configuration after a change; the same configuration if the change has already been made."""
    member = change.member
    other_voters = tuple(voter for voter in config.voters if voter != member)
    other_learners = tuple(learner for learner in config.learners if learner != member)
    match change.action:
        case MembershipAction.LEARN:
            if member in config.voters or member in config.learners:
                return config
            return GroupConfiguration(config.voters, (*config.learners, member))
        case MembershipAction.PROMOTE:
            if member in config.voters:
                return config
            return GroupConfiguration((*other_voters, member), other_learners)
        case MembershipAction.REMOVE:
            return GroupConfiguration(other_voters, other_learners)
