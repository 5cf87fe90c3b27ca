"""Detects duplicate credit-control requests, so that a retransmission is not charged again."""

from __future__ import annotations

import hashlib
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from badgeryoke.gateway.responses import Response, Served

# Limits of the register; while no entry may expire yet, new requests are rejected.
MAX_REQUESTS = 50_000
MAX_VALUE_BYTES = 16 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class RequestIdentity:
    """The identifiers that a retransmission repeats unchanged.

    RFC 6733: Origin-Host and End-to-End Identifier; RFC 8506: Session-Id and CC-Request-Number.
    """

    origin_host: str
    end_to_end_id: int
    session_id: str
    request_number: int

    def idempotency_key(self) -> str:
        """The idempotency key for servers: derived from the identity alone, so that every gateway derives the same."""
        parts = (self.origin_host, str(self.end_to_end_id), self.session_id, str(self.request_number))
        serialized = b"".join(b"%d:%b" % (len(part.encode()), part.encode()) for part in parts)
        return hashlib.sha256(serialized).hexdigest()[:16]


@dataclass(slots=True)
class Entry:
    """One request: in flight, with the callbacks that wait for its answer, or answered."""

    identity: RequestIdentity
    waiting: list[Callable[[Response], None]] = field(default_factory=list)
    answer: Response | None = None


class _Conflicting:
    """The type of a result that stands for two different requests."""


class DuplicateRequests:
    """The recent requests, indexed by both pairs of identifiers."""

    CONFLICTING = _Conflicting()

    def __init__(
        self, retention_s: float, now: Callable[[], float], max_requests: int = MAX_REQUESTS
    ) -> None:
        self._retention_s, self._now, self._max_requests = retention_s, now, max_requests
        self._by_end_to_end_id: dict[tuple[str, int], Entry] = {}
        self._by_session: dict[tuple[str, str, int], Entry] = {}
        self._answered: deque[tuple[float, Entry]] = deque()
        self._value_bytes = 0  # of the cached values

    def find(self, identity: RequestIdentity) -> Entry | _Conflicting | None:
        """The request that this one repeats; None for a new one; CONFLICTING where the halves do not agree, as when
        a client gives one CC-Request-Number to two requests."""
        self._expire()
        by_end_to_end_id = self._by_end_to_end_id.get((identity.origin_host, identity.end_to_end_id))
        by_session = self._by_session.get(
            (identity.origin_host, identity.session_id, identity.request_number)
        )
        if by_end_to_end_id is None and by_session is None:
            return None
        return (
            by_end_to_end_id
            if by_end_to_end_id is by_session and by_end_to_end_id is not None
            else self.CONFLICTING
        )

    def begin(self, identity: RequestIdentity) -> Entry | None:
        """Remember a new request; None where a limit is reached."""
        if len(self._by_end_to_end_id) >= self._max_requests or self._value_bytes >= MAX_VALUE_BYTES:
            return None
        entry = Entry(identity)
        self._by_end_to_end_id[identity.origin_host, identity.end_to_end_id] = entry
        self._by_session[identity.origin_host, identity.session_id, identity.request_number] = entry
        return entry

    def end(self, entry: Entry, answer: Response, keep: bool) -> None:
        """Cache the answer for retransmissions, or remove a request that never ran."""
        entry.answer = answer
        waiting, entry.waiting = entry.waiting, []
        if keep:
            self._value_bytes += _size(answer)
            self._answered.append((self._now() + self._retention_s, entry))
        else:
            self._remove(entry)
        for reply in waiting:
            reply(answer)

    def _expire(self) -> None:
        now = self._now()
        while self._answered and self._answered[0][0] <= now:
            entry = self._answered.popleft()[1]
            self._value_bytes -= _size(entry.answer)
            self._remove(entry)

    def _remove(self, entry: Entry) -> None:
        identity = entry.identity
        self._by_end_to_end_id.pop((identity.origin_host, identity.end_to_end_id), None)
        self._by_session.pop((identity.origin_host, identity.session_id, identity.request_number), None)


def _size(answer: Response | None) -> int:
    return len(answer.value) if isinstance(answer, Served) else 0
