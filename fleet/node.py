"""One gateway's whole share in the fleet: membership, the replicas of its groups, its calls and its leases.

The same object runs in a gateway (`badgeryoke/fleet/service`) and in simulated time (`lab/fleet/world`); both hand it
events and carry out its effects, and nothing else decides.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from random import Random
from typing import Any, Protocol

from fleet.errors import FleetError
from fleet.events import Effect, NodeEvent, Saved
from fleet.invariants import Invariants
from fleet.messages import Id
from fleet.part import Applied, Command
from fleet.timings import Timings

FOUNDING = ""  # the group under which a store keeps the founding record, as a Snapshot's body


@dataclass(frozen=True, slots=True)
class Member:
    """As the operators' file names it."""

    name: str
    hall: str
    address: str = ""  # HOST:PORT for the fleet's own links


@dataclass(frozen=True, slots=True)
class Setup:
    """What a node is told at its start."""

    fleet: str
    me: str
    incarnation: str  # drawn when the store was made; a new store is a new one
    members: tuple[Member, ...]
    copies: int = 3
    groups: int = 8  # beside the fleet's own
    timings: Timings = field(default_factory=Timings)
    capacity: float = 0.0  # units a second that contracts may take in all
    servers: dict[str, int] = field(default_factory=dict)  # the most connections that each server holds

    @property
    def id(self) -> Id:
        """This member as it is now."""
        return f"{self.me}/{self.incarnation}"


class Holder(Protocol):
    """This gateway's side of leases: asks for them, and knows when they end."""

    def poll(self, now: float, wall: float) -> list[Command]:
        """Calls to make now; one at a time for each key."""

    def answered(self, now: float, command: Command, result: Applied | FleetError) -> None:
        """What became of a call of this holder."""


class Node:
    """See above.  `due` is when the next Tick has to come at the latest, `now`'s clock."""

    def __init__(self, setup: Setup, saved: dict[str, Saved], draw: Random, now: float, wall: float,
                 rules: Invariants) -> None:
        self.setup, self.rules = setup, rules
        self.due = math.inf

    def handle(self, now: float, wall: float, event: NodeEvent) -> list[Effect]:
        """Take an event in; gives what has to be done, in order."""
        raise NotImplementedError

    def status(self) -> dict[str, Any]:
        """For operators: members as believed, groups with leader, copies and what is behind, contracts, rolls."""
        raise NotImplementedError
