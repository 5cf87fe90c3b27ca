"""Choice of servers.  "Objectives" as a unit of time are multiples of the shortest latency objective."""

import math
import random
from dataclasses import replace

from badgeryoke.decisions import interface as api
from badgeryoke.decisions.moving_average import DecayingAverage, DecayingCount
from badgeryoke.decisions.policy.quota import SECOND_MS

LATENCY_GAIN = 0.15  # EWMA weight of a new latency: about the last six responses count
BASE_GAIN_DOWN = 0.1  # a response below the base latency pulls it down by this, ...
BASE_GAIN_UP = 0.02  # ... one above it lifts it by this: it settles where few responses come sooner
BASE_PRIOR_RESPONSES = 3.0  # that the first estimate of a base latency weighs as much as
QUEUE_TAU_OBJECTIVES = 2.5  # how fast a measured queue is forgotten, and ...
QUEUE_TAU_MULTIPLE = 3.0  # ... in this many times its length: others still add to a long one
SEND_RATE_TAU_MS = 3000.0  # memory of the own send rate, long against a tick and short against a ramp
INITIAL_LATENCY_FRACTION = 0.12  # of the objective, that an unknown server is taken to need
CROSS_ZONE_COST_MULTIPLE = 1.06  # a server elsewhere must be so much faster to be worth the crossing
MIN_EXPLORATION_SHARE = 0.05  # of the choice is random, so that gateways do not move in step
INFORMATIVE_SENDS = 2.0  # to a server in QUEUE_TAU: the aperture holds as many servers as get these, ...
MIN_APERTURE_SIZE = 3.0  # ... and no fewer: with two, one that is congested leaves no choice
ROTATION_PROBABILITY = 0.01  # of a choice, that the aperture's first server is replaced by another
CONNECTION_KEPT_MS = 10_000.0  # a server that responded within this is taken to be connected still
FAILURE_GAIN = 0.4  # EWMA weight of one result in a server's failure rate: two failures in a row suffice
FAILURE_TAU_MS = 5000.0  # how fast failures are forgotten, so that a server is tried again
OUTLIER_FAILURE_RATE = 0.3  # from which a server counts as avoided in the metrics
FAILURE_COST_MULTIPLE = 6.0  # a server that always fails costs so many times more than a healthy one
SILENCE_LATENCY_MULTIPLE = 4.0  # no response for so many expected latencies is silence
SILENCE_POOL_FRACTION = 0.75  # of the mean over all servers is expected at least: few responses per server
SILENCE_OBJECTIVE_FRACTION = 0.35  # and of the objective, so that one long request is not silence
SLOW_START_SAFETY = 0.3  # part of a slow start's budget that is used: sizes and others' sends are estimates
MIN_WARM_FRACTION = 0.3  # of the servers count as warm at least, lest few warm ones be overloaded
POOL_GAIN = 0.2  # EWMA weight of one response in the latency of all servers together
INITIAL_SERVER_CONCURRENCY = 6.0  # attempts in flight at a server, of all gateways, before any is measured
SPARE_CONCURRENCY = 1.0  # and of a gateway above its share: arrivals are uneven; it adds up over gateways
CONCURRENCY_RECOVERY = 0.03  # per fast response, up to the spare: a stall must not be felt for minutes
CONCURRENCY_DECREASE = 0.5  # per response while the latency is above the target
HEALTHY_LATENCY_FRACTION = 0.42  # of the objective, up to which the latency over all servers is healthy
EXPLORATION_HEALTHY_DISCOUNT = 0.65  # off this limit where servers are chosen at random alone
HALF_OPEN_OBJECTIVES = 5.0  # without a send, after which one is sent though slow: to see a recovery


class ServerState:
    """What this gateway knows of one server."""

    def __init__(self, endpoint: api.Server, aperture_rank: float, slow_start_credit: float) -> None:
        self.endpoint, self.aperture_rank = endpoint, aperture_rank  # the aperture holds the lowest ranks
        self.in_flight: dict[tuple[str, int], float] = {}  # attempts, and when they were sent
        self.base_latency = 0.0  # without a queue: follows fast responses quickly; 0: unknown
        self.latency, self.measured_at = 0.0, -math.inf  # EWMA, and its last change
        self.latency_is_estimate = False  # not measured, but a lower bound from missing responses
        self.last_sent_at = self.newest_answered_at = -math.inf  # last send, and last one with a response
        self.failure_rate = DecayingAverage(FAILURE_GAIN, FAILURE_TAU_MS)
        self.answered_at, self.answer_count = -math.inf, 0  # last response, and number of successes
        self.slow_start_credit, self.credit_updated_at = slow_start_credit, -1.0  # 1 buys a send


class LoadBalancer:
    """Membership, load and health of the servers, and the choice among them."""

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        self.update_settings(settings)
        self._rng, self._servers = rng, dict[int, ServerState]()
        self._available: list[ServerState] = []  # in the order of their aperture ranks
        self._mean_latency_ms = INITIAL_LATENCY_FRACTION * self._objective_ms
        self._sends = DecayingCount(SEND_RATE_TAU_MS)
        self._relative_latency = INITIAL_LATENCY_FRACTION  # EWMA over all servers, in parts of the objectives
        self._in_flight, self._connect_failure_rate = 0, 0.0  # attempts; EWMA share without a connection
        self._extra_concurrency = SPARE_CONCURRENCY  # attempts in flight beyond this gateway's share

    def update_settings(self, settings: api.Settings) -> None:
        """Take up new settings; what was measured stays."""
        self._settings = settings
        self._objective_ms = min((cls.latency_objective_ms for cls in settings.classes), default=SECOND_MS)

    def update_endpoints(self, event: api.EndpointList) -> None:
        """Apply an endpoint list: complete ones replace, changes update what is known."""
        listed = {endpoint.id: endpoint for endpoint in event.servers}
        if event.scope in (api.ListScope.FULL, api.ListScope.CACHED):
            for key, server in self._servers.items():
                if key not in listed:
                    server.endpoint = replace(server.endpoint, state=api.EndpointState.GONE)
        for key, endpoint in listed.items():
            if (known := self._servers.get(key)) is None:
                self._servers[key] = ServerState(endpoint, self._rng.random(), self._rng.random())
            elif endpoint.started_ms > known.endpoint.started_ms:
                fresh = self._servers[key] = ServerState(endpoint, known.aperture_rank, self._rng.random())
                fresh.in_flight, fresh.base_latency = known.in_flight, known.base_latency
            else:
                known.endpoint = endpoint
        gone = api.EndpointState.GONE
        kept = [s for s in self._servers.values() if s.in_flight or s.endpoint.state is not gone]
        self._servers = {server.endpoint.id: server for server in kept}
        self._available = [server for server in kept if server.endpoint.state is api.EndpointState.UP]
        self._available.sort(key=lambda server: server.aperture_rank)

    def avoided(self, now: float) -> int:
        """How many servers are listed and draining, or are outliers."""
        gone, draining, limit = api.EndpointState.GONE, api.EndpointState.DRAINING, OUTLIER_FAILURE_RATE
        listed = [server for server in self._servers.values() if server.endpoint.state is not gone]
        return sum(s.endpoint.state is draining or s.failure_rate.at(now) > limit for s in listed)

    def _demote(self, now: float, server: ServerState) -> None:
        """Move an outlier to a random place behind the aperture: at the end, all gateways would leave it."""
        if self._available:
            last = self._available[-1].aperture_rank + 1 / len(self._available)
            edge = self._available[min(int(self._aperture_size(now)), len(self._available) - 1)].aperture_rank
            server.aperture_rank = edge + (last - edge) * self._rng.random()
            self._available.sort(key=lambda server: server.aperture_rank)

    def _concurrency_share(self) -> float:
        """This gateway's share of the attempts that the servers are known to bear from all gateways."""
        return INITIAL_SERVER_CONCURRENCY * len(self._available) / self._settings.gateway_count

    def _informed_servers(self, now: float) -> float:
        """How many servers the own sends suffice to measure, corrected for the time since the first send."""
        age_ms = max(now - self._sends.first_at, SECOND_MS)
        rate = self._sends.at(now) / SEND_RATE_TAU_MS / (1 - math.exp(-age_ms / SEND_RATE_TAU_MS))
        return rate * QUEUE_TAU_OBJECTIVES * self._objective_ms / INFORMATIVE_SENDS

    def _aperture_size(self, now: float) -> float:
        """How many servers this gateway uses: each is known to few gateways, rather than little to all."""
        return max(self._informed_servers(now), MIN_APERTURE_SIZE)

    def _information(self, now: float) -> float:
        """Own sends in QUEUE_TAU to each server of the aperture, in parts of the informative number."""
        informed = self._informed_servers(now)
        return informed / max(1, min(max(informed, MIN_APERTURE_SIZE), len(self._available)))

    def _exploration_share(self, now: float) -> float:
        """Part of the choice that is random: 1 where nothing is known of the servers' queues."""
        return max(1 - self._information(now), MIN_EXPLORATION_SHARE)

    def is_healthy(self, now: float) -> bool:
        """Whether responses are fast.  Where the choice is random, the mean hides congested servers."""
        discount = EXPLORATION_HEALTHY_DISCOUNT * self._exploration_share(now)
        return self._relative_latency <= HEALTHY_LATENCY_FRACTION * (1 - discount)

    def is_half_open(self, now: float) -> bool:
        """Whether nothing was sent for so long that a send must show whether the servers have recovered."""
        return now - self._sends.updated_at > HALF_OPEN_OBJECTIVES * self._objective_ms

    def is_saturated(self) -> bool:
        """Whether the concurrency limit is reached; a fraction of one attempt is granted at random."""
        return self._rng.random() >= self._concurrency_share() + self._extra_concurrency - self._in_flight

    def _expected_latency(self, now: float, server: ServerState) -> tuple[float, float]:
        """The base latency and the queueing delay, which decays: else a past queue would keep all away."""
        if not server.base_latency:
            size = max(server.endpoint.size, 0.1)
            return self._mean_latency_ms / size / self._warm_fraction(now, server), 0.0
        queue = max(server.latency - server.base_latency, 0.0)
        tau_ms = max(QUEUE_TAU_OBJECTIVES * self._objective_ms, QUEUE_TAU_MULTIPLE * queue)
        queue *= math.exp((server.measured_at - now) / tau_ms)
        # An attempt in flight is a lower bound on the queueing delay, unless a later one has overtaken it.
        oldest = min((at for at in server.in_flight.values() if at >= server.newest_answered_at), default=now)
        return server.base_latency, max(queue, now - oldest - server.base_latency)

    def silence_timeout(self, now: float, server_id: int, objective_ms: float) -> float:
        """How long without a response is silence: the longer, the fewer samples there are."""
        multiple = SILENCE_LATENCY_MULTIPLE * (1 + INFORMATIVE_SENDS / max(self._information(now), 1.0))
        expected = sum(self._expected_latency(now, self._servers[server_id]))
        expected = max(expected, SILENCE_POOL_FRACTION * self._relative_latency * objective_ms)
        return max(multiple * expected, SILENCE_OBJECTIVE_FRACTION * objective_ms)

    def _warm_fraction(self, now: float, server: ServerState) -> float:
        """The fraction of its capacity that a server has by now at least."""
        started_ms, slow_start_ms = server.endpoint.started_ms, self._settings.slow_start_ms
        age_ms = max(now - started_ms, 0.0)  # by another clock, its start may lie ahead
        if started_ms <= 0 or age_ms >= slow_start_ms:
            return 1.0
        first = self._settings.slow_start_fraction
        return max(first + (1 - first) * age_ms / slow_start_ms, 0.01)

    def _has_credit(self, now: float, server: ServerState, usual_rate: float) -> bool:
        """Whether a server is warm or has credit for a send: few gateways hold one at any moment."""
        settings, fraction = self._settings, self._warm_fraction(now, server)
        if fraction >= 1.0:
            return True
        window_ms = max(settings.overload_window_ms, SECOND_MS)
        least = 1 / window_ms / settings.gateway_count  # of all gateways, one send per window at least
        rate = max(SLOW_START_SAFETY * settings.overload_multiple * fraction * usual_rate, least)
        elapsed_ms = now - server.credit_updated_at if server.credit_updated_at >= 0 else 0.0
        credit = server.slow_start_credit + rate * elapsed_ms
        server.slow_start_credit = credit if credit <= 1 + min(rate * window_ms, 1.0) else credit % 1
        server.credit_updated_at = now
        return server.slow_start_credit >= 1

    def choose(self, now: float, allowed: api.ServerFilter, tried: list[int]) -> api.ServerChoice | None:
        """The server of the least cost, and its expected latency; None where none may be used.
        Aperture: hundreds of gateways that use all servers each know none of them.  So each uses few, in an
        order of its own, and demotes outliers; exploration and rotation keep all from using the same."""
        best: tuple[float, ServerState, float] | None = None
        zone, draw = self._settings.zone, self._rng.random
        remaining, exploration = self._aperture_size(now), self._exploration_share(now)
        fractions = [self._warm_fraction(now, server) for server in self._available]
        used = min(remaining / max(fractions.count(1.0), 1), 1.0)  # those without credit are passed over
        targets = max(1.0, min(remaining, sum(fractions)), used * MIN_WARM_FRACTION * len(fractions))
        usual_rate = self._sends.at(now) / SEND_RATE_TAU_MS / targets
        for server in self._available:
            endpoint = server.endpoint
            if (allowed and not allowed(endpoint)) or not self._has_credit(now, server, usual_rate):
                continue
            if remaining <= 0:
                break
            remaining -= 1
            base, queue = self._expected_latency(now, server)
            failure_cost = 1 + FAILURE_COST_MULTIPLE * server.failure_rate.at(now)
            # An estimated queue gets a trial after an objective without a send, later where attempts fail.
            if server.latency_is_estimate and now - server.last_sent_at >= self._objective_ms * failure_cost:
                queue = 0.0
            fraction = 1.0 if server.base_latency else self._warm_fraction(now, server)  # credit limits it
            cost = (base * fraction * (1 + len(server.in_flight)) + queue) * failure_cost
            cost *= (-math.log(1 - draw())) ** exploration
            cost *= CROSS_ZONE_COST_MULTIPLE if endpoint.zone != zone else 1.0
            cost *= FAILURE_COST_MULTIPLE if endpoint.id in tried else 1.0
            # Where connection tables are full, gateways stay with the servers that they are connected to.
            if now - server.answered_at >= CONNECTION_KEPT_MS:
                cost *= 1 + self._connect_failure_rate * len(self._available)
            if best is None or cost < best[0]:
                best = cost, server, base + queue
        if remaining <= 0 and draw() < ROTATION_PROBABILITY:
            self._demote(now, self._available[0])
        return None if best is None else (best[1].endpoint, best[2])

    def is_trial_due(self, now: float, server_id: int) -> bool:
        """Whether a server whose expected latency is too long gets an attempt: else none would correct it."""
        return now - self._servers[server_id].last_sent_at >= self._objective_ms

    def record_send(self, now: float, server_id: int, key: tuple[str, int]) -> None:
        """Count an attempt as in flight."""
        server = self._servers[server_id]
        server.in_flight[key] = server.last_sent_at = now
        self._in_flight += 1
        self._sends.add(now)
        server.slow_start_credit = max(server.slow_start_credit - 1, 0.0)

    def record_response_start(self, server_id: int, key: tuple[str, int]) -> None:
        """A streamed response has begun: its rest shows no queue and takes none of the concurrency limit."""
        self._in_flight -= 1
        self._servers[server_id].in_flight.pop(key)

    def record_outcome(self, now: float, event: api.AttemptOutcome, objective_ms: float) -> None:
        """Update the estimates by how an attempt ended."""
        server, verdict, key = self._servers.get(event.server), event.verdict, (event.id, event.attempt)
        if server is None:
            return
        self._in_flight -= key in server.in_flight  # else its response had begun before
        sent_at = server.in_flight.pop(key, now)
        connect_failed = verdict is api.Verdict.CONNECT_FAILED
        self._connect_failure_rate += POOL_GAIN * (connect_failed - self._connect_failure_rate)
        if verdict in (api.Verdict.OK, api.Verdict.ERROR, api.Verdict.QUEUE_FULL):
            server.answered_at = now
            server.newest_answered_at = max(server.newest_answered_at, sent_at)
        if verdict is api.Verdict.OK:
            self._record_latency(now, server, event.rtt_ms, objective_ms)
        elif verdict is api.Verdict.QUEUE_FULL:
            self._record_congestion(now, server, self._objective_ms)  # it responds at once, drawing traffic
        elif verdict is api.Verdict.TIMEOUT:
            if not self.is_healthy(now):
                relative = min(event.rtt_ms / objective_ms, 1.0)
                self._relative_latency += POOL_GAIN * (relative - self._relative_latency)
                share = self._concurrency_share()
                self._extra_concurrency = max((self._extra_concurrency - share) / 2, -share / 2)
            if sent_at >= server.newest_answered_at:  # else it was lost on its way, in no queue
                self._record_congestion(now, server, event.rtt_ms)
        if verdict not in (api.Verdict.NOT_SENT, api.Verdict.CANCELLED):
            self._record_result(now, server, verdict is not api.Verdict.OK)

    def _record_result(self, now: float, server: ServerState, failed: bool) -> None:
        server.failure_rate.add(now, failed)
        if failed:
            self._demote(now, server)

    def _record_latency(self, now: float, server: ServerState, rtt: float, objective_ms: float) -> None:
        """Update the latencies by a successful response, and the concurrency limit by additive increase."""
        if not server.base_latency:
            server.base_latency = server.latency = self._mean_latency_ms / max(server.endpoint.size, 0.1)
        gain = BASE_GAIN_DOWN if rtt < server.base_latency else BASE_GAIN_UP
        gain = max(gain, 1 / (server.answer_count + BASE_PRIOR_RESPONSES))
        server.base_latency += gain * (rtt - server.base_latency)
        server.answer_count += 1
        # A measurement replaces an estimate: averaged in, it would exclude a server that is seldom used.
        server.latency += (1.0 if server.latency_is_estimate else LATENCY_GAIN) * (rtt - server.latency)
        server.latency_is_estimate, server.measured_at = False, now
        self._relative_latency += POOL_GAIN * (min(rtt / objective_ms, 1.0) - self._relative_latency)
        limit = self._concurrency_share() + self._extra_concurrency
        if not self.is_healthy(now):
            decreased = self._extra_concurrency - CONCURRENCY_DECREASE
            self._extra_concurrency = max(decreased, -self._concurrency_share() / 2)
        elif self._in_flight + 1 >= limit:  # only a limit that was reached is known to be borne
            self._extra_concurrency += 1 / max(limit, 1.0)
        elif self._extra_concurrency < SPARE_CONCURRENCY:  # what slow responses took off comes back
            self._extra_concurrency += CONCURRENCY_RECOVERY
        gain = (BASE_GAIN_DOWN if rtt < self._mean_latency_ms else BASE_GAIN_UP) / 2
        self._mean_latency_ms += gain * (rtt - self._mean_latency_ms)

    def detect_silence(self, now: float, server_id: int, key: tuple[str, int], timeout: float) -> bool:
        """Whether a server was silent for so long that an attempt is given up; counts as a failure."""
        server = self._servers.get(server_id)
        if server is None or key not in server.in_flight or now - server.answered_at < timeout:
            return False
        self._record_congestion(now, server, now - server.in_flight[key])
        self._record_result(now, server, True)
        return self.is_healthy(now)

    def _record_congestion(self, now: float, server: ServerState, waited: float) -> None:
        """No response in time: the queue is at least this long, and may still hold abandoned attempts."""
        if waited >= server.latency:
            server.latency, server.latency_is_estimate = waited, True
        server.measured_at = now
