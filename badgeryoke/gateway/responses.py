"""The final responses that the dispatcher gives: each accepted request gets exactly one."""

from __future__ import annotations

from dataclasses import dataclass

from badgeryoke.gateway.metrics import RequestResult
from badgeryoke.gateway.response_stream import ResponseStream


@dataclass(frozen=True, slots=True)
class Served:
    """The value that a server returned and the units that it charged, 0 if it did not report them."""

    value: bytes
    true_units: float = 0.0


@dataclass(frozen=True, slots=True)
class Rejected:
    """Not served; the client can safely retry after `retry_after_ms`, with the same key."""

    retry_after_ms: float
    may_have_run: bool = False


@dataclass(frozen=True, slots=True)
class Failed:
    """Not served, with unknown effect; `detail` is sent to the client."""

    detail: str


@dataclass(frozen=True, slots=True)
class Streaming:
    """A streamed value has begun; the rest follows through the stream, which may be aborted."""

    stream: ResponseStream


Response = Served | Rejected | Failed | Streaming

# A streaming response is counted when it ends, as Served or Failed.
RESULT_OF: dict[type, RequestResult] = {
    Served: RequestResult.COMPLETED,
    Rejected: RequestResult.REJECTED,
    Failed: RequestResult.FAILED,
}
