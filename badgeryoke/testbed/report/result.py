"""What a run comes to, in simulated time and on sockets alike."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from badgeryoke.decisions import interface as api
from badgeryoke.decisions.counter_health.counter_state import CounterState
from badgeryoke.decisions.counter_health.error_bound import CEILING_ERROR_FRACTION, max_excess_share
from badgeryoke.testbed.checkers.quota_checker import QuotaChecker, Verdict
from badgeryoke.testbed.scenario.model import Scenario

DEADLINE_MS, SAFE_AIM_MS = 2000.0, 400.0
ALARMS = {
    belief.value
    for belief in CounterState
    if belief not in (CounterState.UNKNOWN, CounterState.HEALTHY, CounterState.SLOW, CounterState.HEALED)
}
REAL = ("kill", "lose", "freeze", "split", "swap", "spoil", "restore")  # faults that are a loss
AFTER_MS = 5000.0  # a belief so long after the last fault is a false one


@dataclass(frozen=True, slots=True)
class CounterStateReport:
    """A belief that a gateway came to, at the world's time in ms since the start."""

    at_ms: float
    gateway: int
    state: str
    symptom: str
    hidden: tuple[int, ...]


@dataclass
class Result:
    """What one run comes to."""

    scenario: str
    seed: int
    verdict: Verdict
    stated_error: float
    detect_ms: float | None  # from the first fault to the first gateway's belief in a loss; None: none did
    false_alarms: int
    calls_a_try: float
    watch_calls_a_second: float
    state_reports: list[CounterStateReport]
    totals_by_step: list[dict[str, Any]]

    def figures(self) -> dict[str, Any]:
        """As plain values, in a fixed order."""
        verdict = self.verdict
        return {
            "scenario": self.scenario,
            "seed": self.seed,
            "ceiling_broken": verdict.ceiling_broken,
            "ceiling_excess": verdict.ceiling_excess,
            "beyond_share": verdict.beyond_share,
            "sent_of_allowed": verdict.sent_of_allowed,
            "stated_error": round(self.stated_error, 5),
            "detect_ms": None if self.detect_ms is None else round(self.detect_ms, 1),
            "false_alarms": self.false_alarms,
            "plans": verdict.plans,
            "tries": verdict.tries,
            "answers": verdict.answers,
            "unanswered": verdict.unanswered,
            "twice_answered": verdict.twice_answered,
            "calls_a_try": round(self.calls_a_try, 4),
            "watch_calls_a_second": round(self.watch_calls_a_second, 3),
        }


def settings_of(scenario: Scenario, me: int) -> api.Settings:
    """The settings that a gateway of this scenario is told."""
    return api.Settings(
        gateway_index=me,
        gateway_count=scenario.gateways,
        zone="hall-a",
        tick_ms=4.0,
        classes=(api.RequestClass("balance-check", SAFE_AIM_MS, DEADLINE_MS, api.Idempotency.IDEMPOTENT),),
        plans=tuple(
            api.Plan(
                plan.name,
                plan.rate,
                plan.burst,
                0,
                plan.price,
                0.0,
                plan.over_cost,
                plan.ceiling_rate,
                plan.ceiling_burst,
                plan.slack,
            )
            for plan in scenario.plans
        ),
        has_counter=True,
        counter_timeout_ms=scenario.counter_timeout_ms,
        max_request_units=float(
            max((customer_group.units[1] for customer_group in scenario.customer_groups), default=1)
        ),
        max_attempts=3,
        can_cancel=True,
        max_retry_after_ms=1000.0,
        response_slack_ms=16.0,
        slow_start_fraction=0.16,
        slow_start_ms=14_000.0,
        overload_multiple=3.0,
        overload_window_ms=1500.0,
    )


def build_result(
    scenario: Scenario,
    seed: int,
    referee: QuotaChecker,
    state_reports: list[CounterStateReport],
    calls: int,
    watch_calls_a_second: float,
) -> Result:
    """The result, from the referee's books and the beliefs that were shown."""
    start, end = scenario.fault_period
    real = any(fault.word in REAL for fault in scenario.faults)
    alarms = [report for report in state_reports if report.state in ALARMS]
    found = [report.at_ms - start for report in alarms if report.at_ms >= start] if real else []
    away = [report for report in alarms if not real or report.at_ms < start or report.at_ms > end + AFTER_MS]
    verdict = referee.verdict()
    line = [
        {
            "at_ms": step * referee.step_ms,
            "gateway": gateway,
            "sent": sums.sent,
            "beyond": sums.beyond,
            "oracle": sums.oracle,
            "asked": sums.asked,
        }
        for step, row in sorted(referee.totals_by_step.items())
        for gateway, sums in sorted(row.items())
    ]
    error = max_excess_share(scenario_plans(scenario), scenario.gateways, (end - start) / 1000.0)
    return Result(
        scenario.name,
        seed,
        verdict,
        error,
        min(found, default=None),
        len(away),
        calls / max(verdict.tries, 1),
        watch_calls_a_second,
        state_reports,
        line,
    )


def within_stated(result: Result) -> bool:
    """Whether the error that was stated beforehand was kept."""
    verdict = result.verdict
    return verdict.ceiling_excess <= CEILING_ERROR_FRACTION and verdict.beyond_share <= result.stated_error


def scenario_plans(scenario: Scenario) -> list[tuple[api.Plan, int]]:
    """Each plan with the widest set of its customers."""
    plans = {plan.name: plan for plan in settings_of(scenario, 0).plans}
    widest: dict[str, int] = {}
    for customer_group in scenario.customer_groups:
        widest[customer_group.plan] = max(
            widest.get(customer_group.plan, 1), min(customer_group.spread[1], scenario.gateways)
        )
    return [(plans[name], spread) for name, spread in sorted(widest.items())]
