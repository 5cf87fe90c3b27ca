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
from badgeryoke.cluster.leases.lease_pool import EDGE, LeaseGrant, LeasePool
from badgeryoke.cluster.messages import MemberId, member_name
from badgeryoke.cluster.state_machine.part import ApplyResult, Command, LeaderView
from badgeryoke.cluster.timings import Timings

BUCKETS = 16
LEASE_MULTIPLE = 5.0  # lives of a lease on a rate
RENEWALS_PER_LEASE = 3.0  # in the life of a lease
CLOSE_BEFORE_EXPIRY_MS = 300.0  # before a lease's end nothing is opened and all is being closed
MIN_REQUEST_INTERVAL_MS = (
    200.0  # between two askings for more; doubled while nothing comes, up to a renewal's time
)
# pause between two askings from which on a server's limit counts as forgotten, not as to come
UNKNOWN_LIMIT_AFTER_MS = 1000.0
KERNEL_RESET_MS = (
    1000.0  # after a start, until what a process before it had open counts as closed by the kernel
)
MAX_SERVERS = 4096  # of one group; more limits are refused
MAX_REQUESTS_PER_CALL = 256  # servers in one call; the rest goes with the next
MAX_LIMIT = 1_000_000
MAX_IDLE_TIMEOUT_MS = 3_600_000.0
MAX_RELEASES_PER_HEARTBEAT = 64  # calls that one heartbeat's work makes; the rest waits for the next
LEASE_EXPIRED, LIMIT_UNKNOWN = (
    -1,
    -2,
)  # in place of a lease's number: the lease named is over; no limit of that server is known


def server_bucket(server: str) -> str:
    """The key under which a server's leases lie."""
    return f"s:{crc32(server.encode()) % BUCKETS:x}"


def holder_id(who: MemberId, boot: str, begun: str) -> MemberId:
    """A holder: one process of a member.  `boot`: of its machine (kernel's boot id), empty where it is not
    known."""
    return f"{who}#{boot}.{begun}"


def machine_of(holder: MemberId) -> tuple[str, str] | None:
    """The member's name and its machine's boot, which two processes must share for one to vouch for the
    other's end."""
    boot = holder.partition("#")[2].partition(".")[0]
    return (member_name(holder), boot) if boot else None


class SetConnectionLimit(Command, frozen=True, tag="Limit"):
    """A server's limit, from the operators' file or from discovery.  `idle_ms`: so long after a
    connection's last use the server has closed it for sure, the longest request included."""

    server: str
    max_connections: int = msgspec.field(name="most")
    idle_timeout_ms: float = msgspec.field(name="idle_ms")

    def key(self) -> str:
        return server_bucket(self.server)

    def validate(self) -> str:
        if not 0 < len(self.server) <= 255:
            return "server: expected 1 to 255 characters"
        if not 1 <= self.max_connections <= MAX_LIMIT:
            return f"most: expected 1 to {MAX_LIMIT}, got {self.max_connections}"
        if not 0.0 < self.idle_timeout_ms <= MAX_IDLE_TIMEOUT_MS:
            return (
                f"idle_ms: expected above 0 and at most {MAX_IDLE_TIMEOUT_MS:g}, got {self.idle_timeout_ms!r}"
            )
        return ""


class RemoveConnectionLimit(Command, frozen=True, tag="Unlimit"):
    """The server is no more: nothing is granted, and it is forgotten when the last part has come back."""

    server: str

    def key(self) -> str:
        return server_bucket(self.server)


class ConnectionLeaseRequest(msgspec.Struct, frozen=True, array_like=True):
    """For one server: the lease held (0: none), what is kept of it from now on, and what would be liked."""

    server: str
    lease_number: int
    keep: int
    wanted: int


class RequestConnectionLeases(Command, frozen=True, tag="ConnLeases"):
    """Renew, shrink, grow or give back, for many servers of a bucket at once.

    Gives {"parts": [[server, number, part, aim, spare], ...], "old": [[holder, server, number], ...]}: above
    its `aim` a holder should give back; `old`, where the call is `fresh`, are leases of processes of the same
    machine.
    """

    holder: MemberId
    bucket: str
    requests: tuple[ConnectionLeaseRequest, ...] = msgspec.field(name="asks")
    first_request: bool = msgspec.field(default=False, name="fresh")

    def key(self) -> str:
        return self.bucket

    def validate(self) -> str:
        if not 1 <= len(self.requests) <= MAX_REQUESTS_PER_CALL:
            return f"asks: expected 1 to {MAX_REQUESTS_PER_CALL}, got {len(self.requests)}"
        if len({ask.server for ask in self.requests}) < len(self.requests):
            return "asks: a server is named twice"
        for ask in self.requests:
            if server_bucket(ask.server) != self.bucket:
                return f"asks: {ask.server} does not lie in {self.bucket}"
            if not (ask.lease_number >= 0 and 0 <= ask.keep <= MAX_LIMIT and 0 <= ask.wanted <= MAX_LIMIT):
                return f"asks: {ask.server}: out of bounds"
        return ""


class ReleaseConnectionLeases(Command, frozen=True, tag="ConnEnd"):
    """Leases that are over: by the leader, "idle", or by a later process of the same machine, "reset"."""

    holder: MemberId
    bucket: str
    leases: tuple[tuple[str, int], ...] = msgspec.field(name="ends")  # server, number
    proof: str
    reported_by: MemberId = msgspec.field(default="", name="by")

    def key(self) -> str:
        return self.bucket

    def validate(self) -> str:
        if self.proof not in ("idle", "reset"):
            return f"proof: expected idle or reset, got {self.proof!r}"
        if self.proof == "reset" and (
            self.reported_by == self.holder
            or not machine_of(self.reported_by)
            or machine_of(self.reported_by) != machine_of(self.holder)
        ):
            return f"by: {self.reported_by!r} cannot vouch for the end of {self.holder!r}"
        return ""


COMMANDS: tuple[type[Command], ...] = (
    SetConnectionLimit,
    RemoveConnectionLimit,
    RequestConnectionLeases,
    ReleaseConnectionLeases,
)


@dataclass(slots=True)
class ServerLimit:
    """One server's limit; `parts.aim` is the limit, `parts.whole` above it while more is held than a
    lowered one."""

    idle_timeout_ms: float
    pool: LeasePool
    removed: bool = False


class ConnectionLimits:
    """The part of a group's state that holds its servers' limits and who holds how much of each."""

    def __init__(self, rules: Invariants, timings: Timings) -> None:
        self._rules, self._timings = rules, timings
        self.servers: dict[str, ServerLimit] = {}
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
            if len(self.servers) >= MAX_SERVERS:
                return ApplyResult(
                    error=InvalidCall(command.server, f"{MAX_SERVERS} servers have a limit already")
                )
            found = self.servers[command.server] = ServerLimit(
                command.idle_timeout_ms, LeasePool(0.0, step=1.0)
            )
        found.pool.resize(float(command.max_connections), 0.0)
        found.idle_timeout_ms, found.removed = command.idle_timeout_ms, False
        return ApplyResult({"granted": int(found.pool.granted())})

    def _unlimit(self, command: RemoveConnectionLimit) -> ApplyResult:
        found = self.servers.get(command.server)
        if found is None:
            return ApplyResult(error=NotFound(command.server, "no limit of that server is known"))
        found.pool.resize(0.0, 0.0)
        found.removed = True
        self._tidy(command.server)
        return ApplyResult({"granted": int(found.pool.granted())})

    def _tidy(self, server: str) -> None:
        if self.servers[server].removed and not self.servers[server].pool.held:
            del self.servers[server]

    def _leases(self, command: RequestConnectionLeases) -> ApplyResult:
        parts = [self._ask(command.holder, ask) for ask in command.requests]
        mine = machine_of(command.holder) if command.first_request else None
        old = (
            []
            if mine is None
            else [
                [who, server, held.number]
                for server, one in self.servers.items()
                if server_bucket(server) == command.bucket
                for who, held in one.pool.held.items()
                if who != command.holder and machine_of(who) == mine
            ]
        )
        return ApplyResult({"parts": parts, "old": old})

    def _ask(self, who: MemberId, ask: ConnectionLeaseRequest) -> list[Any]:
        found = self.servers.get(ask.server)
        if found is None:
            return [ask.server, LIMIT_UNKNOWN, 0, 0, 0]
        parts = found.pool
        before, limit = parts.granted(), parts.aim
        parts.last = self._last
        given = parts.ask(who, ask.lease_number, ask.keep, ask.wanted, 0.0, self._rules)
        if not isinstance(given, LeaseGrant):  # it names a lease that is over, or keeps more than it has
            return [ask.server, LEASE_EXPIRED, 0, 0, 0]
        held = parts.held.get(who)
        if held is None:
            self._tidy(ask.server)
            return [ask.server, 0, 0, 0, max(int(given.spare), 0)]
        # An even share of 0.12 is one connection for those who come first, or nobody had any; but what is
        # over the whole steps goes to nobody while another has less than those, or it would go round between
        # those who have them.
        even = int(given.fair + EDGE)
        first = any(
            one.part + EDGE < min(one.wish, even) for other, one in parts.held.items() if other != who
        )
        aim = min(even if first else math.ceil(given.fair - EDGE), ask.wanted)
        granted = parts.granted()
        if held.part < aim and limit - granted >= 1.0 - EDGE:
            parts.grow(who, 1.0)
            granted += 1.0
        if limit - granted >= 1.0 - EDGE and not first:
            aim = max(aim, int(held.part))  # nobody is short: what lies idle may stay open
        self._rules.check(
            Rule.LEASE_ONCE,
            held.number > self._last,
            lambda: f"{ask.server}: lease {held.number} was given before, the last was {self._last}",
        )
        self._last = held.number
        self._rules.check(
            Rule.CONNECTIONS_FIT,
            granted <= max(limit, before) + EDGE,
            lambda: f"{ask.server}: {granted:g} of {limit:g} granted, {before:g} before",
        )
        return [ask.server, held.number, int(held.part), aim, max(int(limit - granted), 0)]

    def _end(self, command: ReleaseConnectionLeases) -> ApplyResult:
        ended = 0
        for server, number in command.leases:
            if server in self.servers and self.servers[server].pool.end(command.holder, number):
                ended += 1
                self._tidy(server)
        return ApplyResult({"ended": ended})

    def lease_duration_ms(self) -> float:
        """A holder's lease by its own clock."""
        return self._timings.lease_ms * LEASE_MULTIPLE

    def expiry_after_ms(self, idle_ms: float) -> float:
        """From when a grant was seen here until its holder's connections are closed at the server,
        whatever became of the holder: the lease and then the idle time, by the slowest clock there,
        counted by the fastest here."""
        drift = self._timings.clock_drift
        return (self.lease_duration_ms() + idle_ms) * (1.0 + drift) / (1.0 - drift) + CLOSE_BEFORE_EXPIRY_MS

    def leader_tasks(self, view: LeaderView) -> list[Command]:
        """End the leases of holders that are lost."""
        self.seen(view.now)
        ends: dict[tuple[MemberId, str], list[tuple[str, int]]] = {}
        for server, one in self.servers.items():
            for who, number in one.pool.over(
                view.now, self.expiry_after_ms(one.idle_timeout_ms), view.lead_since
            ):
                ends.setdefault((who, server_bucket(server)), []).append((server, number))
        made: list[Command] = []
        for (who, where), found in list(ends.items())[:MAX_RELEASES_PER_HEARTBEAT]:
            mark = crc32(repr(found).encode())
            made.append(
                ReleaseConnectionLeases(
                    id=f"conn-end/{where}/{who}/{mark:08x}",
                    holder=who,
                    bucket=where,
                    leases=tuple(found),
                    proof="idle",
                )
            )
        return made

    def seen(self, now: float) -> None:
        """See badgeryoke.cluster.state_machine.part."""
        for one in self.servers.values():
            one.pool.seen(now)

    def summary(self) -> dict[str, Any]:
        """For operators: limit, what is granted, to how many."""
        return {
            server: {
                "limit": int(one.pool.aim),
                "granted": int(one.pool.granted()),
                "holders": len(one.pool.held),
            }
            for server, one in self.servers.items()
        }

    def dump(self) -> Any:
        """See badgeryoke.cluster.state_machine.part."""
        return [
            self._last,
            [
                [server, one.idle_timeout_ms, one.removed, one.pool.dump()]
                for server, one in self.servers.items()
            ],
        ]

    def load(self, raw: Any) -> None:
        """See badgeryoke.cluster.state_machine.part."""
        self._last = raw[0]
        self.servers = {
            server: ServerLimit(idle_ms, LeasePool.load(parts), gone)
            for server, idle_ms, gone, parts in raw[1]
        }


@dataclass(slots=True)
class ServerConnections:
    """One server's connections here."""

    open: int = 0  # dialled and not yet known closed
    closing: int = 0  # of those, being closed
    need: int = 0
    peak: int = 0  # of the need since the last asking but one
    current_peak: int = 0
    lease_number: int = 0
    granted: int = 0
    max_open: int = 0  # so many may be open until `ends`
    lease_expires_ms: float = -math.inf
    requested_at_ms: float = -math.inf  # when last
    backoff_ms: float = MIN_REQUEST_INTERVAL_MS


@dataclass(slots=True)
class PendingCall:
    """A call of one bucket, until its outcome is known.  It is repeated with its id, and the lease counts
    from when it was made first."""

    command: Command
    first_sent_ms: float
    retry_at_ms: float
    in_flight: bool = True
    retries: int = 0


@dataclass(slots=True)
class ConnectionLeaseHolder:
    """A gateway's side.  `alone`: no other process of this member runs (this one holds the folder's lock);
    only then it vouches for the end of those before it.  `grow`: times the need, while others of a roll
    are away."""

    holder: MemberId  # of `process`
    timings: Timings
    invariants: Invariants
    started_ms: float  # `now` at the process's start
    only_process: bool = False
    need_multiple: float = 1.0
    draining: bool = False
    servers: dict[str, ServerConnections] = field(default_factory=dict)
    _pending: dict[str, PendingCall] = field(default_factory=dict)
    _old: dict[str, list[tuple[MemberId, str, int]]] = field(default_factory=dict)
    _asked_in: set[str] = field(default_factory=set)
    servers_without_limit: dict[str, None] = field(
        default_factory=dict
    )  # wished for in vain, no limit is known; the shell's
    _count: int = 0

    def set_need(self, server: str, need: int) -> None:
        """So many connections would be in use now: those in use, and one for each attempt that waits."""
        pool = self.servers.setdefault(server, ServerConnections())
        pool.need = need
        pool.current_peak = max(pool.current_peak, need)

    def lease_valid(self, now: float, server: str) -> bool:
        """Whether the lease is in force; asked before each use of a connection, or a frozen process would
        write on."""
        pool = self.servers.get(server)
        return pool is not None and now < pool.lease_expires_ms

    def may_open(self, now: float, server: str) -> bool:
        """Whether one more connection may be dialled."""
        pool = self.servers.get(server)
        return pool is not None and pool.open < self._max_open(now, pool)

    def opened(self, now: float, server: str) -> None:
        """One is being dialled: it counts from before its first packet."""
        pool = self.servers.setdefault(server, ServerConnections())
        pool.open += 1
        self.invariants.check(
            Rule.OPEN_UNDER_LEASE,
            pool.open <= self._max_open(now, pool),
            lambda: f"{server}: {pool.open} open, {self._max_open(now, pool)} leased at {now:g}",
        )

    def closing(self, server: str) -> None:
        """One is being closed."""
        self.servers[server].closing += 1

    def closed(self, server: str, begun: bool = False) -> None:
        """The server has let go of one; `begun`: after `closing`."""
        pool = self.servers[server]
        pool.open = max(pool.open - 1, 0)
        pool.closing = max(min(pool.closing - begun, pool.open), 0)

    def excess(self, now: float) -> list[tuple[str, int]]:
        """How many have to go at which servers, beside those that are going: a lease has shrunk, or nears
        its end. Which go first is the shell's."""
        return [
            (server, over)
            for server, pool in self.servers.items()
            if (over := pool.open - pool.closing - self._max_open(now, pool)) > 0
        ]

    def _max_open(self, now: float, pool: ServerConnections) -> int:
        if now >= pool.lease_expires_ms - CLOSE_BEFORE_EXPIRY_MS:
            return 0
        return min(pool.max_open, pool.need) if self.draining else pool.max_open

    @property
    def empty(self) -> bool:
        """Nothing is open and nothing is held."""
        return not any(pool.open or pool.lease_number for pool in self.servers.values())

    def _wish(self, pool: ServerConnections) -> int:
        if self.draining:
            return pool.need
        need = max(pool.need, pool.peak, pool.current_peak)
        return (
            min(math.ceil(need * self.need_multiple - EDGE) + 1, MAX_LIMIT) if need else 0
        )  # one more: it is dialled sooner

    def _due(self, now: float, pool: ServerConnections, wish: int) -> bool:
        """Whether something has to be asked for."""
        if not pool.lease_number:
            return wish > 0 and now - pool.requested_at_ms >= pool.backoff_ms
        if now - pool.requested_at_ms >= self.timings.lease_ms * LEASE_MULTIPLE / RENEWALS_PER_LEASE:
            return True
        if wish > pool.granted and now - pool.requested_at_ms >= pool.backoff_ms:
            return True
        if (
            self.draining and not wish and not pool.open
        ):  # it may hold a lease on nothing: nobody is to wait for that
            return now - pool.requested_at_ms >= MIN_REQUEST_INTERVAL_MS / 2
        # Shrunk and closed down to it, or leaving: given back soon.
        return (
            pool.open <= self._max_open(now, pool) < pool.granted
            and now - pool.requested_at_ms >= MIN_REQUEST_INTERVAL_MS / 2
        )

    def poll(self, now: float, wall: float) -> list[Command]:
        """See fleet.node.Holder."""
        made: list[Command] = []
        buckets: dict[str, list[str]] = {}
        for server in self.servers:
            buckets.setdefault(server_bucket(server), []).append(server)
        for where, servers in buckets.items():
            out = self._pending.get(where)
            if out is not None:
                if not out.in_flight and now >= out.retry_at_ms:
                    out.in_flight = True
                    made.append(out.command)
                continue
            if (command := self._make(now, where, servers)) is not None:
                self._pending[where] = PendingCall(command, now, now)
                made.append(command)
        return made

    def _make(self, now: float, where: str, servers: list[str]) -> Command | None:
        if self.only_process and where in self._old and now >= self.started_ms + KERNEL_RESET_MS:
            found = self._old[where]
            who = found[0][0]
            ends = tuple((server, number) for other, server, number in found if other == who)
            return ReleaseConnectionLeases(
                id=self._id(), holder=who, bucket=where, leases=ends, proof="reset", reported_by=self.holder
            )
        wishes = {server: self._wish(self.servers[server]) for server in servers}
        if not any(self._due(now, self.servers[server], wish) for server, wish in wishes.items()):
            return None
        asking = [server for server in servers if self.servers[server].lease_number or wishes[server]]
        asking.sort(key=lambda server: self.servers[server].requested_at_ms)
        asks = []
        for server in asking[:MAX_REQUESTS_PER_CALL]:
            pool = self.servers[server]
            # It has closed down to what it keeps before it says so, and opens no more until it is told.
            pool.max_open = min(max(pool.open, min(self._max_open(now, pool), wishes[server])), pool.granted)
            pool.requested_at_ms = now
            pool.peak, pool.current_peak = pool.current_peak, pool.need
            asks.append(ConnectionLeaseRequest(server, pool.lease_number, pool.max_open, wishes[server]))
        fresh = where not in self._asked_in
        return RequestConnectionLeases(
            id=self._id(), holder=self.holder, bucket=where, requests=tuple(asks), first_request=fresh
        )

    def _id(self) -> str:
        self._count += 1
        return f"conn/{self.holder}/{self._count}"

    def answered(self, now: float, command: Command, result: ApplyResult | ClusterError) -> None:
        """See fleet.node.Holder."""
        where = command.key()
        out = self._pending.get(where)
        if out is None or out.command.id != command.id:
            return
        error = result if isinstance(result, ClusterError) else result.error
        if error is not None and not isinstance(error, InvalidCall | DuplicateId | WrongState):
            # Whether it was taken is not known, or not said: the same again, with its id, until it is.
            out.in_flight, out.retry_at_ms = (
                False,
                now + min(MIN_REQUEST_INTERVAL_MS * 2**out.retries, self.timings.lease_ms),
            )
            out.retries = min(out.retries + 1, 8)
            return
        del self._pending[where]
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
        wishes = {ask.server: ask.wanted for ask in command.requests}
        for server, number, part, aim, _spare in result.value["parts"]:
            pool = self.servers.setdefault(server, ServerConnections())
            short, longest = (
                part < wishes[server],
                self.timings.lease_ms * LEASE_MULTIPLE / RENEWALS_PER_LEASE,
            )
            pool.backoff_ms = min(pool.backoff_ms * 2, longest) if short else MIN_REQUEST_INTERVAL_MS
            if number <= 0:
                # Over, given back, or the server is not known: nothing may be open.
                pool.lease_number, pool.granted, pool.max_open, pool.lease_expires_ms = 0, 0, 0, -math.inf
                if not wishes[
                    server
                ]:  # what was given back may be wished for again at once: a query does not wait long
                    pool.requested_at_ms = -math.inf
                elif number == LIMIT_UNKNOWN and pool.backoff_ms >= min(UNKNOWN_LIMIT_AFTER_MS, longest):
                    self.servers_without_limit[server] = None
                continue
            pool.lease_number, pool.granted, pool.max_open = number, part, min(part, aim)
            pool.lease_expires_ms = out.first_sent_ms + self.timings.lease_ms * LEASE_MULTIPLE
        for server in [
            one
            for one, pool in self.servers.items()
            if not (pool.open or pool.lease_number or pool.need or pool.peak or pool.current_peak)
        ]:
            del self.servers[server]  # servers come and go: what is not used is not remembered
