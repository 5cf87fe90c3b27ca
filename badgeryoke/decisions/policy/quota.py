"""Customers' quotas and ceilings: GCRA buckets, synchronized between gateways through the counter service."""

import math
import random

from badgeryoke.decisions import interface as api
from badgeryoke.decisions.counter_name import MAX_COUNTER_NAME, counter_name
from badgeryoke.decisions.quota_protocols import CounterVisibility

SECOND_MS = 1000.0  # rates are per second, times in milliseconds
MIN_PERIOD_MS = 1000.0  # a shorter period would be closed more often than used
MAX_PERIOD_MS = 20_000.0  # the counter expires names after 60 s, and two periods must fit well
REPORT_DELAY_FRACTION = 0.5  # of a period: how long unconfirmed units wait for their report
NAME_LIFETIME_PERIODS = 2.5  # its own period, and the next for the closing read
HEADROOM_FRACTION = 0.9  # of a ceiling's headroom that is used: late totals may let sends pass the quota
CALL_PROBABILITY_GAIN = 0.3  # relative change of the call probability with each reply
CALL_DELAY_FRACTION = 0.25  # of the timeout: a reply later than the fastest by this shows a queue
FASTEST_REPLY_FRACTION = 0.4  # of the timeout: upper bound of the fastest, which may all have been queued
MIN_CALL_PROBABILITY = 0.05  # so that the recovery of a counter is noticed
MAX_CALL_PROBABILITY = 8.0  # above 1, so that requests of low value are confirmed too without congestion
CLOSING_READ_FRACTION = 0.75  # of the burst left: below it the previous period's final total matters
PLAN_CONFORMANCE_GAIN = 0.05  # EWMA weight in a plan's share of conforming requests: about the last twenty
CUSTOMER_CONFORMANCE_GAIN = 0.4  # and in a customer's own, which starts from its plan's
INITIAL_CONFORMANCE = 0.5  # of a plan without any confirmed request
MAX_CONFORMANCE = 0.85  # the share lies between this and 1 less this: else nobody would ask again
MAX_SAMPLE_WEIGHT = 4.0  # requests that a sampled one stands for: more would fill a burst by chance alone
MIN_OVER_QUOTA_COST = 0.1  # of its value: a send beyond the quota takes capacity even where it is free
MIN_UNCONFIRMED_VALUE = -0.15  # of its value: below 0, since conformance is estimated from few replies
FRESH_PERIODS = 4.0  # a total may be extrapolated for this long at the rates seen
RATE_MEMORY_PERIODS = 2.0  # of usage rates: long against noise, short against a shift of traffic
MIN_SHARE_FRACTION = 0.5  # of an even share, kept for a gateway that saw little of a customer: traffic moves
STALE_TOLERANCES = 4.0  # a quota is dropped when idle for this many of its tolerances
SWEEP_INTERVAL_MS = 2000.0  # between two searches for stale quotas


class GcraBucket:
    """Generic cell rate algorithm: a theoretical arrival time (TAT) against a rate and a burst; in ms."""

    __slots__ = ("interval_ms", "partial_share", "tat", "tolerance")

    def __init__(self, rate: float, burst: float, tat: float) -> None:
        self.partial_share: GcraBucket | None = None  # the part granted while not all gateways are visible
        self.tat = tat
        self.configure(rate, burst)

    def configure(self, rate: float, burst: float) -> None:
        """Set the rate, in units per second, and the burst, in units."""
        self.interval_ms = SECOND_MS / rate if rate > 0 else math.inf
        self.tolerance = burst * self.interval_ms if rate > 0 else 0.0

    def wait(self, now: float, units: float) -> float:
        """How long until a request conforms; 0 or less: now.  The burst includes the request's own units: a
        plain TAT test admits one request more after each idle time, which counts as beyond the quota."""
        wait = self.tat - now + min(units * self.interval_ms - self.tolerance, 0.0)
        return max(wait, self.partial_share.wait(now, units)) if self.partial_share else wait

    def capacity(self, now: float) -> float:
        """Units left of the burst."""
        capacity = (now + self.tolerance - max(self.tat, now)) / self.interval_ms
        return min(capacity, self.partial_share.capacity(now)) if self.partial_share else capacity

    def consume(self, units: float, since: float) -> None:
        """Push the TAT forward by units used since that time."""
        if self.interval_ms < math.inf:  # else 0 units give NaN, which passes all tests
            self.tat = max(self.tat, since) + units * self.interval_ms
        if self.partial_share:
            self.partial_share.consume(units, since)


class CustomerQuota:
    """What this gateway knows of one customer's usage."""

    def __init__(
        self, plan: api.Plan, request: api.Request, settings: api.Settings, now: float, started_at: float
    ) -> None:
        self.plan, self.customer, self.first_gateway = plan, request.customer, request.first_gateway
        self.gateway_set_size = max(1, min(request.gateway_set_size, settings.gateway_count))
        self.bucket = GcraBucket(plan.rate, plan.burst, now)  # of all gateways together
        self.bucket.tat = now + self.bucket.tolerance * (1 - 1 / self.gateway_set_size)
        self.own_bucket = GcraBucket(plan.rate, plan.burst, now)  # given the own share's rate before each use
        self.headroom_bucket: GcraBucket | None = None  # for unconfirmed sends; a restart refills nothing
        if plan.ceiling_rate > 0:
            self.headroom_bucket = GcraBucket(*self.headroom_share(settings), started_at)
            self.headroom_bucket.tat = started_at + self.headroom_bucket.tolerance
        self.period_ms = self.compute_period_ms()
        self.period, self.period_phase = -1, counter_name(self.customer, -1) / MAX_COUNTER_NAME  # staggered
        self.last_total = self.previous_total = 0.0  # last read under this period's and the previous name
        self.epoch = self.previous_epoch = 0  # of these names: it moves when the counter has lost its totals
        self.reported_units = 0.0  # by this gateway under this period's name
        self.visibility_version = 0  # that the buckets follow
        self.previous_period_open = False  # its final total has not been read
        self.own_rate = self.others_rate = 0.0  # EWMA of units per second, this gateway's and the others'
        self.unreported_units = 0.0  # sent, and in no call yet; below 0: reported but not sent
        self.estimated_units = 0.0  # of unconfirmed sends elsewhere, for which the call's requests stand
        self.correction_units = 0.0  # by which answers corrected estimated charges, not yet reported
        self.uncertain_units = 0.0  # in calls that timed out
        self.calls_in_flight: dict[int, float] = {}  # counter names, and the units in the call
        self.requests_in_call: dict[str, float] = {}  # request ids, and their units
        self.requests_waiting: dict[str, float] = {}  # for the next call, likewise
        self.last_used_at = self.synchronized_at = now  # last request, and last total read
        self.synchronized = self.was_unsynchronized = False  # in this period; before the last reply, not
        self.conformance = INITIAL_CONFORMANCE  # share of confirmed requests that were within the quota
        self.open_requests, self.report_scheduled = 0, False  # attempts in flight; a timer is set to report

    def headroom_share(self, settings: api.Settings) -> tuple[float, float]:
        """Rate and burst of this gateway's even share of the ceiling's headroom.  Where that is less than a
        request, the first gateways of the set hold one request each: else all would pass, or none."""
        plan = self.plan
        burst = HEADROOM_FRACTION * max(plan.ceiling_burst + plan.ceiling_slack - plan.burst, 0.0)
        holders = min(self.gateway_set_size, int(burst / max(settings.max_request_units, 1.0)))
        position = (settings.gateway_index - self.first_gateway) % settings.gateway_count
        share = (position < holders) / max(holders, 1)
        return HEADROOM_FRACTION * max(plan.ceiling_rate - plan.rate, 0.0) * share, burst * share

    def compute_period_ms(self) -> float:
        """The time to use up the burst at the plan's rate, within limits."""
        length = self.plan.burst / self.plan.rate * SECOND_MS if self.plan.rate > 0 else MAX_PERIOD_MS
        return min(max(length, MIN_PERIOD_MS), MAX_PERIOD_MS)

    def own_share(self) -> float:
        """This gateway's share without new totals: all go on as last seen, the rest is split evenly."""
        unused = max(self.plan.rate - self.own_rate - self.others_rate, 0.0) / self.gateway_set_size
        share = max((self.own_rate + unused) / self.plan.rate, MIN_SHARE_FRACTION / self.gateway_set_size)
        return min(share, 1.0)

    def unconfirmed_pays(self) -> bool:
        """Whether an unconfirmed send is expected to earn about what it costs."""
        over_quota = self.plan.over_quota_value - self.plan.over_quota_cost
        return self.conformance + (1 - self.conformance) * over_quota > MIN_UNCONFIRMED_VALUE

    def is_in_use(self, now: float) -> bool:
        """Whether it is kept; with a report to come it is, else that would use a new quota's call."""
        idle = now - max(self.bucket.tat, self.last_used_at)
        busy = self.open_requests or self.requests_waiting or self.requests_in_call or self.calls_in_flight
        return bool(busy or self.report_scheduled) or idle <= STALE_TOLERANCES * max(
            self.bucket.tolerance, self.period_ms
        )


class QuotaManager:
    """Keeps all customers' quotas and decides which calls to the counter are worth their load."""

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        self._rng, self._conformance = rng, dict[str, float]()  # by plan, the share of conforming requests
        self.update_settings(settings)
        self.visibility: CounterVisibility | None = None  # None: the counter is taken to be healthy
        self._quotas: dict[int, CustomerQuota] = {}  # by customer
        self._calls: dict[int, CustomerQuota] = {}  # by counter name
        self._call_probability = 1.0 if settings.has_counter else 0.0  # for a reply of mean value
        self._fastest_reply_ms = FASTEST_REPLY_FRACTION * settings.counter_timeout_ms
        self._mean_call_value = 0.0  # EWMA
        self._swept_at, self._started_at = -math.inf, math.nan

    def update_settings(self, settings: api.Settings) -> None:
        """Take up new settings; quotas follow them when they are next used."""
        self._settings = settings
        self._plans = {plan.name: plan for plan in settings.plans}
        self._conformance = {name: self._conformance.get(name, INITIAL_CONFORMANCE) for name in self._plans}

    def quota_for(self, now: float, request: api.Request) -> CustomerQuota:
        """The customer's quota, created where it is not known; stale ones are dropped on the way."""
        self._started_at = now if math.isnan(self._started_at) else self._started_at
        if now - self._swept_at >= SWEEP_INTERVAL_MS:
            self._swept_at = now
            self._quotas = {key: quota for key, quota in self._quotas.items() if quota.is_in_use(now)}
        quota = self._quotas.get(request.customer)
        if quota is None:
            if (plan := self._plans.get(request.plan)) is None:
                raise ValueError(f"plan {request.plan!r} is not among the settings")
            quota = CustomerQuota(plan, request, self._settings, now, self._started_at)
            quota.conformance = self._conformance[plan.name]
            self._quotas[request.customer] = quota
        quota.last_used_at = now
        plan = self._plans.get(quota.plan.name, quota.plan)
        if plan is not quota.plan and not quota.calls_in_flight:  # imported only where plans change
            from badgeryoke.decisions.plan_schedule.plan_change import apply_plan_change

            quota.first_gateway = request.first_gateway
            quota.gateway_set_size = max(1, min(request.gateway_set_size, self._settings.gateway_count))
            apply_plan_change(now, quota, plan, self._settings)
        if self.visibility and quota.visibility_version != self.visibility.version:
            self.visibility.apply(now, quota)
        return quota

    def unconfirmed_wait(self, now: float, quota: CustomerQuota, units: float) -> float:
        """How long until an unconfirmed request conforms.  While the counter answers, the own share is at
        random 1/sqrt(gateways): customers within their quota rarely use more at one gateway."""
        bucket = quota.bucket
        if bucket.partial_share and self.visibility and self.visibility.is_isolated(quota):
            return bucket.wait(now, units)  # the share of an isolated gateway
        wait = bucket.wait(now, units) if quota.synchronized or quota.visibility_version else 0.0
        share = quota.own_share()
        if self._rng.random() < self._call_probability - MIN_CALL_PROBABILITY:
            share = max(share, quota.gateway_set_size**-0.5)
        quota.own_bucket.interval_ms = (bucket.partial_share or bucket).interval_ms / share
        wait = max(wait, quota.own_bucket.wait(now, units))
        return wait if quota.unconfirmed_pays() else max(wait, bucket.interval_ms)

    def call_weight(self, now: float, quota: CustomerQuota, units: float) -> float:
        """How many requests a sampled one stands for; 0: no call.  The odds follow the counter's load and the
        reply's value: a conforming send instead of a rejection, or a send beyond the quota avoided."""
        headroom = quota.headroom_bucket
        sent_anyway = quota.unconfirmed_pays() and (headroom is None or headroom.capacity(now) >= units)
        conforms = min(max(quota.conformance, 1 - MAX_CONFORMANCE), MAX_CONFORMANCE)
        cost = max(quota.plan.over_quota_cost, MIN_OVER_QUOTA_COST)
        value = units * quota.plan.price * ((1 - conforms) * cost if sent_anyway else conforms)
        self._mean_call_value += PLAN_CONFORMANCE_GAIN * (value - self._mean_call_value)
        odds = self._call_probability
        if self._mean_call_value:
            odds = max(odds * value / self._mean_call_value, MIN_CALL_PROBABILITY)
        suppressed = self.visibility is not None and self.visibility.suppresses_calls(now, quota)
        if not self._settings.has_counter or self._rng.random() >= odds or suppressed:
            return 0.0
        return min(1 / min(odds, 1.0), MAX_SAMPLE_WEIGHT) if sent_anyway else 1.0

    def has_spare_capacity(self, now: float, quota: CustomerQuota, units: float) -> bool:
        """Whether the last total leaves so much that the units may be reported afterwards."""
        age_ms, headroom = now - quota.synchronized_at, quota.headroom_bucket
        capacity = quota.bucket.capacity(now) - quota.others_rate * age_ms / SECOND_MS - units
        enough = capacity > min(self._call_probability, 1.0) * quota.plan.burst
        fresh = quota.synchronized and age_ms < FRESH_PERIODS * quota.period_ms
        return fresh and enough and (headroom is None or headroom.capacity(now) >= units)

    def record_conformance(self, quota: CustomerQuota, conforms: bool) -> None:
        """Update the shares of conforming requests by one that the counter has confirmed or not."""
        old = self._conformance.get(quota.plan.name, INITIAL_CONFORMANCE)
        self._conformance[quota.plan.name] = old + PLAN_CONFORMANCE_GAIN * (conforms - old)
        quota.conformance += CUSTOMER_CONFORMANCE_GAIN * (conforms - quota.conformance)

    def synchronize(self, now: float, quota: CustomerQuota, estimated: float = 0.0) -> api.Actions:
        """Report the unreported units and those of the waiting requests, and read the total back."""
        if quota.calls_in_flight or (not quota.requests_waiting and not quota.unreported_units):
            return []
        period = math.floor(now / quota.period_ms + quota.period_phase)
        epoch = self.visibility.epoch if self.visibility else 0
        if period != quota.period:
            follows = period == quota.period + 1
            # Own units of calls that timed out may have been added to the previous name, not to the new one.
            quota.previous_total = quota.last_total + quota.uncertain_units if follows else 0.0
            quota.period, quota.previous_epoch, quota.epoch = period, quota.epoch, epoch
            quota.synchronized, quota.previous_period_open = quota.synchronized and follows, True
            quota.last_total = quota.uncertain_units = quota.reported_units = 0.0
            quota.unreported_units = max(quota.unreported_units, 0.0)
        elif epoch and epoch != quota.epoch:  # a fresh name gets all own units of this period once more
            quota.unreported_units += quota.reported_units
            quota.last_total -= quota.reported_units
            quota.reported_units = quota.uncertain_units = 0.0
            quota.epoch, quota.previous_period_open = epoch, False
        quota.requests_in_call, quota.requests_waiting = quota.requests_waiting, {}
        requested = sum(quota.requests_in_call.values())
        units = quota.unreported_units + quota.correction_units + estimated + requested
        quota.unreported_units, quota.correction_units, quota.estimated_units = 0.0, 0.0, estimated
        return [self._add_to_counter(quota, counter_name(quota.customer, period, quota.epoch), units)]

    def correct_charge(self, now: float, quota: CustomerQuota, units: float) -> None:
        """Correct an estimated charge.  A ceiling goes by the estimate: a refund comes off its headroom."""
        if quota.headroom_bucket:
            units = max(units, -max(quota.headroom_bucket.capacity(now), 0.0))
            if units and quota.headroom_bucket.tolerance:
                quota.headroom_bucket.consume(-units, now)
        quota.bucket.consume(units, -math.inf)
        quota.correction_units += units

    def _add_to_counter(self, quota: CustomerQuota, name: int, units: float) -> api.Action:
        quota.calls_in_flight[name] = units
        self._calls[name] = quota
        return api.AddToCounter(name, units, NAME_LIFETIME_PERIODS * quota.period_ms)

    def replied(self, now: float, reply: api.CounterReply) -> tuple[CustomerQuota, bool, api.Actions] | None:
        """Process a reply: the quota, whether its requests may rely on it, and further calls."""
        if (quota := self._calls.pop(reply.name, None)) is None:
            return None
        units = quota.calls_in_flight.pop(reply.name)
        is_current = reply.name == counter_name(quota.customer, quota.period, quota.epoch)
        succeeded = reply.verdict is api.Verdict.OK
        delay = 1.0  # in parts of the timeout
        if succeeded:
            self._fastest_reply_ms = min(self._fastest_reply_ms, reply.rtt_ms)
            delay = (reply.rtt_ms - self._fastest_reply_ms) / max(self._settings.counter_timeout_ms, 1.0)
        adapted = self._call_probability * math.exp(CALL_PROBABILITY_GAIN * (1 - delay / CALL_DELAY_FRACTION))
        self._call_probability = min(max(adapted, MIN_CALL_PROBABILITY), MAX_CALL_PROBABILITY)
        if not is_current:  # the closing read; where it fails, what was read of the previous period stands
            if succeeded:
                quota.previous_period_open = False
                rest = max(reply.total - quota.previous_total, 0.0)
                rest = max(rest - quota.plan.burst / 2, 0.0) if quota.was_unsynchronized else rest
                quota.bucket.consume(rest, -math.inf)
            return quota, True, []
        if not succeeded:
            if reply.verdict is api.Verdict.TIMEOUT:
                quota.uncertain_units += units
            else:
                quota.unreported_units += units
            return quota, False, []
        self._apply_total(now, quota, reply.total, units)
        below = 1.0 if quota.plan.ceiling_rate > 0 or self._call_probability >= 1 else CLOSING_READ_FRACTION
        is_short = quota.previous_period_open and quota.bucket.capacity(now) < below * quota.plan.burst
        if is_short and self.call_weight(now, quota, 1.0):
            name = counter_name(quota.customer, quota.period - 1, quota.previous_epoch)
            return quota, True, [self._add_to_counter(quota, name, 0.0)]
        return quota, True, []

    def _apply_total(self, now: float, quota: CustomerQuota, total: float, units: float) -> None:
        """Charge what others used since the last total, and update the usage rates."""
        bucket, elapsed_ms = quota.bucket, now - quota.synchronized_at
        others = max(total - quota.last_total - units - quota.uncertain_units, 0.0) + quota.estimated_units
        others = self.visibility.others_units(quota, others) if self.visibility else others
        quota.reported_units += units
        quota.uncertain_units, quota.was_unsynchronized = 0.0, not quota.synchronized
        if quota.synchronized or quota.visibility_version or quota.plan.rate <= 0:
            bucket.consume(others, quota.synchronized_at)
        else:
            own = max(quota.own_bucket.tat - now, 0.0) / quota.own_bucket.interval_ms  # in no total yet
            period_start = (quota.period - quota.period_phase) * quota.period_ms
            bucket.tat = period_start + (others + own) * bucket.interval_ms
        quota.synchronized = True
        if elapsed_ms > 0:
            weight = 1 - math.exp(-elapsed_ms / (RATE_MEMORY_PERIODS * quota.period_ms))
            quota.others_rate += weight * (others / elapsed_ms * SECOND_MS - quota.others_rate)
            quota.own_rate += weight * (units / elapsed_ms * SECOND_MS - quota.own_rate)
        least = quota.last_total + units if quota.epoch else -math.inf
        quota.last_total, quota.synchronized_at = max(total, least), now
