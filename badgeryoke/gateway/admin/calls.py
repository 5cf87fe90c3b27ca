"""The admin calls and their answers, without any I/O."""

from __future__ import annotations

from enum import Enum
from typing import Protocol


class AdminCall(Enum):
    """The calls without arguments; FLEET calls, which have arguments, are answered by the cluster."""

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
    """The operations of a gateway that the admin calls use."""

    def status(self) -> tuple[bool, str]:
        """Return whether this process can serve, and the name of its state."""

    def pause(self) -> str:
        """Drain this gateway; return why it cannot, or an empty string."""

    def resume(self) -> str:
        """Serve again; return why it cannot, or an empty string."""

    def metrics(self) -> str:
        """Return the metrics, one per line."""

    @property
    def is_cluster_member(self) -> bool:
        """Whether this gateway is a member of a cluster."""

    async def fleet_call(self, call: bytes) -> bytes:
        """Answer a FLEET call; `call` holds its arguments."""


def answer_call(gateway: AdminOperations, line: bytes) -> bytes:
    """Answer a call other than FLEET."""
    call_name = line.strip()
    match CALLS.get(call_name):
        case AdminCall.STATUS:
            can_serve, state = gateway.status()
            return b"%b %b\n" % (b"+OK" if can_serve else b"-ERR", state.encode())
        case AdminCall.METRICS:
            return OK + gateway.metrics().encode() + METRICS_END
        case AdminCall.PAUSE:
            return _ok_or_error(gateway.pause())
        case AdminCall.RESUME:
            return _ok_or_error(gateway.resume())
        case None:
            return UNKNOWN_CALL if call_name else EMPTY_LINE


def _ok_or_error(error: str) -> bytes:
    return b"-ERR %b\n" % error.encode() if error else OK
