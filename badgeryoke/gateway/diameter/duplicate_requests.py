"""Which credit-control requests were seen, so that one sent again is answered once and charged once."""

from __future__ import annotations

import hashlib
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from badgeryoke.gateway.responses import Response, Served

# What is remembered at most; where none of it may be forgotten yet, new requests are refused.
MOST = 50_000
MOST_BYTES = 16 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class RequestIdentity:
    """What a client repeats unchanged: RFC 6733's Origin-Host and End-to-End Id, RFC 8506's Session-Id and
    CC-Request-Number."""

    origin_host: str
    end_to_end: int
    session: str
    number: int

    def key(self) -> str:
        """The key for servers: derived from the identity alone, so that every gateway derives the same."""
        parts = (self.origin_host, str(self.end_to_end), self.session, str(self.number))
        whole = b"".join(b"%d:%b" % (len(part.encode()), part.encode()) for part in parts)
        return hashlib.sha256(whole).hexdigest()[:16]


@dataclass(slots=True)
class Entry:
    """One request: running, with those who wait for its answer, or answered."""

    identity: RequestIdentity
    waiting: list[Callable[[Response], None]] = field(default_factory=list)
    answer: Response | None = None


class _Mixed:
    """Stands for two different requests."""


class DuplicateRequests:
    """The requests of the last minutes, found by either half of their identity."""

    MIXED = _Mixed()

    def __init__(self, keep_s: float, now: Callable[[], float], most: int = MOST) -> None:
        self._keep_s, self._now, self._most = keep_s, now, most
        self._by_host: dict[tuple[str, int], Entry] = {}
        self._by_session: dict[tuple[str, str, int], Entry] = {}
        self._ended: deque[tuple[float, Entry]] = deque()
        self._bytes = 0  # of the values kept

    def find(self, identity: RequestIdentity) -> Entry | _Mixed | None:
        """The request that this one repeats; None for a new one; MIXED where the halves do not agree, as when
        a client gives one CC-Request-Number to two requests."""
        self._forget()
        by_host = self._by_host.get((identity.origin_host, identity.end_to_end))
        by_session = self._by_session.get((identity.origin_host, identity.session, identity.number))
        if by_host is None and by_session is None:
            return None
        return by_host if by_host is by_session and by_host is not None else self.MIXED

    def begin(self, identity: RequestIdentity) -> Entry | None:
        """Remember a new request; None where there is no room."""
        if len(self._by_host) >= self._most or self._bytes >= MOST_BYTES:
            return None
        entry = Entry(identity)
        self._by_host[identity.origin_host, identity.end_to_end] = entry
        self._by_session[identity.origin_host, identity.session, identity.number] = entry
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
        self._by_host.pop((identity.origin_host, identity.end_to_end), None)
        self._by_session.pop((identity.origin_host, identity.session, identity.number), None)


def _size(answer: Response | None) -> int:
    return len(answer.value) if isinstance(answer, Served) else 0
