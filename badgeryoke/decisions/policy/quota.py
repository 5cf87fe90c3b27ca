"""Customers' quotas and ceilings as GCRA buckets, synchronized between gateways by the counter service."""

import math
import random

from badgeryoke.decisions import interface as api
from badgeryoke.decisions.counter_name import MAX_COUNTER_NAME, counter_name
from badgeryoke.decisions.quota_protocols import CounterVisibility

SECOND_MS = 1000.0  # rates are per second, times in milliseconds
MIN_PERIOD_MS = 1000.0  # a shorter period would need more closing reads than regular calls
MAX_PERIOD_MS = 20_000.0  # the counter expires names after 60 s, well over two periods
REPORT_DELAY_FRACTION = 0.5  # delay of the report of unconfirmed units, as a fraction of a period
NAME_LIFETIME_PERIODS = 2.5  # covers the name's own period and the next, in which its closing read follows
# Used fraction of a ceiling's headroom; late totals may let the gateways together exceed the quota.
HEADROOM_FRACTION = 0.9
CALL_PROBABILITY_GAIN = 0.3  # relative change of the call probability with each reply
# A reply that takes longer than the fastest one by this fraction of the timeout shows a queue at the counter.
CALL_DELAY_FRACTION = 0.25
# Upper bound of the fastest reply, as a fraction of the timeout: every reply so far may have been queued.
FASTEST_REPLY_FRACTION = 0.4
MIN_CALL_PROBABILITY = 0.05  # above 0, so that the recovery of a counter is noticed
MAX_CALL_PROBABILITY = 8.0  # above 1, so that an uncongested counter also confirms requests of low value
# With less than this fraction of the burst left, the final total of the previous period is read.
CLOSING_READ_FRACTION = 0.75
PLAN_CONFORMANCE_GAIN = 0.05  # EWMA weight for a plan's share of conforming requests: about the last twenty
CUSTOMER_CONFORMANCE_GAIN = 0.4  # EWMA weight for a customer's share, which starts from its plan's
INITIAL_CONFORMANCE = 0.5  # share of conforming requests of a plan without any confirmed request
# The share is limited to 1 - MAX_CONFORMANCE .. MAX_CONFORMANCE: at 0 or 1 a call would have no value, and no
# further call would correct the share.
MAX_CONFORMANCE = 0.85
# Upper bound of the number of requests that a sampled one represents; with more, a few samples fill a burst.
MAX_SAMPLE_WEIGHT = 4.0
MIN_OVER_QUOTA_COST = 0.1  # in parts of the price: a send over quota takes capacity even if it costs nothing
MIN_UNCONFIRMED_VALUE = -0.15  # in parts of the price; below 0, as conformance is estimated from few replies
MAX_TOTAL_AGE_PERIODS = 4.0  # a total is extrapolated at the measured usage rates for at most this long
RATE_TAU_PERIODS = 2.0  # time constant of usage rates: long against noise, short against a shift of traffic
# Lower bound of a gateway's share of a quota, as a fraction of an even share: traffic may move to a gateway
# that has seen few requests of the customer.
MIN_SHARE_FRACTION = 0.5
STALE_TOLERANCES = 4.0  # a quota is removed after being idle for this many of its tolerances
SWEEP_INTERVAL_MS = 2000.0  # time between two searches for stale quotas


class GcraBucket:
    """Generic cell rate algorithm (GCRA): compares a theoretical arrival time (TAT) with a rate and a burst.

    Times are in ms.
    """

    __slots__ = ("interval_ms", "partial_share", "tat", "tolerance")

    def __init__(self, rate: float, burst: float, tat: float) -> None:
        self.partial_share: GcraBucket | None = None  # share granted while not all gateways are visible
        self.tat = tat
        self.configure(rate, burst)

    def configure(self, rate: float, burst: float) -> None:
        """Set the rate, in units per second, and the burst, in units."""
        self.interval_ms = SECOND_MS / rate if rate > 0 else math.inf
        self.tolerance = burst * self.interval_ms if rate > 0 else 0.0

    def wait(self, now: float, units: float) -> float:
        """Return the time in ms until a request conforms; 0 or less if it conforms now.

        The burst includes the request's own units: a plain TAT test would admit one more request after each
        idle time, and that request would count as over quota.
        """
        wait_ms = self.tat - now + min(units * self.interval_ms - self.tolerance, 0.0)
        return max(wait_ms, self.partial_share.wait(now, units)) if self.partial_share else wait_ms

    def capacity(self, now: float) -> float:
        """Return the units left of the burst."""
        capacity = (now + self.tolerance - max(self.tat, now)) / self.interval_ms
        return min(capacity, self.partial_share.capacity(now)) if self.partial_share else capacity

    def consume(self, units: float, since: float) -> None:
        """Advance the TAT by units used since that time."""
        if self.interval_ms < math.inf:  # 0 units times infinity give NaN, and every later request conforms
            self.tat = max(self.tat, since) + units * self.interval_ms
        if self.partial_share:
            self.partial_share.consume(units, since)


class CustomerQuota:
    """One customer's quota and usage, as seen by this gateway."""

    def __init__(
        self, plan: api.Plan, request: api.Request, settings: api.Settings, now: float, started_at: float
    ) -> None:
        self.plan, self.customer, self.first_gateway = plan, request.customer, request.first_gateway
        self.gateway_set_size = max(1, min(request.gateway_set_size, settings.gateway_count))
        self.bucket = GcraBucket(plan.rate, plan.burst, now)  # usage through all gateways together
        # A new quota starts with an even share of the burst.
        self.bucket.tat = now + self.bucket.tolerance * (1 - 1 / self.gateway_set_size)
        # Usage through this gateway; before each use, the interval is set from the gateway's share.
        self.own_bucket = GcraBucket(plan.rate, plan.burst, now)
        # Limits unconfirmed sends under a ceiling; it starts empty, so that a restart grants no extra burst.
        self.headroom_bucket: GcraBucket | None = None
        if plan.ceiling_rate > 0:
            self.headroom_bucket = GcraBucket(*self.headroom_share(settings), started_at)
            self.headroom_bucket.tat = started_at + self.headroom_bucket.tolerance
        self.period_ms = self.compute_period_ms()
        # The phase differs between customers, so that their periods do not all begin at the same time.
        self.period, self.period_phase = -1, counter_name(self.customer, -1) / MAX_COUNTER_NAME
        # Last totals read under the names of this period and of the previous one.
        self.last_total = self.previous_total = 0.0
        # Epochs of these two names; the epoch increases each time the counter has lost its totals.
        self.epoch = self.previous_epoch = 0
        self.reported_units = 0.0  # units reported by this gateway under this period's name
        self.visibility_version = 0  # version of the gateway visibility that the buckets are configured for
        self.previous_period_open = False  # whether the previous period's final total is still to be read
        self.own_rate = self.others_rate = 0.0  # EWMA of units/s through this gateway and through the others
        self.unreported_units = 0.0  # units sent, but in no call yet; negative: reported, but not sent
        self.estimated_units = 0.0  # units in the call for unconfirmed sends that sampled requests represent
        self.correction_units = 0.0  # unreported differences between measured and estimated charges
        self.uncertain_units = 0.0  # units of calls that timed out: the counter may have added them
        self.calls_in_flight: dict[int, float] = {}  # units of each call, by counter name
        self.requests_in_call: dict[str, float] = {}  # units of each request in the call, by request id
        self.requests_waiting: dict[str, float] = {}  # units of each request for the next call, by request id
        self.last_used_at = self.synchronized_at = now  # times of the last request and of the last total read
        # Whether a total has been read in this period, and whether none had been read before the last reply.
        self.synchronized = self.was_unsynchronized = False
        self.conformance = INITIAL_CONFORMANCE  # share of confirmed requests that were within the quota
        # Attempts in flight, and whether a timer is set to report the unreported units.
        self.attempts_in_flight, self.report_scheduled = 0, False

    def headroom_share(self, settings: api.Settings) -> tuple[float, float]:
        """Return rate and burst of this gateway's even share of the ceiling's headroom.

        If the share is less than one request, only the first gateways of the set get a share, of one request
        each: with even shares either every gateway would send a request or none.
        """
        plan = self.plan
        burst = HEADROOM_FRACTION * max(plan.ceiling_burst + plan.ceiling_slack - plan.burst, 0.0)
        holders = min(self.gateway_set_size, int(burst / max(settings.max_request_units, 1.0)))
        position = (settings.gateway_index - self.first_gateway) % settings.gateway_count
        share = (position < holders) / max(holders, 1)
        return HEADROOM_FRACTION * max(plan.ceiling_rate - plan.rate, 0.0) * share, burst * share

    def compute_period_ms(self) -> float:
        """Return the time to use up the burst at the plan's rate, within MIN_PERIOD_MS and MAX_PERIOD_MS."""
        period_ms = self.plan.burst / self.plan.rate * SECOND_MS if self.plan.rate > 0 else MAX_PERIOD_MS
        return min(max(period_ms, MIN_PERIOD_MS), MAX_PERIOD_MS)

    def own_share(self) -> float:
        """Return this gateway's share of the quota: its measured rate and an even part of the unused rate."""
        unused = max(self.plan.rate - self.own_rate - self.others_rate, 0.0) / self.gateway_set_size
        share = max((self.own_rate + unused) / self.plan.rate, MIN_SHARE_FRACTION / self.gateway_set_size)
        return min(share, 1.0)

    def is_unconfirmed_send_worthwhile(self) -> bool:
        """Whether the expected value of an unconfirmed send is about its cost or more."""
        over_quota_value = self.plan.over_quota_value - self.plan.over_quota_cost
        return self.conformance + (1 - self.conformance) * over_quota_value > MIN_UNCONFIRMED_VALUE

    def is_in_use(self, now: float) -> bool:
        """Whether the quota has to be kept.

        It is kept until a scheduled report is sent: the report of a removed quota would take the counter's
        reply to a call of the customer's new quota.
        """
        idle_ms = now - max(self.bucket.tat, self.last_used_at)
        busy = (
            self.attempts_in_flight or self.requests_waiting or self.requests_in_call or self.calls_in_flight
        )
        return bool(busy or self.report_scheduled) or idle_ms <= STALE_TOLERANCES * max(
            self.bucket.tolerance, self.period_ms
        )


class QuotaManager:
    """Keeps all customers' quotas and decides which calls to the counter are worth their load."""

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        self._rng, self._conformance = rng, dict[str, float]()  # share of conforming requests, by plan
        self.update_settings(settings)
        self.visibility: CounterVisibility | None = None  # None: the counter is assumed to be healthy
        self._quotas: dict[int, CustomerQuota] = {}  # by customer
        self._calls: dict[int, CustomerQuota] = {}  # quota of each call in flight, by counter name
        self._call_probability = 1.0 if settings.has_counter else 0.0  # probability of a call of mean value
        self._fastest_reply_ms = FASTEST_REPLY_FRACTION * settings.counter_timeout_ms
        self._mean_call_value = 0.0  # EWMA of the value of calls, in the unit of prices
        self._swept_at, self._started_at = -math.inf, math.nan

    def update_settings(self, settings: api.Settings) -> None:
        """Apply new settings; each quota adopts them when it is next used."""
        self._settings = settings
        self._plans = {plan.name: plan for plan in settings.plans}
        self._conformance = {name: self._conformance.get(name, INITIAL_CONFORMANCE) for name in self._plans}

    def quota_for(self, now: float, request: api.Request) -> CustomerQuota:
        """Return the customer's quota and create it if there is none; also removes stale quotas."""
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
        if plan is not quota.plan and not quota.calls_in_flight:
            # Imported here, so that it is loaded only if plans change.
            from badgeryoke.decisions.plan_schedule.plan_change import apply_plan_change

            quota.first_gateway = request.first_gateway
            quota.gateway_set_size = max(1, min(request.gateway_set_size, self._settings.gateway_count))
            apply_plan_change(now, quota, plan, self._settings)
        if self.visibility and quota.visibility_version != self.visibility.version:
            self.visibility.apply(now, quota)
        return quota

    def unconfirmed_wait(self, now: float, quota: CustomerQuota, units: float) -> float:
        """Return the time in ms until an unconfirmed request conforms.

        While the counter replies, the gateway's share is raised to 1/sqrt(gateways) at random: customers
        within their quota rarely use more at one gateway.
        """
        bucket = quota.bucket
        if bucket.partial_share and self.visibility and self.visibility.is_isolated(quota):
            return bucket.wait(now, units)  # limited by the partial share of an isolated gateway
        wait_ms = bucket.wait(now, units) if quota.synchronized or quota.visibility_version else 0.0
        share = quota.own_share()
        if self._rng.random() < self._call_probability - MIN_CALL_PROBABILITY:
            share = max(share, quota.gateway_set_size**-0.5)
        quota.own_bucket.interval_ms = (bucket.partial_share or bucket).interval_ms / share
        wait_ms = max(wait_ms, quota.own_bucket.wait(now, units))
        return wait_ms if quota.is_unconfirmed_send_worthwhile() else max(wait_ms, bucket.interval_ms)

    def call_weight(self, now: float, quota: CustomerQuota, units: float) -> float:
        """Return how many requests a sampled one represents; 0 means that no call is made.

        The probability of a call depends on the counter's load and on the value of the reply: either a
        conforming request is sent instead of rejected, or a send over quota is avoided.
        """
        headroom = quota.headroom_bucket
        sent_without_call = quota.is_unconfirmed_send_worthwhile() and (
            headroom is None or headroom.capacity(now) >= units
        )
        conformance = min(max(quota.conformance, 1 - MAX_CONFORMANCE), MAX_CONFORMANCE)
        cost = max(quota.plan.over_quota_cost, MIN_OVER_QUOTA_COST)
        value = units * quota.plan.price * ((1 - conformance) * cost if sent_without_call else conformance)
        self._mean_call_value += PLAN_CONFORMANCE_GAIN * (value - self._mean_call_value)
        probability = self._call_probability
        if self._mean_call_value:
            probability = max(probability * value / self._mean_call_value, MIN_CALL_PROBABILITY)
        suppressed = self.visibility is not None and self.visibility.suppresses_calls(now, quota)
        if not self._settings.has_counter or self._rng.random() >= probability or suppressed:
            return 0.0
        return min(1 / min(probability, 1.0), MAX_SAMPLE_WEIGHT) if sent_without_call else 1.0

    def has_spare_capacity(self, now: float, quota: CustomerQuota, units: float) -> bool:
        """Whether the last total leaves enough capacity to send now and report the units later."""
        age_ms, headroom = now - quota.synchronized_at, quota.headroom_bucket
        capacity = quota.bucket.capacity(now) - quota.others_rate * age_ms / SECOND_MS - units
        enough = capacity > min(self._call_probability, 1.0) * quota.plan.burst
        is_recent = quota.synchronized and age_ms < MAX_TOTAL_AGE_PERIODS * quota.period_ms
        return is_recent and enough and (headroom is None or headroom.capacity(now) >= units)

    def record_conformance(self, quota: CustomerQuota, conforms: bool) -> None:
        """Update the plan's and the customer's share of conforming requests by one checked request."""
        previous = self._conformance.get(quota.plan.name, INITIAL_CONFORMANCE)
        self._conformance[quota.plan.name] = previous + PLAN_CONFORMANCE_GAIN * (conforms - previous)
        quota.conformance += CUSTOMER_CONFORMANCE_GAIN * (conforms - quota.conformance)

    def synchronize(self, now: float, quota: CustomerQuota, estimated: float = 0.0) -> api.Actions:
        """Report the unreported units and those of the waiting requests, and read the total."""
        if quota.calls_in_flight or (not quota.requests_waiting and not quota.unreported_units):
            return []
        period = math.floor(now / quota.period_ms + quota.period_phase)
        epoch = self.visibility.epoch if self.visibility else 0
        if period != quota.period:
            is_next = period == quota.period + 1
            # Units of calls that timed out may have been added to the previous name, but not to the new one.
            quota.previous_total = quota.last_total + quota.uncertain_units if is_next else 0.0
            quota.period, quota.previous_epoch, quota.epoch = period, quota.epoch, epoch
            quota.synchronized, quota.previous_period_open = quota.synchronized and is_next, True
            quota.last_total = quota.uncertain_units = quota.reported_units = 0.0
            quota.unreported_units = max(quota.unreported_units, 0.0)
        elif epoch and epoch != quota.epoch:
            # The new name starts at 0: this gateway reports all its units of this period again.
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
        """Correct an estimated charge by a number of units, negative for a refund.

        A ceiling is checked against estimated charges, so a refund is taken out of its headroom.
        """
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

    def handle_reply(
        self, now: float, reply: api.CounterReply
    ) -> tuple[CustomerQuota, bool, api.Actions] | None:
        """Process a reply; returns the quota, whether the reply is reliable for its requests, and more calls.

        None: the call is not known.
        """
        if (quota := self._calls.pop(reply.name, None)) is None:
            return None
        units = quota.calls_in_flight.pop(reply.name)
        is_current = reply.name == counter_name(quota.customer, quota.period, quota.epoch)
        succeeded = reply.verdict is api.Verdict.OK
        delay_fraction = 1.0  # queueing delay at the counter, in parts of the timeout
        if succeeded:
            self._fastest_reply_ms = min(self._fastest_reply_ms, reply.rtt_ms)
            delay_fraction = (reply.rtt_ms - self._fastest_reply_ms) / max(
                self._settings.counter_timeout_ms, 1.0
            )
        probability = self._call_probability * math.exp(
            CALL_PROBABILITY_GAIN * (1 - delay_fraction / CALL_DELAY_FRACTION)
        )
        self._call_probability = min(max(probability, MIN_CALL_PROBABILITY), MAX_CALL_PROBABILITY)
        if not is_current:  # the closing read; if it failed, the last total read in that period stays in use
            if succeeded:
                quota.previous_period_open = False
                unread_units = max(reply.total - quota.previous_total, 0.0)
                unread_units = (
                    max(unread_units - quota.plan.burst / 2, 0.0)
                    if quota.was_unsynchronized
                    else unread_units
                )
                quota.bucket.consume(unread_units, -math.inf)
            return quota, True, []
        if not succeeded:
            if reply.verdict is api.Verdict.TIMEOUT:
                quota.uncertain_units += units
            else:
                quota.unreported_units += units
            return quota, False, []
        self._apply_total(now, quota, reply.total, units)
        # Below this fraction of the burst, the closing read is made.
        fraction = (
            1.0 if quota.plan.ceiling_rate > 0 or self._call_probability >= 1 else CLOSING_READ_FRACTION
        )
        is_read_due = quota.previous_period_open and quota.bucket.capacity(now) < fraction * quota.plan.burst
        if is_read_due and self.call_weight(now, quota, 1.0):
            name = counter_name(quota.customer, quota.period - 1, quota.previous_epoch)
            return quota, True, [self._add_to_counter(quota, name, 0.0)]
        return quota, True, []

    def _apply_total(self, now: float, quota: CustomerQuota, total: float, units: float) -> None:
        """Charge the units used through other gateways since the last total, and update the usage rates."""
        bucket, elapsed_ms = quota.bucket, now - quota.synchronized_at
        others_units = (
            max(total - quota.last_total - units - quota.uncertain_units, 0.0) + quota.estimated_units
        )
        others_units = self.visibility.others_units(quota, others_units) if self.visibility else others_units
        quota.reported_units += units
        quota.uncertain_units, quota.was_unsynchronized = 0.0, not quota.synchronized
        if quota.synchronized or quota.visibility_version or quota.plan.rate <= 0:
            bucket.consume(others_units, quota.synchronized_at)
        else:
            # Units used through this gateway that no total contains yet.
            own_units = max(quota.own_bucket.tat - now, 0.0) / quota.own_bucket.interval_ms
            period_start = (quota.period - quota.period_phase) * quota.period_ms
            bucket.tat = period_start + (others_units + own_units) * bucket.interval_ms
        quota.synchronized = True
        if elapsed_ms > 0:
            gain = 1 - math.exp(-elapsed_ms / (RATE_TAU_PERIODS * quota.period_ms))
            quota.others_rate += gain * (others_units / elapsed_ms * SECOND_MS - quota.others_rate)
            quota.own_rate += gain * (units / elapsed_ms * SECOND_MS - quota.own_rate)
        min_total = quota.last_total + units if quota.epoch else -math.inf
        quota.last_total, quota.synchronized_at = max(total, min_total), now
