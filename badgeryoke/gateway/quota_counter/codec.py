"""The quota counter's protocol: one RESP command, `INCRTTL name amount ttl_ms`, answered with the new total."""

from __future__ import annotations

import math
import re
from typing import TypeGuard

from badgeryoke.gateway.resp.codec import ErrorReply, Value, command

MIN_TTL_MS, MAX_TTL_MS = 1.0, 60_000.0
MAX_TOTAL_BYTES = 64
TOTAL_PATTERN = re.compile(rb"[+-]?(\d+\.?\d*|\.\d+)([eE][+-]?\d{1,3})?")
NOT_COUNTED_PATTERN = re.compile(rb"(BUSY|ERR)( |$)")
OVERLOADED_PREFIX = b"BUSY"


def encode_increment(name: int, units: float, ttl_ms: float) -> bytes:
    """Encode a command that adds units to the counter `name`, which expires after `ttl_ms`."""
    amount = f"{units:.6f}".rstrip("0").rstrip(".")
    bounded_ttl_ms = min(max(ttl_ms, MIN_TTL_MS), MAX_TTL_MS)
    return command((b"INCRTTL", b"%d" % name, amount.encode(), b"%d" % round(bounded_ttl_ms)))


def parse_total(reply: Value) -> float | None:
    """Return the total in a reply; None if the reply is not a finite number in a bulk string."""
    if type(reply) is not bytes or len(reply) > MAX_TOTAL_BYTES or not TOTAL_PATTERN.fullmatch(reply):
        return None
    total = float(reply)
    return total if math.isfinite(total) else None


def is_not_counted(reply: Value) -> TypeGuard[ErrorReply]:
    """Whether a reply is an error that proves that the counter has added nothing."""
    return isinstance(reply, ErrorReply) and NOT_COUNTED_PATTERN.match(reply) is not None
