"""The module's actor: queries come in, executions go out, and each query gets exactly one final answer.

No wire is known here.  The clock, the loop, the links to servers and the counter are passed in.
"""

from __future__ import annotations

import asyncio
import logging
import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from badgeryoke.decisions import interface as api
from badgeryoke.decisions.policy.engine import DecisionEngine
from badgeryoke.gateway.actor import Actor, ActorScheduler
from badgeryoke.gateway.attempt import Attempt, AttemptEnd, Request, Upstream
from badgeryoke.gateway.metrics import COMPLETED, FAILED, REJECTED, Metrics
from badgeryoke.gateway.response_stream import ResponseStream

if TYPE_CHECKING:
    from badgeryoke.cluster.reservations.lease_client import ReservedUnits
    from badgeryoke.decisions.counter_health.monitored_policy import MonitoredEngine
    from badgeryoke.decisions.state_snapshot import StateSnapshot
    from badgeryoke.gateway.reserved_admission import ReservationLeases, ReservedAdmission

log = logging.getLogger(__name__)

# An answer is given so much before the client gives up: it has to get there, and the loop may be busy.
GUARD_MS = 15.0
GUARD_PART = 0.1  # and no more than this part of a short deadline
# How late the event loop may run, in parts of the shortest aim, before queries are refused unseen; with each
# further part of it more of them are, by this factor and up to this share.
LAG_PART, LAG_FACTOR, LAG_MOST = 0.15, 3.0, 0.9
LAG_GAIN = 0.2  # weight of one look at it: a single stall is no overload
FALLBACK_RETRY_MS = 100.0  # advice of a refusal that the module had no say in
MOST_QUERIES = 10_000  # taken and not yet answered; more are refused unseen, ...
MOST_BODIES = 32 * 1024 * 1024  # ... as are those whose bodies together pass a bound: this one, or a narrower
# Why units that were drawn under a lease were not served; the module may name another cause.
GATEWAY, LOAD, LATE, SERVER = "gateway", "load", "late", "server"


@dataclass(frozen=True, slots=True)
class Served:
    """The value as a server gave it, and the true units where they were told."""

    value: bytes
    true_units: float = 0.0


@dataclass(frozen=True, slots=True)
class Rejected:
    """A repeat under the same key does no harm; come back after so long."""

    retry_after_ms: float
    may_have_run: bool = False


@dataclass(frozen=True, slots=True)
class Failed:
    """No promise about its effect."""

    detail: str


@dataclass(frozen=True, slots=True)
class Streaming:
    """A long value has begun: the rest comes through the relay, or breaks off there."""

    relay: ResponseStream


Response = Served | Rejected | Failed | Streaming


class Counter(Protocol):
    """The counter, as the core sees it."""

    def add(self, name: int, units: float, life_ms: float, done: Callable[[api.CounterReply], None]) -> None:
        """Make one call; done is called once, later."""


class DecisionModule(Protocol):
    """What decides: the module, or the module under a watch over the counter."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Decide on one event; gives the actions to carry out."""

    def avoided(self, now: float) -> int:
        """How many of the listed servers get nothing now."""

    def update_settings(self, settings: api.Settings) -> None:
        """Go by new settings; what is open keeps what it began with."""


class PendingRequest:
    """A query that is owed its answer, or whose last execution is still out."""

    __slots__ = (
        "answer",
        "attempts",
        "cause",
        "cls",
        "deadline_ms",
        "execution",
        "first_ms",
        "harmless",
        "id",
        "may_have_run",
        "query",
        "relay",
        "reserved",
        "risk_ms",
        "timer",
        "window_ms",
    )
    cause: str  # badgeryoke.gateway.reserved_admission sets it with `reserved`

    def __init__(
        self,
        rid: str,
        query: Request,
        answer: Callable[[Response], None],
        deadline_ms: float,
        cls: api.RequestClass,
    ) -> None:
        self.id, self.query, self.deadline_ms = rid, query, deadline_ms
        self.cls = cls  # as it was when the query was checked; the module gets it under no other
        # How long after an attempt that may have run another may come to a server.
        self.window_ms = (
            cls.deduplication_window_ms if cls.idempotency is api.Idempotency.WITH_KEY else math.inf
        )
        # A client's own repeat does no harm even if it may have run.
        self.harmless = cls.idempotency is api.Idempotency.IDEMPOTENT or (
            cls.idempotency is api.Idempotency.WITH_KEY
            and cls.deduplication_scope is api.DeduplicationScope.ALL
        )
        self.risk_ms = math.inf  # when the first such attempt was started
        self.answer: Callable[[Response], None] | None = answer  # None: the final answer is given
        self.may_have_run = False
        self.attempts = 0
        self.execution: Attempt | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.relay: ResponseStream | None = None  # the final answer has begun, and is not at its end
        self.first_ms = 0.0  # how long its first bytes took
        self.reserved: ReservedUnits | None = None  # its units were drawn under a lease


class Dispatcher(Actor):
    """Drives one decision module."""

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        loop: ActorScheduler,
        clock: Callable[[], float],
        links: Callable[[int], Upstream | None],
        counter: Counter,
        most_bodies: int = MOST_BODIES,
        watch: bool = False,
        reserves: bool = False,
    ) -> None:
        super().__init__(loop)
        make = DecisionEngine
        if reserves:
            from badgeryoke.decisions.priority_admission import (
                PriorityDecisionEngine as make,  # not loaded where nothing is reserved
            )
        self._module: DecisionModule = make(settings, seed)
        self._watched: MonitoredEngine | None = None
        if watch:
            from badgeryoke.decisions.counter_health.monitored_policy import (
                MonitoredEngine,  # not loaded where it is off
            )

            self._module = self._watched = MonitoredEngine(settings, seed, make)
        self._guarantee: ReservedAdmission | None = None
        self._clock, self._links, self._counter = clock, links, counter
        self._most_bodies = most_bodies
        self._go_by(settings)
        self._ids: set[str] = set()  # of the queries that are owed an answer
        self._running: dict[str, PendingRequest] = {}
        self._wakes: dict[int, asyncio.TimerHandle] = {}  # as many as the module has asked for and not had
        self._lag_ms, self._random = 0.0, random.Random(seed)
        self._next = self._bodies = 0
        self.faults = 0
        self.figures = Metrics(self._classes)

    def guarantee(self, floor: ReservationLeases, now: Callable[[], float]) -> None:
        """Ask a gateway's contracts before the module; they go by a clock of their own, ms."""
        from badgeryoke.gateway.reserved_admission import ReservedAdmission

        self._guarantee = ReservedAdmission(floor, now, self._loop, lambda run: self.post(self._turn, run))

    def _go_by(self, settings: api.Settings) -> None:
        self._classes = {cls.name: cls for cls in settings.classes}
        self._plans = {plan.name for plan in settings.plans}
        self._gateways, self._max_units = settings.gateway_count, settings.max_request_units
        self._slack_ms = settings.response_slack_ms  # for the way to a server
        self._aim_ms = min((cls.latency_objective_ms for cls in settings.classes), default=1000.0)

    def retune(self, settings: api.Settings) -> None:
        """Take up new settings, behind what has come already."""
        self.post(self._retune, settings)

    def _retune(self, settings: api.Settings) -> None:
        self._module.update_settings(settings)
        self._go_by(settings)
        self.figures.add_classes(self._classes)

    @property
    def unanswered(self) -> int:
        """Queries that are owed an answer still."""
        return sum(1 for run in self._running.values() if run.answer is not None)

    @property
    def avoided(self) -> int:
        """Backends in the list that the module sends nothing to now."""
        return self._module.avoided(self._clock())

    def problem(self, query: Request) -> str | None:
        """What is wrong with a query, in words for whoever sent it; None where it can be taken."""
        cls = self._classes.get(query.cls)
        if cls is None:
            return f"unknown class {query.cls[:32]!r}"
        if query.safe is not None and query.safe is not (cls.idempotency is api.Idempotency.IDEMPOTENT):
            return "not the command for this class"
        if cls.idempotency is api.Idempotency.WITH_KEY and not query.key:
            return "no key, in a class that takes one"
        if query.plan not in self._plans:
            return f"unknown plan {query.plan[:32]!r}"
        # A figure out of these would be booked against a customer's quota, or held as long as it says.
        for name, value, most in (
            ("time to wait", query.remaining_ms, cls.deadline_ms + 1.0),
            ("units", query.units, self._max_units),
            ("spread", query.spread, self._gateways),
        ):
            if not 0 < value <= most:  # false for what is no number, too
                return f"{name} out of range"
        if not 0 <= query.first < self._gateways:
            return "first out of range"
        return None

    def submit(self, query: Request, answer: Callable[[Response], None]) -> Callable[[], None]:
        """Take a query: answer is called once, with its final answer.  The result tells that the client has
        left, after which nothing is owed."""
        self._next += 1
        rid = str(self._next)  # of our own: a client that repeats an id must not cost another its answer
        guard = min(GUARD_MS, GUARD_PART * query.remaining_ms)
        cls = self._classes[query.cls]
        # kept with it, whatever new settings make of the class
        query.safe = cls.idempotency is api.Idempotency.IDEMPOTENT
        run = PendingRequest(rid, query, answer, self._clock() + query.remaining_ms - guard, cls)
        self.post(self._take, run)
        return lambda: self.post(self._left, run)

    def lagged(self, late_ms: float) -> None:
        """The event loop came so much too late to look at its clock."""
        self._lag_ms += LAG_GAIN * (max(late_ms, 0.0) - self._lag_ms)

    def _shed(self) -> bool:
        """Whether a query is refused unseen because this gateway has no time for it.  Decided on, it would be
        answered late, and make all behind it later still: refusing costs the least of all."""
        over = self._lag_ms / self._aim_ms - LAG_PART
        return over > 0 and self._random.random() < min(over * LAG_FACTOR, LAG_MOST)

    def give(self, names: dict[int, str]) -> StateSnapshot | str:
        """What a successor needs, or why it gets nothing."""
        from badgeryoke.decisions import state_snapshot  # not loaded where no process is replaced

        if not isinstance(self._module, DecisionEngine):
            return "the counter is watched, and what the watch knows is not handed over"
        return state_snapshot.take_snapshot(self._module, names)

    def given(self, handed: StateSnapshot) -> None:
        """The successor serves by it."""
        from badgeryoke.decisions import state_snapshot

        if isinstance(self._module, DecisionEngine):
            state_snapshot.mark_transferred(self._module, handed)

    def take(self, handed: StateSnapshot, numbers: dict[str, int]) -> None:
        """Go on from what the old process handed over, behind the list of servers that has come."""
        self.post(self._take_over, handed, numbers)

    def _take_over(self, handed: StateSnapshot, numbers: dict[str, int]) -> None:
        from badgeryoke.decisions import state_snapshot

        now = self._clock()
        if isinstance(self._module, DecisionEngine):
            for action in state_snapshot.restore_snapshot(self._module, now, handed, numbers):
                self._act(now, action)

    def members(self, event: api.EndpointList) -> None:
        """Tell the module of a member list."""
        self.post(self._decide, event)

    def _take(self, run: PendingRequest) -> None:
        now, query = self._clock(), run.query
        left = run.deadline_ms - now
        body = len(query.body or b"")
        answer: Response | None = None
        if query.id in self._ids:
            # Servers know a request by its id: they would take a second one for a copy of the first.
            answer = Failed("id of a request that is open")
        elif self._outdated(run):
            answer = Rejected(FALLBACK_RETRY_MS)
        else:
            drawn = self._guarantee is not None and self._guarantee.draw(run)
            if left <= 0 or len(self._running) >= MOST_QUERIES or self._bodies + body > self._most_bodies:
                answer = Rejected(FALLBACK_RETRY_MS)
            elif not drawn and self._shed():
                answer = Rejected(self._aim_ms)
        if answer is not None:
            give, run.answer = run.answer, None
            if run.reserved is not None:
                run.cause = GATEWAY
            if give is not None:
                self._count(run, answer)
                give(answer)
            return
        self._ids.add(query.id)
        self._running[run.id] = run
        self._bodies += body
        # A timer of the core's own keeps the deadline, so that no fault of the module loses a query.
        run.timer = self._loop.call_later(left / 1000.0, self.deliver, self._overdue, run)
        if self._guarantee is None or run.reserved is not None or not self._guarantee.waits(run, left):
            self._ask(run, left)

    def _turn(self, run: PendingRequest) -> None:
        """A query has waited its turn; its client may have left, or it has its answer."""
        if run.answer is not None and self._outdated(run):
            run.cause = GATEWAY
            self._finish(run, Rejected(FALLBACK_RETRY_MS))
        elif run.answer is not None:
            self._ask(run, run.deadline_ms - self._clock())

    def _outdated(self, run: PendingRequest) -> bool:
        """Whether new settings came between a query's check and the module: the module would decide on its
        repeats by another rule than it was checked and is encoded by.  Nothing has run, so a refusal does
        no harm."""
        cls = self._classes.get(run.query.cls)
        return (cls is not run.cls and cls != run.cls) or run.query.plan not in self._plans

    def _ask(self, run: PendingRequest, left: float) -> None:
        """Bring a query to the module."""
        query = run.query
        self._decide(
            api.Request(
                run.id,
                query.cls,
                query.plan,
                query.customer,
                left,
                query.units,
                query.spread,
                query.first,
                query.retry,
                0 if run.reserved is None else run.reserved.rank,
            ),
            run,
        )

    def _left(self, run: PendingRequest) -> None:
        if run.answer is not None:
            run.answer = None
            self._ids.discard(run.query.id)
            if run.relay is not None:
                run.relay.leave()
            self._release(run)
            self._decide(api.ClientDisconnected(run.id))

    def give_up(self) -> None:
        """No time is left: every query is given its final answer now."""
        for run in list(self._running.values()):
            self.post(self._overdue, run)

    def _overdue(self, run: PendingRequest) -> None:
        if run.answer is None or run.relay is not None:
            return
        if run.execution is not None:
            run.execution.abandon(api.Verdict.TIMEOUT, final=True)
        self.post(self._last_word, run)  # behind the outcome, to which the module answers

    def _last_word(self, run: PendingRequest) -> None:
        if run.answer is None or run.relay is not None:
            return
        log.warning("query overdue: no decision by the deadline or the end, answered by the core")
        self._give_up(run)

    def _give_up(self, run: PendingRequest) -> None:
        """The final answer where the module gave none."""
        if run.harmless or not run.may_have_run:
            self._finish(run, Rejected(FALLBACK_RETRY_MS, run.may_have_run))
        else:
            self._finish(run, Failed("may have run"))
        self._decide(api.ClientDisconnected(run.id))

    def _decide(self, event: api.Event, run: PendingRequest | None = None) -> None:
        """Give the module one event and carry out its actions."""
        now = self._clock()
        try:
            actions = self._module.handle(now, event)
        except Exception:
            self.faults += 1
            if self.faults == 1 or self.faults % 1000 == 0:
                log.exception("module fault %d on %s", self.faults, type(event).__name__)
            if run is not None and run.answer is not None and run.execution is None:
                self._give_up(run)
            return
        for action in actions:
            self._act(now, action)
        if self._watched is not None and self._watched.detector.changes:
            self._tell_beliefs(self._watched)

    def _tell_beliefs(self, watched: MonitoredEngine) -> None:
        """Log what the counter is held to be from now on."""
        for change in watched.take_changes():
            sound = change.new.value in ("sound", "healed", "slow")
            fields = {
                "old": change.old.value,
                "new": change.new.value,
                "sign": change.symptom.value,
                "hidden": list(change.hidden),
                "since_ms": round(change.at_ms, 1),
            }
            log.log(
                logging.INFO if sound else logging.WARNING,
                "counter believed %s: %s%s",
                change.new.value,
                change.symptom.value,
                f", gateways {list(change.hidden)}" if change.hidden else "",
                extra={"fields": fields},
            )

    def _act(self, now: float, action: api.Action) -> None:
        match action:
            case api.SendAttempt():
                self._send(now, action)
            case api.Reject(id=rid, retry_after_ms=wait):
                if (run := self._running.get(rid)) is not None:
                    if run.reserved is not None:
                        run.cause = action.cause or LOAD
                    self._finish(run, Rejected(wait, run.may_have_run))
            case api.Fail(id=rid):
                if (run := self._running.get(rid)) is not None:
                    if run.reserved is not None:
                        run.cause = SERVER
                    self._finish(run, Failed("may have run" if run.may_have_run else "not served"))
            case api.AddToCounter(name=name, units=units, expire_ms=life):
                self._counter.add(name, units, life, self._counted)
            case api.SetTimer(at_ms=at, token=token):
                self._wakes[token] = self._loop.call_later(
                    max(at - now, 0.0) / 1000.0, self.deliver, self._due, token
                )
            case api.CancelAttempt(id=rid, attempt=attempt):  # ignored by one whose long value has begun
                run = self._running.get(rid)
                if run is not None and run.execution is not None and run.execution.attempt == attempt:
                    run.execution.abandon(api.Verdict.CANCELLED)
            case api.Log(text=text):
                log.info("module: %s", text)
            case api.Subscribe() | api.CheckHealth():
                pass  # the watch runs from the start, and servers are never probed

    def _due(self, token: int) -> None:
        if self._wakes.pop(token, None) is not None:
            self._decide(api.TimerFired(token))

    def settle(self) -> None:
        """All has its answer and the gateway ends: what the module has put off is due now.  Units that it
        gathered and has not told would else be lost to the other gateways."""
        for token, timer in list(self._wakes.items()):
            timer.cancel()
            self.post(self._due, token)

    def _counted(self, total: api.CounterReply) -> None:
        self.post(self._decide, total)

    def _send(self, now: float, action: api.SendAttempt) -> None:
        run = self._running.get(action.id)
        if run is None:
            log.warning("module sent a query that is over")
            return
        attempt, run.attempts = run.attempts, run.attempts + 1
        deadline = min(run.deadline_ms, now + action.timeout_ms) if action.timeout_ms > 0 else run.deadline_ms
        execution = Attempt(
            run.query,
            attempt,
            action.server,
            now,
            deadline,
            lambda ended, end: self.post(self._ended, run, ended, end),
            run.may_have_run,
            self.figures.attempted,
            run.risk_ms + run.window_ms - self._slack_ms,
        )
        link = self._links(action.server)
        if run.execution is not None or run.answer is None:
            execution.moot("one attempt at a time, and none after the answer")
        elif not execution.may_be_written(now):
            execution.moot("too late to be sent")
        elif link is None:
            execution.lost("server not in the list")
        else:
            run.execution = execution
            execution.on_begun = lambda relay: self.post(self._begun, run, execution, relay)
            if deadline < run.deadline_ms - 1.0:
                # In a turn of the core's: its connection is closed before the next attempt is written
                # anywhere.
                self._loop.call_later(
                    (deadline - now) / 1000.0, self.deliver, execution.abandon, api.Verdict.TIMEOUT
                )
            link.start(execution)

    def _ended(self, run: PendingRequest, execution: Attempt, end: AttemptEnd) -> None:
        """An attempt has ended; where it was served, so is the query."""
        if run.execution is execution:
            run.execution = None
        if not end.verdict.never_ran:
            run.may_have_run = True
            run.risk_ms = min(run.risk_ms, execution.started_ms)
        rtt = run.first_ms if run.relay is not None else self._clock() - execution.started_ms
        if run.relay is not None:
            if end.verdict is not api.Verdict.OK and run.answer is not None:
                run.relay.fail()
                self._passed(run, Failed("broke off"))
        elif end.verdict is api.Verdict.OK and run.answer is not None:
            self._finish(run, Served(end.value, end.true_units))
        over = run.answer is None or run.relay is not None
        if run.answer is None and run.execution is None:
            self._forget(run)
        self._decide(
            api.AttemptOutcome(
                run.id,
                execution.attempt,
                execution.server,
                end.verdict,
                rtt,
                over,
                end.true_units,
                end.report,
            ),
            run,
        )

    def _begun(self, run: PendingRequest, execution: Attempt, relay: ResponseStream) -> None:
        """A long value has begun: this is the final answer, whatever becomes of it."""
        if run.answer is None or run.execution is not execution:
            relay.leave()
            execution.abandon(api.Verdict.CANCELLED, final=True)
            return
        run.relay, run.first_ms, run.may_have_run = relay, self._clock() - execution.started_ms, True
        if run.timer is not None:
            run.timer.cancel()
        relay.on_drained = lambda: self.post(self._passed, run, Served(b""))
        self._decide(api.ResponseStarted(run.id))
        run.answer(Streaming(relay))

    def _passed(self, run: PendingRequest, answer: Response) -> None:
        """The client has all of a long value, or what it will ever have of it."""
        if run.answer is not None:
            run.answer = None
            self._ids.discard(run.query.id)
            self._count(run, answer)
            if run.execution is None:
                self._forget(run)

    def _finish(self, run: PendingRequest, answer: Response) -> None:
        """The one place where a final answer is given."""
        if run.answer is None:
            return
        self._ids.discard(run.query.id)
        give, run.answer = run.answer, None
        self._release(run)
        self._count(run, answer)
        give(answer)

    def _count(self, run: PendingRequest, answer: Response) -> None:
        """A query has ended, under one result."""
        result = {Served: COMPLETED, Rejected: REJECTED, Failed: FAILED}[type(answer)]
        self.figures.ended[run.query.cls][result] += 1
        if run.reserved is not None and result is not COMPLETED and self._guarantee is not None:
            self._guarantee.unserved(run.reserved, run.cause)

    def _forget(self, run: PendingRequest) -> None:
        if self._running.pop(run.id, None) is not None:
            self._bodies -= len(run.query.body or b"")

    def _release(self, run: PendingRequest) -> None:
        if run.timer is not None:
            run.timer.cancel()
        if run.execution is None:
            self._forget(run)
        else:  # its end is still to be told to the module
            run.execution.abandon(api.Verdict.CANCELLED, final=True)
