"""Leases on connections and rolling drains, with what may go wrong drawn at random and a referee that knows the truth."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from fleet import connections, rollout
from fleet.connections import Ask, ConnEnd, ConnLeases, Connections, Keeper, Limit, Unlimit, bucket, process
from fleet.errors import BadCall, UnknownOutcome, WrongState
from fleet.invariants import Broken, Invariants, Rule
from fleet.messages import name_of
from fleet.part import Applied, Command, View
from fleet.rollout import Duty, Facts, Roll, RollAsk, RollCancel, Rolled, RollResume, Rolls, Stand, State, least_ms
from fleet.timings import Timings

STEP = 100.0
DRIFT = 0.05
TIMINGS = Timings(clock_drift=DRIFT)
IDLE = 3000.0
KERNEL_MS = 300.0  # until a server knows that a process is dead


def view(now: float, since: float, **more: Any) -> View:
    given: dict[str, Any] = {"me": "g0/1", "alive": frozenset(), "dead_for": {}, "halls": {}, "load": {}, "groups": {},
                             "behind": {}, **more}
    return View(now=now, wall=now, lead_since=since, timings=TIMINGS, **given)


# Connections ----------------------------------------------------------------------------------------------------------


@dataclass
class Socket:
    """One connection as the server sees it."""

    owner: Gate
    used: float
    ends: float = float("inf")


@dataclass(eq=False)
class Gate:
    """One process of a gateway."""

    keeper: Keeper
    rate: float
    up: bool = True
    frozen: bool = False
    cut: bool = False
    need: dict[str, int] = field(default_factory=dict)
    known: dict[str, list[Socket]] = field(default_factory=dict)  # its own, until it has seen their end

    def now(self, true: float) -> float:
        return true * self.rate


class Connected:
    """Gateways, servers and a leader, each with a clock of its own; the true connections are at the servers."""

    def __init__(self, draw: Random, limits: dict[str, int]) -> None:
        self.draw, self.limits, self.rules, self.true = draw, dict(limits), Invariants(), 0.0
        self.state = Connections(self.rules, TIMINGS)
        self.rate, self.since = 1.0, 0.0
        self.sockets: dict[str, list[Socket]] = {server: [] for server in limits}
        self.answers: dict[str, Applied] = {}
        self.calls: list[tuple[float, Gate | None, Command]] = []  # on their way in
        self.replies: list[tuple[float, Gate, Command, Any]] = []
        for server, most in limits.items():
            self.limit(server, most)
        self.begun, self.loss = 0, 0.1
        self.gates = [self.start(f"g{n}", "boot") for n in range(3)]

    def limit(self, server: str, most: int) -> None:
        self.limits[server] = most
        self.state.apply(0, Limit(id="x", server=server, most=most, idle_ms=IDLE))

    def start(self, name: str, boot: str) -> Gate:
        self.begun += 1
        rate = self.draw.choice((1.0 - DRIFT, 1.0, 1.0 + DRIFT))
        return Gate(Keeper(process(f"{name}/1", boot, str(self.begun)), TIMINGS, self.rules, self.true * rate, alone=True),
                    rate)

    def kill(self, n: int, machine: bool) -> None:
        """The process dies; with its machine its kernel tells no server."""
        gate = self.gates[n]
        gate.up = False
        for held in self.sockets.values():
            for one in held:
                if one.owner is gate and not machine:
                    one.ends = min(one.ends, self.true + self.draw.uniform(0, KERNEL_MS))
        boot = f"boot{self.begun}" if machine else gate.keeper.me.partition("#")[2].partition(".")[0]
        self.gates[n] = self.start(f"g{n}", boot)

    def lead(self) -> None:
        """Another leads, with its own clock."""
        raw = self.state.dump()
        self.state = Connections(self.rules, TIMINGS)
        self.state.load(raw)
        assert self.state.dump() == raw
        self.rate = self.draw.choice((1.0 - DRIFT, 1.0, 1.0 + DRIFT))
        self.since = self.true * self.rate

    def tick(self) -> None:
        self.true += STEP
        if self.draw.random() < 0.7:
            for made in self.state.work(view(self.true * self.rate, self.since)):
                self.calls.append((self.true + self.draw.choice((0, 300)), None, made))
        for gate in self.gates:
            if not gate.frozen:
                self.turn(gate)
        for call in [one for one in self.calls if one[0] <= self.true]:
            self.calls.remove(call)
            _, who, command = call
            if command.id not in self.answers or who is None:
                self.answers[command.id] = self.state.apply(self.true, command)
            if who is not None and self.draw.random() >= self.loss:
                self.replies.append((self.true + self.draw.choice((0, 0, 100, 1500)), who, command,
                                     self.answers[command.id]))
            elif who is not None:
                self.lost(who, command)
        for server in self.sockets:
            self.sockets[server] = [one for one in self.sockets[server]
                                    if min(one.ends, one.used + IDLE / (1.0 - DRIFT)) > self.true]
        self.referee()

    def turn(self, gate: Gate) -> None:
        """A process does what it has to do, in the order of its loop."""
        now, keeper = gate.now(self.true), gate.keeper
        for reply in [one for one in self.replies if one[0] <= self.true and one[1] is gate]:
            self.replies.remove(reply)
            keeper.answered(now, reply[2], reply[3])
        for server, mine in gate.known.items():
            for one in mine:
                if one.ends <= self.true or one not in self.sockets[server]:
                    keeper.closed(server, begun=one.ends < float("inf"))
                elif keeper.held(now, server):
                    one.used = self.true
            gate.known[server] = [one for one in mine if one.ends > self.true and one in self.sockets[server]]
        for server, need in gate.need.items():
            keeper.want(server, need)
        for server, count in keeper.must_close(now):
            for one in [one for one in gate.known[server] if one.ends == float("inf")][:count]:
                one.ends = self.true + self.draw.choice((10.0, 150.0))
                keeper.closing(server)
        for server, need in gate.need.items():
            while keeper.may_open(now, server) and keeper.pools[server].open < need:
                keeper.opened(now, server)
                one = Socket(gate, self.true)
                self.sockets[server].append(one)
                gate.known.setdefault(server, []).append(one)
        for command in keeper.poll(now, now):
            if gate.cut or self.draw.random() < self.loss:
                self.lost(gate, command)
            else:
                self.calls.append((self.true + self.draw.choice((0, 0, 100, 1500)), gate, command))

    def lost(self, gate: Gate, command: Command) -> None:
        self.replies.append((self.true + TIMINGS.call_ms, gate, command, UnknownOutcome("x", "no answer")))

    def referee(self) -> None:
        for server, held in self.sockets.items():
            if server in self.state.servers:
                granted = self.state.servers[server].parts.granted()
                if len(held) > granted:
                    raise Broken(Rule.CONNECTIONS_FIT, f"{server}: {len(held)} open, {granted:g} granted, {self.true:g}")

    def act(self) -> None:
        """Anything that may happen."""
        draw, n = self.draw, self.draw.randrange(3)
        gate = self.gates[n]
        what = draw.randrange(12)
        if what < 5:
            gate.need[draw.choice(list(self.limits))] = draw.choice((0, 1, 3, 8))
        elif what < 7:
            gate.frozen = not gate.frozen
        elif what == 7:
            gate.cut = not gate.cut
        elif what == 8:
            self.kill(n, draw.random() < 0.5)
        elif what == 9:
            self.lead()
        elif what == 10:
            self.limit(draw.choice(list(self.limits)), draw.choice((2, 4, 6)))
        else:
            gate.keeper.leaving = not gate.keeper.leaving
        for _ in range(draw.choice((1, 5, 20, 80))):
            self.tick()


LIMITS = {"load-1": 4, "load-2": 6}


class ConnectionsMachine(RuleBasedStateMachine):
    """Hypothesis chooses and shrinks; all else is the world above."""

    def __init__(self) -> None:
        super().__init__()
        self.world = Connected(Random(5), LIMITS)

    @rule(seed=st.integers(0, 999))
    def act(self, seed: int) -> None:
        self.world.draw = Random(seed)
        self.world.act()

    @rule(n=st.integers(0, 2), need=st.integers(0, 8), server=st.sampled_from(sorted(LIMITS)), ticks=st.integers(1, 50))
    def ask(self, n: int, need: int, server: str, ticks: int) -> None:
        self.world.gates[n].need[server] = need
        for _ in range(ticks):
            self.world.tick()

    @invariant()
    def within(self) -> None:
        self.world.referee()
        assert not self.world.rules.broken

    def teardown(self) -> None:
        """Healed, everything that is idle comes back, and who asks is given again."""
        world = self.world
        world.draw, world.loss = Random(1), 0.0
        for gate in world.gates:
            gate.frozen = gate.cut = False
            gate.need, gate.keeper.leaving = dict.fromkeys(LIMITS, 0), True
        for _ in range(400):
            world.tick()
        assert [one.parts.granted() for one in world.state.servers.values()] == [0.0, 0.0]
        for gate in world.gates:
            gate.need, gate.keeper.leaving = dict.fromkeys(LIMITS, 9), False
        for _ in range(400):
            world.tick()
        for server, one in world.state.servers.items():
            assert one.parts.granted() == world.limits[server] == len(world.sockets[server])


def machine(kind: type[RuleBasedStateMachine], examples: int, steps: int) -> None:
    run_state_machine_as_test(kind, settings=settings(
        max_examples=examples, stateful_step_count=steps, deadline=None, derandomize=True, database=None,
        suppress_health_check=list(HealthCheck)))


def test_connections_stay_within_limits_whatever_is_lost() -> None:
    machine(ConnectionsMachine, 12, 12)
