"""One attempt at a server, from its start to the one value that says how it ended."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from badgeryoke.decisions.interface import Verdict
from badgeryoke.gateway.response_stream import ResponseStream


class AttemptStage(Enum):
    """How far an attempt has come."""

    NOT_WRITTEN = "not written"
    WRITTEN = "written whole"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """How an attempt ended: the verdict, how far it had come, and what the server gave."""

    verdict: Verdict
    reached: AttemptStage
    value: bytes = b""
    true_units: float = 0.0
    report: tuple[float, ...] = ()
    detail: str = ""


@dataclass(slots=True)
class Request:
    """A client's request in the few values that the decisions and the server links use."""

    id: str
    cls: str
    plan: str
    customer: int
    remaining_ms: float
    units: float
    spread: int
    first: int = 0
    retry: bool = False
    key: str = ""
    body: bytes | None = None
    safe: bool | None = None  # whether it is safe to repeat; None: its wire does not say, the core does
    # A repeat of something another gateway may have run: no attempt may be written after this time.
    send_by_ms: float | None = None
    streams: bool = False  # whoever asked can take a long value in pieces


def customer_number(digits: bytes) -> int:
    """A customer from its 16 hex digits; raises ValueError."""
    if len(digits) != 16 or not digits.isalnum() or not digits.isascii():
        raise ValueError("customer: expected 16 hex digits")
    number = int.from_bytes(bytes.fromhex(digits.decode("ascii")), "big")
    if number >= 1 << 33:
        raise ValueError("customer out of range")
    return number


class Upstream(Protocol):
    """A server, as the core sees it, whatever its wire."""

    def start(self, execution: Attempt) -> None:
        """Carry out an attempt; it ends by a call of the execution's own methods, never by an exception."""


class Attempt:
    """One attempt.  Its first end counts, and every later one is ignored."""

    __slots__ = (
        "_on_end",
        "_on_written",
        "attempt",
        "begun",
        "deadline_ms",
        "final",
        "on_abandon",
        "on_begun",
        "query",
        "relay",
        "repeat",
        "server",
        "stage",
        "started_ms",
        "write_by_ms",
    )

    def __init__(
        self,
        query: Request,
        attempt: int,
        server: int,
        started_ms: float,
        deadline_ms: float,
        on_end: Callable[[Attempt, AttemptEnd], None],
        repeat: bool = False,
        on_written: Callable[[], None] | None = None,
        write_by_ms: float = math.inf,
    ) -> None:
        self.query, self.attempt, self.server = query, attempt, server
        self.started_ms, self.deadline_ms = started_ms, deadline_ms
        self.repeat = repeat  # an earlier attempt may have run, and ...
        # ... after this time servers no longer know its key: a connection may take long to come up.
        self.write_by_ms = write_by_ms if query.send_by_ms is None else min(write_by_ms, query.send_by_ms)
        self.begun = False  # its first byte may be out
        self.final = False  # no attempt will follow this one
        self.stage = AttemptStage.NOT_WRITTEN
        self.on_abandon: Callable[[], None] | None = None  # set by the server link: ends the attempt there
        self.relay: ResponseStream | None = None  # a long value has begun, and goes on through this
        self.on_begun: Callable[[ResponseStream], None] | None = None
        self._on_end, self._on_written = on_end, on_written

    @property
    def ended(self) -> bool:
        return self.stage is AttemptStage.ENDED

    def may_be_written(self, now_ms: float) -> bool:
        """Whether there is still a point, and no harm, in writing it."""
        return self.stage is AttemptStage.NOT_WRITTEN and now_ms < min(self.deadline_ms, self.write_by_ms)

    def written(self) -> None:
        """The last byte is out: from here on it may have run."""
        if self.stage is AttemptStage.NOT_WRITTEN:
            self.begun, self.stage = True, AttemptStage.WRITTEN
            if self._on_written is not None:
                self._on_written()

    def begins(self, relay: ResponseStream) -> None:
        """The first bytes of a long value: from here on it is the client's, and is given up for nothing but
        the client's leaving."""
        if self.stage is AttemptStage.ENDED or self.on_begun is None:
            relay.leave()
            return
        self.relay = relay
        self.on_begun(relay)

    def served(self, value: bytes, true_units: float = 0.0, report: tuple[float, ...] = ()) -> None:
        self._end(Verdict.OK, value=value, true_units=true_units, report=report)

    def error(self, detail: str, report: tuple[float, ...] = ()) -> None:
        """The server says that it failed: it may have run."""
        self._end(Verdict.ERROR, report=report, detail=detail)

    def turned_away(self, detail: str) -> None:
        """The server says that it never began."""
        self._end(Verdict.QUEUE_FULL, detail=detail)

    def lost(self, detail: str) -> None:
        """The connection never came up or is gone: what that proves depends on how far the attempt came."""
        self._end(
            Verdict.CONNECT_FAILED if self.stage is AttemptStage.NOT_WRITTEN else Verdict.RESET, detail=detail
        )

    def moot(self, detail: str) -> None:
        """It was not sent, and will not be."""
        self._end(Verdict.NOT_SENT, detail=detail)

    def abandon(self, verdict: Verdict, final: bool = False) -> None:
        """Stop waiting: cancelled or timed out.  What was never begun to be written could not connect; what
        was begun may go out whole before the link hears of this, and so may run."""
        if self.relay is not None and not final:
            return
        self.final = final
        self._end(verdict if self.begun else Verdict.CONNECT_FAILED, detail="given up")

    def _end(
        self,
        verdict: Verdict,
        value: bytes = b"",
        true_units: float = 0.0,
        report: tuple[float, ...] = (),
        detail: str = "",
    ) -> None:
        if self.stage is AttemptStage.ENDED:
            return
        reached, self.stage = self.stage, AttemptStage.ENDED
        self._on_end(self, AttemptEnd(verdict, reached, value, true_units, report, detail))
        if self.on_abandon is not None:
            release, self.on_abandon = self.on_abandon, None
            release()
