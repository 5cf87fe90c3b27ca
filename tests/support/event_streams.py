"""Seeded streams of events that drive decision modules in a closed loop, for digests of what they decide.

Servers, the counter and the clients are models with phases of trouble.  They answer whatever the modules ask
for, so every event follows from the actions before it, and one digest over all actions stands for the whole
run.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from enum import Enum, auto

from badgeryoke.decisions import interface as api
from badgeryoke.decisions import state_snapshot
from badgeryoke.decisions.counter_health.monitored_policy import MonitoredEngine
from badgeryoke.decisions.policy.engine import DecisionEngine
from badgeryoke.decisions.priority_admission import CEILING, LOAD, SERVER
from tests.support.canonical import Digest

START_MS = 500_000_000.0
PHASE_MS = 2500.0  # servers, counter and discovery keep their trouble for so long
CAUSES = ("", CEILING, LOAD, SERVER)
Module = DecisionEngine | MonitoredEngine


class ServerTrouble(Enum):
    """What is wrong with a server."""

    NONE = auto()
    SLOW = auto()
    FULL = auto()
    FAILING = auto()
    SILENT = auto()
    RESETTING = auto()
    UNREACHABLE = auto()


class CounterTrouble(Enum):
    """What is wrong with the counter."""

    NONE = auto()
    SLOW = auto()
    DEAD = auto()
    BUSY = auto()
    UNREACHABLE = auto()
    FORGETFUL = auto()
    SPLIT = auto()


@dataclass(frozen=True)
class Stream:
    """One stream: what the modules are told, and what surrounds them."""

    name: str
    seed: int
    settings: api.Settings
    other_settings: api.Settings | None = None  # gone by for a while, now and then
    events: int = 9000
    modules: int = 1
    servers: int = 9
    zones: tuple[str, ...] = ("a", "b")
    customers: int = 25
    requests_per_second: float = 60.0  # to each module
    work_ms: float = 60.0
    cores: int = 3
    spread: int = 3
    streamed_classes: frozenset[str] = frozenset()  # classes whose answers begin before they end
    reserved_share: float = 0.0
    server_trouble: float = 0.3  # share of servers in trouble, ...
    server_troubles: tuple[ServerTrouble, ...] = tuple(ServerTrouble)  # ... and what is wrong with them
    counter_trouble: tuple[CounterTrouble, ...] = tuple(CounterTrouble)
    other_gateway_units: float = (
        0.5  # units that other gateways add to a name, for each unit of these modules
    )
    handover_after_events: int = 0  # after so many events the first module hands over; 0: never
    make: Callable[[api.Settings, int], Module] = DecisionEngine


@dataclass
class OpenRequest:
    """A request without its final answer, as its host sees it."""

    module: int
    request: api.Request
    arrived_ms: float
    attempts: int = 0
    server: int | None = None  # of the attempt that is out
    sent_ms: float = 0.0
    begun: bool = False


@dataclass
class ServerModel:
    """A server that works on all it holds at once."""

    info: api.Server
    base_ms: float
    trouble: ServerTrouble = ServerTrouble.NONE
    out: int = 0


@dataclass(order=True)
class Timer:
    """Something that is due."""

    at_ms: float
    order: int
    run: Callable[[], None] = field(compare=False)


def action_values(action: api.Action) -> tuple[object, ...]:
    """An action as plain values, its kind first."""
    if isinstance(action, api.SendAttempt):
        return "send", action.id, action.server, action.timeout_ms
    if isinstance(action, api.CancelAttempt):
        return "cancel", action.id, action.attempt
    if isinstance(action, api.Reject):
        return "refuse", action.id, action.retry_after_ms, CAUSES.index(action.cause)
    if isinstance(action, api.Fail):
        return "fail", action.id
    if isinstance(action, api.AddToCounter):
        return "count", action.name, action.units, action.expire_ms
    if isinstance(action, api.CheckHealth):
        return "probe", action.server
    if isinstance(action, api.SetTimer):
        return "wake", action.at_ms, action.token
    if isinstance(action, api.Subscribe):
        return ("subscribe",)
    return "log", action.text


class CounterModel:
    """Totals by name, on one side or on two while it is split."""

    def __init__(self, draw: random.Random, other_gateway_units: float) -> None:
        self._draw, self._elsewhere = draw, other_gateway_units
        self._sides: list[dict[int, float]] = [{}]
        self.trouble = CounterTrouble.NONE

    def enter(self, trouble: CounterTrouble) -> None:
        """Begin a phase."""
        if trouble is CounterTrouble.FORGETFUL:
            self._sides = [{}]
        elif trouble is CounterTrouble.SPLIT:
            self._sides = [dict(self._sides[0]), dict(self._sides[0])]
        elif len(self._sides) > 1:  # healed: the greater totals are kept
            first, second = self._sides
            self._sides = [
                {name: max(total, second.get(name, 0.0)) for name, total in (second | first).items()}
            ]
        self.trouble = trouble

    def call(self, module: int, action: api.AddToCounter, timeout_ms: float) -> api.CounterReply:
        """Answer one call."""
        draw, trouble = self._draw, self.trouble
        took = draw.uniform(0.4, 3.0)
        if trouble is CounterTrouble.SLOW:
            took = draw.uniform(0.1, 1.4) * timeout_ms
        side = self._sides[module % len(self._sides)]
        if trouble is CounterTrouble.DEAD or (trouble is CounterTrouble.FORGETFUL and draw.random() < 0.1):
            return api.CounterReply(name=action.name, verdict=api.Verdict.TIMEOUT, rtt_ms=timeout_ms)
        if trouble is CounterTrouble.UNREACHABLE:
            return api.CounterReply(name=action.name, verdict=api.Verdict.CONNECT_FAILED, rtt_ms=took)
        if trouble is CounterTrouble.BUSY and draw.random() < 0.6:
            verdict = draw.choice(
                (
                    api.Verdict.QUEUE_FULL,
                    api.Verdict.ERROR,
                    api.Verdict.RESET,
                    api.Verdict.CANCELLED,
                    api.Verdict.NOT_SENT,
                )
            )
            return api.CounterReply(name=action.name, verdict=verdict, rtt_ms=took)
        total = side.get(action.name, 0.0) + action.units
        if action.units > 0 and self._elsewhere and draw.random() < 0.5:
            total += draw.randint(0, 4) * self._elsewhere
        side[action.name] = total
        if took >= timeout_ms:
            return api.CounterReply(name=action.name, verdict=api.Verdict.TIMEOUT, rtt_ms=timeout_ms)
        return api.CounterReply(
            name=action.name, verdict=api.Verdict.OK, rtt_ms=took, total=float(f"{total:.7g}")
        )


class Driver:
    """Plays one stream and digests what its modules decide."""

    def __init__(self, stream: Stream) -> None:
        self.stream, self.digest = stream, Digest()
        self.action_counts: dict[
            str, int
        ] = {}  # how often each kind of action came, to see that a stream is not empty
        self._draw = draw = random.Random(stream.seed)
        self._now = START_MS
        self._timers: list[Timer] = []
        self._made = self._events = self._requests = 0
        self._open: dict[str, OpenRequest] = {}
        self._counter = CounterModel(draw, stream.other_gateway_units)
        self._settings = stream.settings
        self._modules = [
            stream.make(replace(stream.settings, gateway_index=number), stream.seed * 100 + number)
            for number in range(stream.modules)
        ]
        self._doors = list(range(stream.modules))  # which module serves a gateway's new requests
        self._servers: dict[int, ServerModel] = {}
        for number in range(1, stream.servers + 1):
            self._add_server(number, 0.0)

    def run(self) -> Digest:
        """Play it to its last event."""
        for door in range(self.stream.modules):
            self._tell_members(self._doors[door], api.ListScope.CACHED)
            self._later(self._draw.uniform(0.0, 20.0), lambda door=door: self._arrive(door))  # type: ignore[misc]
        self._later(PHASE_MS / 2, self._next_phase)
        while self._events < self.stream.events:
            timer = heapq.heappop(self._timers)
            self._now = max(timer.at_ms, self._now)
            timer.run()
        return self.digest

    def _later(self, wait_ms: float, run: Callable[[], None]) -> None:
        self._made += 1
        heapq.heappush(self._timers, Timer(self._now + max(wait_ms, 0.0), self._made, run))

    # Discovery --------------------------------------------------------------------------------------------

    def _add_server(self, number: int, started_ms: float) -> None:
        draw, zones = self._draw, self.stream.zones
        info = api.Server(
            id=number,
            zone=zones[number % len(zones)],
            kind="std",
            cell=number % 4,
            state=api.EndpointState.UP,
            size=draw.choice((1.0, 1.0, 0.5, 2.0)),
            started_ms=started_ms,
        )
        self._servers[number] = ServerModel(info, self.stream.work_ms * draw.uniform(0.6, 1.6))

    def _tell_members(
        self, module: int, scope: api.ListScope, servers: tuple[api.Server, ...] | None = None
    ) -> None:
        listed = tuple(model.info for model in self._servers.values()) if servers is None else servers
        self._handle(module, api.EndpointList(scope=scope, servers=listed))

    def _change_members(self) -> None:
        draw = self._draw
        number = draw.choice(list(self._servers))
        model = self._servers[number]
        change = draw.randrange(6)
        if change == 0:
            model.info = replace(model.info, state=api.EndpointState.DRAINING)
        elif (
            change == 1 and sum(one.info.state is api.EndpointState.UP for one in self._servers.values()) > 2
        ):
            model.info = replace(model.info, state=api.EndpointState.GONE)
        elif change == 2:
            number = max(self._servers) + 1
            self._add_server(number, self._now + draw.uniform(-500.0, 100.0))
        elif change == 3:  # restarted
            model.info = replace(model.info, state=api.EndpointState.UP, started_ms=self._now)
        else:
            model.info = replace(model.info, state=api.EndpointState.UP)
        changed = self._servers[number].info
        for module in self._doors:
            scope = draw.choice(
                (
                    api.ListScope.CHANGES,
                    api.ListScope.CHANGES,
                    api.ListScope.FULL,
                    api.ListScope.LOST,
                    api.ListScope.CACHED,
                )
            )
            if scope is api.ListScope.CHANGES:
                self._tell_members(module, scope, (changed,))
            elif scope is api.ListScope.LOST:
                self._tell_members(module, scope, ())
            else:
                kept = tuple(
                    one.info for one in self._servers.values() if one.info.state is not api.EndpointState.GONE
                )
                self._tell_members(module, scope, kept)
        if len(self._servers) > self.stream.servers + 3:
            gone = next(
                (
                    key
                    for key, one in self._servers.items()
                    if one.info.state is api.EndpointState.GONE and not one.out
                ),
                None,
            )
            if gone is not None:
                del self._servers[gone]

    # Phases -----------------------------------------------------------------------------------------------

    def _next_phase(self) -> None:
        draw, stream = self._draw, self.stream
        share = draw.choice((0.0, stream.server_trouble, 2.5 * stream.server_trouble))
        common = draw.choice(stream.server_troubles)
        for model in self._servers.values():
            hit = draw.random() < share
            model.trouble = (
                (common if draw.random() < 0.5 else draw.choice(stream.server_troubles))
                if hit
                else (ServerTrouble.NONE)
            )
        self._counter.enter(
            draw.choice(stream.counter_trouble) if draw.random() < 0.6 else CounterTrouble.NONE
        )
        if draw.random() < 0.7:
            self._change_members()
        if stream.other_settings is not None:
            self._settings = draw.choice((stream.settings, stream.other_settings))
            for door, module in enumerate(self._doors):
                self._modules[module].update_settings(replace(self._settings, gateway_index=door))
        self._later(PHASE_MS * draw.uniform(0.4, 1.6), self._next_phase)

    # Clients ----------------------------------------------------------------------------------------------

    def _arrive(self, door: int) -> None:
        draw, stream = self._draw, self.stream
        surge = 3.0 if math.sin(self._now / 1700.0) > 0.6 else 1.0
        self._later(draw.expovariate(stream.requests_per_second * surge / 1000.0), lambda: self._arrive(door))
        customer = min(
            int(draw.expovariate(3.0 / stream.customers)), stream.customers - 1
        )  # some ask for much more
        plans, classes = self._settings.plans, self._settings.classes
        if draw.random() < 0.01:  # a plan or class that only the other settings know
            plans, classes = stream.settings.plans, stream.settings.classes
        if draw.random() < 0.003:
            plans, customer = (api.Plan("unheard of"),), draw.randint(10_000, 20_000)
        cls = draw.choice(classes)
        spread = 1 + (customer + stream.spread) % stream.spread
        self._ask(
            door,
            api.Request(
                id="",
                request_class=cls.name,
                plan=plans[customer % len(plans)].name,
                customer=customer + 1,
                remaining_ms=draw.choice(
                    (cls.deadline_ms, cls.deadline_ms, cls.deadline_ms * draw.random(), 1.0)
                ),
                units=float(draw.randint(1, 4)),
                gateway_set_size=spread,
                first_gateway=customer % max(self._settings.gateway_count, 1),
                retry=False,
                reservation_rank=draw.randint(1, 3) if draw.random() < stream.reserved_share else 0,
            ),
        )
        if self._events % 50 == 0:
            for module in self._doors:
                self.digest.add(
                    (self._now, module, self._modules[module].unavailable_server_count(self._now))
                )
        if self._events % 37 == 0:
            self._strange_event(self._doors[door])

    def _strange_event(self, module: int) -> None:
        """What comes late, twice, or for somebody else."""
        draw = self._draw
        self._handle(
            module,
            draw.choice(
                (
                    api.TimerFired(token=0),
                    api.ClientDisconnected(id="nobody"),
                    api.ResponseStarted(id="nobody"),
                    api.CounterReply(name=12345, verdict=api.Verdict.OK, rtt_ms=1.0, total=3.0),
                    api.HealthCheckResult(
                        server=1, verdict=draw.choice(list(api.Verdict)), rtt_ms=2.0, report=(0.5,)
                    ),
                    api.AttemptOutcome(
                        id="nobody",
                        attempt=0,
                        server=draw.choice((1, 9999)),
                        verdict=api.Verdict.RESET,
                        rtt_ms=5.0,
                        ended=True,
                    ),
                )
            ),
        )

    def _ask(self, door: int, draft: api.Request) -> None:
        self._requests += 1
        request = replace(draft, id=f"r{self._requests}")
        module = self._doors[door]
        self._open[request.id] = OpenRequest(module, request, self._now)
        if not self._handle(module, request):
            del self._open[request.id]
        elif request.id in self._open and self._draw.random() < 0.04:
            self._later(self._draw.uniform(0.0, 400.0), lambda: self._leave(request.id))

    def _leave(self, rid: str) -> None:
        found = self._open.pop(rid, None)
        if found is None:
            return
        self._handle(found.module, api.ClientDisconnected(id=rid))
        if found.server is not None and not found.begun:
            self._free(found.server)
            self._handle(
                found.module,
                api.AttemptOutcome(
                    id=rid,
                    attempt=found.attempts - 1,
                    server=found.server,
                    verdict=api.Verdict.CANCELLED,
                    rtt_ms=self._now - found.sent_ms,
                    ended=True,
                ),
            )

    def _refused(self, rid: str, wait_ms: float) -> None:
        found = self._open.pop(rid, None)
        if found is not None and self._draw.random() < 0.3:
            door = self._draw.randrange(len(self._doors))
            again = replace(found.request, retry=True)
            self._later(min(wait_ms, 5000.0), lambda: self._ask(door, again))

    # Actions ----------------------------------------------------------------------------------------------

    def _handle(self, module: int, event: api.Event) -> bool:
        self._events += 1
        try:
            actions = self._modules[module].handle(self._now, event)
        except ValueError:  # a class or plan that is not among the settings
            self.digest.add((self._now, module, "unknown"))
            return False
        self.digest.add((self._now, module, [action_values(action) for action in actions]))
        made = self._modules[module]
        if isinstance(made, MonitoredEngine):
            for change in made.take_changes():
                self.action_counts["belief"] = self.action_counts.get("belief", 0) + 1
                self.digest.add((change.at_ms, change.old, change.new, change.symptom, change.hidden))
        for action in actions:
            self._act(module, action)
        if (
            self._events >= self.stream.handover_after_events > 0
            and len(self._modules) == self.stream.modules
        ):
            self._hand_over()
        return True

    def _act(self, module: int, action: api.Action) -> None:
        kind = str(action_values(action)[0])
        self.action_counts[kind] = self.action_counts.get(kind, 0) + 1
        if isinstance(action, api.SendAttempt):
            self._send(action)
        elif isinstance(action, api.CancelAttempt):
            self._later(
                self._draw.choice((0.0, 0.0, 30.0)), lambda: self._cancelled(action.id, action.attempt)
            )
        elif isinstance(action, api.Reject):
            self._refused(action.id, action.retry_after_ms)
        elif isinstance(action, api.Fail):
            self._open.pop(action.id, None)
        elif isinstance(action, api.AddToCounter):
            total = self._counter.call(module, action, self._settings.counter_timeout_ms)
            self._later(total.rtt_ms, lambda: self._answered(module, total))
        elif isinstance(action, api.SetTimer):
            self._later(action.at_ms - self._now, lambda: self._due(module, action.token))
        elif isinstance(action, api.Subscribe):
            self._later(5.0, lambda: self._tell_members(module, api.ListScope.FULL))

    def _answered(self, module: int, total: api.CounterReply) -> None:
        self._handle(module, total)

    def _due(self, module: int, token: int) -> None:
        self._handle(module, api.TimerFired(token=token))

    # Servers ----------------------------------------------------------------------------------------------

    def _send(self, action: api.SendAttempt) -> None:
        found, model, draw = self._open[action.id], self._servers[action.server], self._draw
        number = found.attempts
        found.attempts, found.server, found.sent_ms, found.begun = number + 1, action.server, self._now, False
        model.out += 1
        took = model.base_ms * draw.lognormvariate(0.0, 0.6) * max(1.0, model.out / self.stream.cores)
        verdict = api.Verdict.OK
        match model.trouble:
            case ServerTrouble.SLOW:
                took *= 6.0
            case ServerTrouble.FULL:
                took, verdict = draw.uniform(0.5, 2.0), api.Verdict.QUEUE_FULL
            case ServerTrouble.FAILING if draw.random() < 0.7:
                took, verdict = draw.uniform(0.5, 20.0), api.Verdict.ERROR
            case ServerTrouble.SILENT:
                took = math.inf
            case ServerTrouble.RESETTING if draw.random() < 0.7:
                took, verdict = took / 2, api.Verdict.RESET
            case ServerTrouble.UNREACHABLE:
                took, verdict = draw.uniform(0.5, 250.0), api.Verdict.CONNECT_FAILED
            case _:
                if draw.random() < 0.01:
                    took, verdict = 1.0, api.Verdict.NOT_SENT
        if took >= action.timeout_ms:
            took, verdict = action.timeout_ms, api.Verdict.TIMEOUT
        if verdict is api.Verdict.OK and found.request.request_class in self.stream.streamed_classes:
            self._later(took, lambda: self._begin(action.id, number))
            took *= 1.5
        self._later(took, lambda: self._ended(action.id, number, verdict))

    def _is_out(self, rid: str, attempt: int) -> OpenRequest | None:
        found = self._open.get(rid)
        return found if found and found.server is not None and found.attempts == attempt + 1 else None

    def _begin(self, rid: str, attempt: int) -> None:
        found = self._is_out(rid, attempt)
        if found is not None:
            found.begun = True
            self._handle(found.module, api.ResponseStarted(id=rid))

    def _free(self, server: int) -> None:
        if server in self._servers:
            self._servers[server].out -= 1

    def _cancelled(self, rid: str, attempt: int) -> None:
        self._ended(rid, attempt, api.Verdict.CANCELLED)

    def _ended(self, rid: str, attempt: int, verdict: api.Verdict) -> None:
        found = self._is_out(rid, attempt)
        if found is None or found.server is None:
            return
        draw, server, rtt = self._draw, found.server, self._now - found.sent_ms
        found.server = None
        self._free(server)
        ended = (
            verdict is api.Verdict.OK
            or found.begun
            or (verdict is api.Verdict.ERROR and draw.random() < 0.3)
            or (verdict is api.Verdict.TIMEOUT and draw.random() < 0.5)
        )
        true_units = 0.0
        if verdict is api.Verdict.OK and draw.random() < 0.6:
            true_units = max(found.request.units + draw.choice((-1.0, 0.0, 1.0, 2.0)), 0.0)
        if ended:
            del self._open[rid]
        self._handle(
            found.module,
            api.AttemptOutcome(
                id=rid,
                attempt=attempt,
                server=server,
                verdict=verdict,
                rtt_ms=rtt,
                ended=ended,
                true_units=true_units,
                report=(rtt, 1.0) if draw.random() < 0.5 else (),
            ),
        )

    # Handover ---------------------------------------------------------------------------------------------

    def _hand_over(self) -> None:
        """The first gateway's next process takes over; what is open stays with the old one."""
        old = self._modules[self._doors[0]]
        new = self.stream.make(replace(self._settings, gateway_index=0), self.stream.seed * 100 + 99)
        if not isinstance(old, DecisionEngine) or not isinstance(new, DecisionEngine):
            raise TypeError("only a module without a watch hands over")
        number = len(self._modules)
        self._modules.append(new)
        self._doors[0] = number
        self._tell_members(number, api.ListScope.CACHED)
        names = {key: f"host-{key}" for key in self._servers if key % 7}
        handed = state_snapshot.take_snapshot(old, names)
        line, _, body = state_snapshot.encode(handed).partition(b"\n")
        checksum, length = state_snapshot.read_head(line)
        if length != len(body):
            raise ValueError("the head tells another length")
        numbers = {name: key for key, name in names.items() if key % 5}
        actions = state_snapshot.restore_snapshot(
            new, self._now, state_snapshot.decode(body, checksum), numbers
        )
        self.digest.add((self._now, number, [action_values(action) for action in actions]))
        self.action_counts["handover"] = self.action_counts.get("handover", 0) + len(actions)
        state_snapshot.mark_transferred(old, handed)
        for action in actions:
            self._act(number, action)
