"""The rate of clients' requests, which distinguishes a dead gateway from a partitioned one.

The clients of a dead gateway move to the remaining gateways; those of a gateway on the other side of a partition
stay with it.
"""

from __future__ import annotations

from collections import deque

# Fractions of the growth in requests that a dead gateway's clients would cause.
CLIENTS_MOVED_FRACTION = 0.7  # above this, hidden gateways are presumed dead
CLIENTS_STAYED_FRACTION = 0.3  # below this, they are presumed partitioned
REQUEST_SAMPLE_MS = 1000.0  # the length of one sample
MAX_REQUEST_SAMPLES = 40
RECENT_REQUEST_SAMPLES = 12  # samples that the present rate is the mean of
MIN_REQUEST_RATE = 20.0  # requests per second; below it the rate is too noisy for a decision


class RequestRateMonitor:
    """Samples the rate of requests before and while gateways are hidden."""

    def __init__(self) -> None:
        self._samples: deque[int] = deque(maxlen=MAX_REQUEST_SAMPLES)
        self._request_count = 0  # requests in the present sample
        self._sample_number = -1
        self._usual_rate = 0.0  # requests per second before gateways became hidden

    def request_arrived(self) -> None:
        """Count one request."""
        self._request_count += 1

    def sample(self, now: float) -> None:
        """Close the present sample if its time is over."""
        number = int(now // REQUEST_SAMPLE_MS)
        if self._sample_number < 0:
            self._sample_number = number
        if number != self._sample_number:
            self._samples.append(int(self._request_count / max(number - self._sample_number, 1)))
            self._sample_number, self._request_count = number, 0

    def set_usual_rate(self) -> None:
        """Record the usual rate, when gateways have just been detected as hidden."""
        samples = list(self._samples)[:-2] or [
            0
        ]  # the last two may be from after the gateways' last heartbeats
        self._usual_rate = sum(samples) / len(samples) * 1000.0 / REQUEST_SAMPLE_MS

    def clients_moved(self, hidden_count: int, known_count: int) -> float:
        """The growth in requests, as a fraction of what the hidden gateways' clients would cause; a value between
        the two thresholds where there are too few requests for a decision."""
        recent = list(self._samples)[-RECENT_REQUEST_SAMPLES:]
        rate = sum(recent) / max(len(recent), 1) * 1000.0 / REQUEST_SAMPLE_MS
        if min(rate, self._usual_rate) < MIN_REQUEST_RATE:
            return (CLIENTS_MOVED_FRACTION + CLIENTS_STAYED_FRACTION) / 2
        expected = self._usual_rate * hidden_count / max(known_count + 1 - hidden_count, 1)
        return (rate - self._usual_rate) / expected
