"""Five gateways that are restarted in waves, and their leader, with random faults.

Some of the leader's proposals are lost, late or repeated.  The simulation has the true state of the gateways, and
raises InvariantViolation if a wave begins that should not, or a gateway is drained twice.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from badgeryoke.cluster.connection_limits.holders import holder_id
from badgeryoke.cluster.errors import UnknownOutcome
from badgeryoke.cluster.invariants import Invariants, InvariantViolation, Rule
from badgeryoke.cluster.messages import member_name
from badgeryoke.cluster.rolling_restart.commands import (
    CancelRollingRestart,
    ResumeGateway,
    StartRollingRestart,
    StartWave,
)
from badgeryoke.cluster.rolling_restart.gateway_agent import DesiredState, RollingRestartAgent
from badgeryoke.cluster.rolling_restart.plan import RollingRestart
from badgeryoke.cluster.rolling_restart.transitions import GatewayPhase
from badgeryoke.cluster.rolling_restart.waves import RollingRestarts
from badgeryoke.cluster.state_machine_part import ApplyResult, Command, LeaderView
from tests.support.cluster_runs import STEP_MS, leader_view

NAMES = [f"g{n}" for n in range(5)]
ZONES = {name: "north" if n < 3 else "south" for n, name in enumerate(NAMES)}
GROUPS = {f"G{n}": tuple(f"{NAMES[(n + k) % 5]}/1" for k in range(3)) for n in range(5)}
RESTART_MS = 700.0  # from a process's end to the next one's start
CATCH_UP_MS = 500.0  # from a start until the replicas are complete
DRAIN_MS = 800.0  # from a drain until no request is open
RESUME_HELD_AFTER_MS = 1500.0  # when an operator resumes a held gateway
NEVER_MS = -1.0
NO_ANSWER = UnknownOutcome("x", "no answer")


@dataclass
class SimulatedGateway:
    """A gateway's state in a rolling restart."""

    agent: RollingRestartAgent
    up: bool = True
    cut_off: bool = False
    frozen: bool = False
    drained: bool = False
    since_ms: float = 0.0  # time of its start or its last drain
    started_ms: float = 0.0
    restarts_ms: float = NEVER_MS  # when its supervisor starts it again; NEVER_MS: it does not
    stuck: bool = False  # does not become empty


class RollingRestartSimulation:
    """Gateways, the replicated state of rolling restarts, and a leader."""

    def __init__(self, random: Random, loss_probability: float = 0.1) -> None:
        self.random, self.loss_probability, self.invariants = random, loss_probability, Invariants()
        self.now, self.starts = 0.0, 0
        self.replicated = RollingRestarts(self.invariants)
        self.leader, self.leaderless_until_ms = 0, 0.0
        self.gateways = {name: SimulatedGateway(self.start_agent(name)) for name in NAMES}
        self.late_proposals: list[tuple[float, Command]] = []  # arrival time, command
        self.drains: dict[tuple[str, str], int] = {}  # number of drains by restart and gateway
        self.load = {"capacity": 500.0, "demand": 300.0, "promised": 0.0}
        self.before_step: Callable[[], None] = lambda: None

    def start_agent(self, name: str) -> RollingRestartAgent:
        """Return the agent of a gateway's next process."""
        self.starts += 1
        return RollingRestartAgent(name, holder_id(f"{name}/1", "b", str(self.starts)))

    def caught_up(self, name: str) -> bool:
        """Return whether the gateway's replicas are complete."""
        gateway = self.gateways[name]
        return gateway.up and self.now - gateway.started_ms >= (CATCH_UP_MS if gateway.started_ms else 0.0)

    def view(self) -> LeaderView:
        """Return the leader's view."""
        alive = frozenset(
            f"{name}/1"
            for name, gateway in self.gateways.items()
            if gateway.up and not gateway.cut_off and not gateway.frozen
        )
        dead_for = {f"{name}/1": 9999.0 for name in NAMES if f"{name}/1" not in alive}
        behind = {
            group: tuple(
                voter for voter in voters if voter in alive and not self.caught_up(member_name(voter))
            )
            for group, voters in GROUPS.items()
        }
        return leader_view(
            self.now,
            0.0,
            member_id=f"{NAMES[self.leader]}/1",
            alive_ids=alive,
            dead_for_ms=dead_for,
            zones=ZONES,
            load=self.load,
            voters_by_group=GROUPS,
            lagging_replicas=behind,
        )

    def apply(self, command: Command) -> ApplyResult:
        """Apply a command, and check a wave that it begins against the true state."""
        waiting = {
            (restart.name, name)
            for restart in self.replicated.restarts.values()
            for name, gateway in restart.gateways.items()
            if gateway.phase is GatewayPhase.WAITING
        }
        answer = self.replicated.apply(self.now, command)
        wave = [
            (restart, name)
            for restart, name in sorted(waiting)
            if self.replicated.restarts[restart].gateways[name].phase is GatewayPhase.GRANTING
        ]
        if wave:
            self.check_wave(wave)
        return answer

    def check_wave(self, wave: list[tuple[str, str]]) -> None:
        """Raise InvariantViolation unless all replicas are complete and the remaining gateways can carry the load."""
        behind = [name for name in NAMES if not self.caught_up(name)]
        if behind:
            raise InvariantViolation(Rule.COPIES_WHOLE, f"{wave} while {behind} have incomplete replicas")
        remaining = len(NAMES) - len(wave)
        if self.load["capacity"] * remaining / len(NAMES) < self.load["demand"] + self.load["promised"]:
            raise InvariantViolation(Rule.WAVE_KEEPS_ROOM, f"{wave} with {self.load}")

    def change_leader(self) -> None:
        """Let the leader fail and another take over with the replicated state, 500 ms later."""
        raw = self.replicated.dump()
        self.replicated = RollingRestarts(self.invariants)
        self.replicated.load(raw)
        assert self.replicated.dump() == raw
        self.leader, self.leaderless_until_ms = (self.leader + 1) % 5, self.now + 500.0

    def step(self) -> None:
        """Advance the simulation by one step."""
        self.now += STEP_MS
        self.before_step()
        if self.now >= self.leaderless_until_ms:
            self.propose()
        self.apply_late_proposals()
        for name, gateway in self.gateways.items():
            self.run_gateway(name, gateway)

    def propose(self) -> None:
        """Apply each proposal of the leader at once, late, both, or not at all."""
        for command in self.replicated.leader_tasks(self.view()):
            fraction = self.random.random()
            if fraction >= self.loss_probability:
                self.apply(command)
            if fraction < 2 * self.loss_probability:
                self.late_proposals.append((self.now + self.random.choice((100, 1000, 5000)), command))

    def apply_late_proposals(self) -> None:
        """Apply the late proposals that have arrived.

        A late wave whose version is still current is dropped: its conditions are from an earlier time, and the check
        would compare it with the present state.
        """
        for arrival in [arrival for arrival in self.late_proposals if arrival[0] <= self.now]:
            self.late_proposals.remove(arrival)
            command = arrival[1]
            if (
                not isinstance(command, StartWave)
                or command.restart_version != self.replicated.restarts[command.restart].version
            ):
                self.apply(command)

    def run_gateway(self, name: str, gateway: SimulatedGateway) -> None:
        """Run one step of a gateway: observe, call, act."""
        if not gateway.up:
            if 0 <= gateway.restarts_ms <= self.now:
                self.gateways[name] = SimulatedGateway(
                    self.start_agent(name), cut_off=gateway.cut_off, started_ms=self.now, since_ms=self.now
                )
            return
        if gateway.frozen:
            return
        gateway.agent.observe(
            groups_led=0,
            trimmed=True,
            drained=gateway.drained,
            empty=self.now - gateway.since_ms >= DRAIN_MS and not gateway.stuck,
            copies_complete=self.caught_up(name),
        )
        self.send_calls(gateway)
        for action in gateway.agent.next_actions(self.now):
            self.carry_out(name, gateway, action)

    def send_calls(self, gateway: SimulatedGateway) -> None:
        """Send a gateway's calls; a call or its reply may be lost."""
        for command in gateway.agent.poll(self.now, self.now):
            if self.random.random() < self.loss_probability or gateway.cut_off:
                gateway.agent.answered(self.now, command, NO_ANSWER)
                continue
            answer = self.apply(command)
            lost = self.random.random() < self.loss_probability
            gateway.agent.answered(self.now, command, NO_ANSWER if lost else answer)

    def carry_out(self, name: str, gateway: SimulatedGateway, action: DesiredState) -> None:
        """Carry out an action at the gateway: drain, resume or end."""
        match action:
            case DesiredState.PAUSE:
                key = str(gateway.agent.restart), name
                self.drains[key] = self.drains.get(key, 0) + 1
                if self.drains[key] > 1:
                    raise InvariantViolation(Rule.ROLL_FORWARD, f"{key} drained twice")
                gateway.drained, gateway.since_ms = True, self.now
            case DesiredState.RESUME:
                gateway.drained = False
            case DesiredState.LEAVE:
                self.kill(name, RESTART_MS)

    def kill(self, name: str, restart_after_ms: float) -> None:
        """End a gateway's process; with a negative time its supervisor does not start it again."""
        gateway = self.gateways[name]
        gateway.up = False
        gateway.restarts_ms = self.now + restart_after_ms if restart_after_ms >= 0 else NEVER_MS

    def heal(self) -> None:
        """Undo all faults."""
        self.loss_probability = 0.0
        self.load.update(demand=300.0, promised=0.0)
        for gateway in self.gateways.values():
            gateway.cut_off = gateway.frozen = gateway.stuck = False
            if not gateway.up and gateway.restarts_ms < 0:
                gateway.restarts_ms = self.now

    def run_to_the_end(self) -> RollingRestart | None:
        """Run until no restart is active, check that no gateway is left drained, and return the last restart."""
        for _ in range(1200):
            if (restart := self.replicated.active) is None:
                break
            if any(
                gateway.phase is GatewayPhase.HELD and self.now - gateway.since_ms >= RESUME_HELD_AFTER_MS
                for gateway in restart.gateways.values()
            ):
                self.replicated.apply(self.now, ResumeGateway(id="r", restart=restart.name))
            self.step()
        assert self.replicated.active is None, self.replicated.summaries()
        for _ in range(60):
            self.step()
        assert not any(
            gateway.drained or gateway.agent.paused or not gateway.up for gateway in self.gateways.values()
        )
        assert not self.invariants.broken
        return next(reversed(self.replicated.restarts.values()), None)

    def start_restart(self, **request: Any) -> ApplyResult:
        """An operator starts a rolling restart."""
        fields: dict[str, Any] = {"deadline_ms": 4000.0, "warm_up_ms": 500.0, **request}
        name = f"roll-{len(self.drains)}-{self.now:g}"
        return self.replicated.apply(self.now, StartRollingRestart(id="a", restart=name, **fields))

    def cancel_active(self) -> None:
        """An operator cancels the active restart, if there is one."""
        if (restart := self.replicated.active) is not None:
            self.replicated.apply(self.now, CancelRollingRestart(id="c", restart=restart.name))

    def inject_fault(self) -> None:
        """Inject a random fault or an operator's action, then let a random time pass."""
        random = self.random
        name = random.choice(NAMES)
        gateway = self.gateways[name]
        kind = random.randrange(9)
        if kind < 2:
            self.start_restart(
                at_once=random.randrange(1, 4),
                after_drain=random.choice(("restart", "restart", "hold")),
                zone=random.choice(("", "", "north")),
            )
        elif kind == 2 and self.replicated.active is not None:
            self.cancel_active()
        elif kind == 3 and gateway.up:
            self.kill(name, random.choice((NEVER_MS, 300.0, 3000.0)))
        elif kind == 4:
            gateway.cut_off = not gateway.cut_off
        elif kind == 5:
            gateway.frozen = not gateway.frozen
        elif kind == 6:
            self.change_leader()
        elif kind == 7:
            self.load["promised"] = random.choice((0.0, 150.0))
        else:
            gateway.stuck = not gateway.stuck
        for _ in range(random.choice((1, 3, 10, 40))):
            self.step()
