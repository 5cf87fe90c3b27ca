"""The decision engine combined with health checks of the counter, with the same events and actions.

A host that needs quotas to hold while the counter is lost uses this in place of `policy.engine.DecisionEngine`,
without further changes.  The detector's calls and timers are mixed with the engine's, and are recognized by
counter name and timer token.
"""

from __future__ import annotations

from badgeryoke.decisions.counter_health.ceiling_guard import CeilingGuard
from badgeryoke.decisions.counter_health.counter_state import CounterState, CounterStateChange
from badgeryoke.decisions.counter_health.detector import CounterHealthDetector
from badgeryoke.decisions.counter_health.register_calls import RegisterCall
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

FIRST_DETECTOR_TOKEN = 1 << 62  # first token of the detector's timers; the decision engine's count from 1


class MonitoredEngine:
    """A gateway's decision engine and its health checks of the counter."""

    def __init__(
        self, settings: Settings, seed: int, engine_type: type[DecisionEngine] = DecisionEngine
    ) -> None:
        if not settings.has_counter:
            raise ValueError("setting family_info.has_counter: counter health checks need a counter")
        self.engine = engine_type(settings, seed)
        self.detector = CounterHealthDetector(
            settings.gateway_index, settings.gateway_count, settings.counter_timeout_ms
        )
        self.quota = self.engine._quota
        self.quota.visibility = self.detector.visibility
        self._plans: dict[str, Plan] = {plan.name: plan for plan in settings.plans}
        self._guard = CeilingGuard(self.detector.all_visible_until)
        self.detector.visibility.units_since_visible = self._units_since_visible
        self._register_calls: dict[int, RegisterCall] = {}
        self._started = False
        self._now = 0.0
        self.calls_made = 0

    @property
    def counter_state(self) -> CounterState:
        """The presumed state of the counter."""
        return self.detector.state

    def take_changes(self) -> list[CounterStateChange]:
        """The changes of the state since the last call."""
        return self.detector.take_changes()

    def _units_since_visible(self, customer: int) -> float:
        visibility = self.detector.visibility
        return self._guard.units_since(customer, visibility.changed_at - visibility.undetected_ms)

    def update_settings(self, settings: Settings) -> None:
        """Take up new settings."""
        self.engine.update_settings(settings)
        self._plans = {plan.name: plan for plan in settings.plans}

    def unavailable_server_count(self, now: float) -> int:
        """How many of the listed servers get no traffic now."""
        return self.engine.unavailable_server_count(now)

    def handle(self, now: float, event: Event) -> list[Action]:
        """Decide on one event."""
        self._now = now
        detector_actions: list[Action] = []
        if not self._started:
            self._started = True
            detector_actions = self._send_heartbeat(now)
        match event:
            case TimerFired(token=token) if token >= FIRST_DETECTOR_TOKEN:
                return detector_actions + self._send_heartbeat(now)
            case CounterReply(name=name) if name in self._register_calls:
                self._register_replied(now, event)
                return detector_actions
            case CounterReply():
                quota = self.quota._calls.get(event.name)
                if (
                    quota is not None
                    and not self.detector.visibility.counter_unreachable
                    and event.verdict is not Verdict.QUEUE_FULL
                ):
                    self.detector.visibility.record_reply(now, quota, event.verdict is Verdict.OK)
                self.detector.call_ended(
                    now, event.verdict is Verdict.OK, event.rtt_ms, event.verdict is Verdict.CONNECT_FAILED
                )
            case Request():
                self.detector.request_arrived()
                plan = self._plans.get(event.plan)
                if plan is not None and plan.ceiling_rate > 0 and plan.rate > 0:
                    wait = self._guard.wait(now, self.quota.quota_for(now, event), event.units)
                    if wait > 0:
                        return [*detector_actions, Reject(event.id, max(wait, 1.0))]
                    self._guard.reserve(event.id, event.customer, event.units)
            case _:
                pass
        actions = self.engine.handle(now, event)
        for action in actions:
            match action:
                case SendAttempt(id=request_id):
                    self._guard.release(now, request_id, True)
                case Reject(id=request_id) | Fail(id=request_id):
                    self._guard.release(now, request_id, False)
                case _:
                    pass
        if isinstance(event, ClientDisconnected) or (isinstance(event, AttemptOutcome) and event.ended):
            self._guard.release(now, event.id, False)
        return detector_actions + actions

    def _send_heartbeat(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for call in self.detector.heartbeat(now):
            self._register_calls[call.name] = call
            self.calls_made += 1
            actions.append(AddToCounter(call.name, call.units, call.lifetime_ms))
        actions.append(SetTimer(self.detector.next_heartbeat_at(now), FIRST_DETECTOR_TOKEN))
        return actions

    def _register_replied(self, now: float, event: CounterReply) -> None:
        call = self._register_calls.pop(event.name)
        self.detector.register_replied(
            now,
            call,
            event.verdict is Verdict.OK,
            event.rtt_ms,
            event.total,
            event.verdict is Verdict.QUEUE_FULL,
            event.verdict is Verdict.CONNECT_FAILED,
        )
