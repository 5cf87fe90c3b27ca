"""Rolling restarts: gateways are restarted in waves, no event is applied twice, and no gateway stays half drained."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

import msgspec
import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from badgeryoke.cluster.errors import WrongState
from badgeryoke.cluster.invariants import Invariants, Rule
from badgeryoke.cluster.messages import member_name
from badgeryoke.cluster.rolling_restart import plan, scheduler
from badgeryoke.cluster.rolling_restart.commands import (
    RecordGatewayEvent,
    ResumeGateway,
    StartRollingRestart,
)
from badgeryoke.cluster.rolling_restart.conditions import ClusterConditions
from badgeryoke.cluster.rolling_restart.minimum_duration import minimum_duration_ms
from badgeryoke.cluster.rolling_restart.observation import observe_conditions
from badgeryoke.cluster.rolling_restart.plan import GatewayProgress, RollingRestart
from badgeryoke.cluster.rolling_restart.transitions import (
    GATEWAY_TRANSITIONS,
    GatewayEvent,
    GatewayPhase,
    GatewayReport,
    RestartState,
)
from badgeryoke.cluster.rolling_restart.waves import RollingRestarts
from tests.support.cluster_runs import first_broken_rule, leader_view, run_state_machine
from tests.support.rolling_restart_simulation import (
    CATCH_UP_MS,
    DRAIN_MS,
    GROUPS,
    NAMES,
    NEVER_MS,
    RESTART_MS,
    ZONES,
    RollingRestartSimulation,
)

# Under random faults
# ----------------------------------------------------------------------------------------------------------


class RollingRestartsMachine(RuleBasedStateMachine):
    """Hypothesis draws and shrinks the steps; the simulation carries them out."""

    def __init__(self) -> None:
        super().__init__()
        self.simulation = RollingRestartSimulation(Random(3))
        self.simulation.start_restart(at_once=2)

    @rule(seed=st.integers(0, 999))
    def inject_fault(self, seed: int) -> None:
        self.simulation.random = Random(seed)
        self.simulation.inject_fault()

    @rule(steps=st.integers(1, 60))
    def wait(self, steps: int) -> None:
        for _ in range(steps):
            self.simulation.step()

    def teardown(self) -> None:
        self.simulation.heal()
        self.simulation.run_to_the_end()


def test_restarts_go_forward_and_leave_no_gateway_half_drained_under_random_faults() -> None:
    run_state_machine(RollingRestartsMachine, 25, 15)


def run_with_faults(seed: int) -> None:
    simulation = RollingRestartSimulation(Random(seed))
    simulation.start_restart(at_once=2)
    for _ in range(25):
        simulation.inject_fault()
    simulation.heal()
    simulation.run_to_the_end()


# Planted faults
# ----------------------------------------------------------------------------------------------------------


def ignore_missing_copies(patch: pytest.MonkeyPatch) -> None:
    def observe_no_missing_copies(*observed: Any) -> ClusterConditions:
        return msgspec.structs.replace(observe_conditions(*observed), missing_copies=0)

    patch.setattr(scheduler, "observe_conditions", observe_no_missing_copies)


def ignore_versions(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(RollingRestarts, "_is_current", lambda self, gateway, version: True)
    from_any_phase = dict(GATEWAY_TRANSITIONS)
    for (_, event), next_phase in GATEWAY_TRANSITIONS.items():
        if event is not GatewayEvent.CANCEL:
            from_any_phase.update(
                {
                    (phase, event): next_phase
                    for phase in GatewayPhase
                    if (phase, event) not in GATEWAY_TRANSITIONS
                }
            )
    for module in (plan, scheduler):
        patch.setattr(module, "GATEWAY_TRANSITIONS", from_any_phase)


def ignore_majorities(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        ClusterConditions,
        "validate",
        lambda self: (Rule.COPIES_WHOLE, "x") if self.missing_copies else None,
    )
    patch.setattr(
        RollingRestarts,
        "_check_conditions",
        lambda self, restart, conditions: (
            ""
            if self._invariants.check(
                Rule.WAVE_KEEPS_QUORUM,
                conditions is None or conditions.spare_voters >= 0,
                lambda: str(conditions),
            )
            else "no"
        ),
    )


def ignore_capacity(patch: pytest.MonkeyPatch) -> None:
    validate = ClusterConditions.validate
    patch.setattr(
        ClusterConditions,
        "validate",
        lambda self: validate(
            ClusterConditions(self.missing_copies, self.spare_voters, self.emptied_zones, -1.0, 0.0)
        ),
    )


@pytest.mark.parametrize(
    ("plant", "broken"),
    [
        pytest.param(ignore_missing_copies, Rule.COPIES_WHOLE, id="missing copies are ignored"),
        pytest.param(ignore_versions, Rule.ROLL_FORWARD, id="versions are ignored"),
        pytest.param(ignore_majorities, Rule.WAVE_KEEPS_QUORUM, id="majorities are ignored"),
        pytest.param(ignore_capacity, Rule.WAVE_KEEPS_ROOM, id="capacity is ignored"),
    ],
)
def test_a_planted_fault_breaks_its_invariant(
    plant: Callable[[pytest.MonkeyPatch], None], broken: Rule, monkeypatch: pytest.MonkeyPatch
) -> None:
    plant(monkeypatch)
    assert first_broken_rule(run_with_faults, 40) is broken


# In each phase
# ----------------------------------------------------------------------------------------------------------

PHASES = {
    "restart": (
        GatewayPhase.WAITING,
        GatewayPhase.GRANTING,
        GatewayPhase.PAUSING,
        GatewayPhase.EMPTYING,
        GatewayPhase.ACTING,
        GatewayPhase.RETURNING,
        GatewayPhase.WARMING,
        GatewayPhase.DONE,
    ),
    "hold": (GatewayPhase.PAUSING, GatewayPhase.EMPTYING, GatewayPhase.HELD, GatewayPhase.RETURNING),
}


@pytest.mark.parametrize(
    "event", ["cancel", "leader dies", "gateway dies", "gateway cut off", "cancel, leader dies"]
)
@pytest.mark.parametrize(
    ("after_drain", "phase"),
    [
        pytest.param(after_drain, phase, id=f"{after_drain} while {phase.value}")
        for after_drain, phases in PHASES.items()
        for phase in phases
    ],
)
def test_a_restart_ends_in_the_expected_state_after_an_event_in_any_phase(
    event: str, after_drain: str, phase: GatewayPhase
) -> None:
    """The restart is cancelled, its leader changes, or gateway g1 dies or is cut off when g1 enters the phase."""
    simulation = RollingRestartSimulation(Random(0), loss_probability=0.0)
    simulation.start_restart(after_drain=after_drain)
    event_at_ms: list[float] = []

    def inject_event() -> None:
        restart = simulation.replicated.active
        if restart is None:
            return
        if event_at_ms:
            if simulation.now - event_at_ms[0] >= 3000.0:
                simulation.gateways["g1"].cut_off = False
            return
        gateway = restart.gateways.get("g1")
        if gateway is None or gateway.phase is not phase:
            return
        event_at_ms.append(simulation.now)
        if "cancel" in event:
            simulation.cancel_active()
        if "leader" in event:
            simulation.change_leader()
        if event == "gateway dies" and simulation.gateways["g1"].up:
            simulation.kill("g1", 1000.0)
        if event == "gateway cut off":
            simulation.gateways["g1"].cut_off = True

    simulation.before_step = inject_event
    restart = simulation.run_to_the_end()
    assert event_at_ms and restart is not None
    assert restart.state is (RestartState.CANCELLED if "cancel" in event else RestartState.DONE)
    assert all(count == 1 for count in simulation.drains.values())
    if "cancel" not in event:
        assert {gateway.phase for gateway in restart.gateways.values()} == {GatewayPhase.DONE}


# Pauses
# ----------------------------------------------------------------------------------------------------------


def run_until(simulation: RollingRestartSimulation, state: RestartState, cause: str) -> None:
    for _ in range(400):
        simulation.step()
        restart = simulation.replicated.active
        if restart is not None and restart.state is state and cause in restart.cause:
            return
    raise AssertionError(simulation.replicated.summaries())


def test_a_restart_pauses_with_a_cause_and_continues_when_it_is_resolved() -> None:
    simulation = RollingRestartSimulation(Random(0), loss_probability=0.0)
    simulation.gateways["g1"].stuck = True
    simulation.start_restart()
    assert isinstance(simulation.start_restart().error, WrongState)
    run_until(simulation, RestartState.PAUSED, "g1 is late emptying")
    simulation.gateways["g1"].stuck = False
    run_until(simulation, RestartState.RUNNING, "")
    simulation.load["promised"] = 150.0
    run_until(simulation, RestartState.PAUSED, "no room")
    simulation.load["promised"] = 0.0
    run_until(simulation, RestartState.RUNNING, "")
    simulation.kill("g3", NEVER_MS)
    run_until(simulation, RestartState.PAUSED, "copies not whole")
    simulation.kill("g3", 0.0)
    run_until(simulation, RestartState.RUNNING, "")
    simulation.gateways["g0"].stuck = True
    run_until(simulation, RestartState.PAUSED, "g0 is late emptying")
    assert simulation.replicated.active is not None
    resume = ResumeGateway(id="f", restart=simulation.replicated.active.name, force=True)
    simulation.replicated.apply(simulation.now, resume)
    restart = simulation.run_to_the_end()
    assert restart is not None and restart.state is RestartState.DONE
    for zone, state in (("south", RestartState.DONE), ("nowhere", RestartState.FAILED)):
        simulation.start_restart(zone=zone)
        ended = simulation.run_to_the_end()
        assert ended is not None and ended.state is state


# Conditions
# ----------------------------------------------------------------------------------------------------------

VOTERS = {"G": ("g0/1", "g1/1", "g2/1")}
ONE_ZONE = dict.fromkeys(("g0", "g1", "g2"), "h")


def test_a_copy_of_an_earlier_incarnation_is_missing() -> None:
    """A member that lost its disk and restarted at once counted as complete until a leader reported it."""
    restart = RollingRestart(
        "r", StartRollingRestart(id="1", restart="r"), gateways={"g0": GatewayProgress()}
    )
    for alive, expected in (
        (("g0/1", "g1/1", "g2/1"), None),
        (("g0/1", "g1/1", "g2/2"), "copies not whole: 1 missing"),
    ):
        view = leader_view(0.0, 0.0, alive_ids=frozenset(alive), zones=ONE_ZONE, voters_by_group=VOTERS)
        problem_found = observe_conditions(view, restart, ["g0"]).validate()
        assert (problem_found and problem_found[1]) == expected
    # Copies of a drained gateway that lost its disk are missing; those of one that was ended for the restart are not.
    view = leader_view(
        0.0,
        0.0,
        alive_ids=frozenset(("g0/2", "g1/1", "g2/1")),
        zones={"g0": "h", "g1": "h"},
        voters_by_group=VOTERS,
    )
    for phase, missing in ((GatewayPhase.EMPTYING, 1), (GatewayPhase.ACTING, 0)):
        restart.gateways["g0"].phase = phase
        assert observe_conditions(view, restart, ()).missing_copies == missing


def test_two_gateways_of_a_wave_that_share_a_new_group_end_one_after_the_other() -> None:
    """Repair placed a copy on one of them while both were drained; then neither could ever end."""
    restarts = RollingRestarts(Invariants())
    restarts.restarts["r"] = restart = RollingRestart(
        "r",
        StartRollingRestart(id="1", restart="r", at_once=2),
        RestartState.RUNNING,
        gateways={
            name: GatewayProgress(GatewayPhase.EMPTYING, report=GatewayReport.EMPTY) for name in ("g0", "g1")
        },
    )
    view = leader_view(
        0.0, 0.0, alive_ids=frozenset(("g0/1", "g1/1", "g2/1")), zones=ONE_ZONE, voters_by_group=VOTERS
    )
    stale = msgspec.structs.replace(restarts.leader_tasks(view)[0], gateway="g1")
    (event,) = restarts.leader_tasks(view)
    assert restarts.apply(0.0, event).error is None
    assert restart.gateways["g0"].phase is GatewayPhase.ACTING
    assert isinstance(restarts.apply(0.0, stale).error, WrongState)  # observed before g0 ended
    assert not [task for task in restarts.leader_tasks(view) if isinstance(task, RecordGatewayEvent)]
    restart.gateways["g0"].phase = GatewayPhase.WARMING
    assert [
        task.gateway
        for task in restarts.leader_tasks(view)
        if isinstance(task, RecordGatewayEvent) and task.event == "ACT"
    ] == ["g1"]


# Duration
# ----------------------------------------------------------------------------------------------------------


def test_a_restart_takes_at_most_1_3_times_its_lower_bound() -> None:
    simulation = RollingRestartSimulation(Random(0), loss_probability=0.0)
    warm_up_ms = 2000.0
    simulation.start_restart(at_once=3, warm_up_ms=warm_up_ms)
    restart = simulation.run_to_the_end()
    assert restart is not None
    voters = {group: tuple(member_name(voter) for voter in ids) for group, ids in GROUPS.items()}
    wave_ms = DRAIN_MS + RESTART_MS + CATCH_UP_MS + warm_up_ms
    minimum_ms = minimum_duration_ms(NAMES, voters, ZONES, 3, 0.6, wave_ms)
    assert minimum_ms == 5 * 4000.0
    assert minimum_ms <= restart.since_ms <= 1.3 * minimum_ms
