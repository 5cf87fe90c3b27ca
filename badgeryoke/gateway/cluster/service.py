"""The shell around `fleet.node`: brings it events, carries out its effects, and decides nothing.

A gateway's share in the fleet may end before the gateway does: a store that breaks, or a rule of the code
that does not hold, ends what this member promises, with an error that calls and `status` tell; requests go
on.
"""

from __future__ import annotations

import asyncio
import logging
import math
import secrets
import socket
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, Any, Protocol

from tornado.netutil import bind_sockets

from badgeryoke.cluster.errors import (
    ClusterError,
    InvariantBroken,
    NoLeader,
    Overloaded,
    StorageFailed,
    UnknownOutcome,
)
from badgeryoke.cluster.events import (
    ClusterCall,
    Effect,
    Entries,
    HardState,
    LeaveCluster,
    LogEvent,
    MessageReceived,
    NodeEvent,
    OperationCompleted,
    PersistedGroup,
    PersistRecords,
    RecordsPersisted,
    SendMessage,
    StorageFailure,
    Tick,
)
from badgeryoke.cluster.invariants import Invariants, Rule
from badgeryoke.cluster.messages import AnyMessage, MemberId
from badgeryoke.cluster.node import ANY_SERVER, ClusterNode, Member, NodeSetup
from badgeryoke.cluster.placement.forced_recovery import force_sole_voter
from badgeryoke.cluster.reservations.lease_client import ReservationClient
from badgeryoke.cluster.state_machine.part import ApplyResult, Command
from badgeryoke.gateway.cluster.admin_calls import STATUS, line_of, read_call
from badgeryoke.gateway.cluster.settings import ClusterSettings
from badgeryoke.gateway.cluster.storage import HELD, ClusterStorage, StoreWriter, open_store
from badgeryoke.gateway.cluster.transport import ClusterTransport
from badgeryoke.gateway.discovery.client import split_address

if TYPE_CHECKING:
    from badgeryoke.gateway.cluster.connection_leases import ConnectionLeases

log = logging.getLogger(__name__)

MOST_CALLS = 1024  # under way at this member; more are refused
AGAIN_S = 0.2  # between tries for a folder or an address that a process before still holds
LEAVE_S = 1.0  # for the node to hand its groups over at a planned end
END_S = 0.5  # for the store's last transaction


class NodeLike(Protocol):
    """What is driven: fleet.node.Node, or a stand-in."""

    due: float

    def handle(self, now: float, wall: float, event: NodeEvent) -> list[Effect]: ...

    def status(self) -> dict[str, Any]: ...


MakeNode = Callable[[NodeSetup, dict[str, PersistedGroup], Random, float, float, Invariants], NodeLike]


def boot_ms() -> float:
    """This machine's clock that never steps, and goes on while the machine is suspended, ms."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


def setup_of(fleet: ClusterSettings, name: str, incarnation: str) -> NodeSetup:
    """What the operators' file says, as a node is told it."""
    servers = dict(fleet.servers.limits)
    if fleet.servers.connections:
        servers[ANY_SERVER] = fleet.servers.connections
    return NodeSetup(
        fleet.name,
        fleet.me or name,
        incarnation,
        tuple(Member(one.name, one.hall, one.address) for one in fleet.members),
        fleet.copies,
        fleet.groups,
        fleet.timings,
        fleet.capacity,
        servers,
    )


class ClusterService:
    """This gateway's share in the fleet.  `now` (ms) never steps; the wall clock is read once, at the
    start."""

    def __init__(
        self,
        fleet: ClusterSettings,
        name: str,
        make: MakeNode | None = None,
        now: Callable[[], float] = boot_ms,
        unix: Callable[[], float] = time.time,
    ) -> None:
        self.fleet, self.me = fleet, fleet.me or name
        self._make: MakeNode = make or ClusterNode
        self._now = self.now = now
        self.pools: ConnectionLeases | None = None  # where the gateway has given its server links
        # this gateway's parts of contracts, from when the node is made
        self.floor: ReservationClient | None = None
        # told of it, and of its clock
        self.on_floor: Callable[[ReservationClient, Callable[[], float]], None] | None = None
        self._wall_less_now = unix() * 1000.0 - now()
        self._loop = asyncio.get_running_loop()
        self.rules = Invariants(strict=False, noted=self._noted)
        self.node: NodeLike | None = None
        self.failed: ClusterError | None = None  # why this member promises nothing more
        self.store_failed: ClusterError | None = None
        self.links: ClusterTransport | None = None
        self._writer: StoreWriter | None = None
        self._calls: dict[str, asyncio.Future[Any]] = {}
        self._last_token = 0
        self._broken = 0
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due = math.inf
        self._starting: asyncio.Task[None] | None = None
        self._left: asyncio.Task[None] | None = None
        self._ended = False

    def wall(self) -> float:
        """Unix ms, as of the start: a step of the system's clock moves nothing."""
        return self._now() + self._wall_less_now

    # The beginning.

    def start(self) -> None:
        """Open the store, listen, and begin; all of it beside the gateway's own start."""
        self._starting = self._loop.create_task(self._start())

    async def _start(self) -> None:
        try:
            await self._begin()
        except Exception:
            log.exception("the fleet's part could not begin")
            self._halt(InvariantBroken(self.me, "it could not begin; the log has the cause"))

    async def _begin(self) -> None:
        folder, waits = Path(self.fleet.folder), False
        while not self._ended:
            opened = await asyncio.to_thread(open_store, folder, self.fleet.name, self.me, self.fleet.fsync)
            if isinstance(opened, ClusterStorage):
                break
            if not (isinstance(opened, StorageFailed) and opened.detail.endswith(HELD)):
                self._halt(opened)
                return
            if not waits:  # the process that this one replaces, mostly
                log.warning("%s; waiting for it", opened)
            waits = True
            await asyncio.sleep(AGAIN_S)
        else:
            return
        try:
            await self._open(opened)
        finally:
            if self.node is None and self._writer is None:
                opened.close()

    async def _open(self, opened: ClusterStorage) -> None:
        sockets = await self._bind()
        if self._ended:
            for one in sockets:
                one.close()
            return
        for fault in opened.faults:
            log.error("%s", fault)
        setup = setup_of(self.fleet, self.me, opened.incarnation)
        if self.pools is not None:
            setup = replace(setup, connection_idle_ms=self.pools.idle_ms)
        self._force(opened, setup.member_id)
        self._writer = StoreWriter(opened, self._loop.call_soon_threadsafe, self._stored, self._store_broke)
        addresses = {one.name: split_address(one.address) for one in self.fleet.members}
        self.links = ClusterTransport(
            self.fleet.name,
            setup.member_id,
            addresses,
            self._received,
            self._link_error,
            Random(secrets.randbits(64)),
        )
        self.node = self._make(
            setup, opened.saved, Random(secrets.randbits(64)), self._now(), self.wall(), self.rules
        )
        opened.saved = {}  # the node's own from here on
        if self.pools is not None:
            self.pools.begin(self.node, self.rules)
            self.pools.wake = self._wake
        if isinstance(
            holders := getattr(self.node, "lease_clients", None), list
        ):  # a node that is only driven has none
            hall = next(one.zone for one in setup.members if one.name == setup.member_name)
            self.floor = ReservationClient(
                setup.member_id, secrets.token_hex(4), setup.timings, hall, len(setup.members)
            )
            self.floor.wake = self._wake
            holders.append(self.floor)
            if self.on_floor is not None:
                self.on_floor(self.floor, self.now)
        self.links.listen(sockets)
        self.links.greet()
        log.info(
            "fleet %s: member %s, %d members, %d groups held",
            self.fleet.name,
            setup.member_id,
            len(setup.members),
            len(opened._groups),
        )
        self._feed(Tick())

    async def _bind(self) -> list[socket.socket]:
        """Listen on the own member's address, as soon as it is free."""
        host, port = split_address(next(one.address for one in self.fleet.members if one.name == self.me))
        waits = False
        while not self._ended:
            try:
                return bind_sockets(port, host, socket.AF_INET6 if ":" in host else socket.AF_INET, 128)
            except OSError as fault:
                if not waits:
                    log.error("the fleet's address %s:%d: %s; waiting for it", host, port, fault.strerror)
                waits = True
                await asyncio.sleep(AGAIN_S)
        return []

    def _force(self, disk: ClusterStorage, me: MemberId) -> None:
        """[fleet.forced]: groups that have lost their majority for good go on from this copy alone."""
        for group, lost in self.fleet.forced.items():
            if (saved := disk.saved.get(group)) is None:
                log.warning("fleet.forced.%s: this member holds no copy of it", group)
                continue
            made = force_sole_voter(saved, group, me, lost, self.wall())
            if made is saved:
                log.warning(
                    "fleet.forced.%s: nothing to do: done already, or these are not all its other members; "
                    "take the line out again",
                    group,
                )
                continue
            disk.write(
                [
                    PersistRecords(
                        group,
                        0,
                        (HardState(made.term, made.vote), Entries(made.entries[len(saved.entries) :])),
                    )
                ]
            )
            disk.saved[group] = made
            log.warning(
                "fleet.forced.%s: BY HAND, the group goes on from this copy alone, without %s",
                group,
                ", ".join(lost),
            )

    # Events in, effects out.

    def _feed(self, *events: NodeEvent) -> None:
        """Hand events to the node; what it wants stored for all of them goes out together."""
        stores: list[PersistRecords] = []
        for event in events:
            if self.node is None or self.failed is not None or self._ended:
                return
            try:
                effects = self.node.handle(self._now(), self.wall(), event)
            except Exception:
                log.exception("the fleet's part failed at %s", type(event).__name__)
                self._halt(
                    InvariantBroken(self.me, f"it failed at {type(event).__name__}; the log has the cause")
                )
                return
            if self.rules.count > self._broken:  # what it wants now is built on what does not hold
                rule, facts = self.rules.broken[-1]
                self._broken = self.rules.count
                self._halt(InvariantBroken(self.me, f"{rule.name}: {rule.value}: {facts}"))
                return
            for effect in effects:
                self._carry_out(effect, stores)
        if self._writer is not None:
            self._writer.put(stores)
        self._arm()

    def _carry_out(self, effect: Effect, stores: list[PersistRecords]) -> None:
        if isinstance(effect, SendMessage):
            assert self.links is not None
            self.links.send(effect.to, effect.message)
        elif isinstance(effect, PersistRecords):
            stores.append(effect)
        elif isinstance(effect, OperationCompleted):
            self._done(effect.token, effect.result)
        else:
            _say(effect)

    def _arm(self) -> None:
        """Have the next Tick come when it is due."""
        if self.node is None or self.failed is not None or self.node.due >= self._timer_due:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_due = self.node.due
        self._timer = self._loop.call_later(max(self._timer_due - self._now(), 1.0) / 1000.0, self._tick)

    def _tick(self) -> None:
        self._timer, self._timer_due = None, math.inf
        self._feed(Tick())

    def _wake(self) -> None:
        """Something is due sooner than the node has said: look in the loop's next turn."""
        if self._timer_due > 0.0 and not self._ended:
            if self._timer is not None:
                self._timer.cancel()
            self._timer_due = 0.0
            self._timer = self._loop.call_later(0.0, self._tick)

    def _received(self, sender: MemberId, messages: tuple[AnyMessage, ...]) -> None:
        self._feed(*(MessageReceived(sender, message) for message in messages))

    def _stored(self, those: list[RecordsPersisted]) -> None:
        self._feed(*those)

    def _store_broke(self, error: ClusterError) -> None:
        self.store_failed = error
        log.error("%s", error)
        self._loop.call_soon(self._feed, StorageFailure(error))

    def _link_error(self, error: ClusterError) -> None:
        log.warning("link: %s", error)

    def _noted(self, rule: Rule, facts: str) -> None:
        log.critical("invariant broken: %s: %s: %s", rule.name, rule.value, facts)

    def _halt(self, error: ClusterError) -> None:
        """This member promises nothing more and says so; to the others it is as dead."""
        if self.failed is not None:
            return
        self.failed = error
        log.error("this member has no part in the fleet any more: %s", error)
        if self._timer is not None:
            self._timer.cancel()
        if self.links is not None:
            self.links.end()
        for token in list(self._calls):
            self._done(token, UnknownOutcome(self.me, f"this member stopped meanwhile: {error.code}"))

    def _done(self, token: str, result: Any) -> None:
        future = self._calls.pop(token, None)
        if future is not None and not future.done():
            future.set_result(result)

    # What is asked of it.

    async def call(self, command: Command) -> ApplyResult | ClusterError:
        """Bring a command to the group that holds its key; comes back within twice `call_ms`."""
        if self.failed is not None:
            return self.failed
        if self.node is None or self._ended:
            return NoLeader(self.me, "this member is starting or ending")
        if len(self._calls) >= MOST_CALLS:
            return Overloaded(self.me, f"{MOST_CALLS} calls are under way at this member")
        try:
            result: Any = await asyncio.wait_for(
                self._ask(lambda token: ClusterCall(token, command)),
                self.fleet.timings.call_ms * 2.0 / 1000.0,
            )
        except TimeoutError:
            return UnknownOutcome(command.id, "no answer in time")
        return (
            result
            if isinstance(result, ClusterError)
            else ApplyResult(result)
            if not isinstance(result, ApplyResult)
            else result
        )

    async def _ask(self, event: Callable[[str], NodeEvent]) -> Any:
        self._last_token += 1
        token = f"{self.me}.{self._last_token}"
        future = self._calls[token] = self._loop.create_future()
        try:
            self._feed(event(token))
            return await future
        finally:
            self._calls.pop(token, None)

    async def answer(self, raw: bytes) -> bytes:
        """The operators' FLEET call: the rest of its line, and the line that answers it."""
        read = read_call(raw)
        if isinstance(read, Command):
            return line_of(await self.call(read))
        if read == STATUS:
            return line_of(ApplyResult(self.status()))
        assert isinstance(read, ClusterError)
        return line_of(read)

    def status(self) -> dict[str, Any]:
        """For operators."""
        found: dict[str, Any] = {"me": self.me, "groups": {}}
        if self.node is not None and self.failed is None:
            found |= self.node.status()
        errors = [error for error in (self.failed, self.store_failed) if error is not None]
        return found | {
            "fleet": self.fleet.name,
            "broken": self.rules.count,
            "errors": [str(error) for error in errors],
            "store": {"transactions": self._writer.transactions, "records": self._writer.records}
            if self._writer is not None
            else {},
            "links": self.links.status() if self.links is not None else {},
            "contracts": self.floor.status(self._now()) if self.floor is not None else {},
        }

    # The end.

    async def leave(self) -> None:
        """A planned end is near: groups are handed over.  It goes on answering until `close`."""
        if self._left is None:
            self._left = self._loop.create_task(self._leave())
        await asyncio.shield(self._left)

    async def _leave(self) -> None:
        if self.node is not None and self.failed is None and not self._ended:
            try:
                await asyncio.wait_for(self._ask(LeaveCluster), LEAVE_S)
            except TimeoutError:
                log.warning("not all groups were handed over in time")

    def close(self) -> None:
        """The end, at once: nothing more is told, heard or written."""
        if self._ended:
            return
        self._ended = True
        if self._timer is not None:
            self._timer.cancel()
        if self.links is not None and self.failed is None:
            self.links.end()
        if self._writer is not None:
            self._writer.end(END_S)
        for token in list(self._calls):
            self._done(token, UnknownOutcome(self.me, "this member ended meanwhile"))


def _say(line: LogEvent) -> None:
    level = logging.getLevelNamesMapping().get(line.level.upper(), logging.WARNING)
    if log.isEnabledFor(level):
        said = ", ".join(f"{key} {value}" for key, value in line.fields.items())
        log.log(level, "%s%s", line.event, f": {said}" if said else "", extra={"fields": line.fields})
