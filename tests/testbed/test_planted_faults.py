"""Faults planted into the real code, each found by name within a stated number of drawn runs: the checks
can fail."""

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
class Planted:
    """`names`: what it may be found by.  `kinds`: of plans, `seeds`: so many of each at the most."""

    patch: Patch
    names: tuple[str, ...]
    kinds: tuple[str, ...] = ("everything",)
    seeds: int = 6
    members: int = 0  # 0: drawn
    changes: dict[str, Any] = field(default_factory=dict)  # of each plan


def unstored_vote(patch: pytest.MonkeyPatch) -> None:
    """A vote is told before it is stored, and the code's own check sleeps: the referee compares with the
    disk."""
    whole = RaftNode._send_when_persisted

    def told(self: RaftNode, to: str, message: Any) -> None:
        if isinstance(message, RequestVoteReply):
            self._effects.append(SendMessage(to, message))
        else:
            whole(self, to, message)

    patch.setattr(RaftNode, "_send_when_persisted", told)


def unstored_entries(patch: pytest.MonkeyPatch) -> None:
    """What is told when it is stored is told at once: the code's own check finds it."""
    patch.setattr(RaftNode, "_send_when_persisted", RaftNode._send)


def older_terms(patch: pytest.MonkeyPatch) -> None:
    """Copies of an older term's entry are counted."""
    patch.setattr(RaftNode, "_is_entry_of_current_term", lambda self, index: True)


def votes_twice(patch: pytest.MonkeyPatch) -> None:
    """A member votes for whoever asks."""
    patch.setattr(RaftNode, "_may_grant_vote", lambda self, who: True)


def forgotten_vote(patch: pytest.MonkeyPatch) -> None:
    """A start forgets for whom the member voted."""
    whole = Disk.start

    def start(self: Disk, process_number: int) -> dict[str, PersistedGroup]:
        return {name: replace(saved, voted_for="") for name, saved in whole(self, process_number).items()}

    patch.setattr(Disk, "start", start)


def forgotten_term(patch: pytest.MonkeyPatch) -> None:
    """A start forgets term and vote."""
    whole = Disk.start

    def start(self: Disk, process_number: int) -> dict[str, PersistedGroup]:
        return {
            name: replace(saved, current_term=saved.entries[-1].term if saved.entries else 0, voted_for="")
            for name, saved in whole(self, process_number).items()
        }

    patch.setattr(Disk, "start", start)


def lying_disk(patch: pytest.MonkeyPatch) -> None:
    """A store says that it is done when it has begun."""

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

    def quietly(self: Disk, process_number: int) -> None:
        if process_number == self._process_number:
            for store in self._syncing:
                self._write(store)
            self._syncing = []
            if self._queued:
                self._sync()

    patch.setattr(Disk, "_sync", sync)
    patch.setattr(Disk, "_quietly", quietly, raising=False)


def applied_twice(patch: pytest.MonkeyPatch) -> None:
    """After a change of leader its last entry is applied again."""
    whole = RaftNode._become_leader

    def begin(self: RaftNode, now: float) -> None:
        if self.last_applied > self._log.base_index:
            self.last_applied -= 1
        whole(self, now)

    patch.setattr(RaftNode, "_become_leader", begin)


def ids_forgotten(patch: pytest.MonkeyPatch) -> None:
    """A repeat of a call takes effect again."""
    patch.setattr(PutValue, "remembers_answer", False)


def reads_alone(patch: pytest.MonkeyPatch) -> None:
    """Who believes that it leads answers reads at once, and goes on believing it unheard."""

    def read(self: RaftNode, now: float, token: str) -> None:
        error = self._rejection(0)
        self._effects.append(OperationCompleted(token, error))

    patch.setattr(RaftNode, "_handle_read", read)
    patch.setattr(RaftNode, "_heard_from_quorum", lambda self, now: True)


def short_logs(patch: pytest.MonkeyPatch) -> None:
    """A vote is given whatever the asker's log lacks."""
    whole = RaftNode._handle_request_vote

    def ask(self: RaftNode, now: float, who: str, said: RequestVote) -> None:
        whole(
            self,
            now,
            who,
            RequestVote(said.group, said.term, 1 << 40, 1 << 40, said.pre_vote, said.leadership_transfer),
        )

    patch.setattr(RaftNode, "_handle_request_vote", ask)


def cuts_all(patch: pytest.MonkeyPatch) -> None:
    """An append cuts the log behind it, also one that came late."""
    whole = RaftNode._append_entries

    def take(self: RaftNode, entries: tuple[Any, ...]) -> bool:
        if (
            entries
            and self._log.base_index < entries[0].index <= self._log.last_index
            and not self._truncate(entries[0].index)
        ):
            return False
        return whole(self, entries)

    patch.setattr(RaftNode, "_append_entries", take)


def minority(patch: pytest.MonkeyPatch) -> None:
    """One copy fewer than a majority is enough."""
    patch.setattr(GroupConfiguration, "majority", lambda self: max(len(self.voters) // 2, 1))


def snapshot_without_ids(patch: pytest.MonkeyPatch) -> None:
    """A snapshot leaves one promise out."""
    from badgeryoke.cluster.key_value import KeyValueStore

    patch.setattr(KeyValueStore, "dump", lambda self: dict(list(self._values.items())[1:]))


FEW = {"copies": 3, "groups": 2, "keys": 3, "proposals": 60.0}


def old_incarnation(patch: pytest.MonkeyPatch) -> None:
    """Who comes back without its store goes on as who it was."""
    whole = Disk.wipe

    def wipe(self: Disk) -> None:
        before = self.incarnation
        whole(self)
        self.incarnation = before

    patch.setattr(Disk, "wipe", wipe)


def learners_count(patch: pytest.MonkeyPatch) -> None:
    """What a learner has stored counts for a majority."""
    whole = RaftNode._advance_commit_index

    def advance(self: RaftNode, now: float) -> None:
        whole(self, now)
        if self.config.learners and self.role is Role.LEADER:
            most = sorted(
                (self._persisted_index, *(peer.match_index for peer in self._followers.values())),
                reverse=True,
            )
            at = most[self.config.majority() - 1]
            if self._is_entry_of_current_term(at):
                self._commit_up_to(now, min(at, self._log.last_index))

    patch.setattr(RaftNode, "_advance_commit_index", advance)


def no_clock_margin(patch: pytest.MonkeyPatch) -> None:
    """A lease is given to another after its own time, by whatever clock."""
    patch.setattr(Timings, "lease_expiry_ms", lambda self: self.lease_ms)


def silence_frees(patch: pytest.MonkeyPatch) -> None:
    """What a holder has is free when nothing was heard of it for half a lease."""
    patch.setattr(Timings, "lease_expiry_ms", lambda self: self.lease_ms / 2.0)
    patch.setattr(ConnectionLimits, "expiry_after_ms", lambda self, idle_ms: self.lease_duration_ms() / 2.0)


def no_idle_time(patch: pytest.MonkeyPatch) -> None:
    """A lost machine's connections count as closed when its lease is over."""
    patch.setattr(ConnectionLimits, "lease_duration_ms", lambda self: self._timings.lease_ms)
    patch.setattr(ConnectionLeaseHolder, "lease_ms", 2000.0, raising=False)
    patch.setattr("badgeryoke.cluster.connection_limits.lease_timing.LEASE_MULTIPLE", 1.0)
    patch.setattr(ConnectionLimits, "expiry_after_ms", lambda self, idle_ms: self._timings.lease_expiry_ms())


def returned_too_soon(patch: pytest.MonkeyPatch) -> None:
    """A part is given back when its connections are being closed, not when they are."""
    patch.setattr(ConnectionLeaseHolder, "closing", lambda self, server: self.closed(server))


def opened_before_granted(patch: pytest.MonkeyPatch) -> None:
    """A gateway opens what it has asked for."""

    def may_open(self: ConnectionLeaseHolder, now: float, server: str) -> bool:
        return self.servers[server].open < self.servers[server].need

    patch.setattr(ConnectionLeaseHolder, "may_open", may_open)


def unwatched_copies(patch: pytest.MonkeyPatch) -> None:
    """A wave looks at no copies."""
    patch.setattr(
        "badgeryoke.cluster.rolling_restart.scheduler.observe_conditions",
        lambda view, restart, wave, ending="": ClusterConditions(0, 1, 0, -1.0, 0.0),
    )


def any_round(patch: pytest.MonkeyPatch) -> None:
    """A step is made wherever its gateway stands by now, and back to where it stood."""
    patch.setattr(RollingRestarts, "_is_current", lambda self, one, round_: True)
    patch.setitem(GATEWAY_TRANSITIONS, (GatewayPhase.RETURNING, GatewayEvent.WHOLE), GatewayPhase.GRANTING)


TABLE: dict[str, Planted] = {
    "vote told before it is stored": Planted(unstored_vote, ("vote-not-stored",)),
    "entries told before they are stored": Planted(unstored_entries, ("STORED_FIRST",)),
    "commit by counting an older term": Planted(older_terms, ("OWN_TERM",)),
    "two votes in a term": Planted(votes_twice, ("VOTE_ONCE",), ("lossless", "links")),
    "vote forgotten at a start": Planted(forgotten_vote, ("two-votes",), ("restless",), 24, 3),
    "term forgotten at a start": Planted(
        forgotten_term, ("term-forgotten", "two-votes"), ("restless",), 24, 3
    ),
    "a store that lies": Planted(lying_disk, ("acknowledged-not-stored", "vote-not-stored")),
    "applied twice": Planted(applied_twice, ("APPLIED_ONCE",)),
    "a repeat taken again": Planted(ids_forgotten, ("twice",)),
    "reads without a round": Planted(reads_alone, ("not-linear",), ("storm",), 24, 3, FEW),
    "votes for short logs": Planted(
        short_logs, ("COMMITTED_STAYS", "lost", "logs-differ"), ("storm",), 24, 3, FEW
    ),
    "a late append cuts": Planted(cuts_all, ("COMMITTED_STAYS",), ("links",)),
    "an old incarnation votes": Planted(
        old_incarnation, ("two-votes", "lost", "COMMITTED_STAYS"), ("wild",), 24, 3
    ),
    "a learner counted as a voter": Planted(
        learners_count, ("committed-not-stored",), ("disks",), 6, 5, {"proposals": 60.0}
    ),
    "a minority commits": Planted(minority, ("committed-not-stored", "two-leaders", "ONE_LEADER", "lost")),
    "a lease without clock margin": Planted(no_clock_margin, ("contract_over",), ("frozen",), 12),
    "a part freed at silence": Planted(silence_frees, ("contract_over",), ("frozen",), 6),
    "a lost machine's connections counted closed": Planted(
        no_idle_time, ("connections-over",), ("drains",), 24, 5
    ),
    "connections returned too soon": Planted(returned_too_soon, ("connections-over",), ("drains",), 6, 5),
    "connections opened before granted": Planted(
        opened_before_granted, ("OPEN_UNDER_LEASE",), ("drains",), 3
    ),
    "a wave without waiting for copies": Planted(unwatched_copies, ("wave-before-copies",), ("gone",), 12),
    "a gateway drained again": Planted(any_round, ("ROLL_FORWARD", "drained-twice"), ("drains",), 3, 3),
    "a snapshot that lacks a promise": Planted(
        snapshot_without_ids,
        ("lost", "not-linear", "twice"),
        ("storm",),
        24,
        3,
        {**FEW, "keys": 24, "snapshot_entries": 20},
    ),
}


def restless(seed: int) -> Plan:
    """Slow links, and processes that end and are back at once: elections meet elections."""
    rng = Random(seed)
    faults = [Fault(1000.0, "delay", "gateways", ((1,), (2,), (3,)), rng.choice((60.0, 120.0, 200.0)))]
    at = 1500.0
    while at < 12_000.0:
        who = ((rng.randint(1, 3),),)
        faults += [
            Fault(at, "kill", "gateway", who),
            Fault(at + rng.uniform(1.0, 60.0), "start", "gateway", who),
        ]
        at += rng.uniform(30.0, 500.0)
    faults.sort(key=lambda fault: fault.at_ms)
    return Plan(seed, 3, groups=8, length_ms=12_000.0, proposals=10.0, faults=tuple(faults))


def frozen(seed: int) -> Plan:
    """Holders of a busy contract stand still one after another, for longer than a lease."""
    rng = Random(seed)
    faults: list[Fault] = []
    for at in range(7000, 17_000, 3200):
        who = ((rng.randint(1, 3),),)
        faults += [Fault(at, "freeze", "gateway", who), Fault(at + 2800.0, "thaw", "gateway", who)]
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


def gone(seed: int) -> Plan:
    """A roll is asked for while a lost machine's copies are still missing."""
    who = ((Random(seed).randint(1, 5),),)
    return Plan(
        seed,
        5,
        length_ms=10_000.0,
        proposals=5.0,
        connections=10,
        servers=1,
        faults=(Fault(2500.0, "lose", "gateway", who), Fault(9500.0, "start", "gateway", who)),
        rolls=(RollText("r", 4500.0, tuple(n for n in range(1, 6) if n != who[0][0])),),
    )


def plans(planted: Planted) -> Iterable[Plan]:
    for seed in range(1, planted.seeds + 1):
        for kind in planted.kinds:
            own = {"restless": restless, "frozen": frozen, "gone": gone}.get(kind)
            drawn = own(seed) if own is not None else generate_plan(seed, planted.members, kind)
            yield replace(drawn, **planted.changes)


def sought(planted: Planted) -> tuple[int, list[str]]:
    """After how many runs it was found, and all names that were found on the way."""
    seen: dict[str, None] = {}
    for count, plan in enumerate(plans(planted), 1):
        played: PlayResult = play(plan)
        seen.update(dict.fromkeys(played.names))
        if not set(planted.names).isdisjoint(played.names):
            return count, list(seen)
    return 0, list(seen)


@pytest.mark.parametrize("name", TABLE)
def test_a_planted_fault_is_found_by_its_name(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    planted = TABLE[name]
    planted.patch(monkeypatch)
    count, seen = sought(planted)
    assert count, f"not found in {planted.seeds} seeds; seen: {seen}"
