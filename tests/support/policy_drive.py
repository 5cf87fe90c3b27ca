"""A seeded simulation around one decision engine: clients, servers and a counter with random replies."""

from __future__ import annotations

import heapq
import random
from collections import defaultdict
from dataclasses import replace

from badgeryoke.decisions import interface as api
from badgeryoke.decisions.policy.engine import DecisionEngine
from tests.support import samples
from tests.support.canonical import canonical

OPEN_CAPPED = api.Plan("open", concurrency_limit=3)
SETTINGS = replace(
    samples.SETTINGS, plans=(samples.PLAIN, samples.CAPPED, OPEN_CAPPED), max_request_units=2.0
)
SERVERS = (samples.server(1), samples.server(2), samples.server(3, "b"), samples.server(4, "b"))
NEW_SERVER_AT_MS = samples.START + 6_000.0
NEW_SERVER = samples.server(5, started=NEW_SERVER_AT_MS - 50.0)
CUSTOMERS = {number: ("plain", "capped", "open", "capped")[number % 4] for number in range(7, 23)}
CLASSES = ("read", "write", "pay")
VERDICTS = (api.Verdict.OK,) * 12 + (
    api.Verdict.ERROR,
    api.Verdict.QUEUE_FULL,
    api.Verdict.CONNECT_FAILED,
    api.Verdict.TIMEOUT,
    api.Verdict.RESET,
)
COUNTER_VERDICTS = (api.Verdict.OK,) * 9 + (api.Verdict.TIMEOUT, api.Verdict.QUEUE_FULL)
OTHER_GATEWAY_UNITS_PER_CALL = 0.2  # units that other gateways add to the counter between two calls
MEAN_ARRIVAL_INTERVAL_MS, MEAN_RTT_MS, COUNTER_RTT_RANGE_MS = 12.0, 60.0, (1.0, 30.0)


class PolicyDriver:
    """Handles events in the order of their times and schedules the answers to the actions."""

    def __init__(self, gateway: DecisionEngine, seed: int, now: float) -> None:
        self.gateway, self.now = gateway, now
        self._random = random.Random(seed)
        self._prefix = f"d{seed}-"
        self._due: list[tuple[float, int, api.Event]] = []
        self._scheduled = 0
        self._arrived = 0
        self._attempts: defaultdict[str, int] = defaultdict(int)
        self._totals: defaultdict[int, float] = defaultdict(float)
        self.record: list[str] = []
        self._schedule_arrival()

    def schedule(self, at: float, event: api.Event) -> None:
        """Schedule an event at a time."""
        self._scheduled += 1
        heapq.heappush(self._due, (at, self._scheduled, event))

    def handle_events(self, events: int) -> None:
        """Handle `events` events, and record each with its time and actions."""
        for _ in range(events):
            self.now, _, event = heapq.heappop(self._due)
            if isinstance(event, api.Request):
                self._schedule_arrival()
            actions = self.gateway.handle(self.now, event)
            self.record.append(canonical((self.now, event, actions)))
            self.answer(actions)

    def answer(self, actions: list[api.Action]) -> None:
        """Schedule the answers to actions."""
        for action in actions:
            match action:
                case api.SendAttempt():
                    self._schedule_outcome(action)
                case api.AddToCounter(name=name, units=units):
                    self._schedule_counter_reply(name, units)
                case api.SetTimer(at_ms=at, token=token):
                    self.schedule(max(at, self.now), api.TimerFired(token))
                case api.CancelAttempt(id=request, attempt=attempt):
                    self.schedule(
                        self.now, api.AttemptOutcome(request, attempt, 1, api.Verdict.CANCELLED, 1.0, False)
                    )
                case _:
                    pass

    def _schedule_arrival(self) -> None:
        draw = self._random
        self._arrived += 1
        customer = draw.choice(list(CUSTOMERS))
        at = self.now + draw.expovariate(1 / MEAN_ARRIVAL_INTERVAL_MS)
        request = samples.request(
            f"{self._prefix}{self._arrived}",
            draw.choice(CLASSES),
            CUSTOMERS[customer],
            customer,
            draw.choice((0.25, 0.5, 1.0)),
            2,
            draw.choice((300.0, 2000.0, 4000.0)),
        )
        self.schedule(at, request)
        if draw.random() < 0.05:
            self.schedule(at + 20.0, api.ClientDisconnected(request.id))

    def _schedule_outcome(self, send: api.SendAttempt) -> None:
        attempt = self._attempts[send.id]
        self._attempts[send.id] += 1
        rtt = self._random.expovariate(1 / MEAN_RTT_MS)
        verdict = self._random.choice(VERDICTS)
        outcome = samples.outcome(send, verdict, attempt, rtt)
        self.schedule(self.now + rtt, replace(outcome, true_units=self._random.choice((0.0, 0.25, 1.5))))

    def _schedule_counter_reply(self, name: int, units: float) -> None:
        verdict = self._random.choice(COUNTER_VERDICTS)
        rtt = self._random.uniform(*COUNTER_RTT_RANGE_MS)
        if verdict is not api.Verdict.QUEUE_FULL:
            self._totals[name] += units + OTHER_GATEWAY_UNITS_PER_CALL
        total = self._totals[name] if verdict is api.Verdict.OK else 0.0
        self.schedule(self.now + rtt, api.CounterReply(name, verdict, rtt, total))
