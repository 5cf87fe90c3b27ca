"""Parsing of a complete scenario, and loading of scenario files.

A file holds one list; `badgeryoke/testbed/scenarios/` has the shipped ones.  What gateways share is run only
where the file says (fleet on).
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

from badgeryoke.testbed.scenario.faults import read_fault
from badgeryoke.testbed.scenario.fields import (
    error_at,
    read_integer,
    read_quantity,
    read_sections,
    read_word,
    require_cluster,
)
from badgeryoke.testbed.scenario.model import ContractText, PlanText, RollText, Scenario
from badgeryoke.testbed.scenario.sections import (
    read_contract,
    read_customers,
    read_plan,
    read_rolling_restart,
)
from badgeryoke.testbed.scenario.sexpr import Form, read

FOLDER = Path(__file__).parent.parent / "scenarios"
COPIES = (1, 3, 5)
Named = TypeVar("Named", ContractText, RollText)


def parse(text: str) -> Scenario:
    """A checked scenario; raises TextError with line, column and the wrong word."""
    form = read(text)
    if form.head != "scenario":
        raise error_at(form, f"expected (scenario NAME ...), got ({form.head} ...)")
    name = read_word(form, 1)
    made: dict[str, object] = {}
    plans: list[PlanText] = []
    customer_groups: list[Form] = []
    faults: list[tuple[float, Form]] = []
    contracts: list[Form] = []
    rolls: list[Form] = []
    shared: list[Form] = []  # what only a fleet knows, as told

    def needs_fleet(read_it: Callable[[Form], object]) -> Callable[[Form], object]:
        def take(sub: Form) -> object:
            shared.append(sub)
            return read_it(sub)

        return take

    def copies(sub: Form) -> int:
        found = read_integer(sub, 1, 1, max(COPIES))
        if found not in COPIES:
            raise error_at(sub.items[1], f"copies: {found} is none of {', '.join(map(str, COPIES))}")
        return found

    def put(key: str, read_it: Callable[[Form], object]) -> Callable[[Form], None]:
        def take(sub: Form) -> None:
            if key in made:
                raise error_at(sub, f"{sub.head} is given twice")
            made[key] = read_it(sub)

        return take

    def both(measures: str, least: float, most: float) -> Callable[[Form], tuple[float, float]]:
        def take(sub: Form) -> tuple[float, float]:
            got = read_quantity(sub, 1, measures, least, most)
            return got.least, got.most

        return take

    def counter(sub: Form) -> None:
        read_sections(
            sub,
            1,
            {
                "parts": put("counter_parts", lambda s: read_integer(s, 1, 1, 8)),
                "calls": put("counter_calls", lambda s: read_quantity(s, 1, "rate", 1.0).least),
                "delay": put("counter_delay_ms", both("time", 0.0, 1000.0)),
                "timeout": put(
                    "counter_timeout_ms", lambda s: read_quantity(s, 1, "time", 1.0, 1000.0).least
                ),
            },
        )

    def servers(sub: Form) -> None:
        made["servers"] = read_integer(sub, 1, 1, 2000)
        read_sections(
            sub,
            2,
            {
                "work": put("work_ms", both("time", 0.1, 10_000.0)),
                "slots": put("slots", lambda s: read_integer(s)),
                "cold": put("cold", lambda s: read_integer(s, 1, 0, 2000)),
                "connections": put("connections", needs_fleet(lambda s: read_integer(s, 1, 1, 100_000))),
            },
        )

    def gateways(sub: Form) -> None:
        made["gateways"] = read_integer(sub, 1, 1, 200)
        read_sections(
            sub,
            2,
            {
                "started": put("started", lambda s: read_integer(s, 1, 1, 200)),
                "skew": put("clock_skew_ms", lambda s: read_quantity(s, 1, "time", 0.0, 5000.0).least),
                "fleet": put("fleet", lambda s: read_word(s, 1, ["on", "off"]) == "on"),
                "copies": put("copies", needs_fleet(copies)),
                "halls": put("halls", needs_fleet(lambda s: read_integer(s, 1, 1, 9))),
            },
        )

    def at(sub: Form) -> None:
        when = read_quantity(sub, 1, "time").least
        for node in sub.items[2:]:
            if not isinstance(node, Form):
                raise error_at(node, f"at: expected a list such as (kill counter), got {node.text!r}")
            faults.append((when, node))
        if len(sub.items) < 3:
            raise error_at(sub, "at: says not what happens then")

    read_sections(
        form,
        2,
        {
            "about": put("about", lambda s: read_word(s, 1)),
            "length": put("length_ms", lambda s: read_quantity(s, 1, "time", 100.0, 3_600_000.0).least),
            "watch": put("watch", lambda s: read_word(s, 1, ["on", "off"]) == "on"),
            "gateways": gateways,
            "servers": servers,
            "counter": counter,
            "plan": lambda sub: plans.append(read_plan(sub)),
            "customers": customer_groups.append,
            "at": at,
            "proposals": put(
                "proposals", needs_fleet(lambda s: read_quantity(s, 1, "rate", 0.0, 10_000.0).least)
            ),
            "contract": contracts.append,
            "roll": rolls.append,
        },
    )
    number = made.get("gateways", 3)
    assert isinstance(number, int)
    made.setdefault("started", number)
    parts = made.get("counter_parts", 1)
    assert isinstance(parts, int)
    fleet = bool(made.get("fleet", False))
    for sub in (*shared, *contracts, *rolls):
        require_cluster(sub, sub.head, fleet)
    if fleet and (number < (told := made.get("copies", 3))):  # type: ignore[operator]
        raise error_at(form, f"{told} copies do not fit on {number} gateways")
    names = [plan.name for plan in plans]
    if bool(plans) != bool(customer_groups) or not (plans or (fleet and made.get("proposals"))):
        raise error_at(
            form,
            "a scenario needs at least one (plan ...) and one (customers ...), or a fleet with "
            "(proposals ...)",
        )
    made_crowds = tuple(read_customers(one, names) for one in customer_groups)
    customers = sum(customer_group.count for customer_group in made_crowds)
    if contracts and not customer_groups:
        raise error_at(contracts[0], "contract: there are no (customers ...) that it could be for")
    return Scenario(
        name,
        plans=tuple(plans),
        customer_groups=made_crowds,
        contracts=_named(contracts, [read_contract(one, customers) for one in contracts]),
        rolls=_named(rolls, [read_rolling_restart(one, number) for one in rolls]),
        faults=tuple(
            sorted(
                (read_fault(when, one, number, parts, fleet) for when, one in faults),
                key=lambda fault: fault.at_ms,
            )
        ),
        **made,  # type: ignore[arg-type]
    )


def _named(forms: list[Form], made: list[Named]) -> tuple[Named, ...]:
    """All of them; no name is used twice."""
    names: set[str] = set()
    for form, one in zip(forms, made, strict=True):
        if one.name in names:
            raise error_at(form, f"{form.head} {one.name} is given twice")
        names.add(one.name)
    return tuple(made)


def load(name: str) -> tuple[Scenario, str]:
    """A scenario by its shipped name or a file's path, and its text; raises TextError or OSError."""
    path = Path(name)
    if not path.suffix and not path.exists():
        path = FOLDER / f"{name}.scm"
    text = path.read_text(encoding="utf-8")
    return parse(text), text


def shipped() -> list[str]:
    """The names of the shipped scenarios."""
    return sorted(path.stem for path in FOLDER.glob("*.scm"))
