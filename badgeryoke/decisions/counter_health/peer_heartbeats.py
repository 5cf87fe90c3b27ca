"""The failure detector: counts the missed heartbeats of each neighbour gateway.

The only evidence that another gateway is alive is that its digit in the presence register still grows.
"""

from __future__ import annotations

import math

from badgeryoke.decisions.counter_health.presence_register import (
    GATEWAYS_PER_REGISTER,
    HEARTBEAT_INTERVAL_MS,
    REGISTER_PERIOD_MS,
    neighbour_gateways,
)

MAX_NEIGHBOUR_DISTANCE = 3  # a customer's gateway set spans no more than four gateways
SUSPECT_HEARTBEATS = 0.9  # missed heartbeats after which a gateway is suspected
HIDDEN_HEARTBEATS = 1.9  # missed heartbeats after which it is reported as hidden
SLOW_COUNTER_HEARTBEATS = 8.0  # replaces both while the counter is slow, as calls are late and fewer are made


class PeerHeartbeats:
    """The last heartbeats of other gateways that this gateway has read."""

    def __init__(self, gateway_index: int, gateway_count: int) -> None:
        self.gateway_index, self.gateway_count = gateway_index, gateway_count
        self.neighbours = neighbour_gateways(
            gateway_index, gateway_count, min(MAX_NEIGHBOUR_DISTANCE, gateway_count - 1)
        )
        self.group = gateway_index // GATEWAYS_PER_REGISTER
        other_groups = sorted({number // GATEWAYS_PER_REGISTER for number in self.neighbours} - {self.group})
        # With neighbours in other groups, every second reading is of the own group's register.
        self.group_rotation: tuple[int, ...] = tuple(
            group for other_group in other_groups for group in (self.group, other_group)
        ) or (self.group,)
        self.heartbeats_per_reading = {
            gateway: self._reading_interval(gateway) for gateway in self.neighbours
        }
        self.started_at = math.nan
        self.known_gateways: dict[int, bool] = {}  # gateways that have been alive at some time
        self._digits: dict[int, int] = {}  # by gateway: the digit last read
        self._digit_periods: dict[int, int] = {}  # by gateway: the period in which it was read
        self._read_at: dict[int, float] = {}  # by group: when its register was last read
        self._last_heartbeat_at: dict[int, float] = {}  # by gateway: when its digit was last read as grown

    def _reading_interval(self, gateway: int) -> float:
        """The heartbeat intervals between two heartbeats of a gateway or two readings of them, whichever is longer."""
        rotation = len(self.group_rotation)
        readings = rotation if gateway // GATEWAYS_PER_REGISTER != self.group else min(rotation, 2)
        return max(1.0 if self.gateway_count <= GATEWAYS_PER_REGISTER else 2.0, float(readings))

    def record_reading(self, now: float, group: int) -> None:
        """Record that a group's register of the present period was read."""
        self._read_at[group] = now

    def record_members(self, group: int, digits: tuple[int, ...]) -> None:
        """Record the gateways that a membership register shows to have been alive."""
        for index, digit in enumerate(digits[:GATEWAYS_PER_REGISTER]):
            if digit:
                self.known_gateways[group * GATEWAYS_PER_REGISTER + index] = True

    def record_digits(self, now: float, group: int, period: int, digits: tuple[int, ...]) -> None:
        """Record the digits of a heartbeat register."""
        for index, digit in enumerate(digits[:GATEWAYS_PER_REGISTER]):
            gateway = group * GATEWAYS_PER_REGISTER + index
            if gateway == self.gateway_index or gateway >= self.gateway_count or not digit:
                continue
            self.known_gateways[gateway] = True
            last_period = self._digit_periods.get(gateway, -1)
            if gateway not in self._last_heartbeat_at:  # its digit may have stopped growing long ago
                self._last_heartbeat_at[gateway] = self.started_at
            elif period > last_period or (period == last_period and digit != self._digits[gateway]):
                self._last_heartbeat_at[gateway] = now
            if period >= last_period:
                self._digits[gateway], self._digit_periods[gateway] = digit, period

    def missed_heartbeats(self, now: float, gateway: int) -> float:
        """The number of missed heartbeats of a gateway; 0 where it was never alive."""
        if not self.known_gateways.get(gateway):
            return 0.0
        now = self._read_at.get(gateway // GATEWAYS_PER_REGISTER, now)
        last_heartbeat_at = self._last_heartbeat_at.get(gateway)
        if last_heartbeat_at is None:
            return math.inf
        interval_ms = HEARTBEAT_INTERVAL_MS * self.heartbeats_per_reading[gateway]
        period_start = math.floor(now / REGISTER_PERIOD_MS) * REGISTER_PERIOD_MS
        if period_start - 1.5 * interval_ms <= last_heartbeat_at < period_start and (
            now - period_start < interval_ms
        ):
            return 0.0  # a new period's register starts at 0: the gateway has one interval for its first heartbeat
        return (now - last_heartbeat_at) / interval_ms

    def find_hidden(
        self, now: float, is_slow: bool, unreachable_at: float
    ) -> tuple[frozenset[int], tuple[int, ...]]:
        """The neighbours that are suspected, and those that are reported as hidden.

        `unreachable_at`: when the counter was last unreachable; neighbours get time after that to send again.
        """
        suspect_after = SLOW_COUNTER_HEARTBEATS if is_slow else SUSPECT_HEARTBEATS
        hidden_after = SLOW_COUNTER_HEARTBEATS if is_slow else HIDDEN_HEARTBEATS
        missed = {gateway: self.missed_heartbeats(now, gateway) for gateway in self.neighbours}
        since_reachable = (now - unreachable_at) / HEARTBEAT_INTERVAL_MS
        suspected = frozenset(gateway for gateway in self.neighbours if missed[gateway] >= suspect_after)
        hidden = tuple(
            gateway
            for gateway in self.neighbours
            if missed[gateway] >= hidden_after
            and since_reachable >= (hidden_after + 1.0) * self.heartbeats_per_reading[gateway]
        )
        return suspected, hidden

    def known_neighbour_count(self) -> int:
        """The number of neighbours that have been alive at some time."""
        return sum(bool(self.known_gateways.get(gateway)) for gateway in self.neighbours)

    def last_heartbeat_at(self, gateway: int, default: float) -> float:
        """When a gateway's digit was last read as grown; `default` where it was never read."""
        return self._last_heartbeat_at.get(gateway, default)

    def expire_all(self) -> None:
        """Discard all heartbeats so far as evidence that gateways are visible."""
        self._last_heartbeat_at.update(dict.fromkeys(self._last_heartbeat_at, -math.inf))

    def all_visible_until(self, now: float, first_gateway: int, gateway_set_size: int) -> float:
        """The last time at which all others of a gateway set were known to use the same counter as this one: the
        earliest of their last heartbeats, less one reading interval.  `now` where none was ever alive."""
        visible_until = now
        for gateway in self.neighbours:  # at most six, however large the set is
            in_set = (gateway - first_gateway) % self.gateway_count < gateway_set_size
            if in_set and self.known_gateways.get(gateway):
                last = self._last_heartbeat_at.get(gateway, self.started_at)
                visible_until = min(
                    visible_until, last - self.heartbeats_per_reading[gateway] * HEARTBEAT_INTERVAL_MS
                )
        return visible_until
