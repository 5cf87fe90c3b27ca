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
FAULTS_WITHOUT_CLUSTER = ("kill", "start")  # gateway faults that need no cluster
# Of a gateway; "fill" and "empty" change whether its disk is full.
GATEWAY_FAULTS = (
    *FAULTS_WITHOUT_CLUSTER,
    "lose",
    "freeze",
    "thaw",
    "spoil",
    "step",
    "fill",
    "empty",
)
# Of the links between two groups of gateways.
LINK_FAULTS = ("cut", "delay", "reset", "narrow", "mend")


def _read_link_fault(fault: Fault, form: Form, gateways: int) -> Fault:
    """Parse a fault of the network between two groups of gateways."""
    if form.head not in LINK_FAULTS:
        raise error_at(form, f"{form.head} cannot be done to gateways; {', '.join(LINK_FAULTS)} can")
    if form.head == "mend":
        if len(form.items) > 2:
            raise error_at(form.items[2], "mend: nothing more is expected here")
        return fault
    group_forms = [node for node in form.items[2:] if isinstance(node, Form)]
    groups = tuple(read_gateways(node, gateways) for node in group_forms)
    numbers = [number for group in groups for number in group]
    if len(groups) != 2 or not all(groups) or len(set(numbers)) != len(numbers):
        raise error_at(form, f"{form.head}: expected two groups of gateways with none in both")
    arguments = form.items[2 + len(groups) :]
    if form.items[2 : 2 + len(groups)] != tuple(group_forms):
        raise error_at(form, f"{form.head}: expected both groups before anything else")
    if form.head == "cut":
        mode = read_word(form, 4, ["one-way"]) if arguments else ""
        return replace(_end_of_fault(form, fault, 5 if arguments else 4), groups=groups, mode=mode)
    if form.head == "delay":
        amount = read_quantity(form, 4, "time", 0.0, 60_000.0).minimum
    elif form.head == "narrow":  # read in bytes a second, stored in bytes a ms
        amount = read_quantity(form, 4, "rate", 1.0).minimum / 1000.0
    else:
        amount = read_quantity(form, 4, "rate", 0.001, 1000.0).minimum
    return replace(_end_of_fault(form, fault, 5), groups=groups, amount=amount)


def _end_of_fault(form: Form, fault: Fault, length: int) -> Fault:
    if len(form.items) > length:
        raise error_at(form.items[length], f"{form.head}: nothing more is expected here")
    return fault


def read_fault(at_ms: float, form: Form, gateways: int, part_count: int, has_cluster: bool) -> Fault:
    """Parse one fault and check that it can be injected into its target."""
    known = list(FAULTS)
    if form.head not in known:
        raise error_at(
            form.items[0] if form.items else form, f"at: unknown {form.head!r}; {nearest(form.head, known)}"
        )
    target = read_word(form, 1, ["counter", "gateway", "gateways", "customers"])
    fault = Fault(at_ms, form.head, target, line=form.line)
    arguments = form.items[2:]
    if target == "gateways" or (
        target == "gateway" and form.head in GATEWAY_FAULTS and form.head not in FAULTS_WITHOUT_CLUSTER
    ):
        require_cluster(form, form.head, has_cluster)
    if target == "gateways":
        return _read_link_fault(fault, form, gateways)
    if target == "gateway":
        number = int(read_quantity(form, 2, "number", 1, gateways).minimum)
        if form.head not in GATEWAY_FAULTS:
            raise error_at(form, f"{form.head} cannot be done to a gateway; {', '.join(GATEWAY_FAULTS)} can")
        if form.head == "step":
            amount = read_quantity(form, 3, "time", -1e9).minimum
            return replace(_end_of_fault(form, fault, 4), groups=((number,),), amount=amount)
        fault = replace(fault, groups=((number,),))
        if form.head in ("fill", "empty"):
            fault = replace(fault, word="full", amount=float(form.head == "fill"))
        if form.head in ("kill", "lose", "spoil") and len(arguments) > 1:
            require_cluster(form, "when-whole", has_cluster)
            read_word(form, 3, ["when-whole"])
            return replace(_end_of_fault(form, fault, 4), mode="whole")
        return _end_of_fault(form, fault, 3)
    if form.head in (*LINK_FAULTS, "lose", "step", "fill", "empty"):
        raise error_at(
            form,
            f"{form.head} cannot be done to {target}; it is done to "
            f"{'gateways' if form.head in LINK_FAULTS else 'a gateway'}",
        )
    if target == "customers":
        if form.head != "spike":
            raise error_at(form, f"{form.head} cannot be done to customers; spike can")
        return replace(fault, amount=read_quantity(form, 2, "times", 0.0, 100.0).minimum)
    if form.head == "split":
        groups = tuple(read_gateways(node, gateways) for node in arguments if isinstance(node, Form))
        numbers = sorted(number for group in groups for number in group)
        if len(groups) < 2 or len(groups) != len(arguments) or numbers != list(range(1, gateways + 1)):
            raise error_at(form, f"split: expected groups that hold each gateway from 1 to {gateways} once")
        return replace(fault, groups=groups)
    if form.head == "slow":
        return replace(fault, amount=read_quantity(form, 2, "times", 1.0, 1000.0).minimum)
    if form.head == "heal" and arguments:
        read_word(form, 2, ["keep", "merge"])
        mode = read_word(form, 2)
        amount = float(read_integer(form, 3, 1, gateways)) if mode == "keep" else 0.0
        return replace(fault, mode=mode, amount=amount)
    if form.head == "swap" and arguments:
        read_word(form, 2, ["forget"])
        return replace(fault, mode="forget", amount=read_quantity(form, 3, "time", 1.0).minimum)
    if form.head in ("kill", "start") and arguments:
        read_word(form, 2, ["part"])
        return replace(fault, mode="part", amount=float(read_integer(form, 3, 1, part_count)))
    if arguments:
        raise error_at(arguments[0], f"{form.head}: nothing more is expected here")
    return fault
