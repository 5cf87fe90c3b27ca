"""Random load, faults and membership changes on a simulated group of Raft replicas."""

from __future__ import annotations

import random
from dataclasses import replace

from badgeryoke.cluster.errors import (
    ClusterError,
)
from badgeryoke.cluster.events import (
    ChangeMembership,
    MembershipAction,
    PersistedGroup,
    ProposeCommand,
    ReadIndexRequest,
    TransferLeadership,
)
from badgeryoke.cluster.raft.node import RaftNode
from badgeryoke.cluster.raft.state_types import Role
from tests.support.raft_group import HistoryViolation, SimulatedGroup, SimulatedProcess


class FaultStorm:
    """Random load and faults on a group.

    `reuse_member_id`: a member whose disk was lost starts again under the same member id (a planted fault).
    """

    def __init__(
        self,
        seed: int,
        replica_type: type[RaftNode] = RaftNode,
        reuse_member_id: bool = False,
        duration_ms: float = 5000.0,
    ) -> None:
        self.rng = random.Random(seed)
        self.group = SimulatedGroup(seed, 3 if self.rng.random() < 0.7 else 5, replica_type, True)
        self.reuse_member_id, self.end_ms = reuse_member_id, duration_ms
        self.token_count = 0
        self.pending_changes: list[ChangeMembership] = []
        self.group.schedule(0.0, self.call_at_random)
        self.group.schedule(300.0, self.inject_fault)
        self.group.schedule(50.0, self.change_members)

    def new_token(self) -> str:
        """Return an unused token."""
        self.token_count += 1
        return f"c{self.token_count}"

    def likely_leader(self) -> SimulatedProcess:
        """Return a random process that has the leader's role, otherwise any running one."""
        running = [process for process in self.group.processes.values() if process.replica is not None]
        in_leader_role = [
            process
            for process in running
            if process.replica is not None and process.replica.role is Role.LEADER
        ]
        return self.rng.choice(in_leader_role or running or list(self.group.processes.values()))

    def call_at_random(self) -> None:
        """Start a random operation, and schedule the next one."""
        group = self.group
        if group.now_ms < self.end_ms:
            group.schedule(self.rng.uniform(2.0, 40.0), self.call_at_random)
        process, token = self.likely_leader(), self.new_token()
        if process.replica is None or (process.frozen and len(process.frozen_events) > 200):
            return
        if self.rng.random() < 0.7:
            group.call("propose", ProposeCommand(token, token.encode()), process)
        else:
            group.call("read", ReadIndexRequest(token), process)

    def change_members(self) -> None:
        """Add new members and remove lost ones, one change after another; at times, transfer leadership."""
        group = self.group
        if group.now_ms < self.end_ms + 3000.0:
            group.schedule(self.rng.uniform(20.0, 120.0), self.change_members)
        leader = group.leader()
        if leader is None or leader.replica is None or leader.frozen:
            return
        if self.pending_changes:
            change = replace(self.pending_changes[0], token=self.new_token())
            config, act = leader.replica.config, change.action
            if (
                (act == MembershipAction.LEARN and change.member in config.learners)
                or (act == MembershipAction.PROMOTE and change.member in config.voters)
                or (act == MembershipAction.REMOVE and change.member not in config.voters)
            ) and (leader.replica.commit_index >= leader.replica.config_index):
                self.pending_changes.pop(0)
            else:
                group.call("change", change, leader)
                if (
                    self.rng.random() < 0.3 and len(self.pending_changes) > 1
                ):  # a second change at the same time must be rejected
                    group.call("change", replace(self.pending_changes[-1], token=self.new_token()), leader)
        elif self.rng.random() < 0.05:
            group.deliver(leader, TransferLeadership())

    def inject_fault(self) -> None:
        """Inject a random fault, and schedule the next one."""
        group, rng = self.group, self.rng
        if group.now_ms >= self.end_ms:
            return
        group.schedule(rng.uniform(100.0, 1200.0), self.inject_fault)
        process = self.likely_leader() if rng.random() < 0.5 else rng.choice(list(group.processes.values()))
        kind = rng.choice(("crash", "crash", "freeze", "cut", "one way", "wipe", "wipe", "power"))
        if self.pending_changes and rng.random() < 0.5:
            kind, process = "crash", group.leader() or process  # crash the leader while members change
        match kind:
            case "crash":
                self.crash(process)
            case "power":
                for down in tuple(group.processes.values()):
                    self.crash(down)
            case "freeze":
                self.freeze(process)
            case "cut" | "one way":
                self.block_links(both_ways=kind == "cut")
            case "wipe":
                for delay_ms in (0.0, 100.0, 200.0, 300.0):  # several tries, as it requires complete replicas
                    group.schedule(delay_ms, lambda: self.lose_disk(process))

    def crash(self, process: SimulatedProcess) -> None:
        """Crash a process, and start it again later."""
        group = self.group

        def restart() -> None:
            if process.replica is None and process.member_id in group.processes:
                group.start_process(process)

        if process.replica is not None:
            group.crash(process)
            group.schedule(self.rng.uniform(10.0, 900.0), restart)

    def freeze(self, process: SimulatedProcess) -> None:
        """Freeze a process for a random time."""
        group = self.group
        if not process.frozen:
            process.frozen = True
            group.schedule(
                self.rng.uniform(50.0, 1500.0), lambda: group.unfreeze(process) if process.frozen else None
            )

    def block_links(self, both_ways: bool) -> None:
        """Partition the network for a random time, in one direction or both."""
        group, members = self.group, list(self.group.processes)
        part = self.rng.sample(members, self.rng.randint(1, len(members) // 2))
        for sender in part:
            for receiver in members:
                if receiver not in part:
                    group.blocked_links.add((sender, receiver))
                    if both_ways:
                        group.blocked_links.add((receiver, sender))
        group.schedule(self.rng.uniform(100.0, 1500.0), lambda: setattr(group, "blocked_links", set()))

    def lose_disk(self, process: SimulatedProcess) -> None:
        """Lose a process's disk, if all replicas are complete or the member id is reused."""
        group = self.group
        leader, last_acknowledged = group.leader(), max(group.acknowledged.values(), default=0)
        if (
            group.now_ms >= self.end_ms
            or self.pending_changes
            or leader is None
            or leader.replica is None
            or (
                process.member_id not in group.processes
                or process.member_id not in leader.replica.config.voters
            )
        ):
            return
        for who in leader.replica.config.voters:
            other = group.processes[who]
            snapshot_index = (
                other.saved.snapshot.last_included_index if other.saved.snapshot is not None else 0
            )
            last_index = other.saved.entries[-1].index if other.saved.entries else snapshot_index
            if not self.reuse_member_id and (
                other.replica is None
                or other.replica.commit_index < last_acknowledged
                or last_index < last_acknowledged
            ):
                return
        group.crash(process)
        if self.reuse_member_id:
            process.saved = PersistedGroup()
            group.start_process(process)
            return
        del group.processes[process.member_id]
        name, _, number = process.member_id.partition("/")
        new = group.add_process(f"{name}/{int(number) + 1}", None)
        self.pending_changes = [
            ChangeMembership("", MembershipAction.LEARN, new.member_id),
            ChangeMembership("", MembershipAction.PROMOTE, new.member_id),
            ChangeMembership("", MembershipAction.REMOVE, process.member_id),
        ]

    def run(self) -> None:
        """Run the load and the faults, heal the group, then check its history."""
        group = self.group
        group.run(self.end_ms)
        group.heal()
        for _ in range(40):
            group.run(250.0)
            leader = group.leader()
            if leader is None or leader.replica is None or self.pending_changes or group.open_calls:
                continue
            if not isinstance(
                group.call_and_wait(
                    ProposeCommand(self.new_token(), f"c{self.token_count}".encode()), leader
                ),
                ClusterError,
            ):
                break
        else:
            raise HistoryViolation(
                f"the group accepts no commands: {self.pending_changes} {group.open_calls}"
            )
        group.run(400.0)
        group.check_history()
