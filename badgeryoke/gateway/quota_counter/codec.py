"""The quota counter's protocol: one RESP command, `INCRTTL name amount ttl_ms`, answered by the new total."""

from __future__ import annotations

import math
import re
from typing import TypeGuard

from badgeryoke.gateway.resp.codec import ErrorReply, Value, command

MIN_TTL_MS, MAX_TTL_MS = 1.0, 60_000.0
MAX_TOTAL_BYTES = 64
TOTAL = re.compile(rb"[+-]?(\d+\.?\d*|\.\d+)([eE][+-]?\d{1,3})?")
NOT_COUNTED = re.compile(rb"(BUSY|ERR)( |$)")
OVERLOADED = b"BUSY"


def encode_increment(name: int, units: float, ttl_ms: float) -> bytes:
    """A command that adds units to the counter of a name, which expires after `ttl_ms`."""
    amount = f"{units:.6f}".rstrip("0").rstrip(".")
    bounded_ttl_ms = min(max(ttl_ms, MIN_TTL_MS), MAX_TTL_MS)
    return command((b"INCRTTL", b"%d" % name, amount.encode(), b"%d" % round(bounded_ttl_ms)))


def parse_total(reply: Value) -> float | None:
    """The total in a reply; None where the reply is no finite number."""
    if type(reply) is not bytes or len(reply) > MAX_TOTAL_BYTES or not TOTAL.fullmatch(reply):
        return None
    total = float(reply)
    return total if math.isfinite(total) else None


def is_not_counted(reply: Value) -> TypeGuard[ErrorReply]:
    """Whether a reply proves that the counter has added nothing."""
    return isinstance(reply, ErrorReply) and NOT_COUNTED.match(reply) is not None
