"""One attempt at a server, from its start to the one value that says how it ended."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from badgeryoke.decisions.interface import Verdict
from badgeryoke.gateway.response_stream import ResponseStream

CUSTOMER_DIGITS = 16
MAX_CUSTOMERS = 1 << 33  # customers are numbered from 0


class AttemptStage(Enum):
    """How far an attempt has come."""

    NOT_WRITTEN = "not written"
    WRITTEN = "written completely"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """How an attempt ended: the verdict, the stage it had reached, and what the server gave."""

    verdict: Verdict
    stage: AttemptStage
    value: bytes = b""
    true_units: float = 0.0  # 0: the server did not say
    load_report: tuple[float, ...] = ()  # figures in the order of the settings' report names
    detail: str = ""  # for people


@dataclass(slots=True)
class Request:
    """A client's request in the few values that the decisions and the upstreams use."""

    id: str
    request_class: str
    plan: str
    customer: int
    remaining_ms: float  # before the client gives up
    units: float
    gateway_set_size: int  # over how many gateways the customer's requests are spread
    first_gateway: int = 0  # the index of the first of these
    retry: bool = False  # the client says that it has sent this before
    idempotency_key: str = ""
    body: bytes | None = None
    idempotent: bool | None = None  # None: its wire does not say, and the dispatcher fills it in
    # A repeat of something another gateway may have run: no attempt may be written after this time.
    send_by_ms: float | None = None
    accepts_stream: bool = False  # the client's connection can take a long value in pieces


def parse_customer(digits: bytes) -> int:
    """A customer's number from its 16 hex digits; raises ValueError."""
    if len(digits) != CUSTOMER_DIGITS or not digits.isalnum() or not digits.isascii():
        raise ValueError("customer: expected 16 hex digits")
    number = int.from_bytes(bytes.fromhex(digits.decode("ascii")), "big")
    if number >= MAX_CUSTOMERS:
        raise ValueError("customer out of range")
    return number


class Upstream(Protocol):
    """A server, as the dispatcher sees it, whatever its wire protocol."""

    def start(self, execution: Attempt) -> None:
        """Carry out an attempt; it ends by a call of the attempt's own methods, never by an exception."""


class Attempt:
    """One attempt.  Its first end counts, and every later one is ignored.

    started_ms, deadline_ms: Unix ms.
    on_end: called once, with the attempt and how it ended.
    potential_duplicate: an earlier attempt of the same request may have run.
    on_written: called when the last byte has been written.
    write_by_ms: after this time servers no longer know the idempotency key, and the attempt must not be
    written: a connection may take long to come up.
    """

    __slots__ = (
        "_on_end",
        "_on_written",
        "deadline_ms",
        "final",
        "number",
        "on_abort",
        "on_response_started",
        "potential_duplicate",
        "request",
        "response_stream",
        "server",
        "stage",
        "started_ms",
        "write_by_ms",
        "write_started",
    )

    def __init__(
        self,
        request: Request,
        number: int,
        server: int,
        started_ms: float,
        deadline_ms: float,
        on_end: Callable[[Attempt, AttemptEnd], None],
        potential_duplicate: bool = False,
        on_written: Callable[[], None] | None = None,
        write_by_ms: float = math.inf,
    ) -> None:
        self.request, self.number, self.server = request, number, server
        self.started_ms, self.deadline_ms = started_ms, deadline_ms
        self.potential_duplicate = potential_duplicate
        self.write_by_ms = write_by_ms if request.send_by_ms is None else min(write_by_ms, request.send_by_ms)
        self.write_started = False  # its first byte may be out
        self.final = False  # no attempt will follow this one
        self.stage = AttemptStage.NOT_WRITTEN
        self.on_abort: Callable[[], None] | None = None  # set by the upstream: ends the attempt there
        self.response_stream: ResponseStream | None = None  # a long value has begun
        self.on_response_started: Callable[[ResponseStream], None] | None = None  # set by the dispatcher
        self._on_end, self._on_written = on_end, on_written

    @property
    def ended(self) -> bool:
        """Whether the attempt's end is known; what comes later is ignored."""
        return self.stage is AttemptStage.ENDED

    def may_be_written(self, now_ms: float) -> bool:
        """Whether there is still a point, and no harm, in writing it."""
        return self.stage is AttemptStage.NOT_WRITTEN and now_ms < min(self.deadline_ms, self.write_by_ms)

    def written(self) -> None:
        """The last byte has been written: from here on the request may have run."""
        if self.stage is AttemptStage.NOT_WRITTEN:
            self.write_started, self.stage = True, AttemptStage.WRITTEN
            if self._on_written is not None:
                self._on_written()

    def response_started(self, stream: ResponseStream) -> None:
        """The first bytes of a long value have come: it is the client's now, and is aborted for nothing but
        the client's disconnecting."""
        if self.stage is AttemptStage.ENDED or self.on_response_started is None:
            stream.cancel()
            return
        self.response_stream = stream
        self.on_response_started(stream)

    def succeeded(self, value: bytes, true_units: float = 0.0, load_report: tuple[float, ...] = ()) -> None:
        """The server gave the value."""
        self._end(Verdict.OK, value=value, true_units=true_units, load_report=load_report)

    def failed(self, detail: str, load_report: tuple[float, ...] = ()) -> None:
        """The server says that it failed: the request may have run."""
        self._end(Verdict.ERROR, load_report=load_report, detail=detail)

    def rejected(self, detail: str) -> None:
        """The server says that it never began."""
        self._end(Verdict.QUEUE_FULL, detail=detail)

    def connection_lost(self, detail: str) -> None:
        """The connection never came up or is gone: what that proves depends on the stage reached."""
        verdict = Verdict.CONNECT_FAILED if self.stage is AttemptStage.NOT_WRITTEN else Verdict.RESET
        self._end(verdict, detail=detail)

    def not_sent(self, detail: str) -> None:
        """It was not sent, and will not be."""
        self._end(Verdict.NOT_SENT, detail=detail)

    def abort(self, verdict: Verdict, final: bool = False) -> None:
        """Stop waiting: cancelled or timed out.  An attempt whose writing never started could not connect; one
        whose writing did may go out completely before the upstream hears of this, and so may run.

        A response stream that has begun is aborted only where this is `final`.
        """
        if self.response_stream is not None and not final:
            return
        self.final = final
        self._end(verdict if self.write_started else Verdict.CONNECT_FAILED, detail="given up")

    def _end(
        self,
        verdict: Verdict,
        value: bytes = b"",
        true_units: float = 0.0,
        load_report: tuple[float, ...] = (),
        detail: str = "",
    ) -> None:
        if self.stage is AttemptStage.ENDED:
            return
        stage, self.stage = self.stage, AttemptStage.ENDED
        self._on_end(self, AttemptEnd(verdict, stage, value, true_units, load_report, detail))
        if self.on_abort is not None:
            release, self.on_abort = self.on_abort, None
            release()
