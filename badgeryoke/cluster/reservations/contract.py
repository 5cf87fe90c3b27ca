"""Contracts: a rate of units a second that the fleet keeps for a tenant (a set of customers) over windows of
time.

`Contracts` is a part of the fleet's own group: it admits by rates over windows, so that a refusal can say
what would fit and when.  It is one log, so two proposals at two gateways never both take the last room.  What
may be promised is the stated capacity less a part in reserve for losses, less a floor for everybody else; a
promise counts from its window's begin until the last lease under it must be over (`Timings.outlast` behind
its end).

`Floors` is a part of a tenant's group: it divides each contract's rate and burst over the gateways
(`badgeryoke.cluster.leases.lease_pool`).

A change (a cancelling is one, to no windows) has a number and one moment from which it holds, two lives of a
lease ahead at the least.  The fleet's group opens it at the tenant's group; that holds to it from its moment,
and says `Told` when every lease of the version before is given back or over.  Until then the dearer of the
two counts at every moment: close, return, grant, open.

What the two groups do for each other is asked again until it is answered, by ids that make a repeat harmless.

Source: the operators' wish "Reserved capacity contracts"; admission by rates over windows grew out of the
reservations of `badgeryoke/decisions/plan_schedule`.  States are data, in TRANSITIONS.
"""

from __future__ import annotations

import math
import re
from bisect import bisect_right
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from itertools import pairwise
from typing import Any, ClassVar

import msgspec

from badgeryoke.cluster.errors import (
    AnyError,
    InsufficientCapacity,
    InvalidCall,
    LeaseExpired,
    NotFound,
    Overloaded,
    WrongState,
)
from badgeryoke.cluster.invariants import Invariants, Rule
from badgeryoke.cluster.leases.lease_pool import EDGE, MOST_HOLDERS, LeaseGrant, LeasePool
from badgeryoke.cluster.messages import MemberId
from badgeryoke.cluster.state_machine.part import ApplyResult, Command, LeaderView
from badgeryoke.cluster.timings import Timings

MOST_CONTRACTS = 1000  # not settled, in the fleet; more are refused
MOST_OF_TENANT = 16
MOST_SETTLED = 200  # kept for reading; the oldest goes first
MOST_CUSTOMERS = 1000  # of one contract
MOST_SPANS = 512  # times that one contract's windows come to
MOST_SPANS_IN_ALL = 20_000
MOST_REPORTERS = 1024  # of what one contract is short, gateway by gateway and cause by cause
MOST_PROCESSES = 4  # of one holder whose calls are told from each other
MOST_FLOORS = 1000  # contracts of one tenants' group
MOST_TRIES = 200  # moments looked at for when a proposal would fit
LONGEST_MS = 366 * 24 * 3_600_000.0  # from the first window's begin to the last one's end
HIGHEST = 1e9  # a rate or a burst
MOST_NUMBER = 1 << 53  # of anything counted: no link and no store has to carry a longer one
RANKS = 9  # classes of importance, 1 goes last when capacity falls short
ARM_MS = 10_000.0  # before its window a contract is armed, and gateways begin to ask
EARLY_MS = 1000.0  # before its window parts are granted, for use from its begin
CURED_MS = 5000.0  # without a unit short a breach is over
OTHERS_FLOOR = 0.1  # part of the capacity that is promised to nobody, where nothing else is stated
SLICE_MS = 5.0  # in which a gateway counts what was asked for and what was drawn together
COARSE = 50  # slices taken together where they are kept for long
MOST_TOLD = 256  # slices of one call
MOST_OPEN = 20_000  # slices told and not compared yet; above, the older half is compared early
SETTLED_SLICES = 400  # after so many more a slice is compared with what was due: 2 s
AHEAD_SLICES = 400  # of a clock that is ahead
# are remembered for what a gateway that was cut off tells late; later still, it is not counted
KEPT_SLICES = 120_000
REST_MS = 500.0  # without a request: what was due until then and was not drawn never will be
LONGEST_WAIT_MS = 300.0  # of a request at a gateway, for its turn
NO_LEASE = "no lease"  # units that no gateway had a part for, where the tenant asked
OPEN_MS = 500.0  # between two askings of the other group, doubled up to AGAIN_MS
AGAIN_MS = 30_000.0
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")


class ContractState(Enum):
    """Where a contract stands."""

    PROPOSED = "proposed"
    REFUSED = "refused"
    ADMITTED = "admitted"
    ARMED = "armed"  # its window is near, and the tenant's group holds it
    ACTIVE = "active"
    BREACHED = "breached"  # active, and units short of late
    CLOSING = "closing"  # its window is over or it is cancelled: leases come to their end
    SETTLED = "settled"


class ContractEvent(Enum):
    """What happens to one."""

    ADMIT = "it fits"
    REFUSE = "it does not fit"
    ARM = "its window is near and the tenant's group holds it"
    BEGIN = "its window begins"
    SHORT = "units within it were not served"
    CURE = "no unit was short of late"
    END = "its window ends"
    CANCEL = "it is taken back"
    AGAIN = "another window is ahead"
    SETTLE = "its last lease is over"


S, E = ContractState, ContractEvent
TRANSITIONS: dict[tuple[ContractState, ContractEvent], ContractState] = {
    (S.PROPOSED, E.ADMIT): S.ADMITTED,
    (S.PROPOSED, E.REFUSE): S.REFUSED,
    (S.ADMITTED, E.ARM): S.ARMED,
    (S.ADMITTED, E.END): S.CLOSING,  # the tenant's group never came to hold it
    (S.ADMITTED, E.CANCEL): S.CLOSING,
    (S.ADMITTED, E.SHORT): S.ADMITTED,
    (S.ARMED, E.BEGIN): S.ACTIVE,
    (S.ARMED, E.END): S.CLOSING,
    (S.ARMED, E.CANCEL): S.CLOSING,
    (S.ARMED, E.SHORT): S.ARMED,
    (S.ACTIVE, E.SHORT): S.BREACHED,
    (S.ACTIVE, E.END): S.CLOSING,
    (S.ACTIVE, E.CANCEL): S.CLOSING,
    (S.BREACHED, E.SHORT): S.BREACHED,
    (S.BREACHED, E.CURE): S.ACTIVE,
    (S.BREACHED, E.END): S.CLOSING,
    (S.BREACHED, E.CANCEL): S.CLOSING,
    (S.CLOSING, E.SHORT): S.CLOSING,  # told late
    (S.CLOSING, E.AGAIN): S.ADMITTED,
    (S.CLOSING, E.SETTLE): S.SETTLED,
    (S.SETTLED, E.SHORT): S.SETTLED,
}


class Window(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """From a moment to a moment, Unix ms; with `every_ms` again and again, the last one begun before
    `until_ms`."""

    from_ms: float
    to_ms: float
    every_ms: float = 0.0
    until_ms: float = 0.0


class ContractTerms(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What is promised.  `surplus`: what the tenant asks for on top is served as anybody's, else it is
    refused."""

    tenant: str
    customers: tuple[int, ...]
    rate: float  # units a second
    burst: float  # units
    windows: tuple[Window, ...]
    hall: str = ""  # empty: any
    surplus: bool = True
    rank: int = 1  # class of importance: where capacity falls short, the highest number goes first

    def validate(self) -> str:
        """The key at fault and what is wrong with it."""
        if not NAME.fullmatch(self.tenant):
            return f"tenant: expected 1 to 64 of letters, digits, '.', '_' and '-', got {self.tenant[:64]!r}"
        if not 1 <= len(self.customers) <= MOST_CUSTOMERS or len(set(self.customers)) < len(self.customers):
            return f"customers: expected 1 to {MOST_CUSTOMERS}, each once"
        if not all(0 <= one < MOST_NUMBER for one in self.customers):
            return "customers: expected numbers from 0 to below 2^53"
        if not 0.0 < self.rate <= HIGHEST:
            return f"rate: expected above 0 and at most {HIGHEST:g}, got {self.rate!r}"
        if not 0.0 <= self.burst <= HIGHEST:
            return f"burst: expected 0 to {HIGHEST:g}, got {self.burst!r}"
        if not 1 <= self.rank <= RANKS:
            return f"rank: expected 1 to {RANKS}, got {self.rank}"
        return _faulty_windows(self.windows)


def _faulty_windows(windows: tuple[Window, ...]) -> str:
    if not windows:
        return "windows: expected one at the least"
    count = 0
    for one in windows:
        if not 0.0 <= one.from_ms < one.to_ms < math.inf:
            return "windows: expected from_ms before to_ms"
        if one.every_ms or one.until_ms:
            if not one.to_ms - one.from_ms <= one.every_ms < math.inf:
                return "windows: every_ms: expected the window's own length at the least"
            if not one.from_ms < one.until_ms <= one.from_ms + LONGEST_MS:
                return "windows: until_ms: expected behind from_ms, within 366 days"
        # Before it is counted: a short one within a long time may come to more than any number.
        many = one.every_ms > 0.0 and one.until_ms - one.from_ms > MOST_SPANS * one.every_ms
        count += MOST_SPANS + 1 if many else _times(one)
        if count > MOST_SPANS:
            return f"windows: they come to more than {MOST_SPANS}"
    found = spans(windows)
    if found[-1][1] - found[0][0] > LONGEST_MS:
        return "windows: expected all within 366 days"
    return "windows: two lie over each other" if any(a[1] > b[0] for a, b in pairwise(found)) else ""


def _times(one: Window) -> int:
    return math.ceil((one.until_ms - one.from_ms) / one.every_ms) if one.every_ms else 1


Span = tuple[float, float]  # Unix ms


def spans(windows: Iterable[Window]) -> list[Span]:
    """All times at which windows hold, in order."""
    return sorted(
        (one.from_ms + turn * one.every_ms, one.to_ms + turn * one.every_ms)
        for one in windows
        for turn in range(_times(one))
    )


# Commands of the fleet's group
# ---------------------------------------------------------------------------------------


class SetCapacity(Command, frozen=True, kw_only=True, tag="Capacity"):
    """What the fleet can carry, units a second; `reserve`: the part kept for losses; `floor`: units a
    second for all others; `halls`: capacity of each, where it is known."""

    units: float
    reserve: float
    floor: float
    halls: dict[str, float] = msgspec.field(default_factory=dict)

    def validate(self) -> str:
        if not 0.0 <= self.units <= HIGHEST or not 0.0 <= self.floor <= HIGHEST:
            return "units: expected 0 to 1e9, and floor as well"
        if len(self.halls) > 64 or not all(0.0 <= one <= HIGHEST for one in self.halls.values()):
            return "halls: expected 64 at the most, each 0 to 1e9"
        return "" if 0.0 <= self.reserve < 1.0 else f"reserve: expected 0 to below 1, got {self.reserve!r}"


class ProposeContract(Command, frozen=True, kw_only=True, tag="Propose"):
    """A contract under a name of its own.  Gives its facts, or NoRoom with what would fit and when."""

    contract: str
    terms: ContractTerms

    def validate(self) -> str:
        return _named(self.contract) or self.terms.validate()


class ChangeContract(Command, frozen=True, kw_only=True, tag="Change"):
    """Other terms from one moment over all gateways.  The tenant stays."""

    contract: str
    terms: ContractTerms
    holds_from_ms: float

    def validate(self) -> str:
        if not 0.0 < self.holds_from_ms < math.inf:
            return "holds_from_ms: expected a moment, Unix ms"
        return _named(self.contract) or self.terms.validate()


class CancelContract(Command, frozen=True, kw_only=True, tag="CancelContract"):
    """Take a contract back, half used or not: it holds for two lives of a lease yet, then its room is
    free."""

    contract: str


class VersionDrained(Command, frozen=True, kw_only=True, tag="Told"):
    """The tenant's group holds to that version, and no lease of one before is left."""

    contract: str
    version: int

    def validate(self) -> str:
        return _counted("version", self.version)


class ReportShortfall(Command, frozen=True, kw_only=True, tag="Short"):
    """Units within the contract that were not served at one gateway, by cause: its total since it began to
    count, so that a repeat adds nothing."""

    once: ClassVar[bool] = False

    contract: str
    by: str
    cause: str
    units: float
    since_ms: float

    def validate(self) -> str:
        if not 0 < len(self.by) <= 200 or not 0 < len(self.cause) <= 40:
            return "by: expected a name, and a cause"
        return (
            ""
            if 0.0 < self.units < math.inf and 0.0 <= self.since_ms < math.inf
            else "units: expected above 0"
        )


class AdvanceContracts(Command, frozen=True, kw_only=True, tag="Pass"):
    """Time has gone on: contracts go on by their table."""

    once: ClassVar[bool] = False


class ReadContracts(Command, frozen=True, kw_only=True, tag="ContractsRead"):
    """All contracts, for operators: state, terms, units short; and the room that is left now."""

    reads: ClassVar[bool] = True


class PollContracts(Command, frozen=True, kw_only=True, tag="ContractsKnown"):
    """What a gateway has to know of contracts; nothing but the number where it has that already."""

    reads: ClassVar[bool] = True

    have: int = -1

    def validate(self) -> str:
        return _counted("have", self.have + 1)


# Commands of a tenant's group
# ----------------------------------------------------------------------------------------


class _OfTenant(Command, frozen=True, kw_only=True):
    tenant: str
    contract: str

    def key(self) -> str:
        return f"t:{self.tenant}"


class OpenContract(_OfTenant, frozen=True, kw_only=True, tag="Open"):
    """Hold to a version from its moment on (a first one: at once)."""

    version: int
    rate: float
    burst: float
    times: tuple[Span, ...]
    holds_from_ms: float

    def validate(self) -> str:
        good = 1 <= self.version < MOST_NUMBER and 0.0 < self.rate <= HIGHEST and 0.0 <= self.burst <= HIGHEST
        return "" if good and len(self.times) <= MOST_SPANS else "version: out of bounds"


class RequestLease(_OfTenant, frozen=True, kw_only=True, tag="Lease"):
    """Renew, shrink, grow or give back a part of a contract's rate and burst: see
    `badgeryoke.cluster.leases.lease_pool.Divided.ask`."""

    once: ClassVar[bool] = False  # its number states the order; the last answer is kept for a repeat

    holder: MemberId
    number: int
    keep: float
    wish: float
    room: float
    hold: float = 0.0
    need: float = 0.0
    soft: bool = False
    least: float = 0.0
    pulls: bool = False
    process: str = ""  # of the holder; and the order of its calls: one that comes behind a later one is stale
    order: int = 0

    def validate(self) -> str:
        figures = (self.keep, self.wish, self.room, self.hold, self.need, self.least)
        if not all(0.0 <= one <= HIGHEST for one in figures):
            return "keep: expected 0 to 1e9, and the other figures as well"
        if said := _counted("number", self.number) or _counted("order", self.order):
            return said
        return "" if 0 < len(self.holder) <= 200 and len(self.process) <= 64 else "holder: expected a name"


class SwitchVersion(_OfTenant, frozen=True, kw_only=True, tag="TurnFloor"):
    """The moment of a version has come, though nobody asks for a part."""

    once: ClassVar[bool] = False


class ReportUsage(_OfTenant, frozen=True, kw_only=True, tag="Used"):
    """What was asked for within a contract at one gateway and what of that was drawn, in slices of the
    group's time (number, units, units).  A slice told again takes the place of the same one."""

    once: ClassVar[bool] = False

    by: str
    slices: tuple[tuple[int, float, float], ...]

    def validate(self) -> str:
        good = all(
            0 <= at <= 1e12 and 0.0 <= asked <= HIGHEST and 0.0 <= drawn <= HIGHEST
            for at, asked, drawn in self.slices
        )
        return (
            ""
            if good and len(self.slices) <= MOST_TOLD and 0 < len(self.by) <= 200
            else "slices: out of bounds"
        )


class ReleaseLease(_OfTenant, frozen=True, kw_only=True, tag="EndLease"):
    """A lease is over by the leader's clock, and so by its holder's."""

    once: ClassVar[bool] = False  # its number is given once

    holder: MemberId
    number: int

    def validate(self) -> str:
        return _counted("number", self.number)


FLEET_COMMANDS: tuple[type[Command], ...] = (
    SetCapacity,
    ProposeContract,
    ChangeContract,
    CancelContract,
    VersionDrained,
    ReportShortfall,
    AdvanceContracts,
    ReadContracts,
    PollContracts,
)
TENANT_COMMANDS: tuple[type[Command], ...] = (
    OpenContract,
    RequestLease,
    ReportUsage,
    ReleaseLease,
    SwitchVersion,
)
COMMANDS: tuple[type[Command], ...] = FLEET_COMMANDS + TENANT_COMMANDS


def _counted(key: str, number: int) -> str:
    return "" if 0 <= number < MOST_NUMBER else f"{key}: expected 0 to below 2^53"


def _named(contract: str) -> str:
    return (
        "" if NAME.fullmatch(contract) else "contract: expected 1 to 64 of letters, digits, '.', '_' and '-'"
    )


# Admission
# -----------------------------------------------------------------------------------------------------------

Piece = tuple[float, float, float]  # from, to, units a second


@dataclass(slots=True)
class ContractVersion:
    """Terms from a moment on.  `times`: when its windows hold; none for a cancelling."""

    number: int
    terms: ContractTerms
    times: list[Span]
    holds_from: float


@dataclass(slots=True)
class Contract:
    """One contract.  `versions`: the one in force, and one that is coming or whose leases are not all
    moved to yet."""

    name: str
    versions: list[ContractVersion]
    state: ContractState = ContractState.PROPOSED
    told: int = 0  # the newest version that the tenant's group holds to
    cancelled: bool = False
    short: dict[str, dict[str, float]] = field(default_factory=dict)  # cause -> reporter -> units
    since_ms: float = 0.0  # of the first unit short
    last_short_ms: float = 0.0

    def step(self, step: ContractEvent) -> bool:
        """Go on by the table; False where the table has no such step."""
        new = TRANSITIONS.get((self.state, step))
        self.state = new or self.state
        return new is not None

    @property
    def newest(self) -> ContractVersion:
        """What holds, or will."""
        return self.versions[-1]

    def at(self, at_ms: float) -> ContractVersion:
        """The version whose windows hold at a moment."""
        return self.newest if at_ms >= self.newest.holds_from else self.versions[0]

    def pieces(self, tail: float) -> list[Piece]:
        """What it takes of the capacity: while two versions are about, the dearer at every moment."""
        found = [[(begin, end + tail, one.terms.rate) for begin, end in one.times] for one in self.versions]
        if len(found) == 1:
            return _merged([], found[0])
        later = self.newest.holds_from
        return _merged(
            found[0], [(max(begin, later), end, rate) for begin, end, rate in found[1] if end > later]
        )


def _merged(one: list[Piece], two: list[Piece]) -> list[Piece]:
    """The higher of two at every moment, without a piece that counts twice."""
    marks = sorted({at for begin, end, _ in one + two for at in (begin, end)})
    line = [max(_height(one, at), _height(two, at)) for at in marks]
    return [
        (begin, end, rate) for (begin, end), rate in zip(pairwise(marks), line, strict=False) if rate > 0.0
    ]


def _height(pieces: list[Piece], at: float) -> float:
    """Of pieces in order of their begin, of which only neighbours overlap."""
    found = bisect_right(pieces, at, key=lambda one: one[0])
    return max((one[2] for one in pieces[max(found - 2, 0) : found] if one[1] > at), default=0.0)


class CapacityProfile:
    """The sum of pieces over time."""

    def __init__(self, pieces: Iterable[Piece]) -> None:
        steps = sorted((at, by) for begin, end, rate in pieces for at, by in ((begin, rate), (end, -rate)))
        self.marks: list[float] = []
        self.after: list[float] = []
        height = 0.0
        for at, by in steps:
            height += by
            if self.marks and self.marks[-1] == at:
                self.after[-1] = height
            else:
                self.marks.append(at)
                self.after.append(height)

    def peak(self, begin: float, end: float) -> float:
        """The highest at any moment of [begin, end)."""
        first = bisect_right(self.marks, begin)
        last = max(bisect_right(self.marks, math.nextafter(end, -math.inf)), first)
        return max([self.after[first - 1] if first else 0.0, *self.after[first:last]], default=0.0)


class ContractRegistry:
    """The part of the fleet's group that admits contracts and follows them to their end."""

    def __init__(self, timings: Timings, rules: Invariants) -> None:
        self._timings, self._rules = timings, rules
        self.held: dict[str, Contract] = {}
        self.capacity, self.reserve, self.floor = 0.0, 0.0, 0.0
        self.halls: dict[str, float] = {}
        self.made = 0  # versions; a number is given once, whatever contract bears a name
        self.stated = 0  # times that a capacity was stated
        self.known = 0  # changes of what gateways have to know
        self._asked: dict[
            str, tuple[float, float]
        ] = {}  # of this leader alone: when to ask again, and the pause
        self._booked: dict[
            str, float
        ] = {}  # what was promised already when less capacity was stated; by hall

    @property
    def tail(self) -> float:
        """So long behind a window's end a lease may yet be in use."""
        return self._timings.outlast()

    def apply(self, at_ms: float, command: Any) -> ApplyResult:
        """See badgeryoke.cluster.state_machine.part."""
        if said := command.validate():
            return ApplyResult(error=InvalidCall(getattr(command, "contract", "") or "capacity", said))
        for one in self.held.values():
            self._move(at_ms, one)
        match command:
            case ProposeContract():
                result = self._propose(at_ms, command)
            case ChangeContract():
                result = self._change(at_ms, command.contract, command.terms, command.holds_from_ms)
            case CancelContract():
                result = self._change(at_ms, command.contract, None, at_ms + 2 * self.tail)
            case VersionDrained():
                result = self._told(at_ms, command)
            case ReportShortfall():
                result = self._short(at_ms, command)
            case SetCapacity():
                result = self._capacity(at_ms, command)
            case AdvanceContracts():
                self._tidy()
                return ApplyResult()
            case _:
                return ApplyResult(
                    error=InvalidCall("contracts", f"unknown command {command.command_name()}")
                )
        if result.error is None and not isinstance(command, ReportShortfall):
            self._check(at_ms)
        return result

    def query(self, command: Any) -> ApplyResult:
        """See badgeryoke.cluster.state_machine.part."""
        if isinstance(command, PollContracts):
            return ApplyResult(
                {"known": self.known}
                if command.have == self.known
                else {
                    "known": self.known,
                    "contracts": [
                        self._facts(one)
                        for one in self.held.values()
                        if one.state not in (S.SETTLED, S.REFUSED)
                    ],
                }
            )
        return ApplyResult(
            {
                "capacity": self.capacity,
                "reserve": self.reserve,
                "floor": self.floor,
                "contracts": {one.name: self._told_of(one) for one in self.held.values()},
            }
        )

    def available(self, hall: str = "") -> float:
        """What may be promised, units a second: in all, or in a hall (whose reserve and floor are its
        part)."""
        if not hall:
            return max(self.capacity * (1.0 - self.reserve) - self.floor, 0.0)
        part = self.halls.get(hall, self.capacity) / self.capacity if self.capacity else 0.0
        return self.available() * min(part, 1.0)

    def promised(self, begin: float, end: float) -> float:
        """The most that contracts take at any moment of a time (Unix ms), units a second."""
        return self._line().peak(begin, end)

    def _propose(self, at_ms: float, command: ProposeContract) -> ApplyResult:
        terms, known = command.terms, self.held.get(command.contract)
        if known is not None:
            same = known.versions[0].terms == terms
            return ApplyResult(
                self._told_of(known), None if same else WrongState(command.contract, "another has that name")
            )
        times = spans(terms.windows)
        if times[0][0] < at_ms:
            late = at_ms - times[0][0]
            return ApplyResult(
                error=InvalidCall(command.contract, f"windows: from_ms: {late:.0f} ms in the past")
            )
        if (full := self._full(terms, len(times))) is not None:
            return ApplyResult(error=full)
        made = Contract(command.contract, [ContractVersion(self.made + 1, terms, times, 0.0)])
        refused = self._refuse(at_ms, made.name, made.pieces(self.tail), terms)
        made.step(E.ADMIT if refused is None else E.REFUSE)
        if refused is not None:
            return ApplyResult(error=refused)
        self.held[made.name] = made
        self.made += 1
        self.known += 1
        self._move(at_ms, made)
        return ApplyResult(self._told_of(made))

    def _full(self, terms: ContractTerms, times: int) -> AnyError | None:
        self._tidy()
        live = [one for one in self.held.values() if one.state is not S.SETTLED]
        if (
            len(live) >= MOST_CONTRACTS
            or sum(one.newest.terms.tenant == terms.tenant for one in live) >= MOST_OF_TENANT
        ):
            return Overloaded(
                terms.tenant, f"{MOST_CONTRACTS} in all, or {MOST_OF_TENANT} of a tenant, are held already"
            )
        if sum(len(v.times) for one in live for v in one.versions) + times > MOST_SPANS_IN_ALL:
            return Overloaded(terms.tenant, f"windows: all contracts' come to more than {MOST_SPANS_IN_ALL}")
        return None

    def _refuse(
        self, at_ms: float, name: str, pieces: list[Piece], terms: ContractTerms
    ) -> InsufficientCapacity | None:
        """Why it does not fit, or None.  `pieces`: all that it would take, beside all others."""
        fits = math.inf
        for hall in ("", terms.hall) if terms.hall else ("",):
            others = self._line(hall, without=name)
            free = self.available(hall)
            ahead = [(max(begin, at_ms), end, rate) for begin, end, rate in pieces if end > at_ms]
            if any(others.peak(begin, end) + rate > free + EDGE for begin, end, rate in ahead):
                fits = min(fits, max(free - max(others.peak(begin, end) for begin, end, _ in ahead), 0.0))
        if fits is math.inf:
            return None
        return InsufficientCapacity(
            name,
            f"rate: {terms.rate:g} units a second are asked for",
            fits=fits,
            fits_from_ms=self._earliest(at_ms, name, pieces, terms),
        )

    def _earliest(self, at_ms: float, name: str, pieces: list[Piece], terms: ContractTerms) -> float:
        """From when on all of it would fit; it can only become so where something else ends."""
        halls = ("", terms.hall) if terms.hall else ("",)
        lines = [(self._line(hall, without=name), self.available(hall)) for hall in halls]
        begin = pieces[0][0]
        ends = sorted(
            {
                at
                for line, _ in lines
                for at, before, after in zip(line.marks, [0.0, *line.after], line.after, strict=False)
                if after < before and at > begin
            }
        )
        for at in ends[:MOST_TRIES]:
            shift = at - begin
            if all(
                line.peak(a + shift, b + shift) + rate <= free + EDGE
                for line, free in lines
                for a, b, rate in pieces
            ):
                return at
        return 0.0

    def _line(self, hall: str = "", without: str = "") -> CapacityProfile:
        return CapacityProfile(
            piece
            for one in self.held.values()
            if one.name != without
            and one.state not in (S.SETTLED, S.REFUSED)
            and (not hall or any(v.terms.hall == hall for v in one.versions))
            for piece in one.pieces(self.tail)
        )

    def _check(self, at_ms: float) -> None:
        """What is promised fits from here on, but for what stood already when less capacity was stated."""
        for hall in ("", *self.halls):
            peak, free = self._line(hall).peak(at_ms, math.inf), self.available(hall)
            booked = self._booked.get(hall, 0.0)
            said = f"{peak:g} units a second promised, {free:g} may be"
            self._rules.check(Rule.CONTRACTS_FIT, peak <= max(free, booked) + 1e-6, lambda said=said: said)  # type: ignore
            self._booked[hall] = min(booked, peak) if peak > free else 0.0

    def _change(self, at_ms: float, name: str, terms: ContractTerms | None, holds_from: float) -> ApplyResult:
        found = self.held.get(name)
        if found is None:
            return ApplyResult(error=NotFound(name, "no such contract is known"))
        old = found.newest
        if found.cancelled or found.state in (S.SETTLED, S.REFUSED) or old.times[-1][1] <= at_ms:
            return ApplyResult(
                error=WrongState(name, f"it is {'cancelled' if found.cancelled else found.state.value}")
            )
        if len(found.versions) > 1:
            return ApplyResult(error=WrongState(name, "the change before is not through yet"))
        if holds_from < at_ms + 2 * self.tail - EDGE:
            return ApplyResult(
                error=InvalidCall(name, f"holds_from_ms: expected {2 * self.tail:.0f} ms ahead at the least")
            )
        if terms is not None and (terms.tenant, terms.hall) != (old.terms.tenant, old.terms.hall):
            return ApplyResult(error=InvalidCall(name, "tenant: it stays, and the hall as well"))
        times = spans(terms.windows) if terms is not None else []
        if terms is not None and times[-1][1] <= holds_from:
            return ApplyResult(
                error=InvalidCall(name, "windows: expected one that ends behind holds_from_ms")
            )
        coming = ContractVersion(self.made + 1, terms or old.terms, times, holds_from)
        before = found.pieces(self.tail)
        more = [
            one
            for one in Contract(name, [old, coming]).pieces(self.tail)
            if one[2] > _height(before, one[0]) + EDGE
        ]
        if terms is not None and more and (refused := self._refuse(at_ms, name, more, terms)) is not None:
            return ApplyResult(error=refused)
        found.versions.append(coming)
        self.made += 1
        self.known += 1
        if terms is None:
            found.cancelled = True
            found.step(E.CANCEL)
        return ApplyResult(self._told_of(found))

    def _told(self, at_ms: float, command: VersionDrained) -> ApplyResult:
        found = self.held.get(command.contract)
        if found is None:
            return ApplyResult(error=NotFound(command.contract, "no such contract is known"))
        if command.version > found.newest.number:
            return ApplyResult(
                error=WrongState(command.contract, f"version {command.version} is not known here")
            )
        if command.version > found.told:
            found.told = command.version
            if len(found.versions) > 1 and command.version == found.newest.number:
                del found.versions[0]
            self.known += 1
            self._move(at_ms, found)
        return ApplyResult()

    def _short(self, at_ms: float, command: ReportShortfall) -> ApplyResult:
        found = self.held.get(command.contract)
        if found is None:
            return ApplyResult(error=NotFound(command.contract, "no such contract is known"))
        told = found.short.setdefault(command.cause, {})
        more = command.units - told.get(command.by, 0.0)
        if command.by not in told and sum(map(len, found.short.values())) >= MOST_REPORTERS:
            return ApplyResult(
                error=Overloaded(command.contract, f"{MOST_REPORTERS} reports are counted already")
            )
        if more <= 0.0:
            return ApplyResult()
        told[command.by] = command.units
        found.since_ms = min(found.since_ms or math.inf, command.since_ms)
        found.last_short_ms = at_ms
        found.step(E.SHORT)
        return ApplyResult()

    def _capacity(self, at_ms: float, command: SetCapacity) -> ApplyResult:
        self.capacity, self.reserve, self.floor = command.units, command.reserve, command.floor
        self.halls = dict(sorted(command.halls.items()))
        self.stated += 1
        # What was promised stays promised: it is for `badgeryoke.cluster.reservations.priority_shedding` to
        # say who goes first, and nothing new is admitted.
        self._booked = {hall: self._line(hall).peak(at_ms, math.inf) for hall in ("", *self.halls)}
        return ApplyResult(
            {"available": self.available(), "over": max(self._booked[""] - self.available(), 0.0)}
        )

    def _move(self, at_ms: float, one: Contract) -> None:
        """Go on by time, as far as it has come."""
        while self._step(at_ms, one):
            pass

    def _step(self, at_ms: float, one: Contract) -> bool:
        step = self._due(at_ms, one)
        return step is not None and one.step(step)

    def _due(self, at_ms: float, one: Contract) -> ContractEvent | None:
        """The step that time asks for, if the table has one."""
        times = one.at(at_ms).times
        turn = bisect_right(times, at_ms, key=lambda span: span[1])
        now = times[turn] if turn < len(times) else None  # the window in force, or the next
        if one.state is S.ADMITTED:
            if now is None:
                return E.END
            return E.ARM if one.told and at_ms >= now[0] - ARM_MS else None
        if one.state in (S.ARMED, S.ACTIVE, S.BREACHED):
            if now is None or at_ms < now[0] - ARM_MS:
                return E.END
            if one.state is S.ARMED:
                return E.BEGIN if at_ms >= now[0] else None
            if at_ms < now[0]:
                return E.END
            return E.CURE if one.state is S.BREACHED and at_ms >= one.last_short_ms + CURED_MS else None
        if one.state is S.CLOSING:
            if one.cancelled:
                return E.SETTLE if one.told == one.newest.number else None
            if now is not None:
                last = times[turn - 1][1] + self.tail if turn else at_ms  # until its last lease is over
                return E.AGAIN if at_ms >= min(last, now[0] - EARLY_MS) else None
            if len(one.versions) == 1 and at_ms >= (times[-1][1] if times else 0.0) + self.tail:
                return E.SETTLE
        return None

    def _tidy(self) -> None:
        """Forget the oldest of the settled."""
        settled = [name for name, one in self.held.items() if one.state is S.SETTLED]
        for name in settled[: max(len(settled) - MOST_SETTLED, 0)]:
            del self.held[name]

    def leader_tasks(self, view: LeaderView) -> list[Command]:
        """Let the tenants' groups know of versions, time go on, and the capacity be what this gateway
        knows."""
        made: list[Command] = []
        units = view.load.get("capacity", 0.0)
        if units > 0.0 and abs(units - self.capacity) > 0.02 * self.capacity:
            reserve = view.load.get("reserve", 1.0 / max(len(view.zones), 2))
            made.append(
                SetCapacity(
                    id=f"capacity/{self.stated}",
                    units=units,
                    reserve=reserve,
                    floor=view.load.get("floor", OTHERS_FLOOR * units),
                )
            )
        if any(self._due(view.wall, one) is not None for one in self.held.values()):
            made.append(AdvanceContracts(id="pass"))
        wanted = {
            f"open/{one.name}/{version.number}": (one.name, version)
            for one in self.held.values()
            if one.state not in (S.SETTLED, S.REFUSED)
            for version in one.versions
            if version.number > one.told
        }
        for asked in due(self._asked, wanted, view.now):
            name, last = wanted[asked]
            made.append(
                OpenContract(
                    id=asked,
                    tenant=last.terms.tenant,
                    contract=name,
                    version=last.number,
                    rate=last.terms.rate,
                    burst=last.terms.burst,
                    times=tuple(last.times),
                    holds_from_ms=last.holds_from,
                )
            )
        return made

    def seen(self, now: float) -> None:
        """Nothing here ends by this machine's clock."""

    def _facts(self, one: Contract) -> dict[str, Any]:
        last = one.newest.terms
        return {
            "contract": one.name,
            "tenant": last.tenant,
            "rank": last.rank,
            "hall": last.hall,
            "surplus": last.surplus,
            "told": one.told,
            "versions": [
                {
                    "version": v.number,
                    "customers": list(v.terms.customers),
                    "rate": v.terms.rate,
                    "burst": v.terms.burst,
                    "times": [list(span) for span in v.times],
                    "holds_from_ms": v.holds_from,
                }
                for v in one.versions
            ],
        }

    def _told_of(self, one: Contract) -> dict[str, Any]:
        return {
            "contract": one.name,
            "state": one.state.value,
            "version": one.newest.number,
            "told": one.told,
            "holds_from_ms": one.newest.holds_from,
            "terms": msgspec.to_builtins(one.newest.terms),
            "cancelled": one.cancelled,
            "since_ms": one.since_ms,
            "short": {cause: sum(by.values()) for cause, by in one.short.items()},
        }

    def dump(self) -> Any:
        """See badgeryoke.cluster.state_machine.part."""
        figures, counts = [self.capacity, self.reserve, self.floor], [self.made, self.stated, self.known]
        return [
            figures,
            self.halls,
            counts,
            self._booked,
            [
                [
                    one.name,
                    one.state.value,
                    one.told,
                    one.cancelled,
                    one.short,
                    one.since_ms,
                    one.last_short_ms,
                    [[v.number, msgspec.to_builtins(v.terms), v.times, v.holds_from] for v in one.versions],
                ]
                for one in self.held.values()
            ],
        ]

    def load(self, raw: Any) -> None:
        """See badgeryoke.cluster.state_machine.part."""
        figures, self.halls, counts, self._booked, held = raw
        self.capacity, self.reserve, self.floor = figures
        self.made, self.stated, self.known = counts
        self.held, self._asked = {}, {}
        for name, state, told, cancelled, short, since, last, versions in held:
            self.held[name] = Contract(
                name,
                [
                    ContractVersion(
                        number, msgspec.convert(terms, ContractTerms), [(a, b) for a, b in times], holds_from
                    )
                    for number, terms, times, holds_from in versions
                ],
                ContractState(state),
                told,
                cancelled,
                short,
                since,
                last,
            )


def due(asked: dict[str, tuple[float, float]], wanted: Iterable[str], now: float) -> Iterator[str]:
    """Which askings of another group are due, each again after a pause that doubles; what is not wanted is
    forgotten."""
    kept = {one: asked.get(one, (now, OPEN_MS)) for one in wanted}
    asked.clear()
    for one, (at, pause) in kept.items():
        if now >= at:
            yield one
            asked[one] = now + pause, min(2 * pause, AGAIN_MS)
        else:
            asked[one] = at, pause


# The tenant's group
# --------------------------------------------------------------------------------------------------


@dataclass(slots=True)
class UsageTally:
    """What was due to a tenant and what it drew: a bucket of the whole rate and burst, over all gateways
    together, that serves units, of whatever requests.  Settled by busy times, each up to a rest: within
    one, what was due may be drawn later, from buckets that others had not used up, by the burst at the
    most and what waits."""

    told: dict[int, dict[str, tuple[float, float]]] = field(default_factory=dict)  # not compared yet
    due: dict[int, float] = field(default_factory=dict)  # of slices that were, COARSE of them together
    level: float = -1.0
    last: int = 0
    owed: float = 0.0  # due and not drawn, in this busy time
    gone: float = 0.0  # of that, counted short already
    short: float = 0.0
    begun: int = 0  # the first slice of this busy time

    def note(self, by: str, slices: Iterable[tuple[int, float, float]], rate: float, newest: int) -> None:
        """Take in what one gateway tells.  Late, it is due as far as the rate of that time was not asked
        for elsewhere; what it drew in a busy time that is not over was not there for others, who were due
        it in its place."""
        owed = 0.0
        for at, asked, drawn in slices:
            if at <= self.last:
                if at > newest - KEPT_SLICES:
                    bin_ = at // COARSE
                    before = self.due.get(bin_, 0.0)
                    late = min(asked, max(rate * COARSE * SLICE_MS / 1000.0 - before, 0.0))
                    self.due[bin_] = before + late
                    if at >= self.begun:
                        self.owed += late - drawn
                    else:
                        owed += late - drawn
            elif at <= newest + AHEAD_SLICES:
                self.told.setdefault(at, {})[by] = asked, drawn
        self.short += max(owed, 0.0)

    def settle(self, upto: int, rate: float, burst: float) -> None:
        """Compare slices up to there."""
        if len(self.told) > MOST_OPEN:
            upto = max(upto, sorted(self.told)[MOST_OPEN // 2])
        for at in sorted(at for at in self.told if at <= upto):
            if (at - self.last) * SLICE_MS > REST_MS:
                self._rest()
                self.begun = at
            filled = rate * SLICE_MS * (at - self.last) / 1000.0
            self.level = burst if self.level < 0.0 else min(self.level + filled, burst)
            self.last = at
            for asked, drawn in self.told.pop(at).values():
                due = min(asked, self.level)
                self.level = max(self.level - due, 0.0)
                self.owed += due - drawn
                self.due[at // COARSE] = self.due.get(at // COARSE, 0.0) + due
            never = self.owed - burst - rate * LONGEST_WAIT_MS / 1000.0
            if never > self.gone:
                self.short, self.gone = self.short + never - self.gone, never
        if (upto - self.last) * SLICE_MS > REST_MS:
            self._rest()
        for bin_ in [bin_ for bin_ in self.due if bin_ < (upto - KEPT_SLICES) // COARSE]:
            del self.due[bin_]

    def _rest(self) -> None:
        """Nothing was asked for: what is owed now was never drawn."""
        self.short += max(self.owed - self.gone, 0.0)
        self.owed = self.gone = 0.0
        self.begun = self.last + 1


@dataclass(slots=True)
class GuaranteedRate:
    """One contract as its tenant's group holds it."""

    tenant: str
    version: int
    rate: float
    times: list[Span]
    parts: LeasePool
    coming: OpenContract | None = None
    switch: int = 0  # the last lease's number when this version came into force
    answers: dict[MemberId, tuple[str, Any]] = field(
        default_factory=dict
    )  # the last call of each holder, for a repeat
    orders: dict[MemberId, dict[str, int]] = field(
        default_factory=dict
    )  # of calls taken: by process, the newest one last
    tally: UsageTally = field(default_factory=UsageTally)

    def stale(self, command: RequestLease) -> bool:
        """Whether a later call of that holder was taken already.  A holder that was forgotten, which is
        one that held nothing for longest, begins anew; so does the fifth process before this one, which no
        call outlives.  Order 0 is none."""
        if not command.order:
            return False
        known = self.orders.pop(command.holder, {})
        stale = command.process in known and (
            command.process != next(reversed(known)) or command.order <= known[command.process]
        )
        if not stale:
            known[command.process] = command.order
            if len(known) > MOST_PROCESSES:
                del known[next(iter(known))]
        self.orders[command.holder] = known
        if len(self.orders) > MOST_HOLDERS:
            del self.orders[next((who for who in self.orders if who not in self.parts.held), command.holder)]
        return stale

    def through(self) -> bool:
        """Whether no lease of a version before is left."""
        held = self.parts.held.values()
        return self.parts.granted() <= self.parts.aim + 1e-6 and all(one.number > self.switch for one in held)


class GuaranteedRates:
    """The part of a tenants' group that divides their contracts over the gateways."""

    def __init__(self, timings: Timings, rules: Invariants) -> None:
        self._timings, self._rules = timings, rules
        self.held: dict[str, GuaranteedRate] = {}
        # number of the last lease of any contract: one that comes back does not begin at 1 again
        self.last = 0
        self._told: dict[str, tuple[float, float]] = {}
        self._shorts: dict[str, tuple[float, float]] = {}
        self._fresh: set[str] = set()  # with leases that no clock has seen yet

    def apply(self, at_ms: float, command: Any) -> ApplyResult:
        """See badgeryoke.cluster.state_machine.part."""
        if said := command.validate():
            return ApplyResult(error=InvalidCall(command.contract, said))
        if isinstance(command, OpenContract):
            return self._open(at_ms, command)
        found = self.held.get(command.contract)
        if found is None:
            return ApplyResult(error=NotFound(command.contract, "no such contract is open here"))
        self._turn(at_ms, found)
        found.parts.accrue(at_ms)
        if isinstance(command, ReleaseLease):
            ended = found.parts.end(command.holder, command.number)
            if ended:
                found.answers.pop(command.holder, None)
            return ApplyResult(ended)
        if isinstance(command, RequestLease):
            return self._lease(at_ms, found, command)
        if isinstance(command, ReportUsage):
            newest = int(at_ms // SLICE_MS)
            found.tally.note(command.by, command.slices, found.rate, newest)
            found.tally.settle(newest - SETTLED_SLICES, found.rate, found.parts.depth)
            return ApplyResult()
        if isinstance(command, SwitchVersion):
            if found.tally.told or found.tally.owed:
                found.tally.settle(int(at_ms // SLICE_MS) - SETTLED_SLICES, found.rate, found.parts.depth)
            return ApplyResult(found.version)
        return ApplyResult(error=InvalidCall("floors", f"unknown command {command.command_name()}"))

    def _open(self, at_ms: float, command: OpenContract) -> ApplyResult:
        for name in [name for name, one in self.held.items() if self._past(at_ms, one)]:
            del self.held[name]
        found = self.held.get(command.contract)
        if found is None:
            if len(self.held) >= MOST_FLOORS:
                return ApplyResult(
                    error=Overloaded(command.contract, f"{MOST_FLOORS} contracts are open in this group")
                )
            found = self.held[command.contract] = GuaranteedRate(
                command.tenant, 0, 0.0, [], LeasePool(0.0, 0.0, even=False)
            )
        self._turn(at_ms, found)
        if command.version > found.version:
            if at_ms >= command.holds_from_ms:
                self._take(found, command)
            elif found.coming is None or command.version > found.coming.version:
                found.coming = command
        return ApplyResult(found.version)

    def _past(self, at_ms: float, one: GuaranteedRate) -> bool:
        """Whether the last window is over and the last lease as well."""
        last = one.times[-1][1] if one.times else 0.0
        return one.coming is None and not one.parts.held and at_ms > last + 10 * self._timings.outlast()

    def _turn(self, at_ms: float, one: GuaranteedRate) -> None:
        """A version that is coming holds from its moment."""
        if one.coming is not None and at_ms >= one.coming.holds_from_ms:
            self._take(one, one.coming)

    def _take(self, one: GuaranteedRate, opened: OpenContract) -> None:
        first = one.version == 0
        one.version, one.rate, one.times, one.tenant = (
            opened.version,
            opened.rate,
            list(opened.times),
            opened.tenant,
        )
        one.parts.resize(opened.rate if opened.times else 0.0, opened.burst)
        if first:
            one.parts.free = opened.burst
        if one.coming is not None and one.coming.version <= opened.version:
            one.coming = None
        one.switch = self.last

    def _lease(self, at_ms: float, found: GuaranteedRate, command: RequestLease) -> ApplyResult:
        known = found.answers.get(command.holder)
        if known is not None and known[0] == command.id:
            return ApplyResult(known[1])
        if found.stale(command):
            return ApplyResult(
                error=LeaseExpired(command.holder, "a later call of this holder was taken already")
            )
        span = next((span for span in found.times if span[0] - EARLY_MS <= at_ms < span[1]), None)
        # Outside of a window nothing is granted; what a holder says that it keeps counts until it is told
        # better.
        wish, soft = (min(command.wish, found.parts.aim), command.soft) if span is not None else (0.0, False)
        found.parts.last = self.last
        given = found.parts.ask(
            command.holder,
            command.number,
            command.keep,
            wish,
            command.room,
            self._rules,
            command.hold,
            command.need,
            soft,
            command.least,
            command.pulls,
        )
        if not isinstance(given, LeaseGrant):
            return ApplyResult(error=given)
        if given.number:
            self._rules.check(
                Rule.LEASE_ONCE,
                given.number > self.last,
                lambda: f"{command.contract}: lease {given.number} was given before",
            )
            self.last = given.number
            self._fresh.add(command.contract)
        until, then = self._until(found, span) if span is not None else (0.0, 0.0)
        value = {
            "number": given.number,
            "part": given.part,
            "room": given.room,
            "cap": given.cap,
            "fair": given.fair,
            "most": given.most,
            "lack": given.lack,
            "fair_cap": given.fair_cap,
            "spare": given.spare,
            "holders": given.holders,
            "version": found.version,
            "from_ms": span[0] if span is not None else 0.0,
            "until_ms": until,
            "then": then,
            "at_ms": at_ms,
            "free": found.parts.free,
        }
        if given.number:
            found.answers[command.holder] = command.id, value
        else:
            found.answers.pop(command.holder, None)
        return ApplyResult(value)

    @staticmethod
    def _until(found: GuaranteedRate, span: Span) -> tuple[float, float]:
        """The moment at which a lease changes by itself, and by what factor: a window's end, or a
        version's moment."""
        coming = found.coming
        if coming is None or coming.holds_from_ms >= span[1]:
            return span[1], 0.0
        at = coming.holds_from_ms
        on = any(begin <= at < end for begin, end in coming.times)
        return at, min(coming.rate / found.rate, 1.0) if on else 0.0

    def leader_tasks(self, view: LeaderView) -> list[Command]:
        """End what is over by this machine's clock; say which versions hold."""
        self.seen(view.now)
        made: list[Command] = [
            ReleaseLease(
                id=f"end/{name}/{number}", tenant=one.tenant, contract=name, holder=who, number=number
            )
            for name, one in self.held.items()
            for who, number in one.parts.over(view.now, self._timings.outlast(), view.lead_since)
        ]
        wanted = {
            f"told/{name}/{one.version}": (name, one)
            for name, one in self.held.items()
            if one.version and one.through()
        }
        made += [
            VersionDrained(id=asked, contract=wanted[asked][0], version=wanted[asked][1].version)
            for asked in due(self._told, wanted, view.now)
        ]
        for one in self.held.values():  # a version whose moment has come, though nobody asks for a part
            if one.coming is not None and view.wall >= one.coming.holds_from_ms:
                made.append(SwitchVersion(id="turn", tenant=one.tenant, contract=one.coming.contract))
        over = int((view.wall - REST_MS) // SLICE_MS) - SETTLED_SLICES
        made += [
            SwitchVersion(id="tally", tenant=one.tenant, contract=name)
            for name, one in self.held.items()
            if (one.tally.owed > EDGE and over > one.tally.last)
            or (one.tally.told and over > min(one.tally.told))
        ]
        shorts = {
            f"short/{name}/{one.tally.short:.3f}": (name, one)
            for name, one in self.held.items()
            if one.tally.short > EDGE
        }
        made += [
            ReportShortfall(
                id=asked,
                contract=shorts[asked][0],
                by="-",
                cause=NO_LEASE,
                units=shorts[asked][1].tally.short,
                since_ms=shorts[asked][1].tally.last * SLICE_MS,
            )
            for asked in due(self._shorts, shorts, view.now)
        ]
        return made

    def seen(self, now: float) -> None:
        """See badgeryoke.cluster.state_machine.part."""
        for name in self._fresh:
            if name in self.held:
                self.held[name].parts.seen(now)
        self._fresh.clear()

    def told(self) -> dict[str, Any]:
        """For operators: what is granted of each contract, to how many."""
        return {
            name: {
                "version": one.version,
                "rate": one.rate,
                "granted": one.parts.granted(),
                "holders": len(one.parts.held),
            }
            for name, one in self.held.items()
        }

    def dump(self) -> Any:
        """See badgeryoke.cluster.state_machine.part."""
        return [
            self.last,
            [
                [
                    name,
                    one.tenant,
                    one.version,
                    one.rate,
                    one.times,
                    one.parts.dump(),
                    msgspec.to_builtins(one.coming),
                    one.switch,
                    one.answers,
                    one.orders,
                    [
                        [[at, by] for at, by in one.tally.told.items()],
                        list(one.tally.due.items()),
                        one.tally.level,
                        one.tally.last,
                        one.tally.owed,
                        one.tally.gone,
                        one.tally.short,
                        one.tally.begun,
                    ],
                ]
                for name, one in self.held.items()
            ],
        ]

    def load(self, raw: Any) -> None:
        """See badgeryoke.cluster.state_machine.part."""
        self.last, self.held, self._told, self._shorts = raw[0], {}, {}, {}
        for name, tenant, version, rate, times, parts, coming, switch, answers, orders, tally in raw[1]:
            self.held[name] = GuaranteedRate(
                tenant,
                version,
                rate,
                [(a, b) for a, b in times],
                LeasePool.load(parts),
                msgspec.convert(coming, OpenContract | None),
                switch,
                {who: (asked, value) for who, (asked, value) in answers.items()},
                orders,
                UsageTally(
                    {at: {who: (asked, drawn) for who, (asked, drawn) in by.items()} for at, by in tally[0]},
                    dict(tally[1]),
                    *tally[2:],
                ),
            )
        self._fresh = set(self.held)
