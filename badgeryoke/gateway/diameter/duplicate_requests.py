"""Detects duplicate credit-control requests, so that a retransmission is not charged again."""

from __future__ import annotations

import hashlib
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from badgeryoke.gateway.diameter.codec import Fault
from badgeryoke.gateway.pending_request import PendingRequest
from badgeryoke.gateway.responses import Response, Served

# At either limit, new requests are rejected until entries expire.
MAX_REQUESTS = 50_000
MAX_VALUE_BYTES = 16 * 1024 * 1024  # size of all cached values together


@dataclass(frozen=True, slots=True)
class RequestIdentity:
    """The identifiers that are the same in a request and its retransmissions.

    RFC 6733 uses Origin-Host and End-to-End Identifier, RFC 8506 Session-Id and CC-Request-Number.
    """

    origin_host: str
    end_to_end_id: int
    session_id: str
    request_number: int

    def idempotency_key(self) -> str:
        """The idempotency key for servers; every gateway derives the same one, as it depends on the identity alone."""
        parts = (self.origin_host, str(self.end_to_end_id), self.session_id, str(self.request_number))
        serialized = b"".join(b"%d:%b" % (len(part.encode()), part.encode()) for part in parts)
        return hashlib.sha256(serialized).hexdigest()[:16]


@dataclass(frozen=True, slots=True)
class Waiter:
    """Who waits for an answer: the client's connection, and the function to call."""

    client: object
    reply: Callable[[Response | Fault], None]


@dataclass(slots=True)
class Entry:
    """A request, either in flight with those who wait for its answer, or answered."""

    identity: RequestIdentity
    waiting: list[Waiter] = field(default_factory=list)
    pending: PendingRequest | None = None  # set once it is submitted
    answer: Response | None = None


class _Conflicting:
    """The type of CONFLICTING."""


class DuplicateRequests:
    """The recent requests, indexed by End-to-End Identifier and by Session-Id with CC-Request-Number."""

    CONFLICTING = _Conflicting()  # the identifiers match those of different requests

    def __init__(
        self, retention_s: float, now: Callable[[], float], max_requests: int = MAX_REQUESTS
    ) -> None:
        self._retention_s, self._now, self._max_requests = retention_s, now, max_requests
        self._by_end_to_end_id: dict[tuple[str, int], Entry] = {}
        self._by_session: dict[tuple[str, str, int], Entry] = {}
        self._answered: deque[tuple[float, Entry]] = deque()  # time of expiry and entry, oldest first
        self._value_bytes = 0  # total size of the cached values

    def find(self, identity: RequestIdentity) -> Entry | _Conflicting | None:
        """Return the earlier request with this identity; None for a new request.

        CONFLICTING if only some of the identifiers match a request, for example if a client uses one
        CC-Request-Number for two requests.
        """
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
        """Record a new request as in flight; return None if a limit is reached."""
        if len(self._by_end_to_end_id) >= self._max_requests or self._value_bytes >= MAX_VALUE_BYTES:
            return None
        entry = Entry(identity)
        self._by_end_to_end_id[identity.origin_host, identity.end_to_end_id] = entry
        self._by_session[identity.origin_host, identity.session_id, identity.request_number] = entry
        return entry

    def end(self, entry: Entry, answer: Response, keep: bool) -> None:
        """Answer all who wait; cache the answer for retransmissions if `keep`, else remove the request."""
        entry.answer = answer
        waiting, entry.waiting = entry.waiting, []
        if keep:
            self._value_bytes += _value_size(answer)
            self._answered.append((self._now() + self._retention_s, entry))
        else:
            self._remove(entry)
        for waiter in waiting:
            waiter.reply(answer)

    def _expire(self) -> None:
        now = self._now()
        while self._answered and self._answered[0][0] <= now:
            entry = self._answered.popleft()[1]
            self._value_bytes -= _value_size(entry.answer)
            self._remove(entry)

    def _remove(self, entry: Entry) -> None:
        identity = entry.identity
        self._by_end_to_end_id.pop((identity.origin_host, identity.end_to_end_id), None)
        self._by_session.pop((identity.origin_host, identity.session_id, identity.request_number), None)


def _value_size(answer: Response | None) -> int:
    return len(answer.value) if isinstance(answer, Served) else 0
