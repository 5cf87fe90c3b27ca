"""Scenarios: what a fleet is, who asks it for what, and what goes wrong when.

A text is one list; `badgeryoke/testbed/scenarios/` has the shipped ones.  Times carry ms, s or min, rates /s,
amounts u, parts %, multiples x; a range is written 4..7.  Gateways, customers and counter parts are numbered
from 1, as people count.  What gateways share is played only where the text says (fleet on).
"""

from __future__ import annotations

import difflib
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import TypeVar

from badgeryoke.testbed.scenario.sexpr import Form, Node, Quantity, TextError, Word, read

FOLDER = Path(__file__).parent.parent / "scenarios"


@dataclass(frozen=True, slots=True)
class PlanText:
    """A plan's figures: units a second, units, and the ceiling's; 0 for none."""

    name: str
    rate: float
    burst: float
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    slack: float = 0.0
    over_cost: float = 1.2
    price: float = 1.0


@dataclass(frozen=True, slots=True)
class Crowd:
    """Customers of one kind.  Ranges are drawn from for each customer."""

    count: int
    plan: str
    spread: tuple[int, int] = (3, 3)
    demand: tuple[float, float] = (0.5, 0.5)  # units asked for, in times of the quota's rate
    busiest: float = 0.0  # share of a customer's tries that come through one gateway; 0: even
    shifts_ms: float = 8000.0  # after which another gateway is the busiest
    units: tuple[int, int] = (1, 3)  # of a try
    retries: float = 0.0  # share of refused tries that come again once, after the wait they were told
    misjudged: float = 0.0  # share of tries whose true units differ from the guess by one


@dataclass(frozen=True, slots=True)
class Fault:
    """Something that happens at a time; `word` and `target` say what and to whom."""

    at_ms: float
    word: str
    target: str
    groups: tuple[tuple[int, ...], ...] = ()
    amount: float = 0.0
    mode: str = ""
    line: int = 0


@dataclass(frozen=True, slots=True)
class ContractText:
    """Reserved capacity: customers by number from 1, units a second, units, and its window."""

    name: str
    customers: tuple[int, int]
    rate: float
    burst: float
    from_ms: float
    to_ms: float
    importance: int = 1  # classes from 1; the highest keeps its capacity longest


@dataclass(frozen=True, slots=True)
class RollText:
    """A rolling drain of gateways."""

    name: str
    from_ms: float
    gateways: tuple[int, ...]
    at_once: int = 1
    kill_leader: tuple[str, ...] = ()  # SIGKILL for who schedules, when first a gateway stands there


@dataclass(frozen=True, slots=True)
class Scenario:
    """One checked scenario.  Times in ms."""

    name: str
    about: str = ""
    length_ms: float = 40_000.0
    gateways: int = 3
    started: int = 3
    watch: bool = True
    clock_skew_ms: float = 0.0
    servers: int = 10
    work_ms: tuple[float, float] = (30.0, 90.0)
    slots: int = 16
    cold: int = 0  # servers that have only just started
    counter_parts: int = 1
    counter_calls: float = 1000.0
    counter_delay_ms: tuple[float, float] = (0.3, 1.9)
    counter_timeout_ms: float = 50.0
    plans: tuple[PlanText, ...] = ()
    crowds: tuple[Crowd, ...] = ()
    faults: tuple[Fault, ...] = field(default=())
    fleet: bool = False  # whether what the gateways share is copied among them
    copies: int = 3
    halls: int = 1
    connections: int = 0  # that each server holds at once; 0: no bound
    contracts: tuple[ContractText, ...] = ()
    proposals: float = 0.0  # small promises a second, at random members
    rolls: tuple[RollText, ...] = ()

    @property
    def trouble(self) -> tuple[float, float]:
        """From the first fault to the last; the whole length where there is none."""
        times = [fault.at_ms for fault in self.faults]
        if not times:
            return 0.0, self.length_ms
        return min(times), max(times) if max(times) > min(times) else self.length_ms


def nearest(word: str, known: list[str]) -> str:
    """A hint that names the nearest known word, or all of them."""
    close = difflib.get_close_matches(word, known, 1)
    return f"did you mean {close[0]!r}?" if close else f"known are {', '.join(sorted(known))}"


def _fault(node: Node, problem: str) -> TextError:
    return TextError(node.line, node.column, problem)


def _quantity(form: Form, index: int, measures: str, least: float = 0.0, most: float = 1e9) -> Quantity:
    if index >= len(form.items):
        raise _fault(form, f"{form.head}: a {measures} is missing")
    node = form.items[index]
    text = getattr(node, "text", "a list")
    if not isinstance(node, Quantity) or node.measures != measures:
        example = {
            "time": "10s",
            "rate": "25/s",
            "units": "40u",
            "part": "73%",
            "times": "7x",
            "number": "3",
        }[measures]
        raise _fault(node, f"{form.head}: expected a {measures} such as {example}, got {text!r}")
    if not least <= node.least <= node.most <= most:
        raise _fault(node, f"{form.head}: {text} is not within {least:g} to {most:g}")
    return node


def _word(form: Form, index: int, known: list[str] | None = None) -> str:
    if index >= len(form.items) or not isinstance(form.items[index], Word):
        raise _fault(form if index >= len(form.items) else form.items[index], f"{form.head}: expected a word")
    node = form.items[index]
    assert isinstance(node, Word)
    if known is not None and node.text not in known:
        raise _fault(node, f"{form.head}: unknown {node.text!r}; {nearest(node.text, known)}")
    return node.text


def _sub(form: Form, start: int, known: dict[str, Callable[[Form], None]]) -> None:
    """Run the handler of each list from `start` on."""
    for node in form.items[start:]:
        if not isinstance(node, Form):
            raise _fault(node, f"{form.head}: expected a list, got {node.text!r}")
        if node.head not in known:
            raise _fault(
                node.items[0] if node.items else node,
                f"{form.head}: unknown {node.head!r}; {nearest(node.head, list(known))}",
            )
        known[node.head](node)


def _whole(form: Form, index: int = 1, least: int = 1, most: int = 1_000_000) -> int:
    return int(_quantity(form, index, "number", least, most).least)


def _plan(form: Form) -> PlanText:
    values: dict[str, float] = {}

    def one(key: str, measures: str) -> Callable[[Form], None]:
        def take(sub: Form) -> None:
            values[key] = _quantity(sub, 1, measures).least

        return take

    def ceiling(sub: Form) -> None:
        values["ceiling_rate"] = _quantity(sub, 1, "rate").least
        values["ceiling_burst"] = _quantity(sub, 2, "units").least

    name = _word(form, 1)
    _sub(
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
            raise _fault(form, f"plan {name}: ({key} ...) is missing")
    return PlanText(name, **values)


def _crowd(form: Form, plans: list[str]) -> Crowd:
    made = Crowd(_whole(form), "")
    changes: dict[str, object] = {}

    def pair(key: str, measures: str, least: float, most: float, whole: bool) -> Callable[[Form], None]:
        def take(sub: Form) -> None:
            got = _quantity(sub, 1, measures, least, most)
            changes[key] = (int(got.least), int(got.most)) if whole else (got.least, got.most)

        return take

    def skew(sub: Form) -> None:
        changes["busiest"] = _quantity(sub, 1, "part", 0.0, 1.0).least
        if len(sub.items) > 2:
            _word(sub, 2, ["every"])
            changes["shifts_ms"] = _quantity(sub, 3, "time", 100.0).least

    def part(key: str) -> Callable[[Form], None]:
        def take(sub: Form) -> None:
            changes[key] = _quantity(sub, 1, "part", 0.0, 1.0).least

        return take

    def plan(sub: Form) -> None:
        changes["plan"] = _word(sub, 1, plans)

    _sub(
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
        raise _fault(form, "customers: (plan ...) is missing")
    return replace(made, **changes)  # type: ignore[arg-type]


FAULTS = (
    "kill",
    "start",
    "freeze",
    "thaw",
    "slow",
    "split",
    "heal",
    "swap",
    "restore",
    "spoil",
    "spike",
    "cut",
    "delay",
    "reset",
    "narrow",
    "mend",
    "lose",
    "step",
    "fill",
    "empty",
)
PLAIN = ("kill", "start")  # what can be done to a gateway without a fleet
TO_GATEWAY = (
    *PLAIN,
    "lose",
    "freeze",
    "thaw",
    "spoil",
    "step",
    "fill",
    "empty",
)  # the last two: its disk, full or not
TO_GATEWAYS = ("cut", "delay", "reset", "narrow", "mend")
COPIES = (1, 3, 5)
STANDS = ["granting", "pausing", "emptying", "acting", "returning", "warming"]  # of a gateway in a roll
Named = TypeVar("Named", ContractText, RollText)


def _needs_fleet(node: Node, word: str, fleet: bool) -> None:
    if not fleet:
        raise _fault(node, f"{word}: only where the gateways are a fleet: (gateways N (fleet on))")


def _numbers(form: Form, most: int, start: int = 0) -> tuple[int, ...]:
    found = []
    for node in form.items[start:]:
        if not isinstance(node, Quantity) or node.measures != "number" or not 1 <= node.least <= most:
            raise _fault(node, f"expected gateways from 1 to {most}, got {getattr(node, 'text', 'a list')!r}")
        found.append(int(node.least))
    return tuple(found)


def _contract(form: Form, customers: int) -> ContractText:
    values: dict[str, float] = {}
    among: list[tuple[int, int]] = []

    def one(key: str, measures: str) -> Callable[[Form], None]:
        def take(sub: Form) -> None:
            values[key] = _quantity(sub, 1, measures).least

        return take

    def who(sub: Form) -> None:
        got = _quantity(sub, 1, "number", 1, customers or 1_000_000)
        among.append((int(got.least), int(got.most)))

    def importance(sub: Form) -> None:
        values["importance"] = _whole(sub, 1, 1, 9)

    name = _word(form, 1)
    _sub(
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
            raise _fault(form, f"contract {name}: ({told} ...) is missing, or 0")
    if not among:
        raise _fault(form, f"contract {name}: (customers ...) is missing")
    if values.get("from_ms", 0.0) >= values["to_ms"]:
        raise _fault(form, f"contract {name}: its window ends before it begins")
    return ContractText(
        name,
        among[0],
        values["rate"],
        values["burst"],
        values.get("from_ms", 0.0),
        values["to_ms"],
        int(values.get("importance", 1)),
    )


def _roll(form: Form, gateways: int) -> RollText:
    changes: dict[str, object] = {}

    def begins(sub: Form) -> None:
        changes["from_ms"] = _quantity(sub, 1, "time").least

    def who(sub: Form) -> None:
        changes["gateways"] = told = _numbers(sub, gateways, 1)
        if len(set(told)) != len(told) or not told:
            raise _fault(sub, "gateways: expected each gateway once, and one at the least")

    def at_once(sub: Form) -> None:
        changes["at_once"] = _whole(sub, 1, 1, gateways)

    def kills(sub: Form) -> None:
        changes["kill_leader"] = tuple(_word(sub, place, STANDS) for place in range(1, len(sub.items)))

    made = RollText(_word(form, 1), -1.0, tuple(range(1, gateways + 1)))
    _sub(form, 2, {"from": begins, "gateways": who, "at-once": at_once, "kill-leader": kills})
    if "from_ms" not in changes:
        raise _fault(form, f"roll {made.name}: (from ...) is missing")
    return replace(made, **changes)  # type: ignore[arg-type]


def _among_gateways(made: Fault, form: Form, gateways: int) -> Fault:
    """What happens on the links between gateways."""
    if form.head not in TO_GATEWAYS:
        raise _fault(form, f"{form.head} cannot be done to gateways; {', '.join(TO_GATEWAYS)} can")
    if form.head == "mend":
        if len(form.items) > 2:
            raise _fault(form.items[2], "mend: nothing more is expected here")
        return made
    lists = [node for node in form.items[2:] if isinstance(node, Form)]
    groups = tuple(_numbers(node, gateways) for node in lists)
    told = [number for group in groups for number in group]
    if len(groups) != 2 or not all(groups) or len(set(told)) != len(told):
        raise _fault(form, f"{form.head}: expected two groups of gateways with none in both")
    rest = form.items[2 + len(groups) :]
    if form.items[2 : 2 + len(groups)] != tuple(lists):
        raise _fault(form, f"{form.head}: expected both groups before anything else")
    if form.head == "cut":
        mode = _word(form, 4, ["one-way"]) if rest else ""
        return replace(_ended(form, made, 5 if rest else 4), groups=groups, mode=mode)
    if form.head == "delay":
        amount = _quantity(form, 4, "time", 0.0, 60_000.0).least
    elif form.head == "narrow":  # to so many bytes a second; kept a ms
        amount = _quantity(form, 4, "rate", 1.0).least / 1000.0
    else:
        amount = _quantity(form, 4, "rate", 0.001, 1000.0).least
    return replace(_ended(form, made, 5), groups=groups, amount=amount)


def _ended(form: Form, made: Fault, length: int) -> Fault:
    if len(form.items) > length:
        raise _fault(form.items[length], f"{form.head}: nothing more is expected here")
    return made


def _one_fault(at_ms: float, form: Form, gateways: int, parts: int, fleet: bool) -> Fault:
    words = list(FAULTS)
    if form.head not in words:
        raise _fault(
            form.items[0] if form.items else form, f"at: unknown {form.head!r}; {nearest(form.head, words)}"
        )
    target = _word(form, 1, ["counter", "gateway", "gateways", "customers"])
    made = Fault(at_ms, form.head, target, line=form.line)
    rest = form.items[2:]
    if target == "gateways" or (target == "gateway" and form.head in TO_GATEWAY and form.head not in PLAIN):
        _needs_fleet(form, form.head, fleet)
    if target == "gateways":
        return _among_gateways(made, form, gateways)
    if target == "gateway":
        number = int(_quantity(form, 2, "number", 1, gateways).least)
        if form.head not in TO_GATEWAY:
            raise _fault(form, f"{form.head} cannot be done to a gateway; {', '.join(TO_GATEWAY)} can")
        if form.head == "step":
            amount = _quantity(form, 3, "time", -1e9).least
            return replace(_ended(form, made, 4), groups=((number,),), amount=amount)
        made = replace(made, groups=((number,),))
        if form.head in ("fill", "empty"):
            made = replace(made, word="full", amount=float(form.head == "fill"))
        if form.head in ("kill", "lose", "spoil") and len(rest) > 1:
            _needs_fleet(form, "when-whole", fleet)
            _word(form, 3, ["when-whole"])
            return replace(_ended(form, made, 4), mode="whole")
        return _ended(form, made, 3)
    if form.head in (*TO_GATEWAYS, "lose", "step", "fill", "empty"):
        raise _fault(
            form,
            f"{form.head} cannot be done to {target}; it is done to "
            f"{'gateways' if form.head in TO_GATEWAYS else 'a gateway'}",
        )
    if target == "customers":
        if form.head != "spike":
            raise _fault(form, f"{form.head} cannot be done to customers; spike can")
        return replace(made, amount=_quantity(form, 2, "times", 0.0, 100.0).least)
    if form.head == "split":
        groups = tuple(_numbers(node, gateways) for node in rest if isinstance(node, Form))
        told = sorted(number for group in groups for number in group)
        if len(groups) < 2 or len(groups) != len(rest) or told != list(range(1, gateways + 1)):
            raise _fault(form, f"split: expected groups that hold each gateway from 1 to {gateways} once")
        return replace(made, groups=groups)
    if form.head == "slow":
        return replace(made, amount=_quantity(form, 2, "times", 1.0, 1000.0).least)
    if form.head == "heal" and rest:
        _word(form, 2, ["keep", "merge"])
        mode = _word(form, 2)
        amount = float(_whole(form, 3, 1, gateways)) if mode == "keep" else 0.0
        return replace(made, mode=mode, amount=amount)
    if form.head == "swap" and rest:
        _word(form, 2, ["forget"])
        return replace(made, mode="forget", amount=_quantity(form, 3, "time", 1.0).least)
    if form.head in ("kill", "start") and rest:
        _word(form, 2, ["part"])
        return replace(made, mode="part", amount=float(_whole(form, 3, 1, parts)))
    if rest:
        raise _fault(rest[0], f"{form.head}: nothing more is expected here")
    return made


def parse(text: str) -> Scenario:
    """A checked scenario; raises TextError with line, column and the wrong word."""
    form = read(text)
    if form.head != "scenario":
        raise _fault(form, f"expected (scenario NAME ...), got ({form.head} ...)")
    name = _word(form, 1)
    made: dict[str, object] = {}
    plans: list[PlanText] = []
    crowds: list[Form] = []
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
        found = _whole(sub, 1, 1, max(COPIES))
        if found not in COPIES:
            raise _fault(sub.items[1], f"copies: {found} is none of {', '.join(map(str, COPIES))}")
        return found

    def put(key: str, read_it: Callable[[Form], object]) -> Callable[[Form], None]:
        def take(sub: Form) -> None:
            if key in made:
                raise _fault(sub, f"{sub.head} is given twice")
            made[key] = read_it(sub)

        return take

    def both(measures: str, least: float, most: float) -> Callable[[Form], tuple[float, float]]:
        def take(sub: Form) -> tuple[float, float]:
            got = _quantity(sub, 1, measures, least, most)
            return got.least, got.most

        return take

    def counter(sub: Form) -> None:
        _sub(
            sub,
            1,
            {
                "parts": put("counter_parts", lambda s: _whole(s, 1, 1, 8)),
                "calls": put("counter_calls", lambda s: _quantity(s, 1, "rate", 1.0).least),
                "delay": put("counter_delay_ms", both("time", 0.0, 1000.0)),
                "timeout": put("counter_timeout_ms", lambda s: _quantity(s, 1, "time", 1.0, 1000.0).least),
            },
        )

    def servers(sub: Form) -> None:
        made["servers"] = _whole(sub, 1, 1, 2000)
        _sub(
            sub,
            2,
            {
                "work": put("work_ms", both("time", 0.1, 10_000.0)),
                "slots": put("slots", lambda s: _whole(s)),
                "cold": put("cold", lambda s: _whole(s, 1, 0, 2000)),
                "connections": put("connections", needs_fleet(lambda s: _whole(s, 1, 1, 100_000))),
            },
        )

    def gateways(sub: Form) -> None:
        made["gateways"] = _whole(sub, 1, 1, 200)
        _sub(
            sub,
            2,
            {
                "started": put("started", lambda s: _whole(s, 1, 1, 200)),
                "skew": put("clock_skew_ms", lambda s: _quantity(s, 1, "time", 0.0, 5000.0).least),
                "fleet": put("fleet", lambda s: _word(s, 1, ["on", "off"]) == "on"),
                "copies": put("copies", needs_fleet(copies)),
                "halls": put("halls", needs_fleet(lambda s: _whole(s, 1, 1, 9))),
            },
        )

    def at(sub: Form) -> None:
        when = _quantity(sub, 1, "time").least
        for node in sub.items[2:]:
            if not isinstance(node, Form):
                raise _fault(node, f"at: expected a list such as (kill counter), got {node.text!r}")
            faults.append((when, node))
        if len(sub.items) < 3:
            raise _fault(sub, "at: says not what happens then")

    _sub(
        form,
        2,
        {
            "about": put("about", lambda s: _word(s, 1)),
            "length": put("length_ms", lambda s: _quantity(s, 1, "time", 100.0, 3_600_000.0).least),
            "watch": put("watch", lambda s: _word(s, 1, ["on", "off"]) == "on"),
            "gateways": gateways,
            "servers": servers,
            "counter": counter,
            "plan": lambda sub: plans.append(_plan(sub)),
            "customers": crowds.append,
            "at": at,
            "proposals": put(
                "proposals", needs_fleet(lambda s: _quantity(s, 1, "rate", 0.0, 10_000.0).least)
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
        _needs_fleet(sub, sub.head, fleet)
    if fleet and (number < (told := made.get("copies", 3))):  # type: ignore[operator]
        raise _fault(form, f"{told} copies do not fit on {number} gateways")
    names = [plan.name for plan in plans]
    if bool(plans) != bool(crowds) or not (plans or (fleet and made.get("proposals"))):
        raise _fault(
            form,
            "a scenario needs at least one (plan ...) and one (customers ...), or a fleet with "
            "(proposals ...)",
        )
    made_crowds = tuple(_crowd(one, names) for one in crowds)
    customers = sum(crowd.count for crowd in made_crowds)
    if contracts and not crowds:
        raise _fault(contracts[0], "contract: there are no (customers ...) that it could be for")
    return Scenario(
        name,
        plans=tuple(plans),
        crowds=made_crowds,
        contracts=_named(contracts, [_contract(one, customers) for one in contracts]),
        rolls=_named(rolls, [_roll(one, number) for one in rolls]),
        faults=tuple(
            sorted(
                (_one_fault(when, one, number, parts, fleet) for when, one in faults),
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
            raise _fault(form, f"{form.head} {one.name} is given twice")
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
