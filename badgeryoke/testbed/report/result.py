"""The result of a run, in simulated time or on sockets."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from badgeryoke.decisions import interface as api
from badgeryoke.decisions.counter_health.counter_state import CounterState
from badgeryoke.decisions.counter_health.error_bound import CEILING_ERROR_FRACTION, max_excess_share
from badgeryoke.testbed.checkers.quota_checker import QuotaChecker, Verdict
from badgeryoke.testbed.scenario.model import Scenario

DEADLINE_MS, LATENCY_OBJECTIVE_MS = 2000.0, 400.0
LOSS_STATES = {
    state.value
    for state in CounterState
    if state not in (CounterState.UNKNOWN, CounterState.HEALTHY, CounterState.SLOW, CounterState.HEALED)
}
# Faults that make the counter or its totals unavailable.
LOSS_FAULTS = ("kill", "lose", "freeze", "split", "swap", "spoil", "restore")
RECOVERY_MS = 5000.0  # a loss reported later than this after the last fault is a false alarm


@dataclass(frozen=True, slots=True)
class CounterStateReport:
    """A change of the counter's state as a gateway detected it, with the time since the start in ms."""

    at_ms: float
    gateway: int
    state: str
    symptom: str
    hidden: tuple[int, ...]


@dataclass
class Result:
    """The figures and reports of one run."""

    scenario: str
    seed: int
    verdict: Verdict
    stated_error: float
    detect_ms: float | None  # from the first fault to the first report of a loss; None if there was none
    false_alarms: int
    calls_a_try: float
    watch_calls_a_second: float
    state_reports: list[CounterStateReport]
    totals_by_step: list[dict[str, Any]]

    def figures(self) -> dict[str, Any]:
        """The figures as JSON values, in a fixed order."""
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


def gateway_settings(scenario: Scenario, gateway: int) -> api.Settings:
    """The decision settings of a gateway of a scenario."""
    return api.Settings(
        gateway_index=gateway,
        gateway_count=scenario.gateways,
        zone="hall-a",
        tick_ms=4.0,
        classes=(
            api.RequestClass("balance-check", LATENCY_OBJECTIVE_MS, DEADLINE_MS, api.Idempotency.IDEMPOTENT),
        ),
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
    quota_checker: QuotaChecker,
    state_reports: list[CounterStateReport],
    counter_calls: int,
    watch_calls_a_second: float,
) -> Result:
    """Build the result of a run from the quota checker's figures and the reported counter states."""
    start, end = scenario.fault_period
    has_loss_fault = any(fault.word in LOSS_FAULTS for fault in scenario.faults)
    loss_reports = [report for report in state_reports if report.state in LOSS_STATES]
    detection_times = (
        [report.at_ms - start for report in loss_reports if report.at_ms >= start] if has_loss_fault else []
    )
    false_alarms = [
        report
        for report in loss_reports
        if not has_loss_fault or report.at_ms < start or report.at_ms > end + RECOVERY_MS
    ]
    verdict = quota_checker.verdict()
    totals_by_step = [
        {
            "at_ms": step * quota_checker.step_ms,
            "gateway": gateway,
            "sent": sums.sent,
            "beyond": sums.beyond,
            "oracle": sums.oracle,
            "asked": sums.asked,
        }
        for step, row in sorted(quota_checker.totals_by_step.items())
        for gateway, sums in sorted(row.items())
    ]
    error = max_excess_share(plans_with_spread(scenario), scenario.gateways, (end - start) / 1000.0)
    return Result(
        scenario.name,
        seed,
        verdict,
        error,
        min(detection_times, default=None),
        len(false_alarms),
        counter_calls / max(verdict.tries, 1),
        watch_calls_a_second,
        state_reports,
        totals_by_step,
    )


def within_error_bounds(result: Result) -> bool:
    """Whether the run stayed within the error bounds."""
    verdict = result.verdict
    return verdict.ceiling_excess <= CEILING_ERROR_FRACTION and verdict.beyond_share <= result.stated_error


def plans_with_spread(scenario: Scenario) -> list[tuple[api.Plan, int]]:
    """Each plan with the largest number of gateways that one of its customers uses."""
    plans = {plan.name: plan for plan in gateway_settings(scenario, 0).plans}
    largest_spread: dict[str, int] = {}
    for customer_group in scenario.customer_groups:
        largest_spread[customer_group.plan] = max(
            largest_spread.get(customer_group.plan, 1), min(customer_group.spread[1], scenario.gateways)
        )
    return [(plans[name], spread) for name, spread in sorted(largest_spread.items())]
