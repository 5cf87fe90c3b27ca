"""The dispatcher's state of one request, from its acceptance to the end of its last attempt."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from enum import StrEnum
from typing import TYPE_CHECKING

from badgeryoke.decisions import interface as api
from badgeryoke.gateway.attempt import Attempt, Request
from badgeryoke.gateway.response_stream import ResponseStream
from badgeryoke.gateway.responses import Response

if TYPE_CHECKING:
    from badgeryoke.cluster.reservations.lease_client import ReservedUnits


class UnservedCause(StrEnum):
    """Why units drawn under a lease were not served; the decision module may give another cause."""

    GATEWAY = "gateway"
    LOAD = "load"
    LATE = "late"
    SERVER = "server"


class PendingRequest:
    """A request that has no final response yet, or whose last attempt is still in flight."""

    __slots__ = (
        "attempt",
        "attempt_count",
        "client_left",
        "deadline_ms",
        "deadline_timer",
        "deduplication_window_ms",
        "first_byte_ms",
        "first_possible_run_ms",
        "id",
        "may_have_run",
        "repeat_is_harmless",
        "request",
        "request_class",
        "reserved_units",
        "respond",
        "response_stream",
        "unserved_cause",
    )
    unserved_cause: str  # set by badgeryoke.gateway.reserved_admission, with `reserved_units`

    def __init__(
        self,
        request_id: str,
        request: Request,
        respond: Callable[[Response], None],
        deadline_ms: float,
        request_class: api.RequestClass,
    ) -> None:
        self.id, self.request, self.deadline_ms = request_id, request, deadline_ms
        # The class at validation; the request is rejected if its class changes before the decision.
        self.request_class = request_class
        with_key = request_class.idempotency is api.Idempotency.WITH_KEY
        # How long after an attempt that may have run a further one may reach a server.
        self.deduplication_window_ms = request_class.deduplication_window_ms if with_key else math.inf
        # Whether the client may safely repeat the request even if it may have run.
        self.repeat_is_harmless = request_class.idempotency is api.Idempotency.IDEMPOTENT or (
            with_key and request_class.deduplication_scope is api.DeduplicationScope.ALL
        )
        self.first_possible_run_ms = math.inf  # when the first attempt that may have run was started
        self.respond: Callable[[Response], None] | None = respond  # None: the final response has been given
        self.client_left = False  # nobody waits for the response at present
        self.may_have_run = False
        self.attempt_count = 0
        self.attempt: Attempt | None = None  # the attempt in flight
        self.deadline_timer: asyncio.TimerHandle | None = None
        self.response_stream: ResponseStream | None = None  # set once the final response has begun
        self.first_byte_ms = 0.0  # time from the attempt's start to the stream's first bytes
        self.reserved_units: ReservedUnits | None = None  # units drawn under a lease
