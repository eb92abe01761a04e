"""Stable error codes, and exceptions for broken invariants and invalid settings.

Expected failures are outcomes, not exceptions (see `siskinspool.core.outcome`). The
codes below appear in refusals to callers, in log lines and in the command line's
error messages. Their meaning never changes.
"""

from __future__ import annotations

from enum import StrEnum


class ErrorCode(StrEnum):
    """The stable identifier of an error."""

    BAD_REQUEST = "bad_request"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    REQUEST_TIMEOUT = "request_timeout"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    OVERLOADED = "overloaded"
    UNKNOWN_ROUTE = "unknown_route"
    UNKNOWN_MODEL = "unknown_model"
    KEY_MISSING = "key_missing"
    KEY_MISPLACED = "key_misplaced"
    KEY_REJECTED = "key_rejected"
    ROUTE_FORBIDDEN = "route_forbidden"
    RATE_EXCEEDED = "rate_exceeded"
    QUEUE_FULL = "queue_full"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_PASSED = "deadline_passed"
    NO_SERVER = "no_server"
    LOAD_FAILED = "load_failed"
    SERVER_FAILED = "server_failed"
    ANSWER_INCOMPLETE = "answer_incomplete"
    IDEMPOTENCY_KEY_REUSED = "idempotency_key_reused"
    IDEMPOTENCY_UNAVAILABLE = "idempotency_unavailable"
    OUTCOME_UNKNOWN = "outcome_unknown"
    PROMPT_QUARANTINED = "prompt_quarantined"
    STREAM_ORIGIN_UNKNOWN = "stream_origin_unknown"
    STORE_UNAVAILABLE = "store_unavailable"
    NOT_CURRENT = "not_current"
    DRAINING = "draining"
    REQUEST_NOT_FOUND = "request_not_found"
    INTERNAL = "internal"


class InvariantError(AssertionError):
    """An invariant is broken; the process must stop."""


class SettingsError(ValueError):
    """The settings or the manifest are invalid."""
