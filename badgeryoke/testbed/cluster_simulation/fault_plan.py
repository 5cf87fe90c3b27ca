"""Plans of what is done to a simulated fleet: drawn from a seed, played, and shrunk where one fails.

A plan's faults are the scenarios' own (`badgeryoke.testbed.scenario.model.Fault`: words, gateways from 1),
with some more that only a simulated fleet knows: "full" and "slow-disk" of a gateway, "loss" and "twice" of
all links (amount: a chance), "narrow" of links (amount: bytes a ms).  `mode` "whole" with "lose": wait until
all copies are whole again, at most 20 s.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from functools import partial
from random import Random

from badgeryoke.testbed.scenario.model import ROLLING_RESTART_STATES, ContractText, Fault, RollText


@dataclass(frozen=True, slots=True)
class Plan:
    """One run.  `wild`: a majority of a group's copies may be lost with their disks, so that keys may stay
    unreadable; what is read must be right all the same."""

    seed: int
    members: int = 5
    halls: int = 1
    copies: int = 3
    groups: int = 8
    length_ms: float = 20_000.0
    proposals: float = 30.0  # a second
    keys: int = 24
    faults: tuple[Fault, ...] = ()
    wild: bool = False
    fsync_ms: tuple[float, float] = (0.5, 3.0)
    snapshot_entries: int = 2000
    drift: float = 0.01
    connections: int = 0  # that each server holds
    servers: int = 0
    contracts: tuple[ContractText, ...] = ()
    rolls: tuple[RollText, ...] = ()

    def text(self) -> str:
        """As it is kept in a test."""
        given = [f"seed={self.seed}"]
        for key in self.__dataclass_fields__:
            value, usual = getattr(self, key), self.__dataclass_fields__[key].default
            if key not in ("seed", "faults") and value != usual:
                given.append(f"{key}={value!r}")
        lines = "".join(
            f"\n    Fault({one.at_ms:g}, {one.word!r}, {one.target!r}, {one.groups!r}, {one.amount!r}, "
            f"{one.mode!r}),"
            for one in self.faults
        )
        return f"Plan({', '.join(given)}, faults=({lines}))"


KINDS = ("lossless", "links", "machines", "disks", "everything", "storm", "wild", "contracts", "drains")


def draw(seed: int, members: int = 0, kind: str = "") -> Plan:
    """The plan of a seed: mostly 3 to 7 members, now and then up to 50."""
    rng = Random(f"plan/{seed}")
    kind = kind or KINDS[seed % len(KINDS)]
    few = rng.choice((3, 3, 4, 5, 5, 5, 6, 7))
    many = rng.randint(8, 50)
    count = members or (many if rng.random() < 0.04 else few)
    wide = count > 12
    plan = Plan(
        seed,
        count,
        rng.choice((1, 2)),
        5 if count >= 5 and rng.random() < 0.2 else 3,
        rng.choice((2, 4, 8)) if not wide else 8,
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
        # The last gateway of a hall is not drained: of three one hall would have a single one.
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
                        f"c{at}",
                        (3 * at + 1, 3 * at + 3),
                        rng.choice((30.0, 60.0, 120.0)),
                        rng.choice((20.0, 60.0)),
                        5000.0,
                        length - 1000.0,
                    )
                    for at in range(rng.choice((1, 1, 2)))
                ),
            )
        if kind == "drains":
            everybody = tuple(range(1, plan.members + 1))
            plan = replace(
                plan,
                connections=rng.choice((plan.members, 12, 30)),
                servers=rng.choice((2, 4)),
                rolls=(
                    RollText(
                        "roll", rng.uniform(4000.0, 6000.0), everybody, rng.choice((1, 1, 2)), _kills(seed)
                    ),
                ),
            )
    return replace(plan, faults=tuple(sorted(_faults(rng, plan, kind), key=lambda fault: fault.at_ms)))


def _kills(seed: int) -> tuple[str, ...]:
    """At which of a roll's steps its scheduler is killed: at none in half of the plans."""
    rng = Random(f"plan/{seed}/kills")
    return tuple(rng.sample(ROLLING_RESTART_STATES, rng.randint(1, 3))) if rng.random() < 0.5 else ()


def _split(rng: Random, members: int, least: int = 1) -> tuple[tuple[int, ...], tuple[int, ...]]:
    order = list(range(1, members + 1))
    rng.shuffle(order)
    cut = rng.randint(least, max(members // 2, least))
    return tuple(sorted(order[:cut])), tuple(sorted(order[cut:]))


def _links(rng: Random, plan: Plan, at: float, until: float) -> list[Fault]:
    first, second = _split(rng, plan.members)
    groups = (first, second) if rng.random() < 0.5 else (second, first)
    made = {
        "cut": lambda: Fault(at, "cut", "gateways", groups),
        "one-way": lambda: Fault(at, "cut", "gateways", groups, mode="one-way"),
        "delay": lambda: Fault(at, "delay", "gateways", groups, rng.choice((50.0, 200.0, 400.0, 900.0))),
        "reset": lambda: Fault(at, "reset", "gateways", groups, rng.choice((0.5, 2.0, 10.0))),
        "loss": lambda: Fault(at, "loss", "gateways", (), rng.choice((0.02, 0.1, 0.3))),
        "twice": lambda: Fault(at, "twice", "gateways", (), rng.choice((0.05, 0.3))),
        "narrow": lambda: Fault(at, "narrow", "gateways", groups, rng.choice((40.0, 150.0))),
    }
    return [made[rng.choice(list(made))](), Fault(until, "mend", "gateways")]


def _machine(rng: Random, plan: Plan, at: float, until: float) -> list[Fault]:
    who = ((rng.randint(1, plan.members),),)
    word = rng.choice(("kill", "kill", "freeze", "restart", "slow-disk", "step"))
    if word == "kill":
        return [Fault(at, "kill", "gateway", who), Fault(until, "start", "gateway", who)]
    if word == "restart":
        return [
            Fault(at, "kill", "gateway", who),
            Fault(at + rng.uniform(1.0, 400.0), "start", "gateway", who),
        ]
    if word == "freeze":
        return [Fault(at, "freeze", "gateway", who), Fault(until, "thaw", "gateway", who)]
    if word == "slow-disk":
        return [
            Fault(at, "slow-disk", "gateway", who, rng.choice((50.0, 300.0))),
            Fault(until, "slow-disk", "gateway", who, 0.0),
        ]
    return [
        Fault(at, "step", "gateway", who, rng.choice((-30_000.0, -500.0, 2000.0, 3_600_000.0))),
        Fault(at + 1.0, "kill", "gateway", who),
        Fault(until, "start", "gateway", who),
    ]


def _disk(rng: Random, plan: Plan, at: float, until: float, whole: str = "whole") -> list[Fault]:
    who = ((rng.randint(1, plan.members),),)
    word = rng.choice(("lose", "lose", "spoil", "full"))
    if word == "full" and plan.members > 3:
        return [
            Fault(at, "full", "gateway", who, 1.0),
            Fault(until, "kill", "gateway", who),
            Fault(until, "full", "gateway", who, 0.0),
            Fault(until + 50.0, "start", "gateway", who),
        ]
    if word == "spoil":
        return [
            Fault(at, "kill", "gateway", who, mode=whole),
            Fault(at + 1.0, "spoil", "gateway", who, mode=whole),
            Fault(at + rng.uniform(100.0, 1500.0), "start", "gateway", who),
        ]
    return [
        Fault(at, "lose", "gateway", who, mode=whole),
        Fault(until if rng.random() < 0.7 else at + rng.uniform(10.0, 300.0), "start", "gateway", who),
    ]


def _storm(rng: Random, plan: Plan) -> list[Fault]:
    """No rest: processes that end and are back at once, short cuts, slow links; elections meet elections."""
    made: list[Fault] = []
    at = 2500.0
    while at < plan.length_ms:
        word = rng.choice(("restart", "restart", "cut", "one-way", "delay", "freeze"))
        one, other = _split(rng, plan.members)
        who = ((rng.randint(1, plan.members),),)
        if word == "restart":
            made += [
                Fault(at, "kill", "gateway", who),
                Fault(at + rng.uniform(1.0, 250.0), "start", "gateway", who),
            ]
        elif word == "freeze":
            made += [
                Fault(at, "freeze", "gateway", who),
                Fault(at + rng.uniform(200.0, 2000.0), "thaw", "gateway", who),
            ]
        else:
            made += [
                Fault(
                    at,
                    "delay" if word == "delay" else "cut",
                    "gateways",
                    (one, other),
                    rng.uniform(10.0, 500.0),
                    mode="one-way" if word == "one-way" else "",
                ),
                Fault(at + rng.uniform(200.0, 1500.0), "mend", "gateways"),
            ]
        at += rng.uniform(50.0, 900.0)
    return made


def _faults(rng: Random, plan: Plan, kind: str) -> list[Fault]:
    made: list[Fault] = []
    if kind == "storm":
        return _storm(rng, plan)
    if kind == "lossless":
        return made
    at = 3000.0
    if kind == "drains" and rng.random() < 0.3:
        return made  # undisturbed
    while at < plan.length_ms - 1500.0:
        until = min(at + rng.choice((200.0, 800.0, 2500.0, 6000.0)) * rng.uniform(0.7, 1.3), plan.length_ms)
        if kind == "links":
            made += _links(rng, plan, at, until)
        elif kind == "machines":
            made += _machine(rng, plan, at, until)
        elif kind == "disks":
            made += _disk(rng, plan, at, until)
        elif kind in ("everything", "contracts", "drains"):
            made += rng.choice((_links, _machine, _disk))(rng, plan, at, until)
        else:
            made += rng.choice((_links, _machine, partial(_disk, whole="")))(rng, plan, at, until)
        # Wild plans let faults meet; the others mostly leave the fleet time to mend between.
        at = (at if kind == "wild" else until) + rng.uniform(100.0, 2500.0)
    return made
