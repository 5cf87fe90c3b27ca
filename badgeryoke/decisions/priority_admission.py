"""The module's decisions on requests that were drawn under a lease: they go before all others.

A host whose gateways guarantee capacity puts this in the place of `decide.Gateway`, and marks what it draws
with `Request.reserved`.  Nothing else changes for it, and nothing at all where no request is marked.  For one
that is:

- **Quota.**  None is asked: the lease is its quota.  Its units and its attempts out count against no quota of the
  customer's, so that beyond the contract the customer is as any other.
- **Load.**  The limit of attempts out does not hold it, and its attempts count against that limit: what is not reserved
  goes first when places get short.  It is refused where no server is expected to answer by its deadline, or where
  servers are slow and so much is out that its class has no part of what is left; the lower classes go first.
- **Ceiling.**  It holds over all gateways as without contracts, by the two proofs that there are: the gateway's own part
  of the headroom above the quota, else the quota's name at the counter, where its units are added before it is sent.
  So it takes from the quota only where the headroom is used up, that is where quota and contract do not both fit under
  the ceiling; the customer's own use beyond the contract goes first, since it leaves the stores part full (`KEPT`).

What it does not do: the headroom is split evenly, since no gateway can prove what another that heard of no
contract sends.  A customer whose requests all come to one gateway of many has its quota and one part of the
headroom there.
"""

from __future__ import annotations

from badgeryoke.decisions.interface import (
    Action,
    AttemptOutcome,
    CounterReply,
    Plan,
    Reject,
    Request,
    Server,
    ServerFilter,
    Settings,
    Verdict,
)
from badgeryoke.decisions.policy import engine
from badgeryoke.decisions.policy.quota import CustomerQuota, GcraBucket

# of what servers are held to bear may be out above that, while they are slow, of the first class; ...
OVER = 3.0
# ... of class n the nth part of it.  By then the others have had no place for long.
KEPT = 0.75  # of the stores under a ceiling is left to a customer's reserved requests by its others, ...
KEPT_MS = 2000.0  # ... for so long after one of them: the rate is theirs still, the burst is not
MOST_PRESSED = 10_000  # customers of whom that is known; beyond, all are forgotten
CEILING, LOAD, SERVER = "ceiling", "load", "server"  # why a reserved request is refused


class PriorityDecisionEngine(engine.DecisionEngine):
    """A gateway's decisions where some requests are reserved."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self._aside: CustomerQuota | None = None  # the book of all reserved requests: it has no quota
        self._verdict: Verdict | None = None  # of the attempt whose end is being handled
        self._pressed: dict[
            int, float
        ] = {}  # customers under a ceiling, and when the last reserved request came

    def _presses(self, now: float, customer: int) -> bool:
        return bool(self._pressed) and now - self._pressed.get(customer, -KEPT_MS) < KEPT_MS

    def _counter_replied(self, now: float, event: CounterReply) -> list[Action]:
        led = self._quota._calls.get(event.name) if self._pressed else None
        if led is not None and self._presses(now, led.customer):  # they are judged in this order
            led.requests_in_call = dict(
                sorted(led.requests_in_call.items(), key=lambda held: not self._reserved(held[0]))
            )
        return super()._counter_replied(now, event)

    def _reserved(self, rid: str) -> bool:
        job = self._pending.get(rid)
        return job is not None and job.request.reservation_rank > 0

    def _request_arrived(self, now: float, event: Request) -> list[Action]:
        if event.reservation_rank:
            return self._first(now, event)
        if self._presses(now, event.customer):  # asked in vain, it would look used to the others
            led = self._quota.quota_for(now, event)
            if (lacks := self._lacks(now, led, event.units)) > 0:
                return [Reject(event.id, max(lacks * led.bucket.interval_ms, 1.0))]
        return super()._request_arrived(now, event)

    @staticmethod
    def _lacks(now: float, led: CustomerQuota, units: float) -> float:
        """By how many units a request that is not reserved would cut into what is kept."""
        if not led.synchronized or led.headroom_bucket is None:
            return 0.0
        return min(units + KEPT * led.plan.burst, led.plan.burst) - led.bucket.capacity(now)

    def _first(self, now: float, event: Request) -> list[Action]:
        """A reserved request: to a server, unless a ceiling may be in its way."""
        cls = self._classes.get(event.request_class)
        if cls is None:
            raise ValueError(f"class {event.request_class!r} is not among the settings")
        led = self._quota.quota_for(now, event)
        if self._aside is None:
            self._aside = CustomerQuota(Plan("reserved"), event, self._settings, now, now)
        job = self._pending[event.id] = engine.PendingRequest(
            event, cls, self._aside, now, self._settings.max_attempts
        )
        if led.plan.rate <= 0 or led.headroom_bucket is None:
            return self._send_attempt(now, job)
        if len(self._pressed) >= MOST_PRESSED:
            self._pressed.clear()
        self._pressed[event.customer] = now
        if led.headroom_bucket.capacity(now) >= event.units:
            return self._under(now, job, led.headroom_bucket)
        if (
            led.synchronized and (wait := led.bucket.wait(now, event.units)) > 0
        ):  # asked in vain, it would look used to others
            return self._reject(now, job, wait)
        sight, timeout = self._quota.visibility, self._settings.counter_timeout_ms
        if (
            self._settings.has_counter
            and event.remaining_ms > engine.HOLD_TIMEOUT_MULTIPLE * timeout
            and not (sight and sight.hushed(now, led))
        ):
            led.requests_waiting[event.id] = event.units
            return self._quota.synchronize(now, led)
        return self._admit_unconfirmed(now, job)

    def _under(self, now: float, job: engine.PendingRequest, meter: GcraBucket) -> list[Action]:
        """Send, and charge what proves that the ceiling holds."""
        actions = self._send_attempt(now, job)
        if job.attempts:
            meter.consume(job.request.units, now)
        return actions

    def _admit_unconfirmed(self, now: float, job: engine.PendingRequest, spare: bool = False) -> list[Action]:
        request = job.request
        if not request.reservation_rank:
            led = job.quota
            if (
                led.headroom_bucket
                and self._presses(now, request.customer)
                and (
                    led.headroom_bucket.capacity(now) - request.units
                    < KEPT * led.headroom_bucket.tolerance / led.headroom_bucket.interval_ms
                )
            ):
                return self._reject(now, job, job.quota.bucket.interval_ms)
            return super()._admit_unconfirmed(now, job, spare)
        led, units = self._quota.quota_for(now, request), request.units
        if led.headroom_bucket and led.headroom_bucket.capacity(now) >= units:
            return self._under(now, job, led.headroom_bucket)
        half = led.bucket.partial_share  # what is left to this side of a split, whoever is out of sight
        if half and led.bucket.wait(now, units) <= 0:
            led.own_bucket.interval_ms = half.interval_ms / led.own_share()
            if (self._quota.visibility and self._quota.visibility.alone(led)) or led.own_bucket.wait(
                now, units
            ) <= 0:
                led.own_bucket.consume(units, now)
                return self._under(now, job, led.bucket)
        return self._reject(now, job, led.bucket.interval_ms)

    def _reject(self, now: float, job: engine.PendingRequest, wait: float) -> list[Action]:
        if not job.request.reservation_rank:
            return super()._reject(now, job, wait)
        self._forget(job.request.id)
        return [Reject(job.request.id, max(wait, 1.0), CEILING)]

    def _give_up(self, now: float, job: engine.PendingRequest) -> list[Action]:
        actions = super()._give_up(now, job)
        if job.request.reservation_rank:
            cause = LOAD if self._verdict in (None, Verdict.QUEUE_FULL) else SERVER
            return [
                Reject(one.id, one.retry_after_ms, cause) if isinstance(one, Reject) else one
                for one in actions
            ]
        return actions

    def _choose(self, now: float, job: engine.PendingRequest, allowed: ServerFilter) -> Server | None:
        rank, fleet = job.request.reservation_rank, self._balancer
        if not rank:
            kept = not job.attempts and self._presses(now, job.request.customer)
            if kept and self._lacks(now, job.quota, job.request.units) > 0:
                return None
            return super()._choose(now, job, allowed)
        borne = fleet._concurrency_share() + max(fleet._extra_concurrency, 0.0)
        if not fleet.is_healthy(now) and fleet._in_flight >= max(borne * (1.0 + OVER / rank), 1.0):
            return None
        choice = fleet.choose(now, allowed, job.attempts)
        if choice is None or (
            choice[1] >= job.deadline_at - now and not fleet.is_trial_due(now, choice[0].id)
        ):
            return None
        return choice[0]

    def _attempt_ended(self, now: float, event: AttemptOutcome) -> list[Action]:
        if self._aside is None or not self._reserved(event.id):
            return super()._attempt_ended(now, event)
        self._retry_budget += not event.ended  # a further attempt takes nothing of what all others may make
        self._verdict = event.verdict
        actions = super()._attempt_ended(now, event)
        self._verdict = None
        return actions
