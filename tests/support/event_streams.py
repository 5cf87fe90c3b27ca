"""Seeded event streams that drive decision modules in a closed loop, for digests of their decisions.

Servers, the counter and the clients are models with phases of faults.  They carry out the modules' actions, so every
event follows from the actions before it, and one digest over all actions represents the whole run.
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
PHASE_MS = 2500.0  # mean time between changes of the faults of servers and counter, and of the endpoint list
CAUSES = ("", CEILING, LOAD, SERVER)
Module = DecisionEngine | MonitoredEngine


class ServerTrouble(Enum):
    """The fault of a server."""

    NONE = auto()
    SLOW = auto()
    FULL = auto()
    FAILING = auto()
    SILENT = auto()
    RESETTING = auto()
    UNREACHABLE = auto()


class CounterTrouble(Enum):
    """The fault of the counter."""

    NONE = auto()
    SLOW = auto()
    DEAD = auto()
    BUSY = auto()
    UNREACHABLE = auto()
    FORGETFUL = auto()
    SPLIT = auto()


@dataclass(frozen=True)
class Stream:
    """The parameters of a stream: the modules' settings, and their clients, servers and counter."""

    name: str
    seed: int
    settings: api.Settings
    other_settings: api.Settings | None = None  # replaces `settings` in some phases
    events: int = 9000
    modules: int = 1
    servers: int = 9
    zones: tuple[str, ...] = ("a", "b")
    customers: int = 25
    requests_per_second: float = 60.0  # for each module
    work_ms: float = 60.0
    cores: int = 3
    spread: int = 3
    streamed_classes: frozenset[str] = frozenset()  # classes with streamed responses
    reserved_share: float = 0.0
    server_trouble: float = 0.3  # share of servers with a fault
    server_troubles: tuple[ServerTrouble, ...] = tuple(ServerTrouble)  # the faults to choose from
    counter_trouble: tuple[CounterTrouble, ...] = tuple(CounterTrouble)
    other_gateway_units: float = 0.5  # scales the units that other gateways add at a call
    handover_after_events: int = 0  # number of events after which the first module is replaced; 0: never
    make: Callable[[api.Settings, int], Module] = DecisionEngine


@dataclass
class OpenRequest:
    """A request without its final response, as the host of the module sees it."""

    module: int
    request: api.Request
    arrived_ms: float
    attempts: int = 0
    server: int | None = None  # of the attempt in flight
    sent_ms: float = 0.0
    begun: bool = False


@dataclass
class ServerModel:
    """A server that processes all attempts in flight concurrently."""

    info: api.Server
    base_ms: float
    trouble: ServerTrouble = ServerTrouble.NONE
    in_flight: int = 0


@dataclass(order=True)
class ScheduledCallback:
    """A scheduled callback."""

    at_ms: float
    order: int
    run: Callable[[], None] = field(compare=False)


def action_values(action: api.Action) -> tuple[object, ...]:
    """Return an action as plain values, its kind first."""
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
    """Totals by name: one set, or two while the counter is split."""

    def __init__(self, draw: random.Random, other_gateway_units: float) -> None:
        self._draw, self._elsewhere = draw, other_gateway_units
        self._sides: list[dict[int, float]] = [{}]
        self.trouble = CounterTrouble.NONE

    def begin_phase(self, trouble: CounterTrouble) -> None:
        """Begin a phase with a fault."""
        if trouble is CounterTrouble.FORGETFUL:
            self._sides = [{}]
        elif trouble is CounterTrouble.SPLIT:
            self._sides = [dict(self._sides[0]), dict(self._sides[0])]
        elif len(self._sides) > 1:  # after a split, keep the greater totals
            first, second = self._sides
            self._sides = [
                {name: max(total, second.get(name, 0.0)) for name, total in (second | first).items()}
            ]
        self.trouble = trouble

    def call(self, module: int, action: api.AddToCounter, timeout_ms: float) -> api.CounterReply:
        """Return the reply to a call."""
        draw, trouble = self._draw, self.trouble
        rtt_ms = draw.uniform(0.4, 3.0)
        if trouble is CounterTrouble.SLOW:
            rtt_ms = draw.uniform(0.1, 1.4) * timeout_ms
        side = self._sides[module % len(self._sides)]
        if trouble is CounterTrouble.DEAD or (trouble is CounterTrouble.FORGETFUL and draw.random() < 0.1):
            return api.CounterReply(name=action.name, verdict=api.Verdict.TIMEOUT, rtt_ms=timeout_ms)
        if trouble is CounterTrouble.UNREACHABLE:
            return api.CounterReply(name=action.name, verdict=api.Verdict.CONNECT_FAILED, rtt_ms=rtt_ms)
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
            return api.CounterReply(name=action.name, verdict=verdict, rtt_ms=rtt_ms)
        total = side.get(action.name, 0.0) + action.units
        if action.units > 0 and self._elsewhere and draw.random() < 0.5:
            total += draw.randint(0, 4) * self._elsewhere
        side[action.name] = total
        if rtt_ms >= timeout_ms:
            return api.CounterReply(name=action.name, verdict=api.Verdict.TIMEOUT, rtt_ms=timeout_ms)
        return api.CounterReply(
            name=action.name, verdict=api.Verdict.OK, rtt_ms=rtt_ms, total=float(f"{total:.7g}")
        )


class Driver:
    """Runs one stream and digests the decisions of its modules."""

    def __init__(self, stream: Stream) -> None:
        self.stream, self.digest = stream, Digest()
        # Number of actions by kind, to check that a stream has all of them.
        self.action_counts: dict[str, int] = {}
        self._draw = draw = random.Random(stream.seed)
        self._now = START_MS
        self._timers: list[ScheduledCallback] = []
        self._scheduled_count = self._events = self._requests = 0
        self._open: dict[str, OpenRequest] = {}
        self._counter = CounterModel(draw, stream.other_gateway_units)
        self._settings = stream.settings
        self._modules = [
            stream.make(replace(stream.settings, gateway_index=number), stream.seed * 100 + number)
            for number in range(stream.modules)
        ]
        # For each gateway, the module that gets its new requests.
        self._current_modules = list(range(stream.modules))
        self._servers: dict[int, ServerModel] = {}
        for number in range(1, stream.servers + 1):
            self._add_server(number, 0.0)

    def run(self) -> Digest:
        """Run the stream to its last event."""
        for gateway in range(self.stream.modules):
            self._send_endpoint_list(self._current_modules[gateway], api.ListScope.CACHED)
            self._schedule(self._draw.uniform(0.0, 20.0), lambda gateway=gateway: self._arrive(gateway))  # type: ignore[misc]
        self._schedule(PHASE_MS / 2, self._begin_phase)
        while self._events < self.stream.events:
            timer = heapq.heappop(self._timers)
            self._now = max(timer.at_ms, self._now)
            timer.run()
        return self.digest

    def _schedule(self, wait_ms: float, run: Callable[[], None]) -> None:
        self._scheduled_count += 1
        heapq.heappush(
            self._timers, ScheduledCallback(self._now + max(wait_ms, 0.0), self._scheduled_count, run)
        )

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

    def _send_endpoint_list(
        self, module: int, scope: api.ListScope, servers: tuple[api.Server, ...] | None = None
    ) -> None:
        listed = tuple(model.info for model in self._servers.values()) if servers is None else servers
        self._handle(module, api.EndpointList(scope=scope, servers=listed))

    def _change_endpoints(self) -> None:
        draw = self._draw
        number = draw.choice(list(self._servers))
        model = self._servers[number]
        change = draw.randrange(6)
        if change == 0:
            model.info = replace(model.info, state=api.EndpointState.DRAINING)
        elif (
            change == 1
            and sum(server.info.state is api.EndpointState.UP for server in self._servers.values()) > 2
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
        for module in self._current_modules:
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
                self._send_endpoint_list(module, scope, (changed,))
            elif scope is api.ListScope.LOST:
                self._send_endpoint_list(module, scope, ())
            else:
                kept = tuple(
                    server.info
                    for server in self._servers.values()
                    if server.info.state is not api.EndpointState.GONE
                )
                self._send_endpoint_list(module, scope, kept)
        if len(self._servers) > self.stream.servers + 3:
            gone = next(
                (
                    key
                    for key, server in self._servers.items()
                    if server.info.state is api.EndpointState.GONE and not server.in_flight
                ),
                None,
            )
            if gone is not None:
                del self._servers[gone]

    # Phases -----------------------------------------------------------------------------------------------

    def _begin_phase(self) -> None:
        draw, stream = self._draw, self.stream
        share = draw.choice((0.0, stream.server_trouble, 2.5 * stream.server_trouble))
        common = draw.choice(stream.server_troubles)
        for model in self._servers.values():
            has_fault = draw.random() < share
            model.trouble = (
                (common if draw.random() < 0.5 else draw.choice(stream.server_troubles))
                if has_fault
                else (ServerTrouble.NONE)
            )
        self._counter.begin_phase(
            draw.choice(stream.counter_trouble) if draw.random() < 0.6 else CounterTrouble.NONE
        )
        if draw.random() < 0.7:
            self._change_endpoints()
        if stream.other_settings is not None:
            self._settings = draw.choice((stream.settings, stream.other_settings))
            for gateway, module in enumerate(self._current_modules):
                self._modules[module].update_settings(replace(self._settings, gateway_index=gateway))
        self._schedule(PHASE_MS * draw.uniform(0.4, 1.6), self._begin_phase)

    # Clients ----------------------------------------------------------------------------------------------

    def _arrive(self, gateway: int) -> None:
        draw, stream = self._draw, self.stream
        load_factor = 3.0 if math.sin(self._now / 1700.0) > 0.6 else 1.0
        self._schedule(
            draw.expovariate(stream.requests_per_second * load_factor / 1000.0), lambda: self._arrive(gateway)
        )
        customer = min(
            int(draw.expovariate(3.0 / stream.customers)), stream.customers - 1
        )  # some customers send many more requests
        plans, classes = self._settings.plans, self._settings.classes
        if draw.random() < 0.01:  # a plan or class of the stream's settings that the current ones may lack
            plans, classes = stream.settings.plans, stream.settings.classes
        if draw.random() < 0.003:
            plans, customer = (api.Plan("unheard of"),), draw.randint(10_000, 20_000)
        cls = draw.choice(classes)
        spread = 1 + (customer + stream.spread) % stream.spread
        self._submit(
            gateway,
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
            for module in self._current_modules:
                self.digest.add(
                    (self._now, module, self._modules[module].unavailable_server_count(self._now))
                )
        if self._events % 37 == 0:
            self._send_unexpected_event(self._current_modules[gateway])

    def _send_unexpected_event(self, module: int) -> None:
        """Send a module a random event that is late, repeated or for an unknown request."""
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

    def _submit(self, gateway: int, draft: api.Request) -> None:
        self._requests += 1
        request = replace(draft, id=f"r{self._requests}")
        module = self._current_modules[gateway]
        self._open[request.id] = OpenRequest(module, request, self._now)
        if not self._handle(module, request):
            del self._open[request.id]
        elif request.id in self._open and self._draw.random() < 0.04:
            self._schedule(self._draw.uniform(0.0, 400.0), lambda: self._disconnect_client(request.id))

    def _disconnect_client(self, rid: str) -> None:
        open_request = self._open.pop(rid, None)
        if open_request is None:
            return
        self._handle(open_request.module, api.ClientDisconnected(id=rid))
        if open_request.server is not None and not open_request.begun:
            self._release_server(open_request.server)
            self._handle(
                open_request.module,
                api.AttemptOutcome(
                    id=rid,
                    attempt=open_request.attempts - 1,
                    server=open_request.server,
                    verdict=api.Verdict.CANCELLED,
                    rtt_ms=self._now - open_request.sent_ms,
                    ended=True,
                ),
            )

    def _retry_rejected(self, rid: str, wait_ms: float) -> None:
        open_request = self._open.pop(rid, None)
        if open_request is not None and self._draw.random() < 0.3:
            gateway = self._draw.randrange(len(self._current_modules))
            retry_request = replace(open_request.request, retry=True)
            self._schedule(min(wait_ms, 5000.0), lambda: self._submit(gateway, retry_request))

    # Actions ----------------------------------------------------------------------------------------------

    def _handle(self, module: int, event: api.Event) -> bool:
        self._events += 1
        try:
            actions = self._modules[module].handle(self._now, event)
        except ValueError:  # the class or plan is not in the settings
            self.digest.add((self._now, module, "unknown"))
            return False
        self.digest.add((self._now, module, [action_values(action) for action in actions]))
        engine = self._modules[module]
        if isinstance(engine, MonitoredEngine):
            for change in engine.take_changes():
                self.action_counts["belief"] = self.action_counts.get("belief", 0) + 1
                self.digest.add((change.at_ms, change.old, change.new, change.symptom, change.hidden))
        for action in actions:
            self._carry_out(module, action)
        if (
            self._events >= self.stream.handover_after_events > 0
            and len(self._modules) == self.stream.modules
        ):
            self._hand_over()
        return True

    def _carry_out(self, module: int, action: api.Action) -> None:
        kind = str(action_values(action)[0])
        self.action_counts[kind] = self.action_counts.get(kind, 0) + 1
        if isinstance(action, api.SendAttempt):
            self._send(action)
        elif isinstance(action, api.CancelAttempt):
            self._schedule(
                self._draw.choice((0.0, 0.0, 30.0)), lambda: self._cancel_attempt(action.id, action.attempt)
            )
        elif isinstance(action, api.Reject):
            self._retry_rejected(action.id, action.retry_after_ms)
        elif isinstance(action, api.Fail):
            self._open.pop(action.id, None)
        elif isinstance(action, api.AddToCounter):
            total = self._counter.call(module, action, self._settings.counter_timeout_ms)
            self._schedule(total.rtt_ms, lambda: self._handle_reply(module, total))
        elif isinstance(action, api.SetTimer):
            self._schedule(action.at_ms - self._now, lambda: self._handle_timer(module, action.token))
        elif isinstance(action, api.Subscribe):
            self._schedule(5.0, lambda: self._send_endpoint_list(module, api.ListScope.FULL))

    def _handle_reply(self, module: int, total: api.CounterReply) -> None:
        self._handle(module, total)

    def _handle_timer(self, module: int, token: int) -> None:
        self._handle(module, api.TimerFired(token=token))

    # Servers ----------------------------------------------------------------------------------------------

    def _send(self, action: api.SendAttempt) -> None:
        open_request, model, draw = self._open[action.id], self._servers[action.server], self._draw
        number = open_request.attempts
        open_request.attempts, open_request.server, open_request.sent_ms, open_request.begun = (
            number + 1,
            action.server,
            self._now,
            False,
        )
        model.in_flight += 1
        rtt_ms = model.base_ms * draw.lognormvariate(0.0, 0.6) * max(1.0, model.in_flight / self.stream.cores)
        verdict = api.Verdict.OK
        match model.trouble:
            case ServerTrouble.SLOW:
                rtt_ms *= 6.0
            case ServerTrouble.FULL:
                rtt_ms, verdict = draw.uniform(0.5, 2.0), api.Verdict.QUEUE_FULL
            case ServerTrouble.FAILING if draw.random() < 0.7:
                rtt_ms, verdict = draw.uniform(0.5, 20.0), api.Verdict.ERROR
            case ServerTrouble.SILENT:
                rtt_ms = math.inf
            case ServerTrouble.RESETTING if draw.random() < 0.7:
                rtt_ms, verdict = rtt_ms / 2, api.Verdict.RESET
            case ServerTrouble.UNREACHABLE:
                rtt_ms, verdict = draw.uniform(0.5, 250.0), api.Verdict.CONNECT_FAILED
            case _:
                if draw.random() < 0.01:
                    rtt_ms, verdict = 1.0, api.Verdict.NOT_SENT
        if rtt_ms >= action.timeout_ms:
            rtt_ms, verdict = action.timeout_ms, api.Verdict.TIMEOUT
        if verdict is api.Verdict.OK and open_request.request.request_class in self.stream.streamed_classes:
            self._schedule(rtt_ms, lambda: self._start_response(action.id, number))
            rtt_ms *= 1.5
        self._schedule(rtt_ms, lambda: self._end_attempt(action.id, number, verdict))

    def _attempt_in_flight(self, rid: str, attempt: int) -> OpenRequest | None:
        open_request = self._open.get(rid)
        return (
            open_request
            if open_request and open_request.server is not None and open_request.attempts == attempt + 1
            else None
        )

    def _start_response(self, rid: str, attempt: int) -> None:
        open_request = self._attempt_in_flight(rid, attempt)
        if open_request is not None:
            open_request.begun = True
            self._handle(open_request.module, api.ResponseStarted(id=rid))

    def _release_server(self, server: int) -> None:
        if server in self._servers:
            self._servers[server].in_flight -= 1

    def _cancel_attempt(self, rid: str, attempt: int) -> None:
        self._end_attempt(rid, attempt, api.Verdict.CANCELLED)

    def _end_attempt(self, rid: str, attempt: int, verdict: api.Verdict) -> None:
        open_request = self._attempt_in_flight(rid, attempt)
        if open_request is None or open_request.server is None:
            return
        draw, server, rtt = self._draw, open_request.server, self._now - open_request.sent_ms
        open_request.server = None
        self._release_server(server)
        ended = (
            verdict is api.Verdict.OK
            or open_request.begun
            or (verdict is api.Verdict.ERROR and draw.random() < 0.3)
            or (verdict is api.Verdict.TIMEOUT and draw.random() < 0.5)
        )
        true_units = 0.0
        if verdict is api.Verdict.OK and draw.random() < 0.6:
            true_units = max(open_request.request.units + draw.choice((-1.0, 0.0, 1.0, 2.0)), 0.0)
        if ended:
            del self._open[rid]
        self._handle(
            open_request.module,
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
        """Hand over to the first gateway's next process; open requests stay with the old one."""
        old = self._modules[self._current_modules[0]]
        new = self.stream.make(replace(self._settings, gateway_index=0), self.stream.seed * 100 + 99)
        if not isinstance(old, DecisionEngine) or not isinstance(new, DecisionEngine):
            raise TypeError("only a DecisionEngine can be handed over")
        number = len(self._modules)
        self._modules.append(new)
        self._current_modules[0] = number
        self._send_endpoint_list(number, api.ListScope.CACHED)
        names = {key: f"host-{key}" for key in self._servers if key % 7}
        snapshot = state_snapshot.take_snapshot(old, names)
        line, _, body = state_snapshot.encode(snapshot).partition(b"\n")
        checksum, length = state_snapshot.read_head(line)
        if length != len(body):
            raise ValueError("the length in the head differs from the body's")
        numbers = {name: key for key, name in names.items() if key % 5}
        actions = state_snapshot.restore_snapshot(
            new, self._now, state_snapshot.decode(body, checksum), numbers
        )
        self.digest.add((self._now, number, [action_values(action) for action in actions]))
        self.action_counts["handover"] = self.action_counts.get("handover", 0) + len(actions)
        state_snapshot.mark_transferred(old, snapshot)
        for action in actions:
            self._carry_out(number, action)
