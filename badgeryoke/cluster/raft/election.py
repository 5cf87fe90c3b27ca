"""Terms, pre-vote and votes (paper, 5.2 and 5.4.1; dissertation, 9.6 and 4.2.3).

A candidate counts votes only from member ids that are voters in its own configuration, so it never counts the
vote of an earlier incarnation.  A voter replies to every candidate in its configuration, and also to an unknown
candidate whose log is strictly newer than its own: an entry that is missing here may have made that candidate a
member, and without a reply the group could stay without a leader forever.  An unknown candidate without a newer
log gets no reply and does not change the voter's term.  Removed members cannot disrupt the group, as they get no
pre-vote while the voters hear from a leader.
"""

from __future__ import annotations

from badgeryoke.cluster.invariants import Rule
from badgeryoke.cluster.messages import MemberId, RequestVote, RequestVoteReply, TimeoutNow
from badgeryoke.cluster.raft.persistence import Persistence
from badgeryoke.cluster.raft.state_types import Role


class Election(Persistence):
    """Role changes between follower, candidate and leader, and the votes that decide them."""

    # Role changes

    def _become_follower(self, now_ms: float, term: int, leader: MemberId = "") -> None:
        """Become a follower in `term`, of `leader` if it is known."""
        if self.role is Role.LEADER:
            self._end_leadership()
        if self.role is not Role.FOLLOWER or leader:
            self._election_deadline_ms = now_ms + self._election_timeout_ms
        if term > self.current_term:
            self._set_term_and_vote(term, "")
            self._incoming_snapshot, self._confirmed_round = None, 0
        if self.role is not Role.FOLLOWER:
            self.role = Role.FOLLOWER
            self._election_timeout_ms = self._random_election_timeout_ms()
            self._election_deadline_ms = now_ms + self._election_timeout_ms
        self.leader_id = leader

    def _start_pre_vote(self, now_ms: float) -> None:
        """Ask the voters whether they would grant a vote; this persists nothing and changes no term.

        The deadline for the retry is shorter than an election timeout, so that one lost message, or one voter that
        has just heard from the leader, does not cost a complete election timeout.
        """
        self.role, self.leader_id, self._votes = Role.PRE_CANDIDATE, "", {self.member_id: None}
        self._election_deadline_ms = now_ms + self._timings.election_ms * (0.25 + 0.25 * self._rng.random())
        if self._has_majority_of_votes():
            self._start_election(now_ms)
            return
        request = self._vote_request(self.current_term + 1, pre_vote=True)
        for voter in self._other_voters():
            self._send(voter, request)

    def _start_election(self, now_ms: float, leadership_transfer: bool = False) -> None:
        """Become a candidate in a new term.

        The candidate's own vote is counted, and the other votes are requested, once its vote is persisted.
        """
        self._set_term_and_vote(self.current_term + 1, self.member_id)
        self.role, self.leader_id, self._votes = Role.CANDIDATE, "", {}
        self._incoming_snapshot, self._confirmed_round = None, 0
        self._election_deadline_ms = now_ms + self._timings.election_ms * (0.5 + 0.5 * self._rng.random())
        request = self._vote_request(self.current_term, False, leadership_transfer)
        for voter in self._other_voters():
            self._send_when_persisted(voter, request)

    def _vote_request(self, term: int, pre_vote: bool, leadership_transfer: bool = False) -> RequestVote:
        return RequestVote(
            self.group, term, self.last_log_index, self._last_log_term, pre_vote, leadership_transfer
        )

    def _other_voters(self) -> tuple[MemberId, ...]:
        return tuple(voter for voter in self.config.voters if voter != self.member_id)

    def _handle_timeout_now(self, now_ms: float, sender: MemberId, message: TimeoutNow) -> None:
        """Start an election at once: the leader transfers its leadership to this member."""
        from_leader = message.term == self.current_term and self.leader_id == sender
        if from_leader and self.member_id in self.config.voters:
            self._start_election(now_ms, leadership_transfer=True)

    def _note_leader(self, term: int, leader: MemberId) -> bool:
        """Record the leader of a term; False if another leader of the same term is already recorded."""
        known_term, known_leader = self._latest_leader
        is_only_leader = self._check(
            Rule.ONE_LEADER,
            known_term != term or known_leader == leader,
            lambda: f"{self.group}: {known_leader} and {leader} in {term}, seen by {self.member_id}",
        )
        self._latest_leader = (term, leader)
        return is_only_leader

    # Replies to candidates

    def _handle_request_vote(self, now_ms: float, candidate: MemberId, request: RequestVote) -> None:
        own_log = (self._last_log_term, self.last_log_index)
        candidate_log = (request.last_log_term, request.last_log_index)
        if self._log.config is None or (not self._is_member(candidate) and candidate_log <= own_log):
            return
        log_is_current = candidate_log >= own_log
        leader_heard = self._hears_leader(now_ms) and not request.leadership_transfer
        if request.pre_vote:
            self._answer_pre_vote(candidate, request, log_is_current and not leader_heard)
            return
        if request.term > self.current_term:
            if leader_heard:
                return  # the candidate's term must not depose a leader that this member hears from
            self._become_follower(now_ms, request.term)
        if request.term == self.current_term and log_is_current and self._may_grant_vote(candidate):
            self._grant_vote(now_ms, candidate)
        else:
            self._send(candidate, RequestVoteReply(self.group, self.current_term, False, False))

    def _hears_leader(self, now_ms: float) -> bool:
        """Whether this member leads, or heard from the leader within `Timings.election_ms` (dissertation, 4.2.3)."""
        return self.role is Role.LEADER or now_ms - self._leader_heard_ms < self._timings.election_ms

    def _answer_pre_vote(self, candidate: MemberId, request: RequestVote, would_grant: bool) -> None:
        granted = request.term > self.current_term and would_grant
        term = request.term if granted else self.current_term
        self._send(candidate, RequestVoteReply(self.group, term, granted, True))

    def _grant_vote(self, now_ms: float, candidate: MemberId) -> None:
        if self.voted_for != candidate:
            self._set_term_and_vote(self.current_term, candidate)
        self._election_deadline_ms = now_ms + self._election_timeout_ms
        self._send_when_persisted(candidate, RequestVoteReply(self.group, self.current_term, True, False))

    def _may_grant_vote(self, candidate: MemberId) -> bool:
        return self.voted_for in ("", candidate)

    # Received votes

    def _handle_request_vote_reply(self, now_ms: float, voter: MemberId, reply: RequestVoteReply) -> None:
        if reply.pre_vote:
            self._handle_pre_vote_reply(now_ms, voter, reply)
        elif reply.term > self.current_term:
            self._become_follower(now_ms, reply.term)
        else:
            is_vote = reply.vote_granted and reply.term == self.current_term
            if is_vote and self.role is Role.CANDIDATE and self._is_eligible_voter(voter):
                self._count_vote(now_ms, voter)

    def _handle_pre_vote_reply(self, now_ms: float, voter: MemberId, reply: RequestVoteReply) -> None:
        if not reply.vote_granted:
            if reply.term > self.current_term:
                self._become_follower(now_ms, reply.term)
            return
        is_current_poll = self.role is Role.PRE_CANDIDATE and reply.term == self.current_term + 1
        if is_current_poll and self._is_eligible_voter(voter):
            self._votes[voter] = None
            if self._has_majority_of_votes():
                self._start_election(now_ms)

    def _is_eligible_voter(self, member: MemberId) -> bool:
        return member in self.config.voters

    def _count_vote(self, now_ms: float, voter: MemberId) -> None:
        if not self._check(
            Rule.VOTE_ONCE, voter in self.config.voters, lambda: f"{voter} is no voter of {self.config}"
        ):
            return
        self._votes[voter] = None
        if self._has_majority_of_votes():
            self._become_leader(now_ms)

    def _has_majority_of_votes(self) -> bool:
        return len(self._votes) >= self.config.majority()
