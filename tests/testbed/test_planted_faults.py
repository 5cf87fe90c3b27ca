"""Faults planted into the code under test, each of which the checks have to find by name within a stated number of
generated runs."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

import pytest

from badgeryoke.cluster.connection_limits.lease_holder import ConnectionLeaseHolder
from badgeryoke.cluster.connection_limits.limits import ConnectionLimits
from badgeryoke.cluster.events import OperationCompleted, PersistedGroup, RecordsPersisted, SendMessage
from badgeryoke.cluster.key_value import PutValue
from badgeryoke.cluster.messages import GroupConfiguration, RequestVote, RequestVoteReply
from badgeryoke.cluster.raft.node import RaftNode
from badgeryoke.cluster.raft.state_types import Role
from badgeryoke.cluster.rolling_restart.conditions import ClusterConditions
from badgeryoke.cluster.rolling_restart.transitions import GATEWAY_TRANSITIONS, GatewayEvent, GatewayPhase
from badgeryoke.cluster.rolling_restart.waves import RollingRestarts
from badgeryoke.cluster.timings import Timings
from badgeryoke.testbed.cluster_simulation.disk import Disk
from badgeryoke.testbed.cluster_simulation.fault_plan import Plan, generate_plan
from badgeryoke.testbed.cluster_simulation.generated_plans import PlayResult, play
from badgeryoke.testbed.scenario.model import ContractText, Fault, RollText

Patch = Callable[[pytest.MonkeyPatch], None]


@dataclass(frozen=True)
class PlantedFault:
    """A planted fault; one of the findings in `names` has to occur in the runs of `kinds` with `seeds` seeds each."""

    patch: Patch
    names: tuple[str, ...]
    kinds: tuple[str, ...] = ("everything",)
    seeds: int = 6
    members: int = 0  # 0: generated
    changes: dict[str, Any] = field(default_factory=dict)  # to each plan


def vote_sent_before_persisted(patch: pytest.MonkeyPatch) -> None:
    """A vote is sent before it is persisted, past the invariant check; the comparison with the disk finds it."""
    original = RaftNode._send_when_persisted

    def send_when_persisted(self: RaftNode, to: str, message: Any) -> None:
        if isinstance(message, RequestVoteReply):
            self._effects.append(SendMessage(to, message))
        else:
            original(self, to, message)

    patch.setattr(RaftNode, "_send_when_persisted", send_when_persisted)


def messages_sent_before_persisted(patch: pytest.MonkeyPatch) -> None:
    """Messages are sent before their records are persisted; the code's invariant check finds it."""
    patch.setattr(RaftNode, "_send_when_persisted", RaftNode._send)


def commit_of_older_term(patch: pytest.MonkeyPatch) -> None:
    """The replicas of an entry of an older term are counted for a commit."""
    patch.setattr(RaftNode, "_is_entry_of_current_term", lambda self, index: True)


def two_votes_in_a_term(patch: pytest.MonkeyPatch) -> None:
    """A member grants every vote."""
    patch.setattr(RaftNode, "_may_grant_vote", lambda self, candidate: True)


def vote_lost_at_restart(patch: pytest.MonkeyPatch) -> None:
    """The vote is lost at a restart."""
    original = Disk.start

    def start(self: Disk, process_number: int) -> dict[str, PersistedGroup]:
        return {name: replace(saved, voted_for="") for name, saved in original(self, process_number).items()}

    patch.setattr(Disk, "start", start)


def term_lost_at_restart(patch: pytest.MonkeyPatch) -> None:
    """Term and vote are lost at a restart."""
    original = Disk.start

    def start(self: Disk, process_number: int) -> dict[str, PersistedGroup]:
        return {
            name: replace(saved, current_term=saved.entries[-1].term if saved.entries else 0, voted_for="")
            for name, saved in original(self, process_number).items()
        }

    patch.setattr(Disk, "start", start)


def early_persistence_report(patch: pytest.MonkeyPatch) -> None:
    """The disk reports a write as persisted when it has only begun."""

    def sync(self: Disk) -> None:
        self._syncing, self._queued = self._queued, []
        for store in self._syncing:
            self._event_queue.schedule(
                self._event_queue.now,
                self._notify,
                self._process_number,
                RecordsPersisted(store.group, store.sequence),
            )
        self._event_queue.schedule(self._event_queue.now + 30.0, self._quietly, self._process_number)  # type: ignore[attr-defined]

    def finish_without_report(self: Disk, process_number: int) -> None:
        if process_number == self._process_number:
            for store in self._syncing:
                self._write(store)
            self._syncing = []
            if self._queued:
                self._sync()

    patch.setattr(Disk, "_sync", sync)
    patch.setattr(Disk, "_quietly", finish_without_report, raising=False)


def entry_applied_twice(patch: pytest.MonkeyPatch) -> None:
    """A new leader applies its last applied entry again."""
    original = RaftNode._become_leader

    def begin(self: RaftNode, now: float) -> None:
        if self.last_applied > self._log.base_index:
            self.last_applied -= 1
        original(self, now)

    patch.setattr(RaftNode, "_become_leader", begin)


def repeated_call_applied(patch: pytest.MonkeyPatch) -> None:
    """A repeated call is applied again."""
    patch.setattr(PutValue, "remembers_answer", False)


def reads_without_quorum(patch: pytest.MonkeyPatch) -> None:
    """A leader answers reads without a quorum round, and does not step down without a quorum."""

    def read(self: RaftNode, now: float, token: str) -> None:
        error = self._rejection(0)
        self._effects.append(OperationCompleted(token, error))

    patch.setattr(RaftNode, "_handle_read", read)
    patch.setattr(RaftNode, "_heard_from_quorum", lambda self, now: True)


def votes_for_short_logs(patch: pytest.MonkeyPatch) -> None:
    """A vote is granted even if the candidate's log is behind."""
    original = RaftNode._handle_request_vote

    def handle_request_vote(self: RaftNode, now: float, sender: str, request: RequestVote) -> None:
        original(
            self,
            now,
            sender,
            RequestVote(
                request.group, request.term, 1 << 40, 1 << 40, request.pre_vote, request.leadership_transfer
            ),
        )

    patch.setattr(RaftNode, "_handle_request_vote", handle_request_vote)


def late_append_truncates(patch: pytest.MonkeyPatch) -> None:
    """An append truncates the log after its entries, even if it arrives late."""
    original = RaftNode._append_entries

    def append_entries(self: RaftNode, entries: tuple[Any, ...]) -> bool:
        if (
            entries
            and self._log.base_index < entries[0].index <= self._log.last_index
            and not self._truncate(entries[0].index)
        ):
            return False
        return original(self, entries)

    patch.setattr(RaftNode, "_append_entries", append_entries)


def minority_commits(patch: pytest.MonkeyPatch) -> None:
    """One replica fewer than a majority is sufficient."""
    patch.setattr(GroupConfiguration, "majority", lambda self: max(len(self.voters) // 2, 1))


def incomplete_snapshot(patch: pytest.MonkeyPatch) -> None:
    """A snapshot omits one key-value entry."""
    from badgeryoke.cluster.key_value import KeyValueStore

    patch.setattr(KeyValueStore, "dump", lambda self: dict(list(self._values.items())[1:]))


FEW_KEYS = {"copies": 3, "groups": 2, "keys": 3, "proposals": 60.0}


def kept_incarnation(patch: pytest.MonkeyPatch) -> None:
    """A member that lost its store keeps its incarnation."""
    original = Disk.wipe

    def wipe(self: Disk) -> None:
        before = self.incarnation
        original(self)
        self.incarnation = before

    patch.setattr(Disk, "wipe", wipe)


def learners_counted_as_voters(patch: pytest.MonkeyPatch) -> None:
    """The persisted entries of learners count for a majority."""
    original = RaftNode._advance_commit_index

    def advance(self: RaftNode, now: float) -> None:
        original(self, now)
        if self.config.learners and self.role is Role.LEADER:
            match_indexes = sorted(
                (self._persisted_index, *(peer.match_index for peer in self._followers.values())),
                reverse=True,
            )
            index = match_indexes[self.config.majority() - 1]
            if self._is_entry_of_current_term(index):
                self._commit_up_to(now, min(index, self._log.last_index))

    patch.setattr(RaftNode, "_advance_commit_index", advance)


def no_clock_margin(patch: pytest.MonkeyPatch) -> None:
    """A lease is granted to another holder without a margin for clock drift."""
    patch.setattr(Timings, "lease_expiry_ms", lambda self: self.lease_ms)


def early_lease_expiry(patch: pytest.MonkeyPatch) -> None:
    """A holder's share is free after half a lease without a message from it."""
    patch.setattr(Timings, "lease_expiry_ms", lambda self: self.lease_ms / 2.0)
    patch.setattr(ConnectionLimits, "expiry_after_ms", lambda self, idle_ms: self.lease_duration_ms() / 2.0)


def no_idle_time(patch: pytest.MonkeyPatch) -> None:
    """The connections of a lost machine count as closed at the end of its lease, without the idle time."""
    patch.setattr(ConnectionLimits, "lease_duration_ms", lambda self: self._timings.lease_ms)
    patch.setattr(ConnectionLeaseHolder, "lease_ms", 2000.0, raising=False)
    patch.setattr("badgeryoke.cluster.connection_limits.lease_timing.LEASE_MULTIPLE", 1.0)
    patch.setattr(ConnectionLimits, "expiry_after_ms", lambda self, idle_ms: self._timings.lease_expiry_ms())


def connections_returned_early(patch: pytest.MonkeyPatch) -> None:
    """A lease is returned while its connections are being closed, not after."""
    patch.setattr(ConnectionLeaseHolder, "closing", lambda self, server: self.closed(server))


def connections_opened_before_grant(patch: pytest.MonkeyPatch) -> None:
    """A gateway opens the connections that it has requested, without waiting for the grant."""

    def may_open(self: ConnectionLeaseHolder, now: float, server: str) -> bool:
        return self.servers[server].open < self.servers[server].need

    patch.setattr(ConnectionLeaseHolder, "may_open", may_open)


def replicas_unchecked(patch: pytest.MonkeyPatch) -> None:
    """A wave of a rolling restart does not check the replicas."""
    patch.setattr(
        "badgeryoke.cluster.rolling_restart.scheduler.observe_conditions",
        lambda view, restart, wave, ending="": ClusterConditions(0, 1, 0, -1.0, 0.0),
    )


def outdated_steps_accepted(patch: pytest.MonkeyPatch) -> None:
    """A step is applied whatever the gateway's current phase, and a returning gateway goes back to granting."""
    patch.setattr(RollingRestarts, "_is_current", lambda self, gateway, round_: True)
    patch.setitem(GATEWAY_TRANSITIONS, (GatewayPhase.RETURNING, GatewayEvent.WHOLE), GatewayPhase.GRANTING)


PLANTED_FAULTS: dict[str, PlantedFault] = {
    "vote sent before it is persisted": PlantedFault(vote_sent_before_persisted, ("vote-not-stored",)),
    "messages sent before their records are persisted": PlantedFault(
        messages_sent_before_persisted, ("STORED_FIRST",)
    ),
    "commit by counting an older term": PlantedFault(commit_of_older_term, ("OWN_TERM",)),
    "two votes in a term": PlantedFault(two_votes_in_a_term, ("VOTE_ONCE",), ("lossless", "links")),
    "vote lost at a restart": PlantedFault(vote_lost_at_restart, ("two-votes",), ("rapid_restarts",), 24, 3),
    "term lost at a restart": PlantedFault(
        term_lost_at_restart, ("term-forgotten", "two-votes"), ("rapid_restarts",), 24, 3
    ),
    "early persistence report": PlantedFault(
        early_persistence_report, ("acknowledged-not-stored", "vote-not-stored")
    ),
    "entry applied twice": PlantedFault(entry_applied_twice, ("APPLIED_ONCE",)),
    "repeated call applied again": PlantedFault(repeated_call_applied, ("twice",)),
    "reads without a quorum round": PlantedFault(
        reads_without_quorum, ("not-linear",), ("storm",), 24, 3, FEW_KEYS
    ),
    "votes for short logs": PlantedFault(
        votes_for_short_logs, ("COMMITTED_STAYS", "lost", "logs-differ"), ("storm",), 24, 3, FEW_KEYS
    ),
    "a late append truncates": PlantedFault(late_append_truncates, ("COMMITTED_STAYS",), ("links",)),
    "incarnation kept after a lost store": PlantedFault(
        kept_incarnation, ("two-votes", "lost", "COMMITTED_STAYS"), ("wild",), 24, 3
    ),
    "a learner counted as a voter": PlantedFault(
        learners_counted_as_voters, ("committed-not-stored",), ("disks",), 6, 5, {"proposals": 60.0}
    ),
    "a minority commits": PlantedFault(
        minority_commits, ("committed-not-stored", "two-leaders", "ONE_LEADER", "lost")
    ),
    "a lease without clock margin": PlantedFault(no_clock_margin, ("contract_over",), ("frozen",), 12),
    "a lease that expires early": PlantedFault(early_lease_expiry, ("contract_over",), ("frozen",), 6),
    "a lost machine's connections counted as closed": PlantedFault(
        no_idle_time, ("connections-over",), ("drains",), 24, 5
    ),
    "connections returned early": PlantedFault(
        connections_returned_early, ("connections-over",), ("drains",), 6, 5
    ),
    "connections opened before the grant": PlantedFault(
        connections_opened_before_grant, ("OPEN_UNDER_LEASE",), ("drains",), 3
    ),
    "a wave that does not wait for replicas": PlantedFault(
        replicas_unchecked, ("wave-before-copies",), ("lost_machine",), 12
    ),
    "a gateway drained again": PlantedFault(
        outdated_steps_accepted, ("ROLL_FORWARD", "drained-twice"), ("drains",), 3, 3
    ),
    "a snapshot that omits an entry": PlantedFault(
        incomplete_snapshot,
        ("lost", "not-linear", "twice"),
        ("storm",),
        24,
        3,
        {**FEW_KEYS, "keys": 24, "snapshot_entries": 20},
    ),
}


def rapid_restarts(seed: int) -> Plan:
    """Slow links, and processes that are killed and restarted at once, so that elections overlap."""
    rng = Random(seed)
    faults = [Fault(1000.0, "delay", "gateways", ((1,), (2,), (3,)), rng.choice((60.0, 120.0, 200.0)))]
    at = 1500.0
    while at < 12_000.0:
        gateway_group = ((rng.randint(1, 3),),)
        faults += [
            Fault(at, "kill", "gateway", gateway_group),
            Fault(at + rng.uniform(1.0, 60.0), "start", "gateway", gateway_group),
        ]
        at += rng.uniform(30.0, 500.0)
    faults.sort(key=lambda fault: fault.at_ms)
    return Plan(seed, 3, groups=8, length_ms=12_000.0, proposals=10.0, faults=tuple(faults))


def frozen(seed: int) -> Plan:
    """Holders of a busy contract are frozen in turn, for longer than a lease."""
    rng = Random(seed)
    faults: list[Fault] = []
    for at in range(7000, 17_000, 3200):
        gateway_group = ((rng.randint(1, 3),),)
        faults += [
            Fault(at, "freeze", "gateway", gateway_group),
            Fault(at + 2800.0, "thaw", "gateway", gateway_group),
        ]
    return Plan(
        seed,
        3,
        groups=2,
        length_ms=17_000.0,
        proposals=1.0,
        drift=0.2,
        faults=tuple(faults),
        contracts=(ContractText("c", (1, 3), 120.0, 20.0, 5000.0, 60_000.0),),
    )


def lost_machine(seed: int) -> Plan:
    """A rolling restart begins while the replicas of a lost machine are still missing."""
    gateway_group = ((Random(seed).randint(1, 5),),)
    return Plan(
        seed,
        5,
        length_ms=10_000.0,
        proposals=5.0,
        connections=10,
        servers=1,
        faults=(
            Fault(2500.0, "lose", "gateway", gateway_group),
            Fault(9500.0, "start", "gateway", gateway_group),
        ),
        rolls=(RollText("r", 4500.0, tuple(n for n in range(1, 6) if n != gateway_group[0][0])),),
    )


def plans(planted: PlantedFault) -> Iterable[Plan]:
    for seed in range(1, planted.seeds + 1):
        for kind in planted.kinds:
            own = {"rapid_restarts": rapid_restarts, "frozen": frozen, "lost_machine": lost_machine}.get(kind)
            plan = own(seed) if own is not None else generate_plan(seed, planted.members, kind)
            yield replace(plan, **planted.changes)


def run_until_found(planted: PlantedFault) -> tuple[int, list[str]]:
    """The number of runs until the fault was found, 0 if it was not, and the names of all findings."""
    seen: dict[str, None] = {}
    for count, plan in enumerate(plans(planted), 1):
        played: PlayResult = play(plan)
        seen.update(dict.fromkeys(played.names))
        if not set(planted.names).isdisjoint(played.names):
            return count, list(seen)
    return 0, list(seen)


@pytest.mark.parametrize("name", PLANTED_FAULTS)
def test_a_planted_fault_is_found_by_name(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    planted = PLANTED_FAULTS[name]
    planted.patch(monkeypatch)
    count, seen = run_until_found(planted)
    assert count, f"not found in {planted.seeds} seeds; seen: {seen}"
