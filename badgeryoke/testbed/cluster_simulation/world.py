"""A fleet in simulated time: the product's nodes on simulated links, clocks and stores, under a random load.

Nothing reads a clock and all chance comes from the seed, each part from a Random of its own: the same plan
gives the same bytes, in whatever process.  The referee sees the calls, each message on its way and what is
durable on each disk; it asks no node what it believes.
"""

from __future__ import annotations

import math
import traceback
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from functools import partial
from random import Random
from typing import Any

import msgspec

from badgeryoke.cluster.errors import ClusterError
from badgeryoke.cluster.events import (
    ClusterCall,
    Effect,
    LeaveCluster,
    LogEvent,
    MessageReceived,
    NodeEvent,
    OperationCompleted,
    PersistedGroup,
    PersistRecords,
    SendMessage,
    Tick,
)
from badgeryoke.cluster.invariants import Invariants, InvariantViolation
from badgeryoke.cluster.key_value import PutValue, ReadValue
from badgeryoke.cluster.messages import (
    AnyMessage,
    AppendEntries,
    AppendEntriesReply,
    EntryKind,
    GroupConfiguration,
    GroupMessage,
    InstallSnapshotChunk,
    RequestVoteReply,
    member_name,
)
from badgeryoke.cluster.node import BOOTSTRAP_GROUP, ClusterNode, LeaseClient, Member, NodeSetup
from badgeryoke.cluster.placement.rendezvous import group_for_key
from badgeryoke.cluster.state_machine_part import ApplyResult, Command
from badgeryoke.cluster.timings import Timings
from badgeryoke.testbed.checkers.history_checker import Finding, Operation, Verdict, check_history
from badgeryoke.testbed.cluster_simulation.clock import Clock
from badgeryoke.testbed.cluster_simulation.disk import Disk, Kept
from badgeryoke.testbed.cluster_simulation.fault_plan import Plan
from badgeryoke.testbed.cluster_simulation.gateway import Gates
from badgeryoke.testbed.cluster_simulation.network import Calendar, Network
from badgeryoke.testbed.report.cluster_figures import FleetFigures
from badgeryoke.testbed.scenario.model import Fault

MOST_INBOX = 4096  # events that wait for a frozen process; further ones are lost, as a full socket's are
CLIENT_MS = 500.0  # that a client waits beyond the call's own time
MOST_TRIES = 8
LOOK_MS = 50.0
MOST_CONFIGS = 4
SETTLE_MS = 40_000.0  # within which a mended fleet has to answer again
NodeType = Callable[
    [NodeSetup, dict[str, PersistedGroup], Random, float, float, Invariants, Iterable[LeaseClient]],
    ClusterNode,
]


@dataclass(slots=True)
class Machine:
    """One gateway's machine.  `life` counts its processes."""

    name: str
    hall: str
    clock: Clock
    disk: Disk
    setup: NodeSetup
    node: ClusterNode | None = None
    life: int = 0
    boot: int = 1  # of the machine itself: a lost one boots anew
    frozen: bool = False
    inbox: list[NodeEvent] = field(default_factory=list)
    tick_at: float = math.inf
    waits: dict[str, Callable[[Any], None]] = field(default_factory=dict)  # calls under way, by token

    @property
    def id(self) -> str:
        """As it is now."""
        return self.setup.member_id

    @property
    def up(self) -> bool:
        """Whether it runs and is not frozen."""
        return self.node is not None and not self.frozen


class FleetWorld:
    """One run of a plan."""

    def __init__(self, plan: Plan, node_type: NodeType = ClusterNode) -> None:
        self.plan, self._node_type = plan, node_type
        seed = f"fleet/{plan.seed}"
        self.calendar = Calendar()
        self.network = Network(self.calendar, Random(f"{seed}/links"), self._arrive)
        self.draw = Random(f"{seed}/load")
        self._nodes_draw = Random(f"{seed}/nodes")
        disks, clocks = Random(f"{seed}/disks"), Random(f"{seed}/clocks")
        self.timings = Timings(snapshot_entries=plan.snapshot_entries, clock_drift=max(plan.drift, 0.01))
        self.idle_ms = 3000.0  # of the servers
        self.rules = Invariants()
        names = [f"g{number}" for number in range(1, plan.members + 1)]
        members = tuple(Member(name, f"hall-{'ab'[at % plan.halls]}") for at, name in enumerate(names))
        self.machines: dict[str, Machine] = {}
        for member in members:
            half = plan.drift / 2.0
            clock = Clock(
                1.0 + clocks.uniform(-half, half), clocks.uniform(1e5, 1e8), clocks.uniform(-2000.0, 2000.0)
            )
            disk = Disk(self.calendar, disks, partial(self._stored, member.name))
            disk.fsync_ms = plan.fsync_ms
            self.machines[member.name] = Machine(
                member.name,
                member.zone,
                clock,
                disk,
                NodeSetup(
                    "lab",
                    member.name,
                    disk.incarnation,
                    members,
                    plan.copies,
                    plan.groups,
                    self.timings,
                    capacity=4.0 * sum(text.rate for text in plan.contracts),
                    connection_limits={f"s{number + 1}": plan.connections for number in range(plan.servers)},
                    connection_idle_ms=self.idle_ms,
                ),
            )
        self.findings: list[Finding] = []
        self.over = False
        self.ops: list[Operation] = []
        self.says: dict[str, int] = {}
        self.calls = 0
        self._open: dict[str, dict[str, Operation]] = {}  # calls under way for each key, by id
        self._leaders: dict[tuple[str, int], str] = {}
        self._votes: dict[tuple[str, str, int], str] = {}
        self.most_leaders = 1
        self._configs: dict[
            str, list[GroupConfiguration]
        ] = {}  # the last that leaders told of each group: one counts at once
        self._commits: dict[str, int] = {}  # highest that a leader told, for each group
        self._before: dict[str, int] = {}  # the same at the look before
        self._loss_at = math.inf
        self.restored_ms: float | None = None
        self._silent: dict[str, float] = {}
        self.unavailable_ms = 0.0
        self.unreadable = 0
        self.loading = True
        self.unset = 0  # calls that never came to an end
        self.gates = Gates(self)

    # Processes ------------------------------------------------------------------------------------------

    def start(self, name: str) -> None:
        """Start a process on a machine where none runs."""
        machine = self.machines[name]
        if machine.node is not None:
            return
        machine.life += 1
        machine.frozen, machine.inbox, machine.tick_at = False, [], math.inf
        true = self.calendar.now
        machine.clock.start(true)
        now = machine.clock.now(true)
        machine.setup = replace(machine.setup, incarnation=machine.disk.incarnation)
        saved = machine.disk.start(machine.life)
        try:
            machine.node = self._node_type(
                machine.setup,
                saved,
                Random(self._nodes_draw.getrandbits(64)),
                now,
                machine.clock.wall(now),
                self.rules,
                self.gates.start(machine, now),
            )
        except InvariantViolation as fault:
            self.found(fault.rule.name, str(fault))
            return
        self._give(name, machine.life, [Tick()])

    def kill(self, name: str, lost: bool = False) -> None:
        """SIGKILL; `lost`: the machine itself is gone, and tells nobody."""
        machine = self.machines[name]
        if machine.node is None:
            return
        self.gates.ended(machine, lost)
        machine.boot += lost
        machine.node = None
        machine.life += 1
        machine.frozen, machine.inbox = False, []
        machine.disk.crash()
        waits, machine.waits = machine.waits, {}
        for done in waits.values():
            done(None)

    def freeze(self, name: str) -> None:
        """SIGSTOP."""
        machine = self.machines[name]
        machine.frozen = machine.node is not None

    def thaw(self, name: str) -> None:
        """SIGCONT: what piled up comes at once."""
        machine = self.machines[name]
        if machine.frozen:
            machine.frozen = False
            events, machine.inbox, machine.tick_at = machine.inbox, [], math.inf
            self._give(name, machine.life, [*events, Tick()])

    def _stored(self, name: str, life: int, event: NodeEvent) -> None:
        self._give(name, life, [event])

    def _give(self, name: str, life: int, events: list[NodeEvent]) -> None:
        machine = self.machines[name]
        node = machine.node
        if node is None or life != machine.life or self.over:
            return
        if machine.frozen:
            machine.inbox += events[: max(MOST_INBOX - len(machine.inbox), 0)]
            return
        true = self.calendar.now
        now = machine.clock.now(true)
        wall = machine.clock.wall(now)
        effects: list[Effect] = []
        try:
            for event in events:
                effects += node.handle(now, wall, event)
        except InvariantViolation as fault:
            self.found(fault.rule.name, f"{name}: {fault}")
            return
        except Exception:
            self.found("crash", f"{name}: {traceback.format_exc(limit=-6)}")
            return
        if effects:
            self._carry_out(machine, effects)
        due = max(machine.clock.true(node.due), true + 0.2)
        if due < machine.tick_at:
            machine.tick_at = due
            self.calendar.at(due, self._tick, name, machine.life, due)

    def _tick(self, name: str, life: int, due: float) -> None:
        machine = self.machines[name]
        if life != machine.life or machine.node is None or machine.tick_at != due:
            return
        machine.tick_at = math.inf
        later = machine.clock.true(machine.node.due)
        if later > self.calendar.now + 1e-3:
            machine.tick_at = later
            self.calendar.at(later, self._tick, name, life, later)
        else:
            self._give(name, life, [Tick()])

    def nudge(self, name: str, life: int) -> None:
        """A process is told to look what is due."""
        self._give(name, life, [Tick()])

    def _carry_out(self, machine: Machine, effects: list[Effect]) -> None:
        sends: dict[str, list[AnyMessage]] = {}
        for effect in effects:
            if isinstance(effect, SendMessage):
                sends.setdefault(effect.to, []).append(effect.message)
                self._saw(machine, effect.to, effect.message)
            elif isinstance(effect, PersistRecords):
                machine.disk.put(effect)
            elif isinstance(effect, OperationCompleted):
                done = machine.waits.pop(effect.token, None)
                if done is not None:
                    done(effect.result)
            elif isinstance(effect, LogEvent):
                self.says[effect.event] = self.says.get(effect.event, 0) + 1
        for to, messages in sends.items():
            self.network.send(machine.name, member_name(to), (machine.id, to, messages), messages)

    def _arrive(self, sender: str, to: str, envelope: tuple[str, str, list[AnyMessage]]) -> None:
        machine = self.machines.get(to)
        who, meant, messages = envelope
        if machine is None or machine.node is None or (meant.partition("/")[2] and meant != machine.id):
            return  # told to a member as it was before: the shell throws it away
        self._give(to, machine.life, [MessageReceived(who, message) for message in messages])

    # What the referee sees on the network and the disks ---------------------------------------------------

    def found(self, name: str, facts: str) -> None:
        """Something is wrong: the run ends."""
        self.findings.append(Finding(name, facts, round(self.calendar.now, 3)))
        self.over = True

    def _saw(self, machine: Machine, to: str, message: AnyMessage) -> None:
        kind = type(message)
        if isinstance(message, GroupMessage):
            kept = machine.disk.groups.get(message.group)
            if kept is not None and message.term < kept.term:
                self.found("term-forgotten", f"{machine.id}: {message}; on disk term {kept.term}")
        if kind is AppendEntries or kind is InstallSnapshotChunk:
            assert isinstance(message, AppendEntries | InstallSnapshotChunk)
            at = message.group, message.term
            leader = self._leaders.setdefault(at, machine.id)
            if leader != machine.id:
                self.most_leaders = max(self.most_leaders, 2)
                self.found("two-leaders", f"{at}: {leader} and {machine.id}")
            if isinstance(message, AppendEntries):
                for entry in message.entries:
                    if entry.kind == EntryKind.CONFIG:
                        told = self._configs.setdefault(message.group, [])
                        told.append(msgspec.msgpack.decode(entry.body, type=GroupConfiguration))
                        del told[:-MOST_CONFIGS]
            if isinstance(message, AppendEntries) and message.leader_commit > self._commits.get(
                message.group, 0
            ):
                self._commits[message.group] = message.leader_commit
                self._check_commit(machine, message.group, message.leader_commit)
        elif kind is RequestVoteReply:
            assert isinstance(message, RequestVoteReply)
            if message.vote_granted and not message.pre_vote:
                kept = machine.disk.groups.get(message.group, Kept())
                if kept.term < message.term or (kept.term == message.term and kept.vote != to):
                    self.found(
                        "vote-not-stored",
                        f"{machine.id} for {to}: {message}; on disk term {kept.term}, vote {kept.vote!r}",
                    )
                whom = self._votes.setdefault((machine.name, message.group, message.term), to)
                if whom != to:
                    self.found(
                        "two-votes",
                        f"{machine.name} in term {message.term} of {message.group}: {whom} and {to}",
                    )
        elif kind is AppendEntriesReply:
            assert isinstance(message, AppendEntriesReply)
            if message.success and message.index:
                kept = machine.disk.groups.get(message.group, Kept())
                if kept.last < message.index:
                    self.found(
                        "acknowledged-not-stored", f"{machine.id}: {message}; on disk up to {kept.last}"
                    )

    def _check_commit(self, leader: Machine, group: str, index: int) -> None:
        """What a leader tells as committed is on the disks of a majority, or was when they said so."""
        mine = leader.disk.groups.get(group, Kept())
        entry = mine.at(index)
        configs = list(self._configs.get(group, ()))
        have: set[str] = set()
        for machine in self.machines.values():
            known = {**machine.disk.lost, machine.disk.incarnation: machine.disk.groups}
            for incarnation, groups in known.items():
                kept = groups.get(group)
                if kept is None:
                    continue
                if kept.config is not None and kept.config not in configs:
                    configs.append(kept.config)
                here = kept.at(index)
                if kept.last >= index and (entry is None or here is None or here.term == entry.term):
                    have.add(f"{machine.name}/{incarnation}")
        # Which members hold is the leader's to say; its own store may lag behind, then another's says it.
        if not any(sum(who in have for who in config.voters) * 2 > len(config.voters) for config in configs):
            self.found(
                "committed-not-stored", f"{group} {index} by {leader.id}: on {sorted(have)} of {configs}"
            )

    def groups(self) -> list[str]:
        """All that any disk knows, but the founding record's."""
        return sorted(
            {
                group
                for machine in self.machines.values()
                for group in machine.disk.groups
                if group != BOOTSTRAP_GROUP and machine.disk.groups[group].last
            }
        )

    def config(self, group: str) -> GroupConfiguration | None:
        """The members of a group by the disks: those of the log that won last."""
        best: tuple[int, int] = -1, -1
        found: GroupConfiguration | None = None
        for machine in self.machines.values():
            kept = machine.disk.groups.get(group)
            if kept is None or (kept.last_term, kept.last) <= best:
                continue
            if kept.config is not None:
                best, found = (kept.last_term, kept.last), kept.config
        return found

    def missing(self) -> list[tuple[str, str]]:
        """Copies that are not there, not on a machine that runs, or without what was committed a while
        ago, by group and Id; one without an Id where a group has too few, or is none yet."""
        up = {machine.id for machine in self.machines.values() if machine.up and not machine.disk.full}
        ups = {member_name(one) for one in up}
        found: list[tuple[str, str]] = []
        for group in self.groups():
            config = self.config(group)
            if config is None or len(config.voters) < min(self.plan.copies, len(ups)):
                found.append((group, ""))
            for who in (*config.voters, *config.learners) if config is not None else ():
                kept = self.machines[member_name(who)].disk.groups.get(group)
                if (
                    who not in up
                    or kept is None
                    or kept.last < self._before.get(group, 0)
                    or who not in config.voters  # type: ignore[union-attr]
                ):
                    found.append((group, who))
        return found

    def whole(self) -> bool:
        """Whether every group has all its copies."""
        return bool(self.groups()) and not self.missing()

    def joined(self, names: Iterable[str]) -> set[str]:
        """The most of these machines that run, can store, and reach each other and back within an election
        time."""
        up = [name for name in names if self.machines[name].up and not self.machines[name].disk.full]
        delays = self.network.delays
        cuts = self.network.cuts | {
            pair
            for pair in delays
            if delays[pair] + delays.get((pair[1], pair[0]), 0.0) >= self.timings.election_ms
        }
        best: set[str] = set()
        for first in up:
            made = [first]
            for other in up:
                if other != first and not any((one, other) in cuts or (other, one) in cuts for one in made):
                    made.append(other)
            if len(made) > len(best):
                best = set(made)
        return best

    def _look(self) -> None:
        self._watch_copies()
        self.gates.look()
        if self.loading:
            self._watch_silence()
        self._before = dict(self._commits)
        if not self.over:
            self.calendar.at(self.calendar.now + LOOK_MS, self._look)

    def _watch_copies(self) -> None:
        if self._loss_at < math.inf and self.whole():
            self.restored_ms = max(self.restored_ms or 0.0, self.calendar.now - self._loss_at)
            self._loss_at = math.inf

    def _watch_silence(self) -> None:
        """Times without an answer, key by key, while majorities of all members and of the key's group are
        joined and somebody there asks."""
        joined = self.joined(self.machines)
        if len(joined) * 2 <= self.plan.members:
            self._silent.clear()
            return
        served: dict[str, bool] = {}
        for key, ops in self._open.items():
            if not ops:
                continue
            group = group_for_key(f"p:{key}", self.plan.groups)
            if group not in served:
                config = self.config(group)
                served[group] = (
                    config is not None
                    and sum(
                        member_name(who) in joined and who == self.machines[member_name(who)].id
                        for who in config.voters
                    )
                    >= config.majority()
                )
            if not served[group]:
                self._silent[key] = 0.0
            elif any(op.through in joined for op in ops.values()):
                self._silent[key] = self._silent.get(key, 0.0) + LOOK_MS
                self.unavailable_ms = max(self.unavailable_ms, self._silent[key])

    # Faults ---------------------------------------------------------------------------------------------

    def happen(self, fault: Fault, since: float = -1.0) -> None:
        """Do one."""
        now = self.calendar.now
        if fault.mode == "whole" and not (self.whole() and self.loading):
            since = now if since < 0 else since
            if (
                now - since < 20_000.0 and self.loading
            ):  # not after the end's mending, which nobody would mend
                self.calendar.at(now + LOOK_MS, self.happen, fault, since)
            return
        if fault.word in ("kill", "lose", "freeze", "cut", "full"):
            self.gates.loss()
        if self._loss_at < math.inf:  # what happens beside a loss begins the count anew
            self._loss_at = now
        if fault.target == "gateways":
            self._links(fault)
            return
        name = f"g{fault.groups[0][0]}"
        machine = self.machines[name]
        match fault.word:
            case "start":
                self.start(name)
            case "kill":
                self.kill(name)
            case "lose":
                self.kill(name, lost=True)
                machine.disk.wipe()
                self._loss_at = min(self._loss_at, now)
            case "spoil":
                if machine.node is None:
                    machine.disk.wipe()
                    self._loss_at = min(self._loss_at, now)
            case "freeze":
                self.freeze(name)
            case "thaw":
                self.thaw(name)
            case "step":
                machine.clock.step(fault.amount)
            case "full":
                machine.disk.full = fault.amount > 0
            case "slow-disk":
                low, high = self.plan.fsync_ms
                machine.disk.fsync_ms = low + fault.amount / 2.0, high + fault.amount
            case _:
                raise ValueError(f"unknown fault {fault.word!r}")

    def _links(self, fault: Fault) -> None:
        network = self.network
        sides = [[f"g{number}" for number in group] for group in fault.groups]
        pairs = [
            (one, other)
            for at, side in enumerate(sides)
            for then in sides[at + 1 :]
            for one in side
            for other in then
        ]
        if fault.mode != "one-way":
            pairs += [(other, one) for one, other in pairs]
        match fault.word:
            case "cut":
                network.cut(pairs)
            case "delay":
                network.delays.update(dict.fromkeys(pairs, fault.amount))
            case "narrow":
                network.narrow.update(dict.fromkeys(pairs, fault.amount))
            case "reset":
                network.reset_often(pairs, fault.amount)
            case "loss":
                network.loss = fault.amount
            case "twice":
                network.twice = fault.amount
            case "mend":
                network.mend()
            case _:
                raise ValueError(f"unknown fault {fault.word!r}")

    # The load -------------------------------------------------------------------------------------------

    def call(self, name: str, command: Command, done: Callable[[Any], None]) -> None:
        """Hand a command to a member; `done` is given its result, or None where nobody knows."""
        machine = self.machines[name]
        if machine.node is None:
            done(None)
            return
        self.calls += 1
        token = f"c{self.calls}"
        machine.waits[token] = done
        self.calendar.at(self.calendar.now + self.timings.call_ms + CLIENT_MS, self._late, name, token)
        self._give(name, machine.life, [ClusterCall(token, command)])

    def leave(self, name: str, done: Callable[[Any], None]) -> None:
        """Let a process hand over what it leads."""
        machine = self.machines[name]
        self.calls += 1
        token = f"l{self.calls}"
        machine.waits[token] = done
        self.calendar.at(self.calendar.now + 1000.0, self._late, name, token)
        self._give(name, machine.life, [LeaveCluster(token)])

    def _late(self, name: str, token: str) -> None:
        done = self.machines[name].waits.pop(token, None)
        if done is not None:
            if self.machines[name].up and not self.over and self.calendar.now < self.plan.length_ms:
                self.unset += 1
            done(None)

    def _load(self) -> None:
        if not self.loading or self.over:
            return
        plan, draw = self.plan, self.draw
        self.calendar.at(self.calendar.now + 1000.0 * draw.expovariate(plan.proposals), self._load)
        up = [name for name, machine in self.machines.items() if machine.node is not None]
        if not up:
            return
        number = len(self.ops) + 1
        read = draw.random() < 0.25
        op = Operation(
            f"n{draw.randrange(plan.keys)}", f"o{number}", None if read else f"v{number}", self.calendar.now
        )
        self.ops.append(op)
        self._open.setdefault(op.key, {})[op.id] = op
        self._try(op, draw.choice(up), 1, False)

    def _try(self, op: Operation, name: str, tries: int, unknown: bool) -> None:
        command: Command = (
            ReadValue(id=f"{op.id}.{tries}", name=op.key)
            if op.value is None
            else PutValue(id=op.id, name=op.key, value=op.value)
        )
        op.through = name
        self.call(name, command, lambda result: self._answered(op, name, tries, unknown, result))

    def _answered(self, op: Operation, name: str, tries: int, unknown: bool, result: Any) -> None:
        if isinstance(result, ApplyResult) and result.error is None:
            if op.outcome == "answered":  # a repeat: told as the first time
                if result.value != op.result:
                    self.found(
                        "twice", f"{op.key}: {op.id} was answered {op.result!r}, then {result.value!r}"
                    )
                return
            op.outcome, op.result, op.returned = "answered", result.value, self.calendar.now
            self._silent[op.key] = 0.0
            self._end(op)
            if op.value is not None and self.draw.random() < 0.1:
                self.calendar.at(self.calendar.now + self.draw.uniform(0.0, 1500.0), self._again, op, tries)
            return
        if op.outcome == "answered":
            return
        error = result.error if isinstance(result, ApplyResult) else result
        unknown = unknown or not isinstance(error, ClusterError) or error.code == "unknown-outcome"
        if tries < MOST_TRIES and (error is None or error.is_retryable) and not self.over:
            up = [other for other, machine in self.machines.items() if machine.node is not None] or [name]
            self.calendar.at(
                self.calendar.now + self.draw.uniform(20.0, 300.0),
                self._try,
                op,
                self.draw.choice(up),
                tries + 1,
                unknown,
            )
            return
        op.outcome = "unknown" if unknown else "refused"
        self._end(op)

    def _again(self, op: Operation, tries: int) -> None:
        up = [name for name, machine in self.machines.items() if machine.node is not None]
        if up:
            self._try(op, self.draw.choice(up), tries + MOST_TRIES, True)

    def _end(self, op: Operation) -> None:
        del self._open[op.key][op.id]
        if not self._open[op.key]:
            self._silent[op.key] = 0.0

    # The run --------------------------------------------------------------------------------------------

    def run(self) -> FleetFigures:
        """Play it to the end, mend all, and read everything back through every member."""
        for name in self.machines:
            self.calendar.at(self.draw.uniform(0.0, 200.0), self.start, name)
        self.calendar.at(LOOK_MS, self._look)
        if self.plan.proposals:
            self.calendar.at(2000.0, self._load)
        self.gates.begin()
        for fault in self.plan.faults:
            self.calendar.at(fault.at_ms, self.happen, fault)
        self._until(self.plan.length_ms, lambda: False)
        self.loading = False
        self._mend()
        end = self.calendar.now
        quiet = self._until(
            end + SETTLE_MS, lambda: not any(self._open.values()) and self.whole() and self.gates.rolled()
        )
        if not self.over and (states := self.gates.half_drained()) and self.gates.rolled():
            self._until(self.calendar.now + 3000.0, lambda: not self.gates.half_drained())
            if self.gates.half_drained():
                self.found("half-drained", f"{states}: {self.gates.roll_states}")
        if not self.over and not self.plan.wild and not self.gates.rolled():
            self.found("roll-not-ended", f"{self.gates.roll_states}")
        if not quiet and not self.plan.wild and not self.over:
            self.found("not-whole-again", f"{SETTLE_MS:.0f} ms after all was mended: {self._state()}")
        self.gates.finish()
        self._read_back()
        verdict = check_history(self.ops)
        self.findings += verdict.findings
        self._compare_logs()
        return self._figures(verdict)

    def _state(self) -> str:
        return "; ".join(f"{group}: {self.config(group)}" for group in self.groups())

    def _until(self, until: float, good: Callable[[], bool]) -> bool:
        while self.calendar.now < until and not self.over:
            if good():
                return True
            self.calendar.run(min(self.calendar.now + 200.0, until))
        return good()

    def settle(self, ms: float) -> None:
        """Let it run on."""
        self._until(self.calendar.now + ms, lambda: False)

    def _mend(self) -> None:
        self.network.mend()
        for name, machine in self.machines.items():
            machine.disk.fsync_ms = self.plan.fsync_ms
            if machine.disk.full:  # a store that broke takes nothing until its process starts again
                machine.disk.full = False
                self.kill(name)
            self.thaw(name)
            self.start(name)

    def _read_back(self) -> None:
        """Each key, through each member; a value that is told is judged with the history."""
        left: list[Operation] = []
        for key in sorted({op.key for op in self.ops}):
            for name in self.machines:
                op = Operation(key, f"end/{key}/{name}", None, self.calendar.now)
                self.ops.append(op)
                left.append(op)
                self._open.setdefault(key, {})[op.id] = op
                self._try(op, name, 1, False)
        self._until(self.calendar.now + 15_000.0, lambda: not any(self._open.values()))
        for op in left:
            if op.outcome != "answered":
                self.unreadable += 1
                if not self.plan.wild and not self.over:
                    self.found("unreadable", f"{op.key} through {op.through}")

    def _compare_logs(self) -> None:
        """Two logs that agree in an entry's index and term agree in it and in all before (Raft's log
        matching)."""
        for group in self.groups():
            known: dict[tuple[int, int], tuple[str, bytes]] = {}
            for name, machine in self.machines.items():
                kept = machine.disk.groups.get(group)
                for entry in kept.entries if kept else ():
                    first = known.setdefault((entry.index, entry.term), (name, entry.body))
                    if first[1] != entry.body:
                        self.found(
                            "logs-differ", f"{group} {entry.index}/{entry.term}: {first[0]} and {name}"
                        )

    def _figures(self, verdict: Verdict) -> FleetFigures:
        rules = sum(finding.name.isupper() for finding in self.findings)
        gates, plan = self.gates, self.plan
        return FleetFigures(
            verdict.acknowledged,
            verdict.lost,
            verdict.twice,
            self.most_leaders,
            self.unavailable_ms,
            self.restored_ms,
            gates.contract_floor(),
            gates.contract_over(),
            gates.shortfall_error(),
            gates.lent_share(),
            gates.connections_over if plan.connections else None,
            next(iter(gates.roll_states.values()), None),
            gates.roll_lost if plan.rolls else None,
            rules,
            gates.roll_ratio,
        )
