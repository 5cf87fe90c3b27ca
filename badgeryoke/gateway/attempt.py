"""One attempt at a server, from its start to its outcome."""

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
    """The progress of an attempt."""

    NOT_WRITTEN = "not written"
    WRITTEN = "written completely"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """The outcome of an attempt: the verdict, the stage that it had reached, and the server's response."""

    verdict: Verdict
    stage: AttemptStage
    value: bytes = b""
    true_units: float = 0.0  # 0: not reported by the server
    load_report: tuple[float, ...] = ()  # values in the order of the settings' report names
    detail: str = ""  # a description of the cause


@dataclass(slots=True)
class Request:
    """A client's request: the values that the decision module and the upstreams use."""

    id: str
    request_class: str
    plan: str
    customer: int
    remaining_ms: float  # time until the client's deadline
    units: float
    gateway_set_size: int  # the number of gateways over which the customer's requests are spread
    first_gateway: int = 0  # the index of the first gateway of that set
    retry: bool = False  # whether the client marked it as sent before
    idempotency_key: str = ""
    body: bytes | None = None
    idempotent: bool | None = None  # None: not stated on the wire; the dispatcher sets it from the class
    # Set for a retry of a request that another gateway may have run: no attempt may be written after this, Unix ms.
    send_by_ms: float | None = None
    accepts_stream: bool = False  # the client's connection can take a streamed response
    abandoned: bool = (
        False  # its client has left and has not come back: no attempt may begin; set by the dispatcher
    )


def parse_customer(digits: bytes) -> int:
    """Parse a customer's number of 16 hex digits; raises ValueError."""
    if len(digits) != CUSTOMER_DIGITS or not digits.isalnum() or not digits.isascii():
        raise ValueError("customer: expected 16 hex digits")
    number = int.from_bytes(bytes.fromhex(digits.decode("ascii")), "big")
    if number >= MAX_CUSTOMERS:
        raise ValueError("customer out of range")
    return number


class Upstream(Protocol):
    """The dispatcher's interface to a server, for any wire protocol."""

    def start(self, attempt: Attempt) -> None:
        """Start an attempt; its outcome is reported by a call of the attempt's methods, never by an exception."""


class Attempt:
    """One attempt.  Only its first outcome counts; later ones are ignored.

    started_ms, deadline_ms: Unix ms.
    on_end: called once, with the attempt and its outcome.
    potential_duplicate: an earlier attempt of the same request may have run.
    on_written: called when the last byte has been written.
    write_by_ms: Unix ms after which servers no longer recognize the idempotency key.  The attempt must not be written
    later; it can get late while its connection is being established.
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
        self.write_started = False  # whether the first byte may have been sent
        self.final = False  # no further attempt will follow
        self.stage = AttemptStage.NOT_WRITTEN
        self.on_abort: Callable[[], None] | None = None  # set by the upstream: releases its resources
        self.response_stream: ResponseStream | None = None  # set once a streamed response has begun
        self.on_response_started: Callable[[ResponseStream], None] | None = None  # set by the dispatcher
        self._on_end, self._on_written = on_end, on_written

    @property
    def ended(self) -> bool:
        """Whether the attempt has an outcome; later ones are ignored."""
        return self.stage is AttemptStage.ENDED

    def may_be_written(self, now_ms: float) -> bool:
        """Whether it has not been written, may begin, and neither its deadline nor `write_by_ms` has passed."""
        return (
            self.stage is AttemptStage.NOT_WRITTEN
            and not self.request.abandoned
            and now_ms < min(self.deadline_ms, self.write_by_ms)
        )

    def written(self) -> None:
        """Record that the last byte has been written: from now on the request may have run."""
        if self.stage is AttemptStage.NOT_WRITTEN:
            self.write_started, self.stage = True, AttemptStage.WRITTEN
            if self._on_written is not None:
                self._on_written()

    def response_started(self, stream: ResponseStream) -> None:
        """Record the first bytes of a streamed response.  From now on the attempt is aborted only if the client
        disconnects."""
        if self.stage is AttemptStage.ENDED or self.on_response_started is None:
            stream.cancel()
            return
        self.response_stream = stream
        self.on_response_started(stream)

    def succeeded(self, value: bytes, true_units: float = 0.0, load_report: tuple[float, ...] = ()) -> None:
        """Record that the server returned a value."""
        self._end(Verdict.OK, value=value, true_units=true_units, load_report=load_report)

    def failed(self, detail: str, load_report: tuple[float, ...] = ()) -> None:
        """Record an error response of the server: the request may have run."""
        self._end(Verdict.ERROR, load_report=load_report, detail=detail)

    def rejected(self, detail: str) -> None:
        """Record that the server rejected the request without running it."""
        self._end(Verdict.QUEUE_FULL, detail=detail)

    def connection_lost(self, detail: str) -> None:
        """Record that connecting failed or the connection was lost; the verdict depends on the stage reached."""
        verdict = Verdict.CONNECT_FAILED if self.stage is AttemptStage.NOT_WRITTEN else Verdict.RESET
        self._end(verdict, detail=detail)

    def not_sent(self, detail: str) -> None:
        """Record that the attempt was not sent and will not be."""
        self._end(Verdict.NOT_SENT, detail=detail)

    def abort(self, verdict: Verdict, final: bool = False) -> None:
        """Abort the attempt, which was cancelled or has timed out.

        Before the first byte is written the verdict is CONNECT_FAILED.  Later the rest may be sent before the
        upstream is notified, so that the request may run.  A response stream that has begun is aborted only if
        `final`.
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
