"""Parsing of a complete scenario, and loading of scenario files.

A file holds one list; the shipped scenarios are in `badgeryoke/testbed/scenarios/`.  The gateways form a cluster
only if the file has (fleet on).
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

SHIPPED_FOLDER = Path(__file__).parent.parent / "scenarios"
REPLICATION_FACTORS = (1, 3, 5)
Named = TypeVar("Named", ContractText, RollText)


def parse(text: str) -> Scenario:
    """Parse and validate a scenario; raises TextError with line, column and the invalid word."""
    form = read(text)
    if form.head != "scenario":
        raise error_at(form, f"expected (scenario NAME ...), got ({form.head} ...)")
    name = read_word(form, 1)
    values: dict[str, object] = {}
    plans: list[PlanText] = []
    customer_groups: list[Form] = []
    faults: list[tuple[float, Form]] = []
    contracts: list[Form] = []
    rolls: list[Form] = []
    cluster_sections: list[Form] = []  # sections that require a cluster

    def for_cluster(read_value: Callable[[Form], object]) -> Callable[[Form], object]:
        def read_section(sub: Form) -> object:
            cluster_sections.append(sub)
            return read_value(sub)

        return read_section

    def copies(sub: Form) -> int:
        count = read_integer(sub, 1, 1, max(REPLICATION_FACTORS))
        if count not in REPLICATION_FACTORS:
            raise error_at(
                sub.items[1], f"copies: {count} is none of {', '.join(map(str, REPLICATION_FACTORS))}"
            )
        return count

    def field(key: str, read_value: Callable[[Form], object]) -> Callable[[Form], None]:
        def read_section(sub: Form) -> None:
            if key in values:
                raise error_at(sub, f"{sub.head} is given twice")
            values[key] = read_value(sub)

        return read_section

    def range_of(measures: str, minimum: float, maximum: float) -> Callable[[Form], tuple[float, float]]:
        def read_section(sub: Form) -> tuple[float, float]:
            quantity = read_quantity(sub, 1, measures, minimum, maximum)
            return quantity.minimum, quantity.maximum

        return read_section

    def counter(sub: Form) -> None:
        read_sections(
            sub,
            1,
            {
                "parts": field("counter_parts", lambda s: read_integer(s, 1, 1, 8)),
                "calls": field("counter_calls", lambda s: read_quantity(s, 1, "rate", 1.0).minimum),
                "delay": field("counter_delay_ms", range_of("time", 0.0, 1000.0)),
                "timeout": field(
                    "counter_timeout_ms", lambda s: read_quantity(s, 1, "time", 1.0, 1000.0).minimum
                ),
            },
        )

    def servers(sub: Form) -> None:
        values["servers"] = read_integer(sub, 1, 1, 2000)
        read_sections(
            sub,
            2,
            {
                "work": field("work_ms", range_of("time", 0.1, 10_000.0)),
                "slots": field("slots", lambda s: read_integer(s)),
                "cold": field("cold", lambda s: read_integer(s, 1, 0, 2000)),
                "connections": field("connections", for_cluster(lambda s: read_integer(s, 1, 1, 100_000))),
            },
        )

    def gateways(sub: Form) -> None:
        values["gateways"] = read_integer(sub, 1, 1, 200)
        read_sections(
            sub,
            2,
            {
                "started": field("started", lambda s: read_integer(s, 1, 1, 200)),
                "skew": field("clock_skew_ms", lambda s: read_quantity(s, 1, "time", 0.0, 5000.0).minimum),
                "fleet": field("fleet", lambda s: read_word(s, 1, ["on", "off"]) == "on"),
                "copies": field("copies", for_cluster(copies)),
                "halls": field("halls", for_cluster(lambda s: read_integer(s, 1, 1, 9))),
            },
        )

    def at(sub: Form) -> None:
        at_ms = read_quantity(sub, 1, "time").minimum
        for node in sub.items[2:]:
            if not isinstance(node, Form):
                raise error_at(node, f"at: expected a list such as (kill counter), got {node.text!r}")
            faults.append((at_ms, node))
        if len(sub.items) < 3:
            raise error_at(sub, "at: says not what happens then")

    read_sections(
        form,
        2,
        {
            "about": field("about", lambda s: read_word(s, 1)),
            "length": field("length_ms", lambda s: read_quantity(s, 1, "time", 100.0, 3_600_000.0).minimum),
            "watch": field("watch", lambda s: read_word(s, 1, ["on", "off"]) == "on"),
            "gateways": gateways,
            "servers": servers,
            "counter": counter,
            "plan": lambda sub: plans.append(read_plan(sub)),
            "customers": customer_groups.append,
            "at": at,
            "proposals": field(
                "proposals", for_cluster(lambda s: read_quantity(s, 1, "rate", 0.0, 10_000.0).minimum)
            ),
            "contract": contracts.append,
            "roll": rolls.append,
        },
    )
    gateway_count = values.get("gateways", 3)
    assert isinstance(gateway_count, int)
    values.setdefault("started", gateway_count)
    parts = values.get("counter_parts", 1)
    assert isinstance(parts, int)
    has_cluster = bool(values.get("fleet", False))
    for sub in (*cluster_sections, *contracts, *rolls):
        require_cluster(sub, sub.head, has_cluster)
    if has_cluster and (gateway_count < (replicas := values.get("copies", 3))):  # type: ignore[operator]
        raise error_at(form, f"{replicas} copies do not fit on {gateway_count} gateways")
    names = [plan.name for plan in plans]
    if bool(plans) != bool(customer_groups) or not (plans or (has_cluster and values.get("proposals"))):
        raise error_at(
            form,
            "a scenario needs at least one (plan ...) and one (customers ...), or a fleet with "
            "(proposals ...)",
        )
    parsed_groups = tuple(read_customers(section, names) for section in customer_groups)
    customers = sum(customer_group.count for customer_group in parsed_groups)
    if contracts and not customer_groups:
        raise error_at(contracts[0], "contract: there are no (customers ...) that it could be for")
    return Scenario(
        name,
        plans=tuple(plans),
        customer_groups=parsed_groups,
        contracts=_named(contracts, [read_contract(section, customers) for section in contracts]),
        rolls=_named(rolls, [read_rolling_restart(section, gateway_count) for section in rolls]),
        faults=tuple(
            sorted(
                (read_fault(at_ms, section, gateway_count, parts, has_cluster) for at_ms, section in faults),
                key=lambda fault: fault.at_ms,
            )
        ),
        **values,  # type: ignore[arg-type]
    )


def _named(forms: list[Form], sections: list[Named]) -> tuple[Named, ...]:
    """The parsed sections as a tuple; raises TextError if two have the same name."""
    names: set[str] = set()
    for form, section in zip(forms, sections, strict=True):
        if section.name in names:
            raise error_at(form, f"{form.head} {section.name} is given twice")
        names.add(section.name)
    return tuple(sections)


def load(name: str) -> tuple[Scenario, str]:
    """Load a scenario by its shipped name or a file's path; returns it with its text.

    Raises TextError or OSError.
    """
    path = Path(name)
    if not path.suffix and not path.exists():
        path = SHIPPED_FOLDER / f"{name}.scm"
    text = path.read_text(encoding="utf-8")
    return parse(text), text


def shipped() -> list[str]:
    """The names of the shipped scenarios."""
    return sorted(path.stem for path in SHIPPED_FOLDER.glob("*.scm"))
