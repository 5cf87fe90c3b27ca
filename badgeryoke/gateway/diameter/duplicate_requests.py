"""Which credit-control requests were seen, so that one sent again is answered once and charged once."""

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
    """What a retransmission repeats unchanged: RFC 6733's Origin-Host and End-to-End Id, RFC 8506's Session-Id and
    CC-Request-Number."""

    origin_host: str
    end_to_end_id: int
    session_id: str
    request_number: int

    def key(self) -> str:
        """The key for servers: derived from the identity alone, so that every gateway derives the same."""
        parts = (self.origin_host, str(self.end_to_end_id), self.session_id, str(self.request_number))
        whole = b"".join(b"%d:%b" % (len(part.encode()), part.encode()) for part in parts)
        return hashlib.sha256(whole).hexdigest()[:16]


@dataclass(slots=True)
class Entry:
    """One request: running, with those who wait for its answer, or answered."""

    identity: RequestIdentity
    waiting: list[Callable[[Response], None]] = field(default_factory=list)
    answer: Response | None = None


class _Conflicting:
    """Stands for two different requests."""


class DuplicateRequests:
    """The requests of the last minutes, found by either half of their identity."""

    CONFLICTING = _Conflicting()

    def __init__(self, keep_s: float, now: Callable[[], float], most: int = MAX_REQUESTS) -> None:
        self._keep_s, self._now, self._most = keep_s, now, most
        self._by_host: dict[tuple[str, int], Entry] = {}
        self._by_session: dict[tuple[str, str, int], Entry] = {}
        self._ended: deque[tuple[float, Entry]] = deque()
        self._bytes = 0  # of the cached values

    def find(self, identity: RequestIdentity) -> Entry | _Conflicting | None:
        """The request that this one repeats; None for a new one; MIXED where the halves do not agree, as when
        a client gives one CC-Request-Number to two requests."""
        self._forget()
        by_host = self._by_host.get((identity.origin_host, identity.end_to_end_id))
        by_session = self._by_session.get(
            (identity.origin_host, identity.session_id, identity.request_number)
        )
        if by_host is None and by_session is None:
            return None
        return by_host if by_host is by_session and by_host is not None else self.CONFLICTING

    def begin(self, identity: RequestIdentity) -> Entry | None:
        """Remember a new request; None where a limit is reached."""
        if len(self._by_host) >= self._most or self._bytes >= MAX_VALUE_BYTES:
            return None
        entry = Entry(identity)
        self._by_host[identity.origin_host, identity.end_to_end_id] = entry
        self._by_session[identity.origin_host, identity.session_id, identity.request_number] = entry
        return entry

    def end(self, entry: Entry, answer: Response, keep: bool) -> None:
        """Keep the answer for those who repeat it, or forget a request that never ran."""
        entry.answer = answer
        waiting, entry.waiting = entry.waiting, []
        if keep:
            self._bytes += _size(answer)
            self._ended.append((self._now() + self._keep_s, entry))
        else:
            self._drop(entry)
        for give in waiting:
            give(answer)

    def _forget(self) -> None:
        now = self._now()
        while self._ended and self._ended[0][0] <= now:
            entry = self._ended.popleft()[1]
            self._bytes -= _size(entry.answer)
            self._drop(entry)

    def _drop(self, entry: Entry) -> None:
        identity = entry.identity
        self._by_host.pop((identity.origin_host, identity.end_to_end_id), None)
        self._by_session.pop((identity.origin_host, identity.session_id, identity.request_number), None)


def _size(answer: Response | None) -> int:
    return len(answer.value) if isinstance(answer, Served) else 0
