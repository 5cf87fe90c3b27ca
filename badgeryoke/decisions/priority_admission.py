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
        self._aside: engine.CustomerQuota | None = None  # the book of all reserved requests: it has no quota
        self._verdict: Verdict | None = None  # of the attempt whose end is being handled
        self._pressed: dict[
            int, float
        ] = {}  # customers under a ceiling, and when the last reserved request came

    def _presses(self, now: float, customer: int) -> bool:
        return bool(self._pressed) and now - self._pressed.get(customer, -KEPT_MS) < KEPT_MS

    def _total(self, now: float, event: CounterReply) -> list[Action]:
        led = self._quota._calls.get(event.name) if self._pressed else None
        if led is not None and self._presses(now, led.customer):  # they are judged in this order
            led.pending = dict(sorted(led.pending.items(), key=lambda held: not self._reserved(held[0])))
        return super()._total(now, event)

    def _reserved(self, rid: str) -> bool:
        job = self._jobs.get(rid)
        return job is not None and job.request.reservation_rank > 0

    def _request(self, now: float, event: Request) -> list[Action]:
        if event.reservation_rank:
            return self._first(now, event)
        if self._presses(now, event.customer):  # asked in vain, it would look used to the others
            led = self._quota.ledger(now, event)
            if (lacks := self._lacks(now, led, event.units)) > 0:
                return [Reject(event.id, max(lacks * led.quota.per_unit, 1.0))]
        return super()._request(now, event)

    @staticmethod
    def _lacks(now: float, led: engine.CustomerQuota, units: float) -> float:
        """By how many units a request that is not reserved would cut into what is kept."""
        if not led.told or led.head is None:
            return 0.0
        return min(units + KEPT * led.plan.burst, led.plan.burst) - led.quota.room(now)

    def _first(self, now: float, event: Request) -> list[Action]:
        """A reserved request: to a server, unless a ceiling may be in its way."""
        cls = self._classes.get(event.request_class)
        if cls is None:
            raise ValueError(f"class {event.request_class!r} is not among the settings")
        led = self._quota.ledger(now, event)
        if self._aside is None:
            self._aside = engine.CustomerQuota(Plan("reserved"), event, self._settings, now, now)
        job = self._jobs[event.id] = engine.PendingRequest(
            event, cls, self._aside, now, self._settings.max_attempts
        )
        if led.plan.rate <= 0 or led.head is None:
            return self._send(now, job)
        if len(self._pressed) >= MOST_PRESSED:
            self._pressed.clear()
        self._pressed[event.customer] = now
        if led.head.room(now) >= event.units:
            return self._under(now, job, led.head)
        if (
            led.told and (wait := led.quota.wait(now, event.units)) > 0
        ):  # asked in vain, it would look used to others
            return self._refuse(now, job, wait)
        sight, timeout = self._quota.sight, self._settings.counter_timeout_ms
        if (
            self._settings.has_counter
            and event.remaining_ms > engine.HOLD_TIMES * timeout
            and not (sight and sight.hushed(now, led))
        ):
            led.waiting[event.id] = event.units
            return self._quota.ask(now, led)
        return self._unconfirmed(now, job)

    def _under(self, now: float, job: engine.PendingRequest, meter: engine.GcraBucket) -> list[Action]:
        """Send, and charge what proves that the ceiling holds."""
        actions = self._send(now, job)
        if job.attempts:
            meter.take(job.request.units, now)
        return actions

    def _unconfirmed(self, now: float, job: engine.PendingRequest, spare: bool = False) -> list[Action]:
        request = job.request
        if not request.reservation_rank:
            led = job.ledger
            if (
                led.head
                and self._presses(now, request.customer)
                and (led.head.room(now) - request.units < KEPT * led.head.tolerance / led.head.per_unit)
            ):
                return self._refuse(now, job, job.ledger.quota.per_unit)
            return super()._unconfirmed(now, job, spare)
        led, units = self._quota.ledger(now, request), request.units
        if led.head and led.head.room(now) >= units:
            return self._under(now, job, led.head)
        half = led.quota.half  # what is left to this side of a split, whoever is out of sight
        if half and led.quota.wait(now, units) <= 0:
            led.own.per_unit = half.per_unit / led.part()
            if (self._quota.sight and self._quota.sight.alone(led)) or led.own.wait(now, units) <= 0:
                led.own.take(units, now)
                return self._under(now, job, led.quota)
        return self._refuse(now, job, led.quota.per_unit)

    def _refuse(self, now: float, job: engine.PendingRequest, wait: float) -> list[Action]:
        if not job.request.reservation_rank:
            return super()._refuse(now, job, wait)
        self._drop(job.request.id)
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
        rank, fleet = job.request.reservation_rank, self._fleet
        if not rank:
            kept = not job.attempts and self._presses(now, job.request.customer)
            if kept and self._lacks(now, job.ledger, job.request.units) > 0:
                return None
            return super()._choose(now, job, allowed)
        borne = fleet._part() + max(fleet._more, 0.0)
        if not fleet.calm(now) and fleet._out >= max(borne * (1.0 + OVER / rank), 1.0):
            return None
        choice = fleet.pick(now, allowed, job.attempts)
        if choice is None or (choice[1] >= job.deadline - now and not fleet.trial(now, choice[0].id)):
            return None
        return choice[0]

    def _outcome(self, now: float, event: AttemptOutcome) -> list[Action]:
        if self._aside is None or not self._reserved(event.id):
            return super()._outcome(now, event)
        self._retries += not event.ended  # a further attempt takes nothing of what all others may make
        self._verdict = event.verdict
        actions = super()._outcome(now, event)
        self._verdict = None
        return actions
