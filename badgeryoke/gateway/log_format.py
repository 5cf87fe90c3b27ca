"""Log lines: an event's name, its fields and its level, as text for people or as JSON, one object a line.

structlog was measured for this (docs/measurements.md): it costs a gateway 4.5 MB and 100 ms at its start.
So the gateway stays with the standard library's logging, its nearest relative, and brings an event's
fields as `extra={"fields": {...}}`.
"""

from __future__ import annotations

import logging
import sys
from typing import TextIO

import ujson

TEXT = "%(levelname)s %(name)s: %(message)s"


class JsonLines(logging.Formatter):
    """One JSON object a line: at (Unix seconds), level, logger, event, and the event's fields."""

    def format(self, record: logging.LogRecord) -> str:
        line: dict[str, object] = {
            "at": round(record.created, 3),
            "level": record.levelname.lower(),
            "logger": record.name,
            "event": record.getMessage(),
        }
        line.update(getattr(record, "fields", {}))
        if record.exc_info:
            line["traceback"] = self.formatException(record.exc_info)
        return ujson.dumps(line, escape_forward_slashes=False)


def set_up(form: str = "text", level: str = "info", stream: TextIO | None = None) -> None:
    """Send all lines to standard error, or to the stream, in the form asked for."""
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(JsonLines() if form == "json" else logging.Formatter(TEXT))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
