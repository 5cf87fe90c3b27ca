"""The decision state that a gateway's old process transfers to its new process in a hot restart.

With it, quotas, ceilings and slow starts are enforced as if both processes were one gateway.  This module
does no I/O.  Times are Unix milliseconds, which both processes read from the same clock.  Servers are
identified by their names in discovery, as each process numbers them on its own.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Mapping

import msgspec

from badgeryoke.decisions.interface import Action, Request
from badgeryoke.decisions.policy.engine import DecisionEngine
from badgeryoke.decisions.policy.load_balancing import LoadBalancer, ServerState
from badgeryoke.decisions.policy.quota import REPORT_DELAY_FRACTION, CustomerQuota, QuotaManager

VERSION = 2
MAX_CUSTOMERS = 20_000  # the most recently used ones; the others start as after a crash
MAX_BYTES = 8 * 1024 * 1024  # size of an encoded snapshot without its header line

# The structs are encoded as arrays: the order of their fields is the format.


class QuotaFields(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Fields of a `CustomerQuota` that are transferred unchanged."""

    period: int
    last_total: float
    previous_total: float
    epoch: int
    previous_epoch: int
    reported_units: float
    previous_period_open: bool
    own_rate: float
    others_rate: float
    synchronized_at: float
    synchronized: bool
    was_unsynchronized: bool
    conformance: float
    last_used_at: float


class ServerFields(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Fields of a `ServerState` that are transferred unchanged."""

    aperture_rank: float
    base_latency: float
    latency: float
    measured_at: float
    latency_is_estimate: bool
    last_sent_at: float
    newest_answered_at: float
    failure_rate: float
    failed_at: float
    answered_at: float
    answer_count: int
    slow_start_credit: float
    credit_updated_at: float


class QuotaManagerFields(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Fields of the `QuotaManager` that are transferred unchanged."""

    call_probability: float
    mean_call_value: float
    started_at: float
    fastest_reply_ms: float


class LoadBalancerFields(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Fields of the `LoadBalancer` that are transferred unchanged."""

    mean_latency_ms: float
    recent_sends: float
    last_sent_at: float
    first_sent_at: float
    relative_latency: float
    connect_failure_rate: float
    extra_concurrency: float


class CustomerSnapshot(msgspec.Struct, array_like=True, frozen=True):
    """One customer's quota."""

    customer: int
    plan: str
    gateway_set_size: int
    first_gateway: int
    period_ms: float
    tats: tuple[float, float, float | None]  # TATs of the quota's, the own share's and the headroom's bucket
    unreported_units: float  # the new process reports them
    correction_units: float  # the new process reports them
    uncertain_units: float  # units of the old process's calls that the next total may contain
    fields: QuotaFields


class ServerSnapshot(msgspec.Struct, array_like=True, frozen=True):
    """One server."""

    host: str
    fields: ServerFields


class StateSnapshot(msgspec.Struct, array_like=True, frozen=True):
    """The state of a gateway's decision engine."""

    customers: list[CustomerSnapshot]
    servers: list[ServerSnapshot]
    quota_manager: QuotaManagerFields
    conformance: dict[str, float]  # share of conforming requests, by plan
    balancer: LoadBalancerFields
    retry_budget: float


def _take_customer(quota: CustomerQuota) -> CustomerSnapshot:
    in_calls = 0.0  # units of this gateway that the old process's calls may still add to the total
    if quota.calls_in_flight:
        in_calls = sum(quota.calls_in_flight.values()) - sum(quota.requests_in_call.values())
        in_calls -= quota.estimated_units
    headroom = quota.headroom_bucket
    return CustomerSnapshot(
        customer=quota.customer,
        plan=quota.plan.name,
        gateway_set_size=quota.gateway_set_size,
        first_gateway=quota.first_gateway,
        period_ms=quota.period_ms,
        tats=(quota.bucket.tat, quota.own_bucket.tat, headroom.tat if headroom else None),
        unreported_units=max(quota.unreported_units, 0.0),
        correction_units=quota.correction_units,
        uncertain_units=quota.uncertain_units + max(in_calls, 0.0),
        fields=QuotaFields(
            period=quota.period,
            last_total=quota.last_total,
            previous_total=quota.previous_total,
            epoch=quota.epoch,
            previous_epoch=quota.previous_epoch,
            reported_units=quota.reported_units,
            previous_period_open=quota.previous_period_open,
            own_rate=quota.own_rate,
            others_rate=quota.others_rate,
            synchronized_at=quota.synchronized_at,
            synchronized=quota.synchronized,
            was_unsynchronized=quota.was_unsynchronized,
            conformance=quota.conformance,
            last_used_at=quota.last_used_at,
        ),
    )


def _restore_customer(quota: CustomerQuota, state: CustomerSnapshot) -> None:
    quota.bucket.tat, quota.own_bucket.tat, headroom_tat = state.tats
    if quota.headroom_bucket:
        quota.headroom_bucket.tat = math.inf if headroom_tat is None else headroom_tat
    quota.unreported_units = state.unreported_units
    quota.correction_units = state.correction_units
    quota.uncertain_units = state.uncertain_units
    fields = state.fields
    quota.period = fields.period
    quota.last_total = fields.last_total
    quota.previous_total = fields.previous_total
    quota.epoch = fields.epoch
    quota.previous_epoch = fields.previous_epoch
    quota.reported_units = fields.reported_units
    quota.previous_period_open = fields.previous_period_open
    quota.own_rate = fields.own_rate
    quota.others_rate = fields.others_rate
    quota.synchronized_at = fields.synchronized_at
    quota.synchronized = fields.synchronized
    quota.was_unsynchronized = fields.was_unsynchronized
    quota.conformance = fields.conformance
    quota.last_used_at = fields.last_used_at


def _take_server(server: ServerState) -> ServerFields:
    return ServerFields(
        aperture_rank=server.aperture_rank,
        base_latency=server.base_latency,
        latency=server.latency,
        measured_at=server.measured_at,
        latency_is_estimate=server.latency_is_estimate,
        last_sent_at=server.last_sent_at,
        newest_answered_at=server.newest_answered_at,
        failure_rate=server.failure_rate.value,
        failed_at=server.failure_rate.updated_at,
        answered_at=server.answered_at,
        answer_count=server.answer_count,
        slow_start_credit=server.slow_start_credit,
        credit_updated_at=server.credit_updated_at,
    )


def _restore_server(server: ServerState, fields: ServerFields) -> None:
    server.aperture_rank = fields.aperture_rank
    server.base_latency = fields.base_latency
    server.latency = fields.latency
    server.measured_at = fields.measured_at
    server.latency_is_estimate = fields.latency_is_estimate
    server.last_sent_at = fields.last_sent_at
    server.newest_answered_at = fields.newest_answered_at
    server.failure_rate.value = fields.failure_rate
    server.failure_rate.updated_at = fields.failed_at
    server.answered_at = fields.answered_at
    server.answer_count = fields.answer_count
    server.slow_start_credit = fields.slow_start_credit
    server.credit_updated_at = fields.credit_updated_at


def _take_quota_manager(manager: QuotaManager) -> QuotaManagerFields:
    return QuotaManagerFields(
        call_probability=manager._call_probability,
        mean_call_value=manager._mean_call_value,
        started_at=manager._started_at,
        fastest_reply_ms=manager._fastest_reply_ms,
    )


def _restore_quota_manager(manager: QuotaManager, fields: QuotaManagerFields) -> None:
    manager._call_probability = fields.call_probability
    manager._mean_call_value = fields.mean_call_value
    manager._started_at = fields.started_at
    manager._fastest_reply_ms = fields.fastest_reply_ms


def _take_balancer(balancer: LoadBalancer) -> LoadBalancerFields:
    return LoadBalancerFields(
        mean_latency_ms=balancer._mean_latency_ms,
        recent_sends=balancer._sends.value,
        last_sent_at=balancer._sends.updated_at,
        first_sent_at=balancer._sends.first_at,
        relative_latency=balancer._relative_latency,
        connect_failure_rate=balancer._connect_failure_rate,
        extra_concurrency=balancer._extra_concurrency,
    )


def _restore_balancer(balancer: LoadBalancer, fields: LoadBalancerFields) -> None:
    balancer._mean_latency_ms = fields.mean_latency_ms
    balancer._sends.value = fields.recent_sends
    balancer._sends.updated_at = fields.last_sent_at
    balancer._sends.first_at = fields.first_sent_at
    balancer._relative_latency = fields.relative_latency
    balancer._connect_failure_rate = fields.connect_failure_rate
    balancer._extra_concurrency = fields.extra_concurrency


def take_snapshot(engine: DecisionEngine, host_names: Mapping[int, str]) -> StateSnapshot:
    """Return the state of an engine, without changing it; `host_names` maps server numbers to names."""
    manager, balancer = engine._quota, engine._balancer
    quotas = sorted(manager._quotas.values(), key=lambda quota: quota.last_used_at)[-MAX_CUSTOMERS:]
    return StateSnapshot(
        customers=[_take_customer(quota) for quota in quotas],
        servers=[
            ServerSnapshot(host_names[number], _take_server(server))
            for number, server in balancer._servers.items()
            if number in host_names
        ],
        quota_manager=_take_quota_manager(manager),
        conformance=dict(manager._conformance),
        balancer=_take_balancer(balancer),
        retry_budget=engine._retry_budget,
    )


def mark_transferred(engine: DecisionEngine, snapshot: StateSnapshot) -> None:
    """Update the old process's engine after the new process has taken over the snapshot.

    The new process reports the unreported units, and only the new process may send unconfirmed requests
    under a ceiling.
    """
    for state in snapshot.customers:
        quota = engine._quota._quotas.get(state.customer)
        if quota is not None:
            quota.unreported_units -= state.unreported_units
            quota.correction_units -= state.correction_units
            if quota.headroom_bucket:
                quota.headroom_bucket.tat = math.inf


def restore_snapshot(
    engine: DecisionEngine, now: float, snapshot: StateSnapshot, server_numbers: Mapping[str, int]
) -> list[Action]:
    """Restore the old process's state; parts that do not match the engine's settings are left out.

    Returns the timers of scheduled reports.
    """
    manager, balancer = engine._quota, engine._balancer
    _restore_quota_manager(manager, snapshot.quota_manager)
    shares = {plan: share for plan, share in snapshot.conformance.items() if plan in manager._plans}
    manager._conformance.update(shares)
    _restore_balancer(balancer, snapshot.balancer)
    engine._retry_budget = min(snapshot.retry_budget, engine._max_retry_budget)
    for state in snapshot.servers:
        server = balancer._servers.get(server_numbers.get(state.host, -1))
        if server is not None:
            _restore_server(server, state.fields)
    balancer._available.sort(key=lambda server: server.aperture_rank)
    actions: list[Action] = []
    for customer in snapshot.customers:
        actions += _add_customer(engine, now, customer)
    return actions


def _add_customer(engine: DecisionEngine, now: float, state: CustomerSnapshot) -> list[Action]:
    """Restore one customer's quota; returns the timer of its report if it has units to report."""
    manager = engine._quota
    plan = manager._plans.get(state.plan)
    if plan is None or state.customer in manager._quotas:
        return []
    request = Request(
        id="",
        request_class="",
        plan=state.plan,
        customer=state.customer,
        remaining_ms=0.0,
        units=0.0,
        gateway_set_size=state.gateway_set_size,
        first_gateway=state.first_gateway,
    )
    quota = CustomerQuota(plan, request, engine._settings, now, manager._started_at)
    if quota.period_ms != state.period_ms:
        return []  # the plan's rate or burst differs from the one in the old process
    _restore_customer(quota, state)
    manager._quotas[state.customer] = quota
    if not quota.unreported_units and not quota.correction_units:
        return []
    quota.report_scheduled = True
    # The time is random, so that the counter does not get the reports of all customers at once.
    delay_ms = REPORT_DELAY_FRACTION * quota.period_ms * engine._rng.random()
    return [engine._set_timer(now + delay_ms, quota)]


def encode(snapshot: StateSnapshot) -> bytes:
    """Encode a snapshot: a line with the version, the checksum and the length, then the snapshot itself."""
    body = msgspec.msgpack.encode(snapshot)
    return b"STATE %d %d %d\n%b" % (VERSION, zlib.crc32(body), len(body), body)


def read_head(line: bytes) -> tuple[int, int]:
    """Return checksum and length from the line before a snapshot; raises ValueError if it is not valid."""
    words = line.split()
    if len(words) != 4 or words[0] != b"STATE" or not all(word.isdigit() for word in words[1:]):
        raise ValueError(f"not a state: {line[:40]!r}")
    if int(words[1]) != VERSION:
        raise ValueError(f"version {int(words[1])}, this process knows {VERSION}")
    if int(words[3]) > MAX_BYTES:
        raise ValueError(f"{int(words[3])} bytes are too many")
    return int(words[2]), int(words[3])


def decode(body: bytes, checksum: int) -> StateSnapshot:
    """Decode a snapshot; raises ValueError if the checksum or the encoding is wrong."""
    if zlib.crc32(body) != checksum:
        raise ValueError("checksum differs")
    try:
        return msgspec.msgpack.decode(body, type=StateSnapshot)
    except msgspec.DecodeError as error:
        raise ValueError(str(error)) from None
