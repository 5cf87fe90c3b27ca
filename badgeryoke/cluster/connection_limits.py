"""Leases on connections: each server's limit divided over the gateways, so that all of them together never
pass it.

The order is always: close, return, grant, open.  A gateway dials only under its lease (`Keeper.may_open`);
before it gives a part back its connections are closed, and a connection counts until the *server* has let go
of it (its end was read, or it was reset, or it was left alone for the server's idle time).  A part is free
for others

- when its holder has given it back;
- when the lease is over by the leader's clock and the server's idle time has gone by as well ("idle"): a holder that
  lives has closed at the lease's end, and one that does not, or is frozen, uses nothing later than that, so that the
  server closes what was left open.  Neither alone will do: a lost machine's connections stay at the server;
- when a later process on the same running machine says that the one before is dead ("reset"): the kernel has closed its
  sockets.  A machine that booted anew cannot say so, its kernel has forgotten them.

A lower limit takes nothing away at once: parts shrink as holders give back, and nothing is granted meanwhile.

A lease on connections lives `LEASES` times as long as one on a rate, and one call renews all of a holder's
servers of a bucket: 200 gateways on 120 servers make 960 calls a second if each uses all sixteen buckets
(24,000 leases), and 300 as gateways keep to five servers each.

Source of the lease under clock drift: Gray and Cheriton, "Leases", SOSP 1989, section 2; shares are max-min
fair.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Any
from zlib import crc32

import msgspec

from badgeryoke.cluster.errors import ClusterError, DuplicateId, InvalidCall, NotFound, WrongState
from badgeryoke.cluster.invariants import Invariants, Rule
from badgeryoke.cluster.leases.lease import EPSILON, LeaseGrant, LeaseRequest
from badgeryoke.cluster.leases.lease_pool import LeasePool
from badgeryoke.cluster.messages import MemberId, member_name
from badgeryoke.cluster.state_machine.part import ApplyResult, Command, LeaderView
from badgeryoke.cluster.timings import Timings

BUCKETS = 16
LEASES = 5.0  # lives of a lease on a rate
RENEWALS = 3.0  # in the life of a lease
CLOSING_MS = 300.0  # before a lease's end nothing is opened and all is being closed
SHORT_MS = 200.0  # between two askings for more; doubled while nothing comes, up to a renewal's time
# pause between two askings from which on a server's limit counts as forgotten, not as to come
UNKNOWN_MS = 1000.0
RESET_MS = 1000.0  # after a start, until what a process before it had open counts as closed by the kernel
MOST_SERVERS = 4096  # of one group; more limits are refused
MOST_ASKS = 256  # servers in one call; the rest goes with the next
MOST_LIMIT = 1_000_000
MOST_IDLE_MS = 3_600_000.0
MOST_ENDS = 64  # calls that one heartbeat's work makes; the rest waits for the next
OVER, UNKNOWN = (
    -1,
    -2,
)  # in place of a lease's number: the lease named is over; no limit of that server is known


def bucket(server: str) -> str:
    """The key under which a server's leases lie."""
    return f"s:{crc32(server.encode()) % BUCKETS:x}"


def process(who: MemberId, boot: str, begun: str) -> MemberId:
    """A holder: one process of a member.  `boot`: of its machine (kernel's boot id), empty where it is not
    known."""
    return f"{who}#{boot}.{begun}"


def machine(holder: MemberId) -> tuple[str, str] | None:
    """The member's name and its machine's boot, which two processes must share for one to vouch for the
    other's end."""
    boot = holder.partition("#")[2].partition(".")[0]
    return (member_name(holder), boot) if boot else None


class SetConnectionLimit(Command, frozen=True, tag="Limit"):
    """A server's limit, from the operators' file or from discovery.  `idle_ms`: so long after a
    connection's last use the server has closed it for sure, the longest request included."""

    server: str
    most: int
    idle_ms: float

    def key(self) -> str:
        return bucket(self.server)

    def validate(self) -> str:
        if not 0 < len(self.server) <= 255:
            return "server: expected 1 to 255 characters"
        if not 1 <= self.most <= MOST_LIMIT:
            return f"most: expected 1 to {MOST_LIMIT}, got {self.most}"
        if not 0.0 < self.idle_ms <= MOST_IDLE_MS:
            return f"idle_ms: expected above 0 and at most {MOST_IDLE_MS:g}, got {self.idle_ms!r}"
        return ""


class RemoveConnectionLimit(Command, frozen=True, tag="Unlimit"):
    """The server is no more: nothing is granted, and it is forgotten when the last part has come back."""

    server: str

    def key(self) -> str:
        return bucket(self.server)


class ConnectionLeaseRequest(msgspec.Struct, frozen=True, array_like=True):
    """For one server: the lease held (0: none), what is kept of it from now on, and what would be liked."""

    server: str
    number: int
    keep: int
    wish: int


class RequestConnectionLeases(Command, frozen=True, tag="ConnLeases"):
    """Renew, shrink, grow or give back, for many servers of a bucket at once.

    Gives {"parts": [[server, number, part, aim, spare], ...], "old": [[holder, server, number], ...]}: above
    its `aim` a holder should give back; `old`, where the call is `fresh`, are leases of processes of the same
    machine.
    """

    holder: MemberId
    bucket: str
    asks: tuple[ConnectionLeaseRequest, ...]
    fresh: bool = False

    def key(self) -> str:
        return self.bucket

    def validate(self) -> str:
        if not 1 <= len(self.asks) <= MOST_ASKS:
            return f"asks: expected 1 to {MOST_ASKS}, got {len(self.asks)}"
        if len({ask.server for ask in self.asks}) < len(self.asks):
            return "asks: a server is named twice"
        for ask in self.asks:
            if bucket(ask.server) != self.bucket:
                return f"asks: {ask.server} does not lie in {self.bucket}"
            if not (ask.number >= 0 and 0 <= ask.keep <= MOST_LIMIT and 0 <= ask.wish <= MOST_LIMIT):
                return f"asks: {ask.server}: out of bounds"
        return ""


class ReleaseConnectionLeases(Command, frozen=True, tag="ConnEnd"):
    """Leases that are over: by the leader, "idle", or by a later process of the same machine, "reset"."""

    holder: MemberId
    bucket: str
    ends: tuple[tuple[str, int], ...]  # server, number
    proof: str
    by: MemberId = ""

    def key(self) -> str:
        return self.bucket

    def validate(self) -> str:
        if self.proof not in ("idle", "reset"):
            return f"proof: expected idle or reset, got {self.proof!r}"
        if self.proof == "reset" and (
            self.by == self.holder or not machine(self.by) or machine(self.by) != machine(self.holder)
        ):
            return f"by: {self.by!r} cannot vouch for the end of {self.holder!r}"
        return ""


COMMANDS: tuple[type[Command], ...] = (
    SetConnectionLimit,
    RemoveConnectionLimit,
    RequestConnectionLeases,
    ReleaseConnectionLeases,
)


@dataclass(slots=True)
class _Server:
    """One server's limit; `parts.target` is the limit, `parts.capacity` above it while more is held than a
    lowered one."""

    idle_ms: float
    parts: LeasePool
    gone: bool = False


class ConnectionLimits:
    """The part of a group's state that holds its servers' limits and who holds how much of each."""

    def __init__(self, rules: Invariants, timings: Timings) -> None:
        self._rules, self._timings = rules, timings
        self.servers: dict[str, _Server] = {}
        self._last = 0  # number of the last lease: a server that comes back does not begin at 1 again

    def apply(self, at_ms: float, command: Any) -> ApplyResult:
        """See badgeryoke.cluster.state_machine.part."""
        if said := command.validate():
            return ApplyResult(error=InvalidCall(command.key(), said))
        if isinstance(command, SetConnectionLimit):
            return self._limit(command)
        if isinstance(command, RemoveConnectionLimit):
            return self._unlimit(command)
        if isinstance(command, RequestConnectionLeases):
            return self._leases(command)
        if isinstance(command, ReleaseConnectionLeases):
            return self._end(command)
        return ApplyResult(error=InvalidCall("connections", f"unknown command {command.command_name()}"))

    def _limit(self, command: SetConnectionLimit) -> ApplyResult:
        found = self.servers.get(command.server)
        if found is None:
            if len(self.servers) >= MOST_SERVERS:
                return ApplyResult(
                    error=InvalidCall(command.server, f"{MOST_SERVERS} servers have a limit already")
                )
            found = self.servers[command.server] = _Server(command.idle_ms, LeasePool(0.0, step=1.0))
        found.parts.resize(float(command.most), 0.0)
        found.idle_ms, found.gone = command.idle_ms, False
        return ApplyResult({"granted": int(found.parts.granted())})

    def _unlimit(self, command: RemoveConnectionLimit) -> ApplyResult:
        found = self.servers.get(command.server)
        if found is None:
            return ApplyResult(error=NotFound(command.server, "no limit of that server is known"))
        found.parts.resize(0.0, 0.0)
        found.gone = True
        self._tidy(command.server)
        return ApplyResult({"granted": int(found.parts.granted())})

    def _tidy(self, server: str) -> None:
        if self.servers[server].gone and not self.servers[server].parts.leases:
            del self.servers[server]

    def _leases(self, command: RequestConnectionLeases) -> ApplyResult:
        parts = [self._ask(command.holder, ask) for ask in command.asks]
        mine = machine(command.holder) if command.fresh else None
        old = (
            []
            if mine is None
            else [
                [who, server, held.number]
                for server, one in self.servers.items()
                if bucket(server) == command.bucket
                for who, held in one.parts.leases.items()
                if who != command.holder and machine(who) == mine
            ]
        )
        return ApplyResult({"parts": parts, "old": old})

    def _ask(self, who: MemberId, ask: ConnectionLeaseRequest) -> list[Any]:
        found = self.servers.get(ask.server)
        if found is None:
            return [ask.server, UNKNOWN, 0, 0, 0]
        parts = found.parts
        before, limit = parts.granted(), parts.target
        parts.last_number = self._last
        given = parts.request(LeaseRequest(who, ask.number, ask.keep, ask.wish, 0.0), self._rules)
        if not isinstance(given, LeaseGrant):  # it names a lease that is over, or keeps more than it has
            return [ask.server, OVER, 0, 0, 0]
        held = parts.leases.get(who)
        if held is None:
            self._tidy(ask.server)
            return [ask.server, 0, 0, 0, max(int(given.slack), 0)]
        # An even share of 0.12 is one connection for those who come first, or nobody had any; but what is
        # over the whole steps goes to nobody while another has less than those, or it would go round between
        # those who have them.
        even = int(given.fair_share + EPSILON)
        first = any(
            one.share + EPSILON < min(one.wanted, even) for other, one in parts.leases.items() if other != who
        )
        aim = min(even if first else math.ceil(given.fair_share - EPSILON), ask.wish)
        granted = parts.granted()
        if held.share < aim and limit - granted >= 1.0 - EPSILON:
            parts.grow(who, 1.0)
            granted += 1.0
        if limit - granted >= 1.0 - EPSILON and not first:
            aim = max(aim, int(held.share))  # nobody is short: what lies idle may stay open
        self._rules.check(
            Rule.LEASE_ONCE,
            held.number > self._last,
            lambda: f"{ask.server}: lease {held.number} was given before, the last was {self._last}",
        )
        self._last = held.number
        self._rules.check(
            Rule.CONNECTIONS_FIT,
            granted <= max(limit, before) + EPSILON,
            lambda: f"{ask.server}: {granted:g} of {limit:g} granted, {before:g} before",
        )
        return [ask.server, held.number, int(held.share), aim, max(int(limit - granted), 0)]

    def _end(self, command: ReleaseConnectionLeases) -> ApplyResult:
        ended = 0
        for server, number in command.ends:
            if server in self.servers and self.servers[server].parts.release(command.holder, number):
                ended += 1
                self._tidy(server)
        return ApplyResult({"ended": ended})

    def lease_ms(self) -> float:
        """A holder's lease by its own clock."""
        return self._timings.lease_ms * LEASES

    def patience(self, idle_ms: float) -> float:
        """From when a grant was seen here until its holder's connections are closed at the server,
        whatever became of the holder: the lease and then the idle time, by the slowest clock there,
        counted by the fastest here."""
        drift = self._timings.clock_drift
        return (self.lease_ms() + idle_ms) * (1.0 + drift) / (1.0 - drift) + CLOSING_MS

    def leader_tasks(self, view: LeaderView) -> list[Command]:
        """End the leases of holders that are lost."""
        self.seen(view.now)
        ends: dict[tuple[MemberId, str], list[tuple[str, int]]] = {}
        for server, one in self.servers.items():
            for who, number in one.parts.expired(view.now, self.patience(one.idle_ms), view.lead_since):
                ends.setdefault((who, bucket(server)), []).append((server, number))
        made: list[Command] = []
        for (who, where), found in list(ends.items())[:MOST_ENDS]:
            mark = crc32(repr(found).encode())
            made.append(
                ReleaseConnectionLeases(
                    id=f"conn-end/{where}/{who}/{mark:08x}",
                    holder=who,
                    bucket=where,
                    ends=tuple(found),
                    proof="idle",
                )
            )
        return made

    def seen(self, now: float) -> None:
        """See badgeryoke.cluster.state_machine.part."""
        for one in self.servers.values():
            one.parts.mark_seen(now)

    def told(self) -> dict[str, Any]:
        """For operators: limit, what is granted, to how many."""
        return {
            server: {
                "limit": int(one.parts.target),
                "granted": int(one.parts.granted()),
                "holders": len(one.parts.leases),
            }
            for server, one in self.servers.items()
        }

    def dump(self) -> Any:
        """See badgeryoke.cluster.state_machine.part."""
        return [
            self._last,
            [[server, one.idle_ms, one.gone, one.parts.dump()] for server, one in self.servers.items()],
        ]

    def load(self, raw: Any) -> None:
        """See badgeryoke.cluster.state_machine.part."""
        self._last = raw[0]
        self.servers = {
            server: _Server(idle_ms, LeasePool.load(parts), gone) for server, idle_ms, gone, parts in raw[1]
        }


@dataclass(slots=True)
class _Pool:
    """One server's connections here."""

    open: int = 0  # dialled and not yet known closed
    closing: int = 0  # of those, being closed
    need: int = 0
    peak: int = 0  # of the need since the last asking but one
    now_peak: int = 0
    number: int = 0
    part: int = 0
    cap: int = 0  # so many may be open until `ends`
    ends: float = -math.inf
    asked: float = -math.inf  # when last
    pause: float = SHORT_MS


@dataclass(slots=True)
class _Out:
    """A call of one bucket, until its outcome is known.  It is repeated with its id, and the lease counts
    from when it was made first."""

    command: Command
    asked: float
    again: float
    under_way: bool = True
    tries: int = 0


@dataclass(slots=True)
class ConnectionLeaseHolder:
    """A gateway's side.  `alone`: no other process of this member runs (this one holds the folder's lock);
    only then it vouches for the end of those before it.  `grow`: times the need, while others of a roll
    are away."""

    me: MemberId  # of `process`
    timings: Timings
    rules: Invariants
    begun: float  # `now` at the process's start
    alone: bool = False
    grow: float = 1.0
    leaving: bool = False
    pools: dict[str, _Pool] = field(default_factory=dict)
    _out: dict[str, _Out] = field(default_factory=dict)
    _old: dict[str, list[tuple[MemberId, str, int]]] = field(default_factory=dict)
    _asked_in: set[str] = field(default_factory=set)
    unknown: dict[str, None] = field(
        default_factory=dict
    )  # wished for in vain, no limit is known; the shell's
    _count: int = 0

    def want(self, server: str, need: int) -> None:
        """So many connections would be in use now: those in use, and one for each attempt that waits."""
        pool = self.pools.setdefault(server, _Pool())
        pool.need = need
        pool.now_peak = max(pool.now_peak, need)

    def held(self, now: float, server: str) -> bool:
        """Whether the lease is in force; asked before each use of a connection, or a frozen process would
        write on."""
        pool = self.pools.get(server)
        return pool is not None and now < pool.ends

    def may_open(self, now: float, server: str) -> bool:
        """Whether one more connection may be dialled."""
        pool = self.pools.get(server)
        return pool is not None and pool.open < self._cap(now, pool)

    def opened(self, now: float, server: str) -> None:
        """One is being dialled: it counts from before its first packet."""
        pool = self.pools.setdefault(server, _Pool())
        pool.open += 1
        self.rules.check(
            Rule.OPEN_UNDER_LEASE,
            pool.open <= self._cap(now, pool),
            lambda: f"{server}: {pool.open} open, {self._cap(now, pool)} leased at {now:g}",
        )

    def closing(self, server: str) -> None:
        """One is being closed."""
        self.pools[server].closing += 1

    def closed(self, server: str, begun: bool = False) -> None:
        """The server has let go of one; `begun`: after `closing`."""
        pool = self.pools[server]
        pool.open = max(pool.open - 1, 0)
        pool.closing = max(min(pool.closing - begun, pool.open), 0)

    def must_close(self, now: float) -> list[tuple[str, int]]:
        """How many have to go at which servers, beside those that are going: a lease has shrunk, or nears
        its end. Which go first is the shell's."""
        return [
            (server, over)
            for server, pool in self.pools.items()
            if (over := pool.open - pool.closing - self._cap(now, pool)) > 0
        ]

    def _cap(self, now: float, pool: _Pool) -> int:
        if now >= pool.ends - CLOSING_MS:
            return 0
        return min(pool.cap, pool.need) if self.leaving else pool.cap

    @property
    def empty(self) -> bool:
        """Nothing is open and nothing is held."""
        return not any(pool.open or pool.number for pool in self.pools.values())

    def _wish(self, pool: _Pool) -> int:
        if self.leaving:
            return pool.need
        need = max(pool.need, pool.peak, pool.now_peak)
        return (
            min(math.ceil(need * self.grow - EPSILON) + 1, MOST_LIMIT) if need else 0
        )  # one more: it is dialled sooner

    def _due(self, now: float, pool: _Pool, wish: int) -> bool:
        """Whether something has to be asked for."""
        if not pool.number:
            return wish > 0 and now - pool.asked >= pool.pause
        if now - pool.asked >= self.timings.lease_ms * LEASES / RENEWALS:
            return True
        if wish > pool.part and now - pool.asked >= pool.pause:
            return True
        if (
            self.leaving and not wish and not pool.open
        ):  # it may hold a lease on nothing: nobody is to wait for that
            return now - pool.asked >= SHORT_MS / 2
        # Shrunk and closed down to it, or leaving: given back soon.
        return pool.open <= self._cap(now, pool) < pool.part and now - pool.asked >= SHORT_MS / 2

    def poll(self, now: float, wall: float) -> list[Command]:
        """See fleet.node.Holder."""
        made: list[Command] = []
        buckets: dict[str, list[str]] = {}
        for server in self.pools:
            buckets.setdefault(bucket(server), []).append(server)
        for where, servers in buckets.items():
            out = self._out.get(where)
            if out is not None:
                if not out.under_way and now >= out.again:
                    out.under_way = True
                    made.append(out.command)
                continue
            if (command := self._make(now, where, servers)) is not None:
                self._out[where] = _Out(command, now, now)
                made.append(command)
        return made

    def _make(self, now: float, where: str, servers: list[str]) -> Command | None:
        if self.alone and where in self._old and now >= self.begun + RESET_MS:
            found = self._old[where]
            who = found[0][0]
            ends = tuple((server, number) for other, server, number in found if other == who)
            return ReleaseConnectionLeases(
                id=self._id(), holder=who, bucket=where, ends=ends, proof="reset", by=self.me
            )
        wishes = {server: self._wish(self.pools[server]) for server in servers}
        if not any(self._due(now, self.pools[server], wish) for server, wish in wishes.items()):
            return None
        asking = [server for server in servers if self.pools[server].number or wishes[server]]
        asking.sort(key=lambda server: self.pools[server].asked)
        asks = []
        for server in asking[:MOST_ASKS]:
            pool = self.pools[server]
            # It has closed down to what it keeps before it says so, and opens no more until it is told.
            pool.cap = min(max(pool.open, min(self._cap(now, pool), wishes[server])), pool.part)
            pool.asked = now
            pool.peak, pool.now_peak = pool.now_peak, pool.need
            asks.append(ConnectionLeaseRequest(server, pool.number, pool.cap, wishes[server]))
        fresh = where not in self._asked_in
        return RequestConnectionLeases(
            id=self._id(), holder=self.me, bucket=where, asks=tuple(asks), fresh=fresh
        )

    def _id(self) -> str:
        self._count += 1
        return f"conn/{self.me}/{self._count}"

    def answered(self, now: float, command: Command, result: ApplyResult | ClusterError) -> None:
        """See fleet.node.Holder."""
        where = command.key()
        out = self._out.get(where)
        if out is None or out.command.id != command.id:
            return
        error = result if isinstance(result, ClusterError) else result.error
        if error is not None and not isinstance(error, InvalidCall | DuplicateId | WrongState):
            # Whether it was taken is not known, or not said: the same again, with its id, until it is.
            out.under_way, out.again = False, now + min(SHORT_MS * 2**out.tries, self.timings.lease_ms)
            out.tries = min(out.tries + 1, 8)
            return
        del self._out[where]
        if isinstance(command, ReleaseConnectionLeases):
            left = [one for one in self._old.pop(where, []) if one[0] != command.holder]
            if left:
                self._old[where] = left
            return
        if (
            error is not None
            or not isinstance(command, RequestConnectionLeases)
            or not isinstance(result, ApplyResult)
        ):
            return
        self._asked_in.add(where)
        if result.value["old"]:
            self._old[where] = [(who, server, number) for who, server, number in result.value["old"]]
        wishes = {ask.server: ask.wish for ask in command.asks}
        for server, number, part, aim, _spare in result.value["parts"]:
            pool = self.pools.setdefault(server, _Pool())
            short, longest = part < wishes[server], self.timings.lease_ms * LEASES / RENEWALS
            pool.pause = min(pool.pause * 2, longest) if short else SHORT_MS
            if number <= 0:
                # Over, given back, or the server is not known: nothing may be open.
                pool.number, pool.part, pool.cap, pool.ends = 0, 0, 0, -math.inf
                if not wishes[
                    server
                ]:  # what was given back may be wished for again at once: a query does not wait long
                    pool.asked = -math.inf
                elif number == UNKNOWN and pool.pause >= min(UNKNOWN_MS, longest):
                    self.unknown[server] = None
                continue
            pool.number, pool.part, pool.cap = number, part, min(part, aim)
            pool.ends = out.asked + self.timings.lease_ms * LEASES
        for server in [
            one
            for one, pool in self.pools.items()
            if not (pool.open or pool.number or pool.need or pool.peak or pool.now_peak)
        ]:
            del self.pools[server]  # servers come and go: what is not used is not remembered
