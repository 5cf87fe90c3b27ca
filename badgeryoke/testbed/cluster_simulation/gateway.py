"""What surrounds a fleet's lease holders in simulated time: tenants' traffic, servers that hold so many
connections, rolls.

The referee's side of it counts what truly happens: units drawn and asked for, parts that holders believe in
(each by its own clock) at every moment at which one changes, connections that each server has open, queries
that ended without an answer.  A killed process's connections are reset by its machine; a lost machine's stay
until the server's idle time has gone by.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import TYPE_CHECKING, Any

from badgeryoke.cluster.connection_limits.holders import holder_id
from badgeryoke.cluster.connection_limits.lease_holder import ConnectionLeaseHolder
from badgeryoke.cluster.invariants import InvariantViolation
from badgeryoke.cluster.messages import member_name
from badgeryoke.cluster.reservations.commands import ProposeContract, ReadContracts
from badgeryoke.cluster.reservations.lease_client import ReservationClient
from badgeryoke.cluster.reservations.terms import ContractTerms, Window
from badgeryoke.cluster.rolling_restart.commands import ReadRollingRestarts, StartRollingRestart
from badgeryoke.cluster.rolling_restart.gateway_agent import DesiredState, RollingRestartAgent
from badgeryoke.cluster.rolling_restart.minimum_duration import minimum_duration_ms
from badgeryoke.cluster.state_machine_part import FLEET, ApplyResult
from badgeryoke.testbed.checkers.contract_ledger import EXCLUDED_AFTER_LOSS_MS, ExpectedLedger, worst_second
from badgeryoke.testbed.cluster_simulation.clock import UNIX_MS
from badgeryoke.testbed.scenario.model import ContractText, RollText

if TYPE_CHECKING:
    from badgeryoke.testbed.cluster_simulation.world import FleetWorld, Machine

HOP_MS = (0.2, 1.0)
PUMP_MS = 20.0
WORK_MS = (30.0, 90.0)
FRONT_MS = 450.0  # until clients have left a gateway that turns them away: what the product gives them
ACT_MS = (800.0, 1400.0)  # from a roll telling a process to leave to its successor, as on sockets
WARM_MS = 500.0
READ_MS = 100.0  # between two readings of a roll's state
DOWN_MS = 2000.0  # that a scheduling leader which was killed stays down
EDGE_MS = 2500.0  # at a window's ends, of the contract's floor: leases are asked for and end
STALE_MS = 3000.0  # a leader's view of the copies is not older
REPORTED_MS = 6000.0  # behind the end until all units short are told
NEED_MS = 700.0  # between changes of what a gateway needs of a server
PHASE_MS, BUSY_MS = 9000.0, 6000.0  # a tenant's traffic comes for a while, and rests


@dataclass(slots=True)
class Conn:
    """One connection, as its two ends know it."""

    server: str
    owner: str
    life: int
    open_here: bool = True  # the gateway counts it
    open_there: bool = False  # the server does
    ending: bool = False
    gone: bool = False  # its machine is lost: nobody resets it
    used: float = 0.0


@dataclass(slots=True)
class Side:
    """One process's holders, and what it has under way."""

    life: int
    floor: ReservationClient
    keeper: ConnectionLeaseHolder
    rolled: RollingRestartAgent
    conns: dict[str, list[Conn]] = field(default_factory=dict)
    need: dict[str, int] = field(default_factory=dict)
    need_at: float = 0.0
    paused_at: float = math.inf
    flights: set[int] = field(default_factory=set)
    leaving: bool = False


@dataclass(slots=True)
class Deal:
    """A contract as the referee follows it.  Times in ms of the world."""

    text: ContractText
    book: ExpectedLedger
    customers: tuple[int, ...]
    tenant: str
    doors: tuple[int, ...]
    shift_ms: float
    admitted: bool = False
    asked_at: float = math.inf
    over: float = 0.0
    level: float = 0.0  # of the referee's own bucket: what may still be drawn
    level_at: float = 0.0
    overdrawn: float = 0.0
    lent: float = 0.0
    offered: float = 0.0

    def phase(self, true: float) -> tuple[int, float]:
        """Which time of traffic it is, and how long ago that began."""
        turn, since = divmod(true - self.text.from_ms, PHASE_MS)
        return int(turn), since


class Gates:
    """All of it, for one world."""

    def __init__(self, world: FleetWorld) -> None:
        self.world, plan = world, world.plan
        self.draw = Random(f"fleet/{plan.seed}/gates")
        self._calendar = world.calendar
        self.sides: dict[str, Side] = {}
        self.servers: dict[str, list[Conn]] = {f"s{number + 1}": [] for number in range(plan.servers)}
        self.connections_over = 0
        self.deals = [self._deal(text) for text in plan.contracts]
        self.losses: list[float] = []
        self.roll_lost = 0
        self.roll_states: dict[str, str] = {}
        self._flights = 0
        self.told_short: dict[str, float] = {}
        self.on = bool(plan.contracts or plan.rolls or plan.connections)
        self.away: set[str] = set()  # gateways that a roll has ended and that are not back
        self._missing: dict[
            tuple[str, str], float
        ] = {}  # copies by group and Id, as the disks show, since when
        self.drained: dict[tuple[str, str], int] = {}  # roll, gateway -> processes that a roll ended
        self._kills = {text.name: list(text.kill_leader) for text in plan.rolls}
        self._left_at: dict[str, float] = {}  # when a roll ended a gateway whose copies are not back
        self._emptied: dict[
            str, float
        ] = {}  # the time that a gateway took from its pause until nothing was open
        self._killed_at = -math.inf  # the last scheduler
        self._waves: list[float] = []  # each restart by a roll, without the schedule's own time
        self._asked_at: dict[str, float] = {}
        self.roll_ratio: float | None = None

    # Processes ------------------------------------------------------------------------------------------

    def start(self, machine: Machine, now: float) -> list[Any]:
        """A process begins; gives its holders."""
        if not self.on:
            return []
        world = self.world
        self.away.discard(machine.name)
        who = holder_id(machine.id, f"b{machine.boot}", str(machine.life))
        side = self.sides[machine.name] = Side(
            machine.life,
            ReservationClient(machine.id, str(machine.life), world.timings, machine.hall, world.plan.members),
            ConnectionLeaseHolder(who, world.timings, world.rules, now, only_process=True),
            RollingRestartAgent(machine.name, who),
        )
        side.floor.wake = partial(self._later, world.nudge, machine.name, side.life)
        self._calendar.at(
            self._calendar.now + self.draw.uniform(1.0, PUMP_MS), self._pump, machine.name, side.life
        )
        return [side.floor, side.keeper, side.rolled]

    def ended(self, machine: Machine, lost: bool) -> None:
        """A process is gone: its kernel resets what was open, a lost machine does not."""
        side = self.sides.pop(machine.name, None)
        if side is None:
            return
        if side.leaving:
            self.roll_lost += len(side.flights)
        for conns in side.conns.values():
            for conn in conns:
                conn.open_here = False
                conn.gone = lost
                if not lost:
                    self._later(self._let_go, conn)

    def loss(self) -> None:
        """Something was lost: the contract's floor is not judged for a while."""
        self.losses.append(self._calendar.now)

    def _later(self, what: Callable[..., None], *args: Any) -> None:
        self._calendar.at(self._calendar.now + self.draw.uniform(*HOP_MS), what, *args)

    def _pump(self, name: str, life: int) -> None:
        machine, side = self.world.machines[name], self.sides.get(name)
        if side is None or side.life != life or self.world.over:
            return
        waits = False
        if machine.up:
            now = machine.clock.now(self._calendar.now)
            if self.deals:
                waits = self._turns(machine, side, now)
                self._measure()
            try:
                if self.servers:
                    self._pool(name, side, now)
                if self.world.plan.rolls:
                    self._roll(machine, side, now)
            except InvariantViolation as fault:
                self.world.found(fault.rule.name, f"{name}: {fault}")
                return
        self._calendar.at(self._calendar.now + (PUMP_MS / 2.0 if waits else PUMP_MS), self._pump, name, life)

    # Connections ----------------------------------------------------------------------------------------

    def _pool(self, name: str, side: Side, now: float) -> None:
        true, draw, keeper = self._calendar.now, self.draw, side.keeper
        plan = self.world.plan
        if true >= side.need_at:
            side.need_at = true + NEED_MS * draw.uniform(0.5, 1.5)
            most = max(2 * plan.connections // plan.members, 2)
            for server in self.servers:
                side.need[server] = draw.choice((0, 1, 2, draw.randint(0, most), draw.randint(0, most)))
        drained = side.paused_at < true - FRONT_MS
        for server in self.servers:
            need = 0 if drained else side.need[server]
            conns = [conn for conn in side.conns.get(server, ()) if conn.open_here]
            keeper.set_need(server, need)
            if keeper.lease_valid(now, server):
                for conn in conns[: max(need, 1)]:
                    conn.used = true
            if keeper.draining or drained:
                for conn in conns[need:]:
                    self._close(side, conn)
            while len(conns) < need and keeper.may_open(now, server):
                keeper.opened(now, server)
                conn = Conn(server, name, side.life, used=true)
                conns.append(conn)
                side.conns.setdefault(server, []).append(conn)
                self._later(self._reach, conn)
        for server, many in keeper.excess(now):
            left = [conn for conn in side.conns.get(server, ()) if conn.open_here and not conn.ending]
            for conn in left[-many:]:
                self._close(side, conn)

    def _close(self, side: Side, conn: Conn) -> None:
        if not conn.ending:
            conn.ending = True
            side.keeper.closing(conn.server)
            # A server lets go late at times; how late is within what a lease leaves for it.
            late = self.draw.uniform(0.0, 200.0) if self.draw.random() < 0.2 else 0.0
            self._calendar.at(self._calendar.now + self.draw.uniform(*HOP_MS) + late, self._let_go, conn)

    def _reach(self, conn: Conn) -> None:
        """The server takes it."""
        if conn.ending and not conn.open_here:
            return
        conn.open_there = True
        there = self.servers[conn.server]
        there.append(conn)
        over = len(there) - self.world.plan.connections
        if over > self.connections_over:
            self.connections_over = over
            self.world.found(
                "connections-over",
                f"{conn.server}: {len(there)} open of {self.world.plan.connections}, "
                f"by {[one.owner for one in there]}",
            )
        self._calendar.at(self._calendar.now + self.world.idle_ms, self._idle, conn)
        if not conn.open_here and not conn.gone:  # its process has ended since
            self._later(self._let_go, conn)

    def _idle(self, conn: Conn) -> None:
        if not conn.open_there:
            return
        left = conn.used + self.world.idle_ms - self._calendar.now
        if left > 0:
            self._calendar.at(self._calendar.now + left, self._idle, conn)
        else:
            self._let_go(conn)

    def _let_go(self, conn: Conn) -> None:
        """The server has closed it, or read its end."""
        if conn.open_there:
            conn.open_there = False
            self.servers[conn.server].remove(conn)
        elif conn.open_here:
            self._later(self._let_go, conn)  # its beginning is still on the way
            return
        self._later(self._closed, conn)

    def _closed(self, conn: Conn) -> None:
        side = self.sides.get(conn.owner)
        if side is None or side.life != conn.life or not conn.open_here:
            return
        conn.open_here = False
        side.conns[conn.server].remove(conn)
        side.keeper.closed(conn.server, conn.ending)

    # Contracts ------------------------------------------------------------------------------------------

    def _deal(self, text: ContractText) -> Deal:
        first, last = text.customers
        count = min(self.world.plan.members, 3)
        doors = tuple(self.draw.sample(range(self.world.plan.members), count))
        return Deal(
            text,
            ExpectedLedger(text.rate, text.burst),
            tuple(range(first, last + 1)),
            f"t{first}",
            doors,
            self.draw.uniform(8000.0, 20_000.0),
            level=text.burst,
        )

    def begin(self) -> None:
        """Propose, ask for rolls, and let the traffic come."""
        if not self.on:
            return
        for deal in self.deals:
            self._calendar.at(max(deal.text.from_ms - 12_000.0, 1500.0), self._propose, deal, 1)
            self._calendar.at(deal.text.from_ms + EDGE_MS, self._ask, deal)
        for roll in self.world.plan.rolls:
            self._calendar.at(roll.from_ms, self._ask_roll, roll, 1)
        if self.world.plan.rolls:
            self._calendar.at(2000.0, self._query)

    def _propose(self, deal: Deal, tries: int) -> None:
        text = deal.text
        command = ProposeContract(
            id=f"lab/{text.name}",
            contract=text.name,
            terms=ContractTerms(
                deal.tenant,
                deal.customers,
                text.rate,
                text.burst,
                (Window(UNIX_MS + text.from_ms, UNIX_MS + text.to_ms),),
                rank=min(text.importance, 9),
            ),
        )

        def told(result: Any) -> None:
            if isinstance(result, ApplyResult) and result.error is None:
                deal.admitted = True
            elif tries < 10:
                self._calendar.at(self._calendar.now + 300.0, self._propose, deal, tries + 1)

        self._call(command, told)

    def _call(self, command: Any, told: Callable[[Any], None]) -> None:
        up = [name for name, machine in self.world.machines.items() if machine.node is not None]
        if up:
            self.world.call(self.draw.choice(up), command, told)
        else:
            told(None)

    def _ask(self, deal: Deal) -> None:
        text, draw, true = deal.text, self.draw, self._calendar.now
        if true > min(text.to_ms, self.world.plan.length_ms) - EDGE_MS or self.world.over:
            return
        self._calendar.at(true + 1000.0 * draw.expovariate(1.3 * text.rate / 2.0), self._ask, deal)
        if deal.phase(true)[1] >= BUSY_MS:
            return
        units = float(draw.randint(1, 3))
        shift = int((true + 977.0 * text.customers[0]) // deal.shift_ms)
        door = deal.doors[shift % len(deal.doors)] if draw.random() < 0.73 else draw.choice(deal.doors)
        name = self._door(door)
        token = deal, units, deal.book.record_request(true, units, name is not None and self._cut(name))
        if name is None:
            return
        machine, side = self.world.machines[name], self.sides[name]
        now = machine.clock.now(true)
        customer = draw.choice(deal.customers)
        reserved = side.floor.draw(now, customer, units)
        if reserved is not None:
            self._served(token)
        else:
            side.floor.wait(now, customer, units, token)

    def _door(self, door: int) -> str | None:
        """The gateway that a client reaches: the one it means, or another that runs and takes clients."""
        names = list(self.world.machines)
        for step in range(len(names)):
            name = names[(door + step) % len(names)]
            side = self.sides.get(name)
            if (
                side is not None
                and self.world.machines[name].up
                and (side.paused_at > self._calendar.now - FRONT_MS and not side.leaving)
            ):
                return name
        return None

    def _cut(self, name: str) -> bool:
        """Whether a gateway hears, or is heard by, no more than half of the fleet."""
        names, cuts = list(self.world.machines), self.world.network.cuts
        return 2 * sum((name, other) not in cuts and (other, name) not in cuts for other in names) <= len(
            names
        )

    def _served(self, token: tuple[Deal, float, tuple[int, bool]]) -> None:
        deal, units, asked = token
        deal.book.record_served(self._calendar.now, units, asked)
        # What all together draw, from the whole rate and burst: the leases' very promise.
        true, text = self._calendar.now, deal.text
        deal.level = min(deal.level + text.rate * (true - deal.level_at) / 1000.0, text.burst) - units
        deal.level_at = true
        deal.overdrawn = max(deal.overdrawn, -deal.level)

    def _turns(self, machine: Machine, side: Side, now: float) -> bool:
        for token, reserved in side.floor.finished_waits(now):
            if reserved is not None:
                self._served(token)
        return any(stake.waiting for stake in side.floor.leases.values())

    def _measure(self) -> None:
        """Parts that holders believe in now, each by its own clock."""
        true = self._calendar.now
        for deal in self.deals:
            held = lent = 0.0
            name = deal.text.name
            for owner, side in self.sides.items():
                stake = side.floor.leases.get(name)
                if stake is None or not stake.share:
                    continue
                machine = self.world.machines[owner]
                now = machine.clock.now(true)
                if now >= stake.expires_ms:
                    continue
                wall = machine.clock.wall(now)
                held += stake.share * (stake.later_fraction if wall >= stake.share_change_ms else 1.0)
                if machine.up and stake.demand.has_stopped(now):
                    lent += stake.share
            over = held - deal.text.rate
            if over > deal.over + 1e-6:
                deal.over = over
            first, last = deal.text.from_ms + EDGE_MS, deal.text.to_ms - EDGE_MS
            if deal.phase(true)[1] > BUSY_MS + 1000.0 and first < true < last and not self._near(true):
                deal.lent += min(lent, deal.text.rate)
                deal.offered += deal.text.rate

    def _near(self, true: float) -> bool:
        return any(loss <= true <= loss + EXCLUDED_AFTER_LOSS_MS for loss in self.losses)

    def finish(self) -> None:
        """Ask what is told of units short."""

        def told(result: Any) -> None:
            if isinstance(result, ApplyResult) and result.error is None:
                for facts in result.value["contracts"].values():
                    self.told_short[facts["contract"]] = sum(facts["short"].values())

        if self.deals:
            self.world.settle(REPORTED_MS)
            self._call(ReadContracts(id="lab/read"), told)

    def contract_floor(self) -> float | None:
        """See badgeryoke.testbed.checkers.contract_ledger."""
        return worst_second(
            [
                deal.book.served_fraction_by_second(0.0, math.inf, self.losses)
                for deal in self.deals
                if deal.admitted
            ]
        )

    def contract_over(self) -> float | None:
        """The most by which leases passed a contract."""
        return max((deal.over for deal in self.deals), default=None)

    def shortfall_error(self) -> float | None:
        """Told against true units short."""
        return max(
            (
                deal.book.report_error(self.told_short.get(deal.text.name, 0.0))
                for deal in self.deals
                if deal.admitted
            ),
            default=None,
        )

    def lent_share(self) -> float | None:
        """Of what was reserved and idle, what gateways offered to others."""
        offered = sum(deal.offered for deal in self.deals)
        return sum(deal.lent for deal in self.deals) / offered if offered else None

    # Rolls ----------------------------------------------------------------------------------------------

    def _query(self) -> None:
        """An ordinary query, for what a roll may lose."""
        if self.world.over or not self.world.loading:
            return
        self._calendar.at(self._calendar.now + 1000.0 * self.draw.expovariate(40.0), self._query)
        name = self._door(self.draw.randrange(self.world.plan.members))
        if name is not None:
            self._flights += 1
            side = self.sides[name]
            side.flights.add(self._flights)
            self._calendar.at(
                self._calendar.now + self.draw.uniform(*WORK_MS), side.flights.discard, self._flights
            )

    def _ask_roll(self, text: RollText, tries: int) -> None:
        command = StartRollingRestart(
            id=f"lab/{text.name}",
            restart=text.name,
            at_once=text.at_once,
            gateways=tuple(f"g{number}" for number in text.gateways),
            reason="laboratory",
            deadline_ms=10_000.0,
            warm_up_ms=WARM_MS,
        )
        self.roll_states.setdefault(text.name, "not asked")

        def told(result: Any) -> None:
            if isinstance(result, ApplyResult) and result.error is None:
                self.roll_states[text.name] = "asked"
                self._asked_at[text.name] = self._calendar.now
                self._calendar.at(self._calendar.now + 300.0, self._read_roll, text)
            elif tries < 10:
                self._calendar.at(self._calendar.now + 300.0, self._ask_roll, text, tries + 1)
            else:
                self.roll_states[text.name] = "failed"

        self._call(command, told)

    def _read_roll(self, text: RollText) -> None:
        def told(result: Any) -> None:
            if isinstance(result, ApplyResult) and result.error is None:
                self.roll_states.update(
                    {one["roll"]: one["state"] for one in result.value if one["roll"] == text.name}
                )
            if self.roll_states[text.name] not in ("done", "failed", "cancelled") and not self.world.over:
                self._calendar.at(self._calendar.now + READ_MS, self._read_roll, text)
            elif self.roll_states[text.name] == "done":
                self._rolled(text)

        self._call(ReadRollingRestarts(id="lab/roll"), told)

    def _rolled(self, text: RollText) -> None:
        """How long it took, against the least that the limits allow with waves as long as those of this
        roll."""
        if not self._waves:
            return
        world, names = self.world, [f"g{number}" for number in text.gateways]
        groups = {
            group: tuple(map(member_name, config.voters))
            for group in world.groups()
            if (config := world.config(group)) is not None
        }
        halls = {name: machine.hall for name, machine in world.machines.items()}
        least = minimum_duration_ms(
            names, groups, halls, text.at_once, 0.0, sum(self._waves) / len(self._waves)
        )
        self.roll_ratio = (self._calendar.now - self._asked_at[text.name]) / least

    def _schedulers(self) -> None:
        """Kill who schedules a roll, when first a gateway stands where the plan says."""
        for name, machine in self.world.machines.items():
            node = machine.node
            if (
                node is None
                or not machine.up
                or FLEET not in node.replicas
                or not node.replicas[FLEET].leading
            ):
                continue
            roll = node.state_machines[FLEET].parts["rolls"].active
            if roll is None:
                continue
            stands = [one.phase.value for one in roll.gateways.values()]
            stand = next((one for one in self._kills.get(roll.name, ()) if one in stands), "")
            if stand:
                self._kills[roll.name].remove(stand)
                self.loss()
                self._killed_at = self._calendar.now
                self.world.kill(name)
                self._calendar.at(self._calendar.now + DOWN_MS, self.world.start, name)
                return

    def look(self) -> None:
        """Watch what a wave has to wait for."""
        if self.world.plan.rolls:
            self._schedulers()
            # Whoever a roll has ended is away by right: its copies are not what is missing.
            self._missing = {
                at: self._missing.get(at, self._calendar.now)
                for at in self.world.missing()
                if member_name(at[1]) not in self.away
            }

    def half_drained(self) -> list[str]:
        """Gateways that turn clients away."""
        return [name for name, side in self.sides.items() if side.paused_at < math.inf]

    def rolled(self) -> bool:
        """Whether all rolls have come to an end."""
        return all(state in ("done", "failed", "cancelled") for state in self.roll_states.values())

    def _roll(self, machine: Machine, side: Side, now: float) -> None:
        true, rolled, keeper, node = self._calendar.now, side.rolled, side.keeper, machine.node
        assert node is not None
        keeper.need_multiple, keeper.draining = rolled.need_multiple, rolled.must_not_lead
        node.avoid_leadership = rolled.must_not_lead
        groups = node.replicas.items()
        drained = rolled.paused and side.paused_at < true - FRONT_MS
        whole = all(
            one.is_up_to_date
            for group, one in groups
            if (config := self.world.config(group)) is not None and machine.id in config.voters
        )
        if whole and not side.leaving and machine.name in self._left_at:
            self._waves.append(
                self._emptied.pop(machine.name) + true - self._left_at.pop(machine.name) + WARM_MS
            )
        empty = not side.flights and keeper.empty
        if drained and empty and not side.leaving:
            self._emptied.setdefault(machine.name, true - side.paused_at)
        rolled.observe(
            groups_led=sum(one.leading for _, one in groups),
            trimmed=all(pool.open - pool.closing <= pool.need for pool in keeper.servers.values()),
            drained=drained,
            empty=empty,
            copies_complete=whole,
        )
        for duty in rolled.next_actions(now):
            if duty is DesiredState.PAUSE:
                side.paused_at = true
            elif duty is DesiredState.RESUME:
                side.paused_at = math.inf
            elif not side.leaving:
                side.leaving = True
                roll = str(rolled.restart)
                at = roll, machine.name
                self.drained[at] = self.drained.get(at, 0) + 1
                if self.drained[at] > 1:
                    self.world.found("drained-twice", f"{machine.name} by {roll}")
                self.away.add(machine.name)
                self._left_at[machine.name] = true
                if len(self.away) > max(text.at_once for text in self.world.plan.rolls):
                    self.world.found("two-waves", f"{sorted(self.away)} by {roll}")
                here = self.world.missing()
                # A step on its way when its scheduler was killed takes effect under the next, by what was so
                # then.
                judged = self._killed_at if true - self._killed_at < DOWN_MS + STALE_MS else true
                late = [at for at, since in self._missing.items() if judged - since > STALE_MS and at in here]
                if late:
                    self.world.found("wave-before-copies", f"{machine.name} ends, missing for long: {late}")
                self._leave(machine, side.life)

    def _leave(self, machine: Machine, life: int) -> None:
        def left(result: Any) -> None:
            if machine.life == life:
                self.world.kill(machine.name)
                self._calendar.at(
                    self._calendar.now + self.draw.uniform(*ACT_MS), self.world.start, machine.name
                )

        self.world.leave(machine.name, left)
