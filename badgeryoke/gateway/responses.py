"""The final responses that the dispatcher gives: each accepted request gets exactly one."""

from __future__ import annotations

from dataclasses import dataclass

from badgeryoke.gateway.metrics import RequestResult
from badgeryoke.gateway.response_stream import ResponseStream


@dataclass(frozen=True, slots=True)
class Served:
    """The value as a server gave it, and the units it was charged, 0 where the server did not say."""

    value: bytes
    true_units: float = 0.0


@dataclass(frozen=True, slots=True)
class Rejected:
    """Not served, and a retry by the client does no harm: after `retry_after_ms`, with the same key."""

    retry_after_ms: float
    may_have_run: bool = False


@dataclass(frozen=True, slots=True)
class Failed:
    """Not served, and nothing is known about its effect; `detail` is sent to the client."""

    detail: str


@dataclass(frozen=True, slots=True)
class Streaming:
    """A long value has begun: the rest comes through the stream, or is aborted there."""

    stream: ResponseStream


Response = Served | Rejected | Failed | Streaming

# A streaming response is counted when it ends, as Served or Failed.
RESULT_OF: dict[type, RequestResult] = {
    Served: RequestResult.COMPLETED,
    Rejected: RequestResult.REJECTED,
    Failed: RequestResult.FAILED,
}
