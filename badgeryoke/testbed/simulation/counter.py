"""Model of the quota counter in simulated time: totals that expire, parts with a queue each, and faults.

A split copies the totals to each side of the partition, and the sides then diverge.  Healing merges the sides
by summing their additions since the split, or keeps one side and discards the others.  A swap discards all
totals or the latest additions; the totals before it are saved, so that a restore can bring them back.
"""

from __future__ import annotations

import copy
import random
from collections import deque
from dataclasses import dataclass, field

from badgeryoke.testbed.scenario.model import Fault, Scenario

MAX_QUEUE_WAIT_MS = 250.0  # a part rejects calls that would wait longer than this in its queue
LOG_RETENTION_MS = 5000.0  # how long additions are logged, for swaps that discard the latest ones


@dataclass
class Part:
    """One part of one side: total and expiry time of each name, and when its queue is empty."""

    totals: dict[int, tuple[float, float]] = field(default_factory=dict)
    log: deque[tuple[float, int, float, float]] = field(default_factory=deque)
    totals_at_split: dict[int, float] = field(default_factory=dict)  # totals at the time of the split
    free_at: float = 0.0
    up: bool = True

    def add(self, now: float, name: int, units: float, expire_ms: float) -> float:
        """Add units to a name and return its total, rounded to seven digits."""
        total, expires_at = self.totals.get(name, (0.0, 0.0))
        if now >= expires_at:
            total, expires_at = 0.0, now + min(max(expire_ms, 1.0), 60_000.0)
        total += units
        self.totals[name] = total, expires_at
        self.log.append((now, name, units, expire_ms))
        while self.log[0][0] < now - LOG_RETENTION_MS:
            self.log.popleft()
        return float(f"{total:.7g}")

    def discard_since(self, since: float) -> None:
        """Undo the additions since a time."""
        while self.log and self.log[-1][0] >= since:
            _, name, units, _ = self.log.pop()
            total, expires_at = self.totals[name]
            self.totals[name] = total - units, expires_at
        self.totals = {name: entry for name, entry in self.totals.items() if abs(entry[0]) > 1e-9}


@dataclass(frozen=True, slots=True)
class CounterResponse:
    """The result of a call: when the response is sent, the total, and the outcome."""

    at_ms: float
    total: float = 0.0
    outcome: str = "ok"  # ok, full, refused, silent, spoilt


class CounterModel:
    """The counter with all sides of a partition."""

    def __init__(self, scenario: Scenario, rng: random.Random) -> None:
        self._scenario, self._rng = scenario, rng
        self._sides: list[list[Part]] = [[Part() for _ in range(scenario.counter_parts)]]
        self._side_of = [0] * scenario.gateways
        self._saved: list[Part] = []
        self.up, self.frozen, self.spoilt, self.slow = True, False, False, 1.0

    def call(self, now: float, gateway: int, name: int, units: float, expire_ms: float) -> CounterResponse:
        """Process a call that arrives at `now`."""
        parts = self._sides[self._side_of[gateway]]
        part = parts[name % len(parts)]
        if not self.up or not part.up:
            return CounterResponse(now, outcome="refused")
        if self.frozen:
            return CounterResponse(now, outcome="silent")
        wait = max(part.free_at - now, 0.0)
        if wait > MAX_QUEUE_WAIT_MS:
            return CounterResponse(now, outcome="full")
        part.free_at = now + wait + self.slow * 1000.0 * len(parts) / self._scenario.counter_calls
        delay = self._rng.uniform(*self._scenario.counter_delay_ms) * self.slow
        total = part.add(now, name, units, expire_ms)
        return CounterResponse(now + wait + delay, total, "spoilt" if self.spoilt else "ok")

    def inject_fault(self, now: float, fault: Fault) -> None:
        """Apply a fault of the counter at `now`."""
        match fault.word:
            case "kill" if fault.mode == "part":
                for side in self._sides:
                    side[int(fault.amount) - 1].up = False
            case "start" if fault.mode == "part":
                for side in self._sides:
                    side[int(fault.amount) - 1] = Part()
            case "kill":
                self.up = False
            case "start":  # a process that was killed starts without totals
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
                    part.totals_at_split = {
                        name: total for name, (total, expires_at) in part.totals.items() if now < expires_at
                    }
                self._sides = [copy.deepcopy(whole) for _ in fault.groups]
                for index, group in enumerate(fault.groups):
                    for number in group:
                        self._side_of[number - 1] = index
            case "heal":
                self._heal(now, fault)
            case "swap":
                self._saved = copy.deepcopy(self._sides[0])
                for side in self._sides:
                    for index, part in enumerate(side):
                        if fault.mode == "forget":
                            part.discard_since(now - fault.amount)
                        else:
                            side[index] = Part()
            case "restore" if self._saved:
                self._sides = [copy.deepcopy(self._saved) for _ in self._sides]

    def _heal(self, now: float, fault: Fault) -> None:
        if fault.mode == "keep":
            remaining = self._sides[self._side_of[int(fault.amount) - 1]]
        else:
            remaining = self._sides[0]
            for side in self._sides[1:]:
                for target, source in zip(remaining, side, strict=True):
                    _merge(target, source, now)
        self._sides = [remaining]
        self._side_of = [0] * len(self._side_of)


def _merge(target: Part, source: Part, now: float) -> None:
    for name, (total, expires_at) in source.totals.items():
        if now >= expires_at:
            continue
        base = source.totals_at_split.get(name, 0.0)
        entry = target.totals.get(name)
        if entry is None or now >= entry[1]:
            target.totals[name] = total, expires_at
        else:
            target.totals[name] = entry[0] + total - base, entry[1]
