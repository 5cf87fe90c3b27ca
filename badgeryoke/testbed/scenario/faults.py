"""Parsing of the faults that a scenario injects, and which fault can be injected where."""

from __future__ import annotations

from dataclasses import replace

from badgeryoke.testbed.scenario.fields import (
    error_at,
    nearest,
    read_gateways,
    read_integer,
    read_quantity,
    read_word,
    require_cluster,
)
from badgeryoke.testbed.scenario.model import Fault
from badgeryoke.testbed.scenario.sexpr import Form

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
PLAIN = ("kill", "start")  # faults of a gateway that need no cluster
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


def _read_link_fault(made: Fault, form: Form, gateways: int) -> Fault:
    """Parse a fault of the network between two groups of gateways."""
    if form.head not in TO_GATEWAYS:
        raise error_at(form, f"{form.head} cannot be done to gateways; {', '.join(TO_GATEWAYS)} can")
    if form.head == "mend":
        if len(form.items) > 2:
            raise error_at(form.items[2], "mend: nothing more is expected here")
        return made
    lists = [node for node in form.items[2:] if isinstance(node, Form)]
    groups = tuple(read_gateways(node, gateways) for node in lists)
    told = [number for group in groups for number in group]
    if len(groups) != 2 or not all(groups) or len(set(told)) != len(told):
        raise error_at(form, f"{form.head}: expected two groups of gateways with none in both")
    rest = form.items[2 + len(groups) :]
    if form.items[2 : 2 + len(groups)] != tuple(lists):
        raise error_at(form, f"{form.head}: expected both groups before anything else")
    if form.head == "cut":
        mode = read_word(form, 4, ["one-way"]) if rest else ""
        return replace(_end_of_fault(form, made, 5 if rest else 4), groups=groups, mode=mode)
    if form.head == "delay":
        amount = read_quantity(form, 4, "time", 0.0, 60_000.0).least
    elif form.head == "narrow":  # to so many bytes a second; kept a ms
        amount = read_quantity(form, 4, "rate", 1.0).least / 1000.0
    else:
        amount = read_quantity(form, 4, "rate", 0.001, 1000.0).least
    return replace(_end_of_fault(form, made, 5), groups=groups, amount=amount)


def _end_of_fault(form: Form, made: Fault, length: int) -> Fault:
    if len(form.items) > length:
        raise error_at(form.items[length], f"{form.head}: nothing more is expected here")
    return made


def read_fault(at_ms: float, form: Form, gateways: int, parts: int, fleet: bool) -> Fault:
    """Parse one fault and check that it can be injected into its target."""
    words = list(FAULTS)
    if form.head not in words:
        raise error_at(
            form.items[0] if form.items else form, f"at: unknown {form.head!r}; {nearest(form.head, words)}"
        )
    target = read_word(form, 1, ["counter", "gateway", "gateways", "customers"])
    made = Fault(at_ms, form.head, target, line=form.line)
    rest = form.items[2:]
    if target == "gateways" or (target == "gateway" and form.head in TO_GATEWAY and form.head not in PLAIN):
        require_cluster(form, form.head, fleet)
    if target == "gateways":
        return _read_link_fault(made, form, gateways)
    if target == "gateway":
        number = int(read_quantity(form, 2, "number", 1, gateways).least)
        if form.head not in TO_GATEWAY:
            raise error_at(form, f"{form.head} cannot be done to a gateway; {', '.join(TO_GATEWAY)} can")
        if form.head == "step":
            amount = read_quantity(form, 3, "time", -1e9).least
            return replace(_end_of_fault(form, made, 4), groups=((number,),), amount=amount)
        made = replace(made, groups=((number,),))
        if form.head in ("fill", "empty"):
            made = replace(made, word="full", amount=float(form.head == "fill"))
        if form.head in ("kill", "lose", "spoil") and len(rest) > 1:
            require_cluster(form, "when-whole", fleet)
            read_word(form, 3, ["when-whole"])
            return replace(_end_of_fault(form, made, 4), mode="whole")
        return _end_of_fault(form, made, 3)
    if form.head in (*TO_GATEWAYS, "lose", "step", "fill", "empty"):
        raise error_at(
            form,
            f"{form.head} cannot be done to {target}; it is done to "
            f"{'gateways' if form.head in TO_GATEWAYS else 'a gateway'}",
        )
    if target == "customers":
        if form.head != "spike":
            raise error_at(form, f"{form.head} cannot be done to customers; spike can")
        return replace(made, amount=read_quantity(form, 2, "times", 0.0, 100.0).least)
    if form.head == "split":
        groups = tuple(read_gateways(node, gateways) for node in rest if isinstance(node, Form))
        told = sorted(number for group in groups for number in group)
        if len(groups) < 2 or len(groups) != len(rest) or told != list(range(1, gateways + 1)):
            raise error_at(form, f"split: expected groups that hold each gateway from 1 to {gateways} once")
        return replace(made, groups=groups)
    if form.head == "slow":
        return replace(made, amount=read_quantity(form, 2, "times", 1.0, 1000.0).least)
    if form.head == "heal" and rest:
        read_word(form, 2, ["keep", "merge"])
        mode = read_word(form, 2)
        amount = float(read_integer(form, 3, 1, gateways)) if mode == "keep" else 0.0
        return replace(made, mode=mode, amount=amount)
    if form.head == "swap" and rest:
        read_word(form, 2, ["forget"])
        return replace(made, mode="forget", amount=read_quantity(form, 3, "time", 1.0).least)
    if form.head in ("kill", "start") and rest:
        read_word(form, 2, ["part"])
        return replace(made, mode="part", amount=float(read_integer(form, 3, 1, parts)))
    if rest:
        raise error_at(rest[0], f"{form.head}: nothing more is expected here")
    return made
