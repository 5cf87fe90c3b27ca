"""A gateway's side of contracts: its part of each, held under a lease, and the bucket that requests draw
from.

It asks its tenant's group for a part, in the order of `badgeryoke.cluster.leases.lease_pool`: use less, give
back, be granted, use more.  A lease counts from before it was asked for first, by this machine's monotonic
clock, and ends by it, whatever was lost.  A window's begin and end, and the moment of another version, go by
`wall`.

Where the tenant's traffic comes in moves every few seconds, and within that second its rate has to be there.
So

- a gateway that the traffic left gives its part back after a few empty gaps between requests, not after an average;
- one that it came to asks at once, and goes on asking until it has its due;
- meanwhile it serves from its bucket: every gateway of the fleet keeps an even part of the contract's burst, without
  any rate; the one that was left fills its bucket meanwhile, and keeps that for the way back.

A part that the tenant does not use is lent to others here; it is theirs no more with the tenant's first
request here, and within `BUSY_MS` and a call where the tenant asks elsewhere.

Source: leases as in Gray and Cheriton, SOSP 1989; the bucket is GCRA's (ITU-T I.371) with its level kept.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from badgeryoke.cluster.errors import ClusterError, InvalidCall, LeaseExpired, NotFound
from badgeryoke.cluster.leases.lease_pool import EPSILON, STANDBY
from badgeryoke.cluster.messages import MemberId
from badgeryoke.cluster.reservations.commands import (
    MAX_SLICES_PER_REPORT,
    PollContracts,
    ReportShortfall,
    ReportUsage,
    RequestLease,
    UsageSlice,
)
from badgeryoke.cluster.reservations.contract import GRANT_AHEAD_MS
from badgeryoke.cluster.reservations.settlement import MAX_WAIT_MS, SLICE_MS, SLICES_PER_BIN
from badgeryoke.cluster.state_machine.part import ApplyResult, Command
from badgeryoke.cluster.timings import Timings

KNOWN_MS = 1000.0  # between two looks at what contracts there are; at 100 gateways and more 10 ms for each
BUSY_MS = 120.0  # between two askings of one that uses or lends its part while others hold one
URGENT_MS = 10.0  # the least between two askings, doubled while nothing comes, up to LACKS_MS
LACKS_MS = 20.0
PULL_MS = 40.0  # with requests waiting
PULL_MOST_MS = 100.0  # of a call, above which units for a request that waits would come too late
PULL_GAP_MS = 50.0  # mean gap between requests above which it holds no part of the rate
RETRY_MS = 50.0  # after a call without an outcome, doubled up to RETRY_MOST_MS
RETRY_MOST_MS = 400.0
REPEAT_MS = 300.0  # without any answer: the same call again, which is harmless
REPORT_MS = 1000.0  # between two reports of units short
USED_MS = 500.0  # between two reports of what was asked for and drawn
LATE_TURN_MS = 100.0  # behind its longest wait a request has had its turn, or will never
STAMPED = 0.25  # of a call's time has gone by when the group's leader stamps it with the group's time
FAST_MS, SLOW_MS = 150.0, 1000.0  # averages of what is asked for
QUIET_GAPS, GONE_GAPS = (
    3.0,
    6.0,
)  # mean gaps between requests after which it looks, and after which it gives up
GAP_LEAST_MS, GAP_MOST_MS = 25.0, 1000.0
YOUNG_MS = 40.0  # an average is over so long at the least
FELL = 0.7  # a wish below so much of the last one is told at once
SLIGHT = 0.1  # of the rate: above what others leave by so much, a part in use is given back at once
REST_MS = 1000.0  # without a request until a part is shared out evenly for lending
LOOK_MS = 250.0  # without a request while it looks often whether the traffic has come up elsewhere
QUEUE_MS = 200.0  # of a part: so much waits, as long as nothing is lacking
MOST_WAITING = 1024
FULL = 0.3  # of a bucket in use: units above go to others
PACED_MS = 30.0
LATE_MS = 60_000.0  # behind its last lease a contract that is settled is kept for what is yet to be told
MOST_SLICES = 2400  # kept until they are told; above, the older are taken together: ten minutes


@dataclass(frozen=True, slots=True)
class ReservedUnits:
    """Units drawn under a lease: the request goes before all others, and is refused for no quota and no
    load."""

    contract: str
    units: float
    rank: int


@dataclass(slots=True)
class _Demand:
    """What is asked for, units a second: two averages over time, right from the first request on."""

    fast: float = 0.0
    slow: float = 0.0
    count: float = 0.0
    at: float = 0.0
    born: float = 0.0
    last_ms: float = -math.inf
    requests: int = 0
    largest: float = 0.0  # request, of late: the bucket has to hold one
    mean_gap_ms: float = 0.0  # ms between requests, as of the last

    def note(self, now: float, units: float) -> None:
        if now > self.last_ms + max(
            REST_MS, 4.0 * self.mean_gap_ms
        ):  # what came before says nothing any more
            self.fast = self.slow = self.count = 0.0
            self.born = self.at = now
            self.requests = 0
        self._fade(now)
        self.fast, self.slow, self.count, self.last_ms = (
            self.fast + units,
            self.slow + units,
            self.count + 1.0,
            now,
        )
        self.requests += 1
        self.largest = max(units, 0.99 * self.largest)
        self.mean_gap_ms = SLOW_MS * self._whole(SLOW_MS) / self.count

    def _fade(self, now: float) -> None:
        since, self.at = now - self.at, now
        self.fast *= math.exp(-since / FAST_MS)
        self.slow *= math.exp(-since / SLOW_MS)
        self.count *= math.exp(-since / SLOW_MS)

    def has_stopped(self, now: float, gaps: float = 0.0) -> bool:
        """Nothing came for so many times the mean gap between requests."""
        gaps = gaps or GONE_GAPS
        return now - self.last_ms > min(
            max(gaps * self.mean_gap_ms, GAP_LEAST_MS * gaps / QUIET_GAPS), GAP_MOST_MS
        )

    def _whole(self, tau: float) -> float:
        """The part of an average's weight that lies behind its birth."""
        return 1.0 - math.exp(-max(self.at - self.born, YOUNG_MS) / tau)

    def rate(self, now: float) -> float:
        if self.requests < 2:  # one request alone tells nothing
            return 0.0
        self._fade(now)
        fast = self.fast / (FAST_MS * self._whole(FAST_MS)) * 1000.0
        slow = self.slow / (SLOW_MS * self._whole(SLOW_MS)) * 1000.0
        unit = self.slow / self.count
        spread = math.sqrt(max(slow, EPSILON) * unit * 1000.0 / (2.0 * FAST_MS))
        return slow if abs(fast - slow) <= 3.0 * spread else fast


@dataclass(slots=True)
class ContractLease:
    """What this gateway holds of one contract."""

    contract: str
    tenant: str
    rank: int
    facts: dict[str, Any]
    customers: list[tuple[float, frozenset[int]]]  # from a moment on
    lease_number: int = 0
    share: float = 0.0  # units a second
    depth: float = 0.0
    level: float = 0.0  # units in the bucket
    filled_ms: float = 0.0  # up to when
    expires_ms: float = -math.inf  # monotonic
    from_ms: float = 0.0  # Unix ms
    until_ms: float = 0.0
    later_fraction: float = 0.0
    fair_share: float = 0.0
    moved: float = -math.inf  # when `fair` last became another: the traffic is on its way here or elsewhere
    max_share: float = 0.0
    others_deficit: float = 0.0
    fair_depth: float = 0.0
    holders: int = 0
    wanted_rate: float = 0.0
    draws_per_request: bool = True  # requests are so few that units are drawn for each, and no part is held
    pending: RequestLease | None = None
    requested_ms: float = 0.0  # when `out` was made first
    retry_ms: float = math.inf  # when to make it again
    sent: float = -math.inf
    refused: int = 0  # times in a row that its lease was over
    pause: float = URGENT_MS
    # Until when, units, token, and the slice of time in which they were asked for.
    waiting: deque[tuple[float, float, Any, list[float]]] = field(default_factory=deque)
    demand: _Demand = field(default_factory=_Demand)
    paced: float = -math.inf
    slices: dict[int, list[float]] = field(default_factory=dict)  # of the group's time: asked for, drawn
    noted: list[float] = field(default_factory=lambda: [0.0, 0.0])  # the slice of the last request
    group: float = math.nan  # the group's time less `now`; by `wall` until it has answered
    doubt: float = math.inf  # ms by which that may be wrong, as of `stamped`
    stamped: float = 0.0
    call_ms: float = 0.0  # ms, of the last call for a part
    drawn: float = 0.0
    shortfalls: dict[str, float] = field(default_factory=dict)
    told: dict[str, float] = field(default_factory=dict)
    since: dict[str, float] = field(default_factory=dict)
    report: float = 0.0  # when slices are told next
    shorts: float = 0.0  # when units short are

    def times(self, wall: float) -> tuple[float, float] | None:
        """The window that holds now, or is about to."""
        for version in reversed(self.facts["versions"]):
            if wall >= version["holds_from_ms"]:
                for begin, end in version["times"]:
                    if begin - GRANT_AHEAD_MS <= wall < end:
                        return begin, end
                return None
        return None

    def rate(self, wall: float) -> float:
        """Of the contract, units a second."""
        return next(
            (float(v["rate"]) for v in reversed(self.facts["versions"]) if wall >= v["holds_from_ms"]),
            EPSILON,
        )

    def draw(self, now: float, wall: float, units: float, noted: list[float]) -> bool:
        """Take units from the bucket, if they are there.  `noted`: the slice in which they were asked for."""
        # Without its due part yet, the bucket has to last until that comes: no faster than the contract's
        # rate.
        paced = self.share <= 0.0 or self.lacks(self.wanted_rate)
        if self.level < units - EPSILON or (paced and now < self.paced):
            return False
        self.paced = max(self.paced, now - PACED_MS) + units / self.rate(wall) * 1000.0
        self.level -= units
        self.drawn += units
        noted[1] += units
        return True

    def note(self, now: float, wall: float, units: float) -> None:
        """So much is asked for; what comes of it is noted in the same slice of time."""
        self.demand.note(now, units)
        number = int(self.time(now, wall) // SLICE_MS)
        if number not in self.slices and len(self.slices) >= MOST_SLICES:
            self._coarse()
        self.noted = self.slices.setdefault(number, [0.0, 0.0])
        self.noted[0] += units

    def time(self, now: float, wall: float) -> float:
        """The group's, as far as it is known: all gateways' slices are put in one order."""
        return wall if math.isnan(self.group) else now + self.group

    def _coarse(self) -> None:
        """Cut off for long: take older slices together, but for those in which requests may wait yet; drop
        the oldest where that is not enough, which are told by nobody."""
        kept = self.slices
        recent = next(reversed(kept)) - int((MAX_WAIT_MS + LATE_TURN_MS) // SLICE_MS)
        self.slices = {}
        for number, (asked, drawn) in [item for item in kept.items() if item[0] <= recent]:
            one = self.slices.setdefault(number // SLICES_PER_BIN * SLICES_PER_BIN, [0.0, 0.0])
            one[0], one[1] = one[0] + asked, one[1] + drawn
        while len(self.slices) > MOST_SLICES * 3 // 4:
            del self.slices[next(iter(self.slices))]
        self.slices.update(item for item in kept.items() if item[0] > recent)

    def count(self, cause: str, units: float, wall: float) -> None:
        """Units short."""
        self.shortfalls[cause] = self.shortfalls.get(cause, 0.0) + units
        self.since.setdefault(cause, wall)

    def fits(self, units: float) -> bool:
        """Whether a request can have its turn in this bucket, or may in one that is yet to come."""
        return units <= max(self.depth, self.burst()) + EPSILON

    def queued(self) -> float:
        """Units that wait."""
        return float(sum(one[1] for one in self.waiting))

    def burst(self) -> float:
        """Of the contract, units."""
        return float(self.facts["versions"][-1]["burst"])

    def lacks(self, wish: float) -> bool:
        """Whether it has less than its due."""
        return (
            not self.draws_per_request and self.share < min(self.fair_share, wish) * (1.0 - SLIGHT) - EPSILON
        )

    def fill(self, now: float, wall: float) -> None:
        """Bring the bucket up to now; a part ends by itself with its lease, its window, or its version."""
        if now <= self.filled_ms:
            return
        end = min(now, self.expires_ms)
        begin = min(max(self.filled_ms, now + self.from_ms - wall), end)
        turn = min(max(now + self.until_ms - wall, begin), end)
        old = self.share
        if wall >= self.until_ms and self.until_ms < math.inf:
            self.share, self.depth = self.share * self.later_fraction, self.depth * self.later_fraction
            self.until_ms = math.inf  # it has turned; what holds from here on is asked for at once
        gained = (old * (turn - begin) + self.share * (end - turn)) / 1000.0
        self.level = min(self.level + max(gained, 0.0), self.depth)
        self.filled_ms = now
        if now >= self.expires_ms:
            self.share = self.depth = self.level = 0.0


def _nobody() -> None:
    """Nobody is to be woken."""


class ReservationClient:
    """All stakes of one gateway; a `badgeryoke.cluster.node_setup.Holder`.

    `me`: this member; `process`: drawn at each start, so that no id and no total of a process before is
    meant.
    """

    def __init__(
        self, me: MemberId, process: str, timings: Timings, hall: str = "", gateways: int = 1
    ) -> None:
        self._me, self._process, self._timings, self._hall = me, process, timings, hall
        self.poll_ms = max(KNOWN_MS, 10.0 * gateways)
        self.leases: dict[str, ContractLease] = {}
        self._of: dict[int, list[ContractLease]] = {}
        self._known, self._look = -1, -math.inf
        self._out: dict[str, Command] = {}  # one call of each key at a time
        self._made = 0
        self._ahead = 0.0  # wall less now
        self.due = math.inf  # it has a call to make by then, before it is polled again anyway
        self.wake: Callable[[], None] = _nobody  # told when `due` has come nearer by a request

    def poll(self, now: float, wall: float) -> list[Command]:
        """See badgeryoke.cluster.node_setup.Holder."""
        self._ahead, self.due = wall - now, math.inf
        made = list(self._calls(now, wall))
        for one in made:
            self._out[self._line(one)] = one
        return made

    @staticmethod
    def _line(command: Command) -> str:
        """Calls of one line are made one after the other; what is reported waits for no lease, and no
        lease for it."""
        return f"{command.key()}#" if isinstance(command, ReportUsage) else command.key()

    def _soon(self, now: float, one: ContractLease) -> None:
        """It asks for more as soon as it may, if it has too little."""
        if one.pending is None and (one.waiting or one.share <= 0.0 or one.lacks(one.wanted_rate)):
            due = max(one.sent + one.pause, now)
            if due < self.due - EPSILON:
                self.due = due
                self.wake()

    def _calls(self, now: float, wall: float) -> Iterator[Command]:
        busy = set(self._out)
        for one in sorted(self.leases.values(), key=lambda stake: stake.sent):
            again = (
                one.pending is not None and now >= one.retry_ms
            )  # the same call: nothing else of its key goes before it
            if (again or f"t:{one.tenant}" not in busy) and (
                lease := self._lease(now, wall, one)
            ) is not None:
                busy.add(lease.key())
                yield lease
        for one in self.leases.values():
            if (
                f"t:{one.tenant}#" not in busy
                and now >= one.report
                and (used := self._used(now, wall, one)) is not None
            ):
                one.report = now + (USED_MS if len(used.slices) < MAX_SLICES_PER_REPORT else 0.0)
                busy.add(self._line(used))
                yield used
        if "" in busy:
            return
        for one in self.leases.values():
            cause = next(
                (cause for cause, units in one.shortfalls.items() if units > one.told.get(cause, 0.0)), None
            )
            if cause is not None and now >= one.shorts:
                one.shorts = now + REPORT_MS
                yield ReportShortfall(
                    id=self._id(),
                    contract=one.contract,
                    reporter=f"{self._me}#{self._process}",
                    cause=cause,
                    units=one.shortfalls[cause],
                    since_ms=one.since[cause],
                )
                return
        if now >= self._look + self.poll_ms:
            self._look = now
            yield PollContracts(id=self._id(), known_revision=self._known)

    def _used(self, now: float, wall: float, one: ContractLease) -> ReportUsage | None:
        """What was asked for and drawn, in slices that are over and can change no more."""
        last = int((one.time(now, wall) - MAX_WAIT_MS - LATE_TURN_MS) // SLICE_MS)
        told = [
            UsageSlice(number, asked, drawn) for number, (asked, drawn) in one.slices.items() if number < last
        ][:MAX_SLICES_PER_REPORT]
        return (
            ReportUsage(
                id=self._id(),
                tenant=one.tenant,
                contract=one.contract,
                reporter=f"{self._me}#{self._process}",
                slices=tuple(told),
            )
            if told
            else None
        )

    def _id(self) -> str:
        self._made += 1
        return f"{self._me}#{self._process}/{self._made}"

    def _lease(self, now: float, wall: float, one: ContractLease) -> RequestLease | None:
        if one.pending is not None:
            if now < one.retry_ms:
                return None
            one.retry_ms = now + REPEAT_MS
            return one.pending
        one.fill(now, wall)
        times = one.times(wall)
        if times is None:
            if one.lease_number == 0 or (one.share <= 0.0 and now < one.sent + self._timings.lease_ms / 3.0):
                return None
            return self._ask(now, one, 0.0, 0.0, False, False)  # the window is over: give it back
        rate, quiet = one.rate(wall), now - one.demand.last_ms
        queued = one.queued()
        # The traffic seems to have gone: that is told at once where others have less than their due, else
        # after a rest.
        gone = quiet >= REST_MS or (
            one.demand.has_stopped(now) and (one.others_deficit > EPSILON or one.wanted_rate <= 0.0)
        )
        wish = min(queued if gone else max(one.demand.rate(now), queued), rate)
        one.draws_per_request = one.call_ms <= PULL_MOST_MS and (
            one.demand.requests < 3 or one.demand.mean_gap_ms > PULL_GAP_MS
        )
        others = one.holders > 1 or one.lease_number == 0
        uses = max(one.share, wish, one.fair_share) > EPSILON
        regular = BUSY_MS if others and uses else self._timings.lease_ms / 3.0
        turned = one.until_ms == math.inf and one.lease_number != 0  # its version or window has turned
        above = one.share - one.max_share
        moving = now < one.moved + LOOK_MS and wish * (1.0 - SLIGHT) > one.share
        urgent = (
            bool(one.waiting)
            or one.lacks(wish)
            or moving
            or one.wanted_rate < FELL * wish
            or turned
            or above > SLIGHT * rate
            or one.sent < one.demand.last_ms + REST_MS <= now
            or (one.demand.has_stopped(now, QUIET_GAPS) and quiet < LOOK_MS and one.share > EPSILON)
        )
        when = one.sent + (min(one.pause, regular) if urgent else regular)
        if now < when:
            self.due = min(self.due, when)
            return None
        # What nobody lacks stays where it was last used, and is shared out evenly only after a rest.
        keep = (
            one.fair_share
            if quiet >= REST_MS
            else one.share - max(above, 0.0) + max(wish - one.wanted_rate, 0.0)
        )
        return self._ask(
            now, one, min(one.share, max(keep, 0.0)), wish, quiet >= REST_MS or wish > 0.0, True, urgent
        )

    def _ask(
        self,
        now: float,
        one: ContractLease,
        keep: float,
        wish: float,
        soft: bool,
        stay: bool,
        urgent: bool = False,
    ) -> RequestLease:
        """Use less from here on, then say so."""
        hold = min(one.depth, max(one.fair_depth, min(one.level, one.queued()))) if stay else 0.0
        standby = one.burst() * STANDBY / (one.holders + 1)
        pulls = one.draws_per_request and wish > 0.0 and one.holders > 1
        least = one.demand.largest if stay and not pulls else 0.0
        room = max(one.level - hold, 0.0)
        if wish > 0.0 and one.holders > 1 and not one.waiting:
            # More comes in than is asked for here, and another may be short.
            room = max(room, one.level - max(FULL * hold if not pulls else 0.0, least), 0.0)
            hold = min(hold, one.depth - room)
        elif wish <= 0.0 and one.holders > 1 and one.call_ms <= PULL_MOST_MS:
            # The traffic is elsewhere, or nowhere: units are where anybody gets them soon, but for some to
            # begin with.
            hold = min(hold, standby)
            room = max(one.level - hold, 0.0)
        one.share, one.depth, one.level = (
            keep,
            hold,
            one.level - room,
        )  # from here on `level` is what it keeps
        changed = not one.wanted_rate <= 2.0 * wish <= 4.0 * one.wanted_rate
        one.pause = (
            URGENT_MS if changed or not urgent else min(1.5 * one.pause, PULL_MS if one.waiting else LACKS_MS)
        )
        one.wanted_rate, one.sent, one.requested_ms, one.retry_ms = wish, now, now, now + REPEAT_MS
        # Units that nobody holds are for whoever has requests waiting; or for one that is alone.
        need = (standby if wish <= 0.0 and stay else one.queued()) - one.level
        if stay and (one.holders == 1 or one.lease_number == 0):
            need = max(need, min(hold, one.fair_depth) - one.level)
        one.pending = RequestLease(
            id=self._id(),
            tenant=one.tenant,
            contract=one.contract,
            holder=self._me,
            lease_number=one.lease_number,
            kept_rate=keep,
            wanted_rate=wish,
            returned_units=room,
            kept_depth=hold,
            wanted_units=max(need, 0.0),
            takes_spare=soft,
            min_depth=least,
            draws_per_request=one.draws_per_request,
            process=self._process,
            sequence=self._made,
        )
        return one.pending

    def answered(self, now: float, command: Command, result: ApplyResult | ClusterError) -> None:
        """See badgeryoke.cluster.node_setup.Holder."""
        if self._out.get(self._line(command)) is command:
            del self._out[self._line(command)]
        error = result if isinstance(result, ClusterError) else result.error
        value: Any = result.value if isinstance(result, ApplyResult) else None
        if isinstance(command, PollContracts):
            if error is None and "contracts" in value:
                self._update_contracts(now, value["known"], value["contracts"])
        elif isinstance(command, ReportUsage):
            if error is None and command.contract in self.leases:
                for number, *_ in command.slices:
                    self.leases[command.contract].slices.pop(number, None)
        elif isinstance(command, ReportShortfall):
            if error is None and command.contract in self.leases:
                told = self.leases[command.contract].told
                told[command.cause] = max(told.get(command.cause, 0.0), command.units)
        elif isinstance(command, RequestLease):
            one = self.leases.get(command.contract)
            if one is not None and one.pending is not None and one.pending.id == command.id:
                self._lease_answered(now, one, error, value)
                self._soon(now, one)

    def _lease_answered(self, now: float, one: ContractLease, error: ClusterError | None, value: Any) -> None:
        one.fill(now, now + self._ahead)
        if error is None:
            one.pending, one.retry_ms = None, math.inf
            one.lease_number, one.refused = value["number"], 0
            if abs(value["fair"] - one.fair_share) > SLIGHT * one.rate(now + self._ahead):
                one.moved = now
            one.fair_share, one.max_share, one.fair_depth = value["fair"], value["most"], value["fair_cap"]
            one.holders, one.others_deficit = value["holders"], value["lack"]
            one.from_ms, one.until_ms, one.later_fraction = value["from_ms"], value["until_ms"], value["then"]
            one.expires_ms = one.requested_ms + self._timings.lease_ms
            one.call_ms = took = now - one.requested_ms
            doubt = one.doubt + (now - one.stamped) * self._timings.clock_drift
            if took * STAMPED < doubt:  # the more exact of the two
                one.group = value["at_ms"] - one.requested_ms - STAMPED * took
                one.doubt, one.stamped = STAMPED * took, now
            if now < one.expires_ms:
                one.share, one.depth = value["part"], value["cap"]
                one.level = min(one.level + value["room"], one.depth)
        # it is over there, and so here; what it was is lost
        elif isinstance(error, LeaseExpired | InvalidCall):
            one.pending, one.retry_ms, one.lease_number = None, math.inf, 0
            one.share = one.depth = one.level = 0.0
            one.refused += 1
            one.pause = min(RETRY_MS * 2.0 ** min(one.refused, 8), RETRY_MOST_MS)
            one.sent = now
        elif isinstance(error, NotFound):  # not open there yet, or no more
            one.pending, one.retry_ms = None, math.inf
            one.sent, one.pause = now, RETRY_MOST_MS
        else:  # it may have been taken: only the same call can tell
            one.pause = min(max(2.0 * one.pause, RETRY_MS), RETRY_MOST_MS)
            one.retry_ms = now + one.pause

    def _update_contracts(self, now: float, known: int, contracts: list[dict[str, Any]]) -> None:
        self._known = known
        kept: dict[str, ContractLease] = {}
        for facts in contracts:
            if facts["hall"] and facts["hall"] != self._hall:
                continue
            name = facts["contract"]
            one = kept[name] = self.leases.get(name) or ContractLease(
                name, facts["tenant"], facts["rank"], facts, [], filled_ms=now
            )
            one.facts, one.rank = facts, facts["rank"]
            one.customers = [(v["holds_from_ms"], frozenset(v["customers"])) for v in facts["versions"]]
        for (
            name,
            one,
        ) in self.leases.items():  # settled: its lease ends by itself, and what is short is told first
            if (
                name not in kept
                and (one.slices or one.shortfalls != one.told)
                and now < one.expires_ms + LATE_MS
            ):
                kept[name] = one
        self.leases = kept
        self._of = {}
        for one in sorted(kept.values(), key=lambda stake: (stake.rank, stake.contract)):
            for customer in sorted({customer for _, some in one.customers for customer in some}):
                self._of.setdefault(customer, []).append(one)

    def take(self, now: float, customer: int, units: float) -> ReservedUnits | None:
        """Draw from the first contract of a customer that has room here.  None: `wait`, or it is an
        ordinary request."""
        for one in self._open(now, customer):
            one.note(now, now + self._ahead, units)
            if not one.waiting and one.draw(now, now + self._ahead, units, one.noted):
                if one.share <= 0.0:
                    self._soon(now, one)
                return ReservedUnits(one.contract, units, one.rank)
        return None

    def wait(self, now: float, customer: int, units: float, token: Any) -> bool:
        """Let a request that `take` had no room for wait its turn, in order, `WAIT_MS` at the most;
        `turns` gives it back.  False where more wait than can have their turn by then: it is an ordinary
        request."""
        wall = now + self._ahead
        for one in self._open(now, customer):
            most = one.rate(wall) * (
                MAX_WAIT_MS if one.draws_per_request or one.lacks(one.wanted_rate) else QUEUE_MS
            )
            free = one.queued() + units <= max(most / 1000.0, units) and len(one.waiting) < MOST_WAITING
            if free and one.fits(units):
                one.waiting.append((now + MAX_WAIT_MS, units, token, one.noted))
                self._soon(now, one)
                return True
            self._soon(now, one)
        return False

    def finished_waits(self, now: float) -> list[tuple[Any, ReservedUnits | None]]:
        """Who has waited and has its turn now, or none in time."""
        made: list[tuple[Any, ReservedUnits | None]] = []
        wall = now + self._ahead
        for one in self.leases.values():
            while one.waiting:
                until, units, token, noted = one.waiting[0]
                one.fill(now, wall)
                drawn = now <= until and one.draw(now, wall, units, noted)
                if not drawn and now <= until and one.fits(units):
                    break
                one.waiting.popleft()
                made.append((token, ReservedUnits(one.contract, units, one.rank) if drawn else None))
        return made

    def _open(self, now: float, customer: int) -> Iterator[ContractLease]:
        wall = now + self._ahead
        for one in self._of.get(customer, ()):
            times = one.times(wall)
            if (
                times is not None
                and wall >= times[0]
                and any(customer in some for begin, some in one.customers if wall >= begin)
            ):
                one.fill(now, wall)
                yield one

    def failed(self, now: float, reserved: ReservedUnits, cause: str) -> None:
        """Units drawn under a contract that no server served: short, by a cause ("load", "server lost",
        ...)."""
        if (one := self.leases.get(reserved.contract)) is not None:
            one.count(cause, reserved.units, now + self._ahead)

    def idle_rate(self, now: float) -> float:
        """Units a second of parts held here that the tenants do not use now."""
        idle = 0.0
        for one in self.leases.values():
            if now + self._ahead >= one.from_ms:
                one.fill(now, now + self._ahead)
                if not one.waiting:
                    idle += max(
                        one.share - (0.0 if one.demand.has_stopped(now) else one.demand.rate(now)), 0.0
                    )
        return idle

    def held_rate(self, now: float) -> float:
        """Units a second that this gateway holds of all contracts."""
        for one in self.leases.values():
            one.fill(now, now + self._ahead)
        return sum(one.share for one in self.leases.values() if now + self._ahead >= one.from_ms)

    def status(self, now: float) -> dict[str, Any]:
        """For operators."""
        return {
            name: {
                "part": one.share,
                "level": one.level,
                "fair": one.fair_share,
                "asked": one.demand.rate(now),
                "call_ms": one.call_ms,
                "waiting": one.queued(),
                "holders": one.holders,
                "ends_in_ms": max(one.expires_ms - now, 0.0),
                "drawn": one.drawn,
                "short": dict(one.shortfalls),
            }
            for name, one in self.leases.items()
        }
