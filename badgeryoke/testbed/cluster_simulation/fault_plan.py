"""Plans of the load and faults of a simulated cluster, generated from a seed.

A plan's faults are those of the scenarios (`badgeryoke.testbed.scenario.model.Fault`, gateways from 1), and some
that only the simulation has: "full" and "slow-disk" of a gateway, "loss" and "twice" of all links (amount: a
probability), "narrow" of links (amount: bytes a ms).  `mode` "whole": the fault waits until all replicas are complete,
for at most 20 s.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from functools import partial
from random import Random

from badgeryoke.testbed.scenario.model import ROLLING_RESTART_STATES, ContractText, Fault, RollText


@dataclass(frozen=True, slots=True)
class Plan:
    """One simulated run.

    `wild`: a majority of a group's replicas may be lost with their disks, so that keys may remain unreadable;
    every value that is read has to be correct nevertheless.
    """

    seed: int
    members: int = 5
    halls: int = 1
    copies: int = 3
    groups: int = 8
    length_ms: float = 20_000.0
    proposals: float = 30.0  # writes and reads a second
    keys: int = 24
    faults: tuple[Fault, ...] = ()
    wild: bool = False
    fsync_ms: tuple[float, float] = (0.5, 3.0)
    snapshot_entries: int = 2000
    drift: float = 0.01
    connections: int = 0  # connection limit of each server; 0: none
    servers: int = 0
    contracts: tuple[ContractText, ...] = ()
    rolls: tuple[RollText, ...] = ()

    def text(self) -> str:
        """The plan as a Python expression, to be kept in a regression test."""
        arguments = [f"seed={self.seed}"]
        for key in self.__dataclass_fields__:
            value, default = getattr(self, key), self.__dataclass_fields__[key].default
            if key not in ("seed", "faults") and value != default:
                arguments.append(f"{key}={value!r}")
        lines = "".join(
            f"\n    Fault({fault.at_ms:g}, {fault.word!r}, {fault.target!r}, {fault.groups!r}, {fault.amount!r}, "
            f"{fault.mode!r}),"
            for fault in self.faults
        )
        return f"Plan({', '.join(arguments)}, faults=({lines}))"


KINDS = ("lossless", "links", "machines", "disks", "everything", "storm", "wild", "contracts", "drains")


def generate_plan(seed: int, members: int = 0, kind: str = "") -> Plan:
    """Generate the plan of a seed: mostly 3 to 7 members, in 4 % of the plans 8 to 50."""
    rng = Random(f"plan/{seed}")
    kind = kind or KINDS[seed % len(KINDS)]
    few_members = rng.choice((3, 3, 4, 5, 5, 5, 6, 7))
    many_members = rng.randint(8, 50)
    count = members or (many_members if rng.random() < 0.04 else few_members)
    is_large = count > 12
    plan = Plan(
        seed,
        count,
        rng.choice((1, 2)),
        5 if count >= 5 and rng.random() < 0.2 else 3,
        rng.choice((2, 4, 8)) if not is_large else 8,
        rng.uniform(10_000.0, 16_000.0),
        rng.choice((15.0, 30.0, 60.0)),
        rng.choice((6, 24)),
        wild=kind == "wild",
        fsync_ms=rng.choice(((0.1, 0.6), (0.5, 3.0), (2.0, 12.0))),
        snapshot_entries=rng.choice((20, 60, 2000)),
        drift=0.01,
    )
    if kind in ("contracts", "drains"):
        length = rng.uniform(20_000.0, 24_000.0)
        # A zone's last gateway is never drained, and with 3 members in 2 zones, one zone has a single gateway.
        plan = replace(
            plan,
            members=min(count, 7),
            halls=1 if count < 4 else plan.halls,
            proposals=10.0,
            length_ms=length,
            drift=rng.choice((0.002, 0.01, 0.05)),
        )
        if kind == "contracts" or rng.random() < 0.2:
            plan = replace(
                plan,
                contracts=tuple(
                    ContractText(
                        f"c{number}",
                        (3 * number + 1, 3 * number + 3),
                        rng.choice((30.0, 60.0, 120.0)),
                        rng.choice((20.0, 60.0)),
                        5000.0,
                        length - 1000.0,
                    )
                    for number in range(rng.choice((1, 1, 2)))
                ),
            )
        if kind == "drains":
            all_gateways = tuple(range(1, plan.members + 1))
            plan = replace(
                plan,
                connections=rng.choice((plan.members, 12, 30)),
                servers=rng.choice((2, 4)),
                rolls=(
                    RollText(
                        "roll",
                        rng.uniform(4000.0, 6000.0),
                        all_gateways,
                        rng.choice((1, 1, 2)),
                        _kill_states(seed),
                    ),
                ),
            )
    return replace(
        plan, faults=tuple(sorted(_generate_faults(rng, plan, kind), key=lambda fault: fault.at_ms))
    )


def _kill_states(seed: int) -> tuple[str, ...]:
    """States of a restarting gateway in which the scheduling leader is killed; none in half of the plans."""
    rng = Random(f"plan/{seed}/kills")
    return tuple(rng.sample(ROLLING_RESTART_STATES, rng.randint(1, 3))) if rng.random() < 0.5 else ()


def _random_split(rng: Random, members: int, minimum: int = 1) -> tuple[tuple[int, ...], tuple[int, ...]]:
    shuffled = list(range(1, members + 1))
    rng.shuffle(shuffled)
    split_index = rng.randint(minimum, max(members // 2, minimum))
    return tuple(sorted(shuffled[:split_index])), tuple(sorted(shuffled[split_index:]))


def _link_faults(rng: Random, plan: Plan, start_ms: float, end_ms: float) -> list[Fault]:
    first, second = _random_split(rng, plan.members)
    groups = (first, second) if rng.random() < 0.5 else (second, first)
    generators = {
        "cut": lambda: Fault(start_ms, "cut", "gateways", groups),
        "one-way": lambda: Fault(start_ms, "cut", "gateways", groups, mode="one-way"),
        "delay": lambda: Fault(
            start_ms, "delay", "gateways", groups, rng.choice((50.0, 200.0, 400.0, 900.0))
        ),
        "reset": lambda: Fault(start_ms, "reset", "gateways", groups, rng.choice((0.5, 2.0, 10.0))),
        "loss": lambda: Fault(start_ms, "loss", "gateways", (), rng.choice((0.02, 0.1, 0.3))),
        "twice": lambda: Fault(start_ms, "twice", "gateways", (), rng.choice((0.05, 0.3))),
        "narrow": lambda: Fault(start_ms, "narrow", "gateways", groups, rng.choice((40.0, 150.0))),
    }
    return [generators[rng.choice(list(generators))](), Fault(end_ms, "mend", "gateways")]


def _machine_faults(rng: Random, plan: Plan, start_ms: float, end_ms: float) -> list[Fault]:
    gateway = ((rng.randint(1, plan.members),),)
    word = rng.choice(("kill", "kill", "freeze", "restart", "slow-disk", "step"))
    if word == "kill":
        return [Fault(start_ms, "kill", "gateway", gateway), Fault(end_ms, "start", "gateway", gateway)]
    if word == "restart":
        return [
            Fault(start_ms, "kill", "gateway", gateway),
            Fault(start_ms + rng.uniform(1.0, 400.0), "start", "gateway", gateway),
        ]
    if word == "freeze":
        return [Fault(start_ms, "freeze", "gateway", gateway), Fault(end_ms, "thaw", "gateway", gateway)]
    if word == "slow-disk":
        return [
            Fault(start_ms, "slow-disk", "gateway", gateway, rng.choice((50.0, 300.0))),
            Fault(end_ms, "slow-disk", "gateway", gateway, 0.0),
        ]
    return [
        Fault(start_ms, "step", "gateway", gateway, rng.choice((-30_000.0, -500.0, 2000.0, 3_600_000.0))),
        Fault(start_ms + 1.0, "kill", "gateway", gateway),
        Fault(end_ms, "start", "gateway", gateway),
    ]


def _disk_faults(rng: Random, plan: Plan, start_ms: float, end_ms: float, mode: str = "whole") -> list[Fault]:
    gateway = ((rng.randint(1, plan.members),),)
    word = rng.choice(("lose", "lose", "spoil", "full"))
    if word == "full" and plan.members > 3:
        return [
            Fault(start_ms, "full", "gateway", gateway, 1.0),
            Fault(end_ms, "kill", "gateway", gateway),
            Fault(end_ms, "full", "gateway", gateway, 0.0),
            Fault(end_ms + 50.0, "start", "gateway", gateway),
        ]
    if word == "spoil":
        return [
            Fault(start_ms, "kill", "gateway", gateway, mode=mode),
            Fault(start_ms + 1.0, "spoil", "gateway", gateway, mode=mode),
            Fault(start_ms + rng.uniform(100.0, 1500.0), "start", "gateway", gateway),
        ]
    return [
        Fault(start_ms, "lose", "gateway", gateway, mode=mode),
        Fault(
            end_ms if rng.random() < 0.7 else start_ms + rng.uniform(10.0, 300.0), "start", "gateway", gateway
        ),
    ]


def _storm_faults(rng: Random, plan: Plan) -> list[Fault]:
    """Overlapping faults without a pause: quick restarts, short cuts and slow links, so that elections overlap."""
    faults: list[Fault] = []
    start_ms = 2500.0
    while start_ms < plan.length_ms:
        word = rng.choice(("restart", "restart", "cut", "one-way", "delay", "freeze"))
        first, second = _random_split(rng, plan.members)
        gateway = ((rng.randint(1, plan.members),),)
        if word == "restart":
            faults += [
                Fault(start_ms, "kill", "gateway", gateway),
                Fault(start_ms + rng.uniform(1.0, 250.0), "start", "gateway", gateway),
            ]
        elif word == "freeze":
            faults += [
                Fault(start_ms, "freeze", "gateway", gateway),
                Fault(start_ms + rng.uniform(200.0, 2000.0), "thaw", "gateway", gateway),
            ]
        else:
            faults += [
                Fault(
                    start_ms,
                    "delay" if word == "delay" else "cut",
                    "gateways",
                    (first, second),
                    rng.uniform(10.0, 500.0),
                    mode="one-way" if word == "one-way" else "",
                ),
                Fault(start_ms + rng.uniform(200.0, 1500.0), "mend", "gateways"),
            ]
        start_ms += rng.uniform(50.0, 900.0)
    return faults


def _generate_faults(rng: Random, plan: Plan, kind: str) -> list[Fault]:
    faults: list[Fault] = []
    if kind == "storm":
        return _storm_faults(rng, plan)
    if kind == "lossless":
        return faults
    start_ms = 3000.0
    if kind == "drains" and rng.random() < 0.3:
        return faults  # no faults
    while start_ms < plan.length_ms - 1500.0:
        end_ms = min(
            start_ms + rng.choice((200.0, 800.0, 2500.0, 6000.0)) * rng.uniform(0.7, 1.3), plan.length_ms
        )
        if kind == "links":
            faults += _link_faults(rng, plan, start_ms, end_ms)
        elif kind == "machines":
            faults += _machine_faults(rng, plan, start_ms, end_ms)
        elif kind == "disks":
            faults += _disk_faults(rng, plan, start_ms, end_ms)
        elif kind in ("everything", "contracts", "drains"):
            faults += rng.choice((_link_faults, _machine_faults, _disk_faults))(rng, plan, start_ms, end_ms)
        else:
            faults += rng.choice((_link_faults, _machine_faults, partial(_disk_faults, mode="")))(
                rng, plan, start_ms, end_ms
            )
        # Faults overlap in wild plans.  In others, the next fault begins after the end of the one before, so that the
        # cluster usually has time to recover.
        start_ms = (start_ms if kind == "wild" else end_ms) + rng.uniform(100.0, 2500.0)
    return faults
