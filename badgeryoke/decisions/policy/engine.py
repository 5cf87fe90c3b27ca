"""Every decision of a gateway.  Its types are in badgeryoke/decisions/interface.py."""

from __future__ import annotations

import math
import random
from dataclasses import replace
from typing import TYPE_CHECKING, Literal

from badgeryoke.decisions import interface as api
if TYPE_CHECKING:
    from badgeryoke.decisions.counter_health.visibility import Visibility

SECOND_MS = 1000.0  # quotas are told per second, the clock runs in milliseconds
# Quota
PERIOD_LEAST_MS = 1000.0  # a period shorter than this would be closed more often than used
PERIOD_MOST_MS = 20_000.0  # the counter forgets names after 60 s; a period and the next must fit well
FLUSH_SHARE = 0.5  # units sent unheard are reported after this part of a period
HOLD_TIMES = 4.0  # counter time-outs a client must have left to be held: twice the longest hold
HEAD_PART = 0.9  # of the ceiling's headroom is used: confirmed sends may pass the quota by what is read late
NAME_LIVES = 2.5  # a name lives for this many periods: its own, and the next for the closing read
CALL_GAIN = 0.3  # the chance of a call moves by about this part with each answer
CALL_BUSY = 0.25  # of the time-out: an answer so much later than the quickest tells of a line at the counter,
CALL_FLOOR = 0.4  # ... which is held to be quicker than this: it may have been heard in a crowd alone
CALL_LEAST = 0.05  # chance of a call while none is answered, so that a recovery is noticed
CALL_MOST = 8.0  # above 1, so that tries of less than usual worth are asked for too while there is no crowd
CLOSE_BELOW = 0.75  # of the burst left: under this the old period's end matters, and is read
PRIOR_GAIN = 0.05  # weight of one answered try in a plan's share that conforms: about the last twenty
WEIGHT_MOST = 4.0  # tries that one asked for stands for at most: more would fill a burst by chance alone
COST_LEAST = 0.1  # of its worth a send beyond the quota costs at least: it takes room even where it is free
PAYS_LEAST = -0.15  # of its worth an unheard send may seem to earn: the share is read from few answers
PRIOR = 0.5  # of a plan nobody has asked for yet
SURE = 0.85  # a share that conforms is held to lie between this and 1 less this: else nobody asks again
CONFORM_GAIN = 0.4  # and in a customer's own, which starts from its plan's
FRESH_PERIODS = 4.0  # a reading may be gone on from for this long at the rates seen
SHARE_PERIODS = 2.0  # memory of the others' rate: long against chance, short against a shift of traffic
LEAST_PART = 0.5  # of an even share is kept for a gateway that saw little of a customer: traffic moves
STALE_TOLERANCES = 4.0  # an entry is dropped when its TAT plus tolerance lies this many tolerances back
SWEEP_MS = 2000.0  # how often stale entries are looked for
# Servers
EWMA_GAIN = 0.15  # weight of a new latency or failure: about the last six answers count
BASE_GAIN_DOWN = 0.1  # an answer below the base latency pulls it down by this, ...
BASE_GAIN_UP = 0.02  # ... one above it lifts it by this: it settles where few answers come sooner
BASE_PRIOR = 3.0  # answers that the first guess of a base latency weighs as much as
QUEUE_TAU = 2.5  # aims: how fast news of a queue fades, and ...
QUEUE_TIMES = 3.0  # ... in this many times its length: a long one is worked off while others still add to it
RATE_TAU_MS = 3000.0  # memory of the own send rate, long against a tick and short against a ramp
GUESS_OF_AIM = 0.12  # an unseen server is taken to answer in this part of the shortest aim
OTHER_ZONE = 1.06  # a server elsewhere must be this much quicker to be worth the crossing
BLUR_LEAST = 0.05  # the choice is by chance at least so much, so that gateways do not move in step
INFORMED = 2.0  # own sends to a server in QUEUE_TAU that tell of it: it keeps to as many as get these, ...
NEAR_LEAST = 3.0  # ... and to no fewer: with two, one that jams leaves no choice
TURN_CHANCE = 0.01  # of a choice, that the first in the order gives way to one not met lately
CONNECTED_MS = 10_000.0  # a server that answered within this is taken to hold a connection still
FAIL_GAIN = 0.4  # weight of one answer, or of none, in a server's failures: two in a row tell
FAIL_TAU_MS = 5000.0  # how fast failures are forgotten, so that a server is tried again
AVOIDED = 0.3  # share of failures from which a server counts as avoided in what is told of the fleet
FAIL_COST = 6.0  # a server that always fails costs this many times more than a sound one
SILENT_TIMES = 4.0  # no answer for this many expected latencies is silence
SILENT_OF_POOL = 0.75  # of the latency over all servers is expected at least: few answers tell of each
SILENT_OF_AIM = 0.35  # and no less than this part of the aim, so that one long request is not silence
COLD_SAFETY = 0.3  # part of a cold server's budget that is used: its size and the others' use are guesses
WARM_LEAST = 0.3  # of the servers count as warm at least: few warm ones are sent more than they bear
COLD_LEAST = 1.0  # sends of all gateways per fall window to a cold server while no usual load is known
# Requests
POOL_GAIN = 0.2  # weight of one answer in the latency of all servers together
LIMIT_START = 6.0  # attempts out at a server, of all gateways together, before answers tell what it bears
LIMIT_SPARE = 1.0  # and at a gateway above its share: arrivals are uneven; hundreds of them fill a fleet
LIMIT_BACK = 0.03  # given back for each quick answer, up to the spare: a stall must not be felt for minutes
LIMIT_DOWN = 0.5  # taken off for each answer while the latency is over the target
CALM_OF_AIM = 0.42  # latency over all servers, in parts of each class's aim, up to which they count as quick
BLUR_CALM = 0.65  # of it is taken off where servers are chosen by chance alone
HALF_OPEN = 5.0  # aims without a send, after which one goes though answers were slow: to see a recovery
TRIAL = 1.0  # aims without a send to a server after which its queue is believed only on trial
FIT_OF_AIM = 0.75  # a send must be expected to end within this part of the aim that is left
WAIT_OF_AIM = 0.1  # retry-after where no place is free, at the servers or of the plan: about one answer
RETRY_SHARE = 0.1  # further attempts per first send: bounds the extra load when much fails at once, ...
RETRY_CALM = 0.4  # ... while answers are slow; while they are quick there is room for more
RETRY_SAVED = 40.0  # further attempts all gateways may save up for the loss of a server, besides one each
MASK = (1 << 63) - 1  # counter names are below 2^63


def name_of(customer: int, period: int, epoch: int = 0) -> int:
    """The counter name of a customer's period: the same at every gateway, spread by a fixed mix."""
    x = customer * 0x9E3779B97F4A7C15 + period * 0xD1B54A32D192ED03 + epoch * 0xA24BAED4963EE407
    x = (x + 0x8CB92BA72F3D8DD7) & (2**64 - 1)
    x = ((x ^ (x >> 30)) * 0xBF58476D1CE4E5B9) & (2**64 - 1)
    x = ((x ^ (x >> 27)) * 0x94D049BB133111EB) & (2**64 - 1)
    return (x ^ (x >> 31)) & MASK


class GcraBucket:
    """One GCRA: a theoretical arrival time against a rate and a burst, both per millisecond and in units."""

    __slots__ = ("half", "per_unit", "tat", "tolerance")

    def __init__(self, rate: float, burst: float, tat: float) -> None:
        self.half: GcraBucket | None = None  # the part that may be used while not all gateways are heard
        self.tat = tat
        self.set(rate, burst)

    def set(self, rate: float, burst: float) -> None:
        """Go by these figures."""
        self.per_unit = SECOND_MS / rate if rate > 0 else math.inf
        self.tolerance = burst * self.per_unit if rate > 0 else 0.0

    def wait(self, now: float, units: float) -> float:
        """How long until a request conforms; 0 or less where it does now.

        The tolerance is less by the request's own units, so that the burst holds them: a plain TAT test lets
        one request more through after each idle spell, which the plan counts as beyond the quota.
        """
        wait = self.tat - now + min(units * self.per_unit - self.tolerance, 0.0)
        return max(wait, self.half.wait(now, units)) if self.half else wait

    def room(self, now: float) -> float:
        """Units left of the burst."""
        room = (now + self.tolerance - max(self.tat, now)) / self.per_unit
        return min(room, self.half.room(now)) if self.half else room

    def take(self, units: float, since: float) -> None:
        """Push the TAT forward by units used since that time."""
        if self.per_unit < math.inf:  # else 0 units come to no number, and that passes all tests
            self.tat = max(self.tat, since) + units * self.per_unit
        if self.half:
            self.half.take(units, since)


class CustomerQuota:
    """What this gateway knows of one customer's use."""

    def __init__(self, plan: api.Plan, request: api.Request, settings: api.Settings, now: float,
                 started: float) -> None:
        self.plan, self.customer, self.first = plan, request.customer, request.first_gateway
        self.spread = spread = max(1, min(request.gateway_set_size, settings.gateway_count))
        self.quota = GcraBucket(plan.rate, plan.burst, now)
        self.quota.tat = now + self.quota.tolerance * (1 - 1 / spread)
        self.own = GcraBucket(plan.rate, plan.burst, now)  # its rate is set to the own part before each use
        # The ceiling's part above the quota, less a reserve, is split evenly for sends the counter has not
        # confirmed.  It fills from the instance's start, since a restart refills nothing.  Where an even part
        # is less than one request, the first so many of the customer's gateways hold one each: else all
        # would pass, or nobody.
        self.head: GcraBucket | None = None
        if plan.ceiling_rate > 0:
            self.head = GcraBucket(*self.headroom(settings), started)
            self.head.tat = started + self.head.tolerance
        self.period_ms = self.length()
        self.phase = name_of(self.customer, -1) / MASK  # customers' periods end at different times
        self.period = -1
        self.base = self.last_base = 0.0  # total last seen under this period's name, and the one's before
        self.epoch = self.last_epoch = 0  # of the two names: it moves where the counter has forgotten
        self.sum = 0.0  # units that this gateway has told under this period's name
        self.version = 0  # of the sight that the meters go by
        self.unclosed = False  # the old period's end has not been read
        self.mine = self.others = 0.0  # EWMA of units a second, this gateway's and the others'
        self.owed = 0.0  # units sent and in no call yet; below 0: reported but not sent
        self.guessed = 0.0  # units of unheard sends elsewhere that the tries in the call stand for
        self.settled = 0.0  # units by which answers corrected guesses, not yet told
        self.maybe = 0.0  # units in calls that timed out
        self.asked: dict[int, float] = {}  # names with a call out and the units in it
        self.pending: dict[str, float] = {}  # requests, and their units, in the call that is out
        self.waiting: dict[str, float] = {}  # and for the next call
        self.seen = now  # when the counter last told of the others
        self.told = False  # of this period, or of the one before and this gateway's own use since
        self.stranger = False  # was not, before the last answer
        self.conform = PRIOR  # share of its tries that conformed when the counter was asked
        self.used = now
        self.open = 0
        self.flushing = False  # a Wake is set to report what is owed

    def headroom(self, settings: api.Settings) -> tuple[float, float]:
        """Rate and depth of this gateway's part of the ceiling's headroom."""
        plan = self.plan
        depth = HEAD_PART * max(plan.ceiling_burst + plan.ceiling_slack - plan.burst, 0.0)
        holders = min(self.spread, int(depth / max(settings.max_request_units, 1.0)))
        part = ((settings.gateway_index - self.first) % settings.gateway_count < holders) / max(holders, 1)
        return HEAD_PART * max(plan.ceiling_rate - plan.rate, 0.0) * part, depth * part

    def length(self) -> float:
        """Of a period."""
        length = self.plan.burst / self.plan.rate * SECOND_MS if self.plan.rate > 0 else PERIOD_MOST_MS
        return min(max(length, PERIOD_LEAST_MS), PERIOD_MOST_MS)

    def part(self) -> float:
        """The own part of the quota while nothing is heard: each gateway is taken to go on as last seen, and
        what was unused is split evenly."""
        unused = max(self.plan.rate - self.mine - self.others, 0.0) / self.spread
        return min(max((self.mine + unused) / self.plan.rate, LEAST_PART / self.spread), 1.0)

    def in_use(self, now: float) -> bool:
        """Whether it is kept.  With a report to come it is: else that would take a new entry's call."""
        idle = now - max(self.quota.tat, self.used)
        busy = self.asked or self.open or self.waiting or self.pending or self.flushing
        return bool(busy) or idle <= STALE_TOLERANCES * max(self.quota.tolerance, self.period_ms)


class QuotaManager:
    """Keeps every customer's ledger and the calls to the counter."""

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        self._settings, self._rng = settings, rng
        self.sight: Visibility | None = None  # None: the counter is taken to be healthy
        self._plans = {plan.name: plan for plan in settings.plans}
        self._ledgers: dict[int, CustomerQuota] = {}
        self._calls: dict[int, CustomerQuota] = {}
        self._chance = 1.0 if settings.has_counter else 0.0  # of a call, where its answer has the usual worth
        self._quickest = CALL_FLOOR * settings.counter_timeout_ms  # answer of the counter
        self._worth = 0.0  # EWMA of what an answer is worth
        self._conform = {plan.name: PRIOR for plan in settings.plans}  # EWMA of the asked
        self._swept = -math.inf
        self._started = math.nan

    def ledger(self, now: float, request: api.Request) -> CustomerQuota:
        """The customer's ledger, new where it is not known; stale ones are dropped on the way."""
        if math.isnan(self._started):
            self._started = now
        if now - self._swept >= SWEEP_MS:
            self._swept = now
            self._ledgers = {key: led for key, led in self._ledgers.items() if led.in_use(now)}
        found = self._ledgers.get(request.customer)
        if found is None:
            plan = self._plans.get(request.plan)
            if plan is None:
                raise ValueError(f"plan {request.plan!r} is not among the settings")
            found = CustomerQuota(plan, request, self._settings, now, self._started)
            found.conform = self._conform[plan.name]
            self._ledgers[request.customer] = found
        found.used = now
        plan = self._plans.get(found.plan.name, found.plan)
        if plan is not found.plan and not found.asked:
            from badgeryoke.decisions.plan_schedule.plan_change import replan  # loaded where plans change
            found.first = request.first_gateway
            found.spread = max(1, min(request.gateway_set_size, self._settings.gateway_count))
            replan(now, found, plan, self._settings)
        if self.sight and found.version != self.sight.version:
            self.sight.apply(now, found)
        return found

    @staticmethod
    def _pays(led: CustomerQuota) -> bool:
        """Whether a send without the counter's word earns about what it costs, as such tries go."""
        beyond = led.plan.over_quota_value - led.plan.over_quota_cost
        return led.conform + (1 - led.conform) * beyond > PAYS_LEAST

    def unheard_wait(self, now: float, led: CustomerQuota, units: float) -> float:
        """The wait without the counter's word.  While it answers, a part of 1/sqrt of the set holds by chance
        in place of the own part: few that are within their quota come by one gateway more often."""
        if led.quota.half and self.sight and self.sight.alone(led):
            return led.quota.wait(now, units)  # the part of a gateway alone
        wait = led.quota.wait(now, units) if led.told or led.version else 0.0
        part = led.part()
        if self._rng.random() < self._chance - CALL_LEAST:
            part = max(part, led.spread ** -0.5)
        led.own.per_unit = (led.quota.half or led.quota).per_unit / part
        wait = max(wait, led.own.wait(now, units))
        return wait if self._pays(led) else max(wait, led.quota.per_unit)

    def call_weight(self, now: float, led: CustomerQuota, units: float) -> float:
        """0 for no call: by chance, so that all gateways together stay below what the counter takes, with
        odds by what the answer is worth: a right send where it would else be refused, or a wrong one spared.
        Covers a counter that is crowded, slow or down; harms where calls are slow for another reason."""
        blind = self._pays(led) and (led.head is None or led.head.room(now) >= units)
        good = min(max(led.conform, 1 - SURE), SURE)
        cost = max(led.plan.over_quota_cost, COST_LEAST)
        worth = units * led.plan.price * ((1 - good) * cost if blind else good)
        self._worth += PRIOR_GAIN * (worth - self._worth)
        odds = max(self._chance * worth / self._worth, CALL_LEAST) if self._worth else self._chance
        hushed = self.sight is not None and self.sight.hushed(now, led)
        if not self._settings.has_counter or self._rng.random() >= odds or hushed:
            return 0.0
        # A sampled request stands for those sent without a call: without their weight totals are too low.
        return min(1 / min(odds, 1.0), WEIGHT_MOST) if blind else 1.0

    def spare(self, now: float, led: CustomerQuota, units: float) -> bool:
        """Whether the last reading leaves so much room that a call is better spent elsewhere, the more so the
        more the counter is crowded: the units are then gathered and told afterwards."""
        unseen = led.others * (now - led.seen) / SECOND_MS
        room = led.quota.room(now) - unseen - units
        fresh = led.told and now - led.seen < FRESH_PERIODS * led.period_ms
        return (fresh and room > min(self._chance, 1.0) * led.plan.burst
                and (led.head is None or led.head.room(now) >= units))

    def judged(self, led: CustomerQuota, good: bool) -> None:
        """Learn from a try that the counter told of whether such tries conform."""
        old = self._conform.get(led.plan.name, PRIOR)  # a plan that is gone from the settings is not kept
        self._conform[led.plan.name] = old + PRIOR_GAIN * (good - old)
        led.conform += CONFORM_GAIN * (good - led.conform)

    def ask(self, now: float, led: CustomerQuota, guessed: float = 0.0) -> list[api.Action]:
        """Report what is owed and what the waiting requests would use, and read the total back."""
        if led.asked or (not led.waiting and not led.owed):
            return []
        period = math.floor(now / led.period_ms + led.phase)
        epoch = self.sight.epoch if self.sight else 0
        if period != led.period:
            follows = period == led.period + 1
            # Own units that may have been added went to the old name, not to the new one.
            led.last_base, led.last_epoch = led.base + led.maybe if follows else 0.0, led.epoch
            led.told = led.told and follows
            led.base, led.maybe, led.period, led.unclosed = 0.0, 0.0, period, True
            led.owed, led.sum, led.epoch = max(led.owed, 0.0), 0.0, epoch
        elif epoch and epoch != led.epoch:  # a fresh name is told once of all the own units in this period
            led.owed, led.base, led.sum, led.maybe = led.owed + led.sum, led.base - led.sum, 0.0, 0.0
            led.epoch, led.unclosed = epoch, False
        led.pending, led.waiting = led.waiting, {}
        add = led.owed + led.settled + guessed + sum(led.pending.values())
        led.owed, led.settled, led.guessed = 0.0, 0.0, guessed
        return [self._call(led, name_of(led.customer, period, led.epoch), add)]

    def settle(self, now: float, led: CustomerQuota, units: float) -> None:
        """Correct a guessed charge, in the TAT now and at the counter with the next call.  A ceiling goes by
        the guess: what is given back lets more through under it, and so comes out of the headroom, into
        which goes what is taken besides.  A gateway that holds no part of it gives nothing back."""
        if led.head:
            units = max(units, -max(led.head.room(now), 0.0))
            if units and led.head.tolerance:
                led.head.take(-units, now)
        led.quota.take(units, -math.inf)
        led.settled += units

    def _call(self, led: CustomerQuota, name: int, units: float) -> api.Action:
        led.asked[name] = units
        self._calls[name] = led
        return api.AddToCounter(name, units, NAME_LIVES * led.period_ms)

    def total(self, now: float, event: api.CounterReply) -> tuple[CustomerQuota, bool, api.Actions] | None:
        """Take in an answer; gives the ledger, whether its requests may count on it, and further calls."""
        led = self._calls.pop(event.name, None)
        if led is None:
            return None
        units, quota = led.asked.pop(event.name), led.quota
        current = event.name == name_of(led.customer, led.period, led.epoch)
        good = event.verdict is api.Verdict.OK
        self._quickest = min(self._quickest, event.rtt_ms) if good else self._quickest
        late = (event.rtt_ms - self._quickest) / max(self._settings.counter_timeout_ms, 1.0) if good else 1.0
        step = CALL_GAIN * (1 - late / CALL_BUSY)
        self._chance = min(max(self._chance * math.exp(step), CALL_LEAST), CALL_MOST)
        if not good:
            if not current:  # the closing read: what was told of this period stands
                return led, True, []
            if event.verdict is api.Verdict.TIMEOUT:
                led.maybe += units
            else:
                led.owed += units
            return led, False, []
        if not current:
            led.unclosed = False
            rest = max(event.total - led.last_base, 0.0)
            if led.stranger:
                rest = max(rest - led.plan.burst / 2, 0.0)
            quota.take(rest, -math.inf)
            return led, True, []
        others = max(event.total - led.base - units - led.maybe, 0.0) + led.guessed
        others = self.sight.heard(led, others) if self.sight else others
        led.sum += units
        led.maybe = 0.0
        led.stranger = not led.told
        if led.told or led.version or led.plan.rate <= 0:
            quota.take(others, led.seen)
        else:
            own = max(led.own.tat - now, 0.0) / led.own.per_unit  # sent unheard, and in no total
            quota.tat = (led.period - led.phase) * led.period_ms + (others + own) * quota.per_unit
        led.told = True
        if now > led.seen:
            weight = 1 - math.exp((led.seen - now) / (SHARE_PERIODS * led.period_ms))
            led.others += weight * (others / (now - led.seen) * SECOND_MS - led.others)
            led.mine += weight * (units / (now - led.seen) * SECOND_MS - led.mine)
        led.base, led.seen = max(event.total, led.base + units if led.epoch else -math.inf), now
        most = 1.0 if led.plan.ceiling_rate > 0 or self._chance >= 1 else CLOSE_BELOW
        short = led.unclosed and quota.room(now) < most * led.plan.burst
        if short and self.call_weight(now, led, 1.0):
            return led, True, [self._call(led, name_of(led.customer, led.period - 1, led.last_epoch), 0.0)]
        return led, True, []


class ServerState:
    """What this gateway knows of one server."""

    def __init__(self, info: api.Server, rank: float, turn: float) -> None:
        self.info = info
        self.rank = rank  # place in the order in which servers come into the aperture
        self.out: dict[tuple[str, int], float] = {}  # attempts out, and since when
        self.base = 0.0  # latency with no queue: follows low answers fast and high ones slowly; 0: unknown
        self.latency, self.timed = 0.0, -math.inf  # EWMA, and when it was last measured
        self.guessed = False  # it was not measured, but taken from how long nothing came
        self.sent = -math.inf  # when last
        self.newest = -math.inf  # when the newest of those was sent that were answered
        self.failing, self.failed = 0.0, -math.inf  # EWMA of failures, and when it last moved
        self.answered, self.answers = -math.inf, 0  # when last, and how many good ones
        self.turn, self.turn_at = turn, -1.0  # at 1 one send may go while it is cold; when last looked at

    def failures(self, now: float) -> float:
        """Share of attempts that fail, as far as it is not forgotten."""
        return self.failing * math.exp((self.failed - now) / FAIL_TAU_MS)

    def judge(self, now: float, bad: bool) -> None:
        """Learn from one answer, or from none."""
        self.failing = (1 - FAIL_GAIN) * self.failures(now) + FAIL_GAIN * bad
        self.failed = now


class LoadBalancer:
    """Membership, load and health of the servers, and the choice among them."""

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        self._settings, self._rng = settings, rng
        self._peers: dict[int, ServerState] = {}
        self._up: list[ServerState] = []
        self._aim = min((c.latency_objective_ms for c in settings.classes), default=SECOND_MS)
        self._mean = GUESS_OF_AIM * self._aim
        self._sent, self._sent_at = 0.0, 0.0
        self._began = math.inf  # time of the first send
        self._latency = GUESS_OF_AIM  # EWMA over the answers of all servers, in parts of the class's aim
        self._out = 0  # attempts out at all servers, and ...
        self._unmet = 0.0  # EWMA share of attempts that got no connection
        self._more = LIMIT_SPARE  # ... how many more than its part this gateway may have

    def members(self, event: api.EndpointList) -> None:
        """Take in a list: whole ones replace, changes apply to what is held."""
        listed = {server.id: server for server in event.servers}
        if event.scope in (api.ListScope.FULL, api.ListScope.CACHED):
            for key in self._peers:
                if key not in listed:
                    self._peers[key].info = replace(self._peers[key].info, state=api.EndpointState.GONE)
        for key, server in listed.items():
            peer = self._peers.get(key)
            if peer is None:
                self._peers[key] = ServerState(server, self._rng.random(), self._rng.random())
                continue
            if server.started_ms > peer.info.started_ms:
                fresh = self._peers[key] = ServerState(server, peer.rank, self._rng.random())
                fresh.out, fresh.base = peer.out, peer.base
            self._peers[key].info = server
        gone = api.EndpointState.GONE
        self._peers = {k: p for k, p in self._peers.items() if p.info.state is not gone or p.out}
        self._up = [p for p in self._peers.values() if p.info.state is api.EndpointState.UP]
        self._up.sort(key=lambda p: p.rank)

    def avoided(self, now: float) -> int:
        """How many are listed and draining, or have failed lately."""
        listed = [p for p in self._peers.values() if p.info.state is not api.EndpointState.GONE]
        return sum(p.info.state is api.EndpointState.DRAINING or p.failures(now) > AVOIDED for p in listed)

    def _step_back(self, now: float, peer: ServerState) -> None:
        """To any place behind the aperture: memory of a bad server by what was tried since, not by time.  Not
        to the end, where all gateways would leave it until all others had failed them too."""
        if self._up:
            edge = self._up[min(int(self._width(now)), len(self._up) - 1)].rank
            peer.rank = edge + (self._up[-1].rank + 1 / len(self._up) - edge) * self._rng.random()
            self._up.sort(key=lambda p: p.rank)

    def _part(self) -> float:
        """This gateway's part of what the servers bear of all gateways' attempts."""
        return LIMIT_START * len(self._up) / self._settings.gateway_count

    def _pace(self, now: float) -> float:
        """Own sends per millisecond, without the lag of a fresh start: a restarted gateway of few would else
        act for its first seconds as one of hundreds."""
        return self.send_rate(now) / (1 - math.exp(-max(now - self._began, SECOND_MS) / RATE_TAU_MS))

    def _width(self, now: float) -> float:
        """How many servers this gateway keeps to: all are known to few, rather than few to all."""
        return max(self._pace(now) * QUEUE_TAU * self._aim / INFORMED, NEAR_LEAST)

    def _told(self, now: float) -> float:
        """Own sends in QUEUE_TAU to each server that this gateway keeps to, in parts of what informs."""
        sent = self._pace(now) * QUEUE_TAU * self._aim
        return sent / max(1, min(self._width(now), len(self._up))) / INFORMED

    def _blur(self, now: float) -> float:
        """Part of the choice that is by chance: 1 where nothing is known of the servers' queues."""
        return max(1 - self._told(now), BLUR_LEAST)

    def calm(self, now: float) -> bool:
        """Whether what answers at all does so quickly: what is lost then is lost for another reason.

        Where the choice is by chance, queues differ much, and the same mean hides servers that are jammed: it
        must then be lower.  Covers slow, jammed and uneven servers; harms where all are slow but not full.
        """
        return self._latency <= CALM_OF_AIM * (1 - BLUR_CALM * self._blur(now))

    def idle(self, now: float) -> bool:
        """Whether nothing was sent for so long that nothing new can be learnt: the breaker is half open."""
        return now - self._sent_at > HALF_OPEN * self._aim

    def crowded(self) -> bool:
        """Whether all is out that may be, over all servers: one at each is hundreds over all gateways."""
        return self._rng.random() >= self._part() + self._more - self._out

    def _expect(self, now: float, peer: ServerState) -> tuple[float, float]:
        """Latency without a queue, and the queue's delay; news of a queue fades, lest a server be shunned for
        a queue that is long gone."""
        if not peer.base:
            return self._mean / max(peer.info.size, 0.1) / self._warm_part(now, peer), 0.0
        queue = max(peer.latency - peer.base, 0.0)
        queue *= math.exp((peer.timed - now) / max(QUEUE_TAU * self._aim, QUEUE_TIMES * queue))
        # What is out there tells before it is answered, but not what a later one overtook: long or lost.
        oldest = min((sent for sent in peer.out.values() if sent >= peer.newest), default=now)
        return peer.base, max(queue, now - oldest - peer.base)

    def patience(self, now: float, peer_id: int, aim: float) -> float:
        """How long without an answer is silence: the longer, the fewer others can vouch for the server."""
        times = SILENT_TIMES * (1 + INFORMED / max(self._told(now), 1.0))
        usual = max(sum(self._expect(now, self._peers[peer_id])), SILENT_OF_POOL * self._latency * aim)
        return max(times * usual, SILENT_OF_AIM * aim)

    def _warm_part(self, now: float, peer: ServerState) -> float:
        """The least part of its capacity that a server has by now."""
        s = self._settings
        age = max(now - peer.info.started_ms, 0.0)  # by another clock, its start may lie ahead
        if peer.info.started_ms <= 0 or age >= s.slow_start_ms:
            return 1.0
        return max(s.slow_start_fraction + (1 - s.slow_start_fraction) * age / s.slow_start_ms, 0.01)

    def _may_warm(self, now: float, peer: ServerState, usual: float) -> bool:
        """Whether a server is warm, or has its turn, from what a warm one is usually sent.

        Turns begin anywhere, by the seed, and end after a fall window: so few hold one at any moment.
        """
        s, part = self._settings, self._warm_part(now, peer)
        if part >= 1.0:
            return True
        window = max(s.overload_window_ms, SECOND_MS)
        rate = max(COLD_SAFETY * s.overload_multiple * part * usual, COLD_LEAST / window / s.gateway_count)
        turn = peer.turn + rate * (now - peer.turn_at if peer.turn_at >= 0 else 0.0)
        peer.turn, peer.turn_at = turn if turn <= 1 + min(rate * window, 1.0) else turn % 1, now
        return peer.turn >= 1

    def send_rate(self, now: float) -> float:
        """Own sends per millisecond."""
        return self._sent * math.exp(-(now - self._sent_at) / RATE_TAU_MS) / RATE_TAU_MS

    def pick(self, now: float, allowed: api.ServerFilter,
             tried: list[int]) -> tuple[api.Server, float] | None:
        """The server with the least expected delay, and that delay; None where none may be used."""
        best: tuple[float, ServerState, float] | None = None
        home, draw = self._settings.zone, self._rng.random
        # Aperture: of hundreds of gateways that each meet all servers none knows any, and all go on filling
        # what is slow, jammed or lost.  So each keeps to few, in an order of its own; one that fails it goes
        # to the back.  Covers servers slow, jammed, silent or lost and full tables; harms where the few that
        # look sound to many are too few, which chance and turns even out.  One that sends much meets all.
        # What it has few answers of, it chooses by chance, with odds as 1/cost where it knows nothing.
        width, blur = self._width(now), self._blur(now)
        parts = [self._warm_part(now, p) for p in self._up]
        # Cold ones without a turn are passed over: with few warm ones all gateways meet the whole list.
        met = min(width / max(parts.count(1.0), 1), 1.0)
        usual = self.send_rate(now) / max(1.0, min(width, sum(parts)), met * WARM_LEAST * len(parts))
        for peer in self._up:
            if (allowed and not allowed(peer.info)) or not self._may_warm(now, peer, usual):
                continue
            if width <= 0:
                break
            width -= 1
            base, queue = self._expect(now, peer)
            if peer.guessed and now - peer.sent >= TRIAL * self._aim * (1 + FAIL_COST * peer.failures(now)):
                queue = 0.0  # a guess is believed for so long, then one goes to see: the later, the more fail
            part = 1.0 if peer.base else self._warm_part(now, peer)  # by which it has its turns already
            cost = (base * part * (1 + len(peer.out)) + queue) * (1 + FAIL_COST * peer.failures(now))
            cost *= (-math.log(1 - draw())) ** blur
            cost *= OTHER_ZONE if peer.info.zone != home else 1.0
            cost *= FAIL_COST if peer.info.id in tried else 1.0
            # Where tables of connections are full, all gateways keep to servers that they are connected to.
            cost *= 1.0 if now - peer.answered < CONNECTED_MS else 1 + self._unmet * len(self._up)
            if best is None or cost < best[0]:
                best = cost, peer, base + queue
        if width <= 0 and draw() < TURN_CHANCE:
            self._step_back(now, self._up[0])
        return None if best is None else (best[1].info, best[2])

    def trial(self, now: float, server: int) -> bool:
        """Whether a queue held to be too long is tried: where all are so held, nothing else would tell."""
        return now - self._peers[server].sent >= TRIAL * self._aim

    def sent(self, now: float, server: int, key: tuple[str, int]) -> None:
        """Book a send."""
        peer = self._peers[server]
        peer.out[key] = peer.sent = now
        self._out += 1
        self._sent = self._sent * math.exp(-(now - self._sent_at) / RATE_TAU_MS) + 1
        self._sent_at, self._began = now, min(self._began, now)
        peer.turn = max(peer.turn - 1, 0.0)

    def outcome(self, now: float, event: api.AttemptOutcome, aim: float) -> None:
        """Learn from how an attempt ended."""
        peer = self._peers.get(event.server)
        if peer is None:
            return
        self._out -= (event.id, event.attempt) in peer.out  # else its answer had begun before
        sent = peer.out.pop((event.id, event.attempt), now)
        bad = event.verdict not in (api.Verdict.OK, api.Verdict.NOT_SENT, api.Verdict.CANCELLED)
        self._unmet += POOL_GAIN * ((event.verdict is api.Verdict.CONNECT_FAILED) - self._unmet)
        if event.verdict in (api.Verdict.OK, api.Verdict.ERROR, api.Verdict.QUEUE_FULL):
            peer.answered = now
            peer.newest = max(peer.newest, sent)
        if event.verdict is api.Verdict.OK:
            rtt = event.rtt_ms
            if not peer.base:
                peer.base = peer.latency = self._mean / max(peer.info.size, 0.1)
            gain = BASE_GAIN_DOWN if rtt < peer.base else BASE_GAIN_UP
            peer.base += max(gain, 1 / (peer.answers + BASE_PRIOR)) * (rtt - peer.base)
            peer.answers += 1
            # A guess gives way to the first measure: mixed in, it would keep out who is seldom asked.
            peer.latency += (1.0 if peer.guessed else EWMA_GAIN) * (rtt - peer.latency)
            peer.guessed = False
            peer.timed = now
            self._latency += POOL_GAIN * (min(rtt / aim, 1.0) - self._latency)
            limit = self._part() + self._more
            if not self.calm(now):
                self._more = max(self._more - LIMIT_DOWN, -self._part() / 2)
            elif self._out + 1 >= limit:  # only a limit that was reached is known to be borne
                self._more += 1 / max(limit, 1.0)
            elif self._more < LIMIT_SPARE:  # one that slow answers took off comes back with quick ones
                self._more += LIMIT_BACK
            self._mean += (BASE_GAIN_DOWN if rtt < self._mean else BASE_GAIN_UP) / 2 * (rtt - self._mean)
        elif event.verdict is api.Verdict.QUEUE_FULL:
            # Its answer comes at once: without this a full server would look idle and draw all traffic.
            self._jammed(now, peer, self._aim)
        elif event.verdict is api.Verdict.TIMEOUT:
            if not self.calm(now):
                self._latency += POOL_GAIN * (min(event.rtt_ms / aim, 1.0) - self._latency)
                self._more = max((self._more - self._part()) / 2, -self._part() / 2)
            if sent >= peer.newest:  # else it was lost on its way, in no queue
                self._jammed(now, peer, event.rtt_ms)
        if event.verdict not in (api.Verdict.NOT_SENT, api.Verdict.CANCELLED):
            peer.judge(now, bad)
            if bad:
                self._step_back(now, peer)

    def silent(self, now: float, server: int, key: tuple[str, int], patience: float) -> bool:
        """Whether nothing has come from a server for so long that an attempt there is given up."""
        peer = self._peers.get(server)
        if peer is None or key not in peer.out or now - peer.answered < patience:
            return False
        self._jammed(now, peer, now - peer.out[key])  # else only the quick answers would be counted
        peer.judge(now, True)
        self._step_back(now, peer)
        return self.calm(now)

    def _jammed(self, now: float, peer: ServerState, waited: float) -> None:
        """No answer in time: the queue is this long at least, and work given up may still be in it."""
        if waited >= peer.latency:
            peer.latency, peer.guessed = waited, True
        peer.timed = now


class PendingRequest:
    """One request from its arrival to its final answer."""

    def __init__(self, request: api.Request, cls: api.RequestClass, ledger: CustomerQuota, now: float,
                 most: int) -> None:
        self.request, self.cls, self.ledger, self.most = request, cls, ledger, most  # attempts at most
        self.arrived, self.deadline = now, now + request.remaining_ms
        self.attempts: list[int] = []  # the server of each
        self.server: api.Server | None = None  # where an attempt is out
        self.first_risk: tuple[api.Server, float] | None = None  # first attempt that may have run, and when


class DecisionEngine:
    """Ties quota, servers and requests: one event in, its actions out."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self._settings = settings
        self._classes = {cls.name: cls for cls in settings.classes}
        rng = self._rng = random.Random(seed)
        self._quota = QuotaManager(settings, rng)
        self._fleet = LoadBalancer(settings, rng)
        self._jobs: dict[str, PendingRequest] = {}
        self._wakes: dict[int, CustomerQuota | tuple[str, int, float]] = {}
        self._token = 0
        self._retries = self._saved = 1 + RETRY_SAVED / settings.gateway_count

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Decide on one event."""
        match event:
            case api.Request():
                return self._request(now, event)
            case api.AttemptOutcome():
                return self._outcome(now, event)
            case api.CounterReply():
                return self._total(now, event)
            case api.TimerFired():
                return self._due(now, event.token)
            case api.ClientDisconnected():
                self._drop(event.id)
            case api.ResponseStarted(id=rid) if (job := self._jobs.get(rid)) and job.server:
                # The answer has begun: its rest tells nothing of a queue, nor takes of what servers bear.
                self._fleet._out -= 1
                self._fleet._peers[job.server.id].out.pop((rid, len(job.attempts) - 1))
            case api.EndpointList():
                self._fleet.members(event)
                stale = event.scope in (api.ListScope.CACHED, api.ListScope.LOST)
                if stale and self._settings.must_subscribe:
                    return [api.Subscribe()]
        return []

    def retune(self, settings: api.Settings) -> None:
        """Go by new settings; what is open keeps the class and the attempts it began with."""
        self._settings = self._quota._settings = self._fleet._settings = settings
        self._classes = {cls.name: cls for cls in settings.classes}
        self._quota._plans = {plan.name: plan for plan in settings.plans}
        self._quota._conform = {name: self._quota._conform.get(name, PRIOR) for name in self._quota._plans}
        self._fleet._aim = min((c.latency_objective_ms for c in settings.classes), default=SECOND_MS)
        self._saved = 1 + RETRY_SAVED / settings.gateway_count

    def avoided(self, now: float) -> int:
        """How many of the listed servers are sent nothing, or only what looks whether they are back."""
        return self._fleet.avoided(now)

    def _drop(self, rid: str) -> None:
        """Forget a request that has its final answer, or whose client left, and free its place."""
        job = self._jobs.pop(rid, None)
        if job is not None:
            self._book(job, None)

    @staticmethod
    def _book(job: PendingRequest, server: api.Server | None) -> None:
        """Book where an attempt is out, if one is: the one place where the open cap's count moves."""
        job.ledger.open += (server is not None) - (job.server is not None)
        job.server = server

    def _wake(self, at: float, purpose: CustomerQuota | tuple[str, int, float]) -> api.Action:
        self._token += 1
        self._wakes[self._token] = purpose
        return api.SetTimer(at, self._token)

    def _request(self, now: float, event: api.Request) -> list[api.Action]:
        cls = self._classes.get(event.request_class)
        if cls is None:
            raise ValueError(f"class {event.request_class!r} is not among the settings")
        led = self._quota.ledger(now, event)
        job = self._jobs[event.id] = PendingRequest(event, cls, led, now, self._settings.max_attempts)
        if led.plan.rate <= 0:
            return self._send(now, job)
        wait = led.quota.wait(now, event.units) if led.told or led.version else 0.0
        if led.plan.concurrency_limit and led.open >= max(led.plan.concurrency_limit * led.part(), 1.0):
            wait = max(wait, WAIT_OF_AIM * cls.latency_objective_ms)
        if wait > 0:
            return self._refuse(now, job, wait)
        if self._quota.spare(now, led, event.units):
            return self._unconfirmed(now, job, True)
        patient = event.remaining_ms > HOLD_TIMES * self._settings.counter_timeout_ms
        weight = 1.0 if led.asked else self._quota.call_weight(now, led, event.units)
        if patient and weight:
            led.waiting[event.id] = event.units
            return self._quota.ask(now, led, event.units * (weight - 1))
        return self._unconfirmed(now, job)

    def _unconfirmed(self, now: float, job: PendingRequest, spare: bool = False) -> list[api.Action]:
        """Decide without the counter: the own part of the quota, and of the ceiling's headroom."""
        led, units = job.ledger, job.request.units
        wait = 0.0 if spare else self._quota.unheard_wait(now, led, units)
        if not spare and not self._fleet.calm(now) and not self._fleet.idle(now):
            # Under overload, requests that the counter has not confirmed are rejected first: one in four is
            # beyond its quota.  Mild harm where the counter is down and servers are slow for another reason.
            wait = max(wait, led.quota.per_unit)
        if wait > 0:
            return self._refuse(now, job, wait)
        head = None if led.quota.half else led.head  # a part of the quota needs none of the headroom
        if head and head.room(now) < units:
            return self._refuse(now, job, led.quota.per_unit)
        actions = self._send(now, job)
        if job.attempts:
            led.own.take(units, now)
            led.quota.take(units, now)
            led.owed += units if spare else 0.0
            if led.head:
                led.head.take(units, now)
            if spare and not led.flushing:
                led.flushing = True
                actions.append(self._wake(now + FLUSH_SHARE * led.period_ms, led))
        return actions

    def _total(self, now: float, event: api.CounterReply) -> list[api.Action]:
        answer = self._quota.total(now, event)
        if answer is None:
            return []
        led, good, actions = answer
        if led.asked or actions:
            return actions
        pending, led.pending = led.pending, {}
        for rid, units in pending.items():
            job = self._jobs.get(rid)
            if job is None or not good:
                led.owed -= units  # it is in the call already, if in any
                if job is not None:
                    actions += self._unconfirmed(now, job)
                continue
            wait = led.quota.wait(now, units)
            self._quota.judged(led, wait <= 0)
            actions += self._refuse(now, job, wait) if wait > 0 else self._send(now, job)
            if wait <= 0 and job.attempts:
                led.quota.take(units, now)
            else:
                led.owed -= units
        if led.waiting or (led.owed < 0 and good and self._quota.call_weight(now, led, -led.owed)):
            actions += self._quota.ask(now, led)
        return actions

    def _refuse(self, now: float, job: PendingRequest, wait: float) -> list[api.Action]:
        self._drop(job.request.id)
        return [api.Reject(job.request.id, max(wait, 1.0))]

    def _allowed(self, now: float, job: PendingRequest,
                 out: float | None = None) -> api.ServerFilter | Literal[False]:
        """Servers that the rule on repeats leaves, behind what is out since: all if None, none if False."""
        risk = job.first_risk or (None if out is None or job.server is None else (job.server, out))
        if risk is None or job.cls.idempotency is api.Idempotency.IDEMPOTENT:
            return None
        late = now >= risk[1] + job.cls.deduplication_window_ms
        if job.cls.idempotency is api.Idempotency.NOT_IDEMPOTENT or late:
            return False
        first = risk[0]
        if job.cls.deduplication_scope is api.DeduplicationScope.ZONE:
            return lambda server: server.zone == first.zone
        if job.cls.deduplication_scope is api.DeduplicationScope.CELL:
            return lambda server: server.cell == first.cell
        return None

    def _choose(self, now: float, job: PendingRequest, allowed: api.ServerFilter) -> api.Server | None:
        """The server of the next attempt; None where none can be expected to answer in time."""
        aim_left = min(job.arrived + job.cls.latency_objective_ms, job.deadline) - now
        choice = None if self._fleet.crowded() else self._fleet.pick(now, allowed, job.attempts)
        if choice is None or (choice[1] > FIT_OF_AIM * aim_left and not (
                aim_left > 0 and not job.attempts and self._fleet.trial(now, choice[0].id))):
            return None
        return choice[0]

    def _send(self, now: float, job: PendingRequest) -> list[api.Action]:
        """Start an attempt where it can still be answered in time, else give the final answer."""
        left, attempt, allowed = job.deadline - now, len(job.attempts), self._allowed(now, job)
        spent = attempt >= job.most or left <= self._settings.tick_ms
        chosen = None if allowed is False or spent else self._choose(now, job, allowed)
        if chosen is None:
            return self._give_up(now, job)
        if attempt == 0:
            share = RETRY_CALM if self._fleet.calm(now) else RETRY_SHARE
            self._retries = min(self._retries + share, self._saved)
        server = chosen.id
        job.attempts.append(server)
        self._book(job, chosen)
        patience = self._fleet.patience(now, server, job.cls.latency_objective_ms)
        self._fleet.sent(now, server, (job.request.id, attempt))
        actions: list[api.Action] = [api.SendAttempt(job.request.id, server, left)]
        if self._settings.can_cancel and patience < left:
            actions.append(self._wake(now + patience, (job.request.id, attempt, patience)))
        return actions

    def _give_up(self, now: float, job: PendingRequest) -> list[api.Action]:
        """The final answer: a refusal where a client's retry is certain to do no harm, else a failure."""
        if (job.first_risk is None or job.cls.idempotency is api.Idempotency.IDEMPOTENT
                or (job.cls.idempotency is api.Idempotency.WITH_KEY
                    and job.cls.deduplication_scope is api.DeduplicationScope.ALL)):
            return self._refuse(now, job, WAIT_OF_AIM * job.cls.latency_objective_ms)
        self._drop(job.request.id)
        return [api.Fail(job.request.id)]

    def _outcome(self, now: float, event: api.AttemptOutcome) -> list[api.Action]:
        job = self._jobs.get(event.id)
        self._fleet.outcome(now, event, job.cls.latency_objective_ms if job else math.inf)
        if job and event.verdict is api.Verdict.OK and event.true_units > 0 and job.ledger.plan.rate > 0:
            units = event.true_units - job.request.units
            # Given back while answers are slow, it would let in what pressed servers could not end in time.
            if units > 0 or self._fleet.calm(now):
                self._quota.settle(now, job.ledger, units)
        if job is None or event.ended:
            self._drop(event.id)
            return []
        if not event.verdict.never_ran and job.first_risk is None and job.server:
            job.first_risk = job.server, now - event.rtt_ms
        self._book(job, None)
        if self._retries < 1:
            return self._give_up(now, job)
        self._retries -= 1
        return self._send(now, job)

    def _due(self, now: float, token: int) -> list[api.Action]:
        purpose = self._wakes.pop(token, ("", 0, 0.0))
        if isinstance(purpose, CustomerQuota):
            purpose.flushing = False
            return self._quota.ask(now, purpose)
        rid, attempt, patience = purpose
        job = self._jobs.get(rid)
        if job is None or not job.server or len(job.attempts) != attempt + 1:
            return []
        # Only where another attempt can follow, else work is wasted; at once: later it adds to the load.
        more = (self._retries >= 1 and len(job.attempts) < job.most
                and self._allowed(now, job, now - patience) is not False)
        silent = self._fleet.silent(now, job.attempts[-1], (rid, attempt), patience)
        return [api.CancelAttempt(rid, attempt)] if silent and more else []
