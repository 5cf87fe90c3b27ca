"""Gateways that hold connection leases, their servers and a leader, with random faults.

The servers record the connections that are really open, so that `check_open_connections` compares these with the
granted ones, independently of the state of gateways and leaders.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from badgeryoke.cluster.connection_limits.commands import SetConnectionLimit
from badgeryoke.cluster.connection_limits.holders import holder_id
from badgeryoke.cluster.connection_limits.lease_holder import ConnectionLeaseHolder
from badgeryoke.cluster.connection_limits.limits import ConnectionLimits
from badgeryoke.cluster.errors import ClusterError, UnknownOutcome
from badgeryoke.cluster.invariants import Invariants, InvariantViolation, Rule
from badgeryoke.cluster.state_machine_part import ApplyResult, Command
from tests.support.cluster_runs import CLOCK_DRIFT, STEP_MS, TIMINGS, leader_view

# longer than a lease lasts after its last renewal; otherwise a lost machine would have no effect
IDLE_TIMEOUT_MS = 12_000.0
PROCESS_END_NOTICE_MS = 900.0  # longest time until a server notices that a process has ended
LIMITS = {"load-1": 4, "load-2": 6}
NEVER = float("inf")


@dataclass
class ServerSocket:
    """One connection as its server sees it."""

    owner: GatewayProcess
    last_used_ms: float
    closes_ms: float = NEVER


@dataclass(eq=False)
class GatewayProcess:
    """One process of a gateway, with a clock of its own rate."""

    holder: ConnectionLeaseHolder
    clock_rate: float
    up: bool = True
    frozen: bool = False
    cut_off: bool = False
    need: dict[str, int] = field(default_factory=dict)
    sockets: dict[str, list[ServerSocket]] = field(default_factory=dict)  # kept until it has seen them close

    def now(self, true_ms: float) -> float:
        """Return the time on the process's clock."""
        return true_ms * self.clock_rate


@dataclass(eq=False)
class CallInFlight:
    """A command on its way to the leader; a command of the leader itself has no sender."""

    arrives_ms: float
    sender: GatewayProcess | None
    command: Command


@dataclass(eq=False)
class ReplyInFlight:
    """A result on its way to a gateway."""

    arrives_ms: float
    receiver: GatewayProcess
    command: Command
    result: ApplyResult | ClusterError


class ConnectionSimulation:
    """Three gateways, their servers, and a leader, each with a clock of its own rate."""

    def __init__(self, random: Random, limits: dict[str, int]) -> None:
        self.random, self.limits, self.invariants, self.true_ms = random, dict(limits), Invariants(), 0.0
        self.replicated = ConnectionLimits(self.invariants, TIMINGS)
        self.leader_clock_rate, self.lead_since_ms = 1.0, 0.0
        self.sockets: dict[str, list[ServerSocket]] = {server: [] for server in limits}
        self.answers: dict[str, ApplyResult] = {}
        self.calls: list[CallInFlight] = []
        self.replies: list[ReplyInFlight] = []
        for server, max_connections in limits.items():
            self.set_limit(server, max_connections)
        self.starts, self.loss_probability = 0, 0.1
        self.gateways = [self.start_process(f"g{n}", "boot") for n in range(3)]

    def set_limit(self, server: str, max_connections: int) -> None:
        """Set a server's limit, as operators do."""
        self.limits[server] = max_connections
        command = SetConnectionLimit(
            id="x", server=server, max_connections=max_connections, idle_timeout_ms=IDLE_TIMEOUT_MS
        )
        self.replicated.apply(0, command)

    def start_process(self, name: str, boot_id: str) -> GatewayProcess:
        """Start and return a gateway's next process."""
        self.starts += 1
        clock_rate = self.random.choice((1.0 - CLOCK_DRIFT, 1.0, 1.0 + CLOCK_DRIFT))
        own_id = holder_id(f"{name}/1", boot_id, str(self.starts))
        holder = ConnectionLeaseHolder(
            own_id, TIMINGS, self.invariants, self.true_ms * clock_rate, only_process=True
        )
        return GatewayProcess(holder, clock_rate)

    def kill(self, n: int, with_machine: bool) -> None:
        """End the process and start the next one.

        When the whole machine is lost, no kernel closes the connections, so servers keep them.
        """
        gateway = self.gateways[n]
        gateway.up = False
        for sockets in self.sockets.values():
            for socket in sockets:
                if socket.owner is gateway and not with_machine:
                    noticed_ms = self.true_ms + self.random.uniform(0, PROCESS_END_NOTICE_MS)
                    socket.closes_ms = min(socket.closes_ms, noticed_ms)
        same_boot = gateway.holder.holder.partition("#")[2].partition(".")[0]
        self.gateways[n] = self.start_process(f"g{n}", f"boot{self.starts}" if with_machine else same_boot)

    def change_leader(self) -> None:
        """Let another member lead, with its own clock and the replicated state."""
        raw = self.replicated.dump()
        self.replicated = ConnectionLimits(self.invariants, TIMINGS)
        self.replicated.load(raw)
        assert self.replicated.dump() == raw
        self.leader_clock_rate = self.random.choice((1.0 - CLOCK_DRIFT, 1.0, 1.0 + CLOCK_DRIFT))
        self.lead_since_ms = self.true_ms * self.leader_clock_rate

    def step(self) -> None:
        """Advance the simulation by one step."""
        self.true_ms += STEP_MS
        if self.random.random() < 0.7:
            view = leader_view(self.true_ms * self.leader_clock_rate, self.lead_since_ms)
            for command in self.replicated.leader_tasks(view):
                self.calls.append(CallInFlight(self.true_ms + self.random.choice((0, 300)), None, command))
        for gateway in self.gateways:
            if not gateway.frozen:
                self.run_process(gateway)
        self.deliver_calls()
        self.close_idle_sockets()
        self.check_open_connections()

    def deliver_calls(self) -> None:
        """Apply the calls that have arrived, each id only once; a reply may be lost."""
        for call in [call for call in self.calls if call.arrives_ms <= self.true_ms]:
            self.calls.remove(call)
            command, sender = call.command, call.sender
            if command.id not in self.answers or sender is None:
                self.answers[command.id] = self.replicated.apply(self.true_ms, command)
            if sender is not None and self.random.random() >= self.loss_probability:
                arrives_ms = self.true_ms + self.random.choice((0, 0, 100, 1500))
                self.replies.append(ReplyInFlight(arrives_ms, sender, command, self.answers[command.id]))
            elif sender is not None:
                self.lose(sender, command)

    def close_idle_sockets(self) -> None:
        """Remove closed and idle connections from the servers; the idle timeout runs on the slowest clock."""
        longest_idle_ms = IDLE_TIMEOUT_MS / (1.0 - CLOCK_DRIFT)
        for server in self.sockets:
            self.sockets[server] = [
                socket
                for socket in self.sockets[server]
                if min(socket.closes_ms, socket.last_used_ms + longest_idle_ms) > self.true_ms
            ]

    def run_process(self, gateway: GatewayProcess) -> None:
        """Run one turn of a process's loop: take replies, close, open, request."""
        now, holder = gateway.now(self.true_ms), gateway.holder
        self.take_replies(gateway, now)
        self.use_sockets(gateway, now)
        for server, need in gateway.need.items():
            holder.set_need(server, need)
        self.close_excess(gateway, now)
        for server, need in gateway.need.items():
            while holder.may_open(now, server) and holder.servers[server].open < need:
                holder.opened(now, server)
                socket = ServerSocket(gateway, self.true_ms)
                self.sockets[server].append(socket)
                gateway.sockets.setdefault(server, []).append(socket)
        for command in holder.poll(now, now):
            if gateway.cut_off or self.random.random() < self.loss_probability:
                self.lose(gateway, command)
            else:
                arrives_ms = self.true_ms + self.random.choice((0, 0, 100, 1500))
                self.calls.append(CallInFlight(arrives_ms, gateway, command))

    def take_replies(self, gateway: GatewayProcess, now: float) -> None:
        """Deliver the results that have arrived for a process."""
        arrived = [
            reply for reply in self.replies if reply.arrives_ms <= self.true_ms and reply.receiver is gateway
        ]
        for reply in arrived:
            self.replies.remove(reply)
            gateway.holder.answered(now, reply.command, reply.result)

    def use_sockets(self, gateway: GatewayProcess, now: float) -> None:
        """Report ended connections to the holder, and use the others while the lease is valid."""
        for server, sockets in gateway.sockets.items():
            for socket in sockets:
                if socket.closes_ms <= self.true_ms or socket not in self.sockets[server]:
                    gateway.holder.closed(server, already_closing=socket.closes_ms < NEVER)
                elif gateway.holder.lease_valid(now, server):
                    socket.last_used_ms = self.true_ms
            gateway.sockets[server] = [
                socket
                for socket in sockets
                if socket.closes_ms > self.true_ms and socket in self.sockets[server]
            ]

    def close_excess(self, gateway: GatewayProcess, now: float) -> None:
        """Begin to close the connections that the leases do not cover."""
        for server, count in gateway.holder.excess(now):
            not_closing = [socket for socket in gateway.sockets[server] if socket.closes_ms == NEVER]
            for socket in not_closing[:count]:
                socket.closes_ms = self.true_ms + self.random.choice((10.0, 150.0))
                gateway.holder.closing(server)

    def lose(self, gateway: GatewayProcess, command: Command) -> None:
        """Let a call time out at the gateway."""
        error = UnknownOutcome("x", "no answer")
        self.replies.append(ReplyInFlight(self.true_ms + TIMINGS.call_ms, gateway, command, error))

    def check_open_connections(self) -> None:
        """Raise InvariantViolation if a server has more connections than were granted."""
        for server, sockets in self.sockets.items():
            if server in self.replicated.servers:
                granted = self.replicated.servers[server].pool.granted()
                if len(sockets) > granted:
                    raise InvariantViolation(
                        Rule.CONNECTIONS_FIT,
                        f"{server}: {len(sockets)} open, {granted:g} granted, {self.true_ms:g}",
                    )

    def inject_fault(self) -> None:
        """Inject a random fault or change of demand, then let a random time pass."""
        random, n = self.random, self.random.randrange(3)
        gateway = self.gateways[n]
        kind = random.randrange(13)
        if kind < 5:
            gateway.need[random.choice(list(self.limits))] = random.choice((0, 3, 8, 8))
        elif kind < 7:
            gateway.frozen = not gateway.frozen
        elif kind == 7:
            gateway.cut_off = not gateway.cut_off
        elif kind == 8:
            self.kill(n, random.random() < 0.5)
        elif kind == 9:
            self.change_leader()
        elif kind == 10:
            self.set_limit(random.choice(list(self.limits)), random.choice((2, 4, 6)))
        elif kind == 11:
            gateway.holder.draining = not gateway.holder.draining
        elif not gateway.frozen:  # isolated, then lost with its machine at about the time its lease expires
            gateway.cut_off = True
            for _ in range(random.randrange(80, 110)):
                self.step()
            self.kill(n, True)
        for _ in range(random.choice((1, 5, 20, 80))):
            self.step()
