"""The format of log lines: text for people, or JSON, one object a line.

An event's fields are given as `extra={"fields": {...}}`.  The standard library's logging is used, and not
structlog, which would cost each gateway 4.5 MB and 100 ms at its start (docs/measurements.md).
"""

from __future__ import annotations

import logging
import sys
from typing import Literal, TextIO

import ujson

LineFormat = Literal["text", "json"]
LogLevel = Literal["debug", "info", "warning", "error"]

TEXT_FORMAT = "%(levelname)s %(name)s: %(message)s"
TIMESTAMP_DIGITS = 3  # of a second


class JsonFormatter(logging.Formatter):
    """One JSON object a line: at (Unix seconds), level, logger, event, and the event's fields."""

    def format(self, record: logging.LogRecord) -> str:
        """The line of a record, with the traceback of its exception, if any."""
        line: dict[str, object] = {
            "at": round(record.created, TIMESTAMP_DIGITS),
            "level": record.levelname.lower(),
            "logger": record.name,
            "event": record.getMessage(),
        }
        line.update(getattr(record, "fields", {}))
        if record.exc_info:
            line["traceback"] = self.formatException(record.exc_info)
        return ujson.dumps(line, escape_forward_slashes=False)


def configure_logging(
    line_format: LineFormat = "text", level: LogLevel = "info", stream: TextIO | None = None
) -> None:
    """Send all log lines of the level and above to the stream, or to standard error."""
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(JsonFormatter() if line_format == "json" else logging.Formatter(TEXT_FORMAT))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
