"""Connection limits: the leases of all gateways never exceed a server's limit, whichever messages or gateways
are lost."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from badgeryoke.cluster.connection_limits.commands import (
    ConnectionLeaseRequest,
    LeaseReference,
    LeaseRefusal,
    ReleaseConnectionLeases,
    RemoveConnectionLimit,
    RequestConnectionLeases,
    SetConnectionLimit,
)
from badgeryoke.cluster.connection_limits.holders import holder_id, server_bucket
from badgeryoke.cluster.connection_limits.lease_holder import ConnectionLeaseHolder
from badgeryoke.cluster.connection_limits.limits import ConnectionLimits
from badgeryoke.cluster.connection_limits.server_connections import MIN_REQUEST_INTERVAL_MS
from badgeryoke.cluster.errors import InvalidCall
from badgeryoke.cluster.invariants import Invariants, Rule
from badgeryoke.cluster.state_machine.command_registry import parse_command
from badgeryoke.cluster.state_machine_part import Command
from tests.support.cluster_runs import CLOCK_DRIFT, TIMINGS, first_broken_rule, run_state_machine
from tests.support.connection_simulation import IDLE_TIMEOUT_MS, LIMITS, ConnectionSimulation

# Under random faults
# ----------------------------------------------------------------------------------------------------------


class ConnectionsMachine(RuleBasedStateMachine):
    """Hypothesis draws and shrinks the steps; the simulation carries them out."""

    def __init__(self) -> None:
        super().__init__()
        self.simulation = ConnectionSimulation(Random(5), LIMITS)

    @rule(seed=st.integers(0, 999))
    def inject_fault(self, seed: int) -> None:
        self.simulation.random = Random(seed)
        self.simulation.inject_fault()

    @rule(
        n=st.integers(0, 2),
        need=st.integers(0, 8),
        server=st.sampled_from(sorted(LIMITS)),
        steps=st.integers(1, 50),
    )
    def need_connections(self, n: int, need: int, server: str, steps: int) -> None:
        self.simulation.gateways[n].need[server] = need
        for _ in range(steps):
            self.simulation.step()

    @invariant()
    def connections_are_within_what_is_granted(self) -> None:
        self.simulation.check_open_connections()
        assert not self.simulation.invariants.broken

    def teardown(self) -> None:
        """Without faults, idle shares are returned and new requests are granted up to the limit."""
        simulation = self.simulation
        simulation.random, simulation.loss_probability = Random(1), 0.0
        for gateway in simulation.gateways:
            gateway.frozen = gateway.cut_off = False
            gateway.need, gateway.holder.draining = dict.fromkeys(LIMITS, 0), True
        for _ in range(500):
            simulation.step()
        assert [limit.pool.granted() for limit in simulation.replicated.servers.values()] == [0.0, 0.0]
        for gateway in simulation.gateways:
            gateway.need, gateway.holder.draining = dict.fromkeys(LIMITS, 9), False
        for _ in range(400):
            simulation.step()
        for server, limit in simulation.replicated.servers.items():
            assert limit.pool.granted() == simulation.limits[server] == len(simulation.sockets[server])


def test_connections_stay_within_limits_under_random_faults() -> None:
    run_state_machine(ConnectionsMachine, 12, 12)


def run_with_faults(seed: int) -> None:
    simulation = ConnectionSimulation(Random(seed), LIMITS)
    for _ in range(30):
        simulation.inject_fault()


# Planted faults
# ----------------------------------------------------------------------------------------------------------


def count_closing_as_closed(patch: pytest.MonkeyPatch) -> None:
    def closing(self: ConnectionLeaseHolder, server: str) -> None:
        self.servers[server].open -= 1

    def closed(self: ConnectionLeaseHolder, server: str, already_closing: bool = False) -> None:
        self.servers[server].open -= not already_closing

    patch.setattr(ConnectionLeaseHolder, "closing", closing)
    patch.setattr(ConnectionLeaseHolder, "closed", closed)


def start_lease_at_the_answer(patch: pytest.MonkeyPatch) -> None:
    answered = ConnectionLeaseHolder.answered

    def answered_with_late_start(
        self: ConnectionLeaseHolder, now: float, command: Command, result: Any
    ) -> None:
        if (pending := self._pending.get(command.key())) is not None:
            pending.first_sent_ms = now
        answered(self, now, command, result)

    patch.setattr(ConnectionLeaseHolder, "answered", answered_with_late_start)


def ignore_idle_timeout(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        ConnectionLimits,
        "expiry_after_ms",
        lambda self, idle_timeout_ms: (
            self.lease_duration_ms() * (1 + CLOCK_DRIFT) / (1 - CLOCK_DRIFT) + 300.0
        ),
    )


def ignore_clock_drift(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        ConnectionLimits,
        "expiry_after_ms",
        lambda self, idle_timeout_ms: self.lease_duration_ms() + idle_timeout_ms,
    )


def open_beyond_the_target(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        ConnectionLeaseHolder,
        "may_open",
        lambda self, now, server: self.servers[server].open < self.servers[server].granted,
    )


@pytest.mark.parametrize(
    ("plant", "broken"),
    [
        pytest.param(count_closing_as_closed, Rule.CONNECTIONS_FIT, id="closing counts as closed"),
        pytest.param(start_lease_at_the_answer, Rule.CONNECTIONS_FIT, id="lease starts at the answer"),
        pytest.param(ignore_idle_timeout, Rule.CONNECTIONS_FIT, id="idle timeout is ignored"),
        pytest.param(ignore_clock_drift, Rule.CONNECTIONS_FIT, id="clock drift is ignored"),
        pytest.param(open_beyond_the_target, Rule.OPEN_UNDER_LEASE, id="opened beyond what is leased"),
    ],
)
def test_a_planted_fault_breaks_its_invariant(
    plant: Callable[[pytest.MonkeyPatch], None], broken: Rule, monkeypatch: pytest.MonkeyPatch
) -> None:
    plant(monkeypatch)
    assert first_broken_rule(run_with_faults, 40) is broken


# Commands
# ----------------------------------------------------------------------------------------------------------

FIRST, SECOND = holder_id("g1/1", "b", "1"), holder_id("g1/2", "b", "2")  # processes of one boot
REBOOTED = holder_id("g1/1", "c", "3")
BOOT_UNKNOWN = "g1/1#.4"


def limits_of_one_server(max_connections: int) -> ConnectionLimits:
    limits = ConnectionLimits(Invariants(), TIMINGS)
    assert set_limit(limits, max_connections).error is None
    return limits


def set_limit(limits: ConnectionLimits, max_connections: int) -> Any:
    command = SetConnectionLimit(id="s", server="a", max_connections=max_connections, idle_timeout_ms=1.0)
    return limits.apply(0, command)


def request(limits: ConnectionLimits, holder: str, lease_number: int, keep: int, wanted: int) -> Any:
    """Apply a first request; returns its answer as plain data."""
    command = RequestConnectionLeases(
        id="r",
        holder=holder,
        bucket=server_bucket("a"),
        requests=(ConnectionLeaseRequest("a", lease_number, keep, wanted),),
        first_request=True,
    )
    return limits.apply(0, command).value


def release_first(limits: ConnectionLimits, reported_by: str) -> Any:
    """Apply the report of a later process that FIRST is dead."""
    command = ReleaseConnectionLeases(
        id="e",
        holder=FIRST,
        bucket=server_bucket("a"),
        leases=(LeaseReference("a", 1),),
        proof="reset",
        reported_by=reported_by,
    )
    return limits.apply(0, command)


def test_a_limit_out_of_bounds_is_rejected() -> None:
    limits = ConnectionLimits(Invariants(), TIMINGS)
    assert isinstance(set_limit(limits, 0).error, InvalidCall)
    assert set_limit(limits, 5).error is None


def test_the_answer_to_a_first_request_lists_leases_of_earlier_processes_on_its_machine() -> None:
    limits = limits_of_one_server(5)
    assert request(limits, FIRST, 0, 0, 4) == {"parts": [["a", 1, 4, 4, 1]], "old": []}
    assert request(limits, SECOND, 0, 0, 5) == {"parts": [["a", 2, 1, 3, 0]], "old": [[FIRST, "a", 1]]}
    assert request(limits, FIRST, 9, 0, 4)["parts"] == [["a", LeaseRefusal.LEASE_EXPIRED, 0, 0, 0]]


def test_only_a_later_process_of_the_same_boot_may_release_a_lease_and_only_once() -> None:
    limits = limits_of_one_server(5)
    request(limits, FIRST, 0, 0, 4)
    for reported_by in (FIRST, REBOOTED, BOOT_UNKNOWN):
        assert isinstance(release_first(limits, reported_by).error, InvalidCall)
    assert [release_first(limits, SECOND).value for _ in range(2)] == [{"ended": 1}, {"ended": 0}]


@pytest.mark.parametrize(
    "lease", [pytest.param(["a"], id="too short"), pytest.param(["a", 1, 2], id="too long")]
)
def test_a_lease_reference_of_the_wrong_length_is_rejected(lease: list[Any]) -> None:
    fields = {"id": "e", "holder": FIRST, "bucket": server_bucket("a"), "ends": [lease], "proof": "idle"}
    assert isinstance(parse_command("ConnEnd", fields), InvalidCall)


def test_a_lowered_limit_revokes_nothing_and_grants_nothing_until_enough_is_returned() -> None:
    limits = limits_of_one_server(5)
    request(limits, FIRST, 0, 0, 4)
    request(limits, SECOND, 0, 0, 5)
    release_first(limits, SECOND)
    assert request(limits, SECOND, 2, 1, 5)["parts"] == [["a", 3, 5, 5, 0]]
    assert set_limit(limits, 2).value == {"granted": 5}
    assert request(limits, REBOOTED, 0, 0, 5)["parts"] == [["a", 4, 0, 1, 0]]
    assert request(limits, SECOND, 3, 5, 5)["parts"] == [["a", 5, 5, 1, 0]]
    assert request(limits, SECOND, 5, 1, 1)["parts"][0][1:3] == [6, 1]
    assert request(limits, REBOOTED, 4, 0, 5)["parts"][0][2] == 1
    limits.apply(0, RemoveConnectionLimit(id="u", server="a"))
    assert request(limits, SECOND, 6, 0, 0) and request(limits, REBOOTED, 7, 0, 0) and not limits.servers


# The lease holder
# ----------------------------------------------------------------------------------------------------------


def lease_holder(n: int) -> ConnectionLeaseHolder:
    return ConnectionLeaseHolder(holder_id(f"g{n}/1", "b", "1"), TIMINGS, Invariants(), 0.0)


def exchange(now: float, holder: ConnectionLeaseHolder, limits: ConnectionLimits) -> int:
    """Apply all commands that a holder sends now; returns their number."""
    commands = holder.poll(now, now)
    for command in commands:
        holder.answered(now, command, limits.apply(now, command))
    return len(commands)


def test_one_call_renews_all_leases_of_a_bucket() -> None:
    """With 200 gateways that all use 120 servers, the rate is twenty times the one counted here."""
    limits = ConnectionLimits(Invariants(), TIMINGS)
    servers = [f"10.0.0.{n}:7000" for n in range(120)]
    for server in servers:
        limits.apply(
            0,
            SetConnectionLimit(id="x", server=server, max_connections=40, idle_timeout_ms=IDLE_TIMEOUT_MS),
        )
    holders = [lease_holder(n) for n in range(10)]
    calls = 0
    for now in range(0, 20_000, 500):
        for holder in holders:
            for server in servers:
                holder.set_need(server, 1)
            sent = exchange(now, holder, limits)
            calls += sent if now > 0 else 0
    buckets, renewals_per_10_s = 16, 3
    assert 0 < calls / 19.5 <= buckets * len(holders) * renewals_per_10_s / 10


def test_a_draining_gateway_returns_an_empty_lease_at_once_and_may_request_again_at_once() -> None:
    limits = ConnectionLimits(Invariants(), TIMINGS)
    limits.apply(
        0, SetConnectionLimit(id="1", server="a", max_connections=1, idle_timeout_ms=IDLE_TIMEOUT_MS)
    )
    first, second = lease_holder(1), lease_holder(2)
    for holder in (first, second):
        holder.set_need("a", 1)
        assert exchange(0.0, holder, limits) == 1
    assert second.servers["a"].lease_number and not second.servers["a"].granted
    second.draining = True
    second.set_need("a", 0)
    assert exchange(MIN_REQUEST_INTERVAL_MS / 2, second, limits) == 1 and second.empty
    second.set_need("a", 1)  # a query arrives during the drain
    assert exchange(MIN_REQUEST_INTERVAL_MS / 2 + 1, second, limits) == 1
    assert second.servers["a"].lease_number
