"""Chooses servers by latency, load and health.

A constant in "objectives" is a time in multiples of the shortest latency objective.
"""

import math
import random
from dataclasses import replace

from badgeryoke.decisions import interface as api
from badgeryoke.decisions.moving_average import DecayingAverage, DecayingCount
from badgeryoke.decisions.policy.quota import SECOND_MS

LATENCY_GAIN = 0.15  # EWMA weight of a new latency: about the last six responses count
# EWMA weight of a response below and above the base latency: with the lower weight above, the base latency
# converges to a low percentile, below which few responses lie.
BASE_LATENCY_GAIN_DOWN = 0.1
BASE_LATENCY_GAIN_UP = 0.02
BASE_LATENCY_PRIOR_RESPONSES = 3.0  # weight of the initial base latency, as a number of responses
# Time constant of a measured queueing delay, and its lower bound in multiples of that delay: other gateways
# still send to a server with a long queue.
QUEUE_TAU_OBJECTIVES = 2.5
QUEUE_TAU_MULTIPLE = 3.0
SEND_RATE_TAU_MS = 3000.0  # time constant of the send rate: long against a tick, short against a slow start
INITIAL_LATENCY_FRACTION = 0.12  # assumed latency of a server without responses, in parts of the objective
CROSS_ZONE_COST_MULTIPLE = 1.06  # a server in another zone is chosen only if it is faster by this factor
MIN_EXPLORATION_SHARE = 0.05  # minimum random part of the choice, so that gateways do not move in step
# Number of sends to a server within QUEUE_TAU_OBJECTIVES that suffice to measure it.  The aperture has as
# many servers as get that many sends, but at least MIN_APERTURE_SIZE: with two servers of which one is
# congested, there would be no choice.
INFORMATIVE_SENDS = 2.0
MIN_APERTURE_SIZE = 3.0
ROTATION_PROBABILITY = 0.01  # probability per choice that the aperture's first server is replaced by another
CONNECTION_IDLE_MS = 10_000.0  # a server that responded within this time is assumed to be still connected
FAILURE_GAIN = 0.4  # EWMA weight of one result in a server's failure rate: two failures in a row suffice
FAILURE_TAU_MS = 5000.0  # time constant with which a failure rate decays, so that a server is tried again
OUTLIER_FAILURE_RATE = 0.3  # a server with a higher failure rate counts as an outlier in the metrics
FAILURE_COST_MULTIPLE = 6.0  # cost of a server that always fails, in multiples of a healthy server's
# A server without a response for this many expected latencies is silent.
SILENCE_LATENCY_MULTIPLE = 4.0
# Lower bound of that expected latency, as a fraction of the mean over all servers: a single server has few
# responses.
SILENCE_POOL_FRACTION = 0.75
# Lower bound of the silence timeout, as a fraction of the objective: one long request is not silence.
SILENCE_OBJECTIVE_FRACTION = 0.35
# Used fraction of a server's slow-start rate: its size and the sends of other gateways are estimates.
SLOW_START_SAFETY = 0.3
# At least this fraction of the servers counts as warm; otherwise the few warm ones would be overloaded.
MIN_WARM_FRACTION = 0.3
POOL_GAIN = 0.2  # EWMA weight of one response in the values over all servers
# Limit of attempts in flight per server, of all gateways together, before anything is measured.
INITIAL_SERVER_CONCURRENCY = 6.0
# Attempts in flight of a gateway beyond its share, as arrivals are uneven; they add up over the gateways.
SPARE_CONCURRENCY = 1.0
# Increase of the limit per fast response up to SPARE_CONCURRENCY, so that a stall does not last for minutes.
CONCURRENCY_RECOVERY = 0.03
CONCURRENCY_DECREASE = 0.5  # decrease of the limit per response while responses are slow
# The mean latency over all servers is healthy up to this fraction of the objective.  The discount lowers that
# fraction, with its full value if servers are chosen entirely at random.
HEALTHY_LATENCY_FRACTION = 0.42
EXPLORATION_HEALTHY_DISCOUNT = 0.65
HALF_OPEN_OBJECTIVES = 5.0  # time without a send after which one is sent despite slow responses, as a trial


class ServerState:
    """One server's endpoint, load, latency and failures, as seen by this gateway."""

    def __init__(self, endpoint: api.Server, aperture_rank: float, slow_start_credit: float) -> None:
        self.endpoint, self.aperture_rank = endpoint, aperture_rank  # the aperture holds the lowest ranks
        self.in_flight: dict[tuple[str, int], float] = {}  # send time by (request id, attempt)
        self.base_latency = 0.0  # ms without a queue; follows fast responses quickly; 0: unknown
        # EWMA of the latency in ms, and the time of its last change.
        self.latency, self.measured_at = 0.0, -math.inf
        self.latency_is_estimate = False  # the latency is a lower bound derived from missing responses
        # Time of the last send, and send time of the latest attempt that got a response.
        self.last_sent_at = self.newest_answered_at = -math.inf
        self.failure_rate = DecayingAverage(FAILURE_GAIN, FAILURE_TAU_MS)
        self.answered_at, self.answer_count = -math.inf, 0  # time of the last response, number of successes
        self.slow_start_credit, self.credit_updated_at = slow_start_credit, -1.0  # a send costs a credit of 1


class LoadBalancer:
    """Tracks the servers' membership, load and health, and chooses a server for each attempt."""

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        self.update_settings(settings)
        self._rng, self._servers = rng, dict[int, ServerState]()
        self._available: list[ServerState] = []  # servers that are up, by aperture rank
        self._mean_latency_ms = INITIAL_LATENCY_FRACTION * self._objective_ms
        self._sends = DecayingCount(SEND_RATE_TAU_MS)
        # EWMA over all servers of the latency in parts of the request's latency objective.
        self._relative_latency = INITIAL_LATENCY_FRACTION
        # Attempts in flight, and EWMA of the share of attempts whose connection failed.
        self._in_flight, self._connect_failure_rate = 0, 0.0
        self._extra_concurrency = SPARE_CONCURRENCY  # concurrency limit beyond this gateway's share

    def update_settings(self, settings: api.Settings) -> None:
        """Apply new settings; measured values stay."""
        self._settings = settings
        self._objective_ms = min((cls.latency_objective_ms for cls in settings.classes), default=SECOND_MS)

    def update_endpoints(self, event: api.EndpointList) -> None:
        """Apply an endpoint list: a complete one replaces the known servers, changes update them."""
        listed = {endpoint.id: endpoint for endpoint in event.servers}
        if event.scope in (api.ListScope.FULL, api.ListScope.CACHED):
            for key, server in self._servers.items():
                if key not in listed:
                    server.endpoint = replace(server.endpoint, state=api.EndpointState.GONE)
        for key, endpoint in listed.items():
            if (known := self._servers.get(key)) is None:
                self._servers[key] = ServerState(endpoint, self._rng.random(), self._rng.random())
            elif endpoint.started_ms > known.endpoint.started_ms:
                restarted = self._servers[key] = ServerState(
                    endpoint, known.aperture_rank, self._rng.random()
                )
                restarted.in_flight, restarted.base_latency = known.in_flight, known.base_latency
            else:
                known.endpoint = endpoint
        gone = api.EndpointState.GONE
        remaining = [
            candidate
            for candidate in self._servers.values()
            if candidate.in_flight or candidate.endpoint.state is not gone
        ]
        self._servers = {server.endpoint.id: server for server in remaining}
        self._available = [server for server in remaining if server.endpoint.state is api.EndpointState.UP]
        self._available.sort(key=lambda server: server.aperture_rank)

    def unavailable_server_count(self, now: float) -> int:
        """Number of listed servers that are draining or outliers."""
        gone, draining, limit = api.EndpointState.GONE, api.EndpointState.DRAINING, OUTLIER_FAILURE_RATE
        listed = [server for server in self._servers.values() if server.endpoint.state is not gone]
        return sum(entry.endpoint.state is draining or entry.failure_rate.at(now) > limit for entry in listed)

    def _demote(self, now: float, server: ServerState) -> None:
        """Move a server to a random rank behind the aperture: at the last rank no gateway would use it."""
        if self._available:
            max_rank = self._available[-1].aperture_rank + 1 / len(self._available)
            min_rank = self._available[
                min(int(self._aperture_size(now)), len(self._available) - 1)
            ].aperture_rank
            server.aperture_rank = min_rank + (max_rank - min_rank) * self._rng.random()
            self._available.sort(key=lambda server: server.aperture_rank)

    def _concurrency_share(self) -> float:
        """This gateway's share of the attempts in flight that the servers can handle from all gateways."""
        return INITIAL_SERVER_CONCURRENCY * len(self._available) / self._settings.gateway_count

    def _measurable_server_count(self, now: float) -> float:
        """Number of servers that this gateway's sends suffice to measure.

        The send rate is corrected for the short time since the first send.
        """
        age_ms = max(now - self._sends.first_at, SECOND_MS)
        rate = self._sends.at(now) / SEND_RATE_TAU_MS / (1 - math.exp(-age_ms / SEND_RATE_TAU_MS))
        return rate * QUEUE_TAU_OBJECTIVES * self._objective_ms / INFORMATIVE_SENDS

    def _aperture_size(self, now: float) -> float:
        """Number of servers in the aperture, which get this gateway's attempts.

        A server is measured well by a few gateways, instead of poorly by all.
        """
        return max(self._measurable_server_count(now), MIN_APERTURE_SIZE)

    def _sample_ratio(self, now: float) -> float:
        """Sends of this gateway to each server of the aperture, in multiples of INFORMATIVE_SENDS.

        The sends are those within QUEUE_TAU_OBJECTIVES.
        """
        measurable = self._measurable_server_count(now)
        return measurable / max(1, min(max(measurable, MIN_APERTURE_SIZE), len(self._available)))

    def _exploration_share(self, now: float) -> float:
        """Random part of the choice: 1 if nothing is known about the servers' queues."""
        return max(1 - self._sample_ratio(now), MIN_EXPLORATION_SHARE)

    def is_healthy(self, now: float) -> bool:
        """Whether responses are fast.

        The limit is lower if servers are chosen at random, as the mean then hides congested servers.
        """
        discount = EXPLORATION_HEALTHY_DISCOUNT * self._exploration_share(now)
        return self._relative_latency <= HEALTHY_LATENCY_FRACTION * (1 - discount)

    def is_half_open(self, now: float) -> bool:
        """Whether nothing was sent for so long that a trial has to show if the servers have recovered."""
        return now - self._sends.updated_at > HALF_OPEN_OBJECTIVES * self._objective_ms

    def is_saturated(self) -> bool:
        """Whether the concurrency limit is reached; its fractional part admits an attempt at random."""
        return self._rng.random() >= self._concurrency_share() + self._extra_concurrency - self._in_flight

    def _expected_latency(self, now: float, server: ServerState) -> tuple[float, float]:
        """Return the base latency and the queueing delay of a server, in ms.

        The delay decays with time; otherwise a past queue would exclude the server for good.
        """
        if not server.base_latency:
            size = max(server.endpoint.size, 0.1)
            return self._mean_latency_ms / size / self._warm_fraction(now, server), 0.0
        queue_ms = max(server.latency - server.base_latency, 0.0)
        tau_ms = max(QUEUE_TAU_OBJECTIVES * self._objective_ms, QUEUE_TAU_MULTIPLE * queue_ms)
        queue_ms *= math.exp((server.measured_at - now) / tau_ms)
        # An attempt in flight is a lower bound on the queueing delay, unless a later one has overtaken it.
        oldest_sent_at = min(
            (at for at in server.in_flight.values() if at >= server.newest_answered_at), default=now
        )
        return server.base_latency, max(queue_ms, now - oldest_sent_at - server.base_latency)

    def silence_timeout(self, now: float, server_id: int, objective_ms: float) -> float:
        """Return after how many ms without a response a server is silent; longer with fewer samples."""
        multiple = SILENCE_LATENCY_MULTIPLE * (1 + INFORMATIVE_SENDS / max(self._sample_ratio(now), 1.0))
        expected_ms = sum(self._expected_latency(now, self._servers[server_id]))
        expected_ms = max(expected_ms, SILENCE_POOL_FRACTION * self._relative_latency * objective_ms)
        return max(multiple * expected_ms, SILENCE_OBJECTIVE_FRACTION * objective_ms)

    def _warm_fraction(self, now: float, server: ServerState) -> float:
        """Return the fraction of its full capacity that a server has at least at this time."""
        started_ms, slow_start_ms = server.endpoint.started_ms, self._settings.slow_start_ms
        age_ms = max(now - started_ms, 0.0)  # the start is read from another clock and may lie in the future
        if started_ms <= 0 or age_ms >= slow_start_ms:
            return 1.0
        initial_fraction = self._settings.slow_start_fraction
        return max(initial_fraction + (1 - initial_fraction) * age_ms / slow_start_ms, 0.01)

    def _has_credit(self, now: float, server: ServerState, usual_rate: float) -> bool:
        """Whether a server is warm or has credit for a send; few gateways have credit at the same time."""
        settings, fraction = self._settings, self._warm_fraction(now, server)
        if fraction >= 1.0:
            return True
        window_ms = max(settings.overload_window_ms, SECOND_MS)
        min_rate = 1 / window_ms / settings.gateway_count  # one send per window of all gateways together
        rate = max(SLOW_START_SAFETY * settings.overload_multiple * fraction * usual_rate, min_rate)
        elapsed_ms = now - server.credit_updated_at if server.credit_updated_at >= 0 else 0.0
        credit = server.slow_start_credit + rate * elapsed_ms
        server.slow_start_credit = credit if credit <= 1 + min(rate * window_ms, 1.0) else credit % 1
        server.credit_updated_at = now
        return server.slow_start_credit >= 1

    def choose(self, now: float, allowed: api.ServerFilter, tried: list[int]) -> api.ServerChoice | None:
        """Return the server of the lowest cost and its expected latency; None if no server may be used.

        Aperture: if hundreds of gateways each use all servers, none has enough samples of any server.  So
        each gateway uses a few servers, in its own random order, and demotes outliers.  Exploration and
        rotation keep the gateways from all using the same servers.
        """
        best: tuple[float, ServerState, float] | None = None
        zone, next_random = self._settings.zone, self._rng.random
        places_left, exploration = self._aperture_size(now), self._exploration_share(now)
        fractions = [self._warm_fraction(now, server) for server in self._available]
        # Fraction of the warm servers in the aperture; servers without credit take no place in it.
        used = min(places_left / max(fractions.count(1.0), 1), 1.0)
        targets = max(1.0, min(places_left, sum(fractions)), used * MIN_WARM_FRACTION * len(fractions))
        usual_rate = self._sends.at(now) / SEND_RATE_TAU_MS / targets
        for server in self._available:
            endpoint = server.endpoint
            if (allowed and not allowed(endpoint)) or not self._has_credit(now, server, usual_rate):
                continue
            if places_left <= 0:
                break
            places_left -= 1
            base_ms, queue_ms = self._expected_latency(now, server)
            failure_cost = 1 + FAILURE_COST_MULTIPLE * server.failure_rate.at(now)
            # A server with an estimated queue gets a trial after one objective without a send, or later if
            # its attempts fail.
            if server.latency_is_estimate and now - server.last_sent_at >= self._objective_ms * failure_cost:
                queue_ms = 0.0
            # Cancels the warm fraction in the expected latency: in slow start, the credit limits the sends.
            fraction = 1.0 if server.base_latency else self._warm_fraction(now, server)
            cost = (base_ms * fraction * (1 + len(server.in_flight)) + queue_ms) * failure_cost
            cost *= (-math.log(1 - next_random())) ** exploration
            cost *= CROSS_ZONE_COST_MULTIPLE if endpoint.zone != zone else 1.0
            cost *= FAILURE_COST_MULTIPLE if endpoint.id in tried else 1.0
            # If the servers' connection tables are full, a gateway stays with the servers that it is
            # connected to.
            if now - server.answered_at >= CONNECTION_IDLE_MS:
                cost *= 1 + self._connect_failure_rate * len(self._available)
            if best is None or cost < best[0]:
                best = cost, server, base_ms + queue_ms
        if places_left <= 0 and next_random() < ROTATION_PROBABILITY:
            self._demote(now, self._available[0])
        return None if best is None else (best[1].endpoint, best[2])

    def is_trial_due(self, now: float, server_id: int) -> bool:
        """Whether a server with too long an expected latency gets a trial, which can correct the estimate."""
        return now - self._servers[server_id].last_sent_at >= self._objective_ms

    def record_send(self, now: float, server_id: int, key: tuple[str, int]) -> None:
        """Count an attempt as in flight."""
        server = self._servers[server_id]
        server.in_flight[key] = server.last_sent_at = now
        self._in_flight += 1
        self._sends.add(now)
        server.slow_start_credit = max(server.slow_start_credit - 1, 0.0)

    def record_response_start(self, server_id: int, key: tuple[str, int]) -> None:
        """Stop counting an attempt as in flight when its streamed response begins.

        The rest of the response indicates no queue and does not count against the concurrency limit.
        """
        self._in_flight -= 1
        self._servers[server_id].in_flight.pop(key)

    def record_outcome(self, now: float, event: api.AttemptOutcome, objective_ms: float) -> None:
        """Update the estimates by the outcome of an attempt."""
        server, verdict, key = self._servers.get(event.server), event.verdict, (event.id, event.attempt)
        if server is None:
            return
        self._in_flight -= key in server.in_flight  # absent if its streamed response had begun
        sent_at = server.in_flight.pop(key, now)
        connect_failed = verdict is api.Verdict.CONNECT_FAILED
        self._connect_failure_rate += POOL_GAIN * (connect_failed - self._connect_failure_rate)
        if verdict in (api.Verdict.OK, api.Verdict.ERROR, api.Verdict.QUEUE_FULL):
            server.answered_at = now
            server.newest_answered_at = max(server.newest_answered_at, sent_at)
        if verdict is api.Verdict.OK:
            self._record_latency(now, server, event.rtt_ms, objective_ms)
        elif verdict is api.Verdict.QUEUE_FULL:
            # A full server responds at once; without this it would look fast and attract traffic.
            self._record_congestion(now, server, self._objective_ms)
        elif verdict is api.Verdict.TIMEOUT:
            if not self.is_healthy(now):
                relative_latency = min(event.rtt_ms / objective_ms, 1.0)
                self._relative_latency += POOL_GAIN * (relative_latency - self._relative_latency)
                share = self._concurrency_share()
                self._extra_concurrency = max((self._extra_concurrency - share) / 2, -share / 2)
            # If a later attempt got a response, this one was lost on its way and did not wait in a queue.
            if sent_at >= server.newest_answered_at:
                self._record_congestion(now, server, event.rtt_ms)
        if verdict not in (api.Verdict.NOT_SENT, api.Verdict.CANCELLED):
            self._record_result(now, server, verdict is not api.Verdict.OK)

    def _record_result(self, now: float, server: ServerState, failed: bool) -> None:
        server.failure_rate.add(now, failed)
        if failed:
            self._demote(now, server)

    def _record_latency(self, now: float, server: ServerState, rtt_ms: float, objective_ms: float) -> None:
        """Update the latencies and the concurrency limit by a successful response.

        The limit follows additive increase, additive decrease.
        """
        if not server.base_latency:
            server.base_latency = server.latency = self._mean_latency_ms / max(server.endpoint.size, 0.1)
        gain = BASE_LATENCY_GAIN_DOWN if rtt_ms < server.base_latency else BASE_LATENCY_GAIN_UP
        gain = max(gain, 1 / (server.answer_count + BASE_LATENCY_PRIOR_RESPONSES))
        server.base_latency += gain * (rtt_ms - server.base_latency)
        server.answer_count += 1
        # A measurement replaces an estimate: with an average, a seldom used server would stay excluded.
        server.latency += (1.0 if server.latency_is_estimate else LATENCY_GAIN) * (rtt_ms - server.latency)
        server.latency_is_estimate, server.measured_at = False, now
        self._relative_latency += POOL_GAIN * (min(rtt_ms / objective_ms, 1.0) - self._relative_latency)
        limit = self._concurrency_share() + self._extra_concurrency
        if not self.is_healthy(now):
            decreased = self._extra_concurrency - CONCURRENCY_DECREASE
            self._extra_concurrency = max(decreased, -self._concurrency_share() / 2)
        elif self._in_flight + 1 >= limit:  # fast responses at the limit show that the servers can handle it
            self._extra_concurrency += 1 / max(limit, 1.0)
        elif self._extra_concurrency < SPARE_CONCURRENCY:  # recovery from decreases by slow responses
            self._extra_concurrency += CONCURRENCY_RECOVERY
        gain = (BASE_LATENCY_GAIN_DOWN if rtt_ms < self._mean_latency_ms else BASE_LATENCY_GAIN_UP) / 2
        self._mean_latency_ms += gain * (rtt_ms - self._mean_latency_ms)

    def detect_silence(self, now: float, server_id: int, key: tuple[str, int], timeout_ms: float) -> bool:
        """Record a failure if a server did not respond in time; return whether to cancel the attempt.

        While responses are slow everywhere, the attempt is not cancelled.
        """
        server = self._servers.get(server_id)
        if server is None or key not in server.in_flight or now - server.answered_at < timeout_ms:
            return False
        self._record_congestion(now, server, now - server.in_flight[key])
        self._record_result(now, server, True)
        return self.is_healthy(now)

    def _record_congestion(self, now: float, server: ServerState, waited_ms: float) -> None:
        """Raise a server's latency to the time that an attempt waited without a response.

        The queue is at least that long, and abandoned attempts may still be in it.
        """
        if waited_ms >= server.latency:
            server.latency, server.latency_is_estimate = waited_ms, True
        server.measured_at = now
