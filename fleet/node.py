"""One gateway's whole share in the fleet: membership, the replicas of its groups, its calls and its leases.

The same object runs in a gateway (`badgeryoke/fleet/service`) and in simulated time (`lab/fleet/world`); both hand it
events and carry out its effects, and nothing else decides.
"""

from __future__ import annotations

import math
from random import Random
from typing import Any

from fleet.events import Effect, NodeEvent, Saved
from fleet.invariants import Invariants
from fleet.setup import FOUNDING, Holder, Member, Setup

__all__ = ["FOUNDING", "Holder", "Member", "Node", "Setup"]


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
