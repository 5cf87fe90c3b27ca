"""The counter in simulated time: names with a life, parts with a queue each, and all that can happen to it.

A split copies what there is to each side, and each goes on by itself.  Healing merges them (each side's
additions since the split are added up) or keeps one side and throws the other's away.  A swap forgets all,
or the last stretch; what there was is kept aside, so that it can come back.
"""

from __future__ import annotations

import copy
import random
from collections import deque
from dataclasses import dataclass, field

from badgeryoke.testbed.scenario.model import Fault, Scenario

BUSY_MS = 250.0  # a part with more than this of calls before it turns further ones away
LOG_MS = 5000.0  # additions are remembered so long, for swaps that forget the last stretch


@dataclass
class Part:
    """One part of one side: totals and ends of life by name, and when it is free."""

    totals: dict[int, tuple[float, float]] = field(default_factory=dict)
    log: deque[tuple[float, int, float, float]] = field(default_factory=deque)
    at_split: dict[int, float] = field(default_factory=dict)  # totals when the sides came apart
    free_at: float = 0.0
    up: bool = True

    def add(self, now: float, name: int, units: float, expire_ms: float) -> float:
        """Add to a name; gives its total to seven digits."""
        total, ends = self.totals.get(name, (0.0, 0.0))
        if now >= ends:
            total, ends = 0.0, now + min(max(expire_ms, 1.0), 60_000.0)
        total += units
        self.totals[name] = total, ends
        self.log.append((now, name, units, expire_ms))
        while self.log[0][0] < now - LOG_MS:
            self.log.popleft()
        return float(f"{total:.7g}")

    def forget(self, since: float) -> None:
        """Undo what was added after a time."""
        while self.log and self.log[-1][0] >= since:
            _, name, units, _ = self.log.pop()
            total, ends = self.totals[name]
            self.totals[name] = total - units, ends
        self.totals = {name: kept for name, kept in self.totals.items() if abs(kept[0]) > 1e-9}


@dataclass(frozen=True, slots=True)
class CounterResponse:
    """What a call comes to: when its answer leaves (never: inf), its total, or how it ended."""

    at_ms: float
    total: float = 0.0
    outcome: str = "ok"  # ok, full, refused, silent, spoilt


class CounterModel:
    """All sides of the counter."""

    def __init__(self, scenario: Scenario, rng: random.Random) -> None:
        self._text, self._rng = scenario, rng
        self._sides: list[list[Part]] = [[Part() for _ in range(scenario.counter_parts)]]
        self._side_of = [0] * scenario.gateways
        self._aside: list[Part] = []
        self.up, self.frozen, self.spoilt, self.slow = True, False, False, 1.0

    def call(self, now: float, gateway: int, name: int, units: float, expire_ms: float) -> CounterResponse:
        """One call as it arrives."""
        parts = self._sides[self._side_of[gateway]]
        part = parts[name % len(parts)]
        if not self.up or not part.up:
            return CounterResponse(now, outcome="refused")
        if self.frozen:
            return CounterResponse(now, outcome="silent")
        wait = max(part.free_at - now, 0.0)
        if wait > BUSY_MS:
            return CounterResponse(now, outcome="full")
        part.free_at = now + wait + self.slow * 1000.0 * len(parts) / self._text.counter_calls
        delay = self._rng.uniform(*self._text.counter_delay_ms) * self.slow
        total = part.add(now, name, units, expire_ms)
        return CounterResponse(now + wait + delay, total, "spoilt" if self.spoilt else "ok")

    def inject_fault(self, now: float, fault: Fault) -> None:
        """Carry out one fault."""
        match fault.word:
            case "kill" if fault.mode == "part":
                for side in self._sides:
                    side[int(fault.amount) - 1].up = False
            case "start" if fault.mode == "part":
                for side in self._sides:
                    side[int(fault.amount) - 1] = Part()
            case "kill":
                self.up = False
            case "start":  # a process that died has forgotten
                if not self.up:
                    self._sides = [[Part() for _ in side] for side in self._sides]
                self.up, self.spoilt, self.frozen = True, False, False
            case "freeze":
                self.frozen = True
            case "thaw":
                self.frozen = False
            case "spoil":
                self.spoilt = True
            case "slow":
                self.slow = fault.amount
            case "split":
                whole = self._sides[0]
                for part in whole:
                    part.at_split = {name: total for name, (total, ends) in part.totals.items() if now < ends}
                self._sides = [copy.deepcopy(whole) for _ in fault.groups]
                for index, group in enumerate(fault.groups):
                    for number in group:
                        self._side_of[number - 1] = index
            case "heal":
                self._heal(now, fault)
            case "swap":
                self._aside = copy.deepcopy(self._sides[0])
                for side in self._sides:
                    for index, part in enumerate(side):
                        if fault.mode == "forget":
                            part.forget(now - fault.amount)
                        else:
                            side[index] = Part()
            case "restore" if self._aside:
                self._sides = [copy.deepcopy(self._aside) for _ in self._sides]

    def _heal(self, now: float, fault: Fault) -> None:
        if fault.mode == "keep":
            kept = self._sides[self._side_of[int(fault.amount) - 1]]
        else:
            kept = self._sides[0]
            for side in self._sides[1:]:
                for mine, theirs in zip(kept, side, strict=True):
                    _merge(mine, theirs, now)
        self._sides = [kept]
        self._side_of = [0] * len(self._side_of)


def _merge(mine: Part, theirs: Part, now: float) -> None:
    for name, (total, ends) in theirs.totals.items():
        if now >= ends:
            continue
        base = theirs.at_split.get(name, 0.0)
        held = mine.totals.get(name)
        if held is None or now >= held[1]:
            mine.totals[name] = total, ends
        else:
            mine.totals[name] = held[0] + total - base, held[1]
