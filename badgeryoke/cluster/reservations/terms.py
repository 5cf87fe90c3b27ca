"""Terms of a contract: the reserved rate, its tenant, and the time windows in which it is reserved.

A contract reserves a rate (units a second) and a burst (units) for a tenant, which is a set of customers.
Times are Unix milliseconds throughout.  Terms are stored and sent by the field names that `name=` states.
"""

from __future__ import annotations

import math
import re
from collections.abc import Iterable
from itertools import pairwise
from typing import NamedTuple

import msgspec

MAX_CUSTOMERS = 1000  # customers per contract
MAX_INTERVALS_PER_CONTRACT = 512  # intervals after a contract's windows are expanded
MAX_CONTRACT_LENGTH_MS = 366 * 24 * 3_600_000.0  # from the first window's start to the last one's end
MAX_RATE = 1e9  # units a second; also the largest burst, in units
MAX_COUNTER = 1 << 53  # exclusive; larger integers do not survive every JSON reader
MAX_RANK = 9  # the least important class, which is shed first when capacity is short
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")


class Interval(NamedTuple):
    """A half-open interval of time, [start_ms, end_ms).  Stored and sent as an array of two numbers."""

    start_ms: float
    end_ms: float


class Window(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A time in which a contract is in force: [from_ms, to_ms), repeated every `every_ms` as long as a
    repetition starts before `until_ms`.  Both are 0 for a window that is not repeated."""

    from_ms: float
    to_ms: float
    every_ms: float = 0.0
    until_ms: float = 0.0

    @property
    def repetitions(self) -> int:
        """The number of intervals that this window expands to."""
        return math.ceil((self.until_ms - self.from_ms) / self.every_ms) if self.every_ms else 1

    def validate(self) -> str:
        """The invalid key and what is wrong with it; empty for a valid window."""
        if not 0.0 <= self.from_ms < self.to_ms < math.inf:
            return "windows: expected from_ms before to_ms"
        if self.every_ms or self.until_ms:
            if not self.to_ms - self.from_ms <= self.every_ms < math.inf:
                return "windows: every_ms: expected the window's own length at the least"
            if not self.from_ms < self.until_ms <= self.from_ms + MAX_CONTRACT_LENGTH_MS:
                return "windows: until_ms: expected behind from_ms, within 366 days"
        return ""

    def repeats_too_often(self) -> bool:
        """Whether this window alone exceeds MAX_INTERVALS_PER_CONTRACT.  Checked before the repetitions are
        counted, because a short period over a long time may overflow the count."""
        length_ms = self.until_ms - self.from_ms
        return self.every_ms > 0.0 and length_ms > MAX_INTERVALS_PER_CONTRACT * self.every_ms


class ContractTerms(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a contract reserves.  `surplus`: whether requests above the rate are served as ordinary ones; they
    are rejected otherwise.  `rank`: class of importance; the highest number is shed first."""

    tenant: str
    customers: tuple[int, ...]
    rate: float  # units a second
    burst: float  # units
    windows: tuple[Window, ...]
    zone: str = msgspec.field(default="", name="hall")  # empty: any zone
    surplus: bool = True
    rank: int = 1

    def validate(self) -> str:
        """The invalid key and what is wrong with it; empty for valid terms."""
        if not NAME_PATTERN.fullmatch(self.tenant):
            return f"tenant: expected 1 to 64 of letters, digits, '.', '_' and '-', got {self.tenant[:64]!r}"
        if not 1 <= len(self.customers) <= MAX_CUSTOMERS or len(set(self.customers)) < len(self.customers):
            return f"customers: expected 1 to {MAX_CUSTOMERS}, each once"
        if not all(0 <= customer < MAX_COUNTER for customer in self.customers):
            return "customers: expected numbers from 0 to below 2^53"
        if not 0.0 < self.rate <= MAX_RATE:
            return f"rate: expected above 0 and at most {MAX_RATE:g}, got {self.rate!r}"
        if not 0.0 <= self.burst <= MAX_RATE:
            return f"burst: expected 0 to {MAX_RATE:g}, got {self.burst!r}"
        if not 1 <= self.rank <= MAX_RANK:
            return f"rank: expected 1 to {MAX_RANK}, got {self.rank}"
        return _validate_windows(self.windows)


def expand_windows(windows: Iterable[Window]) -> list[Interval]:
    """All intervals that windows expand to, in order of their start."""
    return sorted(
        Interval(window.from_ms + number * window.every_ms, window.to_ms + number * window.every_ms)
        for window in windows
        for number in range(window.repetitions)
    )


def validate_counter(key: str, number: int) -> str:
    """The error text for an integer out of bounds, with its key; empty if it is valid."""
    return "" if 0 <= number < MAX_COUNTER else f"{key}: expected 0 to below 2^53"


def validate_contract_name(contract: str) -> str:
    """The error text for an invalid contract name; empty for a valid one."""
    if NAME_PATTERN.fullmatch(contract):
        return ""
    return "contract: expected 1 to 64 of letters, digits, '.', '_' and '-'"


def _validate_windows(windows: tuple[Window, ...]) -> str:
    if not windows:
        return "windows: expected one at the least"
    count = 0
    for window in windows:
        if problem := window.validate():
            return problem
        count += MAX_INTERVALS_PER_CONTRACT + 1 if window.repeats_too_often() else window.repetitions
        if count > MAX_INTERVALS_PER_CONTRACT:
            return f"windows: they come to more than {MAX_INTERVALS_PER_CONTRACT}"
    intervals = expand_windows(windows)
    if intervals[-1].end_ms - intervals[0].start_ms > MAX_CONTRACT_LENGTH_MS:
        return "windows: expected all within 366 days"
    overlap = any(before.end_ms > after.start_ms for before, after in pairwise(intervals))
    return "windows: two lie over each other" if overlap else ""
