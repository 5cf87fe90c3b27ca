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

    def one(key: str, measures: str) -> Callable[[Form], None]:
        def take(sub: Form) -> None:
            values[key] = read_quantity(sub, 1, measures).least

        return take

    def ceiling(sub: Form) -> None:
        values["ceiling_rate"] = read_quantity(sub, 1, "rate").least
        values["ceiling_burst"] = read_quantity(sub, 2, "units").least

    name = read_word(form, 1)
    read_sections(
        form,
        2,
        {
            "rate": one("rate", "rate"),
            "burst": one("burst", "units"),
            "ceiling": ceiling,
            "slack": one("slack", "units"),
            "beyond-costs": one("over_cost", "times"),
            "price": one("price", "times"),
        },
    )
    for key in ("rate", "burst"):
        if values.get(key, 0.0) <= 0:
            raise error_at(form, f"plan {name}: ({key} ...) is missing")
    return PlanText(name, **values)


def read_customers(form: Form, plans: list[str]) -> CustomerGroup:
    """Parse a group of customers on one of the plans."""
    made = CustomerGroup(read_integer(form), "")
    changes: dict[str, object] = {}

    def pair(key: str, measures: str, least: float, most: float, whole: bool) -> Callable[[Form], None]:
        def take(sub: Form) -> None:
            got = read_quantity(sub, 1, measures, least, most)
            changes[key] = (int(got.least), int(got.most)) if whole else (got.least, got.most)

        return take

    def skew(sub: Form) -> None:
        changes["busiest"] = read_quantity(sub, 1, "part", 0.0, 1.0).least
        if len(sub.items) > 2:
            read_word(sub, 2, ["every"])
            changes["shifts_ms"] = read_quantity(sub, 3, "time", 100.0).least

    def part(key: str) -> Callable[[Form], None]:
        def take(sub: Form) -> None:
            changes[key] = read_quantity(sub, 1, "part", 0.0, 1.0).least

        return take

    def plan(sub: Form) -> None:
        changes["plan"] = read_word(sub, 1, plans)

    read_sections(
        form,
        2,
        {
            "plan": plan,
            "spread": pair("spread", "number", 1, 4, True),
            "demand": pair("demand", "times", 0.0, 1000.0, False),
            "skew": skew,
            "units": pair("units", "number", 1, 6, True),
            "misjudged": part("misjudged"),
            "retries": part("retries"),
        },
    )
    if "plan" not in changes:
        raise error_at(form, "customers: (plan ...) is missing")
    return replace(made, **changes)  # type: ignore[arg-type]


def read_contract(form: Form, customers: int) -> ContractText:
    """Parse a reservation contract of some of the customers."""
    values: dict[str, float] = {}
    among: list[tuple[int, int]] = []

    def one(key: str, measures: str) -> Callable[[Form], None]:
        def take(sub: Form) -> None:
            values[key] = read_quantity(sub, 1, measures).least

        return take

    def who(sub: Form) -> None:
        got = read_quantity(sub, 1, "number", 1, customers or 1_000_000)
        among.append((int(got.least), int(got.most)))

    def importance(sub: Form) -> None:
        values["importance"] = read_integer(sub, 1, 1, 9)

    name = read_word(form, 1)
    read_sections(
        form,
        2,
        {
            "customers": who,
            "rate": one("rate", "rate"),
            "burst": one("burst", "units"),
            "from": one("from_ms", "time"),
            "to": one("to_ms", "time"),
            "importance": importance,
        },
    )
    for key, told in (("rate", "rate"), ("burst", "burst"), ("to_ms", "to")):
        if values.get(key, 0.0) <= 0:
            raise error_at(form, f"contract {name}: ({told} ...) is missing, or 0")
    if not among:
        raise error_at(form, f"contract {name}: (customers ...) is missing")
    if values.get("from_ms", 0.0) >= values["to_ms"]:
        raise error_at(form, f"contract {name}: its window ends before it begins")
    return ContractText(
        name,
        among[0],
        values["rate"],
        values["burst"],
        values.get("from_ms", 0.0),
        values["to_ms"],
        int(values.get("importance", 1)),
    )


def read_rolling_restart(form: Form, gateways: int) -> RollText:
    """Parse a rolling restart."""
    changes: dict[str, object] = {}

    def begins(sub: Form) -> None:
        changes["from_ms"] = read_quantity(sub, 1, "time").least

    def who(sub: Form) -> None:
        changes["gateways"] = told = read_gateways(sub, gateways, 1)
        if len(set(told)) != len(told) or not told:
            raise error_at(sub, "gateways: expected each gateway once, and one at the least")

    def at_once(sub: Form) -> None:
        changes["at_once"] = read_integer(sub, 1, 1, gateways)

    def kills(sub: Form) -> None:
        changes["kill_leader"] = tuple(
            read_word(sub, place, ROLLING_RESTART_STATES) for place in range(1, len(sub.items))
        )

    made = RollText(read_word(form, 1), -1.0, tuple(range(1, gateways + 1)))
    read_sections(form, 2, {"from": begins, "gateways": who, "at-once": at_once, "kill-leader": kills})
    if "from_ms" not in changes:
        raise error_at(form, f"roll {made.name}: (from ...) is missing")
    return replace(made, **changes)  # type: ignore[arg-type]
