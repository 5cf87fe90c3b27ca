"""Simulated gateways around the nodes of a cluster: tenants' requests, servers with connection limits, and rolling
restarts.

The simulation measures what actually happens: units requested and drawn, the sum of all shares that gateways
consider valid by their own clocks, connections open at each server, and queries that end without an answer.  The
connections of a killed process are reset by its machine; those of a lost machine remain until the server's idle
timeout.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import TYPE_CHECKING, Any

from badgeryoke.cluster.connection_limits.holders import holder_id
from badgeryoke.cluster.connection_limits.lease_holder import ConnectionLeaseHolder
from badgeryoke.cluster.invariants import InvariantViolation
from badgeryoke.cluster.messages import member_name
from badgeryoke.cluster.reservations.commands import ProposeContract, ReadContracts
from badgeryoke.cluster.reservations.lease_client import ReservationClient
from badgeryoke.cluster.reservations.terms import ContractTerms, Window
from badgeryoke.cluster.rolling_restart.commands import ReadRollingRestarts, StartRollingRestart
from badgeryoke.cluster.rolling_restart.gateway_agent import DesiredState, RollingRestartAgent
from badgeryoke.cluster.rolling_restart.minimum_duration import minimum_duration_ms
from badgeryoke.cluster.state_machine_part import FLEET, ApplyResult
from badgeryoke.testbed.checkers.contract_ledger import EXCLUDED_AFTER_LOSS_MS, ExpectedLedger, worst_second
from badgeryoke.testbed.cluster_simulation.clock import START_UNIX_MS
from badgeryoke.testbed.scenario.model import ContractText, RollText

if TYPE_CHECKING:
    from badgeryoke.testbed.cluster_simulation.world import Machine, SimulatedCluster

LATENCY_MS = (0.2, 1.0)
TICK_MS = 20.0
QUERY_MS = (30.0, 90.0)
FAILOVER_MS = 450.0  # time in which clients leave a gateway that rejects them, as in the real gateway
RESTART_MS = (800.0, 1400.0)  # from a process's shutdown to the start of the next one, as with real processes
WARM_UP_MS = 500.0
RESTART_POLL_MS = 100.0  # between two polls of a rolling restart's state
KILLED_LEADER_DOWN_MS = 2000.0  # time until a killed leader that schedules a rolling restart is started again
# Excluded at both ends of a contract's window, while gateways acquire and release leases.
EXCLUDED_EDGE_MS = 2500.0
MAX_VIEW_AGE_MS = 3000.0  # maximum age of a leader's view of the replicas
SHORTFALL_REPORT_MS = 6000.0  # time after the end until all units short are reported
DEMAND_CHANGE_MS = 700.0  # mean time between changes of a gateway's connection demand
# Period of a tenant's requests, and the part of it with requests.
REQUEST_PERIOD_MS, REQUESTS_MS = 9000.0, 6000.0


@dataclass(slots=True)
class Connection:
    """One connection, with the state of both ends."""

    server: str
    owner: str
    process_number: int
    open_at_gateway: bool = True
    open_at_server: bool = False
    is_closing: bool = False
    machine_lost: bool = False  # its machine is lost, so that it is not reset
    last_used_ms: float = 0.0


@dataclass(slots=True)
class GatewayProcess:
    """One gateway process: its lease clients, connections and queries in flight."""

    process_number: int
    reservation_client: ReservationClient
    lease_holder: ConnectionLeaseHolder
    restart_agent: RollingRestartAgent
    connections: dict[str, list[Connection]] = field(default_factory=dict)
    demand: dict[str, int] = field(default_factory=dict)
    next_demand_ms: float = 0.0
    paused_at_ms: float = math.inf
    queries_in_flight: set[int] = field(default_factory=set)
    leaving: bool = False


@dataclass(slots=True)
class SimulatedContract:
    """One contract and its measurements.  Times in ms of simulated time."""

    text: ContractText
    ledger: ExpectedLedger
    customers: tuple[int, ...]
    tenant: str
    gateway_indexes: tuple[int, ...]
    shift_ms: float
    admitted: bool = False
    asked_at: float = math.inf
    max_excess: float = 0.0
    # Units that may still be drawn from a single bucket of the contract's rate and burst.
    bucket_level: float = 0.0
    bucket_at_ms: float = 0.0
    max_overdrawn: float = 0.0
    lent: float = 0.0
    offered: float = 0.0

    def request_period(self, true_ms: float) -> tuple[int, float]:
        """The number of the request period, and the time since it began."""
        period_number, since = divmod(true_ms - self.text.from_ms, REQUEST_PERIOD_MS)
        return int(period_number), since


class SimulatedGateways:
    """All gateways of one simulated cluster."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self.cluster, plan = cluster, cluster.plan
        self.rng = Random(f"fleet/{plan.seed}/gates")
        self._event_queue = cluster.event_queue
        self.processes: dict[str, GatewayProcess] = {}
        self.servers: dict[str, list[Connection]] = {f"s{number + 1}": [] for number in range(plan.servers)}
        self.connections_over = 0
        self.contracts = [self._create_contract(text) for text in plan.contracts]
        self.loss_times_ms: list[float] = []
        self.roll_lost = 0
        self.roll_states: dict[str, str] = {}
        self._queries_sent = 0
        self.reported_short: dict[str, float] = {}
        self.enabled = bool(plan.contracts or plan.rolls or plan.connections)
        # Gateways that a rolling restart has stopped and that are not running again.
        self.restarting: set[str] = set()
        # When replicas, by group and member id, became incomplete on the disks.
        self._incomplete_since: dict[tuple[str, str], float] = {}
        # Number of processes stopped, by rolling restart and gateway.
        self.restart_counts: dict[tuple[str, str], int] = {}
        self._pending_kills = {text.name: list(text.kill_leader) for text in plan.rolls}
        # When a rolling restart stopped a gateway whose replicas are not complete again.
        self._stopped_at_ms: dict[str, float] = {}
        self._drain_ms: dict[str, float] = {}  # time that a gateway took to drain
        self._leader_killed_at_ms = -math.inf  # when the scheduling leader was last killed
        # Duration of each gateway's restart, without scheduling delays.
        self._restart_durations_ms: list[float] = []
        self._requested_at_ms: dict[str, float] = {}
        self.roll_ratio: float | None = None

    # Processes ------------------------------------------------------------------------------------------

    def process_started(self, machine: Machine, now: float) -> list[Any]:
        """Start a gateway process and return its lease clients."""
        if not self.enabled:
            return []
        cluster = self.cluster
        self.restarting.discard(machine.name)
        holder = holder_id(machine.id, f"b{machine.boot}", str(machine.process_number))
        process = self.processes[machine.name] = GatewayProcess(
            machine.process_number,
            ReservationClient(
                machine.id, str(machine.process_number), cluster.timings, machine.zone, cluster.plan.members
            ),
            ConnectionLeaseHolder(holder, cluster.timings, cluster.rules, now, only_process=True),
            RollingRestartAgent(machine.name, holder),
        )
        process.reservation_client.wake = partial(
            self._call_after_latency, cluster.wake, machine.name, process.process_number
        )
        self._event_queue.schedule(
            self._event_queue.now + self.rng.uniform(1.0, TICK_MS),
            self._tick,
            machine.name,
            process.process_number,
        )
        return [process.reservation_client, process.lease_holder, process.restart_agent]

    def process_ended(self, machine: Machine, lost: bool) -> None:
        """End a gateway process: its kernel resets its connections, unless the machine is lost."""
        process = self.processes.pop(machine.name, None)
        if process is None:
            return
        if process.leaving:
            self.roll_lost += len(process.queries_in_flight)
        for connections in process.connections.values():
            for connection in connections:
                connection.open_at_gateway = False
                connection.machine_lost = lost
                if not lost:
                    self._call_after_latency(self._close_at_server, connection)

    def record_loss(self) -> None:
        """Record a loss; the guaranteed rate excludes the time after it."""
        self.loss_times_ms.append(self._event_queue.now)

    def _call_after_latency(self, function: Callable[..., None], *args: Any) -> None:
        self._event_queue.schedule(self._event_queue.now + self.rng.uniform(*LATENCY_MS), function, *args)

    def _tick(self, name: str, process_number: int) -> None:
        machine, process = self.cluster.machines[name], self.processes.get(name)
        if process is None or process.process_number != process_number or self.cluster.stopped:
            return
        has_waiting = False
        if machine.up:
            now = machine.clock.now(self._event_queue.now)
            if self.contracts:
                has_waiting = self._finish_waits(machine, process, now)
                self._measure_shares()
            try:
                if self.servers:
                    self._update_connections(name, process, now)
                if self.cluster.plan.rolls:
                    self._run_restart_agent(machine, process, now)
            except InvariantViolation as fault:
                self.cluster.record_finding(fault.rule.name, f"{name}: {fault}")
                return
        self._event_queue.schedule(
            self._event_queue.now + (TICK_MS / 2.0 if has_waiting else TICK_MS),
            self._tick,
            name,
            process_number,
        )

    # Connections ----------------------------------------------------------------------------------------

    def _update_connections(self, name: str, process: GatewayProcess, now: float) -> None:
        true_ms, rng, lease_holder = self._event_queue.now, self.rng, process.lease_holder
        plan = self.cluster.plan
        if true_ms >= process.next_demand_ms:
            process.next_demand_ms = true_ms + DEMAND_CHANGE_MS * rng.uniform(0.5, 1.5)
            max_demand = max(2 * plan.connections // plan.members, 2)
            for server in self.servers:
                process.demand[server] = rng.choice(
                    (0, 1, 2, rng.randint(0, max_demand), rng.randint(0, max_demand))
                )
        drained = process.paused_at_ms < true_ms - FAILOVER_MS
        for server in self.servers:
            demand = 0 if drained else process.demand[server]
            connections = [
                connection for connection in process.connections.get(server, ()) if connection.open_at_gateway
            ]
            lease_holder.set_need(server, demand)
            if lease_holder.lease_valid(now, server):
                for connection in connections[: max(demand, 1)]:
                    connection.last_used_ms = true_ms
            if lease_holder.draining or drained:
                for connection in connections[demand:]:
                    self._close_connection(process, connection)
            while len(connections) < demand and lease_holder.may_open(now, server):
                lease_holder.opened(now, server)
                connection = Connection(server, name, process.process_number, last_used_ms=true_ms)
                connections.append(connection)
                process.connections.setdefault(server, []).append(connection)
                self._call_after_latency(self._open_at_server, connection)
        for server, excess in lease_holder.excess(now):
            open_connections = [
                connection
                for connection in process.connections.get(server, ())
                if connection.open_at_gateway and not connection.is_closing
            ]
            for connection in open_connections[-excess:]:
                self._close_connection(process, connection)

    def _close_connection(self, process: GatewayProcess, connection: Connection) -> None:
        if not connection.is_closing:
            connection.is_closing = True
            process.lease_holder.closing(connection.server)
            # A server sometimes closes late, but within the time that a lease reserves for it.
            delay_ms = self.rng.uniform(0.0, 200.0) if self.rng.random() < 0.2 else 0.0
            self._event_queue.schedule(
                self._event_queue.now + self.rng.uniform(*LATENCY_MS) + delay_ms,
                self._close_at_server,
                connection,
            )

    def _open_at_server(self, connection: Connection) -> None:
        """Open the connection at the server."""
        if connection.is_closing and not connection.open_at_gateway:
            return
        connection.open_at_server = True
        server_connections = self.servers[connection.server]
        server_connections.append(connection)
        over = len(server_connections) - self.cluster.plan.connections
        if over > self.connections_over:
            self.connections_over = over
            self.cluster.record_finding(
                "connections-over",
                f"{connection.server}: {len(server_connections)} open of {self.cluster.plan.connections}, "
                f"by {[opened.owner for opened in server_connections]}",
            )
        self._event_queue.schedule(self._event_queue.now + self.cluster.idle_ms, self._check_idle, connection)
        if not connection.open_at_gateway and not connection.machine_lost:  # its process has ended meanwhile
            self._call_after_latency(self._close_at_server, connection)

    def _check_idle(self, connection: Connection) -> None:
        if not connection.open_at_server:
            return
        remaining_ms = connection.last_used_ms + self.cluster.idle_ms - self._event_queue.now
        if remaining_ms > 0:
            self._event_queue.schedule(self._event_queue.now + remaining_ms, self._check_idle, connection)
        else:
            self._close_at_server(connection)

    def _close_at_server(self, connection: Connection) -> None:
        """Close the connection at the server."""
        if connection.open_at_server:
            connection.open_at_server = False
            self.servers[connection.server].remove(connection)
        elif connection.open_at_gateway:
            self._call_after_latency(self._close_at_server, connection)  # its SYN is still in flight
            return
        self._call_after_latency(self._closed_at_gateway, connection)

    def _closed_at_gateway(self, connection: Connection) -> None:
        process = self.processes.get(connection.owner)
        if (
            process is None
            or process.process_number != connection.process_number
            or not connection.open_at_gateway
        ):
            return
        connection.open_at_gateway = False
        process.connections[connection.server].remove(connection)
        process.lease_holder.closed(connection.server, connection.is_closing)

    # Contracts ------------------------------------------------------------------------------------------

    def _create_contract(self, text: ContractText) -> SimulatedContract:
        first, last = text.customers
        count = min(self.cluster.plan.members, 3)
        gateway_indexes = tuple(self.rng.sample(range(self.cluster.plan.members), count))
        return SimulatedContract(
            text,
            ExpectedLedger(text.rate, text.burst),
            tuple(range(first, last + 1)),
            f"t{first}",
            gateway_indexes,
            self.rng.uniform(8000.0, 20_000.0),
            bucket_level=text.burst,
        )

    def start_load(self) -> None:
        """Schedule the contract proposals, the rolling restarts, and the load."""
        if not self.enabled:
            return
        for contract in self.contracts:
            self._event_queue.schedule(
                max(contract.text.from_ms - 12_000.0, 1500.0), self._propose, contract, 1
            )
            self._event_queue.schedule(contract.text.from_ms + EXCLUDED_EDGE_MS, self._send_request, contract)
        for roll in self.cluster.plan.rolls:
            self._event_queue.schedule(roll.from_ms, self._start_restart, roll, 1)
        if self.cluster.plan.rolls:
            self._event_queue.schedule(2000.0, self._send_query)

    def _propose(self, contract: SimulatedContract, attempt: int) -> None:
        text = contract.text
        command = ProposeContract(
            id=f"lab/{text.name}",
            contract=text.name,
            terms=ContractTerms(
                contract.tenant,
                contract.customers,
                text.rate,
                text.burst,
                (Window(START_UNIX_MS + text.from_ms, START_UNIX_MS + text.to_ms),),
                rank=min(text.importance, 9),
            ),
        )

        def on_result(result: Any) -> None:
            if isinstance(result, ApplyResult) and result.error is None:
                contract.admitted = True
            elif attempt < 10:
                self._event_queue.schedule(
                    self._event_queue.now + 300.0, self._propose, contract, attempt + 1
                )

        self._call(command, on_result)

    def _call(self, command: Any, on_result: Callable[[Any], None]) -> None:
        up = [name for name, machine in self.cluster.machines.items() if machine.node is not None]
        if up:
            self.cluster.call(self.rng.choice(up), command, on_result)
        else:
            on_result(None)

    def _send_request(self, contract: SimulatedContract) -> None:
        text, rng, true_ms = contract.text, self.rng, self._event_queue.now
        if true_ms > min(text.to_ms, self.cluster.plan.length_ms) - EXCLUDED_EDGE_MS or self.cluster.stopped:
            return
        self._event_queue.schedule(
            true_ms + 1000.0 * rng.expovariate(1.3 * text.rate / 2.0), self._send_request, contract
        )
        if contract.request_period(true_ms)[1] >= REQUESTS_MS:
            return
        units = float(rng.randint(1, 3))
        shift = int((true_ms + 977.0 * text.customers[0]) // contract.shift_ms)
        gateway_index = (
            contract.gateway_indexes[shift % len(contract.gateway_indexes)]
            if rng.random() < 0.73
            else rng.choice(contract.gateway_indexes)
        )
        name = self._reachable_gateway(gateway_index)
        token = (
            contract,
            units,
            contract.ledger.record_request(true_ms, units, name is not None and self._is_partitioned(name)),
        )
        if name is None:
            return
        machine, process = self.cluster.machines[name], self.processes[name]
        now = machine.clock.now(true_ms)
        customer = rng.choice(contract.customers)
        reserved = process.reservation_client.draw(now, customer, units)
        if reserved is not None:
            self._record_served(token)
        else:
            process.reservation_client.wait(now, customer, units, token)

    def _reachable_gateway(self, gateway_index: int) -> str | None:
        """The gateway that a client reaches: the given one, or the next that runs and accepts clients."""
        names = list(self.cluster.machines)
        for step in range(len(names)):
            name = names[(gateway_index + step) % len(names)]
            process = self.processes.get(name)
            if (
                process is not None
                and self.cluster.machines[name].up
                and (process.paused_at_ms > self._event_queue.now - FAILOVER_MS and not process.leaving)
            ):
                return name
        return None

    def _is_partitioned(self, name: str) -> bool:
        """Whether a gateway is partitioned from the majority of the cluster, in at least one direction."""
        names, cuts = list(self.cluster.machines), self.cluster.network.cuts
        return 2 * sum((name, other) not in cuts and (other, name) not in cuts for other in names) <= len(
            names
        )

    def _record_served(self, token: tuple[SimulatedContract, float, tuple[int, bool]]) -> None:
        contract, units, recorded = token
        contract.ledger.record_served(self._event_queue.now, units, recorded)
        # All gateways together must not draw more than a single bucket of the contract's rate and burst.
        true_ms, text = self._event_queue.now, contract.text
        contract.bucket_level = (
            min(contract.bucket_level + text.rate * (true_ms - contract.bucket_at_ms) / 1000.0, text.burst)
            - units
        )
        contract.bucket_at_ms = true_ms
        contract.max_overdrawn = max(contract.max_overdrawn, -contract.bucket_level)

    def _finish_waits(self, machine: Machine, process: GatewayProcess, now: float) -> bool:
        for token, reserved in process.reservation_client.finished_waits(now):
            if reserved is not None:
                self._record_served(token)
        return any(lease.waiting for lease in process.reservation_client.leases.values())

    def _measure_shares(self) -> None:
        """Measure the shares that gateways consider valid now, each by its own clock."""
        true_ms = self._event_queue.now
        for contract in self.contracts:
            held = lent = 0.0
            name = contract.text.name
            for owner, process in self.processes.items():
                lease = process.reservation_client.leases.get(name)
                if lease is None or not lease.share:
                    continue
                machine = self.cluster.machines[owner]
                now = machine.clock.now(true_ms)
                if now >= lease.expires_ms:
                    continue
                wall = machine.clock.wall(now)
                held += lease.share * (lease.later_fraction if wall >= lease.share_change_ms else 1.0)
                if machine.up and lease.demand.has_stopped(now):
                    lent += lease.share
            excess = held - contract.text.rate
            if excess > contract.max_excess + 1e-6:
                contract.max_excess = excess
            first, last = contract.text.from_ms + EXCLUDED_EDGE_MS, contract.text.to_ms - EXCLUDED_EDGE_MS
            if (
                contract.request_period(true_ms)[1] > REQUESTS_MS + 1000.0
                and first < true_ms < last
                and not self._is_after_loss(true_ms)
            ):
                contract.lent += min(lent, contract.text.rate)
                contract.offered += contract.text.rate

    def _is_after_loss(self, true_ms: float) -> bool:
        return any(loss <= true_ms <= loss + EXCLUDED_AFTER_LOSS_MS for loss in self.loss_times_ms)

    def finish(self) -> None:
        """Read the reported units short."""

        def on_result(result: Any) -> None:
            if isinstance(result, ApplyResult) and result.error is None:
                for facts in result.value["contracts"].values():
                    self.reported_short[facts["contract"]] = sum(facts["short"].values())

        if self.contracts:
            self.cluster.settle(SHORTFALL_REPORT_MS)
            self._call(ReadContracts(id="lab/read"), on_result)

    def contract_floor(self) -> float | None:
        """The smallest served fraction of a second under any admitted contract; see
        badgeryoke.testbed.checkers.contract_ledger."""
        return worst_second(
            [
                contract.ledger.served_fraction_by_second(0.0, math.inf, self.loss_times_ms)
                for contract in self.contracts
                if contract.admitted
            ]
        )

    def contract_over(self) -> float | None:
        """The most by which the valid leases exceeded a contract's rate."""
        return max((contract.max_excess for contract in self.contracts), default=None)

    def shortfall_error(self) -> float | None:
        """The largest relative error of the reported units short."""
        return max(
            (
                contract.ledger.report_error(self.reported_short.get(contract.text.name, 0.0))
                for contract in self.contracts
                if contract.admitted
            ),
            default=None,
        )

    def lent_share(self) -> float | None:
        """The fraction of idle reserved capacity that gateways lent to other customers."""
        offered = sum(contract.offered for contract in self.contracts)
        return sum(contract.lent for contract in self.contracts) / offered if offered else None

    # Rolling restarts -----------------------------------------------------------------------------------

    def _send_query(self) -> None:
        """Send a query without a contract, which a rolling restart must not lose."""
        if self.cluster.stopped or not self.cluster.loading:
            return
        self._event_queue.schedule(
            self._event_queue.now + 1000.0 * self.rng.expovariate(40.0), self._send_query
        )
        name = self._reachable_gateway(self.rng.randrange(self.cluster.plan.members))
        if name is not None:
            self._queries_sent += 1
            process = self.processes[name]
            process.queries_in_flight.add(self._queries_sent)
            self._event_queue.schedule(
                self._event_queue.now + self.rng.uniform(*QUERY_MS),
                process.queries_in_flight.discard,
                self._queries_sent,
            )

    def _start_restart(self, text: RollText, attempt: int) -> None:
        command = StartRollingRestart(
            id=f"lab/{text.name}",
            restart=text.name,
            at_once=text.at_once,
            gateways=tuple(f"g{number}" for number in text.gateways),
            reason="laboratory",
            deadline_ms=10_000.0,
            warm_up_ms=WARM_UP_MS,
        )
        self.roll_states.setdefault(text.name, "not asked")

        def on_result(result: Any) -> None:
            if isinstance(result, ApplyResult) and result.error is None:
                self.roll_states[text.name] = "asked"
                self._requested_at_ms[text.name] = self._event_queue.now
                self._event_queue.schedule(self._event_queue.now + 300.0, self._poll_restart, text)
            elif attempt < 10:
                self._event_queue.schedule(
                    self._event_queue.now + 300.0, self._start_restart, text, attempt + 1
                )
            else:
                self.roll_states[text.name] = "failed"

        self._call(command, on_result)

    def _poll_restart(self, text: RollText) -> None:
        def on_result(result: Any) -> None:
            if isinstance(result, ApplyResult) and result.error is None:
                self.roll_states.update(
                    {
                        restart["roll"]: restart["state"]
                        for restart in result.value
                        if restart["roll"] == text.name
                    }
                )
            if (
                self.roll_states[text.name] not in ("done", "failed", "cancelled")
                and not self.cluster.stopped
            ):
                self._event_queue.schedule(self._event_queue.now + RESTART_POLL_MS, self._poll_restart, text)
            elif self.roll_states[text.name] == "done":
                self._record_restart_ratio(text)

        self._call(ReadRollingRestarts(id="lab/roll"), on_result)

    def _record_restart_ratio(self, text: RollText) -> None:
        """Compare a rolling restart's duration with the minimum that the limits allow if each gateway takes the mean
        time of this restart."""
        if not self._restart_durations_ms:
            return
        cluster, names = self.cluster, [f"g{number}" for number in text.gateways]
        groups = {
            group: tuple(map(member_name, config.voters))
            for group in cluster.groups()
            if (config := cluster.config(group)) is not None
        }
        zones = {name: machine.zone for name, machine in cluster.machines.items()}
        minimum_ms = minimum_duration_ms(
            names,
            groups,
            zones,
            text.at_once,
            0.0,
            sum(self._restart_durations_ms) / len(self._restart_durations_ms),
        )
        self.roll_ratio = (self._event_queue.now - self._requested_at_ms[text.name]) / minimum_ms

    def _kill_scheduler(self) -> None:
        """Kill the leader that schedules a rolling restart when a gateway first reaches a state that the plan names."""
        for name, machine in self.cluster.machines.items():
            node = machine.node
            if (
                node is None
                or not machine.up
                or FLEET not in node.replicas
                or not node.replicas[FLEET].leading
            ):
                continue
            roll = node.state_machines[FLEET].parts["rolls"].active
            if roll is None:
                continue
            states = [gateway.phase.value for gateway in roll.gateways.values()]
            state = next(
                (planned for planned in self._pending_kills.get(roll.name, ()) if planned in states), ""
            )
            if state:
                self._pending_kills[roll.name].remove(state)
                self.record_loss()
                self._leader_killed_at_ms = self._event_queue.now
                self.cluster.kill(name)
                self._event_queue.schedule(
                    self._event_queue.now + KILLED_LEADER_DOWN_MS, self.cluster.start, name
                )
                return

    def check(self) -> None:
        """Kill the scheduling leader as planned, and track incomplete replicas, for which a wave has to wait."""
        if self.cluster.plan.rolls:
            self._kill_scheduler()
            # Replicas of gateways that the rolling restart itself has stopped do not count.
            self._incomplete_since = {
                replica_key: self._incomplete_since.get(replica_key, self._event_queue.now)
                for replica_key in self.cluster.incomplete_replicas()
                if member_name(replica_key[1]) not in self.restarting
            }

    def half_drained_gateways(self) -> list[str]:
        """The gateways that reject clients."""
        return [name for name, process in self.processes.items() if process.paused_at_ms < math.inf]

    def restarts_ended(self) -> bool:
        """Whether all rolling restarts have ended."""
        return all(state in ("done", "failed", "cancelled") for state in self.roll_states.values())

    def _run_restart_agent(self, machine: Machine, process: GatewayProcess, now: float) -> None:
        true_ms, restart_agent, lease_holder, node = (
            self._event_queue.now,
            process.restart_agent,
            process.lease_holder,
            machine.node,
        )
        assert node is not None
        lease_holder.need_multiple, lease_holder.draining = (
            restart_agent.need_multiple,
            restart_agent.must_not_lead,
        )
        node.avoid_leadership = restart_agent.must_not_lead
        groups = node.replicas.items()
        drained = restart_agent.paused and process.paused_at_ms < true_ms - FAILOVER_MS
        replicas_complete = all(
            replica.is_up_to_date
            for group, replica in groups
            if (config := self.cluster.config(group)) is not None and machine.id in config.voters
        )
        if replicas_complete and not process.leaving and machine.name in self._stopped_at_ms:
            self._restart_durations_ms.append(
                self._drain_ms.pop(machine.name)
                + true_ms
                - self._stopped_at_ms.pop(machine.name)
                + WARM_UP_MS
            )
        empty = not process.queries_in_flight and lease_holder.empty
        if drained and empty and not process.leaving:
            self._drain_ms.setdefault(machine.name, true_ms - process.paused_at_ms)
        restart_agent.observe(
            groups_led=sum(replica.leading for _, replica in groups),
            trimmed=all(pool.open - pool.closing <= pool.need for pool in lease_holder.servers.values()),
            drained=drained,
            empty=empty,
            copies_complete=replicas_complete,
        )
        for action in restart_agent.next_actions(now):
            if action is DesiredState.PAUSE:
                process.paused_at_ms = true_ms
            elif action is DesiredState.RESUME:
                process.paused_at_ms = math.inf
            elif not process.leaving:
                process.leaving = True
                roll = str(restart_agent.restart)
                key = roll, machine.name
                self.restart_counts[key] = self.restart_counts.get(key, 0) + 1
                if self.restart_counts[key] > 1:
                    self.cluster.record_finding("drained-twice", f"{machine.name} by {roll}")
                self.restarting.add(machine.name)
                self._stopped_at_ms[machine.name] = true_ms
                if len(self.restarting) > max(text.at_once for text in self.cluster.plan.rolls):
                    self.cluster.record_finding("two-waves", f"{sorted(self.restarting)} by {roll}")
                incomplete = self.cluster.incomplete_replicas()
                # A step in flight when the scheduling leader was killed takes effect under the next leader; it is
                # judged by the state at the time of the kill.
                judged_at_ms = (
                    self._leader_killed_at_ms
                    if true_ms - self._leader_killed_at_ms < KILLED_LEADER_DOWN_MS + MAX_VIEW_AGE_MS
                    else true_ms
                )
                overdue = [
                    replica_key
                    for replica_key, since in self._incomplete_since.items()
                    if judged_at_ms - since > MAX_VIEW_AGE_MS and replica_key in incomplete
                ]
                if overdue:
                    self.cluster.record_finding(
                        "wave-before-copies", f"{machine.name} ends, missing for long: {overdue}"
                    )
                self._stop_gateway(machine, process.process_number)

    def _stop_gateway(self, machine: Machine, process_number: int) -> None:
        def on_left(result: Any) -> None:
            if machine.process_number == process_number:
                self.cluster.kill(machine.name)
                self._event_queue.schedule(
                    self._event_queue.now + self.rng.uniform(*RESTART_MS), self.cluster.start, machine.name
                )

        self.cluster.leave(machine.name, on_left)
