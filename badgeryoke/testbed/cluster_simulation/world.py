"""A cluster in simulated time: real nodes on a simulated network, clocks and disks, under a random load.

The simulation is deterministic: nothing reads a clock, and all random draws come from the seed, with a Random for
each part.  The checks rely on the calls, the messages sent and the durable state of each disk, never on a node's own
state.
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
from badgeryoke.testbed.cluster_simulation.disk import Disk, StoredGroup
from badgeryoke.testbed.cluster_simulation.fault_plan import Plan
from badgeryoke.testbed.cluster_simulation.gateway import SimulatedGateways
from badgeryoke.testbed.cluster_simulation.network import EventQueue, Network
from badgeryoke.testbed.report.cluster_figures import FleetFigures
from badgeryoke.testbed.scenario.model import Fault

# Events queued for a frozen process; further ones are dropped, as with a full socket buffer.
MAX_INBOX_EVENTS = 4096
CLIENT_MARGIN_MS = 500.0  # time that a client waits beyond the call's timeout
MAX_ATTEMPTS = 8
CHECK_MS = 50.0
MAX_CONFIGS = 4
RECOVERY_MS = 40_000.0  # time in which the cluster has to recover after all faults are removed
NodeType = Callable[
    [NodeSetup, dict[str, PersistedGroup], Random, float, float, Invariants, Iterable[LeaseClient]],
    ClusterNode,
]


@dataclass(slots=True)
class Machine:
    """One gateway's machine.

    `process_number` grows with each start and each end of a process.
    """

    name: str
    zone: str
    clock: Clock
    disk: Disk
    setup: NodeSetup
    node: ClusterNode | None = None
    process_number: int = 0
    boot: int = 1  # number of the machine's boot; a lost machine boots again
    frozen: bool = False
    inbox: list[NodeEvent] = field(default_factory=list)
    next_tick_ms: float = math.inf
    # Callbacks of calls in flight, by token.
    pending_calls: dict[str, Callable[[Any], None]] = field(default_factory=dict)

    @property
    def id(self) -> str:
        """The current member id."""
        return self.setup.member_id

    @property
    def up(self) -> bool:
        """Whether its process runs and is not frozen."""
        return self.node is not None and not self.frozen


class SimulatedCluster:
    """One simulated run of a plan."""

    def __init__(self, plan: Plan, node_type: NodeType = ClusterNode) -> None:
        self.plan, self._node_type = plan, node_type
        seed = f"fleet/{plan.seed}"
        self.event_queue = EventQueue()
        self.network = Network(self.event_queue, Random(f"{seed}/links"), self._arrive)
        self.rng = Random(f"{seed}/load")
        self._nodes_rng = Random(f"{seed}/nodes")
        disks, clocks = Random(f"{seed}/disks"), Random(f"{seed}/clocks")
        self.timings = Timings(snapshot_entries=plan.snapshot_entries, clock_drift=max(plan.drift, 0.01))
        self.idle_ms = 3000.0  # idle timeout of the servers
        self.rules = Invariants()
        names = [f"g{number}" for number in range(1, plan.members + 1)]
        members = tuple(Member(name, f"hall-{'ab'[index % plan.halls]}") for index, name in enumerate(names))
        self.machines: dict[str, Machine] = {}
        for member in members:
            half = plan.drift / 2.0
            clock = Clock(
                1.0 + clocks.uniform(-half, half), clocks.uniform(1e5, 1e8), clocks.uniform(-2000.0, 2000.0)
            )
            disk = Disk(self.event_queue, disks, partial(self._disk_event, member.name))
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
        self.stopped = False
        self.operations: list[Operation] = []
        self.log_events: dict[str, int] = {}
        self.calls = 0
        self._in_flight: dict[str, dict[str, Operation]] = {}  # calls in flight, by key and id
        self._leaders: dict[tuple[str, int], str] = {}
        self._votes: dict[tuple[str, str, int], str] = {}
        self.max_leaders = 1
        # Latest configurations in leaders' messages, by group; each takes effect at once.
        self._configs: dict[str, list[GroupConfiguration]] = {}
        self._commits: dict[str, int] = {}  # highest commit index in leaders' messages, by group
        self._previous_commits: dict[str, int] = {}  # the same at the previous check
        self._loss_at_ms = math.inf
        self.restored_ms: float | None = None
        self._silent_ms: dict[str, float] = {}
        self.unavailable_ms = 0.0
        self.unreadable = 0
        self.loading = True
        self.timed_out_calls = 0
        self.gateways = SimulatedGateways(self)

    # Processes ------------------------------------------------------------------------------------------

    def start(self, name: str) -> None:
        """Start a process on a machine where none runs."""
        machine = self.machines[name]
        if machine.node is not None:
            return
        machine.process_number += 1
        machine.frozen, machine.inbox, machine.next_tick_ms = False, [], math.inf
        true_ms = self.event_queue.now
        machine.clock.start(true_ms)
        now = machine.clock.now(true_ms)
        machine.setup = replace(machine.setup, incarnation=machine.disk.incarnation)
        saved = machine.disk.start(machine.process_number)
        try:
            machine.node = self._node_type(
                machine.setup,
                saved,
                Random(self._nodes_rng.getrandbits(64)),
                now,
                machine.clock.wall(now),
                self.rules,
                self.gateways.process_started(machine, now),
            )
        except InvariantViolation as fault:
            self.record_finding(fault.rule.name, str(fault))
            return
        self._deliver_events(name, machine.process_number, [Tick()])

    def kill(self, name: str, lost: bool = False) -> None:
        """Kill the process; with `lost`, the machine itself is lost and resets no connection."""
        machine = self.machines[name]
        if machine.node is None:
            return
        self.gateways.process_ended(machine, lost)
        machine.boot += lost
        machine.node = None
        machine.process_number += 1
        machine.frozen, machine.inbox = False, []
        machine.disk.crash()
        pending_calls, machine.pending_calls = machine.pending_calls, {}
        for done in pending_calls.values():
            done(None)

    def freeze(self, name: str) -> None:
        """Stop the process, as with SIGSTOP."""
        machine = self.machines[name]
        machine.frozen = machine.node is not None

    def thaw(self, name: str) -> None:
        """Continue the process, as with SIGCONT; it handles all queued events at once."""
        machine = self.machines[name]
        if machine.frozen:
            machine.frozen = False
            events, machine.inbox, machine.next_tick_ms = machine.inbox, [], math.inf
            self._deliver_events(name, machine.process_number, [*events, Tick()])

    def _disk_event(self, name: str, process_number: int, event: NodeEvent) -> None:
        self._deliver_events(name, process_number, [event])

    def _deliver_events(self, name: str, process_number: int, events: list[NodeEvent]) -> None:
        machine = self.machines[name]
        node = machine.node
        if node is None or process_number != machine.process_number or self.stopped:
            return
        if machine.frozen:
            machine.inbox += events[: max(MAX_INBOX_EVENTS - len(machine.inbox), 0)]
            return
        true_ms = self.event_queue.now
        now = machine.clock.now(true_ms)
        wall = machine.clock.wall(now)
        effects: list[Effect] = []
        try:
            for event in events:
                effects += node.handle(now, wall, event)
        except InvariantViolation as fault:
            self.record_finding(fault.rule.name, f"{name}: {fault}")
            return
        except Exception:
            self.record_finding("crash", f"{name}: {traceback.format_exc(limit=-6)}")
            return
        if effects:
            self._execute_effects(machine, effects)
        due = max(machine.clock.true_time(node.due), true_ms + 0.2)
        if due < machine.next_tick_ms:
            machine.next_tick_ms = due
            self.event_queue.schedule(due, self._tick, name, machine.process_number, due)

    def _tick(self, name: str, process_number: int, due: float) -> None:
        machine = self.machines[name]
        if process_number != machine.process_number or machine.node is None or machine.next_tick_ms != due:
            return
        machine.next_tick_ms = math.inf
        later = machine.clock.true_time(machine.node.due)
        if later > self.event_queue.now + 1e-3:
            machine.next_tick_ms = later
            self.event_queue.schedule(later, self._tick, name, process_number, later)
        else:
            self._deliver_events(name, process_number, [Tick()])

    def wake(self, name: str, process_number: int) -> None:
        """Let a process check its timers."""
        self._deliver_events(name, process_number, [Tick()])

    def _execute_effects(self, machine: Machine, effects: list[Effect]) -> None:
        sends: dict[str, list[AnyMessage]] = {}
        for effect in effects:
            if isinstance(effect, SendMessage):
                sends.setdefault(effect.to, []).append(effect.message)
                self._check_message(machine, effect.to, effect.message)
            elif isinstance(effect, PersistRecords):
                machine.disk.persist(effect)
            elif isinstance(effect, OperationCompleted):
                done = machine.pending_calls.pop(effect.token, None)
                if done is not None:
                    done(effect.result)
            elif isinstance(effect, LogEvent):
                self.log_events[effect.event] = self.log_events.get(effect.event, 0) + 1
        for to, messages in sends.items():
            self.network.send(machine.name, member_name(to), (machine.id, to, messages), messages)

    def _arrive(self, sender: str, to: str, envelope: tuple[str, str, list[AnyMessage]]) -> None:
        machine = self.machines.get(to)
        member_id, receiver_id, messages = envelope
        if (
            machine is None
            or machine.node is None
            or (receiver_id.partition("/")[2] and receiver_id != machine.id)
        ):
            return  # addressed to a previous incarnation: the gateway discards it
        self._deliver_events(
            to, machine.process_number, [MessageReceived(member_id, message) for message in messages]
        )

    # Checks of messages and disks -------------------------------------------------------------------------

    def record_finding(self, name: str, facts: str) -> None:
        """Record a violation and end the run."""
        self.findings.append(Finding(name, facts, round(self.event_queue.now, 3)))
        self.stopped = True

    def _check_message(self, machine: Machine, to: str, message: AnyMessage) -> None:
        kind = type(message)
        if isinstance(message, GroupMessage):
            stored = machine.disk.groups.get(message.group)
            if stored is not None and message.term < stored.term:
                self.record_finding("term-forgotten", f"{machine.id}: {message}; on disk term {stored.term}")
        if kind is AppendEntries or kind is InstallSnapshotChunk:
            assert isinstance(message, AppendEntries | InstallSnapshotChunk)
            group_and_term = message.group, message.term
            leader = self._leaders.setdefault(group_and_term, machine.id)
            if leader != machine.id:
                self.max_leaders = max(self.max_leaders, 2)
                self.record_finding("two-leaders", f"{group_and_term}: {leader} and {machine.id}")
            if isinstance(message, AppendEntries):
                for entry in message.entries:
                    if entry.kind == EntryKind.CONFIG:
                        configs = self._configs.setdefault(message.group, [])
                        configs.append(msgspec.msgpack.decode(entry.body, type=GroupConfiguration))
                        del configs[:-MAX_CONFIGS]
            if isinstance(message, AppendEntries) and message.leader_commit > self._commits.get(
                message.group, 0
            ):
                self._commits[message.group] = message.leader_commit
                self._check_commit(machine, message.group, message.leader_commit)
        elif kind is RequestVoteReply:
            assert isinstance(message, RequestVoteReply)
            if message.vote_granted and not message.pre_vote:
                stored = machine.disk.groups.get(message.group, StoredGroup())
                if stored.term < message.term or (stored.term == message.term and stored.vote != to):
                    self.record_finding(
                        "vote-not-stored",
                        f"{machine.id} for {to}: {message}; on disk term {stored.term}, vote {stored.vote!r}",
                    )
                voted_for = self._votes.setdefault((machine.name, message.group, message.term), to)
                if voted_for != to:
                    self.record_finding(
                        "two-votes",
                        f"{machine.name} in term {message.term} of {message.group}: {voted_for} and {to}",
                    )
        elif kind is AppendEntriesReply:
            assert isinstance(message, AppendEntriesReply)
            if message.success and message.index:
                stored = machine.disk.groups.get(message.group, StoredGroup())
                if stored.last_index < message.index:
                    self.record_finding(
                        "acknowledged-not-stored",
                        f"{machine.id}: {message}; on disk up to {stored.last_index}",
                    )

    def _check_commit(self, leader: Machine, group: str, index: int) -> None:
        """Check that an entry committed by a leader is, or was, on the disks of a majority."""
        leader_group = leader.disk.groups.get(group, StoredGroup())
        entry = leader_group.entry_at(index)
        configs = list(self._configs.get(group, ()))
        stored_on: set[str] = set()
        for machine in self.machines.values():
            groups_by_incarnation = {
                **machine.disk.wiped_groups,
                machine.disk.incarnation: machine.disk.groups,
            }
            for incarnation, groups in groups_by_incarnation.items():
                stored = groups.get(group)
                if stored is None:
                    continue
                if stored.config is not None and stored.config not in configs:
                    configs.append(stored.config)
                local_entry = stored.entry_at(index)
                if stored.last_index >= index and (
                    entry is None or local_entry is None or local_entry.term == entry.term
                ):
                    stored_on.add(f"{machine.name}/{incarnation}")
        # The leader's configuration decides, but its own disk may lag, so that any disk's configuration counts.
        if not any(
            sum(member_id in stored_on for member_id in config.voters) * 2 > len(config.voters)
            for config in configs
        ):
            self.record_finding(
                "committed-not-stored", f"{group} {index} by {leader.id}: on {sorted(stored_on)} of {configs}"
            )

    def groups(self) -> list[str]:
        """The groups on any disk, except that of the bootstrap record."""
        return sorted(
            {
                group
                for machine in self.machines.values()
                for group in machine.disk.groups
                if group != BOOTSTRAP_GROUP and machine.disk.groups[group].last_index
            }
        )

    def config(self, group: str) -> GroupConfiguration | None:
        """The configuration of a group in the most up-to-date log on any disk."""
        best: tuple[int, int] = -1, -1
        config: GroupConfiguration | None = None
        for machine in self.machines.values():
            stored = machine.disk.groups.get(group)
            if stored is None or (stored.last_term, stored.last_index) <= best:
                continue
            if stored.config is not None:
                best, config = (stored.last_term, stored.last_index), stored.config
        return config

    def incomplete_replicas(self) -> list[tuple[str, str]]:
        """Incomplete replicas, by group and member id.

        These are replicas that do not exist, whose machine does not run, that are still learners, or that lack entries
        committed before the previous check.  The id is empty if a group has too few voters or no configuration.
        """
        up = {machine.id for machine in self.machines.values() if machine.up and not machine.disk.full}
        up_names = {member_name(running_id) for running_id in up}
        incomplete: list[tuple[str, str]] = []
        for group in self.groups():
            config = self.config(group)
            if config is None or len(config.voters) < min(self.plan.copies, len(up_names)):
                incomplete.append((group, ""))
            for member_id in (*config.voters, *config.learners) if config is not None else ():
                stored = self.machines[member_name(member_id)].disk.groups.get(group)
                if (
                    member_id not in up
                    or stored is None
                    or stored.last_index < self._previous_commits.get(group, 0)
                    or member_id not in config.voters  # type: ignore[union-attr]
                ):
                    incomplete.append((group, member_id))
        return incomplete

    def replicas_complete(self) -> bool:
        """Whether all replicas of all groups are complete."""
        return bool(self.groups()) and not self.incomplete_replicas()

    def connected_machines(self, names: Iterable[str]) -> set[str]:
        """The largest set found of these machines that run, can write, and reach each other with a round trip below the
        election timeout."""
        up = [name for name in names if self.machines[name].up and not self.machines[name].disk.full]
        delays = self.network.delays
        cuts = self.network.cuts | {
            pair
            for pair in delays
            if delays[pair] + delays.get((pair[1], pair[0]), 0.0) >= self.timings.election_ms
        }
        best: set[str] = set()
        for first in up:
            connected = [first]
            for other in up:
                if other != first and not any(
                    (reached, other) in cuts or (other, reached) in cuts for reached in connected
                ):
                    connected.append(other)
            if len(connected) > len(best):
                best = set(connected)
        return best

    def _check(self) -> None:
        self._check_replicas()
        self.gateways.check()
        if self.loading:
            self._measure_unavailability()
        self._previous_commits = dict(self._commits)
        if not self.stopped:
            self.event_queue.schedule(self.event_queue.now + CHECK_MS, self._check)

    def _check_replicas(self) -> None:
        if self._loss_at_ms < math.inf and self.replicas_complete():
            self.restored_ms = max(self.restored_ms or 0.0, self.event_queue.now - self._loss_at_ms)
            self._loss_at_ms = math.inf

    def _measure_unavailability(self) -> None:
        """Measure, by key, the time without an answer while majorities of all members and of the key's group are
        connected and a call is in flight at one of them."""
        connected_machines = self.connected_machines(self.machines)
        if len(connected_machines) * 2 <= self.plan.members:
            self._silent_ms.clear()
            return
        served: dict[str, bool] = {}
        for key, ops in self._in_flight.items():
            if not ops:
                continue
            group = group_for_key(f"p:{key}", self.plan.groups)
            if group not in served:
                config = self.config(group)
                served[group] = (
                    config is not None
                    and sum(
                        member_name(member_id) in connected_machines
                        and member_id == self.machines[member_name(member_id)].id
                        for member_id in config.voters
                    )
                    >= config.majority()
                )
            if not served[group]:
                self._silent_ms[key] = 0.0
            elif any(op.through in connected_machines for op in ops.values()):
                self._silent_ms[key] = self._silent_ms.get(key, 0.0) + CHECK_MS
                self.unavailable_ms = max(self.unavailable_ms, self._silent_ms[key])

    # Faults ---------------------------------------------------------------------------------------------

    def inject_fault(self, fault: Fault, since: float = -1.0) -> None:
        """Inject a fault; `since`: when it began to wait for complete replicas, or -1."""
        now = self.event_queue.now
        if fault.mode == "whole" and not (self.replicas_complete() and self.loading):
            since = now if since < 0 else since
            if (
                now - since < 20_000.0 and self.loading
            ):  # not after the end, when no fault is removed any more
                self.event_queue.schedule(now + CHECK_MS, self.inject_fault, fault, since)
            return
        if fault.word in ("kill", "lose", "freeze", "cut", "full"):
            self.gateways.record_loss()
        if self._loss_at_ms < math.inf:  # a further fault restarts the measurement
            self._loss_at_ms = now
        if fault.target == "gateways":
            self._inject_link_fault(fault)
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
                self._loss_at_ms = min(self._loss_at_ms, now)
            case "spoil":
                if machine.node is None:
                    machine.disk.wipe()
                    self._loss_at_ms = min(self._loss_at_ms, now)
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

    def _inject_link_fault(self, fault: Fault) -> None:
        network = self.network
        sides = [[f"g{number}" for number in group] for group in fault.groups]
        pairs = [
            (sender, receiver)
            for index, side in enumerate(sides)
            for other_side in sides[index + 1 :]
            for sender in side
            for receiver in other_side
        ]
        if fault.mode != "one-way":
            pairs += [(receiver, sender) for sender, receiver in pairs]
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
        """Call a member; `done` is called with the result, or None if the outcome is unknown."""
        machine = self.machines[name]
        if machine.node is None:
            done(None)
            return
        self.calls += 1
        token = f"c{self.calls}"
        machine.pending_calls[token] = done
        self.event_queue.schedule(
            self.event_queue.now + self.timings.call_ms + CLIENT_MARGIN_MS, self._time_out, name, token
        )
        self._deliver_events(name, machine.process_number, [ClusterCall(token, command)])

    def leave(self, name: str, done: Callable[[Any], None]) -> None:
        """Let a process hand over the groups that it leads; `done` is called at the end."""
        machine = self.machines[name]
        self.calls += 1
        token = f"l{self.calls}"
        machine.pending_calls[token] = done
        self.event_queue.schedule(self.event_queue.now + 1000.0, self._time_out, name, token)
        self._deliver_events(name, machine.process_number, [LeaveCluster(token)])

    def _time_out(self, name: str, token: str) -> None:
        done = self.machines[name].pending_calls.pop(token, None)
        if done is not None:
            if self.machines[name].up and not self.stopped and self.event_queue.now < self.plan.length_ms:
                self.timed_out_calls += 1
            done(None)

    def _generate_load(self) -> None:
        if not self.loading or self.stopped:
            return
        plan, rng = self.plan, self.rng
        self.event_queue.schedule(
            self.event_queue.now + 1000.0 * rng.expovariate(plan.proposals), self._generate_load
        )
        up = [name for name, machine in self.machines.items() if machine.node is not None]
        if not up:
            return
        number = len(self.operations) + 1
        read = rng.random() < 0.25
        op = Operation(
            f"n{rng.randrange(plan.keys)}", f"o{number}", None if read else f"v{number}", self.event_queue.now
        )
        self.operations.append(op)
        self._in_flight.setdefault(op.key, {})[op.id] = op
        self._attempt(op, rng.choice(up), 1, False)

    def _attempt(self, op: Operation, name: str, attempt: int, may_have_applied: bool) -> None:
        command: Command = (
            ReadValue(id=f"{op.id}.{attempt}", name=op.key)
            if op.value is None
            else PutValue(id=op.id, name=op.key, value=op.value)
        )
        op.through = name
        self.call(name, command, lambda result: self._answered(op, name, attempt, may_have_applied, result))

    def _answered(self, op: Operation, name: str, attempt: int, may_have_applied: bool, result: Any) -> None:
        if isinstance(result, ApplyResult) and result.error is None:
            if op.outcome == "answered":  # a repeated call gets the first result
                if result.value != op.result:
                    self.record_finding(
                        "twice", f"{op.key}: {op.id} was answered {op.result!r}, then {result.value!r}"
                    )
                return
            op.outcome, op.result, op.returned = "answered", result.value, self.event_queue.now
            self._silent_ms[op.key] = 0.0
            self._finish_operation(op)
            if op.value is not None and self.rng.random() < 0.1:
                self.event_queue.schedule(
                    self.event_queue.now + self.rng.uniform(0.0, 1500.0), self._repeat, op, attempt
                )
            return
        if op.outcome == "answered":
            return
        error = result.error if isinstance(result, ApplyResult) else result
        may_have_applied = (
            may_have_applied or not isinstance(error, ClusterError) or error.code == "unknown-outcome"
        )
        if attempt < MAX_ATTEMPTS and (error is None or error.is_retryable) and not self.stopped:
            up = [other for other, machine in self.machines.items() if machine.node is not None] or [name]
            self.event_queue.schedule(
                self.event_queue.now + self.rng.uniform(20.0, 300.0),
                self._attempt,
                op,
                self.rng.choice(up),
                attempt + 1,
                may_have_applied,
            )
            return
        op.outcome = "unknown" if may_have_applied else "refused"
        self._finish_operation(op)

    def _repeat(self, op: Operation, attempt: int) -> None:
        up = [name for name, machine in self.machines.items() if machine.node is not None]
        if up:
            self._attempt(op, self.rng.choice(up), attempt + MAX_ATTEMPTS, True)

    def _finish_operation(self, op: Operation) -> None:
        del self._in_flight[op.key][op.id]
        if not self._in_flight[op.key]:
            self._silent_ms[op.key] = 0.0

    # The run --------------------------------------------------------------------------------------------

    def run(self) -> FleetFigures:
        """Play the plan, remove all faults, and read every key back through every member."""
        for name in self.machines:
            self.event_queue.schedule(self.rng.uniform(0.0, 200.0), self.start, name)
        self.event_queue.schedule(CHECK_MS, self._check)
        if self.plan.proposals:
            self.event_queue.schedule(2000.0, self._generate_load)
        self.gateways.start_load()
        for fault in self.plan.faults:
            self.event_queue.schedule(fault.at_ms, self.inject_fault, fault)
        self._run_until(self.plan.length_ms, lambda: False)
        self.loading = False
        self._remove_faults()
        end = self.event_queue.now
        recovered = self._run_until(
            end + RECOVERY_MS,
            lambda: (
                not any(self._in_flight.values())
                and self.replicas_complete()
                and self.gateways.restarts_ended()
            ),
        )
        if (
            not self.stopped
            and (states := self.gateways.half_drained_gateways())
            and self.gateways.restarts_ended()
        ):
            self._run_until(self.event_queue.now + 3000.0, lambda: not self.gateways.half_drained_gateways())
            if self.gateways.half_drained_gateways():
                self.record_finding("half-drained", f"{states}: {self.gateways.roll_states}")
        if not self.stopped and not self.plan.wild and not self.gateways.restarts_ended():
            self.record_finding("roll-not-ended", f"{self.gateways.roll_states}")
        if not recovered and not self.plan.wild and not self.stopped:
            self.record_finding(
                "not-whole-again", f"{RECOVERY_MS:.0f} ms after all was mended: {self._state()}"
            )
        self.gateways.finish()
        self._read_back()
        verdict = check_history(self.operations)
        self.findings += verdict.findings
        self._compare_logs()
        return self._figures(verdict)

    def _state(self) -> str:
        return "; ".join(f"{group}: {self.config(group)}" for group in self.groups())

    def _run_until(self, until: float, condition: Callable[[], bool]) -> bool:
        while self.event_queue.now < until and not self.stopped:
            if condition():
                return True
            self.event_queue.run(min(self.event_queue.now + 200.0, until))
        return condition()

    def settle(self, ms: float) -> None:
        """Continue the run for `ms`."""
        self._run_until(self.event_queue.now + ms, lambda: False)

    def _remove_faults(self) -> None:
        self.network.mend()
        for name, machine in self.machines.items():
            machine.disk.fsync_ms = self.plan.fsync_ms
            if machine.disk.full:  # after a failed write, a process writes nothing until its restart
                machine.disk.full = False
                self.kill(name)
            self.thaw(name)
            self.start(name)

    def _read_back(self) -> None:
        """Read each key through each member; the reads become part of the history."""
        reads: list[Operation] = []
        for key in sorted({op.key for op in self.operations}):
            for name in self.machines:
                op = Operation(key, f"end/{key}/{name}", None, self.event_queue.now)
                self.operations.append(op)
                reads.append(op)
                self._in_flight.setdefault(key, {})[op.id] = op
                self._attempt(op, name, 1, False)
        self._run_until(self.event_queue.now + 15_000.0, lambda: not any(self._in_flight.values()))
        for op in reads:
            if op.outcome != "answered":
                self.unreadable += 1
                if not self.plan.wild and not self.stopped:
                    self.record_finding("unreadable", f"{op.key} through {op.through}")

    def _compare_logs(self) -> None:
        """Check Raft's log matching property: entries with the same index and term are equal on all disks."""
        for group in self.groups():
            entries_by_position: dict[tuple[int, int], tuple[str, bytes]] = {}
            for name, machine in self.machines.items():
                stored = machine.disk.groups.get(group)
                for entry in stored.entries if stored else ():
                    first = entries_by_position.setdefault((entry.index, entry.term), (name, entry.body))
                    if first[1] != entry.body:
                        self.record_finding(
                            "logs-differ", f"{group} {entry.index}/{entry.term}: {first[0]} and {name}"
                        )

    def _figures(self, verdict: Verdict) -> FleetFigures:
        rules = sum(finding.name.isupper() for finding in self.findings)
        gateways, plan = self.gateways, self.plan
        return FleetFigures(
            verdict.acknowledged,
            verdict.lost,
            verdict.twice,
            self.max_leaders,
            self.unavailable_ms,
            self.restored_ms,
            gateways.contract_floor(),
            gateways.contract_over(),
            gateways.shortfall_error(),
            gateways.lent_share(),
            gateways.connections_over if plan.connections else None,
            next(iter(gateways.roll_states.values()), None),
            gateways.roll_lost if plan.rolls else None,
            rules,
            gateways.roll_ratio,
        )
