"""The decision module under a watch over the counter: the same events in, the same actions out.

A host that wants quotas to hold while the counter is lost puts this in the place of `decide.Gateway`;
nothing else changes for it.  The watch's own calls and timers pass among the module's, told apart by name
and token.
"""

from __future__ import annotations

from badgeryoke.decisions.counter_health.ceiling_guard import CeilingGuard
from badgeryoke.decisions.counter_health.detector import (
    CounterHealthDetector,
    CounterState,
    CounterStateChange,
    RegisterCall,
)
from badgeryoke.decisions.interface import (
    Action,
    AddToCounter,
    AttemptOutcome,
    ClientDisconnected,
    CounterReply,
    Event,
    Fail,
    Plan,
    Reject,
    Request,
    SendAttempt,
    SetTimer,
    Settings,
    TimerFired,
    Verdict,
)
from badgeryoke.decisions.policy.engine import DecisionEngine

OWN_TOKENS = 1 << 62  # wakes of the watch; the module counts from 1


class MonitoredEngine:
    """A gateway's decisions, and its watch."""

    def __init__(self, settings: Settings, seed: int, make: type[DecisionEngine] = DecisionEngine) -> None:
        if not settings.has_counter:
            raise ValueError("setting family_info.has_counter: a watch needs a counter")
        self.module = make(settings, seed)
        self.watch = CounterHealthDetector(
            settings.gateway_index, settings.gateway_count, settings.counter_timeout_ms
        )
        self.quota = self.module._quota
        self.quota.visibility = self.watch.sight
        self._plans: dict[str, Plan] = {plan.name: plan for plan in settings.plans}
        self._guard = CeilingGuard(self.watch.common_since)
        self.watch.sight.spent = self._spent
        self._calls: dict[int, RegisterCall] = {}
        self._begun = False
        self._now = 0.0
        self.calls_made = 0

    @property
    def belief(self) -> CounterState:
        """What the counter is held to be."""
        return self.watch.belief

    def take_changes(self) -> list[CounterStateChange]:
        """The changes of the belief since the last call."""
        return self.watch.take_changes()

    def _spent(self, customer: int) -> float:
        sight = self.watch.sight
        return self._guard.since(customer, sight.changed - sight.unseen_ms)

    def update_settings(self, settings: Settings) -> None:
        """Go by new settings."""
        self.module.update_settings(settings)
        self._plans = {plan.name: plan for plan in settings.plans}

    def avoided(self, now: float) -> int:
        """How many of the listed servers get nothing now."""
        return self.module.avoided(now)

    def handle(self, now: float, event: Event) -> list[Action]:
        """Decide on one event."""
        self._now = now
        before: list[Action] = []
        if not self._begun:
            self._begun = True
            before = self._beat(now)
        match event:
            case TimerFired(token=token) if token >= OWN_TOKENS:
                return before + self._beat(now)
            case CounterReply(name=name) if name in self._calls:
                self._answered(now, event)
                return before
            case CounterReply():
                led = self.quota._calls.get(event.name)
                if led is not None and not self.watch.sight.deaf and event.verdict is not Verdict.QUEUE_FULL:
                    self.watch.sight.told(now, led, event.verdict is Verdict.OK)
                self.watch.witness(
                    now, event.verdict is Verdict.OK, event.rtt_ms, event.verdict is Verdict.CONNECT_FAILED
                )
            case Request():
                self.watch.tried()
                plan = self._plans.get(event.plan)
                if plan is not None and plan.ceiling_rate > 0 and plan.rate > 0:
                    wait = self._guard.wait(now, self.quota.quota_for(now, event), event.units)
                    if wait > 0:
                        return [*before, Reject(event.id, max(wait, 1.0))]
                    self._guard.hold(event.id, event.customer, event.units)
            case _:
                pass
        actions = self.module.handle(now, event)
        for action in actions:
            match action:
                case SendAttempt(id=rid):
                    self._guard.release(now, rid, True)
                case Reject(id=rid) | Fail(id=rid):
                    self._guard.release(now, rid, False)
                case _:
                    pass
        if isinstance(event, ClientDisconnected) or (isinstance(event, AttemptOutcome) and event.ended):
            self._guard.release(now, event.id, False)
        return before + actions

    def _beat(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for call in self.watch.beat(now):
            self._calls[call.name] = call
            self.calls_made += 1
            actions.append(AddToCounter(call.name, call.units, call.life_ms))
        actions.append(SetTimer(self.watch.next_beat(now), OWN_TOKENS))
        return actions

    def _answered(self, now: float, event: CounterReply) -> None:
        call = self._calls.pop(event.name)
        self.watch.answer(
            now,
            call,
            event.verdict is Verdict.OK,
            event.rtt_ms,
            event.total,
            event.verdict is Verdict.QUEUE_FULL,
            event.verdict is Verdict.CONNECT_FAILED,
        )
