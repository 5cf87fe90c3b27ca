"""The admin calls: what each line is answered, without any I/O."""

from __future__ import annotations

from enum import Enum
from typing import Protocol


class AdminCall(Enum):
    """The calls that are one word; FLEET, with its arguments, is answered by the cluster."""

    STATUS = b"STATUS"
    METRICS = b"METRICS"
    PAUSE = b"PAUSE"
    RESUME = b"RESUME"


CALLS = {call.value: call for call in AdminCall}
OK = b"+OK\n"
METRICS_END = b".\n"
EMPTY_LINE = b"-ERR empty line\n"
LINE_TOO_LONG = b"-ERR line too long\n"
UNKNOWN_CALL = b"-ERR unknown call; known are STATUS, METRICS, PAUSE, RESUME, FLEET\n"


class AdminOperations(Protocol):
    """What operators may ask of a gateway."""

    def status(self) -> tuple[bool, str]:
        """Whether this process can serve, and its state in a word."""

    def pause(self) -> str:
        """Drain this gateway; returns the reason why not, or nothing."""

    def resume(self) -> str:
        """Serve again; returns the reason why not, or nothing."""

    def metrics(self) -> str:
        """The metrics, one a line."""

    @property
    def is_cluster_member(self) -> bool:
        """Whether this gateway is a member of a cluster."""

    async def fleet_call(self, call: bytes) -> bytes:
        """The line that answers a FLEET call, given its arguments."""


def answer_call(gateway: AdminOperations, line: bytes) -> bytes:
    """The answer to a line, except to FLEET calls."""
    word = line.strip()
    match CALLS.get(word):
        case AdminCall.STATUS:
            can_serve, state = gateway.status()
            return b"%b %b\n" % (b"+OK" if can_serve else b"-ERR", state.encode())
        case AdminCall.METRICS:
            return OK + gateway.metrics().encode() + METRICS_END
        case AdminCall.PAUSE:
            return _outcome(gateway.pause())
        case AdminCall.RESUME:
            return _outcome(gateway.resume())
        case None:
            return UNKNOWN_CALL if word else EMPTY_LINE


def _outcome(reason_why_not: str) -> bytes:
    return b"-ERR %b\n" % reason_why_not.encode() if reason_why_not else OK
