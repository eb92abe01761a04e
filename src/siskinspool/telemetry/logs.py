"""Structured logging.

Each event is one line of key=value pairs: ``ts=... level=... event=... key=value``.
Values with spaces, quotes or equals signs are JSON-quoted. API keys and prompts are
never passed to `log_event`. Since callers can put a key into a path or a header name,
anything that looks like a key is replaced in every line. The text of an exception is
logged only for classes whose text comes from this code or the operating system, because
others, such as UnicodeDecodeError, quote the data on which they failed.

`configure_logging` also formats uncaught exceptions, warnings and gevent's reports of
failed greenlets in this way.
"""

from __future__ import annotations

import json
import logging
import os
import re
import sys
import threading
import time
import traceback
from collections.abc import Callable
from types import TracebackType
from typing import Any, Final

import gevent

logger = logging.getLogger(__name__)

# An id, a dot and the random part; see `siskinspool.contracts.api_key`.
_API_KEY_PATTERN: Final = re.compile(r"sk-[^\s.\"/?&]+\.[A-Za-z0-9_-]{20,}")
# Far above the rate at which an instance under load logs its decisions.
MAX_LINES_PER_S: Final = 500.0
_PLAIN_VALUE: Final = re.compile(r"^[A-Za-z0-9_.:/@+\-\[\]%,]+$")


def format_value(value: object) -> str:
    """Return a value as written in a log line, quoted if needed."""
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    return text if _PLAIN_VALUE.match(text) else json.dumps(text)


def log_event(
    logger: logging.Logger,
    level: int,
    event: str,
    /,
    *,
    with_traceback: bool = False,
    **fields: object,
) -> None:
    """Log an event with its fields and optionally the exception being handled."""
    if not logger.isEnabledFor(level):
        return
    pairs = [f"event={event}"]
    pairs += [f"{name}={format_value(value)}" for name, value in fields.items()]
    logger.log(level, "%s", " ".join(pairs), exc_info=with_traceback or None)


# The text of OSError is the operating system's. AssertionError includes
# InvariantError.
_EXCEPTIONS_WITH_SAFE_TEXT: Final = (AssertionError, OSError)


class KeyValueFormatter(logging.Formatter):
    """Formats a record as one line of key=value pairs."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the log line; a traceback is written as one quoted field."""
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
        return _API_KEY_PATTERN.sub("[key]", line)

    def formatException(self, ei: Any) -> str:  # noqa: N802 - name of the base class
        """Return the frames and class of an exception, and its text if it is safe."""
        error_type, error, trace = ei
        frames = [
            f"{frame.filename.rpartition('/')[2]}:{frame.lineno}:{frame.name}"
            for frame in traceback.extract_tb(trace)
        ]
        name = getattr(error_type, "__name__", "unknown")
        text = f": {error}" if isinstance(error, _EXCEPTIONS_WITH_SAFE_TEXT) else ""
        return " > ".join([*frames, name]) + text


class BoundedHandler(logging.Handler):
    """Writes log lines to a file descriptor and never blocks.

    Lines above a rate limit, and lines that the descriptor does not accept at once, are
    dropped; the next line written states how many. Errors are exempt from the rate
    limit.
    """

    def __init__(
        self,
        descriptor: int,
        lines_per_s: float = MAX_LINES_PER_S,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._now = now
        self._available_lines = lines_per_s
        self._refilled_at = now()
        self._dropped_lines = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record as one line, or drop it."""
        now = self._now()
        refill = (now - self._refilled_at) * self._lines_per_s
        self._available_lines = min(self._available_lines + refill, self._lines_per_s)
        self._refilled_at = now
        if self._available_lines < 1 and record.levelno < logging.ERROR:
            self._dropped_lines += 1
            return
        self._available_lines -= 1
        line = self.format(record)
        if self._dropped_lines:
            line += f" lines_dropped_before={self._dropped_lines}"
        try:
            os.write(self._descriptor, line.encode("utf-8", "replace") + b"\n")
        except OSError:
            self._dropped_lines += 1
            return
        self._dropped_lines = 0


def configure_logging(level: str, handler: logging.Handler | None = None) -> None:
    """Send the log lines of all loggers to a handler, by default standard error."""
    handler = handler or logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    logging.captureWarnings(True)
    sys.excepthook = _log_uncaught
    threading.excepthook = lambda args: _log_uncaught(
        args.exc_type, args.exc_value, args.exc_traceback
    )
    hub: Any = gevent.get_hub()
    hub.print_exception = _log_failed_greenlet


def _log_uncaught(
    error_type: type[BaseException],
    error: BaseException | None,
    trace: TracebackType | None,
) -> None:
    _log_exception("uncaught_exception", error_type, error, trace)


def _log_failed_greenlet(
    context: object,
    error_type: type[BaseException] | None,
    error: BaseException | None,
    trace: TracebackType | None,
) -> None:
    """Replace gevent's printing of failed greenlets to standard error."""
    name = getattr(context, "name", type(context).__name__)
    if error_type is not None:
        _log_exception("greenlet_failed", error_type, error, trace, greenlet=name)


def _log_exception(
    event: str,
    error_type: type[BaseException],
    error: BaseException | None,
    trace: TracebackType | None,
    **fields: object,
) -> None:
    pairs = [f"event={event}", f"error={error_type.__name__}"]
    pairs += [f"{name}={format_value(value)}" for name, value in fields.items()]
    exception = error if error is not None else error_type()
    logger.error("%s", " ".join(pairs), exc_info=(error_type, exception, trace))
