"""Parsing of the sections for plans, customers, contracts and rolling restarts."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from badgeryoke.testbed.scenario.fields import (
    error_at,
    read_gateways,
    read_integer,
    read_quantity,
    read_sections,
    read_word,
)
from badgeryoke.testbed.scenario.model import (
    ROLLING_RESTART_STATES,
    ContractText,
    CustomerGroup,
    PlanText,
    RollText,
)
from badgeryoke.testbed.scenario.sexpr import Form


def read_plan(form: Form) -> PlanText:
    """Parse a plan."""
    values: dict[str, float] = {}

    def field(key: str, measures: str) -> Callable[[Form], None]:
        def read_section(sub: Form) -> None:
            values[key] = read_quantity(sub, 1, measures).minimum

        return read_section

    def ceiling(sub: Form) -> None:
        values["ceiling_rate"] = read_quantity(sub, 1, "rate").minimum
        values["ceiling_burst"] = read_quantity(sub, 2, "units").minimum

    name = read_word(form, 1)
    read_sections(
        form,
        2,
        {
            "rate": field("rate", "rate"),
            "burst": field("burst", "units"),
            "ceiling": ceiling,
            "slack": field("slack", "units"),
            "beyond-costs": field("over_cost", "times"),
            "price": field("price", "times"),
        },
    )
    for key in ("rate", "burst"):
        if values.get(key, 0.0) <= 0:
            raise error_at(form, f"plan {name}: ({key} ...) is missing")
    return PlanText(name, **values)


def read_customers(form: Form, plans: list[str]) -> CustomerGroup:
    """Parse a group of customers on one of the plans."""
    default = CustomerGroup(read_integer(form), "")
    changes: dict[str, object] = {}

    def range_of(
        key: str, measures: str, minimum: float, maximum: float, integer: bool
    ) -> Callable[[Form], None]:
        def read_section(sub: Form) -> None:
            quantity = read_quantity(sub, 1, measures, minimum, maximum)
            changes[key] = (
                (int(quantity.minimum), int(quantity.maximum))
                if integer
                else (quantity.minimum, quantity.maximum)
            )

        return read_section

    def skew(sub: Form) -> None:
        changes["busiest"] = read_quantity(sub, 1, "part", 0.0, 1.0).minimum
        if len(sub.items) > 2:
            read_word(sub, 2, ["every"])
            changes["shifts_ms"] = read_quantity(sub, 3, "time", 100.0).minimum

    def fraction(key: str) -> Callable[[Form], None]:
        def read_section(sub: Form) -> None:
            changes[key] = read_quantity(sub, 1, "part", 0.0, 1.0).minimum

        return read_section

    def plan(sub: Form) -> None:
        changes["plan"] = read_word(sub, 1, plans)

    read_sections(
        form,
        2,
        {
            "plan": plan,
            "spread": range_of("spread", "number", 1, 4, True),
            "demand": range_of("demand", "times", 0.0, 1000.0, False),
            "skew": skew,
            "units": range_of("units", "number", 1, 6, True),
            "misjudged": fraction("misjudged"),
            "retries": fraction("retries"),
        },
    )
    if "plan" not in changes:
        raise error_at(form, "customers: (plan ...) is missing")
    return replace(default, **changes)  # type: ignore[arg-type]


def read_contract(form: Form, customers: int) -> ContractText:
    """Parse a reservation contract of some of the customers."""
    values: dict[str, float] = {}
    customer_ranges: list[tuple[int, int]] = []

    def field(key: str, measures: str) -> Callable[[Form], None]:
        def read_section(sub: Form) -> None:
            values[key] = read_quantity(sub, 1, measures).minimum

        return read_section

    def members(sub: Form) -> None:
        quantity = read_quantity(sub, 1, "number", 1, customers or 1_000_000)
        customer_ranges.append((int(quantity.minimum), int(quantity.maximum)))

    def importance(sub: Form) -> None:
        values["importance"] = read_integer(sub, 1, 1, 9)

    name = read_word(form, 1)
    read_sections(
        form,
        2,
        {
            "customers": members,
            "rate": field("rate", "rate"),
            "burst": field("burst", "units"),
            "from": field("from_ms", "time"),
            "to": field("to_ms", "time"),
            "importance": importance,
        },
    )
    for key, section_name in (("rate", "rate"), ("burst", "burst"), ("to_ms", "to")):
        if values.get(key, 0.0) <= 0:
            raise error_at(form, f"contract {name}: ({section_name} ...) is missing, or 0")
    if not customer_ranges:
        raise error_at(form, f"contract {name}: (customers ...) is missing")
    if values.get("from_ms", 0.0) >= values["to_ms"]:
        raise error_at(form, f"contract {name}: its window ends before it begins")
    return ContractText(
        name,
        customer_ranges[0],
        values["rate"],
        values["burst"],
        values.get("from_ms", 0.0),
        values["to_ms"],
        int(values.get("importance", 1)),
    )


def read_rolling_restart(form: Form, gateways: int) -> RollText:
    """Parse a rolling restart."""
    changes: dict[str, object] = {}

    def start_time(sub: Form) -> None:
        changes["from_ms"] = read_quantity(sub, 1, "time").minimum

    def members(sub: Form) -> None:
        changes["gateways"] = numbers = read_gateways(sub, gateways, 1)
        if len(set(numbers)) != len(numbers) or not numbers:
            raise error_at(sub, "gateways: expected each gateway once, and one at the least")

    def at_once(sub: Form) -> None:
        changes["at_once"] = read_integer(sub, 1, 1, gateways)

    def killed_leader_states(sub: Form) -> None:
        changes["kill_leader"] = tuple(
            read_word(sub, index, ROLLING_RESTART_STATES) for index in range(1, len(sub.items))
        )

    default = RollText(read_word(form, 1), -1.0, tuple(range(1, gateways + 1)))
    read_sections(
        form,
        2,
        {"from": start_time, "gateways": members, "at-once": at_once, "kill-leader": killed_leader_states},
    )
    if "from_ms" not in changes:
        raise error_at(form, f"roll {default.name}: (from ...) is missing")
    return replace(default, **changes)  # type: ignore[arg-type]
