"""Allocates the End-to-End Identifiers of the requests that this gateway sends (RFC 6733, section 3).  No I/O.

A server drops a request as a duplicate by Origin-Host and End-to-End Identifier, and answers it with the result of the
first one.  So two requests must not share an identifier, and the repeats of one request must have the same.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable
from typing import Generic, TypeVar

K = TypeVar("K")

RETENTION_S = 240.0  # RFC 6733 asks for at least four minutes of uniqueness
# What is remembered at most; beyond it, what was used longest ago is forgotten.
MAX_KEYS, MAX_REQUESTS = 16_384, 4096
MAX_PROBES = 8  # identifiers looked at for a key; by chance hardly ever more than two keys share a checksum
KEYED_MASK = 0x7FFFFFFF  # identifiers without the top bit belong to idempotency keys
COUNTED_BIT = 0x80000000  # the others to requests without a key
# Counted identifiers begin at the time of the start, so that a restarted process does not repeat those of its
# predecessor: the counter has to advance by less than a million a second.
SECONDS_SHIFT, SECONDS_MASK = 20, 0x7FF


class _RecentlyUsed(Generic[K]):
    """A bounded table that forgets what was not used for the retention time, or longest."""

    def __init__(self, now: Callable[[], float], max_entries: int) -> None:
        self._now, self._max_recent = now, max_entries // 2
        self._recent: dict[K, int] = {}  # used since the last turnover
        self._older: dict[K, int] = {}  # used before it
        self._turnover_s = now()

    def get(self, key: K) -> int | None:
        return self._recent.get(key, self._older.get(key))

    def use(self, key: K, value: int) -> None:
        now = self._now()
        if now - self._turnover_s >= RETENTION_S or len(self._recent) >= self._max_recent:
            self._older, self._recent, self._turnover_s = self._recent, {}, now
        self._older.pop(key, None)
        self._recent[key] = value

    def __len__(self) -> int:
        return len(self._recent) + len(self._older)


class EndToEndIds:
    """The identifiers in use, on the connections to all servers together.

    now: a monotonic clock, s.
    started_s: the Unix time of the start, s.
    """

    def __init__(self, now: Callable[[], float], started_s: int) -> None:
        self._last_counted = (started_s & SECONDS_MASK) << SECONDS_SHIFT
        self._key_hashes = _RecentlyUsed[int](now, MAX_KEYS)  # by identifier
        self._counted = _RecentlyUsed[str](now, MAX_REQUESTS)  # identifiers by request

    def of_request(self, request_id: str) -> int:
        """Return the identifier of a request without an idempotency key, the same for each of its attempts."""
        identifier = self._counted.get(request_id)
        if identifier is None:
            self._last_counted = (self._last_counted + 1) & KEYED_MASK
            identifier = COUNTED_BIT | self._last_counted
        self._counted.use(request_id, identifier)
        return identifier

    def of_key(self, key: str) -> int | None:
        """Return the identifier of an idempotency key, the same for each of its requests; None if none is free.

        It depends on the key alone, so that it is the same after a restart, unless another key has it already.
        """
        key_hash = hash(key)
        first = zlib.crc32(key.encode())
        candidates = [(first + step) & KEYED_MASK for step in range(MAX_PROBES)]
        owners = [self._key_hashes.get(candidate) for candidate in candidates]
        # Its own identifier first: the key that had the one before may be forgotten by now.
        wanted = key_hash if key_hash in owners else None
        if wanted not in owners:
            return None
        identifier = candidates[owners.index(wanted)]
        self._key_hashes.use(identifier, key_hash)
        return identifier
