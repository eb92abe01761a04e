"""Log lines.

Each event is one line of key=value pairs: ``ts=... level=... event=... key=value``.
Values with spaces, quotes or equals signs are JSON-quoted. API keys and prompts are
never passed to `log_event`.
"""

from __future__ import annotations

import json
import logging
import re
import sys
import time
from typing import Final

_PLAIN_VALUE: Final = re.compile(r"^[A-Za-z0-9_.:/@+\-\[\]%,]+$")


def format_value(value: object) -> str:
    """Return a value as it stands in a log line, quoted if needed."""
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    return text if _PLAIN_VALUE.match(text) else json.dumps(text)


def log_event(logger: logging.Logger, level: int, event: str, **fields: object) -> None:
    """Log one event with its fields."""
    if not logger.isEnabledFor(level):
        return
    pairs = [f"event={event}"]
    pairs += [f"{name}={format_value(value)}" for name, value in fields.items()]
    logger.log(level, "%s", " ".join(pairs))


class KeyValueFormatter(logging.Formatter):
    """Formats a record as one line of key=value pairs."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the log line; a traceback becomes one quoted field."""
        stamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        text = record.getMessage()
        if not text.startswith("event="):
            text = f"event=log text={json.dumps(text)}"
        line = (
            f"ts={stamp}.{int(record.msecs):03d}Z level={record.levelname.lower()} "
            f"logger={record.name} {text}"
        )
        if record.exc_info:
            line += f" traceback={json.dumps(self.formatException(record.exc_info))}"
        return line


def configure_logging(level: str) -> None:
    """Send log lines of all loggers to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
