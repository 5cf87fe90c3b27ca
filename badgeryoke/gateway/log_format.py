"""The format of log lines: plain text, or one JSON object per line.

The fields of an event are passed as `extra={"fields": {...}}`.  structlog is not used because it would cost each
gateway 4.5 MB and 100 ms at startup (docs/measurements.md).
"""

from __future__ import annotations

import logging
import sys
from typing import Literal, TextIO

import ujson

LineFormat = Literal["text", "json"]
LogLevel = Literal["debug", "info", "warning", "error"]

TEXT_FORMAT = "%(levelname)s %(name)s: %(message)s"
TIMESTAMP_DIGITS = 3  # decimal places of the Unix time in seconds


class JsonFormatter(logging.Formatter):
    """One JSON object per line: at (Unix time in seconds), level, logger, event, and the fields of the event."""

    def format(self, record: logging.LogRecord) -> str:
        """Format a record, with the traceback of its exception if it has one."""
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
    """Write all log lines of the level and above to `stream`, by default standard error."""
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(JsonFormatter() if line_format == "json" else logging.Formatter(TEXT_FORMAT))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
