"""The rate of clients' requests, which tells a dead gateway from a partitioned one.

The clients of a dead gateway move to the gateways that are left; those of a gateway on the other side of a
partition stay with it.
"""

from __future__ import annotations

from collections import deque

CLIENTS_MOVED_FRACTION = 0.7  # of the growth that a dead gateway's clients would bring: dead above it, ...
CLIENTS_STAYED_FRACTION = 0.3  # ... and partitioned below this
REQUEST_SAMPLE_MS = 1000.0  # the length of one sample
MAX_REQUEST_SAMPLES = 40
RECENT_REQUEST_SAMPLES = 12  # the samples that make up the present rate
MIN_REQUEST_RATE = 20.0  # per second: below it the rate is too noisy to decide by


class RequestRateMonitor:
    """Samples the rate of requests before and during a gateway's silence."""

    def __init__(self) -> None:
        self._samples: deque[int] = deque(maxlen=MAX_REQUEST_SAMPLES)
        self._request_count = 0  # in the present sample
        self._sample_number = -1
        self._usual_rate = 0.0  # requests per second before the present silence

    def request_arrived(self) -> None:
        """Count one request."""
        self._request_count += 1

    def sample(self, now: float) -> None:
        """Close the present sample where its time is over."""
        number = int(now // REQUEST_SAMPLE_MS)
        if self._sample_number < 0:
            self._sample_number = number
        if number != self._sample_number:
            self._samples.append(int(self._request_count / max(number - self._sample_number, 1)))
            self._sample_number, self._request_count = number, 0

    def mark_silence(self) -> None:
        """Keep the rate before a silence that has just been noticed."""
        samples = list(self._samples)[:-2] or [0]  # the last two may lie within the silence
        self._usual_rate = sum(samples) / len(samples) * 1000.0 / REQUEST_SAMPLE_MS

    def clients_moved(self, hidden_count: int, known_count: int) -> float:
        """How much of the growth that the hidden gateways' clients would bring has come; a value between the
        two thresholds where there are too few requests to decide."""
        recent = list(self._samples)[-RECENT_REQUEST_SAMPLES:]
        rate = sum(recent) / max(len(recent), 1) * 1000.0 / REQUEST_SAMPLE_MS
        if min(rate, self._usual_rate) < MIN_REQUEST_RATE:
            return (CLIENTS_MOVED_FRACTION + CLIENTS_STAYED_FRACTION) / 2
        expected = self._usual_rate * hidden_count / max(known_count + 1 - hidden_count, 1)
        return (rate - self._usual_rate) / expected
