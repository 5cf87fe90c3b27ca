"""Terms, pre-vote and votes (paper, 5.2 and 5.4.1; dissertation, 9.6 and 4.2.3).

Who is answered.  Votes are counted only from member ids that are voters in the candidate's own configuration,
so an earlier incarnation's never are.  A voter answers every candidate that is a member here, *and* an
unknown one whose log is strictly newer than its own: that one may be a member by an entry that is missing
here, and a group could otherwise stay without a leader for good.  An unknown candidate with no newer log gets
no answer and moves no term.  Removed members disturb nobody, as they get no pre-vote while a leader is heard.
"""

from __future__ import annotations

from badgeryoke.cluster.invariants import Rule
from badgeryoke.cluster.messages import MemberId, RequestVote, RequestVoteReply, TimeoutNow
from badgeryoke.cluster.raft.persistence import Persistence
from badgeryoke.cluster.raft.state_types import Role


class Election(Persistence):
    """The steps from follower over candidate to leader, and back."""

    # Changes of role

    def _become_follower(self, now_ms: float, term: int, leader: MemberId = "") -> None:
        """Follow in a term, that leader where it is known."""
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
        """Poll whether votes would be granted; nothing is persisted by it and no term moves.

        The retry comes soon, as one lost message or one voter that has just heard the leader must not cost a
        complete election timeout.
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
        """Be a candidate in a new term.  Its own vote counts, and others are requested, once it is
        persisted."""
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
        """The leader transfers its leadership to this member."""
        from_leader = message.term == self.current_term and self.leader_id == sender
        if from_leader and self.member_id in self.config.voters:
            self._start_election(now_ms, leadership_transfer=True)

    def _note_leader(self, term: int, leader: MemberId) -> bool:
        """Remember who leads a term; False where another was seen to lead it."""
        known_term, known_leader = self._latest_leader
        holds = self._check(
            Rule.ONE_LEADER,
            known_term != term or known_leader == leader,
            lambda: f"{self.group}: {known_leader} and {leader} in {term}, seen by {self.member_id}",
        )
        self._latest_leader = (term, leader)
        return holds

    # Answers to candidates

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
                return  # the candidate's term must not end a leader that is heard
            self._become_follower(now_ms, request.term)
        if request.term == self.current_term and log_is_current and self._may_grant_vote(candidate):
            self._grant_vote(now_ms, candidate)
        else:
            self._send(candidate, RequestVoteReply(self.group, self.current_term, False, False))

    def _hears_leader(self, now_ms: float) -> bool:
        """Whether this member leads, or heard the leader within an election time (dissertation, 4.2.3)."""
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

    # Votes of others

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
        polling = self.role is Role.PRE_CANDIDATE and reply.term == self.current_term + 1
        if polling and self._is_eligible_voter(voter):
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
